//! When a process that was told to stop ends: once its callers are gone, or its time is over.

use super::LAME_MS;
use crate::clock::Millis;

/// After SIGTERM, when the process ends whatever is left; the platform kills it after 6 s.
pub(super) const STOP_MS: Millis = 5_300;

/// Two looks so far apart: the process stood still in between. It looks ten times as often.
const STOOD_STILL_MS: Millis = 500;

/// Time for answers after a standstill: as much as a stop without one leaves behind [`LAME_MS`].
const GRACE_MS: Millis = STOP_MS - LAME_MS;

/// After a standstill, callers that connected meanwhile are taken in first.
const TAKEN_IN_MS: Millis = 500;

/// Standstills after which time is counted anew, so that the stop has an end.
const STANDSTILLS_MAX: u64 = 2;

/// The end of a process that stops; times count from when it was told to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    looked_ms: Millis,
    end_ms: Millis,
    quiet_from_ms: Millis,
    standstills: u64,
}

impl Stop {
    /// A stop that has just begun.
    pub(super) fn new() -> Self {
        Self {
            looked_ms: 0,
            end_ms: STOP_MS,
            quiet_from_ms: LAME_MS,
            standstills: 0,
        }
    }

    /// Why the process ends now, if it does.
    pub(super) fn look(&mut self, since_ms: Millis, open: u64) -> Option<&'static str> {
        let stood_still = since_ms >= self.looked_ms + STOOD_STILL_MS;
        self.looked_ms = since_ms;
        if stood_still && self.standstills < STANDSTILLS_MAX {
            self.standstills += 1;
            self.end_ms = self.end_ms.max(since_ms + GRACE_MS);
            self.quiet_from_ms = self.quiet_from_ms.max(since_ms + TAKEN_IN_MS);
        }
        if open == 0 && since_ms >= self.quiet_from_ms {
            return Some("no connection is left");
        }
        (since_ms >= self.end_ms).then_some("time is up")
    }

    /// Standstills that it was given time for.
    pub(super) fn standstills(&self) -> u64 {
        self.standstills
    }
}
