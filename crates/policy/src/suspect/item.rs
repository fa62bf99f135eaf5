//! Rules for items that were in flight when backend servers crashed.
//!
//! An accepted item is owed as long as its job is, so that crashes never end
//! it. From two strikes on its runs are trials: one at a time for an item, kept
//! apart from other suspects, after pauses that grow with each crash. Once no
//! backend server has crashed for a while, an item waits no longer, unless a
//! crash of its trials makes its own fault likely; these lengthen that while.

use bw_wire::fingerprint;

use super::{Entry, ISOLATE_AT, Suspects};

/// Pause after the strike from which runs are trials, in milliseconds. It
/// doubles with each further strike.
const PAUSE_MS: u64 = 2_000;
/// Longest pause of an item, in milliseconds. It bounds the crashes under an
/// item that causes them to 30 an hour.
const PAUSE_MAX_MS: u64 = 120_000;
/// Time without a crash after which an item waits no longer, in milliseconds.
/// It doubles with each crash of a trial of the item.
const CALM_MS: u64 = 5_000;
/// Pause of an item whose content another trial runs, in milliseconds.
const TRIAL_MS: u64 = 500;
/// Time after which the other entry VMs' counts show that they have stopped to
/// send work to a reserved backend server, in milliseconds.
const SETTLE_MS: u64 = 1_000;
/// How long an item waits for its reserved backend server to become empty, in
/// milliseconds. Long online answers may take longer, so that it then runs
/// beside them.
const WAIT_MS: u64 = 10_000;
/// How long it waits for suspects there to end, in milliseconds. It never runs
/// beside them, and to start again elsewhere would take as long again. The rest
/// of the 30 s of a reservation is for the run.
const SUSPECTS_MS: u64 = 20_000;

/// Why an item waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Backend servers crashed under it shortly before.
    CrashPause,
    /// A trial of an item with the same content is in progress.
    SameTrial,
}

/// How an item is to be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Like any other.
    Normal,
    /// On a backend server without another suspect.
    Dispersed {
        /// Whether the run is a trial.
        trial: bool,
    },
    /// On a backend server that is kept free of other work; a trial.
    Isolated,
    /// Not before a time.
    Wait {
        /// When to ask again.
        until_ms: u64,
        /// Why it waits.
        reason: Reason,
    },
}

/// What still runs on a backend server that is reserved for a trial.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Remaining {
    /// Batch streams.
    pub streams: u32,
    /// Online requests of all entry VMs.
    pub online: u32,
    /// Own online requests that are suspects.
    pub suspects: u32,
}

/// What is to be done about a trial that waits for its reserved backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// It waits on.
    Wait,
    /// It starts, as the backend server is empty.
    Empty,
    /// It starts beside online requests that are no suspects.
    WaitOver,
    /// It is given up, and the reservation with it.
    GiveUp,
}

impl Decision {
    /// Decides about a trial whose backend server was reserved `age_ms` ago.
    pub fn of(rest: Remaining, age_ms: u64) -> Decision {
        if age_ms >= SETTLE_MS && rest.streams == 0 {
            if rest.online == 0 {
                return Decision::Empty;
            }
            if age_ms >= WAIT_MS && rest.suspects == 0 {
                return Decision::WaitOver;
            }
        }
        let limit_ms = if rest.suspects > 0 {
            SUSPECTS_MS
        } else {
            WAIT_MS
        };
        match age_ms < limit_ms {
            true => Decision::Wait,
            false => Decision::GiveUp,
        }
    }
}

impl Suspects {
    /// Returns how an item is to be run.
    pub fn plan(&self, fingerprint: fingerprint::Fingerprint, now_ms: u64) -> Plan {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return Plan::Normal;
        };
        if self.trials.contains(&fingerprint) {
            return Plan::Wait {
                until_ms: now_ms + TRIAL_MS,
                reason: Reason::SameTrial,
            };
        }
        if entry.strikes < ISOLATE_AT {
            return Plan::Dispersed { trial: false };
        }
        let until_ms = self.due_ms(entry);
        if now_ms < until_ms {
            return Plan::Wait {
                until_ms,
                reason: Reason::CrashPause,
            };
        }
        // Isolated runs use up a backend server each, so that items without a
        // crash of their own trials are only dispersed in a calm fleet.
        let is_calm = now_ms >= self.crash_ms.saturating_add(CALM_MS);
        if entry.isolated == 0 && is_calm {
            return Plan::Dispersed { trial: true };
        }
        Plan::Isolated
    }

    /// Notes that a trial of an item begins. [`Suspects::finished`],
    /// [`Suspects::crashed`] or [`Suspects::abandoned`] ends it.
    pub fn begin_trial(&mut self, fingerprint: fingerprint::Fingerprint) {
        self.trials.insert(fingerprint);
    }

    /// Returns when the pause of an item with strikes is over.
    fn due_ms(&self, entry: &Entry) -> u64 {
        let pause_ms = doubled(PAUSE_MS, entry.strikes.saturating_sub(ISOLATE_AT));
        let calm_ms = doubled(CALM_MS, entry.isolated);
        let paused_ms = entry.struck_ms.saturating_add(pause_ms);
        let calmed_ms = self.crash_ms.saturating_add(calm_ms);
        paused_ms.min(calmed_ms)
    }
}

/// Doubles a pause a number of times, up to the longest one.
fn doubled(pause_ms: u64, times: u32) -> u64 {
    let factor = 2_u64.saturating_pow(times);
    pause_ms.saturating_mul(factor).min(PAUSE_MAX_MS)
}
