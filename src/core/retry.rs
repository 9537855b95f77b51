//! Retries: pauses that grow with jitter, and a budget of retries as a share of the traffic.
//!
//! The reducer pauses between failed reads of the table, and the traffic threads spend the budget on repeated requests.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use crate::clock::Millis;

/// Length of the pause after the first failure, before jitter.
const PAUSE_FIRST_MS: Millis = 500;

/// Maximum length of a pause.
const PAUSE_MAX_MS: Millis = 4_000;

/// A pause that doubles with each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the pause after it, half of it fixed and half random, so that many entries do not
    /// retry at the same moment.
    pub fn next_pause(&mut self, rng: &mut fastrand::Rng) -> Millis {
        let full = (PAUSE_FIRST_MS << self.failures.min(8)).min(PAUSE_MAX_MS);
        self.failures = self.failures.saturating_add(1);
        full / 2 + rng.u64(0..=full / 2)
    }

    /// Resets the pause after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Hundredths of a retry that each first attempt earns, which allows one request in ten to be run again.
const EARN_PER_ATTEMPT: i64 = 10;

/// Hundredths of a retry earned per second, so that a service with little traffic can retry too.
const EARN_PER_S: i64 = 1_000;

/// The cost of a retry in the budget, by the load that it puts on the backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// The first attempt was refused before it ran, so the retry costs a round trip and no repeated work.
    Refused,
    /// The first attempt may have run, so its work may be done twice.
    Lost,
}

impl Cost {
    fn hundredths(self) -> i64 {
        match self {
            Cost::Refused => 40,
            Cost::Lost => 100,
        }
    }
}

/// Minimum number of hundredths that are added for elapsed time at once.
const FILL_STEP: i64 = 40;

/// Maximum number of hundredths that can be saved.
const SAVED_MAX: i64 = 1_000;

/// A budget of retries as a share of the traffic, with a small minimum rate. Threads share it without a lock.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicI64,
    filled_ms: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            saved: AtomicI64::new(SAVED_MAX),
            filled_ms: AtomicU64::new(0),
        }
    }

    /// Adds the earnings of a first attempt.
    pub fn earn(&self) {
        self.add(EARN_PER_ATTEMPT);
    }

    fn add(&self, hundredths: i64) {
        let saved = self.saved.fetch_add(hundredths, Ordering::Relaxed) + hundredths;
        if saved > SAVED_MAX {
            self.saved.fetch_sub(saved - SAVED_MAX, Ordering::Relaxed);
        }
    }

    /// Takes the cost of one retry from the budget, and returns whether there was enough.
    pub fn spend(&self, cost: Cost, now_ms: Millis) -> bool {
        self.fill(now_ms);
        let cost = cost.hundredths();
        let before = self.saved.fetch_sub(cost, Ordering::Relaxed);
        if before < cost {
            self.saved.fetch_add(cost, Ordering::Relaxed);
            return false;
        }
        true
    }

    fn fill(&self, now_ms: Millis) {
        let filled_ms = self.filled_ms.load(Ordering::Relaxed);
        let passed_ms = now_ms.saturating_sub(filled_ms);
        let earned = EARN_PER_S * i64::try_from(passed_ms).unwrap_or(0) / 1_000;
        if earned < FILL_STEP {
            return;
        }
        let swapped = self.filled_ms.compare_exchange(
            filled_ms,
            now_ms,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if swapped.is_ok() {
            self.add(earned.min(SAVED_MAX));
        }
    }
}
