//! Combines kills, suspensions, network cuts, outages and concurrent operators with real processes and fixed seeds.
//! At the end the guarantees for requests, jobs, reboots and versions are checked against the records.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rockwick::http::{Client, ExchangeError};
use serde_json::{json, Value};

use crate::fleet::{body_json, body_text, free_addr, post, wait_for, Fleet, Plan};

const ENTRIES: usize = 4;
const FAULTS_DURATION: Duration = Duration::from_secs(20);

/// A request and the value of `Rockwick-Run` in its answer.
struct ReportedRun {
    mark: String,
    run: String,
}

fn send_requests(n: usize, addrs: &[std::net::SocketAddr], stop: &AtomicBool) -> Vec<ReportedRun> {
    let mut rng = fastrand::Rng::with_seed(n as u64);
    let clients: Vec<Client> = addrs.iter().map(|a| Client::new(*a)).collect();
    let mut reported = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let mark = format!("c{n}-{}", reported.len());
        let mut call = post("/s/route/x", "b")
            .with("x-mark", &mark)
            .with("x-work-ms", rng.u32(1..40))
            .with("rockwick-deadline-ms", 2_000);
        call.timeout_ms = 4_000;
        if rng.u32(0..3) == 0 {
            call = call.with("idempotency-key", &mark);
        }
        let run = match smol::block_on(call.send(&clients[rng.usize(..clients.len())])) {
            Ok(answer) => {
                if answer.status == 200 {
                    let got = body_text(&answer);
                    assert!(got.ends_with(&format!(" {mark} b")), "{mark} got {got}");
                }
                answer
                    .header("rockwick-run")
                    .unwrap_or("unknown")
                    .to_string()
            }
            Err(ExchangeError::Connect(_)) => "no".to_string(),
            Err(_) => "unknown".to_string(),
        };
        reported.push(ReportedRun { mark, run });
    }
    reported
}

/// Sends random waves, drains, moves, returns and configurations, and returns how many configurations were accepted.
fn send_edits(n: usize, addrs: &[std::net::SocketAddr], stop: &AtomicBool) -> u64 {
    let mut rng = fastrand::Rng::with_seed(100 + n as u64);
    let mut applied = 0;
    while !stop.load(Ordering::SeqCst) {
        let addr = addrs[rng.usize(..addrs.len())];
        let host = format!("h{}", rng.usize(1..7));
        let edit = match rng.u32(0..5) {
            0 => json!({ "ask": "drain", "host": host, "reboot": true, "why": "chaos" }),
            1 => json!({ "ask": "start_wave", "pool": "pool", "windows": [] }),
            2 => json!({ "ask": "move", "host": host, "pool": null }),
            3 => json!({ "ask": "return", "host": host }),
            _ => {
                let version = post("/v1/status", "")
                    .try_to(addr)
                    .map(|a| body_json(&a)["config_version"].clone());
                let text =
                    crate::fleet::CONFIG.replace("20000", &(10_000 + rng.u32(0..999)).to_string());
                json!({ "ask": "apply", "expect": version.unwrap_or_default(), "text": text })
            }
        };
        let mut call = post("/v1/edit", "");
        let body = edit.to_string();
        call.body = &body;
        call.timeout_ms = 3_000;
        if call
            .try_to(addr)
            .is_ok_and(|a| a.status == 200 && body_json(&a)["version"].is_u64())
        {
            applied += 1;
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    applied
}

/// Injects random faults for [`FAULTS_DURATION`]. A network cut or a loss of commits lasts until the next fault of the
/// platform replaces it.
fn inject_faults(fleet: &mut Fleet, peers: &[std::net::SocketAddr]) {
    let mut rng = fastrand::Rng::with_seed(7);
    let until = Instant::now() + FAULTS_DURATION;
    while Instant::now() < until {
        let at = rng.usize(..ENTRIES);
        match rng.u32(0..6) {
            0 => {
                fleet.set_faults(json!({ "down": true }));
                std::thread::sleep(Duration::from_millis(rng.u64(500..2_500)));
                fleet.clear_faults();
            }
            1 => fleet.set_faults(json!({ "cut": [format!("e{}", at + 1)] })),
            2 => fleet.set_faults(json!({ "lose_commits": 3, "slow_ms": 20 })),
            3 => {
                fleet.entries[at].process.signal(Signal::SIGSTOP);
                std::thread::sleep(Duration::from_millis(rng.u64(500..4_000)));
                fleet.entries[at].process.signal(Signal::SIGCONT);
            }
            4 => {
                // The entry is killed and started again at the same addresses under the same name.
                fleet.entries[at].process.signal(Signal::SIGKILL);
                let old = &fleet.entries[at];
                let (name, listen, admin) = (old.name.clone(), old.listen, old.admin);
                fleet.entries[at].process.wait_exit();
                fleet.entries[at] = fleet.start_entry_at(&name, listen, admin, peers[at], peers);
            }
            _ => {
                let host = format!("h{}", rng.usize(1..7));
                fleet.set_host_status(&host, "gone");
                std::thread::sleep(Duration::from_millis(rng.u64(200..1_500)));
                fleet.set_host_status(&host, "live");
            }
        }
        std::thread::sleep(Duration::from_millis(rng.u64(100..700)));
    }
    fleet.clear_faults();
}

/// Checks until stopped that no host is rebooted with a request in flight, and returns the number of reboots seen.
fn watch_reboots(
    platform: std::net::SocketAddr,
    backends: &[std::net::SocketAddr],
    stop: &AtomicBool,
) -> u64 {
    let mut seen: HashMap<String, u64> = HashMap::new();
    let get = |addr, path: &str| {
        crate::fleet::get(path)
            .try_to(addr)
            .ok()
            .map(|a| body_json(&a))
    };
    while !stop.load(Ordering::SeqCst) {
        let stats = get(platform, "/control/stats").unwrap_or_default();
        for (host, count) in stats["reboots"].as_object().into_iter().flatten() {
            let count = count.as_u64().unwrap_or(0);
            if seen.insert(host.clone(), count) != Some(count) && count > 0 {
                let n: usize = host[1..].parse().expect("hN");
                let backend = get(backends[n - 1], "/control/stats").unwrap_or_default();
                assert_eq!(
                    backend["in_flight"], 0,
                    "{host} was rebooted with a request in flight"
                );
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    seen.values().sum()
}

fn check_jobs(fleet: &Fleet, ids: &[String]) {
    for id in ids {
        let job = wait_for(&format!("job {id} ends"), || {
            let job =
                body_json(&crate::fleet::get(&format!("/jobs/{id}")).to(fleet.entries[0].listen));
            let state = job["state"].as_str()?.to_string();
            (!matches!(state.as_str(), "waiting" | "placed")).then_some(job)
        });
        let starts = fleet.stats()["starts"][id].as_u64().unwrap_or(0);
        if job["spec"]["repeatable"] == false {
            assert!(starts <= 1, "{id} ran {starts} times: {job}");
        }
        if job["state"] == "done" {
            assert!(starts >= 1, "{id}");
        }
    }
}

fn check_runs(fleet: &Fleet, reported: &[ReportedRun]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in fleet.backends.iter().flat_map(|b| b.runs()) {
        let mark = run["mark"].as_str().unwrap_or_default().to_string();
        *runs.entry(mark).or_default() += 1;
    }
    for request in reported {
        let n = runs.get(&request.mark).copied().unwrap_or(0);
        match request.run.as_str() {
            "no" => assert_eq!(n, 0, "{} was reported as not run", request.mark),
            "yes" => assert_eq!(n, 1, "{} was reported as run", request.mark),
            _ => assert!(n <= 1, "{} ran {n} times", request.mark),
        }
    }
    let served = reported.iter().filter(|t| t.run == "yes").count();
    assert!(
        served * 2 > reported.len(),
        "{served} of {} were served",
        reported.len()
    );
}

#[test]
fn chaos_combined_faults() {
    let mut fleet = Plan::new(6, 0).without_config().start();
    let peers: Vec<_> = (0..ENTRIES).map(|_| free_addr()).collect();
    for n in 0..ENTRIES {
        let entry = fleet.start_entry(&format!("e{}", n + 1), peers[n], &peers);
        entry.wait_ready();
        fleet.entries.push(entry);
    }
    fleet.apply_config(0, crate::fleet::CONFIG);
    fleet.wait_settled();
    let listen: Vec<_> = fleet.entries.iter().map(|e| e.listen).collect();
    let admin: Vec<_> = fleet.entries.iter().map(|e| e.admin).collect();
    let backends: Vec<_> = fleet.backends.iter().map(|b| b.addr).collect();
    let (stop, stop_watching) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let callers: Vec<_> = (0..8)
        .map(|n| {
            let (listen, stop) = (listen.clone(), Arc::clone(&stop));
            std::thread::spawn(move || send_requests(n, &listen, &stop))
        })
        .collect();
    let operators: Vec<_> = (0..2)
        .map(|n| {
            let (admin, stop) = (admin.clone(), Arc::clone(&stop));
            std::thread::spawn(move || send_edits(n, &admin, &stop))
        })
        .collect();
    let watching = {
        let (platform, stop) = (fleet.platform, Arc::clone(&stop_watching));
        std::thread::spawn(move || watch_reboots(platform, &backends, &stop))
    };
    let jobs = {
        let (listen, stop) = (listen.clone(), Arc::clone(&stop));
        std::thread::spawn(move || submit_jobs(&listen, &stop))
    };
    inject_faults(&mut fleet, &peers);
    stop.store(true, Ordering::SeqCst);
    let reported: Vec<ReportedRun> = callers
        .into_iter()
        .flat_map(|t| t.join().expect("every caller got its own answers"))
        .collect();
    let applied: u64 = operators
        .into_iter()
        .map(|t| t.join().expect("no panic"))
        .sum();
    let ids = jobs.join().expect("no panic");
    // The faults have ended: every host must come to rest, every job must end, and every entry must adopt the newest
    // version.
    for entry in &fleet.entries {
        entry.wait_ready();
    }
    stop_waves(&fleet);
    for host in ["h1", "h2", "h3", "h4", "h5", "h6"] {
        let began = Instant::now();
        wait_for(&format!("{host} is at rest"), || {
            let shown = fleet.entries[0].get_admin(&format!("/v1/hosts/{host}"));
            assert!(
                began.elapsed() < FAULTS_DURATION * 2,
                "{host} is not at rest: {shown}"
            );
            matches!(shown["row"]["state"].as_str(), Some("serving" | "free")).then_some(())
        });
    }
    check_jobs(&fleet, &ids);
    stop_watching.store(true, Ordering::SeqCst);
    let reboots = watching.join().expect("no reboot with a request in flight");
    check_runs(&fleet, &reported);
    assert_eq!(fleet.stats()["reboots_over_tasks"], 0);
    check_versions(&fleet, applied);
    assert!(
        reboots >= 2 && !ids.is_empty() && applied > 0,
        "{reboots} {} {applied}",
        ids.len()
    );
}

/// Stops all running waves, since hosts would otherwise keep leaving.
fn stop_waves(fleet: &Fleet) {
    let waves = fleet.entries[0].get_admin("/v1/waves");
    for wave in waves.as_array().into_iter().flatten() {
        if wave["row"]["state"] == "running" {
            fleet.entries[0].send_edit(&json!({ "ask": "stop_wave", "wave": wave["id"] }));
        }
    }
}

fn submit_jobs(listen: &[std::net::SocketAddr], stop: &AtomicBool) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(55);
    let mut ids = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let payload = json!({ "run_ms": rng.u32(50..900) }).to_string();
        let spec = json!({ "pool": "pool", "repeatable": rng.bool(), "payload": payload });
        let body = spec.to_string();
        let answer = post("/jobs", &body).try_to(listen[rng.usize(..listen.len())]);
        if let Some(id) = answer
            .ok()
            .filter(|a| a.status == 202)
            .map(|a| body_json(&a)["job"].clone())
        {
            ids.push(id.as_str().expect("an id").to_string());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    ids
}

/// Checks that no accepted configuration was lost, that every entry reaches the newest version, and that no entry
/// adopted an older version after a newer one.
fn check_versions(fleet: &Fleet, applied: u64) {
    let version = |e: &crate::fleet::Entry| e.get_admin("/v1/status")["config_version"].as_u64();
    let newest = fleet.entries.iter().filter_map(version).max();
    assert!(
        newest > Some(applied),
        "{newest:?} after {applied} versions were accepted"
    );
    for entry in &fleet.entries {
        wait_for("the newest version is in force", || {
            (version(entry) == newest).then_some(())
        });
        let adopted: Vec<u64> = entry
            .process
            .lines()
            .iter()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok())
            .filter(|l| l["name"] == "config-adopted")
            .filter_map(|l| l["version"].as_u64())
            .collect();
        assert!(adopted.is_sorted(), "{}: {adopted:?}", entry.name);
    }
}
