//! Places at backend servers: taken before a request is sent, given back when its exchange ended.

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

/// A waiter looks again after so long even if nobody calls it: windows grow and ejections end silently.
const LOOK_AGAIN_MS: Millis = 50;

/// A backend server, kept over changes of the routes.
pub(super) struct Backend {
    /// `HOST/SERVICE`.
    pub(super) id: String,
    pub(super) host: String,
    pub(super) near: bool,
    pub(super) slots: u32,
    pub(super) client: Client,
    /// Requests of this entry that hold a place here.
    pub(super) in_flight: AtomicU32,
    /// Set when the routes no longer name it: no new place is given.
    pub(super) closed: AtomicBool,
    window_size: AtomicU32,
    ejected_until_ms: AtomicU64,
    barred_until_ms: AtomicU64,
    judged: Mutex<Judged>,
}

struct Judged {
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
        // Connections are shared by all entries without a word between them, so each keeps to its part.
        let part = (spec.connections as usize / entries.max(1)).max(1);
        let client = Client::new(spec.address)
            .with_idle_max(part)
            .with_answer_max_bytes(answer_bytes);
        Self {
            id: format!("{}/{service}", spec.host),
            host: spec.host.clone(),
            near: spec.hall == hall,
            slots: spec.slots,
            client,
            in_flight: AtomicU32::new(0),
            closed: AtomicBool::new(false),
            window_size: AtomicU32::new(window.size()),
            ejected_until_ms: AtomicU64::new(0),
            barred_until_ms: AtomicU64::new(0),
            judged: Mutex::new(Judged {
                window,
                health: Health::default(),
            }),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.client.addr()
    }

    /// How many requests this entry may have here now.
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

    fn is_barred(&self, now_ms: Millis) -> bool {
        now_ms < self.barred_until_ms.load(Ordering::Relaxed)
    }

    fn candidate(&self, barred: bool, now_ms: Millis) -> Candidate {
        Candidate {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            window: self.window(now_ms),
            is_excluded: barred || self.is_barred(now_ms) || self.closed.load(Ordering::Relaxed),
            is_same_hall: self.near,
        }
    }

    /// Takes a place, or finds that there is none any more.
    ///
    /// The count goes up before `closed` is looked at, and the control thread sets `closed` before it
    /// looks at the count. So either it sees this request, or the request sees the mark.
    fn try_take(self: &Arc<Self>, lane: &Arc<Lane>, class: Class, now_ms: Millis) -> Option<Place> {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        if before >= self.window(now_ms) || self.closed.load(Ordering::SeqCst) {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        if class == Class::Batch {
            lane.batch_in_flight.fetch_add(1, Ordering::Relaxed);
        }
        Some(Place {
            backend: Arc::clone(self),
            lane: Arc::clone(lane),
            class,
            at_window: before + 1 >= self.window(now_ms),
        })
    }
}

/// What all requests of a service share at this entry.
pub(super) struct Lane {
    queue: Mutex<Queue<Waiter>>,
    /// By class, so that batch can't spend what urgent work needs.
    budgets: [RetryBudget; 3],
    batch_in_flight: AtomicU32,
    next_waiter: AtomicU64,
}

/// Somebody who waits for a place.
struct Waiter {
    id: u64,
    call: Sender<Call>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    /// A place may be free.
    Look,
    /// A more urgent one took the place in the queue.
    PushedOut,
}

impl Lane {
    pub(super) fn new() -> Self {
        Self {
            queue: Mutex::new(Queue::new()),
            budgets: [RetryBudget::new(), RetryBudget::new(), RetryBudget::new()],
            batch_in_flight: AtomicU32::new(0),
            next_waiter: AtomicU64::new(0),
        }
    }

    /// The retry budget of a class.
    pub(super) fn budget(&self, class: Class) -> &RetryBudget {
        &self.budgets[class as usize]
    }

    /// The time that one exchange takes with fair certainty.
    pub(super) fn likely_exchange_ms(&self) -> Millis {
        lock(&self.queue).likely_exchange_ms()
    }

    /// Calls the next one who waits.
    fn call_next(&self) {
        loop {
            let Some(waiter) = lock(&self.queue).dequeue() else {
                return;
            };
            if waiter.call.try_send(Call::Look).is_ok() {
                return;
            }
        }
    }

    /// Takes the length of an exchange in, for the next expected waits.
    pub(super) fn note_exchange(&self, ms: Millis) {
        lock(&self.queue).record_exchange(ms);
    }

    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        lock(&self.queue).len()
    }
}

/// A place at a backend server, held for one exchange.
pub(super) struct Place {
    pub(super) backend: Arc<Backend>,
    lane: Arc<Lane>,
    class: Class,
    at_window: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::SeqCst);
        if self.class == Class::Batch {
            self.lane.batch_in_flight.fetch_sub(1, Ordering::Relaxed);
        }
        self.lane.call_next();
    }
}

impl Place {
    /// Takes in what the exchange says about the backend server.
    pub(super) fn note(&self, sign: ExchangeOutcome, route: &Route, shared: &Shared) {
        let now_ms = shared.clock.now_ms();
        // Only a bad sign can eject, so only then the others are looked at.
        let ejected = match sign {
            ExchangeOutcome::Bad => route
                .backends
                .iter()
                .filter(|b| b.is_ejected(now_ms))
                .count(),
            ExchangeOutcome::Good | ExchangeOutcome::Full => 0,
        };
        let may_eject = health::may_eject(ejected, route.backends.len());
        let change = {
            let mut judged = lock(&self.backend.judged);
            match sign {
                ExchangeOutcome::Full => judged.window.shrink(),
                ExchangeOutcome::Good if self.at_window => judged.window.grow(),
                _ => {}
            }
            let size = judged.window.size();
            self.backend.window_size.store(size, Ordering::Relaxed);
            let change = judged.health.record_outcome(sign, may_eject, now_ms);
            let until_ms = judged.health.ejected_until_ms();
            self.backend
                .ejected_until_ms
                .store(until_ms, Ordering::Relaxed);
            let barred_ms = judged.health.unavailable_until_ms();
            self.backend
                .barred_until_ms
                .store(barred_ms, Ordering::Relaxed);
            change
        };
        match change {
            Change::None => {}
            Change::Ejected(until_ms) => {
                self.backend.client.forget_idle();
                let why = "failed too often in a row";
                let d = Decision::new(
                    Code::BackendEjected,
                    Subject::Backend,
                    &self.backend.id,
                    why,
                )
                .with("for_ms", until_ms.saturating_sub(now_ms))
                .with("ejected_before", ejected as u64)
                .with("of", route.backends.len() as u64);
                shared.tell(d);
            }
            Change::Readmitted => {
                let why = "answered well after its ejection";
                let id = &self.backend.id;
                shared.tell(Decision::new(
                    Code::BackendReadmitted,
                    Subject::Backend,
                    id,
                    why,
                ));
            }
        }
    }
}

/// One request's search for a place.
pub(super) struct Search<'a> {
    pub(super) shared: &'a Shared,
    pub(super) route: &'a Route,
    pub(super) class: Class,
    pub(super) entries: usize,
    /// Until when it is worth having a place.
    pub(super) deadline_ms: Millis,
}

impl Search<'_> {
    /// Takes a place at a backend server not in `barred`, waiting for one if need be.
    pub(super) async fn place(&self, barred: &[SocketAddr]) -> Result<Place, Kind> {
        if self.route.backends.is_empty() {
            return Err(Kind::NoBackend);
        }
        self.shared.may_send()?;
        if self.route.lane.waiting() == 0 {
            if let Some(place) = self.try_place(barred) {
                return Ok(place);
            }
        }
        let (call, calls) = smol::channel::bounded(2);
        let id = self.enter(call.clone())?;
        let _leaves = Leaves {
            lane: &self.route.lane,
            id,
        };
        self.wait(call, &calls, id, barred).await
    }

    fn enter(&self, call: Sender<Call>) -> Result<u64, Kind> {
        let lane = &self.route.lane;
        let id = lane.next_waiter.fetch_add(1, Ordering::Relaxed);
        let waiter = Waiter { id, call };
        let now_ms = self.shared.clock.now_ms();
        let places: u32 = self.route.backends.iter().map(|b| b.window(now_ms)).sum();
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let most = self.route.service.queue_max;
        let entered = lock(&lane.queue).enqueue(self.class, waiter, most, places as usize, left_ms);
        match entered {
            Ok(pushed_out) => {
                if let Some(w) = pushed_out {
                    let _ = w.call.try_send(Call::PushedOut);
                }
                Ok(id)
            }
            Err(Shed::Full) => Err(Kind::QueueFull),
            Err(Shed::TooLate) => Err(Kind::DeadlineUnmeetable),
        }
    }

    async fn wait(
        &self,
        call: Sender<Call>,
        calls: &Receiver<Call>,
        id: u64,
        barred: &[SocketAddr],
    ) -> Result<Place, Kind> {
        loop {
            let called = async { calls.recv().await.ok() };
            let look = async {
                Timer::after(Duration::from_millis(LOOK_AGAIN_MS)).await;
                None
            };
            let heard = called.or(look).await;
            if heard == Some(Call::PushedOut) {
                return Err(Kind::QueueFull);
            }
            self.shared.may_send()?;
            // With too little time left the answer would come late: better certainly not run.
            let needed_ms = self.route.lane.likely_exchange_ms();
            if self.shared.clock.now_ms() + needed_ms >= self.deadline_ms {
                return Err(Kind::DeadlineUnmeetable);
            }
            if let Some(place) = self.try_place(barred) {
                return Ok(place);
            }
            if heard == Some(Call::Look) {
                let call = call.clone();
                lock(&self.route.lane.queue).put_back_first(self.class, Waiter { id, call });
            }
        }
    }

    fn try_place(&self, barred: &[SocketAddr]) -> Option<Place> {
        let now_ms = self.shared.clock.now_ms();
        let backends = &self.route.backends;
        let all_slots = backends.iter().map(|b| b.slots).sum();
        let batch = self.route.lane.batch_in_flight.load(Ordering::Relaxed);
        if !route::class_may_enter(self.class, batch, all_slots, self.entries) {
            return None;
        }
        const TRIES: usize = 3;
        for _ in 0..TRIES {
            let look = |i: usize| {
                let b: &Arc<Backend> = &backends[i];
                b.candidate(barred.contains(&b.address()), now_ms)
            };
            let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
            let at = route::pick_candidate(backends.len(), look, &mut rng)?;
            let taken = backends[at].try_take(&self.route.lane, self.class, now_ms);
            if taken.is_some() {
                return taken;
            }
        }
        None
    }
}

/// Takes a waiter out of the queue however its wait ends.
struct Leaves<'a> {
    lane: &'a Lane,
    id: u64,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        lock(&self.lane.queue).remove_where(|w| w.id == self.id);
    }
}
