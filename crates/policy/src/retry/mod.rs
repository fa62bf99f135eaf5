//! Retries and hedges within a budget.
//!
//! A [`Retry`] holds one budget per service, to which every finished request adds
//! a fraction of a retry. While a service fails, retries are therefore limited to
//! a fixed share of the requests that it still answers, which prevents a retry
//! storm. A [`Call`] tracks one request over all its attempts and combines their
//! verdicts.

mod budget;
mod call;
mod latency;

use std::collections;

use bw_wire::{name, refusal};

use budget::Budget;
use latency::Latency;

pub use call::{Call, Failure, Reason, Stop};

/// Settings of a [`Retry`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) ratio: f32,
    pub(crate) min_retries_per_s: f32,
    pub(crate) max_tokens: f32,
    pub(crate) max_attempts: u32,
    pub(crate) max_resumes: u32,
    pub(crate) hedge_quantile: f64,
    pub(crate) hedge_min_ms: u64,
    pub(crate) hedge_min_samples: u64,
    pub(crate) window_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            ratio: 0.1,
            min_retries_per_s: 2.0,
            max_tokens: 50.0,
            max_attempts: 3,
            max_resumes: 8,
            hedge_quantile: 0.95,
            hedge_min_ms: 20,
            hedge_min_samples: 50,
            window_ms: 10_000,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets the fraction of a retry that a finished request adds to the budget.
    pub fn ratio(mut self, ratio: f32) -> Builder {
        self.ratio = ratio.clamp(0.0, 1.0);
        self
    }

    /// Sets the number of retries per second that are allowed even if no request
    /// finishes.
    pub fn min_retries_per_s(mut self, retries: f32) -> Builder {
        self.min_retries_per_s = retries.max(0.0);
        self
    }

    /// Sets the maximum budget, in retries.
    pub fn max_tokens(mut self, retries: f32) -> Builder {
        self.max_tokens = retries.max(1.0);
        self
    }

    /// Sets the maximum number of attempts without progress, hedges included.
    pub fn max_attempts(mut self, attempts: u32) -> Builder {
        self.max_attempts = attempts.max(1);
        self
    }

    /// Sets how often the response stream of a request is resumed after it made
    /// progress.
    pub fn max_resumes(mut self, resumes: u32) -> Builder {
        self.max_resumes = resumes;
        self
    }

    /// Sets the quantile of recent first-token times after which a request is
    /// hedged, and the minimum delay.
    pub fn hedge(mut self, quantile: f64, min_ms: u64) -> Builder {
        self.hedge_quantile = quantile.clamp(0.5, 1.0);
        self.hedge_min_ms = min_ms;
        self
    }

    /// Builds a retry policy without services.
    pub fn build(self) -> Retry {
        Retry {
            settings: self,
            services: collections::BTreeMap::new(),
        }
    }
}

/// What to do after an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request again immediately, if possible to another replica.
    Retry {
        /// Why it is retried, for counters.
        reason: Reason,
        /// The time left until the caller's deadline, to pass to the replica.
        remaining_ms: Option<u64>,
    },
    /// Wait for another attempt, which is still running.
    Wait,
    /// Give up and send the refusal immediately.
    GiveUp {
        /// Why it is not retried, for counters.
        stop: Stop,
        /// The refusal with the combined verdict.
        refusal: refusal::Refusal,
    },
}

#[derive(Debug)]
struct Service {
    budget: Budget,
    first_token: Latency,
}

/// Retry budgets and first-token times by service.
#[derive(Debug)]
pub struct Retry {
    settings: Builder,
    services: collections::BTreeMap<name::Name, Service>,
}

impl Retry {
    /// Records a successful request, which adds to the retry budget.
    pub fn succeeded(&mut self, service: &name::Name, now_ms: u64) {
        let ratio = self.settings.ratio;
        self.service(service, now_ms).budget.deposit(ratio, now_ms);
    }

    /// Records the measured time from sending a request to its first token or
    /// response byte.
    pub fn observe_first_token(&mut self, service: &name::Name, first_token_ms: u64, now_ms: u64) {
        self.service(service, now_ms)
            .first_token
            .add(first_token_ms, now_ms);
    }

    /// Decides what to do after a failed attempt and records both in `call`.
    pub fn failed(
        &mut self,
        service: &name::Name,
        call: &mut Call,
        failure: Failure,
        now_ms: u64,
    ) -> Decision {
        call.end_attempt(failure);
        if call.running > 0 {
            return Decision::Wait;
        }
        if let Some(stop) = self.stop_reason(call, now_ms) {
            return give_up(call, failure, stop);
        }
        if !call.next_is_free() && !self.service(service, now_ms).budget.withdraw(now_ms) {
            return give_up(call, failure, Stop::Budget);
        }
        call.begin_attempt();
        Decision::Retry {
            reason: failure.reason(),
            remaining_ms: call.remaining_ms(now_ms),
        }
    }

    /// Returns the time without a first token after which a request may be hedged.
    /// `None` while there are too few samples of first-token times.
    pub fn hedge_after_ms(&mut self, service: &name::Name, now_ms: u64) -> Option<u64> {
        let settings = self.settings.clone();
        let first_token = &mut self.service(service, now_ms).first_token;
        let quantile_ms =
            first_token.quantile(settings.hedge_quantile, settings.hedge_min_samples)?;
        Some(quantile_ms.max(settings.hedge_min_ms))
    }

    /// Decides whether a second attempt is started for a request that waits for its
    /// first token, and records it in `call` if so. Returns the time left until the
    /// deadline, if there is one.
    ///
    /// # Errors
    ///
    /// Fails with the reason, for counters, if there is no second attempt. The first
    /// one continues.
    pub fn hedge(
        &mut self,
        service: &name::Name,
        call: &mut Call,
        now_ms: u64,
    ) -> Result<Option<u64>, Stop> {
        if !call.repeatable {
            return Err(Stop::NotRepeatable);
        }
        if call.progressed || call.running != 1 || call.hedged {
            return Err(Stop::Attempts);
        }
        if let Some(stop) = self.stop_reason(call, now_ms) {
            return Err(stop);
        }
        if !self.service(service, now_ms).budget.withdraw(now_ms) {
            return Err(Stop::Budget);
        }
        call.hedged = true;
        call.begin_attempt();
        Ok(call.remaining_ms(now_ms))
    }

    /// Returns the remaining retry budget of a service, in retries.
    pub fn tokens(&mut self, service: &name::Name, now_ms: u64) -> f32 {
        self.service(service, now_ms).budget.tokens(now_ms)
    }

    /// Returns why a call may not be retried or hedged; `None` if it may.
    fn stop_reason(&self, call: &Call, now_ms: u64) -> Option<Stop> {
        if call.suspect {
            return Some(Stop::Suspect);
        }
        if !call.may_repeat() {
            return Some(Stop::NotRepeatable);
        }
        if call.remaining_ms(now_ms) == Some(0) {
            return Some(Stop::Deadline);
        }
        let is_exhausted =
            call.attempts >= self.settings.max_attempts || call.resumes > self.settings.max_resumes;
        is_exhausted.then_some(Stop::Attempts)
    }

    fn service(&mut self, service: &name::Name, now_ms: u64) -> &mut Service {
        let settings = &self.settings;
        self.services
            .entry(service.clone())
            .or_insert_with(|| Service {
                budget: Budget::new(settings.max_tokens, settings.min_retries_per_s, now_ms),
                first_token: Latency::new(settings.window_ms, now_ms),
            })
    }
}

fn give_up(call: &Call, failure: Failure, stop: Stop) -> Decision {
    Decision::GiveUp {
        stop,
        refusal: stop.refusal(failure, call.verdict()),
    }
}
