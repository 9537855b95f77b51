//! A start that is still on its way when its owner reads its rows again carries the same fencing token as the starts
//! after that reading. A report that lacks the run therefore proves nothing, unlike one under a new epoch, which
//! fences off all earlier starts.

use crate::world::{job, Faults, World};

/// Number of seeds; each gives a world of its own.
const SEEDS: u64 = 120;

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Runs a world in which orders are lost and carried out seconds later, with the rows read again in each round or in
/// none.
fn simulate(seed: u64, rereads: bool) {
    let mut world = World::new(seed, 1, 6);
    world.run(SETTLE_MS);
    world.faults = Faults {
        order_lost: 300,
        order_late: 600,
        ..Faults::default()
    };
    for round in 0..20 {
        world.submit(&format!("job-{round}"), job(4, 1_000, 4_000));
        world.run(60);
        if rereads {
            world.reload(0);
        }
        world.run(700);
    }
    world.faults = Faults::default();
    world.run(20_000);
}

fn broken_seeds(rereads: bool) -> Vec<u64> {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| simulate(*seed, rereads)).is_err();
    (0..SEEDS).filter(is_broken).collect()
}

/// Runs the same worlds without readings, so that a failure in the test below comes from the readings.
#[test]
fn late_orders() {
    let broken = broken_seeds(false);
    assert!(
        broken.is_empty(),
        "{} seeds failed: {broken:?}",
        broken.len()
    );
}

#[test]
fn late_orders_reread() {
    let broken = broken_seeds(true);
    assert!(
        broken.is_empty(),
        "{} seeds failed: {broken:?}",
        broken.len()
    );
}
