//! Workers that run slowly or hang: their runs progress at a part of the normal speed, while they answer renewals and
//! carry out orders as usual.

use rockwick::core::sched::deployment::Deployment;

use super::*;

/// Time after which the end of a run on a hung worker is looked at again.
const HUNG_LOOK_MS: u64 = 100;

impl World {
    /// Creates a world whose deployment states the longest time of a stop, which lets the scheduler act on slow workers.
    pub(crate) fn with_speeds(seed: u64, entries: usize, workers: usize, stop_ms: u64) -> Self {
        let mut world = World::new(seed, 0, workers);
        world.deployment = Deployment {
            stop_ms,
            ..Deployment::default()
        };
        world.add_entries(entries);
        world
    }

    /// Sets the speed of a worker in thousandths of the normal one; 0 hangs it.
    pub(crate) fn set_speed(&mut self, id: &str, speed_milli: u64) {
        let now_ms = self.now_ms;
        if let Some(w) = self.workers.get_mut(id) {
            w.progress_runs(now_ms);
            w.speed_milli = speed_milli;
        }
    }

    /// Gives all workers their normal speed back.
    pub(crate) fn restore_speeds(&mut self) {
        for id in self.worker_ids() {
            self.set_speed(&id, 1_000);
        }
    }

    /// Returns whether a run has done its work. If not, its end is scheduled again.
    pub(super) fn has_done_work(&mut self, id: &str, task: &TaskName, run: u32) -> bool {
        let now_ms = self.now_ms;
        let Some(w) = self.workers.get_mut(id) else {
            return true;
        };
        w.progress_runs(now_ms);
        let speed_milli = w.speed_milli;
        let Some(left_ms) = w.running.get(task).map(ActiveRun::left_ms) else {
            return true;
        };
        if left_ms == 0 {
            return true;
        }
        let after_ms = match speed_milli {
            0 => HUNG_LOOK_MS,
            _ => (left_ms * 1_000).div_ceil(speed_milli).max(1),
        };
        let end = TimedEvent::RunEnds(id.to_string(), task.clone(), run);
        self.schedule(after_ms, end);
        false
    }
}

impl Worker {
    /// Adds the work that its runs have done since it was last added.
    pub(super) fn progress_runs(&mut self, now_ms: u64) {
        for run in self.running.values_mut() {
            run.done_us += (now_ms - run.counted_ms) * self.speed_milli;
            run.counted_ms = now_ms;
        }
    }
}

impl ActiveRun {
    fn left_ms(&self) -> u64 {
        (self.work_ms * 1_000)
            .saturating_sub(self.done_us)
            .div_ceil(1_000)
    }

    /// Returns the percentage done of a run that ends by itself; it stays below 100 until the run ends.
    pub(super) fn percent_done(&self) -> u32 {
        let percent = self.done_us / (self.work_ms * 10).max(1);
        percent.min(99) as u32
    }
}
