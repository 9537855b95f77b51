//! The contract of `commit` with the table: after a lost answer the rows decide whether the transaction took effect.

use rockwick::port::{commit, Expect, Outcome, Put, RetryPolicy, Transaction};

use crate::table::{FakeTable, SendOutcome};

const QUICK: RetryPolicy = RetryPolicy {
    attempts_max: 4,
    pause_ms: 1,
};

fn claim_transaction(token: &str) -> Transaction {
    Transaction {
        token: token.to_string(),
        checks: vec![],
        puts: vec![Put::new("run/a/1", Expect::Absent, &1)],
    }
}

fn commit_claim(table: &FakeTable, token: &str) -> Outcome {
    smol::block_on(commit(table, &claim_transaction(token), QUICK))
}

#[test]
fn commit_outcomes() {
    use SendOutcome::{AnswerLost, Answered, Late, Lost, NotSent};
    let cases: &[(&[SendOutcome], Outcome)] = &[
        (&[Answered], Outcome::Committed(1)),
        (&[AnswerLost], Outcome::Committed(1)),
        (&[Lost, Answered], Outcome::Committed(1)),
        (&[NotSent, Answered], Outcome::Committed(1)),
        (&[NotSent, AnswerLost], Outcome::Committed(1)),
        (&[Late, Answered], Outcome::Committed(1)),
        (&[Lost, Lost, AnswerLost], Outcome::Committed(1)),
        (&[NotSent; 4], Outcome::NotSent),
        (&[Lost; 4], Outcome::Unknown),
        (&[Lost, NotSent, NotSent, NotSent], Outcome::Unknown),
        (
            &[AnswerLost, AnswerLost, AnswerLost, AnswerLost],
            Outcome::Unknown,
        ),
    ];
    for (send_outcomes, expected) in cases {
        let table = FakeTable::with_outcomes(send_outcomes);
        assert_eq!(commit_claim(&table, "mine"), *expected, "{send_outcomes:?}");
    }
}

#[test]
fn commit_conflict() {
    let table = FakeTable::default();
    assert_eq!(commit_claim(&table, "first"), Outcome::Committed(1));
    assert_eq!(commit_claim(&table, "second"), Outcome::Conflict);
}

#[test]
fn commit_lost_race() {
    // The transaction was lost before it took effect and another writer came first. The row alone does not show
    // whether the transaction was applied and then overwritten, so the outcome is unknown.
    let table = FakeTable::with_outcomes(&[SendOutcome::Answered, SendOutcome::Lost]);
    assert_eq!(commit_claim(&table, "theirs"), Outcome::Committed(1));
    assert_eq!(commit_claim(&table, "ours"), Outcome::Unknown);
}

#[test]
fn commit_second_row() {
    // Another writer replaced the first row before the check; the second row still carries the token.
    let table = FakeTable::with_outcomes(&[SendOutcome::AnswerLost]);
    let txn = Transaction {
        token: "ours".to_string(),
        checks: vec![],
        puts: vec![
            Put::new("host/h", Expect::Absent, &1),
            Put::new("pool/p", Expect::Absent, &1),
        ],
    };
    let over = Transaction {
        token: "theirs".to_string(),
        checks: vec![],
        puts: vec![Put::new("host/h", Expect::Version(1), &2)],
    };
    smol::block_on(async {
        use rockwick::port::Table;
        table.send(&txn).await;
        table.send(&over).await;
    });
    table
        .send_outcomes
        .lock()
        .unwrap()
        .push_back(SendOutcome::Lost);
    let outcome = smol::block_on(commit(&table, &txn, QUICK));
    assert_eq!(outcome, Outcome::Committed(2));
}

/// The answer is lost and the rows cannot be read: the outcome must be unknown, not a failure.
#[test]
fn commit_reads_down() {
    let table = FakeTable::with_outcomes(&[SendOutcome::AnswerLost]);
    *table.are_reads_down.lock().unwrap() = true;
    assert_eq!(commit_claim(&table, "mine"), Outcome::Unknown);
}
