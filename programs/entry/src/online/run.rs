//! One engine request over all its attempts.

use std::{future, pin, sync, time};

use bw_policy::{health, retry, router, suspect};
use bw_wire::{fingerprint, name, refusal, verdict};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time as async_time;

use crate::{
    context, controller, filter, metrics,
    reservation::Reservation,
    routing, settings,
    upstream::{self, Cause, End, Event},
};

/// Pause between two looks for a backend server that is free of other work.
const ISOLATION_PAUSE: time::Duration = time::Duration::from_millis(20);
/// How long a suspect waits for a backend server that is free of other work.
const ISOLATION_WAIT: time::Duration = time::Duration::from_secs(10);
/// Pause before the second attempt when every backend server in use has failed
/// this request; it doubles with each attempt.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Backend servers that may refuse the connection of one request before that
/// counts as a failed attempt. Nothing has been sent to them.
const MAX_SKIPS: u32 = 16;
/// How long a later attempt waits for any backend server.
const RETRY_WAIT: time::Duration = time::Duration::from_secs(2);
/// The backend server of an attempt.
struct Held {
    slot: routing::Slot,
    reservation: Option<Reservation>,
}

/// An attempt that has sent its first event.
struct Attempt {
    held: Held,
    stream: upstream::Stream,
    hedge: bool,
}

type Started = Result<(Attempt, Event), (Held, upstream::Error)>;
type Starting = pin::Pin<Box<dyn future::Future<Output = Started> + Send>>;

/// A request to an engine, which is answered once however many attempts it takes.
///
/// The text is kept until the end, because a resume sends what is already
/// there to another backend server.
pub struct Run {
    context: sync::Arc<context::Context>,
    request: filter::Admitted,
    prefix: Vec<fingerprint::Fingerprint>,
    call: retry::Call,
    deadline: async_time::Instant,
    attempts: u32,
    skips: u32,
    running: bool,
    avoid: Vec<name::Name>,
    text: String,
    tokens: u64,
    current: Option<Attempt>,
    last_token: Option<time::Instant>,
    finished: bool,
}

impl Run {
    /// Starts a request; nothing is sent before the first event is asked for.
    pub fn new(
        context: sync::Arc<context::Context>,
        request: filter::Admitted,
        repeatable: bool,
    ) -> Run {
        let now_ms = context.shared.clock.now_ms();
        let left = settings::ms(request.deadline_ms.saturating_sub(now_ms));
        Run {
            prefix: request.body.prefix(),
            call: retry::Call::new(repeatable, Some(request.deadline_ms)),
            deadline: async_time::Instant::now() + left,
            attempts: 0,
            skips: 0,
            running: false,
            avoid: Vec::new(),
            text: String::new(),
            tokens: 0,
            current: None,
            last_token: None,
            finished: false,
            context,
            request,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &filter::Admitted {
        &self.request
    }

    /// Returns the text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the next event of the one answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal with which the request ends.
    pub async fn next(&mut self) -> Result<Event, refusal::Refusal> {
        let deadline = self.deadline;
        match async_time::timeout_at(deadline, self.step()).await {
            Ok(Ok(event)) => {
                self.account(&event);
                Ok(event)
            }
            Ok(Err(refusal)) => {
                self.finished = true;
                Err(refusal)
            }
            Err(_) => {
                self.finished = true;
                let message = "the deadline passed before the answer was complete";
                let reason = refusal::Reason::DeadlineUnreachable;
                Err(refusal::Refusal::not_run(reason, message).verdict(self.verdict()))
            }
        }
    }

    /// Returns whether any attempt may have run, the running ones included.
    fn verdict(&self) -> verdict::Verdict {
        match self.running {
            true => verdict::Verdict::MayHaveRun,
            false => self.call.verdict(),
        }
    }

    /// Returns a refusal with the verdict over all attempts.
    fn with_verdict(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        let verdict = refusal.verdict.and(self.call.verdict());
        refusal.verdict(verdict)
    }

    async fn step(&mut self) -> Result<Event, refusal::Refusal> {
        loop {
            let Some(attempt) = &mut self.current else {
                return self.open().await;
            };
            match attempt.stream.next().await {
                Ok(event) => return Ok(event),
                Err(error) => {
                    let Some(attempt) = self.current.take() else {
                        continue;
                    };
                    // No other attempt runs beside one that has begun to answer.
                    self.failed(attempt.held, &error, true).await?;
                }
            }
        }
    }

    /// Starts an attempt, and a hedge beside it if it is slow, and returns the
    /// first event of the faster one.
    async fn open(&mut self) -> Result<Event, refusal::Refusal> {
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
        if fit != router::Fit::Any {
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
        let shared = &self.context.shared;
        let fit = filter::suspect::check(shared, self.request.fingerprint)
            .map_err(|refusal| self.with_verdict(refusal))?;
        let slot = match fit {
            router::Fit::Isolated => self.pick_isolated().await,
            _ => self.pick_next(fit).await,
        };
        let slot = slot.map_err(|why| why.refusal().verdict(self.call.verdict()))?;
        let held = self.hold(slot)?;
        Ok(self.start(held, false))
    }

    fn pick(&self, fit: router::Fit) -> Result<routing::Slot, router::Unavailable> {
        let target = &self.request.target;
        let request = router::Request {
            target: router::Target::Model {
                model: &target.model,
                adapter: target.adapter.as_deref(),
            },
            prefix: &self.prefix,
            avoid: &self.avoid,
            fit,
        };
        self.context.shared.table.pick(&request)
    }

    /// Picks a backend server that has not failed this request. If there is
    /// none, it takes one that has after a pause, or waits for one to appear.
    async fn pick_next(&self, fit: router::Fit) -> Result<routing::Slot, router::Unavailable> {
        let give_up = async_time::Instant::now() + RETRY_WAIT;
        let mut paused = false;
        loop {
            let picked = self.pick_spread(fit);
            let is_new = picked.as_ref().is_ok_and(|slot| !self.has_failed(slot));
            if is_new || self.attempts == 0 {
                return picked;
            }
            let is_over = async_time::Instant::now() >= give_up;
            if is_over || (paused && picked.is_ok()) {
                return picked;
            }
            drop(picked);
            async_time::sleep(backoff(self.attempts)).await;
            paused = true;
        }
    }

    /// Picks a backend server without another suspect if possible. Suspects
    /// with one strike are kept apart, but none of them waits or fails for it.
    fn pick_spread(&self, fit: router::Fit) -> Result<routing::Slot, router::Unavailable> {
        let picked = self.pick(fit);
        let is_apart = picked.as_ref().is_ok_and(|slot| !self.has_failed(slot));
        if is_apart || fit != router::Fit::Dispersed {
            return picked;
        }
        let together = self.pick(router::Fit::Any);
        if together.as_ref().is_ok_and(|slot| !self.has_failed(slot)) {
            return together;
        }
        picked.or(together)
    }

    fn has_failed(&self, slot: &routing::Slot) -> bool {
        self.avoid.contains(&slot.choice().id)
    }

    async fn pick_isolated(&self) -> Result<routing::Slot, router::Unavailable> {
        let give_up = async_time::Instant::now() + ISOLATION_WAIT;
        loop {
            let picked = self.pick(router::Fit::Isolated);
            let busy = matches!(
                picked,
                Err(router::Unavailable::NoneFree | router::Unavailable::Reserved)
            );
            if !busy || async_time::Instant::now() >= give_up {
                return picked;
            }
            async_time::sleep(ISOLATION_PAUSE).await;
        }
    }

    /// Reserves the backend server of an isolated run.
    fn hold(&self, slot: routing::Slot) -> Result<Held, refusal::Refusal> {
        if slot.fit() != router::Fit::Isolated {
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

    /// Decides what follows a failed attempt. Returns whether another attempt
    /// has to be started; if not, one is still running.
    async fn failed(
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
        slot.ended(health_outcome(error.cause));
        let is_isolated = slot.fit() == router::Fit::Isolated;
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
            self.context.shared.table.refused(&choice.id);
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
        filter::suspect::check(&self.context.shared, fingerprint)
            .map_err(|refusal| self.with_verdict(refusal))?;
        match decision {
            // A suspect runs isolated at most once.
            retry::Decision::Again { .. } if is_isolated => Err(self.with_verdict(error.refusal())),
            retry::Decision::Again { reason, .. } => {
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
        let other = self.pick(router::Fit::Any);
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
        let flight = suspect::Flight {
            fingerprint: self.request.fingerprint,
            isolated,
        };
        if !evidence.is_crash() {
            // A fast restart shows only when the new incarnation announces itself.
            let broken = controller::Break {
                backend: choice.id.clone(),
                incarnation: choice.incarnation,
                flight,
            };
            self.context.events.send(controller::Event::Broken(broken));
            return;
        }
        if evidence.refused {
            table.refused(&choice.id);
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

    fn account(&mut self, event: &Event) {
        let path = self.request.api.path();
        match event {
            Event::Delta(delta) => {
                let now = time::Instant::now();
                let (histogram, since) = match self.last_token {
                    None => (&metrics::FIRST_TOKEN, self.request.received),
                    Some(last) => (&metrics::BETWEEN_TOKENS, last),
                };
                let elapsed = now.duration_since(since).as_secs_f64();
                histogram.with_label_values(&[path]).observe(elapsed);
                self.last_token = Some(now);
                if let Some(attempt) = &mut self.current {
                    attempt.held.slot.progress();
                }
                self.call.progress();
                self.text.push_str(&delta.text);
                self.tokens += u64::from(delta.tokens);
            }
            Event::End(_) => self.succeeded(path),
        }
    }

    fn succeeded(&mut self, path: &str) {
        self.finished = true;
        if let Some(mut attempt) = self.current.take() {
            attempt.held.slot.ended(health::Outcome::Done);
        }
        let model = &self.request.target.model;
        self.context
            .shared
            .with_retry(|retry, now_ms| retry.succeeded(model, now_ms));
        let fingerprint = self.request.fingerprint;
        let cleared = self
            .context
            .shared
            .with_suspects(|suspects, now_ms| suspects.finished(fingerprint, now_ms));
        if let Some(command) = cleared {
            self.context
                .events
                .send(controller::Event::Suspect(command));
        }
        metrics::ANSWERS.with_label_values(&[path]).inc();
        log::debug!(
            request_id = self.request.id.as_str(),
            team = self.request.team.as_str(),
            attempts = self.attempts,
            tokens = self.tokens;
            "request answered"
        );
    }

    /// Returns the token counts of the whole answer.
    pub fn usage(&self, end: &End) -> upstream::Usage {
        end.usage.unwrap_or(upstream::Usage {
            prompt_tokens: 0,
            completion_tokens: self.tokens,
            total_tokens: self.tokens,
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let path = self.request.api.path();
        metrics::ABANDONED.with_label_values(&[path]).inc();
        log::info!(
            request_id = self.request.id.as_str(),
            team = self.request.team.as_str(),
            verdict = <&str>::from(self.verdict());
            "the caller left before the answer was complete"
        );
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
        shared.with_retry(|retry, now_ms| retry.observe_first(&self.model, first_ms, now_ms));
        let now_ms = shared.clock.now_ms();
        shared
            .admission
            .observe_first(&self.model, first_ms, now_ms);
    }
}

/// Returns the pause before a further attempt on a backend server that has
/// failed the request.
pub(crate) fn backoff(attempts: u32) -> time::Duration {
    RETRY_PAUSE * 2_u32.saturating_pow(attempts.saturating_sub(1).min(5))
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

async fn sleep_until(at: Option<async_time::Instant>) {
    match at {
        Some(at) => async_time::sleep_until(at).await,
        None => future::pending().await,
    }
}
