//! The traffic thread: serves callers, the balancer's readiness checks and the metrics endpoint.
//!
//! It owns the listeners and their connections. `serve::run` starts it; it passes calls to `operations` and never
//! changes the state of the control thread.

use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Response;
use smol::{Async, LocalExecutor, Timer};

use super::operations;
use super::queues;
use super::shared::Shared;
use super::{new_platform, status, KEEP_OPEN_MS};
use crate::clock::wall_ms;
use crate::core::sched::operation::{Operation, Outcome, Request};
use crate::event::{Code, Decision, Subject};
use crate::http::{server, Incoming, Limits, Wire};
use crate::platform::{edge, Platform};

/// Limits on callers' connections and requests: the users' configuration names 256 KB and 15 s.
const CALLER_LIMITS: Limits = Limits {
    idle_ms: 15_000,
    receive_ms: 3_000,
    body_bytes: 256 << 10,
};

/// The `retry-after` of an entry that is about to end: other entries answer at once.
const RETRY_ELSEWHERE_S: u32 = 1;

/// The pause after a failed `accept`; the most likely cause is that the process has no file descriptors left.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Serves all listeners; returns only when the process ends.
pub(super) fn run(
    shared: &Arc<Shared>,
    caller_listener: Async<TcpListener>,
    readiness_listener: Async<TcpListener>,
    metrics_listener: Option<Async<TcpListener>>,
) {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let platform = new_platform(shared);
    let serve_caller = {
        let (shared, platform) = (Arc::clone(shared), platform.clone());
        move |stream| serve_connection(Arc::clone(&shared), platform.clone(), stream)
    };
    executor
        .spawn(accept_connections(
            Rc::clone(&executor),
            caller_listener,
            serve_caller,
        ))
        .detach();
    let follow_configurations = {
        let (shared, platform) = (Arc::clone(shared), platform.clone());
        async move { queues::follow_configurations(&shared, &platform).await }
    };
    executor.spawn(follow_configurations).detach();
    let serve_readiness = make_status_server(shared, status::answer_readiness);
    executor
        .spawn(accept_connections(
            Rc::clone(&executor),
            readiness_listener,
            serve_readiness,
        ))
        .detach();
    if let Some(listener) = metrics_listener {
        let serve_metrics = make_status_server(shared, status::answer_metrics);
        executor
            .spawn(accept_connections(
                Rc::clone(&executor),
                listener,
                serve_metrics,
            ))
            .detach();
    }
    smol::block_on(executor.run(std::future::pending::<()>()));
}

async fn accept_connections<F: Future<Output = ()> + 'static>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    serve: impl Fn(Async<TcpStream>) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor.spawn(serve(stream)).detach(),
            Err(_) => {
                Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Returns a function that serves connections of the balancer or of the metrics endpoint.
fn make_status_server<F: Future<Output = Response> + 'static>(
    shared: &Arc<Shared>,
    handler: impl Fn(Arc<Shared>, Incoming) -> F + Copy + 'static,
) -> impl Fn(Async<TcpStream>) -> std::pin::Pin<Box<dyn Future<Output = ()>>> {
    let shared = Arc::clone(shared);
    move |stream| {
        let shared = Arc::clone(&shared);
        let wire = Wire::for_requests(stream);
        Box::pin(async move {
            let handle = |incoming| handler(Arc::clone(&shared), incoming);
            server::serve(wire, Limits::default(), || false, handle).await;
        })
    }
}

async fn serve_connection(shared: Arc<Shared>, platform: Platform, stream: Async<TcpStream>) {
    shared.connections.fetch_add(1, Ordering::SeqCst);
    let stopping = || {
        shared
            .stopping_for_ms()
            .is_some_and(|ms| ms >= KEEP_OPEN_MS)
    };
    let handle = |incoming| answer_call(&shared, &platform, incoming);
    server::serve(Wire::for_requests(stream), CALLER_LIMITS, stopping, handle).await;
    shared.connections.fetch_sub(1, Ordering::SeqCst);
}

async fn answer_call(shared: &Shared, platform: &Platform, incoming: Incoming) -> Response {
    let began = Instant::now();
    let began_ms = shared.clock.now_ms();
    shared.metrics.requests.fetch_add(1, Ordering::Relaxed);
    let routing = shared.current_routing();
    let decoded = match shared.is_stop_overdue() {
        true => Err(Outcome::NotTaken {
            retry_after_s: RETRY_ELSEWHERE_S,
        }),
        false => edge::decode(&incoming, routing.as_deref(), wall_ms()),
    };
    let outcome = match decoded {
        Ok(request) => {
            let outcome = operations::run_operation(shared, platform, &request, began_ms).await;
            log_call(shared, &request, &outcome, began);
            outcome
        }
        Err(outcome) => {
            let path = incoming.head.url().path();
            let why = format!("{outcome:?}");
            let decision = Decision::new(Code::CallRefused, Subject::Request, path, why);
            shared.log_decision(with_config(shared, decision));
            outcome
        }
    };
    shared
        .metrics
        .record_request_us(began.elapsed().as_micros() as u64);
    edge::encode(&outcome)
}

fn log_call(shared: &Shared, request: &Request, outcome: &Outcome, began: Instant) {
    let (id, what) = match &request.operation {
        Operation::Submit(id, _) => (id.as_str(), "submit"),
        Operation::Cancel(id) => (id.as_str(), "cancel"),
        Operation::Read(id) => (id.as_str(), "read"),
        Operation::CountWaiting => (request.queue.as_str(), "count"),
    };
    let why = match &request.account {
        Some(account) => format!("{what} for {account}: {outcome:?}"),
        None => format!("{what}: {outcome:?}"),
    };
    let decision = Decision::new(Code::CallAnswered, Subject::Request, id, why)
        .with("took_us", began.elapsed().as_micros() as u64);
    shared.log_decision(with_config(shared, decision));
}

/// Adds the version of the configuration in force and the time since it was last known to be the newest. The call was
/// decided by this configuration unless a newer one came into force before the answer.
fn with_config(shared: &Shared, decision: Decision) -> Decision {
    decision
        .with("config", shared.config_version())
        .with("config_age_ms", shared.routing_age_ms())
}
