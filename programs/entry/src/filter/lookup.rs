//! Looks up what a request names in the configuration.

use bw_wire::refusal;

use super::admission;
use crate::{context, snapshot};

/// Finds something in the published configuration. If it is not there, it is
/// looked for again in the newest configuration.
///
/// # Errors
///
/// Returns the refusal of `find` for the newest configuration, and refuses for
/// now if the control leader does not confirm which one that is.
pub async fn lookup<T>(
    shared: &context::Shared,
    find: impl Fn(&snapshot::Snapshot) -> Result<T, refusal::Refusal>,
) -> Result<T, refusal::Refusal> {
    let known = find(&shared.snapshot.load());
    if known.is_ok() {
        return known;
    }
    match shared.confirmation.wait().await {
        true => find(&shared.snapshot.load()),
        false => Err(admission::stale()),
    }
}
