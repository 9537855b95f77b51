//! Decides where the jobs of a queue are stored, so that an id names one job whichever pool the queue is routed to.
//!
//! The first pool that a queue is ever routed to is its home pool. All jobs of the queue are stored in the intake of the
//! home pool, and a job that another pool runs, its guest, names that pool. So submissions of one id meet in the same two
//! partitions, also those of entries that route the queue differently. If both partitions hold a row of one id, the row
//! that was written first is the job.
//!
//! A transaction covers one partition, and owners need to know where the jobs of their pool are stored. So before an
//! entry stores a job for a pool that is not the home pool, it records the home pool with that pool.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::rows::{
    self, cancelled_job, intake_guard, intake_parts_of, intake_write, is_job_key, pool_of_part,
    shard_part, QueueRow, SHARDS,
};
use super::tombstones::tombstone_guard;
use crate::port::fleet::{Guard, QueueRoute, Revision, RowTx, StoredRow, Table, Write, ABSENT};
use crate::util::fnv1a;

/// Partitions that hold the rows of queues. The first one decides on a queue's home pool, which never changes; the others
/// hold copies, for entries that start while the first one does not answer.
pub const QUEUE_PARTS: [&str; 3] = ["homes/0", "homes/1", "homes/2"];

/// Most queues in one transaction: each takes a condition and a write, and the store accepts 100 of both together.
const REGISTERED_MAX: usize = 40;

/// Precedes the name of a home pool in the keys of guests' rows.
const GUEST_SIGN: &str = "home ";

/// Where a job is stored, and which pool runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStorage {
    /// Home pool of the queue.
    pub home: String,
    /// Pool that runs the job.
    pub pool: String,
}

impl JobStorage {
    /// Creates the storage of a job that `pool` runs.
    pub fn new(home: impl Into<String>, pool: impl Into<String>) -> Self {
        Self {
            home: home.into(),
            pool: pool.into(),
        }
    }

    /// Returns whether another pool than the home pool runs the job.
    pub fn is_guest(&self) -> bool {
        self.home != self.pool
    }

    /// Returns the transaction that stores a job of an account, unless its id is taken or a tombstone keeps it out, in
    /// the first or second of its partitions, as `attempt` says.
    pub fn insert_tx(
        &self,
        id: &str,
        account: Option<&str>,
        job: Vec<u8>,
        attempt: usize,
    ) -> RowTx {
        let [first, second] = intake_parts_of(&self.home, id);
        let part = if attempt.is_multiple_of(2) {
            first
        } else {
            second
        };
        let mut tx = insert_tx(part, id, job);
        tx.guards.push(tombstone_guard(id, account));
        tx
    }

    /// Returns the transaction that tells owners of a guest where its jobs are stored, in one of the guest's shards.
    pub fn guest_tx(&self, shard: usize) -> RowTx {
        RowTx {
            part: shard_part(&self.pool, shard % SHARDS),
            guards: Vec::new(),
            writes: vec![Write {
                table: Table::Queues,
                key: format!("{GUEST_SIGN}{}", self.home),
                value: Some(b"{}".to_vec()),
            }],
        }
    }
}

/// Returns the home pool that a guest's row names.
pub fn home_of_guest_row(row: &StoredRow) -> Option<&str> {
    row.value.as_ref()?;
    row.key.strip_prefix(GUEST_SIGN)
}

/// Returns the transaction that inserts an intake row if it does not exist yet.
pub fn insert_tx(part: String, key: &str, value: Vec<u8>) -> RowTx {
    RowTx {
        part,
        guards: vec![intake_guard(key, ABSENT)],
        writes: vec![intake_write(key, Some(value))],
    }
}

/// The first bytes of a job's row that names the pool that runs it.
const GUEST_ROW_START: &[u8] = b"{\"pool\":";

#[derive(Serialize, Deserialize)]
struct GuestJob {
    pool: String,
}

/// Returns the pool that an intake row names to run its job; `None` if that is the pool whose intake it is in.
pub fn guest_of(row: &StoredRow) -> Option<String> {
    let value = row.value.as_ref()?;
    let is_guest = value.starts_with(GUEST_ROW_START) && is_job_key(&row.key);
    let job = is_guest.then(|| rows::decode::<GuestJob>(value).ok())??;
    Some(job.pool).filter(|pool| pool != pool_of_part(&row.part))
}

/// Returns the pool that runs the job of an intake row.
pub fn running_pool(row: &StoredRow) -> String {
    guest_of(row).unwrap_or_else(|| pool_of_part(&row.part).to_string())
}

/// Returns the job's other partition of the same home pool, given the partition of one of its rows.
pub fn other_part(row_part: &str, id: &str) -> String {
    let [first, second] = intake_parts_of(pool_of_part(row_part), id);
    if first == row_part {
        second
    } else {
        first
    }
}

/// Returns whether the row of a guest's job is the job, and not a later row under an id that was taken. `others` are the
/// rows under the id in the job's other partition, read after the row was.
pub fn is_first(row: &StoredRow, others: &[StoredRow]) -> bool {
    let is_earlier = |other: &StoredRow| {
        other.key == row.key && other.value.is_some() && other.revision < row.revision
    };
    !others.iter().any(is_earlier)
}

/// Returns the intake rows that concern a pool, in the order of their revisions, from those of its own intake and of its
/// home pools: jobs that it runs with their cancels, and all rows of its own intake. Rows after revision `until` are left
/// out: an earlier row of the same id may be missing, and the feed brings both in their order.
pub fn rows_of_pool(pool: &str, mut all: Vec<StoredRow>, until: Revision) -> Vec<StoredRow> {
    all.retain(|row| row.revision <= until);
    all.sort_unstable_by_key(|row| row.revision);
    let mut runs_here: HashMap<String, bool> = HashMap::new();
    for row in all.iter().filter(|row| is_job_key(&row.key)) {
        let id = row.key.clone();
        runs_here
            .entry(id)
            .or_insert_with(|| running_pool(row) == pool);
    }
    all.retain(|row| {
        let id = cancelled_job(&row.key).unwrap_or(&row.key);
        pool_of_part(&row.part) == pool || runs_here.get(id).copied().unwrap_or(false)
    });
    all
}

/// Ids in a pool's intake whose jobs other pools run, with the partition of the job's row.
#[derive(Clone, Debug, Default)]
pub struct GuestIds {
    part_by_id: BTreeMap<String, String>,
}

impl GuestIds {
    /// Notes the first or a later row under an id that no job of the pool has. Returns whether another pool runs the job.
    pub fn note(&mut self, row: &StoredRow) -> bool {
        if self.part_by_id.contains_key(&row.key) {
            return true;
        }
        let is_guest = guest_of(row).is_some();
        if is_guest {
            self.part_by_id.insert(row.key.clone(), row.part.clone());
        }
        is_guest
    }

    /// Notes that a row was removed.
    pub fn note_removed(&mut self, row: &StoredRow) {
        if self.part_by_id.get(&row.key) == Some(&row.part) {
            self.part_by_id.remove(&row.key);
        }
    }
}

/// Returns the key of a queue's row. Callers know a queue by its address, which may be longer than a key.
pub fn queue_key(address: &str) -> String {
    format!("{:016x}", fnv1a(address.bytes()))
}

#[derive(Clone, Debug)]
struct KnownQueue {
    /// Revision of the row in the partition that decides; [`ABSENT`] if it is not known.
    revision: Revision,
    pools: Vec<String>,
}

/// What is known here of queues and their pools. A home pool never changes and pools are only added, so this may be older
/// than the store.
#[derive(Clone, Debug, Default)]
pub struct KnownQueues {
    by_key: BTreeMap<String, KnownQueue>,
    /// Guests and home pools that are recorded with the guests.
    guests: BTreeSet<(String, String)>,
}

impl KnownQueues {
    /// Returns where a job is stored under a route; `None` if the home pool is not known.
    pub fn storage(&self, route: &QueueRoute) -> Option<JobStorage> {
        let home = self.pools(&route.address).first()?;
        Some(JobStorage::new(home, &route.pool))
    }

    /// Returns whether jobs may be stored so: the owners of a guest must know where.
    pub fn may_store(&self, storage: &JobStorage) -> bool {
        let key = (storage.pool.clone(), storage.home.clone());
        !storage.is_guest() || self.guests.contains(&key)
    }

    /// Notes that a home pool is recorded with a guest.
    pub fn note_guest(&mut self, storage: &JobStorage) {
        self.guests
            .insert((storage.pool.clone(), storage.home.clone()));
    }

    /// Returns whether a route is recorded.
    pub fn is_recorded(&self, route: &QueueRoute) -> bool {
        self.pools(&route.address).contains(&route.pool)
    }

    /// Returns the recorded pools of a queue, the home pool first; none if it is not known.
    pub fn pools(&self, address: &str) -> &[String] {
        let known = self.by_key.get(&queue_key(address));
        known.map_or(&[], |known| &known.pools)
    }

    /// Returns the home pools of the queues that were routed to a pool.
    pub fn homes_of(&self, pool: &str) -> BTreeSet<String> {
        let queues = self.by_key.values();
        let routed = queues.filter(|queue| queue.pools.iter().any(|p| p == pool));
        routed.map(|queue| queue.pools[0].clone()).collect()
    }

    /// Applies a row of a queue as read from the store, or returns why it can't be decoded.
    pub fn apply_row(&mut self, row: &StoredRow) -> Result<(), String> {
        let Some(value) = &row.value else {
            return Ok(());
        };
        let QueueRow { pools, .. } = rows::decode(value)?;
        if pools.is_empty() {
            return Err("a queue without pools".to_string());
        }
        let known = self.by_key.entry(row.key.clone()).or_insert(KnownQueue {
            revision: ABSENT,
            pools: Vec::new(),
        });
        if row.part == QUEUE_PARTS[0] {
            known.revision = known.revision.max(row.revision);
        }
        if known.pools.len() < pools.len() {
            known.pools = pools;
        }
        Ok(())
    }

    /// Returns the transaction that records the first routes that are not recorded as far as is known, on condition that
    /// the rows are as known here; `None` if all are recorded.
    pub fn registration(&self, routes: &[QueueRoute]) -> Option<RowTx> {
        let mut tx = RowTx {
            part: QUEUE_PARTS[0].to_string(),
            ..RowTx::default()
        };
        let mut unrecorded: BTreeMap<String, Vec<&QueueRoute>> = BTreeMap::new();
        for route in routes.iter().filter(|route| !self.is_recorded(route)) {
            let key = queue_key(&route.address);
            unrecorded.entry(key).or_default().push(route);
        }
        for (key, routes) in unrecorded.into_iter().take(REGISTERED_MAX) {
            let known = self.by_key.get(&key);
            tx.guards.push(Guard {
                table: Table::Queues,
                key: key.clone(),
                revision: known.map_or(ABSENT, |known| known.revision),
            });
            let mut pools = known.map_or(Vec::new(), |known| known.pools.clone());
            pools.extend(routes.iter().map(|route| route.pool.clone()));
            let row = QueueRow {
                address: routes[0].address.clone(),
                pools,
            };
            tx.writes.push(Write {
                table: Table::Queues,
                key,
                value: Some(rows::encode(&row)),
            });
        }
        (!tx.writes.is_empty()).then_some(tx)
    }

    /// Applies a registration that was committed.
    pub fn note_registered(&mut self, tx: &RowTx) {
        for write in &tx.writes {
            let row = StoredRow {
                // The revision is left open: the store's answer may name a later one.
                part: String::new(),
                key: write.key.clone(),
                value: write.value.clone(),
                revision: ABSENT,
            };
            // The row was encoded here.
            let _ = self.apply_row(&row);
        }
    }
}

/// Returns the transactions that copy a registration to the other partitions.
pub fn copies_of(registration: &RowTx) -> Vec<RowTx> {
    let copies = QUEUE_PARTS[1..].iter().map(|part| RowTx {
        part: part.to_string(),
        guards: Vec::new(),
        writes: registration.writes.clone(),
    });
    copies.collect()
}
