//! The configuration that operators declare.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::name;

/// Everything that operators declare. Each revision of the configuration has one
/// intent.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intent {
    /// Models by name.
    pub models: collections::BTreeMap<name::Name, Model>,
    /// Plain services by name.
    pub services: collections::BTreeMap<name::Name, Service>,
    /// Deployments of engines by name.
    pub deployments: collections::BTreeMap<name::Name, Deployment>,
    /// Limits of the teams that have their own.
    pub teams: collections::BTreeMap<name::Name, Limits>,
    /// Limits of all other teams.
    pub default_limits: Limits,
    /// Backend servers that take no new work.
    pub drained: collections::BTreeSet<name::Name>,
    /// The weight store.
    pub weight_store: WeightStore,
}

/// A model that is to be served.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// The version of the weights.
    pub version: name::Name,
    /// Adapters to load with it.
    pub adapters: Vec<name::Name>,
    /// The deployment whose engines serve it.
    pub deployment: name::Name,
    /// Desired number of replicas.
    pub replicas: u32,
    /// Minimum number of replicas that stay ready during a rolling update to another
    /// version.
    pub min_ready: u32,
    /// Size of the weights, in megabytes.
    pub size_mb: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            version: "1".into(),
            adapters: Vec::new(),
            deployment: "default".into(),
            replicas: 1,
            min_ready: 1,
            size_mb: 1_000,
        }
    }
}

/// A plain service, which callers address by its name.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Whether calls may be repeated unless a request says otherwise.
    pub repeatable: bool,
    /// Time limit of a call, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            repeatable: true,
            timeout_ms: 30_000,
        }
    }
}

/// A deployment of engines.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Whether its backend servers refuse orders with an old fencing token.
    pub checks_fencing: bool,
}

/// Limits of a team.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Online requests per second over the whole fleet.
    pub requests_per_s: u32,
    /// Largest burst of online requests over the whole fleet.
    pub burst: u32,
    /// Maximum online requests in flight on one entry VM.
    pub concurrent: u32,
    /// Weight in the fair sharing of batch capacity.
    pub batch_weight: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            requests_per_s: 1_000,
            burst: 2_000,
            concurrent: 1_000,
            batch_weight: 1,
        }
    }
}

/// The rate limit of the weight store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStore {
    /// Megabytes per second over the whole fleet.
    pub mb_per_s: u64,
    /// Largest burst, in megabytes.
    pub burst_mb: u64,
}

impl Default for WeightStore {
    fn default() -> Self {
        WeightStore {
            mb_per_s: 1_000,
            burst_mb: 4_000,
        }
    }
}
