//! The exchange with control, the configuration lease, messages between entry VMs,
//! and backend servers that leave.

mod support;

use std::{thread, time};

use bw_wire::{backend as protocol, sync as wire_sync};
use rstest::rstest;
use support::{
    Fleet,
    backend::{Answer, Backend},
    caller, chat_body, fleet, fleet_with, start, wait_for,
};

/// Guards against an entry VM that serves an old configuration without end after it
/// has lost contact with control. It must refuse new work and fail `/readyz`, so
/// that the load balancer stops sending requests.
#[rstest]
fn new_work_is_refused_without_a_lease() {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    assert_eq!(fleet.chat(&chat_body(true)).status, 200);
    fleet.control.lock().unresponsive = true;
    let admin = fleet.entry.admin_address().to_string();
    wait_for("the lease to end", || {
        caller::get(&admin, "/readyz").status == 503
    });
    let response = fleet.chat(&chat_body(true));
    assert_eq!(response.status, 503);
    let refusal = ("configuration_stale".to_owned(), "not_run".to_owned());
    assert_eq!(response.refusal(), refusal);
    assert!(response.header("retry-after").is_some());
    assert_eq!(fleet.backends[0].count(), 1);
    assert_eq!(caller::get(&admin, "/healthz").status, 200);
    fleet.control.lock().unresponsive = false;
    wait_for("the lease", || caller::get(&admin, "/readyz").status == 200);
}

/// Guards against a lease that counts from the arrival of a response: after a late
/// response it would last longer than the leader assumes.
#[rstest]
fn the_lease_counts_from_the_time_of_sending() {
    let control = support::control::Control::start();
    control.lock().answer_ms = 800;
    let entry = start(&control, "entry-1", |_| {});
    let shared = entry.shared();
    let longest = (0..300)
        .map(|_| {
            thread::sleep(time::Duration::from_millis(5));
            shared.lease.remaining_ms(shared.clock.now_ms())
        })
        .max();
    let longest = longest.expect("a lease");
    assert!(
        longest > 0 && longest <= wire_sync::CONFIG_LEASE_MS - 800,
        "{longest}"
    );
}

/// Guards against an entry VM of a large fleet that refuses new work because both
/// calls of one exchange get no response.
#[rstest]
fn one_failed_exchange_at_the_long_interval_does_not_end_the_lease() {
    let control = support::control::Control::start();
    control.lock().interval_ms = wire_sync::LONG_INTERVAL_MS;
    let entry = start(&control, "entry-1", |_| {});
    let shared = entry.shared();
    wait_for("the lease", || {
        shared.lease.remaining_ms(shared.clock.now_ms()) > 0
    });
    thread::sleep(time::Duration::from_millis(1_500));
    control.lock().unanswered_syncs = 2;
    let least = (0..900)
        .map(|_| {
            thread::sleep(time::Duration::from_millis(5));
            shared.lease.remaining_ms(shared.clock.now_ms())
        })
        .min();
    assert_eq!(control.lock().unanswered_syncs, 0, "the exchange was lost");
    let least = least.expect("a lease");
    println!("least rest of the lease: {least} ms");
    assert!(least > 0);
}

/// Guards against a lease for a configuration that the leader does not have, and
/// against a configuration that reverts to an older revision.
#[rstest]
fn an_older_revision_neither_applies_nor_extends_the_lease() {
    let fleet = fleet(Vec::new());
    fleet.control.lock().revision = 5;
    let shared = fleet.entry.shared();
    wait_for("revision 5", || shared.snapshot.load().revision == 5);
    {
        let mut control = fleet.control.lock();
        control.revision = 4;
        control.intent.models.clear();
    }
    let admin = fleet.entry.admin_address().to_string();
    wait_for("the lease to end", || {
        caller::get(&admin, "/readyz").status == 503
    });
    assert_eq!(shared.snapshot.load().revision, 5);
    assert!(!shared.snapshot.load().intent.models.is_empty());
}

/// Guards against a revision that is reported to control before the entry VM serves
/// it.
#[rstest]
fn a_revision_is_reported_once_it_is_in_force() {
    let fleet = fleet(Vec::new());
    {
        let mut control = fleet.control.lock();
        let model = control.intent.models.values().next().cloned();
        control
            .intent
            .models
            .insert("new".into(), model.expect("a model"));
        control.revision = 2;
    }
    wait_for("the report", || {
        let control = fleet.control.lock();
        control.syncs.last().is_some_and(|sync| sync.revision == 2)
    });
    assert_eq!(caller::get(&fleet.address(), "/v1/models/new").status, 200);
}

/// Guards against reports that the leader cannot date although it has responded
/// before. The next request must return the leader's clock and give its times from
/// the arrival of the response.
#[rstest]
fn reports_count_from_the_arrival_of_the_last_response() {
    let fleet = fleet_with(vec![Backend::engine("e1", &[Answer::Whole])], |_| {});
    fleet.control.lock().clock_ms = 77;
    let backend = &fleet.backends[0];
    wait_for("a dated report", || {
        backend.announce(&fleet.address());
        let control = fleet.control.lock();
        let mut syncs = control.syncs.iter();
        syncs.any(|sync| sync.clock_ms == Some(77) && !sync.heard.is_empty())
    });
    let control = fleet.control.lock();
    let syncs = control.syncs.iter();
    let dated = syncs.filter(|sync| sync.clock_ms == Some(77));
    let times: Vec<i64> = dated
        .flat_map(|sync| &sync.heard)
        .map(|dated| dated.at_ms)
        .collect();
    let limit = wire_sync::CONFIG_LEASE_MS as i64;
    assert!(
        times.iter().all(|at_ms| (-limit..limit).contains(at_ms)),
        "{times:?}"
    );
    let first = control.syncs.first().expect("a request");
    assert_eq!(first.clock_ms, None, "nothing to count from");
}

/// Sends requests one after another and returns how many of them reached the
/// backend server.
fn send_and_count(fleet: &Fleet, requests: usize) -> usize {
    let before = fleet.backends[0].count();
    for _ in 0..requests {
        fleet.chat(&chat_body(false));
    }
    fleet.backends[0].count() - before
}

/// Guards against new work for a backend server that has announced that it is
/// leaving, also when an older announcement arrives late.
#[rstest]
fn a_leaving_backend_server_gets_no_new_work() {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    assert_eq!(send_and_count(&fleet, 3), 3);
    let backend = &fleet.backends[0];
    backend.stop_renewals();
    backend.change(|announcement| announcement.state = protocol::State::Leaving);
    backend.announce(&fleet.address());
    assert_eq!(send_and_count(&fleet, 3), 0);
    backend.change(|announcement| {
        announcement.state = protocol::State::Ready;
        announcement.sequence = 1;
    });
    backend.announce(&fleet.address());
    assert_eq!(send_and_count(&fleet, 3), 0);
    backend.change(|announcement| announcement.incarnation += 1);
    backend.announce(&fleet.address());
    assert_eq!(send_and_count(&fleet, 3), 3, "a later incarnation is back");
}

/// Guards against an announcement that costs a backend server its work although it cannot
/// come from one: a field is missing or has another type.
#[rstest]
fn an_incomplete_announcement_changes_nothing() {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    assert_eq!(send_and_count(&fleet, 3), 3);
    let mut whole = serde_json::Value::Null;
    fleet.backends[0].change(|announcement| {
        let mut later = announcement.clone();
        later.incarnation += 1;
        later.state = protocol::State::Leaving;
        whole = serde_json::to_value(&later).expect("JSON");
    });
    let fields: Vec<String> = whole.as_object().expect("fields").keys().cloned().collect();
    for id in ["e1", "agent"] {
        for field in &fields {
            for damage in [None, Some(serde_json::Value::Null), Some([[1]].into())] {
                let mut body = whole.clone();
                body["id"] = id.into();
                match damage {
                    Some(value) => body[field] = value,
                    None => drop(body.as_object_mut().expect("fields").remove(field)),
                }
                let path = protocol::ANNOUNCE_PATH;
                let response = caller::post(&fleet.address(), path, &[], &body.to_string());
                assert_eq!(response.status, 400, "{field}: {body}");
            }
        }
    }
    assert_eq!(send_and_count(&fleet, 3), 3);
}

/// Guards against new work for a backend server that left without announcing it. It
/// must get none 3 s after its last announcement or successful probe, also on an
/// entry VM that cannot reach control.
#[rstest]
#[case::connected(false)]
#[case::without_control(true)]
fn a_silent_backend_server_gets_no_new_work_after_3_s(#[case] without_control: bool) {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    let backend = &fleet.backends[0];
    assert_eq!(send_and_count(&fleet, 1), 1);
    fleet.control.lock().unresponsive = without_control;
    backend
        .healthy
        .store(false, std::sync::atomic::Ordering::SeqCst);
    backend.stop_renewals();
    thread::sleep(time::Duration::from_millis(3_500));
    // Without control, the lease ends too. It is extended here, as its end would
    // also refuse the request.
    let shared = fleet.entry.shared();
    shared.lease.extend(shared.clock.now_ms() + 60_000);
    let response = fleet.chat(&chat_body(false));
    assert_eq!(
        response.refusal(),
        ("no_backend".to_owned(), "not_run".to_owned())
    );
    assert_eq!(backend.count(), 1);
}

/// Guards against backend servers that get no work because their renewals go to
/// other entry VMs: a successful probe is enough.
#[rstest]
fn a_probe_keeps_a_backend_server_in_use() {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    fleet.backends[0].stop_renewals();
    thread::sleep(time::Duration::from_millis(4_500));
    assert_eq!(fleet.chat(&chat_body(false)).status, 200);
}

/// Guards against an announcement of leaving that stays on the entry VM that
/// received it, and against links between entry VMs that work only without or only
/// with tokens.
#[rstest]
#[case::with_tokens(true)]
#[case::without_tokens(false)]
fn peers_are_told_that_a_backend_server_is_leaving(#[case] tokens: bool) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("peers");
    std::fs::write(&file, "entry-1: one\nentry-2: two\n").expect("written");
    let first = fleet_with(vec![Backend::engine("e1", &[Answer::Whole])], |settings| {
        settings.tokens.peers = tokens.then(|| file.clone());
    });
    let second = start(&first.control, "entry-2", |settings| {
        settings.tokens.peers = tokens.then(|| file.clone());
    });
    let backend = &first.backends[0];
    backend.announce(&second.address().to_string());
    let peer = |name: &str, address: String| wire_sync::Peer {
        entry: name.into(),
        incarnation: 1,
        failure_domain: "a".into(),
        address: address.as_str().into(),
    };
    first.control.lock().peers = vec![
        peer("entry-1", first.entry.peer_address().to_string()),
        peer("entry-2", second.peer_address().to_string()),
    ];
    wait_for("the peers", || {
        first.entry.shared().snapshot.load().peers.len() == 1
    });
    backend.stop_renewals();
    backend.change(|announcement| announcement.state = protocol::State::Leaving);
    backend.announce(&first.address());
    let table = &second.shared().table;
    wait_for("the notice", || table.is_leaving("e1"));
    let body = chat_body(false).to_string();
    let address = second.address().to_string();
    let response = caller::post(&address, "/v1/chat/completions", &[], &body);
    assert_eq!(response.refusal().0, "no_backend");
}

/// Guards against peer messages without credentials, with which anyone could take
/// backend servers out of use.
#[rstest]
fn a_peer_message_without_credentials_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("peers");
    std::fs::write(&file, "entry-1: one\n").expect("written");
    let fleet = fleet_with(Vec::new(), |settings| {
        settings.tokens.peers = Some(file.clone())
    });
    let address = fleet.entry.peer_address().to_string();
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"peer","params":[]}"#;
    let json = ("content-type", "application/json");
    assert_eq!(caller::post(&address, "/", &[json], body).status, 401);
    let token = ("authorization", "Bearer one");
    assert_eq!(
        caller::post(&address, "/", &[json, token], body).status,
        200
    );
}

/// Guards against owners of batch work that do not learn at once of online requests
/// on other entry VMs.
#[rstest]
fn online_counts_are_sent_to_the_owner() {
    let first = fleet(vec![Backend::engine("e1", &[Answer::Freeze])]);
    let second = start(&first.control, "entry-2", |_| {});
    let mut messages = second.shared().peer_messages.subscribe();
    {
        let mut control = first.control.lock();
        control.peers = vec![wire_sync::Peer {
            entry: "entry-2".into(),
            incarnation: 1,
            failure_domain: "a".into(),
            address: second.peer_address().to_string().as_str().into(),
        }];
        control.owners = [("e1".into(), "entry-2".into())].into();
    }
    wait_for("the peers", || {
        first.entry.shared().snapshot.load().peers.len() == 1
    });
    let address = first.address();
    let request = thread::spawn(move || {
        let headers = [("bw-deadline-ms", "1000")];
        let body = chat_body(false).to_string();
        caller::post(&address, "/v1/chat/completions", &headers, &body)
    });
    let mut counts = Vec::new();
    wait_for("both counts", || {
        while let Ok(message) = messages.try_recv() {
            if let bw_wire::peer::Message::Online { online, .. } = message {
                counts.push(online);
            }
        }
        counts.len() >= 2
    });
    assert_eq!(counts, [1, 0]);
    request.join().expect("ended");
}
