//! What a conflict means for the transaction that met it.
//!
//! Answers of the store name its newest revision, which is a transaction's own only where nothing else was written in
//! between. So a revision taken from an answer is an upper bound, and the exact one is known from the row alone. Rows that
//! are as this owner wrote them, at a lower revision than it thought, were touched by nobody: their exact revisions are taken
//! over, and the transaction goes again.

use super::owner_lease::OwnerLease;
use super::pool_state::PoolState;
use super::rows::{self, OwnerRow};
use super::state::Batch;
use crate::port::fleet::{Guard, Revision, StoredRow, Table};
use crate::util::fnv1a;

/// What became of a batch that met a conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An earlier sending of it took effect, at this revision.
    Done(Revision),
    /// Nobody touched its rows: it goes again, on the revisions found.
    Again,
    /// Another entry owns the pool.
    PoolLost,
    /// The rows are not what the books say.
    Diverged,
}

/// Tells a row's bytes from others.
pub fn digest(value: Option<&[u8]>) -> u64 {
    value.map_or(0, |bytes| fnv1a(bytes.iter().copied()))
}

/// Whether an owner's row was written by this process, which is also the owner that was seen last.
pub fn is_ours(lease: &OwnerLease, me: &str, row: &StoredRow) -> bool {
    let owner = rows::decode::<OwnerRow>(row.value.as_deref().unwrap_or_default());
    // A row that can't be read is nobody's.
    owner.is_ok_and(|o| o.entry == me && lease.owner.entry == me && o.nonce == lease.owner.nonce)
}

/// Judges a conflict, and corrects the batch where it goes again.
pub fn judge(
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
    if let Some(revision) = done_at(batch, &progress) {
        return Verdict::Done(revision);
    }
    if !progress.iter().all(|row| is_as_recorded(pool_state, row)) {
        return Verdict::Diverged;
    }
    match correct(batch, pool_state, found) {
        true => Verdict::Again,
        false => Verdict::Diverged,
    }
}

/// The key of the first row that is not at the revision that the batch expects; empty where none is.
pub fn unexpected(batch: &Batch, found: &[(Table, StoredRow)]) -> String {
    let is_odd =
        |row: &&StoredRow| guard_of(batch, row).is_some_and(|g| g.revision != row.revision);
    let mut rows = found.iter().map(|(_, row)| row);
    rows.find(is_odd)
        .map(|row| row.key.clone())
        .unwrap_or_default()
}

fn guard_of<'a>(batch: &'a Batch, row: &StoredRow) -> Option<&'a Guard> {
    batch.tx.guards.iter().find(|guard| guard.key == row.key)
}

/// The revision of the batch, if all rows of progress are as it wrote them.
fn done_at(batch: &Batch, progress: &[&StoredRow]) -> Option<Revision> {
    let is_written = |row: &&&StoredRow| {
        let mut writes = batch.tx.writes.iter();
        writes.any(|w| w.key == row.key && w.value == row.value)
    };
    let written = progress.iter().filter(is_written).count();
    (written == progress.len()).then_some(progress.last()?.revision)
}

/// Whether a row of progress is as this owner last knew it on record.
fn is_as_recorded(pool_state: &PoolState, row: &StoredRow) -> bool {
    let job = pool_state
        .by_id
        .get(&row.key)
        .and_then(|key| pool_state.jobs.get(*key));
    job.is_some_and(|job| job.recorded_digest == digest(row.value.as_deref()))
}

/// Takes over the revisions found; says whether one was another than the batch had.
fn correct(batch: &mut Batch, pool_state: &mut PoolState, found: &[(Table, StoredRow)]) -> bool {
    let mut is_any = false;
    for (table, row) in found {
        let mut guards = batch.tx.guards.iter_mut();
        let Some(guard) = guards.find(|g| g.table == *table && g.key == row.key) else {
            continue;
        };
        is_any |= guard.revision != row.revision;
        guard.revision = row.revision;
        let job = pool_state
            .by_id
            .get(&row.key)
            .and_then(|key| pool_state.jobs.get_mut(*key));
        if let Some(job) = job.filter(|_| *table == Table::Progress) {
            job.revision = row.revision;
        }
    }
    is_any
}
