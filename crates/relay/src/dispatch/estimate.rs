//! How long items run.

/// Weight of the newest item in the average size. Eight items are one job of the
/// usual size.
const ITEM_WEIGHT: f64 = 1.0 / 8.0;
/// Share of earlier runs that is kept with each new one; an item takes a few.
const RUNS_KEPT: f64 = 31.0 / 32.0;

/// Size of a small item as a share of the average one: items differ by a quarter
/// or so, and one that is taken for late too early loses its turn for nothing. A
/// share of 0.6 let many items end one or two seconds late.
const SMALL: f64 = 0.85;

/// Averages over the items that ended, from which the time that an item still
/// needs is estimated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Events of an item; 0 before the first item was complete.
    events: f64,
    /// Events of recent runs.
    run_events: f64,
    /// Duration of recent runs in milliseconds.
    run_ms: f64,
}

impl Estimate {
    /// Takes the number of events of a complete item.
    pub(super) fn completed(&mut self, events: u64) {
        let events = events as f64;
        self.events = match self.events > 0.0 {
            true => self.events + (events - self.events) * ITEM_WEIGHT,
            false => events,
        };
    }

    /// Takes the time of one run.
    pub(super) fn ran(&mut self, events: u64, took_ms: u64) {
        if events > 0 {
            self.run_events = self.run_events * RUNS_KEPT + events as f64;
            self.run_ms = self.run_ms * RUNS_KEPT + took_ms as f64;
        }
    }

    /// Returns the time that an item which has made some events can still wait and
    /// be complete when its job is due; `None` if it will be late.
    pub(super) fn spare_ms(&self, due_ms: u64, made: u64, now_ms: u64) -> Option<u64> {
        due_ms.checked_sub(now_ms + self.remaining_ms(made))
    }

    /// Returns the time that an item which has made some events needs at least, in
    /// milliseconds; 0 while nothing is known.
    fn remaining_ms(&self, made: u64) -> u64 {
        let events = (self.events * SMALL - made as f64).max(0.0);
        match self.run_events > 0.0 {
            true => (events * self.run_ms / self.run_events) as u64,
            false => 0,
        }
    }

    /// Returns the number of events made in a time, in milliseconds.
    pub(super) fn events_in(&self, time_ms: u64) -> u64 {
        match self.run_ms > 0.0 {
            true => (time_ms as f64 * self.run_events / self.run_ms) as u64,
            false => 0,
        }
    }
}
