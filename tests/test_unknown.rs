//! Guards against decisions that cannot be undone and were made before a fact was known, or on an outdated fact.

use std::collections::BTreeMap;
use std::sync::Arc;

use rockwick::core::sched::job::{JobSpec, JobState};
use rockwick::core::sched::load;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{self, shard_of_part, HEARTBEAT_KEY};
use rockwick::core::sched::state::{Effect, Event, WaveKnown};
use rockwick::core::sched::wave::{self, WaveController};
use rockwick::port::fleet::{HostRecord, HostState, OperatorEvent, Table, WaveOrder, WaveState};

use crate::decide::decide;
use crate::world::{config, job, listed_worker, World, POOL, QUEUE};

/// Number of seeds.
const SEEDS: u64 = 40;

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// The longest time that a few short runs take, including a takeover.
const RUNS_MS: u64 = 20_000;

/// Delays the configuration past the end of any test here.
const NEVER_MS: u64 = 600_000;

/// Returns the seeds for which `play` returns false or panics.
fn failing_seeds(play: impl Fn(u64) -> bool + std::panic::RefUnwindSafe) -> Vec<u64> {
    let holds = |seed: u64| std::panic::catch_unwind(|| play(seed)).ok() == Some(true);
    (0..SEEDS).filter(|seed| !holds(*seed)).collect()
}

fn assert_no_failures(failing: &[u64]) {
    assert!(
        failing.is_empty(),
        "{} seeds failed: {failing:?}",
        failing.len()
    );
}

/// Returns the partition of a job's row in a table.
fn find_part(world: &World, table: Table, id: &str) -> Option<String> {
    let mut rows = world.store.keys();
    let found = rows.find(|(of, _, key)| *of == table && key == id);
    found.map(|(_, part, _)| part.clone())
}

/// Replaces the bytes of a job's intake row without informing any entry.
fn rewrite_intake(world: &mut World, id: &str, rewrite: impl Fn(&[u8]) -> Vec<u8>) {
    let part = find_part(world, Table::Intake, id).expect("the job was submitted");
    let place = (Table::Intake, part, id.to_string());
    let (value, _) = world.store.get_mut(&place).expect("the row exists");
    *value = rewrite(value);
}

/// The owner's configuration is older than the one under which the job was accepted, and allows fewer attempts. The job
/// keeps the number of attempts that it was accepted with.
#[test]
fn attempts_older_config() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.run(SETTLE_MS);
        world.config_late_ms = NEVER_MS;
        world.set_attempts(5);
        world.submit("job", job(1, 1_000, 200));
        world.fail_runs("job", 4);
        world.run(RUNS_MS);
        world.recorded_state("job") == JobState::Completed
    }));
}

/// An owner with an older configuration takes over from one that allows more attempts, and the worker of the current
/// run crashes. The job must not be ended without a further failed run.
#[test]
fn attempts_older_taker() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.run(SETTLE_MS);
        world.config_late_ms = NEVER_MS;
        world.set_attempts(5);
        let mut newer = config(2);
        for queue in newer.queues.values_mut() {
            queue.attempts_max = 5;
        }
        let owner = world.owner_entry().expect("the pool has an owner");
        let newer = OperatorEvent::Config(Arc::new(newer));
        world.deliver_event(owner, Event::Operator(newer));
        world.submit("job", job(1, 1_000, 2_000));
        world.fail_runs("job", 3);
        world.run(300);
        world.kill(owner);
        let worker_ids = world.worker_ids();
        let busy = worker_ids.iter().find(|id| world.running_on(id) > 0);
        world.crash(busy.expect("the fourth run began"), 1_000);
        world.run(RUNS_MS);
        world.recorded_state("job") == JobState::Completed
    }));
}

/// After an outage an owner receives two configurations at once. The first allows fewer attempts than a waiting task
/// has used up, the newest allows more. The first must not end the job.
#[test]
fn attempts_passing_config() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 1);
        world.set_attempts(5);
        world.run(SETTLE_MS);
        world.submit("job", job(1, 10_000, 2_500));
        world.fail_runs("job", 1);
        let worker = world.worker_ids().remove(0);
        while world.starts < 2 && world.now_ms < RUNS_MS {
            world.run(5);
        }
        world.resize(&worker, 1_000);
        world.fail_runs("job", 2);
        world.run(2_000);
        assert_eq!(
            (world.most_failed_runs("job"), world.running("job")),
            (2, 0)
        );
        let owner = world.owner_entry().expect("the pool has an owner");
        for (version, attempts_max) in [(10, 2), (11, 5)] {
            let mut passing = config(version);
            for queue in passing.queues.values_mut() {
                queue.attempts_max = attempts_max;
            }
            let event = OperatorEvent::Config(Arc::new(passing));
            world.deliver_event(owner, Event::Operator(event));
        }
        world.resize(&worker, 16_000);
        world.run(RUNS_MS);
        world.recorded_state("job") == JobState::Completed
    }));
}

/// An owner without a configuration takes over a job that an earlier version accepted without recording the allowed
/// attempts. The job must still get as many as its queue allows.
#[test]
fn attempts_unrecorded() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.set_attempts(5);
        world.run(SETTLE_MS);
        for n in 0..3 {
            world.kill(n);
        }
        world.submit("job", job(1, 1_000, 200));
        rewrite_intake(&mut world, "job", |value| {
            let mut spec: JobSpec = rows::decode(value).expect("the spec decodes");
            spec.policy = None;
            rows::encode(&spec)
        });
        world.config_late_ms = 5_000;
        world.restart_all_entries();
        world.fail_runs("job", 4);
        world.run(RUNS_MS);
        world.recorded_state("job") == JobState::Completed
    }));
}

/// The owner's configuration is older than the account of a job. Its unknown quota must not count as no limit.
#[test]
fn quota_newer_account() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.run(SETTLE_MS);
        world.config_late_ms = NEVER_MS;
        world.set_quotas(&[("account", 2_000)]);
        let mut spec = job(10, 1_000, 3_000);
        spec.account = Some("account".to_string());
        world.submit("job", spec);
        let mut most = 0;
        for _ in 0..400 {
            world.run(25);
            most = most.max(world.account_cpu_milli("account"));
        }
        most <= 2_000
    }));
}

/// The intake row of a job cannot be decoded. Its progress must not be removed as that of a job that left the store.
#[test]
fn progress_unread_job() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.run(SETTLE_MS);
        world.submit("job", job(2, 1_000, 3_000));
        world.run(2_000);
        assert!(find_part(&world, Table::Progress, "job").is_some());
        rewrite_intake(&mut world, "job", |_| b"\xff{".to_vec());
        world.restart_all_entries();
        world.run(RUNS_MS);
        find_part(&world, Table::Progress, "job").is_some()
    }));
}

/// A job is done in its owner's in-memory state, but that cannot be recorded. Its intake row must stay in the store.
#[test]
fn removed_before_record() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.run(SETTLE_MS);
        world.submit("job", job(1, 1_000, 3_000));
        world.run(1_000);
        let part = find_part(&world, Table::Progress, "job").expect("the job has a record");
        world.unavailable_parts.insert(part);
        world.run(200_000);
        assert!(!world.recorded_state("job").is_final());
        find_part(&world, Table::Intake, "job").is_some()
    }));
}

/// A wave of hosts that came up after the last read of the list must not be reported as completed before any of them
/// was out.
#[test]
fn wave_older_list() {
    let mut pool_state = PoolState::default();
    load::add_worker(&mut pool_state, listed_worker("life-2", "new"), 0);
    let mut controller = WaveController::default();
    let old = HostRecord {
        host: "old".to_string(),
        hall: "hall".to_string(),
        rack: String::new(),
        pool: POOL.to_string(),
        state: HostState::Up,
        worker: "life-1".to_string(),
    };
    wave::apply_list(&mut controller, vec![old]);
    let order = WaveOrder {
        wave: 1,
        hosts: vec!["new".to_string()],
        duration_ms: 60_000,
        out_max: 1,
    };
    let known = WaveKnown {
        order,
        seen_ms: 10_000,
        ..WaveKnown::default()
    };
    let mut waves = BTreeMap::from([(1, known)]);
    let effects = decide(10_000, |ctx| {
        wave::reconcile(&mut pool_state, &mut controller, &mut waves, POOL, 7, ctx);
    });
    let is_completed = |e: &Effect| matches!(e, Effect::ReportWave(1, WaveState::Completed));
    assert!(!effects.iter().any(is_completed));
}

/// Returns the number of waiting jobs in the newest heartbeat, or `None` if the heartbeat does not state it.
fn reported_waiting(world: &World) -> Option<u64> {
    let heartbeats = world.store.iter().filter(|((table, part, key), _)| {
        *table == Table::Owners && key == HEARTBEAT_KEY && shard_of_part(part).is_some()
    });
    let (_, (value, _)) = heartbeats.max_by_key(|(_, (_, revision))| *revision)?;
    let heartbeat: serde_json::Value =
        serde_json::from_slice(value).expect("the heartbeat decodes");
    let waiting = heartbeat.get("waiting")?.as_object()?;
    Some(waiting.get(QUEUE).and_then(|n| n.as_u64()).unwrap_or(0))
}

/// An owner that could not read its rows yet must not report that no job waits.
#[test]
fn waiting_before_load() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 0);
        world.run(SETTLE_MS);
        world.restart_all_entries();
        world
            .unavailable_parts
            .insert("a part of intake".to_string());
        for n in 0..10 {
            world.submit(&format!("job-{n}"), job(1, 1_000, 200));
        }
        world.run(10_000);
        assert!(world.owner().is_some());
        reported_waiting(&world).is_none_or(|count| count >= 5)
    }));
}

/// A run fails on the only worker with enough capacity for its task while other workers are open. The task must start
/// there again.
#[test]
fn failed_only_fit() {
    assert_no_failures(&failing_seeds(|seed| {
        let mut world = World::new(seed, 3, 4);
        world.run(SETTLE_MS);
        for worker in world.worker_ids().into_iter().skip(1) {
            world.resize(&worker, 4_000);
        }
        world.run(3_000);
        world.submit("job", job(1, 8_000, 200));
        world.fail_runs("job", 1);
        world.run(RUNS_MS);
        world.recorded_state("job") == JobState::Completed
    }));
}
