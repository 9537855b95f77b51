//! Decides what the answers to the attempts at inserting a row mean.

use crate::port::fleet::{StoredRow, Table, TxOutcome};

/// The number of refusals after which the caller is sent to another entry: two for each of the two partitions of a job.
const REFUSALS_MAX: u32 = 4;

/// The outcome of inserting a row that must not exist yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The row was inserted.
    Done,
    /// A condition did not hold; the rows are as they were.
    Conflict(Vec<(Table, StoredRow)>),
    /// The row was not inserted and will not be.
    NotDone,
    /// The row may have been inserted, or may still be.
    Unsure,
}

/// The attempts at inserting a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    may_be_done: bool,
    refusals: u32,
}

impl Attempts {
    /// Notes the answer to an attempt. Returns the outcome, or `None` if another attempt may be made.
    pub fn note(&mut self, answer: TxOutcome) -> Option<InsertOutcome> {
        match answer {
            TxOutcome::Committed(_) => return Some(InsertOutcome::Done),
            TxOutcome::Conflict(found) => return Some(InsertOutcome::Conflict(found)),
            TxOutcome::Unknown => self.may_be_done = true,
            TxOutcome::Refused => self.refusals += 1,
        }
        let is_refused = !self.may_be_done && self.refusals >= REFUSALS_MAX;
        is_refused.then_some(InsertOutcome::NotDone)
    }

    /// Returns the outcome if no further attempt is made.
    pub fn stop(self) -> InsertOutcome {
        match self.may_be_done {
            true => InsertOutcome::Unsure,
            false => InsertOutcome::NotDone,
        }
    }
}
