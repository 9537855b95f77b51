//! Applies workers' reports to the pace of tasks that fill beside tasks that serve, and orders the pace.
//!
//! The reducer calls [`regulate`] after a report was applied. A new owner knows no run's pace: it sets what fills
//! to the pace that its own first figure asks for.

use super::keys::{TaskKey, WorkerKey};
use super::pace::{RunPace, Tail, WorkerPace, FULL_PERCENT, LATE_ORDER_MS, REPEAT_MS};
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
    /// Tails of the tasks that serve.
    tails: Vec<Tail>,
    /// Tasks that fill, with their runs.
    fillers: Vec<(TaskKey, u32)>,
}

impl SharedRuns {
    fn of(pool_state: &PoolState, worker: WorkerKey, running: &[RunningTask]) -> Self {
        let mut shares = Self {
            tails: Vec::new(),
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
                shares.tails.push(Tail { task: key, milli });
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
    let known = pool_state.pace.workers.remove(&worker);
    let mut pace = known.unwrap_or_default();
    if shares.tails.is_empty() {
        // Nothing serves here any more.
        pace = WorkerPace::default();
    } else {
        let acked_ms = acked_ms(pool_state, &shares.fillers, pace.percent());
        if pace.adjust(&shares.tails, acked_ms, now_ms) {
            log_pace(pool_state, worker, &pace, &shares.tails, ctx);
        }
        pool_state.pace.workers.insert(worker, pace.clone());
    }
    for (key, run) in &shares.fillers {
        order_pace(pool_state, worker, (*key, *run), pace.percent(), epoch, ctx);
    }
    if pace.is_tight(now_ms) {
        move_filler(pool_state, worker, &shares.fillers, epoch, ctx);
    }
}

/// Returns when the last of these runs was acknowledged to have a pace, or `None` if one was not. A run that this owner
/// started has its full pace from its start.
fn acked_ms(pool_state: &PoolState, fillers: &[(TaskKey, u32)], percent: u32) -> Option<Millis> {
    let acked = fillers.iter().map(|(key, run)| {
        let known = pool_state.pace.runs.get(key).filter(|p| p.run == *run);
        let acked = match known {
            Some(known) => known.acked,
            None => own_pace(pool_state, *key),
        };
        acked.filter(|(pace, _)| *pace == percent).map(|(_, ms)| ms)
    });
    acked.collect::<Option<Vec<Millis>>>()?.into_iter().max()
}

/// Returns the pace that a run has without an order: full if this owner started it, else unknown.
fn own_pace(pool_state: &PoolState, key: TaskKey) -> Option<(u32, Millis)> {
    let sent_ms = pool_state.task(key)?.sent_ms;
    sent_ms.map(|sent_ms| (FULL_PERCENT, sent_ms))
}

fn log_pace(
    pool_state: &PoolState,
    worker: WorkerKey,
    pace: &WorkerPace,
    tails: &[Tail],
    ctx: &mut Ctx<'_>,
) {
    let worst_milli = tails.iter().map(|tail| tail.milli).max().unwrap_or(0);
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
    let known = pool_state.pace.runs.get(&key).filter(|p| p.run == run);
    let mut state = known.copied().unwrap_or(RunPace {
        run,
        // A run that a former owner started may be at any pace.
        acked: own_pace(pool_state, key),
        sent_ms: 0,
        unsure_until_ms: 0,
    });
    // The last order must be sent once no earlier one can be carried out any more.
    let is_unsure = state.sent_ms < state.unsure_until_ms;
    let repeat_ms = state.unsure_until_ms.min(state.sent_ms + REPEAT_MS);
    let is_acked = state.acked.is_some_and(|(pace, _)| pace == percent);
    if is_acked && (!is_unsure || now_ms < repeat_ms) {
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
        OrderReply::Accepted => state.acked = Some((percent, ctx.now.ms)),
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
        pool_state.step_spec(*key).is_some_and(|spec| spec.lasting)
            && wave::may_stop_lasting(pool_state, *key, ctx.now.ms)
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

/// Returns whether another open worker has room for a filling task and none that serves there needed a lower pace lately.
fn has_calm_worker(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    now_ms: Millis,
) -> bool {
    place::other_workers(pool_state, key, worker, now_ms).any(|w| pool_state.pace.is_calm(w))
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
