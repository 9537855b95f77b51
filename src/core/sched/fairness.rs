//! Whose work goes first where there is not room for all: accounts have what they were promised before any has more.
//!
//! The load that this answers: one account sends many times what it usually does, and its jobs fill a pool's queue. By
//! earliest objective alone all accounts then wait for the flood. So each account is counted: jobs within its weight, so
//! many a second, compete as ever; what it sends beyond that waits behind them, and takes the room that they leave. It
//! counts as no need for hosts that another pool needs, and goes on as soon as there is room.
//!
//! Each pool's owner counts by itself, so an account may use its whole weight in each pool: what it sends turns from
//! queue to queue, and owners tell each other nothing of single jobs.

use crate::clock::Millis;

/// An account may send what it has of its weight in so long at a time: the jobs of a second come together at times.
const BURST_MS: u64 = 1_000;

/// The least that it may send at a time, whatever its weight.
const BURST_JOBS_MIN: u64 = 2;

/// Thousandths of a job.
const JOB_MILLI: u64 = 1_000;

/// Counts an account's jobs against its weight: a token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// What it has spent of its bucket, in thousandths of a job.
    spent_milli: u64,
    /// When that was.
    at_ms: Millis,
}

impl Meter {
    /// Counts a job that comes now from an account that may send `weight` a second; says whether it is within that.
    pub fn takes(&mut self, weight: u64, now_ms: Millis) -> bool {
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
}
