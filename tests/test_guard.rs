//! A panic in a call, a feed or a thread does not end what waits for it.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicU32, Ordering};

use rockwick::guard::{or_after_panic, restart_after_panic, restart_thread_after_panic};

/// A call that panicked never told the reducer its outcome, and the worker was not asked again.
#[test]
fn guard_call() {
    let reported = RefCell::new(Vec::new());
    let report = |why: &str| reported.borrow_mut().push(why.to_string());
    smol::block_on(async {
        assert_eq!(or_after_panic(7, async { 8 }, report).await, 8);
        let call = async { panic!("an id that is no header value") };
        assert_eq!(or_after_panic(7, call, report).await, 7);
    });
    assert_eq!(reported.into_inner(), ["an id that is no header value"]);
}

/// A feed that panicked was not followed any more.
#[test]
fn guard_feed() {
    let starts = Cell::new(0);
    let reports = Cell::new(0);
    let start = || async {
        starts.set(starts.get() + 1);
        assert!(starts.get() >= 3, "a row");
    };
    smol::block_on(restart_after_panic(start, |_| {
        reports.set(reports.get() + 1)
    }));
    assert_eq!((starts.get(), reports.get()), (3, 2));
}

/// The control thread ended for good, and the process went on without it.
#[test]
fn guard_thread() {
    let starts = AtomicU32::new(0);
    let start = || assert!(starts.fetch_add(1, Ordering::SeqCst) >= 1, "a product");
    restart_thread_after_panic(start, || true, |_| ());
    assert_eq!(starts.load(Ordering::SeqCst), 2);
    restart_thread_after_panic(|| panic!("while it stops"), || false, |_| ());
}
