//! The largest value within a sliding window.

use std::collections;

/// A sliding maximum. Only values that can still become the maximum are kept.
#[derive(Debug, Default)]
pub(super) struct Peak {
    values: collections::VecDeque<(u64, u32)>,
}

impl Peak {
    /// Adds the value that holds from `now_ms` on.
    pub(super) fn add(&mut self, value: u32, now_ms: u64) {
        while self.values.back().is_some_and(|&(_, other)| other <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now_ms, value));
    }

    /// Returns the largest value that held within the last `window_ms`. A value
    /// holds until the next one that is kept, which is never too short.
    pub(super) fn max(&mut self, window_ms: u64, now_ms: u64) -> u32 {
        let start_ms = now_ms.saturating_sub(window_ms);
        while let Some(&(next_ms, _)) = self.values.get(1)
            && next_ms <= start_ms
        {
            self.values.pop_front();
        }
        self.values.front().map_or(0, |&(_, value)| value)
    }
}
