//! What follows a failed attempt.

use bw_policy::{health, retry, router, suspect};
use bw_wire::refusal;

use super::{Held, Run};
use crate::{
    controller, filter, metrics,
    upstream::{self, Cause},
};

/// Backend servers that may refuse the connection of one request before that
/// counts as a failed attempt. Nothing has been sent to them.
const MAX_SKIPS: u32 = 16;

impl Run {
    /// Decides what follows a failed attempt. Returns whether another attempt
    /// has to be started; if not, one is still running.
    pub(super) async fn failed(
        &mut self,
        held: Held,
        error: &upstream::Error,
        alone: bool,
    ) -> Result<bool, refusal::Refusal> {
        let Held {
            mut slot,
            reservation,
        } = held;
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
        if error.cause == Cause::Broken {
            self.broken(&choice, is_isolated).await;
        }
        // Held until the strike is counted, so that no other run of the same
        // request begins in between.
        drop(reservation);
        if error.cause == Cause::Rejected {
            self.running = false;
            return Err(rejection(error));
        }
        if error.cause == Cause::Unreachable {
            self.context.shared.table.connection_refused(&choice.id);
            if alone && self.skip() {
                return Ok(true);
            }
        }
        if error.cause == Cause::Corrupt {
            self.discard(error)?;
        }
        let model = &self.request.target.model;
        let call = &mut self.call;
        let failure = failure(error.cause);
        let decision = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.failed(model, call, failure, now_ms));
        if decision == retry::Decision::Wait {
            return Ok(false);
        }
        self.running = false;
        // A suspect that is refused from now on hears the actual reason.
        let fingerprint = self.request.fingerprint;
        filter::suspect::confirmed(&self.context, fingerprint)
            .await
            .map_err(|refusal| self.with_verdict(refusal))?;
        match decision {
            // A suspect runs isolated at most once.
            retry::Decision::Retry { .. } if is_isolated => Err(self.with_verdict(error.refusal())),
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

    /// Returns whether another backend server takes the place of one that
    /// refused the connection. A dead rack would use up all attempts otherwise.
    fn skip(&mut self) -> bool {
        let other = self.pick(router::Sharing::Any);
        let has_other = other.is_ok_and(|slot| !self.has_failed(&slot));
        if !has_other || self.skips >= MAX_SKIPS {
            return false;
        }
        self.skips += 1;
        self.running = false;
        let reason: &str = retry::Reason::Unreachable.into();
        metrics::RETRIES.with_label_values(&[reason]).inc();
        true
    }

    /// Throws away a text that is not what was generated, so that the request
    /// can start over. A stream has passed it on to the caller and ends here.
    fn discard(&mut self, error: &upstream::Error) -> Result<(), refusal::Refusal> {
        if self.request.body.stream {
            self.running = false;
            return Err(error.refusal());
        }
        self.text.clear();
        self.tokens = 0;
        Ok(())
    }

    /// Finds out whether a backend server to which the connection broke has
    /// crashed, and counts a strike if so.
    async fn broken(&self, choice: &router::Choice, isolated: bool) {
        let table = &self.context.shared.table;
        let evidence = suspect::Evidence {
            broken: true,
            refused: self.context.upstream.refuses(&choice.address).await,
            restarted: table.has_restarted(&choice.id, choice.incarnation),
            leaving: table.is_leaving(&choice.id),
        };
        let flight = suspect::Run {
            fingerprint: self.request.fingerprint,
            isolated,
        };
        if !evidence.is_crash() {
            // A fast restart shows only when the new incarnation announces itself.
            let disconnect = controller::Disconnect {
                backend: choice.id.clone(),
                incarnation: choice.incarnation,
                run: flight,
            };
            self.context
                .events
                .send(controller::Event::Disconnected(disconnect));
            return;
        }
        if evidence.refused {
            table.connection_refused(&choice.id);
        }
        let label = if isolated { "yes" } else { "no" };
        metrics::STRIKES.with_label_values(&[label]).inc();
        let commands = self.context.shared.with_suspects(|suspects, now_ms| {
            suspects.crashed(&choice.id, choice.incarnation, &[flight], now_ms)
        });
        for command in commands {
            self.context
                .events
                .send(controller::Event::Suspect(command));
        }
    }
}

/// Returns how the health rules see a failure.
fn health_outcome(cause: Cause) -> health::Outcome {
    match cause {
        // A refusal and a fault of the request say nothing about the health.
        Cause::Refused | Cause::Rejected => health::Outcome::Cancelled,
        _ => health::Outcome::Failed,
    }
}

/// Returns how the retry policy sees a failure.
pub(crate) fn failure(cause: Cause) -> retry::Failure {
    match cause {
        Cause::Unreachable => retry::Failure::Unreachable,
        Cause::Refused => retry::Failure::Refused,
        Cause::Rejected | Cause::Failed => retry::Failure::Status,
        Cause::Broken => retry::Failure::Broken,
        Cause::FirstTokenTimeout | Cause::TokenTimeout => retry::Failure::Stalled,
        Cause::Mismatched | Cause::Malformed | Cause::Corrupt => retry::Failure::Mismatched,
    }
}

/// Returns the refusal of a request that the engine rejected, with its words.
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
