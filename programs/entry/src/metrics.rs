//! Metrics of the entry program.

use std::sync::LazyLock;

use bw_base::metrics;
use bw_wire::refusal;

/// Upper bounds of latency histograms, in seconds.
const LATENCY_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Refusals by reason and verdict.
pub static REFUSALS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_refusals_total",
        "Refused requests",
        &["reason", "verdict"],
    )
});

/// Requests that waited for a confirmation of the configuration, by outcome.
pub static CONFIRMATIONS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_confirmations_total",
        "Requests for unknown names that waited for the newest configuration",
        &["outcome"],
    )
});

/// Retries by the failure that caused them.
pub static RETRIES: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_retries_total",
        "Attempts after the first one, by the failure of the earlier attempt",
        &["cause"],
    )
});

/// Completely answered requests by path.
pub static ANSWERS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_answers_total",
        "Completely answered requests",
        &["path"],
    )
});

/// Requests whose caller disconnected before the response was complete, by path.
pub static ABANDONED: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_abandoned_total",
        "Requests whose caller left before the answer was complete",
        &["path"],
    )
});

/// Hedges by outcome.
pub static HEDGES: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_hedges_total",
        "Second attempts that were started before the first one failed",
        &["outcome"],
    )
});

/// Strikes: requests that were in flight on a backend server that crashed, by
/// whether they ran isolated.
pub static STRIKES: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_strikes_total",
        "Requests that were in flight on a backend server that crashed",
        &["isolated"],
    )
});

/// Ejections of backend servers by reason.
pub static EJECTIONS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_ejections_total",
        "Backend servers that were taken out of use as unhealthy",
        &["reason"],
    )
});

/// Events for the control thread that were dropped because its queue was full,
/// by kind of event.
pub static DROPPED_EVENTS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_dropped_events_total",
        "Events for the control thread that found its queue full",
        &["event"],
    )
});

/// Exchanges with the control leader by outcome.
pub static SYNCS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_syncs_total",
        "Exchanges with the control leader",
        &["outcome"],
    )
});

/// Time from the arrival of a request to its first token in seconds, by path.
pub static FIRST_TOKEN: LazyLock<prometheus::HistogramVec> = LazyLock::new(|| {
    metrics::histogram(
        "bw_entry_first_token_seconds",
        "Time from the arrival of an online request to its first token",
        &["path"],
        LATENCY_S,
    )
});

/// Time between two tokens in seconds, by path.
pub static BETWEEN_TOKENS: LazyLock<prometheus::HistogramVec> = LazyLock::new(|| {
    metrics::histogram(
        "bw_entry_between_tokens_seconds",
        "Time between two tokens of an online request",
        &["path"],
        LATENCY_S,
    )
});

/// Requests in progress by class.
pub static IN_FLIGHT: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_entry_in_flight",
        "Requests that are being handled",
        &["class"],
    )
});

/// Online requests that wait for admission, by model or service.
pub static QUEUED: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_entry_queued",
        "Online requests that wait for admission",
        &["service"],
    )
});

/// Known backend servers by state.
pub static REPLICAS: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_entry_replicas",
        "Known backend servers by state",
        &["entry", "state"],
    )
});

/// Configuration revision that this entry VM serves; 0 without one.
pub static REVISION: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_entry_config_revision",
        "Configuration revision in force",
        &["entry"],
    )
});

/// Remaining time of the configuration lease in milliseconds.
pub static LEASE_MS: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_entry_config_lease_remaining_milliseconds",
        "Remaining time of the configuration lease",
        &["entry"],
    )
});

/// Counts a refusal by reason and verdict in [`REFUSALS`].
pub fn count_refusal(refusal: &refusal::Refusal) {
    let reason: &str = refusal.reason.into();
    let verdict: &str = refusal.verdict.into();
    REFUSALS.with_label_values(&[reason, verdict]).inc();
}
