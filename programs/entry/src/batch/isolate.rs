//! The trial of an item on a backend server that is reserved for it.

use std::sync;

use bw_policy::suspect::item::{Decision, Remaining};
use bw_wire::{command::work, name};

use super::{item, queue::Item};
use crate::{context, reservation::Reservation};

/// A trial that waits for its reserved backend server to become empty, or runs on
/// it.
pub(super) struct Isolation {
    context: sync::Arc<context::Context>,
    /// Ends when it is dropped, so it is held until the run has ended.
    _reservation: Reservation,
    pub(super) server: item::Server,
    /// `None` while the item runs.
    item: Option<Item>,
    /// When the backend server was reserved, on the process clock.
    reserved_ms: u64,
}

impl Isolation {
    /// Starts to wait for a reserved backend server to become empty.
    pub(super) fn new(
        context: &sync::Arc<context::Context>,
        reservation: Reservation,
        server: item::Server,
        item: Item,
        now_ms: u64,
    ) -> Isolation {
        Isolation {
            context: sync::Arc::clone(context),
            _reservation: reservation,
            server,
            item: Some(item),
            reserved_ms: now_ms,
        }
    }

    /// Decides whether the waiting trial starts, keeps waiting or is given up, beside
    /// `batch_streams` of this entry VM on the backend server.
    pub(super) fn decide(&self, batch_streams: u32, now_ms: u64) -> Decision {
        let server = &self.server;
        let table = &self.context.shared.table;
        let is_unavailable = table.has_restarted(&server.backend, server.incarnation)
            || table.is_leaving(&server.backend);
        let remaining = table.with(|state, _| {
            let router = &state.router;
            let (others, _) = router.fleet_online_on(&server.backend);
            Remaining {
                streams: batch_streams,
                online: router.online_on(&server.backend) + others,
                suspects: router.suspects_on(&server.backend),
            }
        });
        match Decision::of(remaining, now_ms.saturating_sub(self.reserved_ms)) {
            Decision::Wait if is_unavailable => Decision::GiveUp,
            decision => decision,
        }
    }

    /// Takes the waiting item in order to start it.
    pub(super) fn take_item(&mut self) -> Option<Item> {
        self.item.take()
    }

    /// Returns the chunk of the waiting item, or `None` while the item runs.
    pub(super) fn waiting_chunk(&self) -> Option<&work::ChunkRef> {
        self.item.as_ref().map(|item| &item.work.chunk)
    }

    pub(super) fn backend(&self) -> &name::Name {
        &self.server.backend
    }
}
