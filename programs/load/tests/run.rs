//! Runs and traces against embedded engines.

use std::{io::BufReader, path::Path, time::Duration};

use bw_load::{
    call::{Client, End, Target},
    run,
    scenario::{Policy, Scenario},
    trace, workload,
};
use rstest::rstest;

/// A short scenario on fast engines.
const SHORT: &str = "name: short
replicas: 3
client_delay_us: 0
engine:
  batch: {step_base_us: 1000, step_per_sequence_us: 10, step_per_prefill_token_us: 1, max_sequences: 8}
warmup_ms: 200
measure_ms: 800
drain_ms: 10000
online: {requests_per_s: 50, deadline_ms: 10000}
batch: {items: 60, window: 4, finish: true}
";

fn scenario(more: &str) -> Scenario {
    let text = format!("{SHORT}{more}");
    bw_base::settings::parse(Path::new("test.yaml"), &text).expect("valid")
}

/// Guards against baselines that send the wrong load, lose requests or count
/// them wrongly.
#[rstest]
#[case(Policy::Fcfs, true, 60)]
#[case(Policy::RoundRobin, true, 60)]
#[case(Policy::OnlineAlone, true, 0)]
#[case(Policy::BatchAlone, false, 60)]
#[case(Policy::Direct, true, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn baselines(#[case] policy: Policy, #[case] online: bool, #[case] batch: u64) {
    let (line, ttft) = run::run(&scenario(""), policy, 1).await.expect("a run");
    assert_eq!(line.online_sent > 0, online);
    assert_eq!(ttft.quantile_ms(0.5).is_some(), online);
    assert_eq!(line.batch_completed, batch);
    assert_eq!((line.lost, line.doubled, line.false_not_run), (0, 0, 0));
    assert_eq!((line.online_refused, line.crashes), (0, 0));
}

/// Guards against wrong answers that pass as whole ones.
#[rstest]
#[case::crossed("{crossed_answer: true}")]
#[case::no_end("{omit_end: true}")]
#[case::twice("{duplicate_answer: true}")]
#[case::cut("{cut_after_tokens: 3}")]
#[tokio::test(flavor = "multi_thread")]
async fn wrong_answers_count_as_lost(#[case] faults: &str) {
    let fault =
        format!("faults: [{{at_ms: 0, targets: [0, 1, 2], action: {{switch: {faults}}}}}]\n");
    let mut scenario = scenario(&fault);
    scenario.batch.items = 0;
    let (line, _) = run::run(&scenario, Policy::OnlineAlone, 1)
        .await
        .expect("a run");
    assert!(line.lost > 0, "{line:?}");
}

/// Guards against refusals that are counted as lost, or true verdicts that are
/// counted as false.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_as_refusals() {
    let fault = "faults: [{at_ms: 0, targets: [0, 1, 2], action: {switch: {refuse: true}}}]\n";
    let mut scenario = scenario(fault);
    scenario.batch.items = 0;
    let (line, _) = run::run(&scenario, Policy::OnlineAlone, 1)
        .await
        .expect("a run");
    assert!(line.online_refused > 0);
    assert_eq!((line.lost, line.false_not_run), (0, 0));
    assert_eq!(line.refusals.get("overloaded"), Some(&line.online_refused));
}

/// Guards against replicas that stay lost after a kill, a restart in turn or a
/// crash, and against callers that do not send again.
#[rstest]
#[case::kill(
    "faults: [{at_ms: 300, targets: [0], action: {kill: {restart_ms: 200}}}]\n",
    0
)]
#[case::rolling(
    "faults: [{at_ms: 100, targets: [0, 1], action: {restart_in_turn: {every_ms: 50}}}]\n",
    0
)]
#[case::poison("poison: {from_ms: 300, every_ms: 10000}\n", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_replicas(#[case] fault: &str, #[case] crashes: u64) {
    let mut scenario = scenario(fault);
    scenario.engine.leave_linger_ms = 0;
    let (line, _) = run::run(&scenario, Policy::Fcfs, 1).await.expect("a run");
    assert_eq!(line.crashes, crashes);
    assert_eq!((line.lost, line.batch_completed), (0, 60));
}

fn engine(scenario: &Scenario) -> bw_engine::Handle {
    let mut settings = scenario.engine.clone();
    settings.address = "127.0.0.1:0".to_owned();
    settings.models = vec![bw_engine::settings::Model {
        model: scenario.model.clone(),
        ..bw_engine::settings::Model::default()
    }];
    bw_engine::start(settings).expect("starts")
}

fn destination(handle: &bw_engine::Handle) -> trace::Destination {
    trace::Destination {
        addresses: vec![handle.address().to_string()],
        token: None,
        limit: Duration::from_secs(10),
        speed: 4.0,
    }
}

/// Guards against a replay that does not notice a changed outcome, and against
/// one that fails although nothing changed.
#[tokio::test(flavor = "multi_thread")]
async fn recorded_trace_is_replayed() {
    let scenario = scenario("");
    let handle = engine(&scenario);
    let destination = destination(&handle);
    let mut entries = trace::record(&scenario, 3, &destination)
        .await
        .expect("a trace");
    assert!(entries.len() > 10);
    let outcomes = entries.iter().map(|entry| entry.outcome.as_ref());
    let mut ends = outcomes.map(|outcome| outcome.map(|outcome| &outcome.end));
    assert!(ends.all(|end| end == Some(&End::Answered)));

    let lines: Vec<_> = entries
        .iter()
        .map(|entry| serde_json::to_string(entry).expect("JSON"))
        .collect();
    let read = trace::read(BufReader::new(lines.join("\n").as_bytes())).expect("a trace");
    assert_eq!(read, entries);
    let differences = trace::replay(&read, &destination, None)
        .await
        .expect("a replay");
    assert!(differences.is_empty(), "{differences:?}");

    let stated = |entry: &mut trace::Entry| entry.outcome.take().expect("stated");
    entries[4].outcome = Some(trace::Outcome {
        text: Some("0".repeat(32)),
        ..stated(&mut entries[4])
    });
    entries[7].outcome = Some(trace::Outcome {
        finish: Some("other".to_owned()),
        ..stated(&mut entries[7])
    });
    let differences = trace::replay(&entries, &destination, None)
        .await
        .expect("a replay");
    let lines: Vec<_> = differences
        .iter()
        .map(|difference| difference.line)
        .collect();
    assert_eq!(lines, [5, 8]);
}

/// Guards against a stored trace whose stated outcomes the engine no longer
/// gives, for example after a change of its text.
#[tokio::test(flavor = "multi_thread")]
async fn stored_trace_is_replayed() {
    let handle = engine(&scenario("model: batting-desk\n"));
    let trace = include_str!("traces/engine.jsonl");
    let entries = trace::read(trace.as_bytes()).expect("a trace");
    assert!(!entries.is_empty());
    let differences = trace::replay(&entries, &destination(&handle), None)
        .await
        .expect("a replay");
    assert!(differences.is_empty(), "{differences:?}");
}

/// Guards against broken traces that are replayed in part.
#[rstest]
#[case::not_json("{")]
#[case::unknown_event(r#"{"at_ms":0,"team":"t","event":{"other":{}},"outcome":{"end":"broken"}}"#)]
#[case::unknown_field(
    r#"{"at_ms":0,"team":"t","event":{"chat":{}},"kind":"chat","outcome":{"end":"broken"}}"#
)]
#[case::back_in_time(concat!(
    r#"{"at_ms":5,"team":"t","event":{"chat":{}},"outcome":{"end":"broken"}}"#, "\n",
    r#"{"at_ms":4,"team":"t","event":{"chat":{}},"outcome":{"end":"broken"}}"#
))]
fn wrong_traces(#[case] text: &str) {
    trace::read(text.as_bytes()).expect_err("a wrong trace");
}

/// Guards against a caller that cannot tell a refused connection, after which a
/// request has certainly not run, from a broken one.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_not_a_broken_one() {
    let request = workload::poison(&scenario(""), 1);
    let target = Target {
        // The port is reserved and nothing listens there.
        address: "127.0.0.1:1",
        path: run::CHAT_PATH,
        request_id: &request.id,
        token: None,
        limit: Duration::from_secs(5),
    };
    let seen = Client::new().complete(target, &request.body).await;
    assert_eq!(seen.end, End::NotConnected);
}

/// Guards against an embedded fleet that does not become ready, loses requests or
/// items, or repeats calls.
#[tokio::test(flavor = "multi_thread")]
async fn embedded_fleet() {
    let more =
        "failure_domains: [a, b, c]\nentries: 2\ncontrol: 3\nservice: {requests_per_s: 20}\n";
    let mut scenario = scenario(more);
    scenario.drain_ms = 60_000;
    let (line, _) = run::run(&scenario, Policy::Bilberrywind, 1)
        .await
        .expect("a run");
    assert!(
        line.online_sent > 0 && line.service_answered > 0,
        "{line:?}"
    );
    assert_eq!((line.batch_completed, line.batch_failed), (60, 0));
    assert_eq!((line.lost, line.doubled, line.false_not_run), (0, 0, 0));
    assert_eq!((line.online_refused, line.service_refused), (0, 0));
    assert!(line.control_cpu_percent.is_some() && line.entry_cpu_percent.is_some());
}
