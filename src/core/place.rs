//! Placement: which host belongs to which pool, and which host runs which job.
//!
//! The reducer assigns hosts to the pools that this entry owns, and `job` chooses the hosts of their waiting jobs.

use super::config::Class;
use super::drain::Grant;
use super::members::expect;
use super::reduce::{Effect, Purpose as CommitPurpose};
use super::rows::{pool_key, HostState, JobState, Purpose, WaveState};
use super::state::{Host, HostKey, JobKey, PoolKey, State};
use super::wave::EVERY_POOL;
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::HostStatus;

/// How long jobs avoid a host on which several of them failed.
const FAILING_MS: Millis = 600_000;

/// Waiting time after which a job counts as one class higher, and may reserve a host on which it does not fit yet.
const CLASS_BOOST_MS: Millis = 600_000;

/// Number of different jobs that must fail on a host, with no success between, before jobs avoid it.
pub(super) const FAILING_JOBS: usize = 3;

/// Batch jobs leave one part in `BATCH_RESERVE_DIVISOR` of a host's cores free for the other classes.
const BATCH_RESERVE_DIVISOR: u32 = 8;

impl State {
    /// Assigns a free host to a pool that has too few, or releases a host of a pool that has too many.
    ///
    /// Pools share the free hosts as spares: a pool whose budget lets no host leave borrows a free host for its wave,
    /// and releases one afterwards.
    pub(super) fn assign_hosts(&mut self, pool: PoolKey, now: Now, out: &mut Vec<Effect>) {
        let name = self.pools[pool].name.clone();
        if !self.is_unlocked(&pool_key(&name)) {
            return;
        }
        let wanted = self.count_wanted_hosts(pool);
        let have = self.count_lasting_hosts(pool, now);
        if have < wanted {
            if let Some(host) = self.choose_free_host(pool) {
                self.commit_assignment(host, pool, have, wanted, now, out);
            }
        } else if have > wanted {
            self.release_one_host(pool, now, out);
        }
    }

    fn count_wanted_hosts(&self, pool: PoolKey) -> usize {
        let p = &self.pools[pool];
        let Some(config) = self.config.pools.get(&p.name) else {
            return 0;
        };
        let view = self.pool_view(pool);
        let stays = |k: &&HostKey| !self.hosts[**k].is_moving_out();
        let borrowed = view.keys.iter().filter(stays).count() > config.hosts;
        let stuck = view.budget.max_unavailable(&view.members) == 0;
        let in_wave = self.in_wave(&p.name) && p.members.iter().any(|k| self.awaits_wave(*k));
        let out = |k: &HostKey| self.hosts[*k].row.state != HostState::Serving;
        let some_out = view.keys.iter().filter(stays).any(out);
        let borrow = (in_wave && (stuck || borrowed)) || (borrowed && some_out);
        config.hosts + usize::from(borrow)
    }

    fn in_wave(&self, pool: &str) -> bool {
        self.waves
            .values()
            .any(|(_, w)| w.state == WaveState::Running && (w.pool == pool || w.pool == EVERY_POOL))
    }

    /// Counts the hosts that stay in a pool, without those that have been gone long enough to be replaced.
    fn count_lasting_hosts(&self, pool: PoolKey, now: Now) -> usize {
        let lasts = |h: &Host| match h.gone_since_ms {
            Some(t) => now.ms < t + self.tuning.replace_ms,
            None => true,
        };
        self.pools[pool]
            .members
            .iter()
            .map(|k| &self.hosts[*k])
            .filter(|h| lasts(h) && !h.is_moving_out())
            .count()
    }

    /// Returns the best free host for a pool among those that run all of the pool's services. A host that no running
    /// wave still has to take is preferred, then one in the rack and in the hall with the fewest hosts of the pool,
    /// then one with the fewest cores.
    fn choose_free_host(&self, pool: PoolKey) -> Option<HostKey> {
        let p = &self.pools[pool];
        let services = &self.config.pools.get(&p.name)?.services;
        let suits = |h: &Host| {
            let info = h.info.as_ref();
            services
                .iter()
                .all(|s| info.is_some_and(|i| i.backends.iter().any(|b| b.service == *s)))
        };
        let in_rack = |h: &Host| {
            let same = |k: &&HostKey| self.hosts[**k].hall_and_rack() == h.hall_and_rack();
            p.members.iter().filter(same).count()
        };
        let in_hall = |h: &Host| {
            let same = |k: &&HostKey| self.hosts[**k].hall_and_rack().0 == h.hall_and_rack().0;
            p.members.iter().filter(same).count()
        };
        self.host_ids
            .values()
            .copied()
            .filter(|k| {
                let h = &self.hosts[*k];
                let free = h.row.pool.is_none() && h.row.state == HostState::Free;
                free && h.is_live() && suits(h) && self.may_change(h)
            })
            .min_by_key(|k| {
                let h = &self.hosts[*k];
                let cores = h.info.as_ref().map_or(0, |i| i.cores);
                (
                    self.awaits_wave(*k),
                    in_rack(h),
                    in_hall(h),
                    cores,
                    h.id.clone(),
                )
            })
    }

    fn commit_assignment(
        &mut self,
        host: HostKey,
        pool: PoolKey,
        have: usize,
        wanted: usize,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let h = &self.hosts[host];
        let name = self.pools[pool].name.clone();
        let why = format!("pool {name} has {have} of {wanted}");
        let mut row = self.next_row(h, now, &format!("serving: {why}"));
        row.pool = Some(name);
        row.state = HostState::Serving;
        let line = Decision::new(Code::HostAssigned, Subject::Host, &h.id, why)
            .with("have", have as u64)
            .with("wanted", wanted as u64);
        let puts = vec![
            self.put_host(h, &row),
            self.put_pool(pool, |p| p.moves += 1),
        ];
        let checks = self.config_check();
        self.commit(checks, puts, CommitPurpose::Decision(line), out);
    }

    fn release_one_host(&mut self, pool: PoolKey, now: Now, out: &mut Vec<Effect>) {
        let view = self.pool_view(pool);
        let candidate = view
            .keys
            .iter()
            .copied()
            .filter(|k| {
                let h = &self.hosts[*k];
                let may_drain = h.row.state == HostState::Serving && self.may_change(h);
                may_drain && view.may_leave(*k).is_some_and(|v| v.allowed)
            })
            .min_by_key(|k| {
                let h = &self.hosts[*k];
                (
                    h.is_live(),
                    self.jobs_on(&h.id).len(),
                    std::cmp::Reverse(h.id.clone()),
                )
            });
        if let Some(host) = candidate {
            let grant = Grant {
                host,
                purpose: Purpose::Release,
                wave: None,
                why: "its pool has more hosts than it asks for".to_string(),
            };
            self.grant_drain(grant, CommitPurpose::Decision, now, out);
        }
    }

    /// Whether a free host takes requests because no pool for one of its services has any host yet.
    pub(super) fn serves_unassigned(&self, host: &Host) -> bool {
        let Some(info) = &host.info else {
            return false;
        };
        info.backends.iter().any(|b| {
            !self.pools.values().any(|p| {
                let config = self.config.pools.get(&p.name);
                let serves = config.is_some_and(|c| c.services.contains(&b.service));
                serves && !p.members.is_empty()
            })
        })
    }

    /// Whether a job fits on some empty host of its pool, or on any empty host if the pool has none yet.
    pub(super) fn can_ever_fit(&self, pool: &str, cores: u32, memory_mb: u64) -> bool {
        let members = self
            .pool_names
            .get(pool)
            .map(|k| self.pools[*k].members.clone())
            .unwrap_or_default();
        let fits = |h: &Host| {
            let info = h.info.as_ref();
            info.is_some_and(|i| i.cores >= cores && i.memory_mb >= memory_mb)
        };
        if members.is_empty() {
            return self.hosts.values().any(fits);
        }
        members.iter().any(|k| fits(&self.hosts[*k]))
    }

    /// Returns the host for a job's next attempt: a suitable host with enough free cores and memory that is not in
    /// `reserved`. A host that no running wave still has to take is preferred, then the one with the fewest free
    /// cores, which leaves the emptier hosts to large jobs.
    pub(super) fn choose_host(
        &self,
        job: JobKey,
        reserved: &[HostKey],
        now: Now,
    ) -> Option<HostKey> {
        let spec = &self.jobs[job].row.spec;
        self.suitable_hosts(job, now)
            .filter(|k| !reserved.contains(k))
            .filter_map(|k| {
                self.free_capacity(k, spec.class, spec.cores)
                    .map(|free| (k, free))
            })
            .filter(|(_, (cores, memory_mb))| *cores >= spec.cores && *memory_mb >= spec.memory_mb)
            .min_by_key(|(k, (cores, _))| (self.awaits_wave(*k), *cores, self.hosts[*k].id.clone()))
            .map(|(k, _)| k)
    }

    /// Returns the serving hosts of a job's pool that jobs do not avoid. Hosts on which this job has failed are
    /// included only if there is no other.
    fn suitable_hosts(&self, job: JobKey, now: Now) -> impl Iterator<Item = HostKey> + '_ {
        let row = &self.jobs[job].row;
        let pool = self.pool_names.get(&row.spec.pool);
        let members = pool.map(|p| self.pools[*p].members.as_slice());
        let members = members.unwrap_or_default();
        let usable = move |k: &HostKey| {
            let h = &self.hosts[*k];
            h.is_serving() && !self.is_failing(h, now)
        };
        let untried = move |k: &HostKey| !row.failed_on.contains(&self.hosts[*k].id);
        let any_untried = members.iter().any(|k| usable(k) && untried(k));
        let suitable = move |k: &HostKey| usable(k) && (untried(k) || !any_untried);
        members.iter().copied().filter(suitable)
    }

    /// Returns the host to reserve for a job that has waited for `CLASS_BOOST_MS` and fits nowhere now: the suitable
    /// host with the fewest jobs on which it would fit if the host were empty. Without this, smaller jobs could take
    /// the free capacity ahead of that job for ever.
    pub(super) fn host_to_reserve(
        &self,
        job: JobKey,
        reserved: &[HostKey],
        now: Now,
    ) -> Option<HostKey> {
        let row = &self.jobs[job].row;
        if now.wall_ms < row.submitted_ms + CLASS_BOOST_MS {
            return None;
        }
        let fits = |k: &HostKey| {
            let info = self.hosts[*k].info.as_ref();
            info.is_some_and(|i| i.cores >= row.spec.cores && i.memory_mb >= row.spec.memory_mb)
        };
        self.suitable_hosts(job, now)
            .filter(|k| !reserved.contains(k) && fits(k))
            .min_by_key(|k| {
                (
                    self.jobs_on(&self.hosts[*k].id).len(),
                    self.hosts[*k].id.clone(),
                )
            })
    }

    /// Whether jobs avoid a host because several different ones failed on it in a row.
    pub fn is_failing(&self, host: &Host, now: Now) -> bool {
        host.failing_since_ms
            .is_some_and(|t| now.ms < t + FAILING_MS)
    }

    /// Returns the cores and the memory in MB that a job of `class` with `cores_needed` may still take on a host, or
    /// `None` if the host is not live.
    fn free_capacity(&self, host: HostKey, class: Class, cores_needed: u32) -> Option<(u32, u64)> {
        let h = &self.hosts[host];
        let info = h.info.as_ref().filter(|i| i.status == HostStatus::Live)?;
        let (mut cores, mut memory_mb) = (info.cores, info.memory_mb);
        let mut others = 0;
        let placing = self.placing.iter().filter(|(_, at)| **at == h.id);
        let coming = placing.map(|(job, _)| *job);
        for job in self.jobs_on(&h.id).iter().copied().chain(coming) {
            let spec = &self.jobs[job].row.spec;
            cores = cores.saturating_sub(spec.cores);
            memory_mb = memory_mb.saturating_sub(spec.memory_mb);
            others += 1;
        }
        // A batch job that needs more than the batch share may have an empty host, since it could never run otherwise.
        let alone = others == 0 && cores_needed > info.cores - info.cores / BATCH_RESERVE_DIVISOR;
        if class == Class::Batch && !alone {
            cores = cores.saturating_sub(info.cores / BATCH_RESERVE_DIVISOR);
        }
        Some((cores, memory_mb))
    }

    /// Returns the waiting jobs of a pool in the order in which they are placed: by class, then by the cores that their
    /// account has in use, then by age. Every `CLASS_BOOST_MS` of waiting raises a job by one class, so that no job
    /// starves.
    pub(super) fn sorted_waiting_jobs(&self, pool: &str, now: Now) -> Vec<JobKey> {
        let mut cores_in_use: std::collections::HashMap<&str, u32> =
            std::collections::HashMap::new();
        for j in self
            .jobs
            .values()
            .filter(|j| j.row.state == JobState::Placed)
        {
            *cores_in_use.entry(&j.row.account).or_default() += j.row.spec.cores;
        }
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.row.state == JobState::Waiting && j.row.spec.pool == pool)
            .map(|(k, j)| {
                let waited_ms = now.wall_ms.saturating_sub(j.row.submitted_ms);
                let boosted_class =
                    (j.row.spec.class as u64).saturating_sub(waited_ms / CLASS_BOOST_MS);
                let account_cores = cores_in_use
                    .get(j.row.account.as_str())
                    .copied()
                    .unwrap_or(0);
                (
                    boosted_class,
                    account_cores,
                    j.row.submitted_ms,
                    j.id.clone(),
                    k,
                )
            })
            .collect();
        waiting.sort();
        waiting.into_iter().map(|w| w.4).collect()
    }

    /// Returns a write of a job's row that is conditional on the known version.
    pub(super) fn put_job(&self, job: JobKey, row: &super::rows::JobRow) -> crate::port::Put {
        let j = &self.jobs[job];
        crate::port::Put::new(super::rows::job_key(&j.id), expect(j.version), row)
    }
}
