//! Logs what happens to runs, in enough detail to see why a task was started again after one of its runs had ended.
//!
//! A run is written as `job.round.step.task#run`. At a peak, ends and answers come by the hundred per second, and a
//! line for each would cost processor time that small entries lack. Ends and answers are gathered into lists of up to
//! `LISTED_MAX` entries.

use std::fmt::{Display, Write};

use super::crashes::Evidence;
use super::keys::{TaskKey, WorkerKey};
use super::load::Facts;
use super::pool_state::PoolState;
use super::state::{Batch, Ctx, Ownership};
use super::tasks::Phase;
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject, RUNS_KEY};
use crate::port::fleet::{OrderReply, Revision, RunEnd, TaskName};

/// Most entries in a list. Further ones go on another line.
const LISTED_MAX: usize = 16;

/// Most workers named in the line about the started tasks that a reading of the pool's rows found. Bounds the length of
/// the line.
const LOADED_MAX: usize = 48;

/// Answers to starts are logged after this long, or before the next decision on a run.
const ANSWERS_MS: Millis = 100;

/// A list of entries, separated by spaces, with their number.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    text: String,
    count: usize,
}

impl List {
    /// Appends an entry.
    pub(super) fn add(&mut self, entry: impl Display) {
        let gap = if self.count == 0 { "" } else { " " };
        let _ = write!(self.text, "{gap}{entry}");
        self.count += 1;
    }

    /// Returns the text and clears the list.
    pub(super) fn take(&mut self) -> String {
        self.count = 0;
        std::mem::take(&mut self.text)
    }

    fn is_full(&self) -> bool {
        self.count >= LISTED_MAX
    }
}

/// Name of a run: its task and its number.
struct RunName<'a>(&'a TaskName, u32);

impl Display for RunName<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let RunName(task, run) = self;
        let (job, round) = (&task.job, task.round);
        write!(f, "{job}.{round}.{}.{}#{run}", task.step, task.index)
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Blocked => "Blocked",
        Phase::Ready => "Ready",
        Phase::Recording(_) => "Recording",
        Phase::Starting(_) => "Starting",
        Phase::Running(_) => "Running",
        Phase::Stopping(_) => "Stopping",
        Phase::Suspect(_) => "Suspect",
        Phase::Done => "Done",
    }
}

/// Returns the id of a worker, or `-` if the worker is not known.
fn worker_id(pool_state: &PoolState, worker: WorkerKey) -> &str {
    pool_state.workers.get(worker).map_or("-", |w| &w.info.id)
}

/// Describes a task's state for a log entry about its run `run` on `worker`: the phase, and the task's current run and
/// worker if these differ from `run` and `worker`.
fn describe_task(pool_state: &PoolState, task: &TaskName, run: u32, worker: WorkerKey) -> String {
    let Some(job) = pool_state
        .jobs_by_id
        .get(&task.job)
        .and_then(|k| pool_state.jobs.get(*k))
    else {
        return "JobUnknown".to_string();
    };
    let prefix = if job.state.is_final() { "JobOver," } else { "" };
    let Some(known) = pool_state
        .find_task(task)
        .and_then(|key| pool_state.task(key))
    else {
        return format!("{prefix}RoundOver");
    };
    let name = phase_name(known.phase);
    let on = known.phase.worker();
    if known.run == run && on == Some(worker) {
        return format!("{prefix}{name}");
    }
    match on {
        Some(on) => format!("{prefix}{name}#{}@{}", known.run, worker_id(pool_state, on)),
        None => format!("{prefix}{name}#{}", known.run),
    }
}

/// Collects the ends in one report as they are applied.
pub(super) struct EndsLog {
    worker: WorkerKey,
    epoch: u64,
    asked_ms: Millis,
    /// Number of the last end that was applied before this report.
    taken: u64,
    /// Number of ends that had been applied before and are listed again.
    repeated: u64,
    /// The first of the ends that are listed again.
    repeated_list: List,
    list: List,
}

impl EndsLog {
    /// Starts the log of a report that was requested at `asked_ms`.
    pub(super) fn new(
        pool_state: &PoolState,
        worker: WorkerKey,
        asked_ms: Millis,
        epoch: u64,
    ) -> Self {
        Self {
            worker,
            epoch,
            asked_ms,
            taken: pool_state.workers[worker].applied_through,
            repeated: 0,
            repeated_list: List::default(),
            list: List::default(),
        }
    }

    /// Adds an end that is about to be applied.
    pub(super) fn add(&mut self, pool_state: &PoolState, end: &RunEnd, ctx: &mut Ctx<'_>) {
        if self.list.is_full() {
            self.log(pool_state, ctx);
        }
        let name = RunName(&end.task, end.run);
        let description = describe_task(pool_state, &end.task, end.run, self.worker);
        self.list.add(format_args!(
            "{}={name}:{:?}/{description}",
            end.number, end.kind
        ));
    }

    /// Adds an end that was applied before.
    pub(super) fn add_repeated(&mut self, end: &RunEnd) {
        self.repeated += 1;
        if !self.repeated_list.is_full() {
            let name = RunName(&end.task, end.run);
            self.repeated_list
                .add(format_args!("{}={name}", end.number));
        }
    }

    /// Logs what is not logged yet.
    pub(super) fn finish(mut self, pool_state: &PoolState, ctx: &mut Ctx<'_>) {
        if self.list.count > 0 || self.repeated > 0 {
            self.log(pool_state, ctx);
        }
    }

    fn log(&mut self, pool_state: &PoolState, ctx: &mut Ctx<'_>) {
        let w = &pool_state.workers[self.worker];
        let why = "the worker listed these ended runs in its report";
        let mut decision = Decision::new(Code::EndsTaken, Subject::Host, &w.info.id, why)
            .with_name("on", &*w.info.host)
            .with_name(RUNS_KEY, self.list.take());
        if self.repeated_list.count > 0 {
            decision = decision.with_name("again_runs", self.repeated_list.take());
        }
        ctx.log(
            decision
                .with("born_wall_ms", born_or_zero(w.info.born_wall_ms))
                .with("epoch", self.epoch)
                .with("asked_ago_ms", ctx.now.ms.saturating_sub(self.asked_ms))
                .with("taken_before", self.taken)
                .with("again", self.repeated)
                .with("recorded", w.recorded_through)
                .with("told_seen", w.acked_through),
        );
        self.repeated = 0;
    }
}

/// Answers to starts that are not logged yet.
#[derive(Clone, Debug, Default)]
pub struct StartAnswers {
    /// Each answer with the time at which it came.
    waiting: Vec<(Millis, String)>,
}

/// Notes the answer to a start, with the time since the run was recorded and, if the start was sent several times, their
/// number. The text names the worker that the pool's in-memory state gives for the task.
pub(super) fn add_start_answer(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) {
    let Some(name) = pool_state.task_name(key) else {
        return;
    };
    let Some(task) = pool_state.task(key) else {
        return;
    };
    let name = RunName(&name, run);
    let took_ms = ctx.now.ms.saturating_sub(task.since_ms);
    let text = match task.phase {
        Phase::Starting(on) if task.run == run => {
            let sends = match task.start_sends {
                0 | 1 => String::new(),
                sends => format!(",sent{sends}"),
            };
            let worker = worker_id(pool_state, on);
            format!("{name}@{worker}:{reply:?},{took_ms}{sends}")
        }
        // The task has moved on since the start was sent.
        phase => format!("{name}:{reply:?}/{}#{}", phase_name(phase), task.run),
    };
    pool_state.answers.waiting.push((ctx.now.ms, text));
    if pool_state.answers.waiting.len() >= LISTED_MAX {
        log_start_answers(pool_state, ctx);
    }
}

/// Logs the answers if the first has waited for [`ANSWERS_MS`].
pub(super) fn log_old_start_answers(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let first = pool_state.answers.waiting.first();
    if first.is_some_and(|(at, _)| ctx.now.ms >= at + ANSWERS_MS) {
        log_start_answers(pool_state, ctx);
    }
}

/// Logs all answers. Called before a decision that may rest on them and before the pool's state is dropped.
pub(super) fn log_start_answers(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    if pool_state.answers.waiting.is_empty() {
        return;
    }
    let mut list = List::default();
    for (at_ms, text) in pool_state.answers.waiting.drain(..) {
        let ago_ms = ctx.now.ms.saturating_sub(at_ms);
        list.add(format_args!("{text},{ago_ms}"));
    }
    let why = "workers answered orders to start these runs";
    let decision = Decision::new(Code::StartsAnswered, Subject::Pool, &pool_state.name, why);
    ctx.log(decision.with_name(RUNS_KEY, list.take()));
}

/// Logs all answers of a pool's state that is about to be dropped.
pub(super) fn log_last_start_answers(ownership: &mut Ownership, ctx: &mut Ctx<'_>) {
    if let Some(pool_state) = &mut ownership.pool_state {
        log_start_answers(pool_state, ctx);
    }
}

/// Logs a recorded batch. All its jobs are listed, since an end counts as recorded with the batch of its job.
pub(super) fn log_batch(
    batch: &Batch,
    pool_state: &PoolState,
    revision: Revision,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let why = match batch.removed.is_empty() {
        true => "changes of jobs",
        false => "finished jobs removed",
    };
    let changed = batch.jobs.iter().map(|(key, _)| key);
    let keys = changed.chain(&batch.removed);
    let mut list = List::default();
    for job in keys.filter_map(|key| pool_state.jobs.get(*key)) {
        list.add(&job.id);
    }
    if list.count == 0 {
        return;
    }
    let part = &batch.tx.part;
    ctx.log(
        Decision::new(Code::BatchRecorded, Subject::Pool, part, why)
            .with_name(RUNS_KEY, list.text)
            .with("epoch", epoch)
            .with("revision", revision)
            .with("starts", batch.starts.len() as u64)
            .with("sent_ago_ms", ctx.now.ms.saturating_sub(batch.sent_ms)),
    );
}

/// Logs what a reading of a pool's rows found: the number of done tasks, and the started tasks by worker.
pub(super) fn log_loaded_pool(
    name: &str,
    pool_state: &PoolState,
    ownership: &Ownership,
    facts: &Facts<'_>,
    ctx: &mut Ctx<'_>,
) {
    let rounds = pool_state.jobs.values().flat_map(|job| job.rounds.values());
    let tasks = rounds.flat_map(|round| round.steps.iter().flat_map(|step| &step.tasks));
    let done = tasks.filter(|task| task.phase == Phase::Done).count() as u64;
    let carrying = pool_state.workers.values().filter(|w| !w.tasks.is_empty());
    let draining = pool_state
        .workers
        .values()
        .filter(|w| w.is_listed && w.info.is_draining)
        .count();
    let started: usize = carrying.clone().map(|w| w.tasks.len()).sum();
    let mut on = List::default();
    for w in carrying.take(LOADED_MAX) {
        on.add(format_args!("{}:{}", w.info.id, w.tasks.len()));
    }
    let why = match ownership.readings {
        1 => "rows read",
        _ => "rows read again, by the same owner",
    };
    ctx.log(
        Decision::new(Code::PoolLoaded, Subject::Pool, name, why)
            .with_name("started_on", on.text)
            .with("epoch", ownership.epoch)
            .with("reads", u64::from(ownership.readings))
            .with("jobs", pool_state.jobs.len() as u64)
            .with("workers", pool_state.workers.len() as u64)
            .with("started", started as u64)
            .with("done", done)
            .with("draining", draining as u64)
            .with("list_age_ms", facts.list_changes.age_ms(ctx.now.ms))
            .with("config", facts.config.version)
            .with("took_ms", ctx.now.ms - ownership.began_ms),
    );
}

/// Returns the start time of an instance for the log; 0 if the platform doesn't provide it.
pub(super) fn born_or_zero(wall_ms: Option<Millis>) -> Millis {
    wall_ms.unwrap_or(0)
}

/// Builds the event of a worker whose start time is reported to differ from the known one. `why` names the source of
/// the report.
pub(super) fn worker_restarted(
    w: &Worker,
    reported_wall_ms: Option<Millis>,
    why: &'static str,
) -> Decision {
    Decision::new(Code::WorkerRestarted, Subject::Host, &w.info.id, why)
        .with_name("on", &*w.info.host)
        .with("born_wall_ms", born_or_zero(reported_wall_ms))
        .with("known_born_wall_ms", born_or_zero(w.info.born_wall_ms))
        .with("tasks", w.tasks.len() as u64)
        .with("taken", w.applied_through)
}

/// Builds the event of a worker whose runs are over, with the evidence and the state of its ends and its lease.
pub(super) fn worker_over(w: &Worker, evidence: &Evidence, now_ms: Millis) -> Decision {
    let why = evidence.end_cause().why();
    let decision = Decision::new(Code::WorkerOver, Subject::Host, &w.info.id, why);
    let decision = match evidence {
        Evidence::Lapse => decision,
        Evidence::Answer(order) => decision.with_name("to", *order),
        Evidence::Report { instance, asked_ms } => decision
            .with_name("by", instance)
            .with("asked_ago_ms", now_ms.saturating_sub(*asked_ms)),
    };
    decision
        .with_name("on", &*w.info.host)
        .with("born_wall_ms", born_or_zero(w.info.born_wall_ms))
        .with("tasks", w.tasks.len() as u64)
        .with("unheard_ms", now_ms.saturating_sub(w.answered_ms))
        .with("lease_left_ms", w.lease_end_ms.saturating_sub(now_ms))
        .with("leased_ago_ms", now_ms.saturating_sub(w.leased_ms))
        .with("taken", w.applied_through)
        .with("recorded", w.recorded_through)
        .with("told_seen", w.acked_through)
}

/// Builds the event of a worker that the list shows as draining from now on. `by` names the reading of the list, and
/// `list_age_ms` is the time since the list was last known to be current.
pub(super) fn worker_draining(
    pool_state: &PoolState,
    worker: WorkerKey,
    by: &'static str,
    list_age_ms: Millis,
) -> Option<Decision> {
    let w = pool_state.workers.get(worker)?;
    let phases = w
        .tasks
        .iter()
        .filter_map(|key| Some(pool_state.task(*key)?.phase));
    let count = |is_counted: fn(&Phase) -> bool| phases.clone().filter(is_counted).count() as u64;
    let why = "the worker announced its end";
    let decision = Decision::new(Code::WorkerDraining, Subject::Host, &w.info.id, why)
        .with_name("on", &*w.info.host)
        .with_name("by", by)
        .with("list_age_ms", list_age_ms)
        .with("tasks", w.tasks.len() as u64)
        .with("unsent", count(|p| matches!(p, Phase::Recording(_))))
        .with("unanswered", count(|p| matches!(p, Phase::Starting(_))));
    Some(decision)
}

/// Builds the event of a start that is not sent, or not sent again.
pub(super) fn start_withdrawn(
    pool_state: &PoolState,
    key: TaskKey,
    why: &str,
    now_ms: Millis,
) -> Option<Decision> {
    let task = pool_state.task(key)?;
    let worker = pool_state.workers.get(task.phase.worker()?)?;
    let job = &pool_state.jobs.get(key.job)?.id;
    let decision = Decision::new(Code::StartWithdrawn, Subject::Job, job, why)
        .with_name("worker", &*worker.info.id)
        .with_name("on", &*worker.info.host)
        .with("round", u64::from(key.round))
        .with("step", u64::from(key.step))
        .with("task", u64::from(key.index))
        .with("run", u64::from(task.run))
        .with("sends", u64::from(task.start_sends))
        .with("since_ms", now_ms.saturating_sub(task.since_ms));
    Some(decision)
}

/// Builds the event of a task that is queued again, with the facts behind the decision on its run. `asked_ms` is the
/// request time of the report that lacks the run, if the decision rests on one.
pub(super) fn task_requeued(
    pool_state: &PoolState,
    key: TaskKey,
    why: &str,
    asked_ms: Option<Millis>,
    now_ms: Millis,
) -> Option<Decision> {
    let task = pool_state.task(key)?;
    let job = &pool_state.jobs.get(key.job)?.id;
    // When a worker ends, these figures distinguish the run that may have caused the end from runs that had long been
    // executing.
    let mut decision = Decision::new(Code::TaskRequeued, Subject::Job, job, why)
        .with("round", u64::from(key.round))
        .with("step", u64::from(key.step))
        .with("task", u64::from(key.index))
        .with("run", u64::from(task.run))
        .with("answered", u64::from(task.begun_ms.is_some()))
        .with("reported", u64::from(task.is_reported))
        .with("unanswered", u64::from(task.is_start_open))
        .with("since_ms", now_ms.saturating_sub(task.since_ms))
        .with_name("phase", phase_name(task.phase));
    if let Some(w) = task.phase.worker().and_then(|w| pool_state.workers.get(w)) {
        decision = decision
            .with_name("worker", &*w.info.id)
            .with_name("on", &*w.info.host);
    }
    if let Some(at) = asked_ms {
        decision = decision.with("asked_ago_ms", now_ms.saturating_sub(at));
    }
    if let Some(at) = task.settled_ms {
        decision = decision.with("settled_ago_ms", now_ms.saturating_sub(at));
    }
    Some(decision)
}
