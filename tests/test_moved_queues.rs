//! A queue is routed to another pool while callers repeat submissions: an id remains one job, whichever entry gets the
//! copy and whichever configuration that entry has. Real entries run against the stand-in of the platform.

use std::net::SocketAddr;

use http_types::Method;
use serde_json::{json, Value};
use standin::fleet::Fleet;

use crate::test_serve::{
    call, get_status, job_state, start_entry_at, start_entry_with, wait_until, Entry,
};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";
const POOLS: [&str; 3] = ["pool-a", "pool-b", "pool-c"];

/// A configuration stays in force at an entry that can't read newer ones, for longer than any test takes.
const STALE_CONFIG: [&str; 4] = [
    "--config-within-ms",
    "120000",
    "--config-outage-ms",
    "120000",
];

/// Starts a platform with two workers in each pool.
fn start_fleet() -> Fleet {
    let fleet = Fleet::start(POOLS[0], 6, 50).expect("the stand-in starts");
    for n in 0..6 {
        fleet.assign(n, POOLS[n / 2]);
    }
    fleet
}

/// Routes the queue `q` to a pool, and waits until the entries use that configuration.
fn route(fleet: &Fleet, version: u64, pool: &str, entries: &[&Entry]) {
    fleet.configure_routes(version, &[("q", pool)], &POOLS);
    for entry in entries {
        wait_adopted(entry, version);
    }
}

fn wait_adopted(entry: &Entry, version: u64) {
    let wanted = format!("\"config\":\"{version}\"");
    let is_adopted = |line: &String| line.contains("\"config-adopted\"") && line.contains(&wanted);
    wait_until("the configuration is in force", || {
        entry.lines().iter().any(is_adopted)
    });
}

fn body(spec: &str) -> Value {
    json!({"spec": spec, "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 2_000}]})
}

fn submit(fleet: &Fleet, to: SocketAddr, id: &str, spec: &str) -> Option<u16> {
    fleet.expect(id, spec);
    call(to, Method::Post, &format!("/q/{id}"), &body(spec)).map(|a| a.status)
}

fn waiting(to: SocketAddr) -> Option<u64> {
    let answer: Value = call(to, Method::Get, "/q/", &Value::Null)?.json()?;
    answer["waiting"].as_u64()
}

fn assert_one_start(fleet: &Fleet, starts: u64) {
    // Long enough for a second job of the same id to start, which takes about 0.1 s.
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    assert_eq!(fleet.all_broken(), Vec::<String>::new());
    assert_eq!(fleet.starts(), starts);
}

/// A copy that arrives while the job runs in the queue's former pool started the job again in the new pool.
#[test]
fn moved_copy_running() {
    let fleet = start_fleet();
    fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
    let (one, two) = (
        start_entry_with(&fleet, "e1", &[]),
        start_entry_with(&fleet, "e2", &[]),
    );
    assert_eq!(submit(&fleet, one.callers, A, "lasts"), Some(200));
    wait_until("running", || fleet.running() == 1);
    route(&fleet, 2, POOLS[1], &[&one, &two]);
    for to in [two.callers, one.callers, two.callers] {
        assert_eq!(submit(&fleet, to, A, "lasts"), Some(200));
    }
    let other = call(
        two.callers,
        Method::Post,
        &format!("/q/{A}"),
        &body("other"),
    );
    assert_eq!(other.map(|a| a.status), Some(409));
    assert_one_start(&fleet, 1);
    assert_eq!(job_state(two.callers, A), "running");
    assert_eq!(submit(&fleet, two.callers, B, "lasts"), Some(200));
    wait_until("the new job runs", || fleet.running() == 2);
    route(&fleet, 3, POOLS[0], &[&one, &two]);
    for id in [A, B] {
        assert_eq!(submit(&fleet, two.callers, id, "lasts"), Some(200));
    }
    assert_one_start(&fleet, 2);
    assert_eq!(job_state(one.callers, B), "running");
}

/// A copy of a job that is done started the job again after its queue had been routed to another pool.
#[test]
fn moved_copy_done() {
    let fleet = start_fleet();
    fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
    let one = start_entry_with(&fleet, "e1", &[]);
    assert_eq!(submit(&fleet, one.callers, A, "work"), Some(200));
    wait_until("completed", || job_state(one.callers, A) == "completed");
    route(&fleet, 2, POOLS[1], &[&one]);
    assert_eq!(submit(&fleet, one.callers, B, "work"), Some(200));
    wait_until("completed", || job_state(one.callers, B) == "completed");
    route(&fleet, 3, POOLS[2], &[&one]);
    for id in [A, B] {
        assert_eq!(submit(&fleet, one.callers, id, "work"), Some(200));
    }
    assert_one_start(&fleet, 2);
    assert_eq!(job_state(one.callers, A), "completed");
    assert_eq!(job_state(one.callers, B), "completed");
}

/// Entries that never saw the configuration under which a job was accepted started it again.
#[test]
fn moved_entries_restarted() {
    let fleet = start_fleet();
    fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
    let one = start_entry_with(&fleet, "e1", &[]);
    assert_eq!(submit(&fleet, one.callers, A, "lasts"), Some(200));
    wait_until("running", || fleet.running() == 1);
    drop(one);
    fleet.configure_routes(2, &[("q", POOLS[1])], &POOLS);
    let two = start_entry_with(&fleet, "e2", &[]);
    assert_eq!(submit(&fleet, two.callers, A, "lasts"), Some(200));
    assert_one_start(&fleet, 1);
}

/// After a copy and a cancel that was answered with success, a run of the first job stayed at work.
#[test]
fn moved_cancel() {
    let fleet = start_fleet();
    fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
    let one = start_entry_with(&fleet, "e1", &[]);
    assert_eq!(submit(&fleet, one.callers, A, "lasts"), Some(200));
    wait_until("running", || fleet.running() == 1);
    route(&fleet, 2, POOLS[1], &[&one]);
    assert_eq!(submit(&fleet, one.callers, A, "lasts"), Some(200));
    assert_eq!(submit(&fleet, one.callers, B, "lasts"), Some(200));
    wait_until("both run", || fleet.running() == 2);
    route(&fleet, 3, POOLS[0], &[&one]);
    for id in [A, B] {
        let path = format!("/q/{id}");
        let answer = call(one.callers, Method::Delete, &path, &Value::Null);
        assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
    }
    wait_until("stopped", || fleet.running() == 0);
    for id in [A, B] {
        assert_eq!(job_state(one.callers, id), "cancelled");
    }
    assert_one_start(&fleet, 2);
}

/// Entries that differ on the pool of a queue, as they may for a short time after a change, each accepted the same id.
#[test]
fn moved_config_late() {
    const JOBS: u64 = 24;
    let fleet = start_fleet();
    fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
    let second_store = fleet.serve_second_store().expect("an address");
    let late = start_entry_at(&fleet, second_store, "late", &STALE_CONFIG);
    let new = start_entry_with(&fleet, "new", &[]);
    fleet.set_second_operator_unavailable(true);
    route(&fleet, 2, POOLS[1], &[&new]);
    let ids: Vec<String> = (0..JOBS).map(|n| format!("{:016x}", n * 7_919)).collect();
    let send = |id: &str, to: SocketAddr| {
        let status = submit(&fleet, to, id, "ms=1500");
        assert_eq!(status, Some(200), "{id}");
    };
    std::thread::scope(|scope| {
        for (n, id) in ids.iter().enumerate() {
            let (first, second) = match n % 4 < 2 {
                true => (late.callers, new.callers),
                false => (new.callers, late.callers),
            };
            if n % 2 == 0 {
                scope.spawn(move || send(id, first));
                scope.spawn(move || send(id, second));
            } else {
                scope.spawn(move || {
                    send(id, first);
                    send(id, second);
                });
            }
        }
    });
    for id in &ids {
        wait_until("completed", || job_state(new.callers, id) == "completed");
        assert_eq!(job_state(late.callers, id), "completed");
    }
    assert_one_start(&fleet, JOBS);
}

/// Jobs that had not begun when their queue was routed to another pool were missing in the count of waiting jobs.
#[test]
fn moved_waiting() {
    let fleet = start_fleet();
    fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
    let (one, two) = (
        start_entry_with(&fleet, "e1", &[]),
        start_entry_with(&fleet, "e2", &[]),
    );
    let wide = json!({"spec": "lasts", "steps": [{"count": 1, "cpu": 16_000, "mem_mb": 100}]});
    for n in 0..10 {
        let path = format!("/q/{:016x}", n + 1);
        let answer = call(one.callers, Method::Post, &path, &wide);
        assert_eq!(answer.map(|a| a.status), Some(200));
    }
    wait_until("two begin", || fleet.running() == 2);
    wait_until("counted", || waiting(one.callers) == Some(8));
    route(&fleet, 2, POOLS[1], &[&one, &two]);
    for to in [one.callers, two.callers] {
        wait_until("counted in the former pool", || waiting(to) == Some(8));
    }
    for n in 10..14 {
        let path = format!("/q/{:016x}", n + 1);
        let answer = call(two.callers, Method::Post, &path, &wide);
        assert_eq!(answer.map(|a| a.status), Some(200));
    }
    for to in [one.callers, two.callers] {
        wait_until("counted in both pools", || waiting(to) == Some(10));
    }
    assert_eq!(get_status(one.callers, &format!("/q/{B}")), Some(410));
}

/// A pool that no queue is routed to any more, also one whose service has left the configuration, still runs the jobs
/// that were accepted for it, also after all entries have restarted.
#[test]
fn moved_pool_unrouted() {
    for pools in [&POOLS[..], &POOLS[1..]] {
        let fleet = start_fleet();
        fleet.configure_routes(1, &[("q", POOLS[0])], &POOLS);
        let one = start_entry_with(&fleet, "e1", &[]);
        let steps = json!([{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 1_500},
            {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 1_500, "depends_on": [0]}]);
        let chain = json!({"spec": "ms=1500", "steps": steps});
        let answer = call(one.callers, Method::Post, &format!("/q/{A}"), &chain);
        assert_eq!(answer.map(|a| a.status), Some(200));
        wait_until("running", || fleet.running() == 2);
        drop(one);
        fleet.configure_routes(2, &[("q", POOLS[1])], pools);
        let two = start_entry_with(&fleet, "e2", &[]);
        wait_until("completed", || job_state(two.callers, A) == "completed");
        assert_eq!(fleet.starts(), 4);
    }
}
