//! Guards against blaming tasks for ends of workers that they did not cause.
//!
//! Harmless jobs were given up: a host crashed after its wave's slot was taken and before its maintenance was ordered.
//! Its next instance was open and got work, and the planned maintenance ended that work 50 ms later, which counted as
//! a crash under each task. The log showed `upkeep-ordered` between `task-placed` and `task-suspected` "blamed" for the
//! same host, twice, and `job-ended` "workers crash under a task".

use std::collections::HashSet;

use rockwick::core::sched::job::JobState;

use crate::world::{job, lasting, World};

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// Runs the world until a host has a slot of wave 1 and is not ordered out yet, and returns the host.
fn wait_for_slot(world: &mut World) -> String {
    for _ in 0..4_000 {
        world.run(5);
        if let Some(host) = world.find_host_with_waiting_slot(1) {
            return host;
        }
    }
    panic!("no host got a slot");
}

/// A host's next instance must get no work while its maintenance is pending.
#[test]
fn blame_upkeep() {
    for seed in 0..20 {
        let mut world = World::new(seed, 2, 4);
        world.run(SETTLE_MS);
        world.order_wave(1, 60_000, 1);
        let host = wait_for_slot(&mut world);
        let worker_id = world.worker_on(&host).expect("the worker is up");
        world.crash(&worker_id, 60 + seed * 20);
        for n in 0..60 {
            world.submit(&format!("job-{n}"), job(4, 900, 600));
            world.run(50);
        }
        assert_eq!(
            world.runs_ended_by_upkeep, 0,
            "seed {seed}: runs ended by maintenance"
        );
        world.run(60_000);
        for n in 0..60 {
            let state = world.recorded_state(&format!("job-{n}"));
            assert_eq!(state, JobState::Completed, "seed {seed}: job-{n}");
        }
    }
}

/// A task that crashes its worker after more than half of its estimate must cost at most three workers, if the owner
/// stays the same and hears each worker until the worker's connections end.
#[test]
fn blame_slow() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.set_crashing_task("bad", 0, 380);
        world.submit("bad", job(3, 900, 500));
        world.run(60_000);
        assert!(world.recorded_state("bad").is_final(), "seed {seed}");
        assert!(
            world.crashes.workers <= 3,
            "seed {seed}: {} workers",
            world.crashes.workers
        );
    }
}

/// A service that crashes each worker that starts it must end with its job, which must not stay recorded as running.
#[test]
fn blame_lone_service() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.set_crashing_task("bad", 0, 10);
        world.submit("bad", lasting(1, 1));
        world.run(60_000);
        assert_eq!(world.recorded_state("bad"), JobState::Failed, "seed {seed}");
    }
}

/// Crashes workers again and again under services. Returns the number of tasks that are not running 30 s after the
/// last crash, and the number of starts until the workers stay up.
fn play_flapping(seed: u64) -> (usize, u64) {
    let mut world = World::new(seed, 2, 8);
    let mut rng = fastrand::Rng::with_seed(seed);
    world.run(SETTLE_MS);
    for n in 0..3 {
        world.submit(&format!("service-{n}"), lasting(4, 1));
    }
    world.run(300);
    for _ in 0..60 {
        for worker_id in world.worker_ids() {
            if rng.u32(0..3) == 0 {
                world.crash(&worker_id, rng.u64(300..900));
            }
        }
        world.run(rng.u64(300..900));
    }
    let starts = world.starts;
    world.run(30_000);
    let at_work: usize = (0..3).map(|n| world.running(&format!("service-{n}"))).sum();
    (12 - at_work, starts)
}

/// Services must be at work again once workers stay up, however often their workers crashed.
#[test]
fn blame_flapping() {
    let mut sum = (0, 0);
    for seed in 0..20 {
        let (away, starts) = play_flapping(seed);
        sum = (sum.0 + away, sum.1 + starts);
    }
    println!("not running: {} of 240, starts: {}", sum.0, sum.1);
    assert_eq!(sum.0, 0);
}

/// A task of a service that ran well for long and then crashes each worker that starts it must be given up as well.
#[test]
fn blame_sound_before() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.submit("bad", lasting(3, 1));
        world.run(20_000);
        assert_eq!(world.running("bad"), 3, "seed {seed}");
        world.set_crashing_task("bad", 0, 10);
        let worker_id = world.worker_running("bad", 0).expect("the task runs");
        world.crash(&worker_id, 3_400);
        world.run(60_000);
        assert_eq!(world.running("bad"), 2, "seed {seed}");
    }
}

/// An end by maintenance must not count as a crash, even if the host is known to be back before its next instance is
/// listed: workers send heartbeats every 1.5 s, while the list of hosts changes at once. Runs left on a host are
/// stopped before it goes, so the maintenance itself must end none.
#[test]
fn blame_listed_late() {
    let mut maintained_hosts = 0;
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 4);
        world.run(SETTLE_MS);
        for n in 0..6 {
            world.submit(&format!("job-{n}"), job(4, 900, 20_000));
        }
        world.run(100);
        world.order_wave(1, 60_000, 1);
        world.worker_events_late_ms = 1_500;
        world.run(15_000);
        maintained_hosts += world
            .maintained_hosts
            .values()
            .map(HashSet::len)
            .sum::<usize>();
        assert_eq!(
            world.runs_ended_by_upkeep, 0,
            "seed {seed}: runs that maintenance ended"
        );
        assert_eq!(
            world.counted_crashes(),
            0,
            "seed {seed}: ends by maintenance counted as crashes"
        );
    }
    assert!(maintained_hosts > 0, "no host had its maintenance");
}
