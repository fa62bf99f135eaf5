//! The registry of backend servers, built from their announcements.

use std::{collections::BTreeMap, net};

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

/// How long the entry of a backend server that leaves or is silent is kept after its
/// last announcement, in milliseconds, so that a delayed announcement does not restore
/// it. Announcements are delayed by seconds, and for longer in a network partition.
const TOMBSTONE_MS: u64 = 300_000;
/// Time between two calls of [`Registry::expire`] above which this process is taken to
/// have been frozen in between, in milliseconds. Calls are due every 20 ms,
/// announcements every second or less often.
const FREEZE_MS: u64 = 1_000;

/// Most slots that a backend server may announce. Placement visits each of them.
const SLOTS_MAX: u32 = 4_096;
/// Longest id, service or failure domain, in bytes.
const NAME_BYTES_MAX: usize = 256;
/// How far a start may lie in the future of this VM's clock, in milliseconds. An entry
/// from the far future would outrank every later one.
const CLOCK_SKEW_MAX_MS: u64 = 60 * 60 * 1_000;

/// Most backend servers of services that are not configured whose announcements are kept.
const DEFERRED_MAX: usize = 4_096;

/// Why an announcement cannot be meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Invalid {
    /// The id, the service or the failure domain is empty or too long.
    Name,
    /// The address is no unicast IP address with a port.
    Address,
    /// There are no slots, or more than any backend server has.
    Slots,
    /// The start is unknown or lies in the future.
    Start,
}

/// Whether an announcement may change an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It comes from a backend server of a service that is configured.
    Admitted,
    /// Its service is not configured, so that it may come from another writer. It changes
    /// nothing until the service is.
    Deferred,
    /// It cannot be meant.
    Refused(Invalid),
}

/// The state of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It takes no new work.
    Leaving,
    /// Its announcements have stopped; set by the leader, not by the backend server.
    Silent,
}

/// One announcement of a backend server, which doubles as its heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The id of the backend server.
    pub id: Name,
    /// The service that it runs.
    pub service: Name,
    /// Its IP address and port; empty if only its leaving is known.
    pub address: Name,
    /// The failure domain of its VM.
    pub failure_domain: Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// When the process started, in Unix milliseconds of its own clock; 0 if only its
    /// leaving is known. A restart under the same id has a later time.
    pub started_ms: u64,
    /// Sequence number, which increases with each announcement since the start.
    pub sequence: u64,
}

impl Announcement {
    /// Checks what a backend server says of itself, at a Unix time in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the announcement cannot be meant, as one from a faulty program.
    pub fn check(&self, unix_ms: u64) -> Result<(), Invalid> {
        let mut names = [&self.id, &self.service, &self.failure_domain].into_iter();
        if names.any(|name| name.is_empty() || name.len() > NAME_BYTES_MAX) {
            return Err(Invalid::Name);
        }
        let address = self.address.parse::<net::SocketAddr>().ok();
        let is_usable = |address: net::SocketAddr| {
            let ip = address.ip();
            address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast()
        };
        if !address.is_some_and(is_usable) {
            return Err(Invalid::Address);
        }
        if self.slots == 0 || self.slots > SLOTS_MAX {
            return Err(Invalid::Slots);
        }
        let latest_ms = unix_ms.saturating_add(CLOCK_SKEW_MAX_MS);
        if self.started_ms == 0 || self.started_ms > latest_ms {
            return Err(Invalid::Start);
        }
        Ok(())
    }

    /// Creates the entry of a backend server of which only its leaving is known.
    fn tombstone(id: Name, started_ms: u64) -> Announcement {
        Announcement {
            id,
            service: Name::default(),
            address: Name::default(),
            failure_domain: Name::default(),
            slots: 0,
            state: State::Leaving,
            started_ms,
            sequence: 0,
        }
    }

    /// Returns whether both have the same address. An unknown one equals no other.
    fn shares_address(&self, other: &Announcement) -> bool {
        !self.address.is_empty() && self.address == other.address
    }
}

/// The entry of one backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When it last announced itself, in monotonic milliseconds of this process.
    #[serde(skip)]
    pub last_seen_ms: u64,
}

/// What is known of one start of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sign {
    /// The id of the backend server.
    pub id: Name,
    /// When it started, in Unix milliseconds.
    pub started_ms: u64,
    /// What is known.
    pub kind: Kind,
}

/// Whether a backend server runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It has ended.
    Ended,
    /// Its announcements have stopped.
    Silent,
    /// It announced itself.
    Alive,
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The entry stays the same but for its sequence number and the time of contact.
    Renewed,
    /// The entry is new or differs, which other processes need to learn.
    Changed,
    /// The announcement was ignored, as a newer one is known.
    Stale,
}

/// All known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    backends: BTreeMap<Name, Backend>,
    /// When [`Registry::expire`] was last called.
    checked_ms: Option<u64>,
}

impl Registry {
    /// Returns all entries, ordered by id.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns the entry of one backend server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Decides whether an announcement of a backend server may change an entry, at a Unix
    /// time in milliseconds.
    ///
    /// This is the only place where that is decided: whatever the id or the address is, an
    /// announcement that is not admitted must not be applied. A backend server that is known
    /// goes on to be heard if its service is removed from the configuration.
    pub fn admit(
        &self,
        announcement: &Announcement,
        is_configured: impl Fn(&Name) -> bool,
        unix_ms: u64,
    ) -> Admission {
        if let Err(invalid) = announcement.check(unix_ms) {
            return Admission::Refused(invalid);
        }
        let known = self.get(&announcement.id);
        let service = &announcement.service;
        let is_known = known.is_some_and(|known| known.announcement.service == *service);
        match is_known || is_configured(service) {
            true => Admission::Admitted,
            false => Admission::Deferred,
        }
    }

    /// Returns what an announcement that is not applied yet shows of starts of backend
    /// servers: an earlier one under the same id has ended, and so have earlier ones at the
    /// same address; its own start was alive if its state changed, or is silent.
    pub fn signs(&self, announcement: &Announcement) -> Vec<Sign> {
        let sign = |of: &Announcement, kind| Sign {
            id: of.id.clone(),
            started_ms: of.started_ms,
            kind,
        };
        let known = self.backends.values().map(|backend| &backend.announcement);
        let ended = known.filter(|known| {
            known.started_ms < announcement.started_ms
                && (known.id == announcement.id || known.shares_address(announcement))
        });
        let mut signs: Vec<Sign> = ended.map(|ended| sign(ended, Kind::Ended)).collect();
        let known = self.get(&announcement.id);
        let is_changed = known.is_some_and(|known| {
            let known = &known.announcement;
            known.started_ms == announcement.started_ms && known.state != announcement.state
        });
        if is_changed {
            let kind = match announcement.state {
                State::Silent => Kind::Silent,
                State::Ready | State::Leaving => Kind::Alive,
            };
            signs.push(sign(announcement, kind));
        }
        signs
    }

    /// Applies an announcement that came from the backend server or from another
    /// process.
    ///
    /// A backend server that leaves becomes ready again only by a restart, whichever
    /// announcements arrive late. The first announcement of a backend server takes its
    /// address over from other entries and marks them as leaving, unless one of them is
    /// known to have started later.
    pub fn announce(&mut self, announcement: Announcement, now_ms: u64) -> Outcome {
        if let Some(known) = self.backends.get_mut(&announcement.id) {
            let old = &known.announcement;
            if is_older(&announcement, old) {
                return Outcome::Stale;
            }
            known.last_seen_ms = now_ms;
            let same = Announcement {
                sequence: announcement.sequence,
                ..old.clone()
            } == announcement;
            known.announcement = announcement;
            return if same {
                Outcome::Renewed
            } else {
                Outcome::Changed
            };
        }
        let superseded = self.backends.values().any(|other| {
            other.announcement.shares_address(&announcement)
                && other.announcement.started_ms > announcement.started_ms
        });
        if superseded {
            return Outcome::Stale;
        }
        for other in self.backends.values_mut() {
            let old = &mut other.announcement;
            if old.shares_address(&announcement) && old.state != State::Leaving {
                old.state = State::Leaving;
            }
        }
        let backend = Backend {
            announcement,
            last_seen_ms: now_ms,
        };
        let id = backend.announcement.id.clone();
        self.backends.insert(id, backend);
        Outcome::Changed
    }

    /// Marks a backend server as leaving. An unknown one gets an entry too, as other
    /// processes may know it or its announcement may arrive later. Returns the entry if
    /// it changed.
    pub fn leave(&mut self, id: &str, started_ms: u64, now_ms: u64) -> Option<Announcement> {
        let Some(known) = self.backends.get_mut(id) else {
            let announcement = Announcement::tombstone(id.into(), started_ms);
            let backend = Backend {
                announcement: announcement.clone(),
                last_seen_ms: now_ms,
            };
            self.backends.insert(id.into(), backend);
            return Some(announcement);
        };
        let old = &mut known.announcement;
        if (started_ms > 0 && old.started_ms > started_ms) || old.state == State::Leaving {
            return None;
        }
        old.state = State::Leaving;
        Some(old.clone())
    }

    /// Marks ready backend servers as silent that did not announce themselves for more
    /// than `silent_ms`, and removes old entries that are not ready. Returns the entries
    /// that changed.
    ///
    /// If the last call was long ago, all entries are refreshed first: this process was
    /// frozen and could not receive announcements.
    pub fn expire(&mut self, now_ms: u64, silent_ms: u64) -> Vec<Announcement> {
        let checked_ms = self.checked_ms.replace(now_ms);
        if checked_ms.is_some_and(|checked_ms| now_ms > checked_ms + FREEZE_MS) {
            self.refresh(now_ms);
        }
        self.backends.retain(|_, backend| {
            backend.announcement.state == State::Ready
                || now_ms < backend.last_seen_ms.saturating_add(TOMBSTONE_MS)
        });
        let mut changed = Vec::new();
        for backend in self.backends.values_mut() {
            let silent = now_ms > backend.last_seen_ms.saturating_add(silent_ms);
            if silent && backend.announcement.state == State::Ready {
                backend.announcement.state = State::Silent;
                changed.push(backend.announcement.clone());
            }
        }
        changed
    }

    /// Treats every backend server as if it announced itself now. A new leader does so,
    /// as it did not receive the announcements before. It may be frozen before its first
    /// call of [`Registry::expire`].
    pub fn refresh(&mut self, now_ms: u64) {
        self.checked_ms = Some(now_ms);
        for backend in self.backends.values_mut() {
            backend.last_seen_ms = now_ms;
        }
    }
}

/// The newest announcements of backend servers whose services are not configured.
#[derive(Clone, Debug, Default)]
pub struct Deferred {
    backends: BTreeMap<Name, Backend>,
}

impl Deferred {
    /// Adds an announcement. Returns whether the backend server was not in the list before;
    /// a full list takes no more of them.
    pub fn add(&mut self, announcement: Announcement, now_ms: u64) -> bool {
        let known = self.backends.get(&announcement.id);
        if known.is_some_and(|known| is_older(&announcement, &known.announcement)) {
            return false;
        }
        let is_new = known.is_none();
        if is_new && self.backends.len() >= DEFERRED_MAX {
            return false;
        }
        let id = announcement.id.clone();
        let backend = Backend {
            announcement,
            last_seen_ms: now_ms,
        };
        self.backends.insert(id, backend);
        is_new
    }

    /// Removes a backend server that leaves.
    pub fn remove(&mut self, id: &str) {
        self.backends.remove(id);
    }

    /// Removes and returns the announcements of services that are configured now.
    pub fn take(&mut self, is_configured: impl Fn(&Name) -> bool) -> Vec<Announcement> {
        let taken = self.backends.extract_if(.., |_, backend| {
            is_configured(&backend.announcement.service)
        });
        taken.map(|(_, backend)| backend.announcement).collect()
    }

    /// Removes backend servers that did not announce themselves for more than `silent_ms`.
    pub fn expire(&mut self, now_ms: u64, silent_ms: u64) {
        self.backends
            .retain(|_, backend| now_ms <= backend.last_seen_ms.saturating_add(silent_ms));
    }
}

/// Returns whether an announcement must not replace the known one with the same id.
fn is_older(new: &Announcement, old: &Announcement) -> bool {
    if new.started_ms != old.started_ms {
        return new.started_ms < old.started_ms;
    }
    // Leaving is final until a restart and takes precedence over sequence numbers: the
    // leader that reports it may know an older announcement than the receiver.
    match (old.state == State::Leaving, new.state == State::Leaving) {
        (true, false) => true,
        (false, true) => false,
        _ => new.sequence < old.sequence,
    }
}
