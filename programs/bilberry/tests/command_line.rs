//! The command line as a script sees it: exit status, standard output and
//! standard error.
//!
//! Cargo builds the binary of a package for `cargo test` only if the package has
//! an integration test. The process tests of `bw-dev` run this binary, so on a
//! fresh checkout they depend on this file.

use std::process;

use rstest::rstest;

/// An address on which nothing listens: port 1 is reserved.
const CLOSED: &str = "127.0.0.1:1";

fn bilberry(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_bilberry"))
        .args(arguments)
        .output()
        .expect("bilberry runs")
}

/// Guards against exit statuses that scripts cannot rely on.
#[rstest]
#[case::version(&["--version"], 0)]
#[case::help(&["--help"], 0)]
#[case::no_command(&[], 2)]
#[case::invalid_address(&["--control", "nonsense", "status"], 2)]
#[case::no_control_replica(&["--control", CLOSED, "show"], 4)]
fn exit_status_is_stable(#[case] arguments: &[&str], #[case] expected: i32) {
    let output = bilberry(arguments);
    assert_eq!(output.status.code(), Some(expected), "{output:?}");
}

/// Guards against failures that are silent or that are mixed into the output
/// that a script parses.
#[rstest]
#[case::no_command(&[], "see bilberry --help")]
#[case::no_control_replica(&["--json", "--control", CLOSED, "show"], "repeat the command")]
fn failure_is_explained_on_standard_error(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = bilberry(arguments);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains(expected), "{errors}");
    assert!(output.stdout.is_empty(), "{output:?}");
}

/// Guards against an account that leaves out the lines of an item that name only
/// its job and number, or that is in the order of the files.
#[test]
fn explain_collects_an_item_from_the_logs_of_several_processes() {
    let folder = tempfile::tempdir().expect("folder");
    let write = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).expect("log");
        file.display().to_string()
    };
    let control = write(
        "control.log",
        "  4.2 core-1 {\"ts\":\"3\",\"message\":\"item listed\",\"job\":\"j\",\"item\":0,\"end\":\"Completed\"}\n\
         {\"ts\":\"2\",\"message\":\"run ended\",\"job\":\"j\",\"item\":0,\"request\":\"r\",\"outcome\":\"completed\"}\n\
         {\"ts\":\"2\",\"message\":\"run ended\",\"job\":\"j\",\"item\":1,\"request\":\"other\"}\n\
         {\"ts\":\"4\",\"mess",
    );
    let entry = write(
        "entry.log",
        "{\"ts\":\"1\",\"message\":\"job submitted\",\"job\":\"j\",\"items\":2}\n",
    );
    let output = bilberry(&["explain", "r", &control, &entry]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let messages: Vec<&str> = text
        .lines()
        .map(|line| line.split(' ').next().unwrap_or(""))
        .collect();
    assert_eq!(messages, ["2", "3", "ended"], "{text}");
    assert!(
        text.contains("ended by: 3") && text.contains("item listed"),
        "{text}"
    );
    let job = bilberry(&["explain", "j", &entry, &control]);
    assert_eq!(String::from_utf8_lossy(&job.stdout).lines().count(), 5);
    let unknown = bilberry(&["explain", "nobody", &entry]);
    assert_eq!(unknown.status.code(), Some(1));
}
