//! Guards against endless starts of a task that crashes each worker that starts it.
//!
//! A queue stalled: the first task of a job crashed a worker of 16 cores with up to 17 other tasks 10 ms after each
//! start, 27 times in 90 seconds. All tasks of each ended instance were requeued and nothing counted that, since only
//! ends that a worker lists as failed counted and a crashed worker lists none. The log showed `worker-over`, because a
//! later instance of the host answered, and `task-requeued` for runs 1 to 27 of the same task, under one owner.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::rows::{self, TaskProgress, TaskRow};
use rockwick::core::sched::tasks::WorkerLosses;

use crate::world::{job, lasting, World};

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// How long after its start a task crashes its worker.
const CRASH_MS: u64 = 10;

/// The job must end as failed. The world checks the bound on starts as it runs.
#[test]
fn crashes_stop() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.set_crashing_task("bad", 0, CRASH_MS);
        world.submit("bad", job(6, 900, 400));
        world.run(60_000);
        assert_eq!(world.recorded_state("bad"), JobState::Failed, "seed {seed}");
    }
}

/// Other jobs on the crashed workers must complete and must not be blamed.
#[test]
fn crashes_spare_others() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        for n in 0..8 {
            world.submit(&format!("good-{n}"), job(6, 900, 1_500));
        }
        world.run(150);
        world.set_crashing_task("bad", 0, CRASH_MS);
        world.submit("bad", job(6, 900, 400));
        world.run(60_000);
        assert_eq!(world.recorded_state("bad"), JobState::Failed, "seed {seed}");
        for n in 0..8 {
            let state = world.recorded_state(&format!("good-{n}"));
            assert_eq!(state, JobState::Completed, "seed {seed}: good-{n}");
        }
    }
}

/// A new owner must continue with the recorded crashes, not from zero.
#[test]
fn crashes_across_owners() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 6);
        world.run(SETTLE_MS);
        world.set_crashing_task("bad", 0, CRASH_MS);
        world.submit("bad", job(6, 900, 400));
        for _ in 0..12 {
            world.run(3_000 + 300 * seed);
            if let Some(owner) = world.owner_entry() {
                world.kill(owner);
                world.boot(owner);
            }
        }
        world.run(60_000);
        assert_eq!(world.recorded_state("bad"), JobState::Failed, "seed {seed}");
    }
}

/// The other tasks of a lasting step continue, and the task that crashes workers is given up.
#[test]
fn crashes_of_lasting() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.set_crashing_task("bad", 0, CRASH_MS);
        world.submit("bad", lasting(4, 1));
        world.run(60_000);
        assert_eq!(world.running("bad"), 3, "seed {seed}");
        assert_eq!(
            world.recorded_state("bad"),
            JobState::Running,
            "seed {seed}"
        );
        let owner = world.owner_entry().expect("the pool has an owner");
        world.kill(owner);
        world.run(20_000);
        assert_eq!(world.running("bad"), 3, "seed {seed}: the next owner");
    }
}

/// A gang with a member that crashes workers must be started no more often than a single task.
#[test]
fn crashes_of_gang() {
    for seed in 0..10 {
        let mut world = World::new(seed, 2, 6);
        world.run(SETTLE_MS);
        world.set_crashing_task("bad", 1, CRASH_MS);
        let mut gang = job(3, 6_000, 400);
        gang.steps[0].gang = true;
        world.submit("bad", gang);
        world.run(60_000);
        assert_eq!(world.recorded_state("bad"), JobState::Failed, "seed {seed}");
    }
}

/// Workers that are disconnected and come back again and again must not count as crashed.
#[test]
fn crashes_not_cuts() {
    for seed in 0..10 {
        let mut world = World::new(seed, 1, 2);
        world.run(SETTLE_MS);
        world.submit("good", job(2, 900, 4_000));
        for _ in 0..8 {
            world.run(2_000);
            for worker_id in world.worker_ids() {
                world.disconnect_worker(&worker_id, 5_500);
            }
            world.run(6_500);
        }
        world.run(60_000);
        let state = world.recorded_state("good");
        assert_eq!(state, JobState::Completed, "seed {seed}");
    }
}

/// Rows from an earlier version contain no losses of workers, and a row without losses is as short as before.
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

/// Counts of a load with crashing tasks.
#[derive(Debug, Default)]
struct Outcome {
    /// Harmless jobs that were given up.
    given_up: u32,
    /// Harmless jobs that were done.
    done: u32,
    /// Jobs with a crashing task.
    crashing: u32,
    workers_crashed: u32,
    /// Runs of other tasks that ended in the crashes.
    runs_ended: u32,
}

/// Plays a busy pool for half a minute, in which one job in 30 has a task that crashes its worker.
fn play_load(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut world = World::new(seed, 2, 16);
    world.run(SETTLE_MS);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for n in 0..300 {
        let id = format!("job-{n}");
        let is_bad = rng.u32(0..30) == 0;
        if is_bad {
            world.set_crashing_task(&id, rng.u16(0..8), rng.u64(2..40));
        }
        world.submit(&id, job(8, 900, 1_000));
        jobs.push((id, is_bad));
        world.run(100);
    }
    world.run(60_000);
    for (id, is_bad) in jobs {
        let state = world.recorded_state(&id);
        assert!(state.is_final(), "seed {seed}: {id} is {state:?}");
        match (is_bad, state) {
            (true, _) => outcome.crashing += 1,
            (false, JobState::Completed) => outcome.done += 1,
            (false, _) => outcome.given_up += 1,
        }
    }
    outcome.workers_crashed = world.crashes.workers;
    outcome.runs_ended = world.crashes.runs;
    outcome
}

/// Each crashing task must cost about two workers (at most 2.5 on average), and at most one harmless job in 200 may be
/// given up.
#[test]
fn crashes_load() {
    let mut sum = Outcome::default();
    for seed in 0..8 {
        let one = play_load(seed);
        sum.given_up += one.given_up;
        sum.done += one.done;
        sum.crashing += one.crashing;
        sum.workers_crashed += one.workers_crashed;
        sum.runs_ended += one.runs_ended;
    }
    println!("{sum:?}");
    assert!(sum.given_up * 200 <= sum.done, "{sum:?}");
    assert!(sum.workers_crashed <= sum.crashing * 5 / 2, "{sum:?}");
}
