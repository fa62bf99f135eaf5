//! Runs one request to an engine, over all its attempts.

mod account;
mod attempt;
mod failure;
mod flight;
mod part;
mod pick;

use std::{future, pin, sync, time};

use bw_policy::retry;
use bw_wire::{fingerprint, name, refusal, verdict};
use tokio::time as async_time;

use crate::{
    context, filter, metrics,
    reservation::Reservation,
    routing, settings,
    upstream::{self, End, Event},
};

pub(crate) use failure::retry_failure;
pub(crate) use pick::backoff;

/// The backend server of an attempt, with a reservation if the run is isolated.
struct Claim {
    slot: routing::Slot,
    reservation: Option<Reservation>,
    /// The run, once it is sent.
    flight: Option<flight::Flight>,
}

/// An attempt that has sent its first event.
struct Attempt {
    claim: Claim,
    stream: upstream::Stream,
    is_hedge: bool,
}

/// The first event of an attempt, or why it failed before.
type Started = Result<(Attempt, Event), (Claim, upstream::Error)>;
/// A future that waits for the first event of an attempt.
type Starting = pin::Pin<Box<dyn future::Future<Output = Started> + Send>>;

/// A request to an engine, which gets one answer however many attempts it takes.
///
/// The text is kept until the end, because a resume sends the text so far to
/// another backend server.
pub struct Run {
    context: sync::Arc<context::Context>,
    request: filter::Admitted,
    /// The fingerprints of the prompt's blocks.
    prefix: Vec<fingerprint::Fingerprint>,
    /// The state that the retry policy keeps for this request.
    call: retry::Call,
    deadline: async_time::Instant,
    attempts: u32,
    /// Backend servers that refused the connection and were not counted as
    /// failed attempts.
    skips: u32,
    /// Whether an attempt is running.
    running: bool,
    /// The backend servers of all attempts so far.
    avoid: Vec<name::Name>,
    /// The text that the caller gets so far, and its length in tokens.
    text: String,
    tokens: u64,
    /// When the last attempt was sent, in milliseconds of the process clock.
    sent_ms: u64,
    /// The permission to run although a part of the prompt is refused.
    trial: Option<part::Trial>,
    /// The attempt that has begun to answer.
    current: Option<Attempt>,
    /// When the last token arrived.
    last_token: Option<time::Instant>,
    finished: bool,
}

impl Run {
    /// Creates a request. Nothing is sent before the first call of [`Run::next`].
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
            sent_ms: 0,
            trial: None,
            current: None,
            last_token: None,
            finished: false,
            context,
            request,
        }
    }

    /// Returns the request as the filters admitted it.
    pub fn request(&self) -> &filter::Admitted {
        &self.request
    }

    /// Returns the text of the answer so far, from all attempts.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the next event of the answer, whichever attempt sends it.
    ///
    /// # Errors
    ///
    /// Returns the refusal with which the request ends.
    pub async fn next(&mut self) -> Result<Event, refusal::Refusal> {
        let deadline = self.deadline;
        match async_time::timeout_at(deadline, self.next_event()).await {
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
                Err(refusal::Refusal::not_run(reason, message).join(self.verdict()))
            }
        }
    }

    /// Returns whether any attempt may have run, including those that are running.
    fn verdict(&self) -> verdict::Verdict {
        match self.running {
            true => verdict::Verdict::MayHaveRun,
            false => self.call.verdict(),
        }
    }

    /// Joins the verdict of a refusal with the verdict of all attempts.
    fn with_verdict(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        refusal.join(self.call.verdict())
    }

    async fn next_event(&mut self) -> Result<Event, refusal::Refusal> {
        loop {
            let Some(attempt) = &mut self.current else {
                return self.first_event().await;
            };
            match attempt.stream.next().await {
                Ok(event) => return Ok(event),
                Err(error) => {
                    let Some(attempt) = self.current.take() else {
                        continue;
                    };
                    // Once an attempt has sent its first event, no other one runs.
                    self.failed(attempt.claim, &error, true).await?;
                }
            }
        }
    }

    /// Returns the token counts of the whole answer. If the engine reports none,
    /// only the received tokens are counted.
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
