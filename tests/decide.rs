//! Helpers for tests of single scheduler decisions: a decision runs on a context with a fixed clock, and its effects
//! are returned for the test to check.

use std::collections::BTreeMap;

use rockwick::clock::Now;
use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::hosts::PoolNeed;
use rockwick::core::sched::keys::WorkerKey;
use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::state::{Ctx, Effect, PoolKey, Timers};
use rockwick::core::sched::worker::ClockSample;
use rockwick::port::fleet::{FleetConfig, PoolConfig, WorkerInfo};

/// Runs `work` at `now_ms` as an entry that may send orders, and returns the effects.
pub(crate) fn decide(now_ms: u64, work: impl FnOnce(&mut Ctx<'_>)) -> Vec<Effect> {
    decide_in(Deployment::default(), now_ms, work)
}

/// Runs `work` like [`decide`], with these figures of the deployment.
pub(crate) fn decide_in(
    deployment: Deployment,
    now_ms: u64,
    work: impl FnOnce(&mut Ctx<'_>),
) -> Vec<Effect> {
    let mut timers = Timers::new();
    let mut effects = Vec::new();
    let mut ctx = Ctx {
        now: Now {
            ms: now_ms,
            wall_ms: now_ms,
            store_ms: 0,
        },
        pool: PoolKey(0),
        me: "entry",
        cpu_milli: 250,
        deployment,
        until_ms: u64::MAX,
        timers: &mut timers,
        out: &mut effects,
    };
    work(&mut ctx);
    effects
}

/// Adds a worker that has answered a lease renewal, so that work may be placed on it.
pub(crate) fn add_answering_worker(pool_state: &mut PoolState, info: WorkerInfo) -> WorkerKey {
    let key = load::add_worker(pool_state, info, 0);
    let worker = &mut pool_state.workers[key];
    worker.is_answering = true;
    worker.clock = Some(ClockSample {
        local_ms: 0,
        worker_ms: 0,
    });
    key
}

/// Returns a configuration with the pool `donor`, which gives hosts away, the pool `busy`, and `off`, whose hosts are
/// switched off.
pub(crate) fn donor_config(donor: &str) -> FleetConfig {
    let pool = |name: &str, is_parked| {
        let config = PoolConfig {
            name: name.to_string(),
            is_parked,
        };
        (name.to_string(), config)
    };
    let pools = [pool(donor, false), pool("busy", false), pool("off", true)];
    FleetConfig {
        pools: pools.into(),
        ..FleetConfig::default()
    }
}

/// A pool that lacks hosts in no rack.
static NO_RACKS: BTreeMap<String, u64> = BTreeMap::new();

/// Returns the need of a pool whose heartbeat was seen at `now_ms`.
pub(crate) fn pool_need<'a>(
    pool: &'a str,
    needed: u64,
    offers: &'a Offers,
    now_ms: u64,
) -> PoolNeed<'a> {
    PoolNeed {
        pool,
        wanted: needed,
        needed,
        lacking_racks: &NO_RACKS,
        offers,
        heartbeat_seen_ms: now_ms,
    }
}
