//! Backups for operators: pieces of a group's durable snapshot.

use bw_coord::{GroupId, host};
use bw_wire::rpc;

use crate::{
    core::Core,
    network::call::{Failure, Reply},
};

/// Bytes in one answer.
const PIECE_BYTES: usize = 256 << 10;

/// A call that waits until the snapshot is durable.
pub(super) struct Pending {
    group: GroupId,
    /// The snapshot has at least this index.
    index: u64,
    reply: Reply<rpc::Piece>,
}

impl Core {
    /// Begins a backup of what the group has applied, which a linearizable read
    /// has confirmed to be all that was answered.
    pub(super) fn begin_backup(&mut self, group: u32, reply: Reply<rpc::Piece>) {
        let group = GroupId(group);
        match self.parts.host.request_snapshot(group) {
            Some(index) => self.backups.push(Pending {
                group,
                index,
                reply,
            }),
            // The caller may have gone.
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
            // The caller may have gone.
            let _ = reply.send(piece);
        }
    }

    /// Returns a later piece of a backup that was begun here.
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
            // The next step stops the replica.
            Err(error) => Err(Failure::Invalid(error.to_string())),
        }
    }
}

fn no_group() -> Failure {
    Failure::Invalid("the group does not exist".to_owned())
}
