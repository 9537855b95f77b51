//! How many hosts a pool wants, by what its work can still earn.

use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::keys::TaskKey;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::sizing::{self, Inputs, Sizing};
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::core::sched::worker::ClockSample;
use rockwick::core::sched::{load, place, rows};
use rockwick::port::fleet::{Capacity, StoredRow};

use crate::decide::{answering, decide};
use crate::world::{config, job, lasting, worker_fact, POOL};

/// A pool of hosts with 16 cores each, and nothing to do.
struct Bench {
    pool_state: PoolState,
    sizing: Sizing,
    now_ms: u64,
    jobs: u64,
}

impl Bench {
    fn new(hosts: u16) -> Self {
        let mut pool_state = PoolState::default();
        for n in 0..hosts {
            let fact = worker_fact(&format!("life-{n}"), &format!("host-{n}"));
            load::add_worker(&mut pool_state, fact, 0);
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

    /// Hosts needed and wanted, looked at for a second in which nothing changes.
    fn look(&mut self, pressed: bool) -> (u64, u64) {
        let with = calm(pressed);
        for _ in 0..10 {
            self.now_ms += 100;
            self.with_ctx(|pool_state, sizing, ctx| {
                sizing::reconcile(pool_state, sizing, &mut Offers::default(), &with, ctx);
            });
        }
        (self.sizing.needed, self.sizing.wanted)
    }
}

/// A look where no host can be given away.
fn calm(pressed: bool) -> Inputs<'static> {
    Inputs {
        pool: POOL,
        epoch: 1,
        can_park: false,
        pressed,
        answer_ms: 5,
    }
}

#[test]
fn sizing_no_load_yet() {
    let mut bench = Bench::new(10);
    assert_eq!(bench.look(false), (0, 0), "it asks for nothing");
}

#[test]
fn sizing_no_host_yet() {
    let mut bench = Bench::new(0);
    bench.submit(&job(8, 1_000, 60_000), bench.now_ms);
    assert_eq!(bench.look(false), (3, 3), "nobody knows how large one is");
}

#[test]
fn sizing_late_work_waits() {
    let mut bench = Bench::new(10);
    // 160 cores of work that should have been done a minute ago.
    for _ in 0..20 {
        bench.submit(&job(8, 1_000, 1_000), bench.now_ms - 60_000);
    }
    bench.look(true);
    let (needed, wanted) = bench.look(true);
    assert_eq!(
        (needed, wanted),
        (3, 3),
        "another pool lacks hosts for work in time"
    );
    let (_, wanted) = bench.look(false);
    assert_eq!(
        wanted, 13,
        "nobody else lacks any: 160 cores and room beside them"
    );
}

#[test]
fn sizing_work_in_time() {
    let mut bench = Bench::new(10);
    for _ in 0..20 {
        bench.submit(&job(8, 1_000, 60_000), bench.now_ms);
    }
    let (needed, wanted) = bench.look(true);
    assert_eq!((needed, wanted), (13, 13));
}

#[test]
fn sizing_sees_rate() {
    let mut bench = Bench::new(10);
    // Within 200 ms come 20 jobs of one task that keeps 4 cores busy for 2 s.
    for _ in 0..20 {
        bench.submit(&job(1, 4_000, 2_000), bench.now_ms);
        bench.now_ms += 10;
    }
    let with = calm(true);
    bench.with_ctx(|pool_state, sizing, ctx| {
        sizing::reconcile(pool_state, sizing, &mut Offers::default(), &with, ctx);
    });
    // What came takes 80 cores; at that rate it will take 400.
    assert_eq!(bench.sizing.needed, 32);
}

/// Hosts that come free one by one go on offer together: between two changes of the row they can be taken.
#[test]
fn sizing_offers_apart() {
    let mut pool_state = PoolState::default();
    let mut sizing = Sizing::default();
    let mut offers = Offers::default();
    for n in 0..12 {
        let fact = worker_fact(&format!("life-{n}"), &format!("host-{n}"));
        answering(&mut pool_state, fact);
    }
    let row = StoredRow {
        part: POOL.to_string(),
        key: "job".to_string(),
        value: Some(rows::encode(&job(1, 1_000, 60_000))),
        revision: 1,
    };
    let with = Inputs {
        can_park: true,
        ..calm(true)
    };
    let mut changes = Vec::new();
    decide(100_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), 1, ctx);
    });
    let keys: Vec<_> = pool_state.workers.keys().collect();
    // All carry something; one host more is empty at each look.
    let task = TaskKey::default();
    for key in &keys {
        pool_state.workers[*key].add_task(task, Capacity::default());
    }
    for (n, key) in keys.iter().enumerate() {
        pool_state.workers[*key].remove_task(task, Capacity::default());
        let now_ms = 100_000 + n as u64 * 100;
        let effects = decide(now_ms, |ctx| {
            sizing::reconcile(&mut pool_state, &mut sizing, &mut offers, &with, ctx);
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

/// A pool whose peak is over and that gives hosts away: two large jobs are no new peak, many jobs are one.
#[test]
fn sizing_chance_takes_nothing_back() {
    let needed_after = |jobs: u64, cpu_milli: u64| {
        let mut bench = Bench::new(10);
        for _ in 0..jobs {
            bench.submit(&job(20, cpu_milli, 1_000), bench.now_ms);
            bench.now_ms += 10;
        }
        let mut offers = Offers::default();
        let given = ("host-0".to_string(), "life-0".to_string());
        offers.row.offered = [given].into();
        let with = calm(true);
        bench.with_ctx(|pool_state, sizing, ctx| {
            sizing::reconcile(pool_state, sizing, &mut offers, &with, ctx);
        });
        bench.sizing.needed
    };
    // Two jobs of 40 cores for a second: they need 7 hosts; by the bare rate it would be 16.
    assert_eq!(needed_after(2, 2_000), 7);
    // Sixteen of 5 cores: the same work and rate; less the spread, 12.
    assert_eq!(needed_after(16, 250), 12);
}

/// A worker with a task that lasts was emptied and taken away; the task waited for 14 s, until the day ended, and never got a
/// place: `pool-load` told 24 open hosts, 83 of 384 cores used and one task waiting, `pool-sized` that 18 hosts were wanted,
/// and eight more stood idle on offer. The task takes a third of a host's memory, of which two thirds were taken on each; by
/// sums there was room.
#[test]
fn sizing_waiting_shape() {
    let mut bench = Bench::new(4);
    for worker in bench.pool_state.workers.values_mut() {
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
        bench.submit(&spec, bench.now_ms);
        bench.with_ctx(|pool_state, _, ctx| place::place(pool_state, ctx));
    }
    assert_eq!(bench.pool_state.ready.len(), 1, "one fits nowhere");
    let (needed, _) = bench.look(false);
    assert!(needed > 4, "{needed} hosts, and one task waits for another");
}
