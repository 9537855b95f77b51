//! The log tells why a task was started again: each end as it is taken in, each answer to a start, and what each
//! judgement rests on that a run is over.

use http_types::Method;
use rockwick::core::sched::crashes::Evidence;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows;
use rockwick::core::sched::runs;
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::event::{Code, Decision, Subject};
use rockwick::port::fleet::{
    EndKind, OrderReply, RenewalReport, RunEnd, RunningTask, StoredRow, TaskName,
};
use serde_json::json;
use standin::fleet::Fleet;

use crate::decide::{answering, decide};
use crate::test_serve::{call, entry, until};
use crate::world::{config, job, worker_fact, Faults, World, POOL};

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// When its starts are sent.
const SENT_MS: u64 = 1_000;

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Books with one worker, and `tasks` tasks of job `a` whose starts are out.
fn starting(tasks: u16) -> (PoolState, WorkerKey) {
    let mut pool_state = PoolState::default();
    let worker = answering(&mut pool_state, worker_fact("life-1", "host"));
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

/// Places what waits, and sends its starts as if that were on record.
fn send_placed(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    place::place(pool_state, ctx);
    for (task, run) in std::mem::take(&mut pool_state.unsent_starts) {
        runs::send_start(pool_state, task, run, EPOCH, ctx);
    }
}

fn name(job: &str, index: u16) -> TaskName {
    TaskName {
        job: job.to_string(),
        round: 0,
        step: 0,
        index,
    }
}

fn key(pool_state: &PoolState, index: u16) -> TaskKey {
    pool_state
        .find_task(&name("a", index))
        .expect("the task is there")
}

fn answer(pool_state: &mut PoolState, now_ms: u64, reply: OrderReply) -> Vec<Effect> {
    let task = key(pool_state, 0);
    decide(now_ms, |ctx| {
        runs::settle_start(pool_state, task, 1, reply, EPOCH, ctx);
    })
}

fn end(number: u64, task: TaskName, run: u32, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        task,
        run,
        kind,
        checkpoint: String::new(),
    }
}

/// An account that was asked for 40 ms before.
fn account(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    now_ms: u64,
    ended: Vec<RunEnd>,
    running: &[(u16, u32)],
) -> Vec<Effect> {
    let running = running.iter().map(|(index, run)| RunningTask {
        task: name("a", *index),
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

fn only(effects: &[Effect], code: Code) -> &Decision {
    let found = lines(effects, code);
    assert_eq!(found.len(), 1, "{code:?}: {found:?}");
    found[0]
}

fn named<'a>(decision: &'a Decision, what: &str) -> &'a str {
    let found = decision.names.iter().find(|(name, _)| *name == what);
    found.map_or("-", |(_, name)| name)
}

fn figure(decision: &Decision, what: &str) -> Option<u64> {
    let found = decision.figures.iter().find(|(name, _)| name == what);
    found.map(|(_, value)| *value)
}

#[test]
fn told_end_of_current_run() {
    let (mut pool_state, worker) = starting(1);
    answer(&mut pool_state, 1_030, OrderReply::Accepted);
    let done = end(1, name("a", 0), 1, EndKind::Done);
    let effects = account(&mut pool_state, worker, 1_500, vec![done], &[]);
    let told = only(&effects, Code::EndsTaken);
    assert_eq!((told.subject, &*told.id), (Subject::Host, "life-1"));
    assert_eq!(named(told, "runs"), "1=a.0.0.0#1:Done/Running");
    assert_eq!(named(told, "on"), "host");
    assert_eq!(figure(told, "epoch"), Some(EPOCH));
    assert_eq!(figure(told, "asked_ago_ms"), Some(40));
    assert_eq!(figure(told, "taken_before"), Some(0));
    assert_eq!(figure(told, "again"), Some(0));
    assert_eq!(figure(told, "told_seen"), Some(0));
}

#[test]
fn told_end_listed_again() {
    let (mut pool_state, worker) = starting(1);
    let done = end(1, name("a", 0), 1, EndKind::Done);
    account(&mut pool_state, worker, 1_500, vec![done.clone()], &[]);
    let effects = account(&mut pool_state, worker, 2_600, vec![done], &[]);
    let told = only(&effects, Code::EndsTaken);
    assert_eq!(named(told, "runs"), "", "it is not taken in again");
    assert_eq!(figure(told, "again"), Some(1));
    assert_eq!(named(told, "again_runs"), "1=a.0.0.0#1");
    assert_eq!(figure(told, "taken_before"), Some(1));
}

#[test]
fn told_restart() {
    let (mut pool_state, worker) = starting(1);
    pool_state.workers[worker].fact.born_wall_ms = Some(5_000);
    let report = RenewalReport {
        born_wall_ms: Some(9_000),
        clock_ms: 10,
        ..RenewalReport::default()
    };
    let effects = decide(1_500, |ctx| {
        renewal::settle(&mut pool_state, worker, 1_460, Ok(report), EPOCH, ctx);
    });
    let told = only(&effects, Code::WorkerRestarted);
    assert_eq!((told.subject, &*told.id), (Subject::Host, "life-1"));
    assert_eq!(figure(told, "born_wall_ms"), Some(9_000));
    assert_eq!(figure(told, "known_born_wall_ms"), Some(5_000));
    assert_eq!(figure(told, "tasks"), Some(1));
}

#[test]
fn told_end_of_done_task() {
    let (mut pool_state, worker) = starting(2);
    let first = end(1, name("a", 0), 1, EndKind::Done);
    account(&mut pool_state, worker, 1_500, vec![first], &[(1, 1)]);
    let second = end(2, name("a", 0), 1, EndKind::Done);
    let effects = account(&mut pool_state, worker, 1_600, vec![second], &[(1, 1)]);
    let told = only(&effects, Code::EndsTaken);
    assert_eq!(named(told, "runs"), "2=a.0.0.0#1:Done/Done#1");
}

#[test]
fn told_end_of_unknown_job() {
    let (mut pool_state, worker) = starting(1);
    let ends = vec![
        end(1, name("b", 3), 2, EndKind::Done),
        end(2, name("a", 9), 1, EndKind::Failed),
    ];
    let effects = account(&mut pool_state, worker, 1_500, ends, &[]);
    let told = only(&effects, Code::EndsTaken);
    let runs = "1=b.0.0.3#2:Done/JobUnknown 2=a.0.0.9#1:Failed/RoundOver";
    assert_eq!(named(told, "runs"), runs);
}

/// The case itself: a run is taken for over, the next one is out elsewhere, and the first one's end comes.
#[test]
fn told_end_of_earlier_run() {
    let (mut pool_state, worker) = starting(1);
    answer(&mut pool_state, 1_030, OrderReply::Accepted);
    let other = answering(&mut pool_state, worker_fact("life-2", "host-2"));
    pool_state.workers[worker].suspended_until_ms = u64::MAX;
    let effects = account(&mut pool_state, worker, 1_100, Vec::new(), &[]);
    let told = only(&effects, Code::TaskRequeued);
    assert_eq!(told.why, "not among what the worker runs");
    assert_eq!(named(told, "worker"), "life-1");
    assert_eq!(named(told, "on"), "host");
    assert_eq!(named(told, "phase"), "Running");
    assert_eq!(figure(told, "run"), Some(1));
    assert_eq!(figure(told, "asked_ago_ms"), Some(40));
    assert_eq!(figure(told, "settled_ago_ms"), Some(70));
    let effects = decide(1_200, |ctx| send_placed(&mut pool_state, ctx));
    let told = only(&effects, Code::TaskPlaced);
    assert_eq!((&*told.why, named(told, "on")), ("life-2", "host-2"));
    assert!(pool_state.workers[other]
        .tasks
        .contains(&key(&pool_state, 0)));
    let done = end(1, name("a", 0), 1, EndKind::Done);
    let effects = account(&mut pool_state, worker, 1_300, vec![done], &[]);
    let told = only(&effects, Code::EndsTaken);
    let runs = "1=a.0.0.0#1:Done/Starting#2@life-2";
    assert_eq!(named(told, "runs"), runs);
}

#[test]
fn told_end_of_cancelled_job() {
    let (mut pool_state, worker) = starting(1);
    let job = key(&pool_state, 0).job;
    decide(1_100, |ctx| {
        runs::cancel_job(&mut pool_state, job, EPOCH, ctx)
    });
    let done = end(1, name("a", 0), 1, EndKind::Done);
    let effects = account(&mut pool_state, worker, 1_500, vec![done], &[]);
    let told = only(&effects, Code::EndsTaken);
    assert_eq!(named(told, "runs"), "1=a.0.0.0#1:Done/JobOver,Stopping");
}

/// A line stays short, and none of the ends is left out.
#[test]
fn told_many_ends() {
    let (mut pool_state, worker) = starting(40);
    let ends = (0..40).map(|n| end(u64::from(n) + 1, name("a", n), 1, EndKind::Done));
    let ends: Vec<RunEnd> = ends.collect();
    let effects = account(&mut pool_state, worker, 1_500, ends, &[]);
    let told = lines(&effects, Code::EndsTaken);
    let lists = told.iter().map(|line| named(line, "runs"));
    let lists: Vec<Vec<&str>> = lists.map(|runs| runs.split(' ').collect()).collect();
    let lengths: Vec<usize> = lists.iter().map(Vec::len).collect();
    assert_eq!(lengths, [16, 16, 8]);
    for (n, entry) in lists.concat().into_iter().enumerate() {
        let expected = format!("{}=a.0.0.{n}#1:Done/Starting", n + 1);
        assert_eq!(entry, expected);
    }
}

/// Answers are told before the judgement that rests on them.
#[test]
fn told_answers_first() {
    let (mut pool_state, _) = starting(1);
    let effects = answer(&mut pool_state, 1_030, OrderReply::Silent);
    assert!(lines(&effects, Code::StartsAnswered).is_empty(), "gathered");
    let effects = answer(&mut pool_state, 1_080, OrderReply::OtherLife);
    let codes = effects.iter().filter_map(|effect| match effect {
        Effect::Log(decision) => Some(decision.code),
        _ => None,
    });
    let codes: Vec<Code> = codes.collect();
    let expected = [Code::StartsAnswered, Code::WorkerOver, Code::TaskRequeued];
    assert_eq!(codes, expected);
    let told = only(&effects, Code::StartsAnswered);
    let runs = "a.0.0.0#1@life-1:Silent,30,50 a.0.0.0#1@life-1:OtherLife,80,0";
    assert_eq!(named(told, "runs"), runs);
    let told = only(&effects, Code::WorkerOver);
    assert_eq!(told.why, "another life answered");
    assert_eq!(named(told, "to"), "start");
}

/// Also an answer that is not awaited any more.
#[test]
fn told_late_answer() {
    let (mut pool_state, worker) = starting(1);
    answer(&mut pool_state, 1_030, OrderReply::Accepted);
    answer(&mut pool_state, 1_050, OrderReply::Accepted);
    let effects = decide(1_200, |ctx| {
        runs::end_worker(&mut pool_state, worker, &Evidence::Lapse, ctx);
    });
    let told = only(&effects, Code::StartsAnswered);
    let runs = "a.0.0.0#1@life-1:Accepted,30,170 a.0.0.0#1:Accepted/Running#1,150";
    assert_eq!(named(told, "runs"), runs);
}

#[test]
fn told_lease_over() {
    let (mut pool_state, worker) = starting(1);
    pool_state.workers[worker].is_answering = false;
    pool_state.workers[worker].answered_ms = 900;
    let over_ms = pool_state.workers[worker].lease_end_ms;
    let effects = decide(over_ms, |ctx| {
        renewal::expire_lease(&mut pool_state, worker, ctx)
    });
    let told = only(&effects, Code::WorkerOver);
    assert_eq!(told.why, "its lease is over");
    assert_eq!(named(told, "on"), "host");
    assert_eq!(named(told, "by"), "-");
    assert_eq!(figure(told, "unheard_ms"), Some(over_ms - 900));
    assert_eq!(figure(told, "lease_left_ms"), Some(0));
    assert_eq!(figure(told, "taken"), Some(0));
    let told = only(&effects, Code::TaskRequeued);
    assert_eq!(named(told, "worker"), "life-1");
    assert_eq!(named(told, "phase"), "Starting");
}

#[test]
fn told_later_life() {
    let (mut pool_state, worker) = starting(1);
    pool_state.workers[worker].answered_ms = 900;
    let left_ms = pool_state.workers[worker].lease_end_ms - 1_500;
    let later = load::add_worker(&mut pool_state, worker_fact("life-2", "host"), 0);
    let effects = decide(1_400, |ctx| {
        let refused = Err(OrderReply::Refused);
        renewal::settle(&mut pool_state, worker, 1_300, refused, EPOCH, ctx);
    });
    assert!(lines(&effects, Code::WorkerOver).is_empty());
    let effects = account(&mut pool_state, later, 1_500, Vec::new(), &[]);
    let told = only(&effects, Code::WorkerOver);
    assert_eq!(told.why, "a later life of its host answers");
    assert_eq!((&*told.id, named(told, "by")), ("life-1", "life-2"));
    assert_eq!(figure(told, "asked_ago_ms"), Some(40));
    assert_eq!(figure(told, "unheard_ms"), Some(600));
    assert_eq!(figure(told, "lease_left_ms"), Some(left_ms));
}

#[test]
fn told_other_life() {
    let (mut pool_state, worker) = starting(1);
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
    let told = only(&effects, Code::WorkerOver);
    assert_eq!(told.why, "another life answered");
    assert_eq!(named(told, "to"), "hold");
}

/// `explain job` finds the lines that name the job in a list, and no other job's.
#[test]
fn told_of_a_job() {
    let (mut pool_state, worker) = starting(1);
    let done = end(1, name("a", 0), 1, EndKind::Done);
    let effects = account(&mut pool_state, worker, 1_500, vec![done], &[]);
    let told = only(&effects, Code::EndsTaken);
    assert!(told.is_about(Subject::Job, "a"));
    assert!(told.is_about(Subject::Host, "life-1"));
    for other in ["", "a.0.0.0", "0", "1=a", "b", "life-1"] {
        assert!(!told.is_about(Subject::Job, other), "{other}");
    }
}

/// A world whose entries' lines are kept from the moment on that a pool has its owner.
fn telling(seed: u64, entries: usize, workers: usize) -> World {
    let mut world = World::new(seed, entries, workers);
    world.run(SETTLE_MS);
    world.keeps_log = true;
    world
}

/// Each end, the batch that it was recorded with, and from the next account on, that its worker was told so.
#[test]
fn told_until_seen() {
    let mut world = telling(1, 1, 1);
    for n in 0..5 {
        world.submit(&format!("j{n}"), job(1, 100, 500));
        world.run(3_000);
    }
    let of = |code: Code| world.log.iter().filter(move |d| d.code == code);
    let ends: Vec<&Decision> = of(Code::EndsTaken).collect();
    assert_eq!(ends.len(), 5);
    for (n, told) in ends.iter().enumerate() {
        let expected = format!("{}=j{n}.0.0.0#1:Done/Running", n + 1);
        assert_eq!(named(told, "runs"), expected);
        let before = Some(n as u64);
        for name in ["taken_before", "recorded", "told_seen"] {
            assert_eq!(figure(told, name), before, "{name}");
        }
        let id = format!("j{n}");
        let batches = of(Code::BatchRecorded).filter(|d| d.is_about(Subject::Job, &id));
        let batches: Vec<&Decision> = batches.collect();
        let starts = batches.iter().map(|d| figure(d, "starts"));
        assert_eq!(starts.collect::<Vec<_>>(), [Some(1), Some(0)]);
        assert!(batches.iter().all(|d| d.id.starts_with(POOL)));
        let revisions = batches.iter().map(|d| figure(d, "revision"));
        assert!(revisions.is_sorted());
    }
}

/// What a new owner finds, and an owner that reads its rows again.
#[test]
fn told_on_record() {
    let mut world = telling(1, 2, 2);
    world.submit("long", job(3, 100, 60_000));
    world.run(2_000);
    let owner = world.owner_entry().expect("one owns the pool");
    world.kill(owner);
    world.run(SETTLE_MS);
    let loaded = |d: &&Decision| d.code == Code::PoolLoaded;
    let told = world.log.iter().find(loaded).expect("it is told");
    assert_eq!(told.why, "rows read");
    assert_eq!(figure(told, "started"), Some(3));
    assert_eq!(figure(told, "done"), Some(0));
    assert_eq!(figure(told, "reads"), Some(1));
    let on: Vec<&str> = named(told, "started_on").split(' ').collect();
    let lives = world.lives();
    let counts = on.iter().map(|entry| {
        let (life, count) = entry.split_once(':').expect("a life and a count");
        assert!(lives.iter().any(|known| known == life), "{life}");
        count.parse::<u64>().expect("a count")
    });
    assert_eq!(counts.sum::<u64>(), 3);
    let owner = world.owner_entry().expect("one owns the pool");
    let again = world.reload(owner);
    let told = again.iter().find(loaded).expect("it is told");
    assert_eq!(told.why, "rows read again, within the tenure");
    assert_eq!(figure(told, "reads"), Some(2));
}

/// Which run of which task a line is about.
fn run_of(told: &Decision, run: u64) -> (String, [Option<u64>; 3], u64) {
    let place = ["round", "step", "task"].map(|name| figure(told, name));
    (told.id.clone(), place, run)
}

/// No run but a first one gets its place before a line told why the one before it is over, whatever goes wrong.
#[test]
fn told_before_each_start() {
    let mut again = 0;
    for seed in 0..30 {
        let mut world = telling(seed, 3, 5);
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
            let lives = world.lives();
            let life = &lives[(n + seed) as usize % lives.len()];
            match n % 3 {
                0 => world.crash(life, 700),
                1 => world.cut_worker(life, 6_000),
                _ => {
                    let owner = world.owner_entry();
                    owner.into_iter().for_each(|owner| world.kill(owner));
                    owner.into_iter().for_each(|owner| world.boot(owner));
                }
            }
        }
        world.run(20_000);
        let mut over = std::collections::HashSet::new();
        for told in &world.log {
            let run = figure(told, "run").unwrap_or(0);
            if told.code == Code::TaskRequeued {
                assert_ne!(named(told, "worker"), "-", "seed {seed}: {told:?}");
                over.insert(run_of(told, run));
            }
            if told.code == Code::TaskPlaced && run > 1 {
                again += 1;
                let before = run_of(told, run - 1);
                assert!(over.contains(&before), "seed {seed}: {told:?}");
            }
        }
    }
    assert!(
        again > 100,
        "only {again} runs were a task's second or later"
    );
}

/// An operator asks the entry that owns the pool.
#[test]
fn told_explained() {
    let fleet = Fleet::start(POOL, 2, 50).expect("it starts");
    fleet.configure(1, POOL);
    let one = entry(&fleet, "e1");
    let id = "00000000000000aa";
    let body = json!({"spec": "work", "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50}]});
    let path = format!("/q/{id}");
    let sent = call(one.callers, Method::Post, &path, &body).expect("an answer");
    assert_eq!(sent.status, 200);
    let explain = || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_rockwick"));
        let entry = one.metrics.to_string();
        let run = command.args(["explain", "job", id, "--entry", &entry]);
        String::from_utf8(run.output().expect("it runs").stdout).expect("text")
    };
    // Answers to starts are gathered, so theirs may be the last line.
    until("its lines are there", || {
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
