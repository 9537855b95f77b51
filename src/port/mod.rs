//! The port to the platform: its table, objects, host list, tasks and orders to hosts.
//!
//! All durable state of an entry and all coordination between entries go through these traits, which `entry` calls.
//! Each kind of platform has one adapter in this module; [`Http`] is the first. The port to a platform of workers is
//! apart, in [`fleet`].

pub mod backoff;
mod commit;
pub mod fleet;
mod http;
pub mod part_scan;
pub mod read_budget;
pub mod timeout;

use std::future::Future;

use serde::{Deserialize, Serialize};

pub use commit::{commit, RetryPolicy};
pub use http::{CommitResponse, Http, OrderResponse, RebootRequest};

use crate::clock::Millis;

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the row; the part before the first `/` is its space.
    pub key: String,
    /// The table's sequence number at the row's last change; it is never used twice.
    pub version: u64,
    /// A [`Stamped`] JSON document, or nothing where the row was deleted.
    pub value: Option<String>,
}

/// The wrapper of every value, by which a writer recognizes its own writes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stamped<T> {
    /// Unique to the transaction that wrote the row.
    pub token: String,
    /// The content of the row.
    pub body: T,
}

/// The state that a row must have for a transaction to commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// The row was never written, or was deleted.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A condition on a row that the transaction does not write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The name of the row.
    pub key: String,
    /// The state that the row must have.
    pub expect: Expect,
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The name of the row.
    pub key: String,
    /// The state that the row must have before the write.
    pub expect: Expect,
    /// The new value, which the adapter wraps with the token; `None` deletes the row.
    pub value: Option<String>,
}

impl Put {
    /// Creates a write of `body` under `key`.
    pub fn new<T: Serialize>(key: impl Into<String>, expect: Expect, body: &T) -> Self {
        Self {
            key: key.into(),
            expect,
            value: serde_json::to_string(body).ok(),
        }
    }
}

/// Several conditional writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Unique to this transaction; repeated attempts keep it.
    pub token: String,
    /// The conditions on rows that are not written.
    pub checks: Vec<Check>,
    /// The conditional writes.
    pub puts: Vec<Put>,
}

/// The outcome of one attempt to commit a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The transaction took effect at this sequence number.
    Committed(u64),
    /// A condition did not hold; this attempt wrote nothing.
    Conflict,
    /// Nothing was sent to the platform.
    NotSent,
    /// The answer was lost; the transaction may or may not have taken effect.
    Lost,
}

/// The final outcome of a transaction after all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction took effect at this sequence number. After a lost answer, the number is taken from a row that
    /// carries the transaction's token.
    Committed(u64),
    /// The transaction did not take effect and never will: a row has changed.
    Conflict,
    /// The transaction did not take effect and never will: it was never sent.
    NotSent,
    /// The transaction may have taken effect, or may still do so.
    Unknown,
}

/// The error of a call that got no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Down;

/// Rows that changed after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// All changes up to this sequence number are in `rows` or were read before.
    pub seq: u64,
    /// The rows as they are now, in order of version.
    pub rows: Vec<Row>,
    /// Whether more changes can be read at once.
    pub more: bool,
}

/// The transactional table.
pub trait Table {
    /// Reads one row; `None` if it was never written.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Down>> + Send;
    /// Reads the rows of the named spaces that changed after `since`.
    fn changes(
        &self,
        since: u64,
        spaces: &[&str],
    ) -> impl Future<Output = Result<Changes, Down>> + Send;
    /// Sends a transaction once, without a retry.
    fn send(&self, txn: &Transaction) -> impl Future<Output = Attempt> + Send;
}

/// The object store.
pub trait Objects {
    /// Stores `bytes` under `name` as a whole.
    fn put(&self, name: &str, bytes: Vec<u8>) -> impl Future<Output = Result<(), Down>> + Send;
    /// Reads the bytes under `name`, if the object exists.
    fn fetch(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Down>> + Send;
}

/// Whether a host runs, as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// The host is in service.
    Live,
    /// The platform itself is about to stop the host.
    Leaving,
    /// The host does not run.
    Gone,
}

/// A backend server on a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendInfo {
    /// The service that it runs.
    pub service: String,
    /// The address that it listens on, as `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// The number of connections that it accepts from all entries together.
    pub connections: u32,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// The name of the host, unique in the fleet.
    pub id: String,
    /// The data hall that the host stands in.
    pub hall: String,
    /// The rack within the hall.
    pub rack: String,
    /// The number of processor cores.
    pub cores: u32,
    /// The memory in megabytes.
    pub memory_mb: u64,
    /// Whether the host runs; a host without this field counts as live.
    #[serde(default = "live", rename = "life")]
    pub status: HostStatus,
    /// The number of boots so far.
    #[serde(default)]
    pub boots: u64,
    /// The backend servers on the host.
    #[serde(default, rename = "backend")]
    pub backends: Vec<BackendInfo>,
}

fn live() -> HostStatus {
    HostStatus::Live
}

/// The platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// All hosts.
    #[serde(default, rename = "host")]
    pub hosts: Vec<HostInfo>,
    /// The names of entries whose host the platform is certain to have ended.
    #[serde(default)]
    pub ended_entries: Vec<String>,
}

/// Access to the platform's list of hosts.
pub trait HostList {
    /// Reads the list and its new etag; `None` if it has not changed since `etag`.
    fn list(
        &self,
        etag: Option<&str>,
    ) -> impl Future<Output = Result<Option<(String, Listing)>, Down>> + Send;
}

/// What the platform did with an order to a task or a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was carried out, now or before under the same attempt or token.
    Accepted,
    /// The order was refused because the platform has seen a higher attempt.
    Fenced,
    /// The order was refused because the host can't take it.
    NoHost,
    /// A stop found that this attempt never started; the platform will not start it any more.
    NeverStarted,
    /// A stop found that this attempt had ended before.
    AlreadyEnded,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The id of the job.
    pub job: String,
    /// The number of the attempt, which is also the fencing token: the platform refuses every attempt below the highest
    /// one that it has seen.
    pub attempt: u32,
    /// The host that the task is to run on.
    pub host: String,
    /// The duration of the lease: the task is stopped if it is not renewed for this time.
    pub lease_ms: Millis,
    /// The payload that is passed to the task unchanged.
    pub payload: String,
}

/// The state of one attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The attempt runs.
    Running,
    /// The attempt ended with success.
    Done,
    /// The attempt ended with an error.
    Failed,
    /// The attempt was stopped by an order.
    Stopped,
    /// The lease expired or the host failed, and the attempt no longer runs.
    Lost,
}

/// The platform's report on one attempt of a task, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The id of the job.
    pub job: String,
    /// The number of the attempt.
    pub attempt: u32,
    /// The host of the attempt.
    pub host: String,
    /// The state of the attempt.
    pub state: TaskState,
    /// How long the attempt has run so far.
    pub ran_ms: Millis,
}

/// Task reports after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// The sequence number to read on from.
    pub seq: u64,
    /// The reports up to that number.
    pub reports: Vec<TaskReport>,
}

/// One attempt of a job, as renewals and stops name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    /// The id of the job.
    pub job: String,
    /// The number of the attempt.
    pub attempt: u32,
}

/// Orders to tasks that run under leases.
pub trait Tasks {
    /// Starts a task; a repeated order for the same attempt changes nothing.
    fn start(&self, task: &TaskStart) -> impl Future<Output = Result<OrderAnswer, Down>> + Send;
    /// Renews the leases of these attempts.
    fn renew(&self, tasks: &[TaskRef]) -> impl Future<Output = Result<(), Down>> + Send;
    /// Stops an attempt after a checkpoint, or prevents its start if it has not started.
    fn stop(&self, task: &TaskRef) -> impl Future<Output = Result<OrderAnswer, Down>> + Send;
    /// Reads the reports after `since`.
    fn reports(&self, since: u64) -> impl Future<Output = Result<Reports, Down>> + Send;
}

/// Orders to hosts.
pub trait HostOrders {
    /// Reboots a host; a repeated order with the same token changes nothing.
    fn reboot(
        &self,
        host: &str,
        token: &str,
    ) -> impl Future<Output = Result<OrderAnswer, Down>> + Send;
}
