//! The rate limit of the weight store across a restart of control.

mod fleet;

use std::time;

use bw_wire::intent;

/// Size of the model, in megabytes; each order to load it fetches as much.
const MODEL_MB: u64 = 1_000;
/// Declared rate, in megabytes a second. One order in ten seconds; a restart and
/// the wait of a new leader take less.
const RATE_MB_PER_S: u64 = 100;
/// Longest time from the entry of an order in the log to its arrival, which the
/// order's time limit of 0.5 s bounds.
const SLACK: time::Duration = time::Duration::from_secs(2);
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// When an order arrived: after the start of the last look without it, and
/// before the end of the first look with it.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    after: time::Instant,
    before: time::Instant,
}

/// Guards against a budget that is full again after all control replicas were
/// killed and started, so that engines fetch more than the declared rate.
#[tokio::test(flavor = "multi_thread")]
async fn fetches_stay_within_the_rate_over_a_restart_of_all_control_replicas() {
    let mut fleet = fleet::Builder {
        entries: 1,
        engines: 3,
        empty_engines: true,
        ..fleet::Builder::default()
    }
    .start_undeclared()
    .await;
    let mut intent = intent::Intent::default();
    intent.weight_store = intent::WeightStore {
        mb_per_s: RATE_MB_PER_S,
        burst_mb: MODEL_MB,
    };
    let model = intent::Model {
        deployment: "engines".into(),
        replicas: 3,
        min_ready: 0,
        size_mb: MODEL_MB,
        ..intent::Model::default()
    };
    intent.models.insert(fleet::MODEL.into(), model);
    let deployment = intent::Deployment {
        checks_fencing: true,
    };
    intent.deployments.insert("engines".into(), deployment);
    fleet.apply("setup", intent).await.expect("revision");

    let mut arrivals = Vec::new();
    wait_for_orders(&fleet, &mut arrivals, 1).await;
    for control in &mut fleet.controls {
        control.take().expect("replica").kill();
    }
    for index in 0..3 {
        fleet.start_control(index);
    }
    wait_for_orders(&fleet, &mut arrivals, 2).await;

    for (first, start) in arrivals.iter().enumerate() {
        for (last, end) in arrivals.iter().enumerate().skip(first) {
            let fetched = MODEL_MB * (last - first + 1) as u64;
            let window = end.before.duration_since(start.after) + SLACK;
            let allowed = MODEL_MB as f64 + RATE_MB_PER_S as f64 * window.as_secs_f64();
            assert!(
                fetched as f64 <= allowed,
                "{fetched} MB within {window:?}, {allowed} MB are allowed\n{}",
                fleet.logs()
            );
        }
    }
}

/// Waits until so many orders have arrived at all engines, and notes when.
async fn wait_for_orders(fleet: &fleet::Fleet, arrivals: &mut Vec<Arrival>, count: usize) {
    let start = time::Instant::now();
    let mut after = start;
    while arrivals.len() < count {
        let look = time::Instant::now();
        let mut total = 0;
        for engine in 0..fleet.engines.len() {
            total += fleet.orders(engine).await.len();
        }
        let before = time::Instant::now();
        arrivals.resize(total.max(arrivals.len()), Arrival { after, before });
        after = look;
        assert!(
            start.elapsed() < fleet::LIMIT,
            "{total} of {count} orders\n{}",
            fleet.logs()
        );
        tokio::time::sleep(PAUSE).await;
    }
}
