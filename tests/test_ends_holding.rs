//! Guards against a wave's slot that is taken while short tasks still run on the host, because they take longer than
//! the host waits for them. If the job's partition is unavailable, ends between the slot and the order are only in the
//! owner's memory and are lost with the host, so the next owner starts the tasks again.

use rockwick::core::sched::rows::shard_part;

use crate::world::{job, World, POOL};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Number of tasks of the job. Both hosts get some, so that neither is empty and leaves first.
const TASKS: u16 = 4;

/// Processor demand of each task, in thousandths of a core; two fill a host of 12 cores.
const TASK_CPU_MILLI: u64 = 6_000;

/// The shard that stores the job's progress.
const SHARD: usize = 1;

/// Returns the number of starts after the job was done in its owner's in-memory state, or 0 if it is not done within
/// 16 s.
fn starts_after(estimate_ms: u64) -> u64 {
    let mut world = World::new(1, 2, 2);
    world.run(SETTLE_MS);
    world.unavailable_parts.insert(shard_part(POOL, 0));
    world.run(1_000);
    world.submit("a", job(TASKS, TASK_CPU_MILLI, estimate_ms));
    world.run(300);
    assert_eq!(world.starts, u64::from(TASKS));
    // Orders to hosts are recorded in the first shard, so they wait while the wave's row takes the slot.
    world.unavailable_parts.insert(shard_part(POOL, SHARD));
    world.order_wave(1, 4_000, 1);
    let until_ms = world.now_ms + 16_000;
    while !world.has_ended_in_memory("a") && world.now_ms < until_ms {
        world.run(10);
    }
    if !world.has_ended_in_memory("a") {
        return 0;
    }
    let before = world.starts;
    world.unavailable_parts.remove(&shard_part(POOL, 0));
    world.run(2_500);
    let owner = world
        .owner_entry()
        .expect("the owner renews in other shards");
    world.kill(owner);
    world.unavailable_parts.clear();
    world.run(20_000);
    world.starts - before
}

#[test]
fn ends_outlive_slot() {
    let estimates_ms = (2_000..12_000).step_by(250);
    let repeated = estimates_ms.map(|ms| (ms, starts_after(ms)));
    let repeated: Vec<(u64, u64)> = repeated.filter(|(_, starts)| *starts > 0).collect();
    assert!(
        repeated.is_empty(),
        "(estimate in ms, repeated starts): {repeated:?}"
    );
}
