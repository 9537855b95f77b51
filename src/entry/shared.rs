//! The state that the threads of an entry share: settings, routes in force, counters and the channel to the control
//! thread.
//!
//! The control thread publishes into it; traffic, peer and admin code read it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use smol::channel::{Receiver, Sender};

use super::balance::{Admission, Backend};
use super::control::Message;
use crate::auth;
use crate::clock::{Clock, Millis};
use crate::config::Settings;
use crate::core::admit::Bucket;
use crate::core::config::{Account, Service};
use crate::core::members::Digest;
use crate::error::Kind;
use crate::event::Decision;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::port::Http;
use crate::runtime::Runtime;

/// A service with its admission state and its backend servers.
pub(super) struct Route {
    pub(super) service: Service,
    pub(super) admission: Arc<Admission>,
    pub(super) backends: Vec<Arc<Backend>>,
}

/// An account with what is left of its quota at this entry.
pub(super) struct Caller {
    pub(super) name: String,
    pub(super) token_sha256: String,
    pub(super) bucket: Mutex<Bucket>,
    pub(super) account: Account,
}

/// The routes in force. They are replaced as a whole.
#[derive(Default)]
pub(super) struct Routes {
    pub(super) services: HashMap<String, Arc<Route>>,
    /// Accounts by the SHA-256 hash of their token.
    pub(super) callers: HashMap<String, Arc<Caller>>,
    /// Number of entries that share the quotas and the backend servers.
    pub(super) entry_count: usize,
}

impl Routes {
    /// Returns the account that a token belongs to.
    pub(super) fn find_caller(&self, token: Option<&str>) -> Option<&Arc<Caller>> {
        let hash = auth::token_hash(token?);
        self.callers
            .get(&hash)
            .filter(|c| auth::hashes_match(&c.token_sha256, &hash))
    }
}

/// What this entry tells a peer when it polls the peer: its own state, and the table sequence number up to which it
/// knows all rows.
pub(super) struct PeerView {
    pub(super) digest: Digest,
    pub(super) since: u64,
}

/// The state that all threads of an entry share.
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) clock: Clock,
    pub(super) log: Log,
    pub(super) metrics: Metrics,
    pub(super) runtime: Runtime,
    pub(super) platform: Http,
    pub(super) routes: ArcSwap<Routes>,
    pub(super) peer_view: ArcSwap<PeerView>,
    /// When the table or a peer last confirmed the view.
    pub(super) confirmed_ms: AtomicU64,
    /// Longest time after `confirmed_ms` for which the entry sends requests; 0, which means no bound, if no peers are
    /// configured.
    pub(super) isolation_ms: Millis,
    /// Whether the view is complete and this entry is registered or sponsored by a peer.
    pub(super) ready: AtomicBool,
    /// Whether the last read of the table failed.
    pub(super) store_down: AtomicBool,
    /// Whether a signal has asked this entry to stop.
    pub(super) stopping: AtomicBool,
    /// Whether the listener must accept no further connections.
    pub(super) accept_stopped: AtomicBool,
    /// Whether the last connection has been accepted, so that `connections` can only fall.
    pub(super) listener_closed: AtomicBool,
    /// Number of callers' open connections.
    pub(super) connections: Arc<AtomicU64>,
    next_request_number: AtomicU64,
    control: Sender<Message>,
}

impl Shared {
    pub(super) fn new(
        settings: Settings,
        log: Log,
        runtime: Runtime,
        incarnation: u64,
    ) -> (Self, Receiver<Message>) {
        let (control, inbox) = smol::channel::unbounded();
        let platform = Http::new(settings.platform, &settings.name);
        let isolation_ms = match settings.peers.is_empty() {
            true => 0,
            false => crate::core::state::Tuning::default().isolation_ms,
        };
        let view = PeerView {
            digest: Digest {
                name: settings.name.clone(),
                incarnation,
                ..Digest::default()
            },
            since: 0,
        };
        let shared = Self {
            settings,
            incarnation,
            clock: Clock::new(),
            log,
            metrics: Metrics::new(),
            runtime,
            platform,
            routes: ArcSwap::from_pointee(Routes::default()),
            peer_view: ArcSwap::from_pointee(view),
            confirmed_ms: AtomicU64::new(0),
            isolation_ms,
            ready: AtomicBool::new(false),
            store_down: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            accept_stopped: AtomicBool::new(false),
            listener_closed: AtomicBool::new(false),
            connections: Arc::default(),
            next_request_number: AtomicU64::new(1),
            control,
        };
        (shared, inbox)
    }

    pub(super) fn log_decision(&self, d: Decision) {
        self.log.record(d);
    }

    pub(super) fn send_to_control(&self, message: Message) {
        // Sending fails only after the control thread has ended. It ends last, so no thread needs the message then.
        let _ = self.control.try_send(message);
    }

    /// Returns a new request id, made of the entry's name, its incarnation and a number.
    pub(super) fn new_request_id(&self) -> String {
        let n = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:06x}-{n}",
            self.settings.name,
            self.incarnation & 0xff_ffff
        )
    }

    /// Checks that the entry is ready and its view is fresh enough to send new work.
    ///
    /// A view that neither the table nor a peer has confirmed for longer than `isolation_ms` may lack the marks of
    /// leaving hosts. So may the view after a pause of the process, until a request sent after the pause is answered.
    pub(super) fn may_send(&self) -> Result<(), Kind> {
        if !self.ready.load(Ordering::SeqCst) {
            return Err(Kind::NotReady);
        }
        let confirmed_ms = self.confirmed_ms.load(Ordering::SeqCst);
        let silent_ms = self.clock.now_ms().saturating_sub(confirmed_ms);
        if self.isolation_ms > 0 && silent_ms > self.isolation_ms {
            return Err(Kind::Isolated);
        }
        Ok(())
    }
}
