//! Pauses between attempts at a call that the store refuses or does not answer.

use crate::clock::Millis;

/// Pauses that double with each attempt up to a longest one. The second half of each is drawn at random, so that
/// entries that failed together do not ask again together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first_ms: Millis,
    next_ms: Millis,
    longest_ms: Millis,
}

impl Backoff {
    /// Creates pauses from `first_ms` to `longest_ms`.
    pub fn new(first_ms: Millis, longest_ms: Millis) -> Self {
        Self {
            first_ms,
            next_ms: first_ms,
            longest_ms,
        }
    }

    /// Returns the next pause.
    pub fn next_pause_ms(&mut self) -> Millis {
        let pause_ms = self.next_ms;
        self.next_ms = (pause_ms * 2).min(self.longest_ms);
        let half_ms = pause_ms / 2;
        half_ms + fastrand::u64(0..=pause_ms - half_ms)
    }

    /// Begins with the first pause again, after a call that succeeded.
    pub fn reset(&mut self) {
        self.next_ms = self.first_ms;
    }
}
