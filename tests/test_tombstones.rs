//! A cancel finds no job while the job's insertion is still on its way: once the cancel is answered, the job never
//! starts. Real entries run against the stand-in of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use rockwick::core::sched::rows::intake_parts_of;
use serde_json::{json, Value};
use standin::fleet::Fleet;

use crate::test_serve::{
    call, call_with, get_status, start_entry, start_entry_with, wait_until, Entry,
};

const POOL: &str = "pool";
const OTHER_POOL: &str = "other";
const A: &str = "00000000000000aa";

/// How late the store applies an insertion: longer than a caller waits for the answer to a submission.
const LATE_MS: u64 = 4_000;

/// Long enough for a job to start, which takes about 0.1 s.
const START_MS: u64 = 1_000;

fn start_fleet() -> Fleet {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure_routes(1, &[("q", POOL)], &[POOL, OTHER_POOL]);
    fleet
}

fn body() -> Value {
    json!({"spec": "lasts", "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "long_running": true}]})
}

fn submit(to: SocketAddr, id: &str) -> Option<u16> {
    call(to, Method::Post, &format!("/q/{id}"), &body()).map(|a| a.status)
}

fn cancel(to: SocketAddr, id: &str) -> Option<u16> {
    let answer = call(to, Method::Delete, &format!("/q/{id}"), &Value::Null);
    answer.map(|a| a.status)
}

/// Waits until the store has applied all late writes and their jobs have had time to start.
fn wait_late_writes(fleet: &Fleet) {
    wait_until("late writes are applied", || fleet.late_writes() == 0);
    std::thread::sleep(Duration::from_millis(START_MS));
}

/// Submits a job whose insertions the store applies late, in both partitions of the pool, and gets no answer.
fn submit_late(fleet: &Fleet, entry: &Entry, id: &str) {
    fleet.set_late_parts(&intake_parts_of(POOL, id), LATE_MS);
    assert_eq!(submit(entry.callers, id), Some(504));
    fleet.set_late_parts(&[], 0);
    assert!(fleet.late_writes() >= 2);
}

/// A job started seconds after its cancel had been answered with 410, once the store had applied its insertion.
#[test]
fn tombstones_late_insertion() {
    let fleet = start_fleet();
    let (one, two) = (start_entry(&fleet, "e1"), start_entry(&fleet, "e2"));
    submit_late(&fleet, &one, A);
    assert_eq!(cancel(two.callers, A), Some(410));
    wait_late_writes(&fleet);
    assert_eq!(fleet.starts(), 0);
    assert_eq!(get_status(one.callers, &format!("/q/{A}")), Some(410));
}

/// A copy of a submission that came after the 410 was accepted, and its job ran.
#[test]
fn tombstones_later_copy() {
    let fleet = start_fleet();
    let (one, two) = (start_entry(&fleet, "e1"), start_entry(&fleet, "e2"));
    submit_late(&fleet, &one, A);
    assert_eq!(cancel(one.callers, A), Some(410));
    for entry in [&one, &two] {
        assert_eq!(submit(entry.callers, A), Some(503));
    }
    wait_late_writes(&fleet);
    assert_eq!(submit(two.callers, A), Some(503));
    assert_eq!(cancel(two.callers, A), Some(410));
    std::thread::sleep(Duration::from_millis(START_MS));
    assert_eq!(fleet.starts(), 0);
}

/// The queue is routed to another pool between the submission and its cancel, and back: the job is kept out of the
/// partitions to which the submission was sent.
#[test]
fn tombstones_moved_queue() {
    let fleet = start_fleet();
    let one = start_entry(&fleet, "e1");
    submit_late(&fleet, &one, A);
    fleet.configure_routes(2, &[("q", OTHER_POOL)], &[POOL, OTHER_POOL]);
    // This entry has never seen the route to the first pool.
    let two = start_entry(&fleet, "e2");
    assert_eq!(cancel(two.callers, A), Some(410));
    fleet.configure_routes(3, &[("q", POOL)], &[POOL, OTHER_POOL]);
    wait_late_writes(&fleet);
    assert_eq!(fleet.starts(), 0);
}

/// The cancel is answered by 410 only once both partitions keep the job out.
#[test]
fn tombstones_one_part_down() {
    let fleet = start_fleet();
    let one = start_entry(&fleet, "e1");
    submit_late(&fleet, &one, A);
    for part in intake_parts_of(POOL, A) {
        fleet.set_late_parts(&[part], LATE_MS);
        assert_eq!(cancel(one.callers, A), Some(504));
    }
    fleet.set_late_parts(&[], 0);
    assert_eq!(cancel(one.callers, A), Some(410));
    wait_late_writes(&fleet);
    assert_eq!(fleet.starts(), 0);
}

/// An account's cancel of an id that it has no job under keeps out its own job, and not that of another account.
#[test]
fn tombstones_other_account() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure_accounts(1, POOL, &[("acme", &["key-a"]), ("zenith", &["key-z"])]);
    let one = start_entry_with(&fleet, "e1", &[]);
    let send = |method: Method, key: &str| {
        let headers = [("x-api-key", key)];
        let answer = call_with(one.callers, method, &format!("/q/{A}"), &body(), &headers);
        answer.map(|a| a.status)
    };
    assert_eq!(send(Method::Delete, "key-a"), Some(410));
    assert_eq!(send(Method::Post, "key-a"), Some(503));
    assert_eq!(send(Method::Post, "key-z"), Some(200));
    assert_eq!(send(Method::Get, "key-z"), Some(200));
    wait_until("it runs", || fleet.running() == 1);
    // The job of the other account remains unseen.
    assert_eq!(send(Method::Delete, "key-a"), Some(410));
    assert_eq!(send(Method::Get, "key-a"), Some(410));
    assert_eq!(send(Method::Delete, "key-z"), Some(200));
    wait_until("it is stopped", || fleet.running() == 0);
}

/// Callers can't fill the store by cancels of ids that never existed. Those beyond the limit are told to come later, and
/// cancels of stored jobs are not held up.
#[test]
fn tombstones_limited() {
    const THREADS: usize = 8;
    const CANCELS: usize = 40;
    let fleet = start_fleet();
    let one = start_entry(&fleet, "e1");
    assert_eq!(submit(one.callers, A), Some(200));
    let send = &|thread: usize| -> Vec<Option<u16>> {
        let ids = (0..CANCELS).map(|n| format!("{:016x}", 0x1_0000 + thread * CANCELS + n));
        ids.map(|id| cancel(one.callers, &id)).collect()
    };
    let statuses = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|n| scope.spawn(move || send(n))).collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined
            .flat_map(|s| s.expect("no thread panics"))
            .collect::<Vec<_>>()
    });
    let count = |status: u16| statuses.iter().filter(|s| **s == Some(status)).count();
    assert!(count(410) >= CANCELS, "{statuses:?}");
    assert!(count(503) >= CANCELS, "{statuses:?}");
    assert_eq!(count(410) + count(503), THREADS * CANCELS);
    assert_eq!(cancel(one.callers, A), Some(200));
}
