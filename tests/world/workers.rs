//! Simulated workers and hosts, and the checks on the orders that they receive.

use super::halls::hall_of;
use super::*;

/// Returns whether two tasks belong to the same step and round.
fn is_same_step(a: &TaskName, b: &TaskName) -> bool {
    a.job == b.job && a.round == b.round && a.step == b.step
}

impl World {
    pub(super) fn start_instance(&mut self, host: &str) {
        self.next_serial += 1;
        self.revision += 1;
        // Ids begin with a random number, so that their sort order does not show the order of instances.
        let id = format!("w{:04x}-{}", self.rng.u16(..), self.next_serial);
        let port = 1_000 + self.next_serial as u16;
        let info = WorkerInfo {
            id: id.clone(),
            born_wall_ms: Some(WALL_MS + self.now_ms),
            host: host.to_string(),
            pool: POOL.to_string(),
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            hall: hall_of(host),
            labels: vec!["a".to_string(), "r1".to_string()],
            capacity: Capacity {
                cpu_milli: 12_000,
                mem_mb: 8_000,
                gpu: 0,
            },
            is_draining: false,
        };
        let worker = Worker {
            clock_ahead_ms: self.rng.u64(0..1_000_000),
            ..Worker::new(info.clone(), self.next_serial)
        };
        self.workers.insert(id, worker);
        self.broadcast(&Event::Worker(WorkerEvent::Present(info)));
    }

    /// Carries out a start and schedules the lapse of the lease. The lease is renewed even if the run is already
    /// active, or if the start is refused as outdated or for lack of capacity.
    pub(super) fn start_run(&mut self, id: &str, fence: u64, start: &RunStart) -> OrderReply {
        let reply = self.start_leased_run(id, fence, start);
        let now_ms = self.now_ms;
        if let Some(w) = self.workers.get(id).filter(|w| w.is_up) {
            let lapse_ms = w.lease_until_ms.saturating_sub(w.clock(now_ms));
            self.schedule(lapse_ms, TimedEvent::Lapse(id.to_string()));
        }
        reply
    }

    fn start_leased_run(&mut self, id: &str, fence: u64, start: &RunStart) -> OrderReply {
        let now_ms = self.now_ms;
        let spec = self
            .specs
            .get(&start.task.job)
            .expect("the job was submitted");
        let step = spec.steps[usize::from(start.task.step)].clone();
        let demand = step.demand();
        let slow = if self.rng.u32(0..6) == 0 { 6 } else { 1 };
        let at_work_ms = now_ms + self.rng.u64(400..1_400) * slow;
        let w = match self.take_order(id, fence) {
            Ok(w) => w,
            Err(reply) => return reply,
        };
        if start.lease_until_ms <= w.clock(now_ms) {
            return OrderReply::TooLate;
        }
        let cap_ms = w.clock(now_ms) + RENEWAL_MAX_MS;
        w.lease_until_ms = w.lease_until_ms.max(start.lease_until_ms.min(cap_ms));
        if w.running
            .get(&start.task)
            .is_some_and(|r| r.run == start.run)
        {
            return OrderReply::Accepted;
        }
        if w.refused_through
            .get(&start.task)
            .is_some_and(|run| start.run <= *run)
        {
            return OrderReply::Outdated;
        }
        let serial = w.serial;
        if !self.accepts_ticket(serial, start) {
            return OrderReply::NoTicket;
        }
        let w = self.workers.get_mut(id).expect("the worker is up");
        let used: u64 = w.running.values().map(|r| r.demand.cpu_milli).sum();
        let is_over = used + demand.cpu_milli > w.info.capacity.cpu_milli;
        if is_over && !self.ignores_capacity {
            return OrderReply::NoRoom;
        }
        // The entry cannot know yet of a recent decrease of the capacity.
        let is_capacity_known = w
            .shrunk_ms
            .is_none_or(|at| now_ms >= at + UNDISTURBED_MS + HEARTBEAT_MS);
        assert!(
            !is_over || !is_capacity_known,
            "{now_ms} ms: {:?} starts on {id} over its capacity of {} beside {used} in use",
            start.task,
            w.info.capacity.cpu_milli
        );
        self.check_no_other_run(id, start);
        let resumed = match step.checkpoints {
            true => {
                let drawn_ms = self.rng.u64(step.estimate_ms / 2..=step.estimate_ms * 2);
                let set_ms = self.run_ms.get(&start.task).copied();
                self.resume(start, set_ms.unwrap_or(drawn_ms))
            }
            false => self.resume(start, 0),
        };
        let left_ms = step.checkpoints.then(|| resumed.left_ms());
        let w = self.workers.get_mut(id).expect("the worker is up");
        let run = ActiveRun {
            run: start.run,
            demand,
            since_ms: now_ms,
            at_work_ms,
            pace_percent: 100,
            resumed,
            work_ms: 0,
            done_us: 0,
            counted_ms: now_ms,
        };
        w.running.insert(start.task.clone(), run);
        self.starts += 1;
        self.record_start(id, start);
        self.check_start(id, &start.task);
        self.check_hall(id);
        self.check_draining(id, start);
        self.check_crasher_start(id, &start.task, start.run);
        let at_work = TimedEvent::AtWork(id.to_string(), start.task.clone(), start.run);
        self.schedule(at_work_ms - now_ms, at_work);
        let members = if step.gang { step.count } else { 1 };
        if step.gang && self.count_members(&start.task, start.run) < usize::from(members) {
            // The member ends if the others do not start in time.
            let alone = TimedEvent::GangAlone(id.to_string(), start.task.clone(), start.run);
            self.schedule(GANG_MS, alone);
        } else if !step.lasting {
            let drawn_ms = self.rng.u64(step.estimate_ms / 2..=step.estimate_ms * 2);
            let set_ms = self.run_ms.get(&start.task).copied();
            let work_ms = left_ms.or(set_ms).unwrap_or(drawn_ms);
            let w = self.workers.get_mut(id).expect("the worker is up");
            if let Some(run) = w.running.get_mut(&start.task) {
                run.work_ms = work_ms;
            }
            let end = TimedEvent::RunEnds(id.to_string(), start.task.clone(), start.run);
            self.schedule(work_ms, end);
        }
        OrderReply::Accepted
    }

    /// Ends all runs on a worker and breaks the gangs that had a member on it.
    pub(super) fn end_all_runs(&mut self, id: &str) {
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let lost = std::mem::take(&mut w.running);
        for (task, run) in lost {
            self.note_run_over(&run);
            self.end_other_members(&task, run.run, EndKind::GangBroken);
        }
    }

    /// Returns the number of members of a task's gang that are running under a run.
    pub(super) fn count_members(&self, task: &TaskName, run: u32) -> usize {
        let instances = self.workers.values().filter(|w| w.is_up);
        let running = instances.flat_map(|w| w.running.iter());
        let of_gang = running.filter(|(t, r)| is_same_step(t, task) && r.run == run);
        of_gang.count()
    }

    /// Checks the guarantees on starts: a task or a gang has one run at a time, and no start follows an acknowledged
    /// end or comes long after a cancel.
    pub(super) fn check_start(&self, id: &str, task: &TaskName) {
        for (other, w) in &self.workers {
            let runs_too = w.is_up && other != id && w.running.contains_key(task);
            assert!(
                !runs_too,
                "{} ms: {task:?} runs on {other} and on {id}",
                self.now_ms
            );
        }
        let run = self.workers[id].running[task].run;
        let is_gang = self.specs[&task.job].steps[usize::from(task.step)].gang;
        for (other, r) in self
            .workers
            .values()
            .filter(|w| w.is_up)
            .flat_map(|w| &w.running)
        {
            let is_member = is_same_step(other, task);
            assert!(
                !(is_gang && is_member && r.run != run),
                "{} ms: {task:?} starts as run {run} beside {other:?} of run {}",
                self.now_ms,
                r.run
            );
        }
        assert!(
            !self.acked_done.contains(task),
            "{} ms: {task:?} starts on {id} after its end was acknowledged",
            self.now_ms
        );
        if let Some(at_ms) = self.cancelled_at_ms.get(&task.job) {
            let late_ms = self.now_ms - at_ms;
            assert!(
                late_ms < 14_000,
                "{task:?} starts {late_ms} ms after its cancel"
            );
        }
    }

    /// Returns the worker that an order goes to, which keeps the order's fencing token, or why it refuses the order.
    pub(super) fn take_order(&mut self, id: &str, fence: u64) -> Result<&mut Worker, OrderReply> {
        let w = self.workers.get_mut(id).filter(|w| w.is_up);
        let w = w.ok_or(OrderReply::Refused)?;
        if fence < w.fence {
            return Err(OrderReply::Fenced);
        }
        w.fence = fence;
        Ok(w)
    }

    pub(super) fn stop_run(
        &mut self,
        id: &str,
        fence: u64,
        task: &TaskName,
        run: u32,
    ) -> OrderReply {
        let w = match self.take_order(id, fence) {
            Ok(w) => w,
            Err(reply) => return reply,
        };
        let refused_through = w.refused_through.entry(task.clone()).or_default();
        *refused_through = (*refused_through).max(run);
        if w.running.get(task).is_some_and(|r| r.run == run) {
            self.check_away_max(id, task);
            self.end_run(id, task, run, EndKind::Stopped);
        }
        OrderReply::Accepted
    }

    /// Checks that orders end no more lasting tasks of a step at a time than the step allows.
    pub(super) fn check_away_max(&mut self, id: &str, task: &TaskName) {
        let now_ms = self.now_ms;
        let Some(most) = self.specs[&task.job].steps[usize::from(task.step)].away_max else {
            return;
        };
        let instances = self.workers.values().filter(|w| w.is_up);
        let at_work: HashSet<TaskName> = instances
            .flat_map(|w| w.running.iter())
            .filter(|(_, r)| now_ms >= r.at_work_ms)
            .map(|(t, _)| t.clone())
            .collect();
        if !at_work.contains(task)
            || self.is_late_order
            || self.cancelled_at_ms.contains_key(&task.job)
        {
            return;
        }
        let others = self.ordered_away.iter();
        let others = others.filter(|t| t.job == task.job && t.step == task.step && *t != task);
        let away = others.count();
        assert!(
            away < usize::from(most),
            "{now_ms} ms: {task:?} is ended on {id} while {away} others are away"
        );
        self.ordered_away.insert(task.clone());
    }

    pub(super) fn renew_lease(
        &mut self,
        id: &str,
        fence: u64,
        request: RenewalRequest,
    ) -> Result<RenewalReport, OrderReply> {
        let now_ms = self.now_ms;
        let tails_ms = self.tails_ms(id);
        let w = self.workers.get_mut(id).filter(|w| w.is_up);
        let w = w.ok_or(OrderReply::Refused)?;
        if fence < w.fence {
            return Err(OrderReply::Fenced);
        }
        w.fence = fence;
        w.note_lapse(now_ms);
        if let Some(until_ms) = request.lease_until_ms {
            let cap_ms = w.clock(now_ms) + RENEWAL_MAX_MS;
            w.lease_until_ms = w.lease_until_ms.max(until_ms.min(cap_ms));
        }
        let (seen, rest): (Vec<RunEnd>, Vec<RunEnd>) = w
            .ended
            .drain(..)
            .partition(|e| e.number <= request.acked_through);
        w.ended = rest;
        w.progress_runs(now_ms);
        let reports_progress = self.deployment.stop_ms > 0;
        let w = &self.workers[id];
        let report = RenewalReport {
            born_wall_ms: w.info.born_wall_ms,
            clock_ms: w.clock(now_ms),
            unreadable: 0,
            running: w
                .running
                .iter()
                .map(|(task, r)| RunningTask {
                    task: task.clone(),
                    run: r.run,
                    checkpoint: self.checkpoint_of(task, r, false),
                    percent: match r.work_ms {
                        0 if now_ms >= r.at_work_ms => 100,
                        0 => 0,
                        _ if reports_progress => r.percent_done(),
                        _ if now_ms >= r.at_work_ms => 100,
                        _ => 0,
                    },
                    gauge: tails_ms.get(task).copied().unwrap_or(0),
                })
                .collect(),
            ended: w.ended.clone(),
        };
        let lapse_ms = w.lease_until_ms.saturating_sub(w.clock(now_ms));
        for end in seen {
            match end.kind {
                EndKind::Done => self.ack_done(id, end),
                EndKind::Failed => self.ack_failed(id, end),
                _ => {}
            }
        }
        self.schedule(lapse_ms, TimedEvent::Lapse(id.to_string()));
        Ok(report)
    }

    pub(super) fn end_run(&mut self, id: &str, task: &TaskName, run: u32, kind: EndKind) {
        self.end_single_run(id, task, run, kind);
        let kind = match kind {
            EndKind::Done => EndKind::Done,
            _ => EndKind::GangBroken,
        };
        self.end_other_members(task, run, kind);
    }

    /// Ends the other members of a task's gang.
    fn end_other_members(&mut self, task: &TaskName, run: u32, kind: EndKind) {
        let spec = &self.specs[&task.job].steps[usize::from(task.step)];
        if !spec.gang {
            return;
        }
        let instances = self.workers.iter().filter(|(_, w)| w.is_up);
        let others: Vec<(String, TaskName)> = instances
            .flat_map(|(id, w)| w.running.iter().map(move |(t, r)| (id, t, r)))
            .filter(|(_, t, r)| is_same_step(t, task) && r.run == run)
            .map(|(id, t, _)| (id.clone(), t.clone()))
            .collect();
        for (id, task) in others {
            self.end_single_run(&id, &task, run, kind);
        }
    }

    fn end_single_run(&mut self, id: &str, task: &TaskName, run: u32, kind: EndKind) {
        let over = self
            .workers
            .get_mut(id)
            .and_then(|w| w.running.remove(task));
        let checkpoint = match &over {
            Some(run) => {
                self.note_run_over(run);
                self.checkpoint_of(task, run, true)
            }
            None => String::new(),
        };
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let refused_through = w.refused_through.entry(task.clone()).or_default();
        *refused_through = (*refused_through).max(run);
        if kind == EndKind::Failed {
            let runs = self.failed_runs.entry(task.clone()).or_default();
            runs.insert(run);
        }
        let number = w.next_end;
        w.next_end += 1;
        if std::env::var_os("ROCKWICK_SEED").is_some() {
            println!("{} {id} ends {task:?} run {run}: {kind:?}", self.now_ms);
        }
        let at = start_history::EndState {
            ms: self.now_ms,
            starts: self.starts,
            lapses: w.lapses,
        };
        match kind {
            EndKind::Done => self.start_history.done.insert((w.serial, number), at),
            EndKind::Failed => self.start_history.failed.insert((w.serial, number), at),
            _ => None,
        };
        w.ended.push(RunEnd {
            number,
            task: task.clone(),
            run,
            kind,
            checkpoint,
        });
    }

    /// Returns whether an order reaches its worker now. An order that does not is lost, or is carried out later.
    pub(super) fn is_order_delivered(&mut self, worker: &str, late: LateOrder) -> bool {
        let is_disconnected = self
            .workers
            .get(worker)
            .is_some_and(|w| w.disconnected_until_ms > self.now_ms);
        if is_disconnected {
            return false;
        }
        if let Some(late_ms) = self.draw_lateness_ms() {
            self.schedule_late_order(worker, late_ms, late);
            return false;
        }
        if self.draw_chance(self.faults.order_lost) {
            if self.draw_chance(self.faults.order_late) {
                let late_ms = self.rng.u64(2_000..12_000);
                self.schedule_late_order(worker, late_ms, late);
            }
            return false;
        }
        true
    }

    /// Schedules a late order. It reaches whichever instance of the id is up then.
    fn schedule_late_order(&mut self, worker: &str, late_ms: u64, order: LateOrder) {
        self.schedule(
            late_ms,
            TimedEvent::LateOrderArrives(worker.to_string(), order),
        );
    }

    pub(super) fn apply_late_order(&mut self, id: &str, order: LateOrder) {
        match order {
            LateOrder::Start(fence, start) => {
                self.is_late_order = true;
                self.start_run(id, fence, &start);
                self.is_late_order = false;
            }
            LateOrder::Stop(fence, task, run) => {
                // Other tasks may have ended since the order was sent, which is not a fault.
                self.is_late_order = true;
                self.stop_run(id, fence, &task, run);
                self.is_late_order = false;
            }
            LateOrder::Pace(fence, task, run, percent) => {
                self.set_pace(id, fence, &task, run, percent);
            }
            LateOrder::Renew(fence, request) => {
                // The answer to a late renewal is lost.
                let _ = self.renew_lease(id, fence, request);
            }
        }
    }

    pub(super) fn lapse_lease(&mut self, id: &str) {
        let now_ms = self.now_ms;
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        if w.clock(now_ms) < w.lease_until_ms {
            return;
        }
        w.lapses += 1;
        let running: Vec<(TaskName, u32)> =
            w.running.iter().map(|(t, r)| (t.clone(), r.run)).collect();
        for (task, run) in running {
            self.end_run(id, &task, run, EndKind::Lapsed);
        }
    }

    pub(super) fn start_upkeep(&mut self, wave: u64, host: &str) -> HostReply {
        let maintained_hosts = self.maintained_hosts.entry(wave).or_default();
        if maintained_hosts.contains(host) {
            return HostReply::Accepted;
        }
        let up = self
            .workers
            .values_mut()
            .find(|w| w.is_up && w.info.host == host);
        let Some(w) = up else {
            return HostReply::Busy;
        };
        w.is_up = false;
        let id = w.info.id.clone();
        let ended: Vec<TaskName> = w.running.keys().cloned().collect();
        maintained_hosts.insert(host.to_string());
        self.runs_ended_by_upkeep += ended.len();
        for task in &ended {
            self.check_away_max(&id, task);
        }
        self.end_all_runs(&id);
        self.hosts_out.insert(host.to_string());
        self.max_hosts_out = self.max_hosts_out.max(self.hosts_out.len());
        self.schedule(2_000, TimedEvent::UpkeepOver(host.to_string()));
        HostReply::Accepted
    }

    /// Returns the id of the worker that is up on a host.
    pub(crate) fn worker_on(&self, host: &str) -> Option<String> {
        let mut up = self.workers.iter().filter(|(_, w)| w.is_up);
        let on_host = up.find(|(_, w)| w.info.host == host);
        on_host.map(|(id, _)| id.clone())
    }

    /// Returns the id of the worker that runs a task of a job's first step.
    pub(crate) fn worker_running(&self, job: &str, index: u16) -> Option<String> {
        let mut up = self.workers.iter().filter(|(_, w)| w.is_up);
        let runs_it = |w: &Worker| {
            let mut tasks = w.running.keys();
            tasks.any(|t| t.job == job && t.step == 0 && t.index == index)
        };
        up.find(|(_, w)| runs_it(w)).map(|(id, _)| id.clone())
    }

    /// Returns a host that has a slot of a wave and was not ordered out yet.
    pub(crate) fn find_host_with_waiting_slot(&self, wave: u64) -> Option<String> {
        let key = (Table::Waves, String::new(), wave.to_string());
        let (value, _) = self.store.get(&key)?;
        let row: rows::WaveRow = rows::decode(value).expect("the wave's row decodes");
        let mut waiting = row.out.iter().filter(|(_, slot)| !slot.is_ordered);
        waiting.next().map(|(host, _)| host.clone())
    }

    /// Returns the list of workers as the platform shows it.
    pub(super) fn listed_workers(&self) -> Vec<WorkerInfo> {
        let listed = self
            .workers
            .values()
            .filter(|w| !self.unlisted.contains(&w.info.id));
        listed.map(|w| w.info.clone()).collect()
    }

    pub(super) fn hosts(&self) -> Vec<HostRecord> {
        let mut hosts: BTreeMap<String, HostRecord> = BTreeMap::new();
        for w in self.workers.values() {
            let record = HostRecord {
                host: w.info.host.clone(),
                hall: w.info.hall.clone(),
                rack: w.info.labels.get(1).cloned().unwrap_or_default(),
                pool: POOL.to_string(),
                state: if w.is_up {
                    HostState::Up
                } else {
                    HostState::Upkeep
                },
                worker: w.info.id.clone(),
            };
            let is_up = hosts
                .get(&record.host)
                .is_some_and(|h| h.state == HostState::Up);
            if !is_up {
                hosts.insert(record.host.clone(), record);
            }
        }
        hosts.into_values().collect()
    }
}
