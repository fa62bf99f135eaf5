//! Reads the events of an engine's answer.

use std::time;

use bw_base::outgoing;
use bw_wire::name;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time as async_time;

use super::{
    error::{Cause, Error},
    event::{Chunk, Delta, End, Event, Usage},
    sse,
};

/// How long to wait for the end of the body after the end mark, so that the
/// connection can be reused. It usually arrives in the same packet.
const END_OF_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(10);
/// The data of the line that ends a complete answer.
const END_MARK: &[u8] = b"[DONE]";

/// A running answer of an engine.
///
/// An answer counts as complete only when a finish reason and the end mark
/// arrived. Dropping the stream cancels the request at the engine.
pub struct Stream {
    body: outgoing::Body,
    lines: sse::Lines,
    request_id: name::Name,
    /// The deadline of the first token, or none once it has arrived.
    first_token_deadline: Option<async_time::Instant>,
    between_tokens: time::Duration,
    resumed_tokens: u64,
    /// The number of tokens that have arrived in this stream.
    tokens: u64,
    /// The index of the next token in the whole output, if the engine numbers
    /// its tokens.
    next_index: u64,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl Stream {
    pub(super) fn new(
        body: outgoing::Body,
        request_id: name::Name,
        first_token_deadline: async_time::Instant,
        between_tokens: time::Duration,
        resumed_tokens: u64,
    ) -> Stream {
        Stream {
            body,
            lines: sse::Lines::default(),
            request_id,
            first_token_deadline: Some(first_token_deadline),
            between_tokens,
            resumed_tokens,
            tokens: 0,
            next_index: resumed_tokens,
            finish_reason: None,
            usage: None,
        }
    }

    /// Returns the next event. After [`Event::End`] or an error there is none.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, no token arrives in time, or the answer
    /// is not valid.
    pub async fn next(&mut self) -> Result<Event, Error> {
        loop {
            let line = self.lines.next();
            let line = line.map_err(|_| malformed("a line is too long"))?;
            if let Some(data) = line {
                if data == END_MARK {
                    return self.end().await;
                }
                if let Some(delta) = self.process_chunk(&data)? {
                    return Ok(Event::Delta(delta));
                }
                continue;
            }
            self.read_frame().await?;
        }
    }

    async fn read_frame(&mut self) -> Result<(), Error> {
        let deadline = self
            .first_token_deadline
            .unwrap_or_else(|| async_time::Instant::now() + self.between_tokens);
        let frame = async_time::timeout_at(deadline, self.body.frame()).await;
        match frame {
            Err(_) => Err(self.timeout()),
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

    fn timeout(&self) -> Error {
        let cause = match self.first_token_deadline {
            Some(_) => Cause::FirstTokenTimeout,
            None => Cause::TokenTimeout,
        };
        Error::may_have_run(cause, "the backend server sent no token in time")
    }

    /// Processes a chunk and returns its text, if it has any.
    fn process_chunk(&mut self, data: &Bytes) -> Result<Option<Delta>, Error> {
        let chunk: Chunk = serde_json::from_slice(data)
            .map_err(|error| malformed(format!("a chunk is not valid: {error}")))?;
        if let Some(error) = chunk.error {
            return Err(Error::may_have_run(Cause::Failed, error.to_string()));
        }
        self.check_id(chunk.id.as_deref())?;
        if let Some(index) = chunk.bw_token_index
            && !self.accept_index(index)?
        {
            return Ok(None);
        }
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        // The filters refuse requests for more than one choice.
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
        self.first_token_deadline = None;
        self.tokens += 1;
        Ok(Some(Delta { text, tokens: 1 }))
    }

    /// Checks the index of a chunk's token. Returns whether it is the next token,
    /// and not one that has already been passed on.
    fn accept_index(&mut self, index: u64) -> Result<bool, Error> {
        if index > self.next_index {
            let message = format!("token {index} follows where {} is next", self.next_index);
            return Err(Error::may_have_run(Cause::Corrupt, message));
        }
        let is_next = index == self.next_index;
        self.next_index += u64::from(is_next);
        Ok(is_next)
    }

    /// Checks that a chunk belongs to this request: the id of an answer must end
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
        // The answer is complete, so a failure here is ignored.
        let _ = async_time::timeout(END_OF_BODY_TIMEOUT, self.body.frame()).await;
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
