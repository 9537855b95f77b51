//! Simulates tasks that renew a checkpoint as they work, and checks that each start brings one of its own task.

use super::*;

/// Work after which a run renews its checkpoint.
pub(crate) const INTERVAL_MS: u64 = 500;

/// Time that a run takes to continue from a checkpoint.
pub(crate) const RESTORE_MS: u64 = 50;

/// Tasks of steps with checkpoints, and the time that was spent on them.
#[derive(Default)]
pub(crate) struct Checkpoints {
    /// Work of each task, or of each member of a gang under the first one, and the number of members.
    work_ms: HashMap<TaskName, (u64, u64)>,
    /// Sum of the times of all ended runs.
    pub(crate) run_ms: u64,
    /// Number of starts that brought a checkpoint.
    pub(crate) resumed: u64,
    /// Text that each run of a task was started with.
    brought: HashMap<(TaskName, u32), String>,
}

/// What a run of a checkpointing task continues from.
#[derive(Clone, Debug, Default)]
pub(super) struct Resumed {
    /// Whether the step has checkpoints.
    is_on: bool,
    /// Text that the start brought.
    text: String,
    /// Work done before this run.
    done_ms: u64,
    /// Work of the whole task.
    work_ms: u64,
}

impl Resumed {
    /// Returns the time that the run needs.
    pub(super) fn left_ms(&self) -> u64 {
        self.restore_ms() + self.work_ms - self.done_ms
    }

    fn restore_ms(&self) -> u64 {
        if self.text.is_empty() {
            0
        } else {
            RESTORE_MS
        }
    }

    /// Returns the work done by a run that is `ran_ms` old.
    fn worked_ms(&self, ran_ms: u64) -> u64 {
        let work_ms = self.done_ms + ran_ms.saturating_sub(self.restore_ms());
        work_ms.min(self.work_ms)
    }
}

/// Returns the name under which a task's checkpoints are known. The members of a gang share theirs.
fn owner_of(task: &TaskName, step: &StepSpec) -> TaskName {
    let index = if step.gang { 0 } else { task.index };
    TaskName {
        index,
        ..task.clone()
    }
}

fn text_of(owner: &TaskName, done_ms: u64) -> String {
    let TaskName {
        job,
        round,
        step,
        index,
    } = owner;
    format!("{job}.{round}.{step}.{index}/{done_ms}")
}

impl World {
    /// Checks the checkpoint that a start brings, and returns what the run continues from.
    pub(super) fn resume(&mut self, start: &RunStart, drawn_ms: u64) -> Resumed {
        let spec = &self.specs[&start.task.job];
        let step = &spec.steps[usize::from(start.task.step)];
        let text = start.checkpoint.clone();
        if !step.checkpoints {
            assert!(
                text.is_empty(),
                "{} ms: {:?} starts with {text}",
                self.now_ms,
                start.task
            );
            return Resumed::default();
        }
        let owner = owner_of(&start.task, step);
        let count = if step.gang { step.count } else { 1 };
        let done_ms = match text.rsplit_once('/') {
            None => 0,
            Some((_, done_ms)) => done_ms
                .parse()
                .expect("a checkpoint ends with the work done"),
        };
        assert!(
            text.is_empty() || text == text_of(&owner, done_ms),
            "{} ms: {:?} starts with the foreign checkpoint {text}",
            self.now_ms,
            start.task
        );
        for index in 0..count {
            let member = TaskName {
                index: index + owner.index,
                ..owner.clone()
            };
            if let Some(other) = self.checkpoints.brought.get(&(member, start.run)) {
                assert_eq!(
                    *other, text,
                    "{} ms: {:?} run {}: one run, two checkpoints",
                    self.now_ms, start.task, start.run
                );
            }
        }
        let work = self.checkpoints.work_ms.entry(owner);
        let (work_ms, _) = *work.or_insert((drawn_ms, u64::from(count)));
        self.checkpoints.resumed += u64::from(!text.is_empty());
        self.checkpoints
            .brought
            .insert((start.task.clone(), start.run), text.clone());
        Resumed {
            is_on: true,
            text,
            done_ms,
            work_ms,
        }
    }

    /// Returns the checkpoint that a run reports: the last one that it renewed, or at its end all its work.
    pub(super) fn checkpoint_of(&self, task: &TaskName, run: &ActiveRun, is_over: bool) -> String {
        if !run.resumed.is_on {
            return String::new();
        }
        let done_ms = run.resumed.worked_ms(self.now_ms - run.since_ms);
        let renewed_ms = match is_over {
            true => done_ms,
            false => done_ms - done_ms % INTERVAL_MS,
        };
        if renewed_ms == 0 {
            return String::new();
        }
        let step = &self.specs[&task.job].steps[usize::from(task.step)];
        text_of(&owner_of(task, step), renewed_ms)
    }

    /// Notes the time of a run that is over.
    pub(super) fn note_run_over(&mut self, run: &ActiveRun) {
        if run.resumed.is_on {
            self.checkpoints.run_ms += self.now_ms - run.since_ms;
        }
    }

    /// Returns the time that runs took beyond the work of their tasks, if all tasks are done.
    pub(crate) fn wasted_ms(&self) -> u64 {
        let work = self.checkpoints.work_ms.values();
        let work_ms: u64 = work.map(|(ms, members)| ms * members).sum();
        self.checkpoints.run_ms.saturating_sub(work_ms)
    }
}
