//! Looks up the model or service of a request in the configuration.

use bw_wire::refusal;

use super::admission;
use crate::{context, snapshot};

/// Looks something up in the configuration that this entry VM knows. If it is
/// missing there, looks it up again in the newest configuration.
///
/// # Errors
///
/// Returns the refusal of `find` for the newest configuration, and a temporary
/// refusal if the control leader does not confirm which one that is.
pub async fn lookup<T>(
    shared: &context::Shared,
    find: impl Fn(&snapshot::Snapshot) -> Result<T, refusal::Refusal>,
) -> Result<T, refusal::Refusal> {
    let found = find(&shared.snapshot.load());
    if found.is_ok() {
        return found;
    }
    match shared.confirmation.wait().await {
        true => find(&shared.snapshot.load()),
        false => Err(admission::stale()),
    }
}
