//! Finds the rows of a job by its id, in whichever pool the job is stored.

use std::collections::BTreeSet;

use serde::Deserialize;
use smol::future::zip;

use crate::clock::Millis;
use crate::core::sched::rows::{
    self, cancelled_job, intake_parts_of, pool_of_part, shard_part, shard_parts,
};
use crate::port::fleet::{Range, ReadError, Rows, Scan, StoredRow, Table};
use crate::util::join_all;

/// What a look-up needs of an intake row, which holds a job or a reference to one.
#[derive(Deserialize)]
struct IntakeHead {
    #[serde(default)]
    account: Option<String>,
    /// The pool that a reference names.
    #[serde(default)]
    stored_in: Option<String>,
}

/// The account of a job.
pub(super) struct JobOwner(Option<String>);

impl JobOwner {
    /// Whether a call with the key of `account` may see the job. Everybody may see a job without an account.
    pub(super) fn is_visible_to(&self, account: Option<&str>) -> bool {
        self.0.is_none() || self.0.as_deref() == account
    }
}

/// What the rows of one job say.
pub(super) struct JobRows {
    /// The intake partition that the job was found in.
    pub(super) part: String,
    /// `None` if the job's row can't be decoded.
    pub(super) owner: Option<JobOwner>,
    pub(super) is_cancelled: bool,
    pub(super) progress: Option<StoredRow>,
}

/// What one pool holds under a job's id.
enum Found {
    Job(JobRows),
    /// A reference to the pool that stores the job.
    StoredIn(String),
}

/// Looks for a job in `pools`, then in all other pools: before the pools of queues were recorded, a job could be
/// stored in a pool that its queue had left.
pub(super) async fn find_job<R: Rows>(
    store: &R,
    pools: &[String],
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    let mut failure = None;
    for pool in pools {
        match find_job_from(store, pool, id, timeout_ms).await {
            Ok(Some(found)) => return Ok(Some(found)),
            Ok(None) => {}
            // The job may still be found in another pool, but is not known to be absent.
            Err(e) => failure = Some(e),
        }
    }
    if let Some(e) = failure {
        return Err(e);
    }
    let parts = store.list_parts(Table::Intake).await?;
    let others: BTreeSet<&str> = parts.iter().map(|part| pool_of_part(part)).collect();
    for other in others {
        if pools.iter().any(|pool| pool == other) {
            continue;
        }
        if let Some(found) = find_job_from(store, other, id, timeout_ms).await? {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

/// Looks for a job in a pool, and in the pool that a reference there names.
async fn find_job_from<R: Rows>(
    store: &R,
    pool: &str,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    let other = match find_in_pool(store, pool, id, timeout_ms).await? {
        None => return Ok(None),
        Some(Found::Job(rows)) => return Ok(Some(rows)),
        Some(Found::StoredIn(other)) => other,
    };
    match find_in_pool(store, &other, id, timeout_ms).await? {
        Some(Found::Job(rows)) => Ok(Some(rows)),
        // The job was removed after the reference was read.
        Some(Found::StoredIn(_)) | None => Ok(None),
    }
}

async fn find_in_pool<R: Rows>(
    store: &R,
    pool: &str,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<Found>, ReadError> {
    let [first, second] = intake_parts_of(pool, id);
    match find_in_part(store, pool, first, id, timeout_ms).await {
        Ok(Some(found)) => Ok(Some(found)),
        Ok(None) => find_in_part(store, pool, second, id, timeout_ms).await,
        // The job may be in the partition that can't be read, so the other one settles the call only if it has the job.
        Err(e) => match find_in_part(store, pool, second, id, timeout_ms).await? {
            Some(found) => Ok(Some(found)),
            None => Err(e),
        },
    }
}

/// The keys of a job: its id, and the id with a suffix for its cancel.
fn range_of_job(id: &str) -> Range {
    Range {
        from: id.to_string(),
        until: format!("{id}~"),
        rows_max: 0,
    }
}

async fn find_in_part<R: Rows>(
    store: &R,
    pool: &str,
    part: String,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<Found>, ReadError> {
    let range = range_of_job(id);
    let intake = store.scan(Table::Intake, &part, range.clone(), timeout_ms);
    let shard = shard_part(pool, 0);
    let progress = store.scan(Table::Progress, &shard, range.clone(), timeout_ms);
    let (intake, progress) = zip(intake, progress).await;
    let intake: Scan = intake?;
    let Some(job) = intake.rows.iter().find(|row| row.key == id) else {
        return Ok(None);
    };
    let head = rows::decode::<IntakeHead>(job.value.as_deref().unwrap_or_default()).ok();
    if let Some(pool) = head.as_ref().and_then(|head| head.stored_in.clone()) {
        return Ok(Some(Found::StoredIn(pool)));
    }
    let owner = head.map(|head| JobOwner(head.account));
    let progress = match progress?.rows.into_iter().next() {
        Some(row) => Some(row),
        None => find_progress_in_other_shards(store, pool, range, timeout_ms).await?,
    };
    let mut keys = intake.rows.iter().map(|row| &row.key);
    let is_cancelled = keys.any(|key| cancelled_job(key).is_some());
    Ok(Some(Found::Job(JobRows {
        owner,
        is_cancelled,
        part,
        progress,
    })))
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

/// Reads the intake row of a job in the pool that stores it.
pub(super) async fn read_job_row<R: Rows>(
    store: &R,
    pool: &str,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<Vec<u8>>, ReadError> {
    let mut failure = None;
    for part in intake_parts_of(pool, id) {
        match store
            .scan(Table::Intake, &part, range_of_job(id), timeout_ms)
            .await
        {
            Ok(scan) => {
                let mut rows = scan.rows.into_iter();
                if let Some(row) = rows.find(|row| row.key == id) {
                    return Ok(row.value);
                }
            }
            Err(e) => failure = Some(e),
        }
    }
    failure.map_or(Ok(None), Err)
}
