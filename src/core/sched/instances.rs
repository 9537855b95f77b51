//! The workers in an owner's books: each life by its id and its host.
//!
//! A worker may start again under the id that it had. What it holds, counts and has been told ends with its life, so each
//! life is a worker of its own here: the id together with the time of its start names it.

use std::collections::HashMap;

use super::keys::WorkerKey;
use super::limits::DROPPED_KEPT_MS;
use super::pool_state::PoolState;
use super::worker::Worker;
use crate::clock::Millis;

impl PoolState {
    /// Adds a worker's life.
    pub fn add_worker(&mut self, mut worker: Worker) -> WorkerKey {
        worker.is_closing |= self.closing.contains(&worker.fact.host);
        worker.is_going |= self.going.contains(&worker.fact.host);
        let (id, host) = (worker.fact.id.clone(), worker.fact.host.clone());
        if let Some(restarts) = self.restarts(&id) {
            worker.restarts = restarts;
            worker.is_unproven = true;
        }
        let key = self.workers.insert(worker);
        self.workers_by_id.entry(id).or_default().push(key);
        // Workers that name no host share none: taken for lives of one, each account ended all others.
        if !host.is_empty() {
            self.by_host.entry(host).or_default().push(key);
        }
        self.update_free_index(key);
        key
    }

    /// How often an id has begun anew, if these books have met it.
    pub fn restarts(&self, id: &str) -> Option<u32> {
        let met = self.instances_of(id).filter(|(_, w)| w.is_known());
        let dropped = self.dropped.get(id).map(|(restarts, _)| *restarts);
        met.map(|(_, w)| w.restarts).chain(dropped).max()
    }

    /// Drops a worker's life.
    pub fn remove_worker(&mut self, key: WorkerKey, now_ms: Millis) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.dropped
            .retain(|_, (restarts, at_ms)| *restarts > 0 || now_ms < *at_ms + DROPPED_KEPT_MS);
        if worker.is_known() {
            let id = worker.fact.id.clone();
            let dropped = self.dropped.entry(id).or_default();
            *dropped = (dropped.0.max(worker.restarts), now_ms);
        }
        self.recording.remove(&key);
        self.free_index.remove(key);
        drop_instance(&mut self.workers_by_id, &worker.fact.id, key);
        drop_instance(&mut self.by_host, &worker.fact.host, key);
    }

    /// Takes note of what a worker has free now.
    pub fn update_free_index(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get(key) {
            self.free_index.note(key, worker);
        }
    }

    /// Lives of a worker's id, those that are over and not forgotten included.
    pub fn instances_of(&self, id: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.workers_by_id.get(id).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.workers.get(*key)?)))
    }

    /// The life of an id that began at that time. Where one of the two tells no time, the id alone names it.
    pub fn find_instance(&self, id: &str, born_wall_ms: Option<Millis>) -> Option<WorkerKey> {
        let same = |w: &Worker| w.fact.born_wall_ms == born_wall_ms;
        let lives = || self.instances_of(id);
        let exact = lives().find(|(_, w)| same(w));
        let answering = lives().find(|(_, w)| w.answers && w.has_start_time(born_wall_ms));
        let found = exact.or(answering);
        let found = found.or_else(|| lives().find(|(_, w)| w.has_start_time(born_wall_ms)));
        found.map(|(key, _)| key)
    }

    /// Other lives of a life's id or host.
    pub fn sibling_instances(&self, key: WorkerKey) -> Vec<WorkerKey> {
        let Some(worker) = self.workers.get(key) else {
            return Vec::new();
        };
        let on_host = self.instances_on(&worker.fact.host);
        let of_id = self.instances_of(&worker.fact.id);
        let beside = on_host.chain(of_id).map(|(other, _)| other);
        let mut others: Vec<WorkerKey> = beside.filter(|other| *other != key).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Lives on a host, ended ones that are not forgotten included.
    pub fn instances_on(&self, host: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.by_host.get(host).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.workers.get(*key)?)))
    }

    /// The worker on a host: the life that answers, else one that is listed.
    pub fn worker_on(&self, host: &str) -> Option<WorkerKey> {
        let on_host = || self.instances_on(host).filter(|(_, w)| w.is_listed);
        let answering = on_host().find(|(_, w)| w.answers);
        answering.or_else(|| on_host().next()).map(|(key, _)| key)
    }
}

fn drop_instance(lives: &mut HashMap<String, Vec<WorkerKey>>, name: &str, key: WorkerKey) {
    let Some(named) = lives.get_mut(name) else {
        return;
    };
    named.retain(|life| *life != key);
    if named.is_empty() {
        lives.remove(name);
    }
}
