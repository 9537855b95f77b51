//! Configuration: it is checked as a whole, committed once and adopted by every entry, and no entry returns to an older
//! version.

use std::time::Duration;

use rockwick::core::config::{any_open, parse, Reserve, Window};
use rockwick::http::Answer;
use serde_json::json;

use crate::fleet::{body_json, body_text, free_addr, get, wait_for, Entry, Plan, CONFIG};

fn apply_config(entry: &Entry, expect: u64, config: &str) -> Answer {
    entry.send_edit(&json!({ "ask": "apply", "expect": expect, "text": config }))
}

fn config_version(entry: &Entry) -> u64 {
    entry.get_admin("/v1/status")["config_version"]
        .as_u64()
        .unwrap_or(0)
}

/// Returns the usual configuration with another time-out, so that versions differ.
fn config_with_timeout(timeout_ms: u64) -> String {
    CONFIG.replace("timeout_ms = 20000", &format!("timeout_ms = {timeout_ms}"))
}

#[test]
fn config_errors() {
    let cases = [
        ("name = \"route\"", "name = \"a b\"", 3, "1 to 64 of"),
        ("timeout_ms = 20000", "timeout_ms = 1", 4, "10 to 3600000"),
        (
            "timeout_ms = 20000",
            "timeout_ms = \"x\"",
            4,
            "invalid type",
        ),
        ("timeout_ms = 20000", "timeout = 5", 4, "unknown field"),
        ("timeout_ms = 20000", "timeout_ms = ", 4, "invalid"),
        (
            "token_sha256 = \"2a",
            "token_sha256 = \"zz",
            7,
            "64 hexadecimal",
        ),
        ("name = \"other\"", "name = \"demo\"", 9, "defined twice"),
        (
            "account = \"demo\"",
            "account = \"nobody\"",
            18,
            "no account",
        ),
        (
            "template = \"plain\"",
            "template = \"fancy\"",
            19,
            "no template",
        ),
        (
            "services = [\"route\"]",
            "services = [\"rout\"]",
            20,
            "no service",
        ),
        ("hosts = 4", "hosts = 0", 22, "1 to 500"),
        ("hosts = 4", "hosts = \"4\"", 22, "an integer"),
        ("hosts = 4", "hosts = 1", 17, "2 hosts must serve"),
        ("reserve = \"none\"", "reserve = \"hall\"", 24, "one of"),
        ("reserve = \"none\"", "windows = []", 24, "has no field"),
        (
            "[template.fields.reserve]",
            "[template.fields.colour]",
            15,
            "one of",
        ),
    ];
    for (from, to, line, reason) in cases {
        let error = parse(&CONFIG.replacen(from, to, 1)).expect_err(to);
        assert_eq!(error.line, line, "{to}: {error}");
        assert!(error.reason.contains(reason), "{to}: {error}");
    }
}

#[test]
fn config_fields() {
    let text = CONFIG.replace(
        "[template.fields.reserve]",
        "[template.fields.reserve]\ndefault = \"rack\"\n[template.fields.windows]\n\
         default = [\"22:00-04:00\"]\n[template.fields.serving_percent]\ndefault = 75",
    );
    let text = text.replace("reserve = \"none\"\n", "");
    let pool = parse(&text).expect("valid").pools["pool"].clone();
    assert_eq!((pool.hosts, pool.serving_min), (4, 3));
    assert_eq!(pool.reserve, Reserve::Rack);
    assert_eq!(pool.windows.len(), 1);
    assert_eq!(pool.pace_percent, 100);
}

#[test]
fn config_default_in_range() {
    // The product's own default, which applies where neither the pool nor the template names a value.
    let text = CONFIG.replace(
        "[template.fields.reserve]",
        "[template.fields.pace_percent]\nmax = 50\n[template.fields.reserve]",
    );
    let error = parse(&text).expect_err("the default of 100 is over 50");
    assert_eq!(error.line, 19, "{error}");
    assert!(error.reason.contains("default"), "{error}");
    let with_default = text.replace("max = 50", "max = 50\ndefault = 40");
    assert!(parse(&with_default).is_ok());
    let with_value = text.replace("serving_min = 2", "serving_min = 2\npace_percent = 30");
    assert!(parse(&with_value).is_ok());
}

#[test]
fn config_windows() {
    const HOUR_MS: u64 = 3_600_000;
    let night = Window::parse("22:00-04:00").expect("a window");
    let day = Window::parse("08:00-16:30").expect("a window");
    for (hour, in_night, in_day) in [
        (3, true, false),
        (4, false, false),
        (12, false, true),
        (23, true, false),
    ] {
        assert_eq!(night.contains(hour * HOUR_MS), in_night, "{hour}");
        assert_eq!(day.contains(hour * HOUR_MS), in_day, "{hour}");
    }
    assert!(any_open(&[], 0));
    assert!(
        Window::parse("08:00-08:00").is_none(),
        "it would never be open"
    );
    assert!(Window::parse("00:00-24:00").is_some());
    assert!(Window::parse("25:00-26:00").is_none());
}

#[test]
fn config_bad_refused() {
    let fleet = Plan::new(4, 1).start();
    let entry = &fleet.entries[0];
    let answer = apply_config(entry, 1, &CONFIG.replace("hosts = 4", "hosts = 900"));
    assert_eq!(answer.status, 422);
    assert!(
        body_text(&answer).contains("line 22"),
        "{}",
        body_text(&answer)
    );
    assert_eq!(config_version(entry), 1);
    let kept = entry.get_admin("/v1/template");
    assert_eq!(kept["text"], CONFIG);
}

#[test]
fn config_race() {
    // Two operators apply different texts at two entries at once: each version is accepted once.
    let fleet = Plan::new(4, 2).start();
    for round in 1..6 {
        for entry in &fleet.entries {
            wait_for("both know the version", || {
                (config_version(entry) == round).then_some(())
            });
        }
        let (one, two) = (
            config_with_timeout(10_000 + round),
            config_with_timeout(15_000 + round),
        );
        let (a, b) = std::thread::scope(|s| {
            let a = s.spawn(|| apply_config(&fleet.entries[0], round, &one));
            let b = s.spawn(|| apply_config(&fleet.entries[1], round, &two));
            (a.join().expect("no panic"), b.join().expect("no panic"))
        });
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{} {}", body_text(&a), body_text(&b));
        let loser = if a.status == 409 { &a } else { &b };
        assert!(
            body_text(loser).contains("service route: changed"),
            "{}",
            body_text(loser)
        );
        let winner = if a.status == 200 { &one } else { &two };
        for entry in &fleet.entries {
            wait_for("the accepted text is in force", || {
                (entry.get_admin("/v1/template")["text"] == *winner).then_some(())
            });
        }
    }
}

/// An operator whose change is based on the version before learns what the other change was, also from an entry that
/// knows the new version already.
#[test]
fn config_loser_told() {
    let fleet = Plan::new(4, 1).start();
    let entry = &fleet.entries[0];
    assert_eq!(
        apply_config(entry, 1, &config_with_timeout(9_000)).status,
        200
    );
    wait_for("the version is in force", || {
        (config_version(entry) == 2).then_some(())
    });
    let late = apply_config(entry, 1, &config_with_timeout(8_000));
    assert_eq!(late.status, 409);
    let text = body_text(&late);
    assert!(text.contains("service route: changed"), "{text}");
    assert!(text.contains("the version is now 2"), "{text}");
}

#[test]
fn config_answer_lost() {
    // The commit takes effect and its answer is lost: the configuration is still accepted, and once.
    let fleet = Plan::new(4, 2).start();
    fleet.set_faults(json!({ "lose_commits": 1, "lose_prefix": "config/" }));
    let answer = apply_config(&fleet.entries[0], 1, &config_with_timeout(9_000));
    assert_eq!(answer.status, 200, "{}", body_text(&answer));
    assert_eq!(body_json(&answer), json!({ "version": 2 }));
    for entry in &fleet.entries {
        wait_for("the version is in force", || {
            (config_version(entry) == 2).then_some(())
        });
    }
}

#[test]
fn config_from_peers() {
    // An entry that starts while the table is down must take the newest version from a peer.
    let mut fleet = Plan::new(4, 1).start();
    fleet.set_faults(json!({ "down": true }));
    let peers = [free_addr(), free_addr()];
    let alone = fleet.start_entry("e9", free_addr(), &[]);
    std::thread::sleep(Duration::from_secs(2));
    assert!(!alone.is_ready(), "without a peer it has no configuration");
    let refused = get("/s/route/x").to(alone.listen);
    assert_eq!(
        (refused.status, refused.header("rockwick-run")),
        (503, Some("no"))
    );
    drop(alone);
    fleet.clear_faults();
    let first = fleet.start_entry("e2", peers[0], &peers);
    first.wait_ready();
    fleet.set_faults(json!({ "down": true }));
    let second = fleet.start_entry("e3", peers[1], &peers);
    second.wait_ready();
    assert_eq!(config_version(&second), 1);
    wait_for("the outage is seen", || {
        (second.get_admin("/v1/status")["store"] == "down").then_some(())
    });
    assert_eq!(get("/s/route/x").to(second.listen).status, 200);
    wait_for("the sponsor's line", || {
        (first.count_logged("peer-sponsored") > 0).then_some(())
    });
    assert_eq!(first.count_logged("peer-sponsored"), 1);
    fleet.clear_faults();
    wait_for("e3 registers", || {
        let status = first.get_admin("/v1/status");
        let mut entries = status["entries"].as_array()?.iter();
        entries.any(|e| e["name"] == "e3").then_some(())
    });
    fleet.entries.extend([first, second]);
}

#[test]
fn config_sponsored_holds() {
    // A peer that is not registered yet still blocks a drain, through the entry that gave it its view.
    let mut fleet = Plan::new(4, 0).without_config().start();
    let peers = [free_addr(), free_addr()];
    let first = fleet.start_entry("e1", peers[0], &peers);
    first.wait_ready();
    fleet.entries.push(first);
    fleet.apply_config(0, CONFIG);
    fleet.wait_settled();
    fleet.set_faults(json!({ "down": true }));
    let second = fleet.start_entry("e2", peers[1], &peers);
    second.wait_ready();
    // The table comes back for the first entry only, and the second is suspended.
    fleet.set_faults(json!({ "cut": ["e2"] }));
    second.process.signal(nix::sys::signal::Signal::SIGSTOP);
    wait_for("the table is back", || {
        (fleet.entries[0].get_admin("/v1/status")["store"] == "ok").then_some(())
    });
    let edit = json!({ "ask": "drain", "host": "h1", "reboot": true, "why": "test" });
    assert_eq!(fleet.entries[0].send_edit(&edit).status, 200);
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(fleet.entries[0].host_state("h1"), "draining");
    second.process.signal(nix::sys::signal::Signal::SIGCONT);
    wait_for("h1 is rebooted", || {
        (fleet.stats()["reboots"]["h1"] == 1).then_some(())
    });
    fleet.entries.push(second);
}

#[test]
fn config_outage() {
    // During an outage no configuration is accepted, and the one in force stays.
    let fleet = Plan::new(4, 2).start();
    fleet.set_faults(json!({ "down": true }));
    wait_for("the outage is seen", || {
        (fleet.entries[0].get_admin("/v1/status")["store"] == "down").then_some(())
    });
    let answer = apply_config(&fleet.entries[0], 1, &config_with_timeout(8_000));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    for entry in &fleet.entries {
        assert_eq!(get("/s/route/x").to(entry.listen).status, 200);
    }
    fleet.clear_faults();
    wait_for("a configuration is accepted again", || {
        (apply_config(&fleet.entries[0], 1, &config_with_timeout(8_000)).status == 200)
            .then_some(())
    });
    for entry in &fleet.entries {
        wait_for("the version is in force", || {
            (config_version(entry) == 2).then_some(())
        });
    }
}

#[test]
fn config_frozen_entry() {
    // An entry that was suspended resumes with an old version, which no other entry may adopt.
    let fleet = Plan::new(4, 3).start();
    fleet.entries[2]
        .process
        .signal(nix::sys::signal::Signal::SIGSTOP);
    for v in 1..4 {
        assert_eq!(
            apply_config(&fleet.entries[0], v, &config_with_timeout(9_000 + v)).status,
            200
        );
        wait_for("the version is in force", || {
            (config_version(&fleet.entries[0]) == v + 1).then_some(())
        });
    }
    fleet.entries[2]
        .process
        .signal(nix::sys::signal::Signal::SIGCONT);
    wait_for("the resumed entry has the newest version", || {
        (config_version(&fleet.entries[2]) == 4).then_some(())
    });
    for entry in &fleet.entries {
        wait_for("the version is in force", || {
            (config_version(entry) == 4).then_some(())
        });
        let lines = entry.process.lines();
        let adopted: Vec<u64> = lines
            .iter()
            .filter(|l| l.contains("\"name\":\"config-adopted\""))
            .filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok())
            .filter_map(|l| l["version"].as_u64())
            .collect();
        assert!(adopted.is_sorted(), "{}: {adopted:?}", entry.name);
    }
}
