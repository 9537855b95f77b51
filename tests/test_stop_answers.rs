//! A stopping entry of `serve` answers every call that it has read before its process ends.
//!
//! Counts that arrived late in a stop waited for rows by their own deadline, and the process ended with them open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use http_types::Method;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use standin::fleet::{Fleet, StoreFault};

use crate::test_serve::{self, call_with, wait_until, Entry};

/// Late in a stop, while an entry without open connections still runs.
const LATE: Duration = Duration::from_millis(2_600);

/// The deadline of the calls, in milliseconds; later than the end of any stop.
const DEADLINE_MS: &str = "10000";

/// Returns whether an entry has logged an event of this name.
fn has_logged(entry: &Entry, name: &str) -> bool {
    let name = format!("\"name\":\"{name}\"");
    entry.lines().iter().any(|line| line.contains(&name))
}

/// Starts an entry, tells it to stop and waits until late in its stop.
fn start_late_stop(fleet: &Fleet) -> Entry {
    fleet.configure(1, "pool");
    let entry = test_serve::start_entry(fleet, "e1");
    entry.process.signal(Signal::SIGTERM);
    wait_until("stopping", || has_logged(&entry, "entry-stopping"));
    std::thread::sleep(LATE);
    entry
}

/// Sends a call that waits for the store; returns its status.
fn send(
    to: SocketAddr,
    method: Method,
    path: &'static str,
) -> std::thread::JoinHandle<Option<u16>> {
    std::thread::spawn(move || {
        let body = json!({"spec": "work", "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50}]});
        let body = match method {
            Method::Post => body,
            _ => Value::Null,
        };
        let headers = [("Rockwick-Deadline", DEADLINE_MS)];
        call_with(to, method, path, &body, &headers).map(|answer| answer.status)
    })
}

/// The store falls silent late in a stop: each call that waits for it is told that its outcome is unknown, or that it was
/// not taken.
#[test]
fn stop_answers_waiting() {
    let fleet = Fleet::start("pool", 1, 50).expect("the stand-in starts");
    let mut one = start_late_stop(&fleet);
    fleet.set_store_fault(StoreFault::Mute);
    let calls = [
        (Method::Get, "/q/"),
        (Method::Get, "/q/00000000000000aa"),
        (Method::Post, "/q/00000000000000bb"),
        (Method::Delete, "/q/00000000000000cc"),
    ];
    let calls = calls.map(|(method, path)| (method, path, send(one.callers, method, path)));
    for (method, path, thread) in calls {
        let status = thread.join().expect("no panic");
        // A write may have been sent, so a refusal would not be true.
        let is_write = method != Method::Get;
        let is_truthful = status == Some(504) || (status == Some(503) && !is_write);
        assert!(is_truthful, "{method} {path}: {status:?}");
    }
    assert_eq!(one.process.wait_exit(), Some(0));
}

/// A request whose body stops half way is refused before the process ends.
#[test]
fn stop_answers_half_sent() {
    let fleet = Fleet::start("pool", 1, 50).expect("the stand-in starts");
    let mut one = start_late_stop(&fleet);
    let mut stream = TcpStream::connect(one.callers).expect("the entry accepts connections");
    let head =
        "POST /q/00000000000000aa HTTP/1.1\r\nhost: queue.example\r\ncontent-length: 100\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the head is sent");
    stream
        .write_all(b"{\"spec\":")
        .expect("a part of the body is sent");
    let mut answer = String::new();
    // The answer counts also if the connection is reset after it.
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(
        answer.to_ascii_lowercase().contains("connection: close"),
        "{answer:?}"
    );
    assert_eq!(one.process.wait_exit(), Some(0));
}

/// While an entry stops, a caller that connects again and again gets a complete answer or no connection.
#[test]
fn stop_cuts_no_caller() {
    let fleet = Fleet::start("pool", 1, 50).expect("the stand-in starts");
    fleet.configure(1, "pool");
    let mut one = test_serve::start_entry(&fleet, "e1");
    let to = one.callers;
    one.process.signal(Signal::SIGTERM);
    let cut = loop {
        let Ok(mut stream) = TcpStream::connect(to) else {
            break None;
        };
        let head = "GET /elsewhere/ HTTP/1.1\r\nhost: queue.example\r\n\r\n";
        let mut answer = [0; 12];
        let sent = stream.write_all(head.as_bytes());
        let answered = sent.and_then(|()| stream.read_exact(&mut answer));
        match answered {
            Ok(()) if answer.starts_with(b"HTTP/1.1 ") => {}
            other => break Some((other, answer)),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(cut.is_none(), "{cut:?}");
    assert_eq!(one.process.wait_exit(), Some(0));
}
