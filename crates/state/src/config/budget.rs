//! The weight-store budget as a token bucket.

use serde::{Deserialize, Serialize};

use bw_wire::intent;

/// Units per megabyte. A rate in MB/s then equals the rate in units per
/// millisecond, so that refilling needs no division.
const UNITS_PER_MB: i64 = 1_000;

/// A token bucket that is part of the replicated state, so that a new leader
/// does not start with a full one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Budget {
    /// Units left; negative after an order larger than the burst.
    level: i64,
    /// The time of the last refill; none before the first one.
    refilled_ms: Option<u64>,
}

impl Budget {
    /// Adds the units of the time since the last refill, up to the burst.
    pub(super) fn refill(&mut self, now_ms: u64, limit: &intent::WeightStore) {
        let full = units(limit.burst_mb);
        self.level = match self.refilled_ms {
            None => full,
            Some(refilled_ms) => {
                let elapsed = i64::try_from(now_ms.saturating_sub(refilled_ms)).unwrap_or(i64::MAX);
                let rate = i64::try_from(limit.mb_per_s).unwrap_or(i64::MAX);
                let added = elapsed.saturating_mul(rate);
                self.level.saturating_add(added).min(full)
            }
        };
        self.refilled_ms = Some(now_ms);
    }

    /// Takes the units of an order that fetches `fetch_mb`.
    ///
    /// An order larger than the burst is allowed once the bucket is full and
    /// makes the level negative, so that the average rate holds.
    ///
    /// # Errors
    ///
    /// Fails with the milliseconds until the order is allowed.
    pub(super) fn spend(
        &mut self,
        now_ms: u64,
        limit: &intent::WeightStore,
        fetch_mb: u64,
    ) -> Result<(), u64> {
        self.refill(now_ms, limit);
        let wanted = units(fetch_mb);
        let needed = wanted.min(units(limit.burst_mb));
        if self.level >= needed || wanted == 0 {
            self.level = self.level.saturating_sub(wanted);
            return Ok(());
        }
        let missing = needed.saturating_sub(self.level).unsigned_abs();
        Err(missing.div_ceil(limit.mb_per_s.max(1)))
    }
}

fn units(mb: u64) -> i64 {
    i64::try_from(mb)
        .unwrap_or(i64::MAX)
        .saturating_mul(UNITS_PER_MB)
}
