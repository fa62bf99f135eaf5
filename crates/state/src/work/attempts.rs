//! Attempts of requests that are not repeatable.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, fingerprint, name};

use super::{Owned, invalid};

/// Memory of an attempt next to its texts, in bytes.
const ATTEMPT_BYTES: u64 = 192;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Attempts {
    last: u64,
    attempts: collections::BTreeMap<Owned, Attempt>,
    bytes: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Attempt {
    number: u64,
    body: fingerprint::Fingerprint,
    holder: name::Name,
    /// The deadline while the attempt runs, then the time of its outcome.
    at_ms: u64,
    outcome: Option<work::AttemptOutcome>,
}

/// A call that wants to run.
pub(super) struct Call {
    pub(super) body: fingerprint::Fingerprint,
    pub(super) holder: name::Name,
    pub(super) until_ms: u64,
    pub(super) holder_gone: bool,
}

impl Attempts {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn begin(
        &mut self,
        now_ms: u64,
        owned: Owned,
        call: Call,
        room: u64,
    ) -> work::Reply {
        let Some(attempt) = self.attempts.get_mut(&owned) else {
            if ATTEMPT_BYTES > room {
                return work::Reply::Full;
            }
            return self.start(owned, call);
        };
        if attempt.body != call.body {
            return work::Reply::KeyConflict;
        }
        match &attempt.outcome {
            Some(work::AttemptOutcome::NotRun) => self.start(owned, call),
            Some(outcome) => work::Reply::Known {
                outcome: outcome.clone(),
            },
            None if attempt.holder == call.holder && now_ms < attempt.at_ms => work::Reply::Begin {
                attempt: attempt.number,
            },
            None if attempt.holder != call.holder
                && !call.holder_gone
                && now_ms < attempt.at_ms =>
            {
                work::Reply::InProgress {
                    holder: attempt.holder.clone(),
                }
            }
            None => {
                attempt.outcome = Some(work::AttemptOutcome::Unknown);
                attempt.at_ms = now_ms;
                work::Reply::Known {
                    outcome: work::AttemptOutcome::Unknown,
                }
            }
        }
    }

    pub(super) fn end(
        &mut self,
        now_ms: u64,
        owned: &Owned,
        number: u64,
        outcome: work::AttemptOutcome,
    ) -> work::Reply {
        let Some(attempt) = self.attempts.get_mut(owned) else {
            return work::Reply::NotFound;
        };
        if attempt.number != number {
            return invalid("another attempt is current");
        }
        match &attempt.outcome {
            Some(known) if *known == outcome => work::Reply::Ok,
            Some(known) => work::Reply::Known {
                outcome: known.clone(),
            },
            None => {
                self.bytes -= size(owned, attempt);
                attempt.outcome = Some(outcome);
                attempt.at_ms = now_ms;
                self.bytes += size(owned, attempt);
                work::Reply::Ok
            }
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64, retention: &work::Retention) {
        let bytes = &mut self.bytes;
        self.attempts.retain(|owned, attempt| {
            let keep = now_ms < attempt.at_ms.saturating_add(retention.attempt_ms);
            if !keep {
                *bytes -= size(owned, attempt);
            }
            keep
        });
    }

    fn start(&mut self, owned: Owned, call: Call) -> work::Reply {
        self.last += 1;
        let attempt = Attempt {
            number: self.last,
            body: call.body,
            holder: call.holder,
            at_ms: call.until_ms,
            outcome: None,
        };
        self.bytes += size(&owned, &attempt);
        if let Some(before) = self.attempts.insert(owned.clone(), attempt) {
            self.bytes -= size(&owned, &before);
        }
        work::Reply::Begin { attempt: self.last }
    }
}

fn size(owned: &Owned, attempt: &Attempt) -> u64 {
    let body = match &attempt.outcome {
        Some(work::AttemptOutcome::Done { body, .. }) => body.len(),
        _ => 0,
    };
    ATTEMPT_BYTES + owned.size() + (attempt.holder.len() + body) as u64
}
