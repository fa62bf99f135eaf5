//! The batch load through the entry VMs: files, jobs and their results.

use std::{collections, sync, time};

use anyhow::Context;
use bw_wire::openai;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use serde::Deserialize;

use crate::{run, workload};

/// Interval at which the counts of jobs are read.
const POLL: time::Duration = time::Duration::from_millis(250);
/// Pause before a call to an entry VM is repeated.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Most times a call to an entry VM is sent.
const ATTEMPTS: u32 = 25;
/// Separates the parts of an upload.
const BOUNDARY: &str = "bw-load-boundary-7d1f0c";

/// An uploaded input file and the items in it.
pub struct Uploaded {
    file: String,
    team: String,
    items: Vec<usize>,
}

struct Job {
    id: String,
    team: String,
    items: Vec<usize>,
    /// Completed items by the time they were read.
    counts: Vec<(time::Instant, u64)>,
    batch: openai::Batch,
}

#[derive(Deserialize)]
struct Created {
    id: String,
}

/// Uploads the input files of all jobs.
///
/// # Errors
///
/// Fails when no entry VM takes a file.
pub async fn upload(run: &run::Run, items: &[workload::Request]) -> anyhow::Result<Vec<Uploaded>> {
    let mut files = Vec::new();
    if items.is_empty() {
        return Ok(files);
    }
    for job in 0..run.scenario.batch.jobs as usize {
        let own = (0..items.len()).filter(|index| index % run.scenario.batch.jobs as usize == job);
        let own: Vec<usize> = own.collect();
        let Some(first) = own.first() else {
            continue;
        };
        let team = items[*first].team.clone();
        let lines = own.iter().map(|index| line(&items[*index]));
        let body = multipart(&lines.collect::<String>());
        let content_type = multipart_type();
        let answer = call(run, "POST", "/v1/files", &team, &content_type, None, body).await?;
        let created: Created = serde_json::from_slice(&answer).context("uploaded file")?;
        files.push(Uploaded {
            file: created.id,
            team,
            items: own,
        });
    }
    Ok(files)
}

/// Creates the jobs, follows them to the end of the run and checks their results.
///
/// # Errors
///
/// Fails when a call is not answered after several attempts.
pub async fn run(
    run: sync::Arc<run::Run>,
    items: Vec<workload::Request>,
    files: Vec<Uploaded>,
) -> anyhow::Result<()> {
    let from = run.start + time::Duration::from_millis(run.scenario.batch.from_ms);
    tokio::time::sleep_until(from.into()).await;
    let mut jobs = Vec::new();
    for file in files {
        jobs.push(create(&run, file).await?);
    }
    follow(&run, &mut jobs).await?;
    for job in &jobs {
        run.tally().batch_measured += measured(&run, &job.counts);
        check(&run, job, &items).await?;
    }
    Ok(())
}

async fn create(run: &run::Run, file: Uploaded) -> anyhow::Result<Job> {
    let body = serde_json::json!({
        "input_file_id": file.file,
        "endpoint": run::CHAT_PATH,
        "completion_window": "24h",
    });
    // A repeated call must not create a second job.
    let key = Some(format!("job-of-{}", file.file));
    let body = Bytes::from(body.to_string());
    let answer = call(
        run,
        "POST",
        "/v1/batches",
        &file.team,
        "application/json",
        key,
        body,
    );
    let batch: openai::Batch = serde_json::from_slice(&answer.await?).context("created job")?;
    Ok(Job {
        id: batch.id.to_string(),
        team: file.team,
        items: file.items,
        counts: vec![(time::Instant::now(), 0)],
        batch,
    })
}

/// Reads the counts until the end, then cancels open jobs unless they may finish.
async fn follow(run: &run::Run, jobs: &mut [Job]) -> anyhow::Result<()> {
    let limit = run.end() + time::Duration::from_millis(run.scenario.drain_ms);
    let mut cancelled = false;
    loop {
        let mut open = false;
        for job in jobs.iter_mut() {
            let path = format!("/v1/batches/{}", job.id);
            let answer = get(run, &path, &job.team).await?;
            job.batch = serde_json::from_slice(&answer).context("job")?;
            let completed = job.batch.request_counts.completed;
            job.counts.push((time::Instant::now(), completed));
            open |= !is_final(&job.batch);
        }
        let now = time::Instant::now();
        if now >= run.end() && !open {
            return Ok(());
        }
        anyhow::ensure!(now < limit, "jobs are still open after the drain time");
        if now >= run.end() && !run.scenario.batch.finish && !cancelled {
            for job in jobs.iter().filter(|job| !is_final(&job.batch)) {
                let path = format!("/v1/batches/{}/cancel", job.id);
                call(
                    run,
                    "POST",
                    &path,
                    &job.team,
                    "application/json",
                    None,
                    Bytes::new(),
                )
                .await?;
            }
            cancelled = true;
        }
        let next = now + POLL;
        // One reading falls on the end of the measured time.
        let next = if now < run.end() {
            next.min(run.end())
        } else {
            next
        };
        tokio::time::sleep_until(next.into()).await;
    }
}

/// Returns whether a job has ended.
pub(crate) fn is_final(batch: &openai::Batch) -> bool {
    ["completed", "cancelled", "expired", "failed"].contains(&batch.status.as_str())
}

/// Returns the items completed in the measured time, by linear interpolation
/// between readings.
fn measured(run: &run::Run, counts: &[(time::Instant, u64)]) -> f64 {
    at(counts, run.end()) - at(counts, run.measure_from())
}

fn at(counts: &[(time::Instant, u64)], wanted: time::Instant) -> f64 {
    let after = counts.iter().position(|(at, _)| *at >= wanted);
    match after {
        Some(0) => 0.0,
        Some(after) => {
            let ((t0, c0), (t1, c1)) = (counts[after - 1], counts[after]);
            let share = (wanted - t0).as_secs_f64() / (t1 - t0).as_secs_f64().max(1e-9);
            c0 as f64 + share * c1.saturating_sub(c0) as f64
        }
        None => counts.last().map_or(0.0, |(_, count)| *count as f64),
    }
}

/// Reads the results of a job: each item at most once, with its own answer, and
/// all of them when the job is complete.
async fn check(run: &run::Run, job: &Job, items: &[workload::Request]) -> anyhow::Result<()> {
    let wanted: collections::HashMap<&str, &workload::Request> = job
        .items
        .iter()
        .map(|index| (items[*index].id.as_str(), &items[*index]))
        .collect();
    let mut seen = collections::HashSet::new();
    let mut completed = 0;
    let (mut failed, mut lost, mut doubled) = (0, 0, 0);
    for line in results(run, job, job.batch.output_file_id.as_deref()).await? {
        let id = line.custom_id.unwrap_or_default();
        completed += 1;
        doubled += u64::from(!seen.insert(id.clone()));
        let content = line.response.as_ref().and_then(content);
        let expected = wanted.get(id.as_str()).map(|item| item.answer.text_from(0));
        lost += u64::from(content.is_none() || content != expected);
    }
    for line in results(run, job, job.batch.error_file_id.as_deref()).await? {
        let cancelled = line
            .error
            .is_some_and(|error| error.code.contains("cancel"));
        if !cancelled {
            failed += 1;
            doubled += u64::from(!seen.insert(line.custom_id.unwrap_or_default()));
        }
    }
    if job.batch.status == "completed" {
        let missing = wanted.keys().filter(|id| !seen.contains(**id));
        lost += missing.count() as u64;
    }
    // Results that were counted as recorded must stay readable.
    lost += job.batch.request_counts.completed.saturating_sub(completed);
    let mut tally = run.tally();
    tally.batch_completed += completed;
    tally.batch_failed += failed;
    tally.lost += lost;
    tally.doubled += doubled;
    Ok(())
}

/// Returns the text of a result.
pub(crate) fn content(response: &openai::OutputResponse) -> Option<String> {
    let content = response.body.pointer("/choices/0/message/content")?;
    content.as_str().map(str::to_owned)
}

async fn results(
    run: &run::Run,
    job: &Job,
    file: Option<&str>,
) -> anyhow::Result<Vec<openai::OutputLine>> {
    let Some(file) = file else {
        return Ok(Vec::new());
    };
    let path = format!("/v1/files/{file}/content");
    let body = get(run, &path, &job.team).await?;
    let lines = body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    let lines = lines.map(|line| serde_json::from_slice(line).context("result line"));
    lines.collect()
}

async fn get(run: &run::Run, path: &str, team: &str) -> anyhow::Result<Bytes> {
    call(
        run,
        "GET",
        path,
        team,
        "application/json",
        None,
        Bytes::new(),
    )
    .await
}

/// Calls an entry VM, another one each time until one answers.
async fn call(
    run: &run::Run,
    method: &str,
    path: &str,
    team: &str,
    content_type: &str,
    key: Option<String>,
    body: Bytes,
) -> anyhow::Result<Bytes> {
    let mut failed = None;
    let mut last = String::new();
    for _ in 0..ATTEMPTS {
        let picked = run.picker.pick(failed).context("no entry VMs")?;
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", picked.address()))
            .header("content-type", content_type);
        if let Some(token) = run.token(team) {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        if let Some(key) = &key {
            request = request.header("idempotency-key", key);
        }
        match answer(run, request.body(Full::new(body.clone()))?).await {
            Ok((200..=299, body)) => return Ok(body),
            Ok((status, body)) => last = format!("{status} {}", String::from_utf8_lossy(&body)),
            Err(error) => last = format!("{error:#}"),
        }
        failed = Some(picked.index);
        drop(picked);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    anyhow::bail!("{method} {path}: {last}")
}

async fn answer(
    run: &run::Run,
    request: hyper::Request<Full<Bytes>>,
) -> anyhow::Result<(u16, Bytes)> {
    let response = run.client.send(request).await?;
    let status = response.status().as_u16();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}

fn line(item: &workload::Request) -> String {
    let line = serde_json::json!({
        "custom_id": item.id,
        "method": "POST",
        "url": run::CHAT_PATH,
        "body": item.body,
    });
    format!("{line}\n")
}

/// Returns the body of an upload.
pub(crate) fn multipart(lines: &str) -> Bytes {
    let body = format!(
        "--{BOUNDARY}\r\n\
         Content-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\n\
         Content-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\
         Content-Type: application/jsonl\r\n\r\n{lines}\r\n--{BOUNDARY}--\r\n"
    );
    Bytes::from(body)
}

/// Returns the content type of an upload.
pub(crate) fn multipart_type() -> String {
    format!("multipart/form-data; boundary={BOUNDARY}")
}
