//! Logs why waiting tasks are not placed although workers have room for them.
//!
//! The periodic upkeep of a pool calls [`log`]. Placement does not note its reasons, so that placing a task costs
//! nothing more: a pass finds them out anew for a bounded number of tasks.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::gang;
use super::job::StepSpec;
use super::keys::{StepKey, TaskKey, WorkerKey};
use super::limits::PLACE_SCAN_MAX;
use super::place;
use super::pool_state::PoolState;
use super::runs;
use super::state::Ctx;
use super::tasks::{Phase, Rank};
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};

/// A wait is logged once it has lasted this long. The platform expects a task to start within 3 s where there is room.
pub const LOGGED_AFTER_MS: Millis = 2_000;

/// Time between two passes over the waiting tasks.
const PASS_MS: Millis = 1_000;

/// Pause before the wait of a task is logged again for the same reason.
const REPEAT_MS: Millis = 10_000;

/// Most waits that a pass logs.
const LOGGED_MAX: usize = 4;

/// Most workers that a pass compares with tasks.
const LOOKS_MAX: usize = 2_000;

/// Why a task is not placed on a worker that has room for it, the most momentary reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The owner's lease allows no orders now.
    NoOrders,
    /// The recorded progress of the job can't be read.
    Unreadable,
    /// No attempt is left.
    NoAttempt,
    /// A pause before the next start, since workers crashed under the task.
    Pause,
    /// An earlier run of the task may still be running.
    LeftoverRun,
    /// The account has used up its quota.
    Quota,
    /// The other members of the gang do not wait.
    GangMember,
    /// Placement has not come to the task.
    Turn,
    /// Room in the rack of the task's data is expected soon.
    DataRack,
    /// The worker runs another task that is suspected of crashes.
    Isolation,
    /// The task failed there a moment ago.
    Avoidance,
    /// No ticket of the advice service is valid.
    Ticket,
    /// The worker is reserved for another task.
    Reservation,
    /// The worker gets no tasks for a while.
    Suspension,
    /// The worker's host is surplus to the pool.
    Surplus,
    /// The worker is about to leave the pool or its host.
    Leaving,
    /// A start of the task may still be carried out under another worker's id.
    Binding,
    /// The members of the gang do not fit on the workers that may take them.
    GangRoom,
    /// The worker lacks the label, has enough tasks of the step, or is ruled out by the advice service.
    Constraint,
}

impl WaitReason {
    /// Returns the reason in plain words.
    pub fn why(self) -> &'static str {
        match self {
            Self::NoOrders => "the owner may send no orders now",
            Self::Unreadable => "the recorded progress of the job can't be read",
            Self::NoAttempt => "no attempt is left",
            Self::Pause => "workers crashed under the task, so it pauses before its next start",
            Self::LeftoverRun => "an earlier run of the task may still be running",
            Self::Quota => "the quota of the account is used up in this pool",
            Self::GangMember => "other members of the gang are not ready to start",
            Self::Turn => "placement has not come to the task yet",
            Self::DataRack => "room in the rack of its data is expected soon",
            Self::Isolation => "the workers with room run another suspect of crashes",
            Self::Avoidance => "the task failed a moment ago on the worker with room",
            Self::Ticket => "no worker with room has a valid ticket for it",
            Self::Reservation => "the workers with room are reserved for other tasks",
            Self::Suspension => "the workers with room are suspended",
            Self::Surplus => "the workers with room are on hosts that are surplus",
            Self::Leaving => "the workers with room are about to leave",
            Self::Binding => "an earlier start may still be carried out elsewhere",
            Self::GangRoom => {
                "the members of the gang do not fit on the workers that may take them"
            }
            Self::Constraint => "no worker with room meets the constraints of the step",
        }
    }

    /// Returns what ends the wait.
    pub fn ends_by(self) -> &'static str {
        match self {
            Self::NoOrders => "a renewal of the owner's lease, or a new owner",
            Self::Unreadable => "the cancel of the job",
            Self::NoAttempt => "the end of the job",
            Self::Pause => "the end of the pause, and a pool without crashes",
            Self::LeftoverRun => "the answer to its stop, or the end of its worker's lease",
            Self::Quota => "the end of a run of the account, or a larger grant",
            Self::GangMember => "the stops of their earlier runs",
            Self::Turn => "one of the next passes of placement",
            Self::DataRack => "room in the rack, or the longest wait for it",
            Self::Isolation => "the end of the suspect's start, or the longest wait apart",
            Self::Avoidance => "the end of the avoidance, or room on another worker",
            Self::Ticket => "an answer of the advice service",
            Self::Reservation => "the placement of those tasks, or the end of the reservation",
            Self::Suspension => "the end of the suspension",
            Self::Surplus => "the return of a host to the pool",
            Self::Leaving => "the return of a host, or room elsewhere",
            Self::Binding => "an answer of the worker, or the expiry of the start",
            Self::GangRoom | Self::Constraint => "room on other workers",
        }
    }
}

/// The waits that were logged recently, and the position of the next pass.
#[derive(Clone, Debug, Default)]
pub struct TaskWaits {
    logged_ms: BTreeMap<(TaskKey, WaitReason), Millis>,
    after: Option<Rank>,
    next_pass_ms: Millis,
}

/// A wait that a pass found.
struct Found {
    task: TaskKey,
    reason: WaitReason,
    /// The worker that has room, if the reason is about one.
    worker: Option<WorkerKey>,
}

/// Logs the reasons of tasks that have waited for [`LOGGED_AFTER_MS`] although workers have room for them.
pub fn log(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let now_ms = ctx.now.ms;
    if pool_state.ready.is_empty() || now_ms < pool_state.task_waits.next_pass_ms {
        return;
    }
    pool_state.task_waits.next_pass_ms = now_ms + PASS_MS;
    let logged_ms = &mut pool_state.task_waits.logged_ms;
    logged_ms.retain(|_, at_ms| now_ms < *at_ms + REPEAT_MS);
    let mut looks = LOOKS_MAX;
    let mut found: Vec<Found> = Vec::new();
    for rank in next_ranks(pool_state) {
        if found.len() >= LOGGED_MAX || looks == 0 {
            break;
        }
        pool_state.task_waits.after = Some(rank);
        let is_long = |since_ms| now_ms >= since_ms + LOGGED_AFTER_MS;
        if !pool_state
            .task(rank.task)
            .is_some_and(|t| is_long(t.since_ms))
        {
            continue;
        }
        let Some(wait) = find_reason(pool_state, rank.task, &mut looks, ctx) else {
            continue;
        };
        // Tasks of a step mostly wait for the same reason.
        let is_known = found
            .iter()
            .any(|f| f.reason == wait.reason && StepKey::from(f.task) == StepKey::from(wait.task));
        let logged_ms = &pool_state.task_waits.logged_ms;
        if !is_known && !logged_ms.contains_key(&(wait.task, wait.reason)) {
            found.push(wait);
        }
    }
    for wait in found {
        let key = (wait.task, wait.reason);
        pool_state.task_waits.logged_ms.insert(key, now_ms);
        log_wait(pool_state, &wait, ctx);
    }
}

/// Returns the waiting tasks after those that the last passes examined, in turn.
fn next_ranks(pool_state: &mut PoolState) -> Vec<Rank> {
    let after = pool_state.task_waits.after.take();
    let first = after.map_or(Bound::Unbounded, Bound::Excluded);
    let later = pool_state.ready.range((first, Bound::Unbounded));
    let earlier = pool_state.ready.iter();
    let earlier = earlier.take_while(|rank| after.is_some_and(|after| **rank <= after));
    later.chain(earlier).take(PLACE_SCAN_MAX).copied().collect()
}

/// Returns why a task waits, or `None` if no worker has room for it.
fn find_reason(
    pool_state: &PoolState,
    task: TaskKey,
    looks: &mut usize,
    ctx: &Ctx<'_>,
) -> Option<Found> {
    let spec = pool_state.step_spec(task)?;
    let now_ms = ctx.now.ms;
    let on_task = own_reason(pool_state, task, spec, ctx);
    let mut least: Option<(Option<WaitReason>, WorkerKey)> = None;
    let mut places = 0;
    for slot in pool_state
        .free_index
        .workers_with_free(spec.demand().cpu_milli)
    {
        if *looks == 0 {
            break;
        }
        *looks -= 1;
        let worker = &pool_state.workers[slot.worker];
        if !has_room(worker, spec) {
            continue;
        }
        places += copies_in(worker, spec);
        let obstacle = obstacle(pool_state, task, spec, slot.worker, now_ms);
        if least.is_none_or(|(before, _)| obstacle < before) {
            least = Some((obstacle, slot.worker));
        }
        let is_enough = !spec.gang || places >= u64::from(spec.count);
        if is_enough && (on_task.is_some() || obstacle.is_none()) {
            break;
        }
    }
    let (obstacle, worker) = least?;
    if spec.gang && places < u64::from(spec.count) {
        return None;
    }
    let (reason, worker) = match (on_task, obstacle) {
        (Some(reason), _) => (reason, None),
        (None, _) if spec.gang => (WaitReason::GangRoom, None),
        (None, Some(reason)) => (reason, Some(worker)),
        (None, None) if pool_state.data_racks.is_awaiting(task) => {
            (WaitReason::DataRack, Some(worker))
        }
        (None, None) => (WaitReason::Turn, Some(worker)),
    };
    Some(Found {
        task,
        reason,
        worker,
    })
}

/// Returns why a task may start on no worker at all now.
fn own_reason(
    pool_state: &PoolState,
    task: TaskKey,
    spec: &StepSpec,
    ctx: &Ctx<'_>,
) -> Option<WaitReason> {
    let members = match spec.gang {
        true => gang::members(pool_state, task),
        false => vec![task],
    };
    let is_ready = |m: &TaskKey| pool_state.task(*m).is_some_and(|t| t.phase == Phase::Ready);
    let is_unreadable = pool_state.jobs[task.job].is_unreadable;
    let must_pause = spec.lasting && pool_state.must_delay_start(task, ctx.now.ms);
    let reasons = [
        (!ctx.may_send(), WaitReason::NoOrders),
        (is_unreadable, WaitReason::Unreadable),
        (runs::is_exhausted(pool_state, task), WaitReason::NoAttempt),
        (must_pause, WaitReason::Pause),
        (
            members.iter().any(|m| pool_state.has_leftover_run(*m)),
            WaitReason::LeftoverRun,
        ),
        (
            !pool_state.is_within_quota(task, members.len() as u64),
            WaitReason::Quota,
        ),
        (!members.iter().all(is_ready), WaitReason::GangMember),
    ];
    let mut holding = reasons.into_iter().filter(|(holds, _)| *holds);
    holding.next().map(|(_, reason)| reason)
}

fn has_room(worker: &Worker, spec: &StepSpec) -> bool {
    worker.is_listed
        && worker.is_answering
        && !worker.info.is_draining
        && worker.fits(spec.demand())
}

/// Returns how many tasks of a step fit in a worker's free capacity.
fn copies_in(worker: &Worker, spec: &StepSpec) -> u64 {
    let (free, demand) = (worker.free(), spec.demand());
    let copies = [
        free.cpu_milli.checked_div(demand.cpu_milli),
        free.mem_mb.checked_div(demand.mem_mb),
        free.gpu.checked_div(demand.gpu),
    ];
    copies.into_iter().flatten().min().unwrap_or(u64::MAX >> 16)
}

/// Returns why a task is not placed on a worker with room, or `None` if it may be.
fn obstacle(
    pool_state: &PoolState,
    task: TaskKey,
    spec: &StepSpec,
    worker: WorkerKey,
    now_ms: Millis,
) -> Option<WaitReason> {
    let w = &pool_state.workers[worker];
    let must_be_apart = pool_state
        .task(task)
        .is_some_and(|t| t.must_be_placed_apart(now_ms));
    if pool_state.is_bound_elsewhere(task, w) {
        return Some(WaitReason::Binding);
    }
    if !place::meets_constraints(pool_state, task, spec, worker) {
        return Some(WaitReason::Constraint);
    }
    if w.leaving_reason().is_some() {
        return Some(WaitReason::Leaving);
    }
    if w.is_spare {
        return Some(WaitReason::Surplus);
    }
    if !w.is_open(now_ms) {
        return Some(WaitReason::Suspension);
    }
    if !spec.lasting && pool_state.reserved.is_reserved_for_other(worker, task) {
        return Some(WaitReason::Reservation);
    }
    if !pool_state.has_ticket(task, worker, now_ms) {
        return Some(WaitReason::Ticket);
    }
    if place::should_avoid(pool_state, task, spec, worker, now_ms) {
        return Some(WaitReason::Avoidance);
    }
    (must_be_apart && pool_state.is_watched(worker)).then_some(WaitReason::Isolation)
}

fn log_wait(pool_state: &PoolState, wait: &Found, ctx: &mut Ctx<'_>) {
    let Found {
        task,
        reason,
        worker,
    } = *wait;
    let Some(job) = pool_state.jobs.get(task.job) else {
        return;
    };
    let since_ms = pool_state.task(task).map_or(ctx.now.ms, |t| t.since_ms);
    let mut decision = Decision::new(Code::TaskWaits, Subject::Job, &job.id, reason.why())
        .with("round", u64::from(task.round))
        .with("step", u64::from(task.step))
        .with("task", u64::from(task.index))
        .with("waited_ms", ctx.now.ms.saturating_sub(since_ms))
        .with_name("until", reason.ends_by());
    if let Some((id, left_ms)) = pool_state.binding_of(task, ctx.now.ms) {
        decision = decision.with_name("bound_to", id).with("bound_ms", left_ms);
    }
    if let Some(w) = worker.and_then(|w| pool_state.workers.get(w)) {
        decision = decision
            .with_name("worker", &*w.info.id)
            .with_name("on", &*w.info.host);
    }
    ctx.log(decision);
}
