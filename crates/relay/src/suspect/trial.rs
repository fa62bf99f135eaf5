//! Trials of refused requests, which the control group grants.
//!
//! A request that is refused cannot clear itself, and a burst of crashes makes harmless
//! requests suspects too. A refused request may therefore run as a trial after a pause.
//! Trials of parts of prompts, which many requests share, have rules of their own: see
//! [`part`]. The number of trials of one content is limited for the whole fleet and for as long as
//! the record is kept, so it is part of the replicated state: an entry VM sends a refused
//! request only after the group has counted the trial. A trial that did not reach a
//! backend server, or ended without a crash, is not counted in the end.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Crash, Evidence, Fingerprint, Incarnation, SUSPECTS_MAX, part};

/// Most trials of one content that may crash a backend server.
pub const TRIALS_MAX: u32 = 2;
/// Strikes from which a suspect is recorded. Harmless requests rarely have two, and a
/// loss of power of all VMs must not lead to more than one crash that is not counted.
const RECORD_AT: usize = 2;
/// Strikes from which a part that has been answered is recorded. The first part of all
/// prompts of a route is in each crash, and is cleared by the next answers.
const RECORD_ANSWERED_AT: usize = 4;
/// Time after the last strike in which no trial begins, in milliseconds. It doubles with
/// each trial. Bursts of crashes end within seconds, and a backend server has restarted
/// before the next trial.
pub const PAUSE_MS: u64 = 10_000;
/// Time after which a caller may try again a request whose trials all crashed backend
/// servers, in milliseconds.
pub const EXHAUSTED_RETRY_MS: u64 = 60 * 60 * 1_000;
/// Time after which the leader is asked again for a trial of such a suspect, in
/// milliseconds. All backend servers may have been replaced by then.
pub const EXHAUSTED_ASK_MS: u64 = 10_000;
/// Most doublings of the pause, which is an hour and a half at most.
const DOUBLINGS_MAX: u32 = 9;
/// Time for which a trial that has not ended keeps others from beginning, in
/// milliseconds. Most requests end sooner, and a crash is noticed at once.
const TRIAL_MS: u64 = 10_000;
/// Longest time beyond the pause for which a trial waits until no backend server
/// crashes, in milliseconds. A single faulty one must not delay it forever.
const CALM_WAIT_MS: u64 = 10_000;
/// Time after which an entry VM asks again for a trial that waits for calm, in
/// milliseconds.
const CALM_RETRY_MS: u64 = 1_000;
/// Time after the last strike or trial after which a record is outdated, in
/// milliseconds: 31 days.
pub(super) const RETENTION_MS: u64 = 31 * 24 * 60 * 60 * 1_000;

/// The part of the suspects that is removed when there are too many, as a divisor.
const EVICTED_PART: usize = 10;

/// A change of the trials. Times are Unix milliseconds of the leader.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Records evidence against a suspect. Evidence without strikes removes it.
    Record {
        /// What is known about the suspect.
        evidence: Evidence,
        /// When the leader learned of it.
        now_ms: u64,
    },
    /// Begins a trial if one is due.
    Begin {
        /// The content.
        fingerprint: Fingerprint,
        /// Identifies the trial; chosen at random by the entry VM.
        ticket: u64,
        /// Whether no backend server crashed recently under another request.
        calm: bool,
        /// When the leader was asked.
        now_ms: u64,
    },
    /// Ends a trial, or lets the next one begin beside it.
    End {
        /// The content.
        fingerprint: Fingerprint,
        /// The ticket of the trial.
        ticket: u64,
        /// What became of it.
        end: End,
        /// When the leader learned of it.
        now_ms: u64,
    },
    /// Begins a trial of a part if one is due.
    BeginPart(part::Begin),
    /// Ends the trials of parts that a former leader ran and whose results are lost.
    Abandoned {
        /// Backend servers that have been running since. They were not crashed.
        running: Vec<Incarnation>,
        /// When a new leader found out.
        now_ms: u64,
    },
}

/// Returns the number of strikes from which a suspect is recorded.
pub fn record_at(evidence: &Evidence) -> usize {
    match evidence.is_answered() {
        true => RECORD_ANSWERED_AT,
        false => RECORD_AT,
    }
}

/// What became of a trial that neither crashed a backend server nor was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum End {
    /// The request did not run.
    NotRun,
    /// The request ran and ended without a complete answer and without a crash, as when
    /// its caller disconnects.
    Inconclusive,
    /// It still runs and has sent a first event, so that another trial of the content
    /// need not wait for its end.
    Streaming,
    /// The leader stopped the item for online requests, or it found no free slot.
    Preempted,
}

/// Whether a trial may begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The trial is counted and may begin.
    Granted,
    /// No trial may begin now.
    Wait {
        /// Time after which one may be asked for again, in milliseconds.
        retry_after_ms: u64,
    },
    /// All trials have crashed backend servers.
    Exhausted,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Suspect {
    evidence: Evidence,
    /// Trials that began, without those that ended as not run or inconclusive.
    trials: u32,
    /// Trials that ended as inconclusive.
    inconclusive: u32,
    /// Tickets of trials that have not ended.
    open: Vec<u64>,
    /// When the next trial may begin, if any.
    not_before_ms: u64,
    /// When a strike or a trial changed the record last.
    changed_ms: u64,
}

/// The recorded suspects with their trials.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Trials {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// In a snapshot after the suspects, as former versions have only these.
    parts: part::Parts,
}

impl Trials {
    /// Decodes the part of a snapshot that holds the suspects. Snapshots of former versions
    /// hold no trials of parts, and those of before parts were judged less evidence.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are none of the forms.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Trials, postcard::Error> {
        let decoded = postcard::take_from_bytes(bytes).and_then(|(suspects, rest)| {
            let parts = match rest.is_empty() {
                true => part::Parts::default(),
                false => postcard::from_bytes(rest)?,
            };
            Ok(Trials { suspects, parts })
        });
        decoded.or_else(|error| {
            let former: Former = postcard::from_bytes(bytes).map_err(|_| error)?;
            let suspects = former.suspects.into_iter();
            let suspects = suspects.map(|(fingerprint, former)| (fingerprint, former.into()));
            Ok(Trials {
                suspects: suspects.collect(),
                parts: part::Parts::default(),
            })
        })
    }

    /// Returns the evidence against all recorded suspects.
    pub fn evidence(&self) -> impl Iterator<Item = &Evidence> {
        self.suspects.values().map(|suspect| &suspect.evidence)
    }

    /// Applies a command. Returns a verdict on [`Command::Begin`].
    pub fn execute(&mut self, command: Command) -> Option<Verdict> {
        match command {
            Command::Record { evidence, now_ms } => {
                self.record(&evidence.without_ages(), now_ms);
                None
            }
            Command::BeginPart(begin) => {
                let suspect = self.suspects.get(&begin.fingerprint);
                let struck_ms = suspect.map_or(0, |suspect| suspect.changed_ms);
                let former = suspect.map_or(0, |suspect| suspect.trials);
                Some(self.parts.begin(&begin, struck_ms, former))
            }
            Command::Abandoned { running, now_ms } => {
                self.parts.abandoned(&running, now_ms);
                for suspect in self.suspects.values_mut() {
                    suspect.changed_ms = suspect.changed_ms.min(now_ms);
                }
                None
            }
            Command::Begin {
                fingerprint,
                ticket,
                calm,
                now_ms,
            } => Some(self.begin(fingerprint, ticket, calm, now_ms)),
            Command::End {
                fingerprint,
                ticket,
                end,
                now_ms,
            } => {
                self.parts.end(fingerprint, ticket, end, now_ms);
                self.end(fingerprint, ticket, end, now_ms);
                None
            }
        }
    }

    fn record(&mut self, evidence: &Evidence, now_ms: u64) {
        let fingerprint = evidence.fingerprint;
        let known = self.suspects.contains_key(&fingerprint);
        if !known && evidence.strikes() == 0 {
            return;
        }
        let suspect = self.suspect(fingerprint, now_ms);
        let before = suspect.evidence.strikes();
        let crashed = suspect.evidence.new_crashes(evidence);
        suspect.evidence.merge(evidence);
        let strikes = suspect.evidence.strikes();
        if strikes > before {
            suspect.open.clear();
            suspect.not_before_ms = now_ms + pause_ms(suspect.trials);
        }
        if !crashed.is_empty() {
            suspect.changed_ms = now_ms;
            self.parts.struck(fingerprint, &crashed);
        }
        if strikes < before {
            self.parts.cleared(fingerprint);
        }
        if strikes == 0 {
            self.suspects.remove(&fingerprint);
        }
    }

    fn begin(&mut self, fingerprint: Fingerprint, ticket: u64, calm: bool, now_ms: u64) -> Verdict {
        let suspect = self.suspect(fingerprint, now_ms);
        if now_ms >= suspect.changed_ms.saturating_add(RETENTION_MS) {
            suspect.trials = 0;
            suspect.inconclusive = 0;
            suspect.open.clear();
        }
        if now_ms < suspect.not_before_ms {
            let retry_after_ms = suspect.not_before_ms - now_ms;
            return Verdict::Wait { retry_after_ms };
        }
        if suspect.trials >= TRIALS_MAX {
            return Verdict::Exhausted;
        }
        if !calm && now_ms < suspect.not_before_ms + CALM_WAIT_MS {
            let retry_after_ms = CALM_RETRY_MS;
            return Verdict::Wait { retry_after_ms };
        }
        suspect.trials += 1;
        suspect.open.push(ticket);
        suspect.changed_ms = now_ms;
        suspect.not_before_ms = now_ms + TRIAL_MS;
        Verdict::Granted
    }

    fn end(&mut self, fingerprint: Fingerprint, ticket: u64, end: End, now_ms: u64) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if !suspect.open.contains(&ticket) {
            return;
        }
        if end != End::Streaming {
            suspect.open.retain(|open| *open != ticket);
            suspect.trials = suspect.trials.saturating_sub(1);
        }
        suspect.not_before_ms = match end {
            End::NotRun | End::Streaming | End::Preempted => now_ms,
            End::Inconclusive => {
                suspect.inconclusive += 1;
                now_ms + pause_ms(suspect.inconclusive - 1)
            }
        };
    }

    /// Returns a suspect, which is added if it is unknown.
    fn suspect(&mut self, fingerprint: Fingerprint, now_ms: u64) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= SUSPECTS_MAX {
            self.evict();
        }
        self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            evidence: Evidence::new(fingerprint),
            trials: 0,
            inconclusive: 0,
            open: Vec::new(),
            not_before_ms: now_ms + PAUSE_MS,
            changed_ms: now_ms,
        })
    }

    /// Removes the suspects that are least likely to crash a backend server again: those
    /// with the fewest strikes and trials, and of these the oldest. Many at once, as it
    /// takes a look at all of them.
    fn evict(&mut self) {
        let mut ranks: Vec<_> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| {
                let severity = suspect.evidence.strikes() + suspect.trials as usize;
                (severity, suspect.changed_ms, *fingerprint)
            })
            .collect();
        ranks.sort_unstable();
        for (_, _, fingerprint) in ranks.into_iter().take(SUSPECTS_MAX / EVICTED_PART) {
            self.suspects.remove(&fingerprint);
        }
    }
}

fn pause_ms(doublings: u32) -> u64 {
    PAUSE_MS << doublings.min(DOUBLINGS_MAX)
}

/// The suspects in the snapshots of former versions.
#[derive(Deserialize)]
struct Former {
    suspects: BTreeMap<Fingerprint, FormerSuspect>,
}

#[derive(Deserialize)]
struct FormerSuspect {
    evidence: FormerEvidence,
    trials: u32,
    inconclusive: u32,
    open: Vec<u64>,
    not_before_ms: u64,
    changed_ms: u64,
}

impl From<FormerSuspect> for Suspect {
    fn from(former: FormerSuspect) -> Suspect {
        Suspect {
            evidence: Evidence::from_crashes(
                former.evidence.fingerprint,
                former.evidence.crashes,
                former.evidence.cleared,
            ),
            trials: former.trials,
            inconclusive: former.inconclusive,
            open: former.open,
            not_before_ms: former.not_before_ms,
            changed_ms: former.changed_ms,
        }
    }
}

#[derive(Deserialize)]
struct FormerEvidence {
    fingerprint: Fingerprint,
    crashes: BTreeSet<Crash>,
    cleared: BTreeSet<Crash>,
}
