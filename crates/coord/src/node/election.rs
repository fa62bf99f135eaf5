//! Elections: pre-votes, votes and the end of leadership.

use std::collections::BTreeSet;

use crate::{
    ReplicaId,
    message::{Body, Vote, VoteReply, VoteRequest},
    node::{Campaign, Node, Role},
};

impl Node {
    /// Starts a campaign. A pre-vote leaves the term as it is.
    pub(super) fn start_campaign(&mut self, kind: Vote) {
        self.role = Role::Candidate;
        self.leader = None;
        match kind {
            Vote::Pre => self.reset_pre_vote_timer(),
            Vote::Real | Vote::Transfer => self.reset_election_timer(),
        }
        if kind != Vote::Pre {
            self.term += 1;
            self.vote = Some(self.id);
            self.vote_changed = true;
        }
        self.campaign = Some(Campaign {
            kind,
            granted: BTreeSet::new(),
        });
        self.request_votes(kind);
    }

    /// Logs why this replica begins to campaign. A long time since the step before
    /// tells a stall of this replica from one of the leader.
    pub(super) fn log_silent_leader(&self) {
        if self.role == Role::Candidate {
            return;
        }
        ::log::info!(
            "group {}: replica {} campaigns in term {}: leader {:?} was last heard {} ms ago, the step before was {} ms ago",
            self.group,
            self.id,
            self.term,
            self.leader.map(|leader| leader.0),
            self.now_ms - self.leader_heard_ms,
            self.now_ms - self.previous_ms
        );
    }

    fn request_votes(&mut self, kind: Vote) {
        let request = Body::VoteRequest(VoteRequest {
            kind,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        });
        let mut message = self.envelope(request);
        if kind == Vote::Pre {
            message.term += 1;
        }
        let voters: Vec<ReplicaId> = self.other_voters().collect();
        for voter in voters {
            self.out.late.push((voter, message.clone()));
        }
    }

    pub(super) fn other_voters(&self) -> impl Iterator<Item = ReplicaId> {
        let voters = self.members().voters().map(|member| member.replica);
        voters.filter(|replica| *replica != self.id)
    }

    /// Counts the candidate's own vote, which must be durable.
    pub(super) fn count_own_vote(&mut self) {
        let id = self.id;
        let counted = match &mut self.campaign {
            Some(campaign) => campaign.granted.insert(id),
            None => false,
        };
        if counted {
            self.check_votes();
        }
    }

    fn check_votes(&mut self) {
        let Some(campaign) = &self.campaign else {
            return;
        };
        let kind = campaign.kind;
        let granted = |voter| campaign.granted.contains(&voter);
        if !granted(self.id) || !self.members().has_majority(granted) {
            return;
        }
        match kind {
            Vote::Pre => self.start_campaign(Vote::Real),
            Vote::Real | Vote::Transfer => self.become_leader(),
        }
    }

    pub(super) fn on_vote_request(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        match request.kind {
            Vote::Pre => self.on_pre_vote(from, term, request),
            Vote::Real if self.may_hold_lease() => {}
            Vote::Real | Vote::Transfer => self.on_vote(from, term, request),
        }
    }

    /// Returns whether a leader, perhaps this replica, may hold a lease that
    /// counts on this replica's refusal to vote.
    fn may_hold_lease(&self) -> bool {
        self.role == Role::Leader || self.now_ms < self.quiet_until_ms
    }

    fn on_pre_vote(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        let granted = term > self.term && !self.may_hold_lease() && self.is_up_to_date(&request);
        let mut message = self.envelope(Body::VoteReply(VoteReply {
            kind: Vote::Pre,
            granted,
        }));
        if granted {
            message.term = term;
            // The other candidate is ahead; campaigning beside it would split
            // the votes.
            self.defer_election();
        }
        self.out.late.push((from, message));
    }

    fn on_vote(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        if term > self.term {
            self.become_follower(term, None);
        }
        let free = self.vote.is_none_or(|vote| vote == from) && self.leader.is_none();
        let granted = term == self.term && free && self.is_up_to_date(&request);
        if granted {
            self.vote_changed |= self.vote.is_none();
            self.vote = Some(from);
            self.reset_election_timer();
        }
        let kind = request.kind;
        self.send_late(from, Body::VoteReply(VoteReply { kind, granted }));
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, term: u64, reply: VoteReply) {
        if !reply.granted && term > self.term {
            self.become_follower(term, None);
            return;
        }
        let expected = match reply.kind {
            Vote::Pre => self.term + 1,
            Vote::Real | Vote::Transfer => self.term,
        };
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        if reply.granted && term == expected && reply.kind == campaign.kind {
            campaign.granted.insert(from);
            self.check_votes();
        }
    }

    /// Campaigns at the request of the leader, which gave up its lease.
    pub(super) fn on_timeout_now(&mut self) {
        if self.role != Role::Leader && self.members().is_voter(self.id) {
            self.start_campaign(Vote::Transfer);
        }
    }

    /// Follows a leader, or nobody, in a term.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if self.role == Role::Leader {
            self.end_leadership(leader);
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.vote_changed = true;
            // Only an append of the new term's leader names it.
            self.leader = None;
        }
        if self.role == Role::Candidate || self.role == Role::Leader {
            self.reset_election_timer();
        }
        self.campaign = None;
        self.leader = leader;
        self.role = self.passive_role();
    }

    fn end_leadership(&mut self, leader: Option<ReplicaId>) {
        // The program may act on the lease until it ends, so no other leader may
        // be elected with this replica's vote before.
        let lease_end_ms = self.now_ms + self.lease_remaining_ms();
        self.quiet_until_ms = self.quiet_until_ms.max(lease_end_ms);
        self.out.leadership_lost = true;
        self.refuse_reads(leader);
        self.leadership = None;
        ::log::info!(
            "group {}: replica {} no longer leads term {}",
            self.group,
            self.id,
            self.term
        );
    }
}
