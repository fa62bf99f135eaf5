//! The isolated run of an item with two strikes.

use std::sync;

use bw_wire::{command::work, name};

use super::{item, queue::Item};
use crate::{context, reservation::Reservation};

/// Time after which the other entry VMs' counts show that they have stopped to
/// send work to the reserved backend server.
const SETTLE_MS: u64 = 1_000;
/// How long the item waits for its backend server to become empty.
const WAIT_MS: u64 = 10_000;

/// An item that waits for, or runs on, a backend server without other work.
pub(super) struct Isolation {
    context: sync::Arc<context::Context>,
    /// Held until the run has ended.
    _reservation: Reservation,
    pub(super) place: item::Place,
    /// Absent while the item runs.
    item: Option<Item>,
    since_ms: u64,
}

impl Isolation {
    /// Begins to wait for a reserved backend server.
    pub(super) fn new(
        context: &sync::Arc<context::Context>,
        reservation: Reservation,
        place: item::Place,
        item: Item,
        now_ms: u64,
    ) -> Isolation {
        Isolation {
            context: sync::Arc::clone(context),
            _reservation: reservation,
            place,
            item: Some(item),
            since_ms: now_ms,
        }
    }

    /// Returns the item when its backend server is empty.
    pub(super) fn ready(&mut self, batch_streams: u32, now_ms: u64) -> Option<Item> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let backend = &self.place.backend;
        let online = self.context.shared.table.with(|state, _| {
            let (others, _) = state.router.fleet_on(backend);
            state.router.online_on(backend) + others
        });
        if age_ms < SETTLE_MS || batch_streams > 0 || online > 0 {
            return None;
        }
        self.item.take()
    }

    /// Returns the item when it has waited too long.
    pub(super) fn overdue(&mut self, now_ms: u64) -> Option<Item> {
        if now_ms.saturating_sub(self.since_ms) < WAIT_MS {
            return None;
        }
        self.item.take()
    }

    /// Returns whether the item that waits is one of a chunk.
    pub(super) fn waits_for(&self, chunk: &work::ChunkRef) -> bool {
        let item = self.item.as_ref();
        item.is_some_and(|item| item.work.chunk == *chunk)
    }

    pub(super) fn backend(&self) -> &name::Name {
        &self.place.backend
    }
}
