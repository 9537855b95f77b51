//! Pools and budgets: a host is in one pool at a time, and drains, moves and waves never break a pool's budget.

use nix::sys::signal::Signal;
use rockwick::core::budget::{Budget, Member};
use rockwick::core::config::Reserve;
use rockwick::core::wave::pace_limit;
use serde_json::{json, Value};

use crate::fleet::{body_text, get, wait_for, Entry, Fleet, Plan};

fn member(rack: usize, serving: bool) -> Member {
    Member {
        rack,
        serving,
        out: !serving,
    }
}

#[test]
fn budget_verdicts() {
    // Racks of the serving hosts, number of hosts out, minimum, reserve, and whether the first host may leave.
    let cases: [(&[usize], usize, usize, Reserve, bool); 10] = [
        (&[0, 1, 2, 3], 0, 3, Reserve::None, true),
        (&[0, 1, 2, 3], 0, 4, Reserve::None, false),
        (&[0, 1, 2], 1, 3, Reserve::None, false),
        (&[0, 1, 2, 3], 0, 3, Reserve::Host, false),
        (&[0, 1, 2, 3], 0, 2, Reserve::Host, true),
        (&[0, 0, 1, 1, 2, 2], 0, 3, Reserve::Rack, true),
        (&[0, 0, 1, 1, 2, 2], 0, 4, Reserve::Rack, false),
        (&[0, 0, 0, 1], 0, 1, Reserve::Rack, true),
        (&[0, 0, 0, 1], 0, 2, Reserve::Rack, false),
        (&[0], 0, 0, Reserve::None, true),
    ];
    for (racks, out, serving_min, reserve, allowed) in cases {
        let mut members: Vec<Member> = racks.iter().map(|r| member(*r, true)).collect();
        members.extend((0..out).map(|_| member(9, false)));
        let budget = Budget {
            serving_min,
            reserve,
        };
        let verdict = budget.may_leave(&members, 0);
        assert_eq!(
            verdict.allowed, allowed,
            "{racks:?} {out} {serving_min} {reserve:?}"
        );
    }
}

#[test]
fn budget_dead_host() {
    // A host that does not serve may always leave; for one that serves, dead hosts count as out.
    let members = [member(0, false), member(1, true), member(2, true)];
    let budget = Budget {
        serving_min: 2,
        reserve: Reserve::None,
    };
    assert!(budget.may_leave(&members, 0).allowed);
    assert!(!budget.may_leave(&members, 1).allowed);
}

/// Cases: hosts that may be unavailable, pace in percent, and hosts that a wave may take at once.
#[test]
fn budget_pace() {
    for (max_unavailable, percent, expected) in [(0, 100, 1), (4, 100, 4), (4, 50, 2), (4, 10, 1)] {
        assert_eq!(pace_limit(max_unavailable, percent), expected);
    }
}

fn start_wave(entry: &Entry) -> String {
    let edit = json!({ "ask": "start_wave", "pool": "pool", "windows": [] });
    let answer = entry.send_edit(&edit);
    assert_eq!(answer.status, 200, "{}", body_text(&answer));
    let reply: Value = answer.json().expect("json");
    reply["wave"].as_str().expect("an id").to_string()
}

fn wait_wave_done(entry: &Entry, id: &str, mut meanwhile: impl FnMut()) {
    wait_for("the wave is done", || {
        meanwhile();
        let wave = entry.get_admin(&format!("/v1/waves/{id}"));
        (wave["row"]["state"] == "done").then_some(())
    });
}

/// Counts the serving hosts of the pool in the rows of the table itself, since the view of an entry may lag.
fn count_serving_rows(fleet: &Fleet) -> usize {
    let rows = get("/control/rows").to(fleet.platform);
    let rows: Value = rows.json().expect("json");
    let hosts = rows.as_object().into_iter().flatten();
    hosts
        .filter(|(key, _)| key.starts_with("host/"))
        .filter_map(|(_, row)| serde_json::from_str::<Value>(row["value"].as_str()?).ok())
        .filter(|row| row["body"]["pool"] == "pool" && row["body"]["state"] == "serving")
        .count()
}

#[test]
fn budget_wave() {
    // Two of four hosts must serve: the table never shows fewer, and each host is rebooted once.
    let fleet = Plan::new(4, 3).start();
    let id = start_wave(&fleet.entries[0]);
    let mut least = usize::MAX;
    wait_wave_done(&fleet.entries[0], &id, || {
        least = least.min(count_serving_rows(&fleet))
    });
    assert_eq!(
        least, 2,
        "the wave takes exactly as many hosts at once as the budget allows"
    );
    for host in ["h1", "h2", "h3", "h4"] {
        assert_eq!(fleet.stats()["reboots"][host], 1, "{host}");
    }
}

#[test]
fn budget_wave_with_failure() {
    // A host is lost before the wave: it counts as out in the budget, so the wave waits for it.
    let fleet = Plan::new(4, 2).start();
    fleet.set_host_status("h4", "gone");
    wait_for("the loss is seen", || {
        (fleet
            .entries
            .iter()
            .all(|e| e.count_logged("host-lost") > 0))
        .then_some(())
    });
    let id = start_wave(&fleet.entries[0]);
    let mut least = usize::MAX;
    wait_for("the other three hosts are rebooted", || {
        // The row of h4 still has the state serving, but the host is gone.
        least = least.min(count_serving_rows(&fleet) - 1);
        let reboots = fleet.stats()["reboots"].as_object().map_or(0, |r| r.len());
        (reboots == 3).then_some(())
    });
    assert_eq!(least, 2);
    fleet.set_host_status("h4", "live");
    wait_wave_done(&fleet.entries[1], &id, || {});
}

/// Two of three entries are killed during a wave: the last one must finish it within the budget, and each host is
/// rebooted once.
#[test]
fn budget_wave_entry_killed() {
    let fleet = Plan::new(4, 3).start();
    let id = start_wave(&fleet.entries[0]);
    wait_for("the wave is under way", || {
        (fleet.stats()["reboots"].as_object().map_or(0, |r| r.len()) >= 1).then_some(())
    });
    // Any entry may decide for the pool, so e1 and e2 are killed in turn; e3 finishes the wave.
    for n in [0, 1] {
        fleet.entries[n].process.signal(Signal::SIGKILL);
        let out = wait_for("the killed entry can be forgotten", || {
            let name = format!("e{}", n + 1);
            let out = fleet.entries[2].run_command(&["forget", &name]);
            out.status.success().then_some(out)
        });
        assert!(out.status.success());
    }
    let mut least = usize::MAX;
    wait_wave_done(&fleet.entries[2], &id, || {
        least = least.min(count_serving_rows(&fleet))
    });
    assert!(least >= 2);
    for host in ["h1", "h2", "h3", "h4"] {
        assert_eq!(fleet.stats()["reboots"][host], 1, "{host}");
    }
}

/// A wave that is stopped must take no further host, and the hosts that are out must return.
#[test]
fn budget_wave_stopped() {
    let fleet = Plan::new(4, 2)
        .with_platform_args(&["--reboot-ms", "1500"])
        .start();
    let id = start_wave(&fleet.entries[0]);
    wait_for("the wave is under way", || {
        (fleet.entries[0].get_admin("/v1/pools/pool")["out"] != 0).then_some(())
    });
    let out = fleet.entries[1].run_command(&["wave", "stop", &id]);
    assert!(out.status.success(), "{out:?}");
    fleet.wait_settled();
    let reboots = fleet.stats()["reboots"].as_object().map_or(0, |r| r.len());
    assert!(reboots < 4, "{reboots}");
}

/// A configuration with two pools of three hosts each for the same service.
const TWO_POOLS: &str = r#"
[[service]]
name = "route"
[[account]]
name = "demo"
token_sha256 = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"
[[template]]
name = "plain"
[template.fields.hosts]
[template.fields.serving_min]
[template.fields.reserve]
default = "none"
[[pool]]
name = "one"
account = "demo"
template = "plain"
services = ["route"]
[pool.parameters]
hosts = 3
[[pool]]
name = "two"
account = "demo"
template = "plain"
services = ["route"]
[pool.parameters]
hosts = 3
"#;

#[test]
fn budget_racing_moves() {
    // Two entries move the same host at once, one to the other pool and one to the free hosts, while a third entry is
    // suspended: the table accepts one move, and the host is a member of one pool only.
    let fleet = Plan::new(6, 3).with_config(TWO_POOLS).start();
    fleet.entries[2].process.signal(Signal::SIGSTOP);
    let (e1, e2) = (&fleet.entries[0], &fleet.entries[1]);
    let pool_of = |e: &Entry| e.get_admin("/v1/hosts/h1")["row"]["pool"].clone();
    let from = pool_of(e1);
    let to = if from == "one" { "two" } else { "one" };
    let answers = std::thread::scope(|s| {
        let a = s.spawn(|| e1.send_edit(&json!({ "ask": "move", "host": "h1", "pool": to })));
        let b = s.spawn(|| e2.send_edit(&json!({ "ask": "move", "host": "h1", "pool": null })));
        [a.join().expect("no panic"), b.join().expect("no panic")]
    });
    let mut statuses = answers.map(|a| a.status);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    std::thread::sleep(std::time::Duration::from_secs(2));
    assert_eq!(
        pool_of(e1),
        from,
        "the suspended entry may still route by the old pool"
    );
    fleet.entries[2].process.signal(Signal::SIGCONT);
    // If the host went to the free hosts, its old pool may have taken it again by now.
    wait_for("the host has moved", || {
        let moved = |e: &Entry| e.count_logged("host-moved") > 0;
        fleet.entries.iter().any(moved).then_some(())
    });
    fleet.wait_settled();
    let lists = |e: &Entry| {
        let pools = e.get_admin("/v1/pools");
        let members = pools.as_array().into_iter().flatten().flat_map(|p| {
            let m = p["members"].as_array().cloned().unwrap_or_default();
            m.into_iter().map(|h| h.to_string())
        });
        let mut members: Vec<String> = members.collect();
        members.sort();
        members
    };
    for e in &fleet.entries {
        let mut members = lists(e);
        let all = members.len();
        members.dedup();
        assert_eq!((members.len(), all), (6, 6), "{}", e.name);
    }
}

#[test]
fn budget_replaced_host() {
    // A host that is lost for long is replaced by a free one; when it returns, the pool gives one host back.
    let fleet = Plan::new(5, 2)
        .with_entry_args(&["--replace-ms", "2000"])
        .start();
    let members = || fleet.entries[0].get_admin("/v1/pools/pool")["members"].clone();
    let lost = members()[0].as_str().expect("a host").to_string();
    fleet.set_host_status(&lost, "gone");
    wait_for("the lost host is replaced", || {
        let pool = fleet.entries[0].get_admin("/v1/pools/pool");
        (pool["serving"] == 4 && pool["hosts"] == 5).then_some(())
    });
    fleet.set_host_status(&lost, "live");
    wait_for("the pool gives one host back", || {
        (members().as_array().map(Vec::len) == Some(4)).then_some(())
    });
    fleet.wait_settled();
}
