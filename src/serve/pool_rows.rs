//! Reads the rows of a pool for its new owner, and intake rows again after the store has lost its history.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::feeds;
use super::owned::OwnedPools;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::homes::{home_of_guest_row, rows_of_pool};
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::rows::{intake_parts, shard_parts};
use crate::core::sched::state::LoadedRows;
use crate::port::backoff::Backoff;
use crate::port::fleet::{Directory, ReadError, Revision, Rows, StoredRow, Table, WorkerInfo};
use crate::port::part_scan::PartScan;

/// The pauses between attempts at the reads that failed. An owner reads nothing else that its pool waits for, so the
/// longest one is short.
const PAUSE_MS: Millis = 60;
const PAUSE_MAX_MS: Millis = 500;

/// The time after which a reading that is not complete begins anew.
const READING_MAX_MS: Millis = 10_000;

/// A reading of several partitions and tables that goes on while the entry owns its pool.
pub(super) struct Reading<'a, P> {
    platform: &'a P,
    shared: &'a Shared,
    owned: Rc<OwnedPools>,
    pool: &'a str,
    backoff: Backoff,
    until_ms: Millis,
}

impl<'a, P: Rows + Directory> Reading<'a, P> {
    /// Begins a reading of a pool's rows.
    pub(super) fn new(
        platform: &'a P,
        shared: &'a Shared,
        owned: Rc<OwnedPools>,
        pool: &'a str,
    ) -> Self {
        Self {
            platform,
            shared,
            owned,
            pool,
            backoff: Backoff::new(PAUSE_MS, PAUSE_MAX_MS),
            until_ms: shared.clock.now_ms() + READING_MAX_MS,
        }
    }

    /// Reads everything that a new owner of the pool needs to rebuild its state.
    pub(super) async fn load(mut self) -> Result<LoadedRows, ReadError> {
        let pool = self.pool;
        let (intake, revision) = self.read_intake().await?;
        let intake = rows_of_pool(pool, intake, revision);
        let progress = self.read_parts(Table::Progress, shard_parts(pool)).await?;
        let owner = self.read_parts(Table::Owners, one(pool)).await?;
        let (workers_asked_ms, workers) = self.read_workers().await?;
        Ok(LoadedRows {
            intake,
            progress,
            owner,
            workers,
            workers_asked_ms,
            waves: self.read_parts(Table::Waves, one("")).await?,
            host_orders: self.read_parts(Table::HostOrders, one(pool)).await?,
        })
    }

    /// Reads all intake rows of the pool and of the home pools that store its jobs. Returns also the revision up to which
    /// all of them were read.
    pub(super) async fn read_intake(&mut self) -> Result<(Vec<StoredRow>, Revision), ReadError> {
        let guest_rows = self
            .read_parts(Table::Queues, shard_parts(self.pool))
            .await?;
        let mut homes: BTreeSet<&str> = guest_rows.iter().filter_map(home_of_guest_row).collect();
        homes.insert(self.pool);
        let parts = homes.into_iter().flat_map(intake_parts).collect();
        let scan = self.scan_parts(Table::Intake, parts).await?;
        let (rows, revision) = scan.into_rows_since();
        Ok((rows, revision.unwrap_or(Revision::MAX)))
    }

    async fn read_parts(
        &mut self,
        table: Table,
        parts: Vec<String>,
    ) -> Result<Vec<StoredRow>, ReadError> {
        Ok(self.scan_parts(table, parts).await?.into_rows())
    }

    async fn scan_parts(
        &mut self,
        table: Table,
        parts: Vec<String>,
    ) -> Result<PartScan, ReadError> {
        let mut scan = PartScan::new(table, parts);
        loop {
            let missing = scan.missing();
            if scan.advance(self.platform, missing, TX_TIMEOUT_MS).await < missing {
                self.backoff.reset();
            }
            if scan.is_done() {
                return Ok(scan);
            }
            self.pause().await?;
        }
    }

    /// Reads the list of workers, and returns when it was requested.
    async fn read_workers(&mut self) -> Result<(Millis, Vec<WorkerInfo>), ReadError> {
        loop {
            let asked_ms = self.shared.clock.now_ms();
            if let Ok(feed) = self.platform.read_workers().await {
                return Ok((asked_ms, feeds::present_workers(&feed)));
            }
            self.pause().await?;
        }
    }

    /// Pauses before the next attempt. Fails if the pool is not owned any more, or the reading has taken too long.
    async fn pause(&mut self) -> Result<(), ReadError> {
        let is_owned = self.owned.pools.borrow().iter().any(|p| p == self.pool);
        if !is_owned || self.shared.clock.now_ms() >= self.until_ms {
            return Err(ReadError::Down);
        }
        let pause_ms = self.backoff.next_pause_ms();
        Timer::after(Duration::from_millis(pause_ms)).await;
        Ok(())
    }
}

fn one(part: &str) -> Vec<String> {
    vec![part.to_string()]
}
