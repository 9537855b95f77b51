//! Decides how long a pool goes without hosts for its late work so that other pools can have them.
//!
//! The load that this handles: a pool lacks a host or two for seconds, since workers of it have a pause or were cut off,
//! and nobody takes what others give. Late work of theirs would wait beside closed hosts all that time.

use std::collections::BTreeSet;

use super::offers::Offers;
use crate::clock::Millis;

/// How long hosts are given up after the last sign that other pools get any. Hosts become idle as their tasks end, most of
/// them within a second, and are taken within half a second. Work may wait for 3 s beside free hosts.
const GIVE_MS: Millis = 1_500;

/// What a pool's owner has seen of the other pools' need for its hosts.
#[derive(Clone, Debug, Default)]
pub struct Giving {
    /// Hosts that the other pools lacked at the last pass.
    lacked: u64,
    /// Hosts that were taken from this pool, as of the last pass.
    taken: BTreeSet<String>,
    /// When the number of hosts lacked changed or a host was taken.
    changed_ms: Millis,
}

impl Giving {
    /// Notes how many hosts the other pools lack now. Returns whether this pool should give them hosts.
    pub fn note(&mut self, lacked: u64, offers: &Offers, now_ms: Millis) -> bool {
        let taken = &offers.row.taken;
        let has_given = taken.keys().any(|host| !self.taken.contains(host));
        if lacked != self.lacked || has_given {
            self.changed_ms = now_ms;
        }
        self.lacked = lacked;
        if has_given || taken.len() != self.taken.len() {
            self.taken = taken.keys().cloned().collect();
        }
        lacked > 0 && now_ms < self.changed_ms + GIVE_MS
    }
}
