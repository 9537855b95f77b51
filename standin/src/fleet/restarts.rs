//! Workers that start again under the id that they had, and know nothing of before.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::Timer;

use super::{Fleet, State};

/// A wall clock is off by so much at the most.
const CLOCK_STEP_MS: u64 = 3_000;

impl State {
    /// Names a life where an id may have had several.
    pub(super) fn label(&self, life: &str) -> String {
        let serial = self.workers.get(life).map_or(0, |w| w.serial);
        format!("{life}#{serial}")
    }

    /// The number of the life that is up on a host; 0 for none.
    pub(super) fn serial_on(&self, n: usize) -> u64 {
        let life = self.hosts[n].life.as_ref();
        let worker = life.and_then(|life| self.workers.get(life));
        worker.map_or(0, |w| w.serial)
    }

    /// When a life that starts now says that it was born: its wall clock may have been set back.
    pub(super) fn born_ms(&mut self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = since.unwrap_or_default().as_millis() as u64;
        now_ms - self.births.u64(..CLOCK_STEP_MS)
    }
}

impl Fleet {
    /// A host's worker crashes, and starts again under its id so much later.
    pub fn restart(&self, n: usize, back_ms: u64) {
        let life = self.lock().end_life(n, self.clock_ms());
        if let Some(life) = life {
            self.start_again(n, life, back_ms);
        }
    }

    /// Lives that end from now on come again under their ids, or under new ones.
    pub fn set_keeps_ids(&self, keeps_ids: bool) {
        self.lock().keeps_ids = keeps_ids;
    }

    pub(super) fn start_again(&self, n: usize, life: String, after_ms: u64) {
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            Timer::after(Duration::from_millis(after_ms)).await;
            fleet.begin_life(n, life);
        });
    }
}
