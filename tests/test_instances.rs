//! Which workers count as instances of the same host, and when one of them counts as ended.

use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::port::fleet::{OrderReply, RenewalReport};

use crate::decide::{add_answering_worker, decide};
use crate::world::{job, listed_worker, World};

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// Platforms without a list of hosts give workers no host. Such workers must not count as instances of one host.
#[test]
fn instances_no_host() {
    let mut pool_state = PoolState::default();
    let one = add_answering_worker(&mut pool_state, listed_worker("one", ""));
    let other = add_answering_worker(&mut pool_state, listed_worker("other", ""));
    pool_state.workers[one].answered_ms = 1_000;
    let report = RenewalReport {
        born_wall_ms: None,
        clock_ms: 2_000,
        unreadable: 0,
        running: Vec::new(),
        ended: Vec::new(),
    };
    decide(2_000, |ctx| {
        renewal::settle(&mut pool_state, other, 1_500, Ok(report), EPOCH, ctx);
    });
    let answers = pool_state.workers.get(one).map(|w| w.is_answering);
    assert_eq!(
        answers,
        Some(true),
        "the report of the other worker must not affect it"
    );
}

/// Number of tasks of the job in [`busy_world`].
const TASKS: u16 = 4;

/// Returns a world of two hosts and the id of the worker with most tasks. Each task takes at least 15 s.
fn busy_world(seed: u64) -> (World, String) {
    let mut world = World::new(seed, 1, 2);
    world.submit("a", job(TASKS, 500, 30_000));
    world.run(4_000);
    assert_eq!(world.running("a"), usize::from(TASKS));
    let worker_ids = world.worker_ids().into_iter();
    let busiest = worker_ids.max_by_key(|worker_id| world.running_on(worker_id));
    (world, busiest.expect("workers are up"))
}

/// A host's next instance answers while the previous one drains. The previous one's runs must continue.
#[test]
fn instances_drain_beside() {
    for seed in 0..20 {
        let (mut world, worker_id) = busy_world(seed);
        let run_count = world.running_on(&worker_id);
        world.overlap_instances(&worker_id, 5_000);
        world.run(1_500);
        assert_eq!(world.running_on(&worker_id), run_count, "seed {seed}");
        assert_eq!(world.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// The draining instance is disconnected but has not ended. Its runs must not start elsewhere while its lease is
/// valid.
#[test]
fn instances_drain_unheard() {
    for seed in 0..20 {
        let (mut world, worker_id) = busy_world(seed);
        world.overlap_instances(&worker_id, 5_000);
        world.disconnect_worker(&worker_id, 1_500);
        world.run(1_500);
        assert_eq!(world.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// The tasks of a crashed instance must be requeued when the next instance reports, before the lease expires.
#[test]
fn instances_crash_quick() {
    for seed in 0..20 {
        let (mut world, worker_id) = busy_world(seed);
        let run_count = world.running_on(&worker_id) as u64;
        world.crash(&worker_id, 300);
        world.run(1_500);
        assert_eq!(world.starts, u64::from(TASKS) + run_count, "seed {seed}");
    }
}

/// The list shows a worker under another worker's address for a while. The answer from there must not end any run.
#[test]
fn instances_wrong_address() {
    for seed in 0..20 {
        let (mut world, worker_id) = busy_world(seed);
        let worker_ids = world.worker_ids();
        let other = worker_ids.iter().find(|other| **other != worker_id);
        world.readdress(&worker_id, other.expect("there are two"), 1_000);
        world.run(3_000);
        assert_eq!(world.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// A worker that left the list while it answered keeps its lease, as a worker that states that it drains does.
#[test]
fn instances_withdrawn() {
    let mut pool_state = PoolState::default();
    let one = add_answering_worker(&mut pool_state, listed_worker("one", "host"));
    let other = add_answering_worker(&mut pool_state, listed_worker("other", "host"));
    pool_state.workers[one].answered_ms = 1_000;
    pool_state.workers[one].is_withdrawn = true;
    pool_state.workers[one].lease_end_ms = 9_000;
    decide(1_400, |ctx| {
        let broken = Err(OrderReply::Broken);
        renewal::settle(&mut pool_state, one, 1_200, broken, EPOCH, ctx);
    });
    let report = RenewalReport {
        born_wall_ms: None,
        clock_ms: 2_000,
        unreadable: 0,
        running: Vec::new(),
        ended: Vec::new(),
    };
    decide(2_000, |ctx| {
        renewal::settle(&mut pool_state, other, 1_500, Ok(report), EPOCH, ctx);
    });
    let over_ms = pool_state.workers.get(one).map(|w| w.lease_end_ms);
    assert_eq!(over_ms, Some(9_000), "its lease stays valid");
}

/// An id that has restarted is remembered while orders to its former instances may be on their way, and no longer.
#[test]
fn instances_dropped_ids_forgotten() {
    let mut pool_state = PoolState::default();
    for n in 0..100 {
        let key = add_answering_worker(&mut pool_state, listed_worker(&format!("w-{n}"), ""));
        pool_state.workers[key].restarts = 1;
        pool_state.remove_worker(key, 1_000);
    }
    assert_eq!(pool_state.restarts("w-0"), Some(1));
    let key = add_answering_worker(&mut pool_state, listed_worker("last", ""));
    pool_state.remove_worker(key, 100_000);
    assert_eq!(pool_state.dropped_ids.len(), 1);
}
