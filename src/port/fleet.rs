//! The port to a platform of workers: row store, operator's word, worker list, orders.
//!
//! The adapter beside the product implements these traits and nothing else; it takes no decision,
//! keeps no state beyond connections and repeats nothing.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::auth::TokenHash;
use crate::clock::Millis;

/// A row's version. One counter serves the whole store, so versions of different rows compare.
pub type Revision = u64;

/// The revision of a row that is not there, as a condition.
pub const ABSENT: Revision = 0;

/// The product's own tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Table {
    /// Who owns a pool, and the owner's heartbeat.
    Owners,
    /// Jobs as submitted, and their cancels.
    Intake,
    /// How far jobs are.
    Progress,
    /// Slots taken by waves of upkeep.
    Waves,
    /// Hosts that were ordered about of late.
    HostOrders,
    /// What client accounts may have running, by pool.
    Quotas,
}

/// A row of one of the product's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The partition, by which transactions are ordered.
    pub part: String,
    /// The key within the partition.
    pub key: String,
    /// The content, or nothing where the row was removed.
    pub value: Option<Vec<u8>>,
    /// The transaction that wrote it.
    pub revision: Revision,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guard {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// What its revision must be; [`ABSENT`] where it must not be there.
    pub revision: Revision,
}

/// A row that a transaction writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// The content; nothing removes the row.
    pub value: Option<Vec<u8>>,
}

/// A transaction within one partition: all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTx {
    /// The partition of all rows named.
    pub part: String,
    /// What must hold.
    pub guards: Vec<Guard>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// What one sending of a transaction came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxOutcome {
    /// It took effect with this revision.
    Committed(Revision),
    /// A condition did not hold; the guarded rows as they are, tables in the order of the guards.
    Conflict(Vec<(Table, StoredRow)>),
    /// The store did nothing, and says so.
    Refused,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// Why a read gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// No answer, or none that makes sense.
    Down,
    /// The history asked for is gone: read anew.
    HistoryGone,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// In ascending order of key.
    pub rows: Vec<StoredRow>,
    /// Whether there are more behind the last one.
    pub more: bool,
    /// The store's newest revision at that moment.
    pub revision: Revision,
}

/// Rows that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Feed<T> {
    /// The changes in order.
    pub changes: Vec<T>,
    /// Where to go on.
    pub revision: Revision,
}

/// A range of keys to read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub from: String,
    /// First key that is not read; empty for all.
    pub until: String,
    /// Most rows in one answer.
    pub rows_max: u32,
}

/// The transactional row store.
pub trait Rows {
    /// Sends a transaction once.
    fn transact(&self, tx: &RowTx, timeout_ms: Millis) -> impl Future<Output = TxOutcome>;
    /// Reads a range of one partition.
    fn scan(
        &self,
        table: Table,
        part: &str,
        range: Range,
        timeout_ms: Millis,
    ) -> impl Future<Output = Result<Scan, ReadError>>;
    /// Waits up to `wait_ms` for changes of a table after `since`.
    fn feed(
        &self,
        table: Table,
        since: Revision,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<Feed<StoredRow>, ReadError>>;
    /// The partitions of a table that hold rows.
    fn parts(&self, table: Table) -> impl Future<Output = Result<Vec<String>, ReadError>>;
}

/// How work of one queue is run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueConfig {
    /// Name, unique in the fleet.
    pub name: String,
    /// Host name by which callers choose it.
    pub host: String,
    /// Beginning of the path by which callers choose it.
    pub path_prefix: String,
    /// The pool whose workers run it.
    pub pool: String,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts_max: u32,
    /// How long a job may take on top of its stretched chain, in milliseconds.
    pub target_ms: Millis,
    /// Factor on the longest chain of work, in thousandths.
    pub stretch_milli: u64,
    /// Callers need no key.
    pub is_public: bool,
}

/// A client account: whom keys, jobs and a quota belong to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountConfig {
    /// Name, unique in the fleet.
    pub name: String,
    /// Hashes of its keys.
    pub keys: Vec<TokenHash>,
    /// Jobs a second that it is owed, and its share where there is not enough for all.
    pub weight: u64,
    /// Most that its tasks may take in all pools together; 0 of a kind is no limit.
    pub quota: Capacity,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolConfig {
    /// Name.
    pub name: String,
    /// Its hosts are off and cost nothing.
    pub is_parked: bool,
}

/// The operator's configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Rises with each change.
    pub version: u64,
    /// The queues by name.
    pub queues: BTreeMap<String, QueueConfig>,
    /// The client accounts by name.
    pub accounts: BTreeMap<String, AccountConfig>,
    /// The pools.
    pub pools: BTreeMap<String, PoolConfig>,
    /// Bound on a request's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_ms: Millis,
    /// How long a connection may stay idle.
    pub idle_ms: Millis,
}

/// A request of the operator that a set of hosts be upgraded and rebooted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveOrder {
    /// Its number.
    pub wave: u64,
    /// Every host that is due.
    pub hosts: Vec<String>,
    /// Time for all of it.
    pub duration_ms: Millis,
    /// Most hosts out at once.
    pub out_max: usize,
}

/// A change of what the operator says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorEvent {
    /// A configuration in full.
    Config(Arc<FleetConfig>),
    /// A wave of upkeep.
    Wave(WaveOrder),
    /// A row that can't be decoded: its key and what is wrong.
    Unreadable(String, String),
    /// A row of a kind that means nothing to the product: its key. It tells that the feed brought something.
    Other(String),
}

/// What a host can carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Capacity {
    /// Counts `other` in.
    pub fn add(&mut self, other: Capacity) {
        self.cpu_milli += other.cpu_milli;
        self.mem_mb += other.mem_mb;
        self.gpu += other.gpu;
    }

    /// So many of it.
    pub fn times(self, count: u64) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli * count,
            mem_mb: self.mem_mb * count,
            gpu: self.gpu * count,
        }
    }

    /// Whether it is no less than `other` of anything.
    pub fn contains(self, other: Capacity) -> bool {
        other.cpu_milli <= self.cpu_milli && other.mem_mb <= self.mem_mb && other.gpu <= self.gpu
    }

    /// Counts `other`, which was counted in before, out.
    pub fn sub(&mut self, other: Capacity) {
        self.cpu_milli -= other.cpu_milli;
        self.mem_mb -= other.mem_mb;
        self.gpu -= other.gpu;
    }
}

/// One life of a worker, as it states itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerFact {
    /// Its id; a later life may have the same.
    pub id: String,
    /// When this life began, by the worker's wall clock: with the id, it names the life. None where the platform tells none.
    pub born_wall_ms: Option<Millis>,
    /// The host it lives on.
    pub host: String,
    /// Its pool.
    pub pool: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Its kind, its rack.
    pub labels: Vec<String>,
    /// What it can carry.
    pub capacity: Capacity,
    /// It takes no new work and leaves.
    pub draining: bool,
}

/// A change in the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// It is there, as stated.
    Present(WorkerFact),
    /// Its entry was removed; the id.
    Gone(String),
    /// An entry that can't be decoded: its id and what is wrong.
    Unreadable(String, String),
}

/// What the operator and the workers say through the store.
pub trait Directory {
    /// Everything the operator says, and where to go on.
    fn operator(&self) -> impl Future<Output = Result<Feed<OperatorEvent>, ReadError>>;
    /// Changes of it.
    fn operator_feed(
        &self,
        since: Revision,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<Feed<OperatorEvent>, ReadError>>;
    /// All workers, and where to go on.
    fn workers(&self) -> impl Future<Output = Result<Feed<WorkerEvent>, ReadError>>;
    /// Changes of the list.
    fn workers_feed(
        &self,
        since: Revision,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<Feed<WorkerEvent>, ReadError>>;
}

/// Names one task of one job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: String,
    /// Which repetition of the job, from 0.
    pub round: u32,
    /// Which step, from 0.
    pub step: u16,
    /// Which task of the step, from 0.
    pub index: u16,
}

/// Which worker an order goes to, and on whose authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addressee {
    /// The life that is meant.
    pub worker: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The owner's epoch.
    pub fence: u64,
}

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// The task.
    pub task: TaskName,
    /// Counts its starts from 1.
    pub run: u32,
    /// What to do, in the caller's words.
    pub spec: String,
    /// Until when the worker's lease lasts, on the worker's clock.
    pub lease_until_ms: Millis,
    /// Where to go on from; empty for the beginning.
    pub checkpoint: String,
}

/// What a worker says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Done, or done before.
    Accepted,
    /// Not done: it has seen a higher epoch.
    Fenced,
    /// Not done: this run or a later one has been stopped or has ended there.
    Outdated,
    /// Not done: the lease it names has run out.
    TooLate,
    /// Not done: it does not fit.
    NoRoom,
    /// Not done: the worker is unwell or can't read it.
    Unwell,
    /// Not done: this life is over.
    OtherLife,
    /// Not done: the worker takes no connection.
    Refused,
    /// No answer, since the worker's side ended the connection: it may have been done.
    Broken,
    /// No answer: it may have been done, or may yet be.
    Silent,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// Where it could go on from.
    pub checkpoint: String,
    /// How much of its work is done; of a task that lasts, 100 once it is at work.
    pub percent: u32,
    /// For a task that serves, its tail in milliseconds; for others the processor in use.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// On order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The others of its gang did not come in time.
    GangAlone,
}

/// A run's end, as the worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Rises from 1 within a life.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Where it could go on from.
    pub checkpoint: String,
}

/// Renews a worker's lease and asks what runs there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalRequest {
    /// Until when everything there may run, on the worker's clock; none asks only.
    pub lease_until_ms: Option<Millis>,
    /// Ends up to this number are recorded and may be forgotten.
    pub seen: u64,
    /// How long the worker may wait for an end.
    pub wait_ms: Millis,
}

/// A worker's account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalReport {
    /// The life that answered, as in [`WorkerFact::born_wall_ms`].
    pub born_wall_ms: Option<Millis>,
    /// The worker's clock, which counts from the start of its life.
    pub clock_ms: Millis,
    /// What runs there.
    pub running: Vec<RunningTask>,
    /// Ends that are not recorded yet, in order.
    pub ended: Vec<RunEnd>,
    /// Entries of both lists that name no task of ours.
    pub unreadable: usize,
}

/// Orders to workers.
pub trait WorkerOrders {
    /// Starts a run; the same again changes nothing.
    fn start(
        &self,
        to: &Addressee,
        start: &RunStart,
        timeout_ms: Millis,
    ) -> impl Future<Output = OrderReply>;
    /// Stops a run, or bars it for good.
    fn stop(
        &self,
        to: &Addressee,
        task: &TaskName,
        run: u32,
        timeout_ms: Millis,
    ) -> impl Future<Output = OrderReply>;
    /// Lets a run work at a share of full speed.
    fn pace(
        &self,
        to: &Addressee,
        task: &TaskName,
        run: u32,
        percent: u32,
        timeout_ms: Millis,
    ) -> impl Future<Output = OrderReply>;
    /// Renews the lease and asks for the account.
    fn renew_lease(
        &self,
        to: &Addressee,
        ask: RenewalRequest,
        timeout_ms: Millis,
    ) -> impl Future<Output = Result<RenewalReport, OrderReply>>;
}

/// On whose authority a host is ordered about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAuthority {
    /// The entry that orders.
    pub entry: String,
    /// Its epoch.
    pub fence: u64,
}

/// What the platform says to an order to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// Done, or done before.
    Accepted,
    /// Not done: a higher epoch was seen.
    Fenced,
    /// Not done: the host is not up.
    Busy,
    /// Not done: the order does not fit the host.
    Wrong,
    /// Not done: too many calls.
    TooMany,
    /// No answer: it may have been done.
    Silent,
}

/// How a host is, as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// In service, or off where its pool is parked.
    Up,
    /// On its way to another pool.
    Moving,
    /// Out for upkeep.
    Upkeep,
    /// Not running.
    Down,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Its name.
    pub host: String,
    /// Its pool.
    pub pool: String,
    /// How it is.
    pub state: HostState,
    /// The life of the worker on it; empty for none.
    pub life: String,
}

/// How a wave is, for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    /// Hosts are due.
    Running,
    /// Every host has been through.
    Completed,
}

/// What the operator reads about waves.
pub trait WaveStatus {
    /// Tells how a wave is; `Running` is told only where nothing was told before.
    fn tell_wave(&self, wave: u64, state: WaveState) -> impl Future<Output = TxOutcome>;
}

/// Orders to hosts.
pub trait HostMoves {
    /// All hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostRecord>, ReadError>>;
    /// Takes a host down for its upkeep in a wave.
    fn upkeep(
        &self,
        who: &HostAuthority,
        host: &str,
        wave: u64,
        timeout_ms: Millis,
    ) -> impl Future<Output = HostReply>;
    /// Moves a host to another pool.
    fn move_to(
        &self,
        who: &HostAuthority,
        host: &str,
        pool: &str,
        timeout_ms: Millis,
    ) -> impl Future<Output = HostReply>;
}
