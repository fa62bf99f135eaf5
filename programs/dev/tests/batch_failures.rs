//! Batch items under failure: completed exactly once, readable, cancelled.

mod fleet;

use std::{collections, time};

use nix::sys::signal;
use rstest::rstest;
use serde_json::Value;

/// Guards against an accepted job that is forgotten when the leader that
/// acknowledged it dies at once.
#[tokio::test(flavor = "multi_thread")]
async fn job_survives_the_leader_that_accepted_it() {
    let mut fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let job = fleet
        .submit(&address, &fleet::batch_lines(60, 8), None)
        .await;
    let id = job["id"].as_str().expect("job id").to_owned();
    let leader = fleet.leader(group(&id)).await;
    kill(&mut fleet.controls[leader]);

    assert_complete(&fleet, 1, &id, 60).await;
}

/// Guards against items that are lost or recorded twice when the entry VM that
/// holds their lease dies, and against results that were readable before.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_killed_entry_vm_are_completed_once_by_another() {
    let mut fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let job = fleet
        .submit(&address, &fleet::batch_lines(400, 24), None)
        .await;
    let id = job["id"].as_str().expect("job id").to_owned();
    let second = fleet.entry_address(1);
    fleet
        .until("some items are done", || async {
            let job = fleet.job(&second, &id).await.unwrap_or_default();
            job["request_counts"]["completed"].as_u64() > Some(0)
        })
        .await;
    kill(&mut fleet.entries[0]);

    assert_complete(&fleet, 1, &id, 400).await;
}

/// Guards against items that are lost with the engine that ran them.
#[rstest]
#[case::killed(signal::Signal::SIGKILL)]
#[case::frozen(signal::Signal::SIGSTOP)]
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_lost_engine_are_completed_once_by_another(#[case] fault: signal::Signal) {
    let fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let job = fleet
        .submit(&address, &fleet::batch_lines(200, 24), None)
        .await;
    let id = job["id"].as_str().expect("job id").to_owned();
    fleet
        .until("some items are done", || async {
            let job = fleet.job(&address, &id).await.unwrap_or_default();
            job["request_counts"]["completed"].as_u64() > Some(0)
        })
        .await;
    fleet.engines[0].as_ref().expect("engine").signal(fault);

    assert_complete(&fleet, 1, &id, 200).await;
}

/// Guards against a whole control restart that loses jobs, files or results.
#[tokio::test(flavor = "multi_thread")]
async fn results_stay_readable_after_all_control_replicas_restart() {
    let mut fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let job = fleet
        .submit(&address, &fleet::batch_lines(20, 2), None)
        .await;
    let id = job["id"].as_str().expect("job id").to_owned();
    assert_complete(&fleet, 0, &id, 20).await;
    for index in 0..fleet.controls.len() {
        kill(&mut fleet.controls[index]);
    }
    for index in 0..fleet.controls.len() {
        fleet.start_control(index);
    }

    fleet
        .until("the job can be read again", || async {
            fleet.job(&address, &id).await.is_ok()
        })
        .await;
    assert_complete(&fleet, 1, &id, 20).await;
}

/// Guards against a cancelled job that goes on: nothing of it may run a short
/// time after the cancel was answered, and its counts may not move.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_stops() {
    let fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let job = fleet
        .submit(&address, &fleet::batch_lines(2_000, 64), None)
        .await;
    let id = job["id"].as_str().expect("job id").to_owned();
    fleet
        .until("the job runs", || async { running(&fleet).await > 0 })
        .await;
    let path = format!("/v1/batches/{id}/cancel");
    let answer = fleet.http.post(&fleet.entry_address(1), &path).send().await;
    let cancelled = answer.expect("cancel answer").json();
    assert_eq!(cancelled["status"], "cancelled");

    fleet
        .until("no item runs", || async { running(&fleet).await == 0 })
        .await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert_eq!(running(&fleet).await, 0, "cancelled work started again");
    let job = fleet.job(&address, &id).await.expect("job");
    assert_eq!(job["status"], "cancelled");
    assert_eq!(job["request_counts"], cancelled["request_counts"]);
}

fn kill(process: &mut Option<fleet::process::Process>) {
    process.take().expect("process").kill();
}

fn group(id: &str) -> u32 {
    bw_wire::id::group(id).expect("group of the id")
}

/// Returns how many requests run on all engines.
async fn running(fleet: &fleet::Fleet) -> u64 {
    let mut total = 0;
    for index in 0..fleet.engines.len() {
        let address = fleet.engine_address(index);
        let answer = fleet.http.get(&address, "/debug/load").send().await;
        let load = answer.expect("engine answers").json();
        total += load["running"].as_u64().expect("number");
        total += load["waiting"].as_u64().expect("number");
    }
    total
}

/// Checks that a job completed with each item exactly once.
async fn assert_complete(fleet: &fleet::Fleet, entry: usize, id: &str, count: usize) {
    let address = fleet.entry_address(entry);
    let job = fleet.ended(&address, id).await;
    assert_eq!(job["status"], "completed", "{job}");
    assert_eq!(
        job["request_counts"]["completed"],
        count,
        "{job}\n{}",
        fleet.logs()
    );
    let output = job["output_file_id"].as_str().expect("output file");
    let lines = fleet.lines(&address, output).await;
    let ids: collections::BTreeSet<&str> = lines.iter().map(custom_id).collect();
    assert_eq!((ids.len(), lines.len()), (count, count));
}

fn custom_id(line: &Value) -> &str {
    line["custom_id"].as_str().expect("custom id")
}
