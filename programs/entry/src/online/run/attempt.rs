//! Attempts until their first event, and hedges beside them.

use std::{future, sync, time};

use bw_policy::router;
use bw_wire::{name, refusal};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time as async_time;

use super::{Attempt, Held, Run, Started, Starting};
use crate::{
    context, filter, metrics,
    reservation::Reservation,
    routing, settings,
    upstream::{self, Event},
};

impl Run {
    /// Starts an attempt, and a hedge beside it if it is slow, and returns the
    /// first event of the faster one.
    pub(super) async fn open(&mut self) -> Result<Event, refusal::Refusal> {
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
                    self.won(&attempt, !starting.is_empty());
                    self.current = Some(attempt);
                    return Ok(event);
                }
                Err((held, error)) => {
                    if self.failed(held, &error, starting.is_empty()).await? {
                        let next = self.launch().await?;
                        starting.push(next);
                    }
                }
            }
        }
    }

    fn won(&mut self, attempt: &Attempt, other_runs: bool) {
        if other_runs {
            self.call.cancelled();
        }
        if attempt.hedge {
            metrics::HEDGES.with_label_values(&["won"]).inc();
        }
    }

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
        let fit = filter::suspect::check(shared, self.request.fingerprint).ok()?;
        // A suspect runs on one backend server at a time.
        if fit != router::Sharing::Any {
            return None;
        }
        let slot = self.pick(fit).ok()?;
        let model = &self.request.target.model;
        if self.has_failed(&slot) {
            return None;
        }
        let call = &mut self.call;
        let allowed = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.hedge(model, call, now_ms));
        if let Err(stop) = allowed {
            metrics::HEDGES
                .with_label_values(&[<&str>::from(stop)])
                .inc();
            return None;
        }
        metrics::HEDGES.with_label_values(&["started"]).inc();
        let held = Held {
            slot,
            reservation: None,
        };
        Some(self.start(held, true))
    }

    /// Starts an attempt on a chosen backend server.
    async fn launch(&mut self) -> Result<Starting, refusal::Refusal> {
        let fit = filter::suspect::confirmed(&self.context, self.request.fingerprint)
            .await
            .map_err(|refusal| self.with_verdict(refusal))?;
        let slot = match fit {
            router::Sharing::Isolated => self.pick_isolated().await,
            _ => self.pick_next(fit).await,
        };
        let slot = slot.map_err(|why| why.refusal().verdict(self.call.verdict()))?;
        let held = self.hold(slot)?;
        Ok(self.start(held, false))
    }

    /// Reserves the backend server of an isolated run.
    fn hold(&self, slot: routing::Slot) -> Result<Held, refusal::Refusal> {
        if slot.sharing() != router::Sharing::Isolated {
            return Ok(Held {
                slot,
                reservation: None,
            });
        }
        let backend = slot.choice().id.clone();
        let reservation = Reservation::new(&self.context, backend, self.request.fingerprint)
            .map_err(|refusal| self.with_verdict(refusal))?;
        Ok(Held {
            slot,
            reservation: Some(reservation),
        })
    }

    fn start(&mut self, held: Held, hedge: bool) -> Starting {
        self.attempts += 1;
        self.running = true;
        let choice = held.slot.choice();
        // Later attempts of this request go elsewhere while there is a choice.
        self.avoid.push(choice.id.clone());
        let timeouts = &self.context.shared.settings.timeouts;
        let call = upstream::Call {
            address: choice.address.clone(),
            api: self.request.api,
            body: upstream::resumed(&self.request.body.value, &self.text),
            request_id: format!("{}-{}", self.request.unique_id, self.attempts).into(),
            class: upstream::Class::Online,
            resume_tokens: self.tokens,
            timeouts: upstream::Timeouts {
                first_token: settings::ms(timeouts.first_token_ms),
                between_tokens: settings::ms(timeouts.between_tokens_ms),
            },
        };
        let started = Attempting {
            context: sync::Arc::clone(&self.context),
            model: self.request.target.model.clone(),
            observe: self.tokens == 0,
            hedge,
            held,
        };
        Box::pin(started.run(call))
    }
}

/// An attempt until its first event.
struct Attempting {
    context: sync::Arc<context::Context>,
    model: name::Name,
    observe: bool,
    hedge: bool,
    held: Held,
}

impl Attempting {
    async fn run(self, call: upstream::Call) -> Started {
        let sent = time::Instant::now();
        let mut stream = match self.context.upstream.generate(call).await {
            Ok(stream) => stream,
            Err(error) => return Err((self.held, error)),
        };
        let event = match stream.next().await {
            Ok(event) => event,
            Err(error) => return Err((self.held, error)),
        };
        if self.observe {
            self.observe_first(sent);
        }
        let attempt = Attempt {
            held: self.held,
            stream,
            hedge: self.hedge,
        };
        Ok((attempt, event))
    }

    fn observe_first(&self, sent: time::Instant) {
        let first_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        let shared = &self.context.shared;
        shared.with_retry(|retry, now_ms| retry.observe_first_token(&self.model, first_ms, now_ms));
        let now_ms = shared.clock.now_ms();
        shared
            .admission
            .observe_first(&self.model, first_ms, now_ms);
    }
}

async fn sleep_until(at: Option<async_time::Instant>) {
    match at {
        Some(at) => async_time::sleep_until(at).await,
        None => future::pending().await,
    }
}
