//! Clocks of workers: each instance's clock starts from its own value, and some run slow. The worker code of the
//! stand-in platform converts between these clocks and its own.

/// Largest percentage by which a worker's clock may run slow; the platform allows this much.
const SLOW_MAX_PERCENT: u64 = 2;

/// Bound, exclusive, of the value from which a worker's clock starts.
const BASE_MAX_MS: u64 = 10_000_000;

/// Holds the clock of one instance; the default is the platform's own clock.
#[derive(Clone, Copy, Default)]
pub(super) struct WorkerClock {
    base_ms: u64,
    started_ms: u64,
    slow_percent: u64,
}

impl WorkerClock {
    /// Draws a clock that starts now from a random value and at a random rate.
    pub(super) fn random(rng: &mut fastrand::Rng, now_ms: u64) -> Self {
        Self {
            base_ms: rng.u64(..BASE_MAX_MS),
            started_ms: now_ms,
            slow_percent: rng.u64(..=SLOW_MAX_PERCENT),
        }
    }

    /// Returns a clock that starts now from 0 at the right rate.
    pub(super) fn from_zero(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            ..Self::default()
        }
    }

    /// Returns this clock, set forward by `by_ms`.
    pub(super) fn set_forward(self, by_ms: u64) -> Self {
        Self {
            base_ms: self.base_ms + by_ms,
            ..self
        }
    }

    /// Returns what this clock shows at a time of the platform's clock.
    pub(super) fn local_ms(self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms - self.started_ms;
        self.base_ms + elapsed_ms * (100 - self.slow_percent) / 100
    }

    /// Returns the platform's time at which this clock will show `at_ms`, or `now_ms` if it already has.
    pub(super) fn platform_ms_at(self, at_ms: u64, now_ms: u64) -> u64 {
        let left_ms = at_ms.saturating_sub(self.local_ms(now_ms));
        now_ms + left_ms * 100 / (100 - self.slow_percent)
    }
}
