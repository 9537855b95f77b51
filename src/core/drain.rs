//! Draining of hosts: the grant, the release by every entry, the reboot or the move, and the return to service.
//!
//! Each time an entry decides, it advances the hosts out of service whose pools it owns, and those without a pool that
//! it owns by their ids. Operators' edits, waves and the sizing of pools grant drains through this module.

use super::members::expect;
use super::reduce::{Effect, Purpose as CommitPurpose};
use super::rows::{
    host_key, pool_key, push_step, HostRow, HostState, PoolRow, Purpose, Step, HEAD_KEY,
};
use super::state::{Host, HostKey, JobKey, PoolKey, State};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::{Check, Put};

/// Minimum interval between log lines about the same drain that is held up.
const HELD_LOG_MS: Millis = 60_000;

/// A drain to be granted.
pub(super) struct Grant {
    /// The host to drain.
    pub(super) host: HostKey,
    /// What the host drains for.
    pub(super) purpose: Purpose,
    /// The wave that takes the host, if any.
    pub(super) wave: Option<String>,
    /// The reason, for the host's history and the log.
    pub(super) why: String,
}

impl State {
    /// Returns a copy of a host's row with the current time and a new step in its history.
    pub(super) fn next_row(&self, host: &Host, now: Now, what: &str) -> HostRow {
        let mut row = host.row.clone();
        row.since_ms = now.wall_ms;
        push_step(&mut row.history, self.step(now, what));
        row
    }

    /// Returns a history step in this entry's name.
    pub(super) fn step(&self, now: Now, what: &str) -> Step {
        Step {
            at_ms: now.wall_ms,
            by: self.me.name.clone(),
            what: what.to_string(),
        }
    }

    /// Returns a write of a host's row that is conditional on the known version.
    pub(super) fn put_host(&self, host: &Host, row: &HostRow) -> Put {
        Put::new(host_key(&host.id), expect(host.version), row)
    }

    /// Returns a write of a pool's row, changed by `change`, that is conditional on the known version.
    pub(super) fn put_pool(&self, pool: PoolKey, change: impl FnOnce(&mut PoolRow)) -> Put {
        let p = &self.pools[pool];
        let mut row = p.row.clone();
        change(&mut row);
        Put::new(pool_key(&p.name), expect(p.version), &row)
    }

    /// Returns the check that the configuration in the table is still the known version.
    pub(super) fn config_check(&self) -> Vec<Check> {
        vec![Check {
            key: HEAD_KEY.to_string(),
            expect: expect(self.head_version),
        }]
    }

    /// Whether no transaction of this entry is changing the host's row or its pool's row.
    pub(super) fn may_change(&self, host: &Host) -> bool {
        let pool_free = match &host.row.pool {
            Some(p) => self.is_unlocked(&pool_key(p)),
            None => true,
        };
        pool_free && self.is_unlocked(&host_key(&host.id))
    }

    /// Marks a host as draining and lists it in its pool's row, in one transaction conditional on both rows and
    /// on the configuration.
    ///
    /// `make_purpose` turns the log line into the purpose of the transaction.
    pub(super) fn grant_drain(
        &mut self,
        grant: Grant,
        make_purpose: impl FnOnce(Decision) -> CommitPurpose,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let why = &grant.why;
        let h = &self.hosts[grant.host];
        let mut row = self.next_row(h, now, &format!("drain: {why}"));
        row.state = HostState::Draining;
        row.purpose = grant.purpose;
        row.boots = h.info.as_ref().map_or(0, |i| i.boots);
        if grant.wave.is_some() {
            row.wave = grant.wave;
        }
        let id = h.id.clone();
        let mut puts = vec![self.put_host(h, &row)];
        let pool = h.row.pool.clone().map(|p| self.find_or_add_pool(&p));
        if let Some(pool) = pool {
            puts.push(self.put_pool(pool, |p| {
                if !p.out.contains(&id) {
                    p.out.push(id.clone());
                }
            }));
        }
        let line = Decision::new(Code::DrainGranted, Subject::Host, &id, why.as_str());
        let checks = self.config_check();
        self.commit(checks, puts, make_purpose(line), out);
    }

    /// Returns the jobs whose current attempt may be running on a host.
    pub fn jobs_on(&self, host: &str) -> &[JobKey] {
        self.placed_on.get(host).map_or(&[], Vec::as_slice)
    }

    /// Advances by one step every host that is draining, out or returning and that this entry owns.
    pub(super) fn advance_drains(&mut self, alive: &[&str], now: Now, out: &mut Vec<Effect>) {
        let keys: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, h)| {
                let owned_name = h.row.pool.as_deref().unwrap_or(&h.id);
                !matches!(h.row.state, HostState::Free | HostState::Serving)
                    && self.owns(owned_name, alive)
                    && self.may_change(h)
            })
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            match self.hosts[key].row.state {
                HostState::Draining => self.advance_draining(key, now, out),
                HostState::Out => self.advance_out(key, now, out),
                HostState::Returning => self.advance_returning(key, now, out),
                HostState::Free | HostState::Serving => {}
            }
        }
    }

    fn advance_draining(&mut self, key: HostKey, now: Now, out: &mut Vec<Effect>) {
        let host = &self.hosts[key];
        let mut held_by = self.holders(host);
        let jobs = self.jobs_on(&host.id);
        held_by.extend(jobs.iter().map(|j| format!("job {}", self.jobs[*j].id)));
        if !held_by.is_empty() {
            self.report_drain_held(key, &held_by, now, out);
            return;
        }
        match self.hosts[key].row.purpose.clone() {
            Purpose::Maintenance | Purpose::Hold => self.mark_out(key, now, out),
            Purpose::Move(to) => self.move_drained(key, Some(&to), now, out),
            Purpose::Release => self.move_drained(key, None, now, out),
        }
    }

    fn report_drain_held(
        &mut self,
        key: HostKey,
        held_by: &[String],
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let drain_ms = self.tuning.drain_ms;
        let host = &mut self.hosts[key];
        let draining_ms = now.wall_ms.saturating_sub(host.row.since_ms);
        let logged_recently = host
            .last_order_or_log_ms
            .is_some_and(|t| t + HELD_LOG_MS > now.ms);
        if draining_ms < drain_ms || logged_recently {
            return;
        }
        host.last_order_or_log_ms = Some(now.ms);
        let why = format!("held by {}", held_by.join(", "));
        let d = Decision::new(Code::DrainHeld, Subject::Host, &host.id, why)
            .with("draining_ms", draining_ms);
        out.push(Effect::Log(d));
    }

    fn mark_out(&mut self, key: HostKey, now: Now, out: &mut Vec<Effect>) {
        let host = &self.hosts[key];
        let why = "every entry let go, no task is left";
        let mut row = self.next_row(host, now, &format!("out: {why}"));
        row.state = HostState::Out;
        row.boots = host.info.as_ref().map_or(row.boots, |i| i.boots);
        let line = Decision::new(Code::HostLetGo, Subject::Host, &host.id, why)
            .with("mark_seq", host.version);
        let puts = vec![self.put_host(host, &row)];
        self.commit(vec![], puts, CommitPurpose::Decision(line), out);
    }

    fn move_drained(&mut self, key: HostKey, to: Option<&str>, now: Now, out: &mut Vec<Effect>) {
        let host = &self.hosts[key];
        let from = host.row.pool.clone();
        let why = match to {
            Some(p) => format!("to pool {p}"),
            None => "to the free hosts".to_string(),
        };
        let mut row = self.next_row(host, now, &format!("moved {why}"));
        row.state = match to {
            Some(_) => HostState::Serving,
            None => HostState::Free,
        };
        row.pool = to.map(str::to_string);
        row.purpose = Purpose::Maintenance;
        let id = host.id.clone();
        let mut puts = vec![self.put_host(host, &row)];
        for name in from.iter().map(String::as_str).chain(to) {
            let pool = self.find_or_add_pool(name);
            if !self.is_unlocked(&pool_key(name)) {
                return;
            }
            puts.push(self.put_pool(pool, |p| {
                p.out.retain(|h| *h != id);
                p.moves += 1;
            }));
        }
        let line = Decision::new(Code::HostMoved, Subject::Host, &id, why);
        self.commit(vec![], puts, CommitPurpose::Decision(line), out);
    }

    fn advance_out(&mut self, key: HostKey, now: Now, out: &mut Vec<Effect>) {
        let reboot_ms = self.tuning.reboot_ms;
        let host = &mut self.hosts[key];
        if host.row.purpose != Purpose::Maintenance {
            return;
        }
        let boots = host.info.as_ref().map_or(0, |i| i.boots);
        if boots > host.row.boots && host.is_live() {
            self.mark_returning(key, boots, now, out);
            return;
        }
        let ordered_recently = host
            .last_order_or_log_ms
            .is_some_and(|t| t + reboot_ms > now.ms);
        if ordered_recently {
            return;
        }
        host.last_order_or_log_ms = Some(now.ms);
        // The row's version identifies this maintenance, so a repeated order has no further effect.
        let token = format!("{}-{}", host.id, host.version);
        let id = host.id.clone();
        let d = Decision::new(
            Code::RebootOrdered,
            Subject::Host,
            &id,
            "every entry has released the host",
        )
        .with("boots", boots);
        out.push(Effect::Reboot { host: id, token });
        out.push(Effect::Log(d));
    }

    /// Forgets a reboot order that the platform did not accept, so that the next tick sends the order again.
    pub(super) fn forget_reboot_order(&mut self, host: &str) {
        if let Some(key) = self.host_ids.get(host) {
            self.hosts[*key].last_order_or_log_ms = None;
        }
    }

    fn mark_returning(&mut self, key: HostKey, boots: u64, now: Now, out: &mut Vec<Effect>) {
        let host = &self.hosts[key];
        let mut row = self.next_row(host, now, "returning: the host has booted");
        row.state = HostState::Returning;
        row.boots = boots;
        let line = Decision::new(
            Code::HostBack,
            Subject::Host,
            &host.id,
            "the host has booted",
        )
        .with("boots", boots);
        let puts = vec![self.put_host(host, &row)];
        self.commit(vec![], puts, CommitPurpose::Decision(line), out);
    }

    fn advance_returning(&mut self, key: HostKey, now: Now, out: &mut Vec<Effect>) {
        let host = &self.hosts[key];
        if !host.is_live() || now.ms < host.row_seen_ms + self.tuning.return_ms {
            return;
        }
        let line = Decision::new(
            Code::HostServing,
            Subject::Host,
            &host.id,
            "the host came back and is live",
        );
        self.return_to_service(
            key,
            CommitPurpose::Decision(line),
            "serving: back and steady",
            now,
            out,
        );
    }

    /// Returns a host to service in its pool, or to the free hosts if it has none.
    pub(super) fn return_to_service(
        &mut self,
        key: HostKey,
        purpose: CommitPurpose,
        what: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let host = &self.hosts[key];
        let mut row = self.next_row(host, now, what);
        row.purpose = Purpose::Maintenance;
        row.state = match row.pool {
            Some(_) => HostState::Serving,
            None => HostState::Free,
        };
        let id = host.id.clone();
        let mut puts = vec![self.put_host(host, &row)];
        if let Some(name) = host.row.pool.clone() {
            let pool = self.find_or_add_pool(&name);
            puts.push(self.put_pool(pool, |p| p.out.retain(|h| *h != id)));
        }
        self.commit(vec![], puts, purpose, out);
    }
}
