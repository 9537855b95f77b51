//! The traffic thread: serves callers, the balancer's readiness checks and the metrics endpoint.
//!
//! It owns the listeners and their connections. `serve::run` starts it; it passes calls to `operations` and never
//! changes the state of the control thread.

use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http_types::Response;
use smol::channel::{Receiver, Sender};
use smol::{Async, LocalExecutor, Timer};

use super::operations;
use super::queues;
use super::shared::Shared;
use super::{new_platform, status, KEEP_OPEN_MS};
use crate::clock::wall_ms;
use crate::core::connections::ConnectionLimits;
use crate::core::sched::operation::{Operation, Outcome, Request};
use crate::event::{Code, Decision, Subject};
use crate::http::server::Lifetime;
use crate::http::{server, Incoming, Intake, Limits, Seat};
use crate::platform::{edge, Platform};
use crate::util::CountGuard;

/// Limits on callers' connections and requests: the users' configuration names 256 KB and 15 s.
const CALLER_LIMITS: Limits = Limits {
    idle_ms: 15_000,
    receive_ms: 3_000,
    body_bytes: 256 << 10,
};

/// Limits on checks, which have no bodies.
const CHECK_LIMITS: Limits = Limits {
    idle_ms: 60_000,
    receive_ms: 10_000,
    body_bytes: 4 << 10,
};

/// How long no client may be refused or closed before this is logged as over.
const INTAKE_FREE_MS: u64 = 10_000;

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
    let (limited, limited_receiver) = smol::channel::bounded(1);
    let process = shared.settings.process;
    let callers = new_intake(
        shared,
        process.for_callers(CALLER_LIMITS.body_bytes),
        &limited,
    );
    let readiness = new_intake(
        shared,
        process.for_checks(CHECK_LIMITS.body_bytes),
        &limited,
    );
    let metrics = new_intake(
        shared,
        process.for_checks(CHECK_LIMITS.body_bytes),
        &limited,
    );
    let serve_callers = {
        let (shared, platform) = (Arc::clone(shared), platform.clone());
        let executor = Rc::clone(&executor);
        async move {
            let serve = |seat| serve_connection(Arc::clone(&shared), platform.clone(), seat);
            accept_callers(&shared, &executor, caller_listener, &callers, serve).await;
        }
    };
    executor.spawn(serve_callers).detach();
    let report = report_limits(Arc::clone(shared), limited_receiver);
    executor.spawn(report).detach();
    let follow_configurations = {
        let (shared, platform) = (Arc::clone(shared), platform.clone());
        async move { queues::follow_configurations(&shared, &platform).await }
    };
    executor.spawn(follow_configurations).detach();
    let serve_readiness = make_status_server(shared, status::answer_readiness);
    spawn_status_server(&executor, readiness_listener, readiness, serve_readiness);
    if let Some(listener) = metrics_listener {
        let serve_metrics = make_status_server(shared, status::answer_metrics);
        spawn_status_server(&executor, listener, metrics, serve_metrics);
    }
    smol::block_on(executor.run(std::future::pending::<()>()));
}

fn new_intake(shared: &Shared, limits: ConnectionLimits, limited: &Sender<()>) -> Arc<Intake> {
    let counts = Arc::clone(&shared.metrics.intake);
    Arc::new(
        Intake::new(limits)
            .with_counts(counts)
            .with_signal(limited.clone()),
    )
}

/// Logs when the listeners begin to refuse or close clients, and when they have not done so for a while.
async fn report_limits(shared: Arc<Shared>, limited: Receiver<()>) {
    let counts = Arc::clone(&shared.metrics.intake);
    let log = |code, refused, closed| {
        let why = "limits of connections and of bytes";
        let decision = Decision::new(code, Subject::Entry, &shared.settings.name, why);
        let decision = decision.with("refused", refused).with("closed", closed);
        shared.log_decision(decision);
    };
    let (mut refused, mut closed) = (0, 0);
    while limited.recv().await.is_ok() {
        log(Code::IntakeLimited, 0, 0);
        let mut seen = 0;
        while seen != counts.total() {
            seen = counts.total();
            Timer::after(Duration::from_millis(INTAKE_FREE_MS)).await;
        }
        let _ = limited.try_recv();
        let all_refused = counts.refused.load(Ordering::Relaxed);
        let all_closed = counts.closed.load(Ordering::Relaxed);
        log(Code::IntakeFree, all_refused - refused, all_closed - closed);
        (refused, closed) = (all_refused, all_closed);
    }
}

async fn accept_connections<F: Future<Output = ()> + 'static>(
    executor: &LocalExecutor<'static>,
    listener: &Async<TcpListener>,
    intake: &Arc<Intake>,
    serve: impl Fn(Seat) -> F,
) {
    loop {
        match intake.accept(listener).await {
            Ok(seat) => executor.spawn(serve(seat)).detach(),
            Err(_) => {
                Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Accepts callers' connections until the process is about to end. Connections that were made before the listener closes
/// are still served.
async fn accept_callers<F: Future<Output = ()> + 'static>(
    shared: &Shared,
    executor: &LocalExecutor<'static>,
    listener: Async<TcpListener>,
    intake: &Arc<Intake>,
    serve: impl Fn(Seat) -> F,
) {
    accept_connections(executor, &listener, intake, &serve)
        .or(shared.wait_for_listener_end())
        .await;
    while let Ok((stream, _)) = listener.get_ref().accept() {
        if let Ok(stream) = Async::new(stream) {
            executor.spawn(serve(intake.seat(stream))).detach();
        }
    }
    drop(listener);
    shared.note_listener_closed();
}

fn spawn_status_server<F: Future<Output = ()> + 'static>(
    executor: &Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    intake: Arc<Intake>,
    serve: impl Fn(Seat) -> F + 'static,
) {
    let tasks = Rc::clone(executor);
    let accept = async move { accept_connections(&tasks, &listener, &intake, serve).await };
    executor.spawn(accept).detach();
}

/// Returns a function that serves connections of the balancer or of the metrics endpoint.
fn make_status_server<F: Future<Output = Response> + 'static>(
    shared: &Arc<Shared>,
    handler: impl Fn(Arc<Shared>, Incoming) -> F + Copy + 'static,
) -> impl Fn(Seat) -> std::pin::Pin<Box<dyn Future<Output = ()>>> {
    let shared = Arc::clone(shared);
    move |seat| {
        let shared = Arc::clone(&shared);
        Box::pin(async move {
            let handle = |incoming| handler(Arc::clone(&shared), incoming);
            server::serve_seat(seat, CHECK_LIMITS, || false, handle).await;
        })
    }
}

/// What the stop of the process means for a caller's connection.
struct CallerLifetime<'a>(&'a Shared);

impl Lifetime for CallerLifetime<'_> {
    fn is_closing(&self) -> bool {
        let stopping_for_ms = self.0.stopping_for_ms();
        stopping_for_ms.is_some_and(|ms| ms >= KEEP_OPEN_MS)
    }

    fn is_refusing(&self) -> bool {
        self.0.is_refusing()
    }
}

/// Returns the task of a caller's connection, which counts as open from now on.
fn serve_connection(
    shared: Arc<Shared>,
    platform: Platform,
    seat: Seat,
) -> impl Future<Output = ()> {
    let open = CountGuard::new(Arc::clone(&shared.connections));
    async move {
        let _open = open;
        let handle = |incoming| answer_call(&shared, &platform, incoming);
        server::serve_seat(seat, CALLER_LIMITS, CallerLifetime(&shared), handle).await;
    }
}

async fn answer_call(shared: &Shared, platform: &Platform, incoming: Incoming) -> Response {
    let _open_call = CountGuard::new(&shared.open_calls);
    let began = Instant::now();
    let began_ms = shared.clock.now_ms();
    shared.metrics.requests.fetch_add(1, Ordering::Relaxed);
    let routing = shared.current_routing();
    let decoded = match shared.is_refusing() {
        true => Err(Outcome::NotTaken {
            retry_after_s: RETRY_ELSEWHERE_S,
        }),
        false => edge::decode(&incoming, routing.as_deref(), wall_ms()),
    };
    let outcome = match decoded {
        Ok(request) => {
            let outcome = operations::run_operation(shared, platform, &request, began_ms)
                .or(end_wait(shared, &request.operation))
                .await;
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

/// Waits until a stopping process has to answer, and returns the outcome of an operation that was under way.
async fn end_wait(shared: &Shared, operation: &Operation) -> Outcome {
    shared.wait_for_answer_by().await;
    match operation {
        // A write may have been sent.
        Operation::Submit(..) | Operation::Cancel(_) => Outcome::Unsure,
        Operation::Read(_) | Operation::CountWaiting => Outcome::Unavailable {
            retry_after_s: RETRY_ELSEWHERE_S,
        },
    }
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
