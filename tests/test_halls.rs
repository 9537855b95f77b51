//! Evacuation of data halls: nothing is started in an evacuated hall, whoever owns the pool, until it is given back.

use std::collections::{BTreeMap, BTreeSet};

use rockwick::core::sched::hosts::{self, HostController, Inputs};
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::rows::shard_parts;
use rockwick::core::sched::state::Effect;
use rockwick::event::Code;
use rockwick::platform::Platform;
use rockwick::port::fleet::{
    Directory, HallOrders, HostRecord, HostState, OperatorEvent, TxOutcome,
};
use standin::fleet::Fleet;

use crate::decide::{decide, donor_config, pool_need};
use crate::fleet::run_rockwick;
use crate::test_serve::{start_entry, wait_until};
use crate::world::{job, lasting, World, POOL};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Longer than the users' bound on the last start in an evacuated hall.
const EVACUATED_MS: u64 = 7_000;

/// Time within which work goes on after a change of owner.
const TAKEOVER_MS: u64 = 12_000;

/// Returns a world with two entries and six workers in two halls, whose pool has an owner.
fn settled_world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 6);
    world.run(SETTLE_MS);
    world
}

/// Submits a job every 200 ms for `ms`. The world checks each start.
fn keep_busy(world: &mut World, ms: u64) {
    let until_ms = world.now_ms + ms;
    while world.now_ms < until_ms {
        world.submit(&format!("job-{}", world.now_ms), job(4, 1_500, 400));
        world.run(200);
    }
}

fn starts_in(world: &World, hall: &str) -> u64 {
    world.starts_by_hall.get(hall).copied().unwrap_or(0)
}

/// Runs `disturb` right after the evacuation of a hall, and checks that the hall gets nothing more and the other one
/// takes the work. The world checks the bound for entries that are in touch.
fn check_evacuation(disturb: impl Fn(&mut World)) {
    for seed in 0..6 {
        let mut world = settled_world(seed);
        keep_busy(&mut world, 2_000);
        world.evacuate("hall-0");
        disturb(&mut world);
        keep_busy(&mut world, EVACUATED_MS);
        let before = (starts_in(&world, "hall-0"), starts_in(&world, "hall-1"));
        keep_busy(&mut world, TAKEOVER_MS);
        assert_eq!(starts_in(&world, "hall-0"), before.0, "seed {seed}");
        assert!(starts_in(&world, "hall-1") > before.1, "seed {seed}");
        world.return_hall("hall-0");
        world.evacuate("hall-1");
        keep_busy(&mut world, 4_000);
        assert!(starts_in(&world, "hall-0") > before.0, "seed {seed}");
    }
}

#[test]
fn halls_no_start() {
    check_evacuation(|_| {});
}

#[test]
fn halls_owner_killed() {
    check_evacuation(|world| {
        let owner = world.owner_entry().expect("the pool has an owner");
        world.kill(owner);
        world.boot(owner);
    });
}

#[test]
fn halls_owner_frozen() {
    check_evacuation(|world| {
        let owner = world.owner_entry().expect("the pool has an owner");
        world.freeze(owner, 1_000);
    });
    check_evacuation(|world| {
        let owner = world.owner_entry().expect("the pool has an owner");
        world.freeze(owner, 6_000);
    });
}

#[test]
fn halls_owner_disconnected() {
    check_evacuation(|world| {
        let owner = world.owner_entry().expect("the pool has an owner");
        world.disconnect_entry(owner, 1_200);
    });
}

#[test]
fn halls_all_restarted() {
    check_evacuation(|world| world.restart_all_entries());
}

/// The store records a placement only after the hall was evacuated. The start must not be sent then.
#[test]
fn halls_recorded_late() {
    for seed in 0..6 {
        let mut world = settled_world(seed);
        world.unavailable_parts.extend(shard_parts(POOL));
        world.submit("late", job(6, 1_500, 400));
        world.run(500);
        world.evacuate("hall-0");
        world.run(300);
        world.unavailable_parts.clear();
        world.run(TAKEOVER_MS);
        assert_eq!(starts_in(&world, "hall-0"), 0, "seed {seed}");
        assert_eq!(world.recorded_state("late"), JobState::Completed);
    }
}

/// Orders get no answer: a start that may have reached its worker before the evacuation is not sent again after it.
#[test]
fn halls_starts_unanswered() {
    for seed in 0..6 {
        let mut world = settled_world(seed);
        world.faults.order_lost = 500;
        keep_busy(&mut world, 2_000);
        world.evacuate("hall-0");
        keep_busy(&mut world, EVACUATED_MS);
        let before = starts_in(&world, "hall-0");
        keep_busy(&mut world, 4_000);
        assert_eq!(starts_in(&world, "hall-0"), before, "seed {seed}");
    }
}

/// With both halls evacuated nothing starts, and work goes on in the hall that is given back.
#[test]
fn halls_both_evacuated() {
    let mut world = settled_world(1);
    world.evacuate("hall-0");
    world.evacuate("hall-1");
    world.run(1_000);
    let before = world.starts;
    world.submit("waits", job(4, 1_500, 400));
    world.run(EVACUATED_MS);
    assert_eq!(world.starts, before);
    world.return_hall("hall-1");
    world.run(4_000);
    assert_eq!(world.recorded_state("waits"), JobState::Completed);
    assert_eq!(starts_in(&world, "hall-0"), 0);
    world.evacuate("hall-1");
    world.return_hall("hall-0");
    world.run(100);
    let before = starts_in(&world, "hall-1");
    keep_busy(&mut world, 3_000);
    assert_eq!(starts_in(&world, "hall-1"), before);
    assert!(starts_in(&world, "hall-0") > 0);
}

/// The return of a hall is missed because the store lost its history: the whole table shows that the hall is back.
#[test]
fn halls_read_again() {
    let mut world = settled_world(2);
    world.evacuate("hall-0");
    world.run(500);
    for n in 0..2 {
        world.disconnect_entry(n, 300);
    }
    world.return_hall("hall-0");
    world.run(1_000);
    for n in 0..2 {
        world.reread_halls(n);
    }
    world.evacuate("hall-1");
    let before = starts_in(&world, "hall-0");
    keep_busy(&mut world, 3_000);
    assert!(starts_in(&world, "hall-0") > before);
}

/// What runs in the hall goes on, and lasting tasks move to the other hall as far as their step allows.
#[test]
fn halls_lasting_move() {
    for seed in 0..6 {
        let mut world = settled_world(seed);
        world.submit("lasts", lasting(3, 1));
        world.submit("runs", job(6, 3_000, 3_000));
        world.run(5_000);
        let halls = |world: &World| {
            let on = (0..3).filter_map(|n| world.worker_running("lasts", n));
            on.map(|id| world.worker_info(&id).hall).collect::<Vec<_>>()
        };
        assert_eq!(halls(&world).len(), 3, "seed {seed}");
        world.evacuate("hall-0");
        world.run(20_000);
        assert_eq!(halls(&world), ["hall-1"; 3], "seed {seed}");
        assert_eq!(world.recorded_state("runs"), JobState::Completed);
    }
}

/// Lasting tasks stay where they are while no other hall has room for them.
#[test]
fn halls_lasting_stay() {
    let mut world = settled_world(3);
    world.submit("lasts", lasting(6, 1));
    world.run(5_000);
    world.evacuate("hall-0");
    let starts = world.starts;
    world.run(10_000);
    assert_eq!(world.running("lasts"), 6);
    assert_eq!(world.starts, starts, "no task was stopped to wait");
}

/// The owner logs the change once, with its workers there.
#[test]
fn halls_logged() {
    let mut world = settled_world(4);
    world.keeps_log = true;
    world.evacuate("hall-0");
    world.evacuate("hall-0");
    world.run(100);
    world.return_hall("hall-0");
    world.run(100);
    let of_owner = |code| {
        let lines = world.log.iter().filter(|d| d.code == code);
        let with_workers = lines.filter(|d| d.figures.iter().any(|(_, n)| *n == 3));
        with_workers.count()
    };
    assert_eq!(of_owner(Code::HallEvacuated), 1);
    assert_eq!(of_owner(Code::HallReturned), 1);
}

/// Returns the hosts that are ordered to move to pool `busy`, which lacks hosts, while `h1` and `h2` are switched off.
fn moved_hosts(evacuated_halls: &BTreeSet<String>) -> Vec<String> {
    let config = donor_config("donor");
    let offers = Offers::default();
    let needs = [pool_need("busy", 5, &offers, 100_000)];
    let inputs = Inputs {
        config: &config,
        needs: &needs,
        evacuated_halls,
        pool: "off",
        epoch: 7,
    };
    let list = [("h1", "hall-0"), ("h2", "hall-1")].map(|(host, hall)| HostRecord {
        host: host.to_string(),
        pool: "off".to_string(),
        hall: hall.to_string(),
        rack: String::new(),
        state: HostState::Up,
        worker: String::new(),
    });
    let mut controller = HostController::default();
    let effects = decide(100_000, |ctx| {
        controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
        hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
        hosts::apply_list(&mut controller, list.to_vec());
        hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
        hosts::apply_recorded(&mut controller, &TxOutcome::Committed(9), 7, ctx);
    });
    let moved = effects.into_iter().filter_map(|effect| match effect {
        Effect::OrderHost(_, _, host, ..) => Some(host),
        _ => None,
    });
    moved.collect()
}

/// A pool that lacks hosts gets none of an evacuated hall.
#[test]
fn halls_hosts_stay() {
    assert_eq!(moved_hosts(&BTreeSet::new()).len(), 2);
    let evacuated = BTreeSet::from(["hall-1".to_string()]);
    assert_eq!(moved_hosts(&evacuated), ["h1"]);
}

/// The order is a row of the operator's table. A reading of the whole table names all evacuated halls first.
#[test]
fn halls_in_table() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the fleet starts");
    let platform = Platform::new(fleet.address, Some(fleet.address));
    fleet.configure(7, POOL);
    smol::block_on(async {
        let first = platform.evacuate_hall("a", "a fire drill").await;
        assert!(matches!(first, TxOutcome::Committed(_)));
        let again = platform.evacuate_hall("a", "").await;
        assert!(matches!(again, TxOutcome::Conflict(_)));
        fleet.put_bytes("op", "", "evacuate/b", b"not JSON");
        let table = platform.read_operator_table().await.expect("read");
        let both = BTreeSet::from(["a".to_string(), "b".to_string()]);
        assert_eq!(table.changes[0], OperatorEvent::EvacuatedHalls(both));
        let orders = platform.list_evacuated_halls().await.expect("read");
        let reasons: Vec<&str> = orders.iter().map(|order| order.why.as_str()).collect();
        assert_eq!(reasons, ["a fire drill", ""]);
        let back = platform.return_hall("a", orders[0].revision).await;
        assert!(matches!(back, TxOutcome::Committed(_)));
        let feed = platform
            .wait_for_operator_changes(table.revision, 1_000)
            .await;
        let returned = OperatorEvent::HallReturned("a".to_string());
        assert_eq!(feed.expect("read").changes, [returned]);
    });
}

/// An operator evacuates a hall and gives it back by commands; the entry explains both.
#[test]
fn halls_commands() {
    let fleet = Fleet::start(POOL, 2, 50).expect("the fleet starts");
    fleet.configure(1, POOL);
    let entry = start_entry(&fleet, "e1");
    let store = fleet.address.to_string();
    let run = |args: &[&str]| {
        let mut all = vec!["hall"];
        all.extend(args);
        all.extend(["--store", &store]);
        let out = run_rockwick(&all, &[]);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        (out.status.success(), text)
    };
    let why = ["evacuate", "hall-a", "--why", "cooling"];
    assert!(run(&why).0);
    assert!(!run(&why).0, "it is evacuated already");
    assert!(run(&["list"]).1.contains("cooling"));
    assert!(run(&["show", "hall-a", "--json"]).1.contains("\"hall-a\""));
    wait_until("the entry knows", || {
        entry.lines().iter().any(|l| l.contains("hall-evacuated"))
    });
    assert!(run(&["return", "hall-a"]).0);
    assert!(!run(&["return", "hall-a"]).0, "it is in service");
    assert!(!run(&["show", "hall-a"]).0);
    wait_until("the entry explains", || {
        let metrics = entry.metrics.to_string();
        let out = run_rockwick(&["explain", "hall", "hall-a", "--entry", &metrics], &[]);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        text.contains("632") && text.contains("633")
    });
}
