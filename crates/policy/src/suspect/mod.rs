//! Rules for requests that may crash backend servers.
//!
//! Every request in flight on a backend server that crashes gets a strike. One
//! strike keeps suspects apart from each other, so that the next crash tells
//! them apart; two strikes call for a run alone; a third crash, or a crash
//! alone, refuses the request of a caller. Batch items are never refused; see
//! [`item`]. A suspect that finishes is cleared.

pub mod item;

use std::collections;

use bw_wire::{command::work, fingerprint, name, refusal};

use crate::router;

/// Strikes from which a request runs isolated.
const ISOLATE_AT: u32 = 2;
/// Strikes from which a request is refused.
const REFUSE_AT: u32 = 3;
/// Most crashes remembered per suspect, to count each of them once. The work
/// machine remembers as many.
const CRASHES_MAX: usize = 16;

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

    /// Sets how long news from here and from peers outweigh a `sync` answer,
    /// which may describe an earlier state.
    pub fn sync_grace_ms(mut self, duration_ms: u64) -> Builder {
        self.sync_grace_ms = duration_ms;
        self
    }

    /// Sets how many suspects are remembered; the oldest are forgotten first.
    pub fn max_suspects(mut self, suspects: usize) -> Builder {
        self.max_suspects = suspects.max(1);
        self
    }

    /// Sets how many isolated runs of callers' requests this entry VM does at
    /// once. Each takes a whole backend server out of use.
    pub fn max_isolated(mut self, runs: usize) -> Builder {
        self.max_isolated = runs.max(1);
        self
    }

    /// Builds an empty record.
    pub fn build(self) -> Suspects {
        Suspects {
            settings: self,
            suspects: collections::BTreeMap::new(),
            cleared: collections::BTreeMap::new(),
            isolated: collections::BTreeSet::new(),
            trials: collections::BTreeSet::new(),
            crash_ms: 0,
        }
    }
}

/// How a request of a caller is to be run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Treatment {
    /// Like any other.
    Normal,
    /// On a backend server without another suspect.
    Dispersed,
    /// On a backend server without other work.
    Isolated,
    /// Not at all.
    Refused(refusal::Refusal),
}

impl Treatment {
    /// Returns how far the request shares a backend server, unless it is refused.
    pub fn sharing(&self) -> Option<router::Sharing> {
        match self {
            Treatment::Normal => Some(router::Sharing::Any),
            Treatment::Dispersed => Some(router::Sharing::Dispersed),
            Treatment::Isolated => Some(router::Sharing::Isolated),
            Treatment::Refused(_) => None,
        }
    }
}

/// What is known about broken streams of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Streams to it broke.
    pub broken: bool,
    /// A new connection was refused after that.
    pub refused: bool,
    /// It announced a later incarnation.
    pub restarted: bool,
    /// It said that it leaves before the streams broke.
    pub leaving: bool,
}

impl Evidence {
    /// Returns whether the backend server crashed. A broken connection alone
    /// may be the network's fault, and a leaving one ends in an orderly way.
    pub fn is_crash(self) -> bool {
        self.broken && !self.leaving && (self.refused || self.restarted)
    }
}

/// A request that was in flight on a backend server that crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    /// The request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Whether it ran isolated, or in a trial of an item.
    pub isolated: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    strikes: u32,
    isolated: u32,
    until_ms: u64,
    news_ms: u64,
    /// When the last strike was learnt.
    struck_ms: u64,
    /// Crashes counted here, so that each counts once.
    crashes: Vec<name::Name>,
}

/// The suspects that one entry VM knows.
#[derive(Debug)]
pub struct Suspects {
    settings: Builder,
    suspects: collections::BTreeMap<fingerprint::Fingerprint, Entry>,
    cleared: collections::BTreeMap<fingerprint::Fingerprint, u64>,
    /// Callers' requests that run isolated.
    isolated: collections::BTreeSet<fingerprint::Fingerprint>,
    /// Items that run in a trial.
    trials: collections::BTreeSet<fingerprint::Fingerprint>,
    /// When the last crash of a backend server under any request was learnt.
    crash_ms: u64,
}

impl Suspects {
    /// Returns how a request of a caller is to be run.
    pub fn treatment(&self, fingerprint: fingerprint::Fingerprint) -> Treatment {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return Treatment::Normal;
        };
        if is_refused(entry.strikes, entry.isolated) {
            return Treatment::Refused(poisonous());
        }
        if entry.strikes < ISOLATE_AT {
            return Treatment::Dispersed;
        }
        let is_busy = self.isolated.contains(&fingerprint)
            || self.isolated.len() >= self.settings.max_isolated;
        if is_busy {
            return Treatment::Refused(later());
        }
        Treatment::Isolated
    }

    /// Notes that an isolated run of a caller's request begins. [`Suspects::finished`],
    /// [`Suspects::crashed`] or [`Suspects::abandoned`] ends it.
    pub fn begin_isolated(&mut self, fingerprint: fingerprint::Fingerprint) {
        self.isolated.insert(fingerprint);
    }

    /// Notes that a run ended without an answer and without a crash.
    pub fn abandoned(&mut self, fingerprint: fingerprint::Fingerprint) {
        self.isolated.remove(&fingerprint);
        self.trials.remove(&fingerprint);
    }

    /// Counts a crash of a backend server against the requests in flight there.
    /// Returns the commands to record; a crash that is already counted yields none.
    pub fn crashed(
        &mut self,
        backend: &name::Name,
        incarnation: u64,
        flights: &[Run],
        now_ms: u64,
    ) -> Vec<work::Command> {
        let crash = name::Name::from(format!("{backend}/{incarnation}"));
        let mut commands = Vec::new();
        for flight in flights {
            self.abandoned(flight.fingerprint);
            if self.strike(&crash, flight, now_ms) {
                commands.push(work::Command::Strike {
                    fingerprint: flight.fingerprint,
                    backend: crash.clone(),
                    isolated: flight.isolated,
                });
            }
        }
        self.bound();
        commands
    }

    /// Clears a suspect that finished. Returns the command to record, unless
    /// the request was no suspect.
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

    /// Takes a suspect from a peer or from the reply to a recorded strike.
    pub fn merge(&mut self, suspect: &work::Suspect, now_ms: u64) {
        self.cleared.remove(&suspect.fingerprint);
        self.learn(suspect, now_ms);
        let entry = self.entry(suspect.fingerprint);
        entry.until_ms = entry.until_ms.max(suspect.until_ms);
        entry.news_ms = now_ms;
        self.bound();
    }

    /// Takes all suspects from a `sync` answer. Suspects that it lacks were
    /// cleared or expired, unless there is newer news of them.
    pub fn sync(&mut self, suspects: &[work::Suspect], now_ms: u64) {
        let grace_ms = self.settings.sync_grace_ms;
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= grace_ms;
        self.cleared.retain(|_, &mut at_ms| is_recent(at_ms));
        let listed: collections::BTreeSet<fingerprint::Fingerprint> =
            suspects.iter().map(|suspect| suspect.fingerprint).collect();
        self.suspects
            .retain(|fingerprint, entry| is_recent(entry.news_ms) || listed.contains(fingerprint));
        for suspect in suspects {
            if self.cleared.contains_key(&suspect.fingerprint) {
                continue;
            }
            self.learn(suspect, now_ms);
            self.entry(suspect.fingerprint).until_ms = suspect.until_ms;
        }
        self.bound();
    }

    /// Takes the record of a request that was read after all recorded strikes,
    /// `None` if there is none. Younger news from here and from peers stay, as
    /// they may not be recorded yet.
    pub fn replace(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        recorded: Option<&work::Suspect>,
        now_ms: u64,
    ) {
        let Some(entry) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if now_ms.saturating_sub(entry.news_ms) <= self.settings.sync_grace_ms {
            return;
        }
        let Some(recorded) = recorded else {
            self.suspects.remove(&fingerprint);
            return;
        };
        entry.strikes = recorded.strikes;
        entry.isolated = recorded.isolated;
        entry.until_ms = recorded.until_ms;
    }

    /// Takes the strikes that others counted.
    fn learn(&mut self, suspect: &work::Suspect, now_ms: u64) {
        let entry = self.entry(suspect.fingerprint);
        let is_struck = suspect.strikes > entry.strikes;
        entry.strikes = entry.strikes.max(suspect.strikes);
        entry.isolated = entry.isolated.max(suspect.isolated);
        if is_struck {
            entry.struck_ms = now_ms;
            self.crash_ms = now_ms;
        }
    }

    /// Returns a suspect as peers are told of it.
    pub fn get(&self, fingerprint: fingerprint::Fingerprint) -> Option<work::Suspect> {
        let entry = self.suspects.get(&fingerprint)?;
        Some(work::Suspect {
            fingerprint,
            strikes: entry.strikes,
            isolated: entry.isolated,
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

    fn strike(&mut self, crash: &name::Name, flight: &Run, now_ms: u64) -> bool {
        self.cleared.remove(&flight.fingerprint);
        let entry = self.entry(flight.fingerprint);
        if entry.crashes.contains(crash) {
            return false;
        }
        if entry.crashes.len() >= CRASHES_MAX {
            entry.crashes.remove(0);
        }
        entry.crashes.push(crash.clone());
        entry.strikes += 1;
        entry.isolated += u32::from(flight.isolated);
        entry.news_ms = now_ms;
        entry.struck_ms = now_ms;
        self.crash_ms = now_ms;
        true
    }

    fn entry(&mut self, fingerprint: fingerprint::Fingerprint) -> &mut Entry {
        self.suspects.entry(fingerprint).or_insert_with(|| Entry {
            strikes: 0,
            isolated: 0,
            until_ms: 0,
            news_ms: 0,
            struck_ms: 0,
            crashes: Vec::new(),
        })
    }

    /// Forgets the suspects with the oldest news beyond the bound.
    fn bound(&mut self) {
        while self.suspects.len() > self.settings.max_suspects {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(fingerprint, entry)| (entry.strikes, entry.news_ms, **fingerprint))
                .map(|(&fingerprint, _)| fingerprint);
            if let Some(oldest) = oldest {
                self.suspects.remove(&oldest);
            }
        }
    }
}

/// Returns whether a request of a caller with this record is refused for good.
pub fn is_poisonous(recorded: &work::Suspect) -> bool {
    is_refused(recorded.strikes, recorded.isolated)
}

fn is_refused(strikes: u32, isolated: u32) -> bool {
    isolated > 0 || strikes >= REFUSE_AT
}

fn poisonous() -> refusal::Refusal {
    refusal::Refusal::may_have_run(
        refusal::Reason::PoisonousRequest,
        "backend servers crashed each time that they ran this request",
    )
}

fn later() -> refusal::Refusal {
    refusal::Refusal::not_run(
        refusal::Reason::Overloaded,
        "the request has to run alone and another such run is in progress",
    )
}
