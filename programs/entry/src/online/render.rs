//! Formats answers as callers of either API expect them.

use bw_wire::{name, refusal};
use bytes::{BufMut, Bytes, BytesMut};
use serde_json::json;

use crate::{clock, upstream};

/// Formats the answer to one request, as chunks of a stream or as one body.
pub struct Renderer {
    api: upstream::Api,
    id: String,
    model: name::Name,
    /// Unix time in seconds.
    created: u64,
    include_usage: bool,
    /// The start of each chunk up to the text, which is the same for all.
    head: String,
    /// Whether the first chunk was returned, the only one of a chat with a role.
    started: bool,
}

impl Renderer {
    /// Creates a renderer for the answer to a request.
    pub fn new(
        api: upstream::Api,
        request_id: &name::Name,
        model: &name::Name,
        include_usage: bool,
    ) -> Renderer {
        let (prefix, object) = match api {
            upstream::Api::Chat => ("chatcmpl", "chat.completion.chunk"),
            upstream::Api::Completion => ("cmpl", "text_completion"),
        };
        let id = format!("{prefix}-{request_id}");
        let created = clock::unix_ms() / 1_000;
        let head = format!(
            "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{created},\"model\":{},\
             \"choices\":[{{\"index\":0,",
            json!(id),
            json!(model),
        );
        Renderer {
            api,
            id,
            model: model.clone(),
            created,
            include_usage,
            head,
            started: false,
        }
    }

    /// Returns the chunk for a piece of generated text.
    pub fn delta(&mut self, text: &str) -> Bytes {
        let mut chunk = BytesMut::with_capacity(self.head.len() + text.len() + 96);
        chunk.put_slice(self.head.as_bytes());
        match self.api {
            upstream::Api::Chat if !self.started => {
                chunk.put_slice(b"\"delta\":{\"role\":\"assistant\",\"content\":");
                put_json(&mut chunk, text);
                chunk.put_slice(b"}");
            }
            upstream::Api::Chat => {
                chunk.put_slice(b"\"delta\":{\"content\":");
                put_json(&mut chunk, text);
                chunk.put_slice(b"}");
            }
            upstream::Api::Completion => {
                chunk.put_slice(b"\"text\":");
                put_json(&mut chunk, text);
            }
        }
        chunk.put_slice(b",\"logprobs\":null,\"finish_reason\":null}]}\n\n");
        self.started = true;
        chunk.freeze()
    }

    /// Returns the chunks that end a complete answer.
    pub fn end(&self, finish_reason: &str, usage: upstream::Usage) -> Bytes {
        let mut chunk = BytesMut::with_capacity(2 * self.head.len() + 256);
        chunk.put_slice(self.head.as_bytes());
        match self.api {
            upstream::Api::Chat => chunk.put_slice(b"\"delta\":{}"),
            upstream::Api::Completion => chunk.put_slice(b"\"text\":\"\""),
        }
        chunk.put_slice(b",\"logprobs\":null,\"finish_reason\":");
        put_json(&mut chunk, finish_reason);
        chunk.put_slice(b"}]}\n\n");
        if self.include_usage {
            let object = match self.api {
                upstream::Api::Chat => "chat.completion.chunk",
                upstream::Api::Completion => "text_completion",
            };
            let counts = json!({
                "id": self.id,
                "object": object,
                "created": self.created,
                "model": self.model,
                "choices": [],
                "usage": usage,
            });
            chunk.put_slice(format!("data: {counts}\n\n").as_bytes());
        }
        chunk.put_slice(b"data: [DONE]\n\n");
        chunk.freeze()
    }

    /// Returns the event that ends an incomplete answer. No end mark follows it.
    pub fn error(&self, refusal: &refusal::Refusal) -> Bytes {
        Bytes::from(format!("data: {}\n\n", json!(refusal.body())))
    }

    /// Returns the body of an answer that is not streamed.
    pub fn whole(&self, text: &str, finish_reason: &str, usage: upstream::Usage) -> Bytes {
        let (object, choice) = match self.api {
            upstream::Api::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "logprobs": null,
                    "finish_reason": finish_reason,
                }),
            ),
            upstream::Api::Completion => (
                "text_completion",
                json!({
                    "index": 0,
                    "text": text,
                    "logprobs": null,
                    "finish_reason": finish_reason,
                }),
            ),
        };
        let answer = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        });
        Bytes::from(answer.to_string())
    }
}

fn put_json(chunk: &mut BytesMut, text: &str) {
    // Writing a string to memory does not fail.
    let _ = serde_json::to_writer(chunk.writer(), text);
}
