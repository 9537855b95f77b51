//! A task that one worker is barred for, or that has no place at all, and what waits behind it.

use rockwick::core::sched::job::{JobSpec, JobState};
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::limits::PLACE_SCAN_MAX;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::{load, place, rows, runs};
use rockwick::port::fleet::{EndKind, OrderReply, RunEnd, StoredRow, WorkerInfo};

use crate::decide::{answering, decide};
use crate::world::{config, job, lasting, worker_fact, Faults, World, POOL};

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// When the first run fails.
const NOW_MS: u64 = 100_000;

/// How long a task waits for another worker at the most.
const WAIT_MAX_MS: u64 = 3_000;

/// Owners look at what waits so often at the least.
const RECONCILE_MS: u64 = 250;

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Worlds of their own.
const SEEDS: u64 = 40;

/// A worker with so many cores, a label and a rack.
fn fact(name: &str, cores: u64, label: &str, rack: &str) -> WorkerInfo {
    let mut fact = worker_fact(name, name);
    fact.capacity.cpu_milli = cores * 1_000;
    fact.labels = vec![label.to_string(), rack.to_string()];
    fact
}

/// Books with these workers.
fn pool_state(facts: &[WorkerInfo]) -> (PoolState, Vec<WorkerKey>) {
    let mut pool_state = PoolState::default();
    let keys = facts
        .iter()
        .map(|fact| answering(&mut pool_state, fact.clone()));
    let keys = keys.collect();
    (pool_state, keys)
}

/// Two workers of 16 cores, alike.
fn pair() -> (PoolState, Vec<WorkerKey>) {
    pool_state(&[fact("w1", 16, "a", "r1"), fact("w2", 16, "a", "r1")])
}

fn submit(pool_state: &mut PoolState, id: &str, spec: &JobSpec) -> TaskKey {
    let row = StoredRow {
        part: POOL.to_string(),
        key: id.to_string(),
        value: Some(rows::encode(spec)),
        revision: EPOCH + 1,
    };
    decide(NOW_MS, |ctx| {
        load::apply_intake(pool_state, &row, &config(1), EPOCH, ctx);
    });
    TaskKey {
        job: pool_state.by_id[id],
        round: 0,
        step: 0,
        index: 0,
    }
}

/// Where a task is after a look at what waits.
fn placed(pool_state: &mut PoolState, task: TaskKey, now_ms: u64) -> Option<WorkerKey> {
    decide(now_ms, |ctx| place::place(pool_state, ctx));
    pool_state.task(task).and_then(|t| t.phase.worker())
}

/// The task runs, and its run fails; gives the worker.
fn fail(pool_state: &mut PoolState, task: TaskKey) -> WorkerKey {
    let worker = placed(pool_state, task, NOW_MS).expect("there is room for it");
    let run = pool_state.task(task).map_or(0, |t| t.run);
    let end = RunEnd {
        number: 1,
        task: pool_state.task_name(task).expect("its job is there"),
        run,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    };
    decide(NOW_MS, |ctx| {
        runs::send_start(pool_state, task, run, EPOCH, ctx);
        runs::settle_start(pool_state, task, run, OrderReply::Accepted, EPOCH, ctx);
        runs::apply_end(pool_state, worker, &end, EPOCH, ctx);
    });
    assert_eq!(pool_state.task(task).map(|t| t.phase), Some(Phase::Ready));
    worker
}

/// What others take of a worker.
fn fill(pool_state: &mut PoolState, worker: WorkerKey, cores: u64) {
    pool_state.workers[worker].used.cpu_milli += cores * 1_000;
    pool_state.update_free_index(worker);
}

#[test]
fn barred_by_size() {
    let (mut pool_state, _) = pool_state(&[fact("w1", 16, "a", "r1"), fact("w2", 4, "a", "r1")]);
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail(&mut pool_state, task);
    assert_eq!(placed(&mut pool_state, task, NOW_MS), Some(worker));
}

#[test]
fn barred_by_label() {
    let (mut pool_state, _) = pool_state(&[fact("w1", 16, "a", "r1"), fact("w2", 16, "b", "r1")]);
    let mut spec = job(1, 8_000, 500);
    spec.steps[0].label = Some("a".to_string());
    let task = submit(&mut pool_state, "a", &spec);
    let worker = fail(&mut pool_state, task);
    assert_eq!(placed(&mut pool_state, task, NOW_MS), Some(worker));
}

#[test]
fn barred_by_copies() {
    let (mut pool_state, _) = pair();
    let task = submit(&mut pool_state, "a", &lasting(2, 1));
    let worker = fail(&mut pool_state, task);
    assert_eq!(placed(&mut pool_state, task, NOW_MS), Some(worker));
}

/// A rack where the data lies is a preference: the other rack will do.
#[test]
fn barred_not_by_rack() {
    let (mut pool_state, keys) =
        pool_state(&[fact("w1", 16, "a", "r1"), fact("w2", 16, "a", "r2")]);
    let mut spec = job(1, 8_000, 500);
    spec.steps[0].data_rack = Some("r1".to_string());
    let task = submit(&mut pool_state, "a", &spec);
    assert_eq!(fail(&mut pool_state, task), keys[0]);
    assert_eq!(placed(&mut pool_state, task, NOW_MS), Some(keys[1]));
}

/// The other worker is full: the task waits for it, but not for good.
#[test]
fn barred_while_full() {
    let (mut pool_state, keys) = pair();
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail(&mut pool_state, task);
    let other = keys.into_iter().find(|key| *key != worker);
    fill(&mut pool_state, other.expect("there are two"), 16);
    assert_eq!(
        placed(&mut pool_state, task, NOW_MS),
        None,
        "it may come free"
    );
    let late_ms = NOW_MS + WAIT_MAX_MS;
    assert_eq!(placed(&mut pool_state, task, late_ms), Some(worker));
}

/// The other worker is left alone for a moment, and opens again in time.
#[test]
fn barred_while_suspended() {
    let (mut pool_state, keys) = pair();
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail(&mut pool_state, task);
    let other = keys.into_iter().find(|key| *key != worker);
    let other = other.expect("there are two");
    pool_state.workers[other].suspended_until_ms = NOW_MS + 2 * RECONCILE_MS;
    assert_eq!(placed(&mut pool_state, task, NOW_MS), None);
    assert_eq!(
        placed(&mut pool_state, task, NOW_MS + 2 * RECONCILE_MS),
        Some(other),
        "it failed on the first one"
    );
}

/// What bars one task from a worker holds up no other one of its size.
#[test]
fn barred_alone() {
    let (mut pool_state, keys) = pair();
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail(&mut pool_state, task);
    let other = keys.into_iter().find(|key| *key != worker);
    fill(&mut pool_state, other.expect("there are two"), 16);
    let next = submit(&mut pool_state, "b", &job(1, 8_000, 500));
    assert_eq!(placed(&mut pool_state, next, NOW_MS), Some(worker));
    assert_eq!(pool_state.task(task).map(|t| t.phase), Some(Phase::Ready));
}

/// More tasks than a look takes in have no place; one behind them has.
#[test]
fn barred_prefix() {
    let (mut pool_state, _) = pair();
    let mut spec = lasting(PLACE_SCAN_MAX as u16 + 1, 1);
    spec.steps[0].cpu_milli = 17_000;
    submit(&mut pool_state, "a", &spec);
    let task = submit(&mut pool_state, "b", &job(1, 1_000, 500));
    let looks = 0..WAIT_MAX_MS / RECONCILE_MS;
    let mut looks = looks.map(|n| NOW_MS + n * RECONCILE_MS);
    assert!(looks.any(|now_ms| placed(&mut pool_state, task, now_ms).is_some()));
}

/// The same with more tasks than two looks take in.
#[test]
fn barred_long_prefix() {
    let (mut pool_state, _) = pair();
    let mut spec = lasting(4 * PLACE_SCAN_MAX as u16, 1);
    spec.steps[0].label = Some("none".to_string());
    submit(&mut pool_state, "a", &spec);
    let task = submit(&mut pool_state, "b", &job(1, 1_000, 500));
    let looks = 0..WAIT_MAX_MS / RECONCILE_MS;
    let mut looks = looks.map(|n| NOW_MS + n * RECONCILE_MS);
    assert!(looks.any(|now_ms| placed(&mut pool_state, task, now_ms).is_some()));
}

/// Three of four workers are too small for a task whose first run fails on the fourth.
fn play_shrunk(seed: u64) {
    let mut world = World::new(seed, 2, 4);
    world.run(SETTLE_MS);
    for life in &world.lives()[1..] {
        world.resize(life, 4_000);
    }
    world.run(2_000);
    world.faults = Faults {
        run_fails: 1_000,
        ..Faults::default()
    };
    world.submit("a", job(1, 8_000, 500));
    for _ in 0..1_000 {
        world.run(10);
        if world.starts == 1 && world.running("a") == 0 {
            break;
        }
    }
    world.faults = Faults::default();
    world.run(10_000);
    assert_eq!(world.recorded("a"), JobState::Completed, "seed {seed}");
}

#[test]
fn barred_shrunk() {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| play_shrunk(*seed)).is_err();
    let broken: Vec<u64> = (0..SEEDS).filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "{} seeds broke: {broken:?}",
        broken.len()
    );
}
