//! Simulated callers: each submits, queries and cancels jobs at random entries over kept-alive connections, and
//! checks the answers. The soak runs one per thread, and uses one itself for its own checks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use futures_lite::FutureExt;
use http_types::{Method, Request};
use rockwick::http::client::deadline_after_ms;
use rockwick::http::{Answer, Client, ExchangeError, Sent};
use serde_json::Value;
use smol::Timer;

use super::balancer::Balancer;
use super::disturbances::Disturbances;
use super::shapes::Shapes;
use standin::fleet::Fleet;

/// Deadline that a caller sends with each call.
const DEADLINE_MS: u64 = 3_000;

/// Time for which a caller waits for an answer, in which the caller itself must run.
const PATIENCE_MS: u64 = DEADLINE_MS + 500;

/// Part of that time; of a longer pause of the caller, at most twice this counts.
const PATIENCE_STEP: Duration = Duration::from_millis(50);

/// Longest time for an exchange, however little the caller runs.
const EXCHANGE_MAX_MS: u64 = 60_000;

/// Largest number of times that a caller sends a job, each time to a random entry.
const ATTEMPTS_MAX: u32 = 6;

/// Counts the outcomes of jobs and calls.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Jobs that an entry accepted.
    pub(crate) accepted: AtomicU64,
    /// Jobs that were refused at every attempt.
    pub(crate) refused: AtomicU64,
    /// Jobs with at least one unclear attempt and no acceptance.
    pub(crate) unknown: AtomicU64,
    /// Calls that got no answer.
    pub(crate) unanswered: AtomicU64,
    /// Answered questions for the number of waiting jobs.
    pub(crate) counted: AtomicU64,
    /// Jobs that an entry reported as completed.
    pub(crate) completed: AtomicU64,
}

/// Describes an accepted job.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedJob {
    /// Id of the job.
    pub(crate) id: String,
    /// Names of all its tasks.
    pub(crate) tasks: Vec<String>,
    /// Whether it runs until it is cancelled.
    pub(crate) is_long_running: bool,
    /// Whether a caller has sent a cancel for it.
    pub(crate) is_cancelled: bool,
}

/// Holds what all callers share.
#[derive(Clone)]
pub(crate) struct Callers {
    /// Stand-in platform, which checks the promises.
    pub(crate) fleet: Fleet,
    /// Addresses of the entries, by number.
    pub(crate) entries: Vec<SocketAddr>,
    /// Chooses the entries for new connections; callers choose any entry if there is none. With it, callers also ask for
    /// the number of waiting jobs.
    pub(crate) balancer: Option<Balancer>,
    /// Queues of pools without workers.
    pub(crate) empty_pools: &'static [&'static str],
    /// Records when each entry was last disturbed by a fault.
    pub(crate) disturbances: Arc<Disturbances>,
    /// Accepted jobs that are not known to have ended.
    pub(crate) open: Arc<Mutex<Vec<AcceptedJob>>>,
    /// Outcomes of jobs and calls.
    pub(crate) counts: Arc<Counts>,
    /// Set when the callers are to stop.
    pub(crate) is_over: Arc<AtomicBool>,
    /// One job in this many has a schedule; none if 0.
    pub(crate) timed: u32,
    /// Run time of a long task in milliseconds.
    pub(crate) long_ms: Range<u64>,
}

/// Holds one caller's connections and random draws.
pub(crate) struct Caller {
    shared: Callers,
    rng: Rng,
    shapes: Shapes,
    clients: HashMap<usize, Client>,
    number: u64,
    sent: u64,
}

impl Caller {
    /// Creates the caller with this number; the number is part of its seed and of its job ids.
    pub(crate) fn new(shared: Callers, seed: u64, number: u64) -> Self {
        Self {
            shapes: Shapes::new(seed ^ (number << 32), shared.timed)
                .with_long_ms(shared.long_ms.clone()),
            shared,
            rng: Rng::with_seed(seed ^ (number << 32)),
            clients: HashMap::new(),
            number,
            sent: 0,
        }
    }

    /// Makes random calls until `is_over` is set.
    pub(crate) fn run(mut self) {
        while !self.shared.is_over.load(Ordering::SeqCst) {
            match self.rng.u32(..10) {
                0..=3 => self.submit_job(),
                4 | 5 if self.shared.balancer.is_some() => self.count_waiting(),
                4..=8 => self.query_any_job(),
                _ => self.cancel_any_job(),
            }
            std::thread::sleep(Duration::from_millis(self.rng.u64(5..60)));
        }
    }

    fn call(&mut self, entry: usize, method: Method, path: &str, body: &Value) -> Option<Answer> {
        let address = self.shared.entries[entry];
        let client = self
            .clients
            .entry(entry)
            .or_insert_with(|| Client::new(address));
        let mut req = client.request(method, path)?;
        req.insert_header("host", "queue.example");
        req.insert_header("Rockwick-Deadline", DEADLINE_MS.to_string());
        if method == Method::Post {
            req.set_body(body.to_string().into_bytes());
        }
        let began = Instant::now();
        let result = smol::block_on(exchange_while_awake(client, req));
        match result {
            Ok(answer) => {
                if answer.header("connection") == Some("close") {
                    self.clients.remove(&entry);
                }
                Some(answer)
            }
            Err(error) => {
                self.clients.remove(&entry);
                self.shared
                    .counts
                    .unanswered
                    .fetch_add(1, Ordering::Relaxed);
                self.check_unanswered(entry, began, error, path);
                None
            }
        }
    }

    /// Reports a broken promise if an undisturbed entry, or one that is stopping in an orderly way, did not answer a
    /// request that it had read.
    fn check_unanswered(&self, entry: usize, began: Instant, error: ExchangeError, path: &str) {
        let is_sent = error.sent() == Sent::Some;
        // A call that fails sooner may have been sent on an idle connection that the entry was closing.
        let is_read = began.elapsed() > Duration::from_millis(200);
        if is_sent && is_read && self.shared.disturbances.is_undisturbed_since(entry, began) {
            let after_ms = began.elapsed().as_millis();
            let what = format!("{path} at entry {entry} got no answer in {after_ms} ms: {error:?}");
            self.shared.fleet.report_broken(what);
        }
    }

    /// Picks an entry that receives new connections, or that this caller has an open connection to.
    fn pick_entry(&mut self) -> usize {
        let Some(balancer) = &self.shared.balancer else {
            return self.rng.usize(..self.shared.entries.len());
        };
        let mut targets = balancer.targets();
        let open = self.clients.keys().filter(|n| !targets.contains(n));
        let mut open: Vec<usize> = open.copied().collect();
        open.sort_unstable();
        targets.append(&mut open);
        targets[self.rng.usize(..targets.len())]
    }

    fn count_waiting(&mut self) {
        let entry = self.pick_entry();
        let queues = self.shared.empty_pools;
        let queue = queues.get(self.rng.usize(..=queues.len()));
        let path = format!("/{}/", queue.unwrap_or(&"q"));
        let Some(answer) = self.call(entry, Method::Get, &path, &Value::Null) else {
            return;
        };
        let waiting = answer.json::<Value>().and_then(|v| v["waiting"].as_u64());
        match answer.status {
            200 if waiting.is_some() => {
                self.shared.counts.counted.fetch_add(1, Ordering::Relaxed);
            }
            429 | 503 => {}
            status => {
                let what = format!("a count of waiting jobs is answered {status}, {waiting:?}");
                self.shared.fleet.report_broken(what);
            }
        }
    }

    fn submit_job(&mut self) {
        self.sent += 1;
        let id = format!("{:04x}{:012x}", self.number, self.sent);
        let is_long_running = self.rng.u32(..25) == 0;
        let tasks = self.rng.u64(1..5);
        let shape = self.shapes.draw(&id, tasks, is_long_running);
        self.shared.fleet.expect(&id, &shape.text);
        let mut is_unknown = false;
        for _ in 0..ATTEMPTS_MAX {
            let entry = self.pick_entry();
            let answer = self.call(entry, Method::Post, &format!("/q/{id}"), &shape.body);
            match answer.map(|a| a.status) {
                Some(200..=299) => {
                    self.add_open_job(id, shape.tasks, is_long_running);
                    return;
                }
                Some(429 | 503) => {}
                Some(404 | 409 | 410) => {
                    self.shared
                        .fleet
                        .report_broken(format!("{id} is not taken as a job of its queue"));
                }
                _ => is_unknown = true,
            }
            std::thread::sleep(Duration::from_millis(self.rng.u64(50..400)));
        }
        if is_unknown {
            self.shared.counts.unknown.fetch_add(1, Ordering::Relaxed);
        } else {
            self.shared.counts.refused.fetch_add(1, Ordering::Relaxed);
            self.shared.fleet.record_refused(&id);
        }
    }

    fn add_open_job(&mut self, id: String, tasks: Vec<String>, is_long_running: bool) {
        self.shared.counts.accepted.fetch_add(1, Ordering::Relaxed);
        let job = AcceptedJob {
            id,
            tasks,
            is_long_running,
            is_cancelled: false,
        };
        lock(&self.shared.open).push(job);
    }

    fn pick_open(&mut self) -> Option<AcceptedJob> {
        let open = lock(&self.shared.open);
        (!open.is_empty()).then(|| open[self.rng.usize(..open.len())].clone())
    }

    fn query_any_job(&mut self) {
        let Some(job) = self.pick_open() else { return };
        let entry = self.pick_entry();
        self.query_job(entry, &job);
    }

    /// Queries a job at an entry and checks the answer; returns the job's state.
    pub(crate) fn query_job(&mut self, entry: usize, job: &AcceptedJob) -> Option<String> {
        let path = format!("/q/{}", job.id);
        let answer = self.call(entry, Method::Get, &path, &Value::Null)?;
        if answer.status == 410 {
            self.shared
                .fleet
                .report_broken(format!("{} was accepted, and is not known", job.id));
            return None;
        }
        let body: Value = answer.json()?;
        let state = body["state"].as_str()?.to_string();
        match state.as_str() {
            "completed" => {
                self.shared.fleet.check_completed(&job.id, &job.tasks);
                self.shared.counts.completed.fetch_add(1, Ordering::Relaxed);
                lock(&self.shared.open).retain(|k| k.id != job.id);
            }
            "failed" => self
                .shared
                .fleet
                .report_broken(format!("{} is shown as failed", job.id)),
            "cancelled" if !self.is_cancelled(&job.id) => {
                let what = format!("{} is shown as cancelled by nobody", job.id);
                self.shared.fleet.report_broken(what);
            }
            _ => {}
        }
        Some(state)
    }

    fn is_cancelled(&self, id: &str) -> bool {
        let open = lock(&self.shared.open);
        open.iter()
            .find(|k| k.id == id)
            .is_none_or(|k| k.is_cancelled)
    }

    fn cancel_any_job(&mut self) {
        if let Some(job) = self.pick_open() {
            let entry = self.pick_entry();
            self.cancel_job(entry, &job.id);
        }
    }

    /// Cancels a job at an entry; returns whether the cancel was acknowledged.
    pub(crate) fn cancel_job(&mut self, entry: usize, id: &str) -> bool {
        for job in lock(&self.shared.open).iter_mut().filter(|k| k.id == id) {
            job.is_cancelled = true;
        }
        let answer = self.call(entry, Method::Delete, &format!("/q/{id}"), &Value::Null);
        let is_done = answer.is_some_and(|a| a.status == 200);
        if is_done {
            self.shared.fleet.record_cancelled(id);
            lock(&self.shared.open).retain(|k| k.id != id);
        }
        is_done
    }

    /// Returns whether an entry knows a queue; `None` if it gave no clear answer.
    pub(crate) fn has_queue(&mut self, entry: usize, queue: &str) -> Option<bool> {
        let answer = self.call(entry, Method::Get, &format!("/{queue}/"), &Value::Null)?;
        match answer.status {
            200 => Some(true),
            404 => Some(false),
            _ => None,
        }
    }
}

/// Sends a request; gives up once the caller itself has run for `PATIENCE_MS`, so that time in which this process got no
/// processor does not count as time without an answer.
async fn exchange_while_awake(client: &Client, req: Request) -> Result<Answer, ExchangeError> {
    let patience = async {
        let mut awake = Duration::ZERO;
        while awake < Duration::from_millis(PATIENCE_MS) {
            let began = Instant::now();
            Timer::after(PATIENCE_STEP).await;
            awake += began.elapsed().min(2 * PATIENCE_STEP);
        }
        client.close_idle();
        Err(ExchangeError::Timeout(Sent::Some))
    };
    let exchange = client.exchange(req, deadline_after_ms(EXCHANGE_MAX_MS));
    exchange.or(patience).await
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
