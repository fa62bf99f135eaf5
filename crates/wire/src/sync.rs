//! Messages of the periodic `sync` call, in which an entry VM reports to the control
//! leader and gets the configuration and the table of backend servers.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{backend, command, intent, name, renewal};

/// Duration of the configuration lease, in milliseconds: how long an entry VM may
/// admit new work after it sent a `sync` request that was answered.
pub const CONFIG_LEASE_MS: u64 = 4_000;
/// Interval between `sync` calls with up to [`SHORT_INTERVAL_MAX_ENTRIES`] entry VMs,
/// in milliseconds.
pub const SHORT_INTERVAL_MS: u64 = 500;
/// Interval between `sync` calls with more entry VMs, in milliseconds. If a call gets
/// no answer within its timeout of 2 s, a quarter of the configuration lease is left
/// for the next one.
pub const LONG_INTERVAL_MS: u64 = 1_000;
/// Largest number of entry VMs for which the short interval applies. With the long
/// one, 370 entry VMs stay below 10 KB/s each.
pub const SHORT_INTERVAL_MAX_ENTRIES: usize = 64;
/// Minimum age, in milliseconds, that the leader assigns to an announcement whose
/// time is not known, so that it does not prove that its backend server is not
/// leaving.
pub const UNKNOWN_TIME_MIN_AGE_MS: u64 = backend::PROOF_MAX_AGE_MS;

/// The report of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The entry VM's name.
    pub entry: name::Name,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// The entry VM's failure domain.
    pub failure_domain: name::Name,
    /// `IP:port` at which it takes the messages of other entry VMs.
    pub peer_address: name::Name,
    /// The configuration revision that it serves; 0 when it has none.
    pub revision: u64,
    /// The term of the leader that answered last. A leader of another term asks for a
    /// full report.
    pub leader_term: u64,
    /// The version of the table of backend servers after the last answer that was
    /// applied; 0 asks for the whole table.
    pub table: u64,
    /// [`Response::clock_ms`] of the response whose arrival is the origin of the times
    /// in this request; absent before the first response of `leader_term`.
    pub clock_ms: Option<u64>,
    /// Announcements received directly since the last report whose backend servers are
    /// not in version `table` of the table, or differ from it in more than load. After
    /// a leader change, all that are known.
    pub heard: Vec<Dated>,
    /// Announcements of the other backend servers, received directly since the last
    /// report, by slot.
    pub renewals: renewal::Reports,
    /// Online requests in flight by slot, without zeros.
    pub online: renewal::Counts,
    /// Online requests in flight on backend servers that are not in version `table` of
    /// the table, without zeros.
    pub online_unlisted: collections::BTreeMap<name::Name, u32>,
    /// Whether it is shutting down and must not become the owner of a backend server's
    /// batch work.
    pub draining: bool,
}

/// An announcement and when it was received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dated {
    /// The announcement.
    pub announcement: backend::Announcement,
    /// When it was received, in milliseconds after the arrival of the response that
    /// carried [`Request::clock_ms`]; without one, after this request was sent.
    /// Negative if it was received earlier.
    pub at_ms: i64,
}

/// An announcement and how long ago it was received.
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
    /// Its number in the table, which compact renewals and counts use instead of its id.
    pub slot: u32,
    /// The sequence number to which those of [`renewal::Renewal`] are relative.
    pub base: u64,
    /// The announcement, and the age of the last one that renewed it.
    pub heard: Heard,
}

/// The answer of the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The leader's term.
    pub leader_term: u64,
    /// The leader's monotonic clock when this answer was created. The next request
    /// returns it.
    pub clock_ms: u64,
    /// How long after this request was sent the next one is due unless something
    /// changes, in milliseconds.
    pub interval_ms: u64,
    /// Whether the next request must report everything that is known, because the leader
    /// could not resolve the slots in this one.
    pub report_all: bool,
    /// The configuration lease, in milliseconds from when the request was sent.
    pub lease_ms: u64,
    /// The revision in force at the leader.
    pub revision: u64,
    /// The intent, if the entry VM's revision is older.
    pub intent: Option<Box<intent::Intent>>,
    /// The version of the table after this answer.
    pub table: u64,
    /// Whether the answer holds the whole table and replaces the entry VM's copy.
    pub whole: bool,
    /// Backend servers that are new or changed since the version in the request.
    pub backends: Vec<Listed>,
    /// Slots of backend servers removed since that version. Slots are not reused.
    pub removed: Vec<u32>,
    /// Renewals of the other backend servers since that version.
    pub renewals: renewal::Renewals,
    /// Other entry VMs, if they changed since that version.
    pub peers: Option<Vec<Peer>>,
    /// Online requests in flight by slot, summed over the other entry VMs, without
    /// zeros.
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
    /// `IP:port` at which it takes the messages of other entry VMs.
    pub address: name::Name,
}
