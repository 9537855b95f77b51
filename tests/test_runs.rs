//! Idempotency keys and the `Rockwick-Run` header: a request reported as not run has no run at any backend server, and
//! a request that may not be repeated runs at most once.

use std::sync::Arc;

use nix::sys::signal::Signal;
use rockwick::http::{Answer, Client};
use serde_json::json;

use crate::fleet::{body_json, body_text, get, post, wait_for, Call, Fleet, Plan};

fn keyed_post<'a>(key: &str, body: &'a str) -> Call<'a> {
    post("/s/route/run", body).with("idempotency-key", key)
}

fn run_header(answer: &Answer) -> &str {
    answer.header("rockwick-run").unwrap_or("-")
}

/// Starts one host with one slot, and two entries.
fn single_slot_fleet() -> Fleet {
    Plan::new(1, 2)
        .without_config()
        .with_backend_args(&["--slots", "1"])
        .start()
}

/// Sends the request in a thread, which returns the answer if one arrives.
fn send_in_background(
    fleet: &Fleet,
    entry: usize,
    call: Call<'static>,
) -> std::thread::JoinHandle<Option<Answer>> {
    let addr = fleet.entries[entry].listen;
    std::thread::spawn(move || call.try_to(addr).ok())
}

fn wait_for_run(fleet: &Fleet, key: &str) {
    wait_for("the run begins", || {
        (fleet.count_runs("key", key) == 1).then_some(())
    });
}

/// A repeated key must return the recorded answer at any entry, and a key with another body must be refused.
#[test]
fn runs_replay() {
    let fleet = single_slot_fleet();
    let (e1, e2) = (fleet.entries[0].listen, fleet.entries[1].listen);
    let first = keyed_post("k", "body").to(e1);
    assert_eq!((first.status, run_header(&first)), (200, "yes"));
    let again = keyed_post("k", "body").to(e2);
    assert_eq!((again.status, run_header(&again)), (200, "yes"));
    assert_eq!(body_text(&again), body_text(&first));
    assert_eq!(again.header("rockwick-replayed"), Some("true"));
    let other = keyed_post("k", "other body").to(e2);
    assert_eq!(other.status, 422);
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_large_answer() {
    // The answer is too large for the row of the run and is stored as an object.
    let fleet = single_slot_fleet();
    let body = "y".repeat(100_000);
    let first = keyed_post("k", &body).to(fleet.entries[0].listen);
    let again = keyed_post("k", &body).to(fleet.entries[1].listen);
    assert_eq!(again.status, 200);
    assert_eq!(body_text(&again), body_text(&first));
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_table_down() {
    // Failure before the claim: the table is down.
    let fleet = single_slot_fleet();
    fleet.set_faults(json!({ "down": true }));
    let answer = keyed_post("k", "b").to(fleet.entries[0].listen);
    assert_eq!((answer.status, run_header(&answer)), (503, "no"));
    assert!(answer.header("retry-after").is_some());
    let plain = get("/s/route/x").to(fleet.entries[0].listen);
    assert_eq!(
        plain.status, 200,
        "a request without a key needs no write to the table"
    );
    assert_eq!(fleet.count_runs("key", "k"), 0);
}

#[test]
fn runs_claim_answer_lost() {
    // Failure at the claim: it takes effect and its answer is lost.
    let fleet = single_slot_fleet();
    fleet.set_faults(json!({ "lose_commits": 1, "lose_prefix": "run/" }));
    let answer = keyed_post("k", "b").to(fleet.entries[0].listen);
    assert_eq!(
        (answer.status, run_header(&answer)),
        (200, "yes"),
        "the entry finds its token in the row"
    );
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_claim_unsettled() {
    // The answer to the claim is lost and the platform is too slow for the entry to learn the outcome: the request is
    // refused as not run, and the claim is released later.
    let fleet = single_slot_fleet();
    fleet.set_faults(json!({ "lose_commits": 100, "lose_prefix": "run/", "cut": [] }));
    fleet.set_faults(json!({ "lose_commits": 1, "lose_prefix": "run/", "slow_ms": 1600 }));
    let answer = keyed_post("k", "b").to(fleet.entries[0].listen);
    assert_eq!(
        (answer.status, run_header(&answer)),
        (503, "no"),
        "{}",
        body_text(&answer)
    );
    fleet.clear_faults();
    let again = wait_for("the key can be used", || {
        let answer = keyed_post("k", "b").to(fleet.entries[1].listen);
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(run_header(&again), "yes");
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_killed_before_send() {
    // The entry is killed after it claimed the key, while the request waits for a slot.
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("none", 20_000);
    let _blocker = send_in_background(&fleet, 0, post("/s/route/x", "b"));
    wait_for("the slot is taken", || {
        (fleet.backends[0].stats()["in_flight"] == 1).then_some(())
    });
    let _waiting = send_in_background(&fleet, 0, keyed_post("k", "b"));
    wait_for("the key is claimed", || {
        (fleet.entries[0].count_logged("run-claimed") == 1).then_some(())
    });
    fleet.entries[0].process.signal(Signal::SIGKILL);
    let answer = keyed_post("k", "b").to(fleet.entries[1].listen);
    assert_eq!((answer.status, run_header(&answer)), (409, "unknown"));
    assert_eq!(fleet.count_runs("key", "k"), 0);
}

#[test]
fn runs_killed_mid_send() {
    // The entry is killed while the backend server works on the request.
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("none", 1_000);
    let _running = send_in_background(&fleet, 0, keyed_post("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.entries[0].process.signal(Signal::SIGKILL);
    let answer = keyed_post("k", "b").to(fleet.entries[1].listen);
    assert_eq!((answer.status, run_header(&answer)), (409, "unknown"));
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_killed_before_record() {
    // The entry is killed after the run and before its outcome is recorded.
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("none", 700);
    let running = send_in_background(&fleet, 0, keyed_post("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.set_faults(json!({ "cut": ["e1"] }));
    let answer = running.join().expect("no panic").expect("an answer");
    assert_eq!(
        (answer.status, run_header(&answer)),
        (200, "yes"),
        "the caller still receives the answer"
    );
    fleet.entries[0].process.signal(Signal::SIGKILL);
    let again = keyed_post("k", "b").to(fleet.entries[1].listen);
    assert_eq!((again.status, run_header(&again)), (409, "unknown"));
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_recorded_late() {
    // The table is unreachable when the run ends; the entry records the outcome when the table is back.
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("none", 700);
    let running = send_in_background(&fleet, 0, keyed_post("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.set_faults(json!({ "cut": ["e1"] }));
    let answer = running.join().expect("no panic").expect("an answer");
    fleet.clear_faults();
    let again = wait_for("the outcome is recorded", || {
        let again = keyed_post("k", "b").to(fleet.entries[1].listen);
        (again.status == 200).then_some(again)
    });
    assert_eq!(body_text(&again), body_text(&answer));
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_record_answer_lost() {
    // Failure at the record: it takes effect and its answer is lost.
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("none", 500);
    let running = send_in_background(&fleet, 0, keyed_post("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.set_faults(json!({ "lose_commits": 1, "lose_prefix": "run/" }));
    let answer = running.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    let again = keyed_post("k", "b").to(fleet.entries[1].listen);
    assert_eq!((again.status, body_text(&again)), (200, body_text(&answer)));
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

#[test]
fn runs_frozen() {
    // The entry is suspended during the run and resumes after its peers consider it lost.
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("none", 500);
    let running = send_in_background(&fleet, 0, keyed_post("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.entries[0].process.signal(Signal::SIGSTOP);
    std::thread::sleep(std::time::Duration::from_secs(6));
    let meanwhile = keyed_post("k", "b").to(fleet.entries[1].listen);
    assert_eq!((meanwhile.status, run_header(&meanwhile)), (409, "unknown"));
    fleet.entries[0].process.signal(Signal::SIGCONT);
    let answer = running.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    let again = wait_for("the outcome is recorded", || {
        let again = keyed_post("k", "b").to(fleet.entries[1].listen);
        (again.status == 200).then_some(again)
    });
    assert_eq!(body_text(&again), body_text(&answer));
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

/// Twelve concurrent requests with the same key at two entries must lead to one run.
#[test]
fn runs_same_key_race() {
    let fleet = Plan::new(2, 2).without_config().start();
    for b in &fleet.backends {
        b.set_fault("none", 50);
    }
    for round in 0..5 {
        let key = format!("k{round}");
        let threads: Vec<_> = (0..12)
            .map(|n| {
                let addr = fleet.entries[n % 2].listen;
                let key = key.clone();
                std::thread::spawn(move || keyed_post(&key, "b").to(addr))
            })
            .collect();
        for t in threads {
            let answer = t.join().expect("no panic");
            let outcome = (answer.status, run_header(&answer).to_string());
            let is_expected = matches!(
                (outcome.0, outcome.1.as_str()),
                (200, "yes") | (409, "unknown")
            );
            assert!(is_expected, "{outcome:?}: {}", body_text(&answer));
        }
        assert_eq!(fleet.count_runs("key", &key), 1);
    }
}

/// A request that the backend server refused did not run, so its key must be usable again.
#[test]
fn runs_refused_then_again() {
    let fleet = single_slot_fleet();
    fleet.backends[0].set_fault("refuse", 0);
    let refused = keyed_post("k", "b").to(fleet.entries[0].listen);
    assert_eq!((refused.status, run_header(&refused)), (503, "no"));
    assert_eq!(fleet.count_runs("key", "k"), 0);
    fleet.backends[0].set_fault("none", 0);
    let again = keyed_post("k", "b").to(fleet.entries[1].listen);
    assert_eq!(
        (again.status, run_header(&again)),
        (200, "yes"),
        "{}",
        body_text(&again)
    );
    assert_eq!(fleet.count_runs("key", "k"), 1);
}

/// One backend server takes a request and closes the connection, and the other refuses it. The answer must not say that
/// the request was not run.
#[test]
fn runs_lost_then_refused() {
    let fleet = Plan::new(2, 1).without_config().start();
    fleet.backends[0].set_fault("close", 0);
    fleet.backends[1].set_fault("refuse", 0);
    let mut lost = 0;
    for n in 0..8 {
        let mark = format!("m{n}");
        let answer = get("/s/route/x")
            .with("x-mark", &mark)
            .with("rockwick-deadline-ms", 1_500)
            .to(fleet.entries[0].listen);
        if fleet.count_runs("mark", &mark) > 0 {
            lost += 1;
            assert_eq!(run_header(&answer), "unknown", "{}", body_text(&answer));
        }
    }
    assert!(lost > 0, "no request reached the first backend server");
}

#[test]
fn runs_broken_not_repeated() {
    // A request that may have run is not sent a second time, even without a key.
    let fleet = Plan::new(3, 1).without_config().start();
    for fault in ["short", "close", "garbage"] {
        let call = post("/s/route/x", "b")
            .with("x-fault", fault)
            .with("x-mark", fault);
        let answer = call.to(fleet.entries[0].listen);
        assert_eq!(
            (answer.status, run_header(&answer)),
            (502, "unknown"),
            "{fault}"
        );
        assert_eq!(fleet.count_runs("mark", fault), 1, "{fault}");
        let call = get("/s/route/x")
            .with("x-fault", fault)
            .with("x-mark", "safe");
        assert_eq!(call.to(fleet.entries[0].listen).status, 502);
    }
    assert!(
        fleet.count_runs("mark", "safe") > 3,
        "a GET may be sent again"
    );
}

#[test]
fn runs_not_run_header() {
    // A request answered with "no" has no run at any backend server; one answered with "yes" has exactly one.
    let fleet = Plan::new(2, 2)
        .without_config()
        .with_backend_args(&["--slots", "2", "--work-ms", "10"])
        .start();
    let clients: Vec<Arc<Client>> = fleet
        .entries
        .iter()
        .map(|e| Arc::new(Client::new(e.listen).with_idle_max(64)))
        .collect();
    let threads: Vec<_> = (0..24)
        .map(|t| {
            let client = Arc::clone(&clients[t % 2]);
            std::thread::spawn(move || {
                let mut reported = Vec::new();
                for n in 0..30 {
                    let mark = format!("t{t}-{n}");
                    let call = post("/s/route/x", "b")
                        .with("x-mark", &mark)
                        .with("rockwick-deadline-ms", 5 + (t * n) % 90);
                    let answer = smol::block_on(call.send(&client)).expect("an answer");
                    reported.push((mark, run_header(&answer).to_string()));
                }
                reported
            })
        })
        .collect();
    let reported: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("no panic"))
        .collect();
    let mut runs = std::collections::HashMap::new();
    for run in fleet.backends.iter().flat_map(|b| b.runs()) {
        let mark = run["mark"].as_str().unwrap_or_default().to_string();
        *runs.entry(mark).or_insert(0) += 1;
    }
    let counts = |what: &str| reported.iter().filter(|(_, run)| run == what).count();
    assert!(
        counts("no") > 0 && counts("yes") > 0,
        "{} {}",
        counts("no"),
        counts("yes")
    );
    for (mark, run) in reported {
        let n = runs.get(&mark).copied().unwrap_or(0);
        match run.as_str() {
            "no" => assert_eq!(n, 0, "{mark} was reported as not run"),
            "yes" => assert_eq!(n, 1, "{mark}"),
            _ => assert!(n <= 1, "{mark}"),
        }
    }
}

/// The same key of two accounts names two requests: neither may receive the other's answer.
#[test]
fn runs_accounts_apart() {
    let fleet = Plan::new(4, 1).start();
    let entry = fleet.entries[0].listen;
    let mine = keyed_post("k", "b").with("x-mark", "mine").to(entry);
    let theirs = keyed_post("k", "b")
        .with("authorization", "Bearer other")
        .with("x-mark", "theirs")
        .to(entry);
    assert_eq!((mine.status, theirs.status), (200, 200));
    assert!(
        body_text(&theirs).contains("theirs"),
        "{}",
        body_text(&theirs)
    );
    assert_eq!(
        body_json(&get("/v1/status").to(fleet.entries[0].admin))["store"],
        "ok"
    );
}
