//! Decides what the answers to the attempts at inserting a row mean.

use super::rows::is_tombstone_key;
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
    /// Tombstones in both partitions of the job keep it out, now and later.
    KeptOut,
    /// The row may have been inserted, or may still be.
    Unsure,
}

/// The attempts at inserting a row. Those at inserting a job go to its two partitions by turns.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    made: usize,
    may_be_done: bool,
    refusals: u32,
    /// Whether a tombstone was found, by partition.
    is_kept_out: [bool; 2],
}

impl Attempts {
    /// Notes the answer to an attempt. Returns the outcome, or `None` if another attempt may be made.
    pub fn note(&mut self, answer: TxOutcome) -> Option<InsertOutcome> {
        let partition = self.made % self.is_kept_out.len();
        self.made += 1;
        match answer {
            TxOutcome::Committed(_) => return Some(InsertOutcome::Done),
            TxOutcome::Conflict(found) if is_only_tombstone(&found) => {
                self.is_kept_out[partition] = true;
                // Nothing was stored where the tombstone is, so this settles also the attempts without an answer.
                let is_settled = self.is_kept_out.iter().all(|is_kept_out| *is_kept_out);
                return is_settled.then_some(InsertOutcome::KeptOut);
            }
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

/// Whether a conflict is due to a tombstone, and the job is not stored in that partition.
fn is_only_tombstone(found: &[(Table, StoredRow)]) -> bool {
    let present = found.iter().filter(|(_, row)| row.value.is_some());
    let mut present = present.peekable();
    present.peek().is_some() && present.all(|(_, row)| is_tombstone_key(&row.key))
}
