//! A planned stop of an entry cuts no request.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use standin::fleet::{Fleet, StoreFault};

use crate::fleet::{
    failures, free_addr, get, post, wait_for, LoadCallers, Plan, Process, WAIT_MAX,
};
use crate::test_serve::{self, submit_job};

/// The time that the store takes for a write.
const STORE_WRITE_MS: u64 = 300;

/// The number of calls that arrive while the entry is suspended.
const CALLS_WHILE_SUSPENDED: u64 = 64;

/// Long enough for the first call to begin, and shorter than [`STORE_WRITE_MS`], so that its write is still open.
const FIRST_CALL_WAIT: Duration = Duration::from_millis(150);

/// The time for which the entry is suspended; longer than a stop may take.
const SUSPENSION: Duration = Duration::from_secs(6);

/// The number of entries that are stopped while they start.
const EARLY_STOPS: usize = 10;

/// An entry is stopped under load: it must refuse to be ready, finish its requests and leave, and no request may fail.
#[test]
fn stop_under_load() {
    let mut fleet = Plan::new(4, 2).start();
    let addr = fleet.entries[0].listen;
    let load = LoadCallers::start(&[addr, fleet.entries[1].listen], 4, 20);
    let long = std::thread::spawn(move || {
        post("/s/route/x", "long")
            .with("x-work-ms", 3_000)
            .to(addr)
            .status
    });
    wait_for("every backend server has begun requests", || {
        let has_runs = |b: &crate::fleet::Backend| b.runs().len() > 5;
        fleet.backends.iter().all(has_runs).then_some(())
    });
    fleet.entries[0].process.signal(Signal::SIGTERM);
    wait_for("the entry is not ready", || {
        (!fleet.entries[0].is_ready()).then_some(())
    });
    assert_eq!(long.join().expect("no panic"), 200);
    assert_eq!(fleet.entries[0].process.wait_exit(), Some(0));
    let outcomes = load.stop();
    assert!(failures(&outcomes).is_empty(), "{:?}", failures(&outcomes));
    wait_for("e1 has left", || {
        let status = fleet.entries[1].get_admin("/v1/status");
        let mut entries = status["entries"].as_array()?.iter();
        entries
            .any(|e| e["name"] == "e1" && e["state"] == "left")
            .then_some(())
    });
}

/// A request that hangs must not keep a stopping entry running beyond `--stop-ms`.
#[test]
fn stop_is_bounded() {
    let mut fleet = Plan::new(1, 1)
        .without_config()
        .with_entry_args(&["--stop-ms", "500"])
        .start();
    let addr = fleet.entries[0].listen;
    let hung = std::thread::spawn(move || {
        post("/s/route/x", "b")
            .with("x-fault", "hang")
            .try_to(addr)
            .is_ok()
    });
    wait_for("the request hangs", || {
        (fleet.backends[0].stats()["in_flight"] == 1).then_some(())
    });
    fleet.entries[0].process.signal(Signal::SIGTERM);
    assert_eq!(fleet.entries[0].process.wait_exit(), Some(0));
    assert!(!hung.join().expect("no panic"));
}

#[test]
fn stop_idle_connection() {
    // The connection of an idle caller is closed and does not keep the entry running.
    let mut fleet = Plan::new(1, 1).without_config().start();
    let client = rockwick::http::Client::new(fleet.entries[0].listen);
    let answer = smol::block_on(get("/s/route/x").send(&client)).expect("an answer");
    assert_eq!(answer.status, 200);
    fleet.entries[0].process.signal(Signal::SIGTERM);
    assert_eq!(fleet.entries[0].process.wait_exit(), Some(0));
}

/// An entry of `serve` is suspended while it stops and resumes after its time to stop has passed. The call that it had
/// begun must be answered, and calls that arrived meanwhile must be refused; none may be cut.
#[test]
fn stop_suspended() {
    let fleet = Fleet::start("pool", 1, 50).expect("the stand-in starts");
    fleet.configure(1, "pool");
    let mut one = test_serve::start_entry(&fleet, "e1");
    let to = one.callers;
    let send = |n: u64| std::thread::spawn(move || submit_job(to, &format!("{n:016x}"), "work"));
    fleet.set_store_fault(StoreFault::Turns(STORE_WRITE_MS));
    one.process.signal(Signal::SIGTERM);
    wait_for("the entry has noticed the signal", || {
        let lines = one.lines();
        let is_stopping = lines.iter().any(|l| l.contains("\"entry-stopping\""));
        is_stopping.then_some(())
    });
    let first = send(0);
    std::thread::sleep(FIRST_CALL_WAIT);
    one.process.signal(Signal::SIGSTOP);
    let late_calls: Vec<_> = (1..=CALLS_WHILE_SUSPENDED).map(send).collect();
    std::thread::sleep(SUSPENSION);
    one.process.signal(Signal::SIGCONT);
    let answers = late_calls
        .into_iter()
        .map(|thread| thread.join().expect("no panic"));
    let answers: Vec<Option<u16>> = answers.collect();
    assert!(matches!(first.join().expect("no panic"), Some(200 | 504)));
    let refused = answers.iter().filter(|status| **status == Some(503));
    assert_eq!(refused.count() as u64, CALLS_WHILE_SUSPENDED, "{answers:?}");
    assert_eq!(one.process.wait_exit(), Some(0));
}

/// SIGHUP and SIGTERM that arrive as soon as an entry accepts connections are handled like later ones.
#[test]
fn stop_while_starting() {
    let fleet = Fleet::start("pool", 1, 50).expect("the stand-in starts");
    fleet.configure(1, "pool");
    for _ in 0..EARLY_STOPS {
        let (callers, ready, store) = (free_addr(), free_addr(), fleet.address);
        let args = format!(
            "serve --name e1 --hall hall --listen {callers} --ready {ready} --store {store} --hosts {store}"
        );
        let args: Vec<String> = args.split(' ').map(str::to_string).collect();
        let mut process = Process::start("rockwick", &args);
        let deadline = Instant::now() + WAIT_MAX;
        while TcpStream::connect(callers).is_err() {
            assert!(Instant::now() < deadline, "the entry accepts connections");
            std::thread::sleep(Duration::from_micros(200));
        }
        process.signal(Signal::SIGHUP);
        process.signal(Signal::SIGTERM);
        assert_eq!(process.wait_exit(), Some(0));
    }
}
