//! Decides how many hosts a pool wants, and which of its hosts it can spare.
//!
//! The owner of a pool calls [`reconcile`] regularly. The wanted number is published with the owner's heartbeat;
//! spare hosts are offered in a row of their own ([`super::offers`]).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::data_racks;
use super::fragmentation::Fragmentation;
use super::giving::Giving;
use super::keys::WorkerKey;
use super::limits::PLACE_SCAN_MAX;
use super::offers::Offers;
use super::overload::HOSTS_EXPECTED_MS;
use super::pool_state::{ExpectedCapacity, PoolState};
use super::state::{Ctx, Effect, Timer};
use super::tasks::{Class, Job, Outlook, Rank, Task};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::Capacity;

/// How often a pool's size is reconciled.
pub const RECONCILE_MS: Millis = 100;

/// How long hosts are kept after they were last needed: a few passes, which smooth out single jobs. A host on offer
/// can be withdrawn within one round trip to the store.
const NEED_WINDOW_MS: Millis = 300;

/// Least time between two additions to the row of offers. In between, the hosts in the row can be taken, which takes up
/// to 0.1 s until the next pass and a round trip to the store.
const OFFERS_GAP_MS: Millis = 200;

/// Least time between two additions as a number of store round trips, used where that is longer: a feed update, a
/// take and its answer.
const OFFERS_GAP_ANSWERS: Millis = 3;

/// Most hosts in the row of offers. The row holds the worker of each, and those that were taken: with 512 of both it is
/// some 50 KB, and the store's limit is 64 KB. Hosts that are taken make room for others.
const OFFERS_MAX: usize = 512;

/// How often an owner logs how full its pool is.
const LOAD_LOG_MS: Millis = 1_000;

/// The least number of hosts that a pool keeps.
const HOSTS_MIN: u64 = 3;

/// A task that has waited this long although the pool has room fits on no open host: placement takes only
/// milliseconds.
const UNPLACEABLE_WAIT_MS: Millis = 500;

/// Most hosts that are requested at a time for tasks that fit on no open host.
const UNPLACEABLE_HOSTS_MAX: usize = 8;

/// Requested hosts as a percentage of the current need, so that the next jobs find room while more hosts arrive.
const HEADROOM_PERCENT: u64 = 125;

/// What a pool's owner knows about the size of its pool.
#[derive(Clone, Debug, Default)]
pub struct Sizing {
    /// Hosts that the pool wants, for all work or for work in time.
    pub wanted: u64,
    /// The needs of the last `NEED_WINDOW_MS`, with their times.
    needs: VecDeque<(Millis, Need)>,
    /// Hosts on offer that the pool wants back.
    withdrawn: BTreeSet<String>,
    /// The last logged `wanted` and `needed`.
    logged: (u64, u64),
    /// When hosts were last put on offer.
    offered_ms: Millis,
    /// What is known of the other pools' need for hosts of this one.
    pub giving: Giving,
    /// More hosts were needed than served when the need was last logged.
    is_short: bool,
    /// Hosts that the pool's work needs now.
    pub needed: u64,
    /// Hosts that take the pool's work now.
    pub serving: u64,
}

/// Numbers of hosts that a pool could use.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// For lasting work and work that can still be in time.
    in_time: u64,
    /// For all work.
    all: u64,
}

/// Inputs of one pass over a pool's size.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The pool's name, which is also the partition of its rows.
    pub pool: &'a str,
    /// The owner's epoch.
    pub epoch: u64,
    /// Whether the configuration has a pool whose hosts are turned off.
    pub can_park: bool,
    /// Whether this pool should give hosts to others that have fewer than their work needs. It then wants no hosts for
    /// work that is already late.
    pub another_pool_lacks_hosts: bool,
    /// How long the store's last answer took.
    pub answer_ms: Millis,
}

/// Reconciles the pool's size. Returns whether the number of wanted or needed hosts changed while the pool lacks hosts,
/// or lacked some before. The caller then publishes the change early, since other pools wait for it.
pub fn reconcile(
    pool_state: &mut PoolState,
    sizing: &mut Sizing,
    offers: &mut Offers,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) -> bool {
    ctx.set_timer(RECONCILE_MS, Timer::Size);
    let now_ms = ctx.now.ms;
    let has_offers = !offers.row.offered.is_empty();
    sizing
        .needs
        .push_back((now_ms, needed_hosts(pool_state, has_offers, now_ms)));
    sizing
        .needs
        .retain(|(at_ms, _)| now_ms < at_ms + NEED_WINDOW_MS);
    let most = |hosts: fn(&Need) -> u64| sizing.needs.iter().map(|(_, n)| hosts(n)).max();
    let needed = most(|n| n.in_time).unwrap_or(HOSTS_MIN);
    let for_all = most(|n| n.all).unwrap_or(HOSTS_MIN);
    let host_cpu_milli = mean_capacity(pool_state).cpu_milli;
    let for_racks = data_racks::note_demand(pool_state, host_cpu_milli, needed, now_ms);
    let (needed, for_all) = (needed + for_racks, for_all + for_racks);
    // Before the first job the load is unknown, and the pool keeps its hosts.
    let has_load = !pool_state.jobs.is_empty();
    sizing.needed = if has_load { needed } else { 0 };
    // Work that is late already has to wait while another pool lacks hosts for work that can be in time.
    let for_work = if inputs.another_pool_lacks_hosts {
        needed
    } else {
        for_all
    };
    sizing.wanted = if has_load { for_work } else { 0 };
    let may_give_hosts = knows_peaks(pool_state) || inputs.another_pool_lacks_hosts;
    if inputs.can_park && may_give_hosts {
        adjust_spare(pool_state, sizing, offers, now_ms);
        update_offers(pool_state, sizing, offers, inputs, ctx);
    }
    sizing.serving = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(now_ms))
        .count() as u64;
    note_expected_hosts(pool_state, sizing, now_ms);
    let sizes = (sizing.wanted, sizing.needed);
    if sizing.logged == sizes {
        return false;
    }
    ctx.log(
        Decision::new(
            Code::PoolSized,
            Subject::Pool,
            &pool_state.name,
            "the pool's need for hosts changed",
        )
        .with("wanted", sizing.wanted)
        .with("needed", sizing.needed)
        .with("serving", sizing.serving)
        .with("offered", offers.row.offered.len() as u64)
        .with("taken", offers.row.taken.len() as u64),
    );
    sizing.logged = sizes;
    let was_short = std::mem::replace(&mut sizing.is_short, sizing.needed > sizing.serving);
    was_short || sizing.is_short
}

/// Returns whether the pool has had a job that ends by itself. Lasting jobs alone tell nothing of the peaks to come, which
/// may begin at any moment, so the pool keeps its hosts until then.
fn knows_peaks(pool_state: &PoolState) -> bool {
    pool_state.jobs.values().any(|job| !job.spec.is_lasting())
}

/// Records the capacity that the pool can expect once the hosts that it lacks arrive. The expected time is set when
/// the lack begins, so hosts that don't come by then no longer count.
fn note_expected_hosts(pool_state: &mut PoolState, sizing: &Sizing, now_ms: Millis) {
    if sizing.needed <= sizing.serving {
        pool_state.expected_capacity = None;
        return;
    }
    let host_cpu = mean_capacity(pool_state).cpu_milli;
    let at_ms = pool_state
        .expected_capacity
        .map_or(now_ms + HOSTS_EXPECTED_MS, |c| c.at_ms);
    pool_state.expected_capacity = Some(ExpectedCapacity {
        cpu_milli: host_cpu * sizing.needed,
        at_ms,
    });
}

/// Returns the mean capacity of the pool's listed hosts, or zero if none is listed.
fn mean_capacity(pool_state: &PoolState) -> Capacity {
    let listed = pool_state.workers.values().filter(|w| w.is_listed);
    let mut sum = Capacity::default();
    let mut count = 0;
    for worker in listed {
        sum.add(worker.info.capacity);
        count += 1;
    }
    let count = count.max(1);
    Capacity {
        cpu_milli: sum.cpu_milli / count,
        mem_mb: sum.mem_mb / count,
        gpu: sum.gpu / count,
    }
}

/// Returns the hosts needed for running and waiting work, for work expected to arrive by the recent rate, and for
/// tasks that must run on separate hosts.
///
/// A pool that offers hosts counts the expected work less its random spread. By the plain rate, a pool whose peak
/// was over asked for 257 hosts instead of 133 for 0.6 s after two large jobs, and took back 40 that another pool
/// needed.
fn needed_hosts(pool_state: &PoolState, has_offers: bool, now_ms: Millis) -> Need {
    let host = mean_capacity(pool_state);
    let hosts = |sum: Capacity| {
        if host.cpu_milli == 0 {
            // No host is listed yet, so the size of a host is unknown.
            return HOSTS_MIN;
        }
        let with_headroom =
            |sum: u64, host: u64| (sum * HEADROOM_PERCENT / 100).div_ceil(host.max(1));
        with_headroom(sum.cpu_milli, host.cpu_milli).max(with_headroom(sum.mem_mb, host.mem_mb))
    };
    let mut lasting = Capacity::default();
    let mut in_time = Capacity::default();
    let mut late = Capacity::default();
    let mut counted = vec![Capacity::default(); pool_state.accounts.len()];
    for job in pool_state.jobs.values().filter(|job| !job.state.is_final()) {
        for round in job.rounds.values() {
            let sum = match job.outlook(round, now_ms) {
                _ if job.spec.is_lasting() => &mut lasting,
                Outlook::InTime if !job.is_excess => &mut in_time,
                _ => &mut late,
            };
            let demand = round.open_demand(&job.spec);
            sum.add(within_quota(pool_state, job, demand, &mut counted));
        }
    }
    let arriving_cpu_milli = match has_offers {
        true => pool_state.min_arriving_cpu_milli(now_ms),
        false => pool_state.arriving_cpu_milli(now_ms),
    };
    in_time.cpu_milli = in_time.cpu_milli.max(arriving_cpu_milli);
    let least = (separate_hosts(pool_state) + 1).max(HOSTS_MIN);
    let least = least.max(hosts_for_unplaceable(pool_state, host, now_ms));
    in_time.add(lasting);
    late.add(in_time);
    Need {
        in_time: hosts(in_time).max(least),
        all: hosts(late).max(least),
    }
}

/// Returns the part of a job's demand that its account's quota could allow in addition to what was `counted` before.
fn within_quota(
    pool_state: &PoolState,
    job: &Job,
    demand: Capacity,
    counted: &mut [Capacity],
) -> Capacity {
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

/// Returns the hosts needed for tasks that wait although the pool has enough room in all: they fit on no open host
/// beside its other tasks, but they fit on an empty one. Without this, such a task waited for 14 s beside eight
/// idle hosts. A task that asks for a label requests no host, since it might fit on no other host either.
fn hosts_for_unplaceable(pool_state: &PoolState, host: Capacity, now_ms: Millis) -> u64 {
    let waits_long = |rank: &&Rank| {
        let is_late = |t: &Task| now_ms >= t.since_ms + UNPLACEABLE_WAIT_MS;
        pool_state.task(rank.task).is_some_and(is_late) && pool_state.is_within_quota(rank.task, 1)
    };
    let first = pool_state.ready.iter().take(PLACE_SCAN_MAX);
    let waiting: Vec<&Rank> = first.filter(waits_long).collect();
    if waiting.is_empty() {
        return 0;
    }
    let fragmentation = Fragmentation::of(pool_state, now_ms);
    let is_stuck = |rank: &&Rank| {
        pool_state.step_spec(rank.task).is_some_and(|spec| {
            let demand = spec.demand();
            let has_room = demand.cpu_milli <= host.cpu_milli && demand.mem_mb <= host.mem_mb;
            let is_split = rank.class == Class::Lasting
                || fragmentation.is_split(pool_state, rank.class, demand);
            spec.label.is_none() && !spec.gang && has_room && is_split
        })
    };
    let stuck = waiting.into_iter().filter(is_stuck);
    let (prompt, late): (Vec<&Rank>, Vec<&Rank>) = stuck.partition(|r| r.class <= Class::InTime);
    // Tasks that are late anyway request one host at a time.
    let more = prompt
        .len()
        .min(UNPLACEABLE_HOSTS_MAX)
        .max(late.len().min(1)) as u64;
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

/// Returns the number of separate hosts that the widest lasting step needs.
fn separate_hosts(pool_state: &PoolState) -> u64 {
    let live = pool_state.jobs.values().filter(|job| !job.state.is_final());
    let steps = live.flat_map(|job| job.spec.steps.iter().filter(|s| s.lasting));
    let hosts = steps.map(|s| u64::from(s.count) / u64::from(s.per_worker_max.max(1)));
    hosts.max().unwrap_or(0)
}

/// Closes hosts that are not wanted, those with the least work first, and opens them again when they are wanted.
fn adjust_spare(pool_state: &mut PoolState, sizing: &mut Sizing, offers: &Offers, now_ms: Millis) {
    reopen_withdrawn(pool_state, sizing, offers);
    let serving = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(now_ms))
        .count() as u64;
    if serving < sizing.wanted {
        open_hosts(
            pool_state,
            sizing,
            offers,
            (sizing.wanted - serving) as usize,
        );
    } else {
        sizing.withdrawn.clear();
        close_hosts(pool_state, (serving - sizing.wanted) as usize, now_ms);
    }
}

/// Opens withdrawn hosts once they are off the row of offers.
fn reopen_withdrawn(pool_state: &mut PoolState, sizing: &mut Sizing, offers: &Offers) {
    let mut has_reopened = false;
    sizing.withdrawn.retain(|host| {
        let Some(key) = pool_state.worker_on(host) else {
            return false;
        };
        let worker = &mut pool_state.workers[key];
        let worker_id = &worker.info.id;
        if offers.is_taken(host, worker_id) {
            return false;
        }
        let is_off = !offers.is_offered(host);
        if is_off {
            worker.is_spare = false;
            has_reopened = true;
        }
        !is_off
    });
    pool_state.wants_placing |= has_reopened;
}

fn open_hosts(pool_state: &mut PoolState, sizing: &mut Sizing, offers: &Offers, count: usize) {
    let mut left = count;
    let mut offered: Vec<String> = Vec::new();
    let spare = pool_state.workers.iter();
    let spare = spare.filter(|(_, w)| w.is_spare && !w.is_evacuated);
    let mut spare: Vec<WorkerKey> = spare.map(|(key, _)| key).collect();
    spare.sort_by_key(|key| !data_racks::is_named(pool_state, &pool_state.workers[*key]));
    for key in spare {
        let worker = &mut pool_state.workers[key];
        let (host, worker_id) = (&worker.info.host, &worker.info.id);
        if offers.is_taken(host, worker_id) {
            continue;
        }
        if offers.is_offered(host) {
            offered.push(host.clone());
        } else if left > 0 {
            // The host was closed and never offered, so it can serve at once.
            worker.is_spare = false;
            pool_state.wants_placing = true;
            left -= 1;
        }
    }
    let coming = offered.iter().filter(|h| sizing.withdrawn.contains(*h));
    left = left.saturating_sub(coming.count());
    let more = offered
        .into_iter()
        .filter(|h| !sizing.withdrawn.contains(h));
    let more: Vec<String> = more.take(left).collect();
    sizing.withdrawn.extend(more);
}

/// Offers hosts that are spare and empty, and withdraws those that are wanted again.
fn update_offers(
    pool_state: &mut PoolState,
    sizing: &mut Sizing,
    offers: &mut Offers,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    if !ctx.may_send() {
        return;
    }
    let mut idle = Vec::new();
    for (key, worker) in pool_state.workers.iter().filter(|(_, w)| w.is_spare) {
        let (host, worker_id) = (&worker.info.host, &worker.info.id);
        let is_idle = worker.is_listed && worker.is_answering && pool_state.is_drained(key);
        let is_idle = is_idle && !worker.is_closing && !worker.is_evacuated;
        let has_left = pool_state
            .leftover_runs
            .values()
            .any(|left| left.worker == key);
        // An empty host that is due for maintenance is kept, so that the maintenance comes before a move.
        let is_kept = worker.awaits_wave && !inputs.another_pool_lacks_hosts;
        let is_wanted = is_kept || sizing.withdrawn.contains(host);
        if is_idle && !has_left && !is_wanted && !offers.is_taken(host, worker_id) {
            idle.push((host.clone(), worker_id.clone()));
        }
    }
    let offered = choose_offered(idle, offers);
    let is_known = |worker_id: &str| pool_state.workers_by_id.contains_key(worker_id);
    let pause_ms = (inputs.answer_ms * OFFERS_GAP_ANSWERS).max(OFFERS_GAP_MS);
    let is_withdrawn = offers.row.offered.keys().any(|h| !offered.contains_key(h));
    if !is_withdrawn && ctx.now.ms < sizing.offered_ms + pause_ms {
        mark_offered(pool_state, offers);
        return;
    }
    if let Some(tx) = offers.prepare_change(inputs.pool, inputs.epoch, offered, is_known) {
        sizing.offered_ms = ctx.now.ms;
        ctx.out
            .push(Effect::SettleOffers(ctx.pool, inputs.epoch, tx));
    }
    mark_offered(pool_state, offers);
}

/// Returns the idle hosts to offer, those that are on offer already first.
fn choose_offered(mut idle: Vec<(String, String)>, offers: &Offers) -> BTreeMap<String, String> {
    if idle.len() > OFFERS_MAX {
        idle.sort_by_key(|(host, _)| !offers.row.offered.contains_key(host));
        idle.truncate(OFFERS_MAX);
    }
    idle.into_iter().collect()
}

/// Marks the workers whose hosts are on offer or were taken.
pub fn mark_offered(pool_state: &mut PoolState, offers: &Offers) {
    for (_, worker) in &mut pool_state.workers {
        let (host, worker_id) = (&worker.info.host, &worker.info.id);
        worker.is_offered = offers.is_given(host, worker_id);
    }
}

fn close_hosts(pool_state: &mut PoolState, count: usize, now_ms: Millis) {
    let mut idle: Vec<(u64, WorkerKey)> = pool_state
        .workers
        .iter()
        .filter(|(key, w)| {
            w.is_open(now_ms) && !pool_state.reserved.has(*key) && !pool_state.carries_lasting(w)
        })
        .map(|(key, w)| (w.used.cpu_milli, key))
        .collect();
    idle.sort_unstable();
    let idle = idle.into_iter().map(|(_, key)| key).collect();
    let order = data_racks::order_for_closing(pool_state, idle, now_ms);
    for key in order.into_iter().take(count) {
        pool_state.workers[key].is_spare = true;
    }
}

/// Logs how full the pool is, once per `LOAD_LOG_MS`.
pub fn log_load(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    if ctx.now.ms < pool_state.load_logged_ms + LOAD_LOG_MS {
        return;
    }
    pool_state.load_logged_ms = ctx.now.ms;
    let open: Vec<_> = pool_state
        .workers
        .values()
        .filter(|w| w.is_open(ctx.now.ms))
        .collect();
    let room: u64 = open.iter().map(|w| w.info.capacity.cpu_milli).sum();
    let used: u64 = open.iter().map(|w| w.used.cpu_milli).sum();
    let count = |class: Class| pool_state.ready.iter().filter(|r| r.class == class).count() as u64;
    let (in_time, deferred) = (count(Class::InTime), count(Class::Deferred));
    let name = pool_state.name.clone();
    ctx.log(
        Decision::new(
            Code::PoolLoad,
            Subject::Pool,
            &name,
            "regular report of the pool's load",
        )
        .with("open", open.len() as u64)
        .with("workers", pool_state.workers.len() as u64)
        .with("room_cpu_milli", room)
        .with("used_cpu_milli", used)
        .with("waiting", pool_state.ready.len() as u64)
        .with("in_time", in_time)
        .with("behind", deferred),
    );
}
