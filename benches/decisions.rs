//! What single decisions cost as pools and configurations grow: a task's place, a look of the entry that orders
//! hosts, the queue and account of a call.
//!
//! `cargo bench --bench decisions`; the table of docs/MEASURES.md comes from it.

use std::collections::BTreeMap;
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

const SIZES: [usize; 4] = [50, 150, 500, 1_000];

const NOW_MS: u64 = 100_000;

fn main() {
    divan::main();
}

fn decide<T>(work: impl FnOnce(&mut Ctx<'_>) -> T) -> (T, Vec<Effect>) {
    let mut timers = Timers::new();
    let mut out = Vec::new();
    let mut ctx = Ctx {
        now: Now {
            ms: NOW_MS,
            wall_ms: NOW_MS,
        },
        pool: PoolKey(0),
        me: "entry",
        cpu_milli: 250,
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

fn job(id: &str) -> StoredRow {
    job_of(id, 1, 2_300)
}

fn job_of(id: &str, count: u16, cpu_milli: u64) -> StoredRow {
    let spec = JobSpec {
        queue: "queue".to_string(),
        account: None,
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

/// Books of a pool whose workers are two thirds full, and one task that waits.
fn pool_state(workers: usize) -> PoolState {
    let mut pool_state = PoolState::default();
    for n in 0..workers {
        let fact = WorkerInfo {
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
            draining: false,
        };
        let key = load::add_worker(&mut pool_state, fact, 0);
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
    decide(|ctx| load::apply_intake(&mut pool_state, &job("a"), &config(), 1, ctx));
    pool_state
}

/// One task gets its place.
#[divan::bench(args = SIZES)]
fn place_task(bencher: Bencher<'_, '_>, workers: usize) {
    bencher
        .with_inputs(|| pool_state(workers))
        .bench_local_refs(|pool_state| decide(|ctx| place::place(pool_state, ctx)));
}

/// One task waits, with no room for it anywhere.
#[divan::bench(args = SIZES)]
fn place_task_in_vain(bencher: Bencher<'_, '_>, workers: usize) {
    let full = || {
        let mut pool_state = pool_state(workers);
        let keys: Vec<_> = pool_state.workers.keys().collect();
        for key in keys {
            pool_state.workers[key].used.cpu_milli = 16_000;
            pool_state.update_free_index(key);
        }
        pool_state
    };
    bencher
        .with_inputs(full)
        .bench_local_refs(|pool_state| decide(|ctx| place::place(pool_state, ctx)));
}

/// Books with a queue of 2,000 tasks, with no room for one of them anywhere.
fn queued(workers: usize) -> PoolState {
    let mut pool_state = pool_state(workers);
    let row = job_of("queue", 2_000, 16_100);
    decide(|ctx| load::apply_intake(&mut pool_state, &row, &config(), 1, ctx));
    pool_state
}

/// A long queue waits in vain, and is looked at for the first time.
#[divan::bench(args = SIZES)]
fn place_queue_in_vain(bencher: Bencher<'_, '_>, workers: usize) {
    bencher
        .with_inputs(|| queued(workers))
        .bench_local_refs(|pool_state| decide(|ctx| place::place(pool_state, ctx)));
}

/// The same, looked at again at once.
#[divan::bench(args = SIZES)]
fn place_queue_again(bencher: Bencher<'_, '_>, workers: usize) {
    let looked_at = || {
        let mut pool_state = queued(workers);
        decide(|ctx| place::place(&mut pool_state, ctx));
        pool_state
    };
    bencher
        .with_inputs(looked_at)
        .bench_local_refs(|pool_state| decide(|ctx| place::place(pool_state, ctx)));
}

/// A peak begins: one pool lacks half of the hosts, the others offer a quarter of them all.
#[divan::bench(args = SIZES)]
fn look_at_hosts(bencher: Bencher<'_, '_>, workers: usize) {
    let config = config();
    let list: Vec<HostRecord> = (0..workers)
        .map(|n| HostRecord {
            host: format!("host-{n}"),
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
    let needs: Vec<PoolNeed<'_>> = (0..5)
        .map(|n| PoolNeed {
            pool: &names[n],
            wanted: if n == 0 { workers as u64 / 2 } else { 1 },
            needed: if n == 0 { workers as u64 / 2 } else { 1 },
            offers: &offers[n],
            heartbeat_seen_ms: NOW_MS,
        })
        .collect();
    let look = Inputs {
        config: &config,
        needs: &needs,
        pool: "pool-4",
        epoch: 7,
    };
    let controller = || {
        let new = |ctx: &mut Ctx<'_>| {
            let mut controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
            hosts::reconcile(&mut controller, &BTreeMap::new(), &look, ctx);
            hosts::apply_list(&mut controller, list.clone());
            controller
        };
        decide(new).0
    };
    bencher
        .with_inputs(controller)
        .bench_local_refs(|controller| {
            decide(|ctx| hosts::reconcile(controller, &BTreeMap::new(), &look, ctx))
        });
}

/// As many queues over seven host names, and as many accounts of two keys.
fn routed(count: usize) -> FleetConfig {
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

/// The queue and the account of a call, by the indexes.
#[divan::bench(args = [10, 150, 1_500])]
fn call_routed(bencher: Bencher<'_, '_>, count: usize) {
    let routing = Routing::new(Arc::new(routed(count)));
    bencher.bench_local(|| {
        let queue = routing.queue("host-1", "/p8/00000000000000aa");
        (queue.is_some(), routing.account("b7").is_some())
    });
}

/// The queue of a call, by a walk over all: how it was done before.
#[divan::bench(args = [10, 150, 1_500])]
fn call_walked(bencher: Bencher<'_, '_>, count: usize) {
    let config = routed(count);
    bencher.bench_local(|| {
        let path = "/p8/00000000000000aa";
        let fits = |q: &&QueueConfig| q.host == "host-1" && path.starts_with(&q.path_prefix);
        let queues = config.queues.values().filter(fits);
        queues.max_by_key(|q| q.path_prefix.len()).is_some()
    });
}

/// The indexes of a new configuration.
#[divan::bench(args = [10, 150, 1_500])]
fn routing_built(bencher: Bencher<'_, '_>, count: usize) {
    let config = Arc::new(routed(count));
    bencher.bench_local(|| Routing::new(Arc::clone(&config)));
}
