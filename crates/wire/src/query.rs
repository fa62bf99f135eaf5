//! Linearizable reads of the state machines.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{command, intent, name, openai};

/// A query to any group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// The configuration in force (group 0).
    Config,
    /// The latest revisions, newest first (group 0).
    History {
        /// Maximum number of revisions to return.
        limit: u32,
    },
    /// A file's description (work groups).
    File {
        /// The file's id.
        file: name::Name,
        /// The team that owns it.
        team: name::Name,
    },
    /// A team's files in this group.
    Files {
        /// The team that owns the files.
        team: name::Name,
    },
    /// A chunk of an input file.
    FileChunk {
        /// The file's id.
        file: name::Name,
        /// The team that owns it.
        team: name::Name,
        /// The chunk's number, from 0.
        chunk: u32,
    },
    /// A job.
    Job {
        /// The job's id.
        job: name::Name,
        /// The team that owns it.
        team: name::Name,
    },
    /// A team's jobs in this group, or all teams' when absent.
    Jobs {
        /// The team that owns the jobs.
        team: Option<name::Name>,
    },
    /// Recorded outcomes of a chunk of a job.
    Results {
        /// The job's id.
        job: name::Name,
        /// The team that owns it.
        team: name::Name,
        /// The chunk's number, from 0.
        chunk: u32,
    },
    /// The waiting work of this group.
    Backlog,
    /// All suspects of this group.
    Suspects,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The object does not exist, or belongs to another team.
    NotFound,
    /// The configuration in force.
    Config {
        /// The revision.
        revision: u64,
        /// The intent.
        intent: Box<intent::Intent>,
    },
    /// Revisions, newest first.
    History(Vec<command::config::Revision>),
    /// A file.
    File(File),
    /// Files.
    Files(Vec<File>),
    /// Lines of a chunk.
    Lines(Vec<command::work::Line>),
    /// A job.
    Job(Box<Job>),
    /// Jobs.
    Jobs(Vec<Job>),
    /// Results of a chunk, in line order, with the custom ids.
    Results(Vec<ItemResult>),
    /// Waiting work.
    Backlog(Backlog),
    /// Suspects.
    Suspects(Vec<command::work::Suspect>),
}

/// A stored file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct File {
    /// The file's id.
    pub id: name::Name,
    /// The team that owns it.
    pub team: name::Name,
    /// The caller's file name.
    pub filename: String,
    /// The purpose that the caller gave, for example `batch`.
    pub purpose: String,
    /// Size as uploaded, in bytes.
    pub bytes: u64,
    /// When it was created, Unix time in milliseconds.
    pub created_ms: u64,
    /// The number of chunks.
    pub chunks: u32,
    /// The number of items.
    pub items: u64,
}

/// The state of a job.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// Items are open.
    InProgress,
    /// Every item has an outcome.
    Completed,
    /// Cancelled before every item had an outcome.
    Cancelled,
    /// The completion window passed before every item had an outcome.
    Expired,
}

/// A job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The job's id.
    pub id: name::Name,
    /// The team that owns it.
    pub team: name::Name,
    /// The id of the input file.
    pub file: name::Name,
    /// The path that the items call.
    pub endpoint: String,
    /// The state.
    pub state: JobState,
    /// When it was created, Unix time in milliseconds.
    pub created_ms: u64,
    /// When the job is due, Unix time in milliseconds.
    pub due_ms: u64,
    /// When the job reached its final state, Unix time in milliseconds.
    pub ended_ms: Option<u64>,
    /// The number of chunks.
    pub chunks: u32,
    /// Item counts.
    pub counts: openai::Counts,
    /// The caller's metadata.
    pub metadata: collections::BTreeMap<String, String>,
}

/// A recorded outcome with the caller's id.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The caller's id, if the line could be read.
    pub custom_id: Option<String>,
    /// The outcome.
    pub outcome: command::work::Outcome,
}

/// Maximum number of names in [`Backlog::models`]. Callers choose the names in their
/// files, so their number has no other bound.
pub const BACKLOG_MODELS: usize = 256;

/// Waiting work of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    /// Chunks that can be leased now.
    pub chunks: u32,
    /// The models and adapters that open items of these chunks name, the first
    /// [`BACKLOG_MODELS`] of them.
    pub models: Vec<crate::name::Name>,
    /// Items without an outcome.
    pub items: u64,
    /// The earliest due time of an open job, Unix time in milliseconds.
    pub earliest_due_ms: Option<u64>,
}
