//! Refuses requests that crash backend servers.

use std::time;

use bw_policy::{router, suspect};
use bw_wire::{fingerprint, id, refusal};
use tokio::time as async_time;

use crate::context;

/// How long to wait for the recorded strikes of a request. This covers a read
/// that first asks a hung replica (1.5 s), and strikes that are being recorded.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Returns how a request may share a backend server, judged by the strikes that
/// this entry VM knows.
///
/// # Errors
///
/// Refuses a request that crashed too many backend servers, and one that has
/// to run isolated while another isolated run of it is in progress.
pub fn check(
    shared: &context::Shared,
    fingerprint: fingerprint::Fingerprint,
) -> Result<router::Sharing, refusal::Refusal> {
    let treatment = shared.with_suspects(|suspects, _| suspects.treatment(fingerprint));
    match treatment {
        suspect::Treatment::Refused(refusal) => Err(refusal),
        treatment => Ok(treatment.sharing().unwrap_or_default()),
    }
}

/// Returns how a request may share a backend server. A request is refused for
/// crashing backend servers only if its work group has recorded the strikes.
///
/// # Errors
///
/// Refuses like [`check`], and temporarily if the work group does not confirm in
/// time that the request crashed too many backend servers.
pub async fn check_confirmed(
    context: &context::Context,
    fingerprint: fingerprint::Fingerprint,
) -> Result<router::Sharing, refusal::Refusal> {
    let checked = async_time::timeout(CONFIRM_TIMEOUT, check_recorded(context, fingerprint));
    checked.await.unwrap_or_else(|_| Err(unconfirmed()))
}

async fn check_recorded(
    context: &context::Context,
    fingerprint: fingerprint::Fingerprint,
) -> Result<router::Sharing, refusal::Refusal> {
    let shared = &context.shared;
    let group = group_of(shared, &fingerprint);
    loop {
        let poisonous = match check(shared, fingerprint) {
            Err(refusal) if refusal.reason == refusal::Reason::PoisonousRequest => refusal,
            checked => return checked,
        };
        let recorded = context.records.suspects(&context.control, group).await;
        let Some(recorded) = recorded else {
            continue;
        };
        let recorded = recorded
            .iter()
            .find(|suspect| suspect.fingerprint == fingerprint);
        if recorded.is_some_and(suspect::is_poisonous) {
            return Err(poisonous);
        }
        shared.with_suspects(|suspects, now_ms| suspects.replace(fingerprint, recorded, now_ms));
    }
}

/// Returns the work group that records the strikes of a request.
pub fn group_of(shared: &context::Shared, fingerprint: &fingerprint::Fingerprint) -> u32 {
    let key = fingerprint.to_string();
    id::group_for(key.as_bytes(), shared.settings.groups)
}

/// Returns the temporary refusal of a request that, by unconfirmed strikes,
/// crashed too many backend servers.
pub fn unconfirmed() -> refusal::Refusal {
    refusal::Refusal::not_run(
        refusal::Reason::ControlUnavailable,
        "control did not confirm in time whether this request crashes backend servers",
    )
}
