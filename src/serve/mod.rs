//! `rockwick serve`: an entry on a platform of workers.
//!
//! One thread keeps the control state and carries its effects out; another answers callers.

mod control;
mod feeds;
mod front;
mod operations;
pub mod settings;
mod shared;
mod side;
mod stop;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use smol::{Async, Timer};

use crate::error::{Error, Result};
use crate::event::{Code, Decision, Subject};
use crate::log::Log;
use crate::platform::Platform;
use settings::ServeSettings;
use shared::Shared;
use stop::Stop;

/// How often signals are looked at.
const SIGNAL_LOOK_MS: u64 = 50;

/// After SIGTERM, how long connections stay open for requests that are under way: the balancer needs two
/// looks, a second apart, to send new ones elsewhere, and callers may send for 3 s.
pub(crate) const LAME_MS: u64 = 3_200;

/// Serves until SIGTERM.
pub fn run(settings: ServeSettings) -> Result<()> {
    let callers = bind("listen", settings.listen)?;
    let balancer = bind("ready", settings.ready)?;
    let figures = settings.metrics.map(|a| bind("metrics", a)).transpose()?;
    let shared = Arc::new(Shared::new(settings, Log::new()?));
    tell_start(&shared);
    let (leave, left) = smol::channel::bounded(1);
    let traffic = Arc::clone(&shared);
    std::thread::Builder::new()
        .name("traffic".to_string())
        .spawn(move || front::run(&traffic, callers, balancer, figures))
        .map_err(|e| Error::Io("traffic thread".to_string(), e))?;
    let control = Arc::clone(&shared);
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || control::run(platform(&control), &control, left))
        .map_err(|e| Error::Io("control thread".to_string(), e))?;
    smol::block_on(until_stopped(&shared, leave))?;
    shared.log.close();
    Ok(())
}

fn platform(shared: &Shared) -> Platform {
    Platform::new(shared.settings.store, shared.settings.hosts)
}

fn bind(flag: &str, addr: std::net::SocketAddr) -> Result<Async<TcpListener>> {
    let io = |e| Error::Io(format!("--{flag} {addr}"), e);
    let listener = TcpListener::bind(addr).map_err(io)?;
    Async::new(listener).map_err(io)
}

fn tell_start(shared: &Shared) {
    let s = &shared.settings;
    let why = format!(
        "hall {}, callers {}, ready {}, store {}, hosts {:?}",
        s.hall, s.listen, s.ready, s.store, s.hosts
    );
    shared.tell(Decision::new(
        Code::EntryStarted,
        Subject::Entry,
        &s.name,
        why,
    ));
    for variable in crate::config::unknown_variables() {
        let why = format!("{variable} is no setting");
        shared.tell(Decision::new(
            Code::UnknownSetting,
            Subject::Entry,
            &s.name,
            why,
        ));
    }
}

fn flag(signal: i32) -> Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal, Arc::clone(&flag))
        .map_err(|e| Error::Io("signal".to_string(), e))?;
    Ok(flag)
}

/// SIGTERM: not ready at once, pools are given up at once; callers are answered until they are gone.
async fn until_stopped(shared: &Shared, leave: smol::channel::Sender<()>) -> Result<()> {
    let term = flag(signal_hook::consts::SIGTERM)?;
    let int = flag(signal_hook::consts::SIGINT)?;
    let hup = flag(signal_hook::consts::SIGHUP)?;
    let name = &shared.settings.name;
    while !term.load(Ordering::SeqCst) && !int.load(Ordering::SeqCst) {
        if hup.swap(false, Ordering::SeqCst) {
            let why = "SIGHUP: flags and variables stay as they are while the process runs";
            shared.tell(Decision::new(Code::Reloaded, Subject::Entry, name, why));
        }
        Timer::after(Duration::from_millis(SIGNAL_LOOK_MS)).await;
    }
    let now_ms = shared.clock.now_ms().max(1);
    shared.stopping_at_ms.store(now_ms, Ordering::SeqCst);
    shared.tell(Decision::new(
        Code::EntryStopping,
        Subject::Entry,
        name,
        "signal",
    ));
    // The control thread ends only with the process; a full channel means that it was told.
    let _ = leave.try_send(());
    let mut stop = Stop::new();
    loop {
        Timer::after(Duration::from_millis(SIGNAL_LOOK_MS)).await;
        let since_ms = shared.stopping_for_ms().unwrap_or_default();
        let open = shared.connections.load(Ordering::SeqCst);
        if let Some(why) = stop.look(since_ms, open) {
            let decision = Decision::new(Code::EntryStopped, Subject::Entry, name, why);
            let decision = decision.with("connections", open);
            shared.tell(decision.with("standstills", stop.standstills()));
            return Ok(());
        }
    }
}
