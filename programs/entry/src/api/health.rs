//! Health checks and metrics.

use bw_base::metrics;
use bw_wire::refusal;
use gotham::http;

use super::{Head, Response, full, require_method};
use crate::{context, filter};

/// Answers `/healthz` and `/readyz`.
///
/// `/healthz` succeeds while the process runs. `/readyz` succeeds only while the
/// process takes new work. It fails without a configuration lease, so that the load
/// balancer sends callers to other entry VMs.
pub(super) fn answer(
    context: &context::Context,
    head: &Head,
) -> Result<Response, refusal::Refusal> {
    require_method(head, &http::Method::GET)?;
    if head.uri.path() == "/healthz" {
        return Ok(text(http::StatusCode::OK, "ok\n"));
    }
    Ok(match filter::admission::check_accepting(&context.shared) {
        Ok(()) => text(http::StatusCode::OK, "ready\n"),
        Err(refusal) => {
            let reason = format!("{}\n", refusal.reason);
            text(http::StatusCode::SERVICE_UNAVAILABLE, &reason)
        }
    })
}

/// Answers `/metrics` in the text format of Prometheus.
pub(super) fn metrics(
    context: &context::Context,
    head: &Head,
) -> Result<Response, refusal::Refusal> {
    require_method(head, &http::Method::GET)?;
    filter::access::check(&context.shared.credentials.admin, &head.headers)?;
    Ok(text(http::StatusCode::OK, &metrics::render()))
}

fn text(status: http::StatusCode, text: &str) -> Response {
    full(status, "text/plain; charset=utf-8", text.to_owned())
}
