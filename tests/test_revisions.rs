//! Every answer of the store names the store's newest revision. That is a transaction's own only where no other write came
//! in between; taken for its own, it makes the next condition fail, though nobody else has touched the row. The owner then
//! read all of its rows again within its ownership, while answers and timers of the books before went on: with one commit in
//! twenty answered so, 111 of 150 random worlds broke a promise, many by tasks that ran twice.

use rockwick::core::sched::job::JobState;

use crate::world::{job, lasting, World};

/// Worlds, each with its own draws.
const SEEDS: u64 = 30;

/// Jobs in each.
const JOBS: u64 = 24;

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// One commit in ten.
const AHEAD_MILLI: u32 = 100;

fn play(seed: u64) {
    let mut world = World::new(seed, 3, 6);
    world.answers_ahead = AHEAD_MILLI;
    world.run(SETTLE_MS);
    world.submit("lasting", lasting(3, 1));
    world.wave(1, 30_000, 2);
    for n in 0..JOBS {
        world.submit(&format!("job-{n}"), job(4, 1_000, 700));
        world.run(300);
        let lives = world.lives();
        if n % 8 == 3 {
            world.crash(&lives[seed as usize % lives.len()], 2_000);
        }
        if n == 12 {
            let owner = world.owner_entry();
            owner.into_iter().for_each(|n| world.kill(n));
        }
    }
    world.run(60_000);
    for n in 0..JOBS {
        let id = format!("job-{n}");
        assert_eq!(
            world.recorded(&id),
            JobState::Completed,
            "seed {seed}: {id}"
        );
    }
    assert!(world.waves_done.contains(&1), "seed {seed}: the wave ends");
    assert_eq!(world.running("lasting"), 3, "seed {seed}: it is at work");
}

#[test]
fn revisions_ahead() {
    for seed in 0..SEEDS {
        play(seed);
    }
}
