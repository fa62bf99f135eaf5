//! Parts of the prompt that may crash backend servers.

use bw_policy::router;
use bw_suspect::Incarnation;
use bw_wire::{name, refusal};

use super::Run;
use crate::{controller, filter, isolation};

/// Longest time for which the work group keeps a trial from being followed by another one,
/// in milliseconds.
const TRIAL_MS: u64 = 30_000;

/// A run that finds out whether a part still crashes backend servers.
pub(super) struct Trial {
    part: bw_suspect::Fingerprint,
    permit: isolation::Permit,
}

impl Run {
    /// Asks the work group for a trial if a part of the prompt is refused. It also limits
    /// their number.
    pub(super) async fn admit_parts(&mut self) -> Result<(), refusal::Refusal> {
        let shared = &self.context.shared;
        if self.attempts > 0 && !shared.with_parts(|known, _| known.may_resend(&self.request.parts))
        {
            return Err(self.with_verdict(filter::part::refusal()));
        }
        let refused = filter::part::check(shared, &self.request.parts);
        let Some(part) = refused.map_err(|refusal| self.with_verdict(refusal))? else {
            return Ok(());
        };
        if self.trial.as_ref().is_some_and(|trial| trial.part == part) {
            return Ok(());
        }
        let run = name::Name::from(format!("{}-part", self.request.unique_id));
        let recorded = filter::part::recorded(part);
        let permit = isolation::Permit::begin(&self.context, recorded, &run, TRIAL_MS).await;
        match permit {
            Ok(permit) => {
                log::info!(
                    request_id = self.request.id.as_str(), part = part.0;
                    "request with a suspected part runs as a trial"
                );
                self.trial = Some(Trial { part, permit });
                Ok(())
            }
            Err(_) => Err(self.with_verdict(filter::part::refusal())),
        }
    }

    /// Adds a strike against the parts, as the backend server crashed.
    pub(super) fn note_part_crash(&self, choice: &router::Choice) {
        let incarnation = Incarnation::new(&choice.id, choice.incarnation);
        let changed = self.context.shared.with_parts(|known, now_ms| {
            let run = bw_suspect::Run::sent(self.sent_ms);
            known.request_crashed(&self.request.parts, incarnation, run, now_ms)
        });
        self.send_evidence(changed);
    }

    /// Notes that the trial may have crashed its backend server, so that it stays counted.
    pub(super) fn spend_trial(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.permit.spend();
        }
    }

    /// Clears the parts of a request that was answered in whole.
    pub(super) fn note_parts_answered(&mut self) {
        self.trial = None;
        let changed = self.context.shared.with_parts(|known, now_ms| {
            known.request_answered(&self.request.parts, true, self.sent_ms, now_ms)
        });
        self.send_evidence(changed);
    }

    fn send_evidence(&self, changed: Vec<bw_suspect::Evidence>) {
        for evidence in &changed {
            log::warn!(
                request_id = self.request.id.as_str(), part = evidence.fingerprint.0,
                strikes = evidence.strikes();
                "suspected part changed"
            );
        }
        if !changed.is_empty() {
            self.context
                .events
                .send(controller::Event::Evidence(changed));
        }
    }
}
