//! Follows the store's tables and hands what changed to control.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel::Sender;
use smol::Timer;

use super::operations::whole_intake;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::rows::{shard_part, SHARDS};
use crate::core::sched::state::Event;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{
    Directory, Feed, OperatorEvent, Range, ReadError, Revision, Rows, Table, WorkerEvent,
};
use crate::util::join_all;

/// How long the store may hold back an answer that has nothing to tell. An entry that the store turns
/// away notices within this time.
const WAIT_MS: Millis = 1_000;

/// So many waits for the operator's word fit into the bound on configurations, where that is short: one that brings
/// nothing must not make the entry doubt what it knows.
const OPERATOR_WAITS: Millis = 2;

/// Reads that tell an outage of the whole store from one of the operator's partition: with a quarter of the partitions
/// away, both fail in one case of sixteen.
const PROBES: usize = 2;

/// How long each of them may take at the least: a new connection and ten answers of a good store.
const PROBE_MS: Millis = 300;

/// Pause after a read that failed, and as much again by chance, so that entries do not return together.
const RETRY_MS: Millis = 100;

/// Pause after an answer on owners: heartbeats are gathered, each answer costs processor time.
const OWNERS_PAUSE_MS: Millis = 250;

/// The same at the entry that orders hosts: each move waits for it.
const OWNERS_PAUSE_ORDERS_MS: Millis = 50;

/// The same for the list of workers: each beats every second or two.
const WORKERS_PAUSE_MS: Millis = 120;

/// The same for rows of waves, which change at most a few times a second.
const WAVES_PAUSE_MS: Millis = 150;

/// The same for intake, where each job is a change: little against an objective of 600 ms and more.
const INTAKE_PAUSE_MS: Millis = 30;

/// How often a feed that is not needed looks whether it is.
const UNNEEDED_LOOK_MS: Millis = 60;

/// Names of the pools that this entry owns, and where to read intake from.
#[derive(Default)]
pub(super) struct Owned {
    /// Pools by name.
    pub(super) pools: RefCell<Vec<String>>,
    /// Intake behind this revision is followed; nothing while no pool is owned.
    pub(super) intake_from: Cell<Option<Revision>>,
    /// It orders hosts.
    pub(super) orders_hosts: Cell<bool>,
}

async fn pause(ms: Millis) {
    Timer::after(Duration::from_millis(ms)).await;
}

async fn pause_after_failure() {
    pause(RETRY_MS + fastrand::u64(0..RETRY_MS)).await;
}

/// Control is gone only when the process ends.
async fn send(events: &Sender<Event>, event: Event) {
    let _ = events.send(event).await;
}

/// Follows what the operator says; on its answers rests whether the entry is ready.
pub(super) async fn operator<P: Directory + Rows>(
    platform: P,
    shared: Arc<Shared>,
    events: Sender<Event>,
) {
    let wait_ms = WAIT_MS.min(shared.settings.config_within_ms / OPERATOR_WAITS);
    let mut since = None;
    // What an answer brings may have more behind it: a row of 1,500 queues is half a megabyte, and an answer holds two.
    // Only one that brings nothing tells that all is known.
    let mut may_be_more = true;
    let mut is_there = false;
    loop {
        let asked_ms = shared.clock.now_ms();
        let waits_ms = if may_be_more { 0 } else { wait_ms };
        let call = async {
            match since {
                None => platform.operator().await,
                Some(revision) => platform.operator_feed(revision, waits_ms).await,
            }
        };
        let doubt = async {
            shared.doubted().await;
            Err(ReadError::Down)
        };
        let got = match is_there {
            // A transaction that got no answer cuts the wait for news short.
            true => call.or(doubt).await,
            false => call.await,
        };
        let answers = got.is_ok() || got.as_ref().err() == Some(&ReadError::HistoryGone);
        shared.note_operator(answers);
        // The operator's partition may be the only one that is away.
        is_there = answers || answers_elsewhere(&platform, &shared).await;
        if note_store(&shared, is_there) {
            send(&events, Event::Store(is_there)).await;
        }
        since = match got {
            Ok(feed) => {
                may_be_more = since.is_none() || !feed.changes.is_empty();
                adopt(&shared, &events, &feed).await;
                if !may_be_more {
                    // The store waited in vain: all is known that was said until the end of that wait.
                    let known_ms = (asked_ms + waits_ms).min(shared.clock.now_ms());
                    shared.note_operator_known(known_ms);
                }
                Some(feed.revision)
            }
            Err(ReadError::HistoryGone) => None,
            Err(ReadError::Down) => {
                // The first answer after an outage must not wait for news: until it is there, callers are refused.
                may_be_more = true;
                pause_after_failure().await;
                since
            }
        };
    }
}

/// Whether the store answers a read in one of two partitions of pools, drawn by chance.
async fn answers_elsewhere<P: Rows>(platform: &P, shared: &Shared) -> bool {
    let pools = shared.pools();
    if pools.is_empty() {
        return false;
    }
    let parts: Vec<String> = (0..PROBES)
        .map(|_| {
            shard_part(
                &pools[fastrand::usize(0..pools.len())],
                fastrand::usize(0..SHARDS),
            )
        })
        .collect();
    let one = || Range {
        rows_max: 1,
        ..Range::default()
    };
    let timeout_ms = shared.intake_timeout.ms().max(PROBE_MS);
    let mut reads = Vec::new();
    for part in &parts {
        reads.push(platform.scan(Table::Owners, part, one(), timeout_ms));
    }
    let answers = join_all(reads).await;
    answers.iter().any(Result::is_ok)
}

/// Logs where the store begins or ceases to answer; says whether it did.
fn note_store(shared: &Shared, answers: bool) -> bool {
    if !shared.note_store(answers) {
        return false;
    }
    let (code, why) = if answers {
        (Code::StoreFound, "it answers")
    } else {
        (Code::StoreLost, "no answer, or a refusal")
    };
    let name = &shared.settings.name;
    shared.tell(Decision::new(code, Subject::Entry, name, why));
    true
}

async fn adopt(shared: &Shared, events: &Sender<Event>, feed: &Feed<OperatorEvent>) {
    for word in &feed.changes {
        if let OperatorEvent::Config(config) = word {
            shared.adopt(config);
        }
        send(events, Event::Operator(word.clone())).await;
    }
}

/// Follows the list of workers while this entry owns a pool.
pub(super) async fn workers<P: Directory>(platform: P, owned: Rc<Owned>, events: Sender<Event>) {
    let mut since = None;
    loop {
        if owned.intake_from.get().is_none() {
            since = None;
            pause(UNNEEDED_LOOK_MS).await;
            continue;
        }
        let got = match since {
            None => platform.workers().await,
            Some(revision) => platform.workers_feed(revision, WAIT_MS).await,
        };
        match got {
            Ok(feed) => {
                if since.is_none() {
                    send(&events, Event::WorkersRead(present(&feed))).await;
                }
                let is_news = |word: &WorkerEvent| {
                    since.is_some() || matches!(word, WorkerEvent::Unreadable(..))
                };
                for word in feed.changes.into_iter().filter(is_news) {
                    send(&events, Event::Worker(word)).await;
                }
                since = Some(feed.revision);
                pause(WORKERS_PAUSE_MS).await;
            }
            Err(ReadError::HistoryGone) => since = None,
            Err(ReadError::Down) => pause_after_failure().await,
        }
    }
}

/// Follows the rows of waves while this entry owns a pool.
pub(super) async fn waves<P: Rows>(platform: P, owned: Rc<Owned>, events: Sender<Event>) {
    let mut since = None;
    loop {
        if owned.intake_from.get().is_none() {
            since = None;
            pause(UNNEEDED_LOOK_MS).await;
            continue;
        }
        let got = match since {
            Some(revision) => platform.feed(Table::Waves, revision, WAIT_MS).await,
            None => platform
                .scan(Table::Waves, "", Default::default(), WAIT_MS)
                .await
                .map(|scan| Feed {
                    changes: scan.rows,
                    revision: scan.revision,
                }),
        };
        match got {
            Ok(feed) => {
                since = Some(feed.revision);
                for row in feed.changes {
                    send(&events, Event::WaveRow(row)).await;
                }
                pause(WAVES_PAUSE_MS).await;
            }
            Err(ReadError::HistoryGone) => since = None,
            Err(ReadError::Down) => pause_after_failure().await,
        }
    }
}

pub(super) fn present(feed: &Feed<WorkerEvent>) -> Vec<crate::port::fleet::WorkerFact> {
    let facts = feed.changes.iter().filter_map(|word| match word {
        WorkerEvent::Present(fact) => Some(fact.clone()),
        _ => None,
    });
    facts.collect()
}

/// Follows who owns which pool.
pub(super) async fn owners<P: Rows>(platform: P, owned: Rc<Owned>, events: Sender<Event>) {
    let mut since: Option<Revision> = None;
    loop {
        let got = match since {
            Some(revision) => platform.feed(Table::Owners, revision, WAIT_MS).await,
            None => read_owners(&platform).await,
        };
        match got {
            Ok(feed) => {
                since = Some(feed.revision);
                for row in feed.changes {
                    send(&events, Event::Owner(row)).await;
                }
                pause(match owned.orders_hosts.get() {
                    true => OWNERS_PAUSE_ORDERS_MS,
                    false => OWNERS_PAUSE_MS,
                })
                .await;
            }
            Err(ReadError::HistoryGone) => since = None,
            Err(ReadError::Down) => pause_after_failure().await,
        }
    }
}

async fn read_owners<P: Rows>(
    platform: &P,
) -> Result<Feed<crate::port::fleet::StoredRow>, ReadError> {
    let mut all = Feed {
        changes: Vec::new(),
        revision: 0,
    };
    for part in platform.parts(Table::Owners).await? {
        let range = Default::default();
        let scan = platform.scan(Table::Owners, &part, range, WAIT_MS).await?;
        if all.revision == 0 {
            all.revision = scan.revision;
        }
        all.changes.extend(scan.rows);
    }
    if all.revision == 0 {
        let scan = platform.scan(Table::Owners, "", Default::default(), WAIT_MS);
        all.revision = scan.await?.revision;
    }
    Ok(all)
}

/// Follows new jobs and cancels while this entry owns a pool.
pub(super) async fn intake<P: Rows>(platform: P, owned: Rc<Owned>, events: Sender<Event>) {
    loop {
        let Some(since) = owned.intake_from.get() else {
            pause(UNNEEDED_LOOK_MS).await;
            continue;
        };
        let got = match platform.feed(Table::Intake, since, WAIT_MS).await {
            Err(ReadError::HistoryGone) => read_intake(&platform, &owned).await,
            other => other,
        };
        match got {
            Ok(feed) => {
                if owned.intake_from.get().is_some() {
                    owned.intake_from.set(Some(feed.revision));
                }
                for row in feed.changes {
                    send(&events, Event::Intake(row)).await;
                }
                pause(INTAKE_PAUSE_MS).await;
            }
            Err(_) => pause_after_failure().await,
        }
    }
}

/// The history is gone: reads all that owned pools were sent.
async fn read_intake<P: Rows>(
    platform: &P,
    owned: &Owned,
) -> Result<Feed<crate::port::fleet::StoredRow>, ReadError> {
    // What changes while the rows are read is told by the feed from this revision on.
    let newest = platform.scan(Table::Owners, "", Default::default(), WAIT_MS);
    let revision = newest.await?.revision;
    let pools = owned.pools.borrow().clone();
    let mut changes = Vec::new();
    for pool in pools {
        changes.extend(whole_intake(platform, &pool).await?);
    }
    Ok(Feed { changes, revision })
}
