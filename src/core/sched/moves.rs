//! Decides which hosts move where: pools that lack hosts get those that are turned off and those on offer, and a
//! host that no pool wants for a while is turned off. [`super::hosts`] calls `move_hosts` in each pass.
//!
//! The time of a pass grows with the number of hosts, offers and moves, never with hosts times moves: serving hosts
//! are counted once, and the counts are updated as moves begin. When they were counted again for each move, the entry
//! that orders 542 hosts used up an eighth of a core and made a pass every 2 s instead of every 0.1 s.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::data_racks;
use super::hosts::{HostController, HostTask, Inputs, PoolNeed, NEED_KEPT_MS, RETRY_SENT_MS};
use super::reserve::{self, Orders};
use super::state::{Ctx, WaveKnown};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{HostRecord, HostState};

/// A host that may leave its pool.
struct Spare {
    host: String,
    pool: String,
    /// Whether the host is on offer. If not, a former owner of the pool that orders hosts took it.
    is_offered: bool,
}

/// State that decides which hosts are free to move.
struct Fleet<'a> {
    waves: &'a BTreeMap<u64, WaveKnown>,
    evacuated_halls: &'a BTreeSet<String>,
    now_ms: Millis,
}

/// Moves hosts to the pools that want them, and turns off those that no pool wants.
pub(super) fn move_hosts(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let Some(parked) = inputs.config.pools.values().find(|p| p.is_parked) else {
        return;
    };
    let fleet = Fleet {
        waves,
        evacuated_halls: inputs.evacuated_halls,
        now_ms: ctx.now.ms,
    };
    let mut spare: Vec<Spare> = Vec::new();
    for need in inputs.needs {
        spare.extend(fleet.spare_of(controller, need, inputs.epoch));
    }
    fill_short_pools(controller, &fleet, inputs, &parked.name, &mut spare, ctx);
    track_offers(controller, inputs, ctx.now.ms);
    park_hosts(controller, &parked.name, spare, ctx);
}

/// Assigns hosts to the pools that lack some, one by one to the pool with the smallest share of its need.
fn fill_short_pools(
    controller: &mut HostController,
    fleet: &Fleet<'_>,
    inputs: &Inputs<'_>,
    parked: &str,
    spare: &mut Vec<Spare>,
    ctx: &Ctx<'_>,
) {
    let mut serving = count_serving(controller, inputs);
    let is_recent = |need: &PoolNeed<'_>| ctx.now.ms < need.heartbeat_seen_ms + NEED_KEPT_MS;
    let recent: Vec<usize> = (0..inputs.needs.len())
        .filter(|n| is_recent(&inputs.needs[*n]))
        .collect();
    if find_neediest_pool(inputs.needs, &recent, &serving).is_none() {
        return;
    }
    let mut idle: Vec<String> = controller
        .list
        .iter()
        .filter(|h| fleet.is_free(controller, &h.host, parked))
        .map(|h| h.host.clone())
        .collect();
    let mut lacking = lacking_racks(controller, inputs);
    while let Some(n) = find_neediest_pool(inputs.needs, &recent, &serving) {
        let pool = inputs.needs[n].pool;
        let task = HostTask::Move(pool.to_string());
        let near = take_near(controller, &mut idle, spare, pool, &mut lacking[n]);
        let (host, spare_host) = match near {
            Some(Near::Idle(host)) => (Some(host), None),
            Some(Near::Spare(other)) => (None, Some(other)),
            None => (idle.pop(), None),
        };
        if let Some(host) = host {
            controller.create_order(&host, task, None, ctx);
        } else if let Some(other) = spare_host.or_else(|| take_spare_elsewhere(spare, pool)) {
            controller.create_order(&other.host, task, Some(other.pool), ctx);
        } else {
            return;
        }
        serving[n] += 1;
    }
}

/// A host in a rack in which a pool lacks hosts.
enum Near {
    Idle(String),
    Spare(Spare),
}

/// Removes and returns a free host in one of the racks in which a pool lacks hosts. Once there is none, the pool lacks
/// none for the rest of the pass.
fn take_near(
    controller: &HostController,
    idle: &mut Vec<String>,
    spare: &mut Vec<Spare>,
    pool: &str,
    lacking: &mut BTreeMap<String, u64>,
) -> Option<Near> {
    if lacking.is_empty() {
        return None;
    }
    let rack_of = |host: &str| controller.list.get(host).map(|h| h.rack.as_str());
    if let Some(host) = data_racks::take_lacking(idle, lacking, |host| rack_of(host)) {
        return Some(Near::Idle(host));
    }
    let rack_elsewhere = |other: &Spare| rack_of(&other.host).filter(|_| other.pool != pool);
    if let Some(other) = data_racks::take_lacking(spare, lacking, rack_elsewhere) {
        return Some(Near::Spare(other));
    }
    lacking.clear();
    None
}

/// Returns the racks in which each pool lacks hosts, without hosts that are on their way to it.
fn lacking_racks(controller: &HostController, inputs: &Inputs<'_>) -> Vec<BTreeMap<String, u64>> {
    let needs = inputs.needs.iter();
    let mut lacking: Vec<_> = needs.map(|need| need.lacking_racks.clone()).collect();
    if lacking.iter().all(BTreeMap::is_empty) {
        return lacking;
    }
    for record in controller.list.iter() {
        let Some(HostTask::Move(to)) = controller.task_of(&record.host) else {
            continue;
        };
        let Some(n) = inputs.needs.iter().position(|need| need.pool == to) else {
            continue;
        };
        if let Some(hosts) = lacking[n].get_mut(&record.rack) {
            *hosts = hosts.saturating_sub(1);
        }
    }
    lacking
}

/// Counts the hosts that serve each pool, including those on their way to it and without those that leave it, are
/// spare or are in an evacuated hall.
fn count_serving(controller: &HostController, inputs: &Inputs<'_>) -> Vec<u64> {
    let needs = inputs.needs;
    let places = needs.iter().enumerate();
    let places: HashMap<&str, usize> = places.map(|(n, need)| (need.pool, n)).collect();
    let mut serving = vec![0; needs.len()];
    let evacuated_halls = inputs.evacuated_halls;
    let records = controller.list.iter();
    for record in records.filter(|h| !evacuated_halls.contains(&h.hall)) {
        let place = match controller.task_of(&record.host) {
            Some(HostTask::Move(to)) => places.get(to.as_str()),
            _ => places.get(record.pool.as_str()).filter(|n| {
                record.state != HostState::Down && !needs[**n].gives_away(&record.host)
            }),
        };
        if let Some(n) = place {
            serving[*n] += 1;
        }
    }
    serving
}

/// Returns the pool that has the smallest share of what its work needs or, if none lacks any, of what it wants.
fn find_neediest_pool(needs: &[PoolNeed<'_>], recent: &[usize], serving: &[u64]) -> Option<usize> {
    let least = |hosts: fn(&PoolNeed<'_>) -> u64| {
        let short = recent.iter().copied();
        let short = short.filter(|n| serving[*n] < hosts(&needs[*n]));
        short.min_by_key(|n| serving[*n] * 1_000 / hosts(&needs[*n]))
    };
    least(|need| need.needed).or_else(|| least(|need| need.wanted))
}

/// Removes and returns a spare host of another pool.
fn take_spare_elsewhere(spare: &mut Vec<Spare>, pool: &str) -> Option<Spare> {
    let at = spare.iter().position(|other| other.pool != pool)?;
    Some(spare.swap_remove(at))
}

/// Records since when hosts are on offer.
fn track_offers(controller: &mut HostController, inputs: &Inputs<'_>, now_ms: Millis) {
    let is_offered = |host: &str| {
        let mut rows = inputs.needs.iter().map(|need| &need.offers.row);
        rows.any(|row| row.offered.contains_key(host))
    };
    controller.offered_ms.retain(|host, _| is_offered(host));
    for need in inputs.needs {
        for host in need.offers.row.offered.keys() {
            if !controller.offered_ms.contains_key(host) {
                controller.offered_ms.insert(host.clone(), now_ms);
            }
        }
    }
}

/// Turns off hosts that have been on offer for long, as many as the platform's limit of orders leaves room for.
fn park_hosts(controller: &mut HostController, parked: &str, spare: Vec<Spare>, ctx: &mut Ctx<'_>) {
    let task = HostTask::Move(parked.to_string());
    let hold_ms = reserve::hold_ms(&ctx.deployment);
    let is_long = |other: &Spare| {
        let since_ms = controller.offered_ms.get(&other.host);
        other.is_offered && since_ms.is_some_and(|since| ctx.now.ms >= since + hold_ms)
    };
    let orders = Orders {
        recent: controller.count_recent_orders(ctx.now.ms),
        parking: controller.count_orders(&task),
    };
    let room = reserve::room_to_park(&ctx.deployment, orders);
    let free = spare.len() as u64;
    let long: Vec<Spare> = spare.into_iter().filter(is_long).take(room).collect();
    if long.is_empty() {
        return;
    }
    let why = format!("on offer for {hold_ms} ms, and no pool wants them");
    ctx.log(
        Decision::new(Code::HostsOff, Subject::Pool, parked, why)
            .with("off", long.len() as u64)
            .with("free", free)
            .with("recent_orders", orders.recent as u64),
    );
    for other in long {
        controller.create_order(&other.host, task.clone(), Some(other.pool), ctx);
    }
}

impl Fleet<'_> {
    /// Returns the hosts of a pool that are on offer, or that an earlier owner of the pool that orders hosts took and
    /// did not move. A host that this owner took and did not move is given back first, since that write may be under
    /// way.
    fn spare_of(&self, controller: &HostController, need: &PoolNeed<'_>, epoch: u64) -> Vec<Spare> {
        let row = &need.offers.row;
        let offered = row
            .offered
            .iter()
            .map(|(host, worker_id)| (host, worker_id, true));
        let taken = row.taken.iter().filter(|(_, by)| by.epoch != epoch);
        let taken = taken.map(|(host, by)| (host, &by.worker_id, false));
        // A later worker on the host, which the row doesn't name, may be at work.
        let is_on = |host: &str, worker_id: &str| {
            controller
                .list
                .get(host)
                .is_some_and(|h| h.worker == worker_id)
        };
        let all = offered.chain(taken).filter(|(host, worker_id, _)| {
            is_on(host, worker_id) && self.is_free(controller, host, need.pool)
        });
        all.map(|(host, _, is_offered)| Spare {
            host: host.clone(),
            pool: need.pool.to_string(),
            is_offered,
        })
        .collect()
    }

    /// Whether a host is up in this pool, outside evacuated halls, and has no slot of a wave, no pending order and no
    /// recent order of this entry or a former one.
    fn is_free(&self, controller: &HostController, host: &str, pool: &str) -> bool {
        let record = controller.list.get(host);
        let is_up = |h: &HostRecord| h.pool == pool && h.state == HostState::Up;
        if !record.is_some_and(|h| is_up(h) && !self.evacuated_halls.contains(&h.hall)) {
            return false;
        }
        let has_slot = self.waves.values().any(|w| w.row.out.contains_key(host));
        let is_busy = controller.has_order(host) || controller.must_wait(host, self.now_ms);
        // A refused order is not repeated at once.
        let was_sent = |at: &Millis| self.now_ms < at + RETRY_SENT_MS;
        let is_busy = is_busy || controller.sent_ms.get(host).is_some_and(was_sent);
        !has_slot && !is_busy
    }
}
