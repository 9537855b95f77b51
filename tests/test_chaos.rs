//! Together, twice: kills, freezes, cuts, outages and racing operators at the same time, with real
//! processes and a fixed seed. In the end every promise is checked from the records.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rockwick::http::{Client, ExchangeError};
use serde_json::{json, Value};

use crate::fleet::{free_addr, post, text, value, wait_for, Fleet, Plan};

const ENTRIES: usize = 4;
const SPAN: Duration = Duration::from_secs(20);

/// What a caller was told of one run.
struct Told {
    mark: String,
    run: String,
}

fn caller(n: usize, addrs: &[std::net::SocketAddr], stop: &AtomicBool) -> Vec<Told> {
    let mut rng = fastrand::Rng::with_seed(n as u64);
    let clients: Vec<Client> = addrs.iter().map(|a| Client::new(*a)).collect();
    let mut told = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let mark = format!("c{n}-{}", told.len());
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
                    let got = text(&answer);
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
        told.push(Told { mark, run });
    }
    told
}

/// Operators who start waves, drain, move and apply without looking at each other.
fn operator(n: usize, addrs: &[std::net::SocketAddr], stop: &AtomicBool) -> u64 {
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
                    .map(|a| value(&a)["config_version"].clone());
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
            .is_ok_and(|a| a.status == 200 && value(&a)["version"].is_u64())
        {
            applied += 1;
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    applied
}

/// What goes wrong, one thing after the other, some of it together.
fn mishaps(fleet: &mut Fleet, peers: &[std::net::SocketAddr]) {
    let mut rng = fastrand::Rng::with_seed(7);
    let until = Instant::now() + SPAN;
    while Instant::now() < until {
        let at = rng.usize(..ENTRIES);
        match rng.u32(0..6) {
            0 => {
                fleet.faults(json!({ "down": true }));
                std::thread::sleep(Duration::from_millis(rng.u64(500..2_500)));
                fleet.no_faults();
            }
            1 => fleet.faults(json!({ "cut": [format!("e{}", at + 1)] })),
            2 => fleet.faults(json!({ "lose_commits": 3, "slow_ms": 20 })),
            3 => {
                fleet.entries[at].process.signal(Signal::SIGSTOP);
                std::thread::sleep(Duration::from_millis(rng.u64(500..4_000)));
                fleet.entries[at].process.signal(Signal::SIGCONT);
            }
            4 => {
                // Killed, and replaced at the same place under the same name.
                fleet.entries[at].process.signal(Signal::SIGKILL);
                let old = &fleet.entries[at];
                let (name, listen, admin) = (old.name.clone(), old.listen, old.admin);
                fleet.entries[at].process.wait();
                fleet.entries[at] = fleet.entry_at(&name, listen, admin, peers[at], peers);
            }
            _ => {
                let host = format!("h{}", rng.usize(1..7));
                fleet.set_life(&host, "gone");
                std::thread::sleep(Duration::from_millis(rng.u64(200..1_500)));
                fleet.set_life(&host, "live");
            }
        }
        std::thread::sleep(Duration::from_millis(rng.u64(100..700)));
    }
    fleet.no_faults();
}

/// Watches that no host is rebooted with a request in flight, and that no version goes back.
fn watcher(
    fleet_platform: std::net::SocketAddr,
    backends: &[std::net::SocketAddr],
    stop: &AtomicBool,
) -> u64 {
    let mut seen: HashMap<String, u64> = HashMap::new();
    let get = |addr, path: &str| crate::fleet::get(path).try_to(addr).ok().map(|a| value(&a));
    while !stop.load(Ordering::SeqCst) {
        let stats = get(fleet_platform, "/control/stats").unwrap_or_default();
        for (host, count) in stats["reboots"].as_object().into_iter().flatten() {
            let count = count.as_u64().unwrap_or(0);
            if seen.insert(host.clone(), count) != Some(count) && count > 0 {
                let n: usize = host[1..].parse().expect("hN");
                let backend = get(backends[n - 1], "/control/stats").unwrap_or_default();
                assert_eq!(
                    backend["in_flight"], 0,
                    "{host} was rebooted under a request"
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
            let job = value(&crate::fleet::get(&format!("/jobs/{id}")).to(fleet.entries[0].listen));
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

fn check_runs(fleet: &Fleet, told: &[Told]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in fleet.backends.iter().flat_map(|b| b.runs()) {
        let mark = run["mark"].as_str().unwrap_or_default().to_string();
        *runs.entry(mark).or_default() += 1;
    }
    for t in told {
        let n = runs.get(&t.mark).copied().unwrap_or(0);
        match t.run.as_str() {
            "no" => assert_eq!(n, 0, "{} was told not run", t.mark),
            "yes" => assert_eq!(n, 1, "{} was told run", t.mark),
            _ => assert!(n <= 1, "{} ran {n} times", t.mark),
        }
    }
    let whole = told.iter().filter(|t| t.run == "yes").count();
    assert!(
        whole * 2 > told.len(),
        "{whole} of {} were served",
        told.len()
    );
}

#[test]
fn chaos_all_together() {
    let mut fleet = Plan::new(6, 0).without_config().start();
    let peers: Vec<_> = (0..ENTRIES).map(|_| free_addr()).collect();
    for n in 0..ENTRIES {
        let entry = fleet.entry(&format!("e{}", n + 1), peers[n], &peers);
        entry.wait_ready();
        fleet.entries.push(entry);
    }
    fleet.apply(0, crate::fleet::CONFIG);
    fleet.settle();
    let listen: Vec<_> = fleet.entries.iter().map(|e| e.listen).collect();
    let admin: Vec<_> = fleet.entries.iter().map(|e| e.admin).collect();
    let backends: Vec<_> = fleet.backends.iter().map(|b| b.addr).collect();
    let (stop, watch) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let callers: Vec<_> = (0..8)
        .map(|n| {
            let (listen, stop) = (listen.clone(), Arc::clone(&stop));
            std::thread::spawn(move || caller(n, &listen, &stop))
        })
        .collect();
    let operators: Vec<_> = (0..2)
        .map(|n| {
            let (admin, stop) = (admin.clone(), Arc::clone(&stop));
            std::thread::spawn(move || operator(n, &admin, &stop))
        })
        .collect();
    let watching = {
        let (platform, watch) = (fleet.platform, Arc::clone(&watch));
        std::thread::spawn(move || watcher(platform, &backends, &watch))
    };
    let jobs = {
        let (listen, stop) = (listen.clone(), Arc::clone(&stop));
        std::thread::spawn(move || job_caller(&listen, &stop))
    };
    mishaps(&mut fleet, &peers);
    stop.store(true, Ordering::SeqCst);
    let told: Vec<Told> = callers
        .into_iter()
        .flat_map(|t| t.join().expect("own answers"))
        .collect();
    let applied: u64 = operators
        .into_iter()
        .map(|t| t.join().expect("no panic"))
        .sum();
    let ids = jobs.join().expect("no panic");
    // All is well again: the fleet repairs itself.
    for entry in &fleet.entries {
        entry.wait_ready();
    }
    stop_waves(&fleet);
    for host in ["h1", "h2", "h3", "h4", "h5", "h6"] {
        let began = Instant::now();
        wait_for(&format!("{host} is at rest"), || {
            let told = fleet.entries[0].admin(&format!("/v1/hosts/{host}"));
            assert!(began.elapsed() < SPAN * 2, "{host} is not at rest: {told}");
            matches!(told["row"]["state"].as_str(), Some("serving" | "free")).then_some(())
        });
    }
    check_jobs(&fleet, &ids);
    watch.store(true, Ordering::SeqCst);
    let reboots = watching.join().expect("no reboot under a request");
    check_runs(&fleet, &told);
    assert_eq!(fleet.stats()["reboots_over_tasks"], 0);
    check_versions(&fleet, applied);
    assert!(
        reboots >= 2 && !ids.is_empty() && applied > 0,
        "{reboots} {} {applied}",
        ids.len()
    );
}

/// Waves that were started over and over are stopped, so that hosts come to rest.
fn stop_waves(fleet: &Fleet) {
    let waves = fleet.entries[0].admin("/v1/waves");
    for wave in waves.as_array().into_iter().flatten() {
        if wave["row"]["state"] == "running" {
            fleet.entries[0].edit(&json!({ "ask": "stop_wave", "wave": wave["id"] }));
        }
    }
}

fn job_caller(listen: &[std::net::SocketAddr], stop: &AtomicBool) -> Vec<String> {
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
            .map(|a| value(&a)["job"].clone())
        {
            ids.push(id.as_str().expect("an id").to_string());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    ids
}

/// Every entry has the same version, at least as many as were told accepted, and none ever went back.
fn check_versions(fleet: &Fleet, applied: u64) {
    let version = |e: &crate::fleet::Entry| e.admin("/v1/status")["config_version"].as_u64();
    let newest = fleet.entries.iter().filter_map(version).max();
    assert!(
        newest > Some(applied),
        "{newest:?} after {applied} were told accepted"
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
