//! Handover of pools by an entry that is told to stop: it records the pending changes, then releases its pools so that
//! other entries take them at once.

use super::access::{owned_pools, with_pool};
use super::commit;
use super::limits::STOP_RECORD_MS;
use super::owner_lease;
use super::state::{Effect, Ownership, State, Timer};
use crate::clock::Now;

/// Starts the shutdown of the scheduler.
pub(super) fn begin(state: &mut State, now: Now) {
    state.stopped_ms.get_or_insert(now.ms);
    for key in owned_pools(state) {
        state
            .timers
            .insert((now.ms + STOP_RECORD_MS, key, Timer::Flush));
    }
}

/// Records the pending changes of each pool. Releases a pool once all its changes are recorded, or after
/// [`STOP_RECORD_MS`].
pub(super) fn settle(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let stopped_ms = state.stopped_ms.unwrap_or(now.ms);
    let is_over = now.ms >= stopped_ms + STOP_RECORD_MS;
    for key in owned_pools(state) {
        with_pool(state, key, now, out, |pool, ctx, _| {
            commit::flush(pool, ctx);
            let is_done = pool.ownership.as_ref().is_some_and(has_recorded_all);
            if is_done || is_over {
                owner_lease::release(pool, ctx);
            }
        });
    }
    if state.owned_count() == 0 {
        out.push(Effect::Left);
    }
}

/// Returns whether all changes are recorded. A worker's report that nobody recorded is lost when the worker goes, and
/// the next owner would start a finished task again.
fn has_recorded_all(ownership: &Ownership) -> bool {
    let has_dirty = ownership
        .pool_state
        .as_ref()
        .is_some_and(|b| !b.dirty.is_empty());
    !has_dirty && ownership.batches.iter().all(Option::is_none)
}
