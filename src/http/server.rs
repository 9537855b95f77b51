//! HTTP server for one connection: reads one request at a time within [`Limits`] and answers it.
//!
//! A request that is malformed or exceeds a bound is answered with its problem, and the connection is closed.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future::yield_now;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use smol::Timer;

use super::{connection_names, drive_codec, FramingError, Intake, Seat, Wire};
use crate::core::connections::{ConnectionLimits, Phase, SMALL_BYTES};
use crate::error::{Failure, Kind, Run};

/// Bounds on the time and the size that a client's requests may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time that a connection may be idle before its next request, in milliseconds.
    pub idle_ms: u64,
    /// Longest time for a head after its first byte, and again for the body after the head, in milliseconds.
    pub receive_ms: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle_ms: 60_000,
            receive_ms: 10_000,
            body_bytes: 8 << 20,
        }
    }
}

/// Longest time to write an answer to the connection. After it, a client that doesn't read gets no more of the answer.
/// Equals the default bound on receiving a request's head.
const WRITE_MAX_MS: u64 = 10_000;

/// Smallest step by which the buffer for a chunked body grows.
const GROWTH_BYTES: usize = 16 << 10;

/// Number of received bytes that count as progress of a body.
const PROGRESS_BYTES: usize = 4 << 10;

/// Longest interval between two checks of a connection that waits for a request.
const CHECK_MS: u64 = 500;

/// What the end of the process means for a connection.
pub trait Lifetime {
    /// Whether the connection closes after the present request, or at once if it is idle.
    fn is_closing(&self) -> bool;

    /// Whether a request that has not arrived completely is refused.
    fn is_refusing(&self) -> bool {
        false
    }
}

impl<F: Fn() -> bool> Lifetime for F {
    fn is_closing(&self) -> bool {
        self()
    }
}

/// A complete request.
#[derive(Debug)]
pub struct Incoming {
    /// The head, as async-h1 parsed it.
    pub head: Request,
    /// The complete body.
    pub body: Vec<u8>,
    /// When the head was complete.
    pub arrived: Instant,
}

impl Incoming {
    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        super::header_text(self.head.as_ref(), name)
    }

    /// Whether the client asked to close the connection after this exchange.
    fn wants_close(&self) -> bool {
        connection_names(self.head.as_ref())
            .iter()
            .any(|n| n == "close")
    }
}

/// The result of reading one request.
pub enum Arrival {
    /// A complete request.
    Request(Box<Incoming>),
    /// Nothing to answer: the connection was closed, or was idle for too long.
    Nothing,
    /// A request that is refused: the failure is answered, then the connection is closed.
    Bad(Failure),
}

/// Serves a connection that no listener counts, as [`serve_seat`] does.
pub async fn serve<H, F, L>(wire: Wire, limits: Limits, lifetime: L, handler: H)
where
    H: Fn(Incoming) -> F,
    F: Future<Output = Response>,
    L: Lifetime,
{
    serve_seat(seat_alone(wire), limits, lifetime, handler).await;
}

fn seat_alone(wire: Wire) -> Seat {
    Arc::new(Intake::new(ConnectionLimits::NONE)).seat_wire(wire)
}

/// Serves the connection until it closes, an error ends it, or it is closing between two requests.
pub async fn serve_seat<H, F, L>(seat: Seat, limits: Limits, lifetime: L, handler: H)
where
    H: Fn(Incoming) -> F,
    F: Future<Output = Response>,
    L: Lifetime,
{
    let wire = seat.wire();
    loop {
        seat.set_phase(Phase::Waiting);
        match read_seated(&seat, limits, &lifetime).await {
            Arrival::Nothing => return,
            Arrival::Bad(failure) => {
                let res = problem(&failure);
                seat.set_phase(Phase::Answering);
                let _ = write_answer(wire, res, Method::Get, true).await;
                linger(wire).await;
                return;
            }
            Arrival::Request(incoming) => {
                let method = incoming.head.method();
                let wants_close = incoming.wants_close();
                let is_end_known = wire.at_end();
                let res = handler(*incoming).await;
                let is_ending = wants_close || lifetime.is_closing();
                let close = is_ending || !is_end_known || seat.is_crowded();
                let res = charge_answer(&seat, res, method).await;
                if write_answer(wire, res, method, close).await.is_err() {
                    return;
                }
                if close {
                    linger(wire).await;
                    return;
                }
                if wire.has_buffered() {
                    // A client that sends requests without pause must not keep the thread from others.
                    yield_now().await;
                }
            }
        }
    }
}

/// Charges a connection with a large answer. A read that finds no room for its answer is refused.
async fn charge_answer(seat: &Seat, res: Response, method: Method) -> Response {
    seat.set_phase(Phase::Answering);
    let answer_bytes = res.len().unwrap_or(0);
    if answer_bytes <= SMALL_BYTES || seat.charge(answer_bytes).await || method != Method::Get {
        return res;
    }
    problem(&Kind::Overloaded.into())
}

/// Reads one complete request. Returns [`Arrival::Nothing`] if the connection is idle and closing.
pub async fn read_request(wire: &Wire, limits: Limits, lifetime: impl Lifetime) -> Arrival {
    read_seated(&seat_alone(wire.clone()), limits, &lifetime).await
}

async fn read_seated(seat: &Seat, limits: Limits, lifetime: &impl Lifetime) -> Arrival {
    let wire = seat.wire();
    wire.begin_request();
    let head = async { Some(async_h1::server::decode(wire.clone()).await) };
    let timeout = async {
        wait_for_head_deadline(wire, limits, lifetime).await;
        None
    };
    let decoded = match head.or(timeout).await {
        None if wire.has_buffered() => return Arrival::Bad(refusal_of_partial(lifetime).into()),
        None | Some(Ok(None)) => return Arrival::Nothing,
        Some(Err(e)) => return arrival_of_bad_head(wire, &e),
        Some(Ok(Some((req, _)))) => req,
    };
    read_body(seat, decoded, limits, lifetime).await
}

/// Returns why a request is refused that has not arrived completely by its deadline.
fn refusal_of_partial(lifetime: &impl Lifetime) -> Kind {
    match lifetime.is_refusing() {
        true => Kind::Stopping,
        false => Kind::SlowRequest,
    }
}

async fn wait_for_head_deadline(wire: &Wire, limits: Limits, lifetime: &impl Lifetime) {
    let idle = Duration::from_millis(limits.idle_ms);
    let arrive = Duration::from_millis(limits.receive_ms);
    let step = Duration::from_millis(limits.receive_ms.min(CHECK_MS));
    let began = Instant::now();
    let mut first_seen = None;
    loop {
        Timer::after(step).await;
        if wire.has_buffered() {
            let first = *first_seen.get_or_insert_with(Instant::now);
            if first.elapsed() + step >= arrive || lifetime.is_refusing() {
                return;
            }
        } else if began.elapsed() >= idle || lifetime.is_closing() {
            return;
        }
    }
}

async fn wait_for_body_deadline(limits: Limits, lifetime: &impl Lifetime) {
    let arrive = Duration::from_millis(limits.receive_ms);
    let step = Duration::from_millis(limits.receive_ms.min(CHECK_MS));
    let began = Instant::now();
    while began.elapsed() < arrive && !lifetime.is_refusing() {
        Timer::after(step).await;
    }
}

fn arrival_of_bad_head(wire: &Wire, err: &http_types::Error) -> Arrival {
    match wire.framing_error() {
        Some(FramingError::CutHead | FramingError::CutBody) => Arrival::Nothing,
        Some(FramingError::HeadTooLarge) => {
            Arrival::Bad(Kind::HeadTooLarge.with_detail(FramingError::HeadTooLarge.reason()))
        }
        Some(framing_error) => Arrival::Bad(Kind::BadRequest.with_detail(framing_error.reason())),
        None if err.downcast_ref::<std::io::Error>().is_some() => Arrival::Nothing,
        None => Arrival::Bad(Kind::BadRequest.with_detail(err.to_string())),
    }
}

async fn read_body(
    seat: &Seat,
    mut head: Request,
    limits: Limits,
    lifetime: &impl Lifetime,
) -> Arrival {
    let arrived = Instant::now();
    let (wire, max_bytes) = (seat.wire(), limits.body_bytes);
    let too_large = || Kind::BodyTooLarge.with_detail(format!("at most {max_bytes} bytes"));
    let length = head.len();
    if length.is_some_and(|n| n > max_bytes) {
        return Arrival::Bad(too_large());
    }
    let reader = head.take_body();
    let work = async { Some(drive_codec(fill_body(seat, reader, length, max_bytes)).await) };
    let timeout = async {
        wait_for_body_deadline(limits, lifetime).await;
        None
    };
    let body = match work.or(timeout).await {
        None => {
            let why = "the body did not arrive in time";
            return Arrival::Bad(refusal_of_partial(lifetime).with_detail(why));
        }
        Some(Some(Err(_))) if wire.framing_error() == Some(FramingError::CutBody) => {
            return Arrival::Nothing
        }
        Some(Some(Err(e))) => return Arrival::Bad(Kind::BadRequest.with_detail(e.to_string())),
        Some(None) => return Arrival::Bad(Kind::BadRequest.with_detail("malformed trailer")),
        Some(Some(Ok(Filled::TooLarge))) => return Arrival::Bad(too_large()),
        Some(Some(Ok(Filled::NoRoom))) => return Arrival::Bad(Kind::Overloaded.into()),
        Some(Some(Ok(Filled::Complete(body)))) => body,
    };
    seat.set_phase(Phase::Running);
    Arrival::Request(Box::new(Incoming {
        head,
        body,
        arrived,
    }))
}

/// The result of receiving a body.
enum Filled {
    Complete(Vec<u8>),
    /// The body exceeds the limit on one body.
    TooLarge,
    /// The budget of the listener has no room for the body.
    NoRoom,
}

/// Receives a body into a buffer of its length or, if that is not known, into one that grows with it. The connection is
/// charged with the buffer's size before the buffer is made.
async fn fill_body(
    seat: &Seat,
    mut reader: impl AsyncRead + Unpin,
    length: Option<usize>,
    max_bytes: usize,
) -> std::io::Result<Filled> {
    if length == Some(0) {
        return Ok(Filled::Complete(Vec::new()));
    }
    seat.set_phase(Phase::Receiving);
    if !seat.charge(length.unwrap_or(0)).await {
        return Ok(Filled::NoRoom);
    }
    let mut body = vec![0; length.unwrap_or(0)];
    let (mut received, mut noted) = (0, 0);
    loop {
        if received == body.len() {
            if length.is_some() {
                break;
            }
            if received > max_bytes {
                return Ok(Filled::TooLarge);
            }
            let grown = received + GROWTH_BYTES.max(received / 4);
            let grown = grown.min(max_bytes.saturating_add(1));
            if !seat.charge(grown).await {
                return Ok(Filled::NoRoom);
            }
            body.reserve_exact(grown - received);
            body.resize(grown, 0);
        }
        match reader.read(&mut body[received..]).await? {
            0 => break,
            n => received += n,
        }
        if received - noted >= PROGRESS_BYTES {
            seat.note_progress();
            noted = received;
            yield_now().await;
        }
    }
    body.truncate(received);
    Ok(Filled::Complete(body))
}

/// Writes an answer in one piece; `close` adds `Connection: close`.
pub async fn write_answer(
    wire: &Wire,
    mut res: Response,
    method: Method,
    close: bool,
) -> std::io::Result<()> {
    if close {
        res.insert_header("connection", "close");
    }
    let mut bytes = Vec::with_capacity(512);
    async_h1::server::Encoder::new(res, method)
        .read_to_end(&mut bytes)
        .await?;
    let mut out = wire.clone();
    let timeout = async {
        Timer::after(Duration::from_millis(WRITE_MAX_MS)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    out.write_all(&bytes).or(timeout).await
}

/// Reads and drops bytes for a short time after the last answer: closing a connection with unread bytes resets it,
/// and the client could lose the answer.
async fn linger(wire: &Wire) {
    const LINGER_MS: u64 = 500;
    const LINGER_BYTES: u64 = 1 << 20;
    wire.shutdown_write();
    wire.begin_request();
    let drain = async {
        let mut rdr = wire.clone().take(LINGER_BYTES);
        let mut buf = [0u8; 4096];
        while matches!(rdr.read(&mut buf).await, Ok(n) if n > 0) {}
    };
    let timeout = async {
        Timer::after(Duration::from_millis(LINGER_MS)).await;
    };
    drain.or(timeout).await;
}

/// Returns the answer for a failure: problem details and `Rockwick-Run`, with `Retry-After` or `WWW-Authenticate`
/// if the kind has one.
pub fn problem(failure: &Failure) -> Response {
    let info = failure.kind.info();
    let body = serde_json::to_vec(&failure.problem()).unwrap_or_default();
    let mut res = answer(info.status, "application/problem+json", body);
    res.insert_header("rockwick-run", info.run.as_str());
    if let Some(seconds) = info.retry_after_s {
        res.insert_header("retry-after", seconds.to_string());
    }
    if info.kind == Kind::Unauthorized {
        res.insert_header("www-authenticate", "Bearer");
    }
    res
}

/// Returns an answer with a status, a media type and a body.
pub fn answer(status: u16, media: &str, body: Vec<u8>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(body);
    res.insert_header("content-type", media);
    res
}

/// Returns an answer with a JSON body.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", body)
}

/// Sets the `Rockwick-Run` header, which says whether the request was run.
pub fn with_run(mut res: Response, run: Run) -> Response {
    res.insert_header("rockwick-run", run.as_str());
    res
}
