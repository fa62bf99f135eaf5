//! Memory of an entry process with many open streams.

use std::{collections, time};

use anyhow::Context;
use http_body_util::{BodyExt, Full};
use nix::sys::resource;
use serde::Serialize;
use tokio::task;

use crate::{call, cpu, run};

/// Streams that are opened at once.
const OPENING: usize = 100;
/// File descriptors that the tool needs besides the streams.
const OTHER_FILES: u64 = 200;
/// How long opening one stream may take.
const OPEN_LIMIT: time::Duration = time::Duration::from_secs(30);

/// How streams are opened.
#[derive(Clone, Debug)]
pub struct Plan {
    /// `IP:port` of the entry VM.
    pub address: String,
    /// The entry process.
    pub pid: u32,
    /// Streams to open.
    pub count: u32,
    /// How long they stay open, in seconds.
    pub hold_s: u32,
    /// The model.
    pub model: String,
    /// Bearer token.
    pub token: Option<String>,
}

/// The measured memory.
#[derive(Clone, Debug, Serialize)]
pub struct Memory {
    /// Streams that were to be opened.
    pub wanted: u32,
    /// Streams that answered 200.
    pub opened: u32,
    /// Why the others were not opened: status or error, with their number.
    pub not_opened: collections::BTreeMap<String, u32>,
    /// Streams that were still open when memory was read.
    pub open: u32,
    /// Resident memory before, in megabytes.
    pub before_mb: f64,
    /// Resident memory with all streams open, in megabytes.
    pub open_mb: f64,
    /// Highest resident memory of the process, in megabytes.
    pub peak_mb: f64,
}

/// Opens streams, keeps them open and reads the memory of the entry process.
///
/// # Errors
///
/// Fails when there are not enough file descriptors or no such process.
pub async fn measure(plan: &Plan) -> anyhow::Result<Memory> {
    raise_file_limit(u64::from(plan.count) + OTHER_FILES)?;
    let read = || cpu::resident_kb(plan.pid).with_context(|| format!("no process {}", plan.pid));
    let (before_kb, _) = read()?;
    let client = call::Client::new();
    let mut streams = task::JoinSet::new();
    let opening = std::sync::Arc::new(tokio::sync::Semaphore::new(OPENING));
    let (opened, mut count) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..plan.count {
        let permit = std::sync::Arc::clone(&opening).acquire_owned().await?;
        let (client, plan, opened) = (client.clone(), plan.clone(), opened.clone());
        streams.spawn(async move {
            let stream = tokio::time::timeout(OPEN_LIMIT, open(&client, &plan, number)).await;
            drop(permit);
            let stream = stream.unwrap_or_else(|_| Err("timeout".to_owned()));
            // The receiver lives until all streams are counted.
            let _ = opened.send(stream.as_ref().err().cloned());
            let Ok(mut body) = stream else {
                return;
            };
            while let Some(Ok(_)) = body.frame().await {}
        });
    }
    // Opening has ended when all permits are back.
    let _all = opening.acquire_many(OPENING as u32).await?;
    tokio::time::sleep(time::Duration::from_secs(u64::from(plan.hold_s))).await;
    while streams.try_join_next().is_some() {}
    let open = u32::try_from(streams.len()).unwrap_or(u32::MAX);
    let (open_kb, peak_kb) = read()?;
    streams.shutdown().await;
    let mut answered = 0;
    let mut not_opened = collections::BTreeMap::new();
    while let Ok(error) = count.try_recv() {
        match error {
            None => answered += 1,
            Some(error) => *not_opened.entry(error).or_insert(0) += 1,
        }
    }
    Ok(Memory {
        wanted: plan.count,
        opened: answered,
        not_opened,
        open,
        before_mb: before_kb as f64 / 1_024.0,
        open_mb: open_kb as f64 / 1_024.0,
        peak_mb: peak_kb as f64 / 1_024.0,
    })
}

async fn open(
    client: &call::Client,
    plan: &Plan,
    number: u32,
) -> Result<hyper::body::Incoming, String> {
    let body = serde_json::json!({
        "model": plan.model,
        "messages": [{"role": "user", "content": format!("stream {number}")}],
        "max_tokens": 1_000,
        "ignore_eos": true,
        "stream": true,
    });
    let mut request = hyper::Request::post(format!("http://{}{}", plan.address, run::CHAT_PATH))
        .header("content-type", "application/json");
    if let Some(token) = &plan.token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Full::from(body.to_string()));
    let request = request.map_err(|error| error.to_string())?;
    let response = client.send(request).await;
    let response = response.map_err(|error| error.to_string())?;
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        status => Err(status.to_string()),
    }
}

fn raise_file_limit(needed: u64) -> anyhow::Result<()> {
    let (soft, hard) = resource::getrlimit(resource::Resource::RLIMIT_NOFILE)?;
    if soft >= needed {
        return Ok(());
    }
    anyhow::ensure!(hard >= needed, "{needed} open files needed, {hard} allowed");
    resource::setrlimit(resource::Resource::RLIMIT_NOFILE, needed, hard)?;
    Ok(())
}
