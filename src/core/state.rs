//! What an entry knows: the table's rows decoded into arenas, the platform's lists, its peers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use slotmap::{new_key_type, SlotMap};

use super::config::{self, Config};
use super::members::{Digest, Member, Sponsored};
use super::operate::Edit;
use super::reduce::{Effect, Pending, Ticket};
use super::retry::Backoff;
use super::rows::{
    EntryRow, EntryState, HeadRow, HostRow, HostState, JobRow, JobState, PoolRow, Purpose, WaveRow,
    HEAD_KEY,
};
pub use super::tuning::{Me, Tuning};
use crate::clock::Millis;

use crate::event::{Code, Decision, Subject};
use crate::port::{HostFact, Life, Row, Stamped, TaskRef, TaskReport};

new_key_type! {
    /// Names a host in the arena.
    pub struct HostKey;
    /// Names a pool in the arena.
    pub struct PoolKey;
    /// Names a job in the arena.
    pub struct JobKey;
    /// Names a transaction whose outcome is awaited.
    pub struct TxnKey;
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name.
    pub id: String,
    /// The platform's word on it.
    pub fact: Option<HostFact>,
    /// Our row on it.
    pub row: HostRow,
    /// The row's version, 0 where there is none.
    pub version: u64,
    /// When this entry first saw it gone.
    pub gone_since_ms: Option<Millis>,
    /// When this entry first saw it in its present row.
    pub seen_ms: Millis,
    /// When this entry last asked for its reboot, or logged what holds its drain.
    pub asked_ms: Option<Millis>,
    /// Jobs that failed here one after the other, the latest last.
    pub failed_jobs: Vec<String>,
    /// When jobs began to avoid it.
    pub failing_since_ms: Option<Millis>,
}

impl Host {
    /// Whether the platform lists it as live.
    pub fn is_live(&self) -> bool {
        self.fact.as_ref().is_some_and(|f| f.life == Life::Live)
    }

    /// Whether it serves its pool and is alive.
    pub fn is_serving(&self) -> bool {
        self.row.state == HostState::Serving && self.is_live()
    }

    /// Whether it drains to leave its pool for good.
    pub fn is_moving_out(&self) -> bool {
        let leaves = matches!(self.row.purpose, Purpose::Move(_) | Purpose::Release);
        self.row.state == HostState::Draining && leaves
    }

    /// Hall and rack, for people and for ordering.
    pub fn place(&self) -> (&str, &str) {
        match &self.fact {
            Some(f) => (&f.hall, &f.rack),
            None => ("", ""),
        }
    }
}

/// A pool's row; what it promises is in the configuration.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Our row on it.
    pub row: PoolRow,
    /// The row's version, 0 where there is none.
    pub version: u64,
    /// Hosts that belong to it, in order of id.
    pub members: Vec<HostKey>,
    /// When this entry last logged that a wave waits here.
    pub held_logged_ms: Option<Millis>,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id.
    pub id: String,
    /// Our row on it.
    pub row: JobRow,
    /// The row's version.
    pub version: u64,
    /// When this entry last asked for a start or a stop of this attempt.
    pub asked_ms: Option<Millis>,
    /// Whether the platform confirmed the start of this attempt to us.
    pub confirmed: bool,
    /// Whether a stop was asked for, so that the attempt never starts or ends.
    pub stopping: bool,
}

impl Job {
    /// The present attempt, as the platform names it.
    pub fn task(&self) -> TaskRef {
        TaskRef {
            job: self.id.clone(),
            attempt: self.row.attempt,
        }
    }
}

/// How the reading of the table goes.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    /// Whether a read is under way.
    pub outstanding: bool,
    /// When the next may begin.
    pub next_ms: Millis,
    /// Pauses between failures.
    pub backoff: Backoff,
    /// Whether the last read failed.
    pub failing: bool,
    /// Whether the table was read to its end at least once.
    pub complete: bool,
}

/// Everything an entry knows.
pub struct State {
    /// Who we are.
    pub me: Me,
    /// Lengths of time.
    pub tuning: Tuning,
    /// Seeded generator.
    pub rng: fastrand::Rng,
    /// The table is known completely up to here.
    pub seq: u64,
    /// Rows as they came, for peers.
    pub raw: HashMap<String, Row>,
    /// Row names by version, for peers.
    pub by_version: BTreeMap<u64, String>,
    /// Hosts.
    pub hosts: SlotMap<HostKey, Host>,
    /// Hosts by name.
    pub host_ids: BTreeMap<String, HostKey>,
    /// Pools.
    pub pools: SlotMap<PoolKey, Pool>,
    /// Pools by name.
    pub pool_names: BTreeMap<String, PoolKey>,
    /// Jobs.
    pub jobs: SlotMap<JobKey, Job>,
    /// Jobs by id.
    pub job_ids: BTreeMap<String, JobKey>,
    /// Jobs whose present attempt may be running, by host.
    pub placed_on: HashMap<String, Vec<JobKey>>,
    /// Waves by id, with version.
    pub waves: BTreeMap<String, (u64, WaveRow)>,
    /// Entries by name.
    pub members: BTreeMap<String, Member>,
    /// Unregistered peers that took their view from us.
    pub sponsored: BTreeMap<String, Sponsored>,
    /// Whether a peer that gave us its view speaks for us until we are registered.
    pub spoken_for: bool,
    /// Entries whose host the platform has certainly ended.
    pub ended_entries: Vec<String>,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Its version, 0 for none.
    pub config_version: u64,
    /// Version of the head row.
    pub head_version: u64,
    /// Reading of the table.
    pub reads: Reads,
    /// Reading of the host list and of reports: when the next may begin.
    pub lists_next_ms: Millis,
    /// Whether the host list was read at least once.
    pub hosts_known: bool,
    /// Task reports are known up to here.
    pub reports_seq: u64,
    /// Whether reports were read at least once.
    pub reports_known: bool,
    /// The latest report on each attempt that is still of interest.
    pub reports: HashMap<TaskRef, TaskReport>,
    /// When the view was last confirmed: the begin of the last answered read or poll.
    pub confirmed_ms: Millis,
    /// Whether we know ourselves to be cut off.
    pub isolated: bool,
    /// The last tick.
    pub tick_ms: Millis,
    /// Routes in force take the table in up to here.
    pub published_seq: u64,
    /// Leaving hosts on which this entry has requests in flight.
    pub busy: Vec<String>,
    /// When the entry's own row was last written.
    pub ack_ms: Millis,
    /// Transactions under way.
    pub pending: SlotMap<TxnKey, Pending>,
    /// Rows that a transaction of ours is changing, until the view has passed this number.
    pub locked: HashMap<String, u64>,
    /// Operators' applies that lost a race, to be answered with what changed.
    pub lost_applies: Vec<(Ticket, Arc<Config>, u64)>,
    /// Edits that named something unknown here, to be looked at again after a read begun since then.
    pub unknown_edits: Vec<(Ticket, Edit, Millis)>,
    /// Whether routes must be published anew.
    pub routes_dirty: bool,
    /// Hosts of placements whose outcome is not in the view yet.
    pub placing: HashMap<JobKey, String>,
    /// Last renewal of leases.
    pub renewed_ms: Millis,
    /// Run times learned, by account and pool.
    pub learned: HashMap<(String, String), VecDeque<Millis>>,
    /// Whether the entry is stopping.
    pub stopping: bool,
}

impl State {
    /// An entry that knows nothing yet.
    pub fn new(me: Me, tuning: Tuning, seed: u64) -> Self {
        Self {
            me,
            tuning,
            rng: fastrand::Rng::with_seed(seed),
            seq: 0,
            raw: HashMap::new(),
            by_version: BTreeMap::new(),
            hosts: SlotMap::with_key(),
            host_ids: BTreeMap::new(),
            pools: SlotMap::with_key(),
            pool_names: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: BTreeMap::new(),
            placed_on: HashMap::new(),
            waves: BTreeMap::new(),
            members: BTreeMap::new(),
            sponsored: BTreeMap::new(),
            spoken_for: false,
            ended_entries: Vec::new(),
            config: Arc::new(Config::default()),
            config_version: 0,
            head_version: 0,
            reads: Reads::default(),
            lists_next_ms: 0,
            hosts_known: false,
            reports_seq: 0,
            reports_known: false,
            reports: HashMap::new(),
            confirmed_ms: 0,
            isolated: false,
            tick_ms: 0,
            published_seq: 0,
            busy: Vec::new(),
            ack_ms: 0,
            pending: SlotMap::with_key(),
            locked: HashMap::new(),
            lost_applies: Vec::new(),
            unknown_edits: Vec::new(),
            routes_dirty: true,
            placing: HashMap::new(),
            renewed_ms: 0,
            learned: HashMap::new(),
            stopping: false,
        }
    }

    /// Whether a view of the table exists, from the table or from a peer.
    pub fn has_view(&self) -> bool {
        self.reads.complete
    }

    /// Whether our own row is in our own view, so that no mark can pass us by.
    pub fn is_registered(&self) -> bool {
        self.members
            .get(&self.me.name)
            .and_then(|m| m.row.as_ref())
            .is_some_and(|r| r.incarnation == self.me.incarnation && r.state == EntryState::Live)
    }

    /// Takes in rows of a read or of a peer; older ones change nothing.
    pub fn take_rows(&mut self, rows: Vec<Row>, upto: u64, now_ms: Millis, out: &mut Vec<Effect>) {
        for row in rows {
            let known = self.raw.get(&row.key).map_or(0, |r| r.version);
            if row.version <= known {
                continue;
            }
            self.by_version.remove(&known);
            self.by_version.insert(row.version, row.key.clone());
            self.raw.insert(row.key.clone(), row.clone());
            self.take_row(&row, now_ms, out);
        }
        self.seq = self.seq.max(upto);
        let seq = self.seq;
        self.locked.retain(|_, until| *until > seq);
    }

    fn take_row(&mut self, row: &Row, now_ms: Millis, out: &mut Vec<Effect>) {
        let Some((space, name)) = row.key.split_once('/') else {
            return;
        };
        let taken = match space {
            "host" => self.take_host(row, name, now_ms),
            "pool" => self.take_pool(row, name),
            "wave" => self.take_wave(row, name),
            "job" => self.take_job(row, name),
            "entry" => self.take_entry(row, name),
            "config" if row.key == HEAD_KEY => self.take_head(row, out),
            _ => Ok(()),
        };
        if let Err(why) = taken {
            let d = Decision::new(Code::BadRow, Subject::Entry, &self.me.name, why)
                .with("version", row.version);
            out.push(Effect::Log(d));
        }
    }

    fn take_host(&mut self, row: &Row, id: &str, now_ms: Millis) -> Result<(), String> {
        let body: Option<HostRow> = decode(row)?;
        let key = self.host_for(id);
        if let Some(host) = self.hosts.get_mut(key) {
            host.row = body.unwrap_or_default();
            host.version = row.version;
            host.seen_ms = now_ms;
            host.asked_ms = None;
        }
        self.rebuild_members();
        self.routes_dirty = true;
        Ok(())
    }

    fn take_pool(&mut self, row: &Row, name: &str) -> Result<(), String> {
        let body: Option<PoolRow> = decode(row)?;
        let key = self.pool_for(name);
        if let Some(pool) = self.pools.get_mut(key) {
            pool.row = body.unwrap_or_default();
            pool.version = row.version;
        }
        Ok(())
    }

    fn take_wave(&mut self, row: &Row, id: &str) -> Result<(), String> {
        match decode(row)? {
            Some(body) => {
                self.waves.insert(id.to_string(), (row.version, body));
            }
            None => {
                self.waves.remove(id);
            }
        }
        Ok(())
    }

    fn take_job(&mut self, row: &Row, id: &str) -> Result<(), String> {
        let body: Option<JobRow> = decode(row)?;
        let known = self.job_ids.get(id).copied();
        if let Some(key) = known {
            self.unplace(key);
        }
        let Some(body) = body else {
            if let Some(key) = known {
                self.jobs.remove(key);
                self.placing.remove(&key);
                self.job_ids.remove(id);
            }
            return Ok(());
        };
        if let Some(key) = known {
            self.placing.remove(&key);
        }
        let host = body.host.clone().filter(|_| body.state == JobState::Placed);
        match known.and_then(|k| self.jobs.get_mut(k)) {
            Some(job) => {
                if job.row.attempt != body.attempt || job.row.state != body.state {
                    job.confirmed = false;
                    job.stopping = false;
                    job.asked_ms = None;
                }
                job.row = body;
                job.version = row.version;
            }
            None => {
                let key = self.jobs.insert(Job {
                    id: id.to_string(),
                    row: body,
                    version: row.version,
                    asked_ms: None,
                    confirmed: false,
                    stopping: false,
                });
                self.job_ids.insert(id.to_string(), key);
            }
        }
        if let (Some(host), Some(key)) = (host, self.job_ids.get(id)) {
            self.placed_on.entry(host).or_default().push(*key);
        }
        Ok(())
    }

    /// Takes a job off the host that it was placed on.
    fn unplace(&mut self, key: JobKey) {
        let host = self.jobs.get(key).and_then(|j| j.row.host.as_ref());
        let Some(list) = host.and_then(|h| self.placed_on.get_mut(h)) else {
            return;
        };
        list.retain(|k| *k != key);
    }

    fn take_entry(&mut self, row: &Row, name: &str) -> Result<(), String> {
        let body: Option<EntryRow> = decode(row)?;
        let member = self.members.entry(name.to_string()).or_default();
        member.row = body;
        member.version = row.version;
        self.routes_dirty = true;
        Ok(())
    }

    fn take_head(&mut self, row: &Row, out: &mut Vec<Effect>) -> Result<(), String> {
        let head: Option<HeadRow> = decode(row)?;
        let Some(head) = head else {
            return Ok(());
        };
        self.head_version = row.version;
        if head.version <= self.config_version {
            return Ok(());
        }
        let config = config::parse(&head.text).map_err(|e| e.to_string())?;
        self.config = Arc::new(config);
        self.config_version = head.version;
        for name in self.config.pools.keys().cloned().collect::<Vec<_>>() {
            self.pool_for(&name);
        }
        self.routes_dirty = true;
        let d = Decision::new(
            Code::ConfigAdopted,
            Subject::Config,
            "head",
            "a higher version",
        )
        .with("version", head.version);
        out.push(Effect::Log(d));
        Ok(())
    }

    /// The arena's key for a host, made where it is new.
    pub fn host_for(&mut self, id: &str) -> HostKey {
        if let Some(key) = self.host_ids.get(id) {
            return *key;
        }
        let key = self.hosts.insert(Host {
            id: id.to_string(),
            fact: None,
            row: HostRow::default(),
            version: 0,
            gone_since_ms: None,
            seen_ms: 0,
            asked_ms: None,
            failed_jobs: Vec::new(),
            failing_since_ms: None,
        });
        self.host_ids.insert(id.to_string(), key);
        key
    }

    /// The arena's key for a pool, made where it is new.
    pub fn pool_for(&mut self, name: &str) -> PoolKey {
        if let Some(key) = self.pool_names.get(name) {
            return *key;
        }
        let key = self.pools.insert(Pool {
            name: name.to_string(),
            ..Pool::default()
        });
        self.pool_names.insert(name.to_string(), key);
        key
    }

    /// Sorts hosts into the pools that their rows name.
    fn rebuild_members(&mut self) {
        for pool in self.pools.values_mut() {
            pool.members.clear();
        }
        let placed: Vec<(HostKey, String)> = self
            .host_ids
            .values()
            .filter_map(|k| self.hosts.get(*k).map(|h| (*k, h)))
            .filter_map(|(k, h)| h.row.pool.clone().map(|p| (k, p)))
            .collect();
        for (host, pool) in placed {
            let key = self.pool_for(&pool);
            if let Some(pool) = self.pools.get_mut(key) {
                pool.members.push(host);
            }
        }
    }

    /// Takes in the platform's list of hosts.
    pub fn take_hosts(&mut self, facts: Vec<HostFact>, now_ms: Millis, out: &mut Vec<Effect>) {
        let mut listed = std::collections::HashSet::new();
        for fact in facts {
            listed.insert(fact.id.clone());
            let key = self.host_for(&fact.id);
            if let Some(host) = self.hosts.get_mut(key) {
                if host.fact.as_ref() != Some(&fact) {
                    self.routes_dirty = true;
                }
                host.fact = Some(fact);
            }
        }
        for host in self.hosts.values_mut() {
            if !listed.contains(&host.id) && host.fact.take().is_some() {
                self.routes_dirty = true;
            }
            let gone = !host.is_live();
            if gone && host.gone_since_ms.is_none() {
                host.gone_since_ms = Some(now_ms);
                if host.row.state == HostState::Out {
                    continue;
                }
                let why = "the platform does not list it as live";
                let d = Decision::new(Code::HostLost, Subject::Host, &host.id, why);
                out.push(Effect::Log(d));
            }
            if !gone {
                host.gone_since_ms = None;
            }
        }
        self.hosts_known = true;
    }

    /// Rows that changed after `since`, for a peer.
    pub fn rows_after(&self, since: u64, most: usize) -> (Vec<Row>, u64) {
        let mut rows = Vec::new();
        for (version, key) in self.by_version.range(since + 1..) {
            if rows.len() == most {
                return (rows, version - 1);
            }
            rows.extend(self.raw.get(key).cloned());
        }
        (rows, self.seq)
    }

    /// What peers are told of us.
    ///
    /// An unregistered peer that lives on our view is spoken for: what it has not let go of, we have not.
    pub fn digest(&self) -> Digest {
        let mut view_seq = self.published_seq;
        let mut busy = self.busy.clone();
        for s in self.sponsored.values() {
            view_seq = view_seq.min(s.view_seq);
            busy.extend(s.busy.iter().cloned());
        }
        busy.sort_unstable();
        busy.dedup();
        Digest {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            registered: self.is_registered(),
            view_seq,
            config_version: self.config_version,
            hosts_known: self.hosts_known,
            busy,
        }
    }

    /// Whether a row may be decided on: no transaction of ours is changing it.
    pub fn is_unlocked(&self, key: &str) -> bool {
        !self.locked.contains_key(key)
    }
}

/// Reads a row's content; a deleted row has none.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<Option<T>, String> {
    let Some(text) = &row.value else {
        return Ok(None);
    };
    let stamped: Stamped<T> =
        serde_json::from_str(text).map_err(|e| format!("row {}: {e}", row.key))?;
    Ok(Some(stamped.body))
}
