//! The operators' command line and the example settings, as people use them.

mod fleet;

use std::{path, process};

use rstest::rstest;
use serde_json::Value;

/// Guards against a change that happens before it was confirmed, a resent
/// confirm that is taken for a rival, and a confirm on a base that moved.
#[tokio::test(flavor = "multi_thread")]
async fn intent_is_planned_confirmed_resent_and_refused_after_a_change() {
    let fleet = fleet::Builder::default().start().await;
    let (base, _) = fleet.intent().await;
    let file = fleet.path("intent.yaml");
    let shown = bilberry(&fleet, &["show"]);
    let yaml = shown.text.replace("replicas: 2", "replicas: 1");
    std::fs::write(&file, &yaml).expect("intent file");
    let file = file.to_str().expect("path");

    let planned = bilberry(&fleet, &["--json", "plan", file]).json();
    let plan = planned["planned"]["plan"]
        .as_str()
        .expect("plan id")
        .to_owned();
    let rival = bilberry(&fleet, &["--json", "plan", file]).json();
    let rival = rival["planned"]["plan"]
        .as_str()
        .expect("plan id")
        .to_owned();
    assert_eq!(
        fleet.intent().await.0,
        base,
        "a plan changed the configuration"
    );

    let first = bilberry(&fleet, &["--json", "confirm", &plan]).json();
    assert_eq!(first["revision"], base + 1);
    assert_eq!(first["in_force"], true);
    let again = bilberry(&fleet, &["--json", "confirm", &plan]).json();
    assert_eq!(
        again["revision"],
        base + 1,
        "the resend was not answered like the first"
    );

    let refused = bilberry(&fleet, &["confirm", &rival]);
    assert_eq!(refused.code, 3, "{refused:?}");
    assert!(
        refused.errors.contains("models.desk.replicas"),
        "{refused:?}"
    );
    assert_eq!(fleet.intent().await.0, base + 1);
    let history = bilberry(&fleet, &["--json", "history"]).json();
    assert_eq!(history[0]["number"], base + 1);
}

/// Guards against a drain that does not reach the entry VMs.
#[tokio::test(flavor = "multi_thread")]
async fn drained_backend_server_gets_nothing_new() {
    let fleet = fleet::Builder::default().start().await;
    let drained = bilberry(&fleet, &["drain", "engine-0", "--yes"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    let before = executions(&fleet, 0).await;
    for number in 0..20 {
        let address = fleet.entry_address(number % 2);
        let answer = fleet
            .chat(&address, &format!("after {number}"), 2)
            .send()
            .await;
        assert_eq!(answer.expect("answer").status, 200);
    }
    assert_eq!(executions(&fleet, 0).await, before);
    let undone = bilberry(&fleet, &["drain", "engine-0", "--undo", "--yes"]);
    assert_eq!(undone.code, 0, "{undone:?}");
}

/// Guards against a drain that cannot be run again after its answer got lost, so
/// that nobody learns whether it is in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_that_is_run_again_waits_until_it_is_in_force() {
    let fleet = fleet::Builder::default().start().await;
    let first = bilberry(&fleet, &["drain", "engine-0", "--yes"]);
    assert_eq!(first.code, 0, "{first:?}");
    let revision = fleet.intent().await.0;
    let again = bilberry(&fleet, &["--json", "drain", "engine-0", "--yes"]);
    assert_eq!(again.code, 0, "{again:?}");
    let again = again.json();
    assert_eq!(again["revision"], revision);
    assert_eq!(again["in_force"], true);
    assert_eq!(fleet.intent().await.0, revision, "it changed again");
}

/// Guards against jobs that the command line cannot submit, follow and read.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_submitted_shown_and_read() {
    let fleet = fleet::Builder::default().start().await;
    let file = fleet.path("items.jsonl");
    std::fs::write(&file, fleet::batch_lines(5, 2)).expect("items");
    let file = file.to_str().expect("path");
    let submit = ["--json", "jobs", "submit", file, "--key", "k1", "--wait"];
    let job = bilberry(&fleet, &submit).json();
    assert_eq!(job["status"], "completed", "{job}");
    let id = job["id"].as_str().expect("job id");
    let resent = bilberry(&fleet, &submit).json();
    assert_eq!(resent["id"], id);
    let results = bilberry(&fleet, &["jobs", "results", id]);
    assert_eq!(results.text.lines().count(), 5, "{results:?}");
    let unknown = bilberry(&fleet, &["jobs", "show", "batch_g1_NONE"]);
    assert_eq!(unknown.code, 5, "{unknown:?}");
    let status = bilberry(&fleet, &["status"]);
    assert!(status.text.contains("leader"), "{status:?}");
    let replicas = bilberry(&fleet, &["--json", "replicas"]).json();
    assert_eq!(replicas.as_array().map(Vec::len), Some(2));
}

/// Guards against example settings that the programs refuse.
#[rstest]
fn examples_are_valid(#[values("vatelin", "mwakilema")] deployment: &str) {
    let folder = workspace().join("examples").join(deployment);
    let mut checked = 0;
    for file in std::fs::read_dir(&folder).expect("folder") {
        let name = file.expect("file").file_name().into_string().expect("name");
        let program = match name.split(['-', '.']).next() {
            Some("control") => "bw-control",
            Some("entry") => "bw-entry",
            Some("bilberry") => "bilberry",
            Some("intent") => {
                let text = std::fs::read_to_string(folder.join(&name)).expect("intent");
                let intent: Result<bw_wire::intent::Intent, _> = serde_norway::from_str(&text);
                assert!(intent.is_ok(), "{name}: {intent:?}");
                continue;
            }
            _ => continue,
        };
        let output = process::Command::new(fleet::process::binary(program))
            .current_dir(&folder)
            .args(["--config", &name, "--check"])
            .output()
            .expect("program runs");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{deployment}/{name}: {errors}");
        checked += 1;
    }
    assert_eq!(checked, 10);
}

/// Guards against settings errors that are reported one at a time, without the
/// place, or with another exit status than 2.
#[test]
fn settings_errors_are_reported_all_at_once() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("entry.yaml");
    let text = "name: entry-1\nfailure_domain: ljub-a\naddress: nonsense\n\
                control:\n  - 127.0.0.1:7001\nlimits:\n  body_bytes: 1\nunknown_thing: 3\n";
    std::fs::write(&file, text).expect("settings");
    let output = process::Command::new(fleet::process::binary("bw-entry"))
        .arg("--config")
        .arg(&file)
        .arg("--check")
        .output()
        .expect("program runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    for expected in [
        "entry.yaml:3: address = nonsense",
        "entry.yaml:7: limits.body_bytes = 1",
        "entry.yaml:8: unknown_thing: unknown field",
    ] {
        assert!(errors.contains(expected), "{expected} is not in:\n{errors}");
    }
}

#[derive(Debug)]
struct Output {
    code: i32,
    text: String,
    errors: String,
}

impl Output {
    fn json(&self) -> Value {
        assert_eq!(self.code, 0, "{self:?}");
        serde_json::from_str(&self.text).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

fn bilberry(fleet: &fleet::Fleet, arguments: &[&str]) -> Output {
    let controls: Vec<String> = (0..fleet.controls.len())
        .map(|index| fleet.control_address(index))
        .collect();
    let output = process::Command::new(fleet::process::binary("bilberry"))
        .args(["--control", &controls.join(",")])
        .args(["--entry", &fleet.entry_address(0)])
        .args(arguments)
        .output()
        .expect("bilberry runs");
    Output {
        code: output.status.code().expect("exit code"),
        text: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

async fn executions(fleet: &fleet::Fleet, engine: usize) -> u64 {
    let address = fleet.engine_address(engine);
    let answer = fleet.http.get(&address, "/debug/executions").send().await;
    answer.expect("engine answers").json()["total"]
        .as_u64()
        .expect("number")
}

fn workspace() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
