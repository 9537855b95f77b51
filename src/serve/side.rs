//! What the balancer asks, the figures, and what was decided of late on one thing.

use std::sync::Arc;

use http_types::Response;

use super::shared::Shared;
use crate::event::Subject;
use crate::http::server::{answer, json};
use crate::http::Incoming;
use crate::view::Line;

/// Media type of the Prometheus text format.
const TEXT: &str = "text/plain; version=0.0.4";

/// Where the decisions on one thing are.
const EXPLAIN: &str = "/v1/explain/";

/// Whether callers should be sent here.
pub(super) async fn ready(shared: Arc<Shared>, _incoming: Incoming) -> Response {
    let status = if shared.is_ready() { 200 } else { 503 };
    answer(status, "text/plain", Vec::new())
}

/// The figures, or under `/v1/explain/KIND/ID` what this entry decided on one thing.
pub(super) async fn figures(shared: Arc<Shared>, incoming: Incoming) -> Response {
    if let Some(asked) = incoming.head.url().path().strip_prefix(EXPLAIN) {
        return explain(&shared, asked);
    }
    let uptime_ms = shared.clock.now_ms();
    let text = shared.metrics.render(shared.log.dropped(), uptime_ms);
    answer(200, TEXT, text.into_bytes())
}

/// The decisions that are kept on one thing, as `rockwick explain` reads them.
fn explain(shared: &Shared, asked: &str) -> Response {
    let Some((kind, id)) = asked.split_once('/') else {
        return answer(404, "text/plain", Vec::new());
    };
    let Some(subject) = Subject::parse(kind) else {
        return answer(404, "text/plain", Vec::new());
    };
    let kept = shared.log.about(subject, id);
    let lines: Vec<Line> = kept
        .iter()
        .map(|d| Line::of(&shared.settings.name, d))
        .collect();
    json(200, &lines)
}
