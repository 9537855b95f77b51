//! What a wave waits for, told where none of its hosts goes a step on for too long.

use std::collections::{BTreeMap, BTreeSet};

use super::pool_state::PoolState;
use super::state::{Ctx, WaveKnown};
use super::wave::{self, Turn, WaveController, TURN_MS};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::HostState;

/// A wave in which nothing changed for so long waits: one turn that was broken off, and another.
const WAITS_MS: Millis = 2 * TURN_MS;

/// It is told again after so long.
const AGAIN_MS: Millis = 60_000;

/// Hosts that are told of at a time.
const HOSTS_TOLD: usize = 4;

/// Slots that were taken, hosts that were ordered out, hosts that are back.
type Steps = (usize, usize, usize);

/// What is known of a wave's progress.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    steps: Steps,
    since_ms: Millis,
    logged_ms: Option<Millis>,
}

/// Waves that are not done, and since when nothing changed in each.
#[derive(Clone, Debug, Default)]
pub struct Waits(BTreeMap<u64, Wait>);

impl Waits {
    /// Takes note of a wave as it is now; says since when it waits, if that is to be told.
    fn note(&mut self, wave: &WaveKnown, now_ms: Millis) -> Option<Millis> {
        let steps = steps(wave);
        let fresh = Wait {
            steps,
            since_ms: now_ms,
            logged_ms: None,
        };
        let wait = self.0.entry(wave.order.wave).or_insert(fresh);
        if wait.steps != steps {
            *wait = fresh;
        }
        let due_ms = wait
            .logged_ms
            .map_or(wait.since_ms + WAITS_MS, |logged_ms| logged_ms + AGAIN_MS);
        if now_ms < due_ms {
            return None;
        }
        wait.logged_ms = Some(now_ms);
        Some(wait.since_ms)
    }
}

fn steps(wave: &WaveKnown) -> Steps {
    let ordered = wave.row.out.values().filter(|slot| slot.is_ordered);
    (wave.row.out.len(), ordered.count(), wave.row.back.len())
}

/// Tells what a wave waits for in this pool, if that takes too long.
pub(super) fn log(
    pool_state: &PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    due: &BTreeSet<&str>,
    pool: &str,
    ctx: &mut Ctx<'_>,
) {
    let Some(since_ms) = controller.waits.note(wave, ctx.now.ms) else {
        return;
    };
    let number = wave.order.wave;
    let waited_ms = ctx.now.ms - since_ms;
    let ours = due.iter().copied();
    let ours = ours.filter_map(|host| {
        Some((
            host,
            reason(pool_state, controller, wave, host, pool, ctx.now.ms)?,
        ))
    });
    let told: Vec<(&str, &str)> = ours.take(HOSTS_TOLD).collect();
    let Some((first, why)) = told.first() else {
        return;
    };
    let decision = Decision::new(Code::WaveWaits, Subject::Wave, &number.to_string(), *why);
    let decision = decision.with("waited_ms", waited_ms);
    ctx.log(decision.with("left", due.len() as u64).naming("on", *first));
    for (host, why) in told {
        let decision = Decision::new(Code::HostWaits, Subject::Host, host, why);
        ctx.log(decision.with("wave", number).with("waited_ms", waited_ms));
    }
}

/// What a host of this pool waits for in a wave; nothing for one of another pool, or one that is gone.
fn reason(
    pool_state: &PoolState,
    controller: &WaveController,
    wave: &WaveKnown,
    host: &str,
    pool: &str,
    now_ms: Millis,
) -> Option<&'static str> {
    if let Some(slot) = wave.row.out.get(host).filter(|slot| slot.pool != pool) {
        let is_listed = controller
            .hosts
            .get(host)
            .is_some_and(|h| h.pool == slot.pool);
        return (!is_listed).then_some("another pool holds its slot, and it is not listed there");
    }
    if let Some((number, turn)) = controller.turns.get(host) {
        return Some(match (turn, *number == wave.order.wave) {
            (_, false) => "it has its turn in another wave",
            (Turn::Closing(_), _) if controller.is_settling() => {
                "a change of a wave's row has no answer"
            }
            (Turn::Closing(_), _) if wave.row.out.len() >= wave.order.out_max => {
                "all slots of the wave are taken"
            }
            (Turn::Closing(_), _) => "work there has not left, or its ends are not on record",
            (Turn::Holding, _) => "it holds a slot, and no order to it is on record",
            (Turn::Away(_), _) if controller.is_settling() => {
                "a change of a wave's row has no answer"
            }
            (Turn::Away(_), _) => "it was ordered out, and the list does not name it as up since",
        });
    }
    let Some(key) = pool_state.worker_on(host) else {
        let record = controller.hosts.get(host).filter(|h| h.pool == pool)?;
        return Some(match record.state {
            HostState::Up if record.life.is_empty() => "hosts before it have their turns",
            HostState::Up => "the list of workers lacks the life that the list of hosts names",
            _ => "the list of hosts does not name it as up",
        });
    };
    let worker = &pool_state.workers[key];
    Some(if !worker.answers {
        "its worker does not answer"
    } else if worker.fact.draining {
        "its worker is draining"
    } else if worker.is_offered {
        "it is on offer to other pools"
    } else if !wave::can_clear(pool_state, key, now_ms) {
        "what lasts there can't move"
    } else {
        "hosts before it have their turns, or its own was broken off"
    })
}
