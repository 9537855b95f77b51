//! In-memory table of the stand-in platform: conditional transactions, and changes after a sequence number. The
//! platform, the experiments and the tests use it.

use std::collections::BTreeMap;

use rockwick::port::{Attempt, Changes, Expect, Row, Transaction};

/// Largest number of rows in one answer of changes.
const PAGE_ROWS: usize = 1_000;

/// Holds all rows, by key and by version.
#[derive(Default)]
pub struct Rows {
    /// Rows by key; a deleted row stays, without a value.
    pub rows: BTreeMap<String, Row>,
    by_version: BTreeMap<u64, String>,
    /// Sequence number of the last change.
    pub seq: u64,
}

impl Rows {
    fn is_met(&self, key: &str, expect: Expect) -> bool {
        let row = self.rows.get(key);
        match expect {
            Expect::Absent => row.is_none_or(|r| r.value.is_none()),
            Expect::Version(v) => row.is_some_and(|r| r.version == v),
        }
    }

    /// Applies a transaction whole or not at all; stores its values unchanged.
    pub fn apply(&mut self, txn: &Transaction) -> Attempt {
        let checks = txn.checks.iter().map(|c| (&c.key, c.expect));
        let puts = txn.puts.iter().map(|p| (&p.key, p.expect));
        if !checks.chain(puts).all(|(k, e)| self.is_met(k, e)) {
            return Attempt::Conflict;
        }
        for put in &txn.puts {
            self.seq += 1;
            let old = self.rows.get(&put.key).map_or(0, |r| r.version);
            self.by_version.remove(&old);
            self.by_version.insert(self.seq, put.key.clone());
            let row = Row {
                key: put.key.clone(),
                version: self.seq,
                value: put.value.clone(),
            };
            self.rows.insert(put.key.clone(), row);
        }
        Attempt::Committed(self.seq)
    }

    /// Applies a transaction like [`Rows::apply`], with each value wrapped together with the transaction's token; for
    /// callers that bypass the adapter, which does the wrapping otherwise.
    pub fn apply_with_token(&mut self, txn: &Transaction) -> Attempt {
        let mut stamped = txn.clone();
        for put in &mut stamped.puts {
            let value = put.value.take();
            put.value = value.map(|v| format!("{{\"token\":\"{}\",\"body\":{v}}}", txn.token));
        }
        self.apply(&stamped)
    }

    /// Returns the rows that changed after `since`, in these spaces, or in all spaces if none is given.
    pub fn changes(&self, since: u64, spaces: &[&str]) -> Changes {
        let mut changes = Changes {
            seq: self.seq,
            ..Changes::default()
        };
        for (version, key) in self.by_version.range(since + 1..) {
            let space = key.split('/').next().unwrap_or_default();
            if !spaces.is_empty() && !spaces.contains(&space) {
                continue;
            }
            if changes.rows.len() == PAGE_ROWS {
                changes.seq = version - 1;
                changes.more = true;
                break;
            }
            changes.rows.extend(self.rows.get(key).cloned());
        }
        changes
    }
}
