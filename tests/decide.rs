//! What a single decision is called with in tests: a clock that stands still, and effects to look at.

use rockwick::clock::Now;
use rockwick::core::sched::hosts::PoolNeed;
use rockwick::core::sched::keys::WorkerKey;
use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::state::{Ctx, Effect, PoolKey, Timers};
use rockwick::core::sched::worker::ClockSample;
use rockwick::port::fleet::{FleetConfig, PoolConfig, WorkerInfo};

/// Runs `work` at a moment, by an entry that may send orders, and gives the effects.
pub(crate) fn decide(now_ms: u64, work: impl FnOnce(&mut Ctx<'_>)) -> Vec<Effect> {
    let mut timers = Timers::new();
    let mut out = Vec::new();
    let mut ctx = Ctx {
        now: Now {
            ms: now_ms,
            wall_ms: now_ms,
        },
        pool: PoolKey(0),
        me: "entry",
        cpu_milli: 250,
        until_ms: u64::MAX,
        timers: &mut timers,
        out: &mut out,
    };
    work(&mut ctx);
    out
}

/// Adds a worker that has answered a hold, and so may get work.
pub(crate) fn answering(pool_state: &mut PoolState, fact: WorkerInfo) -> WorkerKey {
    let key = load::add_worker(pool_state, fact, 0);
    let worker = &mut pool_state.workers[key];
    worker.is_answering = true;
    worker.clock = Some(ClockSample {
        local_ms: 0,
        worker_ms: 0,
    });
    key
}

/// Pool `busy`, the pool that gives hosts away, and `off`, whose hosts are off.
pub(crate) fn pools(donor: &str) -> FleetConfig {
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

/// What a pool needs, heard just now.
pub(crate) fn need<'a>(
    pool: &'a str,
    needed: u64,
    offers: &'a Offers,
    now_ms: u64,
) -> PoolNeed<'a> {
    PoolNeed {
        pool,
        wanted: needed,
        needed,
        offers,
        heartbeat_seen_ms: now_ms,
    }
}
