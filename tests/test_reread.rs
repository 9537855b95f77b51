//! A pool's rows that are read again within an ownership, after one of them was changed by something else.
//!
//! Each reading gives new books, whose keys of workers and tasks mean something else than those of the books before. Answers
//! that were on their way and timers that were set for the earlier books were told apart by the epoch alone, which
//! stays: an account of one worker was taken for another's, and all that the other ran for not running there. A lost
//! pool's timers stayed as well. And leases of workers were taken to be over a lease's time after the claim, though
//! this very owner had renewed them since: with the reading all that ran was requeued in the same moment.

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::state::Timer;

use crate::world::{job, lasting, World, POOL};

/// Long enough for owners to be found, and for a lease and a takeover to pass.
const SETTLE_MS: u64 = 8_000;

/// Worlds of their own.
const SEEDS: u64 = 120;

/// Tasks that run go on, also long after the claim.
#[test]
fn reread_keeps_runs() {
    let mut world = World::new(3, 1, 4);
    world.run(SETTLE_MS);
    world.submit("a", lasting(3, 1));
    world.run(30_000);
    let before = world.starts;
    world.reload(0);
    world.run(SETTLE_MS);
    assert_eq!(world.running("a"), 3);
    assert_eq!(world.starts, before, "what ran went on running");
}

/// Six hosts, some of which crash and come back with lives whose ids sort elsewhere; the rows are read again at ten
/// moments of 30: out of order, or with odd seeds as a record meets a row that something else wrote.
fn play(seed: u64) {
    let mut rng = Rng::with_seed(seed ^ 0x4e4d);
    let mut world = World::new(seed, 1, 6);
    world.run(SETTLE_MS);
    let mut jobs = Vec::new();
    for round in 0..30 {
        let id = format!("job-{seed}-{round}");
        world.submit(&id, job(rng.u16(1..8), 1_000, rng.u64(50..1_500)));
        jobs.push(id);
        world.run(rng.u64(50..500));
        if rng.u32(0..4) == 0 {
            let lives = world.lives();
            world.crash(&lives[rng.usize(0..lives.len())], rng.u64(50..3_000));
        }
        if round % 3 != 2 {
            continue;
        }
        if seed.is_multiple_of(2) {
            world.reload(0);
        } else {
            world.touch_progress(&jobs[round]);
        }
    }
    world.run(60_000);
    for id in &jobs {
        let state = world.recorded(id);
        let is_over = state == JobState::Completed
            || (state == JobState::Failed && world.may_be_given_up(id));
        assert!(is_over, "seed {seed}: {id} is {state:?}");
    }
}

#[test]
fn reread_old_answers() {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| play(*seed)).is_err();
    let broken: Vec<u64> = (0..SEEDS).filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "{} seeds broke: {broken:?}",
        broken.len()
    );
}

/// What a lost pool leaves behind is the look at whether it wants an owner.
#[test]
fn reread_lost_timers() {
    let mut world = World::new(5, 2, 4);
    world.run(SETTLE_MS);
    world.submit("a", lasting(3, 1));
    world.run(2_000);
    let owner = world.owner_entry().expect("somebody owns the pool");
    world.freeze(owner, 6_000);
    world.run(6_100);
    let state = world.entries[owner].state.as_ref().expect("it is up");
    assert!(state.pool(POOL).is_some_and(|p| p.ownership.is_none()));
    let left = state.timers.iter().map(|(_, _, timer)| *timer);
    let left: Vec<Timer> = left.filter(|t| *t != Timer::Claim).collect();
    assert!(left.is_empty(), "{left:?}");
}

/// What the odd seeds above rest on: a row that something else wrote again makes its owner read all rows.
#[test]
fn reread_touched() {
    let mut world = World::new(1, 1, 6);
    world.run(SETTLE_MS);
    let readings = |world: &World| {
        let pool = world.owner().and_then(|state| state.pool(POOL));
        pool.and_then(|p| p.ownership.as_ref()).map(|t| t.readings)
    };
    for round in 0..10 {
        let id = format!("job-{round}");
        world.submit(&id, job(4, 1_000, 500));
        world.run(200);
        assert!(world.touch_progress(&id), "it is on record");
        world.run(2_000);
    }
    assert!(readings(&world) > Some(1), "a touched row is read again");
}
