//! Decides which connections are closed and which bodies are refused when a listener's clients hold too much.
//!
//! Pure: `http::intake` carries out the decisions on the sockets. A connection that makes no progress gives way to others, a
//! large body to a small one, and a request that is being run to none. `http::intake` knows whether a connection has bytes
//! that this process has not read, and notes them as progress: what waits for this process has not stalled.

use slotmap::{new_key_type, SlotMap};

use crate::clock::Millis;

new_key_type! {
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// The largest request body that may use the reserved part of the budget.
pub const SMALL_BYTES: usize = 16 << 10;

/// Time without progress after which a connection gives way to another one: while a request is awaited, a body received or
/// an answer written.
pub const STALLED_MS: Millis = 300;

/// The share of the budget that is reserved for small bodies: one part of this many.
const RESERVED_DIVISOR: usize = 4;

/// Bounds on what all clients of a listener may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest number of open connections.
    pub connections_max: usize,
    /// Largest number of bytes of bodies, and of answers that are being written.
    pub bytes_max: usize,
}

impl ConnectionLimits {
    /// No bounds.
    pub const NONE: Self = Self {
        connections_max: usize::MAX,
        bytes_max: usize::MAX,
    };
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The next request's head is awaited.
    Waiting,
    /// A body is being received.
    Receiving,
    /// A complete request is being run.
    Running,
    /// An answer is being written.
    Answering,
    /// The connection was told to close.
    Closing,
}

/// The answer to a connection that needs more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The bytes are charged.
    Granted,
    /// This connection has to be closed; then ask again.
    Close(ConnectionKey),
    /// Connections that close still hold bytes; ask again once they are removed.
    Wait,
    /// There is no room, and nothing may be closed for it.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    progress_ms: Millis,
    charged_bytes: usize,
}

impl Connection {
    fn is_stalled(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.progress_ms) >= STALLED_MS
    }
}

/// The open connections of a listener and the bytes that they hold.
pub struct Connections {
    limits: ConnectionLimits,
    all: SlotMap<ConnectionKey, Connection>,
    charged_bytes: usize,
    /// The part of `charged_bytes` that connections hold that close.
    closing_bytes: usize,
}

impl Connections {
    /// Returns an empty set with these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            all: SlotMap::with_key(),
            charged_bytes: 0,
            closing_bytes: 0,
        }
    }

    /// Returns the number of connections, those that close included.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Returns the bytes that all connections hold.
    pub fn charged_bytes(&self) -> usize {
        self.charged_bytes
    }

    /// Whether one more connection would exceed the limit.
    pub fn is_full(&self) -> bool {
        self.all.len() >= self.limits.connections_max
    }

    /// Adds a connection that awaits its first request.
    pub fn add(&mut self, now_ms: Millis) -> ConnectionKey {
        self.all.insert(Connection {
            phase: Phase::Waiting,
            progress_ms: now_ms,
            charged_bytes: 0,
        })
    }

    /// Removes a connection and the bytes that it holds.
    pub fn remove(&mut self, key: ConnectionKey) {
        if let Some(gone) = self.all.remove(key) {
            self.charged_bytes -= gone.charged_bytes;
            if gone.phase == Phase::Closing {
                self.closing_bytes -= gone.charged_bytes;
            }
        }
    }

    /// Sets what a connection is doing. One that closes stays so; one that waits for a request holds no bytes.
    pub fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now_ms: Millis) {
        let Some(connection) = self.all.get_mut(key) else {
            return;
        };
        if connection.phase == Phase::Closing {
            return;
        }
        connection.phase = phase;
        connection.progress_ms = now_ms;
        match phase {
            Phase::Waiting => self.charged_bytes -= std::mem::take(&mut connection.charged_bytes),
            Phase::Closing => self.closing_bytes += connection.charged_bytes,
            Phase::Receiving | Phase::Running | Phase::Answering => {}
        }
    }

    /// Notes that a body or an answer made progress.
    pub fn note_progress(&mut self, key: ConnectionKey, now_ms: Millis) {
        if let Some(connection) = self.all.get_mut(key) {
            connection.progress_ms = now_ms;
        }
    }

    /// Charges a connection with `bytes` in all, in place of what it held.
    pub fn charge(&mut self, key: ConnectionKey, bytes: usize, now_ms: Millis) -> Charge {
        let Some(connection) = self.all.get(key) else {
            return Charge::Refused;
        };
        if connection.phase == Phase::Closing {
            return Charge::Refused;
        }
        let others_bytes = self.charged_bytes - connection.charged_bytes;
        let bytes_max = self.bytes_max(bytes);
        if bytes <= bytes_max.saturating_sub(others_bytes) {
            self.charged_bytes = others_bytes + bytes;
            self.all[key].charged_bytes = bytes;
            return Charge::Granted;
        }
        if bytes <= bytes_max.saturating_sub(others_bytes - self.closing_bytes) {
            return Charge::Wait;
        }
        match self.find_holder(key, bytes, now_ms) {
            Some(holder) => Charge::Close(holder),
            None => Charge::Refused,
        }
    }

    /// Returns the connection to close for a new one: of those without progress for [`STALLED_MS`] the one that has gone
    /// longest, unless its request is being run. `None` as well while a connection is closing already.
    pub fn find_idlest(&self, now_ms: Millis) -> Option<ConnectionKey> {
        if self.all.values().any(|c| c.phase == Phase::Closing) {
            return None;
        }
        let may_close = |c: &Connection| c.phase != Phase::Running && c.is_stalled(now_ms);
        let idle = self.all.iter().filter(|(_, c)| may_close(c));
        idle.min_by_key(|(_, c)| c.progress_ms).map(|(key, _)| key)
    }

    /// Whether a connection that has stalled may have sent bytes that were not read here: a request or a body is awaited.
    pub fn may_have_unread(&self, key: ConnectionKey, now_ms: Millis) -> bool {
        let is_awaited = |c: &Connection| matches!(c.phase, Phase::Waiting | Phase::Receiving);
        let connection = self.all.get(key);
        connection.is_some_and(|c| is_awaited(c) && c.is_stalled(now_ms))
    }

    fn bytes_max(&self, bytes: usize) -> usize {
        match bytes <= SMALL_BYTES {
            true => self.limits.bytes_max,
            false => self.limits.bytes_max - self.limits.bytes_max / RESERVED_DIVISOR,
        }
    }

    /// Returns the connection whose bytes are freed for `bytes` of another: a stalled one, or for a small body any large body
    /// that is being received. Large ones come first, then those that have gone longest without progress.
    fn find_holder(
        &self,
        asking: ConnectionKey,
        bytes: usize,
        now_ms: Millis,
    ) -> Option<ConnectionKey> {
        let is_small = |b: usize| b <= SMALL_BYTES;
        let gives_way = |c: &Connection| {
            let is_outranked = is_small(bytes) && !is_small(c.charged_bytes);
            let may_close = match c.phase {
                Phase::Receiving => c.is_stalled(now_ms) || is_outranked,
                Phase::Answering => c.is_stalled(now_ms),
                Phase::Waiting | Phase::Running | Phase::Closing => false,
            };
            may_close && c.charged_bytes > 0
        };
        self.all
            .iter()
            .filter(|(key, c)| *key != asking && gives_way(c))
            .min_by_key(|(_, c)| (is_small(c.charged_bytes), c.progress_ms))
            .map(|(key, _)| key)
    }
}
