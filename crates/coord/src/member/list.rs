//! Lists of members and their history in the log.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    ReplicaId,
    member::{Change, Invalid, Member},
};

/// Number of failure domains that a commit must span if the option is set.
const REQUIRED_DOMAINS: usize = 2;

/// The members of a group and the ids of removed members.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct List {
    pub members: Vec<Member>,
    pub removed: BTreeSet<ReplicaId>,
}

impl List {
    pub fn new(members: Vec<Member>) -> List {
        List {
            members,
            removed: BTreeSet::new(),
        }
    }

    pub fn get(&self, replica: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.replica == replica)
    }

    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.get(replica).is_some_and(|member| member.voter)
    }

    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.voter)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the replicas for which `holds` is true include a majority
    /// of the voters.
    pub fn has_majority(&self, mut holds: impl FnMut(ReplicaId) -> bool) -> bool {
        let count = self.voters().filter(|member| holds(member.replica)).count();
        count >= self.majority()
    }

    /// Returns the largest value that a majority of voters has reached; with
    /// `span_domains` the majority also spans two failure domains.
    pub fn quorum_value(
        &self,
        span_domains: bool,
        mut value: impl FnMut(ReplicaId) -> u64,
    ) -> Option<u64> {
        let mut reached: Vec<(u64, &str)> = self
            .voters()
            .map(|member| (value(member.replica), member.failure_domain.as_str()))
            .collect();
        reached.sort_unstable_by(|left, right| right.cmp(left));
        let required = if span_domains { REQUIRED_DOMAINS } else { 1 };
        let mut domains = BTreeSet::new();
        for (count, (value, domain)) in reached.iter().enumerate() {
            domains.insert(*domain);
            if count + 1 >= self.majority() && domains.len() >= required {
                return Some(*value);
            }
        }
        None
    }

    /// Returns the list after a change, or `None` if the change has no effect.
    pub fn changed(&self, change: &Change, span_domains: bool) -> Result<Option<List>, Invalid> {
        match change {
            Change::Add(member) => self.with(member),
            Change::Remove { replica } => self.without(*replica, span_domains),
            Change::Promote { replica } => Ok(match self.get(*replica) {
                Some(member) if !member.voter => Some(self.promoted(*replica)),
                _ => None,
            }),
        }
    }

    /// Returns the list with a learner promoted to voter.
    pub fn promoted(&self, replica: ReplicaId) -> List {
        let mut list = self.clone();
        for member in &mut list.members {
            member.voter |= member.replica == replica;
        }
        list
    }

    fn with(&self, member: &Member) -> Result<Option<List>, Invalid> {
        if self.removed.contains(&member.replica) {
            return Err(Invalid::ReplicaIdUsed);
        }
        let mut list = self.clone();
        let Some(present) = list
            .members
            .iter_mut()
            .find(|present| present.replica == member.replica)
        else {
            list.members.push(Member {
                voter: false,
                ..member.clone()
            });
            return Ok(Some(list));
        };
        if present.failure_domain != member.failure_domain {
            return Err(Invalid::FailureDomainChanged);
        }
        if present.address == member.address {
            return Ok(None);
        }
        present.address.clone_from(&member.address);
        Ok(Some(list))
    }

    fn without(&self, replica: ReplicaId, span_domains: bool) -> Result<Option<List>, Invalid> {
        if self.get(replica).is_none() {
            return Ok(None);
        }
        let mut list = self.clone();
        list.members.retain(|member| member.replica != replica);
        list.removed.insert(replica);
        if list.voters().next().is_none() {
            return Err(Invalid::NoVoter);
        }
        if span_domains && list.quorum_value(true, |_| 0).is_none() {
            return Err(Invalid::TooFewFailureDomains);
        }
        Ok(Some(list))
    }
}

/// The member lists of the log: the one in the snapshot and the later ones.
///
/// A list takes effect as soon as it is appended, before it is committed.
#[derive(Clone, Debug)]
pub(crate) struct History {
    lists: Vec<(u64, List)>,
}

impl History {
    pub fn new(index: u64, list: List) -> History {
        History {
            lists: vec![(index, list)],
        }
    }

    /// Returns the latest list and the index of its entry.
    pub fn current(&self) -> (u64, &List) {
        let (index, list) = &self.lists[self.lists.len() - 1];
        (*index, list)
    }

    /// Returns the list that applies at an index.
    pub fn at(&self, index: u64) -> &List {
        let later = self.lists.partition_point(|(start, _)| *start <= index);
        &self.lists[later.saturating_sub(1)].1
    }

    pub fn push(&mut self, index: u64, list: List) {
        self.lists.push((index, list));
    }

    /// Drops the lists at and after an index whose entries were removed.
    pub fn truncate(&mut self, index: u64) {
        let keep = self.lists.partition_point(|(start, _)| *start < index);
        self.lists.truncate(keep.max(1));
    }

    /// Drops the lists that were superseded at or before an index.
    pub fn compact(&mut self, index: u64) {
        let later = self.lists.partition_point(|(start, _)| *start <= index);
        self.lists.drain(..later.saturating_sub(1));
    }
}
