//! The control thread: passes events to the reducer and carries out the effects that it returns.
//!
//! Owns the entry's state, the backend servers and the queues of services. Other threads send it a [`Message`], and
//! it publishes what they may use, such as the routes in force, in [`Shared`]. `entry::run` starts it.

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
use super::balance::{Admission, Backend};
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

/// Longest wait for the reply to an operator's or a caller's edit. Must exceed the time after which a commit gives up.
const EDIT_WAIT_MAX_MS: Millis = 20_000;

/// Longest wait, when the entry stops, for its commits to the table.
const LEAVE_MAX_MS: Millis = 3_000;

/// A message from another thread to the control thread.
pub(super) enum Message {
    /// An event for the reducer.
    Event(Event),
    /// An operator or a caller requests a change.
    Edit {
        edit: Edit,
        reply: Sender<std::result::Result<Reply, Failure>>,
    },
    /// A peer polls this entry.
    Poll {
        digest: crate::core::members::Digest,
        since: u64,
        reply: Sender<PeerReply>,
    },
    /// A caller requests the row of a job.
    Job {
        id: String,
        reply: Sender<Option<JobRow>>,
    },
    /// The last request has ended. The control thread records in the table that this entry has left, then ends.
    Leave,
}

/// Sends an edit to the control thread and waits for its result.
pub(super) async fn submit_edit(
    shared: &Shared,
    edit: Edit,
) -> std::result::Result<Reply, Failure> {
    let (reply, answer) = smol::channel::bounded(1);
    shared.send_to_control(Message::Edit { edit, reply });
    let wait = async { answer.recv().await.ok() };
    let timeout = async {
        Timer::after(Duration::from_millis(EDIT_WAIT_MAX_MS)).await;
        None
    };
    let answer = futures_lite::FutureExt::or(wait, timeout).await;
    answer.unwrap_or_else(|| Err(Kind::StoreUnknown.into()))
}

/// Channel for the answer to an event that has a ticket.
enum ReplySender {
    Edit(Sender<std::result::Result<Reply, Failure>>),
    Peer(Sender<PeerReply>),
}

/// The state that the control thread owns.
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) state: RefCell<State>,
    executor: LocalExecutor<'static>,
    pending_replies: RefCell<HashMap<Ticket, ReplySender>>,
    next_ticket: RefCell<u64>,
    backends: RefCell<HashMap<(SocketAddr, String), Arc<Backend>>>,
    admissions: RefCell<HashMap<String, Arc<Admission>>>,
    host_etag: RefCell<Option<String>>,
    published_seq: RefCell<u64>,
}

/// Starts the control thread, with the operators' listener on it.
pub(super) fn start(
    shared: Arc<Shared>,
    inbox: Receiver<Message>,
    operator_listener: Async<TcpListener>,
) -> Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || {
            let control = Rc::new(Control::new(shared));
            let runner = Rc::clone(&control);
            smol::block_on(runner.executor.run(control.run(inbox, operator_listener)));
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
            pending_replies: RefCell::new(HashMap::new()),
            next_ticket: RefCell::new(0),
            backends: RefCell::new(HashMap::new()),
            admissions: RefCell::new(HashMap::new()),
            host_etag: RefCell::new(None),
            published_seq: RefCell::new(0),
        }
    }

    async fn run(self: Rc<Self>, inbox: Receiver<Message>, operator_listener: Async<TcpListener>) {
        let ticker = Rc::clone(&self);
        self.executor
            .spawn(async move { ticker.tick_forever().await })
            .detach();
        let admin = Rc::clone(&self);
        self.executor
            .spawn(async move { admin::accept_connections(admin, operator_listener).await })
            .detach();
        while let Ok(message) = inbox.recv().await {
            match message {
                Message::Leave => break,
                other => self.dispatch(other),
            }
        }
        self.leave().await;
    }

    /// Runs a future on the control thread.
    pub(super) fn spawn(&self, future: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    async fn tick_forever(self: Rc<Self>) {
        let tick_ms = self.state.borrow().tuning.tick_ms;
        loop {
            let busy = self.busy_hosts();
            let published_seq = *self.published_seq.borrow();
            Metrics::increment(&self.shared.metrics.ticks);
            self.handle_event(Event::Tick {
                published_seq,
                busy,
            });
            Timer::after(Duration::from_millis(tick_ms)).await;
        }
    }

    fn dispatch(self: &Rc<Self>, message: Message) {
        match message {
            Message::Event(event) => self.handle_event(event),
            Message::Edit { edit, reply } => {
                let ticket = self.register_reply(ReplySender::Edit(reply));
                self.handle_event(Event::EditRequested { ticket, edit });
            }
            Message::Poll {
                digest,
                since,
                reply,
            } => {
                let ticket = self.register_reply(ReplySender::Peer(reply));
                self.handle_event(Event::PeerPolled {
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

    fn register_reply(&self, reply: ReplySender) -> Ticket {
        let mut next = self.next_ticket.borrow_mut();
        *next += 1;
        let ticket = Ticket(*next);
        self.pending_replies.borrow_mut().insert(ticket, reply);
        ticket
    }

    /// Passes one event to the reducer, carries out its effects and updates what the other threads read.
    pub(super) fn handle_event(self: &Rc<Self>, event: Event) {
        let began = Instant::now();
        let now = Now {
            ms: self.shared.clock.now_ms(),
            wall_ms: wall_ms(),
            store_ms: 0,
        };
        let effects = reduce(&mut self.state.borrow_mut(), event, now);
        for effect in effects {
            self.carry_out_effect(effect);
        }
        self.share_status();
        self.shared
            .metrics
            .record_control_us(began.elapsed().as_micros() as u64);
    }

    /// Publishes the parts of the state that other threads read, and marks the entry ready when it is.
    fn share_status(&self) {
        let state = self.state.borrow();
        // The effects have been carried out, so the routes in force reflect the whole state.
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
        // Drains must wait for each entry that sends requests, so an entry must be registered or sponsored by a peer
        // before it sends any.
        let is_covered = state.is_registered() || state.is_sponsored;
        let ready = state.has_view() && is_covered && state.hosts_known;
        if ready && !shared.ready.swap(true, Ordering::SeqCst) {
            use crate::event::{Code, Decision, Subject};
            let why = if state.is_registered() {
                "the entry is registered and has a complete view"
            } else {
                "the table is unreachable; peers provided the view and sponsor this entry"
            };
            let d = Decision::new(Code::EntryReady, Subject::Entry, &state.me.name, why);
            shared.log_decision(
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

    fn carry_out_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Log(d) => self.shared.log_decision(d),
            Effect::Publish(table) => self.publish_routes(*table),
            Effect::Answer { ticket, result } => {
                if let Some(ReplySender::Edit(reply)) =
                    self.pending_replies.borrow_mut().remove(&ticket)
                {
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
                if let Some(ReplySender::Peer(reply)) =
                    self.pending_replies.borrow_mut().remove(&ticket)
                {
                    let _ = reply.try_send(PeerReply::View {
                        digest,
                        changes,
                        complete,
                        hosts,
                    });
                }
            }
            platform_effect => self.call_platform(platform_effect),
        }
    }

    /// Carries out an effect that calls the platform, in a task of its own. The answer comes back as an event.
    fn call_platform(self: &Rc<Self>, effect: Effect) {
        Metrics::increment(&self.shared.metrics.platform_calls);
        let this = Rc::clone(self);
        self.spawn(async move {
            let shared = Arc::clone(&this.shared);
            let platform = &shared.platform;
            match effect {
                Effect::ReadTable { since } => {
                    let begun_ms = shared.clock.now_ms();
                    let changes = platform.changes(since, &FOLLOWED_PREFIXES).await.ok();
                    this.handle_event(Event::TableRead { begun_ms, changes });
                }
                Effect::ReadHosts => {
                    let etag = this.host_etag.borrow().clone();
                    if let Ok(Some((etag, listing))) = platform.list(etag.as_deref()).await {
                        *this.host_etag.borrow_mut() = Some(etag);
                        this.handle_event(Event::HostsRead(Some(listing)));
                    }
                }
                Effect::ReadReports { since } => {
                    let reports = platform.reports(since).await.ok();
                    this.handle_event(Event::ReportsRead(reports));
                }
                Effect::Commit { txn, transaction } => {
                    let outcome = commit(platform, &transaction, RetryPolicy::default()).await;
                    this.handle_event(Event::Committed { txn, outcome });
                }
                Effect::StartTask(start) => {
                    let answer = platform.start(&start).await.ok();
                    let task = crate::port::TaskRef {
                        job: start.job,
                        attempt: start.attempt,
                    };
                    this.handle_event(Event::StartAnswered { task, answer });
                }
                Effect::StopTask(task) => {
                    let answer = platform.stop(&task).await.ok();
                    this.handle_event(Event::StopAnswered { task, answer });
                }
                Effect::RenewTasks(tasks) => {
                    let _ = platform.renew(&tasks).await;
                }
                Effect::Reboot { host, token } => {
                    let answer = platform.reboot(&host, &token).await;
                    let accepted = answer == Ok(OrderAnswer::Accepted);
                    this.handle_event(Event::RebootAnswered { host, accepted });
                }
                Effect::Log(_)
                | Effect::Publish(_)
                | Effect::Answer { .. }
                | Effect::AnswerPeer { .. } => {}
            }
        });
    }

    /// Puts routes in force. Backend servers without a route are marked closed before their requests in flight are
    /// counted, as `Backend::try_acquire` requires.
    fn publish_routes(&self, table: RouteTable) {
        let mut services = HashMap::new();
        let mut open_backends: BTreeSet<(SocketAddr, String)> = BTreeSet::new();
        for s in &table.services {
            let route = self.build_route(s, table.entries, &mut open_backends);
            services.insert(s.service.name.clone(), Arc::new(route));
        }
        for (key, backend) in self.backends.borrow().iter() {
            backend
                .closed
                .store(!open_backends.contains(key), Ordering::SeqCst);
        }
        let routes = Routes {
            services,
            callers: self.build_callers(&table),
            entry_count: table.entries,
        };
        self.shared.routes.store(Arc::new(routes));
        self.backends
            .borrow_mut()
            .retain(|key, b| open_backends.contains(key) || b.in_flight.load(Ordering::SeqCst) > 0);
    }

    fn build_route(
        &self,
        s: &RouteService,
        entries: usize,
        open_backends: &mut BTreeSet<(SocketAddr, String)>,
    ) -> Route {
        let name = &s.service.name;
        let settings = &self.shared.settings;
        let mut known = self.backends.borrow_mut();
        let backends = s
            .backends
            .iter()
            .map(|spec| {
                let key = (spec.address, name.clone());
                open_backends.insert(key.clone());
                let create = || {
                    let bytes = settings.answer_bytes;
                    Arc::new(Backend::new(spec, name, &settings.hall, entries, bytes))
                };
                Arc::clone(known.entry(key).or_insert_with(create))
            })
            .collect();
        let mut admissions = self.admissions.borrow_mut();
        let admission = admissions
            .entry(name.clone())
            .or_insert_with(|| Arc::new(Admission::new()));
        Route {
            service: s.service.clone(),
            admission: Arc::clone(admission),
            backends,
        }
    }

    /// Returns the accounts with this entry's part of their quotas. An account keeps its saved quota while neither the
    /// account nor the number of entries changes.
    fn build_callers(&self, table: &RouteTable) -> HashMap<String, Arc<Caller>> {
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
                let same_split = old.entry_count == table.entries;
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

    /// Returns the hosts of closed backend servers that still have requests of this entry in flight.
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

    /// Records in the table that this entry has left, if the table answers within [`LEAVE_MAX_MS`].
    async fn leave(self: &Rc<Self>) {
        self.handle_event(Event::Stop);
        let until_ms = self.shared.clock.now_ms() + LEAVE_MAX_MS;
        while !self.state.borrow().pending.is_empty() && self.shared.clock.now_ms() < until_ms {
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}
