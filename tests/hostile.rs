//! Crowds of clients that send what no other client sends: the process lives on within bounds of memory and open
//! descriptors, and answers an ordinary caller afterwards. One test runs at a time.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_types::Method;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::Client;
use serde_json::{json, Value};
use standin::fleet::Fleet;

#[path = "hostile/content.rs"]
mod content;

/// The longest wait for a condition; far longer than any condition takes to hold, even on a busy machine.
const WAIT_MAX: Duration = Duration::from_secs(60);

const CALL_TIMEOUT_MS: u64 = 20_000;

/// How long the peak of memory stays the same before it is read.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

const POOL: &str = "pool";

static TURN: Mutex<()> = Mutex::new(());

/// One `rockwick serve` process on a platform of its own, which no other test uses at the same time.
pub(crate) struct Entry {
    child: Child,
    pub(crate) callers: SocketAddr,
    _platform: Fleet,
    _turn: MutexGuard<'static, ()>,
}

impl Entry {
    /// Starts the process and waits until it takes jobs.
    pub(crate) fn start() -> Self {
        let turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
        let platform = Fleet::start(POOL, 2, 50).expect("the stand-in starts");
        platform.configure(1, POOL);
        let (callers, ready) = (free_addr(), free_addr());
        let args = [
            ("--name", "e1".to_string()),
            ("--hall", "hall".to_string()),
            ("--listen", callers.to_string()),
            ("--ready", ready.to_string()),
            ("--metrics", free_addr().to_string()),
            ("--store", platform.address.to_string()),
            ("--hosts", platform.address.to_string()),
        ];
        let args = args.iter().flat_map(|(flag, value)| [*flag, &**value]);
        let child = Command::new(env!("CARGO_BIN_EXE_rockwick"))
            .arg("serve")
            .args(args)
            .stdout(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let entry = Self {
            child,
            callers,
            _platform: platform,
            _turn: turn,
        };
        let id = "00000000000000aa";
        entry.submit_ordinary(id);
        let deadline = Instant::now() + WAIT_MAX;
        while !entry.is_completed(id) {
            assert!(Instant::now() < deadline, "no ordinary job is run");
            std::thread::sleep(Duration::from_millis(20));
        }
        entry
    }

    fn is_completed(&self, id: &str) -> bool {
        let client = Client::new(self.callers);
        let Some(mut req) = client.request(Method::Get, &format!("/q/{id}")) else {
            return false;
        };
        req.insert_header("host", "queue.example");
        let answer = smol::block_on(client.exchange(req, deadline_after_ms(CALL_TIMEOUT_MS)));
        let state: Option<Value> = answer.ok().and_then(|a| a.json());
        state.is_some_and(|s| s["state"] == "completed")
    }

    fn peak_kb(&self) -> u64 {
        let pid = self.child.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"))
            .and_then(|text| text.trim().parse::<u64>().ok())
            .expect("the peak of resident memory")
    }

    /// Waits until the peak of memory stays the same: the entry has worked off what it accepted.
    fn wait_settled(&self) {
        let deadline = Instant::now() + WAIT_MAX;
        let (mut peak_kb, mut since) = (0, Instant::now());
        while since.elapsed() < SETTLED_AFTER && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(50));
            let now_kb = self.peak_kb();
            if now_kb != peak_kb {
                (peak_kb, since) = (now_kb, Instant::now());
            }
        }
    }

    /// Submits an ordinary job until it is accepted, and reads its state.
    pub(crate) fn submit_ordinary(&self, id: &str) {
        let step = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
        let body = json!({"spec": "work", "steps": [step]}).to_string();
        let path = format!("/q/{id}");
        let deadline = Instant::now() + WAIT_MAX;
        while send(self.callers, Method::Post, &path, &body) != Some(200) {
            assert!(
                Instant::now() < deadline,
                "no ordinary submission is accepted"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        while send(self.callers, Method::Get, &path, "") != Some(200) {
            assert!(Instant::now() < deadline, "no ordinary read is answered");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Checks that the process lives and has stayed within these bounds.
    pub(crate) fn assert_bounded(&mut self, memory_max_mb: u64, open_files_max: usize) {
        self.wait_settled();
        let exit = self.child.try_wait().expect("the child is known");
        assert_eq!(exit, None, "the process has ended");
        let (pid, peak_kb) = (self.child.id(), self.peak_kb());
        let open_files = std::fs::read_dir(format!("/proc/{pid}/fd"))
            .expect("the descriptors")
            .count();
        println!("peak {peak_kb} KB, {open_files} open files");
        assert!(peak_kb <= memory_max_mb * 1_024, "peak {peak_kb} KB");
        assert!(open_files <= open_files_max, "{open_files} open files");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Sends one call over a new connection and returns the status of its answer.
pub(crate) fn send(to: SocketAddr, method: Method, path: &str, body: &str) -> Option<u16> {
    let client = Client::new(to);
    let mut req = client.request(method, path)?;
    req.insert_header("host", "queue.example");
    if !body.is_empty() {
        req.set_body(body);
    }
    let deadline = deadline_after_ms(CALL_TIMEOUT_MS);
    let answer = smol::block_on(client.exchange(req, deadline)).ok()?;
    Some(answer.status)
}
