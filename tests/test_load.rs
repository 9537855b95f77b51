//! Behaviour under load: overload, quotas, faulty backend servers, the loss of a data hall and a long outage of the
//! platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rockwick::http::Client;
use serde_json::json;

use crate::fleet::{body_text, failures, get, post, wait_for, Fleet, LoadCallers, Plan};

/// Sends `requests_each` requests from each of `threads` threads. Returns the number of answers by status and the
/// longest latency of an answer with status 200.
fn send_load(
    fleet: &Fleet,
    threads: usize,
    requests_each: usize,
    class: &'static str,
    deadline_ms: u64,
) -> (BTreeMap<u16, usize>, Duration) {
    let entries: Vec<_> = fleet.entries.iter().map(|e| e.listen).collect();
    let handles: Vec<_> = (0..threads)
        .map(|t| {
            let addr = entries[t % entries.len()];
            std::thread::spawn(move || {
                let client = Client::new(addr);
                let mut answers = Vec::new();
                for _ in 0..requests_each {
                    let call = post("/s/route/x", "b")
                        .with("rockwick-class", class)
                        .with("rockwick-deadline-ms", deadline_ms);
                    let began = Instant::now();
                    let answer = smol::block_on(call.send(&client)).expect("an answer");
                    if !matches!(answer.status, 200 | 504) {
                        assert!(
                            answer.header("retry-after").is_some(),
                            "{}",
                            body_text(&answer)
                        );
                        assert_eq!(answer.header("rockwick-run"), Some("no"));
                    }
                    answers.push((answer.status, began.elapsed()));
                }
                answers
            })
        })
        .collect();
    let mut counts = BTreeMap::new();
    let mut slowest = Duration::ZERO;
    for (status, took) in handles
        .into_iter()
        .flat_map(|h| h.join().expect("no panic"))
    {
        *counts.entry(status).or_insert(0) += 1;
        if status == 200 {
            slowest = slowest.max(took);
        }
    }
    (counts, slowest)
}

#[test]
fn load_overload_shed() {
    // More requests than the backend server's slots can serve in time: those that would miss their deadline are refused
    // at once.
    let fleet = Plan::new(1, 1)
        .without_config()
        .with_backend_args(&["--slots", "2", "--work-ms", "50"])
        .start();
    let began = Instant::now();
    let (counts, _) = send_load(&fleet, 32, 10, "normal", 300);
    assert!(counts.get(&200).copied().unwrap_or(0) > 20, "{counts:?}");
    assert!(counts.get(&503).copied().unwrap_or(0) > 50, "{counts:?}");
    assert!(
        counts.get(&504).copied().unwrap_or(0) < 16,
        "few requests time out after they began: {counts:?}"
    );
    // 320 requests of 50 ms at two slots would take 8 s: a refusal does not wait for the deadline.
    assert!(began.elapsed() < Duration::from_secs(8));
    assert!(fleet.backends[0].stats()["peak"].as_u64() <= Some(2));
}

#[test]
fn load_urgent_first() {
    // Batch requests occupy all slots that their class may use. Urgent requests must still be answered in time.
    let fleet = Plan::new(2, 2)
        .without_config()
        .with_backend_args(&["--slots", "4", "--work-ms", "200"])
        .start();
    std::thread::scope(|s| {
        let batch = s.spawn(|| send_load(&fleet, 32, 8, "batch", 20_000));
        wait_for("batch requests are in flight", || {
            (fleet.backends[0].stats()["in_flight"].as_u64() > Some(0)).then_some(())
        });
        let (urgent, slowest) = send_load(&fleet, 4, 6, "urgent", 2_000);
        assert_eq!(urgent, BTreeMap::from([(200, 24)]), "slowest {slowest:?}");
        let (batch, _) = batch.join().expect("no panic");
        assert!(batch.get(&200).copied().unwrap_or(0) > 100, "{batch:?}");
    });
}

/// An account's quota is split over both entries: together they must not exceed it, and other accounts are unaffected.
#[test]
fn load_quota_split() {
    let text = crate::fleet::CONFIG.replace(
        "name = \"other\"",
        "rate_per_s = 10\nburst = 10\nname = \"other\"",
    );
    let fleet = Plan::new(4, 2).start();
    fleet.apply_config(1, &text);
    let began = Instant::now();
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    for n in 0..120 {
        let addr = fleet.entries[n % 2].listen;
        let answer = get("/s/route/x")
            .with("authorization", "Bearer other")
            .to(addr);
        if answer.status == 429 {
            assert!(answer.header("retry-after").is_some());
        }
        *counts.entry(answer.status).or_default() += 1;
    }
    // The burst, the rate over the elapsed time rounded up, and one request for each of the two entries, whose share of
    // the quota may be rounded up.
    let expected_max = 10 + 10 * (began.elapsed().as_secs() as u32 + 1) + 2;
    assert!(
        counts[&200] <= expected_max && counts[&200] >= 10,
        "{counts:?} of {expected_max}"
    );
    assert!(counts[&429] > 0);
    assert_eq!(
        get("/s/route/x").to(fleet.entries[0].listen).status,
        200,
        "another account is not limited"
    );
}

/// Sends repeatable requests and returns the share of answers other than 200, in percent.
fn measure_failing_percent(fleet: &Fleet, requests: usize) -> usize {
    let client = Client::new(fleet.entries[0].listen);
    let failed = (0..requests)
        .filter(|_| {
            let call = get("/s/route/x").with("rockwick-deadline-ms", 2_000);
            let answer = smol::block_on(call.send(&client)).expect("an answer");
            answer.status != 200
        })
        .count();
    failed * 100 / requests
}

#[test]
fn load_bad_backends() {
    // One of four backend servers answers every request with an error, closes the connection or refuses the request.
    // Its fast failures must not attract more requests. A refusal is not a fault, so only the first two lead to an
    // ejection.
    for fault in ["fail", "close", "refuse"] {
        let fleet = Plan::new(4, 1).without_config().start();
        fleet.backends[0].set_fault(fault, 0);
        measure_failing_percent(&fleet, 100);
        let before = fleet.backends[0].stats();
        assert!(measure_failing_percent(&fleet, 200) <= 5, "{fault}");
        let after = fleet.backends[0].stats();
        let count_attempts = |s: &serde_json::Value| {
            s["runs"].as_u64().unwrap_or(0) + s["refused"].as_u64().unwrap_or(0)
        };
        let attracted = count_attempts(&after) - count_attempts(&before);
        if fault != "refuse" {
            assert!(attracted <= 10, "{fault}: {attracted} of 200");
            // A separate thread writes the log, so the line may come a moment later.
            wait_for("the ejection is logged", || {
                (fleet.entries[0].count_logged("backend-ejected") > 0).then_some(())
            });
        }
        fleet.backends[0].set_fault("none", 0);
        let before = count_attempts(&fleet.backends[0].stats());
        wait_for("the backend server gets work again", || {
            measure_failing_percent(&fleet, 20);
            (count_attempts(&fleet.backends[0].stats()) > before + 20).then_some(())
        });
    }
}

/// One of four backend servers never answers. It must be ejected before many requests to it miss their deadline.
#[test]
fn load_hanging_backend() {
    let fleet = Plan::new(4, 1).without_config().start();
    fleet.backends[0].set_fault("hang", 0);
    let client = Client::new(fleet.entries[0].listen);
    let mut failed = 0;
    for _ in 0..60 {
        let call = get("/s/route/x").with("rockwick-deadline-ms", 400);
        let answer = smol::block_on(call.send(&client)).expect("an answer");
        failed += u32::from(answer.status != 200);
    }
    assert!(failed <= 6, "{failed} of 60");
    assert!(fleet.entries[0].count_logged("backend-ejected") > 0);
}

#[test]
fn load_all_fail() {
    // All backend servers fail. Since at most half of them are ejected at once, every request still reaches one, and
    // its answer is passed on with status 500. Once the fault ends, no request fails.
    let fleet = Plan::new(4, 1).without_config().start();
    fleet.backends.iter().for_each(|b| b.set_fault("fail", 0));
    for _ in 0..100 {
        let answer = post("/s/route/x", "b").to(fleet.entries[0].listen);
        assert_eq!(
            (answer.status, answer.header("rockwick-run")),
            (500, Some("yes"))
        );
    }
    fleet.backends.iter().for_each(|b| b.set_fault("none", 0));
    assert_eq!(measure_failing_percent(&fleet, 40), 0);
}

#[test]
fn load_retry_budget() {
    // The retry budget earns one retry for every 10 requests and 10 retries a second, and saves up to 10. Under each
    // fault, the attempts may exceed the requests by no more than that.
    for fault in ["fail", "close", "refuse", "garbage"] {
        let fleet = Plan::new(4, 1).without_config().start();
        fleet.backends.iter().for_each(|b| b.set_fault(fault, 0));
        let requests = 200;
        let began = Instant::now();
        for _ in 0..requests {
            let call = get("/s/route/x").with("rockwick-deadline-ms", 100);
            call.to(fleet.entries[0].listen);
        }
        let attempts: u64 = fleet
            .backends
            .iter()
            .map(|b| b.stats())
            .map(|s| s["runs"].as_u64().unwrap_or(0) + s["refused"].as_u64().unwrap_or(0))
            .sum();
        // A retry after a refusal costs the budget 0.4 of a retry that may repeat work, so 2.5 times as many are
        // allowed.
        let (num, den) = if fault == "refuse" { (10, 4) } else { (1, 1) };
        let earned_by_time = 10 * (began.elapsed().as_secs() + 1);
        assert!(
            attempts <= requests + (requests / 10 + 10 + earned_by_time) * num / den,
            "{fault}: {attempts} attempts for {requests} requests"
        );
    }
}

#[test]
fn load_hall_gone() {
    // Half of the hosts are lost at once. After the entries have noticed the loss, no repeatable request fails.
    let fleet = Plan::new(4, 2).start();
    for host in ["h3", "h4"] {
        fleet.set_host_status(host, "gone");
    }
    for b in &fleet.backends[2..] {
        b.set_fault("close", 0);
    }
    measure_failing_percent(&fleet, 20);
    wait_for("the loss is seen", || {
        fleet
            .entries
            .iter()
            .all(|e| e.count_logged("host-lost") >= 2)
            .then_some(())
    });
    assert_eq!(measure_failing_percent(&fleet, 100), 0);
}

#[test]
fn load_outage() {
    // The platform is unreachable for several seconds under load: no request fails, and the entries do not send it a
    // burst of calls when it answers again.
    let fleet = Plan::new(4, 3).start();
    let addrs: Vec<_> = fleet.entries.iter().map(|e| e.listen).collect();
    let load = LoadCallers::start(&addrs, 2, 5);
    fleet.set_faults(json!({ "down": true }));
    std::thread::sleep(Duration::from_secs(8));
    post("/control/reset-peak", "").to(fleet.platform);
    fleet.clear_faults();
    wait_for("the table is back", || {
        let ok = |e: &crate::fleet::Entry| e.get_admin("/v1/status")["store"] == "ok";
        fleet.entries.iter().all(ok).then_some(())
    });
    std::thread::sleep(Duration::from_secs(3));
    let outcomes = load.stop();
    assert!(failures(&outcomes).is_empty(), "{:?}", failures(&outcomes));
    let peak = fleet.stats()["peak_calls_per_s"].as_u64().unwrap_or(0);
    assert!(peak <= 60, "{peak} calls in one second by three entries");
}
