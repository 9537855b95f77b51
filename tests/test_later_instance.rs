//! Guards against a second run of a task whose start is carried out by a later instance under the worker's id.
//!
//! Workers had restarted under their ids and were cut off soon after. A start that had no answer, or one that no report
//! followed, was carried out by the later instance on a clock that began anew, while the owner took the run for over at
//! the end of the earlier instance's lease and started the task elsewhere.

use rockwick::core::sched::keys::WorkerKey;
use rockwick::core::sched::late_starts;
use rockwick::core::sched::limits::ORDER_DELAY_MAX_MS;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::place;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows::{self, ProgressRow};
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::worker::RenewalPhase;
use rockwick::core::sched::worker_list;
use rockwick::port::fleet::{OrderReply, RenewalReport, WorkerInfo};

use crate::decide::{add_answering_worker, decide};
use crate::test_restarts::{
    end, only_renewal, report, running, Scene, BORN_MS, EARLIER_CLOCK_MS, EPOCH, ID, LAST_REPORT_MS,
};
use crate::world::listed_worker;

/// When the earlier instance's lease has expired by its own clock.
const LAPSED_MS: u64 = LAST_REPORT_MS + 5_000;

/// Adds a worker on another host, which has more tasks and is therefore preferred.
fn add_other(scene: &mut Scene) -> WorkerKey {
    let mut info = listed_worker("i-2", "host-2");
    info.capacity.cpu_milli /= 2;
    add_answering_worker(&mut scene.pool_state, info)
}

/// Lets the earlier instance's lease end without an answer.
fn lapse(scene: &mut Scene) {
    scene.pool_state.workers[scene.earlier].is_answering = false;
    let earlier = scene.earlier;
    decide(LAPSED_MS, |ctx| {
        renewal::expire_lease(&mut scene.pool_state, earlier, ctx)
    });
}

/// Places what waits and returns the phase of a task.
fn place_all(scene: &mut Scene, index: u16, now_ms: u64) -> Phase {
    decide(now_ms, |ctx| place::place(&mut scene.pool_state, ctx));
    scene.phase(index)
}

/// The instance that was last heard reports that it runs the task.
fn report_running(scene: &mut Scene, indices: &[u16], now_ms: u64) {
    let report = RenewalReport {
        running: indices.iter().map(|index| running(*index)).collect(),
        ..report(BORN_MS[0], EARLIER_CLOCK_MS + now_ms - LAST_REPORT_MS)
    };
    scene.apply_report(scene.earlier, now_ms, report);
}

#[test]
fn later_unanswered_start() {
    let mut scene = Scene::new();
    add_other(&mut scene);
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    lapse(&mut scene);
    assert_eq!(place_all(&mut scene, 1, LAPSED_MS + 1), Phase::Ready);
}

/// The start was answered, but no report tells which instance answered it.
#[test]
fn later_unreported_run() {
    let mut scene = Scene::new();
    add_other(&mut scene);
    lapse(&mut scene);
    assert_eq!(place_all(&mut scene, 0, LAPSED_MS + 1), Phase::Ready);
}

/// A run that the instance has reported ends with the lease, and its task starts elsewhere at once.
#[test]
fn later_reported_run() {
    let mut scene = Scene::new();
    let other = add_other(&mut scene);
    report_running(&mut scene, &[0], LAST_REPORT_MS + 20);
    lapse(&mut scene);
    assert_eq!(
        place_all(&mut scene, 0, LAPSED_MS + 1),
        Phase::Recording(other)
    );
}

/// The later instance has seen a higher fencing token, so it can take the task at once.
#[test]
fn later_takes_task() {
    let mut scene = Scene::new();
    add_other(&mut scene);
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    let (later, _) = scene.confirm_later(3_000);
    scene.apply_report(later, 3_020, report(BORN_MS[1], 20));
    assert_eq!(place_all(&mut scene, 1, 3_021), Phase::Recording(later));
}

/// The task waits for its next run when the run that was given up is reported. It goes on.
#[test]
fn later_run_goes_on() {
    let mut scene = Scene::new();
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    lapse(&mut scene);
    let earlier = scene.earlier;
    let report = RenewalReport {
        running: vec![running(1)],
        ..report(BORN_MS[0], EARLIER_CLOCK_MS + 6_000)
    };
    let effects = scene.apply_report(earlier, LAPSED_MS + 100, report);
    assert!(!effects.iter().any(|e| matches!(e, Effect::StopStray(..))));
    assert_eq!(scene.phase(1), Phase::Running(earlier));
}

/// A start had no answer and was sent again. The end of the run is not acknowledged while the first start may reach a
/// later instance.
#[test]
fn later_end_withheld() {
    let mut scene = Scene::new();
    report_running(&mut scene, &[0], LAST_REPORT_MS + 20);
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    scene.answer_start(1, LAST_REPORT_MS + 455, OrderReply::Accepted);
    let acked = |scene: &mut Scene, now_ms: u64| {
        let earlier = scene.earlier;
        let job = scene.pool_state.jobs_by_id["a"];
        let job = &mut scene.pool_state.jobs[job];
        job.recorded_changes = job.changes;
        scene.pool_state.settle_ends(earlier);
        scene.pool_state.workers[earlier].renewal = RenewalPhase::Idle;
        scene.pool_state.workers[earlier].answered_ms = now_ms;
        let effects = decide(now_ms, |ctx| {
            renewal::send_next(&mut scene.pool_state, earlier, EPOCH, ctx);
        });
        only_renewal(&effects).1.acked_through
    };
    let done = RenewalReport {
        running: vec![running(0)],
        ended: vec![end(10, 1)],
        ..report(BORN_MS[0], EARLIER_CLOCK_MS + 1_000)
    };
    let earlier = scene.earlier;
    scene.apply_report(earlier, LAST_REPORT_MS + 1_000, done);
    assert_eq!(scene.phase(1), Phase::Done);
    assert!(acked(&mut scene, LAST_REPORT_MS + 1_100) < 10);
    assert_eq!(acked(&mut scene, LAST_REPORT_MS + 13_000), 10);
}

/// The list shows a later instance before anything of it was heard. Nothing is placed on the earlier one meanwhile.
#[test]
fn later_listed_pause() {
    let mut scene = Scene::new();
    let effects = decide(LAST_REPORT_MS + 100, |ctx| {
        let offers = Offers::default();
        let listed = WorkerInfo {
            born_wall_ms: Some(BORN_MS[1]),
            ..listed_worker(ID, "host")
        };
        worker_list::apply_worker_entry(&mut scene.pool_state, &listed, &offers, EPOCH, ctx);
    });
    assert!(effects
        .iter()
        .any(|effect| matches!(effect, Effect::RenewWorker(..))));
    let earlier = &scene.pool_state.workers[scene.earlier];
    assert!(!earlier.is_open(LAST_REPORT_MS + 101));
    assert!(earlier.is_open(LAST_REPORT_MS + 700));
}

/// A renewal that was sent after the start went unanswered may prolong what the start begins, up to the longest lease.
#[test]
fn later_prolonged_run() {
    let mut scene = Scene::new();
    add_other(&mut scene);
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    scene.answer_start(1, LAST_REPORT_MS + 455, OrderReply::Accepted);
    report_running(&mut scene, &[0, 1], LAST_REPORT_MS + 11_000);
    let earlier = scene.earlier;
    scene.pool_state.workers[earlier].is_answering = false;
    let lapsed_ms = LAST_REPORT_MS + 16_000;
    decide(lapsed_ms, |ctx| {
        renewal::expire_lease(&mut scene.pool_state, earlier, ctx);
    });
    let last_ms = LAST_REPORT_MS + 11_000 + ORDER_DELAY_MAX_MS + 10_000;
    late_starts::expire(&mut scene.pool_state, last_ms);
    assert_eq!(place_all(&mut scene, 1, last_ms), Phase::Ready);
    let free_ms = last_ms + 1_000;
    late_starts::expire(&mut scene.pool_state, free_ms);
    assert!(matches!(
        place_all(&mut scene, 1, free_ms),
        Phase::Recording(_)
    ));
}

/// The record names the binding, and a new owner keeps it for the rest of its time only.
#[test]
fn later_on_record() {
    let mut scene = Scene::new();
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    let job = scene.pool_state.jobs_by_id["a"];
    let row = scene
        .pool_state
        .progress_row(job)
        .expect("the job is known");
    let bound: Vec<_> = row.bound.iter().map(|b| (b.2, b.3.as_str())).collect();
    assert_eq!(bound, [(1, ID)]);
    let read: ProgressRow = rows::decode(&rows::encode(&row)).expect("the row decodes");
    assert_eq!(read, row);
}

/// Where the platform states no start times, an id names one instance, and nothing is bound to it.
#[test]
fn later_unique_ids() {
    let mut scene = Scene::new();
    scene.pool_state.workers[scene.earlier].info.born_wall_ms = None;
    let other = add_other(&mut scene);
    scene.answer_start(1, LAST_REPORT_MS + 400, OrderReply::Silent);
    lapse(&mut scene);
    assert_eq!(
        place_all(&mut scene, 1, LAPSED_MS + 1),
        Phase::Recording(other)
    );
}
