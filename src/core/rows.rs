//! The rows that entries keep in the platform's table, and their names.

use serde::{Deserialize, Serialize};

use super::config::Class;
use crate::clock::Millis;

/// The spaces that every entry follows; runs under keys are read one by one instead.
pub const FOLLOWED: [&str; 6] = ["config", "entry", "host", "job", "pool", "wave"];

/// The row that says which configuration is in force.
pub const HEAD_KEY: &str = "config/head";

/// How many steps a row's own history keeps.
const HISTORY_MAX: usize = 12;

/// The name of a host's row.
pub fn host_key(id: &str) -> String {
    format!("host/{id}")
}

/// The name of a pool's row.
pub fn pool_key(name: &str) -> String {
    format!("pool/{name}")
}

/// The name of a wave's row.
pub fn wave_key(id: &str) -> String {
    format!("wave/{id}")
}

/// The name of a job's row.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// The name of an entry's row.
pub fn entry_key(name: &str) -> String {
    format!("entry/{name}")
}

/// The name of the row of a run under a caller's key.
pub fn run_key(account: &str, key: &str) -> String {
    format!("run/{account}/{key}")
}

/// The name of the row that keeps a version of the configuration for good.
pub fn history_key(version: u64) -> String {
    format!("history/{version}")
}

/// One step of a row's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Wall clock of the entry that wrote it.
    pub at_ms: Millis,
    /// The entry that wrote it.
    pub by: String,
    /// What happened and why.
    pub what: String,
}

/// Adds a step and drops the oldest beyond the bound.
pub fn push_step(history: &mut Vec<Step>, step: Step) {
    history.push(step);
    if history.len() > HISTORY_MAX {
        history.remove(0);
    }
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Counts up by one; a version is never changed or reused.
    pub version: u64,
    /// The operator's text, whole.
    pub text: String,
    /// The entry that took it.
    pub by: String,
    /// Wall clock of that entry.
    pub at_ms: Millis,
}

/// Where a host is in its life with us.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In no pool.
    #[default]
    Free,
    /// At work for its pool.
    Serving,
    /// Takes no new work; what is in flight ends.
    Draining,
    /// Let go by every entry; may be rebooted.
    Out,
    /// Back, and watched for a moment before it serves.
    Returning,
}

impl HostState {
    /// Lower-case name.
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
    /// A reboot, then back to the same pool.
    #[default]
    Maintenance,
    /// Out by an operator's wish, until it is returned; no reboot.
    Hold,
    /// To another pool.
    Move(String),
    /// Back to the free hosts.
    Release,
}

/// A host's pool and state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The one pool it belongs to, if any.
    pub pool: Option<String>,
    /// Its state.
    pub state: HostState,
    /// What it drains for; of meaning while draining or out.
    pub purpose: Purpose,
    /// The last wave that took it.
    pub wave: Option<String>,
    /// Boots counted when it went out.
    pub boots: u64,
    /// Wall clock of the last change of state.
    pub since_ms: Millis,
    /// What happened to it lately.
    pub history: Vec<Step>,
}

/// A pool's lock: written with every grant to leave and every change of its members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Hosts that are draining, out or returning.
    pub out: Vec<String>,
    /// Hosts moved in or out so far.
    pub moves: u64,
}

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WaveState {
    /// It takes hosts as budgets allow.
    Running,
    /// An operator stopped it; hosts already out come back.
    Stopped,
    /// Every host has been through.
    Done,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// The pool, or `*` for every host.
    pub pool: String,
    /// Whether it goes on.
    pub state: WaveState,
    /// Times of day it may work in; empty for the pool's own windows.
    pub windows: Vec<super::config::Window>,
    /// Wall clock of its start.
    pub started_ms: Millis,
    /// Wall clock of its end, 0 before.
    pub ended_ms: Millis,
    /// The entry that took the order.
    pub by: String,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Accepted, not placed.
    Waiting,
    /// Placed: this attempt may have started on its host.
    Placed,
    /// Ended well.
    Done,
    /// Ended with an error and is not tried again.
    Failed,
    /// Cancelled before any start, or stopped on the caller's wish.
    Cancelled,
    /// Lost sight of, and not to be repeated.
    Unknown,
}

impl JobState {
    /// Whether nothing more will happen to the job.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Waiting | JobState::Placed)
    }

    /// Lower-case name.
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

/// What a caller asks to have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The pool whose hosts run it.
    pub pool: String,
    /// Its class; batch where nothing is said.
    #[serde(default = "batch")]
    pub class: Class,
    /// Cores it is declared to need.
    #[serde(default = "one")]
    pub cores: u32,
    /// Memory it is declared to need.
    #[serde(default)]
    pub memory_mb: u64,
    /// Declared run time; learned against, 0 for not known.
    #[serde(default)]
    pub run_ms: Millis,
    /// Whether it may be run again after an attempt was lost.
    #[serde(default)]
    pub repeatable: bool,
    /// Handed to the task as it is.
    #[serde(default)]
    pub payload: String,
}

fn batch() -> Class {
    Class::Batch
}

fn one() -> u32 {
    1
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// The account that it belongs to.
    pub account: String,
    /// What was asked for.
    pub spec: JobSpec,
    /// How it stands.
    pub state: JobState,
    /// The last attempt, 0 before the first.
    pub attempt: u32,
    /// Where the last attempt was placed.
    pub host: Option<String>,
    /// Hosts on which an attempt has failed.
    pub failed_on: Vec<String>,
    /// Attempts lost or failed so far.
    pub losses: u32,
    /// Whether the caller wants it stopped.
    pub cancel: bool,
    /// Wall clock of its acceptance.
    pub submitted_ms: Millis,
    /// What happened to it.
    pub history: Vec<Step>,
}

/// Whether an entry is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Registered; must let go of a host before it is rebooted.
    Live,
    /// Stopped in order, or vouched for by an operator as ended.
    Left,
}

/// An entry's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Random, new with each start.
    pub incarnation: u64,
    /// Whether it is in service.
    pub state: EntryState,
    /// Where its peers reach it.
    pub peer: String,
    /// Its data hall.
    pub hall: String,
    /// Its routes have taken in the table up to here.
    pub view_seq: u64,
    /// Leaving hosts on which it has requests in flight.
    pub busy: Vec<String>,
}

/// A run under a caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRow {
    /// SHA-256 of the request, in hexadecimal.
    pub digest: String,
    /// The entry that claimed the key.
    pub entry: String,
    /// That entry's incarnation.
    pub incarnation: u64,
    /// The request's id there.
    pub request: String,
    /// Wall clock of the claim.
    pub at_ms: Millis,
    /// How it stands.
    pub state: RunState,
}

/// How a run under a key stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// It may be sent, or has been.
    Claimed,
    /// It was certainly not run; the key may be claimed again.
    NotRun,
    /// Nobody knows whether it was run; it is not sent again.
    Lost,
    /// It was run; this is the answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Media type.
        media: String,
        /// The body where it is text and small.
        body: Option<String>,
        /// The object that holds the body otherwise.
        object: Option<String>,
    },
}
