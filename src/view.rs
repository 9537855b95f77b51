//! JSON bodies of the answers of the operators' interface (`/v1/...`).
//!
//! The admin server builds them from its state, and the commands of the binary parse them. Field names are part of
//! that interface.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::core::rows::{HostRow, JobRow, WaveRow};
use crate::event::Decision;

/// One entry as the answering entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryView {
    /// Name of the entry.
    pub name: String,
    /// `self`, `alive`, `silent`, `left` or `ended`.
    pub state: String,
    /// Version of the configuration that the entry last reported as in force; 0 if it never reported one.
    pub config_version: u64,
    /// Sequence number of the platform's table up to which the entry last reported its routes as current; 0 if it never
    /// reported one.
    pub view_seq: u64,
    /// Time since the entry was last heard from; `None` if it never was, or if it is the answering entry itself.
    pub silent_ms: Option<Millis>,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry that answers.
    pub entry: String,
    /// Whether the entry may send requests to backend servers and is not stopping, as `/readyz` reports.
    pub ready: bool,
    /// State of the platform's table as seen from here: `ok` or `down`.
    pub store: String,
    /// Whether neither the table nor any peer answers.
    pub isolated: bool,
    /// Version of the configuration in force here.
    pub config_version: u64,
    /// Sequence number of the platform's table up to which the rows are known here.
    pub seq: u64,
    /// All known entries.
    pub entries: Vec<EntryView>,
    /// Number of hosts in each state.
    pub hosts: Vec<(String, usize)>,
    /// Number of jobs in each state.
    pub jobs: Vec<(String, usize)>,
}

/// A pool as `GET /v1/pools` lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolView {
    /// Name of the pool.
    pub name: String,
    /// Account that owns the pool; empty if the pool is not configured.
    pub account: String,
    /// Number of hosts that belong to the pool.
    pub hosts: usize,
    /// Number of hosts that its configuration asks for.
    pub wanted: usize,
    /// Number of hosts that serve and are alive.
    pub serving: usize,
    /// Minimum number of serving hosts by its availability budget.
    pub serving_min: usize,
    /// Number of hosts that are draining, out or returning.
    pub out: usize,
    /// Failure that the pool must survive beyond planned absences: `none`, `host` or `rack`.
    pub reserve: String,
    /// Entry that makes decisions for the pool, as seen here; empty if there is none.
    pub decided_by: String,
    /// Names of the pool's hosts.
    pub members: Vec<String>,
}

/// A host as `GET /v1/hosts` lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the host.
    pub id: String,
    /// Data hall that the host stands in.
    pub hall: String,
    /// Rack within the hall.
    pub rack: String,
    /// State on the platform's host list: `live`, `leaving`, `gone` or `unlisted`.
    pub life: String,
    /// Its row in the platform's table.
    pub row: HostRow,
    /// Ids of the jobs placed on it.
    pub jobs: Vec<String>,
    /// What its drain still waits for; empty unless it is draining.
    pub held_by: Vec<String>,
}

/// A maintenance wave as `GET /v1/waves` lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaveView {
    /// Id of the wave.
    pub id: String,
    /// Its row in the platform's table.
    pub row: WaveRow,
    /// Number of hosts that the wave has still to take out or to bring back.
    pub left: usize,
}

/// A job as `GET /v1/jobs` lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// Its row in the platform's table.
    pub row: JobRow,
}

/// The configuration in force, as `GET /v1/template` returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TemplateView {
    /// Version; 0 if there is no configuration.
    pub version: u64,
    /// TOML text as the operator applied it.
    pub text: String,
}

/// One line of the answer to `GET /v1/explain/{kind}/{id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Wall-clock time at the entry that wrote it.
    pub at_ms: Millis,
    /// Name of that entry.
    pub entry: String,
    /// Number of the log event; 0 for a step from the history stored in the row.
    pub event: u16,
    /// What happened and why.
    pub what: String,
}

impl Line {
    /// Formats a decision that `entry` logged, with its names and figures in parentheses.
    pub fn from_decision(entry: &str, d: &Decision) -> Self {
        let names = d.names.iter().map(|(n, v)| format!("{n}={v}"));
        let figures = d.figures.iter().map(|(n, v)| format!("{n}={v}"));
        let pairs: Vec<String> = names.chain(figures).collect();
        let code = d.code.info();
        let what = match pairs.is_empty() {
            true => format!("{}: {}", code.name, d.why),
            false => format!("{}: {} ({})", code.name, d.why, pairs.join(" ")),
        };
        Line {
            at_ms: d.at_ms,
            entry: entry.to_string(),
            event: code.number,
            what,
        }
    }
}
