//! Detection of poison requests, which crash the backend servers that run them.
//!
//! A request whose backend server breaks the connection gets a strike for that crash.
//! Strikes are counted by a fingerprint of the request's content, as callers retry it
//! under other ids and through other entry VMs. A complete answer clears the request, so
//! that one that merely ran on a backend server that crashed is soon rid of its strikes.
//!
//! Processes exchange the crashes themselves and not their number. The crashes that
//! several of them see at the same time, or while there is no leader, add up whichever
//! way the messages take.
//!
//! A burst of crashes gives strikes to harmless requests too, and a request that is
//! refused cannot clear itself. A refused request is therefore admitted as a trial
//! from time to time. The pauses between trials grow exponentially, which bounds the
//! number of crashes that a poison request causes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Strikes from which a request is refused. Two are not enough, as single answers break
/// off by chance.
const REFUSE_AT: usize = 3;
/// Time within which broken connections to one backend server are one crash, in
/// milliseconds. A crash breaks all of them at once, and a restart takes longer.
const SAME_CRASH_MS: u64 = 100;
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
/// Most suspects in memory. Those with the fewest strikes are dropped first, and of
/// these the oldest.
const SUSPECTS_MAX: usize = 10_000;
/// Most crashes that are kept of one suspect, and as many that it was cleared of.
const CRASHES_MAX: usize = 16;

/// A hash of the content of a request.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the parts that make two requests the same: host, path with query
    /// (`target`) and body.
    pub fn new(host: &str, target: &str, body: &[u8]) -> Fingerprint {
        Fingerprint(hash(&[host.as_bytes(), target.as_bytes(), body]))
    }
}

/// Hashes parts so that bytes that move from one to the next change the result.
fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// One run of the program of a backend server, from its start to its end.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates the incarnation of the backend server `id` that announced to have started
    /// at `started_ms`, in Unix milliseconds.
    pub fn new(id: &str, started_ms: u64) -> Incarnation {
        Incarnation(hash(&[id.as_bytes(), &started_ms.to_le_bytes()]))
    }
}

/// A crash of a backend server under a request. All processes that see the same crash
/// give it the same value.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Crash {
    incarnation: Incarnation,
    /// Counts further crashes of what seemed to be the same incarnation: a restart that
    /// was not announced yet, or answers that break off while the program goes on.
    number: u32,
}

/// What is known against the requests with one content, as processes tell it to each
/// other. It only grows, so that it may be merged in any order and more than once.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// The fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Crashes that no complete answer has followed.
    crashes: BTreeSet<Crash>,
    /// Crashes that a complete answer has followed.
    cleared: BTreeSet<Crash>,
}

impl Evidence {
    fn new(fingerprint: Fingerprint) -> Evidence {
        Evidence {
            fingerprint,
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
        }
    }

    /// Returns the number of strikes.
    pub fn strikes(&self) -> usize {
        self.crashes.len()
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Adds what another process knows. Returns whether anything was new.
    fn merge(&mut self, other: &Evidence) -> bool {
        let before = self.clone();
        self.cleared.extend(&other.cleared);
        while self.cleared.len() > CRASHES_MAX {
            self.cleared.pop_first();
        }
        self.crashes.extend(&other.crashes);
        let cleared = &self.cleared;
        self.crashes.retain(|crash| !cleared.contains(crash));
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_last();
        }
        *self != before
    }

    /// Returns the number that a further crash of an incarnation gets.
    fn next_number(&self, incarnation: Incarnation) -> u32 {
        let known = self.crashes.iter().chain(&self.cleared);
        let numbers = known.filter(|crash| crash.incarnation == incarnation);
        numbers
            .map(|crash| crash.number + 1)
            .max()
            .unwrap_or_default()
    }
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

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    /// When this process learned of the last crash of each incarnation, in monotonic
    /// milliseconds.
    learned_ms: BTreeMap<Incarnation, u64>,
    /// When this process learned of the last strike, in monotonic milliseconds.
    last_strike_ms: u64,
    /// End of the time that is reserved for a trial of this process; 0 without one.
    trial_until_ms: u64,
    /// The place in the order of the suspects that are dropped first.
    rank: Rank,
}

/// The number of strikes, the order in which the records were created, and the suspect.
type Rank = (usize, u64, Fingerprint);

impl Record {
    /// Returns when the request may be tried again; `None` if it has too few strikes to
    /// be refused.
    fn refused_until_ms(&self) -> Option<u64> {
        let trials = self.evidence.strikes().checked_sub(REFUSE_AT)? as u32;
        Some(self.last_strike_ms + (PAUSE_MS << trials.min(DOUBLINGS_MAX)))
    }
}

/// The suspects that one process knows, with their strikes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    /// The records in the order in which they are dropped.
    order: BTreeSet<Rank>,
    created: u64,
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

    /// Adds a strike, as an incarnation of a backend server broke the connection of a
    /// request. Returns what is known now, for the other processes.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Evidence {
        let mut evidence = self.evidence(fingerprint);
        let record = self.records.get(&fingerprint);
        let learned_ms = record.and_then(|record| record.learned_ms.get(&incarnation));
        if learned_ms.is_some_and(|at_ms| now_ms < at_ms + SAME_CRASH_MS) {
            return evidence;
        }
        let number = evidence.next_number(incarnation);
        evidence.crashes.insert(Crash {
            incarnation,
            number,
        });
        self.merge(&evidence, now_ms);
        evidence
    }

    /// Clears a request that got a complete answer. Returns what is known now, for the
    /// other processes, if it had strikes.
    pub fn finished(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Option<Evidence> {
        let mut evidence = self.evidence(fingerprint);
        if evidence.crashes.is_empty() {
            return None;
        }
        evidence.cleared.append(&mut evidence.crashes);
        self.merge(&evidence, now_ms);
        Some(evidence)
    }

    /// Applies what another process knows. Returns whether anything was new.
    pub fn merge(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        let fingerprint = evidence.fingerprint;
        if !self.records.contains_key(&fingerprint) && evidence.is_empty() {
            return false;
        }
        let created = self.created;
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            evidence: Evidence::new(fingerprint),
            learned_ms: BTreeMap::new(),
            last_strike_ms: 0,
            trial_until_ms: 0,
            rank: (0, created, fingerprint),
        });
        self.created += 1;
        let known = record.evidence.crashes.clone();
        if !record.evidence.merge(evidence) {
            return false;
        }
        let crashes = &record.evidence.crashes;
        for crash in crashes.difference(&known) {
            record.learned_ms.insert(crash.incarnation, now_ms);
            record.last_strike_ms = now_ms;
            record.trial_until_ms = 0;
        }
        record.learned_ms.retain(|incarnation, _| {
            crashes
                .iter()
                .any(|crash| crash.incarnation == *incarnation)
        });
        self.order.remove(&record.rank);
        record.rank.0 = crashes.len();
        self.order.insert(record.rank);
        while self.records.len() > SUSPECTS_MAX {
            let Some((_, _, dropped)) = self.order.pop_first() else {
                break;
            };
            self.records.remove(&dropped);
        }
        true
    }

    /// Returns what is known about all suspects, for a process that connects.
    pub fn all(&self) -> Vec<Evidence> {
        let records = self.records.values();
        records.map(|record| record.evidence.clone()).collect()
    }

    /// Returns what is known about one content.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Evidence {
        let record = self.records.get(&fingerprint);
        record.map_or_else(
            || Evidence::new(fingerprint),
            |record| record.evidence.clone(),
        )
    }
}
