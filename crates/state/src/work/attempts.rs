//! Attempts of requests that are not repeatable, each of which may run only once.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, fingerprint, name};

use super::{Key, invalid};

/// Memory of an attempt besides its texts, in bytes.
const ATTEMPT_BYTES: u64 = 192;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Attempts {
    last_number: u64,
    attempts: collections::BTreeMap<Key, Attempt>,
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

/// A request to begin an attempt.
pub(super) struct Begin {
    pub(super) body: fingerprint::Fingerprint,
    pub(super) holder: name::Name,
    /// The deadline of the attempt.
    pub(super) until_ms: u64,
    /// Whether the holder of the attempt in progress is known to have ended.
    pub(super) holder_gone: bool,
}

impl Attempts {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn begin(
        &mut self,
        now_ms: u64,
        key: Key,
        request: Begin,
        available_bytes: u64,
    ) -> work::Reply {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            if ATTEMPT_BYTES > available_bytes {
                return work::Reply::Full;
            }
            return self.start(key, request);
        };
        if attempt.body != request.body {
            return work::Reply::KeyConflict;
        }
        match &attempt.outcome {
            Some(work::AttemptOutcome::NotRun) => self.start(key, request),
            Some(outcome) => work::Reply::Known {
                outcome: outcome.clone(),
            },
            None if attempt.holder == request.holder && now_ms < attempt.at_ms => {
                work::Reply::Begin {
                    attempt: attempt.number,
                }
            }
            None if attempt.holder != request.holder
                && !request.holder_gone
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
        key: &Key,
        number: u64,
        outcome: work::AttemptOutcome,
    ) -> work::Reply {
        let Some(attempt) = self.attempts.get_mut(key) else {
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
                self.bytes -= size(key, attempt);
                attempt.outcome = Some(outcome);
                attempt.at_ms = now_ms;
                self.bytes += size(key, attempt);
                work::Reply::Ok
            }
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64, retention: &work::Retention) {
        let bytes = &mut self.bytes;
        self.attempts.retain(|key, attempt| {
            let keep = now_ms < attempt.at_ms.saturating_add(retention.attempt_ms);
            if !keep {
                *bytes -= size(key, attempt);
            }
            keep
        });
    }

    fn start(&mut self, key: Key, request: Begin) -> work::Reply {
        self.last_number += 1;
        let attempt = Attempt {
            number: self.last_number,
            body: request.body,
            holder: request.holder,
            at_ms: request.until_ms,
            outcome: None,
        };
        self.bytes += size(&key, &attempt);
        if let Some(before) = self.attempts.insert(key.clone(), attempt) {
            self.bytes -= size(&key, &before);
        }
        work::Reply::Begin {
            attempt: self.last_number,
        }
    }
}

fn size(key: &Key, attempt: &Attempt) -> u64 {
    let body = match &attempt.outcome {
        Some(work::AttemptOutcome::Done { body, .. }) => body.len(),
        _ => 0,
    };
    ATTEMPT_BYTES + key.size() + (attempt.holder.len() + body) as u64
}
