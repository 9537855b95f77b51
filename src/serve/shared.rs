//! What the control thread and the traffic thread share: a snapshot each way, never a wait.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use smol::channel::{Receiver, Sender};

use super::settings::ServeSettings;
use super::stop::STOP_MS;
use crate::clock::{wall_ms, Clock, Millis, Now};
use crate::core::sched::limits::{INTAKE_TIMEOUT_MS, TX_TIMEOUT_MAX_MS, TX_TIMEOUT_MS};
use crate::core::sched::routing::Routing;
use crate::event::Decision;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::port::fleet::{FleetConfig, RowTx, Rows, TxOutcome};
use crate::port::timeout::AdaptiveTimeout;
use crate::util::lock;

/// The share of the bound on configurations that is kept back: a call that is decided now has its effect later.
const CONFIG_MARGIN_SHARE: Millis = 5;

/// Jobs of a pool that wait, as its owner told.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    /// By queue.
    pub(super) by_queue: BTreeMap<String, u64>,
    /// When the owner's word came here.
    pub(super) seen_ms: Millis,
}

/// Shared by the threads of one process.
pub(super) struct Shared {
    /// The settings.
    pub(super) settings: ServeSettings,
    /// The clock.
    pub(super) clock: Clock,
    /// The log.
    pub(super) log: Log,
    /// The figures.
    pub(super) metrics: Metrics,
    routing: ArcSwapOption<Routing>,
    /// Up to when everything that the operator said is known here; 0 before the first word.
    routing_known_ms: AtomicU64,
    /// A transaction got no answer: the store may be away.
    doubts: (Sender<()>, Receiver<()>),
    /// The last call for the operator's word failed.
    is_operator_silent: AtomicBool,
    /// Since when the store does not answer this entry; 0 while it does.
    store_away_ms: AtomicU64,
    /// When the process was told to stop; 0 before.
    pub(super) stopping_at_ms: AtomicU64,
    /// For transactions with the store.
    pub(super) store_timeout: AdaptiveTimeout,
    /// For those that can be made in another partition, too.
    pub(super) intake_timeout: AdaptiveTimeout,
    /// Open connections of callers.
    pub(super) connections: AtomicU64,
    waiting: Mutex<BTreeMap<String, Waiting>>,
}

impl Shared {
    /// Nothing known yet.
    pub(super) fn new(settings: ServeSettings, log: Log) -> Self {
        Self {
            settings,
            clock: Clock::new(),
            log,
            metrics: Metrics::new(),
            routing: ArcSwapOption::empty(),
            routing_known_ms: AtomicU64::new(0),
            doubts: smol::channel::bounded(1),
            is_operator_silent: AtomicBool::new(false),
            store_away_ms: AtomicU64::new(1),
            stopping_at_ms: AtomicU64::new(0),
            store_timeout: AdaptiveTimeout::new(TX_TIMEOUT_MS, TX_TIMEOUT_MAX_MS),
            intake_timeout: AdaptiveTimeout::new(INTAKE_TIMEOUT_MS, TX_TIMEOUT_MAX_MS),
            connections: AtomicU64::new(0),
            waiting: Mutex::new(BTreeMap::new()),
        }
    }

    /// The time on both clocks.
    pub(super) fn now(&self) -> Now {
        Now {
            ms: self.clock.now_ms(),
            wall_ms: wall_ms(),
        }
    }

    /// Sends a transaction; how long it is waited for follows what answers take, up to `most_ms`.
    pub(super) async fn transact<P: Rows>(
        &self,
        platform: &P,
        tx: &RowTx,
        most_ms: Millis,
    ) -> TxOutcome {
        let timeout_ms = self.store_timeout.ms().min(most_ms);
        let began_ms = self.clock.now_ms();
        let outcome = platform.transact(tx, timeout_ms).await;
        let took_ms = self.clock.now_ms() - began_ms;
        match outcome {
            TxOutcome::Unknown if took_ms >= timeout_ms => {
                self.store_timeout.silent(timeout_ms);
                self.intake_timeout.silent(timeout_ms);
                // A full channel means that it was told.
                let _ = self.doubts.0.try_send(());
            }
            // A connection that broke, or a refusal, tells nothing of how fast answers are.
            TxOutcome::Unknown | TxOutcome::Refused => {}
            TxOutcome::Committed(_) | TxOutcome::Conflict(_) => {
                self.store_timeout.answered(took_ms);
                self.intake_timeout.answered(took_ms);
            }
        }
        outcome
    }

    /// Logs a decision.
    pub(super) fn tell(&self, decision: Decision) {
        self.log.decision(decision);
    }

    /// How long ago the process was told to stop.
    pub(super) fn stopping_for_ms(&self) -> Option<Millis> {
        let at_ms = self.stopping_at_ms.load(Ordering::SeqCst);
        (at_ms > 0).then(|| self.clock.now_ms().saturating_sub(at_ms))
    }

    /// Whether the process stood still while it stopped, and has its time behind it: what was begun is answered, and nothing new
    /// is taken.
    pub(super) fn is_past_stop(&self) -> bool {
        self.stopping_for_ms().is_some_and(|ms| ms >= STOP_MS)
    }

    /// Comes back once a transaction got no answer.
    pub(super) async fn doubted(&self) {
        // The sender lives beside it: the channel is never closed.
        let _ = self.doubts.1.recv().await;
    }

    /// Takes note of whether the store answered; says whether that is a change.
    pub(super) fn note_store(&self, answers: bool) -> bool {
        if answers {
            return self.store_away_ms.swap(0, Ordering::SeqCst) > 0;
        }
        let now_ms = self.clock.now_ms().max(1);
        let before = self.store_away_ms.load(Ordering::SeqCst);
        // Only the control thread notes it.
        if before == 0 {
            self.store_away_ms.store(now_ms, Ordering::SeqCst);
        }
        before == 0
    }

    /// For how long the store has not answered this entry, while it does not.
    pub(super) fn store_away_for_ms(&self) -> Option<Millis> {
        let since_ms = self.store_away_ms.load(Ordering::SeqCst);
        (since_ms > 0).then(|| self.clock.now_ms().saturating_sub(since_ms))
    }

    /// Puts a configuration in force, if it is newer.
    pub(super) fn adopt(&self, config: &Arc<FleetConfig>) {
        if config.version > self.config_version() {
            let routing = Routing::new(Arc::clone(config));
            self.routing.store(Some(Arc::new(routing)));
        }
    }

    /// Takes note that all that the operator had said at that time is in force here.
    pub(super) fn note_operator_known(&self, at_ms: Millis) {
        self.routing_known_ms.fetch_max(at_ms, Ordering::SeqCst);
    }

    /// Takes note of whether the operator's word could be asked for.
    pub(super) fn note_operator(&self, answers: bool) {
        self.is_operator_silent.store(!answers, Ordering::SeqCst);
    }

    /// The configuration in force here, if it is certain that no newer one has been in force for long.
    ///
    /// An entry whose link to the store is full or silent would go on taking keys that were revoked, and refuse queues
    /// that are there: it can't tell, so it takes nothing. While the store fails to tell, nobody knows of newer
    /// configurations, and calls go on by the last one for longer.
    pub(super) fn current_routing(&self) -> Option<Arc<Routing>> {
        let within_ms = self.settings.config_within_ms;
        let age_max_ms = match self.is_operator_silent.load(Ordering::SeqCst) {
            true => self.settings.config_outage_ms,
            false => within_ms - within_ms / CONFIG_MARGIN_SHARE,
        };
        let is_current = self.routing_age_ms() <= age_max_ms;
        self.routing.load_full().filter(|_| is_current)
    }

    /// How long ago it was certain that the configuration was the newest.
    pub(super) fn routing_age_ms(&self) -> Millis {
        let known_ms = self.routing_known_ms.load(Ordering::SeqCst);
        self.clock.now_ms().saturating_sub(known_ms)
    }

    /// Pools of the configuration in force here.
    pub(super) fn pools(&self) -> Vec<String> {
        let routing = self.routing.load();
        let pools = routing.as_ref().map(|r| r.config.pools.keys().cloned());
        pools.into_iter().flatten().collect()
    }

    /// Version of the configuration in force here; 0 for none.
    pub(super) fn config_version(&self) -> u64 {
        let routing = self.routing.load();
        routing.as_ref().map_or(0, |r| r.config.version)
    }

    /// Whether the balancer should send callers here.
    pub(super) fn is_ready(&self) -> bool {
        self.stopping_for_ms().is_none()
            && self.store_away_for_ms().is_none()
            && self.current_routing().is_some()
    }

    /// Notes what a pool's owner told.
    pub(super) fn set_waiting(&self, pool: &str, by_queue: BTreeMap<String, u64>) {
        let waiting = Waiting {
            by_queue,
            seen_ms: self.clock.now_ms(),
        };
        lock(&self.waiting).insert(pool.to_string(), waiting);
    }

    /// What a pool's owner told last.
    pub(super) fn waiting(&self, pool: &str) -> Option<Waiting> {
        lock(&self.waiting).get(pool).cloned()
    }
}
