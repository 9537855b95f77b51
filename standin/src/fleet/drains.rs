//! Workers that announce their end, and the record of starts that they execute long after that.

use std::time::{Duration, Instant};

use rockwick::core::sched::fencing_token;
use smol::Timer;

use super::{Fleet, State};

/// An entry that is in touch orders nothing to a worker this long after the worker announced its end: the shortest bound
/// that the users' deployments state.
const DRAIN_MS: u64 = 2_000;

/// Time until a host whose worker has left starts its next worker.
const BACK_MS: u64 = 1_000;

/// Holds a start that was ordered to a worker longer than [`DRAIN_MS`] after the worker announced its end.
#[derive(Clone, Debug)]
pub struct LateStart {
    /// Name of the entry that ordered it.
    pub entry: String,
    /// Host of the worker.
    pub host: usize,
    /// When the worker received the order.
    pub received_at: Instant,
    /// Describes the start.
    pub what: String,
}

impl State {
    /// Returns whether the worker instance has announced its end.
    pub(super) fn is_draining(&self, instance: &str) -> bool {
        let worker = self.workers.get(instance);
        worker.is_some_and(|w| w.draining_since_ms.is_some())
    }

    /// Records a start that is executed, if it was ordered too late after the worker announced its end.
    pub(super) fn note_start_on(
        &mut self,
        instance: &str,
        task: &str,
        fencing_token: u64,
        received_ms: u64,
        received_at: Instant,
    ) {
        let worker = self.workers.get(instance);
        let Some(since_ms) = worker.and_then(|w| w.draining_since_ms) else {
            return;
        };
        let is_late = received_ms > since_ms + DRAIN_MS;
        let epoch = fencing_token::epoch_of(fencing_token);
        let host = self
            .hosts
            .iter()
            .position(|h| h.instance.as_deref() == Some(instance));
        let (Some(entry), Some(host), true) = (self.owners.get(&epoch), host, is_late) else {
            return;
        };
        self.late_starts.push(LateStart {
            entry: entry.clone(),
            host,
            received_at,
            what: format!(
                "{received_ms} ms: {entry} starts {task} on {instance}, which drains since {since_ms} ms"
            ),
        });
    }
}

impl Fleet {
    /// Makes a host's worker announce its end. It serves on for `serve_ms` and then ends; the host's next worker follows.
    pub fn drain(&self, n: usize, serve_ms: u64) {
        let serial = {
            let mut state = self.lock();
            let now_ms = self.clock_ms();
            let Some(instance) = state.hosts[n].instance.clone() else {
                return;
            };
            let Some(worker) = state.workers.get_mut(&instance) else {
                return;
            };
            if worker.draining_since_ms.is_some() {
                return;
            }
            worker.draining_since_ms = Some(now_ms);
            worker.serial
        };
        self.relist(n);
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            Timer::after(Duration::from_millis(serve_ms)).await;
            // A crash may have ended it before.
            if fleet.lock().serial_on(n) == serial {
                fleet.crash(n, BACK_MS);
            }
        });
    }

    /// Returns the late starts since the last call.
    pub fn take_late_starts(&self) -> Vec<LateStart> {
        std::mem::take(&mut self.lock().late_starts)
    }
}
