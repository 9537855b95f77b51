//! Restarts workers under the same id without any state of their former instance. The fault soak calls it to crash a
//! worker, and the platform calls it when an instance ends.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::Timer;

use super::{Fleet, State};

/// Bound, exclusive, of how far a worker's wall clock may have been set back at a start.
const CLOCK_SETBACK_MAX_MS: u64 = 3_000;

impl State {
    /// Returns a name for an instance of a worker id that differs from those of earlier instances with the same id.
    pub(super) fn instance_label(&self, instance: &str) -> String {
        let serial = self.workers.get(instance).map_or(0, |w| w.serial);
        format!("{instance}#{serial}")
    }

    /// Returns the number of the instance that runs on a host; 0 for none.
    pub(super) fn serial_on(&self, n: usize) -> u64 {
        let instance = self.hosts[n].instance.as_ref();
        let worker = instance.and_then(|instance| self.workers.get(instance));
        worker.map_or(0, |w| w.serial)
    }

    /// Returns the start time that an instance reports if it starts now. A random amount is subtracted, because the
    /// worker's wall clock may have been set back.
    pub(super) fn draw_born_ms(&mut self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = since.unwrap_or_default().as_millis() as u64;
        now_ms - self.start_time_rng.u64(..CLOCK_SETBACK_MAX_MS)
    }
}

impl Fleet {
    /// Makes the instances that run now state that they started `age_ms` earlier than they said, with clocks that show
    /// as much more; call before entries read the list.
    pub fn age_workers(&self, age_ms: u64) {
        let mut state = self.lock();
        for worker in state.workers.values_mut() {
            worker.born_ms = worker.born_ms.saturating_sub(age_ms);
            worker.clock = worker.clock.set_forward(age_ms);
        }
        let hosts = state.hosts.len();
        drop(state);
        (0..hosts).for_each(|n| self.relist(n));
    }

    /// Crashes a host's worker, and restarts it under its id after `back_ms`.
    pub fn restart(&self, n: usize, back_ms: u64) {
        let instance = self.lock().end_instance(n, self.clock_ms());
        if let Some(instance) = instance {
            self.restart_after(n, instance, back_ms);
        }
    }

    /// Sets whether instances that end from now on restart under their ids or under new ones.
    pub fn set_keeps_ids(&self, keeps_ids: bool) {
        self.lock().keeps_ids = keeps_ids;
    }

    pub(super) fn restart_after(&self, n: usize, instance: String, after_ms: u64) {
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            Timer::after(Duration::from_millis(after_ms)).await;
            fleet.start_instance(n, instance);
        });
    }
}
