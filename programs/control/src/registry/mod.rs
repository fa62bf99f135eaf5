//! Soft state of the leader of group 0: entry VMs, backend servers, online
//! counts and batch ownership. Times are of the monotonic clock.

mod owners;
mod timestamp;

use std::{cmp, collections, ops};

use bw_wire::{backend, intent, name, renewal, rpc, sync};

pub use timestamp::Timestamp;

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
    /// Backend servers by slot.
    backends: collections::BTreeMap<u32, Backend>,
    slots: collections::BTreeMap<name::Name, u32>,
    owners: owners::Owners,
    /// Online requests in flight by slot over all entry VMs listed.
    online: Online,
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

/// Online requests in flight by slot, without zeros.
type Online = collections::BTreeMap<u32, u32>;

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
    online: Online,
    draining: bool,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The newest announcement.
    pub announcement: backend::Announcement,
    /// When its last renewal was heard.
    pub renewed: Timestamp,
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
pub struct Configuration<'a> {
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

    /// Returns the monotonic time at which this replica became leader, in milliseconds.
    pub fn leader_since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns the backend servers.
    pub fn backends(&self) -> impl ExactSizeIterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns a backend server.
    pub fn backend(&self, id: &name::Name) -> Option<&Backend> {
        self.backends.get(self.slots.get(id)?)
    }

    /// Returns the announcements of the backend servers with their ages.
    pub fn announcements(&self, now_ms: u64) -> Vec<sync::Heard> {
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
        configuration: Configuration<'_>,
    ) -> Result<sync::Response, Replaced> {
        let key = Key {
            entry: request.entry,
            incarnation: request.incarnation,
        };
        if self.newer(&key) {
            return Err(Replaced);
        }
        let since = self.since(request.leader_term, request.table);
        // Another leader's clock says nothing here.
        let same_leader = request.leader_term == self.term;
        let clock_ms = request.clock_ms.filter(|_| same_leader);
        for dated in request.heard {
            let timestamp = Timestamp::new(now_ms, clock_ms, dated.at_ms);
            self.hear(timestamp, dated.announcement);
        }
        if let Some(since) = since {
            self.hear_renewals(now_ms, clock_ms, since, &request.renewals);
        }
        let counts = match same_leader {
            true => request.online,
            false => renewal::Counts::default(),
        };
        let online = self.counts(&counts, &request.online_unlisted);
        let entry = Entry {
            synced_ms: now_ms,
            failure_domain: request.failure_domain,
            address: request.peer_address,
            revision: request.revision,
            online,
            draining: request.draining,
        };
        self.put(key.clone(), entry);
        if now_ms >= self.tidied_ms + TIDY_MS {
            self.tidied_ms = now_ms;
            self.expire(now_ms);
            self.assign(now_ms);
        }
        Ok(self.response(now_ms, &key, request.revision, since, configuration))
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
        let slots = &mut self.slots;
        self.backends.retain(|slot, backend| {
            let keep = backend.renewed.since_ms(now_ms) < BACKEND_KEPT_MS;
            if !keep {
                removed.push_back((next, *slot));
                slots.remove(&backend.announcement.id);
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
        for (slot, count) in &entry.online {
            let sum = self.online.entry(*slot).or_default();
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

    fn hear(&mut self, timestamp: Timestamp, announcement: backend::Announcement) {
        let next = self.version + 1;
        let slot = self.slots.get(&announcement.id);
        let Some(known) = slot.and_then(|slot| self.backends.get_mut(slot)) else {
            let slot = self.next_slot;
            self.next_slot += 1;
            self.slots.insert(announcement.id.clone(), slot);
            let row = Row {
                slot,
                base: announcement.sequence,
                told: announcement.load,
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
            known.repeat(timestamp, next);
        }
    }

    /// Takes renewals of backend servers that an entry VM knows from the table
    /// of version `since`.
    fn hear_renewals(
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
            // The profile that the entry VM means is not known here any more.
            // It sees the new one in the answer and reports the next renewal in
            // full if that differs.
            if known.row.profile_version > since {
                continue;
            }
            let timestamp = Timestamp::new(now_ms, clock_ms, report.at_ms);
            match report.sequence.cmp(&known.announcement.sequence) {
                cmp::Ordering::Greater => known.renew_known(&report, timestamp, next),
                cmp::Ordering::Equal => known.repeat(timestamp, next),
                cmp::Ordering::Less => {}
            }
        }
    }

    /// Returns reported counts by slot.
    fn counts(
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
        self.owners.assign(now_ms, self.slots.keys(), able);
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
        let newer = revision != configuration.revision;
        // Changes since the last answer carry this version.
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
            intent: newer.then(|| Box::new(configuration.intent.clone())),
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

    fn interval_ms(&self) -> u64 {
        match self.entries.len() <= sync::SMALL_FLEET {
            true => sync::INTERVAL_MS,
            false => sync::LONG_INTERVAL_MS,
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
        let own = self.entries.get(own).map(|entry| &entry.online);
        let own = |slot: &u32| own.and_then(|online| online.get(slot)).unwrap_or(&0);
        let listed = self.online.iter();
        let listed = listed.filter(|(slot, _)| self.backends.contains_key(slot));
        let others = listed.map(|(slot, count)| (*slot, count.saturating_sub(*own(slot))));
        renewal::Counts::new(others.collect())
    }
}

/// Takes counts out of a total and drops what becomes zero.
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
    fn renew(&mut self, announcement: backend::Announcement, renewed: Timestamp, version: u64) {
        self.renewed = renewed;
        self.row.renewal_version = version;
        if !announcement.same_profile(&self.announcement) {
            self.row.base = announcement.sequence;
            self.row.profile_version = version;
        }
        self.tell(&announcement.load, version);
        self.announcement = announcement;
    }

    /// Takes a newer announcement with the same profile.
    fn renew_known(&mut self, report: &renewal::Report, renewed: Timestamp, version: u64) {
        self.renewed = renewed;
        self.row.renewal_version = version;
        self.announcement.sequence = report.sequence;
        if let Some(load) = report.load() {
            self.tell(&load, version);
            self.announcement.load = load;
        }
    }

    /// Takes the announcement that is known once more.
    fn repeat(&mut self, timestamp: Timestamp, version: u64) {
        let combined = self.renewed.combine(timestamp);
        if combined != self.renewed {
            self.renewed = combined;
            self.row.renewal_version = version;
        }
    }

    /// Notes load figures that entry VMs are to be told, if they changed enough.
    fn tell(&mut self, load: &backend::Load, version: u64) {
        if load.differs(&self.row.told) {
            self.row.told = *load;
            self.row.load_version = version;
        }
    }

    fn heard(&self, now_ms: u64) -> sync::Heard {
        sync::Heard {
            announcement: self.announcement.clone(),
            age_ms: self.renewed.age_ms(now_ms),
        }
    }

    fn renewal(&self, now_ms: u64, since: u64) -> renewal::Renewal {
        let age_ms = self.renewed.age_ms(now_ms);
        let sequence = self.announcement.sequence - self.row.base;
        let load = (self.row.load_version > since).then_some(self.row.told);
        renewal::Renewal::new(self.row.slot, sequence, age_ms, load)
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
