//! An owner reads the rows of its pool again while it still owns the pool.

use crate::world::{lasting, World};

/// Time within which an entry has claimed the pool, and all leases of a former owner have expired.
const SETTLE_MS: u64 = 8_000;

/// Once all leases of a former owner have expired, a reload must not treat the leases that the owner itself renewed as
/// expired, or it starts their tasks again.
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
