//! The time at which an announcement was received, on the leader's monotonic clock.

use bw_wire::sync;

/// Upper bound of the drift between the clocks of two VMs, as a divisor of the
/// elapsed time.
const DRIFT_DIVISOR: u64 = 1_000;

/// The time at which an entry VM received an announcement from a backend server.
///
/// A known time is never later than the actual one, so that an age computed from it is
/// never too small.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timestamp {
    /// In milliseconds since the start of this process; negative for times before it.
    at_ms: i64,
    /// Whether the time is known. Otherwise `at_ms` is only an upper bound, which is no
    /// proof that the backend server is not leaving.
    known: bool,
}

impl Timestamp {
    /// Returns the known time `at_ms`, in milliseconds since the start of this process.
    pub fn known(at_ms: u64) -> Timestamp {
        Timestamp {
            at_ms: signed(at_ms),
            known: true,
        }
    }

    /// Returns the time of an announcement that an entry VM received `at_ms` after the
    /// arrival of the response written at `clock_ms`.
    ///
    /// A response arrives after it was written, so that the sum is never too late,
    /// whatever the delays were. Without a response, nothing bounds the delay of the
    /// request that brings the announcement.
    pub(super) fn new(now_ms: u64, clock_ms: Option<u64>, at_ms: i64) -> Timestamp {
        let now = signed(now_ms);
        match clock_ms {
            // A clock value in the future does not come from this leader.
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

    /// Combines two times of one announcement. Copies of it differ only by delays, so
    /// that the earliest time is the safest.
    pub(super) fn combine(self, other: Timestamp) -> Timestamp {
        Timestamp {
            at_ms: self.at_ms.min(other.at_ms),
            known: self.known || other.known,
        }
    }

    /// Returns the elapsed time, in milliseconds, even if the time is not known.
    pub(super) fn elapsed_ms(self, now_ms: u64) -> u64 {
        let elapsed_ms = signed(now_ms).saturating_sub(self.at_ms);
        u64::try_from(elapsed_ms).unwrap_or(0)
    }

    /// Returns the age, in milliseconds. An unknown time yields an age that is
    /// too old to prove that the backend server is not leaving.
    pub fn age_ms(self, now_ms: u64) -> u64 {
        let elapsed_ms = self.elapsed_ms(now_ms);
        match self.known {
            true => elapsed_ms,
            false => elapsed_ms.max(sync::UNKNOWN_TIME_MIN_AGE_MS),
        }
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
