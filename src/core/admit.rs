//! Who is let in: quotas of accounts, and the queue in front of a service.

use std::collections::VecDeque;

use super::config::Class;
use crate::clock::Millis;

/// Thousandths of a request, the unit that quotas are counted in.
const MILLI: u64 = 1_000;

/// A token bucket: an account's quota at one entry.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Requests a second; 0 for no bound.
    rate_per_s: u64,
    /// Bound on what is saved, in thousandths.
    burst_milli: u64,
    saved_milli: u64,
    filled_ms: Millis,
}

impl Bucket {
    /// An account's bucket split over so many entries, full.
    pub fn new(rate_per_s: u64, burst: u64, entries: usize, now_ms: Millis) -> Self {
        let parts = entries.max(1) as u64;
        // Rounded down, so that the parts together never pass the whole; but a part can always hold one.
        let burst_milli = (burst * MILLI / parts).max(MILLI);
        Self {
            rate_per_s: rate_per_s * MILLI / parts,
            burst_milli,
            saved_milli: burst_milli,
            filled_ms: now_ms,
        }
    }

    /// Takes one request's worth, or says how long to wait for it.
    pub fn take(&mut self, now_ms: Millis) -> Result<(), Millis> {
        if self.rate_per_s == 0 {
            return Ok(());
        }
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = now_ms;
        // The rate is in thousandths a second, so this is in thousandths after division by a second.
        let earned = self.rate_per_s * passed_ms / 1_000;
        if earned == 0 {
            self.filled_ms = now_ms - passed_ms;
        }
        self.saved_milli = (self.saved_milli + earned).min(self.burst_milli);
        if self.saved_milli >= MILLI {
            self.saved_milli -= MILLI;
            return Ok(());
        }
        let lacking = MILLI - self.saved_milli;
        Err((lacking * 1_000).div_ceil(self.rate_per_s.max(1)))
    }
}

/// Why a request is not let into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// The queue is as long as it may get.
    Full,
    /// The wait would pass the deadline.
    TooLate,
}

/// The queue in front of a service at one entry; `T` wakes the one who waits.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: [VecDeque<T>; 3],
    /// Smoothed time of one exchange, and of its deviation.
    exchange_ms: u64,
    deviation_ms: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new() -> Self {
        Self {
            waiting: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            exchange_ms: 0,
            deviation_ms: 0,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many wait that would go before a newcomer of `class`.
    pub fn ahead_of(&self, class: Class) -> usize {
        self.waiting[..=class as usize]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    /// Takes the length of an exchange in, smoothed as TCP does with round trips (RFC 6298).
    pub fn note_exchange(&mut self, ms: Millis) {
        if self.exchange_ms == 0 {
            self.exchange_ms = ms;
            return;
        }
        let deviation_ms = self.exchange_ms.abs_diff(ms);
        self.deviation_ms = (self.deviation_ms * 3 + deviation_ms) / 4;
        self.exchange_ms = (self.exchange_ms * 7 + ms) / 8;
    }

    /// The time that one exchange takes with fair certainty, 0 where none was seen.
    pub fn likely_exchange_ms(&self) -> Millis {
        self.exchange_ms + 2 * self.deviation_ms
    }

    /// The wait that a newcomer of `class` must expect with so many places at work.
    pub fn expected_wait_ms(&self, class: Class, places: usize) -> Millis {
        let turns = (self.ahead_of(class) as u64 + 1).div_ceil(places.max(1) as u64);
        turns * self.exchange_ms
    }

    /// Lets a request in, unless it would be in vain. An urgent one pushes out the youngest of the
    /// lowest class where the queue is full; who was pushed out is given back.
    pub fn enqueue(
        &mut self,
        class: Class,
        waiter: T,
        most: usize,
        places: usize,
        left_ms: Millis,
    ) -> Result<Option<T>, Shed> {
        let needed_ms = self.expected_wait_ms(class, places) + self.likely_exchange_ms();
        if needed_ms > left_ms {
            return Err(Shed::TooLate);
        }
        let mut pushed_out = None;
        if self.len() >= most {
            pushed_out = self.push_out_below(class);
            if pushed_out.is_none() {
                return Err(Shed::Full);
            }
        }
        self.waiting[class as usize].push_back(waiter);
        Ok(pushed_out)
    }

    fn push_out_below(&mut self, class: Class) -> Option<T> {
        let lower = class as usize + 1;
        self.waiting[lower..]
            .iter_mut()
            .rev()
            .find_map(VecDeque::pop_back)
    }

    /// Puts one back that was called and found no place: it keeps its turn.
    pub fn put_back_first(&mut self, class: Class, waiter: T) {
        self.waiting[class as usize].push_front(waiter);
    }

    /// The next to go: of the highest class, the one that came first.
    pub fn dequeue(&mut self) -> Option<T> {
        self.waiting.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Takes out those for whom `gone` holds.
    pub fn remove_where(&mut self, gone: impl Fn(&T) -> bool) {
        for q in &mut self.waiting {
            q.retain(|w| !gone(w));
        }
    }
}
