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

use super::{codec, connection_names, Wire};

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
        let (wire, reused) = match self.take() {
            Some(wire) => (wire, true),
            None => (self.connect(deadline).await?, false),
        };
        let first = req.clone_head();
        let result = self.carry(&wire, req, deadline).await;
        match result {
            // The peer closed the idle connection between our look and our first byte.
            Err(Trouble::Broken(Sent::Nothing)) if reused => {
                let Some(again) = first else { return result };
                let wire = self.connect(deadline).await?;
                self.carry(&wire, again, deadline).await
            }
            // A path may drop what is sent on its open connections while new ones work: the others of this
            // pool would each cost a caller one more timeout.
            Err(Trouble::Timeout(_)) if reused => {
                self.forget_idle();
                result
            }
            other => other,
        }
    }

    async fn carry(&self, wire: &Wire, req: Request, deadline: Instant) -> Result<Answer, Trouble> {
        let to_head = req.method() == Method::Head;
        wire.next_response(to_head);
        let work = async {
            let answer = self.talk(wire, req).await;
            Some(answer)
        };
        let late = async {
            Timer::at(deadline).await;
            None
        };
        match work.or(late).await {
            Some(Ok((answer, reusable))) => {
                if reusable {
                    self.put(wire.clone());
                }
                Ok(answer)
            }
            Some(Err(Gone::TooLarge)) => Err(Trouble::TooLarge),
            Some(Err(Gone::Broken)) => Err(Trouble::Broken(sent(wire))),
            None => Err(Trouble::Timeout(sent(wire))),
        }
    }

    async fn talk(&self, wire: &Wire, req: Request) -> Result<(Answer, bool), Gone> {
        let mut head_and_body = Vec::with_capacity(512);
        async_h1::client::Encoder::new(req)
            .read_to_end(&mut head_and_body)
            .await
            .map_err(|_| Gone::Broken)?;
        let mut out = wire.clone();
        out.write_all(&head_and_body)
            .await
            .map_err(|_| Gone::Broken)?;
        let mut res = async_h1::client::decode(wire.clone())
            .await
            .map_err(|_| Gone::Broken)?;
        let body = self.body(&mut res).await?;
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

    async fn body(&self, res: &mut Response) -> Result<Vec<u8>, Gone> {
        let mut body = Vec::new();
        let most = self.answer_max_bytes as u64;
        let mut reader = res.take_body().take(most + 1);
        let read = codec(reader.read_to_end(&mut body)).await;
        if !matches!(read, Some(Ok(_))) {
            return Err(Gone::Broken);
        }
        if body.len() as u64 > most {
            return Err(Gone::TooLarge);
        }
        Ok(body)
    }

    async fn connect(&self, deadline: Instant) -> Result<Wire, Trouble> {
        let work = async { Some(Async::<TcpStream>::connect(self.addr).await) };
        let late = async {
            Timer::at(deadline).await;
            None
        };
        match work.or(late).await {
            Some(Ok(stream)) => Ok(Wire::for_responses(stream)),
            Some(Err(_)) => Err(Trouble::Connect(Sent::Nothing)),
            None => Err(Trouble::Timeout(Sent::Nothing)),
        }
    }

    fn take(&self) -> Option<Wire> {
        let mut idle = lock(&self.idle);
        while let Some(wire) = idle.pop() {
            if wire.is_quiet() {
                return Some(wire);
            }
        }
        None
    }

    fn put(&self, wire: Wire) {
        let mut idle = lock(&self.idle);
        if idle.len() < self.idle_max {
            idle.push(wire);
        }
    }

    /// Closes the connections that nobody uses.
    pub fn forget_idle(&self) {
        lock(&self.idle).clear();
    }
}

enum Gone {
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
trait CloneHead {
    fn clone_head(&self) -> Option<Request>;
}

impl CloneHead for Request {
    fn clone_head(&self) -> Option<Request> {
        (self.is_empty() == Some(true)).then(|| self.clone())
    }
}

/// A deadline `ms` milliseconds from now.
pub fn within_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
