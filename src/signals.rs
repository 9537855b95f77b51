//! The signals that a daemon handles, from before it accepts its first connection until its end.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use smol::Timer;

use crate::error::{Error, Result};
use crate::event::{Code, Decision, Subject};

/// How often the process checks for signals.
const POLL_MS: u64 = 50;

/// Signals that the process has received.
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on, or returns an error if the system refuses.
    pub fn new() -> Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        register(SIGTERM, &signals.stop)?;
        register(SIGINT, &signals.stop)?;
        register(SIGHUP, &signals.reload)?;
        Ok(signals)
    }

    /// Waits until the process is told to stop, and passes `log` a line for each signal to reload until then.
    pub async fn wait_for_stop(&self, name: &str, log: impl Fn(Decision)) {
        while !self.stop.load(Ordering::SeqCst) {
            if self.reload.swap(false, Ordering::SeqCst) {
                let why = "SIGHUP received: flags and environment variables are read only at start";
                log(Decision::new(Code::Reloaded, Subject::Entry, name, why));
            }
            Timer::after(Duration::from_millis(POLL_MS)).await;
        }
    }
}

fn register(signal: i32, flag: &Arc<AtomicBool>) -> Result<()> {
    signal_hook::flag::register(signal, Arc::clone(flag))
        .map_err(|e| Error::Io("signal".to_string(), e))?;
    Ok(())
}
