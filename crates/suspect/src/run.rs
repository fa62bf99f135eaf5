//! Runs of requests, and how old they were when their backend servers crashed.

use serde::{Deserialize, Serialize};

/// Time for which a run writes on after a deadly part would have crashed its backend
/// server, in milliseconds. Such a part crashes it within some tens of milliseconds after
/// the first event, a slow backend server within some hundreds.
pub const SURVIVAL_MS: u64 = 500;

/// A run of a request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    /// When it was sent, in monotonic milliseconds.
    pub sent_ms: u64,
    /// Time from its first to its last event, in milliseconds. The time after the last one
    /// does not count: a backend server may have fallen silent.
    pub written_ms: u64,
}

impl Run {
    /// Creates a run that has sent no event, or whose events are not looked at.
    pub fn sent(sent_ms: u64) -> Run {
        Run {
            sent_ms,
            written_ms: 0,
        }
    }

    /// Returns its age if it breaks off now.
    pub(super) fn age(self, now_ms: u64) -> Age {
        let milliseconds = |time: u64| u32::try_from(time).unwrap_or(u32::MAX);
        Age {
            written_ms: milliseconds(self.written_ms),
            run_ms: milliseconds(now_ms.saturating_sub(self.sent_ms)),
        }
    }

    /// Returns whether a part that crashes backend servers would have ended this run
    /// before: it was sent no earlier than one that broke off at an age, of which this
    /// process learned at `learned_ms`, and has been writing for longer.
    pub(super) fn outlives(self, age: Age, learned_ms: u64) -> bool {
        self.sent_ms + u64::from(age.run_ms) >= learned_ms
            && self.written_ms >= u64::from(age.written_ms) + SURVIVAL_MS
    }
}

/// The events of a run so far, by their times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Writing {
    /// When the first event arrived, in monotonic milliseconds.
    first_ms: Option<u64>,
    written_ms: u64,
    /// The time of writing that was reported last.
    reported_ms: u64,
}

impl Writing {
    /// Notes an event. Returns whether the run has been writing for another
    /// [`SURVIVAL_MS`], so that [`super::Suspects::request_lived`] is of use.
    pub fn note_event(&mut self, now_ms: u64) -> bool {
        let first_ms = *self.first_ms.get_or_insert(now_ms);
        self.written_ms = now_ms.saturating_sub(first_ms);
        let is_due = self.written_ms >= self.reported_ms + SURVIVAL_MS;
        if is_due {
            self.reported_ms = self.written_ms;
        }
        is_due
    }

    /// Returns the time from the first to the last event, in milliseconds.
    pub fn written_ms(&self) -> u64 {
        self.written_ms
    }
}

/// How old a run was when its backend server crashed. Less is younger. Durations and not
/// times, as processes have no common clock.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub(super) struct Age {
    /// Time from the first to the last event, in milliseconds.
    written_ms: u32,
    /// Time since the run was sent, in milliseconds.
    run_ms: u32,
}

impl Age {
    /// An age that every other one is younger than.
    pub(super) const MAX: Age = Age {
        written_ms: u32::MAX,
        run_ms: u32::MAX,
    };

    /// Returns whether a deadly part would have crashed the backend server before.
    pub(super) fn has_survived(self) -> bool {
        u64::from(self.written_ms) >= SURVIVAL_MS
    }
}
