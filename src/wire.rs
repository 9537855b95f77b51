//! Messages between entries: postcard over nng, REQ to REP.

use serde::{Deserialize, Serialize};

use crate::core::members::Digest;
use crate::event::{Decision, Subject};
use crate::port::{Changes, HostInfo};

/// Bound on a message; a larger one is refused.
pub const MESSAGE_MAX_BYTES: usize = 8 << 20;

/// Raised whenever a message changes its shape; another one is not understood.
pub const PROTOCOL: u16 = 1;

/// What one entry asks another.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Who I am; what do you know beyond `since`?
    Poll {
        /// The one who asks.
        digest: Digest,
        /// It knows the table completely up to here.
        since: u64,
    },
    /// What did you log about this?
    Explain {
        /// The kind of thing.
        subject: Subject,
        /// Its name.
        id: String,
    },
}

/// What it is answered.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// To a poll.
    View {
        /// The one who answers.
        digest: Digest,
        /// Rows beyond `since`.
        changes: Changes,
        /// Whether the answerer's own view is whole.
        complete: bool,
        /// The host list, for an asker that has none.
        hosts: Vec<HostInfo>,
    },
    /// To a question for logged decisions.
    Decisions {
        /// The entry that logged them.
        entry: String,
        /// The oldest first.
        list: Vec<Decision>,
    },
}

/// Encodes a message behind the protocol's number.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(&(PROTOCOL, message)).ok()
}

/// Decodes a message; nothing where it is malformed, too large or of another protocol.
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
