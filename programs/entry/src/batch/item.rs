//! One attempt of one item.

use std::{
    sync::{self, atomic},
    time,
};

use bw_policy::{health, suspect};
use bw_wire::name;
use tokio_util::sync::CancellationToken;

use super::{crash, queue::Item};
use crate::{
    context, settings,
    upstream::{self, Cause, Event},
};

/// How often a stream reports that it moves on.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The backend server of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) backend: name::Name,
    pub(super) incarnation: u64,
    pub(super) address: name::Name,
}

/// How an attempt shares its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Run {
    /// Like any other item.
    Normal,
    /// A trial where the pacer has room, without another suspect.
    Dispersed,
    /// A trial on the backend server that is reserved for it.
    Reserved,
}

impl Run {
    /// Returns whether a crash under the attempt counts as one of a trial.
    pub(super) fn is_trial(self) -> bool {
        match self {
            Run::Normal => false,
            Run::Dispersed | Run::Reserved => true,
        }
    }
}

/// An attempt that is to be run.
pub(super) struct Attempt {
    pub(super) context: sync::Arc<context::Context>,
    pub(super) stream: u64,
    pub(super) place: Place,
    pub(super) item: Item,
    pub(super) run: Run,
    /// Cancels the attempt.
    pub(super) cancel: CancellationToken,
    /// The tokens so far, for the choice of the streams to cancel.
    pub(super) tokens: sync::Arc<atomic::AtomicU32>,
}

/// How an attempt ended.
pub(super) enum End {
    /// The answer is complete.
    Done(upstream::End),
    /// It was cancelled; the item keeps its text.
    Cancelled,
    /// It failed.
    Failed(upstream::Error),
}

/// An attempt that ended.
pub(super) struct Ended {
    pub(super) stream: u64,
    pub(super) place: Place,
    pub(super) item: Item,
    pub(super) run: Run,
    /// Whether this attempt added tokens.
    pub(super) progressed: bool,
    pub(super) end: End,
}

impl Attempt {
    /// Runs the attempt. Its end closes the connection unless the answer is
    /// complete, by which the engine learns that it is cancelled.
    pub(super) async fn run(mut self) -> Ended {
        let before = self.item.work.tokens;
        let mut flight = self.begin();
        let cancel = self.cancel.clone();
        let end = tokio::select! {
            biased;
            () = cancel.cancelled() => End::Cancelled,
            end = self.generate(&mut flight) => end,
        };
        self.finish(flight, &end).await;
        Ended {
            progressed: self.item.work.tokens > before,
            stream: self.stream,
            place: self.place,
            item: self.item,
            run: self.run,
            end,
        }
    }

    fn begin(&self) -> health::Attempt {
        let table = &self.context.shared.table;
        table.with(|state, now_ms| state.health.begin(&self.place.backend, now_ms))
    }

    async fn generate(&mut self, flight: &mut health::Attempt) -> End {
        match self.stream(flight).await {
            Ok(end) => End::Done(end),
            Err(error) => End::Failed(error),
        }
    }

    async fn stream(
        &mut self,
        flight: &mut health::Attempt,
    ) -> Result<upstream::End, upstream::Error> {
        let mut stream = self.context.upstream.generate(self.call()).await?;
        let mut reported: Option<time::Instant> = None;
        loop {
            let delta = match stream.next().await? {
                Event::Delta(delta) => delta,
                Event::End(end) => return Ok(end),
            };
            let work = &mut self.item.work;
            work.text.push_str(&delta.text);
            work.tokens += u64::from(delta.tokens);
            self.tokens
                .fetch_add(delta.tokens, atomic::Ordering::Relaxed);
            if reported.is_none_or(|at| at.elapsed() >= PROGRESS_INTERVAL) {
                reported = Some(time::Instant::now());
                let table = &self.context.shared.table;
                table.with(|state, now_ms| state.health.progress(flight, now_ms));
            }
        }
    }

    fn call(&self) -> upstream::Call {
        let work = &self.item.work;
        let timeouts = &self.context.shared.settings.timeouts;
        // The body was checked when the chunk was leased.
        let value = serde_json::from_str(&work.body).unwrap_or_default();
        upstream::Call {
            address: self.place.address.clone(),
            api: work.api,
            body: upstream::resume_body(&value, &work.text),
            request_id: request_id(&self.item, self.stream),
            class: upstream::Class::Batch,
            resume_tokens: work.tokens,
            timeouts: upstream::Timeouts {
                first_token: settings::ms(timeouts.first_token_ms),
                between_tokens: settings::ms(timeouts.between_tokens_ms),
            },
        }
    }

    async fn finish(&self, flight: health::Attempt, end: &End) {
        let outcome = match end {
            End::Done(_) => health::Outcome::Done,
            End::Cancelled => health::Outcome::Cancelled,
            End::Failed(error) => match error.cause {
                // A refusal and a fault of the item say nothing about the health.
                Cause::Refused | Cause::Rejected => health::Outcome::Cancelled,
                _ => health::Outcome::Failed,
            },
        };
        let table = &self.context.shared.table;
        table.with(|state, now_ms| state.health.end(flight, outcome, now_ms));
        let fingerprint = self.item.work.fingerprint;
        match end {
            End::Done(_) => crash::finished(&self.context, fingerprint),
            End::Failed(error) if error.cause == Cause::Broken => {
                let flight = suspect::Run {
                    fingerprint,
                    isolated: self.run.is_trial(),
                };
                let place = &self.place;
                crash::broken(
                    &self.context,
                    &place.backend,
                    place.incarnation,
                    &place.address,
                    flight,
                )
                .await;
            }
            End::Failed(_) | End::Cancelled => {}
        }
    }
}

/// Returns the request id of an attempt, which no other attempt has.
pub(super) fn request_id(item: &Item, stream: u64) -> name::Name {
    let work = &item.work;
    let fence = work.chunk.fence;
    format!("{}-{}-{fence}-{stream}", work.chunk.job, work.number).into()
}
