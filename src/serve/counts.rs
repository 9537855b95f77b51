//! Counts of the waiting jobs of a queue.
//!
//! The owner of a pool reports its counts with its heartbeats. While no owner reports any, the rows are counted here, for
//! all queues of the pool at once and for all callers that ask for them. These reads come after all others: they stay
//! within a budget, and a caller whose count is not ready by its deadline is told when to ask again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol::Timer;

use super::operations::RETRY_AFTER_S;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::homes::{rows_of_pool, running_pool};
use crate::core::sched::job::JobSpec;
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::operation::{Outcome, Request};
use crate::core::sched::rows::{
    self, cancelled_job, intake_parts, is_job_key, shard_part, shard_parts, HeartbeatRow,
    HEARTBEAT_KEY, SHARDS,
};
use crate::port::backoff::Backoff;
use crate::port::fleet::{Range, ReadError, Revision, Rows, Scan, StoredRow, Table};
use crate::port::part_scan::PartScan;

/// The greatest age of a count that is given to a caller. Callers are promised a count at most 2 s old.
const COUNT_AGE_MAX_MS: Millis = 1_600;

/// The pauses between attempts at a count.
const PAUSE_MS: Millis = 60;
const PAUSE_MAX_MS: Millis = 500;

/// The number of partitions that a count reads at a time.
const ROUND_PARTS: usize = 16;

/// The outcome of a question for a count that the store does not answer: another entry may know it.
const UNAVAILABLE: Outcome = Outcome::Unavailable {
    retry_after_s: RETRY_AFTER_S,
};

/// Returns the number of waiting jobs of a queue, in all pools that store jobs of the queue.
pub(super) async fn count_waiting_jobs<R: Rows>(
    shared: &Shared,
    store: &R,
    request: &Request,
    until_ms: Millis,
) -> Outcome {
    let mut waiting = 0;
    for pool in counted_pools(shared, request) {
        match count_in_pool(shared, store, &pool, &request.queue, until_ms).await {
            Some(of_pool) => waiting += of_pool,
            None => return UNAVAILABLE,
        }
    }
    Outcome::Waiting(waiting)
}

/// Returns the pool of a queue and the configured pools that it was routed to before.
fn counted_pools(shared: &Shared, request: &Request) -> Vec<String> {
    let pool = &request.route.pool;
    let configured = shared.pools();
    let mut pools = shared.queues().pools(&request.route.address).to_vec();
    pools.retain(|other| other != pool && configured.contains(other));
    pools.push(pool.clone());
    pools
}

/// Returns the number of waiting jobs of a queue in one pool; `None` if the store does not tell in time.
async fn count_in_pool<R: Rows>(
    shared: &Shared,
    store: &R,
    pool: &str,
    queue: &str,
    until_ms: Millis,
) -> Option<u64> {
    if let Some(waiting) = reported_waiting(shared, pool, queue) {
        return Some(waiting);
    }
    // Most heartbeats go to the first shard.
    for shard in 0..SHARDS {
        shared.store_down_for_ms().is_none().then_some(())?;
        let read = read_reported_counts(shared, store, pool, shard).await;
        if let Some(waiting) = reported_waiting(shared, pool, queue) {
            return Some(waiting);
        }
        if read.is_err() {
            break;
        }
    }
    count_in_turn(shared, store, pool, queue, until_ms).await
}

/// Counts by the rows, or waits for another caller of this entry that counts the same pool.
async fn count_in_turn<R: Rows>(
    shared: &Shared,
    store: &R,
    pool: &str,
    queue: &str,
    until_ms: Millis,
) -> Option<u64> {
    let mut backoff = Backoff::new(PAUSE_MS, PAUSE_MAX_MS);
    loop {
        if let Some(waiting) = reported_waiting(shared, pool, queue) {
            return Some(waiting);
        }
        if shared.store_down_for_ms().is_some() || shared.clock.now_ms() + PAUSE_MS >= until_ms {
            return None;
        }
        if let Some(_turn) = shared.counts_under_way.begin(pool) {
            count_by_rows(shared, store, pool, until_ms).await;
            continue;
        }
        pause(&mut backoff).await;
    }
}

/// Reads the rows of a pool within the budget until `until_ms`, and publishes the counts of all its queues once all rows
/// are read.
async fn count_by_rows<R: Rows>(shared: &Shared, store: &R, pool: &str, until_ms: Millis) {
    let began_ms = shared.clock.now_ms();
    let mut homes = shared.queues().homes_of(pool);
    homes.insert(pool.to_string());
    let intake_parts = homes.iter().flat_map(|home| intake_parts(home));
    let mut intake = PartScan::new(Table::Intake, intake_parts.collect());
    let mut progress = PartScan::new(Table::Progress, shard_parts(pool));
    let mut backoff = Backoff::new(PAUSE_MS, PAUSE_MAX_MS);
    loop {
        let scan = match intake.is_done() {
            false => &mut intake,
            true => &mut progress,
        };
        let wanted = scan.missing().min(ROUND_PARTS);
        let parts = shared.take_count_reads(wanted);
        if parts > 0 {
            let failed = scan.advance(store, parts, TX_TIMEOUT_MS).await;
            shared.note_count_reads(parts, failed);
            if failed == 0 {
                backoff.reset();
            }
        }
        if intake.is_done() && progress.is_done() {
            let age_ms = shared.clock.now_ms().saturating_sub(began_ms);
            let (intake, revision) = intake.into_rows_since();
            let intake = rows_of_pool(pool, intake, revision.unwrap_or(Revision::MAX));
            let by_queue = count_by_queue(pool, &intake, &progress.into_rows());
            shared.set_waiting_counts(pool, by_queue, age_ms);
            return;
        }
        if shared.store_down_for_ms().is_some() || shared.clock.now_ms() + PAUSE_MS >= until_ms {
            return;
        }
        pause(&mut backoff).await;
    }
}

async fn pause(backoff: &mut Backoff) {
    Timer::after(Duration::from_millis(backoff.next_pause_ms())).await;
}

/// Returns the number of waiting jobs of a queue by the newest report that is known here, if that is recent enough.
fn reported_waiting(shared: &Shared, pool: &str, queue: &str) -> Option<u64> {
    let reported = shared.waiting_counts(pool)?;
    let age_ms = shared.clock.now_ms().saturating_sub(reported.received_ms);
    let waiting = reported.by_queue.get(queue).copied();
    (age_ms <= COUNT_AGE_MAX_MS).then_some(waiting.unwrap_or(0))
}

/// Reads an owner's heartbeat in one shard and stores the numbers of waiting jobs in it, if it is recent by the store's
/// clock. An entry that does not follow the owners has no other report.
async fn read_reported_counts<R: Rows>(
    shared: &Shared,
    store: &R,
    pool: &str,
    shard: usize,
) -> Result<(), ReadError> {
    let range = Range {
        from: HEARTBEAT_KEY.to_string(),
        until: format!("{HEARTBEAT_KEY}~"),
        rows_max: 1,
    };
    let part = shard_part(pool, shard);
    let scan = store.scan(Table::Owners, &part, range, TX_TIMEOUT_MS);
    let Scan { rows, store_ms, .. } = scan.await?;
    let value = rows.into_iter().next().and_then(|row| row.value);
    // A heartbeat that can't be decoded is logged by the entries that follow the owners.
    let Ok(heartbeat) = rows::decode::<HeartbeatRow>(&value.unwrap_or_default()) else {
        return Ok(());
    };
    let age_ms = store_ms.saturating_sub(heartbeat.store_ms);
    let is_recent = heartbeat.store_ms > 0 && age_ms <= COUNT_AGE_MAX_MS;
    if let Some(by_queue) = heartbeat.waiting.filter(|_| is_recent) {
        shared.set_waiting_counts(pool, by_queue, age_ms);
    }
    Ok(())
}

/// Counts the jobs of each queue that have neither begun nor been cancelled.
fn count_by_queue(
    pool: &str,
    intake: &[StoredRow],
    progress: &[StoredRow],
) -> BTreeMap<String, u64> {
    let begun: BTreeSet<&str> = progress.iter().map(|row| row.key.as_str()).collect();
    let cancelled: BTreeSet<&str> = intake
        .iter()
        .filter_map(|row| cancelled_job(&row.key))
        .collect();
    let waiting = intake.iter().filter(|row| {
        let id = row.key.as_str();
        let is_open = !begun.contains(id) && !cancelled.contains(id);
        is_job_key(id) && is_open && running_pool(row) == pool
    });
    // A job may have a row in both of its partitions.
    let queue_by_job: BTreeMap<&str, String> = waiting
        .filter_map(|row| {
            let spec = rows::decode::<JobSpec>(row.value.as_deref().unwrap_or_default());
            Some((row.key.as_str(), spec.ok()?.queue))
        })
        .collect();
    let mut by_queue = BTreeMap::new();
    for queue in queue_by_job.into_values() {
        *by_queue.entry(queue).or_default() += 1;
    }
    by_queue
}
