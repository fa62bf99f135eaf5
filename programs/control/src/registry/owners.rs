//! Batch ownership: at most one entry VM per backend server.

use std::collections;

use bw_wire::{fingerprint, name};

/// Owners of the batch work of backend servers.
///
/// An owner may act on an answer until its lease from that answer ends. A
/// backend server therefore gets a new owner only once the lease of the last
/// answer to the old owner is over, and has none in between.
#[derive(Debug, Default)]
pub(super) struct Owners {
    owners: collections::BTreeMap<name::Name, Owner>,
    /// The entry VMs that can own, and which of them each backend server is to
    /// have. Kept, because hashing all pairs takes milliseconds in a large fleet.
    able: collections::BTreeSet<name::Name>,
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
    /// Assigns every backend server to one of the able entry VMs.
    pub(super) fn assign<'a>(
        &mut self,
        now_ms: u64,
        backends: impl Iterator<Item = &'a name::Name>,
        able: collections::BTreeSet<name::Name>,
    ) {
        if self.able != able {
            self.able = able;
            self.wanted.clear();
        }
        let mut known = collections::BTreeSet::new();
        for backend in backends {
            known.insert(backend);
            if !self.wanted.contains_key(backend)
                && let Some(chosen) = choose(backend, &self.able)
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

    /// Returns the owners that answers name.
    pub(super) fn granted(&self) -> collections::BTreeMap<name::Name, name::Name> {
        let owners = self.owners.iter().filter(|(_, owner)| owner.granted);
        owners
            .map(|(backend, owner)| (backend.clone(), owner.entry.clone()))
            .collect()
    }

    /// Notes that an entry VM was told what it owns.
    pub(super) fn renew(&mut self, entry: &name::Name, until_ms: u64) {
        let owners = self.owners.values_mut();
        for owner in owners.filter(|owner| owner.granted && owner.entry == *entry) {
            owner.until_ms = until_ms;
        }
    }
}

/// Chooses the entry VM with the highest hash together with the backend server,
/// so that a change of the entry VMs moves as few backend servers as possible.
fn choose<'a>(
    backend: &name::Name,
    able: &'a collections::BTreeSet<name::Name>,
) -> Option<&'a name::Name> {
    let score = |entry: &name::Name| {
        let pair = format!("{entry}\n{backend}");
        fingerprint::Fingerprint::of_bytes(pair.as_bytes())
    };
    able.iter().max_by_key(|entry| score(entry))
}
