//! Builds responses, also those of refusals.

use bw_wire::{header, refusal};
use bytes::Bytes;
use gotham::http;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use super::{Body, Head, Response};
use crate::metrics;

/// Returns a response whose body is complete.
pub fn full(status: http::StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(complete_body(body.into()));
    *response.status_mut() = status;
    if let Ok(value) = http::HeaderValue::from_str(content_type) {
        let headers = response.headers_mut();
        headers.insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Returns a response of status 200 with a JSON object.
///
/// # Errors
///
/// Fails when the object cannot be represented as JSON.
pub fn json<T: Serialize>(object: &T) -> Result<Response, refusal::Refusal> {
    let text = serde_json::to_string(object).map_err(|error| {
        refusal::Refusal::may_have_run(refusal::Reason::Internal, error.to_string())
    })?;
    Ok(full(http::StatusCode::OK, "application/json", text))
}

/// Returns the response of a refusal. The refusal is not counted or logged here.
pub fn refuse(refusal: &refusal::Refusal) -> Response {
    let status = http::StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    // The error body holds only strings, which serialize without an error.
    let body = serde_json::to_string(&refusal.body()).unwrap_or_default();
    let mut response = full(status, "application/json", body);
    let headers = response.headers_mut();
    let verdict: &'static str = refusal.verdict.into();
    headers.insert(header::VERDICT, http::HeaderValue::from_static(verdict));
    if let Some(seconds) = refusal.retry_after_s {
        let seconds = http::HeaderValue::from(seconds);
        headers.insert(http::header::RETRY_AFTER, seconds);
    }
    if refusal.reason == refusal::Reason::Unauthorized {
        let scheme = http::HeaderValue::from_static("Bearer");
        headers.insert(http::header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Completes a response: adds the request id, and counts and logs a refusal.
pub(super) fn finish(
    head: &Head,
    path: &str,
    answer: Result<Response, refusal::Refusal>,
) -> Response {
    let mut response = answer.unwrap_or_else(|refusal| {
        log_refusal(&head.id, path, &refusal);
        refuse(&refusal)
    });
    if let Ok(id) = http::HeaderValue::from_str(&head.id) {
        response.headers_mut().insert(header::REQUEST_ID, id);
    }
    response
}

/// Counts and logs a refusal.
pub(crate) fn log_refusal(id: &str, path: &str, refusal: &refusal::Refusal) {
    metrics::count_refusal(refusal);
    let verdict: &str = refusal.verdict.into();
    let reason: &str = refusal.reason.into();
    log::info!(
        request_id = id, path = path, verdict = verdict, reason = reason;
        "request refused: {}", refusal.message
    );
}

fn complete_body(body: Bytes) -> Body {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
