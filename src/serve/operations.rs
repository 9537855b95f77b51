//! Callers' operations on jobs: submit, read, cancel and count.
//!
//! They use only rows of the store, so any entry can run them, whether or not it owns the pool. The traffic thread
//! calls [`run_operation`].

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use smol::future::zip;
use smol::Timer;

use super::counts::count_waiting_jobs;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::job::{JobSpec, JobState};
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::operation::{Operation, Outcome, Request};
use crate::core::sched::rows::{
    self, cancel_key, cancelled_job, intake_parts_of, pool_of_part, shard_part, shard_parts,
    ProgressRow,
};
use crate::error::Kind;
use crate::event::{Code, Decision, Subject};
use crate::port::backoff::Backoff;
use crate::port::fleet::{
    Guard, Range, ReadError, RowTx, Rows, Scan, StoredRow, Table, TxOutcome, Write, ABSENT,
};
use crate::util::join_all;

/// The pause before a retry after the store refused or did not answer.
const RETRY_PAUSE_MS: Millis = 60;

/// The longest pause between reads for one caller. With a fixed pause of 60 ms, callers' reads made 90,000 calls to a
/// partition that was down for 6 s.
const READ_PAUSE_MAX_MS: Millis = 500;

/// The number of refusals after which the caller is sent to another entry: two for each of the two partitions of a job.
const REFUSALS_MAX: u32 = 4;

/// The time after which a caller learns that the outcome of a write is unknown, so that the caller can try another
/// entry. It is about twice the timeout of one attempt.
const WRITE_TIMEOUT_MS: Millis = 1_700;

/// The part of a caller's deadline that is reserved for sending the answer.
const ANSWER_RESERVE_MS: Millis = 100;

/// The usual `retry-after` of a call that was not accepted. The balancer needs two seconds until it sends the caller to
/// another entry.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// The longest `retry-after`, given while the store is down. Callers give up after a few tries, and outages on the
/// users' sites last 4 to 9 s.
const RETRY_AFTER_MAX_S: u32 = 3;

/// How long a submission waits for the store to answer this entry again: after a single failed read the next one
/// follows within 0.1 to 0.2 s.
const STORE_RECOVERY_WAIT_MS: Millis = 250;

/// The interval between checks while a submission waits for the store.
const STORE_POLL_MS: Millis = 25;

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
            submit_job(shared, store, &request.pool, id, spec, until_ms).await
        }
        Operation::Read(id) => read_job_state(shared, store, request, id, until_ms).await,
        Operation::Cancel(id) => cancel_job(shared, store, request, id, until_ms).await,
        Operation::CountWaiting => count_waiting_jobs(shared, store, request, until_ms).await,
    }
}

/// The outcome of inserting a row that must not exist yet.
enum InsertOutcome {
    Done,
    /// The row existed already, with this content.
    Found(Vec<u8>),
    NotDone,
    Unsure,
}

/// Returns the transaction that inserts a row if it does not exist yet.
fn insert_tx(part: &str, key: &str, value: &[u8]) -> RowTx {
    RowTx {
        part: part.to_string(),
        guards: vec![Guard {
            table: Table::Intake,
            key: key.to_string(),
            revision: ABSENT,
        }],
        writes: vec![Write {
            table: Table::Intake,
            key: key.to_string(),
            value: Some(value.to_vec()),
        }],
    }
}

/// Inserts a row that must not exist yet into one of `parts`. The partitions are tried in turn until the outcome is
/// known, the store has refused too often, or the time is over.
async fn insert_row<R: Rows>(
    shared: &Shared,
    store: &R,
    parts: &[String],
    key: &str,
    value: Vec<u8>,
    until_ms: Millis,
) -> InsertOutcome {
    let until_ms = until_ms.min(shared.clock.now_ms() + WRITE_TIMEOUT_MS);
    let mut may_be_done = false;
    let mut refusals = 0;
    for part in parts.iter().cycle() {
        let left_ms = until_ms.saturating_sub(shared.clock.now_ms());
        let timeout_max_ms = match parts.len() {
            // If there is another partition to try, each attempt gets the adaptive timeout and not all the time left.
            2.. => shared.intake_timeout.current_ms(),
            _ => left_ms.max(TX_TIMEOUT_MS),
        };
        let tx = insert_tx(part, key, &value);
        match shared.transact(store, &tx, timeout_max_ms).await {
            TxOutcome::Committed(_) => return InsertOutcome::Done,
            TxOutcome::Conflict(found) => {
                let value = found.into_iter().find_map(|(_, row)| row.value);
                return value.map_or(InsertOutcome::Unsure, InsertOutcome::Found);
            }
            TxOutcome::Unknown => may_be_done = true,
            TxOutcome::Refused => refusals += 1,
        }
        if !may_be_done && refusals >= REFUSALS_MAX {
            break;
        }
        if shared.clock.now_ms() + RETRY_PAUSE_MS >= until_ms {
            break;
        }
        Timer::after(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    match may_be_done {
        true => InsertOutcome::Unsure,
        false => InsertOutcome::NotDone,
    }
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

async fn submit_job<R: Rows>(
    shared: &Shared,
    store: &R,
    pool: &str,
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
    let parts = intake_parts_of(pool, id);
    match insert_row(shared, store, &parts, id, rows::encode(spec), until_ms).await {
        InsertOutcome::Done => Outcome::Accepted,
        InsertOutcome::Found(bytes) => match rows::decode::<JobSpec>(&bytes) {
            Ok(existing) if existing.account != spec.account => Outcome::NotTaken {
                // The job will never be accepted, but any other answer would reveal that this id belongs to a job of
                // another account.
                retry_after_s: RETRY_AFTER_MAX_S,
            },
            Ok(existing) if is_same_job(&existing, spec) => Outcome::Accepted,
            _ => Outcome::OtherBody,
        },
        InsertOutcome::NotDone => Outcome::NotTaken {
            retry_after_s: RETRY_AFTER_S,
        },
        InsertOutcome::Unsure => Outcome::Unsure,
    }
}

/// Whether two specs describe the same job, apart from the time of acceptance.
fn is_same_job(left: &JobSpec, right: &JobSpec) -> bool {
    left.payload == right.payload && left.steps == right.steps && left.schedule == right.schedule
}

/// The account of a job, as its intake row names it.
#[derive(Deserialize)]
struct JobOwner {
    #[serde(default)]
    account: Option<String>,
}

impl JobOwner {
    /// Whether a call with the key of `account` may see the job. Everybody may see a job without an account.
    fn is_visible_to(&self, account: Option<&str>) -> bool {
        self.account.is_none() || self.account.as_deref() == account
    }
}

/// What the rows of one job say.
struct JobRows {
    /// The intake partition that the job was found in.
    part: String,
    /// `None` if the job's row can't be decoded.
    owner: Option<JobOwner>,
    is_cancelled: bool,
    progress: Option<StoredRow>,
}

/// Looks for a job in the pool of its queue, then in all other pools, as the queue may have been moved to another pool
/// since.
async fn find_job<R: Rows>(
    store: &R,
    pool: &str,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    if let Some(found) = find_job_in_pool(store, pool, id, timeout_ms).await? {
        return Ok(Some(found));
    }
    let parts = store.list_parts(Table::Intake).await?;
    let pools: BTreeSet<&str> = parts.iter().map(|part| pool_of_part(part)).collect();
    for other in pools {
        if other == pool {
            continue;
        }
        if let Some(found) = find_job_in_pool(store, other, id, timeout_ms).await? {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

async fn find_job_in_pool<R: Rows>(
    store: &R,
    pool: &str,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    let [first, second] = intake_parts_of(pool, id);
    match find_job_in_part(store, pool, first, id, timeout_ms).await {
        Ok(Some(found)) => Ok(Some(found)),
        Ok(None) => find_job_in_part(store, pool, second, id, timeout_ms).await,
        // The job may be in the partition that can't be read, so the other one settles the call only if it has the job.
        Err(e) => match find_job_in_part(store, pool, second, id, timeout_ms).await? {
            Some(found) => Ok(Some(found)),
            None => Err(e),
        },
    }
}

async fn find_job_in_part<R: Rows>(
    store: &R,
    pool: &str,
    part: String,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    // The range holds both keys of the job: the id, and the id with a suffix for its cancel.
    let range = Range {
        from: id.to_string(),
        until: format!("{id}~"),
        rows_max: 0,
    };
    let intake = store.scan(Table::Intake, &part, range.clone(), timeout_ms);
    let shard = shard_part(pool, 0);
    let progress = store.scan(Table::Progress, &shard, range.clone(), timeout_ms);
    let (intake, progress) = zip(intake, progress).await;
    let (intake, progress): (Scan, Scan) = (intake?, progress?);
    let Some(job) = intake.rows.iter().find(|row| row.key == id) else {
        return Ok(None);
    };
    let owner = rows::decode(job.value.as_deref().unwrap_or_default()).ok();
    let progress = match progress.rows.into_iter().next() {
        Some(row) => Some(row),
        None => find_progress_in_other_shards(store, pool, range, timeout_ms).await?,
    };
    let mut keys = intake.rows.iter().map(|row| &row.key);
    Ok(Some(JobRows {
        owner,
        is_cancelled: keys.any(|key| cancelled_job(key).is_some()),
        part,
        progress,
    }))
}

/// Looks for a job's progress in the shards after the first one, which hold the progress of few jobs.
async fn find_progress_in_other_shards<R: Rows>(
    store: &R,
    pool: &str,
    range: Range,
    timeout_ms: Millis,
) -> Result<Option<StoredRow>, ReadError> {
    let parts = shard_parts(pool);
    let others = parts.iter().skip(1);
    let reads = others.map(|part| store.scan(Table::Progress, part, range.clone(), timeout_ms));
    for read in join_all(reads.collect()).await {
        if let Some(row) = read?.rows.into_iter().next() {
            return Ok(Some(row));
        }
    }
    Ok(None)
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
        if let Ok(found) = find_job(store, &request.pool, id, timeout_ms).await {
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
    let parts = [found.part];
    match insert_row(
        shared,
        store,
        &parts,
        &cancel_key(id),
        b"{}".to_vec(),
        until_ms,
    )
    .await
    {
        InsertOutcome::Done | InsertOutcome::Found(_) => Outcome::Cancelled,
        InsertOutcome::NotDone => Outcome::NotTaken {
            retry_after_s: RETRY_AFTER_S,
        },
        InsertOutcome::Unsure => Outcome::Unsure,
    }
}
