//! A small stand-in platform over HTTP, for tests and the soak: a row store with a feed of changes, workers with
//! leases, and hosts.
//!
//! It speaks the protocol that the adapter in `platform/` expects, injects faults on command, and records each
//! promise of rockwick that it sees broken. All workers serve one pool until a test assigns them to others.

mod clocks;
mod drains;
mod order_faults;
mod promises;
mod restarts;
mod runs;
mod store;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rockwick::http::server::serve;
use rockwick::http::{Incoming, Limits, Wire};
use rockwick::runtime::Runtime;
use serde_json::{json, Value};
use smol::{Async, Timer};

use clocks::WorkerClock;
pub use drains::LateStart;
use order_faults::Trap;
use promises::Promises;

/// Interval at which a waiting call checks again.
const POLL_MS: u64 = 5;

/// Time that a call without an answer is held open: longer than any caller waits.
const UNANSWERED_MS: u64 = 5_000;

/// Duration of a host's maintenance.
const UPKEEP_MS: u64 = 600;

/// Names a fault of the row store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Refuses all calls.
    Busy,
    /// Applies all calls and answers none.
    Mute,
    /// Has lost its history: the feed answers 410.
    Forgetful,
    /// Delays every call by this number of milliseconds.
    Slow(u64),
    /// Applies the writes to a partition one after the other, this number of milliseconds each; refuses a write that
    /// would wait longer than a second.
    Turns(u64),
    /// Applies one write in three without an answer.
    Lossy,
    /// Refuses this percentage of calls.
    Choosy(u32),
    /// Applies one write in three 1 to 6 s late, if its condition still holds then, and does not answer it.
    Belated,
}

/// Holds the faults of orders to workers, as percentages of orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderFault {
    /// Orders that are executed 5 s late without an answer: lost, as far as the sender can tell.
    pub lost: u32,
    /// Orders that are executed 1 to 4 s late without an answer.
    pub late: u32,
    /// Orders other than lease renewals that are executed up to 12 s late without an answer.
    pub very_late: u32,
    /// Lease renewals that are executed up to 12 s late without an answer.
    pub late_holds: u32,
}

/// Names a fault of orders between the two halls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HallCut {
    /// No fault.
    #[default]
    None,
    /// Orders do not arrive.
    BothWays,
    /// Orders are executed, and their answers are lost.
    Answers,
}

/// Names what is served at an address.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Store,
    SecondStore,
    /// The worker of the host with this index.
    Worker(usize),
}

/// Holds a row's base64 value and version; the value is `None` once the row is removed.
#[derive(Clone, Debug)]
struct Stored {
    value: Option<String>,
    ver: u64,
}

/// Holds a run on a worker.
#[derive(Clone, Debug)]
struct Run {
    run: u64,
    started_ms: u64,
    /// When its work is finished; `None` if it runs until it is stopped.
    ends_ms: Option<u64>,
}

/// Holds one instance of a worker.
#[derive(Default)]
struct Worker {
    /// Number among all instances started so far; an id that is used again gets a new one.
    serial: u64,
    /// Start time that the instance states, as Unix time.
    born_ms: u64,
    clock: WorkerClock,
    /// When it announced its end.
    draining_since_ms: Option<u64>,
    fencing_token: u64,
    lease_until_ms: u64,
    /// When the lease last lapsed before its last renewal, if it ever did.
    lapsed_ms: Option<u64>,
    running: BTreeMap<String, Run>,
    /// For each task, the highest run that was stopped or has ended here; runs up to it may not start.
    barred_through: HashMap<String, u64>,
    /// Ends that no owner has acknowledged, in the form in which they are reported.
    ended: Vec<Value>,
    /// Number of the last end.
    last_end: u64,
    starts: u64,
}

struct Host {
    name: String,
    /// Pool that its worker serves.
    pool: String,
    /// Address that its worker announces for orders.
    address: SocketAddr,
    /// Id of the worker instance that runs on it; `None` while it is down.
    instance: Option<String>,
    /// Wave whose maintenance it is down for.
    maintenance_wave: Option<u64>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String, String), Stored>,
    ver: u64,
    fault: StoreFault,
    unavailable_parts: BTreeSet<String>,
    /// Partitions that apply writes late without an answer, and how late.
    late_parts: BTreeMap<String, u64>,
    /// Records in the list of hosts beside the real ones, as they are sent.
    odd_hosts: Vec<String>,
    /// Number of late writes that are still to be applied.
    late_writes: u64,
    is_operator_unavailable: bool,
    is_second_operator_unavailable: bool,
    operator_calls_refused: u64,
    feed_rows_max: usize,
    feed_page_ms: u64,
    /// When each partition will have applied the writes received so far, under [`StoreFault::Turns`].
    busy_until: BTreeMap<String, Instant>,
    order_fault: OrderFault,
    /// Number of orders that are held up now.
    delayed_orders: u64,
    /// Number of orders that were held up until a later instance was up.
    orders_to_later: u64,
    hall_cut: HallCut,
    /// Owners by epoch: the entry that took the pool at that revision.
    owners: BTreeMap<u64, String>,
    /// Trap that delays the answer to one renewal of the pool's lease; set until [`Fleet::take_trapped_renewal`]
    /// reports that renewal.
    renewal_trap: Option<Trap>,
    rng: fastrand::Rng,
    /// Separate generator for newer faults, so that saved seeds draw the older ones as before.
    late_rng: fastrand::Rng,
    /// Separate generator for the start times that instances state.
    start_time_rng: fastrand::Rng,
    /// Whether instances have clocks of their own, some of them slow.
    has_clocks: bool,
    /// The last instance of each id, ended ones included.
    workers: BTreeMap<String, Worker>,
    /// Whether instances that end restart under their ids.
    keeps_ids: bool,
    hosts: Vec<Host>,
    instances_started: u64,
    /// Hosts in the order in which they were ordered into maintenance.
    maintenance_orders: Vec<String>,
    /// Hosts that each wave has taken through maintenance.
    maintained: BTreeMap<u64, BTreeSet<String>>,
    promises: Promises,
    late_starts: Vec<LateStart>,
}

/// Handle to the stand-in platform; clones share its state.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    runtime: Runtime,
    began: Instant,
    pool: String,
    work_ms: u64,
    /// Address of the store, which also takes orders to hosts.
    pub address: SocketAddr,
}

impl Fleet {
    /// Serves the store and `workers` workers of a pool on ports that the system assigns.
    pub fn start(pool: &str, workers: usize, work_ms: u64) -> std::io::Result<Self> {
        let runtime = Runtime::new("fleet", 1)?;
        let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
        let fleet = Self {
            state: Arc::default(),
            runtime,
            began: Instant::now(),
            pool: pool.to_string(),
            work_ms,
            address: listener.get_ref().local_addr()?,
        };
        fleet.listen(listener, Listener::Store);
        for n in 0..workers {
            let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
            let host = Host {
                name: format!("m-{n}"),
                pool: pool.to_string(),
                address: listener.get_ref().local_addr()?,
                instance: None,
                maintenance_wave: None,
            };
            fleet.lock().hosts.push(host);
            fleet.start_new_instance(n);
            fleet.listen(listener, Listener::Worker(n));
        }
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Seeds the random faults.
    pub fn set_seed(&self, seed: u64) {
        let mut state = self.lock();
        state.rng = fastrand::Rng::with_seed(seed);
        state.late_rng = fastrand::Rng::with_seed(seed.rotate_left(17));
        state.start_time_rng = fastrand::Rng::with_seed(seed.rotate_left(29));
    }

    /// Writes a row without a condition, as the operator or a worker would.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &Value) {
        self.put_bytes(table, part, key, value.to_string().as_bytes());
    }

    /// Writes a row whose value is any bytes.
    pub fn put_bytes(&self, table: &str, part: &str, key: &str, bytes: &[u8]) {
        self.write(table, part, key, Some(store::base64(bytes)));
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        let row_key = (table.to_string(), part.to_string(), key.to_string());
        state.rows.insert(row_key, Stored { value, ver });
    }

    /// Writes a configuration with one queue under `/q/` of host `queue.example`.
    pub fn configure(&self, version: u64, pool: &str) {
        self.configure_queues(version, pool, 0);
    }

    /// Writes the configuration of [`Fleet::configure`] with `more` further queues under `/x1/`, `/x2/` and so on.
    pub fn configure_queues(&self, version: u64, pool: &str, more: u64) {
        let route = |name: String| {
            json!({"name": name, "host": "queue.example", "path_prefix": format!("/{name}/"),
                "service": pool, "priority": 0, "max_attempts": 3, "stretch": 1.6,
                "target_latency_ms": 600, "news": 1})
        };
        let names = (1..=more).map(|n| format!("x{n}"));
        let routes: Vec<Value> = std::iter::once("q".to_string())
            .chain(names)
            .map(route)
            .collect();
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [{"name": pool, "headroom": false}],
            "limits": {"max_body_bytes": 262_144}
        });
        self.put("op", "", "config", &config);
    }

    /// Writes a configuration with these queues, each under its name as the path of host `queue.example`, and the pools
    /// that they are routed to. All of `pools` are configured.
    pub fn configure_routes(&self, version: u64, routes: &[(&str, &str)], pools: &[&str]) {
        let config = routes_config(version, routes, pools);
        self.put("op", "", "config", &config);
    }

    /// Writes a configuration with a queue for accounts under `/q/`, a public queue under `/open/`, and these accounts,
    /// given as names and keys.
    pub fn configure_accounts(&self, version: u64, pool: &str, accounts: &[(&str, &[&str])]) {
        let route = |name: &str, is_public: bool| {
            json!({"name": name, "host": "queue.example", "path_prefix": format!("/{name}/"),
                "service": pool, "public": is_public, "max_attempts": 3, "stretch": 1.6,
                "target_latency_ms": 600})
        };
        let account = |(name, keys): &(&str, &[&str])| {
            json!({"name": name, "api_keys": keys, "weight": 5, "priority": 1,
                "maximum": {"cpu": 0, "mem_mb": 0, "gpu": 0}})
        };
        let config = json!({
            "version": version,
            "routes": [route("q", false), route("open", true)],
            "services": [{"name": pool, "headroom": false}],
            "tenants": accounts.iter().map(account).collect::<Vec<Value>>(),
            "limits": {"max_body_bytes": 262_144}
        });
        self.put("op", "", "config", &config);
    }

    /// Sets the store's fault, or ends it with [`StoreFault::None`].
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Makes exactly these partitions refuse all calls.
    pub fn set_unavailable_parts(&self, parts: &[String]) {
        self.lock().unavailable_parts = parts.iter().cloned().collect();
    }

    /// Makes exactly these partitions apply each write `after_ms` late, if its condition still holds then, without an
    /// answer.
    pub fn set_late_parts(&self, parts: &[String], after_ms: u64) {
        let late_parts = parts.iter().map(|part| (part.clone(), after_ms));
        self.lock().late_parts = late_parts.collect();
    }

    /// Adds records to the list of hosts, which are sent as they are.
    pub fn set_odd_hosts(&self, records: &[String]) {
        self.lock().odd_hosts = records.to_vec();
    }

    /// Returns the number of late writes that are still to be applied.
    pub fn late_writes(&self) -> u64 {
        self.lock().late_writes
    }

    /// Makes the operator's table refuse all reads, or serve them again.
    pub fn set_operator_unavailable(&self, is_unavailable: bool) {
        self.lock().is_operator_unavailable = is_unavailable;
    }

    /// Returns the number of calls that the operator's table has refused.
    pub fn operator_calls_refused(&self) -> u64 {
        self.lock().operator_calls_refused
    }

    /// Limits an answer of the feed to `rows_max` changes, and delays each answer with changes by `page_ms`. With a
    /// `rows_max` of 0 there is neither limit nor delay.
    pub fn set_feed_pages(&self, rows_max: usize, page_ms: u64) {
        let mut state = self.lock();
        state.feed_rows_max = rows_max;
        state.feed_page_ms = page_ms;
    }

    /// Returns the number of starts that all workers have accepted.
    pub fn starts(&self) -> u64 {
        self.lock().workers.values().map(|w| w.starts).sum()
    }

    async fn wait_unanswered(&self) {
        Timer::after(Duration::from_millis(UNANSWERED_MS)).await;
    }

    /// Serves the store at a second address, where the operator's table refuses all reads while
    /// [`Fleet::set_second_operator_unavailable`] says so. Entries there keep an older configuration than the others.
    pub fn serve_second_store(&self) -> std::io::Result<SocketAddr> {
        let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
        let address = listener.get_ref().local_addr()?;
        self.listen(listener, Listener::SecondStore);
        Ok(address)
    }

    /// Makes the operator's table refuse all reads at the store's second address, or serve them again.
    pub fn set_second_operator_unavailable(&self, is_unavailable: bool) {
        self.lock().is_second_operator_unavailable = is_unavailable;
    }

    /// Serves the store, or the worker of one host.
    fn listen(&self, listener: Async<TcpListener>, kind: Listener) {
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = fleet.clone();
                fleet.runtime.spawn_detached(async move {
                    let handle = |incoming: Incoming| {
                        let fleet = served.clone();
                        async move {
                            match kind {
                                Listener::Worker(n) => fleet.handle_order(n, &incoming).await,
                                Listener::Store => fleet.handle_store_call(&incoming).await,
                                Listener::SecondStore => {
                                    fleet.handle_second_store_call(&incoming).await
                                }
                            }
                        }
                    };
                    let wire = Wire::for_requests(stream);
                    serve(wire, Limits::default(), || false, handle).await;
                });
            }
        });
    }
}

/// Returns a configuration with these queues and pools; see [`Fleet::configure_routes`].
fn routes_config(version: u64, routes: &[(&str, &str)], pools: &[&str]) -> Value {
    let route = |(name, pool): &(&str, &str)| {
        json!({"name": name, "host": "queue.example", "path_prefix": format!("/{name}/"),
            "service": pool, "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600})
    };
    let service = |pool: &&str| json!({"name": pool, "headroom": false});
    json!({
        "version": version,
        "routes": routes.iter().map(route).collect::<Vec<Value>>(),
        "services": pools.iter().map(service).collect::<Vec<Value>>(),
        "limits": {"max_body_bytes": 262_144}
    })
}
