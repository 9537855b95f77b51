//! A task may bring down each worker that starts it. Callers saw one queue stall: a job's first task took a worker of
//! 16 cores with up to 17 other tasks 10 ms after each start, 27 times in 90 seconds. Each life that ended sent all its
//! tasks back to wait, and nothing counted that: only ends that a worker lists as failed did, and a crashed worker
//! lists none. `worker-over` with "a later life of its host answers" and `task-requeued` for run 1, 2, 3 to 27 of the
//! same task, under one owner, settled it.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::rows::{self, TaskProgress, TaskRow};
use rockwick::core::sched::tasks::WorkerLosses;

use crate::world::{job, lasting, World};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// How long after its start a task brings its worker down.
const CRASH_MS: u64 = 10;

/// The promise on starts is checked by the world as it runs.
#[test]
fn crashes_stop() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.make_crasher("bad", 0, CRASH_MS);
        world.submit("bad", job(6, 900, 400));
        world.run(60_000);
        assert_eq!(world.recorded("bad"), JobState::Failed, "seed {seed}");
    }
}

/// Other jobs go on beside it, and are not taken for the cause.
#[test]
fn crashes_spare_others() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        for n in 0..8 {
            world.submit(&format!("good-{n}"), job(6, 900, 1_500));
        }
        world.run(150);
        world.make_crasher("bad", 0, CRASH_MS);
        world.submit("bad", job(6, 900, 400));
        world.run(60_000);
        assert_eq!(world.recorded("bad"), JobState::Failed, "seed {seed}");
        for n in 0..8 {
            let state = world.recorded(&format!("good-{n}"));
            assert_eq!(state, JobState::Completed, "seed {seed}: good-{n}");
        }
    }
}

/// A new owner goes on from what is on record of it.
#[test]
fn crashes_across_owners() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 6);
        world.run(SETTLE_MS);
        world.make_crasher("bad", 0, CRASH_MS);
        world.submit("bad", job(6, 900, 400));
        for _ in 0..12 {
            world.run(3_000 + 300 * seed);
            if let Some(owner) = world.owner_entry() {
                world.kill(owner);
                world.boot(owner);
            }
        }
        world.run(60_000);
        assert_eq!(world.recorded("bad"), JobState::Failed, "seed {seed}");
    }
}

/// The others of a step that lasts go on, and the one that crashes workers is left alone.
#[test]
fn crashes_of_lasting() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.make_crasher("bad", 0, CRASH_MS);
        world.submit("bad", lasting(4, 1));
        world.run(60_000);
        assert_eq!(world.running("bad"), 3, "seed {seed}");
        assert_eq!(world.recorded("bad"), JobState::Running, "seed {seed}");
        let owner = world.owner_entry().expect("it is owned");
        world.kill(owner);
        world.run(20_000);
        assert_eq!(world.running("bad"), 3, "seed {seed}: the next owner");
    }
}

/// A member of a gang brings its worker down: the gang is started no more often than a task of its own.
#[test]
fn crashes_of_gang() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.make_crasher("bad", 1, CRASH_MS);
        let mut gang = job(3, 6_000, 400);
        gang.steps[0].gang = true;
        world.submit("bad", gang);
        world.run(60_000);
        assert_eq!(world.recorded("bad"), JobState::Failed, "seed {seed}");
    }
}

/// Workers that are cut off and come back again and again crash under nobody.
#[test]
fn crashes_not_cuts() {
    for seed in 0..10 {
        let mut world = World::new(seed, 1, 2);
        world.run(SETTLE_MS);
        world.submit("good", job(2, 900, 4_000));
        for _ in 0..8 {
            world.run(2_000);
            for life in world.lives() {
                world.cut_worker(&life, 5_500);
            }
            world.run(6_500);
        }
        world.run(60_000);
        let state = world.recorded("good");
        assert_eq!(state, JobState::Completed, "seed {seed}");
    }
}

/// Rows of entries of an earlier version tell nothing of ended lives; a row without any is as short as theirs.
#[test]
fn crashes_on_record() {
    let old: TaskRow = rows::decode(br#"[3,1,"i"]"#).expect("it decodes");
    assert_eq!(old, TaskRow(3, 1, TaskProgress::Idle, WorkerLosses::NONE));
    assert_eq!(rows::encode(&old), br#"[3,1,"i"]"#);
    let ended = WorkerLosses {
        blamed: 1,
        crashed: 1,
        all: 2,
        ..WorkerLosses::NONE
    };
    let row = TaskRow(4, 0, TaskProgress::Started(2), ended);
    let again: TaskRow = rows::decode(&rows::encode(&row)).expect("it decodes");
    assert_eq!(again, row);
}

/// What a load with such tasks in it came to.
#[derive(Debug, Default)]
struct Outcome {
    /// Jobs of others that were given up.
    spoiled: u32,
    /// Jobs of others that were done.
    done: u32,
    /// Jobs with such a task.
    bad: u32,
    /// Workers brought down.
    workers: u32,
    /// Runs of others that ended with them.
    runs: u32,
}

/// A busy pool for half a minute: one job in 30 has a task that brings its worker down.
fn load(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut world = World::new(seed, 2, 16);
    world.run(SETTLE_MS);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for n in 0..300 {
        let id = format!("job-{n}");
        let is_bad = rng.u32(0..30) == 0;
        if is_bad {
            world.make_crasher(&id, rng.u16(0..8), rng.u64(2..40));
        }
        world.submit(&id, job(8, 900, 1_000));
        jobs.push((id, is_bad));
        world.run(100);
    }
    world.run(60_000);
    for (id, is_bad) in jobs {
        let state = world.recorded(&id);
        assert!(state.is_final(), "seed {seed}: {id} is {state:?}");
        match (is_bad, state) {
            (true, _) => outcome.bad += 1,
            (false, JobState::Completed) => outcome.done += 1,
            (false, _) => outcome.spoiled += 1,
        }
    }
    outcome.workers = world.crashes.workers;
    outcome.runs = world.crashes.runs;
    outcome
}

/// Each such task costs two workers, and next to no job of others is given up.
#[test]
fn crashes_load() {
    let mut sum = Outcome::default();
    for seed in 0..8 {
        let one = load(seed);
        sum.spoiled += one.spoiled;
        sum.done += one.done;
        sum.bad += one.bad;
        sum.workers += one.workers;
        sum.runs += one.runs;
    }
    println!("{sum:?}");
    assert!(sum.spoiled * 200 <= sum.done, "{sum:?}");
    assert!(sum.workers <= sum.bad * 5 / 2, "{sum:?}");
}
