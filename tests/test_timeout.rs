//! The timeout for calls to the store, which adapts to a slow one.

use rockwick::port::timeout::{AdaptiveTimeout, FeedWait};

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

#[test]
fn timeout_feed_wait() {
    // However late the store answers, within reason, the next answer comes before the value is too old.
    let wait = FeedWait {
        age_max_ms: 1_600,
        longest_ms: 1_000,
        shortest_ms: 250,
    };
    for delay_ms in 0..=650 {
        let next_ms = wait.next_ms(delay_ms);
        assert!(next_ms + 2 * delay_ms <= wait.age_max_ms, "{delay_ms} ms");
    }
    assert_eq!(wait.next_ms(200), wait.longest_ms);
    assert_eq!(wait.next_ms(10_000), wait.shortest_ms);
}
