//! A small world for the scheduler: several entries, one store, workers with leases, on a made-up clock.
//!
//! Everything that travels may be lost, late or doubled; entries are killed, frozen and cut off; workers
//! crash, are cut off and run on. The promises are checked while it runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use fastrand::Rng;
use rockwick::clock::Now;
use rockwick::core::sched::hosts::HostTask;
use rockwick::core::sched::job::{JobSpec, JobState, StepSpec};
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::{self, cancel_key, ProgressRow};
use rockwick::core::sched::state::{Effect, Event, LoadedRows, State};
use rockwick::port::fleet::{
    Capacity, EndKind, FleetConfig, HoldAsk, HoldReport, HostRecord, HostReply, HostState,
    OperatorWord, OrderReply, PoolConfig, QueueConfig, RowTx, RunEnd, RunStart, RunningTask,
    StoredRow, Table, TaskName, TxOutcome, WaveOrder, WaveState, WorkerFact, WorkerWord,
};

/// The only pool.
pub(crate) const POOL: &str = "pool";

/// The only queue.
pub(crate) const QUEUE: &str = "queue";

/// Wall clock at the world's beginning.
const WALL_MS: u64 = 1_000_000;

/// A process that was told to stop is killed after so long.
const GRACE_MS: u64 = 5_300;

/// What a change needs to come by a feed.
const FEED_MS: u64 = 5;

/// A lease that a worker accepts at most.
const HOLD_MAX_MS: u64 = 10_000;

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

enum Happening {
    Deliver(usize, u64, Event),
    Apply(RowTx),
    OrderLate(String, LateOrder),
    RunEnds(String, TaskName, u32),
    AtWork(String, TaskName, u32),
    Lapse(String),
    UpkeepOver(String),
    Wake(usize),
    Kill(usize, u64),
}

enum LateOrder {
    Start(u64, RunStart),
    Stop(u64, TaskName, u32),
    Hold(u64, HoldAsk),
}

struct Queued {
    at_ms: u64,
    number: u64,
    what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.number) == (other.at_ms, other.number)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// One entry.
pub(crate) struct Entry {
    /// Its scheduler; none while the process is down.
    pub(crate) state: Option<State>,
    life: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// The next wake that is on its way.
    wake_ms: u64,
}

struct Running {
    run: u32,
    demand: Capacity,
    /// From then on, a task that lasts is at work.
    at_work_ms: u64,
}

/// A worker's life.
pub(crate) struct Worker {
    fact: WorkerFact,
    fence: u64,
    clock_ahead_ms: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskName, Running>,
    barred: HashMap<TaskName, u32>,
    ended: Vec<RunEnd>,
    next_end: u64,
    /// Up, or its host is out.
    is_up: bool,
    cut_until_ms: u64,
}

impl Worker {
    fn clock(&self, now_ms: u64) -> u64 {
        now_ms + self.clock_ahead_ms
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
    /// Waves told completed.
    pub(crate) waves_done: HashSet<u64>,
    /// Hosts that had their upkeep, by wave.
    pub(crate) upkept: HashMap<u64, HashSet<String>>,
    /// Runs started, for progress in tests.
    pub(crate) starts: u64,
    /// A worker on which all runs fail.
    pub(crate) bad_worker: Option<String>,
    /// Most hosts that were out at a time.
    pub(crate) out_most: usize,
    revision: u64,
    number: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    rng: Rng,
    config: FleetConfig,
    waves: Vec<WaveOrder>,
    noted_done: HashSet<TaskName>,
    failed_runs: HashMap<TaskName, HashSet<u32>>,
    /// Lasting tasks that orders ended, until they are at work again.
    ordered_away: HashSet<TaskName>,
    cancelled_at_ms: HashMap<String, u64>,
    specs: HashMap<String, JobSpec>,
    next_life: u64,
    /// An order that was held up is being carried out.
    is_late: bool,
    /// States of jobs whose rows were removed.
    removed: HashMap<String, JobState>,
    out: HashSet<String>,
}

/// A queue on the pool, as configured in all worlds.
pub(crate) fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        queues: vec![QueueConfig {
            name: QUEUE.to_string(),
            host: "host".to_string(),
            path_prefix: "/q/".to_string(),
            pool: POOL.to_string(),
            priority: 0,
            attempts_max: 3,
            target_ms: 600,
            stretch_milli: 1_600,
        }],
        pools: [(POOL.to_string(), PoolConfig::default())].into(),
        body_bytes: 1 << 18,
        header_ms: 3_000,
        idle_ms: 15_000,
    }
}

/// A job of one step.
pub(crate) fn job(count: u16, cpu_milli: u64, estimate_ms: u64) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_string(),
        payload: "work".to_string(),
        steps: vec![StepSpec {
            count,
            cpu_milli,
            mem_mb: 100,
            estimate_ms,
            ..StepSpec::default()
        }],
        schedule: None,
        accepted_wall_ms: WALL_MS,
    }
}

/// A job that lasts.
pub(crate) fn lasting(count: u16, away_max: u16) -> JobSpec {
    let mut spec = job(count, 500, 700);
    spec.steps[0].lasting = true;
    spec.steps[0].per_worker_max = 1;
    spec.steps[0].away_max = Some(away_max);
    spec
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
            waves_done: HashSet::new(),
            upkept: HashMap::new(),
            starts: 0,
            bad_worker: None,
            out_most: 0,
            revision: 1,
            number: 0,
            queue: BinaryHeap::new(),
            rng: Rng::with_seed(seed),
            config: config(1),
            waves: Vec::new(),
            noted_done: HashSet::new(),
            failed_runs: HashMap::new(),
            ordered_away: HashSet::new(),
            cancelled_at_ms: HashMap::new(),
            specs: HashMap::new(),
            next_life: 0,
            is_late: false,
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
                cut_until_ms: 0,
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

    fn at(&mut self, after_ms: u64, what: Happening) {
        self.number += 1;
        self.queue.push(Reverse(Queued {
            at_ms: self.now_ms + after_ms,
            number: self.number,
            what,
        }));
    }

    fn chance(&mut self, milli: u32) -> bool {
        self.rng.u32(0..1_000) < milli
    }

    fn delay(&mut self) -> u64 {
        self.rng.u64(1..8)
    }

    /// Starts an entry's process.
    pub(crate) fn boot(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        entry.life += 1;
        entry.frozen_until_ms = 0;
        entry.wake_ms = self.now_ms + 5;
        let nonce = entry.life * 100 + n as u64;
        entry.state = Some(State::new(format!("entry-{n}"), nonce));
        self.tell_all(n);
        self.at(5, Happening::Wake(n));
    }

    /// Kills an entry's process.
    pub(crate) fn kill(&mut self, n: usize) {
        self.entries[n].state = None;
        self.entries[n].life += 1;
    }

    /// Tells an entry to stop; its process ends a moment later.
    pub(crate) fn stop(&mut self, n: usize) {
        let life = self.entries[n].life;
        self.at(0, Happening::Deliver(n, life, Event::Stop));
        self.at(GRACE_MS, Happening::Kill(n, life));
    }

    /// An entry stands still.
    pub(crate) fn freeze(&mut self, n: usize, ms: u64) {
        self.entries[n].frozen_until_ms = self.now_ms + ms;
    }

    /// The store does not hear an entry, nor it the store.
    pub(crate) fn cut_entry(&mut self, n: usize, ms: u64) {
        self.entries[n].cut_until_ms = self.now_ms + ms;
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
        w.running.clear();
        let host = w.fact.host.clone();
        self.at(back_after_ms, Happening::UpkeepOver(host));
    }

    /// Ids of lives that are up.
    pub(crate) fn lives(&self) -> Vec<String> {
        let up = self.workers.iter().filter(|(_, w)| w.is_up);
        up.map(|(id, _)| id.clone()).collect()
    }

    /// A life's worker as entries see it.
    pub(crate) fn fact(&self, id: &str) -> WorkerFact {
        self.workers[id].fact.clone()
    }

    fn new_life(&mut self, host: &str) {
        self.next_life += 1;
        self.revision += 1;
        // Ids tell nothing of the order of lives.
        let id = format!("w{:04x}-{}", self.rng.u16(..), self.next_life);
        let port = 1_000 + self.next_life as u16;
        let fact = WorkerFact {
            id: id.clone(),
            host: host.to_string(),
            pool: POOL.to_string(),
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            hall: "hall".to_string(),
            labels: vec!["a".to_string(), "r1".to_string()],
            capacity: Capacity {
                cpu_milli: 12_000,
                mem_mb: 8_000,
                gpu: 0,
            },
            draining: false,
            written: self.revision,
        };
        let worker = Worker {
            fact: fact.clone(),
            fence: 0,
            clock_ahead_ms: self.rng.u64(0..1_000_000),
            lease_until_ms: 0,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            is_up: true,
            cut_until_ms: 0,
        };
        self.workers.insert(id, worker);
        self.broadcast(&Event::Worker(WorkerWord::Present(fact)));
    }

    fn broadcast(&mut self, event: &Event) {
        for n in 0..self.entries.len() {
            let life = self.entries[n].life;
            let delay_ms = self.delay() + 20;
            self.at(delay_ms, Happening::Deliver(n, life, event.clone()));
        }
    }

    /// What an entry reads when it starts, or comes back to the store.
    fn tell_all(&mut self, n: usize) {
        let mut events = vec![Event::Operator(OperatorWord::Config(self.config.clone()))];
        for wave in &self.waves {
            events.push(Event::Operator(OperatorWord::Wave(wave.clone())));
        }
        // The list holds entries of lives that have ended for some heartbeats.
        let facts = self.workers.values().map(|w| w.fact.clone()).collect();
        events.push(Event::WorkersRead(facts));
        for ((table, part, key), (value, revision)) in &self.store {
            let row = StoredRow {
                part: part.clone(),
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            };
            events.extend(row_event(*table, row));
        }
        let life = self.entries[n].life;
        for event in events {
            self.at(3, Happening::Deliver(n, life, event));
        }
    }

    /// A caller hands in a job.
    pub(crate) fn submit(&mut self, id: &str, mut spec: JobSpec) {
        spec.accepted_wall_ms = WALL_MS + self.now_ms;
        let value = rows::encode(&spec);
        self.specs.insert(id.to_string(), spec);
        self.put(Table::Intake, POOL, id, value);
    }

    /// A caller cancels a job.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.cancelled_at_ms.insert(id.to_string(), self.now_ms);
        self.put(Table::Intake, POOL, &cancel_key(id), b"{}".to_vec());
    }

    /// The operator asks for a wave over all hosts.
    pub(crate) fn wave(&mut self, number: u64, duration_ms: u64, out_max: usize) {
        let hosts: HashSet<String> = self.workers.values().map(|w| w.fact.host.clone()).collect();
        let order = WaveOrder {
            wave: number,
            hosts: hosts.into_iter().collect(),
            duration_ms,
            out_max,
        };
        self.waves.push(order.clone());
        self.broadcast(&Event::Operator(OperatorWord::Wave(order)));
    }

    /// A job's state on record.
    pub(crate) fn recorded(&self, id: &str) -> JobState {
        if let Some(state) = self.removed.get(id) {
            return *state;
        }
        let key = (Table::Progress, POOL.to_string(), id.to_string());
        let row = self.store.get(&key);
        let row = row.and_then(|(value, _)| rows::decode::<ProgressRow>(value).ok());
        row.map_or(JobState::Queued, |r| r.state)
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

    fn put(&mut self, table: Table, part: &str, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let place = (table, part.to_string(), key.to_string());
        self.store.insert(place, (value.clone(), self.revision));
        let row = StoredRow {
            part: part.to_string(),
            key: key.to_string(),
            value: Some(value),
            revision: self.revision,
        };
        for n in 0..self.entries.len() {
            if self.entries[n].cut_until_ms > self.now_ms {
                continue;
            }
            let life = self.entries[n].life;
            if let Some(event) = row_event(table, row.clone()) {
                // Feeds keep the order of changes.
                self.at(FEED_MS, Happening::Deliver(n, life, event));
            }
        }
    }

    fn remove(&mut self, table: Table, part: &str, key: &str) {
        self.revision += 1;
        if table == Table::Progress {
            let state = self.recorded(key);
            assert!(state.is_final(), "{key} is removed while {state:?}");
            self.removed.insert(key.to_string(), state);
        }
        self.store
            .remove(&(table, part.to_string(), key.to_string()));
    }

    fn transact(&mut self, tx: &RowTx) -> TxOutcome {
        let mut found = Vec::new();
        let mut holds = true;
        for guard in &tx.guards {
            let place = (guard.table, tx.part.clone(), guard.key.clone());
            let there = self.store.get(&place);
            holds &= there.map_or(0, |(_, revision)| *revision) == guard.revision;
            let row = StoredRow {
                part: tx.part.clone(),
                key: guard.key.clone(),
                value: there.map(|(value, _)| value.clone()),
                revision: there.map_or(0, |(_, revision)| *revision),
            };
            found.push((guard.table, row));
        }
        if !holds {
            return TxOutcome::Conflict(found);
        }
        let before = self.revision;
        for write in &tx.writes {
            // All rows of a transaction carry one revision.
            self.revision = before;
            let Some(value) = write.value.clone() else {
                self.remove(write.table, &tx.part, &write.key);
                continue;
            };
            self.put(write.table, &tx.part, &write.key, value);
            if write.table == Table::Progress {
                self.check_progress(&write.key);
            }
        }
        TxOutcome::Committed(self.revision)
    }

    fn check_progress(&mut self, id: &str) {
        let key = (Table::Progress, POOL.to_string(), id.to_string());
        let row: ProgressRow = rows::decode(&self.store[&key].0).expect("progress decodes");
        let spec = &self.specs[id];
        if row.state == JobState::Failed {
            let failed = self.failed_runs.iter().filter(|(task, _)| task.job == id);
            let most = failed.map(|(_, runs)| runs.len()).max().unwrap_or(0);
            assert!(most >= 3, "{id} shown as failed after {most} failed runs");
        }
        if row.state == JobState::Completed {
            for (step, s) in spec.steps.iter().enumerate() {
                for index in 0..s.count {
                    let name = TaskName {
                        job: id.to_string(),
                        round: 0,
                        step: step as u16,
                        index,
                    };
                    assert!(
                        self.was_done(&name),
                        "{name:?} shown as completed, not done"
                    );
                }
            }
        }
    }

    fn was_done(&self, name: &TaskName) -> bool {
        let is_it = |e: &RunEnd| e.task == *name && e.kind == EndKind::Done;
        self.noted_done.contains(name) || self.workers.values().any(|w| w.ended.iter().any(is_it))
    }

    fn reduce(&mut self, n: usize, event: Event) {
        let now = self.now();
        let Some(state) = self.entries[n].state.as_mut() else {
            return;
        };
        let effects = reduce(state, event, now);
        for effect in effects {
            self.carry(n, effect);
        }
        let wake_ms = self.entries[n].state.as_ref().and_then(State::wake_ms);
        let Some(at_ms) = wake_ms else { return };
        let at_ms = at_ms.max(self.now_ms + 1);
        if self.entries[n].wake_ms <= self.now_ms || at_ms < self.entries[n].wake_ms {
            self.entries[n].wake_ms = at_ms;
            self.at(at_ms - self.now_ms, Happening::Wake(n));
        }
    }

    fn reply(&mut self, n: usize, after_ms: u64, event: Event) {
        let life = self.entries[n].life;
        self.at(after_ms, Happening::Deliver(n, life, event));
    }

    /// Sends a transaction with whatever may befall it.
    fn store_call(&mut self, n: usize, tx: &RowTx) -> (u64, TxOutcome) {
        const TIMEOUT_MS: u64 = 800;
        if self.entries[n].cut_until_ms > self.now_ms {
            return (TIMEOUT_MS, TxOutcome::Unknown);
        }
        if self.chance(self.faults.store_lost) {
            if self.chance(500) {
                self.transact(tx);
            } else if self.chance(self.faults.store_late) {
                let late_ms = self.rng.u64(1_000..6_000);
                self.at(late_ms, Happening::Apply(tx.clone()));
            }
            return (TIMEOUT_MS, TxOutcome::Unknown);
        }
        let outcome = self.transact(tx);
        (self.delay() + 4, outcome)
    }

    /// What befalls an order to a worker: nothing, or it is lost, perhaps to be carried out later.
    fn order_goes(&mut self, worker: &str, late: LateOrder) -> bool {
        let is_cut = self
            .workers
            .get(worker)
            .is_none_or(|w| !w.is_up || w.cut_until_ms > self.now_ms);
        if is_cut {
            return false;
        }
        if self.chance(self.faults.order_lost) {
            if self.chance(self.faults.order_late) {
                let late_ms = self.rng.u64(2_000..12_000);
                self.at(late_ms, Happening::OrderLate(worker.to_string(), late));
            }
            return false;
        }
        true
    }

    fn carry(&mut self, n: usize, effect: Effect) {
        if std::env::var_os("ROCKWICK_SEED").is_some() {
            println!("{} entry-{n} {effect:?}", self.now_ms);
        }
        const ORDER_TIMEOUT_MS: u64 = 400;
        match effect {
            Effect::Claim(pool, tx) => {
                let sent_ms = self.now_ms;
                let (after_ms, outcome) = self.store_call(n, &tx);
                self.reply(n, after_ms, Event::Claimed(pool, sent_ms, outcome));
            }
            Effect::Renew(pool, epoch, tx) => {
                let sent_ms = self.now_ms;
                let (after_ms, outcome) = self.store_call(n, &tx);
                self.reply(n, after_ms, Event::Renewed(pool, epoch, sent_ms, outcome));
            }
            Effect::Record(pool, epoch, tx) => {
                let (after_ms, outcome) = self.store_call(n, &tx);
                self.reply(n, after_ms, Event::Recorded(pool, epoch, outcome));
            }
            Effect::Release(tx) => {
                self.store_call(n, &tx);
            }
            Effect::SettleWave(pool, wave, tx) => {
                let (after_ms, outcome) = self.store_call(n, &tx);
                self.reply(n, after_ms, Event::WaveSettled(pool, wave, outcome));
            }
            Effect::TellWave(wave, state) => self.wave_told(wave, state),
            Effect::Load(pool, epoch, _) => {
                let rows = (self.entries[n].cut_until_ms <= self.now_ms).then(|| self.rows());
                self.reply(n, 8, Event::Loaded(pool, epoch, rows));
            }
            Effect::ReadHosts(pool, epoch) => {
                let hosts = self.hosts();
                self.reply(n, 5, Event::HostsRead(pool, epoch, hosts));
            }
            Effect::Start(order, task, start) => {
                let run = start.run;
                let late = LateOrder::Start(order.to.fence, start.clone());
                let (after_ms, reply) = if self.order_goes(&order.to.worker, late) {
                    (
                        self.delay(),
                        self.start(&order.to.worker, order.to.fence, &start),
                    )
                } else {
                    (ORDER_TIMEOUT_MS, OrderReply::Silent)
                };
                let fence = order.to.fence;
                self.reply(
                    n,
                    after_ms,
                    Event::Started(order.pool, fence, task, run, reply),
                );
            }
            Effect::Stop(order, task, name, run) => {
                let late = LateOrder::Stop(order.to.fence, name.clone(), run);
                let (after_ms, reply) = if self.order_goes(&order.to.worker, late) {
                    let reply = self.stop_run(&order.to.worker, order.to.fence, &name, run);
                    (self.delay(), reply)
                } else {
                    (ORDER_TIMEOUT_MS, OrderReply::Silent)
                };
                let fence = order.to.fence;
                self.reply(
                    n,
                    after_ms,
                    Event::Stopped(order.pool, fence, task, run, reply),
                );
            }
            Effect::StopStray(order, name, run) => {
                let late = LateOrder::Stop(order.to.fence, name.clone(), run);
                if self.order_goes(&order.to.worker, late) {
                    self.stop_run(&order.to.worker, order.to.fence, &name, run);
                }
            }
            Effect::Hold(order, worker, ask) => {
                let sent_ms = self.now_ms;
                let late = LateOrder::Hold(order.to.fence, ask);
                let (after_ms, result) = if self.order_goes(&order.to.worker, late) {
                    let wait_ms = self.rng.u64(0..=ask.wait_ms.min(60));
                    let result = self.hold(&order.to.worker, order.to.fence, ask);
                    (self.delay() + wait_ms, result)
                } else {
                    (ask.wait_ms + ORDER_TIMEOUT_MS, Err(OrderReply::Silent))
                };
                let fence = order.to.fence;
                let event = Event::Held(order.pool, fence, worker, sent_ms, result);
                self.reply(n, after_ms, event);
            }
            Effect::SettleOrdered(pool, tx) => {
                let (after_ms, outcome) = self.store_call(n, &tx);
                self.reply(n, after_ms, Event::OrderedSettled(pool, outcome));
            }
            Effect::OrderHost(pool, epoch, host, task, _) => {
                let reply = match task {
                    HostTask::Upkeep(wave) => self.upkeep(wave, &host),
                    HostTask::Move(_) => HostReply::Wrong,
                };
                self.reply(n, 5, Event::HostOrdered(pool, epoch, host, reply));
            }
            Effect::Left => self.kill(n),
            Effect::Pace(..) | Effect::Log(_) => {}
        }
    }

    fn rows(&self) -> LoadedRows {
        let of = |table: Table, part: &str| -> Vec<StoredRow> {
            let rows = self.store.iter();
            let rows = rows.filter(|((t, p, _), _)| *t == table && p == part);
            rows.map(|((_, part, key), (value, revision))| StoredRow {
                part: part.clone(),
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            })
            .collect()
        };
        LoadedRows {
            intake: of(Table::Intake, POOL),
            progress: of(Table::Progress, POOL),
            workers: self.workers.values().map(|w| w.fact.clone()).collect(),
            waves: of(Table::Waves, ""),
        }
    }

    fn hosts(&self) -> Vec<HostRecord> {
        let mut hosts: BTreeMap<String, HostRecord> = BTreeMap::new();
        for w in self.workers.values() {
            let record = HostRecord {
                host: w.fact.host.clone(),
                pool: POOL.to_string(),
                state: if w.is_up {
                    HostState::Up
                } else {
                    HostState::Upkeep
                },
                life: w.fact.id.clone(),
            };
            let is_up = hosts
                .get(&record.host)
                .is_some_and(|h| h.state == HostState::Up);
            if !is_up {
                hosts.insert(record.host.clone(), record);
            }
        }
        hosts.into_values().collect()
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

    fn upkeep(&mut self, wave: u64, host: &str) -> HostReply {
        let upkept = self.upkept.entry(wave).or_default();
        if upkept.contains(host) {
            return HostReply::Accepted;
        }
        let up = self
            .workers
            .values_mut()
            .find(|w| w.is_up && w.fact.host == host);
        let Some(w) = up else {
            return HostReply::Busy;
        };
        w.is_up = false;
        let id = w.fact.id.clone();
        let ended: Vec<TaskName> = w.running.keys().cloned().collect();
        upkept.insert(host.to_string());
        for task in &ended {
            self.check_away(&id, task);
        }
        if let Some(w) = self.workers.get_mut(&id) {
            w.running.clear();
        }
        self.out.insert(host.to_string());
        self.out_most = self.out_most.max(self.out.len());
        self.at(2_000, Happening::UpkeepOver(host.to_string()));
        HostReply::Accepted
    }

    fn start(&mut self, id: &str, fence: u64, start: &RunStart) -> OrderReply {
        let now_ms = self.now_ms;
        let spec = self.specs.get(&start.task.job).expect("a caller sent it");
        let step = spec.steps[usize::from(start.task.step)].clone();
        let demand = step.demand();
        let slow = if self.rng.u32(0..6) == 0 { 6 } else { 1 };
        let at_work_ms = now_ms + self.rng.u64(400..1_400) * slow;
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return OrderReply::Silent;
        };
        if fence < w.fence {
            return OrderReply::Fenced;
        }
        w.fence = fence;
        if start.lease_until_ms <= w.clock(now_ms) {
            return OrderReply::TooLate;
        }
        let cap_ms = w.clock(now_ms) + HOLD_MAX_MS;
        w.lease_until_ms = w.lease_until_ms.max(start.lease_until_ms.min(cap_ms));
        if w.running
            .get(&start.task)
            .is_some_and(|r| r.run == start.run)
        {
            return OrderReply::Accepted;
        }
        if w.barred
            .get(&start.task)
            .is_some_and(|run| start.run <= *run)
        {
            return OrderReply::Outdated;
        }
        let used: u64 = w.running.values().map(|r| r.demand.cpu_milli).sum();
        if used + demand.cpu_milli > w.fact.capacity.cpu_milli {
            return OrderReply::NoRoom;
        }
        let run = Running {
            run: start.run,
            demand,
            at_work_ms,
        };
        w.running.insert(start.task.clone(), run);
        self.starts += 1;
        self.check_start(id, &start.task);
        let lapse_ms = self.workers[id].lease_until_ms - self.workers[id].clock(now_ms);
        self.at(lapse_ms, Happening::Lapse(id.to_string()));
        let at_work = Happening::AtWork(id.to_string(), start.task.clone(), start.run);
        self.at(at_work_ms - now_ms, at_work);
        if !step.lasting {
            let work_ms = self.rng.u64(step.estimate_ms / 2..=step.estimate_ms * 2);
            let end = Happening::RunEnds(id.to_string(), start.task.clone(), start.run);
            self.at(work_ms, end);
        }
        OrderReply::Accepted
    }

    /// The promises on starts.
    fn check_start(&self, id: &str, task: &TaskName) {
        for (other, w) in &self.workers {
            let runs_too = w.is_up && other != id && w.running.contains_key(task);
            assert!(
                !runs_too,
                "{} ms: {task:?} runs on {other} and on {id}",
                self.now_ms
            );
        }
        assert!(
            !self.noted_done.contains(task),
            "{} ms: {task:?} starts on {id} after its end was noted",
            self.now_ms
        );
        if let Some(at_ms) = self.cancelled_at_ms.get(&task.job) {
            let late_ms = self.now_ms - at_ms;
            assert!(
                late_ms < 14_000,
                "{task:?} starts {late_ms} ms after its cancel"
            );
        }
    }

    fn stop_run(&mut self, id: &str, fence: u64, task: &TaskName, run: u32) -> OrderReply {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return OrderReply::Silent;
        };
        if fence < w.fence {
            return OrderReply::Fenced;
        }
        w.fence = fence;
        let barred = w.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        if w.running.get(task).is_some_and(|r| r.run == run) {
            self.check_away(id, task);
            self.end(id, task, run, EndKind::Stopped);
        }
        OrderReply::Accepted
    }

    /// The promise on lasting tasks that an order ends.
    fn check_away(&mut self, id: &str, task: &TaskName) {
        let now_ms = self.now_ms;
        let Some(most) = self.specs[&task.job].steps[usize::from(task.step)].away_max else {
            return;
        };
        let lives = self.workers.values().filter(|w| w.is_up);
        let at_work: HashSet<TaskName> = lives
            .flat_map(|w| w.running.iter())
            .filter(|(_, r)| now_ms >= r.at_work_ms)
            .map(|(t, _)| t.clone())
            .collect();
        if !at_work.contains(task) || self.is_late || self.cancelled_at_ms.contains_key(&task.job) {
            return;
        }
        let others = self.ordered_away.iter();
        let others = others.filter(|t| t.job == task.job && t.step == task.step && *t != task);
        let away = others.count();
        assert!(
            away < usize::from(most),
            "{now_ms} ms: {task:?} is ended on {id} while {away} others are away"
        );
        self.ordered_away.insert(task.clone());
    }

    fn hold(&mut self, id: &str, fence: u64, ask: HoldAsk) -> Result<HoldReport, OrderReply> {
        let now_ms = self.now_ms;
        let w = self.workers.get_mut(id).filter(|w| w.is_up);
        let w = w.ok_or(OrderReply::Silent)?;
        if fence < w.fence {
            return Err(OrderReply::Fenced);
        }
        w.fence = fence;
        if let Some(until_ms) = ask.lease_until_ms {
            let cap_ms = w.clock(now_ms) + HOLD_MAX_MS;
            w.lease_until_ms = w.lease_until_ms.max(until_ms.min(cap_ms));
        }
        let (seen, rest): (Vec<RunEnd>, Vec<RunEnd>) =
            w.ended.drain(..).partition(|e| e.number <= ask.seen);
        w.ended = rest;
        let report = HoldReport {
            clock_ms: w.clock(now_ms),
            running: w
                .running
                .iter()
                .map(|(task, r)| RunningTask {
                    task: task.clone(),
                    run: r.run,
                    checkpoint: String::new(),
                    percent: if now_ms >= r.at_work_ms { 100 } else { 0 },
                    gauge: 0,
                })
                .collect(),
            ended: w.ended.clone(),
        };
        let lapse_ms = w.lease_until_ms.saturating_sub(w.clock(now_ms));
        for end in seen {
            if end.kind == EndKind::Done {
                self.noted_done.insert(end.task);
            }
        }
        self.at(lapse_ms, Happening::Lapse(id.to_string()));
        Ok(report)
    }

    fn end(&mut self, id: &str, task: &TaskName, run: u32, kind: EndKind) {
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        w.running.remove(task);
        let barred = w.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        if kind == EndKind::Failed {
            let runs = self.failed_runs.entry(task.clone()).or_default();
            runs.insert(run);
        }
        let number = w.next_end;
        w.next_end += 1;
        w.ended.push(RunEnd {
            number,
            task: task.clone(),
            run,
            kind,
            checkpoint: String::new(),
        });
    }

    /// Lets the world run on for so long.
    pub(crate) fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now_ms = next.at_ms.max(self.now_ms);
            self.happen(next.what);
        }
        self.now_ms = until_ms;
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Deliver(n, life, event) => self.deliver(n, life, event),
            Happening::Apply(tx) => {
                self.transact(&tx);
            }
            Happening::OrderLate(id, order) => self.order_late(&id, order),
            Happening::RunEnds(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                if there.is_some_and(|r| r.run == run) {
                    let is_bad = self.bad_worker.as_ref() == Some(&id);
                    let fails = self.chance(self.faults.run_fails) || is_bad;
                    let kind = if fails {
                        EndKind::Failed
                    } else {
                        EndKind::Done
                    };
                    self.end(&id, &task, run, kind);
                }
            }
            Happening::AtWork(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                if there.is_some_and(|r| r.run == run) {
                    self.ordered_away.remove(&task);
                }
            }
            Happening::Lapse(id) => self.lapse(&id),
            Happening::UpkeepOver(host) => {
                self.out.remove(&host);
                self.new_life(&host);
            }
            Happening::Kill(n, life) => {
                if self.entries[n].life == life {
                    self.kill(n);
                }
            }
            Happening::Wake(n) if self.entries[n].wake_ms == self.now_ms => {
                self.deliver_now(n, Event::Tick);
            }
            // An earlier wake came before it.
            Happening::Wake(_) => {}
        }
    }

    fn deliver(&mut self, n: usize, life: u64, event: Event) {
        if self.entries[n].life != life {
            return;
        }
        if self.entries[n].frozen_until_ms > self.now_ms {
            let after_ms = self.entries[n].frozen_until_ms - self.now_ms;
            self.at(after_ms, Happening::Deliver(n, life, event));
            return;
        }
        self.deliver_now(n, event);
    }

    fn deliver_now(&mut self, n: usize, event: Event) {
        if self.entries[n].frozen_until_ms > self.now_ms {
            let thaw_ms = self.entries[n].frozen_until_ms;
            self.entries[n].wake_ms = thaw_ms;
            self.at(thaw_ms - self.now_ms, Happening::Wake(n));
            return;
        }
        let cut_until_ms = self.entries[n].cut_until_ms;
        if cut_until_ms > 0 && cut_until_ms <= self.now_ms {
            self.entries[n].cut_until_ms = 0;
            self.tell_all(n);
        }
        self.reduce(n, event);
    }

    fn order_late(&mut self, id: &str, order: LateOrder) {
        match order {
            LateOrder::Start(fence, start) => {
                self.start(id, fence, &start);
            }
            LateOrder::Stop(fence, task, run) => {
                // What was away when it was sent may have changed since: that is nobody's fault.
                self.is_late = true;
                self.stop_run(id, fence, &task, run);
                self.is_late = false;
            }
            LateOrder::Hold(fence, ask) => {
                // Its answer goes nowhere.
                let _ = self.hold(id, fence, ask);
            }
        }
    }

    fn lapse(&mut self, id: &str) {
        let now_ms = self.now_ms;
        let Some(w) = self.workers.get(id).filter(|w| w.is_up) else {
            return;
        };
        if w.clock(now_ms) < w.lease_until_ms {
            return;
        }
        let running: Vec<(TaskName, u32)> =
            w.running.iter().map(|(t, r)| (t.clone(), r.run)).collect();
        for (task, run) in running {
            self.end(id, &task, run, EndKind::Lapsed);
        }
    }

    /// The owner's state.
    pub(crate) fn owner(&self) -> Option<&State> {
        let states = self.entries.iter().filter_map(|e| e.state.as_ref());
        states.into_iter().find(|s| s.owned() > 0)
    }

    /// How a job stands in its owner's books, for messages.
    pub(crate) fn describe(&self, id: &str) -> String {
        let pool = self.owner().and_then(|s| s.pool(POOL));
        let book = pool
            .and_then(|p| p.tenure.as_ref())
            .and_then(|t| t.book.as_ref());
        let Some(book) = book else {
            return "no owner has books".to_string();
        };
        let job = book.by_id.get(id).map(|key| &book.jobs[*key]);
        let lives = book
            .workers
            .values()
            .map(|w| (&w.fact.id, w.is_listed, w.answers, w.used));
        format!("{job:?}\n{:?}\n{:?}", lives.collect::<Vec<_>>(), book.ready)
    }

    /// Hands an event to an entry's scheduler now.
    pub(crate) fn tell(&mut self, n: usize, event: Event) {
        self.deliver_now(n, event);
    }
}

fn row_event(table: Table, row: StoredRow) -> Option<Event> {
    match table {
        Table::Owners => Some(Event::Owner(row)),
        Table::Intake => Some(Event::Intake(row)),
        Table::Waves => Some(Event::WaveRow(row)),
        Table::Progress => None,
    }
}
