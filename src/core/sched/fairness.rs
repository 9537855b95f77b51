//! Shares a pool fairly between accounts: each gets what it was promised before any gets more.
//!
//! The overload that this handles: one account sends many times its usual load, and its jobs fill a pool's queue.
//! With the earliest deadline first alone, all accounts would wait behind them. So each account's jobs are counted:
//! those within its weight, which is a number of jobs per second, compete as usual; jobs beyond it wait behind them
//! and use the room that is left. Excess jobs don't count as a need for hosts that another pool needs, and run as
//! soon as there is room.
//!
//! Each pool's owner counts by itself, so an account may use its whole weight in each pool: its load shifts between
//! queues, and owners exchange nothing about single jobs. The next owner of a pool counts the jobs in its rows again by
//! their times of acceptance, so that a flood that waits remains excess.

use crate::clock::Millis;

/// Size of the bucket as time at the account's weight: the jobs of a second sometimes arrive together.
const BURST_MS: u64 = 1_000;

/// The smallest bucket in jobs, whatever the weight.
const BURST_JOBS_MIN: u64 = 2;

/// Thousandths of a job in one job.
const JOB_MILLI: u64 = 1_000;

/// A token bucket that counts an account's jobs against its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// Spent part of the bucket, in thousandths of a job.
    spent_milli: u64,
    /// When `spent_milli` was last brought up to date.
    at_ms: Millis,
}

impl Meter {
    /// Takes a token for a job that arrives now, from a bucket that refills with `weight` jobs per second. Returns
    /// false without taking one if the bucket is empty.
    pub fn try_take(&mut self, weight: u64, now_ms: Millis) -> bool {
        let size_milli = (weight * BURST_MS).max(BURST_JOBS_MIN * JOB_MILLI);
        let regained_milli = weight * now_ms.saturating_sub(self.at_ms);
        self.spent_milli = self.spent_milli.saturating_sub(regained_milli);
        self.at_ms = now_ms;
        let is_within = self.spent_milli + JOB_MILLI <= size_milli;
        if is_within {
            self.spent_milli += JOB_MILLI;
        }
        is_within
    }

    /// Moves the meter to another clock, which shows `to_ms` when its present one shows `from_ms`.
    pub fn rebase(&mut self, from_ms: Millis, to_ms: Millis) {
        let age_ms = from_ms.saturating_sub(self.at_ms);
        self.at_ms = to_ms.saturating_sub(age_ms);
    }
}
