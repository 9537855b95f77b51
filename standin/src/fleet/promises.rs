//! What must hold of every order that a worker carries out.

use std::collections::{BTreeMap, BTreeSet};

use super::runs::{Runs, Start};
use super::{Fleet, State};

/// From a cancel's acknowledgement on, starts may come for so long: a takeover, a read of the rows, and an
/// order that is carried out late.
const CANCEL_MS: u64 = 12_000;

/// What callers were told, what ended, and what was broken.
#[derive(Default)]
pub(super) struct Promises {
    /// Texts of jobs that callers sent, by id; empty where nobody watches.
    specs: BTreeMap<String, String>,
    /// Jobs whose every sending was refused.
    refused: BTreeSet<String>,
    /// Jobs whose cancel was acknowledged, and when.
    cancelled_ms: BTreeMap<String, u64>,
    /// Jobs of which something was started.
    started: BTreeSet<String>,
    /// Tasks that are done.
    done: BTreeSet<String>,
    /// Tasks whose end was taken note of.
    noted: BTreeSet<String>,
    /// Starts and ends of all tasks.
    runs: Runs,
    /// Most hosts out at once, by wave.
    out_max: BTreeMap<u64, usize>,
    broken: Vec<String>,
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

impl Promises {
    pub(super) fn note_end(&mut self, task: &str, how: &str, (life, run): (&str, u64), at_ms: u64) {
        if how == "done" {
            self.done.insert(task.to_string());
            self.runs.done(task, life, run, at_ms);
        }
    }

    /// Takes note that an owner has seen an end. No start may come after that end, whether it came before or after
    /// this moment, unless the worker's lease lapsed between the two.
    pub(super) fn note_seen(
        &mut self,
        task: &str,
        how: &str,
        (life, run): (&str, u64),
        lapsed_ms: Option<u64>,
        now_ms: u64,
    ) {
        if how != "done" {
            return;
        }
        self.noted.insert(task.to_string());
        let wrong = self.runs.noted(task, life, run, lapsed_ms, now_ms);
        if !self.specs.is_empty() {
            wrong.into_iter().for_each(|what| self.fail(what));
        }
    }

    fn fail(&mut self, what: String) {
        if !self.broken.contains(&what) {
            self.broken.push(what);
        }
    }
}

impl State {
    /// Checks a start that is about to be carried out on a life.
    pub(super) fn check_start(&mut self, task: &str, spec: &str, start: Start) {
        if self.promises.specs.is_empty() {
            return;
        }
        let (now_ms, life) = (start.at_ms, start.life.clone());
        let lives: Vec<&String> = self.hosts.iter().filter_map(|h| h.life.as_ref()).collect();
        let runs_on = |other: &&&String| {
            let worker = self.workers.get(**other);
            ***other != life && worker.is_some_and(|w| w.running.contains_key(task))
        };
        let twice = lives.iter().find(runs_on).map(|other| other.to_string());
        let promises = &mut self.promises;
        let job = job_of(task).to_string();
        promises.started.insert(job.clone());
        if let Some(other) = twice {
            promises.fail(format!(
                "{now_ms} ms: {task} starts on {life} while it runs on {other}"
            ));
        }
        let wrong = promises.runs.started(task, start);
        wrong.into_iter().for_each(|what| promises.fail(what));
        if promises.noted.contains(task) {
            promises.fail(format!(
                "{now_ms} ms: {task} starts on {life} after its end was noted"
            ));
        }
        if promises.specs.get(&job).is_none_or(|text| text != spec) {
            promises.fail(format!(
                "{now_ms} ms: {task} starts, which nobody sent like that"
            ));
        }
        let cancelled_ms = promises.cancelled_ms.get(&job);
        if cancelled_ms.is_some_and(|at| now_ms > at + CANCEL_MS) {
            promises.fail(format!("{now_ms} ms: {task} starts long after its cancel"));
        }
        if promises.refused.contains(&job) {
            promises.fail(format!(
                "{now_ms} ms: {task} starts though its job was refused"
            ));
        }
    }

    /// Checks how many hosts are out for a wave.
    pub(super) fn check_out(&mut self, wave: u64) {
        let out = self
            .hosts
            .iter()
            .filter(|h| h.out_for == Some(wave))
            .count();
        let most = self.promises.out_max.get(&wave).copied();
        if most.is_some_and(|most| out > most) {
            self.promises
                .fail(format!("wave {wave}: {out} hosts are out at once"));
        }
    }
}

impl Fleet {
    /// A caller is about to send a job: its tasks carry this text.
    pub fn expect(&self, job: &str, spec: &str) {
        let mut state = self.lock();
        state
            .promises
            .specs
            .insert(job.to_string(), spec.to_string());
    }

    /// Every sending of a job was refused.
    pub fn refused(&self, job: &str) {
        let mut state = self.lock();
        state.promises.refused.insert(job.to_string());
        if state.promises.started.contains(job) {
            state
                .promises
                .fail(format!("{job} was refused, and has started"));
        }
    }

    /// A job's cancel was acknowledged.
    pub fn cancelled(&self, job: &str) {
        let now_ms = self.clock_ms();
        let mut state = self.lock();
        let at_ms = state.promises.cancelled_ms.entry(job.to_string());
        at_ms.or_insert(now_ms);
    }

    /// A caller was shown a job of these tasks as completed.
    pub fn shown_completed(&self, job: &str, tasks: &[String]) {
        let mut state = self.lock();
        let missing = tasks.iter().find(|t| !state.promises.done.contains(*t));
        if let Some(task) = missing {
            let what = format!("{job} is shown as completed, and {task} is not done");
            state.promises.fail(what);
        }
    }

    /// Notes a promise that somebody else saw broken.
    pub fn broken(&self, what: String) {
        self.lock().promises.fail(what);
    }

    /// All promises that were broken.
    pub fn all_broken(&self) -> Vec<String> {
        self.lock().promises.broken.clone()
    }

    /// Asks for a wave over all hosts.
    pub fn begin_wave(&self, wave: u64, duration_s: u64, most: usize) {
        let hosts: Vec<String> = self.lock().hosts.iter().map(|h| h.name.clone()).collect();
        self.lock().promises.out_max.insert(wave, most);
        let order = serde_json::json!({"wave": wave, "machines": hosts, "duration_s": duration_s,
            "maximum": most});
        self.put("op", "", &format!("wave/{wave}"), &order);
    }

    /// Whether a wave is said to be completed; checks that it is.
    pub fn wave_completed(&self, wave: u64) -> bool {
        let mut state = self.lock();
        let place = ("status".to_string(), String::new(), format!("wave/{wave}"));
        let value = state.rows.get(&place).and_then(|s| s.value.clone());
        let told = value.is_some_and(|v| v == super::store::base64(br#"{"state":"completed"}"#));
        let through = state.upkept.get(&wave).map_or(0, |hosts| hosts.len());
        if told && through < state.hosts.len() {
            let all = state.hosts.len();
            let what = format!("wave {wave} is told completed with {through} of {all} hosts");
            state.promises.fail(what);
        }
        told
    }
}
