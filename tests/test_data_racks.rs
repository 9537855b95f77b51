//! Whether tasks wait for the rack of their data, and in which racks a pool's hosts are.

use std::collections::BTreeMap;

use fastrand::Rng;
use rockwick::core::sched::data_racks::{self, expected_end_ms, Ends, RackView};
use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::hosts::{self, HostController, PoolNeed};
use rockwick::core::sched::job::{JobSpec, JobState};
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::sizing::{self, Sizing};
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::{load, place, rows};
use rockwick::event::Code;
use rockwick::port::fleet::{HostRecord, HostState, StoredRow};

use crate::decide::{add_answering_worker, decide, decide_in, donor_config, pool_need};
use crate::world::{config, job, lasting, listed_worker, POOL};

const START_MS: u64 = 100_000;

/// Time that a task takes near its data, and how many times as long it takes elsewhere.
const RUN_MS: u64 = 800;
const FACTOR: u64 = 3;

/// Runs `work` in a deployment where tasks take `factor_milli` times as long outside the rack of their data.
fn decide_with(factor_milli: u64, now_ms: u64, work: impl FnOnce(&mut Ctx<'_>)) -> Vec<Effect> {
    let deployment = Deployment {
        remote_data_factor_milli: factor_milli,
        ..Deployment::default()
    };
    decide_in(deployment, now_ms, work)
}

/// A pool whose hosts of 16 cores are in several racks, and the runs on it.
struct Pool {
    state: PoolState,
    factor_milli: u64,
    now_ms: u64,
    jobs: u64,
    /// Ends of the runs under way.
    ends: BTreeMap<(u64, TaskKey), ()>,
    in_time: u64,
    remote_runs: u64,
    log: Vec<Code>,
}

impl Pool {
    fn new(factor_milli: u64, racks: usize, hosts_per_rack: usize) -> Self {
        let mut state = PoolState::default();
        for n in 0..racks * hosts_per_rack {
            let mut info = listed_worker(&format!("life-{n}"), &format!("host-{n}"));
            info.labels = vec!["kind".to_string(), format!("r{}", n / hosts_per_rack)];
            add_answering_worker(&mut state, info);
        }
        Self {
            state,
            factor_milli,
            now_ms: START_MS,
            jobs: 0,
            ends: BTreeMap::new(),
            in_time: 0,
            remote_runs: 0,
            log: Vec::new(),
        }
    }

    fn submit(&mut self, mut spec: JobSpec) {
        self.jobs += 1;
        spec.accepted_wall_ms = self.now_ms;
        let row = StoredRow {
            part: POOL.to_string(),
            key: format!("job-{}", self.jobs),
            value: Some(rows::encode(&spec)),
            revision: self.jobs,
        };
        let state = &mut self.state;
        decide_with(self.factor_milli, self.now_ms, |ctx| {
            load::apply_intake(state, &row, &config(1), 1, ctx)
        });
    }

    /// Places tasks, and begins their runs.
    fn place(&mut self) {
        let state = &mut self.state;
        let effects = decide_with(self.factor_milli, self.now_ms, |ctx| {
            place::place(state, ctx)
        });
        self.log.extend(effects.iter().filter_map(|e| match e {
            Effect::Log(d) => Some(d.code),
            _ => None,
        }));
        for (key, _) in std::mem::take(&mut self.state.unsent_starts) {
            let Some(Phase::Recording(worker)) = self.state.task(key).map(|t| t.phase) else {
                continue;
            };
            self.state
                .set_phase(key, Phase::Running(worker), self.now_ms);
            let is_remote = self.is_remote(key, worker);
            self.remote_runs += u64::from(is_remote);
            let run_ms = if is_remote { FACTOR * RUN_MS } else { RUN_MS };
            self.ends.insert((self.now_ms + run_ms, key), ());
        }
    }

    fn is_remote(&self, key: TaskKey, worker: WorkerKey) -> bool {
        let rack = self
            .state
            .step_spec(key)
            .and_then(|s| s.data_rack.as_deref());
        rack.is_some_and(|rack| rack != self.state.workers[worker].rack())
    }

    /// Ends the runs that are over, and counts the jobs that are completed in time.
    fn end_runs(&mut self) {
        while let Some(((at_ms, key), ())) = self.ends.first_key_value().map(|(k, v)| (*k, *v)) {
            if at_ms > self.now_ms {
                return;
            }
            self.ends.pop_first();
            self.state.set_phase(key, Phase::Done, self.now_ms);
            let job = &mut self.state.jobs[key.job];
            let Some(round) = job.rounds.get_mut(&key.round) else {
                continue;
            };
            let step = &mut round.steps[usize::from(key.step)];
            step.tasks_left -= 1;
            if step.tasks_left == 0 {
                self.in_time += u64::from(self.now_ms <= round.due_ms);
                self.state
                    .set_state(key.job, JobState::Completed, self.now_ms);
            }
        }
    }

    /// Advances the time, with a pass of sizing every 100 ms, in which no host can be closed.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now_ms += 10;
            self.end_runs();
            if self.now_ms.is_multiple_of(100) {
                self.size(&mut Sizing::default(), false);
                self.state.resort(self.now_ms);
            }
            self.place();
        }
    }

    fn size(&mut self, sizing: &mut Sizing, can_park: bool) {
        let inputs = sizing::Inputs {
            pool: POOL,
            epoch: 1,
            can_park,
            another_pool_lacks_hosts: false,
            answer_ms: 5,
        };
        let state = &mut self.state;
        decide_with(self.factor_milli, self.now_ms, |ctx| {
            sizing::reconcile(state, sizing, &mut Offers::default(), &inputs, ctx);
        });
    }

    /// Returns how many of the pool's open workers are in each rack.
    fn open_by_rack(&self) -> BTreeMap<&str, usize> {
        let mut open = BTreeMap::new();
        let workers = self.state.workers.values();
        for worker in workers.filter(|w| w.is_open(self.now_ms)) {
            *open.entry(worker.rack()).or_default() += 1;
        }
        open
    }
}

fn job_in(rack: &str, count: u16) -> JobSpec {
    let mut spec = job(count, 2_900, RUN_MS);
    spec.steps[0].data_rack = Some(rack.to_string());
    spec
}

/// Plays a pool of four racks for 12 s at `percent` of its capacity. Of the jobs, `near_percent` name a rack, and of
/// these `hot_percent` the first one. Returns jobs in time, jobs, and runs outside the rack of their data.
fn play(factor_milli: u64, percent: u64, near_percent: u32, hot_percent: u32) -> [u64; 3] {
    let mut sums = [0; 3];
    for seed in 0..3 {
        let mut rng = Rng::with_seed(seed);
        let mut pool = Pool::new(factor_milli, 4, 4);
        // A host takes five tasks, and a job has six.
        let gap_ms = RUN_MS * 6 * 100 / (16 * 5 * percent);
        for _ in 0..12_000 / gap_ms {
            let is_near = rng.u32(0..100) < near_percent;
            let is_hot = rng.u32(0..100) < hot_percent;
            let rack = if is_hot { 0 } else { rng.u32(0..4) };
            let spec = match is_near {
                true => job_in(&format!("r{rack}"), 6),
                false => job(6, 2_900, RUN_MS),
            };
            pool.submit(spec);
            pool.run(gap_ms / 10 * 10);
        }
        pool.run(10_000);
        sums[0] += pool.in_time;
        sums[1] += pool.jobs;
        sums[2] += pool.remote_runs;
    }
    sums
}

/// Four jobs in ten name one of four racks, at three quarters of the pool's capacity.
#[test]
fn racks_even_load() {
    let before = play(0, 75, 40, 0);
    let now = play(FACTOR * 1_000, 75, 40, 0);
    println!("in time, jobs, remote: before {before:?}, now {now:?}");
    assert!(now[2] * 4 < before[2], "before {before:?}, now {now:?}");
    assert!(
        now[0] * 100 >= before[0] * 110,
        "before {before:?}, now {now:?}"
    );
}

/// Six jobs in ten name the same rack, which has a quarter of the hosts, at half of the pool's capacity.
#[test]
fn racks_hot() {
    let before = play(0, 50, 100, 60);
    let now = play(FACTOR * 1_000, 50, 100, 60);
    println!("in time, jobs, remote: before {before:?}, now {now:?}");
    assert!(
        now[0] * 100 >= before[0] * 105,
        "before {before:?}, now {now:?}"
    );
}

#[test]
fn racks_ends_compared() {
    let ends = |near_ms, elsewhere_ms, latest_ms| Ends {
        near_ms,
        elsewhere_ms,
        latest_ms,
    };
    assert!(ends(5, 9, 20).is_near_better(), "it ends earlier near");
    assert!(
        !ends(15, 9, 20).is_near_better(),
        "it ends earlier elsewhere"
    );
    assert!(ends(15, 25, 20).is_near_better(), "in time near only");
    assert!(!ends(25, 15, 20).is_near_better(), "in time elsewhere only");
    assert!(ends(35, 25, 20).is_near_better(), "late in both places");
}

#[test]
fn racks_expected_start() {
    let mut view = RackView::new(0, vec![(300, 2_000), (100, 2_000), (200, 2_000)]);
    assert_eq!(view.expected_start_ms(2_000, 500, 0), 100);
    assert_eq!(view.expected_start_ms(3_000, 500, 0), 200);
    view.add_waiting(4_000);
    assert_eq!(view.expected_start_ms(2_000, 500, 0), 300);
    view.add_waiting(2_000);
    assert_eq!(
        view.expected_start_ms(2_000, 500, 0),
        600,
        "in the next turn"
    );
    let unused = RackView::new(0, Vec::new());
    assert_eq!(unused.expected_start_ms(2_000, 500, 40), 540);
}

/// A run that takes longer than expected, as on a slow worker, is not about to end.
#[test]
fn racks_overdue_run() {
    assert_eq!(expected_end_ms(1_000, 800, 1_300), 1_800);
    assert_eq!(expected_end_ms(1_000, 800, 5_000), 6_000);
}

/// Fills the first rack, and submits one job more for it.
fn full_rack(factor_milli: u64) -> Pool {
    let mut pool = Pool::new(factor_milli, 2, 1);
    pool.submit(job_in("r0", 5));
    pool.place();
    assert_eq!((pool.ends.len(), pool.remote_runs), (5, 0));
    pool.run(100);
    pool.submit(job_in("r0", 1));
    pool
}

#[test]
fn racks_task_waits() {
    let mut pool = full_rack(FACTOR * 1_000);
    pool.run(RUN_MS);
    assert_eq!(pool.remote_runs, 0);
    assert_eq!(pool.ends.len(), 1, "the task runs in its rack");
    assert!(pool.log.contains(&Code::DataRackAwaited));
}

#[test]
fn racks_factor_unknown() {
    let mut pool = full_rack(0);
    pool.place();
    assert_eq!(pool.remote_runs, 1, "the task runs elsewhere at once");
}

/// A task does not wait for a rack whose hosts take no work.
#[test]
fn racks_closed() {
    let close: [fn(&mut PoolState, WorkerKey); 5] = [
        |state, key| state.workers[key].info.capacity.mem_mb = 50,
        |state, key| state.workers[key].is_evacuated = true,
        |state, key| state.workers[key].is_closing = true,
        |state, key| state.workers[key].is_answering = false,
        |state, key| state.remove_worker(key, START_MS),
    ];
    for (n, close) in close.into_iter().enumerate() {
        let mut pool = full_rack(FACTOR * 1_000);
        pool.run(100);
        assert_eq!(pool.remote_runs, 0, "case {n}: the task waits");
        let near = pool.state.workers.iter();
        let near = near.filter(|(_, w)| w.rack() == "r0").map(|(key, _)| key);
        let near: Vec<WorkerKey> = near.collect();
        near.into_iter().for_each(|key| close(&mut pool.state, key));
        pool.state.wants_placing = true;
        pool.run(100);
        assert_eq!(pool.remote_runs, 1, "case {n}: the task runs elsewhere");
    }
}

/// A task does not wait for a rack in which no worker has its label, or only the one on which it failed.
#[test]
fn racks_none_suitable() {
    for is_label in [true, false] {
        let mut pool = full_rack(FACTOR * 1_000);
        pool.run(50);
        let task = pool.state.ready.first().map(|rank| rank.task);
        let task = task.expect("the task waits for its rack");
        if is_label {
            let elsewhere = pool.state.workers.values_mut();
            let elsewhere = elsewhere.filter(|w| w.rack() == "r1");
            elsewhere.for_each(|w| w.info.labels.push("b".to_string()));
            pool.state.jobs[task.job].spec.steps[0].label = Some("b".to_string());
        } else {
            let mut workers = pool.state.workers.iter();
            let near = workers.find(|(_, w)| w.rack() == "r0").map(|(key, _)| key);
            pool.state
                .task_mut(task)
                .expect("the task is there")
                .failed_on = near;
        }
        pool.run(50);
        assert_eq!(pool.remote_runs, 1, "label: {is_label}");
    }
}

/// The runs in the rack stand still: the task waits no longer than it would take elsewhere.
#[test]
fn racks_wait_bounded() {
    let mut pool = full_rack(FACTOR * 1_000);
    pool.ends.clear();
    pool.run(FACTOR * RUN_MS - 300);
    assert_eq!(
        pool.remote_runs, 1,
        "it waits for less than 3 s, however long a run takes elsewhere"
    );
    assert!(pool.log.contains(&Code::DataRackLeft));
}

/// Tasks without data and lasting tasks leave the rack to those that name it, as long as there is room elsewhere.
#[test]
fn racks_left_free() {
    for spec in [job(1, 2_900, RUN_MS), lasting(1, 1)] {
        let mut pool = Pool::new(FACTOR * 1_000, 2, 1);
        pool.submit(job_in("r0", 4));
        pool.run(100);
        pool.submit(spec.clone());
        pool.place();
        let used = |rack: &str| {
            let mut workers = pool.state.workers.values();
            let worker = workers
                .find(|w| w.rack() == rack)
                .expect("the rack is there");
            worker.tasks.len()
        };
        assert_eq!((used("r0"), used("r1")), (4, 1), "{spec:?}");
    }
}

/// A pool closes hosts outside the racks that its work names first, and keeps one host in each rack that was named.
#[test]
fn racks_hosts_kept() {
    let mut pool = Pool::new(FACTOR * 1_000, 4, 4);
    let mut sizing = Sizing::default();
    pool.submit(job_in("r1", 10));
    pool.submit(job_in("r3", 1));
    pool.place();
    for _ in 0..5 {
        pool.now_ms += 100;
        pool.size(&mut sizing, true);
    }
    let open = pool.open_by_rack();
    assert!(open.values().sum::<usize>() < 8, "{open:?}");
    assert!(open["r1"] >= 3 && open["r3"] >= 1, "{open:?}");
}

/// A pool publishes the racks in which it lacks hosts, few enough for its heartbeat.
#[test]
fn racks_lacking() {
    let mut pool = Pool::new(FACTOR * 1_000, 1, 4);
    for n in 0..20 {
        pool.submit(job_in(&format!("x{n}"), 1));
    }
    pool.submit(job_in("x3", 40));
    let mut sizing = Sizing::default();
    pool.size(&mut sizing, false);
    let lacking = data_racks::lacking(&pool.state, pool.now_ms);
    assert_eq!(lacking.len(), 8);
    assert!(lacking["x3"] >= 8, "{lacking:?}");
    // Racks that no host may be in cost at most a quarter more hosts.
    let mut plain = Pool::new(FACTOR * 1_000, 1, 4);
    plain.submit(job(60, 2_900, RUN_MS));
    let mut without = Sizing::default();
    plain.size(&mut without, false);
    assert!(
        sizing.needed <= without.needed * 5 / 4,
        "{sizing:?}, {without:?}"
    );
}

/// Hosts of the racks that a pool lacks are moved to it first, those that are off as well as those on offer.
#[test]
fn racks_moves() {
    let names = ["h0", "h1", "h2", "h3", "h4", "h5"];
    let list = names.iter().enumerate().map(|(n, host)| HostRecord {
        host: host.to_string(),
        hall: "hall".to_string(),
        rack: format!("r{}", n % 3),
        pool: if n < 3 { "off" } else { "idle" }.to_string(),
        state: HostState::Up,
        worker: format!("worker of {host}"),
    });
    let list: Vec<HostRecord> = list.collect();
    let (none, mut offers) = (Offers::default(), Offers::default());
    let offered = list.iter().filter(|h| h.pool == "idle");
    offers.row.offered = offered
        .map(|h| (h.host.clone(), h.worker.clone()))
        .collect();
    for (lacking, expected) in [("r1", "h1"), ("r0", "h0"), ("r2", "h2"), ("r9", "h2")] {
        let lacking_racks = BTreeMap::from([(lacking.to_string(), 2)]);
        let busy = PoolNeed {
            lacking_racks: &lacking_racks,
            ..pool_need("busy", 2, &none, START_MS)
        };
        let needs = [busy, pool_need("idle", 0, &offers, START_MS)];
        let config = donor_config("idle");
        let inputs = hosts::Inputs {
            config: &config,
            needs: &needs,
            evacuated_halls: &Default::default(),
            pool: "off",
            epoch: 7,
        };
        let mut controller = HostController::default();
        let mut ordered = Vec::new();
        for _ in 0..2 {
            let effects = decide(START_MS, |ctx| {
                if ordered.is_empty() {
                    controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
                }
                hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
                hosts::apply_list(&mut controller, list.clone());
                hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
            });
            let log = effects.iter().filter_map(|e| match e {
                Effect::Log(d) if d.code == Code::MoveOrdered => Some(format!("{d:?}")),
                _ => None,
            });
            ordered.extend(log);
        }
        let moved: Vec<&str> = names
            .into_iter()
            .filter(|h| controller.has_order(h))
            .collect();
        assert_eq!(moved.len(), 2, "{lacking}: {moved:?} {ordered:?}");
        assert!(moved.contains(&expected), "{lacking}: {moved:?}");
        let is_near = |host: &&str| list.iter().any(|h| h.host == **host && h.rack == lacking);
        let near = moved.iter().filter(|host| is_near(host)).count();
        assert_eq!(
            near,
            if lacking == "r9" { 0 } else { 2 },
            "{lacking}: {moved:?}"
        );
    }
}

/// A heartbeat written by an earlier version lacks hosts in no rack.
#[test]
fn racks_old_heartbeat() {
    let row: rows::HeartbeatRow = rows::decode(br#"{"entry":"a","count":3}"#).expect("a row");
    assert!(row.lacking_racks.is_empty());
    let written = rows::encode(&row);
    assert!(!String::from_utf8_lossy(&written).contains("lacking_racks"));
}
