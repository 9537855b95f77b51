//! What the product's rows hold, and their keys.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::job::{JobState, QueuePolicy};
use super::tasks::WorkerLosses;
use super::times::Times;
use crate::clock::Millis;
use crate::port::fleet::Revision;
use crate::util::fnv1a;

/// Key of the row that names a pool's owner; its revision is the owner's epoch.
pub const OWNER_KEY: &str = "owner";

/// Key of the owner's heartbeat.
pub const HEARTBEAT_KEY: &str = "beat";

/// Behind a job's id in the key of its cancel.
const CANCEL_SUFFIX: &str = "/cancel";

/// Who owns a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The entry; empty where an owner left.
    pub entry: String,
    /// Tells two claims of one entry apart.
    pub nonce: u64,
    /// The epoch that the claim won; 0 in the first shard, where the row's own revision is the epoch.
    #[serde(default, skip_serializing_if = "is_default")]
    pub epoch: Revision,
}

/// The owner is alive, and what others may know of its pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatRow {
    /// The entry.
    pub entry: String,
    /// Rises with each heartbeat.
    pub count: u64,
    /// Thousandths of a core that the entry may use.
    #[serde(default)]
    pub cpu_milli: u64,
    /// Jobs that have not begun, by queue; nothing from an owner that has not read its rows yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<BTreeMap<String, u64>>,
    /// Hosts that the pool wants; 0 where its owner does not know yet.
    #[serde(default)]
    pub wanted: u64,
    /// Hosts that its work needs now.
    #[serde(default)]
    pub needed: u64,
    /// Hosts that take its work now.
    #[serde(default)]
    pub serving: u64,
    /// Accounts of which more waits here than is granted.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub short_accounts: BTreeSet<String>,
    /// What steps took of late, for the next owner.
    #[serde(default)]
    pub times: Times,
    /// Hosts that were ordered about of late, and how long ago in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ordered: BTreeMap<String, Millis>,
}

/// Key of the row of hosts that were ordered about.
pub const HOST_ORDERS_KEY: &str = "hosts";

/// Hosts that were ordered about of late, or are about to be: nobody else gives them orders soon after.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrdersRow {
    /// Their names.
    pub hosts: BTreeSet<String>,
}

/// How far a job is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// What callers are told.
    pub state: JobState,
    /// Rounds below this one are done.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rounds_done: u32,
    /// Rounds below this one have begun, also where they are over and the last one listed is below; 0 where the others tell.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rounds_begun: u32,
    /// The policy that the job goes by, where that changed since it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<QueuePolicy>,
    /// Workers that tasks name by their place here: id of the life, and host.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<(String, String)>,
    /// When these lives began, in the same order; 0 where that is not known.
    #[serde(default, skip_serializing_if = "are_unknown")]
    pub born_wall_ms: Vec<Millis>,
    /// Rounds that have begun and are not done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rounds: Vec<RoundRow>,
}

impl ProgressRow {
    /// Names a life; gives its place.
    pub fn add_instance(&mut self, id: &str, host: &str, born_wall_ms: Option<Millis>) -> u16 {
        self.workers.push((id.to_string(), host.to_string()));
        self.born_wall_ms.push(born_wall_ms.unwrap_or(0));
        (self.workers.len() - 1) as u16
    }

    /// The lives that tasks name: id, host, and when each began, where that is known.
    pub fn instances(&self) -> impl Iterator<Item = (&str, &str, Option<Millis>)> {
        let born = self.born_wall_ms.iter().copied().map(Some);
        let born = born.chain(std::iter::repeat(None));
        let lives = self.workers.iter().zip(born);
        lives.map(|((id, host), born)| (&**id, &**host, born.filter(|ms| *ms > 0)))
    }

    /// Rounds below this one have begun; those of them that are not listed are done.
    pub fn begun(&self) -> u32 {
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
    /// Its number.
    pub round: u32,
    /// Tasks by step.
    pub steps: Vec<Vec<TaskRow>>,
}

/// One task: run number, failed runs as bits, where it stands, and the lives of workers that ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow(
    pub u32,
    pub u64,
    pub TaskProgress,
    #[serde(default, skip_serializing_if = "is_default")] pub WorkerLosses,
);

/// Where a task stands on record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskProgress {
    /// Not started, or the last run is certainly over.
    #[serde(rename = "i")]
    Idle,
    /// May run on the worker at this place of [`ProgressRow::workers`].
    #[serde(rename = "r")]
    Started(u16),
    /// Done.
    #[serde(rename = "d")]
    Done,
}

/// A wave's hosts that have been ordered out, by host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts that hold a slot: out, or about to be.
    pub out: BTreeMap<String, SlotRow>,
    /// Hosts that are back.
    pub back: Vec<String>,
    /// Wall clock when the first slot was taken.
    #[serde(default)]
    pub began_wall_ms: Millis,
}

/// A slot of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// The pool whose owner took the slot.
    pub pool: String,
    /// Wall clock at that moment.
    pub taken_wall_ms: Millis,
    /// The order was accepted.
    #[serde(default)]
    pub is_ordered: bool,
}

/// Parts that a pool's intake is spread over. The store takes a part's writes in turn, 5 ms each and 57 times
/// as long on the users' slow days: 100 jobs a second then wait for 29 parts.
const INTAKE_PARTS: u64 = 64;

/// Between a pool's name and what tells its parts apart.
const PART_SIGN: char = '/';

/// Before the number of a shard in the name of its part.
const SHARD_SIGN: char = 's';

/// Shards of a pool's owner, each a partition with a row of the owner, a heartbeat and progress of jobs. An owner keeps
/// its lease while one of them answers, and records new jobs where one does: with a quarter of the partitions away, all
/// four are in one case of 256. With writes that a store takes in turn, 300 ms each, four go at a time.
pub const SHARDS: usize = 4;

/// The partition of a shard; the first is the pool's own.
pub fn shard_part(pool: &str, shard: usize) -> String {
    match shard {
        0 => pool.to_string(),
        _ => format!("{pool}{PART_SIGN}{SHARD_SIGN}{shard}"),
    }
}

/// All partitions of a pool's shards.
pub fn shard_parts(pool: &str) -> Vec<String> {
    (0..SHARDS).map(|shard| shard_part(pool, shard)).collect()
}

/// The pool and the shard that a partition stands for; nothing for one that is no shard's.
pub fn shard_of_part(part: &str) -> Option<(&str, usize)> {
    let Some((pool, shard)) = part.rsplit_once(PART_SIGN) else {
        return Some((part, 0));
    };
    let number = shard.strip_prefix(SHARD_SIGN)?.parse::<usize>().ok()?;
    (1..SHARDS).contains(&number).then_some((pool, number))
}

/// The two parts of a pool's intake that may hold a job and its cancel: the second one is for when the first does not
/// answer. With a quarter of the partitions away, one job in sixteen can't be taken in place of one in four. A job that
/// stands in both is one job: its owner goes by the id.
pub fn intake_parts_of(pool: &str, job: &str) -> [String; 2] {
    let number = fnv1a(job.bytes()) % INTAKE_PARTS;
    let second = (number + INTAKE_PARTS / 2) % INTAKE_PARTS;
    [number, second].map(|number| format!("{pool}{PART_SIGN}{number}"))
}

/// All parts of a pool's intake.
pub fn intake_parts(pool: &str) -> Vec<String> {
    (0..INTAKE_PARTS)
        .map(|number| format!("{pool}{PART_SIGN}{number}"))
        .collect()
}

/// The pool that a part of intake belongs to.
pub fn pool_of_part(part: &str) -> &str {
    part.rsplit_once(PART_SIGN).map_or(part, |(pool, _)| pool)
}

/// Key of a job's cancel.
pub fn cancel_key(job: &str) -> String {
    format!("{job}{CANCEL_SUFFIX}")
}

/// The job that a cancel's key names.
pub fn cancelled_job(key: &str) -> Option<&str> {
    key.strip_suffix(CANCEL_SUFFIX)
}

/// A row's bytes.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    // Plain structures of ours: serialization has no way to fail.
    serde_json::to_vec(row).unwrap_or_default()
}

/// A row from its bytes, or why it can't be read.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}
