//! Waves of upkeep: every host of a list goes out once, with at most so many out at a time.
//!
//! The owner of a host's pool takes it through: no new work goes there, short tasks end, lasting tasks
//! move as far as their steps allow, then a slot of the wave is taken by a conditional row. Whoever orders
//! hosts ([`super::hosts`]) sees the slot and sends the order. A wave spans pools; its row counts the
//! slots for all of them.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::keys::{TaskKey, WorkerKey};
use super::listing::HostList;
use super::place;
use super::pool_state::PoolState;
use super::rows::{self, SlotRow, WaveRow};
use super::runs;
use super::state::{Ctx, Effect, Timer, WaveKnown};
use super::tasks::Phase;
use super::wave_waits::{self, Waits};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    Guard, HostRecord, HostState, Revision, RowTx, StoredRow, Table, TxOutcome, WaveState, Write,
};

/// How often a wave is looked at.
pub const RECONCILE_MS: Millis = 150;

/// How often the list of hosts is read while a wave runs.
const HOSTS_MS: Millis = 700;

/// The same while a host is out: only the list tells that it is back.
const HOSTS_AWAY_MS: Millis = 300;

/// What a host's turn takes: closing, upkeep, the list's lag. From runs on the users' sites.
pub(super) const TURN_MS: Millis = 6_500;

/// Share of a wave's time that is planned with, so that a late host is still in time.
const TIME_PERCENT: u64 = 75;

/// At most one in so many of a pool's hosts is closing or out at a time: the others carry its work.
const POOL_PART: usize = 3;

/// How long short tasks may keep a host that is to go.
const CLOSE_MS: Millis = 3_000;

/// A host that could not be cleared by then serves its pool again.
const CLOSE_MAX_MS: Millis = 6_000;

/// For so long at least.
const REOPENED_MS: Millis = 3_000;

/// An account older than that tells nothing of what is at work; holds come back every second.
const HEARD_MS: Millis = 1_500;

/// Where a host's turn stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It gets nothing new; since then.
    Closing(Millis),
    /// It holds a slot, and waits for the order.
    Holding,
    /// It was ordered out, as is known since then.
    Away(Millis),
}

/// A change of a wave's row that is out.
#[derive(Clone, Debug)]
pub struct Pending {
    wave: u64,
    /// The revision that it asks for.
    after: Revision,
    row: WaveRow,
    host: String,
    is_take: bool,
}

/// What an owner does for waves.
#[derive(Clone, Debug, Default)]
pub struct WaveController {
    pub(super) turns: BTreeMap<String, (u64, Turn)>,
    pending: Option<Pending>,
    /// Hosts whose turn was broken off, and when it may begin again.
    reopened: BTreeMap<String, Millis>,
    pub(super) hosts: HostList,
    /// Since when nothing changed in waves.
    pub(super) waits: Waits,
}

impl WaveController {
    /// Whether a change of a wave's row is out.
    pub(super) fn is_settling(&self) -> bool {
        self.pending.is_some()
    }
}

/// Looks at all waves that are not done.
pub fn reconcile(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    known: &mut BTreeMap<u64, WaveKnown>,
    pool: &str,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let mut is_any = false;
    for wave in known.values_mut().filter(|w| !w.is_done) {
        is_any = true;
        if is_complete(wave, &due_hosts(wave), controller) {
            wave.is_done = true;
            let number = wave.order.wave;
            end_turns(pool_state, controller, number);
            ctx.out.push(Effect::TellWave(number, WaveState::Completed));
            let id = number.to_string();
            ctx.log(Decision::new(
                Code::WaveDone,
                Subject::Wave,
                &id,
                "every host is back",
            ));
            continue;
        }
        let due = due_hosts(wave);
        recover(pool_state, controller, wave, pool);
        mark_due(pool_state, &due);
        advance(pool_state, controller, wave, pool, epoch, ctx);
        begin_turns(pool_state, controller, wave, &due, pool, ctx);
        wave_waits::log(pool_state, controller, wave, &due, pool, ctx);
    }
    if !is_any {
        return;
    }
    let is_away = |(_, turn): &(u64, Turn)| matches!(turn, Turn::Away(_));
    let pause_ms = match controller.turns.values().any(is_away) {
        true => HOSTS_AWAY_MS,
        false => HOSTS_MS,
    };
    if controller.hosts.start_read_if_due(ctx.now.ms, pause_ms) {
        ctx.out.push(Effect::ReadHosts(ctx.pool, epoch));
    }
    ctx.after(RECONCILE_MS, Timer::Wave);
}

/// Opens hosts whose turn in a wave is left when that is done: they left the fleet meanwhile, and may come back.
fn end_turns(pool_state: &mut PoolState, controller: &mut WaveController, wave: u64) {
    let left = controller
        .turns
        .iter()
        .filter(|(_, (number, _))| *number == wave);
    let left: Vec<String> = left.map(|(host, _)| host.clone()).collect();
    for host in left {
        controller.turns.remove(&host);
        pool_state.set_closing(&host, false);
    }
}

/// Hosts of a wave that are not back yet.
fn due_hosts(wave: &WaveKnown) -> BTreeSet<&str> {
    let back: HashSet<&str> = wave.row.back.iter().map(String::as_str).collect();
    let hosts = wave.order.hosts.iter().map(String::as_str);
    hosts.filter(|host| !back.contains(host)).collect()
}

/// Whether every host that still exists is back.
fn is_complete(wave: &WaveKnown, due: &BTreeSet<&str>, controller: &WaveController) -> bool {
    // A list that is older than the wave lacks hosts that came since.
    let is_newer = controller.hosts.asked_ms() > wave.seen_ms;
    let is_gone = |host: &&str| {
        let is_listed =
            !is_newer || controller.hosts.is_empty() || controller.hosts.get(host).is_some();
        !is_listed && !wave.row.out.contains_key(*host)
    };
    due.iter().all(is_gone)
}

/// Slots that this pool's former owner took, or this one without an answer. Their hosts are about to be ordered out and get
/// nothing new: what lasts would be ended there beside what this owner moves elsewhere.
fn recover(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    pool: &str,
) {
    for (host, slot) in wave.row.out.iter().filter(|(_, slot)| slot.pool == pool) {
        let turn = controller.turns.get(host).map(|(_, turn)| turn);
        if matches!(turn, None | Some(Turn::Closing(_))) {
            let turn = (wave.order.wave, Turn::Holding);
            controller.turns.insert(host.clone(), turn);
        }
        if slot.is_ordered {
            continue;
        }
        pool_state.set_closing(host, true);
        pool_state.set_going(host);
    }
}

/// Closes the hosts that are on their way out in books that were just read.
pub(super) fn close_leaving(pool_state: &mut PoolState, controller: &WaveController) {
    let asked = controller
        .pending
        .as_ref()
        .filter(|pending| pending.is_take);
    for (host, (_, turn)) in &controller.turns {
        if matches!(turn, Turn::Away(_)) {
            continue;
        }
        pool_state.set_closing(host, true);
        if *turn == Turn::Holding || asked.is_some_and(|pending| pending.host == *host) {
            pool_state.set_going(host);
        }
    }
}

fn mark_due(pool_state: &mut PoolState, due: &BTreeSet<&str>) {
    for (_, worker) in &mut pool_state.workers {
        worker.is_due = due.contains(worker.fact.host.as_str());
    }
}

fn advance(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    pool: &str,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let turns: Vec<(String, Turn)> = controller
        .turns
        .iter()
        .filter(|(_, (number, _))| *number == wave.order.wave)
        .map(|(host, (_, turn))| (host.clone(), turn.clone()))
        .collect();
    for (host, turn) in turns {
        match turn {
            Turn::Closing(_) if !has_host(pool_state, controller, &host, pool) => {
                controller.turns.remove(&host);
                pool_state.set_closing(&host, false);
            }
            // A former owner, or the next one, took it through.
            Turn::Closing(_) if wave.row.back.contains(&host) => {
                reopen(pool_state, controller, &host, "it has been through", ctx);
            }
            Turn::Closing(since_ms) => {
                if clear(pool_state, &host, since_ms, epoch, ctx) {
                    if take_slot(controller, wave, &host, (pool, epoch), ctx) {
                        pool_state.set_going(&host);
                    }
                } else if ctx.now.ms >= since_ms + CLOSE_MAX_MS {
                    reopen(
                        pool_state,
                        controller,
                        &host,
                        "what lasts there could not move, or its ends are not on record",
                        ctx,
                    );
                }
            }
            Turn::Holding => go_out(pool_state, controller, wave, &host, ctx),
            Turn::Away(since_ms) => give_back(controller, wave, &host, since_ms, epoch, ctx),
        }
    }
}

/// Moves what lasts and waits for the rest; says whether the host may go.
fn clear(
    pool_state: &mut PoolState,
    host: &str,
    since_ms: Millis,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(worker) = pool_state.worker_on(host) else {
        // A life that left the list may serve on for seconds, and what it carries would end with it.
        return pool_state
            .instances_on(host)
            .all(|(life, _)| pool_state.is_clear(life));
    };
    let tasks: Vec<TaskKey> = pool_state.workers[worker].tasks.iter().copied().collect();
    let is_patient = ctx.now.ms < since_ms + CLOSE_MS;
    let mut lasting_left = 0;
    for key in &tasks {
        if !pool_state.step_spec(*key).is_some_and(|s| s.lasting) {
            if !is_patient {
                stop_short(pool_state, *key, epoch, ctx);
            }
            continue;
        }
        lasting_left += 1;
        let is_running = pool_state
            .task(*key)
            .is_some_and(|t| matches!(t.phase, Phase::Running(_)));
        if is_running && may_miss(pool_state, *key, ctx.now.ms) {
            runs::stop(pool_state, *key, epoch, ctx);
        }
    }
    lasting_left == 0 && pool_state.is_clear(worker)
}

/// Stops a task that ends by itself, but not in time. Left at work as its host went, it could be done behind its owner's back:
/// 32 of 40 such tasks were started again by the next one.
fn stop_short(pool_state: &mut PoolState, key: TaskKey, epoch: u64, ctx: &mut Ctx<'_>) {
    let phase = pool_state.task(key).map(|task| task.phase);
    if matches!(phase, Some(Phase::Starting(_) | Phase::Running(_))) {
        runs::stop(pool_state, key, epoch, ctx);
    }
}

/// Whether everything that lasts on a worker could go elsewhere now.
pub(super) fn can_clear(pool_state: &PoolState, worker: WorkerKey, now_ms: Millis) -> bool {
    let tasks = pool_state.workers[worker].tasks.iter();
    let mut lasting = tasks.filter(|key| pool_state.step_spec(**key).is_some_and(|s| s.lasting));
    lasting.all(|key| {
        may_miss(pool_state, *key, now_ms) && place::has_other(pool_state, *key, worker, now_ms)
    })
}

/// Gives a host back to its pool for a while.
fn reopen(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    host: &str,
    why: &str,
    ctx: &mut Ctx<'_>,
) {
    controller.turns.remove(host);
    let again_ms = ctx.now.ms + REOPENED_MS;
    controller.reopened.insert(host.to_string(), again_ms);
    pool_state.set_closing(host, false);
    ctx.log(Decision::new(Code::HostReopened, Subject::Host, host, why));
}

/// Whether the system may take a lasting task away now: few enough of its step are away already.
pub fn may_miss(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> bool {
    let Some(spec) = pool_state.step_spec(key) else {
        return false;
    };
    let most = spec.away_max.map_or(1, usize::from);
    let others = (0..spec.count).filter(|index| *index != key.index);
    let away = others.filter(|index| {
        let other = TaskKey {
            index: *index,
            ..key
        };
        !is_at_work(pool_state, other, now_ms)
    });
    away.count() < most
}

/// Whether a task is at work, by an account that is not old.
fn is_at_work(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> bool {
    let Some(task) = pool_state.task(key).filter(|t| t.is_at_work) else {
        return false;
    };
    let worker = task.phase.worker().and_then(|w| pool_state.workers.get(w));
    worker.is_some_and(|w| w.answers && now_ms < w.heard_ms + HEARD_MS)
}

/// The transaction that changes a wave's row, if nobody else changed it.
pub(super) fn row_tx(wave: &WaveKnown, row: &WaveRow) -> RowTx {
    let key = wave.order.wave.to_string();
    RowTx {
        part: String::new(),
        guards: vec![Guard {
            table: Table::Waves,
            key: key.clone(),
            revision: wave.revision,
        }],
        writes: vec![Write {
            table: Table::Waves,
            key,
            value: Some(rows::encode(row)),
        }],
    }
}

fn settle(
    controller: &mut WaveController,
    wave: &WaveKnown,
    row: WaveRow,
    host: &str,
    is_take: bool,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let tx = row_tx(wave, &row);
    controller.pending = Some(Pending {
        wave: wave.order.wave,
        after: wave.revision,
        row,
        host: host.to_string(),
        is_take,
    });
    ctx.out.push(Effect::SettleWave(ctx.pool, epoch, tx));
}

/// Asks for a slot of a wave; says whether that went out.
fn take_slot(
    controller: &mut WaveController,
    wave: &WaveKnown,
    host: &str,
    (pool, epoch): (&str, u64),
    ctx: &mut Ctx<'_>,
) -> bool {
    let is_full = wave.row.out.len() >= wave.order.out_max;
    if controller.pending.is_some() || is_full || !ctx.may_send() {
        return false;
    }
    let mut row = wave.row.clone();
    if row.began_wall_ms == 0 {
        row.began_wall_ms = ctx.now.wall_ms;
        ctx.out
            .push(Effect::TellWave(wave.order.wave, WaveState::Running));
    }
    let slot = SlotRow {
        pool: pool.to_string(),
        taken_wall_ms: ctx.now.wall_ms,
        is_ordered: false,
    };
    row.out.insert(host.to_string(), slot);
    settle(controller, wave, row, host, true, epoch, ctx);
    true
}

/// Gives the slot of a host back that is up again by a list that was asked for after its order was accepted. A
/// new life alone proves nothing: it may have come of a crash, with the upkeep still to follow.
fn give_back(
    controller: &mut WaveController,
    wave: &WaveKnown,
    host: &str,
    since_ms: Millis,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if controller.pending.is_some() || controller.hosts.asked_ms() <= since_ms {
        return;
    }
    let record = controller.hosts.get(host);
    if record.is_none_or(|h| h.state != HostState::Up) {
        return;
    }
    let mut row = wave.row.clone();
    row.out.remove(host);
    row.back.push(host.to_string());
    settle(controller, wave, row, host, false, epoch, ctx);
}

/// Whether a host is still this pool's.
fn has_host(pool_state: &PoolState, controller: &WaveController, host: &str, pool: &str) -> bool {
    let record = controller.hosts.get(host);
    pool_state.worker_on(host).is_some() || record.is_none_or(|h| h.pool == pool)
}

/// Takes note that the host of a slot was ordered out, or that its slot was given up for it.
fn go_out(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    host: &str,
    ctx: &mut Ctx<'_>,
) {
    let Some(slot) = wave.row.out.get(host) else {
        let why = "its slot was given up";
        reopen(pool_state, controller, host, why, ctx);
        return;
    };
    if !slot.is_ordered {
        return;
    }
    // The life that was there is over; the next one is open once its slot was given back, or at once.
    pool_state.closing.remove(host);
    pool_state.going.remove(host);
    let turn = Turn::Away(ctx.now.ms);
    controller
        .turns
        .insert(host.to_string(), (wave.order.wave, turn));
}

/// Takes in what became of a change of a wave's row; books that are being read close and open hosts by its row later.
pub fn settled(
    pool_state: Option<&mut PoolState>,
    controller: &mut WaveController,
    known: &mut BTreeMap<u64, WaveKnown>,
    outcome: TxOutcome,
    ctx: &mut Ctx<'_>,
) {
    let Some(pending) = controller.pending.take() else {
        return;
    };
    let Some(wave) = known.get_mut(&pending.wave) else {
        return;
    };
    let is_done = match outcome {
        TxOutcome::Committed(revision) => {
            wave.wrote(pending.row.clone(), pending.after, revision);
            true
        }
        TxOutcome::Conflict(found) => {
            for (_, row) in found {
                observe(wave, &row, ctx);
            }
            // An earlier sending of ours may have taken effect.
            wave.row == pending.row
        }
        TxOutcome::Refused | TxOutcome::Unknown => false,
    };
    if !is_done {
        return;
    }
    if pending.is_take {
        controller
            .turns
            .insert(pending.host, (pending.wave, Turn::Holding));
        ctx.after(0, Timer::Wave);
    } else {
        let id = pending.wave.to_string();
        let left = wave.order.hosts.len().saturating_sub(wave.row.back.len());
        ctx.log(
            Decision::new(
                Code::HostBack,
                Subject::Host,
                &pending.host,
                format!("wave {id}"),
            )
            .with("left", left as u64),
        );
        controller.turns.remove(&pending.host);
        if let Some(pool_state) = pool_state {
            pool_state.set_closing(&pending.host, false);
        }
    }
}

/// Takes in a wave's row as read, or as a conflict found it.
pub fn observe(wave: &mut WaveKnown, row: &StoredRow, ctx: &mut Ctx<'_>) {
    let Some(value) = &row.value else { return };
    match rows::decode(value) {
        Ok(decoded) => wave.read(decoded, row.revision),
        Err(e) => ctx.log(Decision::new(Code::BadRow, Subject::Wave, &row.key, e)),
    }
}

/// Takes in the list of hosts.
pub fn hosts_read(controller: &mut WaveController, hosts: Vec<HostRecord>) {
    controller.hosts.replace(hosts);
}

/// Closes as many hosts as the wave's time asks for.
fn begin_turns(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    due: &BTreeSet<&str>,
    pool: &str,
    ctx: &mut Ctx<'_>,
) {
    let candidates = candidates(pool_state, controller, wave, due, pool, ctx.now.ms);
    let in_turn = controller
        .turns
        .values()
        .filter(|(n, _)| *n == wave.order.wave)
        .count();
    let left = candidates.len() + in_turn;
    let listed = pool_state.workers.values().filter(|w| w.is_listed).count();
    let most = (listed / POOL_PART).max(1);
    let allowed = side_by_side(wave, left, ctx.now.ms).min(most);
    for (host, _) in candidates.into_iter().take(allowed.saturating_sub(in_turn)) {
        pool_state.set_closing(&host, true);
        let turn = Turn::Closing(ctx.now.ms);
        ctx.log(
            Decision::new(Code::HostClosing, Subject::Host, &host, "its wave is due")
                .with("wave", wave.order.wave)
                .with("left", left as u64),
        );
        controller.turns.insert(host, (wave.order.wave, turn));
    }
}

/// How many hosts of a pool take their turns at a time, so that all are through in time.
fn side_by_side(wave: &WaveKnown, left: usize, now_ms: Millis) -> usize {
    let planned_ms = wave.order.duration_ms * TIME_PERCENT / 100;
    let left_ms = (wave.seen_ms + planned_ms)
        .saturating_sub(now_ms)
        .max(TURN_MS);
    let at_a_time = (left as u64 * TURN_MS).div_ceil(left_ms) as usize;
    at_a_time.clamp(1, wave.order.out_max)
}

/// Hosts of the pool whose turn may begin, those with the least work first.
fn candidates(
    pool_state: &PoolState,
    controller: &WaveController,
    wave: &WaveKnown,
    due: &BTreeSet<&str>,
    pool: &str,
    now_ms: Millis,
) -> Vec<(String, u64)> {
    let may_begin = |host: &str| {
        !wave.row.out.contains_key(host)
            && !controller.turns.contains_key(host)
            && controller
                .reopened
                .get(host)
                .is_none_or(|again| now_ms >= *again)
    };
    let mut found: Vec<(String, u64)> = Vec::new();
    for host in due.iter().copied().filter(|h| may_begin(h)) {
        if let Some(key) = pool_state.worker_on(host) {
            let w = &pool_state.workers[key];
            if w.answers && !w.fact.draining && !w.is_offered && can_clear(pool_state, key, now_ms)
            {
                found.push((host.to_string(), w.used.cpu_milli + w.tasks.len() as u64));
            }
            continue;
        }
        let record = controller.hosts.get(host);
        let is_off =
            |h: &HostRecord| h.pool == pool && h.state == HostState::Up && h.life.is_empty();
        if record.is_some_and(is_off) {
            found.push((host.to_string(), 0));
        }
    }
    found.sort_by_key(|(_, work)| *work);
    found
}
