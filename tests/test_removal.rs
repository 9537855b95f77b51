//! A finished job that is removed from the store while an owner reads the store never starts again.

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
