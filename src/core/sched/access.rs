//! Accessors of the reducer: lend a pool, its in-memory state or one of its controllers, together with the parts of the
//! remaining state that the borrower needs.

use std::collections::{BTreeMap, BTreeSet};

use super::hosts::{self, HostController, PoolNeed};
use super::keys::PoolStateId;
use super::load::Facts;
use super::owner_lease;
use super::pool_state::PoolState;
use super::quota::{self, QuotaController};
use super::state::{Ctx, Effect, Ownership, Pool, PoolKey, State, Timer, WaveKnown};
use super::wave::WaveController;
use crate::clock::Now;

/// Runs `work` on a pool, with the context and the shared facts.
pub(super) fn with_pool<T>(
    state: &mut State,
    key: PoolKey,
    now: Now,
    out: &mut Vec<Effect>,
    work: impl FnOnce(&mut Pool, &mut Ctx<'_>, &Facts<'_>) -> T,
) -> Option<T> {
    let pool = state.pools.get_mut(usize::from(key.0))?;
    let mut ctx = Ctx {
        now,
        pool: key,
        me: &state.me,
        cpu_milli: state.cpu_milli,
        deployment: state.deployment,
        until_ms: pool.lease.until_ms(),
        timers: &mut state.timers,
        out,
    };
    let facts = Facts {
        config: &state.config,
        listed: &state.listed,
        list_changes: &state.list_changes,
        evacuated_halls: &state.evacuated_halls,
    };
    Some(work(pool, &mut ctx, &facts))
}

/// Runs `work` on the in-memory state `id` of a pool, if this state is still the current one. `work` returns whether a
/// worker has seen a later owner, in which case the pool is lost.
pub(super) fn with_pool_state(
    state: &mut State,
    key: PoolKey,
    id: PoolStateId,
    now: Now,
    out: &mut Vec<Effect>,
    work: impl FnOnce(&mut PoolState, &mut Ctx<'_>) -> bool,
) {
    with_pool(state, key, now, out, |pool, ctx, _| {
        let Some(ownership) = ownership_of(&mut pool.ownership, id) else {
            return;
        };
        let Some(pool_state) = &mut ownership.pool_state else {
            return;
        };
        if work(pool_state, ctx) {
            owner_lease::lose_ownership(pool, "a worker has seen a later epoch", ctx);
        }
    });
}

/// Returns a pool's ownership if its in-memory state is still the one with this id.
pub(super) fn ownership_of(
    ownership: &mut Option<Ownership>,
    id: PoolStateId,
) -> Option<&mut Ownership> {
    let ownership = ownership.as_mut()?;
    let is_current = ownership
        .pool_state
        .as_ref()
        .is_some_and(|pool_state| pool_state.id == id);
    is_current.then_some(ownership)
}

/// Runs `work` on the controller of orders to hosts, if this pool carries these orders and is owned by this entry.
/// Returns whether the pool carries them.
pub(super) fn with_host_controller(
    state: &mut State,
    key: PoolKey,
    now: Now,
    out: &mut Vec<Effect>,
    work: impl FnOnce(
        &mut HostController,
        &mut BTreeMap<u64, WaveKnown>,
        &hosts::Inputs<'_>,
        &mut Ctx<'_>,
    ),
) -> bool {
    let pool = state.pools.get_mut(usize::from(key.0));
    let controller_pool = hosts::controller_pool(&state.config);
    let Some(pool) = pool.filter(|p| controller_pool == Some(p.name.as_str())) else {
        return false;
    };
    let until_ms = pool.lease.until_ms();
    let Some(ownership) = &mut pool.ownership else {
        return true;
    };
    let epoch = ownership.epoch;
    // The controller is taken out while it runs, so that it can read the needs of all pools in place instead of copying
    // them: there may be hundreds of hosts.
    let mut controller = std::mem::take(&mut ownership.hosts);
    let needs: Vec<PoolNeed<'_>> = state.pools.iter().map(PoolNeed::of).collect();
    let inputs = hosts::Inputs {
        config: &state.config,
        needs: &needs,
        evacuated_halls: &state.evacuated_halls,
        pool: &state.pools[usize::from(key.0)].name,
        epoch,
    };
    let mut ctx = Ctx {
        now,
        pool: key,
        me: &state.me,
        cpu_milli: state.cpu_milli,
        deployment: state.deployment,
        until_ms,
        timers: &mut state.timers,
        out,
    };
    work(&mut controller, &mut state.waves, &inputs, &mut ctx);
    let pool = &mut state.pools[usize::from(key.0)];
    if let Some(ownership) = &mut pool.ownership {
        ownership.hosts = controller;
    }
    true
}

/// Runs `work` on the wave controller, with the epoch and the pool's name. `work` gets no in-memory state while the
/// pool's rows are being read, but an answer that arrives then still settles an earlier request.
pub(super) fn with_wave_controller(
    state: &mut State,
    key: PoolKey,
    now: Now,
    out: &mut Vec<Effect>,
    work: impl FnOnce(
        Option<&mut PoolState>,
        &mut WaveController,
        &mut BTreeMap<u64, WaveKnown>,
        (u64, &str),
        &mut Ctx<'_>,
    ),
) {
    let mut waves = std::mem::take(&mut state.waves);
    with_pool(state, key, now, out, |pool, ctx, _| {
        let Some(ownership) = &mut pool.ownership else {
            return;
        };
        let epoch_and_name = (ownership.epoch, pool.name.as_str());
        work(
            ownership.pool_state.as_mut(),
            &mut ownership.waves,
            &mut waves,
            epoch_and_name,
            ctx,
        );
    });
    state.waves = waves;
}

/// Runs `work` on the quota controller of a pool that this entry owns under `epoch`, if the pool's rows have been read.
pub(super) fn with_quota_controller(
    state: &mut State,
    key: PoolKey,
    epoch: u64,
    now: Now,
    out: &mut Vec<Effect>,
    work: impl FnOnce(&mut PoolState, &mut QuotaController, &quota::Inputs<'_>, &mut Ctx<'_>),
) {
    with_grant_controller(
        state,
        key,
        epoch,
        now,
        out,
        |pool_state, controller, inputs, ctx| {
            if let Some(pool_state) = pool_state {
                work(pool_state, controller, inputs, ctx);
            }
        },
    );
}

/// Runs `work` on the quota controller of a pool that this entry owns under `epoch`, even while the pool's rows are
/// being read: an answer that arrives then still settles an earlier request.
pub(super) fn with_grant_controller(
    state: &mut State,
    key: PoolKey,
    epoch: u64,
    now: Now,
    out: &mut Vec<Effect>,
    work: impl FnOnce(Option<&mut PoolState>, &mut QuotaController, &quota::Inputs<'_>, &mut Ctx<'_>),
) {
    let short_elsewhere = short_elsewhere(state, key, now);
    with_pool(state, key, now, out, |pool, ctx, facts| {
        let Some(ownership) = pool.ownership.as_mut().filter(|t| t.epoch == epoch) else {
            return;
        };
        let inputs = quota::Inputs {
            pool: &pool.name,
            epoch,
            config: facts.config,
            short_elsewhere: &short_elsewhere,
        };
        let before = ownership.quota.short.clone();
        work(
            ownership.pool_state.as_mut(),
            &mut ownership.quota,
            &inputs,
            ctx,
        );
        // Other owners return unneeded grants once they learn of the shortage.
        if ownership.quota.short != before {
            owner_lease::hasten_heartbeat(pool, ctx);
        }
    });
}

/// Returns the accounts that are short in other pools, from those pools' recent heartbeats.
fn short_elsewhere(state: &State, key: PoolKey, now: Now) -> BTreeSet<String> {
    let pools = state.pools.iter().enumerate();
    let others = pools.filter(|(n, _)| *n != usize::from(key.0));
    let recently_seen =
        others.filter(|(_, p)| now.ms < p.lease.heartbeat_seen_ms + hosts::NEED_KEPT_MS);
    recently_seen
        .flat_map(|(_, p)| p.lease.heartbeat.short_accounts.iter().cloned())
        .collect()
}

/// Returns the key of a pool, and adds the pool if it is not known yet.
pub(super) fn pool_key(state: &mut State, name: &str, now: Now) -> PoolKey {
    if let Some(key) = state.pool_keys.get(name) {
        return *key;
    }
    let key = PoolKey(state.pools.len() as u16);
    let lease = owner_lease::OwnerLease {
        heartbeat_seen_ms: now.ms,
        ..owner_lease::OwnerLease::default()
    };
    state.pools.push(Pool {
        name: name.to_string(),
        lease,
        offers: Default::default(),
        ownership: None,
    });
    state.pool_keys.insert(name.to_string(), key);
    state.timers.insert((now.ms, key, Timer::Claim));
    key
}

/// Returns the pools that this entry owns.
pub(super) fn owned_pools(state: &State) -> Vec<PoolKey> {
    state
        .pools
        .iter()
        .enumerate()
        .filter(|(_, p)| p.ownership.is_some())
        .map(|(n, _)| PoolKey(n as u16))
        .collect()
}
