//! One engine request over all its attempts.

use std::{future, pin, sync, time};

use bw_policy::{retry, router};
use bw_wire::{fingerprint, name, refusal, verdict};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time as async_time;

use crate::{
    context, controller, filter, metrics, routing, settings,
    upstream::{self, Cause, End, Event},
};

/// Pause between two looks for a backend server that is free of other work.
const ISOLATION_PAUSE: time::Duration = time::Duration::from_millis(20);
/// How long a suspect waits for a backend server that is free of other work.
const ISOLATION_WAIT: time::Duration = time::Duration::from_secs(10);
/// How long a backend server stays reserved for an isolated run, unless the run
/// ends sooner. Renewed reservations would outlive an entry VM that dies.
const RESERVE_MS: u64 = 30_000;

/// An attempt that has sent its first event.
struct Attempt {
    slot: routing::Slot,
    stream: upstream::Stream,
    hedge: bool,
    _reservation: Option<Reservation>,
}

type Started = Result<(Attempt, Event), (routing::Slot, bool, upstream::Error)>;
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
    suspicion: filter::suspect::Suspicion,
    deadline: async_time::Instant,
    attempts: u32,
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
            suspicion: request.suspicion,
            deadline: async_time::Instant::now() + left,
            attempts: 0,
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
                    self.failed(&attempt.slot, &error)?;
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
                Err((slot, _, error)) => {
                    if self.failed(&slot, &error)? {
                        drop(slot);
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
        if self.suspicion.is_suspect() || self.tokens > 0 {
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
        let fit = self.suspicion.fit().ok()?;
        let slot = self.pick(fit).ok()?;
        let model = &self.request.target.model;
        if self.avoid.contains(&slot.choice().id) {
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
        Some(self.start(slot, true))
    }

    /// Starts an attempt on a chosen backend server.
    async fn launch(&mut self) -> Result<Starting, refusal::Refusal> {
        let fit = self.suspicion.fit()?;
        let slot = match fit {
            router::Fit::Isolated => self.pick_isolated().await,
            _ => self.pick(fit),
        };
        let slot = slot.map_err(|why| why.refusal().verdict(self.call.verdict()))?;
        Ok(self.start(slot, false))
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

    fn start(&mut self, slot: routing::Slot, hedge: bool) -> Starting {
        self.attempts += 1;
        self.running = true;
        // Later attempts of this request go elsewhere while there is a choice.
        self.avoid.push(slot.choice().id.clone());
        let reservation = (slot.fit() == router::Fit::Isolated)
            .then(|| Reservation::new(&self.context, slot.choice().id.clone()));
        let timeouts = &self.context.shared.settings.timeouts;
        let call = upstream::Call {
            address: slot.choice().address.clone(),
            api: self.request.api,
            body: upstream::resumed(&self.request.body.value, &self.text),
            request_id: format!("{}-{}", self.request.id, self.attempts).into(),
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
            slot,
            reservation,
        };
        Box::pin(started.run(call))
    }

    /// Decides what follows a failed attempt. Returns whether another attempt
    /// has to be started; if not, one is still running.
    fn failed(
        &mut self,
        slot: &routing::Slot,
        error: &upstream::Error,
    ) -> Result<bool, refusal::Refusal> {
        log::info!(
            request_id = self.request.id.as_str(),
            team = self.request.team.as_str(),
            backend = slot.choice().id.as_str(),
            verdict = <&str>::from(error.verdict);
            "attempt failed: {error}"
        );
        if error.crash() {
            self.strike(slot);
        }
        if error.cause == Cause::Rejected {
            self.running = false;
            return Err(rejection(error));
        }
        let model = &self.request.target.model;
        let call = &mut self.call;
        let failure = failure(error.cause);
        let decision = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.failed(model, call, failure, now_ms));
        match decision {
            retry::Decision::Wait => Ok(false),
            retry::Decision::Again { reason, .. } => {
                self.running = false;
                self.suspicion
                    .fit()
                    .map_err(|refusal| refusal.verdict(self.call.verdict()))?;
                metrics::RETRIES
                    .with_label_values(&[<&str>::from(reason)])
                    .inc();
                Ok(true)
            }
            retry::Decision::GiveUp { refusal, .. } => {
                self.running = false;
                self.suspicion
                    .fit()
                    .map_err(|refusal| refusal.verdict(self.call.verdict()))?;
                let message = format!("{}: {}", refusal.message, error.message);
                Err(refusal::Refusal { message, ..refusal })
            }
        }
    }

    /// Counts that a backend server crashed while it ran this request.
    fn strike(&mut self, slot: &routing::Slot) {
        let isolated = slot.fit() == router::Fit::Isolated;
        self.suspicion.strike(isolated);
        let label = if isolated { "yes" } else { "no" };
        metrics::STRIKES.with_label_values(&[label]).inc();
        self.context.events.send(controller::Event::Struck {
            fingerprint: self.request.fingerprint,
            backend: slot.choice().id.clone(),
            incarnation: slot.choice().incarnation,
            isolated,
        });
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
                self.call.progress();
                self.text.push_str(&delta.text);
                self.tokens += u64::from(delta.tokens);
            }
            Event::End(_) => self.succeeded(path),
        }
    }

    fn succeeded(&mut self, path: &str) {
        self.finished = true;
        self.current = None;
        let model = &self.request.target.model;
        self.context
            .shared
            .with_retry(|retry, now_ms| retry.succeeded(model, now_ms));
        if self.suspicion.is_suspect() {
            let cleared = controller::Event::Cleared(self.request.fingerprint);
            self.context.events.send(cleared);
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
    slot: routing::Slot,
    reservation: Option<Reservation>,
}

impl Attempting {
    async fn run(self, call: upstream::Call) -> Started {
        let sent = time::Instant::now();
        let mut stream = match self.context.upstream.generate(call).await {
            Ok(stream) => stream,
            Err(error) => return Err((self.slot, self.hedge, error)),
        };
        let event = match stream.next().await {
            Ok(event) => event,
            Err(error) => return Err((self.slot, self.hedge, error)),
        };
        if self.observe {
            self.observe_first(sent);
        }
        let attempt = Attempt {
            slot: self.slot,
            stream,
            hedge: self.hedge,
            _reservation: self.reservation,
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

/// A backend server that is kept free for an isolated run, until it is dropped.
struct Reservation {
    events: controller::Sender,
    backend: name::Name,
}

impl Reservation {
    fn new(context: &context::Context, backend: name::Name) -> Reservation {
        let events = context.events.clone();
        events.send(controller::Event::Reserved {
            backend: backend.clone(),
            duration_ms: RESERVE_MS,
        });
        Reservation { events, backend }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.events.send(controller::Event::Reserved {
            backend: self.backend.clone(),
            duration_ms: 0,
        });
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
        Cause::Mismatched | Cause::Malformed => retry::Failure::Mismatched,
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
