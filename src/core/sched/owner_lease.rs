//! Ownership of a pool: its rows in the store, the owner's lease, and the heartbeats that renew it.
//!
//! A pool has [`SHARDS`] shards, each in its own partition of the store. Each shard holds a row that names the owner
//! and a row with the owner's heartbeat. The owner row changes only when the pool changes hands. Its revision in the
//! first shard is the epoch, which fences all orders; its revision in each shard guards all writes there. A heartbeat
//! in any shard renews the lease, so an owner carries on while a partition is unavailable.
//!
//! [`claim`](super::claim) decides when an entry takes a pool. The entry claims the first shard, which settles who
//! takes the pool, then each of the others on condition that the heartbeat there has not changed since this entry saw
//! it a whole lease ago. An owner that renewed in a shard meanwhile makes the claim of that shard fail.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::conflict;
use super::data_racks;
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

/// Maximum number of sent heartbeats kept until the feed shows them. Each batch carries one, up to 50 a second at peak,
/// and the feed is read four times a second.
const UNSEEN_HEARTBEATS_MAX: usize = 64;

/// Orders to hosts by the owner before a claim, as far as its last heartbeat reported them.
#[derive(Clone, Debug, Default)]
pub struct FormerHostOrders {
    /// Latest time of an order to each host that the last heartbeat names.
    pub reported_ms: BTreeMap<String, Millis>,
    /// Time after which the former owner sent no order: [`OWNER_MARGIN_MS`] before its lease ended.
    pub over_ms: Millis,
}

/// The owner of a pool and the state of its lease, as this entry has seen them.
#[derive(Clone, Debug, Default)]
pub struct OwnerLease {
    /// Owner row in the first shard.
    pub owner: OwnerRow,
    /// Revision of that owner row, which is the epoch.
    pub epoch: Revision,
    /// Newest heartbeat seen in any shard.
    pub heartbeat: HeartbeatRow,
    /// Revision of the newest heartbeat.
    pub heartbeat_revision: Revision,
    /// Whether this entry has seen one heartbeat follow another: the pool has, or has had, a live owner.
    pub has_beaten: bool,
    /// When this entry saw the newest heartbeat or the last change of the owner row in the first shard, whichever came
    /// later.
    pub heartbeat_seen_ms: Millis,
    /// Lease state by shard.
    pub shards: [ShardLease; SHARDS],
    /// This process's claim that won the first shard, until all other shards are won.
    pub claim: Option<Claim>,
    /// The owner before this entry's last claim; empty if that owner had released the pool.
    pub former_owner: String,
    /// The entry whose heartbeat stood in the first shard before this entry's last claim.
    pub former_heartbeat_entry: String,
    /// Revision of the owner row that this entry's last claim replaces.
    pub former_owner_revision: Revision,
    /// When the owner before this entry's last claim was last seen alive.
    pub former_seen_ms: Millis,
    /// The store's clock at that owner's last heartbeat, or somewhat earlier; 0 if unknown.
    pub former_store_ms: Millis,
    /// Send time of this process's earliest claim whose outcome is unknown.
    pub unsettled_claim_ms: Option<Millis>,
    /// Epoch of this process's last ownership, or of the last claim that it gave up after winning the first shard.
    pub held_epoch: Revision,
    /// Orders to hosts by the owner before this entry's last claim.
    pub former_host_orders: FormerHostOrders,
    /// When the last acknowledged renewal was sent.
    pub renewed_ms: Millis,
    /// Count of the last heartbeat sent, and when it was sent.
    pub last_heartbeat_sent: (u64, Millis),
    /// Sent heartbeats that the feed has not shown yet: count and send time.
    pub unseen_heartbeats: VecDeque<(u64, Millis)>,
    /// When the next heartbeat is due. Batches of job changes carry heartbeats, too.
    pub heartbeat_due_ms: Millis,
    /// How long the store took to answer the last renewal.
    pub answer_ms: Millis,
}

/// One shard of a pool, as this entry has seen it.
#[derive(Clone, Debug, Default)]
pub struct ShardLease {
    /// Revision of the owner row.
    pub owner_revision: Revision,
    /// Revision of the heartbeat row.
    pub heartbeat_revision: Revision,
    /// The entry that wrote the heartbeat.
    pub heartbeat_entry: String,
    /// When this entry saw the heartbeat.
    pub heartbeat_seen_ms: Millis,
    /// Whether a claim of this shard awaits its answer.
    pub is_claiming: bool,
    /// Whether a renewal in this shard awaits its answer.
    pub is_renewing: bool,
    /// Send time of the earliest call since the shard last answered any call; `None` if there is no such call.
    pub unanswered_ms: Option<Millis>,
    /// The shard refused or lost a call; other shards are preferred until this time.
    pub passed_over_until_ms: Millis,
}

/// A claim that won the first shard.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Revision of the claim's owner row in the first shard, which becomes the epoch.
    pub epoch: Revision,
    /// When the claim of the first shard was sent.
    pub sent_ms: Millis,
    /// Revisions of the owner rows in the shards that are won.
    pub owner_revisions: [Option<Revision>; SHARDS],
}

impl OwnerLease {
    /// Returns the time until which this entry may send orders if it owns the pool.
    pub fn until_ms(&self) -> Millis {
        self.renewed_ms + OWNER_LEASE_MS - OWNER_MARGIN_MS
    }

    /// Returns the count of the next heartbeat. No count is used twice, even when the feed lags: an older heartbeat
    /// that the feed brings under a later one's count would renew the lease from the later one's send time.
    fn next_count(&self) -> u64 {
        self.heartbeat.count.max(self.last_heartbeat_sent.0) + 1
    }

    /// Returns the orders to hosts that the last heartbeat seen reports.
    pub(super) fn former_orders(&self) -> FormerHostOrders {
        let seen_ms = self.heartbeat_seen_ms;
        let ordered = self.heartbeat.ordered.iter();
        FormerHostOrders {
            reported_ms: ordered
                .map(|(host, age_ms)| (host.clone(), seen_ms.saturating_sub(*age_ms)))
                .collect(),
            over_ms: seen_ms + OWNER_LEASE_MS - OWNER_MARGIN_MS,
        }
    }

    /// Records that the heartbeat sent at `sent_ms` is in the store.
    pub fn note_renewed(&mut self, sent_ms: Millis, now_ms: Millis) {
        self.renewed_ms = self.renewed_ms.max(sent_ms);
        self.answer_ms = now_ms.saturating_sub(sent_ms);
    }

    /// Counts the owner as seen now, in all shards, after a time in which this entry did not follow it.
    pub(super) fn note_all_seen(&mut self, now_ms: Millis) {
        self.heartbeat_seen_ms = now_ms;
        for shard in &mut self.shards {
            shard.heartbeat_seen_ms = now_ms;
        }
    }

    /// Records that a call to a shard was sent.
    pub fn note_sent(&mut self, shard: usize, now_ms: Millis) {
        self.shards[shard].unanswered_ms.get_or_insert(now_ms);
    }

    /// Records the outcome of a call to a shard.
    pub fn note_answer(&mut self, shard: usize, outcome: &TxOutcome, now_ms: Millis) {
        let shard = &mut self.shards[shard];
        shard.unanswered_ms = None;
        shard.passed_over_until_ms = match outcome {
            TxOutcome::Committed(_) | TxOutcome::Conflict(_) => 0,
            TxOutcome::Refused | TxOutcome::Unknown => now_ms + SHARD_PAUSE_MS,
        };
    }

    /// Returns whether a shard answers calls, as far as is known.
    pub fn is_responsive(&self, shard: usize, now_ms: Millis) -> bool {
        let late_ms = SHARD_LATE_MS.max(self.answer_ms * 2);
        let shard = &self.shards[shard];
        let is_late = shard
            .unanswered_ms
            .is_some_and(|sent_ms| now_ms >= sent_ms + late_ms);
        !is_late && now_ms >= shard.passed_over_until_ms
    }

    /// Returns the shard for the next heartbeat: the first responsive one, else any without a renewal in flight.
    fn shard_to_renew(&self, now_ms: Millis) -> Option<usize> {
        let mut free = (0..SHARDS).filter(|shard| !self.shards[*shard].is_renewing);
        let responsive = free
            .clone()
            .find(|shard| self.is_responsive(*shard, now_ms));
        responsive.or_else(|| free.next())
    }

    /// Returns whether this process is the owner that was seen last.
    pub(super) fn is_ours(&self, me: &str, nonce: u64) -> bool {
        self.owner.entry == me && self.owner.nonce == nonce
    }

    /// Returns whether an earlier process of this entry owned the pool. That process has ended, since this one runs.
    pub(super) fn was_ours(&self, me: &str, nonce: u64) -> bool {
        self.owner.entry == me && self.owner.nonce != nonce
    }

    /// Returns since when the pool has been without a live owner, or `None` while it has one.
    pub(super) fn vacant_since_ms(&self, now_ms: Millis) -> Option<Millis> {
        if self.owner.entry.is_empty() {
            return Some(self.heartbeat_seen_ms);
        }
        let over_ms = self.heartbeat_seen_ms + OWNER_LEASE_MS;
        (now_ms >= over_ms).then_some(over_ms)
    }
}

/// Applies a changed row of the owners table in one shard.
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
            note_won_shard(lease, shard, &owner, row.revision);
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
            lease.has_beaten |= lease.heartbeat_revision > 0;
            lease.heartbeat_revision = row.revision;
            lease.heartbeat = heartbeat;
            lease.heartbeat_seen_ms = now_ms;
            note_own_heartbeat(pool);
        }
    }
    Ok(())
}

/// Extends the lease when the feed shows one of this owner's heartbeats, in case the store's answer to it was lost. The
/// lease counts from the time when that heartbeat was sent.
fn note_own_heartbeat(pool: &mut Pool) {
    let lease = &mut pool.lease;
    let is_ours = pool.ownership.is_some() && lease.heartbeat.entry == lease.owner.entry;
    if !is_ours {
        return;
    }
    while let Some((count, sent_ms)) = lease.unseen_heartbeats.front().copied() {
        if count > lease.heartbeat.count {
            return;
        }
        if count == lease.heartbeat.count {
            lease.renewed_ms = lease.renewed_ms.max(sent_ms);
        }
        lease.unseen_heartbeats.pop_front();
    }
}

/// Records an owner row of a shard other than the first if the row belongs to the claim that won the first shard.
fn note_won_shard(lease: &mut OwnerLease, shard: usize, owner: &OwnerRow, revision: Revision) {
    if let Some(claim) = lease.claim.as_mut().filter(|c| c.epoch == owner.epoch) {
        claim.owner_revisions[shard] = Some(revision);
    }
}

pub(super) fn owners_guard(key: &str, revision: Revision) -> Guard {
    Guard {
        table: Table::Owners,
        key: key.to_string(),
        revision,
    }
}

pub(super) fn owners_write(key: &str, value: Vec<u8>) -> Write {
    Write {
        table: Table::Owners,
        key: key.to_string(),
        value: Some(value),
    }
}

/// Returns the guard that every write of an owner carries: the revision of its owner row in the shard. In the first
/// shard that revision is the epoch.
pub fn epoch_guard(owner_revision: Revision) -> Guard {
    owners_guard(OWNER_KEY, owner_revision)
}

pub(super) fn heartbeat_row(pool: &Pool, ctx: &Ctx<'_>) -> HeartbeatRow {
    let pool_state = pool.ownership.as_ref().and_then(|t| t.pool_state.as_ref());
    let sizing = pool.ownership.as_ref().map(|t| &t.sizing);
    HeartbeatRow {
        wanted: sizing.map_or(0, |s| s.wanted),
        needed: sizing.map_or(0, |s| s.needed),
        serving: sizing.map_or(0, |s| s.serving),
        lacking_racks: pool_state
            .map_or_else(BTreeMap::new, |b| data_racks::lacking(b, ctx.now.ms)),
        short_accounts: short_accounts(pool),
        ordered: host_order_ages(pool, ctx.now.ms),
        times: pool_state.map_or_else(|| pool.lease.heartbeat.times.clone(), |b| b.times.clone()),
        entry: ctx.me.to_string(),
        cpu_milli: ctx.cpu_milli,
        store_ms: ctx.now.store_ms,
        count: pool.lease.next_count(),
        waiting: pool_state.map(|b| b.waiting_jobs.clone()),
    }
}

fn short_accounts(pool: &Pool) -> BTreeSet<String> {
    let ownership = pool.ownership.as_ref();
    ownership.map(|t| t.quota.short.clone()).unwrap_or_default()
}

/// Returns the hosts that recently received orders and how long ago: from this owner or, before a claim is won, from
/// the owner that the claim replaces.
fn host_order_ages(pool: &Pool, now_ms: Millis) -> BTreeMap<String, Millis> {
    let reported_ms = match &pool.ownership {
        Some(ownership) => ownership.hosts.ordered_ms(now_ms),
        None => pool.lease.former_orders().reported_ms,
    };
    let ages = reported_ms.into_iter();
    ages.map(|(host, at_ms)| (host, now_ms.saturating_sub(at_ms)))
        .filter(|(_, age_ms)| *age_ms < ORDERS_APART_MS)
        .collect()
}

/// Renews the lease unless a heartbeat was sent recently.
pub fn renew(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let due_ms = pool.lease.heartbeat_due_ms;
    if ctx.now.ms < due_ms {
        ctx.set_timer(due_ms - ctx.now.ms, Timer::Renew);
        return;
    }
    send_heartbeat(pool, ctx);
}

/// Brings the next heartbeat forward to announce a change in the pool's needs. When the store is slow, the change waits
/// for the regular heartbeat, since every extra one would delay writes of job changes.
pub fn hasten_heartbeat(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    if pool.lease.answer_ms >= SLOW_ANSWER_MS {
        return;
    }
    let due_ms = pool.lease.last_heartbeat_sent.1 + HEARTBEAT_MIN_GAP_MS;
    pool.lease.heartbeat_due_ms = pool.lease.heartbeat_due_ms.min(due_ms);
    ctx.set_timer(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
}

fn send_heartbeat(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(ownership) = &pool.ownership else {
        return;
    };
    let Some(shard) = pool.lease.shard_to_renew(ctx.now.ms) else {
        ctx.set_timer(TX_RETRY_MS, Timer::Renew);
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
    // If no answer comes, the next heartbeat goes to another shard.
    let due_ms = pool.lease.heartbeat_due_ms;
    ctx.set_timer(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
}

/// Returns the write of the next heartbeat and records it as sent now.
pub fn next_heartbeat(pool: &mut Pool, ctx: &Ctx<'_>) -> Write {
    let write = owners_write(HEARTBEAT_KEY, rows::encode(&heartbeat_row(pool, ctx)));
    pool.lease.last_heartbeat_sent = (pool.lease.next_count(), ctx.now.ms);
    pool.lease
        .unseen_heartbeats
        .push_back(pool.lease.last_heartbeat_sent);
    if pool.lease.unseen_heartbeats.len() > UNSEEN_HEARTBEATS_MAX {
        pool.lease.unseen_heartbeats.pop_front();
    }
    // While a slow store has not answered one heartbeat, the next would only queue behind it.
    let pause_ms = (pool.lease.answer_ms * 3 / 2).clamp(RENEW_MS, RENEW_SLOW_MS);
    pool.lease.heartbeat_due_ms = ctx.now.ms + pause_ms;
    write
}

/// Handles the answer to a renewal.
pub fn settle_renewal(
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
            ctx.set_timer(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
        }
        TxOutcome::Conflict(found) => match found_owner_revision(pool, shard, found, ctx) {
            // An earlier answer named a newer revision than the owner row has.
            Some(revision) => {
                set_owner_revision(pool, shard, revision);
                pool.lease.heartbeat_due_ms = ctx.now.ms;
                ctx.set_timer(0, Timer::Renew);
            }
            None => lose_ownership(pool, "a renewal found that the owner row had changed", ctx),
        },
        TxOutcome::Refused | TxOutcome::Unknown => {
            pool.lease.heartbeat_due_ms = ctx.now.ms;
            ctx.set_timer(TX_RETRY_MS, Timer::Renew);
        }
    }
}

/// Returns the revision of this owner's row in a shard if a conflict found it at another revision than expected.
fn found_owner_revision(
    pool: &Pool,
    shard: usize,
    found: &[(Table, StoredRow)],
    ctx: &Ctx<'_>,
) -> Option<Revision> {
    let expected = pool.ownership.as_ref()?.owner_revisions[shard];
    let mut rows = found.iter().map(|(_, row)| row);
    let row = rows.find(|row| row.key == OWNER_KEY)?;
    let is_ours = row.revision != expected && conflict::is_ours(&pool.lease, ctx.me, row);
    is_ours.then_some(row.revision)
}

/// Takes the epoch from the owner row as read, and returns whether the row is this owner's. The answer to the claim may
/// have named a newer revision than the row has, and no guard on that revision would ever hold.
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
        // Answers to renewals in flight name the previous epoch and are ignored.
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

/// Releases the pool in the store so that another entry can take it at once.
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
        writes: vec![owners_write(OWNER_KEY, rows::encode(&OwnerRow::default()))],
    };
    ctx.out.push(Effect::Release(tx));
    let decision = Decision::new(Code::PoolReleased, Subject::Pool, pool, "stopping");
    ctx.log(decision.with("epoch", epoch));
}

/// Drops the ownership of a pool that another entry owns now, together with the pool's in-memory state.
pub fn lose_ownership(pool: &mut Pool, why: &str, ctx: &mut Ctx<'_>) {
    let Some(mut ownership) = pool.ownership.take() else {
        return;
    };
    run_log::log_last_start_answers(&mut ownership, ctx);
    ctx.log(
        Decision::new(Code::PoolLost, Subject::Pool, &pool.name, why)
            .with("epoch", ownership.epoch),
    );
    // Timers that carry keys of the dropped state would act on other objects with the same keys if this entry regained
    // the pool.
    ctx.drop_timers(|timer| timer != Timer::Claim);
    ctx.set_timer(OWNER_LEASE_MS, Timer::Claim);
}
