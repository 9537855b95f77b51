//! Guards against starting done tasks again after their worker restarted under its id.
//!
//! Workers had crashed and restarted under their ids, and numbered their ends from 1 again. The owner kept the number
//! of the last end it had processed by worker id, so it skipped the later instance's ends up to that number as known
//! and acknowledged them with the next renewal. The tasks were requeued 0.14 s after their end by the same owner that
//! had started them, since the report did not list them as running. A worker that had restarted 5 s before logged
//! `ends-taken` "again 6, taken_before 9, told_seen 9, runs ''", and at once `task-requeued` "not among what the worker
//! runs, answered 1, settled_ago_ms 1596" for four tasks.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows;
use rockwick::core::sched::starts;
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::worker::ClockSample;
use rockwick::core::sched::worker_list;
use rockwick::port::fleet::{
    EndKind, OrderReply, RenewalReport, RenewalRequest, RunEnd, RunningTask, StoredRow, TaskName,
    WorkerInfo,
};

use crate::decide::decide;
use crate::world::{config, job, listed_worker, World, POOL};

/// Number of seeds.
const SEEDS: u64 = 120;

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// Plays a world in which a worker crashes now and then between two jobs and soon restarts, under its id or under a
/// new one.
fn play(seed: u64, keeps_id: bool) {
    let mut world = World::new(seed, 3, 6);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x9e57);
    world.run(SETTLE_MS);
    let jobs: Vec<String> = (0..30).map(|n| format!("job-{n}")).collect();
    for (n, id) in jobs.iter().enumerate() {
        world.submit(id, job(6, 1_000, 400));
        if n % 10 == 9 {
            let worker_ids = world.worker_ids();
            let worker = worker_ids[rng.usize(0..worker_ids.len())].clone();
            let back_ms = rng.u64(300..3_000);
            match keeps_id {
                true => world.restart_worker(&worker, back_ms),
                false => world.crash(&worker, back_ms),
            }
        }
        world.run(rng.u64(50..400));
    }
    world.run(30_000);
    for id in &jobs {
        let is_settled =
            world.recorded_state(id) == JobState::Completed || world.may_be_given_up(id);
        assert!(
            is_settled,
            "seed {seed}: {id} is {:?}",
            world.recorded_state(id)
        );
    }
}

fn failing_seeds(keeps_id: bool) -> Vec<u64> {
    let is_failing = |seed: &u64| std::panic::catch_unwind(|| play(*seed, keeps_id)).is_err();
    (0..SEEDS).filter(is_failing).collect()
}

#[test]
fn restarts_under_id() {
    let failing = failing_seeds(true);
    assert!(
        failing.is_empty(),
        "{} seeds failed: {failing:?}",
        failing.len()
    );
}

/// The same worlds with a new id for each instance show that failures of `restarts_under_id` come from the id.
#[test]
fn restarts_new_id() {
    let failing = failing_seeds(false);
    assert!(
        failing.is_empty(),
        "{} seeds failed: {failing:?}",
        failing.len()
    );
}

/// Epoch of the owner.
pub(crate) const EPOCH: u64 = 7;

/// Start times of the earlier and the later instance; the wall clock was set back in between.
pub(crate) const BORN_MS: [u64; 2] = [50_000, 49_000];

/// The earlier instance's clock when its last report is received.
pub(crate) const EARLIER_CLOCK_MS: u64 = 60_000;

/// When the last report of the earlier instance is received.
pub(crate) const LAST_REPORT_MS: u64 = 2_000;

/// The id that both instances use.
pub(crate) const ID: &str = "i-1";

fn worker_info(born_wall_ms: u64) -> WorkerInfo {
    WorkerInfo {
        born_wall_ms: Some(born_wall_ms),
        ..listed_worker(ID, "host")
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

/// In-memory state with a worker that has reported, and two tasks on it: the start of the first one was answered, that
/// of the second one was not.
pub(crate) struct Scene {
    pub(crate) pool_state: PoolState,
    pub(crate) earlier: WorkerKey,
}

impl Scene {
    pub(crate) fn new() -> Self {
        let mut pool_state = PoolState::default();
        let earlier = load::add_worker(&mut pool_state, worker_info(BORN_MS[0]), 0);
        let w = &mut pool_state.workers[earlier];
        w.is_answering = true;
        w.answered_ms = LAST_REPORT_MS;
        w.applied_through = 9;
        w.recorded_through = 9;
        w.clock = Some(ClockSample {
            local_ms: LAST_REPORT_MS,
            worker_ms: EARLIER_CLOCK_MS,
        });
        let row = StoredRow {
            part: POOL.to_string(),
            key: "a".to_string(),
            value: Some(rows::encode(&job(2, 100, 500))),
            revision: EPOCH + 1,
        };
        decide(LAST_REPORT_MS, |ctx| {
            load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
            place::place(&mut pool_state, ctx);
            for (task, run) in std::mem::take(&mut pool_state.unsent_starts) {
                starts::send_start(&mut pool_state, task, run, EPOCH, ctx);
            }
        });
        let mut scene = Scene {
            pool_state,
            earlier,
        };
        scene.answer_start(0, LAST_REPORT_MS + 5, OrderReply::Accepted);
        scene
    }

    pub(crate) fn task(&self, index: u16) -> TaskKey {
        self.pool_state
            .find_task(&task_name(index))
            .expect("the task is there")
    }

    pub(crate) fn phase(&self, index: u16) -> Phase {
        let task = self.pool_state.task(self.task(index));
        task.expect("the task is there").phase
    }

    pub(crate) fn answer_start(&mut self, index: u16, now_ms: u64, reply: OrderReply) -> bool {
        let task = self.task(index);
        let mut is_lost = false;
        decide(now_ms, |ctx| {
            is_lost = starts::settle_start(&mut self.pool_state, task, 1, reply, EPOCH, ctx);
        });
        is_lost
    }

    /// Applies a report of a worker that was requested 5 ms before.
    pub(crate) fn apply_report(
        &mut self,
        key: WorkerKey,
        now_ms: u64,
        report: RenewalReport,
    ) -> Vec<Effect> {
        decide(now_ms, |ctx| {
            let sent_ms = now_ms - 5;
            let is_lost =
                renewal::settle(&mut self.pool_state, key, sent_ms, Ok(report), EPOCH, ctx);
            assert!(!is_lost, "the pool is not lost");
        })
    }

    /// Reads the later instance's entry and its first answer; returns its key and the fencing token of its second
    /// renewal.
    pub(crate) fn confirm_later(&mut self, now_ms: u64) -> (WorkerKey, u64) {
        let later = load::add_worker(&mut self.pool_state, worker_info(BORN_MS[1]), now_ms);
        let effects = self.apply_report(later, now_ms + 10, report(BORN_MS[1], now_ms));
        let (fence, request) = only_renewal(&effects);
        assert_eq!((request.acked_through, request.lease_until_ms), (0, None));
        (later, fence)
    }
}

pub(crate) fn report(born_wall_ms: u64, clock_ms: u64) -> RenewalReport {
    RenewalReport {
        born_wall_ms: Some(born_wall_ms),
        clock_ms,
        ..RenewalReport::default()
    }
}

pub(crate) fn end(number: u64, index: u16) -> RunEnd {
    RunEnd {
        number,
        task: task_name(index),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    }
}

pub(crate) fn running(index: u16) -> RunningTask {
    RunningTask {
        task: task_name(index),
        run: 1,
        checkpoint: String::new(),
        percent: 0,
        gauge: 0,
    }
}

pub(crate) fn only_renewal(effects: &[Effect]) -> (u64, RenewalRequest) {
    let renewals = effects.iter().filter_map(|effect| match effect {
        Effect::RenewWorker(order, _, request) => Some((order.to.fence, *request)),
        _ => None,
    });
    let renewals: Vec<_> = renewals.collect();
    assert_eq!(renewals.len(), 1, "{effects:?}");
    renewals[0]
}

/// The later instance numbers its ends from 1, below the numbers that the earlier one used. They must count.
#[test]
fn restarts_first_end() {
    let mut scene = Scene::new();
    let (later, _) = scene.confirm_later(3_000);
    let ended = vec![end(1, 0)];
    let renewal_report = RenewalReport {
        ended,
        ..report(BORN_MS[1], 20)
    };
    scene.apply_report(later, 3_020, renewal_report);
    assert_eq!(
        scene.phase(0),
        Phase::Done,
        "the start had reached the later instance"
    );
}

/// Orders to the earlier instance are also valid for the later one, which has the same id. Until the later one refuses
/// late orders, no run counts as over, and a run that the later one lists is its own.
#[test]
fn restarts_adopt_start() {
    let mut scene = Scene::new();
    let (later, _) = scene.confirm_later(3_000);
    let earlier = scene.earlier;
    assert_eq!(
        scene.phase(0),
        Phase::Running(earlier),
        "the run is kept until the later instance reports"
    );
    let renewal_report = RenewalReport {
        running: vec![running(1)],
        ..report(BORN_MS[1], 20)
    };
    scene.apply_report(later, 3_020, renewal_report);
    assert_eq!(
        scene.phase(0),
        Phase::Ready,
        "the run ended with the earlier instance"
    );
    assert_eq!(scene.phase(1), Phase::Running(later));
    assert!(!scene.answer_start(1, 3_030, OrderReply::Silent));
    assert_eq!(
        scene.phase(1),
        Phase::Running(later),
        "a late answer must not change the task"
    );
}

/// All orders to the later instance carry a higher fencing token than those to the earlier one. A refusal of an order
/// because of its token must not be read as a loss of the pool.
#[test]
fn restarts_raise_fence() {
    let mut scene = Scene::new();
    let first = decide(LAST_REPORT_MS + 20, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    let (before, _) = only_renewal(&first);
    let (_, after) = scene.confirm_later(3_000);
    assert!(after > before, "{after} is not above {before}");
    assert!(!scene.answer_start(1, 3_015, OrderReply::Fenced));
    assert_eq!(
        scene.phase(1),
        Phase::Ready,
        "the refused start was not carried out"
    );
}

/// A worker without a recent report may have restarted. It must not receive acknowledgements of ends, which the later
/// instance would take for its own.
#[test]
fn restarts_withhold_acks() {
    let mut scene = Scene::new();
    scene.pool_state.workers[scene.earlier].lists_ends = true;
    let soon = decide(LAST_REPORT_MS + 100, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    assert_eq!(only_renewal(&soon).1.acked_through, 9);
    let mut scene = Scene::new();
    scene.pool_state.workers[scene.earlier].lists_ends = true;
    let late = decide(LAST_REPORT_MS + 400, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    let (_, request) = only_renewal(&late);
    assert_eq!(request.acked_through, 0);
    let mut scene = Scene::new();
    let nothing_listed = decide(LAST_REPORT_MS + 100, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    assert_eq!(only_renewal(&nothing_listed).1.acked_through, 0);
}

/// The later instance's clock counts from its start, and its lease must be computed from that clock.
#[test]
fn restarts_own_clock() {
    let mut scene = Scene::new();
    let (later, _) = scene.confirm_later(3_000);
    let effects = scene.apply_report(later, 3_020, report(BORN_MS[1], 300));
    let (_, request) = only_renewal(&effects);
    let until_ms = request
        .lease_until_ms
        .expect("the later instance gets a lease");
    assert!((300..EARLIER_CLOCK_MS).contains(&until_ms), "{until_ms}");
}

/// A deadline in the earlier instance's clock may have reached the later one and is never shortened. Runs there may
/// last until the longest lease has expired.
#[test]
fn restarts_longest_lease() {
    let mut scene = Scene::new();
    let (later, _) = scene.confirm_later(3_000);
    assert!(scene.pool_state.workers[later].lease_end_ms >= 13_000);
}

/// A later owner must assume the longest lease for an instance that started recently, which may hold a deadline from
/// the former owner.
#[test]
fn restarts_recent_instance() {
    let lease_end_ms = |born_wall_ms: u64| {
        let mut pool_state = PoolState::default();
        decide(100_000, |ctx| {
            let offers = Offers::default();
            worker_list::apply_worker_entry(
                &mut pool_state,
                &worker_info(born_wall_ms),
                &offers,
                EPOCH,
                ctx,
            );
        });
        let key = pool_state
            .find_instance(ID, Some(born_wall_ms))
            .expect("the instance is listed");
        pool_state.workers[key].lease_end_ms - 100_000
    };
    assert!(lease_end_ms(70_000) < 5_000);
    assert!(lease_end_ms(98_000) >= 10_000);
    assert!(
        lease_end_ms(103_000) >= 10_000,
        "a start time in the future counts as recent"
    );
}

/// The earlier instance's report is received after the later one is known. Its ends count, and nothing more is sent to
/// it.
#[test]
fn restarts_late_report() {
    let mut scene = Scene::new();
    scene.confirm_later(3_000);
    let renewal_report = RenewalReport {
        ended: vec![end(10, 0)],
        ..report(BORN_MS[0], EARLIER_CLOCK_MS + 900)
    };
    let earlier = scene.earlier;
    let effects = scene.apply_report(earlier, 3_030, renewal_report);
    assert_eq!(scene.phase(0), Phase::Done);
    assert!(!scene.pool_state.workers[earlier].is_answering);
    assert!(!effects.iter().any(|e| matches!(e, Effect::RenewWorker(..))));
}

/// The answer to a renewal shows the later instance before its list entry is read. The earlier one must get no more
/// orders.
#[test]
fn restarts_answer_first() {
    let mut scene = Scene::new();
    let earlier = scene.earlier;
    scene.apply_report(earlier, 3_000, report(BORN_MS[1], 20));
    assert!(scene.pool_state.workers[earlier].is_superseded);
    assert_eq!(
        scene.phase(0),
        Phase::Running(earlier),
        "the run is kept while its state is unknown"
    );
}

/// A list entry of the earlier instance arrives after the later one is known. The instance at the address is still the
/// later one.
#[test]
fn restarts_stale_entry() {
    let mut scene = Scene::new();
    let (later, _) = scene.confirm_later(3_000);
    scene.apply_report(later, 3_020, report(BORN_MS[1], 20));
    let stale = load::add_worker(&mut scene.pool_state, worker_info(BORN_MS[0]), 3_100);
    scene.apply_report(stale, 3_120, report(BORN_MS[1], 120));
    assert!(
        scene.pool_state.workers.get(stale).is_none(),
        "the stale instance must be removed"
    );
    assert!(scene.pool_state.workers[later].is_answering);
    assert!(!scene.pool_state.workers[later].is_superseded);
}

/// If the platform states no start time, an instance is identified by its id.
#[test]
fn restarts_no_born() {
    let mut scene = Scene::new();
    let earlier = scene.earlier;
    let renewal_report = RenewalReport {
        born_wall_ms: None,
        running: vec![running(0), running(1)],
        ..report(0, EARLIER_CLOCK_MS + 900)
    };
    scene.apply_report(earlier, 2_900, renewal_report);
    assert_eq!(scene.phase(0), Phase::Running(earlier));
    assert_eq!(scene.phase(1), Phase::Running(earlier));
    assert_eq!(scene.pool_state.find_instance(ID, None), Some(earlier));
}

/// Failures and suspensions of a worker end with its instance.
#[test]
fn restarts_clean_slate() {
    let mut scene = Scene::new();
    let w = &mut scene.pool_state.workers[scene.earlier];
    w.fails_in_row = 2;
    w.suspensions = 3;
    w.suspended_until_ms = 60_000;
    let (later, _) = scene.confirm_later(3_000);
    scene.apply_report(later, 3_020, report(BORN_MS[1], 20));
    let w = &scene.pool_state.workers[later];
    assert_eq!(
        (w.fails_in_row, w.suspensions, w.applied_through),
        (0, 0, 0)
    );
    assert!(w.is_open(3_020));
    assert!(scene.pool_state.workers.get(scene.earlier).is_none());
}

/// The record names instances, so the next owner, which knows only the later one, does not take runs of the earlier
/// one for runs of the later one.
#[test]
fn restarts_on_record() {
    let scene = Scene::new();
    let key = scene.pool_state.jobs_by_id["a"];
    let row = scene
        .pool_state
        .progress_row(key)
        .expect("the job is known");
    let named: Vec<_> = row.instances().collect();
    assert_eq!(named, [(ID, "host", Some(BORN_MS[0]))]);
    let read: rows::ProgressRow = rows::decode(&rows::encode(&row)).expect("the row decodes");
    assert_eq!(read, row);
    let before = r#"{"state":"Running","workers":[["i-1","host"]]}"#;
    let before: rows::ProgressRow = rows::decode(before.as_bytes()).expect("the row decodes");
    assert_eq!(before.instances().collect::<Vec<_>>(), [(ID, "host", None)]);
}

/// Workers restart under their ids after maintenance and after crashes just before it. The wave must be reported as
/// done once all hosts have been out, and not before.
#[test]
fn restarts_through_wave() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 6);
        world.keeps_ids = true;
        world.run(SETTLE_MS);
        for n in 0..8 {
            world.submit(&format!("job-{n}"), job(6, 1_000, 400));
        }
        world.order_wave(1, 40_000, 2);
        for n in 0..12 {
            world.run(700);
            let worker_ids = world.worker_ids();
            if n % 3 == 0 {
                world.restart_worker(&worker_ids[n % worker_ids.len()].clone(), 400);
            }
        }
        world.run(60_000);
        assert!(world.waves_done.contains(&1), "seed {seed}");
        assert_eq!(world.maintained_hosts[&1].len(), 6, "seed {seed}");
    }
}
