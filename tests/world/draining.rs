//! Workers that announce their end.

use super::*;

impl World {
    /// Makes a worker announce its end. Its runs continue for `serve_ms`, and it accepts starts until then. The host's
    /// next instance starts `back_after_ms` later.
    pub(crate) fn drain_worker(&mut self, id: &str, serve_ms: u64, back_after_ms: u64) {
        if !self.announce_end(id) {
            return;
        }
        let host = self.workers[id].info.host.clone();
        self.schedule(serve_ms, TimedEvent::DrainEnds(id.to_string()));
        self.schedule(serve_ms + back_after_ms, TimedEvent::UpkeepOver(host));
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
}
