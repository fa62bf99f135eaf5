//! Membership changes, one at a time.

use crate::{ReplicaId, host::Refusal, member, message::Operation, node::Node};

impl Node {
    /// Appends a membership change and returns its index, or `None` if it would
    /// change nothing.
    pub fn change_members(&mut self, change: &member::Change) -> Result<Option<u64>, Refusal> {
        if self.leadership.is_none() {
            return Err(self.not_leader());
        }
        if !self.may_change_members() {
            return Err(Refusal::Busy);
        }
        if let member::Change::Promote { replica } = change
            && !self.members().is_voter(*replica)
            && !self.has_caught_up(*replica)
        {
            let reason = member::Invalid::NotCaughtUp;
            return Err(Refusal::InvalidChange { reason });
        }
        let changed = self
            .members()
            .changed(change, self.options.span_domains)
            .map_err(|reason| Refusal::InvalidChange { reason })?;
        Ok(changed.map(|list| self.append_operation(Operation::Members(list))))
    }

    /// Returns whether a membership change may be appended: the previous one and an
    /// entry of the current term are committed, and no leadership transfer is
    /// running. Without a committed entry of the current term, the majorities of two
    /// changes that two leaders began might not overlap.
    fn may_change_members(&self) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let commit = self.log.commit();
        let (changed_index, _) = self.members.current();
        leadership.transfer.is_none() && changed_index <= commit && leadership.first_index <= commit
    }

    /// Promotes a learner that has caught up, unless the program decides on it.
    pub(super) fn promote_learner(&mut self) {
        if !self.options.automatic_promotion || !self.may_change_members() {
            return;
        }
        let mut members = self.members().members.iter();
        let caught_up = members.find(|member| !member.voter && self.has_caught_up(member.replica));
        if let Some(learner) = caught_up {
            let list = self.members().promoted(learner.replica);
            self.append_operation(Operation::Members(list));
        }
    }

    /// Returns whether another replica is active and durably holds everything that was
    /// committed at the last tick.
    fn has_caught_up(&self, replica: ReplicaId) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let progress = leadership.progress.get(&replica);
        self.is_active(replica)
            && progress.is_some_and(|progress| progress.match_index >= leadership.commit_at_tick)
    }

    /// Returns the members as this leader sees them, `None` if it does not lead.
    pub fn peers(&self) -> Option<Vec<member::plan::Peer>> {
        let leadership = self.leadership.as_ref()?;
        let peers = self.members().members.iter().map(|member| {
            let replica = member.replica;
            let progress = leadership.progress.get(&replica);
            let contact_ms = progress.map_or(self.now_ms, |progress| progress.last_contact_ms);
            member::plan::Peer {
                replica,
                voter: member.voter,
                silent_ms: self.now_ms - contact_ms,
                caught_up: replica == self.id || self.has_caught_up(replica),
                leaving: false,
            }
        });
        Some(peers.collect())
    }
}
