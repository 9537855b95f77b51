//! The feed delivers a worker's entry only once, and may do so while a new owner still reads the pool's rows. If the
//! older list that comes with the rows then replaces the entry, the owner never knows of the worker, and the worker's
//! host never returns from its wave. This was seen with a worker that came up 0.4 s after the owner had asked for the
//! rows: no log had a `worker-found` for the worker, the hold for the earlier instance on its host was answered with
//! "another instance answered", and both waves stayed at "left 1".

use rockwick::core::sched::state::Event;
use rockwick::port::fleet::{WorkerEvent, WorkerInfo};

use crate::world::{listed_worker, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Returns the workers that an owner lists after the feed delivered `events` between its request for the rows and
/// their arrival.
fn listed_after(events: Vec<WorkerEvent>) -> Vec<String> {
    let mut world = World::new(1, 1, 2);
    world.run(SETTLE_MS);
    let rows = world.read_rows();
    world.run(10);
    for event in events {
        world.deliver_event(0, Event::Worker(event));
    }
    world.deliver_rows(0, rows);
    let owner = world.owner().expect("the entry owns the pool");
    owner.listed.keys().cloned().collect()
}

fn new_worker() -> WorkerInfo {
    listed_worker("new", "host-9")
}

#[test]
fn listing_outlives_reading() {
    let listed = listed_after(vec![WorkerEvent::Present(new_worker())]);
    assert!(listed.contains(&"new".to_string()), "{listed:?}");
}

/// The rows don't bring back a worker that the feed removed in the meantime.
#[test]
fn listing_stays_gone() {
    let id = World::new(1, 1, 2).worker_ids()[0].clone();
    let listed = listed_after(vec![WorkerEvent::Gone(id.clone())]);
    assert!(!listed.contains(&id), "{listed:?}");
}
