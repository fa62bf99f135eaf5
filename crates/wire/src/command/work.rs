//! Commands of the state machines of work groups, about files, jobs, idempotency
//! claims, attempts and suspects.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{fingerprint, name};

/// Largest number of items in a chunk.
pub const CHUNK_ITEMS: usize = 256;
/// Largest size of a chunk, in bytes of text.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// A line of an input file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The line number in the file, from 1.
    pub number: u32,
    /// The caller's id for the item; absent if the line could not be read.
    pub custom_id: Option<String>,
    /// The line's content.
    pub content: Content,
}

/// The content of an input line.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// A valid request.
    Request {
        /// The path that it calls.
        url: String,
        /// The model or adapter that the body names, as the caller wrote it.
        model: name::Name,
        /// The body as JSON text.
        body: String,
    },
    /// The line is invalid and becomes a failed item.
    Bad {
        /// The stable, machine-readable code.
        code: String,
        /// The human-readable message.
        message: String,
    },
}

/// The outcome of one item.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The item's line number.
    pub number: u32,
    /// The answer or the failure.
    pub result: Result,
}

/// The result of an item.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Result {
    /// An answer from a backend server.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body as JSON text.
        body: String,
    },
    /// The item failed and is not tried again.
    Failed {
        /// The stable, machine-readable code.
        code: String,
        /// The human-readable message.
        message: String,
    },
}

/// Identifies a leased chunk.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// The job's id.
    pub job: name::Name,
    /// The chunk's number in the job, from 0.
    pub chunk: u32,
    /// The fencing token of the lease.
    pub fence: u64,
}

/// A leased chunk with its open items, which have no outcome yet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The chunk and its fencing token.
    pub chunk: ChunkRef,
    /// The team that owns the job.
    pub team: name::Name,
    /// When the job is due, Unix time in milliseconds.
    pub due_ms: u64,
    /// The open items.
    pub lines: Vec<Line>,
}

/// The outcome of a request that is not repeatable.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// It ran and this is the answer.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body, as text or base64 when `binary`.
        body: String,
        /// Whether the body is base64.
        binary: bool,
    },
    /// It provably did not run; a new attempt is allowed.
    NotRun,
    /// Whether it ran is unknown and stays so.
    Unknown,
}

/// A command to the state machine of a work group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Stores a chunk of a file. A retry has no effect.
    FileChunk {
        /// The file's id.
        file: name::Name,
        /// The chunk's number, from 0.
        chunk: u32,
        /// Its lines.
        lines: Vec<Line>,
    },
    /// Completes a file.
    FileSeal {
        /// The file's id.
        file: name::Name,
        /// The team that makes the call and owns the object.
        team: name::Name,
        /// The caller's file name.
        filename: String,
        /// The purpose that the caller gave, for example `batch`.
        purpose: String,
        /// Size as uploaded, in bytes.
        bytes: u64,
        /// The number of chunks.
        chunks: u32,
    },
    /// Deletes a file that no open job uses.
    FileDelete {
        /// The file's id.
        file: name::Name,
        /// The team that makes the call and owns the object.
        team: name::Name,
    },
    /// Binds an idempotency key to a request body and a value.
    Claim {
        /// The team that makes the call.
        team: name::Name,
        /// The idempotency key, unique within the team.
        key: name::Name,
        /// The fingerprint of the body.
        body: fingerprint::Fingerprint,
        /// The value, for example a job id.
        value: name::Name,
    },
    /// Creates a job. A retry returns the job.
    JobCreate {
        /// The job's id.
        job: name::Name,
        /// The team that makes the call and owns the object.
        team: name::Name,
        /// The id of the input file, which is in the same group.
        file: name::Name,
        /// The path that the items call.
        endpoint: String,
        /// The completion window, in milliseconds.
        window_ms: u64,
        /// The caller's metadata.
        metadata: collections::BTreeMap<String, String>,
    },
    /// Cancels a job.
    JobCancel {
        /// The job's id.
        job: name::Name,
        /// The team that makes the call and owns the object.
        team: name::Name,
    },
    /// Leases chunks with open items to an entry VM.
    Take {
        /// The entry VM and its incarnation, for example `entry-1/17`.
        holder: name::Name,
        /// Maximum number of chunks to lease.
        want: u32,
        /// The duration of the leases, in milliseconds.
        lease_ms: u64,
        /// Only chunks with an open item that names one of these are leased.
        /// An empty list means any chunk.
        models: Vec<name::Name>,
    },
    /// Extends the leases that are still held.
    Renew {
        /// The entry VM and its incarnation.
        holder: name::Name,
        /// The leases.
        chunks: Vec<ChunkRef>,
        /// The duration of the leases, in milliseconds.
        lease_ms: u64,
    },
    /// Gives up leases, so that other entry VMs can lease the chunks at once.
    Release {
        /// The entry VM and its incarnation.
        holder: name::Name,
        /// The leases.
        chunks: Vec<ChunkRef>,
    },
    /// Records outcomes of items.
    Record {
        /// The lease.
        chunk: ChunkRef,
        /// The outcomes.
        outcomes: Vec<Outcome>,
    },
    /// Records that a request that is not repeatable is about to be sent.
    AttemptBegin {
        /// The team that makes the call.
        team: name::Name,
        /// The idempotency key, unique within the team.
        key: name::Name,
        /// The fingerprint of method, path and body.
        body: fingerprint::Fingerprint,
        /// The entry VM, its incarnation and the request. The same holder gets
        /// the same attempt again, so that the command can be retried.
        holder: name::Name,
        /// After how many milliseconds without an outcome the attempt counts as unknown.
        timeout_ms: u64,
        /// Whether the holder of an earlier attempt is known to have stopped.
        holder_gone: bool,
    },
    /// Records the outcome of an attempt.
    AttemptEnd {
        /// The team that makes the call.
        team: name::Name,
        /// The idempotency key, unique within the team.
        key: name::Name,
        /// The attempt's number.
        attempt: u64,
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// Records that a backend server crashed while it ran a request.
    Strike {
        /// The fingerprint of the request.
        fingerprint: fingerprint::Fingerprint,
        /// The backend server and its incarnation, so that a crash counts once.
        backend: name::Name,
        /// Whether the request ran isolated.
        isolated: bool,
    },
    /// Records that a suspect finished without a crash.
    Clear {
        /// The fingerprint of the request.
        fingerprint: fingerprint::Fingerprint,
    },
    /// Removes everything that has expired. Proposed by the leader.
    Expire,
    /// Replaces the tuning. Proposed by the leader when its settings or the declared
    /// weights differ from it, so that all replicas decide alike.
    Tune {
        /// The new tuning.
        tuning: Box<Tuning>,
    },
}

/// Parameters of the state machines of work groups that come from the settings and
/// from the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// How long objects are kept, and how much is stored.
    pub retention: Retention,
    /// How long before its due time a job takes precedence over fair sharing, in
    /// milliseconds. Limited to a quarter of the job's completion window.
    pub urgent_ms: u64,
    /// Batch weights of the teams that have their own.
    pub weights: collections::BTreeMap<name::Name, u32>,
    /// Batch weight of all other teams.
    pub default_weight: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            retention: Retention::default(),
            urgent_ms: HOUR_MS,
            weights: collections::BTreeMap::new(),
            default_weight: 1,
        }
    }
}

/// How long a work group keeps objects, in milliseconds, and how much it stores.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// Retention of an unsealed file, from its last chunk.
    pub unsealed_ms: u64,
    /// Retention of a sealed file, from its last use by a job that ended.
    pub file_ms: u64,
    /// Retention of a job with its results, from its end.
    pub job_ms: u64,
    /// Retention of an idempotency claim, from the call that bound the key.
    pub claim_ms: u64,
    /// Retention of an attempt, from its outcome or its deadline.
    pub attempt_ms: u64,
    /// Retention of a suspect, from its last strike.
    pub suspect_ms: u64,
    /// Maximum bytes of input lines, results, claims and attempts; new files, claims and
    /// attempts are refused above it. Nearly all of these bytes are payloads on disk,
    /// where gaps left by removed payloads can take as much space again.
    pub max_bytes: u64,
    /// Maximum bytes of claims and attempts, which are held in memory and in snapshots;
    /// new ones are refused above it.
    pub max_state_bytes: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Retention {
            unsealed_ms: HOUR_MS,
            file_ms: 30 * DAY_MS,
            job_ms: 30 * DAY_MS,
            // At least as long as a job is kept, so that a retried call finds the first job.
            claim_ms: 31 * DAY_MS,
            attempt_ms: 7 * DAY_MS,
            suspect_ms: 6 * HOUR_MS,
            // About 25 million items of 663 bytes in each group; four groups and
            // their gaps stay below 128 GiB of disk.
            max_bytes: 16 * 1024 * 1024 * 1024,
            // Encoding a snapshot blocks the control thread: with nearly 600 MB of state,
            // the slowest percent of commands took 0.9 s in batch_bench.
            max_state_bytes: 512 * 1024 * 1024,
        }
    }
}

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// A suspected request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Number of backend server crashes while it ran.
    pub strikes: u32,
    /// Number of those crashes while it ran isolated.
    pub isolated: u32,
    /// Unix time in milliseconds until which it stays listed.
    pub until_ms: u64,
}

/// Why the outcomes of a [`Command::Record`] were not recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordRefusal {
    /// The lease's fencing token is not the current one.
    Fenced,
    /// The job was cancelled.
    Cancelled,
    /// The job does not exist.
    Unknown,
    /// The job's completion window passed.
    Expired,
}

/// A reply of the state machine of a work group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The command was applied.
    Ok,
    /// The object does not exist, or belongs to another team.
    NotFound,
    /// The request is not valid in this state.
    Invalid {
        /// The human-readable message.
        message: String,
    },
    /// The key is bound to this value.
    Claimed {
        /// The value of the call that bound the key.
        value: name::Name,
        /// Whether this call bound it.
        fresh: bool,
    },
    /// The group's storage is full; nothing was stored.
    Full,
    /// The key is bound to another body.
    KeyConflict,
    /// The job in its current state.
    Job(Box<crate::query::Job>),
    /// Leased chunks.
    Taken {
        /// The leases.
        leases: Vec<Lease>,
    },
    /// The leases that are no longer held.
    Renewed {
        /// Lost leases: taken over, done, cancelled or expired.
        lost: Vec<ChunkRef>,
    },
    /// The outcomes are recorded.
    Recorded {
        /// Items whose outcome was stored by this command.
        stored: u32,
        /// Items that already had an outcome.
        duplicate: u32,
        /// Whether the job is now complete.
        job_done: bool,
    },
    /// The outcomes were not recorded.
    RecordRefused(RecordRefusal),
    /// The request may be sent under this attempt number.
    Begin {
        /// The attempt's number.
        attempt: u64,
    },
    /// Another attempt is still running.
    InProgress {
        /// The holder of that attempt.
        holder: name::Name,
    },
    /// The outcome is already recorded.
    Known {
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// A suspect in its current state.
    Suspect(Suspect),
}
