//! Creating, reading, listing and cancelling batch jobs.

use std::cmp;

use bw_wire::{command::work, fingerprint, id, name, openai, query, refusal};

use super::{
    Store, group_of, line, not_found, seconds, unavailable, unexpected_reply, unique_suffix,
};

const MS_PER_MINUTE: u64 = 60_000;
const MS_PER_HOUR: u64 = 60 * MS_PER_MINUTE;

impl Store {
    /// Creates a job, or returns the job of the first call with the same idempotency
    /// key.
    pub(super) async fn create_batch(
        &self,
        team: &name::Name,
        key: Option<&str>,
        body: &[u8],
    ) -> Result<openai::Batch, refusal::Refusal> {
        let request = parse(body)?;
        let window_ms = window_ms(&request.completion_window)?;
        let group = group_of(self, "file", &request.input_file_id)
            .map_err(|refusal| refusal.param("input_file_id"))?;
        let new_job = id::compose(id::Kind::Job, group, &unique_suffix());
        let job = match key {
            Some(key) => {
                let body = fingerprint_of(&request);
                self.claim(team, key, body, new_job).await?
            }
            None => new_job,
        };
        let command = work::Command::JobCreate {
            job,
            team: team.clone(),
            file: request.input_file_id.clone(),
            endpoint: request.endpoint,
            window_ms,
            metadata: request.metadata.unwrap_or_default(),
        };
        match self.inner.client.work(group, command).await {
            Ok(work::Reply::Job(job)) => Ok(describe(&job)),
            Ok(work::Reply::NotFound) => {
                Err(not_found("file", &request.input_file_id).param("input_file_id"))
            }
            Ok(work::Reply::Invalid { message }) => Err(invalid(message)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Returns a job of the team.
    pub(super) async fn job(
        &self,
        team: &name::Name,
        job: &name::Name,
    ) -> Result<query::Job, refusal::Refusal> {
        let group = group_of(self, "batch", job)?;
        let query = query::Query::Job {
            job: job.clone(),
            team: team.clone(),
        };
        match self.inner.client.query(group, query).await {
            Ok(query::Answer::Job(job)) => Ok(*job),
            Ok(query::Answer::NotFound) => Err(not_found("batch", job)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Returns a job of the team as an API object.
    pub(super) async fn batch(
        &self,
        team: &name::Name,
        job: &name::Name,
    ) -> Result<openai::Batch, refusal::Refusal> {
        self.job(team, job).await.map(|job| describe(&job))
    }

    /// Lists a team's jobs, newest first.
    pub(super) async fn batches(
        &self,
        team: &name::Name,
    ) -> Result<Vec<openai::Batch>, refusal::Refusal> {
        let mut jobs = Vec::new();
        for group in 1..=self.inner.groups {
            let query = query::Query::Jobs {
                team: Some(team.clone()),
            };
            match self.inner.client.query(group, query).await {
                Ok(query::Answer::Jobs(found)) => jobs.extend(found),
                Ok(other) => return Err(unexpected_reply(&other)),
                Err(error) => return Err(unavailable(&error)),
            }
        }
        jobs.sort_by_key(|job| (cmp::Reverse(job.created_ms), job.id.clone()));
        Ok(jobs.iter().map(describe).collect())
    }

    /// Cancels a job. A job that has already ended keeps its state.
    pub(super) async fn cancel_batch(
        &self,
        team: &name::Name,
        job: &name::Name,
    ) -> Result<openai::Batch, refusal::Refusal> {
        let group = group_of(self, "batch", job)?;
        let command = work::Command::JobCancel {
            job: job.clone(),
            team: team.clone(),
        };
        match self.inner.client.work(group, command).await {
            Ok(work::Reply::Job(job)) => Ok(describe(&job)),
            Ok(work::Reply::NotFound) => Err(not_found("batch", job)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }
}

/// Parses and validates a request to create a batch.
fn parse(body: &[u8]) -> Result<openai::BatchRequest, refusal::Refusal> {
    let value: serde_json::Value = serde_json::from_slice(body).map_err(|error| {
        refusal::Refusal::not_run(refusal::Reason::InvalidJson, error.to_string())
    })?;
    let request: openai::BatchRequest =
        serde_json::from_value(value).map_err(|error| invalid(error.to_string()))?;
    if !line::ENDPOINTS.contains(&request.endpoint.as_str()) {
        let message = format!("endpoint must be one of {}", line::ENDPOINTS.join(", "));
        return Err(invalid(message).param("endpoint"));
    }
    Ok(request)
}

/// Returns the fingerprint of a request's content, regardless of how its JSON is
/// formatted.
fn fingerprint_of(request: &openai::BatchRequest) -> fingerprint::Fingerprint {
    let canonical = serde_json::json!([
        request.input_file_id,
        request.endpoint,
        request.completion_window,
        request.metadata,
    ]);
    fingerprint::Fingerprint::of_bytes(canonical.to_string().as_bytes())
}

/// Parses a completion window such as `24h` or `30m`.
fn window_ms(text: &str) -> Result<u64, refusal::Refusal> {
    let unit_ms = match text.chars().last() {
        Some('h') => MS_PER_HOUR,
        Some('m') => MS_PER_MINUTE,
        _ => return Err(invalid_window(text)),
    };
    text[..text.len() - 1]
        .parse::<u32>()
        .ok()
        .filter(|count| *count > 0)
        .map(|count| u64::from(count) * unit_ms)
        .ok_or_else(|| invalid_window(text))
}

fn invalid_window(text: &str) -> refusal::Refusal {
    invalid(format!(
        "completion_window must read like 24h or 30m, not {text:?}"
    ))
    .param("completion_window")
}

/// Formats a completion window in hours if they are whole, else in minutes.
fn format_window(ms: u64) -> String {
    match ms % MS_PER_HOUR {
        0 => format!("{}h", ms / MS_PER_HOUR),
        _ => format!("{}m", ms / MS_PER_MINUTE),
    }
}

/// Returns a job as an API object.
fn describe(job: &query::Job) -> openai::Batch {
    let ended = job.ended_ms.map(seconds);
    let ended_in = |state: query::JobState| ended.filter(|_| job.state == state);
    openai::Batch {
        id: job.id.clone(),
        object: "batch".to_owned(),
        endpoint: job.endpoint.clone(),
        errors: None,
        input_file_id: job.file.clone(),
        completion_window: format_window(job.due_ms.saturating_sub(job.created_ms)),
        status: job.state.to_string(),
        output_file_id: ended
            .filter(|_| job.counts.completed > 0)
            .map(|_| id::output_file(&job.id)),
        error_file_id: ended
            .filter(|_| job.counts.failed > 0)
            .map(|_| id::error_file(&job.id)),
        created_at: seconds(job.created_ms),
        in_progress_at: Some(seconds(job.created_ms)),
        expires_at: Some(seconds(job.due_ms)),
        finalizing_at: ended_in(query::JobState::Completed),
        completed_at: ended_in(query::JobState::Completed),
        failed_at: None,
        expired_at: ended_in(query::JobState::Expired),
        cancelling_at: ended_in(query::JobState::Cancelled),
        cancelled_at: ended_in(query::JobState::Cancelled),
        request_counts: job.counts,
        metadata: (!job.metadata.is_empty()).then(|| job.metadata.clone()),
    }
}

fn invalid(message: impl Into<String>) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::InvalidField, message)
}
