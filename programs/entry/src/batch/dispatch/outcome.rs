//! Handling of ended attempts and recording of outcomes.

use bw_wire::command::work;

use super::{Completion, Dispatcher};
use crate::{
    batch::{
        item, metrics,
        queue::{self, Item},
    },
    online,
    upstream::Cause,
};

/// Base and upper bound of the exponential backoff after failed attempts, in
/// milliseconds.
const RETRY_BACKOFF_MS: (u64, u64) = (100, 5_000);
/// Delay before an item runs again that a backend server did not accept, in
/// milliseconds.
const REFUSED_RETRY_MS: u64 = 200;
/// Number of failed attempts after which an item is given up even if each made
/// progress.
const MAX_FAILURES: u32 = 20;

impl Dispatcher {
    /// Starts calls that record the outcomes that are due.
    pub(super) fn record(&mut self, now_ms: u64) {
        let settings = &self.settings;
        let due = self
            .leases
            .take_due(settings.record_ms, settings.record_items, now_ms);
        for (chunk, group, outcomes) in due {
            let call = self.remote.clone().record(group, chunk, outcomes);
            self.tasks.spawn(async { Completion::Response(call.await) });
        }
    }

    pub(super) fn handle_record_reply(
        &mut self,
        chunk: work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        reply: Option<work::Reply>,
        now_ms: u64,
    ) {
        match reply {
            Some(work::Reply::Recorded { .. }) => {
                self.leases.mark_recorded(&chunk, &outcomes);
            }
            Some(work::Reply::RecordRefused(reason)) => {
                log::info!(job = chunk.job.as_str(), chunk = chunk.chunk; "recording of outcomes refused: {reason:?}");
                self.drop_chunk(&chunk, "refused");
            }
            Some(other) => {
                log::error!(job = chunk.job.as_str(); "unexpected reply to the recording of outcomes: {other:?}");
                self.drop_chunk(&chunk, "refused");
            }
            None => self.leases.restore_outcomes(&chunk, outcomes, now_ms),
        }
    }

    /// Finishes or requeues the item of an ended attempt, unless the lease of its chunk was
    /// lost in the meantime.
    pub(super) fn handle_end(&mut self, ended: item::Ended, now_ms: u64) {
        self.running.remove(&ended.stream);
        let item::Ended {
            stream,
            server,
            mut item,
            placement,
            progressed,
            end,
        } = ended;
        self.pacer.stopped(&server.backend, stream, now_ms);
        if let item::End::Failed(error) = &end
            && error.cause == Cause::Unreachable
        {
            let incarnation = server.incarnation;
            self.pacer
                .mark_unreachable(&server.backend, incarnation, now_ms);
        }
        if placement == item::Placement::Reserved {
            self.isolation = None;
        }
        if placement.is_trial() {
            let fingerprint = item.work.fingerprint;
            self.context
                .shared
                .with_suspects(|suspects, _| suspects.abandoned(fingerprint));
        }
        if !self.leases.holds(&item.work.chunk) {
            return;
        }
        match end {
            item::End::Done(end) => {
                let result = answer(&item, stream, &end);
                self.finish_item(&item, result, "done", now_ms);
            }
            item::End::Cancelled => {
                item.preempted += 1;
                metrics::REQUEUED.with_label_values(&["preempted"]).inc();
                self.queue.push(item);
            }
            item::End::Failed(error) => self.handle_failure(item, &error, progressed, now_ms),
        }
    }

    fn handle_failure(
        &mut self,
        mut item: Item,
        error: &crate::upstream::Error,
        progressed: bool,
        now_ms: u64,
    ) {
        let work = &mut item.work;
        log::info!(
            job = work.chunk.job.as_str(),
            line = work.number,
            verdict = <&str>::from(error.verdict);
            "attempt to run a batch item failed: {error}"
        );
        let cause: &str = error.cause.into();
        match error.cause {
            Cause::Rejected => {
                let result = rejected(error);
                return self.finish_item(&item, result, "rejected", now_ms);
            }
            // The backend server could not be reached, is leaving or is full, so this does
            // not count as an attempt.
            Cause::Unreachable | Cause::Refused => {
                return self.requeue(item, cause, now_ms + REFUSED_RETRY_MS);
            }
            // The text differs from what was generated, so the item starts over.
            Cause::Corrupt => {
                work.text.clear();
                work.tokens = 0;
            }
            Cause::Broken => return self.retry_broken(item, progressed, now_ms),
            _ => {}
        }
        work.attempts = if progressed { 1 } else { work.attempts + 1 };
        work.failures += 1;
        if work.attempts >= self.settings.max_attempts || work.failures >= MAX_FAILURES {
            let mut refusal = error.refusal();
            refusal.message = format!("{} attempts failed: {}", work.failures, refusal.message);
            return self.finish_item(&item, queue::failed(&refusal), "given_up", now_ms);
        }
        let backoff_ms = backoff_ms(work.failures);
        self.requeue(item, cause, now_ms + backoff_ms);
    }

    /// Requeues an item whose connection broke, possibly by a crash. Crashes never
    /// end an item; the rules for suspects add their own backoff.
    fn retry_broken(&mut self, mut item: Item, progressed: bool, now_ms: u64) {
        let work = &mut item.work;
        work.breaks = if progressed { 1 } else { work.breaks + 1 };
        let backoff_ms = backoff_ms(work.breaks);
        self.requeue(item, Cause::Broken.into(), now_ms + backoff_ms);
    }

    /// Adds the outcome of an item to those that wait to be recorded, and counts it under
    /// `label`.
    pub(super) fn finish_item(
        &mut self,
        item: &Item,
        result: work::Result,
        label: &str,
        now_ms: u64,
    ) {
        metrics::ITEMS.with_label_values(&[label]).inc();
        let outcome = work::Outcome {
            number: item.work.number,
            result,
        };
        self.leases.add_outcome(&item.work.chunk, outcome, now_ms);
    }

    /// Delays an item until it may run again, and counts it under `reason`.
    pub(super) fn requeue(&mut self, item: Item, reason: &str, until_ms: u64) {
        metrics::REQUEUED.with_label_values(&[reason]).inc();
        log::debug!(
            job = item.work.chunk.job.as_str(),
            line = item.work.number,
            reason = reason;
            "batch item requeued"
        );
        self.queue.delay(item, until_ms);
    }
}

/// Returns the backoff after a number of failed attempts, in milliseconds.
fn backoff_ms(failures: u32) -> u64 {
    (RETRY_BACKOFF_MS.0 << failures.min(10)).min(RETRY_BACKOFF_MS.1)
}

/// Returns the outcome of a complete answer.
fn answer(item: &Item, stream: u64, end: &crate::upstream::End) -> work::Result {
    let work = &item.work;
    let usage = end.usage.unwrap_or(crate::upstream::Usage {
        prompt_tokens: 0,
        completion_tokens: work.tokens,
        total_tokens: work.tokens,
    });
    let named = work.target.adapter.as_ref().unwrap_or(&work.target.model);
    let id = item::request_id(item, stream);
    let render = online::Renderer::new(work.api, &id, named, false);
    let body = render.whole(&work.text, &end.finish_reason, usage);
    work::Result::Answer {
        status: 200,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Returns the outcome of an item that the backend server rejected.
fn rejected(error: &crate::upstream::Error) -> work::Result {
    match &error.rejection {
        Some(rejection) => work::Result::Answer {
            status: rejection.status,
            body: String::from_utf8_lossy(&rejection.body).into_owned(),
        },
        None => queue::failed(&error.refusal()),
    }
}
