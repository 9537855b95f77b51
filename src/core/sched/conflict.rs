//! Interprets a conflict that a batch of progress met in the store.
//!
//! An answer of the store names the store's newest revision, which equals the transaction's own only if nothing else
//! was written in between. A revision taken from an answer is therefore an upper bound, and only the row itself has the
//! exact one. Rows that are as this owner wrote them, at a lower revision than it assumed, were changed by nobody: the
//! batch takes over their exact revisions and is sent again. [`commit`](super::commit) and
//! [`owner_lease`](super::owner_lease) call this module.

use super::owner_lease::OwnerLease;
use super::pool_state::PoolState;
use super::rows::{self, OwnerRow};
use super::state::Batch;
use crate::port::fleet::{Guard, Revision, StoredRow, Table};
use crate::util::fnv1a;

/// Outcome of a batch that met a conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An earlier send of the batch took effect, at this revision.
    Done(Revision),
    /// Nobody else changed its rows: it is sent again with the revisions found.
    Again,
    /// Another entry owns the pool.
    PoolLost,
    /// The rows differ from the in-memory state.
    Diverged,
}

/// Returns a hash of a row's bytes, used to detect changes by others.
pub fn digest(value: Option<&[u8]>) -> u64 {
    value.map_or(0, |bytes| fnv1a(bytes.iter().copied()))
}

/// Returns whether an owner row was written by this process, and this process is also the owner seen last.
pub fn is_ours(lease: &OwnerLease, me: &str, row: &StoredRow) -> bool {
    let owner = rows::decode::<OwnerRow>(row.value.as_deref().unwrap_or_default());
    // A row that cannot be decoded belongs to no entry.
    owner.is_ok_and(|o| o.entry == me && lease.owner.entry == me && o.nonce == lease.owner.nonce)
}

/// Judges a conflict, and corrects the batch if it is to be sent again.
pub fn judge_conflict(
    batch: &mut Batch,
    pool_state: &mut PoolState,
    found: &[(Table, StoredRow)],
    is_ours: impl Fn(&StoredRow) -> bool,
) -> Verdict {
    let owner_rows = || found.iter().filter(|(table, _)| *table == Table::Owners);
    let is_known =
        |row: &StoredRow| guard_of(batch, row).is_some_and(|g| g.revision == row.revision);
    if owner_rows().any(|(_, row)| !is_known(row) && !is_ours(row)) {
        return Verdict::PoolLost;
    }
    let progress = found.iter().filter(|(table, _)| *table == Table::Progress);
    let progress: Vec<&StoredRow> = progress.map(|(_, row)| row).collect();
    if let Some(revision) = committed_revision(batch, &progress) {
        return Verdict::Done(revision);
    }
    if !progress.iter().all(|row| is_as_recorded(pool_state, row)) {
        return Verdict::Diverged;
    }
    match correct_revisions(batch, pool_state, found) {
        true => Verdict::Again,
        false => Verdict::Diverged,
    }
}

/// Returns the key of the first row whose revision is not the one that the batch expects; empty if there is none.
pub fn first_unexpected_key(batch: &Batch, found: &[(Table, StoredRow)]) -> String {
    let is_unexpected =
        |row: &&StoredRow| guard_of(batch, row).is_some_and(|g| g.revision != row.revision);
    let mut rows = found.iter().map(|(_, row)| row);
    rows.find(is_unexpected)
        .map(|row| row.key.clone())
        .unwrap_or_default()
}

fn guard_of<'a>(batch: &'a Batch, row: &StoredRow) -> Option<&'a Guard> {
    batch.tx.guards.iter().find(|guard| guard.key == row.key)
}

/// Returns the revision of the batch if all progress rows found are as the batch wrote them.
fn committed_revision(batch: &Batch, progress: &[&StoredRow]) -> Option<Revision> {
    let is_written = |row: &&&StoredRow| {
        let mut writes = batch.tx.writes.iter();
        writes.any(|w| w.key == row.key && w.value == row.value)
    };
    let written = progress.iter().filter(is_written).count();
    (written == progress.len()).then_some(progress.last()?.revision)
}

/// Returns whether a progress row is as this owner last recorded it.
fn is_as_recorded(pool_state: &PoolState, row: &StoredRow) -> bool {
    let job = pool_state
        .jobs_by_id
        .get(&row.key)
        .and_then(|key| pool_state.jobs.get(*key));
    job.is_some_and(|job| job.recorded_digest == digest(row.value.as_deref()))
}

/// Takes over the revisions found, and returns whether any of them differs from the one that the batch had.
fn correct_revisions(
    batch: &mut Batch,
    pool_state: &mut PoolState,
    found: &[(Table, StoredRow)],
) -> bool {
    let mut has_changed = false;
    for (table, row) in found {
        let mut guards = batch.tx.guards.iter_mut();
        let Some(guard) = guards.find(|g| g.table == *table && g.key == row.key) else {
            continue;
        };
        has_changed |= guard.revision != row.revision;
        guard.revision = row.revision;
        let job = pool_state
            .jobs_by_id
            .get(&row.key)
            .and_then(|key| pool_state.jobs.get_mut(*key));
        if let Some(job) = job.filter(|_| *table == Table::Progress) {
            job.revision = row.revision;
        }
    }
    has_changed
}
