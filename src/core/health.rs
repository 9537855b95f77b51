//! The health of a backend server, from the outcomes that this entry saw.

use crate::clock::Millis;

/// Failures in a row that eject.
const FAILURES_MAX: u32 = 5;

/// First ejection; each one that follows without a success between is twice as long.
const EJECT_MS: Millis = 2_000;

/// Longest ejection.
const EJECT_MAX_MS: Millis = 60_000;

/// After an ejection, the time over which a backend server's share grows back to the whole.
const RAMP_MS: Millis = 5_000;

/// Share of a service's backend servers that may be ejected at once: beyond it the failure is more
/// likely the entry's own, or everybody's, and ejecting would empty the pool.
const EJECTED_MAX_PERCENT: usize = 50;

/// After a refusal a backend server is full for so long at least; each further one in a row doubles it.
const FULL_MS: Millis = 5;

/// Longest time that it is taken for full: short, since it may have been one request that it refuses.
const FULL_MAX_MS: Millis = 100;

/// What an exchange says about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A whole answer that is not a server error.
    Good,
    /// It refused before running: it is alive, and full.
    Full,
    /// A server error, a broken answer, no connection or no answer in time.
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

/// What a sign changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// It gets no work until then.
    Ejected(Millis),
    /// It has proved itself after an ejection.
    Readmitted,
}

impl Health {
    /// Takes in a sign; `may_eject` says whether few enough others are ejected.
    pub fn note(&mut self, sign: Sign, may_eject: bool, now_ms: Millis) -> Change {
        match sign {
            Sign::Full => {
                let full_ms = (FULL_MS << self.refusals.min(16)).min(FULL_MAX_MS);
                self.refusals += 1;
                self.full_until_ms = now_ms + full_ms;
                Change::None
            }
            Sign::Good => {
                self.failures = 0;
                self.refusals = 0;
                let was_out = std::mem::take(&mut self.ejections) > 0;
                if was_out {
                    Change::Readmitted
                } else {
                    Change::None
                }
            }
            Sign::Bad => self.note_bad(may_eject, now_ms),
        }
    }

    fn note_bad(&mut self, may_eject: bool, now_ms: Millis) -> Change {
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

    /// Until when it gets no work; 0 where it was never ejected.
    pub fn ejected_until_ms(&self) -> Millis {
        self.ejected_until_ms
    }

    /// Until when it gets no work, ejected or taken for full.
    pub fn barred_until_ms(&self) -> Millis {
        self.ejected_until_ms.max(self.full_until_ms)
    }

    /// Whether it gets no work now.
    pub fn is_ejected(&self, now_ms: Millis) -> bool {
        now_ms < self.ejected_until_ms
    }
}

/// The share of its usual work that a backend server may get now, in percent: it grows back over a
/// while after an ejection that lasted until `ejected_until_ms`.
pub fn share_percent(ejected_until_ms: Millis, now_ms: Millis) -> u64 {
    if ejected_until_ms == 0 {
        return 100;
    }
    let since_ms = now_ms.saturating_sub(ejected_until_ms);
    (since_ms * 100 / RAMP_MS).clamp(10, 100)
}

/// Whether one more may be ejected, given how many of all are.
pub fn may_eject(ejected: usize, all: usize) -> bool {
    (ejected + 1) * 100 <= all * EJECTED_MAX_PERCENT
}
