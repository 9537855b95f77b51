//! Records every start of a task and every end as done, so that a start can be checked against ends that an owner
//! acknowledges later. The promise checks own it.

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

/// Holds a start that a worker executed.
#[derive(Clone, Debug)]
pub(super) struct Start {
    /// Time of the start, on the platform's clock.
    pub(super) at_ms: u64,
    /// When the order was received.
    pub(super) ordered_ms: u64,
    /// Id of the worker instance.
    pub(super) instance: String,
    /// Name of the worker instance, unique when an id is used again.
    pub(super) label: String,
    /// Number of the run.
    pub(super) run: u64,
    /// Fencing token of the owner that ordered it.
    pub(super) fencing_token: u64,
}

/// Holds a run that ended as done.
#[derive(Clone, Debug)]
struct Done {
    at_ms: u64,
    instance: String,
    run: u64,
    /// When an owner acknowledged the end, if the worker's lease had not lapsed since the end.
    acknowledged_ms: Option<u64>,
}

/// Holds the starts and ends of one task.
#[derive(Default)]
struct History {
    starts: Vec<Start>,
    done: Vec<Done>,
}

/// Holds the starts and ends of all tasks.
#[derive(Default)]
pub(super) struct Runs {
    by_task: BTreeMap<String, History>,
}

impl Display for Start {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "run {} starts on {} with fencing token {}, ordered at {} ms",
            self.run, self.label, self.fencing_token, self.ordered_ms
        )
    }
}

impl Done {
    /// Returns what is wrong with a start, if this end was acknowledged and comes before the start.
    fn forbids(&self, task: &str, start: &Start) -> Option<String> {
        let acknowledged_ms = self.acknowledged_ms?;
        if start.at_ms <= self.at_ms {
            return None;
        }
        Some(format!(
            "{} ms: {task} {start}, after run {} was done on {} at {} ms, acknowledged at {acknowledged_ms} ms",
            start.at_ms, self.run, self.instance, self.at_ms
        ))
    }
}

impl Runs {
    /// Records a start that a worker executes; returns what is wrong with it.
    pub(super) fn record_start(&mut self, task: &str, start: Start) -> Vec<String> {
        let history = self.by_task.entry(task.to_string()).or_default();
        let wrong = history.done.iter().filter_map(|d| d.forbids(task, &start));
        let wrong = wrong.collect();
        history.starts.push(start);
        wrong
    }

    /// Records that a run ended as done.
    pub(super) fn record_done(&mut self, task: &str, instance: &str, run: u64, at_ms: u64) {
        let history = self.by_task.entry(task.to_string()).or_default();
        history.done.push(Done {
            at_ms,
            instance: instance.to_string(),
            run,
            acknowledged_ms: None,
        });
    }

    /// Records that an owner acknowledged an end as done; `lapsed_ms` is when the worker's lease last lapsed. Returns
    /// what is wrong with starts after that end.
    pub(super) fn record_acknowledged_end(
        &mut self,
        task: &str,
        instance: &str,
        run: u64,
        lapsed_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<String> {
        let Some(history) = self.by_task.get_mut(task) else {
            return Vec::new();
        };
        let of_run = |d: &&mut Done| d.instance == instance && d.run == run;
        let Some(done) = history.done.iter_mut().find(of_run) else {
            return Vec::new();
        };
        if lapsed_ms.is_some_and(|at| at >= done.at_ms) {
            return Vec::new();
        }
        done.acknowledged_ms = Some(now_ms);
        let starts = history.starts.iter();
        starts.filter_map(|s| done.forbids(task, s)).collect()
    }
}
