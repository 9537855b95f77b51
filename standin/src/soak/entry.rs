//! Runs entries as separate processes: starts, signals and reaps them. Owns the child processes and their ports;
//! the fault injector calls it.

use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::disturbances::RECOVERY;

/// Longest time for a process to exit after SIGTERM. The platform kills it after 6 s.
const GRACE_MS: u64 = 6_500;

/// Holds one entry and its process, if one runs.
pub(crate) struct Entry {
    /// Name of the entry.
    pub(crate) name: String,
    /// Address where it takes callers' requests.
    pub(crate) caller_address: SocketAddr,
    /// Address of its readiness endpoint.
    pub(crate) ready_address: SocketAddr,
    store_address: SocketAddr,
    log: PathBuf,
    child: Option<Child>,
    /// Number of processes started so far.
    pub(crate) starts: Arc<AtomicU64>,
    stop_sent: Option<Instant>,
    started_at: Instant,
}

/// Hands out ports for entries. All listeners stay bound until the last port is handed out, because a port that is
/// freed at once may be handed out twice.
#[derive(Default)]
pub(crate) struct Ports {
    bound: Vec<TcpListener>,
}

impl Ports {
    /// Returns an address with a port that the system has just assigned. The entry's process binds it later, and again
    /// at each restart. The loopback address is derived from the soak's process id, so that no outgoing connection
    /// takes the port in between.
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
    /// Creates an entry without a process; it will reach the platform at `store_address`.
    pub(crate) fn new(
        name: &str,
        store_address: SocketAddr,
        logs: &Path,
        ports: &mut Ports,
    ) -> std::io::Result<Self> {
        Ok(Self {
            name: name.to_string(),
            caller_address: ports.next()?,
            ready_address: ports.next()?,
            store_address,
            log: logs.join(format!("{name}.log")),
            child: None,
            starts: Arc::default(),
            stop_sent: None,
            started_at: Instant::now(),
        })
    }

    /// Starts the process, if none runs.
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
            .args(["--listen", &self.caller_address.to_string()])
            .args(["--ready", &self.ready_address.to_string()])
            .args(["--store", &self.store_address.to_string()])
            .args(["--hosts", &self.store_address.to_string()])
            .stdout(Stdio::from(log))
            // A process group with a suspended member is resumed when its last parent outside of it ends.
            .process_group(0)
            .spawn()?;
        self.child = Some(child);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.started_at = Instant::now();
        self.stop_sent = None;
        Ok(())
    }

    /// Sends a signal to the process, if one runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        let Some(child) = &self.child else { return };
        match signal {
            Signal::SIGTERM => {
                self.stop_sent.get_or_insert_with(Instant::now);
            }
            // A suspended process cannot handle SIGTERM, so its grace period starts when it resumes.
            Signal::SIGCONT => self.stop_sent = self.stop_sent.map(|_| Instant::now()),
            _ => {}
        }
        // The process may have exited by itself; `reap` finds that out.
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
    }

    /// Reaps the process if it has exited; returns what was wrong with its exit, or that it is overdue.
    pub(crate) fn reap(&mut self, was_killed: bool) -> Option<String> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(Some(status)) => {
                self.child = None;
                let is_planned = was_killed || (self.stop_sent.is_some() && status.success());
                (!is_planned).then(|| format!("{} ended by itself: {status}", self.name))
            }
            Ok(None) => {
                let since = self.stop_sent?;
                let is_late = since.elapsed() > Duration::from_millis(GRACE_MS);
                let pid = child.id();
                is_late.then(|| {
                    let waited_s = processor_wait_s(pid).unwrap_or_default();
                    format!(
                        "{} still runs {GRACE_MS} ms after SIGTERM; it waited {waited_s} s for a processor",
                        self.name
                    )
                })
            }
            Err(e) => Some(format!("{}: {e}", self.name)),
        }
    }

    /// Returns whether the process had run for a while at a time, and is not told to stop.
    pub(crate) fn is_settled_at(&self, at: Instant) -> bool {
        let since = at.checked_duration_since(self.started_at);
        self.stop_sent.is_none() && since.is_some_and(|since| since > RECOVERY)
    }

    /// Returns whether a process runs.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

/// Returns for how many seconds of its life the main thread of a process was ready to run and had no processor.
fn processor_wait_s(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let wait_ns: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(wait_ns / 1_000_000_000)
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Ends only the process that this entry started, by its id.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
