//! What a single decision is called with in tests: a clock that stands still, and effects to look at.

use rockwick::clock::Now;
use rockwick::core::sched::state::{Ctx, Effect, PoolKey, Timers};

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
        until_ms: u64::MAX,
        timers: &mut timers,
        out: &mut out,
    };
    work(&mut ctx);
    out
}
