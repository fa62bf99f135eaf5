//! The crashes of backend servers in order of time.

use std::collections::HashMap;

use super::{CALM_MS, Crash};

/// All known crashes by the time at which this process learned of them, in monotonic
/// milliseconds.
pub(super) struct Timeline(Vec<(u64, Crash)>);

impl Timeline {
    pub(super) fn new(crashes: &HashMap<Crash, u64>) -> Timeline {
        let crashes = crashes.iter().map(|(crash, at_ms)| (*at_ms, *crash));
        let mut crashes: Vec<(u64, Crash)> = crashes.collect();
        crashes.sort_unstable();
        Timeline(crashes)
    }

    /// Returns whether a backend server crashed at about this time other than in the
    /// crashes that are `known` of a suspect.
    pub(super) fn has_other(&self, at_ms: u64, known: impl Fn(&Crash) -> bool) -> bool {
        let from_ms = (at_ms + 1).saturating_sub(CALM_MS);
        let begin = self.0.partition_point(|(other_ms, _)| *other_ms < from_ms);
        let near = self.0[begin..].iter();
        let mut near = near.take_while(|(other_ms, _)| *other_ms < at_ms + CALM_MS);
        near.any(|(_, crash)| !known(crash))
    }
}
