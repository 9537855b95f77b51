//! Stand-in backend server with a limited number of slots, which refuses requests, answers in faulty ways on command
//! and records each run. Run by the `backend` command, which the end-to-end tests start.

use rockwick::util::lock;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::{construct, long, Parser};
use futures_lite::io::AsyncWriteExt;
use http_types::Response;
use rockwick::clock::{wall_ms, Millis};
use rockwick::http::server::{self, Arrival};
use rockwick::http::{Incoming, Limits, Wire};
use rockwick::runtime::Runtime;
use serde::{Deserialize, Serialize};
use smol::{Async, Timer};

/// Time after which a hanging exchange is closed, so that no connection is left behind.
const HANG_MS: Millis = 120_000;

#[derive(Clone)]
pub(crate) struct Args {
    listen: Option<SocketAddr>,
    id: String,
    slots: u32,
    connections: u32,
    work_ms: Millis,
    threads: usize,
    fleet: Option<String>,
}

pub(crate) fn args() -> impl Parser<Args> {
    let listen = long("listen")
        .help("Address to listen on")
        .argument("IP:PORT")
        .optional();
    let id = long("id")
        .help("Name that answers carry")
        .argument("ID")
        .fallback("backend".to_string());
    let slots = long("slots")
        .help("Largest number of requests handled at once")
        .argument("N")
        .fallback(8);
    let connections = long("connections")
        .help("Largest number of open connections")
        .argument("N")
        .fallback(64);
    let work_ms = long("work-ms")
        .help("Milliseconds that one request takes")
        .argument("MS")
        .fallback(0);
    let threads = long("threads")
        .help("Number of threads")
        .argument("N")
        .fallback(2);
    let fleet = long("fleet")
        .help("Fleet file whose backend servers are run")
        .argument("FILE")
        .optional();
    construct!(Args {
        listen,
        id,
        slots,
        connections,
        work_ms,
        threads,
        fleet
    })
}

/// Names how requests are answered; the header `X-Fault` overrides it for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    /// Answers correctly.
    #[default]
    None,
    /// Answers 500 after the work.
    Fail,
    /// Gives no answer.
    Hang,
    /// Sends fewer bytes than announced, then closes the connection.
    Short,
    /// Closes the connection before any byte of the answer.
    Close,
    /// Sends neither a length nor chunks; the end of the connection ends the answer.
    CloseDelimited,
    /// Sends a whole answer and stray bytes after it.
    Stray,
    /// Sends two whole answers.
    Double,
    /// Sends two different content lengths.
    TwoLengths,
    /// Sends an interim answer (103) first.
    Interim,
    /// Sends something that is not HTTP.
    Garbage,
    /// Sends a whole answer in chunks.
    Chunked,
    /// Sends an answer in chunks and cuts it within a chunk.
    CutChunk,
    /// Refuses the request before running it.
    Refuse,
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Settings {
    fault: Fault,
    work_ms: Millis,
}

/// Records one run that was started.
#[derive(Clone, Debug, Serialize)]
struct RunLine {
    request: String,
    key: String,
    mark: String,
    /// Authorization header; the caller's token must never arrive here.
    token: String,
    at_ms: Millis,
}

#[derive(Serialize)]
struct Stats {
    runs: u64,
    refused: u64,
    peak: u32,
    in_flight: u32,
    last_run_ms: Millis,
}

struct Backend {
    id: String,
    slots: u32,
    connections: u32,
    settings: Mutex<Settings>,
    runs: Mutex<Vec<RunLine>>,
    begun: AtomicU64,
    refused: AtomicU64,
    in_flight: AtomicU32,
    peak: AtomicU32,
    connected: AtomicU32,
    /// When the last run was started, as Unix time.
    last_run_ms: AtomicU64,
}

/// Largest number of runs recorded; load tests only need the counts.
const RUNS_MAX: usize = 50_000;

pub(crate) fn run(args: Args) -> Result<(), String> {
    let runtime = Runtime::new("backend", args.threads).map_err(|e| e.to_string())?;
    let mut servers = Vec::new();
    if let Some(file) = &args.fleet {
        for host in crate::platform::read_fleet(file)?.hosts {
            for b in &host.backends {
                let id = format!("{}/{}", host.id, b.service);
                servers.push((b.address, id, b.slots, b.connections));
            }
        }
    }
    if let Some(listen) = args.listen {
        servers.push((listen, args.id.clone(), args.slots, args.connections));
    }
    for (addr, id, slots, connections) in servers {
        let listener = TcpListener::bind(addr).map_err(|e| format!("{addr}: {e}"))?;
        println!(
            "listening {} {id}",
            listener.local_addr().map_err(|e| e.to_string())?
        );
        let listener = Async::new(listener).map_err(|e| e.to_string())?;
        let backend = Arc::new(Backend::new(id, slots, connections, args.work_ms));
        runtime.spawn(backend.accept(listener, runtime)).detach();
    }
    smol::block_on(std::future::pending::<()>());
    Ok(())
}

impl Backend {
    fn new(id: String, slots: u32, connections: u32, work_ms: Millis) -> Self {
        Self {
            id,
            slots,
            connections,
            settings: Mutex::new(Settings {
                fault: Fault::None,
                work_ms,
            }),
            runs: Mutex::new(Vec::new()),
            begun: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            connected: AtomicU32::new(0),
            last_run_ms: AtomicU64::new(0),
        }
    }

    async fn accept(self: Arc<Self>, listener: Async<TcpListener>, runtime: Runtime) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.connected.load(Ordering::SeqCst) >= self.connections {
                continue;
            }
            self.connected.fetch_add(1, Ordering::SeqCst);
            let backend = Arc::clone(&self);
            runtime
                .spawn(async move {
                    backend.serve(stream).await;
                    backend.connected.fetch_sub(1, Ordering::SeqCst);
                })
                .detach();
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let wire = Wire::for_requests(stream);
        loop {
            let incoming = match server::read_request(&wire, Limits::default(), || false).await {
                Arrival::Request(incoming) => *incoming,
                _ => return,
            };
            let path = incoming.head.url().path().to_string();
            if path.starts_with("/control/") {
                let res = self.handle_control_call(&path, &incoming);
                if server::write_answer(&wire, res, incoming.head.method(), false)
                    .await
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if self.exchange(&wire, &incoming).await.is_none() {
                return;
            }
        }
    }

    fn handle_control_call(&self, path: &str, incoming: &Incoming) -> Response {
        match path {
            "/control/set" => {
                if let Ok(settings) = serde_json::from_slice(&incoming.body) {
                    *lock(&self.settings) = settings;
                }
                server::json(200, &*lock(&self.settings))
            }
            "/control/runs" => server::json(200, &*lock(&self.runs)),
            _ => server::json(200, &self.stats()),
        }
    }

    fn stats(&self) -> Stats {
        Stats {
            runs: self.begun.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            peak: self.peak.load(Ordering::SeqCst),
            in_flight: self.in_flight.load(Ordering::SeqCst),
            last_run_ms: self.last_run_ms.load(Ordering::SeqCst),
        }
    }

    /// Handles one request; returns `None` if the connection is to be closed.
    async fn exchange(&self, wire: &Wire, incoming: &Incoming) -> Option<()> {
        let settings = *lock(&self.settings);
        let requested = incoming.header("x-fault").map(|v| format!("\"{v}\""));
        let requested = requested.and_then(|v| serde_json::from_str(&v).ok());
        let fault = requested.unwrap_or(settings.fault);
        let method = incoming.head.method();
        if fault == Fault::Refuse || !self.take_slot() {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return server::write_answer(wire, refusal(), method, false)
                .await
                .ok();
        }
        self.record_run(incoming);
        let work_ms = incoming.header("x-work-ms").and_then(|v| v.parse().ok());
        let work_ms: Millis = work_ms.unwrap_or(settings.work_ms);
        if work_ms > 0 {
            Timer::after(Duration::from_millis(work_ms)).await;
        }
        let outcome = self.send_answer(wire, incoming, fault).await;
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        outcome
    }

    fn take_slot(&self) -> bool {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        if before >= self.slots {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        self.peak.fetch_max(before + 1, Ordering::SeqCst);
        true
    }

    fn record_run(&self, incoming: &Incoming) {
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.last_run_ms.store(wall_ms(), Ordering::SeqCst);
        let header = |name| incoming.header(name).unwrap_or_default().to_string();
        let mut runs = lock(&self.runs);
        if runs.len() < RUNS_MAX {
            runs.push(RunLine {
                request: header("rockwick-request"),
                key: header("idempotency-key"),
                mark: header("x-mark"),
                token: header("authorization"),
                at_ms: wall_ms(),
            });
        }
    }

    async fn send_answer(&self, wire: &Wire, incoming: &Incoming, fault: Fault) -> Option<()> {
        let body = self.body(incoming);
        let whole = |extra: &str| {
            format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{extra}\r\n{body}",
                body.len()
            )
        };
        let raw = match fault {
            Fault::None => {
                let mut res = server::answer(200, "text/plain", body.into_bytes());
                if let Some(mark) = incoming.header("x-mark") {
                    res.insert_header("x-mark", mark);
                }
                return server::write_answer(wire, res, incoming.head.method(), false)
                    .await
                    .ok();
            }
            Fault::Fail => {
                let res = server::answer(500, "text/plain", b"failed".to_vec());
                return server::write_answer(wire, res, incoming.head.method(), false)
                    .await
                    .ok();
            }
            Fault::Refuse => return None,
            Fault::Hang => {
                Timer::after(Duration::from_millis(HANG_MS)).await;
                return None;
            }
            Fault::Close => return None,
            Fault::Short => format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                body.len() + 10
            ),
            Fault::CloseDelimited => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
            Fault::Stray => whole("") + "stray bytes",
            Fault::Double => whole("") + &whole(""),
            Fault::TwoLengths => whole("content-length: 3\r\n"),
            Fault::Interim => format!("HTTP/1.1 103 Early Hints\r\n\r\n{}", whole("")),
            Fault::Garbage => "what is this\r\n\r\n".to_string(),
            Fault::Chunked => chunked(&body, "0\r\n\r\n"),
            Fault::CutChunk => chunked(&body, "ff\r\nno more"),
        };
        let mut out = wire.clone();
        out.write_all(raw.as_bytes()).await.ok()?;
        // After these faults the connection stays open, to see whether the client uses it again.
        matches!(fault, Fault::Stray | Fault::Double | Fault::Chunked).then_some(())
    }

    /// Returns the body of an answer: the server's name, the request's mark and its body.
    fn body(&self, incoming: &Incoming) -> String {
        let mark = incoming.header("x-mark").unwrap_or("-");
        let text = String::from_utf8_lossy(&incoming.body);
        format!("{} {mark} {text}", self.id)
    }
}

fn chunked(body: &str, end: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n{end}",
        body.len()
    )
}

fn refusal() -> Response {
    let mut res = server::answer(503, "text/plain", b"full".to_vec());
    res.insert_header("rockwick-run", "no");
    res.insert_header("retry-after", "1");
    res
}
