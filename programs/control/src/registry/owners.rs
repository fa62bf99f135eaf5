//! Batch ownership: at most one entry VM may send batch work to a backend server.

use std::collections;

use bw_wire::{fingerprint, name};

/// Owners of the batch work of backend servers.
///
/// An owner may act on an answer until the lease of that answer ends. A backend server
/// therefore gets a new owner only after the lease of the last answer to the old owner
/// has ended, and answers name no owner in between.
#[derive(Debug, Default)]
pub(super) struct Owners {
    owners: collections::BTreeMap<name::Name, Owner>,
    /// The entry VMs that can be owners.
    eligible: collections::BTreeSet<name::Name>,
    /// The entry VM that each backend server should have as owner. Stored, because
    /// hashing all pairs takes milliseconds in a large fleet.
    wanted: collections::BTreeMap<name::Name, name::Name>,
}

#[derive(Debug)]
struct Owner {
    entry: name::Name,
    /// Until when the entry VM may act as owner.
    until_ms: u64,
    /// Whether answers still name it.
    granted: bool,
}

impl Owners {
    /// Assigns every backend server to one of the eligible entry VMs.
    pub(super) fn assign<'a>(
        &mut self,
        now_ms: u64,
        backends: impl Iterator<Item = &'a name::Name>,
        eligible: collections::BTreeSet<name::Name>,
    ) {
        if self.eligible != eligible {
            self.eligible = eligible;
            self.wanted.clear();
        }
        let mut known = collections::BTreeSet::new();
        for backend in backends {
            known.insert(backend);
            if !self.wanted.contains_key(backend)
                && let Some(chosen) = choose(backend, &self.eligible)
            {
                self.wanted.insert(backend.clone(), chosen.clone());
            }
            let wanted = self.wanted.get(backend);
            match (self.owners.get_mut(backend), wanted) {
                (Some(owner), Some(wanted)) if owner.entry == *wanted => owner.granted = true,
                (Some(owner), _) if now_ms < owner.until_ms => owner.granted = false,
                (_, Some(wanted)) => {
                    let owner = Owner {
                        entry: wanted.clone(),
                        until_ms: now_ms,
                        granted: true,
                    };
                    self.owners.insert(backend.clone(), owner);
                }
                (_, None) => {
                    self.owners.remove(backend);
                }
            }
        }
        self.wanted.retain(|backend, _| known.contains(backend));
        self.owners
            .retain(|backend, owner| known.contains(backend) || now_ms < owner.until_ms);
    }

    /// Returns the owner of each backend server that answers name.
    pub(super) fn granted(&self) -> collections::BTreeMap<name::Name, name::Name> {
        let owners = self.owners.iter().filter(|(_, owner)| owner.granted);
        owners
            .map(|(backend, owner)| (backend.clone(), owner.entry.clone()))
            .collect()
    }

    /// Extends the ownership of an entry VM that is sent an answer.
    pub(super) fn renew(&mut self, entry: &name::Name, until_ms: u64) {
        let owners = self.owners.values_mut();
        for owner in owners.filter(|owner| owner.granted && owner.entry == *entry) {
            owner.until_ms = until_ms;
        }
    }
}

/// Chooses an entry VM by rendezvous hashing, so that a change of the entry VMs moves as
/// few backend servers as possible.
fn choose<'a>(
    backend: &name::Name,
    eligible: &'a collections::BTreeSet<name::Name>,
) -> Option<&'a name::Name> {
    let score = |entry: &name::Name| {
        let pair = format!("{entry}\n{backend}");
        fingerprint::Fingerprint::of_bytes(pair.as_bytes())
    };
    eligible.iter().max_by_key(|entry| score(entry))
}
