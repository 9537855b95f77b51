//! The answer to a claim may come late and name a newer revision than the claim's. Another entry may have taken the pool in
//! between; an answer taken for the newer of the two makes this one claim the shards of an owner that is alive.

use std::sync::Arc;

use rockwick::clock::Now;
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::{self, OwnerRow, OWNER_KEY};
use rockwick::core::sched::state::{Effect, Event, PoolKey, State};
use rockwick::port::fleet::{OperatorEvent, StoredRow, TxOutcome};

use crate::world::{config, POOL};

fn at(ms: u64) -> Now {
    Now { ms, wall_ms: ms }
}

fn claims(effects: &[Effect]) -> Vec<usize> {
    let shards = effects.iter().filter_map(|effect| match effect {
        Effect::Claim(_, shard, _) => Some(*shard),
        _ => None,
    });
    shards.collect()
}

/// The owner's row of the first shard as the feed tells it.
fn owned_by(entry: &str, nonce: u64, revision: u64) -> Event {
    let owner = OwnerRow {
        entry: entry.to_string(),
        nonce,
        epoch: 0,
    };
    Event::Owner(StoredRow {
        part: POOL.to_string(),
        key: OWNER_KEY.to_string(),
        value: Some(rows::encode(&owner)),
        revision,
    })
}

/// An entry whose claim at revision 20 is out; another took the pool at 23, and the answer names `told`.
fn claims_after(told: u64) -> Vec<usize> {
    let mut state = State::new("a", 1);
    let word = OperatorEvent::Config(Arc::new(config(1)));
    reduce(&mut state, Event::Operator(word), at(1_000));
    let effects = reduce(&mut state, Event::Tick, at(9_000));
    assert_eq!(claims(&effects), [0], "the pool has no owner");
    reduce(&mut state, owned_by("b", 2, 23), at(11_000));
    let answer = Event::Claimed(PoolKey(0), 0, 9_000, TxOutcome::Committed(told));
    claims(&reduce(&mut state, answer, at(11_100)))
}

#[test]
fn late_claim() {
    assert!(claims_after(20).is_empty(), "its own revision");
}

#[test]
fn late_claim_ahead() {
    assert!(claims_after(25).is_empty(), "the store's newest revision");
}
