//! Members: group 0 decides, the leaders of the work groups follow.

use bw_coord::{GroupId, ReplicaId, host, member as coord_member, node};
use bw_wire::member;

use crate::core::{Core, Edge, Waiting};

/// How long the members of group 0 must be unchanged here before another group
/// removes a member that they lack. A replica id cannot be used again, so a
/// removal must not follow from a list that is out of date.
const REMOVE_AFTER_MS: u64 = 10_000;

/// The members of group 0 as last seen, and since when.
#[derive(Debug, Default)]
pub(super) struct Membership {
    seen: Vec<coord_member::Member>,
    since_ms: u64,
}

impl Core {
    /// Brings the members of the groups that this replica leads in line with
    /// those of group 0, one change at a time.
    pub(super) fn align_members(&mut self, now_ms: u64) {
        let Some(first) = self.parts.host.status(GroupId(0)) else {
            return;
        };
        if first.members != self.membership.seen {
            self.membership = Membership {
                seen: first.members,
                since_ms: now_ms,
            };
        }
        let current = first.leader.is_some() && first.applied == first.commit;
        if !current {
            return;
        }
        let may_remove = now_ms >= self.membership.since_ms + REMOVE_AFTER_MS;
        for group in (1..=self.parts.settings.work_groups).map(GroupId) {
            let Some(change) = self.next_change(group, may_remove) else {
                continue;
            };
            log::info!(group = group.0; "members change: {change:?}");
            let ticket = self.tickets.add(Waiting::Chore);
            self.own.push(host::Input::ChangeMembers {
                group,
                ticket,
                change,
            });
        }
    }

    fn next_change(&self, group: GroupId, may_remove: bool) -> Option<coord_member::Change> {
        let status = self.parts.host.status(group)?;
        if status.role != node::Role::Leader {
            return None;
        }
        let wanted = &self.membership.seen;
        let present = |replica: ReplicaId, members: &[coord_member::Member]| {
            members.iter().any(|member| member.replica == replica)
        };
        let missing = wanted
            .iter()
            .find(|member| !present(member.replica, &status.members));
        if let Some(member) = missing {
            return Some(coord_member::Change::Add(member.clone()));
        }
        // A removal waits until the replacement votes.
        let learners = status.members.iter().any(|member| !member.voter);
        if !may_remove || learners {
            return None;
        }
        let surplus = status
            .members
            .iter()
            .find(|member| !present(member.replica, wanted))?;
        Some(coord_member::Change::Remove {
            replica: surplus.replica,
        })
    }
}

/// Returns the members of a group.
pub(super) fn of_group(host: &host::Host<Edge>, group: GroupId) -> Vec<member::Member> {
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

pub(super) fn to_coord(change: &member::Change) -> coord_member::Change {
    match change {
        member::Change::Add(member) => coord_member::Change::Add(coord(member)),
        member::Change::Remove { replica } => coord_member::Change::Remove {
            replica: ReplicaId(*replica),
        },
    }
}

/// Converts a member.
pub(crate) fn coord(member: &member::Member) -> coord_member::Member {
    let mut converted = coord_member::Member::voter(
        ReplicaId(member.replica),
        member.address.as_str(),
        member.failure_domain.as_str(),
    );
    converted.voter = member.voter;
    converted
}
