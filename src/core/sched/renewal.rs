//! Renews the leases of workers and applies their reports. Each worker has at most one renewal request in flight, and
//! the next one is sent after its result was applied.
//!
//! A renewal extends the lease of everything that runs on the worker, acknowledges the run ends that are recorded, and
//! waits at the worker for the next end. The report in the answer is the worker's state at some moment after the
//! request was sent.

use std::collections::HashMap;

use super::checkpoints;
use super::crashes::{self, Evidence};
use super::keys::{TaskKey, WorkerKey};
use super::late_starts;
use super::limits::{
    RECORDING_WAIT_MS, RENEWAL_IDLE_WAIT_MS, RENEWAL_RETRY_MS, RENEWAL_WAIT_MS, REPORT_GAP_MAX_MS,
    SAME_INSTANCE_MS, WORKER_LEASE_MS,
};
use super::pace;
use super::pool_state::PoolState;
use super::restarts;
use super::run_log;
use super::runs;
use super::speeds;
use super::state::{Ctx, Effect, Timer};
use super::tasks::Phase;
use super::worker::{ClockSample, RenewalPhase, Worker};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{OrderReply, RenewalReport, RenewalRequest, RunningTask, TaskName};

/// Most ends that a worker lists in one report. A report with this many may be incomplete.
const ENDS_LISTED_MAX: usize = 500;

/// Sends the next renewal to a worker unless one is in flight.
pub fn send_next(pool_state: &mut PoolState, key: WorkerKey, epoch: u64, ctx: &mut Ctx<'_>) {
    let last_acknowledgeable = pool_state.last_acknowledgeable_end(key, ctx.now.ms);
    let is_watched = pool_state.pace.watches(key);
    let busy_wait_ms = pool_state.speeds.renewal_wait_ms(key, RENEWAL_WAIT_MS);
    let Some(w) = pool_state.workers.get_mut(key) else {
        return;
    };
    if w.is_superseded {
        return;
    }
    let is_free = match w.renewal {
        RenewalPhase::Idle => true,
        RenewalPhase::Sent(_) => false,
        // A worker must not lose its lease because the store can't record its ends.
        RenewalPhase::Recording(since_ms) => ctx.now.ms >= since_ms + RECORDING_WAIT_MS,
    };
    if !is_free || w.info.address.port() == 0 {
        return;
    }
    if !ctx.may_send() {
        ctx.set_timer(RENEWAL_RETRY_MS, Timer::RenewWorker(key));
        return;
    }
    // A worker that did not answer is only asked for a report: a renewal would postpone the end of its lease.
    let clock = w.clock.filter(|_| w.is_answering);
    let lease_until_ms = clock.map(|c| c.at(ctx.now.ms) + WORKER_LEASE_MS);
    if let Some(until_ms) = lease_until_ms {
        w.note_lease(until_ms, ctx.now.ms);
    }
    // Ends are acknowledged only to the instance that reported them. A later instance would discard its own ends with
    // the same numbers before it had reported them. For the same reason a renewal with nothing to acknowledge names no end.
    let is_same_instance = w.is_answering && ctx.now.ms < w.answered_ms + SAME_INSTANCE_MS;
    let acked_through = if is_same_instance && w.lists_ends {
        last_acknowledgeable
    } else {
        0
    };
    let wait_ms = match (lease_until_ms, w.tasks.is_empty()) {
        (None, _) => 0,
        // The worker would not wait in any case: it answers at once with the ends that are not recorded yet.
        _ if !w.unrecorded.is_empty() => 0,
        _ if is_watched => pace::REPORT_MS,
        (Some(_), true) => RENEWAL_IDLE_WAIT_MS,
        (Some(_), false) => busy_wait_ms,
    };
    let request = RenewalRequest {
        lease_until_ms,
        acked_through,
        wait_ms,
    };
    w.renewal = RenewalPhase::Sent(ctx.now.ms);
    w.acked_through = w.acked_through.max(acked_through);
    if let Some(order) = runs::order_to(pool_state, key, epoch, ctx) {
        ctx.out.push(Effect::RenewWorker(order, key, request));
    }
}

/// Renews the leases of workers whose ends could not be recorded for long. Called periodically, because a timer for
/// each report would mean thousands of timers a second at peak load.
pub fn renew_stuck(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    let stuck: Vec<WorkerKey> = pool_state.recording.iter().copied().collect();
    for key in stuck {
        send_next(pool_state, key, epoch, ctx);
    }
}

/// Applies the result of a renewal and returns whether the pool is lost.
pub fn settle(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    result: Result<RenewalReport, OrderReply>,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(w) = pool_state.workers.get_mut(key) else {
        return false;
    };
    w.renewal = RenewalPhase::Idle;
    match result {
        Ok(report) if !w.has_start_time(report.born_wall_ms) => {
            restarts::supersede(pool_state, key, report.born_wall_ms, ctx);
        }
        Ok(_) if w.is_unconfirmed => {
            restarts::confirm_instance(pool_state, key, ctx);
            send_next(pool_state, key, epoch, ctx);
        }
        Ok(report) if w.is_superseded => {
            apply_ends(pool_state, key, sent_ms, &report, epoch, ctx);
        }
        Ok(report) => apply_report(pool_state, key, sent_ms, report, epoch, ctx),
        Err(OrderReply::Fenced) if !w.has_restarted() => return true,
        Err(OrderReply::OtherLife) if w.has_answered_at_address() => {
            w.is_listed = false;
            runs::end_worker(pool_state, key, &Evidence::Answer("hold"), ctx);
            clear_lease(pool_state, key);
            remove_if_over(pool_state, key, ctx);
        }
        Err(reply) => handle_no_answer(pool_state, key, sent_ms, reply, ctx),
    }
    false
}

/// Marks a worker as not answering after a renewal failed, and schedules the next request and the end of its lease.
fn handle_no_answer(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) {
    let Some(w) = pool_state.workers.get_mut(key) else {
        return;
    };
    let left_ms = w.lease_end_ms.saturating_sub(ctx.now.ms);
    let is_broken = matches!(reply, OrderReply::Broken | OrderReply::Refused);
    w.is_refusing = is_broken;
    if w.is_answering {
        w.is_answering = false;
        w.disconnected_ms = is_broken.then_some(ctx.now.ms);
        w.is_gapless = is_broken && sent_ms <= w.answered_ms + REPORT_GAP_MAX_MS;
        ctx.log(
            Decision::new(
                Code::WorkerSilent,
                Subject::Host,
                &w.info.id,
                format!("a lease renewal got no answer: {reply:?}"),
            )
            .with("lease_left_ms", left_ms)
            .with("tasks", w.tasks.len() as u64),
        );
        if is_broken {
            crashes::record_connection_loss(pool_state, key, ctx.now.ms);
        }
        late_starts::bind_silent(pool_state, key, ctx);
    }
    ctx.set_timer(left_ms, Timer::ExpireLease(key));
    ctx.set_timer(RENEWAL_RETRY_MS, Timer::RenewWorker(key));
    end_if_succeeded(pool_state, key, ctx);
}

/// Ends what ran on a worker that doesn't answer, once everything ordered to it has expired.
pub fn expire_lease(pool_state: &mut PoolState, key: WorkerKey, ctx: &mut Ctx<'_>) {
    let Some(w) = pool_state.workers.get(key) else {
        return;
    };
    if w.is_answering || ctx.now.ms < w.lease_end_ms {
        return;
    }
    let has_leftover_runs = pool_state
        .leftover_runs
        .values()
        .any(|leftover| leftover.worker == key);
    if !w.tasks.is_empty() || has_leftover_runs {
        runs::end_worker(pool_state, key, &Evidence::Lapse, ctx);
    }
    remove_if_over(pool_state, key, ctx);
}

/// Removes a worker that is neither listed nor answering and has nothing left running.
pub fn remove_if_over(pool_state: &mut PoolState, key: WorkerKey, ctx: &Ctx<'_>) {
    let Some(w) = pool_state.workers.get(key) else {
        return;
    };
    if w.is_listed || w.is_answering || ctx.now.ms < w.lease_end_ms || !w.tasks.is_empty() {
        return;
    }
    pool_state.remove_worker(key, ctx.now.ms);
}

/// Applies a worker's report and sends the next renewal, unless the reported ends have to be recorded first.
fn apply_report(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    report: RenewalReport,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let w = &mut pool_state.workers[key];
    w.info.born_wall_ms = w.info.born_wall_ms.or(report.born_wall_ms);
    if !w.is_answering {
        w.is_answering = true;
        // If the host has been reopened, the worker was only cut off and did not leave.
        w.may_leave &= w.is_closing;
        pool_state.wants_placing = true;
    }
    w.answered_ms = ctx.now.ms;
    w.asked_ms = sent_ms;
    w.lists_ends = !report.ended.is_empty();
    w.first_asked_ms.get_or_insert(sent_ms);
    w.is_refusing = false;
    if w.disconnected_ms.take().is_some() {
        crashes::clear_connection_loss(pool_state, key);
    }
    restarts::adopt_runs(pool_state, key, &report, epoch, ctx);
    end_earlier_instances(pool_state, key, sent_ms, ctx);
    let w = &mut pool_state.workers[key];
    let sample = ClockSample {
        local_ms: ctx.now.ms,
        worker_ms: report.clock_ms,
    };
    if w.clock.is_none_or(|c| c.worker_ms <= sample.worker_ms) {
        w.clock = Some(sample);
    }
    log_unreadable(&mut pool_state.workers[key], report.unreadable, ctx);
    let is_whole = report.ended.len() < ENDS_LISTED_MAX;
    apply_ends(pool_state, key, sent_ms, &report, epoch, ctx);
    compare_runs(
        pool_state,
        key,
        sent_ms,
        &report.running,
        is_whole,
        epoch,
        ctx,
    );
    speeds::observe(pool_state, key, &report, ctx);
    drop_leftover_runs(pool_state, key, sent_ms, &report.running);
    let is_recorded = pool_state.settle_ends(key);
    let is_blocked = pool_state.last_acknowledgeable_end(key, ctx.now.ms)
        < pool_state.workers[key].recorded_through;
    if !is_recorded {
        pool_state.workers[key].renewal = RenewalPhase::Recording(ctx.now.ms);
        pool_state.recording.insert(key);
    } else if is_blocked {
        // The worker would answer at once with the ends that may not be acknowledged yet.
        ctx.set_timer(RENEWAL_RETRY_MS, Timer::RenewWorker(key));
    } else {
        send_next(pool_state, key, epoch, ctx);
    }
}

/// Applies the ends in a report that are not known yet.
fn apply_ends(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    report: &RenewalReport,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let mut ends_log = run_log::EndsLog::new(pool_state, key, sent_ms, epoch);
    for end in &report.ended {
        if end.number <= pool_state.workers[key].applied_through {
            ends_log.add_repeated(end);
        } else {
            ends_log.add(pool_state, end, ctx);
            pool_state.hold_end(key, end, ctx.now.ms);
            runs::apply_end(pool_state, key, end, epoch, ctx);
            let job = pool_state.jobs_by_id.get(&end.task.job).copied();
            pool_state.note_applied_end(key, end.number, job);
        }
    }
    ends_log.finish(pool_state, ctx);
}

/// Logs how many entries of a worker's report can't be read, whenever that number changes.
fn log_unreadable(worker: &mut Worker, unreadable: usize, ctx: &mut Ctx<'_>) {
    let before = std::mem::replace(&mut worker.unreadable, unreadable);
    if unreadable == 0 || unreadable == before {
        return;
    }
    let why = "the worker's report names tasks that can't be read";
    let decision = Decision::new(Code::BadRow, Subject::Host, &worker.info.id, why);
    ctx.log(decision.with("entries", unreadable as u64));
}

/// Drops leftover runs that this report no longer lists, if their stop was answered before the report was requested.
fn drop_leftover_runs(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    running: &[RunningTask],
) {
    if pool_state.leftover_runs.is_empty() {
        return;
    }
    pool_state.drop_leftover_runs(|leftover| {
        let is_asked_later = leftover.settled_ms.is_some_and(|at| at < sent_ms);
        let is_there = running.iter().any(|r| r.task == leftover.name);
        leftover.worker == key && is_asked_later && !is_there
    });
}

/// Ends earlier instances that a worker's report proves to be over. An id has one instance at a time, so the others of
/// the id are over if they last answered before this report was requested or are known only from work that a former
/// owner gave them. Other instances of the host are over if this one came after their crash.
fn end_earlier_instances(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    ctx: &mut Ctx<'_>,
) {
    let mut earlier = pool_state.sibling_instances(key);
    let later = &pool_state.workers[key];
    earlier.retain(|other| {
        let w = &pool_state.workers[*other];
        match w.info.id == later.info.id {
            true => w.has_been_seen() && w.answered_ms < sent_ms,
            false => w.is_succeeded_by(later),
        }
    });
    for other in earlier {
        end_succeeded(pool_state, other, key, sent_ms, ctx);
    }
}

/// Ends an instance whose connections are gone, if a later instance of its host has already answered.
fn end_if_succeeded(pool_state: &mut PoolState, key: WorkerKey, ctx: &mut Ctx<'_>) {
    let Some(w) = pool_state.workers.get(key) else {
        return;
    };
    let found = pool_state
        .instances_on(&w.info.host)
        .find(|(_, other)| w.is_succeeded_by(other))
        .map(|(other, instance)| {
            (
                other,
                instance.first_asked_ms.unwrap_or(instance.answered_ms),
            )
        });
    if let Some((other, asked_ms)) = found {
        end_succeeded(pool_state, key, other, asked_ms, ctx);
    }
}

/// Ends an instance on the evidence of a report from `later` that was requested at `asked_ms`.
fn end_succeeded(
    pool_state: &mut PoolState,
    key: WorkerKey,
    later: WorkerKey,
    asked_ms: Millis,
    ctx: &mut Ctx<'_>,
) {
    let instance = pool_state.workers[later].info.id.clone();
    pool_state.workers[key].is_listed = false;
    let evidence = Evidence::Report { instance, asked_ms };
    runs::end_worker(pool_state, key, &evidence, ctx);
    clear_lease(pool_state, key);
    remove_if_over(pool_state, key, ctx);
}

/// Clears the lease of a worker whose runs ended before it expired.
fn clear_lease(pool_state: &mut PoolState, key: WorkerKey) {
    if let Some(w) = pool_state.workers.get_mut(key) {
        w.lease_end_ms = 0;
    }
}

/// Compares the runs that a worker reports with the runs that the pool's state expects there.
fn compare_runs(
    pool_state: &mut PoolState,
    key: WorkerKey,
    sent_ms: Millis,
    running: &[RunningTask],
    is_whole: bool,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let listed: HashMap<&TaskName, u32> = running.iter().map(|r| (&r.task, r.run)).collect();
    for run in running {
        check_reported_run(pool_state, key, sent_ms, run, epoch, ctx);
    }
    if !is_whole {
        return;
    }
    let expected: Vec<TaskKey> = pool_state.workers[key].tasks.iter().copied().collect();
    for task in expected {
        let is_there = pool_state
            .task_name(task)
            .is_some_and(|name| listed.contains_key(&name));
        if !is_there && must_be_listed(pool_state, task, sent_ms) {
            let why = "not among what the worker runs";
            runs::requeue_task_by_report(pool_state, task, why, Some(sent_ms), ctx);
        }
    }
}

/// Returns whether a report requested at `sent_ms` must list the task if it is on the worker.
fn must_be_listed(pool_state: &PoolState, key: TaskKey, sent_ms: Millis) -> bool {
    let Some(task) = pool_state.task(key) else {
        return false;
    };
    match task.phase {
        // The request carried this owner's fencing token, so the worker refuses older orders that are still on their
        // way.
        Phase::Suspect(_) => task.since_ms <= sent_ms,
        Phase::Running(_) | Phase::Stopping(_) => task.settled_ms.is_some_and(|at| at < sent_ms),
        _ => false,
    }
}

/// Checks a run that a worker reports against the pool's state, and stops it if it is stray.
fn check_reported_run(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    sent_ms: Millis,
    run: &RunningTask,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let key = pool_state.find_task(&run.task);
    let task = key.and_then(|k| pool_state.task(k));
    let (Some(key), Some(task)) = (key, task) else {
        if pool_state.has_unreadable_progress(&run.task.job) {
            return;
        }
        runs::stop_stray(pool_state, worker, &run.task, run.run, epoch, ctx);
        return;
    };
    let (phase, current_run) = (task.phase, task.run);
    let is_here = current_run == run.run && phase.worker() == Some(worker);
    if is_here {
        pool_state.note_run_reported(key);
        checkpoints::note_run(pool_state, key, run, ctx.now.ms);
    }
    match phase {
        Phase::Suspect(_) | Phase::Starting(_) if is_here => {
            pool_state.set_phase(key, Phase::Running(worker), ctx.now.ms);
            if let Some(task) = pool_state.task_mut(key) {
                task.settled_ms = Some(ctx.now.ms);
                task.is_reported = true;
            }
            if pool_state.jobs[key.job].state.is_final() {
                runs::stop_run(pool_state, key, epoch, ctx);
            }
        }
        Phase::Running(_) if is_here => {
            if let Some(task) = pool_state.task_mut(key) {
                task.is_past_startup = run.percent >= 100;
                task.is_reported = true;
            }
            crashes::note_reported(pool_state, key, sent_ms, ctx.now.ms);
        }
        Phase::Stopping(_) if is_here => {}
        // A retried start whose earlier copy is listed has the same run number and is not stray.
        _ if is_here => {}
        Phase::Ready
            if late_starts::take_over_run(pool_state, key, worker, run.run, epoch, ctx) => {}
        _ => runs::stop_stray(pool_state, worker, &run.task, run.run, epoch, ctx),
    }
}
