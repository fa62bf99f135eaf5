//! Starts attempts and hedges, and waits for their first event.

use std::{future, sync, time};

use bw_policy::{router, suspect};
use bw_wire::{name, refusal};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time as async_time;

use super::{Attempt, Claim, Run, Started, Starting, flight::Flight};
use crate::{
    context, controller, filter, metrics,
    reservation::Reservation,
    routing, settings,
    upstream::{self, Event},
};

impl Run {
    /// Starts an attempt, and a hedge if it is slow, and returns the first event
    /// of the faster one. The slower one is dropped, which cancels it.
    pub(super) async fn first_event(&mut self) -> Result<Event, refusal::Refusal> {
        let first = self.launch().await?;
        let mut starting = FuturesUnordered::from_iter([first]);
        let mut hedge_at = self.hedge_at();
        loop {
            let started = tokio::select! {
                Some(started) = starting.next() => started,
                () = sleep_until(hedge_at), if hedge_at.is_some() => {
                    hedge_at = None;
                    starting.extend(self.hedge());
                    continue;
                }
            };
            match started {
                Ok((attempt, event)) => {
                    self.record_winner(&attempt, !starting.is_empty());
                    self.current = Some(attempt);
                    return Ok(event);
                }
                Err((claim, error)) => {
                    if self.failed(claim, &error, starting.is_empty()).await? {
                        let next = self.launch().await?;
                        starting.push(next);
                    }
                }
            }
        }
    }

    /// Records that an attempt was the first to send an event.
    fn record_winner(&mut self, attempt: &Attempt, cancels_other: bool) {
        if cancels_other {
            self.call.cancelled();
        }
        if attempt.is_hedge {
            metrics::HEDGES.with_label_values(&["won"]).inc();
        }
    }

    /// Returns when to start a hedge. A resumed request gets none.
    fn hedge_at(&self) -> Option<async_time::Instant> {
        if self.tokens > 0 {
            return None;
        }
        let model = &self.request.target.model;
        let after_ms = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.hedge_after_ms(model, now_ms))?;
        Some(async_time::Instant::now() + settings::ms(after_ms))
    }

    /// Starts a second attempt if the budget allows it and another backend
    /// server is free.
    fn hedge(&mut self) -> Option<Starting> {
        let shared = &self.context.shared;
        let sharing = filter::suspect::check(shared, self.request.fingerprint).ok()?;
        // A suspect runs on one backend server at a time.
        if sharing != router::Sharing::Any {
            return None;
        }
        let slot = self.pick(sharing).ok()?;
        let model = &self.request.target.model;
        if self.was_tried(&slot) {
            return None;
        }
        let call = &mut self.call;
        let allowed = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.hedge(model, call, now_ms));
        if let Err(reason) = allowed {
            metrics::HEDGES
                .with_label_values(&[<&str>::from(reason)])
                .inc();
            return None;
        }
        metrics::HEDGES.with_label_values(&["started"]).inc();
        let claim = Claim {
            slot,
            reservation: None,
            flight: None,
        };
        Some(self.start(claim, true))
    }

    /// Picks a backend server and starts an attempt on it.
    async fn launch(&mut self) -> Result<Starting, refusal::Refusal> {
        let sharing = filter::suspect::check_confirmed(&self.context, self.request.fingerprint)
            .await
            .map_err(|refusal| self.with_verdict(refusal))?;
        self.admit_parts().await?;
        let slot = match sharing {
            router::Sharing::Isolated => self.pick_isolated().await,
            _ => self.pick_next(sharing).await,
        };
        let slot = slot.map_err(|error| self.with_verdict(error.refusal()))?;
        let claim = self.claim(slot).await?;
        Ok(self.start(claim, false))
    }

    /// Claims the backend server of a slot, with a reservation for an isolated
    /// run.
    async fn claim(&self, slot: routing::Slot) -> Result<Claim, refusal::Refusal> {
        if slot.sharing() != router::Sharing::Isolated {
            return Ok(Claim {
                slot,
                reservation: None,
                flight: None,
            });
        }
        let backend = slot.choice().id.clone();
        let run = name::Name::from(format!("{}-{}", self.request.unique_id, self.attempts + 1));
        let reservation =
            Reservation::new(&self.context, backend, self.request.fingerprint, &run).await;
        let reservation = reservation.map_err(|refusal| self.with_verdict(refusal))?;
        Ok(Claim {
            slot,
            reservation: Some(reservation),
            flight: None,
        })
    }

    fn start(&mut self, mut claim: Claim, is_hedge: bool) -> Starting {
        self.attempts += 1;
        self.running = true;
        self.sent_ms = self.context.shared.clock.now_ms();
        let choice = claim.slot.choice();
        let disconnect = controller::Disconnect {
            backend: choice.id.clone(),
            incarnation: choice.incarnation,
            run: suspect::Run {
                fingerprint: self.request.fingerprint,
                isolated: claim.slot.sharing() == router::Sharing::Isolated,
            },
            parts: sync::Arc::clone(&self.request.parts),
            sent_ms: self.sent_ms,
            loss: controller::Loss::Dropped,
        };
        // Later attempts of this request prefer other backend servers.
        self.avoid.push(choice.id.clone());
        let timeouts = &self.context.shared.settings.timeouts;
        let call = upstream::Call {
            address: choice.address.clone(),
            api: self.request.api,
            body: upstream::resume_body(&self.request.body.value, &self.text),
            request_id: format!("{}-{}", self.request.unique_id, self.attempts).into(),
            class: upstream::Class::Online,
            resume_tokens: self.tokens,
            timeouts: upstream::Timeouts {
                first_token: settings::ms(timeouts.first_token_ms),
                between_tokens: settings::ms(timeouts.between_tokens_ms),
            },
        };
        claim.flight = Some(Flight::new(&self.context, disconnect));
        let pending = Pending {
            context: sync::Arc::clone(&self.context),
            model: self.request.target.model.clone(),
            measures_first_token: self.tokens == 0,
            is_hedge,
            claim,
        };
        Box::pin(pending.run(call))
    }
}

/// An attempt that has not sent its first event.
struct Pending {
    context: sync::Arc<context::Context>,
    model: name::Name,
    /// Whether to measure the time to the first token, as for any attempt but a
    /// resume.
    measures_first_token: bool,
    is_hedge: bool,
    claim: Claim,
}

impl Pending {
    async fn run(self, call: upstream::Call) -> Started {
        let sent_at = time::Instant::now();
        let mut stream = match self.context.upstream.generate(call).await {
            Ok(stream) => stream,
            Err(error) => return Err((self.claim, error)),
        };
        let event = match stream.next().await {
            Ok(event) => event,
            Err(error) => return Err((self.claim, error)),
        };
        if self.measures_first_token {
            self.observe_first_token(sent_at);
        }
        let attempt = Attempt {
            claim: self.claim,
            stream,
            is_hedge: self.is_hedge,
        };
        Ok((attempt, event))
    }

    fn observe_first_token(&self, sent_at: time::Instant) {
        let first_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let shared = &self.context.shared;
        shared.with_retry(|retry, now_ms| retry.observe_first_token(&self.model, first_ms, now_ms));
        let now_ms = shared.clock.now_ms();
        shared
            .admission
            .observe_first_token(&self.model, first_ms, now_ms);
    }
}

async fn sleep_until(at: Option<async_time::Instant>) {
    match at {
        Some(at) => async_time::sleep_until(at).await,
        None => future::pending().await,
    }
}
