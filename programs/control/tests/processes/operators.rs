//! Tests concurrent operators and operators that lose answers.

use bw_client::control;
use bw_wire::{command::config, intent, name::Name, query};

use crate::cluster::Cluster;

pub fn intent(replicas: u32) -> Box<intent::Intent> {
    let mut declared = intent::Intent::default();
    let model = intent::Model {
        replicas,
        ..intent::Model::default()
    };
    declared.models.insert("m".into(), model);
    Box::new(declared)
}

pub fn plan(request: &str, base: u64, replicas: u32) -> config::Command {
    config::Command::Plan {
        request: request.into(),
        operator: "operator".into(),
        base,
        intent: intent(replicas),
    }
}

pub fn confirm(request: &str, plan: &Name) -> config::Command {
    config::Command::Confirm {
        request: request.into(),
        operator: "operator".into(),
        plan: plan.clone(),
    }
}

/// Plans and returns the plan's id.
pub async fn planned(client: &control::Client, command: config::Command) -> Name {
    match client.config(command).await {
        Ok(config::Reply::Planned { plan, .. }) => plan,
        other => panic!("unexpected reply {other:?}"),
    }
}

/// Guards against an operator that overwrites the change of another, and against a
/// repeated request that gets a different answer than the first one.
#[tokio::test]
async fn of_two_operators_with_one_base_the_first_wins() {
    let cluster = Cluster::start(None);
    let client = cluster.client();
    let first = planned(&client, plan("p1", 0, 2)).await;
    let second = planned(&client, plan("p2", 0, 3)).await;
    let applied = config::Reply::Applied { revision: 1 };
    assert_eq!(
        client.config(confirm("c1", &first)).await,
        Ok(applied.clone())
    );
    match client.config(confirm("c2", &second)).await {
        Ok(config::Reply::Conflict { current: 1, since }) => {
            assert_eq!(since.len(), 1);
            assert_eq!(since[0].plan, first);
        }
        other => panic!("unexpected reply {other:?}"),
    }
    assert_eq!(client.config(confirm("c1", &first)).await, Ok(applied));
    let answer = client.query(0, query::Query::Config).await;
    let expected = query::Answer::Config {
        revision: 1,
        intent: intent(2),
    };
    assert_eq!(answer, Ok(expected));
}

/// Guards against a confirm that is lost or applied twice when the leader is killed right
/// after its answer, and against revisions that revert on a restart.
#[tokio::test]
async fn a_confirm_survives_the_leader() {
    let mut cluster = Cluster::start(None);
    for revision in 1..=3 {
        let leader = cluster.leader(0).await;
        let client = cluster.client();
        let id = planned(&client, plan(&format!("p{revision}"), revision - 1, 1)).await;
        let command = confirm(&format!("c{revision}"), &id);
        let applied = config::Reply::Applied { revision };
        assert_eq!(client.config(command.clone()).await, Ok(applied.clone()));
        cluster.replica(leader).kill();
        // The operator lost the answer and repeats the request at the new leader.
        let client = cluster.client();
        assert_eq!(
            client.config(command).await,
            Ok(applied),
            "{}",
            cluster.logs()
        );
        assert_eq!(cluster.revision().await, revision);
        cluster.replica(leader).launch();
    }
}
