//! The parts of prompts whose requests were answered in whole.

use std::collections::HashMap;

use super::Fingerprint;

/// Time for which an answer shows that a part was sound, in milliseconds. A new version of
/// a model may make it deadly, so the answers of long ago count for nothing.
const RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Most parts that are kept. A tenth of them, those with the oldest answers, are dropped
/// when there are more.
const PARTS_MAX: usize = 10_000;

/// When a request with each part was last answered in whole, in monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers(HashMap<Fingerprint, u64>);

impl Answers {
    /// Returns whether a request with a part was answered lately.
    pub(super) fn contains(&self, part: Fingerprint, now_ms: u64) -> bool {
        let at_ms = self.0.get(&part);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + RETENTION_MS)
    }

    /// Records a whole answer to a request with a part.
    pub(super) fn insert(&mut self, part: Fingerprint, now_ms: u64) {
        self.0.insert(part, now_ms);
        if self.0.len() <= PARTS_MAX {
            return;
        }
        let mut times: Vec<u64> = self.0.values().copied().collect();
        let (_, oldest_ms, _) = times.select_nth_unstable(PARTS_MAX / 10);
        let oldest_ms = *oldest_ms;
        self.0.retain(|_, at_ms| *at_ms > oldest_ms);
    }
}
