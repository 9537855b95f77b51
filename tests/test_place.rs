//! Placement of jobs: single decisions on a view whose rows the test writes.

use rockwick::clock::Now;
use rockwick::core::config::Class;
use rockwick::core::rows::{HostRow, HostState, JobRow, JobSpec, JobState};
use rockwick::core::{reduce, Effect, Event, State};
use rockwick::port::{Changes, HostInfo, HostStatus, Listing, Row};
use serde::Serialize;

use crate::test_model::empty_state;

const NOW: Now = Now {
    ms: 10_000,
    wall_ms: 10_000_000,
    store_ms: 0,
};

struct View {
    state: State,
    seq: u64,
    rows: Vec<Row>,
}

impl View {
    /// Returns a view of the pool `pool` with `hosts` serving hosts of 8 cores each.
    fn new(hosts: usize) -> Self {
        let mut view = Self {
            state: empty_state(),
            seq: 0,
            rows: Vec::new(),
        };
        let head = serde_json::json!({
            "version": 1, "text": crate::fleet::CONFIG, "by": "e1", "at_ms": 0
        });
        view.put_row("config/head", &head);
        for n in 1..=hosts {
            let row = HostRow {
                pool: Some("pool".to_string()),
                state: HostState::Serving,
                ..HostRow::default()
            };
            view.put_row(&format!("host/h{n}"), &row);
        }
        let host_infos = (1..=hosts).map(|n| HostInfo {
            id: format!("h{n}"),
            hall: "a".to_string(),
            rack: format!("a{n}"),
            cores: 8,
            memory_mb: 1_000,
            status: HostStatus::Live,
            boots: 0,
            backends: Vec::new(),
        });
        let listing = Listing {
            hosts: host_infos.collect(),
            ended_entries: Vec::new(),
        };
        reduce(&mut view.state, Event::HostsRead(Some(listing)), NOW);
        let own_entry = serde_json::json!({
            "incarnation": 1, "state": "live", "peer": "", "hall": "a", "view_seq": 0, "busy": []
        });
        view.put_row("entry/e1", &own_entry);
        view
    }

    fn put_row<T: Serialize>(&mut self, key: &str, body: &T) {
        self.seq += 1;
        let body = serde_json::to_string(body).expect("JSON");
        self.rows.push(Row {
            key: key.to_string(),
            version: self.seq,
            value: Some(format!("{{\"token\":\"t\",\"body\":{body}}}")),
        });
    }

    fn put_waiting_job(
        &mut self,
        id: &str,
        account: &str,
        class: Class,
        cores: u32,
        waited_ms: u64,
    ) {
        self.put_job(id, account, class, cores, waited_ms, None);
    }

    fn put_job(
        &mut self,
        id: &str,
        account: &str,
        class: Class,
        cores: u32,
        waited_ms: u64,
        host: Option<&str>,
    ) {
        let row = JobRow {
            account: account.to_string(),
            spec: JobSpec {
                pool: "pool".to_string(),
                class,
                cores,
                memory_mb: 0,
                run_ms: 0,
                repeatable: false,
                payload: String::new(),
            },
            state: match host {
                Some(_) => JobState::Placed,
                None => JobState::Waiting,
            },
            attempt: u32::from(host.is_some()),
            host: host.map(str::to_string),
            failed_on: Vec::new(),
            losses: 0,
            cancel: false,
            submitted_ms: NOW.wall_ms - waited_ms,
            history: Vec::new(),
        };
        self.put_row(&format!("job/{id}"), &row);
    }

    /// Lets the entry read the view and returns its placements in order, as `job@host`.
    fn place_jobs(mut self) -> Vec<String> {
        let changes = Changes {
            seq: self.seq,
            rows: self.rows,
            more: false,
        };
        let read = Event::TableRead {
            begun_ms: NOW.ms,
            changes: Some(changes),
        };
        let effects = reduce(&mut self.state, read, NOW);
        let puts = effects.into_iter().filter_map(|e| match e {
            Effect::Commit { transaction, .. } => Some(transaction.puts),
            _ => None,
        });
        puts.flatten()
            .filter_map(|p| {
                let id = p.key.strip_prefix("job/")?.to_string();
                let row: JobRow = serde_json::from_str(&p.value?).ok()?;
                Some(format!("{id}@{}", row.host?))
            })
            .collect()
    }
}

#[test]
fn place_order() {
    let mut view = View::new(1);
    view.put_job("busy", "loud", Class::Normal, 2, 0, Some("h1"));
    view.put_waiting_job("batch", "calm", Class::Batch, 1, 5_000);
    view.put_waiting_job("loud", "loud", Class::Normal, 1, 9_000);
    view.put_waiting_job("calm", "calm", Class::Normal, 1, 1_000);
    view.put_waiting_job("urgent", "loud", Class::Urgent, 1, 0);
    let order = ["urgent@h1", "calm@h1", "loud@h1", "batch@h1"];
    assert_eq!(
        view.place_jobs(),
        order,
        "by class, then the account with fewer cores in use, then age"
    );
}

#[test]
fn place_old_batch() {
    let mut view = View::new(1);
    view.put_waiting_job("fresh", "a", Class::Urgent, 1, 0);
    view.put_waiting_job("old", "a", Class::Batch, 1, 1_300_000);
    assert_eq!(
        view.place_jobs(),
        ["old@h1", "fresh@h1"],
        "a batch job that waited long goes before an urgent one, or it would starve"
    );
}

#[test]
fn place_batch_leaves_room() {
    let mut view = View::new(1);
    for n in 0..8 {
        view.put_waiting_job(&format!("b{n}"), "a", Class::Batch, 1, 0);
    }
    assert_eq!(
        view.place_jobs().len(),
        7,
        "one core in eight stays free for other classes"
    );
}

#[test]
fn place_large_batch() {
    let mut view = View::new(1);
    view.put_waiting_job("large", "a", Class::Batch, 8, 0);
    assert_eq!(
        view.place_jobs(),
        ["large@h1"],
        "a batch job alone on its host may use all cores"
    );
}

#[test]
fn place_reserves_host() {
    // A job that needs a whole host has waited long: one host is kept free of smaller jobs for it, or it would starve.
    for (waited_ms, expected) in [
        (0, vec!["s0@h1", "s1@h1"]),
        (700_000, vec!["s0@h2", "s1@h2"]),
    ] {
        let mut view = View::new(2);
        view.put_job("r1", "b", Class::Normal, 2, 0, Some("h1"));
        view.put_job("r2", "b", Class::Normal, 2, 0, Some("h2"));
        view.put_waiting_job("large", "a", Class::Normal, 8, waited_ms);
        view.put_waiting_job("s0", "a", Class::Normal, 1, 0);
        view.put_waiting_job("s1", "a", Class::Normal, 1, 0);
        assert_eq!(view.place_jobs(), expected, "waited {waited_ms}");
    }
}
