//! Orders to hosts are sent only once they are recorded and the hosts are taken from their pool, and two successive
//! entries don't order the same host in quick succession.

use std::collections::BTreeMap;

use rockwick::core::sched::hosts::{self, HostController, HostTask, Inputs};
use rockwick::core::sched::offers::{Offers, OffersRow, Taken};
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::rows::{encode, HostOrdersRow};
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::port::fleet::{FleetConfig, HostRecord, HostReply, HostState, StoredRow, TxOutcome};

use crate::decide::{decide, donor_config, pool_need};

/// Epoch of the entry that orders hosts.
const EPOCH: u64 = 7;

/// The entry that orders hosts. Pool `busy` lacks one host, and pool `idle` offers `h1`.
struct Holder {
    controller: HostController,
    config: FleetConfig,
    now_ms: u64,
    /// Hosts that `idle` offers.
    offers: Offers,
}

impl Holder {
    /// Creates an entry that takes over from a holder which had ordered the hosts `former`, and which reported the
    /// times `reported_ms` in its last heartbeat two seconds ago.
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
        offers.row.offered = BTreeMap::from([("h1".to_string(), "life of h1".to_string())]);
        offers.revision = 3;
        let mut holder = Self {
            controller: HostController::default(),
            config: donor_config("idle"),
            now_ms: 50_000,
            offers,
        };
        holder.with_ctx(|controller, _, ctx| {
            *controller = HostController::new(&[row], &former, false, ctx)
        });
        let list = ["h1", "h2"].map(|host| HostRecord {
            host: host.to_string(),
            pool: "idle".to_string(),
            state: HostState::Up,
            worker: format!("life of {host}"),
        });
        // The first pass asks for the list of hosts.
        holder.reconcile_hosts();
        hosts::apply_list(&mut holder.controller, list.to_vec());
        holder
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

    /// Applies the answer to a take: the host was taken from `idle`, or its offer was withdrawn in the meantime.
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
        Effect::OrderHost(_, _, host, task, _) => Some((host.clone(), task.clone())),
        _ => None,
    });
    orders.collect()
}

fn move_to_busy() -> Vec<(String, HostTask)> {
    vec![("h1".to_string(), HostTask::Move("busy".to_string()))]
}

#[test]
fn hosts_recorded_first() {
    let mut holder = Holder::new(&[], &[]);
    let effects = holder.reconcile_hosts();
    assert_eq!((count_records(&effects), count_takes(&effects)), (1, 1));
    assert_eq!(list_moves(&effects), []);
    assert_eq!(
        list_moves(&holder.apply_take_answer(true)),
        [],
        "the order is not recorded yet"
    );
    assert_eq!(list_moves(&holder.apply_recorded_orders()), move_to_busy());
}

#[test]
fn hosts_taken_first() {
    let mut holder = Holder::new(&[], &[]);
    holder.reconcile_hosts();
    assert_eq!(
        list_moves(&holder.apply_recorded_orders()),
        [],
        "the pool still offers the host"
    );
    // A slow store: the take holds, however long its answer took.
    holder.now_ms += 1_500;
    assert_eq!(list_moves(&holder.apply_take_answer(true)), move_to_busy());
}

/// The pool withdrew its offer before the host was taken, and may have placed work there, so the host is not moved.
#[test]
fn hosts_withdrawn() {
    let mut holder = Holder::new(&[], &[]);
    holder.reconcile_hosts();
    holder.apply_recorded_orders();
    assert_eq!(list_moves(&holder.apply_take_answer(false)), []);
    holder.offers.replace_row(OffersRow::default(), 11);
    holder.now_ms += 2_000;
    let effects = holder.reconcile_hosts();
    assert_eq!((list_moves(&effects), count_takes(&effects)), (vec![], 0));
}

#[test]
fn hosts_silent_again() {
    let mut holder = Holder::new(&[], &[]);
    holder.reconcile_hosts();
    holder.apply_recorded_orders();
    assert_eq!(list_moves(&holder.apply_take_answer(true)).len(), 1);
    holder.with_ctx(|controller, _, ctx| {
        hosts::apply_reply(controller, "h1", HostReply::Silent, ctx)
    });
    holder.now_ms += 500;
    assert_eq!(
        list_moves(&holder.reconcile_hosts()),
        move_to_busy(),
        "the host is taken, so the order is sent again"
    );
    holder.with_ctx(|controller, _, ctx| {
        hosts::apply_reply(controller, "h1", HostReply::Silent, ctx)
    });
    holder.offers.replace_row(OffersRow::default(), 12);
    holder.now_ms += 500;
    assert_eq!(
        list_moves(&holder.reconcile_hosts()),
        [],
        "the host is no longer taken"
    );
}

/// A host that was taken but not moved goes back to its pool once no order can move it any more.
#[test]
fn hosts_given_back() {
    let mut holder = Holder::new(&[], &[]);
    holder.offers.row = OffersRow::default();
    let taken = |epoch| Taken {
        life: "life of h1".to_string(),
        epoch,
    };
    let by_former = BTreeMap::from([("h1".to_string(), taken(EPOCH - 1))]);
    holder.offers.row.taken = by_former;
    let effects = holder.with_ctx(|controller, inputs, ctx| {
        let needs = [inputs.needs[1]];
        let without_need = Inputs {
            needs: &needs,
            ..*inputs
        };
        hosts::reconcile(controller, &BTreeMap::new(), &without_need, ctx);
    });
    // No pool lacks a host, so the former holder's mark is removed.
    assert_eq!((count_takes(&effects), list_moves(&effects).len()), (1, 0));
    holder.apply_take_answer(true);
    assert!(holder.offers.row.taken.is_empty());
}

/// A former holder marked an instance as taken that has ended since. The mark says nothing about the host's next
/// instance, which came back to the pool.
#[test]
fn hosts_stale_mark() {
    let mut holder = Holder::new(&[], &[]);
    holder.offers.row = OffersRow::default();
    let earlier = Taken {
        life: "earlier life".to_string(),
        epoch: EPOCH - 1,
    };
    holder.offers.row.taken = BTreeMap::from([("h1".to_string(), earlier)]);
    let effects = holder.reconcile_hosts();
    assert_eq!((count_records(&effects), count_takes(&effects)), (0, 1));
    assert_eq!(list_moves(&holder.apply_take_answer(true)), []);
    assert!(
        holder.offers.row.taken.is_empty(),
        "the stale mark is removed"
    );
}

/// The same for an offer: the host crashed, and its next instance may be running tasks.
#[test]
fn hosts_stale_offer() {
    let mut holder = Holder::new(&[], &[]);
    let offered = BTreeMap::from([("h1".to_string(), "earlier life".to_string())]);
    holder.offers.row.offered = offered;
    let effects = holder.reconcile_hosts();
    assert_eq!((count_records(&effects), count_takes(&effects)), (0, 0));
}

/// Surplus hosts are turned off a few at a time, so that orders that a pool waits for are sent between them.
#[test]
fn hosts_parked_slowly() {
    let mut holder = Holder::new(&[], &[]);
    let names: Vec<String> = (0..100).map(|n| format!("h{n}")).collect();
    let offered = names.iter().map(|host| (host.clone(), String::new()));
    holder.offers.row.offered = offered.collect();
    let list = names.iter().map(|host| HostRecord {
        host: host.clone(),
        pool: "idle".to_string(),
        state: HostState::Up,
        worker: String::new(),
    });
    hosts::apply_list(&mut holder.controller, list.collect());
    holder.reconcile_hosts();
    holder.apply_recorded_orders();
    holder.apply_take_answer(true);
    holder.now_ms += 10_000;
    holder.reconcile_hosts();
    holder.apply_recorded_orders();
    let sent = list_moves(&holder.apply_take_answer(true));
    let is_off = |(_, task): &&(String, HostTask)| *task == HostTask::Move("off".to_string());
    let off = sent.iter().filter(is_off).count();
    assert!(
        (1..=16).contains(&off),
        "{off} of 100 hosts turned off at once"
    );
}

#[test]
fn hosts_former_holder() {
    let mut holder = Holder::new(&["h1"], &[]);
    holder.now_ms = 49_500 + hosts::ORDERS_APART_MS - 1;
    assert_eq!(
        count_records(&holder.reconcile_hosts()),
        0,
        "another entry ordered the host last"
    );
    holder.now_ms += 1;
    assert_eq!(count_records(&holder.reconcile_hosts()), 1);
}

/// The former holder reported in its heartbeats when it ordered the host, so only the rest of the gap is waited for.
#[test]
fn hosts_former_reported() {
    let mut holder = Holder::new(&["h1"], &[("h1", 47_000)]);
    holder.now_ms = 47_000 + hosts::ORDERS_APART_MS - 1;
    assert_eq!(count_records(&holder.reconcile_hosts()), 0);
    holder.now_ms += 1;
    assert_eq!(count_records(&holder.reconcile_hosts()), 1);
}
