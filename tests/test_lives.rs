//! Which workers are lives of one host.

use rockwick::core::sched::book::Book;
use rockwick::core::sched::holds;
use rockwick::port::fleet::HoldReport;

use crate::decide::{answering, decide};
use crate::world::worker_fact;

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// Platforms without a list of hosts name none: their workers are not lives of one host.
#[test]
fn lives_no_host() {
    let mut book = Book::default();
    let one = answering(&mut book, worker_fact("one", ""));
    let other = answering(&mut book, worker_fact("other", ""));
    book.workers[one].heard_ms = 1_000;
    let report = HoldReport {
        born_wall_ms: None,
        clock_ms: 2_000,
        unreadable: 0,
        running: Vec::new(),
        ended: Vec::new(),
    };
    decide(2_000, |ctx| {
        holds::held(&mut book, other, 1_500, Ok(report), EPOCH, ctx);
    });
    let answers = book.workers.get(one).map(|w| w.answers);
    assert_eq!(
        answers,
        Some(true),
        "the other one's account says nothing of it"
    );
}
