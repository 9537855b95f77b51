//! Source of time for decisions, leases and records: monotonic and wall-clock milliseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};

/// Milliseconds, as an instant of a [`Clock`] or as a duration.
pub type Millis = u64;

/// Milliseconds in a second.
pub const SECOND_MS: Millis = 1_000;

/// Milliseconds in a day.
pub const DAY_MS: Millis = 86_400 * SECOND_MS;

/// A monotonic clock that counts milliseconds since it was created, including the time for which its host was
/// suspended. With a clock that stops during a suspension, an owner would keep relying on a lease that others have seen
/// expire.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    boot_ms: fn() -> Millis,
    origin_ms: Millis,
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self::with_source(boot_ms)
    }

    /// Starts a clock at zero that reads `boot_ms`, which must never go back.
    pub fn with_source(boot_ms: fn() -> Millis) -> Self {
        Self {
            boot_ms,
            origin_ms: boot_ms(),
            origin: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was created, including those for which the process was stopped or its
    /// host was suspended.
    pub fn now_ms(&self) -> Millis {
        (self.boot_ms)().saturating_sub(self.origin_ms)
    }

    /// Returns the `Instant` of `at_ms` on this clock, or the current one if `at_ms` has passed. A timer for it fires
    /// too late if the host is suspended before `at_ms`.
    pub fn instant(&self, at_ms: Millis) -> Instant {
        Instant::now() + Duration::from_millis(at_ms.saturating_sub(self.now_ms()))
    }

    /// Returns for how long the host was suspended since the clock was created. The runtime's timers fire late by that
    /// time.
    pub fn suspended_ms(&self) -> Millis {
        let steady_ms = self.origin.elapsed().as_millis() as Millis;
        self.now_ms().saturating_sub(steady_ms)
    }
}

/// Returns the milliseconds since the host was booted, including its suspensions.
fn boot_ms() -> Millis {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(at) => Duration::from(at).as_millis() as Millis,
        // Linux has this clock since 2.6.39. Without it, no lease could be relied on.
        Err(e) => unreachable!("the boot-time clock can't be read: {e}"),
    }
}

/// Returns wall-clock milliseconds since the Unix epoch, for records that people read.
pub fn wall_ms() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|d| d.as_millis() as Millis)
        .unwrap_or(0)
}

/// One instant on both clocks, passed to the decision code, which reads no clock itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Milliseconds of the process's [`Clock`].
    pub ms: Millis,
    /// Wall-clock milliseconds since the Unix epoch.
    pub wall_ms: Millis,
    /// The store's clock, at most as late as it is there by the store's last answer; 0 if unknown.
    pub store_ms: Millis,
}
