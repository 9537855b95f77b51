//! The port to the platform: its table, objects, host list, tasks and host orders.
//!
//! Everything that must last or be agreed goes through here. The dialect of one platform is one
//! adapter beside this file; [`Http`] is the first.

mod commit;
pub mod fleet;
mod http;
pub mod timeout;

use std::future::Future;

use serde::{Deserialize, Serialize};

pub use commit::{commit, Patience};
pub use http::{Committed, Http, Ordered, Reboot};

use crate::clock::Millis;

/// A row of the table, as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name; the part before the first `/` is its space.
    pub key: String,
    /// The table's sequence number at the row's last change; never seen twice.
    pub version: u64,
    /// A [`Stamped`] JSON document, or nothing where the row was deleted.
    pub value: Option<String>,
}

/// What every value is wrapped in, so that a writer knows its own work again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stamped<T> {
    /// Unique to the transaction that wrote the row.
    pub token: String,
    /// The row's content.
    pub body: T,
}

/// What a row must be for a transaction to go through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// It was never written, or was deleted.
    Absent,
    /// Its version is this one.
    Version(u64),
}

/// A condition on a row that the transaction does not write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's name.
    pub key: String,
    /// What it must be.
    pub expect: Expect,
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row's name.
    pub key: String,
    /// What it must be before.
    pub expect: Expect,
    /// The new value, stamped on the way out; nothing deletes the row.
    pub value: Option<String>,
}

impl Put {
    /// A write of `body` under `key`.
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
    /// Unique to this attempt.
    pub token: String,
    /// Conditions on rows that are only read.
    pub checks: Vec<Check>,
    /// The writes.
    pub puts: Vec<Put>,
}

/// What one sending of a transaction came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It took effect at this sequence number.
    Committed(u64),
    /// A condition did not hold; nothing was written by this sending.
    Conflict,
    /// Not one byte reached the platform.
    NotSent,
    /// Nobody knows.
    Lost,
}

/// What a transaction came to in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect; the sequence number is 0 where only the token tells so.
    Committed(u64),
    /// It did not and never will: a row moved on.
    Conflict,
    /// It did not and never will: it was never sent.
    NotSent,
    /// It may or may not have taken effect, or may still do so.
    Unknown,
}

/// The platform did not answer, or not sensibly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Down;

/// Rows that changed after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Everything up to this number is in `rows` or was known before.
    pub seq: u64,
    /// The rows as they are now, in order of version.
    pub rows: Vec<Row>,
    /// Whether there is more to fetch.
    pub more: bool,
}

/// The transactional table.
pub trait Table {
    /// One row, with nothing where it was never written.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Down>> + Send;
    /// Rows of the named spaces that changed after `since`.
    fn changes(
        &self,
        since: u64,
        spaces: &[&str],
    ) -> impl Future<Output = Result<Changes, Down>> + Send;
    /// Sends a transaction once.
    fn send(&self, txn: &Transaction) -> impl Future<Output = Attempt> + Send;
}

/// The object store.
pub trait Objects {
    /// Stores `bytes` under `name`, whole.
    fn put(&self, name: &str, bytes: Vec<u8>) -> impl Future<Output = Result<(), Down>> + Send;
    /// The bytes under `name`, if there are any.
    fn fetch(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Down>> + Send;
}

/// What the platform's list says of a host's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Life {
    /// In service.
    Live,
    /// On its way out by the platform's own doing.
    Leaving,
    /// Not running.
    Gone,
}

/// A backend server on a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendFact {
    /// The service it runs.
    pub service: String,
    /// Where it listens, `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// How many requests it works on at once.
    pub slots: u32,
    /// How many connections it accepts from all entries together.
    pub connections: u32,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFact {
    /// Name, unique in the fleet.
    pub id: String,
    /// Data hall.
    pub hall: String,
    /// Rack within the hall.
    pub rack: String,
    /// Processor cores.
    pub cores: u32,
    /// Memory.
    pub memory_mb: u64,
    /// Whether it runs.
    #[serde(default = "live")]
    pub life: Life,
    /// How many times it has booted.
    #[serde(default)]
    pub boots: u64,
    /// The backend servers on it.
    #[serde(default, rename = "backend")]
    pub backends: Vec<BackendFact>,
}

fn live() -> Life {
    Life::Live
}

/// The list of hosts; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// All hosts.
    #[serde(default, rename = "host")]
    pub hosts: Vec<HostFact>,
    /// Entries, by name, whose host the platform has certainly ended.
    #[serde(default)]
    pub ended_entries: Vec<String>,
}

/// The list of live and leaving hosts.
pub trait HostList {
    /// The list, or nothing where it is as it was at `etag`; with the new etag.
    fn list(
        &self,
        etag: Option<&str>,
    ) -> impl Future<Output = Result<Option<(String, Listing)>, Down>> + Send;
}

/// What the platform did with an order to a task or a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// Done, or done before under the same attempt or token.
    Accepted,
    /// Not done: a higher attempt has been seen.
    Fenced,
    /// Not done: the host can't take it.
    NoHost,
    /// A stop found that this attempt never started; it never will.
    NeverStarted,
    /// A stop found that this attempt had ended before.
    AlreadyEnded,
}

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The job's id.
    pub job: String,
    /// Fencing token: the platform refuses any attempt below the highest it has seen.
    pub attempt: u32,
    /// Where it shall run.
    pub host: String,
    /// The task is stopped when nobody renews it for so long.
    pub lease_ms: Millis,
    /// Handed to the task as it is.
    pub payload: String,
}

/// How a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// At work.
    Running,
    /// Ended well.
    Done,
    /// Ended with an error.
    Failed,
    /// Stopped on order.
    Stopped,
    /// Its lease lapsed or its host died; it no longer runs.
    Lost,
}

/// The platform's word on one attempt of a task; it lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job's id.
    pub job: String,
    /// The attempt.
    pub attempt: u32,
    /// Where it ran.
    pub host: String,
    /// How it stands.
    pub state: TaskState,
    /// How long it ran so far.
    pub ran_ms: Millis,
}

/// Task reports after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// Where to go on.
    pub seq: u64,
    /// The reports.
    pub reports: Vec<TaskReport>,
}

/// One attempt of a job, as renewals and stops name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job's id.
    pub job: String,
    /// The attempt.
    pub attempt: u32,
}

/// Tasks under leases.
pub trait Tasks {
    /// Starts a task; the same attempt again changes nothing.
    fn start(&self, task: &TaskStart) -> impl Future<Output = Result<OrderAnswer, Down>> + Send;
    /// Renews the leases of these attempts.
    fn renew(&self, tasks: &[TaskRef]) -> impl Future<Output = Result<(), Down>> + Send;
    /// Stops an attempt after a checkpoint, or sees to it that it never starts.
    fn stop(&self, task: &TaskRef) -> impl Future<Output = Result<OrderAnswer, Down>> + Send;
    /// Reports after `since`.
    fn reports(&self, since: u64) -> impl Future<Output = Result<Reports, Down>> + Send;
}

/// Orders to hosts.
pub trait HostOrders {
    /// Reboots a host; the same token again changes nothing.
    fn reboot(
        &self,
        host: &str,
        token: &str,
    ) -> impl Future<Output = Result<OrderAnswer, Down>> + Send;
}
