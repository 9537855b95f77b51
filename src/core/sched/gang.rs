//! Places gangs: steps whose tasks work only together. Either all members are placed at once under one run number
//! or none is, and if one member is lost, the others are stopped and all start again.
//!
//! [`super::place`] calls `place` for gangs; the owner of a pool calls `stop_broken` after losses.

use std::collections::{BTreeSet, HashMap};

use super::keys::{TaskKey, WorkerKey};
use super::place;
use super::pool_state::PoolState;
use super::runs;
use super::state::Ctx;
use super::tasks::Phase;
use crate::port::fleet::Capacity;

/// Whether a task's step is a gang.
pub fn is_member(pool_state: &PoolState, key: TaskKey) -> bool {
    pool_state.step_spec(key).is_some_and(|s| s.gang)
}

/// Returns all tasks of a task's step, including the task itself.
pub fn members(pool_state: &PoolState, key: TaskKey) -> Vec<TaskKey> {
    let count = pool_state.step_spec(key).map_or(0, |s| s.count);
    (0..count).map(|index| TaskKey { index, ..key }).collect()
}

/// Places a whole gang if all its members wait and there is room for all of them.
pub(super) fn place(pool_state: &mut PoolState, key: TaskKey, ctx: &mut Ctx<'_>) {
    let members = members(pool_state, key);
    let waits = |m: &TaskKey| {
        pool_state.task(*m).is_some_and(|t| t.phase == Phase::Ready)
            && !pool_state.has_leftover_run(*m)
    };
    if !members.iter().all(waits) {
        return;
    }
    if !pool_state.is_within_quota(key, members.len() as u64) {
        return;
    }
    let Some(places) = find_places(pool_state, &members, ctx.now.ms) else {
        return;
    };
    let runs = members.iter().filter_map(|m| pool_state.task(*m));
    let last_run = runs.map(|t| t.run).max().unwrap_or(0);
    for (member, worker) in members.into_iter().zip(places) {
        if let Some(task) = pool_state.task_mut(member) {
            // All members of a gang run under the same run number.
            task.run = last_run;
        }
        place::assign(pool_state, member, worker, ctx);
    }
}

/// Finds workers for all members: in one rack if the step asks for it and a rack has room, else in any rack.
fn find_places(pool_state: &PoolState, members: &[TaskKey], now_ms: u64) -> Option<Vec<WorkerKey>> {
    let spec = pool_state.step_spec(*members.first()?)?;
    if spec.same_rack {
        let open = pool_state.workers.values().filter(|w| w.is_open(now_ms));
        let racks: BTreeSet<&str> = open.map(|w| w.rack()).collect();
        let in_rack = |rack: &&str| find_places_in(pool_state, members, Some(rack), now_ms);
        if let Some(places) = racks.iter().find_map(in_rack) {
            return Some(places);
        }
    }
    find_places_in(pool_state, members, None, now_ms)
}

fn find_places_in(
    pool_state: &PoolState,
    members: &[TaskKey],
    rack: Option<&str>,
    now_ms: u64,
) -> Option<Vec<WorkerKey>> {
    let spec = pool_state.step_spec(*members.first()?)?;
    let demand = spec.demand();
    let most = usize::from(spec.per_worker_max);
    let mut taken: HashMap<WorkerKey, (Capacity, usize)> = HashMap::new();
    let mut places = Vec::with_capacity(members.len());
    for member in members {
        let open = pool_state.workers.iter().filter(|(_, w)| w.is_open(now_ms));
        let candidates = open.filter(|(key, _)| !pool_state.reserved.has(*key));
        let fitting = candidates.filter(|(key, w)| {
            let (mut used, count) = taken.get(key).copied().unwrap_or_default();
            used.add(demand);
            let is_in_rack = rack.is_none_or(|r| r == w.rack());
            let is_below_max = most == 0 || count < most;
            is_in_rack
                && is_below_max
                && w.fits(used)
                && place::meets_constraints(pool_state, *member, spec, *key)
                && pool_state.has_ticket(*member, *key, now_ms)
        });
        let cost = |key: &WorkerKey| {
            let (used, _) = taken.get(key).copied().unwrap_or_default();
            place::cost_milli(pool_state, spec, *key, used)
        };
        let (best, _) = fitting.min_by_key(|(key, _)| cost(key))?;
        let (used, count) = taken.entry(best).or_default();
        used.add(demand);
        *count += 1;
        places.push(best);
    }
    Some(places)
}

/// Stops the remaining members of gangs that lost a member.
pub(super) fn stop_broken(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    for key in std::mem::take(&mut pool_state.broken_gangs) {
        for member in members(pool_state, key) {
            let phase = pool_state.task(member).map(|t| t.phase);
            let goes_on = matches!(
                phase,
                Some(Phase::Starting(_) | Phase::Running(_) | Phase::Recording(_))
            );
            if goes_on {
                runs::stop_run(pool_state, member, epoch, ctx);
            }
        }
    }
    // Stopping a member marks its gang as broken again. Without this the gang's next run would be stopped before it
    // is sent, and so would each later one.
    pool_state.broken_gangs.clear();
}
