//! "Not run" is true, and what may not be repeated runs at most once.

use std::sync::Arc;

use nix::sys::signal::Signal;
use rockwick::http::{Answer, Client};
use serde_json::json;

use crate::fleet::{get, post, text, value, wait_for, Call, Fleet, Plan};

fn keyed<'a>(key: &str, body: &'a str) -> Call<'a> {
    post("/s/route/run", body).with("idempotency-key", key)
}

fn run_of(answer: &Answer) -> &str {
    answer.header("rockwick-run").unwrap_or("-")
}

/// One host with one slot, and two entries.
fn narrow() -> Fleet {
    Plan::new(1, 2)
        .without_config()
        .with_backend_args(&["--slots", "1"])
        .start()
}

/// Sends in the background; the answer, if one comes, is given when joined.
fn in_background(
    fleet: &Fleet,
    entry: usize,
    call: Call<'static>,
) -> std::thread::JoinHandle<Option<Answer>> {
    let addr = fleet.entries[entry].listen;
    std::thread::spawn(move || call.try_to(addr).ok())
}

fn wait_for_run(fleet: &Fleet, key: &str) {
    wait_for("the run begins", || {
        (fleet.runs_of("key", key) == 1).then_some(())
    });
}

#[test]
fn runs_replay() {
    let fleet = narrow();
    let (e1, e2) = (fleet.entries[0].listen, fleet.entries[1].listen);
    let first = keyed("k", "body").to(e1);
    assert_eq!((first.status, run_of(&first)), (200, "yes"));
    let again = keyed("k", "body").to(e2);
    assert_eq!((again.status, run_of(&again)), (200, "yes"));
    assert_eq!(text(&again), text(&first));
    assert_eq!(again.header("rockwick-replayed"), Some("true"));
    let other = keyed("k", "other body").to(e2);
    assert_eq!(other.status, 422);
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_large_answer() {
    // Too large for the row: kept as an object.
    let fleet = narrow();
    let body = "y".repeat(100_000);
    let first = keyed("k", &body).to(fleet.entries[0].listen);
    let again = keyed("k", &body).to(fleet.entries[1].listen);
    assert_eq!(again.status, 200);
    assert_eq!(text(&again), text(&first));
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_table_down() {
    // Crash point: before the claim.
    let fleet = narrow();
    fleet.faults(json!({ "down": true }));
    let answer = keyed("k", "b").to(fleet.entries[0].listen);
    assert_eq!((answer.status, run_of(&answer)), (503, "no"));
    assert!(answer.header("retry-after").is_some());
    let plain = get("/s/route/x").to(fleet.entries[0].listen);
    assert_eq!(plain.status, 200, "what needs no new fact goes on");
    assert_eq!(fleet.runs_of("key", "k"), 0);
}

#[test]
fn runs_claim_answer_lost() {
    // Crash point: the claim takes effect, its answer is lost.
    let fleet = narrow();
    fleet.faults(json!({ "lose_commits": 1, "lose_prefix": "run/" }));
    let answer = keyed("k", "b").to(fleet.entries[0].listen);
    assert_eq!(
        (answer.status, run_of(&answer)),
        (200, "yes"),
        "settled by its token"
    );
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_claim_unsettled() {
    // Every answer to the claim is lost: refused as not run, later given back.
    let fleet = narrow();
    fleet.faults(json!({ "lose_commits": 100, "lose_prefix": "run/", "cut": [] }));
    fleet.faults(json!({ "lose_commits": 1, "lose_prefix": "run/", "slow_ms": 1600 }));
    let answer = keyed("k", "b").to(fleet.entries[0].listen);
    assert_eq!(
        (answer.status, run_of(&answer)),
        (503, "no"),
        "{}",
        text(&answer)
    );
    fleet.no_faults();
    let again = wait_for("the key can be used", || {
        let answer = keyed("k", "b").to(fleet.entries[1].listen);
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(run_of(&again), "yes");
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_killed_before_send() {
    // Crash point: claimed, waiting for a slot, then the entry dies.
    let fleet = narrow();
    fleet.backends[0].set("none", 20_000);
    let _blocker = in_background(&fleet, 0, post("/s/route/x", "b"));
    wait_for("the slot is taken", || {
        (fleet.backends[0].stats()["in_flight"] == 1).then_some(())
    });
    let _waiting = in_background(&fleet, 0, keyed("k", "b"));
    wait_for("the key is claimed", || {
        (fleet.entries[0].logged("run-claimed") == 1).then_some(())
    });
    fleet.entries[0].process.signal(Signal::SIGKILL);
    let answer = keyed("k", "b").to(fleet.entries[1].listen);
    assert_eq!((answer.status, run_of(&answer)), (409, "unknown"));
    assert_eq!(fleet.runs_of("key", "k"), 0);
}

#[test]
fn runs_killed_mid_send() {
    // Crash point: the backend server is at work, the entry dies.
    let fleet = narrow();
    fleet.backends[0].set("none", 1_000);
    let _running = in_background(&fleet, 0, keyed("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.entries[0].process.signal(Signal::SIGKILL);
    let answer = keyed("k", "b").to(fleet.entries[1].listen);
    assert_eq!((answer.status, run_of(&answer)), (409, "unknown"));
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_killed_before_record() {
    // Crash point: run, not recorded, the entry dies.
    let fleet = narrow();
    fleet.backends[0].set("none", 700);
    let running = in_background(&fleet, 0, keyed("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.faults(json!({ "cut": ["e1"] }));
    let answer = running.join().expect("no panic").expect("an answer");
    assert_eq!(
        (answer.status, run_of(&answer)),
        (200, "yes"),
        "the caller has it all the same"
    );
    fleet.entries[0].process.signal(Signal::SIGKILL);
    let again = keyed("k", "b").to(fleet.entries[1].listen);
    assert_eq!((again.status, run_of(&again)), (409, "unknown"));
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_recorded_late() {
    // As before, but the entry lives: it records when the table is back.
    let fleet = narrow();
    fleet.backends[0].set("none", 700);
    let running = in_background(&fleet, 0, keyed("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.faults(json!({ "cut": ["e1"] }));
    let answer = running.join().expect("no panic").expect("an answer");
    fleet.no_faults();
    let again = wait_for("the record is there", || {
        let again = keyed("k", "b").to(fleet.entries[1].listen);
        (again.status == 200).then_some(again)
    });
    assert_eq!(text(&again), text(&answer));
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_record_answer_lost() {
    // Crash point: the record takes effect, its answer is lost.
    let fleet = narrow();
    fleet.backends[0].set("none", 500);
    let running = in_background(&fleet, 0, keyed("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.faults(json!({ "lose_commits": 1, "lose_prefix": "run/" }));
    let answer = running.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    let again = keyed("k", "b").to(fleet.entries[1].listen);
    assert_eq!((again.status, text(&again)), (200, text(&answer)));
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_frozen() {
    // The entry is frozen mid-run and wakes after everybody has given it up.
    let fleet = narrow();
    fleet.backends[0].set("none", 500);
    let running = in_background(&fleet, 0, keyed("k", "b"));
    wait_for_run(&fleet, "k");
    fleet.entries[0].process.signal(Signal::SIGSTOP);
    std::thread::sleep(std::time::Duration::from_secs(6));
    let meanwhile = keyed("k", "b").to(fleet.entries[1].listen);
    assert_eq!((meanwhile.status, run_of(&meanwhile)), (409, "unknown"));
    fleet.entries[0].process.signal(Signal::SIGCONT);
    let answer = running.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    let again = wait_for("the record is there", || {
        let again = keyed("k", "b").to(fleet.entries[1].listen);
        (again.status == 200).then_some(again)
    });
    assert_eq!(text(&again), text(&answer));
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_same_key_race() {
    let fleet = Plan::new(2, 2).without_config().start();
    for b in &fleet.backends {
        b.set("none", 50);
    }
    for round in 0..5 {
        let key = format!("k{round}");
        let threads: Vec<_> = (0..12)
            .map(|n| {
                let addr = fleet.entries[n % 2].listen;
                let key = key.clone();
                std::thread::spawn(move || keyed(&key, "b").to(addr))
            })
            .collect();
        for t in threads {
            let answer = t.join().expect("no panic");
            let told = (answer.status, run_of(&answer).to_string());
            let fits = matches!((told.0, told.1.as_str()), (200, "yes") | (409, "unknown"));
            assert!(fits, "{told:?}: {}", text(&answer));
        }
        assert_eq!(fleet.runs_of("key", &key), 1);
    }
}

#[test]
fn runs_refused_then_again() {
    let fleet = narrow();
    fleet.backends[0].set("refuse", 0);
    let refused = keyed("k", "b").to(fleet.entries[0].listen);
    assert_eq!((refused.status, run_of(&refused)), (503, "no"));
    assert_eq!(fleet.runs_of("key", "k"), 0);
    fleet.backends[0].set("none", 0);
    let again = keyed("k", "b").to(fleet.entries[1].listen);
    assert_eq!(
        (again.status, run_of(&again)),
        (200, "yes"),
        "{}",
        text(&again)
    );
    assert_eq!(fleet.runs_of("key", "k"), 1);
}

#[test]
fn runs_broken_not_repeated() {
    // Without a key as well: what may have run is not sent a second time.
    let fleet = Plan::new(3, 1).without_config().start();
    for fault in ["short", "close", "garbage"] {
        let call = post("/s/route/x", "b")
            .with("x-fault", fault)
            .with("x-mark", fault);
        let answer = call.to(fleet.entries[0].listen);
        assert_eq!(
            (answer.status, run_of(&answer)),
            (502, "unknown"),
            "{fault}"
        );
        assert_eq!(fleet.runs_of("mark", fault), 1, "{fault}");
        let call = get("/s/route/x")
            .with("x-fault", fault)
            .with("x-mark", "safe");
        assert_eq!(call.to(fleet.entries[0].listen).status, 502);
    }
    assert!(fleet.runs_of("mark", "safe") > 3, "a GET may be sent again");
}

#[test]
fn runs_not_run_is_true() {
    // Whatever was told "no" has no run at any backend server; whatever was told "yes" has one.
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
                let mut told = Vec::new();
                for n in 0..30 {
                    let mark = format!("t{t}-{n}");
                    let call = post("/s/route/x", "b")
                        .with("x-mark", &mark)
                        .with("rockwick-deadline-ms", 5 + (t * n) % 90);
                    let answer = smol::block_on(call.send(&client)).expect("an answer");
                    told.push((mark, run_of(&answer).to_string()));
                }
                told
            })
        })
        .collect();
    let told: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("no panic"))
        .collect();
    let mut runs = std::collections::HashMap::new();
    for run in fleet.backends.iter().flat_map(|b| b.runs()) {
        let mark = run["mark"].as_str().unwrap_or_default().to_string();
        *runs.entry(mark).or_insert(0) += 1;
    }
    let counts = |what: &str| told.iter().filter(|(_, run)| run == what).count();
    assert!(
        counts("no") > 0 && counts("yes") > 0,
        "{} {}",
        counts("no"),
        counts("yes")
    );
    for (mark, run) in told {
        let n = runs.get(&mark).copied().unwrap_or(0);
        match run.as_str() {
            "no" => assert_eq!(n, 0, "{mark} was told not run"),
            "yes" => assert_eq!(n, 1, "{mark}"),
            _ => assert!(n <= 1, "{mark}"),
        }
    }
}

#[test]
fn runs_accounts_apart() {
    let fleet = Plan::new(4, 1).start();
    let entry = fleet.entries[0].listen;
    let mine = keyed("k", "b").with("x-mark", "mine").to(entry);
    let theirs = keyed("k", "b")
        .with("authorization", "Bearer other")
        .with("x-mark", "theirs")
        .to(entry);
    assert_eq!((mine.status, theirs.status), (200, 200));
    assert!(text(&theirs).contains("theirs"), "{}", text(&theirs));
    assert_eq!(
        value(&get("/v1/status").to(fleet.entries[0].admin))["store"],
        "ok"
    );
}
