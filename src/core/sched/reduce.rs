//! The reducer of the scheduler: takes one event, updates the state and returns the effects to carry out.
//!
//! It owns no rules of its own. It routes events and due timers to the modules that decide, and after each event
//! settles what follows from it in every owned pool.

use std::sync::Arc;

use super::access::{
    owned_pools, ownership_of, pool_key, with_grant_controller, with_host_controller, with_pool,
    with_pool_state, with_quota_controller, with_wave_controller,
};
use super::advice;
use super::checkpoints;
use super::claim;
use super::commit::{self, Settled};
use super::crashes;
use super::exchange::{close_offered_hosts, observe_offers, settle_offers, settle_taken_hosts};
use super::gang;
use super::halls;
use super::handover;
use super::homes::guest_of;
use super::hosts;
use super::job::JobSpec;
use super::keys::{PoolStateId, WorkerKey};
use super::late_starts;
use super::limits::RESORT_MS;
use super::load::{self, EarlierOrders};
use super::offers::OFFERS_KEY;
use super::owner_lease;
use super::pacing;
use super::place;
use super::policy::{self, Deadlines};
use super::pool_state::PoolState;
use super::quota;
use super::remove;
use super::renewal;
use super::rows::{
    cancelled_job, is_job_key, pool_of_part, shard_of_part, HeartbeatRow, HEARTBEAT_KEY, OWNER_KEY,
};
use super::run_log;
use super::runs;
use super::sizing;
use super::standby;
use super::starts;
use super::state::{Ctx, Effect, Event, LoadedRows, PoolKey, State, Timer, WaveKnown};
use super::stragglers;
use super::task_waits;
use super::wave;
use super::worker_list::{
    apply_feed_list, apply_separate_list, apply_worker_event, start_renewing,
};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{FleetConfig, OperatorEvent, StoredRow, TxOutcome};

/// Pause before a pool's rows are read again after a failed read.
const LOAD_RETRY_MS: Millis = 100;

/// Applies one event, fires due timers and returns the resulting effects.
pub fn reduce(state: &mut State, event: Event, now: Now) -> Vec<Effect> {
    let mut out = Vec::new();
    match event {
        Event::Tick => {}
        Event::Operator(change) => apply_operator_event(state, change, now, &mut out),
        Event::Worker(change) => apply_worker_event(state, change, now, &mut out),
        Event::WorkersRead(all) => apply_feed_list(state, all, now, &mut out),
        Event::WorkersCurrent(ms) => state.list_changes.note_current(ms),
        Event::Owner(row) => apply_owner_row(state, &row, now, &mut out),
        Event::Claimed(pool, shard, sent_ms, outcome) => {
            let me = claimant(state);
            with_pool(state, pool, now, &mut out, |pool, ctx, _| {
                claim::settle_claim(pool, shard, sent_ms, outcome, &me, ctx);
            });
        }
        Event::Renewed(pool, epoch, shard, sent_ms, outcome) => {
            with_pool(state, pool, now, &mut out, |pool, ctx, _| {
                owner_lease::settle_renewal(pool, epoch, shard, sent_ms, &outcome, ctx);
            });
        }
        Event::Loaded(pool, epoch, rows) => {
            apply_loaded_rows(state, pool, epoch, rows, now, &mut out)
        }
        Event::Intake(row) => apply_intake_row(state, &row, now, &mut out),
        Event::GuestIntake(row) => apply_guest_row(state, &row, now, &mut out),
        Event::Recorded(pool, pool_state, shard, outcome) => {
            settle_batch(state, pool, pool_state, shard, outcome, now, &mut out);
        }
        Event::Started(pool, id, task, run, reply) => {
            with_pool_state(state, pool, id, now, &mut out, |pool_state, ctx| {
                starts::settle_start(pool_state, task, run, reply, id.epoch, ctx)
            });
        }
        Event::Stopped(pool, id, task, run, reply) => {
            with_pool_state(state, pool, id, now, &mut out, |pool_state, ctx| {
                runs::settle_stop(pool_state, task, run, reply, ctx)
            });
        }
        Event::Paced(pool, id, task, run, percent, reply) => {
            with_pool_state(state, pool, id, now, &mut out, |pool_state, ctx| {
                pacing::apply_reply(pool_state, task, run, percent, reply, ctx);
                false
            });
        }
        // The worker reports the same to the next owner. Taking the report in here would delay the handover.
        Event::WorkerRenewed(..) if state.is_stopping() => {}
        Event::WorkerRenewed(pool, id, worker, sent_ms, result) => {
            with_pool_state(state, pool, id, now, &mut out, |pool_state, ctx| {
                let shared = pacing::shared_runs(pool_state, worker, &result);
                let is_lost = renewal::settle(pool_state, worker, sent_ms, result, id.epoch, ctx);
                if let Some(shared) = shared.filter(|_| !is_lost) {
                    pacing::regulate(pool_state, worker, &shared, id.epoch, ctx);
                }
                is_lost
            });
        }
        Event::Advised(pool, id, step, workers, sent_ms, result) => {
            with_pool_state(state, pool, id, now, &mut out, |pool_state, ctx| {
                advice::apply_answer(pool_state, step, &workers, sent_ms, result, ctx);
                false
            });
        }
        Event::WaveRow(row) => apply_wave_row(state, &row, now, &mut out),
        Event::WaveSettled(pool, epoch, outcome) => {
            with_wave_controller(
                state,
                pool,
                now,
                &mut out,
                |pool_state, controller, waves, (pool_epoch, _), ctx| {
                    if pool_epoch == epoch {
                        wave::apply_settled(pool_state, controller, waves, outcome, ctx);
                    }
                },
            );
        }
        Event::HostsOutRecorded(pool, epoch, outcome) => {
            with_host_controller(
                state,
                pool,
                now,
                &mut out,
                |controller, waves, inputs, ctx| {
                    if inputs.epoch == epoch {
                        hosts::apply_settled(controller, waves, outcome, ctx);
                    }
                },
            );
        }
        Event::IntakeRemoved(pool, id, outcome) => {
            with_pool(state, pool, now, &mut out, |pool, ctx, _| {
                if let Some(ownership) = ownership_of(&mut pool.ownership, id) {
                    remove::settle_intake_removal(ownership, &outcome, ctx);
                }
            });
        }
        Event::OffersSettled(pool, epoch, outcome) => {
            settle_offers(state, pool, epoch, outcome, now, &mut out);
        }
        Event::HostsTaken(pool, epoch, from, outcome) => {
            settle_taken_hosts(state, pool, epoch, &from, outcome, now, &mut out);
        }
        Event::QuotaSettled(pool, epoch, account, outcome) => {
            with_grant_controller(
                state,
                pool,
                epoch,
                now,
                &mut out,
                |pool_state, controller, inputs, ctx| {
                    quota::apply_settled(
                        pool_state,
                        controller,
                        inputs.pool,
                        &account,
                        outcome,
                        ctx,
                    );
                },
            );
        }
        Event::QuotaRead(pool, epoch, account, row) => {
            with_quota_controller(
                state,
                pool,
                epoch,
                now,
                &mut out,
                |pool_state, controller, _, ctx| {
                    quota::apply_row(pool_state, controller, &account, row, ctx);
                },
            );
        }
        Event::HostOrdersRecorded(pool, epoch, outcome) => {
            with_host_controller(state, pool, now, &mut out, |controller, _, inputs, ctx| {
                if inputs.epoch == epoch {
                    hosts::apply_recorded(controller, &outcome, epoch, ctx);
                }
            });
        }
        Event::HostOrdered(pool, epoch, host, number, reply) => {
            with_host_controller(state, pool, now, &mut out, |controller, _, inputs, ctx| {
                if inputs.epoch == epoch {
                    hosts::apply_reply(controller, &host, number, reply, ctx);
                }
            });
        }
        Event::HostsRead(pool, epoch, list) => {
            with_wave_controller(
                state,
                pool,
                now,
                &mut out,
                |_, controller, _, (pool_epoch, _), _| {
                    if pool_epoch == epoch {
                        wave::apply_list(controller, list.clone());
                    }
                },
            );
            with_host_controller(state, pool, now, &mut out, |controller, _, inputs, _| {
                if inputs.epoch == epoch {
                    hosts::apply_list(controller, list);
                }
            });
        }
        Event::Standbys {
            rows,
            is_continuous,
        } => standby::apply_rows(state, &rows, is_continuous, now),
        Event::StandbyWritten(outcome) => standby::apply_settled(state, outcome, now, &mut out),
        Event::Store(answers) => apply_store_change(state, answers, now),
        Event::Stop => handover::begin(state, now),
    }
    if state.standbys.is_enabled() {
        let me = claimant(state);
        standby::settle(state, &me, now, &mut out);
    }
    fire_timers(state, now, &mut out);
    settle_pools(state, now, &mut out);
    out
}

fn apply_wave_row(state: &mut State, row: &StoredRow, now: Now, out: &mut Vec<Effect>) {
    let number = row.key.parse::<u64>().ok();
    let Some(wave) = number.and_then(|n| state.waves.get_mut(&n)) else {
        return;
    };
    let mut ctx = Ctx {
        now,
        pool: PoolKey(0),
        me: &state.me,
        cpu_milli: state.cpu_milli,
        deployment: state.deployment,
        until_ms: 0,
        timers: &mut state.timers,
        out,
    };
    wave::apply_row(wave, row, &mut ctx);
}

fn apply_operator_event(state: &mut State, change: OperatorEvent, now: Now, out: &mut Vec<Effect>) {
    match change {
        OperatorEvent::Config(config) => adopt_config(state, config, now, out),
        OperatorEvent::Wave(order) => {
            let known = WaveKnown {
                order,
                seen_ms: now.ms,
                ..WaveKnown::default()
            };
            state.waves.entry(known.order.wave).or_insert(known);
            for key in owned_pools(state) {
                state.timers.insert((now.ms, key, Timer::Wave));
            }
        }
        OperatorEvent::EvacuatedHalls(all) => halls::apply_all(state, all, now, out),
        OperatorEvent::HallEvacuated(hall) => halls::apply_change(state, hall, true, now, out),
        OperatorEvent::HallReturned(hall) => halls::apply_change(state, hall, false, now, out),
        OperatorEvent::Other(_) => {}
        OperatorEvent::Unreadable(key, why) => {
            let decision = Decision::new(Code::BadRow, Subject::Config, &key, why);
            out.push(Effect::Log(decision));
        }
    }
}

fn adopt_config(state: &mut State, config: Arc<FleetConfig>, now: Now, out: &mut Vec<Effect>) {
    if config.version <= state.config.version {
        return;
    }
    let version = config.version.to_string();
    let decision = Decision::new(Code::ConfigAdopted, Subject::Config, &version, "newer")
        .with("from", state.config.version)
        .with("queues", config.queues.len() as u64)
        .with("pools", config.pools.len() as u64)
        .with("accounts", config.accounts.len() as u64);
    out.push(Effect::Log(decision));
    if state.config.version == 0 {
        state.schedule_claims(now);
    }
    // Pools that queues are routed to need an owner for their jobs. Parked pools need one for their hosts.
    let names: Vec<String> = config.pools.keys().cloned().collect();
    state.config = config;
    for name in names {
        pool_key(state, &name, now);
    }
    for key in owned_pools(state) {
        with_pool(state, key, now, out, |pool, ctx, facts| {
            let ownership = pool.ownership.as_mut();
            if let Some(pool_state) = ownership.and_then(|t| t.pool_state.as_mut()) {
                pool_state.wants_quota = true;
                policy::refresh(pool_state, facts.config, ctx);
            }
        });
    }
}

fn apply_owner_row(state: &mut State, row: &StoredRow, now: Now, out: &mut Vec<Effect>) {
    let Some((name, shard)) = shard_of_part(&row.part) else {
        return;
    };
    let key = pool_key(state, name, now);
    if row.key == OFFERS_KEY {
        with_pool(state, key, now, out, |pool, ctx, _| {
            observe_offers(&mut pool.offers, &pool.name, [row], ctx);
        });
        return;
    }
    if row.key != OWNER_KEY && row.key != HEARTBEAT_KEY {
        return;
    }
    let me = state.me.clone();
    let nonce = state.nonce;
    with_pool(state, key, now, out, |pool, ctx, _| {
        if let Err(e) = owner_lease::observe(pool, shard, row, now.ms) {
            ctx.log(Decision::new(Code::BadRow, Subject::Pool, &pool.name, e));
        }
        let is_ours = pool.lease.is_ours(&me, nonce);
        let is_newer = pool
            .ownership
            .as_ref()
            .is_some_and(|t| t.epoch < pool.lease.epoch);
        if is_newer && !is_ours {
            owner_lease::lose_ownership(pool, "another entry owns the pool", ctx);
        }
        claim::resume_claim_if_ours(pool, nonce, ctx);
        let is_free = pool.lease.owner.entry.is_empty() || pool.lease.owner.entry == me;
        if pool.ownership.is_none() && is_free {
            ctx.set_timer(0, Timer::Claim);
        }
    });
}

fn apply_loaded_rows(
    state: &mut State,
    key: PoolKey,
    epoch: u64,
    rows: Option<LoadedRows>,
    now: Now,
    out: &mut Vec<Effect>,
) {
    if let Some(rows) = &rows {
        let (workers, asked_ms) = (rows.workers.clone(), rows.workers_asked_ms);
        apply_separate_list(state, workers, asked_ms, now, out);
        for row in &rows.waves {
            apply_wave_row(state, row, now, out);
        }
    }
    with_pool(state, key, now, out, |pool, ctx, facts| {
        let name = pool.name.clone();
        let Some(ownership) = pool.ownership.as_mut().filter(|t| t.epoch == epoch) else {
            return;
        };
        let Some(rows) = rows else {
            ctx.set_timer(LOAD_RETRY_MS, Timer::Load);
            return;
        };
        if !owner_lease::settle_epoch(ownership, &mut pool.lease, &rows.owner, ctx.me) {
            owner_lease::lose_ownership(
                pool,
                "the owner row read from the store belongs to another process",
                ctx,
            );
            return;
        }
        let epoch = ownership.epoch;
        let is_same_owner = pool.lease.former_owner == ctx.me;
        if !ownership.hosts.is_ready() {
            let former_host_orders = &pool.lease.former_host_orders;
            ownership.hosts = hosts::HostController::new(
                &rows.host_orders,
                former_host_orders,
                is_same_owner,
                ctx,
            );
        }
        let offers = rows.owner.iter().find(|row| row.key == OFFERS_KEY);
        observe_offers(&mut pool.offers, &pool.name, offers, ctx);
        let times = pool.lease.heartbeat.times.clone();
        let id = ownership.begin_reading(ctx);
        // The workers' leases are counted from this time. If they were counted from the claim, leases that this owner
        // has granted since would seem expired at once, and all running tasks would be requeued.
        let earlier = EarlierOrders {
            until_ms: ownership.earlier_orders_until_ms(ctx.now.ms),
            store_ms: match id.reading {
                1 => pool.lease.former_store_ms,
                _ => ctx.now.store_ms,
            },
        };
        let mut pool_state = load::build(&name, id, earlier, times, rows, facts, ctx);
        ownership.restore_first_shards(&mut pool_state);
        close_offered_hosts(&mut pool_state, &pool.offers);
        wave::close_leaving(&mut pool_state, &ownership.waves);
        for row in std::mem::take(&mut ownership.early_intake) {
            load::apply_intake(&mut pool_state, &row, facts.config, epoch, ctx);
        }
        run_log::log_loaded_pool(&name, &pool_state, ownership, facts, ctx);
        let workers: Vec<WorkerKey> = pool_state.workers.keys().collect();
        for worker in workers {
            start_renewing(&mut pool_state, worker, epoch, ctx);
        }
        ownership.pool_state = Some(pool_state);
        ctx.set_timer(RESORT_MS, Timer::Upkeep);
        ctx.set_timer(0, Timer::Remove);
        ctx.set_timer(0, Timer::Wave);
        ctx.set_timer(0, Timer::Size);
        ctx.set_timer(0, Timer::Hosts);
        ctx.set_timer(0, Timer::Quota);
    });
}

fn apply_intake_row(state: &mut State, row: &StoredRow, now: Now, out: &mut Vec<Effect>) {
    let home = state.pool_keys.get(pool_of_part(&row.part)).copied();
    if let Some(key) = home {
        apply_row_to_pool(state, key, row, now, out);
    }
    if let Some(id) = cancelled_job(&row.key) {
        // A job that another pool runs is cancelled in the intake of its home pool.
        for key in owned_pools(state) {
            let ownership = state.pools[usize::from(key.0)].ownership.as_ref();
            let pool_state = ownership.and_then(|o| o.pool_state.as_ref());
            let may_run = pool_state.is_none_or(|p| p.jobs_by_id.contains_key(id));
            if Some(key) != home && may_run {
                apply_row_to_pool(state, key, row, now, out);
            }
        }
    }
}

/// Applies the row of a job in the intake of another pool than the one that runs it.
fn apply_guest_row(state: &mut State, row: &StoredRow, now: Now, out: &mut Vec<Effect>) {
    let guest = guest_of(row).and_then(|pool| state.pool_keys.get(&pool).copied());
    if let Some(key) = guest {
        apply_row_to_pool(state, key, row, now, out);
    }
}

fn apply_row_to_pool(
    state: &mut State,
    key: PoolKey,
    row: &StoredRow,
    now: Now,
    out: &mut Vec<Effect>,
) {
    with_pool(state, key, now, out, |pool, ctx, facts| {
        let Some(ownership) = &mut pool.ownership else {
            return;
        };
        let epoch = ownership.epoch;
        match &mut ownership.pool_state {
            None => ownership.early_intake.push(row.clone()),
            Some(pool_state) => {
                let is_new = is_job_key(&row.key) && !pool_state.jobs_by_id.contains_key(&row.key);
                load::apply_intake(pool_state, row, facts.config, epoch, ctx);
                if is_new {
                    log_taken_job(pool_state, &row.key, facts.config.version, ctx);
                }
            }
        }
    });
}

/// Logs a new job with the figures that decide its place in the queue.
fn log_taken_job(pool_state: &PoolState, id: &str, config_version: u64, ctx: &mut Ctx<'_>) {
    let Some(job) = pool_state
        .jobs_by_id
        .get(id)
        .and_then(|key| pool_state.jobs.get(*key))
    else {
        return;
    };
    let due_ms = Deadlines::new(job, 0, ctx.now).due_ms;
    ctx.log(
        Decision::new(
            Code::JobTaken,
            Subject::Job,
            id,
            queue_and_account(&job.spec),
        )
        .with("work_core_ms", job.spec.work(&job.step_ms))
        .with(
            "chain_ms",
            job.spec.longest_chain_ms(&job.step_ms, |_| true),
        )
        .with("due_in_ms", due_ms.saturating_sub(ctx.now.ms))
        .with("excess", u64::from(job.is_excess))
        .with("attempts_max", u64::from(job.policy.attempts_max))
        .with("config", config_version),
    );
}

/// Returns the queue that a job came through, and the account that it belongs to.
fn queue_and_account(spec: &JobSpec) -> String {
    match &spec.account {
        Some(account) => format!("{} for {account}", spec.queue),
        None => spec.queue.clone(),
    }
}

fn settle_batch(
    state: &mut State,
    key: PoolKey,
    id: PoolStateId,
    shard: usize,
    outcome: TxOutcome,
    now: Now,
    out: &mut Vec<Effect>,
) {
    with_pool(state, key, now, out, |pool, ctx, _| {
        let Some(ownership) = ownership_of(&mut pool.ownership, id) else {
            return;
        };
        match commit::settle_batch(ownership, &mut pool.lease, shard, outcome, ctx) {
            Settled::Handled => {}
            Settled::PoolLost => owner_lease::lose_ownership(
                pool,
                "a batch met an owner row of another process",
                ctx,
            ),
            Settled::Diverged => {
                run_log::log_last_start_answers(ownership, ctx);
                ownership.drop_pool_state(ctx);
                ctx.out
                    .push(Effect::Load(ctx.pool, id.epoch, pool.name.clone()));
            }
        }
    });
}

fn fire_timers(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    while let Some((at_ms, key, timer)) = state.timers.first().copied() {
        if at_ms > now.ms {
            return;
        }
        state.timers.pop_first();
        fire_timer(state, key, timer, now, out);
    }
}

/// Records whether the store answers. Once it answers again, all pools are checked for a claim.
fn apply_store_change(state: &mut State, answers: bool, now: Now) {
    state.store_since_ms = answers.then_some(now.ms);
    if answers {
        state.schedule_claims(now);
    }
}

/// Describes this entry as a claimant of pools.
fn claimant(state: &State) -> claim::Claimant {
    let heartbeat_cpus = state
        .pools
        .iter()
        .map(|pool| pool.lease.heartbeat.cpu_milli);
    claim::Claimant {
        owned_pools: state.owned_count(),
        cpu_milli: state.cpu_milli,
        strongest_cpu_milli: heartbeat_cpus.max().filter(|milli| *milli > 0),
        store_since_ms: state.store_since_ms,
        follows_owners: state.follows_owners(),
        is_configured: state.config.version > 0,
        is_stopping: state.is_stopping(),
        nonce: state.nonce,
    }
}

fn fire_timer(state: &mut State, key: PoolKey, timer: Timer, now: Now, out: &mut Vec<Effect>) {
    if timer == Timer::Claim {
        let me = claimant(state);
        with_pool(state, key, now, out, |pool, ctx, _| {
            claim::claim_if_vacant(pool, &me, ctx);
        });
        return;
    }
    if timer == Timer::Size {
        reconcile_size(state, key, now, out);
        return;
    }
    if timer == Timer::Quota {
        let epoch = state.pools[usize::from(key.0)]
            .ownership
            .as_ref()
            .map(|t| t.epoch);
        with_quota_controller(state, key, epoch.unwrap_or(0), now, out, quota::reconcile);
        return;
    }
    if timer == Timer::Hosts {
        let carries_orders =
            with_host_controller(state, key, now, out, |controller, waves, inputs, ctx| {
                hosts::reconcile(controller, waves, inputs, ctx);
            });
        if !carries_orders {
            let at_ms = now.ms + hosts::IDLE_RECONCILE_MS;
            state.timers.insert((at_ms, key, timer));
        }
        return;
    }
    if timer == Timer::Wave {
        with_wave_controller(
            state,
            key,
            now,
            out,
            |pool_state, controller, waves, (epoch, name), ctx| {
                if let Some(pool_state) = pool_state {
                    wave::reconcile(pool_state, controller, waves, name, epoch, ctx);
                }
            },
        );
        return;
    }
    with_pool(state, key, now, out, |pool, ctx, _| {
        if timer == Timer::Renew {
            owner_lease::renew(pool, ctx);
            return;
        }
        let Some(ownership) = &mut pool.ownership else {
            return;
        };
        let epoch = ownership.epoch;
        match timer {
            Timer::Load => {
                ctx.out
                    .push(Effect::Load(ctx.pool, epoch, pool.name.clone()));
            }
            Timer::Resend(shard) => commit::resend(ownership, &mut pool.lease, shard, ctx),
            Timer::Remove => remove::remove_old_intake(ownership, ctx),
            _ => {
                if let Some(pool_state) = &mut ownership.pool_state {
                    fire_pool_state_timer(pool_state, timer, epoch, ctx);
                }
            }
        }
    });
}

fn fire_pool_state_timer(pool_state: &mut PoolState, timer: Timer, epoch: u64, ctx: &mut Ctx<'_>) {
    match timer {
        Timer::RenewWorker(worker) => renewal::send_next(pool_state, worker, epoch, ctx),
        Timer::ExpireLease(worker) => renewal::expire_lease(pool_state, worker, ctx),
        Timer::ResendStart(task, run) => starts::send_start(pool_state, task, run, epoch, ctx),
        Timer::ResendStop(task, run) => runs::resend_stop(pool_state, task, run, epoch, ctx),
        Timer::Upkeep => {
            task_waits::log(pool_state, ctx);
            pool_state.resort(ctx.now.ms);
            sizing::log_load(pool_state, ctx);
            runs::begin_due_rounds(pool_state, ctx);
            runs::end_exhausted_jobs(pool_state, epoch, ctx);
            halls::move_lasting(pool_state, epoch, ctx);
            for task in stragglers::review(pool_state, ctx) {
                runs::stop_run(pool_state, task, epoch, ctx);
            }
            renewal::renew_stuck(pool_state, epoch, ctx);
            late_starts::expire(pool_state, ctx.now.ms);
            pacing::drop_ended(pool_state);
            checkpoints::record_due(
                pool_state,
                ctx.deployment.checkpoint_interval_ms,
                ctx.now.ms,
            );
            pool_state.wants_placing = true;
            // The set of timers merges only equal timers that are due at the same time. The check keeps further cycles
            // of this timer from running side by side.
            let is_set =
                |(_, p, t): &(Millis, PoolKey, Timer)| *p == ctx.pool && *t == Timer::Upkeep;
            if !ctx.timers.iter().any(is_set) {
                ctx.set_timer(RESORT_MS, Timer::Upkeep);
            }
        }
        _ => {}
    }
}

/// Returns how many hosts the other pools lack for their work.
fn lacked_elsewhere(state: &State, key: PoolKey, now_ms: Millis) -> u64 {
    let others = state
        .pools
        .iter()
        .enumerate()
        .filter(|(n, _)| *n != usize::from(key.0));
    let leases = others.map(|(_, pool)| &pool.lease);
    let recent = leases.filter(|lease| now_ms < lease.heartbeat_seen_ms + hosts::NEED_KEPT_MS);
    let lacked = recent.map(|lease| {
        let HeartbeatRow {
            needed, serving, ..
        } = lease.heartbeat;
        needed.saturating_sub(serving)
    });
    lacked.fold(0, u64::saturating_add)
}

/// Reconciles the size of a pool, and brings the next heartbeat forward if the pool's needs changed.
fn reconcile_size(state: &mut State, key: PoolKey, now: Now, out: &mut Vec<Effect>) {
    let lacked = lacked_elsewhere(state, key, now.ms);
    with_pool(state, key, now, out, |pool, ctx, facts| {
        let is_parked = |name: &str| facts.config.pools.get(name).is_some_and(|p| p.is_parked);
        let can_park = facts.config.pools.values().any(|p| p.is_parked);
        if is_parked(&pool.name) {
            return;
        }
        let Some(ownership) = &mut pool.ownership else {
            return;
        };
        let epoch = ownership.epoch;
        let Some(pool_state) = &mut ownership.pool_state else {
            return;
        };
        let giving = &mut ownership.sizing.giving;
        let inputs = sizing::Inputs {
            pool: &pool.name,
            epoch,
            can_park,
            another_pool_lacks_hosts: giving.note(lacked, &pool.offers, ctx.now.ms),
            answer_ms: pool.lease.answer_ms,
        };
        if sizing::reconcile(
            pool_state,
            &mut ownership.sizing,
            &mut pool.offers,
            &inputs,
            ctx,
        ) {
            owner_lease::hasten_heartbeat(pool, ctx);
        }
    });
}

/// Requests grants as soon as work waits for them.
fn adjust_quota(state: &mut State, key: PoolKey, now: Now, out: &mut Vec<Effect>) {
    let ownership = state.pools[usize::from(key.0)].ownership.as_ref();
    let Some((epoch, pool_state)) = ownership.and_then(|t| Some((t.epoch, t.pool_state.as_ref()?)))
    else {
        return;
    };
    if pool_state.wants_quota {
        with_quota_controller(state, key, epoch, now, out, quota::adjust);
    }
}

/// Settles what may follow from any event: placement of waiting tasks, the next batch, release of pools when stopping.
fn settle_pools(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    if state.is_stopping() {
        handover::settle(state, now, out);
        return;
    }
    for key in owned_pools(state) {
        adjust_quota(state, key, now, out);
        with_pool(state, key, now, out, |pool, ctx, _| {
            let Some(ownership) = &mut pool.ownership else {
                return;
            };
            let epoch = ownership.epoch;
            if let Some(pool_state) = ownership.pool_state.as_mut() {
                crashes::end_given_up_jobs(pool_state, epoch, ctx);
                gang::stop_broken(pool_state, epoch, ctx);
                if pool_state.wants_placing && ctx.may_send() {
                    place::place(pool_state, ctx);
                    advice::request(pool_state, ctx);
                }
                run_log::log_old_start_answers(pool_state, ctx);
            }
            commit::flush(pool, ctx);
        });
    }
}
