//! The events of one engine answer.

use std::time;

use bw_wire::name;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use tokio::time as async_time;

use super::{
    error::{Cause, Error},
    event::{Chunk, Delta, End, Event, Usage},
    sse,
};

/// How long the end of the body may follow the end mark for the connection to
/// be kept. It usually arrives in the same packet.
const END_OF_BODY: time::Duration = time::Duration::from_millis(10);
/// The data of the line that ends a complete answer.
const END_MARK: &[u8] = b"[DONE]";

/// A running answer of an engine.
///
/// An answer counts as complete only when a finish reason and the end mark
/// arrived. Dropping the stream cancels the request at the engine.
pub struct Stream {
    body: body::Incoming,
    lines: sse::Lines,
    request_id: name::Name,
    first_token_at: Option<async_time::Instant>,
    between_tokens: time::Duration,
    resumed_tokens: u64,
    tokens: u64,
    /// The index of the next token in the whole output, from an engine that
    /// numbers its tokens.
    next_index: u64,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl Stream {
    pub(super) fn new(
        body: body::Incoming,
        request_id: name::Name,
        first_token_at: async_time::Instant,
        between_tokens: time::Duration,
        resumed_tokens: u64,
    ) -> Stream {
        Stream {
            body,
            lines: sse::Lines::default(),
            request_id,
            first_token_at: Some(first_token_at),
            between_tokens,
            resumed_tokens,
            tokens: 0,
            next_index: resumed_tokens,
            finish_reason: None,
            usage: None,
        }
    }

    /// Returns the next event. After an end or an error the stream is used up.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, the engine stops to send, or the
    /// answer is not of the agreed form.
    pub async fn next(&mut self) -> Result<Event, Error> {
        loop {
            let line = self.lines.next();
            let line = line.map_err(|_| malformed("a line is too long"))?;
            if let Some(data) = line {
                if data == END_MARK {
                    return self.end().await;
                }
                if let Some(delta) = self.chunk(&data)? {
                    return Ok(Event::Delta(delta));
                }
                continue;
            }
            self.read().await?;
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let limit = self
            .first_token_at
            .unwrap_or_else(|| async_time::Instant::now() + self.between_tokens);
        let frame = async_time::timeout_at(limit, self.body.frame()).await;
        match frame {
            Err(_) => Err(self.late()),
            Ok(None) => Err(broken("the answer ended without its end mark")),
            Ok(Some(Err(error))) => Err(broken(error.to_string())),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.lines.push(data);
                }
                Ok(())
            }
        }
    }

    fn late(&self) -> Error {
        let cause = match self.first_token_at {
            Some(_) => Cause::FirstTokenTimeout,
            None => Cause::TokenTimeout,
        };
        Error::may_have_run(cause, "the backend server sent no token in time")
    }

    fn chunk(&mut self, data: &Bytes) -> Result<Option<Delta>, Error> {
        let chunk: Chunk = serde_json::from_slice(data)
            .map_err(|error| malformed(format!("a chunk is not valid: {error}")))?;
        if let Some(error) = chunk.error {
            return Err(Error::may_have_run(Cause::Failed, error.to_string()));
        }
        self.check_id(chunk.id.as_deref())?;
        if let Some(index) = chunk.bw_token_index
            && !self.is_next(index)?
        {
            return Ok(None);
        }
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        // Requests for more than one choice are refused before they are sent.
        let mut choices = chunk.choices.into_iter();
        let Some(choice) = choices.next() else {
            return Ok(None);
        };
        if choices.next().is_some() {
            return Err(malformed("a chunk has more than one choice"));
        }
        let text = choice
            .delta
            .and_then(|delta| delta.content)
            .or(choice.text)
            .unwrap_or_default();
        if !text.is_empty() && self.finish_reason.is_some() {
            return Err(malformed("text follows the finish reason"));
        }
        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
        }
        if text.is_empty() {
            return Ok(None);
        }
        self.first_token_at = None;
        self.tokens += 1;
        Ok(Some(Delta { text, tokens: 1 }))
    }

    /// Returns whether a chunk carries the next token, and not one that has
    /// already been passed on.
    fn is_next(&mut self, index: u64) -> Result<bool, Error> {
        if index > self.next_index {
            let message = format!("token {index} follows where {} is next", self.next_index);
            return Err(Error::may_have_run(Cause::Corrupt, message));
        }
        let is_next = index == self.next_index;
        self.next_index += u64::from(is_next);
        Ok(is_next)
    }

    /// Checks that a chunk belongs to this request: the id of an answer ends
    /// with the request id.
    fn check_id(&self, id: Option<&str>) -> Result<(), Error> {
        match id {
            Some(id) if !id.ends_with(self.request_id.as_str()) => {
                let message = format!("{id} stands in the answer to {}", self.request_id);
                Err(Error::may_have_run(Cause::Mismatched, message))
            }
            _ => Ok(()),
        }
    }

    async fn end(&mut self) -> Result<Event, Error> {
        let Some(finish_reason) = self.finish_reason.take() else {
            return Err(malformed("the end mark came without a finish reason"));
        };
        if let Some(usage) = self.usage {
            let total = self.tokens + self.resumed_tokens;
            if usage.completion_tokens != total {
                return Err(Error::may_have_run(
                    Cause::Corrupt,
                    format!(
                        "{} tokens arrived of {} that were generated",
                        total, usage.completion_tokens
                    ),
                ));
            }
        }
        // Reading to the end of the body returns the connection to the pool.
        // Whatever happens here no longer concerns the answer.
        let _ = async_time::timeout(END_OF_BODY, self.body.frame()).await;
        Ok(Event::End(End {
            finish_reason,
            usage: self.usage,
        }))
    }
}

fn malformed(message: impl Into<String>) -> Error {
    Error::may_have_run(Cause::Malformed, message)
}

fn broken(message: impl Into<String>) -> Error {
    Error::may_have_run(Cause::Broken, message)
}
