//! Settings of the dispatcher.

use serde::Deserialize;

use super::trial;

/// Settings of the dispatcher.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Slots of each backend server that starting items leave free. None are needed
    /// while entry VMs report requests that need a slot to the leader immediately: a run
    /// is then preempted within a few milliseconds.
    pub reserve: u32,
    /// Most items that start in one step, trials aside, so that a leader with a long
    /// queue does not start all of them on the basis of outdated loads.
    pub starts: usize,
    /// Pause of an item after a broken run (see [`super::Outcome::Broken`]) or a failed one
    /// (see [`super::Outcome::Failed`]), in milliseconds. It doubles with each broken run
    /// and quadruples with each failed one.
    pub pause_ms: u64,
    /// Longest such pause, in milliseconds.
    pub pause_max_ms: u64,
    /// How suspects are tried, items that may have crashed backend servers.
    pub trials: trial::Options,
    /// Pause of a backend server at which a run failed, in milliseconds; no item starts
    /// there meanwhile. The leader learns within this time whether other runs fail too.
    pub failed_ms: u64,
    /// Pause of a backend server that turned out to be full, in milliseconds: about half
    /// the duration of an online request.
    pub crowded_ms: u64,
    /// Pause of a backend server at which a run was preempted, in milliseconds: a quarter
    /// of the duration of an online request. Online load rises there, and an item in the
    /// next free slot would be preempted as well. Each start costs the time to read the
    /// output that the item has so far.
    pub evicted_ms: u64,
    /// Whether items that will be late run after all others.
    pub late_last: bool,
    /// Whether a new leader adopts the runs of a former one.
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
