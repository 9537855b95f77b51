//! Jobs are committed before they are accepted, are never lost, and run at most once unless they are repeatable.

use nix::sys::signal::Signal;
use rockwick::http::Answer;
use serde_json::{json, Value};

use crate::fleet::{body_json, body_text, get, post, wait_for, Call, Fleet, Plan};

/// Returns the spec of a job whose task runs for `run_ms` and ends in the state `end`.
fn job_spec(run_ms: u64, end: &str, repeatable: bool) -> Value {
    let payload = json!({ "run_ms": run_ms, "end": end }).to_string();
    json!({ "pool": "pool", "repeatable": repeatable, "payload": payload })
}

fn submit_job(fleet: &Fleet, entry: usize, job: &Value) -> String {
    let answer = post("/jobs", &job.to_string()).to(fleet.entries[entry].listen);
    assert_eq!(answer.status, 202, "{}", body_text(&answer));
    body_json(&answer)["job"]
        .as_str()
        .expect("an id")
        .to_string()
}

fn get_job(fleet: &Fleet, entry: usize, id: &str) -> Value {
    body_json(&get(&format!("/jobs/{id}")).to(fleet.entries[entry].listen))
}

fn wait_state(fleet: &Fleet, entry: usize, id: &str, state: &str) -> Value {
    wait_for(&format!("{id} is {state}"), || {
        let job = get_job(fleet, entry, id);
        (job["state"] == state).then_some(job)
    })
}

fn count_starts(fleet: &Fleet, id: &str) -> u64 {
    fleet.stats()["starts"][id].as_u64().unwrap_or(0)
}

fn wait_started(fleet: &Fleet, id: &str) {
    wait_for("the task starts", || {
        (count_starts(fleet, id) == 1).then_some(())
    });
}

fn cancel_job(fleet: &Fleet, entry: usize, id: &str) -> Answer {
    Call {
        method: http_types::Method::Delete,
        ..get(&format!("/jobs/{id}"))
    }
    .to(fleet.entries[entry].listen)
}

#[test]
fn jobs_done() {
    let fleet = Plan::new(4, 2).start();
    let ids: Vec<_> = (0..20)
        .map(|n| submit_job(&fleet, n % 2, &job_spec(100, "done", false)))
        .collect();
    for id in &ids {
        wait_state(&fleet, 0, id, "done");
        assert_eq!(count_starts(&fleet, id), 1, "{id}");
    }
}

#[test]
fn jobs_entry_killed() {
    // The entry that accepted the job is killed at once; another entry runs it.
    let fleet = Plan::new(4, 2).start();
    let id = submit_job(&fleet, 0, &job_spec(300, "done", false));
    fleet.entries[0].process.signal(Signal::SIGKILL);
    wait_state(&fleet, 1, &id, "done");
    assert_eq!(count_starts(&fleet, &id), 1);
}

/// The answers to the start of a task are lost: the repeated start must not run it a second time.
#[test]
fn jobs_start_answer_lost() {
    let fleet = Plan::new(4, 2).start();
    fleet.set_faults(json!({ "lose_task_answers": 2 }));
    let id = submit_job(&fleet, 0, &job_spec(500, "done", false));
    wait_state(&fleet, 0, &id, "done");
    assert_eq!(count_starts(&fleet, &id), 1);
}

/// The answer to the commit of a job is lost: the job must be accepted once and run once.
#[test]
fn jobs_accept_answer_lost() {
    let fleet = Plan::new(4, 2).start();
    fleet.set_faults(json!({ "lose_commits": 1, "lose_prefix": "job/" }));
    let id = submit_job(&fleet, 0, &job_spec(100, "done", false));
    wait_state(&fleet, 1, &id, "done");
    assert_eq!(count_starts(&fleet, &id), 1);
}

#[test]
fn jobs_lost_host() {
    // The host of a running job is lost: a repeatable job runs again, any other ends as unknown.
    let fleet = Plan::new(4, 2).start();
    for (repeatable, state, times) in [(true, "done", 2), (false, "unknown", 1)] {
        let id = submit_job(&fleet, 0, &job_spec(2_500, "done", repeatable));
        wait_started(&fleet, &id);
        let host = get_job(&fleet, 0, &id)["host"]
            .as_str()
            .expect("a host")
            .to_string();
        fleet.set_host_status(&host, "gone");
        wait_state(&fleet, 0, &id, state);
        assert_eq!(count_starts(&fleet, &id), times, "repeatable {repeatable}");
        fleet.set_host_status(&host, "live");
        fleet.wait_settled();
    }
}

#[test]
fn jobs_lease_lapses() {
    // No entry renews the lease while both are suspended, so the platform ends the task.
    let fleet = Plan::new(4, 2).start();
    let id = submit_job(&fleet, 0, &job_spec(60_000, "done", false));
    wait_started(&fleet, &id);
    let each = |signal| fleet.entries.iter().for_each(|e| e.process.signal(signal));
    each(Signal::SIGSTOP);
    std::thread::sleep(std::time::Duration::from_secs(12));
    each(Signal::SIGCONT);
    wait_state(&fleet, 0, &id, "unknown");
    assert_eq!(count_starts(&fleet, &id), 1);
}

#[test]
fn jobs_cancel() {
    let fleet = Plan::new(4, 2).start();
    // A running job is stopped.
    let running = submit_job(&fleet, 0, &job_spec(60_000, "done", false));
    wait_started(&fleet, &running);
    let answer = cancel_job(&fleet, 1, &running);
    assert_eq!(
        body_json(&answer)["state"],
        "cancelled",
        "{}",
        body_text(&answer)
    );
    // A job that has finished keeps its state, which the answer reports.
    let done = submit_job(&fleet, 0, &job_spec(50, "done", false));
    wait_state(&fleet, 0, &done, "done");
    let answer = cancel_job(&fleet, 0, &done);
    assert_eq!(
        (answer.status, &body_json(&answer)["state"]),
        (200, &json!("done"))
    );
    // A waiting job is never started.
    let large: Vec<_> = (0..4)
        .map(|_| {
            let mut spec = job_spec(60_000, "done", false);
            spec["cores"] = json!(16);
            submit_job(&fleet, 0, &spec)
        })
        .collect();
    large.iter().for_each(|id| wait_started(&fleet, id));
    let mut spec = job_spec(100, "done", false);
    spec["cores"] = json!(16);
    let waiting = submit_job(&fleet, 0, &spec);
    let answer = wait_for("the cancel is accepted", || {
        let answer = cancel_job(&fleet, 1, &waiting);
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(
        body_json(&answer)["state"],
        "cancelled",
        "{}",
        body_text(&answer)
    );
    assert_eq!(count_starts(&fleet, &waiting), 0);
}

/// Returns what the job's history and the log say about its cancellation and its end, in one text.
fn cancel_account(fleet: &Fleet, id: &str) -> String {
    let lines = fleet.entries[0].get_admin(&format!("/v1/explain/job/{id}"));
    let texts = lines.as_array().expect("lines").iter();
    let texts = texts.filter_map(|line| line["what"].as_str());
    texts.collect::<Vec<_>>().join("; ")
}

/// A job that an operator cancels must not be recorded as cancelled on its caller's wish, nor the other way round.
#[test]
fn jobs_cancelled_by() {
    let fleet = Plan::new(4, 2).start();
    let by_operator = submit_job(&fleet, 0, &job_spec(60_000, "done", false));
    let by_caller = submit_job(&fleet, 0, &job_spec(60_000, "done", false));
    wait_started(&fleet, &by_operator);
    wait_started(&fleet, &by_caller);
    wait_for("the operator's cancel is taken", || {
        let edit = json!({ "ask": "cancel", "account": null, "job": by_operator });
        (fleet.entries[0].send_edit(&edit).status == 200).then_some(())
    });
    assert_eq!(cancel_job(&fleet, 0, &by_caller).status, 200);
    wait_state(&fleet, 0, &by_operator, "cancelled");
    wait_state(&fleet, 0, &by_caller, "cancelled");
    let (operator, caller) = (
        cancel_account(&fleet, &by_operator),
        cancel_account(&fleet, &by_caller),
    );
    assert!(
        operator.contains("operator") && !operator.contains("caller"),
        "{operator}"
    );
    assert!(
        caller.contains("caller") && !caller.contains("operator"),
        "{caller}"
    );
}

#[test]
fn jobs_refused() {
    let fleet = Plan::new(4, 1).start();
    let entry = fleet.entries[0].listen;
    let cases = [
        (
            json!({ "pool": "pool", "cores": 17 }),
            422,
            "job-impossible",
        ),
        (
            json!({ "pool": "pool", "memory_mb": 99_999_999 }),
            422,
            "job-impossible",
        ),
        (json!({ "pool": "nowhere" }), 404, "unknown-pool"),
        (
            json!({ "pool": "pool", "payload": "x".repeat(20_000) }),
            413,
            "body-too-large",
        ),
    ];
    for (spec, status, kind) in cases {
        let answer = post("/jobs", &spec.to_string()).to(entry);
        assert_eq!(answer.status, status, "{}", body_text(&answer));
        assert_eq!(body_json(&answer)["type"], format!("/problems/{kind}"));
    }
    let id = submit_job(&fleet, 0, &job_spec(10, "done", false));
    let path = format!("/jobs/{id}");
    let theirs = get(&path).with("authorization", "Bearer other");
    assert_eq!(theirs.to(entry).status, 404, "another account's job");
    fleet.set_faults(json!({ "down": true }));
    wait_for("the outage is seen", || {
        (fleet.entries[0].get_admin("/v1/status")["store"] == "down").then_some(())
    });
    let answer = post("/jobs", &job_spec(10, "done", false).to_string()).to(entry);
    assert_eq!(
        (answer.status, answer.header("rockwick-run")),
        (503, Some("no"))
    );
}

/// A repeated key must return the same job at any entry, and a key with another spec must be refused.
#[test]
fn jobs_same_key() {
    let fleet = Plan::new(4, 2).start();
    let spec = job_spec(100, "done", false).to_string();
    let send = |entry: usize, body: &str| {
        post("/jobs", body)
            .with("idempotency-key", "wave-7")
            .to(fleet.entries[entry].listen)
    };
    let first = send(0, &spec);
    let again = wait_for("the other entry knows the job", || {
        let answer = send(1, &spec);
        (answer.status == 202).then_some(answer)
    });
    assert_eq!(body_json(&first)["job"], body_json(&again)["job"]);
    assert_eq!(
        send(0, &job_spec(101, "done", false).to_string()).status,
        422
    );
    let id = body_json(&first)["job"]
        .as_str()
        .expect("an id")
        .to_string();
    wait_state(&fleet, 0, &id, "done");
    assert_eq!(count_starts(&fleet, &id), 1);
}

#[test]
fn jobs_failure_cause() {
    let fleet = Plan::new(4, 1).start();
    // A job that fails wherever it runs is given up: the failure is the job's own.
    let bad = submit_job(&fleet, 0, &job_spec(50, "failed", true));
    let failed_job = wait_state(&fleet, 0, &bad, "failed");
    assert_eq!(count_starts(&fleet, &bad), 3);
    assert_eq!(failed_job["failed_on"].as_array().map(Vec::len), Some(2));
    // A host that fails every job is avoided after a few failures, and the jobs succeed elsewhere.
    let payload = json!({ "run_ms": 50, "fail_on": ["h2"] }).to_string();
    let spec = json!({ "pool": "pool", "repeatable": true, "cores": 6, "payload": payload });
    let ids: Vec<_> = (0..24).map(|_| submit_job(&fleet, 0, &spec)).collect();
    for id in &ids {
        wait_state(&fleet, 0, id, "done");
    }
    let on_bad = ids.iter().filter(|id| count_starts(&fleet, id) > 1).count();
    assert!(
        (1..=8).contains(&on_bad),
        "{on_bad} jobs went to the bad host"
    );
    assert_eq!(fleet.entries[0].count_logged("host-fails-jobs"), 1);
}

/// Drains that stop a repeatable job are planned; they must not use up the losses after which it is given up.
#[test]
fn jobs_planned_stops() {
    let fleet = Plan::new(4, 2).start();
    let id = submit_job(&fleet, 0, &job_spec(60_000, "done", true));
    wait_started(&fleet, &id);
    let host = get_job(&fleet, 0, &id)["host"].clone();
    let edit = json!({ "ask": "drain", "host": host, "reboot": true, "why": "test" });
    assert_eq!(fleet.entries[0].send_edit(&edit).status, 200);
    wait_for("the job moves", || {
        let at = get_job(&fleet, 0, &id)["host"].clone();
        (at.is_string() && at != host).then_some(())
    });
    let view = fleet.entries[0].get_admin(&format!("/v1/jobs/{id}"));
    assert_eq!(view["row"]["losses"], 0, "{view}");
}

#[test]
fn jobs_leave_host() {
    // The drain of a host waits for a job that may not be repeated, and moves a repeatable job to another host.
    let fleet = Plan::new(4, 2).start();
    let stays = submit_job(&fleet, 0, &job_spec(4_000, "done", false));
    let moves = submit_job(&fleet, 0, &job_spec(4_000, "done", true));
    wait_started(&fleet, &stays);
    wait_started(&fleet, &moves);
    let host = get_job(&fleet, 0, &stays)["host"]
        .as_str()
        .expect("a host")
        .to_string();
    assert_eq!(
        get_job(&fleet, 0, &moves)["host"],
        host.as_str(),
        "both jobs are placed on one host"
    );
    let edit = json!({ "ask": "drain", "host": host, "reboot": true, "why": "test" });
    assert_eq!(fleet.entries[0].send_edit(&edit).status, 200);
    wait_for("the repeatable job moves", || {
        let at = get_job(&fleet, 0, &moves)["host"].clone();
        (at.is_string() && at != host.as_str()).then_some(())
    });
    wait_state(&fleet, 0, &stays, "done");
    wait_state(&fleet, 0, &moves, "done");
    wait_for("the host is rebooted", || {
        (fleet.stats()["reboots"][&host] == 1).then_some(())
    });
    assert_eq!(count_starts(&fleet, &stays), 1);
    assert_eq!(fleet.stats()["reboots_over_tasks"], 0);
}
