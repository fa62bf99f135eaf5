//! Objects of the published OpenAI-compatible API.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{name, verdict};

/// An error body.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: Error,
}

/// The error in an error body, with the verdict as an extension.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Error {
    /// The human-readable message.
    pub message: String,
    /// The error type of the published API.
    #[serde(rename = "type")]
    pub kind: String,
    /// The invalid request field, if the error is about one.
    #[serde(default)]
    pub param: Option<String>,
    /// The stable code.
    #[serde(default)]
    pub code: Option<String>,
    /// Whether the request may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<verdict::Verdict>,
}

/// A list response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct List<T> {
    /// Always `list`.
    pub object: String,
    /// The listed objects.
    pub data: Vec<T>,
    /// The id of the first listed object.
    #[serde(default)]
    pub first_id: Option<String>,
    /// The id of the last listed object.
    #[serde(default)]
    pub last_id: Option<String>,
    /// Whether more objects follow.
    #[serde(default)]
    pub has_more: bool,
}

/// A model object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub id: name::Name,
    /// Always `model`.
    pub object: String,
    /// Unix time in seconds.
    pub created: u64,
    /// The owner of the model.
    pub owned_by: String,
}

/// A file object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct File {
    /// The file's id.
    pub id: name::Name,
    /// Always `file`.
    pub object: String,
    /// Size in bytes.
    pub bytes: u64,
    /// Unix time in seconds.
    pub created_at: u64,
    /// The caller's file name.
    pub filename: String,
    /// `batch` or `batch_output`.
    pub purpose: String,
    /// Always `processed`.
    pub status: String,
}

/// Item counts of a batch object.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// All items.
    pub total: u64,
    /// Items with a successful result.
    pub completed: u64,
    /// Items with an error.
    pub failed: u64,
}

/// A batch object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// The job's id.
    pub id: name::Name,
    /// Always `batch`.
    pub object: String,
    /// The path that the items call.
    pub endpoint: String,
    /// Errors found in the input as a whole.
    pub errors: Option<serde_json::Value>,
    /// The id of the input file.
    pub input_file_id: name::Name,
    /// The time within which the batch is to complete, for example `24h`.
    pub completion_window: String,
    /// `in_progress`, `finalizing`, `completed`, `cancelling`, `cancelled`, `expired`, `failed`.
    pub status: String,
    /// The id of the file with successful results.
    pub output_file_id: Option<name::Name>,
    /// The id of the file with failed items.
    pub error_file_id: Option<name::Name>,
    /// Unix time in seconds.
    pub created_at: u64,
    /// Unix time in seconds.
    pub in_progress_at: Option<u64>,
    /// Unix time in seconds.
    pub expires_at: Option<u64>,
    /// Unix time in seconds.
    pub finalizing_at: Option<u64>,
    /// Unix time in seconds.
    pub completed_at: Option<u64>,
    /// Unix time in seconds.
    pub failed_at: Option<u64>,
    /// Unix time in seconds.
    pub expired_at: Option<u64>,
    /// Unix time in seconds.
    pub cancelling_at: Option<u64>,
    /// Unix time in seconds.
    pub cancelled_at: Option<u64>,
    /// Item counts.
    pub request_counts: Counts,
    /// The caller's metadata.
    pub metadata: Option<collections::BTreeMap<String, String>>,
}

/// The body of a request to create a batch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchRequest {
    /// The id of the input file.
    pub input_file_id: name::Name,
    /// The path that the items call.
    pub endpoint: String,
    /// The time within which the batch is to complete, for example `24h`.
    pub completion_window: String,
    /// The caller's metadata.
    #[serde(default)]
    pub metadata: Option<collections::BTreeMap<String, String>>,
    /// Accepted for compatibility with newer client libraries and ignored.
    #[serde(default)]
    pub output_expires_after: Option<serde_json::Value>,
}

/// A line of a batch input file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InputLine {
    /// The caller's id for the item, unique in the file.
    pub custom_id: String,
    /// Always `POST`.
    pub method: String,
    /// The path that the item calls.
    pub url: String,
    /// The request body.
    pub body: serde_json::Value,
}

/// A line of a batch output or error file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutputLine {
    /// The id of the result.
    pub id: String,
    /// The caller's id for the item.
    pub custom_id: Option<String>,
    /// The answer, if there is one.
    pub response: Option<OutputResponse>,
    /// The error, if there is one.
    pub error: Option<OutputError>,
}

/// The answer in an output line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutputResponse {
    /// The HTTP status.
    pub status_code: u16,
    /// The request id.
    pub request_id: String,
    /// The answer's body.
    pub body: serde_json::Value,
}

/// The error in an output line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutputError {
    /// The stable, machine-readable code.
    pub code: String,
    /// The human-readable message.
    pub message: String,
    /// The line number in the input file, for lines that could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<u32>,
}
