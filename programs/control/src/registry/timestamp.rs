//! When an announcement was heard, on the leader's monotonic clock.

use bw_wire::sync;

/// Clocks of two VMs run apart by less than one part in this many.
const DRIFT_DIVISOR: u64 = 1_000;

/// A time that is not later than that of the hearing, if it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timestamp {
    /// Below zero for what was heard before this process started.
    at_ms: i64,
    /// Whether the time is known. Otherwise the hearing was not later than
    /// `at_ms`, and is no proof of not leaving.
    known: bool,
}

impl Timestamp {
    /// Returns the known time `at_ms`.
    pub fn known(at_ms: u64) -> Timestamp {
        Timestamp {
            at_ms: signed(at_ms),
            known: true,
        }
    }

    /// Dates an announcement that an entry VM heard `at_ms` after the arrival of
    /// the response written at `clock_ms`.
    ///
    /// The response arrived after it was written, so that the sum is never too
    /// late, whatever the delays were. Without a response, nothing bounds the
    /// delay of the request that brings the announcement.
    pub(super) fn new(now_ms: u64, clock_ms: Option<u64>, at_ms: i64) -> Timestamp {
        let now = signed(now_ms);
        match clock_ms {
            // A clock value from the future was not given by this leader.
            Some(clock_ms) if clock_ms <= now_ms => {
                let drift = signed(at_ms.unsigned_abs().div_ceil(DRIFT_DIVISOR));
                let at_ms = signed(clock_ms).saturating_add(at_ms);
                Timestamp {
                    at_ms: at_ms.saturating_sub(drift).min(now),
                    known: true,
                }
            }
            _ => Timestamp {
                at_ms: now.saturating_add(at_ms.min(0)),
                known: false,
            },
        }
    }

    /// Combines two times of one announcement. Copies of it differ only by
    /// delays, so that the earliest is the safest.
    pub(super) fn combine(self, other: Timestamp) -> Timestamp {
        Timestamp {
            at_ms: self.at_ms.min(other.at_ms),
            known: self.known || other.known,
        }
    }

    /// Returns the time since then, in milliseconds.
    pub(super) fn since_ms(self, now_ms: u64) -> u64 {
        let since_ms = signed(now_ms).saturating_sub(self.at_ms);
        u64::try_from(since_ms).unwrap_or(0)
    }

    /// Returns the age, in milliseconds; too old for a proof if not known.
    pub fn age_ms(self, now_ms: u64) -> u64 {
        let since_ms = self.since_ms(now_ms);
        match self.known {
            true => since_ms,
            false => since_ms.max(sync::UNDATED_AGE_MS),
        }
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
