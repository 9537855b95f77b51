//! Tracks what client accounts use, wait for and may use in a pool: the part of quotas and weights that is kept in
//! the pool state.
//!
//! Placement asks it whether a task is within its account's limit; [`super::quota`] sets the limits.

use super::fairness::Meter;
use super::keys::{AccountKey, JobKey, TaskKey};
use super::pool_state::PoolState;
use crate::clock::{Millis, Now};
use crate::port::fleet::{AccountConfig, Capacity};

/// What a client account uses and may use in a pool.
#[derive(Clone, Debug, Default)]
pub struct AccountUse {
    /// The account's name.
    pub name: String,
    /// Resources of its tasks that run or may run.
    pub used: Capacity,
    /// Resources that its waiting tasks ask for.
    pub waiting: Capacity,
    /// The most that its tasks may use now; `None` for no limit.
    pub limit: Option<Capacity>,
    /// The most that could be granted to this pool: the quota less what other pools are granted.
    pub ceiling: Capacity,
    /// Jobs per second that the account was promised; 0 for no bound.
    pub weight: u64,
    /// Counts its recent jobs against its weight.
    pub meter: Meter,
    /// The newest version of the configuration that accepted one of its jobs.
    pub config_version: u64,
}

impl PoolState {
    /// Returns the key of an account and adds the account if it had no job before. An account that has a quota, or
    /// is not configured, may use nothing at first. `config_version` is the version of the configuration that accepted
    /// the account's job.
    pub fn account_key(
        &mut self,
        name: &str,
        config: Option<&AccountConfig>,
        config_version: u64,
    ) -> AccountKey {
        let has_quota = config.is_none_or(|a| a.quota != Capacity::default());
        if let Some(key) = self.account_keys.get(name).copied() {
            let account = self.account_mut(key);
            account.config_version = account.config_version.max(config_version);
            self.wants_quota |= config.is_none();
            return key;
        }
        let key = AccountKey(self.accounts.len() as u16);
        self.accounts.push(AccountUse {
            name: name.to_string(),
            limit: has_quota.then(Capacity::default),
            weight: config.map_or(0, |a| a.weight),
            config_version,
            ..AccountUse::default()
        });
        self.account_keys.insert(name.to_string(), key);
        self.wants_quota |= has_quota;
        key
    }

    /// Returns the account that a task counts for and the resources that it is charged with.
    pub fn charge(&self, key: TaskKey) -> Option<(AccountKey, Capacity)> {
        let account = self.jobs.get(key.job)?.account?;
        Some((account, self.step_spec(key)?.charge()))
    }

    /// Returns whether `count` tasks like this one may start within their account's limit.
    pub fn is_within_quota(&self, key: TaskKey, count: u64) -> bool {
        let Some((account, charge)) = self.charge(key) else {
            return true;
        };
        let account = &self.accounts[usize::from(account.0)];
        let Some(limit) = account.limit else {
            return true;
        };
        let mut sum = account.used;
        sum.add(charge.times(count));
        limit.contains(sum)
    }

    /// Counts a newly arrived job against its account's weight.
    pub fn meter_job(&mut self, key: JobKey, now_ms: Millis) {
        let Some(account) = self.jobs.get(key).and_then(|job| job.account) else {
            return;
        };
        let account = self.account_mut(account);
        let is_within = account.weight == 0 || account.meter.try_take(account.weight, now_ms);
        self.jobs[key].is_excess = !is_within;
    }

    /// Counts the jobs of a pool that is being loaded against their accounts' weights in the order of their acceptance, as
    /// its former owner did when they arrived.
    pub(super) fn meter_loaded_jobs(&mut self, now: Now) {
        let of_accounts = self.jobs.iter().filter(|(_, job)| job.account.is_some());
        let mut by_age: Vec<(Millis, JobKey)> = of_accounts
            .map(|(key, job)| (job.spec.accepted_wall_ms, key))
            .collect();
        by_age.sort_unstable();
        for (accepted_wall_ms, key) in by_age {
            self.meter_job(key, accepted_wall_ms);
        }
        for account in &mut self.accounts {
            account.meter.rebase(now.wall_ms, now.ms);
        }
    }

    /// Returns whether the account uses and waits for more than this pool could be granted.
    pub fn is_beyond_quota(&self, account: AccountKey) -> bool {
        let account = &self.accounts[usize::from(account.0)];
        let mut sum = account.used;
        sum.add(account.waiting);
        account.limit.is_some() && !account.ceiling.contains(sum)
    }

    pub(super) fn account_mut(&mut self, key: AccountKey) -> &mut AccountUse {
        &mut self.accounts[usize::from(key.0)]
    }

    /// Adds a task to what its account waits for, or subtracts it.
    pub(super) fn note_waiting(&mut self, key: TaskKey, waits: bool) {
        let Some((account, charge)) = self.charge(key) else {
            return;
        };
        let is_within = self.is_within_quota(key, 1);
        let account = self.account_mut(account);
        match waits {
            true => account.waiting.add(charge),
            false => account.waiting.sub(charge),
        }
        self.wants_quota |= waits && !is_within;
    }
}
