//! How many hosts a pool wants, told with its owner's heartbeat, and which it can spare: offered in a row of
//! their own ([`super::offers`]).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::fragmentation::Fragmentation;
use super::keys::WorkerKey;
use super::limits::PLACE_SCAN_MAX;
use super::offers::Offers;
use super::overload::COMING_MS;
use super::pool_state::{Coming, PoolState};
use super::state::{Ctx, Effect, Timer};
use super::tasks::{Class, Job, Outlook, Rank, Task};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::Capacity;

/// How often a pool's size is looked at.
pub const RECONCILE_MS: Millis = 100;

/// Hosts are kept so long after they were last needed: a few looks, against the noise of single jobs. One that
/// is on offer comes back within an answer of the store.
const KEEP_MS: Millis = 300;

/// More hosts are put on offer so long after the last ones at the least: between two changes of the row those on
/// it can be taken, by a look each 0.1 s and an answer of the store.
const OFFERS_APART_MS: Millis = 200;

/// The same in answers of the store, where that is more: a feed, a take and its answer.
const OFFERS_APART_ANSWERS: Millis = 3;

/// How often an owner tells how full its pool is.
const LOAD_TOLD_MS: Millis = 1_000;

/// Hosts that a pool keeps at the least.
const HOSTS_MIN: u64 = 3;

/// A task that has waited so long for a place beside room for it fits on no open host: places are given within milliseconds.
const SHAPE_WAIT_MS: Millis = 500;

/// Most hosts that are asked for at a time for tasks that fit on no open one.
const SHAPES_MAX: usize = 8;

/// Hosts beyond what is needed now, in percent: the next jobs find room while others come.
const ROOM_PERCENT: u64 = 125;

/// What a pool's owner thinks of its size.
#[derive(Clone, Debug, Default)]
pub struct Sizing {
    /// Hosts that it wants.
    pub wanted: u64,
    /// What was needed of late.
    needs: VecDeque<(Millis, Need)>,
    /// Hosts on offer that are wanted again.
    withdrawn: BTreeSet<String>,
    /// What was last told: wanted and needed.
    told: (u64, u64),
    /// When hosts were last put on offer.
    offered_ms: Millis,
    /// More hosts were needed than served.
    is_short: bool,
    /// Hosts that its work needs now.
    pub needed: u64,
    /// Hosts that take its work now.
    pub serving: u64,
}

/// Hosts that a pool could use.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// For work that lasts and for what can still be in time.
    in_time: u64,
    /// For all work.
    all: u64,
}

/// What a look is made with.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The pool's name, which is also the partition of its rows.
    pub pool: &'a str,
    /// The owner's epoch.
    pub epoch: u64,
    /// There is a pool whose hosts are off.
    pub can_park: bool,
    /// Another pool lacks hosts for the work that it has.
    pub pressed: bool,
    /// What the store took for its last answer.
    pub answer_ms: Millis,
}

/// Looks at the pool's size; says whether it lacks hosts, or lacked some, and that changed: others wait for it.
pub fn reconcile(
    pool_state: &mut PoolState,
    sizing: &mut Sizing,
    offers: &mut Offers,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) -> bool {
    ctx.after(RECONCILE_MS, Timer::Size);
    let now_ms = ctx.now.ms;
    let gives = !offers.row.offered.is_empty();
    sizing
        .needs
        .push_back((now_ms, need(pool_state, gives, now_ms)));
    sizing.needs.retain(|(at_ms, _)| now_ms < at_ms + KEEP_MS);
    let most = |hosts: fn(&Need) -> u64| sizing.needs.iter().map(|(_, n)| hosts(n)).max();
    let needed = most(|n| n.in_time).unwrap_or(HOSTS_MIN);
    let for_all = most(|n| n.all).unwrap_or(HOSTS_MIN);
    // Before the first job nothing is known of the load: the pool keeps what it has.
    let has_load = !pool_state.jobs.is_empty();
    sizing.needed = if has_load { needed } else { 0 };
    // Work that is late already waits while another pool lacks hosts for work that can be in time.
    let for_work = if with.pressed { needed } else { for_all };
    sizing.wanted = if has_load { for_work } else { 0 };
    if with.can_park && (has_load || with.pressed) {
        choose_spare(pool_state, sizing, offers, now_ms);
        settle_offers(pool_state, sizing, offers, with, ctx);
    }
    sizing.serving = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(now_ms))
        .count() as u64;
    expect_hosts(pool_state, sizing, now_ms);
    let now_told = (sizing.wanted, sizing.needed);
    if sizing.told == now_told {
        return false;
    }
    ctx.log(
        Decision::new(
            Code::PoolSized,
            Subject::Pool,
            &pool_state.name,
            "need changed",
        )
        .with("wanted", sizing.wanted)
        .with("needed", sizing.needed)
        .with("serving", sizing.serving)
        .with("offered", offers.row.offered.len() as u64)
        .with("taken", offers.row.taken.len() as u64),
    );
    sizing.told = now_told;
    let was_short = std::mem::replace(&mut sizing.is_short, sizing.needed > sizing.serving);
    was_short || sizing.is_short
}

/// Notes which hosts the pool can expect: those that it lacks, but for a lack that stays.
fn expect_hosts(pool_state: &mut PoolState, sizing: &Sizing, now_ms: Millis) {
    if sizing.needed <= sizing.serving {
        pool_state.coming = None;
        return;
    }
    let host_cpu = mean_host(pool_state).cpu_milli;
    let at_ms = pool_state.coming.map_or(now_ms + COMING_MS, |c| c.at_ms);
    pool_state.coming = Some(Coming {
        cpu_milli: host_cpu * sizing.needed,
        at_ms,
    });
}

/// What a listed host of the pool has on the mean; nothing where none is listed.
fn mean_host(pool_state: &PoolState) -> Capacity {
    let listed = pool_state.workers.values().filter(|w| w.is_listed);
    let mut sum = Capacity::default();
    let mut count = 0;
    for worker in listed {
        sum.add(worker.fact.capacity);
        count += 1;
    }
    let count = count.max(1);
    Capacity {
        cpu_milli: sum.cpu_milli / count,
        mem_mb: sum.mem_mb / count,
        gpu: sum.gpu / count,
    }
}

/// Hosts needed for what runs and waits, for what is on its way by the rate of late, and for tasks that must
/// stand apart.
///
/// A pool that gives hosts away counts what comes less what is chance. By the bare rate, one whose peak was over
/// asked for 257 hosts in place of 133 for 0.6 s after two large jobs, and took 40 back that another pool needed.
fn need(pool_state: &PoolState, gives: bool, now_ms: Millis) -> Need {
    let host = mean_host(pool_state);
    let hosts = |sum: Capacity| {
        if host.cpu_milli == 0 {
            // No host is listed yet that tells how large one is.
            return HOSTS_MIN;
        }
        let with_room = |sum: u64, host: u64| (sum * ROOM_PERCENT / 100).div_ceil(host.max(1));
        with_room(sum.cpu_milli, host.cpu_milli).max(with_room(sum.mem_mb, host.mem_mb))
    };
    let mut lasting = Capacity::default();
    let mut in_time = Capacity::default();
    let mut late = Capacity::default();
    let mut counted = vec![Capacity::default(); pool_state.accounts.len()];
    for job in pool_state.jobs.values().filter(|job| !job.state.is_final()) {
        let sum = match job.outlook(now_ms) {
            _ if job.spec.is_lasting() => &mut lasting,
            Outlook::InTime if !job.is_excess => &mut in_time,
            _ => &mut late,
        };
        sum.add(within_quota(pool_state, job, &mut counted));
    }
    let arriving_cpu_milli = match gives {
        true => pool_state.surely_arriving_cpu_milli(now_ms),
        false => pool_state.arriving_cpu_milli(now_ms),
    };
    in_time.cpu_milli = in_time.cpu_milli.max(arriving_cpu_milli);
    let least = (apart(pool_state) + 1).max(HOSTS_MIN);
    let least = least.max(hosts_for_shapes(pool_state, host, now_ms));
    in_time.add(lasting);
    late.add(in_time);
    Need {
        in_time: hosts(in_time).max(least),
        all: hosts(late).max(least),
    }
}

/// What a job's open steps ask for, as far as its account's quota could allow beside what was `counted` before.
fn within_quota(pool_state: &PoolState, job: &Job, counted: &mut [Capacity]) -> Capacity {
    let demand = job.open_demand();
    let Some(key) = job.account else {
        return demand;
    };
    let (account, counted) = (
        &pool_state.accounts[usize::from(key.0)],
        &mut counted[usize::from(key.0)],
    );
    if account.limit.is_none() {
        return demand;
    }
    let left =
        |ceiling: u64, counted: u64, wanted: u64| ceiling.saturating_sub(counted).min(wanted);
    let demand = Capacity {
        cpu_milli: left(
            account.ceiling.cpu_milli,
            counted.cpu_milli,
            demand.cpu_milli,
        ),
        mem_mb: left(account.ceiling.mem_mb, counted.mem_mb, demand.mem_mb),
        gpu: left(account.ceiling.gpu, counted.gpu, demand.gpu),
    };
    counted.add(demand);
    demand
}

/// Hosts for tasks that have waited for a place though the sums leave room: beside what the open hosts carry, they fit
/// on none, and an empty one takes them. Without, such a task waited for 14 s beside eight idle hosts. A task that asks for
/// a label may fit on no other host either, and asks for none.
fn hosts_for_shapes(pool_state: &PoolState, host: Capacity, now_ms: Millis) -> u64 {
    let waits_long = |rank: &&Rank| {
        let is_late = |t: &Task| now_ms >= t.since_ms + SHAPE_WAIT_MS;
        pool_state.task(rank.task).is_some_and(is_late) && pool_state.is_within_quota(rank.task, 1)
    };
    let first = pool_state.ready.iter().take(PLACE_SCAN_MAX);
    let waiting: Vec<&Rank> = first.filter(waits_long).collect();
    if waiting.is_empty() {
        return 0;
    }
    let slack = Fragmentation::of(pool_state, now_ms);
    let is_stuck = |rank: &&Rank| {
        pool_state.step_spec(rank.task).is_some_and(|spec| {
            let demand = spec.demand();
            let has_room = demand.cpu_milli <= host.cpu_milli && demand.mem_mb <= host.mem_mb;
            let is_split =
                rank.class == Class::Lasting || slack.is_split(pool_state, rank.class, demand);
            spec.label.is_none() && !spec.gang && has_room && is_split
        })
    };
    let stuck = waiting.into_iter().filter(is_stuck);
    let (prompt, late): (Vec<&Rank>, Vec<&Rank>) = stuck.partition(|r| r.class <= Class::InTime);
    // What is late anyway gets its turn, one at a time.
    let more = prompt.len().min(SHAPES_MAX).max(late.len().min(1)) as u64;
    if more == 0 {
        return 0;
    }
    let open = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(now_ms))
        .count() as u64;
    open + more
}

/// The widest lasting step, by hosts that its tasks must stand on.
fn apart(pool_state: &PoolState) -> u64 {
    let live = pool_state.jobs.values().filter(|job| !job.state.is_final());
    let steps = live.flat_map(|job| job.spec.steps.iter().filter(|s| s.lasting));
    let hosts = steps.map(|s| u64::from(s.count) / u64::from(s.per_worker_max.max(1)));
    hosts.max().unwrap_or(0)
}

/// Closes as many hosts as are not wanted, those with the least work first; opens them again where they are.
fn choose_spare(pool_state: &mut PoolState, sizing: &mut Sizing, offers: &Offers, now_ms: Millis) {
    reopen(pool_state, sizing, offers);
    let serving = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(now_ms))
        .count() as u64;
    if serving < sizing.wanted {
        open_some(
            pool_state,
            sizing,
            offers,
            (sizing.wanted - serving) as usize,
        );
    } else {
        sizing.withdrawn.clear();
        close_some(pool_state, (serving - sizing.wanted) as usize, now_ms);
    }
}

/// Hosts that are wanted again serve once they are off the row of offers.
fn reopen(pool_state: &mut PoolState, sizing: &mut Sizing, offers: &Offers) {
    let mut is_any = false;
    sizing.withdrawn.retain(|host| {
        let Some(key) = pool_state.worker_on(host) else {
            return false;
        };
        let worker = &mut pool_state.workers[key];
        let life = &worker.fact.id;
        if offers.is_taken(host, life) {
            return false;
        }
        let is_off = !offers.is_offered(host);
        if is_off {
            worker.is_spare = false;
            is_any = true;
        }
        !is_off
    });
    pool_state.wants_placing |= is_any;
}

fn open_some(pool_state: &mut PoolState, sizing: &mut Sizing, offers: &Offers, count: usize) {
    let mut left = count;
    let mut offered: Vec<&str> = Vec::new();
    for worker in pool_state.workers.values_mut().filter(|w| w.is_spare) {
        let (host, life) = (&worker.fact.host, &worker.fact.id);
        if offers.is_taken(host, life) {
            continue;
        }
        if offers.is_offered(host) {
            offered.push(host);
        } else if left > 0 {
            // It was closed and never offered: it can serve at once.
            worker.is_spare = false;
            pool_state.wants_placing = true;
            left -= 1;
        }
    }
    let coming = offered.iter().filter(|h| sizing.withdrawn.contains(**h));
    left = left.saturating_sub(coming.count());
    let more = offered
        .into_iter()
        .filter(|h| !sizing.withdrawn.contains(*h));
    let more: Vec<String> = more.take(left).map(str::to_string).collect();
    sizing.withdrawn.extend(more);
}

/// Puts hosts that are spare and empty on offer, and takes those off that are wanted again.
fn settle_offers(
    pool_state: &mut PoolState,
    sizing: &mut Sizing,
    offers: &mut Offers,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    if !ctx.may_send() {
        return;
    }
    let mut offered = BTreeMap::new();
    for (key, worker) in pool_state.workers.iter().filter(|(_, w)| w.is_spare) {
        let (host, life) = (&worker.fact.host, &worker.fact.id);
        let is_idle = worker.is_listed && worker.answers && pool_state.is_clear(key);
        let is_idle = is_idle && !worker.is_closing;
        let has_left = pool_state
            .leftover_runs
            .values()
            .any(|left| left.worker == key);
        // A host that carries nothing is best taken through its upkeep first.
        let is_kept = worker.is_due && !with.pressed;
        let is_wanted = is_kept || sizing.withdrawn.contains(host);
        if is_idle && !has_left && !is_wanted && !offers.is_taken(host, life) {
            offered.insert(host.clone(), life.clone());
        }
    }
    let is_known = |life: &str| pool_state.workers_by_id.contains_key(life);
    let pause_ms = (with.answer_ms * OFFERS_APART_ANSWERS).max(OFFERS_APART_MS);
    let is_withdrawn = offers.row.offered.keys().any(|h| !offered.contains_key(h));
    if !is_withdrawn && ctx.now.ms < sizing.offered_ms + pause_ms {
        mark_offered(pool_state, offers);
        return;
    }
    if let Some(tx) = offers.change(with.pool, with.epoch, offered, is_known) {
        sizing.offered_ms = ctx.now.ms;
        ctx.out.push(Effect::SettleOffers(ctx.pool, with.epoch, tx));
    }
    mark_offered(pool_state, offers);
}

/// Notes which hosts are on offer, or were taken.
pub fn mark_offered(pool_state: &mut PoolState, offers: &Offers) {
    for (_, worker) in &mut pool_state.workers {
        let (host, life) = (&worker.fact.host, &worker.fact.id);
        worker.is_offered = offers.is_given(host, life);
    }
}

fn close_some(pool_state: &mut PoolState, count: usize, now_ms: Millis) {
    let mut idle: Vec<(u64, WorkerKey)> = pool_state
        .workers
        .iter()
        .filter(|(key, w)| {
            w.is_open(now_ms) && !pool_state.reserved.has(*key) && !pool_state.carries_lasting(w)
        })
        .map(|(key, w)| (w.used.cpu_milli, key))
        .collect();
    idle.sort_unstable();
    for (_, key) in idle.into_iter().take(count) {
        pool_state.workers[key].is_spare = true;
    }
}

/// Once in a while, how full the pool is.
pub fn log_load(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    if ctx.now.ms < pool_state.load_logged_ms + LOAD_TOLD_MS {
        return;
    }
    pool_state.load_logged_ms = ctx.now.ms;
    let open: Vec<_> = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(ctx.now.ms))
        .collect();
    let room: u64 = open.iter().map(|w| w.fact.capacity.cpu_milli).sum();
    let used: u64 = open.iter().map(|w| w.used.cpu_milli).sum();
    let count = |class: Class| pool_state.ready.iter().filter(|r| r.class == class).count() as u64;
    let (in_time, behind) = (count(Class::InTime), count(Class::Deferred));
    let name = pool_state.name.clone();
    ctx.log(
        Decision::new(Code::PoolLoad, Subject::Pool, &name, "the last second")
            .with("open", open.len() as u64)
            .with("workers", pool_state.workers.len() as u64)
            .with("room_cpu_milli", room)
            .with("used_cpu_milli", used)
            .with("waiting", pool_state.ready.len() as u64)
            .with("in_time", in_time)
            .with("behind", behind),
    );
}
