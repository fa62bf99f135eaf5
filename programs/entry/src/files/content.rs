//! Streaming of file contents, chunk by chunk.

use std::io;

use futures_util::stream;
use gotham::helpers::http;
use http_body_util::{BodyExt, StreamBody};
use hyper::body;

use bw_wire::{command::work, id, name, openai, query, refusal};

use super::{Store, group_of, not_found, unavailable, unexpected_reply};

/// The source of a content stream.
#[derive(Clone)]
struct Source {
    store: Store,
    team: name::Name,
    object: Object,
    chunks: u32,
}

#[derive(Clone)]
enum Object {
    /// An uploaded file.
    Input(name::Name),
    /// The output of a job, or its errors.
    Results { job: name::Name, errors: bool },
}

impl Store {
    /// Streams a file's content.
    ///
    /// The body ends with an error if a chunk cannot be read, so that a caller never
    /// takes a truncated file for a complete one.
    pub(super) async fn content(
        &self,
        team: &name::Name,
        file: &name::Name,
    ) -> Result<http::Body, refusal::Refusal> {
        let (object, chunks) = match id::job_of_result_file(file) {
            Some((job, errors)) => {
                let chunks = self.ended_job(team, &job, file).await?.chunks;
                (Object::Results { job, errors }, chunks)
            }
            None => {
                let stored = self.stored_file(team, file).await?;
                (Object::Input(file.clone()), stored.chunks)
            }
        };
        let source = Source {
            store: self.clone(),
            team: team.clone(),
            object,
            chunks,
        };
        let frames = stream::try_unfold((source, 0), next_frame);
        Ok(StreamBody::new(frames).boxed_unsync())
    }

    /// Returns a job whose results are final. Its result file does not exist while the
    /// job is in progress.
    async fn ended_job(
        &self,
        team: &name::Name,
        job: &name::Name,
        file: &name::Name,
    ) -> Result<query::Job, refusal::Refusal> {
        let job = self.job(team, job).await?;
        match job.state {
            query::JobState::InProgress => Err(not_found("file", file)),
            _ => Ok(job),
        }
    }

    async fn chunk_text(&self, source: &Source, chunk: u32) -> Result<String, refusal::Refusal> {
        match &source.object {
            Object::Input(file) => self.input_text(&source.team, file, chunk).await,
            Object::Results { job, errors } => {
                self.result_text(&source.team, job, *errors, chunk).await
            }
        }
    }

    async fn input_text(
        &self,
        team: &name::Name,
        file: &name::Name,
        chunk: u32,
    ) -> Result<String, refusal::Refusal> {
        let query = query::Query::FileChunk {
            file: file.clone(),
            team: team.clone(),
            chunk,
        };
        let group = group_of(self, "file", file)?;
        match self.inner.client.query(group, query).await {
            Ok(query::Answer::Lines(lines)) => Ok(lines.iter().map(input_line).collect()),
            Ok(query::Answer::NotFound) => Err(not_found("file", file)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }

    async fn result_text(
        &self,
        team: &name::Name,
        job: &name::Name,
        errors: bool,
        chunk: u32,
    ) -> Result<String, refusal::Refusal> {
        let query = query::Query::Results {
            job: job.clone(),
            team: team.clone(),
            chunk,
        };
        let group = group_of(self, "batch", job)?;
        match self.inner.client.query(group, query).await {
            Ok(query::Answer::Results(results)) => Ok(results
                .into_iter()
                .filter(|result| is_error(&result.outcome.result) == errors)
                .map(|result| output_line(job, result))
                .collect()),
            Ok(query::Answer::NotFound) => Err(not_found("batch", job)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }
}

type Frame = body::Frame<body::Bytes>;

/// Reads the next chunk of the stream, or returns `None` after the last one.
async fn next_frame(
    (source, chunk): (Source, u32),
) -> Result<Option<(Frame, (Source, u32))>, io::Error> {
    if chunk >= source.chunks {
        return Ok(None);
    }
    let text = source
        .store
        .chunk_text(&source, chunk)
        .await
        .map_err(|refusal| io::Error::other(refusal.message))?;
    let frame = body::Frame::data(body::Bytes::from(text));
    Ok(Some((frame, (source, chunk + 1))))
}

fn is_error(result: &work::Result) -> bool {
    match result {
        work::Result::Answer { status, .. } => *status >= 400,
        work::Result::Failed { .. } => true,
    }
}

/// Formats a line of an input file. The text of an invalid line is not stored, so its
/// error is returned instead.
fn input_line(line: &work::Line) -> String {
    let value = match &line.content {
        work::Content::Request { url, body, .. } => serde_json::json!({
            "custom_id": line.custom_id,
            "method": "POST",
            "url": url,
            "body": json_or_text(body),
        }),
        work::Content::Bad { code, message } => serde_json::json!({
            "custom_id": line.custom_id,
            "error": { "code": code, "message": message, "line": line.number },
        }),
    };
    format!("{value}\n")
}

/// Formats a line of an output or error file.
fn output_line(job: &str, item: query::ItemResult) -> String {
    let number = item.outcome.number;
    let request_id = format!("{job}-{number}");
    let (response, error) = match item.outcome.result {
        work::Result::Answer { status, body } => {
            let response = openai::OutputResponse {
                status_code: status,
                request_id: request_id.clone(),
                body: json_or_text(&body),
            };
            (Some(response), None)
        }
        work::Result::Failed { code, message } => {
            let line = Some(number);
            let error = openai::OutputError {
                code,
                message,
                line,
            };
            (None, Some(error))
        }
    };
    let line = openai::OutputLine {
        id: format!("batch_req_{request_id}"),
        custom_id: item.custom_id,
        response,
        error,
    };
    // The fields always serialize: they are numbers, strings and JSON values.
    let text = serde_json::to_string(&line).unwrap_or_default();
    format!("{text}\n")
}

/// Parses text as JSON, or returns it as a JSON string if it is none.
fn json_or_text(text: &str) -> serde_json::Value {
    serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.to_owned()))
}
