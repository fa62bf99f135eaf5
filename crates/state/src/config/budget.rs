//! The weight-store budget as a token bucket.

use serde::{Deserialize, Serialize};

use bw_wire::intent;

/// Units in a megabyte. A rate in MB/s is then one in units per millisecond,
/// so that refilling needs no division.
const UNITS_PER_MB: i64 = 1_000;

/// A token bucket in the replicated state, so that a new leader does not start
/// with a full one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Budget {
    /// Units left; negative after an order larger than the burst.
    level: i64,
    /// When the level was true; absent before the first use.
    at_ms: Option<u64>,
}

impl Budget {
    /// Adds what has become free since the last call.
    pub(super) fn refill(&mut self, now_ms: u64, limit: &intent::WeightStore) {
        let full = units(limit.burst_mb);
        self.level = match self.at_ms {
            None => full,
            Some(at_ms) => {
                let elapsed = i64::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(i64::MAX);
                let rate = i64::try_from(limit.mb_per_s).unwrap_or(i64::MAX);
                let added = elapsed.saturating_mul(rate);
                self.level.saturating_add(added).min(full)
            }
        };
        self.at_ms = Some(now_ms);
    }

    /// Takes megabytes out.
    ///
    /// An order larger than the burst goes out when the bucket is full and
    /// leaves a debt, so that the average rate holds.
    ///
    /// # Errors
    ///
    /// Returns after how many milliseconds the order can go out.
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
