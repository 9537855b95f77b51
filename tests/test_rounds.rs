//! A round of a timed job may end before an earlier one does. If the recorded progress names only the open rounds, an
//! ended round with a higher number than all of them looks as if it had never begun, and the next owner begins it
//! again. With the owner killed 4 to 8 s after the job was submitted, 9 of the 120 seeds below failed.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::rows::{self, ProgressRow};
use rockwick::port::fleet::TaskName;

use crate::world::{job, with_schedule, World, WALL_MS};

/// Time within which an entry has claimed the pool, also after a lease expired.
const SETTLE_MS: u64 = 8_000;

/// Time from one round to the next, short enough that several overlap.
const APART_MS: u64 = 300;

/// Number of seeds; each gives a world of its own.
const SEEDS: u64 = 120;

/// The first round outlasts the owner, and three others end before the owner is killed.
#[test]
fn rounds_end_once() {
    let mut world = World::new(1, 2, 4);
    world.run(SETTLE_MS);
    let first = TaskName {
        job: "a".to_string(),
        round: 0,
        step: 0,
        index: 0,
    };
    world.run_ms.insert(first, 9_000);
    let due_wall_ms = WALL_MS + world.now_ms;
    world.submit(
        "a",
        with_schedule(job(1, 1_000, 500), 4, due_wall_ms, APART_MS),
    );
    world.run(4_000);
    assert_eq!((world.starts, world.running("a")), (4, 1));
    world.kill(world.owner_entry().expect("the pool has an owner"));
    world.run(SETTLE_MS);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
    assert_eq!(world.starts, 4, "no round begins twice");
}

fn simulate(seed: u64) {
    let mut world = World::new(seed, 3, 6);
    world.run(SETTLE_MS);
    world.run(1_000);
    let due_wall_ms = WALL_MS + world.now_ms;
    world.submit(
        "a",
        with_schedule(job(2, 1_000, 3_000), 8, due_wall_ms, APART_MS),
    );
    world.run(4_000 + seed % 5 * 1_000);
    world.kill(world.owner_entry().expect("the pool has an owner"));
    world.run(30_000);
    assert_eq!(
        world.recorded_state("a"),
        JobState::Completed,
        "seed {seed}"
    );
}

#[test]
fn rounds_owner_killed() {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| simulate(*seed)).is_err();
    let broken: Vec<u64> = (0..SEEDS).filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "{} seeds failed: {broken:?}",
        broken.len()
    );
}

/// Rows of an older version name no round beyond the last that they list.
#[test]
fn rounds_old_rows() {
    let row = |text: &str| rows::decode::<ProgressRow>(text.as_bytes()).expect("the row decodes");
    let open =
        row(r#"{"state":"Running","rounds":[{"round":0,"steps":[]},{"round":3,"steps":[]}]}"#);
    assert_eq!((open.rounds_begun, open.first_unbegun_round()), (0, 4));
    let between = row(r#"{"state":"Running","rounds_done":2}"#);
    assert_eq!(
        (between.rounds_begun, between.first_unbegun_round()),
        (0, 2)
    );
}
