//! Detection of what crashes backend servers: whole requests, and parts of prompts.
//!
//! A request whose backend server breaks the connection gets a strike for that crash, and
//! so does each part of its prompt but the last, which belongs to the request alone.
//! Requests are known by a fingerprint of their content, as callers retry them under
//! other ids and through other entry VMs. A request is refused for a culprit that explains
//! the crashes; see [`culprit`].
//!
//! A whole answer to a run that was sent after a crash clears the request and its parts of
//! that crash, so that those that merely ran on a backend server that crashed are soon rid
//! of their strikes. Whole answers of before show that a part was sound; they don't clear
//! it, but it takes more crashes to refuse it.
//!
//! Processes exchange the crashes themselves and not their number. The crashes that
//! several of them see at the same time, or while there is no leader, add up whichever
//! way the messages take.
//!
//! What is refused may still run as a trial, which the programs grant.

mod answers;
pub mod culprit;
mod request;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::Hash,
};

use answers::Answers;
pub use culprit::Refusal;
pub use request::Request;

/// Time within which broken connections to one backend server are one crash, in
/// milliseconds. A crash breaks all of them at once, and a restart takes longer.
const SAME_CRASH_MS: u64 = 100;
/// Time after a crash under another request in which the fleet is not calm, in
/// milliseconds. Crashes of one burst are closer together.
pub const CALM_MS: u64 = 2_000;
/// Time from the first crash of a suspect to the send of a run from which a crash of that
/// run is a later one, in milliseconds. A burst of crashes ends within that time, and
/// answers to sound requests are complete.
const LATER_MS: u64 = 1_000;
/// Strikes of an unanswered part from which a request with it is not sent again after it
/// broke off.
const NO_RESEND_AT: usize = 2;
/// Most suspects in memory. Those with the fewest strikes are dropped first, and of
/// these the oldest.
pub const SUSPECTS_MAX: usize = 10_000;
/// Most crashes that are kept of one suspect, and as many that it was cleared of.
const CRASHES_MAX: usize = 16;
/// Most backend servers whose last crash is kept, and most crashes.
const INCARNATIONS_MAX: usize = 4_096;
/// The part of the entries that is dropped when there are too many, as a divisor.
const DROPPED_PART: usize = 10;

/// A hash of the content of a request, or of the id of a part of its prompt.
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

    /// Hashes the id of a part of a prompt, whichever route the request has.
    pub fn of_part(id: &str) -> Fingerprint {
        Fingerprint(hash(&[id.as_bytes()]))
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
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
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
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Crash {
    incarnation: Incarnation,
    /// Counts further crashes of what seemed to be the same incarnation: a restart that
    /// was not announced yet, or answers that break off while the program goes on.
    number: u32,
}

/// What is known against one content or part, as processes tell it to each other. It only
/// grows, so that it may be merged in any order and more than once.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// The fingerprint of the content or part.
    pub fingerprint: Fingerprint,
    /// Crashes that no complete answer has followed.
    crashes: BTreeSet<Crash>,
    /// Crashes that a complete answer has followed.
    cleared: BTreeSet<Crash>,
    /// Those of `crashes` whose run was sent at least [`LATER_MS`] after the first of them
    /// was known.
    later: BTreeSet<Crash>,
    /// Whether a request with this part has been answered in whole; false for contents.
    answered: bool,
}

impl Evidence {
    /// Creates empty evidence.
    pub fn new(fingerprint: Fingerprint) -> Evidence {
        Evidence {
            fingerprint,
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            later: BTreeSet::new(),
            answered: false,
        }
    }

    /// Creates evidence from the crashes that versions before parts were judged stored.
    pub fn from_crashes(
        fingerprint: Fingerprint,
        crashes: BTreeSet<Crash>,
        cleared: BTreeSet<Crash>,
    ) -> Evidence {
        Evidence {
            crashes,
            cleared,
            ..Evidence::new(fingerprint)
        }
    }

    /// Returns the number of strikes.
    pub fn strikes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether a request with this part has been answered in whole.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Adds what another process knows.
    pub fn merge(&mut self, other: &Evidence) {
        self.cleared.extend(&other.cleared);
        self.crashes.extend(&other.crashes);
        let cleared = &self.cleared;
        self.crashes.retain(|crash| !cleared.contains(crash));
        while self.cleared.len() > CRASHES_MAX {
            self.cleared.pop_first();
        }
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_last();
        }
        self.later.extend(&other.later);
        let crashes = &self.crashes;
        self.later.retain(|crash| crashes.contains(crash));
        self.answered |= other.answered;
    }

    /// Clears the suspect of some crashes.
    fn clear(&mut self, is_cleared: impl Fn(&Crash) -> bool) {
        let cleared = self.crashes.iter().copied().filter(is_cleared);
        let known = Evidence {
            cleared: cleared.collect(),
            ..Evidence::new(self.fingerprint)
        };
        self.merge(&known);
    }
}

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    /// When this process learned of each crash, in monotonic milliseconds.
    learned_ms: BTreeMap<Crash, u64>,
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
    /// The last crash of each backend server, by its number, with the monotonic time at
    /// which this process learned of it.
    incarnations: HashMap<Incarnation, (u32, u64)>,
    /// When this process learned of each crash, under whichever request, in monotonic
    /// milliseconds. Evidence of a crash that is long cleared may come late.
    crashes: HashMap<Crash, u64>,
    /// The parts of requests that were answered in whole.
    answers: Answers,
    /// What requests are refused for; `None` if the evidence has changed.
    culprits: Option<culprit::Culprits>,
}

impl Suspects {
    /// Returns whether requests with this content or part alone are refused.
    pub fn is_refused(&mut self, fingerprint: Fingerprint) -> bool {
        let request = Request::new(fingerprint, &[]);
        self.refusal(&request).is_some()
    }

    /// Returns why a request must not run, unless as a trial.
    pub fn refusal(&mut self, request: &Request) -> Option<Refusal> {
        let (order, records) = (&self.order, &self.records);
        let culprits = self.culprits.get_or_insert_with(|| {
            let least = (culprit::REFUSE_AT, 0, Fingerprint(0));
            let heavy = order.range(least..);
            let records = heavy.filter_map(|(_, _, fingerprint)| records.get(fingerprint));
            culprit::Culprits::new(records.map(|record| &record.evidence))
        });
        culprits.refusal(request)
    }

    /// Returns whether a request that broke off may be sent to another backend server. A
    /// second crash under a part that no whole answer is known of makes it likely that
    /// there would be a third.
    pub fn may_resend(&self, request: &Request) -> bool {
        let mut parts = request.parts().iter();
        !parts.any(|part| {
            let record = self.records.get(part);
            record.is_some_and(|record| {
                record.evidence.strikes() >= NO_RESEND_AT && !record.evidence.answered
            })
        })
    }

    /// Returns the number of strikes against a content or part.
    pub fn strikes(&self, fingerprint: Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.evidence.strikes())
    }

    /// Returns when this process learned of the last crash of a content or part, in
    /// monotonic milliseconds.
    pub fn last_crash_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        let record = self.records.get(&fingerprint)?;
        record.learned_ms.values().max().copied()
    }

    /// Returns whether there are strikes against a request, or against a part of it that
    /// no whole answer is known of.
    pub fn is_suspect(&self, request: &Request) -> bool {
        let mut records = request
            .subjects()
            .filter_map(|subject| self.records.get(&subject));
        records.any(|record| record.evidence.strikes() > 0 && !record.evidence.answered)
    }

    /// Returns whether no backend server crashed recently under another request. A trial
    /// at such a time shows best whether it is the cause.
    pub fn is_calm(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let mut crashes = self.last_crashes.iter().flatten();
        !crashes.any(|(other, at_ms)| *other != fingerprint && now_ms < at_ms + CALM_MS)
    }

    /// Returns when this process learned of the last crash of any backend server, in
    /// monotonic milliseconds.
    pub fn last_any_crash_ms(&self) -> Option<u64> {
        self.crashes.values().max().copied()
    }

    /// Adds a strike for a content of which nothing else is known.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Evidence {
        let request = Request::new(fingerprint, &[]);
        self.request_crashed(&request, incarnation, now_ms, now_ms);
        self.evidence(fingerprint)
    }

    /// Adds a strike against a request and its parts, as an incarnation of a backend
    /// server broke the connection of a run that was sent at `sent_ms`. Returns what is
    /// known now where it changed, for the other processes.
    pub fn request_crashed(
        &mut self,
        request: &Request,
        incarnation: Incarnation,
        sent_ms: u64,
        now_ms: u64,
    ) -> Vec<Evidence> {
        let crash = self.crash(incarnation, now_ms);
        let parts = request.parts().len();
        let subjects = request.subjects().enumerate();
        let changed = subjects.filter_map(|(index, subject)| {
            let mut evidence = self.evidence(subject);
            if !evidence.crashes.insert(crash) {
                return None;
            }
            let record = self.records.get(&subject);
            let first_ms = record.and_then(|record| record.learned_ms.values().min());
            if first_ms.is_some_and(|first_ms| first_ms + LATER_MS <= sent_ms) {
                evidence.later.insert(crash);
            }
            evidence.answered |= index < parts && self.answers.contains(subject, now_ms);
            self.merge(&evidence, now_ms).then_some(evidence)
        });
        changed.collect()
    }

    /// Clears a content of all crashes, after a complete answer. Returns what is known
    /// now, for the other processes, if it had strikes.
    pub fn finished(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Option<Evidence> {
        self.clear(fingerprint, now_ms, now_ms)
    }

    /// Clears a request of the crashes that were known when a run of it was sent, after a
    /// complete answer, and its parts if the run has `succeeded`: another answer may be
    /// written without reading the prompt. Returns what is known now where it changed, for
    /// the other processes.
    pub fn request_answered(
        &mut self,
        request: &Request,
        succeeded: bool,
        sent_ms: u64,
        now_ms: u64,
    ) -> Vec<Evidence> {
        let mut changed = Vec::new();
        if let Some(content) = request.content() {
            changed.extend(self.clear(content, sent_ms, now_ms));
        }
        if succeeded {
            for part in request.parts() {
                self.answers.insert(*part, sent_ms, now_ms);
                changed.extend(self.clear(*part, sent_ms, now_ms));
            }
        }
        changed
    }

    /// Clears a suspect of the crashes that were known at `sent_ms`.
    fn clear(&mut self, subject: Fingerprint, sent_ms: u64, now_ms: u64) -> Option<Evidence> {
        let record = self.records.get(&subject)?;
        let mut evidence = record.evidence.clone();
        let known = record.learned_ms.iter();
        let known = known.filter(|(_, learned_ms)| **learned_ms <= sent_ms);
        evidence.cleared.extend(known.map(|(crash, _)| crash));
        evidence.answered |= self.answers.contains(subject, now_ms);
        let is_new = self.merge(&evidence, now_ms);
        is_new.then(|| self.evidence(subject))
    }

    /// Applies what another process knows. Returns whether anything was new.
    pub fn merge(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        self.note_crashes(evidence, now_ms);
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
        let before = record.evidence.clone();
        record.evidence.merge(evidence);
        if let Some(sent_ms) = self.answers.sent_ms(fingerprint) {
            let learned = |crash: &Crash| self.crashes.get(crash).copied().unwrap_or(now_ms);
            record.evidence.clear(|crash| learned(crash) <= sent_ms);
        }
        if record.evidence == before {
            return false;
        }
        let crashes = &record.evidence.crashes;
        for crash in crashes {
            if record.learned_ms.contains_key(crash) {
                continue;
            }
            let learned_ms = self.crashes.get(crash).copied();
            record
                .learned_ms
                .insert(*crash, learned_ms.unwrap_or(now_ms));
            let [last, other] = &mut self.last_crashes;
            if last.is_some_and(|(last, _)| last != fingerprint) {
                *other = *last;
            }
            *last = Some((fingerprint, now_ms));
        }
        record.learned_ms.retain(|crash, _| crashes.contains(crash));
        self.order.remove(&record.rank);
        if crashes.len().max(record.rank.0) >= culprit::REFUSE_AT {
            self.culprits = None;
        }
        record.rank.0 = crashes.len();
        self.order.insert(record.rank);
        self.drop_excess();
        true
    }

    /// Returns what is known about all suspects, for a process that connects.
    pub fn all(&self) -> Vec<Evidence> {
        let records = self.records.values();
        records.map(|record| record.evidence.clone()).collect()
    }

    /// Returns what is known about one content or part.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Evidence {
        let record = self.records.get(&fingerprint);
        record.map_or_else(
            || Evidence::new(fingerprint),
            |record| record.evidence.clone(),
        )
    }

    /// Notes that requests with a suspected part were answered here, if so. Returns
    /// whether the other processes don't know that yet.
    pub fn note_answered(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        if evidence.answered || !self.answers.contains(evidence.fingerprint, now_ms) {
            return false;
        }
        let mut known = self.evidence(evidence.fingerprint);
        known.answered = true;
        self.merge(&known, now_ms);
        true
    }

    /// Notes when this process learned of the crashes in evidence, and their numbers. Those
    /// that were cleared already have a number, too.
    fn note_crashes(&mut self, evidence: &Evidence, now_ms: u64) {
        for crash in evidence.crashes.iter().chain(&evidence.cleared) {
            self.crashes.entry(*crash).or_insert(now_ms);
            let last = self.incarnations.entry(crash.incarnation);
            let last = last.or_insert((crash.number, now_ms));
            if crash.number > last.0 {
                *last = (crash.number, now_ms);
            }
        }
        drop_oldest(&mut self.crashes, INCARNATIONS_MAX, |at_ms| *at_ms);
        drop_oldest(&mut self.incarnations, INCARNATIONS_MAX, |(_, at_ms)| {
            *at_ms
        });
    }

    /// Returns the crash of an incarnation that this process sees now.
    fn crash(&mut self, incarnation: Incarnation, now_ms: u64) -> Crash {
        let last = self.incarnations.get(&incarnation).copied();
        let number = match last {
            Some((number, at_ms)) if now_ms < at_ms + SAME_CRASH_MS => number,
            Some((number, _)) => number + 1,
            None => 0,
        };
        if last.is_none_or(|(last, _)| last < number) {
            self.incarnations.insert(incarnation, (number, now_ms));
        }
        Crash {
            incarnation,
            number,
        }
    }

    fn drop_excess(&mut self) {
        while self.records.len() > SUSPECTS_MAX {
            let Some((_, _, dropped)) = self.order.pop_first() else {
                break;
            };
            self.records.remove(&dropped);
        }
    }
}

/// Drops a part of the entries, those with the oldest times, if there are too many.
fn drop_oldest<K: Eq + Hash, V>(
    entries: &mut HashMap<K, V>,
    max: usize,
    at_ms: impl Fn(&V) -> u64,
) {
    if entries.len() <= max {
        return;
    }
    let mut times: Vec<u64> = entries.values().map(&at_ms).collect();
    let (_, oldest_ms, _) = times.select_nth_unstable(max / DROPPED_PART);
    let oldest_ms = *oldest_ms;
    entries.retain(|_, entry| at_ms(entry) > oldest_ms);
}
