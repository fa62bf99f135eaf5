//! Running one completion request and writing its answer.

use std::{collections, io, mem, sync, time};

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::mpsc;

use crate::{fault, model, record, reply, request, server, text};

/// A request that the batching model accepted.
///
/// Dropping it before its end cancels the sequence, which happens when the
/// caller closes the connection.
pub struct Run {
    server: sync::Arc<server::Server>,
    sequence: u64,
    execution: u64,
    progress: mpsc::UnboundedReceiver<model::Progress>,
    request: request::Request,
    cached_tokens: u32,
    produced: u32,
    outcome: record::Outcome,
    _active: server::Active,
}

impl Run {
    /// Couples an accepted sequence with the record of its execution.
    pub fn new(
        server: &sync::Arc<server::Server>,
        request: request::Request,
        accepted: (u64, mpsc::UnboundedReceiver<model::Progress>),
        execution: u64,
    ) -> Run {
        Run {
            sequence: accepted.0,
            progress: accepted.1,
            execution,
            cached_tokens: 0,
            produced: request.resume_tokens,
            request,
            outcome: record::Outcome::Running,
            _active: server.activate(),
            server: sync::Arc::clone(server),
        }
    }

    /// Waits for the next output token; `None` after the last one.
    async fn next(&mut self) -> Option<u32> {
        loop {
            match self.progress.recv().await {
                Some(model::Progress::Admitted { cached_tokens }) => {
                    self.cached_tokens = cached_tokens;
                    self.server.record().update(self.execution, |execution| {
                        execution.cached_tokens = cached_tokens;
                    });
                }
                Some(model::Progress::Token(index)) => {
                    self.produced = index + 1;
                    return Some(index);
                }
                None => {
                    self.outcome = record::Outcome::Finished;
                    return None;
                }
            }
        }
    }

    fn usage(&self) -> reply::Usage {
        let prompt = text::prompt_tokens(&self.request.prompt);
        reply::Usage::new(prompt, self.produced, self.cached_tokens)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.server.model().cancel(self.sequence);
        let (outcome, tokens) = (self.outcome, self.produced);
        self.server.record().update(self.execution, |execution| {
            execution.tokens = tokens;
            execution.outcome = match outcome {
                record::Outcome::Running => record::Outcome::Cancelled,
                other => other,
            };
        });
    }
}

/// The text that an answer carries and the faults that spoil it.
pub struct Content {
    /// Writes the answer's parts.
    pub writer: reply::Writer,
    /// The text; another request's when crossed.
    pub answer: text::Answer,
    /// The faults.
    pub faults: fault::Answer,
}

/// Waits for the whole output and returns the body's parts.
///
/// A cut answer ends with an error, which breaks the connection.
pub async fn whole(mut run: Run, content: Content) -> Vec<io::Result<Bytes>> {
    let first = run.produced;
    while let Some(index) = run.next().await {
        if content.faults.cut_after_tokens == Some(index + 1 - first) {
            run.outcome = record::Outcome::Cut;
            let text: String = (first..=index)
                .map(|index| content.answer.token(index))
                .collect();
            let usage = run.usage();
            let mut body = content.writer.whole(&text, content.answer.finish(), usage);
            body.truncate(body.len() / 2);
            return vec![Ok(Bytes::from(body)), Err(cut())];
        }
    }
    let text = content.answer.text_from(first);
    let usage = run.usage();
    let body = Bytes::from(content.writer.whole(&text, content.answer.finish(), usage));
    if content.faults.duplicate {
        return vec![Ok(body.clone()), Ok(body)];
    }
    vec![Ok(body)]
}

/// Returns the stream events of the output as it appears.
pub fn events(run: Run, content: Content) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let events = Events {
        first: run.produced,
        run: Some(run),
        content,
        sent: Vec::new(),
        tail: collections::VecDeque::new(),
    };
    stream::unfold(events, |mut events| async move {
        let part = events.next().await?;
        Some((part, events))
    })
}

struct Events {
    first: u32,
    /// `None` once all tokens have been sent.
    run: Option<Run>,
    content: Content,
    /// What was sent, kept only for a duplicate answer.
    sent: Vec<Bytes>,
    tail: collections::VecDeque<io::Result<Bytes>>,
}

impl Events {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let Some(run) = &mut self.run else {
            return self.tail.pop_front();
        };
        // A repeated token.
        if let Some(event) = self.tail.pop_front() {
            return Some(event);
        }
        let Some(index) = run.next().await else {
            self.end();
            return self.tail.pop_front();
        };
        let token = self.content.answer.token(index);
        let event = self
            .content
            .writer
            .token(&token, index, index == self.first);
        let event = Bytes::from(event);
        if self.content.faults.duplicate_token == Some(index) {
            self.tail.push_back(Ok(event.clone()));
        }
        if self.content.faults.duplicate {
            self.sent.push(event.clone());
        }
        if self.content.faults.cut_after_tokens == Some(index + 1 - self.first) {
            run.outcome = record::Outcome::Cut;
            self.run = None;
            self.tail.push_back(Err(cut()));
        }
        Some(Ok(event))
    }

    fn end(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        if self.content.faults.omit_end {
            return;
        }
        let writer = &self.content.writer;
        let mut last = vec![writer.finish(self.content.answer.finish())];
        if run.request.include_usage {
            last.push(writer.usage(run.usage()));
        }
        last.push(reply::DONE.to_owned());
        let last = last.into_iter().map(Bytes::from);
        let mut sent = mem::take(&mut self.sent);
        sent.extend(last.clone());
        self.tail.extend(last.map(Ok));
        if self.content.faults.duplicate {
            self.tail.extend(sent.into_iter().map(Ok));
        }
    }
}

fn cut() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "answer cut off by a fault switch",
    )
}

/// Waits for the late answer fault.
pub async fn delay(faults: &fault::Answer) {
    if faults.late_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.late_ms)).await;
    }
}
