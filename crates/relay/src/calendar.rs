//! Unix time without jumps.

/// How far the time of day of two VMs may be apart, in milliseconds: it may jump by
/// seconds, forward or backward.
pub const ERROR_MS: u64 = 10_000;

/// Unix time that goes on with the steady clock from the moment at which it was set,
/// so that a jump of the time of day changes no date and no wait.
#[derive(Clone, Copy, Debug)]
pub struct Calendar {
    unix_ms: u64,
    steady_ms: u64,
}

impl Calendar {
    /// Sets the calendar to the time of day, at a time of the steady clock.
    pub fn new(unix_ms: u64, steady_ms: u64) -> Calendar {
        Calendar { unix_ms, steady_ms }
    }

    /// Returns the Unix time in milliseconds at a time of the steady clock.
    pub fn unix_ms(&self, steady_ms: u64) -> u64 {
        self.unix_ms + steady_ms.saturating_sub(self.steady_ms)
    }
}
