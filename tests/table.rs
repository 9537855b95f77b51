//! An in-memory table for contract tests and for the model, with answers that get lost on order.

use std::collections::VecDeque;
use std::future::{ready, Future};
use std::sync::Mutex;

use rockwick::port::{Attempt, Changes, Down, Row, Table, Transaction};
use standin::rows::Rows;

/// What happens to one sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect, the answer is lost.
    AnswerLost,
    /// It is lost before it takes effect.
    Lost,
    /// Not one byte went out.
    NotSent,
    /// It takes effect only when the next one arrives, and is not answered.
    Late,
}

/// A table whose sendings meet the fates given, then are answered.
#[derive(Default)]
pub(crate) struct FakeTable {
    pub(crate) inner: Mutex<Rows>,
    pub(crate) fates: Mutex<VecDeque<Fate>>,
    late: Mutex<Option<Transaction>>,
    pub(crate) reads_down: Mutex<bool>,
}

impl FakeTable {
    pub(crate) fn with_fates(fates: &[Fate]) -> Self {
        Self {
            fates: Mutex::new(fates.iter().copied().collect()),
            ..Self::default()
        }
    }

    fn meet(&self, txn: &Transaction) -> Attempt {
        let fate = self
            .fates
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or(Fate::Answered);
        let mut rows = self.inner.lock().unwrap();
        if let Some(late) = self.late.lock().unwrap().take() {
            rows.apply_with_token(&late);
        }
        match fate {
            Fate::Answered => rows.apply_with_token(txn),
            Fate::AnswerLost => {
                rows.apply_with_token(txn);
                Attempt::Lost
            }
            Fate::Lost => Attempt::Lost,
            Fate::NotSent => Attempt::NotSent,
            Fate::Late => {
                *self.late.lock().unwrap() = Some(txn.clone());
                Attempt::Lost
            }
        }
    }
}

impl Table for FakeTable {
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Down>> + Send {
        let down = *self.reads_down.lock().unwrap();
        let row = self.inner.lock().unwrap().rows.get(key).cloned();
        ready(if down { Err(Down) } else { Ok(row) })
    }

    fn changes(
        &self,
        since: u64,
        _spaces: &[&str],
    ) -> impl Future<Output = Result<Changes, Down>> + Send {
        ready(Ok(self.inner.lock().unwrap().changes(since, &[])))
    }

    fn send(&self, txn: &Transaction) -> impl Future<Output = Attempt> + Send {
        ready(self.meet(txn))
    }
}
