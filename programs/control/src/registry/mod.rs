//! Soft state of the leader of group 0: entry VMs, backend servers, online
//! counts and batch ownership. Times are of the monotonic clock.

mod owners;

use std::{collections, ops};

use bw_wire::{backend, intent, name, renewal, rpc, sync};

/// Added to a configuration lease at the leader, for clocks that run apart.
const LEASE_MARGIN_MS: u64 = 100;
/// How long a backend server that no longer renews stays listed.
const BACKEND_KEPT_MS: u64 = 30_000;

/// Interval of expiry and assignment, which go through the whole fleet. When all
/// entry VMs join at once, they are assigned together.
const TIDY_MS: u64 = 100;
/// Removed slots that are remembered; an entry VM that is further behind gets
/// the whole table.
const REMOVED_KEPT: usize = 1_024;
/// Smallest part of a load figure whose change is sent to entry VMs.
const LOAD_PART: f32 = 0.125;
/// Smallest change of the share of KV memory in use that is sent to entry VMs.
const KV_STEP: f32 = 0.03;
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
    /// The version of the table in the last answer. Changes carry the next one.
    version: u64,
    next_slot: u32,
    /// Removed slots with the version of their removal, oldest first.
    removed: collections::VecDeque<(u64, u32)>,
    /// The version below which removals are forgotten.
    removed_from: u64,
    /// The versions of the last change of entry VMs and of owners.
    peers_version: u64,
    owners_version: u64,
    granted: collections::BTreeMap<name::Name, name::Name>,
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
    /// What entry VMs were told of it.
    pub row: Row,
}

/// The row of a backend server in the table that entry VMs know.
#[derive(Clone, Debug, Default)]
pub struct Row {
    slot: u32,
    /// The sequence number that renewals to entry VMs count from.
    base: u64,
    /// The load figures that entry VMs are told.
    told: backend::Load,
    /// The versions of the last change of the profile, the renewal and the load.
    profile_version: u64,
    renewal_version: u64,
    load_version: u64,
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

    /// Returns the announcements of the backend servers with their ages.
    pub fn heard(&self, now_ms: u64) -> Vec<sync::Heard> {
        let backends = self.backends.values();
        backends.map(|backend| backend.heard(now_ms)).collect()
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
        let since = self.since(request.leader_term, request.table);
        Ok(self.response(now_ms, &key, request.revision, since, current))
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
        let next = self.version + 1;
        let online = &mut self.online;
        let peers_version = &mut self.peers_version;
        self.entries.retain(|_, entry| {
            let keep = entry.has_lease(now_ms);
            if !keep {
                subtract(online, &entry.online);
                *peers_version = next;
            }
            keep
        });
        let removed = &mut self.removed;
        self.backends.retain(|_, backend| {
            let keep = now_ms < backend.renewed_ms + BACKEND_KEPT_MS;
            if !keep {
                removed.push_back((next, backend.row.slot));
            }
            keep
        });
        while self.removed.len() > REMOVED_KEPT {
            if let Some((version, _)) = self.removed.pop_front() {
                self.removed_from = version;
            }
        }
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
        let synced_ms = entry.synced_ms;
        let listed = (entry.failure_domain.clone(), entry.address.clone());
        let before = self.entries.insert(key, entry);
        // An entry VM whose lease ended may be missing in answers since then.
        let same = before.as_ref().is_some_and(|before| {
            before.has_lease(synced_ms)
                && before.failure_domain == listed.0
                && before.address == listed.1
        });
        if !same {
            self.peers_version = self.version + 1;
        }
        if let Some(before) = before {
            subtract(&mut self.online, &before.online);
        }
    }

    fn hear(&mut self, now_ms: u64, heard: sync::Heard) {
        let renewed_ms = now_ms.saturating_sub(heard.age_ms);
        let next = self.version + 1;
        let place = self.backends.entry(heard.announcement.id.clone());
        match place {
            collections::btree_map::Entry::Vacant(place) => {
                place.insert(Backend {
                    renewed_ms,
                    row: Row {
                        slot: self.next_slot,
                        base: heard.announcement.sequence,
                        told: heard.announcement.load,
                        profile_version: next,
                        renewal_version: next,
                        load_version: next,
                    },
                    announcement: heard.announcement,
                });
                self.next_slot += 1;
            }
            collections::btree_map::Entry::Occupied(mut place) => {
                let known = place.get_mut();
                let order = version(&heard.announcement).cmp(&version(&known.announcement));
                if order.is_gt() {
                    known.renew(heard.announcement, renewed_ms, next);
                } else if order.is_eq() && renewed_ms < known.renewed_ms {
                    // The age of one announcement is known to differ only by
                    // delays, so the oldest time is the safest.
                    known.renewed_ms = renewed_ms;
                    known.row.renewal_version = next;
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
        let granted = self.owners.granted();
        if granted != self.granted {
            self.granted = granted;
            self.owners_version = self.version + 1;
        }
    }

    fn response(
        &mut self,
        now_ms: u64,
        key: &Key,
        revision: u64,
        since: Option<u64>,
        current: Current<'_>,
    ) -> sync::Response {
        let newer = revision != current.revision;
        // Changes since the last answer carry this version.
        self.version += 1;
        let changed = |version: u64| since.is_none_or(|since| version > since);
        self.owners.renew(&key.entry, now_ms + lease_ms());
        sync::Response {
            leader_term: self.term,
            lease_ms: sync::CONFIG_LEASE_MS,
            revision: current.revision,
            intent: newer.then(|| Box::new(current.intent.clone())),
            table: self.version,
            whole: since.is_none(),
            backends: self.listed(now_ms, since),
            removed: self.removed_since(since),
            renewals: self.renewals(now_ms, since),
            peers: changed(self.peers_version).then(|| self.peers(now_ms, key)),
            online: self.online(key),
            owners: changed(self.owners_version).then(|| self.granted.clone()),
            suspects: Vec::new(),
        }
    }

    /// Returns the version that an answer builds on; none if it must be whole.
    fn since(&self, term: u64, table: u64) -> Option<u64> {
        let known = term == self.term && table > 0 && table <= self.version;
        (known && table >= self.removed_from).then_some(table)
    }

    fn listed(&self, now_ms: u64, since: Option<u64>) -> Vec<sync::Listed> {
        let since = since.unwrap_or(0);
        let backends = self.backends.values();
        backends
            .filter(|backend| backend.row.profile_version > since)
            .map(|backend| sync::Listed {
                slot: backend.row.slot,
                base: backend.row.base,
                heard: backend.heard(now_ms),
            })
            .collect()
    }

    fn removed_since(&self, since: Option<u64>) -> Vec<u32> {
        let since = since.unwrap_or(u64::MAX);
        let removed = self.removed.iter();
        removed
            .filter(|(version, _)| *version > since)
            .map(|(_, slot)| *slot)
            .collect()
    }

    /// Returns the renewals of backend servers whose profile an entry VM knows.
    fn renewals(&self, now_ms: u64, since: Option<u64>) -> renewal::Packed {
        let since = since.unwrap_or(u64::MAX);
        let backends = self.backends.values();
        let renewed = backends
            .filter(|backend| {
                backend.row.profile_version <= since && backend.row.renewal_version > since
            })
            .map(|backend| backend.renewal(now_ms, since));
        renewal::Packed::new(renewed.collect())
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
    fn online(&self, own: &Key) -> renewal::Counts {
        let mut others = self.online.clone();
        if let Some(entry) = self.entries.get(own) {
            subtract(&mut others, &entry.online);
        }
        let slots = others.iter().filter_map(|(id, count)| {
            let backend = self.backends.get(id)?;
            Some((backend.row.slot, *count))
        });
        renewal::Counts::new(slots.collect())
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

impl Backend {
    fn renew(&mut self, announcement: backend::Announcement, renewed_ms: u64, version: u64) {
        self.renewed_ms = renewed_ms;
        self.row.renewal_version = version;
        if !same_profile(&announcement, &self.announcement) {
            self.row.base = announcement.sequence;
            self.row.profile_version = version;
        }
        if differs(&announcement.load, &self.row.told) {
            self.row.told = announcement.load;
            self.row.load_version = version;
        }
        self.announcement = announcement;
    }

    fn heard(&self, now_ms: u64) -> sync::Heard {
        sync::Heard {
            announcement: self.announcement.clone(),
            age_ms: now_ms.saturating_sub(self.renewed_ms),
        }
    }

    fn renewal(&self, now_ms: u64, since: u64) -> renewal::Renewal {
        let age_ms = now_ms.saturating_sub(self.renewed_ms);
        let sequence = self.announcement.sequence - self.row.base;
        let load = (self.row.load_version > since).then_some(self.row.told);
        renewal::Renewal::new(self.row.slot, sequence, age_ms, load)
    }
}

/// Returns whether announcements differ in sequence number and load only.
fn same_profile(one: &backend::Announcement, other: &backend::Announcement) -> bool {
    one.incarnation == other.incarnation
        && one.address == other.address
        && one.kind == other.kind
        && one.service == other.service
        && one.failure_domain == other.failure_domain
        && one.state == other.state
        && one.loaded == other.loaded
        && one.capacity == other.capacity
        && one.fence == other.fence
}

/// Returns whether load figures differ enough to matter for routing.
fn differs(load: &backend::Load, told: &backend::Load) -> bool {
    let part = |now: f32, told: f32| (now - told).abs() > told.max(now) * LOAD_PART;
    part(load.running as f32, told.running as f32)
        || part(load.waiting as f32, told.waiting as f32)
        || part(load.step_ms, told.step_ms)
        || (load.kv_used - told.kv_used).abs() > KV_STEP
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
