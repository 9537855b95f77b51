//! Transfers hosts out of their pool: the pool's owner offers them, and the entry that orders hosts takes them.
//!
//! One row per pool holds both, and each side changes it on condition of its revision. A host on offer runs nothing
//! and gets nothing. Its owner may use it again once the offer is off the row; the other side may move it once it
//! is taken. So neither side depends on the age of its information, however slow the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::owner_lease::epoch_guard;
use super::rows;
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, Table, Write};

/// Key of a pool's row of offers.
pub const OFFERS_KEY: &str = "offers";

/// A host that was taken from its pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Id of the worker that was on the host when the host was offered.
    #[serde(rename = "life")]
    pub worker_id: String,
    /// Epoch of the entry that took the host.
    pub epoch: Revision,
}

/// A pool's row of offers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffersRow {
    /// Hosts on offer, and the id of the worker on each.
    pub offered: BTreeMap<String, String>,
    /// Hosts that were taken and may be moved.
    pub taken: BTreeMap<String, Taken>,
}

/// A pool's offers as an entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Offers {
    /// The newest row.
    pub row: OffersRow,
    /// The row's revision, or a newer one that an answer named.
    pub revision: Revision,
    /// The owner's change that is being written.
    pub pending: Option<OffersRow>,
    /// Offers whose write got no answer: they may still take effect as long as the row has not changed.
    pub unsure: BTreeMap<String, String>,
}

impl Offers {
    /// Applies the row as it was read, unless it is older than the known one.
    pub fn apply_row(&mut self, row: &StoredRow) -> Result<(), String> {
        if row.revision <= self.revision {
            return Ok(());
        }
        self.row = rows::decode(row.value.as_deref().unwrap_or_default())?;
        self.revision = row.revision;
        self.unsure.clear();
        Ok(())
    }

    /// Applies the row that a conflict returned. If it equals the known row at a lower revision, an answer had
    /// named a newer revision than the row's, and a condition on that revision would never be met. A late conflict
    /// may return an older row, which differs from the known one.
    pub fn apply_conflict_row(&mut self, row: &StoredRow) -> Result<(), String> {
        let found: OffersRow = rows::decode(row.value.as_deref().unwrap_or_default())?;
        if found == self.row {
            self.revision = row.revision;
        }
        self.apply_row(row)
    }

    /// Whether the host is on offer, or may be, whichever worker the offer names: the entry that takes the host may not
    /// know of a later worker.
    pub fn is_offered(&self, host: &str) -> bool {
        let is_in = |map: &BTreeMap<String, String>| map.contains_key(host);
        let pending = self.pending.as_ref().is_some_and(|p| is_in(&p.offered));
        is_in(&self.row.offered) || is_in(&self.unsure) || pending
    }

    /// Whether the host was taken while this worker was on it.
    pub fn is_taken(&self, host: &str, worker_id: &str) -> bool {
        let taken = self.row.taken.get(host);
        taken.is_some_and(|taken| taken.worker_id == worker_id)
    }

    /// Whether the host is on offer, or may be, or was taken while this worker was on it: nothing may run there.
    pub fn is_given(&self, host: &str, worker_id: &str) -> bool {
        self.is_offered(host) || self.is_taken(host, worker_id)
    }

    /// Returns the owner's change to the offers, if one is needed and none is being written. `is_known` says
    /// whether the pool state has a worker of this id: a taken host whose worker is gone needs no mark any more.
    pub fn prepare_change(
        &mut self,
        part: &str,
        epoch: Revision,
        offered: BTreeMap<String, String>,
        is_known: impl Fn(&str) -> bool,
    ) -> Option<RowTx> {
        if self.pending.is_some() || (offered == self.row.offered && self.unsure.is_empty()) {
            return None;
        }
        let mut row = self.row.clone();
        row.offered = offered;
        row.taken.retain(|_, taken| is_known(&taken.worker_id));
        let mut tx = self.row_tx(part, &row);
        tx.guards.push(epoch_guard(epoch));
        self.pending = Some(row);
        Some(tx)
    }

    /// Applies the owner's change, which was written.
    pub fn apply_change(&mut self, revision: Revision) {
        let Some(row) = self.pending.take() else {
            return;
        };
        self.replace_row(row, revision);
    }

    /// Applies a row that was written in place of the known one.
    pub fn replace_row(&mut self, row: OffersRow, revision: Revision) {
        if revision > self.revision {
            self.row = row;
            self.revision = revision;
            self.unsure.clear();
        }
    }

    /// Keeps the offers of the owner's change, which got no answer, as unsure.
    pub fn keep_unsure(&mut self) {
        let Some(row) = self.pending.take() else {
            return;
        };
        let known = &self.row.offered;
        let new = row.offered.into_iter();
        let new = new.filter(|(host, _)| !known.contains_key(host));
        self.unsure.extend(new);
    }

    /// Returns the transaction that replaces the known row by `row`.
    pub fn row_tx(&self, part: &str, row: &OffersRow) -> RowTx {
        RowTx {
            part: part.to_string(),
            guards: vec![Guard {
                table: Table::Owners,
                key: OFFERS_KEY.to_string(),
                revision: self.revision,
            }],
            writes: vec![Write {
                table: Table::Owners,
                key: OFFERS_KEY.to_string(),
                value: Some(rows::encode(row)),
            }],
        }
    }
}
