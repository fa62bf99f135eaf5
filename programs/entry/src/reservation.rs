//! Backend servers that are kept free for isolated runs.

use std::sync;

use bw_policy::suspect;
use bw_wire::{fingerprint, name, refusal};

use crate::{context, controller, filter};

/// How long a backend server stays reserved for an isolated run, unless the run
/// ends sooner. Renewed reservations would outlive an entry VM that dies.
const RESERVE_MS: u64 = 30_000;

/// A backend server that all entry VMs keep free for the isolated run of a
/// request, until it is dropped.
pub(crate) struct Reservation {
    context: sync::Arc<context::Context>,
    backend: name::Name,
    fingerprint: fingerprint::Fingerprint,
}

impl Reservation {
    /// Reserves a backend server for a caller's request.
    ///
    /// # Errors
    ///
    /// Refuses for now a request that crashed too many backend servers, and one
    /// of which another isolated run is in progress: one may have begun since
    /// the request was checked.
    pub(crate) fn new(
        context: &sync::Arc<context::Context>,
        backend: name::Name,
        fingerprint: fingerprint::Fingerprint,
    ) -> Result<Reservation, refusal::Refusal> {
        let treatment = context.shared.with_suspects(|suspects, _| {
            let treatment = suspects.treatment(fingerprint);
            if treatment == suspect::Treatment::Isolated {
                suspects.begin_isolated(fingerprint);
            }
            treatment
        });
        match treatment {
            // Learnt since the request was checked, and not confirmed.
            suspect::Treatment::Refused(refusal)
                if refusal.reason == refusal::Reason::PoisonousRequest =>
            {
                return Err(filter::suspect::unconfirmed());
            }
            suspect::Treatment::Refused(refusal) => return Err(refusal),
            _ => {}
        }
        Ok(Reservation::announced(context, backend, fingerprint))
    }

    /// Reserves a backend server for a trial of an item, which begins with it.
    pub(crate) fn of_trial(
        context: &sync::Arc<context::Context>,
        backend: name::Name,
        fingerprint: fingerprint::Fingerprint,
    ) -> Reservation {
        context
            .shared
            .with_suspects(|suspects, _| suspects.begin_trial(fingerprint));
        Reservation::announced(context, backend, fingerprint)
    }

    fn announced(
        context: &sync::Arc<context::Context>,
        backend: name::Name,
        fingerprint: fingerprint::Fingerprint,
    ) -> Reservation {
        let reservation = Reservation {
            context: sync::Arc::clone(context),
            backend,
            fingerprint,
        };
        reservation.announce(RESERVE_MS);
        reservation
    }

    fn announce(&self, duration_ms: u64) {
        self.context.events.send(controller::Event::Reserved {
            backend: self.backend.clone(),
            duration_ms,
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Also after a run that neither finished nor crashed.
        let fingerprint = self.fingerprint;
        self.context
            .shared
            .with_suspects(|suspects, _| suspects.abandoned(fingerprint));
        self.announce(0);
    }
}
