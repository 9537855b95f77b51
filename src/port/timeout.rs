//! A timeout for calls to the store that follows how long recent answers took.
//!
//! The store may apply the writes of a partition one after the other. A transaction that times out and is sent again
//! then waits behind its own first attempt, so with a fixed timeout a slower store would never complete anything.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Millis;

/// The current timeout for calls to one store; threads share it.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    least_ms: Millis,
    most_ms: Millis,
    now_ms: AtomicU64,
}

/// The factor on the time of the last answer: a call may wait behind two others of its partition.
const TIMES_LAST: Millis = 3;

impl AdaptiveTimeout {
    /// Creates a timeout that stays between two bounds and starts at the lower one.
    pub fn new(least_ms: Millis, most_ms: Millis) -> Self {
        Self {
            least_ms,
            most_ms,
            now_ms: AtomicU64::new(least_ms),
        }
    }

    /// Returns the timeout of the next call.
    pub fn current_ms(&self) -> Millis {
        self.now_ms.load(Ordering::Relaxed)
    }

    /// Records that an answer took `took_ms`.
    pub fn record_answer(&self, took_ms: Millis) {
        let wanted_ms = took_ms * TIMES_LAST;
        let wanted_ms = wanted_ms.clamp(self.least_ms, self.most_ms);
        self.now_ms.store(wanted_ms, Ordering::Relaxed);
    }

    /// Records that no answer came within `waited_ms`; the timeout at least doubles from there, within its bounds.
    pub fn record_timeout(&self, waited_ms: Millis) {
        let wanted_ms = (waited_ms * 2).clamp(self.least_ms, self.most_ms);
        self.now_ms.fetch_max(wanted_ms, Ordering::Relaxed);
    }
}
