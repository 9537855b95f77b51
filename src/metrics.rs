//! Counters and histograms of one process, and their rendering in the Prometheus text format.

use crate::util::lock;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;

use crate::clock::Millis;
use crate::error::Kind;
use crate::http::intake::IntakeCounts;

/// Highest value that the histograms can record: an hour in microseconds.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;

/// Calls to the platform of one kind, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallUse {
    /// Calls sent.
    pub calls: u64,
    /// Bytes of paths and bodies sent.
    pub sent_bytes: u64,
    /// Bytes of bodies received.
    pub received_bytes: u64,
}

/// Calls to the platform and their bytes, by kind of call and by table. All threads of a process share it.
#[derive(Debug, Default)]
pub struct PlatformUse(Mutex<BTreeMap<String, BTreeMap<String, CallUse>>>);

impl PlatformUse {
    /// Counts a call; `table` is empty for a call that concerns no table.
    pub fn record(&self, call: &str, table: &str, sent_bytes: usize, received_bytes: usize) {
        let mut all = lock(&self.0);
        // A kind of call that is known costs no allocation.
        let tables = match all.get_mut(call) {
            Some(tables) => tables,
            None => all.entry(call.to_string()).or_default(),
        };
        let used = match tables.get_mut(table) {
            Some(used) => used,
            None => tables.entry(table.to_string()).or_default(),
        };
        used.calls += 1;
        used.sent_bytes += sent_bytes as u64;
        used.received_bytes += received_bytes as u64;
    }

    /// Returns the counts by call and table, those with the most bytes first.
    pub fn by_call(&self) -> Vec<((String, String), CallUse)> {
        let all = lock(&self.0);
        let mut all: Vec<_> = all
            .iter()
            .flat_map(|(call, tables)| {
                let tables = tables.iter();
                tables.map(move |(table, used)| ((call.clone(), table.clone()), *used))
            })
            .collect();
        all.sort_by_key(|(_, used)| std::cmp::Reverse(used.sent_bytes + used.received_bytes));
        all
    }

    fn render(&self, text: &mut String) {
        type Part = (&'static str, fn(&CallUse) -> u64);
        let parts: [Part; 3] = [
            ("store_calls_total", |used| used.calls),
            ("store_sent_bytes_total", |used| used.sent_bytes),
            ("store_received_bytes_total", |used| used.received_bytes),
        ];
        let by_call = self.by_call();
        for (name, value) in parts {
            let _ = writeln!(text, "# TYPE rockwick_{name} counter");
            for ((call, table), used) in &by_call {
                let _ = writeln!(
                    text,
                    "rockwick_{name}{{call=\"{call}\",table=\"{table}\"}} {}",
                    value(used)
                );
            }
        }
    }
}

/// All counters and histograms of an entry.
pub struct Metrics {
    /// Requests received.
    pub requests: AtomicU64,
    /// Requests answered by a backend server.
    pub answered: AtomicU64,
    /// Second and later attempts at a request.
    pub retries: AtomicU64,
    /// Requests that a backend server refused before running them.
    pub refused_by_backend: AtomicU64,
    /// Calls to the platform.
    pub platform_calls: AtomicU64,
    /// Calls to the platform by kind; only `rockwick serve` counts them.
    pub platform_use: Arc<PlatformUse>,
    /// What the listeners refused and closed; their connections share it.
    pub intake: Arc<IntakeCounts>,
    /// Bytes of peer messages sent and received.
    pub peer_bytes: AtomicU64,
    /// Ticks of the control thread.
    pub ticks: AtomicU64,
    failures: Mutex<BTreeMap<&'static str, u64>>,
    request_us: Mutex<Histogram<u64>>,
    control_us: Mutex<Histogram<u64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Returns all counters at zero and empty histograms.
    pub fn new() -> Self {
        Self {
            requests: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            retries: AtomicU64::new(0),
            refused_by_backend: AtomicU64::new(0),
            platform_calls: AtomicU64::new(0),
            platform_use: Arc::default(),
            intake: Arc::default(),
            peer_bytes: AtomicU64::new(0),
            ticks: AtomicU64::new(0),
            failures: Mutex::new(BTreeMap::new()),
            request_us: Mutex::new(new_histogram()),
            control_us: Mutex::new(new_histogram()),
        }
    }

    /// Increments a counter by one.
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failure by its kind.
    pub fn count_failure(&self, kind: Kind) {
        *lock(&self.failures).entry(kind.info().name).or_default() += 1;
    }

    /// Records how long a request took here, including queueing and the exchange with the backend server. An entry of
    /// `rockwick entry` records answered requests only.
    pub fn record_request_us(&self, us: u64) {
        lock(&self.request_us).saturating_record(us);
    }

    /// Records how long the control thread worked on one event.
    pub fn record_control_us(&self, us: u64) {
        lock(&self.control_us).saturating_record(us);
    }

    /// Formats all metrics as the text that `/metrics` answers.
    pub fn render(&self, log_dropped: u64, uptime_ms: Millis) -> String {
        let mut text = String::new();
        let counters = [
            ("requests_total", &self.requests),
            ("answered_total", &self.answered),
            ("retries_total", &self.retries),
            ("backend_refusals_total", &self.refused_by_backend),
            ("platform_calls_total", &self.platform_calls),
            ("peer_bytes_total", &self.peer_bytes),
            ("ticks_total", &self.ticks),
            ("intake_refused_total", &self.intake.refused),
            ("intake_closed_total", &self.intake.closed),
        ];
        for (name, counter) in counters {
            let value = counter.load(Ordering::Relaxed);
            let _ = writeln!(
                text,
                "# TYPE rockwick_{name} counter\nrockwick_{name} {value}"
            );
        }
        let _ = writeln!(text, "# TYPE rockwick_log_dropped_total counter");
        let _ = writeln!(text, "rockwick_log_dropped_total {log_dropped}");
        let _ = writeln!(
            text,
            "# TYPE rockwick_uptime_ms gauge\nrockwick_uptime_ms {uptime_ms}"
        );
        let _ = writeln!(text, "# TYPE rockwick_failures_total counter");
        for (name, count) in lock(&self.failures).iter() {
            let _ = writeln!(text, "rockwick_failures_total{{kind=\"{name}\"}} {count}");
        }
        self.platform_use.render(&mut text);
        render_summary(&mut text, "request_us", &lock(&self.request_us));
        render_summary(&mut text, "control_us", &lock(&self.control_us));
        text
    }
}

fn render_summary(text: &mut String, name: &str, h: &Histogram<u64>) {
    let _ = writeln!(text, "# TYPE rockwick_{name} summary");
    for q in [0.5, 0.99, 0.999] {
        let value = h.value_at_quantile(q);
        let _ = writeln!(text, "rockwick_{name}{{quantile=\"{q}\"}} {value}");
    }
    let sum = (h.mean() * h.len() as f64) as u64;
    let _ = writeln!(
        text,
        "rockwick_{name}_sum {sum}\nrockwick_{name}_count {}",
        h.len()
    );
}

fn new_histogram() -> Histogram<u64> {
    // Two significant digits keep a histogram at some tens of kilobytes.
    match Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, 2) {
        Ok(h) => h,
        Err(_) => unreachable!("the bounds are constant and valid"),
    }
}
