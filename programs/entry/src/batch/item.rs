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
    context, controller, settings,
    upstream::{self, Cause, Event},
};

/// Minimum interval between two progress reports of a stream to the health tracking.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The backend server of an attempt, in the incarnation that was chosen.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) backend: name::Name,
    pub(super) incarnation: u64,
    pub(super) address: name::Name,
}

/// How an attempt shares its backend server with other work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Placement {
    /// Like any other item.
    Normal,
    /// A trial where the pacer grants a stream and no other suspect runs.
    Dispersed,
    /// A trial on the backend server that is reserved for it.
    Reserved,
}

impl Placement {
    /// Returns whether a crash during the attempt counts as one during a trial.
    pub(super) fn is_trial(self) -> bool {
        match self {
            Placement::Normal => false,
            Placement::Dispersed | Placement::Reserved => true,
        }
    }
}

/// An attempt to run.
pub(super) struct Attempt {
    pub(super) context: sync::Arc<context::Context>,
    /// Number of the attempt's stream, unique within the process.
    pub(super) stream: u64,
    pub(super) server: Server,
    pub(super) item: Item,
    pub(super) placement: Placement,
    /// Cancels the attempt when triggered.
    pub(super) cancel: CancellationToken,
    /// Tokens generated so far, those of earlier attempts included. The pacer chooses
    /// the streams to cancel by them.
    pub(super) tokens: sync::Arc<atomic::AtomicU32>,
}

/// How an attempt ended.
pub(super) enum End {
    /// The answer is complete.
    Done(upstream::End),
    /// It was cancelled. The item keeps the generated text and resumes from it.
    Cancelled,
    /// It failed.
    Failed(upstream::Error),
}

/// An attempt that ended.
pub(super) struct Ended {
    pub(super) stream: u64,
    pub(super) server: Server,
    pub(super) item: Item,
    pub(super) placement: Placement,
    /// Whether this attempt added tokens.
    pub(super) progressed: bool,
    pub(super) end: End,
}

impl Attempt {
    /// Runs the attempt. Unless the answer is complete, the end closes the connection,
    /// which cancels the request in the engine.
    pub(super) async fn run(mut self) -> Ended {
        let before = self.item.work.tokens;
        let mut health_attempt = self.begin();
        let cancel = self.cancel.clone();
        let end = tokio::select! {
            biased;
            () = cancel.cancelled() => End::Cancelled,
            end = self.generate(&mut health_attempt) => end,
        };
        self.report_end(health_attempt, &end).await;
        Ended {
            progressed: self.item.work.tokens > before,
            stream: self.stream,
            server: self.server,
            item: self.item,
            placement: self.placement,
            end,
        }
    }

    fn begin(&self) -> health::Attempt {
        let table = &self.context.shared.table;
        table.with(|state, now_ms| state.health.begin(&self.server.backend, now_ms))
    }

    async fn generate(&mut self, health_attempt: &mut health::Attempt) -> End {
        match self.stream(health_attempt).await {
            Ok(end) => End::Done(end),
            Err(error) => End::Failed(error),
        }
    }

    async fn stream(
        &mut self,
        health_attempt: &mut health::Attempt,
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
                table.with(|state, now_ms| state.health.progress(health_attempt, now_ms));
            }
        }
    }

    fn call(&self) -> upstream::Call {
        let work = &self.item.work;
        let timeouts = &self.context.shared.settings.timeouts;
        // The body was parsed successfully when the chunk was leased.
        let value = serde_json::from_str(&work.body).unwrap_or_default();
        upstream::Call {
            address: self.server.address.clone(),
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

    /// Reports the end of the attempt to the health tracking and the suspects.
    async fn report_end(&self, health_attempt: health::Attempt, end: &End) {
        let outcome = match end {
            End::Done(_) => health::Outcome::Done,
            End::Cancelled => health::Outcome::Cancelled,
            End::Failed(error) => match error.cause {
                // Neither a refusal nor an error in the item tells anything about the
                // health of the backend server.
                Cause::Refused | Cause::Rejected => health::Outcome::Cancelled,
                _ => health::Outcome::Failed,
            },
        };
        let table = &self.context.shared.table;
        table.with(|state, now_ms| state.health.end(health_attempt, outcome, now_ms));
        let fingerprint = self.item.work.fingerprint;
        let run = suspect::Run {
            fingerprint,
            isolated: self.placement.is_trial(),
        };
        let (context, server) = (&self.context, &self.server);
        match end {
            End::Done(_) => crash::clear_suspect(context, fingerprint),
            End::Cancelled => crash::keep(context, server, run, controller::Loss::Dropped),
            End::Failed(error) => match error.cause {
                Cause::Broken => {
                    crash::handle_loss(context, server, run, controller::Loss::Broken).await;
                }
                Cause::FirstTokenTimeout | Cause::TokenTimeout => {
                    crash::handle_loss(context, server, run, controller::Loss::Dropped).await;
                }
                Cause::Unreachable
                | Cause::Refused
                | Cause::Rejected
                | Cause::Failed
                | Cause::Mismatched
                | Cause::Malformed
                | Cause::Corrupt => {}
            },
        }
    }
}

/// Returns the request id of an attempt. The fencing number and the stream make it
/// unique.
pub(super) fn request_id(item: &Item, stream: u64) -> name::Name {
    let work = &item.work;
    let fence = work.chunk.fence;
    format!("{}-{}-{fence}-{stream}", work.chunk.job, work.number).into()
}
