//! Membership of the control groups.

use serde::{Deserialize, Serialize};

use crate::name;

/// A control replica as a member of all groups.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The replica id, which is not reused after the replica's disk is lost.
    pub replica: u64,
    /// `IP:port` of its control port.
    pub address: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Whether it votes; a learner does not.
    pub voter: bool,
}

/// A change of the membership.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds a replica as a learner; it votes once it has caught up.
    Add(Member),
    /// Removes a replica.
    Remove {
        /// The replica id.
        replica: u64,
    },
}
