//! Scenarios, the generated load, the choice of servers and the summary.

use std::{collections::HashSet, path::Path};

use bw_base::settings;
use bw_load::{
    policy::Picker,
    result::{Line, Spread, Summary},
    scenario::{Policy, Scenario, is_loopback},
    workload,
};
use rstest::rstest;

fn parse(text: &str) -> Result<Scenario, settings::Error> {
    settings::parse(Path::new("test.yaml"), text)
}

/// Guards against a shipped scenario that does not load.
#[rstest]
fn shipped_scenarios(
    #[values("vatelin", "mwakilema")] deployment: &str,
    #[values(
        "steady",
        "burst",
        "storm",
        "frozen",
        "third-lost",
        "rolling",
        "stale-load",
        "poison",
        "entry-lost",
        "prefix"
    )]
    case: &str,
) {
    let file = format!("scenarios/{deployment}-{case}.yaml");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    let scenario: Scenario = settings::load(&file).expect("a valid scenario");
    assert_eq!(scenario.name, format!("{deployment}-{case}"));
    assert_eq!(scenario.engine_count(), 12);
}

/// Guards against scenarios that leave loopback, run without bounds, or ask for
/// what is not there.
#[rstest]
#[case::other_machine("processes: {engines: ['192.0.2.1:80']}", "processes.engines.0")]
#[case::host_name("processes: {engines: ['localhost:80']}", "processes.engines.0")]
#[case::no_engines("replicas: 0", "replicas")]
#[case::too_long("replicas: 1\nmeasure_ms: 3600000", "measure_ms")]
#[case::too_many(
    "replicas: 1\nonline: {requests_per_s: 1000000}",
    "online.requests_per_s"
)]
#[case::too_many_items("replicas: 1\nbatch: {items: 10000000}", "batch.items")]
#[case::too_many_processes("replicas: 65", "replicas")]
#[case::no_seeds("replicas: 1\nseeds: []", "seeds")]
#[case::no_entries("replicas: 1\npolicies: [bilberrywind]", "entries")]
#[case::no_such_target(
    "replicas: 2\nfaults: [{at_ms: 0, targets: [2], action: {kill: {}}}]",
    "faults.0.targets"
)]
#[case::kill_of_a_running_process(
    "processes: {engines: ['127.0.0.1:80']}\nfaults: [{at_ms: 0, targets: [0], action: {kill: {}}}]",
    "faults.0.action"
)]
#[case::kill_of_a_thread(
    "replicas: 1\nentries: 1\nfaults: [{at_ms: 0, targets: [0], action: kill_entry}]",
    "faults.0.action"
)]
#[case::wrong_range(
    "replicas: 1\nbatch: {prompt_tokens: {min: 5, max: 4}}",
    "batch.prompt_tokens"
)]
#[case::unknown_field("replicas: 1\nno_such_field: 1", "no_such_field")]
#[case::unknown_engine_field("replicas: 1\nengine: {no_such_field: 1}", "engine.no_such_field")]
fn wrong_scenarios(#[case] text: &str, #[case] field: &str) {
    let error = parse(&format!("name: test\n{text}")).expect_err("a wrong scenario");
    let fields: Vec<_> = error
        .problems
        .iter()
        .map(|problem| problem.field.as_str())
        .collect();
    assert!(fields.contains(&field), "{fields:?}");
}

#[rstest]
#[case("127.0.0.1:80", true)]
#[case("127.9.9.9:80", true)]
#[case("[::1]:80", true)]
#[case("10.0.0.1:80", false)]
#[case("127.0.0.1", false)]
#[case("example.com:80", false)]
fn loopback(#[case] address: &str, #[case] expected: bool) {
    assert_eq!(is_loopback(address), expected);
}

const LOAD: &str = "name: test
replicas: 4
warmup_ms: 1000
measure_ms: 9000
online:
  requests_per_s: 50
  bursts: [{from_ms: 4000, to_ms: 6000, requests_per_s: 200}]
batch: {items: 100}
";

/// Guards against load that depends on anything but the seed, which would make
/// policies incomparable, and against requests that cannot be told apart.
#[test]
fn load_depends_on_the_seed_only() {
    let scenario = parse(LOAD).expect("valid");
    let bodies = |seed| -> Vec<_> {
        let online = workload::online(&scenario, seed, 1.0);
        let online = online.into_iter().map(|arrival| arrival.request);
        let all = online.chain(workload::batch(&scenario, seed));
        all.map(|request| request.body.to_string()).collect()
    };
    assert_eq!(bodies(1), bodies(1));
    let all: Vec<_> = bodies(1).into_iter().chain(bodies(2)).collect();
    let distinct: HashSet<_> = all.iter().collect();
    assert_eq!(distinct.len(), all.len());
}

/// Guards against arrivals that miss the wanted rates or are out of order.
#[test]
fn arrivals_follow_the_rates() {
    let scenario = parse(LOAD).expect("valid");
    let arrivals = workload::online(&scenario, 7, 1.0);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    let within = |from, to| {
        let times = arrivals.iter().map(|arrival| arrival.at.as_millis());
        times.filter(|at| (from..to).contains(at)).count()
    };
    // Four standard deviations of a Poisson count around the mean.
    assert!((320..480).contains(&within(4_000, 6_000)));
    assert!((320..480).contains(&(within(0, 4_000) + within(6_000, 10_000))));
}

/// Guards against a baseline that is not what its name says.
#[rstest]
#[case(Policy::RoundRobin, &[0, 1, 2, 0, 1, 2])]
#[case(Policy::Direct, &[0, 0, 0, 0, 0, 0])]
#[case(Policy::Fcfs, &[0, 1, 2, 0, 1, 2])]
fn picks(#[case] policy: Policy, #[case] expected: &[usize]) {
    let addresses = ["a", "b", "c"].map(str::to_owned);
    let picker = Picker::new(policy, &addresses);
    let picked: Vec<_> = (0..6).filter_map(|_| picker.pick(None)).collect();
    let indexes: Vec<_> = picked.iter().map(|picked| picked.index).collect();
    assert_eq!(indexes, expected);
}

/// Guards against a least-in-flight choice that forgets finished requests, and
/// a resend to the server that just failed.
#[test]
fn least_in_flight() {
    let addresses = ["a", "b", "c"].map(str::to_owned);
    let picker = Picker::new(Policy::Fcfs, &addresses);
    let mut picked: Vec<_> = (0..3).filter_map(|_| picker.pick(None)).collect();
    picked.retain(|picked| picked.index != 1);
    assert_eq!(picker.pick(None).map(|picked| picked.index), Some(1));
    assert_ne!(picker.pick(Some(1)).map(|picked| picked.index), Some(1));
    picker.set_usable(1, false);
    assert_ne!(picker.pick(None).map(|picked| picked.index), Some(1));
}

fn line(policy: Policy, seed: u64, p99: f64, batch: f64, share: f64) -> Line {
    serde_json::from_value(serde_json::json!({
        "scenario": "test", "policy": policy, "seed": seed, "online_sent": 1,
        "online_ttft_p50_ms": p99 / 2.0, "online_ttft_p99_ms": p99, "online_tpot_p95_ms": 1.0,
        "online_refused": 1, "refusals": {}, "online_resent": 0, "online_slot_share": share,
        "batch_items_per_s": batch, "batch_completed": 0, "batch_failed": 0, "lost": 1,
        "doubled": 0, "false_not_run": 0, "crashes": 0, "poison_refused": 0,
        "control_cpu_percent": null, "entry_cpu_percent": null, "service_answered": 0,
        "service_refused": 0,
    }))
    .expect("a line")
}

/// Guards against ratios between runs of different seeds and wrong medians.
#[test]
fn summary() {
    let lines = [
        line(Policy::OnlineAlone, 1, 10.0, 0.0, 0.5),
        line(Policy::OnlineAlone, 2, 20.0, 0.0, 0.2),
        line(Policy::BatchAlone, 1, 0.0, 100.0, 0.0),
        line(Policy::BatchAlone, 2, 0.0, 100.0, 0.0),
        line(Policy::Bilberrywind, 1, 11.0, 45.0, 0.0),
        line(Policy::Bilberrywind, 2, 24.0, 80.0, 0.0),
        line(Policy::BilberrywindHealthy, 2, 12.0, 80.0, 0.0),
    ];
    let summary = Summary::new("test", &lines);
    let close = |spread: Option<Spread>, expected: [f64; 3]| {
        let spread = spread.expect("a ratio");
        let found = [spread.median, spread.min, spread.max];
        let near = found
            .iter()
            .zip(expected)
            .all(|(found, expected)| (found - expected).abs() < 1e-9);
        assert!(near, "{found:?}");
    };
    let p99 = &summary.ttft_p99_to_online_alone;
    close(p99.get(&Policy::Bilberrywind).copied(), [1.15, 1.1, 1.2]);
    close(
        summary.batch_to_idle.get(&Policy::Bilberrywind).copied(),
        [0.95, 0.9, 1.0],
    );
    close(summary.ttft_p99_to_healthy, [2.0, 2.0, 2.0]);
    assert!(!summary.batch_to_idle.contains_key(&Policy::BatchAlone));
    assert_eq!(summary.policies[&Policy::Bilberrywind].lost, 2);
}
