//! Estimates of how long items run.

/// Weight of the newest item in the moving average of sizes. Eight items are a job of
/// the usual size.
const ITEM_WEIGHT: f64 = 1.0 / 8.0;
/// Factor by which the weight of earlier runs decays with each new one. An item takes a
/// few runs.
const RUN_DECAY: f64 = 31.0 / 32.0;

/// Assumed size of an item relative to the average one. Sizes differ by about a quarter,
/// and an item that is wrongly taken for late loses its turn for nothing, so this is
/// below 1. A value of 0.6 let many items end one or two seconds late.
const RELATIVE_SIZE: f64 = 0.85;

/// Averages over ended items and runs, from which the remaining time of an item is
/// estimated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Moving average of the events of a complete item; 0 before the first one.
    events: f64,
    /// Decaying sum of the events of runs.
    run_events: f64,
    /// Decaying sum of the durations of runs, in milliseconds.
    run_ms: f64,
}

impl Estimate {
    /// Adds the number of events of a complete item.
    pub(super) fn completed(&mut self, events: u64) {
        let events = events as f64;
        self.events = match self.events > 0.0 {
            true => self.events + (events - self.events) * ITEM_WEIGHT,
            false => events,
        };
    }

    /// Adds the number of events and the duration of a run.
    pub(super) fn ran(&mut self, events: u64, duration_ms: u64) {
        if events > 0 {
            self.run_events = self.run_events * RUN_DECAY + events as f64;
            self.run_ms = self.run_ms * RUN_DECAY + duration_ms as f64;
        }
    }

    /// Returns how long an item that has produced some events can still wait and be
    /// complete in time, in milliseconds; `None` if it will be late.
    pub(super) fn slack_ms(&self, due_ms: u64, produced: u64, now_ms: u64) -> Option<u64> {
        due_ms.checked_sub(now_ms + self.remaining_ms(produced))
    }

    /// Returns the time that an item that has produced some events still needs, in
    /// milliseconds; 0 before any item was complete.
    fn remaining_ms(&self, produced: u64) -> u64 {
        let events = (self.events * RELATIVE_SIZE - produced as f64).max(0.0);
        match self.run_events > 0.0 {
            true => (events * self.run_ms / self.run_events) as u64,
            false => 0,
        }
    }

    /// Returns the number of events that a run produces in a time; 0 before any run
    /// ended.
    pub(super) fn events_in(&self, time_ms: u64) -> u64 {
        match self.run_ms > 0.0 {
            true => (time_ms as f64 * self.run_events / self.run_ms) as u64,
            false => 0,
        }
    }
}
