//! Checks that the work of a task is done once: no start follows a run that ended as done, if that end is acknowledged
//! then or later, and no two runs overlap. An end does not count if the worker's lease lapsed before the end was
//! acknowledged, since nobody can tell that run from one that was given up.

use super::*;

/// State of the world when a run ended as done or failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndState {
    pub(super) ms: u64,
    /// Number of starts of all tasks before that end.
    pub(super) starts: u64,
    /// Number of lapses of the worker's lease before that end.
    pub(super) lapses: u32,
}

/// A start of a task.
struct Started {
    ms: u64,
    /// The serial number of the start over all tasks.
    number: u64,
    run: u32,
    worker: String,
}

/// The key by which attempts are counted: a task, or a gang as a whole.
#[derive(PartialEq, Eq, Hash)]
struct AttemptKey {
    job: String,
    round: u32,
    step: u16,
    /// `None` for a gang.
    index: Option<u16>,
}

/// Starts and ends of tasks, for the checks on repeated starts.
#[derive(Default)]
pub(super) struct StartHistory {
    /// Ends as done, by serial number of the instance and number of the end.
    pub(super) done: HashMap<(u64, u64), EndState>,
    /// Ends as failed, by serial number of the instance and number of the end.
    pub(super) failed: HashMap<(u64, u64), EndState>,
    /// Acknowledged failed runs, each with the number of starts before its end.
    acked_failed: HashMap<AttemptKey, BTreeMap<u32, u64>>,
    starts: HashMap<TaskName, Vec<Started>>,
}

impl Worker {
    /// Counts a lapse if the lease has expired. An expired lease stays expired even if the next renewal comes in the
    /// same millisecond.
    pub(super) fn note_lapse(&mut self, now_ms: u64) {
        if self.clock(now_ms) >= self.lease_until_ms {
            self.lapses += 1;
        }
    }
}

impl World {
    /// Checks that the worker that starts a task has no other run of it.
    pub(super) fn check_no_other_run(&self, id: &str, start: &RunStart) {
        let there = self.workers[id].running.get(&start.task);
        assert!(
            there.is_none(),
            "{} ms: {:?} starts on {id} as run {} beside run {:?}",
            self.now_ms,
            start.task,
            start.run,
            there.map(|r| r.run)
        );
    }

    pub(super) fn record_start(&mut self, id: &str, start: &RunStart) {
        let started = Started {
            ms: self.now_ms,
            number: self.starts,
            run: start.run,
            worker: id.to_string(),
        };
        let starts = self.once.starts.entry(start.task.clone()).or_default();
        starts.push(started);
    }

    /// Acknowledges an end as done. The end of one gang member stands for all members.
    pub(super) fn ack_done(&mut self, id: &str, end: RunEnd) {
        let at = self.once.done[&(self.workers[id].serial, end.number)];
        let has_lapsed = self.workers[id].lapses != at.lapses;
        let step = &self.specs[&end.task.job].steps[usize::from(end.task.step)];
        if step.gang && !has_lapsed {
            for index in 0..step.count {
                let member = TaskName {
                    index,
                    ..end.task.clone()
                };
                self.check_no_later(id, &end, &member, at);
                self.acked_done.insert(member);
            }
        }
        if !has_lapsed {
            self.check_no_later(id, &end, &end.task, at);
        }
        self.acked_done.insert(end.task);
    }

    /// Acknowledges an end as failed and checks that no start of the task came after the last failed run that its
    /// queue allows.
    pub(super) fn ack_failed(&mut self, id: &str, end: RunEnd) {
        let at = self.once.failed[&(self.workers[id].serial, end.number)];
        let step = &self.specs[&end.task.job].steps[usize::from(end.task.step)];
        if self.workers[id].lapses != at.lapses || step.lasting {
            return;
        }
        let task = &end.task;
        let key = AttemptKey {
            job: task.job.clone(),
            round: task.round,
            step: task.step,
            index: (!step.gang).then_some(task.index),
        };
        let runs = self.once.acked_failed.entry(key).or_default();
        runs.entry(end.run).or_insert(at.starts);
        let (_, most) = self.attempts[&task.job];
        let mut ends: Vec<u64> = runs.values().copied().collect();
        ends.sort_unstable();
        let Some(last) = ends.get(most as usize - 1).copied() else {
            return;
        };
        let starts = self.once.starts.get(task);
        if let Some(s) = starts.and_then(|starts| starts.iter().find(|s| s.number > last)) {
            panic!(
                "{} ms: {task:?} run {} started on {} at {} after {most} failed runs",
                self.now_ms, s.run, s.worker, s.ms
            );
        }
    }

    /// Checks that no start of a task came between an end that stands for it and now.
    fn check_no_later(&self, id: &str, end: &RunEnd, task: &TaskName, at: EndState) {
        let starts = self.once.starts.get(task);
        let later = starts.and_then(|starts| starts.iter().find(|s| s.number > at.starts));
        if let Some(s) = later {
            panic!(
                "{} ms: {:?} run {} done on {id} at {}, acknowledged after {task:?} run {} started on {} at {}",
                self.now_ms, end.task, end.run, at.ms, s.run, s.worker, s.ms
            );
        }
    }
}
