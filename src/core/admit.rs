//! Admission of requests at one entry: the rate limits of accounts, and the queue of a service.
//!
//! The traffic threads take a token from the account's bucket, and then queue the request if no slot is free.

use std::collections::VecDeque;

use super::config::Class;
use crate::clock::Millis;

/// Thousandths in one request; rate limits are counted in thousandths.
const MILLI: u64 = 1_000;

/// A token bucket that holds an account's rate limit at one entry.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Thousandths of a request earned per second; 0 for no limit.
    rate_milli_per_s: u64,
    /// Maximum of `saved_milli`.
    burst_milli: u64,
    saved_milli: u64,
    filled_ms: Millis,
}

impl Bucket {
    /// Creates a full bucket with one entry's share of an account's limit, split over `entries`.
    pub fn new(rate_per_s: u64, burst: u64, entries: usize, now_ms: Millis) -> Self {
        let parts = entries.max(1) as u64;
        // Rounded down so that the shares together do not exceed the limit, but each share holds at least one request.
        let burst_milli = (burst * MILLI / parts).max(MILLI);
        Self {
            rate_milli_per_s: rate_per_s * MILLI / parts,
            burst_milli,
            saved_milli: burst_milli,
            filled_ms: now_ms,
        }
    }

    /// Takes one request from the bucket, or returns how many milliseconds to wait for it.
    pub fn take(&mut self, now_ms: Millis) -> Result<(), Millis> {
        if self.rate_milli_per_s == 0 {
            return Ok(());
        }
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        // Thousandths per second times milliseconds; the division by 1000 ms gives thousandths.
        let earned = self.rate_milli_per_s * passed_ms / 1_000;
        // The time that earned no whole thousandth counts for the next call.
        self.filled_ms += earned * 1_000 / self.rate_milli_per_s;
        self.saved_milli = (self.saved_milli + earned).min(self.burst_milli);
        if self.saved_milli >= MILLI {
            self.saved_milli -= MILLI;
            return Ok(());
        }
        let lacking = MILLI - self.saved_milli;
        Err((lacking * 1_000).div_ceil(self.rate_milli_per_s.max(1)))
    }
}

/// Why a request is refused by the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// The queue has reached its maximum length.
    Full,
    /// The expected wait and exchange would end after the request's deadline.
    TooLate,
}

/// The queue of a service at one entry, with one list per class. `T` is what wakes a waiting request.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: [VecDeque<T>; 3],
    /// Smoothed duration of an exchange.
    exchange_ms: u64,
    /// Smoothed deviation of exchanges from `exchange_ms`.
    deviation_ms: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiting: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            exchange_ms: 0,
            deviation_ms: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests that go before a new one of `class`.
    pub fn ahead_of(&self, class: Class) -> usize {
        self.waiting[..=class as usize]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    /// Records the duration of an exchange, smoothed as TCP smooths round-trip times (RFC 6298).
    pub fn record_exchange(&mut self, ms: Millis) {
        if self.exchange_ms == 0 {
            self.exchange_ms = ms;
            return;
        }
        let deviation_ms = self.exchange_ms.abs_diff(ms);
        self.deviation_ms = (self.deviation_ms * 3 + deviation_ms) / 4;
        self.exchange_ms = (self.exchange_ms * 7 + ms) / 8;
    }

    /// Returns a duration that most exchanges do not exceed: the smoothed mean plus two deviations, 0 before the
    /// first exchange.
    pub fn likely_exchange_ms(&self) -> Millis {
        self.exchange_ms + 2 * self.deviation_ms
    }

    /// Returns the expected wait of a new request of `class` while `concurrency` requests run at once.
    pub fn expected_wait_ms(&self, class: Class, concurrency: usize) -> Millis {
        let turns = (self.ahead_of(class) as u64 + 1).div_ceil(concurrency.max(1) as u64);
        turns * self.exchange_ms
    }

    /// Adds a request to the queue, unless it would miss its deadline in `left_ms`. If the queue is full, the request
    /// replaces the youngest waiting request of the lowest class below its own, and the replaced one is returned.
    pub fn enqueue(
        &mut self,
        class: Class,
        waiter: T,
        len_max: usize,
        concurrency: usize,
        left_ms: Millis,
    ) -> Result<Option<T>, Shed> {
        let needed_ms = self.expected_wait_ms(class, concurrency) + self.likely_exchange_ms();
        if needed_ms > left_ms {
            return Err(Shed::TooLate);
        }
        let mut pushed_out = None;
        if self.len() >= len_max {
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

    /// Returns a dequeued request that found no free slot to the head of its class, so that it keeps its turn.
    pub fn put_back_first(&mut self, class: Class, waiter: T) {
        self.waiting[class as usize].push_front(waiter);
    }

    /// Takes the oldest request of the highest class.
    pub fn dequeue(&mut self) -> Option<T> {
        self.waiting.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Removes the requests for which `gone` returns true.
    pub fn remove_where(&mut self, gone: impl Fn(&T) -> bool) {
        for q in &mut self.waiting {
            q.retain(|w| !gone(w));
        }
    }
}
