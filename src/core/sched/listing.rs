//! The platform's list of hosts: schedules its readings and finds each host's record by name.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::port::fleet::{HostListing, HostRecord};

/// Index of a host in [`HostList`], valid until the next reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostKey(usize);

/// The list as last read.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    records: Vec<HostRecord>,
    /// Whether some records could not be decoded.
    has_unreadable: bool,
    by_name: HashMap<String, HostKey>,
    pending_asked_ms: Millis,
    asked_ms: Millis,
    due_ms: Millis,
}

impl HostList {
    /// Returns whether a reading is due. If so, schedules the next one `pause_ms` later.
    pub fn start_read_if_due(&mut self, now_ms: Millis, pause_ms: Millis) -> bool {
        if now_ms < self.due_ms {
            return false;
        }
        self.due_ms = now_ms + pause_ms;
        self.pending_asked_ms = now_ms;
        true
    }

    /// Brings the next reading forward to `due_ms` if it is due later.
    pub fn schedule_read(&mut self, due_ms: Millis) {
        self.due_ms = self.due_ms.min(due_ms);
    }

    /// Replaces the records by those of the requested reading.
    pub fn replace(&mut self, listing: HostListing) {
        let records = listing.hosts;
        self.has_unreadable = !listing.unreadable.is_empty();
        let names = records.iter().enumerate();
        self.by_name = names
            .map(|(n, record)| (record.host.clone(), HostKey(n)))
            .collect();
        self.records = records;
        self.asked_ms = self.pending_asked_ms;
    }

    /// Returns when the current records were requested; 0 before the first reading.
    pub fn asked_ms(&self) -> Millis {
        self.asked_ms
    }

    /// Returns whether a host is known not to exist: the list names hosts, and each record could be decoded.
    pub fn is_missing(&self, host: &str) -> bool {
        !self.records.is_empty() && !self.has_unreadable && self.get(host).is_none()
    }

    /// Returns the record of a host.
    pub fn get(&self, host: &str) -> Option<&HostRecord> {
        let key = self.by_name.get(host)?;
        self.records.get(key.0)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = &HostRecord> {
        self.records.iter()
    }
}
