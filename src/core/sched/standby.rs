//! Bounds how many entries follow the owners of pools, whatever the size of the fleet.
//!
//! Owners write heartbeats and offers many times a second, and an entry must follow them to take a pool over. If every
//! entry did, the store would answer the same rows to each of them. So entries without a pool compete for [`SLOTS`]
//! slots, which are rows in the store. Owners and holders of slots follow the owners; all other entries watch the slots
//! alone, and take one that lapses. While few slots are held, as in a small fleet, every entry follows the owners.
//!
//! A slot grants no right: a claim of a pool depends on the owner rows alone, so two entries that both believe to hold a
//! slot do no harm. The reducer calls [`settle`] after each event.

use serde::{Deserialize, Serialize};

use super::claim::Claimant;
use super::owner_lease::OwnerLease;
use super::rows;
use super::state::{Effect, State};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, Table, TxOutcome, Write};
use crate::util::fnv1a;

/// Number of slots. If a third of all entries ends at once, all holders are among them in one case of 6,561.
pub const SLOTS: usize = 8;

/// With fewer slots held by others than this, an entry follows the owners without a slot.
const HELD_MIN: usize = SLOTS / 2;

/// Partition of the slots' rows.
pub const STANDBY_PART: &str = "standbys";

/// Interval at which a holder renews its slot.
const RENEW_MS: Millis = 4_000;

/// A slot that has not changed for this long, as far as this entry has read, is vacant: three renewals.
const LEASE_MS: Millis = 3 * RENEW_MS;

/// Range over which entries spread their attempts to take a slot. At the start of a fleet a few entries try in the time
/// that a row takes to reach the others.
const SPREAD_MS: Millis = 3_000;

/// Pause before a renewal or an attempt that the store refused or did not answer is repeated.
const RETRY_MS: Millis = 1_000;

/// A slot's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandbyRow {
    /// Name of the entry that holds the slot; empty for a released slot.
    pub entry: String,
    /// Distinguishes successive processes of the entry.
    pub nonce: u64,
    /// Increases with each renewal.
    pub count: u64,
}

/// A slot as this entry knows it.
#[derive(Clone, Debug, Default)]
struct Slot {
    row: StandbyRow,
    /// Revision of the row, or a newer one that an answer named.
    revision: Revision,
    /// When this entry saw the row change.
    changed_ms: Millis,
}

/// A write of a slot that is not answered yet.
#[derive(Clone, Debug)]
struct Pending {
    slot: usize,
    row: StandbyRow,
}

/// The slots as this entry knows them, and its own part in them.
#[derive(Clone, Debug, Default)]
pub struct Standbys {
    is_enabled: bool,
    slots: [Slot; SLOTS],
    /// When the slots were last read; `None` before the first reading.
    read_ms: Option<Millis>,
    /// The slot that this entry holds.
    own: Option<usize>,
    pending: Option<Pending>,
    /// Until when nothing is written, after the store refused a write or did not answer it.
    retry_ms: Millis,
    /// When this entry next writes a slot: its own, or the one that it tries to take.
    write_ms: Option<Millis>,
    /// Whether the entry followed the owners after the last event.
    was_following: bool,
}

impl Standbys {
    /// Returns slots of which nothing is known yet, in which the entry takes part.
    pub fn enabled() -> Self {
        Self {
            is_enabled: true,
            was_following: true,
            ..Self::default()
        }
    }

    /// Returns whether the entry takes part.
    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns when the reducer must be called next for the slots' sake.
    pub fn wake_ms(&self) -> Option<Millis> {
        let write_ms = self.write_ms.filter(|_| self.pending.is_none())?;
        Some(write_ms.max(self.retry_ms))
    }

    /// Returns whether all slots are held, as far as is known.
    pub fn is_full(&self) -> bool {
        (0..SLOTS).all(|slot| self.is_held(slot))
    }

    /// Returns whether a slot has a holder that renewed it recently before the last reading. The reading counts and not
    /// the current time, so an entry that was suspended does not take all slots for vacant.
    fn is_held(&self, slot: usize) -> bool {
        let known = &self.slots[slot];
        let lapses_ms = known.changed_ms + LEASE_MS;
        let is_live = self.read_ms.is_some_and(|read_ms| read_ms < lapses_ms);
        self.own == Some(slot) || (is_live && !known.row.entry.is_empty())
    }

    fn held_by_others(&self) -> usize {
        let others = (0..SLOTS).filter(|slot| self.own != Some(*slot));
        others.filter(|slot| self.is_held(*slot)).count()
    }

    /// Applies the slots' rows as read. After a time without readings (`is_continuous` is false), holders may have been
    /// unable to renew, so each slot counts as changed now.
    fn observe(
        &mut self,
        found: &[StoredRow],
        is_continuous: bool,
        me: &Holder<'_>,
        now_ms: Millis,
    ) {
        for row in found {
            let Some(slot) = slot_of_key(&row.key) else {
                continue;
            };
            if row.revision > self.slots[slot].revision {
                self.apply_row(slot, row, me, now_ms);
            }
        }
        if !is_continuous {
            for slot in &mut self.slots {
                slot.changed_ms = now_ms;
            }
        }
        self.read_ms = Some(now_ms);
    }

    fn apply_row(&mut self, slot: usize, row: &StoredRow, me: &Holder<'_>, now_ms: Millis) {
        // A row that can't be decoded has no holder. The next one overwrites it.
        let value = row.value.as_deref().unwrap_or_default();
        let decoded: StandbyRow = rows::decode(value).unwrap_or_default();
        let is_ours = me.is_of(&decoded);
        self.slots[slot] = Slot {
            row: decoded,
            revision: row.revision,
            changed_ms: now_ms,
        };
        match (is_ours, self.own) {
            // A write without an answer took effect.
            (true, None) => self.own = Some(slot),
            (false, Some(own)) if own == slot => self.own = None,
            _ => {}
        }
    }
}

/// This process as the holder of a slot.
struct Holder<'a> {
    entry: &'a str,
    nonce: u64,
}

impl Holder<'_> {
    fn is_of(&self, row: &StandbyRow) -> bool {
        row.entry == self.entry && row.nonce == self.nonce
    }
}

fn key_of_slot(slot: usize) -> String {
    slot.to_string()
}

fn slot_of_key(key: &str) -> Option<usize> {
    key.parse().ok().filter(|slot| *slot < SLOTS)
}

/// Returns whether the entry follows the owners of all pools: it owns a pool or is about to, it holds a slot, few others
/// do, or it has not seen yet that every pool has a live owner.
pub fn follows_owners(state: &State) -> bool {
    let standbys = &state.standbys;
    if !standbys.is_enabled || standbys.own.is_some() || standbys.held_by_others() < HELD_MIN {
        return true;
    }
    let has_claim =
        |lease: &OwnerLease| lease.claim.is_some() || lease.unsettled_claim_ms.is_some();
    let mut pools = state.pools.iter();
    if pools.any(|pool| pool.ownership.is_some() || has_claim(&pool.lease)) {
        return true;
    }
    let mut configured = state.config.pools.keys();
    let is_alive = |name: &String| state.pool(name).is_some_and(|p| p.lease.has_beaten);
    state.config.version == 0 || !configured.all(is_alive)
}

/// Applies the slots' rows as read.
pub(super) fn apply_rows(state: &mut State, found: &[StoredRow], is_continuous: bool, now: Now) {
    let me = Holder {
        entry: &state.me,
        nonce: state.nonce,
    };
    state.standbys.observe(found, is_continuous, &me, now.ms);
}

/// Applies the outcome of a write of a slot.
pub(super) fn apply_settled(
    state: &mut State,
    outcome: TxOutcome,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let me = Holder {
        entry: &state.me,
        nonce: state.nonce,
    };
    let standbys = &mut state.standbys;
    let Some(Pending { slot, row }) = standbys.pending.take() else {
        return;
    };
    let was_own = standbys.own;
    match outcome {
        TxOutcome::Committed(revision) => {
            standbys.own = (!row.entry.is_empty()).then_some(slot);
            standbys.slots[slot] = Slot {
                row,
                revision,
                changed_ms: now.ms,
            };
            standbys.write_ms = standbys.own.map(|_| now.ms + RENEW_MS);
        }
        TxOutcome::Conflict(found) => {
            for (_, row) in found {
                // An earlier answer may have named a newer revision than the row has.
                standbys.apply_row(slot, &row, &me, now.ms);
            }
            standbys.write_ms = standbys.own.map(|_| now.ms);
        }
        TxOutcome::Refused | TxOutcome::Unknown => {
            standbys.retry_ms = now.ms + RETRY_MS;
            standbys.write_ms = Some(standbys.retry_ms);
        }
    }
    log_change(state, was_own, out);
}

fn log_change(state: &State, was_own: Option<usize>, out: &mut Vec<Effect>) {
    let own = state.standbys.own;
    let (slot, code, why) = match (was_own, own) {
        (None, Some(slot)) => (
            slot,
            Code::StandbyTaken,
            "the entry follows the owners of pools",
        ),
        (Some(slot), None) => (
            slot,
            Code::StandbyLost,
            "the entry owns a pool, stops, or another one has the slot",
        ),
        _ => return,
    };
    let decision = Decision::new(code, Subject::Entry, &state.me, why);
    out.push(Effect::Log(decision.with("slot", slot as u64)));
}

/// Renews, takes or releases a slot if that is due, and prepares the entry when it begins to follow the owners.
pub(super) fn settle(state: &mut State, me: &Claimant, now: Now, out: &mut Vec<Effect>) {
    if me.follows_owners && !state.standbys.was_following {
        begin_following(state, now);
    }
    state.standbys.was_following = me.follows_owners;
    let standbys = &state.standbys;
    if standbys.pending.is_some() || standbys.read_ms.is_none() || now.ms < standbys.retry_ms {
        return;
    }
    let needs_no_slot = me.is_stopping || me.owned_pools > 0;
    match state.standbys.own {
        Some(slot) if needs_no_slot => write_slot(state, slot, StandbyRow::default(), out),
        Some(slot) => renew(state, slot, now, out),
        None if needs_no_slot || !me.is_configured => state.standbys.write_ms = None,
        None => take_vacant(state, me, now, out),
    }
}

/// Counts every owner as just seen: this entry has not followed them, so it can't tell since when one is gone.
fn begin_following(state: &mut State, now: Now) {
    for pool in &mut state.pools {
        pool.lease.note_all_seen(now.ms);
    }
    state.schedule_claims(now);
}

fn renew(state: &mut State, slot: usize, now: Now, out: &mut Vec<Effect>) {
    if state.standbys.write_ms.is_some_and(|at_ms| now.ms < at_ms) {
        return;
    }
    let count = state.standbys.slots[slot].row.count + 1;
    let row = own_row(state, count);
    write_slot(state, slot, row, out);
}

fn own_row(state: &State, count: u64) -> StandbyRow {
    StandbyRow {
        entry: state.me.clone(),
        nonce: state.nonce,
        count,
    }
}

/// Takes a vacant slot after a delay that spreads the attempts of different entries. Entries with spare processor time
/// go first. A slot that an earlier process of this entry held is taken at once.
fn take_vacant(state: &mut State, me: &Claimant, now: Now, out: &mut Vec<Effect>) {
    let standbys = &state.standbys;
    let former = standbys.slots.iter().position(|s| s.row.entry == state.me);
    if let Some(slot) = former {
        let row = own_row(state, 0);
        write_slot(state, slot, row, out);
        return;
    }
    let vacant: Vec<usize> = (0..SLOTS).filter(|slot| !standbys.is_held(*slot)).collect();
    if vacant.is_empty() {
        state.standbys.write_ms = None;
        return;
    }
    let hash = fnv1a(state.me.bytes()) >> 32;
    let Some(at_ms) = standbys.write_ms else {
        state.standbys.write_ms = Some(now.ms + hash % SPREAD_MS + me.weak_delay_ms());
        return;
    };
    if now.ms >= at_ms {
        let slot = vacant[hash as usize % vacant.len()];
        let row = own_row(state, 0);
        write_slot(state, slot, row, out);
    }
}

fn write_slot(state: &mut State, slot: usize, row: StandbyRow, out: &mut Vec<Effect>) {
    let key = key_of_slot(slot);
    let tx = RowTx {
        part: STANDBY_PART.to_string(),
        guards: vec![Guard {
            table: Table::Standbys,
            key: key.clone(),
            revision: state.standbys.slots[slot].revision,
        }],
        writes: vec![Write {
            table: Table::Standbys,
            key,
            value: Some(rows::encode(&row)),
        }],
    };
    state.standbys.pending = Some(Pending { slot, row });
    out.push(Effect::WriteStandby(tx));
}
