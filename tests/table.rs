//! An in-memory table for contract tests and for the model, with answers that get lost on order.

use std::collections::{BTreeMap, VecDeque};
use std::future::{ready, Future};
use std::sync::Mutex;

use rockwick::platform::{Attempt, Changes, Down, Expect, Row, Table, Transaction};

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

#[derive(Default)]
pub(crate) struct Rows {
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) seq: u64,
}

impl Rows {
    fn holds(&self, key: &str, expect: Expect) -> bool {
        let row = self.rows.get(key);
        match expect {
            Expect::Absent => row.is_none_or(|r| r.value.is_none()),
            Expect::Version(v) => row.is_some_and(|r| r.version == v),
        }
    }

    /// Applies a transaction whole or not at all.
    pub(crate) fn apply(&mut self, txn: &Transaction) -> Attempt {
        let checks = txn.checks.iter().map(|c| (&c.key, c.expect));
        let puts = txn.puts.iter().map(|p| (&p.key, p.expect));
        if !checks.chain(puts).all(|(k, e)| self.holds(k, e)) {
            return Attempt::Conflict;
        }
        for put in &txn.puts {
            self.seq += 1;
            let value = put
                .value
                .as_ref()
                .map(|v| format!("{{\"token\":\"{}\",\"body\":{v}}}", txn.token));
            let row = Row {
                key: put.key.clone(),
                version: self.seq,
                value,
            };
            self.rows.insert(put.key.clone(), row);
        }
        Attempt::Committed(self.seq)
    }

    pub(crate) fn changes(&self, since: u64) -> Changes {
        let mut rows: Vec<Row> = self
            .rows
            .values()
            .filter(|r| r.version > since)
            .cloned()
            .collect();
        rows.sort_by_key(|r| r.version);
        Changes {
            seq: self.seq,
            rows,
            more: false,
        }
    }
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
            rows.apply(&late);
        }
        match fate {
            Fate::Answered => rows.apply(txn),
            Fate::AnswerLost => {
                rows.apply(txn);
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
        ready(Ok(self.inner.lock().unwrap().changes(since)))
    }

    fn send(&self, txn: &Transaction) -> impl Future<Output = Attempt> + Send {
        ready(self.meet(txn))
    }
}
