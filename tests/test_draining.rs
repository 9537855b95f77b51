//! Workers that announce their end: nothing is started on them, also if the start was decided on or sent before.

use std::sync::Arc;

use rockwick::clock::Now;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::{encode, shard_parts, OwnerRow, OWNER_KEY, SHARDS};
use rockwick::core::sched::state::{Effect, Event, LoadedRows, PoolKey, State};
use rockwick::event::{Code, Decision, Subject};
use rockwick::port::fleet::{FleetConfig, OperatorEvent, StoredRow, TxOutcome, WorkerInfo};

use crate::world::{config, job, listed_worker, Faults, World, POOL};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Time for which a worker continues to serve after it announced its end.
const SERVE_MS: u64 = 6_000;

/// Number of jobs submitted after each drain begins.
const JOBS_PER_DRAIN: u64 = 15;

/// Time after which the next instance of a host starts.
const BACK_MS: u64 = 1_000;

/// Time within which the world's work is done once there are no more faults.
const CALM_MS: u64 = 30_000;

/// Returns a world with two entries and six workers, whose pool has an owner.
fn settled_world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 6);
    world.run(SETTLE_MS);
    world
}

/// Lets each worker in turn announce its end while jobs keep coming. The world checks each start. Returns the jobs.
fn drain_in_turn(world: &mut World) -> Vec<String> {
    let mut jobs = Vec::new();
    for worker_id in world.worker_ids() {
        world.drain_worker(&worker_id, SERVE_MS, BACK_MS);
        for _ in 0..JOBS_PER_DRAIN {
            let id = format!("job-{}", jobs.len());
            world.submit(&id, job(4, 1_500, 400));
            jobs.push(id);
            world.run(SERVE_MS / 2 / JOBS_PER_DRAIN);
        }
    }
    jobs
}

/// Checks that all jobs complete once there are no more faults.
fn check_completed(world: &mut World, jobs: &[String]) {
    world.faults = Faults::default();
    world.run(CALM_MS);
    for id in jobs {
        assert_eq!(world.recorded_state(id), JobState::Completed, "{id}");
    }
}

fn lines(world: &World, code: Code) -> Vec<&Decision> {
    world.log.iter().filter(|d| d.code == code).collect()
}

fn figure(decision: &Decision, what: &str) -> Option<u64> {
    let found = decision.figures.iter().find(|(name, _)| name == what);
    found.map(|(_, value)| *value)
}

#[test]
fn draining_no_fault() {
    for seed in 0..6 {
        let mut world = settled_world(seed);
        let jobs = drain_in_turn(&mut world);
        check_completed(&mut world, &jobs);
    }
}

/// A start that got no answer is not sent again to a worker that has announced its end meanwhile.
#[test]
fn draining_start_unanswered() {
    for seed in 0..60 {
        let mut world = settled_world(seed);
        world.faults.order_lost = 300;
        world.faults.order_late = 500;
        let jobs = drain_in_turn(&mut world);
        check_completed(&mut world, &jobs);
    }
}

/// The store records a placement only after the worker announced its end. The start must not be sent then.
#[test]
fn draining_recorded_late() {
    for seed in 0..20 {
        let mut world = settled_world(seed);
        world.unavailable_parts.extend(shard_parts(POOL));
        world.submit("late", job(24, 1_500, 400));
        world.run(500);
        for id in world.worker_ids().into_iter().take(3) {
            world.drain_worker(&id, SERVE_MS, BACK_MS);
        }
        // Shorter than the bound of an owner's lease, so that the owner stays the same.
        world.run(300);
        let before = world.starts_while_draining;
        world.unavailable_parts.clear();
        check_completed(&mut world, &["late".to_string()]);
        assert_eq!(world.starts_while_draining, before, "seed {seed}");
    }
}

/// A start waits for its worker, which does not answer, and the worker announces its end before it answers again.
#[test]
fn draining_unheard() {
    for seed in 0..40 {
        let mut world = settled_world(seed);
        let ids = world.worker_ids();
        for id in ids.iter().take(3) {
            world.disconnect_worker(id, 2_900);
        }
        world.submit("waits", job(24, 1_500, 400));
        world.run(600);
        for id in ids.iter().take(3) {
            world.drain_worker(id, 2 * SERVE_MS, BACK_MS);
        }
        check_completed(&mut world, &["waits".to_string()]);
    }
}

/// The owner logs when and by which reading it learned that a worker drains.
#[test]
fn draining_logged() {
    let mut world = settled_world(4);
    world.keeps_log = true;
    let id = world.worker_ids().remove(0);
    world.drain_worker(&id, SERVE_MS, BACK_MS);
    world.run(500);
    let found = lines(&world, Code::WorkerDraining);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].id, id);
    assert!(found[0].names.contains(&("by", "feed".to_string())));
    assert!(figure(found[0], "list_age_ms").is_some());
}

/// The log tells of a withdrawn start why it did not go out, for its job and for its worker.
#[test]
fn draining_explained() {
    let mut world = settled_world(4);
    world.keeps_log = true;
    world.unavailable_parts.extend(shard_parts(POOL));
    world.submit("late", job(24, 1_500, 400));
    world.run(500);
    let worker_ids = world.worker_ids();
    for id in worker_ids.iter().take(3) {
        world.drain_worker(id, SERVE_MS, BACK_MS);
    }
    world.run(300);
    world.unavailable_parts.clear();
    world.run(500);
    let withdrawn = lines(&world, Code::StartWithdrawn);
    assert!(!withdrawn.is_empty());
    for line in withdrawn {
        assert_eq!(line.why, "its worker announced its end");
        assert_eq!(figure(line, "sends"), Some(0));
        assert!(line.is_about(Subject::Job, "late"));
        let is_named = |id: &String| line.is_about(Subject::Host, id);
        assert_eq!(worker_ids.iter().filter(|id| is_named(id)).count(), 1);
    }
}

/// Names of the pools of an entry that claims two at once.
const POOLS: [&str; 2] = ["first", "second"];

fn now(ms: u64) -> Now {
    Now {
        ms,
        wall_ms: ms,
        ..Now::default()
    }
}

/// Returns an entry that has just claimed both pools, and when. It read the list of workers `before` claiming.
fn entry_with_claims(before: &[WorkerInfo]) -> (State, u64) {
    let config = FleetConfig {
        pools: POOLS
            .map(|pool| (pool.to_string(), Default::default()))
            .into(),
        ..config(1)
    };
    let mut state = State::new("entry", 7);
    let config_event = OperatorEvent::Config(Arc::new(config));
    reduce(&mut state, Event::Operator(config_event), now(10));
    reduce(&mut state, Event::WorkersRead(before.to_vec()), now(15));
    reduce(&mut state, Event::Store(true), now(20));
    let mut now_ms = 3_000;
    while state.owned_count() < POOLS.len() {
        now_ms += 10;
        assert!(now_ms < 10_000, "the pools are claimed");
        let mut claims = vec![];
        for effect in reduce(&mut state, Event::Tick, now(now_ms)) {
            claims.extend(match effect {
                Effect::Claim(pool, shard, _) => Some((pool, shard)),
                _ => None,
            });
        }
        for (pool, _) in claims {
            for shard in 0..SHARDS {
                let done = TxOutcome::Committed(100 + u64::from(pool.0) * 10 + shard as u64);
                let event = Event::Claimed(pool, shard, now_ms, done);
                reduce(&mut state, event, now(now_ms));
            }
        }
    }
    (state, now_ms)
}

/// Delivers the rows of a pool, which were read together with the list of workers.
fn deliver_rows(state: &mut State, key: PoolKey, workers: &[WorkerInfo], now_ms: u64) {
    let pool = &state.pools[usize::from(key.0)];
    let epoch = pool.ownership.as_ref().expect("the pool is owned").epoch;
    let owner = OwnerRow {
        entry: "entry".to_string(),
        nonce: 7,
        epoch: 0,
    };
    let rows = LoadedRows {
        owner: vec![StoredRow {
            part: pool.name.clone(),
            key: OWNER_KEY.to_string(),
            value: Some(encode(&owner)),
            revision: epoch,
        }],
        workers: workers.to_vec(),
        workers_asked_ms: now_ms,
        ..LoadedRows::default()
    };
    let event = Event::Loaded(key, epoch, Some(rows));
    reduce(state, event, now(now_ms + 5));
}

/// An entry keeps the list of workers while it owns no pool and does not follow the list. When it claims two pools at
/// once, both are built from the list that was read with their rows.
#[test]
fn draining_list_kept() {
    let workers = POOLS.map(|pool| WorkerInfo {
        pool: pool.to_string(),
        ..listed_worker(&format!("worker-{pool}"), &format!("host-{pool}"))
    });
    let draining = workers.clone().map(|info| WorkerInfo {
        is_draining: true,
        ..info
    });
    let (mut state, now_ms) = entry_with_claims(&workers);
    for key in [PoolKey(0), PoolKey(1)] {
        deliver_rows(&mut state, key, &draining, now_ms);
    }
    for pool in &state.pools {
        let ownership = pool.ownership.as_ref().expect("the pool is owned");
        let pool_state = ownership.pool_state.as_ref().expect("its rows are read");
        let drains: Vec<bool> = pool_state
            .workers
            .values()
            .map(|w| w.info.is_draining)
            .collect();
        assert_eq!(drains, [true], "pool {}", pool.name);
    }
}
