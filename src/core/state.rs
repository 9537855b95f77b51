//! The in-memory state of an entry: the table's rows decoded into arenas, the platform's lists, and its peers.
//!
//! Only the reducer changes it. The other modules of the core add the decisions as methods of [`State`].

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
pub use super::tuning::{EntryIdentity, Tuning};
use crate::clock::Millis;

use crate::event::{Code, Decision, Subject};
use crate::port::{HostInfo, HostStatus, Row, Stamped, TaskRef, TaskReport};

new_key_type! {
    /// Arena key of a host.
    pub struct HostKey;
    /// Arena key of a pool.
    pub struct PoolKey;
    /// Arena key of a job.
    pub struct JobKey;
    /// Arena key of a transaction whose outcome is not known yet.
    pub struct TxnKey;
}

/// A host with its row in the table and what the platform says about it.
#[derive(Clone, Debug)]
pub struct Host {
    /// Id under which the platform lists the host.
    pub id: String,
    /// The host as the platform lists it; `None` if the platform does not list the host.
    pub info: Option<HostInfo>,
    /// The host's row in the table; the default if there is none.
    pub row: HostRow,
    /// Version of the row, 0 if there is none.
    pub version: u64,
    /// When this entry first saw that the host was not live; `None` while it is live.
    pub gone_since_ms: Option<Millis>,
    /// When this entry first saw the current version of the row.
    pub row_seen_ms: Millis,
    /// When this entry last ordered the host's reboot, or logged what holds up its drain.
    pub last_order_or_log_ms: Option<Millis>,
    /// Different jobs that failed here since the last success, the latest last.
    pub failed_jobs: Vec<String>,
    /// When jobs began to avoid the host because several of them had failed here.
    pub failing_since_ms: Option<Millis>,
}

impl Host {
    /// Whether the platform lists it as live.
    pub fn is_live(&self) -> bool {
        self.info
            .as_ref()
            .is_some_and(|i| i.status == HostStatus::Live)
    }

    /// Whether it serves its pool and is live.
    pub fn is_serving(&self) -> bool {
        self.row.state == HostState::Serving && self.is_live()
    }

    /// Whether it drains to leave its pool for another pool or for the free hosts.
    pub fn is_moving_out(&self) -> bool {
        let leaves = matches!(self.row.purpose, Purpose::Move(_) | Purpose::Release);
        self.row.state == HostState::Draining && leaves
    }

    /// Returns the names of the hall and the rack, both empty while the platform does not list the host.
    pub fn hall_and_rack(&self) -> (&str, &str) {
        match &self.info {
            Some(i) => (&i.hall, &i.rack),
            None => ("", ""),
        }
    }
}

/// A pool's row and members. Its size and budget are in the configuration.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Name of the pool in the configuration and in the rows of its hosts.
    pub name: String,
    /// The pool's row in the table; the default if there is none.
    pub row: PoolRow,
    /// Version of the row, 0 if there is none.
    pub version: u64,
    /// Hosts whose rows name this pool, ordered by id.
    pub members: Vec<HostKey>,
    /// When this entry last logged that a wave is held up in this pool.
    pub held_logged_ms: Option<Millis>,
}

/// A job with its row in the table and the state of its current attempt.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id in the job's row key and in the platform's tasks.
    pub id: String,
    /// The job's row in the table.
    pub row: JobRow,
    /// Version of the row.
    pub version: u64,
    /// When this entry last ordered a start or a stop of the current attempt.
    pub last_order_ms: Option<Millis>,
    /// Whether the platform confirmed the start of the current attempt to this entry.
    pub start_confirmed: bool,
    /// Whether a stop was ordered, which ends the current attempt or keeps it from ever starting.
    pub stopping: bool,
}

impl Job {
    /// Returns the current attempt under the platform's name for it.
    pub fn task(&self) -> TaskRef {
        TaskRef {
            job: self.id.clone(),
            attempt: self.row.attempt,
        }
    }
}

/// The state of this entry's reads of the table.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    /// Whether a read is under way.
    pub outstanding: bool,
    /// When the next read may begin.
    pub next_ms: Millis,
    /// Pauses after failed reads.
    pub backoff: Backoff,
    /// Whether the last read failed.
    pub failing: bool,
    /// Whether the table was read to its end at least once.
    pub complete: bool,
}

/// The in-memory state of an entry.
pub struct State {
    /// Identity of this entry.
    pub me: EntryIdentity,
    /// Intervals and timeouts.
    pub tuning: Tuning,
    /// Seeded random generator, so that a run can be repeated.
    pub rng: fastrand::Rng,
    /// The table's sequence number up to which this entry has all rows.
    pub seq: u64,
    /// Undecoded rows by key, to answer peers with.
    pub raw_rows: HashMap<String, Row>,
    /// Row keys by version, to find the rows that a peer lacks.
    pub row_keys_by_version: BTreeMap<u64, String>,
    /// All hosts that have a row or are listed by the platform.
    pub hosts: SlotMap<HostKey, Host>,
    /// Hosts by id.
    pub host_ids: BTreeMap<String, HostKey>,
    /// All pools named by the configuration or by a row.
    pub pools: SlotMap<PoolKey, Pool>,
    /// Pools by name.
    pub pool_names: BTreeMap<String, PoolKey>,
    /// All jobs that have a row.
    pub jobs: SlotMap<JobKey, Job>,
    /// Jobs by id.
    pub job_ids: BTreeMap<String, JobKey>,
    /// Jobs whose current attempt may be running, by host.
    pub placed_on: HashMap<String, Vec<JobKey>>,
    /// Waves by id, each with the version of its row.
    pub waves: BTreeMap<String, (u64, WaveRow)>,
    /// Entries by name, this one included.
    pub members: BTreeMap<String, Member>,
    /// Unregistered peers that took their view from this entry, by name.
    pub sponsored: BTreeMap<String, Sponsored>,
    /// Whether a peer that gave this entry its view sponsors it until it is registered.
    pub is_sponsored: bool,
    /// Entries whose host the platform has certainly ended.
    pub ended_entries: Vec<String>,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Version of the configuration in force, 0 if there is none.
    pub config_version: u64,
    /// The configuration that the one in force replaced here, with its version.
    pub replaced_config: Option<(u64, Arc<Config>)>,
    /// Row version of the configuration's head row.
    pub head_version: u64,
    /// State of the reads of the table.
    pub reads: Reads,
    /// When the host list and the task reports may be read next.
    pub lists_next_ms: Millis,
    /// Whether a host list was received at least once, from the platform or from a peer.
    pub hosts_known: bool,
    /// The sequence number up to which all task reports were read.
    pub reports_seq: u64,
    /// Whether the task reports were read at least once.
    pub reports_known: bool,
    /// The latest report on each attempt, without ended jobs and earlier attempts.
    pub reports: HashMap<TaskRef, TaskReport>,
    /// When the view was last confirmed: the start of the last read or poll that was answered.
    pub confirmed_ms: Millis,
    /// Whether neither the table nor a peer has confirmed the view for too long.
    pub isolated: bool,
    /// Time of the last tick.
    pub last_tick_ms: Millis,
    /// The table's sequence number up to which the routes in force include all changes.
    pub published_seq: u64,
    /// Leaving hosts on which this entry has requests in flight.
    pub busy: Vec<String>,
    /// When the entry's own row was last written as an acknowledgement.
    pub ack_written_ms: Millis,
    /// Transactions whose outcome is not known yet.
    pub pending: SlotMap<TxnKey, Pending>,
    /// Rows that a transaction of this entry changes, with the sequence number that the view must reach to
    /// unlock them.
    pub locked: HashMap<String, u64>,
    /// Operators' `apply` requests that met a conflict, to be answered with what changed.
    pub lost_applies: Vec<(Ticket, Arc<Config>, u64)>,
    /// Edits that named something unknown here, with the time of the request: they are checked again after a read of
    /// the table that began later.
    pub edits_to_recheck: Vec<(Ticket, Edit, Millis)>,
    /// Whether the routes must be rebuilt and published.
    pub routes_dirty: bool,
    /// Chosen hosts by job, for placements whose outcome is not in the view yet.
    pub placing: HashMap<JobKey, String>,
    /// When the tasks' leases were last renewed.
    pub renewed_ms: Millis,
    /// Latest run times, by account and pool.
    pub run_times: HashMap<(String, String), VecDeque<Millis>>,
    /// Whether the entry is shutting down.
    pub stopping: bool,
}

impl State {
    /// Creates the state of an entry that has read nothing yet.
    pub fn new(me: EntryIdentity, tuning: Tuning, seed: u64) -> Self {
        Self {
            me,
            tuning,
            rng: fastrand::Rng::with_seed(seed),
            seq: 0,
            raw_rows: HashMap::new(),
            row_keys_by_version: BTreeMap::new(),
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
            is_sponsored: false,
            ended_entries: Vec::new(),
            config: Arc::new(Config::default()),
            config_version: 0,
            replaced_config: None,
            head_version: 0,
            reads: Reads::default(),
            lists_next_ms: 0,
            hosts_known: false,
            reports_seq: 0,
            reports_known: false,
            reports: HashMap::new(),
            confirmed_ms: 0,
            isolated: false,
            last_tick_ms: 0,
            published_seq: 0,
            busy: Vec::new(),
            ack_written_ms: 0,
            pending: SlotMap::with_key(),
            locked: HashMap::new(),
            lost_applies: Vec::new(),
            edits_to_recheck: Vec::new(),
            routes_dirty: true,
            placing: HashMap::new(),
            renewed_ms: 0,
            run_times: HashMap::new(),
            stopping: false,
        }
    }

    /// Whether the entry has a complete view, read from the table or from a peer.
    pub fn has_view(&self) -> bool {
        self.reads.complete
    }

    /// Whether this entry's own row is in its view. From then on no host can leave without its acknowledgement.
    pub fn is_registered(&self) -> bool {
        self.members
            .get(&self.me.name)
            .and_then(|m| m.row.as_ref())
            .is_some_and(|r| r.incarnation == self.me.incarnation && r.state == EntryState::Live)
    }

    /// Stores rows from a read or from a peer, and ignores those that are not newer than the known ones.
    pub fn apply_rows(&mut self, rows: Vec<Row>, upto: u64, now_ms: Millis, out: &mut Vec<Effect>) {
        for row in rows {
            let known = self.raw_rows.get(&row.key).map_or(0, |r| r.version);
            if row.version <= known {
                continue;
            }
            self.row_keys_by_version.remove(&known);
            self.row_keys_by_version
                .insert(row.version, row.key.clone());
            self.raw_rows.insert(row.key.clone(), row.clone());
            self.apply_row(&row, now_ms, out);
        }
        self.seq = self.seq.max(upto);
        let seq = self.seq;
        self.locked.retain(|_, until| *until > seq);
    }

    fn apply_row(&mut self, row: &Row, now_ms: Millis, out: &mut Vec<Effect>) {
        let Some((space, name)) = row.key.split_once('/') else {
            return;
        };
        let applied = match space {
            "host" => self.apply_host_row(row, name, now_ms),
            "pool" => self.apply_pool_row(row, name),
            "wave" => self.apply_wave_row(row, name),
            "job" => self.apply_job_row(row, name),
            "entry" => self.apply_entry_row(row, name),
            "config" if row.key == HEAD_KEY => self.apply_head_row(row, out),
            _ => Ok(()),
        };
        if let Err(why) = applied {
            let d = Decision::new(Code::BadRow, Subject::Entry, &self.me.name, why)
                .with("version", row.version);
            out.push(Effect::Log(d));
        }
    }

    fn apply_host_row(&mut self, row: &Row, id: &str, now_ms: Millis) -> Result<(), String> {
        let body: Option<HostRow> = decode(row)?;
        let key = self.find_or_add_host(id);
        if let Some(host) = self.hosts.get_mut(key) {
            host.row = body.unwrap_or_default();
            host.version = row.version;
            host.row_seen_ms = now_ms;
            host.last_order_or_log_ms = None;
        }
        self.rebuild_members();
        self.routes_dirty = true;
        Ok(())
    }

    fn apply_pool_row(&mut self, row: &Row, name: &str) -> Result<(), String> {
        let body: Option<PoolRow> = decode(row)?;
        let key = self.find_or_add_pool(name);
        if let Some(pool) = self.pools.get_mut(key) {
            pool.row = body.unwrap_or_default();
            pool.version = row.version;
        }
        Ok(())
    }

    fn apply_wave_row(&mut self, row: &Row, id: &str) -> Result<(), String> {
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

    fn apply_job_row(&mut self, row: &Row, id: &str) -> Result<(), String> {
        let body: Option<JobRow> = decode(row)?;
        let known = self.job_ids.get(id).copied();
        if let Some(key) = known {
            self.remove_from_host(key);
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
                    job.start_confirmed = false;
                    job.stopping = false;
                    job.last_order_ms = None;
                }
                job.row = body;
                job.version = row.version;
            }
            None => {
                let key = self.jobs.insert(Job {
                    id: id.to_string(),
                    row: body,
                    version: row.version,
                    last_order_ms: None,
                    start_confirmed: false,
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

    /// Removes a job from the list of its host.
    fn remove_from_host(&mut self, key: JobKey) {
        let host = self.jobs.get(key).and_then(|j| j.row.host.as_ref());
        let Some(list) = host.and_then(|h| self.placed_on.get_mut(h)) else {
            return;
        };
        list.retain(|k| *k != key);
    }

    fn apply_entry_row(&mut self, row: &Row, name: &str) -> Result<(), String> {
        let body: Option<EntryRow> = decode(row)?;
        let member = self.members.entry(name.to_string()).or_default();
        member.row = body;
        member.version = row.version;
        self.routes_dirty = true;
        Ok(())
    }

    fn apply_head_row(&mut self, row: &Row, out: &mut Vec<Effect>) -> Result<(), String> {
        let head: Option<HeadRow> = decode(row)?;
        let Some(head) = head else {
            return Ok(());
        };
        self.head_version = row.version;
        if head.version <= self.config_version {
            return Ok(());
        }
        let config = config::parse(&head.text).map_err(|e| e.to_string())?;
        let replaced = std::mem::replace(&mut self.config, Arc::new(config));
        self.replaced_config = Some((self.config_version, replaced));
        self.config_version = head.version;
        for name in self.config.pools.keys().cloned().collect::<Vec<_>>() {
            self.find_or_add_pool(&name);
        }
        self.routes_dirty = true;
        let d = Decision::new(
            Code::ConfigAdopted,
            Subject::Config,
            "head",
            "the table has a newer version",
        )
        .with("version", head.version);
        out.push(Effect::Log(d));
        Ok(())
    }

    /// Returns a host's arena key, and adds the host if it is unknown.
    pub fn find_or_add_host(&mut self, id: &str) -> HostKey {
        if let Some(key) = self.host_ids.get(id) {
            return *key;
        }
        let key = self.hosts.insert(Host {
            id: id.to_string(),
            info: None,
            row: HostRow::default(),
            version: 0,
            gone_since_ms: None,
            row_seen_ms: 0,
            last_order_or_log_ms: None,
            failed_jobs: Vec::new(),
            failing_since_ms: None,
        });
        self.host_ids.insert(id.to_string(), key);
        key
    }

    /// Returns a pool's arena key, and adds the pool if it is unknown.
    pub fn find_or_add_pool(&mut self, name: &str) -> PoolKey {
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

    /// Rebuilds the member lists of all pools from the hosts' rows.
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
            let key = self.find_or_add_pool(&pool);
            if let Some(pool) = self.pools.get_mut(key) {
                pool.members.push(host);
            }
        }
    }

    /// Stores the platform's list of hosts.
    pub fn apply_host_list(&mut self, infos: Vec<HostInfo>, now_ms: Millis, out: &mut Vec<Effect>) {
        let mut listed = std::collections::HashSet::new();
        for info in infos {
            listed.insert(info.id.clone());
            let key = self.find_or_add_host(&info.id);
            if let Some(host) = self.hosts.get_mut(key) {
                if host.info.as_ref() != Some(&info) {
                    self.routes_dirty = true;
                }
                host.info = Some(info);
            }
        }
        for host in self.hosts.values_mut() {
            if !listed.contains(&host.id) && host.info.take().is_some() {
                self.routes_dirty = true;
            }
            let gone = !host.is_live();
            if gone && host.gone_since_ms.is_none() {
                host.gone_since_ms = Some(now_ms);
                if host.row.state == HostState::Out {
                    continue;
                }
                let why = "the platform does not list the host as live";
                let d = Decision::new(Code::HostLost, Subject::Host, &host.id, why);
                out.push(Effect::Log(d));
            }
            if !gone {
                host.gone_since_ms = None;
            }
        }
        self.hosts_known = true;
    }

    /// Returns at most `rows_max` rows that changed after `since`, and the sequence number up to which they are
    /// complete.
    pub fn rows_changed_after(&self, since: u64, rows_max: usize) -> (Vec<Row>, u64) {
        let mut rows = Vec::new();
        for (version, key) in self.row_keys_by_version.range(since + 1..) {
            if rows.len() == rows_max {
                return (rows, version - 1);
            }
            rows.extend(self.raw_rows.get(key).cloned());
        }
        (rows, self.seq)
    }

    /// Returns what this entry reports to its peers.
    ///
    /// It includes the unregistered peers that it sponsors: a host that one of them has not released counts as not
    /// released by this entry.
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

    /// Whether no transaction of this entry is changing the row.
    pub fn is_unlocked(&self, key: &str) -> bool {
        !self.locked.contains_key(key)
    }
}

/// Decodes a row's value; returns `None` for a deleted row.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<Option<T>, String> {
    let Some(text) = &row.value else {
        return Ok(None);
    };
    let stamped: Stamped<T> =
        serde_json::from_str(text).map_err(|e| format!("row {}: {e}", row.key))?;
    Ok(Some(stamped.body))
}
