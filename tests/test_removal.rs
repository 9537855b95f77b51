//! A finished job that is removed from the store while an owner reads the store never starts again. Tombstones are kept
//! as long as finished jobs and then removed.

use rockwick::core::sched::rows::is_tombstone_key;
use rockwick::core::sched::state::Event;
use rockwick::port::fleet::{StoredRow, Table};

use crate::world::{job, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Time after which a finished job is still stored.
const KEPT_MS: u64 = 140_000;

/// Further time after which the job is removed.
const GONE_MS: u64 = 20_000;

fn intake_rows(world: &World, id: &str) -> Vec<StoredRow> {
    let rows = world.store.iter();
    let rows = rows.filter(|((table, _, key), _)| *table == Table::Intake && key == id);
    rows.map(|((_, part, key), (value, revision))| StoredRow {
        part: part.clone(),
        key: key.clone(),
        value: Some(value.clone()),
        revision: *revision,
    })
    .collect()
}

/// The store's history is lost, so the owner reads all of intake again, part by part. A job that was there when its
/// part was read is removed from the store and from memory before the last part is read, and only then does the owner
/// process its row.
#[test]
fn removal_while_read() {
    let mut world = World::new(10, 1, 3);
    world.run(SETTLE_MS);
    world.submit("a", job(2, 1_000, 100));
    world.run(KEPT_MS);
    let rows = intake_rows(&world, "a");
    assert_eq!(rows.len(), 1);
    let starts = world.starts;
    world.run(GONE_MS);
    for row in rows {
        world.deliver_event(0, Event::Intake(row));
    }
    world.run(3_000);
    assert_eq!(
        world.starts, starts,
        "tasks that were done don't start again"
    );
}

fn count_tombstones(world: &World) -> usize {
    let keys = world.store.keys();
    keys.filter(|(_, _, key)| is_tombstone_key(key)).count()
}

/// Tombstones outlast their owner and are removed at last. One that a later cancel wrote again is kept from then on.
#[test]
fn removal_tombstones() {
    let mut world = World::new(11, 2, 3);
    world.run(SETTLE_MS);
    world.keep_out("a");
    world.keep_out("b");
    assert_eq!(count_tombstones(&world), 4);
    world.run(KEPT_MS);
    world.keep_out("b");
    world.run(GONE_MS);
    assert_eq!(count_tombstones(&world), 2);
    let owner = world.owner_entry().expect("the pool has an owner");
    world.kill(owner);
    world.run(KEPT_MS);
    assert_eq!(count_tombstones(&world), 2);
    world.run(GONE_MS);
    assert_eq!(count_tombstones(&world), 0);
}

/// A cancel writes a tombstone again, and the feed has not shown this to the owner when the owner removes the row. The
/// tombstone is kept from when the owner finds out.
#[test]
fn removal_tombstone_written_again() {
    let mut world = World::new(12, 1, 3);
    world.run(SETTLE_MS);
    world.keep_out("a");
    world.run(KEPT_MS);
    for ((_, _, key), (_, revision)) in &mut world.store {
        if is_tombstone_key(key) {
            *revision += 1_000_000;
        }
    }
    world.run(KEPT_MS);
    assert_eq!(count_tombstones(&world), 2);
    world.run(2 * GONE_MS);
    assert_eq!(count_tombstones(&world), 0);
}

/// Many tombstones are removed within seconds, and do not keep jobs from being removed.
#[test]
fn removal_many_tombstones() {
    const CANCELS: usize = 1_000;
    let mut world = World::new(13, 1, 3);
    world.run(SETTLE_MS);
    for n in 0..CANCELS {
        world.keep_out(&format!("{n}"));
    }
    world.submit("job", job(2, 1_000, 100));
    world.run(KEPT_MS);
    assert_eq!(count_tombstones(&world), 2 * CANCELS);
    world.run(2 * GONE_MS);
    assert_eq!(count_tombstones(&world), 0);
    assert!(intake_rows(&world, "job").is_empty());
}
