//! Stand-in platform in one process with all state in memory: table, objects, host list, tasks and host orders. Takes
//! faults through `/control/`. Run by the `platform` command, which the end-to-end tests start.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bpaf::{construct, long, Parser};
use http_types::{Method, Response};
use rockwick::clock::{Clock, Millis};
use rockwick::http::server::{self, Arrival};
use rockwick::http::{Incoming, Limits, Wire};
use rockwick::port::{
    Attempt, CommitResponse, HostInfo, HostStatus, Listing, OrderAnswer, OrderResponse,
    RebootRequest, Reports, TaskRef, TaskReport, TaskStart, TaskState, Transaction,
};
use rockwick::runtime::Runtime;
use serde::{Deserialize, Serialize};
use smol::{Async, Timer};
use standin::rows::Rows;

/// Interval at which tasks, leases and reboots are advanced.
const STEP_MS: Millis = 20;

/// Run time of a task whose payload states none.
const TASK_MS: Millis = 200;

pub(crate) struct Args {
    listen: SocketAddr,
    fleet: Option<String>,
    reboot_ms: Millis,
    list_lag_ms: Millis,
}

pub(crate) fn args() -> impl Parser<Args> {
    let listen = long("listen")
        .help("Address to listen on")
        .argument("IP:PORT");
    let fleet = long("fleet")
        .help("TOML file that lists the hosts")
        .argument("FILE")
        .optional();
    let reboot_ms = long("reboot-ms")
        .help("Milliseconds that a reboot takes")
        .argument("MS")
        .fallback(1_000);
    let list_lag_ms = long("list-lag-ms")
        .help("Milliseconds until a change appears in the host list")
        .argument("MS")
        .fallback(0);
    construct!(Args {
        listen,
        fleet,
        reboot_ms,
        list_lag_ms
    })
}

/// Holds the injected faults, set by `POST /control/faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Faults {
    /// Whether all calls get no answer and have no effect.
    down: bool,
    /// Delay of every call.
    slow_ms: Millis,
    /// Number of further transactions that take effect without an answer.
    lose_commits: u32,
    /// Restricts `lose_commits` to transactions whose first row's key has this prefix.
    lose_prefix: String,
    /// Number of further task orders that take effect without an answer.
    lose_task_answers: u32,
    /// Entries whose calls get no answer and have no effect.
    cut: Vec<String>,
}

/// Counts calls to the platform, for `GET /control/stats`.
#[derive(Clone, Debug, Default, Serialize)]
struct Stats {
    reads: u64,
    writes: u64,
    conflicts: u64,
    rows_read: u64,
    peak_calls_per_s: u64,
    /// Starts that began a task, by job.
    starts: BTreeMap<String, u64>,
    /// Reboots by host.
    reboots: BTreeMap<String, u64>,
    /// Tasks that were running on a host when it was rebooted.
    reboots_over_tasks: u64,
}

struct Task {
    attempt: u32,
    host: String,
    state: TaskState,
    began_ms: Millis,
    ends_ms: Millis,
    end: TaskState,
    lease_ms: Millis,
    lease_until_ms: Millis,
}

#[derive(Default)]
struct Inner {
    table: Rows,
    objects: HashMap<String, Vec<u8>>,
    hosts: Vec<HostInfo>,
    ended_entries: Vec<String>,
    /// The host list as callers see it, with the number in its etag.
    listed: (u64, Listing),
    /// When the listed hosts are next updated, if a change is due.
    list_due_ms: Option<Millis>,
    /// When the reboot of each host that is rebooting ends.
    rebooting: HashMap<String, Millis>,
    reboot_tokens: BTreeSet<String>,
    /// Highest attempt that may not start any more, by job.
    fenced: HashMap<String, u32>,
    tasks: HashMap<String, Task>,
    reports: BTreeMap<u64, TaskReport>,
    /// Number of the newest report of each job and attempt.
    report_at: HashMap<(String, u32), u64>,
    report_seq: u64,
    faults: Faults,
    stats: Stats,
    /// Current second, and the number of calls in it.
    calls_in_second: (u64, u64),
}

struct Platform {
    inner: Mutex<Inner>,
    clock: Clock,
    reboot_ms: Millis,
    list_lag_ms: Millis,
}

/// Describes how a task behaves, as its payload may state in JSON.
#[derive(Deserialize)]
#[serde(default)]
struct Script {
    run_ms: Millis,
    end: TaskState,
    fail_on: Vec<String>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            run_ms: TASK_MS,
            end: TaskState::Done,
            fail_on: Vec::new(),
        }
    }
}

#[derive(Deserialize)]
struct SetHost {
    life: HostStatus,
}

#[derive(Deserialize)]
struct SetEnded {
    entries: Vec<String>,
}

pub(crate) fn run(args: Args) -> Result<(), String> {
    let listing = match &args.fleet {
        Some(file) => read_fleet(file)?,
        None => Listing::default(),
    };
    let listener =
        TcpListener::bind(args.listen).map_err(|e| format!("--listen {}: {e}", args.listen))?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    let listener = Async::new(listener).map_err(|e| e.to_string())?;
    let platform = Arc::new(Platform {
        inner: Mutex::new(Inner {
            hosts: listing.hosts.clone(),
            listed: (1, listing),
            ..Inner::default()
        }),
        clock: Clock::new(),
        reboot_ms: args.reboot_ms,
        list_lag_ms: args.list_lag_ms,
    });
    let runtime = Runtime::new("platform", 2).map_err(|e| e.to_string())?;
    let stepper = Arc::clone(&platform);
    runtime
        .spawn(async move {
            loop {
                Timer::after(Duration::from_millis(STEP_MS)).await;
                stepper.step();
            }
        })
        .detach();
    println!("listening {addr}");
    smol::block_on(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let platform = Arc::clone(&platform);
            runtime
                .spawn(async move { platform.serve(stream).await })
                .detach();
        }
    })
}

pub(crate) fn read_fleet(file: &str) -> Result<Listing, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    toml::from_str(&text).map_err(|e| format!("{file}: {e}"))
}

impl Platform {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let wire = Wire::for_requests(stream);
        loop {
            let incoming = match server::read_request(&wire, Limits::default(), || false).await {
                Arrival::Request(incoming) => *incoming,
                Arrival::Nothing => return,
                Arrival::Bad(failure) => {
                    let _ =
                        server::write_answer(&wire, server::problem(&failure), Method::Get, true)
                            .await;
                    return;
                }
            };
            let path = incoming.head.url().path().to_string();
            if !path.starts_with("/control/") && self.apply_call_faults(&incoming).await {
                return;
            }
            let method = incoming.head.method();
            match self.execute_call(&path, incoming) {
                Some(res) => {
                    if server::write_answer(&wire, res, method, false)
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                None => return,
            }
        }
    }

    /// Counts a call and applies the delay of `slow_ms`; returns whether the call gets no answer and has no effect.
    async fn apply_call_faults(&self, incoming: &Incoming) -> bool {
        let agent = incoming.header("user-agent").unwrap_or_default();
        let entry = agent.strip_prefix("rockwick/").unwrap_or_default();
        let (slow_ms, is_cut) = {
            let mut inner = self.inner();
            inner.count_call(self.clock.now_ms());
            let f = &inner.faults;
            (f.slow_ms, f.down || f.cut.iter().any(|c| c == entry))
        };
        if slow_ms > 0 {
            Timer::after(Duration::from_millis(slow_ms)).await;
        }
        is_cut
    }

    /// Executes a call and returns its answer; `None` if the answer is lost.
    fn execute_call(&self, path: &str, incoming: Incoming) -> Option<Response> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.inner();
        let method = incoming.head.method();
        let query: HashMap<String, String> =
            incoming.head.url().query_pairs().into_owned().collect();
        let since = query.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
        if let Some(key) = path.strip_prefix("/table/rows/") {
            inner.stats.reads += 1;
            return Some(match inner.table.rows.get(key) {
                Some(row) => server::json(200, row),
                None => server::answer(404, "text/plain", vec![]),
            });
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return Some(inner.handle_object(method, name, incoming.body));
        }
        if let Some(id) = path.strip_prefix("/control/hosts/") {
            return Some(inner.set_host(id, &incoming.body, now_ms + self.list_lag_ms));
        }
        if let Some(id) = path
            .strip_prefix("/hosts/")
            .and_then(|p| p.strip_suffix("/reboot"))
        {
            let until_ms = now_ms + self.reboot_ms;
            return Some(inner.reboot(id, &incoming.body, until_ms, now_ms + self.list_lag_ms));
        }
        match path {
            "/table/changes" => {
                let spaces = query.get("spaces").cloned().unwrap_or_default();
                Some(inner.changes(since, &spaces))
            }
            "/table/transactions" => inner.transact(&incoming.body),
            "/hosts" => Some(inner.list(incoming.header("if-none-match"))),
            "/tasks/start" => {
                let task: TaskStart = serde_json::from_slice(&incoming.body).ok()?;
                let answer = inner.start(task, now_ms);
                inner.answer_task_order(answer)
            }
            "/tasks/renew" => {
                let tasks: Vec<TaskRef> = serde_json::from_slice(&incoming.body).ok()?;
                inner.renew(&tasks, now_ms);
                inner.answer_task_order(OrderAnswer::Accepted)
            }
            "/tasks/stop" => {
                let task: TaskRef = serde_json::from_slice(&incoming.body).ok()?;
                let answer = inner.stop(&task, now_ms);
                inner.answer_task_order(answer)
            }
            "/tasks/reports" => Some(inner.reports_after(since)),
            "/control/faults" if method == Method::Post => {
                inner.faults = serde_json::from_slice(&incoming.body).ok()?;
                Some(server::json(200, &inner.faults))
            }
            "/control/ended" => {
                let set: SetEnded = serde_json::from_slice(&incoming.body).ok()?;
                inner.ended_entries = set.entries;
                inner.list_due_ms = Some(now_ms + self.list_lag_ms);
                Some(server::json(200, &()))
            }
            "/control/stats" => Some(server::json(200, &inner.stats)),
            "/control/reset-peak" => {
                inner.stats.peak_calls_per_s = 0;
                Some(server::json(200, &()))
            }
            "/control/rows" => Some(server::json(200, &inner.table.rows)),
            _ => Some(server::answer(404, "text/plain", vec![])),
        }
    }

    fn step(&self) {
        let now_ms = self.clock.now_ms();
        let lag_ms = self.list_lag_ms;
        let mut inner = self.inner();
        inner.end_due_tasks(now_ms);
        inner.end_due_reboots(now_ms, lag_ms);
    }
}

impl Inner {
    fn count_call(&mut self, now_ms: Millis) {
        let second = now_ms / 1_000;
        if self.calls_in_second.0 != second {
            self.calls_in_second = (second, 0);
        }
        self.calls_in_second.1 += 1;
        self.stats.peak_calls_per_s = self.stats.peak_calls_per_s.max(self.calls_in_second.1);
    }

    fn handle_object(&mut self, method: Method, name: &str, body: Vec<u8>) -> Response {
        if method == Method::Put {
            self.objects.insert(name.to_string(), body);
            return server::json(200, &());
        }
        match self.objects.get(name) {
            Some(bytes) => server::answer(200, "application/octet-stream", bytes.clone()),
            None => server::answer(404, "text/plain", vec![]),
        }
    }

    fn changes(&mut self, since: u64, spaces: &str) -> Response {
        let spaces: Vec<&str> = spaces.split(',').filter(|s| !s.is_empty()).collect();
        let changes = self.table.changes(since, &spaces);
        self.stats.reads += 1;
        self.stats.rows_read += changes.rows.len() as u64;
        server::json(200, &changes)
    }

    fn transact(&mut self, body: &[u8]) -> Option<Response> {
        let txn: Transaction = serde_json::from_slice(body).ok()?;
        let Attempt::Committed(seq) = self.table.apply(&txn) else {
            self.stats.conflicts += 1;
            return Some(server::json(409, &()));
        };
        self.stats.writes += 1;
        let first = txn.puts.first().map(|p| p.key.as_str()).unwrap_or_default();
        if self.faults.lose_commits > 0 && first.starts_with(&self.faults.lose_prefix) {
            self.faults.lose_commits -= 1;
            return None;
        }
        Some(server::json(200, &CommitResponse { seq }))
    }

    fn list(&self, seen: Option<&str>) -> Response {
        let tag = format!("\"{}\"", self.listed.0);
        if seen == Some(tag.as_str()) {
            return server::answer(304, "application/json", vec![]);
        }
        let mut res = server::json(200, &self.listed.1);
        res.insert_header("etag", tag);
        res
    }

    fn set_host(&mut self, id: &str, body: &[u8], list_due_ms: Millis) -> Response {
        let Ok(set) = serde_json::from_slice::<SetHost>(body) else {
            return server::answer(400, "text/plain", vec![]);
        };
        let Some(host) = self.hosts.iter_mut().find(|h| h.id == id) else {
            return server::answer(404, "text/plain", vec![]);
        };
        host.status = set.life;
        self.list_due_ms = Some(list_due_ms);
        server::json(200, &())
    }

    fn reboot(&mut self, id: &str, body: &[u8], until_ms: Millis, list_due_ms: Millis) -> Response {
        let Ok(order) = serde_json::from_slice::<RebootRequest>(body) else {
            return server::answer(400, "text/plain", vec![]);
        };
        let Some(host) = self.hosts.iter_mut().find(|h| h.id == id) else {
            let answer = OrderAnswer::NoHost;
            return server::json(200, &OrderResponse { answer });
        };
        if self.reboot_tokens.insert(order.token) {
            host.status = HostStatus::Gone;
            self.list_due_ms = Some(list_due_ms);
            self.rebooting.insert(id.to_string(), until_ms);
            *self.stats.reboots.entry(id.to_string()).or_default() += 1;
            let at_work = |t: &&Task| t.host == id && t.state == TaskState::Running;
            self.stats.reboots_over_tasks += self.tasks.values().filter(at_work).count() as u64;
        }
        let answer = OrderAnswer::Accepted;
        server::json(200, &OrderResponse { answer })
    }

    fn answer_task_order(&mut self, answer: OrderAnswer) -> Option<Response> {
        if self.faults.lose_task_answers > 0 {
            self.faults.lose_task_answers -= 1;
            return None;
        }
        Some(server::json(200, &OrderResponse { answer }))
    }

    fn start(&mut self, start: TaskStart, now_ms: Millis) -> OrderAnswer {
        if let Some(task) = self.tasks.get(&start.job) {
            if task.attempt == start.attempt {
                return OrderAnswer::Accepted;
            }
            if task.attempt > start.attempt || task.state == TaskState::Running {
                return OrderAnswer::Fenced;
            }
        }
        if self
            .fenced
            .get(&start.job)
            .is_some_and(|f| *f >= start.attempt)
        {
            return OrderAnswer::Fenced;
        }
        let live = |h: &HostInfo| h.id == start.host && h.status == HostStatus::Live;
        if !self.hosts.iter().any(live) {
            return OrderAnswer::NoHost;
        }
        let script: Script = serde_json::from_str(&start.payload).unwrap_or_default();
        let fails = script.fail_on.contains(&start.host);
        *self.stats.starts.entry(start.job.clone()).or_default() += 1;
        let task = Task {
            attempt: start.attempt,
            host: start.host,
            state: TaskState::Running,
            began_ms: now_ms,
            ends_ms: now_ms + script.run_ms,
            end: if fails { TaskState::Failed } else { script.end },
            lease_ms: start.lease_ms,
            lease_until_ms: now_ms + start.lease_ms,
        };
        self.tasks.insert(start.job.clone(), task);
        self.report(&start.job, now_ms);
        OrderAnswer::Accepted
    }

    fn renew(&mut self, tasks: &[TaskRef], now_ms: Millis) {
        for task in tasks {
            if let Some(t) = self.tasks.get_mut(&task.job) {
                if t.attempt == task.attempt && t.state == TaskState::Running {
                    t.lease_until_ms = now_ms + t.lease_ms;
                }
            }
        }
    }

    fn stop(&mut self, task: &TaskRef, now_ms: Millis) -> OrderAnswer {
        let known = self
            .tasks
            .get_mut(&task.job)
            .filter(|t| t.attempt == task.attempt);
        let Some(t) = known else {
            let fence = self.fenced.entry(task.job.clone()).or_default();
            *fence = (*fence).max(task.attempt);
            return OrderAnswer::NeverStarted;
        };
        if t.state != TaskState::Running {
            return OrderAnswer::AlreadyEnded;
        }
        t.state = TaskState::Stopped;
        self.report(&task.job, now_ms);
        OrderAnswer::Accepted
    }

    fn report(&mut self, job: &str, now_ms: Millis) {
        let Some(t) = self.tasks.get(job) else { return };
        let report = TaskReport {
            job: job.to_string(),
            attempt: t.attempt,
            host: t.host.clone(),
            state: t.state,
            ran_ms: now_ms - t.began_ms,
        };
        self.report_seq += 1;
        let name = (job.to_string(), t.attempt);
        if let Some(old) = self.report_at.insert(name, self.report_seq) {
            self.reports.remove(&old);
        }
        self.reports.insert(self.report_seq, report);
    }

    fn reports_after(&mut self, since: u64) -> Response {
        self.stats.reads += 1;
        let reports = self.reports.range(since + 1..).map(|(_, r)| r.clone());
        let answer = Reports {
            seq: self.report_seq,
            reports: reports.collect(),
        };
        server::json(200, &answer)
    }

    fn end_due_tasks(&mut self, now_ms: Millis) {
        let gone: BTreeSet<String> = self
            .hosts
            .iter()
            .filter(|h| h.status == HostStatus::Gone)
            .map(|h| h.id.clone())
            .collect();
        let mut ended = Vec::new();
        for (job, t) in &mut self.tasks {
            if t.state != TaskState::Running {
                continue;
            }
            if gone.contains(&t.host) || now_ms >= t.lease_until_ms {
                t.state = TaskState::Lost;
            } else if now_ms >= t.ends_ms {
                t.state = t.end;
            } else {
                continue;
            }
            ended.push(job.clone());
        }
        for job in ended {
            self.report(&job, now_ms);
        }
    }

    fn end_due_reboots(&mut self, now_ms: Millis, lag_ms: Millis) {
        for host in &mut self.hosts {
            if self.rebooting.get(&host.id).is_some_and(|t| now_ms >= *t) {
                self.rebooting.remove(&host.id);
                host.status = HostStatus::Live;
                host.boots += 1;
                self.list_due_ms = Some(now_ms + lag_ms);
            }
        }
        if self.list_due_ms.is_some_and(|t| now_ms >= t) {
            self.list_due_ms = None;
            self.listed.0 += 1;
            self.listed.1 = Listing {
                hosts: self.hosts.clone(),
                ended_entries: self.ended_entries.clone(),
            };
        }
    }
}
