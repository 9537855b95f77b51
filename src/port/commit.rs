//! Sends a transaction until its outcome is known, or says that it is not.
//!
//! Every row carries the token of the transaction that wrote it. So a lost answer is settled by
//! sending the same transaction again: either of the two goes through, and the conflict that the
//! other meets is with our own token.

use std::time::Duration;

use smol::Timer;

use super::{Attempt, Outcome, Stamped, Table, Transaction};
use crate::clock::Millis;

/// How long and how often a transaction is tried.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// How many times it is sent at most.
    pub sends: u32,
    /// The first pause; each later one is about double, with jitter.
    pub pause_ms: Millis,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            sends: 4,
            pause_ms: 100,
        }
    }
}

/// Commits `txn`, settling lost answers by its token.
pub async fn commit<T: Table>(table: &T, txn: &Transaction, patience: Patience) -> Outcome {
    let mut maybe_applied = false;
    for n in 0..patience.sends {
        if n > 0 {
            pause(patience.pause_ms << (n - 1)).await;
        }
        match table.send(txn).await {
            Attempt::Committed(seq) => return Outcome::Committed(seq),
            Attempt::NotSent => {}
            Attempt::Lost => maybe_applied = true,
            Attempt::Conflict if !maybe_applied => return Outcome::Conflict,
            Attempt::Conflict => {
                if let Some(outcome) = settle(table, txn).await {
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

/// Looks for our token behind a conflict. `None` if the table did not answer.
///
/// One row that stands as we expected it proves that we were never applied. A row of somebody else's
/// proves nothing: it may have been written over ours.
async fn settle<T: Table>(table: &T, txn: &Transaction) -> Option<Outcome> {
    for put in &txn.puts {
        let row = table.get(&put.key).await.ok()?;
        if row.as_ref().is_some_and(|r| stamped_by(r, &txn.token)) {
            return Some(Outcome::Committed(row.map_or(0, |r| r.version)));
        }
        if row.as_ref().map_or(0, |r| r.version) == expected_version(put.expect) {
            return Some(Outcome::Conflict);
        }
    }
    Some(Outcome::Unknown)
}

fn expected_version(expect: super::Expect) -> u64 {
    match expect {
        super::Expect::Absent => 0,
        super::Expect::Version(v) => v,
    }
}

/// Whether `row` was written by the transaction with this token.
fn stamped_by(row: &super::Row, token: &str) -> bool {
    row.value
        .as_deref()
        .and_then(|v| serde_json::from_str::<Stamped<serde::de::IgnoredAny>>(v).ok())
        .is_some_and(|s| s.token == token)
}

async fn pause(ms: Millis) {
    let jittered = ms / 2 + fastrand::u64(0..=ms);
    Timer::after(Duration::from_millis(jittered)).await;
}
