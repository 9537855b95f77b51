//! Offered hosts: the pool withdraws a host's offer or the host is moved, but never both, whatever happens to the
//! store's answers.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use rockwick::clock::Millis;
use rockwick::core::sched::hosts::{self, HostController, HostTask, Inputs, OrderNumber};
use rockwick::core::sched::keys::TaskKey;
use rockwick::core::sched::load;
use rockwick::core::sched::offers::{Offers, OffersRow, Taken, OFFERS_KEY};
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::rows;
use rockwick::core::sched::sizing::{self, Sizing};
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::event::Code;
use rockwick::port::fleet::{
    Capacity, FleetConfig, HostRecord, HostReply, HostState, RowTx, StoredRow, TxOutcome,
};

use crate::decide::{add_answering_worker, decide, donor_config, pool_need};
use crate::world::{config, job, listed_worker, POOL};

/// Number of seeds in CI.
const SEEDS: u64 = 300;

/// Number of hosts in the pool that offers hosts.
const HOSTS: usize = 6;

/// Epoch of the owner and of the entry that orders hosts; no row here is guarded by another epoch.
const EPOCH: u64 = 7;

/// Time after which an unanswered call to the store is given up.
const TIMEOUT_MS: Millis = 800;

enum Arrival {
    Settled(TxOutcome),
    Taken(TxOutcome),
    Recorded,
    Ordered(String, OrderNumber, HostReply),
    /// The owner's feed delivers the row.
    ToOwner(StoredRow),
    /// The feed of the entry that orders hosts delivers the row.
    ToHolder(StoredRow),
    /// A write whose answer was lost takes effect.
    Applies(RowTx),
}

/// Simulates an owner, the entry that orders hosts, and the row of offers that both write.
struct Simulation {
    rng: Rng,
    now_ms: Millis,
    pool_state: PoolState,
    sizing: Sizing,
    offers: Offers,
    controller: HostController,
    holder_offers: Offers,
    config: FleetConfig,
    /// Value and revision of the row of offers in the store.
    row: Option<(Vec<u8>, u64)>,
    arrivals: Vec<(Millis, Arrival)>,
    /// Hosts that were ordered away and have not left yet, with the times at which they leave.
    leaving: BTreeMap<String, Millis>,
    gone: BTreeSet<String>,
    moved: usize,
    reopened: usize,
    /// Number of hosts that pool `busy` lacks.
    hosts_lacked: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut pool_state = PoolState::default();
        for n in 0..HOSTS {
            let host = format!("host-{n}");
            let info = listed_worker(&format!("life-{n}"), &host);
            add_answering_worker(&mut pool_state, info);
        }
        let mut controller = HostController::default();
        decide(0, |ctx| {
            controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
        });
        let sizing = Sizing::default();
        Self {
            rng: Rng::with_seed(seed),
            now_ms: 100_000,
            pool_state,
            sizing,
            offers: Offers::default(),
            controller,
            holder_offers: Offers::default(),
            config: donor_config(POOL),
            row: None,
            arrivals: Vec::new(),
            leaving: BTreeMap::new(),
            gone: BTreeSet::new(),
            moved: 0,
            reopened: 0,
            hosts_lacked: 0,
        }
    }

    fn schedule_arrival(&mut self, ms: Millis, what: Arrival) {
        self.arrivals.push((self.now_ms + ms, what));
    }

    fn stored_row(&self) -> StoredRow {
        let (value, revision) = self.row.clone().unwrap_or_default();
        StoredRow {
            part: POOL.to_string(),
            key: OFFERS_KEY.to_string(),
            value: (revision > 0).then_some(value),
            revision,
        }
    }

    fn transact(&mut self, tx: &RowTx) -> TxOutcome {
        let revision = self.row.as_ref().map_or(0, |(_, revision)| *revision);
        let guard = tx.guards.iter().find(|g| g.key == OFFERS_KEY);
        if guard.is_some_and(|g| g.revision != revision) {
            return TxOutcome::Conflict(vec![(tx.writes[0].table, self.stored_row())]);
        }
        let value = tx.writes[0].value.clone().unwrap_or_default();
        self.row = Some((value, revision + 1));
        let row = self.stored_row();
        let (a, b) = (self.rng.u64(1..400), self.rng.u64(1..400));
        self.schedule_arrival(a, Arrival::ToOwner(row.clone()));
        self.schedule_arrival(b, Arrival::ToHolder(row));
        TxOutcome::Committed(revision + 1)
    }

    /// Sends a transaction. Its answer may be lost and its effect may be late.
    fn call_store(&mut self, tx: &RowTx, answer: impl FnOnce(TxOutcome) -> Arrival) {
        match self.rng.u32(0..10) {
            0 => {
                self.transact(tx);
                self.schedule_arrival(TIMEOUT_MS, answer(TxOutcome::Unknown));
            }
            1 => {
                let late_ms = self.rng.u64(900..5_000);
                self.schedule_arrival(late_ms, Arrival::Applies(tx.clone()));
                self.schedule_arrival(TIMEOUT_MS, answer(TxOutcome::Unknown));
            }
            2 => self.schedule_arrival(TIMEOUT_MS, answer(TxOutcome::Unknown)),
            3 => self.schedule_arrival(5, answer(TxOutcome::Refused)),
            _ => {
                let outcome = self.transact(tx);
                let after_ms = self.rng.u64(2..300);
                self.schedule_arrival(after_ms, answer(outcome));
            }
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SettleOffers(_, _, tx) => self.call_store(&tx, Arrival::Settled),
                Effect::TakeHosts(_, _, _, tx) => self.call_store(&tx, Arrival::Taken),
                Effect::RecordHostOrders(..) => {
                    let after_ms = self.rng.u64(2..300);
                    self.schedule_arrival(after_ms, Arrival::Recorded);
                }
                Effect::OrderHost(_, _, host, number, HostTask::Move(_), _) => {
                    self.order_away(&host, number)
                }
                _ => {}
            }
        }
    }

    /// Orders a host away, after checking that its owner does not use it.
    fn order_away(&mut self, host: &str, number: OrderNumber) {
        self.check_idle(host);
        let is_silent = self.rng.u32(0..5) == 0;
        if !self.gone.contains(host) {
            let leaves_ms = self.now_ms + self.rng.u64(1..200);
            self.leaving.entry(host.to_string()).or_insert(leaves_ms);
        }
        let reply = if is_silent {
            HostReply::Silent
        } else {
            HostReply::Accepted
        };
        self.schedule_arrival(20, Arrival::Ordered(host.to_string(), number, reply));
    }

    fn check_idle(&self, host: &str) {
        let Some(key) = self.pool_state.worker_on(host) else {
            return;
        };
        let worker = &self.pool_state.workers[key];
        assert!(
            !worker.is_open(self.now_ms) && worker.tasks.is_empty(),
            "{host} is ordered away while its pool uses it"
        );
    }

    fn reconcile_owner(&mut self) {
        let open = |sim: &Self| {
            let workers = sim.pool_state.workers.values();
            workers.filter(|w| w.is_open(sim.now_ms)).count()
        };
        let before = open(self);
        self.change_load();
        let sizing_inputs = sizing::Inputs {
            pool: POOL,
            epoch: EPOCH,
            can_park: true,
            another_pool_lacks_hosts: false,
            answer_ms: 5,
        };
        let effects = decide(self.now_ms, |ctx| {
            sizing::reconcile(
                &mut self.pool_state,
                &mut self.sizing,
                &mut self.offers,
                &sizing_inputs,
                ctx,
            );
        });
        self.reopened += usize::from(open(self) > before);
        self.apply_effects(effects);
        self.change_tasks();
    }

    /// Changes how many hosts the pool needs, by adding or dropping jobs that are never placed.
    fn change_load(&mut self) {
        if self.rng.u32(0..4) > 0 {
            return;
        }
        let keys: Vec<_> = self.pool_state.jobs.keys().collect();
        if keys.len() > 2 || self.rng.bool() {
            for key in keys.into_iter().skip(1) {
                self.pool_state.drop_job(key, self.now_ms);
            }
            return;
        }
        let row = StoredRow {
            part: POOL.to_string(),
            key: format!("job-{}", self.now_ms),
            value: Some(rows::encode(&job(8, 4_000, 60_000))),
            revision: EPOCH + 1,
        };
        decide(self.now_ms, |ctx| {
            load::apply_intake(&mut self.pool_state, &row, &config(1), EPOCH, ctx);
        });
    }

    /// Adds a task to a random host if it is open, or removes one.
    fn change_tasks(&mut self) {
        let keys: Vec<_> = self.pool_state.workers.keys().collect();
        let key = keys[self.rng.usize(0..keys.len())];
        let demand = Capacity {
            cpu_milli: 100,
            ..Capacity::default()
        };
        let task = TaskKey {
            job: Default::default(),
            round: 0,
            step: 0,
            index: 0,
        };
        let is_open = self.pool_state.workers[key].is_open(self.now_ms);
        let worker = &mut self.pool_state.workers[key];
        if is_open && self.rng.bool() {
            worker.add_task(task, demand);
        } else {
            worker.remove_task(task, demand);
        }
    }

    fn with_holder(&mut self, work: impl FnOnce(&mut HostController, &Inputs<'_>, &mut Ctx<'_>)) {
        let none = Offers::default();
        let needs = [
            pool_need("busy", self.hosts_lacked, &none, self.now_ms),
            pool_need(POOL, 0, &self.holder_offers, self.now_ms),
        ];
        let inputs = Inputs {
            config: &self.config,
            needs: &needs,
            evacuated_halls: &BTreeSet::new(),
            pool: "off",
            epoch: EPOCH,
        };
        let controller = &mut self.controller;
        let effects = decide(self.now_ms, |ctx| work(controller, &inputs, ctx));
        self.apply_effects(effects);
    }

    fn list_hosts(&self) -> Vec<HostRecord> {
        let hosts = (0..HOSTS).map(|n| format!("host-{n}"));
        hosts
            .map(|host| HostRecord {
                hall: "hall".to_string(),
                rack: String::new(),
                pool: match self.gone.contains(&host) {
                    true => "busy".to_string(),
                    false => POOL.to_string(),
                },
                state: HostState::Up,
                worker: host.replace("host", "life"),
                host,
            })
            .collect()
    }

    fn deliver(&mut self, what: Arrival) {
        match what {
            Arrival::Settled(outcome) => match outcome {
                TxOutcome::Committed(revision) => self.offers.apply_change(revision),
                TxOutcome::Conflict(found) => {
                    self.offers.pending = None;
                    apply_row_if_present(&mut self.offers, &found[0].1);
                }
                TxOutcome::Refused => self.offers.pending = None,
                TxOutcome::Unknown => self.offers.keep_unsure(),
            },
            Arrival::Taken(outcome) => {
                let mut row = None;
                self.with_holder(|controller, _, ctx| {
                    row = hosts::apply_taken(controller, POOL, &outcome, EPOCH, ctx);
                });
                match (outcome, row) {
                    (TxOutcome::Committed(revision), Some(row)) => {
                        self.holder_offers.replace_row(row, revision)
                    }
                    (TxOutcome::Conflict(found), _) => {
                        apply_row_if_present(&mut self.holder_offers, &found[0].1)
                    }
                    _ => {}
                }
            }
            Arrival::Recorded => self.with_holder(|controller, _, ctx| {
                hosts::apply_recorded(controller, &TxOutcome::Committed(1), EPOCH, ctx);
            }),
            Arrival::Ordered(host, number, reply) => self.with_holder(|controller, _, ctx| {
                hosts::apply_reply(controller, &host, number, reply, ctx);
            }),
            Arrival::ToOwner(row) => apply_row_if_present(&mut self.offers, &row),
            Arrival::ToHolder(row) => apply_row_if_present(&mut self.holder_offers, &row),
            Arrival::Applies(tx) => {
                self.transact(&tx);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 10;
        let now_ms = self.now_ms;
        let (due, rest) = self.arrivals.drain(..).partition(|(at, _)| *at <= now_ms);
        self.arrivals = rest;
        let due: Vec<(Millis, Arrival)> = due;
        for (_, what) in due {
            self.deliver(what);
        }
        let leaving: Vec<String> = self.leaving.keys().cloned().collect();
        for host in &leaving {
            self.check_idle(host);
        }
        let goes = self.leaving.iter().filter(|(_, at)| **at <= now_ms);
        let goes: Vec<String> = goes.map(|(host, _)| host.clone()).collect();
        for host in goes {
            self.leaving.remove(&host);
            self.gone.insert(host.clone());
            self.moved += 1;
            if let Some(key) = self.pool_state.worker_on(&host) {
                self.pool_state.workers[key].is_listed = false;
            }
        }
        if now_ms.is_multiple_of(100) {
            if self.rng.u32(0..8) == 0 {
                self.hosts_lacked = self.rng.u64(0..=HOSTS as u64);
            }
            self.reconcile_owner();
            let list = self.list_hosts();
            self.with_holder(|controller, inputs, ctx| {
                hosts::apply_list(controller, list);
                hosts::reconcile(controller, &BTreeMap::new(), inputs, ctx);
            });
        }
    }
}

fn apply_row_if_present(offers: &mut Offers, row: &StoredRow) {
    if row.revision > 0 {
        offers.apply_row(row).expect("the row decodes");
    }
}

/// Random withdrawals and moves over a store that loses answers, answers late and refuses.
#[test]
fn offers_random() {
    let (mut moved, mut reopened) = (0, 0);
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed);
        for _ in 0..1_000 {
            sim.step();
        }
        moved += sim.moved;
        reopened += sim.reopened;
    }
    assert!(
        moved > 200 && reopened > 200,
        "{moved} hosts moved, {reopened} reopened"
    );
}

/// A take that failed is logged, and the orders that rested on it are dropped.
#[test]
fn offers_take_logged() {
    let offered = Offers {
        row: OffersRow {
            offered: [("host-0".to_string(), "life-0".to_string())].into(),
            ..OffersRow::default()
        },
        revision: 1,
        ..Offers::default()
    };
    let config = donor_config(POOL);
    let none = Offers::default();
    let needs = [
        pool_need("busy", 1, &none, 100_000),
        pool_need(POOL, 0, &offered, 100_000),
    ];
    let inputs = Inputs {
        config: &config,
        needs: &needs,
        evacuated_halls: &BTreeSet::new(),
        pool: "off",
        epoch: EPOCH,
    };
    let mut controller = HostController::default();
    let effects = decide(100_000, |ctx| {
        controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
        hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
        hosts::apply_list(&mut controller, Simulation::new(1).list_hosts());
        hosts::reconcile(&mut controller, &BTreeMap::new(), &inputs, ctx);
    });
    let is_take = |e: &Effect| matches!(e, Effect::TakeHosts(..));
    assert!(effects.iter().any(is_take), "{effects:?}");
    let effects = decide(100_010, |ctx| {
        hosts::apply_taken(
            &mut controller,
            POOL,
            &TxOutcome::Conflict(Vec::new()),
            EPOCH,
            ctx,
        );
    });
    let is_logged = |e: &Effect| matches!(e, Effect::Log(d) if d.code == Code::OffersNotTaken);
    assert!(effects.iter().any(is_logged), "{effects:?}");
    assert!(!controller.has_order("host-0"));
}

/// The owner changes its offers just before each take arrives. The takes must still succeed often enough.
#[test]
fn offers_in_step() {
    let config = donor_config(POOL);
    let none = Offers::default();
    let mut controller = HostController::default();
    let mut offers = Offers::default();
    let mut committed = 0;
    decide(100_000, |ctx| {
        controller = HostController::new(&[], &FormerHostOrders::default(), true, ctx);
    });
    for pass in 0..10 {
        let now_ms = 100_000 + pass * 100;
        let mut effects = with_inputs(
            &config,
            &none,
            &offers,
            now_ms,
            |controller, inputs, ctx| {
                hosts::reconcile(controller, &BTreeMap::new(), inputs, ctx);
                hosts::apply_list(controller, Simulation::new(1).list_hosts());
            },
            &mut controller,
        );
        // The owner offers one more host before the take arrives.
        let host = format!("host-{}", pass.min(5));
        offers
            .row
            .offered
            .insert(host.clone(), host.replace("host", "life"));
        offers.revision += 1;
        while let Some(guard) = effects.iter().find_map(take_revision) {
            let is_newest = guard == offers.revision;
            let outcome = match is_newest {
                true => TxOutcome::Committed(guard + 1),
                false => TxOutcome::Conflict(Vec::new()),
            };
            committed += usize::from(is_newest);
            effects = with_inputs(
                &config,
                &none,
                &offers,
                now_ms + 10,
                |controller, inputs, ctx| {
                    hosts::apply_taken(controller, POOL, &outcome, EPOCH, ctx);
                    if !is_newest {
                        hosts::retry_take(controller, &BTreeMap::new(), inputs, ctx);
                    }
                },
                &mut controller,
            );
        }
    }
    assert!(committed >= 3, "{committed} takes in ten passes");
}

/// Returns the revision of the row on which a take is conditional.
fn take_revision(effect: &Effect) -> Option<u64> {
    let Effect::TakeHosts(_, _, _, tx) = effect else {
        return None;
    };
    tx.guards.first().map(|guard| guard.revision)
}

/// Runs `work` for the entry that orders hosts, while pool `busy` lacks six hosts.
fn with_inputs(
    config: &FleetConfig,
    none: &Offers,
    offers: &Offers,
    now_ms: Millis,
    work: impl FnOnce(&mut HostController, &Inputs<'_>, &mut Ctx<'_>),
    controller: &mut HostController,
) -> Vec<Effect> {
    let needs = [
        pool_need("busy", 6, none, now_ms),
        pool_need(POOL, 0, offers, now_ms),
    ];
    let inputs = Inputs {
        config,
        needs: &needs,
        evacuated_halls: &BTreeSet::new(),
        pool: "off",
        epoch: EPOCH,
    };
    decide(now_ms, |ctx| work(controller, &inputs, ctx))
}

/// The store's limit on the value of a row, in bytes.
const ROW_BYTES: usize = 65_536;

/// A pool with 3,000 idle hosts offers as many at a time as fit in the row beside as many that were taken, and the
/// others after them.
#[test]
fn offers_row_bounded() {
    let mut pool_state = PoolState::default();
    for n in 0..3_000 {
        let info = listed_worker(&format!("i-{n:08x}"), &format!("m-{n:05x}"));
        add_answering_worker(&mut pool_state, info);
    }
    let row = StoredRow {
        part: POOL.to_string(),
        key: "job".to_string(),
        value: Some(rows::encode(&job(1, 100, 1_000))),
        revision: EPOCH + 1,
    };
    decide(100_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
    });
    let inputs = sizing::Inputs {
        pool: POOL,
        epoch: EPOCH,
        can_park: true,
        another_pool_lacks_hosts: false,
        answer_ms: 5,
    };
    let mut offers = Offers::default();
    let mut sizing = Sizing::default();
    let mut offered_hosts: BTreeSet<String> = BTreeSet::new();
    for pass in 0..10 {
        let effects = decide(101_000 + pass * 1_000, |ctx| {
            sizing::reconcile(&mut pool_state, &mut sizing, &mut offers, &inputs, ctx);
        });
        for effect in effects {
            if let Effect::SettleOffers(_, _, tx) = effect {
                let bytes = tx.writes[0].value.as_ref().map_or(0, Vec::len);
                assert!(bytes < ROW_BYTES, "{bytes} bytes in pass {pass}");
                offers.apply_change(200 + pass * 2);
            }
        }
        offered_hosts.extend(offers.row.offered.keys().cloned());
        // The entry that orders hosts takes all of them, and they leave.
        let mut taken = offers.row.clone();
        taken.taken = std::mem::take(&mut taken.offered)
            .into_iter()
            .map(|(host, worker_id)| {
                (
                    host,
                    Taken {
                        worker_id,
                        epoch: 9,
                    },
                )
            })
            .collect();
        assert!(rows::encode(&taken).len() < ROW_BYTES);
        for host in taken.taken.keys() {
            let key = pool_state.worker_on(host).expect("it is listed");
            pool_state.remove_worker(key, 101_000 + pass * 1_000);
        }
        offers.replace_row(taken, 201 + pass * 2);
    }
    assert!(offered_hosts.len() > 2_000, "{}", offered_hosts.len());
}
