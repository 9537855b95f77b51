//! Learns the home pools of queues from the store, and records the pools that queues are routed to.

use std::time::Duration;

use smol::Timer;

use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::homes::{copies_of, queue_key, JobStorage, QUEUE_PARTS};
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::rows::SHARDS;
use crate::event::{Code, Decision, Subject};
use crate::port::backoff::Backoff;
use crate::port::fleet::{QueueRoute, Range, RowTx, Rows, StoredRow, Table, TxOutcome};
use crate::util::join_all;

/// The time over which entries that adopt a configuration spread their reads, so that most of them find what the first
/// one has recorded.
const SPREAD_MS: Millis = 500;

/// The pauses between attempts.
const PAUSE_MS: Millis = 60;
const PAUSE_MAX_MS: Millis = 2_000;

/// The number of attempts for a caller that submits a job.
const CALLER_ATTEMPTS: u32 = 3;

/// Keeps the queues of the configuration in force known and recorded, so that callers don't wait for it.
pub(super) async fn follow_configurations<R: Rows>(shared: &Shared, store: &R) {
    loop {
        shared.wait_for_config().await;
        pause(fastrand::u64(0..SPREAD_MS)).await;
        let mut backoff = Backoff::new(PAUSE_MS, PAUSE_MAX_MS);
        while !learn_all(shared, store).await {
            pause(backoff.next_pause_ms()).await;
        }
    }
}

async fn pause(ms: Millis) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// Makes all routes of the configuration in force known and recorded. Returns whether that is done.
async fn learn_all<R: Rows>(shared: &Shared, store: &R) -> bool {
    let routes = shared.routes();
    if shared.queues().registration(&routes).is_some() && !read_queues(shared, store, None).await {
        return false;
    }
    loop {
        let Some(tx) = shared.queues().registration(&routes) else {
            break;
        };
        if !register(shared, store, &tx).await {
            return false;
        }
    }
    for route in &routes {
        if let Some(storage) = shared.storage(route) {
            if !record_guest(shared, store, &storage).await {
                return false;
            }
        }
    }
    true
}

/// Returns where a job of a queue is stored, once its owners can know; `None` if the store does not tell, or does not take
/// the record.
pub(super) async fn find_storage<R: Rows>(
    shared: &Shared,
    store: &R,
    route: &QueueRoute,
    until_ms: Millis,
) -> Option<JobStorage> {
    for _ in 0..CALLER_ATTEMPTS {
        if let Some(storage) = shared.storage(route) {
            return record_guest(shared, store, &storage)
                .await
                .then_some(storage);
        }
        if shared.clock.now_ms() >= until_ms {
            return None;
        }
        let key = queue_key(&route.address);
        if !read_queues(shared, store, Some(&key)).await || shared.storage(route).is_some() {
            continue;
        }
        let registration = shared.queues().registration(std::slice::from_ref(route));
        if let Some(tx) = registration {
            register(shared, store, &tx).await;
        }
    }
    shared
        .storage(route)
        .filter(|storage| shared.queues().may_store(storage))
}

/// Reads the row of one queue, or those of all, from the first partition that answers. Returns whether one did.
async fn read_queues<R: Rows>(shared: &Shared, store: &R, key: Option<&str>) -> bool {
    let first = fastrand::usize(0..QUEUE_PARTS.len());
    for n in 0..QUEUE_PARTS.len() {
        let part = QUEUE_PARTS[(first + n) % QUEUE_PARTS.len()];
        let read = match key {
            None => {
                let feed = store.scan_pages(Table::Queues, part, 0, TX_TIMEOUT_MS);
                feed.await.map(|feed| feed.changes)
            }
            Some(key) => {
                let range = Range {
                    from: key.to_string(),
                    until: format!("{key}~"),
                    rows_max: 1,
                };
                let timeout_ms = shared.intake_timeout.current_ms();
                let scan = store.scan(Table::Queues, part, range, timeout_ms);
                scan.await.map(|scan| scan.rows)
            }
        };
        if let Ok(rows) = read {
            rows.iter().for_each(|row| apply_row(shared, row));
            return true;
        }
    }
    false
}

fn apply_row(shared: &Shared, row: &StoredRow) {
    if let Err(e) = shared.queues().apply_row(row) {
        let why = format!("cannot decode a queue's row: {e}");
        shared.log_decision(Decision::new(Code::BadRow, Subject::Config, &row.key, why));
    }
}

/// Records routes once. Returns whether the rows are known now, by this write or by a conflict with another.
async fn register<R: Rows>(shared: &Shared, store: &R, tx: &RowTx) -> bool {
    match shared.transact(store, tx, TX_TIMEOUT_MS).await {
        TxOutcome::Committed(_) => {
            shared.queues().note_registered(tx);
            for write in &tx.writes {
                let why = String::from_utf8_lossy(write.value.as_deref().unwrap_or_default());
                let decision = Decision::new(Code::QueueRecorded, Subject::Config, &write.key, why);
                shared.log_decision(decision);
            }
            let copies = copies_of(tx);
            let writes = copies.iter().map(|tx| store.transact(tx, TX_TIMEOUT_MS));
            // A copy that is not written is missing only to entries that start while the first partition is down.
            join_all(writes.collect()).await;
            true
        }
        TxOutcome::Conflict(found) => {
            found.iter().for_each(|(_, row)| apply_row(shared, row));
            true
        }
        TxOutcome::Refused | TxOutcome::Unknown => false,
    }
}

/// Records with a guest where its jobs are stored, in the first shard that takes it. Returns whether it is recorded.
async fn record_guest<R: Rows>(shared: &Shared, store: &R, storage: &JobStorage) -> bool {
    if shared.queues().may_store(storage) {
        return true;
    }
    for shard in 0..SHARDS {
        let tx = storage.guest_tx(shard);
        if has_row(shared, store, &tx).await || write_once(shared, store, &tx).await {
            shared.queues().note_guest(storage);
            return true;
        }
    }
    false
}

/// Returns whether the row that a transaction writes is there. The owner of the guest writes to the same partition, and
/// the writes of all entries at once would hold it up.
async fn has_row<R: Rows>(shared: &Shared, store: &R, tx: &RowTx) -> bool {
    let key = tx.writes.first().map_or("", |write| write.key.as_str());
    let range = Range {
        from: key.to_string(),
        until: format!("{key}~"),
        rows_max: 0,
    };
    let timeout_ms = shared.intake_timeout.current_ms();
    let scan = store.scan(Table::Queues, &tx.part, range, timeout_ms).await;
    scan.is_ok_and(|scan| scan.rows.iter().any(|row| row.key == key))
}

async fn write_once<R: Rows>(shared: &Shared, store: &R, tx: &RowTx) -> bool {
    let timeout_ms = shared.intake_timeout.current_ms();
    let outcome = shared.transact(store, tx, timeout_ms).await;
    matches!(outcome, TxOutcome::Committed(_))
}
