//! What an entry VM adds to the time to the first token.

use std::{sync, time};

use serde::Serialize;
use tokio::task;

use crate::{call, pace, result, run, workload};

/// How the overhead is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// `IP:port` of the engine.
    pub direct: String,
    /// `IP:port` of the entry VM.
    pub entry: String,
    /// The model.
    pub model: String,
    /// Bearer token for the entry VM.
    pub token: Option<String>,
    /// Requests a second.
    pub rate: u32,
    /// Blocks of each kind; they alternate, so that both see the same machine.
    pub blocks: u32,
    /// Length of a block, in seconds.
    pub block_s: u32,
}

/// The measured overhead.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Requests of each kind.
    pub requests: u64,
    /// Requests without a whole answer, both kinds.
    pub failed: u64,
    /// Median to the first token, straight to the engine.
    pub direct_p50_ms: Option<f64>,
    /// 99th percentile of the same.
    pub direct_p99_ms: Option<f64>,
    /// Median to the first token, through the entry VM.
    pub entry_p50_ms: Option<f64>,
    /// 99th percentile of the same.
    pub entry_p99_ms: Option<f64>,
    /// 99th percentile through the entry VM less that of the direct calls.
    pub added_p99_ms: Option<f64>,
}

#[derive(Default)]
struct Side {
    ttft: result::Latency,
    failed: u64,
}

/// Measures in alternating blocks. The first block of each kind opens the
/// connections and is not counted.
pub async fn measure(plan: &Plan) -> Overhead {
    let client = call::Client::new();
    let mut direct = Side::default();
    let mut entry = Side::default();
    for block in 0..=plan.blocks {
        for (name, address, side) in [
            ("direct", &plan.direct, &mut direct),
            ("entry", &plan.entry, &mut entry),
        ] {
            let tag = format!("overhead-{name}-{block}");
            let mut measured = Side::default();
            send(plan, &client, address, &tag, &mut measured).await;
            if block > 0 {
                side.ttft.add(&measured.ttft);
                side.failed += measured.failed;
            }
        }
    }
    let added = entry
        .ttft
        .quantile_ms(0.99)
        .zip(direct.ttft.quantile_ms(0.99));
    Overhead {
        requests: u64::from(plan.rate) * u64::from(plan.block_s) * u64::from(plan.blocks),
        failed: direct.failed + entry.failed,
        direct_p50_ms: direct.ttft.quantile_ms(0.5),
        direct_p99_ms: direct.ttft.quantile_ms(0.99),
        entry_p50_ms: entry.ttft.quantile_ms(0.5),
        entry_p99_ms: entry.ttft.quantile_ms(0.99),
        added_p99_ms: added.map(|(entry, direct)| entry - direct),
    }
}

async fn send(plan: &Plan, client: &call::Client, address: &str, tag: &str, side: &mut Side) {
    let interval = time::Duration::from_secs(1) / plan.rate.max(1);
    let count = u64::from(plan.rate) * u64::from(plan.block_s);
    let arrivals = workload::even(&plan.model, count, interval, tag);
    let items = arrivals
        .into_iter()
        .map(|arrival| (arrival.at, arrival.request));
    let mut pacer = pace::Pacer::new(time::Instant::now(), items.collect());
    let shared = sync::Arc::new((client.clone(), address.to_owned(), plan.token.clone()));
    let mut open = task::JoinSet::new();
    while let Some((intended, request)) = pacer.next().await {
        let shared = sync::Arc::clone(&shared);
        open.spawn(async move {
            let target = call::Target {
                address: &shared.1,
                path: run::CHAT_PATH,
                request_id: &request.id,
                token: shared.2.as_deref(),
                limit: time::Duration::from_secs(10),
            };
            let seen = shared.0.complete(target, &request.body).await;
            let first = seen.first_token.filter(|_| seen.is_whole(&request.answer));
            first.map(|first| first.saturating_duration_since(intended))
        });
    }
    while let Some(ended) = open.join_next().await {
        match ended {
            Ok(Some(ttft)) => side.ttft.record(ttft),
            _ => side.failed += 1,
        }
    }
}
