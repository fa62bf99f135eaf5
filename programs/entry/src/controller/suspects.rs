//! Requests that were in flight when backend servers crashed.

use std::collections;

use bw_wire::{command, fingerprint};

type Suspects = collections::HashMap<fingerprint::Fingerprint, command::work::Suspect>;

/// How long a strike that was heard of directly holds although control's list
/// lacks it. It covers the time until the recorded strike is in the list.
const LOCAL_MS: u64 = 5_000;

/// The suspects as control, peers and this entry VM report them.
#[derive(Debug, Default)]
pub(super) struct Table {
    suspects: Suspects,
    local_until_ms: collections::HashMap<fingerprint::Fingerprint, u64>,
}

impl Table {
    /// Counts a strike before it is recorded.
    pub(super) fn strike(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        isolated: bool,
        now_ms: u64,
    ) -> command::work::Suspect {
        let known = self.suspects.get(&fingerprint);
        let mut suspect = known.copied().unwrap_or(command::work::Suspect {
            fingerprint,
            strikes: 0,
            isolated: 0,
            until_ms: 0,
        });
        suspect.strikes += 1;
        suspect.isolated += u32::from(isolated);
        self.merge(&suspect, now_ms);
        suspect
    }

    /// Takes a report of a suspect. Strikes never decrease until it is cleared.
    pub(super) fn merge(&mut self, suspect: &command::work::Suspect, now_ms: u64) {
        let known = self.suspects.entry(suspect.fingerprint).or_insert(*suspect);
        known.strikes = known.strikes.max(suspect.strikes);
        known.isolated = known.isolated.max(suspect.isolated);
        known.until_ms = known.until_ms.max(suspect.until_ms);
        let until_ms = now_ms + LOCAL_MS;
        self.local_until_ms.insert(suspect.fingerprint, until_ms);
    }

    /// Takes the full list of control, which no longer holds those that were
    /// cleared or expired elsewhere. Returns whether anything changed.
    pub(super) fn replace(&mut self, listed: &[command::work::Suspect], now_ms: u64) -> bool {
        self.local_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let mut next: Suspects = listed
            .iter()
            .map(|suspect| (suspect.fingerprint, *suspect))
            .collect();
        for fingerprint in self.local_until_ms.keys() {
            let Some(local) = self.suspects.get(fingerprint) else {
                continue;
            };
            let known = next.entry(*fingerprint).or_insert(*local);
            known.strikes = known.strikes.max(local.strikes);
            known.isolated = known.isolated.max(local.isolated);
        }
        let changed = next != self.suspects;
        self.suspects = next;
        changed
    }

    /// Removes a suspect.
    pub(super) fn clear(&mut self, fingerprint: &fingerprint::Fingerprint) {
        self.suspects.remove(fingerprint);
        self.local_until_ms.remove(fingerprint);
    }

    /// Returns a copy for a snapshot.
    pub(super) fn snapshot(&self) -> Suspects {
        self.suspects.clone()
    }
}
