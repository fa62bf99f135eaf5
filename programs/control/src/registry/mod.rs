//! Soft state of the leader of group 0: entry VMs, backend servers, online
//! counts and batch ownership. Times are of the monotonic clock.

mod owners;

use std::{collections, ops};

use bw_wire::{backend, intent, name, rpc, sync};

/// Added to a configuration lease at the leader, for clocks that run apart.
const LEASE_MARGIN_MS: u64 = 100;
/// How long a backend server that no longer renews stays listed.
const BACKEND_KEPT_MS: u64 = 30_000;

/// Interval of expiry and assignment, which go through the whole fleet. When all
/// entry VMs join at once, they are assigned together.
const TIDY_MS: u64 = 100;
/// The term of the first leader ever.
const FIRST_TERM: u64 = 1;

/// The registry.
#[derive(Debug, Default)]
pub struct Registry {
    /// When this replica became leader, and its term.
    since_ms: u64,
    term: u64,
    /// From when on no lease of a previous leader can be running.
    settled_ms: u64,
    entries: collections::BTreeMap<Key, Entry>,
    backends: collections::BTreeMap<name::Name, Backend>,
    owners: owners::Owners,
    /// Online requests in flight by backend server over all entry VMs listed.
    online: collections::BTreeMap<name::Name, u32>,
    /// When entry VMs were expired and ownership was assigned last.
    tidied_ms: u64,
}

/// An entry VM's process. An older process of the same name may still hold a
/// lease, so both are kept.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    entry: name::Name,
    incarnation: u64,
}

#[derive(Debug)]
struct Entry {
    synced_ms: u64,
    failure_domain: name::Name,
    address: name::Name,
    revision: u64,
    online: collections::BTreeMap<name::Name, u32>,
    draining: bool,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The newest announcement.
    pub announcement: backend::Announcement,
    /// When it last renewed.
    pub renewed_ms: u64,
}

/// The configuration and leadership that a `sync` is answered with.
#[derive(Clone, Copy, Debug)]
pub struct Current<'a> {
    /// The current revision.
    pub revision: u64,
    /// The current intent.
    pub intent: &'a intent::Intent,
}

/// The process was replaced by a newer one of the same name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replaced;

impl Registry {
    /// Starts anew at the beginning of a leadership.
    pub fn reset(&mut self, now_ms: u64, term: u64) {
        // Nobody led before the first term.
        let wait_ms = if term <= FIRST_TERM { 0 } else { lease_ms() };
        *self = Registry {
            since_ms: now_ms,
            term,
            settled_ms: now_ms + wait_ms,
            ..Registry::default()
        };
    }

    /// Returns since when this replica leads.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns the backend servers.
    pub fn backends(&self) -> &collections::BTreeMap<name::Name, Backend> {
        &self.backends
    }

    /// Takes in a report and answers it.
    ///
    /// # Errors
    ///
    /// Fails when a newer process of the same name has reported.
    pub fn sync(
        &mut self,
        now_ms: u64,
        request: sync::Request,
        current: Current<'_>,
    ) -> Result<sync::Response, Replaced> {
        let key = Key {
            entry: request.entry,
            incarnation: request.incarnation,
        };
        if self.newer(&key) {
            return Err(Replaced);
        }
        for heard in request.heard {
            self.hear(now_ms, heard);
        }
        let entry = Entry {
            synced_ms: now_ms,
            failure_domain: request.failure_domain,
            address: request.peer_address,
            revision: request.revision,
            online: request.online,
            draining: request.draining,
        };
        self.put(key.clone(), entry);
        if now_ms >= self.tidied_ms + TIDY_MS {
            self.tidied_ms = now_ms;
            self.expire(now_ms);
            self.assign(now_ms);
        }
        Ok(self.response(now_ms, &key, request.revision, current))
    }

    /// Tells how far a revision is in force.
    pub fn in_force(&self, now_ms: u64, asked: u64, revision: u64) -> rpc::InForce {
        let waiting_for: Vec<name::Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.has_lease(now_ms) && entry.revision < asked)
            .map(|(key, _)| key.entry.clone())
            .collect();
        // Entry VMs that only the previous leader knew may hold a lease from it.
        let complete = now_ms >= self.settled_ms;
        rpc::InForce {
            revision,
            everywhere: complete && asked <= revision && waiting_for.is_empty(),
            waiting_for,
        }
    }

    /// Returns the entry VMs with a lease.
    pub fn entries(&self, now_ms: u64) -> Vec<rpc::EntryStatus> {
        let live = self.entries.iter();
        live.filter(|(_, entry)| entry.has_lease(now_ms))
            .map(|(key, entry)| rpc::EntryStatus {
                entry: key.entry.clone(),
                failure_domain: entry.failure_domain.clone(),
                revision: entry.revision,
                age_ms: now_ms.saturating_sub(entry.synced_ms),
            })
            .collect()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now_ms: u64) {
        let online = &mut self.online;
        self.entries.retain(|_, entry| {
            let keep = entry.has_lease(now_ms);
            if !keep {
                subtract(online, &entry.online);
            }
            keep
        });
        self.backends
            .retain(|_, backend| now_ms < backend.renewed_ms + BACKEND_KEPT_MS);
    }

    fn newer(&self, key: &Key) -> bool {
        let after = (ops::Bound::Excluded(key), ops::Bound::Unbounded);
        let next = self.entries.range(after).next();
        next.is_some_and(|(next, _)| next.entry == key.entry)
    }

    /// Stores the report of an entry VM in place of its last one.
    fn put(&mut self, key: Key, entry: Entry) {
        for (backend, count) in &entry.online {
            let sum = self.online.entry(backend.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        if let Some(before) = self.entries.insert(key, entry) {
            subtract(&mut self.online, &before.online);
        }
    }

    fn hear(&mut self, now_ms: u64, heard: sync::Heard) {
        let renewed_ms = now_ms.saturating_sub(heard.age_ms);
        let place = self.backends.entry(heard.announcement.id.clone());
        match place {
            collections::btree_map::Entry::Vacant(place) => {
                place.insert(Backend {
                    announcement: heard.announcement,
                    renewed_ms,
                });
            }
            collections::btree_map::Entry::Occupied(mut place) => {
                let known = place.get_mut();
                let order = version(&heard.announcement).cmp(&version(&known.announcement));
                if order.is_gt() {
                    known.announcement = heard.announcement;
                    known.renewed_ms = renewed_ms;
                } else if order.is_eq() {
                    // The age of one announcement is known to differ only by
                    // delays, so the oldest time is the safest.
                    known.renewed_ms = known.renewed_ms.min(renewed_ms);
                }
            }
        }
    }

    /// Assigns batch ownership among live entry VMs.
    fn assign(&mut self, now_ms: u64) {
        // Ownership that the previous leader granted ends with its leases.
        if now_ms < self.settled_ms {
            return;
        }
        let live = self.entries.iter();
        let able = live
            .filter(|(_, entry)| entry.has_lease(now_ms) && !entry.draining)
            .map(|(key, _)| key.entry.clone())
            .collect();
        self.owners.assign(now_ms, self.backends.keys(), able);
    }

    fn response(
        &mut self,
        now_ms: u64,
        key: &Key,
        revision: u64,
        current: Current<'_>,
    ) -> sync::Response {
        let newer = revision != current.revision;
        let owners = self.owners.granted();
        self.owners.renew(&key.entry, now_ms + lease_ms());
        sync::Response {
            leader_term: self.term,
            lease_ms: sync::CONFIG_LEASE_MS,
            revision: current.revision,
            intent: newer.then(|| Box::new(current.intent.clone())),
            backends: self.heard(now_ms),
            peers: self.peers(now_ms, key),
            online: self.online(key),
            owners,
            suspects: Vec::new(),
        }
    }

    fn heard(&self, now_ms: u64) -> Vec<sync::Heard> {
        let backends = self.backends.values();
        backends
            .map(|backend| sync::Heard {
                announcement: backend.announcement.clone(),
                age_ms: now_ms.saturating_sub(backend.renewed_ms),
            })
            .collect()
    }

    fn peers(&self, now_ms: u64, own: &Key) -> Vec<sync::Peer> {
        self.entries
            .iter()
            .filter(|(key, entry)| key.entry != own.entry && entry.has_lease(now_ms))
            .map(|(key, entry)| sync::Peer {
                entry: key.entry.clone(),
                incarnation: key.incarnation,
                failure_domain: entry.failure_domain.clone(),
                address: entry.address.clone(),
            })
            .collect()
    }

    /// Returns the online counts without those of one entry VM.
    fn online(&self, own: &Key) -> collections::BTreeMap<name::Name, u32> {
        let mut others = self.online.clone();
        if let Some(entry) = self.entries.get(own) {
            subtract(&mut others, &entry.online);
        }
        others
    }
}

/// Takes counts out of a total and drops what becomes zero.
fn subtract(
    total: &mut collections::BTreeMap<name::Name, u32>,
    counts: &collections::BTreeMap<name::Name, u32>,
) {
    for (backend, count) in counts {
        if let Some(sum) = total.get_mut(backend) {
            *sum = sum.saturating_sub(*count);
            if *sum == 0 {
                total.remove(backend);
            }
        }
    }
}

impl Entry {
    fn has_lease(&self, now_ms: u64) -> bool {
        now_ms < self.synced_ms + lease_ms()
    }
}

/// Returns how long an entry VM may act on an answer, as seen by the leader.
fn lease_ms() -> u64 {
    sync::CONFIG_LEASE_MS + LEASE_MARGIN_MS
}

fn version(announcement: &backend::Announcement) -> (u64, u64) {
    (announcement.incarnation, announcement.sequence)
}
