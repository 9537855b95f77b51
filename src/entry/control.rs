//! The control thread: feeds events to the reducer and carries out its effects.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use smol::channel::{Receiver, Sender};
use smol::{Async, LocalExecutor, Timer};

use super::admin;
use super::balance::{Backend, Lane};
use super::shared::{Caller, PeerView, Route, Routes, Shared};
use crate::auth;
use crate::clock::{wall_ms, Millis, Now};
use crate::core::admit::Bucket;
use crate::core::config::Account;
use crate::core::operate::{Edit, Reply};
use crate::core::reduce::Ticket;
use crate::core::routes::{RouteService, RouteTable};
use crate::core::rows::{JobRow, FOLLOWED_PREFIXES};
use crate::core::state::{EntryIdentity, Tuning};
use crate::core::{reduce, Effect, Event, State};
use crate::error::{Error, Failure, Kind, Result};
use crate::metrics::Metrics;
use crate::port::{commit, HostList, HostOrders, OrderAnswer, RetryPolicy, Table, Tasks};
use crate::wire::PeerReply;

/// Bound on the wait for an operator's or a caller's edit; a commit gives up before.
const ASK_MS: Millis = 20_000;

/// Bound on leaving the table in order.
const LEAVE_MS: Millis = 3_000;

/// What other threads tell the control thread.
pub(super) enum Message {
    /// An event for the reducer.
    Event(Event),
    /// Somebody asks for a change.
    Ask {
        edit: Edit,
        reply: Sender<std::result::Result<Reply, Failure>>,
    },
    /// A peer polls us.
    Poll {
        digest: crate::core::members::Digest,
        since: u64,
        reply: Sender<PeerReply>,
    },
    /// A caller asks for a job.
    Job {
        id: String,
        reply: Sender<Option<JobRow>>,
    },
    /// The last request has ended: leave the table and end.
    Leave,
}

/// Asks the control thread for a change and waits for what becomes of it.
pub(super) async fn ask(shared: &Shared, edit: Edit) -> std::result::Result<Reply, Failure> {
    let (reply, answer) = smol::channel::bounded(1);
    shared.tell_control(Message::Ask { edit, reply });
    let wait = async { answer.recv().await.ok() };
    let late = async {
        Timer::after(Duration::from_millis(ASK_MS)).await;
        None
    };
    let answer = futures_lite::FutureExt::or(wait, late).await;
    answer.unwrap_or_else(|| Err(Kind::StoreUnknown.into()))
}

enum Waiting {
    Edit(Sender<std::result::Result<Reply, Failure>>),
    Peer(Sender<PeerReply>),
}

/// What the control thread owns.
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) state: RefCell<State>,
    executor: LocalExecutor<'static>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
    next_ticket: RefCell<u64>,
    backends: RefCell<HashMap<(SocketAddr, String), Arc<Backend>>>,
    lanes: RefCell<HashMap<String, Arc<Lane>>>,
    host_etag: RefCell<Option<String>>,
    published_seq: RefCell<u64>,
}

/// Starts the control thread, with the operators' listener on it.
pub(super) fn start(
    shared: Arc<Shared>,
    inbox: Receiver<Message>,
    operators: Async<TcpListener>,
) -> Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || {
            let control = Rc::new(Control::new(shared));
            let runner = Rc::clone(&control);
            smol::block_on(runner.executor.run(control.run(inbox, operators)));
        })
        .map_err(|e| Error::Io("control thread".to_string(), e))
}

impl Control {
    fn new(shared: Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let me = EntryIdentity {
            name: settings.name.clone(),
            incarnation: shared.incarnation,
            hall: settings.hall.clone(),
            peer: settings.peer_listen.to_string(),
            has_peers: !settings.peers.is_empty(),
        };
        let tuning = Tuning {
            drain_ms: settings.drain_ms,
            replace_ms: settings.replace_ms,
            ..Tuning::default()
        };
        let state = State::new(me, tuning, shared.incarnation);
        Self {
            shared,
            state: RefCell::new(state),
            executor: LocalExecutor::new(),
            waiting: RefCell::new(HashMap::new()),
            next_ticket: RefCell::new(0),
            backends: RefCell::new(HashMap::new()),
            lanes: RefCell::new(HashMap::new()),
            host_etag: RefCell::new(None),
            published_seq: RefCell::new(0),
        }
    }

    async fn run(self: Rc<Self>, inbox: Receiver<Message>, operators: Async<TcpListener>) {
        let ticker = Rc::clone(&self);
        self.executor
            .spawn(async move { ticker.tick().await })
            .detach();
        let admin = Rc::clone(&self);
        self.executor
            .spawn(async move { admin::accept(admin, operators).await })
            .detach();
        while let Ok(message) = inbox.recv().await {
            match message {
                Message::Leave => break,
                other => self.take(other),
            }
        }
        self.leave().await;
    }

    /// Runs a future on the control thread.
    pub(super) fn spawn(&self, future: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    async fn tick(self: Rc<Self>) {
        let tick_ms = self.state.borrow().tuning.tick_ms;
        loop {
            let busy = self.busy_hosts();
            let published_seq = *self.published_seq.borrow();
            Metrics::increment(&self.shared.metrics.ticks);
            self.handle(Event::Tick {
                published_seq,
                busy,
            });
            Timer::after(Duration::from_millis(tick_ms)).await;
        }
    }

    fn take(self: &Rc<Self>, message: Message) {
        match message {
            Message::Event(event) => self.handle(event),
            Message::Ask { edit, reply } => {
                let ticket = self.wait_for(Waiting::Edit(reply));
                self.handle(Event::EditRequested { ticket, edit });
            }
            Message::Poll {
                digest,
                since,
                reply,
            } => {
                let ticket = self.wait_for(Waiting::Peer(reply));
                self.handle(Event::PeerPolled {
                    ticket,
                    digest,
                    since,
                });
            }
            Message::Job { id, reply } => {
                let state = self.state.borrow();
                let job = state.job_ids.get(&id).map(|k| state.jobs[*k].row.clone());
                let _ = reply.try_send(job);
            }
            Message::Leave => {}
        }
    }

    fn wait_for(&self, waiting: Waiting) -> Ticket {
        let mut next = self.next_ticket.borrow_mut();
        *next += 1;
        let ticket = Ticket(*next);
        self.waiting.borrow_mut().insert(ticket, waiting);
        ticket
    }

    /// Reduces one event, carries out what follows, and tells the other threads.
    pub(super) fn handle(self: &Rc<Self>, event: Event) {
        let began = Instant::now();
        let now = Now {
            ms: self.shared.clock.now_ms(),
            wall_ms: wall_ms(),
        };
        let effects = reduce(&mut self.state.borrow_mut(), event, now);
        for effect in effects {
            self.carry_out(effect);
        }
        self.share();
        self.shared
            .metrics
            .record_control_us(began.elapsed().as_micros() as u64);
    }

    /// Tells the other threads what they may rely on.
    fn share(&self) {
        let state = self.state.borrow();
        // The effects are done, so the routes in force have taken in all that the state has.
        if state.has_view() {
            *self.published_seq.borrow_mut() = state.seq;
        }
        let shared = &self.shared;
        shared
            .confirmed_ms
            .store(state.confirmed_ms, Ordering::SeqCst);
        shared
            .store_down
            .store(state.reads.failing, Ordering::SeqCst);
        // Whoever sends must be waited for by drains: registered, or spoken for by a peer.
        let awaited = state.is_registered() || state.is_sponsored;
        let ready = state.has_view() && awaited && state.hosts_known;
        if ready && !shared.ready.swap(true, Ordering::SeqCst) {
            use crate::event::{Code, Decision, Subject};
            let why = if state.is_registered() {
                "registered, with a whole view"
            } else {
                "the table is out of reach; peers gave the view and speak for us"
            };
            let d = Decision::new(Code::EntryReady, Subject::Entry, &state.me.name, why);
            shared.tell(
                d.with("config_version", state.config_version)
                    .with("seq", state.seq),
            );
        }
        let view = shared.peer_view.load();
        let digest = state.digest();
        if view.digest != digest || view.since != state.seq {
            let since = state.seq;
            shared.peer_view.store(Arc::new(PeerView { digest, since }));
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Log(d) => self.shared.tell(d),
            Effect::Publish(table) => self.publish(*table),
            Effect::Answer { ticket, result } => {
                if let Some(Waiting::Edit(reply)) = self.waiting.borrow_mut().remove(&ticket) {
                    let _ = reply.try_send(result);
                }
            }
            Effect::AnswerPeer {
                ticket,
                digest,
                changes,
                complete,
                hosts,
            } => {
                if let Some(Waiting::Peer(reply)) = self.waiting.borrow_mut().remove(&ticket) {
                    let _ = reply.try_send(PeerReply::View {
                        digest,
                        changes,
                        complete,
                        hosts,
                    });
                }
            }
            asking => self.ask_platform(asking),
        }
    }

    /// Effects that ask the platform: carried out beside, their answers come back as events.
    fn ask_platform(self: &Rc<Self>, effect: Effect) {
        Metrics::increment(&self.shared.metrics.platform_calls);
        let this = Rc::clone(self);
        self.spawn(async move {
            let shared = Arc::clone(&this.shared);
            let platform = &shared.platform;
            match effect {
                Effect::ReadTable { since } => {
                    let begun_ms = shared.clock.now_ms();
                    let changes = platform.changes(since, &FOLLOWED_PREFIXES).await.ok();
                    this.handle(Event::TableRead { begun_ms, changes });
                }
                Effect::ReadHosts => {
                    let etag = this.host_etag.borrow().clone();
                    if let Ok(Some((etag, listing))) = platform.list(etag.as_deref()).await {
                        *this.host_etag.borrow_mut() = Some(etag);
                        this.handle(Event::HostsRead(Some(listing)));
                    }
                }
                Effect::ReadReports { since } => {
                    let reports = platform.reports(since).await.ok();
                    this.handle(Event::ReportsRead(reports));
                }
                Effect::Commit { txn, transaction } => {
                    let outcome = commit(platform, &transaction, RetryPolicy::default()).await;
                    this.handle(Event::Committed { txn, outcome });
                }
                Effect::StartTask(start) => {
                    let answer = platform.start(&start).await.ok();
                    let task = crate::port::TaskRef {
                        job: start.job,
                        attempt: start.attempt,
                    };
                    this.handle(Event::StartAnswered { task, answer });
                }
                Effect::StopTask(task) => {
                    let answer = platform.stop(&task).await.ok();
                    this.handle(Event::StopAnswered { task, answer });
                }
                Effect::RenewTasks(tasks) => {
                    let _ = platform.renew(&tasks).await;
                }
                Effect::Reboot { host, token } => {
                    let answer = platform.reboot(&host, &token).await;
                    let accepted = answer == Ok(OrderAnswer::Accepted);
                    this.handle(Event::RebootAnswered { host, accepted });
                }
                Effect::Log(_)
                | Effect::Publish(_)
                | Effect::Answer { .. }
                | Effect::AnswerPeer { .. } => {}
            }
        });
    }

    /// Puts routes in force. Marks go up before anybody counts what is in flight.
    fn publish(&self, table: RouteTable) {
        let mut services = HashMap::new();
        let mut open: BTreeSet<(SocketAddr, String)> = BTreeSet::new();
        for s in &table.services {
            let route = self.route(s, table.entries, &mut open);
            services.insert(s.service.name.clone(), Arc::new(route));
        }
        for (key, backend) in self.backends.borrow().iter() {
            backend.closed.store(!open.contains(key), Ordering::SeqCst);
        }
        let routes = Routes {
            services,
            callers: self.callers(&table),
            entries: table.entries,
        };
        self.shared.routes.store(Arc::new(routes));
        self.backends
            .borrow_mut()
            .retain(|key, b| open.contains(key) || b.in_flight.load(Ordering::SeqCst) > 0);
    }

    fn route(
        &self,
        s: &RouteService,
        entries: usize,
        open: &mut BTreeSet<(SocketAddr, String)>,
    ) -> Route {
        let name = &s.service.name;
        let settings = &self.shared.settings;
        let mut known = self.backends.borrow_mut();
        let backends = s
            .backends
            .iter()
            .map(|spec| {
                let key = (spec.address, name.clone());
                open.insert(key.clone());
                let fresh = || {
                    let bytes = settings.answer_bytes;
                    Arc::new(Backend::new(spec, name, &settings.hall, entries, bytes))
                };
                Arc::clone(known.entry(key).or_insert_with(fresh))
            })
            .collect();
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes
            .entry(name.clone())
            .or_insert_with(|| Arc::new(Lane::new()));
        Route {
            service: s.service.clone(),
            lane: Arc::clone(lane),
            backends,
        }
    }

    /// Accounts with their quota's part; what an account has saved stays with it while nothing changes.
    fn callers(&self, table: &RouteTable) -> HashMap<String, Arc<Caller>> {
        let old = self.shared.routes.load();
        let mut accounts = table.accounts.clone();
        if accounts.is_empty() {
            accounts.push(Account {
                name: auth::DEMO_ACCOUNT.to_string(),
                token_sha256: auth::token_hash(auth::DEMO_ACCOUNT),
                rate_per_s: 0,
                burst: 1,
            });
        }
        let now_ms = self.shared.clock.now_ms();
        let mut callers = HashMap::new();
        for a in accounts {
            let kept = old.callers.get(&a.token_sha256).filter(|c| {
                let same_split = old.entries == table.entries;
                same_split && c.account == a
            });
            let caller = match kept {
                Some(caller) => Arc::clone(caller),
                None => Arc::new(Caller {
                    name: a.name.clone(),
                    token_sha256: a.token_sha256.clone(),
                    bucket: Mutex::new(Bucket::new(a.rate_per_s, a.burst, table.entries, now_ms)),
                    account: a.clone(),
                }),
            };
            callers.insert(a.token_sha256, caller);
        }
        callers
    }

    /// Hosts that get no new work and still have requests of this entry in flight.
    fn busy_hosts(&self) -> Vec<String> {
        let busy: BTreeSet<String> = self
            .backends
            .borrow()
            .values()
            .filter(|b| b.closed.load(Ordering::SeqCst))
            .filter(|b| b.in_flight.load(Ordering::SeqCst) > 0)
            .map(|b| b.host.clone())
            .collect();
        busy.into_iter().collect()
    }

    /// Tells the table that this entry holds nothing any more, if the table answers soon.
    async fn leave(self: &Rc<Self>) {
        self.handle(Event::Stop);
        let until_ms = self.shared.clock.now_ms() + LEAVE_MS;
        while !self.state.borrow().pending.is_empty() && self.shared.clock.now_ms() < until_ms {
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}
