//! Which connections are closed and which bodies are refused when clients hold too much.

use rockwick::core::connections::{
    Charge, ConnectionKey, ConnectionLimits, Connections, Phase, SMALL_BYTES, STALLED_MS,
};
use rockwick::http::intake::ProcessLimits;

const LARGE_BYTES: usize = 256 << 10;

/// Room for three large bodies beside the part that is reserved for small ones.
const LIMITS: ConnectionLimits = ConnectionLimits {
    connections_max: 100,
    bytes_max: 4 * LARGE_BYTES,
};

fn receive(all: &mut Connections, bytes: usize, now_ms: u64) -> (ConnectionKey, Charge) {
    let key = all.add(now_ms);
    all.set_phase(key, Phase::Receiving, now_ms);
    (key, all.charge(key, bytes, now_ms))
}

#[test]
fn connections_small_bodies() {
    // Large bodies that are being run can't be closed; small ones still find room.
    let mut all = Connections::new(LIMITS);
    for _ in 0..3 {
        let (key, charge) = receive(&mut all, LARGE_BYTES, 0);
        assert_eq!(charge, Charge::Granted);
        all.set_phase(key, Phase::Running, 0);
    }
    let later_ms = 10 * STALLED_MS;
    assert_eq!(receive(&mut all, LARGE_BYTES, later_ms).1, Charge::Refused);
    for _ in 0..LARGE_BYTES / SMALL_BYTES {
        assert_eq!(receive(&mut all, SMALL_BYTES, later_ms).1, Charge::Granted);
    }
    assert_eq!(all.charged_bytes(), LIMITS.bytes_max);
}

#[test]
fn connections_stalled_body() {
    let mut all = Connections::new(LIMITS);
    let bodies = [0; 3].map(|_| receive(&mut all, LARGE_BYTES, 0).0);
    all.note_progress(bodies[0], STALLED_MS);
    // While all make progress, a further large body is refused and nobody is closed for it.
    let early_ms = STALLED_MS - 1;
    assert_eq!(receive(&mut all, LARGE_BYTES, early_ms).1, Charge::Refused);
    all.note_progress(bodies[2], 1);
    let (key, charge) = receive(&mut all, LARGE_BYTES, STALLED_MS);
    assert_eq!(
        charge,
        Charge::Close(bodies[1]),
        "the longest without progress"
    );
    // Its bytes are free only once it is gone.
    all.set_phase(bodies[1], Phase::Closing, STALLED_MS);
    assert_eq!(all.charge(key, LARGE_BYTES, STALLED_MS), Charge::Wait);
    all.remove(bodies[1]);
    assert_eq!(all.charge(key, LARGE_BYTES, STALLED_MS), Charge::Granted);
    assert_eq!(all.charged_bytes(), 3 * LARGE_BYTES);
}

#[test]
fn connections_small_outranks() {
    // Small bodies have used up what is reserved for them; a large body gives way to a small one even if it is fast.
    let mut all = Connections::new(LIMITS);
    let large = [0; 3].map(|_| receive(&mut all, LARGE_BYTES, 0).0);
    for _ in 0..LARGE_BYTES / SMALL_BYTES {
        assert_eq!(receive(&mut all, SMALL_BYTES, 0).1, Charge::Granted);
    }
    all.note_progress(large[0], 2);
    all.note_progress(large[1], 1);
    all.note_progress(large[2], 2);
    assert_eq!(receive(&mut all, 1, 2).1, Charge::Close(large[1]));
}

#[test]
fn connections_growing_body() {
    let mut all = Connections::new(LIMITS);
    let (key, _) = receive(&mut all, 0, 0);
    for bytes in [SMALL_BYTES, 2 * SMALL_BYTES, LARGE_BYTES] {
        assert_eq!(all.charge(key, bytes, 0), Charge::Granted);
        assert_eq!(all.charged_bytes(), bytes);
    }
    all.set_phase(key, Phase::Running, 0);
    assert_eq!(
        all.charged_bytes(),
        LARGE_BYTES,
        "a body that is run is held"
    );
    all.set_phase(key, Phase::Waiting, 0);
    assert_eq!(all.charged_bytes(), 0);
}

#[test]
fn connections_closing_is_final() {
    let mut all = Connections::new(LIMITS);
    let (key, _) = receive(&mut all, LARGE_BYTES, 0);
    all.set_phase(key, Phase::Closing, 0);
    all.set_phase(key, Phase::Waiting, 0);
    assert_eq!(all.charge(key, 1, 0), Charge::Refused);
    assert_eq!(all.charged_bytes(), LARGE_BYTES);
    all.remove(key);
    all.remove(key);
    assert_eq!((all.count(), all.charged_bytes()), (0, 0));
}

#[test]
fn connections_idlest() {
    let limits = ConnectionLimits {
        connections_max: 3,
        ..LIMITS
    };
    let mut all = Connections::new(limits);
    let [running, idle, fresh] = [1, 2, 3].map(|now_ms| all.add(now_ms));
    let later_ms = 10 * STALLED_MS;
    assert!(all.is_full());
    all.set_phase(running, Phase::Running, 0);
    let idlest = all.find_idlest(later_ms);
    assert_eq!(idlest, Some(idle), "a request that is run stays");
    all.set_phase(idle, Phase::Closing, 4);
    assert_eq!(all.find_idlest(later_ms), None, "one closes already");
    all.remove(idle);
    assert!(!all.is_full());
    assert_eq!(all.find_idlest(later_ms), Some(fresh));
    all.set_phase(fresh, Phase::Running, 5);
    assert_eq!(all.find_idlest(later_ms), None);
}

#[test]
fn connections_fresh() {
    // A connection has time to send its request before it gives way, and bytes that were not read here count for it.
    let mut all = Connections::new(LIMITS);
    let [first, second] = [1, 2].map(|now_ms| all.add(now_ms));
    assert_eq!(all.find_idlest(STALLED_MS), None);
    assert_eq!(all.find_idlest(1 + STALLED_MS), Some(first));
    let now_ms = 2 + STALLED_MS;
    assert!(all.may_have_unread(first, now_ms));
    all.note_progress(first, now_ms);
    assert!(!all.may_have_unread(first, now_ms));
    assert_eq!(all.find_idlest(now_ms), Some(second));
    all.set_phase(second, Phase::Running, now_ms);
    assert!(!all.may_have_unread(second, 2 * now_ms));
}

#[test]
fn connections_answer_stays() {
    // The answer to a large body gives way to nothing while it is being written, only once its client does not read it.
    let mut all = Connections::new(LIMITS);
    let large = [0; 3].map(|_| receive(&mut all, LARGE_BYTES, 0).0);
    for _ in 0..LARGE_BYTES / SMALL_BYTES {
        assert_eq!(receive(&mut all, SMALL_BYTES, 1).1, Charge::Granted);
    }
    let now_ms = STALLED_MS;
    for key in large {
        all.set_phase(key, Phase::Answering, now_ms);
    }
    assert_eq!(receive(&mut all, 1, now_ms).1, Charge::Refused);
    assert_eq!(all.find_idlest(now_ms), None);
    let later_ms = now_ms + STALLED_MS;
    assert_eq!(receive(&mut all, 1, later_ms).1, Charge::Close(large[0]));
}

#[test]
fn connections_random() {
    // Whatever clients do, the sum of the charges is right and within the limit.
    let mut random = fastrand::Rng::with_seed(75);
    let mut all = Connections::new(LIMITS);
    let mut held: Vec<(ConnectionKey, usize)> = Vec::new();
    for now_ms in 0..20_000 {
        if held.is_empty() || (!all.is_full() && random.u8(..4) == 0) {
            held.push((all.add(now_ms), 0));
        }
        let at = random.usize(..held.len());
        let key = held[at].0;
        match random.u8(..6) {
            0 => {
                all.set_phase(key, Phase::Waiting, now_ms);
                held[at].1 = 0;
            }
            1 => all.set_phase(key, Phase::Running, now_ms),
            2 => {
                all.remove(key);
                held.swap_remove(at);
            }
            _ => {
                all.set_phase(key, Phase::Receiving, now_ms);
                let bytes = held[at].1.max(random.usize(..LARGE_BYTES));
                match all.charge(key, bytes, now_ms) {
                    Charge::Granted => held[at].1 = bytes,
                    Charge::Close(victim) => {
                        assert_ne!(victim, key);
                        all.set_phase(victim, Phase::Closing, now_ms);
                        all.remove(victim);
                        held.retain(|(k, _)| *k != victim);
                    }
                    Charge::Wait | Charge::Refused => {}
                }
            }
        }
        let sum_bytes: usize = held.iter().map(|(_, bytes)| bytes).sum();
        assert_eq!(all.charged_bytes(), sum_bytes);
        assert!(sum_bytes <= LIMITS.bytes_max && all.count() <= LIMITS.connections_max);
    }
}

#[test]
fn connections_of_machine() {
    // The machines of the users, and the smallest of them.
    for (memory_mb, connections_min) in [(260, 1_000), (160, 600)] {
        let process = ProcessLimits {
            memory_bytes: memory_mb * 1_000_000,
            fds: 4_100,
        };
        let callers = process.for_callers(LARGE_BYTES);
        assert!(callers.connections_max >= connections_min, "{callers:?}");
        assert!(callers.bytes_max >= 50 * LARGE_BYTES, "{callers:?}");
        let checks = process.for_checks(4 << 10);
        let all = callers.connections_max + 2 * checks.connections_max;
        assert!(all as u64 <= process.fds * 3 / 4, "{all}");
    }
    let tiny = ProcessLimits {
        memory_bytes: 16_000_000,
        fds: 64,
    };
    let limits = tiny.for_callers(8 << 20);
    let mut all = Connections::new(limits);
    assert_eq!(
        receive(&mut all, 8 << 20, 0).1,
        Charge::Granted,
        "one body of the largest size"
    );
}
