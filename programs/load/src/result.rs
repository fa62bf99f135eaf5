//! Results of runs and their summary.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::scenario;

/// Highest latency that histograms hold, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant digits of histograms.
const DIGITS: u8 = 3;

/// A histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latency(hdrhistogram::Histogram<u64>);

impl Default for Latency {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never, as the constants are valid bounds.
    fn default() -> Self {
        let histogram = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
        Latency(histogram.expect("valid bounds"))
    }
}

impl Latency {
    /// Adds a latency.
    pub fn record(&mut self, latency: time::Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros.max(1));
    }

    /// Adds the latencies of another histogram.
    pub fn add(&mut self, other: &Latency) {
        // Both have the same bounds, so nothing can be out of range.
        let _ = self.0.add(&other.0);
    }

    /// Returns a quantile in milliseconds; `None` without latencies.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(quantile) as f64 / 1_000.0)
    }
}

/// The result of one run; one line of the output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: scenario::Policy,
    /// The seed.
    pub seed: u64,
    /// Online requests that were due in the measured time.
    pub online_sent: u64,
    /// Median time from the intended send time to the first token.
    pub online_ttft_p50_ms: Option<f64>,
    /// 99th percentile of the same.
    pub online_ttft_p99_ms: Option<f64>,
    /// 95th percentile of the mean time between tokens of a request.
    pub online_tpot_p95_ms: Option<f64>,
    /// Online requests of the whole run that were refused.
    pub online_refused: u64,
    /// Refusals by code.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Online requests that callers sent again after the connection broke.
    pub online_resent: u64,
    /// Share of the engines' sequence places that online requests took.
    pub online_slot_share: f64,
    /// Batch items completed in the measured time.
    pub batch_items_per_s: f64,
    /// Batch items completed over the whole run.
    pub batch_completed: u64,
    /// Batch items that ended with an error.
    pub batch_failed: u64,
    /// Requests and items without a whole own answer and without a refusal.
    pub lost: u64,
    /// Items with two results, and requests that ran twice although they are
    /// not repeatable.
    pub doubled: u64,
    /// Requests that were refused as not run and did run.
    pub false_not_run: u64,
    /// Engines that a poisonous request crashed.
    pub crashes: u64,
    /// Poisonous requests that were refused.
    pub poison_refused: u64,
    /// Plain service calls that were answered.
    pub service_answered: u64,
    /// Plain service calls that were refused.
    pub service_refused: u64,
    /// CPU time of a control replica by wall time, in percent of a core; the mean
    /// over the replicas, `None` when there are none.
    pub control_cpu_percent: Option<f64>,
    /// The same of an entry VM, traffic included.
    pub entry_cpu_percent: Option<f64>,
}

/// The median of a figure over seeds, with the lowest and highest value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The lowest value.
    pub min: f64,
    /// The highest value.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of values; `None` without values.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Spread> {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let (min, max) = (*values.first()?, *values.last()?);
        let middle = values.len() / 2;
        let median = if values.len().is_multiple_of(2) {
            f64::midpoint(values[middle - 1], values[middle])
        } else {
            values[middle]
        };
        Some(Spread { median, min, max })
    }
}

/// Figures of one policy over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicySummary {
    /// See [`Line::online_ttft_p50_ms`].
    pub online_ttft_p50_ms: Option<Spread>,
    /// See [`Line::online_ttft_p99_ms`].
    pub online_ttft_p99_ms: Option<Spread>,
    /// See [`Line::online_tpot_p95_ms`].
    pub online_tpot_p95_ms: Option<Spread>,
    /// See [`Line::batch_items_per_s`].
    pub batch_items_per_s: Option<Spread>,
    /// Sum over the seeds.
    pub online_refused: u64,
    /// Sum over the seeds.
    pub lost: u64,
    /// Sum over the seeds.
    pub doubled: u64,
    /// Sum over the seeds.
    pub false_not_run: u64,
}

/// The summary of a scenario. Ratios are taken between runs of one seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario.
    pub summary: String,
    /// Figures by policy.
    pub policies: collections::BTreeMap<scenario::Policy, PolicySummary>,
    /// First-token p99 of each policy by that of the online load alone.
    pub ttft_p99_to_online_alone: collections::BTreeMap<scenario::Policy, Spread>,
    /// First-token p99 with faults by that without them, both through the entry VMs.
    pub ttft_p99_to_healthy: Option<Spread>,
    /// Batch items a second of each policy by the capacity that online leaves
    /// idle: those of batch alone times the share of places without online work.
    pub batch_to_idle: collections::BTreeMap<scenario::Policy, Spread>,
    /// Batch items a second of each policy by those of `fcfs`.
    pub batch_to_fcfs: collections::BTreeMap<scenario::Policy, Spread>,
}

impl Summary {
    /// Summarizes the lines of one scenario.
    pub fn new(scenario: &str, lines: &[Line]) -> Summary {
        let policies: collections::BTreeSet<_> = lines.iter().map(|line| line.policy).collect();
        let p99 = |line: &Line| line.online_ttft_p99_ms;
        let batch = |line: &Line| Some(line.batch_items_per_s);
        let idle = |line: &Line| {
            let online = find(lines, scenario::Policy::OnlineAlone, line.seed)?;
            Some(line.batch_items_per_s * (1.0 - online.online_slot_share))
        };
        let alone = scenario::Policy::OnlineAlone;
        let healthy = scenario::Policy::BilberrywindHealthy;
        let each = |figure: &dyn Fn(&Line) -> Option<f64>,
                    base: scenario::Policy,
                    base_figure: &dyn Fn(&Line) -> Option<f64>,
                    wanted: &dyn Fn(scenario::Policy) -> bool| {
            let wanted = policies.iter().filter(|policy| wanted(**policy));
            let ratios = wanted.filter_map(|policy| {
                let spread = ratio(lines, *policy, figure, base, base_figure)?;
                Some((*policy, spread))
            });
            ratios.collect()
        };
        Summary {
            summary: scenario.to_owned(),
            policies: policies
                .iter()
                .map(|policy| (*policy, summarize(lines, *policy)))
                .collect(),
            ttft_p99_to_online_alone: each(&p99, alone, &p99, &|policy| {
                policy.has_online() && policy != alone
            }),
            ttft_p99_to_healthy: ratio(lines, scenario::Policy::Bilberrywind, &p99, healthy, &p99),
            batch_to_idle: each(&batch, scenario::Policy::BatchAlone, &idle, &|policy| {
                policy.has_online() && policy.has_batch()
            }),
            batch_to_fcfs: each(&batch, scenario::Policy::Fcfs, &batch, &|policy| {
                policy.has_online() && policy.has_batch() && policy != scenario::Policy::Fcfs
            }),
        }
    }
}

fn find(lines: &[Line], policy: scenario::Policy, seed: u64) -> Option<&Line> {
    lines
        .iter()
        .find(|line| line.policy == policy && line.seed == seed)
}

fn ratio(
    lines: &[Line],
    policy: scenario::Policy,
    figure: &dyn Fn(&Line) -> Option<f64>,
    base: scenario::Policy,
    base_figure: &dyn Fn(&Line) -> Option<f64>,
) -> Option<Spread> {
    let lines_of = lines.iter().filter(|line| line.policy == policy);
    Spread::of(lines_of.filter_map(|line| {
        let base = base_figure(find(lines, base, line.seed)?)?;
        (base > 0.0).then_some(figure(line)? / base)
    }))
}

fn summarize(lines: &[Line], policy: scenario::Policy) -> PolicySummary {
    let of_policy: Vec<&Line> = lines.iter().filter(|line| line.policy == policy).collect();
    let spread = |figure: &dyn Fn(&Line) -> Option<f64>| {
        Spread::of(of_policy.iter().filter_map(|line| figure(line)))
    };
    let sum = |figure: &dyn Fn(&Line) -> u64| of_policy.iter().map(|line| figure(line)).sum();
    PolicySummary {
        online_ttft_p50_ms: spread(&|line| line.online_ttft_p50_ms),
        online_ttft_p99_ms: spread(&|line| line.online_ttft_p99_ms),
        online_tpot_p95_ms: spread(&|line| line.online_tpot_p95_ms),
        batch_items_per_s: spread(&|line| Some(line.batch_items_per_s)),
        online_refused: sum(&|line| line.online_refused),
        lost: sum(&|line| line.lost),
        doubled: sum(&|line| line.doubled),
        false_not_run: sum(&|line| line.false_not_run),
    }
}
