//! Reservations of backend servers for isolated runs.

use std::sync;

use bw_policy::suspect;
use bw_wire::{fingerprint, name, refusal};

use crate::{context, controller, filter, isolation};

/// Longest reservation of a backend server, in milliseconds; it ends sooner with
/// the run. It is not renewed, so that it expires if this entry VM crashes.
const DURATION_MS: u64 = 30_000;

/// Keeps a backend server free, on all entry VMs, for the isolated run of a
/// request. Dropping it ends the reservation.
pub(crate) struct Reservation {
    context: sync::Arc<context::Context>,
    backend: name::Name,
    fingerprint: fingerprint::Fingerprint,
    /// The permission for the isolated run of a caller's request.
    permit: Option<isolation::Permit>,
    /// Whether the other entry VMs were told to keep the backend server free.
    is_announced: bool,
}

impl Reservation {
    /// Reserves a backend server for a caller's request.
    ///
    /// # Errors
    ///
    /// Refuses a request whose other isolated run is in progress, and, until it is
    /// confirmed, one with too many crashes. Both can have happened since the
    /// request was checked. Also refuses one that another entry VM runs isolated.
    pub(crate) async fn new(
        context: &sync::Arc<context::Context>,
        backend: name::Name,
        fingerprint: fingerprint::Fingerprint,
        run: &name::Name,
    ) -> Result<Reservation, refusal::Refusal> {
        let treatment = context.shared.with_suspects(|suspects, _| {
            let treatment = suspects.treatment(fingerprint);
            if treatment == suspect::Treatment::Isolated {
                suspects.begin_isolated(fingerprint);
            }
            treatment
        });
        match treatment {
            // The strikes became known after the check and are not confirmed, so
            // the caller may retry.
            suspect::Treatment::Refused(refusal)
                if refusal.reason == refusal::Reason::PoisonousRequest =>
            {
                return Err(filter::suspect::unconfirmed());
            }
            suspect::Treatment::Refused(refusal) => return Err(refusal),
            _ => {}
        }
        // Ends the isolated run of this entry VM if there is no permission.
        let mut reservation = Reservation::of(context, backend, fingerprint);
        let permit = isolation::Permit::begin(context, fingerprint, run, DURATION_MS).await?;
        reservation.permit = Some(permit);
        reservation.announce();
        Ok(reservation)
    }

    /// Notes that the run may have crashed its backend server.
    pub(crate) fn spend(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.spend();
        }
    }

    /// Reserves a backend server for a trial of a batch item, and begins the trial.
    pub(crate) fn for_trial(
        context: &sync::Arc<context::Context>,
        backend: name::Name,
        fingerprint: fingerprint::Fingerprint,
    ) -> Reservation {
        context
            .shared
            .with_suspects(|suspects, _| suspects.begin_trial(fingerprint));
        let mut reservation = Reservation::of(context, backend, fingerprint);
        reservation.announce();
        reservation
    }

    fn of(
        context: &sync::Arc<context::Context>,
        backend: name::Name,
        fingerprint: fingerprint::Fingerprint,
    ) -> Reservation {
        Reservation {
            context: sync::Arc::clone(context),
            backend,
            fingerprint,
            permit: None,
            is_announced: false,
        }
    }

    fn announce(&mut self) {
        self.is_announced = true;
        self.send(DURATION_MS);
    }

    fn send(&self, duration_ms: u64) {
        self.context.events.send(controller::Event::Reserved {
            backend: self.backend.clone(),
            duration_ms,
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Also ends a run that neither finished nor crashed.
        let fingerprint = self.fingerprint;
        self.context
            .shared
            .with_suspects(|suspects, _| suspects.abandoned(fingerprint));
        // Without an own reservation, this would end one of another entry VM.
        if self.is_announced {
            self.send(0);
        }
    }
}
