//! What a job's queue promises: attempts, and the time by which a job should be completed.
//!
//! The configuration may not name the queue: it is older than the job, or the queue was removed. So the entry that accepts a
//! job writes the queue's policy beside it.

use super::book::Book;
use super::job::{JobSpec, QueuePolicy};
use super::keys::JobKey;
use super::limits::HOPELESS_FACTOR;
use super::runs;
use super::state::Ctx;
use crate::clock::{Millis, Now};
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

/// When a job is late, and when it earns nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Deadlines {
    /// It should be completed by then.
    pub(super) due_ms: Millis,
    /// Past this time it earns nothing.
    pub(super) hopeless_ms: Millis,
}

impl Deadlines {
    /// Of a job whose steps are expected to take as long as `step_ms` says.
    pub(super) fn new(spec: &JobSpec, step_ms: &[Millis], policy: QueuePolicy, now: Now) -> Self {
        let chain_ms = spec.longest_ms(step_ms, |_| true);
        let objective_ms = policy.target_ms + chain_ms * policy.stretch_milli / 1_000;
        let age_ms = now.wall_ms.saturating_sub(spec.accepted_wall_ms);
        let begun_ms = now.ms.saturating_sub(age_ms);
        Self {
            due_ms: begun_ms + objective_ms,
            hopeless_ms: begun_ms + objective_ms * HOPELESS_FACTOR,
        }
    }
}

/// Brings all jobs under a configuration that has come into force.
pub(super) fn refresh(book: &mut Book, config: &FleetConfig, epoch: u64, ctx: &mut Ctx<'_>) {
    let is_changed = |(key, policy): &(JobKey, QueuePolicy)| book.jobs[*key].policy != *policy;
    let open = book.jobs.iter().filter(|(_, job)| !job.state.is_final());
    let policies = open.map(|(key, job)| (key, of(&job.spec, config)));
    let changed: Vec<(JobKey, QueuePolicy)> = policies.filter(is_changed).collect();
    for (key, policy) in changed {
        let job = &mut book.jobs[key];
        let deadlines = Deadlines::new(&job.spec, &job.step_ms, policy, ctx.now);
        job.policy = policy;
        job.due_ms = deadlines.due_ms;
        job.hopeless_ms = deadlines.hopeless_ms;
        runs::end_exhausted(book, key, epoch, ctx);
    }
}
