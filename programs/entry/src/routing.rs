//! The backend servers as the traffic threads see them, and the choice among them.

use std::{collections, sync, time};

use bw_policy::{health, router};
use bw_wire::{backend, name};
use rand::SeedableRng;
use tokio::sync as async_sync;

use crate::clock;

/// How often a stream reports that it moves on. Health rules look for silences
/// of half a second and more, so that reporting each token would gain nothing.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How long a backend server that refused a connection gets no new work. Its
/// last announcement keeps it listed for longer than that.
const REFUSED_MS: u64 = 500;

/// The router, the health of backend servers and the counts of requests in
/// flight, shared by all threads.
///
/// Every operation is short: the control thread takes the lock once for each
/// announcement, never for a whole exchange.
pub struct Table {
    state: sync::Mutex<State>,
    clock: clock::Clock,
    changed: async_sync::Notify,
}

/// What the lock of a [`Table`] guards.
pub struct State {
    /// The choice of backend servers.
    pub router: router::Router,
    /// Their health.
    pub health: health::Health,
    random: rand_pcg::Pcg64Mcg,
}

impl Table {
    /// Creates a table without backend servers.
    pub fn new(builder: router::Builder, clock: clock::Clock, seed: u64) -> Table {
        Table {
            state: sync::Mutex::new(State {
                router: builder.build(),
                health: health::Builder::new().build(),
                random: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            }),
            clock,
            changed: async_sync::Notify::new(),
        }
    }

    /// Takes an announcement that arrives from the backend server itself.
    pub fn apply_direct_announcement(&self, announcement: &backend::Announcement) {
        self.with(|state, now_ms| state.router.apply_direct_announcement(announcement, now_ms));
    }

    /// Takes an announcement that is `age_ms` old.
    pub fn apply_announcement(&self, announcement: &backend::Announcement, age_ms: u64) {
        self.with(|state, now_ms| {
            state
                .router
                .apply_announcement(announcement, age_ms, now_ms)
        });
    }

    /// Runs a short operation on the state, with the time of the process clock.
    pub fn with<R>(&self, operation: impl FnOnce(&mut State, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        let state = self.state.lock();
        operation(
            &mut state.unwrap_or_else(sync::PoisonError::into_inner),
            now_ms,
        )
    }

    /// Chooses a backend server and counts the request as in flight there
    /// until the slot is dropped.
    ///
    /// # Errors
    ///
    /// Fails with the main reason why no backend server can be used.
    pub fn pick(
        self: &sync::Arc<Self>,
        request: &router::Request<'_>,
    ) -> Result<Slot, router::Unavailable> {
        let (choice, flight) = self.with(|state, now_ms| {
            let choice = state.router.choose(request, now_ms, &mut state.random)?;
            state.router.begin(&choice, request, now_ms);
            let flight = state.health.begin(&choice.id, now_ms);
            Ok((choice, flight))
        })?;
        self.changed.notify_one();
        Ok(Slot {
            table: sync::Arc::clone(self),
            choice,
            sharing: request.sharing,
            flight: Some(flight),
            outcome: health::Outcome::Cancelled,
            progressed: None,
        })
    }

    /// Keeps new work from a backend server that refused a connection, until
    /// it may have been started again.
    pub fn connection_refused(&self, id: &str) {
        self.with(|state, now_ms| state.router.reserve(id, now_ms + REFUSED_MS));
    }

    /// Returns the online requests in flight by backend server.
    pub fn online(&self) -> collections::BTreeMap<name::Name, u32> {
        self.with(|state, _| state.router.online())
    }

    /// Returns whether a later incarnation of a backend server is known.
    pub fn has_restarted(&self, id: &str, incarnation: u64) -> bool {
        self.with(|state, _| {
            let known = state.router.announcement(id);
            known.is_some_and(|known| known.incarnation > incarnation)
        })
    }

    /// Returns whether a backend server has said that it leaves.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.with(|state, _| {
            let known = state.router.announcement(id);
            known.is_some_and(|known| known.state == backend::State::Leaving)
        })
    }

    /// Waits until a count changed since the last call.
    pub async fn counts_changed(&self) {
        self.changed.notified().await;
    }
}

/// A request in flight on a backend server.
pub struct Slot {
    table: sync::Arc<Table>,
    choice: router::Choice,
    sharing: router::Sharing,
    flight: Option<health::Attempt>,
    outcome: health::Outcome,
    progressed: Option<time::Instant>,
}

impl Slot {
    /// Returns the backend server.
    pub fn choice(&self) -> &router::Choice {
        &self.choice
    }

    /// Returns how the request shares the backend server.
    pub fn sharing(&self) -> router::Sharing {
        self.sharing
    }

    /// Notes a token or a response byte.
    pub fn record_progress(&mut self) {
        let now = time::Instant::now();
        let recent = self
            .progressed
            .is_some_and(|last| now.duration_since(last) < PROGRESS_INTERVAL);
        if recent {
            return;
        }
        self.progressed = Some(now);
        if let Some(flight) = &mut self.flight {
            self.table
                .with(|state, now_ms| state.health.progress(flight, now_ms));
        }
    }

    /// Notes how the request ended. A slot that is dropped without counts as
    /// cancelled, which says nothing about the backend server.
    pub fn set_outcome(&mut self, outcome: health::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let flight = self.flight.take();
        self.table.with(|state, now_ms| {
            state.router.end(&self.choice, self.sharing, now_ms);
            if let Some(flight) = flight {
                state.health.end(flight, self.outcome, now_ms);
            }
        });
        self.table.changed.notify_one();
    }
}
