//! Workers' own clocks: each life counts from a moment of its own, and some run slow.

/// A clock may be slow by so much, in percent: what the platform's pages allow.
const SLOW_MAX_PERCENT: u64 = 2;

/// The latest moment at which a life's clock may begin to count.
const BASE_MAX_MS: u64 = 10_000_000;

/// A life's clock; by default the platform's own.
#[derive(Clone, Copy, Default)]
pub(super) struct WorkerClock {
    base_ms: u64,
    born_ms: u64,
    slow_percent: u64,
}

impl WorkerClock {
    /// A clock that begins to count now.
    pub(super) fn draw(rng: &mut fastrand::Rng, now_ms: u64) -> Self {
        Self {
            base_ms: rng.u64(..BASE_MAX_MS),
            born_ms: now_ms,
            slow_percent: rng.u64(..=SLOW_MAX_PERCENT),
        }
    }

    /// A clock that counts from 0 now.
    pub(super) fn anew(now_ms: u64) -> Self {
        Self {
            born_ms: now_ms,
            ..Self::default()
        }
    }

    /// What it shows.
    pub(super) fn shows(self, now_ms: u64) -> u64 {
        let lived_ms = now_ms - self.born_ms;
        self.base_ms + lived_ms * (100 - self.slow_percent) / 100
    }

    /// When it will show `at_ms`; now where it has.
    pub(super) fn reaches(self, at_ms: u64, now_ms: u64) -> u64 {
        let left_ms = at_ms.saturating_sub(self.shows(now_ms));
        now_ms + left_ms * 100 / (100 - self.slow_percent)
    }
}
