//! Expected durations of queues' steps, from measured durations and callers' estimates.

use rockwick::core::sched::times::Times;

use crate::world::{job, QUEUE};

fn expected_ms(times: &Times, estimate_ms: u64) -> u64 {
    times.expected_step_ms(&job(4, 1_000, estimate_ms))[0]
}

#[test]
fn times_unknown_queue() {
    let times = Times::default();
    assert_eq!(expected_ms(&times, 700), 700);
}

#[test]
fn times_wild_estimates() {
    let mut times = Times::default();
    for n in 0..40 {
        let estimate_ms = if n % 2 == 0 { 200 } else { 5_000 };
        times.record(QUEUE, estimate_ms, 900 + n * 5);
    }
    let low_ms = expected_ms(&times, 200);
    assert!((700..1_100).contains(&low_ms), "{low_ms}");
    let high_ms = expected_ms(&times, 5_000);
    assert!((900..1_400).contains(&high_ms), "{high_ms}");
}

#[test]
fn times_good_estimates() {
    let mut times = Times::default();
    for n in 0..40 {
        // The estimate is always half of the duration.
        let took_ms = 400 + 400 * (n % 10);
        times.record(QUEUE, took_ms / 2, took_ms);
    }
    let expected_ms = expected_ms(&times, 1_500);
    assert!((2_500..3_300).contains(&expected_ms), "{expected_ms}");
}

#[test]
fn times_survive_takeover() {
    let mut times = Times::default();
    for n in 0..40 {
        times.record(QUEUE, 100 + n, 1_000);
    }
    let text = serde_json::to_string(&times).expect("the times serialize");
    let read: Times = serde_json::from_str(&text).expect("the times deserialize");
    assert_eq!(expected_ms(&read, 120), expected_ms(&times, 120));
}
