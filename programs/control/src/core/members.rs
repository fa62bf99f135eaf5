//! Membership: operators change the members of group 0, and the leaders of the work
//! groups apply the same changes to their groups.

use std::{collections, mem};

use bw_coord::{GroupId, ReplicaId, host, member as coord_member};
use bw_wire::member;

use crate::{
    core::{Core, Edge, Waiting},
    network::call::{self, Failure},
};

/// How long a `members` call waits for all groups before it answers that the outcome
/// is unknown. Shorter than the client's timeout of a call; the client then repeats
/// the call and so continues to wait.
const WAIT_MS: u64 = 1_000;
/// How long the members of group 0 must be unchanged on this replica before another
/// group removes a member that was never seen in group 0. A replica id cannot be used
/// again, so a removal must not be based on an outdated list.
const REMOVE_AFTER_MS: u64 = 10_000;

/// The committed members of group 0 as last seen.
#[derive(Debug, Default)]
pub(super) struct Membership {
    members: Vec<coord_member::Member>,
    /// When `members` last changed, on the monotonic clock.
    since_ms: u64,
    /// Every replica seen as a member since the start of the process. One of these that is
    /// no longer a member was removed. Others may be members that are not yet known here.
    known: collections::BTreeSet<ReplicaId>,
    tracker: CommitTracker,
}

/// A `members` call whose change group 0 has committed.
pub(super) struct Pending {
    change: member::Change,
    reply: call::Reply<Vec<member::Member>>,
    until_ms: u64,
    trackers: collections::BTreeMap<GroupId, CommitTracker>,
}

/// Tracks whether the current member list of a group is committed.
///
/// A list takes effect as soon as its entry is in the log. When the list is first
/// seen, its entry is at or before the last index, so the list is committed once
/// that index is.
#[derive(Debug, Default)]
struct CommitTracker {
    seen: Vec<coord_member::Member>,
    index: u64,
}

impl CommitTracker {
    /// Updates the tracker and returns whether the member list of a status is
    /// committed.
    fn committed(&mut self, status: &host::Status) -> bool {
        if self.seen != status.members {
            self.seen.clone_from(&status.members);
            self.index = status.last_index;
        }
        status.commit >= self.index
    }
}

impl Core {
    /// Delays the answer until all groups have committed a change of group 0.
    ///
    /// Once a call answers that a lost replica was removed, another replica may be
    /// lost at once. A work group that still counted the first one would then be
    /// without a majority.
    pub(super) fn await_all_groups(
        &mut self,
        change: member::Change,
        reply: call::Reply<Vec<member::Member>>,
    ) {
        self.changes.push(Pending {
            change,
            reply,
            until_ms: self.clock.now_ms() + WAIT_MS,
            trackers: collections::BTreeMap::new(),
        });
    }

    /// Answers `members` calls whose change is committed in all groups.
    pub(super) fn answer_changes(&mut self) {
        if self.changes.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let groups = self.parts.settings.work_groups;
        for mut pending in mem::take(&mut self.changes) {
            // The caller may have disconnected.
            if pending.done(&self.parts.host, groups) {
                let members = members_of(&self.parts.host, GroupId(0));
                let _ = pending.reply.send(Ok(members));
            } else if now_ms >= pending.until_ms {
                let _ = pending.reply.send(Err(Failure::Unknown));
            } else {
                self.changes.push(pending);
            }
        }
    }

    /// Changes the members of the groups that this replica leads to those of group 0,
    /// one change at a time.
    pub(super) fn reconcile_members(&mut self, now_ms: u64) {
        let Some(first) = self.parts.host.status(GroupId(0)) else {
            return;
        };
        let membership = &mut self.membership;
        if first.leader.is_none() || !membership.tracker.committed(&first) {
            return;
        }
        if first.members != membership.members {
            let replicas = first.members.iter().map(|member| member.replica);
            membership.known.extend(replicas);
            membership.members = first.members;
            membership.since_ms = now_ms;
        }
        for group in (1..=self.parts.settings.work_groups).map(GroupId) {
            let Some(change) = self.next_change(now_ms, group) else {
                continue;
            };
            log::info!(group = group.0; "members change: {change:?}");
            let ticket = self.tickets.add(Waiting::Internal);
            self.internal_inputs.push(host::Input::ChangeMembers {
                group,
                ticket,
                change,
            });
        }
    }

    fn next_change(&self, now_ms: u64, group: GroupId) -> Option<coord_member::Change> {
        let status = self.parts.host.status(group)?;
        let peers = self.parts.host.peers(group)?;
        let membership = &self.membership;
        let wanted = &membership.members;
        let is_stable = now_ms >= membership.since_ms + REMOVE_AFTER_MS;
        let surplus = peers.iter().filter(|peer| {
            let replica = peer.replica;
            !contains(wanted, replica) && (is_stable || membership.known.contains(&replica))
        });
        // A silent replica that still votes when its replacement does counts as a second
        // loss as soon as the replacement is lost.
        let surplus = surplus.max_by_key(|peer| peer.silent_ms);
        let remove = |peer: &coord_member::plan::Peer| coord_member::Change::Remove {
            replica: peer.replica,
        };
        if let Some(silent) = surplus.filter(|peer| peer.is_silent()) {
            return Some(remove(silent));
        }
        let missing = wanted
            .iter()
            .find(|member| !contains(&status.members, member.replica));
        if let Some(member) = missing {
            return Some(coord_member::Change::Add(member.clone()));
        }
        // The removal of a living replica waits until its replacement is a voter.
        if peers.iter().any(|peer| !peer.voter) {
            return None;
        }
        surplus.map(remove)
    }
}

impl Pending {
    /// Returns whether the change is committed in all groups.
    fn done(&mut self, host: &host::Host<Edge>, groups: u32) -> bool {
        (0..=groups).map(GroupId).all(|group| {
            let Some(status) = host.status(group) else {
                return false;
            };
            let applied = match &self.change {
                member::Change::Add(member) => contains(&status.members, ReplicaId(member.replica)),
                member::Change::Remove { replica } => {
                    !contains(&status.members, ReplicaId(*replica))
                }
            };
            let tracker = self.trackers.entry(group).or_default();
            tracker.committed(&status) && applied
        })
    }
}

fn contains(members: &[coord_member::Member], replica: ReplicaId) -> bool {
    members.iter().any(|member| member.replica == replica)
}

/// Returns the members of a group.
pub(super) fn members_of(host: &host::Host<Edge>, group: GroupId) -> Vec<member::Member> {
    let status = host.status(group);
    let members = status.iter().flat_map(|status| &status.members);
    members.map(to_wire).collect()
}

pub(super) fn to_wire(member: &coord_member::Member) -> member::Member {
    member::Member {
        replica: member.replica.0,
        address: member.address.as_str().into(),
        failure_domain: member.failure_domain.as_str().into(),
        voter: member.voter,
    }
}

pub(super) fn to_coord_change(change: &member::Change) -> coord_member::Change {
    match change {
        member::Change::Add(member) => coord_member::Change::Add(to_coord_member(member)),
        member::Change::Remove { replica } => coord_member::Change::Remove {
            replica: ReplicaId(*replica),
        },
    }
}

/// Converts a member to the type of the coordination library.
pub(crate) fn to_coord_member(member: &member::Member) -> coord_member::Member {
    let mut converted = coord_member::Member::voter(
        ReplicaId(member.replica),
        member.address.as_str(),
        member.failure_domain.as_str(),
    );
    converted.voter = member.voter;
    converted
}
