//! Answers arrive on several connections and may overtake one another, and the feed may overtake them all. The older
//! row in a conflict's answer must not replace a newer one: without the recorded slot or offer, the host would be
//! opened and get tasks, and the entry that orders hosts, which goes by the record, would end them.

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
        offered: BTreeMap::from([(HOST.to_string(), "worker-1".to_string())]),
        ..OffersRow::default()
    };
    let mut offers = Offers::default();
    let fed = stored(OFFERS_KEY, rows::encode(&new), 11);
    offers.apply_row(&fed).expect("the row decodes");
    let found = stored(OFFERS_KEY, rows::encode(&OffersRow::default()), 10);
    offers.apply_conflict_row(&found).expect("the row decodes");
    assert!(
        offers.is_offered(HOST),
        "the feed delivered the row at revision 11"
    );
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
        "the feed delivered the row at revision 11"
    );
}

/// An owner that gives a host back, and another entry that takes a slot in the wave's row right after.
struct Scenario {
    pool_state: PoolState,
    controller: WaveController,
    waves: BTreeMap<u64, WaveKnown>,
    /// The row as the owner writes it, conditional on revision 10.
    ours: WaveRow,
    /// The row as the other entry then writes it, at revision 12.
    theirs: WaveRow,
}

impl Scenario {
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
        let mut scenario = Self {
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
        scenario.feed_row(&first, 10);
        scenario.sends_change(1_000);
        let hosts = [HOST, "host-2"].map(|host| HostRecord {
            host: host.to_string(),
            hall: "hall".to_string(),
            rack: String::new(),
            pool: "other".to_string(),
            state: HostState::Up,
            worker: "worker".to_string(),
        });
        wave::apply_list(&mut scenario.controller, hosts.to_vec());
        assert!(
            !scenario.sends_change(1_500),
            "the list is read again first"
        );
        wave::apply_list(&mut scenario.controller, hosts.to_vec());
        assert!(scenario.sends_change(2_000), "the host is given back");
        scenario
    }

    /// Runs one pass over the wave and returns whether it sends a change of the wave's row.
    fn sends_change(&mut self, now_ms: u64) -> bool {
        let (pool_state, controller, waves) =
            (&mut self.pool_state, &mut self.controller, &mut self.waves);
        let effects = decide(now_ms, |ctx| {
            wave::reconcile(pool_state, controller, waves, POOL, 7, ctx)
        });
        let is_change = |effect: &Effect| matches!(effect, Effect::SettleWave(..));
        effects.iter().any(is_change)
    }

    fn feed_row(&mut self, row: &WaveRow, revision: u64) {
        let known = self.waves.get_mut(&1).expect("the wave is known");
        let row = stored("1", rows::encode(row), revision);
        decide(2_000, |ctx| wave::apply_row(known, &row, ctx));
    }

    fn apply_answer(&mut self, outcome: TxOutcome) {
        let (pool_state, controller, waves) =
            (&mut self.pool_state, &mut self.controller, &mut self.waves);
        decide(2_000, |ctx| {
            wave::apply_settled(Some(pool_state), controller, waves, outcome, ctx);
        });
    }
}

/// The feed delivers both writes before the answer to the first one arrives.
#[test]
fn conflict_answer_late() {
    let mut scenario = Scenario::new();
    let (ours, theirs) = (scenario.ours.clone(), scenario.theirs.clone());
    scenario.feed_row(&ours, 11);
    scenario.feed_row(&theirs, 12);
    scenario.apply_answer(TxOutcome::Committed(13));
    assert_eq!(scenario.waves[&1].row, theirs);
    assert_eq!(scenario.waves[&1].revision, 12);
}

/// The answer to the first write names a revision after the second write, which the feed delivers later.
#[test]
fn conflict_answer_ahead() {
    let mut scenario = Scenario::new();
    let theirs = scenario.theirs.clone();
    scenario.apply_answer(TxOutcome::Committed(13));
    scenario.feed_row(&theirs, 12);
    assert_eq!(scenario.waves[&1].row, theirs);
    assert_eq!(scenario.waves[&1].revision, 12);
}
