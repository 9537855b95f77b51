//! Claims of pools: how an entry becomes a pool's owner.
//!
//! An entry claims the first shard, which settles who takes the pool, then all others. Claims are staggered so that two
//! entries rarely try at once and entries with spare processor time go first. See [`owner_lease`](super::owner_lease)
//! for the conditions that a claim depends on. The reducer calls this module on timers, answers and changes of the
//! owner rows.

use super::limits::{
    CLAIM_OWNED_MS, CLAIM_SPREAD_MS, CLAIM_WEAK_MS, CPU_FULL_MILLI, OWNER_LEASE_MS, RENEW_MS,
    TX_RETRY_MS,
};
use super::owner_lease::{
    heartbeat_row, observe, owners_guard, owners_write, send_release, Claim, OwnerLease,
};
use super::rows::{self, shard_part, OwnerRow, HEARTBEAT_KEY, OWNER_KEY, SHARDS};
use super::state::{Ctx, Effect, Ownership, Pool, Timer};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Revision, RowTx, TxOutcome};
use crate::util::fnv1a;

/// Returns a delay that is fixed for an entry and a pool, and spreads the claims of different entries.
fn spread_ms(me: &str, pool: &str) -> Millis {
    (fnv1a(me.bytes().chain(pool.bytes())) >> 32) % CLAIM_SPREAD_MS
}

/// This entry as one that may claim pools.
#[derive(Clone, Copy, Debug)]
pub struct Claimant {
    /// Number of pools that the entry owns.
    pub owned_pools: usize,
    /// Processor time that the entry may use, in thousandths of a core.
    pub cpu_milli: u64,
    /// Largest `cpu_milli` in the heartbeats seen; `None` before the first heartbeat.
    pub strongest_cpu_milli: Option<u64>,
    /// Since when the store has been answering; `None` while it does not answer.
    pub store_since_ms: Option<Millis>,
    /// Whether the entry follows the owners. Without that, it can't tell which pools are vacant.
    pub follows_owners: bool,
    /// Whether the entry has adopted a configuration.
    pub is_configured: bool,
    /// Whether the process was told to stop.
    pub is_stopping: bool,
    /// Distinguishes this process's claims from those of an earlier process of the entry.
    pub nonce: u64,
}

impl Claimant {
    /// Returns how much later the entry claims than one that owns nothing and has enough processor time.
    fn extra_delay_ms(&self) -> Millis {
        self.weak_delay_ms() + self.owned_pools as Millis * CLAIM_OWNED_MS
    }

    /// Returns how much later the entry claims than one that has enough processor time.
    pub(super) fn weak_delay_ms(&self) -> Millis {
        let full_milli = self.strongest_cpu_milli.unwrap_or(CPU_FULL_MILLI).max(1);
        let lacking = full_milli.saturating_sub(self.cpu_milli);
        lacking * CLAIM_WEAK_MS / full_milli
    }

    /// Returns how long the entry waits before it claims a vacant pool.
    fn stagger_ms(&self, entry: &str, pool: &str) -> Millis {
        spread_ms(entry, pool) + self.extra_delay_ms()
    }
}

/// Claims the pool if it has been without a live owner for long enough, else schedules the next check.
pub fn claim_if_vacant(pool: &mut Pool, me: &Claimant, ctx: &mut Ctx<'_>) {
    if pool.ownership.is_some() || me.is_stopping || !me.follows_owners {
        return;
    }
    // Without a configuration, an owner does not know quotas, attempt limits or which hosts are disabled.
    if !me.is_configured {
        return;
    }
    // Nothing is claimed while the store does not answer. Once it answers again, every entry's stagger starts anew.
    let Some(store_since_ms) = me.store_since_ms else {
        return;
    };
    if pool.lease.claim.is_some() {
        claim_other_shards(pool, me.nonce, ctx);
        return;
    }
    if pool.lease.shards[0].is_claiming {
        return;
    }
    let now_ms = ctx.now.ms;
    if pool.lease.was_ours(ctx.me, me.nonce) {
        claim_first_shard(pool, ctx, me.nonce);
        return;
    }
    let stagger_ms = me.stagger_ms(ctx.me, &pool.name);
    let vacant_since_ms = pool.lease.vacant_since_ms(now_ms);
    match vacant_since_ms.map(|since_ms| since_ms.max(store_since_ms)) {
        Some(since_ms) if now_ms >= since_ms + stagger_ms => claim_first_shard(pool, ctx, me.nonce),
        Some(since_ms) => ctx.set_timer(since_ms + stagger_ms - now_ms, Timer::Claim),
        None => {
            let over_ms = pool.lease.heartbeat_seen_ms + OWNER_LEASE_MS;
            ctx.set_timer(over_ms - now_ms + stagger_ms, Timer::Claim);
        }
    }
}

/// Claims the first shard, which settles who takes the pool.
fn claim_first_shard(pool: &mut Pool, ctx: &mut Ctx<'_>, nonce: u64) {
    pool.lease.unsettled_claim_ms.get_or_insert(ctx.now.ms);
    pool.lease.former_owner = pool.lease.owner.entry.clone();
    pool.lease.former_heartbeat_entry = pool.lease.shards[0].heartbeat_entry.clone();
    pool.lease.former_owner_revision = pool.lease.shards[0].owner_revision;
    pool.lease.former_seen_ms = pool.lease.heartbeat_seen_ms;
    pool.lease.former_store_ms = pool.lease.heartbeat.store_ms;
    pool.lease.former_host_orders = pool.lease.former_orders();
    send_claim(pool, 0, 0, nonce, ctx);
}

/// Claims the shards that are not won yet, each once its heartbeat is a whole lease old, or at once if the previous
/// owner has left. Otherwise the previous owner may have renewed there while the first shard was claimed.
fn claim_other_shards(pool: &mut Pool, nonce: u64, ctx: &mut Ctx<'_>) {
    let Some(claim) = pool.lease.claim.clone() else {
        return;
    };
    for shard in 1..SHARDS {
        let lease = &pool.lease.shards[shard];
        if claim.owner_revisions[shard].is_some() || lease.is_claiming {
            continue;
        }
        let is_over = pool.lease.former_owner.is_empty() || pool.lease.former_owner == ctx.me;
        // The entry that left may have won only the first shard. The owner before that entry may still renew in the
        // other shards and send orders, and the heartbeat there is then not from the entry that left.
        let has_left = is_over && lease.heartbeat_entry == pool.lease.former_heartbeat_entry;
        let over_ms = lease.heartbeat_seen_ms + OWNER_LEASE_MS;
        if !has_left && ctx.now.ms < over_ms {
            ctx.set_timer(over_ms - ctx.now.ms, Timer::Claim);
            continue;
        }
        send_claim(pool, shard, claim.epoch, nonce, ctx);
    }
}

fn send_claim(pool: &mut Pool, shard: usize, epoch: Revision, nonce: u64, ctx: &mut Ctx<'_>) {
    let owner = OwnerRow {
        entry: ctx.me.to_string(),
        nonce,
        epoch,
    };
    let lease = &pool.lease.shards[shard];
    let tx = RowTx {
        part: shard_part(&pool.name, shard),
        guards: vec![
            owners_guard(OWNER_KEY, lease.owner_revision),
            owners_guard(HEARTBEAT_KEY, lease.heartbeat_revision),
        ],
        writes: vec![
            owners_write(OWNER_KEY, rows::encode(&owner)),
            owners_write(HEARTBEAT_KEY, rows::encode(&heartbeat_row(pool, ctx))),
        ],
    };
    pool.lease.shards[shard].is_claiming = true;
    ctx.out.push(Effect::Claim(ctx.pool, shard, tx));
}

/// Handles the answer to a claim of a shard.
pub fn settle_claim(
    pool: &mut Pool,
    shard: usize,
    sent_ms: Millis,
    outcome: TxOutcome,
    me: &Claimant,
    ctx: &mut Ctx<'_>,
) {
    pool.lease.shards[shard].is_claiming = false;
    let nonce = me.nonce;
    let mut pause_ms = TX_RETRY_MS;
    match outcome {
        TxOutcome::Committed(revision) if shard == 0 => {
            win_first_shard(pool, revision, sent_ms, nonce, ctx)
        }
        TxOutcome::Committed(revision) => win_other_shard(&mut pool.lease, shard, revision),
        TxOutcome::Conflict(found) => {
            for (_, row) in &found {
                // An undecodable row was already logged when the feed brought it.
                let _ = observe(pool, shard, row, ctx.now.ms);
            }
            resume_claim_if_ours(pool, nonce, ctx);
            if shard == 0 {
                // Any earlier claim still in flight fails, since its guard no longer holds.
                pool.lease.unsettled_claim_ms = None;
            }
        }
        // After an outage, the stagger since the pool became free has passed at every entry. The entry with the most
        // spare capacity must still be first when the store is back.
        TxOutcome::Refused | TxOutcome::Unknown if shard == 0 => {
            pause_ms += me.stagger_ms(ctx.me, &pool.name);
        }
        TxOutcome::Refused | TxOutcome::Unknown => {}
    }
    if me.is_stopping {
        give_up_claim(pool, ctx);
    }
    begin_ownership_if_won(pool, ctx);
    if pool.ownership.is_none() {
        ctx.set_timer(pause_ms, Timer::Claim);
    }
}

/// Continues a claim that the feed shows in the store while its answer is lost or still in flight.
pub fn resume_claim_if_ours(pool: &mut Pool, nonce: u64, ctx: &mut Ctx<'_>) {
    let lease = &mut pool.lease;
    let is_ours = lease.is_ours(ctx.me, nonce);
    // Drops the claim if another entry has claimed the first shard since.
    lease.claim = lease
        .claim
        .take()
        .filter(|claim| is_ours && claim.epoch == lease.epoch);
    let is_begun = pool.ownership.is_some() || lease.epoch <= lease.held_epoch;
    if let Some(sent_ms) = lease.unsettled_claim_ms.filter(|_| is_ours && !is_begun) {
        win_first_shard(pool, pool.lease.epoch, sent_ms, nonce, ctx);
    }
    begin_ownership_if_won(pool, ctx);
}

/// Records that the first shard is won, and claims the others.
fn win_first_shard(
    pool: &mut Pool,
    epoch: Revision,
    sent_ms: Millis,
    nonce: u64,
    ctx: &mut Ctx<'_>,
) {
    let lease = &mut pool.lease;
    lease.unsettled_claim_ms = None;
    let is_ours = lease.is_ours(ctx.me, nonce);
    if lease.epoch > lease.former_owner_revision && !is_ours {
        // The claim was conditional on the previous owner row, so an owner seen at a later revision has replaced this
        // claim, whatever revision the answer names.
        return;
    }
    let is_known = lease
        .claim
        .as_ref()
        .is_some_and(|claim| claim.epoch >= epoch);
    if epoch <= lease.held_epoch || epoch < lease.epoch || is_known {
        // The feed brought the claim's row before the answer arrived.
        return;
    }
    lease.owner = OwnerRow {
        entry: ctx.me.to_string(),
        nonce,
        epoch: 0,
    };
    lease.epoch = epoch;
    lease.shards[0].owner_revision = epoch;
    lease.shards[0].heartbeat_revision = epoch.max(lease.shards[0].heartbeat_revision);
    let mut owner_revisions = [None; SHARDS];
    owner_revisions[0] = Some(epoch);
    lease.claim = Some(Claim {
        epoch,
        sent_ms,
        owner_revisions,
    });
    claim_other_shards(pool, nonce, ctx);
}

/// Records that another shard than the first is won, unless a later claim is known, since the feed may be faster than
/// an answer.
fn win_other_shard(lease: &mut OwnerLease, shard: usize, revision: Revision) {
    let won = &mut lease.shards[shard];
    if revision < won.owner_revision {
        return;
    }
    won.owner_revision = revision;
    won.heartbeat_revision = won.heartbeat_revision.max(revision);
    if let Some(claim) = lease.claim.as_mut().filter(|c| revision > c.epoch) {
        claim.owner_revisions[shard] = Some(revision);
    }
}

/// Begins the ownership once all shards are won.
fn begin_ownership_if_won(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(claim) = &pool.lease.claim else {
        return;
    };
    let won: Vec<Revision> = claim.owner_revisions.iter().flatten().copied().collect();
    let Ok(owner_revisions) = <[Revision; SHARDS]>::try_from(won) else {
        return;
    };
    let (epoch, sent_ms) = (claim.epoch, claim.sent_ms);
    pool.lease.claim = None;
    if pool.ownership.is_none() {
        begin_ownership(pool, epoch, owner_revisions, sent_ms, ctx);
    }
}

fn begin_ownership(
    pool: &mut Pool,
    epoch: u64,
    owner_revisions: [Revision; SHARDS],
    sent_ms: Millis,
    ctx: &mut Ctx<'_>,
) {
    pool.lease.held_epoch = epoch;
    pool.offers.pending = None;
    pool.offers.unsure.clear();
    let silent_ms = sent_ms.saturating_sub(pool.lease.former_seen_ms);
    let why = format!("previous owner: {:?}", pool.lease.former_owner);
    ctx.log(
        Decision::new(Code::PoolOwned, Subject::Pool, &pool.name, why)
            .with("epoch", epoch)
            .with("silent_ms", silent_ms),
    );
    pool.lease.renewed_ms = sent_ms;
    for shard in &mut pool.lease.shards {
        shard.is_renewing = false;
        shard.unanswered_ms = None;
    }
    pool.ownership = Some(Ownership {
        epoch,
        owner_revisions,
        pool_state: None,
        readings: 0,
        batches: Default::default(),
        first_shards: Default::default(),
        removing: None,
        removable: Vec::new(),
        early_intake: Vec::new(),
        began_ms: ctx.now.ms,
        waves: Default::default(),
        quota: Default::default(),
        sizing: Default::default(),
        hosts: Default::default(),
    });
    ctx.out
        .push(Effect::Load(ctx.pool, epoch, pool.name.clone()));
    pool.lease.heartbeat_due_ms = sent_ms + RENEW_MS;
    ctx.set_timer(
        pool.lease.heartbeat_due_ms.saturating_sub(ctx.now.ms),
        Timer::Renew,
    );
}

/// Releases a pool whose first shard is won but whose ownership has not begun, when the entry is stopping.
fn give_up_claim(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    if let Some(claim) = pool.lease.claim.take() {
        pool.lease.held_epoch = claim.epoch;
        send_release(&pool.name, claim.epoch, ctx);
    }
}
