//! A timeout for calls to the store that follows how long the last answer took.
//!
//! The store may apply the writes of a partition one after the other. A transaction that times out and is sent again
//! then waits behind its own first attempt, so with a fixed timeout a slower store would never complete anything.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Millis;

/// The time by which a value that a feed confirms must not be older, and how long the store may delay an answer without
/// changes.
#[derive(Clone, Copy, Debug)]
pub struct FeedWait {
    /// The age at which the value counts as too old.
    pub age_max_ms: Millis,
    /// The wait while the store answers without delay.
    pub longest_ms: Millis,
    /// The wait while the store answers late.
    pub shortest_ms: Millis,
}

/// The delays that pass between two confirmations: the first one's answer, the next call's, and one in reserve.
const FEED_DELAYS: Millis = 3;

impl FeedWait {
    /// Returns the wait of the next call, if the last answer came `delay_ms` after the end of its wait: a later answer takes
    /// from the wait, so that the value is confirmed before it counts as too old.
    pub fn next_ms(&self, delay_ms: Millis) -> Millis {
        let left_ms = self.age_max_ms.saturating_sub(FEED_DELAYS * delay_ms);
        left_ms.clamp(self.shortest_ms, self.longest_ms)
    }
}

/// The current timeout for calls to one store; threads share it.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    min_ms: Millis,
    max_ms: Millis,
    current_ms: AtomicU64,
}

/// The factor from the time that the last answer took to the timeout: a call may wait behind two others of its
/// partition.
const LAST_ANSWER_FACTOR: Millis = 3;

impl AdaptiveTimeout {
    /// Creates a timeout that stays between two bounds and starts at the lower one.
    pub fn new(min_ms: Millis, max_ms: Millis) -> Self {
        Self {
            min_ms,
            max_ms,
            current_ms: AtomicU64::new(min_ms),
        }
    }

    /// Returns the timeout of the next call.
    pub fn current_ms(&self) -> Millis {
        self.current_ms.load(Ordering::Relaxed)
    }

    /// Records that an answer took `took_ms`.
    pub fn record_answer(&self, took_ms: Millis) {
        let wanted_ms = took_ms * LAST_ANSWER_FACTOR;
        let wanted_ms = wanted_ms.clamp(self.min_ms, self.max_ms);
        self.current_ms.store(wanted_ms, Ordering::Relaxed);
    }

    /// Records that no answer came within `waited_ms`. The timeout becomes at least twice that, within its bounds.
    pub fn record_timeout(&self, waited_ms: Millis) {
        let wanted_ms = (waited_ms * 2).clamp(self.min_ms, self.max_ms);
        self.current_ms.fetch_max(wanted_ms, Ordering::Relaxed);
    }
}
