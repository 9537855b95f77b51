//! A start that is still on its way as its owner reads its rows again carries the fence of the books that follow. An
//! account that lacks the run proves nothing then, unlike one under a new epoch, which bars all that was sent before.

use crate::world::{job, Faults, World};

/// Worlds of their own.
const SEEDS: u64 = 120;

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Orders are lost and carried out seconds later, with the rows read again at most of the rounds or at none.
fn play(seed: u64, rereads: bool) {
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

fn broken(rereads: bool) -> Vec<u64> {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| play(*seed, rereads)).is_err();
    (0..SEEDS).filter(is_broken).collect()
}

/// The same worlds without readings, so that what breaks below comes of them.
#[test]
fn late_orders() {
    let broken = broken(false);
    assert!(broken.is_empty(), "{} broke: {broken:?}", broken.len());
}

#[test]
fn late_orders_reread() {
    let broken = broken(true);
    assert!(broken.is_empty(), "{} broke: {broken:?}", broken.len());
}
