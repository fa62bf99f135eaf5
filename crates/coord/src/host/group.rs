//! One group of a host: a node, its state machine and its snapshot.

use std::collections::BTreeMap;

use crate::{
    GroupId, ReplicaId,
    host::{Chunk, Machine, Options, Output, Refusal, Status},
    member,
    message::{Entry, Operation, SnapshotMeta},
    node, payload,
    snapshot::{Stored, Writer},
    storage::{Disk, Error},
};

/// While a snapshot is being sent, the next one is delayed until the log is this many
/// times larger than usual, so that the transfer can finish.
const SENDING_FACTOR: u64 = 4;

/// The content of an [`Output::Role`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ReportedRole {
    role: node::Role,
    term: u64,
    leader: Option<ReplicaId>,
}

/// A proposal that has not been answered yet, with the term of its entry.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: u64,
    term: u64,
}

pub(crate) struct Group<M> {
    id: GroupId,
    pub node: node::Node,
    pub machine: M,
    pub payloads: payload::Store,
    applied: u64,
    snapshot: Stored,
    writing: Option<Writer>,
    /// Reads the payloads of the last snapshot while it is being sent.
    sending: Option<payload::Sender>,
    /// Reads the payloads of the last snapshot while it is being backed up.
    backup: Option<payload::Sender>,
    /// Whether a snapshot was requested by [`Group::request_snapshot`].
    snapshot_requested: bool,
    /// Stores the payloads of a snapshot that is being received.
    receiving: Option<payload::Receiver>,
    /// Pending proposals and membership changes by index.
    pending: BTreeMap<u64, Pending>,
    /// What was last emitted as [`Output::Role`].
    reported: Option<ReportedRole>,
}

impl<M: Machine> Group<M> {
    pub fn new(
        id: GroupId,
        node: node::Node,
        machine: M,
        payloads: payload::Store,
        snapshot: Stored,
    ) -> Group<M> {
        Group {
            id,
            node,
            machine,
            payloads,
            applied: snapshot.meta.index,
            snapshot,
            writing: None,
            sending: None,
            backup: None,
            snapshot_requested: false,
            receiving: None,
            pending: BTreeMap::new(),
            reported: None,
        }
    }

    pub fn status(&self) -> Status {
        let log = self.node.log();
        Status {
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader(),
            commit: log.commit(),
            applied: self.applied,
            last_index: log.last_index(),
            snapshot_index: log.snapshot().index,
            members: self.node.members().members.clone(),
            lease_remaining_ms: self.node.lease_remaining_ms(),
        }
    }

    pub fn peers(&self) -> Option<Vec<member::plan::Peer>> {
        self.node.peers()
    }

    pub fn propose(&mut self, ticket: u64, command: Vec<u8>, emit: &mut dyn FnMut(Output)) {
        match self.node.propose(command) {
            Ok(index) => self.add_pending(index, ticket),
            Err(refusal) => emit(Output::Proposed {
                ticket,
                result: Err(refusal),
            }),
        }
    }

    pub fn change_members(
        &mut self,
        ticket: u64,
        change: &member::Change,
        emit: &mut dyn FnMut(Output),
    ) {
        let result = match self.node.change_members(change) {
            Ok(Some(index)) => return self.add_pending(index, ticket),
            Ok(None) => Ok(Vec::new()),
            Err(refusal) => Err(refusal),
        };
        emit(Output::Proposed { ticket, result });
    }

    fn add_pending(&mut self, index: u64, ticket: u64) {
        let term = self.node.term();
        self.pending.insert(index, Pending { ticket, term });
    }

    /// Applies the committed entries and answers their proposals.
    pub fn apply<D: Disk>(
        &mut self,
        disk: &mut D,
        emit: &mut dyn FnMut(Output),
    ) -> Result<(), Error> {
        while self.applied < self.node.log().commit() {
            let index = self.applied + 1;
            let Some(entry) = self.node.log().get(index).cloned() else {
                return Ok(());
            };
            self.applied = index;
            let result = self.apply_entry(disk, &entry)?;
            let Some(pending) = self.pending.remove(&index) else {
                continue;
            };
            let result = if pending.term == entry.term {
                Ok(self.complete(disk, &entry, result)?)
            } else {
                Err(Refusal::Lost)
            };
            emit(Output::Proposed {
                ticket: pending.ticket,
                result,
            });
        }
        Ok(())
    }

    fn apply_entry<D: Disk>(&mut self, disk: &mut D, entry: &Entry) -> Result<Vec<u8>, Error> {
        let Operation::Command(command) = &entry.operation else {
            return Ok(Vec::new());
        };
        let result = self.machine.apply(entry.index, command);
        for effect in self.machine.effects() {
            match effect {
                payload::Effect::Put { key, content } => self.payloads.put(disk, key, &content)?,
                payload::Effect::Remove { key } => self.payloads.remove(key),
            }
        }
        Ok(result)
    }

    /// Completes the result of the entry that was just applied with payloads.
    fn complete<D: Disk>(
        &self,
        disk: &mut D,
        entry: &Entry,
        result: Vec<u8>,
    ) -> Result<Vec<u8>, Error> {
        let store = &self.payloads;
        match &entry.operation {
            Operation::Command(_) => self
                .machine
                .complete(result, &mut payload::Reader { store, disk }),
            Operation::Empty | Operation::Members(_) => Ok(result),
        }
    }

    /// Reads and sends the requested chunks of the last snapshot.
    pub fn send_chunks<D: Disk>(&mut self, disk: &mut D, length: usize) -> Result<(), Error> {
        for request in std::mem::take(&mut self.node.out.chunk_requests) {
            let data = self.read_stream(disk, request.offset, length)?;
            self.node
                .send_chunk(request, self.snapshot.meta.clone(), data);
        }
        if self.sending.is_some() && !self.node.is_sending_snapshot() {
            self.sending = None;
        }
        Ok(())
    }

    /// Reads a chunk of the stream that is sent to other replicas: the data of the last
    /// snapshot, then the payloads.
    fn read_stream<D: Disk>(
        &mut self,
        disk: &mut D,
        offset: u64,
        length: usize,
    ) -> Result<Vec<u8>, Error> {
        let meta = &self.snapshot.meta;
        let Some(offset) = offset.checked_sub(meta.size) else {
            return self.snapshot.read(disk, offset, length);
        };
        if meta.payload_bytes == 0 {
            return Ok(Vec::new());
        }
        let sender = match self.sending.take() {
            Some(sender) => sender,
            None => payload_sender(&self.snapshot, disk)?,
        };
        let sender = self.sending.insert(sender);
        sender.read(&self.payloads, disk, offset, length)
    }

    /// Requests a snapshot and returns the smallest index that it will cover.
    pub fn request_snapshot(&mut self) -> u64 {
        self.snapshot_requested = true;
        self.applied
    }

    /// Reads a chunk of the backup: the snapshot file, then the payloads.
    pub fn read_backup<D: Disk>(
        &mut self,
        disk: &mut D,
        offset: u64,
        length: usize,
    ) -> Result<Chunk, Error> {
        let file_size = self.snapshot.file_size();
        let meta = &self.snapshot.meta;
        let (index, size) = (meta.index, file_size + meta.payload_bytes);
        let data = match offset.checked_sub(file_size) {
            None => disk.read(&self.snapshot.name, offset, length)?,
            Some(_) if offset >= size => Vec::new(),
            Some(offset) => {
                let sender = match self.backup.take() {
                    Some(sender) => sender,
                    None => payload_sender(&self.snapshot, disk)?,
                };
                let sender = self.backup.insert(sender);
                sender.read(&self.payloads, disk, offset, length)?
            }
        };
        Ok(Chunk { index, size, data })
    }

    /// Stores payloads that were received from the leader.
    pub fn store_payloads<D: Disk>(&mut self, disk: &mut D) -> Result<(), Error> {
        for event in std::mem::take(&mut self.node.out.payload_events) {
            match event {
                node::PayloadEvent::Abort => self.abort_receiving(disk)?,
                node::PayloadEvent::Start { list } => {
                    let earlier = self.receiving.take();
                    self.receiving = payload::Receiver::new(&list, &self.payloads, earlier);
                    if self.receiving.is_none() {
                        return self.reject_snapshot(disk);
                    }
                }
                node::PayloadEvent::Data(bytes) => {
                    let Some(receiver) = &mut self.receiving else {
                        continue;
                    };
                    let written = receiver.write(&mut self.payloads, disk, &bytes)?;
                    if written.is_err() {
                        return self.reject_snapshot(disk);
                    }
                }
            }
        }
        if let Some(receiver) = &self.receiving {
            self.node.payloads_stored(receiver.offset());
        }
        Ok(())
    }

    fn abort_receiving<D: Disk>(&mut self, disk: &mut D) -> Result<(), Error> {
        match self.receiving.take() {
            Some(receiver) => receiver.discard(&self.payloads, disk),
            None => Ok(()),
        }
    }

    fn reject_snapshot<D: Disk>(&mut self, disk: &mut D) -> Result<(), Error> {
        log::error!(
            "group {}: payloads of the snapshot from the leader are corrupt",
            self.id
        );
        self.node.reject_snapshot();
        self.node.out.payload_events.clear();
        self.abort_receiving(disk)
    }

    pub fn emit_immediate(&mut self, emit: &mut dyn FnMut(Output)) {
        for (to, message) in self.node.out.immediate.drain(..) {
            emit(Output::Send { to, message });
        }
    }

    /// Emits the messages that waited for the sync that has finished.
    pub fn emit_synced(&mut self, emit: &mut dyn FnMut(Output)) {
        for (to, message) in self.node.out.syncing.drain(..) {
            emit(Output::Send { to, message });
        }
    }

    /// Ends a step: emits messages that need no sync, outcomes of reads and, if the
    /// leadership was lost, of proposals, and role changes.
    pub fn end_step(&mut self, emit: &mut dyn FnMut(Output)) {
        self.emit_immediate(emit);
        self.node.release_reads(self.applied);
        for read in self.node.out.reads.drain(..) {
            emit(Output::ReadReady {
                ticket: read.ticket,
                result: read.result,
            });
        }
        if std::mem::take(&mut self.node.out.leadership_lost) {
            self.fail_pending(emit);
        }
        self.report_role(emit);
    }

    pub fn stop(&mut self, emit: &mut dyn FnMut(Output)) {
        self.node.stop();
        self.node.out.immediate.clear();
        self.fail_pending(emit);
        self.end_step(emit);
    }

    fn fail_pending(&mut self, emit: &mut dyn FnMut(Output)) {
        for pending in std::mem::take(&mut self.pending).into_values() {
            emit(Output::Proposed {
                ticket: pending.ticket,
                result: Err(Refusal::Lost),
            });
        }
    }

    fn report_role(&mut self, emit: &mut dyn FnMut(Output)) {
        let report = ReportedRole {
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader(),
        };
        if self.reported == Some(report) {
            return;
        }
        self.reported = Some(report);
        emit(Output::Role {
            group: self.id,
            role: report.role,
            term: report.term,
            leader: report.leader,
        });
    }

    /// Stores and restores a snapshot that was completely received from the leader, if
    /// there is one. Returns the number of snapshots written.
    pub fn install<D: Disk>(&mut self, disk: &mut D) -> Result<u64, Error> {
        let Some(mut install) = self.node.out.install.take() else {
            return Ok(0);
        };
        let complete = match self.receiving.take() {
            Some(receiver) => receiver.finish(&mut self.payloads, disk)?,
            None => false,
        };
        if !complete {
            self.reject_snapshot(disk)?;
            return Ok(0);
        }
        let mut data = std::mem::take(&mut install.data);
        data.truncate(install.meta.state_size as usize);
        self.machine
            .restore(&data)
            .map_err(|source| Error::Restore {
                group: self.id,
                source,
            })?;
        // The locations in the leader's list do not apply to this replica.
        install.meta = self.append_payload_list(&mut data, install.meta);
        while !self.payloads.sync(disk)? {}
        let writer = Writer::new(self.id, install.meta.clone(), &data);
        let stored = writer.complete(disk)?;
        self.payloads.finish_snapshot();
        self.writing = None;
        self.applied = install.meta.index;
        self.node.installed(&install);
        self.replace_snapshot(disk, stored)?;
        Ok(1)
    }

    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns the size of the log since the last snapshot at which the next one is
    /// taken: at least the size of that snapshot, so that the cost of snapshots stays
    /// proportional to the log.
    pub fn snapshot_threshold(&self, options: &Options) -> u64 {
        options.snapshot_log_bytes.max(self.snapshot.meta.size)
    }

    /// Returns whether a snapshot was requested or the log has reached the threshold.
    pub fn snapshot_due(&self, options: &Options) -> bool {
        let log = self.node.log();
        if self.snapshot_requested {
            return self.applied > log.snapshot().index;
        }
        let limit = self.snapshot_threshold(options);
        let factor = if self.node.is_sending_snapshot() {
            SENDING_FACTOR
        } else {
            1
        };
        log.live_bytes() >= limit * factor && self.applied > log.snapshot().index
    }

    /// Writes a chunk of the snapshot in progress, or starts one. Returns its size once
    /// it is complete.
    pub fn write_snapshot<D: Disk>(&mut self, disk: &mut D) -> Result<Option<u64>, Error> {
        let mut writer = match self.writing.take() {
            Some(writer) => writer,
            None => self.start_snapshot(),
        };
        // The snapshot must not become valid before the payloads it refers to are
        // durable.
        if !self.payloads.sync(disk)? {
            self.writing = Some(writer);
            return Ok(None);
        }
        let Some(stored) = writer.advance(disk)? else {
            self.writing = Some(writer);
            return Ok(None);
        };
        self.payloads.finish_snapshot();
        let size = stored.meta.size;
        self.node.compact(stored.meta.clone());
        self.replace_snapshot(disk, stored)?;
        Ok(Some(size))
    }

    fn start_snapshot(&mut self) -> Writer {
        self.snapshot_requested = false;
        let mut data = self.machine.snapshot();
        let meta = SnapshotMeta {
            index: self.applied,
            term: self.node.log().term_at(self.applied).unwrap_or(0),
            members: self.node.members_at(self.applied).clone(),
            size: 0,
            crc: 0,
            state_size: 0,
            payload_bytes: 0,
        };
        let meta = self.append_payload_list(&mut data, meta);
        Writer::new(self.id, meta, &data)
    }

    /// Appends the list of the live payloads to a state and returns the metadata of
    /// both.
    fn append_payload_list(&mut self, data: &mut Vec<u8>, meta: SnapshotMeta) -> SnapshotMeta {
        let state_size = data.len() as u64;
        data.extend(self.payloads.start_snapshot());
        SnapshotMeta {
            size: data.len() as u64,
            crc: crc32fast::hash(data),
            state_size,
            payload_bytes: self.payloads.live_bytes(),
            ..meta
        }
    }

    fn replace_snapshot<D: Disk>(&mut self, disk: &mut D, stored: Stored) -> Result<(), Error> {
        let earlier = std::mem::replace(&mut self.snapshot, stored);
        self.sending = None;
        self.backup = None;
        disk.remove(&earlier.name)
    }
}

/// Returns a stream of the payloads that a snapshot lists.
fn payload_sender<D: Disk>(snapshot: &Stored, disk: &mut D) -> Result<payload::Sender, Error> {
    let meta = &snapshot.meta;
    let list_size = (meta.size - meta.state_size) as usize;
    let list = snapshot.read(disk, meta.state_size, list_size)?;
    payload::Sender::new(&list)
        .ok_or_else(|| Error::corrupt(&snapshot.name, meta.state_size, "malformed list"))
}
