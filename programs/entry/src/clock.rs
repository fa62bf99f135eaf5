//! The monotonic clock of the process in milliseconds.

use std::time;

/// Counts from the start of the process. Clones show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// The time that the clock shows at the start, so that ages of things that
    /// are older than the process stay positive.
    const START_MS: u64 = 3_600_000;

    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            start: time::Instant::now(),
        }
    }

    /// Returns the time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        let elapsed = self.start.elapsed().as_millis();
        Clock::START_MS + u64::try_from(elapsed).unwrap_or(u64::MAX / 2)
    }
}

/// Returns the Unix time in milliseconds. It can jump; only stored records and
/// callers' objects carry it.
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
