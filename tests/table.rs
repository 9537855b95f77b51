//! An in-memory table for contract tests that loses requests and answers as the test orders.

use std::collections::VecDeque;
use std::future::{ready, Future};
use std::sync::Mutex;

use rockwick::port::{Attempt, Changes, Down, Row, Table, Transaction};
use standin::rows::Rows;

/// What happens to one attempt to send a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The transaction takes effect and is answered.
    Answered,
    /// The transaction takes effect and its answer is lost.
    AnswerLost,
    /// The transaction is lost before it takes effect.
    Lost,
    /// No byte of the request was sent.
    NotSent,
    /// The transaction takes effect when the next one arrives, and is not answered.
    Late,
}

/// A table whose first attempts have the given outcomes; all later ones are answered.
#[derive(Default)]
pub(crate) struct FakeTable {
    pub(crate) rows: Mutex<Rows>,
    pub(crate) send_outcomes: Mutex<VecDeque<SendOutcome>>,
    late_txn: Mutex<Option<Transaction>>,
    pub(crate) are_reads_down: Mutex<bool>,
}

impl FakeTable {
    pub(crate) fn with_outcomes(send_outcomes: &[SendOutcome]) -> Self {
        Self {
            send_outcomes: Mutex::new(send_outcomes.iter().copied().collect()),
            ..Self::default()
        }
    }

    fn apply_next(&self, txn: &Transaction) -> Attempt {
        let outcome = self
            .send_outcomes
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or(SendOutcome::Answered);
        let mut rows = self.rows.lock().unwrap();
        if let Some(late) = self.late_txn.lock().unwrap().take() {
            rows.apply_with_token(&late);
        }
        match outcome {
            SendOutcome::Answered => rows.apply_with_token(txn),
            SendOutcome::AnswerLost => {
                rows.apply_with_token(txn);
                Attempt::Lost
            }
            SendOutcome::Lost => Attempt::Lost,
            SendOutcome::NotSent => Attempt::NotSent,
            SendOutcome::Late => {
                *self.late_txn.lock().unwrap() = Some(txn.clone());
                Attempt::Lost
            }
        }
    }
}

impl Table for FakeTable {
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Down>> + Send {
        let down = *self.are_reads_down.lock().unwrap();
        let row = self.rows.lock().unwrap().rows.get(key).cloned();
        ready(if down { Err(Down) } else { Ok(row) })
    }

    fn changes(
        &self,
        since: u64,
        _spaces: &[&str],
    ) -> impl Future<Output = Result<Changes, Down>> + Send {
        ready(Ok(self.rows.lock().unwrap().changes(since, &[])))
    }

    fn send(&self, txn: &Transaction) -> impl Future<Output = Attempt> + Send {
        ready(self.apply_next(txn))
    }
}
