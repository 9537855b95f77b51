//! API keys of client accounts at a real entry: who may call, and that no account learns of another account's jobs.

use std::net::SocketAddr;

use http_types::Method;
use serde_json::{json, Value};
use standin::fleet::{Fleet, StoreFault};

use crate::test_serve::{call_with, start_entry, start_entry_with, wait_until, Entry};

const POOL: &str = "pool";

const JOB: &str = "00000000000000aa";

/// Two accounts, the first with two keys.
const ACCOUNTS: [(&str, &[&str]); 2] = [
    ("shop", &["shop-key-1", "shop-key-2"]),
    ("dock", &["dock-key"]),
];

fn start_fleet() -> (Fleet, Entry) {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure_accounts(1, POOL, &ACCOUNTS);
    let one = start_entry(&fleet, "e1");
    (fleet, one)
}

fn job_body(spec: &str) -> Value {
    json!({"spec": spec, "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50}]})
}

fn call_status(to: SocketAddr, method: Method, path: &str, key: Option<&str>) -> u16 {
    let headers: Vec<(&str, &str)> = key.into_iter().map(|key| ("x-api-key", key)).collect();
    let answer = call_with(to, method, path, &job_body("work"), &headers);
    answer.expect("an answer").status
}

#[test]
fn keys_required() {
    let (fleet, one) = start_fleet();
    let to = one.callers;
    let path = format!("/q/{JOB}");
    assert_eq!(call_status(to, Method::Post, &path, None), 401);
    assert_eq!(call_status(to, Method::Post, &path, Some("no-key")), 401);
    assert_eq!(call_status(to, Method::Get, &path, Some("shop-key-")), 401);
    assert_eq!(call_status(to, Method::Get, "/q/", None), 401);
    assert_eq!(
        call_status(to, Method::Get, "/elsewhere/", None),
        404,
        "an unknown queue is reported before a missing key"
    );
    assert_eq!(
        call_status(to, Method::Post, &path, Some("shop-key-1")),
        200
    );
    assert_eq!(call_status(to, Method::Get, "/q/", Some("dock-key")), 200);
    wait_until("completed", || fleet.starts() == 1);
}

#[test]
fn keys_public_queue() {
    let (fleet, one) = start_fleet();
    let path = format!("/open/{JOB}");
    assert_eq!(call_status(one.callers, Method::Post, &path, None), 200);
    assert_eq!(
        call_status(one.callers, Method::Get, &path, Some("no-key")),
        200
    );
    wait_until("completed", || fleet.starts() == 1);
}

#[test]
fn keys_other_account() {
    let (_fleet, one) = start_fleet();
    let to = one.callers;
    let path = format!("/q/{JOB}");
    assert_eq!(
        call_status(to, Method::Post, &path, Some("shop-key-1")),
        200
    );
    for other in [Some("dock-key"), None] {
        let queue = if other.is_some() { "q" } else { "open" };
        let path = format!("/{queue}/{JOB}");
        assert_eq!(call_status(to, Method::Get, &path, other), 410);
        assert_eq!(call_status(to, Method::Delete, &path, other), 410);
        assert_eq!(
            call_status(to, Method::Post, &path, other),
            503,
            "the id is taken, and the answer does not reveal it"
        );
    }
    assert_eq!(call_status(to, Method::Get, &path, Some("shop-key-2")), 200);
    assert_eq!(
        call_status(to, Method::Delete, &path, Some("shop-key-2")),
        200
    );
}

#[test]
fn keys_revoked() {
    let (fleet, one) = start_fleet();
    let to = one.callers;
    let path = format!("/q/{JOB}");
    assert_eq!(
        call_status(to, Method::Post, &path, Some("shop-key-1")),
        200
    );
    let left: [(&str, &[&str]); 2] = [("shop", &["shop-key-2"]), ("dock", &[])];
    fleet.configure_accounts(2, POOL, &left);
    wait_until("revoked", || {
        call_status(to, Method::Get, &path, Some("shop-key-1")) == 401
    });
    assert_eq!(call_status(to, Method::Get, &path, Some("dock-key")), 401);
    assert_eq!(
        call_status(to, Method::Post, &path, Some("shop-key-2")),
        200,
        "the same job with another key of its account"
    );
    let lines = one.lines();
    let is_logged = |text: &str| lines.iter().any(|line| line.contains(text));
    assert!(is_logged("submit for shop: Accepted"));
    assert!(!is_logged("shop-key"), "a key is never logged");
}

/// An entry whose configuration may be outdated must answer 503: it may neither accept a key that could be revoked nor
/// deny a queue that could have been added.
#[test]
fn keys_stale_config() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure_accounts(1, POOL, &ACCOUNTS);
    let one = start_entry_with(
        &fleet,
        "e1",
        &["--config-within-ms", "800", "--config-outage-ms", "800"],
    );
    let to = one.callers;
    let get = |path: &str, key| call_status(to, Method::Get, path, Some(key));
    assert_eq!(get("/elsewhere/", "shop-key-1"), 404);
    assert_eq!(get("/q/", "no-key"), 401);
    fleet.set_store_fault(StoreFault::Mute);
    wait_until("the configuration is outdated", || {
        get("/elsewhere/", "shop-key-1") == 503
    });
    assert_eq!(get("/q/", "no-key"), 503);
    assert_eq!(get(&format!("/q/{JOB}"), "shop-key-1"), 503);
    fleet.set_store_fault(StoreFault::None);
    wait_until("the configuration is current again", || {
        get("/elsewhere/", "shop-key-1") == 404
    });
}

/// The feed returns one row per answer and answers slowly: an entry that has not read the newest configuration yet must
/// neither deny an existing queue nor accept a revoked key.
#[test]
fn keys_slow_feed() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
    fleet.configure_accounts(1, POOL, &ACCOUNTS);
    let one = start_entry_with(&fleet, "e1", &["--config-within-ms", "600"]);
    let to = one.callers;
    fleet.set_feed_pages(1, 500);
    // Other rows of the operator come first, so that the first answers of the feed hold no configuration.
    for n in 0..4 {
        fleet.put("op", "", &format!("other/{n}"), &json!({}));
    }
    let left: [(&str, &[&str]); 1] = [("dock", &["dock-key"])];
    fleet.configure_accounts(2, POOL, &left);
    let end = std::time::Instant::now() + std::time::Duration::from_millis(600);
    while std::time::Instant::now() < end {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    for _ in 0..20 {
        let answer = call_status(to, Method::Get, "/q/", Some("shop-key-1"));
        assert!(answer == 503 || answer == 401, "{answer}");
        std::thread::sleep(std::time::Duration::from_millis(30));
    }
    wait_until("the newest configuration is read", || {
        call_status(to, Method::Get, "/q/", Some("shop-key-1")) == 401
    });
}
