//! Checks on a thread of its own that entries apply configurations in time and never go back. An entry that does not
//! answer must not keep the fault injector from ending its faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::callers::{lock, Caller, Callers};

/// Longest time for an undisturbed entry to apply a configuration change.
const CONFIG_MS: u64 = 2_500;

/// Pause between two looks at all entries.
const PAUSE: Duration = Duration::from_millis(20);

/// Holds the newest configuration; version N has N - 1 queues besides the first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewestConfig {
    /// Its version.
    pub(crate) version: u64,
    /// When it was written.
    pub(crate) changed_at: Instant,
}

/// Holds the newest configuration version that an entry's process has shown.
struct SeenConfig {
    version: u64,
    process: u64,
}

/// Checks the configuration of each entry.
pub(crate) struct ConfigCheck {
    caller: Caller,
    shared: Callers,
    newest: Arc<Mutex<NewestConfig>>,
    /// Number of processes started so far, for each entry.
    starts: Vec<Arc<AtomicU64>>,
    seen: Vec<SeenConfig>,
}

impl ConfigCheck {
    /// Creates the check; `starts` holds the number of processes started so far, for each entry.
    pub(crate) fn new(
        caller: Caller,
        shared: Callers,
        newest: Arc<Mutex<NewestConfig>>,
        starts: Vec<Arc<AtomicU64>>,
    ) -> Self {
        let seen = starts.iter().map(|_| SeenConfig {
            version: 1,
            process: 0,
        });
        Self {
            seen: seen.collect(),
            caller,
            shared,
            newest,
            starts,
        }
    }

    /// Looks at all entries by turns until the callers are to stop.
    pub(crate) fn run(mut self) {
        while !self.shared.is_over.load(Ordering::SeqCst) {
            self.look_at_all();
            std::thread::sleep(PAUSE);
        }
    }

    fn look_at_all(&mut self) {
        let newest = *lock(&self.newest);
        if newest.version < 2 {
            return;
        }
        for n in 0..self.starts.len() {
            self.look_at(n, newest);
        }
    }

    fn look_at(&mut self, n: usize, newest: NewestConfig) {
        let asked = Instant::now();
        let process = self.starts[n].load(Ordering::SeqCst);
        let must_be_in_force = newest.changed_at.elapsed() > Duration::from_millis(CONFIG_MS);
        let shown = self
            .caller
            .has_queue(n, &format!("x{}", newest.version - 1));
        if self.starts[n].load(Ordering::SeqCst) != process {
            // Either process may have answered.
            return;
        }
        let seen = &mut self.seen[n];
        if seen.process != process {
            *seen = SeenConfig {
                version: 1,
                process,
            };
        }
        let disturbances = &self.shared.disturbances;
        let is_undisturbed = disturbances.is_undisturbed_since(n, newest.changed_at)
            && disturbances.is_undisturbed_since(n, asked);
        let version = newest.version;
        let broken = match shown {
            Some(true) => {
                seen.version = version;
                return;
            }
            Some(false) if seen.version == version => {
                format!("entry {n} went back behind configuration {version}")
            }
            Some(false) if must_be_in_force && is_undisturbed => {
                format!("configuration {version} is not in force at entry {n}")
            }
            _ => return,
        };
        self.shared.fleet.report_broken(broken);
    }
}
