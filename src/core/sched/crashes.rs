//! Detects tasks that crash the workers that start them, and gives these tasks up. Called by [`runs`] as
//! workers end and by [`renewal`](super::renewal) as workers lose their connections or report runs.
//!
//! In a typical load, a few jobs among hundreds hold a task that crashes its worker milliseconds after its start; up to
//! 18 other tasks go down with the worker for 3 s. The end of an instance doesn't show its cause, and its tasks are
//! queued again, so each task counts the instances that ended while it ran. A crash closes the worker's connections,
//! which gives its time. A run that had been executing for long by then is not to blame; the others are suspects. A
//! suspect's next run goes to the worker with the fewest tasks, and apart from other suspects until it has outlived its
//! start. A second crash then singles out one task, and its job is given up. The counts are recorded, and a new owner
//! continues from them.
//!
//! A crash of a host that crashed lately, or one among many, says less about its tasks: see `host_crashes`.
//!
//! Measured eight times on a pool of 16 workers that got 300 jobs of 8 tasks in 30 s, one job in 30 of this kind (81 in
//! all): 162 workers and 938 runs of other jobs were lost, and 1 of 2,319 other jobs was given up. Without placing
//! suspects apart, 1,574 runs were lost and 30 other jobs given up. With giving up only on the third crash, 243 workers
//! and 1,080 runs were lost, and no other job was given up.

use super::gang;
use super::host_crashes::CrashContext;
use super::job::StepSpec;
use super::keys::{TaskKey, WorkerKey};
use super::limits::{
    BLAME_WINDOW_MS, REPORT_GAP_MAX_MS, START_DONE_MS, START_WINDOW_MS, WORKER_LEASE_MS,
};
use super::pool_state::PoolState;
use super::runs;
use super::state::Ctx;
use super::tasks::{Phase, Seen, Task};
use super::worker::Worker;
use super::worker_losses::WorkerLosses;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};

/// A run counts as long if its estimate is at least this many times [`REPORT_GAP_MAX_MS`], the time during which its
/// end may go unreported.
const LONG_RUN_FACTOR: Millis = 4;

/// From this number of losses of a task on, each of its losses is logged.
const LOSSES_LOGGED_FROM: u8 = 2;

/// Why everything that ran on a worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// Another instance answered at the worker's address.
    OtherInstance,
    /// A later instance of the worker's host answers.
    LaterInstance,
    /// The worker did not answer for the length of its lease. It may be running and cut off from the network.
    Lease,
}

impl EndCause {
    /// Returns the text for the log.
    pub fn why(self) -> &'static str {
        match self {
            EndCause::OtherInstance => "another instance answered in the worker's place",
            EndCause::LaterInstance => "a later instance on the worker's host answers",
            EndCause::Lease => "the worker's lease has expired",
        }
    }
}

/// What shows that a worker's runs are over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Another instance answered an order of this kind.
    Answer(&'static str),
    /// Another instance of the host answered a lease renewal.
    Report {
        /// Id of that instance.
        instance: String,
        /// When that renewal was sent.
        asked_ms: Millis,
    },
    /// The worker's lease ran out without a renewal.
    Lapse,
}

impl Evidence {
    /// Returns whether another id has taken the place of a worker's id, so that no instance uses the id again.
    pub(super) fn has_ended_id(&self, id: &str) -> bool {
        match self {
            Evidence::Answer(_) => true,
            Evidence::Report { instance, .. } => instance != id,
            Evidence::Lapse => false,
        }
    }

    /// Returns the cause that the evidence shows.
    pub fn end_cause(&self) -> EndCause {
        match self {
            Evidence::Answer(_) => EndCause::OtherInstance,
            Evidence::Report { .. } => EndCause::LaterInstance,
            Evidence::Lapse => EndCause::Lease,
        }
    }
}

/// What is known of a worker's end.
#[derive(Clone, Copy, Debug)]
struct WorkerEnd {
    /// Whether another instance took its place and no planned end is known, neither of the worker itself nor of its
    /// host for a move or maintenance.
    is_crash: bool,
    /// When its connections closed, if they did.
    disconnected_ms: Option<Millis>,
    /// Whether its reports left no gap in which the end of a run could go unreported.
    is_gapless: bool,
    /// When it last answered.
    answered_ms: Millis,
    /// What the other crashes in the pool say about it.
    context: CrashContext,
}

impl WorkerEnd {
    fn new(pool_state: &PoolState, worker: &Worker, cause: EndCause) -> Self {
        let lost_ms = worker.disconnected_ms.unwrap_or(worker.answered_ms);
        let hosts = pool_state.workers_by_host.len();
        let crashes = &pool_state.host_crashes;
        Self {
            is_crash: cause != EndCause::Lease && !worker.is_leaving(),
            disconnected_ms: worker.disconnected_ms,
            is_gapless: worker.is_gapless,
            answered_ms: worker.answered_ms,
            context: crashes.context(&worker.info.host, lost_ms, hosts),
        }
    }

    /// Returns when the worker ended, as far as that is known.
    fn lost_ms(self) -> Millis {
        self.disconnected_ms.unwrap_or(self.answered_ms)
    }

    /// Returns what this end adds to the losses of a task that ran on the worker.
    fn losses_for(
        self,
        task: &Task,
        spec: &StepSpec,
        order: GangLossOrder,
        now_ms: Millis,
    ) -> WorkerLosses {
        let has_begun = task.seen > Seen::Nothing;
        let may_have_begun = has_begun || task.is_start_broken;
        if !may_have_begun && !matches!(task.phase, Phase::Suspect(_)) {
            return WorkerLosses::NONE;
        }
        let begun_ms = task.begun_ms.unwrap_or(task.since_ms);
        let is_starting = self.answered_ms < begun_ms + START_WINDOW_MS;
        let may_be_crash = self.is_crash && order != GangLossOrder::Later && has_begun;
        let is_first_loss = may_be_crash && order == GangLossOrder::First;
        let was_seen = matches!(task.phase, Phase::Suspect(_)) && task.seen >= Seen::Gone;
        // A lasting task has no other host to go to if it is limited to one on each, and its bounds ask for certain
        // crashes.
        let is_recurring = self.context == CrashContext::Recurring && !spec.lasting;
        let was_running = was_seen || self.was_running_to_end(task, spec, now_ms);
        let is_certain = is_first_loss && was_running && !is_recurring;
        // A worker that fell silent first may have been cut off, so that its runs had already expired when it crashed.
        let is_confirmed =
            self.disconnected_ms.is_some() || matches!(task.phase, Phase::Suspect(_));
        let is_likely =
            may_be_crash && !is_certain && is_starting && is_confirmed && !was_stopped(task);
        let is_fresh =
            task.seen == Seen::GoneFresh || self.was_disconnected_within(task, BLAME_WINDOW_MS);
        // Where crashes are widespread, a task may meet two by chance: the first makes it a suspect, the others count as
        // certain crashes only.
        let may_blame = self.context == CrashContext::Isolated || task.losses.blamed == 0;
        let is_blamed = is_certain && (spec.lasting || is_fresh && may_blame);
        WorkerLosses {
            blamed: u8::from(is_blamed),
            crashed: u8::from(is_certain),
            likely: u8::from(is_likely),
            all: u8::from(is_starting),
            ..WorkerLosses::NONE
        }
    }

    /// Returns whether the worker certainly crashed within `ms` after this owner first sent the run's start. The time
    /// at which this owner learned that the run had begun can't be used: a new owner finds runs that are seconds old,
    /// and a reply may wait just as long for an owner that was stalled.
    fn was_disconnected_within(self, task: &Task, ms: Millis) -> bool {
        let (Some(sent_ms), Some(disconnected_ms)) = (task.sent_ms, self.disconnected_ms) else {
            return false;
        };
        disconnected_ms < sent_ms + ms
    }

    /// Returns whether the run was still executing when the worker ended. This isn't known of a run that a former owner
    /// started and no report to this owner lists.
    fn was_running_to_end(self, task: &Task, spec: &StepSpec, now_ms: Millis) -> bool {
        if was_stopped(task) {
            return false;
        }
        let Some(begun_ms) = task.begun_ms else {
            return false;
        };
        let is_starting = self.answered_ms < begun_ms + START_WINDOW_MS;
        if spec.lasting {
            // A lasting run executes until its lease ends.
            return is_starting && now_ms < self.answered_ms.max(begun_ms) + WORKER_LEASE_MS;
        }
        // The run may have ended by itself from half of its estimated time on. Such an end would have been reported,
        // unless it fell into the last moments before the crash, which is likely only for short runs.
        let is_long = spec.estimate_ms >= LONG_RUN_FACTOR * REPORT_GAP_MAX_MS;
        let is_end_unlikely = is_starting && is_long && self.is_gapless;
        is_end_unlikely || self.was_disconnected_within(task, spec.estimate_ms / 2)
    }
}

/// Returns whether the run was stopped before its worker ended, so that the run may have ended first. An unanswered
/// stop most likely reached a worker that had already crashed: in a gang, the members are stopped after others are lost
/// in the same crash.
fn was_stopped(task: &Task) -> bool {
    matches!(task.phase, Phase::Stopping(_)) && task.settled_ms.is_some()
}

/// Counts the end of an instance for the tasks that may have been running there.
pub(super) fn count_worker_end(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    cause: EndCause,
    ctx: &mut Ctx<'_>,
) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    if w.info.is_draining && w.has_been_listed() {
        // The worker announced its end by draining.
        return;
    }
    let end = WorkerEnd::new(pool_state, w, cause);
    let host = w.info.host.clone();
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    if end.is_crash {
        pool_state.crashed_ms = pool_state.crashed_ms.max(end.lost_ms());
    }
    let mut suspects = Vec::new();
    for key in tasks {
        let added = count_loss(pool_state, key, end, ctx);
        if added.crashed + added.likely > 0 {
            suspects.push(key);
        }
    }
    if end.is_crash {
        let explains = |key: &TaskKey| is_given_up(pool_state, *key);
        let explaining: Vec<TaskKey> = suspects.iter().copied().filter(explains).collect();
        let crashes = &mut pool_state.host_crashes;
        crashes.note(&host, end.lost_ms(), suspects);
        explaining.into_iter().for_each(|key| crashes.explain(key));
    }
}

/// Records the runs that were on a worker when its connections closed, for an owner that takes over before the next
/// instance answers. In one case, the owner that had seen the crash was replaced before that answer in three of five
/// crashes, and what it had seen was lost.
pub(super) fn record_connection_loss(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    now_ms: Millis,
) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    let end = WorkerEnd::new(pool_state, w, EndCause::LaterInstance);
    if !end.is_crash {
        return;
    }
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    pool_state.crashed_ms = now_ms;
    for key in tasks {
        let is_first = gang_loss_order(pool_state, key, end) == GangLossOrder::First;
        let Some(spec) = pool_state.step_spec(key).cloned() else {
            continue;
        };
        let Some(task) = pool_state.task_mut(key) else {
            continue;
        };
        let losses = end.losses_for(task, &spec, GangLossOrder::First, now_ms);
        if !is_first || losses.crashed == 0 {
            continue;
        }
        task.seen = match losses.blamed {
            0 => Seen::Gone,
            _ => Seen::GoneFresh,
        };
        pool_state.mark_dirty(key.job, now_ms);
    }
}

/// Clears what [`record_connection_loss`] noted, because the worker answers again.
pub(super) fn clear_connection_loss(pool_state: &mut PoolState, worker: WorkerKey) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    for key in w.tasks.iter().copied().collect::<Vec<_>>() {
        if let Some(task) = pool_state.task_mut(key) {
            task.seen = task.seen.min(Seen::Begun);
        }
    }
}

/// Order of a member's loss among the losses of its gang. The end of one member ends all, so the runs of members that
/// are lost later may have been over before their own workers ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GangLossOrder {
    /// No other member was lost before it or at nearly the same time.
    First,
    /// Another member was lost at nearly the same time, and either may have been the first.
    Tied,
    /// Another member was lost before it.
    Later,
}

/// Compares the time of a member's loss with the losses of the other members of its gang in the same run.
fn gang_loss_order(pool_state: &PoolState, key: TaskKey, end: WorkerEnd) -> GangLossOrder {
    let run = pool_state.task(key).map(|t| t.run);
    if !gang::is_member(pool_state, key) {
        return GangLossOrder::First;
    }
    let lost_ms = |task: &Task| {
        let worker = task.phase.worker().and_then(|w| pool_state.workers.get(w));
        task.lost_ms.or(worker.and_then(|w| w.disconnected_ms))
    };
    let ours_ms = end.lost_ms();
    let members = gang::members(pool_state, key).into_iter();
    let others = members.filter_map(|m| pool_state.task(m));
    let others = others.filter(|t| Some(t.run) == run);
    // Members on the same worker were lost at the same time and don't count.
    let elsewhere = others.filter_map(lost_ms).filter(|at| *at != ours_ms);
    match elsewhere.min() {
        Some(theirs_ms) if theirs_ms + REPORT_GAP_MAX_MS < ours_ms => GangLossOrder::Later,
        Some(theirs_ms) if theirs_ms < ours_ms + REPORT_GAP_MAX_MS => GangLossOrder::Tied,
        _ => GangLossOrder::First,
    }
}

/// Adds a worker's end to the losses of one task. Logs the losses if the task is blamed for this end, has at least
/// [`LOSSES_LOGGED_FROM`] losses, or is given up. Returns what was added.
fn count_loss(
    pool_state: &mut PoolState,
    key: TaskKey,
    end: WorkerEnd,
    ctx: &mut Ctx<'_>,
) -> WorkerLosses {
    let Some(spec) = pool_state.step_spec(key).cloned() else {
        return WorkerLosses::NONE;
    };
    let order = gang_loss_order(pool_state, key, end);
    let Some(task) = pool_state.task_mut(key) else {
        return WorkerLosses::NONE;
    };
    task.lost_ms = Some(end.lost_ms());
    let added = end.losses_for(task, &spec, order, ctx.now.ms);
    if added == WorkerLosses::NONE {
        return added;
    }
    task.losses.add(added, task.run);
    let (losses, run) = (task.losses, task.run);
    let pause_ms = if spec.lasting { losses.pause_ms() } else { 0 };
    task.held_until_ms = ctx.now.ms + pause_ms;
    pool_state.mark_dirty(key.job, ctx.now.ms);
    let is_given_up = is_given_up(pool_state, key);
    queue_if_given_up(pool_state, key);
    if added.blamed > 0 || losses.all >= LOSSES_LOGGED_FROM || is_given_up {
        let id = &pool_state.jobs[key.job].id;
        ctx.log(
            Decision::new(
                Code::TaskSuspected,
                Subject::Job,
                id,
                "the worker ended while the task may have been running there",
            )
            .with("step", u64::from(key.step))
            .with("task", u64::from(key.index))
            .with("run", u64::from(run))
            .with("blamed", u64::from(losses.blamed))
            .with("crashed", u64::from(losses.crashed))
            .with("likely", u64::from(losses.likely))
            .with("ended", u64::from(losses.all))
            .with("third_run", u64::from(losses.third_run))
            .with("pause_ms", pause_ms)
            .with(
                "recurring",
                u64::from(end.context == CrashContext::Recurring),
            )
            .with(
                "widespread",
                u64::from(end.context == CrashContext::Widespread),
            )
            .with("given_up", u64::from(is_given_up)),
        );
    }
    added
}

/// Returns whether a task is given up and no longer started.
pub(super) fn is_given_up(pool_state: &PoolState, key: TaskKey) -> bool {
    let lasts = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    pool_state
        .task(key)
        .is_some_and(|t| t.losses.is_over_limit(lasts, t.run))
}

/// Queues the job of a given-up task to be ended. If the step limits how many of its tasks may be away, the job
/// continues while another task runs or may run, since ending it would stop all of them. Once none is left, the job
/// ends, and its caller sees that it failed.
pub(super) fn queue_if_given_up(pool_state: &mut PoolState, key: TaskKey) {
    let is_over = pool_state
        .jobs
        .get(key.job)
        .is_none_or(|j| j.state.is_final());
    if is_over || !is_given_up(pool_state, key) {
        return;
    }
    let limits_away = |task: &TaskKey| {
        pool_state
            .step_spec(*task)
            .is_some_and(|s| s.away_max.is_some())
    };
    let mut tasks = pool_state.tasks_of(key.job).into_iter();
    let may_run = |task| {
        pool_state
            .task(task)
            .is_some_and(|t| t.phase.worker().is_some())
    };
    let continues =
        limits_away(&key) && tasks.any(|task| may_run(task) || !is_given_up(pool_state, task));
    if !continues {
        pool_state.given_up.push(key.job);
    }
}

/// Notes that a worker's report, requested at `sent_ms`, lists a task's run.
pub(super) fn note_reported(
    pool_state: &mut PoolState,
    key: TaskKey,
    sent_ms: Millis,
    now_ms: Millis,
) {
    let lasts = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    let Some(task) = pool_state.task_mut(key) else {
        return;
    };
    let begun_ms = task.begun_ms.unwrap_or(task.since_ms);
    let ran_ms = sent_ms.saturating_sub(begun_ms);
    // A lasting task meets many ends that it didn't cause, so its losses are cleared once it has outlived its start.
    // Other tasks end before that matters.
    let has_outlived_start = lasts && (ran_ms >= START_DONE_MS || task.is_past_startup);
    if has_outlived_start && task.losses != WorkerLosses::NONE {
        task.losses = WorkerLosses::NONE;
        pool_state.mark_dirty(key.job, now_ms);
    }
    if ran_ms >= BLAME_WINDOW_MS && pool_state.watched.remove(&key).is_some() {
        pool_state.wants_placing = true;
    }
}

/// Ends the jobs of tasks that crashed too many workers.
pub(super) fn end_given_up_jobs(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    for job in std::mem::take(&mut pool_state.given_up) {
        runs::fail_job(
            pool_state,
            job,
            "a task crashed too many workers",
            epoch,
            ctx,
        );
    }
}
