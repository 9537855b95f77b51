//! Holds the state of a job while its pool is owned: its rounds, steps and tasks, the phase of each task, and whether
//! the job can still meet its objective.

use std::collections::BTreeMap;

use super::job::{work_core_ms, JobSpec, JobState, QueuePolicy};
use super::keys::{AccountKey, RoundKey, TaskKey, WorkerKey};
use super::limits::{SUSPECT_APART_MS, WORK_DELAY_MAX_MS, WORK_PER_MS};
use super::overload::{Contender, Deferral};
pub use super::worker_losses::{Seen, WorkerLosses};
use crate::clock::Millis;
use crate::port::fleet::{Capacity, Revision};

/// Phase of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Its step waits for other steps.
    #[default]
    Blocked,
    /// It waits to be placed.
    Ready,
    /// A worker was chosen. The choice is not recorded yet, so no start was sent.
    Recording(WorkerKey),
    /// The start was sent and is not answered yet.
    Starting(WorkerKey),
    /// The worker accepted the run.
    Running(WorkerKey),
    /// A stop was sent, and the end of the run is awaited.
    Stopping(WorkerKey),
    /// A former owner recorded it on this worker, which has not answered since.
    Suspect(WorkerKey),
    /// The task is done.
    Done,
}

impl Phase {
    /// Returns the worker whose capacity the task takes.
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

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Current phase.
    pub phase: Phase,
    /// Number of the last run; 0 before the first.
    pub run: u32,
    /// Failed runs, one bit each, so that an end that is reported twice counts once.
    pub failed_runs: u64,
    /// Checkpoint that its last run was started with; empty for none.
    pub checkpoint: String,
    /// Worker on which the last failed run executed.
    pub failed_on: Option<WorkerKey>,
    /// When the last failure was reported.
    pub failed_ms: Millis,
    /// When it entered its phase.
    pub since_ms: Millis,
    /// When the worker answered the order that led to this phase. A report requested later must list the run.
    pub settled_ms: Option<Millis>,
    /// When the start of its run was accepted, if it was.
    pub started_ms: Option<Millis>,
    /// When this owner first sent the start; the run began no earlier. `None` if a former owner sent it.
    pub sent_ms: Option<Millis>,
    /// Number of times that this owner sent the start of its run.
    pub start_sends: u32,
    /// When this owner learned that the worker had the run; the run began no later. Kept while the run is being
    /// stopped.
    pub begun_ms: Option<Millis>,
    /// Number of requests to start its run whose answer or timeout is awaited.
    pub starts_in_flight: u32,
    /// Whether a request to start it got no reply and may still be carried out seconds later.
    pub is_start_open: bool,
    /// Whether the worker closed the connection on which its start was sent.
    pub is_start_broken: bool,
    /// Whether the worker instance has reported its run.
    pub is_reported: bool,
    /// What this owner or a former one observed of its run.
    pub seen: Seen,
    /// Whether the worker reported that the task is past its start-up.
    pub is_past_startup: bool,
    /// Counts of worker instances that may have ended while they ran it.
    pub losses: WorkerLosses,
    /// When the worker of its last run ended, if it did.
    pub lost_ms: Option<Millis>,
    /// Time before which it is not placed again, because its workers crashed as they started it.
    pub held_until_ms: Millis,
    /// Number of times that its run was stopped because its worker was slow.
    pub moves: u8,
    /// Its rank among the waiting tasks; `None` if it doesn't wait.
    pub waiting_rank: Option<Rank>,
}

impl Task {
    /// Notes a failed run. The 64th and later runs share one bit.
    pub fn note_failure(&mut self, run: u32) {
        self.failed_runs |= 1 << run.saturating_sub(1).min(63);
    }

    /// Returns whether it may have crashed a worker.
    pub fn is_crash_suspect(&self) -> bool {
        self.losses.blamed > 0
    }

    /// Returns whether it is still to be placed apart from other suspects.
    pub fn must_be_placed_apart(&self, now_ms: Millis) -> bool {
        self.is_crash_suspect() && now_ms < self.since_ms + SUSPECT_APART_MS
    }

    /// Returns the number of failed runs.
    pub fn failed_run_count(&self) -> u32 {
        self.failed_runs.count_ones()
    }
}

/// One step of a round.
#[derive(Clone, Debug, Default)]
pub struct StepRun {
    /// Tasks of the step.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub tasks_left: usize,
    /// Time that the longest task took, of those whose start and end this owner observed.
    pub longest_ms: Millis,
    /// Whether the steps that it depends on are done.
    pub is_open: bool,
}

/// One round of a job.
#[derive(Clone, Debug, Default)]
pub struct Round {
    /// Steps of the round.
    pub steps: Vec<StepRun>,
    /// Time by which it should be completed.
    pub due_ms: Millis,
    /// Time after which completing it has no value.
    pub hopeless_ms: Millis,
    /// Set while other rounds can meet their objectives only if this one is deferred.
    pub deferral: Deferral,
}

impl Round {
    /// Returns the capacity of the tasks that run or may start now.
    pub fn open_demand(&self, spec: &JobSpec) -> Capacity {
        let mut sum = Capacity::default();
        let steps = spec.steps.iter().zip(&self.steps);
        for (spec, step) in steps.filter(|(_, step)| step.is_open) {
            sum.add(spec.demand().times(step.tasks_left as u64));
        }
        sum
    }
}

/// A job in the pool's state.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// The job as submitted.
    pub spec: JobSpec,
    /// The client account that the job belongs to, if any.
    pub account: Option<AccountKey>,
    /// Expected time of each step.
    pub step_ms: Vec<Millis>,
    /// Current state, which may not be recorded yet.
    pub state: JobState,
    /// Rounds that have begun and are not done, by number.
    pub rounds: BTreeMap<u32, Round>,
    /// Number of rounds that have begun.
    pub rounds_begun: u32,
    /// The policy of its queue that applies to it.
    pub policy: QueuePolicy,
    /// Revision of its recorded progress, or an upper bound of it: see [`conflict`](super::conflict).
    pub revision: Revision,
    /// Digest of its recorded bytes.
    pub recorded_digest: u64,
    /// Whether its account had sent more than its weight allows when the job came. The job then waits behind those of
    /// accounts that had not.
    pub is_excess: bool,
    /// Whether rounds that are due wait for room in its row.
    pub holds_rounds: bool,
    /// Whether its recorded progress can't be read. Nothing of it is started, and what runs is left alone until the job
    /// is cancelled.
    pub is_unreadable: bool,
    /// Parts of intake that hold the job.
    pub intake: Vec<String>,
    /// Shard that holds its progress; `None` before the first record.
    pub shard: Option<usize>,
    /// Number of changes so far, each of which is to be recorded.
    pub changes: u64,
    /// Number of changes that are recorded.
    pub recorded_changes: u64,
    /// When it reached its final state.
    pub finished_ms: Option<Millis>,
}

impl Job {
    /// Returns the time that is added to a round's objective when waiting tasks are ordered, in proportion to the work
    /// left in the round. Under overload, small jobs bring more value for the same work.
    pub(super) fn weight_ms(&self, round: u32) -> Millis {
        let Some(round) = self.rounds.get(&round) else {
            return 0;
        };
        let steps = self.spec.steps.iter().zip(&round.steps).zip(&self.step_ms);
        let work: u64 = steps
            .map(|((spec, step), ms)| work_core_ms(step.tasks_left as u64, spec.cpu_milli, *ms))
            .sum();
        (work / WORK_PER_MS).min(WORK_DELAY_MAX_MS)
    }

    /// Returns a round as a contender for the pool's capacity.
    pub(super) fn contender(&self, key: RoundKey, round: &Round) -> Contender {
        let steps = round.steps.iter().enumerate();
        let (mut work, mut task_ms) = (0, 0);
        for (n, step) in steps.filter(|(_, step)| step.tasks_left > 0) {
            let is_unstarted = |t: &&Task| matches!(t.phase, Phase::Blocked | Phase::Ready);
            let unstarted = step.tasks.iter().filter(is_unstarted).count() as u64;
            let cpu_milli = self.spec.steps[n].demand().cpu_milli;
            work += work_core_ms(unstarted, cpu_milli, self.step_ms[n]);
            task_ms = task_ms.max(self.step_ms[n]);
        }
        Contender {
            round: key,
            start_by_ms: round.due_ms.saturating_sub(task_ms),
            task_ms,
            work_core_ms: work,
        }
    }

    /// Returns what a round could still achieve if it had the pool to itself.
    pub fn outlook(&self, round: &Round, now_ms: Millis) -> Outlook {
        if now_ms > round.hopeless_ms {
            return Outlook::Nothing;
        }
        let is_left = |n: usize| round.steps[n].tasks_left > 0;
        let left_ms = self.spec.longest_chain_ms(&self.step_ms, is_left);
        if now_ms + left_ms > round.due_ms {
            return Outlook::Late;
        }
        Outlook::InTime
    }

    /// Returns the class of a round among the waiting tasks.
    pub(super) fn class(&self, round: &Round, now_ms: Millis) -> Class {
        match self.outlook(round, now_ms) {
            Outlook::InTime if self.is_excess || round.deferral.is_set(now_ms) => Class::Deferred,
            Outlook::InTime => Class::InTime,
            Outlook::Late => Class::Late,
            Outlook::Nothing => Class::Hopeless,
        }
    }
}

/// What a round of a job can still achieve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// It can meet its objective.
    InTime,
    /// It can be completed late.
    Late,
    /// Completing it has no value any more.
    Nothing,
}

/// Classes of waiting tasks, in the order in which they are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// The task runs until its job is cancelled.
    Lasting,
    /// The round can be in time together with the others.
    InTime,
    /// The round could be in time, but not together with all others: see [`overload`](super::overload).
    Deferred,
    /// The round will be late.
    Late,
    /// Completing the round has no value any more.
    Hopeless,
}

/// Rank of a waiting task; tasks are placed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Class of the round.
    pub class: Class,
    /// Objective of the round, plus the weight of its remaining work if the task isn't lasting. The earliest comes first.
    pub due_ms: Millis,
    /// Breaks ties.
    pub task: TaskKey,
}
