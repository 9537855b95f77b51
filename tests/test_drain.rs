//! Draining hosts: no new work after the host is marked as draining, no request is cut, and no reboot before every
//! entry has released the host.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::{json, Value};

use crate::fleet::{
    body_json, body_text, failures, free_addr, get, post, wait_for, Entry, Fleet, LoadCallers,
    Plan, CONFIG,
};
use crate::relay::Relay;

fn drain(entry: &Entry, host: &str) -> (u16, Value) {
    let edit = json!({ "ask": "drain", "host": host, "reboot": true, "why": "test" });
    let answer = entry.send_edit(&edit);
    (answer.status, body_json(&answer))
}

fn wait_state(entry: &Entry, host: &str, state: &str) {
    let what = format!("{host} is {state} at {}", entry.name);
    wait_for(&what, || (entry.host_state(host) == state).then_some(()));
}

fn held_by(entry: &Entry, host: &str) -> Vec<String> {
    let host = entry.get_admin(&format!("/v1/hosts/{host}"));
    let names = host["held_by"].as_array().cloned().unwrap_or_default();
    names
        .iter()
        .filter_map(|n| n.as_str().map(str::to_string))
        .collect()
}

fn count_reboots(fleet: &Fleet, host: &str) -> u64 {
    fleet.stats()["reboots"][host].as_u64().unwrap_or(0)
}

fn count_runs(fleet: &Fleet, host: usize) -> u64 {
    fleet.backends[host].stats()["runs"].as_u64().unwrap_or(0)
}

/// The host that the tests drain; its backend server is the first one.
const HOST: &str = "h1";

/// A host is drained and rebooted under load: no request may fail, and the host gets no work until it serves again.
#[test]
fn drain_under_load() {
    let fleet = Plan::new(4, 2).start();
    let addrs: Vec<_> = fleet.entries.iter().map(|e| e.listen).collect();
    let load = LoadCallers::start(&addrs, 4, 20);
    wait_for("h1 has work", || (count_runs(&fleet, 0) > 20).then_some(()));
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    wait_for("h1 is rebooted", || {
        (count_reboots(&fleet, HOST) == 1).then_some(())
    });
    let stats = fleet.backends[0].stats();
    assert_eq!(stats["in_flight"], 0, "nothing is in flight at the reboot");
    let at_reboot = stats["runs"].clone();
    wait_state(&fleet.entries[0], HOST, "returning");
    assert_eq!(
        fleet.backends[0].stats()["runs"],
        at_reboot,
        "no work while it is out"
    );
    wait_state(&fleet.entries[0], HOST, "serving");
    wait_for("h1 has work again", || {
        (count_runs(&fleet, 0) > at_reboot.as_u64().unwrap_or(0)).then_some(())
    });
    let outcomes = load.stop();
    assert!(failures(&outcomes).is_empty(), "{:?}", failures(&outcomes));
    assert_eq!(count_reboots(&fleet, HOST), 1);
}

/// A long request that e2 has sent to the host must delay the reboot until the request has ended, and is not cut.
#[test]
fn drain_long_request() {
    let fleet = Plan::new(2, 2).with_config(TWO_HOSTS).start();
    fleet.backends[1].set_fault("refuse", 0);
    let addr = fleet.entries[1].listen;
    let long =
        std::thread::spawn(move || post("/s/route/x", "long").with("x-work-ms", 4_000).to(addr));
    wait_for("h1 works on the request", || {
        (fleet.backends[0].stats()["in_flight"] == 1).then_some(())
    });
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    wait_for("e2 is named", || {
        (held_by(&fleet.entries[0], HOST) == ["e2"]).then_some(())
    });
    assert_eq!(count_reboots(&fleet, HOST), 0);
    let answer = long.join().expect("no panic");
    assert_eq!(answer.status, 200, "{}", body_text(&answer));
    wait_for("h1 is rebooted", || {
        (count_reboots(&fleet, HOST) == 1).then_some(())
    });
}

/// A configuration with a pool of two hosts, of which one must serve.
const TWO_HOSTS: &str = r#"
[[service]]
name = "route"
timeout_ms = 20000
[[account]]
name = "demo"
token_sha256 = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"
[[template]]
name = "plain"
[template.fields.hosts]
[template.fields.serving_min]
[template.fields.reserve]
[[pool]]
name = "pool"
account = "demo"
template = "plain"
services = ["route"]
[pool.parameters]
hosts = 2
serving_min = 1
reserve = "none"
"#;

/// A suspended entry has not released the host, so the reboot must wait. When it resumes, it must not send its waiting
/// requests to the drained host by its old view.
#[test]
fn drain_frozen_entry() {
    let fleet = Plan::new(4, 2).start();
    let suspended = &fleet.entries[1];
    assert_eq!(get("/s/route/x").to(suspended.listen).status, 200);
    suspended.process.signal(Signal::SIGSTOP);
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    std::thread::sleep(Duration::from_secs(7));
    assert_eq!(fleet.entries[0].host_state(HOST), "draining");
    assert_eq!(
        held_by(&fleet.entries[0], HOST),
        ["e2"],
        "an entry that does not answer has not released the host"
    );
    assert_eq!(count_reboots(&fleet, HOST), 0);
    let before = count_runs(&fleet, 0);
    // Requests that wait in the entry's sockets are the first input that it handles when it resumes.
    let waiting: Vec<_> = (0..16)
        .map(|_| {
            let addr = suspended.listen;
            std::thread::spawn(move || post("/s/route/x", "b").to(addr).status)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    suspended.process.signal(Signal::SIGCONT);
    for t in waiting {
        let status = t.join().expect("no panic");
        assert!(status == 200 || status == 503, "{status}");
    }
    assert_eq!(
        count_runs(&fleet, 0),
        before,
        "the entry refreshes its view before it sends"
    );
    wait_for("h1 is rebooted", || {
        (count_reboots(&fleet, HOST) == 1).then_some(())
    });
}

#[test]
fn drain_cut_from_table() {
    // e2 cannot reach the table: it learns of the drain from its peer, and releases the host through its peer.
    let fleet = Plan::new(4, 2).start();
    fleet.set_faults(json!({ "cut": ["e2"] }));
    wait_for("e2 has lost the table", || {
        (fleet.entries[1].get_admin("/v1/status")["store"] == "down").then_some(())
    });
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    wait_state(&fleet.entries[1], HOST, "draining");
    let before = count_runs(&fleet, 0);
    for _ in 0..20 {
        assert_eq!(get("/s/route/x").to(fleet.entries[1].listen).status, 200);
    }
    assert_eq!(count_runs(&fleet, 0), before);
    wait_for("h1 is rebooted", || {
        (count_reboots(&fleet, HOST) == 1).then_some(())
    });
}

/// Starts two entries that reach each other through relays.
fn relayed_fleet() -> (Fleet, [Relay; 2]) {
    let mut fleet = Plan::new(4, 0).without_config().start();
    let peers = [free_addr(), free_addr()];
    let relays = [Relay::start(peers[0]), Relay::start(peers[1])];
    let e1 = fleet.start_entry("e1", peers[0], &[relays[1].addr]);
    let e2 = fleet.start_entry("e2", peers[1], &[relays[0].addr]);
    e1.wait_ready();
    e2.wait_ready();
    fleet.entries = vec![e1, e2];
    fleet.apply_config(0, CONFIG);
    fleet.wait_settled();
    (fleet, relays)
}

#[test]
fn drain_cut_from_peers() {
    // The entries cannot reach each other: e2 releases the host through the table.
    let (fleet, relays) = relayed_fleet();
    relays.iter().for_each(Relay::cut);
    wait_for("e1 has lost e2", || {
        (fleet.entries[0].count_logged("peer-lost") > 0).then_some(())
    });
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    wait_for("h1 is rebooted", || {
        (count_reboots(&fleet, HOST) == 1).then_some(())
    });
    relays.iter().for_each(Relay::restore);
}

#[test]
fn drain_cut_from_all() {
    // e2 reaches neither the table nor its peer: it stops sending, and the drain waits until it releases the host.
    let (fleet, relays) = relayed_fleet();
    fleet.set_faults(json!({ "cut": ["e2"] }));
    relays.iter().for_each(Relay::cut);
    wait_for("e2 refuses requests as isolated", || {
        let refused = post("/s/route/x", "b").to(fleet.entries[1].listen);
        (refused.status == 503 && body_text(&refused).contains("isolated")).then_some(())
    });
    let refused = post("/s/route/x", "b").to(fleet.entries[1].listen);
    assert_eq!(refused.header("rockwick-run"), Some("no"));
    assert!(refused.header("retry-after").is_some());
    assert!(!fleet.entries[1].is_ready());
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(held_by(&fleet.entries[0], HOST), ["e2"]);
    assert_eq!(count_reboots(&fleet, HOST), 0);
    fleet.clear_faults();
    relays.iter().for_each(Relay::restore);
    wait_for("h1 is rebooted", || {
        (count_reboots(&fleet, HOST) == 1).then_some(())
    });
    fleet.entries[1].wait_ready();
}

#[test]
fn drain_dead_entry() {
    // A killed entry blocks the drain until the platform or an operator says that the entry has ended.
    for by_platform in [true, false] {
        let fleet = Plan::new(4, 2).start();
        fleet.entries[1].process.signal(Signal::SIGKILL);
        assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
        std::thread::sleep(Duration::from_secs(4));
        assert_eq!(held_by(&fleet.entries[0], HOST), ["e2"]);
        if by_platform {
            let body = json!({ "entries": ["e2"] }).to_string();
            post("/control/ended", &body).to(fleet.platform);
        } else {
            let out = fleet.entries[0].run_command(&["forget", "e2"]);
            assert!(out.status.success(), "{out:?}");
        }
        wait_for("h1 is rebooted", || {
            (count_reboots(&fleet, HOST) == 1).then_some(())
        });
    }
}

/// The platform's list of hosts lags by 3 s: entries must stop sending to the drained host before the list shows
/// the host as gone.
#[test]
fn drain_lagging_list() {
    let fleet = Plan::new(4, 2)
        .with_platform_args(&["--list-lag-ms", "3000"])
        .start();
    let began = Instant::now();
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    wait_state(&fleet.entries[1], HOST, "draining");
    let before = count_runs(&fleet, 0);
    for _ in 0..20 {
        assert_eq!(get("/s/route/x").to(fleet.entries[1].listen).status, 200);
    }
    assert_eq!(
        count_runs(&fleet, 0),
        before,
        "the drain does not wait for the list of hosts"
    );
    wait_state(&fleet.entries[0], HOST, "serving");
    assert!(
        began.elapsed() > Duration::from_secs(3),
        "the list showed the host gone and back"
    );
    assert_eq!(count_reboots(&fleet, HOST), 1);
}

/// A drain is cancelled while a suspended entry blocks it: the host must serve again without a reboot.
#[test]
fn drain_cancelled() {
    let fleet = Plan::new(4, 2).start();
    fleet.entries[1].process.signal(Signal::SIGSTOP);
    assert_eq!(drain(&fleet.entries[0], HOST).0, 200);
    wait_state(&fleet.entries[0], HOST, "draining");
    let back = fleet.entries[0].send_edit(&json!({ "ask": "return", "host": HOST }));
    assert_eq!(back.status, 200, "{}", body_text(&back));
    wait_state(&fleet.entries[0], HOST, "serving");
    fleet.entries[1].process.signal(Signal::SIGCONT);
    fleet.wait_settled();
    assert_eq!(count_reboots(&fleet, HOST), 0);
}

/// Drains of an unknown host, beyond the budget or of a host that is out are refused, as are edits during an outage.
#[test]
fn drain_refusals() {
    let fleet = Plan::new(4, 1).start();
    let entry = &fleet.entries[0];
    assert_eq!(drain(entry, "nowhere").0, 404);
    for host in ["h1", "h2"] {
        let edit = json!({ "ask": "drain", "host": host, "reboot": false, "why": "test" });
        let answer = wait_for("no other change of the pool is under way", || {
            let answer = entry.send_edit(&edit);
            (answer.status != 409 || !body_text(&answer).contains("under way")).then_some(answer)
        });
        assert_eq!(answer.status, 200, "{}", body_text(&answer));
        wait_state(entry, host, "out");
    }
    let (status, problem) = drain(entry, "h3");
    assert_eq!(status, 409, "{problem}");
    assert_eq!(problem["type"], "/problems/budget-holds");
    let (status, problem) = drain(entry, "h1");
    assert_eq!(
        (status, &problem["type"]),
        (409, &json!("/problems/not-allowed"))
    );
    fleet.set_faults(json!({ "down": true }));
    wait_for("the outage is seen", || {
        (entry.get_admin("/v1/status")["store"] == "down").then_some(())
    });
    let edit = json!({ "ask": "return", "host": "h1" });
    assert_eq!(entry.send_edit(&edit).status, 503);
}
