//! The promise that a task's work is done once: no start after a run of it has ended as done, if that end is taken note
//! of then or later, and no two runs at once. An end that the worker's lease lapsed behind before it was taken note of
//! does not count: nobody can tell it from a run that was given up.

use super::*;

/// How things stood as a run ended as done or failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct DoneAt {
    pub(super) ms: u64,
    /// Starts until then, of all tasks.
    pub(super) starts: u64,
    /// Lapses of the worker's lease until then.
    pub(super) lapses: u32,
}

/// One start of a task.
struct Started {
    ms: u64,
    /// Its place among all starts.
    number: u64,
    run: u32,
    worker: String,
}

/// What attempts are counted by: a task, or a gang as a whole.
#[derive(PartialEq, Eq, Hash)]
struct Attempted {
    job: String,
    round: u32,
    step: u16,
    /// Nothing for a gang.
    index: Option<u16>,
}

/// Starts and ends, as far as they count on starts of one task again.
#[derive(Default)]
pub(super) struct Once {
    /// Ends as done, by life and number of the end.
    pub(super) done: HashMap<(u64, u64), DoneAt>,
    /// The same of ends as failed.
    pub(super) failed: HashMap<(u64, u64), DoneAt>,
    /// Failed runs that were taken note of, each with the starts until its end.
    noted_failed: HashMap<Attempted, BTreeMap<u32, u64>>,
    starts: HashMap<TaskName, Vec<Started>>,
}

impl Worker {
    /// A lease that is over is so for good, also where the next renewal comes in the same moment.
    pub(super) fn note_lapse(&mut self, now_ms: u64) {
        if self.clock(now_ms) >= self.lease_until_ms {
            self.lapses += 1;
        }
    }
}

impl World {
    /// No other run of a task is on the worker that starts it.
    pub(super) fn check_alone(&self, id: &str, start: &RunStart) {
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

    pub(super) fn note_start(&mut self, id: &str, start: &RunStart) {
        let started = Started {
            ms: self.now_ms,
            number: self.starts,
            run: start.run,
            worker: id.to_string(),
        };
        let starts = self.once.starts.entry(start.task.clone()).or_default();
        starts.push(started);
    }

    /// An end as done is taken note of. One of a gang stands for all members.
    pub(super) fn note_done(&mut self, id: &str, end: RunEnd) {
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
                self.noted_done.insert(member);
            }
        }
        if !has_lapsed {
            self.check_no_later(id, &end, &end.task, at);
        }
        self.noted_done.insert(end.task);
    }

    /// An end as failed is taken note of: no start of the task came after the last failed run that its queue allows.
    pub(super) fn note_failed(&mut self, id: &str, end: RunEnd) {
        let at = self.once.failed[&(self.workers[id].serial, end.number)];
        let step = &self.specs[&end.task.job].steps[usize::from(end.task.step)];
        if self.workers[id].lapses != at.lapses || step.lasting {
            return;
        }
        let task = &end.task;
        let key = Attempted {
            job: task.job.clone(),
            round: task.round,
            step: task.step,
            index: (!step.gang).then_some(task.index),
        };
        let runs = self.once.noted_failed.entry(key).or_default();
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

    /// No start of a task came between an end that stands for it and now.
    fn check_no_later(&self, id: &str, end: &RunEnd, task: &TaskName, at: DoneAt) {
        let starts = self.once.starts.get(task);
        let later = starts.and_then(|starts| starts.iter().find(|s| s.number > at.starts));
        if let Some(s) = later {
            panic!(
                "{} ms: {:?} run {} done on {id} at {}, noted after {task:?} run {} started on {} at {}",
                self.now_ms, end.task, end.run, at.ms, s.run, s.worker, s.ms
            );
        }
    }
}
