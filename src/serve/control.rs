//! The control thread: feeds events into the reducer and runs the effects that it returns.
//!
//! It owns the scheduler's in-memory state and is the only thread that changes it. `serve::run` starts it; the feeds
//! and the answers of the platform reach it as events through one channel.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Timer};

use super::feeds;
use super::guests::GuestIntake;
use super::owned::OwnedPools;
use super::pool_rows::Reading;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::hosts::{controller_pool, HostTask};
use crate::core::sched::limits::{
    ORDER_TIMEOUT_MS, RENEWAL_SLACK_MS, TX_RETRY_MS, TX_TIMEOUT_MAX_MS, TX_TIMEOUT_MS,
};
use crate::core::sched::quota::quota_part;
use crate::core::sched::state::{Effect, Event, Order, State};
use crate::core::sched::tickets::AdviceRequest;
use crate::core::sched::{reduce, rows};
use crate::event::{Code, Decision, Subject};
use crate::guard::{or_after_panic, restart_after_panic};
use crate::port::fleet::{
    AdviceError, AdviceService, Directory, HostAuthority, HostListing, HostMoves, HostReply,
    OrderReply, Range, ReadError, Rows, StoredRow, Table, TxOutcome, WaveStatus, WorkerOrders,
};

/// The longest sleep of the event loop while nothing is due.
const IDLE_MS: Millis = 1_000;

/// The shortest suspension of the host that is logged. The suspended time is the difference of two clocks that are read
/// one after the other, so small values mean nothing.
const SUSPENSION_MS: Millis = 100;

/// Runs effects on the platform and sends their outcomes back to the reducer as events.
struct EffectRunner<P> {
    platform: P,
    shared: Arc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    owned: Rc<OwnedPools>,
    /// Why records of hosts could not be decoded when the list was last read.
    unreadable_hosts: Rc<RefCell<Vec<String>>>,
}

/// Runs the control thread from its beginning; does not return. After a panic, another run is to its predecessor's pools as
/// a new process of this entry.
pub(super) fn run<P>(platform: P, shared: &Arc<Shared>, stop_receiver: Receiver<()>)
where
    P: Rows + Directory + WorkerOrders + AdviceService + HostMoves + WaveStatus + Clone + 'static,
{
    let executor = Rc::new(LocalExecutor::new());
    let (events, inbox) = smol::channel::unbounded();
    let runner = EffectRunner {
        platform: platform.clone(),
        shared: Arc::clone(shared),
        executor: Rc::clone(&executor),
        events: events.clone(),
        owned: Rc::new(OwnedPools::default()),
        unreadable_hosts: Rc::default(),
    };
    spawn_feeds(&runner);
    let stop_on_signal = async move {
        if stop_receiver.recv().await.is_ok() {
            let _ = events.send(Event::Stop).await;
        }
    };
    executor.spawn(stop_on_signal).detach();
    smol::block_on(executor.run(run_event_loop(&runner, inbox)));
}

/// Starts the tasks that follow the store's tables.
fn spawn_feeds<P>(runner: &EffectRunner<P>)
where
    P: Rows + Directory + Clone + 'static,
{
    let EffectRunner {
        platform,
        shared,
        executor,
        events,
        owned,
        ..
    } = runner;
    let parts = || {
        let platform = platform.clone();
        (
            platform,
            Arc::clone(shared),
            Rc::clone(owned),
            events.clone(),
        )
    };
    let (platform, shared, _, events) = parts();
    runner.spawn_feed("the operator's feed", move || {
        feeds::follow_operator(platform.clone(), Arc::clone(&shared), events.clone())
    });
    let (platform, shared, owned, events) = parts();
    runner.spawn_feed("the workers' feed", move || {
        let shared = Arc::clone(&shared);
        feeds::follow_workers(platform.clone(), shared, Rc::clone(&owned), events.clone())
    });
    let (platform, _, owned, events) = parts();
    runner.spawn_feed("the owners' feed", move || {
        feeds::follow_owners(platform.clone(), Rc::clone(&owned), events.clone())
    });
    let (platform, _, owned, events) = parts();
    runner.spawn_feed("the standbys' feed", move || {
        feeds::follow_standbys(platform.clone(), Rc::clone(&owned), events.clone())
    });
    let (platform, _, owned, events) = parts();
    runner.spawn_feed("the waves' feed", move || {
        feeds::follow_waves(platform.clone(), Rc::clone(&owned), events.clone())
    });
    let (platform, shared, owned, events) = parts();
    let guests = GuestIntake::new(
        platform.clone(),
        Arc::clone(&shared),
        executor,
        Rc::clone(&owned),
        events,
    );
    runner.spawn_feed("the intake's feed", move || {
        let owned = Rc::clone(&owned);
        feeds::follow_intake(platform.clone(), Arc::clone(&shared), owned, guests.clone())
    });
}

async fn run_event_loop<P>(runner: &EffectRunner<P>, inbox: Receiver<Event>)
where
    P: Rows + Directory + WorkerOrders + AdviceService + HostMoves + WaveStatus + Clone + 'static,
{
    let shared = &runner.shared;
    let mut state = State::new(shared.settings.name.clone(), fastrand::u64(1..))
        .with_cpu_milli(shared.settings.cpu_milli)
        .with_deployment(shared.settings.deployment)
        .with_standbys();
    let mut suspended_ms = shared.clock.suspended_ms();
    loop {
        let event = next_event(shared, &state, &inbox).await;
        suspended_ms = log_suspension(shared, suspended_ms);
        let began = Instant::now();
        if let Event::Owner(row) = &event {
            publish_waiting(shared, row);
        }
        let effects = reduce(&mut state, event, shared.now());
        update_owned_pools(runner, &state);
        for effect in effects {
            runner.run_effect(effect);
        }
        shared
            .metrics
            .record_control_us(began.elapsed().as_micros() as u64);
    }
}

/// Logs how long the host was suspended since the suspended time was `known_ms`. Returns the total suspended time so
/// far, or `known_ms` if the difference is too small to log.
///
/// The control thread calls this before it reduces an event, so the log line precedes the decisions that follow.
/// Leases, configurations and views that became too old during the suspension are dropped by their age, which counts
/// the suspended time.
fn log_suspension(shared: &Shared, known_ms: Millis) -> Millis {
    let suspended_ms = shared.clock.suspended_ms();
    let for_ms = suspended_ms.saturating_sub(known_ms);
    if for_ms < SUSPENSION_MS {
        return known_ms;
    }
    let name = &shared.settings.name;
    let decision = Decision::new(
        Code::Resumed,
        Subject::Entry,
        name,
        "the host was suspended",
    );
    shared.log_decision(decision.with("for_ms", for_ms));
    suspended_ms
}

async fn next_event(shared: &Shared, state: &State, inbox: &Receiver<Event>) -> Event {
    if let Ok(event) = inbox.try_recv() {
        return event;
    }
    let now_ms = shared.clock.now_ms();
    let wake_ms = state.wake_ms().unwrap_or(now_ms + IDLE_MS);
    let wake = shared.clock.instant(wake_ms.min(now_ms + IDLE_MS));
    let timer = async {
        Timer::at(wake).await;
        Event::Tick
    };
    // This thread holds a sender, so the channel is never closed.
    let received = async { inbox.recv().await.unwrap_or(Event::Tick) };
    received.or(timer).await
}

/// Publishes the numbers of waiting jobs in the heartbeat of a pool's owner to the traffic thread.
fn publish_waiting(shared: &Shared, row: &StoredRow) {
    let Some(value) = row
        .value
        .as_deref()
        .filter(|_| row.key == rows::HEARTBEAT_KEY)
    else {
        return;
    };
    let Some((pool, _)) = rows::shard_of_part(&row.part) else {
        return;
    };
    // The reducer logs a row that can't be decoded.
    if let Ok(heartbeat) = rows::decode::<rows::HeartbeatRow>(value) {
        if let Some(waiting) = heartbeat.waiting {
            shared.set_waiting_counts(pool, waiting, 0);
        }
    }
}

/// Tells the feeds which pools this entry owns now, whether it orders hosts and whether it follows the owners.
fn update_owned_pools<P>(runner: &EffectRunner<P>, state: &State) {
    let pools = state.pools.iter().filter(|p| p.ownership.is_some());
    let oldest = pools
        .clone()
        .filter_map(|p| p.ownership.as_ref().map(|t| t.epoch))
        .min();
    match (runner.owned.intake_from.get(), oldest) {
        (None, Some(epoch)) => runner.owned.follow_intake_from(Some(epoch)),
        (Some(_), None) => runner.owned.follow_intake_from(None),
        _ => {}
    }
    runner.owned.owners.set_open(state.follows_owners());
    let are_standbys_full = state.standbys.is_full();
    runner.owned.are_standbys_full.set(are_standbys_full);
    let controller_pool = controller_pool(&state.config);
    let has_controller = pools
        .clone()
        .any(|p| Some(p.name.as_str()) == controller_pool);
    runner.owned.orders_hosts.set(has_controller);
    let mut names = runner.owned.pools.borrow_mut();
    if names.len() != pools.clone().count() || !pools.clone().all(|p| names.contains(&p.name)) {
        *names = pools.map(|p| p.name.clone()).collect();
    }
}

impl<P> EffectRunner<P>
where
    P: Rows + Directory + WorkerOrders + AdviceService + HostMoves + WaveStatus + Clone + 'static,
{
    fn run_effect(&self, effect: Effect) {
        let platform = self.platform.clone();
        let shared = Arc::clone(&self.shared);
        let owned = Rc::clone(&self.owned);
        let unreadable_hosts = Rc::clone(&self.unreadable_hosts);
        let sent_ms = self.shared.clock.now_ms();
        match effect {
            Effect::Claim(pool, shard, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::Claimed(pool, shard, sent_ms, outcome))
            }),
            Effect::Renew(pool, epoch, shard, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::Renewed(pool, epoch, shard, sent_ms, outcome))
            }),
            Effect::Release(tx) => self.spawn(async move {
                retry_until_known(|| shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS)).await;
                None
            }),
            Effect::ReportWave(wave, status) => self.spawn(async move {
                retry_until_known(|| platform.write_wave_state(wave, status)).await;
                None
            }),
            Effect::ReadHosts(pool, epoch) => self.spawn(async move {
                // If the read fails, the next reconciliation of the wave asks again.
                let call = platform.list_hosts();
                let unknown = Err(ReadError::Down);
                let listing = or_after_panic(unknown, call, |why| {
                    shared.log_panic("the list of hosts", why)
                })
                .await;
                let listing = listing.ok()?;
                log_unreadable_hosts(&shared, &unreadable_hosts, &listing);
                Some(Event::HostsRead(pool, epoch, listing))
            }),
            Effect::Load(pool, epoch, name) => self.spawn(async move {
                let call = Reading::new(&platform, &shared, owned, &name).load();
                let unknown = Err(ReadError::Down);
                let rows = or_after_panic(unknown, call, |why| {
                    shared.log_panic("a reading of a pool", why)
                })
                .await;
                Some(Event::Loaded(pool, epoch, rows.ok()))
            }),
            Effect::Record(pool, pool_state, shard, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::Recorded(pool, pool_state, shard, outcome))
            }),
            Effect::Start(order, task, start) => {
                self.spawn(async move {
                    let reply = if may_send(&shared, &order) {
                        let call = platform.start(&order.to, &start, ORDER_TIMEOUT_MS);
                        or_after_panic(OrderReply::Silent, call, |why| {
                            shared.log_panic("a start", why)
                        })
                        .await
                    } else {
                        OrderReply::Silent
                    };
                    Some(Event::Started(
                        order.pool,
                        order.pool_state,
                        task,
                        start.run,
                        reply,
                    ))
                });
            }
            Effect::Stop(order, task, name, run) => {
                self.spawn(async move {
                    let reply = if may_send(&shared, &order) {
                        let call = platform.stop(&order.to, &name, run, ORDER_TIMEOUT_MS);
                        or_after_panic(OrderReply::Silent, call, |why| {
                            shared.log_panic("a stop", why)
                        })
                        .await
                    } else {
                        OrderReply::Silent
                    };
                    Some(Event::Stopped(
                        order.pool,
                        order.pool_state,
                        task,
                        run,
                        reply,
                    ))
                });
            }
            Effect::StopStray(order, name, run) => {
                self.spawn(async move {
                    if may_send(&shared, &order) {
                        // If no answer comes, the next report lists the run again.
                        let _ = platform.stop(&order.to, &name, run, ORDER_TIMEOUT_MS).await;
                    }
                    None
                });
            }
            Effect::Pace(order, task, name, run, percent) => {
                self.spawn(async move {
                    let reply = if may_send(&shared, &order) {
                        let call = platform.pace(&order.to, &name, run, percent, ORDER_TIMEOUT_MS);
                        or_after_panic(OrderReply::Silent, call, |why| {
                            shared.log_panic("an order on pace", why)
                        })
                        .await
                    } else {
                        OrderReply::TooLate
                    };
                    let (pool, pool_state) = (order.pool, order.pool_state);
                    Some(Event::Paced(pool, pool_state, task, run, percent, reply))
                });
            }
            Effect::RenewWorker(order, worker, request) => {
                self.spawn(async move {
                    let result = if may_send(&shared, &order) {
                        let timeout_ms = request.wait_ms + RENEWAL_SLACK_MS;
                        let call = platform.renew_lease(&order.to, request, timeout_ms);
                        or_after_panic(Err(OrderReply::Silent), call, |why| {
                            shared.log_panic("a renewal", why)
                        })
                        .await
                    } else {
                        Err(OrderReply::Silent)
                    };
                    let (pool, pool_state) = (order.pool, order.pool_state);
                    Some(Event::WorkerRenewed(
                        pool, pool_state, worker, sent_ms, result,
                    ))
                });
            }
            Effect::Advise(pool, pool_state, request) => self.spawn(async move {
                let AdviceRequest {
                    step,
                    name,
                    workers,
                    worker_ids,
                    timeout_ms,
                } = request;
                let call = platform.advise(&name, &worker_ids, timeout_ms);
                let unknown = Err(AdviceError::Down);
                let result = or_after_panic(unknown, call, |why| {
                    shared.log_panic("a call for advice", why)
                })
                .await;
                Some(Event::Advised(
                    pool, pool_state, step, workers, sent_ms, result,
                ))
            }),
            Effect::SettleWave(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::WaveSettled(pool, epoch, outcome))
            }),
            Effect::RecordHostsOut(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::HostsOutRecorded(pool, epoch, outcome))
            }),
            Effect::RemoveIntake(pool, pool_state, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::IntakeRemoved(pool, pool_state, outcome))
            }),
            Effect::SettleOffers(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::OffersSettled(pool, epoch, outcome))
            }),
            Effect::TakeHosts(pool, epoch, from, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::HostsTaken(pool, epoch, from, outcome))
            }),
            Effect::SettleQuota(pool, epoch, account, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::QuotaSettled(pool, epoch, account, outcome))
            }),
            Effect::ReadQuota(pool, epoch, account) => self.spawn(async move {
                // If the read fails, the next reconciliation asks again.
                let call = read_quota(&platform, &account);
                let unknown = Err(ReadError::Down);
                let row = or_after_panic(unknown, call, |why| {
                    shared.log_panic("a reading of a quota", why)
                })
                .await;
                let row = row.ok()?;
                Some(Event::QuotaRead(pool, epoch, account, row))
            }),
            Effect::RecordHostOrders(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::HostOrdersRecorded(pool, epoch, outcome))
            }),
            Effect::WriteStandby(tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::StandbyWritten(outcome))
            }),
            Effect::OrderHost(pool, epoch, host, number, task, until_ms) => {
                self.spawn(async move {
                    let authority = HostAuthority {
                        entry: shared.settings.name.clone(),
                        fence: epoch,
                    };
                    let reply = if shared.clock.now_ms() < until_ms {
                        let call = send_host_order(&platform, &authority, &host, &task);
                        or_after_panic(HostReply::Silent, call, |why| {
                            shared.log_panic("an order to a host", why)
                        })
                        .await
                    } else {
                        HostReply::TooMany
                    };
                    Some(Event::HostOrdered(pool, epoch, host, number, reply))
                });
            }
            Effect::Log(decision) => self.shared.log_decision(decision),
            Effect::Left => {}
        }
    }

    fn spawn(&self, work: impl Future<Output = Option<Event>> + 'static) {
        let events = self.events.clone();
        let task = async move {
            if let Some(event) = work.await {
                // The receiver is closed only when the process ends.
                let _ = events.send(event).await;
            }
        };
        self.executor.spawn(task).detach();
    }
}

impl<P> EffectRunner<P> {
    /// Runs a feed, and starts it again if it panics: nobody else would bring its changes.
    fn spawn_feed<F: Future<Output = ()> + 'static>(
        &self,
        name: &'static str,
        start: impl Fn() -> F + 'static,
    ) {
        let shared = Arc::clone(&self.shared);
        let feed = async move {
            restart_after_panic(start, |why| shared.log_panic(name, why)).await;
        };
        self.executor.spawn(feed).detach();
    }
}

/// Logs the records of hosts that can't be decoded, if they are others than at the last reading.
fn log_unreadable_hosts(shared: &Shared, known: &RefCell<Vec<String>>, listing: &HostListing) {
    if *known.borrow() == listing.unreadable {
        return;
    }
    if let Some(why) = listing.unreadable.first() {
        let why = format!("records in the list of hosts cannot be decoded, the first: {why}");
        let name = &shared.settings.name;
        let decision = Decision::new(Code::BadRow, Subject::Host, name, why);
        shared.log_decision(decision.with("records", listing.unreadable.len() as u64));
    }
    known.replace(listing.unreadable.clone());
}

/// Whether the owner's lease, on which an order is sent, is still valid.
fn may_send(shared: &Shared, order: &Order) -> bool {
    shared.clock.now_ms() < order.until_ms
}

async fn send_host_order<P: HostMoves>(
    platform: &P,
    authority: &HostAuthority,
    host: &str,
    task: &HostTask,
) -> HostReply {
    match task {
        HostTask::Move(pool) => {
            platform
                .move_host(authority, host, pool, TX_TIMEOUT_MS)
                .await
        }
        HostTask::Upkeep(wave) => {
            platform
                .start_maintenance(authority, host, *wave, TX_TIMEOUT_MS)
                .await
        }
    }
}

/// Repeats a write until it is committed or conflicts, a few times at most. The write must be guarded or idempotent.
async fn retry_until_known<F: Future<Output = TxOutcome>>(send: impl Fn() -> F) {
    const TRIES: u32 = 5;
    for _ in 0..TRIES {
        let outcome = send().await;
        if matches!(outcome, TxOutcome::Committed(_) | TxOutcome::Conflict(_)) {
            return;
        }
        Timer::after(Duration::from_millis(TX_RETRY_MS)).await;
    }
}

async fn read_quota<P: Rows>(platform: &P, account: &str) -> Result<Option<StoredRow>, ReadError> {
    let range = Range {
        from: account.to_string(),
        until: format!("{account}\u{1}"),
        rows_max: 1,
    };
    let part = quota_part(account);
    let scan = platform.scan(Table::Quotas, &part, range, TX_TIMEOUT_MS);
    Ok(scan.await?.rows.into_iter().next())
}
