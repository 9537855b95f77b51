//! The table in memory: conditional transactions and changes since a number.

use std::collections::BTreeMap;

use rockwick::port::{Attempt, Changes, Expect, Row, Transaction};

/// Rows in one answer.
const PAGE_ROWS: usize = 1_000;

/// All rows, by name and by version.
#[derive(Default)]
pub struct Rows {
    /// By name; a deleted row stays, without a value.
    pub rows: BTreeMap<String, Row>,
    by_version: BTreeMap<u64, String>,
    /// The last sequence number.
    pub seq: u64,
}

impl Rows {
    fn holds(&self, key: &str, expect: Expect) -> bool {
        let row = self.rows.get(key);
        match expect {
            Expect::Absent => row.is_none_or(|r| r.value.is_none()),
            Expect::Version(v) => row.is_some_and(|r| r.version == v),
        }
    }

    /// Applies a transaction whole or not at all; its values are stored as they are.
    pub fn apply(&mut self, txn: &Transaction) -> Attempt {
        let checks = txn.checks.iter().map(|c| (&c.key, c.expect));
        let puts = txn.puts.iter().map(|p| (&p.key, p.expect));
        if !checks.chain(puts).all(|(k, e)| self.holds(k, e)) {
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

    /// As [`Rows::apply`], with the token wrapped around each value, for callers that skip the adapter.
    pub fn apply_stamped(&mut self, txn: &Transaction) -> Attempt {
        let mut stamped = txn.clone();
        for put in &mut stamped.puts {
            let value = put.value.take();
            put.value = value.map(|v| format!("{{\"token\":\"{}\",\"body\":{v}}}", txn.token));
        }
        self.apply(&stamped)
    }

    /// Rows that changed after `since`; of all spaces where none is named.
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
