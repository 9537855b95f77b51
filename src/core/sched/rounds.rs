//! Begins the rounds of scheduled jobs when they fall due.
//!
//! The load that this handles: many jobs have rounds that fall due together, each with little time until its objective.
//! A round therefore begins at its due time, and its work counts as newly arrived, so that the pool gets hosts for it
//! as for jobs that arrive.

use super::keys::JobKey;
use super::limits::RESORT_MS;
use super::pool_state::PoolState;
use super::state::{Ctx, PoolKey, Timer};
use super::tasks::Job;
use crate::clock::Millis;

impl Job {
    /// Returns the wall-clock time at which the job's next round may begin, or `None` if it has no more rounds.
    fn next_round_wall_ms(&self) -> Option<Millis> {
        let schedule = self.spec.schedule?;
        let has_more = self.rounds_begun < schedule.rounds;
        has_more.then(|| schedule.due_wall_ms(self.rounds_begun))
    }

    /// Returns whether a round of it may begin that has never begun.
    fn has_due_round(&self, wall_ms: Millis) -> bool {
        let is_due = match self.spec.schedule {
            None => self.rounds_begun == 0,
            Some(_) => self.next_round_wall_ms().is_some_and(|ms| wall_ms >= ms),
        };
        is_due && !self.state.is_final() && !self.is_unreadable
    }
}

/// Begins the rounds of a job that are due and have never begun, and returns their number.
pub(super) fn begin_new(pool_state: &mut PoolState, key: JobKey, ctx: &Ctx<'_>) -> usize {
    let mut begun = 0;
    while let Some(job) = pool_state.jobs.get(key) {
        if !job.has_due_round(ctx.now.wall_ms) {
            break;
        }
        pool_state.begin_round(key, job.rounds_begun, ctx.now);
        begun += 1;
    }
    begun
}

/// Begins the rounds of a job that are due, and counts their work as newly arrived.
pub(super) fn begin_arrived(pool_state: &mut PoolState, key: JobKey, ctx: &Ctx<'_>) {
    let begun = begin_new(pool_state, key, ctx);
    let Some(job) = pool_state.jobs.get(key) else {
        return;
    };
    // Work beyond its account's weight or quota does not indicate a need for hosts.
    let is_beyond = job
        .account
        .is_some_and(|account| pool_state.is_beyond_quota(account));
    if !job.is_excess && !is_beyond {
        for _ in 0..begun {
            pool_state.note_arrival(key, ctx.now.ms);
        }
    }
}

/// Begins the rounds of scheduled jobs that have fallen due.
pub(super) fn begin_due(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let has_schedule = |job: &Job| job.spec.schedule.is_some() && !job.state.is_final();
    let timed: Vec<JobKey> = pool_state
        .jobs
        .iter()
        .filter(|(_, job)| has_schedule(job))
        .map(|(key, _)| key)
        .collect();
    for key in timed {
        begin_arrived(pool_state, key, ctx);
    }
    set_timer(pool_state, ctx);
}

/// Sets a timer for the next round that falls due before the next periodic look at all jobs.
fn set_timer(pool_state: &PoolState, ctx: &mut Ctx<'_>) {
    let is_set = |(_, p, t): &(Millis, PoolKey, Timer)| *p == ctx.pool && *t == Timer::Rounds;
    if ctx.timers.iter().any(is_set) {
        return;
    }
    let open = pool_state
        .jobs
        .values()
        .filter(|job| !job.state.is_final() && !job.is_unreadable);
    let next_wall_ms = open.filter_map(Job::next_round_wall_ms).min();
    let wait_ms = next_wall_ms.map(|wall_ms| wall_ms.saturating_sub(ctx.now.wall_ms));
    if let Some(wait_ms) = wait_ms.filter(|ms| *ms < RESORT_MS) {
        ctx.set_timer(wait_ms, Timer::Rounds);
    }
}
