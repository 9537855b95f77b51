//! Experiment that compares routing strategies in a discrete-event simulation without noise: 9 entries, 50 backend
//! servers of 8 slots. Run by the `routes` command.
//!
//! The strategy that the entry uses runs through the entry's own code (`rockwick::core::route`, `health`, `retry`).
//! The other strategies exist only here, as baselines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bpaf::{construct, long, Parser};
use hdrhistogram::Histogram;
use rockwick::core::health::{may_eject, share_percent, ExchangeOutcome, Health};
use rockwick::core::retry::{Cost, RetryBudget};
use rockwick::core::route::{pick_candidate, Candidate, Window};

const ENTRIES: usize = 9;
const BACKENDS: usize = 50;
const SLOTS: u32 = 8;
const HALLS: usize = 4;

/// Mean of the exponential service time of a request at a healthy backend server.
const WORK_US: f64 = 20_000.0;
/// One-way network delay between an entry and a backend server.
const HOP_US: u64 = 250;
/// Longest time that a request waits for a slot.
const WAIT_MAX_US: u64 = 2_000_000;
/// Time until a request to a hanging backend server fails.
const HANG_US: u64 = 1_000_000;
/// Interval between digests of peers, and so their greatest age.
const DIGEST_US: u64 = 1_000_000;
/// Time at the start whose requests are not counted.
const WARM_UP_US: u64 = 3_000_000;
/// Time in which requests arrive.
const ARRIVALS_US: u64 = 20_000_000;

#[derive(Clone, Debug)]
pub(crate) struct Args {
    seeds: u64,
}

pub(crate) fn args() -> impl Parser<Args> {
    let seeds = long("seeds")
        .help("Seeds per strategy and load")
        .argument("N")
        .fallback(3);
    construct!(Args { seeds })
}

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Random,
    RoundRobin,
    /// (a) Each entry has a fixed share of the slots and picks the least loaded backend server.
    FixedShare,
    /// (b) Power of two choices by the entry's own requests in flight plus those in the peers' last digests.
    TwoWithDigests,
    /// (c) As in the entry: power of two choices within a window that refusals shrink, with a retry budget.
    Windows,
}

const STRATEGIES: [(Strategy, &str); 5] = [
    (Strategy::Random, "random"),
    (Strategy::RoundRobin, "round robin"),
    (Strategy::FixedShare, "(a) fixed share, least loaded"),
    (Strategy::TwoWithDigests, "(b) two choices, peers' digests"),
    (
        Strategy::Windows,
        "(c) two choices in windows, retry in budget",
    ),
];

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    None,
    OneSlow,
    OneFails,
    OneHangs,
    HallGone,
}

const SCENARIOS: [(Scenario, &str); 5] = [
    (Scenario::None, "healthy"),
    (Scenario::OneSlow, "one 10 times slower"),
    (Scenario::OneFails, "one fails all at once"),
    (Scenario::OneHangs, "one hangs"),
    (Scenario::HallGone, "a hall gone"),
];

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    AtBackend {
        req: usize,
        backend: usize,
    },
    Answer {
        req: usize,
        backend: usize,
        outcome: u8,
    },
    Digest,
    SendQueued {
        entry: usize,
    },
}

const GOOD: u8 = 0;
const FULL: u8 = 1;
const BAD: u8 = 2;

struct Req {
    entry: usize,
    arrived_us: u64,
    attempts: u32,
    tried: Vec<usize>,
    /// Whether its next attempt has been charged to the retry budget.
    is_paid: bool,
    cost: Cost,
}

struct View {
    in_flight: u32,
    window: Window,
    health: Health,
}

struct EntrySide {
    views: Vec<View>,
    /// Requests of the other entries in flight at each backend server, as of the last digests.
    peers_in_flight: Vec<u32>,
    queue: Vec<usize>,
    budget: RetryBudget,
    next: usize,
}

#[derive(Default, Clone)]
struct Figures {
    offered: u64,
    good: u64,
    failed: u64,
    refused: u64,
    attempts: u64,
    over_slots: u64,
}

struct Sim {
    strategy: Strategy,
    scenario: Scenario,
    rng: fastrand::Rng,
    now_us: u64,
    /// Number of the last event; orders events at the same time.
    event_number: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Slots in use at each backend server.
    used_slots: Vec<u32>,
    entries: Vec<EntrySide>,
    reqs: Vec<Req>,
    gap_us: f64,
    figures: Figures,
    times: Histogram<u64>,
}

impl Sim {
    fn new(strategy: Strategy, scenario: Scenario, load: f64, seed: u64) -> Option<Self> {
        let capacity_per_us = f64::from(SLOTS) * BACKENDS as f64 / WORK_US;
        let entry = || EntrySide {
            views: (0..BACKENDS)
                .map(|_| View {
                    in_flight: 0,
                    window: Window::new(SLOTS, ENTRIES),
                    health: Health::default(),
                })
                .collect(),
            peers_in_flight: vec![0; BACKENDS],
            queue: Vec::new(),
            budget: RetryBudget::new(),
            next: 0,
        };
        let mut sim = Self {
            strategy,
            scenario,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            event_number: 0,
            events: BinaryHeap::new(),
            used_slots: vec![0; BACKENDS],
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            reqs: Vec::new(),
            gap_us: 1.0 / (capacity_per_us * load),
            figures: Figures::default(),
            times: Histogram::new_with_bounds(1, 60_000_000, 3).ok()?,
        };
        sim.push(0, Event::Arrive);
        sim.push(DIGEST_US, Event::Digest);
        for entry in 0..ENTRIES {
            sim.push(50_000, Event::SendQueued { entry });
        }
        Some(sim)
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((at_us, self.event_number, event)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64
    }

    fn is_measured(&self) -> bool {
        self.now_us > WARM_UP_US
    }

    fn run(mut self) -> (Figures, Histogram<u64>) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            match event {
                Event::Arrive => self.handle_arrival(),
                Event::AtBackend { req, backend } => self.arrive_at_backend(req, backend),
                Event::Answer {
                    req,
                    backend,
                    outcome,
                } => self.handle_answer(req, backend, outcome),
                Event::Digest => self.update_digests(),
                Event::SendQueued { entry } => {
                    self.send_queued(entry);
                    if self.now_us < ARRIVALS_US + WAIT_MAX_US {
                        self.push(self.now_us + 50_000, Event::SendQueued { entry });
                    }
                }
            }
        }
        (self.figures, self.times)
    }

    fn handle_arrival(&mut self) {
        if self.now_us >= ARRIVALS_US {
            return;
        }
        let gap = self.exponential(self.gap_us);
        self.push(self.now_us + gap, Event::Arrive);
        let entry = self.rng.usize(..ENTRIES);
        let req = self.reqs.len();
        self.reqs.push(Req {
            entry,
            arrived_us: self.now_us,
            attempts: 0,
            tried: Vec::new(),
            is_paid: true,
            cost: Cost::Refused,
        });
        if self.is_measured() {
            self.figures.offered += 1;
        }
        self.entries[entry].budget.earn();
        if !self.entries[entry].queue.is_empty() || !self.try_send(req) {
            self.entries[entry].queue.push(req);
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn is_excluded(&self, entry: usize, backend: usize, req: usize) -> bool {
        let v = &self.entries[entry].views[backend];
        v.health.unavailable_until_ms() > self.now_ms() || self.reqs[req].tried.contains(&backend)
    }

    fn choose_backend(&mut self, req: usize) -> Option<usize> {
        let entry = self.reqs[req].entry;
        let now_ms = self.now_ms();
        match self.strategy {
            Strategy::Random => Some(self.rng.usize(..BACKENDS)),
            Strategy::RoundRobin => {
                let e = &mut self.entries[entry];
                e.next = (e.next + 1) % BACKENDS;
                Some(e.next)
            }
            Strategy::FixedShare => {
                let share = (SLOTS / ENTRIES as u32).max(1);
                let start = self.rng.usize(..BACKENDS);
                let e = &self.entries[entry];
                (0..BACKENDS)
                    .map(|n| (start + n) % BACKENDS)
                    .filter(|b| !self.is_excluded(entry, *b, req) && e.views[*b].in_flight < share)
                    .min_by_key(|b| e.views[*b].in_flight)
            }
            Strategy::TwoWithDigests => {
                let mut rng = fastrand::Rng::with_seed(self.rng.u64(..));
                let candidate = |b: usize| {
                    let peers_in_flight = self.entries[entry].peers_in_flight[b];
                    Candidate {
                        in_flight: self.entries[entry].views[b].in_flight + peers_in_flight,
                        window: SLOTS,
                        is_excluded: self.is_excluded(entry, b, req),
                        is_same_hall: true,
                    }
                };
                pick_candidate(BACKENDS, candidate, &mut rng)
            }
            Strategy::Windows => {
                let mut rng = fastrand::Rng::with_seed(self.rng.u64(..));
                let candidate = |b: usize| {
                    let v = &self.entries[entry].views[b];
                    let share = share_percent(v.health.ejected_until_ms(), now_ms) as u32;
                    Candidate {
                        in_flight: v.in_flight,
                        window: (v.window.size() * share / 100).max(1),
                        is_excluded: self.is_excluded(entry, b, req),
                        is_same_hall: true,
                    }
                };
                pick_candidate(BACKENDS, candidate, &mut rng)
            }
        }
    }

    fn try_send(&mut self, req: usize) -> bool {
        let Some(backend) = self.choose_backend(req) else {
            return false;
        };
        let entry = self.reqs[req].entry;
        self.entries[entry].views[backend].in_flight += 1;
        self.reqs[req].attempts += 1;
        if self.is_measured() {
            self.figures.attempts += 1;
        }
        self.push(self.now_us + HOP_US, Event::AtBackend { req, backend });
        true
    }

    fn arrive_at_backend(&mut self, req: usize, backend: usize) {
        let first = backend == 0;
        let gone = self.scenario == Scenario::HallGone && backend.is_multiple_of(HALLS);
        let answer = |at_us, outcome| {
            (
                at_us,
                Event::Answer {
                    req,
                    backend,
                    outcome,
                },
            )
        };
        let (at_us, event) = if gone || (first && self.scenario == Scenario::OneFails) {
            answer(self.now_us + HOP_US, BAD)
        } else if first && self.scenario == Scenario::OneHangs {
            answer(self.now_us + HANG_US, BAD)
        } else if self.used_slots[backend] >= SLOTS {
            if self.is_measured() {
                self.figures.over_slots += 1;
            }
            answer(self.now_us + HOP_US, FULL)
        } else {
            self.used_slots[backend] += 1;
            let slow = first && self.scenario == Scenario::OneSlow;
            let mean = if slow { WORK_US * 10.0 } else { WORK_US };
            let took = self.exponential(mean);
            answer(self.now_us + took + HOP_US, GOOD)
        };
        self.push(at_us, event);
    }

    fn handle_answer(&mut self, req: usize, backend: usize, outcome: u8) {
        let entry = self.reqs[req].entry;
        if outcome == GOOD {
            self.used_slots[backend] -= 1;
        }
        self.record_outcome(entry, backend, outcome);
        match outcome {
            GOOD => {
                if self.is_measured() {
                    self.figures.good += 1;
                    let took = self.now_us - self.reqs[req].arrived_us;
                    self.times.saturating_record(took);
                }
            }
            _ => self.queue_retry(req, backend, outcome),
        }
        self.send_queued(entry);
    }

    fn record_outcome(&mut self, entry: usize, backend: usize, outcome: u8) {
        let now_ms = self.now_ms();
        let has_windows = self.strategy == Strategy::Windows;
        let out = |v: &View| v.health.is_ejected(now_ms);
        let ejected = self.entries[entry].views.iter().filter(|v| out(v)).count();
        let v = &mut self.entries[entry].views[backend];
        let at_window = v.in_flight >= v.window.size();
        v.in_flight -= 1;
        let exchange_outcome = match outcome {
            GOOD => ExchangeOutcome::Good,
            FULL => ExchangeOutcome::Full,
            _ => ExchangeOutcome::Bad,
        };
        if has_windows && exchange_outcome == ExchangeOutcome::Full {
            v.window.shrink();
        }
        if has_windows && exchange_outcome == ExchangeOutcome::Good && at_window {
            v.window.grow();
        }
        // The two-choice strategies and the fixed share track health; random and round robin do not.
        if !matches!(self.strategy, Strategy::Random | Strategy::RoundRobin) {
            v.health
                .record_outcome(exchange_outcome, may_eject(ejected, BACKENDS), now_ms);
        }
    }

    /// Queues a refused or failed request for a retry at another backend server, if the strategy retries: at once while
    /// the budget lasts, else when the budget allows the next retry. Gives up the request otherwise.
    fn queue_retry(&mut self, req: usize, backend: usize, outcome: u8) {
        let entry = self.reqs[req].entry;
        let is_late = self.now_us - self.reqs[req].arrived_us > WAIT_MAX_US;
        if is_late || self.strategy != Strategy::Windows {
            self.give_up(outcome);
            return;
        }
        self.reqs[req].tried.push(backend);
        self.reqs[req].is_paid = false;
        self.reqs[req].cost = if outcome == FULL {
            Cost::Refused
        } else {
            Cost::Lost
        };
        self.entries[entry].queue.insert(0, req);
    }

    /// Returns whether a request may be attempted now; charges a retry to the budget.
    fn may_attempt(&mut self, req: usize) -> bool {
        let entry = self.reqs[req].entry;
        if !self.reqs[req].is_paid {
            let cost = self.reqs[req].cost;
            self.reqs[req].is_paid = self.entries[entry].budget.spend(cost, self.now_us / 1_000);
        }
        self.reqs[req].is_paid
    }

    fn give_up(&mut self, outcome: u8) {
        if !self.is_measured() {
            return;
        }
        match outcome {
            BAD => self.figures.failed += 1,
            _ => self.figures.refused += 1,
        }
    }

    /// Sends queued requests for which there is a slot. Requests that wait for the retry budget do not block others.
    fn send_queued(&mut self, entry: usize) {
        let mut at = 0;
        while let Some(req) = self.entries[entry].queue.get(at).copied() {
            if self.now_us - self.reqs[req].arrived_us > WAIT_MAX_US {
                self.entries[entry].queue.remove(at);
                self.give_up(FULL);
            } else if !self.may_attempt(req) {
                at += 1;
            } else if self.try_send(req) {
                self.entries[entry].queue.remove(at);
            } else {
                return;
            }
        }
    }

    fn update_digests(&mut self) {
        for e in 0..ENTRIES {
            for b in 0..BACKENDS {
                let others = (0..ENTRIES).filter(|o| *o != e);
                let sum = others.map(|o| self.entries[o].views[b].in_flight).sum();
                self.entries[e].peers_in_flight[b] = sum;
            }
        }
        if self.now_us < ARRIVALS_US {
            self.push(self.now_us + DIGEST_US, Event::Digest);
        }
    }
}

pub(crate) fn run(args: Args) -> Result<(), String> {
    println!(
        "{ENTRIES} entries, {BACKENDS} backend servers of {SLOTS} slots, 20 ms mean work, {} seeds",
        args.seeds
    );
    let healthy = [0.5, 0.8, 0.95, 1.2].map(|l| (Scenario::None, "healthy", l));
    let faulty = SCENARIOS[1..].iter().map(|(t, name)| (*t, *name, 0.8));
    for (scenario, name, load) in healthy.into_iter().chain(faulty) {
        println!("\n{name}, {:.0}% load", load * 100.0);
        println!("| Way | p50 ms | p99 ms | p99.9 ms | served % | refused % | failed % | attempts/request | over slots/request |");
        println!("|---|---|---|---|---|---|---|---|---|");
        for (strategy, label) in STRATEGIES {
            let mut all = Figures::default();
            let mut times =
                Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
            for seed in 0..args.seeds {
                let sim = Sim::new(strategy, scenario, load, seed).ok_or("histogram")?;
                let (f, t) = sim.run();
                times.add(t).map_err(|e| e.to_string())?;
                all.offered += f.offered;
                all.good += f.good;
                all.failed += f.failed;
                all.refused += f.refused;
                all.attempts += f.attempts;
                all.over_slots += f.over_slots;
            }
            let ms = |q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
            let share = |n: u64| n as f64 / all.offered as f64;
            println!(
                "| {label} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.2} | {:.3} | {:.3} |",
                ms(0.5),
                ms(0.99),
                ms(0.999),
                100.0 * share(all.good),
                100.0 * share(all.refused),
                100.0 * share(all.failed),
                share(all.attempts),
                share(all.over_slots)
            );
        }
    }
    Ok(())
}
