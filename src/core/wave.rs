//! Maintenance waves: which host drains next, with as many at once as the pools' budgets, windows and pace allow.
//!
//! The owner of a pool grants the pool's drains; the owner of a wave closes it.

use std::collections::BTreeMap;

use super::budget::{Budget, Member, Verdict};
use super::config::any_open;
use super::drain::Grant;
use super::members::expect;
use super::reduce::{Effect, Purpose as CommitPurpose};
use super::rows::{wave_key, HostState, Purpose, WaveState};
use super::state::{HostKey, PoolKey, State};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::Put;

/// Stands for every host in place of a pool's name.
pub const EVERY_POOL: &str = "*";

/// Minimum interval between log lines about waves held up in the same pool.
const HELD_LOG_MS: Millis = 30_000;

/// A pool's hosts and budget, for the question of whether one may leave.
pub struct PoolView {
    /// Arena keys of the hosts, in the order of `members`.
    pub keys: Vec<HostKey>,
    /// The hosts' properties that the budget depends on.
    pub members: Vec<Member>,
    /// The budget from the pool's configuration.
    pub budget: Budget,
}

impl PoolView {
    /// Counts the hosts that are draining, out or returning.
    pub fn count_out(&self) -> usize {
        self.members.iter().filter(|m| m.out).count()
    }

    /// Checks whether a host may leave; returns `None` if it is not in the pool.
    pub fn may_leave(&self, host: HostKey) -> Option<Verdict> {
        let at = self.keys.iter().position(|k| *k == host)?;
        Some(self.budget.may_leave(&self.members, at))
    }
}

impl State {
    /// Returns a pool's hosts and budget. A pool without a configuration keeps no hosts back.
    pub fn pool_view(&self, pool: PoolKey) -> PoolView {
        let p = &self.pools[pool];
        let budget = match self.config.pools.get(&p.name) {
            Some(c) => Budget {
                serving_min: c.serving_min,
                reserve: c.reserve,
            },
            None => Budget {
                serving_min: 0,
                reserve: super::config::Reserve::None,
            },
        };
        let mut racks: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut members = Vec::with_capacity(p.members.len());
        for key in &p.members {
            let h = &self.hosts[*key];
            let next = racks.len();
            members.push(Member {
                rack: *racks.entry(h.hall_and_rack()).or_insert(next),
                serving: h.is_serving(),
                out: h.row.state != HostState::Serving,
            });
        }
        PoolView {
            keys: p.members.clone(),
            members,
            budget,
        }
    }

    /// Returns the oldest running wave over a pool.
    fn running_wave(&self, pool: &str) -> Option<String> {
        self.waves
            .iter()
            .filter(|(_, (_, w))| w.state == WaveState::Running)
            .filter(|(_, (_, w))| w.pool == pool || w.pool == EVERY_POOL)
            .min_by_key(|(id, (_, w))| (w.started_ms, (*id).clone()))
            .map(|(id, _)| id.clone())
    }

    /// Whether a running wave still has to take the host.
    pub(super) fn awaits_wave(&self, host: HostKey) -> bool {
        let h = &self.hosts[host];
        let pool = h.row.pool.as_deref().unwrap_or(EVERY_POOL);
        self.running_wave(pool)
            .is_some_and(|w| h.row.wave.as_ref() != Some(&w))
    }

    fn is_window_open(&self, pool: &str, wave: &str, now: Now) -> bool {
        let own = &self.waves[wave].1.windows;
        let pools = self.config.pools.get(pool).map(|p| p.windows.as_slice());
        any_open(own, now.wall_ms) && any_open(pools.unwrap_or_default(), now.wall_ms)
    }

    /// Grants the drain of one more host of a pool if the budget, the windows and the pace allow it.
    ///
    /// A pool has one grant at a time: each is conditional on the pool's row, and the next is decided on a view that
    /// includes it.
    pub(super) fn grant_wave_drain(&mut self, pool: PoolKey, now: Now, out: &mut Vec<Effect>) {
        let name = self.pools[pool].name.clone();
        let Some(wave) = self.running_wave(&name) else {
            return;
        };
        if !self.is_window_open(&name, &wave, now) {
            self.report_wave_held(pool, &wave, "the maintenance window is closed", now, out);
            return;
        }
        let view = self.pool_view(pool);
        let waiting: Vec<HostKey> = view
            .keys
            .iter()
            .copied()
            .filter(|k| self.hosts[*k].row.state == HostState::Serving && self.awaits_wave(*k))
            .filter(|k| self.hosts[*k].is_live() && self.may_change(&self.hosts[*k]))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let pace = self.config.pools.get(&name).map_or(100, |p| p.pace_percent);
        let out_max = pace_limit(view.budget.max_unavailable(&view.members), pace);
        if view.count_out() >= out_max {
            return;
        }
        let Some(next) = self.choose_next_host(&view, &waiting) else {
            let why = "the budget allows no host to leave";
            self.report_wave_held(pool, &wave, why, now, out);
            return;
        };
        let grant = Grant {
            host: next,
            purpose: Purpose::Maintenance,
            why: format!("wave {wave}"),
            wave: Some(wave),
        };
        self.grant_drain(grant, CommitPurpose::Decision, now, out);
    }

    /// Returns the host to drain next: the one after whose leaving the fewest hosts must be reserved for a failure,
    /// then the one with the fewest jobs, then one in the rack with the most hosts out, then the first by id.
    fn choose_next_host(&self, view: &PoolView, waiting: &[HostKey]) -> Option<HostKey> {
        waiting
            .iter()
            .copied()
            .filter_map(|k| view.may_leave(k).map(|v| (k, v)))
            .filter(|(_, v)| v.allowed)
            .min_by_key(|(k, v)| {
                let h = &self.hosts[*k];
                let rack_out = self.count_rack_out(view, *k);
                (
                    v.reserved,
                    self.jobs_on(&h.id).len(),
                    usize::MAX - rack_out,
                    h.id.clone(),
                )
            })
            .map(|(k, _)| k)
    }

    fn count_rack_out(&self, view: &PoolView, host: HostKey) -> usize {
        let Some(at) = view.keys.iter().position(|k| *k == host) else {
            return 0;
        };
        let rack = view.members[at].rack;
        view.members
            .iter()
            .filter(|m| m.out && m.rack == rack)
            .count()
    }

    fn report_wave_held(
        &mut self,
        pool: PoolKey,
        wave: &str,
        why: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let p = &mut self.pools[pool];
        if p.held_logged_ms.is_some_and(|t| t + HELD_LOG_MS > now.ms) {
            return;
        }
        p.held_logged_ms = Some(now.ms);
        let why = format!("{wave}: {why}");
        out.push(Effect::Log(Decision::new(
            Code::WaveHeld,
            Subject::Pool,
            &p.name,
            why,
        )));
    }

    /// Grants the drains of free hosts for a wave over every host. No budget applies to them. Free hosts that take
    /// requests because no pool for one of their services has hosts yet are not drained.
    pub(super) fn grant_free_host_drains(
        &mut self,
        alive: &[&str],
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(wave) = self.running_wave(EVERY_POOL) else {
            return;
        };
        if !self.is_window_open("", &wave, now) {
            return;
        }
        let free: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.row.pool.is_none() && h.row.state == HostState::Free)
            .filter(|(_, h)| h.is_live() && self.may_change(h) && self.owns(&h.id, alive))
            .filter(|(_, h)| h.row.wave.as_ref() != Some(&wave))
            .filter(|(_, h)| !self.serves_unassigned(h))
            .map(|(k, _)| k)
            .collect();
        for host in free {
            let grant = Grant {
                host,
                purpose: Purpose::Maintenance,
                wave: Some(wave.clone()),
                why: format!("wave {wave}, free"),
            };
            self.grant_drain(grant, CommitPurpose::Decision, now, out);
        }
    }

    /// Marks the waves as done that have no hosts left to take or to return.
    pub(super) fn close_waves(&mut self, alive: &[&str], now: Now, out: &mut Vec<Effect>) {
        let done: Vec<String> = self
            .waves
            .iter()
            .filter(|(id, (_, w))| w.state == WaveState::Running && self.owns(id, alive))
            .filter(|(id, _)| self.is_unlocked(&wave_key(id)) && self.count_hosts_left(id) == 0)
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            let (version, mut row) = self.waves[&id].clone();
            row.state = WaveState::Done;
            row.ended_ms = now.wall_ms;
            let took_ms = now.wall_ms.saturating_sub(row.started_ms);
            let line = Decision::new(
                Code::WaveDone,
                Subject::Wave,
                &id,
                "every live host has been through the wave",
            )
            .with("took_ms", took_ms);
            let put = Put::new(wave_key(&id), expect(version), &row);
            self.commit(vec![], vec![put], CommitPurpose::Decision(line), out);
        }
    }

    /// Counts the hosts that a wave still has to take, or has taken and not yet returned. A host that is not live and
    /// was never taken does not count.
    pub fn count_hosts_left(&self, id: &str) -> usize {
        let Some((_, wave)) = self.waves.get(id) else {
            return 0;
        };
        self.hosts
            .values()
            .filter(|h| match &h.row.pool {
                Some(p) => wave.pool == EVERY_POOL || *p == wave.pool,
                None => wave.pool == EVERY_POOL,
            })
            .filter(|h| {
                let had_turn = h.row.wave.as_deref() == Some(id);
                let at_rest = matches!(h.row.state, HostState::Serving | HostState::Free);
                let untaken = !had_turn && h.is_live();
                let under_way = had_turn && !at_rest && h.row.purpose == Purpose::Maintenance;
                untaken || under_way
            })
            .count()
    }
}

/// Returns how many hosts of a pool may be out at once at this pace, at least one so that a wave makes progress.
pub fn pace_limit(max_unavailable: usize, pace_percent: u64) -> usize {
    let pace = usize::try_from(pace_percent).unwrap_or(100);
    (max_unavailable * pace / 100).max(1)
}
