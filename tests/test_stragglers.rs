//! Workers that hang or run slowly while they renew their leases: their runs move to other workers, and jobs end in
//! time. The world checks that a task has one run at a time.

use std::collections::VecDeque;

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::event::Code;

use crate::world::{job, lasting, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Longest time of a stop in these worlds.
const STOP_MS: u64 = 400;

/// Time after which a job without its end counts as late; its objective is 1.2 s.
const LATE_MS: u64 = 3_000;

/// Returns a world with a settled owner and 12 workers that report progress.
fn settled_world(seed: u64, stop_ms: u64) -> World {
    let mut world = World::with_speeds(seed, 2, 12, stop_ms);
    world.keeps_log = true;
    world.run(SETTLE_MS);
    world
}

/// Returns the `n` workers with the most runs.
fn busiest(world: &World, n: usize) -> Vec<String> {
    let mut ids = world.worker_ids();
    ids.sort_by_key(|id| std::cmp::Reverse(world.running_on(id)));
    ids.truncate(n);
    ids
}

fn count(world: &World, code: Code) -> usize {
    world.log.iter().filter(|d| d.code == code).count()
}

/// Submits four jobs every 100 ms for `ms` and returns how many were late.
fn count_late(world: &mut World, ms: u64) -> usize {
    let mut open: VecDeque<(u64, String)> = VecDeque::new();
    let until_ms = world.now_ms + ms;
    let mut late = 0;
    while world.now_ms < until_ms || !open.is_empty() {
        if world.now_ms < until_ms {
            for n in 0..4 {
                let id = format!("job-{}-{n}", world.now_ms);
                world.submit(&id, job(2, 1_500, 400));
                open.push_back((world.now_ms, id));
            }
        }
        world.run(100);
        while open
            .front()
            .is_some_and(|(at_ms, _)| world.now_ms >= at_ms + LATE_MS)
        {
            let (_, id) = open.pop_front().expect("an open job");
            late += usize::from(world.recorded_state(&id) != JobState::Completed);
        }
    }
    late
}

/// Plays a load during which a sixth of the workers have `speed_milli` for 8 s, and returns the number of late jobs.
fn late_beside(seed: u64, stop_ms: u64, speed_milli: u64) -> usize {
    let mut world = settled_world(seed, stop_ms);
    let mut late = count_late(&mut world, 3_000);
    let ids = busiest(&world, 2);
    for id in &ids {
        world.set_speed(id, speed_milli);
    }
    late += count_late(&mut world, 8_000);
    for id in &ids {
        world.set_speed(id, 1_000);
    }
    late + count_late(&mut world, 3_000)
}

#[test]
fn stragglers_hung_workers() {
    for seed in 0..4 {
        let (before, now) = (late_beside(seed, 0, 0), late_beside(seed, STOP_MS, 0));
        assert!(before >= 6, "seed {seed}: {before} late before");
        assert!(
            now * 3 <= before,
            "seed {seed}: {now} late, {before} before"
        );
    }
}

#[test]
fn stragglers_slow_workers() {
    for seed in 0..4 {
        let (before, now) = (late_beside(seed, 0, 125), late_beside(seed, STOP_MS, 125));
        assert!(before >= 15, "seed {seed}: {before} late before");
        assert!(
            now * 5 <= before,
            "seed {seed}: {now} late, {before} before"
        );
    }
}

/// Durations from half to twice the estimate are no reason to move anything.
#[test]
fn stragglers_calm_day() {
    for seed in 0..6 {
        let mut world = settled_world(seed, STOP_MS);
        count_late(&mut world, 10_000);
        assert_eq!(count(&world, Code::RunMoved), 0, "seed {seed}");
    }
}

/// If all workers are slow, the estimates are wrong.
#[test]
fn stragglers_all_slow() {
    let mut world = settled_world(1, STOP_MS);
    for id in world.worker_ids() {
        world.set_speed(&id, 250);
    }
    count_late(&mut world, 8_000);
    assert_eq!(count(&world, Code::WorkerSlow), 0);
    assert_eq!(count(&world, Code::RunMoved), 0);
}

/// However many workers are slow, at most a quarter of them is paused.
#[test]
fn stragglers_part_paused() {
    let mut world = settled_world(2, STOP_MS);
    for n in 0..80 {
        world.submit(&format!("job-{n}"), job(8, 3_000, 400));
        world.run(100);
        if n == 30 {
            for id in busiest(&world, 5) {
                world.set_speed(&id, 50);
            }
        }
        let now_ms = world.now_ms;
        let pool_state = world.owner_pool_state().expect("the pool has an owner");
        let workers = pool_state.workers.values();
        let paused = workers.filter(|w| now_ms < w.suspended_until_ms).count();
        assert!(paused <= 6, "{paused} workers are paused");
    }
    assert!(count(&world, Code::WorkerSlow) > 0);
}

/// Lasting tasks show no progress and stay where they are.
#[test]
fn stragglers_lasting_stay() {
    let mut world = settled_world(3, STOP_MS);
    world.submit("lasting", lasting(10, 2));
    world.run(8_000);
    let starts = world.starts;
    for id in &world.worker_ids()[..2] {
        world.set_speed(id, 0);
    }
    world.run(8_000);
    assert_eq!(world.starts, starts);
}

/// The owner ends after it ordered a run to stop: the task still has one run at a time, and completes.
#[test]
fn stragglers_owner_killed() {
    for seed in 0..6 {
        let mut world = settled_world(seed, STOP_MS);
        count_late(&mut world, 3_000);
        world.submit("moved", job(24, 3_000, 400));
        world.run(100);
        for id in busiest(&world, 2) {
            world.set_speed(&id, 0);
        }
        world.faults.order_lost = 500;
        world.faults.order_late = 500;
        let until_ms = world.now_ms + 5_000;
        while count(&world, Code::RunMoved) == 0 && world.now_ms < until_ms {
            world.run(5);
        }
        let owner = world.owner_entry().expect("the pool has an owner");
        world.kill(owner);
        world.boot(owner);
        world.faults.order_lost = 0;
        world.restore_speeds();
        world.run(20_000);
        assert_eq!(world.recorded_state("moved"), JobState::Completed);
    }
}

/// Random speeds beside lost and late orders, crashes, cut workers and owners that end. The world checks each start.
#[test]
fn stragglers_random() {
    for seed in 0..30 {
        let mut rng = Rng::with_seed(seed);
        let mut world = settled_world(seed, STOP_MS);
        world.faults.order_lost = 60;
        world.faults.order_late = 300;
        world.faults.store_lost = 20;
        for round in 0..24 {
            for n in 0..3 {
                world.submit(&format!("job-{round}-{n}"), job(6, 2_000, 500));
            }
            let ids = world.worker_ids();
            let id = &ids[rng.usize(..ids.len())];
            match rng.u32(0..8) {
                0..=3 => world.set_speed(id, [0, 50, 125, 1_000][rng.usize(..4)]),
                4 => world.crash(id, 700),
                5 => world.disconnect_worker(id, 1_500),
                6 => {
                    let n = rng.usize(..2);
                    world.kill(n);
                    world.boot(n);
                }
                _ => world.cancel(&format!("job-{}-0", round / 2)),
            }
            world.run(rng.u64(200..1_200));
        }
        world.faults = Default::default();
        world.restore_speeds();
        world.run(30_000);
        for round in 0..24 {
            let id = format!("job-{round}-1");
            assert_eq!(
                world.recorded_state(&id),
                JobState::Completed,
                "seed {seed} {id}"
            );
        }
    }
}
