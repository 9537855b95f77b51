//! Hosts that leave their pool: offered by the pool's owner, taken by the entry that orders hosts.
//!
//! One row a pool holds both, and each side changes it by condition on its revision. A host on offer carries
//! nothing and gets nothing. Its owner may use it again once the offer is off the row; the other side may move
//! it once it is taken. So neither acts on how old a word is, however slow the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::owner_lease::epoch_guard;
use super::rows;
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, Table, Write};

/// Key of a pool's row of offers.
pub const OFFERS_KEY: &str = "offers";

/// A host that was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// The worker's life that was on offer.
    pub life: String,
    /// Epoch of the entry that orders hosts.
    pub epoch: Revision,
}

/// What the row holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffersRow {
    /// Hosts on offer, and the worker's life on each.
    pub offered: BTreeMap<String, String>,
    /// Hosts that were taken and may be moved.
    pub taken: BTreeMap<String, Taken>,
}

/// A pool's offers as an entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Offers {
    /// The newest row.
    pub row: OffersRow,
    /// Its revision.
    pub revision: Revision,
    /// The owner's change that is out.
    pub pending: Option<OffersRow>,
    /// Offers whose writing got no answer: they may still take effect while the row is the same.
    pub unsure: BTreeMap<String, String>,
}

impl Offers {
    /// Takes in the row as read.
    pub fn observe(&mut self, row: &StoredRow) -> Result<(), String> {
        if row.revision <= self.revision {
            return Ok(());
        }
        self.row = rows::decode(row.value.as_deref().unwrap_or_default())?;
        self.revision = row.revision;
        self.unsure.clear();
        Ok(())
    }

    /// Takes in the row as a conflict found it. As this entry knows it, at a lower revision: an answer told a newer one than
    /// the row's, and no condition on that is ever met. A conflict that comes late may tell of an older row; that one differs.
    pub fn observe_found(&mut self, row: &StoredRow) -> Result<(), String> {
        let found: OffersRow = rows::decode(row.value.as_deref().unwrap_or_default())?;
        if found == self.row {
            self.revision = row.revision;
        }
        self.observe(row)
    }

    /// Whether the host is on offer, or may be; by whichever life, since whoever takes it may know of no later one.
    pub fn is_offered(&self, host: &str) -> bool {
        let is_in = |map: &BTreeMap<String, String>| map.contains_key(host);
        let pending = self.pending.as_ref().is_some_and(|p| is_in(&p.offered));
        is_in(&self.row.offered) || is_in(&self.unsure) || pending
    }

    /// Whether this life of the host was taken.
    pub fn is_taken(&self, host: &str, life: &str) -> bool {
        let taken = self.row.taken.get(host);
        taken.is_some_and(|taken| taken.life == life)
    }

    /// Whether this life of the host is on offer, or may be, or was taken: nothing may run there.
    pub fn is_given(&self, host: &str, life: &str) -> bool {
        self.is_offered(host) || self.is_taken(host, life)
    }

    /// The owner's change to what it wants on offer, if one is needed and none is out. `is_known` says whether
    /// a life is in the owner's books: what was taken and is gone from there needs no mark any more.
    pub fn change(
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
        row.taken.retain(|_, taken| is_known(&taken.life));
        let mut tx = self.write(part, &row);
        tx.guards.push(epoch_guard(epoch));
        self.pending = Some(row);
        Some(tx)
    }

    /// The owner's change was written.
    pub fn changed(&mut self, revision: Revision) {
        let Some(row) = self.pending.take() else {
            return;
        };
        self.took(row, revision);
    }

    /// A row was written in place of the one that was known.
    pub fn took(&mut self, row: OffersRow, revision: Revision) {
        if revision > self.revision {
            self.row = row;
            self.revision = revision;
            self.unsure.clear();
        }
    }

    /// The owner's change got no answer.
    pub fn left_open(&mut self) {
        let Some(row) = self.pending.take() else {
            return;
        };
        let known = &self.row.offered;
        let new = row.offered.into_iter();
        let new = new.filter(|(host, _)| !known.contains_key(host));
        self.unsure.extend(new);
    }

    /// The transaction that puts `row` in place of the one that is known.
    pub fn write(&self, part: &str, row: &OffersRow) -> RowTx {
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
