//! The entry daemon: starts its threads, accepts callers' connections and stops in order.
//!
//! Callers' requests run on the traffic threads, decisions on one control thread, and each peer is polled from a
//! thread of its own. The `entry` command calls [`run`].

mod admin;
mod balance;
mod control;
mod keyed;
mod peer;
mod shared;
mod traffic;
mod upstream;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{Async, Timer};

use crate::auth;
use crate::clock::wall_ms;
use crate::config::{self, Settings};
use crate::core::connections::ConnectionLimits;
use crate::error::{Error, Result};
use crate::event::{Code, Decision, Subject};
use crate::http::intake::limit_buffers;
use crate::http::{server, Intake, Limits, Seat};
use crate::log::Log;
use crate::runtime::Runtime;
use crate::signals::Signals;
use crate::util::CountGuard;
use shared::Shared;

/// Runs an entry until SIGTERM or SIGINT; returns when the last connection has ended or `stop_ms` has passed.
pub fn run(settings: Settings) -> Result<()> {
    let signals = Signals::new()?;
    let caller_listener = bind_listener("listen", settings.listen)?;
    let operator_listener = bind_listener("admin", settings.admin)?;
    let log = Log::new()?;
    let runtime = Runtime::new("traffic", settings.threads)
        .map_err(|e| Error::Io("traffic threads".to_string(), e))?;
    let incarnation = fastrand::u64(1..);
    let (shared, inbox) = Shared::new(settings, log, runtime, incarnation);
    let shared = Arc::new(shared);
    log_panics(&shared);
    log_start(&shared);
    peer::start(&shared)?;
    let control = control::start(Arc::clone(&shared), inbox, operator_listener)?;
    runtime
        .spawn(accept_callers(Arc::clone(&shared), caller_listener))
        .detach();
    smol::block_on(wait_until_stopped(&shared, &signals));
    shared.send_to_control(control::Message::Leave);
    let _ = control.join();
    shared.log.close();
    Ok(())
}

fn bind_listener(flag: &str, addr: SocketAddr) -> Result<Async<TcpListener>> {
    let io = |e| Error::Io(format!("--{flag} {addr}"), e);
    let listener = TcpListener::bind(addr).map_err(io)?;
    limit_buffers(&listener);
    Async::new(listener).map_err(io)
}

/// Logs each panic as one event, since a panic is a fault of the entry. A panic of a future that serves a connection
/// ends that connection only; the thread continues with its other work.
fn log_panics(shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    std::panic::set_hook(Box::new(move |info| {
        let name = &shared.settings.name;
        shared.log_decision(Decision::new(
            Code::Fault,
            Subject::Entry,
            name,
            info.to_string(),
        ));
    }));
}

fn log_start(shared: &Shared) {
    let s = &shared.settings;
    let why = format!(
        "hall {}, callers {}, operators {}, peers {} at {:?}, platform {}",
        s.hall, s.listen, s.admin, s.peer_listen, s.peers, s.platform
    );
    shared.log_decision(
        Decision::new(Code::EntryStarted, Subject::Entry, &s.name, why)
            .with("incarnation", shared.incarnation)
            .with("threads", s.threads as u64)
            .with("wall_ms", wall_ms()),
    );
    for variable in config::unknown_variables() {
        let why = format!("environment variable {variable} is not a known setting");
        shared.log_decision(Decision::new(
            Code::UnknownSetting,
            Subject::Entry,
            &s.name,
            why,
        ));
    }
    let why = format!(
        "the token {:?} is accepted while no accounts are configured",
        auth::DEMO_ACCOUNT
    );
    shared.log_decision(Decision::new(
        Code::DemoAccount,
        Subject::Entry,
        &s.name,
        why,
    ));
}

async fn accept_callers(shared: Arc<Shared>, listener: Async<TcpListener>) {
    const CHECK_MS: u64 = 50;
    let limits = shared
        .settings
        .process
        .for_callers(shared.settings.body_bytes);
    let intake = Arc::new(new_intake(&shared, limits));
    while !shared.accept_stopped.load(Ordering::SeqCst) {
        let next = async { Some(intake.accept(&listener).await) };
        let timeout = async {
            Timer::after(Duration::from_millis(CHECK_MS)).await;
            None
        };
        match next.or(timeout).await {
            Some(Ok(seat)) => serve_connection(&shared, seat),
            // The process is most likely out of file descriptors, so wait until some are closed.
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(10)).await;
            }
            None => {}
        }
    }
    // Connections that were made before the listener closes are still served.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        if let Ok(stream) = Async::new(stream) {
            serve_connection(&shared, intake.seat(stream));
        }
    }
    shared.listener_closed.store(true, Ordering::SeqCst);
}

/// Returns the connections of a listener, whose refusals the metrics show.
fn new_intake(shared: &Shared, limits: ConnectionLimits) -> Intake {
    Intake::new(limits).with_counts(Arc::clone(&shared.metrics.intake))
}

fn serve_connection(shared: &Arc<Shared>, seat: Seat) {
    let connected = CountGuard::new(Arc::clone(&shared.connections));
    let shared = Arc::clone(shared);
    let runtime = shared.runtime;
    runtime.spawn_detached(async move {
        let _connected = connected;
        let limits = Limits {
            body_bytes: shared.settings.body_bytes,
            ..Limits::default()
        };
        let stopping = || shared.stopping.load(Ordering::SeqCst);
        let handle = |incoming| traffic::handle_request(&shared, incoming);
        server::serve_seat(seat, limits, stopping, handle).await;
    });
}

/// Waits for SIGTERM or SIGINT and then stops in order.
///
/// `/readyz` fails from the signal on, but the entry accepts new connections for another `grace_ms`, so that the load
/// balancer notices first. Then it accepts no more connections and waits up to `stop_ms` for the open ones.
async fn wait_until_stopped(shared: &Shared, signals: &Signals) {
    const CHECK_MS: u64 = 50;
    let name = shared.settings.name.clone();
    signals
        .wait_for_stop(&name, |decision| shared.log_decision(decision))
        .await;
    shared.stopping.store(true, Ordering::SeqCst);
    shared.log_decision(Decision::new(
        Code::EntryStopping,
        Subject::Entry,
        &name,
        "signal",
    ));
    Timer::after(Duration::from_millis(shared.settings.grace_ms)).await;
    shared.accept_stopped.store(true, Ordering::SeqCst);
    let began_ms = shared.clock.now_ms();
    let is_serving =
        || !shared.listener_closed.load(Ordering::SeqCst) || count_connections(shared) > 0;
    while is_serving() {
        if shared.clock.now_ms() - began_ms > shared.settings.stop_ms {
            break;
        }
        Timer::after(Duration::from_millis(CHECK_MS)).await;
    }
    let left = count_connections(shared);
    let why = if left == 0 {
        "all connections have ended"
    } else {
        "the longest wait for open connections has passed"
    };
    shared.log_decision(
        Decision::new(Code::EntryStopped, Subject::Entry, &name, why).with("connections", left),
    );
}

fn count_connections(shared: &Shared) -> u64 {
    shared.connections.load(Ordering::SeqCst)
}
