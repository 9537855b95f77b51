//! What client accounts may have running in a pool: parts of their quotas, granted by a row an account.
//!
//! An account's quota holds over all pools, and each pool has an owner of its own. So a row an account holds what is
//! granted to each pool, and the grants never sum up to more than the quota: an owner raises its own by condition on the
//! row, as far as there is room, and starts nothing beyond it. The load that this answers: peaks turn from queue to
//! queue every few seconds, and an account's need with them. An owner gives back what its work does not need: at once
//! where another pool's owner tells that the account is short there, else after a second.
//!
//! A grant is the pool's, not the owner's: what a former owner started still counts, in the books and in the grant. A
//! new owner puts its epoch into the grant before it starts anything under it, so that no late write of the former one
//! can take back what it uses. A quota that was lowered below what is granted stops nothing; nothing more starts until
//! all owners have given back so much. The row names the newest configuration that it was written by: owners that have
//! an older one raise nothing, and one that knows of a lower quota starts nothing before the row says so.

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

/// How often grants are looked at: as often as a pool's size.
const RECONCILE_MS: Millis = 100;

/// The same where no account is configured.
const IDLE_RECONCILE_MS: Millis = 1_000;

/// What a pool does not need is given back after so long, if nobody asks for it sooner: jobs come one by one, and a
/// grant that follows each would cost a call each.
const SURPLUS_KEPT_MS: Millis = 1_000;

/// Grants are asked for with so much on top of what is needed now, in percent, so that not each job asks again.
const ROOM_PERCENT: u64 = 125;

/// And with this share of the quota: the least that is worth a call.
const STEP_SHARE: u64 = 16;

/// A row that has no room is read again after so long: five answers of the store to another owner's give-back.
const READ_AGAIN_MS: Millis = 100;

/// Parts that the rows of accounts are spread over: the store takes a part's writes in turn.
const PARTS: u64 = 8;

/// Name of the partition that holds an account's row.
pub fn quota_part(account: &str) -> String {
    format!("quota/{}", fnv1a(account.bytes()) % PARTS)
}

/// What is granted to a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner that wrote it.
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

    /// What may run.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// An account's row: grants by pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantsRow {
    /// The grants.
    pub grants: BTreeMap<String, Grant>,
    /// The newest version of the configuration that an owner went by who wrote it.
    pub config: u64,
}

impl GrantsRow {
    /// What all pools but this one are granted together.
    fn others(&self, pool: &str) -> Capacity {
        let others = self.grants.iter().filter(|(name, _)| *name != pool);
        let mut sum = Capacity::default();
        others.for_each(|(_, grant)| sum.add(grant.capacity()));
        sum
    }
}

/// An account's row as an owner knows it.
#[derive(Clone, Debug, Default)]
struct Ledger {
    row: GrantsRow,
    revision: Revision,
    /// The change that is out, or whose fate is open.
    pending: Option<Pending>,
    /// The quota that was last looked at.
    quota: Capacity,
    /// The version of the configuration that lowered it last.
    lowered_by: u64,
    /// Since when more is granted than is needed.
    surplus_ms: Option<Millis>,
    /// When the row was last asked for, since it had no room.
    read_ms: Millis,
    /// When it was last told that tasks wait.
    logged_ms: Millis,
}

/// A change of an account's row.
#[derive(Clone, Debug)]
struct Pending {
    row: GrantsRow,
    /// A sending of it got no answer and may yet take effect: it is sent again, by the same condition, until its fate
    /// is known.
    is_open: bool,
    /// It is on its way now.
    is_out: bool,
}

/// What a pool's owner knows of quotas.
#[derive(Clone, Debug, Default)]
pub struct QuotaController {
    ledgers: BTreeMap<String, Ledger>,
    /// Accounts of which more waits here than is granted.
    pub short: BTreeSet<String>,
}

/// What a look is made with.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The owner's epoch.
    pub epoch: Revision,
    /// The configuration.
    pub config: &'a FleetConfig,
    /// Accounts that are short in other pools.
    pub short_elsewhere: &'a BTreeSet<String>,
}

/// Looks at the grants of all accounts that have work here, or had some.
pub fn reconcile(
    pool_state: &mut PoolState,
    controller: &mut QuotaController,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let pause_ms = match with.config.accounts.is_empty() {
        true => IDLE_RECONCILE_MS,
        false => RECONCILE_MS,
    };
    ctx.after(pause_ms, Timer::Quota);
    adjust(pool_state, controller, with, ctx);
}

/// Asks for what is needed and gives back what is not.
pub fn adjust(
    pool_state: &mut PoolState,
    controller: &mut QuotaController,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    pool_state.wants_quota = false;
    let mut short = BTreeSet::new();
    for account in &mut pool_state.accounts {
        let config = with.config.accounts.get(&account.name);
        account.weight = config.map_or(0, |a| a.weight);
        let quota = config.map(|a| a.quota);
        let Some(quota) = quota.filter(|q| *q != Capacity::default()) else {
            // Its jobs were accepted by a newer configuration, which may have given it a quota.
            let is_news = config.is_none() && account.named_by > with.config.version;
            let limit = is_news.then(Capacity::default);
            if account.limit != limit {
                account.limit = limit;
                pool_state.wants_placing = true;
            }
            if is_news && need(account) != Capacity::default() {
                let ledger = controller.ledgers.entry(account.name.clone()).or_default();
                tell_held(account, ledger, Capacity::default(), with, ctx);
            }
            continue;
        };
        let ledger = controller.ledgers.entry(account.name.clone()).or_default();
        note_quota(ledger, quota, with.config.version);
        match &ledger.pending {
            None => settle_need(account, ledger, quota, with, ctx),
            Some(pending) if !pending.is_out && ctx.may_send() => {
                let pending = pending.clone();
                write(ledger, &account.name, pending, with.epoch, ctx);
            }
            Some(_) => {}
        }
        let limit = ledger.limit(with, quota);
        if account.limit != Some(limit) {
            pool_state.wants_placing = true;
        }
        account.limit = Some(limit);
        account.ceiling = limited(minus(quota, ledger.row.others(with.pool)), quota);
        if !limit.contains(need(account)) {
            tell_held(account, ledger, limit, with, ctx);
            short.insert(account.name.clone());
        }
    }
    controller.short = short;
}

/// Takes note of an account's quota, and of the version that lowered it.
fn note_quota(ledger: &mut Ledger, quota: Capacity, version: u64) {
    let before = std::mem::replace(&mut ledger.quota, quota);
    if before != Capacity::default() && !limited(quota, quota).contains(limited(before, before)) {
        ledger.lowered_by = version;
    }
}

/// Sends the change that the pool's need for the account asks for, if it asks for one.
fn settle_need(
    account: &AccountUse,
    ledger: &mut Ledger,
    quota: Capacity,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    if !ctx.may_send() {
        return;
    }
    let need = need(account);
    let held = ledger.held(with.pool);
    let current = held.map(|grant| grant.capacity()).unwrap_or_default();
    let has_need = need != Capacity::default();
    if !ledger.is_ours(with) {
        if has_need {
            send(ledger, account, most(current, account.used), with, ctx);
        }
        return;
    }
    let others = ledger.row.others(with.pool);
    let is_over = !limited(quota, quota).contains(sum(others, current));
    let target = match (is_over, has_need) {
        (true, _) | (false, false) => account.used,
        (false, true) => least(with_room(need, quota), limited(minus(quota, others), quota)),
    };
    let target = most(target, account.used);
    if !current.contains(need) && !is_over {
        raise(account, ledger, most(current, target), current, with, ctx);
        return;
    }
    let has_surplus = target != current && current.contains(target);
    if !has_surplus {
        ledger.surplus_ms = None;
        return;
    }
    let since_ms = *ledger.surplus_ms.get_or_insert(ctx.now.ms);
    let is_kept = ctx.now.ms < since_ms + SURPLUS_KEPT_MS;
    let is_large = !has_need || !sum(target, target).contains(current);
    let is_asked = is_over || with.short_elsewhere.contains(&account.name);
    if is_asked || (is_large && !is_kept) {
        ledger.surplus_ms = None;
        send(ledger, account, target, with, ctx);
    }
}

/// Asks for a larger grant, or where there is no room for one, looks whether others gave some back.
fn raise(
    account: &AccountUse,
    ledger: &mut Ledger,
    raised: Capacity,
    current: Capacity,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    // Who has an older configuration than the row may know a quota that was lowered since.
    let may_raise = ledger.row.config <= with.config.version;
    if raised != current && may_raise {
        send(ledger, account, raised, with, ctx);
    } else if ctx.now.ms >= ledger.read_ms + READ_AGAIN_MS {
        // What others give back shows only in the row.
        ledger.read_ms = ctx.now.ms;
        let read = Effect::ReadQuota(ctx.pool, with.epoch, account.name.clone());
        ctx.out.push(read);
    }
}

/// Sends a grant of this pool in place of the one that is known.
fn send(
    ledger: &mut Ledger,
    account: &AccountUse,
    granted: Capacity,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let mut row = ledger.row.clone();
    row.config = row.config.max(with.config.version);
    if granted == Capacity::default() && need(account) == granted {
        row.grants.remove(with.pool);
    } else {
        let grant = Grant::new(with.epoch, granted);
        row.grants.insert(with.pool.to_string(), grant);
    }
    let pending = Pending {
        row,
        is_open: false,
        is_out: false,
    };
    write(ledger, &account.name, pending, with.epoch, ctx);
}

/// Writes a row in place of the one that is known.
fn write(ledger: &mut Ledger, account: &str, pending: Pending, epoch: Revision, ctx: &mut Ctx<'_>) {
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
        is_out: true,
        ..pending
    });
    let settle = Effect::SettleQuota(ctx.pool, epoch, account.to_string(), tx);
    ctx.out.push(settle);
}

/// Settles a change of a grant; books that are being read look at grants once they are there.
pub fn settled(
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
            tell_granted(ledger, pool, account, ctx);
        }
        // One of ours that took effect without an answer is told by the row, too.
        TxOutcome::Conflict(found) => {
            let row = found.into_iter().map(|(_, row)| row).next();
            ledger.observe(row, account, ctx);
        }
        // Until its fate is known, the lesser of the two rows counts.
        TxOutcome::Unknown => {
            ledger.pending = Some(Pending {
                is_open: true,
                is_out: false,
                ..pending
            });
            return;
        }
        // A refusal speaks of its own sending only.
        TxOutcome::Refused => {
            ledger.pending = pending.is_open.then_some(Pending {
                is_out: false,
                ..pending
            });
            return;
        }
    }
    if let Some(pool_state) = pool_state {
        pool_state.wants_quota = true;
    }
}

/// Takes in an account's row as read.
pub fn read(
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
    fn held(&self, pool: &str) -> Option<Grant> {
        self.row.grants.get(pool).copied()
    }

    /// Whether the row, as it is known, holds a grant of this owner that any later one must reckon with.
    fn is_ours(&self, with: &Inputs<'_>) -> bool {
        let held = self.held(with.pool);
        held.is_some_and(|grant| grant.epoch == with.epoch) && self.row.config >= self.lowered_by
    }

    /// What may run in the pool now: the lesser of what is granted and of what is being written.
    fn limit(&self, with: &Inputs<'_>, quota: Capacity) -> Capacity {
        let held = self.held(with.pool).filter(|_| self.is_ours(with));
        let Some(held) = held else {
            return limited(Capacity::default(), quota);
        };
        let all = sum(self.row.others(with.pool), held.capacity());
        if !limited(quota, quota).contains(all) {
            return limited(Capacity::default(), quota);
        }
        let pending = self.pending.as_ref();
        let pending = pending.map(|pending| pending.row.grants.get(with.pool));
        let room = match pending {
            None => held.capacity(),
            Some(after) => least(
                held.capacity(),
                after.map(Grant::capacity).unwrap_or_default(),
            ),
        };
        limited(room, quota)
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

fn tell_granted(ledger: &Ledger, pool: &str, account: &str, ctx: &mut Ctx<'_>) {
    let granted = ledger.held(pool).unwrap_or_default();
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

/// Tells now and then that an account's tasks wait for its quota.
fn tell_held(
    account: &AccountUse,
    ledger: &mut Ledger,
    limit: Capacity,
    with: &Inputs<'_>,
    ctx: &mut Ctx<'_>,
) {
    let is_told = ledger.logged_ms > 0 && ctx.now.ms < ledger.logged_ms + SURPLUS_KEPT_MS;
    if is_told || ledger.pending.is_some() {
        return;
    }
    ledger.logged_ms = ctx.now.ms;
    ctx.log(
        Decision::new(Code::QuotaHeld, Subject::Pool, with.pool, &*account.name)
            .with("config", with.config.version)
            .with("quota_cpu_milli", ledger.quota.cpu_milli)
            .with(
                "granted_cpu_milli",
                limit.cpu_milli.min(ledger.quota.cpu_milli),
            )
            .with("others_cpu_milli", ledger.row.others(with.pool).cpu_milli)
            .with("used_cpu_milli", account.used.cpu_milli)
            .with("waiting_cpu_milli", account.waiting.cpu_milli)
            .with("used_mem_mb", account.used.mem_mb)
            .with("waiting_mem_mb", account.waiting.mem_mb),
    );
}

fn need(account: &AccountUse) -> Capacity {
    sum(account.used, account.waiting)
}

fn sum(mut a: Capacity, b: Capacity) -> Capacity {
    a.add(b);
    a
}

fn by_kind(a: Capacity, b: Capacity, of: impl Fn(u64, u64) -> u64) -> Capacity {
    Capacity {
        cpu_milli: of(a.cpu_milli, b.cpu_milli),
        mem_mb: of(a.mem_mb, b.mem_mb),
        gpu: of(a.gpu, b.gpu),
    }
}

fn minus(a: Capacity, b: Capacity) -> Capacity {
    by_kind(a, b, u64::saturating_sub)
}

fn most(a: Capacity, b: Capacity) -> Capacity {
    by_kind(a, b, u64::max)
}

fn least(a: Capacity, b: Capacity) -> Capacity {
    by_kind(a, b, u64::min)
}

/// No limit on the kinds of which the quota names none.
fn limited(room: Capacity, quota: Capacity) -> Capacity {
    by_kind(room, quota, |room, quota| match quota {
        0 => u64::MAX,
        _ => room,
    })
}

/// What is asked for where so much is needed.
fn with_room(need: Capacity, quota: Capacity) -> Capacity {
    by_kind(need, quota, |need, quota| {
        need * ROOM_PERCENT / 100 + quota / STEP_SHARE
    })
}
