//! The leader's view of requests that may crash backend servers.

use bw_relay::{
    ledger, message, registry, suspect,
    suspect::{part, trial},
};
use bw_wire::name::Name;
use tokio::sync::oneshot;

use super::{Hub, refusal};
use crate::{clock, control::replica, metrics};

/// What a trial is about.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Subject {
    /// The content of a request.
    Content,
    /// A part of prompts.
    Part {
        /// The backend server that is to run the trial, if it is chosen.
        backend: Option<suspect::Incarnation>,
        /// Whether the item that is to run it is itself a suspect.
        is_suspected: bool,
    },
}

impl Hub {
    /// Returns what is known about all suspects, for a process that connects.
    pub(super) fn all_suspects(&self) -> Vec<suspect::Report> {
        let all = self.suspects.borrow().all();
        all.into_iter().map(Into::into).collect()
    }

    /// Merges evidence against a suspect. If any of it is new, records all that is known
    /// about this suspect and broadcasts it with the next loads.
    pub(crate) fn apply_evidence(&self, evidence: &suspect::Evidence) {
        let now_ms = clock::monotonic_ms();
        let known = {
            let mut suspects = self.suspects.borrow_mut();
            if !suspects.merge(evidence, now_ms) {
                return;
            }
            suspects.note_answered(evidence, now_ms);
            suspects.evidence(evidence.fingerprint)
        };
        self.publish_evidence(vec![known]);
    }

    /// Records what is known about suspects and broadcasts it with the next loads.
    pub(crate) fn publish_evidence(&self, changed: Vec<suspect::Evidence>) {
        for known in changed {
            log::warn!(fingerprint = known.fingerprint.0, strikes = known.strikes(); "suspect changed");
            self.trial_waits.borrow_mut().remove(&known.fingerprint);
            self.changed_suspects.borrow_mut().insert(known.fingerprint);
            self.record_suspect(known);
        }
    }

    /// Returns how long no trial of a suspect is asked for; `None` if one may be due.
    pub(crate) fn trial_wait_ms(&self, fingerprint: suspect::Fingerprint) -> Option<u64> {
        let now_ms = clock::monotonic_ms();
        let mut waits = self.trial_waits.borrow_mut();
        waits.retain(|_, until_ms| now_ms < *until_ms);
        waits.get(&fingerprint).map(|until_ms| until_ms - now_ms)
    }

    /// Sets how long no trial of a suspect is asked for.
    pub(crate) fn set_trial_wait(&self, fingerprint: suspect::Fingerprint, wait_ms: u64) {
        let until_ms = clock::monotonic_ms() + wait_ms;
        self.trial_waits.borrow_mut().insert(fingerprint, until_ms);
    }

    /// Returns when a backend server announced to have started, in Unix milliseconds; 0 if
    /// it is unknown.
    pub(crate) fn backend_started_ms(&self, id: &str) -> u64 {
        let registry = self.registry.borrow();
        let backend = registry.get(id);
        backend.map_or(0, |backend| backend.announcement.started_ms)
    }

    /// Returns the address of a backend server, if it is known.
    pub(crate) fn backend_address(&self, id: &str) -> Option<Name> {
        let registry = self.registry.borrow();
        registry
            .get(id)
            .map(|backend| backend.announcement.address.clone())
    }

    /// Removes and returns what has to be broadcast. The crash of a failure domain
    /// changes thousands of suspects at once, which single messages would not carry to
    /// hundreds of sessions.
    pub(super) fn take_changed_suspects(&self) -> Vec<suspect::Evidence> {
        let changed = std::mem::take(&mut *self.changed_suspects.borrow_mut());
        let suspects = self.suspects.borrow();
        changed
            .into_iter()
            .map(|fingerprint| suspects.evidence(fingerprint))
            .collect()
    }

    /// Records evidence if it can lead to a refusal, or if it clears a recorded suspect.
    fn record_suspect(&self, evidence: suspect::Evidence) {
        let fingerprint = evidence.fingerprint;
        let mut recorded = self.recorded_suspects.borrow_mut();
        let record = match evidence.strikes() {
            0 => recorded.remove(&fingerprint),
            strikes if strikes >= trial::record_at(&evidence) => {
                recorded.insert(fingerprint);
                true
            }
            _ => recorded.contains(&fingerprint),
        };
        if record {
            let now_ms = self.unix_ms();
            self.propose_unanswered(trial::Command::Record { evidence, now_ms });
        }
    }

    /// Asks the group for a trial of a refused request.
    pub(crate) async fn begin_trial(
        &self,
        fingerprint: suspect::Fingerprint,
        ticket: u64,
        subject: Subject,
    ) -> message::Reply {
        let (calm_in_ms, was_disturbed) = {
            let suspects = self.suspects.borrow();
            let calm_in_ms = suspects.calm_in_ms(fingerprint, clock::monotonic_ms());
            (calm_in_ms, suspects.was_disturbed(fingerprint))
        };
        let calm = calm_in_ms == 0;
        let now_ms = self.unix_ms();
        let command = match subject {
            Subject::Content => trial::Command::Begin {
                fingerprint,
                ticket,
                calm,
                now_ms,
            },
            Subject::Part {
                backend,
                is_suspected,
            } => trial::Command::BeginPart(part::Begin {
                fingerprint,
                ticket,
                backend,
                is_suspected,
                calm_in_ms,
                was_disturbed,
                oldest_start_ms: self.oldest_start_ms(),
                now_ms,
            }),
        };
        let verdict = match self.propose(ledger::Command::Suspect(command)).await {
            Ok(ledger::Applied::Trial(verdict)) => verdict,
            Ok(_) => return message::Reply::Lost,
            Err(error) => return refusal(Some(error)),
        };
        let (outcome, retry_after_ms) = match verdict {
            trial::Verdict::Granted => ("granted", 0),
            trial::Verdict::Wait { retry_after_ms } => ("wait", retry_after_ms),
            trial::Verdict::Exhausted => ("exhausted", 0),
        };
        log::info!(
            fingerprint = fingerprint.0, ticket = ticket, calm = calm, was_disturbed = was_disturbed,
            outcome = outcome, retry_after_ms = retry_after_ms;
            "trial of a suspected request"
        );
        metrics::TRIAL_VERDICTS.with_label_values(&[outcome]).inc();
        message::Reply::Trial(verdict)
    }

    /// Records what became of a trial.
    pub(crate) fn trial_ended(
        &self,
        fingerprint: suspect::Fingerprint,
        ticket: u64,
        end: trial::End,
    ) {
        let outcome: &'static str = end.into();
        log::info!(fingerprint = fingerprint.0, ticket = ticket, outcome = outcome; "trial of a suspected request reported");
        self.trial_waits.borrow_mut().remove(&fingerprint);
        let now_ms = self.unix_ms();
        self.propose_unanswered(trial::Command::End {
            fingerprint,
            ticket,
            end,
            now_ms,
        });
    }

    /// Ends the trials of items that former leaders began at backend servers which still
    /// run: their results are lost, and they crashed nothing.
    pub(crate) fn end_abandoned_trials(&self, running: Vec<suspect::Incarnation>) {
        let now_ms = self.unix_ms();
        self.propose_unanswered(trial::Command::Abandoned { running, now_ms });
    }

    /// Returns when the backend server that runs for longest has started, in Unix
    /// milliseconds; 0 if there is none, or one that did not say.
    fn oldest_start_ms(&self) -> u64 {
        let registry = self.registry.borrow();
        let ready = registry
            .backends()
            .map(|backend| &backend.announcement)
            .filter(|known| known.state == registry::State::Ready);
        ready.map(|known| known.started_ms).min().unwrap_or(0)
    }

    /// Proposes a command whose loss with a leader only delays or costs a trial.
    fn propose_unanswered(&self, command: trial::Command) {
        let (reply, _) = oneshot::channel();
        let command = ledger::Command::Suspect(command);
        self.send_call(replica::Call::Propose { command, reply });
    }
}
