//! Data types of the scheduler: the state of an entry, the events that the reducer takes in and the effects that it
//! requests.
//!
//! The [reducer](mod@super::reduce) changes the state. Its caller passes in the events and carries out the effects.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::deployment::Deployment;
use super::hosts::{HostController, HostTask, OrderNumber};
use super::keys::{JobKey, PoolStateId, StepKey, TaskKey, WorkerKey};
use super::limits::CPU_FULL_MILLI;
use super::offers::Offers;
use super::owner_lease::OwnerLease;
use super::pool_state::PoolState;
use super::quota::QuotaController;
use super::rows::{WaveRow, SHARDS};
use super::sizing::Sizing;
use super::standby::{self, Standbys};
use super::tickets::AdviceRequest;
use super::wave::WaveController;
use super::worker_list::ListChanges;
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    AdviceAnswer, AdviceError, FleetConfig, HostListing, HostReply, OperatorEvent, OrderReply,
    OrderTarget, RenewalReport, RenewalRequest, Revision, RowTx, RunStart, StoredRow, TaskName,
    TxOutcome, WaveOrder, WaveState, WorkerEvent, WorkerInfo, ABSENT,
};

/// Index of a pool in [`State::pools`]; pools are never removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(pub u16);

/// State that an entry keeps about a pool that it owns.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// Epoch of the ownership. It fences all orders: a receiver refuses an order with a lower epoch than one that it
    /// has seen.
    pub epoch: u64,
    /// In-memory state of the pool; `None` until its rows are read.
    pub pool_state: Option<PoolState>,
    /// Number of times that the rows were read.
    pub readings: u32,
    /// Revisions of the owner rows by shard. Each write to a shard is conditional on that shard's revision.
    pub owner_revisions: [Revision; SHARDS],
    /// Transactions in flight, by shard.
    pub batches: [Option<Batch>; SHARDS],
    /// Shards by id of jobs that had a shard but no confirmed record when the in-memory state was dropped. The first
    /// record of such a job may be in flight and still take effect. A later record conflicts with it, and so detects
    /// it, only if it is written to the same shard.
    pub first_shards: BTreeMap<String, usize>,
    /// Removal of intake rows in flight.
    pub removing: Option<IntakeRemoval>,
    /// Old jobs whose intake rows are removed from all partitions. Their progress rows are removed next.
    pub removable: Vec<JobKey>,
    /// Intake rows that arrived while the pool's rows were being read.
    pub early_intake: Vec<StoredRow>,
    /// When the pool was claimed. Former owners sent all their orders before that.
    pub began_ms: Millis,
    /// Controller of the pool's part in waves.
    pub waves: WaveController,
    /// Controller of the client accounts' quotas in the pool.
    pub quota: QuotaController,
    /// Controller of the pool's size.
    pub sizing: Sizing,
    /// Controller of orders to hosts. Used only in the one pool whose owner sends these orders.
    pub hosts: HostController,
}

impl Ownership {
    /// Drops the in-memory state that was built from an earlier reading, and all timers of the pool except those for
    /// the claim and the owner's lease. Returns the id of the state to be built from the rows just read. The caller
    /// sets the periodic timers again.
    pub(super) fn begin_reading(&mut self, ctx: &mut Ctx<'_>) -> PoolStateId {
        self.drop_pool_state(ctx);
        ctx.drop_timers(|timer| !matches!(timer, Timer::Claim | Timer::Renew));
        self.readings += 1;
        PoolStateId {
            epoch: self.epoch,
            reading: self.readings,
        }
    }

    /// Assigns jobs without a shard in a newly built state to the shards in [`first_shards`](Self::first_shards).
    pub(super) fn restore_first_shards(&mut self, pool_state: &mut PoolState) {
        for (id, shard) in std::mem::take(&mut self.first_shards) {
            let job = pool_state
                .jobs_by_id
                .get(&id)
                .and_then(|key| pool_state.jobs.get_mut(*key));
            if let Some(job) = job {
                job.shard.get_or_insert(shard);
            }
        }
    }

    /// Returns the time until which orders from earlier in-memory states of the pool may have been sent. At the first
    /// reading, the earlier states belonged to former owners, which sent nothing after the claim. At later readings,
    /// they belonged to this owner, which may have sent orders until now.
    pub(super) fn earlier_orders_until_ms(&self, now_ms: Millis) -> Millis {
        match self.readings {
            0 | 1 => self.began_ms,
            _ => now_ms,
        }
    }

    /// Drops the pool's in-memory state, and the batches, removals and timers that hold keys of it.
    pub(super) fn drop_pool_state(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(pool_state) = self.pool_state.take() {
            let unrecorded = pool_state
                .jobs
                .values()
                .filter(|job| job.revision == ABSENT);
            let shards = unrecorded.filter_map(|job| Some((job.id.clone(), job.shard?)));
            self.first_shards.extend(shards);
        }
        self.batches = Default::default();
        self.removing = None;
        self.removable.clear();
        ctx.drop_timers(Timer::is_of_pool_state);
    }
}

/// A transaction that removes old intake rows from one partition.
#[derive(Clone, Debug)]
pub struct IntakeRemoval {
    /// The transaction as sent.
    pub tx: RowTx,
    /// Old jobs whose rows it removes.
    pub jobs: Vec<JobKey>,
}

/// A wave as this entry knows it.
#[derive(Clone, Debug, Default)]
pub struct WaveKnown {
    /// The wave as the operator ordered it.
    pub order: WaveOrder,
    /// When this entry first saw the wave.
    pub seen_ms: Millis,
    /// Newest known row of the wave.
    pub row: WaveRow,
    /// Revision at which the row was read, or after a write by this entry the store's newest revision as of its answer.
    pub revision: Revision,
    /// Revision at which the row was read, or after a write by this entry the revision of the row that it replaced. A
    /// row read at a later revision is at least as new as `row`.
    pub seen_revision: Revision,
    /// Whether every host of the wave is back.
    pub is_done: bool,
}

impl WaveKnown {
    /// Applies a row that was read. Answers on different connections may arrive out of order, so a row that may be
    /// older than the known one is ignored.
    pub fn apply_read(&mut self, row: WaveRow, revision: Revision) {
        if revision > self.seen_revision {
            self.row = row;
            self.revision = revision;
            self.seen_revision = revision;
        }
    }

    /// Applies a successful write by this entry, which replaced the row of revision `after`. `newest` is the store's
    /// newest revision as of its answer. Another entry may already have written the row again before that revision, so
    /// rows read later are compared with `after`: one of a later revision is this write or a newer one.
    pub fn apply_write(&mut self, row: WaveRow, after: Revision, newest: Revision) {
        if self.seen_revision <= after {
            self.row = row;
            self.revision = newest;
            self.seen_revision = after;
        }
    }
}

/// A transaction that records progress of jobs.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The transaction as sent. It is sent again until its outcome is known.
    pub tx: RowTx,
    /// The recorded jobs in the order of the writes, each with the number of its last change that the write includes.
    pub jobs: Vec<(JobKey, u64)>,
    /// Runs to start once the batch is committed: task and number of the run.
    pub starts: Vec<(TaskKey, u32)>,
    /// Old jobs whose progress rows the batch removes.
    pub removed: Vec<JobKey>,
    /// When the batch was first sent.
    pub sent_ms: Millis,
    /// Whether the batch carries a heartbeat.
    pub has_heartbeat: bool,
    /// Whether the batch had room for every change of the shard that waited to be recorded; `false` for a full batch.
    pub is_complete: bool,
}

/// A pool as this entry sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the pool, which is also the name of its first shard's partition in the store.
    pub name: String,
    /// Owner of the pool and the state of its lease.
    pub lease: OwnerLease,
    /// Hosts that the pool offers to others.
    pub offers: Offers,
    /// What this entry keeps as the owner; `None` while it does not own the pool.
    pub ownership: Option<Ownership>,
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Check whether the pool can be claimed.
    Claim,
    /// Renew the owner's lease.
    Renew,
    /// Read the pool's rows again.
    Load,
    /// Record pending changes.
    Flush,
    /// Send a shard's batch again.
    Resend(usize),
    /// Remove jobs that finished long ago.
    Remove,
    /// Renew a worker's lease and ask for its report.
    RenewWorker(WorkerKey),
    /// Check whether a worker's lease has expired.
    ExpireLease(WorkerKey),
    /// Send a start again.
    ResendStart(TaskKey, u32),
    /// Send a stop again.
    ResendStop(TaskKey, u32),
    /// Periodic work: reorder and place waiting tasks, log the pool's load, begin rounds that are due, end jobs that
    /// have no attempt left, and renew the leases of workers whose run ends are still to be recorded.
    Upkeep,
    /// Reconcile waves.
    Wave,
    /// Reconcile the pool's size.
    Size,
    /// Reconcile orders to hosts.
    Hosts,
    /// Reconcile quotas of client accounts.
    Quota,
}

impl Timer {
    /// Returns whether the timer holds a key of a pool's in-memory state, or refers to a batch that holds such keys.
    fn is_of_pool_state(self) -> bool {
        matches!(
            self,
            Timer::Resend(_)
                | Timer::RenewWorker(_)
                | Timer::ExpireLease(_)
                | Timer::ResendStart(..)
                | Timer::ResendStop(..)
        )
    }
}

/// Timers of all pools by due time.
pub type Timers = BTreeSet<(Millis, PoolKey, Timer)>;

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due timers fire.
    Tick,
    /// The operator changed the configuration, a wave or another order.
    Operator(OperatorEvent),
    /// The list of workers changed.
    Worker(WorkerEvent),
    /// The whole list of workers was read.
    WorkersRead(Vec<WorkerInfo>),
    /// All changes of the list of workers that the store took before this time were delivered.
    WorkersCurrent(Millis),
    /// A row of the owners table changed.
    Owner(StoredRow),
    /// A claim of a shard was answered: pool, shard, send time, outcome.
    Claimed(PoolKey, usize, Millis, TxOutcome),
    /// A renewal in a shard was answered: pool, epoch, shard, send time, outcome.
    Renewed(PoolKey, u64, usize, Millis, TxOutcome),
    /// The pool's rows were read: pool, epoch, rows; `None` if the read failed.
    Loaded(PoolKey, u64, Option<LoadedRows>),
    /// An intake row changed.
    Intake(StoredRow),
    /// A job was stored in the intake of another pool than the one that runs it, and is the first of its id.
    GuestIntake(StoredRow),
    /// The batch of a shard was answered: pool, state id, shard, outcome.
    Recorded(PoolKey, PoolStateId, usize, TxOutcome),
    /// An order to start a run was answered: pool, state id, task, run, reply.
    Started(PoolKey, PoolStateId, TaskKey, u32, OrderReply),
    /// An order to stop a run was answered: pool, state id, task, run, reply.
    Stopped(PoolKey, PoolStateId, TaskKey, u32, OrderReply),
    /// An order that set the pace of a run was answered: pool, state id, task, run, percentage, reply.
    Paced(PoolKey, PoolStateId, TaskKey, u32, u32, OrderReply),
    /// A renewal of a worker's lease was answered: pool, state id, worker, send time, result.
    WorkerRenewed(
        PoolKey,
        PoolStateId,
        WorkerKey,
        Millis,
        Result<RenewalReport, OrderReply>,
    ),
    /// A call for advice was answered: pool, state id, step, workers that it named, send time, result.
    Advised(
        PoolKey,
        PoolStateId,
        StepKey,
        Vec<WorkerKey>,
        Millis,
        Result<AdviceAnswer, AdviceError>,
    ),
    /// A wave's row changed or was read.
    WaveRow(StoredRow),
    /// A change of a wave's slots was answered: pool, epoch, outcome.
    WaveSettled(PoolKey, u64, TxOutcome),
    /// A change of the record of hosts that are out was answered: pool, epoch, outcome.
    HostsOutRecorded(PoolKey, u64, TxOutcome),
    /// A removal of intake rows was answered: pool, state id, outcome.
    IntakeRemoved(PoolKey, PoolStateId, TxOutcome),
    /// A change of the pool's offers was answered: pool, epoch, outcome.
    OffersSettled(PoolKey, u64, TxOutcome),
    /// A transaction that takes hosts on offer was answered: pool, epoch, offering pool, outcome.
    HostsTaken(PoolKey, u64, String, TxOutcome),
    /// A change of an account's grant was answered: pool, epoch, account, outcome.
    QuotaSettled(PoolKey, u64, String, TxOutcome),
    /// An account's row was read: pool, epoch, account, row.
    QuotaRead(PoolKey, u64, String, Option<StoredRow>),
    /// The transaction that records imminent orders to hosts was answered: pool, epoch, outcome.
    HostOrdersRecorded(PoolKey, u64, TxOutcome),
    /// An order to a host was answered: pool, epoch, host, number of the order, reply.
    HostOrdered(PoolKey, u64, String, OrderNumber, HostReply),
    /// The list of hosts was read: pool, epoch, records.
    HostsRead(PoolKey, u64, HostListing),
    /// The slots of standbys were read: their changed rows, and whether no reading has failed since the last one.
    Standbys {
        /// The rows that have changed since the last reading.
        rows: Vec<StoredRow>,
        /// Whether no reading has failed, and no change was missed, since the last one.
        is_continuous: bool,
    },
    /// A write of a slot was answered.
    StandbyWritten(TxOutcome),
    /// The store answers again (`true`) or has stopped answering (`false`).
    Store(bool),
    /// The process was told to stop.
    Stop,
}

/// Rows that a pool's owner reads to build the in-memory state.
#[derive(Clone, Debug, Default)]
pub struct LoadedRows {
    /// Submitted jobs and requests to cancel jobs.
    pub intake: Vec<StoredRow>,
    /// Progress rows of jobs.
    pub progress: Vec<StoredRow>,
    /// Owner row, heartbeat and offers of the pool.
    pub owner: Vec<StoredRow>,
    /// The list of workers.
    pub workers: Vec<WorkerInfo>,
    /// When the list of workers was requested.
    pub workers_asked_ms: Millis,
    /// Rows of waves.
    pub waves: Vec<StoredRow>,
    /// Rows that list the hosts with recent or imminent orders, if this is the pool whose owner sends orders to hosts.
    pub host_orders: Vec<StoredRow>,
}

/// Origin, receiver and deadline of an order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Pool that the order concerns.
    pub pool: PoolKey,
    /// In-memory state that the order came from.
    pub pool_state: PoolStateId,
    /// Worker that the order goes to, and its fencing token.
    pub to: OrderTarget,
    /// Time after which the order must not be sent: shortly before the owner's lease ends.
    pub until_ms: Millis,
}

/// Action that the reducer requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Claim one shard of a pool: pool, shard, transaction.
    Claim(PoolKey, usize, RowTx),
    /// Renew an owner's lease in one shard: pool, epoch, shard, transaction.
    Renew(PoolKey, u64, usize, RowTx),
    /// Release a pool; nothing waits for the answer.
    Release(RowTx),
    /// Read a pool's rows: pool, epoch, name.
    Load(PoolKey, u64, String),
    /// Change an account's grant: pool, epoch, account, transaction.
    SettleQuota(PoolKey, u64, String, RowTx),
    /// Read an account's row: pool, epoch, account.
    ReadQuota(PoolKey, u64, String),
    /// Record progress of jobs in a shard: pool, state id, shard, transaction.
    Record(PoolKey, PoolStateId, usize, RowTx),
    /// Start a run.
    Start(Order, TaskKey, RunStart),
    /// Stop a run of a known task: order, key of the task, name of the task, run.
    Stop(Order, TaskKey, TaskName, u32),
    /// Stop a run that the in-memory state does not contain: order, task, run. Nothing waits for the answer.
    StopStray(Order, TaskName, u32),
    /// Set the pace of a run as a percentage of full speed: order, key and name of the task, run, percentage.
    Pace(Order, TaskKey, TaskName, u32, u32),
    /// Renew a worker's lease.
    RenewWorker(Order, WorkerKey, RenewalRequest),
    /// Ask the advice service which workers may run a step.
    Advise(PoolKey, PoolStateId, AdviceRequest),
    /// Change a wave's row: pool, epoch, transaction.
    SettleWave(PoolKey, u64, RowTx),
    /// Report the state of a wave to the operator.
    ReportWave(u64, WaveState),
    /// Read the list of hosts.
    ReadHosts(PoolKey, u64),
    /// Change the record of hosts that are out: pool, epoch, transaction.
    RecordHostsOut(PoolKey, u64, RowTx),
    /// Remove intake rows.
    RemoveIntake(PoolKey, PoolStateId, RowTx),
    /// Change the pool's offers.
    SettleOffers(PoolKey, u64, RowTx),
    /// Take hosts that a pool offers: pool, epoch, name of the offering pool, transaction.
    TakeHosts(PoolKey, u64, String, RowTx),
    /// Record the hosts that are about to receive orders.
    RecordHostOrders(PoolKey, u64, RowTx),
    /// Write the row of a standby's slot.
    WriteStandby(RowTx),
    /// Order a host: pool, epoch, host, number of the order, task, time until which the order may be sent.
    OrderHost(PoolKey, u64, String, OrderNumber, HostTask, Millis),
    /// Log a decision.
    Log(Decision),
    /// The entry is stopping and owns no pool any more.
    Left,
}

/// The whole state of an entry's scheduler.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Name of this entry.
    pub me: String,
    /// Distinguishes this process's claims from those of an earlier process of the entry.
    pub nonce: u64,
    /// Processor time that this entry may use, in thousandths of a core.
    pub cpu_milli: u64,
    /// Figures of the deployment.
    pub deployment: Deployment,
    /// Configuration that this entry has adopted.
    pub config: Arc<FleetConfig>,
    /// Pools by key.
    pub pools: Vec<Pool>,
    /// Keys of pools by name.
    pub pool_keys: BTreeMap<String, PoolKey>,
    /// Workers that the platform lists, by id.
    pub listed: BTreeMap<String, WorkerInfo>,
    /// When the feed of the list last reported each worker, and when it last reported the whole list.
    pub list_changes: ListChanges,
    /// Undecodable entries of the list by worker id, with the reason; limited to those that were logged.
    pub unreadable: BTreeMap<String, String>,
    /// Data halls that the operator evacuates.
    pub evacuated_halls: BTreeSet<String>,
    /// Waves that the operator ordered, by number.
    pub waves: BTreeMap<u64, WaveKnown>,
    /// Timers of all pools.
    pub timers: Timers,
    /// Slots of the entries that stand by for owners.
    pub standbys: Standbys,
    /// Since when the store has been answering; `None` while it does not answer.
    pub store_since_ms: Option<Millis>,
    /// When the process was told to stop.
    pub stopped_ms: Option<Millis>,
}

impl State {
    /// Returns the state of a scheduler that knows nothing yet.
    pub fn new(me: impl Into<String>, nonce: u64) -> Self {
        Self {
            me: me.into(),
            nonce,
            cpu_milli: CPU_FULL_MILLI,
            store_since_ms: Some(0),
            ..Self::default()
        }
    }

    /// Sets the processor time that the entry may use, in thousandths of a core.
    pub fn with_cpu_milli(self, cpu_milli: u64) -> Self {
        Self { cpu_milli, ..self }
    }

    /// Sets the figures of the deployment.
    pub fn with_deployment(self, deployment: Deployment) -> Self {
        Self { deployment, ..self }
    }

    /// Makes the entry take part in the standbys' slots. Without this, it always follows the owners of pools.
    pub fn with_standbys(self) -> Self {
        Self {
            standbys: Standbys::enabled(),
            ..self
        }
    }

    /// Returns when the reducer must be called next.
    pub fn wake_ms(&self) -> Option<Millis> {
        let timer_ms = self.timers.first().map(|(at_ms, _, _)| *at_ms);
        timer_ms.into_iter().chain(self.standbys.wake_ms()).min()
    }

    /// Returns whether the entry follows the owners of all pools.
    pub fn follows_owners(&self) -> bool {
        standby::follows_owners(self)
    }

    /// Schedules a claim check of every pool.
    pub(super) fn schedule_claims(&mut self, now: Now) {
        for n in 0..self.pools.len() {
            let key = PoolKey(n as u16);
            self.timers.insert((now.ms, key, Timer::Claim));
        }
    }

    /// Returns whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopped_ms.is_some()
    }

    /// Returns the number of pools that this entry owns.
    pub fn owned_count(&self) -> usize {
        self.pools.iter().filter(|p| p.ownership.is_some()).count()
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let key = self.pool_keys.get(name)?;
        self.pools.get(usize::from(key.0))
    }
}

/// Context of a decision on one pool.
pub struct Ctx<'a> {
    /// Current time.
    pub now: Now,
    /// Pool that the decision concerns.
    pub pool: PoolKey,
    /// Name of this entry.
    pub me: &'a str,
    /// Processor time that this entry may use, in thousandths of a core.
    pub cpu_milli: u64,
    /// Figures of the deployment.
    pub deployment: Deployment,
    /// Time until which orders may be sent: shortly before the owner's lease ends.
    pub until_ms: Millis,
    /// Timers of all pools.
    pub timers: &'a mut Timers,
    /// Effects requested so far.
    pub out: &'a mut Vec<Effect>,
}

impl Ctx<'_> {
    /// Sets a timer of this pool that fires in `ms` milliseconds.
    pub fn set_timer(&mut self, ms: Millis, timer: Timer) {
        self.timers.insert((self.now.ms + ms, self.pool, timer));
    }

    /// Drops the timers of this pool for which `should_drop` returns true.
    pub fn drop_timers(&mut self, should_drop: impl Fn(Timer) -> bool) {
        let pool = self.pool;
        self.timers
            .retain(|(_, timer_pool, timer)| *timer_pool != pool || !should_drop(*timer));
    }

    /// Logs a decision.
    pub fn log(&mut self, decision: Decision) {
        self.out.push(Effect::Log(decision));
    }

    /// Logs a decision on a job.
    pub fn log_job(&mut self, code: Code, id: &str, why: impl Into<String>) {
        self.log(Decision::new(code, Subject::Job, id, why));
    }

    /// Returns whether orders may be sent now.
    pub fn may_send(&self) -> bool {
        self.now.ms < self.until_ms
    }
}
