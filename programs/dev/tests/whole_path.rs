//! The whole path as separate processes: control replicas, entry VMs, engines.

mod fleet;

use std::collections;

use serde_json::Value;

use fleet::http;

/// Guards against a path from caller to engine and back that does not work.
#[tokio::test(flavor = "multi_thread")]
async fn online_request_is_answered_through_each_entry_vm() {
    let fleet = fleet::Builder::default().start().await;
    let expected = fleet.expected("how much loft?", 12).await;
    for index in 0..fleet.entries.len() {
        let address = fleet.entry_address(index);
        let answer = fleet.chat(&address, "how much loft?", 12).send().await;
        let answer = answer.expect("answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(fleet::content(&answer.json()), expected);

        let answer = fleet.stream(&address, "how much loft?", 12).send().await;
        let stream = http::events(&answer.expect("stream").text());
        assert_eq!(stream.text, expected);
        assert!(stream.finished && stream.done, "{stream:?}");
    }
}

/// Guards against items that are lost, doubled or answered with another item's
/// text, and against results that only one entry VM can read.
#[tokio::test(flavor = "multi_thread")]
async fn batch_is_completed_once_and_read_through_another_entry_vm() {
    let fleet = fleet::Builder::default().start().await;
    let first = fleet.entry_address(0);
    let second = fleet.entry_address(1);
    let job = fleet
        .submit(&first, &fleet::batch_lines(300, 4), None)
        .await;
    let id = job["id"].as_str().expect("job id");

    let job = fleet.ended(&second, id).await;
    assert_eq!(job["status"], "completed", "{job}");
    assert_eq!(job["request_counts"]["total"], 300);
    assert_eq!(job["request_counts"]["completed"], 300, "{job}");
    let output = job["output_file_id"].as_str().expect("output file");
    let lines = fleet.lines(&second, output).await;
    assert_eq!(custom_ids(&lines).len(), 300);
    assert_eq!(lines.len(), 300);
    for number in [0, 17, 299] {
        let line = lines
            .iter()
            .find(|line| line["custom_id"] == format!("item-{number}"))
            .expect("line");
        let expected = fleet.expected(&format!("plan {number}"), 4).await;
        assert_eq!(fleet::content(&line["response"]["body"]), expected);
    }
}

/// Guards against one bad line that spoils a file, and against errors that do
/// not name the line.
#[tokio::test(flavor = "multi_thread")]
async fn bad_lines_get_their_own_error_and_the_rest_runs() {
    let fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let good = fleet::batch_lines(2, 2);
    let unknown_field = r#"{"custom_id":"u","method":"POST","url":"/v1/chat/completions","body":{"model":"desk"},"x":1}"#;
    let unknown_model = r#"{"custom_id":"m","method":"POST","url":"/v1/chat/completions","body":{"model":"nope","messages":[{"role":"user","content":"x"}]}}"#;
    let twice = fleet::batch_lines(1, 2);
    let lines = format!("{good}{{broken\n{unknown_field}\n\n{twice}{unknown_model}\n");
    let job = fleet.submit(&address, &lines, None).await;
    let job = fleet
        .ended(&address, job["id"].as_str().expect("job id"))
        .await;

    assert_eq!(job["status"], "completed", "{job}");
    assert_eq!(job["request_counts"]["completed"], 2, "{job}");
    assert_eq!(job["request_counts"]["failed"], 4, "{job}");
    let errors = fleet
        .lines(&address, job["error_file_id"].as_str().expect("error file"))
        .await;
    let mut found: Vec<(u64, String)> = errors
        .iter()
        .map(|line| {
            let error = &line["error"];
            let code = error["code"].as_str().expect("code").to_owned();
            (error["line"].as_u64().expect("line number"), code)
        })
        .collect();
    found.sort();
    let expected = [
        (3, "invalid_json"),
        (4, "invalid_field"),
        (6, "invalid_field"),
        (7, "model_not_found"),
    ];
    let expected: Vec<(u64, String)> = expected
        .iter()
        .map(|(line, code)| (*line, (*code).to_owned()))
        .collect();
    assert_eq!(found, expected);
}

/// Guards against a resend that makes a second job, and against a key that
/// silently stands for another body.
#[tokio::test(flavor = "multi_thread")]
async fn resent_job_is_the_same_job_also_through_another_entry_vm() {
    let fleet = fleet::Builder::default().start().await;
    let lines = fleet::batch_lines(2, 2);
    let file = fleet.upload(&fleet.entry_address(0), &lines).await;
    let other = fleet.upload(&fleet.entry_address(0), &lines).await;
    let mut ids = collections::BTreeSet::new();
    for index in [0, 1, 0] {
        let address = fleet.entry_address(index);
        let answer = fleet.create(&address, &file, Some("order-7")).send().await;
        let answer = answer.expect("answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        ids.insert(answer.json()["id"].as_str().expect("job id").to_owned());
    }
    assert_eq!(ids.len(), 1);

    let address = fleet.entry_address(1);
    let answer = fleet.create(&address, &other, Some("order-7")).send().await;
    let answer = answer.expect("answer");
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (409, "key_conflict")
    );
    assert_eq!(answer.verdict(), "not_run");
}

fn custom_ids(lines: &[Value]) -> collections::BTreeSet<String> {
    lines
        .iter()
        .map(|line| line["custom_id"].as_str().expect("custom id").to_owned())
        .collect()
}

/// Guards against a full store that answers with an unclear error, or harms
/// what it has accepted.
#[tokio::test(flavor = "multi_thread")]
async fn full_store_refuses_new_files_and_finishes_accepted_work() {
    let fleet = fleet::Builder {
        control: serde_json::json!({ "retention": { "max_bytes": 40_000 } }),
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let address = fleet.entry_address(0);
    let mut jobs = Vec::new();
    let refused = loop {
        let lines = fleet::batch_lines(60, 2);
        let answer = fleet::try_upload(&fleet.http, &address, &lines).await;
        if answer.status != 200 {
            break answer;
        }
        let file = answer.json()["id"].as_str().expect("file id").to_owned();
        let answer = fleet.create(&address, &file, None).send().await;
        let answer = answer.expect("answer");
        if answer.status != 200 {
            break answer;
        }
        jobs.push(answer.json()["id"].as_str().expect("job id").to_owned());
        assert!(jobs.len() < 50, "the limit has no effect");
    };
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "storage_full")
    );
    assert_eq!(refused.verdict(), "not_run");
    assert!(refused.headers.contains_key("retry-after"));
    assert!(!jobs.is_empty());
    for job in &jobs {
        let job = fleet.ended(&address, job).await;
        assert_eq!(job["request_counts"]["completed"], 60, "{job}");
    }
}
