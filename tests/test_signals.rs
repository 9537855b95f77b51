//! Both daemons keep serving through signals to reload.

use std::net::TcpStream;

use nix::sys::signal::Signal;
use standin::fleet::Fleet;

use crate::fleet::{get, post, wait_for, Plan, Process};
use crate::test_serve::{get_status, wait_until};

/// SIGHUP ended the process with its requests.
#[test]
fn signals_reload_entry() {
    let mut fleet = Plan::new(1, 1).without_config().start();
    let addr = fleet.entries[0].listen;
    let long = std::thread::spawn(move || {
        post("/s/route/x", "long")
            .with("x-work-ms", 1_000)
            .to(addr)
            .status
    });
    wait_for("the request runs", || {
        (fleet.backends[0].stats()["in_flight"] == 1).then_some(())
    });
    fleet.entries[0].process.signal(Signal::SIGHUP);
    assert_eq!(long.join().expect("no panic"), 200);
    assert_eq!(get("/s/route/x").to(addr).status, 200);
    let lines = fleet.entries[0].process.lines();
    assert!(lines.iter().any(|line| line.contains("\"reloaded\"")));
    fleet.entries[0].process.signal(Signal::SIGTERM);
    assert_eq!(fleet.entries[0].process.wait_exit(), Some(0));
}

/// A process that accepts connections already handles signals.
#[test]
fn signals_at_start() {
    let fleet = Fleet::start("pool", 1, 50).expect("the stand-in starts");
    fleet.configure(1, "pool");
    for n in 0..10 {
        let (callers, ready) = (crate::fleet::free_addr(), crate::fleet::free_addr());
        let args = format!(
            "serve --name e{n} --hall hall --listen {callers} --ready {ready} --store {store} --hosts {store}",
            store = fleet.address
        );
        let args: Vec<String> = args.split(' ').map(str::to_string).collect();
        let mut process = Process::start("rockwick", &args);
        while TcpStream::connect(callers).is_err() {
            std::thread::yield_now();
        }
        process.signal(Signal::SIGHUP);
        wait_until("ready", || get_status(ready, "/readyz") == Some(200));
        process.signal(Signal::SIGTERM);
        assert_eq!(process.wait_exit(), Some(0));
    }
}
