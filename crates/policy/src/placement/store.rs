//! The weight store's rate limit, as far as this leader knows it.

use bw_wire::intent;

/// A token bucket in megabytes. The replicated budget is the one that binds;
/// this copy avoids orders that it would refuse.
#[derive(Debug, Default)]
pub(super) struct Store {
    mb_per_s: u64,
    burst_mb: u64,
    /// Thousandths of a megabyte, below zero after a fetch above the burst.
    available: i64,
    at_ms: Option<u64>,
    wait_until_ms: u64,
}

impl Store {
    pub(super) fn configure(&mut self, limits: &intent::WeightStore, now_ms: u64) {
        self.refill(now_ms);
        self.mb_per_s = limits.mb_per_s;
        self.burst_mb = limits.burst_mb;
        let full = thousandths(self.burst_mb);
        if self.at_ms.is_none() {
            self.available = full;
            self.at_ms = Some(now_ms);
        }
        self.available = self.available.min(full);
    }

    pub(super) fn burst_mb(&self) -> u64 {
        self.burst_mb
    }

    pub(super) fn available_mb(&mut self, now_ms: u64) -> u64 {
        self.refill(now_ms);
        if now_ms < self.wait_until_ms {
            return 0;
        }
        u64::try_from(self.available / 1_000).unwrap_or(0)
    }

    pub(super) fn take(&mut self, fetch_mb: u64, now_ms: u64) {
        self.refill(now_ms);
        self.available = self.available.saturating_sub(thousandths(fetch_mb));
    }

    /// Returns what was taken for an order that was not sent.
    pub(super) fn put_back(&mut self, fetch_mb: u64) {
        let full = thousandths(self.burst_mb);
        let available = self.available.saturating_add(thousandths(fetch_mb));
        self.available = available.min(full);
    }

    pub(super) fn wait(&mut self, retry_ms: u64, now_ms: u64) {
        self.wait_until_ms = now_ms + retry_ms;
    }

    fn refill(&mut self, now_ms: u64) {
        let Some(at_ms) = self.at_ms else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(at_ms);
        self.at_ms = Some(at_ms.max(now_ms));
        // One megabyte a second is a thousandth of a megabyte a millisecond.
        let earned = i64::try_from(elapsed_ms.saturating_mul(self.mb_per_s)).unwrap_or(i64::MAX);
        let full = thousandths(self.burst_mb);
        self.available = self.available.saturating_add(earned).min(full);
    }
}

fn thousandths(mb: u64) -> i64 {
    i64::try_from(mb.saturating_mul(1_000)).unwrap_or(i64::MAX)
}
