//! Orders to hosts: on record and taken before they are sent, and no two holders in turn.

use std::collections::BTreeMap;

use rockwick::core::sched::hosts::{self, HostController, HostTask, Inputs};
use rockwick::core::sched::offers::{Offers, OffersRow, Taken};
use rockwick::core::sched::owner_lease::FormerHostOrders;
use rockwick::core::sched::rows::{encode, HostOrdersRow};
use rockwick::core::sched::state::{Ctx, Effect};
use rockwick::port::fleet::{FleetConfig, HostRecord, HostReply, HostState, StoredRow, TxOutcome};

use crate::decide::{decide, need, pools};

/// Epoch of the entry that orders hosts.
const EPOCH: u64 = 7;

/// The entry that orders hosts: pool `busy` lacks one, pool `idle` offers `h1`.
struct Holder {
    controller: HostController,
    config: FleetConfig,
    now_ms: u64,
    /// What `idle` offers.
    offers: Offers,
}

impl Holder {
    /// After a holder that ordered these hosts, and told of some in its last heartbeat, two seconds ago.
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
        let told = reported_ms.iter().map(|(host, at)| (host.to_string(), *at));
        let former = FormerHostOrders {
            reported_ms: told.collect(),
            over_ms: 49_500,
        };
        let mut offers = Offers::default();
        offers.row.offered = BTreeMap::from([("h1".to_string(), "life of h1".to_string())]);
        offers.revision = 3;
        let mut holder = Self {
            controller: HostController::default(),
            config: pools("idle"),
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
        // The first look asks for the list.
        holder.look();
        hosts::apply_list(&mut holder.controller, list.to_vec());
        holder
    }

    fn with_ctx(
        &mut self,
        work: impl FnOnce(&mut HostController, &Inputs<'_>, &mut Ctx<'_>),
    ) -> Vec<Effect> {
        let none = Offers::default();
        let needs = [
            need("busy", 1, &none, self.now_ms),
            need("idle", 1, &self.offers, self.now_ms),
        ];
        let look = Inputs {
            config: &self.config,
            needs: &needs,
            pool: "off",
            epoch: EPOCH,
        };
        decide(self.now_ms, |ctx| work(&mut self.controller, &look, ctx))
    }

    fn look(&mut self) -> Vec<Effect> {
        self.with_ctx(|controller, look, ctx| {
            hosts::reconcile(controller, &BTreeMap::new(), look, ctx)
        })
    }

    fn recorded(&mut self) -> Vec<Effect> {
        self.with_ctx(|controller, _, ctx| {
            hosts::apply_recorded(controller, &TxOutcome::Committed(9), EPOCH, ctx)
        })
    }

    /// The host was taken from `idle`, or its offer was withdrawn meanwhile.
    fn taken(&mut self, is_done: bool) -> Vec<Effect> {
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

fn records(effects: &[Effect]) -> usize {
    let is_record = |e: &&Effect| matches!(e, Effect::RecordHostOrders(..));
    effects.iter().filter(is_record).count()
}

fn takes(effects: &[Effect]) -> usize {
    let is_take = |e: &&Effect| matches!(e, Effect::TakeHosts(..));
    effects.iter().filter(is_take).count()
}

fn moves(effects: &[Effect]) -> Vec<(String, HostTask)> {
    let orders = effects.iter().filter_map(|e| match e {
        Effect::OrderHost(_, _, host, task, _) => Some((host.clone(), task.clone())),
        _ => None,
    });
    orders.collect()
}

fn to_busy() -> Vec<(String, HostTask)> {
    vec![("h1".to_string(), HostTask::Move("busy".to_string()))]
}

#[test]
fn hosts_recorded_first() {
    let mut holder = Holder::new(&[], &[]);
    let effects = holder.look();
    assert_eq!((records(&effects), takes(&effects)), (1, 1));
    assert_eq!(moves(&effects), []);
    assert_eq!(moves(&holder.taken(true)), [], "not on record yet");
    assert_eq!(moves(&holder.recorded()), to_busy());
}

#[test]
fn hosts_taken_first() {
    let mut holder = Holder::new(&[], &[]);
    holder.look();
    assert_eq!(moves(&holder.recorded()), [], "its pool still offers it");
    // A slow store: what was taken is taken, however long it took.
    holder.now_ms += 1_500;
    assert_eq!(moves(&holder.taken(true)), to_busy());
}

/// Its pool took the host back before it could be taken, and may have given it work.
#[test]
fn hosts_withdrawn() {
    let mut holder = Holder::new(&[], &[]);
    holder.look();
    holder.recorded();
    assert_eq!(moves(&holder.taken(false)), []);
    holder.offers.replace_row(OffersRow::default(), 11);
    holder.now_ms += 2_000;
    let effects = holder.look();
    assert_eq!((moves(&effects), takes(&effects)), (vec![], 0));
}

#[test]
fn hosts_silent_again() {
    let mut holder = Holder::new(&[], &[]);
    holder.look();
    holder.recorded();
    assert_eq!(moves(&holder.taken(true)).len(), 1);
    holder.with_ctx(|controller, _, ctx| {
        hosts::apply_reply(controller, "h1", HostReply::Silent, ctx)
    });
    holder.now_ms += 500;
    assert_eq!(moves(&holder.look()), to_busy(), "it is taken: sent again");
    holder.with_ctx(|controller, _, ctx| {
        hosts::apply_reply(controller, "h1", HostReply::Silent, ctx)
    });
    holder.offers.replace_row(OffersRow::default(), 12);
    holder.now_ms += 500;
    assert_eq!(moves(&holder.look()), [], "it is not taken any more");
}

/// What was taken and is not moved goes back to its pool, once no order can still move it.
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
    let effects = holder.with_ctx(|controller, look, ctx| {
        let needs = [look.needs[1]];
        let calm = Inputs {
            needs: &needs,
            ..*look
        };
        hosts::reconcile(controller, &BTreeMap::new(), &calm, ctx);
    });
    // Nobody lacks a host: the former holder's mark goes.
    assert_eq!((takes(&effects), moves(&effects).len()), (1, 0));
    holder.taken(true);
    assert!(holder.offers.row.taken.is_empty());
}

/// A mark that a former holder left on a life that is over says nothing of the one that came back to the pool.
#[test]
fn hosts_stale_mark() {
    let mut holder = Holder::new(&[], &[]);
    holder.offers.row = OffersRow::default();
    let earlier = Taken {
        life: "earlier life".to_string(),
        epoch: EPOCH - 1,
    };
    holder.offers.row.taken = BTreeMap::from([("h1".to_string(), earlier)]);
    let effects = holder.look();
    assert_eq!((records(&effects), takes(&effects)), (0, 1));
    assert_eq!(moves(&holder.taken(true)), []);
    assert!(holder.offers.row.taken.is_empty(), "the mark goes");
}

/// The same for an offer: the host crashed, and its next life may be at work.
#[test]
fn hosts_stale_offer() {
    let mut holder = Holder::new(&[], &[]);
    let offered = BTreeMap::from([("h1".to_string(), "earlier life".to_string())]);
    holder.offers.row.offered = offered;
    let effects = holder.look();
    assert_eq!((records(&effects), takes(&effects)), (0, 0));
}

/// Hosts that nobody wants are turned off a few at a time: orders that somebody waits for go between them.
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
    holder.look();
    holder.recorded();
    holder.taken(true);
    holder.now_ms += 10_000;
    holder.look();
    holder.recorded();
    let sent = moves(&holder.taken(true));
    let is_off = |(_, task): &&(String, HostTask)| *task == HostTask::Move("off".to_string());
    let off = sent.iter().filter(is_off).count();
    assert!((1..=16).contains(&off), "{off} of 100");
}

#[test]
fn hosts_former_holder() {
    let mut holder = Holder::new(&["h1"], &[]);
    holder.now_ms = 49_500 + hosts::ORDERS_APART_MS - 1;
    assert_eq!(records(&holder.look()), 0, "another entry ordered it last");
    holder.now_ms += 1;
    assert_eq!(records(&holder.look()), 1);
}

/// The former holder said in its heartbeats when it ordered the host about: only what is left is waited for.
#[test]
fn hosts_former_told() {
    let mut holder = Holder::new(&["h1"], &[("h1", 47_000)]);
    holder.now_ms = 47_000 + hosts::ORDERS_APART_MS - 1;
    assert_eq!(records(&holder.look()), 0);
    holder.now_ms += 1;
    assert_eq!(records(&holder.look()), 1);
}
