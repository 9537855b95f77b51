//! What befalls a world only where a test asks for it, drawn by generators of their own.

use super::*;

/// Longest time that an order is late.
const LATE_MAX_MS: u64 = 12_000;

impl World {
    /// The list of workers lacks an entry for a while; the life runs on.
    pub(crate) fn unlist(&mut self, id: &str, ms: u64) {
        self.unlisted.insert(id.to_string());
        self.broadcast(&Event::Worker(WorkerWord::Gone(id.to_string())));
        self.at(ms, Happening::Beat(id.to_string()));
    }

    /// Orders to workers get no answer this often, in thousandths, and are carried out up to 12 s later.
    pub(crate) fn delay_orders(&mut self, milli: u32, rng: Rng) {
        self.late_orders = Some((milli, rng));
    }

    /// How late an order is carried out, if it is.
    pub(super) fn lateness_ms(&mut self) -> Option<u64> {
        let (milli, rng) = self.late_orders.as_mut()?;
        let is_late = rng.u32(0..1_000) < *milli;
        is_late.then(|| rng.u64(20..LATE_MAX_MS))
    }
}
