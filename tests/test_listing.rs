//! A host stood still in its wave for good: the worker on it was up and answered, and its owner knew of none there. The owner had
//! claimed the pool, and read its rows and the list of workers with them, 0.4 s before that worker came up. Its entry came by
//! the feed while the rows were still being read; the list that came with them, older than the entry, lacked it, and the worker was
//! taken for gone. The feed does not tell an entry twice. (`worker-found` of it in no log; a hold to the life before it answered
//! "another life answered"; "left 1" for both waves from then on.)

use rockwick::core::sched::state::Event;
use rockwick::port::fleet::{WorkerEvent, WorkerInfo};

use crate::world::{worker_fact, World};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Words of the feed are told to an entry after it asked for its rows, and before these are here.
fn told_between(words: Vec<WorkerEvent>) -> Vec<String> {
    let mut world = World::new(1, 1, 2);
    world.run(SETTLE_MS);
    let rows = world.read_rows();
    world.run(10);
    for word in words {
        world.tell(0, Event::Worker(word));
    }
    world.load(0, rows);
    let owner = world.owner().expect("it owns the pool");
    owner.listed.keys().cloned().collect()
}

fn young() -> WorkerInfo {
    worker_fact("young", "host-9")
}

#[test]
fn listing_outlives_reading() {
    let listed = told_between(vec![WorkerEvent::Present(young())]);
    assert!(listed.contains(&"young".to_string()), "{listed:?}");
}

/// Nor does the reading bring back what the feed took away meanwhile.
#[test]
fn listing_stays_gone() {
    let id = World::new(1, 1, 2).lives()[0].clone();
    let listed = told_between(vec![WorkerEvent::Gone(id.clone())]);
    assert!(!listed.contains(&id), "{listed:?}");
}
