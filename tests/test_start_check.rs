//! Whether the start of a placed run may go out: each condition under which a worker gets no starts, asked before the
//! first sending and before a further one.

use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows;
use rockwick::core::sched::start_check::{self, Verdict};
use rockwick::core::sched::starts;
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::tasks::{Phase, Task};
use rockwick::core::sched::worker::Worker;
use rockwick::port::fleet::{OrderReply, StoredRow};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, lasting, listed_worker, POOL};

/// The owner's epoch.
const EPOCH: u64 = 7;

/// Time at which the starts are recorded, and sent for the first time.
const SENT_MS: u64 = 1_000;

/// Time at which the starts are due to be sent again.
const AGAIN_MS: u64 = 1_500;

/// Returns a pool with one worker and the placed tasks of one job, whose starts were not sent.
fn placed(spec: &JobSpec) -> (PoolState, WorkerKey, Vec<TaskKey>) {
    let mut pool_state = PoolState::default();
    let worker = add_answering_worker(&mut pool_state, listed_worker("life", "host"));
    let row = StoredRow {
        part: POOL.to_string(),
        key: "a".to_string(),
        value: Some(rows::encode(spec)),
        revision: EPOCH + 1,
    };
    decide(SENT_MS, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
        place::place(&mut pool_state, ctx);
    });
    let starts = std::mem::take(&mut pool_state.unsent_starts);
    let tasks = starts.into_iter().map(|(task, _)| task).collect();
    (pool_state, worker, tasks)
}

/// Sends the first start of a task, or sends it again.
fn send(pool_state: &mut PoolState, task: TaskKey, now_ms: u64) -> Vec<Effect> {
    decide(now_ms, |ctx| {
        starts::send_start(pool_state, task, 1, EPOCH, ctx);
    })
}

/// Returns a pool like [`placed`], whose first start was sent and got no answer.
fn unanswered(spec: &JobSpec) -> (PoolState, WorkerKey, TaskKey) {
    let (mut pool_state, worker, tasks) = placed(spec);
    send(&mut pool_state, tasks[0], SENT_MS);
    decide(SENT_MS + 400, |ctx| {
        let reply = OrderReply::Silent;
        starts::settle_start(&mut pool_state, tasks[0], 1, reply, EPOCH, ctx);
    });
    (pool_state, worker, tasks[0])
}

fn phase(pool_state: &PoolState, task: TaskKey) -> Option<Phase> {
    pool_state.task(task).map(|t| t.phase)
}

fn has_start(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Start(..)))
}

fn has_stop(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Stop(..)))
}

type Change = fn(&mut Worker);

/// Changes after which a worker leaves or has shrunk.
const LEAVING: [(&str, Change); 6] = [
    ("drains", |w| w.info.is_draining = true),
    ("is unlisted", |w| w.is_listed = false),
    ("is evacuated", |w| w.is_evacuated = true),
    ("is due for maintenance", |w| w.is_closing = true),
    ("is offered", |w| w.is_offered = true),
    ("has shrunk", |w| w.info.capacity.cpu_milli = 100),
];

/// Changes after which a worker is closed for a while.
const CLOSED: [(&str, Change); 2] = [
    ("is silent", |w| w.is_answering = false),
    ("is suspended", |w| w.suspended_until_ms = 10_000),
];

#[test]
fn start_check_unsent() {
    for (what, change) in LEAVING.into_iter().chain(CLOSED) {
        let (mut pool_state, worker, tasks) = placed(&job(1, 1_000, 500));
        change(&mut pool_state.workers[worker]);
        let effects = send(&mut pool_state, tasks[0], SENT_MS);
        assert!(!has_start(&effects), "the worker {what}");
        assert_eq!(phase(&pool_state, tasks[0]), Some(Phase::Ready), "{what}");
    }
}

#[test]
fn start_check_unanswered() {
    for (what, change) in LEAVING {
        let (mut pool_state, worker, task) = unanswered(&job(1, 1_000, 500));
        change(&mut pool_state.workers[worker]);
        let effects = send(&mut pool_state, task, AGAIN_MS);
        assert!(!has_start(&effects), "the worker {what}");
        assert!(has_stop(&effects), "the worker {what}");
        let stopping = Some(Phase::Stopping(worker));
        assert_eq!(phase(&pool_state, task), stopping, "{what}");
    }
}

/// A start that may have been carried out is not given up for what passes.
#[test]
fn start_check_sent_again() {
    for (what, change) in CLOSED {
        let (mut pool_state, worker, task) = unanswered(&job(1, 1_000, 500));
        change(&mut pool_state.workers[worker]);
        let verdict = start_check::check(&pool_state, task, worker, AGAIN_MS);
        assert_eq!(verdict, Verdict::Send, "the worker {what}");
    }
}

/// A surplus host stays in the pool until it is empty, so a start that was decided on goes out.
#[test]
fn start_check_surplus() {
    let (mut pool_state, worker, tasks) = placed(&job(1, 1_000, 500));
    pool_state.workers[worker].is_spare = true;
    assert!(has_start(&send(&mut pool_state, tasks[0], SENT_MS)));
}

/// A lasting task that may be at work is not stopped while too many others of its step are away, unless its worker
/// takes it away in any case.
#[test]
fn start_check_lasting() {
    let spec = lasting(3, 1);
    let (mut pool_state, worker, task) = unanswered(&spec);
    pool_state.workers[worker].is_closing = true;
    let verdict = start_check::check(&pool_state, task, worker, AGAIN_MS);
    assert_eq!(verdict, Verdict::Wait);
    let effects = send(&mut pool_state, task, AGAIN_MS);
    assert!(!has_start(&effects) && !has_stop(&effects));
    pool_state.workers[worker].info.is_draining = true;
    let effects = send(&mut pool_state, task, AGAIN_MS);
    assert!(has_stop(&effects));
}

/// No member of a gang is started if the worker of another member has closed.
#[test]
fn start_check_gang() {
    let mut spec = job(2, 4_000, 500);
    spec.steps[0].gang = true;
    spec.steps[0].per_worker_max = 1;
    let mut pool_state = PoolState::default();
    let workers = ["one", "two"]
        .map(|id| add_answering_worker(&mut pool_state, listed_worker(id, &format!("host-{id}"))));
    let row = StoredRow {
        part: POOL.to_string(),
        key: "a".to_string(),
        value: Some(rows::encode(&spec)),
        revision: EPOCH + 1,
    };
    let effects = decide(SENT_MS, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
        place::place(&mut pool_state, ctx);
        let starts = std::mem::take(&mut pool_state.unsent_starts);
        assert_eq!(starts.len(), 2);
        pool_state.workers[workers[1]].info.is_draining = true;
        starts::send_recorded(&mut pool_state, &starts, EPOCH, ctx);
    });
    assert!(!has_start(&effects));
    let steps = &pool_state.jobs.values().next().expect("one job").rounds[&0].steps;
    let waits = |task: &Task| task.phase == Phase::Ready;
    assert!(steps[0].tasks.iter().all(waits));
}
