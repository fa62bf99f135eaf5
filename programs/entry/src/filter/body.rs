//! Reads a request body within its limits.

use bw_wire::refusal;
use bytes::Bytes;
use gotham::http;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time as async_time;

use crate::{api, settings};

/// Reads a whole body.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or cut off.
pub async fn read(
    limits: &settings::Limits,
    headers: &http::HeaderMap,
    body: api::Body,
) -> Result<Bytes, refusal::Refusal> {
    let declared = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    if declared.is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(too_large(limits));
    }
    let collected = Limited::new(body, limits.body_bytes).collect();
    let timeout = settings::ms(limits.body_timeout_ms);
    match async_time::timeout(timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limits)),
        Ok(Err(error)) => {
            let message = format!("the body did not arrive whole: {error}");
            Err(refusal::Refusal::not_run(
                refusal::Reason::InvalidJson,
                message,
            ))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(refusal::Refusal::not_run(
                refusal::Reason::RequestTimeout,
                message,
            ))
        }
    }
}

fn too_large(limits: &settings::Limits) -> refusal::Refusal {
    let message = format!("the body exceeds {} bytes", limits.body_bytes);
    refusal::Refusal::not_run(refusal::Reason::BodyTooLarge, message)
}
