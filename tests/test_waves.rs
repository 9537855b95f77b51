//! Maintenance waves: which host holds a slot, and when it counts as back.

use std::collections::BTreeMap;

use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{SlotRow, WaveRow};
use rockwick::core::sched::state::{Effect, WaveKnown};
use rockwick::core::sched::wave::{self, WaveController};
use rockwick::core::sched::{load, place, rows};
use rockwick::event::{Code, Decision, Subject};
use rockwick::port::fleet::{HostRecord, HostState, StoredRow, WaveOrder};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, lasting, listed_worker, POOL};

const HOST: &str = "host-1";

/// A pool with one host whose maintenance order was accepted.
struct Scenario {
    pool_state: PoolState,
    controller: WaveController,
    waves: BTreeMap<u64, WaveKnown>,
    now_ms: u64,
}

impl Scenario {
    fn new() -> Self {
        let mut pool_state = PoolState::default();
        load::add_worker(&mut pool_state, listed_worker("life-2", HOST), 0);
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

    /// Runs passes for one second and returns whether the slot was given back.
    fn gives_slot_back(&mut self) -> bool {
        let mut is_given_back = false;
        for _ in 0..10 {
            let effects = self.reconcile_once();
            let is_settled = |e: &Effect| matches!(e, Effect::SettleWave(..));
            is_given_back |= effects.iter().any(is_settled);
        }
        is_given_back
    }

    fn reconcile_once(&mut self) -> Vec<Effect> {
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

    /// Runs passes for `ms` and returns the log lines about waiting.
    fn wait_lines(&mut self, ms: u64) -> Vec<Decision> {
        let effects = (0..ms / 100).flat_map(|_| self.reconcile_once());
        let logged = effects.filter_map(|effect| match effect {
            Effect::Log(decision) => Some(decision),
            _ => None,
        });
        logged
            .filter(|d| matches!(d.code, Code::WaveWaits | Code::HostWaits))
            .collect()
    }

    fn read_list(&mut self, state: HostState) {
        let record = HostRecord {
            host: HOST.to_string(),
            hall: "hall".to_string(),
            rack: String::new(),
            pool: POOL.to_string(),
            state,
            worker: "life-2".to_string(),
        };
        wave::apply_list(&mut self.controller, vec![record]);
    }
}

/// The host crashed while it held its slot, and the order reached its next instance, which is just ending. That
/// instance in the in-memory state must not count as the host's return, or another host goes out at the same time.
#[test]
fn waves_crashed_host_is_out() {
    let mut scenario = Scenario::new();
    assert!(
        !scenario.gives_slot_back(),
        "the host was not seen up since its order"
    );
    scenario.read_list(HostState::Upkeep);
    assert!(
        !scenario.gives_slot_back(),
        "the list shows the host as out"
    );
    scenario.read_list(HostState::Up);
    assert!(
        scenario.gives_slot_back(),
        "the list shows the host as back"
    );
}

/// A new owner finds a slot that the former owner took without having sent the order yet. Nothing may be placed on
/// that host.
#[test]
fn waves_slot_found_closes_host() {
    let mut scenario = Scenario::new();
    let wave = scenario.waves.get_mut(&1).expect("the wave is known");
    let slot = wave.row.out.get_mut(HOST).expect("the host holds a slot");
    slot.is_ordered = false;
    scenario.gives_slot_back();
    let key = scenario
        .pool_state
        .worker_on(HOST)
        .expect("the host is listed");
    assert!(scenario.pool_state.workers[key].is_closing);
}

/// A host that stays away is logged once its wave has waited for long, and seldom after that. The lines name the host
/// and the wave.
#[test]
fn waves_wait_logged() {
    let mut scenario = Scenario::new();
    scenario.read_list(HostState::Upkeep);
    assert!(
        scenario.wait_lines(12_000).is_empty(),
        "maintenance may take a while"
    );
    let logged = scenario.wait_lines(3_000);
    let about = |subject, id| logged.iter().filter(|d| d.is_about(subject, id)).count();
    assert_eq!(about(Subject::Wave, "1"), 1, "{logged:?}");
    assert_eq!(about(Subject::Host, HOST), 1, "{logged:?}");
    let is_away = |d: &Decision| d.why.contains("does not name it as up");
    assert!(logged.iter().all(is_away), "{logged:?}");
    assert!(
        scenario.wait_lines(50_000).is_empty(),
        "the wait is not logged again soon"
    );
    assert_eq!(
        scenario.wait_lines(15_000).len(),
        2,
        "the wait is logged again later"
    );
}

/// A pool of nine empty hosts and these waves over all of them, each with room for all.
fn scenario_of_waves(numbers: &[u64]) -> Scenario {
    let mut scenario = Scenario::new();
    scenario.pool_state = PoolState::default();
    let hosts: Vec<String> = (0..9).map(|n| format!("host-{n}")).collect();
    for host in &hosts {
        let info = listed_worker(&format!("w-{host}"), host);
        add_answering_worker(&mut scenario.pool_state, info);
    }
    let wave = |number: &u64| {
        let wave = WaveKnown {
            order: WaveOrder {
                wave: *number,
                hosts: hosts.clone(),
                duration_ms: 10_000,
                out_max: 9,
            },
            seen_ms: 10_000,
            ..WaveKnown::default()
        };
        (*number, wave)
    };
    scenario.waves = numbers.iter().map(wave).collect();
    scenario
}

fn closed_hosts(scenario: &Scenario) -> Vec<String> {
    let workers = scenario.pool_state.workers.values();
    let closed = workers.filter(|w| w.is_closing);
    closed.map(|w| w.info.host.clone()).collect()
}

/// Two waves together take no more of a pool's hosts at a time than one may.
#[test]
fn waves_share_bound() {
    let mut one = scenario_of_waves(&[1]);
    one.reconcile_once();
    assert_eq!(closed_hosts(&one).len(), 3);
    let mut two = scenario_of_waves(&[1, 2]);
    two.reconcile_once();
    two.reconcile_once();
    assert_eq!(closed_hosts(&two).len(), 3);
}

/// A host that is cleared while its wave has no free slot serves its pool again.
#[test]
fn waves_no_slot_reopens() {
    let mut scenario = scenario_of_waves(&[1]);
    let wave = scenario.waves.get_mut(&1).expect("the wave is known");
    wave.order.out_max = 1;
    let taken = SlotRow {
        pool: "another".to_string(),
        is_ordered: true,
        ..SlotRow::default()
    };
    wave.row.out.insert("elsewhere".to_string(), taken);
    scenario.reconcile_once();
    let first = closed_hosts(&scenario);
    assert_eq!(first.len(), 1);
    let mut has_opened = false;
    for _ in 0..70 {
        scenario.reconcile_once();
        has_opened |= !closed_hosts(&scenario).contains(&first[0]);
    }
    assert!(has_opened, "the host is closed for longer than 6 s");
}

/// Hosts that are switched off carry nothing, so many of them have their turns at a time, but they leave slots to the
/// pools that serve.
#[test]
fn waves_hosts_off() {
    let mut scenario = scenario_of_waves(&[1]);
    scenario.pool_state = PoolState::default();
    let off = (0..9).map(|n| HostRecord {
        host: format!("host-{n}"),
        hall: "hall".to_string(),
        rack: String::new(),
        pool: POOL.to_string(),
        state: HostState::Up,
        worker: String::new(),
    });
    wave::apply_list(&mut scenario.controller, off.collect::<Vec<_>>());
    let wave = scenario.waves.get_mut(&1).expect("the wave is known");
    wave.order.duration_ms = 60_000;
    wave.order.out_max = 8;
    let effects = scenario.reconcile_once();
    let is_closing = |e: &&Effect| matches!(e, Effect::Log(d) if d.code == Code::HostClosing);
    assert_eq!(effects.iter().filter(is_closing).count(), 4);
}

/// A host whose lasting task fits on no other host now has its turn once half of the wave's time has passed.
#[test]
fn waves_pressing() {
    let mut scenario = scenario_of_waves(&[1]);
    scenario.pool_state = PoolState::default();
    let key = add_answering_worker(&mut scenario.pool_state, listed_worker("w-0", "host-0"));
    let spec = lasting(1, 1);
    let row = StoredRow {
        part: POOL.to_string(),
        key: "lasts".to_string(),
        value: Some(rows::encode(&spec)),
        revision: 1,
    };
    decide(10_000, |ctx| {
        load::apply_intake(&mut scenario.pool_state, &row, &config(1), 0, ctx);
        place::place(&mut scenario.pool_state, ctx);
    });
    assert_eq!(scenario.pool_state.workers[key].tasks.len(), 1);
    let wave = scenario.waves.get_mut(&1).expect("the wave is known");
    wave.order.duration_ms = 20_000;
    scenario.now_ms = 12_000;
    scenario.reconcile_once();
    assert!(closed_hosts(&scenario).is_empty(), "there is time left");
    scenario.now_ms = 21_000;
    scenario.reconcile_once();
    assert_eq!(closed_hosts(&scenario), ["host-0"]);
}
