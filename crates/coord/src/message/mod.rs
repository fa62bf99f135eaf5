//! Messages between replicas and the entries they carry.

mod bytes;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{GroupId, member};

pub(crate) use bytes::Bytes;

/// A message between two replicas of a group. Its content is private to the
/// library; the program only carries it.
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

/// Encodes a message.
///
/// # Panics
///
/// Never: encoding into memory has no failing case for these types.
pub fn encode(message: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are encodable")
}

/// Decodes a message.
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

/// Why bytes are not a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodeError {
    /// The bytes do not follow the format.
    Malformed {
        /// The reason given by the decoder.
        reason: postcard::Error,
    },
    /// Bytes follow the message.
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
    pub payload: Payload,
}

impl Entry {
    /// Size in memory and in the log that is accounted for besides the payload, in bytes.
    const OVERHEAD_BYTES: u64 = 48;

    /// Returns the approximate size in bytes.
    pub fn size(&self) -> u64 {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.len() as u64,
            Payload::Members(list) => 64 * list.members.len() as u64,
        };
        Entry::OVERHEAD_BYTES + payload
    }
}

/// What an entry does when it is applied.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// Nothing: the first entry of each leader, which commits earlier terms.
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

/// A request for a vote, or the question whether a vote would be granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub kind: Vote,
    pub last_index: u64,
    pub last_term: u64,
}

/// The kind of a vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Vote {
    /// Asks without raising terms whether an election could be won.
    Pre,
    /// A vote that a replica refuses while it hears from a leader.
    Real,
    /// A vote that the leader itself asked for by a leadership transfer.
    Transfer,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoteReply {
    pub kind: Vote,
    pub granted: bool,
}

/// Identifies a broadcast of the leader; replies carry it back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Broadcast {
    /// Counts the broadcasts of the leader.
    pub round: u64,
    /// The leader's clock at sending.
    pub sent_ms: u64,
}

/// Appends entries after a known one. Without entries it is a heartbeat.
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
    /// The replica holds the leader's log up to the index, durably.
    Accepted { match_index: u64 },
    /// The entry before the first one is missing or differs.
    Rejected {
        prev_index: u64,
        /// The last index that may match.
        hint_index: u64,
    },
}

/// Describes a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct SnapshotMeta {
    /// The index of the last entry that the snapshot covers.
    pub index: u64,
    pub term: u64,
    pub members: member::List,
    /// The size of the state machine's data and the list of payloads in bytes.
    pub size: u64,
    /// The checksum of the state machine's data and the list of payloads.
    pub crc: u32,
    /// The size of the state machine's data, which the list follows.
    pub state_size: u64,
    /// The size of the listed payloads in bytes.
    pub payload_bytes: u64,
}

impl SnapshotMeta {
    /// Returns the bytes that are sent to another replica: state, list and the
    /// contents of the payloads in the order of the list.
    pub fn stream_size(&self) -> u64 {
        self.size + self.payload_bytes
    }
}

/// A piece of a snapshot.
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
    /// The index of the snapshot that the reply is about.
    pub index: u64,
    pub progress: ChunkProgress,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum ChunkProgress {
    /// The next missing byte.
    Next { offset: u64 },
    /// The replica's log is committed up to the index; it needs no snapshot.
    Installed { index: u64 },
}
