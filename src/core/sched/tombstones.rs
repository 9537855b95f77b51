//! Keeps a job out of the store once its cancel was answered and it had not been found there.
//!
//! The store may apply the insertion of a job seconds after the entry gave up on it, and callers repeat submissions. A
//! cancel that finds no job therefore writes a tombstone into both partitions in which the job can be stored. A job is
//! stored only where it has no tombstone, and a tombstone is written only where the job is not stored, so in each
//! partition one excludes the other, whichever entry sends them and whichever pool the queue is routed to.
//!
//! A tombstone concerns the jobs of one account. The owner of the home pool removes it once no insertion can be on its
//! way any more.

use std::collections::BTreeMap;

use super::limits::FINISHED_KEPT_MS;
use super::rows::{intake_guard, intake_parts_of, intake_write, tombstone_key};
use crate::clock::Millis;
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, ABSENT};

/// Returns the transactions that keep a caller's job out of its two partitions of the home pool: the job of the caller's
/// account, or one without an account, which every caller may cancel.
pub fn tombstone_txs(home: &str, id: &str, account: Option<&str>) -> [RowTx; 2] {
    let mut keys = vec![tombstone_key(id, account)];
    if account.is_some() {
        keys.push(tombstone_key(id, None));
    }
    intake_parts_of(home, id).map(|part| RowTx {
        part,
        guards: vec![intake_guard(id, ABSENT)],
        // Written again each time, so that the latest cancel decides how long the tombstone is kept.
        writes: keys
            .iter()
            .map(|key| intake_write(key, Some(b"{}".to_vec())))
            .collect(),
    })
}

/// Returns the condition that a job of the account has no tombstone.
pub fn tombstone_guard(id: &str, account: Option<&str>) -> Guard {
    intake_guard(&tombstone_key(id, account), ABSENT)
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: Revision,
    /// When this owner first saw the row at this revision.
    seen_ms: Millis,
}

/// The tombstones in a pool's intake, as its owner knows them.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    by_part: BTreeMap<String, BTreeMap<String, Tombstone>>,
}

impl Tombstones {
    /// Notes the row of a tombstone as it was read, or that it was removed.
    pub fn note(&mut self, row: &StoredRow, now_ms: Millis) {
        if row.value.is_none() {
            self.forget(&row.part, &row.key);
            return;
        }
        let in_part = self.by_part.entry(row.part.clone()).or_default();
        let known = in_part.get(&row.key);
        if known.is_none_or(|known| known.revision < row.revision) {
            let tombstone = Tombstone {
                revision: row.revision,
                seen_ms: now_ms,
            };
            in_part.insert(row.key.clone(), tombstone);
        }
    }

    /// Forgets a tombstone that is not in the store any more.
    pub fn forget(&mut self, part: &str, key: &str) {
        if let Some(in_part) = self.by_part.get_mut(part) {
            in_part.remove(key);
            if in_part.is_empty() {
                self.by_part.remove(part);
            }
        }
    }

    /// Returns the number of tombstones in each partition that may be removed. They are kept as long as finished jobs, so
    /// an id is taken for the same time whether its job was stored or not.
    pub fn count_old(&self, now_ms: Millis) -> BTreeMap<&String, usize> {
        let parts = self.by_part.iter();
        let counts = parts.map(|(part, in_part)| (part, old_in(in_part, now_ms).count()));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Adds the removal of up to `removed_max` old tombstones of the transaction's partition, each on condition that no
    /// cancel has written it again.
    pub fn add_removals(&self, tx: &mut RowTx, removed_max: usize, now_ms: Millis) {
        let in_part = self.by_part.get(&tx.part).into_iter();
        let old = in_part.flat_map(|in_part| old_in(in_part, now_ms));
        for (key, tombstone) in old.take(removed_max) {
            tx.guards.push(intake_guard(key, tombstone.revision));
            tx.writes.push(intake_write(key, None));
        }
    }
}

fn old_in(
    in_part: &BTreeMap<String, Tombstone>,
    now_ms: Millis,
) -> impl Iterator<Item = (&String, &Tombstone)> {
    let is_old = move |tombstone: &Tombstone| now_ms > tombstone.seen_ms + FINISHED_KEPT_MS;
    in_part.iter().filter(move |(_, t)| is_old(t))
}
