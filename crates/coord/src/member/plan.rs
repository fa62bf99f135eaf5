//! The choice of the members that vote.
//!
//! A group without an operator keeps its voters by these rules. They rest on the
//! members that the leader hears, never on a number that the group should have.
//!
//! - A replica joins as a learner. It gets a vote in exchange for that of a voter that
//!   is silent or leaves, if the number of voters is even, or together with a second
//!   learner.
//! - A silent voter goes before its successor votes, a voter that leaves goes after.
//!   So a successor that is lost at once never counts beside the voter that it
//!   replaces, and a group whose voters are all alive never has fewer of them.
//! - A voter of an odd group stays until a learner can replace it, because fewer
//!   voters mean fewer copies of what is committed. An even group tolerates no more
//!   losses than one voter less does, so it drops a voter that stays silent.
//!
//! The rules need no memory: whoever leads next continues where the last leader stopped.

use crate::{ReplicaId, member::Change};

/// Silence after which a voter counts as lost, in milliseconds. A restart takes one to
/// two seconds.
pub const SILENT_MS: u64 = 3_000;
/// Silence after which an even group drops a voter without a successor, in
/// milliseconds. Long enough for a learner that is about to join or to catch up.
pub const EVEN_SILENT_MS: u64 = 10_000;
/// Most learners of a group: with two of them an odd group grows to the next odd size.
pub const LEARNERS_MAX: usize = 2;

/// A member as the leader sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The replica id.
    pub replica: ReplicaId,
    /// Whether it votes.
    pub voter: bool,
    /// Time since its last reply in milliseconds; 0 for the leader itself. A new leader
    /// counts from the start of its term.
    pub silent_ms: u64,
    /// Whether it replies and durably holds what was committed.
    pub caught_up: bool,
    /// Whether it is about to be removed although it is alive.
    pub leaving: bool,
}

impl Peer {
    /// Returns whether it counts as lost.
    pub fn is_silent(&self) -> bool {
        self.silent_ms >= SILENT_MS
    }

    /// Returns whether it can get a vote.
    pub fn is_spare(&self) -> bool {
        !self.voter && self.caught_up && !self.leaving && !self.is_silent()
    }
}

/// Returns the next change of the members, `None` if they are as they should be.
/// `voters_max` limits the growth of the group.
pub fn next(peers: &[Peer], voters_max: usize) -> Option<Change> {
    let spares = || peers.iter().filter(|peer| peer.is_spare());
    let silent = longest_silent(peers.iter().filter(|peer| peer.voter));
    let learner = longest_silent(peers.iter().filter(|peer| !peer.voter));
    let voters = peers.iter().filter(|peer| peer.voter).count();
    let is_even = voters.is_multiple_of(2);
    let remove = |peer: &Peer| {
        let replica = peer.replica;
        Some(Change::Remove { replica })
    };
    if let Some(silent) = silent {
        let is_replaced = spares().next().is_some();
        let is_surplus = is_even && silent.silent_ms >= EVEN_SILENT_MS;
        if is_replaced || is_surplus {
            return remove(silent);
        }
    }
    if let Some(learner) = learner {
        return remove(learner);
    }
    let leaves = peers.iter().any(|peer| peer.voter && peer.leaving);
    let promotes = match (is_even, leaves) {
        // The voter that leaves goes first.
        (true, true) => false,
        (true, false) => voters < voters_max,
        (false, true) => true,
        (false, false) => voters + 1 < voters_max && spares().count() > 1,
    };
    let spare = spares().next().filter(|_| promotes)?;
    let replica = spare.replica;
    Some(Change::Promote { replica })
}

/// Returns the member that has been silent for longest, if any is.
fn longest_silent<'a>(peers: impl Iterator<Item = &'a Peer>) -> Option<&'a Peer> {
    let silent = peers.filter(|peer| peer.is_silent());
    silent.max_by_key(|peer| peer.silent_ms)
}

/// Returns whether a group takes in another learner.
pub fn takes_learner(peers: &[Peer]) -> bool {
    peers.iter().filter(|peer| !peer.voter).count() < LEARNERS_MAX
}

/// Returns the number of voters that must remain besides those that leave, so that the
/// group tolerates as many losses as before.
pub fn required_voters(voters: usize, leaving: usize) -> usize {
    let odd = voters - usize::from(voters.is_multiple_of(2));
    odd.saturating_sub(leaving.saturating_sub(1))
}
