//! Standbys: a bounded number of entries follows the owners of pools, and takes the pools over.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::standby::SLOTS;

use crate::world::{job, World};

/// Time within which the pool has an owner and all slots are taken.
const SETTLE_MS: u64 = 15_000;

/// A slot lapses after 12 s, as seen at a reading every 5 s; then an entry takes it within 3 s, finds the pool's owner
/// gone within a lease of 1.8 s, and claims the pool.
const ALL_LOST_MS: u64 = 12_000 + 5_000 + 3_000 + 1_800 + 2_000;

/// Time within which a standby takes a pool over: the owner's lease and the claim.
const TAKEOVER_MS: u64 = 3_000;

fn settled_world(seed: u64, entries: usize) -> World {
    let mut world = World::with_standbys(seed, entries, 4);
    world.run(SETTLE_MS);
    world
}

fn completes(world: &mut World, id: &str) -> bool {
    world.submit(id, job(2, 1_000, 300));
    world.run(4_000);
    world.recorded_state(id) == JobState::Completed
}

/// The owner and the holders of slots follow the owners, however many entries there are.
#[test]
fn standby_bounded() {
    for entries in [20, 60] {
        let mut world = settled_world(1, entries);
        assert!(world.owner_entry().is_some());
        let following = world.following().len();
        assert!(
            (SLOTS..=SLOTS + 1).contains(&following),
            "{following} of {entries}"
        );
        assert!(completes(&mut world, "job"));
    }
}

/// The number of owner rows that the store answers does not grow with the fleet.
#[test]
fn standby_rows_flat() {
    let rows_in_10_s = |entries| {
        let mut world = settled_world(2, entries);
        let before = world.owner_rows_delivered;
        world.run(10_000);
        world.owner_rows_delivered - before
    };
    let (few, many) = (rows_in_10_s(15), rows_in_10_s(90));
    assert!(
        many <= few * 3 / 2,
        "{few} rows with 15 entries, {many} with 90"
    );
}

/// In a fleet without enough entries for the slots, each one follows the owners.
#[test]
fn standby_few_entries() {
    let world = settled_world(3, 6);
    assert_eq!(world.following().len(), 6);
}

#[test]
fn standby_takes_over() {
    for seed in 0..5 {
        let mut world = settled_world(seed, 30);
        for round in 0..3 {
            let owner = world.owner_entry().expect("the pool has an owner");
            world.kill(owner);
            world.run(TAKEOVER_MS);
            let next = world.owner_entry();
            assert!(
                next.is_some_and(|n| n != owner),
                "seed {seed}, round {round}"
            );
            assert!(completes(&mut world, &format!("job-{round}")));
            world.boot(owner);
            world.run(SETTLE_MS);
        }
        assert!(world.following().len() <= SLOTS + 1, "seed {seed}");
    }
}

/// The owner and all standbys end at once and do not come back: another entry finds the slots lapsed.
#[test]
fn standby_all_lost() {
    for seed in 0..5 {
        let mut world = settled_world(seed, 30);
        for n in world.following() {
            world.kill(n);
        }
        assert!(world.owner_entry().is_none());
        world.run(ALL_LOST_MS);
        assert!(world.owner_entry().is_some(), "seed {seed}");
        assert!(completes(&mut world, "job"));
        world.run(SETTLE_MS);
        assert!(world.following().len() <= SLOTS + 1, "seed {seed}");
    }
}

/// All entries end and start again: the pool has an owner again as soon as in a small fleet.
#[test]
fn standby_all_restarted() {
    let mut world = settled_world(4, 30);
    world.restart_all_entries();
    world.run(TAKEOVER_MS);
    assert!(world.owner_entry().is_some());
    world.run(SETTLE_MS);
    assert!(world.following().len() <= SLOTS + 1);
}

/// A holder that stood still for longer than its slot's lease finds another entry there and stops following.
#[test]
fn standby_frozen_holder() {
    let mut world = settled_world(5, 30);
    let owner = world.owner_entry().expect("the pool has an owner");
    let holders = world.following().into_iter().filter(|n| *n != owner);
    for n in holders.take(3) {
        world.freeze(n, 40_000);
    }
    world.run(60_000);
    assert!(world.following().len() <= SLOTS + 1);
    assert!(completes(&mut world, "job"));
}

/// A suspended entry that wakes must not take the slots for lapsed: it has not read them since.
#[test]
fn standby_woken_entry() {
    let mut world = settled_world(6, 30);
    let following = world.following();
    let idle = (0..30)
        .find(|n| !following.contains(n))
        .expect("one is idle");
    world.freeze(idle, 30_000);
    world.run(30_001);
    assert!(!world.following().contains(&idle));
}

/// No entry reaches the store for a time. Afterwards the holders are still the holders.
#[test]
fn standby_outage() {
    let mut world = settled_world(7, 30);
    let before = world.following();
    for n in 0..30 {
        world.disconnect_entry(n, 20_000);
    }
    world.run(20_000 + SETTLE_MS);
    assert!(world.owner_entry().is_some());
    assert!(world.following().len() <= SLOTS + 2, "{before:?}");
    assert!(completes(&mut world, "job"));
}
