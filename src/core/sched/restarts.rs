//! Handles workers that restart under the same id. Called by [`renewal`] as reports come in.
//!
//! An order names its worker by id alone, so a later instance may carry out what was sent to an earlier one. Until the
//! later instance has reported, no order that may still reach it counts as over.

use std::collections::HashSet;

use super::keys::{TaskKey, WorkerKey};
use super::limits::STRAY_LEASE_MS;
use super::pool_state::PoolState;
use super::renewal;
use super::run_log;
use super::runs;
use super::state::{Ctx, Timer};
use super::tasks::Phase;
use crate::clock::Millis;
use crate::port::fleet::{RenewalReport, TaskName};

/// Notes that an instance answers where earlier ones of its id were known. Its next renewal raises the fencing token,
/// so that the instance refuses all orders to the earlier ones that are still on their way. The report that answers
/// that renewal is therefore the first that counts.
pub(super) fn confirm_instance(pool_state: &mut PoolState, key: WorkerKey, ctx: &mut Ctx<'_>) {
    let Some(w) = pool_state.workers.get_mut(key) else {
        return;
    };
    w.is_unconfirmed = false;
    w.restarts += 1;
    // An order for an earlier instance may have given this one a longer lease, and a lease is never shortened.
    w.lease_end_ms = w.lease_end_ms.max(ctx.now.ms + STRAY_LEASE_MS);
    let born_wall_ms = w.info.born_wall_ms;
    let id = w.info.id.clone();
    let others = pool_state
        .instances_of(&id)
        .filter(|(other, w)| *other != key && w.has_been_seen());
    let earlier: Vec<WorkerKey> = others.map(|(other, _)| other).collect();
    for other in earlier {
        supersede(pool_state, other, born_wall_ms, ctx);
    }
}

/// Marks an instance as superseded because another one answered what was sent to it. Runs that may still be executing
/// under its id are listed in the report of the instance that is there now.
pub(super) fn supersede(
    pool_state: &mut PoolState,
    key: WorkerKey,
    born_wall_ms: Option<Millis>,
    ctx: &mut Ctx<'_>,
) {
    let has_leftover_runs = pool_state
        .leftover_runs
        .values()
        .any(|leftover| leftover.worker == key);
    let Some(w) = pool_state.workers.get_mut(key).filter(|w| !w.is_superseded) else {
        return;
    };
    ctx.log(run_log::worker_restarted(
        w,
        born_wall_ms,
        "the worker's report names another start time",
    ));
    w.is_superseded = true;
    w.is_listed = false;
    w.is_answering = false;
    let is_empty = w.tasks.is_empty() && !has_leftover_runs;
    let left_ms = if is_empty { 0 } else { STRAY_LEASE_MS };
    w.lease_end_ms = ctx.now.ms + left_ms;
    ctx.set_timer(left_ms, Timer::ExpireLease(key));
    renewal::remove_if_over(pool_state, key, ctx);
}

/// Moves the runs that an instance reports from earlier instances of its id to this instance, because their starts
/// reached it.
pub(super) fn adopt_runs(
    pool_state: &mut PoolState,
    key: WorkerKey,
    report: &RenewalReport,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(w) = pool_state.workers.get(key) else {
        return;
    };
    let instances = pool_state
        .instances_of(&w.info.id)
        .map(|(instance, _)| instance);
    let earlier: Vec<WorkerKey> = instances.filter(|instance| *instance != key).collect();
    if earlier.is_empty() {
        return;
    }
    let running = report.running.iter().map(|r| (&r.task, r.run));
    let ended = report.ended.iter().map(|e| (&e.task, e.run));
    let reported: HashSet<(&TaskName, u32)> = running.chain(ended).collect();
    for (name, run) in &reported {
        if let Some(task) = pool_state.find_task(name) {
            adopt_task(pool_state, task, *run, &earlier, key, epoch, ctx);
        }
    }
    let leftover = pool_state
        .leftover_runs
        .iter()
        .filter(|((_, run), leftover)| {
            earlier.contains(&leftover.worker) && reported.contains(&(&leftover.name, *run))
        });
    let leftover: Vec<(TaskKey, u32)> = leftover.map(|(run, _)| *run).collect();
    for (task, run) in leftover {
        pool_state.move_leftover_run((task, run), key);
        runs::resend_stop(pool_state, task, run, epoch, ctx);
    }
}

/// Moves a task's current run from an earlier instance to `worker`, and stops it again if it was being stopped.
fn adopt_task(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    earlier: &[WorkerKey],
    worker: WorkerKey,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(task) = pool_state.task(key).filter(|task| task.run == run) else {
        return;
    };
    let is_theirs = task.phase.worker().is_some_and(|on| earlier.contains(&on));
    if !is_theirs {
        return;
    }
    let is_stopping = matches!(task.phase, Phase::Stopping(_));
    pool_state.set_phase(key, Phase::Running(worker), ctx.now.ms);
    if let Some(task) = pool_state.task_mut(key) {
        task.settled_ms = Some(ctx.now.ms);
        task.is_reported = true;
    }
    if is_stopping {
        runs::stop_run(pool_state, key, epoch, ctx);
    }
}
