//! The log shows why a task was started again: each end as it is applied, each answer to a start, and the evidence for
//! each decision that a run is over.

use http_types::Method;
use rockwick::core::sched::crashes::Evidence;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows;
use rockwick::core::sched::runs;
use rockwick::core::sched::starts;
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::event::{Code, Decision, Subject};
use rockwick::port::fleet::{
    EndKind, OrderReply, RenewalReport, RunEnd, RunningTask, StoredRow, TaskName,
};
use serde_json::json;
use standin::fleet::Fleet;

use crate::decide::{add_answering_worker, decide};
use crate::test_serve::{call, start_entry, wait_until};
use crate::world::{config, job, listed_worker, Faults, World, POOL};

/// The owner's epoch.
const EPOCH: u64 = 7;

/// Time at which the owner's starts are sent.
const SENT_MS: u64 = 1_000;

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Returns a pool with one worker, and `tasks` tasks of job `a` whose starts were sent.
fn pool_with_sent_starts(tasks: u16) -> (PoolState, WorkerKey) {
    let mut pool_state = PoolState::default();
    let worker = add_answering_worker(&mut pool_state, listed_worker("life-1", "host"));
    let row = StoredRow {
        part: POOL.to_string(),
        key: "a".to_string(),
        value: Some(rows::encode(&job(tasks, 100, 500))),
        revision: EPOCH + 1,
    };
    decide(SENT_MS, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
        send_placed(&mut pool_state, ctx);
    });
    (pool_state, worker)
}

/// Places the waiting tasks, and sends their starts as if they were recorded.
fn send_placed(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    place::place(pool_state, ctx);
    for (task, run) in std::mem::take(&mut pool_state.unsent_starts) {
        starts::send_start(pool_state, task, run, EPOCH, ctx);
    }
}

fn task_name(job: &str, index: u16) -> TaskName {
    TaskName {
        job: job.to_string(),
        round: 0,
        step: 0,
        index,
    }
}

fn task_key(pool_state: &PoolState, index: u16) -> TaskKey {
    pool_state
        .find_task(&task_name("a", index))
        .expect("the task is known")
}

fn settle_first_start(pool_state: &mut PoolState, now_ms: u64, reply: OrderReply) -> Vec<Effect> {
    let task = task_key(pool_state, 0);
    decide(now_ms, |ctx| {
        starts::settle_start(pool_state, task, 1, reply, EPOCH, ctx);
    })
}

fn run_end(number: u64, task: TaskName, run: u32, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        task,
        run,
        kind,
        checkpoint: String::new(),
    }
}

/// Applies a renewal report that was requested 40 ms before.
fn apply_report(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    now_ms: u64,
    ended: Vec<RunEnd>,
    running: &[(u16, u32)],
) -> Vec<Effect> {
    let running = running.iter().map(|(index, run)| RunningTask {
        task: task_name("a", *index),
        run: *run,
        checkpoint: String::new(),
        percent: 0,
        gauge: 0,
    });
    let report = RenewalReport {
        born_wall_ms: None,
        clock_ms: now_ms,
        running: running.collect(),
        ended,
        unreadable: 0,
    };
    decide(now_ms, |ctx| {
        renewal::settle(pool_state, worker, now_ms - 40, Ok(report), EPOCH, ctx);
    })
}

fn lines(effects: &[Effect], code: Code) -> Vec<&Decision> {
    let logged = effects.iter().filter_map(|effect| match effect {
        Effect::Log(decision) => Some(decision),
        _ => None,
    });
    logged.filter(|decision| decision.code == code).collect()
}

fn only_line(effects: &[Effect], code: Code) -> &Decision {
    let found = lines(effects, code);
    assert_eq!(found.len(), 1, "{code:?}: {found:?}");
    found[0]
}

fn name_in<'a>(decision: &'a Decision, what: &str) -> &'a str {
    let found = decision.names.iter().find(|(name, _)| *name == what);
    found.map_or("-", |(_, name)| name)
}

fn figure(decision: &Decision, what: &str) -> Option<u64> {
    let found = decision.figures.iter().find(|(name, _)| name == what);
    found.map(|(_, value)| *value)
}

#[test]
fn run_log_current_run() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    settle_first_start(&mut pool_state, 1_030, OrderReply::Accepted);
    let done = run_end(1, task_name("a", 0), 1, EndKind::Done);
    let effects = apply_report(&mut pool_state, worker, 1_500, vec![done], &[]);
    let log_line = only_line(&effects, Code::EndsTaken);
    assert_eq!((log_line.subject, &*log_line.id), (Subject::Host, "life-1"));
    assert_eq!(name_in(log_line, "runs"), "1=a.0.0.0#1:Done/Running");
    assert_eq!(name_in(log_line, "on"), "host");
    assert_eq!(figure(log_line, "epoch"), Some(EPOCH));
    assert_eq!(figure(log_line, "asked_ago_ms"), Some(40));
    assert_eq!(figure(log_line, "taken_before"), Some(0));
    assert_eq!(figure(log_line, "again"), Some(0));
    assert_eq!(figure(log_line, "told_seen"), Some(0));
}

#[test]
fn run_log_end_repeated() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    let done = run_end(1, task_name("a", 0), 1, EndKind::Done);
    apply_report(&mut pool_state, worker, 1_500, vec![done.clone()], &[]);
    let effects = apply_report(&mut pool_state, worker, 2_600, vec![done], &[]);
    let log_line = only_line(&effects, Code::EndsTaken);
    assert_eq!(
        name_in(log_line, "runs"),
        "",
        "the end is not applied again"
    );
    assert_eq!(figure(log_line, "again"), Some(1));
    assert_eq!(name_in(log_line, "again_runs"), "1=a.0.0.0#1");
    assert_eq!(figure(log_line, "taken_before"), Some(1));
}

#[test]
fn run_log_restart() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    pool_state.workers[worker].info.born_wall_ms = Some(5_000);
    let report = RenewalReport {
        born_wall_ms: Some(9_000),
        clock_ms: 10,
        ..RenewalReport::default()
    };
    let effects = decide(1_500, |ctx| {
        renewal::settle(&mut pool_state, worker, 1_460, Ok(report), EPOCH, ctx);
    });
    let log_line = only_line(&effects, Code::WorkerRestarted);
    assert_eq!((log_line.subject, &*log_line.id), (Subject::Host, "life-1"));
    assert_eq!(figure(log_line, "born_wall_ms"), Some(9_000));
    assert_eq!(figure(log_line, "known_born_wall_ms"), Some(5_000));
    assert_eq!(figure(log_line, "tasks"), Some(1));
}

#[test]
fn run_log_done_task() {
    let (mut pool_state, worker) = pool_with_sent_starts(2);
    let first = run_end(1, task_name("a", 0), 1, EndKind::Done);
    apply_report(&mut pool_state, worker, 1_500, vec![first], &[(1, 1)]);
    let second = run_end(2, task_name("a", 0), 1, EndKind::Done);
    let effects = apply_report(&mut pool_state, worker, 1_600, vec![second], &[(1, 1)]);
    let log_line = only_line(&effects, Code::EndsTaken);
    assert_eq!(name_in(log_line, "runs"), "2=a.0.0.0#1:Done/Done#1");
}

#[test]
fn run_log_unknown_job() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    let ends = vec![
        run_end(1, task_name("b", 3), 2, EndKind::Done),
        run_end(2, task_name("a", 9), 1, EndKind::Failed),
    ];
    let effects = apply_report(&mut pool_state, worker, 1_500, ends, &[]);
    let log_line = only_line(&effects, Code::EndsTaken);
    let runs = "1=b.0.0.3#2:Done/JobUnknown 2=a.0.0.9#1:Failed/RoundOver";
    assert_eq!(name_in(log_line, "runs"), runs);
}

/// The owner decides that a run is over and starts the next one elsewhere, and then the first one's end arrives.
#[test]
fn run_log_earlier_run() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    settle_first_start(&mut pool_state, 1_030, OrderReply::Accepted);
    let other = add_answering_worker(&mut pool_state, listed_worker("life-2", "host-2"));
    pool_state.workers[worker].suspended_until_ms = u64::MAX;
    let effects = apply_report(&mut pool_state, worker, 1_100, Vec::new(), &[]);
    let log_line = only_line(&effects, Code::TaskRequeued);
    assert_eq!(log_line.why, "not among what the worker runs");
    assert_eq!(name_in(log_line, "worker"), "life-1");
    assert_eq!(name_in(log_line, "on"), "host");
    assert_eq!(name_in(log_line, "phase"), "Running");
    assert_eq!(figure(log_line, "run"), Some(1));
    assert_eq!(figure(log_line, "asked_ago_ms"), Some(40));
    assert_eq!(figure(log_line, "settled_ago_ms"), Some(70));
    let effects = decide(1_200, |ctx| send_placed(&mut pool_state, ctx));
    let log_line = only_line(&effects, Code::TaskPlaced);
    assert_eq!(
        (&*log_line.why, name_in(log_line, "on")),
        ("life-2", "host-2")
    );
    assert!(pool_state.workers[other]
        .tasks
        .contains(&task_key(&pool_state, 0)));
    let done = run_end(1, task_name("a", 0), 1, EndKind::Done);
    let effects = apply_report(&mut pool_state, worker, 1_300, vec![done], &[]);
    let log_line = only_line(&effects, Code::EndsTaken);
    let runs = "1=a.0.0.0#1:Done/Starting#2@life-2";
    assert_eq!(name_in(log_line, "runs"), runs);
}

#[test]
fn run_log_cancelled_job() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    let job = task_key(&pool_state, 0).job;
    decide(1_100, |ctx| {
        runs::cancel_job(&mut pool_state, job, EPOCH, ctx)
    });
    let done = run_end(1, task_name("a", 0), 1, EndKind::Done);
    let effects = apply_report(&mut pool_state, worker, 1_500, vec![done], &[]);
    let log_line = only_line(&effects, Code::EndsTaken);
    assert_eq!(
        name_in(log_line, "runs"),
        "1=a.0.0.0#1:Done/JobOver,Stopping"
    );
}

/// Long lists are split over several lines, and no end is left out.
#[test]
fn run_log_many_ends() {
    let (mut pool_state, worker) = pool_with_sent_starts(40);
    let ends = (0..40).map(|n| run_end(u64::from(n) + 1, task_name("a", n), 1, EndKind::Done));
    let ends: Vec<RunEnd> = ends.collect();
    let effects = apply_report(&mut pool_state, worker, 1_500, ends, &[]);
    let log_line = lines(&effects, Code::EndsTaken);
    let lists = log_line.iter().map(|line| name_in(line, "runs"));
    let lists: Vec<Vec<&str>> = lists.map(|runs| runs.split(' ').collect()).collect();
    let lengths: Vec<usize> = lists.iter().map(Vec::len).collect();
    assert_eq!(lengths, [16, 16, 8]);
    for (n, entry) in lists.concat().into_iter().enumerate() {
        let expected = format!("{}=a.0.0.{n}#1:Done/Starting", n + 1);
        assert_eq!(entry, expected);
    }
}

/// Answers to starts are logged before the decision that rests on them.
#[test]
fn run_log_answers_first() {
    let (mut pool_state, _) = pool_with_sent_starts(1);
    let effects = settle_first_start(&mut pool_state, 1_030, OrderReply::Silent);
    assert!(
        lines(&effects, Code::StartsAnswered).is_empty(),
        "answers are batched"
    );
    let effects = settle_first_start(&mut pool_state, 1_080, OrderReply::OtherLife);
    let codes = effects.iter().filter_map(|effect| match effect {
        Effect::Log(decision) => Some(decision.code),
        _ => None,
    });
    let codes: Vec<Code> = codes.collect();
    let expected = [Code::StartsAnswered, Code::WorkerOver, Code::TaskRequeued];
    assert_eq!(codes, expected);
    let log_line = only_line(&effects, Code::StartsAnswered);
    let runs = "a.0.0.0#1@life-1:Silent,30,50 a.0.0.0#1@life-1:OtherLife,80,0";
    assert_eq!(name_in(log_line, "runs"), runs);
    let log_line = only_line(&effects, Code::WorkerOver);
    assert_eq!(
        log_line.why,
        "another instance answered in the worker's place"
    );
    assert_eq!(name_in(log_line, "to"), "start");
}

/// An answer that is no longer awaited is logged, too.
#[test]
fn run_log_late_answer() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    settle_first_start(&mut pool_state, 1_030, OrderReply::Accepted);
    settle_first_start(&mut pool_state, 1_050, OrderReply::Accepted);
    let effects = decide(1_200, |ctx| {
        runs::end_worker(&mut pool_state, worker, &Evidence::Lapse, ctx);
    });
    let log_line = only_line(&effects, Code::StartsAnswered);
    let runs = "a.0.0.0#1@life-1:Accepted,30,170 a.0.0.0#1:Accepted/Running#1,150";
    assert_eq!(name_in(log_line, "runs"), runs);
}

#[test]
fn run_log_lease_expired() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    pool_state.workers[worker].is_answering = false;
    pool_state.workers[worker].answered_ms = 900;
    let over_ms = pool_state.workers[worker].lease_end_ms;
    let effects = decide(over_ms, |ctx| {
        renewal::expire_lease(&mut pool_state, worker, ctx)
    });
    let log_line = only_line(&effects, Code::WorkerOver);
    assert_eq!(log_line.why, "the worker's lease has expired");
    assert_eq!(name_in(log_line, "on"), "host");
    assert_eq!(name_in(log_line, "by"), "-");
    assert_eq!(figure(log_line, "unheard_ms"), Some(over_ms - 900));
    assert_eq!(figure(log_line, "lease_left_ms"), Some(0));
    assert_eq!(figure(log_line, "taken"), Some(0));
    let log_line = only_line(&effects, Code::TaskRequeued);
    assert_eq!(name_in(log_line, "worker"), "life-1");
    assert_eq!(name_in(log_line, "phase"), "Starting");
}

#[test]
fn run_log_later_instance() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    pool_state.workers[worker].answered_ms = 900;
    let left_ms = pool_state.workers[worker].lease_end_ms - 1_500;
    let later = load::add_worker(&mut pool_state, listed_worker("life-2", "host"), 0);
    let effects = decide(1_400, |ctx| {
        let refused = Err(OrderReply::Refused);
        renewal::settle(&mut pool_state, worker, 1_300, refused, EPOCH, ctx);
    });
    assert!(lines(&effects, Code::WorkerOver).is_empty());
    let effects = apply_report(&mut pool_state, later, 1_500, Vec::new(), &[]);
    let log_line = only_line(&effects, Code::WorkerOver);
    assert_eq!(
        log_line.why,
        "a later instance on the worker's host answers"
    );
    assert_eq!(
        (&*log_line.id, name_in(log_line, "by")),
        ("life-1", "life-2")
    );
    assert_eq!(figure(log_line, "asked_ago_ms"), Some(40));
    assert_eq!(figure(log_line, "unheard_ms"), Some(600));
    assert_eq!(figure(log_line, "lease_left_ms"), Some(left_ms));
}

#[test]
fn run_log_other_instance() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    let effects = decide(1_500, |ctx| {
        renewal::settle(
            &mut pool_state,
            worker,
            1_460,
            Err(OrderReply::OtherLife),
            EPOCH,
            ctx,
        );
    });
    let log_line = only_line(&effects, Code::WorkerOver);
    assert_eq!(
        log_line.why,
        "another instance answered in the worker's place"
    );
    assert_eq!(name_in(log_line, "to"), "hold");
}

/// `explain job` finds the lines whose lists name the job, and no lines of other jobs.
#[test]
fn run_log_names_job() {
    let (mut pool_state, worker) = pool_with_sent_starts(1);
    let done = run_end(1, task_name("a", 0), 1, EndKind::Done);
    let effects = apply_report(&mut pool_state, worker, 1_500, vec![done], &[]);
    let log_line = only_line(&effects, Code::EndsTaken);
    assert!(log_line.is_about(Subject::Job, "a"));
    assert!(log_line.is_about(Subject::Host, "life-1"));
    for other in ["", "a.0.0.0", "0", "1=a", "b", "life-1"] {
        assert!(!log_line.is_about(Subject::Job, other), "{other}");
    }
}

/// Returns a world that keeps its entries' log lines from the moment on when the pool has an owner.
fn logging_world(seed: u64, entries: usize, workers: usize) -> World {
    let mut world = World::new(seed, entries, workers);
    world.run(SETTLE_MS);
    world.keeps_log = true;
    world
}

/// The log shows each end, the batch that recorded the end and, from the next report on, that the worker received the
/// acknowledgement.
#[test]
fn run_log_acked_ends() {
    let mut world = logging_world(1, 1, 1);
    for n in 0..5 {
        world.submit(&format!("j{n}"), job(1, 100, 500));
        world.run(3_000);
    }
    let of_code = |code: Code| world.log.iter().filter(move |d| d.code == code);
    let ends: Vec<&Decision> = of_code(Code::EndsTaken).collect();
    assert_eq!(ends.len(), 5);
    for (n, log_line) in ends.iter().enumerate() {
        let expected = format!("{}=j{n}.0.0.0#1:Done/Running", n + 1);
        assert_eq!(name_in(log_line, "runs"), expected);
        let before = Some(n as u64);
        for name in ["taken_before", "recorded", "told_seen"] {
            assert_eq!(figure(log_line, name), before, "{name}");
        }
        let id = format!("j{n}");
        let batches = of_code(Code::BatchRecorded).filter(|d| d.is_about(Subject::Job, &id));
        let batches: Vec<&Decision> = batches.collect();
        let starts = batches.iter().map(|d| figure(d, "starts"));
        assert_eq!(starts.collect::<Vec<_>>(), [Some(1), Some(0)]);
        assert!(batches.iter().all(|d| d.id.starts_with(POOL)));
        let revisions = batches.iter().map(|d| figure(d, "revision"));
        assert!(revisions.is_sorted());
    }
}

/// The log shows what a new owner loads, and what an owner loads that reads its rows again.
#[test]
fn run_log_pool_loaded() {
    let mut world = logging_world(1, 2, 2);
    world.submit("long", job(3, 100, 60_000));
    world.run(2_000);
    let owner = world.owner_entry().expect("the pool has an owner");
    world.kill(owner);
    world.run(SETTLE_MS);
    let loaded = |d: &&Decision| d.code == Code::PoolLoaded;
    let log_line = world.log.iter().find(loaded).expect("the line is logged");
    assert_eq!(log_line.why, "rows read");
    assert_eq!(figure(log_line, "started"), Some(3));
    assert_eq!(figure(log_line, "done"), Some(0));
    assert_eq!(figure(log_line, "reads"), Some(1));
    let on: Vec<&str> = name_in(log_line, "started_on").split(' ').collect();
    let worker_ids = world.worker_ids();
    let counts = on.iter().map(|entry| {
        let (worker_id, count) = entry.split_once(':').expect("an instance and a count");
        assert!(
            worker_ids.iter().any(|known| known == worker_id),
            "{worker_id}"
        );
        count.parse::<u64>().expect("a count")
    });
    assert_eq!(counts.sum::<u64>(), 3);
    let owner = world.owner_entry().expect("the pool has an owner");
    let again = world.reload(owner);
    let log_line = again.iter().find(loaded).expect("the line is logged");
    assert_eq!(log_line.why, "rows read again, by the same owner");
    assert_eq!(figure(log_line, "reads"), Some(2));
}

/// Identifies the run of a task: job, position of the task and number of the run.
fn run_key(log_line: &Decision, run: u64) -> (String, [Option<u64>; 3], u64) {
    let place = ["round", "step", "task"].map(|name| figure(log_line, name));
    (log_line.id.clone(), place, run)
}

/// A task's later run is placed only after a line has logged why the run before it is over, whatever fails.
#[test]
fn run_log_before_start() {
    let mut later_runs = 0;
    for seed in 0..30 {
        let mut world = logging_world(seed, 3, 5);
        world.faults = Faults {
            store_late: 500,
            order_lost: 100,
            order_late: 500,
            run_fails: 60,
            ..Faults::default()
        };
        for n in 0..12_u64 {
            world.submit(&format!("j{n}"), job(4, 900, 800));
            world.run(400 + 37 * seed);
            let worker_ids = world.worker_ids();
            let worker_id = &worker_ids[(n + seed) as usize % worker_ids.len()];
            match n % 3 {
                0 => world.crash(worker_id, 700),
                1 => world.disconnect_worker(worker_id, 6_000),
                _ => {
                    let owner = world.owner_entry();
                    owner.into_iter().for_each(|owner| world.kill(owner));
                    owner.into_iter().for_each(|owner| world.boot(owner));
                }
            }
        }
        world.run(20_000);
        let mut over = std::collections::HashSet::new();
        for log_line in &world.log {
            let run = figure(log_line, "run").unwrap_or(0);
            if log_line.code == Code::TaskRequeued {
                assert_ne!(
                    name_in(log_line, "worker"),
                    "-",
                    "seed {seed}: {log_line:?}"
                );
                over.insert(run_key(log_line, run));
            }
            if log_line.code == Code::TaskPlaced && run > 1 {
                later_runs += 1;
                let before = run_key(log_line, run - 1);
                assert!(over.contains(&before), "seed {seed}: {log_line:?}");
            }
        }
    }
    assert!(
        later_runs > 100,
        "only {later_runs} runs were a task's second or later"
    );
}

/// An operator asks the entry that owns the pool to explain a job.
#[test]
fn run_log_explained() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the fleet starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    let id = "00000000000000aa";
    let body = json!({"spec": "work", "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50}]});
    let path = format!("/q/{id}");
    let sent = call(one.callers, Method::Post, &path, &body).expect("an answer");
    assert_eq!(sent.status, 200);
    let explain = || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_rockwick"));
        let entry = one.metrics.to_string();
        let run = command.args(["explain", "job", id, "--entry", &entry]);
        String::from_utf8(run.output().expect("the command runs").stdout).expect("text")
    };
    // Answers to starts are batched, so their line may come last.
    wait_until("its lines are there", || {
        let text = explain();
        text.matches("batch-recorded").count() == 2 && text.contains("starts-answered")
    });
    let text = explain();
    let name = format!("{id}.0.0.0#1");
    let expected = [
        "task-placed: ".to_string(),
        "batch-recorded: changes of jobs".to_string(),
        format!("runs={name}@"),
        format!("runs=1={name}:Done/Running "),
        "job-ended: completed".to_string(),
    ];
    for line in expected {
        assert!(text.contains(&line), "{line}: {text}");
    }
    let unknown = call(one.metrics, Method::Get, "/v1/explain/what/x", &json!(null));
    assert_eq!(unknown.map(|a| a.status), Some(404));
}
