//! The control thread: events into the reducer, its effects out.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Timer};

use super::feeds::{self, Owned};
use super::operations::{whole, whole_intake, whole_progress};
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::hosts::{controller_pool, HostTask};
use crate::core::sched::limits::{
    ORDER_TIMEOUT_MS, RENEWAL_SLACK_MS, TX_RETRY_MS, TX_TIMEOUT_MAX_MS, TX_TIMEOUT_MS,
};
use crate::core::sched::quota::quota_part;
use crate::core::sched::state::{Effect, Event, LoadedRows, Order, State};
use crate::core::sched::{reduce, rows};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    Directory, HostAuthority, HostMoves, HostReply, OrderReply, Range, ReadError, Rows, StoredRow,
    Table, TxOutcome, WaveStatus, WorkerOrders,
};

/// Longest sleep of the loop when nothing is due.
const IDLE_MS: Millis = 1_000;

/// Shorter suspensions are not told: the two clocks are read one after the other.
const SUSPENSION_MS: Millis = 100;

/// Carries effects out; what they come to comes back as events.
struct Carrier<P> {
    platform: P,
    shared: Arc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    owned: Rc<Owned>,
}

/// Runs control; comes back only with the process.
pub(super) fn run<P>(platform: P, shared: &Arc<Shared>, leave: Receiver<()>)
where
    P: Rows + Directory + WorkerOrders + HostMoves + WaveStatus + Clone + 'static,
{
    let executor = Rc::new(LocalExecutor::new());
    let (events, inbox) = smol::channel::unbounded();
    let carrier = Carrier {
        platform: platform.clone(),
        shared: Arc::clone(shared),
        executor: Rc::clone(&executor),
        events: events.clone(),
        owned: Rc::new(Owned::default()),
    };
    let operator = feeds::operator(platform.clone(), Arc::clone(shared), events.clone());
    executor.spawn(operator).detach();
    let workers = feeds::workers(platform.clone(), Rc::clone(&carrier.owned), events.clone());
    executor.spawn(workers).detach();
    let owners = feeds::owners(platform.clone(), Rc::clone(&carrier.owned), events.clone());
    executor.spawn(owners).detach();
    let waves = feeds::waves(platform.clone(), Rc::clone(&carrier.owned), events.clone());
    executor.spawn(waves).detach();
    let intake = feeds::intake(platform, Rc::clone(&carrier.owned), events.clone());
    executor.spawn(intake).detach();
    let leaving = async move {
        if leave.recv().await.is_ok() {
            let _ = events.send(Event::Stop).await;
        }
    };
    executor.spawn(leaving).detach();
    smol::block_on(executor.run(turn(&carrier, inbox)));
}

async fn turn<P>(carrier: &Carrier<P>, inbox: Receiver<Event>)
where
    P: Rows + Directory + WorkerOrders + HostMoves + WaveStatus + Clone + 'static,
{
    let shared = &carrier.shared;
    let mut state = State::new(shared.settings.name.clone(), fastrand::u64(1..))
        .with_cpu_milli(shared.settings.cpu_milli);
    let mut suspended_ms = shared.clock.suspended_ms();
    loop {
        let event = next_event(shared, &state, &inbox).await;
        suspended_ms = tell_suspension(shared, suspended_ms);
        let began = Instant::now();
        if let Event::Owner(row) = &event {
            publish_waiting(shared, row);
        }
        let effects = reduce(&mut state, event, shared.now());
        note_owned(carrier, &state);
        for effect in effects {
            carrier.carry(effect);
        }
        shared
            .metrics
            .control_took(began.elapsed().as_micros() as u64);
    }
}

/// Tells that the host was suspended since `known_ms`, before anything is decided; gives what is known now. What rests on
/// an older lease, configuration or view is dropped by its age, which counts that time.
fn tell_suspension(shared: &Shared, known_ms: Millis) -> Millis {
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
    shared.tell(decision.with("for_ms", for_ms));
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
    // The sender lives in this thread: the channel is never closed.
    let message = async { inbox.recv().await.unwrap_or(Event::Tick) };
    message.or(timer).await
}

/// Hands on what a pool's owner says of waiting jobs.
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
    // A row that can't be read is logged by the reducer.
    if let Ok(beat) = rows::decode::<rows::HeartbeatRow>(value) {
        if let Some(waiting) = beat.waiting {
            shared.set_waiting(pool, waiting);
        }
    }
}

fn note_owned<P>(carrier: &Carrier<P>, state: &State) {
    let pools = state.pools.iter().filter(|p| p.ownership.is_some());
    let oldest = pools
        .clone()
        .filter_map(|p| p.ownership.as_ref().map(|t| t.epoch))
        .min();
    match (carrier.owned.intake_from.get(), oldest) {
        (None, Some(epoch)) => carrier.owned.intake_from.set(Some(epoch)),
        (Some(_), None) => carrier.owned.intake_from.set(None),
        _ => {}
    }
    let controller_pool = controller_pool(&state.config);
    let has_controller = pools
        .clone()
        .any(|p| Some(p.name.as_str()) == controller_pool);
    carrier.owned.orders_hosts.set(has_controller);
    let mut names = carrier.owned.pools.borrow_mut();
    if names.len() != pools.clone().count() || !pools.clone().all(|p| names.contains(&p.name)) {
        *names = pools.map(|p| p.name.clone()).collect();
    }
}

impl<P> Carrier<P>
where
    P: Rows + Directory + WorkerOrders + HostMoves + WaveStatus + Clone + 'static,
{
    fn carry(&self, effect: Effect) {
        let platform = self.platform.clone();
        let shared = Arc::clone(&self.shared);
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
                insist(|| shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS)).await;
                None
            }),
            Effect::TellWave(wave, status) => self.spawn(async move {
                insist(|| platform.tell_wave(wave, status)).await;
                None
            }),
            Effect::ReadHosts(pool, epoch) => self.spawn(async move {
                // Without the list, the next look at the wave asks again.
                let hosts = platform.hosts().await.ok()?;
                Some(Event::HostsRead(pool, epoch, hosts))
            }),
            Effect::Load(pool, epoch, name) => self.spawn(async move {
                let rows = load(&shared, &platform, &name).await.ok();
                Some(Event::Loaded(pool, epoch, rows))
            }),
            Effect::Record(pool, pool_state, shard, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::Recorded(pool, pool_state, shard, outcome))
            }),
            Effect::Start(order, task, start) => {
                self.spawn(async move {
                    let reply = if may_send(&shared, &order) {
                        platform.start(&order.to, &start, ORDER_TIMEOUT_MS).await
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
                        platform.stop(&order.to, &name, run, ORDER_TIMEOUT_MS).await
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
                        // Without an answer, the next account shows the run again.
                        let _ = platform.stop(&order.to, &name, run, ORDER_TIMEOUT_MS).await;
                    }
                    None
                });
            }
            Effect::Pace(order, name, run, percent) => {
                self.spawn(async move {
                    if may_send(&shared, &order) {
                        // Without an answer, the next account shows the old pace.
                        let timeout_ms = ORDER_TIMEOUT_MS;
                        let _ = platform
                            .pace(&order.to, &name, run, percent, timeout_ms)
                            .await;
                    }
                    None
                });
            }
            Effect::RenewWorker(order, worker, ask) => {
                self.spawn(async move {
                    let result = if may_send(&shared, &order) {
                        let timeout_ms = ask.wait_ms + RENEWAL_SLACK_MS;
                        platform.renew_lease(&order.to, ask, timeout_ms).await
                    } else {
                        Err(OrderReply::Silent)
                    };
                    let (pool, pool_state) = (order.pool, order.pool_state);
                    Some(Event::WorkerRenewed(
                        pool, pool_state, worker, sent_ms, result,
                    ))
                });
            }
            Effect::SettleWave(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::WaveSettled(pool, epoch, outcome))
            }),
            Effect::SettleOrdered(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::OrderedSettled(pool, epoch, outcome))
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
                // Without an answer, the next look asks again.
                let row = read_quota(&platform, &account).await.ok()?;
                Some(Event::QuotaRead(pool, epoch, account, row))
            }),
            Effect::RecordHostOrders(pool, epoch, tx) => self.spawn(async move {
                let outcome = shared.transact(&platform, &tx, TX_TIMEOUT_MAX_MS).await;
                Some(Event::HostOrdersRecorded(pool, epoch, outcome))
            }),
            Effect::OrderHost(pool, epoch, host, task, until_ms) => {
                self.spawn(async move {
                    let who = HostAuthority {
                        entry: shared.settings.name.clone(),
                        fence: epoch,
                    };
                    let reply = if shared.clock.now_ms() < until_ms {
                        order_host(&platform, &who, &host, &task).await
                    } else {
                        HostReply::TooMany
                    };
                    Some(Event::HostOrdered(pool, epoch, host, reply))
                });
            }
            Effect::Log(decision) => self.shared.tell(decision),
            Effect::Left => {}
        }
    }

    fn spawn(&self, work: impl Future<Output = Option<Event>> + 'static) {
        let events = self.events.clone();
        let task = async move {
            if let Some(event) = work.await {
                // Control is gone only when the process ends.
                let _ = events.send(event).await;
            }
        };
        self.executor.spawn(task).detach();
    }
}

fn may_send(shared: &Shared, order: &Order) -> bool {
    shared.clock.now_ms() < order.until_ms
}

async fn order_host<P: HostMoves>(
    platform: &P,
    who: &HostAuthority,
    host: &str,
    task: &HostTask,
) -> HostReply {
    match task {
        HostTask::Move(pool) => platform.move_to(who, host, pool, TX_TIMEOUT_MS).await,
        HostTask::Upkeep(wave) => platform.upkeep(who, host, *wave, TX_TIMEOUT_MS).await,
    }
}

/// Sends a guarded or repeatable write until its fate is known.
async fn insist<F: Future<Output = TxOutcome>>(send: impl Fn() -> F) {
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

async fn load<P: Rows + Directory>(
    shared: &Shared,
    platform: &P,
    pool: &str,
) -> Result<LoadedRows, ReadError> {
    Ok(LoadedRows {
        intake: whole_intake(platform, pool).await?,
        progress: whole_progress(platform, pool).await?,
        owner: whole(platform, Table::Owners, pool).await?,
        workers_asked_ms: shared.clock.now_ms(),
        workers: feeds::present(&platform.workers().await?),
        waves: whole(platform, Table::Waves, "").await?,
        host_orders: whole(platform, Table::HostOrders, pool).await?,
    })
}
