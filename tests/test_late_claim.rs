//! The answer to a claim may come late and name a newer revision than the claim's own, and another entry may have
//! claimed the pool in between. If the answer is taken for the newer claim of the two, this entry claims the other
//! shards from an owner that is alive.

use std::sync::Arc;

use rockwick::clock::Now;
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::{self, OwnerRow, OWNER_KEY};
use rockwick::core::sched::state::{Effect, Event, PoolKey, State};
use rockwick::port::fleet::{OperatorEvent, StoredRow, TxOutcome};

use crate::world::{config, POOL};

fn at(ms: u64) -> Now {
    Now {
        ms,
        wall_ms: ms,
        ..Now::default()
    }
}

fn claimed_shards(effects: &[Effect]) -> Vec<usize> {
    let shards = effects.iter().filter_map(|effect| match effect {
        Effect::Claim(_, shard, _) => Some(*shard),
        _ => None,
    });
    shards.collect()
}

/// Returns the event by which the feed delivers the first shard's owner row.
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

/// Returns the shards that an entry claims after its claim at revision 20 is answered with `answered_revision`, while
/// another entry has claimed the pool at revision 23.
fn claims_after(answered_revision: u64) -> Vec<usize> {
    let mut state = State::new("a", 1);
    let config_event = OperatorEvent::Config(Arc::new(config(1)));
    reduce(&mut state, Event::Operator(config_event), at(1_000));
    let effects = reduce(&mut state, Event::Tick, at(9_000));
    assert_eq!(claimed_shards(&effects), [0], "the pool has no owner");
    reduce(&mut state, owned_by("b", 2, 23), at(11_000));
    let answer = Event::Claimed(
        PoolKey(0),
        0,
        9_000,
        TxOutcome::Committed(answered_revision),
    );
    claimed_shards(&reduce(&mut state, answer, at(11_100)))
}

#[test]
fn late_claim() {
    assert!(
        claims_after(20).is_empty(),
        "the answer names the claim's own revision"
    );
}

#[test]
fn late_claim_ahead() {
    assert!(
        claims_after(25).is_empty(),
        "the answer names the store's newest revision"
    );
}
