//! The leader's local estimate of the weight store's rate limit.

use bw_wire::intent;

/// A token bucket in megabytes. The replicated budget is authoritative; this copy
/// avoids orders that it would refuse.
#[derive(Debug, Default)]
pub(super) struct Budget {
    mb_per_s: u64,
    burst_mb: u64,
    /// Available thousandths of a megabyte; negative after a fetch larger than the
    /// burst.
    available_thousandths: i64,
    refilled_ms: Option<u64>,
    blocked_until_ms: u64,
}

impl Budget {
    pub(super) fn configure(&mut self, limits: &intent::WeightStore, now_ms: u64) {
        self.refill(now_ms);
        self.mb_per_s = limits.mb_per_s;
        self.burst_mb = limits.burst_mb;
        let full = thousandths(self.burst_mb);
        if self.refilled_ms.is_none() {
            self.available_thousandths = full;
            self.refilled_ms = Some(now_ms);
        }
        self.available_thousandths = self.available_thousandths.min(full);
    }

    pub(super) fn burst_mb(&self) -> u64 {
        self.burst_mb
    }

    pub(super) fn available_mb(&mut self, now_ms: u64) -> u64 {
        self.refill(now_ms);
        if now_ms < self.blocked_until_ms {
            return 0;
        }
        u64::try_from(self.available_thousandths / 1_000).unwrap_or(0)
    }

    pub(super) fn take(&mut self, fetch_mb: u64, now_ms: u64) {
        self.refill(now_ms);
        self.available_thousandths = self
            .available_thousandths
            .saturating_sub(thousandths(fetch_mb));
    }

    /// Gives back the megabytes taken for an order that was not sent.
    pub(super) fn refund(&mut self, fetch_mb: u64) {
        let full = thousandths(self.burst_mb);
        let available = self
            .available_thousandths
            .saturating_add(thousandths(fetch_mb));
        self.available_thousandths = available.min(full);
    }

    pub(super) fn block(&mut self, retry_ms: u64, now_ms: u64) {
        self.blocked_until_ms = now_ms + retry_ms;
    }

    fn refill(&mut self, now_ms: u64) {
        let Some(refilled_ms) = self.refilled_ms else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(refilled_ms);
        self.refilled_ms = Some(refilled_ms.max(now_ms));
        // One megabyte per second is a thousandth of a megabyte per millisecond.
        let accrued = i64::try_from(elapsed_ms.saturating_mul(self.mb_per_s)).unwrap_or(i64::MAX);
        let full = thousandths(self.burst_mb);
        self.available_thousandths = self.available_thousandths.saturating_add(accrued).min(full);
    }
}

fn thousandths(mb: u64) -> i64 {
    i64::try_from(mb.saturating_mul(1_000)).unwrap_or(i64::MAX)
}
