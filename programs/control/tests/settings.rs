//! Tests the checks of the settings.

use std::path;

use bw_base::settings;
use bw_control::settings::Settings;

fn problems(text: &str) -> Vec<String> {
    match settings::parse::<Settings>(path::Path::new("control.yaml"), text) {
        Ok(_) => Vec::new(),
        Err(error) => error
            .problems
            .iter()
            .map(|problem| problem.field.clone())
            .collect(),
    }
}

/// Guards against an example file with invalid settings.
#[test]
fn the_example_is_valid() {
    let text = include_str!("../examples/control.yaml");
    let settings: Settings =
        settings::parse(path::Path::new("control.yaml"), text).expect("the example");
    assert!(settings.spans_failure_domains());
    assert_eq!(settings.members.len(), 3);
}

/// Guards against a check that misses a wrong value or reports only the first one.
#[rstest::rstest]
#[case("replica: 0\nname: ''\nlisten: here", &["replica", "name", "listen"])]
#[case("listen: 10.0.0.1:7101\nadmin: 0.0.0.0:1", &["listen", "admin"])]
#[case("token_file: /nonexistent", &["token_file"])]
#[case("timeouts: {election_ms: 1000, order_ms: 900}", &["timeouts.order_ms"])]
#[case("timeouts: {election_ms: 1}", &["timeouts.election_ms", "timeouts.order_ms"])]
#[case("work_groups: 0", &["work_groups"])]
#[case("retention: {job_ms: 10, claim_ms: 9}", &["retention.claim_ms"])]
#[case("logs: {level: loud}", &["logs.level"])]
#[case("unheard_of: 1", &["unheard_of"])]
#[case(
    "failure_domain: a\nmembers: [{replica: 1, address: x, failure_domain: b, voter: false}]",
    &["members.0.address", "members.0.failure_domain", "members"]
)]
fn wrong_values_are_reported(#[case] text: &str, #[case] fields: &[&str]) {
    assert_eq!(problems(text), fields);
}

/// Guards against a replica without other members that waits for a second failure domain.
#[test]
fn a_replica_without_members_runs_alone() {
    let settings = Settings::default();
    assert_eq!(settings.initial_members().len(), 1);
    assert!(!settings.spans_failure_domains());
}

/// Guards against a program whose `--check` accepts wrong settings or does not name
/// them.
#[rstest::rstest]
#[case("name: control-1", 0)]
#[case("work_groups: 0", 2)]
fn the_program_checks_its_settings(#[case] text: &str, #[case] status: i32) {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("control.yaml");
    std::fs::write(&file, text).expect("settings");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_bw-control"))
        .arg("--config")
        .arg(&file)
        .arg("--check")
        .output()
        .expect("process");
    assert_eq!(output.status.code(), Some(status));
    let errors = String::from_utf8(output.stderr).expect("text");
    assert_eq!(
        errors.contains("control.yaml:1: work_groups = 0"),
        status == 2
    );
}
