//! Soft state of the leader of group 0: entry VMs, backend servers, counts of online
//! requests and batch ownership. Times are those of the monotonic clock.
//!
//! Backend servers form a table with a slot for each of them. Changes carry versions, so
//! that an entry VM that names the version it knows is sent only later changes.

mod owners;
mod timestamp;

use std::{cmp, collections, ops};

use bw_wire::{backend, intent, name, renewal, rpc, sync};

pub use timestamp::Timestamp;

/// Margin that the leader adds to configuration leases for clock drift.
const LEASE_MARGIN_MS: u64 = 100;
/// How long a backend server stays listed after its last renewal.
const BACKEND_TTL_MS: u64 = 30_000;

/// Interval of expiry and assignment, which scan the whole fleet. When all entry VMs
/// join at once, ownership is assigned to them together.
const MAINTENANCE_MS: u64 = 100;
/// Most removed slots that are remembered. An entry VM that has missed more is sent
/// the whole table.
const REMOVED_MAX: usize = 1_024;
/// The term of the first leader ever.
const FIRST_TERM: u64 = 1;

/// Entry VMs and backend servers as the leader of group 0 knows them.
#[derive(Debug, Default)]
pub struct Registry {
    /// When this replica became leader.
    leader_since_ms: u64,
    /// The term of its leadership.
    term: u64,
    /// The time from which no lease granted by a previous leader is valid.
    old_leases_end_ms: u64,
    entries: collections::BTreeMap<Key, Entry>,
    /// Backend servers by slot.
    backends: collections::BTreeMap<u32, Backend>,
    /// Slots by backend server.
    slots: collections::BTreeMap<name::Name, u32>,
    owners: owners::Owners,
    /// The sum of the online requests in flight of all entry VMs.
    online: Online,
    /// The time of the last expiry and assignment.
    maintained_ms: u64,
    /// The version of the table in the last answer. Later changes get the next one.
    version: u64,
    next_slot: u32,
    /// Removed slots with the version of their removal, oldest first.
    removed: collections::VecDeque<(u64, u32)>,
    /// Removals up to this version may have been forgotten.
    forgotten_version: u64,
    /// The version of the last change of the entry VMs.
    peers_version: u64,
    /// The version of the last change of `granted`.
    owners_version: u64,
    /// The owner of each backend server, as answers name it.
    granted: collections::BTreeMap<name::Name, name::Name>,
}

/// Online requests in flight by slot; slots without any are absent.
type Online = collections::BTreeMap<u32, u32>;

/// A process of an entry VM. An older process of the same entry VM may still hold a
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
    online: Online,
    draining: bool,
}

/// A registered backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The newest announcement.
    pub announcement: backend::Announcement,
    /// The time of its last renewal.
    pub renewed: Timestamp,
    /// Its row in the table that entry VMs are sent.
    pub row: Row,
}

/// The row of a backend server in the table that entry VMs are sent.
#[derive(Clone, Debug, Default)]
pub struct Row {
    slot: u32,
    /// The sequence number from which renewals sent to entry VMs count.
    base: u64,
    /// The load figures that entry VMs were last sent.
    published_load: backend::Load,
    /// The version of the last change of the profile, which is everything but the
    /// sequence number and the load.
    profile_version: u64,
    /// The version of the last renewal.
    renewal_version: u64,
    /// The version of the last change of `published_load`.
    load_version: u64,
}

/// The configuration that a `sync` is answered with.
#[derive(Clone, Copy, Debug)]
pub struct Configuration<'a> {
    /// The revision of the intent.
    pub revision: u64,
    /// The intent in force.
    pub intent: &'a intent::Intent,
}

/// The error for a process that a newer one of the same entry VM has replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replaced;

impl Registry {
    /// Clears the registry when this replica becomes leader.
    pub fn reset(&mut self, now_ms: u64, term: u64) {
        // There was no leader before the first term.
        let wait_ms = if term <= FIRST_TERM { 0 } else { lease_ms() };
        *self = Registry {
            leader_since_ms: now_ms,
            term,
            old_leases_end_ms: now_ms + wait_ms,
            ..Registry::default()
        };
    }

    /// Returns the monotonic time at which this replica became leader, in milliseconds.
    pub fn leader_since_ms(&self) -> u64 {
        self.leader_since_ms
    }

    /// Returns the backend servers.
    pub fn backends(&self) -> impl ExactSizeIterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns a backend server.
    pub fn backend(&self, id: &name::Name) -> Option<&Backend> {
        self.backends.get(self.slots.get(id)?)
    }

    /// Returns the last announcements of all backend servers with their ages.
    pub fn announcements(&self, now_ms: u64) -> Vec<sync::Heard> {
        let backends = self.backends.values();
        backends
            .map(|backend| backend.announcement_with_age(now_ms))
            .collect()
    }

    /// Records the report of an entry VM and answers it.
    ///
    /// # Errors
    ///
    /// Fails when a newer process of the same entry VM has reported.
    pub fn sync(
        &mut self,
        now_ms: u64,
        request: sync::Request,
        configuration: Configuration<'_>,
    ) -> Result<sync::Response, Replaced> {
        let key = Key {
            entry: request.entry,
            incarnation: request.incarnation,
        };
        if self.has_newer(&key) {
            return Err(Replaced);
        }
        let since = self.base_version(request.leader_term, request.table);
        // Clock values and slots of another leader are not valid here.
        let same_leader = request.leader_term == self.term;
        let clock_ms = request.clock_ms.filter(|_| same_leader);
        for dated in request.heard {
            let timestamp = Timestamp::new(now_ms, clock_ms, dated.at_ms);
            self.record_announcement(timestamp, dated.announcement);
        }
        if let Some(since) = since {
            self.record_renewals(now_ms, clock_ms, since, &request.renewals);
        }
        let counts = match same_leader {
            true => request.online,
            false => renewal::Counts::default(),
        };
        let online = self.online_counts(&counts, &request.online_unlisted);
        let entry = Entry {
            synced_ms: now_ms,
            failure_domain: request.failure_domain,
            address: request.peer_address,
            revision: request.revision,
            online,
            draining: request.draining,
        };
        self.replace_report(key.clone(), entry);
        if now_ms >= self.maintained_ms + MAINTENANCE_MS {
            self.maintained_ms = now_ms;
            self.expire(now_ms);
            self.assign(now_ms);
        }
        Ok(self.response(now_ms, &key, request.revision, since, configuration))
    }

    /// Returns whether the revision `asked` is in force on all entry VMs, given the
    /// current `revision`.
    pub fn in_force(&self, now_ms: u64, asked: u64, revision: u64) -> rpc::InForce {
        let waiting_for: Vec<name::Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.has_lease(now_ms) && entry.revision < asked)
            .map(|(key, _)| key.entry.clone())
            .collect();
        // Entry VMs that only the previous leader knows may still hold its leases.
        let complete = now_ms >= self.old_leases_end_ms;
        rpc::InForce {
            revision,
            everywhere: complete && asked <= revision && waiting_for.is_empty(),
            waiting_for,
        }
    }

    /// Returns the status of the entry VMs with a lease.
    pub fn entries(&self, now_ms: u64) -> Vec<rpc::EntryStatus> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| entry.has_lease(now_ms))
            .map(|(key, entry)| rpc::EntryStatus {
                entry: key.entry.clone(),
                failure_domain: entry.failure_domain.clone(),
                revision: entry.revision,
                age_ms: now_ms.saturating_sub(entry.synced_ms),
            })
            .collect()
    }

    /// Drops entry VMs without a lease and backend servers that no longer renew.
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
        let slots = &mut self.slots;
        self.backends.retain(|slot, backend| {
            let keep = backend.renewed.elapsed_ms(now_ms) < BACKEND_TTL_MS;
            if !keep {
                removed.push_back((next, *slot));
                slots.remove(&backend.announcement.id);
            }
            keep
        });
        while self.removed.len() > REMOVED_MAX {
            if let Some((version, _)) = self.removed.pop_front() {
                self.forgotten_version = version;
            }
        }
    }

    /// Returns whether a newer process of the same entry VM has reported.
    fn has_newer(&self, key: &Key) -> bool {
        let after = (ops::Bound::Excluded(key), ops::Bound::Unbounded);
        let next = self.entries.range(after).next();
        next.is_some_and(|(next, _)| next.entry == key.entry)
    }

    /// Replaces the last report of an entry VM.
    fn replace_report(&mut self, key: Key, entry: Entry) {
        for (slot, count) in &entry.online {
            let sum = self.online.entry(*slot).or_default();
            *sum = sum.saturating_add(*count);
        }
        let synced_ms = entry.synced_ms;
        let listed = (entry.failure_domain.clone(), entry.address.clone());
        let before = self.entries.insert(key, entry);
        // An entry VM whose lease had ended may be missing in answers since then.
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

    fn record_announcement(&mut self, timestamp: Timestamp, announcement: backend::Announcement) {
        let next = self.version + 1;
        let slot = self.slots.get(&announcement.id);
        let Some(known) = slot.and_then(|slot| self.backends.get_mut(slot)) else {
            let slot = self.next_slot;
            self.next_slot += 1;
            self.slots.insert(announcement.id.clone(), slot);
            let row = Row {
                slot,
                base: announcement.sequence,
                published_load: announcement.load,
                profile_version: next,
                renewal_version: next,
                load_version: next,
            };
            let backend = Backend {
                renewed: timestamp,
                row,
                announcement,
            };
            self.backends.insert(slot, backend);
            return;
        };
        let order = version(&announcement).cmp(&version(&known.announcement));
        if order.is_gt() {
            known.renew(announcement, timestamp, next);
        } else if order.is_eq() {
            known.record_copy(timestamp, next);
        }
    }

    /// Records renewals of backend servers that an entry VM knows from the table of
    /// version `since`.
    fn record_renewals(
        &mut self,
        now_ms: u64,
        clock_ms: Option<u64>,
        since: u64,
        reports: &renewal::Reports,
    ) {
        let next = self.version + 1;
        let Ok(reports) = reports.unpack() else {
            log::warn!("malformed renewals of an entry VM ignored");
            return;
        };
        for report in reports {
            let Some(known) = self.backends.get_mut(&report.slot) else {
                continue;
            };
            // The profile has changed since that table. The entry VM gets the new one
            // with the answer and reports the next renewal in full if that differs.
            if known.row.profile_version > since {
                continue;
            }
            let timestamp = Timestamp::new(now_ms, clock_ms, report.at_ms);
            match report.sequence.cmp(&known.announcement.sequence) {
                cmp::Ordering::Greater => known.renew_known(&report, timestamp, next),
                cmp::Ordering::Equal => known.record_copy(timestamp, next),
                cmp::Ordering::Less => {}
            }
        }
    }

    /// Returns the reported counts of online requests by slot.
    fn online_counts(
        &self,
        listed: &renewal::Counts,
        unlisted: &collections::BTreeMap<name::Name, u32>,
    ) -> Online {
        let mut online: Online = match listed.unpack() {
            Ok(counts) => counts.into_iter().collect(),
            Err(renewal::Malformed) => {
                log::warn!("malformed counts of an entry VM ignored");
                Online::new()
            }
        };
        for (id, count) in unlisted {
            if let Some(slot) = self.slots.get(id) {
                online.insert(*slot, *count);
            }
        }
        online.retain(|_, count| *count > 0);
        online
    }

    /// Assigns batch ownership among entry VMs that have a lease and are not draining.
    fn assign(&mut self, now_ms: u64) {
        // Ownership that the previous leader granted ends with its leases.
        if now_ms < self.old_leases_end_ms {
            return;
        }
        let entries = self.entries.iter();
        let eligible = entries
            .filter(|(_, entry)| entry.has_lease(now_ms) && !entry.draining)
            .map(|(key, _)| key.entry.clone())
            .collect();
        self.owners.assign(now_ms, self.slots.keys(), eligible);
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
        configuration: Configuration<'_>,
    ) -> sync::Response {
        let outdated = revision != configuration.revision;
        // Changes since the last answer have this version.
        self.version += 1;
        let changed = |version: u64| since.is_none_or(|since| version > since);
        self.owners.renew(&key.entry, now_ms + lease_ms());
        sync::Response {
            leader_term: self.term,
            clock_ms: now_ms,
            interval_ms: self.interval_ms(),
            report_all: since.is_none(),
            lease_ms: sync::CONFIG_LEASE_MS,
            revision: configuration.revision,
            intent: outdated.then(|| Box::new(configuration.intent.clone())),
            table: self.version,
            whole: since.is_none(),
            backends: self.changed_profiles(now_ms, since),
            removed: self.removed_since(since),
            renewals: self.renewals(now_ms, since),
            peers: changed(self.peers_version).then(|| self.peers(now_ms, key)),
            online: self.others_online(key),
            owners: changed(self.owners_version).then(|| self.granted.clone()),
            suspects: Vec::new(),
        }
    }

    fn interval_ms(&self) -> u64 {
        match self.entries.len() <= sync::SHORT_INTERVAL_MAX_ENTRIES {
            true => sync::SHORT_INTERVAL_MS,
            false => sync::LONG_INTERVAL_MS,
        }
    }

    /// Returns the version from which an answer lists changes; none if the answer must
    /// hold the whole table.
    fn base_version(&self, term: u64, table: u64) -> Option<u64> {
        let known = term == self.term && table > 0 && table <= self.version;
        (known && table >= self.forgotten_version).then_some(table)
    }

    fn changed_profiles(&self, now_ms: u64, since: Option<u64>) -> Vec<sync::Listed> {
        let since = since.unwrap_or(0);
        let backends = self.backends.values();
        backends
            .filter(|backend| backend.row.profile_version > since)
            .map(|backend| sync::Listed {
                slot: backend.row.slot,
                base: backend.row.base,
                heard: backend.announcement_with_age(now_ms),
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

    /// Returns the renewals after a version of backend servers whose profile has not
    /// changed since.
    fn renewals(&self, now_ms: u64, since: Option<u64>) -> renewal::Renewals {
        let since = since.unwrap_or(u64::MAX);
        let backends = self.backends.values();
        let renewed = backends
            .filter(|backend| {
                backend.row.profile_version <= since && backend.row.renewal_version > since
            })
            .map(|backend| backend.renewal(now_ms, since));
        renewal::Renewals::new(renewed.collect())
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

    /// Returns the counts of online requests without those of one entry VM.
    fn others_online(&self, own: &Key) -> renewal::Counts {
        let own = self.entries.get(own).map(|entry| &entry.online);
        let own = |slot: &u32| own.and_then(|online| online.get(slot)).unwrap_or(&0);
        let listed = self.online.iter();
        let listed = listed.filter(|(slot, _)| self.backends.contains_key(slot));
        let others = listed.map(|(slot, count)| (*slot, count.saturating_sub(*own(slot))));
        renewal::Counts::new(others.collect())
    }
}

/// Subtracts counts from a total and removes entries that become zero.
fn subtract(total: &mut Online, counts: &Online) {
    for (slot, count) in counts {
        if let Some(sum) = total.get_mut(slot) {
            *sum = sum.saturating_sub(*count);
            if *sum == 0 {
                total.remove(slot);
            }
        }
    }
}

impl Backend {
    /// Records a newer announcement, which may have another profile.
    fn renew(&mut self, announcement: backend::Announcement, renewed: Timestamp, version: u64) {
        self.renewed = renewed;
        self.row.renewal_version = version;
        if !announcement.same_profile(&self.announcement) {
            self.row.base = announcement.sequence;
            self.row.profile_version = version;
        }
        self.publish_load(&announcement.load, version);
        self.announcement = announcement;
    }

    /// Records a newer announcement that has the same profile.
    fn renew_known(&mut self, report: &renewal::Report, renewed: Timestamp, version: u64) {
        self.renewed = renewed;
        self.row.renewal_version = version;
        self.announcement.sequence = report.sequence;
        if let Some(load) = report.load() {
            self.publish_load(&load, version);
            self.announcement.load = load;
        }
    }

    /// Records a further copy of the last announcement.
    fn record_copy(&mut self, timestamp: Timestamp, version: u64) {
        let combined = self.renewed.combine(timestamp);
        if combined != self.renewed {
            self.renewed = combined;
            self.row.renewal_version = version;
        }
    }

    /// Updates the load figures to send to entry VMs, if they differ enough.
    fn publish_load(&mut self, load: &backend::Load, version: u64) {
        if load.differs_significantly(&self.row.published_load) {
            self.row.published_load = *load;
            self.row.load_version = version;
        }
    }

    fn announcement_with_age(&self, now_ms: u64) -> sync::Heard {
        sync::Heard {
            announcement: self.announcement.clone(),
            age_ms: self.renewed.age_ms(now_ms),
        }
    }

    fn renewal(&self, now_ms: u64, since: u64) -> renewal::Renewal {
        let age_ms = self.renewed.age_ms(now_ms);
        let sequence = self.announcement.sequence - self.row.base;
        let load = (self.row.load_version > since).then_some(self.row.published_load);
        renewal::Renewal::new(self.row.slot, sequence, age_ms, load)
    }
}

impl Entry {
    fn has_lease(&self, now_ms: u64) -> bool {
        now_ms < self.synced_ms + lease_ms()
    }
}

/// Returns how long an entry VM may act on an answer, with a margin for clock drift.
fn lease_ms() -> u64 {
    sync::CONFIG_LEASE_MS + LEASE_MARGIN_MS
}

fn version(announcement: &backend::Announcement) -> (u64, u64) {
    (announcement.incarnation, announcement.sequence)
}
