//! The announcements of backend servers and when they were heard.

use std::collections;

use bw_wire::{backend, name, sync as wire_sync};

use super::listing;

/// Age of the last announcement after which a backend server is forgotten, in
/// milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

/// The last announcement of each backend server. The exchange with control reports
/// those that were heard directly.
#[derive(Debug, Default)]
pub(super) struct Registry {
    known: collections::BTreeMap<name::Name, Known>,
}

#[derive(Debug)]
struct Known {
    announcement: backend::Announcement,
    heard_ms: u64,
    /// Whether control knows the announcement.
    reported: bool,
}

/// Identifies an announcement that a request to control carries.
#[derive(Debug)]
pub(super) struct Reported {
    id: name::Name,
    incarnation: u64,
    sequence: u64,
}

impl Reported {
    pub(super) fn new(announcement: &backend::Announcement) -> Reported {
        Reported {
            id: announcement.id.clone(),
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
        }
    }
}

impl Registry {
    /// Applies an announcement that was heard at `heard_ms`, directly or through
    /// others. Returns whether it has a new backend server or incarnation, or
    /// another state or other loaded models.
    pub(super) fn apply(
        &mut self,
        announcement: &backend::Announcement,
        heard_ms: u64,
        direct: bool,
    ) -> bool {
        let Some(known) = self.known.get_mut(&announcement.id) else {
            let known = Known {
                announcement: announcement.clone(),
                heard_ms,
                reported: !direct,
            };
            self.known.insert(announcement.id.clone(), known);
            return true;
        };
        let order = |announcement: &backend::Announcement| {
            (announcement.incarnation, announcement.sequence)
        };
        if order(announcement) < order(&known.announcement) {
            return false;
        }
        // An incarnation that is leaving does not return: a later announcement of
        // another state only arrived out of order.
        if known.announcement.incarnation == announcement.incarnation
            && known.announcement.state == backend::State::Leaving
        {
            return false;
        }
        let is_changed = known.announcement.incarnation != announcement.incarnation
            || known.announcement.state != announcement.state
            || known.announcement.loaded != announcement.loaded;
        if order(announcement) == order(&known.announcement) {
            // Control may give the time of the same announcement more exactly. A
            // repeated direct one proves nothing new.
            if !direct {
                known.heard_ms = known.heard_ms.max(heard_ms);
            }
            return false;
        }
        known.announcement.clone_from(announcement);
        known.heard_ms = heard_ms;
        known.reported = !direct;
        is_changed
    }

    /// Returns what the next exchange reports: what was heard directly since the
    /// last one, or everything. Times count from `origin`.
    pub(super) fn report(
        &self,
        origin: listing::Origin,
        everything: bool,
    ) -> Vec<wire_sync::Dated> {
        self.known
            .values()
            .filter(|known| everything || !known.reported)
            .map(|known| wire_sync::Dated {
                announcement: known.announcement.clone(),
                at_ms: origin.offset_ms(known.heard_ms),
            })
            .collect()
    }

    /// Marks announcements as reported, unless a newer one was heard since.
    pub(super) fn mark_reported(&mut self, reported: &[Reported]) {
        for reported in reported {
            if let Some(known) = self.known.get_mut(&reported.id)
                && known.announcement.incarnation == reported.incarnation
                && known.announcement.sequence == reported.sequence
            {
                known.reported = true;
            }
        }
    }

    /// Returns the last announcement of each backend server.
    pub(super) fn announcements(&self) -> impl Iterator<Item = &backend::Announcement> {
        self.known.values().map(|known| &known.announcement)
    }

    /// Returns the last announcement of a backend server.
    pub(super) fn get(&self, id: &str) -> Option<&backend::Announcement> {
        self.known.get(id).map(|known| &known.announcement)
    }

    /// Returns when an incarnation of a backend server was last heard, if it is the latest
    /// one that is known.
    pub(super) fn heard_ms(&self, id: &str, incarnation: u64) -> Option<u64> {
        let known = self.known.get(id)?;
        (known.announcement.incarnation == incarnation).then_some(known.heard_ms)
    }

    /// Forgets backend servers that were not heard of for a minute.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        self.known
            .retain(|_, known| now_ms.saturating_sub(known.heard_ms) < FORGET_AFTER_MS);
    }
}
