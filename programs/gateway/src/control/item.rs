//! Batch items whose prompts may have a part that crashes backend servers.
//!
//! The parts are judged together with those of callers' requests. The content of an item
//! is not: the dispatch runs an item that crashes backend servers as a trial.

use std::rc::Rc;

use bw_relay::{dispatch, message, suspect, suspect::trial};
use bw_wire::name::Name;

use crate::{
    clock,
    control::{
        hub::{Hub, suspects},
        runner::Ended,
    },
};

/// Time after which an item asks for a trial again if the group did not decide, in
/// milliseconds.
const NO_VERDICT_RETRY_MS: u64 = 200;

/// Returns what an item with these headers can be suspected for.
pub(super) fn judge(hub: &Hub, headers: &[(Name, Name)]) -> suspect::Request {
    let ids = part_ids(hub, headers);
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    suspect::Request::of_parts(&ids)
}

/// Returns the ids of all parts of the prompt of an item with these headers.
fn part_ids(hub: &Hub, headers: &[(Name, Name)]) -> Vec<String> {
    let name = hub.dialect().headers().prompt_prefix.as_str();
    let headers = headers.iter();
    let prefix = headers.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    let prefix: Vec<&str> = prefix.map(|(_, value)| &**value).collect();
    let prefix = prefix.join(",");
    let ids = hub.dialect().decode_parts(&prefix);
    ids.into_iter().map(str::to_owned).collect()
}

/// A run of an item, by what it can be suspected for.
pub(super) struct Subject {
    id: Name,
    request: suspect::Request,
    /// The ids of all parts of the prompt, separated by commas.
    parts: String,
    /// Whether the item is itself suspected of crashing backend servers.
    is_suspected: bool,
    backend: Name,
    incarnation: suspect::Incarnation,
    sent_ms: u64,
}

impl Subject {
    /// Creates the subject of a run that is about to start.
    pub(super) fn new(hub: &Hub, start: &dispatch::Start) -> Subject {
        let ids = part_ids(hub, &start.headers);
        Subject {
            id: start.id.clone(),
            request: judge(hub, &start.headers),
            parts: ids.join(","),
            is_suspected: start.trial,
            backend: start.server.clone(),
            incarnation: suspect::Incarnation::new(
                &start.server,
                hub.backend_started_ms(&start.server),
            ),
            sent_ms: clock::monotonic_ms(),
        }
    }

    /// Returns whether there are strikes against a part of the prompt.
    pub(super) fn is_suspect(&self, hub: &Hub) -> bool {
        hub.suspects.borrow().is_suspect(&self.request)
    }

    /// Returns the run after it has written for some time.
    fn run(&self, written_ms: u64) -> suspect::Run {
        suspect::Run {
            sent_ms: self.sent_ms,
            written_ms,
        }
    }

    /// Clears the parts of the crashes that the run has outlived.
    pub(super) fn note_lived(&self, hub: &Hub, written_ms: u64) {
        let run = self.run(written_ms);
        let now_ms = clock::monotonic_ms();
        let changed = hub
            .suspects
            .borrow_mut()
            .request_lived(&self.request, run, now_ms);
        for evidence in &changed {
            log::info!(
                request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend,
                fingerprint = evidence.fingerprint.0, strikes = evidence.strikes(), written_ms = written_ms;
                "item with a suspected part outlived the crashes, suspicion cleared"
            );
        }
        hub.publish_evidence(changed);
    }

    /// Returns whether a part of the prompt is refused.
    pub(super) fn is_refused(&self, hub: &Hub) -> bool {
        let refusal = hub.suspects.borrow_mut().refusal(&self.request);
        refusal.is_some()
    }

    /// Adds a strike, as the backend server broke the connection after the run had written
    /// for some time.
    pub(super) fn note_crash(&self, hub: &Hub, written_ms: u64) {
        let now_ms = clock::monotonic_ms();
        let changed = hub.suspects.borrow_mut().request_crashed(
            &self.request,
            self.incarnation,
            self.run(written_ms),
            now_ms,
        );
        let strikes = changed.iter().map(suspect::Evidence::strikes).max();
        log::warn!(
            request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend,
            part_strikes = strikes.unwrap_or(0), written_ms = written_ms;
            "item broke off, its parts are suspected of crashing backend servers"
        );
        hub.publish_evidence(changed);
    }

    /// Clears the parts of an item that was completed.
    pub(super) fn note_answered(&self, hub: &Hub) {
        let now_ms = clock::monotonic_ms();
        let changed =
            hub.suspects
                .borrow_mut()
                .request_answered(&self.request, true, self.sent_ms, now_ms);
        for evidence in &changed {
            log::info!(
                request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend,
                fingerprint = evidence.fingerprint.0, strikes = evidence.strikes();
                "item with a suspected part completed, suspicion cleared"
            );
        }
        hub.publish_evidence(changed);
    }
}

/// Whether an item may run.
pub(super) enum Admission {
    /// It may run, as a trial if there is a permit.
    Admitted(Option<Permit>),
    /// It must not run now.
    Refused(dispatch::Refusal),
}

/// The permission to run an item as a trial of a part.
pub(super) struct Permit {
    fingerprint: suspect::Fingerprint,
    ticket: u64,
}

impl Permit {
    /// Reports what became of the trial, unless the evidence says so.
    pub(super) fn end(self, hub: &Hub, ended: &Ended) {
        let end = match ended {
            Ended::Completed | Ended::Disconnected => return,
            Ended::NotRun | Ended::Refused(_) => trial::End::NotRun,
            Ended::Stopped | Ended::Crowded => trial::End::Preempted,
            Ended::Broken | Ended::Failed | Ended::Impossible => trial::End::Inconclusive,
        };
        hub.trial_ended(self.fingerprint, self.ticket, end);
    }

    /// Returns the refusal that the trial is about.
    pub(super) fn refusal(&self, subject: &Subject) -> dispatch::Refusal {
        dispatch::Refusal {
            request: subject.request.clone(),
            part: self.fingerprint,
            retry_after_ms: 0,
        }
    }

    /// Reports that the run goes on although the part is still refused, so that another
    /// trial may begin beside it.
    pub(super) fn lived(&self, hub: &Hub) {
        hub.trial_ended(self.fingerprint, self.ticket, trial::End::Streaming);
    }
}

/// Decides whether an item may run. Asks the group for a trial if a part of its prompt is
/// refused.
pub(super) async fn admit(hub: &Rc<Hub>, subject: &Subject) -> Admission {
    let now_ms = clock::monotonic_ms();
    let (refusal, wait_ms) = {
        let mut suspects = hub.suspects.borrow_mut();
        let Some(refusal) = suspects.refusal(&subject.request) else {
            return Admission::Admitted(None);
        };
        (refusal, suspects.others_wait_ms(refusal, now_ms))
    };
    let fingerprint = refusal.fingerprint;
    let retry_after_ms = match hub.trial_wait_ms(fingerprint).or(wait_ms) {
        Some(wait_ms) => wait_ms,
        None => {
            let ticket = rand::random();
            let backend = Some(subject.incarnation);
            let about = suspects::Subject::Part {
                backend,
                is_suspected: subject.is_suspected,
            };
            let wait_ms = match hub.begin_trial(fingerprint, ticket, about).await {
                message::Reply::Trial(trial::Verdict::Granted) => {
                    let permit = Permit {
                        fingerprint,
                        ticket,
                    };
                    return Admission::Admitted(Some(permit));
                }
                message::Reply::Trial(trial::Verdict::Wait { retry_after_ms }) => retry_after_ms,
                message::Reply::Trial(trial::Verdict::Exhausted) => trial::EXHAUSTED_ASK_MS,
                _ => NO_VERDICT_RETRY_MS,
            };
            hub.set_trial_wait(fingerprint, wait_ms);
            wait_ms
        }
    };
    log::info!(
        request = &*subject.id, parts = subject.parts.as_str(), fingerprint = fingerprint.0,
        retry_after_ms = retry_after_ms;
        "item with a suspected part is not admitted"
    );
    Admission::Refused(dispatch::Refusal {
        request: subject.request.clone(),
        part: fingerprint,
        retry_after_ms,
    })
}
