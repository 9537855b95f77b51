//! Orders to hosts, all from one entry: the owner of one pool carries them out for the fleet.
//!
//! Two holders must not order one host about in turn, so neither pools' owners nor anybody else sends
//! such orders. Owners say in their heartbeats what they want, in a row of offers which hosts they can spare,
//! and in a wave's row which host holds a slot; this entry moves hosts and takes them down.

use std::collections::{BTreeMap, BTreeSet};

use super::listing::HostList;
use super::moves;
use super::offers::{Offers, OffersRow, Taken};
use super::owner_lease::{epoch_guard, FormerOrders};
use super::rows::{self, HostOrdersRow, WaveRow, HOST_ORDERS_KEY};
use super::state::{Ctx, Effect, Pool, Timer, WaveKnown};
use super::wave;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    FleetConfig, HostRecord, HostReply, HostState, Revision, RowTx, StoredRow, Table, TxOutcome,
    Write,
};

/// How often orders to hosts are looked at.
pub const RECONCILE_MS: Millis = 100;

/// How often an owner looks whether its pool carries the orders now.
pub const IDLE_RECONCILE_MS: Millis = 1_000;

/// How often the list of hosts is read.
const LIST_MS: Millis = 600;

/// Orders of two entries to one host are kept so far apart: the platform's pages bound them by 3 s, an order's
/// way and a late timer on top.
pub const ORDERS_APART_MS: Millis = 3_300;

/// A take that met newer offers is tried again at once, so many times between two looks. Owner and orderer both
/// look every 0.1 s: in step, the owner changed its offers just before each take, and 150 hosts stayed on offer for
/// 2.6 s while another pool needed 200.
const RETAKES_MAX: u32 = 3;

/// Pause before an order to a host is sent again that got no answer.
const RETRY_MS: Millis = 400;

/// The same for one that may still be answered, and for a host whose order was refused.
pub(super) const RETRY_SENT_MS: Millis = 2 * RETRY_MS;

/// What a pool needs counts for so long after its owner was last heard: a lease and the time that a new owner
/// takes to read the rows.
pub const NEED_KEPT_MS: Millis = 3_000;

/// A move that could not be put on record, or whose host could not be taken, is given up by then: both take one
/// answer of the store, 300 ms each on the users' slow days.
const UNSENT_MAX_MS: Millis = 2_000;

/// A move that is not seen in the list by then is forgotten. A move takes 2 s.
const MOVE_MAX_MS: Millis = 6_000;

/// What a pool's owner says of its size.
#[derive(Clone, Copy, Debug)]
pub struct PoolNeed<'a> {
    /// The pool.
    pub pool: &'a str,
    /// Hosts that it wants.
    pub wanted: u64,
    /// Hosts that its work needs now.
    pub needed: u64,
    /// Hosts that are to leave it.
    pub offers: &'a Offers,
    /// When its owner was last heard.
    pub heard_ms: Millis,
}

impl<'a> PoolNeed<'a> {
    /// As this entry has heard of the pool.
    pub fn of(pool: &'a Pool) -> Self {
        Self {
            pool: &pool.name,
            wanted: pool.lease.heartbeat.wanted,
            needed: pool.lease.heartbeat.needed,
            offers: &pool.offers,
            heard_ms: pool.lease.heartbeat_seen_ms,
        }
    }

    /// Whether the host is to leave this pool.
    pub(super) fn gives(&self, host: &str) -> bool {
        let row = &self.offers.row;
        row.offered.contains_key(host) || row.taken.contains_key(host)
    }
}

/// What a host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostTask {
    /// Go to this pool.
    Move(String),
    /// Go down for its upkeep in this wave.
    Upkeep(u64),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct HostOrder {
    task: HostTask,
    /// The pool that offers the host, until it is taken.
    offered_by: Option<String>,
    /// It is on record that the host is ordered about.
    is_recorded: bool,
    /// The order went out; before, the host was taken and the order put on record.
    is_sent: bool,
    /// Sent again then; nothing once it was accepted.
    again_ms: Option<Millis>,
    /// When it was accepted, or first sent.
    since_ms: Millis,
}

/// A change of a wave's row that is out.
#[derive(Clone, Debug)]
struct WaveChange {
    wave: u64,
    row: WaveRow,
    /// The revision that it asks for.
    after: Revision,
}

/// What the entry that orders hosts knows.
#[derive(Clone, Debug, Default)]
pub struct HostController {
    pub(super) list: HostList,
    orders: BTreeMap<String, HostOrder>,
    pending: Option<WaveChange>,
    /// Hosts that are being put on record.
    recording: Option<BTreeSet<String>>,
    /// Hosts on offer, and since when.
    pub(super) offered_ms: BTreeMap<String, Millis>,
    /// Changes of offers that are out, by pool.
    taking: BTreeMap<String, OffersRow>,
    /// Takes that were tried again since the last look.
    retakes: u32,
    /// When hosts were last ordered about by this entry.
    pub(super) sent_ms: BTreeMap<String, Millis>,
    /// What the former holder left is known.
    is_ready: bool,
    /// Hosts that a former holder ordered about last, until when they are left alone.
    quiet: BTreeMap<String, Millis>,
    /// Until when all hosts are left alone: what the former holder ordered can't be read.
    all_quiet_ms: Millis,
}

impl HostController {
    /// The duty as a former holder left it; the same holder need not leave any host alone.
    pub fn new(
        rows: &[StoredRow],
        former: &FormerOrders,
        is_same_holder: bool,
        ctx: &mut Ctx<'_>,
    ) -> Self {
        let mut controller = Self {
            is_ready: true,
            ..Self::default()
        };
        if is_same_holder {
            return controller;
        }
        let over_ms = former.over_ms + ORDERS_APART_MS;
        for row in rows {
            let value = row.value.as_deref().unwrap_or_default();
            match rows::decode::<HostOrdersRow>(value) {
                Ok(row) => controller
                    .quiet
                    .extend(row.hosts.into_iter().map(|host| (host, over_ms))),
                Err(e) => {
                    controller.all_quiet_ms = over_ms;
                    ctx.log(Decision::new(Code::BadRow, Subject::Host, &row.key, e));
                }
            }
        }
        // Of those that it named in a heartbeat, the time of the order is known better.
        let told = former.reported_ms.iter();
        controller
            .quiet
            .extend(told.map(|(host, at_ms)| (host.clone(), at_ms + ORDERS_APART_MS)));
        controller
    }

    /// Hosts that were ordered about of late, by this entry or a former holder, and the latest time of that.
    pub fn ordered_ms(&self, now_ms: Millis) -> BTreeMap<String, Millis> {
        let quiet = self.quiet.iter().filter(|(_, until)| now_ms < **until);
        let former = quiet.map(|(host, until)| (host, until.saturating_sub(ORDERS_APART_MS)));
        let mut all: BTreeMap<String, Millis> =
            former.map(|(host, at_ms)| (host.clone(), at_ms)).collect();
        all.extend(self.sent_ms.iter().map(|(host, at)| (host.clone(), *at)));
        all
    }

    /// Whether what the former holder left is known.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Whether an order to this host is out, or about to be.
    pub fn has_order(&self, host: &str) -> bool {
        self.orders.contains_key(host)
    }

    /// What a host is ordered to do, or about to be.
    pub(super) fn task_of(&self, host: &str) -> Option<&HostTask> {
        self.orders.get(host).map(|order| &order.task)
    }

    /// How many hosts are ordered to do the same, or about to be.
    pub(super) fn count_of(&self, task: &HostTask) -> usize {
        self.orders.values().filter(|o| o.task == *task).count()
    }

    /// Wants an order to a host; it goes out once it is on record, and the host taken from the pool that offers
    /// it.
    pub(super) fn begin(
        &mut self,
        host: &str,
        task: HostTask,
        offered_by: Option<String>,
        ctx: &Ctx<'_>,
    ) {
        let order = HostOrder {
            task,
            offered_by,
            is_recorded: false,
            is_sent: false,
            again_ms: Some(ctx.now.ms),
            since_ms: ctx.now.ms,
        };
        self.orders.insert(host.to_string(), order);
    }

    pub(super) fn is_quiet(&self, host: &str, now_ms: Millis) -> bool {
        now_ms < self.all_quiet_ms || self.quiet.get(host).is_some_and(|until| now_ms < *until)
    }
}

/// The pool whose owner orders hosts: the first parked one, else the first.
pub fn controller_pool(config: &FleetConfig) -> Option<&str> {
    let parked = config.pools.iter().find(|(_, p)| p.is_parked);
    let pool = parked.or_else(|| config.pools.iter().next());
    pool.map(|(name, _)| name.as_str())
}

/// What a look is made with.
pub struct Inputs<'a> {
    /// The configuration.
    pub config: &'a FleetConfig,
    /// What owners said.
    pub needs: &'a [PoolNeed<'a>],
    /// The pool that carries the orders.
    pub pool: &'a str,
    /// The epoch: fence of all orders.
    pub epoch: u64,
}

impl Inputs<'_> {
    /// Whether nobody may need a host where it is: its pool is parked, or it was taken from it.
    fn is_given(&self, host: &str, record: Option<&HostRecord>) -> bool {
        let Some(record) = record else { return false };
        let pool = self.config.pools.get(&record.pool);
        let need = self.needs.iter().find(|need| need.pool == record.pool);
        let taken = need.and_then(|need| need.offers.row.taken.get(host));
        let is_ours = taken.is_some_and(|taken| taken.epoch == self.epoch);
        pool.is_some_and(|p| p.is_parked) || is_ours
    }
}

/// Looks at what hosts are to do.
pub fn reconcile(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    ctx.after(RECONCILE_MS, Timer::Hosts);
    if controller.list.start_read_if_due(ctx.now.ms, LIST_MS) {
        ctx.out.push(Effect::ReadHosts(ctx.pool, with.epoch));
    }
    if !controller.is_ready || !ctx.may_send() || controller.list.asked_ms() == 0 {
        return;
    }
    controller.retakes = 0;
    settle_orders(controller, waves, with, ctx);
    for wave in waves.values().filter(|w| !w.is_done) {
        order_upkeep(controller, wave, with.epoch, ctx);
    }
    send_hosts(controller, waves, with, ctx);
}

/// Looks again at once for hosts to move: those that were to be taken were not, and the offers are known as they
/// are now.
pub fn retake(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    if controller.retakes >= RETAKES_MAX || !controller.is_ready || !ctx.may_send() {
        return;
    }
    controller.retakes += 1;
    send_hosts(controller, waves, with, ctx);
}

fn send_hosts(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    moves::move_hosts(controller, waves, with, ctx);
    take_hosts(controller, with, ctx);
    record_orders(controller, with, ctx);
}

/// Takes the hosts that are about to be moved from those that offer them, and gives back what was taken and is
/// not moved.
fn take_hosts(controller: &mut HostController, with: &Inputs<'_>, ctx: &mut Ctx<'_>) {
    for need in with.needs {
        if controller.taking.contains_key(need.pool) {
            continue;
        }
        drop_withdrawn(controller, need);
        let Some(row) = with_taken(controller, need, with.epoch, ctx.now.ms) else {
            continue;
        };
        let tx = need.offers.write(need.pool, &row);
        controller.taking.insert(need.pool.to_string(), row);
        let pool = need.pool.to_string();
        ctx.out
            .push(Effect::TakeHosts(ctx.pool, with.epoch, pool, tx));
    }
}

/// Drops orders for hosts that are on offer no more.
fn drop_withdrawn(controller: &mut HostController, need: &PoolNeed<'_>) {
    controller.orders.retain(|host, order| {
        let is_theirs = order.offered_by.as_deref() == Some(need.pool);
        !is_theirs || need.gives(host)
    });
}

/// A pool's offers once the hosts that orders wait for are taken and those given back that need no mark; nothing
/// where that changes nothing.
fn with_taken(
    controller: &HostController,
    need: &PoolNeed<'_>,
    epoch: u64,
    now_ms: Millis,
) -> Option<OffersRow> {
    let known = &need.offers.row;
    let waiting = controller.orders.iter();
    let waiting = waiting.filter(|(_, order)| order.offered_by.as_deref() == Some(need.pool));
    let fresh = waiting.filter_map(|(host, _)| {
        let taken = known.taken.get(host);
        let life = taken.map(|taken| &taken.life).or(known.offered.get(host))?;
        let is_ours = taken.is_some_and(|taken| taken.epoch == epoch);
        (!is_ours).then_some((host, life))
    });
    let fresh: Vec<(&String, &String)> = fresh.collect();
    let is_over =
        |host: &str, taken: &Taken| !needs_mark(controller, need.pool, host, taken, epoch, now_ms);
    if fresh.is_empty() && !known.taken.iter().any(|(host, taken)| is_over(host, taken)) {
        return None;
    }
    let mut row = known.clone();
    for (host, life) in fresh {
        row.offered.remove(host);
        let life = life.clone();
        row.taken.insert(host.clone(), Taken { life, epoch });
    }
    row.taken.retain(|host, taken| !is_over(host, taken));
    Some(row)
}

/// Whether something of ours can still move a host that was taken: not once it was moved, and not where it was
/// never ordered.
fn needs_mark(
    controller: &HostController,
    pool: &str,
    host: &str,
    taken: &Taken,
    epoch: u64,
    now_ms: Millis,
) -> bool {
    if controller.has_order(host) || controller.is_quiet(host, now_ms) {
        return true;
    }
    let record = controller.list.get(host);
    let is_there = record.is_some_and(|h| h.pool == pool && h.life == taken.life);
    is_there && taken.epoch == epoch && controller.sent_ms.contains_key(host)
}

/// Settles a change of a pool's offers; gives the row as it is now known, if it was written.
pub fn taken(
    controller: &mut HostController,
    pool: &str,
    outcome: &TxOutcome,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> Option<OffersRow> {
    let row = controller.taking.remove(pool)?;
    if !matches!(outcome, TxOutcome::Committed(_)) {
        tell_not_taken(controller, pool, outcome, ctx);
        // Where it took effect without an answer, the feed tells; the next look goes by the row as it is then.
        controller
            .orders
            .retain(|_, order| order.offered_by.as_deref() != Some(pool));
        return None;
    }
    for (host, order) in &mut controller.orders {
        if order.offered_by.as_deref() == Some(pool) && row.taken.contains_key(host) {
            order.offered_by = None;
        }
    }
    send_ready(controller, epoch, ctx);
    Some(row)
}

fn tell_not_taken(controller: &HostController, pool: &str, outcome: &TxOutcome, ctx: &mut Ctx<'_>) {
    let why = match outcome {
        TxOutcome::Committed(_) => return,
        TxOutcome::Conflict(_) => "the pool's offers changed meanwhile",
        TxOutcome::Refused => "the store refused",
        TxOutcome::Unknown => "no answer; the feed tells whether it took effect",
    };
    let waiting = controller.orders.values();
    let waiting = waiting.filter(|order| order.offered_by.as_deref() == Some(pool));
    let dropped = waiting.count() as u64;
    let decision = Decision::new(Code::OffersNotTaken, Subject::Pool, pool, why);
    ctx.log(decision.with("orders_dropped", dropped));
}

/// Puts on record which hosts are about to be ordered about.
fn record_orders(controller: &mut HostController, with: &Inputs<'_>, ctx: &mut Ctx<'_>) {
    let fresh = controller
        .orders
        .iter()
        .filter(|(_, order)| !order.is_recorded);
    let fresh: BTreeSet<String> = fresh.map(|(host, _)| host.clone()).collect();
    if fresh.is_empty() || controller.recording.is_some() {
        return;
    }
    let now_ms = ctx.now.ms;
    controller
        .sent_ms
        .retain(|_, at| now_ms < *at + ORDERS_APART_MS);
    let mut row = HostOrdersRow::default();
    row.hosts.extend(controller.orders.keys().cloned());
    row.hosts.extend(controller.sent_ms.keys().cloned());
    let tx = RowTx {
        part: with.pool.to_string(),
        guards: vec![epoch_guard(with.epoch)],
        writes: vec![Write {
            table: Table::HostOrders,
            key: HOST_ORDERS_KEY.to_string(),
            value: Some(rows::encode(&row)),
        }],
    };
    controller.recording = Some(fresh);
    ctx.out
        .push(Effect::RecordHostOrders(ctx.pool, with.epoch, tx));
}

/// Takes note of the orders that are on record now.
pub fn recorded(
    controller: &mut HostController,
    outcome: &TxOutcome,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let hosts = controller.recording.take().unwrap_or_default();
    if !matches!(outcome, TxOutcome::Committed(_)) {
        // The next look tries again; with another epoch the pool is lost, as the next renewal tells.
        return;
    }
    for host in hosts {
        if let Some(order) = controller.orders.get_mut(&host) {
            order.is_recorded = true;
        }
    }
    send_ready(controller, epoch, ctx);
}

/// Sends the orders that are on record and whose hosts were taken.
fn send_ready(controller: &mut HostController, epoch: u64, ctx: &mut Ctx<'_>) {
    let mut ready = Vec::new();
    for (host, order) in &mut controller.orders {
        if order.is_sent || !order.is_recorded || order.offered_by.is_some() {
            continue;
        }
        order.is_sent = true;
        order.since_ms = ctx.now.ms;
        order.again_ms = Some(ctx.now.ms + RETRY_SENT_MS);
        ready.push((host.clone(), order.task.clone()));
    }
    for (host, task) in ready {
        send(controller, &host, &task, epoch, ctx);
    }
}

/// Takes in the list of hosts.
pub fn list_read(controller: &mut HostController, list: Vec<HostRecord>) {
    controller.list.replace(list);
}

/// Sends again what got no answer, and drops what is seen to be done.
fn settle_orders(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let now_ms = ctx.now.ms;
    let list_asked_ms = controller.list.asked_ms();
    let list = &controller.list;
    controller.orders.retain(|host, order| {
        let record = list.get(host);
        let is_listed_since = list_asked_ms > order.since_ms;
        match &order.task {
            HostTask::Move(to) => {
                let is_there = record.is_some_and(|h| h.pool == *to && h.state == HostState::Up);
                let is_done = order.again_ms.is_none() && is_listed_since && is_there;
                let is_due = order.again_ms.is_some_and(|at| now_ms >= at);
                let is_refuted = order.is_sent && is_due && !with.is_given(host, record);
                let most_ms = if order.is_sent {
                    MOVE_MAX_MS
                } else {
                    UNSENT_MAX_MS
                };
                !is_done && !is_refuted && now_ms < order.since_ms + most_ms
            }
            HostTask::Upkeep(number) => {
                let wave = waves.get(number);
                wave.is_some_and(|w| w.row.out.get(host).is_some_and(|slot| !slot.is_ordered))
            }
        }
    });
    let again: Vec<(String, HostTask)> = controller
        .orders
        .iter()
        .filter(|(_, order)| order.is_sent && order.again_ms.is_some_and(|at| now_ms >= at))
        .map(|(host, order)| (host.clone(), order.task.clone()))
        .collect();
    for (host, task) in again {
        if let Some(order) = controller.orders.get_mut(&host) {
            order.again_ms = Some(now_ms + RETRY_SENT_MS);
        }
        send(controller, &host, &task, with.epoch, ctx);
    }
    record_accepted(controller, waves, with.epoch, ctx);
}

fn send(
    controller: &mut HostController,
    host: &str,
    task: &HostTask,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    controller.sent_ms.insert(host.to_string(), ctx.now.ms);
    let (code, why) = match task {
        HostTask::Move(to) => (Code::MoveOrdered, format!("to {to}")),
        HostTask::Upkeep(wave) => (Code::UpkeepOrdered, format!("wave {wave}")),
    };
    ctx.log(Decision::new(code, Subject::Host, host, why).with("epoch", epoch));
    let until_ms = ctx.until_ms;
    ctx.out.push(Effect::OrderHost(
        ctx.pool,
        epoch,
        host.to_string(),
        task.clone(),
        until_ms,
    ));
}

fn order_upkeep(controller: &mut HostController, wave: &WaveKnown, epoch: u64, ctx: &mut Ctx<'_>) {
    for (host, slot) in &wave.row.out {
        let is_busy = controller.orders.contains_key(host) || controller.is_quiet(host, ctx.now.ms);
        if slot.is_ordered || is_busy {
            continue;
        }
        let record = controller.list.get(host);
        if record.is_some_and(|h| h.pool == slot.pool) {
            controller.begin(host, HostTask::Upkeep(wave.order.wave), None, ctx);
        } else if record.is_some() {
            // It was moved before its slot was taken: its new pool takes it through.
            let mut row = wave.row.clone();
            row.out.remove(host);
            settle(controller, wave, row, epoch, ctx);
        }
    }
}

/// Puts on record which slots' hosts are out.
fn record_accepted(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    for wave in waves.values() {
        let mut row = wave.row.clone();
        for (host, order) in &controller.orders {
            let is_accepted =
                order.task == HostTask::Upkeep(wave.order.wave) && order.again_ms.is_none();
            if let Some(slot) = row.out.get_mut(host).filter(|_| is_accepted) {
                slot.is_ordered = true;
            }
        }
        if row != wave.row {
            settle(controller, wave, row, epoch, ctx);
        }
    }
}

fn settle(
    controller: &mut HostController,
    wave: &WaveKnown,
    row: WaveRow,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if controller.pending.is_some() {
        return;
    }
    let tx = wave::row_tx(wave, &row);
    controller.pending = Some(WaveChange {
        wave: wave.order.wave,
        row,
        after: wave.revision,
    });
    ctx.out.push(Effect::SettleOrdered(ctx.pool, epoch, tx));
}

/// Takes in what became of a change of a wave's row.
pub fn settled(
    controller: &mut HostController,
    waves: &mut BTreeMap<u64, WaveKnown>,
    outcome: TxOutcome,
    ctx: &mut Ctx<'_>,
) {
    let Some(change) = controller.pending.take() else {
        return;
    };
    let Some(known) = waves.get_mut(&change.wave) else {
        return;
    };
    match outcome {
        TxOutcome::Committed(revision) => known.wrote(change.row, change.after, revision),
        TxOutcome::Conflict(found) => {
            for (_, row) in found {
                wave::observe(known, &row, ctx);
            }
        }
        TxOutcome::Refused | TxOutcome::Unknown => {}
    }
}

/// Settles an order to a host.
pub fn ordered(controller: &mut HostController, host: &str, reply: HostReply, ctx: &mut Ctx<'_>) {
    let Some(order) = controller.orders.get_mut(host) else {
        return;
    };
    let why = format!("{:?}: {reply:?}", order.task);
    ctx.log(Decision::new(Code::HostAnswered, Subject::Host, host, why));
    match reply {
        HostReply::Accepted => {
            order.again_ms = None;
            order.since_ms = ctx.now.ms;
            controller.list.schedule_read(ctx.now.ms + RECONCILE_MS);
        }
        HostReply::Silent | HostReply::TooMany => {
            order.again_ms = Some(ctx.now.ms + RETRY_MS);
        }
        HostReply::Busy | HostReply::Wrong | HostReply::Fenced => {
            let is_move = matches!(order.task, HostTask::Move(_));
            order.again_ms = Some(ctx.now.ms + RETRY_MS);
            if is_move {
                controller.orders.remove(host);
            }
        }
    }
}
