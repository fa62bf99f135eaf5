//! The exchange between entry VMs and the control leader.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{backend, command, intent, name, renewal};

/// How long an entry VM may admit new work after it sent a `sync` that was
/// answered, in milliseconds.
pub const CONFIG_LEASE_MS: u64 = 4_000;
/// Interval of the exchange with up to [`SHORT_INTERVAL_MAX_ENTRIES`] entry VMs, in milliseconds.
pub const SHORT_INTERVAL_MS: u64 = 500;
/// Interval of the exchange with more entry VMs, in milliseconds. After an
/// exchange that is lost for its whole time limit of 2 s, a quarter of the
/// configuration lease is left for the next one.
pub const LONG_INTERVAL_MS: u64 = 1_000;
/// Number of entry VMs up to which the shorter interval applies, so that 370
/// entry VMs stay below 10 KB/s each.
pub const SHORT_INTERVAL_MAX_ENTRIES: usize = 64;
/// Age that the leader gives at least to an announcement whose time is not
/// known, so that it is no proof of not leaving.
pub const UNKNOWN_TIME_MIN_AGE_MS: u64 = backend::PROOF_MAX_AGE_MS;

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
    /// The version of the table in the last answer that was applied; 0 asks for
    /// the whole table.
    pub table: u64,
    /// The leader's clock in the response that the times in this request count
    /// from the arrival of; absent before the first response of `leader_term`.
    pub clock_ms: Option<u64>,
    /// Announcements heard directly since the last report whose backend servers
    /// are not in the named table, or differ from it in more than load. After a
    /// leader change, all that are known.
    pub heard: Vec<Dated>,
    /// Announcements of other backend servers, heard directly since the last
    /// report, by slot.
    pub renewals: renewal::Reports,
    /// Online requests in flight by slot, without zeros.
    pub online: renewal::Counts,
    /// Online requests in flight on backend servers that are not in the named
    /// table, without zeros.
    pub online_unlisted: collections::BTreeMap<name::Name, u32>,
    /// Whether it is shutting down and takes no batch ownership.
    pub draining: bool,
}

/// An announcement and when it was heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dated {
    /// The announcement.
    pub announcement: backend::Announcement,
    /// When it was heard, in milliseconds after the arrival of the response that
    /// carried [`Request::clock_ms`]; without one, after the sending of this
    /// request. Negative when it was heard before.
    pub at_ms: i64,
}

/// An announcement and how long ago it was heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heard {
    /// The announcement.
    pub announcement: backend::Announcement,
    /// Its age, in milliseconds.
    pub age_ms: u64,
}

/// A backend server in the leader's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Its number in the table.
    pub slot: u32,
    /// The sequence number that renewals count from.
    pub base: u64,
    /// The announcement, and the age of the last one.
    pub heard: Heard,
}

/// What the control leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The leader's term.
    pub leader_term: u64,
    /// The leader's monotonic clock when this was written. The next request
    /// returns it.
    pub clock_ms: u64,
    /// How long after the sending of this request the next one is due unless
    /// something changes, in milliseconds.
    pub interval_ms: u64,
    /// Whether the next request is to report everything that is known: the
    /// leader could not use what this one named by slot.
    pub report_all: bool,
    /// The configuration lease, in milliseconds from when the request was sent.
    pub lease_ms: u64,
    /// The revision in force at the leader.
    pub revision: u64,
    /// The intent, if the entry VM's revision is older.
    pub intent: Option<Box<intent::Intent>>,
    /// The version of the table after this answer.
    pub table: u64,
    /// Whether the answer holds the whole table and replaces what is known of it.
    pub whole: bool,
    /// Backend servers that are new or changed since the version in the request.
    pub backends: Vec<Listed>,
    /// Slots of backend servers removed since that version. Slots are not reused.
    pub removed: Vec<u32>,
    /// Renewals of other backend servers since that version.
    pub renewals: renewal::Renewals,
    /// Other entry VMs, if they changed since that version.
    pub peers: Option<Vec<Peer>>,
    /// Online requests in flight by slot, over the other entry VMs, without zeros.
    pub online: renewal::Counts,
    /// Owner entry VM of each backend server's batch work, if any changed since
    /// that version.
    pub owners: Option<collections::BTreeMap<name::Name, name::Name>>,
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
