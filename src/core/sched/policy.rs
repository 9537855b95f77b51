//! What a job's queue promises: attempts, and the time by which a job should be completed.
//!
//! An owner's configuration may be older than a job, or may have lost its queue. So the entry that accepts a job writes the
//! queue's policy beside it, an owner records the policies that changed since, and of all that is known the newest one holds.

use super::job::{JobSpec, QueuePolicy};
use super::keys::JobKey;
use super::limits::HOPELESS_FACTOR;
use super::pool_state::PoolState;
use super::state::Ctx;
use super::tasks::Job;
use crate::clock::{Millis, Now};
use crate::port::fleet::FleetConfig;

/// Of a job whose queue is not configured, accepted by an entry of a version that wrote no policy.
const UNRECORDED: QueuePolicy = QueuePolicy {
    config: 0,
    attempts_max: 3,
    target_ms: 1_000,
    stretch_milli: 1_000,
};

/// The policy of a job that is taken in.
pub(super) fn of(spec: &JobSpec, config: &FleetConfig) -> QueuePolicy {
    let accepted = spec.policy.unwrap_or(UNRECORDED);
    newer(accepted, QueuePolicy::of(&spec.queue, config))
}

/// The newer one of two; where only the version differs, it stays as it is.
fn newer(known: QueuePolicy, other: Option<QueuePolicy>) -> QueuePolicy {
    let other = other.filter(|other| other.config > known.config);
    let is_same = |other: &QueuePolicy| other.at(known.config) == known;
    other.filter(|other| !is_same(other)).unwrap_or(known)
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

impl Job {
    /// Has the job go by a policy, if that is newer than the one it goes by; says whether it was.
    pub(super) fn renew_policy(&mut self, policy: Option<QueuePolicy>, now: Now) -> bool {
        let newest = newer(self.policy, policy);
        if newest == self.policy {
            return false;
        }
        let deadlines = Deadlines::new(&self.spec, &self.step_ms, newest, now);
        self.policy = newest;
        self.due_ms = deadlines.due_ms;
        self.hopeless_ms = deadlines.hopeless_ms;
        true
    }

    /// The policy that a record of the job must hold: none where its own row tells it.
    pub(super) fn changed_policy(&self) -> Option<QueuePolicy> {
        (self.spec.policy != Some(self.policy)).then_some(self.policy)
    }
}

/// Brings all jobs under a configuration that has come into force.
pub(super) fn refresh(pool_state: &mut PoolState, config: &FleetConfig, ctx: &Ctx<'_>) {
    let open = pool_state
        .jobs
        .iter_mut()
        .filter(|(_, job)| !job.state.is_final());
    let renewed = open.filter_map(|(key, job)| {
        let policy = QueuePolicy::of(&job.spec.queue, config);
        job.renew_policy(policy, ctx.now).then_some(key)
    });
    let renewed: Vec<JobKey> = renewed.collect();
    for key in renewed {
        pool_state.mark(key, ctx.now.ms);
    }
}
