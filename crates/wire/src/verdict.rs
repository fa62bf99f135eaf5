//! Whether a request may have run, over all its sends.
//!
//! [`Verdict::join`] is the only way to combine the verdicts of several sends. Its result
//! does not depend on their order, so that no later send takes back an earlier run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// States whether a backend server may have executed a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The request provably did not run: nothing was sent, or the backend
    /// server refused it before running it.
    #[default]
    NotRun,
    /// The request may have run, in whole or in part.
    MayHaveRun,
    /// A backend server responded that it ran the request.
    Run,
}

impl Verdict {
    /// Returns the verdict of two sends of one request: `Run` if one of them ran, and
    /// `NotRun` only if neither can have run.
    #[must_use]
    pub fn join(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Run, _) | (_, Verdict::Run) => Verdict::Run,
            (Verdict::MayHaveRun, _) | (_, Verdict::MayHaveRun) => Verdict::MayHaveRun,
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        }
    }

    /// Returns whether the request must be treated as one that has run.
    pub fn may_have_run(self) -> bool {
        match self {
            Verdict::NotRun => false,
            Verdict::MayHaveRun | Verdict::Run => true,
        }
    }
}

/// The verdict of a request over its sends, with the number of those that may have run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    verdict: Verdict,
    runs: u32,
}

impl Tally {
    /// Adds the verdict of one more send.
    pub fn add(&mut self, verdict: Verdict) {
        self.verdict = self.verdict.join(verdict);
        self.runs += u32::from(verdict.may_have_run());
    }

    /// Returns the join of the verdicts of all sends; `NotRun` if there was none.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the number of sends that may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }
}
