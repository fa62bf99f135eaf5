//! The exchange between entry VMs and the control leader.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{backend, command, intent, name};

/// How long an entry VM may admit new work after it sent a `sync` that was
/// answered, in milliseconds.
pub const CONFIG_LEASE_MS: u64 = 4_000;
/// Interval of the exchange, in milliseconds.
pub const INTERVAL_MS: u64 = 500;

/// What an entry VM reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The entry VM's name.
    pub entry: name::Name,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// `IP:port` of its peer exchange.
    pub peer_address: name::Name,
    /// The configuration revision that it serves; 0 when it has none.
    pub revision: u64,
    /// The term of the leader that answered last; a change asks for a full report.
    pub leader_term: u64,
    /// Announcements heard directly since the last report, with their age.
    /// After a leader change, all that are known.
    pub heard: Vec<Heard>,
    /// Online requests in flight by backend server.
    pub online: collections::BTreeMap<name::Name, u32>,
    /// Whether it is shutting down and takes no batch ownership.
    pub draining: bool,
}

/// An announcement and how long ago it was heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heard {
    /// The announcement.
    pub announcement: backend::Announcement,
    /// Its age, in milliseconds.
    pub age_ms: u64,
}

/// What the control leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The leader's term.
    pub leader_term: u64,
    /// The configuration lease, in milliseconds from when the request was sent.
    pub lease_ms: u64,
    /// The revision in force at the leader.
    pub revision: u64,
    /// The intent, if the entry VM's revision is older.
    pub intent: Option<Box<intent::Intent>>,
    /// All known backend servers with the age of the last renewal.
    pub backends: Vec<Heard>,
    /// Other entry VMs.
    pub peers: Vec<Peer>,
    /// Online requests in flight by backend server, over the other entry VMs.
    pub online: collections::BTreeMap<name::Name, u32>,
    /// Owner entry VM of each backend server's batch work.
    pub owners: collections::BTreeMap<name::Name, name::Name>,
    /// Suspected requests.
    pub suspects: Vec<command::work::Suspect>,
}

/// Another entry VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub entry: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// `IP:port` of its peer exchange.
    pub address: name::Name,
}
