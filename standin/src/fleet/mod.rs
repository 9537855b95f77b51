//! A small platform of workers over HTTP, for tests and the soak: row store with its feed, workers with
//! leases, hosts.
//!
//! It speaks what the adapter in `platform/` expects, takes faults on command and notes each promise that it
//! sees broken. It knows one pool of workers.

mod clocks;
mod promises;
mod restarts;
mod runs;
mod store;
mod trouble;
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
use promises::Promises;
use trouble::Trap;

/// How often a call that waits looks again.
const LOOK_MS: u64 = 5;

/// A call that gets no answer is held for so long: longer than anybody waits for one.
const UNANSWERED_MS: u64 = 5_000;

/// What an upkeep takes.
const UPKEEP_MS: u64 = 600;

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses all calls and does nothing.
    Busy,
    /// It does what it is told and never answers.
    Mute,
    /// Its history is gone.
    Forgetful,
    /// Its answers take so many milliseconds longer.
    Slow(u64),
    /// A part's writes are taken in turn, so many milliseconds each; whoever would wait over a second is refused.
    Turns(u64),
    /// One write in three is done and not answered.
    Lossy,
    /// So many calls of a hundred are refused, and not done.
    Choosy(u32),
    /// One write in three is not answered, and done 1 to 6 s later if its condition still holds.
    Belated,
}

/// What befalls orders to workers, in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderFault {
    /// Orders that get no answer and are carried out 5 s later: as good as lost to whoever sent them.
    pub lost: u32,
    /// Orders that get no answer and are carried out 1 to 4 s later.
    pub late: u32,
    /// The same, up to 12 s later.
    pub very_late: u32,
    /// Holds that get no answer and are carried out up to 12 s later.
    pub late_holds: u32,
}

/// What befalls orders between the two halls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HallCut {
    /// Nothing.
    #[default]
    None,
    /// They do not arrive.
    BothWays,
    /// They are carried out, and their answers are lost.
    Answers,
}

/// A row: base64 text and version; no text where it was removed.
#[derive(Clone, Debug)]
struct Stored {
    value: Option<String>,
    ver: u64,
}

/// A run on a worker.
#[derive(Clone, Debug)]
struct Run {
    run: u64,
    ends_ms: Option<u64>,
}

/// A worker's life.
#[derive(Default)]
struct Worker {
    /// Its number among all lives.
    serial: u64,
    /// Unix time of its start.
    born_ms: u64,
    clock: WorkerClock,
    fence: u64,
    lease_until_ms: u64,
    /// When the lease before the last renewal had lapsed, if it had.
    lapsed_ms: Option<u64>,
    running: BTreeMap<String, Run>,
    /// Runs up to this one were stopped or have ended here.
    barred: HashMap<String, u64>,
    ended: Vec<Value>,
    next_end: u64,
    starts: u64,
}

struct Host {
    name: String,
    /// Where its worker takes orders, as it states.
    address: SocketAddr,
    /// The life of its worker; none while it is down.
    life: Option<String>,
    /// The wave that it is out for.
    out_for: Option<u64>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String, String), Stored>,
    ver: u64,
    fault: StoreFault,
    parts_away: BTreeSet<String>,
    is_operator_away: bool,
    operator_calls_refused: u64,
    feed_rows_max: usize,
    feed_page_ms: u64,
    /// When a part has done the writes that came so far.
    busy_until: BTreeMap<String, Instant>,
    order_fault: OrderFault,
    hall_cut: HallCut,
    /// Entries by the epochs that they won.
    owners: BTreeMap<u64, String>,
    /// The next renewal of the pool's lease is answered late, and told.
    renewal_trap: Option<Trap>,
    rng: fastrand::Rng,
    /// Draws of what came later, so that older seeds play as they did.
    late_rng: fastrand::Rng,
    /// Draws of when lives say that they were born.
    births: fastrand::Rng,
    /// Lives have clocks of their own, some of them slow.
    has_clocks: bool,
    /// The last life of each id, ended ones included.
    workers: BTreeMap<String, Worker>,
    /// Lives that end come again under their ids.
    keeps_ids: bool,
    hosts: Vec<Host>,
    lives: u64,
    upkeeps: Vec<String>,
    /// Hosts that were through a wave.
    upkept: BTreeMap<u64, BTreeSet<String>>,
    promises: Promises,
}

/// The platform, as tests hold it.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    runtime: Runtime,
    began: Instant,
    pool: String,
    work_ms: u64,
    /// Where the store, and orders to hosts, are.
    pub address: SocketAddr,
}

impl Fleet {
    /// Serves the store and so many workers of a pool on ports of the system's choice.
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
        fleet.listen(listener, None);
        for n in 0..workers {
            let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
            let host = Host {
                name: format!("m-{n}"),
                address: listener.get_ref().local_addr()?,
                life: None,
                out_for: None,
            };
            fleet.lock().hosts.push(host);
            fleet.new_life(n);
            fleet.listen(listener, Some(n));
        }
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Seeds what goes wrong by chance.
    pub fn set_seed(&self, seed: u64) {
        let mut state = self.lock();
        state.rng = fastrand::Rng::with_seed(seed);
        state.late_rng = fastrand::Rng::with_seed(seed.rotate_left(17));
        state.births = fastrand::Rng::with_seed(seed.rotate_left(29));
    }

    /// Writes a row as the operator or a worker would.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &Value) {
        self.put_bytes(table, part, key, value.to_string().as_bytes());
    }

    /// Writes any bytes.
    pub fn put_bytes(&self, table: &str, part: &str, key: &str, bytes: &[u8]) {
        self.write(table, part, key, Some(store::base64(bytes)));
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        let place = (table.to_string(), part.to_string(), key.to_string());
        state.rows.insert(place, Stored { value, ver });
    }

    /// A configuration with one queue under `/q/` of host `queue.example`.
    pub fn configure(&self, version: u64, pool: &str) {
        self.configure_more(version, pool, 0);
    }

    /// The same, and so many more queues under `/x1/`, `/x2/` and so on.
    pub fn configure_more(&self, version: u64, pool: &str, more: u64) {
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

    /// A configuration with a queue for accounts under `/q/` and a public one under `/open/`, and these accounts: names
    /// and keys.
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

    /// Breaks the store, or mends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Makes these partitions refuse all calls, and no others.
    pub fn set_parts_away(&self, parts: &[String]) {
        self.lock().parts_away = parts.iter().cloned().collect();
    }

    /// Makes the partition of the operator's word refuse all calls, and no others.
    pub fn set_operator_away(&self, is_away: bool) {
        self.lock().is_operator_away = is_away;
    }

    /// Calls that it refused.
    pub fn operator_calls_refused(&self) -> u64 {
        self.lock().operator_calls_refused
    }

    /// Lets an answer of the feed bring so many changes at the most, each after so many milliseconds.
    pub fn set_feed_pages(&self, rows_max: usize, page_ms: u64) {
        let mut state = self.lock();
        state.feed_rows_max = rows_max;
        state.feed_page_ms = page_ms;
    }

    /// Starts that all workers accepted.
    pub fn starts(&self) -> u64 {
        self.lock().workers.values().map(|w| w.starts).sum()
    }

    async fn unanswered(&self) {
        Timer::after(Duration::from_millis(UNANSWERED_MS)).await;
    }

    /// Serves the store, or one host's worker.
    fn listen(&self, listener: Async<TcpListener>, host: Option<usize>) {
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = fleet.clone();
                fleet.runtime.spawn_detached(async move {
                    let handle = |incoming: Incoming| {
                        let fleet = served.clone();
                        async move {
                            match host {
                                Some(n) => fleet.order(n, &incoming).await,
                                None => fleet.store(&incoming).await,
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
