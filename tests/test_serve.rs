//! Runs `rockwick serve` as processes against the stand-in of the workers' platform.

use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use http_types::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rockwick::core::sched::rows::intake_parts_of;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::{Answer, Client};
use serde_json::{json, Value};
use standin::fleet::{Fleet, StoreFault};

use crate::fleet::{binary_path, free_addr, Process, WAIT_MAX};

const POOL: &str = "pool";

/// A running `rockwick serve` process and its addresses.
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

pub(crate) fn start_entry(fleet: &Fleet, name: &str) -> Entry {
    start_entry_with(fleet, name, &[])
}

/// Starts an entry with flags beside the usual ones and waits until it is ready.
pub(crate) fn start_entry_with(fleet: &Fleet, name: &str, more: &[&str]) -> Entry {
    start_entry_at(fleet, fleet.address, name, more)
}

/// Starts an entry that uses the store at this address, with flags beside the usual ones, and waits until it is ready.
pub(crate) fn start_entry_at(fleet: &Fleet, store: SocketAddr, name: &str, more: &[&str]) -> Entry {
    let (callers, ready, metrics) = (free_addr(), free_addr(), free_addr());
    let args = [
        ("--name", name.to_string()),
        ("--hall", "hall".to_string()),
        ("--listen", callers.to_string()),
        ("--ready", ready.to_string()),
        ("--metrics", metrics.to_string()),
        ("--store", store.to_string()),
        ("--hosts", fleet.address.to_string()),
    ];
    let flags = args
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_string(), value]);
    let more = more.iter().map(|arg| arg.to_string());
    let args = std::iter::once("serve".to_string())
        .chain(flags)
        .chain(more);
    let args: Vec<String> = args.collect();
    let process = Process::start("rockwick", &args);
    let entry = Entry {
        process,
        callers,
        ready,
        metrics,
    };
    wait_until("ready", || get_status(entry.ready, "/readyz") == Some(200));
    entry
}

impl Entry {
    /// Returns the lines that the process has logged so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.process.lines()
    }
}

/// Waits until `holds` returns true; panics after [`WAIT_MAX`].
pub(crate) fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub(crate) fn call(to: SocketAddr, method: Method, path: &str, body: &Value) -> Option<Answer> {
    call_with(to, method, path, body, &[])
}

/// Sends a request with headers beside the usual ones.
pub(crate) fn call_with(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
    headers: &[(&str, &str)],
) -> Option<Answer> {
    let client = Client::new(to);
    let mut req = client.request(method, path)?;
    req.insert_header("host", "queue.example");
    for (name, value) in headers {
        req.insert_header(*name, *value);
    }
    if method == Method::Post {
        req.set_body(body.to_string().into_bytes());
    }
    smol::block_on(client.exchange(req, deadline_after_ms(10_000))).ok()
}

pub(crate) fn get_status(to: SocketAddr, path: &str) -> Option<u16> {
    call(to, Method::Get, path, &Value::Null).map(|a| a.status)
}

pub(crate) fn job_state(to: SocketAddr, id: &str) -> String {
    let answer = call(to, Method::Get, &format!("/q/{id}"), &Value::Null);
    let body: Option<Value> = answer.and_then(|a| a.json());
    body.and_then(|b| b["state"].as_str().map(str::to_string))
        .unwrap_or_default()
}

pub(crate) fn submit_job(to: SocketAddr, id: &str, spec: &str) -> Option<u16> {
    let body = json!({"spec": spec, "steps": [{"count": 3, "cpu": 500, "mem_mb": 100, "estimate_ms": 50}],
        "unknown": 1});
    call(to, Method::Post, &format!("/q/{id}"), &body).map(|a| a.status)
}

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

#[test]
fn serve_runs_jobs() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let (one, two) = (start_entry(&fleet, "e1"), start_entry(&fleet, "e2"));
    assert_eq!(submit_job(one.callers, A, "work"), Some(200));
    assert_eq!(
        submit_job(two.callers, A, "work"),
        Some(200),
        "a repeated submission is the same job"
    );
    assert_eq!(
        submit_job(two.callers, A, "other"),
        Some(409),
        "another job under the same id is refused"
    );
    wait_until("completed", || job_state(two.callers, A) == "completed");
    assert_eq!(fleet.starts(), 3);
    assert_eq!(get_status(one.callers, "/q/"), Some(200));
    assert_eq!(get_status(one.callers, &format!("/q/{B}")), Some(410));
    assert_eq!(get_status(one.callers, "/elsewhere/"), Some(404));
    let bad = call(
        one.callers,
        Method::Post,
        &format!("/q/{B}"),
        &json!({"steps": []}),
    );
    assert_eq!(bad.map(|a| a.status), Some(400));
}

#[test]
fn serve_cancels() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    assert_eq!(submit_job(one.callers, A, "lasts"), Some(200));
    wait_until("running", || fleet.running() == 3);
    let gone = call(
        one.callers,
        Method::Delete,
        &format!("/q/{A}"),
        &Value::Null,
    );
    assert_eq!(gone.map(|a| a.status), Some(200));
    wait_until("stopped", || fleet.running() == 0);
    assert_eq!(job_state(one.callers, A), "cancelled");
    let none = call(
        one.callers,
        Method::Delete,
        &format!("/q/{B}"),
        &Value::Null,
    );
    assert_eq!(none.map(|a| a.status), Some(410));
}

/// The owner of a pool is killed: another entry must take the pool over without starting running tasks again.
#[test]
fn serve_takes_over() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    assert_eq!(submit_job(one.callers, A, "lasts"), Some(200));
    wait_until("running", || fleet.running() == 3);
    let two = start_entry(&fleet, "e2");
    drop(one);
    assert_eq!(submit_job(two.callers, B, "work"), Some(200));
    wait_until("completed", || job_state(two.callers, B) == "completed");
    assert_eq!(fleet.running(), 3, "the running tasks continue");
    assert_eq!(fleet.starts(), 6, "the running tasks are not started again");
    let lines = two.process.lines();
    assert!(lines.iter().any(|l| l.contains("\"pool-owned\"")));
}

/// The store applies the writes to a partition one after the other: jobs that arrive together must share a write and
/// not wait for each other.
#[test]
fn serve_slow_writes() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    assert_eq!(submit_job(one.callers, A, "work"), Some(200));
    wait_until("completed", || job_state(one.callers, A) == "completed");
    fleet.set_store_fault(StoreFault::Turns(150));
    let to = one.callers;
    let sent: Vec<_> = (0..24)
        .map(|n| std::thread::spawn(move || submit_job(to, &format!("{:016x}", n * 7_919), "work")))
        .collect();
    for thread in sent {
        assert_eq!(thread.join().expect("no panic"), Some(200));
    }
}

/// The store applies the writes to a partition one after the other, and each takes longer than the timeout for a fast
/// store. A write that timed out and was sent again would wait behind its first attempt for ever.
#[test]
fn serve_slow_turns() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    assert_eq!(submit_job(one.callers, A, "work"), Some(200));
    wait_until("completed", || job_state(one.callers, A) == "completed");
    fleet.set_store_fault(StoreFault::Turns(900));
    let slow = format!("{:016x}", 7);
    // The write may take longer than the caller waits; it still takes effect.
    assert!(matches!(
        submit_job(one.callers, &slow, "work"),
        Some(200 | 504)
    ));
    wait_until("completed", || job_state(one.callers, &slow) == "completed");
}

/// The last log line of a process must say that it stopped. The line is lost if the process ends before its log is
/// written.
#[test]
fn serve_last_line() {
    let fleet = Fleet::start(POOL, 1, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let (callers, ready, store) = (free_addr(), free_addr(), fleet.address.to_string());
    let child = Command::new(binary_path("rockwick"))
        .args(["serve", "--name", "e1", "--hall", "hall"])
        .args(["--listen", &callers.to_string()])
        .args(["--ready", &ready.to_string()])
        .args(["--store", &store])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    wait_until("ready", || get_status(ready, "/readyz") == Some(200));
    kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).expect("the process runs");
    let output = child.wait_with_output().expect("the process ends");
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_default();
    assert!(last.contains("entry-stopped"), "{last}");
}

#[test]
fn serve_store_refuses() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    fleet.set_store_fault(StoreFault::Busy);
    let refused = call(
        one.callers,
        Method::Post,
        &format!("/q/{A}"),
        &json!({"steps": [{"count": 1}]}),
    );
    let refused = refused.expect("an answer");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("retry-after"), Some("1"));
    wait_until("not ready", || {
        get_status(one.ready, "/readyz") == Some(503)
    });
    // The caller's deadline is longer than the test waits for an answer.
    wait_until("the count is refused", || {
        let headers = [("Rockwick-Deadline", "60000")];
        let answer = call_with(one.callers, Method::Get, "/q/", &Value::Null, &headers);
        answer.is_some_and(|a| a.status == 503 && a.header("retry-after") == Some("1"))
    });
    fleet.set_store_fault(StoreFault::None);
    wait_until("ready", || get_status(one.ready, "/readyz") == Some(200));
    assert_eq!(
        get_status(one.callers, &format!("/q/{A}")),
        Some(410),
        "the refused job was not accepted"
    );
    assert_eq!(submit_job(one.callers, A, "work"), Some(200));
    wait_until("completed", || job_state(one.callers, A) == "completed");
}

/// A job that arrives while the store does not answer must be refused at once and not written: a write that is sent
/// during an outage has an unknown outcome.
#[test]
fn serve_store_silent() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    fleet.set_store_fault(StoreFault::Mute);
    wait_until("not ready", || {
        get_status(one.ready, "/readyz") == Some(503)
    });
    let body = json!({"spec": "work", "steps": [{"count": 1, "cpu": 500, "mem_mb": 100}]});
    let refused = call(one.callers, Method::Post, &format!("/q/{A}"), &body).expect("an answer");
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    fleet.set_store_fault(StoreFault::None);
    wait_until("ready again", || {
        get_status(one.ready, "/readyz") == Some(200)
    });
    assert_eq!(
        get_status(one.callers, &format!("/q/{A}")),
        Some(410),
        "the refused job does not exist"
    );
}

/// A deadline that is no number of milliseconds is refused with a reason, and not taken for none.
#[test]
fn serve_bad_deadline() {
    let fleet = Fleet::start(POOL, 1, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    for deadline in ["NaN", "-1", "soon", ""] {
        let headers = [("Rockwick-Deadline", deadline)];
        let path = format!("/q/{A}");
        let answer = call_with(one.callers, Method::Get, &path, &Value::Null, &headers);
        assert_eq!(answer.map(|a| a.status), Some(400), "{deadline:?}");
    }
    assert_eq!(get_status(one.callers, &format!("/q/{A}")), Some(410));
}

/// A job whose row can't be decoded is answered at once: the caller's deadline is longer than this test waits.
#[test]
fn serve_unreadable_job() {
    let fleet = Fleet::start(POOL, 1, 50).expect("the stand-in starts");
    fleet.configure(1, POOL);
    let one = start_entry(&fleet, "e1");
    let [part, _] = intake_parts_of(POOL, A);
    fleet.put_bytes("intake", &part, A, b"not JSON");
    for method in [Method::Get, Method::Delete] {
        let headers = [("Rockwick-Deadline", "60000")];
        let path = format!("/q/{A}");
        let answer = call_with(one.callers, method, &path, &Value::Null, &headers);
        assert_eq!(answer.map(|a| a.status), Some(504), "{method}");
    }
    let is_told = |line: &String| line.contains("bad-row") && line.contains(A);
    wait_until("a line on the row", || one.lines().iter().any(is_told));
}
