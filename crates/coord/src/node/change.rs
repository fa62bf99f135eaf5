//! Membership changes, one at a time.

use crate::{host::Refusal, member, message::Operation, node::Node};

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

    /// Promotes a learner that has caught up: it is active and durably holds
    /// everything that was committed at the last tick.
    pub(super) fn promote_learner(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let Some(leadership) = &self.leadership else {
            return;
        };
        let caught_up = self.members().members.iter().find(|member| {
            let progress = leadership.progress.get(&member.replica);
            !member.voter
                && self.is_active(member.replica)
                && progress
                    .is_some_and(|progress| progress.match_index >= leadership.commit_at_tick)
        });
        if let Some(learner) = caught_up {
            let list = self.members().promoted(learner.replica);
            self.append_operation(Operation::Members(list));
        }
    }
}
