//! Tasks that bring down the workers that start them.
//!
//! The load: a few jobs among hundreds hold a task under which its worker is gone milliseconds after the start, with up
//! to 18 other tasks, for 3 s. A life's end does not tell its cause, and its tasks go back to wait. So each task counts
//! the lives that ended under it. When a worker crashed is known by its connections, which end with it; a run that had
//! long been at work then is not to blame, the others are suspects. A suspect's next run goes where least runs, apart
//! from other suspects until it has outlived its start, so that a second crash names one task, and its job is given up.
//! The counts are on record: a new owner goes on from them.
//!
//! Measured on a pool of 16 workers, 300 jobs of 8 tasks in 30 s with one such job in 30, eight times (81 such jobs): 162
//! workers and 938 runs of others lost, 1 of 2,319 other jobs given up. Not apart: 1,574 runs, 30 jobs given up. On the
//! third crash: 243 workers, 1,080 runs, no job.

use super::gang;
use super::job::StepSpec;
use super::keys::{TaskKey, WorkerKey};
use super::limits::{FRESH_MS, HEARD_ON_MS, SOUND_MS, WORKER_LEASE_MS, YOUNG_MS};
use super::pool_state::PoolState;
use super::runs;
use super::state::Ctx;
use super::tasks::{Phase, Seen, Task};
use super::worker::Worker;
use super::worker_losses::WorkerLosses;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};

/// A run is long where what may go unheard of it is at most one in so many parts of it.
const UNHEARD_PARTS: Millis = 4;

/// From so many lives on that may have ended under a task, each is told.
const NOTED_FROM: u8 = 2;

/// Why all that ran on a worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// At its address another life answered.
    OtherInstance,
    /// A later life of its host answers.
    LaterInstance,
    /// Nothing was heard for as long as its lease; it may be up, and cut off.
    Lease,
}

impl EndCause {
    /// As the log tells it.
    pub fn why(self) -> &'static str {
        match self {
            EndCause::OtherInstance => "another life answered",
            EndCause::LaterInstance => "a later life of its host answers",
            EndCause::Lease => "its lease is over",
        }
    }
}

/// What the judgement on a worker rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// An order of this kind was answered by another life.
    Answer(&'static str),
    /// A life of its host answered a hold.
    Report {
        /// That life.
        life: String,
        /// When the hold was sent.
        asked_ms: Millis,
    },
    /// The time: its lease was not renewed.
    Lapse,
}

impl Evidence {
    /// What follows from it.
    pub fn end_cause(&self) -> EndCause {
        match self {
            Evidence::Answer(_) => EndCause::OtherInstance,
            Evidence::Report { .. } => EndCause::LaterInstance,
            Evidence::Lapse => EndCause::Lease,
        }
    }
}

/// A worker's end, as far as it is known.
#[derive(Clone, Copy, Debug)]
struct End {
    /// Another life is there in its place, and nothing tells of a planned end: neither its own, nor the host's for a move
    /// or upkeep.
    is_crash: bool,
    /// When it went with its connections, if it did.
    broke_ms: Option<Millis>,
    /// No end can have come unheard before that.
    is_heard_through: bool,
    /// When it was last heard.
    heard_ms: Millis,
}

impl End {
    fn new(worker: &Worker, over: EndCause) -> Self {
        Self {
            is_crash: over != EndCause::Lease && !worker.is_leaving(),
            broke_ms: worker.broke_ms,
            is_heard_through: worker.is_heard_through,
            heard_ms: worker.heard_ms,
        }
    }

    /// When the worker went, as far as that is known.
    fn lost_ms(self) -> Millis {
        self.broke_ms.unwrap_or(self.heard_ms)
    }

    /// What it counts for a task that was there.
    fn count(self, task: &Task, spec: &StepSpec, among: Among, now_ms: Millis) -> WorkerLosses {
        let has_begun = task.seen > Seen::Nothing;
        let may_have_begun = has_begun || task.is_start_broken;
        if !may_have_begun && !matches!(task.phase, Phase::Suspect(_)) {
            return WorkerLosses::NONE;
        }
        let begun_ms = task.begun_ms.unwrap_or(task.since_ms);
        let is_young = self.heard_ms < begun_ms + YOUNG_MS;
        let may_be_crash = self.is_crash && among != Among::Later && has_begun;
        let is_alone = may_be_crash && among == Among::First;
        let was_seen = matches!(task.phase, Phase::Suspect(_)) && task.seen >= Seen::Gone;
        let is_certain = is_alone && (was_seen || self.was_there(task, spec, now_ms));
        // One that fell silent before may have been cut off, and its runs have lapsed.
        let is_told = self.broke_ms.is_some() || matches!(task.phase, Phase::Suspect(_));
        let is_likely = may_be_crash && !is_certain && is_young && is_told && !was_stopped(task);
        let is_fresh = task.seen == Seen::GoneFresh || self.broke_within(task, FRESH_MS);
        let is_blamed = is_certain && (spec.lasting || is_fresh);
        WorkerLosses {
            blamed: u8::from(is_blamed),
            crashed: u8::from(is_certain),
            likely: u8::from(is_likely),
            all: u8::from(is_young),
            ..WorkerLosses::NONE
        }
    }

    /// Whether the worker certainly went so soon after the run's start. When that was known tells nothing of it: a new owner
    /// finds runs that are seconds old, and an answer may wait as long for an owner that stood still.
    fn broke_within(self, task: &Task, ms: Millis) -> bool {
        let (Some(sent_ms), Some(broke_ms)) = (task.sent_ms, self.broke_ms) else {
            return false;
        };
        broke_ms < sent_ms + ms
    }

    /// Whether the run was there to the end. Of one that a former owner started that is not known.
    fn was_there(self, task: &Task, spec: &StepSpec, now_ms: Millis) -> bool {
        if was_stopped(task) {
            return false;
        }
        let Some(begun_ms) = task.begun_ms else {
            return false;
        };
        let is_young = self.heard_ms < begun_ms + YOUNG_MS;
        if spec.lasting {
            // It was there as long as it was leased.
            return is_young && now_ms < self.heard_ms.max(begun_ms) + WORKER_LEASE_MS;
        }
        // It may have ended by half the time that it is expected to take. Later, its end would have been heard, but for a
        // moment that a short run may well end in.
        let is_long = spec.estimate_ms >= UNHEARD_PARTS * HEARD_ON_MS;
        let is_heard = is_young && is_long && self.is_heard_through;
        is_heard || self.broke_within(task, spec.estimate_ms / 2)
    }
}

/// Whether the run was stopped before its worker went, so that it may have ended first. A stop that was not answered has
/// most likely met a worker that was gone: of a gang, it follows the end of others by the same crash.
fn was_stopped(task: &Task) -> bool {
    matches!(task.phase, Phase::Stopping(_)) && task.settled_ms.is_some()
}

/// Counts a life's end for the tasks that may have been at work there.
pub(super) fn note_end(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    over: EndCause,
    ctx: &mut Ctx<'_>,
) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    if w.fact.draining && w.is_known() {
        // It told its end.
        return;
    }
    let end = End::new(w, over);
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    if end.is_crash {
        pool_state.crashed_ms = pool_state.crashed_ms.max(end.lost_ms());
    }
    for key in tasks {
        count(pool_state, key, end, ctx);
    }
}

/// Takes in that a worker went with its connections: what was there is put on record, for an owner that comes before
/// the next life answers. An owner that had seen three crashes of five was replaced before each of those answers.
pub(super) fn note_broken(pool_state: &mut PoolState, worker: WorkerKey, now_ms: Millis) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    let end = End::new(w, EndCause::LaterInstance);
    if !end.is_crash {
        return;
    }
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    pool_state.crashed_ms = now_ms;
    for key in tasks {
        let is_first = among_gang(pool_state, key, end) == Among::First;
        let Some(spec) = pool_state.step_spec(key).cloned() else {
            continue;
        };
        let Some(task) = pool_state.task_mut(key) else {
            continue;
        };
        let one = end.count(task, &spec, Among::First, now_ms);
        if !is_first || one.crashed == 0 {
            continue;
        }
        task.seen = match one.blamed {
            0 => Seen::Gone,
            _ => Seen::GoneFresh,
        };
        pool_state.mark(key.job, now_ms);
    }
}

/// Takes in that a worker is there after all.
pub(super) fn note_back(pool_state: &mut PoolState, worker: WorkerKey) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    for key in w.tasks.iter().copied().collect::<Vec<_>>() {
        if let Some(task) = pool_state.task_mut(key) {
            task.seen = task.seen.min(Seen::Begun);
        }
    }
}

/// How a run's end stands to those of the other members of its gang: one's end is the end of all, so that they may have
/// been over before their own workers went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Among {
    /// No other was lost before, nor nearly at the same time.
    First,
    /// Another was lost so nearly at the same time that either may have been the first.
    Level,
    /// Another was lost before.
    Later,
}

fn among_gang(pool_state: &PoolState, key: TaskKey, end: End) -> Among {
    let run = pool_state.task(key).map(|t| t.run);
    if !gang::is_member(pool_state, key) {
        return Among::First;
    }
    let lost_ms = |task: &Task| {
        let worker = task.phase.worker().and_then(|w| pool_state.workers.get(w));
        task.lost_ms.or(worker.and_then(|w| w.broke_ms))
    };
    let ours_ms = end.lost_ms();
    let members = gang::members(pool_state, key).into_iter();
    let fellows = members.filter_map(|m| pool_state.task(m));
    let fellows = fellows.filter(|t| Some(t.run) == run);
    // Those on the same worker went with it.
    let elsewhere = fellows.filter_map(lost_ms).filter(|at| *at != ours_ms);
    match elsewhere.min() {
        Some(theirs_ms) if theirs_ms + HEARD_ON_MS < ours_ms => Among::Later,
        Some(theirs_ms) if theirs_ms < ours_ms + HEARD_ON_MS => Among::Level,
        _ => Among::First,
    }
}

fn count(pool_state: &mut PoolState, key: TaskKey, end: End, ctx: &mut Ctx<'_>) {
    let Some(spec) = pool_state.step_spec(key).cloned() else {
        return;
    };
    let among = among_gang(pool_state, key, end);
    let Some(task) = pool_state.task_mut(key) else {
        return;
    };
    task.lost_ms = Some(end.lost_ms());
    let one = end.count(task, &spec, among, ctx.now.ms);
    if one == WorkerLosses::NONE {
        return;
    }
    task.ended.add(one, task.run);
    let (ended, run) = (task.ended, task.run);
    let pause_ms = if spec.lasting { ended.pause_ms() } else { 0 };
    task.held_until_ms = ctx.now.ms + pause_ms;
    pool_state.mark(key.job, ctx.now.ms);
    let is_given_up = is_given_up(pool_state, key);
    leave(pool_state, key);
    if one.blamed > 0 || ended.all >= NOTED_FROM || is_given_up {
        let id = &pool_state.jobs[key.job].id;
        ctx.log(
            Decision::new(Code::TaskSuspected, Subject::Job, id, "its worker's end")
                .with("step", u64::from(key.step))
                .with("task", u64::from(key.index))
                .with("run", u64::from(run))
                .with("blamed", u64::from(ended.blamed))
                .with("crashed", u64::from(ended.crashed))
                .with("likely", u64::from(ended.likely))
                .with("ended", u64::from(ended.all))
                .with("third_run", u64::from(ended.third_run))
                .with("pause_ms", pause_ms)
                .with("given_up", u64::from(is_given_up)),
        );
    }
}

/// Whether a task is started no more.
pub(super) fn is_given_up(pool_state: &PoolState, key: TaskKey) -> bool {
    let lasts = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    pool_state
        .task(key)
        .is_some_and(|t| t.ended.is_too_many(lasts, t.run))
}

/// Ends the job of a task that is given up. The others of a step that lasts and may miss only some go on: stopped with
/// their job, they would all be away. Once none is left, nothing more comes of it, and its caller is told so.
pub(super) fn leave(pool_state: &mut PoolState, key: TaskKey) {
    let is_over = pool_state
        .jobs
        .get(key.job)
        .is_none_or(|j| j.state.is_final());
    if is_over || !is_given_up(pool_state, key) {
        return;
    }
    let may_miss = |task: &TaskKey| {
        pool_state
            .step_spec(*task)
            .is_some_and(|s| s.away_max.is_some())
    };
    let mut all = pool_state.tasks_of(key.job).into_iter();
    let has_run = |task| {
        pool_state
            .task(task)
            .is_some_and(|t| t.phase.worker().is_some())
    };
    let goes_on = may_miss(&key) && all.any(|task| has_run(task) || !is_given_up(pool_state, task));
    if !goes_on {
        pool_state.given_up.push(key.job);
    }
}

/// Takes in that a worker's account, asked for at `sent_ms`, shows a task's run.
pub(super) fn note_shown(
    pool_state: &mut PoolState,
    key: TaskKey,
    sent_ms: Millis,
    now_ms: Millis,
) {
    let lasts = pool_state.step_spec(key).is_some_and(|s| s.lasting);
    let Some(task) = pool_state.task_mut(key) else {
        return;
    };
    let begun_ms = task.begun_ms.unwrap_or(task.since_ms);
    let ran_ms = sent_ms.saturating_sub(begun_ms);
    // What lasts meets many ends that it has nothing to do with; others end first.
    let is_sound = lasts && (ran_ms >= SOUND_MS || task.is_at_work);
    if is_sound && task.ended != WorkerLosses::NONE {
        task.ended = WorkerLosses::NONE;
        pool_state.mark(key.job, now_ms);
    }
    if ran_ms >= FRESH_MS && pool_state.watched.remove(&key).is_some() {
        pool_state.wants_placing = true;
    }
}

/// Ends the jobs of tasks that brought too many workers down.
pub(super) fn give_up(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    for job in std::mem::take(&mut pool_state.given_up) {
        runs::fail_job(pool_state, job, "workers crash under a task", epoch, ctx);
    }
}
