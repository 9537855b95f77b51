//! Membership of entries: which are considered alive, which owns a pool, host or wave, and which have released a
//! leaving host.
//!
//! Liveness only spreads the work: if it is wrong, two owners decide and one commit ends in a conflict. A release is
//! a promise to send no more requests to the host, and is never concluded from silence.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::reduce::{Effect, Purpose};
use super::rows::{entry_key, EntryRow, EntryState, HostState};
use super::state::{Host, State};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::{Expect, Put};

/// Time from when this entry sees that a host drains until it also writes its release of the host to the table, in
/// case a peer has not received the release.
const ACK_BY_TABLE_MS: Millis = 1_500;

/// Minimum interval between writes of this entry's row for acknowledgements.
const ACK_PAUSE_MS: Millis = 1_000;

/// What an entry reports about itself to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the entry.
    pub name: String,
    /// Random number, new with each start.
    pub incarnation: u64,
    /// Whether its own row is in its view of the table.
    pub registered: bool,
    /// The table's sequence number up to which its routes include all changes.
    pub view_seq: u64,
    /// Version of the configuration in force at the entry.
    pub config_version: u64,
    /// Whether it has the list of hosts, from the platform or from a peer.
    pub hosts_known: bool,
    /// Leaving hosts on which it has requests in flight.
    pub busy: Vec<String>,
}

/// An entry with its row and its last report.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its row in the table, if any.
    pub row: Option<EntryRow>,
    /// Version of the row, 0 if there is none.
    pub version: u64,
    /// The newest report received from the entry itself.
    pub digest: Option<Digest>,
    /// Start of the last exchange with it that succeeded.
    pub heard_ms: Option<Millis>,
    /// Whether its loss was logged.
    pub lost_logged: bool,
}

/// An unregistered peer that took its view from this entry.
#[derive(Clone, Debug)]
pub struct Sponsored {
    /// Incarnation of the peer.
    pub incarnation: u64,
    /// The table's sequence number up to which its routes include all changes.
    pub view_seq: u64,
    /// Leaving hosts on which it has requests in flight.
    pub busy: Vec<String>,
}

impl State {
    /// Returns the sorted names of the entries considered alive, with this one unless it is stopping.
    pub fn alive_entries(&self) -> Vec<&str> {
        let peer_ms = self.tuning.peer_ms;
        let heard = |m: &Member| m.heard_ms.is_some_and(|t| t + peer_ms > self.last_tick_ms);
        let mut names: Vec<&str> = self
            .members
            .iter()
            .filter(|(name, m)| {
                let live = m.row.as_ref().is_some_and(|r| r.state == EntryState::Live);
                **name != self.me.name && live && heard(m)
            })
            .map(|(name, _)| name.as_str())
            .collect();
        if !self.stopping {
            names.push(&self.me.name);
        }
        names.sort_unstable();
        names
    }

    /// Whether this entry owns the pool, host or wave called `name`.
    pub fn owns(&self, name: &str, alive: &[&str]) -> bool {
        self.owner(name, alive) == Some(self.me.name.as_str())
    }

    /// Returns the entry that owns the pool, host or wave called `name`, by rendezvous hashing over `alive`.
    pub fn owner<'a>(&self, name: &str, alive: &[&'a str]) -> Option<&'a str> {
        alive
            .iter()
            .copied()
            .max_by_key(|e| rendezvous_rank(e, name))
    }

    /// Returns the entries that may still send requests to a host whose current row marks it as leaving.
    ///
    /// Every registered entry counts until it reports that its routes include the row and that it has no request in
    /// flight on the host, or until the platform reports that the entry's host has ended.
    pub fn holders(&self, host: &Host) -> Vec<String> {
        let mut names = Vec::new();
        for (name, m) in &self.members {
            let Some(row) = &m.row else { continue };
            let ended = row.state == EntryState::Left || self.ended_entries.contains(name);
            if ended {
                continue;
            }
            let released_by =
                |seq: u64, busy: &[String]| seq >= host.version && !busy.contains(&host.id);
            let by_row = released_by(row.view_seq, &row.busy);
            let by_digest = match &m.digest {
                Some(d) if *name != self.me.name => {
                    d.incarnation == row.incarnation && released_by(d.view_seq, &d.busy)
                }
                _ => false,
            };
            let by_self = *name == self.me.name
                && row.incarnation == self.me.incarnation
                && released_by(self.digest().view_seq, &self.digest().busy);
            if !(by_row || by_digest || by_self) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Stores a peer's report from an exchange that began at `begun_ms`.
    pub fn apply_digest(&mut self, d: Digest, begun_ms: Millis, out: &mut Vec<Effect>) {
        if d.name == self.me.name {
            return;
        }
        if d.registered {
            self.sponsored.remove(&d.name);
        }
        let member = self.members.entry(d.name.clone()).or_default();
        let was_lost = member.heard_ms.is_none() || member.lost_logged;
        if was_lost {
            let why = "the peer answered or polled this entry";
            out.push(Effect::Log(Decision::new(
                Code::PeerHeard,
                Subject::Entry,
                &d.name,
                why,
            )));
            self.routes_dirty = true;
        }
        member.lost_logged = false;
        member.heard_ms = Some(member.heard_ms.unwrap_or(0).max(begun_ms));
        // A view never goes back within one incarnation, so a report with an older view is outdated.
        let newer = member
            .digest
            .as_ref()
            .is_none_or(|old| old.incarnation != d.incarnation || old.view_seq <= d.view_seq);
        if newer {
            member.digest = Some(d);
        }
    }

    /// Sponsors an unregistered peer: from now on this entry's reports include what the peer has not released.
    pub fn sponsor(&mut self, d: &Digest, out: &mut Vec<Effect>) {
        if d.registered || d.name == self.me.name {
            return;
        }
        let known = self.sponsored.get(&d.name).map(|s| s.incarnation);
        if known != Some(d.incarnation) {
            let why = "the peer has no row in the table yet";
            let line = Decision::new(Code::PeerSponsored, Subject::Entry, &d.name, why);
            out.push(Effect::Log(line));
        }
        let sponsored = Sponsored {
            incarnation: d.incarnation,
            view_seq: d.view_seq,
            busy: d.busy.clone(),
        };
        self.sponsored.insert(d.name.clone(), sponsored);
    }

    /// Logs peers that no longer answer, and stops sponsoring peers that are registered or ended.
    pub(super) fn watch_members(&mut self, now: Now, out: &mut Vec<Effect>) {
        let peer_ms = self.tuning.peer_ms;
        for (name, m) in &mut self.members {
            let Some(heard) = m.heard_ms else { continue };
            if heard + peer_ms <= now.ms && !m.lost_logged {
                m.lost_logged = true;
                self.routes_dirty = true;
                let d = Decision::new(
                    Code::PeerLost,
                    Subject::Entry,
                    name,
                    "the peer does not answer",
                )
                .with("silent_ms", now.ms - heard);
                out.push(Effect::Log(d));
            }
        }
        let members = &self.members;
        let ended = &self.ended_entries;
        self.sponsored.retain(|name, s| {
            let registered = members.get(name).and_then(|m| m.row.as_ref());
            let is_itself = registered.is_some_and(|r| r.incarnation == s.incarnation);
            !is_itself && !ended.contains(name)
        });
    }

    /// Registers this entry, or writes its releases to the table if peers may not have received them.
    pub(super) fn update_own_row(&mut self, now: Now, out: &mut Vec<Effect>) {
        let key = entry_key(&self.me.name);
        if !self.reads.complete || self.reads.failing || !self.is_unlocked(&key) || self.stopping {
            return;
        }
        if !self.is_registered() {
            self.write_own_row(EntryState::Live, Purpose::Register, out);
            return;
        }
        let due = now.ms >= self.ack_written_ms + ACK_PAUSE_MS;
        if due && self.must_ack_by_table(now) {
            self.ack_written_ms = now.ms;
            self.write_own_row(EntryState::Live, Purpose::Acknowledge, out);
        }
    }

    fn must_ack_by_table(&self, now: Now) -> bool {
        let Some(row) = self.members.get(&self.me.name).and_then(|m| m.row.as_ref()) else {
            return false;
        };
        let digest = self.digest();
        let is_released_in_row = |h: &Host| row.view_seq >= h.version && !row.busy.contains(&h.id);
        let is_released = |h: &Host| digest.view_seq >= h.version && !digest.busy.contains(&h.id);
        self.hosts.values().any(|h| {
            h.row.state == HostState::Draining
                && now.ms >= h.row_seen_ms + ACK_BY_TABLE_MS
                && is_released(h)
                && !is_released_in_row(h)
        })
    }

    /// Commits this entry's row in `state`, with the same releases that it reports to its peers.
    pub fn write_own_row(&mut self, state: EntryState, purpose: Purpose, out: &mut Vec<Effect>) {
        let key = entry_key(&self.me.name);
        let version = self.members.get(&self.me.name).map_or(0, |m| m.version);
        let digest = self.digest();
        let row = EntryRow {
            incarnation: self.me.incarnation,
            state,
            peer: self.me.peer.clone(),
            hall: self.me.hall.clone(),
            view_seq: digest.view_seq,
            busy: digest.busy,
        };
        self.commit(
            vec![],
            vec![Put::new(key, expect(version), &row)],
            purpose,
            out,
        );
    }
}

/// Returns the condition that a row still has the given version; version 0 stands for an absent row.
pub fn expect(version: u64) -> Expect {
    match version {
        0 => Expect::Absent,
        v => Expect::Version(v),
    }
}

fn rendezvous_rank(entry: &str, name: &str) -> u64 {
    // The hash is stable within one build. If builds differ, two entries may both own a name, and the only cost is
    // conflicts in the table.
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
