//! HTTP/1.1 by async-h1, with the checks that the library leaves to its user.

pub mod client;
pub mod framing;
pub mod server;

pub use client::{Answer, Client, Sent, Trouble};
pub use framing::{Fault, Wire};
pub use server::{Incoming, Limits};

use http_types::headers::Headers;

/// Headers that concern one connection only (RFC 9110, section 7.6.1) or that the codec writes itself.
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

/// Whether `name` (lower case) may be passed on, given the names that `Connection` lists.
pub fn end_to_end(name: &str, listed: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name) && !listed.iter().any(|l| l == name)
}

/// The lower-case names that the `Connection` headers list.
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

/// The last value of a header as text.
pub fn text<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.get(name).map(|values| values.last().as_str())
}
