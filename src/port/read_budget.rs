//! Bounds the reads that an entry makes for the least urgent purpose, counts of waiting jobs.
//!
//! The load that this handles: no owner reports counts, since all pools are being read, and callers at all entries ask
//! for them. A count by rows takes 68 reads. The store serves a number of reads a second to all entries together, and the
//! readings of the owners, on which everything else waits, share it. No entry knows how many others read, so each starts
//! with a small share of the limit and finds out: a failed read halves its rate, reads that succeed raise it.

use crate::clock::Millis;

/// The highest rate of an entry. A count by rows then takes 1.4 s, and 40 entries that count at this rate ask for the
/// 2,000 reads a second that the users' stores serve.
const RATE_MAX_PER_S: u64 = 50;

/// The rate at which an entry begins: 97 entries that start at once ask for half of the store's reads.
const FIRST_RATE_PER_S: u64 = 10;

/// The least rate: the rate must stay high enough to notice that the store serves reads again.
const RATE_MIN_PER_S: u64 = 4;

/// The time in which failed reads count as one failure: reads of one round fail together.
const FAILURE_MS: Millis = 500;

/// The time in which reads that succeed bring a halved rate back.
const RAISE_MS: Millis = 2_000;

/// A number of reads a second that adapts to the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadBudget {
    /// The present rate in thousandths of a read a second.
    rate_milli_per_s: u64,
    /// Reads that may be made now, in thousandths.
    saved_milli: u64,
    updated_ms: Millis,
    failed_ms: Option<Millis>,
}

impl Default for ReadBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadBudget {
    /// Creates the budget of an entry that has read nothing yet.
    pub fn new() -> Self {
        Self {
            rate_milli_per_s: FIRST_RATE_PER_S * 1_000,
            saved_milli: FIRST_RATE_PER_S * 1_000,
            updated_ms: 0,
            failed_ms: None,
        }
    }

    /// Takes up to `wanted` reads and returns how many may be made now.
    pub fn take(&mut self, wanted: usize, now_ms: Millis) -> usize {
        let passed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        let gained_milli = self.rate_milli_per_s.saturating_mul(passed_ms) / 1_000;
        // At most the reads of one second are saved.
        self.saved_milli = (self.saved_milli + gained_milli).min(self.rate_milli_per_s);
        let granted = wanted.min((self.saved_milli / 1_000) as usize);
        self.saved_milli -= granted as u64 * 1_000;
        granted
    }

    /// Notes how a round of reads ended.
    pub fn note(&mut self, made: usize, failed: usize, now_ms: Millis) {
        if failed > 0 {
            let is_new = self.failed_ms.is_none_or(|at| now_ms >= at + FAILURE_MS);
            if is_new {
                let least_milli = RATE_MIN_PER_S * 1_000;
                self.rate_milli_per_s = (self.rate_milli_per_s / 2).max(least_milli);
                self.failed_ms = Some(now_ms);
            }
            return;
        }
        let raise_milli = made as u64 * 1_000 * 1_000 / RAISE_MS;
        let most_milli = RATE_MAX_PER_S * 1_000;
        self.rate_milli_per_s = (self.rate_milli_per_s + raise_milli).min(most_milli);
    }

    /// Returns the present rate in reads a second.
    pub fn rate_per_s(&self) -> u64 {
        self.rate_milli_per_s / 1_000
    }
}
