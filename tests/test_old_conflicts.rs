//! A conflict's answer may be older than what is known: answers that travel on different connections overtake one another,
//! and the feed overtakes them all. What a row held before must not replace what it holds. Taken for the newest, the old row
//! lacks the slot or the offer of a host that is on record: the host is opened and gets work, and whoever orders hosts goes by
//! the record and ends that work.

use std::collections::BTreeMap;

use rockwick::core::sched::offers::{Offers, OffersRow, OFFERS_KEY};
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{self, SlotRow, WaveRow};
use rockwick::core::sched::state::{Effect, WaveKnown};
use rockwick::core::sched::wave::{self, WaveController};
use rockwick::port::fleet::{HostRecord, HostState, StoredRow, TxOutcome, WaveOrder};

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
    offers.apply_row(&fed).expect("it can be read");
    let found = stored(OFFERS_KEY, rows::encode(&OffersRow::default()), 10);
    offers.apply_conflict_row(&found).expect("it can be read");
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
        wave::apply_row(&mut known, &fed, ctx);
        wave::apply_row(&mut known, &found, ctx);
    });
    assert!(
        known.row.out.contains_key(HOST),
        "the feed told it at revision 11"
    );
}

/// An owner that gives a host back, and another entry that takes a slot in the wave's row right after.
struct Turn {
    pool_state: PoolState,
    controller: WaveController,
    waves: BTreeMap<u64, WaveKnown>,
    /// As this owner writes it, on condition of revision 10.
    ours: WaveRow,
    /// As the other entry writes it then, at 12.
    theirs: WaveRow,
}

impl Turn {
    fn new() -> Self {
        let slot = SlotRow {
            pool: POOL.to_string(),
            is_ordered: true,
            ..SlotRow::default()
        };
        let out = |host: &str| BTreeMap::from([(host.to_string(), slot.clone())]);
        let ours = WaveRow {
            back: vec![HOST.to_string()],
            ..WaveRow::default()
        };
        let theirs = WaveRow {
            out: out("host-2"),
            ..ours.clone()
        };
        let known = WaveKnown {
            order: WaveOrder {
                wave: 1,
                hosts: vec![HOST.to_string(), "host-2".to_string()],
                duration_ms: 60_000,
                out_max: 2,
            },
            ..WaveKnown::default()
        };
        let mut turn = Self {
            pool_state: PoolState::default(),
            controller: WaveController::default(),
            waves: BTreeMap::from([(1, known)]),
            ours,
            theirs,
        };
        let first = WaveRow {
            out: out(HOST),
            ..WaveRow::default()
        };
        turn.row(&first, 10);
        turn.look(1_000);
        let hosts = [HOST, "host-2"].map(|host| HostRecord {
            host: host.to_string(),
            pool: "other".to_string(),
            state: HostState::Up,
            worker: "life".to_string(),
        });
        wave::apply_list(&mut turn.controller, hosts.to_vec());
        assert!(!turn.look(1_500), "the list is read anew");
        wave::apply_list(&mut turn.controller, hosts.to_vec());
        assert!(turn.look(2_000), "the host is given back");
        turn
    }

    /// Looks at the wave; whether a change of its row goes out.
    fn look(&mut self, now_ms: u64) -> bool {
        let (pool_state, controller, waves) =
            (&mut self.pool_state, &mut self.controller, &mut self.waves);
        let effects = decide(now_ms, |ctx| {
            wave::reconcile(pool_state, controller, waves, POOL, 7, ctx)
        });
        let is_change = |effect: &Effect| matches!(effect, Effect::SettleWave(..));
        effects.iter().any(is_change)
    }

    fn row(&mut self, row: &WaveRow, revision: u64) {
        let known = self.waves.get_mut(&1).expect("it is there");
        let row = stored("1", rows::encode(row), revision);
        decide(2_000, |ctx| wave::apply_row(known, &row, ctx));
    }

    fn answer(&mut self, outcome: TxOutcome) {
        let (pool_state, controller, waves) =
            (&mut self.pool_state, &mut self.controller, &mut self.waves);
        decide(2_000, |ctx| {
            wave::apply_settled(Some(pool_state), controller, waves, outcome, ctx);
        });
    }
}

/// The feed told of both writes before the answer to the first came.
#[test]
fn conflict_answer_late() {
    let mut turn = Turn::new();
    let (ours, theirs) = (turn.ours.clone(), turn.theirs.clone());
    turn.row(&ours, 11);
    turn.row(&theirs, 12);
    turn.answer(TxOutcome::Committed(13));
    assert_eq!(turn.waves[&1].row, theirs);
    assert_eq!(turn.waves[&1].revision, 12);
}

/// The answer to the first write names a revision behind the second one, and the feed tells of that later.
#[test]
fn conflict_answer_ahead() {
    let mut turn = Turn::new();
    let theirs = turn.theirs.clone();
    turn.answer(TxOutcome::Committed(13));
    turn.row(&theirs, 12);
    assert_eq!(turn.waves[&1].row, theirs);
    assert_eq!(turn.waves[&1].revision, 12);
}
