//! The monotonic clock of a process and the time of day.

use std::{sync::LazyLock, time};

static START: LazyLock<time::Instant> = LazyLock::new(time::Instant::now);

/// Returns the milliseconds since the clock was first read in this process.
/// Never goes back, whatever happens to the time of day.
pub fn monotonic_ms() -> u64 {
    START.elapsed().as_millis() as u64
}

/// Returns the time of day in Unix milliseconds, 0 if the clock is before 1970.
pub fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
