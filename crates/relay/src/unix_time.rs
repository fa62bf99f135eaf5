//! Unix time that advances with the monotonic clock.

/// Largest difference between the system clocks of two VMs, in milliseconds. A system
/// clock may be set by seconds, forward or backward.
pub const MAX_SKEW_MS: u64 = 10_000;

/// A Unix clock that is set once and then advances with the monotonic clock, so that
/// a change of the system clock moves no date and no timeout.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_ms: u64,
    monotonic_ms: u64,
}

impl Clock {
    /// Starts a clock from readings of the system clock and of the monotonic clock
    /// that were taken at the same time.
    pub fn new(unix_ms: u64, monotonic_ms: u64) -> Clock {
        Clock {
            unix_ms,
            monotonic_ms,
        }
    }

    /// Converts a reading of the monotonic clock to Unix time, in milliseconds.
    pub fn unix_ms(&self, monotonic_ms: u64) -> u64 {
        self.unix_ms + monotonic_ms.saturating_sub(self.monotonic_ms)
    }
}
