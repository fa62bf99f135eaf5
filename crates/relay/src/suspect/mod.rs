//! Detection of poison requests, which crash the backend servers that run them.
//!
//! A request whose backend server breaks the connection gets a strike. Strikes are
//! counted by a fingerprint of the request's content, as callers retry it under other
//! ids and through other entry VMs. A complete answer clears the request, so that one
//! that merely ran on a backend server that crashed is soon rid of its strikes.
//!
//! A burst of crashes gives strikes to harmless requests too, and a request that is
//! refused cannot clear itself. A refused request is therefore admitted as a trial
//! from time to time. The pauses between trials grow exponentially, which bounds the
//! number of crashes that a poison request causes.

use std::collections::{HashMap, VecDeque};

/// Strikes from which a request is refused. Two are not enough, as single answers break
/// off by chance.
const REFUSE_AT: u32 = 3;
/// Time after the last strike in which a suspect is refused, in milliseconds. It
/// doubles with each failed trial. Bursts of crashes end within seconds, and a
/// backend server has restarted before the next trial.
const PAUSE_MS: u64 = 10_000;
/// Most doublings of the pause, which is an hour and a half at most.
const DOUBLINGS_MAX: u32 = 9;
/// Time after the start of a trial in which a process starts no other trial of the
/// same content, in milliseconds. Most requests end sooner, and a crash is noticed
/// at once.
const TRIAL_MS: u64 = 10_000;
/// Most suspects in memory; the oldest are dropped first.
const SUSPECTS_MAX: usize = 10_000;
/// Most suspects in the outbox, which bounds its memory.
const OUTBOX_MAX: usize = 1_000;

/// A hash of the content of a request.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the parts that make two requests the same: host, path with query
    /// (`target`) and body.
    pub fn new(host: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [host.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest())
    }
}

/// The number of strikes of a suspect, as processes tell it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Strike {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Strikes since the request was last cleared; 0 clears it.
    pub count: u32,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run like any other request.
    Admitted,
    /// It may run, to find out whether it still crashes backend servers.
    Trial,
    /// It must not run now.
    Refused {
        /// Time until it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Strikes since the request was last cleared.
    count: u32,
    /// When this process learned of the last strike, in monotonic milliseconds.
    last_strike_ms: u64,
    /// End of the time that is reserved for a trial of this process; 0 without one.
    trial_until_ms: u64,
}

impl Record {
    /// Returns when the request may be tried again; `None` if it has too few strikes to
    /// be refused.
    fn refused_until_ms(&self) -> Option<u64> {
        let trials = self.count.checked_sub(REFUSE_AT)?;
        Some(self.last_strike_ms + (PAUSE_MS << trials.min(DOUBLINGS_MAX)))
    }
}

/// The suspects that one process knows, with their strikes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    /// Fingerprints in the order in which they became suspects, cleared ones included.
    order: VecDeque<Fingerprint>,
}

impl Suspects {
    /// Decides whether a request may run. `now_ms` is read from the monotonic clock.
    pub fn admit(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Admission {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Admission::Admitted;
        };
        let Some(refused_until_ms) = record.refused_until_ms() else {
            return Admission::Admitted;
        };
        let until_ms = refused_until_ms.max(record.trial_until_ms);
        if now_ms < until_ms {
            let retry_after_ms = until_ms - now_ms;
            return Admission::Refused { retry_after_ms };
        }
        record.trial_until_ms = now_ms + TRIAL_MS;
        Admission::Trial
    }

    /// Returns whether an admitted request must not be retried: it has enough strikes
    /// to be refused and no trial of it is under way.
    pub fn is_refused(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.refused_until_ms().is_some() && now_ms >= record.trial_until_ms
        })
    }

    /// Adds a strike, as a backend server broke the connection of a request. Returns
    /// the update for the other processes.
    pub fn crashed(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Strike {
        let count = self
            .records
            .get(&fingerprint)
            .map_or(0, |record| record.count)
            + 1;
        let strike = Strike { fingerprint, count };
        self.merge(strike, now_ms);
        strike
    }

    /// Clears a request that got a complete answer. Returns the update for the other
    /// processes if it had strikes.
    pub fn finished(&mut self, fingerprint: Fingerprint) -> Option<Strike> {
        self.records.remove(&fingerprint)?;
        let count = 0;
        Some(Strike { fingerprint, count })
    }

    /// Applies an update of another process. Returns whether it changed anything: one
    /// with no more strikes than are known arrived after a newer one.
    pub fn merge(&mut self, strike: Strike, now_ms: u64) -> bool {
        let Strike { fingerprint, count } = strike;
        if count == 0 {
            return self.records.remove(&fingerprint).is_some();
        }
        let known = self.records.get(&fingerprint).map(|record| record.count);
        if known >= Some(count) {
            return false;
        }
        let record = Record {
            count,
            last_strike_ms: now_ms,
            trial_until_ms: 0,
        };
        if self.records.insert(fingerprint, record).is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > SUSPECTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
        true
    }

    /// Returns the strikes of all suspects, for a process that connects.
    pub fn all(&self) -> Vec<Strike> {
        let records = self.records.iter();
        records
            .map(|(fingerprint, record)| Strike {
                fingerprint: *fingerprint,
                count: record.count,
            })
            .collect()
    }
}

/// Updates of one process that were not sent to a leader yet.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    updates: HashMap<Fingerprint, Vec<Strike>>,
}

impl Outbox {
    /// Adds an update, which replaces an earlier one of the same suspect. A strike
    /// doesn't replace the update that cleared the suspect: without it the receiver
    /// would take the strike for an older one than those that it counted before.
    /// Updates of further suspects are dropped while the outbox is full.
    pub fn add(&mut self, strike: Strike) {
        let known = self.updates.contains_key(&strike.fingerprint);
        if !known && self.updates.len() >= OUTBOX_MAX {
            return;
        }
        let updates = self.updates.entry(strike.fingerprint).or_default();
        updates.retain(|earlier| earlier.count == 0 && strike.count > 0);
        updates.push(strike);
    }

    /// Removes and returns all updates. Those of one suspect keep their order.
    pub fn take(&mut self) -> Vec<Strike> {
        std::mem::take(&mut self.updates)
            .into_values()
            .flatten()
            .collect()
    }
}
