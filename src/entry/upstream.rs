//! One request to backend servers: attempts, retries, and what may truly be said about the run.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use smol::Timer;

use super::balance::{Place, Search};
use super::shared::{Route, Shared};
use crate::clock::Millis;
use crate::core::config::Class;
use crate::core::health::ExchangeOutcome;
use crate::core::retry::{Cost, RetryBudget};
use crate::error::{Failure, Kind, Run};
use crate::event::{Code, Decision, Subject};
use crate::http::{connection_names, end_to_end, Answer, Incoming, Sent, Trouble};
use crate::metrics::Metrics;

/// Attempts at most, whatever budget and deadline allow.
const ATTEMPTS_MAX: usize = 16;

/// A request that goes on being refused or lost is given up after so long, whatever its deadline.
const TRY_MS: Millis = 2_000;

/// Pause between two looks at a spent budget.
const PAUSE_MS: Millis = 20;

/// Headers that stay between the caller and us.
const NOT_FORWARDED: [&str; 5] = [
    "authorization",
    "host",
    "rockwick-class",
    "rockwick-deadline-ms",
    "rockwick-request",
];

/// A request on its way.
pub(super) struct Forward<'a> {
    pub(super) shared: &'a Shared,
    pub(super) route: &'a Route,
    pub(super) incoming: &'a Incoming,
    pub(super) request: &'a str,
    /// Path and query at the backend server.
    pub(super) path: String,
    pub(super) class: Class,
    pub(super) entries: usize,
    pub(super) deadline_ms: Millis,
    /// Whether it may be sent again after bytes of it went out.
    pub(super) repeatable: bool,
}

/// What an attempt came to, beyond a whole answer.
enum Miss {
    /// Certainly not run, the backend server is full.
    Refused,
    /// Certainly not run, no connection.
    Unreached,
    /// It may have run.
    Lost(Kind),
}

impl Miss {
    fn cost(&self) -> Cost {
        match self {
            Miss::Refused | Miss::Unreached => Cost::Refused,
            Miss::Lost(_) => Cost::Lost,
        }
    }
}

impl Forward<'_> {
    /// Gives the backend server's whole answer, or why there is none.
    pub(super) async fn run(&self) -> Result<Answer, Failure> {
        let mut barred: Vec<SocketAddr> = Vec::new();
        let mut give_up_ms = self.deadline_ms;
        self.budget().earn();
        for attempt in 1..=ATTEMPTS_MAX {
            let place = match (self.search().place(&barred).await, attempt) {
                (Ok(place), _) => place,
                (Err(kind), 1) => return Err(kind.into()),
                // What those who were asked said is the answer.
                (Err(_), _) => return Err(Kind::Refused.with_detail("no other backend server is free")),
            };
            let addr = place.backend.address();
            let miss = match self.attempt(place, attempt).await {
                Ok(answer) => return Ok(answer),
                Err(miss) => miss,
            };
            if let Miss::Lost(kind) = miss {
                if !self.repeatable {
                    return Err(kind.with_detail("the request may have been run"));
                }
            }
            if attempt == 1 {
                give_up_ms = give_up_ms.min(self.shared.clock.now_ms() + TRY_MS);
            }
            let may_retry = attempt < ATTEMPTS_MAX;
            if !may_retry || !self.wait_for_budget(miss.cost(), give_up_ms).await {
                return Err(self.give_up(&miss));
            }
            barred.push(addr);
            if barred.len() >= self.route.backends.len() {
                barred.clear();
            }
            Metrics::increment(&self.shared.metrics.retries);
            self.tell_retry(&miss, attempt);
        }
        Err(Kind::Refused.into())
    }

    fn budget(&self) -> &RetryBudget {
        self.route.lane.budget(self.class)
    }

    /// Waits until the budget has a retry to give, for as long as it is worth it and in time.
    async fn wait_for_budget(&self, cost: Cost, give_up_ms: Millis) -> bool {
        loop {
            let now_ms = self.shared.clock.now_ms();
            if now_ms < give_up_ms && self.budget().spend(cost, now_ms) {
                return true;
            }
            let needed_ms = self.route.lane.likely_exchange_ms() + PAUSE_MS;
            if now_ms >= give_up_ms || now_ms + needed_ms >= self.deadline_ms {
                return false;
            }
            let jitter_ms = fastrand::u64(0..=PAUSE_MS);
            Timer::after(Duration::from_millis(PAUSE_MS / 2 + jitter_ms)).await;
        }
    }

    fn search(&self) -> Search<'_> {
        Search {
            shared: self.shared,
            route: self.route,
            class: self.class,
            entries: self.entries,
            deadline_ms: self.deadline_ms,
        }
    }

    fn give_up(&self, miss: &Miss) -> Failure {
        match miss {
            Miss::Refused => Kind::Refused.into(),
            Miss::Unreached => Kind::NoBackend.with_detail("no connection to a backend server"),
            Miss::Lost(kind) => (*kind).into(),
        }
    }

    async fn attempt(&self, place: Place, attempt: usize) -> Result<Answer, Miss> {
        let began_ms = self.shared.clock.now_ms();
        let left_ms = self.deadline_ms.saturating_sub(began_ms);
        // A first attempt that may be repeated leaves time for a second.
        let most_ms = match self.repeatable && attempt == 1 {
            true => left_ms.div_ceil(2),
            false => left_ms,
        };
        let Some(req) = self.outgoing(&place, left_ms) else {
            return Err(Miss::Unreached);
        };
        let deadline = self.shared.clock.instant(began_ms + most_ms);
        let result = place.backend.client.exchange(req, deadline).await;
        let took_ms = self.shared.clock.now_ms() - began_ms;
        let (sign, outcome) = judge(result);
        place.note(sign, self.route, self.shared);
        if sign == ExchangeOutcome::Good {
            self.route.lane.note_exchange(took_ms);
        }
        if let Err(Miss::Refused) = &outcome {
            Metrics::increment(&self.shared.metrics.refused_by_backend);
        }
        self.tell(&place, attempt, took_ms, &outcome);
        outcome
    }

    fn outgoing(&self, place: &Place, left_ms: Millis) -> Option<Request> {
        let method = self.incoming.head.method();
        let mut req = place.backend.client.request(method, &self.path)?;
        let headers = self.incoming.head.as_ref();
        let listed = connection_names(headers);
        for (name, values) in headers.iter() {
            let plain = name.as_str();
            if !end_to_end(plain, &listed) || NOT_FORWARDED.contains(&plain) {
                continue;
            }
            for value in values.iter() {
                req.append_header(name.clone(), value.clone());
            }
        }
        req.insert_header("rockwick-request", self.request);
        req.insert_header("rockwick-deadline-ms", left_ms.to_string());
        req.insert_header("rockwick-class", self.class.as_str());
        if !self.incoming.body.is_empty() {
            // The codec's own idea of the media type goes; the caller's stays.
            req.set_body(self.incoming.body.clone());
            req.remove_header("content-type");
            if let Some(media) = headers.get("content-type") {
                req.insert_header("content-type", media.last().clone());
            }
        }
        Some(req)
    }

    fn tell(&self, place: &Place, attempt: usize, took_ms: Millis, outcome: &Result<Answer, Miss>) {
        let now_ms = self.shared.clock.now_ms();
        let (code, why) = match outcome {
            Ok(answer) => (
                Code::Routed,
                format!("{} status {}", place.backend.id, answer.status),
            ),
            Err(Miss::Refused) => (Code::RouteFailed, format!("{} refused", place.backend.id)),
            Err(Miss::Unreached) => (Code::RouteFailed, format!("{} unreached", place.backend.id)),
            Err(Miss::Lost(kind)) => (
                Code::RouteFailed,
                format!("{} {}", place.backend.id, kind.row().name),
            ),
        };
        let d = Decision::new(code, Subject::Request, self.request, why)
            .with("attempt", attempt as u64)
            .with(
                "in_flight",
                place
                    .backend
                    .in_flight
                    .load(std::sync::atomic::Ordering::Relaxed)
                    .into(),
            )
            .with("window", place.backend.window(now_ms).into())
            .with("took_ms", took_ms)
            .with("left_ms", self.deadline_ms.saturating_sub(now_ms));
        self.shared.tell(d);
    }

    fn tell_retry(&self, miss: &Miss, attempt: usize) {
        let why = match miss {
            Miss::Refused => "refused before running",
            Miss::Unreached => "no connection",
            Miss::Lost(_) => "lost, and may be repeated",
        };
        let d = Decision::new(Code::RouteRetried, Subject::Request, self.request, why);
        self.shared.tell(d.with("after_attempt", attempt as u64));
    }
}

/// What an exchange says about the backend server, and about the run.
fn judge(result: Result<Answer, Trouble>) -> (ExchangeOutcome, Result<Answer, Miss>) {
    match result {
        // The refusal convention: 503 together with `Rockwick-Run: no`.
        Ok(a) if a.status == 503 && a.header("rockwick-run") == Some("no") => {
            (ExchangeOutcome::Full, Err(Miss::Refused))
        }
        Ok(a) if a.status >= 500 => (ExchangeOutcome::Bad, Ok(a)),
        Ok(a) => (ExchangeOutcome::Good, Ok(a)),
        Err(trouble) if trouble.sent() == Sent::Nothing => {
            (ExchangeOutcome::Bad, Err(Miss::Unreached))
        }
        Err(Trouble::Timeout(_)) => (ExchangeOutcome::Bad, Err(Miss::Lost(Kind::BackendTimeout))),
        // It answered, and too much: that says nothing about its health.
        Err(Trouble::TooLarge) => (ExchangeOutcome::Good, Err(Miss::Lost(Kind::AnswerTooLarge))),
        Err(_) => (ExchangeOutcome::Bad, Err(Miss::Lost(Kind::BackendBroken))),
    }
}

/// The caller's answer made from a backend server's.
pub(super) fn relay(answer: Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(answer.body);
    res.remove_header("content-type");
    let listed = connection_names(&answer.headers);
    for (name, values) in answer.headers.iter() {
        let plain = name.as_str();
        if !end_to_end(plain, &listed) || plain.starts_with("rockwick-") {
            continue;
        }
        for value in values.iter() {
            res.append_header(name.clone(), value.clone());
        }
    }
    res.insert_header("rockwick-run", Run::Yes.as_str());
    res
}

/// Whether HTTP itself says that a method may be repeated (RFC 9110, section 9.2.2) and changes nothing.
pub(super) fn is_safe(method: Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}
