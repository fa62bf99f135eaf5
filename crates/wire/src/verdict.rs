//! Whether a request that was not answered may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// States whether a backend server may have executed a request.
#[derive(
    Clone,
    Copy,
    Debug,
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
    NotRun,
    /// The request may have run, in whole or in part.
    MayHaveRun,
}

impl Verdict {
    /// Combines the verdicts of two attempts of one request: the result is `NotRun` only
    /// if both are.
    pub fn combine(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}
