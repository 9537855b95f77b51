//! All that an entry's scheduler knows, what happens to it, and what it wants done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::hosts::{HostController, HostTask};
use super::keys::{JobKey, PoolStateId, TaskKey, WorkerKey};
use super::limits::CPU_FULL_MILLI;
use super::offers::Offers;
use super::owner_lease::OwnerLease;
use super::pool_state::PoolState;
use super::quota::QuotaController;
use super::rows::{WaveRow, SHARDS};
use super::sizing::Sizing;
use super::wave::WaveController;
use super::worker_list::ListNews;
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    Addressee, FleetConfig, HostRecord, HostReply, OperatorEvent, OrderReply, RenewalReport,
    RenewalRequest, Revision, RowTx, RunStart, StoredRow, TaskName, TxOutcome, WaveOrder,
    WaveState, WorkerEvent, WorkerFact, ABSENT,
};

/// A pool, by its place in [`State::pools`]; pools are never removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(pub u16);

/// What an owner holds of its pool.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// Its epoch: the fence of all its orders.
    pub epoch: u64,
    /// The books, once they are read.
    pub pool_state: Option<PoolState>,
    /// How often they were.
    pub readings: u32,
    /// Revisions of the owner's rows, by shard: each write carries its shard's as a condition.
    pub owner_revisions: [Revision; SHARDS],
    /// The transactions that are out, by shard.
    pub batches: [Option<Batch>; SHARDS],
    /// Jobs whose first record was out as the books were dropped, and its shard: it may take effect yet, and only there does
    /// another record of the job meet it.
    pub first_shards: BTreeMap<String, usize>,
    /// Old jobs whose rows of intake are being removed, and the part that they are removed from.
    pub removing: Option<(String, Vec<JobKey>)>,
    /// Old jobs whose rows of intake are gone: their progress goes next.
    pub removable: Vec<JobKey>,
    /// Changes of jobs that came while the books were being read.
    pub early: Vec<StoredRow>,
    /// When the pool was claimed; everything a former owner sent came before.
    pub began_ms: Millis,
    /// What it does for waves.
    pub waves: WaveController,
    /// What client accounts may have running in the pool.
    pub quota: QuotaController,
    /// What it thinks of the pool's size.
    pub sizing: Sizing,
    /// What it knows as the entry that orders hosts.
    pub hosts: HostController,
}

impl Ownership {
    /// Drops what is left of an earlier reading, and gives the id of the books to be built; what looks at them now and then
    /// is set anew.
    pub(super) fn begin_reading(&mut self, ctx: &mut Ctx<'_>) -> PoolStateId {
        self.drop_pool_state(ctx);
        ctx.drop_timers(|timer| !matches!(timer, Timer::Claim | Timer::Renew));
        self.readings += 1;
        PoolStateId {
            epoch: self.epoch,
            reading: self.readings,
        }
    }

    /// Puts jobs of books that were just read, and that are not on record, into the shards of their first records.
    pub(super) fn keep_shards(&mut self, pool_state: &mut PoolState) {
        for (id, shard) in std::mem::take(&mut self.first_shards) {
            let job = pool_state
                .by_id
                .get(&id)
                .and_then(|key| pool_state.jobs.get_mut(*key));
            if let Some(job) = job {
                job.shard.get_or_insert(shard);
            }
        }
    }

    /// Until when earlier books may have sent orders: those of a former owner till the claim, our own till now.
    pub(super) fn earlier_until_ms(&self, now_ms: Millis) -> Millis {
        match self.readings {
            0 | 1 => self.began_ms,
            _ => now_ms,
        }
    }

    /// Drops the books, and all that holds keys of them.
    pub(super) fn drop_pool_state(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(pool_state) = self.pool_state.take() {
            let open = pool_state
                .jobs
                .values()
                .filter(|job| job.revision == ABSENT);
            let shards = open.filter_map(|job| Some((job.id.clone(), job.shard?)));
            self.first_shards.extend(shards);
        }
        self.batches = Default::default();
        self.removing = None;
        self.removable.clear();
        ctx.drop_timers(Timer::is_of_pool_state);
    }
}

/// A wave as this entry knows it.
#[derive(Clone, Debug, Default)]
pub struct WaveKnown {
    /// As the operator asked for it.
    pub order: WaveOrder,
    /// When this entry saw it first.
    pub seen_ms: Millis,
    /// Its row.
    pub row: WaveRow,
    /// The row's revision, or a newer one that an answer named.
    pub revision: Revision,
    /// The newest revision at which the row is known to have been: as it was read, or as a write of ours met it.
    pub seen: Revision,
    /// Every host has been through.
    pub is_done: bool,
}

impl WaveKnown {
    /// Takes in a row as read. Answers travel on different connections: what is older than the row that is known is left out.
    pub fn read(&mut self, row: WaveRow, revision: Revision) {
        if revision > self.seen {
            self.row = row;
            self.revision = revision;
            self.seen = revision;
        }
    }

    /// Takes in a write of ours that took effect where the row was at `after`. The store's answer names its newest revision,
    /// which may lie behind the next write of another; whatever was read behind `after` is ours or newer.
    pub fn wrote(&mut self, row: WaveRow, after: Revision, newest: Revision) {
        if self.seen <= after {
            self.row = row;
            self.revision = newest;
            self.seen = after;
        }
    }
}

/// A transaction of progress.
#[derive(Clone, Debug)]
pub struct Batch {
    /// As sent, and sent again until it is settled.
    pub tx: RowTx,
    /// The jobs in it, in the order of its writes, and which change of each it records.
    pub jobs: Vec<(JobKey, u64)>,
    /// Runs that start once it is settled.
    pub starts: Vec<(TaskKey, u32)>,
    /// Finished jobs whose rows it removes.
    pub removed: Vec<JobKey>,
    /// When it was sent first.
    pub sent_ms: Millis,
    /// It carries a heartbeat.
    pub has_heartbeat: bool,
    /// Nothing more of its shard waited to be recorded.
    pub is_all: bool,
}

/// A pool as this entry sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name, which is also the partition of its rows.
    pub name: String,
    /// Who owns it.
    pub lease: OwnerLease,
    /// Its hosts that are to leave it.
    pub offers: Offers,
    /// Set while this entry does.
    pub ownership: Option<Ownership>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Look whether the pool wants an owner.
    Claim,
    /// Renew the owner's lease.
    Renew,
    /// Read the pool's rows again.
    Load,
    /// Record what was gathered.
    Flush,
    /// Send the batch of a shard again.
    Resend(usize),
    /// Remove jobs that finished long ago.
    Remove,
    /// Ask a worker for its account.
    RenewWorker(WorkerKey),
    /// A worker's lease may be over.
    LeaseOver(WorkerKey),
    /// Send a start again.
    Restart(TaskKey, u32),
    /// Send a stop again.
    Restop(TaskKey, u32),
    /// Sort waiting tasks anew, begin rounds that are due, remove old jobs.
    Upkeep,
    /// Look at waves.
    Wave,
    /// Look at the pool's size.
    Size,
    /// Look at orders to hosts.
    Hosts,
    /// Look at what accounts may have running.
    Quota,
}

impl Timer {
    /// Whether it names a worker or a task by its key, or a batch with such keys.
    fn is_of_pool_state(self) -> bool {
        matches!(
            self,
            Timer::Resend(_)
                | Timer::RenewWorker(_)
                | Timer::LeaseOver(_)
                | Timer::Restart(..)
                | Timer::Restop(..)
        )
    }
}

/// Timers of all pools.
pub type Timers = BTreeSet<(Millis, PoolKey, Timer)>;

/// Something happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; timers that are due fire.
    Tick,
    /// The operator said something.
    Operator(OperatorEvent),
    /// The list of workers changed.
    Worker(WorkerEvent),
    /// All workers, read anew.
    WorkersRead(Vec<WorkerFact>),
    /// A row of owners changed.
    Owner(StoredRow),
    /// A claim of a shard was answered; it was sent at that time.
    Claimed(PoolKey, usize, Millis, TxOutcome),
    /// A renewal in a shard was answered: epoch, shard, when it was sent.
    Renewed(PoolKey, u64, usize, Millis, TxOutcome),
    /// The pool's rows were read, or could not be.
    Loaded(PoolKey, u64, Option<LoadedRows>),
    /// A row of intake changed.
    Intake(StoredRow),
    /// The batch of a shard was answered.
    Recorded(PoolKey, PoolStateId, usize, TxOutcome),
    /// A start was answered.
    Started(PoolKey, PoolStateId, TaskKey, u32, OrderReply),
    /// A stop was answered.
    Stopped(PoolKey, PoolStateId, TaskKey, u32, OrderReply),
    /// A hold was answered; it was sent at that time.
    WorkerRenewed(
        PoolKey,
        PoolStateId,
        WorkerKey,
        Millis,
        Result<RenewalReport, OrderReply>,
    ),
    /// A wave's row changed or was read.
    WaveRow(StoredRow),
    /// A slot of a wave was taken or given back, or not: epoch.
    WaveSettled(PoolKey, u64, TxOutcome),
    /// The record of hosts that are out was changed, or not: epoch.
    OrderedSettled(PoolKey, u64, TxOutcome),
    /// Rows of intake were removed, or not.
    IntakeRemoved(PoolKey, PoolStateId, TxOutcome),
    /// A change of the pool's offers was answered: epoch.
    OffersSettled(PoolKey, u64, TxOutcome),
    /// Hosts on offer were taken, or not: epoch, the pool that offered them.
    HostsTaken(PoolKey, u64, String, TxOutcome),
    /// A change of an account's grant was answered: epoch, account.
    QuotaSettled(PoolKey, u64, String, TxOutcome),
    /// An account's row was read: epoch, account, row.
    QuotaRead(PoolKey, u64, String, Option<StoredRow>),
    /// Orders to hosts were put on record, or not: epoch.
    HostOrdersRecorded(PoolKey, u64, TxOutcome),
    /// An order to a host was answered: epoch, host.
    HostOrdered(PoolKey, u64, String, HostReply),
    /// The list of hosts was read.
    HostsRead(PoolKey, u64, Vec<HostRecord>),
    /// The store answers again, or does not any more.
    Store(bool),
    /// The process was told to stop.
    Stop,
}

/// The rows of a pool.
#[derive(Clone, Debug, Default)]
pub struct LoadedRows {
    /// Jobs as submitted, and cancels.
    pub intake: Vec<StoredRow>,
    /// Progress.
    pub progress: Vec<StoredRow>,
    /// The owner's row, its heartbeat and its offers.
    pub owner: Vec<StoredRow>,
    /// The list of workers.
    pub workers: Vec<WorkerFact>,
    /// When that was asked for.
    pub workers_asked_ms: Millis,
    /// Rows of waves.
    pub waves: Vec<StoredRow>,
    /// Hosts that the former owner ordered about, if this is the pool that carries such orders.
    pub host_orders: Vec<StoredRow>,
}

/// An order to a worker, sent only before `until_ms`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The pool.
    pub pool: PoolKey,
    /// The books that it is of.
    pub pool_state: PoolStateId,
    /// To whom, with which fence.
    pub to: Addressee,
    /// The owner's lease ends then; later it must not be sent.
    pub until_ms: Millis,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Try to become a pool's owner: one of its shards.
    Claim(PoolKey, usize, RowTx),
    /// Renew an owner's lease, in this shard.
    Renew(PoolKey, u64, usize, RowTx),
    /// Give a pool up; nobody waits for the answer.
    Release(RowTx),
    /// Read a pool's rows.
    Load(PoolKey, u64, String),
    /// Change what an account may have running: epoch, account.
    SettleQuota(PoolKey, u64, String, RowTx),
    /// Read an account's row: epoch, account.
    ReadQuota(PoolKey, u64, String),
    /// Record progress in a shard.
    Record(PoolKey, PoolStateId, usize, RowTx),
    /// Start a run.
    Start(Order, TaskKey, RunStart),
    /// Stop a run that the books know.
    Stop(Order, TaskKey, TaskName, u32),
    /// Stop a run that the books do not know; nobody waits for the answer.
    StopStray(Order, TaskName, u32),
    /// Let a run work at a share of full speed.
    Pace(Order, TaskName, u32, u32),
    /// Renew a worker's lease.
    RenewWorker(Order, WorkerKey, RenewalRequest),
    /// Change a wave's row: epoch.
    SettleWave(PoolKey, u64, RowTx),
    /// Tell the operator how a wave is.
    TellWave(u64, WaveState),
    /// Read the list of hosts.
    ReadHosts(PoolKey, u64),
    /// Change the record of hosts that are out: epoch.
    SettleOrdered(PoolKey, u64, RowTx),
    /// Remove rows of intake.
    RemoveIntake(PoolKey, PoolStateId, RowTx),
    /// Change the pool's offers.
    SettleOffers(PoolKey, u64, RowTx),
    /// Take hosts that a pool offers, by its name.
    TakeHosts(PoolKey, u64, String, RowTx),
    /// Put on record which hosts are about to be ordered about.
    RecordHostOrders(PoolKey, u64, RowTx),
    /// Order a host: epoch, host, what, until when it may be sent.
    OrderHost(PoolKey, u64, String, HostTask, Millis),
    /// Log a decision.
    Log(Decision),
    /// All pools are given up.
    Left,
}

/// Everything.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// This entry.
    pub me: String,
    /// Tells this process's claims from an earlier one's.
    pub nonce: u64,
    /// Thousandths of a core that this entry may use.
    pub cpu_milli: u64,
    /// The configuration in force here.
    pub config: Arc<FleetConfig>,
    /// Pools by key.
    pub pools: Vec<Pool>,
    /// Keys of pools by name.
    pub pool_keys: BTreeMap<String, PoolKey>,
    /// The list of workers.
    pub listed: BTreeMap<String, WorkerFact>,
    /// When the feed of that list last told of each worker, and of all at once.
    pub list_news: ListNews,
    /// Entries of that list that can't be read, and why; as many as are told.
    pub unreadable: BTreeMap<String, String>,
    /// Waves that the operator asked for.
    pub waves: BTreeMap<u64, WaveKnown>,
    /// Timers of all pools.
    pub timers: Timers,
    /// Since when the store answers; nothing while it does not.
    pub store_since_ms: Option<Millis>,
    /// When the process was told to stop.
    pub stopped_ms: Option<Millis>,
}

impl State {
    /// Nothing known yet.
    pub fn new(me: impl Into<String>, nonce: u64) -> Self {
        Self {
            me: me.into(),
            nonce,
            cpu_milli: CPU_FULL_MILLI,
            store_since_ms: Some(0),
            ..Self::default()
        }
    }

    /// With so many thousandths of a core.
    pub fn with_cpu_milli(self, cpu_milli: u64) -> Self {
        Self { cpu_milli, ..self }
    }

    /// When the reducer wants to be called next.
    pub fn wake_ms(&self) -> Option<Millis> {
        self.timers.first().map(|(at_ms, _, _)| *at_ms)
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopped_ms.is_some()
    }

    /// Number of pools that this entry owns.
    pub fn owned(&self) -> usize {
        self.pools.iter().filter(|p| p.ownership.is_some()).count()
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let key = self.pool_keys.get(name)?;
        self.pools.get(usize::from(key.0))
    }
}

/// What a decision is made with.
pub struct Ctx<'a> {
    /// The time.
    pub now: Now,
    /// The pool at hand.
    pub pool: PoolKey,
    /// This entry.
    pub me: &'a str,
    /// Thousandths of a core that it may use.
    pub cpu_milli: u64,
    /// Until when orders may be sent.
    pub until_ms: Millis,
    /// Timers of all pools.
    pub timers: &'a mut Timers,
    /// What is to be done.
    pub out: &'a mut Vec<Effect>,
}

impl Ctx<'_> {
    /// Sets a timer of this pool.
    pub fn after(&mut self, ms: Millis, timer: Timer) {
        self.timers.insert((self.now.ms + ms, self.pool, timer));
    }

    /// Drops timers of this pool.
    pub fn drop_timers(&mut self, is_over: impl Fn(Timer) -> bool) {
        let pool = self.pool;
        self.timers
            .retain(|(_, of, timer)| *of != pool || !is_over(*timer));
    }

    /// Logs a decision.
    pub fn log(&mut self, decision: Decision) {
        self.out.push(Effect::Log(decision));
    }

    /// Logs a decision on a job.
    pub fn log_job(&mut self, code: Code, id: &str, why: impl Into<String>) {
        self.log(Decision::new(code, Subject::Job, id, why));
    }

    /// Whether orders may be sent now.
    pub fn may_send(&self) -> bool {
        self.now.ms < self.until_ms
    }
}
