//! Helpers that check whether work continues once all faults have ended.

use super::*;

impl World {
    /// Changes the labels of a worker, which states them in a heartbeat at once.
    pub(crate) fn relabel(&mut self, id: &str, labels: &[&str]) {
        if let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) {
            w.info.labels = labels.iter().map(ToString::to_string).collect();
            self.schedule(0, TimedEvent::Heartbeat(id.to_string()));
        }
    }

    /// Returns the number of tasks that run on all workers.
    pub(crate) fn all_running(&self) -> usize {
        let instances = self.workers.values().filter(|w| w.is_up);
        instances.map(|w| w.running.len()).sum()
    }

    /// Returns whether the workers that are up, if they were empty, could take a task of the first step of a job, or a
    /// whole gang.
    pub(crate) fn fits_somewhere(&self, id: &str) -> bool {
        let step = &self.specs[id].steps[0];
        let up = self.workers.values().filter(|w| w.is_up);
        let labelled = up.filter(|w| {
            let label = step.label.as_ref();
            label.is_none_or(|label| w.info.labels.contains(label))
        });
        let copies = labelled.map(|w| copies_on(step, w.info.capacity));
        let wanted = if step.gang { u64::from(step.count) } else { 1 };
        copies.sum::<u64>() >= wanted
    }
}

/// Returns how many tasks of a step an empty worker can take.
fn copies_on(step: &StepSpec, room: Capacity) -> u64 {
    let demand = step.demand();
    let by_cpu = room.cpu_milli / demand.cpu_milli.max(1);
    let by_mem = room.mem_mb / demand.mem_mb.max(1);
    let most = match step.per_worker_max {
        0 => u64::MAX,
        most => u64::from(most),
    };
    by_cpu.min(by_mem).min(most)
}
