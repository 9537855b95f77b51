//! A suspended host stops the process and its monotonic clock, while leases at other hosts expire. By that clock an
//! owner that resumes would treat its lease, its configuration and its view of workers as current.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rockwick::clock::Clock;

/// The time of the host's boot clock, which tests advance.
static BOOT_MS: AtomicU64 = AtomicU64::new(1_000_000);

fn fake_boot_ms() -> u64 {
    BOOT_MS.load(Ordering::SeqCst)
}

#[test]
fn clock_counts_suspension() {
    let clock = Clock::with_source(fake_boot_ms);
    let due_ms = clock.now_ms() + 400;
    BOOT_MS.fetch_add(5_000, Ordering::SeqCst);
    assert_eq!(clock.now_ms(), 5_000, "the suspension counts as 5 s");
    assert!(clock.suspended_ms() > 4_000, "{}", clock.suspended_ms());
    let late = clock
        .instant(due_ms)
        .saturating_duration_since(Instant::now());
    assert_eq!(
        late,
        Duration::ZERO,
        "a timer that fell due during the suspension fires at once"
    );
}

#[test]
fn clock_advances() {
    let clock = Clock::new();
    let before_ms = clock.now_ms();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now_ms() >= before_ms + 20);
    assert!(clock.instant(clock.now_ms() + 1_000) > Instant::now());
}
