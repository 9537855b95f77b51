//! Draws series of planned work: entries that stop and reload shortly after each other, configuration changes and waves.
//! [`super::faults`] takes the steps. Nothing else happens in this scope, so nothing excuses a call without an answer.

use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;

/// Pause between the signals of a series in milliseconds.
const GAP_MS: Range<u64> = 200..1_000;

/// Time from an entry's SIGTERM to a further signal during its stop, in milliseconds.
const DURING_STOP_MS: Range<u64> = 50..5_000;

/// Names a step of a series; entries are given by their numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Sends SIGTERM to an entry, which may be stopping already.
    Stop(usize),
    /// Sends SIGHUP to an entry, which may be stopping.
    Reload(usize),
    /// Writes the next configuration.
    ChangeConfig,
    /// Requests a wave with at most this number of hosts out at once.
    BeginWave(usize),
}

/// Draws the series.
pub(crate) struct Planned {
    rng: Rng,
}

impl Planned {
    /// Creates the generator.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed.rotate_left(17) ^ 0x0091_A22E),
        }
    }

    /// Draws the pause until the next series, which may begin before the last one has ended.
    pub(crate) fn draw_pause(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(300..4_000))
    }

    /// Draws a series for some of `entries` entries: its steps, each with the time from now in milliseconds.
    pub(crate) fn draw(&mut self, entries: usize) -> Vec<(u64, Step)> {
        let mut steps = Vec::new();
        let first = self.rng.usize(..entries);
        let gap_ms = self.rng.u64(GAP_MS);
        let stops = match self.rng.bool() {
            true => entries,
            false => self.rng.usize(1..=entries),
        };
        for n in 0..stops {
            let entry = (first + n) % entries;
            let stop_ms = n as u64 * gap_ms;
            steps.push((stop_ms, Step::Stop(entry)));
            if self.rng.u32(..3) == 0 {
                let reload_ms = stop_ms + self.rng.u64(DURING_STOP_MS);
                steps.push((reload_ms, Step::Reload(entry)));
            }
            if self.rng.u32(..3) == 0 {
                let again_ms = stop_ms + self.rng.u64(DURING_STOP_MS);
                steps.push((again_ms, Step::Stop(entry)));
            }
        }
        if self.rng.bool() {
            let reloads_from_ms = self.rng.u64(..1_500);
            let gap_ms = self.rng.u64(GAP_MS);
            steps.extend(
                (0..entries).map(|n| (reloads_from_ms + n as u64 * gap_ms, Step::Reload(n))),
            );
        }
        for _ in 0..self.rng.usize(..3) {
            steps.push((self.rng.u64(..3_000), Step::ChangeConfig));
        }
        if self.rng.u32(..4) == 0 {
            let wave = Step::BeginWave(self.rng.usize(1..4));
            steps.push((self.rng.u64(..3_000), wave));
        }
        steps
    }
}
