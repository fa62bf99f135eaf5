//! The protocol between entry VMs, the control leader and backend servers.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{fingerprint, name};

/// Path to which backend servers send their announcement and its renewals.
pub const ANNOUNCE_PATH: &str = "/backend/announce";
/// Path to which engines publish cache events.
pub const CACHE_EVENTS_PATH: &str = "/backend/cache-events";
/// Path on a backend server that takes orders.
pub const ORDERS_PATH: &str = "/backend/orders";
/// Interval at which backend servers renew their announcement, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 1_000;
/// Age, in milliseconds, of the last proof that a backend server is not leaving, from
/// which on no new work is sent to it.
pub const PROOF_MAX_AGE_MS: u64 = 3_000;

/// What a backend server runs.
#[derive(
    Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a backend server takes new work.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    EnumString,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Takes work.
    Ready,
    /// Loads weights and takes no work yet.
    Loading,
    /// Finishes its work and takes nothing new.
    Leaving,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model's name.
    pub model: name::Name,
    /// The version of the weights.
    pub version: name::Name,
    /// The names of the loaded adapters.
    pub adapters: Vec<name::Name>,
}

/// A load report, which lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Admitted requests that wait for KV memory.
    pub waiting: u32,
    /// KV memory in use, from 0 to 1.
    pub kv_used: f32,
    /// Duration of the last decode step, in milliseconds.
    pub step_ms: f32,
    /// Age of these values when they were sent, in milliseconds.
    pub age_ms: u32,
}

impl Load {
    /// Relative change of a value above which it matters for routing.
    const RELATIVE_CHANGE: f32 = 0.125;
    /// Change of the share of KV memory in use above which it matters for routing.
    const KV_USED_CHANGE: f32 = 0.03;

    /// Returns whether the load differs enough from another one to matter for routing.
    pub fn differs_significantly(&self, other: &Load) -> bool {
        let changed =
            |one: f32, other: f32| (one - other).abs() > other.max(one) * Load::RELATIVE_CHANGE;
        changed(self.running as f32, other.running as f32)
            || changed(self.waiting as f32, other.waiting as f32)
            || changed(self.step_ms, other.step_ms)
            || (self.kv_used - other.kv_used).abs() > Load::KV_USED_CHANGE
    }
}

/// What a backend server reports about itself, at start and with each renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The backend server's stable id.
    pub id: name::Name,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// `IP:port` of its HTTP API.
    pub address: name::Name,
    /// What it runs.
    pub kind: Kind,
    /// The service it belongs to: the plain service's name, or the deployment of an engine.
    pub service: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Whether it takes new work.
    pub state: State,
    /// Loaded models, empty for plain services.
    pub loaded: Vec<Loaded>,
    /// Number of concurrent requests that it handles well.
    pub capacity: u32,
    /// The highest fencing token of the orders that it has carried out.
    pub fence: u64,
    /// The load report.
    pub load: Load,
}

impl Announcement {
    /// Returns whether two announcements of a backend server differ at most in their
    /// sequence number and load.
    pub fn same_profile(&self, other: &Announcement) -> bool {
        self.incarnation == other.incarnation
            && self.address == other.address
            && self.kind == other.kind
            && self.service == other.service
            && self.failure_domain == other.failure_domain
            && self.state == other.state
            && self.loaded == other.loaded
            && self.capacity == other.capacity
            && self.fence == other.fence
    }
}

/// The answer to an announcement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Announced {
    /// After how many milliseconds to renew.
    pub renew_ms: u64,
}

/// Changes in an engine's prefix cache.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's stable id.
    pub id: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of the first event; a jump shows that events were lost.
    pub sequence: u64,
    /// Prefix blocks added.
    pub stored: Vec<fingerprint::Fingerprint>,
    /// Prefix blocks removed.
    pub removed: Vec<fingerprint::Fingerprint>,
}

/// An order from the control leader to a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token; grows with each order.
    pub fence: u64,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a version of a model with adapters, in place of what is loaded.
    Load {
        /// The model's name.
        model: name::Name,
        /// The version of the weights.
        version: name::Name,
        /// The names of the adapters.
        adapters: Vec<name::Name>,
    },
    /// Unload a model.
    Unload {
        /// The model's name.
        model: name::Name,
    },
    /// Stop taking new work and finish the requests in flight.
    Leave,
}
