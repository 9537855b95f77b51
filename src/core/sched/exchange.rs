//! What becomes of pools' offers: changes by their owners, and hosts taken by the entry that orders them.

use super::access::{with_host_controller, with_pool};
use super::hosts;
use super::offers::{Offers, OFFERS_KEY};
use super::pool_state::PoolState;
use super::sizing;
use super::state::{Ctx, Effect, PoolKey, State};
use crate::clock::Now;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{StoredRow, Table, TxOutcome};

/// Hosts that are on offer, or were taken, get no work from a new owner either.
pub(super) fn close_given(pool_state: &mut PoolState, offers: &Offers) {
    sizing::mark_offered(pool_state, offers);
    for (_, worker) in &mut pool_state.workers {
        worker.is_spare = worker.is_offered;
    }
}

/// Takes in rows of offers as read; one that can not be read is logged.
pub(super) fn observe_offers<'a>(
    offers: &mut Offers,
    pool: &str,
    rows: impl IntoIterator<Item = &'a StoredRow>,
    ctx: &mut Ctx<'_>,
) {
    for row in rows {
        if let Err(e) = offers.observe(row) {
            ctx.log(Decision::new(Code::BadRow, Subject::Pool, pool, e));
        }
    }
}

/// Settles a change of a pool's offers by its owner.
pub(super) fn offers_settled(
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
            TxOutcome::Committed(revision) => pool.offers.changed(revision),
            TxOutcome::Conflict(found) => {
                pool.offers.pending = None;
                observe_found(&mut pool.offers, &pool.name, &found, ctx);
            }
            TxOutcome::Refused => pool.offers.pending = None,
            TxOutcome::Unknown => pool.offers.left_open(),
        }
    });
}

/// Takes in the row of offers as a conflict found it; one that can not be read is logged.
fn observe_found(offers: &mut Offers, pool: &str, found: &[(Table, StoredRow)], ctx: &mut Ctx<'_>) {
    let Some(row) = offers_in(found) else { return };
    if let Err(e) = offers.observe_found(row) {
        ctx.log(Decision::new(Code::BadRow, Subject::Pool, pool, e));
    }
}

/// The row of offers among what a conflict found.
fn offers_in(found: &[(Table, StoredRow)]) -> Option<&StoredRow> {
    let mut rows = found.iter().map(|(_, row)| row);
    rows.find(|row| row.key == OFFERS_KEY && row.value.is_some())
}

/// Settles a take of hosts that pool `from` has on offer.
pub(super) fn hosts_taken(
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
            written = hosts::taken(controller, from, &outcome, epoch, ctx);
        }
    });
    let Some(donor) = state.pool_keys.get(from).copied() else {
        return;
    };
    let is_conflict = matches!(outcome, TxOutcome::Conflict(_));
    with_pool(state, donor, now, out, |pool, ctx, _| {
        match (outcome, written) {
            (TxOutcome::Committed(revision), Some(row)) => pool.offers.took(row, revision),
            (TxOutcome::Conflict(found), _) => {
                observe_found(&mut pool.offers, &pool.name, &found, ctx);
            }
            _ => {}
        }
    });
    if is_conflict {
        with_host_controller(state, key, now, out, |controller, waves, inputs, ctx| {
            hosts::retake(controller, waves, inputs, ctx);
        });
    }
}
