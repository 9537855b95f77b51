//! A task that waits although a worker has room for it is logged with the reason, and starts within the platform's
//! bounds.

use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows;
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::task_waits::{self, WaitReason, LOGGED_AFTER_MS};
use rockwick::event::{Code, Decision};
use rockwick::port::fleet::StoredRow;

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, lasting, listed_worker, Faults, LongWaits, World, POOL};

/// The owner's epoch.
const EPOCH: u64 = 7;

/// When the jobs arrive.
const START_MS: u64 = 1_000;

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Time without disruption after which a task with room must have started.
const CALM_WAIT_MS: u64 = 7_000;

/// Returns a pool with one answering worker that gets no tasks for a while, and `jobs` jobs of `tasks` tasks each.
fn pool_with_suspended_worker(jobs: usize, tasks: u16) -> (PoolState, WorkerKey) {
    let mut pool_state = PoolState::default();
    let worker = add_answering_worker(&mut pool_state, listed_worker("life-1", "host"));
    pool_state.workers[worker].suspended_until_ms = u64::MAX;
    for n in 0..jobs {
        let row = StoredRow {
            part: POOL.to_string(),
            key: format!("job-{n}"),
            value: Some(rows::encode(&job(tasks, 100, 500))),
            revision: EPOCH + 1,
        };
        decide(START_MS, |ctx| {
            load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
            place::place(&mut pool_state, ctx);
        });
    }
    (pool_state, worker)
}

/// Logs the waits at a time, and returns the lines.
fn waits_at(pool_state: &mut PoolState, now_ms: u64) -> Vec<Decision> {
    let effects = decide(now_ms, |ctx| task_waits::log(pool_state, ctx));
    let decisions = effects.into_iter().filter_map(|effect| match effect {
        Effect::Log(decision) => Some(decision),
        _ => None,
    });
    decisions.filter(|d| d.code == Code::TaskWaits).collect()
}

fn first_task(pool_state: &PoolState) -> TaskKey {
    pool_state.ready.first().expect("a task waits").task
}

#[test]
fn waits_name_reason() {
    let (mut pool_state, _) = pool_with_suspended_worker(1, 1);
    let early = waits_at(&mut pool_state, START_MS + LOGGED_AFTER_MS - 1);
    assert!(early.is_empty(), "{early:?}");
    let lines = waits_at(&mut pool_state, START_MS + LOGGED_AFTER_MS + 1_000);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0].why, WaitReason::Suspension.why());
    assert!(lines[0].is_about(rockwick::event::Subject::Job, "job-0"));
    let waited_ms = lines[0].figures.iter().find(|(key, _)| key == "waited_ms");
    assert_eq!(waited_ms.map(|(_, ms)| *ms), Some(LOGGED_AFTER_MS + 1_000));
    let until = WaitReason::Suspension.ends_by().to_string();
    assert!(lines[0].names.contains(&("until", until)));
}

#[test]
fn waits_are_bounded() {
    let (mut pool_state, _) = pool_with_suspended_worker(50, 20);
    let lines: Vec<Decision> = (0..40)
        .flat_map(|n| waits_at(&mut pool_state, START_MS + LOGGED_AFTER_MS + n * 250))
        .collect();
    assert!(
        (1..=40).contains(&lines.len()),
        "{} lines in 10 s",
        lines.len()
    );
    let mut tasks: Vec<_> = lines.iter().map(|d| (&d.id, &d.figures[2])).collect();
    tasks.sort();
    tasks.dedup();
    assert_eq!(tasks.len(), lines.len(), "a task is logged once in 10 s");
}

#[test]
fn waits_need_room() {
    let (mut pool_state, worker) = pool_with_suspended_worker(1, 1);
    pool_state.workers[worker].info.capacity.cpu_milli = 50;
    let lines = waits_at(&mut pool_state, START_MS + LOGGED_AFTER_MS);
    assert!(lines.is_empty(), "{lines:?}");
}

#[test]
fn waits_name_turn() {
    let (mut pool_state, worker) = pool_with_suspended_worker(1, 1);
    pool_state.workers[worker].suspended_until_ms = 0;
    let lines = waits_at(&mut pool_state, START_MS + LOGGED_AFTER_MS);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0].why, WaitReason::Turn.why());
    let task = first_task(&pool_state);
    decide(START_MS + LOGGED_AFTER_MS, |ctx| {
        place::place(&mut pool_state, ctx)
    });
    assert!(pool_state.task(task).is_some_and(|t| t.run == 1));
}

/// Returns a world in which the start of the only task of `a` got no answer and its worker is then lost for good.
fn world_with_lost_start(seed: u64) -> World {
    let mut world = World::new(seed, 1, 4);
    world.keeps_log = true;
    world.run(SETTLE_MS);
    world.faults = Faults {
        order_lost: 1_000,
        ..Faults::default()
    };
    world.submit("a", job(1, 1_000, 500));
    world.run(600);
    let pool_state = world.owner_pool_state().expect("the pool is owned");
    let task = pool_state.jobs[pool_state.jobs_by_id["a"]].rounds[&0].steps[0].tasks[0].clone();
    let worker = task.phase.worker().expect("the task is placed");
    let id = pool_state.workers[worker].info.id.clone();
    world.crash(&id, u64::MAX >> 8);
    world.faults = Faults::default();
    world
}

/// Guards against a wait that the log doesn't explain.
#[test]
fn waits_name_binding() {
    let mut world = world_with_lost_start(1);
    world.run(12_000);
    let mut lines = world.log.iter().filter(|d| d.code == Code::TaskWaits);
    let line = lines.next_back().expect("the wait is logged");
    assert_eq!(line.why, WaitReason::Binding.why());
    assert!(line.names.iter().any(|(what, _)| *what == "bound_to"));
}

/// Guards against a task that waits with room after its start got no answer and its worker was lost for good.
#[test]
fn waits_lost_start() {
    for seed in 0..10 {
        let mut world = world_with_lost_start(seed);
        let lost_ms = world.now_ms;
        while world.starts == 0 && world.now_ms < lost_ms + 60_000 {
            world.run(100);
        }
        let waited_ms = world.now_ms - lost_ms;
        assert!(
            waited_ms <= CALM_WAIT_MS,
            "seed {seed}: started {waited_ms} ms after its worker was lost"
        );
    }
}

/// Number of jobs that arrive in 100 ms on average; each takes a core for half a second, so that half of the pool is busy.
const JOBS_PER_LOOK: u64 = 5;

/// Demand comes by turns: five times its mean for 4 s, more than the pool holds, and a twentieth of it in between.
/// Whatever waits beyond the room starts within 3 s once there is room, and every job ends.
#[test]
fn waits_demand_turns() {
    for seed in 0..3 {
        let mut world = World::new(seed, 2, 4);
        let mut waits = LongWaits::default();
        let mut jobs = Vec::new();
        world.run(SETTLE_MS);
        for look in 0..480_u64 {
            let is_peak = look % 160 < 40;
            let arriving = match is_peak {
                true => JOBS_PER_LOOK * 5,
                false => u64::from(look % 4 == 0),
            };
            for n in 0..arriving {
                let id = format!("job-{look}-{n}");
                world.submit(&id, job(1, 1_000, 500));
                jobs.push(id);
            }
            world.run_watched(100, &jobs, &mut waits);
            jobs.retain(|id| !world.has_ended_in_memory(id));
        }
        world.run_watched(20_000, &jobs, &mut waits);
        assert!(waits.found.is_empty(), "seed {seed}: {:?}", waits.found);
        jobs.retain(|id| !world.has_ended_in_memory(id));
        assert!(jobs.is_empty(), "seed {seed}: {} jobs are left", jobs.len());
    }
}

/// Guards against a job that waits with room behind thousands of tasks that no worker may take.
#[test]
fn waits_behind_barred() {
    let mut world = World::new(1, 1, 4);
    world.run(SETTLE_MS);
    for n in 0..8 {
        let mut spec = lasting(2_000, 1);
        spec.steps[0].cpu_milli = 10;
        spec.steps[0].mem_mb = 1;
        world.submit(&format!("wide-{n}"), spec);
    }
    world.run(SETTLE_MS);
    let mut waits = LongWaits::default();
    for n in 0..10 {
        let id = format!("small-{n}");
        world.submit(&id, job(1, 1_000, 500));
        world.run_watched(1_300, &[id], &mut waits);
    }
    let jobs: Vec<String> = (0..10).map(|n| format!("small-{n}")).collect();
    world.run_watched(10_000, &jobs, &mut waits);
    assert!(waits.found.is_empty(), "{:?}", waits.found);
}
