//! Logs what a wave waits for when none of its hosts has made progress for too long.
//!
//! [`super::wave`] calls `log` in each pass over a wave.

use std::collections::{BTreeMap, BTreeSet};

use super::pool_state::PoolState;
use super::state::{Ctx, WaveKnown};
use super::wave::{self, Turn, WaveController, TURN_MS};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::HostState;

/// How long a wave makes no progress before that is logged: the time of a turn that was broken off and of a second
/// turn.
const STALLED_MS: Millis = 2 * TURN_MS;

/// Pause before the same wait is logged again.
const REPEAT_LOG_MS: Millis = 60_000;

/// The reason of a host that waits because of its hall.
const EVACUATED: &str = "the host's hall is evacuated";

/// Most hosts that are logged at a time.
const HOSTS_LOGGED_MAX: usize = 4;

/// Numbers of slots that are taken, of hosts that were ordered down and of hosts that are back.
type Steps = (usize, usize, usize);

/// A wave's progress, and since when it has not changed.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    steps: Steps,
    since_ms: Millis,
    logged_ms: Option<Millis>,
}

/// Progress of each wave that this owner has reconciled, by the wave's number.
#[derive(Clone, Debug, Default)]
pub struct Waits(BTreeMap<u64, Wait>);

impl Waits {
    /// Records a wave's progress. Returns since when the wave waits, if that is to be logged now.
    fn record_progress(&mut self, wave: &WaveKnown, now_ms: Millis) -> Option<Millis> {
        let steps = count_steps(wave);
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
            .map_or(wait.since_ms + STALLED_MS, |logged_ms| {
                logged_ms + REPEAT_LOG_MS
            });
        if now_ms < due_ms {
            return None;
        }
        wait.logged_ms = Some(now_ms);
        Some(wait.since_ms)
    }
}

fn count_steps(wave: &WaveKnown) -> Steps {
    let ordered = wave.row.out.values().filter(|slot| slot.is_ordered);
    (wave.row.out.len(), ordered.count(), wave.row.back.len())
}

/// Logs what a wave waits for in this pool, if it waits for too long.
pub(super) fn log(
    pool_state: &PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    due: &BTreeSet<&str>,
    pool: &str,
    ctx: &mut Ctx<'_>,
) {
    let Some(since_ms) = controller.waits.record_progress(wave, ctx.now.ms) else {
        return;
    };
    let number = wave.order.wave;
    let waited_ms = ctx.now.ms - since_ms;
    let own_hosts = due.iter().copied();
    let own_hosts = own_hosts.filter_map(|host| {
        Some((
            host,
            wait_reason(pool_state, controller, wave, host, pool, ctx.now.ms)?,
        ))
    });
    let logged_hosts: Vec<(&str, &str)> = own_hosts.take(HOSTS_LOGGED_MAX).collect();
    let Some((first, why)) = logged_hosts.first() else {
        return;
    };
    let decision = Decision::new(Code::WaveWaits, Subject::Wave, &number.to_string(), *why);
    let decision = decision.with("waited_ms", waited_ms);
    ctx.log(
        decision
            .with("left", due.len() as u64)
            .with_name("on", *first),
    );
    for (host, why) in logged_hosts {
        let decision = Decision::new(Code::HostWaits, Subject::Host, host, why);
        ctx.log(decision.with("wave", number).with("waited_ms", waited_ms));
    }
}

/// Returns what a host of this pool waits for in a wave, or `None` for a host that belongs to another pool or is
/// gone.
fn wait_reason(
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
        return (!is_listed).then_some(
            "another pool holds the host's slot, but the host is not listed in that pool",
        );
    }
    if let Some((number, turn)) = controller.turns.get(host) {
        return Some(match (turn, *number == wave.order.wave) {
            (_, false) => "the host has its turn in another wave",
            (Turn::Closing(_), _) if controller.is_writing() => {
                "a change of a wave's row has not been answered yet"
            }
            (Turn::Closing(_), _) if wave.row.out.len() >= wave.order.out_max => {
                "all slots of the wave are taken"
            }
            (Turn::Closing(_), _) => {
                "the host still has tasks, or its ended runs are not recorded yet"
            }
            (Turn::Holding, _) => {
                "the host holds a slot, but its order is not recorded as accepted"
            }
            (Turn::Away(_), _) if controller.is_writing() => {
                "a change of a wave's row has not been answered yet"
            }
            (Turn::Away(_), _) => {
                "the host was ordered down, and the list of hosts does not name it as up since then"
            }
        });
    }
    let is_evacuated = wave::is_evacuated(pool_state, controller, host);
    let Some(key) = pool_state.worker_on(host) else {
        let record = controller.hosts.get(host).filter(|h| h.pool == pool)?;
        return Some(match record.state {
            _ if is_evacuated => EVACUATED,
            HostState::Up if record.worker.is_empty() => "other hosts have their turns first",
            HostState::Up => {
                "the worker instance named in the list of hosts is missing in the list of workers"
            }
            _ => "the list of hosts does not name it as up",
        });
    };
    let worker = &pool_state.workers[key];
    Some(if is_evacuated {
        EVACUATED
    } else if !worker.is_answering {
        "the host's worker does not answer"
    } else if worker.info.is_draining {
        "the host's worker is draining"
    } else if worker.is_offered {
        "the host is on offer to other pools"
    } else if !wave::can_clear(pool_state, key, now_ms) {
        "lasting tasks on the host can't move"
    } else {
        "other hosts have their turns first, or the host's own turn was broken off"
    })
}
