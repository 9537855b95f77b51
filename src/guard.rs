//! Keeps a panic from ending what others depend on.
//!
//! Input from outside is checked where it is decoded. This is for a fault of this program that an input brings to light
//! all the same: a call counts as one without an answer, and a task or a thread that must go on starts again.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use crate::clock::Millis;
use crate::port::backoff::Backoff;

/// The pauses before something that panicked is started again.
const RESTART_PAUSE_MS: Millis = 250;
const RESTART_PAUSE_MAX_MS: Millis = 8_000;

/// Runs a future. If it panics, passes the message to `report` and returns `unknown`.
pub async fn or_after_panic<T>(
    unknown: T,
    call: impl Future<Output = T>,
    report: impl Fn(&str),
) -> T {
    match AssertUnwindSafe(call).catch_unwind().await {
        Ok(outcome) => outcome,
        Err(panic) => {
            report(message(&*panic));
            unknown
        }
    }
}

/// Runs a task to its end, and starts it again from its beginning whenever it panics.
pub async fn restart_after_panic<F: Future<Output = ()>>(
    start: impl Fn() -> F,
    report: impl Fn(&str),
) {
    let mut backoff = Backoff::new(RESTART_PAUSE_MS, RESTART_PAUSE_MAX_MS);
    while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
        report(message(&*panic));
        Timer::after(Duration::from_millis(backoff.next_pause_ms())).await;
    }
}

/// Runs the work of a thread to its end, and starts it again from its beginning whenever it panics while `may_restart`
/// returns true.
pub fn restart_thread_after_panic(
    start: impl Fn(),
    may_restart: impl Fn() -> bool,
    report: impl Fn(&str),
) {
    let mut backoff = Backoff::new(RESTART_PAUSE_MS, RESTART_PAUSE_MAX_MS);
    while let Err(panic) = std::panic::catch_unwind(AssertUnwindSafe(&start)) {
        report(message(&*panic));
        if !may_restart() {
            return;
        }
        std::thread::sleep(Duration::from_millis(backoff.next_pause_ms()));
    }
}

fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
