//! Elections: pre-votes, votes and the end of leadership.

use std::collections::BTreeSet;

use rand::Rng;

use crate::{
    ReplicaId, member,
    message::{Body, Vote, VoteReply, VoteRequest},
    node::{Campaign, Node, Role},
};

/// Largest delay of the next campaign after a vote was synced, as a multiple of the
/// time that the sync took; the smallest is one such time. Another voter may have to
/// wait for a running sync before it syncs its vote. The random spread separates
/// candidates whose syncs end at the same time.
const VOTE_WAIT_FACTOR: u64 = 2;

impl Node {
    /// Starts a campaign. A pre-vote does not change the term or the vote.
    pub(super) fn start_campaign(&mut self, kind: Vote) {
        self.role = Role::Candidate;
        self.leader = None;
        match kind {
            Vote::Pre => {
                self.reset_pre_vote_timer();
                self.pre_votes = Some(BTreeSet::new());
            }
            Vote::Real | Vote::Transfer => {
                self.reset_election_timer();
                self.term += 1;
                self.cast_vote(self.id);
                self.pre_votes = None;
                self.campaign = Some(Campaign {
                    kind,
                    granted: BTreeSet::new(),
                });
            }
        }
        self.request_votes(kind);
    }

    /// Votes in the current term. The vote counts once it is durable.
    fn cast_vote(&mut self, candidate: ReplicaId) {
        self.vote = Some(candidate);
        self.vote_changed = true;
        self.vote_cast_ms = Some(self.now_ms);
    }

    /// Logs why this replica starts to campaign. A long time since the previous step
    /// means that this replica stalled rather than the leader.
    pub(super) fn log_campaign_start(&self) {
        if self.role == Role::Candidate {
            return;
        }
        ::log::info!(
            "group {}: replica {} campaigns in term {}: last contact with leader {:?} was {} ms ago, the previous step was {} ms ago",
            self.group,
            self.id,
            self.term,
            self.leader.map(|leader| leader.0),
            self.now_ms - self.leader_contact_ms,
            self.now_ms - self.previous_step_ms
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
            self.out.after_sync.push((voter, message.clone()));
        }
    }

    pub(super) fn other_voters(&self) -> impl Iterator<Item = ReplicaId> {
        let voters = self.members().voters().map(|member| member.replica);
        voters.filter(|replica| *replica != self.id)
    }

    /// Records that the term and the vote are durable, and counts the candidate's
    /// own vote.
    pub(super) fn vote_persisted(&mut self) {
        if let Some(cast_ms) = self.vote_cast_ms.take() {
            self.defer_campaign_for_votes(self.now_ms - cast_ms);
        }
        self.count_vote(self.id);
        self.count_pre_vote(self.id);
    }

    /// Delays the next campaign while other voters may still be syncing their votes.
    fn defer_campaign_for_votes(&mut self, wait_ms: u64) {
        if wait_ms == 0 {
            return;
        }
        let delay = self.rng.random_range(wait_ms..=VOTE_WAIT_FACTOR * wait_ms);
        self.election_due_ms = self.election_due_ms.max(self.now_ms + delay);
    }

    fn count_vote(&mut self, from: ReplicaId) {
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        if campaign.granted.insert(from)
            && has_won(self.id, self.members.current().1, &campaign.granted)
        {
            self.become_leader();
        }
    }

    fn count_pre_vote(&mut self, from: ReplicaId) {
        let Some(granted) = &mut self.pre_votes else {
            return;
        };
        if granted.insert(from) && has_won(self.id, self.members.current().1, granted) {
            self.start_campaign(Vote::Real);
        }
    }

    pub(super) fn on_vote_request(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        match request.kind {
            Vote::Pre => self.on_pre_vote(from, term, request),
            Vote::Real if self.may_hold_lease() => {}
            Vote::Real | Vote::Transfer => self.on_vote(from, term, request),
        }
    }

    /// Returns whether a leader, possibly this replica, may hold a lease that relies
    /// on this replica refusing to vote.
    fn may_hold_lease(&self) -> bool {
        self.role == Role::Leader || self.now_ms < self.refuse_votes_until_ms
    }

    fn on_pre_vote(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        let granted = term > self.term && !self.may_hold_lease() && self.is_up_to_date(&request);
        let mut message = self.envelope(Body::VoteReply(VoteReply {
            kind: Vote::Pre,
            granted,
        }));
        if granted {
            message.term = term;
            // The other candidate was first; a concurrent campaign of this replica
            // would split the votes.
            self.defer_campaign_for_candidate();
        }
        self.out.after_sync.push((from, message));
    }

    fn on_vote(&mut self, from: ReplicaId, term: u64, request: VoteRequest) {
        if term > self.term {
            self.become_follower(term, None);
        }
        let can_vote = self.vote.is_none_or(|vote| vote == from) && self.leader.is_none();
        let granted = term == self.term && can_vote && self.is_up_to_date(&request);
        if granted {
            if self.vote.is_none() {
                self.cast_vote(from);
            }
            self.reset_election_timer();
        }
        let kind = request.kind;
        self.send_after_sync(from, Body::VoteReply(VoteReply { kind, granted }));
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
        if !reply.granted {
            return;
        }
        let campaign = self.campaign.as_ref().map(|campaign| campaign.kind);
        match reply.kind {
            Vote::Pre if term == self.term + 1 => self.count_pre_vote(from),
            Vote::Real | Vote::Transfer if term == self.term && campaign == Some(reply.kind) => {
                self.count_vote(from);
            }
            Vote::Pre | Vote::Real | Vote::Transfer => {}
        }
    }

    /// Campaigns at the request of the leader, which has given up its lease.
    pub(super) fn on_timeout_now(&mut self) {
        if self.role != Role::Leader && self.members().is_voter(self.id) {
            self.start_campaign(Vote::Transfer);
        }
    }

    /// Becomes a follower or learner in a term, whose leader may be unknown.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if self.role == Role::Leader {
            self.end_leadership(leader);
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.vote_changed = true;
            self.vote_cast_ms = None;
            // The new leader is unknown until its first append arrives.
            self.leader = None;
        }
        if self.role == Role::Candidate || self.role == Role::Leader {
            self.reset_election_timer();
        }
        self.campaign = None;
        self.pre_votes = None;
        self.leader = leader;
        self.role = self.passive_role();
    }

    fn end_leadership(&mut self, leader: Option<ReplicaId>) {
        // The program may rely on the lease until it ends, so this replica must not
        // vote for another leader before then.
        let lease_end_ms = self.now_ms + self.lease_remaining_ms();
        self.refuse_votes_until_ms = self.refuse_votes_until_ms.max(lease_end_ms);
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

/// Returns whether a candidate's own vote and the granted votes form a majority.
fn has_won(candidate: ReplicaId, members: &member::List, granted: &BTreeSet<ReplicaId>) -> bool {
    granted.contains(&candidate) && members.has_majority(|voter| granted.contains(&voter))
}
