//! Stops and ends the runs of tasks, and ends jobs that are completed, failed or cancelled. The reducer calls it with
//! the workers' answers, and [`renewal`](super::renewal) calls it with the run ends that workers report.
//!
//! A recorded run may be executing until its worker reports otherwise, the worker's instance has ended, or every lease
//! and order given to the worker has expired. Only then is the task's next run placed.

use super::checkpoints;
use super::crashes::{self, EndCause, Evidence};
use super::fencing_token;
use super::gang;
use super::job::JobState;
use super::keys::{JobKey, TaskKey, WorkerKey};
use super::late_starts;
use super::limits::{FAILS_IN_A_ROW, ORDER_RETRY_MS, SUSPEND_MAX_MS, SUSPEND_MS};
use super::load;
use super::pool_state::{LeftoverRun, PoolState};
use super::run_log;
use super::state::{Ctx, Effect, Order, Timer};
use super::tasks::{Phase, Task};
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{EndKind, OrderReply, OrderTarget, RunEnd, TaskName};

/// Returns the target of orders to a worker, or `None` once a later instance has taken over its id.
pub fn order_to(
    pool_state: &PoolState,
    worker: WorkerKey,
    epoch: u64,
    ctx: &Ctx<'_>,
) -> Option<Order> {
    let worker = pool_state
        .workers
        .get(worker)
        .filter(|w| !w.is_superseded)?;
    Some(Order {
        pool: ctx.pool,
        pool_state: pool_state.id,
        to: OrderTarget {
            worker: worker.info.id.clone(),
            address: worker.info.address,
            fence: fencing_token::encode(pool_state.id, epoch, worker.restarts),
        },
        until_ms: ctx.until_ms,
    })
}

/// Returns whether a refusal for a stale fencing token means that another entry owns the pool. A worker that has
/// restarted under the same id may refuse because of the restart instead.
pub(super) fn is_fenced_out(pool_state: &PoolState, worker: WorkerKey) -> bool {
    pool_state
        .workers
        .get(worker)
        .is_some_and(|w| !w.has_restarted())
}

/// Returns whether a reply from another instance at a worker's address proves that the worker's own instance has ended.
pub(super) fn has_answered_at_address(pool_state: &PoolState, worker: WorkerKey) -> bool {
    pool_state
        .workers
        .get(worker)
        .is_some_and(Worker::has_answered_at_address)
}

/// Notes that the worker has answered the start or stop that put the task into its phase.
pub(super) fn mark_settled(pool_state: &mut PoolState, key: TaskKey, ctx: &Ctx<'_>) {
    if let Some(task) = pool_state.task_mut(key) {
        task.settled_ms = Some(ctx.now.ms);
    }
}

/// Suspends a worker for at least `ms` from now.
pub(super) fn suspend_worker(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    ms: u64,
    ctx: &mut Ctx<'_>,
) {
    if let Some(w) = pool_state.workers.get_mut(worker) {
        w.suspended_until_ms = w.suspended_until_ms.max(ctx.now.ms + ms);
        ctx.set_timer(ms, Timer::Upkeep);
    }
}

/// Stops a task's current run.
pub fn stop_run(pool_state: &mut PoolState, key: TaskKey, epoch: u64, ctx: &mut Ctx<'_>) {
    let Some(task) = pool_state.task(key) else {
        return;
    };
    let run = task.run;
    let worker = match task.phase {
        Phase::Starting(w) | Phase::Running(w) | Phase::Suspect(w) | Phase::Stopping(w) => w,
        Phase::Recording(_) => {
            // The start was never sent, and the job's next recorded progress replaces the recorded run.
            note_never_started(pool_state, key);
            requeue_task(pool_state, key, "stopped before its start was sent", ctx);
            return;
        }
        _ => return,
    };
    if task.phase != Phase::Stopping(worker) {
        pool_state.set_phase(key, Phase::Stopping(worker), ctx.now.ms);
        checkpoints::record_soon(pool_state, key.job, ctx.now.ms);
    }
    send_stop(pool_state, key, worker, run, epoch, ctx);
}

/// Sends a stop, or tries again later if nothing may be sent now or the worker's address is unknown.
fn send_stop(
    pool_state: &mut PoolState,
    key: TaskKey,
    worker: WorkerKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let (Some(name), Some(order)) = (
        pool_state.task_name(key),
        order_to(pool_state, worker, epoch, ctx),
    ) else {
        return;
    };
    if !ctx.may_send() || order.to.address.port() == 0 {
        ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStop(key, run));
        return;
    }
    ctx.out.push(Effect::Stop(order, key, name, run));
}

/// Sends a stop again after it got no reply.
pub fn resend_stop(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if pool_state.leftover_runs.contains_key(&(key, run)) {
        stop_leftover_run(pool_state, key, run, epoch, ctx);
        return;
    }
    let Some(task) = pool_state.task(key) else {
        return;
    };
    if let Phase::Stopping(worker) = task.phase {
        if task.run == run && task.settled_ms.is_none() {
            send_stop(pool_state, key, worker, run, epoch, ctx);
        }
    }
}

/// Applies the reply to a stop and returns whether the pool is lost.
pub fn settle_stop(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) -> bool {
    if pool_state.leftover_runs.contains_key(&(key, run)) {
        return settle_leftover_stop(pool_state, key, run, reply, ctx);
    }
    let Some(task) = pool_state.task(key) else {
        return false;
    };
    let Phase::Stopping(worker) = task.phase else {
        return false;
    };
    if task.run != run {
        return false;
    }
    match reply {
        OrderReply::Accepted | OrderReply::Outdated => mark_settled(pool_state, key, ctx),
        OrderReply::OtherLife if has_answered_at_address(pool_state, worker) => {
            end_worker(pool_state, worker, &Evidence::Answer("stop"), ctx);
        }
        OrderReply::Fenced if is_fenced_out(pool_state, worker) => return true,
        _ => ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStop(key, run)),
    }
    false
}

/// Notes that a task's current run never started. The platform limits the starts of a task by counting its runs, and a
/// refused run once used up the last start of a task that had crashed nothing.
pub(super) fn note_never_started(pool_state: &mut PoolState, key: TaskKey) {
    if let Some(task) = pool_state.task_mut(key) {
        task.losses.note_never_started();
    }
}

/// Puts a task whose run has certainly ended back into the queue, or blocks it if its job has ended or the task is
/// given up.
pub fn requeue_task(pool_state: &mut PoolState, key: TaskKey, why: &str, ctx: &mut Ctx<'_>) {
    requeue_task_by_report(pool_state, key, why, None, ctx);
}

/// Requeues a task like [`requeue_task`]. `asked_ms` is when the worker's report that doesn't list the run was
/// requested, or `None` if no such report is the reason.
pub(super) fn requeue_task_by_report(
    pool_state: &mut PoolState,
    key: TaskKey,
    why: &str,
    asked_ms: Option<Millis>,
    ctx: &mut Ctx<'_>,
) {
    let Some(job) = pool_state.jobs.get(key.job) else {
        return;
    };
    let Some(task) = pool_state.task(key) else {
        return;
    };
    if job.state.is_final() || crashes::is_given_up(pool_state, key) {
        pool_state.set_phase(key, Phase::Blocked, ctx.now.ms);
        crashes::queue_if_given_up(pool_state, key);
        return;
    }
    let has_losses = task.losses.has_losses();
    late_starts::bind_unclear(pool_state, key, false, ctx);
    let decision = run_log::task_requeued(pool_state, key, why, asked_ms, ctx.now.ms);
    pool_state.set_phase(key, Phase::Ready, ctx.now.ms);
    if has_losses {
        // The stored progress lists the run until it is written again. The next owner would count the end of the run's
        // worker a second time.
        pool_state.mark_dirty(key.job, ctx.now.ms);
    }
    checkpoints::record_soon(pool_state, key.job, ctx.now.ms);
    if gang::is_member(pool_state, key) {
        pool_state.broken_gangs.push(key);
    }
    run_log::log_start_answers(pool_state, ctx);
    if let Some(decision) = decision {
        ctx.log(decision);
    }
}

/// Requeues all tasks of a worker once its instance, or everything that ran on it, has certainly ended.
pub fn end_worker(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    evidence: &Evidence,
    ctx: &mut Ctx<'_>,
) {
    let cause = evidence.end_cause();
    run_log::log_start_answers(pool_state, ctx);
    let Some(w) = pool_state.workers.get_mut(worker) else {
        return;
    };
    w.is_answering = false;
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    ctx.log(run_log::worker_over(w, evidence, ctx.now.ms));
    crashes::count_worker_end(pool_state, worker, cause, ctx);
    for key in tasks {
        let is_unsent = |task: &Task| matches!(task.phase, Phase::Recording(_));
        if pool_state.task(key).is_some_and(is_unsent) {
            note_never_started(pool_state, key);
        }
        late_starts::bind_unclear(pool_state, key, cause == EndCause::Lease, ctx);
        requeue_task(pool_state, key, cause.why(), ctx);
    }
    pool_state.extend_bindings(worker);
    pool_state.hold_ends_of_leftovers(worker);
    pool_state.drop_leftover_runs(|leftover| leftover.worker == worker);
    let id = pool_state.workers[worker].info.id.clone();
    if evidence.has_ended_id(&id) {
        pool_state.unbind_worker(&id);
    }
}

/// Applies a reported run end to its task and job.
pub fn apply_end(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    end: &RunEnd,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(key) = pool_state.find_task(&end.task) else {
        return;
    };
    let Some(task) = pool_state.task(key) else {
        return;
    };
    let is_current = task.run == end.run && task.phase.worker() == Some(worker);
    if pool_state.jobs[key.job].state.is_final() || task.phase == Phase::Done {
        if is_current {
            pool_state.set_phase(key, Phase::Blocked, ctx.now.ms);
        }
        return;
    }
    if is_current && end.kind != EndKind::Done {
        checkpoints::note_end(pool_state, key, end, ctx.now.ms);
    }
    match end.kind {
        EndKind::Done => complete_task(
            pool_state,
            key,
            worker,
            (end.number, is_current),
            epoch,
            ctx,
        ),
        EndKind::Failed => fail_run(pool_state, key, worker, end.run, epoch, ctx),
        _ if is_current => {
            requeue_task(pool_state, key, "run ended before the task was done", ctx);
        }
        _ => {}
    }
}

/// Marks a task as done, opens the next steps, and completes the job if it was the last task.
fn complete_task(
    pool_state: &mut PoolState,
    key: TaskKey,
    worker: WorkerKey,
    (end_number, is_current): (u64, bool),
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if let Some(w) = pool_state.workers.get_mut(worker) {
        w.fails_in_row = 0;
        w.suspensions = 0;
    }
    // The members of a gang end together, so one end completes all of them.
    let completed = match gang::is_member(pool_state, key) {
        true => gang::members(pool_state, key),
        false => vec![key],
    };
    if !is_current {
        for task in &completed {
            stop_later_run(pool_state, *task, (worker, end_number), epoch, ctx);
        }
    }
    let started_ms = pool_state.task(key).and_then(|t| t.started_ms);
    let took_ms = started_ms.map(|at| ctx.now.ms.saturating_sub(at));
    for task in &completed {
        pool_state.set_phase(*task, Phase::Done, ctx.now.ms);
    }
    pool_state.mark_dirty(key.job, ctx.now.ms);
    let job = &mut pool_state.jobs[key.job];
    let Some(round) = job.rounds.get_mut(&key.round) else {
        return;
    };
    let step = &mut round.steps[usize::from(key.step)];
    step.tasks_left -= completed.len();
    step.longest_ms = step.longest_ms.max(took_ms.unwrap_or(0));
    if step.tasks_left > 0 {
        return;
    }
    if step.longest_ms > 0 {
        let estimate_ms = job.spec.steps[usize::from(key.step)].estimate_ms;
        let took_ms = step.longest_ms;
        pool_state
            .times
            .record(&job.spec.queue, estimate_ms, took_ms);
    }
    if round.steps.iter().any(|s| s.tasks_left > 0) {
        pool_state.open_steps(key.job, key.round, ctx.now.ms);
        return;
    }
    job.rounds.remove(&key.round);
    let rounds = job.spec.schedule.map_or(1, |s| s.rounds);
    if job.rounds.is_empty() && job.rounds_begun >= rounds {
        let id = job.id.clone();
        pool_state.set_state(key.job, JobState::Completed, ctx.now.ms);
        ctx.log_job(Code::JobEnded, &id, "completed");
    }
}

/// Stops a later run that may be executing elsewhere when an earlier run turns out to be done. The later run stays in
/// the pool's state until its stop is answered and a later report of the worker no longer lists it, since its start may
/// be carried out seconds late.
fn stop_later_run(
    pool_state: &mut PoolState,
    key: TaskKey,
    earlier_end: (WorkerKey, u64),
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(task) = pool_state.task(key) else {
        return;
    };
    let worker = match task.phase {
        Phase::Starting(w) | Phase::Running(w) | Phase::Stopping(w) | Phase::Suspect(w) => w,
        // No start was sent.
        _ => return,
    };
    let run = task.run;
    let (Some(name), Some(spec)) = (pool_state.task_name(key), pool_state.step_spec(key)) else {
        return;
    };
    let leftover = LeftoverRun {
        name,
        charge: pool_state.charge(key),
        worker,
        demand: spec.demand(),
        reported_end: Some(earlier_end),
        settled_ms: None,
    };
    pool_state.keep_leftover_run(key, run, leftover);
    stop_leftover_run(pool_state, key, run, epoch, ctx);
}

fn stop_leftover_run(
    pool_state: &PoolState,
    key: TaskKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(leftover) = pool_state.leftover_runs.get(&(key, run)) else {
        return;
    };
    if leftover.settled_ms.is_some() {
        return;
    }
    match order_to(pool_state, leftover.worker, epoch, ctx) {
        Some(order) if ctx.may_send() && order.to.address.port() != 0 => {
            ctx.out
                .push(Effect::Stop(order, key, leftover.name.clone(), run));
        }
        _ => ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStop(key, run)),
    }
}

fn settle_leftover_stop(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(leftover) = pool_state.leftover_runs.get(&(key, run)) else {
        return false;
    };
    let is_fenced_out = is_fenced_out(pool_state, leftover.worker);
    let has_answered_at_address = has_answered_at_address(pool_state, leftover.worker);
    let Some(leftover) = pool_state.leftover_runs.get_mut(&(key, run)) else {
        return false;
    };
    match reply {
        OrderReply::Accepted | OrderReply::Outdated => leftover.settled_ms = Some(ctx.now.ms),
        OrderReply::OtherLife if has_answered_at_address => {
            let worker = leftover.worker;
            end_worker(pool_state, worker, &Evidence::Answer("stop"), ctx);
        }
        OrderReply::Fenced if is_fenced_out => return true,
        _ => ctx.set_timer(ORDER_RETRY_MS, Timer::ResendStop(key, run)),
    }
    false
}

/// Counts a failed run, and ends the job if the task has used up its attempts.
fn fail_run(
    pool_state: &mut PoolState,
    key: TaskKey,
    worker: WorkerKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let is_lasting = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    let attempts_max = pool_state.jobs[key.job].policy.attempts_max;
    let Some(task) = pool_state.task_mut(key) else {
        return;
    };
    let is_current = task.run == run && task.phase.worker() == Some(worker);
    let before = task.failed_runs;
    task.note_failure(run);
    if task.failed_runs == before && !is_current {
        // The worker reported the same end again after it was recorded.
        return;
    }
    task.failed_on = Some(worker);
    task.failed_ms = ctx.now.ms;
    let fails = task.failed_run_count();
    if gang::is_member(pool_state, key) {
        // The gang has failed, so the run counts as failed for every member.
        for member in gang::members(pool_state, key) {
            if let Some(task) = pool_state.task_mut(member) {
                task.note_failure(run);
            }
        }
    }
    pool_state.mark_dirty(key.job, ctx.now.ms);
    count_failure(pool_state, worker, ctx);
    if is_current {
        requeue_task(pool_state, key, "run failed", ctx);
    }
    if !is_lasting && fails >= attempts_max {
        fail_exhausted(pool_state, key, epoch, ctx);
    }
}

/// Returns whether a task has used up its attempts and may not be started again. A run that is executing may still
/// complete.
pub(super) fn is_exhausted(pool_state: &PoolState, key: TaskKey) -> bool {
    let Some(task) = pool_state.task(key).filter(|t| t.failed_runs > 0) else {
        return false;
    };
    let is_lasting = pool_state.step_spec(key).is_none_or(|s| s.lasting);
    !is_lasting && task.failed_run_count() >= pool_state.jobs[key.job].policy.attempts_max
}

/// Ends the jobs of waiting tasks that have no attempt left. The periodic upkeep calls it, not the change of the
/// configuration: a still newer configuration that allows more attempts may already exist.
pub(super) fn end_exhausted_jobs(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    let waiting = pool_state.ready.iter().map(|rank| rank.task);
    let exhausted: Vec<TaskKey> = waiting
        .filter(|task| is_exhausted(pool_state, *task))
        .collect();
    for task in exhausted {
        fail_exhausted(pool_state, task, epoch, ctx);
    }
}

/// Ends the job of a task that used up its attempts.
fn fail_exhausted(pool_state: &mut PoolState, key: TaskKey, epoch: u64, ctx: &mut Ctx<'_>) {
    if !end_job(pool_state, key.job, JobState::Failed, epoch, ctx) {
        return;
    }
    let job = &pool_state.jobs[key.job];
    let (fails, run) = pool_state
        .task(key)
        .map_or((0, 0), |t| (t.failed_run_count(), t.run));
    ctx.log(
        Decision::new(
            Code::JobEnded,
            Subject::Job,
            &job.id,
            "a task failed too often",
        )
        .with("step", u64::from(key.step))
        .with("task", u64::from(key.index))
        .with("run", u64::from(run))
        .with("failed", u64::from(fails))
        .with("attempts_max", u64::from(job.policy.attempts_max)),
    );
}

/// Suspends a worker for a while after tasks have failed on it in a row.
fn count_failure(pool_state: &mut PoolState, worker: WorkerKey, ctx: &mut Ctx<'_>) {
    let Some(w) = pool_state.workers.get_mut(worker) else {
        return;
    };
    w.fails_in_row += 1;
    if w.fails_in_row < FAILS_IN_A_ROW {
        return;
    }
    let pause_ms = (SUSPEND_MS << w.suspensions.min(4)).min(SUSPEND_MAX_MS);
    w.suspensions += 1;
    // A single further failure after the pause suspends the worker again.
    w.fails_in_row = FAILS_IN_A_ROW - 1;
    let id = w.info.id.clone();
    suspend_worker(pool_state, worker, pause_ms, ctx);
    ctx.log(
        Decision::new(
            Code::WorkerSuspended,
            Subject::Host,
            &id,
            "several tasks in a row failed on the worker",
        )
        .with("pause_ms", pause_ms),
    );
}

/// Ends a job before its tasks are done and stops its runs. Returns false if the job had already ended.
fn end_job(
    pool_state: &mut PoolState,
    key: JobKey,
    state: JobState,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(job) = pool_state.jobs.get(key) else {
        return false;
    };
    if job.state.is_final() {
        return false;
    }
    pool_state.set_state(key, state, ctx.now.ms);
    pool_state.mark_dirty(key, ctx.now.ms);
    for task in pool_state.tasks_of(key) {
        match pool_state.task(task).map(|t| t.phase) {
            Some(Phase::Ready | Phase::Recording(_)) => {
                pool_state.set_phase(task, Phase::Blocked, ctx.now.ms);
            }
            Some(Phase::Starting(_) | Phase::Running(_) | Phase::Suspect(_)) => {
                stop_run(pool_state, task, epoch, ctx);
            }
            _ => {}
        }
    }
    true
}

/// Ends a job that can't be completed.
pub fn fail_job(pool_state: &mut PoolState, key: JobKey, why: &str, epoch: u64, ctx: &mut Ctx<'_>) {
    if end_job(pool_state, key, JobState::Failed, epoch, ctx) {
        ctx.log_job(Code::JobEnded, &pool_state.jobs[key].id, why);
    }
}

/// Ends a job that a caller cancelled.
pub fn cancel_job(pool_state: &mut PoolState, key: JobKey, epoch: u64, ctx: &mut Ctx<'_>) {
    if end_job(pool_state, key, JobState::Cancelled, epoch, ctx) {
        ctx.log_job(
            Code::JobCancelled,
            &pool_state.jobs[key].id,
            "the recorded cancellation was applied",
        );
    }
}

/// Stops a run that a worker reports and that the pool's state doesn't expect there.
pub fn stop_stray(
    pool_state: &PoolState,
    worker: WorkerKey,
    name: &TaskName,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(order) = order_to(pool_state, worker, epoch, ctx) else {
        return;
    };
    ctx.log_job(
        Code::StrayRun,
        &name.job,
        format!("run {run} on {}", order.to.worker),
    );
    ctx.out.push(Effect::StopStray(order, name.clone(), run));
}

/// Begins the rounds of scheduled jobs that have fallen due.
pub fn begin_due_rounds(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let timed: Vec<JobKey> = pool_state
        .jobs
        .iter()
        .filter(|(_, job)| job.spec.schedule.is_some() && !job.state.is_final())
        .map(|(key, _)| key)
        .collect();
    for key in timed {
        load::begin_new_rounds(pool_state, key, ctx);
    }
}
