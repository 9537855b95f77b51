//! Entries as separate processes: started, paused, told to stop, killed, started again.

use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// After SIGTERM a process must be gone by then; the platform kills it after 6 s.
const GRACE_MS: u64 = 6_500;

/// One entry.
pub(crate) struct Entry {
    /// Its name.
    pub(crate) name: String,
    /// Where callers reach it.
    pub(crate) callers: SocketAddr,
    /// Where it says whether it is ready.
    pub(crate) ready: SocketAddr,
    store: SocketAddr,
    log: PathBuf,
    child: Option<Child>,
    /// Processes started so far.
    pub(crate) starts: u64,
    told_to_stop: Option<Instant>,
}

/// Ports for entries. Those given out stay bound until all are: freed at once, one may be given out twice.
#[derive(Default)]
pub(crate) struct Ports {
    bound: Vec<TcpListener>,
}

impl Ports {
    /// A port that the system just gave out; bound by the process a moment later, and again at each restart. The
    /// address is this soak's own, so that no connection that goes out takes the port meanwhile.
    fn next(&mut self) -> std::io::Result<SocketAddr> {
        let [high, low, ..] = std::process::id().to_be_bytes()[2..] else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        let listener = TcpListener::bind((Ipv4Addr::new(127, 100, high, low.max(1)), 0))?;
        let address = listener.local_addr()?;
        self.bound.push(listener);
        Ok(address)
    }
}

impl Entry {
    /// An entry that is not started yet, and reaches the platform at `store`.
    pub(crate) fn new(
        name: &str,
        store: SocketAddr,
        logs: &Path,
        ports: &mut Ports,
    ) -> std::io::Result<Self> {
        Ok(Self {
            name: name.to_string(),
            callers: ports.next()?,
            ready: ports.next()?,
            store,
            log: logs.join(format!("{name}.log")),
            child: None,
            starts: 0,
            told_to_stop: None,
        })
    }

    /// Starts its process, if none runs.
    pub(crate) fn start(&mut self, binary: &Path) -> std::io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(binary)
            .args(["serve", "--hall", "hall", "--name", &self.name])
            .args(["--listen", &self.callers.to_string()])
            .args(["--ready", &self.ready.to_string()])
            .args(["--store", &self.store.to_string()])
            .args(["--hosts", &self.store.to_string()])
            .stdout(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        self.starts += 1;
        self.told_to_stop = None;
        Ok(())
    }

    /// Sends a signal to its process, if one runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        let Some(child) = &self.child else { return };
        match signal {
            Signal::SIGTERM => {
                self.told_to_stop.get_or_insert_with(Instant::now);
            }
            // It could not see the signal while it stood still: its time runs from now on.
            Signal::SIGCONT => self.told_to_stop = self.told_to_stop.map(|_| Instant::now()),
            _ => {}
        }
        // It may have ended by itself: `ended` finds that out.
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
    }

    /// Takes note of an end of the process; says what was wrong with it, if something was.
    pub(crate) fn ended(&mut self, was_killed: bool) -> Option<String> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(Some(status)) => {
                self.child = None;
                let is_planned = was_killed || (self.told_to_stop.is_some() && status.success());
                (!is_planned).then(|| format!("{} ended by itself: {status}", self.name))
            }
            Ok(None) => {
                let since = self.told_to_stop?;
                let is_late = since.elapsed() > Duration::from_millis(GRACE_MS);
                is_late.then(|| format!("{} still runs {GRACE_MS} ms after SIGTERM", self.name))
            }
            Err(e) => Some(format!("{}: {e}", self.name)),
        }
    }

    /// Whether a process runs.
    pub(crate) fn runs(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The soak is over: only what it started is ended, by its id.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
