//! Orders to hosts: on record before they are sent, and only on fresh words.

use std::collections::BTreeMap;

use rockwick::clock::Now;
use rockwick::core::sched::hosts::{self, HostDuty, HostTask, Look, PoolNeed};
use rockwick::core::sched::rows::{encode, HostOrdersRow};
use rockwick::core::sched::state::{Ctx, Effect, PoolKey, Timers};
use rockwick::port::fleet::{
    FleetConfig, HostRecord, HostReply, HostState, PoolConfig, StoredRow, TxOutcome,
};

/// The entry that orders hosts: pool `busy` lacks one, pool `idle` gives `h1` away.
struct Holder {
    duty: HostDuty,
    config: FleetConfig,
    timers: Timers,
    now_ms: u64,
    heard_ms: u64,
}

impl Holder {
    fn new(former: &[&str]) -> Self {
        let pool = |name: &str, is_parked| {
            let config = PoolConfig {
                name: name.to_string(),
                is_parked,
            };
            (name.to_string(), config)
        };
        let pools = [pool("busy", false), pool("idle", false), pool("off", true)];
        let config = FleetConfig {
            pools: pools.into(),
            ..FleetConfig::default()
        };
        let row = HostOrdersRow {
            hosts: former.iter().map(|host| host.to_string()).collect(),
        };
        let row = StoredRow {
            part: "off".to_string(),
            key: "hosts".to_string(),
            value: Some(encode(&row)),
            revision: 1,
        };
        let mut holder = Self {
            duty: HostDuty::default(),
            config,
            timers: Timers::new(),
            now_ms: 50_000,
            heard_ms: 50_000,
        };
        holder.with_ctx(|duty, _, ctx| *duty = HostDuty::new(&[row], false, ctx));
        let list = ["h1", "h2"].map(|host| HostRecord {
            host: host.to_string(),
            pool: "idle".to_string(),
            state: HostState::Up,
            life: format!("life of {host}"),
        });
        // The first look asks for the list.
        holder.look();
        hosts::list_read(&mut holder.duty, list.to_vec());
        holder
    }

    fn with_ctx(
        &mut self,
        work: impl FnOnce(&mut HostDuty, &Look<'_>, &mut Ctx<'_>),
    ) -> Vec<Effect> {
        let need = |pool: &str, needed, spare: &[&str]| PoolNeed {
            pool: pool.to_string(),
            wanted: needed,
            needed,
            spare: spare.iter().map(|host| host.to_string()).collect(),
            heard_ms: self.heard_ms,
        };
        let needs = [need("busy", 1, &[]), need("idle", 1, &["h1"])];
        let look = Look {
            config: &self.config,
            needs: &needs,
            pool: "off",
            epoch: 7,
        };
        let mut out = Vec::new();
        let mut ctx = Ctx {
            now: Now {
                ms: self.now_ms,
                wall_ms: self.now_ms,
            },
            pool: PoolKey(0),
            me: "entry",
            until_ms: u64::MAX,
            timers: &mut self.timers,
            out: &mut out,
        };
        work(&mut self.duty, &look, &mut ctx);
        out
    }

    fn look(&mut self) -> Vec<Effect> {
        self.with_ctx(|duty, look, ctx| hosts::look(duty, &BTreeMap::new(), look, ctx))
    }

    fn recorded(&mut self) -> Vec<Effect> {
        self.with_ctx(|duty, _, ctx| hosts::recorded(duty, &TxOutcome::Committed(9), 7, ctx))
    }
}

fn records(effects: &[Effect]) -> usize {
    let is_record = |e: &&Effect| matches!(e, Effect::RecordHostOrders(..));
    effects.iter().filter(is_record).count()
}

fn moves(effects: &[Effect]) -> Vec<(String, HostTask)> {
    let orders = effects.iter().filter_map(|e| match e {
        Effect::OrderHost(_, _, host, task, _) => Some((host.clone(), task.clone())),
        _ => None,
    });
    orders.collect()
}

#[test]
fn hosts_recorded_first() {
    let mut holder = Holder::new(&[]);
    let effects = holder.look();
    assert_eq!((records(&effects), moves(&effects).len()), (1, 0));
    holder.now_ms += 10;
    let sent = moves(&holder.recorded());
    let task = HostTask::Move("busy".to_string());
    assert_eq!(sent, [("h1".to_string(), task)]);
}

/// Its pool may have taken the host back by then, and given it work.
#[test]
fn hosts_late_record() {
    let mut holder = Holder::new(&[]);
    assert_eq!(records(&holder.look()), 1);
    holder.now_ms += hosts::MOVE_FRESH_MS;
    assert_eq!(moves(&holder.recorded()), []);
}

#[test]
fn hosts_old_word() {
    let mut holder = Holder::new(&[]);
    holder.look();
    holder.now_ms += 10;
    assert_eq!(moves(&holder.recorded()).len(), 1);
    holder.with_ctx(|duty, _, ctx| hosts::ordered(duty, "h1", HostReply::Silent, ctx));
    holder.now_ms += 2_000;
    let effects = holder.look();
    assert_eq!(
        moves(&effects),
        [],
        "nobody said lately that the host is spare"
    );
}

#[test]
fn hosts_former_holder() {
    let mut holder = Holder::new(&["h1"]);
    assert_eq!(records(&holder.look()), 0, "another entry ordered it last");
    holder.now_ms += 3_300;
    holder.heard_ms = holder.now_ms;
    assert_eq!(records(&holder.look()), 1);
}
