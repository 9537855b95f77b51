//! Waves of upkeep: whose host is out, and when it is back.

use std::collections::BTreeMap;

use rockwick::core::sched::load;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{SlotRow, WaveRow};
use rockwick::core::sched::state::{Effect, WaveKnown};
use rockwick::core::sched::wave::{self, WaveController};
use rockwick::event::{Code, Decision, Subject};
use rockwick::port::fleet::{HostRecord, HostState, WaveOrder};

use crate::decide::decide;
use crate::world::{worker_fact, POOL};

const HOST: &str = "host-1";

/// A pool with one host, whose order to go for upkeep was accepted.
struct Out {
    pool_state: PoolState,
    controller: WaveController,
    waves: BTreeMap<u64, WaveKnown>,
    now_ms: u64,
}

impl Out {
    fn new() -> Self {
        let mut pool_state = PoolState::default();
        load::add_worker(&mut pool_state, worker_fact("life-2", HOST), 0);
        let slot = SlotRow {
            pool: POOL.to_string(),
            is_ordered: true,
            ..SlotRow::default()
        };
        let wave = WaveKnown {
            order: WaveOrder {
                wave: 1,
                hosts: vec![HOST.to_string()],
                duration_ms: 60_000,
                out_max: 1,
            },
            row: WaveRow {
                out: BTreeMap::from([(HOST.to_string(), slot)]),
                ..WaveRow::default()
            },
            ..WaveKnown::default()
        };
        Self {
            pool_state,
            controller: WaveController::default(),
            waves: BTreeMap::from([(1, wave)]),
            now_ms: 10_000,
        }
    }

    /// Looks for a second; whether the slot was given back.
    fn look(&mut self) -> bool {
        let mut is_given_back = false;
        for _ in 0..10 {
            let effects = self.effects();
            let is_settled = |e: &Effect| matches!(e, Effect::SettleWave(..));
            is_given_back |= effects.iter().any(is_settled);
        }
        is_given_back
    }

    fn effects(&mut self) -> Vec<Effect> {
        self.now_ms += 100;
        decide(self.now_ms, |ctx| {
            wave::reconcile(
                &mut self.pool_state,
                &mut self.controller,
                &mut self.waves,
                POOL,
                7,
                ctx,
            );
        })
    }

    /// What is told of waiting in so long.
    fn waits(&mut self, ms: u64) -> Vec<Decision> {
        let looks = (0..ms / 100).flat_map(|_| self.effects());
        let told = looks.filter_map(|effect| match effect {
            Effect::Log(decision) => Some(decision),
            _ => None,
        });
        told.filter(|d| matches!(d.code, Code::WaveWaits | Code::HostWaits))
            .collect()
    }

    fn read(&mut self, state: HostState) {
        let record = HostRecord {
            host: HOST.to_string(),
            pool: POOL.to_string(),
            state,
            worker: "life-2".to_string(),
        };
        wave::apply_list(&mut self.controller, vec![record]);
    }
}

/// The host crashed while it held its slot, and the order met its next life, which is just ending: that life
/// in the books must not count as the host's return, or another host goes out beside it.
#[test]
fn waves_crashed_host_is_out() {
    let mut out = Out::new();
    assert!(!out.look(), "nobody has seen the host up since its order");
    out.read(HostState::Upkeep);
    assert!(!out.look(), "the list says that it is out");
    out.read(HostState::Up);
    assert!(out.look(), "the list says that it is back");
}

/// A new owner finds a slot that the former one took, with the order still to come: nothing is placed on that host.
#[test]
fn waves_slot_found_closes_host() {
    let mut out = Out::new();
    let wave = out.waves.get_mut(&1).expect("it is there");
    let slot = wave.row.out.get_mut(HOST).expect("the host holds it");
    slot.is_ordered = false;
    out.look();
    let key = out.pool_state.worker_on(HOST).expect("the host is listed");
    assert!(out.pool_state.workers[key].is_closing);
}

/// A host that stays away is told of once its wave has waited for long, and seldom again; by its name and its wave's.
#[test]
fn waves_wait_told() {
    let mut out = Out::new();
    out.read(HostState::Upkeep);
    assert!(out.waits(12_000).is_empty(), "a turn takes its time");
    let told = out.waits(3_000);
    let about = |subject, id| told.iter().filter(|d| d.is_about(subject, id)).count();
    assert_eq!(about(Subject::Wave, "1"), 1, "{told:?}");
    assert_eq!(about(Subject::Host, HOST), 1, "{told:?}");
    let is_away = |d: &Decision| d.why.contains("does not name it as up");
    assert!(told.iter().all(is_away), "{told:?}");
    assert!(out.waits(50_000).is_empty(), "once is enough for a while");
    assert_eq!(out.waits(15_000).len(), 2, "and then it is told again");
}
