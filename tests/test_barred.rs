//! A task avoids the worker on which its last run failed, but only as long as another worker can take it. Such a task,
//! or one that fits nowhere, must not hold up the tasks queued behind it.

use rockwick::core::sched::job::{JobSpec, JobState};
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::limits::PLACE_SCAN_MAX;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::{load, place, rows, runs, starts};
use rockwick::port::fleet::{EndKind, OrderReply, RunEnd, StoredRow, WorkerInfo};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, lasting, listed_worker, Faults, World, POOL};

/// The owner's epoch.
const EPOCH: u64 = 7;

/// Time at which the first run fails.
const NOW_MS: u64 = 100_000;

/// Longest time for which a task avoids the worker on which its first run failed.
const WAIT_MAX_MS: u64 = 3_000;

/// Longest time between two of an owner's placement passes.
const RECONCILE_MS: u64 = 250;

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Number of seeds; each gives a world of its own.
const SEEDS: u64 = 40;

/// Returns a worker with `cores` cores, a label and a rack, as the platform lists it.
fn worker_info(name: &str, cores: u64, label: &str, rack: &str) -> WorkerInfo {
    let mut info = listed_worker(name, name);
    info.capacity.cpu_milli = cores * 1_000;
    info.labels = vec![label.to_string(), rack.to_string()];
    info
}

/// Returns the state of a pool with these workers, and their keys.
fn pool_with(infos: &[WorkerInfo]) -> (PoolState, Vec<WorkerKey>) {
    let mut pool_state = PoolState::default();
    let keys = infos
        .iter()
        .map(|info| add_answering_worker(&mut pool_state, info.clone()));
    let keys = keys.collect();
    (pool_state, keys)
}

/// Returns a pool with two equal workers of 16 cores.
fn two_workers() -> (PoolState, Vec<WorkerKey>) {
    pool_with(&[
        worker_info("w1", 16, "a", "r1"),
        worker_info("w2", 16, "a", "r1"),
    ])
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
        job: pool_state.jobs_by_id[id],
        round: 0,
        step: 0,
        index: 0,
    }
}

/// Runs one placement pass and returns the worker on which the task is placed, if it is.
fn place_task(pool_state: &mut PoolState, task: TaskKey, now_ms: u64) -> Option<WorkerKey> {
    decide(now_ms, |ctx| place::place(pool_state, ctx));
    pool_state.task(task).and_then(|t| t.phase.worker())
}

/// Starts the task, lets its run fail and returns the worker that it ran on.
fn fail_first_run(pool_state: &mut PoolState, task: TaskKey) -> WorkerKey {
    let worker = place_task(pool_state, task, NOW_MS).expect("a worker has capacity for the task");
    let run = pool_state.task(task).map_or(0, |t| t.run);
    let end = RunEnd {
        number: 1,
        task: pool_state.task_name(task).expect("the job is known"),
        run,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    };
    decide(NOW_MS, |ctx| {
        starts::send_start(pool_state, task, run, EPOCH, ctx);
        starts::settle_start(pool_state, task, run, OrderReply::Accepted, EPOCH, ctx);
        runs::apply_end(pool_state, worker, &end, EPOCH, ctx);
    });
    assert_eq!(pool_state.task(task).map(|t| t.phase), Some(Phase::Ready));
    worker
}

/// Marks `cores` cores of a worker as used by others.
fn use_cores(pool_state: &mut PoolState, worker: WorkerKey, cores: u64) {
    pool_state.workers[worker].used.cpu_milli += cores * 1_000;
    pool_state.update_free_index(worker);
}

#[test]
fn barred_by_size() {
    let (mut pool_state, _) = pool_with(&[
        worker_info("w1", 16, "a", "r1"),
        worker_info("w2", 4, "a", "r1"),
    ]);
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail_first_run(&mut pool_state, task);
    assert_eq!(place_task(&mut pool_state, task, NOW_MS), Some(worker));
}

#[test]
fn barred_by_label() {
    let (mut pool_state, _) = pool_with(&[
        worker_info("w1", 16, "a", "r1"),
        worker_info("w2", 16, "b", "r1"),
    ]);
    let mut spec = job(1, 8_000, 500);
    spec.steps[0].label = Some("a".to_string());
    let task = submit(&mut pool_state, "a", &spec);
    let worker = fail_first_run(&mut pool_state, task);
    assert_eq!(place_task(&mut pool_state, task, NOW_MS), Some(worker));
}

#[test]
fn barred_by_copies() {
    let (mut pool_state, _) = two_workers();
    let task = submit(&mut pool_state, "a", &lasting(2, 1));
    let worker = fail_first_run(&mut pool_state, task);
    assert_eq!(place_task(&mut pool_state, task, NOW_MS), Some(worker));
}

/// The rack that holds the data is a preference, so the retry may go to the other rack.
#[test]
fn barred_not_by_rack() {
    let (mut pool_state, keys) = pool_with(&[
        worker_info("w1", 16, "a", "r1"),
        worker_info("w2", 16, "a", "r2"),
    ]);
    let mut spec = job(1, 8_000, 500);
    spec.steps[0].data_rack = Some("r1".to_string());
    let task = submit(&mut pool_state, "a", &spec);
    assert_eq!(fail_first_run(&mut pool_state, task), keys[0]);
    assert_eq!(place_task(&mut pool_state, task, NOW_MS), Some(keys[1]));
}

/// The other worker is full. The task waits for it to come free, but not for longer than `WAIT_MAX_MS`.
#[test]
fn barred_while_full() {
    let (mut pool_state, keys) = two_workers();
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail_first_run(&mut pool_state, task);
    let other = keys.into_iter().find(|key| *key != worker);
    use_cores(&mut pool_state, other.expect("there are two workers"), 16);
    assert_eq!(
        place_task(&mut pool_state, task, NOW_MS),
        None,
        "the full worker may come free"
    );
    let late_ms = NOW_MS + WAIT_MAX_MS;
    assert_eq!(place_task(&mut pool_state, task, late_ms), Some(worker));
}

/// The other worker is suspended for less than `WAIT_MAX_MS`, so the retry waits for it.
#[test]
fn barred_while_suspended() {
    let (mut pool_state, keys) = two_workers();
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail_first_run(&mut pool_state, task);
    let other = keys.into_iter().find(|key| *key != worker);
    let other = other.expect("there are two workers");
    pool_state.workers[other].suspended_until_ms = NOW_MS + 2 * RECONCILE_MS;
    assert_eq!(place_task(&mut pool_state, task, NOW_MS), None);
    assert_eq!(
        place_task(&mut pool_state, task, NOW_MS + 2 * RECONCILE_MS),
        Some(other),
        "the task failed on the first worker"
    );
}

/// A task that must avoid a worker does not keep other tasks of its size from that worker.
#[test]
fn barred_alone() {
    let (mut pool_state, keys) = two_workers();
    let task = submit(&mut pool_state, "a", &job(1, 8_000, 500));
    let worker = fail_first_run(&mut pool_state, task);
    let other = keys.into_iter().find(|key| *key != worker);
    use_cores(&mut pool_state, other.expect("there are two workers"), 16);
    let next = submit(&mut pool_state, "b", &job(1, 8_000, 500));
    assert_eq!(place_task(&mut pool_state, next, NOW_MS), Some(worker));
    assert_eq!(pool_state.task(task).map(|t| t.phase), Some(Phase::Ready));
}

/// More tasks than one pass scans fit nowhere. The task queued behind them fits and must still be placed.
#[test]
fn barred_prefix() {
    let (mut pool_state, _) = two_workers();
    let mut spec = lasting(PLACE_SCAN_MAX as u16 + 1, 1);
    spec.steps[0].cpu_milli = 17_000;
    submit(&mut pool_state, "a", &spec);
    let task = submit(&mut pool_state, "b", &job(1, 1_000, 500));
    let passes = 0..WAIT_MAX_MS / RECONCILE_MS;
    let mut passes = passes.map(|n| NOW_MS + n * RECONCILE_MS);
    assert!(passes.any(|now_ms| place_task(&mut pool_state, task, now_ms).is_some()));
}

/// As `barred_prefix`, with more tasks than two passes scan.
#[test]
fn barred_long_prefix() {
    let (mut pool_state, _) = two_workers();
    let mut spec = lasting(4 * PLACE_SCAN_MAX as u16, 1);
    spec.steps[0].label = Some("none".to_string());
    submit(&mut pool_state, "a", &spec);
    let task = submit(&mut pool_state, "b", &job(1, 1_000, 500));
    let passes = 0..WAIT_MAX_MS / RECONCILE_MS;
    let mut passes = passes.map(|n| NOW_MS + n * RECONCILE_MS);
    assert!(passes.any(|now_ms| place_task(&mut pool_state, task, now_ms).is_some()));
}

/// Three of four workers are too small for a task whose first run fails on the fourth, so it must run there again.
fn simulate_shrunk(seed: u64) {
    let mut world = World::new(seed, 2, 4);
    world.run(SETTLE_MS);
    for worker_id in &world.worker_ids()[1..] {
        world.resize(worker_id, 4_000);
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
    assert_eq!(
        world.recorded_state("a"),
        JobState::Completed,
        "seed {seed}"
    );
}

#[test]
fn barred_shrunk() {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| simulate_shrunk(*seed)).is_err();
    let broken: Vec<u64> = (0..SEEDS).filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "{} seeds failed: {broken:?}",
        broken.len()
    );
}
