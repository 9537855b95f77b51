//! Formats, keys and partitions of the rows that the scheduler keeps in the store.
//!
//! The scheduler's modules read and write these rows; names and formats are shared by all entries and must stay
//! compatible.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::job::{JobState, QueuePolicy};
use super::tasks::WorkerLosses;
use super::times::Times;
use crate::clock::Millis;
use crate::port::fleet::{Guard, Revision, Table, Write};
use crate::util::fnv1a;

/// Key of the row that names a pool's owner; its revision in the first shard is the owner's epoch.
pub const OWNER_KEY: &str = "owner";

/// Key of the owner's heartbeat row.
pub const HEARTBEAT_KEY: &str = "beat";

/// Suffix that forms the key of a cancel from the job's id.
const CANCEL_SUFFIX: &str = "/cancel";

/// Separates the job's id from the account in the key of a tombstone. Ids do not contain it.
const TOMBSTONE_SIGN: char = '/';

/// The pools that a queue has been routed to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRow {
    /// Host name and path prefix of the queue.
    pub address: String,
    /// Pools in the order in which they were first recorded; the first one is the home pool.
    pub pools: Vec<String>,
}

/// Names the owner of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Name of the entry; empty after an owner released the pool.
    pub entry: String,
    /// Distinguishes the claims of successive processes of one entry.
    pub nonce: u64,
    /// Epoch that the claim won; 0 in the first shard, where the row's own revision is the epoch.
    #[serde(default, skip_serializing_if = "is_default")]
    pub epoch: Revision,
}

/// Heartbeat of an owner, with what other entries may know of its pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatRow {
    /// Name of the entry.
    pub entry: String,
    /// Increases with each heartbeat.
    pub count: u64,
    /// Processor time that the entry may use, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u64,
    /// The store's clock when the heartbeat was sent, or somewhat earlier; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub store_ms: Millis,
    /// Number of jobs that have not begun, by queue; `None` from an owner that has not read the pool's rows yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<BTreeMap<String, u64>>,
    /// Number of hosts that the pool wants; 0 if its owner does not know yet.
    #[serde(default)]
    pub wanted: u64,
    /// Number of hosts that the pool's work needs now.
    #[serde(default)]
    pub needed: u64,
    /// Number of hosts that take the pool's work now.
    #[serde(default)]
    pub serving: u64,
    /// Racks that hold the data of the pool's tasks and have too few of its hosts, and how many they lack.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lacking_racks: BTreeMap<String, u64>,
    /// Accounts with more work waiting here than is granted.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub short_accounts: BTreeSet<String>,
    /// Recent running times of steps, for the next owner.
    #[serde(default)]
    pub times: Times,
    /// Hosts that recently received orders, and the age of the latest order in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ordered: BTreeMap<String, Millis>,
}

/// Key of the row that lists the hosts with recent or imminent orders.
pub const HOST_ORDERS_KEY: &str = "hosts";

/// Hosts that recently received orders or are about to receive some. No other owner sends them orders soon afterwards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrdersRow {
    /// Names of the hosts.
    pub hosts: BTreeSet<String>,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// State that callers are shown.
    pub state: JobState,
    /// Rounds below this number are done.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rounds_done: u32,
    /// Rounds below this number have begun, including those that are over and come after the last listed round; 0 if
    /// the other fields imply the number.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rounds_begun: u32,
    /// Policy that applies to the job, if it changed since the job was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<QueuePolicy>,
    /// Workers that tasks refer to by index: id of the instance, and host.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<(String, String)>,
    /// Wall-clock start times of these instances, in the same order; 0 if unknown.
    #[serde(default, skip_serializing_if = "are_unknown")]
    pub born_wall_ms: Vec<Millis>,
    /// Rounds that have begun and are not done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rounds: Vec<RoundRow>,
    /// Checkpoints of tasks that are not done, as far as there is room.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<CheckpointRow>,
    /// Tasks whose starts may still be carried out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<BoundRow>,
    /// The store's clock when the row was written, or somewhat earlier; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub written_store_ms: Millis,
}

impl ProgressRow {
    /// Adds an instance and returns its index.
    pub fn add_instance(&mut self, id: &str, host: &str, born_wall_ms: Option<Millis>) -> u16 {
        self.workers.push((id.to_string(), host.to_string()));
        self.born_wall_ms.push(born_wall_ms.unwrap_or(0));
        (self.workers.len() - 1) as u16
    }

    /// Returns the instances that tasks refer to: id, host, and start time if known.
    pub fn instances(&self) -> impl Iterator<Item = (&str, &str, Option<Millis>)> {
        let born = self.born_wall_ms.iter().copied().map(Some);
        let born = born.chain(std::iter::repeat(None));
        let dated_workers = self.workers.iter().zip(born);
        dated_workers.map(|((id, host), born)| (&**id, &**host, born.filter(|ms| *ms > 0)))
    }

    /// Returns the number of the first round that has not begun. Earlier rounds that are not listed are done.
    pub fn first_unbegun_round(&self) -> u32 {
        let last = self.rounds.last().map_or(0, |round| round.round + 1);
        self.rounds_begun.max(self.rounds_done).max(last)
    }
}

fn are_unknown(born_wall_ms: &[Millis]) -> bool {
    born_wall_ms.iter().all(|ms| *ms == 0)
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One round of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundRow {
    /// Number of the round, counted from 0.
    pub round: u32,
    /// Tasks by step.
    pub steps: Vec<Vec<TaskRow>>,
}

/// One task: run number, failed runs as bits, progress, and the worker instances that ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow(
    pub u32,
    pub u64,
    pub TaskProgress,
    #[serde(default, skip_serializing_if = "is_default")] pub WorkerLosses,
);

/// Checkpoint of a task: round, step, index, completed part of the work in percent, and the text to continue from. That
/// of a gang is under its first member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointRow(pub u32, pub u16, pub u16, pub u32, pub String);

/// A task whose starts may still be carried out: round, step, index, the id of the worker that they were sent to, and the
/// store's clock when no such start can be carried out any more, 0 if unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundRow(pub u32, pub u16, pub u16, pub String, pub Millis);

/// Recorded progress of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskProgress {
    /// Not started, or the last run is certainly over.
    #[serde(rename = "i")]
    Idle,
    /// May be running on the worker at this index of [`ProgressRow::workers`].
    #[serde(rename = "r")]
    Started(u16),
    /// Completed.
    #[serde(rename = "d")]
    Done,
}

/// Hosts of a wave that hold a slot or are back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts that hold a slot: ordered out, or about to be.
    pub out: BTreeMap<String, SlotRow>,
    /// Hosts that are back.
    pub back: Vec<String>,
    /// Wall-clock time at which the first slot was taken.
    #[serde(default)]
    pub began_wall_ms: Millis,
}

/// A slot of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// Pool whose owner took the slot.
    pub pool: String,
    /// Wall-clock time at which the slot was taken.
    pub taken_wall_ms: Millis,
    /// Whether the order to the host was accepted.
    #[serde(default)]
    pub is_ordered: bool,
}

/// Number of partitions that a pool's intake is spread over. The store takes a partition's writes one after another, at
/// 5 ms each. On the users' slow days a write takes 57 times as long, and 100 jobs a second keep 29 partitions busy.
const INTAKE_PARTS: u64 = 64;

/// Separates a pool's name from the suffix of a partition.
const PART_SIGN: char = '/';

/// Precedes the number of a shard in a partition's name.
const SHARD_SIGN: char = 's';

/// Number of shards of a pool, each a partition with an owner row, a heartbeat and progress of jobs. An owner keeps its
/// lease and records new jobs while at least one shard answers: with a quarter of the partitions unavailable, all four
/// are unavailable in one case of 256. When the store takes a partition's writes one after another at 300 ms each, four
/// writes proceed at a time.
pub const SHARDS: usize = 4;

/// Returns the partition of a shard; that of the first shard is named like the pool.
pub fn shard_part(pool: &str, shard: usize) -> String {
    match shard {
        0 => pool.to_string(),
        _ => format!("{pool}{PART_SIGN}{SHARD_SIGN}{shard}"),
    }
}

/// Returns the partitions of all shards of a pool.
pub fn shard_parts(pool: &str) -> Vec<String> {
    (0..SHARDS).map(|shard| shard_part(pool, shard)).collect()
}

/// Returns the pool and the shard that a partition belongs to; `None` if it is not a shard's.
pub fn shard_of_part(part: &str) -> Option<(&str, usize)> {
    let Some((pool, shard)) = part.rsplit_once(PART_SIGN) else {
        return Some((part, 0));
    };
    let number = shard.strip_prefix(SHARD_SIGN)?.parse::<usize>().ok()?;
    (1..SHARDS).contains(&number).then_some((pool, number))
}

/// Returns the two intake partitions that may hold a job and its cancel. The second one is used when the first does not
/// answer: with a quarter of the partitions unavailable, one job in sixteen cannot be accepted instead of one in four.
/// Rows in both partitions are one job, since the owner identifies jobs by id.
pub fn intake_parts_of(pool: &str, job: &str) -> [String; 2] {
    let number = fnv1a(job.bytes()) % INTAKE_PARTS;
    let second = (number + INTAKE_PARTS / 2) % INTAKE_PARTS;
    [number, second].map(|number| format!("{pool}{PART_SIGN}{number}"))
}

/// Returns all intake partitions of a pool.
pub fn intake_parts(pool: &str) -> Vec<String> {
    (0..INTAKE_PARTS)
        .map(|number| format!("{pool}{PART_SIGN}{number}"))
        .collect()
}

/// Returns the pool that an intake partition belongs to.
pub fn pool_of_part(part: &str) -> &str {
    part.rsplit_once(PART_SIGN).map_or(part, |(pool, _)| pool)
}

/// Returns the key of a job's cancel.
pub fn cancel_key(job: &str) -> String {
    format!("{job}{CANCEL_SUFFIX}")
}

/// Returns the key of the tombstone that keeps out an account's job. Earlier versions take it for the cancel of a job that
/// they do not know, and skip it.
pub fn tombstone_key(job: &str, account: Option<&str>) -> String {
    let account = account.map(|name| format!("{:016x}", fnv1a(name.bytes())));
    let account = account.unwrap_or_default();
    format!("{job}{TOMBSTONE_SIGN}{account}{CANCEL_SUFFIX}")
}

/// Returns the condition that an intake row has this revision.
pub fn intake_guard(key: &str, revision: Revision) -> Guard {
    Guard {
        table: Table::Intake,
        key: key.to_string(),
        revision,
    }
}

/// Returns the write of an intake row, or its removal.
pub fn intake_write(key: &str, value: Option<Vec<u8>>) -> Write {
    Write {
        table: Table::Intake,
        key: key.to_string(),
        value,
    }
}

/// Whether the key of an intake row is that of a job.
pub fn is_job_key(key: &str) -> bool {
    !key.ends_with(CANCEL_SUFFIX)
}

/// Whether the key of an intake row is that of a tombstone.
pub fn is_tombstone_key(key: &str) -> bool {
    let subject = key.strip_suffix(CANCEL_SUFFIX);
    subject.is_some_and(|subject| subject.contains(TOMBSTONE_SIGN))
}

/// Returns the id of the job that the key of a cancel names.
pub fn cancelled_job(key: &str) -> Option<&str> {
    let job = key.strip_suffix(CANCEL_SUFFIX)?;
    (!job.contains(TOMBSTONE_SIGN)).then_some(job)
}

/// Returns the serialized form of a row.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    // Rows are plain structures, whose serialization cannot fail.
    serde_json::to_vec(row).unwrap_or_default()
}

/// Decodes a row, or returns why it cannot be decoded.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}
