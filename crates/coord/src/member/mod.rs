//! Members of a group, membership changes and quorums.

mod list;
pub mod plan;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ReplicaId;

pub(crate) use list::{History, List};

/// A replica that belongs to a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The replica id, unique among present and removed members.
    pub replica: ReplicaId,
    /// The network address. The library stores it and never reads it.
    pub address: String,
    /// The failure domain, which never changes.
    pub failure_domain: String,
    /// Whether the member votes. A learner only receives the log.
    pub voter: bool,
}

impl Member {
    /// Returns a member that votes.
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

    /// Returns a member that receives the log but does not vote.
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

/// A membership change of a group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a replica as a learner, whatever its `voter` field says. Unless
    /// [`crate::host::Builder::automatic_promotion`] is off, the leader promotes it to
    /// voter once it has caught up. Adding a present member again only updates its
    /// address.
    Add(Member),
    /// Removes a replica permanently; its id cannot be added again. Removing an
    /// absent replica has no effect.
    Remove {
        /// The id of the replica to remove.
        replica: ReplicaId,
    },
    /// Lets a learner vote. Promoting a voter has no effect.
    Promote {
        /// The id of the learner.
        replica: ReplicaId,
    },
}

/// Why a membership change is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Invalid {
    /// The replica id belonged to a member that was removed.
    ReplicaIdUsed,
    /// The change would move a present member to another failure domain.
    FailureDomainChanged,
    /// The change would remove the last voter.
    NoVoter,
    /// The remaining voters would span fewer failure domains than a commit needs.
    TooFewFailureDomains,
    /// The replica to promote is no member, does not reply or lacks committed entries.
    NotCaughtUp,
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
            Invalid::NotCaughtUp => "the replica does not hold what is committed",
        })
    }
}

impl std::error::Error for Invalid {}
