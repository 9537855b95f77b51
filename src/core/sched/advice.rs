//! Asks the advice service which workers may run a step.
//!
//! The load that this handles: the service takes a time for each call and for each worker that the call names, and
//! answers one call at a time, while several steps wait for their first start. So a call names only as many workers as
//! the waiting tasks of one step need, those with room first, and steps are asked about in the order of placement.
//!
//! The reducer calls [`request`] after each round of placement. What was said is kept in [`tickets`](super::tickets).

use std::collections::{BTreeMap, HashMap};

use super::job::StepSpec;
use super::keys::{JobKey, StepKey, TaskKey, WorkerKey};
use super::place;
use super::pool_state::PoolState;
use super::state::{Ctx, Effect, Timer};
use super::tasks::{Phase, Round, StepRun};
use super::tickets::{AdviceRequest, StepAdvice, Ticket, WORKERS_USUAL};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{AdviceAnswer, AdviceError, AdviceTerms, StepName};

/// Most workers that a call may name.
const WORKERS_MAX: usize = 100;

/// Pause after the first call without an answer. Doubles with each further one up to [`PAUSE_MAX_MS`].
const PAUSE_MS: Millis = 100;

/// Longest pause after calls without an answer.
const PAUSE_MAX_MS: Millis = 1_000;

/// Added to three times the service's own time for the calls of other pools that are answered first.
const TIMEOUT_SLACK_MS: Millis = 1_000;

/// Returns the terms of the advice service for a job.
fn terms(pool_state: &PoolState, job: JobKey) -> Option<AdviceTerms> {
    pool_state.jobs.get(job)?.policy.advice
}

/// Requests the next call, if a step needs one and none is under way.
pub fn request(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) {
    let book = &pool_state.advice;
    if !book.is_used || book.is_asking || ctx.now.ms < book.paused_until_ms || !ctx.may_send() {
        return;
    }
    let Some(request) = next_request(pool_state, ctx.now.ms) else {
        return;
    };
    pool_state.advice.is_asking = true;
    ctx.out
        .push(Effect::Advise(ctx.pool, pool_state.id, request));
}

/// Returns the call for the first step that lacks tickets: steps whose tasks wait, in the order of placement, then
/// steps that are about to open. The step whose call last failed comes after all others.
pub fn next_request(pool_state: &PoolState, now_ms: Millis) -> Option<AdviceRequest> {
    let mut waiting: BTreeMap<StepKey, (TaskKey, u64)> = BTreeMap::new();
    let mut steps = Vec::new();
    for rank in pool_state.first_to_place(now_ms) {
        if terms(pool_state, rank.task.job).is_none() {
            continue;
        }
        let step = StepKey::from(rank.task);
        let (_, count) = waiting.entry(step).or_insert((rank.task, 0));
        if *count == 0 {
            steps.push(step);
        }
        *count += 1;
    }
    let open = steps.iter().map(|step| waiting[step]);
    let mut wanted: Vec<(TaskKey, u64)> = open.collect();
    wanted.extend(next_steps(pool_state, now_ms));
    wanted.sort_by_key(|(task, _)| pool_state.advice.failed_step == Some(StepKey::from(*task)));
    let mut wanted = wanted.into_iter();
    wanted.find_map(|(task, count)| request_for(pool_state, task, count, now_ms))
}

/// Returns the first tasks of the steps on queues with advice that are expected to open within half of a ticket's
/// validity, and the number of tasks of each step.
fn next_steps(pool_state: &PoolState, now_ms: Millis) -> Vec<(TaskKey, u64)> {
    let mut found = Vec::new();
    for (key, job) in &pool_state.jobs {
        let Some(terms) = job.policy.advice.filter(|_| !job.state.is_final()) else {
            continue;
        };
        let soon_ms = now_ms + terms.valid_ms / 2;
        for (number, round) in &job.rounds {
            for (n, spec) in job.spec.steps.iter().enumerate() {
                let opens_ms = opening_ms(round, &spec.after, &job.step_ms);
                if !round.steps[n].is_open && opens_ms.is_some_and(|at_ms| at_ms <= soon_ms) {
                    let task = TaskKey {
                        job: key,
                        round: *number,
                        step: n as u16,
                        index: 0,
                    };
                    found.push((task, u64::from(spec.count)));
                }
            }
        }
    }
    found
}

/// Returns when the steps in `after` are expected to be done, or `None` if some of their tasks do not run yet.
fn opening_ms(round: &Round, after: &[u16], step_ms: &[Millis]) -> Option<Millis> {
    let mut opens_ms = 0;
    for n in after.iter().map(|n| usize::from(*n)) {
        opens_ms = opens_ms.max(end_ms(round.steps.get(n)?, *step_ms.get(n)?)?);
    }
    Some(opens_ms)
}

/// Returns when a step is expected to be done, or `None` if some of its tasks do not run yet.
fn end_ms(step: &StepRun, task_ms: Millis) -> Option<Millis> {
    let ends = step.tasks.iter().map(|task| match task.phase {
        Phase::Done => Some(0),
        Phase::Running(_) => Some(task.begun_ms? + task_ms),
        _ => None,
    });
    ends.collect::<Option<Vec<Millis>>>()?.into_iter().max()
}

/// The workers of a pool that may take a step's tasks, apart from its advice.
#[derive(Default)]
struct Candidates {
    /// Number of tasks for which workers with valid tickets have room.
    places: u64,
    /// Workers whose tickets have ended, and those that were not asked about, each with its room for tasks.
    ended: Vec<(WorkerKey, u64)>,
    unknown: Vec<(WorkerKey, u64)>,
}

impl Candidates {
    fn add(&mut self, advice: &StepAdvice, worker: WorkerKey, places: u64, now_ms: Millis) {
        if advice.is_valid(worker, now_ms) {
            self.places = self.places.saturating_add(places);
        } else if advice.tickets.contains_key(&worker) {
            self.ended.push((worker, places));
        } else if !advice.ruled_out.contains(&worker) {
            self.unknown.push((worker, places));
        }
    }

    /// Returns the workers that a call names for `count` tasks: those with ended tickets first, which are known to be
    /// allowed, then the others, as many as the tasks need if half of them are ruled out.
    fn choose(self, count: u64) -> Vec<WorkerKey> {
        let mut places = 0_u64;
        let mut chosen = Vec::new();
        for (worker, room) in self.ended.into_iter().chain(self.unknown) {
            let is_enough = chosen.len() >= WORKERS_USUAL && places >= count.saturating_mul(2);
            if is_enough || chosen.len() >= WORKERS_MAX {
                break;
            }
            places = places.saturating_add(room);
            chosen.push(worker);
        }
        chosen
    }
}

/// Returns the call for the step of `task`, of which `count` tasks wait; `None` if the workers with valid tickets have
/// room for them, or no other worker could be asked about. Workers in the rack of the step's data come first, then
/// those with room. Workers without room fill the call up, so that their room can be used once it is free.
fn request_for(
    pool_state: &PoolState,
    task: TaskKey,
    count: u64,
    now_ms: Millis,
) -> Option<AdviceRequest> {
    let step = StepKey::from(task);
    let job = pool_state.jobs.get(task.job)?;
    let terms = job.policy.advice?;
    let spec = job.spec.steps.get(usize::from(task.step))?;
    let none = StepAdvice::default();
    let advice = pool_state.advice.steps.get(&step).unwrap_or(&none);
    let cpu_milli = spec.demand().cpu_milli;
    let is_near = |worker: WorkerKey| {
        let rack = spec.data_rack.as_deref();
        rack.is_some_and(|rack| rack == pool_state.workers[worker].rack())
    };
    let mut found = Candidates::default();
    let mut has_near_to_ask = false;
    let slots = pool_state.free_index.workers_with_free(cpu_milli);
    for worker in slots.map(|slot| slot.worker) {
        let places = places_on(pool_state, task, spec, worker);
        if places > 0 && place::is_eligible(pool_state, task, spec, worker, now_ms) {
            let may_ask = !advice.is_valid(worker, now_ms) && !advice.ruled_out.contains(&worker);
            has_near_to_ask |= may_ask && is_near(worker);
            found.add(advice, worker, places, now_ms);
        }
    }
    if found.places >= count && !has_near_to_ask {
        return None;
    }
    found.ended.sort_by_key(|(worker, _)| !is_near(*worker));
    found.unknown.sort_by_key(|(worker, _)| !is_near(*worker));
    if found.ended.len() + found.unknown.len() < WORKERS_USUAL {
        add_full_workers(pool_state, (task, spec), advice, &mut found, now_ms);
    }
    let lacking = count.saturating_sub(found.places).max(1);
    let workers = found.choose(lacking);
    if workers.is_empty() {
        return None;
    }
    let ids = workers
        .iter()
        .map(|w| pool_state.workers[*w].info.id.clone());
    Some(AdviceRequest {
        step,
        name: StepName {
            job: job.id.clone(),
            round: step.round,
            step: step.step,
        },
        worker_ids: ids.collect(),
        timeout_ms: terms.call_ms(workers.len()) * 3 + TIMEOUT_SLACK_MS,
        workers,
    })
}

/// Adds workers that may take the step's tasks once they have room.
fn add_full_workers(
    pool_state: &PoolState,
    (task, spec): (TaskKey, &StepSpec),
    advice: &StepAdvice,
    found: &mut Candidates,
    now_ms: Millis,
) {
    for (key, worker) in &pool_state.workers {
        let is_full = places_on(pool_state, task, spec, key) == 0;
        let may_take = worker.is_large_enough(spec.demand())
            && place::is_eligible(pool_state, task, spec, key, now_ms);
        if is_full && may_take {
            found.add(advice, key, 0, now_ms);
        }
    }
}

/// Returns how many more tasks of a step fit on a worker now.
fn places_on(pool_state: &PoolState, task: TaskKey, spec: &StepSpec, worker: WorkerKey) -> u64 {
    let worker = &pool_state.workers[worker];
    let (free, demand) = (worker.free(), spec.demand());
    let most = match spec.per_worker_max {
        0 => u64::MAX,
        most => u64::from(most).saturating_sub(pool_state.siblings_on(task, worker) as u64),
    };
    let fitting = |free: u64, demand: u64| free.checked_div(demand).unwrap_or(u64::MAX);
    let by_cpu = fitting(free.cpu_milli, demand.cpu_milli);
    let by_mem = fitting(free.mem_mb, demand.mem_mb);
    most.min(by_cpu)
        .min(by_mem)
        .min(fitting(free.gpu, demand.gpu))
}

/// Applies the answer to a call that was sent at `sent_ms`.
pub fn apply_answer(
    pool_state: &mut PoolState,
    step: StepKey,
    workers: &[WorkerKey],
    sent_ms: Millis,
    result: Result<AdviceAnswer, AdviceError>,
    ctx: &mut Ctx<'_>,
) {
    pool_state.advice.is_asking = false;
    pool_state.wants_placing = true;
    match result {
        Ok(answer) => note_answer(pool_state, step, workers, sent_ms, answer, ctx),
        Err(why) => pause(pool_state, step, why, ctx),
    }
}

fn note_answer(
    pool_state: &mut PoolState,
    step: StepKey,
    workers: &[WorkerKey],
    sent_ms: Millis,
    answer: AdviceAnswer,
    ctx: &mut Ctx<'_>,
) {
    pool_state.advice.failures = 0;
    pool_state.advice.failed_step = None;
    drop_ended_steps(pool_state);
    let Some(job) = pool_state.jobs.get(step.job) else {
        return;
    };
    let by_terms_ms = job.policy.advice.map_or(0, |terms| terms.valid_ms);
    let valid_ms = answer.valid_ms.unwrap_or(by_terms_ms);
    let until_ms = sent_ms + valid_ms;
    let mut texts: HashMap<String, String> = answer.tickets.into_iter().collect();
    let decision = Decision::new(
        Code::AdviceGiven,
        Subject::Job,
        &job.id,
        "the advice service named the workers that may run a step",
    )
    .with("round", u64::from(step.round))
    .with("step", u64::from(step.step))
    .with("asked", workers.len() as u64)
    .with("allowed", texts.len() as u64)
    .with("valid_ms", valid_ms)
    .with("took_ms", ctx.now.ms.saturating_sub(sent_ms));
    let advice = pool_state.advice.steps.entry(step).or_default();
    for key in workers {
        let Some(worker) = pool_state.workers.get(*key) else {
            continue;
        };
        match texts.remove(&worker.info.id) {
            Some(text) => {
                advice.tickets.insert(*key, Ticket { text, until_ms });
            }
            None => {
                advice.tickets.remove(key);
                advice.ruled_out.insert(*key);
            }
        }
    }
    ctx.log(decision);
}

/// Drops what is known about steps of jobs that have ended or are gone.
fn drop_ended_steps(pool_state: &mut PoolState) {
    let jobs = &pool_state.jobs;
    let is_live = |step: &StepKey| {
        let job = jobs.get(step.job);
        job.is_some_and(|job| !job.state.is_final() && job.rounds.contains_key(&step.round))
    };
    pool_state.advice.steps.retain(|step, _| is_live(step));
}

/// Pauses after a call without an answer.
fn pause(pool_state: &mut PoolState, step: StepKey, why: AdviceError, ctx: &mut Ctx<'_>) {
    let book = &mut pool_state.advice;
    let pause_ms = (PAUSE_MS << book.failures.min(8)).min(PAUSE_MAX_MS);
    book.failures = book.failures.saturating_add(1);
    book.failed_step = Some(step);
    book.paused_until_ms = ctx.now.ms + pause_ms;
    ctx.set_timer(pause_ms, Timer::Upkeep);
    let why = match why {
        AdviceError::Busy => "too many calls of this host wait at the advice service",
        AdviceError::Down => "the advice service gave no usable answer in time",
    };
    let id = pool_state.jobs.get(step.job).map_or("", |job| &job.id);
    let decision = Decision::new(Code::AdviceFailed, Subject::Job, id, why)
        .with("failures", u64::from(pool_state.advice.failures))
        .with("pause_ms", pause_ms);
    ctx.log(decision);
}
