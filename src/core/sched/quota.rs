//! Manages what client accounts may have running in a pool: parts of their quotas, granted by one row per account.
//!
//! An account's quota covers all pools, and each pool has its own owner. So one row per account holds what is
//! granted to each pool, and the grants never add up to more than the quota: an owner raises its own grant by a
//! conditional write, as far as there is room, and starts nothing beyond it. Peaks shift from queue to queue every
//! few seconds, and the accounts' needs with them. So an owner gives back what its work doesn't need: at once if
//! another pool's owner reports that the account is short there, else after `SURPLUS_KEPT_MS` if the grant is more than
//! twice what the owner would request now.
//!
//! A grant belongs to the pool, not to its owner: what a former owner started still counts, in the pool state and
//! in the grant. A new owner writes its epoch into the grant before it starts anything under it, so that no late
//! write of the former owner can take back what it uses. If a quota is lowered below what is granted, nothing is
//! stopped, but nothing more starts until the owners have given back the difference. The row names the newest
//! configuration that it was written under. An owner with an older one raises nothing, and an owner that knows of a
//! lower quota starts nothing until the row was written under the configuration that lowered it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::accounts::AccountUse;
use super::pool_state::PoolState;
use super::rows;
use super::state::{Ctx, Effect, Timer};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    Capacity, FleetConfig, Guard, Revision, RowTx, StoredRow, Table, TxOutcome, Write, ABSENT,
};
use crate::util::fnv1a;

/// How often grants are reconciled: as often as a pool's size.
const RECONCILE_MS: Millis = 100;

/// How often grants are reconciled while no account is configured.
const IDLE_RECONCILE_MS: Millis = 1_000;

/// How long a pool keeps a surplus that nobody asks for: jobs arrive one by one, and a grant that followed each of
/// them would cost one call per job.
const SURPLUS_KEPT_MS: Millis = 1_000;

/// Size of a requested grant as a percentage of the current need, so that not every job needs another request.
const HEADROOM_PERCENT: u64 = 125;

/// A requested grant is also larger by the quota divided by this number, the smallest step that is worth a call.
const STEP_DIVISOR: u64 = 16;

/// Pause before a row without room is read again: it takes about five answers of the store until another owner has
/// given some back.
const READ_AGAIN_MS: Millis = 100;

/// Number of partitions that the accounts' rows are spread over, since the store applies the writes of one
/// partition one after another.
const PARTS: u64 = 8;

/// Returns the name of the partition that holds an account's row.
pub fn quota_part(account: &str) -> String {
    format!("quota/{}", fnv1a(account.bytes()) % PARTS)
}

/// What an account's row grants to one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner that wrote the grant.
    pub epoch: Revision,
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Grant {
    fn new(epoch: Revision, room: Capacity) -> Self {
        Self {
            epoch,
            cpu_milli: room.cpu_milli,
            mem_mb: room.mem_mb,
            gpu: room.gpu,
        }
    }

    /// Returns the granted resources.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// An account's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantsRow {
    /// The grants by pool.
    pub grants: BTreeMap<String, Grant>,
    /// The newest version of the configuration that the row was written under.
    pub config: u64,
}

impl GrantsRow {
    /// Returns the sum of the grants of all other pools.
    fn others(&self, pool: &str) -> Capacity {
        let others = self.grants.iter().filter(|(name, _)| *name != pool);
        let mut sum = Capacity::default();
        others.for_each(|(_, grant)| sum.add(grant.capacity()));
        sum
    }
}

/// An account's row as an owner knows it, and the owner's change to it.
#[derive(Clone, Debug, Default)]
struct Ledger {
    row: GrantsRow,
    revision: Revision,
    /// The change that is being written, or whose result is unknown.
    pending: Option<Pending>,
    /// The quota at the last pass.
    quota: Capacity,
    /// The version of the configuration that last lowered the quota.
    lowered_by: u64,
    /// Since when more is granted than is needed.
    surplus_since_ms: Option<Millis>,
    /// When the row was last read because it had no room.
    read_ms: Millis,
    /// When waiting tasks were last logged; 0 for never.
    logged_ms: Millis,
}

/// A change of an account's row.
#[derive(Clone, Debug)]
struct Pending {
    row: GrantsRow,
    /// An attempt got no answer and may still take effect. The write is repeated under the same condition until its
    /// result is known.
    may_take_effect: bool,
    /// An attempt is in flight.
    is_in_flight: bool,
}

/// What a pool's owner knows about the accounts' quotas.
#[derive(Clone, Debug, Default)]
pub struct QuotaController {
    ledgers: BTreeMap<String, Ledger>,
    /// Accounts whose need in this pool exceeds their grant.
    pub short: BTreeSet<String>,
}

/// Inputs of one pass over the grants.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The pool's name.
    pub pool: &'a str,
    /// The owner's epoch.
    pub epoch: Revision,
    /// The configuration.
    pub config: &'a FleetConfig,
    /// Accounts that are short in other pools, as the owners' heartbeats report.
    pub short_elsewhere: &'a BTreeSet<String>,
}

/// Reconciles the grants of all accounts that have or had work in the pool, and sets the timer for the next pass.
pub fn reconcile(
    pool_state: &mut PoolState,
    controller: &mut QuotaController,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let pause_ms = match inputs.config.accounts.is_empty() {
        true => IDLE_RECONCILE_MS,
        false => RECONCILE_MS,
    };
    ctx.set_timer(pause_ms, Timer::Quota);
    adjust(pool_state, controller, inputs, ctx);
}

/// Requests what the accounts need, gives back what they don't need, and sets their limits.
pub fn adjust(
    pool_state: &mut PoolState,
    controller: &mut QuotaController,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    pool_state.wants_quota = false;
    let mut short = BTreeSet::new();
    for account in &mut pool_state.accounts {
        let config = inputs.config.accounts.get(&account.name);
        account.weight = config.map_or(0, |a| a.weight);
        let quota = config.map(|a| a.quota);
        let Some(quota) = quota.filter(|q| *q != Capacity::default()) else {
            // A newer configuration accepted the account's jobs and may have given the account a quota.
            let is_newer_config =
                config.is_none() && account.config_version > inputs.config.version;
            let limit = is_newer_config.then(Capacity::default);
            if account.limit != limit {
                account.limit = limit;
                pool_state.wants_placing = true;
            }
            if is_newer_config && total_need(account) != Capacity::default() {
                let ledger = controller.ledgers.entry(account.name.clone()).or_default();
                log_held(account, ledger, Capacity::default(), inputs, ctx);
            }
            continue;
        };
        let ledger = controller.ledgers.entry(account.name.clone()).or_default();
        record_quota(ledger, quota, inputs.config.version);
        match &ledger.pending {
            None => update_grant(account, ledger, quota, inputs, ctx),
            Some(pending) if !pending.is_in_flight && ctx.may_send() => {
                let pending = pending.clone();
                write_row(ledger, &account.name, pending, inputs.epoch, ctx);
            }
            Some(_) => {}
        }
        let limit = ledger.limit(inputs, quota);
        if account.limit != Some(limit) {
            pool_state.wants_placing = true;
        }
        account.limit = Some(limit);
        account.ceiling = lift_unlimited(minus(quota, ledger.row.others(inputs.pool)), quota);
        if !limit.contains(total_need(account)) {
            log_held(account, ledger, limit, inputs, ctx);
            short.insert(account.name.clone());
        }
    }
    controller.short = short;
}

/// Records an account's quota and, if the quota was lowered, the version of the configuration.
fn record_quota(ledger: &mut Ledger, quota: Capacity, version: u64) {
    let before = std::mem::replace(&mut ledger.quota, quota);
    if before != Capacity::default()
        && !lift_unlimited(quota, quota).contains(lift_unlimited(before, before))
    {
        ledger.lowered_by = version;
    }
}

/// Writes the change of the grant that the account's need in the pool requires, if any.
fn update_grant(
    account: &AccountUse,
    ledger: &mut Ledger,
    quota: Capacity,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    if !ctx.may_send() {
        return;
    }
    let need = total_need(account);
    let own = ledger.granted_to(inputs.pool);
    let current = own.map(|grant| grant.capacity()).unwrap_or_default();
    let has_need = need != Capacity::default();
    if !ledger.is_ours(inputs) {
        if has_need {
            write_grant(ledger, account, most(current, account.used), inputs, ctx);
        }
        return;
    }
    let others = ledger.row.others(inputs.pool);
    let is_over = !lift_unlimited(quota, quota).contains(sum(others, current));
    let target = match (is_over, has_need) {
        (true, _) | (false, false) => account.used,
        (false, true) => least(
            with_headroom(need, quota),
            lift_unlimited(minus(quota, others), quota),
        ),
    };
    let target = most(target, account.used);
    if !current.contains(need) && !is_over {
        raise_grant(account, ledger, most(current, target), current, inputs, ctx);
        return;
    }
    let has_surplus = target != current && current.contains(target);
    if !has_surplus {
        ledger.surplus_since_ms = None;
        return;
    }
    let since_ms = *ledger.surplus_since_ms.get_or_insert(ctx.now.ms);
    let is_kept = ctx.now.ms < since_ms + SURPLUS_KEPT_MS;
    let is_large = !has_need || !sum(target, target).contains(current);
    let is_asked = is_over || inputs.short_elsewhere.contains(&account.name);
    if is_asked || (is_large && !is_kept) {
        ledger.surplus_since_ms = None;
        write_grant(ledger, account, target, inputs, ctx);
    }
}

/// Requests a larger grant or, if there is no room for one, reads the row to see whether other pools gave some
/// back.
fn raise_grant(
    account: &AccountUse,
    ledger: &mut Ledger,
    raised: Capacity,
    current: Capacity,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    // An owner with an older configuration than the row may not know of a lowered quota.
    let may_raise = ledger.row.config <= inputs.config.version;
    if raised != current && may_raise {
        write_grant(ledger, account, raised, inputs, ctx);
    } else if ctx.now.ms >= ledger.read_ms + READ_AGAIN_MS {
        // What other pools give back shows only in the row.
        ledger.read_ms = ctx.now.ms;
        let read = Effect::ReadQuota(ctx.pool, inputs.epoch, account.name.clone());
        ctx.out.push(read);
    }
}

/// Writes a new grant of this pool in place of the known one.
fn write_grant(
    ledger: &mut Ledger,
    account: &AccountUse,
    granted: Capacity,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let mut row = ledger.row.clone();
    row.config = row.config.max(inputs.config.version);
    if granted == Capacity::default() && total_need(account) == granted {
        row.grants.remove(inputs.pool);
    } else {
        let grant = Grant::new(inputs.epoch, granted);
        row.grants.insert(inputs.pool.to_string(), grant);
    }
    let pending = Pending {
        row,
        may_take_effect: false,
        is_in_flight: false,
    };
    write_row(ledger, &account.name, pending, inputs.epoch, ctx);
}

/// Writes a row on condition that the known one has not changed.
fn write_row(
    ledger: &mut Ledger,
    account: &str,
    pending: Pending,
    epoch: Revision,
    ctx: &mut Ctx<'_>,
) {
    let tx = RowTx {
        part: quota_part(account),
        guards: vec![Guard {
            table: Table::Quotas,
            key: account.to_string(),
            revision: ledger.revision,
        }],
        writes: vec![Write {
            table: Table::Quotas,
            key: account.to_string(),
            value: Some(rows::encode(&pending.row)),
        }],
    };
    ledger.pending = Some(Pending {
        is_in_flight: true,
        ..pending
    });
    let settle = Effect::SettleQuota(ctx.pool, epoch, account.to_string(), tx);
    ctx.out.push(settle);
}

/// Applies the outcome of a change of a grant. If the pool state is still being read (`None`), grants are reconciled
/// once that state is built.
pub fn apply_settled(
    pool_state: Option<&mut PoolState>,
    controller: &mut QuotaController,
    pool: &str,
    account: &str,
    outcome: TxOutcome,
    ctx: &mut Ctx<'_>,
) {
    let Some(ledger) = controller.ledgers.get_mut(account) else {
        return;
    };
    let Some(pending) = ledger.pending.take() else {
        return;
    };
    match outcome {
        TxOutcome::Committed(revision) => {
            ledger.row = pending.row;
            ledger.revision = revision;
            log_granted(ledger, pool, account, ctx);
        }
        // The row also shows whether an earlier attempt of ours took effect without an answer.
        TxOutcome::Conflict(found) => {
            let row = found.into_iter().map(|(_, row)| row).next();
            ledger.observe(row, account, ctx);
        }
        // Until the result is known, the lesser of the two rows counts.
        TxOutcome::Unknown => {
            ledger.pending = Some(Pending {
                may_take_effect: true,
                is_in_flight: false,
                ..pending
            });
            return;
        }
        // A refusal says nothing about earlier attempts.
        TxOutcome::Refused => {
            ledger.pending = pending.may_take_effect.then_some(Pending {
                is_in_flight: false,
                ..pending
            });
            return;
        }
    }
    if let Some(pool_state) = pool_state {
        pool_state.wants_quota = true;
    }
}

/// Applies an account's row as it was read.
pub fn apply_row(
    pool_state: &mut PoolState,
    controller: &mut QuotaController,
    account: &str,
    row: Option<StoredRow>,
    ctx: &mut Ctx<'_>,
) {
    let ledger = controller.ledgers.get_mut(account);
    let Some(ledger) = ledger.filter(|ledger| ledger.pending.is_none()) else {
        return;
    };
    // Answers on different connections may overtake one another.
    let is_older = row
        .as_ref()
        .is_some_and(|row| row.revision < ledger.revision);
    if !is_older {
        ledger.observe(row, account, ctx);
        pool_state.wants_quota = true;
    }
}

impl Ledger {
    fn granted_to(&self, pool: &str) -> Option<Grant> {
        self.row.grants.get(pool).copied()
    }

    /// Whether the known row holds a grant of this owner that every later writer has to respect.
    fn is_ours(&self, inputs: &Inputs<'_>) -> bool {
        let own = self.granted_to(inputs.pool);
        own.is_some_and(|grant| grant.epoch == inputs.epoch) && self.row.config >= self.lowered_by
    }

    /// Returns what may run in the pool now: the lesser of the grant and of the one that is being written.
    fn limit(&self, inputs: &Inputs<'_>, quota: Capacity) -> Capacity {
        let own = self
            .granted_to(inputs.pool)
            .filter(|_| self.is_ours(inputs));
        let Some(own) = own else {
            return lift_unlimited(Capacity::default(), quota);
        };
        let all = sum(self.row.others(inputs.pool), own.capacity());
        if !lift_unlimited(quota, quota).contains(all) {
            return lift_unlimited(Capacity::default(), quota);
        }
        let pending = self.pending.as_ref();
        let pending = pending.map(|pending| pending.row.grants.get(inputs.pool));
        let room = match pending {
            None => own.capacity(),
            Some(after) => least(
                own.capacity(),
                after.map(Grant::capacity).unwrap_or_default(),
            ),
        };
        lift_unlimited(room, quota)
    }

    fn observe(&mut self, row: Option<StoredRow>, account: &str, ctx: &mut Ctx<'_>) {
        let Some(row) = row.filter(|row| row.value.is_some()) else {
            self.row = GrantsRow::default();
            self.revision = ABSENT;
            return;
        };
        match rows::decode(row.value.as_deref().unwrap_or_default()) {
            Ok(grants) => {
                self.row = grants;
                self.revision = row.revision;
            }
            Err(e) => ctx.log(Decision::new(Code::BadRow, Subject::Pool, account, e)),
        }
    }
}

fn log_granted(ledger: &Ledger, pool: &str, account: &str, ctx: &mut Ctx<'_>) {
    let granted = ledger.granted_to(pool).unwrap_or_default();
    let decision = Decision::new(Code::QuotaGranted, Subject::Pool, pool, account);
    ctx.log(
        decision
            .with("revision", ledger.revision)
            .with("quota_cpu_milli", ledger.quota.cpu_milli)
            .with("granted_cpu_milli", granted.cpu_milli)
            .with("granted_mem_mb", granted.mem_mb)
            .with("others_cpu_milli", ledger.row.others(pool).cpu_milli),
    );
}

/// Logs that an account's tasks wait for its quota, at most once per `SURPLUS_KEPT_MS`.
fn log_held(
    account: &AccountUse,
    ledger: &mut Ledger,
    limit: Capacity,
    inputs: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let is_logged = ledger.logged_ms > 0 && ctx.now.ms < ledger.logged_ms + SURPLUS_KEPT_MS;
    if is_logged || ledger.pending.is_some() {
        return;
    }
    ledger.logged_ms = ctx.now.ms;
    ctx.log(
        Decision::new(Code::QuotaHeld, Subject::Pool, inputs.pool, &*account.name)
            .with("config", inputs.config.version)
            .with("quota_cpu_milli", ledger.quota.cpu_milli)
            .with(
                "granted_cpu_milli",
                limit.cpu_milli.min(ledger.quota.cpu_milli),
            )
            .with("others_cpu_milli", ledger.row.others(inputs.pool).cpu_milli)
            .with("used_cpu_milli", account.used.cpu_milli)
            .with("waiting_cpu_milli", account.waiting.cpu_milli)
            .with("used_mem_mb", account.used.mem_mb)
            .with("waiting_mem_mb", account.waiting.mem_mb),
    );
}

fn total_need(account: &AccountUse) -> Capacity {
    sum(account.used, account.waiting)
}

fn sum(mut a: Capacity, b: Capacity) -> Capacity {
    a.add(b);
    a
}

fn combine(a: Capacity, b: Capacity, op: impl Fn(u64, u64) -> u64) -> Capacity {
    Capacity {
        cpu_milli: op(a.cpu_milli, b.cpu_milli),
        mem_mb: op(a.mem_mb, b.mem_mb),
        gpu: op(a.gpu, b.gpu),
    }
}

fn minus(a: Capacity, b: Capacity) -> Capacity {
    combine(a, b, u64::saturating_sub)
}

fn most(a: Capacity, b: Capacity) -> Capacity {
    combine(a, b, u64::max)
}

fn least(a: Capacity, b: Capacity) -> Capacity {
    combine(a, b, u64::min)
}

/// Returns `room` with `u64::MAX` for each resource that the quota does not limit.
fn lift_unlimited(room: Capacity, quota: Capacity) -> Capacity {
    combine(room, quota, |room, quota| match quota {
        0 => u64::MAX,
        _ => room,
    })
}

/// Returns the grant to request for a need: the need plus headroom.
fn with_headroom(need: Capacity, quota: Capacity) -> Capacity {
    combine(need, quota, |need, quota| {
        need * HEADROOM_PERCENT / 100 + quota / STEP_DIVISOR
    })
}
