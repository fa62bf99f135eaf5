//! Backups for operators, which fetch a group's durable snapshot in pieces.

use bw_coord::{GroupId, host};
use bw_wire::rpc;

use crate::{
    core::Core,
    network::call::{Failure, Reply},
};

/// Most bytes of the snapshot in one answer.
const PIECE_BYTES: usize = 256 << 10;

/// A call that waits until the snapshot is durable.
pub(super) struct Pending {
    group: GroupId,
    /// The snapshot has at least this index.
    index: u64,
    reply: Reply<rpc::Piece>,
}

impl Core {
    /// Begins a backup of the state that the group has applied. The linearizable read
    /// before it ensures that this includes all acknowledged commands.
    pub(super) fn begin_backup(&mut self, group: u32, reply: Reply<rpc::Piece>) {
        let group = GroupId(group);
        match self.parts.host.request_snapshot(group) {
            Some(index) => self.backups.push(Pending {
                group,
                index,
                reply,
            }),
            // The caller may have disconnected.
            None => drop(reply.send(Err(no_group()))),
        }
    }

    /// Answers the calls whose snapshot is durable.
    pub(super) fn answer_backups(&mut self) {
        let host = &self.parts.host;
        let is_durable = |pending: &mut Pending| {
            let status = host.status(pending.group);
            status.is_none_or(|status| status.snapshot_index >= pending.index)
        };
        let durable: Vec<Pending> = self.backups.extract_if(.., is_durable).collect();
        for Pending { group, reply, .. } in durable {
            let piece = self.read_backup(group, 0);
            // The caller may have disconnected.
            let _ = reply.send(piece);
        }
    }

    /// Returns a further piece of a backup, if its snapshot is still the current one.
    pub(super) fn continue_backup(
        &mut self,
        request: &rpc::Backup,
        index: u64,
    ) -> Result<rpc::Piece, Failure> {
        let piece = self.read_backup(GroupId(request.group), request.offset)?;
        if piece.index == index {
            return Ok(piece);
        }
        let message = "a later snapshot has replaced this one, begin the group's backup again";
        Err(Failure::Invalid(message.to_owned()))
    }

    fn read_backup(&mut self, group: GroupId, offset: u64) -> Result<rpc::Piece, Failure> {
        match self.parts.host.read_backup(group, offset, PIECE_BYTES) {
            Ok(Some(host::Chunk { index, size, data })) => Ok(rpc::Piece::new(index, size, &data)),
            Ok(None) => Err(no_group()),
            // A disk error stops the replica in its next step.
            Err(error) => Err(Failure::Invalid(error.to_string())),
        }
    }
}

fn no_group() -> Failure {
    Failure::Invalid("the group does not exist".to_owned())
}
