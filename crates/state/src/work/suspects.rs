//! Requests that were in flight when a backend server crashed.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, fingerprint, name};

/// Most suspects that are kept; a further one replaces the one that expires first.
const SUSPECTS_MAX: usize = 10_000;
/// Most crashes counted per suspect. At this count, a caller's request is already
/// refused, which happens after three, and the pause of an item is at its longest. The
/// record expires with the last crash that is counted.
const CRASHES_MAX: usize = 16;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Suspects {
    suspects: collections::BTreeMap<fingerprint::Fingerprint, Record>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    suspect: work::Suspect,
    /// The backend servers whose crash was counted, with their incarnation.
    crashes: Vec<name::Name>,
}

impl Suspects {
    /// Counts the crash of a backend server for a request in flight there, unless
    /// that crash is already counted.
    pub(super) fn strike(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        backend: name::Name,
        isolated: bool,
        until_ms: u64,
    ) -> work::Suspect {
        self.evict_for(&fingerprint);
        let record = self.suspects.entry(fingerprint).or_insert_with(|| Record {
            suspect: work::Suspect {
                fingerprint,
                strikes: 0,
                isolated: 0,
                until_ms,
            },
            crashes: Vec::new(),
        });
        if record.crashes.contains(&backend) || record.crashes.len() >= CRASHES_MAX {
            return record.suspect;
        }
        record.crashes.push(backend);
        record.suspect.strikes += 1;
        record.suspect.isolated += u32::from(isolated);
        record.suspect.until_ms = until_ms;
        record.suspect
    }

    pub(super) fn clear(&mut self, fingerprint: &fingerprint::Fingerprint) {
        self.suspects.remove(fingerprint);
    }

    pub(super) fn list(&self) -> Vec<work::Suspect> {
        self.suspects
            .values()
            .map(|record| record.suspect)
            .collect()
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.suspects
            .retain(|_, record| now_ms < record.suspect.until_ms);
    }

    fn evict_for(&mut self, fingerprint: &fingerprint::Fingerprint) {
        if self.suspects.len() < SUSPECTS_MAX || self.suspects.contains_key(fingerprint) {
            return;
        }
        let first = self
            .suspects
            .iter()
            .min_by_key(|(_, record)| record.suspect.until_ms)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.suspects.remove(&first);
        }
    }
}
