//! Configuration under failure: in force everywhere, never reverting.

mod fleet;

use std::time;

use bw_wire::{command::config, intent};
use nix::sys::signal;

/// The promise: accepted configuration is in force everywhere within 5 s.
const IN_FORCE: time::Duration = time::Duration::from_secs(5);

/// Guards against an entry VM that serves an old revision after operators were
/// told that the new one is in force, also when it was cut off meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_entry_vm_does_not_serve_an_old_revision() {
    let fleet = fleet::Builder::default().start().await;
    let cut_off = fleet.entries[1].as_ref().expect("entry VM");
    cut_off.signal(signal::Signal::SIGSTOP);
    let (_, mut intent) = fleet.intent().await;
    intent.models.insert("second".into(), model());
    let revision = fleet.apply("one", intent).await.expect("revision");
    tokio::time::sleep(IN_FORCE).await;
    let state = fleet.client().in_force(revision).await.expect("answer");
    assert!(state.everywhere, "{state:?}");
    cut_off.signal(signal::Signal::SIGCONT);

    let address = fleet.entry_address(1);
    for _ in 0..20 {
        let answer = fleet.http.get(&address, "/v1/models").send().await;
        let answer = answer.expect("answer");
        let fresh = answer.status == 200 && answer.text().contains("second");
        let refused = answer.status == 503 && answer.code() == "configuration_stale";
        assert!(fresh || refused, "old revision served: {}", answer.text());
    }
    fleet.ready().await;
}

/// Guards against an entry VM that serves on and on without a control leader
/// although the configuration may have moved on.
#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_without_control_refuses_with_not_run() {
    let fleet = fleet::Builder::default().start().await;
    for control in fleet.controls.iter().flatten() {
        control.signal(signal::Signal::SIGSTOP);
    }
    tokio::time::sleep(IN_FORCE).await;
    let address = fleet.entry_address(0);
    let answer = fleet
        .chat(&address, "late?", 2)
        .send()
        .await
        .expect("answer");
    assert_eq!(answer.code(), "configuration_stale", "{}", answer.text());
    assert_eq!((answer.status, answer.verdict().as_str()), (503, "not_run"));
    assert!(answer.headers.contains_key("retry-after"));
    for control in fleet.controls.iter().flatten() {
        control.signal(signal::Signal::SIGCONT);
    }
    fleet.ready().await;
}

/// Guards against a silently cut-off leader that goes on to accept changes, and
/// against a revision that goes back when it returns.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader_does_not_bring_an_old_revision_back() {
    let fleet = fleet::Builder::default().start().await;
    let leader = fleet.leader(0).await;
    let process = fleet.controls[leader].as_ref().expect("leader");
    process.signal(signal::Signal::SIGSTOP);
    let (_, mut intent) = fleet.intent().await;
    intent.models.insert("second".into(), model());
    let revision = fleet.apply("two", intent).await.expect("revision");
    process.signal(signal::Signal::SIGCONT);
    for _ in 0..40 {
        let (current, intent) = fleet.intent().await;
        assert!(current >= revision, "revision went back to {current}");
        assert!(intent.models.contains_key("second"));
        tokio::time::sleep(time::Duration::from_millis(25)).await;
    }
}

/// Guards against two operators who both get their change on the same base, and
/// against a resend that is mistaken for a rival.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_on_one_base_one_is_refused_with_the_change() {
    let fleet = fleet::Builder::default().start().await;
    let client = fleet.client();
    let (base, intent) = fleet.intent().await;
    let mut plans = Vec::new();
    for operator in ["ana", "bo"] {
        let mut intent = intent.clone();
        intent.models.insert(operator.into(), model());
        let command = config::Command::Plan {
            request: format!("plan/{operator}").as_str().into(),
            operator: operator.into(),
            base,
            intent: Box::new(intent),
        };
        match client.config(command).await.expect("reply") {
            config::Reply::Planned { plan, .. } => plans.push((operator, plan)),
            other => panic!("{other:?}"),
        }
    }
    let confirm = |operator: &str, plan: &bw_wire::name::Name| config::Command::Confirm {
        request: format!("confirm/{operator}").as_str().into(),
        operator: operator.into(),
        plan: plan.clone(),
    };
    let (ana, bo) = tokio::join!(
        client.config(confirm(plans[0].0, &plans[0].1)),
        client.config(confirm(plans[1].0, &plans[1].1)),
    );
    let replies = [ana.expect("reply"), bo.expect("reply")];
    let applied = |reply: &config::Reply| matches!(reply, config::Reply::Applied { .. });
    assert_eq!(
        replies.iter().filter(|reply| applied(reply)).count(),
        1,
        "{replies:?}"
    );
    for (reply, (operator, plan)) in replies.iter().zip(&plans) {
        let again = client.config(confirm(operator, plan)).await.expect("reply");
        assert_eq!(&again, reply, "the resend got another answer");
        if let config::Reply::Conflict { since, .. } = reply {
            assert_eq!(since.len(), 1, "{since:?}");
        }
    }
}

/// Guards against a process that comes back after hundreds of changes and
/// serves an older one, and against a lost disk or a second loss after the
/// repair that loses changes.
#[tokio::test(flavor = "multi_thread")]
async fn control_replica_catches_up_after_hundreds_of_changes() {
    let mut fleet = fleet::Builder::default().start().await;
    let stopped = (fleet.leader(0).await + 1) % 3;
    fleet.controls[stopped].take().expect("replica").kill();
    fleet.entries[1].take().expect("entry VM").kill();
    let mut last = 0;
    for number in 0..300 {
        let (_, mut intent) = fleet.intent().await;
        let limits = intent::Limits {
            burst: 1_000 + number,
            ..intent::Limits::default()
        };
        intent.teams.insert("weavers".into(), limits);
        last = fleet.apply("many", intent).await.expect("revision");
    }
    fleet.start_control(stopped);
    fleet.start_entry(1);
    fleet.ready().await;
    fleet
        .until("the replica has caught up", || async {
            let client = fleet.client();
            let mut applied = Vec::new();
            for index in 0..3 {
                let address = fleet.control_address(index).into();
                let Ok(status) = client.status(&address).await else {
                    return false;
                };
                applied.extend(
                    status
                        .groups
                        .iter()
                        .filter(|group| group.group == 0)
                        .map(|group| group.applied),
                );
            }
            applied.len() == 3
                && applied
                    .iter()
                    .all(|index| *index >= applied[0].min(applied[2]))
        })
        .await;
    let other = (0..3)
        .find(|index| *index != stopped)
        .expect("other replica");
    fleet.controls[other].take().expect("replica").kill();
    let (revision, intent) = fleet.intent().await;
    assert_eq!(revision, last);
    assert_eq!(intent.teams["weavers"].burst, 1_299);
}

fn model() -> intent::Model {
    intent::Model {
        deployment: "engines".into(),
        replicas: 0,
        min_ready: 0,
        ..intent::Model::default()
    }
}
