//! Applies the policy of a job's queue: the attempts of its tasks and the time by which the job should be completed.
//!
//! An owner's configuration may be older than a job, or may no longer have its queue. The entry that accepts a job
//! therefore writes the queue's policy with it, an owner records each policy that has changed since, and the newest
//! known one applies.

use super::job::{JobSpec, QueuePolicy};
use super::keys::JobKey;
use super::limits::HOPELESS_FACTOR;
use super::pool_state::PoolState;
use super::state::Ctx;
use super::tasks::Job;
use crate::clock::{Millis, Now};
use crate::port::fleet::FleetConfig;

/// Policy of a job whose queue is not configured and which was accepted by an entry of a version that wrote no policy.
const FALLBACK: QueuePolicy = QueuePolicy {
    config: 0,
    attempts_max: 3,
    target_ms: 1_000,
    stretch_milli: 1_000,
};

/// Returns the policy of a job that is being loaded.
pub(super) fn initial_policy(spec: &JobSpec, config: &FleetConfig) -> QueuePolicy {
    let accepted = spec.policy.unwrap_or(FALLBACK);
    newer(accepted, QueuePolicy::of(&spec.queue, config))
}

/// Returns the newer of two policies. If only their versions differ, returns `known`, so that nothing is recorded.
fn newer(known: QueuePolicy, other: Option<QueuePolicy>) -> QueuePolicy {
    let other = other.filter(|other| other.config > known.config);
    let is_same = |other: &QueuePolicy| other.with_config_version(known.config) == known;
    other.filter(|other| !is_same(other)).unwrap_or(known)
}

/// Times at which a job is late and at which completing it loses its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Deadlines {
    /// Time by which the job should be completed.
    pub(super) due_ms: Millis,
    /// Time after which completing the job has no value.
    pub(super) hopeless_ms: Millis,
}

impl Deadlines {
    /// Computes the deadlines of a job whose steps are expected to take the times in `step_ms`.
    pub(super) fn new(spec: &JobSpec, step_ms: &[Millis], policy: QueuePolicy, now: Now) -> Self {
        let chain_ms = spec.longest_chain_ms(step_ms, |_| true);
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
    /// Applies a policy to the job if it is newer than the current one, and returns whether it was.
    pub(super) fn update_policy(&mut self, policy: Option<QueuePolicy>, now: Now) -> bool {
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

    /// Returns the policy to record with the job's progress, or `None` if the job's own row holds it.
    pub(super) fn changed_policy(&self) -> Option<QueuePolicy> {
        (self.spec.policy != Some(self.policy)).then_some(self.policy)
    }
}

/// Applies a new configuration to all open jobs.
pub(super) fn refresh(pool_state: &mut PoolState, config: &FleetConfig, ctx: &Ctx<'_>) {
    let open = pool_state
        .jobs
        .iter_mut()
        .filter(|(_, job)| !job.state.is_final());
    let renewed = open.filter_map(|(key, job)| {
        let policy = QueuePolicy::of(&job.spec.queue, config);
        job.update_policy(policy, ctx.now).then_some(key)
    });
    let renewed: Vec<JobKey> = renewed.collect();
    for key in renewed {
        pool_state.mark_dirty(key, ctx.now.ms);
    }
}
