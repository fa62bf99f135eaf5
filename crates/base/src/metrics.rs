//! Metrics in the default registry of the `prometheus` crate.

use prometheus::core;

/// Registers a counter with labels. If the name is taken, logs a warning and returns
/// a counter that is not exported.
///
/// # Panics
///
/// Panics if the name or a label is not valid.
pub fn counter(name: &str, help: &str, labels: &[&str]) -> prometheus::IntCounterVec {
    let counter = prometheus::IntCounterVec::new(prometheus::Opts::new(name, help), labels)
        .expect("valid metric name and labels");
    register(counter)
}

/// Registers a gauge with labels. If the name is taken, logs a warning and returns a
/// gauge that is not exported.
///
/// # Panics
///
/// Panics if the name or a label is not valid.
pub fn gauge(name: &str, help: &str, labels: &[&str]) -> prometheus::IntGaugeVec {
    let gauge = prometheus::IntGaugeVec::new(prometheus::Opts::new(name, help), labels)
        .expect("valid metric name and labels");
    register(gauge)
}

/// Registers a gauge without labels. If the name is taken, logs a warning and returns
/// a gauge that is not exported.
///
/// # Panics
///
/// Panics if the name is not valid.
pub fn plain_gauge(name: &str, help: &str) -> prometheus::IntGauge {
    let gauge = prometheus::IntGauge::new(name, help).expect("valid metric name");
    register(gauge)
}

/// Registers a histogram with labels; `buckets` are upper bounds in seconds. If the
/// name is taken, logs a warning and returns a histogram that is not exported.
///
/// # Panics
///
/// Panics if the name, a label or the buckets are not valid.
pub fn histogram(
    name: &str,
    help: &str,
    labels: &[&str],
    buckets: &[f64],
) -> prometheus::HistogramVec {
    let options = prometheus::HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let histogram = prometheus::HistogramVec::new(options, labels)
        .expect("valid metric name, labels and buckets");
    register(histogram)
}

/// Renders all metrics in the Prometheus text format.
pub fn render() -> String {
    let families = prometheus::gather();
    prometheus::TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_default()
}

/// Registers a collector. A name can be registered only once in a process; programs
/// keep their metrics in statics, so that roles embedded in one process share them.
fn register<C: core::Collector + Clone + 'static>(collector: C) -> C {
    if let Err(error) = prometheus::register(Box::new(collector.clone())) {
        log::warn!("metric not registered: {error}");
    }
    collector
}
