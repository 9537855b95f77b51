//! HTTP/1.1 client and server on async-h1, with the checks that the library leaves to its users.
//!
//! `framing` checks where each message ends, `client` pools connections, `server` reads and answers requests, and `intake`
//! bounds what the clients of a listener hold.
//! The entry, the daemon of `serve` and the commands use them.

pub mod client;
pub mod framing;
pub mod intake;
pub mod server;

pub use client::{Answer, Client, ExchangeError, Sent};
pub use framing::{FramingError, Wire};
pub use intake::{Intake, Seat};
pub use server::{Incoming, Limits};

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::headers::Headers;
use smol::Timer;

/// Headers that apply to one connection only (RFC 9110, section 7.6.1) or that the codec writes itself.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "content-length",
    "date",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether the header `name` (lower case) may be forwarded; `listed` holds the names that `Connection` lists.
pub fn is_end_to_end(name: &str, listed: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name) && !listed.iter().any(|l| l == name)
}

/// Returns the names that the `Connection` headers list, in lower case.
pub fn connection_names(headers: &Headers) -> Vec<String> {
    headers
        .get("connection")
        .map(|values| {
            values
                .iter()
                .flat_map(|v| v.as_str().split(','))
                .map(|s| s.trim().to_ascii_lowercase())
                .collect()
        })
        .unwrap_or_default()
}

/// Returns the last value of a header as text.
pub fn header_text<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.get(name).map(|values| values.last().as_str())
}

/// Interval at which a codec's future is polled without having been woken.
const REPOLL_MS: u64 = 20;

/// Runs a future of the codec and works around two faults of its chunked decoder: it doesn't register a waker
/// when a trailer arrives in pieces, and it panics on a trailer that is not ASCII. Returns `None` after a panic.
async fn drive_codec<T>(work: impl Future<Output = T>) -> Option<T> {
    let repoll = async {
        loop {
            Timer::after(Duration::from_millis(REPOLL_MS)).await;
        }
    };
    AssertUnwindSafe(work.or(repoll)).catch_unwind().await.ok()
}
