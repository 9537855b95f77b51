//! Handlers of the readiness check, the metrics endpoint and the explain endpoint.
//!
//! The traffic thread serves them on listeners apart from the callers'; they only read shared state.

use std::sync::Arc;

use http_types::Response;

use super::shared::Shared;
use crate::event::Subject;
use crate::http::server::{answer, json};
use crate::http::Incoming;
use crate::view::Line;

/// The media type of the Prometheus text format.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// The path prefix under which the decisions on one subject are found.
const EXPLAIN_PREFIX: &str = "/v1/explain/";

/// Answers 200 while the balancer should send callers here, else 503.
pub(super) async fn answer_readiness(shared: Arc<Shared>, _incoming: Incoming) -> Response {
    let status = if shared.is_ready() { 200 } else { 503 };
    answer(status, "text/plain", Vec::new())
}

/// Answers with the metrics, or under `/v1/explain/KIND/ID` with this entry's latest decisions on one subject.
pub(super) async fn answer_metrics(shared: Arc<Shared>, incoming: Incoming) -> Response {
    if let Some(subject_path) = incoming.head.url().path().strip_prefix(EXPLAIN_PREFIX) {
        return answer_explain(&shared, subject_path);
    }
    let uptime_ms = shared.clock.now_ms();
    let text = shared.metrics.render(shared.log.dropped(), uptime_ms);
    answer(200, METRICS_MEDIA_TYPE, text.into_bytes())
}

/// Answers with the decisions on one subject that the log keeps in memory, in the form that `rockwick explain` reads.
fn answer_explain(shared: &Shared, subject_path: &str) -> Response {
    let Some((kind, id)) = subject_path.split_once('/') else {
        return answer(404, "text/plain", Vec::new());
    };
    let Some(subject) = Subject::parse(kind) else {
        return answer(404, "text/plain", Vec::new());
    };
    let decisions = shared.log.decisions_about(subject, id);
    let lines: Vec<Line> = decisions
        .iter()
        .map(|d| Line::from_decision(&shared.settings.name, d))
        .collect();
    json(200, &lines)
}
