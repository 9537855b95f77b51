//! Decides when a stopping process ends: once its callers are gone, or once the time for a stop is over.
//!
//! `serve::run` creates a [`Stop`] after SIGTERM or SIGINT and polls it until it says to end. Every call that
//! was read is answered before that: the traffic thread refuses calls late in a stop, and ends the waits of the others
//! [`ANSWER_RESERVE_MS`] before the process ends.

use super::KEEP_OPEN_MS;
use crate::clock::Millis;

/// The time after the signal at which the process ends even with open connections, unless a standstill extends the
/// stop. The platform kills the process after 6 s.
pub(super) const STOP_MS: Millis = 5_300;

/// The part of a stop that is reserved for answers: no call waits for anything in it. Covers two checks of a connection
/// for its end, and the time to write the answers on a slow host.
pub(super) const ANSWER_RESERVE_MS: Millis = 1_000;

/// The time that a call has at least while its process stops. A store that answers normally does so within it.
const CALL_MS: Millis = 300;

/// The time after the signal from which on callers' connections are no longer accepted and calls are refused.
pub(super) const REFUSE_AFTER_MS: Millis = STOP_MS - ANSWER_RESERVE_MS - CALL_MS;

/// The gap between two polls that counts as a standstill of the process; polls are normally a tenth of this gap apart.
const STANDSTILL_MS: Millis = 500;

/// The least time between a standstill and the end of the process, in which callers that connected during the
/// standstill are accepted.
const ACCEPT_GRACE_MS: Millis = 500;

/// The largest number of standstills that extend a stop, so that every stop ends.
const EXTENSIONS_MAX: u64 = 2;

/// What a stopping process does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Nothing until the next poll.
    Wait,
    /// Connections are no longer accepted.
    CloseListener,
    /// The process ends, for this reason.
    End(&'static str),
}

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

    /// Returns what is to be done now. The caller must poll regularly, since a long gap between two polls counts as a
    /// standstill.
    pub(super) fn poll(&mut self, since_ms: Millis, open: u64, is_listening: bool) -> Next {
        let stood_still = since_ms >= self.last_poll_ms + STANDSTILL_MS;
        self.last_poll_ms = since_ms;
        if stood_still && self.standstills < EXTENSIONS_MAX {
            self.standstills += 1;
            self.end_ms = self.end_ms.max(since_ms + CALL_MS + ANSWER_RESERVE_MS);
            self.idle_end_from_ms = self.idle_end_from_ms.max(since_ms + ACCEPT_GRACE_MS);
        }
        let is_idle = open == 0 && since_ms >= self.idle_end_from_ms;
        if is_idle && !is_listening {
            return Next::End("all connections of callers are closed");
        }
        if since_ms >= self.end_ms {
            return Next::End("the time for a stop is over and connections are still open");
        }
        match is_idle || since_ms >= REFUSE_AFTER_MS {
            true => Next::CloseListener,
            false => Next::Wait,
        }
    }

    /// Returns when the waits of calls end.
    pub(super) fn answer_by_ms(&self) -> Millis {
        self.end_ms - ANSWER_RESERVE_MS
    }

    /// Returns the number of standstills that extended the stop.
    pub(super) fn standstills(&self) -> u64 {
        self.standstills
    }
}
