//! Room for tasks that fit on no host beside what runs there, although there is enough of it in all: one host is
//! reserved, and nothing else is placed there until the task fits.
//!
//! Small tasks that come all the time are placed as soon as they fit somewhere, so that none of a pool's hosts need ever
//! become empty by itself. Tasks that last are not moved: hosts on which they leave too little room are passed over.

use super::fragmentation::Fragmentation;
use super::job::StepSpec;
use super::keys::{TaskKey, WorkerKey};
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

/// A task that has waited so long gets a host reserved: by then one that was on offer is back.
const WAIT_MS: Millis = 1_000;

/// One open host of so many is reserved at a time, and one in a smaller pool.
const HOSTS_PER_RESERVATION: u64 = 32;

/// A host whose tasks take longer than that to make room is not reserved.
const DRAIN_MAX_MS: Millis = 60_000;

/// Most steps for which one look searches a host: a search walks over all hosts and their tasks.
const SEARCHES_MAX: usize = 8;

/// The hosts of a pool that are reserved.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    held: Vec<Reservation>,
    /// The host that was given up last for taking too long.
    avoided: Option<WorkerKey>,
    next_look_ms: Millis,
}

/// A host that is reserved for a task.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    worker: WorkerKey,
    task: TaskKey,
    since_ms: Millis,
    until_ms: Millis,
    /// Up to when what it left idle is summed up.
    seen_ms: Millis,
    /// Processors that it had free, times how long: thousandths of a core times milliseconds.
    idle: u64,
}

/// What becomes of a reservation.
enum Outcome {
    Waits,
    Fits,
    Over(&'static str),
    TooLong,
}

impl Reservations {
    /// Whether a worker is reserved for another task than this one.
    pub fn is_reserved_for_other(&self, worker: WorkerKey, task: TaskKey) -> bool {
        let mut held = self.held.iter();
        held.any(|r| r.worker == worker && r.task != task)
    }

    /// Whether a worker is reserved for some task.
    pub fn has(&self, worker: WorkerKey) -> bool {
        self.held.iter().any(|r| r.worker == worker)
    }

    /// Whether no worker is reserved.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn is_for(&self, task: TaskKey) -> bool {
        self.held.iter().any(|r| r.task == task)
    }
}

/// Places tasks on the hosts that are reserved for them as soon as they fit, and gives up hosts that are of no use.
pub(super) fn settle(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    if pool_state.reserved.is_empty() {
        return;
    }
    let now_ms = ctx.now.ms;
    for mut held in std::mem::take(&mut pool_state.reserved.held) {
        held.note_idle(pool_state, now_ms);
        match held.outcome(pool_state, now_ms) {
            Outcome::Waits => pool_state.reserved.held.push(held),
            Outcome::Fits => {
                held.log(pool_state, Code::ReservationUsed, "the task fits", ctx);
                place::assign(pool_state, held.task, held.worker, ctx);
            }
            Outcome::Over(why) => held.log(pool_state, Code::ReservationDropped, why, ctx),
            Outcome::TooLong => {
                held.log(
                    pool_state,
                    Code::ReservationDropped,
                    "it takes too long",
                    ctx,
                );
                pool_state.reserved.avoided = Some(held.worker);
            }
        }
    }
}

/// Reserves hosts for tasks that have waited long enough, in the order of waiting tasks.
pub(super) fn reserve(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let now_ms = ctx.now.ms;
    if pool_state.ready.is_empty() || now_ms < pool_state.reserved.next_look_ms {
        return;
    }
    pool_state.reserved.next_look_ms = now_ms + RESORT_MS;
    let waiting = waiting_long(pool_state, now_ms);
    if waiting.is_empty() {
        return;
    }
    let fragmentation = Fragmentation::of(pool_state, now_ms);
    let most = (fragmentation.hosts / HOSTS_PER_RESERVATION).max(1);
    let mut in_vain: Vec<Capacity> = Vec::new();
    for rank in waiting {
        if pool_state.reserved.held.len() as u64 >= most || in_vain.len() >= SEARCHES_MAX {
            return;
        }
        let Some(spec) = pool_state.step_spec(rank.task) else {
            continue;
        };
        let demand = spec.demand();
        let is_known = in_vain.iter().any(|d| demand.contains(*d));
        if is_known || !fragmentation.is_split(pool_state, rank.class, demand) {
            continue;
        }
        match Search::new(pool_state, rank.task, spec, now_ms).best() {
            Some(host) => hold(pool_state, rank, host, ctx),
            None => in_vain.push(demand),
        }
    }
}

/// Tasks that may start, have waited for long and have no host reserved.
fn waiting_long(pool_state: &PoolState, now_ms: Millis) -> Vec<Rank> {
    let waits_long = |rank: &&Rank| {
        let (Some(task), Some(spec)) =
            (pool_state.task(rank.task), pool_state.step_spec(rank.task))
        else {
            return false;
        };
        let is_long = now_ms >= task.since_ms + WAIT_MS;
        let may_start = !spec.gang && !task.is_suspect() && !is_held(pool_state, rank.task, now_ms);
        is_long && may_start && !pool_state.reserved.is_for(rank.task)
    };
    let ready = pool_state.ready.iter();
    let ready = ready.filter(|rank| !runs::is_exhausted(pool_state, rank.task));
    let ready = ready.filter(|rank| pool_state.is_within_quota(rank.task, 1));
    let waiting = ready.take(PLACE_SCAN_MAX).filter(waits_long);
    waiting.copied().collect()
}

fn hold(pool_state: &mut PoolState, rank: Rank, host: Candidate, ctx: &mut Ctx<'_>) {
    let now_ms = ctx.now.ms;
    let drain_ms = host.free_ms.saturating_sub(now_ms);
    let held = Reservation {
        worker: host.worker,
        task: rank.task,
        since_ms: now_ms,
        until_ms: now_ms + 2 * drain_ms + WORKER_LEASE_MS,
        seen_ms: now_ms,
        idle: 0,
    };
    pool_state.reserved.held.push(held);
    pool_state.reserved.avoided = None;
    held.log(
        pool_state,
        Code::HostReserved,
        "no host has room for it",
        ctx,
    );
}

impl Reservation {
    fn note_idle(&mut self, pool_state: &PoolState, now_ms: Millis) {
        let free = pool_state.workers.get(self.worker).map(Worker::free);
        let free_milli = free.map_or(0, |free| free.cpu_milli);
        self.idle += free_milli * now_ms.saturating_sub(self.seen_ms);
        self.seen_ms = now_ms;
    }

    fn outcome(&self, pool_state: &PoolState, now_ms: Millis) -> Outcome {
        let waits = |t: &Task| t.phase == Phase::Ready;
        let Some(spec) = pool_state.step_spec(self.task) else {
            return Outcome::Over("its job is gone");
        };
        if !pool_state.task(self.task).is_some_and(waits) {
            return Outcome::Over("the task waits no more");
        }
        let worker = pool_state.workers.get(self.worker);
        let Some(worker) = worker.filter(|w| w.is_open(now_ms)) else {
            return Outcome::Over("its host takes no work");
        };
        let is_barred =
            is_held(pool_state, self.task, now_ms) || runs::is_exhausted(pool_state, self.task);
        if is_barred || !pool_state.is_within_quota(self.task, 1) {
            return Outcome::Over("the task may not start");
        }
        let demand = spec.demand();
        if worker.fits(demand) {
            return Outcome::Fits;
        }
        if free_ms(pool_state, worker, demand, now_ms).is_none() {
            return Outcome::Over("its host will not have the room");
        }
        match now_ms < self.until_ms {
            true => Outcome::Waits,
            false => Outcome::TooLong,
        }
    }

    fn log(&self, pool_state: &PoolState, code: Code, why: &'static str, ctx: &mut Ctx<'_>) {
        let id = pool_state.jobs.get(self.task.job).map_or("", |job| &job.id);
        let demand = pool_state.step_spec(self.task).map(StepSpec::demand);
        let mut told = Decision::new(code, Subject::Job, id, why)
            .with("round", u64::from(self.task.round))
            .with("step", u64::from(self.task.step))
            .with("task", u64::from(self.task.index))
            .with("cpu_milli", demand.map_or(0, |d| d.cpu_milli))
            .with("held_ms", ctx.now.ms.saturating_sub(self.since_ms))
            .with("most_ms", self.until_ms.saturating_sub(self.since_ms))
            .with("idle_core_ms", self.idle / 1_000);
        if let Some(worker) = pool_state.workers.get(self.worker) {
            told = told
                .naming("worker", &*worker.fact.id)
                .naming("on", &*worker.fact.host)
                .with("used_cpu_milli", worker.used.cpu_milli);
        }
        ctx.log(told);
    }
}

/// A host that could be reserved for a task.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerKey,
    /// When the task is expected to fit.
    free_ms: Millis,
}

/// A look for the host to be reserved for a task.
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

    /// The host on which the task fits soonest; hosts without a task that lasts go first.
    fn best(&self) -> Option<Candidate> {
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
            && place::suits(self.pool_state, self.key, self.spec, key)
            && !self.pool_state.task(self.key).is_some_and(failed_there);
        if !may_take {
            return None;
        }
        let free_ms = free_ms(self.pool_state, worker, self.spec.demand(), self.now_ms)?;
        (free_ms <= self.now_ms + DRAIN_MAX_MS).then_some(free_ms)
    }
}

/// Whether a task that lasts is to wait before its next start.
fn is_held(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> bool {
    let lasts = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    lasts && pool_state.is_held(key, now_ms)
}

/// When `demand` is expected to fit on a worker that gets nothing new; never, where what stays is too much.
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

/// When a task's run is expected to end; never, where it lasts. One that is past its time takes half as long again, for
/// all that is known.
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
