//! Refusals that depend on the configuration or on recorded suspects are checked
//! against the newest state at control.

mod support;

use std::{io::Write, thread, time};

use bw_policy::suspect::Treatment;
use bw_wire::{command::work, fingerprint, intent, sync as wire_sync};
use rstest::rstest;
use support::{
    Fleet,
    backend::{Answer, Backend},
    caller, chat_body, fleet, wait_for,
};

const COMPLETIONS: &str = "/v1/completions";
const UNKNOWN_MODEL: &str = r#"{"model":"new","prompt":"hello"}"#;
/// Number of requests that arrive together.
const CONCURRENT_REQUESTS: usize = 40;

/// Makes control accept a configuration with a new model, a new service and
/// `invoice` declared repeatable. The entry VM gets it in its next exchange.
fn accept_configuration(fleet: &Fleet) {
    let mut control = fleet.control.lock();
    control.revision += 1;
    let models = &mut control.intent.models;
    models.insert("new".into(), intent::Model::default());
    let services = &mut control.intent.services;
    services.insert("new".into(), intent::Service::default());
    services.insert("invoice".into(), intent::Service::default());
}

/// Returns a fleet with the longest interval between exchanges, just after one.
fn fleet_between_exchanges(backends: Vec<Backend>) -> Fleet {
    let fleet = fleet(backends);
    lengthen_interval(&fleet);
    fleet
}

/// Sets the longest interval between exchanges and waits until one has just ended.
fn lengthen_interval(fleet: &Fleet) {
    fleet.control.lock().interval_ms = wire_sync::LONG_INTERVAL_MS;
    let exchanges = || fleet.control.lock().syncs.len();
    // The first response from now on sets the interval, which precedes the second
    // exchange.
    let first = exchanges();
    wait_for("two exchanges", || exchanges() >= first + 2);
}

/// Guards against 404 or 400 for a name in the accepted configuration, while the
/// entry VM does not have that configuration yet.
#[rstest]
#[case::model("/v1/models/new", "")]
#[case::completion(COMPLETIONS, UNKNOWN_MODEL)]
#[case::service("/services/new/x", "x")]
#[case::repeatable("/services/invoice/x", "x")]
fn a_name_in_the_accepted_configuration_is_found(#[case] path: &str, #[case] body: &str) {
    let fleet = fleet_between_exchanges(Vec::new());
    accept_configuration(&fleet);
    let response = match body {
        "" => caller::get(&fleet.address(), path),
        body => caller::post(&fleet.address(), path, &[], body),
    };
    match body {
        "" => assert_eq!(response.status, 200, "{}", response.text()),
        // The name is known, and no backend server has it.
        _ => assert_eq!(response.refusal().0, "no_backend"),
    }
}

/// Guards against a final refusal by an entry VM that cannot reach control and may
/// not have the newest configuration.
#[rstest]
#[case::model("/v1/models/new", "")]
#[case::completion(COMPLETIONS, UNKNOWN_MODEL)]
#[case::service("/services/new/x", "x")]
#[case::key("/services/invoice/x", "x")]
fn an_unknown_name_is_refused_for_now_without_control(#[case] path: &str, #[case] body: &str) {
    let fleet = fleet_between_exchanges(Vec::new());
    fleet.control.lock().unresponsive = true;
    let response = match body {
        "" => caller::get(&fleet.address(), path),
        body => caller::post(&fleet.address(), path, &[], body),
    };
    assert_eq!(response.status, 503, "{}", response.text());
    let refusal = ("configuration_stale".to_owned(), "not_run".to_owned());
    assert_eq!(response.refusal(), refusal);
    assert!(response.header("retry-after").is_some());
}

/// Guards against 404 after the lease has ended: the lease was valid when the
/// request started, but its body arrived later.
#[rstest]
fn a_request_with_a_late_body_is_refused_for_now_after_the_lease_ended() {
    let fleet = fleet(Vec::new());
    let (start, end) = UNKNOWN_MODEL.split_at(5);
    let mut stream = caller::connect(&fleet.address());
    let head = caller::head("POST", COMPLETIONS, &[], UNKNOWN_MODEL.len());
    let first = [head.as_slice(), start.as_bytes()].concat();
    stream.write_all(&first).expect("sent");
    // The request passes the check of the lease in this time.
    thread::sleep(time::Duration::from_millis(500));
    fleet.control.lock().unresponsive = true;
    let admin = fleet.entry.admin_address().to_string();
    wait_for("the lease to end", || {
        caller::get(&admin, "/readyz").status == 503
    });
    stream.write_all(end.as_bytes()).expect("sent");
    let refusal = caller::read(&mut stream).refusal();
    let stale = ("configuration_stale".to_owned(), "not_run".to_owned());
    assert_eq!(refusal, stale);
}

/// Guards against one exchange with control for each request for an unknown name,
/// which lets callers overload control.
#[rstest]
fn requests_for_unknown_names_share_exchanges() {
    let fleet = fleet_between_exchanges(Vec::new());
    let before = fleet.control.lock().syncs.len();
    let start = time::Instant::now();
    let address = fleet.address();
    let callers = (0..CONCURRENT_REQUESTS).map(|_| {
        let address = address.clone();
        thread::spawn(move || caller::post(&address, COMPLETIONS, &[], UNKNOWN_MODEL))
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let response = caller.join().expect("ended");
        assert_eq!(response.refusal().0, "model_not_found");
    }
    let exchanges = fleet.control.lock().syncs.len() - before;
    // At most one in 250 ms, and those in progress at the start and at the end.
    let most = 2 + start.elapsed().as_millis() / 250;
    println!("{exchanges} exchanges for {CONCURRENT_REQUESTS} requests, at most {most}");
    assert!(exchanges as u128 <= most, "{exchanges} exchanges");
}

/// Returns a fleet whose entry VM considers the request of [`chat_body`] poisonous,
/// with the longest interval between exchanges, just after one.
fn fleet_with_poisonous_request() -> Fleet {
    let backends = vec![Backend::engine("e1", &[Answer::Whole])];
    let fleet = fleet(backends);
    let fingerprint = fingerprint::Fingerprint::of_request(&chat_body(false));
    fleet.control.lock().suspects.push(work::Suspect {
        fingerprint,
        strikes: 3,
        isolated: 1,
        until_ms: u64::MAX,
    });
    wait_for("the suspect to be known", || {
        let shared = fleet.entry.shared();
        let treatment = shared.with_suspects(|suspects, _| suspects.treatment(fingerprint));
        matches!(treatment, Treatment::Refused(_))
    });
    lengthen_interval(&fleet);
    fleet
}

/// Guards against 422 for a request that is no longer a suspect, because it has
/// finished on another entry VM since.
#[rstest]
fn a_request_that_was_cleared_elsewhere_runs() {
    let fleet = fleet_with_poisonous_request();
    fleet.control.lock().suspects.clear();
    let response = fleet.chat(&chat_body(false));
    assert_eq!(response.status, 200, "{}", response.text());
}

/// Guards against a local count of strikes from before the suspect was cleared on
/// another entry VM: a single later strike is no reason to refuse the request.
#[rstest]
fn a_request_with_fewer_strikes_than_known_may_run() {
    let fleet = fleet_with_poisonous_request();
    {
        let mut control = fleet.control.lock();
        control.suspects[0].strikes = 1;
        control.suspects[0].isolated = 0;
    }
    let response = fleet.chat(&chat_body(false));
    assert_eq!(response.status, 200, "{}", response.text());
}

/// Guards against 422 by an entry VM that cannot reach control and may not know
/// that the request is no longer a suspect.
#[rstest]
fn a_poisonous_request_is_refused_for_now_without_control() {
    let fleet = fleet_with_poisonous_request();
    fleet.control.lock().unresponsive = true;
    let response = fleet.chat(&chat_body(false));
    assert_eq!(response.status, 503, "{}", response.text());
    let refusal = ("control_unavailable".to_owned(), "not_run".to_owned());
    assert_eq!(response.refusal(), refusal);
    assert!(response.header("retry-after").is_some());
    assert_eq!(fleet.backends[0].count(), 0);
}

/// Guards against a poisonous request that runs again, and against one read of the
/// recorded suspects for each resend, which lets callers overload control.
#[rstest]
fn resends_of_a_poisonous_request_share_reads_of_its_record() {
    let fleet = fleet_with_poisonous_request();
    let start = time::Instant::now();
    let callers = (0..CONCURRENT_REQUESTS).map(|_| {
        let address = fleet.address();
        let body = chat_body(false).to_string();
        thread::spawn(move || caller::post(&address, "/v1/chat/completions", &[], &body))
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let response = caller.join().expect("ended");
        assert_eq!(response.status, 422, "{}", response.text());
        let refusal = ("poisonous_request".to_owned(), "may_have_run".to_owned());
        assert_eq!(response.refusal(), refusal);
    }
    let reads = fleet.control.lock().suspect_reads;
    let most = 2 + start.elapsed().as_millis() / 250;
    println!("{reads} reads for {CONCURRENT_REQUESTS} requests, at most {most}");
    assert!((1..=most).contains(&(reads as u128)), "{reads} reads");
    assert_eq!(fleet.backends[0].count(), 0);
}
