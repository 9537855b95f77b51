//! Workers that start again under the id that they had: the later life knows nothing of the earlier one.

use super::*;

/// Wall clocks are set back or forward by so much at the most between two lives.
const CLOCK_STEP_MS: u64 = 4_000;

impl World {
    /// A worker crashes; a later life comes up under its id, at its address.
    pub(crate) fn restart(&mut self, id: &str, back_after_ms: u64) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.is_up = false;
        for task in w.running.keys() {
            *self.crashes.under.entry(task.clone()).or_default() += 1;
        }
        if std::env::var_os("ROCKWICK_SEED").is_some() {
            println!("{} {id} crashes, back in {back_after_ms} ms", self.now_ms);
        }
        self.clear(id);
        self.at(back_after_ms, Happening::Restarted(id.to_string()));
    }

    /// A host's worker comes up after a crash or its upkeep.
    pub(super) fn come_back(&mut self, host: &str) {
        let last = self.workers.iter().filter(|(_, w)| w.fact.host == host);
        let last = last.max_by_key(|(_, w)| w.serial).map(|(id, _)| id.clone());
        match last {
            Some(id) if self.keeps_ids && !self.workers[&id].is_up => self.restarted(&id),
            _ => self.new_life(host),
        }
    }

    /// The later life comes up. Its entry is told now, or with its first heartbeat.
    pub(super) fn restarted(&mut self, id: &str) {
        let now_ms = self.now_ms;
        let born_wall_ms = WALL_MS + now_ms + self.restarts.u64(0..CLOCK_STEP_MS * 2);
        let is_told = self.restarts.bool();
        let beat_ms = if is_told {
            0
        } else {
            self.restarts.u64(0..BEAT_MS)
        };
        self.next_life += 1;
        let serial = self.next_life;
        let Some(w) = self.workers.get_mut(id).filter(|w| !w.is_up) else {
            return;
        };
        let fact = WorkerInfo {
            born_wall_ms: Some(born_wall_ms.saturating_sub(CLOCK_STEP_MS)),
            draining: false,
            ..w.fact.clone()
        };
        let later = Worker {
            // Its clock counts from its start.
            clock_ahead_ms: 0_u64.wrapping_sub(now_ms),
            ..Worker::new(fact, serial)
        };
        self.former.push(std::mem::replace(w, later));
        self.at(beat_ms, Happening::Beat(id.to_string()));
    }

    /// An entry that an earlier life wrote is seen now, after the later life's.
    pub(crate) fn relist_former(&mut self) {
        if self.former.is_empty() {
            return;
        }
        let n = self.restarts.usize(0..self.former.len());
        let fact = self.former[n].fact.clone();
        let id = fact.id.clone();
        self.broadcast(&Event::Worker(WorkerEvent::Present(fact)));
        self.at(BEAT_MS, Happening::Beat(id));
    }
}
