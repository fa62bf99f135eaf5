//! One group of a host: a node, its state machine and its snapshot.

use std::collections::BTreeMap;

use crate::{
    GroupId, ReplicaId,
    host::{Machine, Options, Output, Refusal, Status},
    member,
    message::{Entry, Payload, SnapshotMeta},
    node,
    snapshot::{Stored, Writer},
    storage::{Disk, Error},
};

/// While a snapshot is being sent, the next one is put off until the log is this
/// many times larger than usual, so that the transfer can finish.
const SENDING_FACTOR: u64 = 4;

/// What was last reported as [`Output::Role`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Report {
    role: node::Role,
    term: u64,
    leader: Option<ReplicaId>,
}

/// A proposal without an outcome.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    term: u64,
}

pub(crate) struct Group<M> {
    id: GroupId,
    pub node: node::Node,
    pub machine: M,
    applied: u64,
    snapshot: Stored,
    writing: Option<Writer>,
    waiting: BTreeMap<u64, Waiting>,
    reported: Option<Report>,
}

impl<M: Machine> Group<M> {
    pub fn new(id: GroupId, node: node::Node, machine: M, snapshot: Stored) -> Group<M> {
        Group {
            id,
            node,
            machine,
            applied: snapshot.meta.index,
            snapshot,
            writing: None,
            waiting: BTreeMap::new(),
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

    pub fn propose(&mut self, ticket: u64, command: Vec<u8>, emit: &mut dyn FnMut(Output)) {
        match self.node.propose(command) {
            Ok(index) => self.wait(index, ticket),
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
            Ok(Some(index)) => return self.wait(index, ticket),
            Ok(None) => Ok(Vec::new()),
            Err(refusal) => Err(refusal),
        };
        emit(Output::Proposed { ticket, result });
    }

    fn wait(&mut self, index: u64, ticket: u64) {
        let term = self.node.term();
        self.waiting.insert(index, Waiting { ticket, term });
    }

    /// Applies the committed entries and answers their proposals.
    pub fn apply(&mut self, emit: &mut dyn FnMut(Output)) {
        while self.applied < self.node.log().commit() {
            let index = self.applied + 1;
            let Some(entry) = self.node.log().get(index).cloned() else {
                return;
            };
            self.applied = index;
            let result = self.apply_entry(&entry);
            let Some(waiting) = self.waiting.remove(&index) else {
                continue;
            };
            let result = if waiting.term == entry.term {
                Ok(result)
            } else {
                Err(Refusal::Lost)
            };
            emit(Output::Proposed {
                ticket: waiting.ticket,
                result,
            });
        }
    }

    fn apply_entry(&mut self, entry: &Entry) -> Vec<u8> {
        match &entry.payload {
            Payload::Command(command) => self.machine.apply(entry.index, command),
            Payload::Empty | Payload::Members(_) => Vec::new(),
        }
    }

    /// Reads the pieces of the snapshot that are to be sent.
    pub fn send_pieces<D: Disk>(&mut self, disk: &mut D, length: usize) -> Result<(), Error> {
        for piece in std::mem::take(&mut self.node.out.pieces) {
            let data = self.snapshot.read(disk, piece.offset, length)?;
            self.node
                .send_piece(piece, self.snapshot.meta.clone(), data);
        }
        Ok(())
    }

    pub fn emit_early(&mut self, emit: &mut dyn FnMut(Output)) {
        for (to, message) in self.node.out.early.drain(..) {
            emit(Output::Send { to, message });
        }
    }

    pub fn emit_late(&mut self, emit: &mut dyn FnMut(Output)) {
        for (to, message) in self.node.out.late.drain(..) {
            emit(Output::Send { to, message });
        }
    }

    /// Ends a step: reads, lost proposals, role changes and messages that need
    /// no sync.
    pub fn finish(&mut self, emit: &mut dyn FnMut(Output)) {
        self.emit_early(emit);
        self.node.release_reads(self.applied);
        for read in self.node.out.reads.drain(..) {
            emit(Output::ReadReady {
                ticket: read.ticket,
                result: read.result,
            });
        }
        if std::mem::take(&mut self.node.out.leadership_lost) {
            self.lose_waiting(emit);
        }
        self.report_role(emit);
    }

    pub fn stop(&mut self, emit: &mut dyn FnMut(Output)) {
        self.node.stop();
        self.node.out.early.clear();
        self.lose_waiting(emit);
        self.finish(emit);
    }

    fn lose_waiting(&mut self, emit: &mut dyn FnMut(Output)) {
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            emit(Output::Proposed {
                ticket: waiting.ticket,
                result: Err(Refusal::Lost),
            });
        }
    }

    fn report_role(&mut self, emit: &mut dyn FnMut(Output)) {
        let report = Report {
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

    /// Stores and restores a snapshot that has arrived from the leader. Returns
    /// the number of snapshots written.
    pub fn install<D: Disk>(&mut self, disk: &mut D) -> Result<u64, Error> {
        let Some(install) = self.node.out.install.take() else {
            return Ok(0);
        };
        self.machine
            .restore(&install.data)
            .map_err(|source| Error::Restore {
                group: self.id,
                source,
            })?;
        let writer = Writer::new(self.id, install.meta.clone(), &install.data);
        let stored = writer.complete(disk)?;
        self.writing = None;
        self.applied = install.meta.index;
        self.node.installed(&install);
        self.replace_snapshot(disk, stored)?;
        Ok(1)
    }

    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns the size of the log since the last snapshot that justifies
    /// writing the state.
    pub fn log_limit(&self, options: &Options) -> u64 {
        options.snapshot_log_bytes.max(self.snapshot.meta.size)
    }

    /// Returns whether the log has grown enough to justify writing the state.
    pub fn snapshot_due(&self, options: &Options) -> bool {
        let log = self.node.log();
        let limit = self.log_limit(options);
        let factor = if self.node.sends_snapshot() {
            SENDING_FACTOR
        } else {
            1
        };
        log.live_bytes() >= limit * factor && self.applied > log.snapshot().index
    }

    /// Writes a piece of the snapshot. Returns its size once it is complete.
    pub fn write_snapshot<D: Disk>(&mut self, disk: &mut D) -> Result<Option<u64>, Error> {
        let mut writer = match self.writing.take() {
            Some(writer) => writer,
            None => self.start_snapshot(),
        };
        let Some(stored) = writer.advance(disk)? else {
            self.writing = Some(writer);
            return Ok(None);
        };
        let size = stored.meta.size;
        self.node.compact(stored.meta.clone());
        self.replace_snapshot(disk, stored)?;
        Ok(Some(size))
    }

    fn start_snapshot(&self) -> Writer {
        let data = self.machine.snapshot();
        let meta = SnapshotMeta {
            index: self.applied,
            term: self.node.log().term_at(self.applied).unwrap_or(0),
            members: self.node.members_at(self.applied).clone(),
            size: data.len() as u64,
            crc: crc32fast::hash(&data),
        };
        Writer::new(self.id, meta, &data)
    }

    fn replace_snapshot<D: Disk>(&mut self, disk: &mut D, stored: Stored) -> Result<(), Error> {
        let earlier = std::mem::replace(&mut self.snapshot, stored);
        disk.remove(&earlier.name)
    }
}
