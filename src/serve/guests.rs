//! Jobs in the intake of other pools that a pool of this entry runs.
//!
//! A job has two partitions, and an entry that routes the queue differently may have put another row under its id into the
//! other one. The feed of intake shows such a row, so before a job is handed to the reducer, its other partition is read.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use smol::channel::Sender;
use smol::{LocalExecutor, Timer};

use super::owned::OwnedPools;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::sched::homes::{guest_of, is_first, other_part};
use crate::core::sched::limits::TX_TIMEOUT_MS;
use crate::core::sched::rows::cancelled_job;
use crate::core::sched::state::Event;
use crate::event::{Code, Decision, Subject};
use crate::port::backoff::Backoff;
use crate::port::fleet::{Range, Rows, StoredRow, Table};

/// The pauses between attempts at a read. The job waits for it.
const PAUSE_MS: Millis = 60;
const PAUSE_MAX_MS: Millis = 500;

/// Hands intake rows to the reducer.
#[derive(Clone)]
pub(super) struct GuestIntake<P> {
    platform: P,
    shared: Arc<Shared>,
    /// Tasks of the executor hold this value, so it must not keep the executor.
    executor: Weak<LocalExecutor<'static>>,
    owned: Rc<OwnedPools>,
    events: Sender<Event>,
    /// Cancels of jobs whose other partition is being read, by id.
    pending: Rc<RefCell<BTreeMap<String, Vec<StoredRow>>>>,
}

impl<P: Rows + Clone + 'static> GuestIntake<P> {
    pub(super) fn new(
        platform: P,
        shared: Arc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        owned: Rc<OwnedPools>,
        events: Sender<Event>,
    ) -> Self {
        Self {
            platform,
            shared,
            executor: Rc::downgrade(executor),
            owned,
            events,
            pending: Rc::default(),
        }
    }

    /// Hands a row to the reducer: at once, or once it is known to be the job of its id.
    pub(super) fn forward(&self, row: StoredRow) {
        if let Some(id) = cancelled_job(&row.key) {
            if let Some(cancels) = self.pending.borrow_mut().get_mut(id) {
                cancels.push(row.clone());
            }
        }
        if let Some(pool) = guest_of(&row).filter(|pool| self.owns(pool)) {
            self.check(pool, row.clone());
        }
        self.send(Event::Intake(row));
    }

    fn owns(&self, pool: &str) -> bool {
        self.owned.pools.borrow().iter().any(|p| p == pool)
    }

    fn send(&self, event: Event) {
        // The channel has no bound, and its receiver is closed only when the process ends.
        let _ = self.events.try_send(event);
    }

    fn check(&self, pool: String, row: StoredRow) {
        let Some(executor) = self.executor.upgrade() else {
            return;
        };
        let mut pending = self.pending.borrow_mut();
        if pending.contains_key(&row.key) {
            return;
        }
        pending.insert(row.key.clone(), Vec::new());
        let guests = self.clone();
        executor
            .spawn(async move { guests.check_row(&pool, row).await })
            .detach();
    }

    async fn check_row(&self, pool: &str, row: StoredRow) {
        let others = self.read_others(pool, &row).await;
        let cancels = self.pending.borrow_mut().remove(&row.key);
        // Whoever owns the pool next reads all its rows.
        let Some(others) = others else {
            return;
        };
        if !is_first(&row, &others) {
            let why = "an earlier row under the id is the job; this one is not run";
            let decision = Decision::new(Code::JobElsewhere, Subject::Job, &row.key, why);
            self.shared.log_decision(decision);
            return;
        }
        self.send(Event::GuestIntake(row));
        for cancel in cancels.unwrap_or_default() {
            self.send(Event::Intake(cancel));
        }
    }

    /// Reads the job's other partition; `None` if the pool is not owned any more.
    async fn read_others(&self, pool: &str, row: &StoredRow) -> Option<Vec<StoredRow>> {
        let part = other_part(&row.part, &row.key);
        let range = Range {
            from: row.key.clone(),
            until: format!("{}~", row.key),
            rows_max: 0,
        };
        let mut backoff = Backoff::new(PAUSE_MS, PAUSE_MAX_MS);
        while self.owns(pool) {
            let read = self
                .platform
                .scan(Table::Intake, &part, range.clone(), TX_TIMEOUT_MS);
            if let Ok(scan) = read.await {
                return Some(scan.rows);
            }
            Timer::after(Duration::from_millis(backoff.next_pause_ms())).await;
        }
        None
    }
}
