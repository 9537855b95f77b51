//! The faults of a day: drawn by the seed, in series and overlapping, each ended after its time.

use std::time::{Duration, Instant};

use fastrand::Rng;
use nix::sys::signal::Signal;

use super::proxy::Trouble;
use super::rare::{parts_from, Rare, Rares};
use super::Stage;
use standin::fleet::{HallCut, OrderFault, StoreFault};

/// With one in so many faults, all open connections go silent, too: a few times in a day of 10 s.
const SILENCE_ONE_IN: u32 = 6;

/// A host whose worker left has the next one after so long.
const BACK_MS: u64 = 1_000;

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Wake(usize),
    Start(usize),
    MendStorePath(usize),
    MendWorkerPath(usize),
    MendStore,
    MendOrders,
    MendParts,
    JoinHalls,
    List(usize),
    End(usize),
    NewIds,
}

/// Faults that are under way.
pub(crate) struct Faults {
    rng: Rng,
    /// Draws of their own: seeds that failed before there were such faults play the others as they did.
    silences: Rng,
    rares: Rares,
    /// The owner is to stand still for so long once a renewal of it is on its way.
    freeze_ms: Option<u64>,
    due: Vec<(Instant, Undo)>,
    killed: Vec<bool>,
    /// What happened, a line each.
    pub(crate) told: Vec<String>,
    waves: u64,
    began: Instant,
}

impl Faults {
    /// None yet.
    pub(crate) fn new(seed: u64, entries: usize) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            silences: Rng::with_seed(!seed),
            rares: Rares::new(seed),
            freeze_ms: None,
            due: Vec::new(),
            killed: vec![false; entries],
            told: Vec::new(),
            waves: 0,
            began: Instant::now(),
        }
    }

    fn later(&mut self, ms: u64, undo: Undo) {
        self.due
            .push((Instant::now() + Duration::from_millis(ms), undo));
    }

    fn tell(&mut self, what: String) {
        let at_ms = self.began.elapsed().as_millis();
        self.told.push(format!("{at_ms} ms: {what}"));
    }

    /// Pause until the next fault.
    pub(crate) fn pause(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(50..1_500))
    }

    /// Waves that were asked for.
    pub(crate) fn waves(&self) -> u64 {
        self.waves
    }

    /// Brings one fault.
    pub(crate) fn strike(&mut self, stage: &mut Stage) {
        let n = self.rng.usize(..stage.entries.len());
        let ms = self.rng.u64(200..5_000);
        if self.silences.u32(..SILENCE_ONE_IN) == 0 {
            self.deafen(stage);
        }
        for (rare, ms) in self.rares.draw() {
            self.bring(stage, rare, ms);
        }
        match self.rng.u32(..13) {
            0 => self.kill(stage, n, ms),
            1 => {
                for n in 0..stage.entries.len() {
                    self.kill(stage, n, ms.min(1_500));
                }
            }
            2 => self.freeze(stage, n, ms),
            3 | 4 => self.stop(stage, n),
            5 | 6 => self.store_path(stage, n, ms),
            7 | 8 => self.worker_path(stage, ms),
            9 => self.store(stage, ms),
            10 => {
                let fault = OrderFault {
                    lost: self.rng.u32(..30),
                    late: self.rng.u32(..30),
                    ..OrderFault::default()
                };
                stage.fleet.set_order_fault(fault);
                self.tell(format!("{fault:?} for {ms} ms"));
                self.later(ms, Undo::MendOrders);
            }
            11 => {
                let host = self.rng.usize(..stage.workers.len());
                stage.fleet.crash(host, ms);
                self.tell(format!("host {host} crashes, back after {ms} ms"));
            }
            _ => {
                stage.change_config();
                self.tell(format!("configuration {}", stage.version));
                if self.waves < 3 && self.rng.bool() {
                    self.waves += 1;
                    let most = self.rng.usize(1..4);
                    stage.fleet.begin_wave(self.waves, 30, most);
                    self.tell(format!("wave {}, {most} at once", self.waves));
                }
            }
        }
    }

    /// Brings one that came later than the others.
    fn bring(&mut self, stage: &mut Stage, rare: Rare, ms: u64) {
        self.tell(format!("{rare:?} for {ms} ms"));
        match rare {
            Rare::Dawn(fault) => {
                for n in 0..stage.entries.len() {
                    self.kill(stage, n, 0);
                }
                self.break_store(stage, fault, ms);
            }
            Rare::Bounce(fault) => {
                if let Some(n) = stage.owner() {
                    self.kill(stage, n, 0);
                }
                self.hold_up(stage, fault, ms);
            }
            Rare::HalfCut(fault) => {
                let host = ms as usize % stage.workers.len();
                stage.workers[host].set(Trouble::OneWay);
                self.later(ms, Undo::MendWorkerPath(host));
                self.hold_up(stage, fault, ms);
            }
            Rare::Belated => self.break_store(stage, StoreFault::Belated, ms),
            Rare::FrozenRenewal => {
                self.freeze_ms = Some(ms);
                stage.fleet.trap_renewal();
            }
            Rare::Reborn(listed_ms) => {
                let host = ms as usize % stage.workers.len();
                stage.fleet.crash_listed(host, ms % 50, listed_ms);
            }
            Rare::Halls(cut) => self.cut_halls(stage, cut, ms),
            Rare::OwnerAlone => {
                self.cut_halls(stage, HallCut::BothWays, ms);
                for n in stage.hall_of_owner() {
                    stage.calm.disturb(n, ms);
                    stage.store_paths[n].set(Trouble::Silence);
                    self.later(ms, Undo::MendStorePath(n));
                }
            }
            Rare::Parts(first) => {
                stage.calm.disturb_all(ms);
                stage.fleet.set_parts_away(&parts_from(first));
                self.later(ms, Undo::MendParts);
            }
            Rare::Handover => {
                if let Some(n) = stage.owner() {
                    self.stop(stage, n);
                }
            }
            Rare::Lapse(back_ms) => {
                self.break_store(stage, StoreFault::Busy, ms);
                for host in 0..stage.workers.len() {
                    stage.fleet.unlist(host);
                    self.later(ms + back_ms, Undo::List(host));
                }
            }
            Rare::Withdrawn => {
                let host = ms as usize % stage.workers.len();
                stage.fleet.unlist(host);
                self.later(ms, Undo::End(host));
            }
            Rare::Restarts(count, back_ms) => {
                let first = ms as usize;
                for n in 0..count.min(stage.workers.len()) {
                    stage
                        .fleet
                        .restart((first + n) % stage.workers.len(), back_ms);
                }
            }
            Rare::KeptIds => {
                stage.fleet.set_keeps_ids(true);
                self.later(ms, Undo::NewIds);
            }
        }
    }

    fn break_store(&mut self, stage: &mut Stage, fault: StoreFault, ms: u64) {
        stage.calm.disturb_all(ms);
        stage.fleet.set_fault(fault);
        self.later(ms, Undo::MendStore);
    }

    fn hold_up(&mut self, stage: &mut Stage, fault: OrderFault, ms: u64) {
        stage.fleet.set_order_fault(fault);
        self.later(ms, Undo::MendOrders);
    }

    fn cut_halls(&mut self, stage: &mut Stage, cut: HallCut, ms: u64) {
        stage.fleet.set_hall_cut(cut);
        self.later(ms, Undo::JoinHalls);
    }

    /// Stops the owner where a renewal that was lain in wait for is on its way.
    fn spring(&mut self, stage: &mut Stage) {
        if self.freeze_ms.is_none() || !stage.fleet.has_trapped() {
            return;
        }
        if let (Some(n), Some(ms)) = (stage.owner(), self.freeze_ms.take()) {
            self.freeze(stage, n, ms);
        }
    }

    fn kill(&mut self, stage: &mut Stage, n: usize, down_ms: u64) {
        stage.calm.disturb(n, down_ms);
        stage.entries[n].signal(Signal::SIGKILL);
        self.killed[n] = true;
        self.tell(format!("entry {n} is killed, down for {down_ms} ms"));
        self.later(down_ms, Undo::Start(n));
    }

    fn freeze(&mut self, stage: &mut Stage, n: usize, ms: u64) {
        stage.calm.disturb(n, ms);
        stage.entries[n].signal(Signal::SIGSTOP);
        self.tell(format!("entry {n} stands still for {ms} ms"));
        self.later(ms, Undo::Wake(n));
    }

    /// Planned: the entry must answer what it has read.
    fn stop(&mut self, stage: &mut Stage, n: usize) {
        stage.entries[n].signal(Signal::SIGTERM);
        self.tell(format!("entry {n} is told to stop"));
    }

    fn trouble(&mut self) -> Trouble {
        match self.rng.u32(..4) {
            0 => Trouble::Delay(self.rng.u64(20..400)),
            1 => Trouble::Silence,
            2 => Trouble::OneWay,
            _ => Trouble::Reset,
        }
    }

    fn store_path(&mut self, stage: &mut Stage, n: usize, ms: u64) {
        let trouble = self.trouble();
        stage.calm.disturb(n, ms);
        stage.store_paths[n].set(trouble);
        self.tell(format!("entry {n} to the store: {trouble:?} for {ms} ms"));
        self.later(ms, Undo::MendStorePath(n));
    }

    fn worker_path(&mut self, stage: &mut Stage, ms: u64) {
        let host = self.rng.usize(..stage.workers.len());
        let trouble = self.trouble();
        stage.workers[host].set(trouble);
        self.tell(format!("host {host}: {trouble:?} for {ms} ms"));
        self.later(ms, Undo::MendWorkerPath(host));
    }

    /// Every connection that is open between entries, the store and workers falls silent for good.
    fn deafen(&mut self, stage: &mut Stage) {
        stage.calm.disturb_all(0);
        let paths = stage.store_paths.iter().chain(&stage.workers);
        for path in paths {
            path.set(Trouble::Deaf);
        }
        self.tell("all open connections go silent".to_string());
    }

    fn store(&mut self, stage: &mut Stage, ms: u64) {
        let fault = match self.rng.u32(..5) {
            0 => StoreFault::Busy,
            1 => StoreFault::Mute,
            2 => StoreFault::Forgetful,
            3 => StoreFault::Slow(self.rng.u64(20..250)),
            _ => StoreFault::Lossy,
        };
        stage.calm.disturb_all(ms);
        stage.fleet.set_fault(fault);
        self.tell(format!("store: {fault:?} for {ms} ms"));
        self.later(ms, Undo::MendStore);
    }

    /// Ends faults whose time is over, and starts processes that have ended.
    pub(crate) fn tend(&mut self, stage: &mut Stage) -> std::io::Result<()> {
        let now = Instant::now();
        let (over, rest) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = rest;
        self.undo(stage, over)?;
        self.spring(stage);
        for n in 0..stage.entries.len() {
            if let Some(what) = stage.entries[n].ended(self.killed[n]) {
                stage.fleet.broken(what);
            }
            let is_due = |(_, undo): &(Instant, Undo)| matches!(undo, Undo::Start(m) if *m == n);
            if !stage.entries[n].runs() && !self.due.iter().any(is_due) {
                self.killed[n] = false;
                stage.entries[n].start(&stage.binary)?;
            }
        }
        Ok(())
    }

    /// Ends all faults.
    pub(crate) fn end(&mut self, stage: &mut Stage) -> std::io::Result<()> {
        let all = std::mem::take(&mut self.due);
        // Nobody looks for the end of a freeze that begins in the calm.
        self.freeze_ms = None;
        self.undo(stage, all)?;
        self.tell("calm".to_string());
        Ok(())
    }

    fn undo(&mut self, stage: &mut Stage, over: Vec<(Instant, Undo)>) -> std::io::Result<()> {
        for (_, undo) in over {
            match undo {
                Undo::Wake(n) => stage.entries[n].signal(Signal::SIGCONT),
                // `tend` starts what does not run.
                Undo::Start(_) => {}
                Undo::MendStorePath(n) => stage.store_paths[n].set(Trouble::None),
                Undo::MendWorkerPath(n) => stage.workers[n].set(Trouble::None),
                Undo::MendStore => stage.fleet.set_fault(StoreFault::None),
                Undo::MendParts => stage.fleet.set_parts_away(&[]),
                Undo::List(host) => stage.fleet.relist(host),
                Undo::End(host) => stage.fleet.crash(host, BACK_MS),
                Undo::NewIds => stage.fleet.set_keeps_ids(false),
                Undo::JoinHalls => stage.fleet.set_hall_cut(HallCut::None),
                Undo::MendOrders => stage.fleet.set_order_fault(OrderFault::default()),
            }
        }
        Ok(())
    }
}
