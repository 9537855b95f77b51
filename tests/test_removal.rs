//! A finished job leaves the store while others read it: it never begins anew.

use rockwick::core::sched::state::Event;
use rockwick::port::fleet::{StoredRow, Table};

use crate::world::{job, World};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// A finished job is still there after so long.
const KEPT_MS: u64 = 140_000;

/// And gone after so much longer.
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

/// The store's history is gone, and all of intake is read, part by part. A job that was there when its part was read is
/// removed and forgotten before the last part is read; only then does the owner hear of its row.
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
        world.tell(0, Event::Intake(row));
    }
    world.run(3_000);
    assert_eq!(world.starts, starts, "its tasks were done");
}
