//! Validation of the settings, and the example file.

use std::path;

use bw_base::settings as base;
use bw_entry::settings::Settings;
use rstest::rstest;

const MINIMAL: &str = "name: e\nfailure_domain: a\ncontrol: [127.0.0.1:7001]\n";

/// Returns the fields of all problems in a settings file.
fn invalid_fields(text: &str) -> Vec<String> {
    match base::parse::<Settings>(path::Path::new("entry.yaml"), text) {
        Ok(_) => Vec::new(),
        Err(error) => error
            .problems
            .into_iter()
            .map(|problem| problem.field)
            .collect(),
    }
}

/// Guards against settings with which the program cannot work or accepts requests
/// from the network without credentials. All problems are reported at once, each
/// with its field.
#[rstest]
#[case::minimal("", &[])]
#[case::unknown("zap: 1", &["zap"])]
#[case::bad_address("address: nowhere", &["address"])]
#[case::open_address("address: 10.0.0.1:80", &["address", "address"])]
#[case::open_any("address: 0.0.0.0:80", &["address", "address"])]
#[case::open_peer("peer_address: 10.0.0.1:80", &["peer_address"])]
#[case::open_admin("admin_address: 10.0.0.1:80", &["admin_address"])]
#[case::open_control("control: [10.0.0.1:80]", &["control"])]
#[case::no_control("control: []", &["control"])]
#[case::no_groups("groups: 0", &["groups"])]
#[case::missing_token_file("tokens: { callers: /nowhere/tokens }", &["tokens.callers"])]
#[case::limits("limits: { body_bytes: 1, open_streams: 0 }", &["limits.body_bytes", "limits.open_streams"])]
#[case::timeouts("timeouts: { first_token_ms: 0 }", &["timeouts.first_token_ms"])]
#[case::policy("policy: { retry_share: 2.0, max_attempts: 0 }", &["policy.max_attempts", "policy.retry_share"])]
#[case::headroom("policy: { batch_headroom: -0.1 }", &["policy.batch_headroom"])]
#[case::logs("logs: { level: loud }", &["logs.level"])]
#[case::name("name: 'a b'", &["name"])]
fn each_problem_is_reported(#[case] more: &str, #[case] fields: &[&str]) {
    let key = more.split(':').next().unwrap_or("");
    let kept: String = MINIMAL
        .lines()
        .filter(|line| key.is_empty() || !line.starts_with(&format!("{key}:")))
        .map(|line| format!("{line}\n"))
        .collect();
    assert_eq!(invalid_fields(&format!("{kept}{more}\n")), fields);
}

/// Guards against an example that no longer loads or differs from the defaults.
#[rstest]
fn the_example_is_valid_and_shows_the_defaults() {
    let file = path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/entry.yaml"));
    let example: Settings = base::load(file).expect("valid");
    let defaults = Settings {
        name: example.name.clone(),
        failure_domain: example.failure_domain.clone(),
        control: example.control.clone(),
        ..Settings::default()
    };
    assert_eq!(format!("{example:?}"), format!("{defaults:?}"));
}
