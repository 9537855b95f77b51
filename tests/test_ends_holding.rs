//! A host whose short tasks outlast its patience takes its slot while they run. Ends that come between the slot and the order
//! are in the owner's books alone where a partition is away, and go with the host.

use rockwick::core::sched::rows::shard_part;

use crate::world::{job, World, POOL};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Tasks of the job: both hosts get some, so that none is empty and goes first.
const TASKS: u16 = 4;

/// What each takes, in thousandths of a core; two fill a host of 16 cores.
const TASK_CPU_MILLI: u64 = 6_000;

/// The shard that has the job's progress.
const SHARD: usize = 1;

/// Starts of tasks after their job was done by its owner's books.
fn starts_after(estimate_ms: u64) -> u64 {
    let mut world = World::new(1, 2, 2);
    world.run(SETTLE_MS);
    world.parts_away.insert(shard_part(POOL, 0));
    world.run(1_000);
    world.submit("a", job(TASKS, TASK_CPU_MILLI, estimate_ms));
    world.run(300);
    assert_eq!(world.starts, u64::from(TASKS));
    // Orders to hosts are put on record in the first shard, so they wait while the wave's row takes the slot.
    world.parts_away.insert(shard_part(POOL, SHARD));
    world.wave(1, 4_000, 1);
    let until_ms = world.now_ms + 16_000;
    while !world.is_over_by_books("a") && world.now_ms < until_ms {
        world.run(10);
    }
    if !world.is_over_by_books("a") {
        return 0;
    }
    let before = world.starts;
    world.parts_away.remove(&shard_part(POOL, 0));
    world.run(2_500);
    let owner = world.owner_entry().expect("it renews in other shards");
    world.kill(owner);
    world.parts_away.clear();
    world.run(20_000);
    world.starts - before
}

#[test]
fn ends_outlive_slot() {
    let lengths = (2_000..12_000).step_by(250);
    let again = lengths.map(|ms| (ms, starts_after(ms)));
    let again: Vec<(u64, u64)> = again.filter(|(_, starts)| *starts > 0).collect();
    assert!(again.is_empty(), "length in ms, starts again: {again:?}");
}
