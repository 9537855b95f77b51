//! State that the control thread and the traffic thread share.
//!
//! It holds the configuration in force, whether the store answers, the timeouts and the published numbers of waiting
//! jobs, next to the settings, the log and the metrics. Each side publishes a snapshot and neither waits for the other.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use smol::channel::{Receiver, Sender};
use smol::lock::Semaphore;
use smol::Timer;

use super::settings::ServeSettings;
use super::stop::REFUSE_AFTER_MS;
use crate::clock::{wall_ms, Clock, Millis, Now};
use crate::core::admit::Bucket;
use crate::core::sched::homes::{JobStorage, KnownQueues};
use crate::core::sched::limits::{INTAKE_TIMEOUT_MS, TX_TIMEOUT_MAX_MS, TX_TIMEOUT_MS};
use crate::core::sched::routing::Routing;
use crate::error::Kind;
use crate::event::{Code, Decision, Subject};
use crate::guard::or_after_panic;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::port::fleet::{FleetConfig, QueueRoute, RowTx, Rows, TxOutcome};
use crate::port::read_budget::ReadBudget;
use crate::port::timeout::AdaptiveTimeout;
use crate::util::lock;

/// `config_within_ms` divided by this number is the margin that is subtracted from `config_within_ms`, because a call
/// that is decided now takes effect later.
const CONFIG_MARGIN_DIVISOR: Millis = 5;

/// The rate of cancels that may write tombstones, and how many of them may come at once. Each writes to two partitions,
/// and the rows are kept for minutes, so callers must not add them without limit.
const TOMBSTONES_PER_S: u64 = 4;
const TOMBSTONES_BURST: u64 = 40;

/// How often something that waits checks whether the process is about to end.
const STOP_CHECK_MS: u64 = 100;

/// The number of look-ups of jobs that may read the store at the same time. The reads of a crowd of callers would delay those
/// that keep this entry's configuration current.
const LOOK_UPS_MAX: usize = 64;

/// The offset of the store's clock while it is unknown.
const UNKNOWN_OFFSET_MS: i64 = i64::MIN;

/// The numbers of waiting jobs of a pool, as its owner reported them.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingCounts {
    /// The number of waiting jobs by the name of their queue.
    pub(super) by_queue: BTreeMap<String, u64>,
    /// When the owner's report arrived here.
    pub(super) received_ms: Millis,
}

/// The state that the threads of one process share.
pub(super) struct Shared {
    /// The checked settings of the process.
    pub(super) settings: ServeSettings,
    /// The clock that all times in this struct are read from.
    pub(super) clock: Clock,
    /// Writes decisions and keeps the latest ones in memory for the explain endpoint.
    pub(super) log: Log,
    /// The counters and timings that the metrics endpoint renders.
    pub(super) metrics: Metrics,
    routing: ArcSwapOption<Routing>,
    /// The time up to which all of the operator's changes are known here; 0 before the first complete read.
    routing_known_ms: AtomicU64,
    /// Signals that a configuration came into force.
    config_adopted: (Sender<()>, Receiver<()>),
    /// What is known of queues and their pools.
    queues: Mutex<KnownQueues>,
    /// Signals that a transaction got no answer, so the store may be down.
    unanswered: (Sender<()>, Receiver<()>),
    /// Whether the last read of the operator's table failed, or was cut short because a transaction got no answer.
    is_operator_table_down: AtomicBool,
    /// Since when the store has not answered this entry; 0 while it answers.
    store_down_since_ms: AtomicU64,
    /// The store's clock less this process's clock, as of the store's last answer; [`UNKNOWN_OFFSET_MS`] before that.
    store_offset_ms: AtomicI64,
    /// When the process received the signal to stop; 0 before.
    stopping_at_ms: AtomicU64,
    /// When the waits of calls end, since the process ends soon after; 0 before the signal to stop.
    answer_by_ms: AtomicU64,
    /// Tells the traffic thread to close the listener for callers.
    listener_end: (Sender<()>, Receiver<()>),
    is_listener_closed: AtomicBool,
    /// The timeout of transactions with the store.
    pub(super) store_timeout: AdaptiveTimeout,
    /// The timeout of transactions that can go to another partition instead.
    pub(super) intake_timeout: AdaptiveTimeout,
    /// The number of open connections of callers.
    pub(super) connections: Arc<AtomicU64>,
    /// The number of calls that were read and not answered yet.
    pub(super) open_calls: AtomicU64,
    waiting_by_pool: Mutex<BTreeMap<String, WaitingCounts>>,
    /// The pools whose rows are being counted.
    pub(super) counts_under_way: CountsUnderWay,
    /// The reads that counts of rows may make.
    count_budget: Mutex<ReadBudget>,
    /// The cancels that may write tombstones.
    tombstone_limit: Mutex<Bucket>,
    /// The turns of look-ups that read the store.
    pub(super) look_ups: Semaphore,
}

/// Lets one caller at a time count the rows of a pool.
#[derive(Default)]
pub(super) struct CountsUnderWay(Mutex<BTreeSet<String>>);

/// The turn of a caller that counts. It ends when it is dropped, also if the caller leaves.
pub(super) struct CountTurn<'a> {
    counts: &'a CountsUnderWay,
    pool: String,
}

impl CountsUnderWay {
    /// Returns a turn to count a pool, or `None` while another caller counts it.
    pub(super) fn begin(&self, pool: &str) -> Option<CountTurn<'_>> {
        let is_free = lock(&self.0).insert(pool.to_string());
        is_free.then(|| CountTurn {
            counts: self,
            pool: pool.to_string(),
        })
    }
}

impl Drop for CountTurn<'_> {
    fn drop(&mut self) {
        lock(&self.counts.0).remove(&self.pool);
    }
}

impl Shared {
    /// Creates the state of a process that has read nothing from the store yet.
    pub(super) fn new(settings: ServeSettings, log: Log) -> Self {
        Self {
            settings,
            clock: Clock::new(),
            log,
            metrics: Metrics::new(),
            routing: ArcSwapOption::empty(),
            routing_known_ms: AtomicU64::new(0),
            config_adopted: smol::channel::bounded(1),
            queues: Mutex::default(),
            unanswered: smol::channel::bounded(1),
            is_operator_table_down: AtomicBool::new(false),
            store_down_since_ms: AtomicU64::new(1),
            store_offset_ms: AtomicI64::new(UNKNOWN_OFFSET_MS),
            stopping_at_ms: AtomicU64::new(0),
            answer_by_ms: AtomicU64::new(0),
            listener_end: smol::channel::bounded(1),
            is_listener_closed: AtomicBool::new(false),
            store_timeout: AdaptiveTimeout::new(TX_TIMEOUT_MS, TX_TIMEOUT_MAX_MS),
            intake_timeout: AdaptiveTimeout::new(INTAKE_TIMEOUT_MS, TX_TIMEOUT_MAX_MS),
            connections: Arc::default(),
            open_calls: AtomicU64::new(0),
            waiting_by_pool: Mutex::new(BTreeMap::new()),
            counts_under_way: CountsUnderWay::default(),
            count_budget: Mutex::default(),
            tombstone_limit: Mutex::new(Bucket::new(TOMBSTONES_PER_S, TOMBSTONES_BURST, 1, 0)),
            look_ups: Semaphore::new(LOOK_UPS_MAX),
        }
    }

    /// Returns the time on the monotonic clock and on the wall clock.
    pub(super) fn now(&self) -> Now {
        let ms = self.clock.now_ms();
        let offset_ms = self.store_offset_ms.load(Ordering::SeqCst);
        let store_ms = match offset_ms {
            UNKNOWN_OFFSET_MS => 0,
            _ => ms.saturating_add_signed(offset_ms),
        };
        Now {
            ms,
            wall_ms: wall_ms(),
            store_ms,
        }
    }

    /// Records what the store's clock showed in an answer that has just arrived; 0 if the answer did not say.
    pub(super) fn set_store_clock(&self, store_ms: Millis) {
        if store_ms > 0 {
            let offset_ms = store_ms as i64 - self.clock.now_ms() as i64;
            self.store_offset_ms.store(offset_ms, Ordering::SeqCst);
        }
    }

    /// Sends a transaction once and adapts the timeouts to how long the answer took. The timeout of this call is the
    /// adaptive one, but `timeout_max_ms` at the most.
    pub(super) async fn transact<P: Rows>(
        &self,
        platform: &P,
        tx: &RowTx,
        timeout_max_ms: Millis,
    ) -> TxOutcome {
        let timeout_ms = self.store_timeout.current_ms().min(timeout_max_ms);
        let began_ms = self.clock.now_ms();
        let call = platform.transact(tx, timeout_ms);
        let report = |why: &str| self.log_panic("a transaction", why);
        let outcome = or_after_panic(TxOutcome::Unknown, call, report).await;
        let took_ms = self.clock.now_ms() - began_ms;
        match outcome {
            TxOutcome::Unknown if took_ms >= timeout_ms => {
                self.store_timeout.record_timeout(timeout_ms);
                self.intake_timeout.record_timeout(timeout_ms);
                // A full channel means that a signal is pending already.
                let _ = self.unanswered.0.try_send(());
            }
            // A broken connection or a refusal says nothing about how fast the store answers.
            TxOutcome::Unknown | TxOutcome::Refused => {}
            TxOutcome::Committed(_) | TxOutcome::Conflict(_) => {
                self.store_timeout.record_answer(took_ms);
                self.intake_timeout.record_answer(took_ms);
            }
        }
        outcome
    }

    pub(super) fn log_decision(&self, decision: Decision) {
        self.log.record(decision);
    }

    /// Logs and counts that something panicked: a fault of this program.
    pub(super) fn log_panic(&self, what: &str, message: &str) {
        let why = format!("{what} panicked: {message}");
        let name = &self.settings.name;
        self.log_decision(Decision::new(Code::Fault, Subject::Entry, name, why));
        self.metrics.count_failure(Kind::Internal);
    }

    /// Returns how long ago the process received the signal to stop, or nothing before that.
    pub(super) fn stopping_for_ms(&self) -> Option<Millis> {
        let at_ms = self.stopping_at_ms.load(Ordering::SeqCst);
        (at_ms > 0).then(|| self.clock.now_ms().saturating_sub(at_ms))
    }

    /// Notes that the process received the signal to stop.
    pub(super) fn begin_stop(&self) {
        let now_ms = self.clock.now_ms().max(1);
        self.stopping_at_ms.store(now_ms, Ordering::SeqCst);
    }

    /// Sets when the waits of calls end, counted from the signal to stop.
    pub(super) fn set_answer_by(&self, since_ms: Millis) {
        let stopping_at_ms = self.stopping_at_ms.load(Ordering::SeqCst);
        self.answer_by_ms
            .store(stopping_at_ms + since_ms, Ordering::SeqCst);
    }

    /// Whether calls are refused because the process ends soon. Those that have begun are still answered.
    pub(super) fn is_refusing(&self) -> bool {
        self.stopping_for_ms()
            .is_some_and(|ms| ms >= REFUSE_AFTER_MS)
    }

    /// Waits until the process stops and calls must not wait any longer.
    pub(super) async fn wait_for_answer_by(&self) {
        loop {
            Timer::after(Duration::from_millis(STOP_CHECK_MS)).await;
            let answer_by_ms = self.answer_by_ms.load(Ordering::SeqCst);
            if answer_by_ms > 0 && self.clock.now_ms() >= answer_by_ms {
                return;
            }
        }
    }

    /// Tells the traffic thread to accept no more connections of callers.
    pub(super) fn end_listener(&self) {
        // A full channel means that the message is on its way already.
        let _ = self.listener_end.0.try_send(());
    }

    /// Waits until connections of callers are no longer to be accepted.
    pub(super) async fn wait_for_listener_end(&self) {
        // The sender is kept next to the receiver, so the channel is never closed.
        let _ = self.listener_end.1.recv().await;
    }

    /// Notes that the listener for callers is closed.
    pub(super) fn note_listener_closed(&self) {
        self.is_listener_closed.store(true, Ordering::SeqCst);
    }

    /// Whether callers' connections are accepted.
    pub(super) fn is_listening(&self) -> bool {
        !self.is_listener_closed.load(Ordering::SeqCst)
    }

    /// Returns when a wait ends that should end at `until_ms`: earlier if the process stops before.
    pub(super) fn limit_wait(&self, until_ms: Millis) -> Millis {
        match self.answer_by_ms.load(Ordering::SeqCst) {
            0 => until_ms,
            answer_by_ms => until_ms.min(answer_by_ms),
        }
    }

    /// Waits until a transaction gets no answer.
    pub(super) async fn wait_for_unanswered_transaction(&self) {
        // The sender is kept next to the receiver, so the channel is never closed.
        let _ = self.unanswered.1.recv().await;
    }

    /// Records whether the store answers and returns whether that changed.
    pub(super) fn set_store_up(&self, is_up: bool) -> bool {
        if is_up {
            return self.store_down_since_ms.swap(0, Ordering::SeqCst) > 0;
        }
        let now_ms = self.clock.now_ms().max(1);
        let before = self.store_down_since_ms.load(Ordering::SeqCst);
        // Only the control thread writes this field, so the load and the store need not be one atomic operation.
        if before == 0 {
            self.store_down_since_ms.store(now_ms, Ordering::SeqCst);
        }
        before == 0
    }

    /// Returns for how long the store has not answered this entry, or nothing while it answers.
    pub(super) fn store_down_for_ms(&self) -> Option<Millis> {
        let since_ms = self.store_down_since_ms.load(Ordering::SeqCst);
        (since_ms > 0).then(|| self.clock.now_ms().saturating_sub(since_ms))
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub(super) fn adopt_config(&self, config: &Arc<FleetConfig>) {
        if config.version > self.config_version() {
            let routing = Routing::new(Arc::clone(config));
            self.routing.store(Some(Arc::new(routing)));
            // A full channel means that a signal is pending already.
            let _ = self.config_adopted.0.try_send(());
        }
    }

    /// Waits until a configuration comes into force.
    pub(super) async fn wait_for_config(&self) {
        // The sender is kept next to the receiver, so the channel is never closed.
        let _ = self.config_adopted.1.recv().await;
    }

    /// Returns the routes of the configuration in force here.
    pub(super) fn routes(&self) -> Vec<QueueRoute> {
        let routing = self.routing.load();
        let queues = routing.iter().flat_map(|r| r.config.queues.values());
        queues.map(|queue| queue.route()).collect()
    }

    /// Gives access to what is known of queues and their pools.
    pub(super) fn queues(&self) -> MutexGuard<'_, KnownQueues> {
        lock(&self.queues)
    }

    /// Returns where a job is stored under a route; `None` if the home pool is not known.
    pub(super) fn storage(&self, route: &QueueRoute) -> Option<JobStorage> {
        self.queues().storage(route)
    }

    /// Records that every change that the operator had made by `at_ms` is in force here.
    pub(super) fn set_routing_known(&self, at_ms: Millis) {
        self.routing_known_ms.fetch_max(at_ms, Ordering::SeqCst);
    }

    /// Records whether the operator's table could be read.
    pub(super) fn set_operator_table_up(&self, is_up: bool) {
        self.is_operator_table_down.store(!is_up, Ordering::SeqCst);
    }

    /// Returns the routing of the configuration in force here, if that configuration is recent enough.
    ///
    /// An entry whose connection to the store is overloaded or brings no answers would still accept revoked keys and
    /// refuse queues that exist now. Such an entry can't tell whether its configuration is current, so it accepts no
    /// calls. While reads of the operator's table fail, it is assumed that no entry can learn of newer configurations,
    /// so the last one decides calls for longer, up to `config_outage_ms`.
    pub(super) fn current_routing(&self) -> Option<Arc<Routing>> {
        let age_max_ms = match self.is_operator_table_down.load(Ordering::SeqCst) {
            true => self.settings.config_outage_ms,
            false => self.config_age_max_ms(),
        };
        let is_current = self.routing_age_ms() <= age_max_ms;
        self.routing.load_full().filter(|_| is_current)
    }

    /// Returns the age up to which the configuration decides calls while the operator's table can be read.
    pub(super) fn config_age_max_ms(&self) -> Millis {
        let within_ms = self.settings.config_within_ms;
        within_ms - within_ms / CONFIG_MARGIN_DIVISOR
    }

    /// Returns the time since the configuration was last known to be the newest.
    pub(super) fn routing_age_ms(&self) -> Millis {
        let known_ms = self.routing_known_ms.load(Ordering::SeqCst);
        self.clock.now_ms().saturating_sub(known_ms)
    }

    /// Returns the names of the pools in the configuration in force here.
    pub(super) fn pools(&self) -> Vec<String> {
        let routing = self.routing.load();
        let pools = routing.as_ref().map(|r| r.config.pools.keys().cloned());
        pools.into_iter().flatten().collect()
    }

    /// Returns the version of the configuration in force here, or 0 for none.
    pub(super) fn config_version(&self) -> u64 {
        let routing = self.routing.load();
        routing.as_ref().map_or(0, |r| r.config.version)
    }

    /// Whether the balancer should send callers here.
    pub(super) fn is_ready(&self) -> bool {
        self.stopping_for_ms().is_none()
            && self.store_down_for_ms().is_none()
            && self.current_routing().is_some()
    }

    /// Stores the numbers of waiting jobs of a pool as they were `age_ms` ago, unless newer ones are known.
    pub(super) fn set_waiting_counts(
        &self,
        pool: &str,
        by_queue: BTreeMap<String, u64>,
        age_ms: Millis,
    ) {
        let waiting = WaitingCounts {
            by_queue,
            received_ms: self.clock.now_ms().saturating_sub(age_ms),
        };
        let mut all = lock(&self.waiting_by_pool);
        let known = all.get(pool);
        if known.is_none_or(|known| known.received_ms <= waiting.received_ms) {
            all.insert(pool.to_string(), waiting);
        }
    }

    /// Takes up to `wanted` reads for a count and returns how many may be made now.
    pub(super) fn take_count_reads(&self, wanted: usize) -> usize {
        lock(&self.count_budget).take(wanted, self.clock.now_ms())
    }

    /// Notes how many of the reads for a count failed.
    pub(super) fn note_count_reads(&self, made: usize, failed: usize) {
        lock(&self.count_budget).note(made, failed, self.clock.now_ms());
    }

    /// Takes the tombstones of one cancel, or returns how many milliseconds to wait for them.
    pub(super) fn take_tombstone(&self) -> Result<(), Millis> {
        lock(&self.tombstone_limit).take(self.clock.now_ms())
    }

    /// Returns what the pool's owner reported last.
    pub(super) fn waiting_counts(&self, pool: &str) -> Option<WaitingCounts> {
        lock(&self.waiting_by_pool).get(pool).cloned()
    }
}
