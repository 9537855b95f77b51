//! Reserves hosts for tasks that fit on no host although the pool has enough free capacity in all. Until the task fits,
//! nothing else is placed on its host, except a lasting task that finds no other worker.
//!
//! Small tasks that arrive all the time are placed as soon as they fit somewhere, so a host may never become empty
//! by itself. Lasting tasks are not moved: a host on which they leave too little room is skipped. [`super::place`]
//! calls `settle` before and `reserve` after each round of placement.

use super::fragmentation::Fragmentation;
use super::job::StepSpec;
use super::keys::{StepKey, TaskKey, WorkerKey};
use super::limits::{PLACE_SCAN_MAX, RESORT_MS, WORKER_LEASE_MS};
use super::place;
use super::pool_state::PoolState;
use super::runs;
use super::state::Ctx;
use super::tasks::{Phase, Rank, Task};
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::Capacity;

/// How long a task waits before a host is reserved for it: by then a host that was on offer is back.
const WAIT_MS: Millis = 1_000;

/// One in this many open hosts may be reserved at a time; a smaller pool may reserve one, too.
const HOSTS_PER_RESERVATION: u64 = 32;

/// A host whose tasks take longer than this to make room is not reserved.
const DRAIN_MAX_MS: Millis = 60_000;

/// A pass ends after this many demands for which it found no host: each search visits all hosts and their tasks.
const SEARCHES_MAX: usize = 8;

/// The reserved hosts of a pool.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    list: Vec<Reservation>,
    /// The host whose reservation was last dropped for taking too long.
    avoided: Option<WorkerKey>,
    next_pass_ms: Millis,
}

/// A host that is reserved for a task.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    worker: WorkerKey,
    task: TaskKey,
    since_ms: Millis,
    until_ms: Millis,
    /// The time up to which `idle_core_us` is counted.
    counted_to_ms: Millis,
    /// Free processors times how long they were free, in thousandths of a core times milliseconds.
    idle_core_us: u64,
}

/// What happens to a reservation in a pass.
enum Outcome {
    Waits,
    Fits,
    Dropped(&'static str),
    Overdue,
}

impl Reservations {
    /// Whether a worker is reserved for another task than `task`.
    pub fn is_reserved_for_other(&self, worker: WorkerKey, task: TaskKey) -> bool {
        let mut list = self.list.iter();
        list.any(|r| r.worker == worker && r.task != task)
    }

    /// Whether a worker is reserved for some task.
    pub fn has(&self, worker: WorkerKey) -> bool {
        self.list.iter().any(|r| r.worker == worker)
    }

    /// Whether no worker is reserved.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn is_for(&self, task: TaskKey) -> bool {
        self.list.iter().any(|r| r.task == task)
    }
}

/// Places tasks on the hosts that are reserved for them as soon as they fit, and drops reservations that are of no
/// more use.
pub(super) fn settle(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    if pool_state.reserved.is_empty() {
        return;
    }
    let now_ms = ctx.now.ms;
    for mut reservation in std::mem::take(&mut pool_state.reserved.list) {
        reservation.add_idle(pool_state, now_ms);
        match reservation.outcome(pool_state, now_ms) {
            Outcome::Waits => pool_state.reserved.list.push(reservation),
            Outcome::Fits => {
                reservation.log(
                    pool_state,
                    Code::ReservationUsed,
                    "the task fits on the reserved host",
                    ctx,
                );
                place::assign(pool_state, reservation.task, reservation.worker, ctx);
            }
            Outcome::Dropped(why) => {
                reservation.log(pool_state, Code::ReservationDropped, why, ctx)
            }
            Outcome::Overdue => {
                reservation.log(
                    pool_state,
                    Code::ReservationDropped,
                    "the reserved host takes too long to make room",
                    ctx,
                );
                pool_state.reserved.avoided = Some(reservation.worker);
            }
        }
    }
}

/// Reserves hosts for tasks that have waited long enough, in the order of waiting tasks.
pub(super) fn reserve(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let now_ms = ctx.now.ms;
    if pool_state.ready.is_empty() || now_ms < pool_state.reserved.next_pass_ms {
        return;
    }
    pool_state.reserved.next_pass_ms = now_ms + RESORT_MS;
    let waiting = waiting_long(pool_state, now_ms);
    if waiting.is_empty() {
        return;
    }
    let fragmentation = Fragmentation::of(pool_state, now_ms);
    let reservations_max = (fragmentation.hosts / HOSTS_PER_RESERVATION).max(1);
    let mut not_found: Vec<Capacity> = Vec::new();
    for rank in waiting {
        if pool_state.reserved.list.len() as u64 >= reservations_max
            || not_found.len() >= SEARCHES_MAX
        {
            return;
        }
        let Some(spec) = pool_state.step_spec(rank.task) else {
            continue;
        };
        let demand = spec.demand();
        let is_known = not_found.iter().any(|d| demand.contains(*d));
        if is_known || !fragmentation.is_split(pool_state, rank.class, demand) {
            continue;
        }
        match Search::new(pool_state, rank.task, spec, now_ms).best_host() {
            Some(host) => reserve_host(pool_state, rank, host, ctx),
            None => not_found.push(demand),
        }
    }
}

/// Returns the tasks that may start, have waited for [`WAIT_MS`] and have no host reserved.
fn waiting_long(pool_state: &PoolState, now_ms: Millis) -> Vec<Rank> {
    let waits_long = |rank: &&Rank| {
        let (Some(task), Some(spec)) =
            (pool_state.task(rank.task), pool_state.step_spec(rank.task))
        else {
            return false;
        };
        let is_long = now_ms >= task.since_ms + WAIT_MS;
        let may_start = !spec.gang
            && !task.is_crash_suspect()
            && !must_delay_start(pool_state, rank.task, now_ms);
        is_long && may_start && !pool_state.reserved.is_for(rank.task)
    };
    let ready = pool_state.ready.iter();
    let ready = ready.filter(|rank| !runs::is_exhausted(pool_state, rank.task));
    let ready = ready.filter(|rank| pool_state.is_within_quota(rank.task, 1));
    let waiting = ready.take(PLACE_SCAN_MAX).filter(waits_long);
    waiting.copied().collect()
}

fn reserve_host(pool_state: &mut PoolState, rank: Rank, host: Candidate, ctx: &mut Ctx<'_>) {
    let now_ms = ctx.now.ms;
    let drain_ms = host.free_ms.saturating_sub(now_ms);
    let reservation = Reservation {
        worker: host.worker,
        task: rank.task,
        since_ms: now_ms,
        until_ms: now_ms + 2 * drain_ms + WORKER_LEASE_MS,
        counted_to_ms: now_ms,
        idle_core_us: 0,
    };
    pool_state.reserved.list.push(reservation);
    pool_state.reserved.avoided = None;
    reservation.log(
        pool_state,
        Code::HostReserved,
        "no host has room for the task",
        ctx,
    );
}

impl Reservation {
    fn add_idle(&mut self, pool_state: &PoolState, now_ms: Millis) {
        let free = pool_state.workers.get(self.worker).map(Worker::free);
        let free_milli = free.map_or(0, |free| free.cpu_milli);
        self.idle_core_us += free_milli * now_ms.saturating_sub(self.counted_to_ms);
        self.counted_to_ms = now_ms;
    }

    fn outcome(&self, pool_state: &PoolState, now_ms: Millis) -> Outcome {
        let waits = |t: &Task| t.phase == Phase::Ready;
        let Some(spec) = pool_state.step_spec(self.task) else {
            return Outcome::Dropped("the task's job no longer exists");
        };
        if !pool_state.task(self.task).is_some_and(waits) {
            return Outcome::Dropped("the task is no longer waiting");
        }
        let worker = pool_state.workers.get(self.worker);
        let Some(worker) = worker.filter(|w| w.is_open(now_ms)) else {
            return Outcome::Dropped("the reserved host takes no work");
        };
        let is_barred = must_delay_start(pool_state, self.task, now_ms)
            || runs::is_exhausted(pool_state, self.task);
        if is_barred || !pool_state.is_within_quota(self.task, 1) {
            return Outcome::Dropped(
                "the task may not start now: quota, attempts or a pause before its next start",
            );
        }
        let demand = spec.demand();
        if pool_state
            .advice
            .is_ruled_out(StepKey::from(self.task), self.worker)
        {
            return Outcome::Dropped("the policy of the task's queue rules the host out");
        }
        if worker.fits(demand) && pool_state.has_ticket(self.task, self.worker, now_ms) {
            return Outcome::Fits;
        }
        if !worker.fits(demand) && free_ms(pool_state, worker, demand, now_ms).is_none() {
            return Outcome::Dropped("the reserved host will not have enough room");
        }
        match now_ms < self.until_ms {
            true => Outcome::Waits,
            false => Outcome::Overdue,
        }
    }

    fn log(&self, pool_state: &PoolState, code: Code, why: &'static str, ctx: &mut Ctx<'_>) {
        let id = pool_state.jobs.get(self.task.job).map_or("", |job| &job.id);
        let demand = pool_state.step_spec(self.task).map(StepSpec::demand);
        let mut decision = Decision::new(code, Subject::Job, id, why)
            .with("round", u64::from(self.task.round))
            .with("step", u64::from(self.task.step))
            .with("task", u64::from(self.task.index))
            .with("cpu_milli", demand.map_or(0, |d| d.cpu_milli))
            .with("held_ms", ctx.now.ms.saturating_sub(self.since_ms))
            .with("most_ms", self.until_ms.saturating_sub(self.since_ms))
            .with("idle_core_ms", self.idle_core_us / 1_000);
        if let Some(worker) = pool_state.workers.get(self.worker) {
            decision = decision
                .with_name("worker", &*worker.info.id)
                .with_name("on", &*worker.info.host)
                .with("used_cpu_milli", worker.used.cpu_milli);
        }
        ctx.log(decision);
    }
}

/// A host that could be reserved for a task.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerKey,
    /// When the task is expected to fit.
    free_ms: Millis,
}

/// A search for the host to reserve for a task.
struct Search<'a> {
    pool_state: &'a PoolState,
    key: TaskKey,
    spec: &'a StepSpec,
    now_ms: Millis,
}

impl<'a> Search<'a> {
    fn new(pool_state: &'a PoolState, key: TaskKey, spec: &'a StepSpec, now_ms: Millis) -> Self {
        Self {
            pool_state,
            key,
            spec,
            now_ms,
        }
    }

    /// Returns the host on which the task fits soonest. Hosts without a lasting task come first, and the host whose
    /// reservation was last dropped for taking too long comes last.
    fn best_host(&self) -> Option<Candidate> {
        let workers = self.pool_state.workers.iter();
        let hosts = workers.filter_map(|(key, worker)| {
            let free_ms = self.free_ms(key, worker)?;
            let is_avoided = self.pool_state.reserved.avoided == Some(key);
            let cost = (
                is_avoided,
                self.pool_state.carries_lasting(worker),
                free_ms,
                key,
            );
            Some((cost, free_ms))
        });
        let best = hosts.min_by_key(|(cost, _)| *cost);
        best.map(|((.., worker), free_ms)| Candidate { worker, free_ms })
    }

    fn free_ms(&self, key: WorkerKey, worker: &Worker) -> Option<Millis> {
        let failed_there = |t: &Task| t.failed_on == Some(key);
        let may_take = worker.is_open(self.now_ms)
            && !self.pool_state.reserved.has(key)
            && place::meets_constraints(self.pool_state, self.key, self.spec, key)
            && !self.pool_state.task(self.key).is_some_and(failed_there);
        if !may_take {
            return None;
        }
        let free_ms = free_ms(self.pool_state, worker, self.spec.demand(), self.now_ms)?;
        (free_ms <= self.now_ms + DRAIN_MAX_MS).then_some(free_ms)
    }
}

/// Whether a lasting task has to wait before its next start.
fn must_delay_start(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> bool {
    let lasts = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    lasts && pool_state.must_delay_start(key, now_ms)
}

/// Returns when `demand` is expected to fit on a worker that gets no new task, or `None` if lasting tasks take too
/// much of it.
fn free_ms(
    pool_state: &PoolState,
    worker: &Worker,
    demand: Capacity,
    now_ms: Millis,
) -> Option<Millis> {
    if !worker.is_large_enough(demand) {
        return None;
    }
    let mut ends: Vec<(Millis, Capacity)> = worker
        .tasks
        .iter()
        .filter_map(|key| {
            Some((
                end_ms(pool_state, *key, now_ms)?,
                pool_state.step_spec(*key)?.demand(),
            ))
        })
        .collect();
    ends.sort_unstable_by_key(|(end_ms, _)| *end_ms);
    let mut used = worker.used;
    let mut free_ms = now_ms;
    let mut ends = ends.into_iter();
    loop {
        let mut sum = used;
        sum.add(demand);
        if worker.is_large_enough(sum) {
            return Some(free_ms);
        }
        let (end_ms, taken) = ends.next()?;
        used.sub(taken);
        free_ms = end_ms;
    }
}

/// Returns when a task's run is expected to end, or `None` for a lasting task. A run that is past its expected end
/// is assumed to take half of its time so far in addition.
fn end_ms(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> Option<Millis> {
    let job = pool_state.jobs.get(key.job)?;
    let step = usize::from(key.step);
    if job.spec.steps.get(step)?.lasting {
        return None;
    }
    let task = pool_state.task(key)?;
    let begun_ms = task.begun_ms.unwrap_or(task.since_ms);
    let end_ms = begun_ms + job.step_ms.get(step)?;
    if now_ms < end_ms {
        return Some(end_ms);
    }
    Some(now_ms + now_ms.saturating_sub(begun_ms) / 2)
}
