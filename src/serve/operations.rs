//! Callers' operations on jobs: submit, read, cancel and count.
//!
//! They use only rows of the store, so any entry can run them, whether or not it owns the pool. The traffic thread
//! calls [`run_operation`].

use std::time::Duration;

use smol::Timer;

use super::counts::count_waiting_jobs;
use super::find::{find_job, JobRows};
use super::shared::Shared;
use super::submit::{insert_row, submit_job};
use crate::clock::Millis;
use crate::core::sched::homes::insert_tx;
use crate::core::sched::insert::InsertOutcome;
use crate::core::sched::job::JobState;
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::operation::{Operation, Outcome, Request};
use crate::core::sched::rows::{self, cancel_key, ProgressRow};
use crate::error::Kind;
use crate::event::{Code, Decision, Subject};
use crate::port::backoff::Backoff;
use crate::port::fleet::Rows;

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

/// Runs one operation for a call that arrived at `began_ms`, within the deadline of the call.
pub(super) async fn run_operation<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    began_ms: Millis,
) -> Outcome {
    let until_ms = began_ms + request.deadline_ms.saturating_sub(ANSWER_RESERVE_MS);
    match &request.operation {
        Operation::Submit(id, spec) => {
            submit_job(shared, store, &request.route, id, spec, until_ms).await
        }
        Operation::Read(id) => read_job_state(shared, store, request, id, until_ms).await,
        Operation::Cancel(id) => cancel_job(shared, store, request, id, until_ms).await,
        Operation::CountWaiting => count_waiting_jobs(shared, store, request, until_ms).await,
    }
}

/// Finds a job that the caller may see, and retries until `until_ms`. Returns `None` if no read succeeds or the job's row
/// can't be decoded, and `Some(None)` if there is no job that the caller may see.
async fn find_visible_job<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    id: &str,
    until_ms: Millis,
) -> Option<Option<JobRows>> {
    let account = request.account.as_deref();
    let mut backoff = Backoff::new(RETRY_PAUSE_MS, READ_PAUSE_MAX_MS);
    loop {
        let left_ms = until_ms.saturating_sub(shared.clock.now_ms());
        let timeout_ms = TX_TIMEOUT_MS.min(left_ms);
        if timeout_ms == 0 {
            return None;
        }
        let pools = shared.queues().pools(&request.route.address).to_vec();
        let found = find_job(store, &pools, &request.route.pool, id, timeout_ms).await;
        if let Ok(found) = found {
            let Some(job) = found else {
                return Some(None);
            };
            // The account in an undecodable row is unknown, so nobody may see the job, and another read would not help.
            let Some(owner) = &job.owner else {
                log_unreadable_job(shared, id);
                return None;
            };
            let is_visible = owner.is_visible_to(account);
            return Some(is_visible.then_some(job));
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
    let found = match find_visible_job(shared, store, request, id, until_ms).await {
        None => return Outcome::Unsure,
        Some(None) => return Outcome::UnknownJob,
        Some(Some(found)) => found,
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
    let found = match find_visible_job(shared, store, request, id, until_ms).await {
        None => return Outcome::Unsure,
        Some(None) => return Outcome::UnknownJob,
        Some(Some(found)) => found,
    };
    if found.is_cancelled {
        return Outcome::Cancelled;
    }
    let key = cancel_key(id);
    let attempt = |_| insert_tx(found.part.clone(), &key, b"{}".to_vec());
    match insert_row(shared, store, attempt, false, until_ms).await {
        InsertOutcome::Done | InsertOutcome::Conflict(_) => Outcome::Cancelled,
        InsertOutcome::NotDone => Outcome::NotTaken {
            retry_after_s: RETRY_AFTER_S,
        },
        InsertOutcome::Unsure => Outcome::Unsure,
    }
}
