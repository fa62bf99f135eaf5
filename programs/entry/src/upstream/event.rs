//! Events of an engine's answer, and the chunks that carry them.

use serde::{Deserialize, Serialize};

/// The API that a request calls, which decides the format of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl Api {
    /// Returns the API with a path, or none if no engine serves the path.
    pub fn of_path(path: &str) -> Option<Api> {
        match path {
            "/v1/chat/completions" => Some(Api::Chat),
            "/v1/completions" => Some(Api::Completion),
            _ => None,
        }
    }

    /// Returns the path of the request.
    pub fn path(self) -> &'static str {
        match self {
            Api::Chat => "/v1/chat/completions",
            Api::Completion => "/v1/completions",
        }
    }
}

/// An event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// More text.
    Delta(Delta),
    /// The answer is complete.
    End(End),
}

/// A piece of generated text.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The text, which is not empty.
    pub text: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The end of a complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// The finish reason, for example `stop` or `length`.
    pub finish_reason: String,
    /// Token counts, if the engine reports them.
    pub usage: Option<Usage>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub completion_tokens: u64,
    /// Their sum.
    pub total_tokens: u64,
}

/// A chunk of a streamed answer of either API.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    pub(crate) id: Option<String>,
    #[serde(default)]
    pub(crate) choices: Vec<Choice>,
    #[serde(default)]
    pub(crate) usage: Option<Usage>,
    #[serde(default)]
    pub(crate) error: Option<serde_json::Value>,
    /// The index of the chunk's token in the whole output, from 0. Only some
    /// engines send it.
    #[serde(default)]
    pub(crate) bw_token_index: Option<u64>,
}

/// A choice of a chunk.
#[derive(Debug, Deserialize)]
pub(crate) struct Choice {
    #[serde(default)]
    pub(crate) delta: Option<ChatDelta>,
    #[serde(default)]
    pub(crate) text: Option<String>,
    #[serde(default)]
    pub(crate) finish_reason: Option<String>,
}

/// The delta of a chat chunk.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatDelta {
    #[serde(default)]
    pub(crate) content: Option<String>,
}
