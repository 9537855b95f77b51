//! Messages between entries, encoded with postcard and sent over nng REQ and REP sockets.
//!
//! Postcard writes fields and variants by position, so none may be moved without a new [`PROTOCOL`].

use serde::{Deserialize, Serialize};

use crate::core::members::Digest;
use crate::event::{Decision, Subject};
use crate::port::{Changes, HostInfo};

/// Maximum size of a message; a larger one is not decoded.
pub const MESSAGE_MAX_BYTES: usize = 8 << 20;

/// Protocol version, sent before each message. It must be raised whenever the encoding of a message changes; messages
/// of another version are not decoded.
pub const PROTOCOL: u16 = 1;

/// Request from one entry to another.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Introduces the sender and asks for the rows that changed after `since`.
    Poll {
        /// State of the sender.
        digest: Digest,
        /// Table sequence number up to which the sender knows all rows.
        since: u64,
    },
    /// Asks for the logged decisions about one thing.
    Explain {
        /// Kind of the thing.
        subject: Subject,
        /// Name or id of the thing.
        id: String,
    },
}

/// Answer of an entry to a request of another one.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers a poll.
    View {
        /// State of the entry that answers.
        digest: Digest,
        /// Rows that changed after `since`.
        changes: Changes,
        /// Whether the entry that answers knows the whole table itself.
        complete: bool,
        /// The host list if the sender of the poll has none; else empty.
        hosts: Vec<HostInfo>,
    },
    /// Answers a request for logged decisions.
    Decisions {
        /// Name of the entry that logged the decisions.
        entry: String,
        /// The decisions in memory about that thing, in the order of
        /// [`decisions_about`](crate::log::Log::decisions_about).
        list: Vec<Decision>,
    },
}

/// Encodes a message with the protocol version before it.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(&(PROTOCOL, message)).ok()
}

/// Decodes a message; `None` if it is malformed, too large or of another protocol version.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    if bytes.len() > MESSAGE_MAX_BYTES {
        return None;
    }
    let (protocol, rest) = postcard::take_from_bytes::<u16>(bytes).ok()?;
    if protocol != PROTOCOL {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
