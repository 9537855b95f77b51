//! The health of a backend server, judged by the outcomes of this entry's own exchanges with it.
//!
//! The traffic threads report each outcome, and send no requests to a backend server that is ejected or full.

use crate::clock::Millis;

/// Number of failures in a row after which a backend server is ejected.
const FAILURES_MAX: u32 = 5;

/// Length of the first ejection. Each further one with no success between is twice as long.
const EJECT_MS: Millis = 2_000;

/// Maximum length of an ejection.
const EJECT_MAX_MS: Millis = 60_000;

/// Time after an ejection over which a backend server's share of requests grows back to 100 percent.
const RAMP_MS: Millis = 5_000;

/// Maximum percentage of a service's backend servers that are ejected at once. If more of them fail, the cause is
/// more likely this entry or a fault common to all of them, and further ejections would leave no backend server.
const EJECTED_MAX_PERCENT: usize = 50;

/// Time for which a backend server counts as full after a refusal; each further refusal in a row doubles it.
const FULL_MS: Millis = 5;

/// Maximum time for which a backend server counts as full. The time is short because the refusals may concern a
/// single request.
const FULL_MAX_MS: Millis = 100;

/// The outcome of an exchange with a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// It answered completely and without a server error.
    Good,
    /// It refused the request before running it: it is alive and full.
    Full,
    /// It answered with a server error or a broken answer, or there was no connection or no answer in time.
    Bad,
}

/// The health of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until_ms: Millis,
    refusals: u32,
    full_until_ms: Millis,
}

/// How an outcome changed the health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed that must be acted on.
    None,
    /// The backend server is ejected and gets no requests until the given time.
    Ejected(Millis),
    /// The backend server answered well for the first time after an ejection.
    Readmitted,
}

impl Health {
    /// Records an outcome. `may_eject` says whether the number of ejected backend servers allows one more.
    pub fn record_outcome(
        &mut self,
        outcome: ExchangeOutcome,
        may_eject: bool,
        now_ms: Millis,
    ) -> Change {
        match outcome {
            ExchangeOutcome::Full => {
                let full_ms = (FULL_MS << self.refusals.min(16)).min(FULL_MAX_MS);
                self.refusals += 1;
                self.full_until_ms = now_ms + full_ms;
                Change::None
            }
            ExchangeOutcome::Good => {
                self.failures = 0;
                self.refusals = 0;
                let was_ejected = std::mem::take(&mut self.ejections) > 0;
                if was_ejected {
                    Change::Readmitted
                } else {
                    Change::None
                }
            }
            ExchangeOutcome::Bad => self.record_failure(may_eject, now_ms),
        }
    }

    fn record_failure(&mut self, may_eject: bool, now_ms: Millis) -> Change {
        self.failures += 1;
        let on_probation = self.ejections > 0;
        let too_many = self.failures >= FAILURES_MAX || on_probation;
        if !too_many || !may_eject || self.is_ejected(now_ms) {
            return Change::None;
        }
        let length_ms = (EJECT_MS << self.ejections.min(8)).min(EJECT_MAX_MS);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until_ms = now_ms + length_ms;
        Change::Ejected(self.ejected_until_ms)
    }

    /// Returns the end of its last ejection; 0 if it was never ejected.
    pub fn ejected_until_ms(&self) -> Millis {
        self.ejected_until_ms
    }

    /// Returns the time until which it gets no requests because it is ejected or full.
    pub fn unavailable_until_ms(&self) -> Millis {
        self.ejected_until_ms.max(self.full_until_ms)
    }

    /// Whether it is ejected now.
    pub fn is_ejected(&self, now_ms: Millis) -> bool {
        now_ms < self.ejected_until_ms
    }
}

/// Returns the percentage of its usual requests that a backend server may get now. It grows from 10 to 100 over
/// `RAMP_MS` after an ejection that lasted until `ejected_until_ms`.
pub fn share_percent(ejected_until_ms: Millis, now_ms: Millis) -> u64 {
    if ejected_until_ms == 0 {
        return 100;
    }
    let since_ms = now_ms.saturating_sub(ejected_until_ms);
    (since_ms * 100 / RAMP_MS).clamp(10, 100)
}

/// Whether one more backend server may be ejected, given that `ejected` of `all` are.
pub fn may_eject(ejected: usize, all: usize) -> bool {
    (ejected + 1) * 100 <= all * EJECTED_MAX_PERCENT
}
