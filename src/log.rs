//! One JSON line for each decision, and a ring of the latest ones for `explain`.

use crate::util::lock;
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

/// Decisions of control that are kept; at a few an hour for each host these are days.
const CONTROL_KEPT: usize = 4_096;

/// Decisions about requests that are kept; at full load these are seconds.
const TRAFFIC_KEPT: usize = 4_096;

/// Lines that wait for the sink before more are dropped.
const QUEUE_LINES: usize = 8_192;

/// Prints the payload as it is: it is JSON already.
#[derive(Clone)]
struct Plain;

impl Formatter for Plain {
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

/// Where decisions go.
pub struct Log {
    /// Nothing once it is closed.
    logger: ArcSwapOption<Logger>,
    dropped: Arc<AtomicU64>,
    control: Mutex<VecDeque<Decision>>,
    traffic: Mutex<VecDeque<Decision>>,
}

impl Log {
    /// A log to standard output; it never blocks whoever logs, it drops and counts.
    pub fn new() -> Result<Self> {
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let stream = StdStreamSink::builder()
            .std_stream(StdStream::Stdout)
            .style_mode(StyleMode::Never)
            .formatter(Plain)
            .build_arc()?;
        let mut pool = ThreadPool::builder();
        if let Some(lines) = NonZeroUsize::new(QUEUE_LINES) {
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

    /// Logs a decision and keeps it for a while.
    pub fn decision(&self, mut d: Decision) {
        d.at_ms = wall_ms();
        if let Some(logger) = self.logger.load().as_ref() {
            spdlog::log!(logger: logger, Level::Info, "{}", line(&d));
        }
        let is_traffic = matches!(d.subject, Subject::Request | Subject::Backend);
        let (ring, kept) = if is_traffic {
            (&self.traffic, TRAFFIC_KEPT)
        } else {
            (&self.control, CONTROL_KEPT)
        };
        let mut ring = lock(ring);
        if ring.len() == kept {
            ring.pop_front();
        }
        ring.push_back(d);
    }

    /// The kept decisions on one thing, the oldest first.
    pub fn about(&self, subject: Subject, id: &str) -> Vec<Decision> {
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

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes out what waits, and takes no more lines. The sink's own flush only asks its thread for that and
    /// comes back at once: a process that then ended lost its last lines. Dropping the logger waits for the thread.
    pub fn close(&self) {
        drop(self.logger.swap(None));
    }
}

/// A decision as its line of JSON.
pub fn line(d: &Decision) -> String {
    let entry = d.code.entry();
    let mut map = Map::new();
    map.insert("at_ms".into(), Value::from(d.at_ms));
    map.insert("event".into(), Value::from(entry.number));
    map.insert("name".into(), Value::from(entry.name));
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
