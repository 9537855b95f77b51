//! Runs waves of maintenance: every host of a list goes down once, with a limited number down at a time.
//!
//! The owner of a host's pool takes the host through its turn: the host gets no new work, its short tasks end, its
//! lasting tasks move as far as their steps allow, and then a slot of the wave is taken by a conditional write. The
//! entry that orders hosts ([`super::hosts`]) sees the slot and sends the order. A wave spans pools; its row counts the
//! slots of all of them.

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
    Guard, HostListing, HostRecord, HostState, Revision, RowTx, StoredRow, Table, TxOutcome,
    WaveState, Write,
};

/// How often waves are reconciled.
pub const RECONCILE_MS: Millis = 150;

/// How often the list of hosts is read while a wave runs.
const LIST_MS: Millis = 700;

/// How often the list is read while a host is down: only the list shows that the host is back.
const LIST_AWAY_MS: Millis = 300;

/// Expected duration of a host's turn on the users' sites: closing, maintenance and the list's lag.
pub(super) const TURN_MS: Millis = 6_500;

/// Percentage of a wave's duration that is planned with, so that a late host is still in time.
const PLANNED_PERCENT: u64 = 75;

/// Percentage of a wave's duration after which hosts have their turns also while no other host has room for their
/// lasting tasks.
const PRESSING_PERCENT: u64 = 50;

/// At most one in this many of a pool's hosts, but at least one host, has its turn in a wave at a time: the others
/// carry the pool's work.
const POOL_DIVISOR: usize = 3;

/// Hosts that are switched off take at most one in this many of a wave's slots, so that pools that serve find some.
const OFF_DIVISOR: usize = 2;

/// How long a closing host waits for its short tasks to end before they are stopped.
const SHORT_TASK_WAIT_MS: Millis = 3_000;

/// A closing host that is not cleared after this time serves its pool again.
const CLOSE_MAX_MS: Millis = 6_000;

/// Least time that a reopened host serves before its turn may begin again.
const REOPENED_MIN_MS: Millis = 3_000;

/// Greatest age at which a worker's report still shows what is at work there. Workers answer renewals every second.
const REPORT_MAX_AGE_MS: Millis = 1_500;

/// State of a host's turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The host has got no new tasks since this time.
    Closing(Millis),
    /// The host holds a slot and waits for the order.
    Holding,
    /// The host was ordered down; this owner learned it at this time.
    Away(Millis),
}

/// A change of a wave's row that is being written.
#[derive(Clone, Debug)]
pub struct Pending {
    wave: u64,
    /// The revision that the write is conditional on.
    after: Revision,
    row: WaveRow,
    host: String,
    /// Whether the change takes a slot; otherwise it returns one.
    takes_slot: bool,
}

/// What a pool's owner keeps about waves: the turns of the pool's hosts and the change that is being written.
#[derive(Clone, Debug, Default)]
pub struct WaveController {
    /// Hosts that have their turns, each with the number of its wave.
    pub(super) turns: BTreeMap<String, (u64, Turn)>,
    pending: Option<Pending>,
    /// Hosts whose turn was broken off, and when it may begin again.
    reopened: BTreeMap<String, Millis>,
    pub(super) hosts: HostList,
    /// When each wave last made progress.
    pub(super) waits: Waits,
}

impl WaveController {
    /// Whether a change of a wave's row is being written.
    pub(super) fn is_writing(&self) -> bool {
        self.pending.is_some()
    }
}

/// Reconciles all waves that are not done, and sets the timer for the next pass if there are any.
pub fn reconcile(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    known: &mut BTreeMap<u64, WaveKnown>,
    pool: &str,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let mut has_open_wave = false;
    for wave in known.values_mut().filter(|w| !w.is_done) {
        has_open_wave = true;
        if is_complete(wave, &due_hosts(wave), controller) {
            wave.is_done = true;
            let number = wave.order.wave;
            end_turns(pool_state, controller, number);
            ctx.out
                .push(Effect::ReportWave(number, WaveState::Completed));
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
        resume_slots(pool_state, controller, wave, pool);
        mark_due(pool_state, &due);
        advance_turns(pool_state, controller, wave, pool, epoch, ctx);
        begin_turns(pool_state, controller, wave, &due, pool, ctx);
        wave_waits::log(pool_state, controller, wave, &due, pool, ctx);
    }
    if !has_open_wave {
        return;
    }
    let is_away = |(_, turn): &(u64, Turn)| matches!(turn, Turn::Away(_));
    let pause_ms = match controller.turns.values().any(is_away) {
        true => LIST_AWAY_MS,
        false => LIST_MS,
    };
    if controller.hosts.start_read_if_due(ctx.now.ms, pause_ms) {
        ctx.out.push(Effect::ReadHosts(ctx.pool, epoch));
    }
    ctx.set_timer(RECONCILE_MS, Timer::Wave);
}

/// Opens the hosts that still have a turn in a wave that is done: they left the fleet during their turn, and may
/// come back.
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

/// Returns the hosts of a wave that are not back yet.
fn due_hosts(wave: &WaveKnown) -> BTreeSet<&str> {
    let back: HashSet<&str> = wave.row.back.iter().map(String::as_str).collect();
    let hosts = wave.order.hosts.iter().map(String::as_str);
    hosts.filter(|host| !back.contains(host)).collect()
}

/// Whether every host that still exists is back.
fn is_complete(wave: &WaveKnown, due: &BTreeSet<&str>, controller: &WaveController) -> bool {
    // A list that is older than the wave lacks hosts that were added since.
    let is_newer = controller.hosts.asked_ms() > wave.seen_ms;
    let is_gone = |host: &&str| {
        let is_missing = is_newer && controller.hosts.is_missing(host);
        is_missing && !wave.row.out.contains_key(*host)
    };
    due.iter().all(is_gone)
}

/// Resumes the turns of hosts whose slots were taken by this pool's former owner, or by a write of this owner that got
/// no answer. These hosts are about to be ordered down and get no new work: lasting tasks placed there would be ended
/// in addition to those that this owner moves elsewhere.
fn resume_slots(
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
        pool_state.set_may_leave(host);
    }
}

/// Closes the hosts that have their turns and were not ordered down yet, in a pool state that was just built.
pub(super) fn close_leaving(pool_state: &mut PoolState, controller: &WaveController) {
    let asked = controller
        .pending
        .as_ref()
        .filter(|pending| pending.takes_slot);
    for (host, (_, turn)) in &controller.turns {
        if matches!(turn, Turn::Away(_)) {
            continue;
        }
        pool_state.set_closing(host, true);
        if *turn == Turn::Holding || asked.is_some_and(|pending| pending.host == *host) {
            pool_state.set_may_leave(host);
        }
    }
}

fn mark_due(pool_state: &mut PoolState, due: &BTreeSet<&str>) {
    for (_, worker) in &mut pool_state.workers {
        worker.awaits_wave = due.contains(worker.info.host.as_str());
    }
}

fn advance_turns(
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
            // A former owner, or the next one, took the host through the wave.
            Turn::Closing(_) if wave.row.back.contains(&host) => {
                reopen_host(
                    pool_state,
                    controller,
                    &host,
                    "the host has already been through the wave",
                    ctx,
                );
            }
            Turn::Closing(_) if is_evacuated(pool_state, controller, &host) => {
                let why = "the host's hall is evacuated";
                reopen_host(pool_state, controller, &host, why, ctx);
            }
            Turn::Closing(since_ms) => {
                if clear_host(pool_state, &host, since_ms, epoch, ctx) {
                    if take_slot(controller, wave, &host, (pool, epoch), ctx) {
                        pool_state.set_may_leave(&host);
                    } else if ctx.now.ms >= since_ms + CLOSE_MAX_MS
                        && !pool_state.hosts_that_may_leave.contains(&host)
                    {
                        let why = "its wave has no free slot";
                        reopen_host(pool_state, controller, &host, why, ctx);
                    }
                } else if ctx.now.ms >= since_ms + CLOSE_MAX_MS {
                    reopen_host(
                        pool_state,
                        controller,
                        &host,
                        "the host's lasting tasks could not move, or its ended runs are not recorded yet",
                        ctx,
                    );
                }
            }
            Turn::Holding => advance_holding(pool_state, controller, wave, &host, ctx),
            Turn::Away(since_ms) => return_slot(controller, wave, &host, since_ms, epoch, ctx),
        }
    }
}

/// Moves lasting tasks away and waits for the others to end. Returns whether the host may go down.
fn clear_host(
    pool_state: &mut PoolState,
    host: &str,
    since_ms: Millis,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(worker) = pool_state.worker_on(host) else {
        // A worker instance that left the list may run on for seconds, and its tasks would end with the host.
        return pool_state
            .instances_on(host)
            .all(|(instance, _)| pool_state.is_drained(instance));
    };
    let tasks: Vec<TaskKey> = pool_state.workers[worker].tasks.iter().copied().collect();
    let may_wait = ctx.now.ms < since_ms + SHORT_TASK_WAIT_MS;
    let mut lasting_left = 0;
    for key in &tasks {
        if !pool_state.step_spec(*key).is_some_and(|s| s.lasting) {
            if !may_wait {
                stop_short_task(pool_state, *key, epoch, ctx);
            }
            continue;
        }
        lasting_left += 1;
        let is_running = pool_state
            .task(*key)
            .is_some_and(|t| matches!(t.phase, Phase::Running(_)));
        if is_running && may_stop_lasting(pool_state, *key, ctx.now.ms) {
            runs::stop_run(pool_state, *key, epoch, ctx);
        }
    }
    lasting_left == 0 && pool_state.is_drained(worker)
}

/// Stops a short task that does not end in time. If it were left at work while its host goes down, it could finish
/// without its owner's knowledge: 32 of 40 such tasks were started again by the next owner.
fn stop_short_task(pool_state: &mut PoolState, key: TaskKey, epoch: u64, ctx: &mut Ctx<'_>) {
    let phase = pool_state.task(key).map(|task| task.phase);
    if matches!(phase, Some(Phase::Starting(_) | Phase::Running(_))) {
        runs::stop_run(pool_state, key, epoch, ctx);
    }
}

/// Whether all lasting tasks on a worker could be placed elsewhere now.
pub(super) fn can_clear(pool_state: &PoolState, worker: WorkerKey, now_ms: Millis) -> bool {
    let tasks = pool_state.workers[worker].tasks.iter();
    let mut lasting = tasks.filter(|key| pool_state.step_spec(**key).is_some_and(|s| s.lasting));
    lasting.all(|key| {
        may_stop_lasting(pool_state, *key, now_ms)
            && place::has_other_worker(pool_state, *key, worker, now_ms)
    })
}

/// Breaks off a host's turn and gives the host back to its pool for a while.
fn reopen_host(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    host: &str,
    why: &str,
    ctx: &mut Ctx<'_>,
) {
    controller.turns.remove(host);
    let again_ms = ctx.now.ms + REOPENED_MIN_MS;
    controller.reopened.insert(host.to_string(), again_ms);
    pool_state.set_closing(host, false);
    ctx.log(Decision::new(Code::HostReopened, Subject::Host, host, why));
}

/// Whether a lasting task may be stopped now: few enough other tasks of its step are not at work.
pub fn may_stop_lasting(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> bool {
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
        !is_task_past_startup(pool_state, other, now_ms)
    });
    away.count() < most
}

/// Whether a task is at work according to a recent report of its worker.
fn is_task_past_startup(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> bool {
    let Some(task) = pool_state.task(key).filter(|t| t.is_past_startup) else {
        return false;
    };
    let worker = task.phase.worker().and_then(|w| pool_state.workers.get(w));
    worker.is_some_and(|w| w.is_answering && now_ms < w.answered_ms + REPORT_MAX_AGE_MS)
}

/// Returns the transaction that changes a wave's row, on condition that nobody else has changed it.
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

fn write_wave_row(
    controller: &mut WaveController,
    wave: &WaveKnown,
    row: WaveRow,
    host: &str,
    takes_slot: bool,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    let tx = row_tx(wave, &row);
    controller.pending = Some(Pending {
        wave: wave.order.wave,
        after: wave.revision,
        row,
        host: host.to_string(),
        takes_slot,
    });
    ctx.out.push(Effect::SettleWave(ctx.pool, epoch, tx));
}

/// Requests a slot of a wave. Returns whether the request was sent.
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
            .push(Effect::ReportWave(wave.order.wave, WaveState::Running));
    }
    let slot = SlotRow {
        pool: pool.to_string(),
        taken_wall_ms: ctx.now.wall_ms,
        is_ordered: false,
    };
    row.out.insert(host.to_string(), slot);
    write_wave_row(controller, wave, row, host, true, epoch, ctx);
    true
}

/// Returns the slot of a host that is up again according to a list that was requested after the host's order was
/// accepted. A new worker instance alone proves nothing: it may follow a crash, with the maintenance still to come.
fn return_slot(
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
    write_wave_row(controller, wave, row, host, false, epoch, ctx);
}

/// Whether a host is in a hall that the operator evacuates.
pub(super) fn is_evacuated(
    pool_state: &PoolState,
    controller: &WaveController,
    host: &str,
) -> bool {
    let listed = pool_state.worker_on(host);
    let listed = listed.map(|key| pool_state.workers[key].info.hall.as_str());
    let hall = listed.or_else(|| Some(controller.hosts.get(host)?.hall.as_str()));
    hall.is_some_and(|hall| pool_state.evacuated_halls.contains(hall))
}

/// Whether a host still belongs to this pool.
fn has_host(pool_state: &PoolState, controller: &WaveController, host: &str, pool: &str) -> bool {
    let record = controller.hosts.get(host);
    pool_state.worker_on(host).is_some() || record.is_none_or(|h| h.pool == pool)
}

/// Advances the turn of a host that holds a slot: once it was ordered down, or if its slot was given up.
fn advance_holding(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    host: &str,
    ctx: &mut Ctx<'_>,
) {
    let Some(slot) = wave.row.out.get(host) else {
        let why = "the host's slot in the wave was given up";
        reopen_host(pool_state, controller, host, why, ctx);
        return;
    };
    if !slot.is_ordered {
        return;
    }
    // The worker instance on the host has ended. An instance that is listed from now on is open at once; one that is
    // already known is opened when the slot is returned.
    pool_state.closing_hosts.remove(host);
    pool_state.hosts_that_may_leave.remove(host);
    let turn = Turn::Away(ctx.now.ms);
    controller
        .turns
        .insert(host.to_string(), (wave.order.wave, turn));
}

/// Applies the outcome of a change of a wave's row. If the pool state is still being read (`None`), hosts are closed
/// and opened by the row once that state is built.
pub fn apply_settled(
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
            wave.apply_write(pending.row.clone(), pending.after, revision);
            true
        }
        TxOutcome::Conflict(found) => {
            for (_, row) in found {
                apply_row(wave, &row, ctx);
            }
            // An earlier attempt of ours may have taken effect.
            wave.row == pending.row
        }
        TxOutcome::Refused | TxOutcome::Unknown => false,
    };
    if !is_done {
        return;
    }
    if pending.takes_slot {
        controller
            .turns
            .insert(pending.host, (pending.wave, Turn::Holding));
        ctx.set_timer(0, Timer::Wave);
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

/// Applies a wave's row that was read or that a conflict returned.
pub fn apply_row(wave: &mut WaveKnown, row: &StoredRow, ctx: &mut Ctx<'_>) {
    let Some(value) = &row.value else { return };
    match rows::decode(value) {
        Ok(decoded) => wave.apply_read(decoded, row.revision),
        Err(e) => ctx.log(Decision::new(Code::BadRow, Subject::Wave, &row.key, e)),
    }
}

/// Applies the list of hosts as it was read.
pub fn apply_list(controller: &mut WaveController, hosts: impl Into<HostListing>) {
    controller.hosts.replace(hosts.into());
}

/// Begins the turns of as many hosts as the wave needs to be done in time.
fn begin_turns(
    pool_state: &mut PoolState,
    controller: &mut WaveController,
    wave: &WaveKnown,
    due: &BTreeSet<&str>,
    pool: &str,
    ctx: &mut Ctx<'_>,
) {
    let candidates = find_candidates(pool_state, controller, wave, due, pool, ctx.now.ms);
    let in_turn = controller
        .turns
        .values()
        .filter(|(n, _)| *n == wave.order.wave)
        .count();
    let left = candidates.len() + in_turn;
    let listed = pool_state.workers.values().filter(|w| w.is_listed).count();
    let more = match listed {
        // All hosts are switched off and carry nothing.
        0 => (wave.order.out_max / OFF_DIVISOR)
            .max(1)
            .saturating_sub(in_turn),
        _ => {
            // The bound is the pool's, so it counts the turns of all waves.
            let most = (listed / POOL_DIVISOR).max(1);
            let of_pool = most.saturating_sub(controller.turns.len());
            let allowed = turns_at_once(wave, left, ctx.now.ms);
            allowed.saturating_sub(in_turn).min(of_pool)
        }
    };
    for (host, _) in candidates.into_iter().take(more) {
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

/// Returns how many hosts of a pool take their turns at a time so that all are done in time.
fn turns_at_once(wave: &WaveKnown, left: usize, now_ms: Millis) -> usize {
    let planned_ms = wave.order.duration_ms * PLANNED_PERCENT / 100;
    let left_ms = (wave.seen_ms + planned_ms)
        .saturating_sub(now_ms)
        .max(TURN_MS);
    let at_a_time = (left as u64 * TURN_MS).div_ceil(left_ms) as usize;
    at_a_time.clamp(1, wave.order.out_max)
}

/// Returns the hosts of the pool whose turns may begin and the work on each, those with the least work first.
fn find_candidates(
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
    // Lasting tasks of a host that closes are placed first once there is room anywhere.
    let pressing_ms = wave.seen_ms + wave.order.duration_ms * PRESSING_PERCENT / 100;
    let is_pressing = now_ms >= pressing_ms;
    let mut found: Vec<(String, u64)> = Vec::new();
    for host in due.iter().copied().filter(|h| may_begin(h)) {
        if is_evacuated(pool_state, controller, host) {
            continue;
        }
        if let Some(key) = pool_state.worker_on(host) {
            let w = &pool_state.workers[key];
            if w.is_answering
                && !w.info.is_draining
                && !w.is_offered
                && (can_clear(pool_state, key, now_ms) || is_pressing)
            {
                found.push((host.to_string(), w.used.cpu_milli + w.tasks.len() as u64));
            }
            continue;
        }
        let record = controller.hosts.get(host);
        let is_off =
            |h: &HostRecord| h.pool == pool && h.state == HostState::Up && h.worker.is_empty();
        if record.is_some_and(is_off) {
            found.push((host.to_string(), 0));
        }
    }
    found.sort_by_key(|(_, work)| *work);
    found
}
