//! Probes of backend servers whose renewals stay out.

use std::{collections, time};

use bw_wire::{backend, name};

/// Age of the last proof at which a backend server is probed. It leaves time
/// for an answer before the proof is too old, and lets renewals that are heard
/// through control arrive first.
pub(super) const PROBE_AGE_MS: u64 = 1_800;
/// Time limit of a probe.
pub(super) const TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Age of the last announcement after which a backend server that does not
/// answer probes is no longer probed.
const GIVE_UP_MS: u64 = 20_000;

/// The result of a probe.
#[derive(Debug)]
pub(super) struct Probed {
    /// The backend server.
    pub(super) id: name::Name,
    /// Its incarnation as announced.
    pub(super) incarnation: u64,
    /// When the probe was sent.
    pub(super) sent_ms: u64,
    /// Whether the backend server takes work; absent if it did not answer.
    pub(super) healthy: Option<bool>,
}

/// Decides which backend servers are probed.
#[derive(Debug, Default)]
pub(super) struct Probes {
    running: collections::HashSet<name::Name>,
    failing: collections::HashMap<name::Name, u64>,
}

impl Probes {
    /// Returns whether a probe of a backend server shall start, and notes it.
    pub(super) fn start(&mut self, announcement: &backend::Announcement, now_ms: u64) -> bool {
        let id = &announcement.id;
        let since_ms = self.failing.get(id).copied().unwrap_or(now_ms);
        if now_ms.saturating_sub(since_ms) > GIVE_UP_MS || self.running.contains(id) {
            return false;
        }
        self.running.insert(id.clone());
        true
    }

    /// Notes the end of a probe.
    pub(super) fn end(&mut self, probed: &Probed) {
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

    /// Notes that a backend server was heard of.
    pub(super) fn heard(&mut self, id: &name::Name) {
        self.failing.remove(id);
    }
}
