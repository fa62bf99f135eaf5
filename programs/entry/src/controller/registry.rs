//! Announcements of backend servers with their ages.

use std::collections;

use bw_wire::{backend, name, sync as wire_sync};

use super::listing;

/// Age after which a backend server that is silent is forgotten.
const FORGET_MS: u64 = 60_000;

/// What is known of the backend servers, for the exchange with control.
#[derive(Debug, Default)]
pub(super) struct Registry {
    known: collections::BTreeMap<name::Name, Known>,
}

#[derive(Debug)]
struct Known {
    announcement: backend::Announcement,
    heard_ms: u64,
    reported: bool,
}

/// An announcement that a request carries.
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
    /// Takes an announcement that was made at `heard_ms`, and returns whether
    /// it is news: a new backend server, incarnation or state.
    pub(super) fn hear(
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
        // An incarnation that left stays away, whatever arrives late.
        if known.announcement.incarnation == announcement.incarnation
            && known.announcement.state == backend::State::Leaving
        {
            return false;
        }
        let news = known.announcement.incarnation != announcement.incarnation
            || known.announcement.state != announcement.state
            || known.announcement.loaded != announcement.loaded;
        if order(announcement) == order(&known.announcement) {
            // What control says of a copy can become more exact, while a copy
            // that arrives here later is no new proof.
            if !direct {
                known.heard_ms = known.heard_ms.max(heard_ms);
            }
            return false;
        }
        known.announcement.clone_from(announcement);
        known.heard_ms = heard_ms;
        known.reported = !direct;
        news
    }

    /// Returns what the next exchange reports: what was heard here since the
    /// last one, or everything. Times count from a origin.
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

    /// Marks announcements as reported.
    pub(super) fn reported(&mut self, reported: &[Reported]) {
        for reported in reported {
            if let Some(known) = self.known.get_mut(&reported.id)
                && known.announcement.incarnation == reported.incarnation
                && known.announcement.sequence == reported.sequence
            {
                known.reported = true;
            }
        }
    }

    /// Returns the announcements.
    pub(super) fn announcements(&self) -> impl Iterator<Item = &backend::Announcement> {
        self.known.values().map(|known| &known.announcement)
    }

    /// Returns the announcement of a backend server.
    pub(super) fn get(&self, id: &str) -> Option<&backend::Announcement> {
        self.known.get(id).map(|known| &known.announcement)
    }

    /// Forgets backend servers that were silent for long.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        self.known
            .retain(|_, known| now_ms.saturating_sub(known.heard_ms) < FORGET_MS);
    }
}
