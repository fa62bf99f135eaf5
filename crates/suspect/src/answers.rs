//! The parts of prompts whose runs were answered in whole or wrote on for long.

use std::collections::HashMap;

use super::{Fingerprint, drop_oldest};

/// Time for which an answer shows that a part was sound, in milliseconds. A new version of
/// a model may make it deadly, so the answers of long ago count for nothing.
const RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Most parts that are kept.
const PARTS_MAX: usize = 10_000;

/// The answers to requests with one part. Times are monotonic, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// When one last showed that the part is sound.
    at_ms: u64,
    /// The latest time at which a run was sent that was answered in whole; `None` before
    /// the first.
    sent_ms: Option<u64>,
}

/// The parts of which runs showed that they are sound.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers(HashMap<Fingerprint, Answer>);

impl Answers {
    /// Returns whether a run with a part showed lately that it is sound.
    pub(super) fn contains(&self, part: Fingerprint, now_ms: u64) -> bool {
        let answer = self.0.get(&part);
        answer.is_some_and(|answer| now_ms < answer.at_ms + RETENTION_MS)
    }

    /// Returns the latest time at which a run with a part was sent that was answered;
    /// `None` if none is known.
    pub(super) fn sent_ms(&self, part: Fingerprint) -> Option<u64> {
        self.0.get(&part).and_then(|answer| answer.sent_ms)
    }

    /// Records a whole answer to a run with a part.
    pub(super) fn insert(&mut self, part: Fingerprint, sent_ms: u64, now_ms: u64) {
        let known = self.note(part, now_ms);
        known.sent_ms = known.sent_ms.max(Some(sent_ms));
        drop_oldest(&mut self.0, PARTS_MAX, |answer| answer.at_ms);
    }

    /// Records that a run with a part shows that it is sound, though it is not complete.
    pub(super) fn note_sound(&mut self, part: Fingerprint, now_ms: u64) {
        self.note(part, now_ms);
        drop_oldest(&mut self.0, PARTS_MAX, |answer| answer.at_ms);
    }

    fn note(&mut self, part: Fingerprint, now_ms: u64) -> &mut Answer {
        let known = self.0.entry(part).or_insert(Answer {
            at_ms: now_ms,
            sent_ms: None,
        });
        known.at_ms = now_ms;
        known
    }
}
