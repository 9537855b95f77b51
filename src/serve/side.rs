//! What the balancer asks, and the figures.

use std::sync::Arc;

use http_types::Response;

use super::shared::Shared;
use crate::http::server::answer;
use crate::http::Incoming;

/// Media type of the Prometheus text format.
const TEXT: &str = "text/plain; version=0.0.4";

/// Whether callers should be sent here.
pub(super) async fn ready(shared: Arc<Shared>, _incoming: Incoming) -> Response {
    let status = if shared.is_ready() { 200 } else { 503 };
    answer(status, "text/plain", Vec::new())
}

/// The figures.
pub(super) async fn figures(shared: Arc<Shared>, _incoming: Incoming) -> Response {
    let uptime_ms = shared.clock.now_ms();
    let text = shared.metrics.render(shared.log.dropped(), uptime_ms);
    answer(200, TEXT, text.into_bytes())
}
