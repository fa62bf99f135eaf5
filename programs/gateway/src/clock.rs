//! The clocks of a process.

use std::{sync::LazyLock, time};

static START: LazyLock<time::Instant> = LazyLock::new(time::Instant::now);

/// Returns a steady clock in milliseconds since the process started.
pub fn monotonic_ms() -> u64 {
    START.elapsed().as_millis() as u64
}

/// Returns the time of day in Unix milliseconds, 0 if the clock is before 1970.
pub fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
