//! An owner reads its rows again within its ownership.

use crate::world::{lasting, World};

/// Time within which an entry has claimed the pool, and all leases of a former owner have expired.
const SETTLE_MS: u64 = 8_000;

/// Leases that the owner itself renewed do not expire because a former owner's leases have.
#[test]
fn reload_keeps_leases() {
    let mut world = World::new(20, 1, 4);
    world.run(SETTLE_MS);
    world.submit("a", lasting(4, 1));
    world.run(3_000);
    let before = (world.starts, world.running("a"));
    world.reload(0);
    world.run(3_000);
    assert_eq!((world.starts, world.running("a")), before);
}
