//! Who owns a pool: one entry at a time, by a row of the store and a lease on it.
//!
//! The owner's row changes only when a pool changes hands; its revision is the epoch, which fences all
//! orders and guards all writes. The heartbeat is another row, so that renewals leave the epoch alone.
//! A taker writes only where the heartbeat has not changed since it saw it, a whole lease ago.

use std::collections::BTreeMap;

use super::hosts::ORDERS_APART_MS;
use super::limits::{
    CLAIM_OWNED_MS, CLAIM_SPREAD_MS, CLAIM_WEAK_MS, CPU_FULL_MILLI, OWNER_LEASE_MS,
    OWNER_MARGIN_MS, RENEW_MS, RENEW_SLOW_MS, SLOW_ANSWER_MS, TOLD_APART_MS, TX_RETRY_MS,
};
use super::rows::{self, BeatRow, OwnerRow, BEAT_KEY, OWNER_KEY};
use super::state::{Ctx, Effect, Pool, Tenure, Timer};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, Table, TxOutcome, Write};
use crate::util::fnv1a;

/// When the owner before a claim ordered hosts about, as far as it told.
#[derive(Clone, Debug, Default)]
pub struct FormerOrders {
    /// Hosts that it named in its last heartbeat, and the latest time of their orders.
    pub told_ms: BTreeMap<String, Millis>,
    /// It sent no order later than that.
    pub over_ms: Millis,
}

/// Who owns a pool, as this entry has seen.
#[derive(Clone, Debug, Default)]
pub struct Seat {
    /// The owner's row.
    pub owner: OwnerRow,
    /// Its revision: the epoch.
    pub epoch: Revision,
    /// The newest heartbeat.
    pub beat: BeatRow,
    /// Its revision.
    pub beat_revision: Revision,
    /// When this entry saw the newest heartbeat.
    pub beat_seen_ms: Millis,
    /// A claim of ours is out.
    pub is_claiming: bool,
    /// The owner before our claim; empty where it had left.
    pub claim_after: String,
    /// When that owner was last heard.
    pub claim_after_ms: Millis,
    /// When the first of our claims was sent whose fate is open.
    pub claim_open_ms: Option<Millis>,
    /// Epoch of our last tenure.
    pub held_epoch: Revision,
    /// Orders to hosts of the owner before our claim.
    pub former: FormerOrders,
    /// Start of our last renewal that was acknowledged.
    pub renewed_ms: Millis,
    /// A renewal of ours is out.
    pub is_renewing: bool,
    /// Count of our last heartbeat, and when it was sent.
    pub sent: (u64, Millis),
    /// When the next one is due; changes of jobs carry heartbeats, too.
    pub beat_due_ms: Millis,
    /// What the store took for the last one.
    pub answer_ms: Millis,
}

impl Seat {
    /// Until when this entry may send orders, if it owns the pool.
    pub fn until_ms(&self) -> Millis {
        self.renewed_ms + OWNER_LEASE_MS - OWNER_MARGIN_MS
    }

    /// What the owner that was heard last ordered hosts about.
    fn former_orders(&self) -> FormerOrders {
        let heard_ms = self.beat_seen_ms;
        let ordered = self.beat.ordered.iter();
        FormerOrders {
            told_ms: ordered
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

    /// Whether an earlier process of this entry owned the pool: it has ended, since this one runs.
    fn was_ours(&self, me: &str, nonce: u64) -> bool {
        self.owner.entry == me && self.owner.nonce != nonce
    }

    /// How long the pool has been without a living owner; nothing while it has one.
    fn vacant_since_ms(&self, now_ms: Millis) -> Option<Millis> {
        if self.owner.entry.is_empty() {
            return Some(self.beat_seen_ms);
        }
        let over_ms = self.beat_seen_ms + OWNER_LEASE_MS;
        (now_ms >= over_ms).then_some(over_ms)
    }
}

/// Takes in a change of the owners' table; says whether it shows that our own renewal was done.
pub fn observe(pool: &mut Pool, row: &StoredRow, now_ms: Millis) -> Result<bool, String> {
    let seat = &mut pool.seat;
    let Some(value) = &row.value else {
        return Ok(false);
    };
    let mut is_renewal = false;
    if row.key == OWNER_KEY && row.revision > seat.epoch {
        seat.owner = rows::decode(value)?;
        seat.epoch = row.revision;
        seat.beat_seen_ms = now_ms;
    }
    if row.key == BEAT_KEY && row.revision > seat.beat_revision {
        seat.beat = rows::decode(value)?;
        seat.beat_revision = row.revision;
        seat.beat_seen_ms = now_ms;
        let (count, sent_ms) = seat.sent;
        is_renewal = pool.tenure.is_some()
            && seat.beat.entry == seat.owner.entry
            && seat.beat.count == count;
        if is_renewal {
            // The answer to our renewal may be lost: the feed tells that it was done.
            seat.renewed_ms = seat.renewed_ms.max(sent_ms);
        }
    }
    Ok(is_renewal)
}

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
    if pool.tenure.is_some() || pool.seat.is_claiming || me.is_stopping {
        return;
    }
    // Nothing is claimed while the store is away; once it is back, everybody's stagger begins anew.
    let Some(store_since_ms) = me.store_since_ms else {
        return;
    };
    let now_ms = ctx.now.ms;
    if pool.seat.was_ours(ctx.me, me.nonce) {
        claim(pool, ctx, me.nonce);
        return;
    }
    let stagger_ms = me.stagger_ms(ctx.me, &pool.name);
    let vacant_since_ms = pool.seat.vacant_since_ms(now_ms);
    match vacant_since_ms.map(|since_ms| since_ms.max(store_since_ms)) {
        Some(since_ms) if now_ms >= since_ms + stagger_ms => claim(pool, ctx, me.nonce),
        Some(since_ms) => ctx.after(since_ms + stagger_ms - now_ms, Timer::Claim),
        None => {
            let over_ms = pool.seat.beat_seen_ms + OWNER_LEASE_MS;
            ctx.after(over_ms - now_ms + stagger_ms, Timer::Claim);
        }
    }
}

fn claim(pool: &mut Pool, ctx: &mut Ctx<'_>, nonce: u64) {
    let owner = OwnerRow {
        entry: ctx.me.to_string(),
        nonce,
    };
    let tx = RowTx {
        part: pool.name.clone(),
        guards: vec![
            guard(OWNER_KEY, pool.seat.epoch),
            guard(BEAT_KEY, pool.seat.beat_revision),
        ],
        writes: vec![
            write(OWNER_KEY, rows::encode(&owner)),
            write(BEAT_KEY, rows::encode(&beat(pool, ctx))),
        ],
    };
    pool.seat.is_claiming = true;
    pool.seat.claim_open_ms.get_or_insert(ctx.now.ms);
    pool.seat.claim_after = pool.seat.owner.entry.clone();
    pool.seat.claim_after_ms = pool.seat.beat_seen_ms;
    pool.seat.former = pool.seat.former_orders();
    ctx.out.push(Effect::Claim(ctx.pool, tx));
}

fn guard(key: &str, revision: Revision) -> Guard {
    Guard {
        table: Table::Owners,
        key: key.to_string(),
        revision,
    }
}

fn write(key: &str, value: Vec<u8>) -> Write {
    Write {
        table: Table::Owners,
        key: key.to_string(),
        value: Some(value),
    }
}

/// The guard that every write of an owner carries.
pub fn epoch_guard(epoch: u64) -> Guard {
    guard(OWNER_KEY, epoch)
}

fn beat(pool: &Pool, ctx: &Ctx<'_>) -> BeatRow {
    let book = pool.tenure.as_ref().and_then(|t| t.book.as_ref());
    let sizing = pool.tenure.as_ref().map(|t| &t.sizing);
    BeatRow {
        wanted: sizing.map_or(0, |s| s.wanted),
        needed: sizing.map_or(0, |s| s.needed),
        serving: sizing.map_or(0, |s| s.serving),
        ordered: ordered(pool, ctx.now.ms),
        times: book.map_or_else(|| pool.seat.beat.times.clone(), |b| b.times.clone()),
        entry: ctx.me.to_string(),
        cpu_milli: ctx.cpu_milli,
        count: pool.seat.beat.count + 1,
        waiting: book.map_or_else(|| pool.seat.beat.waiting.clone(), |b| b.waiting.clone()),
    }
}

/// Hosts that were ordered about of late, and how long ago: by this owner, or by the one that it claims after.
fn ordered(pool: &Pool, now_ms: Millis) -> BTreeMap<String, Millis> {
    let told_ms = match &pool.tenure {
        Some(tenure) => tenure.hosts.ordered_ms(now_ms),
        None => pool.seat.former_orders().told_ms,
    };
    let ages = told_ms.into_iter();
    ages.map(|(host, at_ms)| (host, now_ms.saturating_sub(at_ms)))
        .filter(|(_, age_ms)| *age_ms < ORDERS_APART_MS)
        .collect()
}

/// Settles a claim.
pub fn claimed(
    pool: &mut Pool,
    sent_ms: Millis,
    outcome: TxOutcome,
    me: &Claimant,
    ctx: &mut Ctx<'_>,
) {
    pool.seat.is_claiming = false;
    let nonce = me.nonce;
    let mut pause_ms = TX_RETRY_MS;
    match outcome {
        TxOutcome::Committed(revision) => begin(pool, revision, sent_ms, nonce, ctx),
        TxOutcome::Conflict(found) => {
            for (_, row) in &found {
                // An undecodable row was logged when the feed brought it.
                let _ = observe(pool, row, ctx.now.ms);
            }
            begin_if_claimed(pool, nonce, ctx);
            // Whatever earlier claim was on its way, its condition holds no more.
            pool.seat.claim_open_ms = None;
        }
        // In an outage the stagger since the pool became free is long over at every entry: the one with the most
        // room must still be the first when the store is back.
        TxOutcome::Refused | TxOutcome::Unknown => {
            pause_ms += me.stagger_ms(ctx.me, &pool.name);
        }
    }
    if pool.tenure.is_none() {
        ctx.after(pause_ms, Timer::Claim);
    }
}

/// Begins the tenure of a claim of ours that is seen in the store, its answer lost or still on its way.
pub fn begin_if_claimed(pool: &mut Pool, nonce: u64, ctx: &mut Ctx<'_>) {
    let seat = &pool.seat;
    let is_ours = seat.owner.entry == ctx.me && seat.owner.nonce == nonce;
    let is_begun = pool.tenure.is_some() || seat.epoch <= seat.held_epoch;
    let Some(sent_ms) = seat.claim_open_ms.filter(|_| is_ours && !is_begun) else {
        return;
    };
    begin(pool, seat.epoch, sent_ms, nonce, ctx);
}

fn begin(pool: &mut Pool, epoch: u64, sent_ms: Millis, nonce: u64, ctx: &mut Ctx<'_>) {
    pool.seat.claim_open_ms = None;
    if epoch <= pool.seat.held_epoch {
        // The feed was faster than the answer.
        return;
    }
    pool.seat.held_epoch = epoch;
    pool.offers.pending = None;
    pool.offers.unsure.clear();
    let silent_ms = sent_ms.saturating_sub(pool.seat.claim_after_ms);
    let why = format!("before: {:?}", pool.seat.claim_after);
    ctx.tell(
        Decision::new(Code::PoolOwned, Subject::Pool, &pool.name, why)
            .with("epoch", epoch)
            .with("silent_ms", silent_ms),
    );
    pool.seat.owner = OwnerRow {
        entry: ctx.me.to_string(),
        nonce,
    };
    pool.seat.epoch = epoch;
    pool.seat.renewed_ms = sent_ms;
    pool.seat.is_renewing = false;
    pool.tenure = Some(Tenure {
        epoch,
        book: None,
        batch: None,
        removing: Vec::new(),
        removable: Vec::new(),
        early: Vec::new(),
        began_ms: ctx.now.ms,
        duty: Default::default(),
        sizing: Default::default(),
        hosts: Default::default(),
    });
    ctx.out
        .push(Effect::Load(ctx.pool, epoch, pool.name.clone()));
    pool.seat.beat_due_ms = sent_ms + RENEW_MS;
    ctx.after(
        pool.seat.beat_due_ms.saturating_sub(ctx.now.ms),
        Timer::Renew,
    );
}

/// Renews the lease, if no heartbeat was sent of late.
pub fn renew(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let due_ms = pool.seat.beat_due_ms;
    if ctx.now.ms < due_ms {
        ctx.after(due_ms - ctx.now.ms, Timer::Renew);
        return;
    }
    send_beat(pool, ctx);
}

/// Tells soon what changed in the pool's needs, unless the store is slow: then it comes with the next
/// heartbeat, since each of its own would hold up changes of jobs.
pub fn tell(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    if pool.seat.answer_ms >= SLOW_ANSWER_MS {
        return;
    }
    let due_ms = pool.seat.sent.1 + TOLD_APART_MS;
    pool.seat.beat_due_ms = pool.seat.beat_due_ms.min(due_ms);
    ctx.after(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
}

fn send_beat(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(tenure) = &pool.tenure else { return };
    if pool.seat.is_renewing {
        return;
    }
    let epoch = tenure.epoch;
    let tx = RowTx {
        part: pool.name.clone(),
        guards: vec![epoch_guard(epoch)],
        writes: vec![next_beat(pool, ctx)],
    };
    pool.seat.is_renewing = true;
    ctx.out.push(Effect::Renew(ctx.pool, epoch, tx));
}

/// The write of the next heartbeat, which is sent now.
pub fn next_beat(pool: &mut Pool, ctx: &Ctx<'_>) -> Write {
    let write = write(BEAT_KEY, rows::encode(&beat(pool, ctx)));
    pool.seat.beat.count += 1;
    pool.seat.sent = (pool.seat.beat.count, ctx.now.ms);
    // Behind one that a slow store has not answered yet, the next would only wait.
    let pause_ms = (pool.seat.answer_ms * 3 / 2).clamp(RENEW_MS, RENEW_SLOW_MS);
    pool.seat.beat_due_ms = ctx.now.ms + pause_ms;
    write
}

/// Settles a renewal; says whether the pool is lost.
pub fn renewed(pool: &mut Pool, sent_ms: Millis, outcome: TxOutcome, ctx: &mut Ctx<'_>) -> bool {
    pool.seat.is_renewing = false;
    match outcome {
        TxOutcome::Committed(_) => {
            pool.seat.note_renewed(sent_ms, ctx.now.ms);
            let due_ms = pool.seat.beat_due_ms;
            ctx.after(due_ms.saturating_sub(ctx.now.ms), Timer::Renew);
            false
        }
        TxOutcome::Conflict(_) => true,
        TxOutcome::Refused | TxOutcome::Unknown => {
            pool.seat.beat_due_ms = ctx.now.ms;
            ctx.after(TX_RETRY_MS, Timer::Renew);
            false
        }
    }
}

/// Gives the pool up in the store, so that another may take it at once.
pub fn release(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(tenure) = pool.tenure.take() else {
        return;
    };
    let tx = RowTx {
        part: pool.name.clone(),
        guards: vec![epoch_guard(tenure.epoch)],
        writes: vec![write(OWNER_KEY, rows::encode(&OwnerRow::default()))],
    };
    ctx.out.push(Effect::Release(tx));
    ctx.tell(
        Decision::new(Code::PoolReleased, Subject::Pool, &pool.name, "stopping")
            .with("epoch", tenure.epoch),
    );
}

/// Drops the books of a pool that another entry owns now.
pub fn lose(pool: &mut Pool, why: &str, ctx: &mut Ctx<'_>) {
    let Some(tenure) = pool.tenure.take() else {
        return;
    };
    ctx.tell(
        Decision::new(Code::PoolLost, Subject::Pool, &pool.name, why).with("epoch", tenure.epoch),
    );
    ctx.after(OWNER_LEASE_MS, Timer::Claim);
}
