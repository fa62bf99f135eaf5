//! Refuses requests that crash backend servers.

use bw_policy::{router, suspect};
use bw_wire::{fingerprint, refusal};

use crate::context;

/// Returns how a request may share a backend server.
///
/// # Errors
///
/// Refuses a request that crashed too many backend servers, and one that has
/// to run alone while another such run is in progress.
pub fn check(
    shared: &context::Shared,
    fingerprint: fingerprint::Fingerprint,
) -> Result<router::Fit, refusal::Refusal> {
    let treatment = shared.with_suspects(|suspects, _| suspects.treatment(fingerprint));
    match treatment {
        suspect::Treatment::Refused(refusal) => Err(refusal),
        treatment => Ok(treatment.fit().unwrap_or_default()),
    }
}
