//! The plain service, load reports and settings.

mod support;

use std::{path::Path, time::Duration, time::Instant};

use bw_engine::{Settings, announce::Reports, start};
use bw_wire::backend::Load;
use http_body_util::BodyExt;
use rstest::rstest;
use support::{client, get_json, post, send, service};

/// Guards against executions that are not counted by key, which would hide a
/// request that ran twice.
#[tokio::test]
async fn echo_and_executions_by_key() {
    let handle = start(service()).expect("starts");
    let client = client();
    for (key, body) in [
        ("k-1", "invoice 1"),
        ("k-2", "invoice 2"),
        ("k-1", "invoice 1"),
    ] {
        let request = post(&handle, "/v2/invoices").header("idempotency-key", key);
        let response = send(&client, request, body).await;
        assert_eq!(response.status(), 200);
        let echoed = response.into_body().collect().await.expect("a body");
        assert_eq!(echoed.to_bytes(), body);
    }
    let executions = get_json(&client, &handle, "/debug/executions").await;
    let keys = serde_json::json!({"k-1": 2, "k-2": 1});
    assert_eq!(
        (&executions["keys"], &executions["total"]),
        (&keys, &3.into())
    );
}

/// Guards against load reports that are fresher than the lag or skip to old figures.
#[rstest]
#[case::before_the_lag(90, None)]
#[case::first(110, Some((0, 110)))]
#[case::later(350, Some((200, 150)))]
fn load_reports_lag(#[case] at_ms: u64, #[case] expected: Option<(u32, u32)>) {
    let start = Instant::now();
    let mut reports = Reports::new(100);
    for sample_ms in (0..=at_ms).step_by(100) {
        let load = Load {
            running: sample_ms as u32,
            ..Load::default()
        };
        reports.sample(load, start + Duration::from_millis(sample_ms));
    }
    let report = reports.report(start + Duration::from_millis(at_ms));
    let (running, age_ms) = expected.unwrap_or((0, 0));
    assert_eq!((report.running, report.age_ms), (running, age_ms));
}

/// Guards against examples that do not load.
#[rstest]
#[case("engine.yaml")]
#[case("service.yaml")]
fn examples(#[case] file: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(file);
    Settings::load(&file).expect("valid settings");
}

/// Guards against wrong settings that are accepted or reported one at a time.
#[rstest]
#[case("id: ''\naddress: here", &["id", "address"])]
#[case("batch: {kv_blocks: 0, max_sequences: 0}", &["batch.max_sequences", "batch.kv_blocks"])]
#[case("models: [{model: a}, {model: a}]", &["models.1.model"])]
#[case("kind: service\nmodels: [{model: a}]", &["models"])]
#[case("cache_events: {loss: 1.5}\nfaults: {slow_factor: -1}", &["cache_events.loss", "faults.slow_factor"])]
#[case("no_such_field: 1", &["no_such_field"])]
#[case("announce: [localhost]", &["announce.0"])]
fn wrong_settings(#[case] text: &str, #[case] fields: &[&str]) {
    let error = bw_base::settings::parse::<Settings>(Path::new("test.yaml"), text)
        .expect_err("wrong settings");
    let found: Vec<_> = error
        .problems
        .iter()
        .map(|problem| problem.field.as_str())
        .collect();
    assert_eq!(found, fields);
}
