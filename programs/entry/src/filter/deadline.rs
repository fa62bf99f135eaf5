//! Determines the deadline of a request.

use bw_wire::{header, refusal};

use crate::{api, context};

/// Returns when the caller stops waiting, in milliseconds of the process clock.
/// The allowed time starts when the request arrived.
///
/// # Errors
///
/// Refuses a deadline header that is not a number, and a deadline that has passed.
pub fn of(shared: &context::Shared, head: &api::Head) -> Result<u64, refusal::Refusal> {
    let elapsed_ms = u64::try_from(head.received.elapsed().as_millis()).unwrap_or(u64::MAX);
    let max_ms = shared.settings.timeouts.request_ms;
    let allowed_ms = match head.text(header::DEADLINE_MS) {
        None => max_ms,
        Some(text) => text
            .parse::<u64>()
            .map_err(|_| {
                let message = format!("{} must be a number of milliseconds", header::DEADLINE_MS);
                refusal::Refusal::not_run(refusal::Reason::InvalidField, message)
                    .param(header::DEADLINE_MS)
            })?
            .min(max_ms),
    };
    if elapsed_ms >= allowed_ms {
        let message = "the deadline has passed";
        return Err(refusal::Refusal::not_run(
            refusal::Reason::DeadlineUnreachable,
            message,
        ));
    }
    Ok(shared.clock.now_ms() + allowed_ms - elapsed_ms)
}
