//! Every start of a task and every end as done, so that a start can be judged by what is noted later.

use std::collections::BTreeMap;

/// A start that a worker carried out.
#[derive(Clone, Debug)]
pub(super) struct Start {
    /// When.
    pub(super) at_ms: u64,
    /// Where: the id.
    pub(super) life: String,
    /// Where: the life.
    pub(super) label: String,
    /// Its run.
    pub(super) run: u64,
    /// Epoch of the owner that ordered it.
    pub(super) fence: u64,
}

/// A run that ended as done.
#[derive(Clone, Debug)]
struct Done {
    at_ms: u64,
    life: String,
    run: u64,
    /// When the end was taken note of, its worker's lease unbroken since.
    noted_ms: Option<u64>,
}

/// What happened to one task.
#[derive(Default)]
struct History {
    starts: Vec<Start>,
    done: Vec<Done>,
}

/// What happened to all tasks.
#[derive(Default)]
pub(super) struct Runs {
    by_task: BTreeMap<String, History>,
}

impl Done {
    /// What is wrong with a start, if this end stands for good.
    fn forbids(&self, task: &str, start: &Start) -> Option<String> {
        let noted_ms = self.noted_ms?;
        if start.at_ms <= self.at_ms {
            return None;
        }
        Some(format!(
            "{} ms: {task} run {} starts on {} under epoch {}, after run {} was done on {} at {} ms, noted at {noted_ms} ms",
            start.at_ms, start.run, start.label, start.fence, self.run, self.life, self.at_ms
        ))
    }
}

impl Runs {
    /// A worker carries out a start; says what is wrong with that.
    pub(super) fn started(&mut self, task: &str, start: Start) -> Vec<String> {
        let history = self.by_task.entry(task.to_string()).or_default();
        let wrong = history.done.iter().filter_map(|d| d.forbids(task, &start));
        let wrong = wrong.collect();
        history.starts.push(start);
        wrong
    }

    /// A run ended as done.
    pub(super) fn done(&mut self, task: &str, life: &str, run: u64, at_ms: u64) {
        let history = self.by_task.entry(task.to_string()).or_default();
        history.done.push(Done {
            at_ms,
            life: life.to_string(),
            run,
            noted_ms: None,
        });
    }

    /// An end as done is taken note of; `lapsed_ms` is when its worker's lease last lapsed. Says which starts were wrong.
    pub(super) fn noted(
        &mut self,
        task: &str,
        life: &str,
        run: u64,
        lapsed_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<String> {
        let Some(history) = self.by_task.get_mut(task) else {
            return Vec::new();
        };
        let of_run = |d: &&mut Done| d.life == life && d.run == run;
        let Some(done) = history.done.iter_mut().find(of_run) else {
            return Vec::new();
        };
        if lapsed_ms.is_some_and(|at| at >= done.at_ms) {
            return Vec::new();
        }
        done.noted_ms = Some(now_ms);
        let starts = history.starts.iter();
        starts.filter_map(|s| done.forbids(task, s)).collect()
    }
}
