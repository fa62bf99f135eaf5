//! Trials of suspects.
//!
//! An item whose runs broke off without an event may crash every backend server
//! that begins to run it, or may only have run where others crashed. Such a
//! suspect runs as a trial: few at once, each at a backend server of its own, when
//! no run has broken off anywhere for a while. An item that crashes its backend
//! server does so as it begins to run, so the first event ends the trial and clears
//! the item. A trial that breaks while no other backend server does is evidence
//! against its item; all items with such evidence share one pause, so that their
//! number does not raise the number of crashes.

use std::collections::BTreeMap;

use bw_wire::name::Name;
use serde::Deserialize;

use super::Key;

/// How long it is remembered that a backend server broke a run off, in
/// milliseconds. One that crashed is back after some seconds and may crash again.
const REMEMBERED_MS: u64 = 10_000;
/// Online requests that fail at a backend server within the time of calm, from
/// which it counts as crashed; single answers break off by chance.
const FAILED_REQUESTS_MIN: u32 = 3;
/// How long failed online requests say nothing new of a backend server that broke a
/// run off, in milliseconds: callers go on trying one that is down.
const DOWN_MS: u64 = 4_000;
/// Time after which a trial that shows nothing no longer keeps others waiting, in
/// milliseconds: a run ends after 3 s without a head and an event, unless what comes
/// before it is stuck.
const SILENT_MS: u64 = 3_500;
/// Doublings of the pause after which it has reached any sensible limit.
const DOUBLINGS_MAX: u32 = 16;

/// Limits of trials.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Runs in a row that broke off without an event, from which an item is a
    /// suspect. One breaks by chance where another item crashes a backend server.
    pub breaks: u32,
    /// Time in which no run breaks off anywhere and after which suspects are
    /// tried, in milliseconds. Crashes of one burst follow each other faster.
    pub calm_ms: u64,
    /// Longest time that a suspect waits for calm, in milliseconds: a backend
    /// server that often breaks runs off must not keep all suspects waiting.
    pub wait_ms: u64,
    /// Pause of all suspects with evidence against them after a trial that broke
    /// alone, in milliseconds; doubles with each.
    pub pause_ms: u64,
    /// Longest such pause in milliseconds: a quarter of the time for which an item
    /// may wait.
    pub pause_max_ms: u64,
    /// Backend servers for each trial that may run at once. There is one at a time
    /// at first and after a trial that broke; each that passes doubles the number.
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
    /// An event or an answer came; the item is no suspect any more.
    Passed,
    /// It broke and no other backend server broke a run off around it.
    BrokeAlone,
    /// It broke and so did runs at other backend servers.
    BrokeAmongOthers,
    /// It was stopped, refused or crowded out before its first event.
    Unfinished,
}

/// What changed for a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// An item became a suspect.
    Suspected {
        /// Its broken runs in a row.
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
        /// How.
        outcome: Outcome,
        /// Time before which the item is not tried again, in milliseconds.
        pause_ms: u64,
    },
    /// Another backend server broke a run off right after a trial that had broken
    /// alone: it is no evidence.
    Withdrawn,
}

/// A change to be logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Note {
    /// The item.
    pub key: Key,
    /// Its request id.
    pub id: Name,
    /// The backend server where it ran last.
    pub server: Name,
    /// What changed.
    pub change: Change,
}

#[derive(Clone, Debug)]
struct Suspect {
    id: Name,
    /// The backend server where it ran last.
    server: Name,
    /// When its last run ended.
    since_ms: u64,
    /// When its trial began, if one runs.
    trial_ms: Option<u64>,
    /// Its trials that broke.
    broken: u32,
    /// Those that broke alone.
    alone: u32,
}

/// A trial that broke alone.
#[derive(Clone, Debug)]
struct Evidence {
    key: Key,
    server: Name,
    at_ms: u64,
    /// When the shared pause would have ended without it.
    paused_until_ms: u64,
}

/// Online requests that failed at one backend server.
#[derive(Clone, Copy, Debug)]
struct Failures {
    since_ms: u64,
    count: u32,
}

/// All suspects and what is known of broken runs.
#[derive(Clone, Debug)]
pub(super) struct Trials {
    options: Options,
    suspects: BTreeMap<Key, Suspect>,
    /// When a backend server last broke a run off or failed online requests.
    broke: BTreeMap<Name, u64>,
    /// Recent failures of online requests by backend server.
    failures: BTreeMap<Name, Failures>,
    /// Trials that may run at once if there are enough backend servers.
    at_once: u32,
    /// Time before which no trial begins.
    next_ms: u64,
    /// Time before which no suspect with evidence against it is tried.
    paused_until_ms: u64,
    /// The last evidence, while it may be withdrawn.
    evidence: Option<Evidence>,
    notes: Vec<Note>,
}

impl Trials {
    pub(super) fn new(options: Options) -> Trials {
        Trials {
            options,
            suspects: BTreeMap::new(),
            broke: BTreeMap::new(),
            failures: BTreeMap::new(),
            at_once: 1,
            next_ms: 0,
            paused_until_ms: 0,
            evidence: None,
            notes: Vec::new(),
        }
    }

    /// Returns the number of suspects.
    pub(super) fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns what is to be logged.
    pub(super) fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Notes that a run broke off at a backend server.
    pub(super) fn broke(&mut self, server: &Name, now_ms: u64) {
        self.broke
            .retain(|_, at_ms| *at_ms + REMEMBERED_MS > now_ms);
        self.broke.insert(server.clone(), now_ms);
        let recent_ms = self.options.calm_ms;
        let withdrawn = self
            .evidence
            .take_if(|last| last.server != *server && now_ms < last.at_ms + recent_ms);
        let Some(last) = withdrawn else {
            return;
        };
        self.paused_until_ms = last.paused_until_ms;
        if let Some(suspect) = self.suspects.get_mut(&last.key) {
            suspect.alone = suspect.alone.saturating_sub(1);
            self.note(&last.key, Change::Withdrawn);
        }
    }

    /// Notes that online requests failed at a backend server.
    pub(super) fn requests_failed(&mut self, server: &Name, count: u32, now_ms: u64) {
        let calm_ms = self.options.calm_ms;
        self.failures
            .retain(|_, failures| now_ms < failures.since_ms + calm_ms);
        let known_ms = self.broke.get(server);
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
            self.broke(server, now_ms);
        }
    }

    /// Makes an item a suspect.
    pub(super) fn add(&mut self, key: &Key, id: &Name, server: &Name, breaks: u32, now_ms: u64) {
        let suspect = Suspect {
            id: id.clone(),
            server: server.clone(),
            since_ms: now_ms,
            trial_ms: None,
            broken: 0,
            alone: 0,
        };
        self.suspects.insert(key.clone(), suspect);
        self.note(key, Change::Suspected { breaks });
    }

    /// Returns the suspects that may be tried now, each with the number of its
    /// trials that broke.
    pub(super) fn ready(&self, now_ms: u64) -> Vec<(u32, Key)> {
        if now_ms < self.next_ms {
            return Vec::new();
        }
        let calm = self.is_calm(now_ms);
        let paused = now_ms < self.paused_until_ms;
        let ready = self.suspects.iter().filter(|(_, suspect)| {
            suspect.trial_ms.is_none()
                && (calm || now_ms >= suspect.since_ms + self.options.wait_ms)
                && !(paused && suspect.alone > 0)
        });
        ready
            .map(|(key, suspect)| (suspect.broken, key.clone()))
            .collect()
    }

    /// Returns how many more trials may begin in a fleet of so many backend
    /// servers.
    pub(super) fn room(&self, servers: usize, now_ms: u64) -> usize {
        let most = (servers / self.options.servers_each.max(1) as usize).max(1);
        let trials = self
            .suspects
            .values()
            .filter_map(|suspect| suspect.trial_ms);
        let running = trials
            .filter(|began_ms| now_ms < began_ms + SILENT_MS)
            .count();
        most.min(self.at_once as usize).saturating_sub(running)
    }

    /// Returns whether a backend server may run a trial.
    pub(super) fn may_use(&self, server: &Name) -> bool {
        let mut suspects = self.suspects.values();
        !suspects.any(|suspect| suspect.trial_ms.is_some() && suspect.server == *server)
    }

    /// Returns whether a backend server crashed or broke a run off recently.
    pub(super) fn is_unsteady(&self, server: &Name, now_ms: u64) -> bool {
        let last_ms = self.broke.get(server);
        last_ms.is_some_and(|at_ms| now_ms < at_ms + REMEMBERED_MS)
    }

    /// Notes that a trial begins.
    pub(super) fn began(&mut self, key: &Key, server: &Name, now_ms: u64) {
        let calm = self.is_calm(now_ms);
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        suspect.trial_ms = Some(now_ms);
        suspect.server = server.clone();
        let waited_ms = now_ms.saturating_sub(suspect.since_ms);
        self.note(key, Change::Began { waited_ms, calm });
    }

    /// Notes that an item is no suspect any more.
    pub(super) fn passed(&mut self, key: &Key) {
        if !self.suspects.contains_key(key) {
            return;
        }
        self.at_once = self.at_once.saturating_mul(2);
        let outcome = Outcome::Passed;
        self.note(
            key,
            Change::Ended {
                outcome,
                pause_ms: 0,
            },
        );
        self.forget(key);
    }

    /// Notes that a trial ended before it showed anything.
    pub(super) fn stopped(&mut self, key: &Key) {
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        suspect.trial_ms = None;
        let outcome = Outcome::Unfinished;
        self.note(
            key,
            Change::Ended {
                outcome,
                pause_ms: 0,
            },
        );
    }

    /// Judges a trial that broke without an event. [`Trials::broke`] comes first.
    pub(super) fn failed(&mut self, key: &Key, now_ms: u64) {
        let calm_ms = self.options.calm_ms;
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        let began_ms = suspect.trial_ms.take().unwrap_or(now_ms);
        let alone = !self
            .broke
            .iter()
            .any(|(server, at_ms)| *server != suspect.server && at_ms + calm_ms > began_ms);
        suspect.since_ms = now_ms;
        suspect.broken += 1;
        suspect.alone += u32::from(alone);
        let server = suspect.server.clone();
        self.at_once = 1;
        self.next_ms = now_ms + calm_ms;
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

    /// Forgets an item that is listed or whose job was ended.
    pub(super) fn forget(&mut self, key: &Key) {
        let known = self.suspects.remove(key);
        // Without evidence against any item there is no reason for the pause.
        if known.is_some() && self.suspects.values().all(|suspect| suspect.alone == 0) {
            self.paused_until_ms = 0;
        }
    }

    fn is_calm(&self, now_ms: u64) -> bool {
        let last_ms = self.broke.values().max();
        last_ms.is_none_or(|last_ms| now_ms >= last_ms + self.options.calm_ms)
    }

    /// Returns the pause that all evidence together calls for.
    fn pause_ms(&self) -> u64 {
        let evidence: u32 = self.suspects.values().map(|suspect| suspect.alone).sum();
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
