//! Quotas of client accounts: the tasks of an account that run in all pools together never exceed its quota, however
//! owners and writes race.

use std::collections::BTreeSet;

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::quota::{self, Inputs, QuotaController};
use rockwick::core::sched::state::{Effect, Timer};
use rockwick::port::fleet::{
    AccountConfig, Capacity, FleetConfig, RowTx, StoredRow, Table, TxOutcome,
};

use crate::decide::decide;
use crate::world::{job, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

const ACCOUNT: &str = "shop";

fn cores(count: u64) -> Capacity {
    Capacity {
        cpu_milli: count * 1_000,
        mem_mb: 0,
        gpu: 0,
    }
}

/// Returns a configuration in which the account's quota is `count` cores.
fn config(version: u64, count: u64) -> FleetConfig {
    let account = AccountConfig {
        name: ACCOUNT.to_string(),
        quota: cores(count),
        ..AccountConfig::default()
    };
    FleetConfig {
        version,
        accounts: [(ACCOUNT.to_string(), account)].into(),
        ..FleetConfig::default()
    }
}

/// A pool's owner, with the account's usage in the pool and the grants that it knows.
struct Owner {
    pool: String,
    epoch: u64,
    pool_state: PoolState,
    controller: QuotaController,
    /// The version of its configuration, and the account's quota in cores.
    quota: (u64, u64),
}

impl Owner {
    fn new(pool: &str, epoch: u64, used: u64, quota: (u64, u64)) -> Self {
        let mut pool_state = PoolState {
            name: pool.to_string(),
            ..PoolState::default()
        };
        pool_state.account_key(ACCOUNT, config(1, quota.1).accounts.get(ACCOUNT), 1);
        pool_state.accounts[0].used = cores(used);
        Self {
            pool: pool.to_string(),
            epoch,
            pool_state,
            controller: QuotaController::default(),
            quota,
        }
    }

    fn used(&self) -> u64 {
        self.pool_state.accounts[0].used.cpu_milli / 1_000
    }

    fn with_inputs(
        &mut self,
        now_ms: u64,
        short_elsewhere: &BTreeSet<String>,
        work: impl FnOnce(
            &mut PoolState,
            &mut QuotaController,
            &Inputs<'_>,
            &mut rockwick::core::sched::state::Ctx<'_>,
        ),
    ) -> Vec<Effect> {
        let config = config(self.quota.0, self.quota.1);
        let inputs = Inputs {
            pool: &self.pool,
            epoch: self.epoch,
            config: &config,
            short_elsewhere,
        };
        decide(now_ms, |ctx| {
            work(&mut self.pool_state, &mut self.controller, &inputs, ctx)
        })
    }

    /// Starts a task of one core if the limit allows it, and returns whether it did.
    fn start(&mut self) -> bool {
        let account = &mut self.pool_state.accounts[0];
        let limit = account.limit.expect("the account has a quota").cpu_milli;
        let may_start = account.waiting.cpu_milli > 0 && account.used.cpu_milli + 1_000 <= limit;
        if may_start {
            account.used.add(cores(1));
            account.waiting.sub(cores(1));
        }
        may_start
    }
}

/// An answer that has not arrived yet.
struct Answer {
    at_ms: u64,
    owner: usize,
    epoch: u64,
    /// Outcome of the transaction, or `None` if the answer is to a read of the account's row.
    outcome: Option<TxOutcome>,
}

/// Simulates the owners of three pools, the account's row, and calls that are lost or late.
struct Race {
    now_ms: u64,
    rng: Rng,
    owners: Vec<Owner>,
    row: Option<(Vec<u8>, u64)>,
    revision: u64,
    answers: Vec<Answer>,
    late: Vec<(u64, RowTx)>,
    /// Quotas in cores that may be in force, each with the time at which it stops being so.
    quotas: Vec<(u64, u64)>,
}

impl Race {
    fn new(seed: u64) -> Self {
        let owner = |n: u64| Owner::new(&format!("pool-{n}"), 10 + n, 0, (1, 20));
        Self {
            now_ms: 1,
            rng: Rng::with_seed(seed),
            owners: (0..3).map(owner).collect(),
            row: None,
            revision: 100,
            answers: Vec::new(),
            late: Vec::new(),
            quotas: vec![(20, u64::MAX)],
        }
    }

    fn stored_row(&self) -> Option<StoredRow> {
        self.row.as_ref().map(|(value, revision)| StoredRow {
            part: String::new(),
            key: ACCOUNT.to_string(),
            value: Some(value.clone()),
            revision: *revision,
        })
    }

    fn transact(&mut self, tx: &RowTx) -> TxOutcome {
        let stored_revision = self.row.as_ref().map_or(0, |(_, revision)| *revision);
        if tx.guards[0].revision != stored_revision {
            let absent = StoredRow {
                part: String::new(),
                key: ACCOUNT.to_string(),
                value: None,
                revision: 0,
            };
            let row = self.stored_row().unwrap_or(absent);
            return TxOutcome::Conflict(vec![(Table::Quotas, row)]);
        }
        self.revision += 1;
        let value = tx.writes[0].value.clone().expect("rows are never removed");
        self.row = Some((value, self.revision));
        TxOutcome::Committed(self.revision)
    }

    fn apply_effects(&mut self, owner: usize, effects: Vec<Effect>) {
        let epoch = self.owners[owner].epoch;
        for effect in effects {
            let (after_ms, outcome) = match effect {
                Effect::SettleQuota(_, _, _, tx) => match self.rng.u32(0..10) {
                    0 => {
                        self.late
                            .push((self.now_ms + self.rng.u64(1_000..4_000), tx));
                        (800, Some(TxOutcome::Unknown))
                    }
                    1 => {
                        self.transact(&tx);
                        (800, Some(TxOutcome::Unknown))
                    }
                    2 => (5, Some(TxOutcome::Refused)),
                    _ => (self.rng.u64(3..30), Some(self.transact(&tx))),
                },
                Effect::ReadQuota(..) => (self.rng.u64(3..30), None),
                _ => continue,
            };
            let at_ms = self.now_ms + after_ms;
            self.answers.push(Answer {
                at_ms,
                owner,
                epoch,
                outcome,
            });
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.late = later;
        let due: Vec<(u64, RowTx)> = due;
        due.iter().for_each(|(_, tx)| {
            self.transact(tx);
        });
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.at_ms <= now_ms);
        self.answers = later;
        let due: Vec<Answer> = due;
        for answer in due {
            let row = self.stored_row();
            let owner = &mut self.owners[answer.owner];
            if owner.epoch != answer.epoch {
                continue;
            }
            let effects = owner.with_inputs(
                now_ms,
                &BTreeSet::new(),
                |pool_state, controller, inputs, ctx| match answer.outcome {
                    Some(outcome) => quota::apply_settled(
                        Some(pool_state),
                        controller,
                        inputs.pool,
                        ACCOUNT,
                        outcome,
                        ctx,
                    ),
                    None => quota::apply_row(pool_state, controller, ACCOUNT, row, ctx),
                },
            );
            self.apply_effects(answer.owner, effects);
        }
    }

    fn quota_max(&self) -> u64 {
        let in_force = self
            .quotas
            .iter()
            .filter(|(_, until_ms)| self.now_ms < *until_ms);
        in_force.map(|(quota, _)| *quota).max().unwrap_or(0)
    }

    /// Changes the quota as the operator does; owners learn of it within two seconds.
    fn set_quota(&mut self, quota: u64) {
        let until_ms = self.now_ms + 2_500;
        self.quotas
            .iter_mut()
            .for_each(|(_, until)| *until = (*until).min(until_ms));
        self.quotas.push((quota, u64::MAX));
    }

    /// Lets an owner adjust its grants every 100 ms, and at once if its pool wants quota.
    fn adjust_grants(&mut self, n: usize) {
        if self.now_ms % 100 >= 10 && !self.owners[n].pool_state.wants_quota {
            return;
        }
        let others = self.owners.iter().enumerate();
        let others = others.filter(|(other, _)| *other != n);
        let short = others.flat_map(|(_, o)| o.controller.short.iter().cloned());
        let short = short.collect();
        let effects = self.owners[n].with_inputs(self.now_ms, &short, quota::adjust);
        self.apply_effects(n, effects);
    }

    /// Advances the time by 10 ms and returns the number of starts.
    fn step(&mut self) -> u64 {
        let mut starts = 0;
        self.now_ms += 10;
        self.deliver();
        let newest = self.quotas.last().expect("never empty").0;
        let newest = (self.quotas.len() as u64, newest);
        for n in 0..self.owners.len() {
            if self.rng.u32(0..100) == 0 || self.now_ms % 2_000 < 10 {
                self.owners[n].quota = newest;
            }
            if self.rng.u32(0..1_500) == 0 {
                // Another entry takes the pool over with its running tasks.
                let (pool, used) = (self.owners[n].pool.clone(), self.owners[n].used());
                self.revision += 1;
                self.owners[n] = Owner::new(&pool, self.revision, used, newest);
            }
            let account = &mut self.owners[n].pool_state.accounts[0];
            // The peak moves from pool to pool.
            let is_peak = (self.now_ms / 3_000) as usize % 3 == n;
            if self.rng.u32(0..100) < if is_peak { 30 } else { 2 } {
                account.waiting.add(cores(self.rng.u64(1..4)));
            }
            if account.used.cpu_milli > 0 && self.rng.u32(0..100) < 25 {
                account.used.sub(cores(1));
            }
            self.adjust_grants(n);
            while self.owners[n].start() {
                let sum: u64 = self.owners.iter().map(Owner::used).sum();
                let most = self.quota_max();
                assert!(sum <= most, "{sum} cores run of {most} at {}", self.now_ms);
                starts += 1;
            }
        }
        starts
    }
}

/// Three owners with alternating peaks, takeovers, changed quotas, and lost or late writes: running tasks never exceed
/// the quota, and waiting tasks get their turn.
#[test]
fn quota_random() {
    for seed in 0..200 {
        let mut race = Race::new(seed);
        let mut started = 0;
        for n in 0..3_000 {
            started += race.step();
            if n % 700 == 699 {
                let quota = race.rng.u64(4..30);
                race.set_quota(quota);
            }
        }
        assert!(started > 400, "seed {seed}: {started} starts");
    }
}

/// The peak moves from one pool to another. The second pool has most of the quota soon after the first one's work
/// ends, though the first was granted all.
#[test]
fn quota_peaks_turn() {
    let mut race = Race::new(1);
    let run = |race: &mut Race, ms: u64, waits: [u64; 3]| {
        for _ in 0..ms / 10 {
            race.now_ms += 10;
            race.deliver();
            for (n, waiting) in waits.iter().enumerate() {
                let account = &mut race.owners[n].pool_state.accounts[0];
                account.waiting = cores(*waiting);
                if race.rng.u32(0..10) == 0 && account.used.cpu_milli > 0 {
                    account.used.sub(cores(1));
                }
                race.adjust_grants(n);
                while race.owners[n].start() {}
            }
        }
    };
    run(&mut race, 3_000, [30, 0, 0]);
    assert!(race.owners[0].used() >= 17, "{}", race.owners[0].used());
    run(&mut race, 3_000, [0, 30, 0]);
    assert!(race.owners[1].used() >= 15, "{}", race.owners[1].used());
}

fn job_of_account(account: &str, count: u16) -> rockwick::core::sched::job::JobSpec {
    rockwick::core::sched::job::JobSpec {
        account: Some(account.to_string()),
        ..job(count, 1_000, 300)
    }
}

/// An account that floods a pool never runs more than its quota, all its jobs complete in the end, and other accounts'
/// jobs are not delayed.
#[test]
fn quota_flood() {
    let mut world = World::new(41, 2, 4);
    world.set_quotas(&[("shop", 8_000), ("dock", 8_000)]);
    world.run(SETTLE_MS);
    for n in 0..40 {
        world.submit(&format!("flood-{n}"), job_of_account("shop", 4));
    }
    let mut most = 0;
    for n in 0..20 {
        world.submit(&format!("dock-{n}"), job_of_account("dock", 2));
        for _ in 0..10 {
            world.run(40);
            most = most.max(world.account_cpu_milli("shop"));
        }
    }
    world.run(400);
    let done =
        (0..20).filter(|n| world.recorded_state(&format!("dock-{n}")) == JobState::Completed);
    assert!(done.count() >= 19, "the other account's jobs complete");
    assert!(most <= 8_000, "{most}");
    assert!(most >= 6_000, "{most}: the account gets most of its quota");
    world.run(12_000);
    let done =
        (0..40).filter(|n| world.recorded_state(&format!("flood-{n}")) == JobState::Completed);
    assert_eq!(done.count(), 40);
}

/// A quota that is lowered below the current usage stops no task, and nothing starts until usage is below it.
#[test]
fn quota_lowered() {
    let mut world = World::new(42, 2, 4);
    world.set_quotas(&[("shop", 16_000)]);
    world.run(SETTLE_MS);
    world.submit("wide", job_of_account("shop", 48));
    world.run(150);
    assert!(world.account_cpu_milli("shop") > 12_000);
    world.set_quotas(&[("shop", 4_000)]);
    world.run(100);
    let mut before = u64::MAX;
    for _ in 0..100 {
        world.run(20);
        let now = world.account_cpu_milli("shop");
        assert!(now <= before.max(4_000), "{now} after {before}");
        before = now;
    }
    world.run(10_000);
    assert_eq!(world.recorded_state("wide"), JobState::Completed);
}

/// The owner is killed while an account floods the pool. The next owner counts the tasks that the killed owner started.
#[test]
fn quota_takeover() {
    let mut world = World::new(43, 3, 4);
    world.set_quotas(&[("shop", 6_000)]);
    world.run(SETTLE_MS);
    for n in 0..60 {
        world.submit(&format!("flood-{n}"), job_of_account("shop", 2));
    }
    for _ in 0..3 {
        world.run(700);
        world.kill(world.owner_entry().expect("the pool has an owner"));
        for n in 0..3 {
            if world.entries[n].state.is_none() {
                world.boot(n);
            }
        }
        for _ in 0..100 {
            world.run(40);
            let now = world.account_cpu_milli("shop");
            assert!(now <= 6_000, "{now}");
        }
    }
    world.run(20_000);
    let done =
        (0..60).filter(|n| world.recorded_state(&format!("flood-{n}")) == JobState::Completed);
    assert_eq!(done.count(), 60);
}

/// New configurations must not add quota timers, since each extra timer would keep rescheduling itself forever.
#[test]
fn quota_looks_stay_one() {
    let mut world = World::new(44, 1, 3);
    world.run(SETTLE_MS);
    for n in 0..20 {
        world.set_quotas(&[("shop", 4_000 + n)]);
        world.run(130);
    }
    let state = world.owner().expect("the pool has an owner");
    let quota_timers = state
        .timers
        .iter()
        .filter(|(_, _, timer)| *timer == Timer::Quota);
    assert_eq!(quota_timers.count(), 1);
}
