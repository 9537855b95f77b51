//! A conflict's answer may be older than what is known: answers that travel on different connections overtake one another,
//! and the feed overtakes them all. What a row held before must not replace what it holds. Taken for the newest, the old row
//! lacks the slot or the offer of a host that is on record: the host is opened and gets work, and whoever orders hosts goes by
//! the record and ends that work.

use std::collections::BTreeMap;

use rockwick::core::sched::offers::{Offers, OffersRow, OFFERS_KEY};
use rockwick::core::sched::rows::{self, SlotRow, WaveRow};
use rockwick::core::sched::state::WaveKnown;
use rockwick::core::sched::wave;
use rockwick::port::fleet::StoredRow;

use crate::decide::decide;
use crate::world::POOL;

const HOST: &str = "host-1";

fn stored(key: &str, value: Vec<u8>, revision: u64) -> StoredRow {
    StoredRow {
        part: POOL.to_string(),
        key: key.to_string(),
        value: Some(value),
        revision,
    }
}

#[test]
fn conflict_keeps_offer() {
    let new = OffersRow {
        offered: BTreeMap::from([(HOST.to_string(), "life-1".to_string())]),
        ..OffersRow::default()
    };
    let mut offers = Offers::default();
    let fed = stored(OFFERS_KEY, rows::encode(&new), 11);
    offers.observe(&fed).expect("it can be read");
    let found = stored(OFFERS_KEY, rows::encode(&OffersRow::default()), 10);
    offers.observe_found(&found).expect("it can be read");
    assert!(offers.is_offered(HOST), "the feed told it at revision 11");
}

#[test]
fn conflict_keeps_slot() {
    let slot = SlotRow {
        pool: POOL.to_string(),
        ..SlotRow::default()
    };
    let new = WaveRow {
        out: BTreeMap::from([(HOST.to_string(), slot)]),
        ..WaveRow::default()
    };
    let mut known = WaveKnown::default();
    let fed = stored("1", rows::encode(&new), 11);
    let found = stored("1", rows::encode(&WaveRow::default()), 10);
    decide(1_000, |ctx| {
        wave::observe(&mut known, &fed, ctx);
        wave::observe_found(&mut known, &found, ctx);
    });
    assert!(
        known.row.out.contains_key(HOST),
        "the feed told it at revision 11"
    );
}
