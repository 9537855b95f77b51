//! Decides whether the start of a placed run may go out now.
//!
//! Between the choice of a worker and the moment at which the start is sent, or sent again, seconds may pass: the
//! placement is recorded first, the worker may fall silent, and answers get lost. The worker may have announced its end
//! meanwhile. [`check`] asks anew each time.
//!
//! A start that was never sent goes out only if its worker stays and takes new tasks. A start without an answer may have
//! been carried out, so nothing temporary keeps it from being sent again; a worker that leaves does.

use super::keys::{TaskKey, WorkerKey};
use super::pool_state::PoolState;
use super::wave;
use super::worker::Worker;
use crate::clock::Millis;

/// What becomes of a start that is due to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Send,
    /// It is neither sent nor withdrawn now.
    Wait,
    /// It is not sent, and the task is queued again: the run never started.
    Requeue(&'static str),
    /// It is not sent again, and the run is stopped, since an earlier request may have started it.
    Stop(&'static str),
}

/// Returns what becomes of the start of a task's current run on `worker`, unless the worker is only silent.
pub fn check(pool_state: &PoolState, key: TaskKey, worker: WorkerKey, now_ms: Millis) -> Verdict {
    let may_run = pool_state.task(key).is_some_and(|t| t.is_start_open);
    let Some(why) = objection(pool_state, key, worker, may_run, now_ms) else {
        return match may_run || pool_state.is_start_safe(key, worker, now_ms) {
            true => Verdict::Send,
            false => Verdict::Wait,
        };
    };
    if !may_run {
        return Verdict::Requeue(why);
    }
    if is_protected(pool_state, key, worker, now_ms) {
        return Verdict::Wait;
    }
    Verdict::Stop(why)
}

/// Returns why a start must not go out, if anything objects to it.
fn objection(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    may_run: bool,
    now_ms: Millis,
) -> Option<&'static str> {
    let w = pool_state.workers.get(worker)?;
    let closed = match may_run {
        true => w.leaving_reason(),
        false => w.refusal_reason(now_ms),
    };
    if closed.is_some() {
        return closed;
    }
    // The start's own demand is part of what the worker carries.
    if !w.is_large_enough(w.used) {
        return Some("its worker's capacity was reduced");
    }
    (!pool_state.has_ticket(key, worker, now_ms)).then_some("its ticket has ended")
}

/// Whether a run that may be at work must not be stopped now, because too many tasks of its step are away. A worker
/// that announced its end takes its runs with it in any case.
fn is_protected(pool_state: &PoolState, key: TaskKey, worker: WorkerKey, now_ms: Millis) -> bool {
    let is_lasting = pool_state.step_spec(key).is_some_and(|spec| spec.lasting);
    let drains = |w: &Worker| w.info.is_draining;
    is_lasting
        && !pool_state.workers.get(worker).is_some_and(drains)
        && !wave::may_stop_lasting(pool_state, key, now_ms)
}
