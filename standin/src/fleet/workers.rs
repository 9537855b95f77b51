//! Workers and hosts: orders, leases, accounts, and what may befall them.

use std::time::{Duration, Instant};

use http_types::{Method, Response};
use rockwick::http::server::{answer, json};
use rockwick::http::Incoming;
use serde_json::{json, Value};
use smol::Timer;

use super::clocks::WorkerClock;
use super::runs::Start;
use super::trouble::Fate;
use super::{Fleet, Run, State, Worker, LOOK_MS, UPKEEP_MS};

/// An order that got no answer by then is given up by its sender.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// A lease that a worker takes at most.
const LEASE_MAX_MS: u64 = 10_000;

/// Room of a worker, in thousandths of a core.
const ROOM_MILLI: u64 = 16_000;

impl Worker {
    /// When its lease last lapsed, as of now.
    fn lapsed_at(&self, now_ms: u64) -> Option<u64> {
        match self.lease_until_ms <= now_ms {
            true => Some(self.lease_until_ms),
            false => self.lapsed_ms,
        }
    }
}

impl State {
    /// Ends runs of a life that are over by their work or by its lease.
    fn settle(&mut self, life: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let lease_ms = worker.lease_until_ms;
        let how = |r: &Run| match r.ends_ms {
            Some(at) if at <= now_ms.min(lease_ms) => Some("done"),
            _ if lease_ms <= now_ms => Some("lapsed"),
            _ => None,
        };
        let over = worker.running.iter();
        let over: Vec<(String, Run, &str)> = over
            .filter_map(|(task, r)| Some((task.clone(), r.clone(), how(r)?)))
            .collect();
        for (task, run, how) in over {
            let work_ms = run.ends_ms.unwrap_or(lease_ms);
            self.end(life, &task, run.run, how, work_ms.min(lease_ms));
        }
    }

    fn settle_all(&mut self, now_ms: u64) {
        let lives: Vec<String> = self.hosts.iter().filter_map(|h| h.life.clone()).collect();
        for life in lives {
            self.settle(&life, now_ms);
        }
    }

    fn end(&mut self, life: &str, task: &str, run: u64, how: &str, at_ms: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.running.remove(task);
        let barred = worker.barred.entry(task.to_string()).or_default();
        *barred = (*barred).max(run);
        worker.next_end += 1;
        let row = json!([worker.next_end, task, run, how, ""]);
        worker.ended.push(row);
        let label = self.label(life);
        self.promises.note_end(task, how, (&label, run), at_ms);
    }

    /// A host's worker ends, with all that runs there.
    pub(super) fn end_life(&mut self, n: usize, now_ms: u64) -> Option<String> {
        let life = self.hosts[n].life.take()?;
        self.settle(&life, now_ms);
        if let Some(worker) = self.workers.get_mut(&life) {
            worker.running.clear();
        }
        Some(life)
    }
}

impl Fleet {
    /// A worker's new life on a host.
    pub(super) fn new_life(&self, n: usize) {
        let life = format!("i-{}", self.lock().lives);
        self.begin_life(n, life);
    }

    /// A life of this id begins on a host.
    pub(super) fn begin_life(&self, n: usize, life: String) {
        let row = {
            let mut state = self.lock();
            state.lives += 1;
            let serial = state.lives;
            let now_ms = self.clock_ms();
            let starts = state.workers.get(&life).map(|earlier| earlier.starts);
            let clock = match (starts, state.has_clocks) {
                (Some(_), _) => WorkerClock::anew(now_ms),
                (None, true) => WorkerClock::draw(&mut state.late_rng, now_ms),
                (None, false) => WorkerClock::default(),
            };
            let born_ms = state.born_ms();
            let worker = Worker {
                serial,
                born_ms,
                clock,
                starts: starts.unwrap_or(0),
                ..Worker::default()
            };
            state.workers.insert(life.clone(), worker);
            let host = &mut state.hosts[n];
            host.life = Some(life.clone());
            host.out_for = None;
            entry(&self.pool, &host.name, &host.address.to_string(), born_ms)
        };
        self.put("servers", "", &life, &row);
    }

    /// States another address for a host's worker, such as a relay's before it.
    pub fn announce(&self, n: usize, address: std::net::SocketAddr) {
        let mut state = self.lock();
        state.hosts[n].address = address;
        let host = &state.hosts[n];
        let worker = host.life.as_ref().and_then(|life| state.workers.get(life));
        let born_ms = worker.map_or(0, |w| w.born_ms);
        let row = entry(&self.pool, &host.name, &address.to_string(), born_ms);
        let life = host.life.clone();
        drop(state);
        if let Some(life) = life {
            self.put("servers", "", &life, &row);
        }
    }

    /// A host's worker leaves the list, and serves on.
    pub fn unlist(&self, n: usize) {
        let life = self.lock().hosts[n].life.clone();
        if let Some(life) = life {
            self.write("servers", "", &life, None);
        }
    }

    /// A host's worker is in the list again.
    pub fn relist(&self, n: usize) {
        let address = self.worker_address(n);
        self.announce(n, address);
    }

    /// Where a host's worker takes orders.
    pub fn worker_address(&self, n: usize) -> std::net::SocketAddr {
        self.lock().hosts[n].address
    }

    /// A host's worker crashes; another life comes so much later.
    pub fn crash(&self, n: usize, back_ms: u64) {
        self.crash_listed(n, back_ms, 0);
    }

    /// The same; the life that is over stays in the list for so long beside the next one.
    pub fn crash_listed(&self, n: usize, back_ms: u64, listed_ms: u64) {
        let life = self.lock().end_life(n, self.clock_ms());
        if let Some(life) = life {
            self.come_back(n, life, back_ms, listed_ms);
        }
    }

    fn come_back(&self, n: usize, life: String, after_ms: u64, listed_ms: u64) {
        if self.lock().keeps_ids {
            self.start_again(n, life, after_ms);
            return;
        }
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            Timer::after(Duration::from_millis(after_ms)).await;
            fleet.new_life(n);
            Timer::after(Duration::from_millis(listed_ms)).await;
            fleet.write("servers", "", &life, None);
        });
    }

    /// Tasks that run now.
    pub fn running(&self) -> usize {
        let mut state = self.lock();
        state.settle_all(self.clock_ms());
        let lives = state.hosts.iter().filter_map(|h| h.life.as_ref());
        lives.map(|life| state.workers[life].running.len()).sum()
    }

    /// Tasks of a job that run now.
    pub fn running_of(&self, job: &str) -> usize {
        let mut state = self.lock();
        state.settle_all(self.clock_ms());
        let lives = state.hosts.iter().filter_map(|h| h.life.as_ref());
        let tasks = lives.flat_map(|life| state.workers[life].running.keys());
        tasks.filter(|task| task.starts_with(job)).count()
    }

    /// Hosts that were ordered down, in order.
    pub fn upkeeps(&self) -> Vec<String> {
        self.lock().upkeeps.clone()
    }

    pub(super) fn hosts(&self, path: &str, incoming: &Incoming) -> Response {
        if path == "/machines" {
            let state = self.lock();
            let of = |h: &super::Host| {
                let name = if h.life.is_some() { "up" } else { "upkeep" };
                let id = h.life.clone().unwrap_or_default();
                json!({"machine": h.name, "pool": self.pool, "state": name, "id": id})
            };
            let hosts: Vec<Value> = state.hosts.iter().map(of).collect();
            return json(200, &json!({"machines": hosts, "next_token": null}));
        }
        let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
        let holder = incoming.header("Rockwick-Duty-Holder").unwrap_or("");
        if holder.is_empty() || incoming.header("Rockwick-Fencing-Token").is_none() {
            return json(409, &json!({"reason": "fence"}));
        }
        let name = body["machine"].as_str().unwrap_or("");
        let wave = body["wave"].as_u64().unwrap_or(0);
        let Some(n) = self.lock().hosts.iter().position(|h| h.name == name) else {
            return answer(400, "application/json", Vec::new());
        };
        self.upkeep(n, wave)
    }

    fn upkeep(&self, n: usize, wave: u64) -> Response {
        let mut state = self.lock();
        let name = state.hosts[n].name.clone();
        if state
            .upkept
            .get(&wave)
            .is_some_and(|done| done.contains(&name))
        {
            return json(200, &json!({}));
        }
        let Some(life) = state.end_life(n, self.clock_ms()) else {
            return json(409, &json!({"reason": "busy"}));
        };
        state.hosts[n].out_for = Some(wave);
        state.upkeeps.push(name.clone());
        state.upkept.entry(wave).or_default().insert(name);
        state.check_out(wave);
        drop(state);
        self.come_back(n, life, UPKEEP_MS, 0);
        json(200, &json!({}))
    }

    pub(super) async fn order(&self, n: usize, incoming: &Incoming) -> Response {
        let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
        let is_hold = incoming.head.url().path() == "/hold";
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        let (fate, serial) = {
            let mut state = self.lock();
            (state.fate(n, is_hold, fence), state.serial_on(n))
        };
        match fate {
            Fate::Usual => return self.carry_out(n, incoming, &body).await,
            Fate::Lost => {
                self.unanswered().await;
                return answer(503, "application/json", Vec::new());
            }
            Fate::Late(after) => {
                Timer::after(after).await;
                // What a process took ends with it; what is still on its way meets whichever life is there.
                if after > ORDER_TIMEOUT && self.lock().serial_on(n) != serial {
                    self.unanswered().await;
                    return answer(503, "application/json", Vec::new());
                }
            }
            Fate::Unheard => {}
        }
        // Nobody reads the answer: whoever sent the order gave up.
        let res = self.carry_out(n, incoming, &body).await;
        self.unanswered().await;
        res
    }

    async fn carry_out(&self, n: usize, incoming: &Incoming, body: &Value) -> Response {
        let Some(life) = self.lock().hosts[n].life.clone() else {
            self.unanswered().await;
            return answer(503, "application/json", Vec::new());
        };
        let named = incoming.header("Rockwick-Expected-Instance");
        if named.is_some_and(|want| want != life) {
            return answer(421, "application/json", Vec::new());
        }
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            state.settle_all(self.clock_ms());
            let Some(worker) = state.workers.get_mut(&life) else {
                return answer(421, "application/json", Vec::new());
            };
            if fence < worker.fence {
                let shows_ms = worker.clock.shows(self.clock_ms());
                return refusal("fence", shows_ms);
            }
            worker.fence = fence;
            worker.lapsed_ms = worker.lapsed_at(self.clock_ms());
            let until_ms = body["deadline_ms"].as_u64().unwrap_or(0);
            let now_ms = self.clock_ms();
            let until_ms = worker.clock.reaches(until_ms, now_ms);
            let until_ms = until_ms.min(now_ms + LEASE_MAX_MS);
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
        match (incoming.head.method(), incoming.head.url().path()) {
            (Method::Post, "/run-start") => self.run_start(&life, body),
            (Method::Post, "/run-stop") => self.run_stop(&life, body),
            (Method::Post, "/hold") => self.hold(&life, body).await,
            _ => answer(404, "application/json", Vec::new()),
        }
    }

    fn run_start(&self, life: &str, body: &Value) -> Response {
        let now_ms = self.clock_ms();
        let spec = body["spec"].as_str().unwrap_or("");
        let task = body["task"].as_str().unwrap_or("").to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let Some(worker) = state.workers.get(life) else {
            return answer(421, "application/json", Vec::new());
        };
        let clock_ms = worker.clock.shows(now_ms);
        if body["deadline_ms"].as_u64().unwrap_or(0) <= clock_ms {
            return refusal("late", clock_ms);
        }
        if worker.running.get(&task).is_some_and(|r| r.run == run) {
            return json(200, &json!({"clock_ms": clock_ms}));
        }
        if worker
            .barred
            .get(&task)
            .is_some_and(|barred| run <= *barred)
        {
            return refusal("old", clock_ms);
        }
        // Tasks of the stand-in's callers take half a core.
        if (worker.running.len() as u64 + 1) * 500 > ROOM_MILLI {
            return refusal("room", clock_ms);
        }
        let start = Start {
            at_ms: now_ms,
            life: life.to_string(),
            label: state.label(life),
            run,
            fence: body["fencing_token"].as_u64().unwrap_or(0),
        };
        state.check_start(&task, spec, start);
        let work_ms = stated_work_ms(spec).unwrap_or(self.work_ms);
        let ends_ms = (!spec.contains("lasts")).then_some(now_ms + work_ms);
        if let Some(worker) = state.workers.get_mut(life) {
            worker.running.insert(task, Run { run, ends_ms });
            worker.starts += 1;
        }
        json(200, &json!({"clock_ms": clock_ms}))
    }

    fn run_stop(&self, life: &str, body: &Value) -> Response {
        let mut state = self.lock();
        let task = body["task"].as_str().unwrap_or("").to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        if let Some(worker) = state.workers.get_mut(life) {
            let there = worker.running.get(&task).is_some_and(|r| r.run == run);
            let barred = worker.barred.entry(task.clone()).or_default();
            *barred = (*barred).max(run);
            if there {
                state.end(life, &task, run, "stopped", self.clock_ms());
            }
        }
        let clock = state.workers.get(life).map(|w| w.clock);
        let clock_ms = clock.unwrap_or_default().shows(self.clock_ms());
        json(200, &json!({"clock_ms": clock_ms}))
    }

    async fn hold(&self, life: &str, body: &Value) -> Response {
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0);
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let label = self.lock().label(life);
        loop {
            if self.lock().label(life) != label {
                self.unanswered().await;
                return answer(503, "application/json", Vec::new());
            }
            if let Some(res) = self.account(life, seen, Instant::now() >= until) {
                return res;
            }
            Timer::after(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// The worker's account, if there is an end to tell or `at_once` asks for it.
    fn account(&self, life: &str, seen: u64, at_once: bool) -> Option<Response> {
        let now_ms = self.clock_ms();
        let mut state = self.lock();
        state.settle(life, now_ms);
        let worker = state.workers.get_mut(life)?;
        let is_seen = |e: &Value| e[0].as_u64().unwrap_or(0) <= seen;
        let (noted, rest): (Vec<Value>, Vec<Value>) = worker.ended.drain(..).partition(is_seen);
        worker.ended = rest;
        let ended = worker.ended.clone();
        let lapsed_ms = worker.lapsed_at(now_ms);
        let born_ms = worker.born_ms;
        let clock_ms = worker.clock.shows(now_ms);
        let running = worker.running.iter();
        let running: Vec<Value> = running
            .map(|(task, r)| json!([task, r.run, "", 100, 0]))
            .collect();
        let label = state.label(life);
        for end in noted {
            let text = |n: usize| end[n].as_str().unwrap_or("").to_string();
            let of = (&*label, end[2].as_u64().unwrap_or(0));
            let (task, how) = (text(1), text(3));
            let promises = &mut state.promises;
            promises.note_seen(&task, &how, of, lapsed_ms, now_ms);
        }
        if ended.is_empty() && !at_once {
            return None;
        }
        let body =
            json!({"born": born_ms, "clock_ms": clock_ms, "running": running, "ended": ended});
        Some(json(200, &body))
    }
}

fn refusal(reason: &str, clock_ms: u64) -> Response {
    json(409, &json!({"clock_ms": clock_ms, "reason": reason}))
}

/// How long a task takes by its own text: the number behind `ms=`.
fn stated_work_ms(spec: &str) -> Option<u64> {
    let stated = spec.split(' ').find_map(|word| word.strip_prefix("ms="))?;
    stated.parse().ok()
}

fn entry(pool: &str, host: &str, address: &str, born_ms: u64) -> Value {
    json!({"service": pool, "address": address, "zone": "hall", "state": "ready", "machine": host,
        "capacity": {"cpu": ROOM_MILLI, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1"],
        "sequence": 1, "born": born_ms})
}
