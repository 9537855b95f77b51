//! Tasks that bring down each worker that starts them, and what may still be started of them.

use super::*;

/// A crashed worker's host is back with a new life after so long.
const BACK_MS: u64 = 3_400;

/// What such a task may be started after three workers have crashed under it.
const STARTS_PAST_THREE: u32 = 2;

/// Tasks that crash workers, and what they did.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// How long after its start each of them brings its worker down.
    pub(crate) after_ms: HashMap<TaskName, u64>,
    /// Workers that crashed under each task, whatever the cause.
    pub(crate) under: HashMap<TaskName, u32>,
    /// Workers that such tasks brought down.
    pub(crate) workers: u32,
    /// Runs of others that ended with them.
    pub(crate) runs: u32,
    /// Starts of such tasks after three workers had crashed under them.
    past_three: HashMap<TaskName, u32>,
}

impl Crashes {
    /// Most workers that crashed under one task of a job.
    pub(super) fn most_under(&self, job: &str) -> u32 {
        let of_job = self.under.iter().filter(|(task, _)| task.job == job);
        of_job.map(|(_, n)| *n).max().unwrap_or(0)
    }
}

impl World {
    /// A task of a job's first step brings down each worker, so long after its start.
    pub(crate) fn crashes_workers(&mut self, job: &str, index: u16, after_ms: u64) {
        let task = TaskName {
            job: job.to_string(),
            round: 0,
            step: 0,
            index,
        };
        self.crashes.after_ms.insert(task, after_ms);
    }

    /// Whether a task of a job may be given up: two workers have crashed under it.
    pub(crate) fn may_be_given_up(&self, job: &str) -> bool {
        self.crashes.most_under(job) >= 2
    }

    /// Crashes that the owner's books count, over all tasks.
    pub(crate) fn counted(&self) -> u32 {
        let jobs = self.owner_book().expect("an owner has books").jobs.values();
        let steps = jobs.flat_map(|j| j.rounds.values()).flat_map(|r| &r.steps);
        let ended = steps.flat_map(|s| &s.tasks).map(|t| t.losses);
        ended.map(|e| u32::from(e.crashed + e.likely)).sum()
    }

    /// The promise on starts of such a task, and what its start leads to.
    pub(super) fn crasher_started(&mut self, id: &str, task: &TaskName, run: u32) {
        let Some(after_ms) = self.crashes.after_ms.get(task).copied() else {
            return;
        };
        if self.crashes.under.get(task).is_some_and(|n| *n >= 3) {
            let counts = u32::from(self.is_in_touch());
            let past = self.crashes.past_three.entry(task.clone()).or_default();
            *past += counts;
            assert!(
                *past <= STARTS_PAST_THREE,
                "{} ms: {task:?} starts as run {run} after three workers have crashed under it, {past} by entries in touch",
                self.now_ms
            );
        }
        self.at(
            after_ms,
            Happening::CrashedBy(id.to_string(), task.clone(), run),
        );
    }

    /// Whether the order that is carried out comes in time, from an entry that nothing befell of late.
    fn is_in_touch(&self) -> bool {
        !self.is_late && self.now_ms >= self.entries[self.orderer].calm_since_ms + CONTACT_MS
    }

    /// A run brings its worker down, if it is still there.
    pub(super) fn crashed_by(&mut self, id: &str, task: &TaskName, run: u32) {
        let there = self.workers.get(id).filter(|w| w.is_up);
        let there = there.and_then(|w| w.running.get(task));
        if there.is_none_or(|r| r.run != run) {
            return;
        }
        self.crashes.workers += 1;
        self.crashes.runs += self.workers[id].running.len() as u32 - 1;
        self.crash(id, BACK_MS);
    }
}
