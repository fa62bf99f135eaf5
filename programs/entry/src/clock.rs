//! The monotonic clock of the process in milliseconds.

use std::time;

/// Measures time since the start of the process. Clones share the same origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Reading of the clock at the start, so that the times of events before the
    /// start of the process are not negative.
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

/// Returns the Unix time in milliseconds, 0 before 1970. It can jump, so it is
/// used only in stored records, in objects for callers and as incarnation.
pub fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}
