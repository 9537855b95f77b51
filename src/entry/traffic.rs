//! Handles the requests of callers.
//!
//! Checks the account's token and quota, then forwards a request to a service, or submits, shows or cancels a job.
//! The server of the entry's traffic port calls [`handle_request`] for each request.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Response};
use smol::Timer;

use super::control::{submit_edit, Message};
use super::keyed::{self, Claimed};
use super::shared::{Caller, Routes, Shared};
use super::upstream::{is_safe, relay_answer, Forward};
use crate::auth;
use crate::clock::Millis;
use crate::core::config::Class;
use crate::core::operate::{Edit, Reply};
use crate::core::rows::{job_key, JobRow, JobSpec};
use crate::core::state::decode;
use crate::error::{Failure, Kind, Run};
use crate::event::{Code, Decision, Subject};
use crate::http::{server, Incoming};
use crate::metrics::Metrics;
use crate::port::Table;
use crate::util::lock;

/// Longest `Idempotency-Key` that is accepted.
const KEY_MAX_BYTES: usize = 256;

/// Largest value of `Rockwick-Deadline-Ms`.
const DEADLINE_MAX_MS: Millis = 3_600_000;

/// Longest time that a request waits for a confirmed view after a pause of the process.
const FRESH_VIEW_MAX_MS: Millis = 1_000;

/// Longest time for which a cancel retries its commit after conflicts and waits for the job's final state.
const CANCEL_WAIT_MAX_MS: Millis = 5_000;

/// Answers one request of a caller, counts it in the metrics and logs a refusal.
pub(super) async fn handle_request(shared: &Arc<Shared>, incoming: Incoming) -> Response {
    Metrics::increment(&shared.metrics.requests);
    let request_id = shared.new_request_id();
    let result = answer_request(shared, &incoming, &request_id).await;
    let mut res = match result {
        Ok(res) => {
            let took = incoming.arrived.elapsed();
            shared.metrics.record_request_us(took.as_micros() as u64);
            Metrics::increment(&shared.metrics.answered);
            res
        }
        Err(failure) => {
            shared.metrics.count_failure(failure.kind);
            log_refused(shared, &request_id, &failure);
            server::problem(&failure)
        }
    };
    res.insert_header("rockwick-request", request_id.as_str());
    res
}

fn log_refused(shared: &Shared, request_id: &str, failure: &Failure) {
    let info = failure.kind.info();
    let why = format!("{}: {}", info.name, failure.detail);
    let d = Decision::new(Code::RouteRefused, Subject::Request, request_id, why);
    shared.log_decision(d.with("status", u64::from(info.status)));
}

async fn answer_request(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    request_id: &str,
) -> Result<Response, Failure> {
    let path = incoming.head.url().path();
    let routes = shared.routes.load_full();
    if !shared.ready.load(Ordering::SeqCst) {
        return Err(Kind::NotReady.into());
    }
    let caller = routes
        .find_caller(auth::bearer(incoming.header("authorization")))
        .ok_or(Kind::Unauthorized)?;
    if let Some(rest) = path.strip_prefix("/s/") {
        take_quota(shared, caller)?;
        return forward_to_service(shared, &routes, caller, incoming, request_id, rest).await;
    }
    if path == "/jobs" || path.starts_with("/jobs/") {
        take_quota(shared, caller)?;
        return handle_jobs(shared, caller, incoming, path).await;
    }
    Err(Kind::UnknownPath.with_detail(path))
}

fn take_quota(shared: &Shared, caller: &Caller) -> Result<(), Failure> {
    let now_ms = shared.clock.now_ms();
    lock(&caller.bucket).take(now_ms).map_err(|wait_ms| {
        let detail = format!("account {}: come back in {wait_ms} ms", caller.name);
        Kind::QuotaSpent.with_detail(detail)
    })
}

async fn forward_to_service(
    shared: &Arc<Shared>,
    routes: &Routes,
    caller: &Caller,
    incoming: &Incoming,
    request_id: &str,
    rest: &str,
) -> Result<Response, Failure> {
    let (service, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let route = routes.services.get(service);
    let route = route.ok_or_else(|| Kind::UnknownService.with_detail(service))?;
    let method = incoming.head.method();
    if matches!(method, Method::Connect | Method::Trace) {
        return Err(Kind::BadRequest.with_detail(format!("method {method}")));
    }
    let path = match incoming.head.url().query() {
        Some(query) => format!("/{tail}?{query}"),
        None => format!("/{tail}"),
    };
    let timeout_ms = parse_deadline_ms(incoming)?.unwrap_or(route.service.timeout_ms);
    let timeout_ms = timeout_ms.min(route.service.timeout_ms);
    let forward = Forward {
        shared,
        route,
        incoming,
        request_id,
        path,
        class: parse_class(incoming)?,
        entry_count: routes.entry_count,
        deadline_ms: shared.clock.now_ms() + timeout_ms,
        repeatable: is_safe(method) || route.service.repeatable,
    };
    wait_for_fresh_view(shared).await?;
    let key = incoming
        .header("idempotency-key")
        .filter(|_| !is_safe(method));
    let answer = match key {
        Some(key) => return forward_with_key(shared, caller, forward, key).await,
        None => forward.send_with_retries().await?,
    };
    Ok(relay_answer(answer))
}

async fn forward_with_key(
    shared: &Arc<Shared>,
    caller: &Caller,
    mut forward: Forward<'_>,
    key: &str,
) -> Result<Response, Failure> {
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
        return Err(
            Kind::BadRequest.with_detail(format!("Idempotency-Key: 1 to {KEY_MAX_BYTES} bytes"))
        );
    }
    if forward.route.backends.is_empty() {
        return Err(Kind::NoBackend.into());
    }
    if shared.store_down.load(Ordering::SeqCst) {
        return Err(Kind::StoreDown.into());
    }
    // A request with a key runs at most once, even if the service declares that it is repeatable.
    forward.repeatable = false;
    let claim = keyed::claim_key(
        shared,
        &caller.name,
        key,
        forward.request_id,
        forward.incoming,
    )
    .await?;
    let claim = match claim {
        Claimed::Known(res) => return Ok(res),
        Claimed::Ours(claim) => claim,
    };
    let result = forward.send_with_retries().await;
    keyed::record_outcome(shared, claim, &result).await;
    result.map(relay_answer)
}

/// Waits until the entry may send, at most [`FRESH_VIEW_MAX_MS`]. After a pause of the process, it may not send until
/// the view is confirmed again.
async fn wait_for_fresh_view(shared: &Shared) -> Result<(), Failure> {
    let until_ms = shared.clock.now_ms() + FRESH_VIEW_MAX_MS;
    loop {
        match shared.may_send() {
            Ok(()) => return Ok(()),
            Err(kind) if shared.clock.now_ms() >= until_ms => return Err(kind.into()),
            Err(_) => Timer::after(Duration::from_millis(20)).await,
        };
    }
}

fn parse_class(incoming: &Incoming) -> Result<Class, Failure> {
    match incoming.header("rockwick-class") {
        None => Ok(Class::Normal),
        Some(text) => Class::parse(text).ok_or_else(|| {
            let detail = format!("Rockwick-Class {text:?}: urgent, normal or batch");
            Kind::BadRequest.with_detail(detail)
        }),
    }
}

fn parse_deadline_ms(incoming: &Incoming) -> Result<Option<Millis>, Failure> {
    let Some(text) = incoming.header("rockwick-deadline-ms") else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms) if ms <= DEADLINE_MAX_MS => Ok(Some(ms)),
        _ => {
            let detail = format!("Rockwick-Deadline-Ms {text:?}: 0 to {DEADLINE_MAX_MS}");
            Err(Kind::BadRequest.with_detail(detail))
        }
    }
}

async fn handle_jobs(
    shared: &Arc<Shared>,
    caller: &Caller,
    incoming: &Incoming,
    path: &str,
) -> Result<Response, Failure> {
    let id = path
        .strip_prefix("/jobs")
        .unwrap_or_default()
        .trim_start_matches('/');
    match (incoming.head.method(), id) {
        (Method::Post, "") => submit_job(shared, caller, incoming).await,
        (Method::Get, id) if !id.is_empty() => {
            let job = find_job(shared, caller, id).await?;
            Ok(server::with_run(server::json(200, &job), Run::Yes))
        }
        (Method::Delete, id) if !id.is_empty() => cancel_job(shared, caller, id).await,
        (method, _) => Err(Kind::BadRequest.with_detail(format!("{method} {path}"))),
    }
}

async fn submit_job(
    shared: &Arc<Shared>,
    caller: &Caller,
    incoming: &Incoming,
) -> Result<Response, Failure> {
    let spec: JobSpec = serde_json::from_slice(&incoming.body)
        .map_err(|e| Kind::BadRequest.with_detail(format!("job: {e}")))?;
    let id = incoming.header("idempotency-key").map(|key| {
        let hash = auth::sha256_hex(&[caller.name.as_bytes(), key.as_bytes()]);
        format!("j-{}", &hash[..24])
    });
    let edit = Edit::Submit {
        account: caller.name.clone(),
        id,
        spec,
    };
    match submit_edit(shared, edit).await? {
        Reply::Job(id) => {
            let mut res = server::json(202, &serde_json::json!({ "job": id }));
            res.insert_header("location", format!("/jobs/{id}"));
            Ok(res)
        }
        other => Err(Kind::Internal.with_detail(format!("{other:?}"))),
    }
}

/// Finds a job of the account in this entry's state, or in the table if another entry has just accepted it.
async fn find_job(shared: &Arc<Shared>, caller: &Caller, id: &str) -> Result<JobRow, Failure> {
    let (reply, answer) = smol::channel::bounded(1);
    let asked_id = id.to_string();
    shared.send_to_control(Message::Job {
        id: asked_id,
        reply,
    });
    let mut found = answer.recv().await.ok().flatten();
    if found.is_none() {
        Metrics::increment(&shared.metrics.platform_calls);
        let row = shared.platform.get(&job_key(id)).await;
        let row = row.map_err(|_| Failure::from(Kind::StoreDown))?;
        found = row.and_then(|r| decode(&r).ok().flatten());
    }
    found
        .filter(|job: &JobRow| job.account == caller.name)
        .ok_or_else(|| Kind::UnknownJob.with_detail(id))
}

/// Cancels the job. Answers 200 with its final state if it ends in time, else 202 with its present state.
async fn cancel_job(shared: &Arc<Shared>, caller: &Caller, id: &str) -> Result<Response, Failure> {
    find_job(shared, caller, id).await?;
    let edit = Edit::Cancel {
        account: Some(caller.name.clone()),
        job: id.to_string(),
    };
    let until_ms = shared.clock.now_ms() + CANCEL_WAIT_MAX_MS;
    // A conflict means that another change to the job, such as its placement, is being committed.
    while let Err(failure) = submit_edit(shared, edit.clone()).await {
        if failure.kind != Kind::Conflict || shared.clock.now_ms() >= until_ms {
            return Err(failure);
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    loop {
        let job = find_job(shared, caller, id).await?;
        if job.state.is_final() {
            return Ok(server::json(200, &job));
        }
        if shared.clock.now_ms() >= until_ms {
            return Ok(server::json(202, &job));
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}
