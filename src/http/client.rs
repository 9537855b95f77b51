//! HTTP client: a pool of connections to one address, with one exchange at a time on each.
//!
//! An exchange returns a complete answer or an error that says whether bytes of the request were sent.

use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use futures_lite::FutureExt;
use http_types::headers::Headers;
use http_types::{Method, Request, Response, Url};
use smol::{Async, Timer};

use crate::util::lock;

use super::{connection_names, drive_codec, Wire};

/// Whether bytes of a request were written to a connection before the exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte was written, so the request was not run.
    Nothing,
    /// Some or all bytes were written, so the request may have been run.
    Some,
}

/// Why an exchange returned no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be made.
    Connect(Sent),
    /// The connection broke, or the answer was not well-formed.
    Broken(Sent),
    /// The deadline passed.
    Timeout(Sent),
    /// The body of the answer exceeds the client's bound.
    TooLarge,
}

impl ExchangeError {
    /// Returns whether bytes of the request may have reached the server.
    pub fn sent(self) -> Sent {
        match self {
            ExchangeError::Connect(sent)
            | ExchangeError::Broken(sent)
            | ExchangeError::Timeout(sent) => sent,
            ExchangeError::TooLarge => Sent::Some,
        }
    }
}

/// A complete answer whose length has been checked.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers as received.
    pub headers: Headers,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        super::header_text(&self.headers, name)
    }

    /// Parses the body as JSON; `None` if it is not a valid `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// A pool of connections to one address.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<Wire>>,
    idle_max: usize,
    answer_max_bytes: usize,
}

/// Default bound on the body of an answer.
pub const ANSWER_MAX_BYTES: usize = 16 << 20;

const IDLE_MAX: usize = 8;

impl Client {
    /// Returns a pool for `addr` without connections.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::new(Vec::new()),
            idle_max: IDLE_MAX,
            answer_max_bytes: ANSWER_MAX_BYTES,
        }
    }

    /// Sets how many idle connections the pool keeps.
    pub fn with_idle_max(mut self, n: usize) -> Self {
        self.idle_max = n;
        self
    }

    /// Sets the bound on the body of an answer.
    pub fn with_answer_max_bytes(mut self, bytes: usize) -> Self {
        self.answer_max_bytes = bytes;
        self
    }

    /// Returns the address that the pool connects to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a request to this address for `path_and_query`, or `None` if that is no valid URL.
    pub fn request(&self, method: Method, path_and_query: &str) -> Option<Request> {
        let url = Url::parse(&format!("http://{}{path_and_query}", self.addr)).ok()?;
        Some(Request::new(method, url))
    }

    /// Sends a request and returns the complete answer, or why there is none.
    ///
    /// A connection returns to the pool only after a complete answer with no further bytes. Any other connection is
    /// closed, so that a late answer can't be taken for the answer to the next request.
    pub async fn exchange(&self, req: Request, deadline: Instant) -> Result<Answer, ExchangeError> {
        let (wire, reused) = match self.take_idle() {
            Some(wire) => (wire, true),
            None => (self.connect(deadline).await?, false),
        };
        let retry = req.clone_if_bodiless();
        let result = self.exchange_on(&wire, req, deadline).await;
        match result {
            // The server closed the idle connection after the pool checked it and before the first byte was written.
            Err(ExchangeError::Broken(Sent::Nothing)) if reused => {
                let Some(again) = retry else { return result };
                let wire = self.connect(deadline).await?;
                self.exchange_on(&wire, again, deadline).await
            }
            // The network may drop what is sent on open connections while new ones work. Each other idle connection
            // of this pool would then cost a caller one more timeout, so all are closed.
            Err(ExchangeError::Timeout(_)) if reused => {
                self.close_idle();
                result
            }
            other => other,
        }
    }

    async fn exchange_on(
        &self,
        wire: &Wire,
        req: Request,
        deadline: Instant,
    ) -> Result<Answer, ExchangeError> {
        let to_head = req.method() == Method::Head;
        wire.begin_response(to_head);
        let receive = async {
            let answer = self.send_and_receive(wire, req).await;
            Some(answer)
        };
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        match receive.or(timeout).await {
            Some(Ok((answer, reusable))) => {
                if reusable {
                    self.put_idle(wire.clone());
                }
                Ok(answer)
            }
            Some(Err(ReceiveError::TooLarge)) => Err(ExchangeError::TooLarge),
            Some(Err(ReceiveError::Broken)) => Err(ExchangeError::Broken(sent(wire))),
            None => Err(ExchangeError::Timeout(sent(wire))),
        }
    }

    async fn send_and_receive(
        &self,
        wire: &Wire,
        req: Request,
    ) -> Result<(Answer, bool), ReceiveError> {
        let mut head_and_body = Vec::with_capacity(512);
        async_h1::client::Encoder::new(req)
            .read_to_end(&mut head_and_body)
            .await
            .map_err(|_| ReceiveError::Broken)?;
        let mut out = wire.clone();
        out.write_all(&head_and_body)
            .await
            .map_err(|_| ReceiveError::Broken)?;
        let mut res = async_h1::client::decode(wire.clone())
            .await
            .map_err(|_| ReceiveError::Broken)?;
        let body = self.read_body(&mut res).await?;
        let headers: &Headers = res.as_ref();
        let closing = connection_names(headers).iter().any(|n| n == "close");
        let reusable = !closing && wire.at_end() && wire.is_quiet();
        let answer = Answer {
            status: u16::from(res.status()),
            headers: headers.clone(),
            body,
        };
        Ok((answer, reusable))
    }

    async fn read_body(&self, res: &mut Response) -> Result<Vec<u8>, ReceiveError> {
        let mut body = Vec::new();
        let max_bytes = self.answer_max_bytes as u64;
        let mut reader = res.take_body().take(max_bytes + 1);
        let read = drive_codec(reader.read_to_end(&mut body)).await;
        if !matches!(read, Some(Ok(_))) {
            return Err(ReceiveError::Broken);
        }
        if body.len() as u64 > max_bytes {
            return Err(ReceiveError::TooLarge);
        }
        Ok(body)
    }

    async fn connect(&self, deadline: Instant) -> Result<Wire, ExchangeError> {
        let connect = async { Some(Async::<TcpStream>::connect(self.addr).await) };
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        match connect.or(timeout).await {
            Some(Ok(stream)) => Ok(Wire::for_responses(stream)),
            Some(Err(_)) => Err(ExchangeError::Connect(Sent::Nothing)),
            None => Err(ExchangeError::Timeout(Sent::Nothing)),
        }
    }

    fn take_idle(&self) -> Option<Wire> {
        let mut idle = lock(&self.idle);
        while let Some(wire) = idle.pop() {
            if wire.is_quiet() {
                return Some(wire);
            }
        }
        None
    }

    fn put_idle(&self, wire: Wire) {
        let mut idle = lock(&self.idle);
        if idle.len() < self.idle_max {
            idle.push(wire);
        }
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }
}

enum ReceiveError {
    Broken,
    TooLarge,
}

fn sent(wire: &Wire) -> Sent {
    if wire.written_bytes() == 0 {
        Sent::Nothing
    } else {
        Sent::Some
    }
}

/// Copies a request that has no body, so that it can be sent a second time; `None` for a request with a body.
trait CloneBodiless {
    fn clone_if_bodiless(&self) -> Option<Request>;
}

impl CloneBodiless for Request {
    fn clone_if_bodiless(&self) -> Option<Request> {
        (self.is_empty() == Some(true)).then(|| self.clone())
    }
}

/// Returns the instant `ms` milliseconds from now, for use as a deadline.
pub fn deadline_after_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
