//! The clocks of the control thread.

use std::{collections, time};

/// The monotonic clock, and the time stamps of commands derived from it.
///
/// The wall clock is read only once, at the start. Stamps then advance with the
/// monotonic clock, even if the wall clock jumps.
#[derive(Debug)]
pub(crate) struct Clock {
    start: time::Instant,
    wall_ms: u64,
    stamps: collections::BTreeMap<u32, Stamp>,
}

/// The last time stamp that a command to a group got.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// When it was issued, on the monotonic clock.
    mono_ms: u64,
    /// Its value, in Unix milliseconds.
    stamp_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        Clock {
            start: time::Instant::now(),
            wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
            stamps: collections::BTreeMap::new(),
        }
    }

    /// Returns the monotonic time, in milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the instant of a monotonic time.
    pub(crate) fn instant(&self, mono_ms: u64) -> time::Instant {
        self.start + time::Duration::from_millis(mono_ms)
    }

    /// Returns the time stamp of a command to a group.
    ///
    /// The machine's own time can be ahead if an earlier leader had a fast clock.
    /// Stamps then advance from that time instead of standing still, so that leases
    /// and windows still end.
    pub(crate) fn stamp(&mut self, group: u32, machine_ms: u64) -> u64 {
        let stamp_ms = self.time(group, machine_ms);
        let mono_ms = self.now_ms();
        self.stamps.insert(group, Stamp { mono_ms, stamp_ms });
        stamp_ms
    }

    /// Returns the time that a command to a group would be stamped with.
    pub(crate) fn time(&self, group: u32, machine_ms: u64) -> u64 {
        let mono_ms = self.now_ms();
        let last = self.stamps.get(&group);
        let advanced_ms = last.map_or(0, |last| last.stamp_ms + (mono_ms - last.mono_ms));
        (self.wall_ms + mono_ms).max(advanced_ms).max(machine_ms)
    }
}
