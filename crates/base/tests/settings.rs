//! Reading and checking of settings files.

use std::path;

use bw_base::settings;
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Settings {
    name: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    members: Vec<Member>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Limits {
    streams: u64,
    strict: bool,
}

#[derive(Debug, Deserialize)]
struct Member {
    replica: u64,
    address: String,
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        report.require(!self.name.is_empty(), "name", "\"\"", "must not be empty");
        let streams = self.limits.streams;
        report.require(streams != 1, "limits.streams", streams, "must not be 1");
        if self.limits.strict {
            report.add("limits.strict", true, "is not supported");
        }
        for (index, member) in self.members.iter().enumerate() {
            let field = format!("members.{index}.replica");
            report.require(member.replica > 0, &field, 0, "must not be 0");
            report.require_address(&format!("members.{index}.address"), &member.address);
        }
    }
}

fn problems(text: &str) -> Vec<String> {
    let parsed = settings::parse::<Settings>(path::Path::new("test.yaml"), text);
    let error = parsed.expect_err("problems");
    error.to_string().lines().map(str::to_owned).collect()
}

/// Guards against reporting only the first value of the wrong type, which would make an
/// operator run the check once for each problem.
#[rstest]
#[case::two_types(
    "name: a\nlimits:\n  streams: many\n  strict: 3\n",
    &[
        "test.yaml:3: limits.streams = many: invalid type: string \"many\", expected u64",
        "test.yaml:4: limits.strict = 3: invalid type: integer `3`, expected a boolean",
    ],
)]
#[case::type_unknown_and_value(
    "name: ''\nlimits:\n  streams: many\nzap: 1\n",
    &[
        "test.yaml:3: limits.streams = many: invalid type: string \"many\", expected u64",
        "test.yaml:4: zap: unknown field",
        "test.yaml:1: name = \"\": must not be empty",
    ],
)]
#[case::missing_and_type(
    "limits:\n  streams: []\n",
    &[
        "test.yaml:2: limits.streams: invalid type: sequence, expected u64",
        "test.yaml: name: missing field `name`",
    ],
)]
#[case::value_in_a_sequence(
    "name: a\nmembers:\n# the first\n- replica: 1\n  address: 127.0.0.1:1\n- replica: 2\n  address: x\n",
    &[
        "test.yaml:7: members.1.address = x: must be IP:port, for example 127.0.0.1:8080",
    ],
)]
#[case::values_in_a_flow_mapping(
    "name: a\nlimits: { streams: 1, zap: 2 }\n",
    &[
        "test.yaml:2: limits.zap: unknown field",
        "test.yaml:2: limits.streams = 1: must not be 1",
    ],
)]
#[case::type_and_missing_in_a_sequence(
    "name: a\nmembers:\n  - replica: one\n    address: 127.0.0.1:1\n  - replica: 2\n",
    &[
        "test.yaml:3: members.0.replica = one: invalid type: string \"one\", expected u64",
        "test.yaml:5: members.1.address: missing field `address`",
    ],
)]
fn all_problems_are_reported(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(problems(text), expected);
}

/// Guards against reporting problems of the placeholders that replace values of the
/// wrong type.
#[test]
fn placeholders_are_not_reported() {
    let problems = problems("name: [a]\n");
    assert_eq!(problems.len(), 1, "{problems:?}");
}

/// Guards against a panic, an endless search or no problem at all for text that is not
/// YAML or not a mapping.
#[rstest]
#[case::not_yaml("name: [a\n")]
#[case::list("- 1\n- 2\n")]
#[case::scalar("42")]
#[case::empty("")]
fn documents_without_settings_are_refused(#[case] text: &str) {
    assert!(!problems(text).is_empty());
}
