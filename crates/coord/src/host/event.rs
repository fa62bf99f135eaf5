//! The inputs and outputs of a host.

use std::fmt;

use crate::{GroupId, ReplicaId, member, message, node};

/// An input that the program passes to a host: a tick, a message from another replica or
/// a request.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Timers run on every step; the program must step at least once
    /// per heartbeat interval, with a tick if there is no other input.
    Tick,
    /// A message from another replica arrived.
    Message {
        /// The replica that sent it.
        from: ReplicaId,
        /// The decoded message.
        message: message::Envelope,
    },
    /// Proposes a command to be replicated. [`Output::Proposed`] answers it.
    Propose {
        /// The group whose log the command is appended to.
        group: GroupId,
        /// Identifies the proposal in the answer.
        ticket: u64,
        /// The command for the state machine.
        command: Vec<u8>,
    },
    /// Requests a linearizable read. Once [`Output::ReadReady`] answers, the state
    /// machine reflects every command that was answered before this input.
    Read {
        /// The group to read.
        group: GroupId,
        /// Identifies the read in the answer.
        ticket: u64,
    },
    /// Transfers the leadership to the voter with the longest log. New proposals are
    /// refused with [`Refusal::Busy`] until the transfer is complete or one election
    /// timeout has passed.
    Transfer {
        /// The group whose leadership is transferred.
        group: GroupId,
    },
    /// Changes the members. [`Output::Proposed`] answers it with an empty result.
    ChangeMembers {
        /// The group whose members change.
        group: GroupId,
        /// Identifies the change in the answer.
        ticket: u64,
        /// The member to add or remove.
        change: member::Change,
    },
}

/// An effect of a step.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a message to another replica.
    Send {
        /// The receiving replica.
        to: ReplicaId,
        /// The message, to be encoded by [`message::encode`].
        message: message::Envelope,
    },
    /// A proposal or a membership change has been committed and applied, or refused.
    Proposed {
        /// The ticket of the input.
        ticket: u64,
        /// The result of the state machine, or why there is none.
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
        /// The group in which it changed.
        group: GroupId,
        /// The role of this replica.
        role: node::Role,
        /// The latest term that this replica knows.
        term: u64,
        /// The leader of the term, if known.
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
    /// The leadership was lost or the host stopped while the proposal was pending. It
    /// may or may not be applied.
    Lost,
    /// Too many uncommitted bytes are pending, or a membership change or leadership
    /// transfer is in progress. The proposal was not applied.
    Busy,
    /// The host has stopped or does not run the group. The proposal was not
    /// applied.
    Stopped,
    /// The membership change is invalid and was not applied.
    InvalidChange {
        /// Why it is invalid.
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
