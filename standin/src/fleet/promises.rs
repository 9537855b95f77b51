//! Checks rockwick's promises against every order that a worker executes, every answer that a caller reports and
//! every wave. The workers of the stand-in and the soak's callers report here.

use std::collections::{BTreeMap, BTreeSet};

use super::runs::{Runs, Start};
use super::{Fleet, State};

/// Time after a cancel was acknowledged in which tasks may still start. It covers a change of owner, a read of the
/// rows, and an order that is executed late.
const START_AFTER_CANCEL_MAX_MS: u64 = 12_000;

/// Holds what callers were answered, which tasks started and ended, and which promises were broken.
#[derive(Default)]
pub(super) struct Promises {
    /// Texts of the jobs that callers sent, by id; if empty, starts are not checked.
    specs: BTreeMap<String, String>,
    /// Jobs that were refused at every attempt.
    refused: BTreeSet<String>,
    /// When the cancel of each cancelled job was acknowledged.
    cancelled_ms: BTreeMap<String, u64>,
    /// Jobs with at least one started task.
    started: BTreeSet<String>,
    /// Tasks with a run that ended as done.
    done: BTreeSet<String>,
    /// Tasks whose end an owner has acknowledged.
    acknowledged: BTreeSet<String>,
    /// Starts and ends of all tasks.
    runs: Runs,
    /// Largest number of hosts that each wave may have out at once.
    hosts_out_max: BTreeMap<u64, usize>,
    broken: Vec<String>,
}

fn job_id(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

impl Promises {
    pub(super) fn record_end(
        &mut self,
        task: &str,
        how: &str,
        (instance, run): (&str, u64),
        at_ms: u64,
    ) {
        if how == "done" {
            self.done.insert(task.to_string());
            self.runs.record_done(task, instance, run, at_ms);
        }
    }

    /// Records that an owner has acknowledged an end as done. No start may follow this acknowledgement. Starts between
    /// the end and the acknowledgement are allowed only if the worker's lease lapsed in that time.
    pub(super) fn acknowledge_end(
        &mut self,
        task: &str,
        how: &str,
        (instance, run): (&str, u64),
        lapsed_ms: Option<u64>,
        now_ms: u64,
    ) {
        if how != "done" {
            return;
        }
        self.acknowledged.insert(task.to_string());
        let wrong = self
            .runs
            .record_acknowledged_end(task, instance, run, lapsed_ms, now_ms);
        if !self.specs.is_empty() {
            wrong.into_iter().for_each(|what| self.record_broken(what));
        }
    }

    fn record_broken(&mut self, what: String) {
        if !self.broken.contains(&what) {
            self.broken.push(what);
        }
    }
}

impl State {
    /// Checks a start that is about to be executed on an instance.
    pub(super) fn check_start(&mut self, task: &str, spec: &str, start: Start) {
        if self.promises.specs.is_empty() {
            return;
        }
        let (now_ms, instance) = (start.at_ms, start.instance.clone());
        let instances: Vec<&String> = self
            .hosts
            .iter()
            .filter_map(|h| h.instance.as_ref())
            .collect();
        let run_on = |other: &&String| {
            let run = self.workers.get(*other)?.running.get(task)?;
            let label = self.instance_label(other);
            let (run, since_ms) = (run.run, run.started_ms);
            (**other != instance).then(|| format!("run {run} runs on {label} since {since_ms} ms"))
        };
        let twice = instances.iter().find_map(run_on);
        let promises = &mut self.promises;
        let job = job_id(task).to_string();
        promises.started.insert(job.clone());
        if let Some(other) = twice {
            promises.record_broken(format!("{now_ms} ms: {task} {start}, while {other}"));
        }
        if promises.acknowledged.contains(task) {
            promises.record_broken(format!(
                "{now_ms} ms: {task} {start}, after an owner acknowledged its end"
            ));
        }
        let wrong = promises.runs.record_start(task, start);
        wrong
            .into_iter()
            .for_each(|what| promises.record_broken(what));
        if promises.specs.get(&job).is_none_or(|text| text != spec) {
            promises.record_broken(format!(
                "{now_ms} ms: {task} starts with a text that no caller sent"
            ));
        }
        let cancelled_ms = promises.cancelled_ms.get(&job);
        if cancelled_ms.is_some_and(|at| now_ms > at + START_AFTER_CANCEL_MAX_MS) {
            promises.record_broken(format!("{now_ms} ms: {task} starts long after its cancel"));
        }
        if promises.refused.contains(&job) {
            promises.record_broken(format!(
                "{now_ms} ms: {task} starts though its job was refused"
            ));
        }
    }

    /// Checks the number of hosts that are out for a wave against its maximum.
    pub(super) fn check_hosts_out(&mut self, wave: u64) {
        let out = self
            .hosts
            .iter()
            .filter(|h| h.maintenance_wave == Some(wave))
            .count();
        let hosts_max = self.promises.hosts_out_max.get(&wave).copied();
        if hosts_max.is_some_and(|hosts_max| out > hosts_max) {
            self.promises
                .record_broken(format!("wave {wave}: {out} hosts are out at once"));
        }
    }
}

impl Fleet {
    /// Records a job that a caller is about to send, with the text that its tasks carry.
    pub fn expect(&self, job: &str, spec: &str) {
        let mut state = self.lock();
        state
            .promises
            .specs
            .insert(job.to_string(), spec.to_string());
    }

    /// Records that a job was refused at every attempt.
    pub fn record_refused(&self, job: &str) {
        let mut state = self.lock();
        state.promises.refused.insert(job.to_string());
        if state.promises.started.contains(job) {
            state
                .promises
                .record_broken(format!("{job} was refused, and has started"));
        }
    }

    /// Records that a job's cancel was acknowledged.
    pub fn record_cancelled(&self, job: &str) {
        let now_ms = self.clock_ms();
        let mut state = self.lock();
        let at_ms = state.promises.cancelled_ms.entry(job.to_string());
        at_ms.or_insert(now_ms);
    }

    /// Checks that all tasks of a job that was reported as completed are done.
    pub fn check_completed(&self, job: &str, tasks: &[String]) {
        let mut state = self.lock();
        let missing = tasks.iter().find(|t| !state.promises.done.contains(*t));
        if let Some(task) = missing {
            let what = format!("{job} is shown as completed, and {task} is not done");
            state.promises.record_broken(what);
        }
    }

    /// Records a broken promise that a caller or the soak has observed.
    pub fn report_broken(&self, what: String) {
        self.lock().promises.record_broken(what);
    }

    /// Returns all broken promises, each once.
    pub fn all_broken(&self) -> Vec<String> {
        self.lock().promises.broken.clone()
    }

    /// Requests a wave over all hosts, with at most `hosts_max` of them out at once.
    pub fn begin_wave(&self, wave: u64, duration_s: u64, hosts_max: usize) {
        let hosts: Vec<String> = self.lock().hosts.iter().map(|h| h.name.clone()).collect();
        self.lock().promises.hosts_out_max.insert(wave, hosts_max);
        let order = serde_json::json!({"wave": wave, "machines": hosts, "duration_s": duration_s,
            "maximum": hosts_max});
        self.put("op", "", &format!("wave/{wave}"), &order);
    }

    /// Returns whether a wave's status row says that it is completed; checks that it took every host through.
    pub fn wave_completed(&self, wave: u64) -> bool {
        let mut state = self.lock();
        let row_key = ("status".to_string(), String::new(), format!("wave/{wave}"));
        let value = state.rows.get(&row_key).and_then(|s| s.value.clone());
        let is_completed =
            value.is_some_and(|v| v == super::store::base64(br#"{"state":"completed"}"#));
        let through = state.maintained.get(&wave).map_or(0, |hosts| hosts.len());
        if is_completed && through < state.hosts.len() {
            let all = state.hosts.len();
            let what = format!("wave {wave} is shown as completed with {through} of {all} hosts");
            state.promises.record_broken(what);
        }
        is_completed
    }
}
