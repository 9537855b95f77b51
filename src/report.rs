//! What operators measure, from log lines: buffer cost, roll-out time, moves.
//!
//! Lines of several entries may come in any order of files; wall clocks of their hosts should agree to well
//! under a second for the times of a roll-out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde::Deserialize;
use serde_json::Value;

use crate::clock::Millis;
use crate::event::Code;

/// A pool's load counts until its next line, for so long at most: it is told once a second, and an owner that
/// is gone tells nothing.
const LOAD_COUNTS_MS: Millis = 3_000;

/// A log line, as far as it is read.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    at_ms: Millis,
    event: u16,
    why: String,
    pool: String,
    /// A version as text where the line is about it; a figure elsewhere.
    config: Value,
    from: u64,
    /// A number as text where the line is about the wave; a figure elsewhere.
    wave: Value,
    open: u64,
    workers: u64,
    room_cpu_milli: u64,
    used_cpu_milli: u64,
}

/// Hosts that a pool held, and how far they carried work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Buffer {
    /// Host-seconds held.
    pub held_s: f64,
    /// Host-seconds of them that carried no work, by processors.
    pub idle_s: f64,
}

/// First and last moment of something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First, in wall-clock milliseconds.
    pub first_ms: Millis,
    /// Last.
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

    /// From the first to the last.
    pub fn took_ms(&self) -> Millis {
        self.last_ms - self.first_ms
    }
}

/// The measures.
#[derive(Debug, Default)]
pub struct Report {
    /// Buffer cost by pool.
    pub buffers: BTreeMap<String, Buffer>,
    /// Waves: from the first host that closed to the last that was back.
    pub waves: BTreeMap<String, Span>,
    /// Waves that every host has been through.
    pub waves_done: BTreeSet<String>,
    /// Configurations: from the first entry that took a version in to the last.
    pub configs: BTreeMap<u64, Span>,
    /// Hosts moved, by the pool that they went to.
    pub host_moves: BTreeMap<String, u64>,
    /// Runs of tasks that ended before they were done and went back to wait, by reason.
    pub task_moves: BTreeMap<String, u64>,
    /// Lines that are no log lines.
    pub unread: u64,
}

/// What a pool's last load line said.
struct Load {
    at_ms: Millis,
    held: f64,
    idle: f64,
}

impl Report {
    /// From all lines.
    pub fn new<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut report = Self::default();
        let mut read: Vec<Line> = Vec::new();
        for text in lines {
            match serde_json::from_str::<Line>(text) {
                Ok(line) if line.event > 0 => read.push(line),
                _ => report.unread += 1,
            }
        }
        read.sort_by_key(|line| line.at_ms);
        let mut loads = BTreeMap::new();
        for line in &read {
            report.take(line, &mut loads);
        }
        report
    }

    fn take(&mut self, line: &Line, loads: &mut BTreeMap<String, Load>) {
        let is = |code: Code| line.event == code.entry().number;
        if is(Code::PoolLoad) {
            self.take_load(line, loads);
        } else if is(Code::HostClosing) {
            self.wave(line.wave.to_string(), line.at_ms);
        } else if is(Code::HostBack) {
            let wave = line.why.trim_start_matches("wave ");
            self.wave(wave.to_string(), line.at_ms);
        } else if is(Code::WaveDone) {
            let wave = line.wave.as_str().unwrap_or_default();
            self.wave(wave.to_string(), line.at_ms);
            self.waves_done.insert(wave.to_string());
        } else if is(Code::ConfigAdopted) {
            self.take_config(line);
        } else if is(Code::HostAnswered) {
            if let Some(to) = accepted_move(&line.why) {
                *self.host_moves.entry(to.to_string()).or_default() += 1;
            }
        } else if is(Code::TaskRequeued) {
            *self.task_moves.entry(line.why.clone()).or_default() += 1;
        }
    }

    fn wave(&mut self, wave: String, at_ms: Millis) {
        let span = self.waves.entry(wave).or_insert(Span::new(at_ms));
        span.add(at_ms);
    }

    /// The first version of an entry does not count: it may have started long after the roll-out.
    fn take_config(&mut self, line: &Line) {
        let version = line.config.as_str().and_then(|text| text.parse().ok());
        if let Some(version) = version.filter(|_| line.from > 0) {
            let span = self.configs.entry(version);
            span.or_insert(Span::new(line.at_ms)).add(line.at_ms);
        }
    }

    fn take_load(&mut self, line: &Line, loads: &mut BTreeMap<String, Load>) {
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
            let passed_ms = (line.at_ms - last.at_ms).min(LOAD_COUNTS_MS);
            let passed_s = passed_ms as f64 / 1_000.0;
            let buffer = self.buffers.entry(line.pool.clone()).or_default();
            buffer.held_s += last.held * passed_s;
            buffer.idle_s += last.idle * passed_s;
        }
    }

    /// Buffer cost of all pools together.
    pub fn buffer(&self) -> Buffer {
        let mut sum = Buffer::default();
        for buffer in self.buffers.values() {
            sum.held_s += buffer.held_s;
            sum.idle_s += buffer.idle_s;
        }
        sum
    }

    /// The measures as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut line = |cells: [&str; 4]| {
            let [a, b, c, d] = cells;
            let _ = writeln!(text, "{a:<12} {b:<24} {c:>10} {d:>10}");
        };
        line(["MEASURE", "OF", "AMOUNT", "SHARE"]);
        let all = self.buffer();
        let pools = self.buffers.iter().map(|(pool, b)| (pool.as_str(), *b));
        for (pool, buffer) in pools.chain([("all pools", all)]) {
            let share = 100.0 * buffer.idle_s / buffer.held_s.max(1.0);
            let idle = format!("{:.0} s", buffer.idle_s);
            line(["buffer cost", pool, &idle, &format!("{share:.0}%")]);
        }
        for (wave, span) in &self.waves {
            let is_done = self.waves_done.contains(wave);
            let took = format!("{} ms", span.took_ms());
            let state = if is_done { "done" } else { "not done" };
            line(["roll-out", &format!("wave {wave}"), &took, state]);
        }
        for (version, span) in &self.configs {
            let took = format!("{} ms", span.took_ms());
            line(["roll-out", &format!("configuration {version}"), &took, ""]);
        }
        for (pool, count) in &self.host_moves {
            let of = format!("hosts to {pool}");
            line(["moves", &of, &count.to_string(), ""]);
        }
        for (why, count) in &self.task_moves {
            line(["moves", why, &count.to_string(), ""]);
        }
        if self.unread > 0 {
            line(["unread", "lines", &self.unread.to_string(), ""]);
        }
        text
    }
}

/// The pool that a host was sent to, if the platform accepted that.
fn accepted_move(why: &str) -> Option<&str> {
    let rest = why.strip_prefix("Move(\"")?;
    rest.strip_suffix("\"): Accepted")
}
