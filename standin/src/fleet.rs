//! A small platform of workers over HTTP, for tests: row store with its feed, workers, list of hosts.
//!
//! It speaks what the adapter in `platform/` expects and takes faults on command. It knows one pool of
//! workers; each runs what it is told for a fixed time.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_types::{Method, Response};
use rockwick::http::server::{answer, json, serve};
use rockwick::http::{Incoming, Limits, Wire};
use rockwick::runtime::Runtime;
use serde_json::{json, Value};
use smol::{Async, Timer};

/// How often a call that waits looks again.
const LOOK_MS: u64 = 5;

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
    ends: Option<Instant>,
}

#[derive(Default)]
struct Worker {
    fence: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<Value>,
    next_end: u64,
    starts: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String, String), Stored>,
    ver: u64,
    fault: StoreFault,
    workers: BTreeMap<String, Worker>,
    hosts: Vec<Value>,
    upkeeps: Vec<String>,
}

/// The platform, as tests hold it.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    began: Instant,
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
            began: Instant::now(),
            work_ms,
            address: listener.get_ref().local_addr()?,
        };
        listen(runtime, listener, fleet.clone(), None);
        for n in 0..workers {
            let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
            let id = format!("i-{n}");
            let address = listener.get_ref().local_addr()?;
            fleet.put("servers", "", &id, &entry(pool, n, address));
            let mut state = fleet.lock();
            state.workers.insert(id.clone(), Worker::default());
            state
                .hosts
                .push(json!({"machine": format!("m-{n}"), "pool": pool, "state": "up", "id": id}));
            drop(state);
            listen(runtime, listener, fleet.clone(), Some(id));
        }
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a row as the operator or a worker would.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &Value) {
        self.put_bytes(table, part, key, value.to_string().as_bytes());
    }

    /// Writes any bytes.
    pub fn put_bytes(&self, table: &str, part: &str, key: &str, bytes: &[u8]) {
        let mut state = self.lock();
        state.ver += 1;
        let stored = Stored {
            value: Some(base64(bytes)),
            ver: state.ver,
        };
        let place = (table.to_string(), part.to_string(), key.to_string());
        state.rows.insert(place, stored);
    }

    /// A configuration with one queue under `/q/` of host `queue.example`.
    pub fn configure(&self, version: u64, pool: &str) {
        let config = json!({
            "version": version,
            "routes": [{"name": "q", "host": "queue.example", "path_prefix": "/q/", "service": pool,
                "priority": 0, "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600, "news": 1}],
            "services": [{"name": pool, "headroom": false}],
            "limits": {"max_body_bytes": 262_144}
        });
        self.put("op", "", "config", &config);
    }

    /// Breaks the store, or mends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Starts that all workers accepted.
    pub fn starts(&self) -> u64 {
        self.lock().workers.values().map(|w| w.starts).sum()
    }

    /// Tasks that run now.
    pub fn running(&self) -> usize {
        let now = Instant::now();
        let state = self.lock();
        let runs = state.workers.values().flat_map(|w| w.running.values());
        runs.filter(|r| r.ends.is_none_or(|at| at > now)).count()
    }

    /// Hosts that were ordered down, in order.
    pub fn upkeeps(&self) -> Vec<String> {
        self.lock().upkeeps.clone()
    }

    async fn store(&self, incoming: &Incoming) -> Response {
        let fault = self.lock().fault;
        let path = incoming.head.url().path().to_string();
        if path.starts_with("/machine") {
            return self.hosts(&path, incoming);
        }
        match fault {
            StoreFault::Busy => return answer(503, "application/json", Vec::new()),
            StoreFault::Forgetful if path == "/rows-feed" => {
                return answer(410, "application/json", Vec::new())
            }
            _ => {}
        }
        let res = match path.as_str() {
            "/rows-tx" => self.transact(&incoming.body),
            "/rows-get" => self.read(incoming),
            "/rows-feed" => self.feed(incoming).await,
            "/rows-parts" => self.parts(incoming),
            _ => answer(404, "application/json", Vec::new()),
        };
        if fault == StoreFault::Mute {
            std::future::pending::<()>().await;
        }
        res
    }

    fn transact(&self, body: &[u8]) -> Response {
        let Ok(tx) = serde_json::from_slice::<Value>(body) else {
            return answer(400, "application/json", Vec::new());
        };
        let mut state = self.lock();
        let guards = list(&tx["expected_revision"]);
        let ver_of = |state: &State, g: &Value| {
            let stored = state.rows.get(&place(g)).filter(|s| s.value.is_some());
            stored.map_or(0, |s| s.ver)
        };
        if guards
            .iter()
            .any(|g| ver_of(&state, g) != g["ver"].as_u64().unwrap_or(0))
        {
            let rows: Vec<Value> = guards
                .iter()
                .map(|g| row(&place(g), state.rows.get(&place(g))))
                .collect();
            return json(412, &json!({"rows": rows, "ver": state.ver, "now_ms": 1}));
        }
        state.ver += 1;
        let ver = state.ver;
        for put in list(&tx["put"]) {
            let value = put["value"].as_str().map(str::to_string);
            state.rows.insert(place(&put), Stored { value, ver });
        }
        for gone in list(&tx["remove"]) {
            state.rows.insert(place(&gone), Stored { value: None, ver });
        }
        json(200, &json!({"ver": ver, "now_ms": 1}))
    }

    fn read(&self, incoming: &Incoming) -> Response {
        let q = |name: &str| query(incoming, name);
        let state = self.lock();
        let until = q("target_version");
        let limit = q("limit").parse::<usize>().unwrap_or(500);
        let of = |k: &(String, String, String)| {
            k.0 == q("table")
                && k.1 == q("part")
                && k.2 >= q("from")
                && (until.is_empty() || k.2 < until)
        };
        let there = state
            .rows
            .iter()
            .filter(|(k, s)| of(k) && s.value.is_some());
        let mut rows: Vec<Value> = there.map(|(k, s)| row(k, Some(s))).collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        json(
            200,
            &json!({"rows": rows, "more": more, "ver": state.ver, "now_ms": 1}),
        )
    }

    async fn feed(&self, incoming: &Incoming) -> Response {
        let since = query(incoming, "depends_on").parse::<u64>().unwrap_or(0);
        let wait_ms = query(incoming, "wait_ms").parse::<u64>().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let table = query(incoming, "table");
        loop {
            let (mut rows, ver) = {
                let state = self.lock();
                let new = state
                    .rows
                    .iter()
                    .filter(|(k, s)| k.0 == table && s.ver > since);
                let rows: Vec<Value> = new.map(|(k, s)| row(k, Some(s))).collect();
                (rows, state.ver)
            };
            if !rows.is_empty() || Instant::now() >= until {
                rows.sort_by_key(|r| r["ver"].as_u64());
                return json(200, &json!({"rows": rows, "ver": ver, "now_ms": 1}));
            }
            Timer::after(Duration::from_millis(LOOK_MS)).await;
        }
    }

    fn parts(&self, incoming: &Incoming) -> Response {
        let table = query(incoming, "table");
        let state = self.lock();
        let mut parts: Vec<String> = Vec::new();
        for (k, _) in state.rows.iter().filter(|(k, _)| k.0 == table) {
            if !parts.contains(&k.1) {
                parts.push(k.1.clone());
            }
        }
        json(200, &json!({"parts": parts, "more": false}))
    }

    fn hosts(&self, path: &str, incoming: &Incoming) -> Response {
        let mut state = self.lock();
        if path == "/machines" {
            return json(200, &json!({"machines": state.hosts, "next_token": null}));
        }
        let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
        let holder = incoming.header("Rockwick-Duty-Holder").unwrap_or("");
        if holder.is_empty() || incoming.header("Rockwick-Fencing-Token").is_none() {
            return json(409, &json!({"reason": "fence"}));
        }
        let host = body["machine"].as_str().unwrap_or("").to_string();
        if !state.hosts.iter().any(|h| h["machine"] == host.as_str()) {
            return answer(400, "application/json", Vec::new());
        }
        state.upkeeps.push(host);
        json(200, &json!({}))
    }

    async fn order(&self, id: &str, incoming: &Incoming) -> Response {
        let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
        if incoming
            .header("Rockwick-Expected-Instance")
            .is_some_and(|want| want != id)
        {
            return answer(421, "application/json", Vec::new());
        }
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            let Some(worker) = state.workers.get_mut(id) else {
                return answer(421, "application/json", Vec::new());
            };
            if fence < worker.fence {
                return json(
                    409,
                    &json!({"clock_ms": self.clock_ms(), "reason": "fence"}),
                );
            }
            worker.fence = fence;
        }
        match (incoming.head.method(), incoming.head.url().path()) {
            (Method::Post, "/run-start") => self.run_start(id, &body),
            (Method::Post, "/run-stop") => self.run_stop(id, &body),
            (Method::Post, "/hold") => self.hold(id, &body).await,
            _ => answer(404, "application/json", Vec::new()),
        }
    }

    fn run_start(&self, id: &str, body: &Value) -> Response {
        if body["deadline_ms"].as_u64().unwrap_or(0) <= self.clock_ms() {
            return json(409, &json!({"clock_ms": self.clock_ms(), "reason": "late"}));
        }
        let lasts = body["spec"].as_str().is_some_and(|s| s.contains("lasts"));
        let mut state = self.lock();
        let Some(worker) = state.workers.get_mut(id) else {
            return answer(421, "application/json", Vec::new());
        };
        let task = body["task"].as_str().unwrap_or("").to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        if worker.running.get(&task).is_none_or(|r| r.run != run) {
            let ends = (!lasts).then(|| Instant::now() + Duration::from_millis(self.work_ms));
            worker.running.insert(task, Run { run, ends });
            worker.starts += 1;
        }
        json(200, &json!({"clock_ms": self.clock_ms()}))
    }

    fn run_stop(&self, id: &str, body: &Value) -> Response {
        let mut state = self.lock();
        if let Some(worker) = state.workers.get_mut(id) {
            let task = body["task"].as_str().unwrap_or("").to_string();
            if let Some(run) = worker.running.remove(&task) {
                end(worker, &task, run.run, "stopped");
            }
        }
        json(200, &json!({"clock_ms": self.clock_ms()}))
    }

    async fn hold(&self, id: &str, body: &Value) -> Response {
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0);
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if let Some(res) = self.account(id, seen, Instant::now() >= until) {
                return res;
            }
            Timer::after(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// The worker's account, if there is an end to tell or `at_once` asks for it.
    fn account(&self, id: &str, seen: u64, at_once: bool) -> Option<Response> {
        let now = Instant::now();
        let mut state = self.lock();
        let worker = state.workers.get_mut(id)?;
        let over = worker
            .running
            .iter()
            .filter(|(_, r)| r.ends.is_some_and(|at| at <= now));
        let over: Vec<(String, u64)> = over.map(|(task, r)| (task.clone(), r.run)).collect();
        for (task, run) in over {
            worker.running.remove(&task);
            end(worker, &task, run, "done");
        }
        worker.ended.retain(|e| e[0].as_u64().unwrap_or(0) > seen);
        if worker.ended.is_empty() && !at_once {
            return None;
        }
        let running = worker.running.iter();
        let running: Vec<Value> = running
            .map(|(task, r)| json!([task, r.run, "", 100, 0]))
            .collect();
        let clock_ms = self.clock_ms();
        Some(json(
            200,
            &json!({"clock_ms": clock_ms, "running": running, "ended": worker.ended}),
        ))
    }
}

fn end(worker: &mut Worker, task: &str, run: u64, how: &str) {
    worker.next_end += 1;
    worker
        .ended
        .push(json!([worker.next_end, task, run, how, ""]));
}

fn entry(pool: &str, n: usize, address: SocketAddr) -> Value {
    json!({"service": pool, "address": address.to_string(), "zone": "hall", "state": "ready",
        "machine": format!("m-{n}"), "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
        "labels": ["a", "r1"], "sequence": 1})
}

fn list(value: &Value) -> Vec<Value> {
    value.as_array().cloned().unwrap_or_default()
}

fn place(of: &Value) -> (String, String, String) {
    let text = |name: &str| of[name].as_str().unwrap_or("").to_string();
    (text("table"), text("part"), text("key"))
}

fn row(place: &(String, String, String), stored: Option<&Stored>) -> Value {
    let value = stored.and_then(|s| s.value.clone());
    let ver = stored.filter(|s| s.value.is_some()).map_or(0, |s| s.ver);
    json!({"table": place.0, "part": place.1, "key": place.2, "value": value, "ver": ver,
        "gone": value.is_none()})
}

fn query(incoming: &Incoming, name: &str) -> String {
    let pairs = incoming.head.url().query_pairs();
    let found = pairs.into_iter().find(|(n, _)| n == name);
    found
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

/// Base64 with padding, as the store's values are.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |w, i| {
            (w << 8) | u32::from(*chunk.get(i).unwrap_or(&0))
        });
        for i in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() {
                char::from(sign)
            } else {
                '='
            });
        }
    }
    text
}

/// Serves the store, or one worker.
fn listen(runtime: Runtime, listener: Async<TcpListener>, fleet: Fleet, worker: Option<String>) {
    runtime.run(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let fleet = fleet.clone();
            let worker = worker.clone();
            runtime.run(async move {
                let handle = |incoming: Incoming| {
                    let fleet = fleet.clone();
                    let worker = worker.clone();
                    async move {
                        match worker {
                            Some(id) => fleet.order(&id, &incoming).await,
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
