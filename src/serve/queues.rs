//! Learns the home pools of queues from the store, and records the pools that queues are routed to.

use std::time::Duration;

use smol::Timer;

use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::homes::{queue_key, JobStorage, QUEUE_PARTS};
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::event::{Code, Decision, Subject};
use crate::port::backoff::Backoff;
use crate::port::fleet::{QueueRoute, Range, ReadError, RowTx, Rows, StoredRow, Table, TxOutcome};

/// The time over which entries that adopt a configuration spread their reads, so that most of them find what the first
/// one has recorded.
const SPREAD_MS: Millis = 500;

/// The pauses between attempts.
const PAUSE_MS: Millis = 60;
const PAUSE_MAX_MS: Millis = 2_000;

/// The number of attempts for a caller that submits a job.
const CALLER_ATTEMPTS: u32 = 3;

/// Keeps the queues of the configuration in force known, so that callers don't wait for it.
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
    if routes.iter().all(|route| shared.storage(route).is_some()) {
        return true;
    }
    if read_queues(shared, store, None).await.is_err() {
        return false;
    }
    while let Some((txs, count)) = shared.registration(&routes) {
        if !register(shared, store, &routes, txs, count).await {
            return false;
        }
    }
    true
}

/// Returns where a job of a queue is stored; `None` if the store does not tell.
pub(super) async fn find_storage<R: Rows>(
    shared: &Shared,
    store: &R,
    route: &QueueRoute,
    until_ms: Millis,
) -> Option<JobStorage> {
    for _ in 0..CALLER_ATTEMPTS {
        if let Some(storage) = shared.storage(route) {
            return Some(storage);
        }
        if shared.clock.now_ms() >= until_ms {
            return None;
        }
        let key = queue_key(&route.address);
        read_queues(shared, store, Some(&key)).await.ok()?;
        let routes = std::slice::from_ref(route);
        if let Some((txs, count)) = shared.registration(routes) {
            register(shared, store, routes, txs, count).await;
        }
    }
    shared.storage(route)
}

/// Reads the row of one queue, or those of all, from the first partition that answers.
async fn read_queues<R: Rows>(
    shared: &Shared,
    store: &R,
    key: Option<&str>,
) -> Result<(), ReadError> {
    let first = fastrand::usize(0..QUEUE_PARTS.len());
    let mut last_error = ReadError::Down;
    for n in 0..QUEUE_PARTS.len() {
        let part = QUEUE_PARTS[(first + n) % QUEUE_PARTS.len()];
        let rows = match key {
            None => {
                let feed = store
                    .scan_pages(Table::Queues, part, 0, TX_TIMEOUT_MS)
                    .await;
                feed.map(|feed| feed.changes)
            }
            Some(key) => {
                let range = Range {
                    from: key.to_string(),
                    until: format!("{key}~"),
                    rows_max: 1,
                };
                let timeout_ms = shared.intake_timeout.current_ms();
                let scan = store.scan(Table::Queues, part, range, timeout_ms).await;
                scan.map(|scan| scan.rows)
            }
        };
        match rows {
            Ok(rows) => {
                rows.iter().for_each(|row| apply_row(shared, row));
                return Ok(());
            }
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

fn apply_row(shared: &Shared, row: &StoredRow) {
    if let Err(e) = shared.apply_queue_row(row) {
        let why = format!("cannot decode a queue's row: {e}");
        shared.log_decision(Decision::new(Code::BadRow, Subject::Config, &row.key, why));
    }
}

/// Records routes once. Returns whether the store's rows are known now, by this write or by a conflict with another.
async fn register<R: Rows>(
    shared: &Shared,
    store: &R,
    routes: &[QueueRoute],
    txs: Vec<RowTx>,
    count: usize,
) -> bool {
    match shared.transact_together(store, &txs, TX_TIMEOUT_MS).await {
        TxOutcome::Committed(_) => {
            log_registration(shared, routes, count);
            // The store's answer may name a newer revision than that of the rows.
            read_queues(shared, store, None).await.is_ok()
        }
        TxOutcome::Conflict(found) => {
            found.iter().for_each(|(_, row)| apply_row(shared, row));
            true
        }
        TxOutcome::Refused | TxOutcome::Unknown => false,
    }
}

fn log_registration(shared: &Shared, routes: &[QueueRoute], count: usize) {
    let unknown = routes.iter().filter(|r| shared.storage(r).is_none());
    for route in unknown.take(count) {
        let why = match shared.queue_pools(&route.address).first() {
            Some(home) => format!("routed to {}; its home pool is {home}", route.pool),
            None => format!("routed to {}, its home pool", route.pool),
        };
        let decision = Decision::new(Code::QueueRecorded, Subject::Config, &route.address, why);
        shared.log_decision(decision);
    }
}
