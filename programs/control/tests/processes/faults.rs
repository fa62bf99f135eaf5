//! Tests kills, stops, restarts, lost disks and frozen leaders.

use std::time;

use nix::sys::signal;

use bw_client::control;
use bw_wire::{command::work, fingerprint, member, query};

use crate::{
    cluster::{Cluster, group_of},
    operators::{confirm, intent, plan, planned},
};

async fn claim(client: &control::Client, key: &str, value: &str) -> work::Reply {
    let command = work::Command::Claim {
        team: "t".into(),
        key: key.into(),
        body: fingerprint::Fingerprint(1, 1),
        value: value.into(),
    };
    client.work(1, command).await.expect("an answer")
}

fn claimed(value: &str, fresh: bool) -> work::Reply {
    work::Reply::Claimed {
        value: value.into(),
        fresh,
    }
}

/// Guards against an acknowledged command that is lost with its leader, or with
/// all processes at once.
#[tokio::test]
async fn acknowledged_commands_survive_kills() {
    let mut cluster = Cluster::start(None);
    for round in 0..3 {
        let leader = cluster.leader(1).await;
        let client = cluster.client();
        let key = format!("k{round}");
        assert_eq!(claim(&client, &key, "first").await, claimed("first", true));
        cluster.replica(leader).kill();
        let client = cluster.client();
        assert_eq!(
            claim(&client, &key, "second").await,
            claimed("first", false)
        );
        cluster.replica(leader).launch();
    }
    for id in 1..=3 {
        cluster.replica(id).kill();
    }
    for id in 1..=3 {
        cluster.replica(id).launch();
    }
    let client = cluster.client();
    for round in 0..3 {
        let reply = claim(&client, &format!("k{round}"), "third").await;
        assert_eq!(reply, claimed("first", false), "{}", cluster.logs());
    }
}

/// Guards against a graceful stop that leaves the groups without a leader or ends with
/// an error.
#[tokio::test]
async fn a_graceful_stop_transfers_leadership() {
    let mut cluster = Cluster::start(None);
    let leader = cluster.leader(0).await;
    let client = cluster.client();
    assert_eq!(claim(&client, "k", "v").await, claimed("v", true));
    assert!(cluster.replica(leader).terminate(), "{}", cluster.logs());
    assert_ne!(cluster.leader(0).await, leader);
    assert_eq!(
        claim(&cluster.client(), "k", "w").await,
        claimed("v", false)
    );
}

/// Guards against commands that are lost with a disk, also when a second replica is lost
/// right after the first was replaced.
#[tokio::test]
async fn a_lost_disk_is_replaced_under_a_new_id() {
    let mut cluster = Cluster::start(None);
    let client = cluster.client();
    assert_eq!(claim(&client, "k", "v").await, claimed("v", true));
    let id = planned(&client, plan("p1", 0, 2)).await;
    client.config(confirm("c1", &id)).await.expect("an answer");
    cluster.replica(3).kill();
    cluster.lose_disk(3);
    // The replacement runs in the failure domain of the lost replica.
    cluster.add(6);
    let client = cluster.client();
    let added = member::Change::Add(cluster.member(6));
    client.members(&added).await.expect("added");
    cluster.wait_for_voter(6, 2).await;
    let removed = member::Change::Remove { replica: 3 };
    let members = client.members(&removed).await.expect("removed");
    assert!(members.iter().all(|member| member.replica != 3));
    // The removal is committed in all groups, so another replica may be lost at once. A
    // repeat of the change gets the same answer.
    cluster.replica(1).kill();
    let repeated = cluster.client().members(&removed).await;
    assert_eq!(repeated.map(|members| members.len()), Ok(3));
    let client = cluster.client();
    assert_eq!(
        claim(&client, "k", "w").await,
        claimed("v", false),
        "{}",
        cluster.logs()
    );
    assert_eq!(cluster.revision().await, 1);
    cluster.wait_for_members(2, &[1, 2, 6]).await;
}

/// Guards against a former leader that resumes after a long freeze and answers from its
/// old state.
#[tokio::test]
async fn a_frozen_leader_returns_no_stale_answer() {
    let mut cluster = Cluster::start(None);
    let old = cluster.leader(0).await;
    let address = cluster.replica(old).address.clone();
    let client = cluster.client();
    let plan_id = planned(&client, plan("p1", 0, 2)).await;
    client
        .config(confirm("c1", &plan_id))
        .await
        .expect("an answer");
    cluster.replica(old).signal(signal::Signal::SIGSTOP);
    let plan_id = planned(&client, plan("p2", 1, 3)).await;
    client
        .config(confirm("c2", &plan_id))
        .await
        .expect("an answer");
    cluster.replica(old).signal(signal::Signal::SIGCONT);
    let direct = control::Builder::new(vec![address])
        .total_timeout(time::Duration::from_millis(100))
        .build();
    for _ in 0..20 {
        if let Ok(answer) = direct.query(0, query::Query::Config).await {
            let expected = query::Answer::Config {
                revision: 2,
                intent: intent(3),
            };
            assert_eq!(answer, expected);
        }
    }
    assert_eq!(cluster.revision().await, 2);
}

/// Guards against idle entry VMs that fill the log with requests for leases, and against
/// a logged request for one model when only another has work.
#[tokio::test]
async fn takes_that_lease_nothing_are_not_logged() {
    const TAKES: u64 = 200;
    let mut cluster = Cluster::start(None);
    let client = cluster.client();
    let line = work::Line {
        number: 1,
        custom_id: None,
        content: work::Content::Request {
            url: "/u".to_owned(),
            model: "m".into(),
            body: "{}".to_owned(),
        },
    };
    let commands = [
        work::Command::FileChunk {
            file: "file-g1-a".into(),
            chunk: 0,
            lines: vec![line],
        },
        work::Command::FileSeal {
            file: "file-g1-a".into(),
            team: "t".into(),
            filename: "in.jsonl".to_owned(),
            purpose: "batch".to_owned(),
            bytes: 2,
            chunks: 1,
        },
        work::Command::JobCreate {
            job: "batch_g1_a".into(),
            team: "t".into(),
            file: "file-g1-a".into(),
            endpoint: "/u".to_owned(),
            window_ms: 3_600_000,
            metadata: Default::default(),
        },
    ];
    for command in commands {
        client.work(1, command).await.expect("an answer");
    }
    let before = commit(&mut cluster).await;
    for _ in 0..TAKES {
        assert_eq!(take(&client, "n").await, 0);
    }
    // Elections and internal commands of the leader may add a few entries.
    let added = commit(&mut cluster).await - before;
    assert!(added < TAKES / 4, "{added} entries");
    assert_eq!(take(&client, "m").await, 1);
}

/// Requests a lease of at most one chunk (`want`) for a model, and returns the number
/// of chunks that were leased.
async fn take(client: &control::Client, model: &str) -> usize {
    let command = work::Command::Take {
        holder: "entry-1/1".into(),
        want: 1,
        lease_ms: 60_000,
        models: vec![model.into()],
    };
    match client.work(1, command).await {
        Ok(work::Reply::Taken { leases }) => leases.len(),
        other => panic!("unexpected reply {other:?}"),
    }
}

/// Returns the commit index of group 1 at its leader.
async fn commit(cluster: &mut Cluster) -> u64 {
    let leader = cluster.leader(1).await;
    let address = cluster.replica(leader).address.clone();
    let status = cluster.client().status(&address).await.expect("a status");
    group_of(&status, 1).expect("group 1").commit
}
