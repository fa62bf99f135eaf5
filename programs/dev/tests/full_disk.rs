//! A control replica whose file writes fail.

mod fleet;

use std::collections;

/// Largest file of the replica, in blocks of 512 bytes. Its log reaches that
/// after some uploads.
const LIMIT_BLOCKS: u32 = 64;
/// Most uploads until a write must have failed.
const UPLOADS_MAX: usize = 60;

/// Guards against a replica that goes on after a failed write and acknowledges
/// what it has not stored, and against uploads, jobs and results that are lost
/// with it or with a second replica after its repair.
#[tokio::test(flavor = "multi_thread")]
async fn replica_on_a_full_disk_stops_and_nothing_accepted_is_lost() {
    let mut fleet = fleet::Builder {
        file_limit: Some((0, LIMIT_BLOCKS)),
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let address = fleet.entry_address(0);
    let mut accepted = Vec::new();
    while fleet.controls[0].as_mut().expect("replica").runs() {
        assert!(accepted.len() < UPLOADS_MAX, "no write has failed");
        let lines = fleet::batch_lines(20, 2);
        let job = fleet.submit(&address, &lines, None).await;
        accepted.push(job["id"].as_str().expect("job id").to_owned());
    }
    let full = fleet.controls[0].as_mut().expect("replica");
    let status = full.wait();
    assert!(!status.success(), "{status}");
    assert!(full.log().contains("cannot append to"), "{}", full.log());
    assert!(accepted.len() > 1, "the disk was full before the first job");

    // The other two go on.
    let job = fleet
        .submit(&address, &fleet::batch_lines(10, 2), None)
        .await;
    accepted.push(job["id"].as_str().expect("job id").to_owned());
    for id in &accepted {
        assert_complete(&fleet, id).await;
    }

    // With room again the replica goes on from its files, and stands in for
    // another one.
    fleet.spec.file_limit = None;
    fleet.start_control(0);
    fleet.settled().await;
    fleet.controls[1].take().expect("replica").kill();
    fleet
        .until("the jobs can be read", || async {
            fleet.job(&address, &accepted[0]).await.is_ok()
        })
        .await;
    for id in &accepted {
        assert_complete(&fleet, id).await;
    }
}

async fn assert_complete(fleet: &fleet::Fleet, id: &str) {
    let address = fleet.entry_address(1);
    let job = fleet.ended(&address, id).await;
    assert_eq!(job["status"], "completed", "{job}");
    let items = job["request_counts"]["total"].as_u64().expect("number");
    let output = job["output_file_id"].as_str().expect("output file");
    let lines = fleet.lines(&address, output).await;
    let ids: collections::BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line["custom_id"].as_str())
        .collect();
    assert_eq!((lines.len() as u64, ids.len() as u64), (items, items));
}
