//! Workers and hosts of the stand-in platform: executes orders, keeps leases, reports runs, and takes hosts down for
//! maintenance. The listeners call it for each request; tests and the soak call it to crash or unlist workers.

use std::time::{Duration, Instant};

use http_types::{Method, Response};
use rockwick::http::server::{answer, json};
use rockwick::http::Incoming;
use serde_json::{json, Value};
use smol::Timer;

use super::clocks::WorkerClock;
use super::order_faults::OrderDelivery;
use super::runs::Start;
use super::{Fleet, Host, Run, State, Worker, POLL_MS, UPKEEP_MS};

/// Longest lease that a worker accepts.
const LEASE_MAX_MS: u64 = 10_000;

/// Capacity of a worker, in thousandths of a core.
const CAPACITY_MILLI: u64 = 16_000;

impl Worker {
    /// Returns when its lease last lapsed; `None` if it never has.
    fn lapsed_at(&self, now_ms: u64) -> Option<u64> {
        match self.lease_until_ms <= now_ms {
            true => Some(self.lease_until_ms),
            false => self.lapsed_ms,
        }
    }
}

impl State {
    /// Ends the runs of an instance whose work is finished or whose lease has lapsed.
    fn end_finished_runs(&mut self, instance: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(instance) else {
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
            self.end_run(instance, &task, run.run, how, work_ms.min(lease_ms));
        }
    }

    fn end_all_finished_runs(&mut self, now_ms: u64) {
        let instances: Vec<String> = self
            .hosts
            .iter()
            .filter_map(|h| h.instance.clone())
            .collect();
        for instance in instances {
            self.end_finished_runs(&instance, now_ms);
        }
    }

    fn end_run(&mut self, instance: &str, task: &str, run: u64, how: &str, at_ms: u64) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.running.remove(task);
        let barred_through = worker.barred_through.entry(task.to_string()).or_default();
        *barred_through = (*barred_through).max(run);
        worker.last_end += 1;
        let row = json!([worker.last_end, task, run, how, ""]);
        worker.ended.push(row);
        let label = self.instance_label(instance);
        self.promises.record_end(task, how, (&label, run), at_ms);
    }

    /// Ends the worker instance on a host, with all its runs; returns its id.
    pub(super) fn end_instance(&mut self, n: usize, now_ms: u64) -> Option<String> {
        let instance = self.hosts[n].instance.take()?;
        self.end_finished_runs(&instance, now_ms);
        if let Some(worker) = self.workers.get_mut(&instance) {
            worker.running.clear();
        }
        Some(instance)
    }
}

impl Fleet {
    /// Starts a worker instance with a new id on a host.
    pub(super) fn start_new_instance(&self, n: usize) {
        let instance = format!("i-{}", self.lock().instances_started);
        self.start_instance(n, instance);
    }

    /// Starts a worker instance with this id on a host, and lists it.
    pub(super) fn start_instance(&self, n: usize, instance: String) {
        let row = {
            let mut state = self.lock();
            state.instances_started += 1;
            let serial = state.instances_started;
            let now_ms = self.clock_ms();
            let starts = state.workers.get(&instance).map(|earlier| earlier.starts);
            let clock = match (starts, state.has_clocks) {
                (Some(_), _) => WorkerClock::from_zero(now_ms),
                (None, true) => WorkerClock::random(&mut state.late_rng, now_ms),
                (None, false) => WorkerClock::default(),
            };
            let born_ms = state.draw_born_ms();
            let worker = Worker {
                serial,
                born_ms,
                clock,
                starts: starts.unwrap_or(0),
                ..Worker::default()
            };
            state.workers.insert(instance.clone(), worker);
            let host = &mut state.hosts[n];
            host.instance = Some(instance.clone());
            host.maintenance_wave = None;
            server_row(host, born_ms, false)
        };
        self.put("servers", "", &instance, &row);
    }

    /// Lists a host's worker with another address, such as that of a relay before it.
    pub fn announce(&self, n: usize, address: std::net::SocketAddr) {
        let mut state = self.lock();
        state.hosts[n].address = address;
        let host = &state.hosts[n];
        let worker = host
            .instance
            .as_ref()
            .and_then(|instance| state.workers.get(instance));
        let born_ms = worker.map_or(0, |w| w.born_ms);
        let is_draining = host.instance.as_ref().is_some_and(|i| state.is_draining(i));
        let row = server_row(host, born_ms, is_draining);
        let instance = host.instance.clone();
        drop(state);
        if let Some(instance) = instance {
            self.put("servers", "", &instance, &row);
        }
    }

    /// Lists a host's worker, and its later instances, as serving another pool.
    pub fn assign(&self, n: usize, pool: &str) {
        self.lock().hosts[n].pool = pool.to_string();
        self.relist(n);
    }

    /// Takes a host's worker off the list; it continues to serve.
    pub fn unlist(&self, n: usize) {
        let instance = self.lock().hosts[n].instance.clone();
        if let Some(instance) = instance {
            self.write("servers", "", &instance, None);
        }
    }

    /// Puts a host's worker back on the list.
    pub fn relist(&self, n: usize) {
        let address = self.worker_address(n);
        self.announce(n, address);
    }

    /// Returns the address that a host's worker announces for orders.
    pub fn worker_address(&self, n: usize) -> std::net::SocketAddr {
        self.lock().hosts[n].address
    }

    /// Crashes a host's worker; another instance starts after `back_ms`.
    pub fn crash(&self, n: usize, back_ms: u64) {
        self.crash_listed(n, back_ms, 0);
    }

    /// Crashes a host's worker; another instance starts after `back_ms`, and the former one stays listed beside it for
    /// `listed_ms`.
    pub fn crash_listed(&self, n: usize, back_ms: u64, listed_ms: u64) {
        let instance = self.lock().end_instance(n, self.clock_ms());
        if let Some(instance) = instance {
            self.replace_instance(n, instance, back_ms, listed_ms);
        }
    }

    fn replace_instance(&self, n: usize, instance: String, after_ms: u64, listed_ms: u64) {
        if self.lock().keeps_ids {
            self.restart_after(n, instance, after_ms);
            return;
        }
        let fleet = self.clone();
        self.runtime.spawn_detached(async move {
            Timer::after(Duration::from_millis(after_ms)).await;
            fleet.start_new_instance(n);
            Timer::after(Duration::from_millis(listed_ms)).await;
            fleet.write("servers", "", &instance, None);
        });
    }

    /// Returns the number of tasks that run now.
    pub fn running(&self) -> usize {
        let mut state = self.lock();
        state.end_all_finished_runs(self.clock_ms());
        let instances = state.hosts.iter().filter_map(|h| h.instance.as_ref());
        instances
            .map(|instance| state.workers[instance].running.len())
            .sum()
    }

    /// Returns the number of a job's tasks that run now.
    pub fn running_tasks_of(&self, job: &str) -> usize {
        let mut state = self.lock();
        state.end_all_finished_runs(self.clock_ms());
        let instances = state.hosts.iter().filter_map(|h| h.instance.as_ref());
        let tasks = instances.flat_map(|instance| state.workers[instance].running.keys());
        tasks.filter(|task| task.starts_with(job)).count()
    }

    /// Returns the hosts that were ordered into maintenance, in order of the orders.
    pub fn maintained_hosts(&self) -> Vec<String> {
        self.lock().maintenance_orders.clone()
    }

    pub(super) fn handle_hosts_call(&self, path: &str, incoming: &Incoming) -> Response {
        if path == "/machines" {
            let state = self.lock();
            let of = |h: &super::Host| {
                let name = if h.instance.is_some() { "up" } else { "upkeep" };
                let id = h.instance.clone().unwrap_or_default();
                json!({"machine": h.name, "pool": h.pool, "state": name, "id": id})
            };
            let hosts = state.hosts.iter().map(|h| of(h).to_string());
            let hosts: Vec<String> = hosts.chain(state.odd_hosts.iter().cloned()).collect();
            let body = format!(r#"{{"machines":[{}],"next_token":null}}"#, hosts.join(","));
            return answer(200, "application/json", body.into_bytes());
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
        self.maintain(n, wave)
    }

    fn maintain(&self, n: usize, wave: u64) -> Response {
        let mut state = self.lock();
        let name = state.hosts[n].name.clone();
        if state
            .maintained
            .get(&wave)
            .is_some_and(|done| done.contains(&name))
        {
            return json(200, &json!({}));
        }
        let Some(instance) = state.end_instance(n, self.clock_ms()) else {
            return json(409, &json!({"reason": "busy"}));
        };
        state.hosts[n].maintenance_wave = Some(wave);
        state.maintenance_orders.push(name.clone());
        state.maintained.entry(wave).or_default().insert(name);
        state.check_hosts_out(wave);
        drop(state);
        self.replace_instance(n, instance, UPKEEP_MS, 0);
        json(200, &json!({}))
    }

    pub(super) async fn handle_order(&self, n: usize, incoming: &Incoming) -> Response {
        let received = (self.clock_ms(), Instant::now());
        let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
        let is_renewal = incoming.head.url().path() == "/hold";
        let fencing_token = body["fencing_token"].as_u64().unwrap_or(0);
        let delivery = self.lock().draw_delivery(n, is_renewal, fencing_token);
        match delivery {
            OrderDelivery::Normal => return self.carry_out(n, incoming, &body, received).await,
            OrderDelivery::Lost => {
                self.wait_unanswered().await;
                return answer(503, "application/json", Vec::new());
            }
            OrderDelivery::Delayed(after) => self.delay_order(n, after).await,
            OrderDelivery::AnswerLost => {}
        }
        // The sender has stopped waiting, so the order gets no answer.
        let res = self.carry_out(n, incoming, &body, received).await;
        self.wait_unanswered().await;
        res
    }

    async fn carry_out(
        &self,
        n: usize,
        incoming: &Incoming,
        body: &Value,
        received: (u64, Instant),
    ) -> Response {
        let Some(instance) = self.lock().hosts[n].instance.clone() else {
            self.wait_unanswered().await;
            return answer(503, "application/json", Vec::new());
        };
        let named = incoming.header("Rockwick-Expected-Instance");
        if named.is_some_and(|want| want != instance) {
            return answer(421, "application/json", Vec::new());
        }
        let fencing_token = body["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            state.end_all_finished_runs(self.clock_ms());
            let Some(worker) = state.workers.get_mut(&instance) else {
                return answer(421, "application/json", Vec::new());
            };
            if fencing_token < worker.fencing_token {
                let shows_ms = worker.clock.local_ms(self.clock_ms());
                return refusal("fence", shows_ms);
            }
            worker.fencing_token = fencing_token;
            worker.lapsed_ms = worker.lapsed_at(self.clock_ms());
            let until_ms = body["deadline_ms"].as_u64().unwrap_or(0);
            let now_ms = self.clock_ms();
            let until_ms = worker.clock.platform_ms_at(until_ms, now_ms);
            let until_ms = until_ms.min(now_ms + LEASE_MAX_MS);
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
        match (incoming.head.method(), incoming.head.url().path()) {
            (Method::Post, "/run-start") => self.run_start(&instance, body, received),
            (Method::Post, "/run-stop") => self.run_stop(&instance, body),
            (Method::Post, "/hold") => self.renew_lease(&instance, body).await,
            _ => answer(404, "application/json", Vec::new()),
        }
    }

    fn run_start(
        &self,
        instance: &str,
        body: &Value,
        (received_ms, received_at): (u64, Instant),
    ) -> Response {
        let now_ms = self.clock_ms();
        let spec = body["spec"].as_str().unwrap_or("");
        let task = body["task"].as_str().unwrap_or("").to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let Some(worker) = state.workers.get(instance) else {
            return answer(421, "application/json", Vec::new());
        };
        let clock_ms = worker.clock.local_ms(now_ms);
        if body["deadline_ms"].as_u64().unwrap_or(0) <= clock_ms {
            return refusal("late", clock_ms);
        }
        if worker.running.get(&task).is_some_and(|r| r.run == run) {
            return json(200, &json!({"clock_ms": clock_ms}));
        }
        if worker
            .barred_through
            .get(&task)
            .is_some_and(|barred_through| run <= *barred_through)
        {
            return refusal("old", clock_ms);
        }
        // Tasks of the stand-in's callers take half a core each.
        if (worker.running.len() as u64 + 1) * 500 > CAPACITY_MILLI {
            return refusal("room", clock_ms);
        }
        let start = Start {
            at_ms: now_ms,
            ordered_ms: received_ms,
            instance: instance.to_string(),
            label: state.instance_label(instance),
            run,
            fencing_token: body["fencing_token"].as_u64().unwrap_or(0),
        };
        let token = start.fencing_token;
        state.note_start_on(instance, &task, token, received_ms, received_at);
        state.check_start(&task, spec, start);
        let work_ms = stated_work_ms(spec).unwrap_or(self.work_ms);
        let ends_ms = (!spec.contains("lasts")).then_some(now_ms + work_ms);
        if let Some(worker) = state.workers.get_mut(instance) {
            let begun = Run {
                run,
                started_ms: now_ms,
                ends_ms,
            };
            worker.running.insert(task, begun);
            worker.starts += 1;
        }
        json(200, &json!({"clock_ms": clock_ms}))
    }

    fn run_stop(&self, instance: &str, body: &Value) -> Response {
        let mut state = self.lock();
        let task = body["task"].as_str().unwrap_or("").to_string();
        let run = body["run"].as_u64().unwrap_or(0);
        if let Some(worker) = state.workers.get_mut(instance) {
            let there = worker.running.get(&task).is_some_and(|r| r.run == run);
            let barred_through = worker.barred_through.entry(task.clone()).or_default();
            *barred_through = (*barred_through).max(run);
            if there {
                state.end_run(instance, &task, run, "stopped", self.clock_ms());
            }
        }
        let clock = state.workers.get(instance).map(|w| w.clock);
        let clock_ms = clock.unwrap_or_default().local_ms(self.clock_ms());
        json(200, &json!({"clock_ms": clock_ms}))
    }

    async fn renew_lease(&self, instance: &str, body: &Value) -> Response {
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0);
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let label = self.lock().instance_label(instance);
        loop {
            if self.lock().instance_label(instance) != label {
                self.wait_unanswered().await;
                return answer(503, "application/json", Vec::new());
            }
            if let Some(res) = self.report_runs(instance, seen, Instant::now() >= until) {
                return res;
            }
            Timer::after(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Returns the worker's report, if there is an end to report or `at_once` is set; drops the ends up to `seen`.
    fn report_runs(&self, instance: &str, seen: u64, at_once: bool) -> Option<Response> {
        let now_ms = self.clock_ms();
        let mut state = self.lock();
        state.end_finished_runs(instance, now_ms);
        let worker = state.workers.get_mut(instance)?;
        let is_seen = |e: &Value| e[0].as_u64().unwrap_or(0) <= seen;
        let (acknowledged, rest): (Vec<Value>, Vec<Value>) =
            worker.ended.drain(..).partition(is_seen);
        worker.ended = rest;
        let ended = worker.ended.clone();
        let lapsed_ms = worker.lapsed_at(now_ms);
        let born_ms = worker.born_ms;
        let clock_ms = worker.clock.local_ms(now_ms);
        let running = worker.running.iter();
        let running: Vec<Value> = running
            .map(|(task, r)| json!([task, r.run, "", 100, 0]))
            .collect();
        let label = state.instance_label(instance);
        for end in acknowledged {
            let text = |n: usize| end[n].as_str().unwrap_or("").to_string();
            let of = (&*label, end[2].as_u64().unwrap_or(0));
            let (task, how) = (text(1), text(3));
            let promises = &mut state.promises;
            promises.acknowledge_end(&task, &how, of, lapsed_ms, now_ms);
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

/// Returns the run time that a task's text states behind `ms=`.
fn stated_work_ms(spec: &str) -> Option<u64> {
    let stated = spec.split(' ').find_map(|word| word.strip_prefix("ms="))?;
    stated.parse().ok()
}

fn server_row(host: &Host, born_ms: u64, is_draining: bool) -> Value {
    let state = if is_draining { "draining" } else { "ready" };
    json!({"service": host.pool, "address": host.address.to_string(), "zone": "hall",
        "state": state, "machine": host.name,
        "capacity": {"cpu": CAPACITY_MILLI, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1"],
        "sequence": 1, "born": born_ms})
}
