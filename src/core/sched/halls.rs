//! Evacuation of data halls: nothing is started in an evacuated hall until the operator gives it back. What runs there
//! goes on; lasting tasks move to other halls as far as the pool has room there and their steps allow.
//!
//! The reducer calls this module when the operator's table shows a change, and with each pass of a pool's periodic work.

use std::collections::BTreeSet;

use super::access::{owned_pools, with_pool};
use super::keys::{TaskKey, WorkerKey};
use super::place;
use super::pool_state::PoolState;
use super::runs;
use super::state::{Ctx, Effect, State};
use super::tasks::Phase;
use super::wave;
use crate::clock::Now;
use crate::event::{Code, Decision, Subject};

/// Most lasting tasks of a pool that begin to move in one pass: the room that each of them needs is checked before the
/// others have taken theirs.
const MOVES_MAX: usize = 4;

/// Applies the evacuated halls as the whole of the operator's table shows them.
pub(super) fn apply_all(
    state: &mut State,
    halls: BTreeSet<String>,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let changed: Vec<String> = halls
        .symmetric_difference(&state.evacuated_halls)
        .cloned()
        .collect();
    state.evacuated_halls = halls;
    for hall in changed {
        announce(state, &hall, now, out);
    }
}

/// Applies the evacuation of a hall, or its end.
pub(super) fn apply_change(
    state: &mut State,
    hall: String,
    is_evacuated: bool,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let is_changed = match is_evacuated {
        true => state.evacuated_halls.insert(hall.clone()),
        false => state.evacuated_halls.remove(&hall),
    };
    if is_changed {
        announce(state, &hall, now, out);
    }
}

/// Closes or opens a hall's workers in all owned pools, and logs the change.
fn announce(state: &mut State, hall: &str, now: Now, out: &mut Vec<Effect>) {
    let is_evacuated = state.evacuated_halls.contains(hall);
    let mut workers = 0;
    for key in owned_pools(state) {
        with_pool(state, key, now, out, |pool, _, facts| {
            let ownership = pool.ownership.as_mut();
            if let Some(pool_state) = ownership.and_then(|o| o.pool_state.as_mut()) {
                workers += set_halls(pool_state, facts.evacuated_halls, hall);
            }
        });
    }
    let (code, why) = match is_evacuated {
        true => (Code::HallEvacuated, "the operator evacuates the hall"),
        false => (Code::HallReturned, "the operator gave the hall back"),
    };
    let decision = Decision::new(code, Subject::Hall, hall, why);
    out.push(Effect::Log(decision.with("workers", workers)));
}

/// Updates the evacuated halls of a pool's state after a change of `hall`. Returns the number of its workers there.
fn set_halls(pool_state: &mut PoolState, halls: &BTreeSet<String>, hall: &str) -> u64 {
    pool_state.evacuated_halls.clone_from(halls);
    let is_evacuated = halls.contains(hall);
    let mut count = 0;
    let in_hall = pool_state.workers.values_mut();
    for worker in in_hall.filter(|w| w.info.hall == hall) {
        worker.is_evacuated = is_evacuated;
        count += 1;
    }
    pool_state.wants_placing = true;
    count
}

/// Stops lasting tasks in evacuated halls that have room elsewhere, so that they start again there.
pub(super) fn move_lasting(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    if pool_state.evacuated_halls.is_empty() {
        return;
    }
    let mut moves = 0;
    for (key, worker) in lasting_in_evacuated_halls(pool_state) {
        if moves >= MOVES_MAX {
            return;
        }
        let may_move = wave::may_stop_lasting(pool_state, key, ctx.now.ms)
            && place::has_other_worker(pool_state, key, worker, ctx.now.ms);
        if may_move {
            runs::stop_run(pool_state, key, epoch, ctx);
            moves += 1;
        }
    }
}

fn lasting_in_evacuated_halls(pool_state: &PoolState) -> Vec<(TaskKey, WorkerKey)> {
    let evacuated = pool_state.workers.iter().filter(|(_, w)| w.is_evacuated);
    let tasks = evacuated.flat_map(|(worker, w)| w.tasks.iter().map(move |key| (*key, worker)));
    let lasting = tasks.filter(|(key, _)| {
        let is_running = |phase| matches!(phase, Phase::Running(_));
        pool_state.step_spec(*key).is_some_and(|s| s.lasting)
            && pool_state.task(*key).is_some_and(|t| is_running(t.phase))
    });
    lasting.collect()
}
