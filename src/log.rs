//! Writes each decision as one line of JSON to standard output, and keeps the latest ones in memory for `explain`.

use crate::util::{cut_text, lock};
use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use serde_json::{Map, Value};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf, ThreadPool};

use crate::clock::wall_ms;
use crate::error::Result;
use crate::event::{Decision, Subject};

/// Maximum number of decisions kept in memory about anything other than requests and backend servers. At a few
/// decisions per hour and host, they cover days.
const CONTROL_RING_MAX: usize = 4_096;

/// Maximum number of decisions about requests and backend servers kept in memory. At full load, they cover seconds.
const TRAFFIC_RING_MAX: usize = 4_096;

/// Maximum length of a decision's id in bytes: a name of the longest kind, or the beginning of a request's path.
const ID_BYTES_MAX: usize = 256;

/// Maximum length of a decision's reason in bytes, unless it is about the configuration or the entry itself. Reasons quote
/// requests, and rows of other writers.
const WHY_BYTES_MAX: usize = 2_048;

/// Maximum number of lines that wait for the sink; further lines are dropped.
const QUEUE_LINES_MAX: usize = 8_192;

/// Writes the payload unchanged, since it is JSON already.
#[derive(Clone)]
struct PayloadFormatter;

impl Formatter for PayloadFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        dest.push_str(record.payload());
        dest.push('\n');
        Ok(())
    }
}

/// The log of decisions.
pub struct Log {
    /// `None` after the log was closed.
    logger: ArcSwapOption<Logger>,
    dropped: Arc<AtomicU64>,
    control: Mutex<VecDeque<Decision>>,
    traffic: Mutex<VecDeque<Decision>>,
}

impl Log {
    /// Opens a log to standard output. A call to log never blocks: if the sink can't keep up, the line is dropped and
    /// counted.
    pub fn new() -> Result<Self> {
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let stream = StdStreamSink::builder()
            .std_stream(StdStream::Stdout)
            .style_mode(StyleMode::Never)
            .formatter(PayloadFormatter)
            .build_arc()?;
        let mut pool = ThreadPool::builder();
        if let Some(lines) = NonZeroUsize::new(QUEUE_LINES_MAX) {
            let _ = pool.capacity(lines);
        }
        let sink = AsyncPoolSink::builder()
            .sink(stream)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .thread_pool(pool.build_arc()?)
            .error_handler(move |_| {
                counter.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()?;
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::All)
            .build_arc()?;
        Ok(Self {
            logger: ArcSwapOption::from(Some(logger)),
            dropped,
            control: Mutex::new(VecDeque::new()),
            traffic: Mutex::new(VecDeque::new()),
        })
    }

    /// Logs a decision with the current time and keeps it in memory, dropping the oldest one if its ring is full. An id or
    /// a reason that is too long is cut.
    pub fn record(&self, mut d: Decision) {
        d.at_ms = wall_ms();
        cut_texts(&mut d);
        if let Some(logger) = self.logger.load().as_ref() {
            spdlog::log!(logger: logger, Level::Info, "{}", to_json_line(&d));
        }
        let is_traffic = matches!(d.subject, Subject::Request | Subject::Backend);
        let (ring, ring_max) = if is_traffic {
            (&self.traffic, TRAFFIC_RING_MAX)
        } else {
            (&self.control, CONTROL_RING_MAX)
        };
        let mut ring = lock(ring);
        if ring.len() == ring_max {
            ring.pop_front();
        }
        ring.push_back(d);
    }

    /// Returns the decisions in memory about one thing. Those about requests and backend servers come last; both groups
    /// are in the order in which they were logged.
    pub fn decisions_about(&self, subject: Subject, id: &str) -> Vec<Decision> {
        let matching = |ring: &Mutex<VecDeque<Decision>>| {
            lock(ring)
                .iter()
                .filter(|d| d.is_about(subject, id))
                .cloned()
                .collect::<Vec<_>>()
        };
        let mut found = matching(&self.control);
        found.extend(matching(&self.traffic));
        found
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes out all waiting lines and closes the log; later lines are not written.
    ///
    /// The sink's own flush returns before its thread has written, so a process that ends right after it loses its last
    /// lines. Dropping the logger waits for that thread.
    pub fn close(&self) {
        drop(self.logger.swap(None));
    }
}

fn cut_texts(d: &mut Decision) {
    cut_text(&mut d.id, ID_BYTES_MAX);
    if !matches!(d.subject, Subject::Config | Subject::Entry) {
        cut_text(&mut d.why, WHY_BYTES_MAX);
    }
}

/// Formats a decision as its line of JSON.
pub fn to_json_line(d: &Decision) -> String {
    let info = d.code.info();
    let mut map = Map::new();
    map.insert("at_ms".into(), Value::from(d.at_ms));
    map.insert("event".into(), Value::from(info.number));
    map.insert("name".into(), Value::from(info.name));
    map.insert(d.subject.as_str().into(), Value::from(d.id.as_str()));
    map.insert("why".into(), Value::from(d.why.as_str()));
    for (name, value) in &d.figures {
        map.insert(name.to_string(), Value::from(*value));
    }
    for (what, name) in &d.names {
        map.insert(what.to_string(), Value::from(name.as_str()));
    }
    Value::Object(map).to_string()
}
