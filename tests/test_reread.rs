//! An owner whose rows were changed by another writer reads all of them again, within the same ownership and epoch, and
//! builds a new in-memory state with new keys of workers and tasks. The tests guard against three faults:
//!
//! - Answers and timers carried only the epoch, so those of the old state were applied to the new one. One worker's
//!   report was applied to another worker, whose runs then counted as not running there.
//! - The timers of a lost pool stayed set.
//! - Worker leases were counted from the claim, although this owner had renewed them since. A reading later than one
//!   lease after the claim took them for expired and requeued all running tasks at once.

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::state::Timer;

use crate::world::{job, lasting, World, POOL};

/// Time within which an entry claims the pool, including the wait for a former owner's lease to expire.
const SETTLE_MS: u64 = 8_000;

/// Number of seeds, each of which runs one simulation.
const SEEDS: u64 = 120;

/// Running tasks continue after the rows are read again, even long after the claim.
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
    assert_eq!(world.starts, before, "running tasks are not started again");
}

/// Simulates six hosts. Some workers crash and are replaced by instances with random ids, which changes the sort order
/// of the workers. In every third of the 30 rounds the owner is made to read its rows again: directly for even seeds;
/// for odd ones by rewriting the recorded progress of the round's job, if there is any yet, so that the owner's next
/// commit for it conflicts.
fn simulate(seed: u64) {
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
            let worker_ids = world.worker_ids();
            world.crash(
                &worker_ids[rng.usize(0..worker_ids.len())],
                rng.u64(50..3_000),
            );
        }
        if round % 3 != 2 {
            continue;
        }
        if seed.is_multiple_of(2) {
            world.reload(0);
        } else {
            world.rewrite_progress(&jobs[round]);
        }
    }
    world.run(60_000);
    for id in &jobs {
        let state = world.recorded_state(id);
        let is_over = state == JobState::Completed
            || (state == JobState::Failed && world.may_be_given_up(id));
        assert!(is_over, "seed {seed}: {id} is {state:?}");
    }
}

#[test]
fn reread_old_answers() {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| simulate(*seed)).is_err();
    let broken: Vec<u64> = (0..SEEDS).filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "{} seeds failed: {broken:?}",
        broken.len()
    );
}

/// After an entry has lost a pool, the only timer left is the one that checks whether the pool can be claimed.
#[test]
fn reread_lost_timers() {
    let mut world = World::new(5, 2, 4);
    world.run(SETTLE_MS);
    world.submit("a", lasting(3, 1));
    world.run(2_000);
    let owner = world.owner_entry().expect("the pool has an owner");
    world.freeze(owner, 6_000);
    world.run(6_100);
    let state = world.entries[owner]
        .state
        .as_ref()
        .expect("the entry is up");
    assert!(state.pool(POOL).is_some_and(|p| p.ownership.is_none()));
    let timers_left = state.timers.iter().map(|(_, _, timer)| *timer);
    let timers_left: Vec<Timer> = timers_left.filter(|t| *t != Timer::Claim).collect();
    assert!(timers_left.is_empty(), "{timers_left:?}");
}

/// Checks the condition that odd seeds of [`simulate`] rely on: after another writer has rewritten a row, its owner
/// reads all rows again.
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
        assert!(
            world.rewrite_progress(&id),
            "the job's progress is recorded"
        );
        world.run(2_000);
    }
    assert!(
        readings(&world) > Some(1),
        "a rewritten row makes its owner read again"
    );
}
