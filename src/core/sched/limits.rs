//! Time limits, periods and bounds of scheduling, each with the reason for its value.

use crate::clock::Millis;

/// An owner that has not renewed its lease for this long may be replaced. See docs/MEASURES.md.
pub const OWNER_LEASE_MS: Millis = 1_800;

/// An owner stops sending this long before its lease ends, which covers an order's way to its receiver and a late
/// timer.
pub const OWNER_MARGIN_MS: Millis = 250;

/// Interval of an owner's lease renewals. Three attempts fit into the lease.
pub const RENEW_MS: Millis = 400;

/// Interval of an owner's lease renewals while the store is slow. Two attempts fit into the lease.
pub const RENEW_SLOW_MS: Millis = 800;

/// Least time between heartbeats that only report a change of needs. Commits of job changes report it, too.
pub const HEARTBEAT_MIN_GAP_MS: Millis = 100;

/// A store that takes longer than this to answer is slow. It answers in 5 to 15 ms, and in 285 ms on the users' slow
/// days.
pub const SLOW_ANSWER_MS: Millis = 100;

/// Timeout of one attempt at a transaction while the store answers normally. Repeating it tells an outage from a slow
/// answer.
pub const TX_TIMEOUT_MS: Millis = 800;

/// Timeout of one attempt at a transaction with the slowest store. On the users' slow days an answer takes 540 ms, and
/// three may wait in turn.
pub const TX_TIMEOUT_MAX_MS: Millis = 2_400;

/// Timeout of a write that can also go to another partition: the time of twenty answers of a store that answers
/// normally.
pub const INTAKE_TIMEOUT_MS: Millis = 250;

/// Pause before a transaction that was refused or lost is sent again.
pub const TX_RETRY_MS: Millis = 60;

/// Range over which entries that want the same pool spread their claims, so that two rarely try at once: the time of
/// ten answers of the store.
pub const CLAIM_SPREAD_MS: Millis = 120;

/// Delay of a claim for each pool that the entry already owns, so that owners spread over the entries.
pub const CLAIM_OWNED_MS: Millis = 150;

/// An entry with this much processor time, in thousandths of a core, can own any pool of the users' sites: the owner of
/// a pool of 85 workers used 120 at its peak. An entry with less processor time claims later.
pub const CPU_FULL_MILLI: u64 = 250;

/// Delay of a claim by an entry without any processor time. An entry with less processor time than the strongest one
/// that it knows of is delayed in proportion. The delay must exceed the time in which strong entries notice that a
/// store is back (1 s) plus their delay as owners of several pools. A day of 350 workers had a value of 0.08 and 0.10
/// when entries with an eighth of a core owned pools of 85 workers, and of 0.25 and 0.26 when entries with half a core
/// did.
pub const CLAIM_WEAK_MS: Millis = 2_500;

/// Changes of jobs are gathered for this long before they are committed: the time of four answers of the store. Each
/// call is charged for, and gathering for 25 ms brought no further gain.
pub const GATHER_MS: Millis = 16;

/// A shard whose call has had no answer for this long, or for twice the store's last answer time if that is longer, is
/// skipped. Answers take 5 to 15 ms, and an owner must be able to renew in another shard within its lease.
pub const SHARD_LATE_MS: Millis = 150;

/// A shard that refused or lost a call is skipped for this long and then tried again.
pub const SHARD_PAUSE_MS: Millis = 500;

/// An entry that was told to stop releases its pools after this long even if changes are not recorded. Most answers of
/// a store that serializes writes come within 300 ms, and a pool without an owner starts nothing.
pub const STOP_RECORD_MS: Millis = 500;

/// New jobs go to another shard once a shard has been busy with a batch for this long: the time of twenty answers of a
/// normal store, and a third of the time that a store that serializes writes takes for one answer.
pub const SHARD_BUSY_MS: Millis = 100;

/// Most jobs in one transaction. With the owner's row, this stays below the store's limit of 100 entries.
pub const BATCH_JOBS: usize = 40;

/// Lease granted to workers. It outlasts an owner's end and a takeover, which together take 2.3 s and the time of one
/// renewal.
pub const WORKER_LEASE_MS: Millis = 4_500;

/// Longest lease that a worker accepts. The platform's workers cut longer ones to 6 or 10 s.
pub const WORKER_LEASE_MAX_MS: Millis = 10_000;

/// A worker that answered this recently is still the same instance. On the users' sites, a crashed worker is back after
/// 0.3 s at the earliest.
pub const SAME_INSTANCE_MS: Millis = 250;

/// The id of a removed worker is kept for this long, since orders to it may be carried out seconds later.
pub const DROPPED_KEPT_MS: Millis = 60_000;

/// Percentage by which workers' clocks may run slow.
pub const CLOCK_SLOW_PERCENT: u64 = 2;

/// Added to the end of a worker's lease before its runs count as over.
pub const LEASE_SLACK_MS: Millis = 150;

/// Longest time for which an order that was meant for an earlier instance keeps runs alive on a later one. The order
/// names a moment on the earlier instance's clock, which may be far ahead of the later one's.
pub const STRAY_LEASE_MS: Millis =
    WORKER_LEASE_MAX_MS * 100 / (100 - CLOCK_SLOW_PERCENT) + LEASE_SLACK_MS;

/// Time after which an owner knows whether a recorded start was answered and its run reported: the slowest transaction, the
/// timeouts of an order and of a renewal, and the record of a start without either.
pub const START_SETTLED_MS: Millis = 6_000;

/// Longest time for which an order without an answer may still be carried out.
pub const ORDER_DELAY_MAX_MS: Millis = 12_000;

/// An instance that started this long ago can't be reached by orders that were meant for an earlier one: twice
/// [`WORKER_LEASE_MAX_MS`], since wall clocks differ by seconds.
pub const YOUNG_INSTANCE_MS: Millis = 2 * WORKER_LEASE_MAX_MS;

/// How long a worker with tasks may keep a renewal open while it waits for an end.
pub const RENEWAL_WAIT_MS: Millis = 1_000;

/// How long a worker without tasks may keep a renewal open. Less than half of its lease.
pub const RENEWAL_IDLE_WAIT_MS: Millis = 2_000;

/// A worker whose ends can't be recorded gets its lease renewed after this long all the same, and its ends stay
/// unacknowledged. Its lease of 4.5 s leaves three attempts.
pub const RECORDING_WAIT_MS: Millis = 1_000;

/// Added to the wait of a renewal for the network's time in both directions.
pub const RENEWAL_SLACK_MS: Millis = 500;

/// Time by which everything sent to a worker's former address has been answered or has timed out: the longest renewal.
pub const ADDRESS_SETTLED_MS: Millis = RENEWAL_IDLE_WAIT_MS + RENEWAL_SLACK_MS;

/// Pause before a worker that did not answer is asked again.
pub const RENEWAL_RETRY_MS: Millis = 250;

/// Timeout of one attempt at an order to a worker.
pub const ORDER_TIMEOUT_MS: Millis = 400;

/// Pause before an unanswered order is sent again.
pub const ORDER_RETRY_MS: Millis = 50;

/// A worker on which this many tasks failed in a row is suspended.
pub const FAILS_IN_A_ROW: u32 = 3;

/// How long a failing worker is suspended. Doubles with each repetition up to [`SUSPEND_MAX_MS`].
pub const SUSPEND_MS: Millis = 1_500;

/// Longest suspension of a failing worker. Shorter than a gray failure of a worker lasts on trial days.
pub const SUSPEND_MAX_MS: Millis = 6_000;

/// A run that was started this long before its worker crashed is not to blame, unless its task is lasting. Crashing
/// tasks take a worker down 10 ms after their start, and an owner at its peak load learns of it up to 100 ms later.
pub const BLAME_WINDOW_MS: Millis = 250;

/// A run whose worker answered this long after its start has outlived its start. The start of a lasting task takes
/// 0.7 s.
pub const START_WINDOW_MS: Millis = 1_000;

/// A lasting task that a worker still reports after this long has outlived its start, even if it does not report that
/// it is past its start-up. On slow workers a start takes 5 s.
pub const START_DONE_MS: Millis = 5_000;

/// A renewal that is sent at most this long after the report before it leaves no gap in which an end could go
/// unreported. Ends are recorded in between, and a store that answers normally is done by then.
pub const REPORT_GAP_MAX_MS: Millis = 100;

/// The job of a task is given up at this number of workers that crashed when they had just started the task. Each crash
/// costs the host 3.4 s, and the platform allows five starts.
pub const BLAMED_MAX: u8 = 2;

/// Weight of a certain crash; a likely one weighs 1.
pub const CRASHED_WEIGHT: u8 = 3;

/// Weight of crashes at which a task is given up: three certain ones, or two certain and two likely ones. The platform
/// allows two more starts, one of which may be an order that was held up.
pub const CRASHER_WEIGHT: u8 = 8;

/// Weight of crashes at which a task is given up after [`LIKELY_MAX`] ends: two certain ones, or one certain and two
/// likely ones.
pub const LIKELY_WEIGHT: u8 = 5;

/// Weight of crashes at which a task is given up after the [`PAST_THIRD_MAX`] starts that the platform allows past the
/// third end, however the runs of these starts ended.
pub const STARTED_OUT_WEIGHT: u8 = 4;

/// Weight of crashes at which a task is given up after [`ENDED_MAX`] ends. In 1,501 model worlds with crashing tasks, a
/// weight of 4 led to 5 sixth starts instead of 1, and the number of jobs given up without cause stayed at 2.
pub const ENDED_WEIGHT: u8 = 3;

/// A lasting task is given up at this number of certain crashes, if [`LIKELY_MAX`] instances have ended under it in any
/// unplanned way. While workers go down and up in turns, three starts in a row may each meet an end.
pub const LASTING_CRASHED_MAX: u8 = 3;

/// Number of further starts of a task once a third instance may have ended under it. The platform allows two, however
/// their runs end.
pub const PAST_THIRD_MAX: u32 = 2;

/// Number of instances with an unplanned end under a task from which [`LIKELY_WEIGHT`] is enough to give the task up.
/// This is one start fewer than the platform allows.
pub const LIKELY_MAX: u8 = 4;

/// Number of instances with an unplanned end under a task that is not known to have outlived its start there, from
/// which [`ENDED_WEIGHT`] is enough to give the task up. The platform allows five starts of a task that crashes
/// workers.
pub const ENDED_MAX: u8 = 5;

/// A host that crashed is unsound for this long. Hosts in a crash loop are down for some seconds between two crashes.
pub const UNSOUND_MS: Millis = 20_000;

/// Crashes are widespread if one host in this many has crashed within [`UNSOUND_MS`] and no task explains it.
pub const WIDESPREAD_SHARE: usize = 3;

/// Least number of hosts whose crashes are widespread.
pub const WIDESPREAD_MIN: usize = 2;

/// Pause before the next start of a lasting task after two certain crashes. Doubles with each further crash.
pub const RESTART_PAUSE_MS: Millis = 1_250;

/// Longest pause before the next start of a lasting task. The platform expects it to run from 6 s after its last run.
pub const RESTART_PAUSE_MAX_MS: Millis = 5_000;

/// A pool counts as calm once none of its workers has crashed for this long. The next instance of a crashed worker
/// comes within 3.4 s.
pub const CALM_MS: Millis = 3_000;

/// Longest time that a lasting task waits for its pool to be calm.
pub const CALM_WAIT_MAX_MS: Millis = 60_000;

/// A suspect that finds no worker without another suspect is placed next to one after this long, and a task that has
/// lost a worker and finds no sound host is placed on another one. Workers report within a second.
pub const SUSPECT_APART_MS: Millis = 1_000;

/// A worker that refused a task for lack of capacity gets no tasks for this long. Its report comes with a renewal.
pub const FULL_PAUSE_MS: Millis = 200;

/// Most waiting tasks that one round of placement examines from the front of the queue. Every [`RESORT_MS`] it examines
/// the same number of the tasks behind them in rotation, and skips tasks of steps that no worker takes, so that each of
/// n other tasks is examined within n / 400 of these periods.
pub const PLACE_SCAN_MAX: usize = 400;

/// After this many times its objective, a job has no value and waits behind all others.
pub const HOPELESS_FACTOR: u64 = 3;

/// This many core-milliseconds of work move a job back by one millisecond among those in time. See docs/MEASURES.md.
pub const WORK_PER_MS: u64 = 3;

/// Longest time by which a job's work moves the job back among those in time.
pub const WORK_DELAY_MAX_MS: Millis = 8_000;

/// Interval at which waiting tasks are sorted again.
pub const RESORT_MS: Millis = 250;

/// Most jobs whose rows are removed in one transaction. Each job has two rows, and the store accepts 100.
pub const REMOVED_JOBS: usize = 45;

/// Most tombstones that are removed in one transaction, less the jobs in it: each takes a condition and a removal, and
/// the store accepts 100 of both together.
pub const REMOVED_TOMBSTONES: usize = 50;

/// Interval at which old jobs are removed from one intake partition. All 64 partitions take 16 s.
pub const REMOVE_MS: Millis = 250;

/// Finished jobs are removed from the store after this long. The platform's documentation asks for 120 s.
pub const FINISHED_KEPT_MS: Millis = 150_000;

/// A removed job is remembered for this long, so that a row of the job that was read earlier doesn't start it again.
/// Intake partitions are read in four rounds of at most 0.8 s a page. At 100 jobs a second, 6,000 ids are remembered.
pub const FORGOTTEN_KEPT_MS: Millis = 60_000;

/// Window over which the rate of arriving work is measured. It shows the rise of a peak before its queue does. See
/// docs/MEASURES.md.
pub const ARRIVALS_MS: Millis = 400;
