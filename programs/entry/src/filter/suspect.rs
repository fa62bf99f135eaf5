//! Decides how a request that was in flight at crashes may run again.

use std::collections;

use bw_policy::router;
use bw_wire::{command, fingerprint, refusal};

/// Strikes after which a request runs isolated.
const ISOLATED_STRIKES: u32 = 2;
/// Strikes after which a request is refused.
const REFUSED_STRIKES: u32 = 3;

/// How much a request is suspected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Suspicion {
    /// Crashes of backend servers while it ran there.
    pub strikes: u32,
    /// Crashes while it ran isolated.
    pub isolated: u32,
}

impl Suspicion {
    /// Returns how the request may share a backend server.
    ///
    /// # Errors
    ///
    /// Refuses a request that crashed too many backend servers.
    pub fn fit(self) -> Result<router::Fit, refusal::Refusal> {
        if self.strikes >= REFUSED_STRIKES || self.isolated > 0 {
            let message = "the request was in flight at crashes of backend servers";
            let reason = refusal::Reason::PoisonousRequest;
            return Err(refusal::Refusal::may_have_run(reason, message));
        }
        Ok(match self.strikes {
            0 => router::Fit::Any,
            ISOLATED_STRIKES.. => router::Fit::Isolated,
            _ => router::Fit::Dispersed,
        })
    }

    /// Returns whether the request is a suspect.
    pub fn is_suspect(self) -> bool {
        self.strikes > 0
    }

    /// Counts a crash.
    pub fn strike(&mut self, isolated: bool) {
        self.strikes += 1;
        self.isolated += u32::from(isolated);
    }

    /// Takes the higher counts.
    pub fn merge(&mut self, other: Suspicion) {
        self.strikes = self.strikes.max(other.strikes);
        self.isolated = self.isolated.max(other.isolated);
    }
}

/// Returns how much a request is suspected.
///
/// # Errors
///
/// Refuses a request that crashed too many backend servers.
pub fn check(
    suspects: &collections::HashMap<fingerprint::Fingerprint, command::work::Suspect>,
    fingerprint: &fingerprint::Fingerprint,
) -> Result<Suspicion, refusal::Refusal> {
    let suspicion = look_up(suspects, fingerprint);
    suspicion.fit()?;
    Ok(suspicion)
}

/// Returns what the list says of a request.
pub fn look_up(
    suspects: &collections::HashMap<fingerprint::Fingerprint, command::work::Suspect>,
    fingerprint: &fingerprint::Fingerprint,
) -> Suspicion {
    suspects
        .get(fingerprint)
        .map_or(Suspicion::default(), |suspect| Suspicion {
            strikes: suspect.strikes,
            isolated: suspect.isolated,
        })
}
