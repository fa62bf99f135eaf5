//! Batch jobs in a trace.

use std::time;

use anyhow::Context;
use bw_wire::{fingerprint, openai};
use bytes::Bytes;
use serde::de;

use super::{
    Job, Outcome,
    session::{Created, Request, Session},
};
use crate::{call, job as load_job, run};

/// Interval at which a job is read until it has ended.
const POLL: time::Duration = time::Duration::from_millis(100);
const JSON: &str = "application/json";

/// Uploads the lines, creates the job, waits for its end and reads its results.
pub(super) async fn run(
    session: &Session,
    entry: usize,
    line: usize,
    key: &str,
    items: &[serde_json::Value],
) -> anyhow::Result<Outcome> {
    let lines: String = items.iter().map(|item| format!("{item}\n")).collect();
    let upload = Request {
        method: "POST",
        path: "/v1/files",
        content_type: &load_job::multipart_type(),
        key: None,
        body: load_job::multipart(&lines),
    };
    let file: openai::File = match session.send(entry, &upload).await {
        Ok(answer) => parse(&answer)?,
        Err(end) => return Ok(Outcome::ended(end)),
    };
    let body = serde_json::json!({
        "input_file_id": file.id,
        "endpoint": run::CHAT_PATH,
        "completion_window": "24h",
    });
    let job = match create(session, entry, key, &body).await? {
        Ok(job) => job,
        Err(end) => return Ok(Outcome::ended(end)),
    };
    session.created(
        line,
        Created {
            id: job.id.to_string(),
            body,
            key: key.to_owned(),
        },
    );
    let job = ended(session, entry, &job.id).await?;
    let mut outcome = Outcome::ended(call::End::Answered);
    if job.status == "completed" {
        outcome.text = Some(results(session, entry, &job).await?);
    }
    outcome.job = Some(describe(&job, None));
    Ok(outcome)
}

/// Creates the job of a line again.
pub(super) async fn resend(
    session: &Session,
    entry: usize,
    line: usize,
) -> anyhow::Result<Outcome> {
    let first = session.job_of(line).await?;
    let created = create(session, entry, &first.key, &first.body).await?;
    again(session, entry, &first, created).await
}

/// Creates another job with the key of a line's job.
pub(super) async fn conflict(
    session: &Session,
    entry: usize,
    line: usize,
) -> anyhow::Result<Outcome> {
    let first = session.job_of(line).await?;
    let mut body = first.body.clone();
    body["metadata"] = serde_json::json!({"changed": "yes"});
    let created = create(session, entry, &first.key, &body).await?;
    again(session, entry, &first, created).await
}

/// Cancels the job of a line.
pub(super) async fn cancel(
    session: &Session,
    entry: usize,
    line: usize,
) -> anyhow::Result<Outcome> {
    let first = session.job_of(line).await?;
    let path = format!("/v1/batches/{}/cancel", first.id);
    let request = Request {
        method: "POST",
        path: &path,
        content_type: JSON,
        key: None,
        body: Bytes::new(),
    };
    Ok(match session.send(entry, &request).await {
        Ok(answer) => Outcome {
            job: Some(describe(&parse(&answer)?, None)),
            ..Outcome::ended(call::End::Answered)
        },
        Err(end) => Outcome::ended(end),
    })
}

async fn again(
    session: &Session,
    entry: usize,
    first: &Created,
    created: Result<openai::Batch, call::End>,
) -> anyhow::Result<Outcome> {
    let job = match created {
        Ok(job) => job,
        Err(end) => return Ok(Outcome::ended(end)),
    };
    let is_first = job.id.as_str() == first.id;
    let job = ended(session, entry, &job.id).await?;
    Ok(Outcome {
        job: Some(describe(&job, Some(is_first))),
        ..Outcome::ended(call::End::Answered)
    })
}

async fn create(
    session: &Session,
    entry: usize,
    key: &str,
    body: &serde_json::Value,
) -> anyhow::Result<Result<openai::Batch, call::End>> {
    let request = Request {
        method: "POST",
        path: "/v1/batches",
        content_type: JSON,
        key: Some(key),
        body: Bytes::from(body.to_string()),
    };
    match session.send(entry, &request).await {
        Ok(answer) => Ok(Ok(parse(&answer)?)),
        Err(end) => Ok(Err(end)),
    }
}

/// Waits until a job has ended.
async fn ended(session: &Session, entry: usize, id: &str) -> anyhow::Result<openai::Batch> {
    let path = format!("/v1/batches/{id}");
    let from = time::Instant::now();
    loop {
        let job: openai::Batch = parse(&get(session, entry, &path).await?)?;
        if load_job::is_final(&job) {
            return Ok(job);
        }
        anyhow::ensure!(from.elapsed() < session.limit(), "job {id} does not end");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns the fingerprint of all results of a job in the order of their custom
/// ids. A result that is there twice counts twice.
async fn results(session: &Session, entry: usize, job: &openai::Batch) -> anyhow::Result<String> {
    let files = [&job.output_file_id, &job.error_file_id];
    let mut results = Vec::new();
    for file in files.into_iter().flatten() {
        let content = get(session, entry, &format!("/v1/files/{file}/content")).await?;
        let lines = content.split(|byte| *byte == b'\n');
        for line in lines.filter(|line| !line.is_empty()) {
            results.push(result(&parse(line)?));
        }
    }
    results.sort();
    let all: String = results.into_iter().collect();
    Ok(fingerprint::Fingerprint::of_bytes(all.as_bytes()).to_string())
}

/// Returns what of a result does not change from run to run.
fn result(line: &openai::OutputLine) -> String {
    let id = line.custom_id.as_deref().unwrap_or_default();
    let code = line.error.as_ref().map(|error| error.code.as_str());
    let content = line.response.as_ref().and_then(load_job::content);
    format!(
        "{id}\t{}\t{}\n",
        code.unwrap_or_default(),
        content.unwrap_or_default()
    )
}

fn describe(job: &openai::Batch, is_first: Option<bool>) -> Job {
    let counts = &job.request_counts;
    let completed = job.status == "completed";
    Job {
        status: job.status.to_string(),
        items: completed.then_some((counts.completed, counts.failed)),
        is_first,
    }
}

async fn get(session: &Session, entry: usize, path: &str) -> anyhow::Result<Bytes> {
    let request = Request {
        method: "GET",
        path,
        content_type: JSON,
        key: None,
        body: Bytes::new(),
    };
    let answered = session.send(entry, &request).await;
    answered.map_err(|end| anyhow::anyhow!("GET {path}: {end:?}"))
}

fn parse<T: de::DeserializeOwned>(answer: &[u8]) -> anyhow::Result<T> {
    let text = String::from_utf8_lossy(answer);
    serde_json::from_slice(answer).with_context(|| format!("unexpected answer {text}"))
}
