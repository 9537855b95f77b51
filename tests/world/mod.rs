//! A randomized simulation of the scheduler: several entries, one store and workers with leases on a simulated clock.
//! The scheduler's tests build a [`World`], inject faults and let it run.
//!
//! Messages may be lost, delayed or duplicated. Entries are killed, frozen and disconnected; workers crash, or are
//! disconnected and keep running. The scheduler's guarantees are checked while the world runs.

mod advice;
mod callers;
mod calm;
pub(crate) mod checkpoints;
mod crash;
mod draining;
mod effects;
mod entries;
mod extras;
mod halls;
mod jobs;
mod pace;
mod restart;
mod speeds;
mod standbys;
mod start_history;
mod store;
mod timed_events;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use fastrand::Rng;
use rockwick::clock::Now;
use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::hosts::HostTask;
use rockwick::core::sched::job::{JobSpec, JobState, QueuePolicy, Schedule, StepSpec};
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::quota::quota_part;
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::{
    self, cancel_key, intake_parts_of, pool_of_part, shard_parts, ProgressRow,
};
use rockwick::core::sched::state::{Effect, Event, LoadedRows, PoolKey, State};
use rockwick::event::Decision;
use rockwick::port::fleet::{
    AccountConfig, Capacity, EndKind, FleetConfig, HostRecord, HostReply, HostState, OperatorEvent,
    OrderReply, PoolConfig, QueueConfig, RenewalReport, RenewalRequest, RowTx, RunEnd, RunStart,
    RunningTask, StoredRow, Table, TaskName, TxOutcome, WaveOrder, WaveState, WorkerEvent,
    WorkerInfo,
};

use timed_events::{LateOrder, QueuedEvent, TimedEvent};

pub(crate) use calm::LongWaits;
pub(crate) use jobs::{config, job, lasting, listed_worker, with_schedule};

/// Name of the only pool.
pub(crate) const POOL: &str = "pool";

/// Name of the only queue.
pub(crate) const QUEUE: &str = "queue";

/// Wall clock when the world begins.
pub(crate) const WALL_MS: u64 = 1_000_000;

/// Clock of the store when the world begins.
const STORE_MS: u64 = 5_000_000;

/// An entry that was asked to stop is killed after this time.
const GRACE_MS: u64 = 5_300;

/// A gang member waits this long for the other members, then ends.
const GANG_MS: u64 = 3_000;

/// Time from a change in the store to its delivery by a feed.
const FEED_MS: u64 = 5;

/// The longest lease that a worker accepts; a longer one is cut to this length.
const RENEWAL_MAX_MS: u64 = 10_000;

/// The sender of an order gives up waiting for an answer after this time.
const ORDER_TIMEOUT_MS: u64 = 400;

/// Interval between two heartbeats of a worker.
const HEARTBEAT_MS: u64 = 1_500;

/// An entry counts as undisturbed this long after its last start, freeze or disconnection was over.
const UNDISTURBED_MS: u64 = 4_000;

/// Sets how an entry that was frozen receives what arrived meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DeliveryOrder {
    /// Rows of feeds arrive in the order of their changes, as real feeds deliver them.
    #[default]
    InOrder,
    /// Each event arrives at the end of the freeze that it met, so rows can overtake each other where two freezes
    /// overlap. No real feed does that. Seeds 3043 and 181 found their faults in this mode, so the saved seeds are
    /// played in both.
    AtThaw,
}

/// Probabilities of faults, in thousandths. With all at zero no faults occur.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The answer of the store is lost; the write may or may not have been applied.
    pub(crate) store_lost: u32,
    /// A lost write is applied seconds later.
    pub(crate) store_late: u32,
    /// An order to a worker gets no answer.
    pub(crate) order_lost: u32,
    /// An order without an answer is carried out seconds later.
    pub(crate) order_late: u32,
    /// A run fails.
    pub(crate) run_fails: u32,
}

/// A simulated entry process.
pub(crate) struct Entry {
    /// The scheduler; `None` while the process is down.
    pub(crate) state: Option<State>,
    incarnation: u64,
    frozen_until_ms: u64,
    /// Number of rows of feeds that arrived while the entry was frozen and are not yet delivered.
    held_row_count: u64,
    disconnected_until_ms: u64,
    /// When the last start, freeze or disconnection of the entry was over.
    undisturbed_since_ms: u64,
    /// When the next scheduled wake is due.
    wake_ms: u64,
}

/// A run of a task on a worker.
struct ActiveRun {
    run: u32,
    demand: Capacity,
    /// When the run was started.
    since_ms: u64,
    /// When a lasting task begins to work.
    at_work_ms: u64,
    /// Share of its full speed at which the run works.
    pace_percent: u64,
    /// What the run continues from.
    resumed: checkpoints::Resumed,
    /// Work of a task that ends by itself, as its time at normal speed.
    work_ms: u64,
    /// Work done, in thousandths of a millisecond at normal speed.
    done_us: u64,
    /// When `done_us` was last brought up to date.
    counted_ms: u64,
}

/// An instance of a worker.
pub(crate) struct Worker {
    info: WorkerInfo,
    /// The instance's serial number over all workers.
    serial: u64,
    /// The highest fencing token that the instance has received.
    fence: u64,
    clock_ahead_ms: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskName, ActiveRun>,
    /// The latest run of each task that has ended here or was ordered to stop; starts up to that run are refused.
    refused_through: HashMap<TaskName, u32>,
    /// Ends of runs that are not acknowledged yet.
    ended: Vec<RunEnd>,
    next_end: u64,
    /// Number of times that the lease has lapsed.
    lapses: u32,
    /// When the capacity last shrank.
    shrunk_ms: Option<u64>,
    /// When the instance announced its end.
    draining_since_ms: Option<u64>,
    /// Whether the process is up; false after a crash and while the host is out.
    is_up: bool,
    disconnected_until_ms: u64,
    /// Speed of its runs in thousandths of the normal one.
    speed_milli: u64,
}

impl Worker {
    /// Returns an instance that has just started, without a lease or runs.
    fn new(info: WorkerInfo, serial: u64) -> Self {
        Worker {
            info,
            serial,
            fence: 0,
            clock_ahead_ms: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            refused_through: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapses: 0,
            shrunk_ms: None,
            draining_since_ms: None,
            is_up: true,
            disconnected_until_ms: 0,
            speed_milli: 1_000,
        }
    }

    fn clock(&self, now_ms: u64) -> u64 {
        now_ms.wrapping_add(self.clock_ahead_ms)
    }
}

/// The whole simulation: entries, workers, store, clock and pending events.
pub(crate) struct World {
    /// Milliseconds since the world began.
    pub(crate) now_ms: u64,
    /// The entries, by number.
    pub(crate) entries: Vec<Entry>,
    /// Workers by id. An ended instance stays until another one takes over its id.
    pub(crate) workers: BTreeMap<String, Worker>,
    /// Rows of the store by table, partition and key, with their revisions.
    pub(crate) store: BTreeMap<(Table, String, String), (Vec<u8>, u64)>,
    /// Probabilities of faults.
    pub(crate) faults: Faults,
    /// How an entry that was frozen receives what arrived meanwhile.
    pub(crate) delivery_order: DeliveryOrder,
    /// Waves that were reported as completed.
    pub(crate) waves_done: HashSet<u64>,
    /// Hosts that had their maintenance, by wave.
    pub(crate) maintained_hosts: HashMap<u64, HashSet<String>>,
    /// Number of runs started.
    pub(crate) starts: u64,
    /// Number of upcoming claims that are applied but get no answer.
    pub(crate) claims_unanswered: u32,
    /// Whether orders to hosts get no answer and are not carried out.
    pub(crate) drops_host_orders: bool,
    /// Number of transactions that only renewed a lease.
    pub(crate) renewals: u32,
    /// Probability, in thousandths, that a commit is answered with a newer revision than its own, as if another write
    /// had come in between.
    pub(crate) newer_answers_milli: u32,
    /// Partitions of the store that do not answer.
    pub(crate) unavailable_parts: HashSet<String>,
    /// Whether workers accept starts that exceed their capacity.
    pub(crate) ignores_capacity: bool,
    /// The worker on which all runs fail.
    pub(crate) bad_worker: Option<String>,
    /// Extra delay of worker events.
    pub(crate) worker_events_late_ms: u64,
    /// The largest number of hosts that were out at the same time.
    pub(crate) max_hosts_out: usize,
    /// Number of runs that were ended by the maintenance of a host.
    pub(crate) runs_ended_by_upkeep: usize,
    /// Tasks that crash workers, and their effects.
    pub(crate) crashes: crash::Crashes,
    /// Tasks that renew checkpoints.
    pub(crate) checkpoints: checkpoints::Checkpoints,
    /// Figures of the deployment that entries start with. Without a time of stops, workers report no progress, so that
    /// older seeds play the same worlds.
    pub(crate) deployment: Deployment,
    /// Halls that the operator evacuates, and since when.
    evacuated_since_ms: BTreeMap<String, u64>,
    /// Whether a hall was ever evacuated. Without that, entries are told of no halls, so that older seeds play the same
    /// worlds.
    has_evacuations: bool,
    /// Number of runs started on workers that had announced their end.
    pub(crate) starts_while_draining: u64,
    /// Number of runs started in each hall.
    pub(crate) starts_by_hall: BTreeMap<String, u64>,
    /// How much a filling task at full pace adds to the tails of what serves beside it, in percent of their targets.
    pub(crate) disturbance_percent: u64,
    /// The advice service.
    pub(crate) advice: advice::Service,
    /// Whether entries take part in the slots of standbys.
    has_standbys: bool,
    /// Number of owner rows delivered to entries by feeds.
    pub(crate) owner_rows_delivered: u64,
    /// Extra delay of configuration events.
    pub(crate) config_late_ms: u64,
    /// Whether the decisions that entries log are kept in `log`.
    pub(crate) keeps_log: bool,
    /// Decisions that were logged by any entry while `keeps_log` was set.
    pub(crate) log: Vec<Decision>,
    revision: u64,
    /// Number of the latest scheduled event, in the order in which events of the same time are carried out.
    last_event_number: u64,
    timed_events: BinaryHeap<Reverse<QueuedEvent>>,
    rng: Rng,
    /// Draws for [`World::newer_answers_milli`], kept apart so that older seeds play the same worlds.
    newer_answers_rng: Rng,
    config: FleetConfig,
    waves: Vec<WaveOrder>,
    acked_done: HashSet<TaskName>,
    /// The least and the greatest number of failed runs of a task that the queue allowed since the job was submitted,
    /// by job.
    attempts_allowed: HashMap<String, (u32, u32)>,
    /// Durations of tasks for which they are set instead of drawn.
    pub(crate) run_ms: HashMap<TaskName, u64>,
    /// When the last event of a worker reaches an entry, by entry and worker.
    worker_events_at_ms: HashMap<(usize, String), u64>,
    /// Workers that are missing from the worker list for a while.
    unlisted: HashSet<String>,
    /// Probability that an order is delayed, in thousandths, and the generator that draws the delay.
    late_orders: Option<(u32, Rng)>,
    /// Starts and ends of tasks, for the check that work is done once.
    start_history: start_history::StartHistory,
    failed_runs: HashMap<TaskName, HashSet<u32>>,
    /// Lasting tasks that orders ended and that are not at work again yet.
    ordered_away: HashSet<TaskName>,
    cancelled_at_ms: HashMap<String, u64>,
    specs: HashMap<String, JobSpec>,
    next_serial: u64,
    /// Draws for workers that restart under their id, kept apart so that older seeds play the same worlds.
    restarts_rng: Rng,
    /// Whether the next instance on a host keeps the id of the previous one.
    pub(crate) keeps_ids: bool,
    /// Earlier instances whose ids were taken over by later ones.
    former_instances: Vec<Worker>,
    /// Whether the order that is being carried out was delayed.
    is_late_order: bool,
    /// The entry whose effect is being carried out.
    ordering_entry: usize,
    /// Final states of jobs whose rows were removed.
    removed_job_states: HashMap<String, JobState>,
    hosts_out: HashSet<String>,
}

impl World {
    /// Creates a world with these numbers of entries and workers, and without faults.
    pub(crate) fn new(seed: u64, entries: usize, workers: usize) -> Self {
        let mut world = World {
            now_ms: 1,
            entries: Vec::new(),
            workers: BTreeMap::new(),
            store: BTreeMap::new(),
            faults: Faults::default(),
            delivery_order: DeliveryOrder::default(),
            waves_done: HashSet::new(),
            maintained_hosts: HashMap::new(),
            starts: 0,
            claims_unanswered: 0,
            drops_host_orders: false,
            renewals: 0,
            newer_answers_milli: 0,
            unavailable_parts: HashSet::new(),
            ignores_capacity: false,
            bad_worker: None,
            worker_events_late_ms: 0,
            max_hosts_out: 0,
            runs_ended_by_upkeep: 0,
            crashes: Default::default(),
            checkpoints: Default::default(),
            deployment: Deployment::default(),
            evacuated_since_ms: BTreeMap::new(),
            has_evacuations: false,
            starts_while_draining: 0,
            starts_by_hall: BTreeMap::new(),
            disturbance_percent: 0,
            advice: Default::default(),
            has_standbys: false,
            owner_rows_delivered: 0,
            config_late_ms: 0,
            keeps_log: false,
            log: Vec::new(),
            revision: 1,
            last_event_number: 0,
            timed_events: BinaryHeap::new(),
            rng: Rng::with_seed(seed),
            newer_answers_rng: Rng::with_seed(!seed),
            config: config(1),
            waves: Vec::new(),
            acked_done: HashSet::new(),
            attempts_allowed: HashMap::new(),
            run_ms: HashMap::new(),
            worker_events_at_ms: HashMap::new(),
            unlisted: HashSet::new(),
            late_orders: None,
            start_history: Default::default(),
            failed_runs: HashMap::new(),
            ordered_away: HashSet::new(),
            cancelled_at_ms: HashMap::new(),
            specs: HashMap::new(),
            next_serial: 0,
            restarts_rng: Rng::with_seed(seed ^ 0x4e57),
            keeps_ids: false,
            former_instances: Vec::new(),
            is_late_order: false,
            ordering_entry: 0,
            removed_job_states: HashMap::new(),
            hosts_out: HashSet::new(),
        };
        for host in 0..workers {
            world.start_instance(&format!("host-{host}"));
        }
        world.add_entries(entries);
        world
    }

    fn add_entries(&mut self, entries: usize) {
        for n in 0..entries {
            self.entries.push(Entry {
                state: None,
                incarnation: 0,
                frozen_until_ms: 0,
                held_row_count: 0,
                disconnected_until_ms: 0,
                undisturbed_since_ms: 0,
                wake_ms: 0,
            });
            self.boot(n);
        }
    }

    fn now(&self) -> Now {
        Now {
            ms: self.now_ms,
            wall_ms: WALL_MS + self.now_ms,
            store_ms: STORE_MS + self.now_ms,
        }
    }

    fn draw_chance(&mut self, milli: u32) -> bool {
        self.rng.u32(0..1_000) < milli
    }

    fn draw_delay_ms(&mut self) -> u64 {
        self.rng.u64(1..8)
    }

    /// Disconnects a worker from all entries for a time; the worker keeps running.
    pub(crate) fn disconnect_worker(&mut self, id: &str, ms: u64) {
        let until_ms = self.now_ms + ms;
        if let Some(w) = self.workers.get_mut(id) {
            w.disconnected_until_ms = until_ms;
        }
    }

    /// Crashes a worker; a new instance starts on its host later.
    pub(crate) fn crash(&mut self, id: &str, back_after_ms: u64) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.is_up = false;
        let host = w.info.host.clone();
        for task in w.running.keys() {
            *self.crashes.crashed_under.entry(task.clone()).or_default() += 1;
        }
        self.end_all_runs(id);
        self.schedule(back_after_ms, TimedEvent::UpkeepOver(host));
    }

    /// Changes the capacity of a worker, which states it within one heartbeat interval.
    pub(crate) fn resize(&mut self, id: &str, cpu_milli: u64) {
        let now_ms = self.now_ms;
        let heartbeat_ms = self.rng.u64(0..HEARTBEAT_MS);
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        if cpu_milli < w.info.capacity.cpu_milli {
            w.shrunk_ms = Some(now_ms);
        }
        w.info.capacity.cpu_milli = cpu_milli;
        self.schedule(heartbeat_ms, TimedEvent::Heartbeat(id.to_string()));
    }

    /// Returns the ids of all instances that are up.
    pub(crate) fn worker_ids(&self) -> Vec<String> {
        let up = self.workers.iter().filter(|(_, w)| w.is_up);
        up.map(|(id, _)| id.clone()).collect()
    }

    /// Returns a worker as it describes itself to entries.
    pub(crate) fn worker_info(&self, id: &str) -> WorkerInfo {
        self.workers[id].info.clone()
    }

    fn broadcast(&mut self, event: &Event) {
        for n in 0..self.entries.len() {
            let incarnation = self.entries[n].incarnation;
            let late_ms = match event {
                Event::Worker(_) => self.worker_events_late_ms,
                Event::Operator(OperatorEvent::Config(_)) => self.config_late_ms,
                _ => 0,
            };
            let drawn_ms = self.draw_delay_ms() + 20 + late_ms;
            let delay_ms = self.keep_announcement_last(n, event, drawn_ms);
            self.schedule(delay_ms, TimedEvent::Deliver(n, incarnation, event.clone()));
        }
    }

    /// Returns the recorded state of a job.
    pub(crate) fn recorded_state(&self, id: &str) -> JobState {
        if let Some(state) = self.removed_job_states.get(id) {
            return *state;
        }
        self.progress(id).map_or(JobState::Queued, |row| row.state)
    }

    /// Returns the recorded progress of a job, whichever shard holds it.
    fn progress(&self, id: &str) -> Option<ProgressRow> {
        let keys = shard_parts(POOL).into_iter();
        let mut found =
            keys.filter_map(|part| self.store.get(&(Table::Progress, part, id.to_string())));
        let (value, _) = found.next()?;
        assert!(found.next().is_none(), "{id} is in two shards");
        Some(rows::decode(value).expect("progress decodes"))
    }

    /// Returns a worker as an earlier instance on the same host would have described itself.
    pub(crate) fn earlier_instance_info(&self, id: &str) -> WorkerInfo {
        WorkerInfo {
            id: "earlier".to_string(),
            address: SocketAddr::from(([10, 0, 0, 2], 1)),
            ..self.worker_info(id)
        }
    }

    /// Delivers a heartbeat of a random instance that has ended.
    pub(crate) fn relist_ended_instance(&mut self) {
        let ended: Vec<WorkerInfo> = self
            .workers
            .values()
            .filter(|w| !w.is_up)
            .map(|w| w.info.clone())
            .collect();
        if !ended.is_empty() {
            let info = ended[self.rng.usize(0..ended.len())].clone();
            self.broadcast(&Event::Worker(WorkerEvent::Present(info)));
        }
    }

    /// Returns the number of tasks that run on a worker.
    pub(crate) fn running_on(&self, id: &str) -> usize {
        self.workers[id].running.len()
    }

    /// Returns the number of running tasks of a job.
    pub(crate) fn running(&self, id: &str) -> usize {
        let instances = self.workers.values().filter(|w| w.is_up);
        instances
            .map(|w| w.running.keys().filter(|t| t.job == id).count())
            .sum()
    }

    /// Returns for how long the oldest run of a job has been running.
    pub(crate) fn oldest_run_ms(&self, id: &str) -> Option<u64> {
        let instances = self.workers.values().filter(|w| w.is_up);
        let runs = instances.flat_map(|w| w.running.iter());
        let of_job = runs.filter(|(task, _)| task.job == id);
        of_job.map(|(_, run)| self.now_ms - run.since_ms).max()
    }

    fn apply_wave_report(&mut self, wave: u64, state: WaveState) {
        if state == WaveState::Completed {
            let order = self
                .waves
                .iter()
                .find(|w| w.wave == wave)
                .expect("the wave was ordered");
            let maintained_hosts = self.maintained_hosts.entry(wave).or_default();
            for host in &order.hosts {
                assert!(
                    maintained_hosts.contains(host),
                    "wave {wave} was reported as done before {host} had its maintenance"
                );
            }
            self.waves_done.insert(wave);
        }
    }

    /// Describes a job in its owner's in-memory state, for messages.
    pub(crate) fn describe(&self, id: &str) -> String {
        let Some(pool_state) = self.owner_pool_state() else {
            return "no owner has loaded the pool".to_string();
        };
        let job = pool_state
            .jobs_by_id
            .get(id)
            .map(|key| &pool_state.jobs[*key]);
        let instances = pool_state
            .workers
            .values()
            .map(|w| (&w.info.id, w.is_listed, w.is_answering, w.used));
        format!(
            "{job:?}\n{:?}\n{:?}",
            instances.collect::<Vec<_>>(),
            pool_state.ready
        )
    }

    /// Delivers an event to an entry at once and returns the decisions that the entry logs.
    pub(crate) fn deliver_logged(&mut self, n: usize, event: Event) -> Vec<Decision> {
        let now = self.now();
        let state = self.entries[n].state.as_mut().expect("the entry is up");
        let effects = reduce(state, event, now);
        let logged = effects.iter().filter_map(|effect| match effect {
            Effect::Log(decision) => Some(decision.clone()),
            _ => None,
        });
        let logged = logged.collect();
        for effect in effects {
            self.apply_effect(n, effect);
        }
        logged
    }

    /// Delivers an event to an entry now, or when its freeze ends.
    pub(crate) fn deliver_event(&mut self, n: usize, event: Event) {
        self.deliver_now(n, event);
    }
}

/// Returns whether an event is a row that a feed delivers.
fn is_feed(event: &Event) -> bool {
    matches!(
        event,
        Event::Owner(_) | Event::Intake(_) | Event::WaveRow(_)
    )
}

fn row_event(table: Table, row: StoredRow) -> Option<Event> {
    match table {
        Table::Owners => Some(Event::Owner(row)),
        Table::Intake => Some(Event::Intake(row)),
        Table::Waves => Some(Event::WaveRow(row)),
        Table::Progress | Table::HostOrders | Table::Quotas | Table::Standbys | Table::Queues => {
            None
        }
    }
}
