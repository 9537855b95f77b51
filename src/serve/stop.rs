//! Decides when a stopping process ends: once its callers are gone, or once the time for a stop is over.
//!
//! `serve::run` creates a [`Stop`] after SIGTERM or SIGINT and polls it until it gives a reason to end.

use super::KEEP_OPEN_MS;
use crate::clock::Millis;

/// The time after the signal at which the process ends even with open connections, unless a standstill extends the
/// stop. The platform kills the process after 6 s.
pub(super) const STOP_MS: Millis = 5_300;

/// The gap between two polls that counts as a standstill of the process; polls are normally a tenth of this gap apart.
const STANDSTILL_MS: Millis = 500;

/// The time for answers after a standstill: as much as a stop without a standstill has after [`KEEP_OPEN_MS`].
const GRACE_MS: Millis = STOP_MS - KEEP_OPEN_MS;

/// The least time between a standstill and the end of the process, in which callers that connected during the
/// standstill are accepted.
const ACCEPT_GRACE_MS: Millis = 500;

/// The largest number of standstills that extend a stop, so that every stop ends.
const EXTENSIONS_MAX: u64 = 2;

/// The state of a stop; all times count from the signal to stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    last_poll_ms: Millis,
    /// When the process ends in any case.
    end_ms: Millis,
    /// The earliest time at which the process ends because no connection is open.
    idle_end_from_ms: Millis,
    standstills: u64,
}

impl Stop {
    /// Creates the state of a stop that has just begun.
    pub(super) fn new() -> Self {
        Self {
            last_poll_ms: 0,
            end_ms: STOP_MS,
            idle_end_from_ms: KEEP_OPEN_MS,
            standstills: 0,
        }
    }

    /// Returns why the process ends now, or nothing while it runs on. The caller must poll regularly, since a long gap
    /// between two polls counts as a standstill.
    pub(super) fn poll(&mut self, since_ms: Millis, open_connections: u64) -> Option<&'static str> {
        let stood_still = since_ms >= self.last_poll_ms + STANDSTILL_MS;
        self.last_poll_ms = since_ms;
        if stood_still && self.standstills < EXTENSIONS_MAX {
            self.standstills += 1;
            self.end_ms = self.end_ms.max(since_ms + GRACE_MS);
            self.idle_end_from_ms = self.idle_end_from_ms.max(since_ms + ACCEPT_GRACE_MS);
        }
        if open_connections == 0 && since_ms >= self.idle_end_from_ms {
            return Some("all connections of callers are closed");
        }
        (since_ms >= self.end_ms)
            .then_some("the time for a stop is over and connections are still open")
    }

    /// Returns the number of standstills that extended the stop.
    pub(super) fn standstills(&self) -> u64 {
        self.standstills
    }
}
