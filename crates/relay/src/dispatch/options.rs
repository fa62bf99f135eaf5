//! Settings of the dispatch.

use serde::Deserialize;

use super::trial;

/// Limits of the dispatch.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Slots of each backend server that items leave free when they start. None
    /// are needed while entry VMs tell the leader at once of requests that need
    /// a slot: a run then gives way within a few milliseconds.
    pub reserve: u32,
    /// Items that may be started in one step, so that a leader with a long
    /// queue does not start all at the load that it saw a moment ago.
    pub starts: usize,
    /// Pause before an item whose run failed runs again, in milliseconds.
    pub pause_ms: u64,
    /// Longest such pause in milliseconds.
    pub pause_max_ms: u64,
    /// How items are tried under which backend servers crashed.
    pub trials: trial::Options,
    /// How long no item starts at a backend server that failed one, in
    /// milliseconds; the leader learns within this time whether it fails others.
    pub failed_ms: u64,
    /// How long no item starts at a backend server that turned out to be full,
    /// in milliseconds: about half the time of an online request.
    pub crowded_ms: u64,
    /// How long no item starts at a backend server that took one back, in
    /// milliseconds: a quarter of the time of an online request. Online load rises
    /// there, and the next slot that becomes free would be taken back as well; each
    /// start costs the reading of what the item has so far.
    pub evicted_ms: u64,
    /// Whether items that will be late run after all others.
    pub late_last: bool,
    /// Whether a new leader looks for the runs of a former one.
    pub adopt: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            reserve: 0,
            starts: 16,
            pause_ms: 200,
            pause_max_ms: 2_000,
            trials: trial::Options::default(),
            failed_ms: 1_000,
            crowded_ms: 400,
            evicted_ms: 200,
            late_last: true,
            adopt: true,
        }
    }
}
