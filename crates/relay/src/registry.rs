//! Backend servers as they announce themselves.

use std::collections::BTreeMap;

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

/// How long a backend server that said it leaves, or that is gone, stays known,
/// so that a delayed announcement does not bring it back. Announcements are
/// delayed by seconds, a partition holds them up for longer.
const TOMBSTONE_MS: u64 = 300_000;
/// Time between two checks for silence from which the process was frozen itself, in
/// milliseconds. Checks are due every 20 ms; announcements every second and more.
const ABSENCE_MS: u64 = 1_000;

/// What a backend server says of its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It takes no new work.
    Leaving,
    /// It has not announced itself for long.
    Silent,
}

/// One announcement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The id of the backend server.
    pub id: Name,
    /// The service that it runs.
    pub service: Name,
    /// Its address, IP and port.
    pub address: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// When it started, in Unix milliseconds of its own clock; 0 if unknown. A
    /// restart under the same id has a later one.
    pub started_ms: u64,
    /// Increases with each announcement of one start.
    pub sequence: u64,
}

impl Announcement {
    /// Describes a backend server of which only its leaving is known.
    fn gone(id: Name, started_ms: u64) -> Announcement {
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

    /// Returns whether both have the same known address.
    fn shares_address(&self, other: &Announcement) -> bool {
        !self.address.is_empty() && self.address == other.address
    }
}

/// What is known of one backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When it was heard from, on the clock of this process.
    #[serde(skip)]
    pub last_seen_ms: u64,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Nothing that others need to know.
    Renewed,
    /// The entry is new or differs.
    Changed,
    /// The announcement is older than what is known.
    Stale,
}

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    backends: BTreeMap<Name, Backend>,
    /// When silence was checked for last.
    checked_ms: Option<u64>,
}

impl Registry {
    /// Returns what is known, by id.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns one backend server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Takes an announcement, from the backend server or from another process.
    ///
    /// Within one start a backend server that leaves never becomes ready again,
    /// whatever arrives late. An announcement at the address of another entry
    /// with an earlier start takes that address over.
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
        let successor = self.backends.values().any(|other| {
            other.announcement.shares_address(&announcement)
                && other.announcement.started_ms > announcement.started_ms
                && announcement.started_ms > 0
        });
        if successor {
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

    /// Notes that a backend server goes, also one that is not known: other processes
    /// may know it, or its announcement may come later. Returns the entry if it changed.
    pub fn leave(&mut self, id: &str, started_ms: u64, now_ms: u64) -> Option<Announcement> {
        let Some(known) = self.backends.get_mut(id) else {
            let announcement = Announcement::gone(id.into(), started_ms);
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

    /// Marks backend servers that were silent for long and forgets old ones.
    /// Returns the entries that changed. Time in which this was not called does not
    /// count, as nobody listened.
    pub fn expire(&mut self, now_ms: u64, silent_ms: u64) -> Vec<Announcement> {
        let checked_ms = self.checked_ms.replace(now_ms);
        if checked_ms.is_some_and(|checked_ms| now_ms > checked_ms + ABSENCE_MS) {
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

    /// Counts every entry as heard from now, as a new leader does: it cannot
    /// tell silence from its own absence.
    pub fn refresh(&mut self, now_ms: u64) {
        for backend in self.backends.values_mut() {
            backend.last_seen_ms = now_ms;
        }
    }
}

/// Returns whether an announcement must not replace what is known of its id.
fn is_older(new: &Announcement, old: &Announcement) -> bool {
    if new.started_ms != old.started_ms {
        return new.started_ms < old.started_ms;
    }
    // Leaving is final within one start, whatever the numbers say: a leader that tells
    // of it may know an older announcement than the receiver.
    match (old.state == State::Leaving, new.state == State::Leaving) {
        (true, false) => true,
        (false, true) => false,
        _ => new.sequence < old.sequence,
    }
}
