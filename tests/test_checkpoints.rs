//! Guards against throwing away work that a checkpoint had saved.
//!
//! Eight of ten long jobs renew a checkpoint with every two seconds of work. The owner kept only the text that came with
//! an end, and only in memory: after a worker's crash, a lapsed lease or a change of owner, tasks began from the start.

use rockwick::core::sched::checkpoints::{ROW_BYTES_MAX, ROW_SHARE_BYTES};
use rockwick::core::sched::crashes::Evidence;
use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::job::{JobSpec, JobState, TASKS_MAX};
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows::{self, ProgressRow};
use rockwick::core::sched::runs;
use rockwick::core::sched::starts;
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::port::fleet::{OrderReply, RenewalReport, RunningTask, StoredRow, TaskName};

use crate::decide::{add_answering_worker, decide};
use crate::world::checkpoints::{INTERVAL_MS, RESTORE_MS};
use crate::world::{config, job, listed_worker, World, POOL};

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// Work of the long task.
const WORK_MS: u64 = 20_000;

/// Time between a report of a run and the next, and between an order and its answer.
const REPORT_MS: u64 = 1_000;

fn with_checkpoints(mut spec: JobSpec) -> JobSpec {
    spec.steps[0].checkpoints = true;
    spec
}

/// A world with one long task.
fn long_task(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4);
    world.deployment = Deployment {
        checkpoint_interval_ms: INTERVAL_MS,
        ..Deployment::default()
    };
    for n in 0..world.entries.len() {
        world.kill(n);
        world.boot(n);
    }
    world.run(SETTLE_MS);
    let task = TaskName {
        job: "a".to_string(),
        round: 0,
        step: 0,
        index: 0,
    };
    world.run_ms.insert(task, WORK_MS);
    world.submit("a", with_checkpoints(job(1, 1_000, WORK_MS)));
    world.run(500);
    world
}

fn crash_worker(world: &mut World) {
    let worker = world.worker_running("a", 0).expect("the task runs");
    world.crash(&worker, 5_000);
}

fn finish(mut world: World) -> World {
    world.run(3 * WORK_MS);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
    world
}

#[test]
fn checkpoints_crash() {
    let mut world = long_task(1);
    world.run(12_000);
    crash_worker(&mut world);
    let world = finish(world);
    assert_eq!(world.checkpoints.resumed, 1);
    let most_ms = INTERVAL_MS + RESTORE_MS + REPORT_MS;
    assert!(world.wasted_ms() <= most_ms, "{}", world.wasted_ms());
}

/// The worker is cut off until its lease lapses.
#[test]
fn checkpoints_lapse() {
    let mut world = long_task(2);
    world.run(10_000);
    let worker = world.worker_running("a", 0).expect("the task runs");
    world.disconnect_worker(&worker, 30_000);
    let world = finish(world);
    assert_eq!(world.checkpoints.resumed, 1);
    // The run goes on until its lease ends, unheard.
    let most_ms = INTERVAL_MS + RESTORE_MS + REPORT_MS + 5_000;
    assert!(world.wasted_ms() <= most_ms, "{}", world.wasted_ms());
}

/// All entries are killed, and the worker crashes before the next owner hears it.
#[test]
fn checkpoints_owner_and_worker() {
    let mut world = long_task(3);
    world.run(15_000);
    crash_worker(&mut world);
    for n in 0..world.entries.len() {
        world.kill(n);
        world.boot(n);
    }
    let world = finish(world);
    assert_eq!(world.checkpoints.resumed, 1);
    // At most 10 s pass from one record to the next.
    let most_ms = 10_000 + INTERVAL_MS + RESTORE_MS + REPORT_MS;
    assert!(world.wasted_ms() <= most_ms, "{}", world.wasted_ms());
}

/// A task waits without room after its worker crashed, and its owner is killed: what it reached is on record.
#[test]
fn checkpoints_waiting() {
    let mut world = long_task(4);
    world.run(9_000);
    let worker = world.worker_running("a", 0).expect("the task runs");
    for id in world.worker_ids() {
        if id != worker {
            world.resize(&id, 500);
        }
    }
    world.run(3_000);
    world.crash(&worker, 30_000);
    // The lease of the crashed worker lapses, and no other one has room.
    world.run(10_000);
    assert_eq!(world.worker_running("a", 0), None);
    for n in 0..world.entries.len() {
        world.kill(n);
        world.boot(n);
    }
    let world = finish(world);
    assert_eq!(world.checkpoints.resumed, 1);
    let most_ms = INTERVAL_MS + RESTORE_MS + REPORT_MS;
    assert!(world.wasted_ms() <= most_ms, "{}", world.wasted_ms());
}

/// All hosts leave for maintenance one after the other.
#[test]
fn checkpoints_wave() {
    let mut world = long_task(5);
    world.run(8_000);
    world.order_wave(1, 10_000, 1);
    let world = finish(world);
    let most_ms = 4 * (INTERVAL_MS + RESTORE_MS + REPORT_MS);
    assert!(world.wasted_ms() <= most_ms, "{}", world.wasted_ms());
}

/// A gang continues from one checkpoint, which all members bring.
#[test]
fn checkpoints_gang() {
    let mut world = World::new(6, 2, 4);
    world.run(SETTLE_MS);
    for index in 0..4 {
        let task = TaskName {
            job: "a".to_string(),
            round: 0,
            step: 0,
            index,
        };
        world.run_ms.insert(task, 6_000);
    }
    let mut spec = with_checkpoints(job(4, 8_000, 6_000));
    spec.steps[0].gang = true;
    world.submit("a", spec);
    world.run(4_000);
    crash_worker(&mut world);
    world.run(30_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
    assert_eq!(world.checkpoints.resumed, 4);
}

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// Start times of the earlier and the later instance of a worker.
const BORN_MS: [u64; 2] = [50_000, 60_000];

/// In-memory state of a pool with the job `a` on workers that answer.
struct Scene {
    pool_state: PoolState,
    workers: Vec<WorkerKey>,
    now_ms: u64,
}

impl Scene {
    /// Places the job on workers that take one of its tasks each. The next ones stay free.
    fn new(spec: &JobSpec, workers: usize) -> Self {
        let mut pool_state = PoolState::default();
        let workers = (0..workers).map(|n| {
            let mut info = listed_worker(&format!("i-{n}"), &format!("host-{n}"));
            info.born_wall_ms = Some(BORN_MS[0]);
            add_answering_worker(&mut pool_state, info)
        });
        let workers = workers.collect();
        let row = StoredRow {
            part: POOL.to_string(),
            key: "a".to_string(),
            value: Some(rows::encode(spec)),
            revision: EPOCH + 1,
        };
        let mut scene = Scene {
            pool_state,
            workers,
            now_ms: 1_000,
        };
        scene.decide(|pool_state, ctx| {
            load::apply_intake(pool_state, &row, &config(1), EPOCH, ctx);
        });
        scene.start_all();
        scene
    }

    fn decide(&mut self, work: impl FnOnce(&mut PoolState, &mut Ctx<'_>)) -> Vec<Effect> {
        self.now_ms += 10;
        decide(self.now_ms, |ctx| work(&mut self.pool_state, ctx))
    }

    /// Places what waits and returns the checkpoints that the starts bring, by task.
    fn start_all(&mut self) -> Vec<(u16, String)> {
        let effects = self.decide(|pool_state, ctx| {
            place::place(pool_state, ctx);
            for (task, run) in std::mem::take(&mut pool_state.unsent_starts) {
                starts::send_start(pool_state, task, run, EPOCH, ctx);
            }
        });
        let starts = effects.into_iter().filter_map(|effect| match effect {
            Effect::Start(_, key, start) => Some((key.index, start.checkpoint)),
            _ => None,
        });
        starts.collect()
    }

    fn key(&self, index: u16) -> TaskKey {
        self.pool_state
            .find_task(&task_name(index))
            .expect("the task is there")
    }

    fn worker_of(&self, index: u16) -> WorkerKey {
        let task = self.pool_state.task(self.key(index));
        task.and_then(|t| t.phase.worker()).expect("the task runs")
    }

    /// Applies a worker's report of these runs: task, run and checkpoint.
    fn report(&mut self, worker: WorkerKey, born_wall_ms: u64, running: &[(u16, u32, &str)]) {
        let running = running.iter().map(|(index, run, text)| RunningTask {
            task: task_name(*index),
            run: *run,
            checkpoint: text.to_string(),
            percent: 50,
            gauge: 0,
        });
        let report = RenewalReport {
            born_wall_ms: Some(born_wall_ms),
            clock_ms: self.now_ms,
            running: running.collect(),
            ..RenewalReport::default()
        };
        let sent_ms = self.now_ms + 5;
        self.decide(|pool_state, ctx| {
            renewal::settle(pool_state, worker, sent_ms, Ok(report), EPOCH, ctx);
        });
    }

    /// Ends a worker and returns the checkpoints that the next starts bring.
    fn crash(&mut self, worker: WorkerKey) -> Vec<(u16, String)> {
        self.decide(|pool_state, ctx| {
            answer_starts(pool_state, worker, ctx);
            runs::end_worker(pool_state, worker, &Evidence::Lapse, ctx);
            pool_state.workers[worker].is_listed = false;
        });
        self.start_all()
    }
}

/// Answers the starts of a worker's tasks; a start without an answer would bind its task to the worker.
fn answer_starts(pool_state: &mut PoolState, worker: WorkerKey, ctx: &mut Ctx<'_>) {
    let tasks: Vec<TaskKey> = pool_state.workers[worker].tasks.iter().copied().collect();
    for task in tasks {
        let run = pool_state.task(task).map_or(0, |t| t.run);
        starts::settle_start(pool_state, task, run, OrderReply::Accepted, EPOCH, ctx);
    }
}

fn task_name(index: u16) -> TaskName {
    TaskName {
        job: "a".to_string(),
        round: 0,
        step: 0,
        index,
    }
}

/// Tasks that fill a worker each.
fn wide_tasks(count: u16) -> JobSpec {
    with_checkpoints(job(count, 12_000, 9_000))
}

#[test]
fn checkpoints_own_task() {
    let mut scene = Scene::new(&wide_tasks(2), 4);
    let workers = [scene.worker_of(0), scene.worker_of(1)];
    scene.report(workers[0], BORN_MS[0], &[(0, 1, "zero")]);
    scene.report(workers[1], BORN_MS[0], &[(1, 1, "one")]);
    assert_eq!(scene.crash(workers[1]), [(1, "one".to_string())]);
    assert_eq!(scene.crash(workers[0]), [(0, "zero".to_string())]);
}

/// Runs that a worker lists although another one has the task, or under another run's number, count for nothing.
#[test]
fn checkpoints_stray_run() {
    let mut scene = Scene::new(&wide_tasks(1), 3);
    let worker = scene.worker_of(0);
    let other = scene.workers.iter().find(|w| **w != worker);
    let other = *other.expect("another worker is there");
    scene.report(worker, BORN_MS[0], &[(0, 1, "own")]);
    scene.report(other, BORN_MS[0], &[(0, 1, "elsewhere")]);
    scene.report(worker, BORN_MS[0], &[(0, 9, "other run")]);
    scene.report(worker, BORN_MS[0], &[(0, 1, "")]);
    assert_eq!(scene.crash(worker), [(0, "own".to_string())]);
}

/// Once a worker has restarted under its id, what is reported for the run of before the restart counts for nothing.
#[test]
fn checkpoints_restarted_worker() {
    let mut scene = Scene::new(&wide_tasks(1), 3);
    let worker = scene.worker_of(0);
    scene.report(worker, BORN_MS[0], &[(0, 1, "before")]);
    scene.report(worker, BORN_MS[1], &[(0, 1, "foreign")]);
    scene.report(worker, BORN_MS[0], &[(0, 1, "late")]);
    assert_eq!(scene.crash(worker), [(0, "before".to_string())]);
}

#[test]
fn checkpoints_not_asked() {
    let mut scene = Scene::new(&job(1, 12_000, 9_000), 3);
    let worker = scene.worker_of(0);
    scene.report(worker, BORN_MS[0], &[(0, 1, "text")]);
    assert_eq!(scene.crash(worker), [(0, String::new())]);
    let job = scene.key(0).job;
    let row = scene.pool_state.progress_row(job);
    assert!(row.expect("the job is there").checkpoints.is_empty());
}

/// A start that is sent again brings what it brought first, and members of a gang all bring the same.
#[test]
fn checkpoints_sent_again() {
    let mut spec = wide_tasks(2);
    spec.steps[0].gang = true;
    let mut scene = Scene::new(&spec, 3);
    let workers = [scene.worker_of(0), scene.worker_of(1)];
    scene.report(workers[1], BORN_MS[0], &[(1, 1, "half")]);
    let task = scene.key(0);
    let effects = scene.decide(|pool_state, ctx| {
        starts::send_start(pool_state, task, 1, EPOCH, ctx);
    });
    let again = effects.iter().find_map(|effect| match effect {
        Effect::Start(_, _, start) => Some(start.checkpoint.as_str()),
        _ => None,
    });
    assert_eq!(again, Some(""));
    for worker in workers {
        scene.decide(|pool_state, ctx| {
            answer_starts(pool_state, worker, ctx);
            runs::end_worker(pool_state, worker, &Evidence::Lapse, ctx);
            pool_state.workers[worker].is_answering = true;
            pool_state.workers[worker].answered_ms = ctx.now.ms;
        });
    }
    let half = || "half".to_string();
    assert_eq!(scene.start_all(), [(0, half()), (1, half())]);
}

/// The row stays under the store's limit with the largest job and checkpoints, and keeps those with the most work. A row
/// without checkpoints is as before, and what another step's or an unknown task's entry brings is skipped.
#[test]
fn checkpoints_row() {
    let count = TASKS_MAX as u16;
    let spec = with_checkpoints(job(count, 1, 9_000));
    let mut scene = Scene::new(&spec, 1);
    let job = scene.key(0).job;
    let row = scene.pool_state.progress_row(job);
    let before = rows::encode(&row.expect("the job is there"));
    assert!(!String::from_utf8_lossy(&before).contains("checkpoints"));
    let worker = scene.workers[0];
    let text = "\"".repeat(500);
    let running: Vec<(u16, u32, &str)> = (0..count)
        .filter(|index| {
            scene
                .pool_state
                .task(scene.key(*index))
                .is_some_and(|t| t.run == 1)
        })
        .map(|index| (index, 1, text.as_str()))
        .collect();
    assert!(running.len() > 100, "{} tasks run", running.len());
    scene.report(worker, BORN_MS[0], &running);
    let row = scene
        .pool_state
        .progress_row(job)
        .expect("the job is there");
    let bytes = rows::encode(&row);
    assert!(bytes.len() <= ROW_BYTES_MAX, "{} bytes", bytes.len());
    let taken: usize = row
        .checkpoints
        .iter()
        .map(|c| rows::encode(c).len() + 1)
        .sum();
    assert!(
        taken <= ROW_SHARE_BYTES && !row.checkpoints.is_empty(),
        "{taken} bytes"
    );
    let read: ProgressRow = rows::decode(&bytes).expect("the row decodes");
    assert_eq!(read, row);
    let old: ProgressRow = rows::decode(&before).expect("the row decodes");
    assert!(old.checkpoints.is_empty());
}
