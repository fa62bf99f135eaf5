//! Commands of the configuration state machine.

use serde::{Deserialize, Serialize};

use crate::{backend, intent, name};

/// A command to the configuration state machine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Stores a plan against a base revision.
    Plan {
        /// Identifies the call, so that a retry gets the reply to the first attempt.
        request: name::Name,
        /// The operator who makes the call.
        operator: name::Name,
        /// The revision that the plan is based on.
        base: u64,
        /// The whole new intent.
        intent: Box<intent::Intent>,
    },
    /// Applies a plan.
    Confirm {
        /// Identifies the call, so that a retry gets the reply to the first attempt.
        request: name::Name,
        /// The operator who makes the call.
        operator: name::Name,
        /// The plan's id.
        plan: name::Name,
    },
    /// Records an order to a backend server, deducts the data that it fetches from the
    /// weight-store budget and assigns its fencing token.
    Order {
        /// The backend server's id.
        backend: name::Name,
        /// What the order asks for.
        action: backend::Action,
        /// Megabytes that the order fetches from the weight store.
        fetch_mb: u64,
    },
}

/// A line of a plan's diff or of the history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The dotted path of the changed value, for example `models.batting-desk.version`.
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
    /// The id of the plan that was applied.
    pub plan: name::Name,
    /// When it was confirmed, Unix time in milliseconds.
    pub at_ms: u64,
    /// What it changed.
    pub changes: Vec<Change>,
}

/// A reply of the configuration state machine.
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
        /// The revisions that were applied after the base.
        since: Vec<Revision>,
    },
    /// The plan does not exist.
    UnknownPlan,
    /// The request id was already used with other content.
    RequestConflict,
    /// The intent is not valid.
    Invalid {
        /// Each problem, as `path: reason`.
        problems: Vec<String>,
    },
    /// The order may be sent.
    Ordered {
        /// Its fencing token.
        fence: u64,
    },
    /// The weight-store budget does not allow the order yet.
    Wait {
        /// After how many milliseconds it will.
        retry_ms: u64,
    },
}
