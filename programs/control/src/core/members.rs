//! Members: group 0 decides, the leaders of the work groups follow.

use std::{collections, mem};

use bw_coord::{GroupId, ReplicaId, host, member as coord_member, node};
use bw_wire::member;

use crate::{
    core::{Core, Edge, Waiting},
    network::call::{self, Failure},
};

/// How long a `members` call waits for all groups before it answers that the
/// outcome is unknown. Below the time limit of a call of the client, which then
/// repeats the call and so goes on waiting.
const WAIT_MS: u64 = 1_000;
/// How long the members of group 0 must be unchanged here before another group
/// removes a member that was never seen in group 0. A replica id cannot be used
/// again, so a removal must not follow from a list that is out of date.
const REMOVE_AFTER_MS: u64 = 10_000;

/// The committed members of group 0 as last seen.
#[derive(Debug, Default)]
pub(super) struct Membership {
    members: Vec<coord_member::Member>,
    since_ms: u64,
    /// Every replica that has been a member since the start of the process. One
    /// that is gone now was removed, and is not just missing here yet.
    known: collections::BTreeSet<ReplicaId>,
    commits: Commits,
}

/// A `members` call whose change group 0 has committed.
pub(super) struct Pending {
    change: member::Change,
    reply: call::Reply<Vec<member::Member>>,
    until_ms: u64,
    commits: collections::BTreeMap<GroupId, Commits>,
}

/// Tells when a member list that is in force is also committed.
///
/// A list is in force from the moment its entry is in the log. The entry is at
/// or before the last index at the first sight of the list, so the list is
/// committed once that index is.
#[derive(Debug, Default)]
struct Commits {
    seen: Vec<coord_member::Member>,
    index: u64,
}

impl Commits {
    /// Takes in a status and returns whether its member list is committed.
    fn committed(&mut self, status: &host::Status) -> bool {
        if self.seen != status.members {
            self.seen.clone_from(&status.members);
            self.index = status.last_index;
        }
        status.commit >= self.index
    }
}

impl Core {
    /// Waits until all groups have followed a change that group 0 committed.
    ///
    /// An operator who hears that a lost replica was removed may lose another
    /// one at once. Were a work group still to count the first one, it would be
    /// left without a majority.
    pub(super) fn await_groups(
        &mut self,
        change: member::Change,
        reply: call::Reply<Vec<member::Member>>,
    ) {
        self.changes.push(Pending {
            change,
            reply,
            until_ms: self.clock.now_ms() + WAIT_MS,
            commits: collections::BTreeMap::new(),
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
            // The caller may have gone.
            if pending.done(&self.parts.host, groups) {
                let members = of_group(&self.parts.host, GroupId(0));
                let _ = pending.reply.send(Ok(members));
            } else if now_ms >= pending.until_ms {
                let _ = pending.reply.send(Err(Failure::Unknown));
            } else {
                self.changes.push(pending);
            }
        }
    }

    /// Brings the members of the groups that this replica leads in line with
    /// those of group 0, one change at a time.
    pub(super) fn align_members(&mut self, now_ms: u64) {
        let Some(first) = self.parts.host.status(GroupId(0)) else {
            return;
        };
        let membership = &mut self.membership;
        if first.leader.is_none() || !membership.commits.committed(&first) {
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
            let ticket = self.tickets.add(Waiting::Chore);
            self.own.push(host::Input::ChangeMembers {
                group,
                ticket,
                change,
            });
        }
    }

    fn next_change(&self, now_ms: u64, group: GroupId) -> Option<coord_member::Change> {
        let status = self.parts.host.status(group)?;
        if status.role != node::Role::Leader {
            return None;
        }
        let membership = &self.membership;
        let wanted = &membership.members;
        let missing = wanted
            .iter()
            .find(|member| !has(&status.members, member.replica));
        if let Some(member) = missing {
            return Some(coord_member::Change::Add(member.clone()));
        }
        // A removal waits until the replacement votes.
        if status.members.iter().any(|member| !member.voter) {
            return None;
        }
        let settled = now_ms >= membership.since_ms + REMOVE_AFTER_MS;
        let surplus = status.members.iter().find(|member| {
            let replica = member.replica;
            !has(wanted, replica) && (settled || membership.known.contains(&replica))
        })?;
        Some(coord_member::Change::Remove {
            replica: surplus.replica,
        })
    }
}

impl Pending {
    /// Returns whether the change is committed in all groups.
    fn done(&mut self, host: &host::Host<Edge>, groups: u32) -> bool {
        (0..=groups).map(GroupId).all(|group| {
            let Some(status) = host.status(group) else {
                return false;
            };
            let followed = match &self.change {
                member::Change::Add(member) => has(&status.members, ReplicaId(member.replica)),
                member::Change::Remove { replica } => !has(&status.members, ReplicaId(*replica)),
            };
            let commits = self.commits.entry(group).or_default();
            commits.committed(&status) && followed
        })
    }
}

fn has(members: &[coord_member::Member], replica: ReplicaId) -> bool {
    members.iter().any(|member| member.replica == replica)
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
