//! Messages between entries, encoded with postcard and sent over nng REQ and REP sockets.
//!
//! Postcard encodes fields and variants by position, not by name, so none may be moved without a new [`PROTOCOL`].

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
    /// Reports about the sender and asks for the rows that changed after `since`.
    Poll {
        /// The sender's report about itself.
        digest: Digest,
        /// Table sequence number up to which the sender knows all rows.
        since: u64,
    },
    /// Asks for the logged decisions about one subject, such as a job or a host.
    Explain {
        /// Kind of the subject.
        subject: Subject,
        /// Name or id of the subject.
        id: String,
    },
}

/// Answer of an entry to a request of another one.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers a poll.
    View {
        /// The answering entry's report about itself.
        digest: Digest,
        /// Rows that changed after `since`, or the first part of them.
        changes: Changes,
        /// Whether the answering entry has a complete view of the table, read from the table or received from a peer.
        complete: bool,
        /// The host list if the sender of the poll has none; else empty.
        hosts: Vec<HostInfo>,
    },
    /// Answers a request for logged decisions.
    Decisions {
        /// Name of the entry that logged the decisions.
        entry: String,
        /// The decisions about the subject that are still in memory, in the order of
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
