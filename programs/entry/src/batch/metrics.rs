//! Metrics of the batch dispatcher.

use std::sync::LazyLock;

use bw_base::metrics;

/// Items with an outcome, by kind of outcome.
pub static ITEMS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_batch_items_total",
        "Batch items that got an outcome",
        &["outcome"],
    )
});

/// Items that were requeued, by reason.
pub static REQUEUED: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_batch_requeued_total",
        "Batch items that were put back to run again",
        &["reason"],
    )
});

/// Trials of items under which backend servers crashed, by placement.
pub static TRIALS: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_batch_trials_total",
        "Trials of batch items under which backend servers crashed",
        &["placement"],
    )
});

/// Chunks that were dropped before all their items had an outcome, by reason.
pub static DROPPED: LazyLock<prometheus::IntCounterVec> = LazyLock::new(|| {
    metrics::counter(
        "bw_entry_batch_chunks_dropped_total",
        "Leased chunks that were dropped before they were done",
        &["reason"],
    )
});

/// Items that this entry VM holds, by state: queued or running.
pub static STATE: LazyLock<prometheus::IntGaugeVec> = LazyLock::new(|| {
    metrics::gauge(
        "bw_entry_batch_items",
        "Batch items held by this entry VM",
        &["entry", "state"],
    )
});
