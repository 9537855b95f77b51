//! When to try again: pauses that grow with jitter, and a budget as a share of traffic.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use crate::clock::Millis;

/// First pause after a failure.
const FIRST_MS: Millis = 500;

/// Longest pause.
const LAST_MS: Millis = 4_000;

/// Pauses that double with each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and gives the pause after it: half of it fixed, half random, so that many
    /// entries do not come back at the same moment.
    pub fn fail(&mut self, rng: &mut fastrand::Rng) -> Millis {
        let full = (FIRST_MS << self.failures.min(8)).min(LAST_MS);
        self.failures = self.failures.saturating_add(1);
        full / 2 + rng.u64(0..=full / 2)
    }

    /// Starts over.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}

/// Hundredths of a retry that each first attempt earns: one repeat of work for ten requests.
const EARN: i64 = 10;

/// Hundredths of a retry that each second earns, so that a service with little traffic can retry.
const EARN_PER_S: i64 = 1_000;

/// What a retry costs the backend servers, which is what it costs the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// The first attempt was refused before it ran: a round trip, no work.
    Refused,
    /// The first attempt may have run: its work is done twice.
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

/// Time is credited in steps of at least so many hundredths.
const FILL_STEP: i64 = 40;

/// Hundredths that can be saved up.
const SAVED_MAX: i64 = 1_000;

/// A budget of retries as a share of the traffic, with a small floor.
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
    /// A budget with its savings full.
    pub fn new() -> Self {
        Self {
            saved: AtomicI64::new(SAVED_MAX),
            filled_ms: AtomicU64::new(0),
        }
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        self.add(EARN);
    }

    fn add(&self, hundredths: i64) {
        let saved = self.saved.fetch_add(hundredths, Ordering::Relaxed) + hundredths;
        if saved > SAVED_MAX {
            self.saved.fetch_sub(saved - SAVED_MAX, Ordering::Relaxed);
        }
    }

    /// Takes one retry, if there is one left at this time.
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
