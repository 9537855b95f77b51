//! Paces tasks that fill beside tasks that serve, so that what serves keeps its target.
//!
//! The load that this handles: what fills a worker disturbs the serving tasks beside it, by an amount that is unknown
//! and changes within seconds. A worker's report gives the recent tail of each serving task. While one is over its
//! target, the pace of what fills there is halved with each settled figure; while all are well under it, the pace is
//! raised again.
//!
//! The owner's memory holds the state. [`pacing`](super::pacing) applies workers' reports to it.

use std::collections::{BTreeMap, HashMap};

use super::job::JobSpec;
use super::keys::{TaskKey, WorkerKey};
use crate::clock::Millis;

/// Pace of a run that is not slowed down, in percent.
pub(super) const FULL_PERCENT: u32 = 100;

/// A pace that would be less than this once halved is 0.
const LEAST_PERCENT: u32 = 13;

/// Percentage points by which the pace is raised at a time.
const RISE_PERCENT: u32 = 20;

/// The pace is raised while each serving task is below this many thousandths of its target.
const CALM_MILLI: u64 = 800;

/// Time after a change of the pace until a figure shows its effect: figures cover half a second, and an order takes a
/// tenth.
const SETTLE_MS: Millis = 700;

/// Least time between two raises of the pace.
const RISE_MS: Millis = 1_000;

/// How long a serving task that was over its target at pace 0 lowers the pace no more. Shorter than the bound on harm of
/// the users' deployments, less the time to find out.
const NOT_CAUSE_MS: Millis = 2_500;

/// A pace of this or less for [`TIGHT_MS`] is a reason to move a filling task away.
const TIGHT_PERCENT: u32 = 25;

/// How long what fills stays at [`TIGHT_PERCENT`] or less before one of its tasks is moved.
const TIGHT_MS: Millis = 6_000;

/// Longest time for which an order without an answer may still be carried out.
pub(super) const LATE_ORDER_MS: Millis = 12_000;

/// Interval at which the pace is ordered again while an earlier order may still be carried out.
pub(super) const REPEAT_MS: Millis = 2_000;

/// Interval of a worker's reports while it has tasks that serve and tasks that fill.
pub(super) const REPORT_MS: Millis = 400;

/// The last figure of a serving task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The task.
    pub task: TaskKey,
    /// Its tail in thousandths of its target.
    pub milli: u64,
}

/// The pace of what fills on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPace {
    percent: u32,
    /// When the pace was last changed.
    changed_ms: Millis,
    /// Since when it is [`TIGHT_PERCENT`] or less.
    pub(super) tight_since_ms: Option<Millis>,
    /// Serving tasks that were over their targets at pace 0, and until when they do not lower the pace.
    exempt: BTreeMap<TaskKey, Millis>,
}

impl Default for WorkerPace {
    fn default() -> Self {
        Self {
            percent: FULL_PERCENT,
            changed_ms: 0,
            tight_since_ms: None,
            exempt: BTreeMap::new(),
        }
    }
}

impl WorkerPace {
    /// Returns the pace in percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Adjusts the pace to the serving tasks' tails. `acked_ms` is when the worker acknowledged the present pace for all
    /// that fills there; `None` while it has not, and the figures tell nothing of that pace. Returns whether the pace
    /// changed.
    pub fn adjust(&mut self, tails: &[Tail], acked_ms: Option<Millis>, now_ms: Millis) -> bool {
        let Some(acked_ms) = acked_ms else {
            return false;
        };
        let settled_ms = now_ms.saturating_sub(self.changed_ms.max(acked_ms));
        let is_exempt = |tail: &Tail| self.exempt.get(&tail.task).is_some_and(|ms| now_ms < *ms);
        let counted = tails.iter().filter(|tail| !is_exempt(tail));
        let over: Vec<TaskKey> = counted
            .clone()
            .filter(|tail| tail.milli > 1_000)
            .map(|tail| tail.task)
            .collect();
        let is_calm = counted.clone().all(|tail| tail.milli < CALM_MILLI);
        if !over.is_empty() && settled_ms >= SETTLE_MS {
            return self.lower(&over, now_ms);
        }
        if over.is_empty() && is_calm && settled_ms >= RISE_MS {
            let higher = (self.percent + RISE_PERCENT).min(FULL_PERCENT);
            return self.set(higher, now_ms);
        }
        false
    }

    /// Lowers the pace for tasks that are over their targets. If they are so at pace 0, what fills is not the cause.
    fn lower(&mut self, over: &[TaskKey], now_ms: Millis) -> bool {
        if self.percent == 0 {
            let until_ms = now_ms + NOT_CAUSE_MS;
            self.exempt
                .extend(over.iter().map(|task| (*task, until_ms)));
            return self.set(FULL_PERCENT, now_ms);
        }
        // A task that was exempt lately is tried at pace 0 at once, so that the trial is short.
        let was_exempt = over.iter().any(|task| self.exempt.contains_key(task));
        let halved = self.percent / 2;
        let lower = match was_exempt || halved < LEAST_PERCENT {
            true => 0,
            false => halved,
        };
        self.set(lower, now_ms)
    }

    fn set(&mut self, percent: u32, now_ms: Millis) -> bool {
        if percent == self.percent {
            return false;
        }
        self.percent = percent;
        self.changed_ms = now_ms;
        self.tight_since_ms = match percent <= TIGHT_PERCENT {
            true => self.tight_since_ms.or(Some(now_ms)),
            false => None,
        };
        true
    }

    pub(super) fn is_tight(&self, now_ms: Millis) -> bool {
        self.tight_since_ms
            .is_some_and(|since| now_ms >= since + TIGHT_MS)
    }

    /// Returns whether nothing that serves there has needed a lower pace lately.
    pub(super) fn is_calm(&self) -> bool {
        self.percent == FULL_PERCENT && self.exempt.is_empty()
    }
}

/// The pace of one run as far as it was ordered.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunPace {
    pub(super) run: u32,
    /// Pace that the worker last acknowledged, and when; `None` if it is unknown.
    pub(super) acked: Option<(u32, Millis)>,
    /// When an order was last sent.
    pub(super) sent_ms: Millis,
    /// Time until which an order without an answer may still be carried out.
    pub(super) unsure_until_ms: Millis,
}

/// What an owner knows about the pace of runs.
#[derive(Clone, Debug, Default)]
pub struct PaceBook {
    /// Whether some job of the pool serves.
    pub(super) is_used: bool,
    pub(super) workers: HashMap<WorkerKey, WorkerPace>,
    pub(super) runs: HashMap<TaskKey, RunPace>,
}

impl PaceBook {
    /// Notes a job of the pool.
    pub fn note_spec(&mut self, spec: &JobSpec) {
        self.is_used |= spec.steps.iter().any(|step| step.tail_max_ms > 0);
    }

    /// Returns whether nothing that serves on a worker has needed a lower pace lately.
    pub(super) fn is_calm(&self, worker: WorkerKey) -> bool {
        self.workers.get(&worker).is_none_or(WorkerPace::is_calm)
    }

    /// Returns whether what fills on a worker is paced down.
    pub(super) fn is_paced_down(&self, worker: WorkerKey) -> bool {
        let pace = self.workers.get(&worker);
        pace.is_some_and(|pace| pace.percent < FULL_PERCENT)
    }

    /// Returns whether a worker has both tasks that serve and tasks that fill.
    pub(super) fn watches(&self, worker: WorkerKey) -> bool {
        self.workers.contains_key(&worker)
    }
}
