//! The client's side: pooled connections, one exchange at a time on each, whole answers only.

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

/// Whether bytes of a request were handed to a connection when the exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Not one byte: the request was certainly not run.
    Nothing,
    /// Some or all: nobody knows whether the request was run.
    Some,
}

/// Why an exchange gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No connection could be made.
    Connect(Sent),
    /// Broken off, or not a well-formed answer.
    Broken(Sent),
    /// The deadline passed.
    Timeout(Sent),
    /// The answer's body is over the bound.
    TooLarge,
}

impl Trouble {
    /// Whether bytes of the request may have reached the other side.
    pub fn sent(self) -> Sent {
        match self {
            Trouble::Connect(sent) | Trouble::Broken(sent) | Trouble::Timeout(sent) => sent,
            Trouble::TooLarge => Sent::Some,
        }
    }
}

/// A whole answer, its length checked.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers as they came.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        super::text(&self.headers, name)
    }

    /// The body as JSON.
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

/// Bound on the body of an answer unless another is set.
pub const ANSWER_MAX_BYTES: usize = 16 << 20;

const IDLE_MAX: usize = 8;

impl Client {
    /// A pool for `addr` with no connection yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::new(Vec::new()),
            idle_max: IDLE_MAX,
            answer_max_bytes: ANSWER_MAX_BYTES,
        }
    }

    /// Keeps at most `n` connections that nobody uses.
    pub fn with_idle_max(mut self, n: usize) -> Self {
        self.idle_max = n;
        self
    }

    /// Sets the bound on the body of an answer.
    pub fn with_answer_max_bytes(mut self, bytes: usize) -> Self {
        self.answer_max_bytes = bytes;
        self
    }

    /// The address that this pool talks to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// A request to this address for `path_and_query`.
    pub fn request(&self, method: Method, path_and_query: &str) -> Option<Request> {
        let url = Url::parse(&format!("http://{}{path_and_query}", self.addr)).ok()?;
        Some(Request::new(method, url))
    }

    /// Carries one exchange and gives the whole answer, or says why there is none.
    ///
    /// A connection goes back to the pool only after a complete answer and nothing behind it;
    /// any other is closed, so that a late answer has nowhere to go.
    pub async fn exchange(&self, req: Request, deadline: Instant) -> Result<Answer, Trouble> {
        let (wire, reused) = match self.take_idle() {
            Some(wire) => (wire, true),
            None => (self.connect(deadline).await?, false),
        };
        let retry = req.clone_if_bodiless();
        let result = self.exchange_on(&wire, req, deadline).await;
        match result {
            // The peer closed the idle connection between our look and our first byte.
            Err(Trouble::Broken(Sent::Nothing)) if reused => {
                let Some(again) = retry else { return result };
                let wire = self.connect(deadline).await?;
                self.exchange_on(&wire, again, deadline).await
            }
            // A path may drop what is sent on its open connections while new ones work: the others of this
            // pool would each cost a caller one more timeout.
            Err(Trouble::Timeout(_)) if reused => {
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
    ) -> Result<Answer, Trouble> {
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
            Some(Err(ReceiveError::TooLarge)) => Err(Trouble::TooLarge),
            Some(Err(ReceiveError::Broken)) => Err(Trouble::Broken(sent(wire))),
            None => Err(Trouble::Timeout(sent(wire))),
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

    async fn connect(&self, deadline: Instant) -> Result<Wire, Trouble> {
        let connect = async { Some(Async::<TcpStream>::connect(self.addr).await) };
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        match connect.or(timeout).await {
            Some(Ok(stream)) => Ok(Wire::for_responses(stream)),
            Some(Err(_)) => Err(Trouble::Connect(Sent::Nothing)),
            None => Err(Trouble::Timeout(Sent::Nothing)),
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

    /// Closes the connections that nobody uses.
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

/// Lets a request without a body be sent a second time.
trait CloneBodiless {
    fn clone_if_bodiless(&self) -> Option<Request>;
}

impl CloneBodiless for Request {
    fn clone_if_bodiless(&self) -> Option<Request> {
        (self.is_empty() == Some(true)).then(|| self.clone())
    }
}

/// A deadline `ms` milliseconds from now.
pub fn within_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
