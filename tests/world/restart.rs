//! Simulates workers that restart under the same id. The later instance keeps no state of the earlier one.

use super::*;

/// Maximum step, back or forward, of a host's wall clock between two instances.
const CLOCK_STEP_MS: u64 = 4_000;

/// How long a worker is disconnected soon after a restart.
const RECUT_MS: u64 = 9_000;

impl World {
    /// Crashes a worker. A later instance starts `back_after_ms` later, with the same id and address.
    pub(crate) fn restart_worker(&mut self, id: &str, back_after_ms: u64) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.is_up = false;
        for task in w.running.keys() {
            *self.crashes.crashed_under.entry(task.clone()).or_default() += 1;
        }
        if std::env::var_os("ROCKWICK_SEED").is_some() {
            println!("{} {id} crashes, back in {back_after_ms} ms", self.now_ms);
        }
        self.end_all_runs(id);
        self.schedule(
            back_after_ms,
            TimedEvent::LaterInstanceStarts(id.to_string()),
        );
    }

    /// Restarts a worker and disconnects it `cut_after_ms` after the later instance starts.
    pub(crate) fn recut_worker(&mut self, id: &str, back_after_ms: u64, cut_after_ms: u64) {
        self.restart_worker(id, back_after_ms);
        let cut = TimedEvent::Disconnect(id.to_string(), RECUT_MS);
        self.schedule(back_after_ms + cut_after_ms, cut);
    }

    /// Starts a worker on a host after a crash or maintenance: under the id of the host's last worker if ids are kept
    /// and that worker is down, else under a new id.
    pub(super) fn start_on_host(&mut self, host: &str) {
        let last = self.workers.iter().filter(|(_, w)| w.info.host == host);
        let last = last.max_by_key(|(_, w)| w.serial).map(|(id, _)| id.clone());
        match last {
            Some(id) if self.keeps_ids && !self.workers[&id].is_up => {
                self.start_later_instance(&id)
            }
            _ => self.start_instance(host),
        }
    }

    /// Starts the later instance under a worker's id. Its list entry reaches the entries at once or within one
    /// heartbeat interval.
    pub(super) fn start_later_instance(&mut self, id: &str) {
        let now_ms = self.now_ms;
        // The random step of the wall clock is drawn from 0 to twice `CLOCK_STEP_MS`; `CLOCK_STEP_MS` is subtracted
        // below.
        let born_wall_ms = WALL_MS + now_ms + self.restarts_rng.u64(0..CLOCK_STEP_MS * 2);
        let is_seen_at_once = self.restarts_rng.bool();
        let heartbeat_ms = if is_seen_at_once {
            0
        } else {
            self.restarts_rng.u64(0..HEARTBEAT_MS)
        };
        self.next_serial += 1;
        let serial = self.next_serial;
        let Some(w) = self.workers.get_mut(id).filter(|w| !w.is_up) else {
            return;
        };
        let info = WorkerInfo {
            born_wall_ms: Some(born_wall_ms.saturating_sub(CLOCK_STEP_MS)),
            is_draining: false,
            ..w.info.clone()
        };
        let later = Worker {
            // The monotonic clock of the instance starts at zero, so it is behind the simulated time by `now_ms`.
            clock_ahead_ms: 0_u64.wrapping_sub(now_ms),
            ..Worker::new(info, serial)
        };
        self.former_instances.push(std::mem::replace(w, later));
        self.schedule(heartbeat_ms, TimedEvent::Heartbeat(id.to_string()));
    }

    /// Delivers the list entry of a random earlier instance again, although a later instance has taken over its id. If
    /// the current instance is up, its entry follows one heartbeat interval later.
    pub(crate) fn relist_former_instance(&mut self) {
        if self.former_instances.is_empty() {
            return;
        }
        let n = self.restarts_rng.usize(0..self.former_instances.len());
        let info = self.former_instances[n].info.clone();
        let id = info.id.clone();
        self.broadcast(&Event::Worker(WorkerEvent::Present(info)));
        self.schedule(HEARTBEAT_MS, TimedEvent::Heartbeat(id));
    }
}
