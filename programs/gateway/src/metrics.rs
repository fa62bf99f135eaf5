//! Metrics of the relay's processes.

use std::sync::LazyLock;

use bw_base::metrics;

/// Upper bounds of the latency histograms in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Requests by final status.
pub static REQUESTS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_requests_total",
        "Requests by final status.",
        &["status"],
    )
});

/// Refusals by reason.
pub static REFUSALS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_refusals_total",
        "Refusals by reason.",
        &["reason"],
    )
});

/// Retries by the reason of the failed attempt.
pub static RETRIES: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_retries_total",
        "Retries by reason.",
        &["reason"],
    )
});

/// Time to the head of the answer.
pub static FIRST_BYTE: LazyLock<prometheus::HistogramVec> = LazyLock::new(|| {
    metrics::histogram(
        "bw_gateway_first_byte_seconds",
        "Time from a request to the head of its answer.",
        &[],
        LATENCY_BUCKETS,
    )
});

/// Connections opened to backend servers.
pub static BACKEND_CONNECTIONS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_backend_connections_total",
        "Connections opened to backend servers by outcome.",
        &["outcome"],
    )
});

/// Batch runs by outcome.
pub static BATCH_RUNS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_batch_runs_total",
        "Batch runs by outcome.",
        &["outcome"],
    )
});

/// Trials of items under which backend servers crashed, by outcome.
pub static TRIALS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_trials_total",
        "Trials of items under which backend servers crashed, by outcome.",
        &["outcome"],
    )
});

/// Items that are tried before they run as others do.
pub static SUSPECT_ITEMS: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge(
        "bw_gateway_suspect_items",
        "Items that wait for a trial or are being tried.",
    )
});

/// Runs of a former leader by what became of them.
pub static ORPHANED_RUNS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_orphaned_runs_total",
        "Runs that a former leader left behind, by outcome.",
        &["outcome"],
    )
});

/// Batch items that are accepted and not listed.
pub static OPEN_ITEMS: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge("bw_gateway_open_items", "Items that are not listed yet.")
});

/// Questions about the newest configuration by outcome.
pub static CONFIRMATIONS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_confirmations_total",
        "Requests for which the leader was asked about the newest configuration, by outcome.",
        &["outcome"],
    )
});

/// The version of the configuration that this process acts on.
pub static CONFIGURATION_VERSION: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge(
        "bw_gateway_configuration_version",
        "Version of the configuration that this process acts on.",
    )
});

/// When the leader was heard from last.
pub static LEADER_HEARD_MS: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge(
        "bw_gateway_leader_heard_milliseconds",
        "Unix time in milliseconds at which news of the leader came last.",
    )
});

/// Frames between our processes that were dropped, by reason.
pub static FRAMES_DROPPED: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_frames_dropped_total",
        "Frames dropped by reason.",
        &["reason"],
    )
});
