//! Control replicas that lose their disk, and are replaced.

mod fleet;

use std::{
    fs,
    io::{self, BufRead},
    process, time,
};

use bw_wire::member;

const POLL: time::Duration = time::Duration::from_millis(100);

/// Guards against a replacement that counts before it has caught up, so that
/// the loss of a second replica right after the repair loses accepted jobs.
#[tokio::test(flavor = "multi_thread")]
async fn second_replica_lost_right_after_a_repair_loses_no_job() {
    let mut fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let job = fleet
        .submit(&address, &fleet::batch_lines(40, 2), None)
        .await;
    let id = job["id"].as_str().expect("job id").to_owned();
    fleet.ended(&address, &id).await;

    fleet.controls[2].take().expect("replica").kill();
    fs::remove_dir_all(fleet.path("control-2.data")).expect("disk is lost");
    fleet.start_replacement(2, 4);
    let client = fleet.client();
    let new = member::Member {
        replica: 4,
        address: fleet.control_address(2).into(),
        failure_domain: fleet::settings::failure_domain(2).into(),
        voter: false,
    };
    client
        .members(&member::Change::Add(new))
        .await
        .expect("replica is added");
    wait_until_votes(&fleet, 4).await;
    client
        .members(&member::Change::Remove { replica: 3 })
        .await
        .expect("lost replica is removed");
    fleet.controls[0].take().expect("replica").kill();

    fleet
        .until("the job can be read", || async {
            fleet.job(&address, &id).await.is_ok()
        })
        .await;
    let job = fleet.job(&address, &id).await.expect("job");
    assert_eq!(job["request_counts"]["completed"], 40, "{job}");
    let output = job["output_file_id"].as_str().expect("output file");
    assert_eq!(fleet.lines(&address, output).await.len(), 40);
    complete_job(&fleet, &address).await;
}

/// Submits a small job and waits until it is complete.
async fn complete_job(fleet: &fleet::Fleet, address: &str) {
    let job = fleet.submit(address, &fleet::batch_lines(3, 2), None).await;
    let job = fleet
        .ended(address, job["id"].as_str().expect("job id"))
        .await;
    assert_eq!(job["request_counts"]["completed"], 3, "{job}");
}

/// Guards against a replacement that votes beside the lost replica: after the command was
/// interrupted, its loss would leave no majority.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_replacement_that_is_lost_costs_no_majority() {
    let mut fleet = fleet::Builder::default().start().await;
    fleet.controls[2].take().expect("replica").kill();
    fleet
        .until("the lost replica is silent", || async {
            for index in 0..2 {
                for group in 0..=2 {
                    let state = fleet.group(index, group).await;
                    if state.is_none_or(|state| state.role == "leader" && state.silent != [3]) {
                        return false;
                    }
                }
            }
            true
        })
        .await;
    fleet.start_replacement(2, 4);
    let controls: Vec<String> = (0..3).map(|index| fleet.control_address(index)).collect();
    let mut command = process::Command::new(fleet::process::binary("bilberry"))
        .args(["--control", &controls.join(",")])
        .args(["control", "replace", "--lost", "3", "--replica", "4"])
        .args(["--address", &fleet.control_address(2)])
        .args(["--failure-domain", fleet::settings::failure_domain(2)])
        .stderr(process::Stdio::piped())
        .spawn()
        .expect("bilberry runs");
    let progress = io::BufReader::new(command.stderr.take().expect("a pipe"));
    let mut progress = progress.lines().map_while(Result::ok);
    let is_added = progress.any(|line| line.contains("catches up"));
    command.kill().expect("own child");
    command.wait().expect("own child");
    assert!(is_added, "{}", fleet.logs());
    wait_until_votes(&fleet, 4).await;
    fleet.controls[2].take().expect("replica").kill();

    let address = fleet.entry_address(0);
    complete_job(&fleet, &address).await;
}

/// Guards against a foreign process on a control port that harms the replica.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_a_control_port_harms_nothing() {
    use std::io::Write;

    let fleet = fleet::Builder::default().start().await;
    for bytes in [
        &b"\x00\xff\x13garbage"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xAA; 100_000],
    ] {
        let mut stream =
            std::net::TcpStream::connect(fleet.control_address(0)).expect("connection");
        // The replica may close the connection while it is still sent to.
        let _ = stream.write_all(bytes);
    }
    let answer = fleet
        .http
        .post(&fleet.control_address(0), "/")
        .json(&serde_json::json!({ "jsonrpc": "2.0", "id": 1, "method": "raft", "params": ["!"] }))
        .send()
        .await;
    if let Ok(answer) = answer {
        assert!(answer.json().get("error").is_some(), "{}", answer.text());
    }
    let (revision, _) = fleet.intent().await;
    assert!(revision > 0);
    let status = fleet
        .client()
        .status(&fleet.control_address(0).into())
        .await;
    assert!(status.is_ok(), "{status:?}");
}

async fn wait_until_votes(fleet: &fleet::Fleet, replica: u64) {
    let start = time::Instant::now();
    loop {
        let mut voting = 0;
        for index in 0..fleet.controls.len() {
            let address = fleet.control_address(index).into();
            let Ok(status) = fleet.client().status(&address).await else {
                continue;
            };
            voting += status
                .groups
                .iter()
                .filter(|group| group.role == "leader")
                .filter(|group| {
                    group
                        .members
                        .iter()
                        .any(|member| member.replica == replica && member.voter)
                })
                .count();
        }
        // Group 0 and two work groups.
        if voting >= 3 {
            return;
        }
        assert!(
            start.elapsed() < fleet::LIMIT,
            "never votes\n{}",
            fleet.logs()
        );
        tokio::time::sleep(POLL).await;
    }
}
