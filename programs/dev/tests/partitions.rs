//! Partitions of real connections in one direction.

mod fleet;

use std::time;

use bw_client::control;
use bw_wire::{backend, intent, query, renewal, sync};
use nix::sys::signal;
use rstest::rstest;
use serde_json::Value;

use fleet::{End, Fleet, http};

const PAUSE: time::Duration = time::Duration::from_millis(20);

/// The direction in which a control leader is cut off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Sends,
    Receives,
}

/// Guards against a leader that is cut off from the other replicas in one
/// direction and goes on to lead, to grant leases or to answer from its state,
/// and against a change or a job that is lost on the way to the next leader.
#[rstest]
#[case::sends(Cut::Sends)]
#[case::receives(Cut::Receives)]
#[tokio::test(flavor = "multi_thread")]
async fn leader_cut_off_in_one_direction_is_replaced(#[case] cut: Cut) {
    let fleet = fleet::Builder {
        relay_controls: true,
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let address = fleet.entry_address(0);
    let lines = fleet::batch_lines(30, 8);
    let job = fleet.submit(&address, &lines, None).await;
    let id = job["id"].as_str().expect("job id").to_owned();
    let old = fleet.leader(0).await;
    match cut {
        Cut::Sends => fleet.block_sends(End::Control(old)),
        Cut::Receives => fleet.block_receives(End::Control(old)),
    }

    for group in 0..=2 {
        fleet.leader_except(group, Some(old)).await;
        fleet
            .until("the old leader has stepped down", || async {
                let state = fleet.group(old, group).await;
                state.is_some_and(|state| state.role != "leader")
            })
            .await;
    }
    let (base, mut intent) = fleet.intent().await;
    let version = "2";
    intent.models.get_mut(fleet::MODEL).expect("model").version = version.into();
    let revision = fleet.apply("during the cut", intent).await;
    let revision = revision.expect("revision");
    assert_eq!(revision, base + 1);
    assert_gives_nothing(&fleet, old, revision).await;
    for engine in 0..2 {
        fleet
            .until("the new leader gives its orders", || async {
                let orders = fleet.orders(engine).await;
                orders.iter().any(|order| version_of(order) == version)
            })
            .await;
    }
    fleet.ready().await;
    assert_complete(&fleet, &id, 30).await;
    assert_gives_nothing(&fleet, old, revision).await;

    fleet.unblock();
    fleet.settled().await;
    let (current, _) = fleet.intent().await;
    assert_eq!(current, revision);
    assert_complete(&fleet, &id, 30).await;
    let lines = fleet::batch_lines(3, 2);
    let job = fleet.submit(&fleet.entry_address(1), &lines, None).await;
    assert_complete(&fleet, job["id"].as_str().expect("job id"), 3).await;
    for engine in 0..2 {
        let orders = fleet.orders(engine).await;
        let fences: Vec<u64> = orders.iter().map(fence_of).collect();
        assert!(
            fences.is_sorted_by(|left, right| left < right),
            "{fences:?}"
        );
        assert!(orders.iter().all(|order| order["status"] == 200));
    }
}

/// Asserts that a replica that is cut off grants no lease and answers no read
/// from before a revision.
async fn assert_gives_nothing(fleet: &Fleet, replica: usize, revision: u64) {
    for _ in 0..5 {
        let client = fleet.client_of(replica);
        if let Ok(answer) = client.query(0, query::Query::Config).await {
            let query::Answer::Config { revision: read, .. } = answer else {
                panic!("{answer:?}");
            };
            assert!(read >= revision, "revision {read} after {revision}");
        }
        let lease = lease(&client).await;
        assert!(lease.is_err(), "{lease:?}\n{}", fleet.logs());
    }
}

/// Asks for a configuration lease as an entry VM of its own.
async fn lease(client: &control::Client) -> Result<sync::Response, control::Error> {
    let request = sync::Request {
        entry: "probe".into(),
        incarnation: 1,
        failure_domain: fleet::settings::failure_domain(0).into(),
        peer_address: "127.0.0.1:1".into(),
        revision: 0,
        leader_term: 0,
        table: 0,
        clock_ms: None,
        heard: Vec::new(),
        renewals: renewal::Reports::default(),
        online: renewal::Counts::default(),
        online_unlisted: std::collections::BTreeMap::new(),
        draining: true,
    };
    client.sync(&request).await
}

/// Guards against an entry VM that reaches control without getting answers and
/// serves on with an old configuration, although operators were told that
/// another one is in force.
#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_without_answers_from_control_serves_nothing_old() {
    let fleet = fleet::Builder {
        controls: 1,
        relay_entries: true,
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let cut_off = fleet.entry_address(1);
    fleet.block_receives(End::Entry(1));
    let (_, mut intent) = fleet.intent().await;
    intent.models.insert("second".into(), unplaced_model());
    let revision = fleet.apply("during the cut", intent).await;
    let revision = revision.expect("revision");
    fleet
        .until("the revision is in force", || async {
            let state = fleet.client().in_force(revision).await;
            state.is_ok_and(|state| state.everywhere)
        })
        .await;
    for _ in 0..20 {
        assert_serves_nothing_old(&fleet, &cut_off).await;
        tokio::time::sleep(PAUSE).await;
    }
    fleet
        .until("the lease is over", || async {
            assert_serves_nothing_old(&fleet, &cut_off).await;
            let answer = fleet.chat(&cut_off, "late?", 2).send().await;
            answer.expect("answer").status != 200
        })
        .await;
    let answer = fleet.chat(&cut_off, "late?", 2).send().await;
    let answer = answer.expect("answer");
    assert_eq!(answer.code(), "configuration_stale", "{}", answer.text());
    assert_eq!((answer.status, answer.verdict().as_str()), (503, "not_run"));
    let admin = fleet.entry_admin_address(1);
    let ready = fleet.http.get(&admin, "/readyz").send().await;
    assert_eq!(ready.expect("answer").status, 503);
    let other = fleet.chat(&fleet.entry_address(0), "on time?", 2).send();
    assert_eq!(other.await.expect("answer").status, 200);

    fleet.unblock();
    fleet.ready().await;
    let answer = models(&fleet, &cut_off).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.text().contains("second"), "{}", answer.text());
}

async fn assert_serves_nothing_old(fleet: &Fleet, address: &str) {
    let answer = models(fleet, address).await;
    let fresh = answer.status == 200 && answer.text().contains("second");
    assert!(
        fresh || is_stale(&answer),
        "old revision served: {}",
        answer.text()
    );
}

async fn models(fleet: &Fleet, address: &str) -> http::Answer {
    let answer = fleet.http.get(address, "/v1/models").send().await;
    answer.expect("answer")
}

/// Guards against an entry VM that is cut off from its peers and control and
/// sends new work to a backend server that said 3 s ago, through another entry
/// VM, that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_entry_vm_sends_nothing_to_a_backend_server_that_left() {
    let fleet = fleet::Builder {
        controls: 1,
        relay_entries: true,
        announce_to: Some(0),
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let cut_off = fleet.entry_address(1);
    fleet
        .until("the entry VM uses the engine", || async {
            let before = fleet.received(0).await;
            send_some(&fleet, &cut_off).await;
            fleet.received(0).await > before
        })
        .await;
    for entry in 0..2 {
        fleet.block_receives(End::Entry(entry));
        fleet.block_sends(End::Entry(entry));
    }
    let order = serde_json::json!({ "fence": 1_000_000_000, "action": "leave" });
    let engine = fleet.engine_address(0);
    let left = fleet.http.post(&engine, "/backend/orders").json(&order);
    assert_eq!(left.send().await.expect("answer").status, 200);
    let left = time::Instant::now();
    let limit = time::Duration::from_millis(backend::PROOF_MAX_AGE_MS);
    while left.elapsed() < limit - 5 * PAUSE {
        // Until then the engine may be chosen, and refuses.
        for answer in send_some(&fleet, &cut_off).await {
            let refused = answer.status == 503 && answer.verdict() == "not_run";
            assert!(refused || answer.status == 200, "{}", answer.text());
        }
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(limit.saturating_sub(left.elapsed())).await;

    let before = fleet.received(0).await;
    let mut answers = Vec::new();
    loop {
        answers.extend(send_some(&fleet, &cut_off).await);
        if answers.iter().any(is_stale) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(fleet.received(0).await, before, "{}", fleet.logs());
    for answer in &answers {
        let open = answer.status == 200 || is_stale(answer);
        assert!(open, "{}", answer.text());
    }
    fleet.unblock();
    fleet.ready().await;
    for _ in 0..5 {
        send_some(&fleet, &cut_off).await;
    }
    assert_eq!(fleet.received(0).await, before, "{}", fleet.logs());
}

/// Returns whether the configuration lease of the entry VM was over.
fn is_stale(answer: &http::Answer) -> bool {
    answer.status == 503 && answer.code() == "configuration_stale"
}

/// Sends requests at once and returns their answers.
async fn send_some(fleet: &Fleet, address: &str) -> Vec<http::Answer> {
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let text = format!("question {number}");
            tokio::spawn(fleet.chat(address, &text, 2).send())
        })
        .collect();
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.expect("task").expect("answer"));
    }
    answers
}

/// Guards against an order of a frozen leader that reaches an engine, which
/// ignores fencing numbers, after the first order of the next leader.
#[tokio::test(flavor = "multi_thread")]
async fn continued_leader_sends_no_older_order_to_an_engine_that_ignores_fencing() {
    let fleet = fleet::Builder {
        entries: 1,
        engines: 1,
        relay_controls: true,
        empty_engines: true,
        // Without answers the leader leads for longer than it takes to decide
        // on an order, which is once a second.
        control: serde_json::json!({ "timeouts": { "election_ms": 3_000 } }),
        engine: serde_json::json!({ "checks_fencing": false }),
        checks_fencing: false,
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let (mut old, mut given) = hold_order(&fleet, 2).await;
    for version in 3.. {
        // The order was decided on before the connections were blocked.
        if fleet.orders(0).await.len() == given {
            break;
        }
        fleet.unblock();
        fleet.settled().await;
        (old, given) = hold_order(&fleet, version).await;
    }
    let process = fleet.controls[old].as_ref().expect("leader");
    process.signal(signal::Signal::SIGSTOP);
    fleet.leader_except(0, Some(old)).await;
    fleet
        .until("the new leader gives its first order", || async {
            fleet.orders(0).await.len() > given
        })
        .await;
    fleet.unblock();
    process.signal(signal::Signal::SIGCONT);
    fleet.settled().await;

    declare_version(&fleet, "last").await;
    fleet
        .until("the next order arrives", || async {
            let orders = fleet.orders(0).await;
            orders.iter().any(|order| version_of(order) == "last")
        })
        .await;
    let orders = fleet.orders(0).await;
    let fences: Vec<u64> = orders.iter().map(fence_of).collect();
    let grow = fences.is_sorted_by(|left, right| left < right);
    assert!(grow, "{fences:?}\n{}", fleet.logs());
}

/// Declares a version of the model and blocks what the leader receives, so that
/// it proposes an order and would send it when the followers' answers arrive.
/// Returns the leader, once the order is in a follower's log or was given before
/// the connections were blocked, and the number of orders before.
async fn hold_order(fleet: &Fleet, version: u32) -> (usize, usize) {
    let leader = fleet.leader(0).await;
    let given = fleet.orders(0).await.len();
    declare_version(fleet, &version.to_string()).await;
    let state = fleet.group(leader, 0).await.expect("leader answers");
    fleet.block_receives(End::Control(leader));
    fleet
        .until("the order is in a follower's log", || async {
            log_end(fleet, (leader + 1) % 3).await > state.applied
                || fleet.orders(0).await.len() > given
        })
        .await;
    (leader, given)
}

async fn declare_version(fleet: &Fleet, version: &str) {
    let (_, mut intent) = fleet.intent().await;
    let model = intent.models.get_mut(fleet::MODEL).expect("model");
    model.version = version.into();
    model.min_ready = 0;
    fleet.apply("versions", intent).await.expect("revision");
}

/// Returns the last index in the log of group 0 at a control replica.
async fn log_end(fleet: &Fleet, control: usize) -> u64 {
    let admin = fleet.control_admin_address(control);
    let answer = fleet.http.get(&admin, "/metrics").send().await;
    let text = answer.expect("answer").text();
    let name = "bw_control_log_index{group=\"0\",position=\"last\"}";
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let line = line.unwrap_or_else(|| panic!("no log index in:\n{text}"));
    line.trim().parse().expect("number")
}

async fn assert_complete(fleet: &Fleet, id: &str, items: usize) {
    let address = fleet.entry_address(1);
    let job = fleet.ended(&address, id).await;
    assert_eq!(job["status"], "completed", "{job}");
    assert_eq!(job["request_counts"]["completed"], items, "{job}");
    let output = job["output_file_id"].as_str().expect("output file");
    let lines = fleet.lines(&address, output).await;
    let ids: std::collections::BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line["custom_id"].as_str())
        .collect();
    assert_eq!((lines.len(), ids.len()), (items, items));
}

fn fence_of(order: &Value) -> u64 {
    order["order"]["fence"].as_u64().expect("fencing number")
}

fn version_of(order: &Value) -> &str {
    let load = &order["order"]["action"]["load"];
    load["version"].as_str().unwrap_or_default()
}

fn unplaced_model() -> intent::Model {
    intent::Model {
        deployment: "engines".into(),
        replicas: 0,
        min_ready: 0,
        ..intent::Model::default()
    }
}
