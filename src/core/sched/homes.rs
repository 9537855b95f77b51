//! Decides where the jobs of a queue are stored, so that an id names one job whichever pool the queue is routed to.
//!
//! The first pool that a queue is ever routed to is its home pool. A job that runs in another pool is stored in that
//! pool, and the transaction that stores it also puts a reference under the job's id into both of the job's intake
//! partitions of the home pool. Every submission requires that the id is absent from the home pool. Of two submissions
//! by entries that route the queue differently, only one takes effect, even if the store applies a write late.
//!
//! The pools of each queue are recorded in the store before a job of the queue is stored in one of them, so an entry
//! that has never seen an earlier configuration knows the home pool.

use std::collections::BTreeMap;

use super::rows::{self, intake_parts_of, IntakeRow, JobReference, QueueRow};
use crate::port::fleet::{Guard, QueueRoute, Revision, RowTx, StoredRow, Table, Write, ABSENT};
use crate::util::fnv1a;

/// Partitions that each hold the rows of all queues. A read needs one of them, and a change all of them.
pub const QUEUE_PARTS: [&str; 3] = ["0", "1", "2"];

/// Most queues that one transaction registers: each takes a condition and a write in every partition, and the store
/// accepts 100 of both together.
const REGISTERED_MAX: usize = 16;

/// The pools in which the jobs of a queue are stored.
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
    pub fn is_away(&self) -> bool {
        self.home != self.pool
    }

    /// Returns the transactions, to be committed together, that store a job unless its id is taken. The job's row goes
    /// into the first or second of its intake partitions, as `part` says.
    pub fn insert_txs(&self, id: &str, job: Vec<u8>, part: usize) -> Vec<RowTx> {
        let [first, second] = intake_parts_of(&self.pool, id);
        let part = if part.is_multiple_of(2) {
            first
        } else {
            second
        };
        let mut txs = vec![insert_tx(part, id, job)];
        if self.is_away() {
            let reference = rows::encode(&JobReference {
                stored_in: self.pool.clone(),
            });
            let home_parts = intake_parts_of(&self.home, id);
            txs.extend(home_parts.map(|part| insert_tx(part, id, reference.clone())));
        }
        txs
    }
}

/// Returns the transaction that inserts an intake row if it does not exist yet.
pub fn insert_tx(part: String, key: &str, value: Vec<u8>) -> RowTx {
    RowTx {
        part,
        guards: vec![Guard {
            table: Table::Intake,
            key: key.to_string(),
            revision: ABSENT,
        }],
        writes: vec![Write {
            table: Table::Intake,
            key: key.to_string(),
            value: Some(value),
        }],
    }
}

/// What stands under an id that is taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Existing {
    /// The job's row.
    Job(Vec<u8>),
    /// A reference to the pool that stores the job.
    StoredIn(String),
}

/// Returns what the rows of a conflict hold: the job itself if one of them is its row.
pub fn find_existing(conflict: Vec<(Table, StoredRow)>) -> Option<Existing> {
    let values = conflict.into_iter().filter_map(|(_, row)| row.value);
    let mut reference = None;
    for value in values {
        match rows::decode_intake(&value) {
            Ok(IntakeRow::Reference(r)) => reference = Some(Existing::StoredIn(r.stored_in)),
            // A row that can't be decoded takes the id as well.
            Ok(IntakeRow::Job(_)) | Err(_) => return Some(Existing::Job(value)),
        }
    }
    reference
}

/// Returns the key of a queue's row. Callers know a queue by its address, which may be longer than a key.
pub fn queue_key(address: &str) -> String {
    format!("{:016x}", fnv1a(address.bytes()))
}

#[derive(Clone, Debug)]
struct KnownQueue {
    revision: Revision,
    pools: Vec<String>,
}

/// What is known here of the recorded pools of queues. A home pool never changes and pools are only added, so this may
/// be older than the store.
#[derive(Clone, Debug, Default)]
pub struct KnownQueues {
    by_key: BTreeMap<String, KnownQueue>,
}

impl KnownQueues {
    /// Returns where a job is stored under a route; `None` if the route is not known to be recorded.
    pub fn storage(&self, route: &QueueRoute) -> Option<JobStorage> {
        let pools = self.pools(&route.address);
        let is_recorded = pools.contains(&route.pool);
        is_recorded.then(|| JobStorage::new(pools[0].clone(), route.pool.clone()))
    }

    /// Returns the recorded pools of a queue, the home pool first; none if it is not known.
    pub fn pools(&self, address: &str) -> &[String] {
        let known = self.by_key.get(&queue_key(address));
        known.map_or(&[], |known| &known.pools)
    }

    /// Applies a row as read from the store, or returns why it can't be decoded.
    pub fn apply_row(&mut self, row: &StoredRow) -> Result<(), String> {
        let Some(value) = &row.value else {
            return Ok(());
        };
        let QueueRow { pools, .. } = rows::decode(value)?;
        if pools.is_empty() {
            return Err("a queue without pools".to_string());
        }
        let revision = row.revision;
        let is_older = |known: &KnownQueue| known.revision >= revision;
        if !self.by_key.get(&row.key).is_some_and(is_older) {
            let known = KnownQueue { revision, pools };
            self.by_key.insert(row.key.clone(), known);
        }
        Ok(())
    }

    /// Returns the transactions, to be committed together, that record the first of the routes that are not known yet,
    /// and how many routes they record; `None` if all are known. The condition is that the rows are as known here.
    pub fn registration(&self, routes: &[QueueRoute]) -> Option<(Vec<RowTx>, usize)> {
        let unknown = routes.iter().filter(|route| self.storage(route).is_none());
        let unknown: Vec<&QueueRoute> = unknown.take(REGISTERED_MAX).collect();
        if unknown.is_empty() {
            return None;
        }
        let txs = QUEUE_PARTS.map(|part| RowTx {
            part: part.to_string(),
            guards: unknown.iter().map(|route| self.guard(route)).collect(),
            writes: unknown.iter().map(|route| self.write(route)).collect(),
        });
        Some((txs.into(), unknown.len()))
    }

    fn guard(&self, route: &QueueRoute) -> Guard {
        let key = queue_key(&route.address);
        let revision = self.by_key.get(&key).map_or(ABSENT, |k| k.revision);
        Guard {
            table: Table::Queues,
            key,
            revision,
        }
    }

    fn write(&self, route: &QueueRoute) -> Write {
        let mut pools = self.pools(&route.address).to_vec();
        pools.push(route.pool.clone());
        let row = QueueRow {
            address: route.address.clone(),
            pools,
        };
        Write {
            table: Table::Queues,
            key: queue_key(&route.address),
            value: Some(rows::encode(&row)),
        }
    }
}
