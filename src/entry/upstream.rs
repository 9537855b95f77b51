//! Forwards one request to backend servers: attempts, retries and the answer to the caller.
//!
//! A request that may have run is sent again only if it is repeatable. If it is not, its failure says that it may
//! have run. `traffic` builds a [`Forward`] for each request and runs it.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use smol::Timer;

use super::balance::{Permit, Search};
use super::shared::{Route, Shared};
use crate::clock::Millis;
use crate::core::config::Class;
use crate::core::health::ExchangeOutcome;
use crate::core::retry::{Cost, RetryBudget};
use crate::error::{Failure, Kind, Run};
use crate::event::{Code, Decision, Subject};
use crate::http::{connection_names, is_end_to_end, Answer, ExchangeError, Incoming, Sent};
use crate::metrics::Metrics;

/// Largest number of attempts for one request, even if the retry budget and the deadline allow more.
const ATTEMPTS_MAX: usize = 16;

/// Time after the first failed attempt in which retries may start, even if the deadline is later.
const RETRY_MAX_MS: Millis = 2_000;

/// The detail of a failure after an attempt that got no complete answer.
const MAY_HAVE_RUN: &str = "the request may have been run";

/// Pause between two checks of a spent retry budget, before jitter.
const BUDGET_POLL_MS: Millis = 20;

/// Headers of the caller that are not forwarded to the backend server.
const NOT_FORWARDED: [&str; 5] = [
    "authorization",
    "host",
    "rockwick-class",
    "rockwick-deadline-ms",
    "rockwick-request",
];

/// A request to forward, with its route and its bounds.
pub(super) struct Forward<'a> {
    pub(super) shared: &'a Shared,
    pub(super) route: &'a Route,
    pub(super) incoming: &'a Incoming,
    pub(super) request_id: &'a str,
    /// Path and query at the backend server.
    pub(super) path: String,
    pub(super) class: Class,
    pub(super) entry_count: usize,
    pub(super) deadline_ms: Millis,
    /// Whether the request may be sent again after some of its bytes were sent.
    pub(super) repeatable: bool,
}

/// Why an attempt got no complete answer.
enum AttemptError {
    /// The backend server is full and did not run the request.
    Refused,
    /// Nothing was sent, so the request did not run.
    NotConnected,
    /// The request may have run.
    Lost(Kind),
}

impl AttemptError {
    fn cost(&self) -> Cost {
        match self {
            AttemptError::Refused | AttemptError::NotConnected => Cost::Refused,
            AttemptError::Lost(_) => Cost::Lost,
        }
    }
}

impl Forward<'_> {
    /// Sends the request, with retries. Returns the backend server's complete answer, or why there is none.
    pub(super) async fn send_with_retries(&self) -> Result<Answer, Failure> {
        let mut excluded: Vec<SocketAddr> = Vec::new();
        let mut give_up_ms = self.deadline_ms;
        let mut lost: Option<Kind> = None;
        self.retry_budget().earn();
        for attempt in 1..=ATTEMPTS_MAX {
            let permit = match (self.permit_search().acquire(&excluded).await, attempt) {
                (Ok(permit), _) => permit,
                (Err(kind), 1) => return Err(kind.into()),
                // After a first attempt, the answer is a refusal, whatever the reason that no permit was granted.
                (Err(_), _) => {
                    let refusal = Kind::Refused.with_detail("no other backend server is free");
                    return Err(failure_after(lost, refusal));
                }
            };
            let addr = permit.backend.address();
            let err = match self.send_attempt(permit, attempt).await {
                Ok(answer) => return Ok(answer),
                Err(err) => err,
            };
            if let AttemptError::Lost(kind) = err {
                if !self.repeatable {
                    return Err(kind.with_detail(MAY_HAVE_RUN));
                }
                lost = Some(kind);
            }
            if attempt == 1 {
                give_up_ms = give_up_ms.min(self.shared.clock.now_ms() + RETRY_MAX_MS);
            }
            let may_retry = attempt < ATTEMPTS_MAX;
            if !may_retry || !self.wait_for_budget(err.cost(), give_up_ms).await {
                return Err(failure_after(lost, self.attempt_failure(&err)));
            }
            excluded.push(addr);
            if excluded.len() >= self.route.backends.len() {
                excluded.clear();
            }
            Metrics::increment(&self.shared.metrics.retries);
            self.log_retry(&err, attempt);
        }
        Err(failure_after(lost, Kind::Refused.into()))
    }

    fn retry_budget(&self) -> &RetryBudget {
        self.route.admission.budget(self.class)
    }

    /// Waits until the retry budget allows a retry. Returns false if `give_up_ms` comes first, or if too little time
    /// is left for another exchange.
    async fn wait_for_budget(&self, cost: Cost, give_up_ms: Millis) -> bool {
        loop {
            let now_ms = self.shared.clock.now_ms();
            if now_ms < give_up_ms && self.retry_budget().spend(cost, now_ms) {
                return true;
            }
            let needed_ms = self.route.admission.likely_exchange_ms() + BUDGET_POLL_MS;
            if now_ms >= give_up_ms || now_ms + needed_ms >= self.deadline_ms {
                return false;
            }
            let jitter_ms = fastrand::u64(0..=BUDGET_POLL_MS);
            Timer::after(Duration::from_millis(BUDGET_POLL_MS / 2 + jitter_ms)).await;
        }
    }

    fn permit_search(&self) -> Search<'_> {
        Search {
            shared: self.shared,
            route: self.route,
            class: self.class,
            entry_count: self.entry_count,
            deadline_ms: self.deadline_ms,
        }
    }

    fn attempt_failure(&self, err: &AttemptError) -> Failure {
        match err {
            AttemptError::Refused => Kind::Refused.into(),
            AttemptError::NotConnected => {
                Kind::NoBackend.with_detail("no connection to a backend server")
            }
            AttemptError::Lost(kind) => (*kind).into(),
        }
    }

    async fn send_attempt(&self, permit: Permit, attempt: usize) -> Result<Answer, AttemptError> {
        let began_ms = self.shared.clock.now_ms();
        let left_ms = self.deadline_ms.saturating_sub(began_ms);
        // The first attempt of a repeatable request uses at most half the time, so that a second one is possible.
        let timeout_ms = match self.repeatable && attempt == 1 {
            true => left_ms.div_ceil(2),
            false => left_ms,
        };
        let Some(req) = self.build_request(&permit, left_ms) else {
            return Err(AttemptError::NotConnected);
        };
        let deadline = self.shared.clock.instant(began_ms + timeout_ms);
        let result = permit.backend.client.exchange(req, deadline).await;
        let took_ms = self.shared.clock.now_ms() - began_ms;
        let (health_outcome, outcome) = classify_exchange(result);
        permit.note_outcome(health_outcome, self.route, self.shared);
        if health_outcome == ExchangeOutcome::Good {
            self.route.admission.note_exchange(took_ms);
        }
        if let Err(AttemptError::Refused) = &outcome {
            Metrics::increment(&self.shared.metrics.refused_by_backend);
        }
        self.log_attempt(&permit, attempt, took_ms, &outcome);
        outcome
    }

    fn build_request(&self, permit: &Permit, left_ms: Millis) -> Option<Request> {
        let method = self.incoming.head.method();
        let mut req = permit.backend.client.request(method, &self.path)?;
        let headers = self.incoming.head.as_ref();
        let connection_headers = connection_names(headers);
        for (name, values) in headers.iter() {
            let name_text = name.as_str();
            if !is_end_to_end(name_text, &connection_headers) || NOT_FORWARDED.contains(&name_text)
            {
                continue;
            }
            for value in values.iter() {
                req.append_header(name.clone(), value.clone());
            }
        }
        req.insert_header("rockwick-request", self.request_id);
        req.insert_header("rockwick-deadline-ms", left_ms.to_string());
        req.insert_header("rockwick-class", self.class.as_str());
        if !self.incoming.body.is_empty() {
            // `set_body` sets a media type of its own; the caller's replaces it.
            req.set_body(self.incoming.body.clone());
            req.remove_header("content-type");
            if let Some(media) = headers.get("content-type") {
                req.insert_header("content-type", media.last().clone());
            }
        }
        Some(req)
    }

    fn log_attempt(
        &self,
        permit: &Permit,
        attempt: usize,
        took_ms: Millis,
        outcome: &Result<Answer, AttemptError>,
    ) {
        let now_ms = self.shared.clock.now_ms();
        let (code, why) = match outcome {
            Ok(answer) => (
                Code::Routed,
                format!(
                    "{} answered with status {}",
                    permit.backend.id, answer.status
                ),
            ),
            Err(AttemptError::Refused) => (
                Code::RouteFailed,
                format!("{} refused the request", permit.backend.id),
            ),
            Err(AttemptError::NotConnected) => (
                Code::RouteFailed,
                format!("{} could not be reached", permit.backend.id),
            ),
            Err(AttemptError::Lost(kind)) => (
                Code::RouteFailed,
                format!(
                    "{} gave no complete answer: {}",
                    permit.backend.id,
                    kind.info().name
                ),
            ),
        };
        let d = Decision::new(code, Subject::Request, self.request_id, why)
            .with("attempt", attempt as u64)
            .with(
                "in_flight",
                permit
                    .backend
                    .in_flight
                    .load(std::sync::atomic::Ordering::Relaxed)
                    .into(),
            )
            .with("window", permit.backend.window(now_ms).into())
            .with("took_ms", took_ms)
            .with("left_ms", self.deadline_ms.saturating_sub(now_ms));
        self.shared.log_decision(d);
    }

    fn log_retry(&self, err: &AttemptError, attempt: usize) {
        let why = match err {
            AttemptError::Refused => "the backend server refused the request before running it",
            AttemptError::NotConnected => "no connection to the backend server",
            AttemptError::Lost(_) => "no complete answer, and the request may be repeated",
        };
        let d = Decision::new(Code::RouteRetried, Subject::Request, self.request_id, why);
        self.shared
            .log_decision(d.with("after_attempt", attempt as u64));
    }
}

/// Returns the failure of a request whose last attempt failed with `last`, after `lost` for an earlier attempt. A refusal
/// of the last attempt says nothing about a lost one, which may have run.
fn failure_after(lost: Option<Kind>, last: Failure) -> Failure {
    match lost {
        Some(kind) if last.kind.info().run == Run::No => kind.with_detail(MAY_HAVE_RUN),
        _ => last,
    }
}

/// Returns what an exchange says about the backend server's health, and the outcome of the attempt.
fn classify_exchange(
    result: Result<Answer, ExchangeError>,
) -> (ExchangeOutcome, Result<Answer, AttemptError>) {
    match result {
        // The refusal convention: 503 together with `Rockwick-Run: no`.
        Ok(a) if a.status == 503 && a.header("rockwick-run") == Some("no") => {
            (ExchangeOutcome::Full, Err(AttemptError::Refused))
        }
        Ok(a) if a.status >= 500 => (ExchangeOutcome::Bad, Ok(a)),
        Ok(a) => (ExchangeOutcome::Good, Ok(a)),
        Err(err) if err.sent() == Sent::Nothing => {
            (ExchangeOutcome::Bad, Err(AttemptError::NotConnected))
        }
        Err(ExchangeError::Timeout(_)) => (
            ExchangeOutcome::Bad,
            Err(AttemptError::Lost(Kind::BackendTimeout)),
        ),
        // The backend server answered; an answer that is too large says nothing against its health.
        Err(ExchangeError::TooLarge) => (
            ExchangeOutcome::Good,
            Err(AttemptError::Lost(Kind::AnswerTooLarge)),
        ),
        Err(_) => (
            ExchangeOutcome::Bad,
            Err(AttemptError::Lost(Kind::BackendBroken)),
        ),
    }
}

/// Builds the caller's answer from a backend server's, without hop-by-hop headers and `rockwick-` headers.
pub(super) fn relay_answer(answer: Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(answer.body);
    res.remove_header("content-type");
    let connection_headers = connection_names(&answer.headers);
    for (name, values) in answer.headers.iter() {
        let name_text = name.as_str();
        if !is_end_to_end(name_text, &connection_headers) || name_text.starts_with("rockwick-") {
            continue;
        }
        for value in values.iter() {
            res.append_header(name.clone(), value.clone());
        }
    }
    res.insert_header("rockwick-run", Run::Yes.as_str());
    res
}

/// Whether HTTP defines that the method changes nothing and may be repeated (RFC 9110, section 9.2.2).
pub(super) fn is_safe(method: Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}
