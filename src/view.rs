//! What an entry's operators' interface answers, as the commands read it.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::core::rows::{HostRow, JobRow, WaveRow};
use crate::event::Decision;

/// An entry, as another one sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryView {
    /// Name.
    pub name: String,
    /// `self`, `alive`, `silent`, `left` or `ended`.
    pub state: String,
    /// Configuration in force there, as last heard; 0 where never heard.
    pub config_version: u64,
    /// Its routes have taken in the table up to here, as last heard.
    pub view_seq: u64,
    /// Since it was heard.
    pub silent_ms: Option<Millis>,
}

/// `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub entry: String,
    /// Whether it serves.
    pub ready: bool,
    /// `ok` or `down`.
    pub store: String,
    /// Whether it hears neither the table nor any peer.
    pub isolated: bool,
    /// Configuration in force here.
    pub config_version: u64,
    /// The table is known here up to this number.
    pub seq: u64,
    /// All entries.
    pub entries: Vec<EntryView>,
    /// Hosts by state.
    pub hosts: Vec<(String, usize)>,
    /// Jobs by state.
    pub jobs: Vec<(String, usize)>,
}

/// A pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolView {
    /// Name.
    pub name: String,
    /// Account.
    pub account: String,
    /// Hosts that it has.
    pub hosts: usize,
    /// Hosts that it asks for.
    pub wanted: usize,
    /// Hosts that serve and are alive.
    pub serving: usize,
    /// Hosts that must serve.
    pub serving_min: usize,
    /// Hosts on their way out, out, or not yet back.
    pub out: usize,
    /// The failure that must be survivable on top.
    pub reserve: String,
    /// The entry that decides for it, as seen here.
    pub decided_by: String,
    /// Its hosts.
    pub members: Vec<String>,
}

/// A host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostView {
    /// Name.
    pub id: String,
    /// Data hall.
    pub hall: String,
    /// Rack.
    pub rack: String,
    /// What the platform says: `live`, `leaving`, `gone` or `unlisted`.
    pub life: String,
    /// Our row on it.
    pub row: HostRow,
    /// Placed jobs.
    pub jobs: Vec<String>,
    /// What still holds it, while it drains.
    pub held_by: Vec<String>,
}

/// A wave.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaveView {
    /// Id.
    pub id: String,
    /// Our row on it.
    pub row: WaveRow,
    /// Hosts that it still has to take or to bring back.
    pub left: usize,
}

/// A job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobView {
    /// Id.
    pub id: String,
    /// Our row on it.
    pub row: JobRow,
}

/// The configuration in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TemplateView {
    /// Version, 0 for none.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// One line of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Wall clock of the entry that wrote it.
    pub at_ms: Millis,
    /// That entry.
    pub entry: String,
    /// Number of the event, 0 for a step of the row's own history.
    pub event: u16,
    /// What happened and why.
    pub what: String,
}

impl Line {
    /// A decision that an entry logged.
    pub fn of(entry: &str, d: &Decision) -> Self {
        let names = d.names.iter().map(|(n, v)| format!("{n}={v}"));
        let figures = d.figures.iter().map(|(n, v)| format!("{n}={v}"));
        let figures: Vec<String> = names.chain(figures).collect();
        let code = d.code.entry();
        let what = match figures.is_empty() {
            true => format!("{}: {}", code.name, d.why),
            false => format!("{}: {} ({})", code.name, d.why, figures.join(" ")),
        };
        Line {
            at_ms: d.at_ms,
            entry: entry.to_string(),
            event: code.number,
            what,
        }
    }
}
