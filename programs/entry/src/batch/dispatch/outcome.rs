//! The ends of attempts and the outcomes of items.

use bw_wire::command::work;

use super::{Dispatcher, Done};
use crate::{
    batch::{
        item, metrics,
        queue::{self, Item},
    },
    online,
    upstream::Cause,
};

/// Pause before an item runs again that failed, at first and at most.
const RETRY_MS: (u64, u64) = (100, 5_000);
/// Pause before an item runs again that a backend server did not take.
const REFUSED_MS: u64 = 200;
/// Failed attempts after which an item is given up even if each made progress.
const MAX_FAILURES: u32 = 20;

impl Dispatcher {
    pub(super) fn record(&mut self, now_ms: u64) {
        let settings = &self.settings;
        let due = self
            .book
            .due(settings.record_ms, settings.record_items, now_ms);
        for (chunk, group, outcomes) in due {
            let call = self.remote.clone().record(group, chunk, outcomes);
            self.tasks.spawn(async { Done::Answered(call.await) });
        }
    }

    pub(super) fn recorded(
        &mut self,
        chunk: work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        reply: Option<work::Reply>,
        now_ms: u64,
    ) {
        match reply {
            Some(work::Reply::Recorded { .. }) => {
                self.book.recorded(&chunk, &outcomes);
            }
            Some(work::Reply::RecordRefused(reason)) => {
                log::info!(job = chunk.job.as_str(), chunk = chunk.chunk; "outcomes refused: {reason:?}");
                self.drop_chunk(&chunk, "refused");
            }
            Some(other) => {
                log::error!(job = chunk.job.as_str(); "unexpected reply to outcomes: {other:?}");
                self.drop_chunk(&chunk, "refused");
            }
            None => self.book.not_recorded(&chunk, outcomes, now_ms),
        }
    }

    pub(super) fn ended(&mut self, ended: item::Ended, now_ms: u64) {
        self.running.remove(&ended.stream);
        let item::Ended {
            stream,
            place,
            mut item,
            run,
            progressed,
            end,
        } = ended;
        self.pacer.stopped(&place.backend, stream, now_ms);
        if let item::End::Failed(error) = &end
            && error.cause == Cause::Unreachable
        {
            let incarnation = place.incarnation;
            self.pacer
                .mark_unreachable(&place.backend, incarnation, now_ms);
        }
        if run == item::Run::Reserved {
            self.isolation = None;
        }
        if run.is_trial() {
            let fingerprint = item.work.fingerprint;
            self.context
                .shared
                .with_suspects(|suspects, _| suspects.abandoned(fingerprint));
        }
        if !self.book.holds(&item.work.chunk) {
            return;
        }
        match end {
            item::End::Done(end) => {
                let result = answer(&item, stream, &end);
                self.conclude(&item, result, "done", now_ms);
            }
            item::End::Cancelled => {
                item.preempted += 1;
                metrics::REQUEUED.with_label_values(&["preempted"]).inc();
                self.queue.push(item);
            }
            item::End::Failed(error) => self.failed(item, &error, progressed, now_ms),
        }
    }

    fn failed(
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
            "attempt of an item failed: {error}"
        );
        let cause: &str = error.cause.into();
        match error.cause {
            Cause::Rejected => {
                let result = rejected(error);
                return self.conclude(&item, result, "rejected", now_ms);
            }
            // The backend server is leaving or full: no attempt was made.
            Cause::Unreachable | Cause::Refused => {
                return self.put_back(item, cause, now_ms + REFUSED_MS);
            }
            // The text is not what was generated; the item starts over.
            Cause::Corrupt => {
                work.text.clear();
                work.tokens = 0;
            }
            Cause::Broken => return self.broken(item, progressed, now_ms),
            _ => {}
        }
        work.attempts = if progressed { 1 } else { work.attempts + 1 };
        work.failures += 1;
        if work.attempts >= self.settings.max_attempts || work.failures >= MAX_FAILURES {
            let mut refusal = error.refusal();
            refusal.message = format!("{} attempts failed: {}", work.failures, refusal.message);
            return self.conclude(&item, queue::failed(&refusal), "given_up", now_ms);
        }
        let pause_ms = pause_ms(work.failures);
        self.put_back(item, cause, now_ms + pause_ms);
    }

    /// Puts an item back whose connection broke, perhaps by a crash. Crashes
    /// never end an item; the rules for suspects add their own pauses.
    fn broken(&mut self, mut item: Item, progressed: bool, now_ms: u64) {
        let work = &mut item.work;
        work.breaks = if progressed { 1 } else { work.breaks + 1 };
        let pause_ms = pause_ms(work.breaks);
        self.put_back(item, Cause::Broken.into(), now_ms + pause_ms);
    }

    /// Notes the outcome of an item.
    pub(super) fn conclude(&mut self, item: &Item, result: work::Result, label: &str, now_ms: u64) {
        metrics::ITEMS.with_label_values(&[label]).inc();
        let outcome = work::Outcome {
            number: item.work.number,
            result,
        };
        self.book.outcome(&item.work.chunk, outcome, now_ms);
    }

    pub(super) fn put_back(&mut self, item: Item, reason: &str, until_ms: u64) {
        metrics::REQUEUED.with_label_values(&[reason]).inc();
        log::debug!(
            job = item.work.chunk.job.as_str(),
            line = item.work.number,
            reason = reason;
            "item put back"
        );
        self.queue.delay(item, until_ms);
    }
}

/// Returns the pause after a number of failed attempts, in milliseconds.
fn pause_ms(failures: u32) -> u64 {
    (RETRY_MS.0 << failures.min(10)).min(RETRY_MS.1)
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

/// Returns the outcome of an item that the backend server rejects.
fn rejected(error: &crate::upstream::Error) -> work::Result {
    match &error.rejection {
        Some(rejection) => work::Result::Answer {
            status: rejection.status,
            body: String::from_utf8_lossy(&rejection.body).into_owned(),
        },
        None => queue::failed(&error.refusal()),
    }
}
