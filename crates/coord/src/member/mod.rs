//! Members of a group, membership changes and quorums.

mod list;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ReplicaId;

pub(crate) use list::{History, List};

/// A replica that belongs to a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The replica id.
    pub replica: ReplicaId,
    /// Where the replica is reached. The library stores it and never reads it.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether it votes; a learner does not.
    pub voter: bool,
}

impl Member {
    /// Builds a voter.
    pub fn voter(
        replica: ReplicaId,
        address: impl Into<String>,
        failure_domain: impl Into<String>,
    ) -> Member {
        Member {
            replica,
            address: address.into(),
            failure_domain: failure_domain.into(),
            voter: true,
        }
    }

    /// Builds a learner.
    pub fn learner(
        replica: ReplicaId,
        address: impl Into<String>,
        failure_domain: impl Into<String>,
    ) -> Member {
        Member {
            voter: false,
            ..Member::voter(replica, address, failure_domain)
        }
    }
}

/// A change of the members of a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a replica as a learner, whatever its `voter` field says. The leader
    /// makes it a voter once it has caught up. Adding a present member again
    /// updates its address and is otherwise without effect.
    Add(Member),
    /// Removes a replica for good; its id cannot be added again. Removing an
    /// absent replica has no effect.
    Remove {
        /// The replica id.
        replica: ReplicaId,
    },
}

/// Why a membership change is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Invalid {
    /// The replica id belonged to a member that was removed.
    ReplicaIdUsed,
    /// A member keeps its failure domain for life.
    FailureDomainChanged,
    /// No voter would remain.
    NoVoter,
    /// The remaining voters would span fewer failure domains than a commit needs.
    TooFewFailureDomains,
}

impl fmt::Display for Invalid {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invalid::ReplicaIdUsed => "the replica id belonged to a removed member",
            Invalid::FailureDomainChanged => "a member cannot change its failure domain",
            Invalid::NoVoter => "no voter would remain",
            Invalid::TooFewFailureDomains => {
                "the remaining voters would span too few failure domains"
            }
        })
    }
}

impl std::error::Error for Invalid {}
