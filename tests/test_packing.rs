//! Tasks share workers as far as they fit, so that other workers stay empty and can leave the pool.

use crate::world::{job, lasting, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Returns the number of tasks on each worker, in descending order.
fn loads(world: &World) -> Vec<usize> {
    let mut loads: Vec<usize> = world
        .worker_ids()
        .iter()
        .map(|id| world.running_on(id))
        .collect();
    loads.sort_unstable_by(|a, b| b.cmp(a));
    loads
}

#[test]
fn packing_fills_one() {
    let mut world = World::new(21, 1, 3);
    world.run(SETTLE_MS);
    for id in ["a", "b", "c"] {
        world.submit(id, job(2, 2_000, 5_000));
        world.run(200);
    }
    assert_eq!(
        loads(&world),
        [6, 0, 0],
        "six tasks of two cores fill a worker of twelve"
    );
}

#[test]
fn packing_keeps_apart() {
    let mut world = World::new(22, 1, 3);
    world.run(SETTLE_MS);
    world.submit("a", lasting(3, 1));
    world.submit("b", job(4, 2_000, 5_000));
    world.run(400);
    assert_eq!(
        loads(&world),
        [5, 1, 1],
        "copies that must be apart are on separate workers"
    );
}
