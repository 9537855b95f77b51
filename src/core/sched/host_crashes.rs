//! Remembers which hosts crashed lately, so that crashes of unsound hosts are not held against tasks.
//!
//! A host that has crashed a short time ago may crash again whatever it runs, and where many hosts crash at once, a task
//! may meet two crashes by chance. Such a crash says little about the tasks that it ended. A crash of a single host that
//! was sound until then is strong evidence against the tasks that had just started there. A crash is explained, and says
//! nothing about its host, once a task that it counted against is given up.

use std::collections::HashMap;

use super::keys::TaskKey;
use super::limits::{UNSOUND_MS, WIDESPREAD_MIN, WIDESPREAD_SHARE};
use crate::clock::Millis;

/// What the other crashes in the pool say about a worker's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashContext {
    /// Few other hosts have crashed lately, and this one has not.
    Isolated,
    /// Many hosts have crashed lately, but not this one.
    Widespread,
    /// This host has crashed lately.
    Recurring,
}

/// The latest crash of a host.
#[derive(Clone, Debug)]
struct HostCrash {
    /// When it crashed.
    lost_ms: Millis,
    /// The tasks that the crash counted against.
    suspects: Vec<TaskKey>,
}

/// The latest crash of each host that crashed lately and whose crash is not explained by a task.
#[derive(Clone, Debug, Default)]
pub struct HostCrashes {
    by_host: HashMap<String, HostCrash>,
}

impl HostCrashes {
    /// Returns whether a host has crashed lately.
    pub fn is_unsound(&self, host: &str, now_ms: Millis) -> bool {
        let crash = self.by_host.get(host);
        crash.is_some_and(|c| now_ms < c.lost_ms + UNSOUND_MS)
    }

    /// Returns what is known at a crash of `host` at `lost_ms`, in a pool of `hosts` hosts.
    pub fn context(&self, host: &str, lost_ms: Millis, hosts: usize) -> CrashContext {
        if self.is_unsound(host, lost_ms) {
            return CrashContext::Recurring;
        }
        let recent = self.by_host.values();
        let recent = recent.filter(|c| lost_ms < c.lost_ms + UNSOUND_MS).count();
        match recent >= WIDESPREAD_MIN && recent * WIDESPREAD_SHARE >= hosts {
            true => CrashContext::Widespread,
            false => CrashContext::Isolated,
        }
    }

    /// Notes a crash, which counted against `suspects`.
    pub fn note(&mut self, host: &str, lost_ms: Millis, suspects: Vec<TaskKey>) {
        self.by_host.retain(|_, c| lost_ms < c.lost_ms + UNSOUND_MS);
        // Workers that name no host don't share one.
        if !host.is_empty() {
            let crash = HostCrash { lost_ms, suspects };
            self.by_host.insert(host.to_string(), crash);
        }
    }

    /// Forgets the crashes that counted against a task, because the task is given up as their cause.
    pub fn explain(&mut self, task: TaskKey) {
        self.by_host.retain(|_, c| !c.suspects.contains(&task));
    }
}
