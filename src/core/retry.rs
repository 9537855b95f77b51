//! When to try again: pauses that grow with jitter, and a budget as a share of traffic.

use std::sync::atomic::{AtomicI64, Ordering};

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

/// Hundredths of a retry that each first attempt earns: one retry for ten requests.
const EARN: i64 = 10;

/// Hundredths that a retry costs.
const COST: i64 = 100;

/// Hundredths that can be saved up, so that a quiet service can still retry a few times.
const SAVED_MAX: i64 = 1_000;

/// A budget of retries as a share of the traffic.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicI64,
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
        }
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let saved = self.saved.fetch_add(EARN, Ordering::Relaxed);
        if saved + EARN > SAVED_MAX {
            self.saved.fetch_sub(EARN, Ordering::Relaxed);
        }
    }

    /// Takes one retry, if there is one left.
    pub fn spend(&self) -> bool {
        let before = self.saved.fetch_sub(COST, Ordering::Relaxed);
        if before < COST {
            self.saved.fetch_add(COST, Ordering::Relaxed);
            return false;
        }
        true
    }
}
