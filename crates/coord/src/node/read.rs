//! Linearizable reads.

use crate::{ReplicaId, host::Refusal, node::Node};

/// A read that waits for a majority to confirm that this replica still leads.
#[derive(Debug)]
pub(super) struct Pending {
    ticket: u64,
    /// The round of the broadcast whose replies confirm the leadership, or 0 if the
    /// lease does.
    round: u64,
    /// The index that must be applied before the read is served.
    index: u64,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub ticket: u64,
    pub result: Result<(), Refusal>,
}

impl Node {
    /// Starts a read, whose outcome is put into the outbox.
    pub fn read(&mut self, ticket: u64) {
        let lease = self.options.lease_reads && self.lease_remaining_ms() > 0;
        let commit = self.log.commit();
        let Some(leadership) = &mut self.leadership else {
            let result = Err(self.not_leader());
            self.out.reads.push(Outcome { ticket, result });
            return;
        };
        // Until the first entry of the term is committed, this leader may not know
        // that entries of an earlier leader are.
        let index = commit.max(leadership.first_index);
        let round = if lease { 0 } else { leadership.round + 1 };
        leadership.broadcast_due |= !lease;
        leadership.reads.push(Pending {
            ticket,
            round,
            index,
        });
    }

    /// Completes the reads that are confirmed and whose index is applied.
    pub fn release_reads(&mut self, applied: u64) {
        let id = self.id;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.reads.is_empty() {
            return;
        }
        let progress = &leadership.progress;
        let confirmed = self.members.current().1.quorum_value(false, |voter| {
            if voter == id {
                return u64::MAX;
            }
            let broadcast = progress
                .get(&voter)
                .and_then(|progress| progress.last_answered);
            broadcast.map_or(0, |broadcast| broadcast.round)
        });
        let confirmed = confirmed.unwrap_or(0);
        let ready = |read: &Pending| read.round <= confirmed && read.index <= applied;
        for read in leadership.reads.extract_if(.., |read| ready(read)) {
            self.out.reads.push(Outcome {
                ticket: read.ticket,
                result: Ok(()),
            });
        }
    }

    pub(super) fn refuse_reads(&mut self, leader: Option<ReplicaId>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for read in leadership.reads.drain(..) {
            self.out.reads.push(Outcome {
                ticket: read.ticket,
                result: Err(Refusal::NotLeader { leader }),
            });
        }
    }
}
