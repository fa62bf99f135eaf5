//! Construction of a host.

use std::{collections::BTreeMap, io};

use crate::{
    GroupId, ReplicaId, host,
    host::{backup, recovery},
    member, storage,
};

/// Default minimum of the randomized election timeout.
const ELECTION_TIMEOUT_MS: u64 = 1_000;
/// Default interval between heartbeats. Ten fit into an election timeout, so that a
/// few lost heartbeats do not cause an election.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// The default drift margin and heartbeat interval are the election timeout divided
/// by this.
const TIMEOUT_DIVISOR: u64 = 10;
/// Default size of a segment of the write-ahead log.
const SEGMENT_BYTES: u64 = 16 << 20;
/// Default size of a group's log since its last snapshot at which the next one is
/// taken.
const SNAPSHOT_LOG_BYTES: u64 = 16 << 20;
/// Default size of the entries kept in memory after a snapshot for slow replicas.
const RETAINED_BYTES: u64 = 4 << 20;
/// Default size of a payload segment. One sync covers at most one segment, so that a
/// step does not take long.
const PAYLOAD_SEGMENT_BYTES: u32 = 16 << 20;
/// Default size of a snapshot chunk.
const CHUNK_BYTES: usize = 256 << 10;
/// Default maximum size of the entries in one message.
const APPEND_BYTES: u64 = 1 << 20;
/// Default maximum size of unacknowledged entries sent to one replica.
const INFLIGHT_BYTES: u64 = 8 << 20;
/// Default size of uncommitted entries above which proposals are refused with
/// [`host::Refusal::Busy`].
const PENDING_BYTES: u64 = 64 << 20;

/// Limits and timeouts of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub election_timeout_ms: u64,
    pub heartbeat_interval_ms: u64,
    pub drift_margin_ms: u64,
    pub segment_bytes: u64,
    pub snapshot_log_bytes: u64,
    pub retained_bytes: u64,
    pub payload_segment_bytes: u32,
    pub chunk_bytes: usize,
    pub append_bytes: u64,
    pub inflight_bytes: u64,
    pub pending_bytes: u64,
    pub span_domains: bool,
    pub lease_reads: bool,
    pub automatic_promotion: bool,
    pub seed: u64,
}

impl Options {
    /// Returns for how long the leader lease is valid after a broadcast.
    pub fn lease_ms(&self) -> u64 {
        self.election_timeout_ms
            .saturating_sub(self.drift_margin_ms)
    }
}

/// Builds a [`host::Host`].
pub struct Builder<T: host::Types> {
    replica: ReplicaId,
    members: Vec<member::Member>,
    machines: BTreeMap<GroupId, T::Machine>,
    backups: BTreeMap<GroupId, backup::Source>,
    options: Options,
}

impl<T: host::Types> Builder<T> {
    /// Starts with a replica id and the initial members of every group.
    ///
    /// The members are used only if the disk is empty; later they are read from the
    /// log. All initial members must be started with the same list. A replica that
    /// joins an existing group is started with an empty list (or one that it is not
    /// part of) and waits until a leader adds it as a learner. A replica whose disk
    /// was lost must join under a new id: with the old id and the initial members it
    /// could vote twice in the same term.
    pub fn new(replica: ReplicaId, members: Vec<member::Member>) -> Builder<T> {
        Builder {
            replica,
            members,
            machines: BTreeMap::new(),
            backups: BTreeMap::new(),
            options: Options {
                election_timeout_ms: ELECTION_TIMEOUT_MS,
                heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
                drift_margin_ms: ELECTION_TIMEOUT_MS / TIMEOUT_DIVISOR,
                segment_bytes: SEGMENT_BYTES,
                snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
                retained_bytes: RETAINED_BYTES,
                payload_segment_bytes: PAYLOAD_SEGMENT_BYTES,
                chunk_bytes: CHUNK_BYTES,
                append_bytes: APPEND_BYTES,
                inflight_bytes: INFLIGHT_BYTES,
                pending_bytes: PENDING_BYTES,
                span_domains: false,
                lease_reads: true,
                automatic_promotion: true,
                seed: replica.0,
            },
        }
    }

    /// Adds a group with its state machine in the initial state.
    pub fn group(mut self, group: GroupId, machine: T::Machine) -> Builder<T> {
        self.machines.insert(group, machine);
        self
    }

    /// Starts a group with the state of a backup, as read by
    /// [`host::Host::read_backup`], instead of the initial state. The disk must be empty
    /// or hold an interrupted restore, see [`host::awaits_restore`].
    ///
    /// The members are the ones given to [`Builder::new`], and all of them must be
    /// restored from the same backup. Commands acknowledged after the backup are
    /// lost, so this is only for a cluster that has permanently lost its majority.
    pub fn restore(mut self, group: GroupId, backup: impl io::Read + Send + 'static) -> Builder<T> {
        let source = backup::Source(Box::new(backup));
        self.backups.insert(group, source);
        self
    }

    /// Requires that every commit spans at least two failure domains. A group
    /// whose voters are all in one failure domain then commits nothing.
    pub fn span_failure_domains(mut self, required: bool) -> Builder<T> {
        self.options.span_domains = required;
        self
    }

    /// Sets whether the leader promotes each learner that has caught up. If not, learners
    /// vote only after [`member::Change::Promote`].
    pub fn automatic_promotion(mut self, enabled: bool) -> Builder<T> {
        self.options.automatic_promotion = enabled;
        self
    }

    /// Sets the minimum election timeout in milliseconds, and a tenth of it as the
    /// heartbeat interval and the drift margin. All replicas must use the same.
    pub fn election_timeout_ms(mut self, timeout_ms: u64) -> Builder<T> {
        self.options.election_timeout_ms = timeout_ms;
        self.options.heartbeat_interval_ms = (timeout_ms / TIMEOUT_DIVISOR).max(1);
        self.options.drift_margin_ms = (timeout_ms / TIMEOUT_DIVISOR).max(1);
        self
    }

    /// Sets the interval between heartbeats in milliseconds.
    pub fn heartbeat_interval_ms(mut self, interval_ms: u64) -> Builder<T> {
        self.options.heartbeat_interval_ms = interval_ms;
        self
    }

    /// Sets by how many milliseconds two clocks may drift apart during one election
    /// timeout. The leader lease is shorter than the election timeout by this.
    pub fn drift_margin_ms(mut self, margin_ms: u64) -> Builder<T> {
        self.options.drift_margin_ms = margin_ms;
        self
    }

    /// Sets the size in bytes at which a new segment of the write-ahead log is
    /// started.
    pub fn segment_bytes(mut self, bytes: u64) -> Builder<T> {
        self.options.segment_bytes = bytes;
        self
    }

    /// Sets the size in bytes of a group's log since its last snapshot at which the
    /// next one is taken. If the state is larger, the log has to reach the size of
    /// the state, so that the cost of snapshots stays proportional to the log.
    pub fn snapshot_log_bytes(mut self, bytes: u64) -> Builder<T> {
        self.options.snapshot_log_bytes = bytes;
        self
    }

    /// Sets the size in bytes of the entries that stay in memory after a snapshot, so
    /// that replicas that lag a little need no snapshot.
    pub fn retained_bytes(mut self, bytes: u64) -> Builder<T> {
        self.options.retained_bytes = bytes;
        self
    }

    /// Sets the size in bytes at which a new segment of a group's payloads is
    /// started.
    pub fn payload_segment_bytes(mut self, bytes: u32) -> Builder<T> {
        self.options.payload_segment_bytes = bytes;
        self
    }

    /// Sets the size of the chunks in which a snapshot is sent, in bytes.
    pub fn chunk_bytes(mut self, bytes: usize) -> Builder<T> {
        self.options.chunk_bytes = bytes.max(1);
        self
    }

    /// Sets the maximum size in bytes of the entries in one message. A larger entry is
    /// sent on its own.
    pub fn append_bytes(mut self, bytes: u64) -> Builder<T> {
        self.options.append_bytes = bytes;
        self
    }

    /// Sets the maximum size in bytes of unacknowledged entries sent to one replica.
    pub fn inflight_bytes(mut self, bytes: u64) -> Builder<T> {
        self.options.inflight_bytes = bytes;
        self
    }

    /// Sets the size in bytes of a group's uncommitted entries above which proposals
    /// are refused with [`host::Refusal::Busy`].
    pub fn pending_bytes(mut self, bytes: u64) -> Builder<T> {
        self.options.pending_bytes = bytes;
        self
    }

    /// Sets whether a leader with a lease serves reads without contacting the other
    /// replicas. Otherwise every read waits for one round of heartbeats.
    pub fn lease_reads(mut self, enabled: bool) -> Builder<T> {
        self.options.lease_reads = enabled;
        self
    }

    /// Sets the seed for the randomized election timeouts. The default is the replica
    /// id.
    pub fn seed(mut self, seed: u64) -> Builder<T> {
        self.options.seed = seed;
        self
    }

    /// Recovers the replica from its disk or initializes an empty disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails, holds corrupt data, belongs to another replica or holds
    /// an unknown group, or if a backup is corrupt or its disk is not empty.
    pub fn open(self, disk: T::Disk) -> Result<host::Host<T>, storage::Error> {
        recovery::open(
            self.replica,
            self.members,
            self.machines,
            self.backups,
            self.options,
            disk,
        )
    }
}
