//! What the threads of an entry share: the routes in force, counters, and a way to the control thread.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
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

/// A service as traffic sees it.
pub(super) struct Route {
    pub(super) service: Service,
    pub(super) admission: Arc<Admission>,
    pub(super) backends: Vec<Arc<Backend>>,
}

/// An account as traffic sees it.
pub(super) struct Caller {
    pub(super) name: String,
    pub(super) token_sha256: String,
    pub(super) bucket: Mutex<Bucket>,
    pub(super) account: Account,
}

/// The routes in force; replaced whole.
#[derive(Default)]
pub(super) struct Routes {
    pub(super) services: HashMap<String, Arc<Route>>,
    /// By the hash of their token.
    pub(super) callers: HashMap<String, Arc<Caller>>,
    pub(super) entries: usize,
}

impl Routes {
    /// The account that a token belongs to.
    pub(super) fn caller(&self, token: Option<&str>) -> Option<&Arc<Caller>> {
        let hash = auth::token_hash(token?);
        self.callers
            .get(&hash)
            .filter(|c| auth::same_hash(&c.token_sha256, &hash))
    }
}

/// What a poll of a peer says of us.
pub(super) struct PeerView {
    pub(super) digest: Digest,
    pub(super) since: u64,
}

/// Everything that threads share.
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
    /// When the view was last confirmed.
    pub(super) confirmed_ms: AtomicU64,
    /// How old a confirmation may be, 0 where peers are not configured.
    pub(super) isolation_ms: Millis,
    /// Whether there is a whole view, and we are registered or spoken for.
    pub(super) ready: AtomicBool,
    /// Whether the last read of the table failed.
    pub(super) store_down: AtomicBool,
    /// Told to stop.
    pub(super) stopping: AtomicBool,
    /// No new connections.
    pub(super) accept_stopped: AtomicBool,
    /// The listener is closed, and all that came before is being served.
    pub(super) listener_closed: AtomicBool,
    /// Callers' connections.
    pub(super) connections: AtomicUsize,
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
            connections: AtomicUsize::new(0),
            next_request_number: AtomicU64::new(1),
            control,
        };
        (shared, inbox)
    }

    pub(super) fn log_decision(&self, d: Decision) {
        self.log.decision(d);
    }

    pub(super) fn send_to_control(&self, message: Message) {
        // The control thread ends last; after it nobody is left to be told.
        let _ = self.control.try_send(message);
    }

    /// A new request id: the entry, its start and a number.
    pub(super) fn request_id(&self) -> String {
        let n = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:06x}-{n}",
            self.settings.name,
            self.incarnation & 0xff_ffff
        )
    }

    /// Whether new work may be sent on the view in hand.
    ///
    /// A view that neither the table nor any peer confirmed for long may lack marks of leaving hosts.
    /// So it is after a pause of the process, until the first answer to a question asked after it.
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

/// Takes one off a count when it is dropped.
pub(super) struct CountGuard<'a>(pub(super) &'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
