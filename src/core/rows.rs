//! The rows that entries keep in the platform's table, and their keys.
//!
//! The decisions of an entry read and write these rows. The table stores them as JSON.

use serde::{Deserialize, Serialize};

use super::config::Class;
use crate::clock::Millis;

/// Key prefixes whose rows every entry follows. The rows of runs under callers' keys are read one by one instead.
pub const FOLLOWED_PREFIXES: [&str; 6] = ["config", "entry", "host", "job", "pool", "wave"];

/// Key of the row with the configuration in force.
pub const HEAD_KEY: &str = "config/head";

/// Maximum number of steps in a row's history.
const HISTORY_MAX: usize = 12;

/// Returns the key of a host's row.
pub fn host_key(id: &str) -> String {
    format!("host/{id}")
}

/// Returns the key of a pool's row.
pub fn pool_key(name: &str) -> String {
    format!("pool/{name}")
}

/// Returns the key of a wave's row.
pub fn wave_key(id: &str) -> String {
    format!("wave/{id}")
}

/// Returns the key of a job's row.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Returns the key of an entry's row.
pub fn entry_key(name: &str) -> String {
    format!("entry/{name}")
}

/// Returns the key of the row of a run under a caller's idempotency key.
pub fn run_key(account: &str, key: &str) -> String {
    format!("run/{account}/{key}")
}

/// Returns the key of the row that keeps a version of the configuration permanently.
pub fn history_key(version: u64) -> String {
    format!("history/{version}")
}

/// One step of a row's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Wall-clock time of the entry that wrote it.
    pub at_ms: Millis,
    /// Name of the entry that wrote it.
    pub by: String,
    /// What happened and why.
    pub what: String,
}

/// Appends a step, and drops the oldest one if the history is full.
pub fn push_step(history: &mut Vec<Step>, step: Step) {
    history.push(step);
    if history.len() > HISTORY_MAX {
        history.remove(0);
    }
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Increases by one with each change; a version is never changed or reused.
    pub version: u64,
    /// The operator's whole text.
    pub text: String,
    /// Name of the entry that accepted it.
    pub by: String,
    /// Wall-clock time of that entry when it accepted it.
    pub at_ms: Millis,
}

/// The state of a host in its pool and its maintenance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In no pool.
    #[default]
    Free,
    /// In service for its pool.
    Serving,
    /// Takes no new work, and ends what is in flight.
    Draining,
    /// Released by every entry; may be rebooted.
    Out,
    /// Booted again; it must stay live for a while before it serves.
    Returning,
}

impl HostState {
    /// Returns the lower-case name.
    pub fn as_str(self) -> &'static str {
        match self {
            HostState::Free => "free",
            HostState::Serving => "serving",
            HostState::Draining => "draining",
            HostState::Out => "out",
            HostState::Returning => "returning",
        }
    }
}

/// What a drain is for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Purpose {
    /// A reboot, then a return to the same pool.
    #[default]
    Maintenance,
    /// Out at an operator's request until an operator returns it, without a reboot.
    Hold,
    /// A move to the named pool.
    Move(String),
    /// A move to the free hosts.
    Release,
}

/// A host's pool and state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The one pool it belongs to, if any.
    pub pool: Option<String>,
    /// Current state of the host.
    pub state: HostState,
    /// What it drains for; used only while it drains or is out.
    pub purpose: Purpose,
    /// The last wave that took it.
    pub wave: Option<String>,
    /// The platform's count of its boots when it last began to drain, went out or came back.
    pub boots: u64,
    /// Wall-clock time of the row's last change.
    pub since_ms: Millis,
    /// Latest steps, oldest first.
    pub history: Vec<Step>,
}

/// A pool's row. Every grant of a drain and every change of the members writes it, so that concurrent changes of a
/// pool conflict.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Hosts that are draining, out or returning.
    pub out: Vec<String>,
    /// Number of hosts that moved in or out so far.
    pub moves: u64,
}

/// The state of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WaveState {
    /// It takes hosts as the budgets allow.
    Running,
    /// An operator stopped it; hosts already out come back.
    Stopped,
    /// Every live host has been through it.
    Done,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// The pool, or `*` for every host.
    pub pool: String,
    /// Current state of the wave.
    pub state: WaveState,
    /// Daily windows in which it may take hosts; empty if only the pools' own windows apply.
    pub windows: Vec<super::config::Window>,
    /// Wall-clock time of its start.
    pub started_ms: Millis,
    /// Wall-clock time of its end, 0 while it runs.
    pub ended_ms: Millis,
    /// Name of the entry that accepted it.
    pub by: String,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Accepted, and not placed on a host.
    Waiting,
    /// Placed on a host, where the current attempt may have started.
    Placed,
    /// Ended successfully.
    Done,
    /// Ended with an error and is not tried again.
    Failed,
    /// Cancelled by its caller or an operator, before a start or by a stop.
    Cancelled,
    /// Lost with an unknown outcome, and not to be repeated.
    Unknown,
}

impl JobState {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Waiting | JobState::Placed)
    }

    /// Returns the lower-case name.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Waiting => "waiting",
            JobState::Placed => "placed",
            JobState::Done => "done",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
            JobState::Unknown => "unknown",
        }
    }
}

/// What a caller submits as a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the pool whose hosts run it.
    pub pool: String,
    /// Its class, batch by default.
    #[serde(default = "batch")]
    pub class: Class,
    /// Declared number of cores.
    #[serde(default = "one")]
    pub cores: u32,
    /// Declared memory in MB.
    #[serde(default)]
    pub memory_mb: u64,
    /// Declared run time, used until run times of the account in the pool are known; 0 if unknown.
    #[serde(default)]
    pub run_ms: Millis,
    /// Whether it may be run again after an attempt failed, was lost or was stopped.
    #[serde(default)]
    pub repeatable: bool,
    /// Passed to the task unchanged.
    #[serde(default)]
    pub payload: String,
}

fn batch() -> Class {
    Class::Batch
}

fn one() -> u32 {
    1
}

/// A job's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Name of the account that it belongs to.
    pub account: String,
    /// What was submitted.
    pub spec: JobSpec,
    /// Current state of the job.
    pub state: JobState,
    /// Number of the last attempt, 0 before the first.
    pub attempt: u32,
    /// Id of the host of the last attempt; `None` while it waits.
    pub host: Option<String>,
    /// Ids of the hosts on which attempts have failed, one for each failure.
    pub failed_on: Vec<String>,
    /// Number of attempts that were lost and repeated so far.
    pub losses: u32,
    /// Whether a cancellation was requested.
    pub cancel: bool,
    /// Wall-clock time of its acceptance.
    pub submitted_ms: Millis,
    /// Latest steps, oldest first.
    pub history: Vec<Step>,
}

/// Whether an entry is registered or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Registered; a draining host is not rebooted or moved before this entry has released the host.
    Live,
    /// Shut down, or confirmed by an operator to have ended.
    Left,
}

/// An entry's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Random number, new with each start.
    pub incarnation: u64,
    /// Whether it is registered or has ended.
    pub state: EntryState,
    /// Address at which its peers reach it.
    pub peer: String,
    /// Name of its data hall.
    pub hall: String,
    /// The table's sequence number up to which its routes include all changes.
    pub view_seq: u64,
    /// Leaving hosts on which it has requests in flight.
    pub busy: Vec<String>,
}

/// A run under a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRow {
    /// SHA-256 of the request, in hexadecimal.
    pub digest: String,
    /// Name of the entry that claimed the key.
    pub entry: String,
    /// That entry's incarnation.
    pub incarnation: u64,
    /// Id of the request at that entry.
    pub request: String,
    /// Wall-clock time of the claim.
    pub at_ms: Millis,
    /// Current state of the run.
    pub state: RunState,
}

/// The state of a run under a caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// The request may have been sent.
    Claimed,
    /// The request was certainly not run; the key may be claimed again.
    NotRun,
    /// It is unknown whether the request was run; it is not sent again.
    Lost,
    /// The request was run, with this answer.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the body.
        media: String,
        /// The body, if it is text and small.
        body: Option<String>,
        /// Name of the object that holds the body otherwise.
        object: Option<String>,
    },
}
