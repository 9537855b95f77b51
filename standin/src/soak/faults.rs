//! Fault injection for the soak: draws faults from the seed, starts them one after the other so that they may
//! overlap, and ends each when its time is over. The main loop of the soak calls it.

use std::time::{Duration, Instant};

use fastrand::Rng;
use nix::sys::signal::Signal;

use super::planned::{self, Planned};
use super::proxy::LinkFault;
use super::rare::{partitions_from, RareFault, RareFaults};
use super::recuts::{self, Recuts};
use super::Cluster;
use standin::fleet::{HallCut, OrderFault, StoreFault};

/// One fault in this many also silences all open connections: a few times in a run of 10 s.
const SILENCE_ONE_IN: u32 = 6;

/// Largest number of waves in a run.
const WAVES_MAX: u64 = 3;

/// Time until a host whose worker has left starts its next worker.
const RESTART_MS: u64 = 1_000;

/// Names which faults are injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Scope {
    /// All of them.
    #[default]
    All,
    /// Faults of workers and of orders to them.
    Workers,
    /// Series of workers that restart under their ids and are cut off, among kills of the owner.
    Recuts,
    /// Planned work alone.
    Planned,
}

/// Names a step of a series.
#[derive(Clone, Copy, Debug)]
enum Step {
    Recut(recuts::Step),
    Planned(planned::Step),
}

/// Names the action that ends a fault; a number is that of the entry or host.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    ResumeEntry(usize),
    StartEntry(usize),
    RestoreStorePath(usize),
    RestoreWorkerPath(usize),
    RestoreStore,
    RestoreOrders,
    RestorePartitions,
    ReconnectHalls,
    RelistWorker(usize),
    CrashWorker(usize),
    UseNewIds,
}

/// Holds the faults in progress and the random draws for the next ones.
pub(crate) struct Faults {
    rng: Rng,
    /// Separate generator, so that saved seeds draw the other faults as before.
    silence_rng: Rng,
    rare_faults: RareFaults,
    /// Time to suspend the owner for, once the answer to its renewal is on its way.
    suspend_ms: Option<u64>,
    /// Faults in progress: when each ends, and the action that ends it.
    due: Vec<(Instant, Recovery)>,
    /// Entries that were killed and not restarted yet, whose exit is therefore expected.
    killed: Vec<bool>,
    /// One line per event, for the report.
    pub(crate) events: Vec<String>,
    /// Steps of series that are still to come: when, and the step.
    steps: Vec<(Instant, Step)>,
    recuts: Recuts,
    planned: Planned,
    scope: Scope,
    waves: u64,
    drains: u64,
    began: Instant,
}

impl Faults {
    /// Creates the injector, with no fault in progress.
    pub(crate) fn new(seed: u64, entries: usize, drain_one_in: u32) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            silence_rng: Rng::with_seed(!seed),
            rare_faults: RareFaults::new(seed, drain_one_in),
            suspend_ms: None,
            due: Vec::new(),
            killed: vec![false; entries],
            events: Vec::new(),
            steps: Vec::new(),
            recuts: Recuts::new(seed),
            planned: Planned::new(seed),
            scope: Scope::default(),
            waves: 0,
            drains: 0,
            began: Instant::now(),
        }
    }

    /// Limits the faults to this scope.
    pub(crate) fn with_scope(self, scope: Scope) -> Self {
        Self { scope, ..self }
    }

    fn end_after(&mut self, ms: u64, recovery: Recovery) {
        self.due
            .push((Instant::now() + Duration::from_millis(ms), recovery));
    }

    fn record(&mut self, what: String) {
        let at_ms = self.began.elapsed().as_millis();
        self.events.push(format!("{at_ms} ms: {what}"));
    }

    /// Draws the pause until the next fault.
    pub(crate) fn draw_pause(&mut self) -> Duration {
        match self.scope {
            Scope::Recuts => self.recuts.draw_pause(),
            Scope::Planned => self.planned.draw_pause(),
            _ => Duration::from_millis(self.rng.u64(50..1_500)),
        }
    }

    /// Returns the number of waves that were requested.
    pub(crate) fn waves(&self) -> u64 {
        self.waves
    }

    /// Returns the number of workers that were told to announce their end.
    pub(crate) fn drains(&self) -> u64 {
        self.drains
    }

    /// Injects the next fault, and the rare faults that are drawn with it.
    pub(crate) fn inject_next(&mut self, cluster: &mut Cluster) {
        let n = self.rng.usize(..cluster.entries.len());
        let ms = self.rng.u64(200..5_000);
        match self.scope {
            Scope::All => {}
            Scope::Workers => return self.inject_worker_fault(cluster, ms),
            Scope::Recuts => {
                let series = self.recuts.draw(cluster.worker_paths.len());
                return self.plan_series(series, Step::Recut);
            }
            Scope::Planned => {
                let series = self.planned.draw(cluster.entries.len());
                return self.plan_series(series, Step::Planned);
            }
        }
        if self.silence_rng.u32(..SILENCE_ONE_IN) == 0 {
            self.silence_connections(cluster);
        }
        for (rare_fault, ms) in self.rare_faults.draw() {
            self.inject_rare(cluster, rare_fault, ms);
        }
        match self.rng.u32(..13) {
            0 => self.kill(cluster, n, ms),
            1 => {
                for n in 0..cluster.entries.len() {
                    self.kill(cluster, n, ms.min(1_500));
                }
            }
            2 => self.suspend(cluster, n, ms),
            3 | 4 => self.stop(cluster, n),
            5 | 6 => self.break_store_path(cluster, n, ms),
            7 | 8 => self.break_worker_path(cluster, ms),
            9 => self.inject_store_fault(cluster, ms),
            10 => self.lose_orders(cluster, 30, ms),
            11 => self.crash_worker(cluster, ms),
            _ => {
                self.change_config(cluster);
                if self.waves < WAVES_MAX && self.rng.bool() {
                    let hosts_max = self.rng.usize(1..4);
                    self.begin_wave(cluster, hosts_max);
                }
            }
        }
    }

    /// Injects a fault of workers or of orders to them: mostly drains while orders get no answers.
    fn inject_worker_fault(&mut self, cluster: &mut Cluster, ms: u64) {
        match self.rng.u32(..8) {
            0 => self.crash_worker(cluster, ms),
            1..=3 => self.lose_orders(cluster, 95, ms),
            _ => self.inject_rare(cluster, RareFault::Drain(3_000 + 2 * ms), ms),
        }
    }

    fn change_config(&mut self, cluster: &mut Cluster) {
        let version = cluster.change_config();
        self.record(format!("configuration {version}"));
    }

    fn begin_wave(&mut self, cluster: &Cluster, hosts_max: usize) {
        self.waves += 1;
        cluster.fleet.begin_wave(self.waves, 30, hosts_max);
        self.record(format!("wave {}, {hosts_max} at once", self.waves));
    }

    /// Plans the steps of a series, given with their times from now in milliseconds.
    fn plan_series<T>(&mut self, series: Vec<(u64, T)>, to_step: impl Fn(T) -> Step) {
        let now = Instant::now();
        let steps = series
            .into_iter()
            .map(|(after_ms, step)| (now + Duration::from_millis(after_ms), to_step(step)));
        self.steps.extend(steps);
    }

    fn take_step(&mut self, cluster: &mut Cluster, step: Step) {
        match step {
            Step::Recut(step) => self.take_recut_step(cluster, step),
            Step::Planned(step) => self.take_planned_step(cluster, step),
        }
    }

    fn take_planned_step(&mut self, cluster: &mut Cluster, step: planned::Step) {
        match step {
            planned::Step::Stop(n) => self.stop(cluster, n),
            planned::Step::Reload(n) => {
                cluster.entries[n].signal(Signal::SIGHUP);
                self.record(format!("entry {n} is told to reload"));
            }
            planned::Step::ChangeConfig => self.change_config(cluster),
            planned::Step::BeginWave(hosts_max) if self.waves < WAVES_MAX => {
                self.begin_wave(cluster, hosts_max);
            }
            planned::Step::BeginWave(_) => {}
        }
    }

    fn take_recut_step(&mut self, cluster: &mut Cluster, step: recuts::Step) {
        self.record(format!("{step:?}"));
        match step {
            recuts::Step::DelayOrders(fault, ms) => self.delay_orders(cluster, fault, ms),
            recuts::Step::Restart(host, back_ms) => cluster.fleet.restart(host, back_ms),
            recuts::Step::Cut(host, link_fault, ms) => {
                cluster.worker_disturbances.disturb(host, ms);
                cluster.worker_paths[host].set(link_fault);
                self.end_after(ms, Recovery::RestoreWorkerPath(host));
            }
            recuts::Step::KillOwner(down_ms) => {
                if let Some(n) = cluster.owner() {
                    self.kill(cluster, n, down_ms);
                }
            }
        }
    }

    /// Loses and delays up to `percent` each of the orders to workers.
    fn lose_orders(&mut self, cluster: &mut Cluster, percent: u32, ms: u64) {
        let fault = OrderFault {
            lost: self.rng.u32(..percent),
            late: self.rng.u32(..percent),
            ..OrderFault::default()
        };
        self.record(format!("{fault:?} for {ms} ms"));
        self.delay_orders(cluster, fault, ms);
    }

    fn crash_worker(&mut self, cluster: &mut Cluster, ms: u64) {
        let host = self.rng.usize(..cluster.worker_paths.len());
        cluster.fleet.crash(host, ms);
        self.record(format!("host {host} crashes, back after {ms} ms"));
    }

    /// Injects a rare fault for `ms` milliseconds.
    fn inject_rare(&mut self, cluster: &mut Cluster, rare_fault: RareFault, ms: u64) {
        self.record(format!("{rare_fault:?} for {ms} ms"));
        match rare_fault {
            RareFault::Dawn(fault) => {
                for n in 0..cluster.entries.len() {
                    self.kill(cluster, n, 0);
                }
                self.break_store(cluster, fault, ms);
            }
            RareFault::Bounce(fault) => {
                if let Some(n) = cluster.owner() {
                    self.kill(cluster, n, 0);
                }
                self.delay_orders(cluster, fault, ms);
            }
            RareFault::HalfCut(fault) => {
                let host = ms as usize % cluster.worker_paths.len();
                cluster.worker_disturbances.disturb(host, ms);
                cluster.worker_paths[host].set(LinkFault::OneWay);
                self.end_after(ms, Recovery::RestoreWorkerPath(host));
                self.delay_orders(cluster, fault, ms);
            }
            RareFault::Belated => self.break_store(cluster, StoreFault::Belated, ms),
            RareFault::FrozenRenewal => {
                self.suspend_ms = Some(ms);
                cluster.fleet.trap_renewal();
            }
            RareFault::Reborn(listed_ms) => {
                let host = ms as usize % cluster.worker_paths.len();
                cluster.fleet.crash_listed(host, ms % 50, listed_ms);
            }
            RareFault::Halls(cut) => self.cut_halls(cluster, cut, ms),
            RareFault::OwnerAlone => {
                self.cut_halls(cluster, HallCut::BothWays, ms);
                for n in cluster.hall_of_owner() {
                    cluster.disturbances.disturb(n, ms);
                    cluster.store_paths[n].set(LinkFault::Silence);
                    self.end_after(ms, Recovery::RestoreStorePath(n));
                }
            }
            RareFault::Parts(first) => {
                cluster.disturbances.disturb_all(ms);
                cluster.fleet.set_unavailable_parts(&partitions_from(first));
                self.end_after(ms, Recovery::RestorePartitions);
            }
            RareFault::Handover => {
                if let Some(n) = cluster.owner() {
                    self.stop(cluster, n);
                }
            }
            RareFault::Lapse(back_ms) => {
                self.break_store(cluster, StoreFault::Busy, ms);
                for host in 0..cluster.worker_paths.len() {
                    cluster.fleet.unlist(host);
                    self.end_after(ms + back_ms, Recovery::RelistWorker(host));
                }
            }
            RareFault::Withdrawn => {
                let host = ms as usize % cluster.worker_paths.len();
                cluster.fleet.unlist(host);
                self.end_after(ms, Recovery::CrashWorker(host));
            }
            RareFault::Restarts(count, back_ms) => {
                let first = ms as usize;
                for n in 0..count.min(cluster.worker_paths.len()) {
                    cluster
                        .fleet
                        .restart((first + n) % cluster.worker_paths.len(), back_ms);
                }
            }
            RareFault::Drain(serve_ms) => {
                let host = ms as usize % cluster.worker_paths.len();
                self.drains += 1;
                cluster.fleet.drain(host, serve_ms);
            }
            RareFault::KeptIds => {
                cluster.fleet.set_keeps_ids(true);
                self.end_after(ms, Recovery::UseNewIds);
            }
        }
    }

    fn break_store(&mut self, cluster: &mut Cluster, fault: StoreFault, ms: u64) {
        cluster.disturbances.disturb_all(ms);
        cluster.fleet.set_store_fault(fault);
        self.end_after(ms, Recovery::RestoreStore);
    }

    fn delay_orders(&mut self, cluster: &mut Cluster, fault: OrderFault, ms: u64) {
        cluster.fleet.set_order_fault(fault);
        self.end_after(ms, Recovery::RestoreOrders);
    }

    fn cut_halls(&mut self, cluster: &mut Cluster, cut: HallCut, ms: u64) {
        cluster.fleet.set_hall_cut(cut);
        self.end_after(ms, Recovery::ReconnectHalls);
    }

    /// Suspends the owner if the answer to its trapped renewal is on its way.
    fn suspend_at_renewal(&mut self, cluster: &mut Cluster) {
        if self.suspend_ms.is_none() || !cluster.fleet.take_trapped_renewal() {
            return;
        }
        if let (Some(n), Some(ms)) = (cluster.owner(), self.suspend_ms.take()) {
            self.suspend(cluster, n, ms);
        }
    }

    fn kill(&mut self, cluster: &mut Cluster, n: usize, down_ms: u64) {
        cluster.disturbances.disturb(n, down_ms);
        cluster.entries[n].signal(Signal::SIGKILL);
        self.killed[n] = true;
        self.record(format!("entry {n} is killed, down for {down_ms} ms"));
        self.end_after(down_ms, Recovery::StartEntry(n));
    }

    fn suspend(&mut self, cluster: &mut Cluster, n: usize, ms: u64) {
        cluster.disturbances.disturb(n, ms);
        cluster.entries[n].signal(Signal::SIGSTOP);
        self.record(format!("entry {n} stands still for {ms} ms"));
        self.end_after(ms, Recovery::ResumeEntry(n));
    }

    /// Stops an entry in an orderly way; it must still answer the requests that it has read.
    fn stop(&mut self, cluster: &mut Cluster, n: usize) {
        cluster.entries[n].signal(Signal::SIGTERM);
        self.record(format!("entry {n} is told to stop"));
    }

    fn draw_link_fault(&mut self) -> LinkFault {
        match self.rng.u32(..4) {
            0 => LinkFault::Delay(self.rng.u64(20..400)),
            1 => LinkFault::Silence,
            2 => LinkFault::OneWay,
            _ => LinkFault::Reset,
        }
    }

    fn break_store_path(&mut self, cluster: &mut Cluster, n: usize, ms: u64) {
        let link_fault = self.draw_link_fault();
        cluster.disturbances.disturb(n, ms);
        cluster.store_paths[n].set(link_fault);
        self.record(format!(
            "entry {n} to the store: {link_fault:?} for {ms} ms"
        ));
        self.end_after(ms, Recovery::RestoreStorePath(n));
    }

    fn break_worker_path(&mut self, cluster: &mut Cluster, ms: u64) {
        let host = self.rng.usize(..cluster.worker_paths.len());
        let link_fault = self.draw_link_fault();
        cluster.worker_disturbances.disturb(host, ms);
        cluster.worker_paths[host].set(link_fault);
        self.record(format!("host {host}: {link_fault:?} for {ms} ms"));
        self.end_after(ms, Recovery::RestoreWorkerPath(host));
    }

    /// Silences every open connection between entries, the store and workers for good.
    fn silence_connections(&mut self, cluster: &mut Cluster) {
        cluster.disturbances.disturb_all(0);
        let paths = cluster.store_paths.iter().chain(&cluster.worker_paths);
        for path in paths {
            path.set(LinkFault::Deaf);
        }
        self.record("all open connections go silent".to_string());
    }

    fn inject_store_fault(&mut self, cluster: &mut Cluster, ms: u64) {
        let fault = match self.rng.u32(..5) {
            0 => StoreFault::Busy,
            1 => StoreFault::Mute,
            2 => StoreFault::Forgetful,
            3 => StoreFault::Slow(self.rng.u64(20..250)),
            _ => StoreFault::Lossy,
        };
        cluster.disturbances.disturb_all(ms);
        cluster.fleet.set_store_fault(fault);
        self.record(format!("store: {fault:?} for {ms} ms"));
        self.end_after(ms, Recovery::RestoreStore);
    }

    /// Ends faults whose time is over, and restarts entries whose process has exited.
    pub(crate) fn tick(&mut self, cluster: &mut Cluster) -> std::io::Result<()> {
        let now = Instant::now();
        let (over, rest) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = rest;
        self.end_faults(cluster, over)?;
        let (due, rest): (Vec<_>, Vec<_>) = self.steps.drain(..).partition(|(at, _)| *at <= now);
        self.steps = rest;
        for (_, step) in due {
            self.take_step(cluster, step);
        }
        self.suspend_at_renewal(cluster);
        for n in 0..cluster.entries.len() {
            if let Some(what) = cluster.entries[n].reap(self.killed[n]) {
                cluster.fleet.report_broken(what);
            }
            let is_due =
                |(_, r): &(Instant, Recovery)| matches!(r, Recovery::StartEntry(m) if *m == n);
            if !cluster.entries[n].is_running() && !self.due.iter().any(is_due) {
                if self.killed[n] {
                    cluster.disturbances.disturb(n, 0);
                }
                self.killed[n] = false;
                cluster.entries[n].start(&cluster.binary)?;
            }
        }
        Ok(())
    }

    /// Ends all faults at once.
    pub(crate) fn end_all(&mut self, cluster: &mut Cluster) -> std::io::Result<()> {
        let all = std::mem::take(&mut self.due);
        // A fault that begins after the last one has ended may never be ended.
        self.suspend_ms = None;
        self.steps.clear();
        self.end_faults(cluster, all)?;
        self.record("calm".to_string());
        Ok(())
    }

    fn end_faults(
        &mut self,
        cluster: &mut Cluster,
        over: Vec<(Instant, Recovery)>,
    ) -> std::io::Result<()> {
        for (_, recovery) in over {
            match recovery {
                Recovery::ResumeEntry(n) => {
                    cluster.entries[n].signal(Signal::SIGCONT);
                    cluster.disturbances.disturb(n, 0);
                }
                // `tick` starts every entry that does not run.
                Recovery::StartEntry(_) => {}
                Recovery::RestoreStorePath(n) => {
                    cluster.store_paths[n].set(LinkFault::None);
                    cluster.disturbances.disturb(n, 0);
                }
                Recovery::RestoreWorkerPath(n) => {
                    cluster.worker_paths[n].set(LinkFault::None);
                    cluster.worker_disturbances.disturb(n, 0);
                }
                Recovery::RestoreStore => {
                    cluster.fleet.set_store_fault(StoreFault::None);
                    cluster.disturbances.disturb_all(0);
                }
                Recovery::RestorePartitions => {
                    cluster.fleet.set_unavailable_parts(&[]);
                    cluster.disturbances.disturb_all(0);
                }
                Recovery::RelistWorker(host) => cluster.fleet.relist(host),
                Recovery::CrashWorker(host) => cluster.fleet.crash(host, RESTART_MS),
                Recovery::UseNewIds => cluster.fleet.set_keeps_ids(false),
                Recovery::ReconnectHalls => cluster.fleet.set_hall_cut(HallCut::None),
                Recovery::RestoreOrders => cluster.fleet.set_order_fault(OrderFault::default()),
            }
        }
        Ok(())
    }
}
