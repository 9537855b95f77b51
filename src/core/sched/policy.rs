//! Applies the policy of a job's queue: the attempts of its tasks and the time by which each of its rounds should be
//! completed.
//!
//! An owner's configuration may be older than a job, or may no longer have its queue. The entry that accepts a job
//! therefore writes the queue's policy with it, an owner records each policy that has changed since, and the newest
//! known one applies.

use super::job::{JobSpec, QueuePolicy};
use super::keys::JobKey;
use super::limits::HOPELESS_FACTOR;
use super::pool_state::PoolState;
use super::state::Ctx;
use super::tasks::{Job, Round};
use super::tickets;
use crate::clock::{Millis, Now};
use crate::port::fleet::{FleetConfig, MOMENT_MAX_MS};

/// Policy of a job whose queue is not configured and which was accepted by an entry of a version that wrote no policy.
const FALLBACK: QueuePolicy = QueuePolicy {
    config: 0,
    attempts_max: 3,
    target_ms: 1_000,
    stretch_milli: 1_000,
    advice: None,
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

/// Times at which a round of a job is late and at which completing it loses its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Deadlines {
    /// Time by which the round should be completed.
    pub(super) due_ms: Millis,
    /// Time after which completing the round has no value.
    pub(super) hopeless_ms: Millis,
}

impl Deadlines {
    /// Computes the deadlines of a round of a job. They count from the time at which the round may begin: the job's
    /// acceptance, or the round's time in the schedule.
    pub(super) fn new(job: &Job, round: u32, now: Now) -> Self {
        let advice_ms = tickets::expected_ms(job.policy.advice);
        let step_ms: Vec<Millis> = job.step_ms.iter().map(|ms| ms + advice_ms).collect();
        let chain_ms = job.spec.longest_chain_ms(&step_ms, |_| true);
        let stretched_ms = chain_ms.saturating_mul(job.policy.stretch_milli) / 1_000;
        let objective_ms = job.policy.target_ms.saturating_add(stretched_ms);
        let objective_ms = objective_ms.min(MOMENT_MAX_MS);
        let from_ms = match job.spec.schedule {
            Some(schedule) => {
                let from_wall_ms = schedule.due_wall_ms(round);
                let wait_ms = from_wall_ms.saturating_sub(now.wall_ms);
                let age_ms = now.wall_ms.saturating_sub(from_wall_ms);
                (now.ms + wait_ms).saturating_sub(age_ms)
            }
            None => {
                let age_ms = now.wall_ms.saturating_sub(job.spec.accepted_wall_ms);
                now.ms.saturating_sub(age_ms)
            }
        };
        Self {
            due_ms: from_ms + objective_ms,
            hopeless_ms: from_ms + objective_ms * HOPELESS_FACTOR,
        }
    }

    /// Sets the deadlines of a round.
    pub(super) fn apply(self, round: &mut Round) {
        round.due_ms = self.due_ms;
        round.hopeless_ms = self.hopeless_ms;
    }
}

impl Job {
    /// Applies a policy to the job if it is newer than the current one, and returns whether it was.
    pub(super) fn update_policy(&mut self, policy: Option<QueuePolicy>, now: Now) -> bool {
        let newest = newer(self.policy, policy);
        if newest == self.policy {
            return false;
        }
        self.policy = newest;
        let numbers = self.rounds.keys();
        let deadlines: Vec<Deadlines> = numbers.map(|n| Deadlines::new(self, *n, now)).collect();
        for (round, deadlines) in self.rounds.values_mut().zip(deadlines) {
            deadlines.apply(round);
        }
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
        let terms = pool_state.jobs[key].policy.advice;
        pool_state.advice.note_terms(terms);
        pool_state.mark_dirty(key, ctx.now.ms);
    }
}
