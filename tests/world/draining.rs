//! Workers that announce their end, and the check that they get no starts once that is known.

use super::*;

/// An entry that is in touch starts nothing on a worker this long after the worker announced its end: the shortest
/// bound that the users' deployments state.
const DRAIN_MS: u64 = 2_000;

impl World {
    /// Makes a worker announce its end. Its runs continue for `serve_ms`, and it accepts starts until then. The host's
    /// next instance starts `back_after_ms` later.
    pub(crate) fn drain_worker(&mut self, id: &str, serve_ms: u64, back_after_ms: u64) {
        if !self.announce_end(id) {
            return;
        }
        let end = TimedEvent::PlannedEnd(id.to_string(), back_after_ms);
        self.schedule(serve_ms, end);
    }

    /// Marks a worker as draining in the list. Returns whether it is up and had not announced its end before.
    pub(super) fn announce_end(&mut self, id: &str) -> bool {
        let now_ms = self.now_ms;
        let up = self.workers.get_mut(id).filter(|w| w.is_up);
        let Some(w) = up.filter(|w| w.draining_since_ms.is_none()) else {
            return false;
        };
        w.info.is_draining = true;
        w.draining_since_ms = Some(now_ms);
        let info = w.info.clone();
        if std::env::var_os("ROCKWICK_SEED").is_some() {
            println!("{now_ms} {id} drains");
        }
        self.broadcast(&Event::Worker(WorkerEvent::Present(info)));
        true
    }

    /// Returns the delay of a worker's event to an entry. A feed keeps the order of changes, so the announcement of a
    /// worker's end arrives no earlier than what the worker stated before. Other events keep their drawn delay, so that
    /// older seeds play the same worlds.
    pub(super) fn keep_announcement_last(&mut self, n: usize, event: &Event, drawn_ms: u64) -> u64 {
        let Event::Worker(WorkerEvent::Present(info)) = event else {
            return drawn_ms;
        };
        let now_ms = self.now_ms;
        let last_ms = self
            .worker_events_at_ms
            .entry((n, info.id.clone()))
            .or_default();
        let delay_ms = match info.is_draining {
            true => drawn_ms.max(last_ms.saturating_sub(now_ms)),
            false => drawn_ms,
        };
        *last_ms = (*last_ms).max(now_ms + delay_ms);
        delay_ms
    }

    /// Ends a worker that announced its end, unless it has crashed since, and takes it out of the list. That is no crash
    /// of the tasks that run on it.
    pub(super) fn end_as_planned(&mut self, id: &str, back_after_ms: u64) {
        let draining = self.workers.get_mut(id).filter(|w| w.is_up);
        let Some(w) = draining.filter(|w| w.draining_since_ms.is_some()) else {
            return;
        };
        w.is_up = false;
        let host = w.info.host.clone();
        self.schedule(back_after_ms, TimedEvent::UpkeepOver(host));
        self.end_all_runs(id);
        self.unlisted.insert(id.to_string());
        self.broadcast(&Event::Worker(WorkerEvent::Gone(id.to_string())));
    }

    /// Checks that a worker on which a run starts has not announced its end too long ago.
    pub(super) fn check_draining(&mut self, id: &str, start: &RunStart) {
        let Some(since_ms) = self.workers[id].draining_since_ms else {
            return;
        };
        self.starts_while_draining += 1;
        let until_ms = since_ms + DRAIN_MS + self.worker_events_late_ms;
        assert!(
            !self.is_undisturbed() || self.now_ms < until_ms,
            "{} ms: {:?} starts as run {} on {id}, which drains since {since_ms} ms",
            self.now_ms,
            start.task,
            start.run
        );
    }
}
