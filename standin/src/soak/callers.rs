//! Callers on open connections: they hand in jobs, ask for them, cancel them, and check what they are told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use http_types::Method;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::{Answer, Client, ExchangeError};
use serde_json::Value;

use super::calm::Calm;
use super::shapes::Shapes;
use standin::fleet::Fleet;

/// How long a caller waits for an answer.
const DEADLINE_MS: u64 = 3_000;

/// Sendings of one job, at different entries.
const TRIES: u32 = 6;

/// What became of calls.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Jobs that were accepted.
    pub(crate) accepted: AtomicU64,
    /// Jobs whose every sending was refused.
    pub(crate) refused: AtomicU64,
    /// Jobs of which the caller does not know.
    pub(crate) unknown: AtomicU64,
    /// Calls without an answer.
    pub(crate) unanswered: AtomicU64,
    /// Jobs that were shown as completed.
    pub(crate) completed: AtomicU64,
}

/// A job that was accepted.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Its id.
    pub(crate) id: String,
    /// Its tasks by name.
    pub(crate) tasks: Vec<String>,
    /// It lasts until it is cancelled.
    pub(crate) lasts: bool,
    /// A cancel of it was sent.
    pub(crate) is_cancelled: bool,
}

/// What callers share.
#[derive(Clone)]
pub(crate) struct Callers {
    /// The platform, which checks.
    pub(crate) fleet: Fleet,
    /// Entries' addresses.
    pub(crate) entries: Vec<SocketAddr>,
    /// Which entries were left alone of late.
    pub(crate) calm: Arc<Calm>,
    /// Accepted jobs that are not known to have ended.
    pub(crate) open: Arc<Mutex<Vec<Known>>>,
    /// What became of calls.
    pub(crate) counts: Arc<Counts>,
    /// Set when the day is over.
    pub(crate) is_over: Arc<AtomicBool>,
    /// One job in so many is timed; none at 0.
    pub(crate) timed: u32,
}

/// One caller's connections.
pub(crate) struct Caller {
    all: Callers,
    rng: Rng,
    shapes: Shapes,
    clients: HashMap<usize, Client>,
    number: u64,
    sent: u64,
}

impl Caller {
    /// The caller of that number.
    pub(crate) fn new(all: Callers, seed: u64, number: u64) -> Self {
        Self {
            shapes: Shapes::new(seed ^ (number << 32), all.timed),
            all,
            rng: Rng::with_seed(seed ^ (number << 32)),
            clients: HashMap::new(),
            number,
            sent: 0,
        }
    }

    /// Calls until the day is over.
    pub(crate) fn run(mut self) {
        while !self.all.is_over.load(Ordering::SeqCst) {
            match self.rng.u32(..10) {
                0..=3 => self.submit(),
                4..=8 => self.look(),
                _ => self.cancel(),
            }
            std::thread::sleep(Duration::from_millis(self.rng.u64(5..60)));
        }
    }

    fn call(&mut self, entry: usize, method: Method, path: &str, body: &Value) -> Option<Answer> {
        let address = self.all.entries[entry];
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
        let result = smol::block_on(client.exchange(req, deadline_after_ms(DEADLINE_MS + 500)));
        match result {
            Ok(answer) => Some(answer),
            Err(trouble) => {
                self.all.counts.unanswered.fetch_add(1, Ordering::Relaxed);
                self.check_cut(entry, began, trouble, path);
                None
            }
        }
    }

    /// An entry that was only told to stop, or left alone, answers what it has read.
    fn check_cut(&self, entry: usize, began: Instant, trouble: ExchangeError, path: &str) {
        let is_sent = trouble.sent() == rockwick::http::Sent::Some;
        // An idle connection may close just as a request is sent on it.
        let is_read = began.elapsed() > Duration::from_millis(200);
        if is_sent && is_read && self.all.calm.was_calm(entry, began) {
            let what = format!("{path} at entry {entry} got no answer: {trouble:?}");
            self.all.fleet.broken(what);
        }
    }

    fn any_entry(&mut self) -> usize {
        self.rng.usize(..self.all.entries.len())
    }

    fn submit(&mut self) {
        self.sent += 1;
        let id = format!("{:04x}{:012x}", self.number, self.sent);
        let lasts = self.rng.u32(..25) == 0;
        let tasks = self.rng.u64(1..5);
        let shape = self.shapes.draw(&id, tasks, lasts);
        self.all.fleet.expect(&id, &shape.text);
        let mut is_unknown = false;
        for _ in 0..TRIES {
            let entry = self.any_entry();
            let answer = self.call(entry, Method::Post, &format!("/q/{id}"), &shape.body);
            match answer.map(|a| a.status) {
                Some(200..=299) => {
                    self.accepted(id, shape.tasks, lasts);
                    return;
                }
                Some(429 | 503) => {}
                Some(404 | 409 | 410) => {
                    self.all
                        .fleet
                        .broken(format!("{id} is not taken as a job of its queue"));
                }
                _ => is_unknown = true,
            }
            std::thread::sleep(Duration::from_millis(self.rng.u64(50..400)));
        }
        if is_unknown {
            self.all.counts.unknown.fetch_add(1, Ordering::Relaxed);
        } else {
            self.all.counts.refused.fetch_add(1, Ordering::Relaxed);
            self.all.fleet.refused(&id);
        }
    }

    fn accepted(&mut self, id: String, tasks: Vec<String>, lasts: bool) {
        self.all.counts.accepted.fetch_add(1, Ordering::Relaxed);
        let known = Known {
            id,
            tasks,
            lasts,
            is_cancelled: false,
        };
        lock(&self.all.open).push(known);
    }

    fn any_open(&mut self) -> Option<Known> {
        let open = lock(&self.all.open);
        (!open.is_empty()).then(|| open[self.rng.usize(..open.len())].clone())
    }

    fn look(&mut self) {
        let Some(known) = self.any_open() else { return };
        let entry = self.any_entry();
        self.state(entry, &known);
    }

    /// Asks for a job and checks the answer; says its state.
    pub(crate) fn state(&mut self, entry: usize, known: &Known) -> Option<String> {
        let path = format!("/q/{}", known.id);
        let answer = self.call(entry, Method::Get, &path, &Value::Null)?;
        if answer.status == 410 {
            self.all
                .fleet
                .broken(format!("{} was accepted, and is not known", known.id));
            return None;
        }
        let body: Value = answer.json()?;
        let state = body["state"].as_str()?.to_string();
        match state.as_str() {
            "completed" => {
                self.all.fleet.shown_completed(&known.id, &known.tasks);
                self.all.counts.completed.fetch_add(1, Ordering::Relaxed);
                lock(&self.all.open).retain(|k| k.id != known.id);
            }
            "failed" => self
                .all
                .fleet
                .broken(format!("{} is shown as failed", known.id)),
            "cancelled" if !self.is_cancelled(&known.id) => {
                let what = format!("{} is shown as cancelled by nobody", known.id);
                self.all.fleet.broken(what);
            }
            _ => {}
        }
        Some(state)
    }

    fn is_cancelled(&self, id: &str) -> bool {
        let open = lock(&self.all.open);
        open.iter()
            .find(|k| k.id == id)
            .is_none_or(|k| k.is_cancelled)
    }

    fn cancel(&mut self) {
        if let Some(known) = self.any_open() {
            let entry = self.any_entry();
            self.cancel_at(entry, &known.id);
        }
    }

    /// Cancels a job; says whether that was acknowledged.
    pub(crate) fn cancel_at(&mut self, entry: usize, id: &str) -> bool {
        for known in lock(&self.all.open).iter_mut().filter(|k| k.id == id) {
            known.is_cancelled = true;
        }
        let answer = self.call(entry, Method::Delete, &format!("/q/{id}"), &Value::Null);
        let is_done = answer.is_some_and(|a| a.status == 200);
        if is_done {
            self.all.fleet.cancelled(id);
            lock(&self.all.open).retain(|k| k.id != id);
        }
        is_done
    }

    /// What an entry says to a queue: there, or not.
    pub(crate) fn has_queue(&mut self, entry: usize, queue: &str) -> Option<bool> {
        let answer = self.call(entry, Method::Get, &format!("/{queue}/"), &Value::Null)?;
        match answer.status {
            200 => Some(true),
            404 => Some(false),
            _ => None,
        }
    }
}

/// Locks, whoever panicked before.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
