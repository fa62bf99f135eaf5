//! The host of all groups of a process.

mod builder;
mod event;

use std::{collections::BTreeMap, fmt};

use crate::{GroupId, ReplicaId, member, node, storage};

pub use builder::Builder;
pub use event::{Input, Output, Refusal};

/// A deterministic replicated state machine.
///
/// The result of each call depends only on the state and the arguments, so that
/// all replicas reach the same state.
pub trait Machine {
    /// Applies a committed command and returns its result.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Returns the state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by one that [`Machine::snapshot`] returned.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a state. The replica then stops.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

/// Why a state machine cannot be restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoreError {
    reason: String,
}

impl RestoreError {
    /// Builds an error with a reason.
    pub fn new(reason: impl Into<String>) -> RestoreError {
        RestoreError {
            reason: reason.into(),
        }
    }
}

impl fmt::Display for RestoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl std::error::Error for RestoreError {}

/// What a host needs from the program around it.
pub trait Edge {
    /// The disk.
    type Disk: storage::Disk;
    /// The state machine of every group.
    type Machine: Machine;
}

/// The state of a replica in one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The role.
    pub role: node::Role,
    /// The term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// The last index known to be committed.
    pub commit: u64,
    /// The last index applied to the state machine.
    pub applied: u64,
    /// The last index in the log.
    pub last_index: u64,
    /// The index that the last snapshot covers.
    pub snapshot_index: u64,
    /// The members in force, committed or not.
    pub members: Vec<member::Member>,
    /// How long the leader lease holds, counted from the time given to the last
    /// step; 0 unless this replica is the leader and has a lease.
    pub lease_remaining_ms: u64,
}

/// Totals since the host was opened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Entries appended to the logs.
    pub entries: u64,
    /// Syncs of the write-ahead log.
    pub syncs: u64,
    /// Bytes written to the write-ahead log.
    pub log_bytes: u64,
    /// Snapshots written to the disk.
    pub snapshots: u64,
    /// Bytes of the snapshots written to the disk.
    pub snapshot_bytes: u64,
}

/// All groups of a process with one shared write-ahead log.
pub struct Host<E: Edge> {
    replica: ReplicaId,
    machines: BTreeMap<GroupId, E::Machine>,
    _disk: E::Disk,
}

impl<E: Edge> Host<E> {
    /// Handles inputs at a time and emits the outputs.
    ///
    /// `now_ms` is a monotonic clock in milliseconds, read after the inputs were
    /// collected: a lease read is only linearizable if the clock was read after
    /// the read was received. Outputs emitted before the disk sync reach
    /// `emit` before it, so that the network overlaps with the disk. One sync
    /// covers everything that the step writes.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails. The host then stops: its pending tickets are
    /// answered with [`Refusal::Lost`], all later inputs with
    /// [`Refusal::Stopped`], and no further message is sent.
    pub fn step(
        &mut self,
        inputs: Vec<Input>,
        now_ms: u64,
        emit: &mut dyn FnMut(Output),
    ) -> Result<(), storage::Error> {
        let _ = (inputs, now_ms, emit);
        Ok(())
    }

    /// Returns the state machine of a group.
    pub fn machine(&self, group: GroupId) -> Option<&E::Machine> {
        self.machines.get(&group)
    }

    /// Returns the state of this replica in a group.
    pub fn status(&self, group: GroupId) -> Option<Status> {
        let _ = group;
        None
    }

    /// Returns totals since the host was opened.
    pub fn stats(&self) -> Stats {
        Stats::default()
    }

    /// Returns the id of this replica.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }
}
