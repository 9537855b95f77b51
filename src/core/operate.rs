//! Requests of operators and callers for a change: each is checked against the in-memory state, then committed.
//!
//! The reducer passes them in as [`Edit`]s, and answers each with a [`Reply`] or a failure.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::config::{self, Config, Window};
use super::drain::Grant;
use super::members::expect;
use super::reduce::{Effect, Purpose as CommitPurpose, Ticket};
use super::rows::{
    entry_key, history_key, job_key, wave_key, EntryState, HeadRow, HostState, JobRow, JobSpec,
    JobState, Purpose, WaveRow, WaveState, HEAD_KEY,
};
use super::state::{HostKey, State};
use super::wave::EVERY_POOL;
use crate::clock::Now;
use crate::error::{Failure, Kind};
use crate::event::{Code, Decision, Subject};
use crate::port::Put;

/// Maximum size of a job's payload.
pub const PAYLOAD_MAX_BYTES: usize = 16 << 10;

/// A change that an operator or a caller requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Edit {
    /// Replace the configuration, if its current version is `expect`.
    Apply {
        /// The version to be replaced; 0 if there is none yet.
        expect: u64,
        /// The whole text of the new configuration.
        text: String,
    },
    /// Drain a host; without `reboot` it stays out until an operator returns it.
    Drain {
        /// Id of the host.
        host: String,
        /// Whether the host is rebooted and then returns to service without an operator.
        reboot: bool,
        /// The operator's reason, kept in the host's history.
        why: String,
    },
    /// Return a drained host to service, or cancel its drain.
    Return {
        /// Id of the host.
        host: String,
    },
    /// Move a host to another pool, or to the free hosts.
    Move {
        /// Id of the host.
        host: String,
        /// The pool to move to; `None` for the free hosts.
        pool: Option<String>,
    },
    /// Start a maintenance wave.
    StartWave {
        /// Name of the pool, or `*` for every host.
        pool: String,
        /// Daily windows in UTC as `HH:MM-HH:MM`; empty if only the pools' own windows apply.
        windows: Vec<String>,
    },
    /// Stop a wave; hosts that it has already taken come back.
    StopWave {
        /// Id of the wave.
        wave: String,
    },
    /// Remove an entry, on the operator's assurance that its process has ended.
    RemoveEntry {
        /// Name of the entry.
        entry: String,
    },
    /// Submit a job.
    Submit {
        /// The account that it belongs to.
        account: String,
        /// The job's id, derived from the caller's key; `None` if the caller gave no key.
        id: Option<String>,
        /// What the job needs and runs.
        spec: JobSpec,
    },
    /// Cancel a job.
    Cancel {
        /// The account that requests it; `None` for an operator.
        account: Option<String>,
        /// Id of the job.
        job: String,
    },
}

/// The answer to a change that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The new version of the configuration.
    Version(u64),
    /// The id of the new wave.
    Wave(String),
    /// The id of the submitted job.
    Job(String),
    /// What was done, as text for people.
    Done(String),
}

type Refusal = Failure;

fn refuse(ticket: Ticket, failure: Failure, out: &mut Vec<Effect>) {
    let result = Err(failure);
    out.push(Effect::Answer { ticket, result });
}

impl State {
    /// Checks an edit and commits it, or refuses it.
    ///
    /// If an edit names something that this entry doesn't know, such as a host or a job, another entry may just have
    /// committed it. The edit is then checked once more after a fresh read of the table.
    pub(super) fn edit(&mut self, ticket: Ticket, edit: Edit, now: Now, out: &mut Vec<Effect>) {
        match self.check_and_commit(ticket, edit.clone(), now, out) {
            Ok(()) => {}
            Err(f) if f.kind.is_unknown_thing() && !self.reads.failing => {
                self.edits_to_recheck.push((ticket, edit, now.ms));
                self.read_soon(now, out);
            }
            Err(failure) => refuse(ticket, failure, out),
        }
    }

    /// Repeats the check of each edit that named something unknown, after a read that began at `begun_ms`; `None`
    /// stands for a failed read. An edit that arrived after the read began waits for the next read.
    pub(super) fn recheck_edits(&mut self, begun_ms: Option<u64>, now: Now, out: &mut Vec<Effect>) {
        for (ticket, edit, requested_ms) in std::mem::take(&mut self.edits_to_recheck) {
            if begun_ms.is_some_and(|t| t < requested_ms) {
                self.edits_to_recheck.push((ticket, edit, requested_ms));
                self.read_soon(now, out);
            } else if let Err(failure) = self.check_and_commit(ticket, edit, now, out) {
                refuse(ticket, failure, out);
            }
        }
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Kind::Stopping.into());
        }
        if !self.reads.complete {
            return Err(Kind::NotReady.into());
        }
        if self.reads.failing {
            return Err(Kind::StoreDown.into());
        }
        Ok(())
    }

    fn check_and_commit(
        &mut self,
        ticket: Ticket,
        edit: Edit,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        self.check_ready()?;
        match edit {
            Edit::Apply { expect, text } => self.apply(ticket, expect, text, now, out),
            Edit::Drain { host, reboot, why } => self.drain(ticket, &host, reboot, &why, now, out),
            Edit::Return { host } => self.return_host(ticket, &host, now, out),
            Edit::Move { host, pool } => self.move_host(ticket, &host, pool, now, out),
            Edit::StartWave { pool, windows } => self.start_wave(ticket, &pool, &windows, now, out),
            Edit::StopWave { wave } => self.stop_wave(ticket, &wave, now, out),
            Edit::RemoveEntry { entry } => self.remove_entry(ticket, &entry, out),
            Edit::Submit { account, id, spec } => self.submit(ticket, account, id, spec, now, out),
            Edit::Cancel { account, job } => self.cancel(ticket, account, &job, now, out),
        }
    }

    /// Commits an edit of one row, to be answered with `reply` once it is committed.
    fn commit_edit(
        &mut self,
        ticket: Ticket,
        reply: Reply,
        line: Decision,
        put: Put,
        out: &mut Vec<Effect>,
    ) {
        let purpose = CommitPurpose::Edit {
            ticket,
            reply,
            line,
        };
        self.commit(vec![], vec![put], purpose, out);
    }

    fn apply(
        &mut self,
        ticket: Ticket,
        expected_version: u64,
        text: String,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if let Err(error) = config::parse(&text) {
            let d = Decision::new(
                Code::ConfigRefused,
                Subject::Config,
                "head",
                error.to_string(),
            );
            out.push(Effect::Log(d));
            return Err(Kind::InvalidTemplate.with_detail(error.to_string()));
        }
        if expected_version != self.config_version || !self.is_unlocked(HEAD_KEY) {
            return Err(Kind::Conflict.with_detail(self.describe_other_version(expected_version)));
        }
        let head = HeadRow {
            version: expected_version + 1,
            text,
            by: self.me.name.clone(),
            at_ms: now.wall_ms,
        };
        let puts = vec![
            Put::new(HEAD_KEY, expect(self.head_version), &head),
            Put::new(history_key(head.version), expect(0), &head),
        ];
        let purpose = CommitPurpose::Apply {
            ticket,
            version: head.version,
            base: Arc::clone(&self.config),
        };
        self.commit(vec![], puts, purpose, out);
        Ok(())
    }

    /// Tells an operator who based a change on another version than the one in force what has changed since, if that
    /// version is still known here.
    fn describe_other_version(&self, expected_version: u64) -> String {
        let version = self.config_version;
        let advice = match &self.replaced_config {
            Some((replaced, base)) if *replaced == expected_version => {
                self.describe_lost_race(base, replaced + 1)
            }
            _ => "read it and base the change on it".to_string(),
        };
        format!("the version is {version}, not {expected_version}; {advice}")
    }

    /// Tells an operator that another change took `version` first, and what has changed since `base`.
    pub(super) fn describe_lost_race(&self, base: &Config, version: u64) -> String {
        let changed = config::differences(base, &self.config).join("; ");
        format!(
            "another change took version {version} first, the version is now {}: {changed}",
            self.config_version
        )
    }

    fn find_changeable_host(&self, id: &str) -> Result<HostKey, Refusal> {
        let key = self.host_ids.get(id).copied();
        let key = key.ok_or_else(|| Kind::UnknownHost.with_detail(id))?;
        if self.may_change(&self.hosts[key]) {
            Ok(key)
        } else {
            Err(Kind::Conflict.with_detail("another change of this host or its pool is under way"))
        }
    }

    /// Returns an error if the pool's budget does not let the host leave.
    fn check_budget(&self, host: HostKey, out: &mut Vec<Effect>) -> Result<(), Refusal> {
        let h = &self.hosts[host];
        let Some(pool) = h.row.pool.as_ref().and_then(|p| self.pool_names.get(p)) else {
            return Ok(());
        };
        let view = self.pool_view(*pool);
        let Some(verdict) = view.may_leave(host).filter(|v| !v.allowed) else {
            return Ok(());
        };
        let detail = format!(
            "{} hosts would serve, but {} must, and {} more are reserved for a failure",
            verdict.serving_after, view.budget.serving_min, verdict.reserved
        );
        let d = Decision::new(Code::DrainRefused, Subject::Host, &h.id, detail.clone())
            .with("serving_after", verdict.serving_after as u64)
            .with("serving_min", view.budget.serving_min as u64)
            .with("reserved", verdict.reserved as u64);
        out.push(Effect::Log(d));
        Err(Kind::BudgetHolds.with_detail(detail))
    }

    fn check_free_or_serving(&self, host: HostKey) -> Result<(), Refusal> {
        let h = &self.hosts[host];
        match h.row.state {
            HostState::Free | HostState::Serving => Ok(()),
            state => Err(Kind::NotAllowed.with_detail(format!("the host is {}", state.as_str()))),
        }
    }

    fn drain(
        &mut self,
        ticket: Ticket,
        id: &str,
        reboot: bool,
        why: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let host = self.find_changeable_host(id)?;
        self.check_free_or_serving(host)?;
        self.check_budget(host, out)?;
        let purpose = if reboot {
            Purpose::Maintenance
        } else {
            Purpose::Hold
        };
        let reply = Reply::Done(format!("host {id} is draining"));
        let make_purpose = |line| CommitPurpose::Edit {
            ticket,
            reply,
            line,
        };
        let grant = Grant {
            host,
            purpose,
            wave: None,
            why: format!("operator: {why}"),
        };
        self.grant_drain(grant, make_purpose, now, out);
        Ok(())
    }

    fn return_host(
        &mut self,
        ticket: Ticket,
        id: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let host = self.find_changeable_host(id)?;
        let state = self.hosts[host].row.state;
        if matches!(state, HostState::Free | HostState::Serving) {
            let detail = format!("the host is {}", state.as_str());
            return Err(Kind::NotAllowed.with_detail(detail));
        }
        // The reboot order may still be on its way, and must not reach a host that serves again.
        let rebooting = self.hosts[host].row.purpose == Purpose::Maintenance;
        if state == HostState::Out && rebooting {
            let detail = "its reboot is ordered; it returns by itself";
            return Err(Kind::NotAllowed.with_detail(detail));
        }
        let what = format!("returned by an operator while {}", state.as_str());
        let line = Decision::new(Code::HostReturned, Subject::Host, id, what.clone());
        let purpose = CommitPurpose::Edit {
            ticket,
            reply: Reply::Done(format!("host {id} is back")),
            line,
        };
        self.return_to_service(host, purpose, &what, now, out);
        Ok(())
    }

    fn move_host(
        &mut self,
        ticket: Ticket,
        id: &str,
        to: Option<String>,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let host = self.find_changeable_host(id)?;
        if let Some(pool) = to.as_ref().filter(|p| !self.config.pools.contains_key(*p)) {
            return Err(Kind::UnknownPool.with_detail(pool.as_str()));
        }
        self.check_free_or_serving(host)?;
        if self.hosts[host].row.pool == to {
            return Err(Kind::NotAllowed.with_detail("the host is already there"));
        }
        self.check_budget(host, out)?;
        let (purpose, why) = match to {
            Some(p) => (
                Purpose::Move(p.clone()),
                format!("operator: move to pool {p}"),
            ),
            None => (Purpose::Release, "operator: to the free hosts".to_string()),
        };
        let reply = Reply::Done(format!("host {id} is draining, then moves"));
        let make_purpose = |line| CommitPurpose::Edit {
            ticket,
            reply,
            line,
        };
        let grant = Grant {
            host,
            purpose,
            wave: None,
            why,
        };
        self.grant_drain(grant, make_purpose, now, out);
        Ok(())
    }

    fn start_wave(
        &mut self,
        ticket: Ticket,
        pool: &str,
        windows: &[String],
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if pool != EVERY_POOL && !self.config.pools.contains_key(pool) {
            return Err(Kind::UnknownPool.with_detail(pool));
        }
        let mut spans = Vec::new();
        for text in windows {
            let span = Window::parse(text);
            let span = span.ok_or_else(|| {
                Kind::BadRequest.with_detail(format!("window {text:?}: must be HH:MM-HH:MM"))
            })?;
            spans.push(span);
        }
        let id = format!("w-{:08x}", self.rng.u32(..));
        let row = WaveRow {
            pool: pool.to_string(),
            state: WaveState::Running,
            windows: spans,
            started_ms: now.wall_ms,
            ended_ms: 0,
            by: self.me.name.clone(),
        };
        let line = Decision::new(
            Code::WaveStarted,
            Subject::Wave,
            &id,
            format!("pool {pool}"),
        );
        let reply = Reply::Wave(id.clone());
        let put = Put::new(wave_key(&id), expect(0), &row);
        self.commit_edit(ticket, reply, line, put, out);
        Ok(())
    }

    fn stop_wave(
        &mut self,
        ticket: Ticket,
        id: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let Some((version, row)) = self.waves.get(id).cloned() else {
            return Err(Kind::UnknownWave.with_detail(id));
        };
        if row.state != WaveState::Running {
            return Err(Kind::NotAllowed.with_detail("the wave has ended"));
        }
        let row = WaveRow {
            state: WaveState::Stopped,
            ended_ms: now.wall_ms,
            ..row
        };
        let line = Decision::new(
            Code::WaveStopped,
            Subject::Wave,
            id,
            "stopped by an operator",
        );
        let reply = Reply::Done(format!("wave {id} is stopped"));
        let put = Put::new(wave_key(id), expect(version), &row);
        self.commit_edit(ticket, reply, line, put, out);
        Ok(())
    }

    fn remove_entry(
        &mut self,
        ticket: Ticket,
        name: &str,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let Some((version, row)) = self
            .members
            .get(name)
            .and_then(|m| m.row.clone().map(|r| (m.version, r)))
        else {
            return Err(Kind::UnknownEntry.with_detail(name));
        };
        if self.alive_entries().contains(&name) {
            return Err(Kind::NotAllowed.with_detail("the entry is alive"));
        }
        let row = super::rows::EntryRow {
            state: EntryState::Left,
            ..row
        };
        let line = Decision::new(
            Code::EntryRemoved,
            Subject::Entry,
            name,
            "an operator confirmed that the entry has ended",
        );
        let reply = Reply::Done(format!("entry {name} is removed"));
        let put = Put::new(entry_key(name), expect(version), &row);
        self.commit_edit(ticket, reply, line, put, out);
        Ok(())
    }

    fn submit(
        &mut self,
        ticket: Ticket,
        account: String,
        id: Option<String>,
        spec: JobSpec,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if spec.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(Kind::BodyTooLarge
                .with_detail(format!("payload: at most {PAYLOAD_MAX_BYTES} bytes")));
        }
        if let Some(known) = id.as_ref().and_then(|i| self.job_ids.get(i)) {
            return self.answer_repeated_submit(ticket, &account, &spec, *known, out);
        }
        if !self.config.pools.contains_key(&spec.pool) {
            return Err(Kind::UnknownPool.with_detail(spec.pool.as_str()));
        }
        if !self.hosts_known {
            return Err(Kind::NotReady.with_detail("the list of hosts has not been read yet"));
        }
        if spec.cores == 0 || !self.can_ever_fit(&spec.pool, spec.cores, spec.memory_mb) {
            let detail = format!(
                "no host of pool {} has {} cores and {} MB",
                spec.pool, spec.cores, spec.memory_mb
            );
            let line = Decision::new(Code::JobRefused, Subject::Job, "-", detail.clone());
            out.push(Effect::Log(line));
            return Err(Kind::JobImpossible.with_detail(detail));
        }
        let id = id.unwrap_or_else(|| format!("j-{:016x}", self.rng.u64(..)));
        let step = self.step(now, "accepted");
        let line = Decision::new(
            Code::JobAccepted,
            Subject::Job,
            &id,
            format!("submitted by account {account}"),
        )
        .with("cores", u64::from(spec.cores))
        .with("memory_mb", spec.memory_mb);
        let row = JobRow {
            account,
            spec,
            state: JobState::Waiting,
            attempt: 0,
            host: None,
            failed_on: Vec::new(),
            losses: 0,
            cancel: false,
            submitted_ms: now.wall_ms,
            history: vec![step],
        };
        let reply = Reply::Job(id.clone());
        let put = Put::new(job_key(&id), expect(0), &row);
        self.commit_edit(ticket, reply, line, put, out);
        Ok(())
    }

    /// Answers a submission whose id is already taken: with the existing job, or with an error if the request differs.
    fn answer_repeated_submit(
        &self,
        ticket: Ticket,
        account: &str,
        spec: &JobSpec,
        known: super::state::JobKey,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let job = &self.jobs[known];
        if job.row.account != account || job.row.spec != *spec {
            return Err(Kind::KeyMismatch.into());
        }
        out.push(Effect::Answer {
            ticket,
            result: Ok(Reply::Job(job.id.clone())),
        });
        Ok(())
    }

    fn cancel(
        &mut self,
        ticket: Ticket,
        account: Option<String>,
        id: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let key = self.job_ids.get(id).copied();
        let key = key.ok_or_else(|| Kind::UnknownJob.with_detail(id))?;
        let job = &self.jobs[key];
        if account.as_ref().is_some_and(|a| *a != job.row.account) {
            return Err(Kind::UnknownJob.with_detail(id));
        }
        if job.row.state.is_final() || job.row.cancel {
            let reply = Reply::Done(job.row.state.as_str().to_string());
            out.push(Effect::Answer {
                ticket,
                result: Ok(reply),
            });
            return Ok(());
        }
        if !self.is_unlocked(&job_key(id)) {
            return Err(Kind::Conflict.with_detail("the job is being changed; try again"));
        }
        let mut row = job.row.clone();
        let (reply, what) = match (row.state, &account) {
            (JobState::Waiting, Some(_)) => ("cancelled", "cancelled by the caller while waiting"),
            (JobState::Waiting, None) => ("cancelled", "cancelled by an operator while waiting"),
            (_, Some(_)) => ("stopping", "the caller asked to stop it"),
            (_, None) => ("stopping", "an operator asked to stop it"),
        };
        row.cancel = true;
        if row.state == JobState::Waiting {
            row.state = JobState::Cancelled;
        }
        super::rows::push_step(&mut row.history, self.step(now, what));
        let line = Decision::new(Code::JobCancelled, Subject::Job, id, what);
        let reply = Reply::Done(reply.to_string());
        let put = self.put_job(key, &row);
        self.commit_edit(ticket, reply, line, put, out);
        Ok(())
    }
}
