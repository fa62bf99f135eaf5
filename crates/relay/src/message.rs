//! Messages between the processes of a relay and their encoding.

use std::sync::Arc;

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

use crate::{ledger, registry, suspect, suspect::trial};

/// Largest frame, in bytes. It is several times the size of the largest job.
pub const FRAME_BYTES_MAX: usize = 64 << 20;

/// Load of one backend server, summed over all entry VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The number that the leader gave the backend server.
    pub number: u32,
    /// Online requests in flight.
    pub online: u32,
    /// Batch items that run there.
    pub batch: u32,
    /// Whether it is ejected: it failed its requests and gets no new ones for a while.
    pub ejected: bool,
}

/// A snapshot of the loads of all backend servers, or those that changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Whether this is a snapshot, which replaces all that the receiver knew.
    pub is_snapshot: bool,
    /// Ids of newly numbered backend servers. They continue the numbers of the messages
    /// before, or begin at 0 in a snapshot.
    pub names: Vec<Name>,
    /// The loads of all backend servers in a snapshot, otherwise those that changed.
    pub loads: Vec<Load>,
}

/// Requests of one entry VM at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The number that the leader gave the backend server.
    pub number: u32,
    /// Online requests in flight.
    pub online: u32,
    /// Requests that succeeded since the last report.
    pub succeeded: u32,
    /// Requests that failed since the last report.
    pub failed: u32,
}

/// Changes that the leader sends to entry VMs and to the other control replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, if it changed.
    pub published: Option<Arc<ledger::Published>>,
    /// Announcements of backend servers that changed.
    pub backends: Vec<registry::Announcement>,
    /// Loads of backend servers, if they changed.
    pub loads: Option<Loads>,
    /// Evidence against requests that may crash backend servers, where it changed.
    pub suspects: Vec<suspect::Report>,
}

/// A call to the leader.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A backend server announces itself.
    Announce(registry::Announcement),
    /// A backend server shuts down.
    Leave {
        /// The id under which it announced itself.
        id: Name,
        /// When it started, in Unix milliseconds; 0 if unknown.
        started_ms: u64,
    },
    /// An operator publishes a configuration.
    Publish(Box<ledger::Published>),
    /// An operator reads the configuration in force.
    ReadConfig,
    /// A caller submits a job.
    Submit(Box<ledger::NewJob>),
    /// A caller reads the results of a job.
    Results {
        /// The id of the job.
        job: Name,
        /// The number of results to skip.
        after: u32,
        /// How long the answer may wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// A caller reads the request body of an item.
    Body {
        /// The id of the job.
        job: Name,
        /// The id of the item.
        item: Name,
    },
    /// A caller ends a job.
    End {
        /// The id of the job.
        job: Name,
    },
    /// An operator orders the evacuation of a VM.
    Evacuate {
        /// The name of the VM.
        node: Name,
    },
    /// An operator asks whether the evacuation of a VM is complete.
    Evacuated {
        /// The name of the VM.
        node: Name,
    },
    /// A control replica asks to become a member of the group.
    Join {
        /// The name of its VM.
        node: Name,
        /// The replica id under which it asks to join.
        replica: u64,
        /// The IP address and port at which the other processes reach it.
        address: Name,
        /// The failure domain of its VM.
        failure_domain: Name,
    },
    /// An entry VM asks for the version of the newest configuration.
    Version,
    /// An entry VM asks whether it may run a refused request as a trial.
    Trial {
        /// The content of the request, or a part of its prompt.
        fingerprint: suspect::Fingerprint,
        /// Whether it is a part.
        is_part: bool,
        /// Identifies the trial; chosen at random by the entry VM.
        ticket: u64,
    },
    /// A control replica that stops asks to hand its vote over to a spare replica.
    Resign {
        /// The name of its VM.
        node: Name,
    },
}

/// The reply to a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The request took effect. The effect is durable where the sender relies on it.
    Done,
    /// The announcement is older than the one that is known.
    Stale,
    /// The document of the configuration in force; `None` before the first one.
    Document(Option<Vec<u8>>),
    /// A page of results; `None` for an unknown job.
    Page(Option<ledger::Page>),
    /// The body of an item; `None` if the item is unknown, is listed or its job has
    /// ended.
    Body(Option<Vec<u8>>),
    /// The job or the VM is unknown.
    Unknown,
    /// The evacuation of the VM is complete.
    Empty,
    /// The evacuation of the VM is under way.
    Emptying,
    /// Nothing was done: too few replicas would remain.
    TooFew,
    /// The replica was removed from the group. It must join again under another id and
    /// without its data.
    Removed,
    /// The replica is a member of the group.
    Member,
    /// The group does not take the replica in now; it may ask again.
    Standby,
    /// Nothing was done: this replica does not lead.
    NotLeader,
    /// Nothing was done: too many requests are waiting.
    Busy,
    /// The job was not accepted: its tokens exceed what may wait on its route.
    Full {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome is unknown.
    Lost,
    /// The version of the newest configuration, 0 before the first.
    Version(u64),
    /// Whether a trial may begin.
    Trial(trial::Verdict),
    /// Nothing was done: the announcement cannot be meant.
    Invalid,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Role {
    /// It forwards requests of callers.
    Entry,
    /// It keeps a replica of the ledger.
    Control,
    /// It works for the leader and stores no data.
    Worker,
}

/// A frame on a connection between two processes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of the process that connects.
    Hello {
        /// The name of its VM.
        node: Name,
        /// What the process does for the others.
        role: Role,
        /// The IP address and port at which the other processes reach it.
        address: Name,
    },
    /// The reply to `Hello`, sent again whenever its content changes.
    Welcome {
        /// The term in which the sender leads; `None` if it does not lead.
        term: Option<u64>,
        /// Internal addresses of control replicas, the leader's first if known.
        replicas: Vec<Name>,
    },
    /// Changes that the leader publishes. An empty update is its heartbeat.
    Update(Update),
    /// The report of an entry VM on the backend servers that it uses.
    Usage(Vec<Usage>),
    /// Evidence against a request that may crash backend servers, from an entry VM.
    Suspect(suspect::Report),
    /// A request to the leader.
    Call {
        /// Correlates the reply with the request; chosen by the sender.
        ticket: u64,
        /// What the leader is asked to do.
        request: Request,
    },
    /// The reply to a `Call`.
    Reply {
        /// The ticket of the `Call`.
        ticket: u64,
        /// The effect of the request, or why it has none.
        reply: Reply,
    },
    /// A message of the consensus protocol.
    Log {
        /// The sender's replica id.
        from: u64,
        /// The sender's internal address. A replica that joins has no list of members
        /// yet and replies to this address.
        address: Name,
        /// The message in the encoding of the consensus library.
        message: Vec<u8>,
    },
    /// Shows that the sender is alive while it has nothing else to send.
    Heartbeat,
    /// What became of a trial, from the entry VM that ran it.
    TrialEnded {
        /// The content of the request.
        fingerprint: suspect::Fingerprint,
        /// The ticket of the trial.
        ticket: u64,
        /// How it ended.
        end: trial::End,
    },
}

/// Encodes a frame, preceded by its length as a big-endian `u32`.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = postcard::to_extend(frame, vec![0; 4]).unwrap_or_default();
    let length = bytes.len().saturating_sub(4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Decodes a frame from the bytes that follow its length.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, postcard::Error> {
    postcard::from_bytes(bytes)
}
