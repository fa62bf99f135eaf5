//! The trial of an item on a backend server that is reserved for it.

use std::sync;

use bw_policy::suspect::item::{Decision, Remaining};
use bw_wire::{command::work, name};

use super::{item, queue::Item};
use crate::{context, reservation::Reservation};

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

    /// Decides whether the item that waits starts, waits on or is given up.
    pub(super) fn step(&self, batch_streams: u32, now_ms: u64) -> Decision {
        let place = &self.place;
        let table = &self.context.shared.table;
        let is_gone = table.has_restarted(&place.backend, place.incarnation)
            || table.is_leaving(&place.backend);
        let rest = table.with(|state, _| {
            let router = &state.router;
            let (others, _) = router.fleet_online_on(&place.backend);
            Remaining {
                streams: batch_streams,
                online: router.online_on(&place.backend) + others,
                suspects: router.suspects_on(&place.backend),
            }
        });
        match Decision::of(rest, now_ms.saturating_sub(self.since_ms)) {
            Decision::Wait if is_gone => Decision::GiveUp,
            step => step,
        }
    }

    /// Takes the item that waits.
    pub(super) fn take(&mut self) -> Option<Item> {
        self.item.take()
    }

    /// Returns the chunk of the item that waits.
    pub(super) fn waiting(&self) -> Option<&work::ChunkRef> {
        self.item.as_ref().map(|item| &item.work.chunk)
    }

    pub(super) fn backend(&self) -> &name::Name {
        &self.place.backend
    }
}
