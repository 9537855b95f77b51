//! Draws series in which workers restart under their ids and are cut off soon after, while orders to them are held up and
//! the owner may be killed. [`super::faults`] takes the steps.

use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use standin::fleet::OrderFault;

use super::proxy::LinkFault;

/// Run time of a long task in milliseconds; it may outlast a series.
pub(crate) const LONG_MS: Range<u64> = 1_000..5_000;

/// Age of the workers' first instances: orders that were meant for earlier ones have come long ago.
pub(crate) const AGE_MS: u64 = 60_000;

/// Names a step of a series; times are in milliseconds, hosts are given by their numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Holds orders to workers up for this long.
    DelayOrders(OrderFault, u64),
    /// Crashes the worker of a host; it is up again under its id after this time.
    Restart(usize, u64),
    /// Cuts the worker of a host off for this long.
    Cut(usize, LinkFault, u64),
    /// Kills the owner; its entry is up again after this time.
    KillOwner(u64),
}

/// Draws the series.
pub(crate) struct Recuts {
    rng: Rng,
}

impl Recuts {
    /// Creates the generator.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed.rotate_left(41)),
        }
    }

    /// Draws the pause until the next series, which may begin before the last one has ended.
    pub(crate) fn draw_pause(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(300..2_500))
    }

    /// Draws a series for some of `hosts` hosts: its steps, each with the time from now in milliseconds.
    pub(crate) fn draw(&mut self, hosts: usize) -> Vec<(u64, Step)> {
        let crash_ms = self.rng.u64(200..1_500);
        let fault = OrderFault {
            very_late: self.rng.u32(30..80),
            late_holds: self.rng.u32(..50),
            ..OrderFault::default()
        };
        let delay_ms = crash_ms + self.rng.u64(..2_000);
        let mut steps = vec![(0, Step::DelayOrders(fault, delay_ms))];
        let back_ms = self.rng.u64(20..1_500);
        let reach_ms = match self.rng.bool() {
            true => self.rng.u64(..2_500),
            false => self.rng.u64(..200),
        };
        let cut_at_ms = crash_ms + back_ms + reach_ms;
        let cut_ms = self.rng.u64(2_000..9_000);
        let link_fault = match self.rng.u32(..3) {
            0 => LinkFault::Reset,
            1 => LinkFault::OneWay,
            _ => LinkFault::Silence,
        };
        let first = self.rng.usize(..hosts);
        for n in 0..self.rng.usize(1..=hosts.div_ceil(2)) {
            let host = (first + n) % hosts;
            steps.push((crash_ms, Step::Restart(host, back_ms)));
            steps.push((cut_at_ms, Step::Cut(host, link_fault, cut_ms)));
        }
        if self.rng.bool() {
            let kill_ms = crash_ms + self.rng.u64(..3_000);
            steps.push((kill_ms, Step::KillOwner(self.rng.u64(100..3_000))));
        }
        steps
    }
}
