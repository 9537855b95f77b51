//! A job in the books: its rounds, steps and tasks, where each task stands, and what the job can still earn.

use std::collections::BTreeMap;

use super::job::{JobSpec, JobState, QueuePolicy};
use super::keys::{AccountKey, JobKey, TaskKey, WorkerKey};
use super::limits::{APART_MS, WEIGHT_MAX_MS, WORK_PER_MS};
use super::overload::{Contender, Deferral};
pub use super::worker_losses::{Seen, WorkerLosses};
use crate::clock::Millis;
use crate::port::fleet::{Capacity, Revision};

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Its step waits for others.
    #[default]
    Blocked,
    /// It waits for a place.
    Ready,
    /// A place was chosen; that is not on record yet, so nothing was sent.
    Recording(WorkerKey),
    /// The start is out, unanswered so far.
    Starting(WorkerKey),
    /// The worker has it.
    Running(WorkerKey),
    /// A stop is out; its end is awaited.
    Stopping(WorkerKey),
    /// A former owner recorded it there; the worker has not been heard since.
    Suspect(WorkerKey),
    /// Done.
    Done,
}

impl Phase {
    /// The worker whose capacity the task takes.
    pub fn worker(self) -> Option<WorkerKey> {
        match self {
            Phase::Recording(w)
            | Phase::Starting(w)
            | Phase::Running(w)
            | Phase::Stopping(w)
            | Phase::Suspect(w) => Some(w),
            Phase::Blocked | Phase::Ready | Phase::Done => None,
        }
    }
}

/// One task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Its last run; 0 before the first.
    pub run: u32,
    /// Runs that failed, a bit each: an end that is told again counts once.
    pub failed_runs: u64,
    /// Where the next run goes on from.
    pub checkpoint: String,
    /// Where the last run that failed was.
    pub failed_on: Option<WorkerKey>,
    /// When that was heard.
    pub failed_ms: Millis,
    /// When it came into its phase.
    pub since_ms: Millis,
    /// When the worker answered the order that led here; an account asked for later must show it.
    pub settled_ms: Option<Millis>,
    /// When its run was started, where that was answered.
    pub started_ms: Option<Millis>,
    /// When this owner first sent its start: the run is no older. Of one that a former owner sent that is not known.
    pub sent_ms: Option<Millis>,
    /// When it was known that the worker has the run: the run is no younger; kept while that is being stopped.
    pub begun_ms: Option<Millis>,
    /// A sending of its start got no answer, and may be carried out seconds later.
    pub is_start_open: bool,
    /// The worker ended the connection on which its start was sent.
    pub is_start_broken: bool,
    /// What was seen of its run, by this owner or a former one.
    pub seen: Seen,
    /// The worker said that it is past its start-up.
    pub is_at_work: bool,
    /// Lives that ended under it.
    pub ended: WorkerLosses,
    /// When the worker of its last run went, if it did.
    pub lost_ms: Option<Millis>,
    /// It gets no place before: its workers crashed as they started it.
    pub held_until_ms: Millis,
    /// Its place among waiting tasks.
    pub queued: Option<Rank>,
}

impl Task {
    /// Notes a failed run; of the 64th and later ones only that there are some.
    pub fn note_failure(&mut self, run: u32) {
        self.failed_runs |= 1 << run.saturating_sub(1).min(63);
    }

    /// Whether it may be what brought a worker down.
    pub fn is_suspect(&self) -> bool {
        self.ended.blamed > 0
    }

    /// Whether it is still to go apart from other suspects.
    pub fn is_apart(&self, now_ms: Millis) -> bool {
        self.is_suspect() && now_ms < self.since_ms + APART_MS
    }

    /// Number of failed runs.
    pub fn fails(&self) -> u32 {
        self.failed_runs.count_ones()
    }
}

/// One step of a round.
#[derive(Clone, Debug, Default)]
pub struct StepRun {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub tasks_left: usize,
    /// What its longest task took that was seen from start to end.
    pub longest_ms: Millis,
    /// The steps before it are done.
    pub is_open: bool,
}

/// One round of a job.
#[derive(Clone, Debug, Default)]
pub struct Round {
    /// Its steps.
    pub steps: Vec<StepRun>,
}

/// A job in the books.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// As submitted.
    pub spec: JobSpec,
    /// The client account that it belongs to, if one.
    pub account: Option<AccountKey>,
    /// How long its steps are expected to take.
    pub step_ms: Vec<Millis>,
    /// What is on its way to the record.
    pub state: JobState,
    /// Rounds that have begun and are not done, by number.
    pub rounds: BTreeMap<u32, Round>,
    /// Rounds below this one have begun.
    pub rounds_begun: u32,
    /// What its queue promises.
    pub policy: QueuePolicy,
    /// Time at which it should be completed.
    pub due_ms: Millis,
    /// Past this time it earns nothing.
    pub hopeless_ms: Millis,
    /// Revision of its progress on record, or an upper bound of it: see [`conflict`](super::conflict).
    pub revision: Revision,
    /// Digest of the bytes on record.
    pub recorded_digest: u64,
    /// Its account had sent more than its weight when it came: it waits behind those of accounts that had not.
    pub is_excess: bool,
    /// Its progress on record can't be read: nothing of it is started, and what runs is left alone until it is cancelled.
    pub is_unreadable: bool,
    /// Parts of intake that it stands in.
    pub intake: Vec<String>,
    /// The shard that its progress is in; nothing before its first record.
    pub shard: Option<usize>,
    /// Counts what is to be recorded of it.
    pub changes: u64,
    /// Up to which of them that was done.
    pub recorded_changes: u64,
    /// When it came to its final state.
    pub finished_ms: Option<Millis>,
    /// Set where others are in time only without it.
    pub deferral: Deferral,
}

impl Job {
    /// How much later than its objective a job counts for the work that it has left: under overload small
    /// jobs earn more for the same work.
    pub(super) fn weight_ms(&self, round: u32) -> Millis {
        let Some(round) = self.rounds.get(&round) else {
            return 0;
        };
        let steps = self.spec.steps.iter().zip(&round.steps).zip(&self.step_ms);
        let work: u64 = steps
            .map(|((spec, step), ms)| spec.cpu_milli * ms * step.tasks_left as u64)
            .sum();
        (work / 1_000 / WORK_PER_MS).min(WEIGHT_MAX_MS)
    }

    /// What its tasks take that run or may start now.
    pub fn open_demand(&self) -> Capacity {
        let mut sum = Capacity::default();
        for round in self.rounds.values() {
            let steps = self.spec.steps.iter().zip(&round.steps);
            for (spec, step) in steps.filter(|(_, step)| step.is_open) {
                sum.add(spec.demand().times(step.tasks_left as u64));
            }
        }
        sum
    }

    /// The job as one of those that want a pool's room.
    pub(super) fn contender(&self, key: JobKey) -> Contender {
        let rounds = self.rounds.values();
        let steps = rounds.flat_map(|round| round.steps.iter().enumerate());
        let (mut work, mut task_ms) = (0, 0);
        for (n, step) in steps.filter(|(_, step)| step.tasks_left > 0) {
            let is_unstarted = |t: &&Task| matches!(t.phase, Phase::Blocked | Phase::Ready);
            let unstarted = step.tasks.iter().filter(is_unstarted).count() as u64;
            let cpu_milli = self.spec.steps[n].demand().cpu_milli;
            work += unstarted * cpu_milli * self.step_ms[n] / 1_000;
            task_ms = task_ms.max(self.step_ms[n]);
        }
        Contender {
            job: key,
            start_by_ms: self.due_ms.saturating_sub(task_ms),
            task_ms,
            work,
        }
    }

    /// What the job can still earn, were it alone.
    pub fn outlook(&self, now_ms: Millis) -> Outlook {
        if now_ms > self.hopeless_ms {
            return Outlook::Nothing;
        }
        let left_ms = self
            .rounds
            .values()
            .map(|r| {
                self.spec
                    .longest_ms(&self.step_ms, |n| r.steps[n].tasks_left > 0)
            })
            .max();
        if now_ms + left_ms.unwrap_or(0) > self.due_ms {
            return Outlook::Late;
        }
        Outlook::InTime
    }

    /// Its class among waiting tasks.
    pub(super) fn class(&self, now_ms: Millis) -> Class {
        match self.outlook(now_ms) {
            Outlook::InTime if self.is_excess || self.deferral.is_set(now_ms) => Class::Deferred,
            Outlook::InTime => Class::InTime,
            Outlook::Late => Class::Late,
            Outlook::Nothing => Class::Hopeless,
        }
    }
}

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// All of it.
    InTime,
    /// What late work earns.
    Late,
    /// Nothing any more.
    Nothing,
}

/// Classes of waiting tasks, the first one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It lasts.
    Lasting,
    /// It can be in time with the others.
    InTime,
    /// It could be in time, but not with all others: see [`overload`](super::overload).
    Deferred,
    /// It will be late.
    Late,
    /// It earns nothing any more.
    Hopeless,
}

/// The order in which waiting tasks get places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// What it can earn.
    pub class: Class,
    /// Earliest objective first.
    pub due_ms: Millis,
    /// Settles ties.
    pub task: TaskKey,
}
