//! The platform's list of hosts: when it is read, and each host's record by name.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::port::fleet::HostRecord;

/// A host's place in [`HostList`], until the list is read anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostKey(usize);

/// The list as it was last read.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    records: Vec<HostRecord>,
    by_name: HashMap<String, HostKey>,
    asking_ms: Millis,
    asked_ms: Millis,
    due_ms: Millis,
}

impl HostList {
    /// Whether the list is to be asked for now; the next reading is due `pause_ms` later.
    pub fn start_read_if_due(&mut self, now_ms: Millis, pause_ms: Millis) -> bool {
        if now_ms < self.due_ms {
            return false;
        }
        self.due_ms = now_ms + pause_ms;
        self.asking_ms = now_ms;
        true
    }

    /// Brings the next reading forward.
    pub fn schedule_read(&mut self, due_ms: Millis) {
        self.due_ms = self.due_ms.min(due_ms);
    }

    /// Takes in the list that was asked for.
    pub fn replace(&mut self, records: Vec<HostRecord>) {
        let names = records.iter().enumerate();
        self.by_name = names
            .map(|(n, record)| (record.host.clone(), HostKey(n)))
            .collect();
        self.records = records;
        self.asked_ms = self.asking_ms;
    }

    /// When the list was asked for that is known; 0 before the first.
    pub fn asked_ms(&self) -> Millis {
        self.asked_ms
    }

    /// Whether it names no host.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// A host's record.
    pub fn get(&self, host: &str) -> Option<&HostRecord> {
        let key = self.by_name.get(host)?;
        self.records.get(key.0)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &HostRecord> {
        self.records.iter()
    }
}
