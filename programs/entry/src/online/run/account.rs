//! Records the progress and the end of answers.

use std::time;

use bw_policy::health;

use super::Run;
use crate::{controller, metrics, upstream::Event};

impl Run {
    /// Records an event in the metrics and in the state of the request.
    pub(super) fn account(&mut self, event: &Event) {
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
                    attempt.claim.slot.record_progress();
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
            attempt.claim.slot.set_outcome(health::Outcome::Done);
            if let Some(flight) = &mut attempt.claim.flight {
                flight.settle();
            }
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
        self.note_parts_answered();
        metrics::ANSWERS.with_label_values(&[path]).inc();
        log::debug!(
            request_id = self.request.id.as_str(),
            team = self.request.team.as_str(),
            attempts = self.attempts,
            tokens = self.tokens;
            "request answered"
        );
    }
}
