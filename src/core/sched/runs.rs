//! Runs of tasks: starts and stops answered, ends taken note of, jobs that come to their end.
//!
//! A run that was recorded may be at work until its worker says otherwise, until the worker's life is
//! over, or until everything ordered there has lapsed. Only then does the next run get its place.

use super::book::{Book, LeftRun};
use super::crashes::{self, Evidence};
use super::fence;
use super::gang;
use super::job::JobState;
use super::keys::{JobKey, TaskKey, WorkerKey};
use super::limits::{
    FAILS_IN_A_ROW, FULL_PAUSE_MS, ORDER_RETRY_MS, SUSPEND_MAX_MS, SUSPEND_MS, WORKER_LEASE_MS,
};
use super::load;
use super::state::{Ctx, Effect, Order, Timer};
use super::tasks::{Phase, Task};
use super::told;
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Addressee, EndKind, OrderReply, RunEnd, RunStart, TaskName};

/// Pause for a worker that says that it is unwell or can't be connected to.
const UNWELL_PAUSE_MS: u64 = 500;

/// Where orders to a worker go; nowhere once a later life has its id.
pub fn order(book: &Book, worker: WorkerKey, epoch: u64, ctx: &Ctx<'_>) -> Option<Order> {
    let worker = book.workers.get(worker).filter(|w| !w.is_superseded)?;
    Some(Order {
        pool: ctx.pool,
        book: book.id,
        to: Addressee {
            worker: worker.fact.id.clone(),
            address: worker.fact.address,
            fence: fence::of(book.id, epoch, worker.restarts),
        },
        until_ms: ctx.until_ms,
    })
}

/// Sends the start of a run that is on record.
pub fn send_start(book: &mut Book, key: TaskKey, run: u32, epoch: u64, ctx: &mut Ctx<'_>) {
    let Some(task) = book.task(key) else { return };
    let (Phase::Recording(worker) | Phase::Starting(worker)) = task.phase else {
        return;
    };
    if task.run != run {
        return;
    }
    let checkpoint = task.checkpoint.clone();
    if task.phase == Phase::Recording(worker) {
        book.set_phase(key, Phase::Starting(worker), ctx.now.ms);
    }
    let (Some(name), Some(order)) = (book.name(key), order(book, worker, epoch, ctx)) else {
        return;
    };
    let spec = book.jobs[key.job].spec.payload.clone();
    let Some(w) = book.workers.get_mut(worker) else {
        return;
    };
    let Some(clock) = w.clock.filter(|_| ctx.may_send() && w.answers) else {
        ctx.after(ORDER_RETRY_MS, Timer::Restart(key, run));
        return;
    };
    let lease_until_ms = clock.at(ctx.now.ms) + WORKER_LEASE_MS;
    w.lease_given(lease_until_ms);
    let start = RunStart {
        task: name,
        run,
        spec,
        lease_until_ms,
        checkpoint,
    };
    ctx.out.push(Effect::Start(order, key, start));
}

/// Whether a refusal for the fence tells that another entry owns the pool.
fn is_fenced_out(book: &Book, worker: WorkerKey) -> bool {
    book.workers.get(worker).is_some_and(|w| !w.has_restarted())
}

/// Whether another life that answers in a worker's place tells that the worker's is over.
fn is_at_its_address(book: &Book, worker: WorkerKey) -> bool {
    book.workers
        .get(worker)
        .is_some_and(Worker::is_at_its_address)
}

/// Settles a start; says whether the pool is lost.
pub fn started(
    book: &mut Book,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    told::note_answer(book, key, run, reply, ctx);
    let Some(task) = book.task(key) else {
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
            // Outdated: it ended or was barred there; the next account tells which.
            book.set_phase(key, Phase::Running(worker), ctx.now.ms);
            settle(book, key, ctx);
            if let Some(task) = book.task_mut(key).filter(|_| reply == OrderReply::Accepted) {
                task.started_ms = Some(ctx.now.ms);
            }
        }
        OrderReply::Silent | OrderReply::Broken => {
            if let Some(task) = book.task_mut(key) {
                task.is_start_open = true;
                task.is_start_broken |= reply == OrderReply::Broken;
            }
            ctx.after(ORDER_RETRY_MS, Timer::Restart(key, run));
        }
        OrderReply::TooLate => ctx.after(ORDER_RETRY_MS, Timer::Restart(key, run)),
        OrderReply::NoRoom => {
            pause(book, worker, FULL_PAUSE_MS, ctx);
            refused(book, key, "no room", epoch, ctx);
        }
        OrderReply::Unwell | OrderReply::Refused => {
            pause(book, worker, UNWELL_PAUSE_MS, ctx);
            refused(book, key, "worker unwell", epoch, ctx);
        }
        OrderReply::OtherLife if is_at_its_address(book, worker) => {
            worker_over(book, worker, &Evidence::Answer("start"), ctx);
        }
        OrderReply::OtherLife => {
            pause(book, worker, UNWELL_PAUSE_MS, ctx);
            refused(book, key, "another life at its address", epoch, ctx);
        }
        OrderReply::Fenced if is_fenced_out(book, worker) => return true,
        OrderReply::Fenced => {
            refused(book, key, "a later life of its worker is there", epoch, ctx);
        }
    }
    false
}

/// A refusal speaks of its own sending only: where an earlier one went unanswered, a stop bars the run first.
fn refused(book: &mut Book, key: TaskKey, why: &str, epoch: u64, ctx: &mut Ctx<'_>) {
    if book.task(key).is_some_and(|t| t.is_start_open) {
        stop(book, key, epoch, ctx);
    } else {
        note_unbegun(book, key);
        requeue(book, key, why, ctx);
    }
}

fn settle(book: &mut Book, key: TaskKey, ctx: &Ctx<'_>) {
    if let Some(task) = book.task_mut(key) {
        task.settled_ms = Some(ctx.now.ms);
    }
}

fn pause(book: &mut Book, worker: WorkerKey, ms: u64, ctx: &mut Ctx<'_>) {
    if let Some(w) = book.workers.get_mut(worker) {
        w.suspended_until_ms = w.suspended_until_ms.max(ctx.now.ms + ms);
        ctx.after(ms, Timer::Upkeep);
    }
}

/// Orders a run stopped.
pub fn stop(book: &mut Book, key: TaskKey, epoch: u64, ctx: &mut Ctx<'_>) {
    let Some(task) = book.task(key) else { return };
    let run = task.run;
    let worker = match task.phase {
        Phase::Starting(w) | Phase::Running(w) | Phase::Suspect(w) | Phase::Stopping(w) => w,
        Phase::Recording(_) => {
            // Never sent: what is on record is overwritten by the next record.
            note_unbegun(book, key);
            requeue(book, key, "stopped before it was sent", ctx);
            return;
        }
        _ => return,
    };
    if task.phase != Phase::Stopping(worker) {
        book.set_phase(key, Phase::Stopping(worker), ctx.now.ms);
    }
    send_stop(book, key, worker, run, epoch, ctx);
}

fn send_stop(
    book: &mut Book,
    key: TaskKey,
    worker: WorkerKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let (Some(name), Some(order)) = (book.name(key), order(book, worker, epoch, ctx)) else {
        return;
    };
    if !ctx.may_send() || order.to.address.port() == 0 {
        ctx.after(ORDER_RETRY_MS, Timer::Restop(key, run));
        return;
    }
    ctx.out.push(Effect::Stop(order, key, name, run));
}

/// Sends a stop again that got no answer.
pub fn restop(book: &mut Book, key: TaskKey, run: u32, epoch: u64, ctx: &mut Ctx<'_>) {
    if book.left.contains_key(&(key, run)) {
        stop_left(book, key, run, epoch, ctx);
        return;
    }
    let Some(task) = book.task(key) else { return };
    if let Phase::Stopping(worker) = task.phase {
        if task.run == run && task.settled_ms.is_none() {
            send_stop(book, key, worker, run, epoch, ctx);
        }
    }
}

/// Settles a stop; says whether the pool is lost.
pub fn stopped(
    book: &mut Book,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) -> bool {
    if book.left.contains_key(&(key, run)) {
        return left_stopped(book, key, run, reply, ctx);
    }
    let Some(task) = book.task(key) else {
        return false;
    };
    let Phase::Stopping(worker) = task.phase else {
        return false;
    };
    if task.run != run {
        return false;
    }
    match reply {
        OrderReply::Accepted | OrderReply::Outdated => settle(book, key, ctx),
        OrderReply::OtherLife if is_at_its_address(book, worker) => {
            worker_over(book, worker, &Evidence::Answer("stop"), ctx);
        }
        OrderReply::Fenced if is_fenced_out(book, worker) => return true,
        _ => ctx.after(ORDER_RETRY_MS, Timer::Restop(key, run)),
    }
    false
}

/// Takes in that a task's run never began: the starts that the platform allows are counted by runs, and one that was refused
/// once used up the last of a task that did no harm.
fn note_unbegun(book: &mut Book, key: TaskKey) {
    if let Some(task) = book.task_mut(key) {
        task.ended.note_unbegun();
    }
}

/// Brings a task whose run is certainly over back into the queue, or to rest.
pub fn requeue(book: &mut Book, key: TaskKey, why: &str, ctx: &mut Ctx<'_>) {
    requeue_for(book, key, why, None, ctx);
}

/// The same; `asked_ms` is when the account was asked for that the judgement rests on, if on one.
pub(super) fn requeue_for(
    book: &mut Book,
    key: TaskKey,
    why: &str,
    asked_ms: Option<Millis>,
    ctx: &mut Ctx<'_>,
) {
    let Some(job) = book.jobs.get(key.job) else {
        return;
    };
    let Some(task) = book.task(key) else { return };
    if job.state.is_final() || crashes::is_given_up(book, key) {
        book.set_phase(key, Phase::Blocked, ctx.now.ms);
        crashes::leave(book, key);
        return;
    }
    let is_noted = task.ended.is_noted();
    let decision = told::requeued(book, key, why, asked_ms, ctx.now.ms);
    book.set_phase(key, Phase::Ready, ctx.now.ms);
    if is_noted {
        // On record it would still be there, and its worker's end counted once more by the next owner.
        book.mark(key.job, ctx.now.ms);
    }
    if gang::is_member(book, key) {
        book.broken_gangs.push(key);
    }
    told::tell_answers(book, ctx);
    if let Some(decision) = decision {
        ctx.tell(decision);
    }
}

/// A worker's life, or everything on it, is certainly over.
pub fn worker_over(book: &mut Book, worker: WorkerKey, evidence: &Evidence, ctx: &mut Ctx<'_>) {
    let over = evidence.over();
    told::tell_answers(book, ctx);
    let Some(w) = book.workers.get_mut(worker) else {
        return;
    };
    w.answers = false;
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    ctx.tell(told::over(w, evidence, ctx.now.ms));
    crashes::note_end(book, worker, over, ctx);
    for key in tasks {
        let is_unsent = |task: &Task| matches!(task.phase, Phase::Recording(_));
        if book.task(key).is_some_and(is_unsent) {
            note_unbegun(book, key);
        }
        requeue(book, key, over.why(), ctx);
    }
    book.drop_left(|left| left.worker == worker);
}

/// Takes a run's end into the books.
pub fn take_end(book: &mut Book, worker: WorkerKey, end: &RunEnd, epoch: u64, ctx: &mut Ctx<'_>) {
    let Some(key) = book.find(&end.task) else {
        return;
    };
    let Some(task) = book.task(key) else { return };
    let is_current = task.run == end.run && task.phase.worker() == Some(worker);
    if book.jobs[key.job].state.is_final() || task.phase == Phase::Done {
        if is_current {
            book.set_phase(key, Phase::Blocked, ctx.now.ms);
        }
        return;
    }
    match end.kind {
        EndKind::Done => done(book, key, worker, (end.number, is_current), epoch, ctx),
        EndKind::Failed => failed(book, key, worker, end.run, epoch, ctx),
        _ if is_current => {
            if let Some(task) = book.task_mut(key) {
                task.checkpoint.clone_from(&end.checkpoint);
            }
            requeue(book, key, "run ended unfinished", ctx);
        }
        _ => {}
    }
}

fn done(
    book: &mut Book,
    key: TaskKey,
    worker: WorkerKey,
    (number, is_current): (u64, bool),
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if let Some(w) = book.workers.get_mut(worker) {
        w.fails_in_row = 0;
        w.suspensions = 0;
    }
    // The members of a gang end together: one end stands for all.
    let done = match gang::is_member(book, key) {
        true => gang::members(book, key),
        false => vec![key],
    };
    if !is_current {
        for task in &done {
            leave_other_run(book, *task, (worker, number), epoch, ctx);
        }
    }
    let started_ms = book.task(key).and_then(|t| t.started_ms);
    let took_ms = started_ms.map(|at| ctx.now.ms.saturating_sub(at));
    for task in &done {
        book.set_phase(*task, Phase::Done, ctx.now.ms);
    }
    book.mark(key.job, ctx.now.ms);
    let job = &mut book.jobs[key.job];
    let Some(round) = job.rounds.get_mut(&key.round) else {
        return;
    };
    let step = &mut round.steps[usize::from(key.step)];
    step.left -= done.len();
    step.longest_ms = step.longest_ms.max(took_ms.unwrap_or(0));
    if step.left > 0 {
        return;
    }
    if step.longest_ms > 0 {
        let estimate_ms = job.spec.steps[usize::from(key.step)].estimate_ms;
        let took_ms = step.longest_ms;
        book.times.note(&job.spec.queue, estimate_ms, took_ms);
    }
    if round.steps.iter().any(|s| s.left > 0) {
        book.open_steps(key.job, key.round, ctx.now.ms);
        return;
    }
    job.rounds.remove(&key.round);
    let rounds = job.spec.schedule.map_or(1, |s| s.rounds);
    if job.rounds.is_empty() && job.rounds_begun >= rounds {
        let id = job.id.clone();
        book.set_state(key.job, JobState::Completed, ctx.now.ms);
        ctx.tell_job(Code::JobEnded, &id, "completed");
    }
}

/// An earlier run turned out to be done while a later one may be at work elsewhere: that one stays in the
/// books until its stop is answered, since its start may be carried out seconds late.
fn leave_other_run(
    book: &mut Book,
    key: TaskKey,
    noticed: (WorkerKey, u64),
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(task) = book.task(key) else { return };
    let worker = match task.phase {
        Phase::Starting(w) | Phase::Running(w) | Phase::Stopping(w) | Phase::Suspect(w) => w,
        // Nothing was sent.
        _ => return,
    };
    let run = task.run;
    let (Some(name), Some(spec)) = (book.name(key), book.step_spec(key)) else {
        return;
    };
    let left = LeftRun {
        name,
        charge: book.charge(key),
        worker,
        demand: spec.demand(),
        noticed,
        settled_ms: None,
    };
    book.leave_run(key, run, left);
    stop_left(book, key, run, epoch, ctx);
}

fn stop_left(book: &Book, key: TaskKey, run: u32, epoch: u64, ctx: &mut Ctx<'_>) {
    let Some(left) = book.left.get(&(key, run)) else {
        return;
    };
    if left.settled_ms.is_some() {
        return;
    }
    match order(book, left.worker, epoch, ctx) {
        Some(order) if ctx.may_send() && order.to.address.port() != 0 => {
            ctx.out
                .push(Effect::Stop(order, key, left.name.clone(), run));
        }
        _ => ctx.after(ORDER_RETRY_MS, Timer::Restop(key, run)),
    }
}

fn left_stopped(
    book: &mut Book,
    key: TaskKey,
    run: u32,
    reply: OrderReply,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(left) = book.left.get(&(key, run)) else {
        return false;
    };
    let is_fenced_out = is_fenced_out(book, left.worker);
    let is_at_its_address = is_at_its_address(book, left.worker);
    let Some(left) = book.left.get_mut(&(key, run)) else {
        return false;
    };
    match reply {
        OrderReply::Accepted | OrderReply::Outdated => left.settled_ms = Some(ctx.now.ms),
        OrderReply::OtherLife if is_at_its_address => {
            let worker = left.worker;
            worker_over(book, worker, &Evidence::Answer("stop"), ctx);
        }
        OrderReply::Fenced if is_fenced_out => return true,
        _ => ctx.after(ORDER_RETRY_MS, Timer::Restop(key, run)),
    }
    false
}

fn failed(
    book: &mut Book,
    key: TaskKey,
    worker: WorkerKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let lasts = book.step_spec(key).is_some_and(|s| s.lasting);
    let attempts_max = book.jobs[key.job].policy.attempts_max;
    let Some(task) = book.task_mut(key) else {
        return;
    };
    let is_current = task.run == run && task.phase.worker() == Some(worker);
    let before = task.failed_runs;
    task.note_failure(run);
    if task.failed_runs == before && !is_current {
        // Told again after it was recorded.
        return;
    }
    task.failed_on = Some(worker);
    task.failed_ms = ctx.now.ms;
    let fails = task.fails();
    if gang::is_member(book, key) {
        // The gang has failed: every member counts that run.
        for member in gang::members(book, key) {
            if let Some(task) = book.task_mut(member) {
                task.note_failure(run);
            }
        }
    }
    book.mark(key.job, ctx.now.ms);
    count_failure(book, worker, ctx);
    if is_current {
        requeue(book, key, "run failed", ctx);
    }
    if !lasts && fails >= attempts_max {
        fail_exhausted(book, key, epoch, ctx);
    }
}

/// Whether a task may not be started again. One that is at work may still be done.
pub(super) fn is_exhausted(book: &Book, key: TaskKey) -> bool {
    let Some(task) = book.task(key).filter(|t| t.failed_runs > 0) else {
        return false;
    };
    let lasts = book.step_spec(key).is_none_or(|s| s.lasting);
    !lasts && task.fails() >= book.jobs[key.job].policy.attempts_max
}

/// Ends the jobs of tasks that wait with no attempt left. Not as a configuration changes: the next one may be there already.
pub(super) fn end_exhausted(book: &mut Book, epoch: u64, ctx: &mut Ctx<'_>) {
    let waiting = book.ready.iter().map(|rank| rank.task);
    let exhausted: Vec<TaskKey> = waiting.filter(|task| is_exhausted(book, *task)).collect();
    for task in exhausted {
        fail_exhausted(book, task, epoch, ctx);
    }
}

/// Ends the job of a task that used up its attempts.
fn fail_exhausted(book: &mut Book, key: TaskKey, epoch: u64, ctx: &mut Ctx<'_>) {
    if !end_job(book, key.job, JobState::Failed, epoch, ctx) {
        return;
    }
    let job = &book.jobs[key.job];
    let (fails, run) = book.task(key).map_or((0, 0), |t| (t.fails(), t.run));
    ctx.tell(
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

/// Leaves a worker alone for a while on which tasks keep failing.
fn count_failure(book: &mut Book, worker: WorkerKey, ctx: &mut Ctx<'_>) {
    let Some(w) = book.workers.get_mut(worker) else {
        return;
    };
    w.fails_in_row += 1;
    if w.fails_in_row < FAILS_IN_A_ROW {
        return;
    }
    let pause_ms = (SUSPEND_MS << w.suspensions.min(4)).min(SUSPEND_MAX_MS);
    w.suspensions += 1;
    // One failure more after the pause is enough to leave it alone again.
    w.fails_in_row = FAILS_IN_A_ROW - 1;
    let id = w.fact.id.clone();
    pause(book, worker, pause_ms, ctx);
    ctx.tell(
        Decision::new(
            Code::WorkerSuspended,
            Subject::Host,
            &id,
            "tasks fail there",
        )
        .with("pause_ms", pause_ms),
    );
}

/// Ends a job before its tasks are done, and stops what runs of it; says whether it had not ended before.
fn end_job(book: &mut Book, key: JobKey, state: JobState, epoch: u64, ctx: &mut Ctx<'_>) -> bool {
    let Some(job) = book.jobs.get(key) else {
        return false;
    };
    if job.state.is_final() {
        return false;
    }
    book.set_state(key, state, ctx.now.ms);
    book.mark(key, ctx.now.ms);
    for task in book.tasks_of(key) {
        match book.task(task).map(|t| t.phase) {
            Some(Phase::Ready | Phase::Recording(_)) => {
                book.set_phase(task, Phase::Blocked, ctx.now.ms);
            }
            Some(Phase::Starting(_) | Phase::Running(_) | Phase::Suspect(_)) => {
                stop(book, task, epoch, ctx);
            }
            _ => {}
        }
    }
    true
}

/// Ends a job that can't be done.
pub fn fail_job(book: &mut Book, key: JobKey, why: &str, epoch: u64, ctx: &mut Ctx<'_>) {
    if end_job(book, key, JobState::Failed, epoch, ctx) {
        ctx.tell_job(Code::JobEnded, &book.jobs[key].id, why);
    }
}

/// Ends a job that a caller cancelled.
pub fn cancel(book: &mut Book, key: JobKey, epoch: u64, ctx: &mut Ctx<'_>) {
    if end_job(book, key, JobState::Cancelled, epoch, ctx) {
        ctx.tell_job(Code::JobCancelled, &book.jobs[key].id, "cancel on record");
    }
}

/// Stops a run that a worker lists and the books do not expect there.
pub fn stop_stray(
    book: &Book,
    worker: WorkerKey,
    name: &TaskName,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let Some(order) = order(book, worker, epoch, ctx) else {
        return;
    };
    ctx.tell_job(
        Code::StrayRun,
        &name.job,
        format!("run {run} on {}", order.to.worker),
    );
    ctx.out.push(Effect::StopStray(order, name.clone(), run));
}

/// Begins rounds that fell due.
pub fn begin_due_rounds(book: &mut Book, ctx: &mut Ctx<'_>) {
    let timed: Vec<JobKey> = book
        .jobs
        .iter()
        .filter(|(_, job)| job.spec.schedule.is_some() && !job.state.is_final())
        .map(|(key, _)| key)
        .collect();
    for key in timed {
        load::begin_if_new(book, key, ctx);
    }
}
