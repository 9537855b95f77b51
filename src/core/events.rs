//! The input and output of an entry's reducer: events that it takes in, and effects that it requests.
//!
//! The entry's control thread creates the events and carries out the effects.

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
    Changes, HostInfo, Listing, OrderAnswer, Outcome, Reports, TaskRef, TaskStart, Transaction,
};

/// Identifies a request of an operator, a caller or a peer that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// An event that the reducer takes in.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// The table's sequence number up to which the routes in force include all changes.
        published_seq: u64,
        /// Ids of leaving hosts on which this entry had requests in flight while these routes were in force.
        busy: Vec<String>,
    },
    /// A read of the table ended.
    TableRead {
        /// When the read began.
        begun_ms: Millis,
        /// The rows read; `None` if the table did not answer.
        changes: Option<Changes>,
    },
    /// The platform's host list was read; `None` if it did not answer or the list has not changed.
    HostsRead(Option<Listing>),
    /// Task reports were read; `None` if the platform did not answer.
    ReportsRead(Option<Reports>),
    /// A transaction of this entry ended.
    Committed {
        /// Key of the transaction.
        txn: TxnKey,
        /// Whether it was committed.
        outcome: Outcome,
    },
    /// A peer answered a poll that this entry sent.
    PeerAnswered {
        /// When the poll began.
        begun_ms: Millis,
        /// The peer's report about itself.
        digest: Digest,
        /// Rows that this entry lacked when it polled, or the first part of them.
        changes: Changes,
        /// Whether the peer has a complete view of the table, read from the table or received from another entry.
        complete: bool,
        /// The peer's host list, if this entry had none.
        hosts: Vec<HostInfo>,
    },
    /// A peer polled this entry.
    PeerPolled {
        /// The request to answer.
        ticket: Ticket,
        /// The peer's report about itself.
        digest: Digest,
        /// The table's sequence number up to which the peer has all rows.
        since: u64,
    },
    /// An operator or a caller requested a change.
    EditRequested {
        /// The request to answer.
        ticket: Ticket,
        /// The requested change.
        edit: Edit,
    },
    /// The platform answered a start order, or the answer was lost.
    StartAnswered {
        /// The attempt to be started.
        task: TaskRef,
        /// `None` if the answer was lost.
        answer: Option<OrderAnswer>,
    },
    /// The platform answered a stop order, or the answer was lost.
    StopAnswered {
        /// The attempt to be stopped.
        task: TaskRef,
        /// `None` if the answer was lost.
        answer: Option<OrderAnswer>,
    },
    /// The platform answered a reboot order, or the answer was lost.
    RebootAnswered {
        /// Id of the host.
        host: String,
        /// Whether the platform accepted the order; `false` also if the answer was lost. An order that was not accepted
        /// is sent again.
        accepted: bool,
    },
    /// The entry must shut down.
    Stop,
}

/// An action that the reducer requests.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Read the table's changes.
    ReadTable {
        /// The table's sequence number up to which all changes are known.
        since: u64,
    },
    /// Read the host list.
    ReadHosts,
    /// Read the task reports.
    ReadReports {
        /// The sequence number up to which all reports are known.
        since: u64,
    },
    /// Commit a transaction and report its outcome as [`Event::Committed`].
    Commit {
        /// Key of the transaction.
        txn: TxnKey,
        /// The checks and writes.
        transaction: Transaction,
    },
    /// Publish these routes to the traffic threads.
    Publish(Box<RouteTable>),
    /// Start a task.
    StartTask(TaskStart),
    /// Stop a task, or make sure that it never starts.
    StopTask(TaskRef),
    /// Renew the leases of tasks.
    RenewTasks(Vec<TaskRef>),
    /// Reboot a host.
    Reboot {
        /// Id of the host.
        host: String,
        /// Identifies the maintenance, so that a repeated order has no further effect.
        token: String,
    },
    /// Answer an operator or a caller.
    Answer {
        /// The request to answer.
        ticket: Ticket,
        /// The reply, or why the change was refused or failed.
        result: Result<Reply, Failure>,
    },
    /// Answer a peer.
    AnswerPeer {
        /// The request to answer.
        ticket: Ticket,
        /// This entry's report about itself.
        digest: Digest,
        /// Rows that the peer lacks, or the first part of them.
        changes: Changes,
        /// Whether this entry has a complete view of the table, read from the table or received from another entry.
        complete: bool,
        /// The host list, if the peer has none.
        hosts: Vec<HostInfo>,
    },
    /// Log a decision.
    Log(Decision),
}

/// Why a transaction was sent, and what to do with its outcome.
#[derive(Debug)]
pub enum Purpose {
    /// Registers this entry.
    Register,
    /// Records that this entry has released leaving hosts, for peers that may not have received its report.
    Acknowledge,
    /// Records that this entry has shut down.
    Leave,
    /// Records a decision of this entry. The given line is logged once the transaction is committed.
    Decision(Decision),
    /// Makes a change that an operator or a caller requested.
    Edit {
        /// The request to answer.
        ticket: Ticket,
        /// The answer that is sent once the transaction is committed.
        reply: Reply,
        /// The line that is logged once the transaction is committed.
        line: Decision,
    },
    /// Applies a new configuration. After a conflict, the answer lists the differences between `base` and the
    /// configuration that is in force by then.
    Apply {
        /// The request to answer.
        ticket: Ticket,
        /// The version that the new configuration gets.
        version: u64,
        /// The configuration in force when the transaction was sent.
        base: Arc<Config>,
    },
}
