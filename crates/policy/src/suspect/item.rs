//! Rules for batch items that were in flight when backend servers crashed.
//!
//! An accepted item has to be completed as long as its job exists, so that
//! crashes never end it. From two strikes on, its runs are trials: one at a time
//! per content, apart from other suspects, and after a backoff that doubles with
//! each crash. The backoff also ends after a quiet period without any crash of a
//! backend server. Each crash during a trial of the item, which makes it the
//! likely cause, doubles this quiet period.

use bw_wire::fingerprint;

use super::{Entry, ISOLATE_AT, Suspects};

/// Initial backoff, after the strike from which on runs are trials, in
/// milliseconds. It doubles with each further strike.
const PAUSE_MS: u64 = 2_000;
/// Upper bound of the backoff and of the quiet period, in milliseconds. It limits
/// an item that crashes backend servers to 30 crashes per hour.
const PAUSE_MAX_MS: u64 = 120_000;
/// Time without a crash after which the backoff of an item ends, in milliseconds.
/// It doubles with each crash during a trial of the item.
const QUIET_PERIOD_MS: u64 = 5_000;
/// Delay of an item while a trial of the same content is running, in milliseconds.
const SAME_TRIAL_RETRY_MS: u64 = 500;
/// Time after a reservation until the other entry VMs have stopped sending work to
/// the reserved backend server and their counts show it, in milliseconds.
const SETTLE_MS: u64 = 1_000;
/// Maximum time that a trial waits for its reserved backend server to become
/// empty, in milliseconds. Long online responses may take longer; the trial then
/// runs beside them.
const MAX_WAIT_MS: u64 = 10_000;
/// Maximum time that a trial waits for suspects there to end, in milliseconds. It
/// never runs beside suspects, and starting again elsewhere would take as long
/// again. The remainder of the 30 s of a reservation is left for the run.
const MAX_SUSPECT_WAIT_MS: u64 = 20_000;

/// Why an item waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Backend servers crashed recently while they ran it.
    CrashPause,
    /// A trial of an item with the same content is in progress.
    SameTrial,
}

/// How to run a batch item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Like any other item.
    Normal,
    /// On a backend server without another suspect.
    Dispersed {
        /// Whether the run is a trial.
        trial: bool,
    },
    /// In a trial on a backend server that is reserved for it.
    Isolated,
    /// Not now; the item must wait.
    Wait {
        /// When to call [`Suspects::plan`] again.
        until_ms: u64,
        /// What keeps the item from running now.
        reason: Reason,
    },
}

/// Work that is still running on a backend server reserved for a trial.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Remaining {
    /// Batch streams: batch items that run there as streamed requests.
    pub streams: u32,
    /// Online requests of all entry VMs.
    pub online: u32,
    /// This entry VM's online requests that are suspects.
    pub suspects: u32,
}

/// What to do with a trial that waits for its reserved backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Keep waiting for the backend server to become empty.
    Wait,
    /// Start, because the backend server is empty.
    Empty,
    /// Start beside online requests that are no suspects, because the maximum wait
    /// is over.
    WaitOver,
    /// Give up the trial and its reservation.
    GiveUp,
}

impl Decision {
    /// Decides what to do with a trial whose backend server was reserved `age_ms`
    /// ago.
    pub fn of(remaining: Remaining, age_ms: u64) -> Decision {
        if age_ms >= SETTLE_MS && remaining.streams == 0 {
            if remaining.online == 0 {
                return Decision::Empty;
            }
            if age_ms >= MAX_WAIT_MS && remaining.suspects == 0 {
                return Decision::WaitOver;
            }
        }
        let limit_ms = if remaining.suspects > 0 {
            MAX_SUSPECT_WAIT_MS
        } else {
            MAX_WAIT_MS
        };
        match age_ms < limit_ms {
            true => Decision::Wait,
            false => Decision::GiveUp,
        }
    }
}

impl Suspects {
    /// Returns how to run an item.
    pub fn plan(&self, fingerprint: fingerprint::Fingerprint, now_ms: u64) -> Plan {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return Plan::Normal;
        };
        if self.trials.contains(&fingerprint) {
            return Plan::Wait {
                until_ms: now_ms + SAME_TRIAL_RETRY_MS,
                reason: Reason::SameTrial,
            };
        }
        if entry.strikes < ISOLATE_AT {
            return Plan::Dispersed { trial: false };
        }
        let until_ms = self.resume_ms(entry);
        if now_ms < until_ms {
            return Plan::Wait {
                until_ms,
                reason: Reason::CrashPause,
            };
        }
        // Each isolated run takes a whole backend server. As long as no server
        // crashed recently, an item without a crash during a trial is therefore
        // dispersed instead.
        let is_quiet = now_ms >= self.last_crash_ms.saturating_add(QUIET_PERIOD_MS);
        if entry.isolated_crashes == 0 && is_quiet {
            return Plan::Dispersed { trial: true };
        }
        Plan::Isolated
    }

    /// Records the start of a trial of an item. [`Suspects::finished`],
    /// [`Suspects::crashed`] or [`Suspects::abandoned`] ends it.
    pub fn begin_trial(&mut self, fingerprint: fingerprint::Fingerprint) {
        self.trials.insert(fingerprint);
    }

    /// Returns when the backoff of an item ends.
    fn resume_ms(&self, entry: &Entry) -> u64 {
        let pause_ms = backoff(PAUSE_MS, entry.strikes.saturating_sub(ISOLATE_AT));
        let quiet_period_ms = backoff(QUIET_PERIOD_MS, entry.isolated_crashes);
        let pause_end_ms = entry.last_strike_ms.saturating_add(pause_ms);
        let quiet_end_ms = self.last_crash_ms.saturating_add(quiet_period_ms);
        pause_end_ms.min(quiet_end_ms)
    }
}

/// Returns a pause that is doubled the given number of times, up to the maximum.
fn backoff(pause_ms: u64, doublings: u32) -> u64 {
    let factor = 2_u64.saturating_pow(doublings);
    pause_ms.saturating_mul(factor).min(PAUSE_MAX_MS)
}
