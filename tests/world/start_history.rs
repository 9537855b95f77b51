//! Checks that the work of a task is done once: no start follows a run whose end as done is acknowledged, before or
//! after that start, and no two runs overlap. An end does not count if the worker's lease lapsed between the end and
//! its acknowledgement, since nobody can tell that run from one that was given up. In the same way, no start may follow
//! the last failed run that the queue allows.

use super::*;

/// State of the world when a run ended as done or failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndState {
    pub(super) ms: u64,
    /// Number of starts, over all tasks, before that end.
    pub(super) starts: u64,
    /// Number of times that the worker's lease had lapsed by then.
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
        let other = self.workers[id].running.get(&start.task);
        assert!(
            other.is_none(),
            "{} ms: {:?} starts on {id} as run {} beside run {:?}",
            self.now_ms,
            start.task,
            start.run,
            other.map(|r| r.run)
        );
    }

    pub(super) fn record_start(&mut self, id: &str, start: &RunStart) {
        let started = Started {
            ms: self.now_ms,
            number: self.starts,
            run: start.run,
            worker: id.to_string(),
        };
        let starts = self
            .start_history
            .starts
            .entry(start.task.clone())
            .or_default();
        starts.push(started);
    }

    /// Acknowledges an end as done. The end of one gang member stands for all members.
    pub(super) fn ack_done(&mut self, id: &str, end: RunEnd) {
        let at = self.start_history.done[&(self.workers[id].serial, end.number)];
        let has_lapsed = self.workers[id].lapses != at.lapses;
        let step = &self.specs[&end.task.job].steps[usize::from(end.task.step)];
        if step.gang && !has_lapsed {
            for index in 0..step.count {
                let member = TaskName {
                    index,
                    ..end.task.clone()
                };
                self.check_no_later_start(id, &end, &member, at);
                self.acked_done.insert(member);
            }
        }
        if !has_lapsed {
            self.check_no_later_start(id, &end, &end.task, at);
        }
        self.acked_done.insert(end.task);
    }

    /// Acknowledges an end as failed and checks that no start of the task came after the last failed run that its
    /// queue allows.
    pub(super) fn ack_failed(&mut self, id: &str, end: RunEnd) {
        let at = self.start_history.failed[&(self.workers[id].serial, end.number)];
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
        let runs = self.start_history.acked_failed.entry(key).or_default();
        runs.entry(end.run).or_insert(at.starts);
        let (_, most) = self.attempts_allowed[&task.job];
        let mut ends: Vec<u64> = runs.values().copied().collect();
        ends.sort_unstable();
        let Some(last) = ends.get(most as usize - 1).copied() else {
            return;
        };
        let starts = self.start_history.starts.get(task);
        if let Some(s) = starts.and_then(|starts| starts.iter().find(|s| s.number > last)) {
            panic!(
                "{} ms: {task:?} run {} started on {} at {} after {most} failed runs",
                self.now_ms, s.run, s.worker, s.ms
            );
        }
    }

    /// Checks that no start of a task has followed an end that stands for the task.
    fn check_no_later_start(&self, id: &str, end: &RunEnd, task: &TaskName, at: EndState) {
        let starts = self.start_history.starts.get(task);
        let later = starts.and_then(|starts| starts.iter().find(|s| s.number > at.starts));
        if let Some(s) = later {
            panic!(
                "{} ms: {:?} run {} done on {id} at {}, acknowledged after {task:?} run {} started on {} at {}",
                self.now_ms, end.task, end.run, at.ms, s.run, s.worker, s.ms
            );
        }
    }
}
