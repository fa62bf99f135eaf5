//! One replica of one replicated log.

use serde::{Deserialize, Serialize};

/// The part that a replica plays in its group.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts proposals and replicates them.
    Leader,
    /// Votes and follows a leader.
    Follower,
    /// Seeks to become leader.
    Candidate,
    /// Follows a leader and does not vote.
    Learner,
}
