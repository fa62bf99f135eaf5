//! Refuses requests with a part of a prompt that crashes backend servers.
//!
//! The parts of a chat are its messages. The last one belongs to the request alone.

use bw_suspect::{Fingerprint, Request};
use bw_wire::{fingerprint, refusal};
use serde_json::Value;

use crate::context;

/// Time after the last crash of a part in which no trial of it begins, in milliseconds.
/// Bursts of crashes end within seconds, and a backend server has restarted before.
const PAUSE_MS: u64 = 10_000;

/// Returns the parts of the prompt of a request.
pub fn of(body: &Value) -> Request {
    let messages = body["messages"].as_array().into_iter().flatten();
    let messages: Vec<String> = messages.map(Value::to_string).collect();
    let messages: Vec<&str> = messages.iter().map(String::as_str).collect();
    Request::of_parts(&messages)
}

/// Returns the part for which a request may run only as a trial, if there is one.
///
/// # Errors
///
/// Refuses a request with a part of which no trial is due. The trial of a request with
/// several such parts waits for those of others, as it would show little.
pub fn check(
    shared: &context::Shared,
    parts: &Request,
) -> Result<Option<Fingerprint>, refusal::Refusal> {
    shared.with_parts(|known, now_ms| {
        let Some(refused) = known.refusal(parts) else {
            return Ok(None);
        };
        let last_ms = known.last_crash_ms(refused.fingerprint);
        let is_due = last_ms.is_none_or(|last_ms| now_ms >= last_ms + PAUSE_MS);
        match is_due && known.others_wait_ms(refused, now_ms).is_none() {
            true => Ok(Some(refused.fingerprint)),
            false => Err(refusal()),
        }
    })
}

/// Returns the fingerprint under which the trials of a part are recorded.
pub fn recorded(part: Fingerprint) -> fingerprint::Fingerprint {
    fingerprint::Fingerprint::of_bytes(format!("part {:016x}", part.0).as_bytes())
}

/// Returns the refusal of a request with a part that crashes backend servers.
pub fn refusal() -> refusal::Refusal {
    refusal::Refusal::not_run(
        refusal::Reason::PoisonousPart,
        "backend servers crashed under requests with one of these messages",
    )
}
