//! All roles in one process, as a newcomer starts them.

mod fleet;

use std::{fs, time};

use nix::sys::signal;
use serde_json::json;

use fleet::{http, process};

const ADDRESS: &str = "127.99.7.1:8080";
const POLL: time::Duration = time::Duration::from_millis(50);

/// Guards against a first start that declares nothing, and against a restart
/// that forgets jobs and their results.
#[tokio::test(flavor = "multi_thread")]
async fn first_start_serves_and_restart_keeps_jobs() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("dev.yaml");
    let settings = json!({
        "address": ADDRESS,
        "control_address": "127.99.7.1:8090",
        "data": folder.path().join("data"),
        "model": fleet::MODEL,
    });
    fs::write(&file, settings.to_string()).expect("settings file");
    let mut dev = process::Process::start("bw-dev", &file);
    let client = http::Client::new();
    wait_until_ready(&client, &dev).await;
    let job = submit(&client).await;
    wait_until_completed(&client, &job).await;
    dev.signal(signal::Signal::SIGTERM);
    assert!(dev.wait().success(), "{}", dev.log());

    let again = process::Process::start("bw-dev", &file);
    wait_until_ready(&client, &again).await;
    wait_until_completed(&client, &job).await;
}

async fn wait_until_ready(client: &http::Client, dev: &process::Process) {
    let start = time::Instant::now();
    loop {
        let request = json!({
            "model": fleet::MODEL,
            "max_tokens": 2,
            "messages": [{ "role": "user", "content": "ready?" }],
        });
        let answer = client
            .post(ADDRESS, "/v1/chat/completions")
            .json(&request)
            .send()
            .await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        assert!(start.elapsed() < fleet::LIMIT, "never ready: {}", dev.log());
        tokio::time::sleep(POLL).await;
    }
}

async fn submit(client: &http::Client) -> String {
    let file = fleet::upload(client, ADDRESS, &fleet::batch_lines(4, 2)).await;
    let request = json!({
        "input_file_id": file,
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    });
    let answer = client
        .post(ADDRESS, "/v1/batches")
        .json(&request)
        .send()
        .await;
    let answer = answer.expect("answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()["id"].as_str().expect("job id").to_owned()
}

async fn wait_until_completed(client: &http::Client, job: &str) {
    let start = time::Instant::now();
    loop {
        let path = format!("/v1/batches/{job}");
        let answer = client.get(ADDRESS, &path).send().await;
        if let Ok(answer) = &answer
            && answer.status == 200
            && answer.json()["status"] == "completed"
        {
            assert_eq!(answer.json()["request_counts"]["completed"], 4);
            return;
        }
        assert!(
            start.elapsed() < fleet::LIMIT,
            "never completed: {answer:?}"
        );
        tokio::time::sleep(POLL).await;
    }
}
