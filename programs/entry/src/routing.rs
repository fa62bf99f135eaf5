//! The backend servers as the traffic threads see them, and the choice among them.

use std::{collections, sync};

use bw_policy::router;
use bw_wire::{backend, name};
use rand::SeedableRng;
use tokio::sync as async_sync;

use crate::clock;

/// The router and the counts of requests in flight, shared by all threads.
///
/// Every operation is short: the control thread takes the lock once for each
/// announcement, never for a whole exchange.
pub struct Table {
    state: sync::Mutex<State>,
    clock: clock::Clock,
    changed: async_sync::Notify,
}

struct State {
    router: router::Router,
    random: rand_pcg::Pcg64Mcg,
}

impl Table {
    /// Creates a table without backend servers.
    pub fn new(builder: router::Builder, clock: clock::Clock, seed: u64) -> Table {
        Table {
            state: sync::Mutex::new(State {
                router: builder.build(),
                random: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            }),
            clock,
            changed: async_sync::Notify::new(),
        }
    }

    /// Takes an announcement that is `age_ms` old.
    pub fn announce(&self, announcement: &backend::Announcement, age_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.lock().router.announce(announcement, age_ms, now_ms);
    }

    /// Runs a short operation on the router.
    pub fn with<R>(&self, operation: impl FnOnce(&mut router::Router, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        operation(&mut self.lock().router, now_ms)
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
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let State { router, random } = &mut *state;
        let choice = router.choose(request, now_ms, random)?;
        router.begin(&choice, request, now_ms);
        drop(state);
        self.changed.notify_one();
        Ok(Slot {
            table: sync::Arc::clone(self),
            choice,
            fit: request.fit,
        })
    }

    /// Returns the online requests in flight by backend server.
    pub fn online(&self) -> collections::BTreeMap<name::Name, u32> {
        self.lock().router.online()
    }

    /// Waits until a count changed since the last call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A request in flight on a backend server.
pub struct Slot {
    table: sync::Arc<Table>,
    choice: router::Choice,
    fit: router::Fit,
}

impl Slot {
    /// Returns the backend server.
    pub fn choice(&self) -> &router::Choice {
        &self.choice
    }

    /// Returns how the request shares the backend server.
    pub fn fit(&self) -> router::Fit {
        self.fit
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now_ms = self.table.clock.now_ms();
        self.table.lock().router.end(&self.choice, self.fit, now_ms);
        self.table.changed.notify_one();
    }
}
