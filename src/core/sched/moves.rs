//! Which hosts go where: pools that lack some get those that are off and those on offer; what nobody wants for
//! a while is turned off.
//!
//! A look costs what hosts, offers and moves there are, never hosts times moves: serving hosts are counted once
//! and the counts kept while moves begin. With a count a move, the entry that orders 542 hosts used up an eighth
//! of a core and looked every 2 s in place of every 0.1 s.

use std::collections::{BTreeMap, HashMap};

use super::hosts::{HostController, HostTask, Inputs, PoolNeed, NEED_KEPT_MS, RETRY_SENT_MS};
use super::state::{Ctx, WaveKnown};
use crate::clock::Millis;
use crate::port::fleet::HostState;

/// A host that is on offer and wanted by nobody for so long is turned off. On the users' sites two moves cost as
/// much as a host for 2.3 s; after that long, the next use is at least as far away on the whole.
const PARK_MS: Millis = 4_000;

/// Hosts on their way to be turned off at a time, which takes 2 s each: the platform takes 64 orders a second on
/// the users' sites, and those to a pool that lacks hosts must not wait behind these.
const PARKED_AT_A_TIME: usize = 16;

/// A host that may leave its pool.
struct Spare {
    host: String,
    pool: String,
    /// It is on offer; else a former holder took it.
    is_offered: bool,
}

/// What a look at moves goes by.
struct Fleet<'a> {
    waves: &'a BTreeMap<u64, WaveKnown>,
    now_ms: Millis,
}

/// Sends hosts where they are wanted, and parks those that nobody wants.
pub(super) fn move_hosts(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    with: &Inputs<'_>,
    ctx: &Ctx<'_>,
) {
    let Some(parked) = with.config.pools.values().find(|p| p.is_parked) else {
        return;
    };
    let fleet = Fleet {
        waves,
        now_ms: ctx.now.ms,
    };
    let mut spare: Vec<Spare> = Vec::new();
    for need in with.needs {
        spare.extend(fleet.spare_of(controller, need, with.epoch));
    }
    fill(controller, &fleet, with, &parked.name, &mut spare, ctx);
    note_offers(controller, with, ctx.now.ms);
    park(controller, &parked.name, spare, ctx);
}

/// Gives hosts to the pools that lack some, the shortest first.
fn fill(
    controller: &mut HostController,
    fleet: &Fleet<'_>,
    with: &Inputs<'_>,
    parked: &str,
    spare: &mut Vec<Spare>,
    ctx: &Ctx<'_>,
) {
    let mut serving = count_serving(controller, with.needs);
    let is_heard = |need: &PoolNeed<'_>| ctx.now.ms < need.heard_ms + NEED_KEPT_MS;
    let heard: Vec<usize> = (0..with.needs.len())
        .filter(|n| is_heard(&with.needs[*n]))
        .collect();
    if shortest(with.needs, &heard, &serving).is_none() {
        return;
    }
    let mut idle: Vec<String> = controller
        .list
        .iter()
        .filter(|h| fleet.is_free(controller, &h.host, parked))
        .map(|h| h.host.clone())
        .collect();
    while let Some(n) = shortest(with.needs, &heard, &serving) {
        let pool = with.needs[n].pool;
        let task = HostTask::Move(pool.to_string());
        if let Some(host) = idle.pop() {
            controller.begin(&host, task, None, ctx);
        } else if let Some(other) = take_other(spare, pool) {
            controller.begin(&other.host, task, Some(other.pool), ctx);
        } else {
            return;
        }
        serving[n] += 1;
    }
}

/// Hosts that serve each pool: those on their way to it included, those that leave it or are spare not.
fn count_serving(controller: &HostController, needs: &[PoolNeed<'_>]) -> Vec<u64> {
    let places = needs.iter().enumerate();
    let places: HashMap<&str, usize> = places.map(|(n, need)| (need.pool, n)).collect();
    let mut serving = vec![0; needs.len()];
    for record in controller.list.iter() {
        let place = match controller.task_of(&record.host) {
            Some(HostTask::Move(to)) => places.get(to.as_str()),
            _ => places
                .get(record.pool.as_str())
                .filter(|n| record.state != HostState::Down && !needs[**n].gives(&record.host)),
        };
        if let Some(n) = place {
            serving[*n] += 1;
        }
    }
    serving
}

/// The pool that has the least of what its work needs, or else of what it wants.
fn shortest(needs: &[PoolNeed<'_>], heard: &[usize], serving: &[u64]) -> Option<usize> {
    let least = |hosts: fn(&PoolNeed<'_>) -> u64| {
        let short = heard.iter().copied();
        let short = short.filter(|n| serving[*n] < hosts(&needs[*n]));
        short.min_by_key(|n| serving[*n] * 1_000 / hosts(&needs[*n]))
    };
    least(|need| need.needed).or_else(|| least(|need| need.wanted))
}

/// A spare host of another pool.
fn take_other(spare: &mut Vec<Spare>, pool: &str) -> Option<Spare> {
    let at = spare.iter().position(|other| other.pool != pool)?;
    Some(spare.swap_remove(at))
}

/// Notes since when hosts are on offer.
fn note_offers(controller: &mut HostController, with: &Inputs<'_>, now_ms: Millis) {
    let is_offered = |host: &str| {
        let mut rows = with.needs.iter().map(|need| &need.offers.row);
        rows.any(|row| row.offered.contains_key(host))
    };
    controller.offered_ms.retain(|host, _| is_offered(host));
    for need in with.needs {
        for host in need.offers.row.offered.keys() {
            if !controller.offered_ms.contains_key(host) {
                controller.offered_ms.insert(host.clone(), now_ms);
            }
        }
    }
}

/// Turns off hosts that have been on offer for long enough.
fn park(controller: &mut HostController, parked: &str, spare: Vec<Spare>, ctx: &Ctx<'_>) {
    let task = HostTask::Move(parked.to_string());
    let is_long = |other: &Spare| {
        let since_ms = controller.offered_ms.get(&other.host);
        other.is_offered && since_ms.is_some_and(|since| ctx.now.ms >= since + PARK_MS)
    };
    let room = PARKED_AT_A_TIME.saturating_sub(controller.count_of(&task));
    let long: Vec<Spare> = spare.into_iter().filter(is_long).take(room).collect();
    for other in long {
        controller.begin(&other.host, task.clone(), Some(other.pool), ctx);
    }
}

impl Fleet<'_> {
    /// Hosts of a pool that are on offer, or that a former holder took and did not move. What this one took and
    /// did not move goes back first: its return may be on its way.
    fn spare_of(&self, controller: &HostController, need: &PoolNeed<'_>, epoch: u64) -> Vec<Spare> {
        let row = &need.offers.row;
        let offered = row.offered.iter().map(|(host, life)| (host, life, true));
        let taken = row.taken.iter().filter(|(_, by)| by.epoch != epoch);
        let taken = taken.map(|(host, by)| (host, &by.life, false));
        // A later life of the host may be at work, whatever the row says of an earlier one.
        let is_on =
            |host: &str, life: &str| controller.list.get(host).is_some_and(|h| h.life == life);
        let all = offered.chain(taken).filter(|(host, life, _)| {
            is_on(host, life) && self.is_free(controller, host, need.pool)
        });
        all.map(|(host, _, is_offered)| Spare {
            host: host.clone(),
            pool: need.pool.to_string(),
            is_offered,
        })
        .collect()
    }

    /// Whether a host is up in this pool, with no order out, no slot of a wave and nobody else's orders of late.
    fn is_free(&self, controller: &HostController, host: &str, pool: &str) -> bool {
        let record = controller.list.get(host);
        if !record.is_some_and(|h| h.pool == pool && h.state == HostState::Up) {
            return false;
        }
        let has_slot = self.waves.values().any(|w| w.row.out.contains_key(host));
        let is_busy = controller.has_order(host) || controller.is_quiet(host, self.now_ms);
        // What was refused is not tried again at once.
        let was_sent = |at: &Millis| self.now_ms < at + RETRY_SENT_MS;
        let is_busy = is_busy || controller.sent_ms.get(host).is_some_and(was_sent);
        !has_slot && !is_busy
    }
}
