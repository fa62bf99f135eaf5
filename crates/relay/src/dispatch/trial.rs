//! Trials of items that may crash backend servers.
//!
//! A run is broken if its connection broke, fell silent or carried an invalid response
//! before the output was complete, as when its backend server crashes. A run is failed if
//! the backend server itself responded that it failed (status 500).
//!
//! An item whose runs broke off without an event is a suspect: it may crash every
//! backend server that begins to run it, or it may have run where other items caused
//! crashes. A suspect runs as a trial. Few trials run concurrently, each at a backend
//! server without another trial, and preferably while the fleet is calm, that is, while
//! no run has broken off anywhere for some time.
//!
//! An item that crashes its backend server does so as it begins to run, so the first
//! event ends the trial and clears the item. A trial that breaks off while no run breaks
//! off at other backend servers is evidence against its item. All items with evidence
//! share one pause, so that the rate of crashes does not grow with their number.

use std::collections::BTreeMap;

use bw_wire::name::Name;
use serde::Deserialize;

use super::Key;

/// How long a backend server counts as unstable after a run broke off there, in
/// milliseconds. One that crashed has restarted after some seconds and may crash again.
const BREAK_RETENTION_MS: u64 = 10_000;
/// Online requests that fail at a backend server within [`Options::calm_ms`], from which
/// it is taken to have crashed. Single answers break off by chance.
const FAILED_REQUESTS_MIN: u32 = 3;
/// How long after a run broke off the failed online requests at the same backend server
/// are ignored, in milliseconds. Callers keep sending requests to one that is down.
const DOWN_MS: u64 = 4_000;
/// Time after which a trial without a result no longer counts against the limit of
/// concurrent trials, in milliseconds. A run ends after 3 s without response headers and
/// an event, unless a step before it hangs.
const SILENT_MS: u64 = 3_500;
/// Most doublings of the pause, which reaches any sensible limit before.
const DOUBLINGS_MAX: u32 = 16;

/// Settings that decide which items are suspects, when they are tried and how many of
/// them concurrently.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Runs in a row that broke off without an event, from which an item is a suspect.
    /// A single one breaks off by chance where another item crashes a backend server.
    pub breaks: u32,
    /// Time without a broken run (see [`super::Outcome::Broken`]) anywhere after which
    /// the fleet is calm and suspects are tried, in milliseconds. Crashes of one burst
    /// are closer together.
    pub calm_ms: u64,
    /// Longest time for which a suspect waits until the fleet is calm, in milliseconds. A
    /// single backend server at which runs often break off must not delay all suspects.
    pub wait_ms: u64,
    /// Pause of all suspects with evidence after a trial that broke alone, in
    /// milliseconds. It doubles with each such trial.
    pub pause_ms: u64,
    /// Longest such pause, in milliseconds: a quarter of the time after which an item may
    /// be given up.
    pub pause_max_ms: u64,
    /// Backend servers per concurrent trial. One trial runs at a time at first and after
    /// a trial that broke; each trial that passes doubles the number, up to this limit.
    pub servers_each: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            breaks: 2,
            calm_ms: 2_000,
            wait_ms: 5_000,
            pause_ms: 4_000,
            pause_max_ms: 15_000,
            servers_each: 4,
        }
    }
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// An event or an answer arrived; the item is no longer a suspect.
    Passed,
    /// It broke off, and no run broke off at another backend server at about that time.
    BrokeAlone,
    /// It broke off, and so did runs at other backend servers.
    BrokeAmongOthers,
    /// It was preempted, refused or found its backend server full before its first event.
    Unfinished,
}

/// A change of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// An item became a suspect.
    Suspected {
        /// The number of its broken runs in a row.
        breaks: u32,
    },
    /// A trial begins.
    Began {
        /// How long the item waited for it, in milliseconds.
        waited_ms: u64,
        /// Whether the fleet was calm.
        calm: bool,
    },
    /// A trial ended.
    Ended {
        /// What the trial showed about the item.
        outcome: Outcome,
        /// Time for which the item is not tried again, in milliseconds.
        pause_ms: u64,
    },
    /// The evidence of a trial that had broken alone was withdrawn, as a run broke off at
    /// another backend server shortly after it.
    Withdrawn,
}

/// A change of a suspect, to be logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Note {
    /// The job of the item and its index in the job.
    pub key: Key,
    /// The id of the item, which is its request id.
    pub id: Name,
    /// The backend server of its last run.
    pub server: Name,
    /// What changed, with the figures for the log line.
    pub change: Change,
}

#[derive(Clone, Debug)]
struct Suspect {
    id: Name,
    /// The backend server of its last run.
    server: Name,
    /// When its last run broke off.
    waiting_since_ms: u64,
    /// When its current trial began.
    trial_began_ms: Option<u64>,
    /// The number of its trials that broke.
    broken: u32,
    /// The number of its trials that broke alone and are evidence.
    broken_alone: u32,
}

/// A trial that broke alone, which is evidence against its item.
#[derive(Clone, Debug)]
struct Evidence {
    key: Key,
    server: Name,
    at_ms: u64,
    /// When the shared pause would have ended without this evidence.
    paused_until_ms: u64,
}

/// Recent failures of online requests at one backend server.
#[derive(Clone, Copy, Debug)]
struct Failures {
    /// When the first of them was reported.
    since_ms: u64,
    count: u32,
}

/// All suspects, with the state that decides when they are tried.
#[derive(Clone, Debug)]
pub(super) struct Trials {
    options: Options,
    suspects: BTreeMap<Key, Suspect>,
    /// When a run last broke off at a backend server, or it was taken to have crashed
    /// because online requests failed there.
    last_breaks: BTreeMap<Name, u64>,
    /// Recent failures of online requests by backend server.
    failures: BTreeMap<Name, Failures>,
    /// Most concurrent trials if there are enough backend servers.
    max_concurrent: u32,
    /// Time before which no trial begins.
    no_trial_before_ms: u64,
    /// Time before which no suspect with evidence is tried.
    paused_until_ms: u64,
    /// The last evidence, which a broken run elsewhere may withdraw.
    evidence: Option<Evidence>,
    /// Changes that [`Trials::take_notes`] has not returned yet.
    notes: Vec<Note>,
}

impl Trials {
    pub(super) fn new(options: Options) -> Trials {
        Trials {
            options,
            suspects: BTreeMap::new(),
            last_breaks: BTreeMap::new(),
            failures: BTreeMap::new(),
            max_concurrent: 1,
            no_trial_before_ms: 0,
            paused_until_ms: 0,
            evidence: None,
            notes: Vec::new(),
        }
    }

    /// Returns the number of suspects.
    pub(super) fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Removes and returns the changes to be logged.
    pub(super) fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Records that a run broke off at a backend server. Withdraws the last evidence if
    /// its trial broke off at another one less than [`Options::calm_ms`] ago.
    pub(super) fn run_broke(&mut self, server: &Name, now_ms: u64) {
        self.last_breaks
            .retain(|_, at_ms| *at_ms + BREAK_RETENTION_MS > now_ms);
        self.last_breaks.insert(server.clone(), now_ms);
        let recent_ms = self.options.calm_ms;
        let withdrawn = self
            .evidence
            .take_if(|last| last.server != *server && now_ms < last.at_ms + recent_ms);
        let Some(last) = withdrawn else {
            return;
        };
        self.paused_until_ms = last.paused_until_ms;
        if let Some(suspect) = self.suspects.get_mut(&last.key) {
            suspect.broken_alone = suspect.broken_alone.saturating_sub(1);
            self.note(&last.key, Change::Withdrawn);
        }
    }

    /// Records that online requests failed at a backend server. [`FAILED_REQUESTS_MIN`]
    /// of them within [`Options::calm_ms`] count as a broken run there: the backend
    /// server is taken to have crashed.
    pub(super) fn requests_failed(&mut self, server: &Name, count: u32, now_ms: u64) {
        let calm_ms = self.options.calm_ms;
        self.failures
            .retain(|_, failures| now_ms < failures.since_ms + calm_ms);
        let known_ms = self.last_breaks.get(server);
        if known_ms.is_some_and(|at_ms| now_ms < at_ms + DOWN_MS) {
            return;
        }
        let failures = self.failures.entry(server.clone()).or_insert(Failures {
            since_ms: now_ms,
            count: 0,
        });
        failures.count += count;
        if failures.count >= FAILED_REQUESTS_MIN {
            self.failures.remove(server);
            self.run_broke(server, now_ms);
        }
    }

    /// Adds an item as a suspect.
    pub(super) fn add_suspect(
        &mut self,
        key: &Key,
        id: &Name,
        server: &Name,
        breaks: u32,
        now_ms: u64,
    ) {
        let suspect = Suspect {
            id: id.clone(),
            server: server.clone(),
            waiting_since_ms: now_ms,
            trial_began_ms: None,
            broken: 0,
            broken_alone: 0,
        };
        self.suspects.insert(key.clone(), suspect);
        self.note(key, Change::Suspected { breaks });
    }

    /// Returns the suspects that may be tried now, each with the number of its trials
    /// that broke.
    pub(super) fn ready(&self, now_ms: u64) -> Vec<(u32, Key)> {
        if now_ms < self.no_trial_before_ms {
            return Vec::new();
        }
        let calm = self.is_calm(now_ms);
        let paused = now_ms < self.paused_until_ms;
        let ready = self.suspects.iter().filter(|(_, suspect)| {
            suspect.trial_began_ms.is_none()
                && (calm || now_ms >= suspect.waiting_since_ms + self.options.wait_ms)
                && !(paused && suspect.broken_alone > 0)
        });
        ready
            .map(|(key, suspect)| (suspect.broken, key.clone()))
            .collect()
    }

    /// Returns how many more trials may begin now in a fleet of some backend servers.
    pub(super) fn remaining(&self, servers: usize, now_ms: u64) -> usize {
        let limit = (servers / self.options.servers_each.max(1) as usize).max(1);
        let trials = self
            .suspects
            .values()
            .filter_map(|suspect| suspect.trial_began_ms);
        let running = trials
            .filter(|began_ms| now_ms < began_ms + SILENT_MS)
            .count();
        limit
            .min(self.max_concurrent as usize)
            .saturating_sub(running)
    }

    /// Returns whether a backend server runs no trial, so that it can run one.
    pub(super) fn can_use(&self, server: &Name) -> bool {
        let mut suspects = self.suspects.values();
        !suspects.any(|suspect| suspect.trial_began_ms.is_some() && suspect.server == *server)
    }

    /// Returns whether a trial of an item has begun and not ended.
    pub(super) fn is_tried(&self, key: &Key) -> bool {
        let suspect = self.suspects.get(key);
        suspect.is_some_and(|suspect| suspect.trial_began_ms.is_some())
    }

    /// Returns whether a backend server crashed recently, or a run broke off there.
    pub(super) fn is_unstable(&self, server: &Name, now_ms: u64) -> bool {
        let last_ms = self.last_breaks.get(server);
        last_ms.is_some_and(|at_ms| now_ms < at_ms + BREAK_RETENTION_MS)
    }

    /// Records that a trial begins.
    pub(super) fn trial_began(&mut self, key: &Key, server: &Name, now_ms: u64) {
        let calm = self.is_calm(now_ms);
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        suspect.trial_began_ms = Some(now_ms);
        suspect.server = server.clone();
        let waited_ms = now_ms.saturating_sub(suspect.waiting_since_ms);
        self.note(key, Change::Began { waited_ms, calm });
    }

    /// Clears a suspect, after an event or an answer arrived.
    pub(super) fn passed(&mut self, key: &Key) {
        if !self.suspects.contains_key(key) {
            return;
        }
        self.max_concurrent = self.max_concurrent.saturating_mul(2);
        let outcome = Outcome::Passed;
        self.note(
            key,
            Change::Ended {
                outcome,
                pause_ms: 0,
            },
        );
        self.remove(key);
    }

    /// Records that a trial ended without a result.
    pub(super) fn trial_unfinished(&mut self, key: &Key) {
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        suspect.trial_began_ms = None;
        let outcome = Outcome::Unfinished;
        self.note(
            key,
            Change::Ended {
                outcome,
                pause_ms: 0,
            },
        );
    }

    /// Records that a trial broke off without an event. [`Trials::run_broke`] must be
    /// called before.
    pub(super) fn trial_broke(&mut self, key: &Key, now_ms: u64) {
        let calm_ms = self.options.calm_ms;
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        let began_ms = suspect.trial_began_ms.take().unwrap_or(now_ms);
        let alone = !self
            .last_breaks
            .iter()
            .any(|(server, at_ms)| *server != suspect.server && at_ms + calm_ms > began_ms);
        suspect.waiting_since_ms = now_ms;
        suspect.broken += 1;
        suspect.broken_alone += u32::from(alone);
        let server = suspect.server.clone();
        self.max_concurrent = 1;
        self.no_trial_before_ms = now_ms + calm_ms;
        let (outcome, pause_ms) = match alone {
            true => (Outcome::BrokeAlone, self.pause_ms().max(calm_ms)),
            false => (Outcome::BrokeAmongOthers, calm_ms),
        };
        if alone {
            self.evidence = Some(Evidence {
                key: key.clone(),
                server,
                at_ms: now_ms,
                paused_until_ms: self.paused_until_ms,
            });
            self.paused_until_ms = now_ms + pause_ms;
        }
        self.note(key, Change::Ended { outcome, pause_ms });
    }

    /// Removes an item that passed a trial, ended or whose job was removed. Does nothing
    /// if it is not a suspect.
    pub(super) fn remove(&mut self, key: &Key) {
        let known = self.suspects.remove(key);
        // The pause ends with the last evidence.
        if known.is_some()
            && self
                .suspects
                .values()
                .all(|suspect| suspect.broken_alone == 0)
        {
            self.paused_until_ms = 0;
        }
    }

    fn is_calm(&self, now_ms: u64) -> bool {
        let last_ms = self.last_breaks.values().max();
        last_ms.is_none_or(|last_ms| now_ms >= last_ms + self.options.calm_ms)
    }

    /// Returns the shared pause, which grows with the evidence against all suspects.
    fn pause_ms(&self) -> u64 {
        let evidence: u32 = self
            .suspects
            .values()
            .map(|suspect| suspect.broken_alone)
            .sum();
        let doublings = evidence.saturating_sub(1).min(DOUBLINGS_MAX);
        (self.options.pause_ms << doublings).min(self.options.pause_max_ms)
    }

    fn note(&mut self, key: &Key, change: Change) {
        let Some(suspect) = self.suspects.get(key) else {
            return;
        };
        self.notes.push(Note {
            key: key.clone(),
            id: suspect.id.clone(),
            server: suspect.server.clone(),
            change,
        });
    }
}
