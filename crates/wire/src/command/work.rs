//! Commands of the work machines: files, jobs, claims, attempts, suspects.

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
    /// The request body as JSON text, and the path it calls.
    Request {
        /// The path.
        url: String,
        /// The body.
        body: String,
    },
    /// The line is bad and becomes a failed item.
    Bad {
        /// The stable code.
        code: String,
        /// The text for people.
        message: String,
    },
}

/// The outcome of one item.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The item's line number.
    pub number: u32,
    /// What came of it.
    pub result: Result,
}

/// What came of an item.
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
    /// The item was given up on.
    Failed {
        /// The stable code.
        code: String,
        /// The text for people.
        message: String,
    },
}

/// Names a leased chunk.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// The job.
    pub job: name::Name,
    /// The chunk's number in the job, from 0.
    pub chunk: u32,
    /// The fencing number of the lease.
    pub fence: u64,
}

/// A leased chunk with the items that are still open.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The chunk and its fencing number.
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
        /// The content type.
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

/// A command to a work machine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Stores a chunk of a file. Repeating it has no effect.
    FileChunk {
        /// The file.
        file: name::Name,
        /// The chunk's number, from 0.
        chunk: u32,
        /// Its lines.
        lines: Vec<Line>,
    },
    /// Completes a file.
    FileSeal {
        /// The file.
        file: name::Name,
        /// The owner.
        team: name::Name,
        /// The caller's file name.
        filename: String,
        /// The purpose.
        purpose: String,
        /// Size as uploaded, in bytes.
        bytes: u64,
        /// The number of chunks.
        chunks: u32,
    },
    /// Deletes a file that no open job uses.
    FileDelete {
        /// The file.
        file: name::Name,
        /// The owner.
        team: name::Name,
    },
    /// Binds an idempotency key to a body and a value.
    Claim {
        /// The team.
        team: name::Name,
        /// The idempotency key.
        key: name::Name,
        /// The fingerprint of the body.
        body: fingerprint::Fingerprint,
        /// The value, for example a job id.
        value: name::Name,
    },
    /// Creates a job. Repeating it returns the job.
    JobCreate {
        /// The job.
        job: name::Name,
        /// The owner.
        team: name::Name,
        /// The input file, in the same group.
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
        /// The job.
        job: name::Name,
        /// The owner.
        team: name::Name,
    },
    /// Leases chunks with open items to an entry VM.
    Take {
        /// The entry VM and its incarnation, for example `entry-1/17`.
        holder: name::Name,
        /// The most chunks to lease.
        want: u32,
        /// The lease time, in milliseconds.
        lease_ms: u64,
    },
    /// Extends leases.
    Renew {
        /// The entry VM.
        holder: name::Name,
        /// The leases.
        chunks: Vec<ChunkRef>,
        /// The lease time, in milliseconds.
        lease_ms: u64,
    },
    /// Gives leases back, so that others can take them at once.
    Release {
        /// The entry VM.
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
        /// The team.
        team: name::Name,
        /// The idempotency key.
        key: name::Name,
        /// The fingerprint of method, path and body.
        body: fingerprint::Fingerprint,
        /// The entry VM, its incarnation and the request. The same holder gets
        /// the same attempt again, so that the command can be repeated.
        holder: name::Name,
        /// When the attempt counts as unknown, in milliseconds from now.
        timeout_ms: u64,
        /// Whether the holder of an earlier attempt is known to be gone.
        holder_gone: bool,
    },
    /// Records the outcome of an attempt.
    AttemptEnd {
        /// The team.
        team: name::Name,
        /// The idempotency key.
        key: name::Name,
        /// The attempt's number.
        attempt: u64,
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// Records that a backend server crashed while it ran a request.
    Strike {
        /// The request.
        fingerprint: fingerprint::Fingerprint,
        /// The backend server and its incarnation, so that a crash counts once.
        backend: name::Name,
        /// Whether the request ran isolated.
        isolated: bool,
    },
    /// Records that a suspect finished without a crash.
    Clear {
        /// The request.
        fingerprint: fingerprint::Fingerprint,
    },
    /// Drops what has expired. Proposed by the leader.
    Expire,
    /// Replaces the tuning. Proposed by the leader when its settings or the
    /// declared weights differ, so that all replicas decide alike.
    Tune {
        /// The new tuning.
        tuning: Box<Tuning>,
    },
}

/// What work machines take from settings and from the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// How long things are kept.
    pub retention: Retention,
    /// How long before its due time a job goes ahead of fair sharing, in
    /// milliseconds. At most a quarter of the job's window counts.
    pub urgent_ms: u64,
    /// Batch weights of single teams.
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

/// How long a work machine keeps things, in milliseconds, and how much it stores.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// A file without a seal, from its last chunk.
    pub unsealed_ms: u64,
    /// A sealed file, from its last use by a job that ended.
    pub file_ms: u64,
    /// A job with its results, from its end.
    pub job_ms: u64,
    /// An idempotency claim, from the call that bound it.
    pub claim_ms: u64,
    /// An attempt, from its outcome or its deadline.
    pub attempt_ms: u64,
    /// A suspect, from its last strike.
    pub suspect_ms: u64,
    /// Most bytes of input lines, results, claims and attempts; new files, claims
    /// and attempts are refused above it. Nearly all of it are payloads on the
    /// disk, where gaps of removed payloads can take as much again.
    pub max_bytes: u64,
    /// Most bytes of claims and attempts, which are held in memory and in
    /// snapshots; new ones are refused above it.
    pub max_state_bytes: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Retention {
            unsealed_ms: HOUR_MS,
            file_ms: 30 * DAY_MS,
            job_ms: 30 * DAY_MS,
            // Not shorter than a job is kept, so that a resend finds the first job.
            claim_ms: 31 * DAY_MS,
            attempt_ms: 7 * DAY_MS,
            suspect_ms: 6 * HOUR_MS,
            // About 25 million items of 663 bytes in each group; four groups and
            // their gaps stay below 128 GiB of disk.
            max_bytes: 16 * 1024 * 1024 * 1024,
            // Encoding a snapshot holds up the control thread: near 600 MB of
            // state the slowest percent of commands took 0.9 s in batch_bench.
            max_state_bytes: 512 * 1024 * 1024,
        }
    }
}

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;
/// Milliseconds in a day.
const DAY_MS: u64 = 24 * HOUR_MS;

/// A suspected request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Crashes while it ran.
    pub strikes: u32,
    /// Crashes while it ran isolated.
    pub isolated: u32,
    /// Unix time in milliseconds until which it stays listed.
    pub until_ms: u64,
}

/// Why a record was not stored, in whole or in part.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordRefusal {
    /// The lease's fencing number is not the current one.
    Fenced,
    /// The job was cancelled.
    Cancelled,
    /// The job does not exist.
    Unknown,
    /// The job ran out of time.
    Expired,
}

/// A reply of a work machine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Done.
    Ok,
    /// The object does not exist, or belongs to another team.
    NotFound,
    /// The request is not valid in this state.
    Invalid {
        /// The text for people.
        message: String,
    },
    /// The key is bound to this value.
    Claimed {
        /// The first value.
        value: name::Name,
        /// Whether this call bound it.
        fresh: bool,
    },
    /// The group's storage is full; nothing was stored.
    Full,
    /// The key is bound to another body.
    KeyConflict,
    /// The job as it stands.
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
    /// Outcomes recorded.
    Recorded {
        /// Items whose outcome was stored by this command.
        stored: u32,
        /// Items that already had an outcome.
        duplicate: u32,
        /// Whether the job is now complete.
        job_done: bool,
    },
    /// Outcomes refused.
    RecordRefused(RecordRefusal),
    /// The request may be sent under this attempt number.
    Begin {
        /// The attempt.
        attempt: u64,
    },
    /// Another attempt is still running.
    InProgress {
        /// Its holder.
        holder: name::Name,
    },
    /// The outcome is already recorded.
    Known {
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// A suspect as it stands.
    Suspect(Suspect),
}
