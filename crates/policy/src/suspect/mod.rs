//! Isolation of suspects: requests that may crash backend servers.
//!
//! Every request in flight on a backend server that crashes gets a strike and is
//! a suspect from then on. With one strike, it runs on a different server than
//! other suspects, so that the next crash shows which of them caused it. With two
//! strikes, it runs isolated. A caller's request is refused after a third strike
//! or a crash during an isolated run. Batch items are never refused; see
//! [`item`]. A suspect that finishes is cleared.

pub mod item;

use std::collections;

use bw_wire::{command::work, fingerprint, name, refusal};

use crate::router;

/// Number of strikes from which on a request runs isolated.
const ISOLATE_AT: u32 = 2;
/// Number of strikes from which on a caller's request is refused.
const REFUSE_AT: u32 = 3;
/// Maximum number of crashes kept per suspect to count each of them once. The
/// replicated work state machine keeps as many.
const MAX_CRASHES: usize = 16;

/// Settings of a [`Suspects`].
#[derive(Clone, Debug)]
pub struct Builder {
    sync_grace_ms: u64,
    max_suspects: usize,
    max_isolated: usize,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            sync_grace_ms: 5_000,
            max_suspects: 10_000,
            max_isolated: 1,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets how long updates from this entry VM and from peers take precedence over
    /// a `sync` answer, which may describe an earlier state.
    pub fn sync_grace_ms(mut self, duration_ms: u64) -> Builder {
        self.sync_grace_ms = duration_ms;
        self
    }

    /// Sets how many suspects are kept. Those with the fewest strikes are evicted
    /// first, and of these the least recently updated.
    pub fn max_suspects(mut self, suspects: usize) -> Builder {
        self.max_suspects = suspects.max(1);
        self
    }

    /// Sets how many callers' requests this entry VM runs isolated concurrently. Each
    /// takes a whole backend server out of regular use.
    pub fn max_isolated(mut self, runs: usize) -> Builder {
        self.max_isolated = runs.max(1);
        self
    }

    /// Builds an empty set of suspects.
    pub fn build(self) -> Suspects {
        Suspects {
            settings: self,
            suspects: collections::BTreeMap::new(),
            cleared: collections::BTreeMap::new(),
            isolated_runs: collections::BTreeSet::new(),
            trials: collections::BTreeSet::new(),
            last_crash_ms: 0,
        }
    }
}

/// How to run a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Treatment {
    /// Like any other request.
    Normal,
    /// On a backend server without another suspect.
    Dispersed,
    /// On a backend server without other work.
    Isolated,
    /// Not at all; the refusal is sent.
    Refused(refusal::Refusal),
}

impl Treatment {
    /// Returns with which other requests this one may share a backend server;
    /// `None` if it is refused.
    pub fn sharing(&self) -> Option<router::Sharing> {
        match self {
            Treatment::Normal => Some(router::Sharing::Any),
            Treatment::Dispersed => Some(router::Sharing::Dispersed),
            Treatment::Isolated => Some(router::Sharing::Isolated),
            Treatment::Refused(_) => None,
        }
    }
}

/// Observations about a backend server under which runs ended without a complete answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Connections to it broke while requests ran.
    pub broken: bool,
    /// It fell silent while requests ran.
    pub silent: bool,
    /// A new connection was refused after that.
    pub refused: bool,
    /// It announced a later incarnation.
    pub restarted: bool,
    /// It announced that it is leaving before that.
    pub leaving: bool,
}

impl Evidence {
    /// Returns whether the backend server crashed. A broken or a silent connection alone
    /// may be a network failure, and a leaving server shuts down in an orderly way.
    pub fn is_crash(self) -> bool {
        (self.broken || self.silent) && !self.leaving && (self.refused || self.restarted)
    }
}

/// A run of a request that was in flight on a backend server when it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    /// Identifies the request by its content.
    pub fingerprint: fingerprint::Fingerprint,
    /// Whether it was an isolated run, or a trial of a batch item.
    pub isolated: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    strikes: u32,
    /// Number of strikes from isolated runs and trials.
    isolated_crashes: u32,
    /// When the recorded suspect expires.
    until_ms: u64,
    /// When this entry VM or a peer last changed the entry.
    updated_ms: u64,
    /// When this entry VM learned of the last strike.
    last_strike_ms: u64,
    /// Crashes already counted, so that each counts once.
    crashes: Vec<name::Name>,
}

/// The suspects that one entry VM knows.
#[derive(Debug)]
pub struct Suspects {
    settings: Builder,
    suspects: collections::BTreeMap<fingerprint::Fingerprint, Entry>,
    /// Recently cleared suspects, with the time of the clearing.
    cleared: collections::BTreeMap<fingerprint::Fingerprint, u64>,
    /// Callers' requests that are running isolated.
    isolated_runs: collections::BTreeSet<fingerprint::Fingerprint>,
    /// Batch items that are running in a trial.
    trials: collections::BTreeSet<fingerprint::Fingerprint>,
    /// When this entry VM learned of the last crash with any request in flight.
    last_crash_ms: u64,
}

impl Suspects {
    /// Returns how to run a caller's request.
    pub fn treatment(&self, fingerprint: fingerprint::Fingerprint) -> Treatment {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return Treatment::Normal;
        };
        if is_refused(entry.strikes, entry.isolated_crashes) {
            return Treatment::Refused(poisonous_refusal());
        }
        if entry.strikes < ISOLATE_AT {
            return Treatment::Dispersed;
        }
        let is_limit_reached = self.isolated_runs.contains(&fingerprint)
            || self.isolated_runs.len() >= self.settings.max_isolated;
        if is_limit_reached {
            return Treatment::Refused(busy_refusal());
        }
        Treatment::Isolated
    }

    /// Records the start of an isolated run of a caller's request.
    /// [`Suspects::finished`], [`Suspects::crashed`] or [`Suspects::abandoned`] ends
    /// it.
    pub fn begin_isolated(&mut self, fingerprint: fingerprint::Fingerprint) {
        self.isolated_runs.insert(fingerprint);
    }

    /// Records that a run ended without an answer and without a crash.
    pub fn abandoned(&mut self, fingerprint: fingerprint::Fingerprint) {
        self.isolated_runs.remove(&fingerprint);
        self.trials.remove(&fingerprint);
    }

    /// Adds a strike for a crash of a backend server to each request in flight
    /// there. Returns the commands to record, none for strikes that are already
    /// counted.
    pub fn crashed(
        &mut self,
        backend: &name::Name,
        incarnation: u64,
        runs: &[Run],
        now_ms: u64,
    ) -> Vec<work::Command> {
        let crash = name::Name::from(format!("{backend}/{incarnation}"));
        let mut commands = Vec::new();
        for run in runs {
            self.abandoned(run.fingerprint);
            if self.strike(&crash, run, now_ms) {
                commands.push(work::Command::Strike {
                    fingerprint: run.fingerprint,
                    backend: crash.clone(),
                    isolated: run.isolated,
                });
            }
        }
        self.evict_excess();
        commands
    }

    /// Clears a suspect that finished. Returns the command to record; `None` if the
    /// request was no suspect.
    pub fn finished(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        now_ms: u64,
    ) -> Option<work::Command> {
        self.abandoned(fingerprint);
        self.suspects.remove(&fingerprint)?;
        self.cleared.insert(fingerprint, now_ms);
        Some(work::Command::Clear { fingerprint })
    }

    /// Merges a suspect that a peer or the reply to a recorded strike reported.
    pub fn merge(&mut self, suspect: &work::Suspect, now_ms: u64) {
        self.cleared.remove(&suspect.fingerprint);
        self.merge_strikes(suspect, now_ms);
        let entry = self.entry(suspect.fingerprint);
        entry.until_ms = entry.until_ms.max(suspect.until_ms);
        entry.updated_ms = now_ms;
        self.evict_excess();
    }

    /// Applies all suspects of a `sync` answer. Suspects that it does not contain
    /// were cleared or have expired and are removed, unless they were updated more
    /// recently.
    pub fn sync(&mut self, suspects: &[work::Suspect], now_ms: u64) {
        let grace_ms = self.settings.sync_grace_ms;
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= grace_ms;
        self.cleared.retain(|_, &mut at_ms| is_recent(at_ms));
        let listed: collections::BTreeSet<fingerprint::Fingerprint> =
            suspects.iter().map(|suspect| suspect.fingerprint).collect();
        self.suspects.retain(|fingerprint, entry| {
            is_recent(entry.updated_ms) || listed.contains(fingerprint)
        });
        for suspect in suspects {
            if self.cleared.contains_key(&suspect.fingerprint) {
                continue;
            }
            self.merge_strikes(suspect, now_ms);
            self.entry(suspect.fingerprint).until_ms = suspect.until_ms;
        }
        self.evict_excess();
    }

    /// Replaces a suspect by the record that was read after all recorded strikes;
    /// `None` removes it. A recently updated suspect stays, because its latest
    /// strikes may not be recorded yet.
    pub fn replace(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        recorded: Option<&work::Suspect>,
        now_ms: u64,
    ) {
        let Some(entry) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if now_ms.saturating_sub(entry.updated_ms) <= self.settings.sync_grace_ms {
            return;
        }
        let Some(recorded) = recorded else {
            self.suspects.remove(&fingerprint);
            return;
        };
        entry.strikes = recorded.strikes;
        entry.isolated_crashes = recorded.isolated;
        entry.until_ms = recorded.until_ms;
    }

    /// Merges the strikes that other entry VMs counted.
    fn merge_strikes(&mut self, suspect: &work::Suspect, now_ms: u64) {
        let entry = self.entry(suspect.fingerprint);
        let has_new_strikes = suspect.strikes > entry.strikes;
        entry.strikes = entry.strikes.max(suspect.strikes);
        entry.isolated_crashes = entry.isolated_crashes.max(suspect.isolated);
        if has_new_strikes {
            entry.last_strike_ms = now_ms;
            self.last_crash_ms = now_ms;
        }
    }

    /// Returns a suspect in the form that is sent to peers.
    pub fn get(&self, fingerprint: fingerprint::Fingerprint) -> Option<work::Suspect> {
        let entry = self.suspects.get(&fingerprint)?;
        Some(work::Suspect {
            fingerprint,
            strikes: entry.strikes,
            isolated: entry.isolated_crashes,
            until_ms: entry.until_ms,
        })
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn strike(&mut self, crash: &name::Name, run: &Run, now_ms: u64) -> bool {
        self.cleared.remove(&run.fingerprint);
        let entry = self.entry(run.fingerprint);
        if entry.crashes.contains(crash) {
            return false;
        }
        if entry.crashes.len() >= MAX_CRASHES {
            entry.crashes.remove(0);
        }
        entry.crashes.push(crash.clone());
        entry.strikes += 1;
        entry.isolated_crashes += u32::from(run.isolated);
        entry.updated_ms = now_ms;
        entry.last_strike_ms = now_ms;
        self.last_crash_ms = now_ms;
        true
    }

    fn entry(&mut self, fingerprint: fingerprint::Fingerprint) -> &mut Entry {
        self.suspects.entry(fingerprint).or_insert_with(|| Entry {
            strikes: 0,
            isolated_crashes: 0,
            until_ms: 0,
            updated_ms: 0,
            last_strike_ms: 0,
            crashes: Vec::new(),
        })
    }

    /// Evicts suspects beyond the limit: those with the fewest strikes first, and
    /// of these the least recently updated.
    fn evict_excess(&mut self) {
        while self.suspects.len() > self.settings.max_suspects {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(fingerprint, entry)| (entry.strikes, entry.updated_ms, **fingerprint))
                .map(|(&fingerprint, _)| fingerprint);
            if let Some(oldest) = oldest {
                self.suspects.remove(&oldest);
            }
        }
    }
}

/// Returns whether a caller's request with this record is refused on every attempt.
pub fn is_poisonous(recorded: &work::Suspect) -> bool {
    is_refused(recorded.strikes, recorded.isolated)
}

fn is_refused(strikes: u32, isolated: u32) -> bool {
    isolated > 0 || strikes >= REFUSE_AT
}

fn poisonous_refusal() -> refusal::Refusal {
    refusal::Refusal::may_have_run(
        refusal::Reason::PoisonousRequest,
        "backend servers crashed each time that they ran this request",
    )
}

fn busy_refusal() -> refusal::Refusal {
    refusal::Refusal::not_run(
        refusal::Reason::Overloaded,
        "the request has to run alone and another such run is in progress",
    )
}
