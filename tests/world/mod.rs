//! A small world for the scheduler: several entries, one store, workers with leases, on a made-up clock.
//!
//! Everything that travels may be lost, late or doubled; entries are killed, frozen and cut off; workers
//! crash, are cut off and run on. The promises are checked while it runs.

mod callers;
mod calm;
mod carry;
mod crash;
mod entries;
mod extras;
mod happenings;
mod jobs;
mod once;
mod restart;
mod store;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use fastrand::Rng;
use rockwick::clock::Now;
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

use happenings::{Happening, LateOrder, Queued};

pub(crate) use jobs::{config, job, lasting, timed, worker_fact};

/// The only pool.
pub(crate) const POOL: &str = "pool";

/// The only queue.
pub(crate) const QUEUE: &str = "queue";

/// Wall clock at the world's beginning.
pub(crate) const WALL_MS: u64 = 1_000_000;

/// A process that was told to stop is killed after so long.
const GRACE_MS: u64 = 5_300;

/// A member of a gang waits so long for the others.
const GANG_MS: u64 = 3_000;

/// What a change needs to come by a feed.
const FEED_MS: u64 = 5;

/// A lease that a worker accepts at most.
const RENEWAL_MAX_MS: u64 = 10_000;

/// An order that got no answer by then is given up by its sender.
const ORDER_TIMEOUT_MS: u64 = 400;

/// Workers state themselves so often.
const BEAT_MS: u64 = 1_500;

/// An entry that nothing befell for so long is in touch.
const CONTACT_MS: u64 = 4_000;

/// How an entry that stood still is handed what came meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HandOver {
    /// The rows of feeds in the order of their changes, as feeds keep it.
    #[default]
    InOrder,
    /// Each thing at the end of the standstill that it met, so that rows pass each other where two overlap. No feed does
    /// that; seeds 3043 and 181 found their faults so, and play otherwise in order.
    AsMet,
}

/// How often things go wrong, in thousandths; all zero is a calm world.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// An answer of the store is lost, its write done or not.
    pub(crate) store_lost: u32,
    /// A lost write takes effect seconds later.
    pub(crate) store_late: u32,
    /// An order to a worker gets no answer.
    pub(crate) order_lost: u32,
    /// Such an order is carried out seconds later.
    pub(crate) order_late: u32,
    /// A run fails.
    pub(crate) run_fails: u32,
}

/// One entry.
pub(crate) struct Entry {
    /// Its scheduler; none while the process is down.
    pub(crate) state: Option<State>,
    life: u64,
    frozen_until_ms: u64,
    /// Rows of feeds that came while it stood still and were not handed to it yet.
    held: u64,
    cut_until_ms: u64,
    /// Nothing befell it since then: no start, freeze or cut.
    calm_since_ms: u64,
    /// The next wake that is on its way.
    wake_ms: u64,
}

struct Running {
    run: u32,
    demand: Capacity,
    /// When it was started.
    since_ms: u64,
    /// From then on, a task that lasts is at work.
    at_work_ms: u64,
}

/// A worker's life.
pub(crate) struct Worker {
    fact: WorkerInfo,
    /// Its number among all lives.
    serial: u64,
    fence: u64,
    clock_ahead_ms: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskName, Running>,
    barred: HashMap<TaskName, u32>,
    ended: Vec<RunEnd>,
    next_end: u64,
    /// How often its lease has lapsed.
    lapses: u32,
    /// When its room last shrank.
    shrunk_ms: Option<u64>,
    /// Up, or its host is out.
    is_up: bool,
    cut_until_ms: u64,
}

impl Worker {
    /// A life that has just begun.
    fn new(fact: WorkerInfo, serial: u64) -> Self {
        Worker {
            fact,
            serial,
            fence: 0,
            clock_ahead_ms: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapses: 0,
            shrunk_ms: None,
            is_up: true,
            cut_until_ms: 0,
        }
    }

    fn clock(&self, now_ms: u64) -> u64 {
        now_ms.wrapping_add(self.clock_ahead_ms)
    }
}

/// Everything.
pub(crate) struct World {
    /// Milliseconds since the beginning.
    pub(crate) now_ms: u64,
    /// The entries.
    pub(crate) entries: Vec<Entry>,
    /// Workers' lives by id, ended ones included.
    pub(crate) workers: BTreeMap<String, Worker>,
    /// Rows of the store.
    pub(crate) store: BTreeMap<(Table, String, String), (Vec<u8>, u64)>,
    /// What goes wrong.
    pub(crate) faults: Faults,
    /// What came while an entry stood still.
    pub(crate) hand_over: HandOver,
    /// Waves told completed.
    pub(crate) waves_done: HashSet<u64>,
    /// Hosts that had their upkeep, by wave.
    pub(crate) upkept: HashMap<u64, HashSet<String>>,
    /// Runs started, for progress in tests.
    pub(crate) starts: u64,
    /// So many claims take effect without an answer.
    pub(crate) claims_unanswered: u32,
    /// Orders to hosts get no answer, and are not carried out.
    pub(crate) is_host_deaf: bool,
    /// Transactions that renewed a lease and did nothing else.
    pub(crate) renewals: u32,
    /// So many of a thousand commits are answered with a newer revision than theirs: another's write came in between.
    pub(crate) answers_ahead: u32,
    /// Partitions of the store that do not answer.
    pub(crate) parts_away: HashSet<String>,
    /// Workers start whatever they are told, whether it fits or not.
    pub(crate) is_unguarded: bool,
    /// A worker on which all runs fail.
    pub(crate) bad_worker: Option<String>,
    /// What is told of workers comes so much later.
    pub(crate) word_late_ms: u64,
    /// Most hosts that were out at a time.
    pub(crate) out_most: usize,
    /// Runs that upkeep ended.
    pub(crate) upkeep_ended: usize,
    /// Tasks that bring workers down.
    pub(crate) crashes: crash::Crashes,
    /// What entries hear of the configuration comes so much later than the rest.
    pub(crate) config_late_ms: u64,
    /// What entries log is kept.
    pub(crate) keeps_log: bool,
    /// What was logged since, by any entry.
    pub(crate) log: Vec<Decision>,
    revision: u64,
    number: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    rng: Rng,
    /// Draws for [`World::answers_ahead`]: seeds that failed before play as they did.
    aheads: Rng,
    config: FleetConfig,
    waves: Vec<WaveOrder>,
    noted_done: HashSet<TaskName>,
    /// Fewest and most failed runs of a task that the queue allowed since a job came.
    attempts: HashMap<String, (u32, u32)>,
    /// What a task takes, where that is not to be drawn.
    pub(crate) takes_ms: HashMap<TaskName, u64>,
    /// Lives that the list lacks for a while.
    unlisted: HashSet<String>,
    /// How often orders are late, and what tells how late.
    late_orders: Option<(u32, Rng)>,
    /// What counts on starts of one task again.
    once: once::Once,
    failed_runs: HashMap<TaskName, HashSet<u32>>,
    /// Lasting tasks that orders ended, until they are at work again.
    ordered_away: HashSet<TaskName>,
    cancelled_at_ms: HashMap<String, u64>,
    specs: HashMap<String, JobSpec>,
    next_life: u64,
    /// Draws for workers that start again under their id: seeds that failed before play as they did.
    restarts: Rng,
    /// A host's next life has the id of the one before.
    pub(crate) keeps_ids: bool,
    /// Earlier lives of ids that came again.
    former: Vec<Worker>,
    /// An order that was held up is being carried out.
    is_late: bool,
    /// The entry whose order is being carried out.
    orderer: usize,
    /// States of jobs whose rows were removed.
    removed: HashMap<String, JobState>,
    out: HashSet<String>,
}

impl World {
    /// So many entries and workers, and nothing wrong yet.
    pub(crate) fn new(seed: u64, entries: usize, workers: usize) -> Self {
        let mut world = World {
            now_ms: 1,
            entries: Vec::new(),
            workers: BTreeMap::new(),
            store: BTreeMap::new(),
            faults: Faults::default(),
            hand_over: HandOver::default(),
            waves_done: HashSet::new(),
            upkept: HashMap::new(),
            starts: 0,
            claims_unanswered: 0,
            is_host_deaf: false,
            renewals: 0,
            answers_ahead: 0,
            parts_away: HashSet::new(),
            is_unguarded: false,
            bad_worker: None,
            word_late_ms: 0,
            out_most: 0,
            upkeep_ended: 0,
            crashes: Default::default(),
            config_late_ms: 0,
            keeps_log: false,
            log: Vec::new(),
            revision: 1,
            number: 0,
            queue: BinaryHeap::new(),
            rng: Rng::with_seed(seed),
            aheads: Rng::with_seed(!seed),
            config: config(1),
            waves: Vec::new(),
            noted_done: HashSet::new(),
            attempts: HashMap::new(),
            takes_ms: HashMap::new(),
            unlisted: HashSet::new(),
            late_orders: None,
            once: Default::default(),
            failed_runs: HashMap::new(),
            ordered_away: HashSet::new(),
            cancelled_at_ms: HashMap::new(),
            specs: HashMap::new(),
            next_life: 0,
            restarts: Rng::with_seed(seed ^ 0x4e57),
            keeps_ids: false,
            former: Vec::new(),
            is_late: false,
            orderer: 0,
            removed: HashMap::new(),
            out: HashSet::new(),
        };
        for host in 0..workers {
            world.new_life(&format!("host-{host}"));
        }
        for n in 0..entries {
            world.entries.push(Entry {
                state: None,
                life: 0,
                frozen_until_ms: 0,
                held: 0,
                cut_until_ms: 0,
                calm_since_ms: 0,
                wake_ms: 0,
            });
            world.boot(n);
        }
        world
    }

    fn now(&self) -> Now {
        Now {
            ms: self.now_ms,
            wall_ms: WALL_MS + self.now_ms,
        }
    }

    fn chance(&mut self, milli: u32) -> bool {
        self.rng.u32(0..1_000) < milli
    }

    fn delay(&mut self) -> u64 {
        self.rng.u64(1..8)
    }

    /// No entry hears a worker, nor it them; it runs on.
    pub(crate) fn cut_worker(&mut self, id: &str, ms: u64) {
        let until_ms = self.now_ms + ms;
        if let Some(w) = self.workers.get_mut(id) {
            w.cut_until_ms = until_ms;
        }
    }

    /// A worker crashes; another life comes on its host.
    pub(crate) fn crash(&mut self, id: &str, back_after_ms: u64) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.is_up = false;
        let host = w.fact.host.clone();
        for task in w.running.keys() {
            *self.crashes.under.entry(task.clone()).or_default() += 1;
        }
        self.clear(id);
        self.at(back_after_ms, Happening::UpkeepOver(host));
    }

    /// A worker's room changes; its entry tells that a heartbeat later at the most.
    pub(crate) fn resize(&mut self, id: &str, cpu_milli: u64) {
        let now_ms = self.now_ms;
        let beat_ms = self.rng.u64(0..BEAT_MS);
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        if cpu_milli < w.fact.capacity.cpu_milli {
            w.shrunk_ms = Some(now_ms);
        }
        w.fact.capacity.cpu_milli = cpu_milli;
        self.at(beat_ms, Happening::Beat(id.to_string()));
    }

    /// Ids of lives that are up.
    pub(crate) fn lives(&self) -> Vec<String> {
        let up = self.workers.iter().filter(|(_, w)| w.is_up);
        up.map(|(id, _)| id.clone()).collect()
    }

    /// A life's worker as entries see it.
    pub(crate) fn fact(&self, id: &str) -> WorkerInfo {
        self.workers[id].fact.clone()
    }

    fn broadcast(&mut self, event: &Event) {
        for n in 0..self.entries.len() {
            let life = self.entries[n].life;
            let late_ms = match event {
                Event::Worker(_) => self.word_late_ms,
                Event::Operator(OperatorEvent::Config(_)) => self.config_late_ms,
                _ => 0,
            };
            let delay_ms = self.delay() + 20 + late_ms;
            self.at(delay_ms, Happening::Deliver(n, life, event.clone()));
        }
    }

    /// A job's state on record.
    pub(crate) fn recorded(&self, id: &str) -> JobState {
        if let Some(state) = self.removed.get(id) {
            return *state;
        }
        self.progress(id).map_or(JobState::Queued, |row| row.state)
    }

    /// A job's progress on record, in whichever shard it is.
    fn progress(&self, id: &str) -> Option<ProgressRow> {
        let keys = shard_parts(POOL).into_iter();
        let mut found =
            keys.filter_map(|part| self.store.get(&(Table::Progress, part, id.to_string())));
        let (value, _) = found.next()?;
        assert!(found.next().is_none(), "{id} is in two shards");
        Some(rows::decode(value).expect("progress decodes"))
    }

    /// What a life before this one on the same host would have stated.
    pub(crate) fn earlier_fact(&self, id: &str) -> WorkerInfo {
        WorkerInfo {
            id: "earlier".to_string(),
            address: SocketAddr::from(([10, 0, 0, 2], 1)),
            ..self.fact(id)
        }
    }

    /// A heartbeat of a life that has ended comes through now.
    pub(crate) fn relist(&mut self) {
        let ended: Vec<WorkerInfo> = self
            .workers
            .values()
            .filter(|w| !w.is_up)
            .map(|w| w.fact.clone())
            .collect();
        if !ended.is_empty() {
            let fact = ended[self.rng.usize(0..ended.len())].clone();
            self.broadcast(&Event::Worker(WorkerEvent::Present(fact)));
        }
    }

    /// Tasks that run on a worker now.
    pub(crate) fn running_on(&self, id: &str) -> usize {
        self.workers[id].running.len()
    }

    /// Tasks that run now, by job.
    pub(crate) fn running(&self, id: &str) -> usize {
        let lives = self.workers.values().filter(|w| w.is_up);
        lives
            .map(|w| w.running.keys().filter(|t| t.job == id).count())
            .sum()
    }

    /// How long the oldest run of a job has been running.
    pub(crate) fn oldest_run_ms(&self, id: &str) -> Option<u64> {
        let lives = self.workers.values().filter(|w| w.is_up);
        let runs = lives.flat_map(|w| w.running.iter());
        let of_job = runs.filter(|(task, _)| task.job == id);
        of_job.map(|(_, run)| self.now_ms - run.since_ms).max()
    }

    fn wave_told(&mut self, wave: u64, state: WaveState) {
        if state == WaveState::Completed {
            let order = self
                .waves
                .iter()
                .find(|w| w.wave == wave)
                .expect("it was asked for");
            let upkept = self.upkept.entry(wave).or_default();
            for host in &order.hosts {
                assert!(upkept.contains(host), "wave {wave} told done before {host}");
            }
            self.waves_done.insert(wave);
        }
    }

    /// How a job stands in its owner's books, for messages.
    pub(crate) fn describe(&self, id: &str) -> String {
        let Some(pool_state) = self.owner_book() else {
            return "no owner has books".to_string();
        };
        let job = pool_state.by_id.get(id).map(|key| &pool_state.jobs[*key]);
        let lives = pool_state
            .workers
            .values()
            .map(|w| (&w.fact.id, w.is_listed, w.is_answering, w.used));
        format!(
            "{job:?}\n{:?}\n{:?}",
            lives.collect::<Vec<_>>(),
            pool_state.ready
        )
    }

    /// The same as [`World::tell`]; gives what is logged by it.
    pub(crate) fn told(&mut self, n: usize, event: Event) -> Vec<Decision> {
        let now = self.now();
        let state = self.entries[n].state.as_mut().expect("it is up");
        let effects = reduce(state, event, now);
        let logged = effects.iter().filter_map(|effect| match effect {
            Effect::Log(decision) => Some(decision.clone()),
            _ => None,
        });
        let logged = logged.collect();
        for effect in effects {
            self.carry(n, effect);
        }
        logged
    }

    /// Hands an event to an entry's scheduler now.
    pub(crate) fn tell(&mut self, n: usize, event: Event) {
        self.deliver_now(n, event);
    }
}

/// Whether an event is a row that comes by a feed.
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
        Table::Progress | Table::HostOrders | Table::Quotas => None,
    }
}
