//! The routing table: chooses backend servers and counts the requests in flight.

use std::{collections, sync, time};

use bw_policy::{health, router};
use bw_wire::{backend, name};
use rand::SeedableRng;
use tokio::sync as async_sync;

use crate::clock;

/// Shortest time between two progress reports of a stream. Health rules detect
/// stalls of half a second and more, so that reporting each token has no benefit.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How long a backend server that refused a connection gets no new work, in
/// milliseconds. Its last announcement would keep it in use for longer than that.
const REFUSED_PAUSE_MS: u64 = 500;

/// The router and the health of backend servers behind a lock, shared by all
/// threads.
///
/// The lock is held only for short operations: the control thread takes it for
/// each announcement, not for a whole exchange.
pub struct Table {
    state: sync::Mutex<State>,
    clock: clock::Clock,
    changed: async_sync::Notify,
}

/// State behind the lock of a [`Table`].
pub struct State {
    /// Chooses backend servers and counts their requests in flight.
    pub router: router::Router,
    /// Health of the backend servers.
    pub health: health::Health,
    random: rand_pcg::Pcg64Mcg,
}

impl Table {
    /// Creates a table without backend servers. The seed is for random choices.
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

    /// Applies an announcement that the backend server itself sent to this entry VM.
    pub fn apply_direct_announcement(&self, announcement: &backend::Announcement) {
        self.with(|state, now_ms| state.router.apply_direct_announcement(announcement, now_ms));
    }

    /// Applies an announcement that came through control or another entry VM and
    /// is `age_ms` old.
    pub fn apply_announcement(&self, announcement: &backend::Announcement, age_ms: u64) {
        self.with(|state, now_ms| {
            state
                .router
                .apply_announcement(announcement, age_ms, now_ms)
        });
    }

    /// Runs a short operation on the state under its lock, with the time of the
    /// process clock.
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
        let (choice, attempt) = self.with(|state, now_ms| {
            let choice = state.router.choose(request, now_ms, &mut state.random)?;
            state.router.begin(&choice, request, now_ms);
            let attempt = state.health.begin(&choice.id, now_ms);
            Ok((choice, attempt))
        })?;
        self.changed.notify_one();
        Ok(Slot {
            table: sync::Arc::clone(self),
            choice,
            sharing: request.sharing,
            attempt: Some(attempt),
            outcome: health::Outcome::Cancelled,
            last_progress: None,
        })
    }

    /// Records that a backend server refused a connection. It gets no new work for
    /// half a second, in which it may restart.
    pub fn connection_refused(&self, id: &str) {
        self.with(|state, now_ms| state.router.reserve(id, now_ms + REFUSED_PAUSE_MS));
    }

    /// Returns the number of online requests of this entry VM in flight on each
    /// backend server.
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

    /// Returns whether a backend server has announced that it is leaving.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.with(|state, _| {
            let known = state.router.announcement(id);
            known.is_some_and(|known| known.state == backend::State::Leaving)
        })
    }

    /// Waits until a count of requests in flight changes; a change since the last
    /// call counts.
    pub async fn counts_changed(&self) {
        self.changed.notified().await;
    }
}

/// A request in flight on a backend server. It is counted there until it is
/// dropped.
pub struct Slot {
    table: sync::Arc<Table>,
    choice: router::Choice,
    sharing: router::Sharing,
    attempt: Option<health::Attempt>,
    outcome: health::Outcome,
    last_progress: Option<time::Instant>,
}

impl Slot {
    /// Returns the chosen backend server.
    pub fn choice(&self) -> &router::Choice {
        &self.choice
    }

    /// Returns with which other requests this one may share the backend server.
    pub fn sharing(&self) -> router::Sharing {
        self.sharing
    }

    /// Records that a token or a part of the response arrived.
    pub fn record_progress(&mut self) {
        let now = time::Instant::now();
        let recent = self
            .last_progress
            .is_some_and(|last| now.duration_since(last) < PROGRESS_INTERVAL);
        if recent {
            return;
        }
        self.last_progress = Some(now);
        if let Some(attempt) = &mut self.attempt {
            self.table
                .with(|state, now_ms| state.health.progress(attempt, now_ms));
        }
    }

    /// Sets how the request ended. Without it, the request counts as cancelled,
    /// which does not affect the health of the backend server.
    pub fn set_outcome(&mut self, outcome: health::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let attempt = self.attempt.take();
        self.table.with(|state, now_ms| {
            state.router.end(&self.choice, self.sharing, now_ms);
            if let Some(attempt) = attempt {
                state.health.end(attempt, self.outcome, now_ms);
            }
        });
        self.table.changed.notify_one();
    }
}
