//! How many hosts a pool wants, by how much of its work can still be in time.

use std::sync::Arc;

use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::keys::TaskKey;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows::{HeartbeatRow, HEARTBEAT_KEY};
use rockwick::core::sched::sizing::{self, Inputs, Sizing};
use rockwick::core::sched::state::{Ctx, Effect, Event};
use rockwick::core::sched::worker::ClockSample;
use rockwick::core::sched::{load, place, rows};
use rockwick::port::fleet::{Capacity, OperatorEvent, PoolConfig, StoredRow};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, lasting, listed_worker, World, POOL};

/// A pool of hosts with 16 cores each that has no work yet.
struct Fixture {
    pool_state: PoolState,
    sizing: Sizing,
    now_ms: u64,
    jobs: u64,
}

impl Fixture {
    fn new(hosts: u16) -> Self {
        let mut pool_state = PoolState::default();
        for n in 0..hosts {
            let info = listed_worker(&format!("life-{n}"), &format!("host-{n}"));
            load::add_worker(&mut pool_state, info, 0);
        }
        let sizing = Sizing::default();
        Self {
            pool_state,
            sizing,
            now_ms: 100_000,
            jobs: 0,
        }
    }

    fn with_ctx(&mut self, work: impl FnOnce(&mut PoolState, &mut Sizing, &mut Ctx<'_>)) {
        decide(self.now_ms, |ctx| {
            work(&mut self.pool_state, &mut self.sizing, ctx);
        });
    }

    fn submit(&mut self, spec: &JobSpec, accepted_ms: u64) {
        self.jobs += 1;
        let spec = JobSpec {
            accepted_wall_ms: accepted_ms,
            ..spec.clone()
        };
        let row = StoredRow {
            part: POOL.to_string(),
            key: format!("job-{}", self.jobs),
            value: Some(rows::encode(&spec)),
            revision: self.jobs,
        };
        self.with_ctx(|pool_state, _, ctx| {
            load::apply_intake(pool_state, &row, &config(1), 1, ctx)
        });
    }

    /// Runs sizing passes for one second in which nothing changes, and returns the hosts needed and wanted.
    fn reconcile_for_second(&mut self, another_pool_lacks_hosts: bool) -> (u64, u64) {
        let inputs = base_inputs(another_pool_lacks_hosts);
        for _ in 0..10 {
            self.now_ms += 100;
            self.with_ctx(|pool_state, sizing, ctx| {
                sizing::reconcile(pool_state, sizing, &mut Offers::default(), &inputs, ctx);
            });
        }
        (self.sizing.needed, self.sizing.wanted)
    }
}

/// Returns the inputs of a pass in which no host can be given away.
fn base_inputs(another_pool_lacks_hosts: bool) -> Inputs<'static> {
    Inputs {
        pool: POOL,
        epoch: 1,
        can_park: false,
        another_pool_lacks_hosts,
        answer_ms: 5,
    }
}

#[test]
fn sizing_no_load_yet() {
    let mut fixture = Fixture::new(10);
    assert_eq!(
        fixture.reconcile_for_second(false),
        (0, 0),
        "a pool without work asks for no host"
    );
}

#[test]
fn sizing_no_host_yet() {
    let mut fixture = Fixture::new(0);
    fixture.submit(&job(8, 1_000, 60_000), fixture.now_ms);
    assert_eq!(
        fixture.reconcile_for_second(false),
        (3, 3),
        "the size of a host is not known yet"
    );
}

#[test]
fn sizing_late_work_waits() {
    let mut fixture = Fixture::new(10);
    // 160 cores of work that was due a minute ago.
    for _ in 0..20 {
        fixture.submit(&job(8, 1_000, 1_000), fixture.now_ms - 60_000);
    }
    fixture.reconcile_for_second(true);
    let (needed, wanted) = fixture.reconcile_for_second(true);
    assert_eq!(
        (needed, wanted),
        (3, 3),
        "another pool lacks hosts for work in time"
    );
    let (_, wanted) = fixture.reconcile_for_second(false);
    assert_eq!(
        wanted, 13,
        "no other pool lacks hosts: 160 cores and spare capacity"
    );
}

#[test]
fn sizing_work_in_time() {
    let mut fixture = Fixture::new(10);
    for _ in 0..20 {
        fixture.submit(&job(8, 1_000, 60_000), fixture.now_ms);
    }
    let (needed, wanted) = fixture.reconcile_for_second(true);
    assert_eq!((needed, wanted), (13, 13));
}

#[test]
fn sizing_sees_rate() {
    let mut fixture = Fixture::new(10);
    // Within 200 ms, 20 jobs arrive, each of one task that uses 4 cores for 2 s.
    for _ in 0..20 {
        fixture.submit(&job(1, 4_000, 2_000), fixture.now_ms);
        fixture.now_ms += 10;
    }
    let inputs = base_inputs(true);
    fixture.with_ctx(|pool_state, sizing, ctx| {
        sizing::reconcile(pool_state, sizing, &mut Offers::default(), &inputs, ctx);
    });
    // The jobs so far take 80 cores; at that rate 400 will be needed.
    assert_eq!(fixture.sizing.needed, 32);
}

/// Hosts that become free one by one are offered together, so that between two changes of the row other pools can take
/// them.
#[test]
fn sizing_offers_apart() {
    let mut pool_state = PoolState::default();
    let mut sizing = Sizing::default();
    let mut offers = Offers::default();
    for n in 0..12 {
        let info = listed_worker(&format!("life-{n}"), &format!("host-{n}"));
        add_answering_worker(&mut pool_state, info);
    }
    let row = StoredRow {
        part: POOL.to_string(),
        key: "job".to_string(),
        value: Some(rows::encode(&job(1, 1_000, 60_000))),
        revision: 1,
    };
    let inputs = Inputs {
        can_park: true,
        ..base_inputs(true)
    };
    let mut changes = Vec::new();
    decide(100_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), 1, ctx);
    });
    let keys: Vec<_> = pool_state.workers.keys().collect();
    // All hosts run something, and one more becomes empty at each pass.
    let task = TaskKey::default();
    for key in &keys {
        pool_state.workers[*key].add_task(task, Capacity::default());
    }
    for (n, key) in keys.iter().enumerate() {
        pool_state.workers[*key].remove_task(task, Capacity::default());
        let now_ms = 100_000 + n as u64 * 100;
        let effects = decide(now_ms, |ctx| {
            sizing::reconcile(&mut pool_state, &mut sizing, &mut offers, &inputs, ctx);
        });
        if effects
            .iter()
            .any(|e| matches!(e, Effect::SettleOffers(..)))
        {
            changes.push(now_ms);
            offers.apply_change(n as u64 + 1);
        }
    }
    assert!(changes.len() >= 2, "{changes:?}");
    let are_apart = changes.windows(2).all(|w| w[1] >= w[0] + 200);
    assert!(are_apart, "{changes:?}");
}

/// A pool whose peak is over gives hosts away. Two large jobs are no new peak, many jobs are one.
#[test]
fn sizing_chance_takes_nothing_back() {
    let needed_after = |jobs: u64, cpu_milli: u64| {
        let mut fixture = Fixture::new(10);
        for _ in 0..jobs {
            fixture.submit(&job(20, cpu_milli, 1_000), fixture.now_ms);
            fixture.now_ms += 10;
        }
        let mut offers = Offers::default();
        let given = ("host-0".to_string(), "life-0".to_string());
        offers.row.offered = [given].into();
        let inputs = base_inputs(true);
        fixture.with_ctx(|pool_state, sizing, ctx| {
            sizing::reconcile(pool_state, sizing, &mut offers, &inputs, ctx);
        });
        fixture.sizing.needed
    };
    // Two jobs of 40 cores for a second need 7 hosts; by the rate alone it would be 16.
    assert_eq!(needed_after(2, 2_000), 7);
    // Sixteen jobs of 5 cores are the same work at the same rate; minus the statistical spread, 12 hosts.
    assert_eq!(needed_after(16, 250), 12);
}

/// A lasting task that fits on no open host must count as needing another one. The task takes a third of a host's
/// memory, of which two thirds are in use on each host, so by sums there is capacity. The pool then gave hosts away,
/// the task's worker among them, and the task waited for 14 s, until the day ended, and never got a place. Meanwhile
/// `pool-load` showed 24 open hosts, 83 of 384 cores used and one task waiting, `pool-sized` showed 18 hosts wanted,
/// and eight more hosts were idle and on offer.
#[test]
fn sizing_waiting_shape() {
    let mut fixture = Fixture::new(4);
    for worker in fixture.pool_state.workers.values_mut() {
        worker.is_answering = true;
        worker.clock = Some(ClockSample {
            local_ms: 0,
            worker_ms: 0,
        });
    }
    for (count, mem_mb) in [(8, 11_000), (1, 11_056)] {
        let mut spec = lasting(count, 1);
        spec.steps[0].per_worker_max = 4;
        spec.steps[0].mem_mb = mem_mb;
        fixture.submit(&spec, fixture.now_ms);
        fixture.with_ctx(|pool_state, _, ctx| place::place(pool_state, ctx));
    }
    assert_eq!(fixture.pool_state.ready.len(), 1, "one task fits nowhere");
    let (needed, _) = fixture.reconcile_for_second(false);
    assert!(
        needed > 4,
        "{needed} hosts are needed, though one task waits for another"
    );
}

/// Returns how many hosts a pool of ten keeps open after a second, if hosts can be given away.
fn open_hosts_after(spec: &JobSpec, another_pool_lacks_hosts: bool) -> usize {
    let mut fixture = Fixture::new(0);
    for n in 0..10 {
        let info = listed_worker(&format!("life-{n}"), &format!("host-{n}"));
        add_answering_worker(&mut fixture.pool_state, info);
    }
    fixture.submit(spec, fixture.now_ms);
    fixture.with_ctx(|pool_state, _, ctx| place::place(pool_state, ctx));
    let inputs = Inputs {
        can_park: true,
        ..base_inputs(another_pool_lacks_hosts)
    };
    for _ in 0..10 {
        fixture.now_ms += 100;
        fixture.with_ctx(|pool_state, sizing, ctx| {
            sizing::reconcile(pool_state, sizing, &mut Offers::default(), &inputs, ctx);
        });
    }
    let workers = fixture.pool_state.workers.values();
    workers.filter(|w| !w.is_spare).count()
}

/// A pool that has had lasting jobs alone does not know its peaks: it keeps its hosts until its first job that ends, or
/// until another pool lacks some.
#[test]
fn sizing_peaks_unknown() {
    assert_eq!(open_hosts_after(&lasting(2, 1), false), 10);
    assert!(open_hosts_after(&lasting(2, 1), true) < 10);
    assert!(open_hosts_after(&job(1, 500, 1_000), false) < 10);
}

/// A wave doesn't raise a pool's need: the hosts would be missing in others.
#[test]
fn sizing_wave_hosts() {
    let mut fixture = Fixture::new(0);
    for n in 0..12 {
        let info = listed_worker(&format!("life-{n}"), &format!("host-{n}"));
        add_answering_worker(&mut fixture.pool_state, info);
    }
    fixture.submit(&lasting(5, 1), fixture.now_ms);
    fixture.with_ctx(|pool_state, _, ctx| place::place(pool_state, ctx));
    assert_eq!(fixture.reconcile_for_second(false).0, 6);
    let workers = fixture.pool_state.workers.values_mut();
    for (n, worker) in workers.enumerate() {
        worker.awaits_wave = true;
        worker.is_closing = n < 2;
    }
    assert_eq!(fixture.reconcile_for_second(false).0, 6);
}

/// Another pool lacked one host for three seconds, since a worker of it had a pause. A pool full of late work closed all
/// its hosts but six, so that most of its capacity stood still beside tasks that could run.
#[test]
fn sizing_one_host_lacked() {
    const HOSTS: usize = 20;
    let mut world = World::new(1, 1, HOSTS);
    let mut config = config(2);
    for (name, is_parked) in [("other", false), ("parked", true)] {
        let pool = PoolConfig {
            name: name.to_string(),
            is_parked,
        };
        config.pools.insert(name.to_string(), pool);
    }
    world.deliver_event(0, Event::Operator(OperatorEvent::Config(Arc::new(config))));
    world.run(8_000);
    for n in 0..80 {
        world.submit(&format!("late-{n}"), job(8, 4_000, 4_000));
    }
    // By then none of the work can be in time.
    world.run(15_000);
    assert!(open_hosts(&world) >= HOSTS - 1, "{}", open_hosts(&world));
    for count in 0..6 {
        let heartbeat = HeartbeatRow {
            entry: "elsewhere".to_string(),
            count,
            needed: 6,
            serving: 5,
            wanted: 6,
            ..HeartbeatRow::default()
        };
        let row = StoredRow {
            part: "other".to_string(),
            key: HEARTBEAT_KEY.to_string(),
            value: Some(rows::encode(&heartbeat)),
            revision: 1_000_000 + count,
        };
        world.deliver_event(0, Event::Owner(row));
        world.run(500);
    }
    // Under half of the capacity may not stand still beside work.
    assert!(open_hosts(&world) >= HOSTS / 2, "{}", open_hosts(&world));
}

fn open_hosts(world: &World) -> usize {
    let pool_state = world.owner_pool_state().expect("the pool is owned");
    let workers = pool_state.workers.values();
    workers.filter(|w| w.is_open(world.now_ms)).count()
}
