//! Benchmarks of single decisions against the size of pools and configurations: placing a task, one pass of the host
//! controller, and finding the queue and the account of a request.
//!
//! Run with `cargo bench --bench decisions`. The table in docs/MEASURES.md is its output.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use divan::Bencher;
use rockwick::auth::TokenHash;
use rockwick::clock::Now;
use rockwick::core::sched::hosts::{self, HostController, Inputs, PoolNeed};
use rockwick::core::sched::job::{JobSpec, StepSpec};
use rockwick::core::sched::keys::TaskKey;
use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::routing::Routing;
use rockwick::core::sched::rows;
use rockwick::core::sched::state::{Ctx, Effect, PoolKey, Timers};
use rockwick::core::sched::worker::ClockSample;
use rockwick::port::fleet::{
    AccountConfig, Capacity, FleetConfig, HostRecord, HostState, PoolConfig, QueueConfig,
    StoredRow, WorkerInfo,
};

/// Numbers of workers in a pool.
const WORKER_COUNTS: [usize; 4] = [50, 150, 500, 1_000];

const NOW_MS: u64 = 100_000;

fn main() {
    divan::main();
}

/// Runs `work` in the context of a decision; returns its result and the effects that it requested.
fn run_in_context<T>(work: impl FnOnce(&mut Ctx<'_>) -> T) -> (T, Vec<Effect>) {
    let mut timers = Timers::new();
    let mut out = Vec::new();
    let mut ctx = Ctx {
        now: Now {
            ms: NOW_MS,
            wall_ms: NOW_MS,
            store_ms: 0,
        },
        pool: PoolKey(0),
        me: "entry",
        cpu_milli: 250,
        deployment: Default::default(),
        until_ms: u64::MAX,
        timers: &mut timers,
        out: &mut out,
    };
    let result = work(&mut ctx);
    (result, out)
}

fn config() -> FleetConfig {
    let queue = QueueConfig {
        name: "queue".to_string(),
        host: "host".to_string(),
        path_prefix: "/q/".to_string(),
        pool: "pool-0".to_string(),
        priority: 0,
        attempts_max: 3,
        target_ms: 600,
        stretch_milli: 1_600,
        is_public: true,
        advice: None,
    };
    let pool = |n: usize| PoolConfig {
        name: format!("pool-{n}"),
        is_parked: n == 4,
    };
    let pools: BTreeMap<String, PoolConfig> =
        (0..5).map(pool).map(|p| (p.name.clone(), p)).collect();
    FleetConfig {
        queues: [(queue.name.clone(), queue)].into(),
        pools,
        ..FleetConfig::default()
    }
}

fn task_row(id: &str) -> StoredRow {
    job_row(id, 1, 2_300)
}

fn job_row(id: &str, count: u16, cpu_milli: u64) -> StoredRow {
    let spec = JobSpec {
        queue: "queue".to_string(),
        account: None,
        pool: None,
        payload: "work".to_string(),
        steps: vec![StepSpec {
            count,
            cpu_milli,
            mem_mb: 500,
            estimate_ms: 1_000,
            ..StepSpec::default()
        }],
        schedule: None,
        policy: None,
        accepted_wall_ms: NOW_MS,
    };
    StoredRow {
        part: "pool-0".to_string(),
        key: id.to_string(),
        value: Some(rows::encode(&spec)),
        revision: 1,
    }
}

/// Returns the state of a pool whose workers are two thirds full, with one waiting task.
fn loaded_pool(workers: usize) -> PoolState {
    let mut pool_state = PoolState::default();
    for n in 0..workers {
        let worker_info = WorkerInfo {
            id: format!("life-{n}"),
            born_wall_ms: None,
            host: format!("host-{n}"),
            pool: "pool-0".to_string(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000)),
            hall: "hall".to_string(),
            labels: vec!["kind".to_string(), format!("r{}", n / 20)],
            capacity: Capacity {
                cpu_milli: 16_000,
                mem_mb: 64_000,
                gpu: 0,
            },
            is_draining: false,
        };
        let key = load::add_worker(&mut pool_state, worker_info, 0);
        let worker = &mut pool_state.workers[key];
        worker.is_answering = true;
        worker.clock = Some(ClockSample {
            local_ms: 0,
            worker_ms: 0,
        });
        let taken = Capacity {
            cpu_milli: 8_000 + 100 * (n as u64 % 70),
            ..Capacity::default()
        };
        worker.add_task(TaskKey::default(), taken);
        pool_state.update_free_index(key);
    }
    run_in_context(|ctx| load::apply_intake(&mut pool_state, &task_row("a"), &config(), 1, ctx));
    pool_state
}

/// Places one task.
#[divan::bench(args = WORKER_COUNTS)]
fn place_task(bencher: Bencher<'_, '_>, workers: usize) {
    bencher
        .with_inputs(|| loaded_pool(workers))
        .bench_local_refs(|pool_state| run_in_context(|ctx| place::place(pool_state, ctx)));
}

/// Tries to place one task for which no worker has enough free capacity.
#[divan::bench(args = WORKER_COUNTS)]
fn place_task_in_vain(bencher: Bencher<'_, '_>, workers: usize) {
    let full = || {
        let mut pool_state = loaded_pool(workers);
        let keys: Vec<_> = pool_state.workers.keys().collect();
        for key in keys {
            pool_state.workers[key].used.cpu_milli = 16_000;
            pool_state.update_free_index(key);
        }
        pool_state
    };
    bencher
        .with_inputs(full)
        .bench_local_refs(|pool_state| run_in_context(|ctx| place::place(pool_state, ctx)));
}

/// Returns the state of a pool with 2,000 queued tasks, none of which fits on any worker.
fn loaded_pool_with_queue(workers: usize) -> PoolState {
    let mut pool_state = loaded_pool(workers);
    let row = job_row("queue", 2_000, 16_100);
    run_in_context(|ctx| load::apply_intake(&mut pool_state, &row, &config(), 1, ctx));
    pool_state
}

/// Scans a long queue of tasks that fit nowhere, for the first time.
#[divan::bench(args = WORKER_COUNTS)]
fn place_queue_in_vain(bencher: Bencher<'_, '_>, workers: usize) {
    bencher
        .with_inputs(|| loaded_pool_with_queue(workers))
        .bench_local_refs(|pool_state| run_in_context(|ctx| place::place(pool_state, ctx)));
}

/// Scans the same queue a second time, with nothing changed since.
#[divan::bench(args = WORKER_COUNTS)]
fn place_queue_again(bencher: Bencher<'_, '_>, workers: usize) {
    let scanned = || {
        let mut pool_state = loaded_pool_with_queue(workers);
        run_in_context(|ctx| place::place(&mut pool_state, ctx));
        pool_state
    };
    bencher
        .with_inputs(scanned)
        .bench_local_refs(|pool_state| run_in_context(|ctx| place::place(pool_state, ctx)));
}

/// Reconciles hosts at the start of a load peak: one pool lacks half of all hosts, and the others
/// together offer a quarter of all hosts.
#[divan::bench(args = WORKER_COUNTS)]
fn look_at_hosts(bencher: Bencher<'_, '_>, workers: usize) {
    let config = config();
    let list: Vec<HostRecord> = (0..workers)
        .map(|n| HostRecord {
            host: format!("host-{n}"),
            hall: "hall".to_string(),
            rack: String::new(),
            pool: format!("pool-{}", 1 + n % 4),
            state: HostState::Up,
            worker: format!("life-{n}"),
        })
        .collect();
    let offers: Vec<Offers> = (0..5)
        .map(|pool| {
            let mut offers = Offers::default();
            let given = list.iter().filter(|h| h.pool == format!("pool-{pool}"));
            let given = given.map(|h| (h.host.clone(), h.worker.clone()));
            offers.row.offered = given.take(workers / 16).collect();
            offers
        })
        .collect();
    let names: Vec<String> = (0..5).map(|n| format!("pool-{n}")).collect();
    let no_racks = BTreeMap::new();
    let needs: Vec<PoolNeed<'_>> = (0..5)
        .map(|n| PoolNeed {
            pool: &names[n],
            wanted: if n == 0 { workers as u64 / 2 } else { 1 },
            needed: if n == 0 { workers as u64 / 2 } else { 1 },
            lacking_racks: &no_racks,
            offers: &offers[n],
            heartbeat_seen_ms: NOW_MS,
        })
        .collect();
    let inputs = Inputs {
        config: &config,
        needs: &needs,
        evacuated_halls: &BTreeSet::new(),
        pool: "pool-4",
        epoch: 7,
    };
    let controller = || {
        let new = |ctx: &mut Ctx<'_>| {
            let mut controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
            hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
            hosts::apply_list(&mut controller, list.clone());
            controller
        };
        run_in_context(new).0
    };
    bencher
        .with_inputs(controller)
        .bench_local_refs(|controller| {
            run_in_context(|ctx| hosts::reconcile(controller, &BTreeMap::new(), &inputs, ctx))
        });
}

/// Returns a configuration with `count` queues over seven host names, and `count` accounts with two keys each.
fn routing_config(count: usize) -> FleetConfig {
    let queue = |n: usize| QueueConfig {
        name: format!("queue-{n}"),
        host: format!("host-{}", n % 7),
        path_prefix: format!("/p{n}/"),
        ..QueueConfig::default()
    };
    let account = |n: usize| AccountConfig {
        name: format!("account-{n}"),
        keys: vec![
            TokenHash::from_token(&format!("a{n}")),
            TokenHash::from_token(&format!("b{n}")),
        ],
        ..AccountConfig::default()
    };
    FleetConfig {
        queues: (0..count).map(queue).map(|q| (q.name.clone(), q)).collect(),
        accounts: (0..count)
            .map(account)
            .map(|a| (a.name.clone(), a))
            .collect(),
        ..FleetConfig::default()
    }
}

/// Finds the queue and the account of a request by the indexes.
#[divan::bench(args = [10, 150, 1_500])]
fn call_routed(bencher: Bencher<'_, '_>, count: usize) {
    let routing = Routing::new(Arc::new(routing_config(count)));
    bencher.bench_local(|| {
        let queue = routing.find_queue("host-1", "/p8/00000000000000aa");
        (queue.is_some(), routing.find_account("b7").is_some())
    });
}

/// Finds the queue of a request by a scan over all queues, as a baseline for the indexes.
#[divan::bench(args = [10, 150, 1_500])]
fn call_walked(bencher: Bencher<'_, '_>, count: usize) {
    let config = routing_config(count);
    bencher.bench_local(|| {
        let path = "/p8/00000000000000aa";
        let fits = |q: &&QueueConfig| q.host == "host-1" && path.starts_with(&q.path_prefix);
        let queues = config.queues.values().filter(fits);
        queues.max_by_key(|q| q.path_prefix.len()).is_some()
    });
}

/// Builds the indexes of a new configuration.
#[divan::bench(args = [10, 150, 1_500])]
fn routing_built(bencher: Bencher<'_, '_>, count: usize) {
    let config = Arc::new(routing_config(count));
    bencher.bench_local(|| Routing::new(Arc::clone(&config)));
}
