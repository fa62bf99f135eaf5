//! The maximum of a value over a sliding time window.

use std::collections;

/// A sliding-window maximum. Keeps only values that can still become the maximum.
#[derive(Debug, Default)]
pub(super) struct Peak {
    /// Values in descending order, each with the time until which it was current.
    /// The last one is still current.
    values: collections::VecDeque<(u32, u64)>,
}

impl Peak {
    /// Sets the value that is current from `now_ms` on. Setting the same value
    /// again changes nothing.
    pub(super) fn set(&mut self, value: u32, now_ms: u64) {
        while self.values.back().is_some_and(|&(other, _)| other < value) {
            self.values.pop_back();
        }
        match self.values.back_mut() {
            Some((other, until_ms)) if *other == value => *until_ms = u64::MAX,
            back => {
                if let Some((_, until_ms)) = back {
                    *until_ms = now_ms.min(*until_ms);
                }
                self.values.push_back((value, u64::MAX));
            }
        }
    }

    /// Returns the largest value that was current within the last `window_ms`.
    pub(super) fn max(&mut self, window_ms: u64, now_ms: u64) -> u32 {
        let start_ms = now_ms.saturating_sub(window_ms);
        while self
            .values
            .front()
            .is_some_and(|&(_, until_ms)| until_ms <= start_ms)
        {
            self.values.pop_front();
        }
        self.values.front().map_or(0, |&(value, _)| value)
    }
}
