//! Exchange of hosts between pools by way of their offers.
//!
//! Handles changes of offers by pool owners, and hosts taken by the entry that sends orders to hosts. The reducer calls
//! this module with rows and answers of the store.

use super::access::{with_host_controller, with_pool};
use super::hosts;
use super::offers::{Offers, OFFERS_KEY};
use super::pool_state::PoolState;
use super::sizing;
use super::state::{Ctx, Effect, PoolKey, State};
use crate::clock::Now;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{StoredRow, Table, TxOutcome};

/// Marks workers on hosts that are on offer or were taken, so that a new owner, too, places no work there.
pub(super) fn close_offered_hosts(pool_state: &mut PoolState, offers: &Offers) {
    sizing::mark_offered(pool_state, offers);
    for (_, worker) in &mut pool_state.workers {
        worker.is_spare = worker.is_offered;
    }
}

/// Applies rows of offers as read, and logs those that cannot be decoded.
pub(super) fn observe_offers<'a>(
    offers: &mut Offers,
    pool: &str,
    rows: impl IntoIterator<Item = &'a StoredRow>,
    ctx: &mut Ctx<'_>,
) {
    for row in rows {
        if let Err(e) = offers.apply_row(row) {
            ctx.log(Decision::new(Code::BadRow, Subject::Pool, pool, e));
        }
    }
}

/// Handles the answer to a change of a pool's offers by its owner.
pub(super) fn settle_offers(
    state: &mut State,
    key: PoolKey,
    epoch: u64,
    outcome: TxOutcome,
    now: Now,
    out: &mut Vec<Effect>,
) {
    with_pool(state, key, now, out, |pool, ctx, _| {
        if pool.ownership.as_ref().is_none_or(|t| t.epoch != epoch) {
            return;
        }
        match outcome {
            TxOutcome::Committed(revision) => pool.offers.apply_change(revision),
            TxOutcome::Conflict(found) => {
                pool.offers.pending = None;
                observe_found(&mut pool.offers, &pool.name, &found, ctx);
            }
            TxOutcome::Refused => pool.offers.pending = None,
            TxOutcome::Unknown => pool.offers.keep_unsure(),
        }
    });
}

/// Applies the row of offers that a conflict returned, and logs it if it cannot be decoded.
fn observe_found(offers: &mut Offers, pool: &str, found: &[(Table, StoredRow)], ctx: &mut Ctx<'_>) {
    let Some(row) = offers_in(found) else { return };
    if let Err(e) = offers.apply_conflict_row(row) {
        ctx.log(Decision::new(Code::BadRow, Subject::Pool, pool, e));
    }
}

/// Returns the row of offers among the rows that a conflict returned.
fn offers_in(found: &[(Table, StoredRow)]) -> Option<&StoredRow> {
    let mut rows = found.iter().map(|(_, row)| row);
    rows.find(|row| row.key == OFFERS_KEY && row.value.is_some())
}

/// Handles the answer to a transaction that takes hosts which pool `from` offers.
pub(super) fn settle_taken_hosts(
    state: &mut State,
    key: PoolKey,
    epoch: u64,
    from: &str,
    outcome: TxOutcome,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let mut written = None;
    with_host_controller(state, key, now, out, |controller, _, inputs, ctx| {
        if inputs.epoch == epoch {
            written = hosts::apply_taken(controller, from, &outcome, epoch, ctx);
        }
    });
    let Some(donor) = state.pool_keys.get(from).copied() else {
        return;
    };
    let is_conflict = matches!(outcome, TxOutcome::Conflict(_));
    with_pool(state, donor, now, out, |pool, ctx, _| {
        match (outcome, written) {
            (TxOutcome::Committed(revision), Some(row)) => pool.offers.replace_row(row, revision),
            (TxOutcome::Conflict(found), _) => {
                observe_found(&mut pool.offers, &pool.name, &found, ctx);
            }
            _ => {}
        }
    });
    if is_conflict {
        with_host_controller(state, key, now, out, |controller, waves, inputs, ctx| {
            hosts::retry_take(controller, waves, inputs, ctx);
        });
    }
}
