//! Commands on batch jobs, through the callers' API.

use std::{fs, path, time};

use bw_wire::openai;
use bytes::Bytes;
use hyper::Method;

use crate::{args, exit, http, output};

/// Pause between two looks at a job's progress.
const PROGRESS_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Boundary of the multipart body; random enough not to occur in a file.
const BOUNDARY_PREFIX: &str = "bilberry-";

/// Runs a command on batch jobs.
pub(crate) async fn run(session: &output::Session, jobs: args::Jobs) -> Result<(), exit::Failure> {
    let entry = session.entry()?;
    match jobs.command {
        args::JobsCommand::Submit(submit) => self::submit(session, &entry, &submit).await,
        args::JobsCommand::List(_) => list(session, &entry).await,
        args::JobsCommand::Show(show) => {
            let batch = get(&entry, &show.job).await?;
            print_batch(session, &batch)
        }
        args::JobsCommand::Cancel(cancel) => {
            let path = format!("/v1/batches/{}/cancel", cancel.job);
            let batch = entry.call(Method::POST, &path, None, None).await?;
            print_batch(session, &batch)
        }
        args::JobsCommand::Results(results) => self::results(&entry, &results).await,
    }
}

async fn submit(
    session: &output::Session,
    entry: &http::Client,
    args: &args::Submit,
) -> Result<(), exit::Failure> {
    let bytes = fs::read(&args.file)
        .map_err(|error| exit::Failure::usage(format!("{}: {error}", args.file)))?;
    let name = path::Path::new(&args.file)
        .file_name()
        .map_or_else(|| "upload.jsonl".into(), |name| name.to_string_lossy());
    let upload_key = args.key.as_ref().map(|key| format!("{key}/file"));
    let content = multipart(&name, &bytes);
    let file: openai::File = entry
        .call(
            Method::POST,
            "/v1/files",
            upload_key.as_deref(),
            Some(content),
        )
        .await?;
    session.progress(&format!("uploaded {} bytes as {}", file.bytes, file.id));
    let request = serde_json::json!({
        "input_file_id": file.id,
        "endpoint": args.endpoint,
        "completion_window": args.window,
    });
    let content = http::Content {
        content_type: "application/json".to_owned(),
        bytes: request.to_string().into(),
    };
    let mut batch: openai::Batch = entry
        .call(
            Method::POST,
            "/v1/batches",
            args.key.as_deref(),
            Some(content),
        )
        .await?;
    while args.wait && batch.status == "in_progress" {
        session.progress(&progress(&batch));
        tokio::time::sleep(PROGRESS_PAUSE).await;
        batch = get(entry, &batch.id).await?;
    }
    print_batch(session, &batch)
}

async fn list(session: &output::Session, entry: &http::Client) -> Result<(), exit::Failure> {
    let list: openai::List<openai::Batch> = entry
        .call(Method::GET, "/v1/batches?limit=100", None, None)
        .await?;
    session.print(&list.data, || print_batches(&list.data))
}

async fn get(entry: &http::Client, job: &str) -> Result<openai::Batch, exit::Failure> {
    let path = format!("/v1/batches/{job}");
    entry.call(Method::GET, &path, None, None).await
}

async fn results(entry: &http::Client, args: &args::Results) -> Result<(), exit::Failure> {
    let batch = get(entry, &args.job).await?;
    let file = match args.errors {
        true => batch.error_file_id,
        false => batch.output_file_id,
    };
    match file {
        Some(file) => entry.copy(&format!("/v1/files/{file}/content")).await,
        None if batch.status == "in_progress" => {
            let message = format!(
                "the job is not done: {}",
                progress_counts(&batch.request_counts)
            );
            Err(exit::Failure::failed(message))
        }
        // A job without failed items has no error file, and the other way round.
        None => Ok(()),
    }
}

fn print_batch(session: &output::Session, batch: &openai::Batch) -> Result<(), exit::Failure> {
    session.print(batch, || print_batches(std::slice::from_ref(batch)))
}

fn print_batches(batches: &[openai::Batch]) {
    let head = ["JOB", "STATUS", "TOTAL", "DONE", "FAILED", "CREATED", "DUE"];
    let mut table = output::Table::new(&head);
    for batch in batches {
        let counts = &batch.request_counts;
        table.row(&[
            batch.id.to_string(),
            batch.status.clone(),
            counts.total.to_string(),
            counts.completed.to_string(),
            counts.failed.to_string(),
            output::date(batch.created_at * 1_000),
            output::date(batch.expires_at.unwrap_or(0) * 1_000),
        ]);
    }
    table.print();
}

fn progress(batch: &openai::Batch) -> String {
    format!("{}: {}", batch.id, progress_counts(&batch.request_counts))
}

fn progress_counts(counts: &openai::Counts) -> String {
    format!(
        "{} of {} items done, {} failed",
        counts.completed + counts.failed,
        counts.total,
        counts.failed
    )
}

fn multipart(filename: &str, bytes: &[u8]) -> http::Content {
    let boundary = format!("{BOUNDARY_PREFIX}{}", ulid::Ulid::new());
    let filename = filename.replace(['"', '\r', '\n'], "_");
    let mut body = Vec::with_capacity(bytes.len() + 512);
    let head = format!(
        "--{boundary}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{boundary}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"{filename}\"\r\n\
         Content-Type: application/jsonl\r\n\r\n"
    );
    body.extend_from_slice(head.as_bytes());
    body.extend_from_slice(bytes);
    body.extend_from_slice(format!("\r\n--{boundary}--\r\n").as_bytes());
    http::Content {
        content_type: format!("multipart/form-data; boundary={boundary}"),
        bytes: Bytes::from(body),
    }
}
