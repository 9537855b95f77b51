//! Random submissions and cancels by entries that route one queue to different pools, against a store that refuses
//! partitions, loses answers and applies writes late, with owners that follow the feed and are replaced: a job of one id
//! is run by one pool, none is run after a cancel that did not find it was answered, and the answers to callers are true.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fastrand::Rng;
use rockwick::core::sched::homes::{
    copies_of, guest_of, home_of_guest_row, is_first, other_part, queue_key, rows_of_pool,
    running_pool, GuestIds, JobStorage, KnownQueues, QUEUE_PARTS,
};
use rockwick::core::sched::insert::{Attempts, InsertOutcome};
use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::rows::{
    self, intake_parts, intake_parts_of, is_job_key, pool_of_part, shard_parts,
};
use rockwick::core::sched::state::Event;
use rockwick::core::sched::tombstones::tombstone_txs;
use rockwick::port::fleet::{QueueRoute, RowTx, StoredRow, Table, TxOutcome};

use crate::world::{job, World as SchedulerWorld, POOL};

const POOLS: [&str; 4] = ["a", "b", "c", "d"];
const ADDRESS: &str = "queue.example/q/";

/// Time within which an entry learns of a change of the route.
const CONFIG_MS: u64 = 2_000;

/// Most attempts at one insert, by the time that callers wait.
const ATTEMPTS_MAX: u32 = 6;

/// End of the trouble of a day. Owners are given the time after it to take in all jobs.
const TROUBLE_MS: u64 = 25_000;
const DAY_MS: u64 = 40_000;

#[derive(Default)]
struct Store {
    rows: BTreeMap<(Table, String, String), (Vec<u8>, u64)>,
    revision: u64,
    /// Changes of intake in order.
    feed: Vec<StoredRow>,
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

    fn scan(&self, table: Table, part: &str) -> Vec<StoredRow> {
        let first = (table, part.to_string(), String::new());
        let rows = self.rows.range(first..);
        let rows = rows.take_while(|((t, p, _), _)| *t == table && p == part);
        rows.map(|((_, _, key), _)| self.row(table, part, key))
            .collect()
    }

    fn commit(&mut self, tx: &RowTx) -> TxOutcome {
        let guards = tx.guards.iter();
        let found: Vec<(Table, StoredRow)> = guards
            .map(|guard| (guard.table, self.row(guard.table, &tx.part, &guard.key)))
            .collect();
        let holds = |(guard, (_, row)): (&rockwick::port::fleet::Guard, &(Table, StoredRow))| {
            row.revision == guard.revision
        };
        if !tx.guards.iter().zip(&found).all(holds) {
            return TxOutcome::Conflict(found);
        }
        self.revision += 1;
        for write in &tx.writes {
            let value = write.value.clone().expect("nothing is removed");
            let key = (write.table, tx.part.clone(), write.key.clone());
            self.rows.insert(key, (value, self.revision));
            if write.table == Table::Intake {
                self.feed.push(self.row(write.table, &tx.part, &write.key));
            }
        }
        TxOutcome::Committed(self.revision)
    }

    fn has_row(&self, id: &str) -> bool {
        self.feed.iter().any(|row| row.key == id)
    }
}

struct Entry {
    pool: &'static str,
    queues: KnownQueues,
}

/// Reading of a pool's rows by its owner, partition by partition.
struct Load {
    missing: Vec<String>,
    rows: Vec<StoredRow>,
    first_revision: Option<u64>,
    early: Vec<StoredRow>,
}

/// The owner of a pool, which starts each job that it takes in.
struct Owner {
    pool: &'static str,
    /// Number of owners before it.
    generation: usize,
    jobs: BTreeSet<String>,
    guest_ids: GuestIds,
    feed_read: usize,
    load: Option<Load>,
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
    /// Looks for a job that is to be cancelled.
    Cancel(usize, usize),
    /// Writes the tombstones of a job that was not found: the last of these first.
    KeepOut(usize, Vec<RowTx>),
    Apply(RowTx),
    Refuse(BTreeSet<String>),
    ReplaceOwner(usize),
    ReadGuests(usize, usize),
    ReadPart(usize, usize),
    ReadFeed(usize),
    /// Reads the other partition of a guest's job.
    Check(usize, usize, StoredRow),
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
    owners: Vec<Owner>,
    /// Pools that started each job.
    started: BTreeMap<String, BTreeSet<&'static str>>,
    /// Times of the actions, the latest ones smallest, with their indices.
    queue: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    actions: Vec<Option<Action>>,
    answers: BTreeMap<usize, Vec<Answer>>,
    /// Jobs whose cancel was answered although they were not found.
    kept_out: BTreeSet<usize>,
    /// Percentage of writes whose answer is lost, and of those that are applied late.
    lost: u32,
    late: u32,
}

fn id_of(job: usize) -> String {
    format!("{:016x}", job * 7_919 + 1)
}

fn job_bytes(storage: &JobStorage) -> Vec<u8> {
    rows::encode(&JobSpec {
        pool: storage.is_guest().then(|| storage.pool.clone()),
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
        let new_owner = |pool: &&'static str| Owner {
            pool,
            generation: 0,
            jobs: BTreeSet::new(),
            guest_ids: GuestIds::default(),
            feed_read: 0,
            load: None,
        };
        Self {
            now_ms: 0,
            store: Store::default(),
            refused_parts: BTreeSet::new(),
            entries: (0..entries).map(new_entry).collect(),
            owners: POOLS.iter().map(new_owner).collect(),
            started: BTreeMap::new(),
            queue: BinaryHeap::new(),
            actions: Vec::new(),
            answers: BTreeMap::new(),
            kept_out: BTreeSet::new(),
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

    fn schedule_soon(&mut self, action: Action) {
        let at_ms = self.now_ms + self.rng.u64(1..60);
        self.schedule(at_ms, action);
    }

    /// Draws changes of the route, outages of partitions, changes of owners, and jobs with copies.
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
        self.schedule(TROUBLE_MS, Action::Refuse(BTreeSet::new()));
        for n in 0..POOLS.len() {
            self.schedule(0, Action::ReadFeed(n));
            for _ in 0..self.rng.usize(0..4) {
                let at_ms = self.rng.u64(0..TROUBLE_MS);
                self.schedule(at_ms, Action::ReplaceOwner(n));
            }
        }
        for job in 0..self.rng.usize(5..30) {
            let first_ms = self.rng.u64(0..15_000);
            for _ in 0..self.rng.usize(1..4) {
                let at_ms = first_ms + self.rng.u64(0..3_000) * self.rng.u64(0..2);
                let entry = self.rng.usize(0..self.entries.len());
                self.schedule(at_ms, Action::Submit(job, entry, Step::Learn));
            }
            if self.rng.bool() {
                // Most cancels come while a submission is on its way.
                let at_ms = first_ms + self.rng.u64(0..400);
                let entry = self.rng.usize(0..self.entries.len());
                self.schedule(at_ms, Action::Cancel(job, entry));
            }
        }
    }

    /// Draws a percentage of all partitions.
    fn draw_parts(&mut self, share: u32) -> BTreeSet<String> {
        let intake = POOLS.iter().flat_map(|pool| intake_parts(pool));
        let shards = POOLS.iter().flat_map(|pool| shard_parts(pool));
        let queues = QUEUE_PARTS.iter().map(|part| part.to_string());
        let all: Vec<String> = intake.chain(shards).chain(queues).collect();
        let rng = &mut self.rng;
        all.into_iter()
            .filter(|_| rng.u32(0..100) < share)
            .collect()
    }

    /// Commits a transaction; returns the answer, which may be lost.
    fn transact(&mut self, tx: &RowTx) -> TxOutcome {
        if self.refused_parts.contains(&tx.part) {
            return TxOutcome::Refused;
        }
        let drawn = self.rng.u32(0..100);
        if drawn < self.late {
            let at_ms = self.now_ms + self.rng.u64(100..6_000);
            self.schedule(at_ms, Action::Apply(tx.clone()));
            return TxOutcome::Unknown;
        }
        let answer = self.store.commit(tx);
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
                Action::Apply(tx) => {
                    self.store.commit(&tx);
                }
                Action::Refuse(parts) => self.refused_parts = parts,
                Action::Submit(job, entry, step) => self.submit(job, entry, step),
                Action::Cancel(job, entry) => self.cancel(job, entry),
                Action::KeepOut(job, txs) => self.keep_out(job, txs),
                Action::ReplaceOwner(n) => self.replace_owner(n),
                Action::ReadGuests(n, generation) => self.read_guests(n, generation),
                Action::ReadPart(n, generation) => self.read_part(n, generation),
                Action::ReadFeed(n) => self.read_feed(n),
                Action::Check(n, generation, row) => self.check_row(n, generation, row),
            }
        }
    }
}

/// The entries' side.
impl World {
    fn submit(&mut self, job: usize, entry: usize, step: Step) {
        let next = match step {
            Step::Learn => match self.learn(entry) {
                Some(storage) => Step::Insert(storage, Attempts::default(), 0),
                None => return self.answer(job, Answer::NotTaken),
            },
            Step::Insert(storage, attempts, count) => {
                let tx = storage.insert_tx(&id_of(job), None, job_bytes(&storage), count as usize);
                let answer = self.transact(&tx);
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
        self.schedule_soon(Action::Submit(job, entry, next));
    }

    /// Reads the queue's row and records what is missing, as an entry does for a caller.
    fn learn(&mut self, entry: usize) -> Option<JobStorage> {
        let route = QueueRoute {
            address: ADDRESS.to_string(),
            pool: self.entries[entry].pool.to_string(),
        };
        for _ in 0..3 {
            if let Some(storage) = self.entries[entry].queues.storage(&route) {
                return self.record_guest(entry, &storage).then_some(storage);
            }
            let mut parts = QUEUE_PARTS;
            self.rng.shuffle(&mut parts);
            let part = parts
                .into_iter()
                .find(|part| !self.refused_parts.contains(*part))?;
            let row = self.store.row(Table::Queues, part, &queue_key(ADDRESS));
            self.apply_row(entry, &row);
            let queues = &self.entries[entry].queues;
            if queues.storage(&route).is_some() {
                continue;
            }
            if let Some(tx) = queues.registration(std::slice::from_ref(&route)) {
                self.register(entry, &tx);
            }
        }
        None
    }

    fn register(&mut self, entry: usize, tx: &RowTx) {
        match self.transact(tx) {
            TxOutcome::Committed(_) => {
                self.entries[entry].queues.note_registered(tx);
                for copy in copies_of(tx) {
                    self.transact(&copy);
                }
            }
            TxOutcome::Conflict(found) => {
                for (_, row) in found {
                    self.apply_row(entry, &row);
                }
            }
            TxOutcome::Refused | TxOutcome::Unknown => {}
        }
    }

    fn apply_row(&mut self, entry: usize, row: &StoredRow) {
        let queues = &mut self.entries[entry].queues;
        queues.apply_row(row).expect("the row can be decoded");
    }

    fn record_guest(&mut self, entry: usize, storage: &JobStorage) -> bool {
        for shard in 0..shard_parts(&storage.pool).len() {
            if self.entries[entry].queues.may_store(storage) {
                return true;
            }
            if let TxOutcome::Committed(_) = self.transact(&storage.guest_tx(shard)) {
                self.entries[entry].queues.note_guest(storage);
            }
        }
        self.entries[entry].queues.may_store(storage)
    }

    fn settle(&mut self, job: usize, outcome: InsertOutcome) {
        let answer = match outcome {
            InsertOutcome::Done | InsertOutcome::Conflict(_) => Answer::Accepted,
            InsertOutcome::NotDone | InsertOutcome::KeptOut => Answer::NotTaken,
            InsertOutcome::Unsure => Answer::Unsure,
        };
        self.answer(job, answer);
    }

    /// Looks for a job in its partitions, and gives up if one of them does not answer or has it.
    fn cancel(&mut self, job: usize, entry: usize) {
        let Some(storage) = self.learn(entry) else {
            return;
        };
        let id = id_of(job);
        let parts = intake_parts_of(&storage.home, &id);
        let is_absent = |part: &String| {
            let row = self.store.row(Table::Intake, part, &id);
            !self.is_refused(part) && row.value.is_none()
        };
        if parts.iter().all(is_absent) {
            let txs = tombstone_txs(&storage.home, &id, None).to_vec();
            self.schedule_soon(Action::KeepOut(job, txs));
        }
    }

    /// Writes the next tombstone; answers the caller once the store has confirmed both.
    fn keep_out(&mut self, job: usize, mut txs: Vec<RowTx>) {
        let Some(tx) = txs.last().cloned() else {
            self.kept_out.insert(job);
            return;
        };
        match self.transact(&tx) {
            TxOutcome::Committed(_) => {
                txs.pop();
            }
            TxOutcome::Conflict(_) => return,
            TxOutcome::Refused | TxOutcome::Unknown => {}
        }
        if self.now_ms < TROUBLE_MS {
            self.schedule_soon(Action::KeepOut(job, txs));
        }
    }

    fn answer(&mut self, job: usize, answer: Answer) {
        self.answers.entry(job).or_default().push(answer);
    }
}

/// The owners' side.
impl World {
    fn replace_owner(&mut self, n: usize) {
        let owner = &mut self.owners[n];
        owner.generation += 1;
        owner.jobs.clear();
        owner.guest_ids = GuestIds::default();
        owner.feed_read = self.store.feed.len();
        owner.load = Some(Load {
            missing: Vec::new(),
            rows: Vec::new(),
            first_revision: None,
            early: Vec::new(),
        });
        let generation = owner.generation;
        self.schedule_soon(Action::ReadGuests(n, generation));
    }

    fn is_refused(&self, part: &str) -> bool {
        self.refused_parts.contains(part)
    }

    fn read_guests(&mut self, n: usize, generation: usize) {
        let pool = self.owners[n].pool;
        let parts = shard_parts(pool);
        if parts.iter().any(|part| self.is_refused(part)) {
            return self.schedule_soon(Action::ReadGuests(n, generation));
        }
        if self.owners[n].generation != generation {
            return;
        }
        let guest_rows = parts
            .iter()
            .flat_map(|part| self.store.scan(Table::Queues, part));
        let guest_rows: Vec<StoredRow> = guest_rows.collect();
        let mut homes: BTreeSet<&str> = guest_rows.iter().filter_map(home_of_guest_row).collect();
        homes.insert(pool);
        let mut missing: Vec<String> = homes.into_iter().flat_map(intake_parts).collect();
        self.rng.shuffle(&mut missing);
        self.owners[n].load.as_mut().expect("it loads").missing = missing;
        self.schedule_soon(Action::ReadPart(n, generation));
    }

    /// Reads some partitions; applies the rows once all are read.
    fn read_part(&mut self, n: usize, generation: usize) {
        if self.owners[n].generation != generation {
            return;
        }
        let mut load = self.owners[n].load.take().expect("it loads");
        for _ in 0..16 {
            let Some(part) = load.missing.pop() else {
                break;
            };
            if self.is_refused(&part) {
                load.missing.insert(0, part);
                continue;
            }
            let revision = self.store.revision;
            let first = load.first_revision.get_or_insert(revision);
            *first = revision.min(*first);
            load.rows.extend(self.store.scan(Table::Intake, &part));
        }
        if !load.missing.is_empty() {
            self.owners[n].load = Some(load);
            return self.schedule_soon(Action::ReadPart(n, generation));
        }
        let pool = self.owners[n].pool;
        let until = load.first_revision.expect("something was read");
        for row in rows_of_pool(pool, load.rows, until) {
            self.take_row(n, &row);
        }
        for row in load.early {
            self.take_row(n, &row);
        }
    }

    /// Takes in a row of the pool's own intake, or one that is known to be the first of its id.
    fn take_row(&mut self, n: usize, row: &StoredRow) {
        let owner = &mut self.owners[n];
        if let Some(load) = &mut owner.load {
            return load.early.push(row.clone());
        }
        if owner.jobs.contains(&row.key) || !is_job_key(&row.key) {
            return;
        }
        let is_own = pool_of_part(&row.part) == owner.pool;
        if is_own && owner.guest_ids.note(row) {
            return;
        }
        assert_eq!(running_pool(row), owner.pool);
        owner.jobs.insert(row.key.clone());
        let pools = self.started.entry(row.key.clone()).or_default();
        pools.insert(owner.pool);
    }

    fn read_feed(&mut self, n: usize) {
        let owner = &mut self.owners[n];
        let new = self.store.feed[owner.feed_read..].to_vec();
        owner.feed_read = self.store.feed.len();
        let (pool, generation) = (owner.pool, owner.generation);
        for row in new {
            if guest_of(&row).as_deref() == Some(pool) {
                self.schedule_soon(Action::Check(n, generation, row));
            } else if pool_of_part(&row.part) == pool {
                self.take_row(n, &row);
            }
        }
        if self.now_ms < DAY_MS {
            self.schedule_soon(Action::ReadFeed(n));
        }
    }

    fn check_row(&mut self, n: usize, generation: usize, row: StoredRow) {
        if self.owners[n].generation != generation {
            return;
        }
        let part = other_part(&row.part, &row.key);
        if self.is_refused(&part) {
            return self.schedule_soon(Action::Check(n, generation, row));
        }
        if is_first(&row, &self.store.scan(Table::Intake, &part)) {
            self.take_row(n, &row);
        }
    }

    fn check(&self) {
        for job in &self.kept_out {
            let id = id_of(*job);
            assert!(
                !self.store.has_row(&id),
                "job {job} is stored after its cancel"
            );
            assert!(
                !self.started.contains_key(&id),
                "job {job} is run after its cancel"
            );
        }
        for (job, answers) in &self.answers {
            let id = id_of(*job);
            let pools = self.started.get(&id).cloned().unwrap_or_default();
            assert!(pools.len() <= 1, "job {job} is run by {pools:?}");
            if answers.contains(&Answer::Accepted) {
                assert_eq!(pools.len(), 1, "job {job} was accepted: {answers:?}");
            }
            if answers.iter().all(|answer| *answer == Answer::NotTaken) {
                assert!(!self.store.has_row(&id), "job {job} was refused");
            }
        }
    }
}

/// A copy at an entry with another configuration was stored as a second job.
#[test]
fn homes_random_days() {
    let mut copies_found = 0;
    let mut kept_out = 0;
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
        kept_out += world
            .kept_out
            .iter()
            .filter(|job| world.answers.contains_key(job))
            .count();
        copies_found += world.answers.values().filter(accepted).count();
    }
    assert!(copies_found > 1_000, "{copies_found}");
    assert!(kept_out > 1_000, "{kept_out}");
}

/// The row of a job in its home pool does not name the pool, as in earlier versions.
#[test]
fn homes_unmoved() {
    let id = id_of(1);
    let storage = JobStorage::new("a", "a");
    for (n, part) in intake_parts_of("a", &id).into_iter().enumerate() {
        let tx = storage.insert_tx(&id, None, job_bytes(&storage), n);
        assert_eq!(tx.part, part);
        let value = tx.writes[0].value.as_deref().expect("a row");
        assert!(!String::from_utf8_lossy(value).contains("pool"));
        assert_eq!(other_part(&part, &id), intake_parts_of("a", &id)[1 - n]);
    }
}

/// Many routes are recorded within the limit of a transaction, and none is lost.
#[test]
fn homes_many_queues() {
    let routes: Vec<QueueRoute> = (0..100)
        .map(|n| QueueRoute {
            address: format!("queue.example/q{}/", n / 2),
            pool: POOLS[n % 4].to_string(),
        })
        .collect();
    let mut store = Store::default();
    let mut queues = KnownQueues::default();
    while let Some(tx) = queues.registration(&routes) {
        assert!(tx.guards.len() + tx.writes.len() <= 100);
        assert!(matches!(store.commit(&tx), TxOutcome::Committed(_)));
        queues.note_registered(&tx);
    }
    for pair in routes.chunks(2) {
        for route in pair {
            let storage = queues.storage(route).expect("the route is recorded");
            assert_eq!(storage, JobStorage::new(&pair[0].pool, &route.pool));
        }
    }
}

/// An entry that knows a queue from a copy adds a pool to the row that decides.
#[test]
fn homes_pool_added() {
    let route = |pool: &str| QueueRoute {
        address: ADDRESS.to_string(),
        pool: pool.to_string(),
    };
    let mut store = Store::default();
    let first = KnownQueues::default()
        .registration(&[route("a")])
        .expect("nothing is recorded");
    store.commit(&first);
    copies_of(&first).iter().for_each(|tx| {
        store.commit(tx);
    });
    let mut queues = KnownQueues::default();
    let key = queue_key(ADDRESS);
    let copy = store.row(Table::Queues, QUEUE_PARTS[1], &key);
    queues.apply_row(&copy).expect("the row can be decoded");
    let second = queues.registration(&[route("b")]).expect("a new pool");
    let TxOutcome::Conflict(found) = store.commit(&second) else {
        panic!("the revision of a copy is not that of the row");
    };
    for (_, row) in found {
        queues.apply_row(&row).expect("the row can be decoded");
    }
    let second = queues.registration(&[route("b")]).expect("a new pool");
    assert!(matches!(store.commit(&second), TxOutcome::Committed(_)));
    queues.note_registered(&second);
    assert_eq!(queues.pools(ADDRESS), ["a", "b"]);
    assert_eq!(queues.homes_of("b"), BTreeSet::from(["a".to_string()]));
    assert!(queues.registration(&[route("a"), route("b")]).is_none());
}

/// A later row under a job's id, which names another pool, is removed before the job's row: alone, it would be taken for
/// a new job. An owner that ends in between leaves none behind.
#[test]
fn homes_later_row_removed() {
    for seed in 0..20 {
        let mut world = SchedulerWorld::new(seed, 2, 3);
        world.run(8_000);
        world.submit("a", job(2, 1_000, 100));
        world.run(100);
        let [first, second] = intake_parts_of(POOL, "a");
        let later = JobSpec {
            pool: Some("other".to_string()),
            ..job(2, 1_000, 100)
        };
        let row_key = (Table::Intake, second.clone(), "a".to_string());
        let value = rows::encode(&later);
        world
            .store
            .insert(row_key.clone(), (value.clone(), 1_000_000));
        let row = StoredRow {
            part: second,
            key: "a".to_string(),
            value: Some(value),
            revision: 1_000_000,
        };
        for n in 0..2 {
            world.deliver_event(n, Event::Intake(row.clone()));
        }
        let first_key = (Table::Intake, first, "a".to_string());
        world.run(140_000);
        assert!(world.store.contains_key(&first_key) && world.store.contains_key(&row_key));
        for _ in 0..400 {
            world.run(50);
            let has_first = world.store.contains_key(&first_key);
            let has_later = world.store.contains_key(&row_key);
            assert!(
                has_first || !has_later,
                "seed {seed}: the later row is left"
            );
            let ends = seed % 2 == 1 && has_first && !has_later;
            if let Some(owner) = world.owner_entry().filter(|_| ends) {
                world.kill(owner);
                world.run(500);
                world.boot(owner);
            }
        }
        // The next owner keeps the job as long as the one before.
        world.run(180_000);
        assert!(!world.store.contains_key(&first_key), "seed {seed}");
    }
}

/// An owner takes a job in its pool's intake that another pool runs neither for its own nor for one that can't be decoded.
#[test]
fn homes_guest_skipped() {
    let mut world = SchedulerWorld::new(1, 1, 3);
    world.run(8_000);
    let guest = JobSpec {
        pool: Some("other".to_string()),
        ..job(2, 1_000, 100)
    };
    for (n, spec) in [guest, job(2, 1_000, 100)].iter().enumerate() {
        let row = StoredRow {
            part: intake_parts_of(POOL, "a")[n].clone(),
            key: "a".to_string(),
            value: Some(rows::encode(spec)),
            revision: 1_000_000 + n as u64,
        };
        let logged = world.deliver_logged(0, Event::Intake(row));
        assert!(logged.is_empty(), "{logged:?}");
    }
    world.run(3_000);
    assert_eq!(world.starts, 0);
}

/// A row that was written after the first partition was read is left to the feed: its id may be taken by an earlier row
/// that the reading missed.
#[test]
fn homes_read_until() {
    let id = id_of(1);
    let row = |n: usize, revision: u64, pool: &str| StoredRow {
        part: intake_parts_of("a", &id)[n].clone(),
        key: id.clone(),
        value: Some(job_bytes(&JobStorage::new("a", pool))),
        revision,
    };
    let revisions = |pool: &str, rows: Vec<StoredRow>, until: u64| -> Vec<u64> {
        let rows = rows_of_pool(pool, rows, until);
        rows.iter().map(|row| row.revision).collect()
    };
    assert!(revisions("a", vec![row(0, 20, "a")], 15).is_empty());
    let both = || vec![row(0, 20, "b"), row(1, 10, "c")];
    assert!(revisions("b", both(), 30).is_empty());
    assert_eq!(revisions("c", both(), 30), [10, 20]);
    assert_eq!(revisions("a", both(), 30), [10, 20]);
    assert_eq!(revisions("c", both(), 15), [10]);
}
