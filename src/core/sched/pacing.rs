//! Applies workers' reports to the pace of tasks that fill beside tasks that serve, and orders the pace.
//!
//! The reducer calls [`regulate`] after a report was applied. A new owner knows no run's pace: it sets what fills
//! to the pace that its own first figure asks for.

use super::keys::{TaskKey, WorkerKey};
use super::pace::{RunPace, WorkerPace, FULL_PERCENT, LATE_ORDER_MS, REPEAT_MS};
use super::place;
use super::pool_state::PoolState;
use super::runs;
use super::state::{Ctx, Effect};
use super::tasks::Phase;
use super::wave;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{OrderReply, RenewalReport, RunningTask};

/// What a worker's report shows of the runs that serve or fill.
pub struct SharedRuns {
    /// Tail of the worst serving task, in thousandths of its target; `None` if none serves.
    worst_milli: Option<u64>,
    /// Tasks that fill, with their runs.
    fillers: Vec<(TaskKey, u32)>,
}

impl SharedRuns {
    fn of(pool_state: &PoolState, worker: WorkerKey, running: &[RunningTask]) -> Self {
        let mut shares = Self {
            worst_milli: None,
            fillers: Vec::new(),
        };
        for run in running {
            let Some(key) = pool_state.find_task(&run.task) else {
                continue;
            };
            let is_here = pool_state
                .task(key)
                .is_some_and(|task| task.run == run.run && task.phase == Phase::Running(worker));
            let Some(spec) = pool_state.step_spec(key).filter(|_| is_here) else {
                continue;
            };
            if spec.filler {
                shares.fillers.push((key, run.run));
            } else if spec.tail_max_ms > 0 && run.percent >= 100 {
                let milli = run.gauge * 1_000 / spec.tail_max_ms;
                shares.worst_milli = shares.worst_milli.max(Some(milli));
            }
        }
        shares
    }
}

/// Returns what a worker's report shows of the runs that serve or fill; `None` if there is no report or nothing in the
/// pool serves.
pub fn shared_runs(
    pool_state: &PoolState,
    worker: WorkerKey,
    result: &Result<RenewalReport, OrderReply>,
) -> Option<SharedRuns> {
    let report = result.as_ref().ok().filter(|_| pool_state.pace.is_used)?;
    Some(SharedRuns::of(pool_state, worker, &report.running))
}

/// Adjusts the pace of what fills on a worker to a report of its runs.
pub fn regulate(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    shares: &SharedRuns,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if shares.fillers.is_empty() {
        pool_state.pace.workers.remove(&worker);
        return;
    }
    let now_ms = ctx.now.ms;
    let mut pace = pool_state
        .pace
        .workers
        .get(&worker)
        .copied()
        .unwrap_or_default();
    match shares.worst_milli {
        Some(worst_milli) => {
            if pace.adjust(worst_milli, now_ms) {
                log_pace(pool_state, worker, pace, worst_milli, ctx);
            }
            pool_state.pace.workers.insert(worker, pace);
        }
        // Nothing serves here any more.
        None => {
            pace = WorkerPace::default();
            pool_state.pace.workers.remove(&worker);
        }
    }
    for (key, run) in &shares.fillers {
        order_pace(pool_state, worker, (*key, *run), pace.percent(), epoch, ctx);
    }
    if pace.is_tight(now_ms) {
        move_filler(pool_state, worker, &shares.fillers, epoch, ctx);
    }
}

fn log_pace(
    pool_state: &PoolState,
    worker: WorkerKey,
    pace: WorkerPace,
    worst_milli: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(worker) = pool_state.workers.get(worker) else {
        return;
    };
    let why = "the serving task farthest from its target decides the pace of what fills beside it";
    let decision = Decision::new(Code::PaceChanged, Subject::Host, &worker.info.id, why)
        .with("percent", u64::from(pace.percent()))
        .with("tail_milli_of_target", worst_milli);
    ctx.log(decision);
}

/// Orders a pace for a run unless the worker has acknowledged it and no earlier order may still be carried out.
fn order_pace(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    (key, run): (TaskKey, u32),
    percent: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let now_ms = ctx.now.ms;
    let is_own = pool_state
        .task(key)
        .is_some_and(|task| task.sent_ms.is_some());
    let known = pool_state.pace.runs.get(&key).filter(|p| p.run == run);
    let mut state = known.copied().unwrap_or(RunPace {
        run,
        // A run that this owner started is at full pace. One that a former owner started may be at any.
        acked: is_own.then_some(FULL_PERCENT),
        sent_ms: 0,
        unsure_until_ms: 0,
    });
    // The last order must be sent once no earlier one can be carried out any more.
    let is_unsure = state.sent_ms < state.unsure_until_ms;
    let repeat_ms = state.unsure_until_ms.min(state.sent_ms + REPEAT_MS);
    if state.acked == Some(percent) && (!is_unsure || now_ms < repeat_ms) {
        pool_state.pace.runs.insert(key, state);
        return;
    }
    let order = runs::order_to(pool_state, worker, epoch, ctx);
    let (Some(order), Some(name)) = (order, pool_state.task_name(key)) else {
        return;
    };
    if !ctx.may_send() {
        return;
    }
    state.sent_ms = now_ms;
    pool_state.pace.runs.insert(key, state);
    ctx.out.push(Effect::Pace(order, key, name, run, percent));
}

/// Applies the reply to an order that set a run's pace.
pub fn apply_reply(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    percent: u32,
    reply: OrderReply,
    ctx: &Ctx<'_>,
) {
    let Some(state) = pool_state.pace.runs.get_mut(&key).filter(|p| p.run == run) else {
        return;
    };
    match reply {
        OrderReply::Accepted => state.acked = Some(percent),
        OrderReply::Silent | OrderReply::Broken => {
            state.acked = None;
            state.unsure_until_ms = ctx.now.ms + LATE_ORDER_MS;
        }
        _ => state.acked = None,
    }
}

/// Stops one filling task, so that it is placed elsewhere, if its step lets it be away and another worker can take it.
fn move_filler(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    fillers: &[(TaskKey, u32)],
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let movable = fillers.iter().map(|(key, _)| *key).find(|key| {
        wave::may_stop_lasting(pool_state, *key, ctx.now.ms)
            && has_calm_worker(pool_state, *key, worker, ctx.now.ms)
    });
    let Some(key) = movable else {
        return;
    };
    if let Some(pace) = pool_state.pace.workers.get_mut(&worker) {
        pace.tight_since_ms = Some(ctx.now.ms);
    }
    let id = pool_state.workers[worker].info.id.clone();
    let why = "what serves beside it leaves it next to no pace";
    let decision = Decision::new(Code::FillerMoved, Subject::Host, &id, why);
    let name = pool_state.task_name(key);
    let job = name.map_or_else(String::new, |name| name.job);
    ctx.log(decision.with_name("job", job));
    runs::stop_run(pool_state, key, epoch, ctx);
}

/// Returns whether another open worker has room for a filling task and no serving task that is paced for.
fn has_calm_worker(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    now_ms: Millis,
) -> bool {
    let Some(spec) = pool_state.step_spec(key) else {
        return false;
    };
    let mut others = pool_state.workers.iter();
    others.any(|(other, w)| {
        other != worker
            && w.is_open(now_ms)
            && w.fits(spec.demand())
            && !pool_state.pace.is_paced_down(other)
            && place::meets_constraints(pool_state, key, spec, other)
    })
}

/// Drops the paces of runs and workers that are gone.
pub(super) fn drop_ended(pool_state: &mut PoolState) {
    if !pool_state.pace.is_used {
        return;
    }
    let mut pace = std::mem::take(&mut pool_state.pace);
    pace.workers
        .retain(|worker, _| pool_state.workers.contains_key(*worker));
    pace.runs.retain(|key, known| {
        let task = pool_state.task(*key);
        task.is_some_and(|task| task.run == known.run && task.phase.worker().is_some())
    });
    pool_state.pace = pace;
}
