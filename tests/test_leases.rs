//! How long an owner may count its lease as valid, and how long a claim must wait for another entry's lease.

use std::sync::Arc;

use rockwick::clock::Now;
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::{encode, shard_part, HeartbeatRow, OwnerRow};
use rockwick::core::sched::rows::{HEARTBEAT_KEY, OWNER_KEY, SHARDS};
use rockwick::core::sched::state::{Effect, Event, PoolKey, State};
use rockwick::port::fleet::{OperatorEvent, StoredRow, TxOutcome};

use crate::world::{config, POOL};

const KEY: PoolKey = PoolKey(0);

fn now(ms: u64) -> Now {
    Now {
        ms,
        wall_ms: ms,
        ..Now::default()
    }
}

/// Returns an entry that has the configuration and can reach the store.
fn entry() -> State {
    let mut state = State::new("entry", 7);
    let config_event = OperatorEvent::Config(Arc::new(config(1)));
    reduce(&mut state, Event::Operator(config_event), now(10));
    reduce(&mut state, Event::Store(true), now(20));
    state
}

fn owner_row(shard: usize, key: &str, value: Vec<u8>, revision: u64) -> Event {
    Event::Owner(StoredRow {
        part: shard_part(POOL, shard),
        key: key.to_string(),
        value: Some(value),
        revision,
    })
}

/// A renewal that was sent to the store.
struct SentRenewal {
    sent_ms: u64,
    shard: usize,
    heartbeat: Vec<u8>,
}

/// Advances the time until the entry sends a renewal, and returns it.
fn next_renewal(state: &mut State, now_ms: &mut u64) -> SentRenewal {
    loop {
        *now_ms += 10;
        for effect in reduce(state, Event::Tick, now(*now_ms)) {
            if let Effect::Renew(_, _, shard, tx) = effect {
                let write = tx.writes.into_iter().find(|w| w.key == HEARTBEAT_KEY);
                return SentRenewal {
                    sent_ms: *now_ms,
                    shard,
                    heartbeat: write.and_then(|w| w.value).expect("a heartbeat"),
                };
            }
        }
    }
}

/// Answers are lost and the feed lags. A heartbeat that arrives through the feed renews the lease from the time that
/// heartbeat was sent, not from that of a later one that may never reach the store.
#[test]
fn leases_own_heartbeat() {
    let mut state = entry();
    reduce(&mut state, Event::Tick, now(3_000));
    for shard in 0..SHARDS {
        let done = TxOutcome::Committed(100 + shard as u64);
        let event = Event::Claimed(KEY, shard, 3_000, done);
        reduce(&mut state, event, now(3_010));
    }
    assert_eq!(state.owned_count(), 1);
    let mut now_ms = 3_010;
    let first = next_renewal(&mut state, &mut now_ms);
    let second = next_renewal(&mut state, &mut now_ms);
    let seen = owner_row(first.shard, HEARTBEAT_KEY, first.heartbeat, 200);
    reduce(&mut state, seen, now(now_ms + 1));
    let third = next_renewal(&mut state, &mut now_ms);
    let seen = owner_row(second.shard, HEARTBEAT_KEY, second.heartbeat, 201);
    reduce(&mut state, seen, now(now_ms + 1));
    let renewed_ms = state.pool(POOL).map(|p| p.lease.renewed_ms);
    assert_eq!(
        renewed_ms,
        Some(second.sent_ms),
        "third sent at {}",
        third.sent_ms
    );
}

/// An earlier process of this entry won the first shard and ended. The previous owner renews in the other shards and
/// may send orders until its lease there expires, so these must not be claimed yet.
#[test]
fn leases_half_claimed() {
    let mut state = entry();
    for shard in 0..SHARDS {
        let (entry, nonce) = if shard == 0 {
            ("entry", 5)
        } else {
            ("other", 9)
        };
        let owner = OwnerRow {
            entry: entry.to_string(),
            nonce,
            epoch: 0,
        };
        let heartbeat = HeartbeatRow {
            entry: "other".to_string(),
            ..HeartbeatRow::default()
        };
        let event = owner_row(shard, OWNER_KEY, encode(&owner), 50);
        reduce(&mut state, event, now(100));
        let event = owner_row(shard, HEARTBEAT_KEY, encode(&heartbeat), 60);
        reduce(&mut state, event, now(100));
    }
    let mut claimed = Vec::new();
    let won = Event::Claimed(KEY, 0, 110, TxOutcome::Committed(70));
    for (event, ms) in [(Event::Tick, 110), (won, 120), (Event::Tick, 130)] {
        for effect in reduce(&mut state, event, now(ms)) {
            match effect {
                Effect::Claim(_, shard, _) if shard > 0 => claimed.push(shard),
                _ => {}
            }
        }
    }
    assert!(
        claimed.is_empty(),
        "claimed {claimed:?}, though the previous owner's heartbeats are 30 ms old"
    );
}
