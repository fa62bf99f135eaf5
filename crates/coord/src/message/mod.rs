//! Messages between replicas and the log entries that they carry.

mod bytes;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{GroupId, member};

pub(crate) use bytes::Bytes;

/// A message between two replicas of a group. Its content is private to the
/// library; the program only transports it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub(crate) group: GroupId,
    pub(crate) term: u64,
    pub(crate) body: Body,
}

impl Envelope {
    /// Returns the group that the message belongs to.
    pub fn group(&self) -> GroupId {
        self.group
    }
}

/// Encodes a message for the network.
///
/// # Panics
///
/// Never panics: encoding these types into memory cannot fail.
pub fn encode(message: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are encodable")
}

/// Decodes a message that [`encode`] returned.
///
/// # Errors
///
/// Fails if the bytes do not hold exactly one message.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(DecodeError::TrailingBytes { count: rest.len() }),
        Err(error) => Err(DecodeError::Malformed { reason: error }),
    }
}

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodeError {
    /// The bytes do not have the format of a message.
    Malformed {
        /// The error of the decoder.
        reason: postcard::Error,
    },
    /// A valid message is followed by more bytes.
    TrailingBytes {
        /// The number of bytes after the message.
        count: usize,
    },
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed { reason } => write!(formatter, "malformed message: {reason}"),
            DecodeError::TrailingBytes { count } => {
                write!(formatter, "{count} bytes follow the message")
            }
        }
    }
}

impl std::error::Error for DecodeError {}

/// An entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub index: u64,
    pub term: u64,
    pub operation: Operation,
}

impl Entry {
    /// Size in memory and in the log that is counted in addition to the operation, in
    /// bytes.
    const OVERHEAD_BYTES: u64 = 48;

    /// Returns the approximate size in bytes.
    pub fn size(&self) -> u64 {
        let size = match &self.operation {
            Operation::Empty => 0,
            Operation::Command(command) => command.len() as u64,
            Operation::Members(list) => 64 * list.members.len() as u64,
        };
        Entry::OVERHEAD_BYTES + size
    }
}

/// The operation of an entry, performed when the entry is applied. A list of members
/// already takes effect when it is appended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Operation {
    /// Nothing. The first entry of each leader, whose commit also commits the entries
    /// of earlier terms.
    Empty,
    /// A command of the state machine.
    Command(Bytes),
    /// A new list of members.
    Members(member::List),
}

/// The content of a message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    VoteRequest(VoteRequest),
    VoteReply(VoteReply),
    Append(Append),
    AppendReply(AppendReply),
    Snapshot(Chunk),
    SnapshotReply(ChunkReply),
    /// Asks the receiver to campaign immediately: a leadership transfer.
    TimeoutNow,
}

/// A request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub kind: Vote,
    pub last_index: u64,
    pub last_term: u64,
}

/// The kind of a vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Vote {
    /// A pre-vote: asks whether an election could be won, without increasing the term.
    Pre,
    /// A vote that a replica refuses while a leader may hold a lease.
    Real,
    /// A vote in a leadership transfer, which is granted despite the leader's lease.
    Transfer,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoteReply {
    pub kind: Vote,
    pub granted: bool,
}

/// Identifies a broadcast of the leader. Replies echo it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Broadcast {
    /// The number of broadcasts of the leader in its term.
    pub round: u64,
    /// The time on the leader's clock when it was sent.
    pub sent_ms: u64,
}

/// Appends entries after a previous one. Without entries it is a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Append {
    pub prev_index: u64,
    pub prev_term: u64,
    pub commit: u64,
    pub broadcast: Broadcast,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct AppendReply {
    pub broadcast: Broadcast,
    pub outcome: AppendOutcome,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum AppendOutcome {
    /// The replica durably holds the leader's log up to the index.
    Accepted { match_index: u64 },
    /// The previous entry is missing or has another term.
    Rejected {
        prev_index: u64,
        /// The last index at which the logs may match.
        hint_index: u64,
    },
}

/// What a snapshot covers, and the sizes and the checksum of its data.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct SnapshotMeta {
    /// The index of the last entry that the snapshot covers.
    pub index: u64,
    pub term: u64,
    pub members: member::List,
    /// The size of the state and the list of payloads in bytes.
    pub size: u64,
    /// The CRC-32 of the state and the list of payloads.
    pub crc: u32,
    /// The size of the state in bytes. The list of payloads follows it.
    pub state_size: u64,
    /// The total size of the listed payloads in bytes.
    pub payload_bytes: u64,
}

impl SnapshotMeta {
    /// Returns the number of bytes that are sent to another replica: the state, the
    /// list and the contents of the payloads in the order of the list.
    pub fn stream_size(&self) -> u64 {
        self.size + self.payload_bytes
    }
}

/// A chunk of a snapshot and its payloads.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Chunk {
    pub meta: SnapshotMeta,
    pub broadcast: Broadcast,
    pub offset: u64,
    pub data: Bytes,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChunkReply {
    pub broadcast: Broadcast,
    /// The index of the snapshot that the chunk belongs to.
    pub index: u64,
    pub progress: ChunkProgress,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum ChunkProgress {
    /// The replica needs the stream from an offset on.
    Next { offset: u64 },
    /// The replica needs no snapshot: its log is committed up to the index.
    Installed { index: u64 },
}
