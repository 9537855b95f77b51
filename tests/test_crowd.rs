//! Crowds of clients that do not behave: a process stays within its memory and its descriptors, and answers others.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_types::Method;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use rockwick::http::client::deadline_after_ms;
use rockwick::http::Client;
use serde_json::json;
use standin::fleet::Fleet;

use crate::fleet::{free_addr, get, wait_for, Plan, Process};

/// The memory of a machine in these tests, of which the process under test is told.
const MEMORY_MB: u64 = 40;

/// The share of the 4,100 descriptors of a machine with 260 MB that a machine with [`MEMORY_MB`] has.
const FDS_OF_MEMORY: u64 = 4_100 * MEMORY_MB / 260;

/// The descriptors of a machine in the tests that use them up.
const MAX_FDS: u64 = 128;

/// The descriptors that a crowd must leave for the store, workers and files.
const SPARE_FDS: u64 = 16;

/// The number of clients in a crowd; one whose clients do not read answers has twice as many.
const CLIENTS: usize = 150;

/// The largest legal body, which no client of a crowd completes.
const BODY_BYTES: usize = 256 << 10;

/// The longest time that a crowd sends. It ends earlier once everything is sent or refused.
const SEND_MAX: Duration = Duration::from_secs(8);

const POOL: &str = "pool";
const JOB: &str = "00000000000000aa";

static ALONE: Mutex<()> = Mutex::new(());

/// Waits for the other tests of this binary, and sets the limits that the processes of this test inherit.
fn begin(limits: &[(&str, u64)]) -> MutexGuard<'static, ()> {
    let alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    for name in ["ROCKWICK_MEMORY_MB", "ROCKWICK_MAX_FDS"] {
        match limits.iter().find(|(n, _)| *n == name) {
            Some((_, value)) => std::env::set_var(name, value.to_string()),
            None => std::env::remove_var(name),
        }
    }
    alone
}

fn begin_with_memory() -> MutexGuard<'static, ()> {
    begin(&[("ROCKWICK_MEMORY_MB", MEMORY_MB)])
}

/// A `rockwick serve` on a stand-in of the platform.
struct Serving {
    process: Process,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    _platform: Fleet,
}

impl Serving {
    fn start() -> Self {
        let platform = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
        platform.configure(1, POOL);
        let (callers, ready, metrics) = (free_addr(), free_addr(), free_addr());
        let to = platform.address;
        let args = format!(
            "serve --name e1 --hall hall --listen {callers} --ready {ready} --metrics {metrics} --store {to} --hosts {to}"
        );
        let args: Vec<String> = args.split(' ').map(str::to_string).collect();
        let process = Process::start("rockwick", &args);
        let serving = Self {
            process,
            callers,
            ready,
            metrics,
            _platform: platform,
        };
        wait_for("the entry is ready", || {
            let answer = get("/readyz").try_to(ready).ok()?;
            (answer.status == 200).then_some(())
        });
        serving
    }

    /// Starts the process with the soft limit of descriptors lowered to [`MAX_FDS`].
    fn start_with_few_fds() -> Self {
        let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
        setrlimit(Resource::RLIMIT_NOFILE, MAX_FDS, hard).expect("a lower limit");
        let serving = Self::start();
        setrlimit(Resource::RLIMIT_NOFILE, soft, hard).expect("the former limit");
        serving
    }

    /// Submits one small job, once.
    fn submit(&self) -> Option<u16> {
        let client = Client::new(self.callers);
        let mut req = client.request(Method::Post, &format!("/q/{JOB}"))?;
        req.insert_header("host", "queue.example");
        let step = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
        req.set_body(json!({"spec": "work", "steps": [step]}).to_string());
        let answer = smol::block_on(client.exchange(req, deadline_after_ms(10_000)));
        answer.ok().map(|a| a.status)
    }
}

/// What a process used at the most while it was watched.
#[derive(Debug, Default)]
struct Used {
    resident_bytes: u64,
    unread_bytes: u64,
    fds: u64,
}

/// Watches the memory and the descriptors of a process.
struct Watch {
    pid: u32,
    ports: Vec<u16>,
    used: Used,
}

impl Watch {
    fn new(process: &Process, listeners: &[SocketAddr]) -> Self {
        Self {
            pid: process.pid(),
            ports: listeners.iter().map(SocketAddr::port).collect(),
            used: Used::default(),
        }
    }

    fn look(&mut self) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid));
        let peak_kb = status.ok().and_then(|text| {
            let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
            line.trim().split(' ').next()?.parse::<u64>().ok()
        });
        self.used.resident_bytes = peak_kb.expect("the process lives") * 1_024;
        let fds = fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count);
        self.used.fds = self.used.fds.max(fds as u64);
        self.used.unread_bytes = self.used.unread_bytes.max(unread_bytes(&self.ports));
    }

    /// Checks that resident memory and unread bytes stayed within the machine's memory, and descriptors within `fds_max`.
    fn check(mut self, what: &str, fds_max: u64) {
        self.look();
        println!("measured {what}: {:?}", self.used);
        let used_bytes = self.used.resident_bytes + self.used.unread_bytes;
        let bound_bytes = MEMORY_MB * 1_000_000;
        assert!(
            used_bytes <= bound_bytes,
            "{what}: {used_bytes} bytes, {:?}",
            self.used
        );
        assert!(self.used.fds <= fds_max, "{what}: {:?}", self.used);
    }
}

/// Returns the bytes that the kernel holds for connections of these local ports and that their process has not read.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?.split_once(':')?.1;
        let port = u16::from_str_radix(local, 16).ok()?;
        let (is_listening, queues) = (fields.nth(1)? == "0A", fields.next()?);
        let bytes = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        (ports.contains(&port) && !is_listening).then_some(bytes)
    };
    table.lines().filter_map(unread).sum()
}

/// One connection of a crowd.
struct Member {
    stream: TcpStream,
    sent_bytes: usize,
    is_over: bool,
}

/// Connections that all send the same bytes, in pieces of the same size, and stay open.
struct Crowd {
    members: Vec<Member>,
}

impl Crowd {
    fn connect(to: SocketAddr, clients: usize) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Member {
                stream,
                sent_bytes: 0,
                is_over: false,
            })
        };
        Self {
            members: (0..clients).filter_map(connect).collect(),
        }
    }

    /// Sends by turns until every member has sent all, or was refused, or [`SEND_MAX`] is over. `reads` tells whether the
    /// clients read answers.
    fn send(&mut self, bytes: &[u8], piece_bytes: usize, reads: bool, watch: &mut Watch) {
        let end = Instant::now() + SEND_MAX;
        while Instant::now() < end && self.members.iter().any(|m| !m.is_over) {
            for member in self.members.iter_mut().filter(|m| !m.is_over) {
                member.send_piece(bytes, piece_bytes, reads);
            }
            watch.look();
            std::thread::sleep(Duration::from_millis(1));
        }
        watch.look();
    }
}

impl Member {
    fn send_piece(&mut self, bytes: &[u8], piece_bytes: usize, reads: bool) {
        let mut buf = [0u8; 4_096];
        if reads && matches!(self.stream.read(&mut buf), Ok(0)) {
            self.is_over = true;
            return;
        }
        let piece_end = bytes.len().min(self.sent_bytes + piece_bytes);
        match self.stream.write(&bytes[self.sent_bytes..piece_end]) {
            Ok(n) => self.sent_bytes += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_over = true,
        }
        self.is_over |= self.sent_bytes == bytes.len();
    }
}

fn counted_body() -> Vec<u8> {
    let mut bytes = format!(
        "POST /q/{JOB} HTTP/1.1\r\nHost: queue.example\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
    bytes
}

fn chunked_body(rest: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /q/{JOB} HTTP/1.1\r\nHost: queue.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    [head.as_bytes(), rest].concat()
}

/// Returns the start of a body in one chunk that declares `declared` bytes.
fn one_chunk(declared: u64) -> Vec<u8> {
    let mut rest = format!("{declared:x}\r\n").into_bytes();
    rest.resize(rest.len() + BODY_BYTES - 1, b'x');
    chunked_body(&rest)
}

/// Plays a crowd against the callers' listener, then asks for one ordinary answer while the crowd is connected.
fn play(what: &str, bytes: &[u8], piece_bytes: usize, reads: bool) {
    let _alone = begin_with_memory();
    let serving = Serving::start();
    let mut watch = Watch::new(&serving.process, &[serving.callers]);
    let clients = if reads { CLIENTS } else { 2 * CLIENTS };
    let mut crowd = Crowd::connect(serving.callers, clients);
    crowd.send(bytes, piece_bytes, reads, &mut watch);
    let status = serving.submit();
    watch.check(what, FDS_OF_MEMORY);
    assert_eq!(status, Some(200), "{what}: an ordinary request");
    drop(crowd);
}

#[test]
fn crowd_whole_bodies() {
    play("whole bodies", &counted_body(), BODY_BYTES, true);
}

#[test]
fn crowd_body_pieces() {
    play("pieces", &counted_body(), 8 << 10, true);
}

#[test]
fn crowd_one_chunk() {
    play("one chunk", &one_chunk(BODY_BYTES as u64), BODY_BYTES, true);
}

#[test]
fn crowd_endless_chunk() {
    play("endless chunk", &one_chunk((1 << 63) - 1), BODY_BYTES, true);
}

#[test]
fn crowd_tiny_chunks() {
    let rest = b"1\r\nx\r\n".repeat(BODY_BYTES - 1);
    play("tiny chunks", &chunked_body(&rest), BODY_BYTES, true);
}

#[test]
fn crowd_unread_answers() {
    let gets = "GET / HTTP/1.1\r\nHost: unknown.example\r\n\r\n".repeat(30_000);
    play("unread answers", gets.as_bytes(), 64 << 10, false);
}

#[test]
fn crowd_endless_heads() {
    let head = format!(
        "GET / HTTP/1.1\r\nHost: queue.example\r\n{}",
        "X: y\r\n".repeat(40_000)
    );
    play("endless heads", head.as_bytes(), 4 << 10, true);
}

#[test]
fn crowd_endless_trailers() {
    let rest = format!("1\r\nx\r\n0\r\n{}", "X: y\r\n".repeat(40_000));
    play(
        "endless trailers",
        &chunked_body(rest.as_bytes()),
        4 << 10,
        true,
    );
}

#[test]
fn crowd_chunk_extensions() {
    let rest = format!("1;{}", "a=b;".repeat(60_000));
    play("extensions", &chunked_body(rest.as_bytes()), 4 << 10, true);
}

#[test]
fn crowd_chunk_zeros() {
    let rest = "0".repeat(BODY_BYTES);
    play("zeros", &chunked_body(rest.as_bytes()), 4 << 10, true);
}

/// Plays a crowd of unfinished bodies against a listener for checks, then asks for one check and one ordinary answer.
fn play_status(what: &str, path: &str, choose: impl Fn(&Serving) -> SocketAddr) {
    let _alone = begin_with_memory();
    let serving = Serving::start();
    let to = choose(&serving);
    let mut watch = Watch::new(&serving.process, &[to]);
    let mut crowd = Crowd::connect(to, CLIENTS);
    crowd.send(&counted_body(), BODY_BYTES, true, &mut watch);
    let (checked, status) = (get(path).try_to(to), serving.submit());
    watch.check(what, FDS_OF_MEMORY);
    assert_eq!(checked.ok().map(|a| a.status), Some(200), "{what}");
    assert_eq!(status, Some(200), "{what}: an ordinary request");
}

#[test]
fn crowd_ready_bodies() {
    play_status("bodies at the readiness check", "/readyz", |s| s.ready);
}

#[test]
fn crowd_metrics_bodies() {
    play_status("bodies at the metrics", "/metrics", |s| s.metrics);
}

/// Opens more connections than a process has descriptors, by turns to its listeners, and sends nothing.
fn play_idle(what: &str, choose: impl Fn(&Serving) -> SocketAddr) {
    let _alone = begin(&[("ROCKWICK_MAX_FDS", MAX_FDS)]);
    let serving = Serving::start_with_few_fds();
    let mut watch = Watch::new(&serving.process, &[]);
    let crowd = Crowd::connect(choose(&serving), CLIENTS);
    for _ in 0..50 {
        watch.look();
        std::thread::sleep(Duration::from_millis(10));
    }
    let status = serving.submit();
    watch.check(what, MAX_FDS - SPARE_FDS);
    assert_eq!(status, Some(200), "{what}: an ordinary request");
    drop(crowd);
}

#[test]
fn crowd_idle() {
    play_idle("idle", |s| s.callers);
}

#[test]
fn crowd_idle_ready() {
    play_idle("idle at the readiness check", |s| s.ready);
}

#[test]
fn crowd_idle_metrics() {
    play_idle("idle at the metrics", |s| s.metrics);
}

#[test]
fn crowd_entry_bodies() {
    let _alone = begin_with_memory();
    let fleet = Plan::new(4, 1).start();
    let entry = &fleet.entries[0];
    let mut watch = Watch::new(&entry.process, &[entry.listen]);
    let mut crowd = Crowd::connect(entry.listen, CLIENTS);
    crowd.send(&counted_body(), BODY_BYTES, true, &mut watch);
    let answer = get("/s/route/x").try_to(entry.listen);
    watch.check("entry bodies", FDS_OF_MEMORY);
    assert_eq!(answer.ok().map(|a| a.status), Some(200));
}

#[test]
fn crowd_of_one() {
    // In calm, a body of the largest legal size is served, whole or in chunks.
    let _alone = begin_with_memory();
    let serving = Serving::start();
    let step = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
    let mut body = json!({"spec": "work", "steps": [step]}).to_string();
    body.push_str(&" ".repeat(BODY_BYTES - body.len()));
    let chunks: Vec<String> = body
        .as_bytes()
        .chunks(1_000)
        .map(|chunk| {
            format!(
                "{:x}\r\n{}\r\n",
                chunk.len(),
                String::from_utf8_lossy(chunk)
            )
        })
        .collect();
    let chunked = chunked_body(format!("{}0\r\n\r\n", chunks.concat()).as_bytes());
    let head = format!(
        "POST /q/{JOB} HTTP/1.1\r\nHost: queue.example\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}"
    );
    for bytes in [head.into_bytes(), chunked] {
        let mut stream = TcpStream::connect(serving.callers).expect("a connection");
        stream.write_all(&bytes).expect("the entry reads all");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 200");
    }
}

#[test]
fn crowd_told_once() {
    // The log tells once that a limit is met and once that it no longer is, however many clients there were.
    let _alone = begin_with_memory();
    let serving = Serving::start();
    let mut watch = Watch::new(&serving.process, &[serving.callers]);
    let mut crowd = Crowd::connect(serving.callers, CLIENTS);
    crowd.send(&counted_body(), BODY_BYTES, true, &mut watch);
    drop(crowd);
    let lines_of = |name: &str| {
        let needle = format!("\"name\":\"{name}\"");
        let lines = serving.process.lines();
        lines.into_iter().filter(move |l| l.contains(&needle))
    };
    let free = wait_for("the limit is no longer met", || {
        lines_of("intake-free").next()
    });
    let free: serde_json::Value = serde_json::from_str(&free).expect("a line of JSON");
    let told = free["refused"].as_u64().unwrap_or(0) + free["closed"].as_u64().unwrap_or(0);
    assert!(told > 0, "{free}");
    assert_eq!(lines_of("intake-limited").count(), 1);
    let metrics = get("/metrics").to(serving.metrics);
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let count_of = |name: &str| -> u64 {
        let value = text.lines().find_map(|l| l.strip_prefix(name));
        value.and_then(|v| v.trim().parse().ok()).unwrap_or(0)
    };
    let counted =
        count_of("rockwick_intake_refused_total ") + count_of("rockwick_intake_closed_total ");
    assert_eq!(counted, told);
}
