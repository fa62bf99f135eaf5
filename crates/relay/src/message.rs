//! Messages between the processes of a relay.

use std::sync::Arc;

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

use crate::{ledger, registry, suspect};

/// Largest frame in bytes; a job of the largest size fits several times.
pub const FRAME_BYTES_MAX: usize = 64 << 20;

/// Load of one backend server, summed over all entry VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The leader's number of the backend server.
    pub number: u32,
    /// Online requests in flight.
    pub online: u32,
    /// Batch items running.
    pub batch: u32,
    /// Whether it is ejected: it failed its requests and gets no new ones for a while.
    pub ejected: bool,
}

/// Loads that changed, or all of them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Whether this is a snapshot of all loads rather than a change; the receiver then
    /// discards what it knew.
    pub is_snapshot: bool,
    /// Ids of backend servers that are numbered next.
    pub names: Vec<Name>,
    /// The loads.
    pub loads: Vec<Load>,
}

/// What one entry VM has to say of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The leader's number of the backend server.
    pub number: u32,
    /// Online requests in flight.
    pub online: u32,
    /// Answers since the last report.
    pub succeeded: u32,
    /// Failures since the last report.
    pub failed: u32,
}

/// News that the leader sends to entry VMs and to the other control replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, if it changed.
    pub published: Option<Arc<ledger::Published>>,
    /// Announcements that changed.
    pub backends: Vec<registry::Announcement>,
    /// Loads of backend servers, if they changed.
    pub loads: Option<Loads>,
    /// Requests that may crash backend servers, as far as they changed.
    pub suspects: Vec<suspect::Strike>,
}

/// A call to the leader.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A backend server announces itself.
    Announce(registry::Announcement),
    /// A backend server goes.
    Leave {
        /// Its id.
        id: Name,
        /// When it started; 0 if unknown.
        started_ms: u64,
    },
    /// An operator publishes a configuration.
    Publish(Box<ledger::Published>),
    /// An operator reads the configuration in force.
    ReadConfig,
    /// A caller submits a job.
    Submit(Box<ledger::NewJob>),
    /// A caller reads results.
    Results {
        /// The job.
        job: Name,
        /// The first position.
        after: u32,
        /// How long the answer may wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// A caller reads the body of an item.
    Body {
        /// The job.
        job: Name,
        /// The item.
        item: Name,
    },
    /// A caller ends a job.
    End {
        /// The job.
        job: Name,
    },
    /// An operator wants a VM to be emptied.
    Evacuate {
        /// The VM.
        node: Name,
    },
    /// An operator asks whether a VM is empty.
    Evacuated {
        /// The VM.
        node: Name,
    },
    /// A control replica wants to be a member.
    Join {
        /// The name of its VM.
        node: Name,
        /// Its replica id.
        replica: u64,
        /// Its internal address.
        address: Name,
        /// Its failure domain.
        failure_domain: Name,
    },
    /// An entry VM asks for the version of the newest configuration.
    Version,
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It is done, durably where that matters.
    Done,
    /// The announcement was older than what is known.
    Stale,
    /// The document in force.
    Document(Option<Vec<u8>>),
    /// A page of results; `None` for an unknown job.
    Page(Option<ledger::Page>),
    /// The body of an item, if there is one.
    Body(Option<Vec<u8>>),
    /// The job or the VM is unknown.
    Unknown,
    /// The VM is empty.
    Empty,
    /// The VM is being emptied.
    Emptying,
    /// Nothing was done: too few replicas would be left.
    TooFew,
    /// The replica was removed from the members and must start anew under
    /// another id.
    Removed,
    /// The replica is a member.
    Member,
    /// There is no place for the replica yet.
    Standby,
    /// Nothing was done: there is no leader here.
    NotLeader,
    /// Nothing was done: too much is waiting.
    Busy,
    /// The job was not accepted: its route has no room for it.
    Full {
        /// When the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome is unknown.
    Lost,
    /// The version of the newest configuration, 0 before the first.
    Version(u64),
}

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Role {
    /// It forwards callers' requests.
    Entry,
    /// It keeps a replica of the ledger.
    Control,
    /// It works for the leader and keeps no data.
    Worker,
}

/// A frame on a connection between two processes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of another process.
    Hello {
        /// The name of its VM.
        node: Name,
        /// What it does.
        role: Role,
        /// Its internal address.
        address: Name,
    },
    /// The answer to `Hello`, sent again whenever it changes.
    Welcome {
        /// The term in which the sender leads, if it does.
        term: Option<u64>,
        /// Internal addresses of control replicas, the leader's first if known.
        replicas: Vec<Name>,
    },
    /// News of the leader. An empty update shows that the leader is alive.
    Update(Update),
    /// Requests in flight and results of one entry VM at the backend servers that it
    /// uses.
    Usage(Vec<Usage>),
    /// News of an entry VM about a request that may crash backend servers.
    Strike(suspect::Strike),
    /// A call.
    Call {
        /// Names the call in the answer.
        ticket: u64,
        /// The call.
        request: Request,
    },
    /// An answer.
    Reply {
        /// Names the call.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// A message of the replicated log.
    Log {
        /// The sender's replica id.
        from: u64,
        /// The sender's internal address: a replica that joins has no list of
        /// members yet and answers there.
        address: Name,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Shows that the sender is alive while it has nothing else to send.
    Heartbeat,
}

/// Encodes a frame with its length in front.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = postcard::to_extend(frame, vec![0; 4]).unwrap_or_default();
    let length = bytes.len().saturating_sub(4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Decodes a frame without its length.
///
/// # Errors
///
/// Fails if the bytes are no frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, postcard::Error> {
    postcard::from_bytes(bytes)
}
