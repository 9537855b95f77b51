//! Finds the rows of a job by its id, in whichever pool the job is stored.

use std::collections::BTreeSet;

use serde::Deserialize;
use smol::future::zip;

use crate::clock::Millis;
use crate::core::sched::homes::{guest_of, running_pool};
use crate::core::sched::rows::{
    self, cancelled_job, intake_parts_of, pool_of_part, shard_part, shard_parts,
};
use crate::port::fleet::{Range, ReadError, Revision, Rows, Scan, StoredRow, Table};
use crate::util::join_all;

/// What a look-up needs of a job's intake row.
#[derive(Deserialize)]
struct IntakeHead {
    #[serde(default)]
    account: Option<String>,
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
    /// The revision of the job's row.
    revision: Revision,
    /// `None` if the job's row can't be decoded.
    pub(super) owner: Option<JobOwner>,
    pub(super) is_cancelled: bool,
    pub(super) progress: Option<StoredRow>,
}

/// Looks for a job in the home pool of its queue, which is the first of `pools`, all those that the queue was routed to
/// as far as is known. Then looks in all other pools: without records of home pools, a job is stored in the pool that the
/// queue had when it was submitted. `routed` is the pool that the queue has now.
pub(super) async fn find_job<R: Rows>(
    store: &R,
    pools: &[String],
    routed: &str,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    let home = pools.first().map_or(routed, String::as_str);
    let is_moved = pools.len() > 1;
    if let Some(found) = find_in_pool(store, home, is_moved, id, timeout_ms).await? {
        return Ok(Some(found));
    }
    let parts = store.list_parts(Table::Intake).await?;
    let others: BTreeSet<&str> = parts.iter().map(|part| pool_of_part(part)).collect();
    for other in others.into_iter().filter(|other| *other != home) {
        if let Some(found) = find_in_pool(store, other, false, id, timeout_ms).await? {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

/// Looks for a job in the intake of a pool. If the pool's queue was moved, both of the job's partitions may hold a row
/// under its id, for different pools, and the first one counts.
async fn find_in_pool<R: Rows>(
    store: &R,
    home: &str,
    is_moved: bool,
    id: &str,
    timeout_ms: Millis,
) -> Result<Option<JobRows>, ReadError> {
    let [first, second] = intake_parts_of(home, id);
    let found = find_in_part(store, first, id, timeout_ms).await;
    match found {
        // Only the pool that runs the job writes progress.
        Ok(Some(rows)) if !is_moved || rows.progress.is_some() => Ok(Some(rows)),
        Ok(first) => {
            let second = find_in_part(store, second, id, timeout_ms).await?;
            let found = first.into_iter().chain(second);
            Ok(found.min_by_key(|rows| rows.revision))
        }
        // The job may be in the partition that can't be read, so the other one settles the call only if it has the job.
        Err(e) => match find_in_part(store, second, id, timeout_ms).await? {
            Some(rows) if !is_moved || rows.progress.is_some() => Ok(Some(rows)),
            _ => Err(e),
        },
    }
}

async fn find_in_part<R: Rows>(
    store: &R,
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
    let shard = shard_part(pool_of_part(&part), 0);
    let progress = store.scan(Table::Progress, &shard, range.clone(), timeout_ms);
    let (intake, progress) = zip(intake, progress).await;
    let intake: Scan = intake?;
    let Some(job) = intake.rows.iter().find(|row| row.key == id) else {
        return Ok(None);
    };
    let mut progress = match guest_of(job) {
        Some(_) => None,
        None => progress?.rows.into_iter().next(),
    };
    if progress.is_none() {
        progress = find_progress(store, job, range, timeout_ms).await?;
    }
    let head = rows::decode::<IntakeHead>(job.value.as_deref().unwrap_or_default()).ok();
    let mut keys = intake.rows.iter().map(|row| &row.key);
    Ok(Some(JobRows {
        owner: head.map(|head| JobOwner(head.account)),
        is_cancelled: keys.any(|key| cancelled_job(key) == Some(id)),
        revision: job.revision,
        part,
        progress,
    }))
}

/// Looks for a job's progress in the shards of the pool that runs it: all of them for a guest, otherwise those after the
/// first one, which hold the progress of few jobs.
async fn find_progress<R: Rows>(
    store: &R,
    job: &StoredRow,
    range: Range,
    timeout_ms: Millis,
) -> Result<Option<StoredRow>, ReadError> {
    let guest = guest_of(job);
    let skipped = if guest.is_some() { 0 } else { 1 };
    let parts = shard_parts(&running_pool(job));
    let parts = parts.iter().skip(skipped);
    let reads = parts.map(|part| store.scan(Table::Progress, part, range.clone(), timeout_ms));
    for read in join_all(reads.collect()).await {
        if let Some(row) = read?.rows.into_iter().next() {
            return Ok(Some(row));
        }
    }
    Ok(None)
}
