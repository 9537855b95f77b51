//! The connections of a listener: accepts them within [`ConnectionLimits`] and closes those that have to give way.
//!
//! `core::connections` decides; this module holds the sockets. `server` reports what each connection is doing.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use slotmap::SecondaryMap;
use smol::channel::{Receiver, Sender};
use smol::{Async, Timer};

use super::Wire;
use crate::clock::{Clock, Millis};
use crate::core::connections::{Charge, ConnectionKey, ConnectionLimits, Connections, Phase};
use crate::util::lock;

/// Longest wait for a connection that was told to close.
const CLOSE_WAIT_MS: u64 = 10;

/// The kernel's receive buffer of an accepted connection. What it holds is not charged to the budget.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// The kernel's send buffer of an accepted connection, which holds answers that the client does not read.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Memory that one connection may cost beside the bodies and answers that are charged to the budget: its task, the
/// buffers for a head and the kernel's receive buffer.
const CONNECTION_BYTES: u64 = 48 << 10;

/// The part of the memory that connections may use, and the part for bodies and answers: one part of this many.
const CONNECTIONS_DIVISOR: u64 = 4;
const BODIES_DIVISOR: u64 = 8;

/// The part of the descriptors that callers' connections may use, and the part of each listener for checks.
const CALLERS_FDS_DIVISOR: u64 = 2;
const CHECKS_FDS_DIVISOR: u64 = 16;

/// Largest number of connections of a listener for checks.
const CHECKS_MAX: u64 = 64;

/// Smallest number of connections of a listener.
const CONNECTIONS_MIN: u64 = 4;

/// The memory and the descriptors that a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of descriptors.
    pub fds: u64,
}

impl ProcessLimits {
    /// Returns the limits of a listener for callers, whose bodies have at most `body_bytes`.
    pub fn for_callers(self, body_bytes: usize) -> ConnectionLimits {
        let by_memory = self.memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_fds = self.fds / CALLERS_FDS_DIVISOR;
        self.limits(by_memory.min(by_fds), body_bytes)
    }

    /// Returns the limits of a listener for the balancer, for metrics or for operators.
    pub fn for_checks(self, body_bytes: usize) -> ConnectionLimits {
        self.limits((self.fds / CHECKS_FDS_DIVISOR).min(CHECKS_MAX), body_bytes)
    }

    fn limits(self, connections_max: u64, body_bytes: usize) -> ConnectionLimits {
        let bytes_max = (self.memory_bytes / BODIES_DIVISOR) as usize;
        ConnectionLimits {
            connections_max: connections_max.max(CONNECTIONS_MIN) as usize,
            // The part that is not reserved for small bodies holds at least one body of the largest size.
            bytes_max: bytes_max.max(body_bytes.saturating_mul(2)),
        }
    }
}

/// What was refused and closed at all listeners that share it, for the metrics.
#[derive(Debug, Default)]
pub struct IntakeCounts {
    /// Bodies and answers that were refused because the budget was used up.
    pub refused: AtomicU64,
    /// Connections that were closed so that others can be served.
    pub closed: AtomicU64,
}

impl IntakeCounts {
    /// Returns the sum of all counts.
    pub fn total(&self) -> u64 {
        self.refused.load(Ordering::Relaxed) + self.closed.load(Ordering::Relaxed)
    }
}

struct Held {
    connections: Connections,
    wires: SecondaryMap<ConnectionKey, Wire>,
}

impl Held {
    /// Notes progress of a stalled connection that has sent bytes which were not read here, and returns whether it has.
    fn note_unread(&mut self, key: ConnectionKey, now_ms: Millis) -> bool {
        let has_unread = self.connections.may_have_unread(key, now_ms)
            && self.wires.get(key).is_some_and(Wire::has_unread);
        if has_unread {
            self.connections.note_progress(key, now_ms);
        }
        has_unread
    }
}

/// The connections of one listener.
pub struct Intake {
    held: Mutex<Held>,
    clock: Clock,
    counts: Arc<IntakeCounts>,
    /// Signals that a connection was closed.
    freed: (Sender<()>, Receiver<()>),
    /// Signals that something was refused or closed.
    limited: Option<Sender<()>>,
}

impl Intake {
    /// Returns a listener's connections, none yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            held: Mutex::new(Held {
                connections: Connections::new(limits),
                wires: SecondaryMap::new(),
            }),
            clock: Clock::new(),
            counts: Arc::default(),
            freed: smol::channel::bounded(1),
            limited: None,
        }
    }

    /// Sets where refusals and closed connections are counted.
    pub fn with_counts(mut self, counts: Arc<IntakeCounts>) -> Self {
        self.counts = counts;
        self
    }

    /// Sets the channel that tells of refusals and closed connections.
    pub fn with_signal(mut self, limited: Sender<()>) -> Self {
        self.limited = Some(limited);
        self
    }

    /// Accepts the next connection. If there are as many as allowed, or the process has no descriptors left, it first closes
    /// one that has stalled, or waits until one ends.
    pub async fn accept(self: &Arc<Self>, listener: &Async<TcpListener>) -> io::Result<Seat> {
        while lock(&self.held).connections.is_full() {
            listener.readable().await?;
            self.close_idlest();
            self.wait_for_close().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => Ok(self.seat(stream)),
            Err(e) => {
                self.close_idlest();
                self.wait_for_close().await;
                Err(e)
            }
        }
    }

    /// Adds an accepted connection.
    pub fn seat(self: &Arc<Self>, stream: Async<TcpStream>) -> Seat {
        self.seat_wire(Wire::for_requests(stream))
    }

    pub(super) fn seat_wire(self: &Arc<Self>, wire: Wire) -> Seat {
        let mut held = lock(&self.held);
        let key = held.connections.add(self.clock.now_ms());
        held.wires.insert(key, wire.clone());
        Seat {
            intake: Arc::clone(self),
            key,
            wire,
        }
    }

    fn close_idlest(&self) {
        let now_ms = self.clock.now_ms();
        let mut held = lock(&self.held);
        while let Some(key) = held.connections.find_idlest(now_ms) {
            if !held.note_unread(key, now_ms) {
                self.close(&mut held, key);
                return;
            }
        }
    }

    fn close(&self, held: &mut Held, key: ConnectionKey) {
        let now_ms = self.clock.now_ms();
        held.connections.set_phase(key, Phase::Closing, now_ms);
        if let Some(wire) = held.wires.get(key) {
            wire.shutdown();
        }
        self.note_limited(&self.counts.closed);
    }

    async fn wait_for_close(&self) {
        let freed = async {
            // The sender is kept next to the receiver, so the channel is never closed.
            let _ = self.freed.1.recv().await;
        };
        let timeout = async {
            Timer::after(Duration::from_millis(CLOSE_WAIT_MS)).await;
        };
        freed.or(timeout).await;
    }

    fn note_limited(&self, counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
        if let Some(limited) = &self.limited {
            // A full channel means that a signal is pending already.
            let _ = limited.try_send(());
        }
    }
}

/// A connection that its listener counts until the value is dropped.
pub struct Seat {
    intake: Arc<Intake>,
    key: ConnectionKey,
    wire: Wire,
}

impl Seat {
    /// Returns the connection.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Whether the listener has as many connections as allowed, so that others can only be accepted once some end.
    pub(super) fn is_crowded(&self) -> bool {
        lock(&self.intake.held).connections.is_full()
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        let now_ms = self.intake.clock.now_ms();
        let mut held = lock(&self.intake.held);
        held.connections.set_phase(self.key, phase, now_ms);
    }

    pub(super) fn note_progress(&self) {
        let now_ms = self.intake.clock.now_ms();
        let mut held = lock(&self.intake.held);
        held.connections.note_progress(self.key, now_ms);
    }

    /// Charges the connection with `bytes` in all and closes others for it if need be. Returns false if there is no room.
    pub(super) async fn charge(&self, bytes: usize) -> bool {
        loop {
            match self.try_charge(bytes) {
                Charge::Granted => return true,
                Charge::Close(_) | Charge::Wait => self.intake.wait_for_close().await,
                Charge::Refused => {
                    self.intake.note_limited(&self.intake.counts.refused);
                    return false;
                }
            }
        }
    }

    /// Asks for bytes until the answer is another than to close a connection.
    fn try_charge(&self, bytes: usize) -> Charge {
        let now_ms = self.intake.clock.now_ms();
        let mut held = lock(&self.intake.held);
        loop {
            match held.connections.charge(self.key, bytes, now_ms) {
                Charge::Close(key) if held.note_unread(key, now_ms) => {}
                Charge::Close(key) => self.intake.close(&mut held, key),
                other => return other,
            }
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut held = lock(&self.intake.held);
        held.connections.remove(self.key);
        held.wires.remove(self.key);
        drop(held);
        // A full channel means that a signal is pending already.
        let _ = self.intake.freed.0.try_send(());
    }
}

/// Sets the kernel's buffers of the connections that a listener will accept. A system that refuses keeps its own size.
pub fn limit_buffers(listener: &TcpListener) {
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES);
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(listener, SEND_BUFFER_BYTES);
}

/// Returns the number of descriptors that the system allows this process.
pub fn allowed_fds() -> Option<u64> {
    rustix::process::getrlimit(rustix::process::Resource::Nofile).current
}
