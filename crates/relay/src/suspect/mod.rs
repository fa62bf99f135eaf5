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
//! A request with three strikes is refused. It may still run as a trial, which the
//! control group grants; see [`trial`].

pub mod trial;

use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Strikes from which a request is refused. Two are not enough, as single answers break
/// off by chance.
const REFUSE_AT: usize = 3;
/// Time within which broken connections to one backend server are one crash, in
/// milliseconds. A crash breaks all of them at once, and a restart takes longer.
const SAME_CRASH_MS: u64 = 100;
/// Time after a crash under another request in which the fleet is not calm, in
/// milliseconds. Crashes of one burst are closer together.
const CALM_MS: u64 = 2_000;
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

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    /// When this process learned of the last crash of each incarnation, in monotonic
    /// milliseconds.
    learned_ms: BTreeMap<Incarnation, u64>,
    /// The place in the order of the suspects that are dropped first.
    rank: Rank,
}

/// The number of strikes, the order in which the records were created, and the suspect.
type Rank = (usize, u64, Fingerprint);

/// The suspects that one process knows, with their strikes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    /// The records in the order in which they are dropped.
    order: BTreeSet<Rank>,
    created: u64,
    /// The last crash that this process learned of, and the last one under another
    /// request than that, with the monotonic time.
    last_crashes: [Option<(Fingerprint, u64)>; 2],
}

impl Suspects {
    /// Returns whether a request has too many strikes to run, unless it is a trial.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.strikes(fingerprint) >= REFUSE_AT
    }

    /// Returns the number of strikes against a request.
    pub fn strikes(&self, fingerprint: Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.evidence.strikes())
    }

    /// Returns whether no backend server crashed recently under another request. A trial
    /// at such a time shows best whether it is the cause.
    pub fn is_calm(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let mut crashes = self.last_crashes.iter().flatten();
        !crashes.any(|(other, at_ms)| *other != fingerprint && now_ms < at_ms + CALM_MS)
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
            let [last, other] = &mut self.last_crashes;
            if last.is_some_and(|(last, _)| last != fingerprint) {
                *other = *last;
            }
            *last = Some((fingerprint, now_ms));
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
