//! Starts the real binaries for tests, on ports chosen by the system: entries, and the stand-ins of the platform and of
//! the backend servers. The tests of entries use it.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_types::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::{Answer, Client, ExchangeError};
use serde_json::{json, Value};

/// The longest wait for a condition; far longer than any condition takes to hold, even on a busy machine.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(60);

/// The configuration of most tests: one service, one pool, and the accounts `demo` and `other`.
pub(crate) const CONFIG: &str = r#"
[[service]]
name = "route"
timeout_ms = 20000
[[account]]
name = "demo"
token_sha256 = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"
[[account]]
name = "other"
token_sha256 = "d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa"
[[template]]
name = "plain"
[template.fields.hosts]
[template.fields.serving_min]
[template.fields.reserve]
[[pool]]
name = "pool"
account = "demo"
template = "plain"
services = ["route"]
[pool.parameters]
hosts = 4
serving_min = 2
reserve = "none"
"#;

pub(crate) fn binary_path(name: &str) -> PathBuf {
    let mut path = PathBuf::from(env!("CARGO_BIN_EXE_rockwick"));
    path.set_file_name(name);
    assert!(
        path.exists(),
        "{name} is not built: cargo build --workspace"
    );
    path
}

/// A child process that is killed when the value is dropped.
pub(crate) struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub(crate) fn start(name: &str, args: &[String]) -> Self {
        let mut child = Command::new(binary_path(name))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            // A process group with a suspended member is resumed when its last parent outside of it ends.
            .process_group(0)
            .spawn()
            .expect("the binary starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&lines);
        let stdout = child.stdout.take().expect("stdout is piped");
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                seen.lock().expect("the lock is not poisoned").push(line);
            }
        });
        Self { child, lines }
    }

    /// Returns the lines that the process has printed so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("the lock is not poisoned").clone()
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.pid() as i32), signal).expect("the child process can be signalled");
    }

    /// Waits for the process to end and returns its exit code.
    pub(crate) fn wait_exit(&mut self) -> Option<i32> {
        wait_for("the process ends", || self.child.try_wait().ok().flatten()).code()
    }

    fn wait_listening(&self) -> SocketAddr {
        wait_for("the process listens", || {
            let lines = self.lines();
            let line = lines.iter().find_map(|l| l.strip_prefix("listening "))?;
            line.split(' ').next()?.parse().ok()
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Calls `check` every 20 ms until it returns a value; panics after [`WAIT_MAX`].
pub(crate) fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_MAX;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a free port on a loopback address that no other call returns. On a shared address an outgoing connection of
/// another test could take the port before the entry binds it.
pub(crate) fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let pid = std::process::id();
    let ip = [
        127,
        10 + (pid % 200) as u8,
        (n / 250) as u8,
        1 + (n % 250) as u8,
    ];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port");
    listener.local_addr().expect("an address")
}

/// A request to an entry, a backend server or the platform.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'a str, String)>,
    pub(crate) body: &'a str,
    pub(crate) timeout_ms: u64,
}

pub(crate) fn get(path: &str) -> Call<'_> {
    Call {
        method: Method::Get,
        path,
        headers: vec![("authorization", "Bearer demo".to_string())],
        body: "",
        timeout_ms: 30_000,
    }
}

pub(crate) fn post<'a>(path: &'a str, body: &'a str) -> Call<'a> {
    Call {
        method: Method::Post,
        body,
        ..get(path)
    }
}

impl<'a> Call<'a> {
    pub(crate) fn with(mut self, name: &'a str, value: impl ToString) -> Self {
        self.headers.retain(|(n, _)| *n != name);
        self.headers.push((name, value.to_string()));
        self
    }

    pub(crate) async fn send(self, client: &Client) -> Result<Answer, ExchangeError> {
        let mut req = client
            .request(self.method, self.path)
            .expect("a valid path");
        for (name, value) in &self.headers {
            req.insert_header(*name, value.as_str());
        }
        if !self.body.is_empty() {
            req.set_body(self.body);
        }
        client
            .exchange(req, deadline_after_ms(self.timeout_ms))
            .await
    }

    /// Sends the request over a new connection.
    pub(crate) fn to(self, addr: SocketAddr) -> Answer {
        self.try_to(addr).expect("an answer")
    }

    pub(crate) fn try_to(self, addr: SocketAddr) -> Result<Answer, ExchangeError> {
        smol::block_on(self.send(&Client::new(addr)))
    }
}

pub(crate) fn body_text(answer: &Answer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

pub(crate) fn body_json(answer: &Answer) -> Value {
    answer.json().unwrap_or(Value::Null)
}

/// A running entry and its addresses.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) process: Process,
}

impl Entry {
    pub(crate) fn is_ready(&self) -> bool {
        let ready = get("/readyz").try_to(self.admin);
        ready.is_ok_and(|a| a.status == 200)
    }

    pub(crate) fn wait_ready(&self) {
        wait_for("the entry is ready", || self.is_ready().then_some(()));
    }

    pub(crate) fn get_admin(&self, path: &str) -> Value {
        body_json(&get(path).to(self.admin))
    }

    pub(crate) fn send_edit(&self, edit: &Value) -> Answer {
        post("/v1/edit", &edit.to_string()).to(self.admin)
    }

    /// Returns the state of a host's row as this entry sees it; empty without a row.
    pub(crate) fn host_state(&self, id: &str) -> String {
        let host = self.get_admin(&format!("/v1/hosts/{id}"));
        host["row"]["state"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }

    /// Returns how many log events with this name the entry has written so far.
    pub(crate) fn count_logged(&self, name: &str) -> usize {
        let needle = format!("\"name\":\"{name}\"");
        self.process
            .lines()
            .iter()
            .filter(|l| l.contains(&needle))
            .count()
    }

    /// Runs an operators' command against this entry.
    pub(crate) fn run_command(&self, args: &[&str]) -> Output {
        let admin = self.admin.to_string();
        run_rockwick(args, &[("ROCKWICK_ENTRY", &admin)])
    }
}

/// Runs the `rockwick` binary and waits for it to end.
pub(crate) fn run_rockwick(args: &[&str], env: &[(&str, &str)]) -> Output {
    Command::new(binary_path("rockwick"))
        .args(args)
        .envs(env.iter().copied())
        .output()
        .expect("the binary starts")
}

/// A running stand-in of a backend server.
pub(crate) struct Backend {
    pub(crate) addr: SocketAddr,
    _process: Process,
}

impl Backend {
    pub(crate) fn start(id: &str, extra: &[&str]) -> Self {
        let mut args: Vec<String> = ["backend", "--listen", "127.0.0.1:0", "--id", id]
            .iter()
            .chain(extra)
            .map(|s| s.to_string())
            .collect();
        args.extend(["--threads".to_string(), "1".to_string()]);
        let process = Process::start("standin", &args);
        let addr = process.wait_listening();
        Self {
            addr,
            _process: process,
        }
    }

    pub(crate) fn set_fault(&self, fault: &str, work_ms: u64) {
        let body = json!({ "fault": fault, "work_ms": work_ms }).to_string();
        assert_eq!(post("/control/set", &body).to(self.addr).status, 200);
    }

    pub(crate) fn runs(&self) -> Vec<Value> {
        let runs = body_json(&get("/control/runs").to(self.addr));
        runs.as_array().cloned().unwrap_or_default()
    }

    pub(crate) fn stats(&self) -> Value {
        body_json(&get("/control/stats").to(self.addr))
    }
}

/// The settings that a fleet is started with.
pub(crate) struct Plan {
    pub(crate) hosts: usize,
    pub(crate) entries: usize,
    pub(crate) backend_args: Vec<&'static str>,
    pub(crate) platform_args: Vec<&'static str>,
    pub(crate) entry_args: Vec<&'static str>,
    pub(crate) config: Option<&'static str>,
}

impl Plan {
    pub(crate) fn new(hosts: usize, entries: usize) -> Self {
        Self {
            hosts,
            entries,
            backend_args: Vec::new(),
            platform_args: Vec::new(),
            entry_args: Vec::new(),
            config: Some(CONFIG),
        }
    }

    pub(crate) fn without_config(mut self) -> Self {
        self.config = None;
        self
    }

    pub(crate) fn with_config(mut self, text: &'static str) -> Self {
        self.config = Some(text);
        self
    }

    pub(crate) fn with_backend_args(mut self, args: &[&'static str]) -> Self {
        self.backend_args.extend(args);
        self
    }

    pub(crate) fn with_platform_args(mut self, args: &[&'static str]) -> Self {
        self.platform_args.extend(args);
        self
    }

    pub(crate) fn with_entry_args(mut self, args: &[&'static str]) -> Self {
        self.entry_args.extend(args);
        self
    }

    pub(crate) fn start(self) -> Fleet {
        Fleet::start(self)
    }
}

/// A platform, backend servers on hosts `h1`, `h2`, … with two hosts in a rack, and entries `e1`, `e2`, …
pub(crate) struct Fleet {
    pub(crate) platform: SocketAddr,
    pub(crate) backends: Vec<Backend>,
    pub(crate) entries: Vec<Entry>,
    entry_args: Vec<&'static str>,
    _platform: Process,
}

impl Fleet {
    fn start(plan: Plan) -> Self {
        let backends: Vec<Backend> = (1..=plan.hosts)
            .map(|n| Backend::start(&format!("h{n}"), &plan.backend_args))
            .collect();
        let file = write_fleet_file(&backends);
        let mut args = vec!["platform", "--listen", "127.0.0.1:0", "--fleet"];
        let path = file.to_string_lossy().into_owned();
        args.push(&path);
        args.extend(plan.platform_args.iter());
        if !plan.platform_args.contains(&"--reboot-ms") {
            args.extend(["--reboot-ms", "300"]);
        }
        let args: Vec<String> = args.iter().map(|s| s.to_string()).collect();
        let process = Process::start("standin", &args);
        let platform = process.wait_listening();
        let _ = std::fs::remove_file(file);
        let mut fleet = Self {
            platform,
            backends,
            entries: Vec::new(),
            entry_args: plan.entry_args,
            _platform: process,
        };
        let peers: Vec<SocketAddr> = (0..plan.entries).map(|_| free_addr()).collect();
        for n in 0..plan.entries {
            let entry = fleet.start_entry(&format!("e{}", n + 1), peers[n], &peers);
            fleet.entries.push(entry);
        }
        for entry in &fleet.entries {
            entry.wait_ready();
        }
        if let Some(text) = plan.config {
            fleet.apply_config(0, text);
            fleet.wait_settled();
        }
        fleet
    }

    /// Starts another entry on free addresses and does not wait for it to be ready.
    pub(crate) fn start_entry(&self, name: &str, peer: SocketAddr, peers: &[SocketAddr]) -> Entry {
        self.start_entry_at(name, free_addr(), free_addr(), peer, peers)
    }

    /// Starts another entry at the given addresses and does not wait for it to be ready.
    pub(crate) fn start_entry_at(
        &self,
        name: &str,
        listen: SocketAddr,
        admin: SocketAddr,
        peer: SocketAddr,
        peers: &[SocketAddr],
    ) -> Entry {
        let list: Vec<String> = peers.iter().map(|p| p.to_string()).collect();
        let mut args: Vec<String> = vec!["entry".into()];
        let flags = [
            ("--name", name.to_string()),
            ("--hall", "a".to_string()),
            ("--listen", listen.to_string()),
            ("--admin", admin.to_string()),
            ("--peer-listen", peer.to_string()),
            ("--peers", list.join(",")),
            ("--platform", self.platform.to_string()),
            ("--threads", "2".to_string()),
            ("--grace-ms", "500".to_string()),
        ];
        for (flag, value) in flags {
            args.extend([flag.to_string(), value]);
        }
        args.extend(self.entry_args.iter().map(|s| s.to_string()));
        Entry {
            name: name.to_string(),
            listen,
            admin,
            process: Process::start("rockwick", &args),
        }
    }

    /// Applies a configuration and waits until it is in force at every entry.
    pub(crate) fn apply_config(&self, expect: u64, text: &str) {
        let edit = json!({ "ask": "apply", "expect": expect, "text": text });
        let answer = self.entries[0].send_edit(&edit);
        assert_eq!(answer.status, 200, "{}", super::fleet::body_text(&answer));
        for entry in &self.entries {
            wait_for("the version is in force", || {
                (entry.get_admin("/v1/status")["config_version"] == expect + 1).then_some(())
            });
        }
    }

    /// Waits until every entry sees every pool with all the hosts that it asks for and none out.
    pub(crate) fn wait_settled(&self) {
        for entry in &self.entries {
            wait_for("pools have their hosts", || {
                let pools = entry.get_admin("/v1/pools");
                let full = |p: &Value| p["serving"] == p["wanted"] && p["out"] == 0;
                pools.as_array()?.iter().all(full).then_some(())
            });
        }
    }

    /// Sets the faults of the platform, in place of earlier ones.
    pub(crate) fn set_faults(&self, faults: Value) {
        let answer = post("/control/faults", &faults.to_string()).to(self.platform);
        assert_eq!(answer.status, 200);
    }

    pub(crate) fn clear_faults(&self) {
        self.set_faults(json!({}));
    }

    pub(crate) fn set_host_status(&self, host: &str, status: &str) {
        let body = json!({ "life": status }).to_string();
        let path = format!("/control/hosts/{host}");
        assert_eq!(post(&path, &body).to(self.platform).status, 200);
    }

    pub(crate) fn stats(&self) -> Value {
        body_json(&get("/control/stats").to(self.platform))
    }

    /// Counts the runs whose `field` has the value `mark`, at all backend servers.
    pub(crate) fn count_runs(&self, field: &str, mark: &str) -> usize {
        let all = self.backends.iter().flat_map(Backend::runs);
        all.filter(|r| r[field] == mark).count()
    }
}

fn write_fleet_file(backends: &[Backend]) -> PathBuf {
    let mut text = String::new();
    for (n, b) in backends.iter().enumerate() {
        let hall = ["a", "b"][n / 2 % 2];
        text.push_str(&format!(
            "[[host]]\nid = \"h{}\"\nhall = \"{hall}\"\nrack = \"{hall}{}\"\ncores = 16\n\
             memory_mb = 32768\n[[host.backend]]\nservice = \"route\"\naddress = \"{}\"\n\
             slots = 8\nconnections = 64\n",
            n + 1,
            n / 2,
            b.addr
        ));
    }
    let name = format!("rockwick-{}-{}.toml", std::process::id(), fastrand::u64(..));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the fleet file");
    path
}

/// Threads that send requests without pause until they are stopped.
pub(crate) struct LoadCallers {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<String>>>,
}

impl LoadCallers {
    /// Starts `callers` threads for each address; each request takes `work_ms` at its backend server. A caller whose
    /// answer says `connection: close` continues at the next address, as behind a load balancer.
    pub(crate) fn start(addrs: &[SocketAddr], callers: usize, work_ms: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..addrs.len() * callers)
            .map(|n| {
                let stop = Arc::clone(&stop);
                let addrs = addrs.to_vec();
                std::thread::spawn(move || send_until_stopped(n, &addrs, work_ms, &stop))
            })
            .collect();
        Self { stop, threads }
    }

    /// Stops the callers and returns the outcome of each request: `200`, another status with its body, or an error.
    /// Panics if an answer with status 200 belonged to another request.
    pub(crate) fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        let joined = self
            .threads
            .into_iter()
            .map(|t| t.join().expect("every caller got its own answers"));
        joined.flatten().collect()
    }
}

fn send_until_stopped(
    n: usize,
    addrs: &[SocketAddr],
    work_ms: u64,
    stop: &AtomicBool,
) -> Vec<String> {
    let mut at = n;
    let mut client = Client::new(addrs[at % addrs.len()]);
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let mark = format!("load-{n}-{}", outcomes.len());
        let call = post("/s/route/x", "b")
            .with("x-mark", &mark)
            .with("x-work-ms", work_ms);
        let result = smol::block_on(call.send(&client));
        if result
            .as_ref()
            .is_ok_and(|a| a.header("connection") == Some("close"))
        {
            at += 1;
            client = Client::new(addrs[at % addrs.len()]);
        }
        outcomes.push(match result {
            Ok(answer) if answer.status == 200 => {
                let got = body_text(&answer);
                assert!(got.ends_with(&format!(" {mark} b")), "{mark} got {got}");
                "200".to_string()
            }
            Ok(answer) => format!("{} {}", answer.status, body_text(&answer)),
            Err(error) => format!("{error:?}"),
        });
    }
    outcomes
}

/// Returns the outcomes other than `200`.
pub(crate) fn failures(outcomes: &[String]) -> Vec<&String> {
    outcomes.iter().filter(|t| *t != "200").collect()
}
