//! What a world needs to tell whether work goes on once all faults have ended.

use super::*;

impl World {
    /// A worker has other labels, and states so with a heartbeat.
    pub(crate) fn relabel(&mut self, id: &str, labels: &[&str]) {
        if let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) {
            w.fact.labels = labels.iter().map(ToString::to_string).collect();
            self.at(0, Happening::Beat(id.to_string()));
        }
    }

    /// Tasks that run now.
    pub(crate) fn all_running(&self) -> usize {
        let lives = self.workers.values().filter(|w| w.is_up);
        lives.map(|w| w.running.len()).sum()
    }

    /// Whether the workers that are up, were they empty, could take a task of a job's first step, or all of a gang.
    pub(crate) fn fits_somewhere(&self, id: &str) -> bool {
        let step = &self.specs[id].steps[0];
        let up = self.workers.values().filter(|w| w.is_up);
        let labelled = up.filter(|w| {
            let label = step.label.as_ref();
            label.is_none_or(|label| w.fact.labels.contains(label))
        });
        let copies = labelled.map(|w| copies_on(step, w.fact.capacity));
        let wanted = if step.gang { u64::from(step.count) } else { 1 };
        copies.sum::<u64>() >= wanted
    }
}

/// How many tasks of a step an empty worker takes.
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
