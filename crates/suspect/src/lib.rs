//! Detection of what crashes backend servers: whole requests, and parts of prompts.
//!
//! A request gets a strike if its backend server breaks the connection, or ends in another
//! way before the answer is complete (see [`unsettled`]). So does each part of its prompt
//! but the last, which belongs to the request alone.
//! Requests are known by a fingerprint of their content, as callers retry them under
//! other ids and through other entry VMs. A request is refused for a culprit that explains
//! the crashes; see [`culprit`].
//!
//! A whole answer to a run that was sent after a crash clears the request and its parts of
//! that crash, so that those that merely ran on a backend server that crashed are soon rid
//! of their strikes. Whole answers of before show that a part was sound; they don't clear
//! it, but it takes more crashes to refuse it.
//!
//! A part that crashes backend servers does so in every run, after about the same time. A
//! run that was sent no earlier than the one that a crash met, and that writes on for
//! longer, therefore clears their common parts of that crash before it is complete. Runs
//! of batch items last for seconds and are preempted, so that few of them are ever
//! answered in whole.
//!
//! Processes exchange the crashes themselves and not their number. The crashes that
//! several of them see at the same time, or while there is no leader, add up whichever
//! way the messages take.
//!
//! What is refused may still run as a trial, which the programs grant.

mod answers;
pub mod culprit;
mod report;
mod request;
mod run;
mod timeline;
pub mod unsettled;

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::Hash,
};

use answers::Answers;
pub use culprit::Refusal;
pub use report::Report;
pub use request::Request;
use run::Age;
pub use run::{Run, SURVIVAL_MS, Writing};
use timeline::Timeline;

/// Time within which broken connections to one backend server are one crash, in
/// milliseconds. A crash breaks all of them at once, and a restart takes longer.
const SAME_CRASH_MS: u64 = 100;
/// Time after a crash that a suspect is not accused of in which the fleet is not calm, in
/// milliseconds. Crashes of one burst are closer together.
pub const CALM_MS: u64 = 2_000;
/// Time from the first crash of a suspect to the send of a run from which a crash of that
/// run is a later one, in milliseconds. A burst of crashes ends within that time, and
/// answers to sound requests are complete.
const LATER_MS: u64 = 1_000;
/// Strikes of an unanswered part from which a request with it is not sent again after it
/// broke off.
const NO_RESEND_AT: usize = 2;
/// Time after the last crash of a suspect in which a request with other likely suspects is
/// no trial of it, in milliseconds. Requests without them have been tried by then.
const OTHERS_WAIT_MS: u64 = 3_000;
/// Most suspects in memory. Those with the fewest strikes are dropped first, and of
/// these the oldest.
pub const SUSPECTS_MAX: usize = 10_000;
/// Most crashes that are kept of one suspect.
const CRASHES_MAX: usize = 16;
/// Most crashes in evidence that a suspect was cleared of.
const CLEARED_MAX: usize = 64;
/// Number of these that a process keeps, the latest ones. It leaves room for those of
/// another process that are to be told to all.
const CLEARED_KEPT: usize = 32;
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
    /// Whether a run with this part has been answered in whole or has outlived the time in
    /// which a deadly part crashes its backend server; false for contents.
    answered: bool,
    /// The ages of the youngest runs that `crashes` met. They are sent in a [`Report`] and
    /// are not stored: without them, only runs that are sent later clear a suspect.
    #[serde(skip)]
    ages: BTreeMap<Crash, Age>,
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
            ages: BTreeMap::new(),
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

    /// Removes the ages of runs, which are not stored.
    pub fn without_ages(mut self) -> Evidence {
        self.ages.clear();
        self
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Returns the backend servers whose crashes another process holds against the suspect
    /// and this evidence does not know.
    pub fn new_crashes(&self, other: &Evidence) -> Vec<Incarnation> {
        let crashes = other.crashes.iter().filter(|crash| !self.knows(crash));
        crashes.map(|crash| crash.incarnation).collect()
    }

    /// Returns whether a crash is held against the suspect or was.
    fn knows(&self, crash: &Crash) -> bool {
        self.crashes.contains(crash) || self.cleared.contains(crash)
    }

    /// Returns the age of the youngest run that a crash met, 0 if it is not known.
    fn age(&self, crash: &Crash) -> Age {
        self.ages.get(crash).copied().unwrap_or_default()
    }

    /// Notes the age of a run that a crash met. Returns whether no younger one is known.
    fn note_age(&mut self, crash: Crash, age: Age) -> bool {
        let known = self.ages.entry(crash).or_insert(Age::MAX);
        let is_younger = age < *known;
        *known = age.min(*known);
        is_younger
    }

    /// Adds what another process knows.
    pub fn merge(&mut self, other: &Evidence) {
        self.cleared.extend(&other.cleared);
        self.crashes.extend(&other.crashes);
        let cleared = &self.cleared;
        self.crashes.retain(|crash| !cleared.contains(crash));
        while self.cleared.len() > CLEARED_MAX {
            self.cleared.pop_first();
        }
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_last();
        }
        self.later.extend(&other.later);
        for (crash, age) in &other.ages {
            self.note_age(*crash, *age);
        }
        let crashes = &self.crashes;
        self.later.retain(|crash| crashes.contains(crash));
        self.ages.retain(|crash, _| crashes.contains(crash));
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

impl Record {
    /// Returns whether a crash met only runs that had outlived the time in which a deadly
    /// part crashes its backend server.
    fn has_old_runs(&self) -> bool {
        let mut ages = self.evidence.ages.values();
        ages.any(|age| age.has_survived())
    }

    /// Returns the crashes that count. One that met only runs of a part which had long
    /// been writing says little if other backend servers crashed at that time. `timeline`
    /// holds all crashes; `None` if there are no such runs.
    fn counted(&self, timeline: Option<&Timeline>) -> Cow<'_, BTreeSet<Crash>> {
        let crashes = &self.evidence.crashes;
        let Some(timeline) = timeline.filter(|_| self.has_old_runs()) else {
            return Cow::Borrowed(crashes);
        };
        let counted = crashes.iter().copied().filter(|crash| {
            let learned_ms = self.learned_ms.get(crash).copied().unwrap_or(0);
            !self.evidence.age(crash).has_survived()
                || !timeline.has_other(learned_ms, |other| self.evidence.knows(other))
        });
        Cow::Owned(counted.collect())
    }
}

/// The number of strikes, the order in which the records were created, and the suspect.
type Rank = (usize, u64, Fingerprint);

/// The lowest rank of a suspect that can be a culprit.
const LEAST_HEAVY: Rank = (culprit::REFUSE_AT, 0, Fingerprint(0));

/// The last crash of a backend server.
#[derive(Clone, Copy, Debug)]
struct Last {
    /// See [`Crash::number`].
    number: u32,
    /// When this process learned of it, in monotonic milliseconds.
    at_ms: u64,
    /// Whether the backend server is taken to have ended with it, so that connections that
    /// break now show nothing new.
    is_end: bool,
}

/// The suspects that one process knows, with their strikes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    /// The records in the order in which they are dropped.
    order: BTreeSet<Rank>,
    created: u64,
    /// The last crash of each backend server.
    incarnations: HashMap<Incarnation, Last>,
    /// When this process learned of each crash, under whichever request, in monotonic
    /// milliseconds. Evidence of a crash that is long cleared may come late.
    crashes: HashMap<Crash, u64>,
    /// The parts of requests that were answered in whole.
    answers: Answers,
    /// What requests are refused for; `None` if the evidence has changed.
    culprits: Option<culprit::Culprits>,
    /// Whether the culprits depend on crashes that they are not accused of.
    uses_timeline: bool,
}

impl Suspects {
    /// Returns whether requests with this content or part alone are refused.
    pub fn is_refused(&mut self, fingerprint: Fingerprint) -> bool {
        let request = Request::new(fingerprint, &[]);
        self.refusal(&request).is_some()
    }

    /// Returns why a request must not run, unless as a trial.
    pub fn refusal(&mut self, request: &Request) -> Option<Refusal> {
        let (order, records, crashes) = (&self.order, &self.records, &self.crashes);
        let uses_timeline = &mut self.uses_timeline;
        let culprits = self.culprits.get_or_insert_with(|| {
            let heavy = order.range(LEAST_HEAVY..);
            let heavy = heavy.filter_map(|(_, _, fingerprint)| records.get(fingerprint));
            let heavy: Vec<&Record> = heavy.collect();
            let has_old = heavy.iter().any(|record| record.has_old_runs());
            *uses_timeline = has_old;
            let timeline = has_old.then(|| Timeline::new(crashes));
            let suspicions = heavy.iter().map(|record| culprit::Suspicion {
                fingerprint: record.evidence.fingerprint,
                answered: record.evidence.answered,
                goes_on: !record.evidence.answered || !record.evidence.later.is_empty(),
                crashes: record.counted(timeline.as_ref()),
            });
            culprit::Culprits::new(suspicions.collect())
        });
        let mut refusal = culprits.refusal(request)?;
        // A trial of a request with another suspect would accuse the wrong one.
        refusal.has_others |= request.subjects().any(|subject| {
            let is_likely = |record: &Record| {
                record.evidence.strikes() >= NO_RESEND_AT && !record.evidence.answered
            };
            records.get(&subject).is_some_and(is_likely)
                && !culprits.are_one(subject, refusal.fingerprint)
        });
        Some(refusal)
    }

    /// Returns how long a refused request is no trial, as it has other likely suspects;
    /// `None` if it may be one.
    pub fn others_wait_ms(&self, refusal: Refusal, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_crash_ms(refusal.fingerprint)?;
        let wait_ms = (last_ms + OTHERS_WAIT_MS).saturating_sub(now_ms);
        (refusal.has_others && wait_ms > 0).then_some(wait_ms)
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

    /// Returns whether no backend server crashed recently without a suspect. A trial at
    /// such a time shows best whether it is the cause.
    pub fn is_calm(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.calm_in_ms(fingerprint, now_ms) == 0
    }

    /// Returns the time until the fleet is calm for a trial of a suspect if no other
    /// backend server crashes, in milliseconds.
    pub fn calm_in_ms(&self, fingerprint: Fingerprint, now_ms: u64) -> u64 {
        let last_ms = self.crashes_without(fingerprint).max();
        last_ms.map_or(0, |last_ms| (last_ms + CALM_MS).saturating_sub(now_ms))
    }

    /// Returns whether backend servers crashed without a suspect at about the time of the
    /// last crash that it is accused of.
    pub fn was_disturbed(&self, fingerprint: Fingerprint) -> bool {
        let Some(last_ms) = self.last_crash_ms(fingerprint) else {
            return false;
        };
        let mut others = self.crashes_without(fingerprint);
        others.any(|at_ms| at_ms.abs_diff(last_ms) < CALM_MS)
    }

    /// Returns when this process learned of the last crash of any backend server, in
    /// monotonic milliseconds.
    pub fn last_any_crash_ms(&self) -> Option<u64> {
        self.crashes.values().max().copied()
    }

    /// Returns when this process learned of the crashes that a suspect was never accused
    /// of.
    fn crashes_without(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u64> {
        let evidence = self.records.get(&fingerprint);
        let evidence = evidence.map(|record| &record.evidence);
        let crashes = self.crashes.iter();
        let others =
            crashes.filter(move |(crash, _)| !evidence.is_some_and(|known| known.knows(crash)));
        others.map(|(_, at_ms)| *at_ms)
    }

    /// Adds a strike for a content of which nothing else is known.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Evidence {
        let request = Request::new(fingerprint, &[]);
        self.request_crashed(&request, incarnation, Run::sent(now_ms), now_ms);
        self.evidence(fingerprint)
    }

    /// Adds a strike against a request and its parts, as an incarnation of a backend
    /// server broke the connection of a run. Returns what is known now where it changed,
    /// for the other processes.
    pub fn request_crashed(
        &mut self,
        request: &Request,
        incarnation: Incarnation,
        run: Run,
        now_ms: u64,
    ) -> Vec<Evidence> {
        let crash = self.crash(incarnation, now_ms);
        self.strike(request, crash, run, now_ms)
    }

    /// Adds a strike against a request and its parts, as an incarnation of a backend
    /// server has ended after the process had dropped the run at `ended_ms`. It counts once
    /// with the strikes of others for its end. Returns the strike, and what is known now
    /// where it changed, for the other processes.
    pub fn request_lost(
        &mut self,
        request: &Request,
        incarnation: Incarnation,
        run: Run,
        ended_ms: u64,
    ) -> (Crash, Vec<Evidence>) {
        let last = self.incarnations.entry(incarnation).or_insert(Last {
            number: 0,
            at_ms: ended_ms,
            is_end: true,
        });
        last.is_end = true;
        let crash = Crash {
            incarnation,
            number: last.number,
        };
        (crash, self.strike(request, crash, run, ended_ms))
    }

    /// Withdraws a strike against a request and its parts, as the backend server goes on.
    /// Returns what is known now where it changed, for the other processes.
    pub fn withdraw(&mut self, request: &Request, crash: Crash, now_ms: u64) -> Vec<Evidence> {
        if let Some(last) = self.incarnations.get_mut(&crash.incarnation) {
            last.is_end = false;
        }
        let subjects = request.subjects().filter_map(|subject| {
            let record = self.records.get(&subject)?;
            if !record.evidence.crashes.contains(&crash) {
                return None;
            }
            let mut evidence = record.evidence.clone();
            evidence.clear(|known| *known == crash);
            self.merge(&evidence, now_ms)
                .then(|| self.evidence(subject))
        });
        subjects.collect()
    }

    /// Adds a strike for a crash that this process knows of since a monotonic time in
    /// milliseconds.
    fn strike(&mut self, request: &Request, crash: Crash, run: Run, now_ms: u64) -> Vec<Evidence> {
        let age = run.age(now_ms);
        let parts = request.parts().len();
        let subjects = request.subjects().enumerate();
        let changed = subjects.filter_map(|(index, subject)| {
            let mut evidence = self.evidence(subject);
            let is_new = evidence.crashes.insert(crash);
            if !evidence.note_age(crash, age) && !is_new {
                return None;
            }
            let record = self.records.get(&subject);
            let first_ms = record.and_then(|record| record.learned_ms.values().min());
            if first_ms.is_some_and(|first_ms| first_ms + LATER_MS <= run.sent_ms) {
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

    /// Clears the parts of a request of the crashes that a run of it has outlived. Has no
    /// effect before the run has written for [`SURVIVAL_MS`], and is of use whenever it
    /// has written for as long again. Returns what is known now where it changed, for the
    /// other processes.
    pub fn request_lived(&mut self, request: &Request, run: Run, now_ms: u64) -> Vec<Evidence> {
        if run.written_ms < SURVIVAL_MS {
            return Vec::new();
        }
        let parts = request.parts().iter();
        let changed = parts.filter_map(|part| {
            self.answers.note_sound(*part, now_ms);
            self.clear_outlived(*part, run, now_ms)
        });
        changed.collect()
    }

    /// Returns whether there are strikes against a part of a request.
    pub fn has_struck_part(&self, request: &Request) -> bool {
        request.parts().iter().any(|part| self.strikes(*part) > 0)
    }

    /// Clears a part of the crashes that a run has outlived.
    fn clear_outlived(&mut self, part: Fingerprint, run: Run, now_ms: u64) -> Option<Evidence> {
        let record = self.records.get(&part)?;
        if record.evidence.strikes() == 0 {
            return None;
        }
        let mut evidence = record.evidence.clone();
        let learned = record.learned_ms.iter();
        let outlived = learned
            .filter(|(crash, learned_ms)| run.outlives(record.evidence.age(crash), **learned_ms));
        evidence.cleared.extend(outlived.map(|(crash, _)| crash));
        if evidence.cleared.len() == record.evidence.cleared.len() {
            return None;
        }
        evidence.answered = true;
        let is_new = self.merge(&evidence, now_ms);
        is_new.then(|| self.evidence(part))
    }

    /// Clears a suspect of the crashes that were known at `sent_ms`.
    fn clear(&mut self, subject: Fingerprint, sent_ms: u64, now_ms: u64) -> Option<Evidence> {
        let record = self.records.get(&subject)?;
        if record.evidence.strikes() == 0 {
            return None;
        }
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
        if record.evidence.cleared.len() > CLEARED_KEPT {
            let learned = &self.crashes;
            let mut cleared: Vec<Crash> = record.evidence.cleared.iter().copied().collect();
            cleared.sort_by_key(|crash| std::cmp::Reverse(learned.get(crash).copied()));
            cleared.truncate(CLEARED_KEPT);
            record.evidence.cleared = cleared.into_iter().collect();
        }
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
            if !self.crashes.contains_key(crash) {
                self.crashes.insert(*crash, now_ms);
                if self.uses_timeline {
                    self.culprits = None;
                }
            }
            let known = Last {
                number: crash.number,
                at_ms: now_ms,
                is_end: false,
            };
            let last = self.incarnations.entry(crash.incarnation).or_insert(known);
            if crash.number > last.number {
                *last = known;
            }
        }
        drop_oldest(&mut self.crashes, INCARNATIONS_MAX, |at_ms| *at_ms);
        drop_oldest(&mut self.incarnations, INCARNATIONS_MAX, |last| last.at_ms);
    }

    /// Returns the crash of an incarnation that this process sees now.
    fn crash(&mut self, incarnation: Incarnation, now_ms: u64) -> Crash {
        let last = self.incarnations.get(&incarnation).copied();
        let number = match last {
            Some(last) if last.is_end || now_ms < last.at_ms + SAME_CRASH_MS => last.number,
            Some(last) => last.number + 1,
            None => 0,
        };
        if last.is_none_or(|last| last.number < number) {
            let last = Last {
                number,
                at_ms: now_ms,
                is_end: false,
            };
            self.incarnations.insert(incarnation, last);
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
