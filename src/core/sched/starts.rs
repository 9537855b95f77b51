//! Sends the starts of recorded runs, withdraws those that may not go out any more, and applies the workers' replies.
//!
//! The owner of a pool calls [`send_recorded`] once a batch is recorded. A start without an answer is sent again by a
//! timer; [`start_check`] decides each time whether it still may.

use super::crashes::Evidence;
use super::gang;
use super::keys::{StepKey, TaskKey};
use super::limits::{FULL_PAUSE_MS, ORDER_RETRY_MS, RENEWAL_RETRY_MS, WORKER_LEASE_MS};
use super::pool_state::PoolState;
use super::run_log;
use super::runs::{
    end_worker, has_answered_at_address, is_fenced_out, mark_settled, note_never_started, order_to,
    requeue_task, stop_run, suspend_worker,
};
use super::start_check::{self, Verdict};
use super::state::{Ctx, Effect, Timer};
use super::tasks::Phase;
use crate::port::fleet::{OrderReply, RunStart};

/// Pause for a worker that reports itself unwell or refuses connections, or at whose address another instance answers.
const UNWELL_PAUSE_MS: u64 = 500;

/// Sends the start of a recorded run, or sends it again, if its worker may still get it.
pub fn send_start(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(task) = pool_state.task(key) else {
        return;
    };
    let (Phase::Recording(worker) | Phase::Starting(worker)) = task.phase else {
        return;
    };
    if task.run != run {
        return;
    }
    match start_check::check(pool_state, key, worker, ctx.now.ms) {
        Verdict::Send => {}
        Verdict::Wait => {
            ctx.set_timer(RENEWAL_RETRY_MS, Timer::ResendStart(key, run));
            return;
        }
        Verdict::Requeue(why) | Verdict::Stop(why) => {
            withdraw_start(pool_state, key, why, epoch, ctx);
            return;
        }
    }
    let checkpoint = task.checkpoint.clone();
    let is_unsent = task.phase == Phase::Recording(worker);
    let ticket = pool_state.advice.ticket(StepKey::from(key), worker);
    let ticket = ticket.unwrap_or_default().to_string();
    if is_unsent {
        pool_state.set_phase(key, Phase::Starting(worker), ctx.now.ms);
    }
    let (Some(name), Some(order)) = (
        pool_state.task_name(key),
        order_to(pool_state, worker, epoch, ctx),
    ) else {
        return;
    };
    let spec = pool_state.jobs[key.job].spec.payload.clone();
    let Some(w) = pool_state.workers.get_mut(worker) else {
        return;
    };
    let Some(clock) = w.clock.filter(|_| ctx.may_send() && w.is_answering) else {
        ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStart(key, run));
        return;
    };
    let lease_until_ms = clock.at(ctx.now.ms) + WORKER_LEASE_MS;
    w.note_lease(lease_until_ms, ctx.now.ms);
    let start = RunStart {
        task: name,
        run,
        spec,
        lease_until_ms,
        checkpoint,
        ticket,
    };
    ctx.out.push(Effect::Start(order, key, start));
    if let Some(task) = pool_state.task_mut(key) {
        task.start_sends += 1;
        task.starts_in_flight += 1;
    }
}

/// Withdraws a start instead of sending it, or sending it again.
fn withdraw_start(
    pool_state: &mut PoolState,
    key: TaskKey,
    why: &str,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    run_log::log_start_answers(pool_state, ctx);
    if let Some(decision) = run_log::start_withdrawn(pool_state, key, why, ctx.now.ms) {
        ctx.log(decision);
    }
    handle_refusal(pool_state, key, why, epoch, ctx);
}

/// Sends the recorded starts that may still go out. The others are withdrawn first, so that no member of a gang is
/// started whose other members are not.
pub fn send_recorded(
    pool_state: &mut PoolState,
    starts: &[(TaskKey, u32)],
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    withdraw_unsent(pool_state, starts, epoch, ctx);
    for (task, run) in starts {
        send_start(pool_state, *task, *run, epoch, ctx);
    }
}

fn withdraw_unsent(
    pool_state: &mut PoolState,
    starts: &[(TaskKey, u32)],
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    for (key, run) in starts {
        let Some(task) = pool_state.task(*key).filter(|t| t.run == *run) else {
            continue;
        };
        let Phase::Recording(worker) = task.phase else {
            continue;
        };
        let verdict = start_check::check(pool_state, *key, worker, ctx.now.ms);
        if let Verdict::Requeue(why) = verdict {
            withdraw_start(pool_state, *key, why, epoch, ctx);
        }
    }
    gang::stop_broken(pool_state, epoch, ctx);
}

/// Applies the reply to a start and returns whether the pool is lost.
pub fn settle_start(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    run_log::add_start_answer(pool_state, key, run, reply, ctx);
    note_start_reply(pool_state, key, run, reply, ctx);
    let Some(task) = pool_state.task(key) else {
        return false;
    };
    let Phase::Starting(worker) = task.phase else {
        return false;
    };
    if task.run != run {
        return false;
    }
    match reply {
        OrderReply::Accepted | OrderReply::Outdated => {
            // `Outdated` means that this run or a later one has ended or was stopped on the worker. The worker's
            // next report shows which.
            pool_state.set_phase(key, Phase::Running(worker), ctx.now.ms);
            mark_settled(pool_state, key, ctx);
            if let Some(task) = pool_state
                .task_mut(key)
                .filter(|_| reply == OrderReply::Accepted)
            {
                task.started_ms = Some(ctx.now.ms);
            }
        }
        OrderReply::Silent | OrderReply::Broken => {
            if let Some(task) = pool_state.task_mut(key) {
                task.is_start_open = true;
                task.is_start_broken |= reply == OrderReply::Broken;
            }
            ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStart(key, run));
        }
        OrderReply::TooLate => ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStart(key, run)),
        OrderReply::NoRoom => {
            suspend_worker(pool_state, worker, FULL_PAUSE_MS, ctx);
            handle_refusal(
                pool_state,
                key,
                "the worker has no free capacity for it",
                epoch,
                ctx,
            );
        }
        OrderReply::NoTicket => {
            pool_state.advice.drop_ticket(StepKey::from(key), worker);
            let why = "the worker did not accept its ticket";
            handle_refusal(pool_state, key, why, epoch, ctx);
        }
        OrderReply::Unwell | OrderReply::Refused => {
            suspend_worker(pool_state, worker, UNWELL_PAUSE_MS, ctx);
            handle_refusal(
                pool_state,
                key,
                "the worker is unwell or refuses connections",
                epoch,
                ctx,
            );
        }
        OrderReply::OtherLife if has_answered_at_address(pool_state, worker) => {
            end_worker(pool_state, worker, &Evidence::Answer("start"), ctx);
        }
        OrderReply::OtherLife => {
            suspend_worker(pool_state, worker, UNWELL_PAUSE_MS, ctx);
            handle_refusal(
                pool_state,
                key,
                "another instance answered at the worker's address",
                epoch,
                ctx,
            );
        }
        OrderReply::Fenced if is_fenced_out(pool_state, worker) => return true,
        OrderReply::Fenced => {
            handle_refusal(
                pool_state,
                key,
                "a later instance of its worker is running",
                epoch,
                ctx,
            );
        }
    }
    false
}

/// Binds a task to its worker if a request to start it got no answer.
fn note_start_reply(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) {
    let Some(task) = pool_state.task_mut(key).filter(|t| t.run == run) else {
        return;
    };
    task.starts_in_flight = task.starts_in_flight.saturating_sub(1);
    let is_unanswered = matches!(reply, OrderReply::Silent | OrderReply::Broken);
    if let Some(worker) = task.phase.worker().filter(|_| is_unanswered) {
        pool_state.bind_task(key, worker, true, ctx);
    }
}

/// Handles a refused start. A refusal covers only the request that it answers: an earlier request without a reply may
/// still start the run, so the run is stopped before the task is queued again.
fn handle_refusal(
    pool_state: &mut PoolState,
    key: TaskKey,
    why: &str,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if pool_state.task(key).is_some_and(|t| t.is_start_open) {
        stop_run(pool_state, key, epoch, ctx);
    } else {
        note_never_started(pool_state, key);
        requeue_task(pool_state, key, why, ctx);
    }
}
