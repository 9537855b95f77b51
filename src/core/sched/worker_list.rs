//! Changes of the platform's list of workers: instances that appear in the list or leave it.
//!
//! The list does not tell which worker instance of a host is alive. The entry of an instance that has ended remains
//! listed for some heartbeat intervals, and a delayed write may restore it after that.

use std::collections::{BTreeMap, HashSet};

use super::access::{owned_pools, with_pool};
use super::keys::WorkerKey;
use super::load;
use super::offers::Offers;
use super::pool_state::PoolState;
use super::renewal;
use super::run_log;
use super::runs;
use super::state::{Ctx, Effect, State, Timer};
use super::worker::Worker;
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{WorkerEvent, WorkerInfo};

/// Time for which the report times of workers are kept. They are compared with the request times of separate readings
/// of the list.
const CHANGES_KEPT_MS: Millis = 60_000;

/// Number of report times from which on each addition first drops those older than [`CHANGES_KEPT_MS`].
const CHANGES_MAX: usize = 4_096;

/// Pause for a worker whose id is listed with another start time. The next renewal shows which instance is alive.
const NEW_INSTANCE_PAUSE_MS: Millis = 500;

/// Records when the feed of the list last reported each worker. The feed reports each change once, in order. A separate
/// reading that was requested before a change may be older than the change and must not undo it.
#[derive(Clone, Debug, Default)]
pub struct ListChanges {
    by_id: BTreeMap<String, Millis>,
    /// When the feed last reported the whole list.
    whole_list_ms: Millis,
    /// Everything that the store took before this time is known.
    current_ms: Millis,
}

/// The reading of the list from which a worker's entry was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// A single change that the feed reported.
    Change,
    /// The whole list, as the feed reports it first.
    Whole,
    /// A list that was read separately from the feed.
    Separate,
}

impl Reading {
    /// Returns the name that the log gives the reading.
    fn as_str(self) -> &'static str {
        match self {
            Reading::Change => "feed",
            Reading::Whole => "whole list",
            Reading::Separate => "separate list",
        }
    }
}

impl ListChanges {
    fn note_worker(&mut self, id: &str, now_ms: Millis) {
        if self.by_id.len() >= CHANGES_MAX {
            self.drop_old(now_ms);
        }
        self.by_id.insert(id.to_string(), now_ms);
    }

    /// Records that the feed reported the whole list.
    fn note_all(&mut self, now_ms: Millis) {
        self.by_id.clear();
        self.whole_list_ms = now_ms;
    }

    /// Records that everything that the store took before `ms` is known.
    pub(super) fn note_current(&mut self, ms: Millis) {
        self.current_ms = self.current_ms.max(ms);
    }

    /// Returns the time since the list was last known to be current.
    pub(super) fn age_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.current_ms)
    }

    /// Returns whether the feed has reported a worker, alone or with the whole list, since a reading was requested at
    /// `asked_ms`.
    fn is_reported_since(&self, id: &str, asked_ms: Millis) -> bool {
        let reported_ms = self.by_id.get(id).copied().unwrap_or(0);
        reported_ms.max(self.whole_list_ms) >= asked_ms
    }

    fn drop_old(&mut self, now_ms: Millis) {
        self.by_id
            .retain(|_, at_ms| now_ms < *at_ms + CHANGES_KEPT_MS);
    }
}

/// Maximum number of undecodable entries that are remembered, and logged when they are added. Further ones are not
/// logged. An entry that is removed or becomes valid no longer counts.
const UNREADABLE_LOGGED_MAX: usize = 256;

pub(super) fn apply_worker_event(
    state: &mut State,
    change: WorkerEvent,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let id = match &change {
        WorkerEvent::Present(info) => &info.id,
        WorkerEvent::Gone(id) | WorkerEvent::Unreadable(id, _) => id,
    };
    state.list_changes.note_worker(id, now.ms);
    match change {
        WorkerEvent::Present(info) => apply_listed_worker(state, info, Reading::Change, now, out),
        WorkerEvent::Gone(id) => {
            state.unreadable.remove(&id);
            apply_unlisted_worker(state, &id, now, out);
        }
        WorkerEvent::Unreadable(id, why) => apply_unreadable_entry(state, id, why, now, out),
    }
}

/// Handles an undecodable entry. The worker with the entry's id counts as unlisted and gets no new tasks, but its runs
/// continue. Logs the entry if it is new or its reason has changed, up to [`UNREADABLE_LOGGED_MAX`] entries.
fn apply_unreadable_entry(
    state: &mut State,
    id: String,
    why: String,
    now: Now,
    out: &mut Vec<Effect>,
) {
    apply_unlisted_worker(state, &id, now, out);
    let is_known = state.unreadable.get(&id) == Some(&why);
    if is_known || state.unreadable.len() >= UNREADABLE_LOGGED_MAX {
        return;
    }
    out.push(Effect::Log(Decision::new(
        Code::BadRow,
        Subject::Host,
        &id,
        &*why,
    )));
    state.unreadable.insert(id, why);
}

/// Applies the whole list, which the feed reports first.
pub(super) fn apply_feed_list(
    state: &mut State,
    all: Vec<WorkerInfo>,
    now: Now,
    out: &mut Vec<Effect>,
) {
    apply_list(state, all, Reading::Whole, now, out);
    state.list_changes.note_all(now.ms);
}

/// Applies a list that was read separately from the feed and requested at `asked_ms`. For each worker that the feed has
/// reported since then, the state known from the feed is kept.
pub(super) fn apply_separate_list(
    state: &mut State,
    mut all: Vec<WorkerInfo>,
    asked_ms: Millis,
    now: Now,
    out: &mut Vec<Effect>,
) {
    state.list_changes.drop_old(now.ms);
    let is_reported = |id: &str| state.list_changes.is_reported_since(id, asked_ms);
    all.retain(|info| !is_reported(&info.id));
    let kept = state.listed.values().filter(|info| is_reported(&info.id));
    all.extend(kept.cloned());
    apply_list(state, all, Reading::Separate, now, out);
    state.list_changes.note_current(asked_ms);
}

fn apply_list(
    state: &mut State,
    all: Vec<WorkerInfo>,
    reading: Reading,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let present: HashSet<&str> = all.iter().map(|info| info.id.as_str()).collect();
    let known = state.listed.keys();
    let missing = known.filter(|id| !present.contains(id.as_str()));
    let missing: Vec<String> = missing.cloned().collect();
    for id in missing {
        apply_unlisted_worker(state, &id, now, out);
    }
    for info in all {
        apply_listed_worker(state, info, reading, now, out);
    }
}

fn apply_listed_worker(
    state: &mut State,
    info: WorkerInfo,
    reading: Reading,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let list_age_ms = state.list_changes.age_ms(now.ms);
    state.unreadable.remove(&info.id);
    state.listed.insert(info.id.clone(), info.clone());
    for key in owned_pools(state) {
        with_pool(state, key, now, out, |pool, ctx, _| {
            let is_its_pool = pool.name == info.pool;
            let offers = &pool.offers;
            let Some(ownership) = &mut pool.ownership else {
                return;
            };
            let epoch = ownership.epoch;
            let Some(pool_state) = &mut ownership.pool_state else {
                return;
            };
            match is_its_pool {
                true => {
                    let was_draining = is_known_to_drain(pool_state, &info);
                    apply_worker_entry(pool_state, &info, offers, epoch, ctx);
                    if info.is_draining && !was_draining {
                        log_draining(pool_state, &info, reading, list_age_ms, ctx);
                    }
                }
                // The entry names another pool, so this pool's instances of the same id are no longer listed.
                false => note_unlisted(pool_state, &info.id, ctx),
            }
        });
    }
}

fn is_known_to_drain(pool_state: &PoolState, info: &WorkerInfo) -> bool {
    let key = pool_state.find_instance(&info.id, info.born_wall_ms);
    key.is_some_and(|key| pool_state.workers[key].info.is_draining)
}

fn log_draining(
    pool_state: &PoolState,
    info: &WorkerInfo,
    reading: Reading,
    list_age_ms: Millis,
    ctx: &mut Ctx<'_>,
) {
    let key = pool_state.find_instance(&info.id, info.born_wall_ms);
    let decision = key
        .and_then(|key| run_log::worker_draining(pool_state, key, reading.as_str(), list_age_ms));
    if let Some(decision) = decision {
        ctx.log(decision);
    }
}

/// Applies a worker's entry in the list to the worker's pool: updates a known instance unless a later one has
/// superseded it, or adds a new instance.
pub fn apply_worker_entry(
    pool_state: &mut PoolState,
    info: &WorkerInfo,
    offers: &Offers,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if let Some(key) = pool_state.find_instance(&info.id, info.born_wall_ms) {
        let w = &mut pool_state.workers[key];
        if w.is_superseded {
            return;
        }
        log_resized(w, info, ctx);
        if w.info.address != info.address {
            w.moved_ms = Some(ctx.now.ms);
        }
        w.info = WorkerInfo {
            born_wall_ms: info.born_wall_ms.or(w.info.born_wall_ms),
            ..info.clone()
        };
        w.is_listed = true;
        w.is_withdrawn = false;
        w.is_evacuated = pool_state.evacuated_halls.contains(&info.hall);
        pool_state.update_free_index(key);
        pool_state.wants_placing = true;
        renewal::send_next(pool_state, key, epoch, ctx);
        return;
    }
    if let Some((_, earlier)) = pool_state.instances_of(&info.id).last() {
        ctx.log(run_log::worker_restarted(
            earlier,
            info.born_wall_ms,
            "a new instance with the worker's id was listed",
        ));
        suspend_instances(pool_state, &info.id, ctx);
    }
    let key = load::add_listed(pool_state, info.clone(), ctx.now.ms, ctx.now);
    let is_given = offers.is_given(&info.host, &info.id);
    pool_state.workers[key].is_spare = is_given;
    pool_state.workers[key].is_offered = is_given;
    let found = Decision::new(Code::WorkerFound, Subject::Host, &info.id, &*info.host);
    ctx.log(found.with("born_wall_ms", run_log::born_or_zero(info.born_wall_ms)));
    start_renewing(pool_state, key, epoch, ctx);
}

/// Suspends the instances of an id until it is clear which of them is alive.
fn suspend_instances(pool_state: &mut PoolState, id: &str, ctx: &mut Ctx<'_>) {
    let instances: Vec<WorkerKey> = pool_state.instances_of(id).map(|(key, _)| key).collect();
    for key in instances {
        runs::suspend_worker(pool_state, key, NEW_INSTANCE_PAUSE_MS, ctx);
    }
}

/// Logs a change of a worker's capacity. After a reduction, runs that no longer fit continue until they end, and no
/// further run is started beside them while they exceed the capacity.
fn log_resized(worker: &Worker, info: &WorkerInfo, ctx: &mut Ctx<'_>) {
    let (before, current) = (worker.info.capacity, info.capacity);
    if before == current {
        return;
    }
    ctx.log(
        Decision::new(Code::WorkerResized, Subject::Host, &info.id, &*info.host)
            .with("cpu_milli", current.cpu_milli)
            .with("before_cpu_milli", before.cpu_milli)
            .with("mem_mb", current.mem_mb)
            .with("before_mem_mb", before.mem_mb)
            .with("used_cpu_milli", worker.used.cpu_milli),
    );
}

pub(super) fn apply_unlisted_worker(state: &mut State, id: &str, now: Now, out: &mut Vec<Effect>) {
    state.listed.remove(id);
    for key in owned_pools(state) {
        with_pool(state, key, now, out, |pool, ctx, _| {
            let Some(pool_state) = pool.ownership.as_mut().and_then(|t| t.pool_state.as_mut())
            else {
                return;
            };
            note_unlisted(pool_state, id, ctx);
        });
    }
}

fn note_unlisted(pool_state: &mut PoolState, id: &str, ctx: &Ctx<'_>) {
    let instances: Vec<WorkerKey> = pool_state.instances_of(id).map(|(key, _)| key).collect();
    for key in instances {
        let w = &mut pool_state.workers[key];
        w.is_listed = false;
        w.is_withdrawn = w.is_answering;
        renewal::remove_if_over(pool_state, key, ctx);
    }
}

/// Requests the first renewal of a worker's lease, and sets a timer for the latest end of any lease that other owners
/// may have granted to the worker.
pub(super) fn start_renewing(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let left_ms = pool_state.workers[worker]
        .lease_end_ms
        .saturating_sub(ctx.now.ms);
    ctx.set_timer(left_ms, Timer::ExpireLease(worker));
    renewal::send_next(pool_state, worker, epoch, ctx);
}
