//! Callers' operations on jobs: submit, read, cancel and count.
//!
//! They use only rows of the store, so any entry can run them, whether or not it owns the pool. The traffic thread
//! calls [`run_operation`].

use std::time::Duration;

use futures_lite::FutureExt;
use smol::future::zip;
use smol::lock::SemaphoreGuard;
use smol::Timer;

use super::counts::count_waiting_jobs;
use super::find::{find_job, JobRows};
use super::queues::find_storage;
use super::shared::Shared;
use super::submit::{insert_row, submit_job};
use crate::clock::Millis;
use crate::core::sched::homes::insert_tx;
use crate::core::sched::insert::InsertOutcome;
use crate::core::sched::job::JobState;
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::operation::{Operation, Outcome, Request};
use crate::core::sched::rows::{self, cancel_key, ProgressRow};
use crate::core::sched::tombstones::tombstone_txs;
use crate::error::Kind;
use crate::event::{Code, Decision, Subject};
use crate::port::backoff::Backoff;
use crate::port::fleet::{RowTx, Rows};

/// The pause before a retry after the store refused or did not answer.
pub(super) const RETRY_PAUSE_MS: Millis = 60;

/// The longest pause between reads for one caller. With a fixed pause of 60 ms, callers' reads made 90,000 calls to a
/// partition that was down for 6 s.
const READ_PAUSE_MAX_MS: Millis = 500;

/// The part of a caller's deadline that is reserved for sending the answer.
const ANSWER_RESERVE_MS: Millis = 100;

/// The usual `retry-after` of a call that was not accepted. The balancer needs two seconds until it sends the caller to
/// another entry.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// A call that had no effect and may come again soon.
pub(super) const NOT_TAKEN: Outcome = Outcome::NotTaken {
    retry_after_s: RETRY_AFTER_S,
};

/// Runs one operation for a call that arrived at `began_ms`, within the deadline of the call.
pub(super) async fn run_operation<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    began_ms: Millis,
) -> Outcome {
    let until_ms = began_ms + request.deadline_ms.saturating_sub(ANSWER_RESERVE_MS);
    let until_ms = shared.limit_wait(until_ms);
    match &request.operation {
        Operation::Submit(id, spec) => {
            submit_job(shared, store, &request.route, id, spec, until_ms).await
        }
        Operation::Read(id) => read_job_state(shared, store, request, id, until_ms).await,
        Operation::Cancel(id) => cancel_job(shared, store, request, id, until_ms).await,
        Operation::CountWaiting => count_waiting_jobs(shared, store, request, until_ms).await,
    }
}

/// What a look-up of a job for a caller found.
enum LookUp {
    Found(JobRows),
    /// The job belongs to another account.
    Hidden,
    Absent,
    /// No read succeeded, or the job's row can't be decoded.
    Unknown,
}

/// Waits for a turn to read the store, up to `until_ms`.
async fn wait_for_turn(shared: &Shared, until_ms: Millis) -> Option<SemaphoreGuard<'_>> {
    let turn = async { Some(shared.look_ups.acquire().await) };
    let left_ms = until_ms.saturating_sub(shared.clock.now_ms());
    let timeout = async {
        Timer::after(Duration::from_millis(left_ms)).await;
        None
    };
    turn.or(timeout).await
}

/// Finds a job for a caller, and retries until `until_ms`.
async fn look_up_job<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    id: &str,
    until_ms: Millis,
) -> LookUp {
    let account = request.account.as_deref();
    let mut backoff = Backoff::new(RETRY_PAUSE_MS, READ_PAUSE_MAX_MS);
    loop {
        let Some(turn) = wait_for_turn(shared, until_ms).await else {
            return LookUp::Unknown;
        };
        let left_ms = until_ms.saturating_sub(shared.clock.now_ms());
        let timeout_ms = TX_TIMEOUT_MS.min(left_ms);
        if timeout_ms == 0 {
            return LookUp::Unknown;
        }
        let pools = shared.queues().pools(&request.route.address).to_vec();
        let found = find_job(store, &pools, &request.route.pool, id, timeout_ms).await;
        drop(turn);
        if let Ok(found) = found {
            let Some(job) = found else {
                return LookUp::Absent;
            };
            // The account in an undecodable row is unknown, so nobody may see the job, and another read would not help.
            let Some(owner) = &job.owner else {
                log_unreadable_job(shared, id);
                return LookUp::Unknown;
            };
            return match owner.is_visible_to(account) {
                true => LookUp::Found(job),
                false => LookUp::Hidden,
            };
        }
        Timer::after(Duration::from_millis(backoff.next_pause_ms())).await;
    }
}

fn log_unreadable_job(shared: &Shared, id: &str) {
    let why = "the job's intake row cannot be decoded; its state is not told";
    shared.log_decision(Decision::new(Code::BadRow, Subject::Job, id, why));
    shared.metrics.count_failure(Kind::Internal);
}

async fn read_job_state<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    id: &str,
    until_ms: Millis,
) -> Outcome {
    let found = match look_up_job(shared, store, request, id, until_ms).await {
        LookUp::Unknown => return Outcome::Unsure,
        LookUp::Absent | LookUp::Hidden => return Outcome::UnknownJob,
        LookUp::Found(found) => found,
    };
    let recorded = match &found.progress {
        None => JobState::Queued,
        Some(row) => match rows::decode::<ProgressRow>(row.value.as_deref().unwrap_or_default()) {
            Ok(progress) => progress.state,
            // The job exists, but its state can't be decoded.
            Err(_) => return Outcome::Unsure,
        },
    };
    if found.is_cancelled && !recorded.is_final() {
        return Outcome::State(JobState::Cancelled);
    }
    Outcome::State(recorded)
}

async fn cancel_job<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    id: &str,
    until_ms: Millis,
) -> Outcome {
    loop {
        match look_up_job(shared, store, request, id, until_ms).await {
            LookUp::Unknown => return Outcome::Unsure,
            LookUp::Hidden => return Outcome::UnknownJob,
            LookUp::Found(found) => return cancel_found(shared, store, found, id, until_ms).await,
            LookUp::Absent => {}
        }
        if let Some(outcome) = keep_job_out(shared, store, request, id, until_ms).await {
            return outcome;
        }
        if shared.clock.now_ms() + RETRY_PAUSE_MS >= until_ms {
            return Outcome::Unsure;
        }
    }
}

async fn cancel_found<R: Rows>(
    shared: &Shared,
    store: &R,
    found: JobRows,
    id: &str,
    until_ms: Millis,
) -> Outcome {
    if found.is_cancelled {
        return Outcome::Cancelled;
    }
    let key = cancel_key(id);
    let attempt = |_| insert_tx(found.part.clone(), &key, b"{}".to_vec());
    match insert_row(shared, store, attempt, false, until_ms).await {
        InsertOutcome::Done | InsertOutcome::Conflict(_) => Outcome::Cancelled,
        InsertOutcome::NotDone | InsertOutcome::KeptOut => NOT_TAKEN,
        InsertOutcome::Unsure => Outcome::Unsure,
    }
}

/// Keeps a job that was not found out of the store, since its insertion may be on its way. Returns `None` if the job has
/// been stored meanwhile.
async fn keep_job_out<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    id: &str,
    until_ms: Millis,
) -> Option<Outcome> {
    if let Err(wait_ms) = shared.take_tombstone() {
        let retry_after_s = wait_ms.div_ceil(1_000) as u32;
        return Some(Outcome::NotTaken { retry_after_s });
    }
    let Some(storage) = find_storage(shared, store, &request.route, until_ms).await else {
        return Some(NOT_TAKEN);
    };
    let account = request.account.as_deref();
    let [first, second] = tombstone_txs(&storage.home, id, account);
    let put =
        |tx: RowTx| async move { insert_row(shared, store, |_| tx.clone(), false, until_ms).await };
    let (first, second) = zip(put(first), put(second)).await;
    for outcome in [&first, &second] {
        match outcome {
            InsertOutcome::Conflict(_) => return None,
            InsertOutcome::Unsure => return Some(Outcome::Unsure),
            InsertOutcome::NotDone | InsertOutcome::KeptOut => return Some(NOT_TAKEN),
            InsertOutcome::Done => {}
        }
    }
    let why = "a cancel found no job; none is stored under the id from now on";
    shared.log_decision(Decision::new(Code::JobKeptOut, Subject::Job, id, why));
    Some(Outcome::UnknownJob)
}
