//! The timeout for calls to the store, which adapts to a slow one.

use rockwick::port::timeout::AdaptiveTimeout;

#[test]
fn timeout_grows() {
    let timeout = AdaptiveTimeout::new(800, 2_400);
    assert_eq!(timeout.current_ms(), 800);
    timeout.record_timeout(800);
    assert_eq!(timeout.current_ms(), 1_600);
    timeout.record_timeout(1_600);
    timeout.record_timeout(1_600);
    assert_eq!(timeout.current_ms(), 2_400, "the maximum");
    // A call that ended by an earlier, shorter timeout does not raise the timeout.
    timeout.record_timeout(800);
    assert_eq!(timeout.current_ms(), 2_400);
}

#[test]
fn timeout_follows_answers() {
    let timeout = AdaptiveTimeout::new(800, 2_400);
    timeout.record_answer(540);
    assert_eq!(
        timeout.current_ms(),
        1_620,
        "time for two other writes before it"
    );
    timeout.record_answer(8);
    assert_eq!(timeout.current_ms(), 800);
}
