//! Guards against a second start of tasks that are done. The owner applies a reported end at once and records it later.
//! In between, a worker whose tasks were all done counted as empty: its host left for maintenance or was offered, and
//! its list of ends was lost. A new owner found the tasks started on a worker that was gone, and started them again;
//! nothing stopped the second runs. In the first test the job's partition is unavailable for 6 s and the maintenance
//! comes 2.4 s after the last end; each of the six tasks was started twice.

use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{self, shard_part};
use rockwick::core::sched::sizing::{self, Inputs, Sizing};
use rockwick::core::sched::state::Effect;
use rockwick::port::fleet::StoredRow;

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, listed_worker, World, POOL};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Number of tasks of the job.
const TASKS: u16 = 6;

/// The shard that stores the job's progress, since the first one is unavailable when the job arrives. Orders to hosts
/// are recorded in the first shard.
const SHARD: usize = 1;

/// Returns a world in which all tasks of the only job have been started.
fn world_with_started_job() -> World {
    let mut world = World::new(1, 2, 2);
    world.run(SETTLE_MS);
    world.unavailable_parts.insert(shard_part(POOL, 0));
    // Runs until heartbeats in that shard have failed.
    world.run(1_000);
    world.submit("a", job(TASKS, 1_000, 1_500));
    world.run(300);
    world.unavailable_parts.clear();
    assert_eq!(world.starts, u64::from(TASKS));
    world
}

#[test]
fn ends_outlive_upkeep() {
    let mut world = world_with_started_job();
    world.unavailable_parts.insert(shard_part(POOL, SHARD));
    world.order_wave(1, 4_000, 1);
    world.run(9_000);
    let owner = world
        .owner_entry()
        .expect("the owner renews in other shards");
    world.kill(owner);
    world.unavailable_parts.clear();
    world.run(20_000);
    assert_eq!(world.starts, u64::from(TASKS), "no task starts twice");
}

/// Runs one sizing pass and returns whether it changes the offered hosts.
fn changes_offers(pool_state: &mut PoolState) -> bool {
    let inputs = Inputs {
        pool: POOL,
        epoch: 1,
        can_park: true,
        another_pool_lacks_hosts: true,
        answer_ms: 5,
    };
    let effects = decide(100_000, |ctx| {
        let mut sizing = Sizing::default();
        sizing::reconcile(
            pool_state,
            &mut sizing,
            &mut Offers::default(),
            &inputs,
            ctx,
        );
    });
    effects
        .iter()
        .any(|e| matches!(e, Effect::SettleOffers(..)))
}

/// Four hosts, of which the pool's only job needs fewer. Each has reported an end of that job that is not recorded
/// yet, so none may be offered until it is.
#[test]
fn ends_outlive_offer() {
    let mut pool_state = PoolState::default();
    let hosts = (0..4).map(|n| listed_worker(&format!("worker-{n}"), &format!("host-{n}")));
    let workers: Vec<_> = hosts
        .map(|info| add_answering_worker(&mut pool_state, info))
        .collect();
    let row = StoredRow {
        part: POOL.to_string(),
        key: "job".to_string(),
        value: Some(rows::encode(&job(1, 1_000, 60_000))),
        revision: 1,
    };
    // The job arrives so long before the pass that it indicates no rate at which more work will arrive.
    decide(90_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), 1, ctx)
    });
    let key = pool_state.jobs_by_id["job"];
    for worker in &workers {
        pool_state.mark_dirty(key, 100_000);
        pool_state.note_applied_end(*worker, 1, Some(key));
    }
    assert!(
        !changes_offers(&mut pool_state),
        "no host's ends are recorded"
    );
    pool_state.jobs[key].recorded_changes = pool_state.jobs[key].changes;
    assert!(changes_offers(&mut pool_state), "all ends are recorded");
}

/// An owner that is asked to stop hands its pool over. It must first record the ends that it has just applied, since
/// the worker that reported them may be gone before the next owner reads its list.
#[test]
fn ends_outlive_stop() {
    let mut world = World::new(1, 2, 2);
    world.run(SETTLE_MS);
    world.submit("a", job(TASKS, 1_000, 1_500));
    world.run(100);
    let worker_id = world.worker_running("a", 0).expect("the task runs");
    while !world.has_ended_in_memory("a") {
        world.run(1);
    }
    let owner = world.owner_entry().expect("the pool has an owner");
    world.stop(owner);
    world.run(1);
    world.crash(&worker_id, 1_000);
    world.run(20_000);
    assert_eq!(world.starts, u64::from(TASKS), "no task starts twice");
}
