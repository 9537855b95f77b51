//! A model test of `reduce`: several entries share one table and receive random events that are duplicated, reordered,
//! delayed and lost. After every step the invariants are checked against the records of the table and the platform.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use proptest::prelude::*;
use rockwick::clock::Now;
use rockwick::core::budget::{Budget, Member};
use rockwick::core::config;
use rockwick::core::operate::{Edit, Reply};
use rockwick::core::reduce::Ticket;
use rockwick::core::routes::RouteTable;
use rockwick::core::rows::{
    HeadRow, HostRow, HostState, JobRow, JobSpec, PoolRow, WaveRow, WaveState, HEAD_KEY,
};
use rockwick::core::state::{decode, EntryIdentity, Tuning, TxnKey};
use rockwick::core::{reduce, Effect, Event, State};
use rockwick::port::{
    Attempt, BackendInfo, HostInfo, HostStatus, Listing, OrderAnswer, Outcome, Reports, TaskRef,
    TaskReport, TaskStart, TaskState, Transaction,
};
use serde::de::DeserializeOwned;
use standin::rows::Rows;

const HOSTS: usize = 8;
const ENTRIES: usize = 3;

fn config_text(hosts: usize, serving_min: usize, reserve: &str) -> String {
    let pool = |name: &str| {
        format!(
            "[[pool]]\nname = \"{name}\"\naccount = \"demo\"\ntemplate = \"plain\"\n\
             services = [\"route\"]\n[pool.parameters]\nhosts = {hosts}\n\
             serving_min = {serving_min}\nreserve = \"{reserve}\"\n"
        )
    };
    format!(
        "[[service]]\nname = \"route\"\n[[account]]\nname = \"demo\"\ntoken_sha256 = \"{}\"\n\
         [[template]]\nname = \"plain\"\n[template.fields.hosts]\n[template.fields.serving_min]\n\
         [template.fields.reserve]\n{}{}",
        "0".repeat(64),
        pool("one"),
        pool("two")
    )
}

fn entry_identity(name: &str, incarnation: u64) -> EntryIdentity {
    EntryIdentity {
        name: name.to_string(),
        incarnation,
        hall: "a".to_string(),
        peer: String::new(),
        has_peers: true,
    }
}

/// Returns the state of an entry that has read nothing yet.
pub(crate) fn empty_state() -> State {
    State::new(entry_identity("e1", 1), Tuning::default(), 1)
}

/// Holds an entry's state, the effects that it asked for and the events that are not delivered yet.
struct Entry {
    state: State,
    outbox: Vec<Effect>,
    inbox: Vec<Event>,
    routes: Option<RouteTable>,
    published_seq: u64,
    in_flight: HashMap<String, u32>,
    is_suspended: bool,
    adopted_version: u64,
    /// Holds, for each open transaction, the hosts that the entry believed live when it decided.
    live_at_decision: HashMap<TxnKey, BTreeSet<String>>,
}

impl Entry {
    fn new(name: &str, incarnation: u64) -> Self {
        Self {
            state: State::new(
                entry_identity(name, incarnation),
                Tuning::default(),
                incarnation,
            ),
            outbox: Vec::new(),
            inbox: Vec::new(),
            routes: None,
            published_seq: 0,
            in_flight: HashMap::new(),
            is_suspended: false,
            adopted_version: 0,
            live_at_decision: HashMap::new(),
        }
    }

    fn live_hosts(&self) -> BTreeSet<String> {
        let live = self.state.hosts.values().filter(|h| h.is_live());
        live.map(|h| h.id.clone()).collect()
    }

    fn is_ready(&self) -> bool {
        self.state.has_view() && self.state.is_registered()
    }

    fn routed_hosts(&self) -> BTreeSet<&str> {
        let services = self.routes.iter().flat_map(|r| &r.services);
        services
            .flat_map(|s| &s.backends)
            .map(|b| b.host.as_str())
            .collect()
    }

    fn busy_hosts(&self) -> Vec<String> {
        let routed = self.routed_hosts();
        let held = self.in_flight.iter().filter(|(_, n)| **n > 0);
        held.map(|(h, _)| h.clone())
            .filter(|h| !routed.contains(h.as_str()))
            .collect()
    }
}

#[derive(Default)]
struct PlatformTask {
    attempt: u32,
    host: String,
    is_running: bool,
    repeatable: bool,
    starts: u32,
}

struct World {
    rng: fastrand::Rng,
    now: Now,
    rows: Rows,
    entries: Vec<Entry>,
    next_incarnation: u64,
    host_infos: Vec<HostInfo>,
    reboot_tokens: BTreeSet<String>,
    tasks: BTreeMap<String, PlatformTask>,
    fenced_attempts: HashMap<String, u32>,
    reports: Vec<TaskReport>,
    accepted_jobs: BTreeSet<String>,
    final_states: BTreeMap<String, rockwick::core::rows::JobState>,
    tickets: u64,
    reboots: usize,
    drain_grants: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let host_infos = (0..HOSTS)
            .map(|n| HostInfo {
                id: format!("h{n}"),
                hall: "a".to_string(),
                rack: format!("r{}", n / 2),
                cores: 8,
                memory_mb: 1_000,
                status: HostStatus::Live,
                boots: 0,
                backends: vec![BackendInfo {
                    service: "route".to_string(),
                    address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
                    slots: 8,
                    connections: 64,
                }],
            })
            .collect();
        let entries = (0..ENTRIES).map(|n| Entry::new(&format!("e{n}"), n as u64 + 1));
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Now {
                ms: 1_000,
                wall_ms: 1_000_000,
                store_ms: 0,
            },
            rows: Rows::default(),
            entries: entries.collect(),
            next_incarnation: 100,
            host_infos,
            reboot_tokens: BTreeSet::new(),
            tasks: BTreeMap::new(),
            fenced_attempts: HashMap::new(),
            reports: Vec::new(),
            accepted_jobs: BTreeSet::new(),
            final_states: BTreeMap::new(),
            tickets: 0,
            reboots: 0,
            drain_grants: 0,
        }
    }

    fn row<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.rows
            .rows
            .get(key)
            .and_then(|r| decode(r).expect("the entries' rows decode"))
    }

    fn apply_event(&mut self, at: usize, event: Event) {
        let e = &mut self.entries[at];
        for effect in reduce(&mut e.state, event, self.now) {
            match effect {
                Effect::Publish(routes) => e.routes = Some(*routes),
                Effect::Log(_) => {}
                Effect::Answer { result, .. } => {
                    if let Ok(Reply::Job(id)) = result {
                        self.accepted_jobs.insert(id);
                    }
                }
                other => {
                    if let Effect::Commit { txn, .. } = &other {
                        e.live_at_decision.insert(*txn, e.live_hosts());
                    }
                    e.outbox.push(other);
                }
            }
        }
        if e.state.has_view() {
            e.published_seq = e.state.seq;
        }
        assert!(
            e.state.config_version >= e.adopted_version,
            "a configuration never reverts"
        );
        e.adopted_version = e.state.config_version;
    }

    fn tick(&mut self, at: usize) {
        let e = &self.entries[at];
        let event = Event::Tick {
            published_seq: e.published_seq,
            busy: e.busy_hosts(),
        };
        self.apply_event(at, event);
    }

    /// Executes one random effect that the entry asked for and queues the resulting event for it.
    fn execute_effect(&mut self, at: usize) {
        let n = self.entries[at].outbox.len();
        if n == 0 {
            return;
        }
        let effect = self.entries[at].outbox.swap_remove(self.rng.usize(..n));
        let roll = self.rng.u32(0..100);
        let lost = roll < 6;
        let event = match effect {
            Effect::ReadTable { since } => Event::TableRead {
                begun_ms: self.now.ms,
                changes: (!lost).then(|| self.rows.changes(since, &[])),
            },
            Effect::ReadHosts => Event::HostsRead((!lost).then(|| Listing {
                hosts: self.host_infos.clone(),
                ended_entries: vec![],
            })),
            Effect::ReadReports { since } => {
                let seq = self.reports.len() as u64;
                let from = since as usize;
                Event::ReportsRead((!lost).then(|| Reports {
                    seq,
                    reports: self.reports[from.min(self.reports.len())..].to_vec(),
                }))
            }
            Effect::Commit { txn, transaction } => {
                let live = self.entries[at]
                    .live_at_decision
                    .remove(&txn)
                    .unwrap_or_default();
                let outcome = self.commit(&live, &transaction, roll);
                Event::Committed { txn, outcome }
            }
            Effect::StartTask(start) => {
                let answer = self.start_task(&start);
                let task = TaskRef {
                    job: start.job,
                    attempt: start.attempt,
                };
                Event::StartAnswered {
                    task,
                    answer: (!lost).then_some(answer),
                }
            }
            Effect::StopTask(task) => {
                let answer = self.stop_task(&task);
                Event::StopAnswered {
                    task,
                    answer: (!lost).then_some(answer),
                }
            }
            Effect::Reboot { host, token } => {
                if !lost {
                    self.reboot_host(&host, token);
                }
                let accepted = !lost;
                Event::RebootAnswered { host, accepted }
            }
            Effect::RenewTasks(_) | Effect::AnswerPeer { .. } => return,
            Effect::Publish(_) | Effect::Log(_) | Effect::Answer { .. } => unreachable!(),
        };
        self.entries[at].inbox.push(event);
    }

    fn commit(&mut self, live: &BTreeSet<String>, txn: &Transaction, roll: u32) -> Outcome {
        if roll < 3 {
            return Outcome::NotSent;
        }
        if roll < 6 {
            return Outcome::Unknown;
        }
        let before = self.host_rows();
        let attempt = self.rows.apply_with_token(txn);
        if matches!(attempt, Attempt::Committed(_)) {
            self.check_grants(live, &before);
        }
        match attempt {
            Attempt::Committed(_) if roll < 12 => Outcome::Unknown,
            Attempt::Committed(seq) => Outcome::Committed(seq),
            _ => Outcome::Conflict,
        }
    }

    fn host_rows(&self) -> BTreeMap<String, HostRow> {
        let keys = self.rows.rows.keys().filter(|k| k.starts_with("host/"));
        keys.filter_map(|k| Some((k[5..].to_string(), self.row(k)?)))
            .collect()
    }

    /// Checks that every drain granted by the last commit kept the pool within its budget, judged by the rows before
    /// the commit and by the hosts that the granting entry believed live when it decided.
    fn check_grants(&mut self, live: &BTreeSet<String>, before: &BTreeMap<String, HostRow>) {
        let after = self.host_rows();
        for (id, row) in &after {
            let was = before.get(id).cloned().unwrap_or_default();
            let granted = row.state == HostState::Draining && was.state == HostState::Serving;
            let Some(pool) = row.pool.as_ref().filter(|_| granted) else {
                continue;
            };
            self.drain_grants += 1;
            let head: HeadRow = self
                .row(HEAD_KEY)
                .expect("a pool exists only under a configuration");
            let Some(pool_config) = config::parse(&head.text).expect("valid").pools.remove(pool)
            else {
                continue;
            };
            let budget = Budget {
                serving_min: pool_config.serving_min,
                reserve: pool_config.reserve,
            };
            if !live.contains(id) {
                continue;
            }
            let members: Vec<(String, Member)> = before
                .iter()
                .filter(|(_, r)| r.pool.as_ref() == Some(pool))
                .map(|(h, r)| {
                    let serving = r.state == HostState::Serving && live.contains(h);
                    let member = Member {
                        rack: h[1..].parse::<usize>().expect("hN") / 2,
                        serving,
                        out: !serving,
                    };
                    (h.clone(), member)
                })
                .collect();
            let leaving = members
                .iter()
                .position(|(h, _)| h == id)
                .expect("the drained host was a member of the pool");
            let members: Vec<Member> = members.into_iter().map(|(_, m)| m).collect();
            let verdict = budget.may_leave(&members, leaving);
            assert!(
                verdict.allowed,
                "{id} left pool {pool}: {verdict:?} of {pool_config:?}"
            );
        }
    }

    fn start_task(&mut self, start: &TaskStart) -> OrderAnswer {
        let job: JobRow = self
            .row(&format!("job/{}", start.job))
            .expect("committed before");
        assert!(
            job.attempt >= start.attempt,
            "the row is written before the start"
        );
        let host = self.host_infos.iter().find(|f| f.id == start.host);
        let live = host.is_some_and(|f| f.status == HostStatus::Live);
        let task = self.tasks.entry(start.job.clone()).or_default();
        if task.attempt == start.attempt && task.starts > 0 {
            return OrderAnswer::Accepted;
        }
        let fenced = self
            .fenced_attempts
            .get(&start.job)
            .is_some_and(|f| *f >= start.attempt);
        if task.attempt >= start.attempt || fenced {
            return OrderAnswer::Fenced;
        }
        if !live {
            return OrderAnswer::NoHost;
        }
        assert!(
            !task.is_running,
            "job {} would run twice at once",
            start.job
        );
        *task = PlatformTask {
            attempt: start.attempt,
            host: start.host.clone(),
            is_running: true,
            repeatable: job.spec.repeatable,
            starts: task.starts + 1,
        };
        assert!(
            task.repeatable || task.starts == 1,
            "{} may not be repeated",
            start.job
        );
        self.report_task(&start.job, TaskState::Running);
        OrderAnswer::Accepted
    }

    fn stop_task(&mut self, task: &TaskRef) -> OrderAnswer {
        let known = self
            .tasks
            .get_mut(&task.job)
            .filter(|t| t.attempt == task.attempt);
        match known {
            Some(t) if t.is_running => {
                t.is_running = false;
                self.report_task(&task.job, TaskState::Stopped);
                OrderAnswer::Accepted
            }
            Some(_) => OrderAnswer::AlreadyEnded,
            None => {
                let fence = self.fenced_attempts.entry(task.job.clone()).or_default();
                *fence = (*fence).max(task.attempt);
                OrderAnswer::NeverStarted
            }
        }
    }

    fn report_task(&mut self, job: &str, state: TaskState) {
        let t = &self.tasks[job];
        self.reports.push(TaskReport {
            job: job.to_string(),
            attempt: t.attempt,
            host: t.host.clone(),
            state,
            ran_ms: 10,
        });
    }

    fn reboot_host(&mut self, host: &str, token: String) {
        if !self.reboot_tokens.insert(token) {
            return;
        }
        self.reboots += 1;
        for e in &self.entries {
            let name = &e.state.me.name;
            let held = e.in_flight.get(host).copied().unwrap_or(0);
            assert_eq!(
                held, 0,
                "{name} has requests in flight on {host} at its reboot"
            );
            let routes = e.is_ready() && e.routed_hosts().contains(host);
            assert!(!routes, "{name} would still send to {host} at its reboot");
        }
        let tasks = self
            .tasks
            .iter()
            .filter(|(_, t)| t.is_running && t.host == host);
        assert_eq!(tasks.count(), 0, "{host} is rebooted over a task");
        let info = self
            .host_infos
            .iter_mut()
            .find(|f| f.id == host)
            .expect("a host");
        info.boots += 1;
    }

    fn request_random_edit(&mut self, at: usize) {
        let host = format!("h{}", self.rng.usize(..HOSTS));
        let pool = ["one", "two"][self.rng.usize(..2)].to_string();
        let edit = match self.rng.u32(0..12) {
            0 => Edit::Drain {
                host,
                reboot: self.rng.bool(),
                why: "model".to_string(),
            },
            1 => Edit::Return { host },
            2 => Edit::Move {
                host,
                pool: self.rng.bool().then_some(pool),
            },
            3 => Edit::StartWave {
                pool: if self.rng.bool() {
                    pool
                } else {
                    "*".to_string()
                },
                windows: vec![],
            },
            4 => {
                let waves: Vec<String> = self.entries[at].state.waves.keys().cloned().collect();
                let Some(wave) = waves.last() else { return };
                Edit::StopWave { wave: wave.clone() }
            }
            5 => Edit::Apply {
                expect: self.entries[at].state.config_version,
                text: config_text(
                    self.rng.usize(2..5),
                    self.rng.usize(0..3),
                    ["none", "host", "rack"][self.rng.usize(..3)],
                ),
            },
            6 => {
                let ids: Vec<&String> = self.accepted_jobs.iter().collect();
                if ids.is_empty() {
                    return;
                }
                Edit::Cancel {
                    account: None,
                    job: ids[self.rng.usize(..ids.len())].clone(),
                }
            }
            _ => Edit::Submit {
                account: "demo".to_string(),
                id: None,
                spec: JobSpec {
                    pool,
                    class: config::Class::Batch,
                    cores: self.rng.u32(1..9),
                    memory_mb: 10,
                    run_ms: 10,
                    repeatable: self.rng.bool(),
                    payload: String::new(),
                },
            },
        };
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.apply_event(at, Event::EditRequested { ticket, edit });
    }

    /// Lets the entry poll a random other entry; one answer in ten is lost.
    fn poll_peer(&mut self, at: usize) {
        let other = (at + 1 + self.rng.usize(..ENTRIES - 1)) % ENTRIES;
        if self.entries[other].is_suspended {
            return;
        }
        self.tickets += 1;
        let event = Event::PeerPolled {
            ticket: Ticket(self.tickets),
            digest: self.entries[at].state.digest(),
            since: self.entries[at].state.seq,
        };
        let begun_ms = self.now.ms;
        self.apply_event(other, event);
        let outbox = &mut self.entries[other].outbox;
        let Some(n) = outbox
            .iter()
            .position(|e| matches!(e, Effect::AnswerPeer { .. }))
        else {
            return;
        };
        if let Effect::AnswerPeer {
            digest,
            changes,
            complete,
            hosts,
            ..
        } = outbox.swap_remove(n)
        {
            if self.rng.u32(0..10) > 0 {
                self.entries[at].inbox.push(Event::PeerAnswered {
                    begun_ms,
                    digest,
                    changes,
                    complete,
                    hosts,
                });
            }
        }
    }

    /// Delivers one random queued event; one host listing in ten is queued again and so arrives twice.
    fn deliver_event(&mut self, at: usize) {
        let n = self.entries[at].inbox.len();
        if n > 0 {
            let event = self.entries[at].inbox.swap_remove(self.rng.usize(..n));
            if let Event::HostsRead(Some(l)) = &event {
                if self.rng.u32(0..10) == 0 {
                    let again = Event::HostsRead(Some(l.clone()));
                    self.entries[at].inbox.push(again);
                }
            }
            self.apply_event(at, event);
        }
    }

    fn change_traffic(&mut self, at: usize) {
        let e = &mut self.entries[at];
        let hosts: Vec<String> = e.routed_hosts().iter().map(|h| h.to_string()).collect();
        if e.is_ready() && !hosts.is_empty() && self.rng.bool() {
            let host = &hosts[self.rng.usize(..hosts.len())];
            *e.in_flight.entry(host.clone()).or_default() += 1;
        } else {
            let held: Vec<String> = e.in_flight.keys().cloned().collect();
            for host in held {
                e.in_flight.remove(&host);
            }
        }
    }

    fn inject_fault(&mut self, at: usize) {
        match self.rng.u32(0..4) {
            0 => {
                let n = self.rng.usize(..HOSTS);
                let info = &mut self.host_infos[n];
                let gone = info.status == HostStatus::Live;
                info.status = if gone {
                    HostStatus::Gone
                } else {
                    HostStatus::Live
                };
                let host = info.id.clone();
                self.end_tasks(TaskState::Lost, |t| gone && t.host == host);
            }
            1 => self.entries[at].is_suspended = !self.entries[at].is_suspended,
            2 => {
                // The entry loses its state and all queued events, and a new instance takes its name.
                self.next_incarnation += 1;
                self.entries[at] = Entry::new(&format!("e{at}"), self.next_incarnation);
            }
            _ => {
                let state = [TaskState::Done, TaskState::Failed][self.rng.usize(..2)];
                let seed = self.rng.u32(..);
                self.end_tasks(state, |t| t.attempt.wrapping_mul(seed) % 2 == 0);
            }
        }
    }

    fn end_tasks(&mut self, state: TaskState, which: impl Fn(&PlatformTask) -> bool) {
        let ended: Vec<String> = self
            .tasks
            .iter_mut()
            .filter(|(_, t)| t.is_running && which(t))
            .map(|(job, t)| {
                t.is_running = false;
                job.clone()
            })
            .collect();
        for job in ended {
            self.report_task(&job, state);
        }
    }

    /// Checks the invariants that hold at any time against the rows of the table.
    fn check_invariants(&mut self) {
        let hosts = self.host_rows();
        for (pool, row) in ["one", "two"].map(|p| (p, self.row::<PoolRow>(&format!("pool/{p}")))) {
            let Some(row) = row else { continue };
            let mut out: Vec<&String> = hosts
                .iter()
                .filter(|(_, r)| r.pool.as_deref() == Some(pool) && r.state != HostState::Serving)
                .map(|(h, _)| h)
                .collect();
            let mut listed: Vec<&String> = row.out.iter().collect();
            out.sort();
            listed.sort();
            assert_eq!(
                out, listed,
                "the row of pool {pool} lists the hosts that are out"
            );
        }
        for id in &self.accepted_jobs {
            let job: Option<JobRow> = self.row(&format!("job/{id}"));
            let job = job.expect("an accepted job is never lost");
            if let Some(state) = self.final_states.get(id) {
                assert_eq!(*state, job.state, "job {id} left its final state");
            } else if job.state.is_final() {
                self.final_states.insert(id.clone(), job.state);
            }
        }
    }

    fn step(&mut self) {
        let at = self.rng.usize(..ENTRIES);
        let what = self.rng.u32(0..100);
        if self.entries[at].is_suspended && what < 96 {
            // A suspended entry does nothing while time passes. Only `inject_fault` may change it, for example resume
            // it.
            self.now.ms += 50;
            self.now.wall_ms += 50;
            return;
        }
        match what {
            0..=24 => {
                let passed_ms = self.rng.u64(50..900);
                self.now.ms += passed_ms;
                self.now.wall_ms += passed_ms;
                self.tick(at);
            }
            25..=49 => self.execute_effect(at),
            50..=74 => self.deliver_event(at),
            75..=82 => self.poll_peer(at),
            83..=89 => self.change_traffic(at),
            90..=95 => self.request_random_edit(at),
            _ => self.inject_fault(at),
        }
        self.check_invariants();
    }

    fn stop_waves(&mut self) {
        let running = |w: &&(u64, WaveRow)| w.1.state == WaveState::Running;
        let waves = &self.entries[0].state.waves;
        let ids = waves
            .iter()
            .filter(|(_, w)| running(w))
            .map(|(id, _)| id.clone());
        for wave in ids.collect::<Vec<_>>() {
            self.tickets += 1;
            let ticket = Ticket(self.tickets);
            let edit = Edit::StopWave { wave };
            self.apply_event(0, Event::EditRequested { ticket, edit });
        }
    }

    /// Ends all faults and checks that every drain, move and job that had begun comes to its end, except for hosts that
    /// an operator keeps out and jobs for which no host is left.
    fn recover(&mut self) {
        for f in &mut self.host_infos {
            f.status = HostStatus::Live;
        }
        for at in 0..ENTRIES {
            self.entries[at].is_suspended = false;
            self.entries[at].in_flight.clear();
        }
        for _ in 0..200 {
            self.stop_waves();
            for at in 0..ENTRIES {
                self.now.ms += 200;
                self.now.wall_ms += 200;
                self.tick(at);
                self.poll_peer(at);
                for _ in 0..30 {
                    self.execute_effect(at);
                    self.deliver_event(at);
                }
                self.end_tasks(TaskState::Done, |_| true);
                self.check_invariants();
            }
        }
        for (id, row) in self.host_rows() {
            let is_at_rest = matches!(row.state, HostState::Free | HostState::Serving);
            let is_kept_out = row.purpose == rockwick::core::rows::Purpose::Hold;
            assert!(is_at_rest || is_kept_out, "{id} is stuck: {row:?}");
        }
        for id in &self.accepted_jobs {
            let job: JobRow = self
                .row(&format!("job/{id}"))
                .expect("an accepted job has a row");
            let state = &self.entries[0].state;
            let pool = state
                .pool_names
                .get(&job.spec.pool)
                .map(|p| &state.pools[*p]);
            let can_run = pool.into_iter().flat_map(|p| &p.members).any(|k| {
                let h = &state.hosts[*k];
                h.is_serving() && !state.is_failing(h, self.now)
            });
            assert!(
                job.state.is_final() || !can_run,
                "job {id} is stuck: {job:?}"
            );
        }
    }
}

fn run_model(seed: u64, steps: usize) -> World {
    let mut world = World::new(seed);
    for at in 0..ENTRIES {
        for _ in 0..20 {
            world.now.ms += 100;
            world.tick(at);
            world.execute_effect(at);
            world.deliver_event(at);
        }
    }
    let edit = Edit::Apply {
        expect: 0,
        text: config_text(3, 1, "none"),
    };
    let ticket = Ticket(0);
    world.apply_event(0, Event::EditRequested { ticket, edit });
    for _ in 0..steps {
        world.step();
    }
    world.recover();
    world
}

#[test]
fn model_coverage() {
    // Without reboots, drain grants, jobs and tasks the checks of the model would pass without checking anything.
    let worlds: Vec<World> = (0..60).map(|seed| run_model(seed, 1_500)).collect();
    let sum = |f: fn(&World) -> usize| worlds.iter().map(f).sum::<usize>();
    assert!(sum(|w| w.reboots) > 50, "{} reboots", sum(|w| w.reboots));
    assert!(
        sum(|w| w.drain_grants) > 80,
        "{} grants",
        sum(|w| w.drain_grants)
    );
    assert!(
        sum(|w| w.accepted_jobs.len()) > 100,
        "{} jobs",
        sum(|w| w.accepted_jobs.len())
    );
    assert!(
        sum(|w| w.tasks.len()) > 50,
        "{} tasks",
        sum(|w| w.tasks.len())
    );
}

/// Seeds and step counts that failed once.
const SAVED_SEEDS: [(u64, usize); 6] = [
    // A placement that was not committed kept its capacity and blocked drains for ever.
    (2709426922828149065, 1_073),
    // A pool treated a host that it was giving back as a borrowed host, and repeated this without end.
    (0, 1_500),
    (3259529198519870271, 1_123),
    (4640936066412646744, 1_772),
    (12423506935067767235, 1_204),
    (8892181124739537264, 1_330),
];

#[test]
fn model_saved_seeds() {
    for (seed, steps) in SAVED_SEEDS {
        run_model(seed, steps);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202),
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    #[test]
    fn model_random(seed in any::<u64>(), steps in 200usize..2_000) {
        run_model(seed, steps);
    }
}
