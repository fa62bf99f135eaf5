//! The host of all groups of a process.

mod backup;
mod builder;
mod event;
mod group;
mod recovery;

use std::{collections::BTreeMap, fmt};

use crate::{
    GroupId, ReplicaId, member, node, payload,
    storage::{self, Disk},
    wal,
};

pub use backup::{Chunk, awaits_restore};
pub use builder::Builder;
pub(crate) use builder::Options;
pub use event::{Input, Output, Refusal};

/// A deterministic replicated state machine.
///
/// The result of each call depends only on the state and the arguments, so that
/// all replicas reach the same state.
///
/// Large values that the machine does not need to apply commands are payloads: it
/// keeps their keys, and the host keeps their contents on the disk. The machine
/// returns changes of payloads as effects instead of using the store itself.
/// Therefore it performs no I/O, a disk error stops the replica without passing
/// through the machine, and a machine without payloads implements only three
/// methods.
pub trait Machine {
    /// Applies a committed command and returns its result.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Takes the changes that the last command makes to the payloads of the group. The
    /// host calls it after each [`Machine::apply`] and applies the effects in order.
    fn effects(&mut self) -> Vec<payload::Effect> {
        Vec::new()
    }

    /// Completes the result of the last command with payloads.
    ///
    /// It is called only on the replica that answers the proposer, right after the
    /// effects of the command were applied. So the other replicas read nothing, and no
    /// later command has removed a payload.
    ///
    /// # Errors
    ///
    /// Returns the errors of the source. The replica then stops.
    fn complete(
        &self,
        result: Vec<u8>,
        _payloads: &mut dyn payload::Source,
    ) -> Result<Vec<u8>, storage::Error> {
        Ok(result)
    }

    /// Returns the encoded state. The host is blocked meanwhile, so this must take much
    /// less time than an election timeout.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with one that [`Machine::snapshot`] returned.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid state. The replica then stops.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

/// Why a state machine cannot be restored from a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoreError {
    reason: String,
}

impl RestoreError {
    /// Builds an error with a reason, which its `Display` implementation returns.
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

/// The types that a program plugs into a [`Host`].
pub trait Types {
    /// The disk that holds the log, the snapshots and the payloads.
    type Disk: storage::Disk;
    /// The state machine of every group; an enum if the groups differ.
    type Machine: Machine;
}

/// The state of a replica in one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The role of this replica.
    pub role: node::Role,
    /// The latest term that this replica knows.
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
    /// The latest members, committed or not.
    pub members: Vec<member::Member>,
    /// For how long this replica holds the leader lease, counted from the time given
    /// to the last step; 0 if it does not hold it.
    pub lease_remaining_ms: u64,
}

/// Counters since the host was opened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Entries appended to the logs of all groups.
    pub entries: u64,
    /// Finished syncs of the write-ahead log.
    pub syncs: u64,
    /// Bytes written to the write-ahead log.
    pub log_bytes: u64,
    /// Snapshots written to the disk, own ones and those received from a leader.
    pub snapshots: u64,
    /// Bytes of the own snapshots written to the disk, without metadata.
    pub snapshot_bytes: u64,
}

/// All groups of a process with one shared write-ahead log.
pub struct Host<T: Types> {
    replica: ReplicaId,
    options: Options,
    disk: T::Disk,
    wal: wal::Wal,
    groups: BTreeMap<GroupId, group::Group<T::Machine>>,
    now_ms: u64,
    /// The time of the step that started the last sync of the log.
    sync_began_ms: u64,
    stopped: bool,
    /// An error of a read between two steps, which the next step returns.
    read_error: Option<storage::Error>,
    /// The earliest time of the next background work on payloads.
    next_maintenance_ms: u64,
    /// The group whose payload store did background work last.
    last_maintained: Option<GroupId>,
    stats: Stats,
}

/// Smallest interval between two steps of background work on payloads, so that
/// compaction writes at most about 100 MB/s.
const MAINTENANCE_INTERVAL_MS: u64 = 10;

impl<T: Types> Host<T> {
    /// Handles inputs, runs timers and emits the outputs.
    ///
    /// `now_ms` is a monotonic clock in milliseconds, read after the inputs were
    /// collected: a lease read is only linearizable if the clock was read after
    /// the read was received. The appends of a leader are emitted before the disk
    /// sync, so that network and disk work in parallel. One sync covers everything
    /// that the step writes. If it does not finish within the step, the following
    /// steps still send and answer heartbeats, and their writes share the next sync.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails. The host then stops: pending proposals and membership
    /// changes are answered with [`Refusal::Lost`], pending reads with
    /// [`Refusal::NotLeader`] and all later inputs with [`Refusal::Stopped`], and no
    /// further message is sent.
    pub fn step(
        &mut self,
        inputs: Vec<Input>,
        now_ms: u64,
        emit: &mut dyn FnMut(Output),
    ) -> Result<(), storage::Error> {
        if self.stopped {
            refuse_all(inputs.into_iter(), emit);
            return Err(storage::Error::Stopped);
        }
        self.now_ms = self.now_ms.max(now_ms);
        let mut inputs = inputs.into_iter();
        let result = match self.read_error.take() {
            Some(error) => Err(error),
            None => self.run(&mut inputs, emit),
        };
        if let Err(error) = &result {
            log::error!("replica {} stops: {error}", self.replica);
            self.stop(emit);
            refuse_all(inputs, emit);
        }
        result
    }

    /// Returns the state machine of a group.
    pub fn machine(&self, group: GroupId) -> Option<&T::Machine> {
        self.groups.get(&group).map(|group| &group.machine)
    }

    /// Reads the state machine of a group together with its payloads, or returns
    /// `None` if the host does not run the group.
    ///
    /// # Errors
    ///
    /// Returns the error of the function, which must be one of the source. The next
    /// step then stops the host.
    pub fn read<R>(
        &mut self,
        group: GroupId,
        function: impl FnOnce(&T::Machine, &mut dyn payload::Source) -> Result<R, storage::Error>,
    ) -> Result<Option<R>, storage::Error> {
        if self.stopped || self.read_error.is_some() {
            return Err(storage::Error::Stopped);
        }
        let Some(group) = self.groups.get(&group) else {
            return Ok(None);
        };
        let mut payloads = payload::Reader {
            store: &group.payloads,
            disk: &mut self.disk,
        };
        let result = function(&group.machine, &mut payloads);
        if let Err(error) = &result {
            self.read_error = Some(error.clone());
        }
        result.map(Some)
    }

    /// Returns the payload store of a group; `None` if the host does not run the group.
    pub fn payloads(&self, group: GroupId) -> Option<&payload::Store> {
        self.groups.get(&group).map(|group| &group.payloads)
    }

    /// Returns the state of this replica in a group; `None` if the host does not run the
    /// group.
    pub fn status(&self, group: GroupId) -> Option<Status> {
        self.groups.get(&group).map(group::Group::status)
    }

    /// Returns the members of a group as this replica sees them, `None` unless it leads
    /// the group. [`member::plan`] decides on them.
    pub fn peers(&self, group: GroupId) -> Option<Vec<member::plan::Peer>> {
        self.groups.get(&group).and_then(group::Group::peers)
    }

    /// Returns the counters since the host was opened.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns for how long a sync of the log has been running, in milliseconds up to
    /// the time given to the last step, or `None` if none is running.
    pub fn syncing_ms(&self) -> Option<u64> {
        let running = self.wal.is_syncing();
        running.then(|| self.now_ms - self.sync_began_ms)
    }

    /// Returns the id of this replica.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    fn run(
        &mut self,
        inputs: &mut std::vec::IntoIter<Input>,
        emit: &mut dyn FnMut(Output),
    ) -> Result<(), storage::Error> {
        for group in self.groups.values_mut() {
            group.node.set_now(self.now_ms);
        }
        if self.wal.is_syncing() && self.disk.poll_sync()? {
            self.finish_sync(emit)?;
        }
        for input in inputs {
            self.handle(input, emit)?;
        }
        for group in self.groups.values_mut() {
            group.node.tick();
            group.node.replicate();
            group.send_chunks(&mut self.disk, self.options.chunk_bytes)?;
            group.emit_immediate(emit);
            group.apply(&mut self.disk, emit)?;
        }
        self.persist(emit)?;
        for group in self.groups.values_mut() {
            group.node.finish_transfer();
            group.end_step(emit);
        }
        self.write_snapshots()?;
        self.maintain_payloads()
    }

    fn handle(&mut self, input: Input, emit: &mut dyn FnMut(Output)) -> Result<(), storage::Error> {
        let group = match &input {
            Input::Tick => return Ok(()),
            Input::Message { message, .. } => message.group(),
            Input::Propose { group, .. }
            | Input::Read { group, .. }
            | Input::Transfer { group }
            | Input::ChangeMembers { group, .. } => *group,
        };
        let Some(group) = self.groups.get_mut(&group) else {
            refuse(input, emit);
            return Ok(());
        };
        match input {
            Input::Tick => {}
            Input::Message { from, message } => {
                group.node.receive(from, message);
                group.store_payloads(&mut self.disk)?;
                self.stats.snapshots += group.install(&mut self.disk)?;
            }
            Input::Propose {
                ticket, command, ..
            } => group.propose(ticket, command, emit),
            Input::Read { ticket, .. } => group.node.read(ticket),
            Input::Transfer { .. } => group.node.transfer(),
            Input::ChangeMembers { ticket, change, .. } => {
                group.change_members(ticket, &change, emit);
            }
        }
        Ok(())
    }

    /// Writes the records of all groups with one sync. While a sync is running, new
    /// records and the messages that depend on them are queued for the next one.
    fn persist(&mut self, emit: &mut dyn FnMut(Output)) -> Result<(), storage::Error> {
        // A snapshot must cover only durable entries.
        let wait = self.starts_snapshot();
        if self.wal.is_syncing() && wait {
            self.disk.wait_sync()?;
            self.finish_sync(emit)?;
        }
        if self.wal.is_syncing() {
            return Ok(());
        }
        let finished = self.write_records()?;
        if !finished && wait {
            self.disk.wait_sync()?;
        }
        match finished || wait {
            true => self.finish_sync(emit),
            false => Ok(()),
        }
    }

    /// Writes the records of all groups. Returns whether they are synced.
    fn write_records(&mut self) -> Result<bool, storage::Error> {
        for (id, group) in &mut self.groups {
            for record in group.node.take_records() {
                self.stats.entries += u64::from(matches!(record, wal::Record::Entry(_)));
                self.wal.push(*id, &record);
            }
        }
        for group in self.groups.values_mut() {
            group.node.sync_started();
        }
        if !self.wal.has_pending() {
            return Ok(true);
        }
        self.relocate();
        if self.wal.opens_segment() {
            for (id, group) in &self.groups {
                self.wal.push(*id, &group.node.vote_record());
            }
        }
        self.sync_began_ms = self.now_ms;
        self.wal.start_commit(&mut self.disk)
    }

    /// Ends a sync: emits the messages that waited for it, counts its entries as
    /// durable and applies what is committed thereby.
    fn finish_sync(&mut self, emit: &mut dyn FnMut(Output)) -> Result<(), storage::Error> {
        if self.wal.is_syncing() {
            self.stats.log_bytes += self.wal.finish_commit();
            self.stats.syncs += 1;
        }
        for group in self.groups.values_mut() {
            group.emit_synced(emit);
            group.node.persisted();
            group.apply(&mut self.disk, emit)?;
        }
        let groups = &self.groups;
        self.wal
            .remove_covered(&mut self.disk, |group| snapshot_index(groups, group))
    }

    /// Returns whether a snapshot is due and none is being written.
    fn starts_snapshot(&self) -> bool {
        let due = |group: &group::Group<T::Machine>| group.snapshot_due(&self.options);
        !self.groups.values().any(group::Group::is_writing) && self.groups.values().any(due)
    }

    /// Writes the live entries of idle groups again, so that old segments can be
    /// removed.
    ///
    /// Groups with the same write rate take their snapshots before the log exceeds the
    /// sum of their thresholds. If it grows further, an idle group keeps the old
    /// segments. Its live entries, which are smaller than its threshold, are then
    /// written again, once each time the other groups have written that sum.
    fn relocate(&mut self) {
        let groups = &self.groups;
        let allowed_bytes = groups
            .values()
            .map(|group| group.snapshot_threshold(&self.options))
            .sum();
        let quiet = self
            .wal
            .groups_to_relocate(allowed_bytes, |group| snapshot_index(groups, group));
        for id in quiet {
            let Some(group) = groups.get(&id) else {
                continue;
            };
            for entry in group.node.log().live() {
                self.wal.push(id, &wal::Record::Entry(entry.clone()));
            }
            self.wal.mark_relocated(id);
        }
    }

    /// Continues the snapshot that is being written or starts one that is due. Only
    /// one is written at a time, which bounds the memory use and the delay.
    fn write_snapshots(&mut self) -> Result<(), storage::Error> {
        let writing = self
            .groups
            .iter()
            .find(|(_, group)| group.is_writing())
            .or_else(|| {
                let mut groups = self.groups.iter();
                // A snapshot must cover only durable entries.
                let idle = !self.wal.is_syncing();
                groups.find(|(_, group)| idle && group.snapshot_due(&self.options))
            });
        let Some((id, _)) = writing else {
            return Ok(());
        };
        let Some(group) = self.groups.get_mut(&id.clone()) else {
            return Ok(());
        };
        if let Some(size) = group.write_snapshot(&mut self.disk)? {
            self.stats.snapshots += 1;
            self.stats.snapshot_bytes += size;
        }
        Ok(())
    }

    /// Does a step of background work on the payload store of one group, in turn for
    /// all groups.
    fn maintain_payloads(&mut self) -> Result<(), storage::Error> {
        if self.now_ms < self.next_maintenance_ms {
            return Ok(());
        }
        self.next_maintenance_ms = self.now_ms + MAINTENANCE_INTERVAL_MS;
        let last = self.last_maintained.unwrap_or(GroupId(u32::MAX));
        let next = self.groups.keys().find(|group| **group > last);
        self.last_maintained = next.or_else(|| self.groups.keys().next()).copied();
        let group = self.last_maintained.and_then(|id| self.groups.get_mut(&id));
        match group {
            Some(group) => group.payloads.maintain(&mut self.disk),
            None => Ok(()),
        }
    }

    fn stop(&mut self, emit: &mut dyn FnMut(Output)) {
        self.stopped = true;
        for group in self.groups.values_mut() {
            group.stop(emit);
        }
    }
}

fn snapshot_index<M: Machine>(groups: &BTreeMap<GroupId, group::Group<M>>, id: GroupId) -> u64 {
    groups
        .get(&id)
        .map_or(0, |group| group.node.log().snapshot().index)
}

fn refuse_all(inputs: impl Iterator<Item = Input>, emit: &mut dyn FnMut(Output)) {
    for input in inputs {
        refuse(input, emit);
    }
}

/// Refuses an input, because the host has stopped or does not run its group.
fn refuse(input: Input, emit: &mut dyn FnMut(Output)) {
    match input {
        Input::Propose { ticket, .. } | Input::ChangeMembers { ticket, .. } => {
            emit(Output::Proposed {
                ticket,
                result: Err(Refusal::Stopped),
            });
        }
        Input::Read { ticket, .. } => emit(Output::ReadReady {
            ticket,
            result: Err(Refusal::Stopped),
        }),
        Input::Tick | Input::Message { .. } | Input::Transfer { .. } => {}
    }
}
