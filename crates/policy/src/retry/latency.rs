//! Quantiles of recent first-token times.

use std::mem;

/// Largest recorded time in milliseconds; longer ones are recorded as this.
const MAX_MS: u64 = 60_000;
/// Significant digits of recorded times; 2 keep a histogram at a few kilobytes.
const DIGITS: u8 = 2;

/// Two rotating histograms. Samples are recorded in both, and quantiles are read
/// from the older one. After each window the older one is dropped, so that
/// quantiles cover one to two windows.
#[derive(Debug)]
pub(super) struct Latency {
    current: Option<hdrhistogram::Histogram<u32>>,
    next: Option<hdrhistogram::Histogram<u32>>,
    window_ms: u64,
    rotated_ms: u64,
}

impl Latency {
    pub(super) fn new(window_ms: u64, now_ms: u64) -> Latency {
        Latency {
            current: histogram(),
            next: histogram(),
            window_ms,
            rotated_ms: now_ms,
        }
    }

    pub(super) fn add(&mut self, sample_ms: u64, now_ms: u64) {
        if now_ms.saturating_sub(self.rotated_ms) >= self.window_ms {
            self.rotated_ms = now_ms;
            self.current = mem::replace(&mut self.next, histogram());
        }
        for histogram in [&mut self.current, &mut self.next].into_iter().flatten() {
            histogram.saturating_record(sample_ms.max(1));
        }
    }

    /// Returns a quantile in milliseconds, or `None` with fewer than `min_samples`
    /// samples.
    pub(super) fn quantile(&self, quantile: f64, min_samples: u64) -> Option<u64> {
        let histogram = self.current.as_ref()?;
        (histogram.len() >= min_samples.max(1)).then(|| histogram.value_at_quantile(quantile))
    }
}

fn histogram() -> Option<hdrhistogram::Histogram<u32>> {
    // These constant bounds are valid, so this never returns `None`.
    hdrhistogram::Histogram::new_with_bounds(1, MAX_MS, DIGITS).ok()
}
