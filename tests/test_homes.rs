//! Random submissions by entries that route one queue to different pools, against a store that refuses partitions,
//! loses answers and applies writes late: an id is stored in one pool at most, and the answers to its callers are true.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fastrand::Rng;
use rockwick::core::sched::homes::{find_existing, Existing, JobStorage, KnownQueues, QUEUE_PARTS};
use rockwick::core::sched::insert::{Attempts, InsertOutcome};
use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::rows::{self, intake_parts_of, pool_of_part, IntakeRow, JobReference};
use rockwick::core::sched::state::Event;
use rockwick::port::fleet::{QueueRoute, RowTx, StoredRow, Table, TxOutcome};

use crate::world::{job, World as SchedulerWorld, POOL};

const POOLS: [&str; 4] = ["a", "b", "c", "d"];
const ADDRESS: &str = "queue.example/q/";

/// Time within which an entry learns of a change of the route.
const CONFIG_MS: u64 = 2_000;

/// Most attempts at one insert, by the time that callers wait.
const ATTEMPTS_MAX: u32 = 6;

#[derive(Default)]
struct Store {
    rows: BTreeMap<(Table, String, String), (Vec<u8>, u64)>,
    revision: u64,
}

impl Store {
    fn row(&self, table: Table, part: &str, key: &str) -> StoredRow {
        let stored = self.rows.get(&(table, part.to_string(), key.to_string()));
        StoredRow {
            part: part.to_string(),
            key: key.to_string(),
            value: stored.map(|(value, _)| value.clone()),
            revision: stored.map_or(0, |(_, revision)| *revision),
        }
    }

    fn commit(&mut self, txs: &[RowTx]) -> TxOutcome {
        let guards = txs
            .iter()
            .flat_map(|tx| tx.guards.iter().map(move |guard| (tx, guard)));
        let found: Vec<(Table, StoredRow, bool)> = guards
            .map(|(tx, guard)| {
                let row = self.row(guard.table, &tx.part, &guard.key);
                let holds = row.revision == guard.revision;
                (guard.table, row, holds)
            })
            .collect();
        if !found.iter().all(|(.., holds)| *holds) {
            let rows = found.into_iter().map(|(table, row, _)| (table, row));
            return TxOutcome::Conflict(rows.collect());
        }
        self.revision += 1;
        for tx in txs {
            for write in &tx.writes {
                let key = (write.table, tx.part.clone(), write.key.clone());
                match &write.value {
                    Some(value) => self.rows.insert(key, (value.clone(), self.revision)),
                    None => self.rows.remove(&key),
                };
            }
        }
        TxOutcome::Committed(self.revision)
    }

    /// Returns the pools that store a job under this id.
    fn pools_with(&self, id: &str) -> BTreeSet<String> {
        let rows = self.rows.iter();
        let jobs = rows.filter(|((table, _, key), (value, _))| {
            let is_job = || matches!(rows::decode_intake(value), Ok(IntakeRow::Job(_)));
            *table == Table::Intake && key == id && is_job()
        });
        jobs.map(|((_, part, _), _)| pool_of_part(part).to_string())
            .collect()
    }
}

struct Entry {
    pool: &'static str,
    queues: KnownQueues,
}

/// What a submission does next.
enum Step {
    Learn,
    Insert(JobStorage, Attempts, u32),
    /// Takes in the answer to an insert.
    Answer(JobStorage, Attempts, u32, TxOutcome),
}

enum Action {
    Route(usize, &'static str),
    Submit(usize, usize, Step),
    Apply(Vec<RowTx>),
    Refuse(BTreeSet<String>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    NotTaken,
    Unsure,
}

struct World {
    rng: Rng,
    now_ms: u64,
    store: Store,
    refused_parts: BTreeSet<String>,
    entries: Vec<Entry>,
    /// Times of the actions, the latest ones smallest, with their indices.
    queue: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    actions: Vec<Option<Action>>,
    answers: BTreeMap<usize, Vec<Answer>>,
    /// Percentage of writes whose answer is lost, and of those that are applied late.
    lost: u32,
    late: u32,
}

fn id_of(job: usize) -> String {
    format!("{:016x}", job * 7_919 + 1)
}

fn job_bytes(storage: &JobStorage) -> Vec<u8> {
    rows::encode(&JobSpec {
        home: storage.is_away().then(|| storage.home.clone()),
        ..JobSpec::default()
    })
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let entries = 2 + rng.usize(0..4);
        let new_entry = |_| Entry {
            pool: POOLS[0],
            queues: KnownQueues::default(),
        };
        Self {
            now_ms: 0,
            store: Store::default(),
            refused_parts: BTreeSet::new(),
            entries: (0..entries).map(new_entry).collect(),
            queue: BinaryHeap::new(),
            actions: Vec::new(),
            answers: BTreeMap::new(),
            lost: rng.u32(0..30),
            late: rng.u32(0..30),
            rng,
        }
    }

    fn schedule(&mut self, at_ms: u64, action: Action) {
        self.queue
            .push(std::cmp::Reverse((at_ms, self.actions.len())));
        self.actions.push(Some(action));
    }

    /// Draws changes of the route, outages of partitions, and jobs with copies.
    fn draw_day(&mut self) {
        let mut at_ms = 0;
        for _ in 0..self.rng.usize(1..5) {
            at_ms += self.rng.u64(200..6_000);
            let pool = POOLS[self.rng.usize(0..POOLS.len())];
            for n in 0..self.entries.len() {
                let late_ms = self.rng.u64(0..CONFIG_MS);
                self.schedule(at_ms + late_ms, Action::Route(n, pool));
            }
        }
        for _ in 0..self.rng.usize(0..3) {
            let from_ms = self.rng.u64(0..12_000);
            let share = self.rng.u32(10..60);
            let parts = self.draw_parts(share);
            self.schedule(from_ms, Action::Refuse(parts));
            let until_ms = from_ms + self.rng.u64(500..4_000);
            self.schedule(until_ms, Action::Refuse(BTreeSet::new()));
        }
        for job in 0..self.rng.usize(5..30) {
            let first_ms = self.rng.u64(0..15_000);
            for _ in 0..self.rng.usize(1..4) {
                let at_ms = first_ms + self.rng.u64(0..3_000) * self.rng.u64(0..2);
                let entry = self.rng.usize(0..self.entries.len());
                self.schedule(at_ms, Action::Submit(job, entry, Step::Learn));
            }
        }
    }

    /// Draws a percentage of all partitions.
    fn draw_parts(&mut self, share: u32) -> BTreeSet<String> {
        let intake = POOLS.iter().flat_map(|pool| rows::intake_parts(pool));
        let queues = QUEUE_PARTS.iter().map(|part| part.to_string());
        let all: Vec<String> = intake.chain(queues).collect();
        let rng = &mut self.rng;
        all.into_iter()
            .filter(|_| rng.u32(0..100) < share)
            .collect()
    }

    /// Commits transactions together; returns the answer, which may be lost.
    fn transact(&mut self, txs: &[RowTx]) -> TxOutcome {
        if txs.iter().any(|tx| self.refused_parts.contains(&tx.part)) {
            return TxOutcome::Refused;
        }
        let drawn = self.rng.u32(0..100);
        if drawn < self.late {
            let at_ms = self.now_ms + self.rng.u64(100..6_000);
            self.schedule(at_ms, Action::Apply(txs.to_vec()));
            return TxOutcome::Unknown;
        }
        let answer = self.store.commit(txs);
        match drawn < self.late + self.lost {
            true => TxOutcome::Unknown,
            false => answer,
        }
    }

    fn run(&mut self) {
        while let Some(std::cmp::Reverse((at_ms, n))) = self.queue.pop() {
            self.now_ms = at_ms;
            match self.actions[n].take().expect("an action runs once") {
                Action::Route(entry, pool) => self.entries[entry].pool = pool,
                Action::Apply(txs) => {
                    self.store.commit(&txs);
                }
                Action::Refuse(parts) => self.refused_parts = parts,
                Action::Submit(job, entry, step) => self.submit(job, entry, step),
            }
        }
    }

    fn submit(&mut self, job: usize, entry: usize, step: Step) {
        let next_ms = self.now_ms + self.rng.u64(1..80);
        let next = match step {
            Step::Learn => match self.learn(entry) {
                Some(storage) => Step::Insert(storage, Attempts::default(), 0),
                None => return self.answer(job, Answer::NotTaken),
            },
            Step::Insert(storage, attempts, count) => {
                let txs = storage.insert_txs(&id_of(job), job_bytes(&storage), count as usize);
                let answer = self.transact(&txs);
                Step::Answer(storage, attempts, count + 1, answer)
            }
            Step::Answer(storage, mut attempts, count, answer) => {
                let outcome = attempts.note(answer);
                let is_last = count >= ATTEMPTS_MAX;
                match outcome.or_else(|| is_last.then(|| attempts.stop())) {
                    Some(outcome) => return self.settle(job, outcome),
                    None => Step::Insert(storage, attempts, count),
                }
            }
        };
        self.schedule(next_ms, Action::Submit(job, entry, next));
    }

    /// Reads the queue's row and records the route, as an entry does for a caller.
    fn learn(&mut self, entry: usize) -> Option<JobStorage> {
        let route = QueueRoute {
            address: ADDRESS.to_string(),
            pool: self.entries[entry].pool.to_string(),
        };
        for _ in 0..3 {
            if let Some(storage) = self.entries[entry].queues.storage(&route) {
                return Some(storage);
            }
            let part = QUEUE_PARTS
                .into_iter()
                .find(|part| !self.refused_parts.contains(*part))?;
            let key = rockwick::core::sched::homes::queue_key(ADDRESS);
            let row = self.store.row(Table::Queues, part, &key);
            let queues = &mut self.entries[entry].queues;
            queues.apply_row(&row).expect("the row can be decoded");
            let Some((txs, _)) = queues.registration(std::slice::from_ref(&route)) else {
                continue;
            };
            if let TxOutcome::Conflict(found) = self.transact(&txs) {
                for (_, row) in found {
                    let queues = &mut self.entries[entry].queues;
                    queues.apply_row(&row).expect("the row can be decoded");
                }
            }
        }
        None
    }

    fn settle(&mut self, job: usize, outcome: InsertOutcome) {
        let answer = match outcome {
            InsertOutcome::Done => Answer::Accepted,
            InsertOutcome::Conflict(found) => {
                self.check_existing(job, find_existing(found));
                Answer::Accepted
            }
            InsertOutcome::NotDone => Answer::NotTaken,
            InsertOutcome::Unsure => Answer::Unsure,
        };
        self.answer(job, answer);
    }

    /// Checks that what a conflict shows leads to the job.
    fn check_existing(&self, job: usize, existing: Option<Existing>) {
        match existing.expect("the id is taken") {
            Existing::Job(bytes) => assert!(rows::decode::<JobSpec>(&bytes).is_ok()),
            Existing::StoredIn(pool) => {
                assert!(self.store.pools_with(&id_of(job)).contains(&pool));
            }
        }
    }

    fn answer(&mut self, job: usize, answer: Answer) {
        self.answers.entry(job).or_default().push(answer);
    }

    fn check(&self) {
        for (job, answers) in &self.answers {
            let pools = self.store.pools_with(&id_of(*job));
            assert!(pools.len() <= 1, "job {job} is stored in {pools:?}");
            if answers.contains(&Answer::Accepted) {
                assert_eq!(pools.len(), 1, "job {job} was accepted: {answers:?}");
            }
            if answers.iter().all(|answer| *answer == Answer::NotTaken) {
                assert!(
                    pools.is_empty(),
                    "job {job} was refused, and is in {pools:?}"
                );
            }
        }
    }
}

/// A copy at an entry with another configuration was stored as a second job.
#[test]
fn homes_random_days() {
    let mut copies_found = 0;
    for seed in 0..3_000 {
        let mut world = World::new(seed);
        world.draw_day();
        world.run();
        let check = || world.check();
        if std::panic::catch_unwind(std::panic::AssertUnwindSafe(check)).is_err() {
            panic!("seed {seed}");
        }
        let accepted =
            |answers: &&Vec<Answer>| answers.iter().filter(|a| **a == Answer::Accepted).count() > 1;
        copies_found += world.answers.values().filter(accepted).count();
    }
    assert!(copies_found > 1_000, "{copies_found}");
}

/// A job in its home pool is stored by one transaction in one partition, as if its queue had never moved.
#[test]
fn homes_unmoved() {
    let id = id_of(1);
    let storage = JobStorage::new("a", "a");
    for (n, part) in intake_parts_of("a", &id).into_iter().enumerate() {
        let txs = storage.insert_txs(&id, job_bytes(&storage), n);
        assert_eq!(txs.len(), 1);
        assert_eq!(txs[0].part, part);
    }
}

/// Many routes are recorded within the limit of a transaction, and none is lost.
#[test]
fn homes_many_queues() {
    let routes: Vec<QueueRoute> = (0..100)
        .map(|n| QueueRoute {
            address: format!("queue.example/q{n}/"),
            pool: POOLS[n % 4].to_string(),
        })
        .collect();
    let mut store = Store::default();
    let mut queues = KnownQueues::default();
    while let Some((txs, _)) = queues.registration(&routes) {
        let entries: usize = txs.iter().map(|tx| tx.guards.len() + tx.writes.len()).sum();
        assert!(entries <= 100, "{entries}");
        assert!(matches!(store.commit(&txs), TxOutcome::Committed(_)));
        for tx in &txs {
            for write in &tx.writes {
                let row = store.row(Table::Queues, &tx.part, &write.key);
                queues.apply_row(&row).expect("the row can be decoded");
            }
        }
    }
    for route in &routes {
        let storage = queues.storage(route).expect("the route is recorded");
        assert_eq!(storage, JobStorage::new(&route.pool, &route.pool));
    }
}

fn reference_to(pool: &str) -> Vec<u8> {
    rows::encode(&JobReference {
        stored_in: pool.to_string(),
    })
}

/// The references to a job are removed before its row, since only that row tells a later owner of them. An owner that
/// ends in between leaves none behind.
#[test]
fn homes_references_removed() {
    for seed in 0..20 {
        let mut world = SchedulerWorld::new(seed, 2, 3);
        world.run(8_000);
        let spec = JobSpec {
            home: Some("former".to_string()),
            ..job(2, 1_000, 100)
        };
        world.submit("a", spec);
        for part in intake_parts_of("former", "a") {
            let row_key = (Table::Intake, part, "a".to_string());
            world.store.insert(row_key, (reference_to(POOL), 1));
        }
        let in_pool = |world: &SchedulerWorld, pool: &str| {
            let mut rows = world.store.keys();
            rows.any(|(table, part, key)| {
                *table == Table::Intake && key == "a" && pool_of_part(part) == pool
            })
        };
        world.run(140_000);
        assert!(in_pool(&world, POOL) && in_pool(&world, "former"));
        for _ in 0..400 {
            world.run(50);
            assert!(
                in_pool(&world, POOL) || !in_pool(&world, "former"),
                "seed {seed}: a reference outlives its job"
            );
            let is_between = in_pool(&world, POOL) && !in_pool(&world, "former");
            if let Some(owner) = world.owner_entry().filter(|_| seed % 2 == 1 && is_between) {
                world.kill(owner);
                world.run(500);
                world.boot(owner);
            }
        }
        // The next owner keeps the job as long as the one before.
        world.run(180_000);
        assert!(!in_pool(&world, POOL), "seed {seed}");
    }
}

/// An owner takes a reference in its pool's intake neither for a job nor for a row that can't be decoded.
#[test]
fn homes_reference_skipped() {
    let mut world = SchedulerWorld::new(1, 1, 3);
    world.run(8_000);
    let [part, _] = intake_parts_of(POOL, "a");
    let row = StoredRow {
        part,
        key: "a".to_string(),
        value: Some(reference_to("other")),
        revision: 1_000_000,
    };
    let logged = world.deliver_logged(0, Event::Intake(row));
    assert!(logged.is_empty(), "{logged:?}");
    world.run(3_000);
    assert_eq!(world.starts, 0);
}
