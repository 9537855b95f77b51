//! Who owns a pool: one entry at a time, by rows of the store and a lease on them.
//!
//! A pool has some shards, each in a partition of its own: a row that names the owner and one with its heartbeat. The
//! owner's row changes only when a pool changes hands; its revision in the first shard is the epoch, which fences all
//! orders, and in each shard it guards all writes there. A heartbeat in any one shard renews the lease, so that an
//! owner goes on while a partition is away. A taker claims the first shard, which settles who takes the pool, then all
//! others, each where the heartbeat has not changed since it saw it, a whole lease ago: an owner that renewed in any
//! shard meanwhile makes that claim fail.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::conflict;
use super::hosts::ORDERS_APART_MS;
use super::limits::{
    HEARTBEAT_MIN_GAP_MS, OWNER_LEASE_MS, OWNER_MARGIN_MS, RENEW_MS, RENEW_SLOW_MS, SHARD_LATE_MS,
    SHARD_PAUSE_MS, SLOW_ANSWER_MS, TX_RETRY_MS,
};
use super::rows::{self, shard_part, HeartbeatRow, OwnerRow, HEARTBEAT_KEY, OWNER_KEY, SHARDS};
use super::run_log;
use super::state::{Ctx, Effect, Ownership, Pool, Timer};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, Table, TxOutcome, Write};

/// Most heartbeats that are kept until the feed shows them: each batch carries one, 50 a second at a peak, and the feed
/// is read four times a second.
const UNSEEN_MAX: usize = 64;

/// When the owner before a claim ordered hosts about, as far as it told.
#[derive(Clone, Debug, Default)]
pub struct FormerOrders {
    /// Hosts that it named in its last heartbeat, and the latest time of their orders.
    pub reported_ms: BTreeMap<String, Millis>,
    /// It sent no order later than that.
    pub over_ms: Millis,
}

/// Who owns a pool, as this entry has seen.
#[derive(Clone, Debug, Default)]
pub struct OwnerLease {
    /// The owner's row in the first shard.
    pub owner: OwnerRow,
    /// Its revision: the epoch.
    pub epoch: Revision,
    /// The newest heartbeat.
    pub heartbeat: HeartbeatRow,
    /// Its revision.
    pub heartbeat_revision: Revision,
    /// When this entry saw the newest heartbeat.
    pub heartbeat_seen_ms: Millis,
    /// The shards.
    pub shards: [ShardLease; SHARDS],
    /// Our claim that won the first shard, until all others are won.
    pub claim: Option<Claim>,
    /// The owner before our claim; empty where it had left.
    pub claim_after: String,
    /// The entry whose heartbeat stood in the first shard before our claim.
    pub claim_after_heartbeat: String,
    /// Revision of the owner's row that our claim replaces.
    pub claim_from: Revision,
    /// When that owner was last heard.
    pub claim_after_ms: Millis,
    /// When the first of our claims was sent whose fate is open.
    pub claim_open_ms: Option<Millis>,
    /// Epoch of our last ownership.
    pub held_epoch: Revision,
    /// Orders to hosts of the owner before our claim.
    pub former: FormerOrders,
    /// Start of our last renewal that was acknowledged.
    pub renewed_ms: Millis,
    /// Count of our last heartbeat, and when it was sent.
    pub sent: (u64, Millis),
    /// Our heartbeats that the feed has not shown yet: counts, and when they were sent.
    pub unseen: VecDeque<(u64, Millis)>,
    /// When the next one is due; changes of jobs carry heartbeats, too.
    pub heartbeat_due_ms: Millis,
    /// What the store took for the last one.
    pub answer_ms: Millis,
}

/// One shard of a pool, as this entry has seen it.
#[derive(Clone, Debug, Default)]
pub struct ShardLease {
    /// Revision of the owner's row.
    pub owner_revision: Revision,
    /// Revision of the heartbeat.
    pub heartbeat_revision: Revision,
    /// The entry whose heartbeat it is.
    pub heartbeat_entry: String,
    /// When this entry saw that heartbeat.
    pub heartbeat_seen_ms: Millis,
    /// A claim of ours is out.
    pub is_claiming: bool,
    /// A renewal of ours is out.
    pub is_renewing: bool,
    /// When the first of our calls was sent that is not answered yet.
    pub unanswered_ms: Option<Millis>,
    /// It refused or lost a call: others go first until then.
    pub passed_over_until_ms: Millis,
}

/// A claim that won the first shard.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Revision of our row there: the epoch to be.
    pub epoch: Revision,
    /// When it was sent.
    pub sent_ms: Millis,
    /// Revisions of our rows in the shards that are won.
    pub owner_revisions: [Option<Revision>; SHARDS],
}

impl OwnerLease {
    /// Until when this entry may send orders, if it owns the pool.
    pub fn until_ms(&self) -> Millis {
        self.renewed_ms + OWNER_LEASE_MS - OWNER_MARGIN_MS
    }

    /// The count of the next heartbeat: no number is used twice, also where the feed is behind. An older one that it brings
    /// under a later one's number would renew the lease from that one's sending.
    fn next_count(&self) -> u64 {
        self.heartbeat.count.max(self.sent.0) + 1
    }

    /// What the owner that was heard last ordered hosts about.
    pub(super) fn former_orders(&self) -> FormerOrders {
        let heard_ms = self.heartbeat_seen_ms;
        let ordered = self.heartbeat.ordered.iter();
        FormerOrders {
            reported_ms: ordered
                .map(|(host, age_ms)| (host.clone(), heard_ms.saturating_sub(*age_ms)))
                .collect(),
            over_ms: heard_ms + OWNER_LEASE_MS - OWNER_MARGIN_MS,
        }
    }

    /// Takes note of a heartbeat that is in the store, sent at that time.
    pub fn note_renewed(&mut self, sent_ms: Millis, now_ms: Millis) {
        self.renewed_ms = self.renewed_ms.max(sent_ms);
        self.answer_ms = now_ms.saturating_sub(sent_ms);
    }

    /// Takes note of a call in a shard.
    pub fn note_sent(&mut self, shard: usize, now_ms: Millis) {
        self.shards[shard].unanswered_ms.get_or_insert(now_ms);
    }

    /// Takes note of what a call in a shard came to.
    pub fn note_answer(&mut self, shard: usize, outcome: &TxOutcome, now_ms: Millis) {
        let shard = &mut self.shards[shard];
        shard.unanswered_ms = None;
        shard.passed_over_until_ms = match outcome {
            TxOutcome::Committed(_) | TxOutcome::Conflict(_) => 0,
            TxOutcome::Refused | TxOutcome::Unknown => now_ms + SHARD_PAUSE_MS,
        };
    }

    /// Whether a shard answers, as far as is known.
    pub fn is_responsive(&self, shard: usize, now_ms: Millis) -> bool {
        let late_ms = SHARD_LATE_MS.max(self.answer_ms * 2);
        let shard = &self.shards[shard];
        let is_late = shard
            .unanswered_ms
            .is_some_and(|sent_ms| now_ms >= sent_ms + late_ms);
        !is_late && now_ms >= shard.passed_over_until_ms
    }

    /// The shard for the next heartbeat: the first that answers, else any that none is on its way in.
    fn shard_to_renew(&self, now_ms: Millis) -> Option<usize> {
        let mut free = (0..SHARDS).filter(|shard| !self.shards[*shard].is_renewing);
        let good = free
            .clone()
            .find(|shard| self.is_responsive(*shard, now_ms));
        good.or_else(|| free.next())
    }

    /// Whether this process is the owner that was seen last.
    pub(super) fn is_ours(&self, me: &str, nonce: u64) -> bool {
        self.owner.entry == me && self.owner.nonce == nonce
    }

    /// Whether an earlier process of this entry owned the pool: it has ended, since this one runs.
    pub(super) fn was_ours(&self, me: &str, nonce: u64) -> bool {
        self.owner.entry == me && self.owner.nonce != nonce
    }

    /// How long the pool has been without a living owner; nothing while it has one.
    pub(super) fn vacant_since_ms(&self, now_ms: Millis) -> Option<Millis> {
        if self.owner.entry.is_empty() {
            return Some(self.heartbeat_seen_ms);
        }
        let over_ms = self.heartbeat_seen_ms + OWNER_LEASE_MS;
        (now_ms >= over_ms).then_some(over_ms)
    }
}

/// Takes in a change of the owners' table in a shard.
pub fn observe(
    pool: &mut Pool,
    shard: usize,
    row: &StoredRow,
    now_ms: Millis,
) -> Result<(), String> {
    let lease = &mut pool.lease;
    let Some(value) = &row.value else {
        return Ok(());
    };
    if row.key == OWNER_KEY && row.revision > lease.shards[shard].owner_revision {
        let owner: OwnerRow = rows::decode(value)?;
        lease.shards[shard].owner_revision = row.revision;
        if shard == 0 {
            lease.owner = owner;
            lease.epoch = row.revision;
            lease.heartbeat_seen_ms = now_ms;
        } else {
            note_won(lease, shard, &owner, row.revision);
        }
    }
    if row.key == HEARTBEAT_KEY && row.revision > lease.shards[shard].heartbeat_revision {
        let heartbeat: HeartbeatRow = rows::decode(value)?;
        lease.shards[shard].heartbeat_revision = row.revision;
        lease.shards[shard]
            .heartbeat_entry
            .clone_from(&heartbeat.entry);
        lease.shards[shard].heartbeat_seen_ms = now_ms;
        if row.revision > lease.heartbeat_revision {
            lease.heartbeat_revision = row.revision;
            lease.heartbeat = heartbeat;
            lease.heartbeat_seen_ms = now_ms;
            note_own_heartbeat(pool);
        }
    }
    Ok(())
}

/// The answer to our renewal may be lost: the feed tells that it was done, and the lease counts from its own sending.
fn note_own_heartbeat(pool: &mut Pool) {
    let lease = &mut pool.lease;
    let is_ours = pool.ownership.is_some() && lease.heartbeat.entry == lease.owner.entry;
    if !is_ours {
        return;
    }
    while let Some((count, sent_ms)) = lease.unseen.front().copied() {
        if count > lease.heartbeat.count {
            return;
        }
        if count == lease.heartbeat.count {
            lease.renewed_ms = lease.renewed_ms.max(sent_ms);
        }
        lease.unseen.pop_front();
    }
}

/// Takes note of a row of ours in a shard, if it is the claim's that won the first one.
fn note_won(lease: &mut OwnerLease, shard: usize, owner: &OwnerRow, revision: Revision) {
    if let Some(claim) = lease.claim.as_mut().filter(|c| c.epoch == owner.epoch) {
        claim.owner_revisions[shard] = Some(revision);
    }
}

pub(super) fn guard(key: &str, revision: Revision) -> Guard {
    Guard {
        table: Table::Owners,
        key: key.to_string(),
        revision,
    }
}

pub(super) fn write(key: &str, value: Vec<u8>) -> Write {
    Write {
        table: Table::Owners,
        key: key.to_string(),
        value: Some(value),
    }
}

/// The guard that every write of an owner carries: the revision of its row in the shard, which is the epoch in the
/// first one.
pub fn epoch_guard(fence: Revision) -> Guard {
    guard(OWNER_KEY, fence)
}

pub(super) fn heartbeat(pool: &Pool, ctx: &Ctx<'_>) -> HeartbeatRow {
    let pool_state = pool.ownership.as_ref().and_then(|t| t.pool_state.as_ref());
    let sizing = pool.ownership.as_ref().map(|t| &t.sizing);
    HeartbeatRow {
        wanted: sizing.map_or(0, |s| s.wanted),
        needed: sizing.map_or(0, |s| s.needed),
        serving: sizing.map_or(0, |s| s.serving),
        short_accounts: short_accounts(pool),
        ordered: ordered(pool, ctx.now.ms),
        times: pool_state.map_or_else(|| pool.lease.heartbeat.times.clone(), |b| b.times.clone()),
        entry: ctx.me.to_string(),
        cpu_milli: ctx.cpu_milli,
        count: pool.lease.next_count(),
        waiting: pool_state.map(|b| b.waiting.clone()),
    }
}

fn short_accounts(pool: &Pool) -> BTreeSet<String> {
    let ownership = pool.ownership.as_ref();
    ownership.map(|t| t.quota.short.clone()).unwrap_or_default()
}

/// Hosts that were ordered about of late, and how long ago: by this owner, or by the one that it claims after.
fn ordered(pool: &Pool, now_ms: Millis) -> BTreeMap<String, Millis> {
    let reported_ms = match &pool.ownership {
        Some(ownership) => ownership.hosts.ordered_ms(now_ms),
        None => pool.lease.former_orders().reported_ms,
    };
    let ages = reported_ms.into_iter();
    ages.map(|(host, at_ms)| (host, now_ms.saturating_sub(at_ms)))
        .filter(|(_, age_ms)| *age_ms < ORDERS_APART_MS)
        .collect()
}

/// Renews the lease, if no heartbeat was sent of late.
pub fn renew(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let due_ms = pool.lease.heartbeat_due_ms;
    if ctx.now.ms < due_ms {
        ctx.after(due_ms - ctx.now.ms, Timer::Renew);
        return;
    }
    send_heartbeat(pool, ctx);
}

/// Tells soon what changed in the pool's needs, unless the store is slow: then it comes with the next
/// heartbeat, since each of its own would hold up changes of jobs.
pub fn hasten_heartbeat(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    if pool.lease.answer_ms >= SLOW_ANSWER_MS {
        return;
    }
    let due_ms = pool.lease.sent.1 + HEARTBEAT_MIN_GAP_MS;
    pool.lease.heartbeat_due_ms = pool.lease.heartbeat_due_ms.min(due_ms);
    ctx.after(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
}

fn send_heartbeat(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(ownership) = &pool.ownership else {
        return;
    };
    let Some(shard) = pool.lease.shard_to_renew(ctx.now.ms) else {
        ctx.after(TX_RETRY_MS, Timer::Renew);
        return;
    };
    let epoch = ownership.epoch;
    let tx = RowTx {
        part: shard_part(&pool.name, shard),
        guards: vec![epoch_guard(ownership.owner_revisions[shard])],
        writes: vec![next_heartbeat(pool, ctx)],
    };
    pool.lease.shards[shard].is_renewing = true;
    pool.lease.note_sent(shard, ctx.now.ms);
    ctx.out.push(Effect::Renew(ctx.pool, epoch, shard, tx));
    // Where no answer comes, the next goes to another shard.
    let due_ms = pool.lease.heartbeat_due_ms;
    ctx.after(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
}

/// The write of the next heartbeat, which is sent now.
pub fn next_heartbeat(pool: &mut Pool, ctx: &Ctx<'_>) -> Write {
    let write = write(HEARTBEAT_KEY, rows::encode(&heartbeat(pool, ctx)));
    pool.lease.sent = (pool.lease.next_count(), ctx.now.ms);
    pool.lease.unseen.push_back(pool.lease.sent);
    if pool.lease.unseen.len() > UNSEEN_MAX {
        pool.lease.unseen.pop_front();
    }
    // Behind one that a slow store has not answered yet, the next would only wait.
    let pause_ms = (pool.lease.answer_ms * 3 / 2).clamp(RENEW_MS, RENEW_SLOW_MS);
    pool.lease.heartbeat_due_ms = ctx.now.ms + pause_ms;
    write
}

/// Settles a renewal.
pub fn renewed(
    pool: &mut Pool,
    epoch: u64,
    shard: usize,
    sent_ms: Millis,
    outcome: &TxOutcome,
    ctx: &mut Ctx<'_>,
) {
    if pool.ownership.as_ref().is_none_or(|t| t.epoch != epoch) {
        return;
    }
    pool.lease.shards[shard].is_renewing = false;
    pool.lease.note_answer(shard, outcome, ctx.now.ms);
    match outcome {
        TxOutcome::Committed(_) => {
            pool.lease.note_renewed(sent_ms, ctx.now.ms);
            let due_ms = pool.lease.heartbeat_due_ms;
            ctx.after(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
        }
        TxOutcome::Conflict(found) => match ours_at(pool, shard, found, ctx) {
            // An answer told a newer revision than the row's.
            Some(revision) => {
                set_owner_revision(pool, shard, revision);
                pool.lease.heartbeat_due_ms = ctx.now.ms;
                ctx.after(0, Timer::Renew);
            }
            None => lose(pool, "its row changed", ctx),
        },
        TxOutcome::Refused | TxOutcome::Unknown => {
            pool.lease.heartbeat_due_ms = ctx.now.ms;
            ctx.after(TX_RETRY_MS, Timer::Renew);
        }
    }
}

/// The revision of this owner's row in a shard, where a conflict found it at another one than was thought.
fn ours_at(
    pool: &Pool,
    shard: usize,
    found: &[(Table, StoredRow)],
    ctx: &Ctx<'_>,
) -> Option<Revision> {
    let fence = pool.ownership.as_ref()?.owner_revisions[shard];
    let mut rows = found.iter().map(|(_, row)| row);
    let row = rows.find(|row| row.key == OWNER_KEY)?;
    let is_ours = row.revision != fence && conflict::is_ours(&pool.lease, ctx.me, row);
    is_ours.then_some(row.revision)
}

/// Takes the epoch from the owner's row as read: the answer to the claim may have told a newer revision than the row's, which
/// no condition on it would meet. Says whether the row is this owner's.
pub fn settle_epoch(
    ownership: &mut Ownership,
    lease: &mut OwnerLease,
    rows: &[StoredRow],
    me: &str,
) -> bool {
    let Some(row) = rows.iter().find(|row| row.key == OWNER_KEY) else {
        return true;
    };
    if !conflict::is_ours(lease, me, row) {
        return false;
    }
    if ownership.epoch != row.revision {
        // Answers to renewals that are out name the epoch of before, and are passed over.
        let shards = lease.shards.iter_mut();
        shards.for_each(|shard| shard.is_renewing = false);
    }
    ownership.epoch = row.revision;
    ownership.owner_revisions[0] = row.revision;
    true
}

fn set_owner_revision(pool: &mut Pool, shard: usize, revision: Revision) {
    if let Some(ownership) = &mut pool.ownership {
        ownership.owner_revisions[shard] = revision;
    }
}

/// Gives the pool up in the store, so that another may take it at once.
pub fn release(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    if let Some(mut ownership) = pool.ownership.take() {
        run_log::log_last_start_answers(&mut ownership, ctx);
        send_release(&pool.name, ownership.epoch, ctx);
    }
}

pub(super) fn send_release(pool: &str, epoch: Revision, ctx: &mut Ctx<'_>) {
    let tx = RowTx {
        part: pool.to_string(),
        guards: vec![epoch_guard(epoch)],
        writes: vec![write(OWNER_KEY, rows::encode(&OwnerRow::default()))],
    };
    ctx.out.push(Effect::Release(tx));
    let decision = Decision::new(Code::PoolReleased, Subject::Pool, pool, "stopping");
    ctx.log(decision.with("epoch", epoch));
}

/// Drops the books of a pool that another entry owns now.
pub fn lose(pool: &mut Pool, why: &str, ctx: &mut Ctx<'_>) {
    let Some(mut ownership) = pool.ownership.take() else {
        return;
    };
    run_log::log_last_start_answers(&mut ownership, ctx);
    ctx.log(
        Decision::new(Code::PoolLost, Subject::Pool, &pool.name, why)
            .with("epoch", ownership.epoch),
    );
    // Those of the books would act on others with the same keys, should the pool come back.
    ctx.drop_timers(|timer| timer != Timer::Claim);
    ctx.after(OWNER_LEASE_MS, Timer::Claim);
}
