//! `rockwick serve`: one entry of a scheduler on a platform of workers.
//!
//! One thread holds the scheduler's state and runs its effects, and another answers callers. This module starts both
//! for the `serve` command and handles the signals of the process.

mod control;
mod counts;
mod feeds;
mod find;
mod guests;
mod operations;
mod owned;
mod pool_rows;
mod queues;
pub mod settings;
mod shared;
mod status;
mod stop;
mod submit;
mod traffic;

use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use smol::{Async, Timer};

use crate::error::{Error, Result};
use crate::event::{Code, Decision, Subject};
use crate::guard::restart_thread_after_panic;
use crate::http::intake::limit_buffers;
use crate::log::Log;
use crate::metrics::CallUse;
use crate::platform::Platform;
use crate::signals::Signals;
use settings::ServeSettings;
use shared::Shared;
use stop::{Next, Stop};

/// How often the main thread checks for the end of a stop.
const STOP_POLL_MS: u64 = 50;

/// How long after SIGTERM connections stay open for requests that are under way. The balancer needs two checks, a
/// second apart, before it sends new requests to other entries, and callers may take 3 s to send one.
pub(crate) const KEEP_OPEN_MS: u64 = 3_200;

/// Serves until SIGTERM or SIGINT, and returns when the stop is complete.
pub fn run(settings: ServeSettings) -> Result<()> {
    let signals = Signals::new()?;
    let caller_listener = bind("listen", settings.listen)?;
    let readiness_listener = bind("ready", settings.ready)?;
    let metrics_listener = settings.metrics.map(|a| bind("metrics", a)).transpose()?;
    let shared = Arc::new(Shared::new(settings, Log::new()?));
    log_start(&shared);
    let (stop_sender, stop_receiver) = smol::channel::bounded(1);
    let traffic = Arc::clone(&shared);
    std::thread::Builder::new()
        .name("traffic".to_string())
        .spawn(move || {
            traffic::run(
                &traffic,
                caller_listener,
                readiness_listener,
                metrics_listener,
            )
        })
        .map_err(|e| Error::Io("traffic thread".to_string(), e))?;
    let control = Arc::clone(&shared);
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || {
            let run = || control::run(new_platform(&control), &control, stop_receiver.clone());
            let may_restart = || control.stopping_for_ms().is_none();
            let report = |why: &str| control.log_panic("the control thread", why);
            restart_thread_after_panic(run, may_restart, report);
        })
        .map_err(|e| Error::Io("control thread".to_string(), e))?;
    smol::block_on(wait_until_stopped(&shared, &signals, stop_sender));
    shared.log.close();
    Ok(())
}

fn new_platform(shared: &Shared) -> Platform {
    let usage = Arc::clone(&shared.metrics.platform_use);
    let settings = &shared.settings;
    Platform::new(settings.store, settings.hosts)
        .with_advice(settings.advice)
        .with_usage(usage)
}

fn bind(flag: &str, addr: std::net::SocketAddr) -> Result<Async<TcpListener>> {
    let io = |e| Error::Io(format!("--{flag} {addr}"), e);
    let listener = TcpListener::bind(addr).map_err(io)?;
    limit_buffers(&listener);
    Async::new(listener).map_err(io)
}

/// Logs the start with the main settings, and every unknown environment variable.
fn log_start(shared: &Shared) {
    let s = &shared.settings;
    let why = format!(
        "hall {}, callers {}, ready {}, store {}, hosts {:?}, {:?}",
        s.hall, s.listen, s.ready, s.store, s.hosts, s.deployment
    );
    shared.log_decision(Decision::new(
        Code::EntryStarted,
        Subject::Entry,
        &s.name,
        why,
    ));
    for variable in crate::config::unknown_variables() {
        let why =
            format!("environment variable {variable} is not a known setting and has no effect");
        shared.log_decision(Decision::new(
            Code::UnknownSetting,
            Subject::Entry,
            &s.name,
            why,
        ));
    }
}

/// Most kinds of calls that the line about the use of the platform names.
const USES_LOGGED_MAX: usize = 12;

/// Logs the calls to the platform and their bytes, those with the most bytes first.
fn log_platform_use(shared: &Shared) {
    let by_call = shared.metrics.platform_use.by_call();
    let total = |part: fn(&CallUse) -> u64| by_call.iter().map(|(_, used)| part(used)).sum();
    let uses = by_call.iter().take(USES_LOGGED_MAX);
    let uses = uses.map(|((call, table), used)| {
        let bytes = used.sent_bytes + used.received_bytes;
        format!("{call} {table}: {} calls, {bytes} bytes", used.calls)
    });
    let why = uses.collect::<Vec<_>>().join("; ");
    let name = &shared.settings.name;
    let decision = Decision::new(Code::PlatformUsed, Subject::Entry, name, why);
    let decision = decision
        .with("calls", total(|used| used.calls))
        .with("sent_bytes", total(|used| used.sent_bytes));
    shared.log_decision(decision.with("received_bytes", total(|used| used.received_bytes)));
}

/// Waits for SIGTERM or SIGINT and then until the process may end. After the signal, the entry reports at once that it
/// is not ready and releases its pools; callers are answered until their connections are closed or the time for a stop
/// is over.
async fn wait_until_stopped(
    shared: &Shared,
    signals: &Signals,
    stop_sender: smol::channel::Sender<()>,
) {
    let name = &shared.settings.name;
    signals
        .wait_for_stop(name, |decision| shared.log_decision(decision))
        .await;
    shared.begin_stop();
    shared.log_decision(Decision::new(
        Code::EntryStopping,
        Subject::Entry,
        name,
        "signal",
    ));
    // The control thread ends only with the process; a full channel means that the thread has this message already.
    let _ = stop_sender.try_send(());
    let mut stop = Stop::new();
    loop {
        shared.set_answer_by(stop.answer_by_ms());
        Timer::after(Duration::from_millis(STOP_POLL_MS)).await;
        let since_ms = shared.stopping_for_ms().unwrap_or_default();
        let open = shared.connections.load(Ordering::SeqCst);
        match stop.poll(since_ms, open, shared.is_listening()) {
            Next::Wait => {}
            Next::CloseListener => shared.end_listener(),
            Next::End(why) => {
                return log_stopped(shared, why, open, &stop);
            }
        }
    }
}

fn log_stopped(shared: &Shared, why: &str, open: u64, stop: &Stop) {
    log_platform_use(shared);
    let calls = shared.open_calls.load(Ordering::SeqCst);
    let name = &shared.settings.name;
    let decision = Decision::new(Code::EntryStopped, Subject::Entry, name, why);
    let decision = decision.with("connections", open).with("calls", calls);
    shared.log_decision(decision.with("standstills", stop.standstills()));
}
