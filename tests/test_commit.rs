//! The table's contract: a lost answer is not a failure.

use rockwick::port::{commit, Expect, Outcome, Put, RetryPolicy, Transaction};

use crate::table::{FakeTable, Fate};

const QUICK: RetryPolicy = RetryPolicy {
    attempts_max: 4,
    pause_ms: 1,
};

fn claim(token: &str) -> Transaction {
    Transaction {
        token: token.to_string(),
        checks: vec![],
        puts: vec![Put::new("run/a/1", Expect::Absent, &1)],
    }
}

fn outcome(table: &FakeTable, token: &str) -> Outcome {
    smol::block_on(commit(table, &claim(token), QUICK))
}

#[test]
fn commit_fates() {
    use Fate::{AnswerLost, Answered, Late, Lost, NotSent};
    let cases: &[(&[Fate], Outcome)] = &[
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
    for (fates, expected) in cases {
        let table = FakeTable::with_fates(fates);
        assert_eq!(outcome(&table, "mine"), *expected, "{fates:?}");
    }
}

#[test]
fn commit_conflict() {
    let table = FakeTable::default();
    assert_eq!(outcome(&table, "first"), Outcome::Committed(1));
    assert_eq!(outcome(&table, "second"), Outcome::Conflict);
}

#[test]
fn commit_lost_race() {
    // Our sending was lost before it took effect, and somebody else came first: nobody can tell from
    // the row alone that we were never applied and written over.
    let table = FakeTable::with_fates(&[Fate::Answered, Fate::Lost]);
    assert_eq!(outcome(&table, "theirs"), Outcome::Committed(1));
    assert_eq!(outcome(&table, "ours"), Outcome::Unknown);
}

#[test]
fn commit_second_row() {
    // Somebody wrote over our first row before we looked; the second still carries our token.
    let table = FakeTable::with_fates(&[Fate::AnswerLost]);
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
    table.fates.lock().unwrap().push_back(Fate::Lost);
    let outcome = smol::block_on(commit(&table, &txn, QUICK));
    assert_eq!(outcome, Outcome::Committed(2));
}

#[test]
fn commit_unread() {
    let table = FakeTable::with_fates(&[Fate::AnswerLost]);
    *table.reads_down.lock().unwrap() = true;
    assert_eq!(outcome(&table, "mine"), Outcome::Unknown);
}
