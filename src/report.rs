//! Computes the operators' measures from log lines: buffer cost, roll-out times and moves.
//!
//! `rockwick report` feeds it the log files of one or more entries, in any order. Lines are sorted by wall-clock time,
//! so the hosts' clocks should agree to well under a second for the roll-out times to be right.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde::Deserialize;
use serde_json::Value;

use crate::clock::Millis;
use crate::event::Code;

/// Maximum time for which a pool-load line counts; it counts until the pool's next one if that is earlier. A pool's
/// owner logs its load once a second; an owner that has ended logs nothing.
const LOAD_VALID_MS: Millis = 3_000;

/// The fields of a log line that the measures use.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    at_ms: Millis,
    event: u16,
    why: String,
    pool: String,
    /// Configuration version: text if the configuration is the subject of the line, else a number.
    config: Value,
    from: u64,
    /// Wave id: text if the wave is the subject of the line, else a number.
    wave: Value,
    open: u64,
    workers: u64,
    room_cpu_milli: u64,
    used_cpu_milli: u64,
}

/// Time that a pool held hosts, and how much of it they were idle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Buffer {
    /// Host-seconds that the pool held hosts.
    pub held_s: f64,
    /// Host-seconds of `held_s` without work, by processor use.
    pub idle_s: f64,
}

/// Time from the first to the last of several log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Wall-clock time of the first line.
    pub first_ms: Millis,
    /// Wall-clock time of the last line.
    pub last_ms: Millis,
}

impl Span {
    fn new(at_ms: Millis) -> Self {
        Self {
            first_ms: at_ms,
            last_ms: at_ms,
        }
    }

    fn add(&mut self, at_ms: Millis) {
        self.first_ms = self.first_ms.min(at_ms);
        self.last_ms = self.last_ms.max(at_ms);
    }

    /// Returns the time from the first to the last line.
    pub fn duration_ms(&self) -> Millis {
        self.last_ms - self.first_ms
    }
}

/// The measures computed from all log lines.
#[derive(Debug, Default)]
pub struct Report {
    /// Buffer cost by pool.
    pub buffers: BTreeMap<String, Buffer>,
    /// Time of each wave, from the first host that stopped taking work to the last that was back, or to the end of the
    /// wave.
    pub waves: BTreeMap<String, Span>,
    /// Waves that have finished with every host.
    pub waves_done: BTreeSet<String>,
    /// Roll-out time of each configuration version, from the first entry that adopted it to the last.
    pub configs: BTreeMap<u64, Span>,
    /// Number of hosts moved, by destination pool.
    pub host_moves: BTreeMap<String, u64>,
    /// Number of task runs that ended unfinished and were requeued, by reason.
    pub task_moves: BTreeMap<String, u64>,
    /// Number of lines that are not log lines.
    pub unread_lines: u64,
}

/// Values of a pool's latest pool-load line, in hosts.
struct Load {
    at_ms: Millis,
    held: f64,
    idle: f64,
}

impl Report {
    /// Computes the measures from all log lines.
    pub fn new<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut report = Self::default();
        let mut read: Vec<Line> = Vec::new();
        for text in lines {
            match serde_json::from_str::<Line>(text) {
                Ok(line) if line.event > 0 => read.push(line),
                _ => report.unread_lines += 1,
            }
        }
        read.sort_by_key(|line| line.at_ms);
        let mut loads = BTreeMap::new();
        for line in &read {
            report.add_line(line, &mut loads);
        }
        report
    }

    fn add_line(&mut self, line: &Line, loads: &mut BTreeMap<String, Load>) {
        let is = |code: Code| line.event == code.info().number;
        if is(Code::PoolLoad) {
            self.add_load(line, loads);
        } else if is(Code::HostClosing) {
            self.extend_wave(line.wave.to_string(), line.at_ms);
        } else if is(Code::HostBack) {
            // A host that was rebooted by itself belongs to no wave.
            if let Some(wave) = line.why.strip_prefix("wave ") {
                self.extend_wave(wave.to_string(), line.at_ms);
            }
        } else if is(Code::WaveDone) {
            let wave = line.wave.as_str().unwrap_or_default();
            self.extend_wave(wave.to_string(), line.at_ms);
            self.waves_done.insert(wave.to_string());
        } else if is(Code::ConfigAdopted) {
            self.add_config(line);
        } else if is(Code::HostAnswered) {
            if let Some(to) = accepted_move(&line.why) {
                *self.host_moves.entry(to.to_string()).or_default() += 1;
            }
        } else if is(Code::TaskRequeued) {
            *self.task_moves.entry(line.why.clone()).or_default() += 1;
        }
    }

    fn extend_wave(&mut self, wave: String, at_ms: Millis) {
        let span = self.waves.entry(wave).or_insert(Span::new(at_ms));
        span.add(at_ms);
    }

    /// Extends the roll-out time of a configuration. The first version that an entry adopts does not count: the entry
    /// may have started long after the roll-out.
    fn add_config(&mut self, line: &Line) {
        let version = line.config.as_str().and_then(|text| text.parse().ok());
        if let Some(version) = version.filter(|_| line.from > 0) {
            let span = self.configs.entry(version);
            span.or_insert(Span::new(line.at_ms)).add(line.at_ms);
        }
    }

    fn add_load(&mut self, line: &Line, loads: &mut BTreeMap<String, Load>) {
        let host_cpu = line.room_cpu_milli.checked_div(line.open).unwrap_or(0);
        let busy = match host_cpu {
            0 => 0.0,
            cpu => line.used_cpu_milli as f64 / cpu as f64,
        };
        let held = line.workers as f64;
        let now = Load {
            at_ms: line.at_ms,
            held,
            idle: (held - busy).max(0.0),
        };
        if let Some(last) = loads.insert(line.pool.clone(), now) {
            let passed_ms = (line.at_ms - last.at_ms).min(LOAD_VALID_MS);
            let passed_s = passed_ms as f64 / 1_000.0;
            let buffer = self.buffers.entry(line.pool.clone()).or_default();
            buffer.held_s += last.held * passed_s;
            buffer.idle_s += last.idle * passed_s;
        }
    }

    /// Returns the buffer cost of all pools together.
    pub fn total_buffer(&self) -> Buffer {
        let mut sum = Buffer::default();
        for buffer in self.buffers.values() {
            sum.held_s += buffer.held_s;
            sum.idle_s += buffer.idle_s;
        }
        sum
    }

    /// Formats the measures as a table.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut line = |cells: [&str; 4]| {
            let [a, b, c, d] = cells;
            let _ = writeln!(text, "{a:<12} {b:<24} {c:>10} {d:>10}");
        };
        line(["MEASURE", "OF", "AMOUNT", "SHARE"]);
        let all = self.total_buffer();
        let pools = self.buffers.iter().map(|(pool, b)| (pool.as_str(), *b));
        for (pool, buffer) in pools.chain([("all pools", all)]) {
            let share = 100.0 * buffer.idle_s / buffer.held_s.max(1.0);
            let idle = format!("{:.0} s", buffer.idle_s);
            line(["buffer cost", pool, &idle, &format!("{share:.0}%")]);
        }
        for (wave, span) in &self.waves {
            let is_done = self.waves_done.contains(wave);
            let took = format!("{} ms", span.duration_ms());
            let state = if is_done { "done" } else { "not done" };
            line(["roll-out", &format!("wave {wave}"), &took, state]);
        }
        for (version, span) in &self.configs {
            let took = format!("{} ms", span.duration_ms());
            line(["roll-out", &format!("configuration {version}"), &took, ""]);
        }
        for (pool, count) in &self.host_moves {
            let of = format!("hosts to {pool}");
            line(["moves", &of, &count.to_string(), ""]);
        }
        for (why, count) in &self.task_moves {
            line(["moves", why, &count.to_string(), ""]);
        }
        if self.unread_lines > 0 {
            line(["unread", "lines", &self.unread_lines.to_string(), ""]);
        }
        text
    }
}

/// Returns the pool that a host was moved to, if `why` says that the platform accepted the move.
fn accepted_move(why: &str) -> Option<&str> {
    let rest = why.strip_prefix("Move(\"")?;
    rest.strip_suffix("\"): Accepted")
}
