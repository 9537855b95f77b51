//! Load generator: sends requests in an open loop, at random intervals with a fixed mean rate, and measures the latency
//! of each request from the time at which it was due. Run by the `load` command.

use rockwick::util::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bpaf::{construct, long, Parser};
use hdrhistogram::Histogram;
use http_types::Method;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::Client;
use rockwick::runtime::Runtime;
use serde::Serialize;
use smol::Timer;

#[derive(Clone)]
pub(crate) struct Args {
    target: Vec<SocketAddr>,
    service: String,
    rate: f64,
    seconds: f64,
    callers: usize,
    class: Option<String>,
    token: String,
    method: String,
    path: Option<String>,
    timeout_ms: u64,
    threads: usize,
    seed: u64,
    direct: Vec<SocketAddr>,
    rounds: usize,
    json: bool,
}

pub(crate) fn args() -> impl Parser<Args> {
    let target = long("target")
        .help("Entry to send to; repeat it to spread the load")
        .argument("IP:PORT")
        .some("--target is needed");
    let service = long("service")
        .help("Service named in the path")
        .argument("S")
        .fallback("route".to_string());
    let rate = long("rate")
        .help("Requests per second")
        .argument("R")
        .fallback(100.0);
    let seconds = long("seconds")
        .help("Seconds to run")
        .argument("S")
        .fallback(5.0);
    let callers = long("callers")
        .help("Idle connections kept per target")
        .argument("N")
        .fallback(64);
    let class = long("class")
        .help("Class of the requests: urgent, normal or batch")
        .argument("C")
        .optional();
    let token = long("token")
        .help("Bearer token of the caller")
        .argument("T")
        .fallback("demo".to_string());
    let method = long("method")
        .help("Method of the requests: GET or POST")
        .argument("M")
        .fallback("GET".to_string());
    let path = long("path")
        .help("Path to use instead of /s/SERVICE/load")
        .argument("P")
        .optional();
    let timeout_ms = long("timeout-ms")
        .help("Milliseconds to wait for an answer")
        .argument("MS")
        .fallback(10_000);
    let threads = long("threads")
        .help("Number of threads")
        .argument("N")
        .fallback(2);
    let seed = long("seed")
        .help("Seed of the arrival times")
        .argument("N")
        .fallback(1);
    let direct = long("direct")
        .help("Backend server; each round through the entries follows one sent to it directly")
        .argument("IP:PORT")
        .many();
    let rounds = long("rounds")
        .help("Number of rounds of a paired run")
        .argument("N")
        .fallback(5);
    let json = long("json").help("Print results as JSON").switch();
    construct!(Args {
        target,
        service,
        rate,
        seconds,
        callers,
        class,
        token,
        method,
        path,
        timeout_ms,
        threads,
        seed,
        direct,
        rounds,
        json
    })
}

#[derive(Serialize)]
struct Summary {
    sent: u64,
    ok: u64,
    statuses: BTreeMap<String, u64>,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    max_us: u64,
}

struct Tally {
    /// Latencies of the requests that were answered with status 200.
    times_us: Histogram<u64>,
    statuses: BTreeMap<String, u64>,
    ok: u64,
    sent: u64,
}

impl Tally {
    fn new() -> Result<Self, String> {
        Ok(Self {
            times_us: Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|e| e.to_string())?,
            statuses: BTreeMap::new(),
            ok: 0,
            sent: 0,
        })
    }

    fn record(&mut self, status: String, took: Duration) {
        self.sent += 1;
        if status == "200" {
            self.ok += 1;
            self.times_us.saturating_record(took.as_micros() as u64);
        }
        *self.statuses.entry(status).or_default() += 1;
    }

    fn summary(&self) -> Summary {
        Summary {
            sent: self.sent,
            ok: self.ok,
            statuses: self.statuses.clone(),
            p50_us: self.times_us.value_at_quantile(0.5),
            p99_us: self.times_us.value_at_quantile(0.99),
            p999_us: self.times_us.value_at_quantile(0.999),
            max_us: self.times_us.max(),
        }
    }
}

pub(crate) fn run(args: Args) -> Result<(), String> {
    let runtime = Runtime::new("load", args.threads).map_err(|e| e.to_string())?;
    if args.direct.is_empty() {
        let summary = smol::block_on(run_round(&args, &args.target, false, runtime))?;
        print_summary(&args, "through", &summary);
        return Ok(());
    }
    let mut ratios = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..args.rounds {
        let direct = smol::block_on(run_round(&args, &args.direct, true, runtime))?;
        let through = smol::block_on(run_round(&args, &args.target, false, runtime))?;
        print_summary(&args, "direct", &direct);
        print_summary(&args, "through", &through);
        ratios
            .0
            .push(through.p50_us as f64 / direct.p50_us.max(1) as f64);
        ratios
            .1
            .push(through.p99_us as f64 / direct.p99_us.max(1) as f64);
        ratios.2.push(through.sent - through.ok);
    }
    println!(
        "ratio through/direct: p50 {} p99 {}; answers not 200: {:?}",
        median_and_range(&mut ratios.0),
        median_and_range(&mut ratios.1),
        ratios.2
    );
    Ok(())
}

fn median_and_range(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(min), Some(median), Some(max)) => format!("{median:.2} ({min:.2} to {max:.2})"),
        _ => "-".to_string(),
    }
}

fn print_summary(args: &Args, what: &str, s: &Summary) {
    if args.json {
        println!("{}", serde_json::to_string(s).unwrap_or_default());
        return;
    }
    println!(
        "{what:8} sent {} ok {} p50 {} us p99 {} us p99.9 {} us max {} us {:?}",
        s.sent, s.ok, s.p50_us, s.p99_us, s.p999_us, s.max_us, s.statuses
    );
}

async fn run_round(
    args: &Args,
    targets: &[SocketAddr],
    is_direct: bool,
    runtime: Runtime,
) -> Result<Summary, String> {
    let tally = Arc::new(Mutex::new(Tally::new()?));
    let clients: Vec<Arc<Client>> = targets
        .iter()
        .map(|t| Arc::new(Client::new(*t).with_idle_max(args.callers)))
        .collect();
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let start = Instant::now();
    let mut due_s = 0.0;
    let mut tasks = Vec::new();
    while due_s < args.seconds {
        let due = start + Duration::from_secs_f64(due_s);
        Timer::at(due).await;
        let client = Arc::clone(&clients[rng.usize(..clients.len())]);
        let tally = Arc::clone(&tally);
        let request_args = args.clone();
        tasks.push(runtime.spawn(async move {
            let status = send_request(&request_args, &client, is_direct).await;
            lock(&tally).record(status, due.elapsed());
        }));
        // Exponentially distributed intervals, as between the requests of independent callers (a Poisson process).
        due_s += -(1.0 - rng.f64()).ln() / args.rate;
    }
    for task in tasks {
        task.await;
    }
    let summary = lock(&tally).summary();
    Ok(summary)
}

async fn send_request(args: &Args, client: &Client, is_direct: bool) -> String {
    let default_path = match is_direct {
        true => "/load".to_string(),
        false => format!("/s/{}/load", args.service),
    };
    let path = args
        .path
        .clone()
        .filter(|_| !is_direct)
        .unwrap_or(default_path);
    let method = if args.method == "POST" {
        Method::Post
    } else {
        Method::Get
    };
    let Some(mut req) = client.request(method, &path) else {
        return "bad path".to_string();
    };
    req.insert_header("authorization", format!("Bearer {}", args.token));
    if let Some(class) = &args.class {
        req.insert_header("rockwick-class", class.as_str());
    }
    match client
        .exchange(req, deadline_after_ms(args.timeout_ms))
        .await
    {
        Ok(answer) => answer.status.to_string(),
        Err(error) => format!("{error:?}"),
    }
}
