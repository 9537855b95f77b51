//! The reducer of an entry: takes one event, changes the in-memory state and returns the effects to perform.
//!
//! It does no I/O itself. The entry's control thread calls [`reduce`] and carries out the effects.

use std::collections::HashSet;

pub use super::events::{Effect, Event, Purpose, Ticket};
use super::members::Digest;
use super::operate::Reply;
use super::rows::EntryState;
use super::state::{State, TxnKey};
use crate::clock::{Millis, Now};
use crate::error::Kind;
use crate::event::{Code, Decision, Subject};
use crate::port::{Changes, Check, HostInfo, Outcome, Put, Transaction};

/// Maximum number of rows in one answer to a peer.
const PEER_ROWS_MAX: usize = 400;

/// Interval between reads of the host list and of the task reports.
const LISTS_INTERVAL_MS: Millis = 1_000;

/// Applies one event to the state and returns the resulting effects.
pub fn reduce(state: &mut State, event: Event, now: Now) -> Vec<Effect> {
    let mut out = Vec::new();
    match event {
        Event::Tick {
            published_seq,
            busy,
        } => tick(state, published_seq, busy, now, &mut out),
        Event::TableRead { begun_ms, changes } => {
            table_read(state, begun_ms, changes, now, &mut out);
        }
        Event::HostsRead(listing) => {
            if let Some(l) = listing {
                state.ended_entries = l.ended_entries;
                state.apply_host_list(l.hosts, now.ms, &mut out);
            }
        }
        Event::ReportsRead(reports) => {
            if let Some(r) = reports {
                state.apply_reports(r, &mut out);
            }
        }
        Event::Committed { txn, outcome } => handle_committed(state, txn, outcome, now, &mut out),
        Event::PeerAnswered {
            begun_ms,
            digest,
            changes,
            complete,
            hosts,
        } => {
            state.apply_digest(digest, begun_ms, &mut out);
            if !state.hosts_known && !hosts.is_empty() {
                state.apply_host_list(hosts, now.ms, &mut out);
            }
            apply_peer_rows(state, begun_ms, changes, complete, now, &mut out);
        }
        Event::PeerPolled {
            ticket,
            digest,
            since,
        } => peer_polled(state, ticket, digest, since, now, &mut out),
        Event::EditRequested { ticket, edit } => state.edit(ticket, edit, now, &mut out),
        Event::StartAnswered { task, answer } => state.start_answered(&task, answer, now, &mut out),
        Event::StopAnswered { task, answer } => state.stop_answered(&task, answer, now, &mut out),
        Event::RebootAnswered { host, accepted } => {
            if !accepted {
                state.forget_reboot_order(&host);
            }
        }
        Event::Stop => {
            state.stopping = true;
            if state.is_registered() {
                state.write_own_row(EntryState::Left, Purpose::Leave, &mut out);
            }
        }
    }
    publish(state, &mut out);
    out
}

fn publish(state: &mut State, out: &mut Vec<Effect>) {
    if state.routes_dirty && state.has_view() {
        state.routes_dirty = false;
        out.push(Effect::Publish(Box::new(state.routes())));
    }
}

fn tick(state: &mut State, published_seq: u64, busy: Vec<String>, now: Now, out: &mut Vec<Effect>) {
    let gap_ms = now.ms.saturating_sub(state.last_tick_ms);
    if state.last_tick_ms > 0 && gap_ms >= state.tuning.pause_ms {
        handle_pause(state, gap_ms, out);
    }
    state.last_tick_ms = now.ms;
    state.published_seq = state.published_seq.max(published_seq);
    state.busy = busy;
    state.watch_members(now, out);
    watch_isolation(state, now, out);
    start_due_reads(state, now, out);
    state.update_own_row(now, out);
    if can_decide(state) {
        decide(state, now, out);
    }
}

/// Reads the table anew after a pause of the process: the view may be stale, and a read that was outstanding before the
/// pause may never be answered.
fn handle_pause(state: &mut State, gap_ms: Millis, out: &mut Vec<Effect>) {
    let me = state.me.name.clone();
    let d = Decision::new(
        Code::Resumed,
        Subject::Entry,
        &me,
        "the entry was paused between two ticks",
    )
    .with("gap_ms", gap_ms);
    out.push(Effect::Log(d));
    state.reads.outstanding = false;
    state.reads.next_ms = 0;
}

fn watch_isolation(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let silent_ms = now.ms.saturating_sub(state.confirmed_ms);
    let isolated = state.me.has_peers && state.has_view() && silent_ms > state.tuning.isolation_ms;
    if isolated && !state.isolated {
        let d = Decision::new(
            Code::Isolated,
            Subject::Entry,
            &state.me.name,
            "neither the table nor a peer confirms the view",
        )
        .with("silent_ms", silent_ms);
        out.push(Effect::Log(d));
    }
    state.isolated = isolated;
}

fn start_due_reads(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    if !state.reads.outstanding && now.ms >= state.reads.next_ms {
        state.reads.outstanding = true;
        out.push(Effect::ReadTable { since: state.seq });
    }
    if !state.reads.failing && now.ms >= state.lists_next_ms {
        state.lists_next_ms = now.ms + LISTS_INTERVAL_MS;
        out.push(Effect::ReadHosts);
        out.push(Effect::ReadReports {
            since: state.reports_seq,
        });
    }
}

/// Whether this entry may decide: it needs a registered row, a complete view, the host list and a reachable table,
/// since every decision is committed to the table.
fn can_decide(state: &State) -> bool {
    !state.stopping
        && state.reads.complete
        && !state.reads.failing
        && state.hosts_known
        && state.is_registered()
}

fn decide(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let alive: Vec<String> = state
        .alive_entries()
        .iter()
        .map(|s| s.to_string())
        .collect();
    let alive: Vec<&str> = alive.iter().map(String::as_str).collect();
    let owned = state
        .pools
        .iter()
        .filter(|(_, p)| state.owns(&p.name, &alive))
        .map(|(k, _)| k)
        .collect::<Vec<_>>();
    for pool in &owned {
        state.assign_hosts(*pool, now, out);
        state.grant_wave_drain(*pool, now, out);
    }
    state.grant_free_host_drains(&alive, now, out);
    state.advance_drains(&alive, now, out);
    state.close_waves(&alive, now, out);
    let owned: HashSet<_> = owned.into_iter().collect();
    state.advance_jobs(&owned, now, out);
}

fn table_read(
    state: &mut State,
    begun_ms: Millis,
    changes: Option<Changes>,
    now: Now,
    out: &mut Vec<Effect>,
) {
    state.reads.outstanding = false;
    let Some(changes) = changes else {
        let pause_ms = state.reads.backoff.next_pause(&mut state.rng);
        state.reads.next_ms = now.ms + pause_ms;
        if !state.reads.failing {
            let d = Decision::new(
                Code::StoreLost,
                Subject::Entry,
                &state.me.name,
                "a read of the table failed",
            );
            out.push(Effect::Log(d.with("retry_ms", pause_ms)));
        }
        state.reads.failing = true;
        answer_lost_applies(state, out);
        state.recheck_edits(None, now, out);
        return;
    };
    if state.reads.failing {
        let d = Decision::new(
            Code::StoreFound,
            Subject::Entry,
            &state.me.name,
            "a read of the table succeeded again",
        );
        out.push(Effect::Log(d));
    }
    state.reads.failing = false;
    state.reads.backoff.reset();
    let more = changes.more;
    let has_new_rows = !changes.rows.is_empty();
    state.apply_rows(changes.rows, changes.seq, now.ms, out);
    if more {
        state.reads.outstanding = true;
        out.push(Effect::ReadTable { since: state.seq });
        return;
    }
    state.reads.complete = true;
    state.reads.next_ms = now.ms + state.tuning.tick_ms;
    confirm_view(state, begun_ms);
    answer_lost_applies(state, out);
    state.recheck_edits(Some(begun_ms), now, out);
    state.update_own_row(now, out);
    // Decides on the new rows at once instead of at the next tick.
    if has_new_rows && can_decide(state) {
        decide(state, now, out);
    }
}

fn confirm_view(state: &mut State, begun_ms: Millis) {
    state.confirmed_ms = state.confirmed_ms.max(begun_ms);
}

fn answer_lost_applies(state: &mut State, out: &mut Vec<Effect>) {
    for (ticket, base, version) in std::mem::take(&mut state.lost_applies) {
        let detail = state.describe_lost_race(&base, version);
        let result = Err(Kind::Conflict.with_detail(detail));
        out.push(Effect::Answer { ticket, result });
    }
}

fn apply_peer_rows(
    state: &mut State,
    begun_ms: Millis,
    changes: Changes,
    complete: bool,
    now: Now,
    out: &mut Vec<Effect>,
) {
    if !complete {
        return;
    }
    let more = changes.more;
    state.apply_rows(changes.rows, changes.seq, now.ms, out);
    // The peer sponsors an unregistered entry that polls it, and records this before it answers the poll.
    state.is_sponsored |= !state.is_registered();
    if !more {
        state.reads.complete = true;
        confirm_view(state, begun_ms);
    }
}

fn peer_polled(
    state: &mut State,
    ticket: Ticket,
    digest: Digest,
    since: u64,
    now: Now,
    out: &mut Vec<Effect>,
) {
    state.sponsor(&digest, out);
    let hosts = match digest.hosts_known {
        true => Vec::new(),
        false => state.host_infos(),
    };
    state.apply_digest(digest, now.ms, out);
    let (rows, seq) = state.rows_changed_after(since, PEER_ROWS_MAX);
    let more = seq < state.seq;
    out.push(Effect::AnswerPeer {
        ticket,
        digest: state.digest(),
        changes: Changes { seq, rows, more },
        complete: state.reads.complete,
        hosts,
    });
}

impl State {
    /// Reads the table now, or as soon as the outstanding read ends. Does nothing while the table is unreachable.
    pub(super) fn read_soon(&mut self, now: Now, out: &mut Vec<Effect>) {
        if self.reads.failing {
            return;
        }
        self.reads.next_ms = now.ms;
        if !self.reads.outstanding {
            self.reads.outstanding = true;
            out.push(Effect::ReadTable { since: self.seq });
        }
    }

    fn host_infos(&self) -> Vec<HostInfo> {
        self.hosts.values().filter_map(|h| h.info.clone()).collect()
    }

    /// Sends a transaction and locks its rows until its outcome is in the view.
    pub fn commit(
        &mut self,
        checks: Vec<Check>,
        puts: Vec<Put>,
        purpose: Purpose,
        out: &mut Vec<Effect>,
    ) {
        for put in &puts {
            self.locked.insert(put.key.clone(), u64::MAX);
        }
        let token = format!("{:x}-{:x}", self.me.incarnation, self.rng.u64(..));
        let keys: Vec<String> = puts.iter().map(|p| p.key.clone()).collect();
        let txn = self.pending.insert(Pending { purpose, keys });
        let transaction = Transaction {
            token,
            checks,
            puts,
        };
        out.push(Effect::Commit { txn, transaction });
    }
}

impl State {
    /// Stops counting a pending placement as capacity in use on its host. If the transaction's outcome is unknown and
    /// the placement was committed, the next read of the table shows the placement, which counts from then on.
    fn forget_placement(&mut self, key: &str) {
        let job = key.strip_prefix("job/").and_then(|id| self.job_ids.get(id));
        if let Some(job) = job {
            self.placing.remove(job);
        }
    }
}

/// A transaction that was sent and whose outcome is not known yet.
#[derive(Debug)]
pub struct Pending {
    /// Why it was sent, which says what to do with the outcome.
    pub purpose: Purpose,
    /// Keys of the rows that it writes.
    pub keys: Vec<String>,
}

fn handle_committed(
    state: &mut State,
    txn: TxnKey,
    outcome: Outcome,
    now: Now,
    out: &mut Vec<Effect>,
) {
    let Some(pending) = state.pending.remove(txn) else {
        return;
    };
    let seen = state.seq;
    for key in &pending.keys {
        match outcome {
            Outcome::Committed(seq) if seq > seen => {
                state.locked.insert(key.clone(), seq);
            }
            _ => {
                state.locked.remove(key);
                state.forget_placement(key);
            }
        }
    }
    // The next decision on these rows waits until the outcome is in the view, so the table is read at once.
    state.read_soon(now, out);
    act_on_outcome(state, pending.purpose, outcome, out);
}

fn act_on_outcome(state: &mut State, purpose: Purpose, outcome: Outcome, out: &mut Vec<Effect>) {
    let done = matches!(outcome, Outcome::Committed(_));
    match purpose {
        Purpose::Register | Purpose::Acknowledge | Purpose::Leave => {}
        Purpose::Decision(line) if done => out.push(Effect::Log(line)),
        Purpose::Decision(line) => {
            let d = Decision::new(Code::LostRace, line.subject, &line.id, line.why);
            out.push(Effect::Log(d));
        }
        Purpose::Edit {
            ticket,
            reply,
            line,
        } => {
            let result = match failure_kind(outcome) {
                None => {
                    out.push(Effect::Log(line));
                    Ok(reply)
                }
                Some(kind) => Err(kind.with_detail("read the current state, then try again")),
            };
            out.push(Effect::Answer { ticket, result });
        }
        Purpose::Apply {
            ticket,
            version,
            base,
        } => match failure_kind(outcome) {
            None => {
                let d = Decision::new(
                    Code::ConfigAccepted,
                    Subject::Config,
                    "head",
                    "the new configuration was committed",
                );
                out.push(Effect::Log(d.with("version", version)));
                let result = Ok(Reply::Version(version));
                out.push(Effect::Answer { ticket, result });
            }
            Some(Kind::Conflict) => state.lost_applies.push((ticket, base, version)),
            Some(kind) => {
                let detail = format!("check whether the version is {version} now");
                let result = Err(kind.with_detail(detail));
                out.push(Effect::Answer { ticket, result });
            }
        },
    }
}

fn failure_kind(outcome: Outcome) -> Option<Kind> {
    match outcome {
        Outcome::Committed(_) => None,
        Outcome::Conflict => Some(Kind::Conflict),
        Outcome::NotSent => Some(Kind::StoreDown),
        Outcome::Unknown => Some(Kind::StoreUnknown),
    }
}
