//! The index of workers by free capacity finds the place that a scan of all workers finds.

use fastrand::Rng;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows;
use rockwick::core::sched::tasks::Phase;
use rockwick::port::fleet::{Capacity, StoredRow};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, listed_worker, POOL};

/// Adds a worker of random size on one of three racks, with some capacity in use.
fn add_worker(pool_state: &mut PoolState, n: usize, rng: &mut Rng) {
    let mut info = listed_worker(&format!("life-{n}"), &format!("host-{n}"));
    info.labels = vec!["kind".to_string(), format!("r{}", rng.u32(0..3))];
    info.capacity.cpu_milli = rng.u64(1..5) * 4_000;
    let key = add_answering_worker(pool_state, info);
    let worker = &mut pool_state.workers[key];
    worker.is_answering = rng.u32(0..5) > 0;
    worker.fails_in_row = rng.u32(0..3);
    let taken = Capacity {
        cpu_milli: rng.u64(0..=worker.info.capacity.cpu_milli),
        ..Capacity::default()
    };
    worker.add_task(TaskKey::default(), taken);
    pool_state.update_free_index(key);
}

/// Returns the least cost of a place by scanning all workers. The cost is the share of the worker that is free before
/// the placement, in thousandths, plus 300 for each failure in a row and 1,000 if the data is on another rack.
fn least_cost(pool_state: &PoolState, cpu_milli: u64, rack: Option<&str>) -> Option<u64> {
    let fits = pool_state.workers.keys().filter(|key| {
        let w = &pool_state.workers[*key];
        let free = w.info.capacity.cpu_milli - w.used.cpu_milli;
        w.is_open(1_000) && free >= cpu_milli
    });
    fits.map(|key| cost(pool_state, key, rack)).min()
}

fn cost(pool_state: &PoolState, key: WorkerKey, rack: Option<&str>) -> u64 {
    let w = &pool_state.workers[key];
    let total = w.info.capacity.cpu_milli;
    let is_far = rack.is_some_and(|rack| rack != w.rack());
    let free = total.saturating_sub(w.used.cpu_milli);
    free * 1_000 / total + u64::from(is_far) * 1_000 + u64::from(w.fails_in_row) * 300
}

#[test]
fn room_finds_least_cost() {
    let mut placed = 0;
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let mut pool_state = PoolState::default();
        for n in 0..rng.usize(1..40) {
            add_worker(&mut pool_state, n, &mut rng);
        }
        let mut spec = job(1, rng.u64(0..9) * 1_000, 500);
        let racks = [None, Some("r0"), Some("r1"), Some("r9")];
        let rack = racks[rng.usize(0..racks.len())];
        spec.steps[0].data_rack = rack.map(str::to_string);
        let expected = least_cost(&pool_state, spec.steps[0].cpu_milli, rack);
        let before = pool_state.clone();
        let row = StoredRow {
            part: POOL.to_string(),
            key: "a".to_string(),
            value: Some(rows::encode(&spec)),
            revision: 8,
        };
        decide(1_000, |ctx| {
            load::apply_intake(&mut pool_state, &row, &config(1), 7, ctx);
            place::place(&mut pool_state, ctx);
        });
        let task = pool_state.ready.first().map(|rank| rank.task);
        let chosen = pool_state.unsent_starts.first().and_then(|(task, _)| {
            let Phase::Recording(worker) = pool_state.task(*task)?.phase else {
                return None;
            };
            Some(cost(&before, worker, rack))
        });
        assert_eq!(chosen, expected, "seed {seed}, waiting task: {task:?}");
        placed += usize::from(chosen.is_some());
    }
    assert!(placed > 100, "only {placed} tasks were placed");
}

/// Capacity that a task frees is available at once, also to tasks that need all of it.
#[test]
fn room_given_back() {
    let mut pool_state = PoolState::default();
    let mut rng = Rng::with_seed(1);
    add_worker(&mut pool_state, 0, &mut rng);
    let key = pool_state
        .find_instance("life-0", None)
        .expect("the worker was added");
    let worker = &mut pool_state.workers[key];
    worker.is_answering = true;
    let taken = worker.used;
    worker.remove_task(TaskKey::default(), taken);
    pool_state.update_free_index(key);
    let whole = pool_state.workers[key].info.capacity.cpu_milli;
    assert_eq!(pool_state.free_index.workers_with_free(whole).count(), 1);
    assert_eq!(
        pool_state.free_index.workers_with_free(2 * whole).count(),
        0
    );
    pool_state.remove_worker(key, 0);
    assert_eq!(pool_state.free_index.workers_with_free(0).count(), 0);
    assert!(pool_state.worker_on("host-0").is_none());
}
