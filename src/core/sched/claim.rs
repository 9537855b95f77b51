//! How an entry becomes a pool's owner: it claims the first shard, which settles who takes the pool, then all others.
//!
//! Claims are staggered, so that seldom two entries try at once and those with processor time to spare come first. See
//! [`owner_lease`](super::owner_lease) for what a claim may rest on.

use super::limits::{
    CLAIM_OWNED_MS, CLAIM_SPREAD_MS, CLAIM_WEAK_MS, CPU_FULL_MILLI, OWNER_LEASE_MS, RENEW_MS,
    TX_RETRY_MS,
};
use super::owner_lease::{guard, heartbeat, observe, send_release, write, Claim, OwnerLease};
use super::rows::{self, shard_part, OwnerRow, HEARTBEAT_KEY, OWNER_KEY, SHARDS};
use super::state::{Ctx, Effect, Ownership, Pool, Timer};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Revision, RowTx, TxOutcome};
use crate::util::fnv1a;

/// A fixed spread of entries over pools.
fn spread_ms(me: &str, pool: &str) -> Millis {
    (fnv1a(me.bytes().chain(pool.bytes())) >> 32) % CLAIM_SPREAD_MS
}

/// The entry that may claim a pool.
#[derive(Clone, Copy, Debug)]
pub struct Claimant {
    /// Pools that it owns.
    pub owned: usize,
    /// Thousandths of a core that it may use.
    pub cpu_milli: u64,
    /// The same of the strongest owner that was heard; nothing before the first.
    pub strongest_milli: Option<u64>,
    /// Since when the store answers; nothing while it does not.
    pub store_since_ms: Option<Millis>,
    /// It knows a configuration.
    pub is_configured: bool,
    /// It was told to stop.
    pub is_stopping: bool,
    /// Tells its claims from those of an earlier process.
    pub nonce: u64,
}

impl Claimant {
    /// How much later it claims than an entry that owns nothing and has processor time enough.
    fn handicap_ms(&self) -> Millis {
        let full_milli = self.strongest_milli.unwrap_or(CPU_FULL_MILLI).max(1);
        let lacking = full_milli.saturating_sub(self.cpu_milli);
        let weak_ms = lacking * CLAIM_WEAK_MS / full_milli;
        weak_ms + self.owned as Millis * CLAIM_OWNED_MS
    }

    /// How long it waits with a claim on a pool that is free.
    fn stagger_ms(&self, entry: &str, pool: &str) -> Millis {
        spread_ms(entry, pool) + self.handicap_ms()
    }
}

/// Claims the pool if it has had no living owner for long enough; else looks again when it may.
pub fn consider(pool: &mut Pool, me: &Claimant, ctx: &mut Ctx<'_>) {
    if pool.ownership.is_some() || me.is_stopping {
        return;
    }
    // Without a configuration, an owner knows neither quotas nor attempts nor which hosts are off.
    if !me.is_configured {
        return;
    }
    // Nothing is claimed while the store is away; once it is back, everybody's stagger begins anew.
    let Some(store_since_ms) = me.store_since_ms else {
        return;
    };
    if pool.lease.claim.is_some() {
        claim_others(pool, me.nonce, ctx);
        return;
    }
    if pool.lease.shards[0].is_claiming {
        return;
    }
    let now_ms = ctx.now.ms;
    if pool.lease.was_ours(ctx.me, me.nonce) {
        claim(pool, ctx, me.nonce);
        return;
    }
    let stagger_ms = me.stagger_ms(ctx.me, &pool.name);
    let vacant_since_ms = pool.lease.vacant_since_ms(now_ms);
    match vacant_since_ms.map(|since_ms| since_ms.max(store_since_ms)) {
        Some(since_ms) if now_ms >= since_ms + stagger_ms => claim(pool, ctx, me.nonce),
        Some(since_ms) => ctx.after(since_ms + stagger_ms - now_ms, Timer::Claim),
        None => {
            let over_ms = pool.lease.heartbeat_seen_ms + OWNER_LEASE_MS;
            ctx.after(over_ms - now_ms + stagger_ms, Timer::Claim);
        }
    }
}

/// Claims the first shard, which settles who takes the pool.
fn claim(pool: &mut Pool, ctx: &mut Ctx<'_>, nonce: u64) {
    pool.lease.claim_open_ms.get_or_insert(ctx.now.ms);
    pool.lease.claim_after = pool.lease.owner.entry.clone();
    pool.lease.claim_after_heartbeat = pool.lease.shards[0].heartbeat_entry.clone();
    pool.lease.claim_from = pool.lease.shards[0].owner_revision;
    pool.lease.claim_after_ms = pool.lease.heartbeat_seen_ms;
    pool.lease.former = pool.lease.former_orders();
    send_claim(pool, 0, 0, nonce, ctx);
}

/// Claims the shards that are not won yet, each once its heartbeat is a lease old: the owner before may have renewed
/// there while the first shard was claimed.
fn claim_others(pool: &mut Pool, nonce: u64, ctx: &mut Ctx<'_>) {
    let Some(claim) = pool.lease.claim.clone() else {
        return;
    };
    for shard in 1..SHARDS {
        let lease = &pool.lease.shards[shard];
        if claim.owner_revisions[shard].is_some() || lease.is_claiming {
            continue;
        }
        let is_over = pool.lease.claim_after.is_empty() || pool.lease.claim_after == ctx.me;
        // One that had won the first shard only is not the owner before: that one may renew and send in the others.
        let has_left = is_over && lease.heartbeat_entry == pool.lease.claim_after_heartbeat;
        let over_ms = lease.heartbeat_seen_ms + OWNER_LEASE_MS;
        if !has_left && ctx.now.ms < over_ms {
            ctx.after(over_ms - ctx.now.ms, Timer::Claim);
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
            guard(OWNER_KEY, lease.owner_revision),
            guard(HEARTBEAT_KEY, lease.heartbeat_revision),
        ],
        writes: vec![
            write(OWNER_KEY, rows::encode(&owner)),
            write(HEARTBEAT_KEY, rows::encode(&heartbeat(pool, ctx))),
        ],
    };
    pool.lease.shards[shard].is_claiming = true;
    ctx.out.push(Effect::Claim(ctx.pool, shard, tx));
}

/// Settles the claim of a shard.
pub fn claimed(
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
        TxOutcome::Committed(revision) if shard == 0 => win(pool, revision, sent_ms, nonce, ctx),
        TxOutcome::Committed(revision) => win_other(&mut pool.lease, shard, revision),
        TxOutcome::Conflict(found) => {
            for (_, row) in &found {
                // An undecodable row was logged when the feed brought it.
                let _ = observe(pool, shard, row, ctx.now.ms);
            }
            begin_if_claimed(pool, nonce, ctx);
            if shard == 0 {
                // Whatever earlier claim was on its way, its condition holds no more.
                pool.lease.claim_open_ms = None;
            }
        }
        // In an outage the stagger since the pool became free is long over at every entry: the one with the most
        // room must still be the first when the store is back.
        TxOutcome::Refused | TxOutcome::Unknown if shard == 0 => {
            pause_ms += me.stagger_ms(ctx.me, &pool.name);
        }
        TxOutcome::Refused | TxOutcome::Unknown => {}
    }
    if me.is_stopping {
        give_up_claim(pool, ctx);
    }
    begin_if_won(pool, ctx);
    if pool.ownership.is_none() {
        ctx.after(pause_ms, Timer::Claim);
    }
}

/// Goes on with a claim of ours that is seen in the store, its answer lost or still on its way.
pub fn begin_if_claimed(pool: &mut Pool, nonce: u64, ctx: &mut Ctx<'_>) {
    let lease = &mut pool.lease;
    let is_ours = lease.is_ours(ctx.me, nonce);
    // Another entry has claimed the first shard since.
    lease.claim = lease
        .claim
        .take()
        .filter(|claim| is_ours && claim.epoch == lease.epoch);
    let is_begun = pool.ownership.is_some() || lease.epoch <= lease.held_epoch;
    if let Some(sent_ms) = lease.claim_open_ms.filter(|_| is_ours && !is_begun) {
        win(pool, pool.lease.epoch, sent_ms, nonce, ctx);
    }
    begin_if_won(pool, ctx);
}

/// The first shard is won: claims the others.
fn win(pool: &mut Pool, epoch: Revision, sent_ms: Millis, nonce: u64, ctx: &mut Ctx<'_>) {
    let lease = &mut pool.lease;
    lease.claim_open_ms = None;
    let is_ours = lease.is_ours(ctx.me, nonce);
    if lease.epoch > lease.claim_from && !is_ours {
        // The claim's condition was the row before: whoever is seen behind that has replaced it since, whatever revision
        // the answer tells.
        return;
    }
    let is_known = lease
        .claim
        .as_ref()
        .is_some_and(|claim| claim.epoch >= epoch);
    if epoch <= lease.held_epoch || epoch < lease.epoch || is_known {
        // The feed was faster than the answer.
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
    claim_others(pool, nonce, ctx);
}

/// Another shard than the first is won, unless a later claim is known: the feed may be faster than an answer.
fn win_other(lease: &mut OwnerLease, shard: usize, revision: Revision) {
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
fn begin_if_won(pool: &mut Pool, ctx: &mut Ctx<'_>) {
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
        begin(pool, epoch, owner_revisions, sent_ms, ctx);
    }
}

fn begin(
    pool: &mut Pool,
    epoch: u64,
    owner_revisions: [Revision; SHARDS],
    sent_ms: Millis,
    ctx: &mut Ctx<'_>,
) {
    pool.lease.held_epoch = epoch;
    pool.offers.pending = None;
    pool.offers.unsure.clear();
    let silent_ms = sent_ms.saturating_sub(pool.lease.claim_after_ms);
    let why = format!("before: {:?}", pool.lease.claim_after);
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
        early: Vec::new(),
        began_ms: ctx.now.ms,
        waves: Default::default(),
        quota: Default::default(),
        sizing: Default::default(),
        hosts: Default::default(),
    });
    ctx.out
        .push(Effect::Load(ctx.pool, epoch, pool.name.clone()));
    pool.lease.heartbeat_due_ms = sent_ms + RENEW_MS;
    ctx.after(
        pool.lease.heartbeat_due_ms.saturating_sub(ctx.now.ms),
        Timer::Renew,
    );
}

/// Gives up a claim that won the first shard, by an entry that is to stop.
fn give_up_claim(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    if let Some(claim) = pool.lease.claim.take() {
        pool.lease.held_epoch = claim.epoch;
        send_release(&pool.name, claim.epoch, ctx);
    }
}
