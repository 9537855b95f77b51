//! A stream that gives async-h1 the bytes of exactly one message.
//!
//! async-h1, the codec, reads into a buffer of its own and drops the bytes that it read beyond the message. It uses the
//! last of two `Content-Length` headers and accepts a truncated body. So the stream first checks the head with httparse
//! and reports its end where the message ends. Bytes beyond the message stay buffered for the next one.
//!
//! A chunked body is the exception: the stream does not know its end and passes on all bytes, so the connection can't
//! be used again after it. `client` and `server` read and write all messages through this stream.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures_lite::io::{AsyncRead, AsyncWrite};
use smol::Async;

/// Maximum size of a message's head. It must not exceed the codec's limit.
const HEAD_MAX_BYTES: usize = 8_000;

/// Maximum number of headers of a message. It must not exceed the codec's limit.
const HEADERS_MAX: usize = 100;

/// Maximum number of bytes that one read from the socket adds to the buffer.
const READ_BYTES: usize = 8_192;

/// What is wrong with a message's framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// Not a well-formed HTTP/1.1 message.
    Malformed,
    /// The head exceeds the maximum size or the maximum number of headers.
    HeadTooLarge,
    /// A request without a `Host` header or with more than one.
    Host,
    /// More than one `Content-Length`, or one that is not a decimal number of at most 18 digits.
    Length,
    /// Both `Content-Length` and `Transfer-Encoding`.
    LengthAndCoding,
    /// More than one `Transfer-Encoding`, or one other than `chunked`.
    Coding,
    /// The head has bytes that are not ASCII.
    NotAscii,
    /// The stream ended inside the head.
    CutHead,
    /// The stream ended inside a body of known length.
    CutBody,
    /// A response with neither a length nor chunking, whose body ends only when the connection closes.
    CloseDelimited,
    /// A response with a status below 200: an interim response, or a switch to another protocol.
    Interim,
}

impl FramingError {
    /// Returns a short description for error messages.
    pub fn reason(self) -> &'static str {
        match self {
            FramingError::Malformed => "not an HTTP/1.1 message",
            FramingError::HeadTooLarge => "head too large",
            FramingError::Host => "exactly one Host header is needed",
            FramingError::Length => "Content-Length must be one number, given once",
            FramingError::LengthAndCoding => "Content-Length and Transfer-Encoding together",
            FramingError::Coding => "only the chunked transfer coding is accepted",
            FramingError::NotAscii => "bytes beyond ASCII in the head",
            FramingError::CutHead => "connection closed inside the head",
            FramingError::CutBody => "connection closed inside the body",
            FramingError::CloseDelimited => "an answer needs a length or chunking",
            FramingError::Interim => "interim answers are not accepted",
        }
    }
}

/// Which kind of message is read from the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Request,
    /// `to_head` is set if the request was a HEAD request, whose response has no body.
    Response {
        to_head: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The end of the head has not been found yet.
    Head,
    /// Number of bytes, including the head, that the codec has still to read.
    Counted(u64),
    /// The head and the chunked body are passed through, and the codec finds the end of the body.
    Chunked,
}

struct State {
    side: Side,
    phase: Phase,
    /// Bytes that were read from the socket but not by the codec yet.
    buffered: Vec<u8>,
    framing_error: Option<FramingError>,
    written_bytes: u64,
}

/// A connection that is read message by message. A clone is cheap, as async-h1 requires, and shares the connection and
/// its state.
#[derive(Clone)]
pub struct Wire {
    stream: Arc<Async<TcpStream>>,
    state: Arc<Mutex<State>>,
}

impl Wire {
    /// Wraps the server's end of a connection, which reads requests.
    pub fn for_requests(stream: Async<TcpStream>) -> Self {
        Self::new(stream, Side::Request)
    }

    /// Wraps the client's end of a connection, which reads responses.
    pub fn for_responses(stream: Async<TcpStream>) -> Self {
        Self::new(stream, Side::Response { to_head: false })
    }

    fn new(stream: Async<TcpStream>, side: Side) -> Self {
        // Messages are small and answered one by one, so waiting to fill a TCP segment would only add latency.
        let _ = stream.get_ref().set_nodelay(true);
        Self {
            stream: Arc::new(stream),
            state: Arc::new(Mutex::new(State {
                side,
                phase: Phase::Head,
                buffered: Vec::new(),
                framing_error: None,
                written_bytes: 0,
            })),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic while the lock is held cannot leave the fields inconsistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Prepares to read the next request on the connection.
    pub fn begin_request(&self) {
        let mut s = self.state();
        s.phase = Phase::Head;
        s.written_bytes = 0;
    }

    /// Prepares to read the response to a request. `to_head` is set after a HEAD request, whose response has no body.
    pub fn begin_response(&self, to_head: bool) {
        let mut s = self.state();
        s.side = Side::Response { to_head };
        s.phase = Phase::Head;
        s.written_bytes = 0;
    }

    /// Returns the framing error that made a read fail, if any.
    pub fn framing_error(&self) -> Option<FramingError> {
        self.state().framing_error
    }

    /// Returns the number of bytes written to the socket since the last [`begin_request`](Self::begin_request) or
    /// [`begin_response`](Self::begin_response).
    pub fn written_bytes(&self) -> u64 {
        self.state().written_bytes
    }

    /// Returns whether the buffer holds bytes that the codec has not read yet.
    pub fn has_buffered(&self) -> bool {
        !self.state().buffered.is_empty()
    }

    /// Returns whether the codec has read the whole message. Always false for a chunked body, whose end only the codec
    /// knows.
    pub fn at_end(&self) -> bool {
        self.state().phase == Phase::Counted(0)
    }

    /// Returns whether an idle connection is still open and has no unread bytes, so that it can be used for another
    /// request.
    pub fn is_quiet(&self) -> bool {
        if self.has_buffered() {
            return false;
        }
        let mut byte = [0u8; 1];
        match self.stream.get_ref().peek(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Returns whether the peer has sent bytes that were not read from the socket yet.
    pub fn has_unread(&self) -> bool {
        let mut byte = [0u8; 1];
        matches!(self.stream.get_ref().peek(&mut byte), Ok(1..))
    }

    /// Shuts down the sending side, so that the peer sees the end of the stream after the last response.
    pub fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Shuts down both directions, so that whoever reads or writes here finds the connection closed.
    pub fn shutdown(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
    }

    fn poll_socket(&self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_read(cx, out)
    }

    fn fail_with(state: &mut State, framing_error: FramingError) -> Poll<io::Result<usize>> {
        state.framing_error = Some(framing_error);
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            framing_error.reason(),
        )))
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut s = self.state();
        loop {
            match s.phase {
                Phase::Head => match find_head_end(&s.buffered) {
                    Some(end) => match parse_body_framing(s.side, &s.buffered[..end]) {
                        Ok(BodyFraming::Counted(n)) => s.phase = Phase::Counted(end as u64 + n),
                        Ok(BodyFraming::Chunked) => s.phase = Phase::Chunked,
                        Err(framing_error) => return Self::fail_with(&mut s, framing_error),
                    },
                    None if s.buffered.len() >= HEAD_MAX_BYTES => {
                        return Self::fail_with(&mut s, FramingError::HeadTooLarge);
                    }
                    None => {
                        let mut buf = [0u8; READ_BYTES];
                        let n = match self.poll_socket(cx, &mut buf) {
                            Poll::Ready(Ok(n)) => n,
                            other => return other,
                        };
                        if n == 0 && s.buffered.is_empty() {
                            return Poll::Ready(Ok(0));
                        }
                        if n == 0 {
                            return Self::fail_with(&mut s, FramingError::CutHead);
                        }
                        s.buffered.extend_from_slice(&buf[..n]);
                    }
                },
                Phase::Counted(0) => return Poll::Ready(Ok(0)),
                Phase::Counted(left) => {
                    let read_max = out.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let n = if s.buffered.is_empty() {
                        match self.poll_socket(cx, &mut out[..read_max]) {
                            Poll::Ready(Ok(0)) if read_max > 0 => {
                                return Self::fail_with(&mut s, FramingError::CutBody);
                            }
                            Poll::Ready(Ok(n)) => n,
                            other => return other,
                        }
                    } else {
                        take_buffered(&mut s.buffered, &mut out[..read_max])
                    };
                    s.phase = Phase::Counted(left - n as u64);
                    return Poll::Ready(Ok(n));
                }
                Phase::Chunked => {
                    if s.buffered.is_empty() {
                        return self.poll_socket(cx, out);
                    }
                    let n = take_buffered(&mut s.buffered, out);
                    return Poll::Ready(Ok(n));
                }
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut &*self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = poll {
            self.state().written_bytes += n as u64;
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}

fn take_buffered(buffered: &mut Vec<u8>, out: &mut [u8]) -> usize {
    let n = buffered.len().min(out.len());
    out[..n].copy_from_slice(&buffered[..n]);
    buffered.drain(..n);
    n
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
        .filter(|&end| end <= HEAD_MAX_BYTES)
}

enum BodyFraming {
    Counted(u64),
    Chunked,
}

fn parse_body_framing(side: Side, head: &[u8]) -> Result<BodyFraming, FramingError> {
    // http-types panics on a header value that is not ASCII.
    if !head.is_ascii() {
        return Err(FramingError::NotAscii);
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    match side {
        Side::Request => {
            let mut req = httparse::Request::new(&mut headers);
            check_parse(req.parse(head))?;
            if req.version != Some(1) {
                return Err(FramingError::Malformed);
            }
            if count_headers(req.headers, "host") != 1 {
                return Err(FramingError::Host);
            }
            Ok(parse_body_length(req.headers)?.unwrap_or(BodyFraming::Counted(0)))
        }
        Side::Response { to_head } => {
            let mut res = httparse::Response::new(&mut headers);
            check_parse(res.parse(head))?;
            let code = res.code.unwrap_or(0);
            if res.version != Some(1) {
                return Err(FramingError::Malformed);
            }
            if code < 200 {
                return Err(FramingError::Interim);
            }
            let declared = parse_body_length(res.headers)?;
            if to_head || code == 204 || code == 304 {
                return Ok(BodyFraming::Counted(0));
            }
            declared.ok_or(FramingError::CloseDelimited)
        }
    }
}

fn check_parse(parsed: httparse::Result<usize>) -> Result<(), FramingError> {
    match parsed {
        Ok(status) if status.is_complete() => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(FramingError::HeadTooLarge),
        _ => Err(FramingError::Malformed),
    }
}

fn count_headers(headers: &[httparse::Header<'_>], name: &str) -> usize {
    headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .count()
}

fn parse_body_length(
    headers: &[httparse::Header<'_>],
) -> Result<Option<BodyFraming>, FramingError> {
    let lengths = count_headers(headers, "content-length");
    let codings = count_headers(headers, "transfer-encoding");
    if lengths > 0 && codings > 0 {
        return Err(FramingError::LengthAndCoding);
    }
    if lengths > 1 {
        return Err(FramingError::Length);
    }
    let find = |name: &str| {
        headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))
            .and_then(|h| std::str::from_utf8(h.value).ok())
            .map(str::trim)
    };
    if codings > 0 {
        let chunked = codings == 1
            && find("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        return if chunked {
            Ok(Some(BodyFraming::Chunked))
        } else {
            Err(FramingError::Coding)
        };
    }
    match find("content-length") {
        None => Ok(None),
        Some(v) if !v.is_empty() && v.len() < 19 && v.bytes().all(|b| b.is_ascii_digit()) => v
            .parse()
            .map(|n| Some(BodyFraming::Counted(n)))
            .map_err(|_| FramingError::Length),
        Some(_) => Err(FramingError::Length),
    }
}
