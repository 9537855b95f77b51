//! Sends all orders to hosts from one entry: the owner of one designated pool sends them for the whole fleet.
//!
//! Two entries must not send orders to one host shortly after one another, so no other entry sends any. Owners publish
//! in their heartbeats how many hosts they want, in a row of offers which hosts they can spare, and in a wave's row
//! which host holds a slot. This entry moves hosts and takes them down accordingly.

use std::collections::{BTreeMap, BTreeSet};

use super::listing::HostList;
use super::moves;
use super::offers::{Offers, OffersRow, Taken};
use super::owner_lease::{epoch_guard, FormerHostOrders};
use super::reserve::ORDER_RATE_MS;
use super::rows::{self, HostOrdersRow, WaveRow, HOST_ORDERS_KEY};
use super::state::{Ctx, Effect, Pool, Timer, WaveKnown};
use super::wave;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    FleetConfig, HostListing, HostRecord, HostReply, HostState, Revision, RowTx, StoredRow, Table,
    TxOutcome, Write,
};

/// How often orders to hosts are reconciled.
pub const RECONCILE_MS: Millis = 100;

/// How often the owner of any other pool checks whether its pool has become the one whose owner orders hosts.
pub const IDLE_RECONCILE_MS: Millis = 1_000;

/// How often the list of hosts is read.
const LIST_MS: Millis = 600;

/// Least time between orders of two entries to one host: the platform documents a bound of 3 s, and an order's
/// transit and a late timer come on top.
pub const ORDERS_APART_MS: Millis = 3_300;

/// Most retries, between two passes, of a take that met newer offers. The pool's owner and this entry both make a
/// pass every 0.1 s. When they ran in step, the owner changed its offers just before each take, and 150 hosts
/// stayed on offer for 2.6 s while another pool needed 200.
const RETAKES_MAX: u32 = 3;

/// Pause before an order is sent again that got no answer, exceeded the platform's limit of calls or, for maintenance,
/// was refused.
const RETRY_MS: Millis = 400;

/// Pause before an order whose answer is outstanding is sent again, and before a host whose move was refused is
/// assigned another one.
pub(super) const RETRY_SENT_MS: Millis = 2 * RETRY_MS;

/// How long a pool's need counts after its owner was last heard: a lease and the time that a new owner takes to
/// read the rows.
pub const NEED_KEPT_MS: Millis = 3_000;

/// A move that has not been sent after this time is given up. Before it is sent, it is recorded and its host is taken:
/// each takes one answer of the store, 300 ms on the users' slow days.
const UNSENT_MAX_MS: Millis = 2_000;

/// How long a sent move waits to appear in the list of hosts before it is forgotten. A move takes 2 s.
const MOVE_MAX_MS: Millis = 6_000;

/// What a pool's owner has published about the pool's size.
#[derive(Clone, Copy, Debug)]
pub struct PoolNeed<'a> {
    /// The pool's name.
    pub pool: &'a str,
    /// Hosts that the pool wants.
    pub wanted: u64,
    /// Hosts that the pool's work needs now.
    pub needed: u64,
    /// Racks in which the pool lacks hosts, and how many.
    pub lacking_racks: &'a BTreeMap<String, u64>,
    /// Hosts that the pool offers, and those that were taken from it.
    pub offers: &'a Offers,
    /// When the owner's heartbeat was last seen.
    pub heartbeat_seen_ms: Millis,
}

impl<'a> PoolNeed<'a> {
    /// Returns the need of a pool as this entry knows it.
    pub fn of(pool: &'a Pool) -> Self {
        Self {
            pool: &pool.name,
            wanted: pool.lease.heartbeat.wanted,
            needed: pool.lease.heartbeat.needed,
            lacking_racks: &pool.lease.heartbeat.lacking_racks,
            offers: &pool.offers,
            heartbeat_seen_ms: pool.lease.heartbeat_seen_ms,
        }
    }

    /// Whether this pool offers the host, or the host was taken from this pool.
    pub(super) fn gives_away(&self, host: &str) -> bool {
        let row = &self.offers.row;
        row.offered.contains_key(host) || row.taken.contains_key(host)
    }
}

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostTask {
    /// Move to this pool.
    Move(String),
    /// Go down for its maintenance in this wave.
    Upkeep(u64),
}

/// Tells the orders of one controller apart, so that a late reply counts only for the order that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderNumber(pub u64);

#[derive(Clone, Debug, PartialEq, Eq)]
struct HostOrder {
    number: OrderNumber,
    task: HostTask,
    /// The pool that offers the host; `None` once the host is taken, or if it need not be taken.
    offered_by: Option<String>,
    /// Whether the stored row of orders names the host.
    is_recorded: bool,
    /// Whether the order was sent. Before that, the host is taken and the order recorded.
    is_sent: bool,
    /// When the order is sent again; `None` once it was accepted.
    retry_at_ms: Option<Millis>,
    /// When the order was accepted, else when it was first sent, else when it was created.
    since_ms: Millis,
}

/// A change of a wave's row that is being written.
#[derive(Clone, Debug)]
struct WaveChange {
    wave: u64,
    row: WaveRow,
    /// The revision that the write is conditional on.
    after: Revision,
}

/// State of the entry that orders hosts.
#[derive(Clone, Debug, Default)]
pub struct HostController {
    pub(super) list: HostList,
    orders: BTreeMap<String, HostOrder>,
    /// Number of the last order that was created.
    last_number: OrderNumber,
    pending: Option<WaveChange>,
    /// Hosts whose orders are being recorded.
    recording: Option<BTreeSet<String>>,
    /// Hosts on offer, and since when.
    pub(super) offered_ms: BTreeMap<String, Millis>,
    /// Changes of offers that are being written, by pool.
    taking: BTreeMap<String, OffersRow>,
    /// Retries of takes since the last pass.
    retakes: u32,
    /// When this entry last sent an order to each host.
    pub(super) sent_ms: BTreeMap<String, Millis>,
    /// Whether the orders that the former owner left are known.
    is_ready: bool,
    /// Hosts to which a former owner of this pool may have sent an order recently, and until when they get none.
    quiet_until_ms: BTreeMap<String, Millis>,
    /// Until when no host gets an order, because the former owner's orders can't be read.
    all_quiet_until_ms: Millis,
}

impl HostController {
    /// Creates the controller from what the former owner of this pool recorded and reported about its orders. If this
    /// entry was that owner itself, it may order every host at once.
    pub fn new(
        rows: &[StoredRow],
        former: &FormerHostOrders,
        is_same_owner: bool,
        ctx: &mut Ctx<'_>,
    ) -> Self {
        let mut controller = Self {
            is_ready: true,
            ..Self::default()
        };
        if is_same_owner {
            return controller;
        }
        let quiet_end_ms = former.over_ms + ORDERS_APART_MS;
        for row in rows {
            let value = row.value.as_deref().unwrap_or_default();
            match rows::decode::<HostOrdersRow>(value) {
                Ok(row) => controller
                    .quiet_until_ms
                    .extend(row.hosts.into_iter().map(|host| (host, quiet_end_ms))),
                Err(e) => {
                    controller.all_quiet_until_ms = quiet_end_ms;
                    ctx.log(Decision::new(Code::BadRow, Subject::Host, &row.key, e));
                }
            }
        }
        // For hosts that the former owner named in a heartbeat, the time of the order is known more exactly.
        let reported = former.reported_ms.iter();
        controller
            .quiet_until_ms
            .extend(reported.map(|(host, at_ms)| (host.clone(), at_ms + ORDERS_APART_MS)));
        controller
    }

    /// Returns the hosts that recently got orders from this entry or a former owner, and the latest time of each.
    pub fn ordered_ms(&self, now_ms: Millis) -> BTreeMap<String, Millis> {
        let quiet_until_ms = self
            .quiet_until_ms
            .iter()
            .filter(|(_, until)| now_ms < **until);
        let former =
            quiet_until_ms.map(|(host, until)| (host, until.saturating_sub(ORDERS_APART_MS)));
        let mut all: BTreeMap<String, Millis> =
            former.map(|(host, at_ms)| (host.clone(), at_ms)).collect();
        all.extend(self.sent_ms.iter().map(|(host, at)| (host.clone(), *at)));
        all
    }

    /// Whether the orders that the former owner left are known.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Whether an order to this host is pending or about to be sent.
    pub fn has_order(&self, host: &str) -> bool {
        self.orders.contains_key(host)
    }

    /// Returns what a host is, or is about to be, ordered to do.
    pub(super) fn task_of(&self, host: &str) -> Option<&HostTask> {
        self.orders.get(host).map(|order| &order.task)
    }

    /// Returns how many hosts are, or are about to be, ordered to do `task`.
    pub(super) fn count_orders(&self, task: &HostTask) -> usize {
        self.orders.values().filter(|o| o.task == *task).count()
    }

    /// Returns how many orders count against the platform's limit: those sent recently and those not sent yet.
    pub(super) fn count_recent_orders(&self, now_ms: Millis) -> usize {
        let sent = self.sent_ms.values();
        let sent = sent.filter(|at| now_ms < **at + ORDER_RATE_MS);
        let unsent = self.orders.values().filter(|order| !order.is_sent);
        sent.count() + unsent.count()
    }

    /// Creates an order to a host. It is sent once it is recorded and the host is taken from the pool that offers
    /// it.
    pub(super) fn create_order(
        &mut self,
        host: &str,
        task: HostTask,
        offered_by: Option<String>,
        ctx: &Ctx<'_>,
    ) {
        self.last_number.0 += 1;
        let order = HostOrder {
            number: self.last_number,
            task,
            offered_by,
            is_recorded: false,
            is_sent: false,
            retry_at_ms: Some(ctx.now.ms),
            since_ms: ctx.now.ms,
        };
        self.orders.insert(host.to_string(), order);
    }

    /// Whether a host must not be ordered yet, because a former owner of this pool may have ordered it recently.
    pub(super) fn must_wait(&self, host: &str, now_ms: Millis) -> bool {
        now_ms < self.all_quiet_until_ms
            || self
                .quiet_until_ms
                .get(host)
                .is_some_and(|until| now_ms < *until)
    }
}

/// Returns the pool whose owner orders hosts: the first parked one, else the first.
pub fn controller_pool(config: &FleetConfig) -> Option<&str> {
    let parked = config.pools.iter().find(|(_, p)| p.is_parked);
    let pool = parked.or_else(|| config.pools.iter().next());
    pool.map(|(name, _)| name.as_str())
}

/// Inputs of one pass over the hosts.
pub struct Inputs<'a> {
    /// The configuration.
    pub config: &'a FleetConfig,
    /// The needs that the pools' owners published.
    pub needs: &'a [PoolNeed<'a>],
    /// Data halls that the operator evacuates. Their hosts stay where they are and serve no pool.
    pub evacuated_halls: &'a BTreeSet<String>,
    /// The pool whose owner orders hosts.
    pub pool: &'a str,
    /// The owner's epoch, which fences all orders.
    pub epoch: u64,
}

impl Inputs<'_> {
    /// Whether a host may leave its pool: the pool is parked, or this owner took the host from it.
    fn may_leave_pool(&self, host: &str, record: Option<&HostRecord>) -> bool {
        let Some(record) = record else { return false };
        let pool = self.config.pools.get(&record.pool);
        let need = self.needs.iter().find(|need| need.pool == record.pool);
        let taken = need.and_then(|need| need.offers.row.taken.get(host));
        let is_ours = taken.is_some_and(|taken| taken.epoch == self.epoch);
        pool.is_some_and(|p| p.is_parked) || is_ours
    }
}

/// Reconciles the orders with the list of hosts, the waves and the pools' needs, and sets the timer for the next
/// pass.
pub fn reconcile(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    ctx.set_timer(RECONCILE_MS, Timer::Hosts);
    if controller.list.start_read_if_due(ctx.now.ms, LIST_MS) {
        ctx.out.push(Effect::ReadHosts(ctx.pool, inputs.epoch));
    }
    if !controller.is_ready || !ctx.may_send() || controller.list.asked_ms() == 0 {
        return;
    }
    controller.retakes = 0;
    settle_orders(controller, waves, inputs, ctx);
    for wave in waves.values().filter(|w| !w.is_done) {
        order_upkeep(controller, wave, inputs.epoch, ctx);
    }
    order_moves(controller, waves, inputs, ctx);
}

/// Assigns moves again right after a take met changed offers: the pool's newest offers are known now.
pub fn retry_take(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    if controller.retakes >= RETAKES_MAX || !controller.is_ready || !ctx.may_send() {
        return;
    }
    controller.retakes += 1;
    order_moves(controller, waves, inputs, ctx);
}

fn order_moves(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    moves::move_hosts(controller, waves, inputs, ctx);
    take_hosts(controller, inputs, ctx);
    record_orders(controller, inputs, ctx);
}

/// Marks the hosts that moves wait for as taken in the rows of the pools that offer them, and gives back taken hosts
/// that are not moved.
fn take_hosts(controller: &mut HostController, inputs: &Inputs<'_>, ctx: &mut Ctx<'_>) {
    for need in inputs.needs {
        if controller.taking.contains_key(need.pool) {
            continue;
        }
        drop_withdrawn_orders(controller, need);
        let Some(row) = prepare_take(controller, need, inputs.epoch, ctx.now.ms) else {
            continue;
        };
        let tx = need.offers.row_tx(need.pool, &row);
        controller.taking.insert(need.pool.to_string(), row);
        let pool = need.pool.to_string();
        ctx.out
            .push(Effect::TakeHosts(ctx.pool, inputs.epoch, pool, tx));
    }
}

/// Drops orders for hosts that are no longer on offer.
fn drop_withdrawn_orders(controller: &mut HostController, need: &PoolNeed<'_>) {
    controller.orders.retain(|host, order| {
        let is_theirs = order.offered_by.as_deref() == Some(need.pool);
        !is_theirs || need.gives_away(host)
    });
}

/// Returns a pool's row of offers in which the hosts that orders wait for are marked as taken, and taken hosts that
/// need no mark any more are left out. Returns `None` if the row would not change.
fn prepare_take(
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
        let worker_id = taken
            .map(|taken| &taken.worker_id)
            .or(known.offered.get(host))?;
        let is_ours = taken.is_some_and(|taken| taken.epoch == epoch);
        (!is_ours).then_some((host, worker_id))
    });
    let fresh: Vec<(&String, &String)> = fresh.collect();
    let is_over =
        |host: &str, taken: &Taken| !needs_mark(controller, need.pool, host, taken, epoch, now_ms);
    if fresh.is_empty() && !known.taken.iter().any(|(host, taken)| is_over(host, taken)) {
        return None;
    }
    let mut row = known.clone();
    for (host, worker_id) in fresh {
        row.offered.remove(host);
        let worker_id = worker_id.clone();
        row.taken.insert(host.clone(), Taken { worker_id, epoch });
    }
    row.taken.retain(|host, taken| !is_over(host, taken));
    Some(row)
}

/// Whether a taken host must stay marked because an order may still move it. A host that has already moved, or that was
/// never ordered, needs no mark.
fn needs_mark(
    controller: &HostController,
    pool: &str,
    host: &str,
    taken: &Taken,
    epoch: u64,
    now_ms: Millis,
) -> bool {
    if controller.has_order(host) || controller.must_wait(host, now_ms) {
        return true;
    }
    let record = controller.list.get(host);
    let is_there = record.is_some_and(|h| h.pool == pool && h.worker == taken.worker_id);
    is_there && taken.epoch == epoch && controller.sent_ms.contains_key(host)
}

/// Applies the outcome of a change of a pool's offers. Returns the row as it is now known if it was written.
pub fn apply_taken(
    controller: &mut HostController,
    pool: &str,
    outcome: &TxOutcome,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> Option<OffersRow> {
    let row = controller.taking.remove(pool)?;
    if !matches!(outcome, TxOutcome::Committed(_)) {
        log_not_taken(controller, pool, outcome, ctx);
        // If the write took effect without an answer, the change feed shows it, and the next pass goes by the row
        // as it is then.
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
    send_ready_orders(controller, epoch, ctx);
    Some(row)
}

fn log_not_taken(controller: &HostController, pool: &str, outcome: &TxOutcome, ctx: &mut Ctx<'_>) {
    let why = match outcome {
        TxOutcome::Committed(_) => return,
        TxOutcome::Conflict(_) => "the pool's offers changed before the write",
        TxOutcome::Refused => "the store refused the write",
        TxOutcome::Unknown => {
            "the store did not answer; the change feed will show whether the write took effect"
        }
    };
    let waiting = controller.orders.values();
    let waiting = waiting.filter(|order| order.offered_by.as_deref() == Some(pool));
    let dropped = waiting.count() as u64;
    let decision = Decision::new(Code::OffersNotTaken, Subject::Pool, pool, why);
    ctx.log(decision.with("orders_dropped", dropped));
}

/// Records which hosts are about to get orders.
fn record_orders(controller: &mut HostController, inputs: &Inputs<'_>, ctx: &mut Ctx<'_>) {
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
        part: inputs.pool.to_string(),
        guards: vec![epoch_guard(inputs.epoch)],
        writes: vec![Write {
            table: Table::HostOrders,
            key: HOST_ORDERS_KEY.to_string(),
            value: Some(rows::encode(&row)),
        }],
    };
    controller.recording = Some(fresh);
    ctx.out
        .push(Effect::RecordHostOrders(ctx.pool, inputs.epoch, tx));
}

/// Applies the outcome of recording orders, and sends those that are ready.
pub fn apply_recorded(
    controller: &mut HostController,
    outcome: &TxOutcome,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let hosts = controller.recording.take().unwrap_or_default();
    if !matches!(outcome, TxOutcome::Committed(_)) {
        // The next pass tries again. If the epoch has changed, the next renewal shows that the pool is lost.
        return;
    }
    for host in hosts {
        if let Some(order) = controller.orders.get_mut(&host) {
            order.is_recorded = true;
        }
    }
    send_ready_orders(controller, epoch, ctx);
}

/// Sends the orders that are recorded and whose hosts were taken.
fn send_ready_orders(controller: &mut HostController, epoch: u64, ctx: &mut Ctx<'_>) {
    let mut ready = Vec::new();
    for (host, order) in &mut controller.orders {
        if order.is_sent || !order.is_recorded || order.offered_by.is_some() {
            continue;
        }
        order.is_sent = true;
        order.since_ms = ctx.now.ms;
        order.retry_at_ms = Some(ctx.now.ms + RETRY_SENT_MS);
        ready.push((host.clone(), order.number, order.task.clone()));
    }
    for (host, number, task) in ready {
        send_order(controller, &host, number, &task, epoch, ctx);
    }
}

/// Applies the list of hosts as it was read.
pub fn apply_list(controller: &mut HostController, list: impl Into<HostListing>) {
    controller.list.replace(list.into());
}

/// Sends orders without an answer again, and drops those that are done or can't be carried out any more.
fn settle_orders(
    controller: &mut HostController,
    waves: &BTreeMap<u64, WaveKnown>,
    inputs: &Inputs<'_>,
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
                let is_done = order.retry_at_ms.is_none() && is_listed_since && is_there;
                let is_due = order.retry_at_ms.is_some_and(|at| now_ms >= at);
                let is_refuted = order.is_sent && is_due && !inputs.may_leave_pool(host, record);
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
    let again: Vec<(String, OrderNumber, HostTask)> = controller
        .orders
        .iter()
        .filter(|(_, order)| order.is_sent && order.retry_at_ms.is_some_and(|at| now_ms >= at))
        .map(|(host, order)| (host.clone(), order.number, order.task.clone()))
        .collect();
    for (host, number, task) in again {
        if let Some(order) = controller.orders.get_mut(&host) {
            order.retry_at_ms = Some(now_ms + RETRY_SENT_MS);
        }
        send_order(controller, &host, number, &task, inputs.epoch, ctx);
    }
    record_accepted(controller, waves, inputs.epoch, ctx);
}

fn send_order(
    controller: &mut HostController,
    host: &str,
    number: OrderNumber,
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
        number,
        task.clone(),
        until_ms,
    ));
}

fn order_upkeep(controller: &mut HostController, wave: &WaveKnown, epoch: u64, ctx: &mut Ctx<'_>) {
    for (host, slot) in &wave.row.out {
        let is_busy =
            controller.orders.contains_key(host) || controller.must_wait(host, ctx.now.ms);
        if slot.is_ordered || is_busy {
            continue;
        }
        let record = controller.list.get(host);
        if record.is_some_and(|h| h.pool == slot.pool) {
            controller.create_order(host, HostTask::Upkeep(wave.order.wave), None, ctx);
        } else if record.is_some() {
            // The host was moved before its slot was taken; its new pool takes it through the wave.
            let mut row = wave.row.clone();
            row.out.remove(host);
            write_wave_row(controller, wave, row, epoch, ctx);
        }
    }
}

/// Records in the waves' rows which slots' hosts have accepted their orders.
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
                order.task == HostTask::Upkeep(wave.order.wave) && order.retry_at_ms.is_none();
            if let Some(slot) = row.out.get_mut(host).filter(|_| is_accepted) {
                slot.is_ordered = true;
            }
        }
        if row != wave.row {
            write_wave_row(controller, wave, row, epoch, ctx);
        }
    }
}

fn write_wave_row(
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
    ctx.out.push(Effect::RecordHostsOut(ctx.pool, epoch, tx));
}

/// Applies the outcome of a change of a wave's row.
pub fn apply_settled(
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
        TxOutcome::Committed(revision) => known.apply_write(change.row, change.after, revision),
        TxOutcome::Conflict(found) => {
            for (_, row) in found {
                wave::apply_row(known, &row, ctx);
            }
        }
        TxOutcome::Refused | TxOutcome::Unknown => {}
    }
}

/// Applies a host's reply to the order with this number.
pub fn apply_reply(
    controller: &mut HostController,
    host: &str,
    number: OrderNumber,
    reply: HostReply,
    ctx: &mut Ctx<'_>,
) {
    let Some(order) = controller.orders.get_mut(host) else {
        return;
    };
    if order.number != number {
        let why = format!("{reply:?} to an earlier order");
        ctx.log(Decision::new(Code::HostAnswered, Subject::Host, host, why));
        return;
    }
    let why = format!("{:?}: {reply:?}", order.task);
    ctx.log(Decision::new(Code::HostAnswered, Subject::Host, host, why));
    match reply {
        HostReply::Accepted => {
            order.retry_at_ms = None;
            order.since_ms = ctx.now.ms;
            controller.list.schedule_read(ctx.now.ms + RECONCILE_MS);
        }
        HostReply::Silent | HostReply::TooMany => {
            order.retry_at_ms = Some(ctx.now.ms + RETRY_MS);
        }
        HostReply::Busy | HostReply::Wrong | HostReply::Fenced => {
            let is_move = matches!(order.task, HostTask::Move(_));
            order.retry_at_ms = Some(ctx.now.ms + RETRY_MS);
            if is_move {
                controller.orders.remove(host);
            }
        }
    }
}
