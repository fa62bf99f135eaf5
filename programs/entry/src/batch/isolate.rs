//! The trial of an item on a backend server that is reserved for it.

use std::sync;

use bw_wire::{command::work, name};

use super::{item, queue::Item};
use crate::{context, reservation::Reservation};

/// Time after which the other entry VMs' counts show that they have stopped to
/// send work to the reserved backend server.
const SETTLE_MS: u64 = 1_000;
/// How long the item waits for its backend server to become empty. Long online
/// answers may take longer, so that the item then runs beside them.
const WAIT_MS: u64 = 10_000;

/// Why a reserved backend server is taken into use.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Ready {
    /// It is empty.
    Empty,
    /// Only online requests that are no suspects are left after the wait.
    WaitOver,
}

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

    /// Returns the item when its backend server is empty, or when it has waited
    /// long enough and no suspect is left there.
    pub(super) fn ready(&mut self, batch_streams: u32, now_ms: u64) -> Option<(Item, Ready)> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        if age_ms < SETTLE_MS || batch_streams > 0 {
            return None;
        }
        let backend = &self.place.backend;
        let (online, suspects) = self.context.shared.table.with(|state, _| {
            let router = &state.router;
            let (others, _) = router.fleet_on(backend);
            let online = router.online_on(backend) + others;
            (online, router.suspects_on(backend))
        });
        let ready = if online == 0 {
            Ready::Empty
        } else if age_ms >= WAIT_MS && suspects == 0 {
            Ready::WaitOver
        } else {
            return None;
        };
        self.item.take().map(|item| (item, ready))
    }

    /// Returns the item when it has waited too long or its backend server is
    /// not the one that was reserved any more.
    pub(super) fn overdue(&mut self, now_ms: u64) -> Option<Item> {
        let place = &self.place;
        let table = &self.context.shared.table;
        let is_gone = table.has_restarted(&place.backend, place.incarnation)
            || table.is_leaving(&place.backend);
        if now_ms.saturating_sub(self.since_ms) < WAIT_MS && !is_gone {
            return None;
        }
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
