//! The operators' HTTP interface: health, metrics, views of the state, `explain` and edits.
//!
//! Runs on the control thread, which starts [`accept_connections`], and reads the state directly.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Response};
use smol::{Async, Timer};

use super::control::{submit_edit, Control};
use super::peer;
use crate::auth;
use crate::core::operate::Edit;
use crate::core::rows::{EntryState, HeadRow, HostState, Step, HEAD_KEY};
use crate::core::state::{decode, Host, HostKey, PoolKey};
use crate::core::State;
use crate::error::{Failure, Kind};
use crate::event::Subject;
use crate::http::{server, Incoming, Limits};
use crate::port::HostStatus;
use crate::view::{EntryView, HostView, JobView, Line, PoolView, Status, TemplateView, WaveView};

/// Accepts operators' connections and serves each in a task on the control thread.
pub(super) async fn accept_connections(control: Rc<Control>, listener: Async<TcpListener>) {
    let limits = Limits::default();
    let process = control.shared.settings.process;
    let intake = super::new_intake(&control.shared, process.for_checks(limits.body_bytes));
    let intake = Arc::new(intake);
    loop {
        let Ok(seat) = intake.accept(&listener).await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let this = Rc::clone(&control);
        control.spawn(async move {
            let handle = |incoming| handle_request(&this, incoming);
            server::serve_seat(seat, limits, || false, handle).await;
        });
    }
}

async fn handle_request(control: &Rc<Control>, incoming: Incoming) -> Response {
    match answer_request(control, &incoming).await {
        Ok(res) => res,
        Err(failure) => server::problem(&failure),
    }
}

async fn answer_request(control: &Rc<Control>, incoming: &Incoming) -> Result<Response, Failure> {
    let path = incoming.head.url().path();
    let shared = &control.shared;
    match path {
        "/healthz" => return Ok(server::answer(200, "text/plain", b"ok\n".to_vec())),
        "/readyz" => return Ok(answer_readyz(control)),
        "/metrics" => {
            let text = shared
                .metrics
                .render(shared.log.dropped(), shared.clock.now_ms());
            return Ok(server::answer(
                200,
                "text/plain; version=0.0.4",
                text.into_bytes(),
            ));
        }
        _ => {}
    }
    check_token(control, incoming)?;
    if path == "/v1/edit" && incoming.head.method() == Method::Post {
        let edit: Edit = serde_json::from_slice(&incoming.body)
            .map_err(|e| Kind::BadRequest.with_detail(e.to_string()))?;
        let reply = submit_edit(shared, edit).await?;
        return Ok(server::json(200, &reply));
    }
    let rest = path
        .strip_prefix("/v1/")
        .ok_or_else(|| Kind::UnknownPath.with_detail(path))?;
    let (what, id) = rest.split_once('/').unwrap_or((rest, ""));
    if what == "explain" {
        return explain_subject(control, id).await;
    }
    let state = control.state.borrow();
    show_view(&state, control, what, id)
}

fn answer_readyz(control: &Control) -> Response {
    let shared = &control.shared;
    let stopping = shared.stopping.load(Ordering::SeqCst);
    match (stopping, shared.may_send()) {
        (false, Ok(())) => server::answer(200, "text/plain", b"ready\n".to_vec()),
        (true, _) => server::problem(&Kind::Stopping.into()),
        (false, Err(kind)) => server::problem(&kind.into()),
    }
}

fn check_token(control: &Control, incoming: &Incoming) -> Result<(), Failure> {
    let Some(hash) = &control.shared.settings.operator_token_sha256 else {
        return Ok(());
    };
    let token = auth::bearer(incoming.header("authorization"));
    let is_valid = token.is_some_and(|t| auth::hashes_match(&auth::token_hash(t), hash));
    is_valid
        .then_some(())
        .ok_or_else(|| Kind::Unauthorized.into())
}

fn show_view(state: &State, control: &Control, what: &str, id: &str) -> Result<Response, Failure> {
    let res = match (what, id) {
        ("status", "") => server::json(200, &status_view(state, control)),
        ("template", "") => server::json(200, &template_view(state)),
        ("pools", "") => {
            let pools: Vec<PoolView> = state.pools.keys().map(|k| pool_view(state, k)).collect();
            server::json(200, &pools)
        }
        ("pools", id) => {
            let key = state.pool_names.get(id);
            let key = key.ok_or_else(|| Kind::UnknownPool.with_detail(id))?;
            server::json(200, &pool_view(state, *key))
        }
        ("hosts", "") => {
            let keys = state.host_ids.values();
            let hosts: Vec<HostView> = keys.map(|k| host_view(state, *k)).collect();
            server::json(200, &hosts)
        }
        ("hosts", id) => {
            let key = state.host_ids.get(id);
            let key = key.ok_or_else(|| Kind::UnknownHost.with_detail(id))?;
            server::json(200, &host_view(state, *key))
        }
        ("waves", "") => {
            let ids = state.waves.keys();
            let waves: Vec<WaveView> = ids.filter_map(|id| wave_view(state, id)).collect();
            server::json(200, &waves)
        }
        ("waves", id) => {
            let wave = wave_view(state, id);
            server::json(200, &wave.ok_or_else(|| Kind::UnknownWave.with_detail(id))?)
        }
        ("jobs", "") => {
            let jobs: Vec<JobView> = state.jobs.values().map(job_view).collect();
            server::json(200, &jobs)
        }
        ("jobs", id) => {
            let key = state.job_ids.get(id);
            let key = key.ok_or_else(|| Kind::UnknownJob.with_detail(id))?;
            server::json(200, &job_view(&state.jobs[*key]))
        }
        _ => return Err(Kind::UnknownPath.with_detail(what)),
    };
    Ok(res)
}

fn status_view(state: &State, control: &Control) -> Status {
    let mut entries: Vec<EntryView> = Vec::new();
    let alive = state.alive_entries();
    for (name, m) in &state.members {
        let ended = state.ended_entries.contains(name);
        let left = m.row.as_ref().is_some_and(|r| r.state == EntryState::Left);
        let member_state = match () {
            () if *name == state.me.name => "self",
            () if ended => "ended",
            () if left => "left",
            () if alive.contains(&name.as_str()) => "alive",
            () => "silent",
        };
        let own = state.digest();
        let digest = match *name == state.me.name {
            true => Some(&own),
            false => m.digest.as_ref(),
        };
        entries.push(EntryView {
            name: name.clone(),
            state: member_state.to_string(),
            config_version: digest.map_or(0, |d| d.config_version),
            view_seq: digest.map_or(0, |d| d.view_seq),
            silent_ms: m.heard_ms.map(|t| state.last_tick_ms.saturating_sub(t)),
        });
    }
    let shared = &control.shared;
    Status {
        entry: state.me.name.clone(),
        ready: shared.may_send().is_ok() && !shared.stopping.load(Ordering::SeqCst),
        store: if state.reads.failing { "down" } else { "ok" }.to_string(),
        isolated: state.isolated,
        config_version: state.config_version,
        seq: state.seq,
        entries,
        hosts: count_names(state.hosts.values().map(|h| state_or_lost(h))),
        jobs: count_names(state.jobs.values().map(|j| j.row.state.as_str())),
    }
}

/// Returns the name of the host's state; `lost` for a serving or free host that is not live.
fn state_or_lost(host: &Host) -> &'static str {
    match host.row.state {
        HostState::Serving | HostState::Free if !host.is_live() => "lost",
        state => state.as_str(),
    }
}

fn count_names(names: impl Iterator<Item = &'static str>) -> Vec<(String, usize)> {
    let mut counts = std::collections::BTreeMap::new();
    for name in names {
        *counts.entry(name.to_string()).or_default() += 1;
    }
    counts.into_iter().collect()
}

fn template_view(state: &State) -> TemplateView {
    let head = state
        .raw_rows
        .get(HEAD_KEY)
        .and_then(|r| decode::<HeadRow>(r).ok().flatten());
    TemplateView {
        version: state.config_version,
        text: head.map(|h| h.text).unwrap_or_default(),
    }
}

fn pool_view(state: &State, key: PoolKey) -> PoolView {
    let pool = &state.pools[key];
    let config = state.config.pools.get(&pool.name);
    let view = state.pool_view(key);
    let alive = state.alive_entries();
    PoolView {
        name: pool.name.clone(),
        account: config.map(|c| c.account.clone()).unwrap_or_default(),
        hosts: view.keys.len(),
        wanted: config.map_or(0, |c| c.hosts),
        serving: view.members.iter().filter(|m| m.serving).count(),
        serving_min: view.budget.serving_min,
        out: view.count_out(),
        reserve: format!("{:?}", view.budget.reserve).to_lowercase(),
        decided_by: state
            .owner(&pool.name, &alive)
            .unwrap_or_default()
            .to_string(),
        members: view
            .keys
            .iter()
            .map(|k| state.hosts[*k].id.clone())
            .collect(),
    }
}

fn host_view(state: &State, key: HostKey) -> HostView {
    let host = &state.hosts[key];
    let life = match host.info.as_ref().map(|i| i.status) {
        Some(HostStatus::Live) => "live",
        Some(HostStatus::Leaving) => "leaving",
        Some(HostStatus::Gone) => "gone",
        None => "unlisted",
    };
    let (hall, rack) = host.hall_and_rack();
    let jobs = state.jobs_on(&host.id);
    let held_by = match host.row.state {
        HostState::Draining => state.holders(host),
        _ => Vec::new(),
    };
    HostView {
        id: host.id.clone(),
        hall: hall.to_string(),
        rack: rack.to_string(),
        life: life.to_string(),
        row: host.row.clone(),
        jobs: jobs.iter().map(|j| state.jobs[*j].id.clone()).collect(),
        held_by,
    }
}

fn wave_view(state: &State, id: &str) -> Option<WaveView> {
    let (_, row) = state.waves.get(id)?;
    Some(WaveView {
        id: id.to_string(),
        row: row.clone(),
        left: state.count_hosts_left(id),
    })
}

fn job_view(job: &crate::core::state::Job) -> JobView {
    JobView {
        id: job.id.clone(),
        row: job.row.clone(),
    }
}

/// Answers with the history of one subject in order of time: the steps in its row and the decisions that the entries
/// logged about it.
async fn explain_subject(control: &Rc<Control>, rest: &str) -> Result<Response, Failure> {
    let (kind, id) = rest.split_once('/').unwrap_or((rest, ""));
    let subject = Subject::parse(kind).ok_or_else(|| Kind::UnknownPath.with_detail(kind))?;
    let mut lines = history_lines(&control.state.borrow(), subject, id);
    let me = control.shared.settings.name.clone();
    let own = control.shared.log.decisions_about(subject, id);
    lines.extend(own.into_iter().map(|d| Line::from_decision(&me, &d)));
    let shared = Arc::clone(&control.shared);
    let asked = id.to_string();
    let peer_decisions =
        smol::unblock(move || peer::ask_peers_to_explain(&shared, subject, &asked)).await;
    lines.extend(
        peer_decisions
            .into_iter()
            .map(|(entry, d)| Line::from_decision(&entry, &d)),
    );
    lines.sort_by_key(|l| l.at_ms);
    Ok(server::json(200, &lines))
}

fn history_lines(state: &State, subject: Subject, id: &str) -> Vec<Line> {
    let steps: Vec<Step> = match subject {
        Subject::Host => {
            let host = state.host_ids.get(id).map(|k| &state.hosts[*k]);
            host.map(|h| h.row.history.clone()).unwrap_or_default()
        }
        Subject::Job => {
            let job = state.job_ids.get(id).map(|k| &state.jobs[*k]);
            job.map(|j| j.row.history.clone()).unwrap_or_default()
        }
        _ => Vec::new(),
    };
    let to_line = |s: Step| Line {
        at_ms: s.at_ms,
        entry: s.by,
        event: 0,
        what: s.what,
    };
    steps.into_iter().map(to_line).collect()
}
