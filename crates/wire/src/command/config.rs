//! Commands of the configuration machine.

use serde::{Deserialize, Serialize};

use crate::{backend, intent, name};

/// A command to the configuration machine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Stores a plan against a base revision.
    Plan {
        /// Identifies the call, so that a resend gets the first answer.
        request: name::Name,
        /// Who asks.
        operator: name::Name,
        /// The revision that the operator saw.
        base: u64,
        /// The whole new intent.
        intent: Box<intent::Intent>,
    },
    /// Applies a plan.
    Confirm {
        /// Identifies the call, so that a resend gets the first answer.
        request: name::Name,
        /// Who asks.
        operator: name::Name,
        /// The plan.
        plan: name::Name,
    },
    /// Records an order to a backend server, takes its weight-store budget and
    /// assigns its fencing number.
    Order {
        /// The backend server.
        backend: name::Name,
        /// What it is told to do.
        action: backend::Action,
        /// Megabytes that the order fetches from the weight store.
        fetch_mb: u64,
    },
}

/// A line of a plan's diff or of the history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The path of the changed value, for example `models.batting-desk.version`.
    pub path: String,
    /// The value before, as JSON text; absent when added.
    pub before: Option<String>,
    /// The value after, as JSON text; absent when removed.
    pub after: Option<String>,
}

/// An applied revision in the history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The revision number.
    pub number: u64,
    /// Who confirmed it.
    pub operator: name::Name,
    /// The plan.
    pub plan: name::Name,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// What it changed.
    pub changes: Vec<Change>,
}

/// A reply of the configuration machine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The plan is stored.
    Planned {
        /// The plan's id.
        plan: name::Name,
        /// Its base revision.
        base: u64,
        /// What it will change.
        changes: Vec<Change>,
        /// Megabytes that it will fetch from the weight store.
        fetch_mb: u64,
    },
    /// The plan is applied.
    Applied {
        /// The new revision.
        revision: u64,
    },
    /// The base is no longer the current revision.
    Conflict {
        /// The current revision.
        current: u64,
        /// What got in between.
        since: Vec<Revision>,
    },
    /// The plan does not exist.
    UnknownPlan,
    /// The request id was used with another content.
    RequestConflict,
    /// The intent is not valid.
    Invalid {
        /// Each problem, as `path: reason`.
        problems: Vec<String>,
    },
    /// The order may be sent.
    Ordered {
        /// Its fencing number.
        fence: u64,
    },
    /// The weight-store budget does not allow the order yet.
    Wait {
        /// When it will, in milliseconds from now.
        retry_ms: u64,
    },
}
