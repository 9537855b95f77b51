//! Records when faults last disturbed each entry. Some promises hold only for undisturbed entries: fault
//! injection marks entries here, and callers and the configuration check read the marks.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::callers::lock;

/// Time that an entry counts as disturbed after a fault has ended.
pub(crate) const RECOVERY: Duration = Duration::from_millis(3_000);

/// Holds when the last unplanned fault ended, for each entry and for the platform.
pub(crate) struct Disturbances {
    entries: Mutex<Vec<Instant>>,
    platform: Mutex<Instant>,
}

impl Disturbances {
    /// Starts with all entries disturbed until now.
    pub(crate) fn new(entries: usize) -> Self {
        let now = Instant::now();
        Self {
            entries: Mutex::new(vec![now; entries]),
            platform: Mutex::new(now),
        }
    }

    /// Starts with no entry disturbed.
    pub(crate) fn none(entries: usize) -> Self {
        let now = Instant::now();
        let long_ago = now.checked_sub(2 * RECOVERY).unwrap_or(now);
        Self {
            entries: Mutex::new(vec![long_ago; entries]),
            platform: Mutex::new(long_ago),
        }
    }

    /// Marks an entry as disturbed for the next `ms` milliseconds.
    pub(crate) fn disturb(&self, entry: usize, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        let at = &mut lock(&self.entries)[entry];
        *at = until.max(*at);
    }

    /// Marks all entries as disturbed for the next `ms` milliseconds, because the platform is.
    pub(crate) fn disturb_all(&self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        let mut at = lock(&self.platform);
        *at = until.max(*at);
    }

    /// Returns whether the entry was undisturbed from [`RECOVERY`] before `since` until now.
    pub(crate) fn is_undisturbed_since(&self, entry: usize, since: Instant) -> bool {
        let last = lock(&self.entries)[entry].max(*lock(&self.platform));
        since > last + RECOVERY
    }
}
