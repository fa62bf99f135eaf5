//! First-token times of the recent past.

use std::mem;

/// Largest time that is told apart, in milliseconds.
const MAX_MS: u64 = 60_000;
/// Significant digits; 2 keep a histogram at a few kilobytes.
const DIGITS: u8 = 2;

/// Two histograms that take turns: samples go into both, and the older one,
/// which is read, is replaced each window. It so covers one to two windows.
#[derive(Debug)]
pub(super) struct Latency {
    read: Option<hdrhistogram::Histogram<u32>>,
    next: Option<hdrhistogram::Histogram<u32>>,
    window_ms: u64,
    turned_ms: u64,
}

impl Latency {
    pub(super) fn new(window_ms: u64, now_ms: u64) -> Latency {
        Latency {
            read: histogram(),
            next: histogram(),
            window_ms,
            turned_ms: now_ms,
        }
    }

    pub(super) fn add(&mut self, sample_ms: u64, now_ms: u64) {
        if now_ms.saturating_sub(self.turned_ms) >= self.window_ms {
            self.turned_ms = now_ms;
            self.read = mem::replace(&mut self.next, histogram());
        }
        for histogram in [&mut self.read, &mut self.next].into_iter().flatten() {
            histogram.saturating_record(sample_ms.max(1));
        }
    }

    /// Returns a quantile, if there are at least `samples` samples.
    pub(super) fn quantile(&self, quantile: f64, samples: u64) -> Option<u64> {
        let histogram = self.read.as_ref()?;
        (histogram.len() >= samples.max(1)).then(|| histogram.value_at_quantile(quantile))
    }
}

fn histogram() -> Option<hdrhistogram::Histogram<u32>> {
    // The bounds are constants that the library accepts.
    hdrhistogram::Histogram::new_with_bounds(1, MAX_MS, DIGITS).ok()
}
