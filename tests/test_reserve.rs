//! How long hosts without work stay on, and how fast they go off, by the platform's limit of orders.

use std::collections::{BTreeMap, BTreeSet};

use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::hosts::{self, HostController, HostTask, Inputs, OrderNumber};
use rockwick::core::sched::offers::{Offers, OffersRow};
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::reserve::{self, Orders};
use rockwick::core::sched::rows::SlotRow;
use rockwick::core::sched::state::{Ctx, Effect, WaveKnown};
use rockwick::port::fleet::{FleetConfig, HostRecord, HostReply, HostState, TxOutcome};

use crate::decide::{decide_in, donor_config, pool_need};

/// Epoch of the entry that orders hosts.
const EPOCH: u64 = 9;

/// Length of a pass, and the time that a host takes to move.
const PASS_MS: u64 = 100;
const MOVE_MS: u64 = 1_500;

/// A deployment whose platform accepts this many orders per second.
fn deployment(host_orders_per_s: u64) -> Deployment {
    Deployment {
        host_orders_per_s,
        host_move_cost_ms: 1_500,
        ..Deployment::default()
    }
}

/// A platform that accepts a limited number of orders per second, the row of offers of the pool `idle`, and the entry that
/// orders hosts. Pool `busy` lacks as many hosts as the test says.
struct Fleet {
    controller: HostController,
    config: FleetConfig,
    deployment: Deployment,
    /// Orders that the platform accepts per second.
    limit: usize,
    offers: Offers,
    needed_by_busy: u64,
    now_ms: u64,
    /// Pool of each host, and when it arrives there.
    places: BTreeMap<String, (String, u64)>,
    /// Times of the accepted orders.
    accepted_ms: Vec<u64>,
    refused: usize,
    is_store_down: bool,
    waves: BTreeMap<u64, WaveKnown>,
    evacuated_halls: BTreeSet<String>,
}

/// Returns the hall of a host: every other host is in hall `even`.
fn hall_of(host: &str) -> &'static str {
    match host.ends_with(['0', '2', '4', '6', '8']) {
        true => "even",
        false => "odd",
    }
}

impl Fleet {
    /// Returns a fleet of which all hosts are in pool `idle` and on offer.
    fn new(hosts: usize, deployment: Deployment) -> Self {
        let names: Vec<String> = (0..hosts).map(|n| format!("h{n}")).collect();
        let mut offers = Offers::default();
        let offered = names.iter().map(|host| (host.clone(), String::new()));
        offers.replace_row(
            OffersRow {
                offered: offered.collect(),
                ..OffersRow::default()
            },
            1,
        );
        let places = names
            .into_iter()
            .map(|host| (host, ("idle".to_string(), 0)));
        let mut fleet = Self {
            controller: HostController::default(),
            config: donor_config("idle"),
            deployment,
            limit: 200,
            offers,
            needed_by_busy: 0,
            now_ms: 100_000,
            places: places.collect(),
            accepted_ms: Vec::new(),
            refused: 0,
            is_store_down: false,
            waves: BTreeMap::new(),
            evacuated_halls: BTreeSet::new(),
        };
        fleet.take_over();
        fleet
    }

    /// Another entry becomes the owner of the pool whose owner orders hosts.
    fn take_over(&mut self) {
        let now_ms = self.now_ms;
        let former = FormerHostOrders::default();
        decide_in(self.deployment, now_ms, |ctx| {
            self.controller = HostController::new(&[], &former, true, ctx);
        });
    }

    fn list(&self) -> Vec<HostRecord> {
        let records = self.places.iter().map(|(host, (pool, at_ms))| HostRecord {
            host: host.clone(),
            hall: hall_of(host).to_string(),
            rack: String::new(),
            pool: pool.clone(),
            state: match self.now_ms < *at_ms {
                true => HostState::Moving,
                false => HostState::Up,
            },
            worker: String::new(),
        });
        records.collect()
    }

    fn with_ctx(
        &mut self,
        work: impl FnOnce(&mut HostController, &Inputs<'_>, &mut Ctx<'_>),
    ) -> Vec<Effect> {
        let none = Offers::default();
        let needs = [
            pool_need("busy", self.needed_by_busy, &none, self.now_ms),
            pool_need("idle", 0, &self.offers, self.now_ms),
        ];
        let inputs = Inputs {
            config: &self.config,
            needs: &needs,
            evacuated_halls: &self.evacuated_halls,
            pool: "off",
            epoch: EPOCH,
        };
        decide_in(self.deployment, self.now_ms, |ctx| {
            work(&mut self.controller, &inputs, ctx)
        })
    }

    /// Makes one pass; the store and the platform answer within it.
    fn pass(&mut self) {
        self.now_ms += PASS_MS;
        let list = self.list();
        hosts::apply_list(&mut self.controller, list);
        let waves = self.waves.clone();
        let mut effects = self
            .with_ctx(|controller, inputs, ctx| hosts::reconcile(controller, &waves, inputs, ctx));
        while let Some(effect) = effects.pop() {
            let outcome = match self.is_store_down {
                true => TxOutcome::Unknown,
                false => TxOutcome::Committed(self.offers.revision + 1),
            };
            match effect {
                Effect::RecordHostOrders(..) => effects.extend(self.with_ctx(|c, _, ctx| {
                    hosts::apply_recorded(c, &outcome, EPOCH, ctx);
                })),
                Effect::TakeHosts(_, _, pool, _) => {
                    let mut row = None;
                    effects.extend(self.with_ctx(|c, _, ctx| {
                        row = hosts::apply_taken(c, &pool, &outcome, EPOCH, ctx);
                    }));
                    if let Some(row) = row {
                        let revision = self.offers.revision + 1;
                        self.offers.replace_row(row, revision);
                    }
                }
                Effect::OrderHost(_, _, host, number, HostTask::Move(to), _) => {
                    self.order(&host, number, &to);
                }
                _ => {}
            }
        }
    }

    fn order(&mut self, host: &str, number: OrderNumber, to: &str) {
        let since_ms = self.now_ms.saturating_sub(1_000);
        let recent = self.accepted_ms.iter().filter(|at| **at > since_ms);
        let reply = if recent.count() < self.limit {
            self.accepted_ms.push(self.now_ms);
            let arrives_ms = self.now_ms + MOVE_MS;
            self.places
                .insert(host.to_string(), (to.to_string(), arrives_ms));
            HostReply::Accepted
        } else {
            self.refused += 1;
            HostReply::TooMany
        };
        self.with_ctx(|c, _, ctx| hosts::apply_reply(c, host, number, reply, ctx));
    }

    /// Returns a fleet in which the first of 100 free hosts are being turned off.
    fn half_off() -> Self {
        let mut fleet = Self::new(100, deployment(64));
        while fleet.count("off") == 0 {
            fleet.pass();
        }
        assert!(fleet.count("idle") > 20, "some hosts are still on");
        fleet
    }

    fn hosts_in(&self, pool: &str) -> BTreeSet<String> {
        let there = self.places.iter().filter(|(_, (at, _))| at == pool);
        there.map(|(host, _)| host.clone()).collect()
    }

    fn count(&self, pool: &str) -> usize {
        self.places.values().filter(|(at, _)| at == pool).count()
    }

    /// Makes passes until no host is left in `idle`, and returns how long the hosts stayed on in all.
    fn run_until_off(&mut self, most_ms: u64) -> u64 {
        let mut on_ms = 0;
        let end_ms = self.now_ms + most_ms;
        while self.count("idle") > 0 && self.now_ms < end_ms {
            on_ms += self.count("idle") as u64 * PASS_MS;
            self.pass();
        }
        on_ms
    }
}

/// After a peak 120 hosts are free. Where the limit of orders is unknown they are turned off 16 at a time.
#[test]
fn reserve_off_by_limit() {
    let mut gradual = Fleet::new(120, Deployment::default());
    let before_ms = gradual.run_until_off(60_000);
    let mut fleet = Fleet::new(120, deployment(200));
    let on_ms = fleet.run_until_off(60_000);
    assert_eq!((gradual.count("idle"), fleet.count("idle")), (0, 0));
    assert!(
        on_ms * 2 < before_ms,
        "the hosts stayed on for {on_ms} ms in all, and for {before_ms} ms if turned off gradually"
    );
    assert_eq!(fleet.refused, 0, "orders beyond the platform's limit");
}

/// A pool that begins to lack hosts while others are turned off gets them within the platform's limit: no order is
/// refused, and none waits for the hosts that go off.
#[test]
fn reserve_moves_go_first() {
    let mut fleet = Fleet::new(300, deployment(64));
    fleet.limit = 64;
    while fleet.count("off") == 0 {
        fleet.pass();
    }
    fleet.needed_by_busy = 30;
    fleet.pass();
    fleet.pass();
    assert_eq!(fleet.count("busy"), 30);
    assert_eq!(fleet.refused, 0, "orders beyond the platform's limit");
}

/// While the store does not answer, no host is taken, and so none goes off; afterwards they go off as before.
#[test]
fn reserve_store_down() {
    let mut fleet = Fleet::new(50, deployment(64));
    fleet.is_store_down = true;
    fleet.run_until_off(5_000);
    assert_eq!((fleet.count("off"), fleet.accepted_ms.len()), (0, 0));
    fleet.is_store_down = false;
    fleet.run_until_off(10_000);
    assert_eq!(fleet.count("off"), 50);
    assert_eq!(fleet.accepted_ms.len(), 50, "each host is ordered once");
}

/// The operator evacuates a data hall while hosts are turned off: those of the hall that are still on stay where they are.
#[test]
fn reserve_hall_evacuated() {
    let mut fleet = Fleet::half_off();
    let mut kept = fleet.hosts_in("idle");
    kept.retain(|host| hall_of(host) == "even");
    fleet.evacuated_halls.insert("even".to_string());
    fleet.run_until_off(10_000);
    assert_eq!(fleet.hosts_in("idle"), kept);
}

/// Hosts take slots of a wave while others are turned off: they stay in their pool until they are back.
#[test]
fn reserve_wave_begins() {
    let mut fleet = Fleet::half_off();
    let kept: BTreeSet<String> = fleet.hosts_in("idle").into_iter().take(10).collect();
    let slot = SlotRow {
        pool: "idle".to_string(),
        is_ordered: true,
        ..SlotRow::default()
    };
    let mut wave = WaveKnown::default();
    let out = kept.iter().map(|host| (host.clone(), slot.clone()));
    wave.row.out = out.collect();
    fleet.waves.insert(1, wave);
    fleet.run_until_off(10_000);
    assert_eq!(fleet.hosts_in("idle"), kept);
    fleet.waves.clear();
    fleet.run_until_off(10_000);
    assert_eq!(fleet.count("idle"), 0);
}

/// A new owner of the pool whose owner orders hosts counts each offer from when it sees it.
#[test]
fn reserve_new_owner() {
    let mut fleet = Fleet::new(50, deployment(64));
    fleet.run_until_off(1_000);
    fleet.take_over();
    fleet.run_until_off(1_000);
    assert_eq!(
        fleet.count("off"),
        0,
        "the offers are seen for less than the hold"
    );
    fleet.run_until_off(10_000);
    assert_eq!(fleet.count("off"), 50);
}

/// Without the platform's limit, hosts go off a few at a time, after the longer hold.
#[test]
fn reserve_without_limit() {
    let unknown = Deployment {
        host_move_cost_ms: 1_500,
        ..Deployment::default()
    };
    assert_eq!(reserve::hold_ms(&unknown), 4_000);
    assert_eq!(reserve::hold_ms(&deployment(64)), 3_000);
    let room = |parking| {
        let orders = Orders {
            recent: 90,
            parking,
        };
        reserve::room_to_park(&unknown, orders)
    };
    assert_eq!((room(0), room(10), room(20)), (16, 6, 0));
}
