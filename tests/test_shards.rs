//! Partitions of the store become unavailable one by one, and an owner goes on with the others.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::rows::{shard_part, shard_parts, SHARDS};

use crate::world::{job, lasting, World, POOL};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Time for which partitions are unavailable. On a day with 350 workers, a quarter of the partitions was unavailable
/// for as long.
const UNAVAILABLE_MS: u64 = 5_800;

fn make_unavailable(world: &mut World, shard: usize) {
    world.unavailable_parts.insert(shard_part(POOL, shard));
}

/// A queue's peak load of 40 jobs a second while the pool's first partition is unavailable. Most of the jobs must
/// complete before it is back; with a single partition for each pool, none did.
#[test]
fn shards_first_away() {
    let mut world = World::new(31, 3, 8);
    world.run(SETTLE_MS);
    let owner = world.owner_entry();
    make_unavailable(&mut world, 0);
    let mut ids = Vec::new();
    for n in 0..(UNAVAILABLE_MS / 25) {
        let id = format!("job-{n}");
        world.submit(&id, job(4, 1_000, 300));
        ids.push(id);
        world.run(25);
    }
    let done = |world: &World| {
        let is_done = |id: &&String| world.recorded_state(id) == JobState::Completed;
        ids.iter().filter(is_done).count()
    };
    let share_percent = done(&world) * 100 / ids.len();
    assert!(
        share_percent >= 75,
        "{share_percent}% of the jobs were done meanwhile"
    );
    assert_eq!(world.owner_entry(), owner, "the owner kept its lease");
    world.unavailable_parts.clear();
    world.run(5_000);
    assert_eq!(done(&world), ids.len());
}

/// Jobs that began in a partition that becomes unavailable end once it is back. Other jobs are not delayed, and no
/// worker loses its running tasks because ends can't be recorded.
#[test]
fn shards_begun_there() {
    let mut world = World::new(32, 2, 4);
    world.run(SETTLE_MS);
    world.submit("lasts", lasting(2, 1));
    world.submit("begun", job(2, 1_000, 500));
    world.run(200);
    assert_eq!(world.recorded_state("begun"), JobState::Running);
    make_unavailable(&mut world, 0);
    world.run(1_000);
    world.submit("new", job(2, 1_000, 500));
    world.run(2_500);
    assert_eq!(world.recorded_state("new"), JobState::Completed);
    assert_eq!(world.recorded_state("begun"), JobState::Running);
    world.run(5_000);
    assert_eq!(world.running("lasts"), 2);
    assert!(
        world.oldest_run_ms("lasts") >= Some(8_000),
        "its workers' leases were renewed"
    );
    world.unavailable_parts.clear();
    world.run(2_000);
    assert_eq!(world.recorded_state("begun"), JobState::Completed);
}

/// The pool of an owner that renews in one shard only is not taken over, however long that lasts. The pool of an owner
/// that died is taken over once all shards are available again.
#[test]
fn shards_takeover() {
    let mut world = World::new(33, 3, 4);
    world.run(SETTLE_MS);
    let owner = world.owner_entry().expect("the pool has an owner");
    (0..SHARDS - 1).for_each(|shard| make_unavailable(&mut world, shard));
    world.run(20_000);
    assert_eq!(world.owner_entry(), Some(owner));
    world.kill(owner);
    world.run(10_000);
    assert_eq!(world.owner_entry(), None, "not all shards can be claimed");
    world.unavailable_parts.clear();
    world.run(5_000);
    assert!(world.owner_entry().is_some());
    world.submit("a", job(2, 1_000, 300));
    world.run(2_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
}

/// An entry that sees no heartbeats claims nothing while the owner renews in a shard that is claimed last. The world
/// checks that no two entries start the same task.
#[test]
fn shards_stale_taker() {
    let mut world = World::new(34, 2, 4);
    world.run(SETTLE_MS);
    let owner = world.owner_entry().expect("the pool has an owner");
    let other = 1 - owner;
    for shard in 0..SHARDS - 1 {
        make_unavailable(&mut world, shard);
    }
    // The other entry's feeds deliver nothing while the owner renews in the last shard.
    world.freeze(other, 4_000);
    world.run(3_900);
    world.unavailable_parts.clear();
    world.submit("a", job(4, 1_000, 400));
    world.run(4_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
    assert_eq!(world.starts, 4, "each task ran once");
}

/// Each shard has a partition of its own whose name gives the shard. The store runs the writes of one partition in
/// turn, so that as many writes run at a time as there are shards.
#[test]
fn shards_named() {
    let parts = shard_parts(POOL);
    assert_eq!(parts.len(), SHARDS);
    assert_eq!(parts[0], POOL);
    for (shard, part) in parts.iter().enumerate() {
        let found = rockwick::core::sched::rows::shard_of_part(part);
        assert_eq!(found, Some((POOL, shard)));
    }
    for part in rockwick::core::sched::rows::intake_parts_of(POOL, "a") {
        assert_eq!(rockwick::core::sched::rows::shard_of_part(&part), None);
    }
}
