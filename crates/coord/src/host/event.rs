//! What goes into a host and what comes out.

use std::fmt;

use crate::{GroupId, ReplicaId, member, message, node};

/// An event for a host.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Timers run on every step; the program steps with a tick
    /// at least once per heartbeat interval.
    Tick,
    /// A message from another replica arrived.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: message::Envelope,
    },
    /// A command is to be replicated. [`Output::Proposed`] answers it.
    Propose {
        /// The group.
        group: GroupId,
        /// Names the proposal in the answer.
        ticket: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The state is to be read. Once [`Output::ReadReady`] answers, the state
    /// machine reflects every command that was answered before this input.
    Read {
        /// The group.
        group: GroupId,
        /// Names the read in the answer.
        ticket: u64,
    },
    /// Leadership is to be given to the replica that is furthest ahead. New
    /// proposals are refused as busy until the transfer has happened or one
    /// election timeout has passed.
    Transfer {
        /// The group.
        group: GroupId,
    },
    /// The members are to be changed. [`Output::Proposed`] answers it with an
    /// empty result.
    ChangeMembers {
        /// The group.
        group: GroupId,
        /// Names the change in the answer.
        ticket: u64,
        /// The change.
        change: member::Change,
    },
}

/// An effect of a step.
#[derive(Clone, Debug)]
pub enum Output {
    /// A message is to be sent.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: message::Envelope,
    },
    /// A proposal or a membership change has an outcome.
    Proposed {
        /// The ticket of the input.
        ticket: u64,
        /// The result of the state machine.
        result: Result<Vec<u8>, Refusal>,
    },
    /// A read may be served from the state machine now, before the next step.
    ReadReady {
        /// The ticket of the input.
        ticket: u64,
        /// Whether the read may be served.
        result: Result<(), Refusal>,
    },
    /// The role, the term or the leader changed.
    Role {
        /// The group.
        group: GroupId,
        /// The role of this replica.
        role: node::Role,
        /// The term.
        term: u64,
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
}

/// Why a proposal, a change or a read was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// This replica does not lead the group. The proposal was not applied.
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Leadership was lost first. The proposal may have been applied.
    Lost,
    /// Too much is waiting, a membership change or a transfer is under way. The
    /// proposal was not applied.
    Busy,
    /// The host has stopped or does not run the group. The proposal was not
    /// applied.
    Stopped,
    /// The membership change is invalid and was not applied.
    InvalidChange {
        /// What is wrong with it.
        reason: member::Invalid,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NotLeader {
                leader: Some(leader),
            } => write!(formatter, "replica {leader} leads the group"),
            Refusal::NotLeader { leader: None } => formatter.write_str("no known leader"),
            Refusal::Lost => formatter.write_str("leadership lost, outcome unknown"),
            Refusal::Busy => formatter.write_str("busy"),
            Refusal::Stopped => formatter.write_str("stopped"),
            Refusal::InvalidChange { reason } => write!(formatter, "invalid change: {reason}"),
        }
    }
}

impl std::error::Error for Refusal {}
