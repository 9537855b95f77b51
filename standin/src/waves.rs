//! Experiment that runs waves over a simulated fleet with a simulated clock, decided by the real reducer, and compares
//! roll-out time, buffer and moves with baselines. Run by the `waves` command.

use std::collections::{BTreeMap, HashMap, HashSet};

use bpaf::{construct, long, Parser};
use rockwick::clock::{Millis, Now};
use rockwick::core::budget::Budget;
use rockwick::core::operate::Edit;
use rockwick::core::reduce::Ticket;
use rockwick::core::rows::{HostState, WaveState};
use rockwick::core::state::{EntryIdentity, Tuning};
use rockwick::core::{reduce, Effect, Event, State};
use rockwick::port::{
    Attempt, BackendInfo, HostInfo, HostStatus, Listing, OrderAnswer, Outcome, Reports, TaskRef,
    TaskReport, TaskState,
};
use standin::rows::Rows;

const MINUTE_MS: Millis = 60_000;
const HOUR_MS: Millis = 60 * MINUTE_MS;
const DAY_MS: Millis = 24 * HOUR_MS;

/// Simulated time between two ticks; a large fleet has longer steps, so that the run ends in reasonable time.
const STEP_MS: Millis = 10_000;
const LARGE_STEP_MS: Millis = 60_000;

/// Duration of a reboot with its maintenance.
const REBOOT_MS: Millis = 20 * MINUTE_MS;

/// Times until a failed host is repaired, a restarted host is back, and a lost rack is back.
const REPAIR_MS: Millis = 4 * HOUR_MS;
const RESTART_MS: Millis = 5 * MINUTE_MS;
const RACK_REPAIR_MS: Millis = 6 * HOUR_MS;

/// Longest simulated duration of a run; a longer run is stopped, and its figures up to then are reported as not done.
const RUN_MAX_MS: Millis = 30 * DAY_MS;

/// Largest number of events handled at one instant; more would mean an endless loop.
const CHAIN_MAX: usize = 20_000;

#[derive(Clone, Debug)]
pub(crate) struct Args {
    case: String,
    seeds: u64,
    svg: Option<String>,
}

pub(crate) fn args() -> impl Parser<Args> {
    let case = long("case")
        .help("Case to run: coop, trust, large or all")
        .argument("CASE")
        .fallback("all".to_string());
    let seeds = long("seeds")
        .help("Seeds per strategy")
        .argument("N")
        .fallback(5);
    let svg = long("svg")
        .help("File to draw the trade-off curve into")
        .argument("FILE")
        .optional();
    construct!(Args { case, seeds, svg })
}

/// Describes a fleet and its failures.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    hosts: usize,
    /// Groups of equal pools: the number of pools, the hosts of each, and how many of these must serve.
    pools: &'static [(usize, usize, usize)],
    fails_per_day: f64,
    restarts_per_day: f64,
    lose_rack: bool,
    jobs_per_pool: usize,
    /// Default pace of the user that the case stands for; the table marks it.
    pace_percent: u64,
}

const CASES: [Case; 3] = [
    Case {
        name: "coop",
        hosts: 50,
        pools: &[(5, 10, 7)],
        fails_per_day: 0.9,
        restarts_per_day: 6.8,
        lose_rack: true,
        jobs_per_pool: 10,
        pace_percent: 100,
    },
    Case {
        name: "trust",
        hosts: 50,
        pools: &[(5, 10, 7)],
        fails_per_day: 0.9,
        restarts_per_day: 6.8,
        lose_rack: true,
        jobs_per_pool: 10,
        pace_percent: 50,
    },
    Case {
        name: "large",
        hosts: 500,
        pools: &[(204, 2, 1), (22, 3, 1)],
        fails_per_day: 9.0,
        restarts_per_day: 68.0,
        lose_rack: true,
        jobs_per_pool: 2,
        pace_percent: 100,
    },
];

/// Names how hosts are chosen to leave.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// Rockwick's waves, at this pace in percent.
    Wave(u64),
    /// One host after the other.
    OneByOne,
    /// A tenth of each pool at once.
    Tenth,
}

impl Strategy {
    fn name(self) -> String {
        match self {
            Strategy::Wave(pace) => format!("wave, pace {pace}%"),
            Strategy::OneByOne => "one host at a time".to_string(),
            Strategy::Tenth => "fixed 10% of each pool".to_string(),
        }
    }
}

/// Holds the figures of a run.
#[derive(Clone, Copy, Default)]
struct Figures {
    done: bool,
    hours: f64,
    /// Largest number of hosts that rockwick withheld from their pools at once.
    peak_out: usize,
    /// Hosts held in reserve for failures, in all pools together.
    reserved: usize,
    job_moves: usize,
    host_moves: u64,
    /// Grants that broke a budget.
    broken: usize,
}

struct Task {
    attempt: u32,
    host: String,
    ends_ms: Millis,
    running: bool,
}

struct Fleet {
    rng: fastrand::Rng,
    now: Now,
    state: State,
    rows: Rows,
    host_infos: Vec<HostInfo>,
    /// Whether the reducer has read the current host list.
    is_host_list_read: bool,
    /// When each host that is down comes back.
    back_ms: HashMap<String, Millis>,
    tasks: BTreeMap<String, Task>,
    reports: Vec<TaskReport>,
    /// Number of the last edit's ticket.
    tickets: u64,
    /// Tokens of the reboot orders that were executed; a repeated order has no effect.
    tokens: HashSet<String>,
    figures: Figures,
    step_ms: Millis,
}

fn config_text(case: &Case, pace_percent: u64) -> String {
    let mut text = format!(
        "[[service]]\nname = \"s\"\n[[account]]\nname = \"a\"\ntoken_sha256 = \"{}\"\n\
         [[template]]\nname = \"t\"\n[template.fields.hosts]\n[template.fields.serving_min]\n\
         [template.fields.pace_percent]\ndefault = {pace_percent}\n",
        "0".repeat(64)
    );
    let mut n = 0;
    for (count, hosts, serving_min) in case.pools {
        for _ in 0..*count {
            n += 1;
            text.push_str(&format!(
                "[[pool]]\nname = \"p{n}\"\naccount = \"a\"\ntemplate = \"t\"\nservices = [\"s\"]\n\
                 [pool.parameters]\nhosts = {hosts}\nserving_min = {serving_min}\n"
            ));
        }
    }
    text
}

impl Fleet {
    fn new(case: &Case, pace_percent: u64, seed: u64) -> Self {
        let me = EntryIdentity {
            name: "e1".to_string(),
            incarnation: 1,
            hall: "a".to_string(),
            peer: String::new(),
            has_peers: false,
        };
        let step_ms = if case.hosts > 100 {
            LARGE_STEP_MS
        } else {
            STEP_MS
        };
        let tuning = Tuning {
            tick_ms: step_ms,
            pause_ms: Millis::MAX,
            ..Tuning::default()
        };
        let host_infos = (0..case.hosts).map(|n| HostInfo {
            id: format!("h{n:03}"),
            hall: format!("hall{}", n / 4 % 11),
            rack: format!("rack{}", n / 4),
            cores: if n % 3 == 0 { 64 } else { 16 },
            memory_mb: 32_768,
            status: HostStatus::Live,
            boots: 0,
            backends: vec![BackendInfo {
                service: "s".to_string(),
                address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
                slots: 8,
                connections: 64,
            }],
        });
        let mut fleet = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Now {
                ms: 1_000_000,
                wall_ms: 1_000_000_000,
                store_ms: 0,
            },
            state: State::new(me, tuning, seed),
            rows: Rows::default(),
            host_infos: host_infos.collect(),
            is_host_list_read: false,
            back_ms: HashMap::new(),
            tasks: BTreeMap::new(),
            reports: Vec::new(),
            tickets: 0,
            tokens: HashSet::new(),
            figures: Figures::default(),
            step_ms,
        };
        fleet.run_for(5 * MINUTE_MS);
        fleet.submit_edit(Edit::Apply {
            expect: 0,
            text: config_text(case, pace_percent),
        });
        fleet.run_for(30 * MINUTE_MS);
        for n in 1..=case.pools.iter().map(|p| p.0).sum() {
            for _ in 0..case.jobs_per_pool {
                fleet.submit_job(n);
            }
        }
        fleet.run_for(HOUR_MS);
        fleet.figures = Figures::default();
        fleet
    }

    fn submit_job(&mut self, pool: usize) {
        // Declared run times are wrong by up to a factor of ten either way.
        let actual_ms = self.rng.u64(5..120) * MINUTE_MS;
        let factor = 10f64.powf(self.rng.f64() * 2.0 - 1.0);
        let spec = serde_json::json!({
            "pool": format!("p{pool}"),
            "cores": self.rng.u32(1..5),
            "run_ms": (actual_ms as f64 * factor) as u64,
            "repeatable": self.rng.bool(),
            "payload": actual_ms.to_string(),
        });
        if let Ok(spec) = serde_json::from_value(spec) {
            self.submit_edit(Edit::Submit {
                account: "a".to_string(),
                id: None,
                spec,
            });
        }
    }

    fn submit_edit(&mut self, edit: Edit) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.apply_event(Event::EditRequested { ticket, edit });
    }

    /// Feeds an event, and all events that follow from it at the same instant, to the reducer.
    fn apply_event(&mut self, event: Event) {
        let mut events = vec![event];
        for _ in 0..CHAIN_MAX {
            let Some(event) = events.pop() else { return };
            for effect in reduce(&mut self.state, event, self.now) {
                events.extend(self.execute(effect));
            }
        }
    }

    fn execute(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::ReadTable { since } => Some(Event::TableRead {
                begun_ms: self.now.ms,
                changes: Some(self.rows.changes(since, &[])),
            }),
            Effect::ReadHosts if !self.is_host_list_read => {
                self.is_host_list_read = true;
                Some(Event::HostsRead(Some(Listing {
                    hosts: self.host_infos.clone(),
                    ended_entries: vec![],
                })))
            }
            Effect::ReadReports { since } => {
                let seq = self.reports.len();
                let from = usize::try_from(since).unwrap_or(seq).min(seq);
                Some(Event::ReportsRead(Some(Reports {
                    seq: seq as u64,
                    reports: self.reports[from..].to_vec(),
                })))
            }
            Effect::Commit { txn, transaction } => {
                let outcome = match self.rows.apply_with_token(&transaction) {
                    Attempt::Committed(seq) => Outcome::Committed(seq),
                    _ => Outcome::Conflict,
                };
                Some(Event::Committed { txn, outcome })
            }
            Effect::StartTask(start) => {
                let runs_ms = start.payload.parse().unwrap_or(MINUTE_MS);
                self.tasks.insert(
                    start.job.clone(),
                    Task {
                        attempt: start.attempt,
                        host: start.host,
                        ends_ms: self.now.ms + runs_ms,
                        running: true,
                    },
                );
                let task = TaskRef {
                    job: start.job,
                    attempt: start.attempt,
                };
                let answer = Some(OrderAnswer::Accepted);
                Some(Event::StartAnswered { task, answer })
            }
            Effect::StopTask(task) => {
                self.figures.job_moves += 1;
                self.end_task(&task.job, TaskState::Stopped);
                let answer = Some(OrderAnswer::Accepted);
                Some(Event::StopAnswered { task, answer })
            }
            Effect::Reboot { host, token } => {
                if self.tokens.insert(token) {
                    self.take_down(&host, REBOOT_MS);
                }
                None
            }
            Effect::Log(d) => {
                let granted = d.code == rockwick::event::Code::DrainGranted;
                if granted && self.breaks_budget(&d.id) {
                    self.figures.broken += 1;
                }
                None
            }
            _ => None,
        }
    }

    /// Returns whether granting this host's drain left its pool with fewer hosts than must serve.
    fn breaks_budget(&self, host: &str) -> bool {
        let host = &self.state.hosts[self.state.host_ids[host]];
        let Some(pool) = host.row.pool.as_ref() else {
            return false;
        };
        let view = self.state.pool_view(self.state.pool_names[pool]);
        let Budget { serving_min, .. } = view.budget;
        let out = view.members.iter().filter(|m| m.out).count();
        out > 0 && view.members.len() - out < serving_min
    }

    fn take_down(&mut self, host: &str, for_ms: Millis) {
        if let Some(f) = self.host_infos.iter_mut().find(|f| f.id == host) {
            f.status = HostStatus::Gone;
            self.is_host_list_read = false;
        }
        let until_ms = self.now.ms + for_ms;
        let back = self.back_ms.entry(host.to_string()).or_default();
        *back = (*back).max(until_ms);
        let host_jobs: Vec<String> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.running && t.host == host)
            .map(|(job, _)| job.clone())
            .collect();
        for job in host_jobs {
            self.end_task(&job, TaskState::Lost);
        }
    }

    fn end_task(&mut self, job: &str, state: TaskState) {
        let Some(t) = self.tasks.get_mut(job).filter(|t| t.running) else {
            return;
        };
        t.running = false;
        self.reports.push(TaskReport {
            job: job.to_string(),
            attempt: t.attempt,
            host: t.host.clone(),
            state,
            ran_ms: 0,
        });
    }

    fn step(&mut self) {
        self.now.ms += self.step_ms;
        self.now.wall_ms += self.step_ms;
        let now_ms = self.now.ms;
        let back: Vec<String> = self
            .back_ms
            .iter()
            .filter(|(_, t)| **t <= now_ms)
            .map(|(h, _)| h.clone())
            .collect();
        for host in back {
            self.back_ms.remove(&host);
            if let Some(f) = self.host_infos.iter_mut().find(|f| f.id == host) {
                f.status = HostStatus::Live;
                f.boots += 1;
                self.is_host_list_read = false;
            }
        }
        let ended: Vec<String> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.running && t.ends_ms <= now_ms)
            .map(|(job, _)| job.clone())
            .collect();
        for job in ended {
            self.end_task(&job, TaskState::Done);
        }
        self.apply_event(Event::Tick {
            published_seq: self.state.seq,
            busy: vec![],
        });
        // Counted after the tick, so that the decisions of this tick are included.
        let out = |s: HostState| {
            matches!(
                s,
                HostState::Draining | HostState::Out | HostState::Returning
            )
        };
        let withheld = self.state.hosts.values();
        let withheld = withheld
            .filter(|h| h.row.pool.is_some() && out(h.row.state))
            .count();
        self.figures.peak_out = self.figures.peak_out.max(withheld);
    }

    fn run_for(&mut self, ms: Millis) {
        for _ in 0..ms / self.step_ms {
            self.step();
        }
    }

    fn inject_failures(&mut self, case: &Case, began_ms: Millis) {
        let share = self.step_ms as f64 / DAY_MS as f64;
        let hosts = self.host_infos.len();
        let pick = |f: &mut Self| f.host_infos[f.rng.usize(..hosts)].id.clone();
        if self.rng.f64() < case.fails_per_day * share {
            let host = pick(self);
            self.take_down(&host, REPAIR_MS);
        }
        if self.rng.f64() < case.restarts_per_day * share {
            let host = pick(self);
            self.take_down(&host, RESTART_MS);
        }
        let at_ms = self.now.ms - began_ms;
        if case.lose_rack && (HOUR_MS..HOUR_MS + self.step_ms).contains(&at_ms) {
            for n in 0..4 {
                let host = self.host_infos[8 + n].id.clone();
                self.take_down(&host, RACK_REPAIR_MS);
            }
        }
    }

    /// Submits new jobs in place of those that ended.
    fn refill_jobs(&mut self, case: &Case) {
        let mut at_work: HashMap<&str, usize> = HashMap::new();
        for j in self.state.jobs.values().filter(|j| !j.row.state.is_final()) {
            *at_work.entry(&j.row.spec.pool).or_default() += 1;
        }
        let pools: usize = case.pools.iter().map(|p| p.0).sum();
        let short: Vec<usize> = (1..=pools)
            .filter(|n| {
                let have = at_work.get(format!("p{n}").as_str()).copied().unwrap_or(0);
                have < case.jobs_per_pool
            })
            .collect();
        for pool in short {
            self.submit_job(pool);
        }
    }

    /// Drains hosts as a baseline strategy does: in order of their names, with a fixed limit at once.
    fn drain_baseline(&mut self, strategy: Strategy, waiting: &mut Vec<String>) {
        let mut out: HashMap<Option<String>, usize> = HashMap::new();
        for h in self.state.hosts.values() {
            if !matches!(h.row.state, HostState::Free | HostState::Serving) {
                *out.entry(h.row.pool.clone()).or_default() += 1;
            }
        }
        let mut all: usize = out.values().sum();
        let candidates = waiting.clone();
        for host in candidates {
            let h = &self.state.hosts[self.state.host_ids[&host]];
            let pool = h.row.pool.clone();
            let members = pool.as_ref().map_or(1, |p| {
                self.state.pools[self.state.pool_names[p]].members.len()
            });
            let here = out.entry(pool).or_default();
            let room = match strategy {
                Strategy::OneByOne => all == 0,
                _ => *here < members.div_ceil(10),
            };
            let is_available = matches!(h.row.state, HostState::Free | HostState::Serving);
            if !room || !is_available || !h.is_live() {
                continue;
            }
            self.submit_edit(Edit::Drain {
                host: host.clone(),
                reboot: true,
                why: "baseline".to_string(),
            });
            let h = &self.state.hosts[self.state.host_ids[&host]];
            if h.row.state == HostState::Draining || h.row.state == HostState::Out {
                waiting.retain(|w| *w != host);
                *here += 1;
                all += 1;
            }
        }
    }

    fn is_over(&self, strategy: Strategy, waiting: &[String]) -> bool {
        match strategy {
            Strategy::Wave(_) => self
                .state
                .waves
                .values()
                .any(|(_, w)| w.state == WaveState::Done),
            _ => {
                let mut hosts = self.state.hosts.values();
                waiting.is_empty()
                    && hosts.all(|h| matches!(h.row.state, HostState::Free | HostState::Serving))
            }
        }
    }
}

fn run_once(case: &Case, strategy: Strategy, seed: u64) -> Figures {
    let pace = match strategy {
        Strategy::Wave(pace) => pace,
        _ => 100,
    };
    let mut fleet = Fleet::new(case, pace, seed);
    let pools = fleet.state.pools.keys().collect::<Vec<_>>();
    let moved = |f: &Fleet| f.state.pools.values().map(|p| p.row.moves).sum::<u64>();
    let moved_before = moved(&fleet);
    let mut waiting: Vec<String> = fleet.host_infos.iter().map(|f| f.id.clone()).collect();
    if let Strategy::Wave(_) = strategy {
        fleet.submit_edit(Edit::StartWave {
            pool: "*".to_string(),
            windows: vec![],
        });
    }
    let began_ms = fleet.now.ms;
    while !fleet.is_over(strategy, &waiting) && fleet.now.ms - began_ms < RUN_MAX_MS {
        fleet.inject_failures(case, began_ms);
        if !matches!(strategy, Strategy::Wave(_)) {
            fleet.drain_baseline(strategy, &mut waiting);
        }
        fleet.step();
        if fleet.now.ms % MINUTE_MS < fleet.step_ms {
            fleet.refill_jobs(case);
        }
    }
    let mut figures = fleet.figures;
    figures.done = fleet.is_over(strategy, &waiting);
    figures.hours = (fleet.now.ms - began_ms) as f64 / HOUR_MS as f64;
    figures.host_moves = moved(&fleet) - moved_before;
    figures.reserved = pools.len();
    figures
}

fn median(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[0],
        values[values.len() / 2],
        values[values.len() - 1],
    )
}

pub(crate) fn run(args: Args) -> Result<(), String> {
    let mut curves = Vec::new();
    for case in CASES
        .iter()
        .filter(|c| args.case == "all" || args.case == c.name)
    {
        println!(
            "{}: {} hosts, {} pools, {:.1} failures and {:.1} restarts a day, a rack lost after an hour; {} seeds",
            case.name,
            case.hosts,
            case.pools.iter().map(|p| p.0).sum::<usize>(),
            case.fails_per_day,
            case.restarts_per_day,
            args.seeds
        );
        println!("| Way | Roll-out h (min to max) | Peak out | Job moves | Host moves | Budgets broken | Done |");
        println!("|---|---|---|---|---|---|---|");
        let mut strategies = Vec::new();
        let paces: &[u64] = if args.svg.is_some() {
            &[10, 25, 50, 75, 100]
        } else {
            &[50, 100]
        };
        strategies.extend(paces.iter().map(|p| Strategy::Wave(*p)));
        strategies.extend([Strategy::Tenth, Strategy::OneByOne]);
        let mut curve = Vec::new();
        for strategy in strategies {
            let runs: Vec<Figures> = (0..args.seeds)
                .map(|s| run_once(case, strategy, s))
                .collect();
            let of = |f: fn(&Figures) -> f64| median(runs.iter().map(f).collect());
            let (least, hours, most) = of(|o| o.hours);
            let (_, peak, _) = of(|o| o.peak_out as f64);
            let default = strategy == Strategy::Wave(case.pace_percent);
            println!(
                "| {}{} | {hours:.1} ({least:.1} to {most:.1}) | {peak} | {} | {} | {} | {}/{} |",
                strategy.name(),
                if default { " (default)" } else { "" },
                of(|o| o.job_moves as f64).1,
                of(|o| o.host_moves as f64).1,
                runs.iter().map(|o| o.broken).sum::<usize>(),
                runs.iter().filter(|o| o.done).count(),
                runs.len()
            );
            curve.push((strategy, hours, peak));
        }
        curves.push((case.name, curve));
    }
    match &args.svg {
        Some(file) => draw(file, &curves).map_err(|e| format!("{file}: {e}")),
        None => Ok(()),
    }
}

type Curve = Vec<(Strategy, f64, f64)>;

/// Draws roll-out time over the largest number of hosts out at once: a line over the paces of each case, and a cross
/// for each baseline.
fn draw(file: &str, curves: &[(&str, Curve)]) -> Result<(), Box<dyn std::error::Error>> {
    use plotters::prelude::*;
    let root = SVGBackend::new(file, (720, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let all = curves.iter().flat_map(|(_, c)| c);
    let (mut x_max, mut y_max) = (1f64, 1f64);
    for (_, hours, peak) in all {
        x_max = x_max.max(*peak * 1.1);
        y_max = y_max.max(*hours * 1.1);
    }
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .caption(
            "Waves: roll-out time against hosts out at once",
            ("sans-serif", 18),
        )
        .build_cartesian_2d((0.8..x_max).log_scale(), (0.5..y_max).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("most hosts out at once")
        .y_desc("roll-out, hours")
        .draw()?;
    for (n, (name, curve)) in curves.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let waves = curve
            .iter()
            .filter(|(w, _, _)| matches!(w, Strategy::Wave(_)));
        let points: Vec<(f64, f64)> = waves.map(|(_, h, p)| (*p, *h)).collect();
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
            .label(format!("{name}: paces 10% to 100%"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, color.filled())))?;
        let others = curve
            .iter()
            .filter(|(w, _, _)| !matches!(w, Strategy::Wave(_)));
        chart.draw_series(others.map(|(_, h, p)| Cross::new((*p, *h), 4, color)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
