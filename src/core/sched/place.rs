//! Places waiting tasks on workers.
//!
//! The owner of a pool calls [`place`] when tasks wait or workers have become free. Each task goes to the allowed
//! worker of least cost; reservations and gangs are handled by their own modules.

use std::cell::Cell;
use std::collections::HashSet;

use super::checkpoints;
use super::data_racks;
use super::free_index::Slot;
use super::gang;
use super::job::{JobState, StepSpec};
use super::keys::{StepKey, TaskKey, WorkerKey};
use super::limits::{SUSPECT_APART_MS, SUSPEND_MAX_MS, SUSPEND_MS};
use super::pool_state::PoolState;
use super::reservations;
use super::state::Ctx;
use super::tasks::{Phase, Rank, Task};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::Capacity;

/// Added to a worker's cost, in thousandths, if the worker is in another rack than the task's data.
const REMOTE_DATA_COST_MILLI: u64 = 1_000;

/// Added to a worker's cost, in thousandths, if the task doesn't need the worker's rack and other tasks do.
const SOUGHT_RACK_COST_MILLI: u64 = 1_000;

/// Most workers that are compared for the sake of sought racks once one is found: the others are likely no better.
const SOUGHT_SCAN_MAX: usize = 64;

/// Added to a worker's cost, in thousandths, for a lasting task if the worker's host is due for maintenance: the task
/// would have to move.
const DUE_HOST_COST_MILLI: u64 = 700;

/// Added to a worker's cost, in thousandths, for a filling task if what fills there is paced down already.
const PACED_DOWN_COST_MILLI: u64 = 2_000;

/// Added to a worker's cost, in thousandths, for each consecutive task failure on the worker.
const FAILURE_COST_MILLI: u64 = 300;

/// Places waiting tasks in their order as far as workers have room.
pub fn place(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    pool_state.wants_placing = false;
    reservations::settle(pool_state, ctx);
    pool_state.data_racks.begin_pass();
    let mut pass = Pass::default();
    let first = pool_state.first_to_place(ctx.now.ms);
    pass.place(pool_state, &first, ctx);
    if let Some(mut scan) = pool_state.begin_scan(&first, ctx.now.ms) {
        loop {
            let ranks = pool_state.next_to_scan(&mut scan, &pass.barred, ctx.now.ms);
            if ranks.is_empty() {
                break;
            }
            pass.place(pool_state, &ranks, ctx);
        }
    }
    reservations::reserve(pool_state, ctx);
}

/// What one pass of placement has found out.
#[derive(Default)]
struct Pass {
    /// Demands for which no worker has room.
    too_large: Vec<Capacity>,
    tried_gangs: HashSet<TaskKey>,
    /// Steps whose tasks no worker takes now, apart from tasks that differ from the others of their step.
    barred: HashSet<StepKey>,
}

impl Pass {
    fn place(&mut self, pool_state: &mut PoolState, ranks: &[Rank], ctx: &mut Ctx<'_>) {
        for Rank { task: key, .. } in ranks.iter().copied() {
            let Some(spec) = pool_state.step_spec(key) else {
                continue;
            };
            if spec.gang {
                // The other members of the gang are in the list, too.
                self.barred.insert(StepKey::from(key));
                if self.tried_gangs.insert(TaskKey { index: 0, ..key }) {
                    gang::place(pool_state, key, ctx);
                }
                continue;
            }
            let demand = spec.demand();
            if pool_state.has_leftover_run(key) {
                continue;
            }
            if self.too_large.iter().any(|d| demand.contains(*d)) {
                self.barred.insert(StepKey::from(key));
                continue;
            }
            if !pool_state.is_within_quota(key, 1) {
                continue;
            }
            match choose_worker(pool_state, key, ctx.now.ms) {
                Choice::Worker(worker) => {
                    if !data_racks::should_wait(pool_state, key, worker, ctx) {
                        assign(pool_state, key, worker, ctx);
                    }
                }
                Choice::NoRoom => self.too_large.push(demand),
                Choice::NoneAllowed if pool_state.is_like_its_step(key) => {
                    self.barred.insert(StepKey::from(key));
                }
                Choice::NoneAllowed => {}
            }
        }
    }
}

/// The result of the search for a task's worker.
enum Choice {
    /// This worker takes the task.
    Worker(WorkerKey),
    /// No open worker has enough room for the task, apart from workers that are reserved for others.
    NoRoom,
    /// Some open workers have room, but none of them may take the task.
    NoneAllowed,
}

/// Returns the worker for a task that is suspected of crashing workers: the one with the fewest tasks, since all of
/// them would end with the worker.
fn choose_for_suspect(search: &Search<'_>) -> Option<WorkerKey> {
    let cpu_milli = search.spec.demand().cpu_milli;
    let slots = search
        .pool_state
        .free_index
        .workers_with_free(cpu_milli)
        .map(|s| s.worker);
    let open = slots.filter(|worker| search.may_take(*worker));
    open.min_by_key(|worker| {
        let cost = cost_milli(search.pool_state, search.spec, *worker, Capacity::default());
        (search.pool_state.workers[*worker].tasks.len(), cost)
    })
}

/// Returns the worker for a task. A worker that is reserved for another task is chosen only for a lasting task that
/// has no other worker.
fn choose_worker(pool_state: &PoolState, key: TaskKey, now_ms: u64) -> Choice {
    let Some(spec) = pool_state.step_spec(key) else {
        return Choice::NoneAllowed;
    };
    let mut search = Search {
        pool_state,
        spec,
        key,
        now_ms,
        must_be_placed_apart: pool_state
            .task(key)
            .is_some_and(|t| t.must_be_placed_apart(now_ms)),
        needs_sound_host: pool_state.task(key).is_some_and(|t| t.losses.has_losses()),
        has_room: Cell::new(false),
        takes_reserved: false,
    };
    let mut worker = search.choose();
    let may_wait = |t: &Task| now_ms < t.since_ms + SUSPECT_APART_MS;
    if worker.is_none() && search.needs_sound_host && !pool_state.task(key).is_some_and(may_wait) {
        search.needs_sound_host = false;
        worker = search.choose();
    }
    if worker.is_none() && spec.lasting && !pool_state.reserved.is_empty() {
        search.takes_reserved = true;
        worker = search.choose();
    }
    match worker {
        Some(worker) => Choice::Worker(worker),
        None if search.has_room.get() => Choice::NoneAllowed,
        None => Choice::NoRoom,
    }
}

/// Returns the worker of least cost. A worker elsewhere costs [`REMOTE_DATA_COST_MILLI`] more than one in the rack
/// of the task's data.
fn choose_cheapest(search: &Search<'_>) -> Option<WorkerKey> {
    let free_index = &search.pool_state.free_index;
    let cpu_milli = search.spec.demand().cpu_milli;
    let Some(rack) = search.spec.data_rack.as_deref() else {
        let best = search.cheapest_of(free_index.workers_with_free(cpu_milli), 0, None);
        return best.map(|(_, worker)| worker);
    };
    let near = search.cheapest_of(free_index.rack_workers_with_free(rack, cpu_milli), 0, None);
    let best = search.cheapest_of(
        free_index.workers_with_free(cpu_milli),
        REMOTE_DATA_COST_MILLI,
        near,
    );
    best.map(|(_, worker)| worker)
}

/// A search for a task's worker.
struct Search<'a> {
    pool_state: &'a PoolState,
    spec: &'a StepSpec,
    key: TaskKey,
    now_ms: u64,
    /// The task must not go to a worker that runs a task suspected of crashes.
    must_be_placed_apart: bool,
    /// The task must not go to a host that crashed lately: the host may crash again, and that would say nothing about the
    /// task.
    needs_sound_host: bool,
    /// Set once an open worker with room was found that is not reserved for another task, whether or not it may take
    /// this one.
    has_room: Cell<bool>,
    /// Workers that are reserved for other tasks are allowed, too.
    takes_reserved: bool,
}

impl Search<'_> {
    fn choose(&self) -> Option<WorkerKey> {
        match self
            .pool_state
            .task(self.key)
            .is_some_and(Task::is_crash_suspect)
        {
            true => choose_for_suspect(self),
            false => choose_cheapest(self),
        }
    }

    /// Returns the cheapest worker of `slots` and `best`, with its cost. Any slot that costs less than its free share
    /// plus `more_milli` must have been compared in `best`. Since `slots` are sorted by free share, the loop usually
    /// ends after the first few.
    fn cheapest_of(
        &self,
        slots: impl Iterator<Item = Slot>,
        more_milli: u64,
        mut best: Option<(u64, WorkerKey)>,
    ) -> Option<(u64, WorkerKey)> {
        let has_sought = self.pool_state.data_racks.has_sought();
        for (n, slot) in slots.enumerate() {
            if has_sought && best.is_some() && n >= SOUGHT_SCAN_MAX {
                break;
            }
            let least_milli = slot.free_milli + more_milli;
            if best.is_some_and(|(cost, _)| cost <= least_milli) {
                break;
            }
            if !self.may_take(slot.worker) {
                continue;
            }
            let cost = cost_milli(self.pool_state, self.spec, slot.worker, Capacity::default());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, slot.worker));
            }
        }
        best
    }

    /// Whether a worker is reserved for another task. A lasting task goes there all the same if it finds no other
    /// worker.
    fn is_reserved(&self, key: WorkerKey) -> bool {
        !self.takes_reserved
            && self
                .pool_state
                .reserved
                .is_reserved_for_other(key, self.key)
    }

    fn is_unsound(&self, key: WorkerKey) -> bool {
        let host = &self.pool_state.workers[key].info.host;
        self.pool_state.host_crashes.is_unsound(host, self.now_ms)
    }

    fn may_take(&self, key: WorkerKey) -> bool {
        let worker = &self.pool_state.workers[key];
        if !worker.is_open(self.now_ms) || !worker.fits(self.spec.demand()) || self.is_reserved(key)
        {
            return false;
        }
        self.has_room.set(true);
        meets_constraints(self.pool_state, self.key, self.spec, key)
            && self.pool_state.has_ticket(self.key, key, self.now_ms)
            && !should_avoid(self.pool_state, self.key, self.spec, key, self.now_ms)
            && !(self.must_be_placed_apart && self.pool_state.is_watched(key))
            && !(self.needs_sound_host && self.is_unsound(key))
    }
}

/// Whether the task's last run failed on this worker and another one may take it, with room now or soon: three
/// failures on one bad worker would end the job.
pub(super) fn should_avoid(
    pool_state: &PoolState,
    key: TaskKey,
    spec: &StepSpec,
    worker: WorkerKey,
    now_ms: u64,
) -> bool {
    let Some(task) = pool_state.task(key).filter(|t| t.failed_on == Some(worker)) else {
        return false;
    };
    let until_ms = task.failed_ms + avoidance_ms(task.failed_run_count());
    let mut others = pool_state
        .workers
        .iter()
        .filter(|(other, _)| *other != worker);
    // A bound task can't go elsewhere yet, and a run that fails again costs an attempt.
    now_ms < until_ms
        && (pool_state.is_bound(key)
            || others.any(|(other, w)| {
                w.is_open(until_ms)
                    && w.is_large_enough(spec.demand())
                    && meets_constraints(pool_state, key, spec, other)
            }))
}

/// How long a task avoids the worker on which it failed. The time doubles with each failure, up to
/// [`SUSPEND_MAX_MS`], since the remaining attempts become more valuable.
fn avoidance_ms(fails: u32) -> Millis {
    (SUSPEND_MS << fails.min(4)).min(SUSPEND_MAX_MS)
}

/// Whether a task could be placed on another worker than this one.
pub fn has_other_worker(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    now_ms: u64,
) -> bool {
    other_workers(pool_state, key, worker, now_ms)
        .next()
        .is_some()
}

/// Returns the open workers apart from `worker` that have room for a task and meet its constraints.
pub(super) fn other_workers(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    now_ms: u64,
) -> impl Iterator<Item = WorkerKey> + '_ {
    let spec = pool_state.step_spec(key).into_iter();
    spec.flat_map(move |spec| {
        let demand = spec.demand();
        let slots = pool_state.free_index.workers_with_free(demand.cpu_milli);
        let others = slots.map(|slot| slot.worker).filter(move |w| *w != worker);
        others.filter(move |other| {
            let w = &pool_state.workers[*other];
            w.is_open(now_ms) && w.fits(demand) && meets_constraints(pool_state, key, spec, *other)
        })
    })
}

/// Whether a worker may take a task now, apart from its room and its ticket.
pub(super) fn is_eligible(
    pool_state: &PoolState,
    key: TaskKey,
    spec: &StepSpec,
    worker: WorkerKey,
    now_ms: Millis,
) -> bool {
    pool_state.workers[worker].is_open(now_ms)
        && !pool_state.reserved.is_reserved_for_other(worker, key)
        && meets_constraints(pool_state, key, spec, worker)
        && !should_avoid(pool_state, key, spec, worker, now_ms)
}

pub(super) fn meets_constraints(
    pool_state: &PoolState,
    key: TaskKey,
    spec: &StepSpec,
    worker: WorkerKey,
) -> bool {
    let step = StepKey::from(key);
    if pool_state.advice.is_ruled_out(step, worker) {
        return false;
    }
    let worker = &pool_state.workers[worker];
    if pool_state.is_bound_elsewhere(key, worker) {
        return false;
    }
    if let Some(label) = &spec.label {
        if !worker.info.labels.contains(label) {
            return false;
        }
    }
    let most = usize::from(spec.per_worker_max);
    most == 0 || pool_state.siblings_on(key, worker) < most
}

/// Returns the cost of a worker: the thousandths of its processors that stay free, plus what its rack, its
/// maintenance and its failures add. `more` is about to be placed there, too. Full workers are cheapest, so that
/// others stay empty and their hosts can move to pools that need them.
pub(super) fn cost_milli(
    pool_state: &PoolState,
    spec: &StepSpec,
    worker: WorkerKey,
    more: Capacity,
) -> u64 {
    let w = &pool_state.workers[worker];
    let room = w.info.capacity.cpu_milli;
    let free = room.saturating_sub(w.used.cpu_milli + more.cpu_milli);
    let mut cost = free * 1_000 / room.max(1);
    let data_rack = spec.data_rack.as_deref();
    if data_rack.is_some_and(|rack| rack != w.rack()) {
        cost += REMOTE_DATA_COST_MILLI;
    }
    if spec.filler && pool_state.pace.is_paced_down(worker) {
        cost += PACED_DOWN_COST_MILLI;
    }
    if data_rack != Some(w.rack()) && pool_state.data_racks.is_sought(w.rack()) {
        cost += SOUGHT_RACK_COST_MILLI;
    }
    if spec.lasting && w.awaits_wave {
        cost += DUE_HOST_COST_MILLI;
    }
    cost += pool_state.speeds.cost_milli(worker);
    cost + u64::from(w.fails_in_row) * FAILURE_COST_MILLI
}

pub(super) fn assign(
    pool_state: &mut PoolState,
    key: TaskKey,
    worker: WorkerKey,
    ctx: &mut Ctx<'_>,
) {
    pool_state.set_phase(key, Phase::Recording(worker), ctx.now.ms);
    checkpoints::prepare_start(pool_state, key, ctx);
    let Some(task) = pool_state.task_mut(key) else {
        return;
    };
    task.run += 1;
    task.starts_in_flight = 0;
    task.lost_ms = None;
    let run = task.run;
    pool_state.unsent_starts.push((key, run));
    if pool_state.jobs[key.job].state == JobState::Queued {
        pool_state.set_state(key.job, JobState::Running, ctx.now.ms);
    }
    pool_state.mark_dirty(key.job, ctx.now.ms);
    let w = &pool_state.workers[worker];
    ctx.log(
        Decision::new(
            Code::TaskPlaced,
            Subject::Job,
            &pool_state.jobs[key.job].id,
            &*w.info.id,
        )
        .with_name("on", &*w.info.host)
        .with("round", u64::from(key.round))
        .with("step", u64::from(key.step))
        .with("task", u64::from(key.index))
        .with("run", u64::from(run))
        .with("used_cpu_milli", w.used.cpu_milli),
    );
}
