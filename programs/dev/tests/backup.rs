//! A fleet that starts again from a backup after all control disks are lost.

mod fleet;

use std::{fs, path, process, time};

use serde_json::{Value, json};

/// Guards against a backup that cannot be restored, that misses jobs, results,
/// idempotency keys or configuration, or that is restored over newer data.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_starts_again_from_a_backup() {
    let mut fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let file = fleet.upload(&address, &fleet::batch_lines(300, 4)).await;
    let job = create(&fleet, &file).await;
    let ended = fleet.ended(&address, &job).await;
    assert_eq!(ended["request_counts"]["completed"], 300, "{ended}");
    let output = ended["output_file_id"]
        .as_str()
        .expect("output file")
        .to_owned();
    let results = fleet.lines(&address, &output).await;
    let configuration = fleet.intent().await;

    let folder = fleet.path("backup");
    let saved = snapshot(&fleet, &folder);
    assert_eq!(saved.as_array().map(Vec::len), Some(3), "{saved}");
    for index in 0..fleet.controls.len() {
        fleet.controls[index].take().expect("process").kill();
        let data = fleet.path(&format!("control-{index}.data"));
        fs::remove_dir_all(data).expect("data folder");
    }
    fleet.spec.control = json!({ "restore_from": folder });
    for index in 0..fleet.controls.len() {
        fleet.start_control(index);
    }
    fleet.ready().await;

    assert_eq!(fleet.intent().await, configuration);
    let address = fleet.entry_address(1);
    assert_eq!(fleet.ended(&address, &job).await, ended);
    assert_eq!(fleet.lines(&address, &output).await, results);
    assert_eq!(create(&fleet, &file).await, job, "the key is forgotten");
    let next = fleet
        .submit(&address, &fleet::batch_lines(20, 4), None)
        .await;
    let next = next["id"].as_str().expect("job id").to_owned();
    let done = fleet.ended(&address, &next).await;
    assert_eq!(done["request_counts"]["completed"], 20, "{done}");

    // The setting stays; the data that is there now must win.
    for index in 0..fleet.controls.len() {
        fleet.controls[index].take().expect("process").kill();
        fleet.start_control(index);
    }
    fleet
        .until("the later job is read", || async {
            fleet
                .job(&address, &next)
                .await
                .is_ok_and(|job| job == done)
        })
        .await;
}

/// Creates the job with its key, through an entry VM that takes it.
async fn create(fleet: &fleet::Fleet, file: &str) -> String {
    let address = fleet.entry_address(0);
    let start = time::Instant::now();
    loop {
        let answer = fleet.create(&address, file, Some("key-1")).send().await;
        let answer = answer.expect("answer");
        if answer.status == 200 {
            return answer.json()["id"].as_str().expect("job id").to_owned();
        }
        assert!(start.elapsed() < fleet::LIMIT, "{}", answer.text());
    }
}

fn snapshot(fleet: &fleet::Fleet, folder: &path::Path) -> Value {
    let controls: Vec<String> = (0..fleet.controls.len())
        .map(|index| fleet.control_address(index))
        .collect();
    let output = process::Command::new(fleet::process::binary("bilberry"))
        .args(["--json", "--control", &controls.join(",")])
        .arg("snapshot")
        .arg(folder)
        .output()
        .expect("bilberry runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}
