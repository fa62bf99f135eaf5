//! Counts of the current runs, by backend server.

use std::collections::BTreeMap;

use bw_wire::name::Name;

use super::{Item, Key, Server, Start, State};

/// The number of runs at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Count {
    /// All runs, including those that are being stopped.
    pub(super) all: u32,
    /// Runs that are being stopped.
    stopping: u32,
}

impl Count {
    /// Returns the number of runs that are not being stopped.
    pub(super) fn continuing(self) -> u32 {
        self.all - self.stopping
    }
}

/// Counts of the current runs at all backend servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    /// The number of runs that have begun so far, which numbers them.
    begun: u64,
    servers: BTreeMap<Name, Count>,
}

impl Runs {
    /// Returns the number of runs at a backend server.
    pub(super) fn at(&self, server: &str) -> Count {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Marks an item as running, counts its run and returns how to start it.
    pub(super) fn begin(
        &mut self,
        key: Key,
        host: &Name,
        item: &mut Item,
        server: &Server,
        now_ms: u64,
    ) -> Start {
        self.begun += 1;
        self.servers.entry(server.id.clone()).or_default().all += 1;
        item.state = State::Running {
            server: server.id.clone(),
            number: self.begun,
            since_ms: now_ms,
            stopping: false,
        };
        Start {
            key,
            id: item.id.clone(),
            host: host.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            server: server.id.clone(),
            address: server.address.clone(),
            progress: item.waiting.progress.clone(),
            orphan: None,
            trial: false,
        }
    }

    /// Records that a run at a backend server is being stopped.
    pub(super) fn stop(&mut self, server: &Name) {
        self.servers.entry(server.clone()).or_default().stopping += 1;
    }

    /// Records that a run at a backend server has ended. `stopping` says whether it was
    /// being stopped.
    pub(super) fn end(&mut self, server: &str, stopping: bool) {
        let Some(count) = self.servers.get_mut(server) else {
            return;
        };
        count.all = count.all.saturating_sub(1);
        if stopping {
            count.stopping = count.stopping.saturating_sub(1);
        }
        if count.all == 0 {
            self.servers.remove(server);
        }
    }
}
