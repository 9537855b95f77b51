//! Keeps the worker instances of a pool's state, by id and by host.
//!
//! A worker may restart under the same id. Its runs, the numbers of its run ends and their acknowledgements belong to
//! one instance only, so each instance is a worker of its own here, identified by its id and its start time.

use std::collections::HashMap;

use super::keys::WorkerKey;
use super::limits::DROPPED_KEPT_MS;
use super::pool_state::PoolState;
use super::worker::Worker;
use crate::clock::Millis;

impl PoolState {
    /// Adds a worker instance.
    pub fn add_worker(&mut self, mut worker: Worker) -> WorkerKey {
        worker.is_closing |= self.closing_hosts.contains(&worker.info.host);
        worker.is_evacuated = self.evacuated_halls.contains(&worker.info.hall);
        worker.may_leave |= self.hosts_that_may_leave.contains(&worker.info.host);
        let (id, host) = (worker.info.id.clone(), worker.info.host.clone());
        if let Some(restarts) = self.restarts(&id) {
            worker.restarts = restarts;
            worker.is_unconfirmed = true;
        }
        let key = self.workers.insert(worker);
        self.workers_by_id.entry(id).or_default().push(key);
        // Workers that name no host don't share one. When they were treated as instances of one host, each report ended
        // all other workers.
        if !host.is_empty() {
            self.workers_by_host.entry(host).or_default().push(key);
        }
        self.update_free_index(key);
        key
    }

    /// Returns how often an id has restarted, or `None` if this owner has not met the id.
    pub fn restarts(&self, id: &str) -> Option<u32> {
        let met = self.instances_of(id).filter(|(_, w)| w.has_been_listed());
        let dropped = self.dropped_ids.get(id).map(|(restarts, _)| *restarts);
        met.map(|(_, w)| w.restarts).chain(dropped).max()
    }

    /// Removes a worker instance.
    pub fn remove_worker(&mut self, key: WorkerKey, now_ms: Millis) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.dropped_ids
            .retain(|_, (_, at_ms)| now_ms < *at_ms + DROPPED_KEPT_MS);
        if worker.has_been_listed() {
            let id = worker.info.id.clone();
            let dropped = self.dropped_ids.entry(id).or_default();
            *dropped = (dropped.0.max(worker.restarts), now_ms);
        }
        self.recording.remove(&key);
        self.free_index.remove(key);
        drop_instance(&mut self.workers_by_id, &worker.info.id, key);
        drop_instance(&mut self.workers_by_host, &worker.info.host, key);
    }

    /// Updates the index of free capacity for a worker.
    pub fn update_free_index(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get(key) {
            self.free_index.update(key, worker);
        }
    }

    /// Returns the instances of an id, including those that have ended and are not removed yet.
    pub fn instances_of(&self, id: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.workers_by_id.get(id).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.workers.get(*key)?)))
    }

    /// Returns the instance of an id that started at that time. If one of the two times is unknown, the id alone
    /// decides.
    pub fn find_instance(&self, id: &str, born_wall_ms: Option<Millis>) -> Option<WorkerKey> {
        let same = |w: &Worker| w.info.born_wall_ms == born_wall_ms;
        let instances = || self.instances_of(id);
        let exact = instances().find(|(_, w)| same(w));
        let answering = instances().find(|(_, w)| w.is_answering && w.has_start_time(born_wall_ms));
        let found = exact.or(answering);
        let found = found.or_else(|| instances().find(|(_, w)| w.has_start_time(born_wall_ms)));
        found.map(|(key, _)| key)
    }

    /// Returns the other instances of an instance's id or host.
    pub fn sibling_instances(&self, key: WorkerKey) -> Vec<WorkerKey> {
        let Some(worker) = self.workers.get(key) else {
            return Vec::new();
        };
        let on_host = self.instances_on(&worker.info.host);
        let of_id = self.instances_of(&worker.info.id);
        let siblings = on_host.chain(of_id).map(|(other, _)| other);
        let mut others: Vec<WorkerKey> = siblings.filter(|other| *other != key).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Returns the instances on a host, including those that have ended and are not removed yet.
    pub fn instances_on(&self, host: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.workers_by_host.get(host).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.workers.get(*key)?)))
    }

    /// Returns the worker on a host: the listed instance that answers, else any listed one.
    pub fn worker_on(&self, host: &str) -> Option<WorkerKey> {
        let on_host = || self.instances_on(host).filter(|(_, w)| w.is_listed);
        let answering = on_host().find(|(_, w)| w.is_answering);
        answering.or_else(|| on_host().next()).map(|(key, _)| key)
    }
}

fn drop_instance(instances: &mut HashMap<String, Vec<WorkerKey>>, name: &str, key: WorkerKey) {
    let Some(named) = instances.get_mut(name) else {
        return;
    };
    named.retain(|instance| *instance != key);
    if named.is_empty() {
        instances.remove(name);
    }
}
