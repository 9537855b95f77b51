//! Which entries were left alone of late: some promises hold only for those.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::callers::lock;

/// Trouble counts for so long after its end.
const AFTER_MS: u64 = 3_000;

/// When each entry's last unplanned trouble ended, and the platform's.
pub(crate) struct Calm {
    entries: Mutex<Vec<Instant>>,
    platform: Mutex<Instant>,
}

impl Calm {
    /// All are in trouble until now.
    pub(crate) fn new(entries: usize) -> Self {
        let now = Instant::now();
        Self {
            entries: Mutex::new(vec![now; entries]),
            platform: Mutex::new(now),
        }
    }

    /// An entry is in trouble for so long from now on.
    pub(crate) fn disturb(&self, entry: usize, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        let at = &mut lock(&self.entries)[entry];
        *at = until.max(*at);
    }

    /// All entries are, since the platform is.
    pub(crate) fn disturb_all(&self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        let mut at = lock(&self.platform);
        *at = until.max(*at);
    }

    /// Whether there was no trouble from a while before `since` until now.
    pub(crate) fn was_calm(&self, entry: usize, since: Instant) -> bool {
        let last = lock(&self.entries)[entry].max(*lock(&self.platform));
        since > last + Duration::from_millis(AFTER_MS)
    }
}
