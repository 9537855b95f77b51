//! Times and bounds of scheduling, each with its unit and where the figure comes from.

use crate::clock::Millis;

/// An owner that renewed nothing for so long may be replaced. Measured: see docs/MEASURES.md.
pub const OWNER_LEASE_MS: Millis = 1_800;

/// An owner stops sending so long before its lease ends: an order's way out plus a late timer.
pub const OWNER_MARGIN_MS: Millis = 250;

/// An owner renews so often: three tries fit into its lease.
pub const RENEW_MS: Millis = 400;

/// The same with a slow store: two tries fit into the lease.
pub const RENEW_SLOW_MS: Millis = 800;

/// Heartbeats that only tell a change of needs are so far apart at the least: what changes jobs tells it, too.
pub const HEARTBEAT_MIN_GAP_MS: Millis = 100;

/// A store that takes longer than that is slow: it answers in 5 to 15 ms, and in 285 on the users' slow days.
pub const SLOW_ANSWER_MS: Millis = 100;

/// For one sending of a transaction to a store that answers as it should; an outage is told from a slow answer
/// by repeating it.
pub const TX_TIMEOUT_MS: Millis = 800;

/// The same for the slowest store: on the users' slow days an answer takes 540 ms, and three may wait in turn.
pub const TX_TIMEOUT_MAX_MS: Millis = 2_400;

/// For a write that can go to another partition, too: twenty answers of a store that answers as it should.
pub const INTAKE_TIMEOUT_MS: Millis = 250;

/// Pause before a transaction that was refused or lost is sent again.
pub const TX_RETRY_MS: Millis = 60;

/// Spread of entries that want the same pool, so that seldom two try at once: ten answers of the store.
pub const CLAIM_SPREAD_MS: Millis = 120;

/// Added for each pool already owned, so that owners spread over entries.
pub const CLAIM_OWNED_MS: Millis = 150;

/// An entry with so much processor time can own any pool of the users' sites (an owner of 85 workers used
/// 120 of 1,000 at its peak); those with less claim later.
pub const CPU_FULL_MILLI: u64 = 250;

/// Added to the claim of an entry without any processor time; in proportion for those that have less than the
/// strongest that was heard. More than strong ones take to notice that a store is back (1 s) and wait as owners of
/// several pools. One day of 350 workers came to a worth of 0.08 and 0.10 where entries of an eighth of a core owned pools
/// of 85, and of 0.25 and 0.26 where such of half a core did.
pub const CLAIM_WEAK_MS: Millis = 2_500;

/// Changes of jobs are gathered for so long before they are committed: four answers of the store. Each call is
/// priced; 25 ms gained nothing more.
pub const GATHER_MS: Millis = 16;

/// A shard whose call was not answered for so long, or twice as long as the store took last, is passed over: answers
/// come in 5 to 15 ms, and an owner must renew in another one within its lease.
pub const SHARD_LATE_MS: Millis = 150;

/// A shard that refused or lost a call is passed over for so long, then tried again.
pub const SHARD_PAUSE_MS: Millis = 500;

/// An entry that was told to stop gives its pools up after so long, recorded or not: most answers of a store that takes
/// writes in turn come within 300 ms, and a pool without an owner starts nothing.
pub const STOP_RECORD_MS: Millis = 500;

/// New jobs go to another shard while one has been busy with a batch for so long: twenty answers of a good store, and
/// a third of one that takes writes in turn.
pub const SHARD_BUSY_MS: Millis = 100;

/// Most jobs in one transaction; with the owner's row it stays under the store's 100 entries.
pub const BATCH_JOBS: usize = 40;

/// Lease that is given to workers: survives an owner's end and a takeover (2.3 s and a hold).
pub const WORKER_LEASE_MS: Millis = 4_500;

/// Longest lease that a worker takes: the platform's workers cut longer ones to 6 or 10 s.
pub const WORKER_LEASE_MAX_MS: Millis = 10_000;

/// A worker that was heard so lately is still in the same life: on the users' sites a crashed one is back after 0.3 s at the
/// soonest.
pub const SAME_LIFE_MS: Millis = 250;

/// The id of a worker that was dropped is known for so long: orders to it may be carried out seconds later.
pub const DROPPED_KEPT_MS: Millis = 60_000;

/// Workers' clocks may run slow by 2%.
pub const CLOCK_SLOW_PERCENT: u64 = 2;

/// Added to the end of a worker's lease before its runs count as over.
pub const LEASE_SLACK_MS: Millis = 150;

/// Longest time for which an order that was meant for an earlier life keeps runs alive on a later one: it names a moment on the
/// earlier life's clock, which may be far ahead on the later one's.
pub const STRAY_LEASE_MS: Millis =
    WORKER_LEASE_MAX_MS * 100 / (100 - CLOCK_SLOW_PERCENT) + LEASE_SLACK_MS;

/// A life that began so long ago is past all such orders: twice [`WORKER_LEASE_MAX_MS`], since wall clocks differ by seconds.
pub const YOUNG_LIFE_MS: Millis = 2 * WORKER_LEASE_MAX_MS;

/// How long a worker with work may keep a hold open waiting for an end.
pub const RENEWAL_WAIT_MS: Millis = 1_000;

/// The same for a worker without work; less than half of its lease.
pub const RENEWAL_IDLE_WAIT_MS: Millis = 2_000;

/// A worker whose ends can't be recorded is held all the same after so long, and its ends stay unseen: its lease of
/// 4.5 s allows three tries.
pub const RECORDING_WAIT_MS: Millis = 1_000;

/// On top of the wait, for the way there and back.
pub const RENEWAL_SLACK_MS: Millis = 500;

/// What was sent to a worker's former address has been answered or given up by then: the longest hold.
pub const ADDRESS_SETTLED_MS: Millis = RENEWAL_IDLE_WAIT_MS + RENEWAL_SLACK_MS;

/// Pause before a worker that did not answer is asked again.
pub const RENEWAL_RETRY_MS: Millis = 250;

/// For one sending of an order to a worker.
pub const ORDER_TIMEOUT_MS: Millis = 400;

/// Pause before an unanswered order is sent again.
pub const ORDER_RETRY_MS: Millis = 50;

/// Tasks that failed on a worker, with none done in between, after which it gets no more for a while.
pub const FAILS_IN_A_ROW: u32 = 3;

/// How long such a worker is left alone; doubles with each repetition up to [`SUSPEND_MAX_MS`].
pub const SUSPEND_MS: Millis = 1_500;

/// Longest time that a failing worker is left alone: shorter than a grey phase lasts on trial days.
pub const SUSPEND_MAX_MS: Millis = 6_000;

/// A run that was started so long before its worker crashed is not to blame: such tasks bring a worker down 10 ms after
/// their start, and an owner at its peak hears of that up to 100 ms later.
pub const FRESH_MS: Millis = 250;

/// A run whose worker was heard so long after its start has outlived that: the start of what lasts takes 0.7 s.
pub const YOUNG_MS: Millis = 1_000;

/// A task that lasts and is shown after so long has outlived its start, also where it does not say that it is at work: on
/// slow workers a start takes 5 s.
pub const SOUND_MS: Millis = 5_000;

/// A hold that was sent so soon after the account before it leaves no gap in which an end could come unheard: ends wait
/// for their record in between, which a store that answers as it should has by then.
pub const HEARD_ON_MS: Millis = 100;

/// Workers that crashed as they had just started a task, on the second of which its job is given up: each costs its
/// host for 3.4 s, and the platform allows five starts.
pub const BLAMED_MAX: u8 = 2;

/// Weight of a crash that is certain, where one that is only likely weighs 1.
pub const CRASHED_WEIGHT: u8 = 3;

/// Weight of crashes from which a task is given up: three, or two and two that are likely. The platform allows two starts
/// more, and an order that was held up may be one of them.
pub const CRASHER_WEIGHT: u8 = 8;

/// The same after [`LIKELY_MAX`] ends: two, or one and two that are likely.
pub const LIKELY_WEIGHT: u8 = 5;

/// The same after the starts that the platform allows past the third end, however those ended.
pub const STARTED_OUT_WEIGHT: u8 = 4;

/// The same after [`ENDED_MAX`] ends. With 4 in place of 3 there were 5 in place of 1 sixth starts in 1,501 worlds with
/// such tasks, of 2 jobs that were given up for nothing none less.
pub const ENDED_WEIGHT: u8 = 3;

/// Workers that certainly crashed under a task that lasts before it is left alone, with [`LIKELY_MAX`] that ended in any
/// way: where workers go down and up by turns, three ends may fall on one start after the other.
pub const LASTING_CRASHED_MAX: u8 = 3;

/// Starts after the third life that may have ended under a task: the platform allows two, however these runs end.
pub const PAST_THIRD_MAX: u32 = 2;

/// Lives that ended in any unplanned way under a task, after which [`LIKELY_WEIGHT`] is enough:
/// one start less than the platform allows.
pub const LIKELY_MAX: u8 = 4;

/// Lives that ended in any unplanned way under a task that is not known to have outlived its start there: the platform
/// allows five starts of a task that crashes workers. With [`ENDED_WEIGHT`] of crashes among them.
pub const ENDED_MAX: u8 = 5;

/// What lasts waits so long for its next start after two certain crashes; twice as long after each further one.
pub const PAUSE_MS: Millis = 1_250;

/// Its longest wait: the platform looks for it from 6 s after its last run.
pub const PAUSE_MAX_MS: Millis = 5_000;

/// No worker has crashed for so long: a crashed one's next life comes within 3.4 s.
pub const CALM_MS: Millis = 3_000;

/// What lasts waits no longer than that for a calm moment.
pub const HELD_MAX_MS: Millis = 60_000;

/// A suspect that finds no worker without another suspect goes beside one after so long: an account comes within a second.
pub const APART_MS: Millis = 1_000;

/// A worker that refused for want of room gets nothing for so long: its account comes with a hold.
pub const FULL_PAUSE_MS: Millis = 200;

/// Most waiting tasks that one round of placement looks at from the first one on. Once each [`RESORT_MS`] it looks at as many of
/// those behind them, by turns: of n tasks each is looked at within n / 400 times that.
pub const PLACE_SCAN_MAX: usize = 400;

/// Past so many times its objective a job earns nothing and waits behind others.
pub const HOPELESS_FACTOR: u64 = 3;

/// So many core-milliseconds of work put a job back by one millisecond among those in time. Measured: see
/// docs/MEASURES.md.
pub const WORK_PER_MS: u64 = 3;

/// Longest that work puts a job back.
pub const WEIGHT_MAX_MS: Millis = 8_000;

/// How often waiting tasks are sorted anew.
pub const RESORT_MS: Millis = 250;

/// Most jobs whose rows are removed in one transaction: two rows each, of 100 that the store takes.
pub const REMOVED_JOBS: usize = 45;

/// How often old jobs are looked for: a part of intake each time, 64 in 16 s.
pub const REMOVE_MS: Millis = 250;

/// Finished jobs leave the store after so long (the platform's pages ask for 120 s).
pub const FINISHED_KEPT_MS: Millis = 150_000;

/// A job that left the store is known for so long, so that a row of it that was read before does not begin it anew. Parts of
/// intake are read in four rounds, each for 0.8 s a page at the most; 6,000 ids at 100 jobs a second.
pub const FORGOTTEN_KEPT_MS: Millis = 60_000;

/// The rate at which work comes is taken over so long: a peak's rise is seen before its queue is. Measured:
/// see docs/MEASURES.md.
pub const ARRIVALS_MS: Millis = 400;
