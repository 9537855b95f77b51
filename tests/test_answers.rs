//! Every caller receives the whole answer to its own request, whatever a backend server sends and whenever it does.

use std::sync::Arc;

use rockwick::http::Client;

use crate::fleet::{body_text, get, post, Plan};

/// Fault of the backend server, and the status and `Rockwick-Run` header that the caller of a POST receives.
const CASES: [(&str, u16, &str); 13] = [
    ("none", 200, "yes"),
    ("fail", 500, "yes"),
    ("short", 502, "unknown"),
    ("close", 502, "unknown"),
    ("close-delimited", 502, "unknown"),
    ("stray", 200, "yes"),
    ("double", 200, "yes"),
    ("two-lengths", 502, "unknown"),
    ("interim", 502, "unknown"),
    ("garbage", 502, "unknown"),
    ("chunked", 200, "yes"),
    ("cut-chunk", 502, "unknown"),
    ("refuse", 503, "no"),
];

#[test]
fn answers_cases() {
    let fleet = Plan::new(2, 1).without_config().start();
    let entry = fleet.entries[0].listen;
    for (fault, status, run) in CASES {
        // Three requests on one connection: leftover bytes of an earlier answer would show in a later one.
        let client = Client::new(entry);
        for n in 0..3 {
            let mark = format!("{fault}-{n}");
            let call = post("/s/route/x", "body")
                .with("x-fault", fault)
                .with("x-mark", &mark);
            let answer = smol::block_on(call.send(&client)).expect("an answer");
            assert_eq!(answer.status, status, "{mark}: {}", body_text(&answer));
            assert_eq!(answer.header("rockwick-run"), Some(run), "{mark}");
            if status == 200 {
                let body = body_text(&answer);
                assert!(body.ends_with(&format!(" {mark} body")), "{mark}: {body}");
            }
            let plain = get("/s/route/x").with("x-mark", "plain");
            let plain = smol::block_on(plain.send(&client)).expect("an answer");
            assert!(
                body_text(&plain).contains(" plain "),
                "after {mark}: {}",
                body_text(&plain)
            );
        }
    }
}

/// An answer that arrives after its request timed out must not be given to the next request.
#[test]
fn answers_late() {
    let fleet = Plan::new(1, 1).without_config().start();
    let client = Client::new(fleet.entries[0].listen);
    for n in 0..5 {
        let slow = post("/s/route/x", "slow")
            .with("x-work-ms", 300)
            .with("rockwick-deadline-ms", 100);
        let answer = smol::block_on(slow.send(&client)).expect("an answer");
        assert_eq!(answer.status, 504);
        assert_eq!(answer.header("rockwick-run"), Some("unknown"));
        let mark = format!("after-{n}");
        let next = post("/s/route/x", "b").with("x-mark", &mark);
        let answer = smol::block_on(next.send(&client)).expect("an answer");
        assert!(body_text(&answer).contains(&mark), "{}", body_text(&answer));
    }
}

#[test]
fn answers_marked() {
    // Many concurrent callers, each with its own marks, under all faults and with time-outs: no answer may reach
    // another caller.
    const CALLERS: u64 = 32;
    const REQUESTS_EACH: u64 = 100;
    let fleet = Plan::new(3, 2).without_config().start();
    let entries: Vec<_> = fleet.entries.iter().map(|e| e.listen).collect();
    let threads: Vec<_> = (0..CALLERS)
        .map(|caller_id| {
            let client = Arc::new(Client::new(entries[caller_id as usize % entries.len()]));
            std::thread::spawn(move || send_marked_requests(caller_id, REQUESTS_EACH, &client))
        })
        .collect();
    let answered: u64 = threads
        .into_iter()
        .map(|t| t.join().expect("every caller got its own answers"))
        .sum();
    assert!(
        answered > CALLERS * REQUESTS_EACH / 4,
        "only {answered} answers with status 200"
    );
}

fn send_marked_requests(caller_id: u64, request_count: u64, client: &Client) -> u64 {
    let mut rng = fastrand::Rng::with_seed(caller_id);
    let mut answered = 0;
    for n in 0..request_count {
        let mark = format!("m-{caller_id}-{n}");
        let body = "z".repeat(rng.usize(0..5000));
        let mut call = post("/s/route/x", &body).with("x-mark", &mark);
        if rng.u32(0..4) == 0 {
            call = call.with("x-fault", CASES[rng.usize(..CASES.len())].0);
        }
        if rng.u32(0..8) == 0 {
            call = call.with("x-work-ms", 30).with("rockwick-deadline-ms", 15);
        }
        let answer = smol::block_on(call.send(client)).expect("an answer");
        if answer.status == 200 {
            let got = body_text(&answer);
            assert!(
                got.ends_with(&format!(" {mark} {body}")),
                "{mark} got {} bytes",
                got.len()
            );
            answered += 1;
        }
    }
    answered
}

/// The caller must receive the backend server's headers, and the request id that the backend server received.
#[test]
fn answers_headers() {
    let fleet = Plan::new(1, 1).without_config().start();
    let answer = get("/s/route/x?q=1")
        .with("x-mark", "m")
        .with("connection", "x-secret")
        .with("x-secret", "s")
        .to(fleet.entries[0].listen);
    assert_eq!(answer.header("x-mark"), Some("m"));
    assert!(answer.header("rockwick-request").is_some());
    let run = &fleet.backends[0].runs()[0];
    assert_eq!(
        run["request"],
        answer.header("rockwick-request").unwrap_or("-")
    );
    assert_eq!(run["token"], "");
}
