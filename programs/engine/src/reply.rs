//! Answers of the completion paths: objects, stream chunks and usage.

use serde::Serialize;

use crate::{request, text};

/// The end mark of a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// Builds the parts of one answer.
#[derive(Clone, Debug)]
pub struct Writer {
    path: request::Path,
    id: String,
    model: String,
    created: u64,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

impl Usage {
    /// Counts a whole request; `output` includes resumed tokens.
    pub fn new(prompt: u32, output: u32, cached: u32) -> Usage {
        Usage {
            prompt_tokens: prompt,
            completion_tokens: output,
            total_tokens: prompt + output,
            prompt_tokens_details: PromptDetails {
                cached_tokens: cached,
            },
        }
    }
}

#[derive(Serialize)]
struct Object<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    /// The index of the chunk's token in the whole output.
    #[serde(skip_serializing_if = "Option::is_none")]
    bw_token_index: Option<u32>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
    logprobs: Option<()>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl Writer {
    /// Creates a writer for the answer to one request.
    pub fn new(path: request::Path, request_id: &str, model: &str, created: u64) -> Writer {
        let prefix = match path {
            request::Path::Chat => "chatcmpl",
            request::Path::Text => "cmpl",
        };
        Writer {
            path,
            id: format!("{prefix}-{request_id}"),
            model: model.to_owned(),
            created,
        }
    }

    /// Returns the stream event of the token with an index in the whole output.
    /// The first one of an answer names the role.
    pub fn token(&self, content: &str, index: u32, first: bool) -> String {
        let choice = self.choice(Some(content), first, None);
        let object = Object {
            bw_token_index: Some(index),
            ..self.object(vec![choice], None, true)
        };
        event(&object)
    }

    /// Returns the stream event with the finish reason.
    pub fn finish(&self, finish: text::Finish) -> String {
        let choice = self.choice(None, false, Some(finish.into()));
        event(&self.object(vec![choice], None, true))
    }

    /// Returns the stream event with the usage, which has no choices.
    pub fn usage(&self, usage: Usage) -> String {
        event(&self.object(Vec::new(), Some(usage), true))
    }

    /// Returns the answer of a request that is not streamed.
    pub fn whole(&self, content: &str, finish: text::Finish, usage: Usage) -> String {
        let message = Message {
            role: Some("assistant"),
            content: Some(content),
        };
        let choice = Choice {
            index: 0,
            delta: None,
            message: self.is_chat().then_some(message),
            text: (!self.is_chat()).then_some(content),
            finish_reason: Some(finish.into()),
            logprobs: None,
        };
        json(&self.object(vec![choice], Some(usage), false))
    }

    fn choice<'a>(
        &self,
        content: Option<&'a str>,
        first: bool,
        finish_reason: Option<&'static str>,
    ) -> Choice<'a> {
        let delta = Message {
            role: first.then_some("assistant"),
            content,
        };
        Choice {
            index: 0,
            delta: self.is_chat().then_some(delta),
            message: None,
            text: (!self.is_chat()).then(|| content.unwrap_or("")),
            finish_reason,
            logprobs: None,
        }
    }

    fn object<'a>(
        &'a self,
        choices: Vec<Choice<'a>>,
        usage: Option<Usage>,
        chunk: bool,
    ) -> Object<'a> {
        Object {
            id: &self.id,
            object: match (self.path, chunk) {
                (request::Path::Chat, true) => "chat.completion.chunk",
                (request::Path::Chat, false) => "chat.completion",
                (request::Path::Text, _) => "text_completion",
            },
            created: self.created,
            model: &self.model,
            choices,
            usage,
            bw_token_index: None,
        }
    }

    fn is_chat(&self) -> bool {
        self.path == request::Path::Chat
    }
}

fn event(object: &Object<'_>) -> String {
    format!("data: {}\n\n", json(object))
}

fn json(object: &Object<'_>) -> String {
    // The objects hold only strings and numbers, which always serialize.
    serde_json::to_string(object).unwrap_or_default()
}
