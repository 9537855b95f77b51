//! Submissions of jobs: inserts a job's row unless its id is taken, and decides what a taken id means for the caller.

use std::time::Duration;

use smol::Timer;

use super::operations::{NOT_TAKEN, RETRY_AFTER_S, RETRY_PAUSE_MS};
use super::queues;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::homes::{running_pool, JobStorage};
use crate::core::sched::insert::{Attempts, InsertOutcome};
use crate::core::sched::job::JobSpec;
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::operation::Outcome;
use crate::core::sched::rows;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{QueueRoute, RowTx, Rows, StoredRow, VALUE_BYTES_MAX};

/// The time after which a caller learns that the outcome of a write is unknown, so that the caller can try another
/// entry. It is about twice the timeout of one attempt.
const WRITE_TIMEOUT_MS: Millis = 1_700;

/// The longest `retry-after`, given while the store is down. Callers give up after a few tries, and outages on the
/// users' sites last 4 to 9 s.
const RETRY_AFTER_MAX_S: u32 = 3;

/// How long a submission waits for the store to answer this entry again: after a single failed read the next one
/// follows within 0.1 to 0.2 s.
const STORE_RECOVERY_WAIT_MS: Millis = 250;

/// The interval between checks while a submission waits for the store.
const STORE_POLL_MS: Millis = 25;

/// Inserts a row that must not exist yet, by the transactions that `attempt` returns for attempts 0, 1 and so on. Tries
/// until the outcome is known, the store has refused too often, or the time is over. With `has_choice`, the next attempt
/// goes to another partition, so each one gets the adaptive timeout and not all the time left.
pub(super) async fn insert_row<R: Rows>(
    shared: &Shared,
    store: &R,
    attempt: impl Fn(usize) -> RowTx,
    has_choice: bool,
    until_ms: Millis,
) -> InsertOutcome {
    let until_ms = until_ms.min(shared.clock.now_ms() + WRITE_TIMEOUT_MS);
    let mut attempts = Attempts::default();
    for n in 0.. {
        let left_ms = until_ms.saturating_sub(shared.clock.now_ms());
        let timeout_max_ms = match has_choice {
            true => shared.intake_timeout.current_ms(),
            false => left_ms.max(TX_TIMEOUT_MS),
        };
        let answer = shared.transact(store, &attempt(n), timeout_max_ms).await;
        if let Some(outcome) = attempts.note(answer) {
            return outcome;
        }
        if shared.clock.now_ms() + RETRY_PAUSE_MS >= until_ms {
            break;
        }
        Timer::after(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    attempts.stop()
}

/// Waits up to [`STORE_RECOVERY_WAIT_MS`] for a store that does not answer. Returns how long the store has been down,
/// or `None` if it answers.
async fn wait_for_store(shared: &Shared) -> Option<Millis> {
    let until_ms = shared.clock.now_ms() + STORE_RECOVERY_WAIT_MS;
    loop {
        let down_ms = shared.store_down_for_ms()?;
        if down_ms >= STORE_RECOVERY_WAIT_MS || shared.clock.now_ms() >= until_ms {
            return Some(down_ms);
        }
        Timer::after(Duration::from_millis(STORE_POLL_MS)).await;
    }
}

/// Stores a job unless its id is taken.
pub(super) async fn submit_job<R: Rows>(
    shared: &Shared,
    store: &R,
    route: &QueueRoute,
    id: &str,
    spec: &JobSpec,
    until_ms: Millis,
) -> Outcome {
    if let Some(down_ms) = wait_for_store(shared).await {
        // Nothing is sent: the outcome of a write during an outage is unknown, and callers may not repeat it elsewhere.
        let down_s = (down_ms / 1_000) as u32;
        let retry_after_s = down_s.clamp(RETRY_AFTER_S, RETRY_AFTER_MAX_S);
        return Outcome::NotTaken { retry_after_s };
    }
    let Some(storage) = queues::find_storage(shared, store, route, until_ms).await else {
        return NOT_TAKEN;
    };
    let job = encode_job(spec, &storage);
    if job.len() > VALUE_BYTES_MAX {
        let why = "the job is too large: it takes more than 64 KB as a row";
        return Outcome::malformed(why);
    }
    let account = spec.account.as_deref();
    let attempt = |n| storage.insert_tx(id, account, job.clone(), n);
    match insert_row(shared, store, attempt, true, until_ms).await {
        InsertOutcome::Done => Outcome::Accepted,
        InsertOutcome::Conflict(found) => match found.into_iter().next() {
            Some((_, row)) => compare_job(shared, &row, spec, &storage),
            None => Outcome::Unsure,
        },
        InsertOutcome::KeptOut => {
            let why = "a cancel of the id was answered before a job was stored under it";
            shared.log_decision(Decision::new(Code::JobKeptOut, Subject::Job, id, why));
            Outcome::NotTaken {
                // The id will never be accepted for this account, as long as the cancel is remembered.
                retry_after_s: RETRY_AFTER_MAX_S,
            }
        }
        InsertOutcome::NotDone => NOT_TAKEN,
        InsertOutcome::Unsure => Outcome::Unsure,
    }
}

fn encode_job(spec: &JobSpec, storage: &JobStorage) -> Vec<u8> {
    if !storage.is_guest() {
        return rows::encode(spec);
    }
    let spec = JobSpec {
        pool: Some(storage.pool.clone()),
        ..spec.clone()
    };
    rows::encode(&spec)
}

/// Returns the outcome of a submission whose id is taken by a row.
fn compare_job(shared: &Shared, row: &StoredRow, spec: &JobSpec, storage: &JobStorage) -> Outcome {
    let Some(existing) = &row.value else {
        return Outcome::Unsure;
    };
    let pool = running_pool(row);
    if pool != storage.pool {
        let why = format!(
            "pool {pool} runs the job, and the queue is routed to {}",
            storage.pool
        );
        shared.log_decision(Decision::new(
            Code::JobElsewhere,
            Subject::Job,
            &row.key,
            why,
        ));
    }
    match rows::decode::<JobSpec>(existing) {
        Ok(existing) if existing.account != spec.account => Outcome::NotTaken {
            // The job will never be accepted, but any other answer would reveal that this id belongs to a job of
            // another account.
            retry_after_s: RETRY_AFTER_MAX_S,
        },
        Ok(existing) if is_same_job(&existing, spec) => Outcome::Accepted,
        _ => Outcome::OtherBody,
    }
}

/// Whether two specs describe the same job, apart from the time of acceptance.
fn is_same_job(left: &JobSpec, right: &JobSpec) -> bool {
    left.payload == right.payload && left.steps == right.steps && left.schedule == right.schedule
}
