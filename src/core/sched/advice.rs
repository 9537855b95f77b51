//! Asks the advice service which workers may run a step.
//!
//! The load that this handles: the service takes a time for each call and for each worker that the call names, and
//! answers one call at a time, while several steps wait for their first start. So a call names only as many workers as
//! the waiting tasks of one step need, those with room first, and steps are asked about in the order of placement.
//!
//! The reducer calls [`request`] after each round of placement. What was said is kept in [`tickets`](super::tickets).

use std::collections::{BTreeMap, HashMap};

use super::job::StepSpec;
use super::keys::{JobKey, StepKey, WorkerKey};
use super::limits::PLACE_SCAN_MAX;
use super::pool_state::PoolState;
use super::state::{Ctx, Effect, Timer};
use super::tasks::{Phase, Round, StepRun};
use super::tickets::{AdviceRequest, StepAdvice, Ticket, WORKERS_USUAL};
use super::worker::Worker;
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
/// steps that are about to open.
pub fn next_request(pool_state: &PoolState, now_ms: Millis) -> Option<AdviceRequest> {
    let mut waiting: BTreeMap<StepKey, u64> = BTreeMap::new();
    let mut order = Vec::new();
    for rank in pool_state.ready.iter().take(PLACE_SCAN_MAX) {
        if terms(pool_state, rank.task.job).is_none() {
            continue;
        }
        let step = StepKey::from(rank.task);
        let count = waiting.entry(step).or_default();
        if *count == 0 {
            order.push(step);
        }
        *count += 1;
    }
    let mut open = order.iter().map(|step| (*step, waiting[step]));
    open.find_map(|(step, count)| request_for(pool_state, step, count, now_ms))
        .or_else(|| {
            let mut next = next_steps(pool_state, now_ms).into_iter();
            next.find_map(|(step, count)| request_for(pool_state, step, count, now_ms))
        })
}

/// Returns the steps on queues with advice that are expected to open within half of a ticket's validity, and the number
/// of their tasks.
fn next_steps(pool_state: &PoolState, now_ms: Millis) -> Vec<(StepKey, u64)> {
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
                    let step = StepKey {
                        job: key,
                        round: *number,
                        step: n as u16,
                    };
                    found.push((step, u64::from(spec.count)));
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

/// Returns the call for a step with `count` waiting tasks, or `None` if the workers with valid tickets have room for
/// them, or no other worker could be asked about.
fn request_for(
    pool_state: &PoolState,
    step: StepKey,
    count: u64,
    now_ms: Millis,
) -> Option<AdviceRequest> {
    let job = pool_state.jobs.get(step.job)?;
    let terms = job.policy.advice?;
    let spec = job.spec.steps.get(usize::from(step.step))?;
    let none = StepAdvice::default();
    let advice = pool_state.advice.steps.get(&step).unwrap_or(&none);
    let room_for = |worker: &Worker| places_on(worker, spec);
    let mut places = 0;
    let mut ended = Vec::new();
    let mut unknown = Vec::new();
    for slot in pool_state
        .free_index
        .workers_with_free(spec.demand().cpu_milli)
    {
        let worker = &pool_state.workers[slot.worker];
        let has_label = spec
            .label
            .as_ref()
            .is_none_or(|label| worker.info.labels.contains(label));
        if !worker.is_open(now_ms) || !has_label || room_for(worker) == 0 {
            continue;
        }
        if advice.is_valid(slot.worker, now_ms) {
            places += room_for(worker);
        } else if advice.tickets.contains_key(&slot.worker) {
            ended.push((slot.worker, room_for(worker)));
        } else if !advice.is_known(slot.worker) {
            unknown.push((slot.worker, room_for(worker)));
        }
        if places >= count {
            return None;
        }
    }
    let workers = choose_workers(ended, unknown, count - places);
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

/// Returns how many tasks of a step fit on a worker now.
fn places_on(worker: &Worker, spec: &StepSpec) -> u64 {
    let (free, demand) = (worker.free(), spec.demand());
    let most = match spec.per_worker_max {
        0 => u64::MAX,
        most => u64::from(most),
    };
    let fitting = |free: u64, demand: u64| free.checked_div(demand).unwrap_or(u64::MAX);
    let by_cpu = fitting(free.cpu_milli, demand.cpu_milli);
    let by_mem = fitting(free.mem_mb, demand.mem_mb);
    most.min(by_cpu)
        .min(by_mem)
        .min(fitting(free.gpu, demand.gpu))
}

/// Chooses the workers that a call names: those whose tickets have ended, as far as they hold the tasks, else those
/// that have not been asked about.
fn choose_workers(
    ended: Vec<(WorkerKey, u64)>,
    unknown: Vec<(WorkerKey, u64)>,
    count: u64,
) -> Vec<WorkerKey> {
    let of_ended: u64 = ended.iter().fold(0, |sum, (_, n)| sum.saturating_add(*n));
    if !ended.is_empty() && (of_ended >= count || unknown.is_empty()) {
        let chosen = ended.into_iter().take(WORKERS_MAX);
        return chosen.map(|(worker, _)| worker).collect();
    }
    let mut places = 0_u64;
    let mut chosen = Vec::new();
    for (worker, room) in ended.into_iter().chain(unknown) {
        // Half of the workers may be ruled out.
        let is_enough = chosen.len() >= WORKERS_USUAL && places >= count.saturating_mul(2);
        if is_enough || chosen.len() >= WORKERS_MAX {
            break;
        }
        places = places.saturating_add(room);
        chosen.push(worker);
    }
    chosen
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
    drop_ended_steps(pool_state);
    let Some(job) = pool_state.jobs.get(step.job) else {
        return;
    };
    let until_ms = sent_ms + answer.valid_ms;
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
    .with("valid_ms", answer.valid_ms)
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
