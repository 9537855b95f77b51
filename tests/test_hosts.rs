//! Orders to hosts are sent only once they are recorded and the hosts are taken from their pool, and two successive
//! owners do not order the same host shortly after one another.

use std::collections::{BTreeMap, BTreeSet};

use rockwick::core::sched::hosts::{self, HostController, HostTask, Inputs, OrderNumber};
use rockwick::core::sched::offers::{Offers, OffersRow, Taken};
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::rows::{encode, HostOrdersRow};
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::port::fleet::{FleetConfig, HostRecord, HostReply, HostState, StoredRow, TxOutcome};

use crate::decide::{decide, donor_config, pool_need};

/// Epoch of the entry that orders hosts.
const EPOCH: u64 = 7;

/// The entry that owns pool `off` and therefore orders hosts. Pool `busy` lacks one host, and pool `idle` offers `h1`.
struct Owner {
    controller: HostController,
    config: FleetConfig,
    now_ms: u64,
    /// Hosts that `idle` offers.
    offers: Offers,
}

impl Owner {
    /// Creates an owner whose former owner had ordered the hosts `former` and reported the times `reported_ms` of its
    /// orders in its last heartbeat two seconds ago. The former owner sent no order after 49,500 ms.
    fn new(former: &[&str], reported_ms: &[(&str, u64)]) -> Self {
        let row = HostOrdersRow {
            hosts: former.iter().map(|host| host.to_string()).collect(),
        };
        let row = StoredRow {
            part: "off".to_string(),
            key: "hosts".to_string(),
            value: Some(encode(&row)),
            revision: 1,
        };
        let reported = reported_ms.iter().map(|(host, at)| (host.to_string(), *at));
        let former = FormerHostOrders {
            reported_ms: reported.collect(),
            over_ms: 49_500,
        };
        let mut offers = Offers::default();
        offers.row.offered = BTreeMap::from([("h1".to_string(), "worker of h1".to_string())]);
        offers.revision = 3;
        let mut owner = Self {
            controller: HostController::default(),
            config: donor_config("idle"),
            now_ms: 50_000,
            offers,
        };
        owner.with_ctx(|controller, _, ctx| {
            *controller = HostController::new(&[row], &former, false, ctx)
        });
        let list = ["h1", "h2"].map(|host| HostRecord {
            host: host.to_string(),
            hall: "hall".to_string(),
            rack: String::new(),
            pool: "idle".to_string(),
            state: HostState::Up,
            worker: format!("worker of {host}"),
        });
        // The first pass asks for the list of hosts.
        owner.reconcile_hosts();
        hosts::apply_list(&mut owner.controller, list.to_vec());
        owner
    }

    fn with_ctx(
        &mut self,
        work: impl FnOnce(&mut HostController, &Inputs<'_>, &mut Ctx<'_>),
    ) -> Vec<Effect> {
        let none = Offers::default();
        let needs = [
            pool_need("busy", 1, &none, self.now_ms),
            pool_need("idle", 1, &self.offers, self.now_ms),
        ];
        let inputs = Inputs {
            config: &self.config,
            needs: &needs,
            evacuated_halls: &BTreeSet::new(),
            pool: "off",
            epoch: EPOCH,
        };
        decide(self.now_ms, |ctx| work(&mut self.controller, &inputs, ctx))
    }

    fn reconcile_hosts(&mut self) -> Vec<Effect> {
        self.with_ctx(|controller, inputs, ctx| {
            hosts::reconcile(controller, &BTreeMap::new(), inputs, ctx)
        })
    }

    fn apply_recorded_orders(&mut self) -> Vec<Effect> {
        self.with_ctx(|controller, _, ctx| {
            hosts::apply_recorded(controller, &TxOutcome::Committed(9), EPOCH, ctx)
        })
    }

    /// Applies the answer to a take. If `is_done`, the host was taken from `idle`; otherwise `idle` had already
    /// withdrawn its offer.
    fn apply_take_answer(&mut self, is_done: bool) -> Vec<Effect> {
        let outcome = match is_done {
            true => TxOutcome::Committed(10),
            false => TxOutcome::Conflict(Vec::new()),
        };
        let mut row = None;
        let effects = self.with_ctx(|controller, _, ctx| {
            row = hosts::apply_taken(controller, "idle", &outcome, EPOCH, ctx);
        });
        self.offers.replace_row(row.unwrap_or_default(), 10);
        effects
    }
}

fn count_records(effects: &[Effect]) -> usize {
    let is_record = |e: &&Effect| matches!(e, Effect::RecordHostOrders(..));
    effects.iter().filter(is_record).count()
}

fn count_takes(effects: &[Effect]) -> usize {
    let is_take = |e: &&Effect| matches!(e, Effect::TakeHosts(..));
    effects.iter().filter(is_take).count()
}

fn list_moves(effects: &[Effect]) -> Vec<(String, HostTask)> {
    let orders = effects.iter().filter_map(|e| match e {
        Effect::OrderHost(_, _, host, _, task, _) => Some((host.clone(), task.clone())),
        _ => None,
    });
    orders.collect()
}

fn order_numbers(effects: &[Effect]) -> impl Iterator<Item = OrderNumber> + '_ {
    effects.iter().filter_map(|e| match e {
        Effect::OrderHost(_, _, _, number, _, _) => Some(*number),
        _ => None,
    })
}

fn order_number(effects: &[Effect]) -> OrderNumber {
    order_numbers(effects).next().expect("no order")
}

fn move_to_busy() -> Vec<(String, HostTask)> {
    vec![("h1".to_string(), HostTask::Move("busy".to_string()))]
}

/// An order that is sent before it is recorded is unknown to the next owner, which may then order the host too soon.
#[test]
fn hosts_recorded_first() {
    let mut owner = Owner::new(&[], &[]);
    let effects = owner.reconcile_hosts();
    assert_eq!((count_records(&effects), count_takes(&effects)), (1, 1));
    assert_eq!(list_moves(&effects), []);
    assert_eq!(
        list_moves(&owner.apply_take_answer(true)),
        [],
        "the order is not recorded yet"
    );
    assert_eq!(list_moves(&owner.apply_recorded_orders()), move_to_busy());
}

/// An order that is sent before the host is taken from its pool moves a host on which the pool may still place work.
#[test]
fn hosts_taken_first() {
    let mut owner = Owner::new(&[], &[]);
    owner.reconcile_hosts();
    assert_eq!(
        list_moves(&owner.apply_recorded_orders()),
        [],
        "the pool still offers the host"
    );
    // The store answers slowly. The host counts as taken however late the answer arrives.
    owner.now_ms += 1_500;
    assert_eq!(list_moves(&owner.apply_take_answer(true)), move_to_busy());
}

/// The pool withdrew its offer before the host was taken, and may have placed work there, so the host is not moved.
#[test]
fn hosts_offer_withdrawn() {
    let mut owner = Owner::new(&[], &[]);
    owner.reconcile_hosts();
    owner.apply_recorded_orders();
    assert_eq!(list_moves(&owner.apply_take_answer(false)), []);
    owner.offers.replace_row(OffersRow::default(), 11);
    owner.now_ms += 2_000;
    let effects = owner.reconcile_hosts();
    assert_eq!((list_moves(&effects), count_takes(&effects)), (vec![], 0));
}

/// An order without a reply is sent again only as long as the host is still taken from its pool. Otherwise the retry
/// moves a host that its pool may use again.
#[test]
fn hosts_order_retried() {
    let mut owner = Owner::new(&[], &[]);
    owner.reconcile_hosts();
    owner.apply_recorded_orders();
    let effects = owner.apply_take_answer(true);
    assert_eq!(list_moves(&effects).len(), 1);
    let number = order_number(&effects);
    owner.with_ctx(|controller, _, ctx| {
        hosts::apply_reply(controller, "h1", number, HostReply::Silent, ctx)
    });
    owner.now_ms += 500;
    assert_eq!(
        list_moves(&owner.reconcile_hosts()),
        move_to_busy(),
        "the host is taken, so the order is sent again"
    );
    owner.with_ctx(|controller, _, ctx| {
        hosts::apply_reply(controller, "h1", number, HostReply::Silent, ctx)
    });
    owner.offers.replace_row(OffersRow::default(), 12);
    owner.now_ms += 500;
    assert_eq!(
        list_moves(&owner.reconcile_hosts()),
        [],
        "the host is no longer taken"
    );
}

/// An order was given up without a reply, and the host got another one. The late reply to the first order must neither
/// stop the retries of the second one nor remove it.
#[test]
fn hosts_late_reply() {
    for late in [HostReply::Accepted, HostReply::Busy] {
        let mut owner = Owner::new(&[], &[]);
        let off = HostRecord {
            host: "h1".to_string(),
            hall: "hall".to_string(),
            rack: String::new(),
            pool: "off".to_string(),
            state: HostState::Up,
            worker: String::new(),
        };
        hosts::apply_list(&mut owner.controller, vec![off]);
        owner.reconcile_hosts();
        let first = order_number(&owner.apply_recorded_orders());
        let mut effects = Vec::new();
        while order_numbers(&effects).all(|number| number == first) {
            assert!(owner.now_ms < 70_000, "the host got no second order");
            owner.now_ms += 500;
            effects = owner.reconcile_hosts();
            effects.extend(owner.apply_recorded_orders());
        }
        let second = order_number(&effects);
        let reply = |owner: &mut Owner, number, reply| {
            owner.with_ctx(|controller, _, ctx| {
                hosts::apply_reply(controller, "h1", number, reply, ctx)
            })
        };
        reply(&mut owner, first, late);
        owner.now_ms += 1_000;
        let again = owner.reconcile_hosts();
        assert_eq!(list_moves(&again), move_to_busy(), "{late:?}");
        assert_eq!(order_number(&again), second, "{late:?}");
        reply(&mut owner, second, HostReply::Accepted);
        owner.now_ms += 1_000;
        assert_eq!(list_moves(&owner.reconcile_hosts()), [], "{late:?}");
    }
}

/// The former owner took a host and did not move it, and its orders can't move the host any more. Since no pool lacks a
/// host, the host must go back to its pool.
#[test]
fn hosts_given_back() {
    let mut owner = Owner::new(&[], &[]);
    owner.offers.row = OffersRow::default();
    let taken = |epoch| Taken {
        worker_id: "worker of h1".to_string(),
        epoch,
    };
    let by_former = BTreeMap::from([("h1".to_string(), taken(EPOCH - 1))]);
    owner.offers.row.taken = by_former;
    let effects = owner.with_ctx(|controller, inputs, ctx| {
        let needs = [inputs.needs[1]];
        let without_need = Inputs {
            needs: &needs,
            ..*inputs
        };
        hosts::reconcile(controller, &BTreeMap::new(), &without_need, ctx);
    });
    // No pool lacks a host, so the former owner's mark is removed.
    assert_eq!((count_takes(&effects), list_moves(&effects).len()), (1, 0));
    owner.apply_take_answer(true);
    assert!(owner.offers.row.taken.is_empty());
}

/// A former owner marked a host as taken, and the instance on the host has ended since then. The mark doesn't apply to
/// the host's next instance, which came back to the pool, so the host must not be moved.
#[test]
fn hosts_stale_mark() {
    let mut owner = Owner::new(&[], &[]);
    owner.offers.row = OffersRow::default();
    let earlier = Taken {
        worker_id: "earlier worker".to_string(),
        epoch: EPOCH - 1,
    };
    owner.offers.row.taken = BTreeMap::from([("h1".to_string(), earlier)]);
    let effects = owner.reconcile_hosts();
    assert_eq!((count_records(&effects), count_takes(&effects)), (0, 1));
    assert_eq!(list_moves(&owner.apply_take_answer(true)), []);
    assert!(
        owner.offers.row.taken.is_empty(),
        "the stale mark is removed"
    );
}

/// A pool offered a host, and the host then crashed. The offer doesn't apply to its next instance, which may be running
/// tasks, so the host must not be taken.
#[test]
fn hosts_stale_offer() {
    let mut owner = Owner::new(&[], &[]);
    let offered = BTreeMap::from([("h1".to_string(), "earlier worker".to_string())]);
    owner.offers.row.offered = offered;
    let effects = owner.reconcile_hosts();
    assert_eq!((count_records(&effects), count_takes(&effects)), (0, 0));
}

/// Turning off all surplus hosts at once would delay the orders for pools that lack hosts, so only a few are turned off
/// at a time.
#[test]
fn hosts_off_gradually() {
    let mut owner = Owner::new(&[], &[]);
    let names: Vec<String> = (0..100).map(|n| format!("h{n}")).collect();
    let offered = names.iter().map(|host| (host.clone(), String::new()));
    owner.offers.row.offered = offered.collect();
    let list = names.iter().map(|host| HostRecord {
        host: host.clone(),
        hall: "hall".to_string(),
        rack: String::new(),
        pool: "idle".to_string(),
        state: HostState::Up,
        worker: String::new(),
    });
    hosts::apply_list(&mut owner.controller, list.collect::<Vec<_>>());
    owner.reconcile_hosts();
    owner.apply_recorded_orders();
    owner.apply_take_answer(true);
    owner.now_ms += 10_000;
    owner.reconcile_hosts();
    owner.apply_recorded_orders();
    let sent = list_moves(&owner.apply_take_answer(true));
    let is_off = |(_, task): &&(String, HostTask)| *task == HostTask::Move("off".to_string());
    let off = sent.iter().filter(is_off).count();
    assert!(
        (1..=16).contains(&off),
        "{off} of 100 hosts turned off at once"
    );
}

/// A new owner that orders a host soon after the former owner may send a second order while the first is under way.
#[test]
fn hosts_former_owner() {
    let mut owner = Owner::new(&["h1"], &[]);
    owner.now_ms = 49_500 + hosts::ORDERS_APART_MS - 1;
    assert_eq!(
        count_records(&owner.reconcile_hosts()),
        0,
        "another entry ordered the host last"
    );
    owner.now_ms += 1;
    assert_eq!(count_records(&owner.reconcile_hosts()), 1);
}

/// The former owner reported in its heartbeats when it ordered the host. The gap between two orders counts from that
/// time, not from the end of the former owner's lease.
#[test]
fn hosts_former_reported() {
    let mut owner = Owner::new(&["h1"], &[("h1", 47_000)]);
    owner.now_ms = 47_000 + hosts::ORDERS_APART_MS - 1;
    assert_eq!(count_records(&owner.reconcile_hosts()), 0);
    owner.now_ms += 1;
    assert_eq!(count_records(&owner.reconcile_hosts()), 1);
}
