//! Load balancing over the backend servers of a service.
//!
//! Owns the window and the health of each backend server, and the queue in front of each service. A request takes
//! a [`Permit`] before it is sent and releases it when its exchange has ended. `upstream` acquires the permits;
//! `control` creates the backend servers and marks them closed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender};
use smol::Timer;

use super::shared::{Route, Shared};
use crate::clock::Millis;
use crate::core::admit::{Queue, Shed};
use crate::core::config::Class;
use crate::core::health::{self, Change, ExchangeOutcome, Health};
use crate::core::retry::RetryBudget;
use crate::core::route::{self, Candidate, Window};
use crate::core::routes::BackendSpec;
use crate::error::Kind;
use crate::event::{Code, Decision, Subject};
use crate::http::Client;
use crate::util::lock;

/// Interval at which a waiting request looks for a permit without a signal: no signal is sent when a window grows
/// or an ejection ends.
const RECHECK_MS: Millis = 50;

/// A backend server of one service. It is kept when the routes change, and with it its window and its health.
pub(super) struct Backend {
    /// `HOST/SERVICE`.
    pub(super) id: String,
    pub(super) host: String,
    /// Whether the backend server is in the entry's own data hall.
    pub(super) is_same_hall: bool,
    /// Number of requests that the backend server processes at once.
    pub(super) slots: u32,
    pub(super) client: Client,
    /// Requests of this entry that hold a permit for this backend server.
    pub(super) in_flight: AtomicU32,
    /// Set when the routes no longer name this backend server; it grants no further permits.
    pub(super) closed: AtomicBool,
    window_size: AtomicU32,
    ejected_until_ms: AtomicU64,
    unavailable_until_ms: AtomicU64,
    state: Mutex<BackendState>,
}

/// The state that outcomes of exchanges change, under one lock.
struct BackendState {
    window: Window,
    health: Health,
}

impl Backend {
    pub(super) fn new(
        spec: &BackendSpec,
        service: &str,
        hall: &str,
        entries: usize,
        answer_bytes: usize,
    ) -> Self {
        let window = Window::new(spec.slots, entries);
        // All entries share the connections of the backend server and don't coordinate, so each uses an equal part.
        let part = (spec.connections as usize / entries.max(1)).max(1);
        let client = Client::new(spec.address)
            .with_idle_max(part)
            .with_answer_max_bytes(answer_bytes);
        Self {
            id: format!("{}/{service}", spec.host),
            host: spec.host.clone(),
            is_same_hall: spec.hall == hall,
            slots: spec.slots,
            client,
            in_flight: AtomicU32::new(0),
            closed: AtomicBool::new(false),
            window_size: AtomicU32::new(window.size()),
            ejected_until_ms: AtomicU64::new(0),
            unavailable_until_ms: AtomicU64::new(0),
            state: Mutex::new(BackendState {
                window,
                health: Health::default(),
            }),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.client.addr()
    }

    /// Returns how many requests of this entry may be in flight here now. The number is reduced for a while after an
    /// ejection.
    pub(super) fn window(&self, now_ms: Millis) -> u32 {
        let size = self.window_size.load(Ordering::Relaxed);
        let until_ms = self.ejected_until_ms.load(Ordering::Relaxed);
        let share = health::share_percent(until_ms, now_ms);
        u32::try_from(u64::from(size) * share / 100)
            .unwrap_or(size)
            .max(1)
    }

    pub(super) fn is_ejected(&self, now_ms: Millis) -> bool {
        now_ms < self.ejected_until_ms.load(Ordering::Relaxed)
    }

    fn is_unavailable(&self, now_ms: Millis) -> bool {
        now_ms < self.unavailable_until_ms.load(Ordering::Relaxed)
    }

    fn candidate(&self, is_excluded: bool, now_ms: Millis) -> Candidate {
        Candidate {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            window: self.window(now_ms),
            is_excluded: is_excluded
                || self.is_unavailable(now_ms)
                || self.closed.load(Ordering::Relaxed),
            is_same_hall: self.is_same_hall,
        }
    }

    /// Takes a permit, or returns `None` if the window is full or the backend server is closed.
    ///
    /// The count is incremented before `closed` is read, and the control thread sets `closed` before it
    /// reads the count. So either the control thread counts this request, or the request sees `closed`.
    fn try_acquire(
        self: &Arc<Self>,
        admission: &Arc<Admission>,
        class: Class,
        now_ms: Millis,
    ) -> Option<Permit> {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        if before >= self.window(now_ms) || self.closed.load(Ordering::SeqCst) {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        if class == Class::Batch {
            admission.batch_in_flight.fetch_add(1, Ordering::Relaxed);
        }
        Some(Permit {
            backend: Arc::clone(self),
            admission: Arc::clone(admission),
            class,
            fills_window: before + 1 >= self.window(now_ms),
        })
    }
}

/// The state that all requests of a service share at this entry: queue, retry budgets and the count of batch work.
pub(super) struct Admission {
    queue: Mutex<Queue<Waiter>>,
    /// One budget for each class, so that batch requests can't spend the retries of urgent ones.
    budgets: [RetryBudget; 3],
    batch_in_flight: AtomicU32,
    next_waiter: AtomicU64,
}

/// A queued request that waits for a permit.
struct Waiter {
    id: u64,
    signal: Sender<Signal>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Signal {
    /// A permit may be free.
    Recheck,
    /// A more urgent request took the waiter's position in the queue.
    PushedOut,
}

impl Admission {
    pub(super) fn new() -> Self {
        Self {
            queue: Mutex::new(Queue::new()),
            budgets: [RetryBudget::new(), RetryBudget::new(), RetryBudget::new()],
            batch_in_flight: AtomicU32::new(0),
            next_waiter: AtomicU64::new(0),
        }
    }

    /// Returns the retry budget of a class.
    pub(super) fn budget(&self, class: Class) -> &RetryBudget {
        &self.budgets[class as usize]
    }

    /// Returns the time that one exchange very likely takes at most: the smoothed time plus twice
    /// its deviation.
    pub(super) fn likely_exchange_ms(&self) -> Millis {
        lock(&self.queue).likely_exchange_ms()
    }

    /// Signals the first waiter in the queue whose request still exists.
    fn wake_next(&self) {
        loop {
            let Some(waiter) = lock(&self.queue).dequeue() else {
                return;
            };
            if waiter.signal.try_send(Signal::Recheck).is_ok() {
                return;
            }
        }
    }

    /// Adds the length of an exchange to the smoothed time, from which the queue computes expected waits.
    pub(super) fn note_exchange(&self, ms: Millis) {
        lock(&self.queue).record_exchange(ms);
    }

    /// Returns the number of queued requests.
    pub(super) fn waiting(&self) -> usize {
        lock(&self.queue).len()
    }
}

/// A permit for one exchange with a backend server. Dropping it signals the next waiter.
pub(super) struct Permit {
    pub(super) backend: Arc<Backend>,
    admission: Arc<Admission>,
    class: Class,
    /// Whether this permit fills the window; only then a success lets the window grow.
    fills_window: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::SeqCst);
        if self.class == Class::Batch {
            self.admission
                .batch_in_flight
                .fetch_sub(1, Ordering::Relaxed);
        }
        self.admission.wake_next();
    }
}

impl Permit {
    /// Updates the window and the health of the backend server with the outcome of the exchange.
    pub(super) fn note_outcome(&self, outcome: ExchangeOutcome, route: &Route, shared: &Shared) {
        let now_ms = shared.clock.now_ms();
        // Only a bad outcome can eject a backend server, so the ejected ones are counted only then.
        let ejected = match outcome {
            ExchangeOutcome::Bad => route
                .backends
                .iter()
                .filter(|b| b.is_ejected(now_ms))
                .count(),
            ExchangeOutcome::Good | ExchangeOutcome::Full => 0,
        };
        let may_eject = health::may_eject(ejected, route.backends.len());
        let change = {
            let mut state = lock(&self.backend.state);
            match outcome {
                ExchangeOutcome::Full => state.window.shrink(),
                ExchangeOutcome::Good if self.fills_window => state.window.grow(),
                _ => {}
            }
            let size = state.window.size();
            self.backend.window_size.store(size, Ordering::Relaxed);
            let change = state.health.record_outcome(outcome, may_eject, now_ms);
            let until_ms = state.health.ejected_until_ms();
            self.backend
                .ejected_until_ms
                .store(until_ms, Ordering::Relaxed);
            let unavailable_ms = state.health.unavailable_until_ms();
            self.backend
                .unavailable_until_ms
                .store(unavailable_ms, Ordering::Relaxed);
            change
        };
        match change {
            Change::None => {}
            Change::Ejected(until_ms) => {
                self.backend.client.close_idle();
                let why = "too many failed exchanges in a row";
                let d = Decision::new(
                    Code::BackendEjected,
                    Subject::Backend,
                    &self.backend.id,
                    why,
                )
                .with("for_ms", until_ms.saturating_sub(now_ms))
                .with("ejected_before", ejected as u64)
                .with("of", route.backends.len() as u64);
                shared.log_decision(d);
            }
            Change::Readmitted => {
                let why = "a request succeeded after the ejection";
                let id = &self.backend.id;
                shared.log_decision(Decision::new(
                    Code::BackendReadmitted,
                    Subject::Backend,
                    id,
                    why,
                ));
            }
        }
    }
}

/// One request's search for a permit.
pub(super) struct Search<'a> {
    pub(super) shared: &'a Shared,
    pub(super) route: &'a Route,
    pub(super) class: Class,
    pub(super) entry_count: usize,
    /// The request's deadline; a permit that comes later is of no use.
    pub(super) deadline_ms: Millis,
}

impl Search<'_> {
    /// Takes a permit at a backend server that is not in `excluded`; waits in the queue if none is free.
    pub(super) async fn acquire(&self, excluded: &[SocketAddr]) -> Result<Permit, Kind> {
        if self.route.backends.is_empty() {
            return Err(Kind::NoBackend);
        }
        self.shared.may_send()?;
        if self.route.admission.waiting() == 0 {
            if let Some(permit) = self.try_acquire(excluded) {
                return Ok(permit);
            }
        }
        let (signal, signals) = smol::channel::bounded(2);
        let id = self.enqueue(signal.clone())?;
        let _guard = QueueGuard {
            admission: &self.route.admission,
            id,
        };
        self.wait_for_permit(signal, &signals, id, excluded).await
    }

    fn enqueue(&self, signal: Sender<Signal>) -> Result<u64, Kind> {
        let admission = &self.route.admission;
        let id = admission.next_waiter.fetch_add(1, Ordering::Relaxed);
        let waiter = Waiter { id, signal };
        let now_ms = self.shared.clock.now_ms();
        let concurrency: u32 = self.route.backends.iter().map(|b| b.window(now_ms)).sum();
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let queue_max = self.route.service.queue_max;
        let queued = lock(&admission.queue).enqueue(
            self.class,
            waiter,
            queue_max,
            concurrency as usize,
            left_ms,
        );
        match queued {
            Ok(pushed_out) => {
                if let Some(w) = pushed_out {
                    let _ = w.signal.try_send(Signal::PushedOut);
                }
                Ok(id)
            }
            Err(Shed::Full) => Err(Kind::QueueFull),
            Err(Shed::TooLate) => Err(Kind::DeadlineUnmeetable),
        }
    }

    async fn wait_for_permit(
        &self,
        signal: Sender<Signal>,
        signals: &Receiver<Signal>,
        id: u64,
        excluded: &[SocketAddr],
    ) -> Result<Permit, Kind> {
        loop {
            let signalled = async { signals.recv().await.ok() };
            let recheck = async {
                Timer::after(Duration::from_millis(RECHECK_MS)).await;
                None
            };
            let received = signalled.or(recheck).await;
            if received == Some(Signal::PushedOut) {
                return Err(Kind::QueueFull);
            }
            self.shared.may_send()?;
            // With too little time left the answer would come too late, so the request is refused before it is sent.
            let needed_ms = self.route.admission.likely_exchange_ms();
            if self.shared.clock.now_ms() + needed_ms >= self.deadline_ms {
                return Err(Kind::DeadlineUnmeetable);
            }
            if let Some(permit) = self.try_acquire(excluded) {
                return Ok(permit);
            }
            if received == Some(Signal::Recheck) {
                let signal = signal.clone();
                lock(&self.route.admission.queue).put_back_first(self.class, Waiter { id, signal });
            }
        }
    }

    fn try_acquire(&self, excluded: &[SocketAddr]) -> Option<Permit> {
        let now_ms = self.shared.clock.now_ms();
        let backends = &self.route.backends;
        let total_slots = backends.iter().map(|b| b.slots).sum();
        let batch = self.route.admission.batch_in_flight.load(Ordering::Relaxed);
        if !route::class_may_enter(self.class, batch, total_slots, self.entry_count) {
            return None;
        }
        const TRIES_MAX: usize = 3;
        for _ in 0..TRIES_MAX {
            let candidate_at = |i: usize| {
                let b: &Arc<Backend> = &backends[i];
                b.candidate(excluded.contains(&b.address()), now_ms)
            };
            let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
            let index = route::pick_candidate(backends.len(), candidate_at, &mut rng)?;
            let permit = backends[index].try_acquire(&self.route.admission, self.class, now_ms);
            if permit.is_some() {
                return permit;
            }
        }
        None
    }
}

/// Removes a waiter from the queue when it is dropped, however the wait ends.
struct QueueGuard<'a> {
    admission: &'a Admission,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        lock(&self.admission.queue).remove_where(|w| w.id == self.id);
    }
}
