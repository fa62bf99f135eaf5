//! Probes of backend servers whose announcements are not renewed in time.

use std::{collections, time};

use bw_wire::{backend, name};

/// Age of the last proof at which a backend server is probed, in milliseconds. A
/// proof is an announcement or a successful probe. The age leaves time for an
/// answer before the proof is too old, and for renewals that arrive through
/// control.
pub(super) const PROBE_AGE_MS: u64 = 1_800;
/// Time limit of a probe.
pub(super) const TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Time since the first unanswered probe after which a backend server is no longer
/// probed, in milliseconds.
const GIVE_UP_AFTER_MS: u64 = 20_000;

/// The result of a probe.
#[derive(Debug)]
pub(super) struct Probed {
    /// Id of the backend server.
    pub(super) id: name::Name,
    /// Incarnation that the backend server had announced.
    pub(super) incarnation: u64,
    /// When the probe was sent, in milliseconds of the process clock.
    pub(super) sent_ms: u64,
    /// Whether the backend server takes work; `None` if it did not answer.
    pub(super) healthy: Option<bool>,
}

/// Decides which backend servers are probed.
#[derive(Debug, Default)]
pub(super) struct Probes {
    running: collections::HashSet<name::Name>,
    /// Backend servers that do not answer, with the time of the first such probe.
    failing: collections::HashMap<name::Name, u64>,
}

impl Probes {
    /// Returns whether a probe of a backend server should start, and counts it as
    /// running if so.
    pub(super) fn try_start(&mut self, announcement: &backend::Announcement, now_ms: u64) -> bool {
        let id = &announcement.id;
        let since_ms = self.failing.get(id).copied().unwrap_or(now_ms);
        if now_ms.saturating_sub(since_ms) > GIVE_UP_AFTER_MS || self.running.contains(id) {
            return false;
        }
        self.running.insert(id.clone());
        true
    }

    /// Records the result of a probe.
    pub(super) fn finish(&mut self, probed: &Probed) {
        self.running.remove(&probed.id);
        match probed.healthy {
            Some(_) => self.failing.remove(&probed.id),
            None => {
                let since = self.failing.entry(probed.id.clone());
                since.or_insert(probed.sent_ms);
                None
            }
        };
    }

    /// Clears the unanswered probes of a backend server, which has announced itself.
    pub(super) fn clear_failure(&mut self, id: &name::Name) {
        self.failing.remove(id);
    }
}
