//! Membership between entries: who is believed alive, and who has let go of a leaving host.
//!
//! Two different questions. Being believed alive only spreads the work; a wrong belief costs a lost
//! race. Having let go is a promise: it is never concluded from silence.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::reduce::{Effect, Purpose};
use super::rows::{entry_key, EntryRow, EntryState, HostState};
use super::state::{Host, State};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::{Expect, Put};

/// How long peers' acknowledgements are waited for before ours goes through the table as well.
const ACK_BY_TABLE_MS: Millis = 1_500;

/// The least time between two writes of our own row for acknowledgements.
const ACK_PAUSE_MS: Millis = 1_000;

/// What an entry tells its peers of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Its name.
    pub name: String,
    /// Random, new with each start.
    pub incarnation: u64,
    /// Whether its own row is in its view.
    pub registered: bool,
    /// Its routes have taken in the table up to here.
    pub view_seq: u64,
    /// The configuration in force there.
    pub config_version: u64,
    /// Whether it has a list of hosts.
    pub hosts_known: bool,
    /// Leaving hosts on which it has requests in flight.
    pub busy: Vec<String>,
}

/// An entry, as known here.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its registration.
    pub row: Option<EntryRow>,
    /// The row's version.
    pub version: u64,
    /// The last it told us itself.
    pub digest: Option<Digest>,
    /// When it last told us something.
    pub heard_ms: Option<Millis>,
    /// Whether the loss of it was logged.
    pub lost_logged: bool,
}

/// An unregistered peer that took its view from us.
#[derive(Clone, Debug)]
pub struct Sponsored {
    /// Its incarnation.
    pub incarnation: u64,
    /// Its routes have taken in our view up to here.
    pub view_seq: u64,
    /// Leaving hosts on which it has requests in flight.
    pub busy: Vec<String>,
}

impl State {
    /// Names of the entries believed alive, ourselves among them.
    pub fn alive_entries(&self) -> Vec<&str> {
        let peer_ms = self.tuning.peer_ms;
        let heard = |m: &Member| m.heard_ms.is_some_and(|t| t + peer_ms > self.tick_ms);
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

    /// Whether this entry decides for the thing called `name`: rendezvous hashing over those alive.
    pub fn owns(&self, name: &str, alive: &[&str]) -> bool {
        self.owner(name, alive) == Some(self.me.name.as_str())
    }

    /// The entry that decides for the thing called `name`.
    pub fn owner<'a>(&self, name: &str, alive: &[&'a str]) -> Option<&'a str> {
        alive.iter().copied().max_by_key(|e| rank(e, name))
    }

    /// Entries that may still send work to a host that was marked as leaving in its present row.
    ///
    /// Every registered entry counts until it said itself that its routes have taken the mark in and
    /// nothing of it is in flight there, or the platform says that its host has ended.
    pub fn holders(&self, host: &Host) -> Vec<String> {
        let mut names = Vec::new();
        for (name, m) in &self.members {
            let Some(row) = &m.row else { continue };
            let ended = row.state == EntryState::Left || self.ended_entries.contains(name);
            if ended {
                continue;
            }
            let freed_by =
                |seq: u64, busy: &[String]| seq >= host.version && !busy.contains(&host.id);
            let by_row = freed_by(row.view_seq, &row.busy);
            let by_digest = match &m.digest {
                Some(d) if *name != self.me.name => {
                    d.incarnation == row.incarnation && freed_by(d.view_seq, &d.busy)
                }
                _ => false,
            };
            let by_self = *name == self.me.name
                && row.incarnation == self.me.incarnation
                && freed_by(self.digest().view_seq, &self.digest().busy);
            if !(by_row || by_digest || by_self) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Takes in what a peer said of itself in an exchange that began at `begun_ms`.
    pub fn take_digest(&mut self, d: Digest, begun_ms: Millis, out: &mut Vec<Effect>) {
        if d.name == self.me.name {
            return;
        }
        if d.registered {
            self.sponsored.remove(&d.name);
        }
        let member = self.members.entry(d.name.clone()).or_default();
        let was_lost = member.heard_ms.is_none() || member.lost_logged;
        if was_lost {
            let why = "answers";
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
        // Of one incarnation only the newest counts: a view never goes back.
        let newer = member
            .digest
            .as_ref()
            .is_none_or(|old| old.incarnation != d.incarnation || old.view_seq <= d.view_seq);
        if newer {
            member.digest = Some(d);
        }
    }

    /// Speaks for an unregistered peer from now on.
    pub fn sponsor(&mut self, d: &Digest, out: &mut Vec<Effect>) {
        if d.registered || d.name == self.me.name {
            return;
        }
        let known = self.sponsored.get(&d.name).map(|s| s.incarnation);
        if known != Some(d.incarnation) {
            let why = "it has no row in the table yet";
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

    /// Logs peers that fell silent, and drops sponsorships that are over.
    pub(super) fn watch_members(&mut self, now: Now, out: &mut Vec<Effect>) {
        let peer_ms = self.tuning.peer_ms;
        for (name, m) in &mut self.members {
            let Some(heard) = m.heard_ms else { continue };
            if heard + peer_ms <= now.ms && !m.lost_logged {
                m.lost_logged = true;
                self.routes_dirty = true;
                let d = Decision::new(Code::PeerLost, Subject::Entry, name, "no answer")
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

    /// Registers this entry, or writes what it has let go of where peers did not hear it.
    pub(super) fn keep_own_row(&mut self, now: Now, out: &mut Vec<Effect>) {
        let key = entry_key(&self.me.name);
        if !self.reads.complete || self.reads.failing || !self.is_unlocked(&key) || self.stopping {
            return;
        }
        if !self.is_registered() {
            self.write_own_row(EntryState::Live, Purpose::Register, out);
            return;
        }
        let due = now.ms >= self.ack_ms + ACK_PAUSE_MS;
        if due && self.must_ack_by_table(now) {
            self.ack_ms = now.ms;
            self.write_own_row(EntryState::Live, Purpose::Acknowledge, out);
        }
    }

    fn must_ack_by_table(&self, now: Now) -> bool {
        let Some(row) = self.members.get(&self.me.name).and_then(|m| m.row.as_ref()) else {
            return false;
        };
        let digest = self.digest();
        let told = |h: &Host| row.view_seq >= h.version && !row.busy.contains(&h.id);
        let free = |h: &Host| digest.view_seq >= h.version && !digest.busy.contains(&h.id);
        self.hosts.values().any(|h| {
            h.row.state == HostState::Draining
                && now.ms >= h.seen_ms + ACK_BY_TABLE_MS
                && free(h)
                && !told(h)
        })
    }

    /// Writes this entry's row.
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

/// The condition that a row is as we know it.
pub fn expect(version: u64) -> Expect {
    match version {
        0 => Expect::Absent,
        v => Expect::Version(v),
    }
}

fn rank(entry: &str, name: &str) -> u64 {
    // Stable within one build, which is enough: a difference between builds costs lost races only.
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
