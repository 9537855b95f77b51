//! Reads after all entries have started at once, against a store that serves a limited number of reads a second: the
//! owners' readings and the counts of callers share the limit.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use rockwick::clock::Millis;
use rockwick::port::backoff::Backoff;
use rockwick::port::fleet::{
    Feed, Range, ReadError, Revision, RowTx, Rows, Scan, StoredRow, Table, TxOutcome,
};
use rockwick::port::part_scan::PartScan;
use rockwick::port::read_budget::ReadBudget;

/// Reads that the store serves per second.
const READS_PER_S: u64 = 2_000;

/// Partitions that a reading of a pool or a count of it takes.
const PARTS: usize = 68;

/// Pools of the model, each of which has an owner that reads it.
const POOLS: usize = 5;

/// Longest time in which all owners must have read their pools once the store is sound: a task whose turn has come may
/// wait that long.
const LOADED_MS: Millis = 3_000;

/// Time step of the model: the time of a read.
const STEP_MS: Millis = 10;

/// The store of the model, which serves its reads of a second in equal parts of each step.
struct Store {
    left: u64,
    served: u64,
    refused: u64,
}

impl Store {
    /// Returns how many of `wanted` reads are refused.
    fn refuse(&mut self, wanted: usize) -> usize {
        let served = self.left.min(wanted as u64);
        self.left -= served;
        self.served += served;
        self.refused += wanted as u64 - served;
        wanted - served as usize
    }
}

/// A reader that reads the partitions of a pool and keeps what it has.
struct Reader {
    missing: usize,
    backoff: Backoff,
    next_ms: Millis,
}

impl Reader {
    fn new() -> Self {
        Self {
            missing: PARTS,
            backoff: Backoff::new(60, 500),
            next_ms: 0,
        }
    }

    /// Reads up to `parts_max` partitions and returns how many reads were made and how many failed.
    fn advance(&mut self, store: &mut Store, parts_max: usize, now_ms: Millis) -> (usize, usize) {
        let made = self.missing.min(parts_max);
        let failed = store.refuse(made);
        self.missing -= made - failed;
        if failed > 0 {
            self.next_ms = now_ms + self.backoff.next_pause_ms();
        }
        (made, failed)
    }
}

/// Plays `entries` that start at once. Callers ask each of them for counts of all pools all the time. Returns when the
/// last owner had read its pool, and the reads that the store refused in the second after that.
fn play(entries: usize) -> (Millis, u64) {
    fastrand::seed(entries as u64);
    let mut store = Store {
        left: 0,
        served: 0,
        refused: 0,
    };
    let mut owners: Vec<Reader> = (0..POOLS).map(|_| Reader::new()).collect();
    let mut budgets = vec![ReadBudget::new(); entries];
    let mut counts: Vec<Vec<Reader>> = (0..entries)
        .map(|_| (0..POOLS).map(|_| Reader::new()).collect())
        .collect();
    let mut loaded_ms = None;
    let mut refused_before = 0;
    for now_ms in (0..20_000).step_by(STEP_MS as usize) {
        store.left = READS_PER_S * STEP_MS / 1_000;
        // Which entry's reads come first is not fixed.
        let first = fastrand::usize(0..entries);
        for n in 0..entries {
            let entry = (first + n) % entries;
            for reader in counts[entry].iter_mut().filter(|r| now_ms >= r.next_ms) {
                let granted = budgets[entry].take(reader.missing.min(16), now_ms);
                let (made, failed) = reader.advance(&mut store, granted, now_ms);
                if made > 0 {
                    budgets[entry].note(made, failed, now_ms);
                }
                if reader.missing == 0 {
                    *reader = Reader::new();
                }
            }
            if entry < POOLS && now_ms >= owners[entry].next_ms {
                owners[entry].advance(&mut store, PARTS, now_ms);
            }
        }
        if loaded_ms.is_none() && owners.iter().all(|o| o.missing == 0) {
            loaded_ms = Some(now_ms);
            refused_before = store.refused;
        }
        if loaded_ms.is_some_and(|at| now_ms >= at + 1_000) {
            break;
        }
    }
    let loaded_ms = loaded_ms.expect("all owners read their pools");
    (loaded_ms, store.refused - refused_before)
}

/// The owners read their pools soon, although callers at all entries ask for counts that need the same reads.
#[test]
fn read_budget_restart() {
    for entries in [9, 20, 60, 97] {
        let (loaded_ms, refused) = play(entries);
        println!(
            "{entries} entries: loaded after {loaded_ms} ms, {refused} refused in the next second"
        );
        assert!(loaded_ms <= LOADED_MS, "{entries} entries: {loaded_ms} ms");
    }
}

/// Failures halve the rate once per round, and reads that succeed bring it back.
#[test]
fn read_budget_adapts() {
    let mut budget = ReadBudget::new();
    assert_eq!(budget.take(100, 0), 10);
    assert_eq!(budget.take(100, 10), 0);
    assert_eq!(budget.take(100, 510), 5);
    for n in 0..20 {
        budget.note(16, 0, 600 + n * 100);
    }
    assert_eq!(budget.rate_per_s(), 50);
    budget.note(16, 3, 3_000);
    budget.note(16, 3, 3_010);
    assert_eq!(budget.rate_per_s(), 25);
    for n in 1..20 {
        budget.note(16, 16, 3_000 + n * 500);
    }
    assert_eq!(budget.rate_per_s(), 4);
}

/// A store whose partitions fail a number of times each before they are read.
#[derive(Default)]
struct Flaky {
    failures: BTreeMap<String, u32>,
    asked: RefCell<BTreeMap<String, u32>>,
    revision: Cell<Revision>,
}

impl Rows for Flaky {
    async fn transact(&self, _: &RowTx, _: Millis) -> TxOutcome {
        TxOutcome::Refused
    }

    async fn scan(&self, _: Table, part: &str, _: Range, _: Millis) -> Result<Scan, ReadError> {
        let mut asked = self.asked.borrow_mut();
        let asked = asked.entry(part.to_string()).or_default();
        *asked += 1;
        self.revision.set(self.revision.get() + 1);
        if *asked <= self.failures.get(part).copied().unwrap_or(0) {
            return Err(ReadError::Down);
        }
        Ok(Scan {
            rows: vec![StoredRow {
                part: part.to_string(),
                key: "key".to_string(),
                value: Some(Vec::new()),
                revision: 1,
            }],
            revision: self.revision.get(),
            ..Scan::default()
        })
    }

    async fn wait_for_changes(
        &self,
        _: Table,
        _: Revision,
        _: Millis,
    ) -> Result<Feed<StoredRow>, ReadError> {
        Err(ReadError::Down)
    }

    async fn list_parts(&self, _: Table) -> Result<Vec<String>, ReadError> {
        Err(ReadError::Down)
    }
}

/// Each partition is read once more for each of its failures, and none that was read is asked for again.
#[test]
fn read_budget_kept() {
    let parts: Vec<String> = (0..40).map(|n| format!("part-{n:02}")).collect();
    let failures = parts.iter().enumerate();
    let store = Flaky {
        failures: failures.map(|(n, p)| (p.clone(), n as u32 % 4)).collect(),
        ..Flaky::default()
    };
    let mut scan = PartScan::new(Table::Intake, parts.clone());
    let mut attempts = 0;
    while !scan.is_done() {
        attempts += 1;
        let missing = scan.missing();
        let failed = smol::block_on(scan.advance(&store, missing, 1_000));
        assert_eq!(failed, scan.missing());
    }
    assert_eq!(attempts, 4);
    for (part, failures) in &store.failures {
        assert_eq!(store.asked.borrow()[part], failures + 1, "{part}");
    }
    let (rows, first_revision) = scan.into_rows_since();
    let read: BTreeSet<String> = rows.into_iter().map(|row| row.part).collect();
    assert_eq!(read.into_iter().collect::<Vec<_>>(), parts);
    assert_eq!(first_revision, Some(1));
}
