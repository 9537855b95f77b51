//! Rows that an owner reads again within its ownership.

use crate::world::{lasting, World};

/// Long enough for an owner to be found, and for all that a former owner leased to lapse.
const SETTLE_MS: u64 = 8_000;

/// What the owner itself leased since is not over because a former owner's leases are.
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
