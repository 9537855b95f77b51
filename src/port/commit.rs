//! Repeats a transaction until its outcome is known, or reports that it is unknown.
//!
//! Every row carries the token of the transaction that wrote it. After a lost answer, the same transaction is sent
//! again: one of the two attempts is applied, and the other attempt conflicts with a row that carries the transaction's
//! own token.

use std::time::Duration;

use smol::Timer;

use super::{Attempt, Outcome, Stamped, Table, Transaction};
use crate::clock::Millis;

/// How often a transaction is sent, and how long the pauses between are.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// The largest number of attempts.
    pub attempts_max: u32,
    /// The pause before the second attempt; each later one is about twice as long, with jitter.
    pub pause_ms: Millis,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts_max: 4,
            pause_ms: 100,
        }
    }
}

/// Commits `txn`; after a lost answer, the token in the rows shows whether it was applied.
pub async fn commit<T: Table>(table: &T, txn: &Transaction, policy: RetryPolicy) -> Outcome {
    let mut maybe_applied = false;
    for n in 0..policy.attempts_max {
        if n > 0 {
            pause(policy.pause_ms << (n - 1)).await;
        }
        match table.send(txn).await {
            Attempt::Committed(seq) => return Outcome::Committed(seq),
            Attempt::NotSent => {}
            Attempt::Lost => maybe_applied = true,
            Attempt::Conflict if !maybe_applied => return Outcome::Conflict,
            Attempt::Conflict => {
                if let Some(outcome) = resolve_conflict(table, txn).await {
                    return outcome;
                }
            }
        }
    }
    if maybe_applied {
        Outcome::Unknown
    } else {
        Outcome::NotSent
    }
}

/// Reads the rows after a conflict and looks for the transaction's own token. Returns `None` if the table did not
/// answer, and [`Outcome::Unknown`] if no row proves anything.
///
/// A row that still has the expected version proves that the transaction was never applied. A row with another token
/// proves nothing, since another transaction may have overwritten the row of this one.
async fn resolve_conflict<T: Table>(table: &T, txn: &Transaction) -> Option<Outcome> {
    for put in &txn.puts {
        let row = table.get(&put.key).await.ok()?;
        if row.as_ref().is_some_and(|r| is_written_by(r, &txn.token)) {
            return Some(Outcome::Committed(row.map_or(0, |r| r.version)));
        }
        if row.as_ref().map_or(0, |r| r.version) == expected_version(put.expect) {
            return Some(Outcome::Conflict);
        }
    }
    Some(Outcome::Unknown)
}

/// Returns the version that a row must have, with 0 for an absent row.
fn expected_version(expect: super::Expect) -> u64 {
    match expect {
        super::Expect::Absent => 0,
        super::Expect::Version(v) => v,
    }
}

/// Whether `row` was written by the transaction with this token.
fn is_written_by(row: &super::Row, token: &str) -> bool {
    row.value
        .as_deref()
        .and_then(|v| serde_json::from_str::<Stamped<serde::de::IgnoredAny>>(v).ok())
        .is_some_and(|s| s.token == token)
}

async fn pause(ms: Millis) {
    let jittered = ms / 2 + fastrand::u64(0..=ms);
    Timer::after(Duration::from_millis(jittered)).await;
}
