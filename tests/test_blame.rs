//! Whom a worker's end is put down to. Callers lost work that did no harm: a host crashed after its wave's slot was taken
//! and before its upkeep was ordered; its next life was open, got work, and the upkeep ended that 50 ms later, as
//! planned. The same end then counted as a crash under each task there. `upkeep-ordered` between `task-placed` and
//! `task-suspected` "blamed" for the same host, twice, and `job-ended` "workers crash under a task" told so.

use std::collections::HashSet;

use rockwick::core::sched::job::JobState;

use crate::world::{job, lasting, World};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Runs the world until a host holds a slot of wave 1 that was not ordered yet.
fn slot_taken(world: &mut World) -> String {
    for _ in 0..4_000 {
        world.run(5);
        if let Some(host) = world.find_waiting_slot(1) {
            return host;
        }
    }
    panic!("no slot was taken");
}

/// A host's next life gets nothing while its upkeep is still to come.
#[test]
fn blame_upkeep() {
    for seed in 0..20 {
        let mut world = World::new(seed, 2, 4);
        world.run(SETTLE_MS);
        world.wave(1, 60_000, 1);
        let host = slot_taken(&mut world);
        let life = world.worker_on(&host).expect("it is up");
        world.crash(&life, 60 + seed * 20);
        for n in 0..60 {
            world.submit(&format!("job-{n}"), job(4, 900, 600));
            world.run(50);
        }
        assert_eq!(
            world.runs_ended_by_upkeep, 0,
            "seed {seed}: runs ended by upkeep"
        );
        world.run(60_000);
        for n in 0..60 {
            let state = world.recorded(&format!("job-{n}"));
            assert_eq!(state, JobState::Completed, "seed {seed}: job-{n}");
        }
    }
}

/// A task that takes longer to bring its worker down than half of its estimate costs three workers, with one owner that
/// hears each worker until its connections end.
#[test]
fn blame_slow() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.make_crasher("bad", 0, 380);
        world.submit("bad", job(3, 900, 500));
        world.run(60_000);
        assert!(world.recorded("bad").is_final(), "seed {seed}");
        assert!(
            world.crashes.workers <= 3,
            "seed {seed}: {} workers",
            world.crashes.workers
        );
    }
}

/// A service that brings down each worker that starts it ends with its job: nothing is shown as running where nothing is.
#[test]
fn blame_lone_service() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.make_crasher("bad", 0, 10);
        world.submit("bad", lasting(1, 1));
        world.run(60_000);
        assert_eq!(world.recorded("bad"), JobState::Failed, "seed {seed}");
    }
}

/// What workers that go down and up by turns do to services: tasks away and left alone, and workers' starts that were lost.
fn flapping(seed: u64) -> (usize, u64) {
    let mut world = World::new(seed, 2, 8);
    let mut rng = fastrand::Rng::with_seed(seed);
    world.run(SETTLE_MS);
    for n in 0..3 {
        world.submit(&format!("service-{n}"), lasting(4, 1));
    }
    world.run(300);
    for _ in 0..60 {
        for life in world.lives() {
            if rng.u32(0..3) == 0 {
                world.crash(&life, rng.u64(300..900));
            }
        }
        world.run(rng.u64(300..900));
    }
    let starts = world.starts;
    world.run(30_000);
    let at_work: usize = (0..3).map(|n| world.running(&format!("service-{n}"))).sum();
    (12 - at_work, starts)
}

/// Services are at work again once workers stay up, whatever they met before.
#[test]
fn blame_flapping() {
    let mut sum = (0, 0);
    for seed in 0..20 {
        let (away, starts) = flapping(seed);
        sum = (sum.0 + away, sum.1 + starts);
    }
    println!("left alone {} of 240, starts {}", sum.0, sum.1);
    assert_eq!(sum.0, 0);
}

/// A service that was sound for long and then brings down each worker that starts it is left alone, too.
#[test]
fn blame_sound_before() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.submit("bad", lasting(3, 1));
        world.run(20_000);
        assert_eq!(world.running("bad"), 3, "seed {seed}");
        world.make_crasher("bad", 0, 10);
        let life = world.life_of("bad", 0).expect("it runs");
        world.crash(&life, 3_400);
        world.run(60_000);
        assert_eq!(world.running("bad"), 2, "seed {seed}");
    }
}

/// An end by upkeep counts under no task, also where the host is known to be back before its next life is listed: workers
/// state themselves each 1.5 s, and the list of hosts tells at once. What is left on a host is stopped before it goes, so that
/// upkeep itself ends nothing.
#[test]
fn blame_listed_late() {
    let mut upkept = 0;
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 4);
        world.run(SETTLE_MS);
        for n in 0..6 {
            world.submit(&format!("job-{n}"), job(4, 900, 20_000));
        }
        world.run(100);
        world.wave(1, 60_000, 1);
        world.worker_events_late_ms = 1_500;
        world.run(15_000);
        upkept += world.upkept.values().map(HashSet::len).sum::<usize>();
        assert_eq!(
            world.runs_ended_by_upkeep, 0,
            "seed {seed}: runs that upkeep ended"
        );
        assert_eq!(world.counted(), 0, "seed {seed}: ends by upkeep counted");
    }
    assert!(upkept > 0, "no host had its upkeep");
}
