//! Tasks whose runs had all ended as done on one worker were started again on others, and nobody stopped the second runs.
//! An end is in its owner's books as soon as a worker lists it, and on record later. A worker whose tasks were all done by
//! the books counted as empty in between: its host was ordered out for upkeep or put on offer, and the worker's list of ends
//! went with it. When the owner was replaced before the record, nothing told the next one of these ends; it found every one of
//! the tasks as started on a worker that was gone. In the first test below the job's partition is away for 6 s, the upkeep
//! comes 2.4 s after the last end, and each of the six tasks is started twice (12 starts).

use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{self, shard_part};
use rockwick::core::sched::sizing::{self, Inputs, Sizing};
use rockwick::core::sched::state::Effect;
use rockwick::port::fleet::StoredRow;

use crate::decide::{answering, decide};
use crate::world::{config, job, worker_fact, World, POOL};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Tasks of the job.
const TASKS: u16 = 6;

/// The shard that has the job's progress: the first one does not answer as it comes. Orders to hosts are on record there.
const SHARD: usize = 1;

/// A world whose only job has been started, all of it.
fn started() -> World {
    let mut world = World::new(1, 2, 2);
    world.run(SETTLE_MS);
    world.parts_away.insert(shard_part(POOL, 0));
    // Until heartbeats there have failed.
    world.run(1_000);
    world.submit("a", job(TASKS, 1_000, 1_500));
    world.run(300);
    world.parts_away.clear();
    assert_eq!(world.starts, u64::from(TASKS));
    world
}

#[test]
fn ends_outlive_upkeep() {
    let mut world = started();
    world.parts_away.insert(shard_part(POOL, SHARD));
    world.wave(1, 4_000, 1);
    world.run(9_000);
    let owner = world.owner_entry().expect("it renews in other shards");
    world.kill(owner);
    world.parts_away.clear();
    world.run(20_000);
    assert_eq!(world.starts, u64::from(TASKS), "no task starts twice");
}

/// Whether a look at the pool's size changes what is on offer.
fn offers(pool_state: &mut PoolState) -> bool {
    let with = Inputs {
        pool: POOL,
        epoch: 1,
        can_park: true,
        pressed: true,
        answer_ms: 5,
    };
    let effects = decide(100_000, |ctx| {
        let mut sizing = Sizing::default();
        sizing::reconcile(pool_state, &mut sizing, &mut Offers::default(), &with, ctx);
    });
    effects
        .iter()
        .any(|e| matches!(e, Effect::SettleOffers(..)))
}

/// Four hosts, of which the pool's only job needs fewer; the first has told an end of that job, which is not on record.
#[test]
fn ends_outlive_offer() {
    let mut pool_state = PoolState::default();
    let hosts = (0..4).map(|n| worker_fact(&format!("life-{n}"), &format!("host-{n}")));
    let workers: Vec<_> = hosts.map(|fact| answering(&mut pool_state, fact)).collect();
    let row = StoredRow {
        part: POOL.to_string(),
        key: "job".to_string(),
        value: Some(rows::encode(&job(1, 1_000, 60_000))),
        revision: 1,
    };
    // Long ago enough to tell of no rate at which more will come.
    decide(90_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), 1, ctx)
    });
    let key = pool_state.by_id["job"];
    for worker in &workers {
        pool_state.mark_dirty(key, 100_000);
        pool_state.note_applied_end(*worker, 1, Some(key));
    }
    assert!(!offers(&mut pool_state), "no host's ends are on record");
    pool_state.jobs[key].recorded_changes = pool_state.jobs[key].changes;
    assert!(offers(&mut pool_state), "all are");
}

/// An owner that is told to stop hands its pool over; what it has just taken in is on record then, or a worker that is gone
/// as the next owner looks takes it along.
#[test]
fn ends_outlive_stop() {
    let mut world = World::new(1, 2, 2);
    world.run(SETTLE_MS);
    world.submit("a", job(TASKS, 1_000, 1_500));
    world.run(100);
    let life = world.life_of("a", 0).expect("it runs");
    while !world.is_over_by_books("a") {
        world.run(1);
    }
    let owner = world.owner_entry().expect("it has books");
    world.stop(owner);
    world.run(1);
    world.crash(&life, 1_000);
    world.run(20_000);
    assert_eq!(world.starts, u64::from(TASKS), "no task starts twice");
}
