//! What happens to an entry, and what it wants done: the reducer's input and output.

use std::sync::Arc;

use super::config::Config;
use super::members::Digest;
use super::operate::{Edit, Reply};
use super::routes::RouteTable;
use super::state::TxnKey;
use crate::clock::Millis;
use crate::error::Failure;
use crate::event::Decision;
use crate::port::{
    Changes, HostFact, Listing, OrderAnswer, Outcome, Reports, TaskRef, TaskStart, Transaction,
};

/// Names an operator's or caller's question that awaits its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// What can happen to an entry.
#[derive(Debug)]
pub enum Event {
    /// Time passed. With the leaving hosts that have requests in flight here, counted under routes that
    /// take the table in up to `published_seq`.
    Tick {
        /// Up to where the routes in force take the table in.
        published_seq: u64,
        /// Leaving hosts with requests in flight.
        busy: Vec<String>,
    },
    /// A read of the table that began at `begun_ms` ended.
    TableRead {
        /// When it began.
        begun_ms: Millis,
        /// What it gave; nothing where the table did not answer.
        changes: Option<Changes>,
    },
    /// The platform's host list was read; nothing where it did not answer or has not changed.
    HostsRead(Option<Listing>),
    /// Task reports were read.
    ReportsRead(Option<Reports>),
    /// A transaction of ours came to its end.
    Committed {
        /// Which.
        txn: TxnKey,
        /// How.
        outcome: Outcome,
    },
    /// A peer answered our poll.
    PeerAnswered {
        /// When the poll began.
        begun_ms: Millis,
        /// What the peer says of itself.
        digest: Digest,
        /// Rows that it has and we had not.
        changes: Changes,
        /// Whether the peer itself has a whole view.
        complete: bool,
        /// Its host list, where we had none.
        hosts: Vec<HostFact>,
    },
    /// A peer polls us; it is answered under `ticket`.
    PeerPolled {
        /// Where to answer.
        ticket: Ticket,
        /// What the peer says of itself.
        digest: Digest,
        /// Up to where it knows the table.
        since: u64,
    },
    /// An operator or a caller asks for a change.
    Asked {
        /// Where to answer.
        ticket: Ticket,
        /// The change.
        edit: Edit,
    },
    /// The platform answered a start.
    StartAnswered {
        /// The attempt.
        task: TaskRef,
        /// Nothing where the answer was lost.
        answer: Option<OrderAnswer>,
    },
    /// The platform answered a stop.
    StopAnswered {
        /// The attempt.
        task: TaskRef,
        /// Nothing where the answer was lost.
        answer: Option<OrderAnswer>,
    },
    /// The platform answered an order to reboot, or did not.
    RebootAnswered {
        /// Which host.
        host: String,
        /// Whether the order was taken; if not, it is given again.
        accepted: bool,
    },
    /// The entry was told to stop.
    Stop,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Read the table's changes.
    ReadTable {
        /// After this number.
        since: u64,
    },
    /// Read the host list.
    ReadHosts,
    /// Read the task reports.
    ReadReports {
        /// After this number.
        since: u64,
    },
    /// Commit a transaction and tell its outcome.
    Commit {
        /// Which.
        txn: TxnKey,
        /// What.
        transaction: Transaction,
    },
    /// Put these routes in force.
    Publish(Box<RouteTable>),
    /// Start a task.
    StartTask(TaskStart),
    /// Stop a task, or see to it that it never starts.
    StopTask(TaskRef),
    /// Renew leases.
    RenewTasks(Vec<TaskRef>),
    /// Reboot a host.
    Reboot {
        /// Which.
        host: String,
        /// Unique to this maintenance.
        token: String,
    },
    /// Answer an operator or a caller.
    Answer {
        /// Which.
        ticket: Ticket,
        /// What.
        result: Result<Reply, Failure>,
    },
    /// Answer a peer.
    AnswerPeer {
        /// Which.
        ticket: Ticket,
        /// Ourselves.
        digest: Digest,
        /// Rows that it lacks.
        changes: Changes,
        /// Whether our own view is whole.
        complete: bool,
        /// The host list, where the peer has none.
        hosts: Vec<HostFact>,
    },
    /// Log a decision.
    Log(Decision),
}

/// Why a transaction was sent.
#[derive(Debug)]
pub enum Purpose {
    /// To register this entry.
    Register,
    /// To acknowledge marks through the table.
    Acknowledge,
    /// To take this entry out in order.
    Leave,
    /// A decision of our own; the log line is due when it took effect.
    Decision(Decision),
    /// For an operator or a caller.
    Edit {
        /// Who asked.
        ticket: Ticket,
        /// The answer when it took effect.
        reply: Reply,
        /// The log line then.
        line: Decision,
    },
    /// A new configuration; a lost race is answered with what changed.
    Apply {
        /// Who asked.
        ticket: Ticket,
        /// The version it would become.
        version: u64,
        /// The configuration that it was based on.
        base: Arc<Config>,
    },
}
