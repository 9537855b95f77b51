//! What client accounts have in a pool: the books' side of quotas and weights.

use super::fairness::Meter;
use super::keys::{AccountKey, JobKey, TaskKey};
use super::pool_state::PoolState;
use crate::clock::Millis;
use crate::port::fleet::{AccountConfig, Capacity};

/// What a client account has in a pool.
#[derive(Clone, Debug, Default)]
pub struct AccountUse {
    /// Its name.
    pub name: String,
    /// What its tasks take that run or may run.
    pub used: Capacity,
    /// What those ask for that wait for a place.
    pub waiting: Capacity,
    /// What may be taken at most; nothing for no limit.
    pub limit: Option<Capacity>,
    /// What could be granted here at most, beside what other pools have.
    pub ceiling: Capacity,
    /// Jobs a second that it was promised; 0 for no bound.
    pub weight: u64,
    /// What it sent of late.
    pub meter: Meter,
    /// The newest version of the configuration that one of its jobs was accepted by.
    pub named_by: u64,
}

impl PoolState {
    /// The key of an account, which is new where it had no job before; what has a quota, or is not configured, may take nothing
    /// yet. `named_by` is the version of the configuration that a job of it was accepted by.
    pub fn account_key(
        &mut self,
        name: &str,
        config: Option<&AccountConfig>,
        named_by: u64,
    ) -> AccountKey {
        let has_quota = config.is_none_or(|a| a.quota != Capacity::default());
        if let Some(key) = self.account_keys.get(name).copied() {
            let account = self.account_mut(key);
            account.named_by = account.named_by.max(named_by);
            self.wants_quota |= config.is_none();
            return key;
        }
        let key = AccountKey(self.accounts.len() as u16);
        self.accounts.push(AccountUse {
            name: name.to_string(),
            limit: has_quota.then(Capacity::default),
            weight: config.map_or(0, |a| a.weight),
            named_by,
            ..AccountUse::default()
        });
        self.account_keys.insert(name.to_string(), key);
        self.wants_quota |= has_quota;
        key
    }

    /// The account that a task counts for, and what.
    pub fn charge(&self, key: TaskKey) -> Option<(AccountKey, Capacity)> {
        let account = self.jobs.get(key.job)?.account?;
        Some((account, self.step_spec(key)?.charge()))
    }

    /// Whether so many tasks like this one may start within their account's limit.
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

    /// Counts a job that came now against its account's weight.
    pub fn meter(&mut self, key: JobKey, now_ms: Millis) {
        let Some(account) = self.jobs.get(key).and_then(|job| job.account) else {
            return;
        };
        let account = self.account_mut(account);
        let is_within = account.weight == 0 || account.meter.takes(account.weight, now_ms);
        self.jobs[key].is_excess = !is_within;
    }

    /// Whether what an account has and wants here is more than it could be granted.
    pub fn is_beyond_quota(&self, account: AccountKey) -> bool {
        let account = &self.accounts[usize::from(account.0)];
        let mut sum = account.used;
        sum.add(account.waiting);
        account.limit.is_some() && !account.ceiling.contains(sum)
    }

    pub(super) fn account_mut(&mut self, key: AccountKey) -> &mut AccountUse {
        &mut self.accounts[usize::from(key.0)]
    }

    /// Counts a waiting task into what its account waits for, or out of it.
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
