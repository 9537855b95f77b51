//! Requests with an `Idempotency-Key`: each key is claimed in the table before its request is sent, and the
//! outcome is recorded under it afterwards.
//!
//! A request with the same key gets the recorded answer, so that a request runs at most once. `traffic` calls
//! [`claim_key`] and [`record_outcome`].

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

/// Largest body that is kept in the table. Larger bodies and those that are not UTF-8 are stored as objects.
const INLINE_MAX_BYTES: usize = 16 << 10;

/// Age from which a claim without an outcome is answered as unknown instead of running.
const RUNNING_MAX_MS: Millis = 3_600_000;

/// Longest time over which an outcome, or the release of a claim, is retried while the table does not answer.
const RECORD_RETRY_MAX_MS: Millis = 120_000;

/// A key that this request has claimed.
pub(super) struct Claim {
    row_key: String,
    version: u64,
    row: RunRow,
}

/// The result of [`claim_key`].
pub(super) enum Claimed {
    /// This request holds the key and may be sent.
    Ours(Claim),
    /// The recorded answer of the earlier request with this key.
    Known(Response),
}

/// Claims the key, or returns the answer that is recorded under it. Fails if an earlier request with the key differs,
/// is still running or has an unknown outcome.
pub(super) async fn claim_key(
    shared: &Arc<Shared>,
    account: &str,
    key: &str,
    request_id: &str,
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
        request: request_id.to_string(),
        at_ms: wall_ms(),
        state: RunState::Claimed,
    };
    let row_key = run_key(account, &sha256_hex(&[key.as_bytes()]));
    let mut version = 0;
    const ROUNDS_MAX: usize = 3;
    for _ in 0..ROUNDS_MAX {
        match put_run(shared, &row_key, version, &row, RetryPolicy::default()).await {
            Outcome::Committed(version) => {
                let why = format!("account {account} claimed an idempotency key");
                let d = Decision::new(Code::RunClaimed, Subject::Request, request_id, why);
                shared.log_decision(d.with("version", version));
                return Ok(Claimed::Ours(Claim {
                    row_key,
                    version,
                    row,
                }));
            }
            Outcome::NotSent => return Err(Kind::StoreDown.into()),
            Outcome::Unknown => {
                release_claim(shared, row_key, row);
                return Err(Kind::StoreDown.with_detail("the claim is unsettled; it was not sent"));
            }
            Outcome::Conflict => {}
        }
        Metrics::increment(&shared.metrics.platform_calls);
        let known = shared.platform.get(&row_key).await;
        let Some(known) = known.map_err(|_| Failure::from(Kind::StoreDown))? else {
            continue;
        };
        version = known.version;
        let Some(found) = decode::<RunRow>(&known).ok().flatten() else {
            return Err(Kind::KeyUnknown.with_detail("the record can't be read"));
        };
        if let Some(res) = answer_from_record(shared, &row, found).await? {
            return Ok(Claimed::Known(res));
        }
    }
    Err(Kind::KeyRunning.with_detail("others are claiming the same key"))
}

/// Returns the recorded answer of a key that was claimed before, or `None` if the key may be claimed again.
async fn answer_from_record(
    shared: &Shared,
    ours: &RunRow,
    found: RunRow,
) -> Result<Option<Response>, Failure> {
    if found.digest != ours.digest {
        return Err(Kind::KeyMismatch.into());
    }
    let holder = format!("request {} at entry {}", found.request, found.entry);
    match found.state {
        RunState::NotRun => Ok(None),
        RunState::Claimed if ours.at_ms < found.at_ms + RUNNING_MAX_MS => {
            Err(Kind::KeyRunning.with_detail(holder))
        }
        RunState::Claimed | RunState::Lost => {
            let detail =
                format!("{holder}; an operator can look at the backend server's own record");
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
                (None, Some(name)) => fetch_body(shared, &name).await?,
                (None, None) => Vec::new(),
            };
            let d = Decision::new(Code::RunReplayed, Subject::Request, &ours.request, holder);
            shared.log_decision(d.with("status", u64::from(status)));
            let mut res = server::answer(status, &media, bytes);
            res.insert_header("rockwick-replayed", "true");
            Ok(Some(server::with_run(res, Run::Yes)))
        }
    }
}

async fn fetch_body(shared: &Shared, name: &str) -> Result<Vec<u8>, Failure> {
    Metrics::increment(&shared.metrics.platform_calls);
    match shared.platform.fetch(name).await {
        Ok(Some(bytes)) => Ok(bytes),
        Ok(None) => Err(Kind::KeyUnknown.with_detail("it was run; its answer is no longer kept")),
        Err(_) => Err(Kind::KeyRunning.with_detail("it was run; the answer can't be fetched now")),
    }
}

/// Records the outcome of a claimed request: at once if the table answers, otherwise in the background.
pub(super) async fn record_outcome(
    shared: &Arc<Shared>,
    claim: Claim,
    result: &Result<Answer, Failure>,
) {
    let state = match result {
        Ok(answer) => done_state(shared, &claim, answer).await,
        Err(failure) if failure.kind.info().run == Run::No => RunState::NotRun,
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
    let request_id = claim.row.request.clone();
    let (key, version) = (claim.row_key, claim.version);
    match put_run(shared, &key, version, &row, once).await {
        Outcome::Committed(_) => log_recorded(shared, &request_id, "recorded"),
        Outcome::Conflict => log_recorded(
            shared,
            &request_id,
            "another writer changed the record first",
        ),
        Outcome::NotSent | Outcome::Unknown => {
            log_recorded(
                shared,
                &request_id,
                "the table does not answer; the entry retries in the background",
            );
            let task_shared = Arc::clone(shared);
            let runtime = shared.runtime;
            runtime.spawn_detached(
                async move { keep_recording(&task_shared, key, version, row).await },
            );
        }
    }
}

fn log_recorded(shared: &Shared, request_id: &str, why: &str) {
    shared.log_decision(Decision::new(
        Code::RunRecorded,
        Subject::Request,
        request_id,
        why,
    ));
}

async fn done_state(shared: &Shared, claim: &Claim, answer: &Answer) -> RunState {
    let media = answer
        .header("content-type")
        .unwrap_or("application/octet-stream");
    let text = String::from_utf8(answer.body.clone()).ok();
    let inline = text.filter(|t| t.len() <= INLINE_MAX_BYTES);
    let mut object = None;
    if inline.is_none() {
        let name = claim.row_key.replacen("run/", "answers/", 1);
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
    let until_ms = shared.clock.now_ms() + RECORD_RETRY_MAX_MS;
    let mut pause_ms = 500;
    while shared.clock.now_ms() < until_ms {
        Timer::after(Duration::from_millis(
            pause_ms / 2 + fastrand::u64(0..=pause_ms),
        ))
        .await;
        pause_ms = (pause_ms * 2).min(8_000);
        let outcome = put_run(shared, &key, version, &row, RetryPolicy::default()).await;
        if matches!(outcome, Outcome::Committed(_) | Outcome::Conflict) {
            log_recorded(
                shared,
                &row.request,
                "a retry in the background wrote the record",
            );
            return;
        }
    }
    log_recorded(
        shared,
        &row.request,
        "the entry gave up; the key stays claimed",
    );
}

/// Releases a claim whose commit has an unknown outcome, in the background, so that the caller can retry.
///
/// A `NotRun` row replaces the claim. If the claim has not taken effect yet, the row fences it off: its version check
/// fails.
fn release_claim(shared: &Arc<Shared>, key: String, row: RunRow) {
    let task_shared = Arc::clone(shared);
    let runtime = shared.runtime;
    runtime.spawn_detached(async move {
        let until_ms = task_shared.clock.now_ms() + RECORD_RETRY_MAX_MS;
        while task_shared.clock.now_ms() < until_ms {
            Timer::after(Duration::from_millis(500 + fastrand::u64(0..=1_000))).await;
            if try_release_claim(&task_shared, &key, &row).await {
                return;
            }
        }
    });
}

async fn try_release_claim(shared: &Arc<Shared>, key: &str, row: &RunRow) -> bool {
    Metrics::increment(&shared.metrics.platform_calls);
    let Ok(known) = shared.platform.get(key).await else {
        return false;
    };
    let found = known
        .as_ref()
        .and_then(|k| decode::<RunRow>(k).ok().flatten());
    let is_ours = found
        .as_ref()
        .is_none_or(|f| f.request == row.request && f.state == RunState::Claimed);
    if !is_ours {
        return true;
    }
    let not_run = RunRow {
        state: RunState::NotRun,
        ..row.clone()
    };
    let version = known.map_or(0, |k| k.version);
    let outcome = put_run(shared, key, version, &not_run, RetryPolicy::default()).await;
    matches!(outcome, Outcome::Committed(_))
}

async fn put_run(
    shared: &Shared,
    key: &str,
    version: u64,
    row: &RunRow,
    retry_policy: RetryPolicy,
) -> Outcome {
    Metrics::increment(&shared.metrics.platform_calls);
    let txn = Transaction {
        token: format!("{:x}-{:x}", shared.incarnation, fastrand::u64(..)),
        checks: Vec::new(),
        puts: vec![Put::new(key, expect(version), row)],
    };
    commit(&shared.platform, &txn, retry_policy).await
}
