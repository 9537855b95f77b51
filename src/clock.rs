//! The project's only source of time: milliseconds, monotonic and wall.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds, as an instant of a [`Clock`] or as a length of time.
pub type Millis = u64;

/// Milliseconds in a second.
pub const SECOND_MS: Millis = 1_000;

/// Milliseconds in a day.
pub const DAY_MS: Millis = 86_400 * SECOND_MS;

/// A monotonic clock that counts milliseconds from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
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
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the clock was made; goes on while the process is stopped.
    pub fn now_ms(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// The `Instant` that stands for `at_ms` on this clock.
    pub fn instant(&self, at_ms: Millis) -> Instant {
        self.origin + Duration::from_millis(at_ms)
    }
}

/// Wall-clock milliseconds since the Unix epoch, for records that people read.
pub fn wall_ms() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|d| d.as_millis() as Millis)
        .unwrap_or(0)
}

/// An instant on both clocks, as decisions are given it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic milliseconds.
    pub ms: Millis,
    /// Wall-clock milliseconds since the Unix epoch.
    pub wall_ms: Millis,
}
