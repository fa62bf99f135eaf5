//! Prometheus metrics of the entry and control programs.

use std::sync::LazyLock;

use bw_base::metrics;

/// Upper bounds of the latency histograms in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Counts callers' requests by the HTTP status of the response.
pub static REQUESTS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_requests_total",
        "Requests by final status.",
        &["status"],
    )
});

/// Counts requests that failed or were refused, by reason.
pub static REFUSALS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_refusals_total",
        "Refusals by reason.",
        &["reason"],
    )
});

/// Counts retries by the reason why the attempt before failed.
pub static RETRIES: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_retries_total",
        "Retries by reason.",
        &["reason"],
    )
});

/// Seconds from a request to the head of its response.
pub static FIRST_BYTE: LazyLock<prometheus::HistogramVec> = LazyLock::new(|| {
    metrics::histogram(
        "bw_gateway_first_byte_seconds",
        "Time from a request to the head of its answer.",
        &[],
        LATENCY_BUCKETS,
    )
});

/// Counts connections to backend servers by outcome: `opened`, `failed`, or
/// `dropped` for an idle one that the backend server had closed.
pub static BACKEND_CONNECTIONS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_backend_connections_total",
        "Connections opened to backend servers by outcome.",
        &["outcome"],
    )
});

/// Counts ended runs of batch items by outcome, and preemptions as `preempted`.
pub static BATCH_RUNS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_batch_runs_total",
        "Batch runs by outcome.",
        &["outcome"],
    )
});

/// Counts trials by outcome. A trial is an isolated run of an item that is
/// suspected of crashing backend servers.
pub static TRIALS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_trials_total",
        "Trials of items under which backend servers crashed, by outcome.",
        &["outcome"],
    )
});

/// Counts what happened to callers' requests that are suspected of crashing backend
/// servers: a `strike`, a `trial`, or that one was `cleared`.
pub static SUSPECTS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_suspects_total",
        "Strikes against callers' requests, trials and clearings.",
        &["event"],
    )
});

/// Counts calls for a trial of a refused request, by the leader's verdict.
pub static TRIAL_VERDICTS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_request_trials_total",
        "Calls for a trial of a refused request, by verdict.",
        &["verdict"],
    )
});

/// Members of the group of control replicas as the leader sees them, by their role. The
/// group bears as many further losses as living voters exceed half of all voters.
pub static MEMBERS: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_gateway_members",
        "Members of the group of control replicas, by role.",
        &["role"],
    )
});

/// Suspected items whose trial is pending or under way.
pub static SUSPECT_ITEMS: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge(
        "bw_gateway_suspect_items",
        "Items that wait for a trial or are being tried.",
    )
});

/// Counts runs that a former leader left behind, by the outcome of their
/// migration.
pub static ORPHANED_RUNS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_orphaned_runs_total",
        "Runs that a former leader left behind, by outcome.",
        &["outcome"],
    )
});

/// Batch items that were accepted and have no result yet.
pub static OPEN_ITEMS: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge("bw_gateway_open_items", "Items that are not listed yet.")
});

/// Items that wait, by the reason why they do not run now.
pub static WAITING_ITEMS: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_gateway_waiting_items",
        "Items that wait for a run, by reason.",
        &["reason"],
    )
});

/// The longest time for which an item has waited, by the reason why it does not run now.
pub static OLDEST_WAIT_MS: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_gateway_oldest_wait_milliseconds",
        "Longest current wait of an item for a run, by reason.",
        &["reason"],
    )
});

/// Counts items that waited beyond their bound although there was room for them, by reason.
pub static OVERDUE_ITEMS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_overdue_items_total",
        "Items that waited beyond their bound although backend servers had room, by reason.",
        &["reason"],
    )
});

/// Counts requests for which the leader was asked for the newest configuration
/// version, by outcome.
pub static CONFIRMATIONS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_confirmations_total",
        "Requests for which the leader was asked about the newest configuration, by outcome.",
        &["outcome"],
    )
});

/// The version of the configuration that this process uses.
pub static CONFIGURATION_VERSION: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge(
        "bw_gateway_configuration_version",
        "Version of the configuration that this process acts on.",
    )
});

/// The Unix time in milliseconds of the last update from the leader.
pub static LEADER_HEARD_MS: LazyLock<prometheus::IntGauge> = LazyLock::new(|| {
    metrics::plain_gauge(
        "bw_gateway_leader_heard_milliseconds",
        "Unix time in milliseconds at which news of the leader came last.",
    )
});

/// Counts dropped frames between the relay's processes, by reason.
pub static FRAMES_DROPPED: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_gateway_frames_dropped_total",
        "Frames dropped by reason.",
        &["reason"],
    )
});
