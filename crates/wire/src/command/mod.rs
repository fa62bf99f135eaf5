//! Commands of the replicated state machines and their replies.

pub mod config;
pub mod work;

use serde::{Deserialize, Serialize};

/// A command with the time at which the leader accepted it.
///
/// State machines take the time from here, never from a clock, and never let it go
/// backwards, so that all replicas reach the same state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Stamped<C> {
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// The command.
    pub command: C,
}

/// A command to any group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A command to group 0, which holds the configuration.
    Config(config::Command),
    /// A command to a work group, which holds files, jobs and suspects.
    Work(work::Command),
}

/// The reply to a command of any group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The reply of group 0.
    Config(config::Reply),
    /// The reply of a work group.
    Work(work::Reply),
}
