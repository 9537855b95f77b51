//! Jobs: placement under an attempt number, starts and stops, and the handling of task reports. A job that is not
//! repeatable never runs twice.
//!
//! The row with the attempt is committed before the start is ordered. A start that may have been lost is ordered
//! again under the same attempt, which the platform runs at most once. An attempt counts as never started only when
//! the platform has promised that it never will. The entry that owns a job's pool decides for the job.

use std::collections::{BTreeSet, HashSet};

use super::place::FAILING_JOBS;
use super::reduce::{Effect, Purpose as CommitPurpose};
use super::rows::{job_key, push_step, HostState, JobRow, JobState};
use super::state::{JobKey, PoolKey, State};
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::{OrderAnswer, Put, Reports, TaskRef, TaskStart, TaskState};

/// Minimum interval between orders to start or stop the same attempt.
const ORDER_INTERVAL_MS: Millis = 2_000;

/// Number of failed attempts, which go to different hosts where possible, after which a job is given up as faulty.
const FAILURES_MAX: usize = 3;

/// Number of lost attempts that are repeated; one more ends a repeatable job.
const LOSSES_MAX: u32 = 20;

/// Maximum number of placements per pool and decision, so that many new jobs do not flood the table.
const PLACEMENTS_MAX: usize = 16;

/// Maximum number of run times kept per account and pool.
const RUN_TIMES_MAX: usize = 64;

/// How an attempt ended whose job is queued again.
enum Ended {
    /// It failed on this host.
    Failed(String),
    /// It was lost.
    Lost,
    /// It was stopped for its host to leave, or never began.
    Stopped,
}

impl State {
    /// Stores task reports, and drops those of ended jobs and earlier attempts.
    pub(super) fn apply_reports(&mut self, r: Reports, out: &mut Vec<Effect>) {
        self.reports_seq = r.seq;
        self.reports_known = true;
        for report in r.reports {
            if report.state == TaskState::Done {
                self.record_run_time(&report.job, report.ran_ms);
            }
            self.note_host_outcome(&report, out);
            let task = TaskRef {
                job: report.job.clone(),
                attempt: report.attempt,
            };
            self.reports.insert(task, report);
        }
        let job_ids = &self.job_ids;
        let jobs = &self.jobs;
        self.reports.retain(|task, _| {
            let job = job_ids.get(&task.job).and_then(|k| jobs.get(*k));
            job.is_none_or(|j| !j.row.state.is_final() && task.attempt >= j.row.attempt)
        });
    }

    fn record_run_time(&mut self, job: &str, ran_ms: Millis) {
        let Some(j) = self.job_ids.get(job).map(|k| &self.jobs[*k]) else {
            return;
        };
        let key = (j.row.account.clone(), j.row.spec.pool.clone());
        let times = self.run_times.entry(key).or_default();
        times.push_back(ran_ms);
        if times.len() > RUN_TIMES_MAX {
            times.pop_front();
        }
    }

    /// Returns the expected run time of a job: the longest of the latest run times of its account in its pool, or the
    /// declared one if there are none.
    pub fn expected_run_ms(&self, row: &JobRow) -> Millis {
        let key = (row.account.clone(), row.spec.pool.clone());
        let longest = self.run_times.get(&key).and_then(|t| t.iter().max());
        longest.copied().unwrap_or(row.spec.run_ms)
    }

    fn note_host_outcome(&mut self, report: &crate::port::TaskReport, out: &mut Vec<Effect>) {
        let task = TaskRef {
            job: report.job.clone(),
            attempt: report.attempt,
        };
        if self
            .reports
            .get(&task)
            .is_some_and(|r| r.state == report.state)
        {
            return;
        }
        let last_tick_ms = self.last_tick_ms;
        let Some(key) = self.host_ids.get(&report.host) else {
            return;
        };
        let host = &mut self.hosts[*key];
        match report.state {
            TaskState::Done => {
                host.failed_jobs.clear();
                host.failing_since_ms = None;
            }
            TaskState::Failed if !host.failed_jobs.contains(&report.job) => {
                host.failed_jobs.push(report.job.clone());
                if host.failed_jobs.len() >= FAILING_JOBS && host.failing_since_ms.is_none() {
                    host.failing_since_ms = Some(last_tick_ms);
                    let why = "several different jobs failed on this host in a row";
                    let d = Decision::new(Code::HostFailsJobs, Subject::Host, &host.id, why);
                    out.push(Effect::Log(d.with("jobs", host.failed_jobs.len() as u64)));
                }
            }
            _ => {}
        }
    }

    /// Advances each job of the owned pools by one step.
    pub(super) fn advance_jobs(
        &mut self,
        owned: &HashSet<PoolKey>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let owned_jobs: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                let pool = self.pool_names.get(&j.row.spec.pool);
                pool.is_some_and(|p| owned.contains(p)) && self.is_unlocked(&job_key(&j.id))
            })
            .map(|(k, _)| k)
            .collect();
        for key in &owned_jobs {
            match self.jobs[*key].row.state {
                JobState::Waiting => {}
                JobState::Placed => self.advance_placed(*key, now, out),
                _ => self.remove_expired(*key, now, out),
            }
        }
        let waiting = owned_jobs.iter().map(|k| &self.jobs[*k].row);
        let waiting = waiting.filter(|r| r.state == JobState::Waiting);
        let pools: BTreeSet<PoolKey> = waiting
            .filter_map(|r| self.pool_names.get(&r.spec.pool).copied())
            .collect();
        for pool in pools {
            self.place_waiting(pool, now, out);
        }
        self.renew_leases(&owned_jobs, now, out);
    }

    fn place_waiting(&mut self, pool: PoolKey, now: Now, out: &mut Vec<Effect>) {
        let name = self.pools[pool].name.clone();
        let mut placed = 0;
        let mut reserved = Vec::new();
        for key in self.sorted_waiting_jobs(&name, now) {
            if placed == PLACEMENTS_MAX {
                return;
            }
            if !self.is_unlocked(&job_key(&self.jobs[key].id)) {
                continue;
            }
            let Some(host) = self.choose_host(key, &reserved, now) else {
                reserved.extend(self.host_to_reserve(key, &reserved, now));
                continue;
            };
            placed += 1;
            let host = self.hosts[host].id.clone();
            self.commit_placement(key, &host, now, out);
        }
    }

    fn commit_placement(&mut self, key: JobKey, host: &str, now: Now, out: &mut Vec<Effect>) {
        let attempt = self.jobs[key].row.attempt + 1;
        let what = format!("attempt {attempt} placed on host {host}");
        let mut row = self.next_job_row(key, &what, now);
        row.state = JobState::Placed;
        row.attempt = attempt;
        row.host = Some(host.to_string());
        let expected_ms = self.expected_run_ms(&row);
        let waited_ms = now.wall_ms.saturating_sub(row.submitted_ms);
        let line = Decision::new(Code::JobPlaced, Subject::Job, &self.jobs[key].id, what)
            .with("attempt", u64::from(attempt))
            .with("expected_ms", expected_ms)
            .with("waited_ms", waited_ms);
        let put = self.put_job(key, &row);
        // Counted at once, so that the next placement does not use the same capacity.
        self.placing.insert(key, host.to_string());
        self.commit(vec![], vec![put], CommitPurpose::Decision(line), out);
    }

    fn next_job_row(&self, key: JobKey, what: &str, now: Now) -> JobRow {
        let mut row = self.jobs[key].row.clone();
        push_step(&mut row.history, self.step(now, what));
        row
    }

    fn advance_placed(&mut self, key: JobKey, now: Now, out: &mut Vec<Effect>) {
        let task = self.jobs[key].task();
        match self.reports.get(&task).map(|r| r.state) {
            Some(TaskState::Running) => self.jobs[key].start_confirmed = true,
            Some(state) => {
                self.attempt_ended(key, state, now, out);
                return;
            }
            None => {}
        }
        let due = self.jobs[key]
            .last_order_ms
            .is_none_or(|t| t + ORDER_INTERVAL_MS <= now.ms);
        if !due {
            return;
        }
        if self.jobs[key].stopping || self.must_stop(key) {
            self.jobs[key].stopping = true;
            self.jobs[key].last_order_ms = Some(now.ms);
            out.push(Effect::StopTask(task));
        } else if !self.jobs[key].start_confirmed && self.reports_known {
            self.jobs[key].last_order_ms = Some(now.ms);
            out.push(Effect::StartTask(self.task_start(key)));
        }
    }

    /// Whether an attempt must be stopped: a cancellation of the job was requested, or its host drains and the job is
    /// repeatable.
    fn must_stop(&self, key: JobKey) -> bool {
        let row = &self.jobs[key].row;
        let host = row.host.as_ref().and_then(|h| self.host_ids.get(h));
        let leaving = host.is_some_and(|h| self.hosts[*h].row.state == HostState::Draining);
        row.cancel || (leaving && row.spec.repeatable)
    }

    fn task_start(&self, key: JobKey) -> TaskStart {
        let j = &self.jobs[key];
        TaskStart {
            job: j.id.clone(),
            attempt: j.row.attempt,
            host: j.row.host.clone().unwrap_or_default(),
            lease_ms: self.tuning.lease_ms,
            payload: j.row.spec.payload.clone(),
        }
    }

    fn attempt_ended(&mut self, key: JobKey, state: TaskState, now: Now, out: &mut Vec<Effect>) {
        let row = &self.jobs[key].row;
        let repeatable = row.spec.repeatable;
        let host = row.host.clone().unwrap_or_default();
        let failures = row.failed_on.len() + 1;
        match state {
            TaskState::Running => {}
            TaskState::Done => self.end_job(key, JobState::Done, "done", now, out),
            TaskState::Stopped if row.cancel => {
                self.end_job(key, JobState::Cancelled, "stopped as requested", now, out);
            }
            TaskState::Failed if !repeatable => {
                self.end_job(
                    key,
                    JobState::Failed,
                    "failed; not to be repeated",
                    now,
                    out,
                );
            }
            TaskState::Failed if failures >= FAILURES_MAX => {
                let why = "failed on several hosts: the job's own fault";
                self.end_job(key, JobState::Failed, why, now, out);
            }
            TaskState::Failed => {
                self.requeue(key, Ended::Failed(host), "the attempt failed", now, out);
            }
            TaskState::Stopped if repeatable => {
                let why = "stopped for its host to leave";
                self.requeue(key, Ended::Stopped, why, now, out);
            }
            TaskState::Lost if repeatable && row.losses < LOSSES_MAX => {
                self.requeue(key, Ended::Lost, "the attempt was lost", now, out);
            }
            TaskState::Lost | TaskState::Stopped => {
                let why = "lost sight of; not to be repeated";
                self.end_job(key, JobState::Unknown, why, now, out);
            }
        }
    }

    fn end_job(
        &mut self,
        key: JobKey,
        state: JobState,
        why: &str,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let mut row = self.next_job_row(key, why, now);
        row.state = state;
        let what = format!("{}: {why}", state.as_str());
        self.write_job(key, &row, Code::JobEnded, what, out);
    }

    fn write_job(
        &mut self,
        key: JobKey,
        row: &JobRow,
        code: Code,
        why: String,
        out: &mut Vec<Effect>,
    ) {
        let line = Decision::new(code, Subject::Job, &self.jobs[key].id, why)
            .with("attempt", u64::from(row.attempt));
        let put = self.put_job(key, row);
        self.commit(vec![], vec![put], CommitPurpose::Decision(line), out);
    }

    fn requeue(&mut self, key: JobKey, ended: Ended, why: &str, now: Now, out: &mut Vec<Effect>) {
        let mut row = self.next_job_row(key, why, now);
        row.state = JobState::Waiting;
        row.host = None;
        match ended {
            Ended::Failed(host) => row.failed_on.push(host),
            Ended::Lost => row.losses += 1,
            Ended::Stopped => {}
        }
        self.write_job(key, &row, Code::JobRequeued, why.to_string(), out);
    }

    /// Handles the platform's answer to a start order.
    pub(super) fn start_answered(
        &mut self,
        task: &TaskRef,
        answer: Option<OrderAnswer>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.find_current_attempt(task) else {
            return;
        };
        match answer {
            Some(OrderAnswer::Accepted) => self.jobs[key].start_confirmed = true,
            Some(OrderAnswer::NoHost | OrderAnswer::Fenced) => {
                // Only a stop makes sure that this attempt never starts. The attempt may be fenced by a stop whose
                // answer was lost, or by an entry that crashed before it could record the stop.
                self.jobs[key].stopping = true;
                self.jobs[key].last_order_ms = Some(now.ms);
                out.push(Effect::StopTask(task.clone()));
            }
            _ => {}
        }
    }

    /// Handles the platform's answer to a stop order.
    pub(super) fn stop_answered(
        &mut self,
        task: &TaskRef,
        answer: Option<OrderAnswer>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.find_current_attempt(task) else {
            return;
        };
        let id = self.jobs[key].id.clone();
        if answer != Some(OrderAnswer::NeverStarted) || !self.is_unlocked(&job_key(&id)) {
            return;
        }
        if self.jobs[key].row.cancel {
            self.end_job(key, JobState::Cancelled, "never started", now, out);
        } else {
            self.requeue(key, Ended::Stopped, "the attempt never began", now, out);
        }
    }

    fn find_current_attempt(&self, task: &TaskRef) -> Option<JobKey> {
        let key = *self.job_ids.get(&task.job)?;
        let job = &self.jobs[key];
        let is_current = job.row.attempt == task.attempt && job.row.state == JobState::Placed;
        is_current.then_some(key)
    }

    fn renew_leases(&mut self, owned_jobs: &[JobKey], now: Now, out: &mut Vec<Effect>) {
        if now.ms < self.renewed_ms + self.tuning.lease_ms / 3 {
            return;
        }
        self.renewed_ms = now.ms;
        let tasks: Vec<TaskRef> = owned_jobs
            .iter()
            .filter_map(|k| self.jobs.get(*k))
            .filter(|j| j.row.state == JobState::Placed && j.start_confirmed)
            .map(|j| j.task())
            .collect();
        if !tasks.is_empty() {
            out.push(Effect::RenewTasks(tasks));
        }
    }

    fn remove_expired(&mut self, key: JobKey, now: Now, out: &mut Vec<Effect>) {
        let row = &self.jobs[key].row;
        let ended_ms = row.history.last().map_or(row.submitted_ms, |s| s.at_ms);
        if now.wall_ms < ended_ms + self.tuning.keep_job_ms {
            return;
        }
        let id = self.jobs[key].id.clone();
        let put = Put {
            key: job_key(&id),
            expect: super::members::expect(self.jobs[key].version),
            value: None,
        };
        let line = Decision::new(
            Code::JobEnded,
            Subject::Job,
            &id,
            "the row is removed, its retention time has passed",
        );
        self.commit(vec![], vec![put], CommitPurpose::Decision(line), out);
    }
}
