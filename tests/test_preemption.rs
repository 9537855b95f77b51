//! Guards the stopping of long runs with checkpoints for urgent tasks of another queue in the same pool: urgent jobs were
//! late because long tasks held all the room.

use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::preemption;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows;
use rockwick::core::sched::runs;
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::port::fleet::{
    EndKind, FleetConfig, RenewalReport, RunEnd, RunningTask, StoredRow, TaskName,
};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, listed_worker, POOL, QUEUE};

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// Time after which a half-done long job without much of a target has less time left than a stop takes.
const BECOMES_LATE_MS: u64 = 7_000;

/// Name of the queue of long jobs.
const LONG_QUEUE: &str = "long";

/// Time that a long job may take beyond its work.
const LONG_TARGET_MS: u64 = 30_000;

/// A pool of workers whose room is filled by a long task each.
struct Scene {
    pool_state: PoolState,
    workers: Vec<WorkerKey>,
    config: FleetConfig,
    deployment: Deployment,
    now_ms: u64,
}

impl Scene {
    fn new(workers: usize, long: &JobSpec) -> Self {
        Self::with_target(workers, long, LONG_TARGET_MS, 1)
    }

    fn with_target(workers: usize, long: &JobSpec, target_ms: u64, priority: u32) -> Self {
        let mut pool_state = PoolState::default();
        let keys = (0..workers).map(|n| {
            let info = listed_worker(&format!("i-{n}"), &format!("host-{n}"));
            add_answering_worker(&mut pool_state, info)
        });
        let workers = keys.collect();
        let mut config = config(1);
        let mut queue = config.queues[QUEUE].clone();
        queue.priority = priority;
        queue.target_ms = target_ms;
        config.queues.insert(LONG_QUEUE.to_string(), queue);
        let mut scene = Scene {
            pool_state,
            workers,
            config,
            deployment: Deployment {
                checkpoint_interval_ms: 2_000,
                checkpoint_restore_ms: 250,
                ..Deployment::default()
            },
            now_ms: 1_000,
        };
        let spec = JobSpec {
            queue: LONG_QUEUE.to_string(),
            ..long.clone()
        };
        scene.submit("long", spec);
        scene.place();
        scene.now_ms += 1_000;
        for worker in scene.workers.clone() {
            scene.report(worker, &[]);
        }
        scene
    }

    fn decide(&mut self, work: impl FnOnce(&mut PoolState, &mut Ctx<'_>)) -> Vec<Effect> {
        let deployment = self.deployment;
        decide(self.now_ms, |ctx| {
            ctx.deployment = deployment;
            work(&mut self.pool_state, ctx);
        })
    }

    fn submit(&mut self, id: &str, mut spec: JobSpec) {
        spec.accepted_wall_ms = self.now_ms;
        let row = StoredRow {
            part: POOL.to_string(),
            key: id.to_string(),
            value: Some(rows::encode(&spec)),
            revision: EPOCH + 1,
        };
        let config = self.config.clone();
        self.decide(|pool_state, ctx| load::apply_intake(pool_state, &row, &config, EPOCH, ctx));
    }

    /// Places what waits, and returns the jobs of the starts.
    fn place(&mut self) -> Vec<String> {
        let effects = self.decide(|pool_state, ctx| {
            place::place(pool_state, ctx);
            for (task, run) in std::mem::take(&mut pool_state.unsent_starts) {
                runs::send_start(pool_state, task, run, EPOCH, ctx);
            }
        });
        let starts = effects.into_iter().filter_map(|effect| match effect {
            Effect::Start(_, _, start) => Some(start.task.job),
            _ => None,
        });
        starts.collect()
    }

    /// Applies a worker's report: these runs of the long job have been stopped, its others run, half done.
    fn report(&mut self, worker: WorkerKey, stopped: &[TaskKey]) {
        let name = |key: &TaskKey| TaskName {
            job: "long".to_string(),
            round: key.round,
            step: key.step,
            index: key.index,
        };
        let run_of = |key: &TaskKey| self.pool_state.task(*key).map_or(0, |t| t.run);
        let tasks = self.pool_state.workers[worker].tasks.iter();
        let running = tasks.filter(|key| !stopped.contains(key));
        let running = running.map(|key| RunningTask {
            task: name(key),
            run: run_of(key),
            checkpoint: format!("half of {}", key.index),
            percent: 50,
            gauge: 0,
        });
        let applied = self.pool_state.workers[worker].applied_through;
        let ended = stopped
            .iter()
            .zip(applied + 1..)
            .map(|(key, number)| RunEnd {
                number,
                task: name(key),
                run: run_of(key),
                kind: EndKind::Stopped,
                checkpoint: format!("half of {}", key.index),
            });
        let report = RenewalReport {
            clock_ms: self.now_ms,
            running: running.collect(),
            ended: ended.collect(),
            ..RenewalReport::default()
        };
        let sent_ms = self.now_ms;
        self.decide(|pool_state, ctx| {
            let is_lost = renewal::settle(pool_state, worker, sent_ms, Ok(report), EPOCH, ctx);
            assert!(!is_lost, "the pool is not lost");
        });
    }

    /// Submits an urgent job that fills a worker, and returns the runs that are stopped for it.
    fn stops_for(&mut self, id: &str) -> Vec<TaskKey> {
        self.submit(id, job(1, 12_000, 500));
        assert!(self.place().is_empty(), "there is no room");
        self.now_ms += 200;
        self.make_room()
    }

    fn make_room(&mut self) -> Vec<TaskKey> {
        let effects = self.decide(|pool_state, ctx| {
            preemption::make_room(pool_state, EPOCH, ctx);
        });
        let stops = effects.into_iter().filter_map(|effect| match effect {
            Effect::Stop(_, key, _, _) => Some(key),
            _ => None,
        });
        stops.collect()
    }
}

/// A long job whose tasks fill a worker each.
fn long_job(count: u16) -> JobSpec {
    let mut spec = job(count, 12_000, 8_000);
    spec.steps[0].checkpoints = true;
    spec
}

/// The urgent task starts once the end of the stopped run was noted, and the same task is not stopped again as it goes
/// on.
#[test]
fn preemption_stop_then_start() {
    let mut scene = Scene::new(10, &long_job(10));
    let stopped = scene.stops_for("urgent");
    assert_eq!(stopped.len(), 1);
    assert!(scene.place().is_empty(), "the run has not ended yet");
    assert!(scene.make_room().is_empty(), "its room is on the way");
    let task = scene
        .pool_state
        .task(stopped[0])
        .expect("the task is there");
    let worker = task.phase.worker().expect("the run is being stopped");
    scene.report(worker, &stopped);
    assert_eq!(scene.place(), ["urgent"]);
}

#[test]
fn preemption_not_twice() {
    let mut scene = Scene::new(10, &long_job(10));
    let stopped = scene.stops_for("urgent");
    let worker = scene
        .pool_state
        .task(stopped[0])
        .and_then(|t| t.phase.worker());
    let worker = worker.expect("the run is being stopped");
    scene.report(worker, &stopped);
    let urgent = scene.pool_state.jobs_by_id["urgent"];
    scene.decide(|pool_state, ctx| runs::cancel_job(pool_state, urgent, EPOCH, ctx));
    assert_eq!(scene.place(), ["long"]);
    // The only other runs are those of workers that leave.
    for other in scene.workers.clone() {
        scene.pool_state.workers[other].is_closing = other != worker;
    }
    scene.report(worker, &[]);
    assert!(scene.stops_for("next").is_empty());
}

#[test]
fn preemption_share() {
    let mut scene = Scene::new(20, &long_job(20));
    for n in 0..5 {
        scene.submit(&format!("urgent-{n}"), job(1, 12_000, 500));
    }
    assert!(scene.place().is_empty());
    scene.now_ms += 200;
    assert_eq!(scene.make_room().len(), 2, "a tenth of the pool");
    assert!(scene.make_room().is_empty());
}

#[test]
fn preemption_spares() {
    let mut without = long_job(10);
    without.steps[0].checkpoints = false;
    assert!(Scene::new(10, &without).stops_for("urgent").is_empty());
    let mut gang = long_job(10);
    gang.steps[0].gang = true;
    assert!(Scene::new(10, &gang).stops_for("urgent").is_empty());
    let mut equal = Scene::with_target(10, &long_job(10), LONG_TARGET_MS, 0);
    assert!(equal.stops_for("urgent").is_empty());
    let mut becomes_late = Scene::with_target(10, &long_job(10), 600, 1);
    becomes_late.now_ms += BECOMES_LATE_MS;
    assert!(becomes_late.stops_for("urgent").is_empty());
    let mut unknown = Scene::new(10, &long_job(10));
    unknown.deployment = Deployment::default();
    assert!(unknown.stops_for("urgent").is_empty());
}

/// Without a shortage, or with much time left, nothing is stopped.
#[test]
fn preemption_only_urgent() {
    let mut scene = Scene::new(10, &long_job(9));
    scene.submit("urgent", job(1, 12_000, 500));
    assert_eq!(scene.place(), ["urgent"]);
    scene.now_ms += 200;
    assert!(scene.make_room().is_empty());
    let mut scene = Scene::new(10, &long_job(10));
    scene
        .config
        .queues
        .get_mut(QUEUE)
        .expect("the queue")
        .target_ms = 20_000;
    assert!(scene.stops_for("patient").is_empty());
}
