//! Methods of the JSON-RPC interfaces between the system's processes.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};

use crate::{command, member, name, query};

/// Carries consensus messages between control replicas, as base64 text.
pub const RAFT: &str = "raft";
/// Proposes a command.
pub const PROPOSE: &str = "propose";
/// Runs a linearizable query.
pub const QUERY: &str = "query";
/// Exchanges an entry VM's report for the configuration and the table of backend
/// servers (see [`crate::sync`]).
pub const SYNC: &str = "sync";
/// Returns the state of a control replica.
pub const STATUS: &str = "status";
/// Changes the members of all groups.
pub const MEMBERS: &str = "members";
/// Returns which entry VMs do not serve a revision yet.
pub const IN_FORCE: &str = "in_force";
/// Reads a part of a group's backup.
pub const BACKUP: &str = "backup";
/// Carries a message between entry VMs.
pub const PEER: &str = "peer";

/// Error code: this replica does not lead the group; the data holds a [`Redirect`].
pub const NOT_LEADER: i32 = -32_001;
/// Error code: the outcome is unknown; the command may have been applied.
pub const OUTCOME_UNKNOWN: i32 = -32_002;
/// Error code: too much work is waiting; the command was not applied.
pub const BUSY: i32 = -32_003;
/// Error code: the credentials are missing or wrong.
pub const UNAUTHORIZED: i32 = -32_004;

/// Parameters of [`PROPOSE`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// The number of the group; 0 is the configuration.
    pub group: u32,
    /// The command.
    pub command: command::Command,
}

/// Parameters of [`QUERY`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The number of the group; 0 is the configuration.
    pub group: u32,
    /// The query.
    pub query: query::Query,
}

/// Data of a [`NOT_LEADER`] error.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// `IP:port` of the leader's control port, if known.
    pub leader: Option<name::Name>,
}

/// The answer of [`IN_FORCE`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// The current revision.
    pub revision: u64,
    /// Whether every entry VM serves the requested revision or holds no lease.
    pub everywhere: bool,
    /// Entry VMs that hold a lease and have not reported the revision yet.
    pub waiting_for: Vec<name::Name>,
}

/// Parameters of [`BACKUP`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Backup {
    /// The number of the group; 0 is the configuration.
    pub group: u32,
    /// [`Piece::index`] of the pieces read so far; none begins a backup of the current
    /// state.
    pub index: Option<u64>,
    /// Bytes read so far.
    pub offset: u64,
}

/// The answer of [`BACKUP`]: a part of a backup.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The last log index that the backup covers.
    pub index: u64,
    /// The size of the whole backup in bytes.
    pub size: u64,
    /// The bytes from the offset, as base64 text.
    data: String,
}

impl Piece {
    /// Creates a piece that holds bytes.
    pub fn new(index: u64, size: u64, data: &[u8]) -> Piece {
        Piece {
            index,
            size,
            data: STANDARD.encode(data),
        }
    }

    /// Returns the bytes, or `None` if the text is malformed.
    pub fn decode(&self) -> Option<Vec<u8>> {
        STANDARD.decode(&self.data).ok()
    }
}

/// The answer of [`STATUS`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The replica's name.
    pub replica: name::Name,
    /// The groups that it takes part in.
    pub groups: Vec<GroupStatus>,
    /// Entry VMs with a lease, on the leader of group 0.
    pub entries: Vec<EntryStatus>,
    /// Backend servers, on the leader of group 0.
    pub backends: Vec<crate::backend::Announcement>,
}

/// The state of one group at a replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The number of the group; 0 is the configuration.
    pub group: u32,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// The current Raft term.
    pub term: u64,
    /// The last committed log index.
    pub commit: u64,
    /// The last applied log index.
    pub applied: u64,
    /// The replica id of the leader, if known.
    pub leader: Option<u64>,
    /// The members.
    pub members: Vec<member::Member>,
    /// The ids of members that the leader has not heard for 3 s; empty on other replicas.
    #[serde(default)]
    pub silent: Vec<u64>,
}

/// The state of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// The revision it last reported.
    pub revision: u64,
    /// Milliseconds since its last `sync`.
    pub age_ms: u64,
}
