//! Tasks that crash each worker that starts them, and the bound on further starts of them.

use super::*;

/// Time until a new instance starts on the host of a crashed worker.
const BACK_MS: u64 = 3_400;

/// The number of starts that undisturbed entries may order of a crashing task after three workers have crashed under
/// it. Orders that arrive late do not count.
const STARTS_PAST_THREE: u32 = 2;

/// Tasks that crash workers, and what they caused.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// How long after its start each crashing task crashes its worker.
    pub(crate) after_ms: HashMap<TaskName, u64>,
    /// Number of workers that crashed under each task, for any cause.
    pub(crate) crashed_under: HashMap<TaskName, u32>,
    /// Number of workers that crashing tasks crashed.
    pub(crate) workers: u32,
    /// Number of runs of other tasks that ended in these crashes.
    pub(crate) runs: u32,
    /// Starts that count against [`STARTS_PAST_THREE`].
    past_three: HashMap<TaskName, u32>,
}

impl Crashes {
    /// Returns the largest number of workers that crashed under one task of a job.
    pub(super) fn most_under(&self, job: &str) -> u32 {
        let of_job = self
            .crashed_under
            .iter()
            .filter(|(task, _)| task.job == job);
        of_job.map(|(_, n)| *n).max().unwrap_or(0)
    }
}

impl World {
    /// Makes a task of the first step of a job crash each worker this long after its start.
    pub(crate) fn set_crashing_task(&mut self, job: &str, index: u16, after_ms: u64) {
        let task = TaskName {
            job: job.to_string(),
            round: 0,
            step: 0,
            index,
        };
        self.crashes.after_ms.insert(task, after_ms);
    }

    /// Returns whether a job may be given up: two workers have crashed under one of its tasks.
    pub(crate) fn may_be_given_up(&self, job: &str) -> bool {
        self.crashes.most_under(job) >= 2
    }

    /// Returns the number of certain and likely crashes in the owner's in-memory state, over all tasks.
    pub(crate) fn counted_crashes(&self) -> u32 {
        let jobs = self
            .owner_pool_state()
            .expect("an owner has loaded the pool")
            .jobs
            .values();
        let steps = jobs.flat_map(|j| j.rounds.values()).flat_map(|r| &r.steps);
        let losses = steps.flat_map(|s| &s.tasks).map(|t| t.losses);
        losses.map(|l| u32::from(l.crashed + l.likely)).sum()
    }

    /// Checks the bound on starts of a crashing task and schedules the crash of its worker.
    pub(super) fn check_crasher_start(&mut self, id: &str, task: &TaskName, run: u32) {
        let Some(after_ms) = self.crashes.after_ms.get(task).copied() else {
            return;
        };
        if self
            .crashes
            .crashed_under
            .get(task)
            .is_some_and(|n| *n >= 3)
        {
            let added = u32::from(self.is_undisturbed());
            let past = self.crashes.past_three.entry(task.clone()).or_default();
            *past += added;
            assert!(
                *past <= STARTS_PAST_THREE,
                "{} ms: {task:?} starts as run {run} after three crashes under it, {past} times by undisturbed entries",
                self.now_ms
            );
        }
        self.schedule(
            after_ms,
            TimedEvent::RunCrashesWorker(id.to_string(), task.clone(), run),
        );
    }

    /// Returns whether the order that is being carried out is in time and comes from an undisturbed entry.
    pub(super) fn is_undisturbed(&self) -> bool {
        !self.is_late_order
            && self.now_ms
                >= self.entries[self.ordering_entry].undisturbed_since_ms + UNDISTURBED_MS
    }

    /// Crashes the worker of a run if the run is still active.
    pub(super) fn crash_worker_of(&mut self, id: &str, task: &TaskName, run: u32) {
        let worker = self.workers.get(id).filter(|w| w.is_up);
        let active = worker.and_then(|w| w.running.get(task));
        if active.is_none_or(|r| r.run != run) {
            return;
        }
        self.crashes.workers += 1;
        self.crashes.runs += self.workers[id].running.len() as u32 - 1;
        self.crash(id, BACK_MS);
    }
}
