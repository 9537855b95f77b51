//! Runs under a caller's key: claimed in the table before they are sent, recorded after.

use std::sync::Arc;
use std::time::Duration;

use http_types::Response;
use smol::Timer;

use super::shared::Shared;
use crate::auth::sha256_hex;
use crate::clock::{wall_ms, Millis};
use crate::core::members::expect;
use crate::core::rows::{run_key, RunRow, RunState};
use crate::core::state::decode;
use crate::error::{Failure, Kind, Run};
use crate::event::{Code, Decision, Subject};
use crate::http::{server, Answer, Incoming};
use crate::metrics::Metrics;
use crate::port::{commit, Objects, Outcome, Put, RetryPolicy, Table, Transaction};

/// Larger bodies, and those that are no text, are kept as objects.
const INLINE_MAX_BYTES: usize = 16 << 10;

/// A claim older than this is told as lost sight of, not as running.
const RUNNING_MAX_MS: Millis = 3_600_000;

/// How long the outcome of a run is offered to a table that does not answer.
const RECORD_MS: Millis = 120_000;

/// A claim that is ours.
pub(super) struct Claim {
    key: String,
    version: u64,
    row: RunRow,
}

/// What a key leads to.
pub(super) enum Claimed {
    /// Ours to send.
    Ours(Claim),
    /// Answered before, or running, or lost.
    Known(Response),
}

/// Claims the key, or finds what became of it.
pub(super) async fn claim(
    shared: &Arc<Shared>,
    account: &str,
    key: &str,
    request: &str,
    incoming: &Incoming,
) -> Result<Claimed, Failure> {
    let url = incoming.head.url();
    let digest = sha256_hex(&[
        incoming.head.method().to_string().as_bytes(),
        url.path().as_bytes(),
        url.query().unwrap_or_default().as_bytes(),
        &incoming.body,
    ]);
    let row = RunRow {
        digest,
        entry: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        request: request.to_string(),
        at_ms: wall_ms(),
        state: RunState::Claimed,
    };
    let name = run_key(account, &sha256_hex(&[key.as_bytes()]));
    let mut version = 0;
    const ROUNDS: usize = 3;
    for _ in 0..ROUNDS {
        match put(shared, &name, version, &row, RetryPolicy::default()).await {
            Outcome::Committed(version) => {
                let why = format!("{account} claims a key");
                let d = Decision::new(Code::RunClaimed, Subject::Request, request, why);
                shared.tell(d.with("version", version));
                let key = name;
                return Ok(Claimed::Ours(Claim { key, version, row }));
            }
            Outcome::NotSent => return Err(Kind::StoreDown.into()),
            Outcome::Unknown => {
                disown(shared, name, row);
                return Err(Kind::StoreDown.with_detail("the claim is unsettled; it was not sent"));
            }
            Outcome::Conflict => {}
        }
        Metrics::increment(&shared.metrics.platform_calls);
        let known = shared.platform.get(&name).await;
        let Some(known) = known.map_err(|_| Failure::from(Kind::StoreDown))? else {
            continue;
        };
        version = known.version;
        let Some(found) = decode::<RunRow>(&known).ok().flatten() else {
            return Err(Kind::KeyUnknown.with_detail("the record can't be read"));
        };
        if let Some(res) = told(shared, &row, found).await? {
            return Ok(Claimed::Known(res));
        }
    }
    Err(Kind::KeyRunning.with_detail("others are claiming the same key"))
}

/// The answer for a key that was claimed before; nothing where it may be claimed again.
async fn told(shared: &Shared, ours: &RunRow, found: RunRow) -> Result<Option<Response>, Failure> {
    if found.digest != ours.digest {
        return Err(Kind::KeyMismatch.into());
    }
    let whose = format!("request {} at entry {}", found.request, found.entry);
    match found.state {
        RunState::NotRun => Ok(None),
        RunState::Claimed if ours.at_ms < found.at_ms + RUNNING_MAX_MS => {
            Err(Kind::KeyRunning.with_detail(whose))
        }
        RunState::Claimed | RunState::Lost => {
            let detail =
                format!("{whose}; an operator can look at the backend server's own record");
            Err(Kind::KeyUnknown.with_detail(detail))
        }
        RunState::Done {
            status,
            media,
            body,
            object,
        } => {
            let bytes = match (body, object) {
                (Some(text), _) => text.into_bytes(),
                (None, Some(name)) => stored(shared, &name).await?,
                (None, None) => Vec::new(),
            };
            let d = Decision::new(Code::RunReplayed, Subject::Request, &ours.request, whose);
            shared.tell(d.with("status", u64::from(status)));
            let mut res = server::answer(status, &media, bytes);
            res.insert_header("rockwick-replayed", "true");
            Ok(Some(server::with_run(res, Run::Yes)))
        }
    }
}

async fn stored(shared: &Shared, name: &str) -> Result<Vec<u8>, Failure> {
    Metrics::increment(&shared.metrics.platform_calls);
    match shared.platform.fetch(name).await {
        Ok(Some(bytes)) => Ok(bytes),
        Ok(None) => Err(Kind::KeyUnknown.with_detail("it was run; its answer is no longer kept")),
        Err(_) => Err(Kind::KeyRunning.with_detail("it was run; the answer can't be fetched now")),
    }
}

/// Records what became of a claimed run: at once if the table answers, in the background if not.
pub(super) async fn record(shared: &Arc<Shared>, claim: Claim, result: &Result<Answer, Failure>) {
    let state = match result {
        Ok(answer) => done(shared, &claim, answer).await,
        Err(failure) if failure.kind.row().run == Run::No => RunState::NotRun,
        Err(_) => RunState::Lost,
    };
    let row = RunRow {
        state,
        ..claim.row.clone()
    };
    let once = RetryPolicy {
        attempts_max: 1,
        pause_ms: 0,
    };
    let request = claim.row.request.clone();
    let (key, version) = (claim.key, claim.version);
    match put(shared, &key, version, &row, once).await {
        Outcome::Committed(_) => tell_recorded(shared, &request, "recorded"),
        Outcome::Conflict => tell_recorded(shared, &request, "somebody else wrote the record"),
        Outcome::NotSent | Outcome::Unknown => {
            tell_recorded(
                shared,
                &request,
                "the table does not answer; goes on trying",
            );
            let kept = Arc::clone(shared);
            let runtime = shared.runtime;
            runtime.spawn_detached(async move { keep_recording(&kept, key, version, row).await });
        }
    }
}

fn tell_recorded(shared: &Shared, request: &str, why: &str) {
    shared.tell(Decision::new(
        Code::RunRecorded,
        Subject::Request,
        request,
        why,
    ));
}

async fn done(shared: &Shared, claim: &Claim, answer: &Answer) -> RunState {
    let media = answer
        .header("content-type")
        .unwrap_or("application/octet-stream");
    let text = String::from_utf8(answer.body.clone()).ok();
    let inline = text.filter(|t| t.len() <= INLINE_MAX_BYTES);
    let mut object = None;
    if inline.is_none() {
        let name = claim.key.replacen("run/", "answers/", 1);
        Metrics::increment(&shared.metrics.platform_calls);
        if shared
            .platform
            .put(&name, answer.body.clone())
            .await
            .is_ok()
        {
            object = Some(name);
        }
    }
    RunState::Done {
        status: answer.status,
        media: media.to_string(),
        body: inline,
        object,
    }
}

async fn keep_recording(shared: &Arc<Shared>, key: String, version: u64, row: RunRow) {
    let until_ms = shared.clock.now_ms() + RECORD_MS;
    let mut pause_ms = 500;
    while shared.clock.now_ms() < until_ms {
        Timer::after(Duration::from_millis(
            pause_ms / 2 + fastrand::u64(0..=pause_ms),
        ))
        .await;
        pause_ms = (pause_ms * 2).min(8_000);
        let outcome = put(shared, &key, version, &row, RetryPolicy::default()).await;
        if matches!(outcome, Outcome::Committed(_) | Outcome::Conflict) {
            tell_recorded(shared, &row.request, "recorded late");
            return;
        }
    }
    tell_recorded(shared, &row.request, "given up; the key stays claimed");
}

/// Gives an unsettled claim back, so that the caller can come again: whether it took effect or not, a
/// row that says "not run" under its successor's version fences it off.
fn disown(shared: &Arc<Shared>, key: String, row: RunRow) {
    let kept = Arc::clone(shared);
    let runtime = shared.runtime;
    runtime.spawn_detached(async move {
        let until_ms = kept.clock.now_ms() + RECORD_MS;
        while kept.clock.now_ms() < until_ms {
            Timer::after(Duration::from_millis(500 + fastrand::u64(0..=1_000))).await;
            if try_disown(&kept, &key, &row).await {
                return;
            }
        }
    });
}

async fn try_disown(shared: &Arc<Shared>, key: &str, row: &RunRow) -> bool {
    Metrics::increment(&shared.metrics.platform_calls);
    let Ok(known) = shared.platform.get(key).await else {
        return false;
    };
    let found = known
        .as_ref()
        .and_then(|k| decode::<RunRow>(k).ok().flatten());
    let ours = found
        .as_ref()
        .is_none_or(|f| f.request == row.request && f.state == RunState::Claimed);
    if !ours {
        return true;
    }
    let not_run = RunRow {
        state: RunState::NotRun,
        ..row.clone()
    };
    let version = known.map_or(0, |k| k.version);
    let outcome = put(shared, key, version, &not_run, RetryPolicy::default()).await;
    matches!(outcome, Outcome::Committed(_))
}

async fn put(
    shared: &Shared,
    key: &str,
    version: u64,
    row: &RunRow,
    patience: RetryPolicy,
) -> Outcome {
    Metrics::increment(&shared.metrics.platform_calls);
    let txn = Transaction {
        token: format!("{:x}-{:x}", shared.incarnation, fastrand::u64(..)),
        checks: Vec::new(),
        puts: vec![Put::new(key, expect(version), row)],
    };
    commit(&shared.platform, &txn, patience).await
}
