//! Handles failed attempts.

use bw_policy::{health, retry, router, suspect};
use bw_wire::refusal;

use super::{Claim, Run, flight::Flight};
use crate::{
    controller, filter, metrics,
    upstream::{self, Cause},
};

/// How many backend servers may refuse the connection of one request before a
/// refused connection counts as a failed attempt. Nothing was sent to them.
const MAX_SKIPS: u32 = 16;

impl Run {
    /// Handles a failed attempt. Returns whether another attempt has to be
    /// started; if not, one is still running.
    ///
    /// `is_only` tells whether no other attempt of the request is running.
    pub(super) async fn failed(
        &mut self,
        claim: Claim,
        error: &upstream::Error,
        is_only: bool,
    ) -> Result<bool, refusal::Refusal> {
        let Claim {
            mut slot,
            mut reservation,
            mut flight,
        } = claim;
        log::info!(
            request_id = self.request.id.as_str(),
            team = self.request.team.as_str(),
            backend = slot.choice().id.as_str(),
            verdict = <&str>::from(error.verdict);
            "attempt failed: {error}"
        );
        slot.set_outcome(health_outcome(error.cause));
        let is_isolated = slot.sharing() == router::Sharing::Isolated;
        let choice = slot.choice().clone();
        drop(slot);
        if let Some(flight) = &mut flight {
            self.note_flight(flight, error.cause, &choice).await;
        }
        if error.cause == Cause::Broken {
            // Whether it was a crash may become known only when the backend server
            // announces itself again.
            if let Some(reservation) = &mut reservation {
                reservation.spend();
            }
            self.spend_trial();
        }
        // Kept until the strike is counted, so that no other run of the same
        // request begins in between.
        drop(reservation);
        if error.cause == Cause::Rejected {
            self.running = false;
            return Err(self.with_verdict(rejection(error)));
        }
        if error.cause == Cause::Unreachable {
            self.context.shared.table.connection_refused(&choice.id);
            if is_only && self.skip_unreachable() {
                return Ok(true);
            }
        }
        if error.cause == Cause::Corrupt {
            self.discard_text(error)?;
        }
        let model = &self.request.target.model;
        let call = &mut self.call;
        let failure = retry_failure(error.cause);
        let decision = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.failed(model, call, failure, now_ms));
        if decision == retry::Decision::Wait {
            return Ok(false);
        }
        self.running = false;
        // If the request is refused as a suspect from now on, the caller gets that
        // refusal.
        let fingerprint = self.request.fingerprint;
        filter::suspect::check_confirmed(&self.context, fingerprint)
            .await
            .map_err(|refusal| self.with_verdict(refusal))?;
        match decision {
            // A suspect runs isolated at most once, and so does a trial.
            retry::Decision::Retry { .. } if is_isolated || self.trial.is_some() => {
                Err(self.with_verdict(error.refusal()))
            }
            retry::Decision::Retry { reason, .. } => {
                metrics::RETRIES
                    .with_label_values(&[<&str>::from(reason)])
                    .inc();
                Ok(true)
            }
            retry::Decision::GiveUp { refusal, .. } => {
                let message = format!("{}: {}", refusal.message, error.message);
                Err(refusal::Refusal { message, ..refusal })
            }
            retry::Decision::Wait => Ok(false),
        }
    }

    /// Returns whether to try another backend server instead of one that refused
    /// the connection, without counting an attempt. Otherwise a rack that is down
    /// would use up all attempts.
    fn skip_unreachable(&mut self) -> bool {
        let other = self.pick(router::Sharing::Any);
        let has_other = other.is_ok_and(|slot| !self.was_tried(&slot));
        if !has_other || self.skips >= MAX_SKIPS {
            return false;
        }
        self.skips += 1;
        self.running = false;
        let reason: &str = retry::Reason::Unreachable.into();
        metrics::RETRIES.with_label_values(&[reason]).inc();
        true
    }

    /// Discards text that differs from what the engine generated, so that the
    /// request can start over. A stream has already sent it to the caller and
    /// fails.
    fn discard_text(&mut self, error: &upstream::Error) -> Result<(), refusal::Refusal> {
        if self.request.body.stream {
            self.running = false;
            return Err(self.with_verdict(error.refusal()));
        }
        self.text.clear();
        self.tokens = 0;
        Ok(())
    }

    /// Counts a strike against the request if its backend server has ended. Otherwise the
    /// controller keeps the run, as that may become known only later.
    async fn note_flight(&self, flight: &mut Flight, cause: Cause, choice: &router::Choice) {
        let upstream = &self.context.upstream;
        let (broken, refused) = match cause {
            // The run did not begin, or the backend server goes on.
            Cause::Unreachable | Cause::Refused | Cause::Rejected | Cause::Failed => {
                return flight.settle();
            }
            Cause::Broken => (true, upstream.refuses_connections(&choice.address).await),
            // One that does not respond may only be cut off.
            Cause::FirstTokenTimeout | Cause::TokenTimeout => {
                (false, upstream.has_ended(&choice.address).await)
            }
            Cause::Mismatched | Cause::Malformed | Cause::Corrupt => return,
        };
        let table = &self.context.shared.table;
        let evidence = suspect::Evidence {
            broken,
            silent: !broken,
            refused,
            restarted: table.has_restarted(&choice.id, choice.incarnation),
            leaving: table.is_leaving(&choice.id),
        };
        if evidence.is_crash() {
            let isolated = flight.run().is_some_and(|run| run.isolated);
            flight.settle();
            self.count_crash(choice, isolated, refused);
        } else if broken {
            // After a fast restart, the crash is detected only when the new incarnation
            // announces itself.
            flight.note_broken();
        }
    }

    /// Counts a strike against the request and its parts.
    fn count_crash(&self, choice: &router::Choice, isolated: bool, refused: bool) {
        if refused {
            self.context.shared.table.connection_refused(&choice.id);
        }
        self.note_part_crash(choice);
        let run = suspect::Run {
            fingerprint: self.request.fingerprint,
            isolated,
        };
        let label = if isolated { "yes" } else { "no" };
        metrics::STRIKES.with_label_values(&[label]).inc();
        let commands = self.context.shared.with_suspects(|suspects, now_ms| {
            suspects.crashed(&choice.id, choice.incarnation, &[run], now_ms)
        });
        for command in commands {
            self.context
                .events
                .send(controller::Event::Suspect(command));
        }
    }
}

/// Returns the outcome that the health rules count for a cause.
fn health_outcome(cause: Cause) -> health::Outcome {
    match cause {
        // Neither a refusal nor an invalid request says anything about the health.
        Cause::Refused | Cause::Rejected => health::Outcome::Cancelled,
        _ => health::Outcome::Failed,
    }
}

/// Returns the kind of failure that the retry policy counts for a cause.
pub(crate) fn retry_failure(cause: Cause) -> retry::Failure {
    match cause {
        Cause::Unreachable => retry::Failure::Unreachable,
        Cause::Refused => retry::Failure::Refused,
        Cause::Rejected | Cause::Failed => retry::Failure::Status,
        Cause::Broken => retry::Failure::Broken,
        Cause::FirstTokenTimeout | Cause::TokenTimeout => retry::Failure::Stalled,
        Cause::Mismatched | Cause::Malformed | Cause::Corrupt => retry::Failure::Mismatched,
    }
}

/// Returns the refusal for a request that the engine rejected, with the engine's
/// message if it can be read.
fn rejection(error: &upstream::Error) -> refusal::Refusal {
    let refusal = error.refusal();
    let Some(rejection) = &error.rejection else {
        return refusal;
    };
    let body = serde_json::from_slice::<bw_wire::openai::ErrorBody>(&rejection.body);
    match body {
        Ok(body) => refusal::Refusal {
            message: body.error.message,
            param: body.error.param,
            ..refusal
        },
        Err(_) => refusal,
    }
}
