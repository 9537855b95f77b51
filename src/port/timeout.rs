//! How long an answer of the store is waited for: by what answers took of late.
//!
//! A transaction that is given up and sent again waits behind its own first sending where the store takes a
//! part's writes in turn. With one fixed bound, a store that is slower than that never gets anything done.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Millis;

/// A timeout for calls to one store.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    least_ms: Millis,
    most_ms: Millis,
    now_ms: AtomicU64,
}

/// So many times what the last answer took: it may wait behind two others of its part.
const TIMES_LAST: Millis = 3;

impl AdaptiveTimeout {
    /// Between two bounds, beginning with the lower one.
    pub fn new(least_ms: Millis, most_ms: Millis) -> Self {
        Self {
            least_ms,
            most_ms,
            now_ms: AtomicU64::new(least_ms),
        }
    }

    /// How long the next answer is waited for.
    pub fn ms(&self) -> Millis {
        self.now_ms.load(Ordering::Relaxed)
    }

    /// An answer came after so long.
    pub fn answered(&self, took_ms: Millis) {
        let wanted_ms = took_ms * TIMES_LAST;
        let wanted_ms = wanted_ms.clamp(self.least_ms, self.most_ms);
        self.now_ms.store(wanted_ms, Ordering::Relaxed);
    }

    /// No answer came within `waited_ms`.
    pub fn silent(&self, waited_ms: Millis) {
        let wanted_ms = (waited_ms * 2).clamp(self.least_ms, self.most_ms);
        self.now_ms.fetch_max(wanted_ms, Ordering::Relaxed);
    }
}
