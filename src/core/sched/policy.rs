//! What a job's queue promises: attempts, and the time by which a job should be completed.
//!
//! The configuration may not name the queue: it is older than the job, or the queue was removed. So the entry that accepts a
//! job writes the queue's policy beside it.

use super::job::{JobSpec, QueuePolicy};
use crate::port::fleet::FleetConfig;

/// Of a job whose queue is not configured, accepted by an entry of a version that wrote no policy.
const UNRECORDED: QueuePolicy = QueuePolicy {
    attempts_max: 3,
    target_ms: 1_000,
    stretch_milli: 1_000,
};

/// The policy that a job goes by: as configured, else as it was accepted.
pub(super) fn of(spec: &JobSpec, config: &FleetConfig) -> QueuePolicy {
    let configured = config.queues.get(&spec.queue).map(QueuePolicy::from);
    configured.or(spec.policy).unwrap_or(UNRECORDED)
}
