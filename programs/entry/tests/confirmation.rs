//! Refusals that depend on the configuration are given for the newest one.

mod support;

use std::{io::Write, thread, time};

use bw_wire::{intent, sync as wire_sync};
use rstest::rstest;
use support::{Fleet, backend::Backend, caller, fleet, wait_for};

const COMPLETIONS: &str = "/v1/completions";
const UNKNOWN_MODEL: &str = r#"{"model":"new","prompt":"hello"}"#;
/// Requests for unknown names that arrive together.
const FLOOD: usize = 40;

/// Accepts a configuration with a new model, a new service and `invoice`
/// declared repeatable. The entry VM hears of it in its next exchange.
fn accept(fleet: &Fleet) {
    let mut control = fleet.control.lock();
    control.revision += 1;
    let models = &mut control.intent.models;
    models.insert("new".into(), intent::Model::default());
    let services = &mut control.intent.services;
    services.insert("new".into(), intent::Service::default());
    services.insert("invoice".into(), intent::Service::default());
}

/// Returns a fleet whose next exchange is as far away as it can be.
fn between_exchanges(backends: Vec<Backend>) -> Fleet {
    let fleet = fleet(backends);
    fleet.control.lock().interval_ms = wire_sync::LONG_INTERVAL_MS;
    let exchanges = || fleet.control.lock().syncs.len();
    // The interval holds from the second exchange on.
    let first = exchanges();
    wait_for("two exchanges", || exchanges() >= first + 2);
    fleet
}

/// Guards against 404 or 400 for what an accepted configuration has, while the
/// entry VM has not heard of it yet.
#[rstest]
#[case::model("/v1/models/new", "")]
#[case::completion(COMPLETIONS, UNKNOWN_MODEL)]
#[case::service("/services/new/x", "x")]
#[case::repeatable("/services/invoice/x", "x")]
fn an_accepted_name_is_not_said_to_be_missing(#[case] path: &str, #[case] body: &str) {
    let fleet = between_exchanges(Vec::new());
    accept(&fleet);
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

/// Guards against a final refusal of an entry VM that has lost control and may
/// not know the newest configuration.
#[rstest]
#[case::model("/v1/models/new", "")]
#[case::completion(COMPLETIONS, UNKNOWN_MODEL)]
#[case::service("/services/new/x", "x")]
#[case::key("/services/invoice/x", "x")]
fn an_entry_vm_without_control_does_not_say_what_is_missing(
    #[case] path: &str,
    #[case] body: &str,
) {
    let fleet = between_exchanges(Vec::new());
    fleet.control.lock().silent = true;
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
/// request began, but its body arrived later.
#[rstest]
fn a_late_body_is_not_judged_by_an_old_configuration() {
    let fleet = fleet(Vec::new());
    let (start, end) = UNKNOWN_MODEL.split_at(5);
    let mut stream = caller::connect(&fleet.address());
    let head = caller::head("POST", COMPLETIONS, &[], UNKNOWN_MODEL.len());
    let first = [head.as_slice(), start.as_bytes()].concat();
    stream.write_all(&first).expect("sent");
    // The request has passed the check of the lease by then.
    thread::sleep(time::Duration::from_millis(500));
    fleet.control.lock().silent = true;
    let admin = fleet.entry.admin_address().to_string();
    wait_for("the lease to end", || {
        caller::get(&admin, "/readyz").status == 503
    });
    stream.write_all(end.as_bytes()).expect("sent");
    let refusal = caller::read(&mut stream).refusal();
    let stale = ("configuration_stale".to_owned(), "not_run".to_owned());
    assert_eq!(refusal, stale);
}

/// Guards against callers that load control with one exchange for each request
/// for an unknown name.
#[rstest]
fn requests_for_unknown_names_share_exchanges() {
    let fleet = between_exchanges(Vec::new());
    let before = fleet.control.lock().syncs.len();
    let start = time::Instant::now();
    let address = fleet.address();
    let callers = (0..FLOOD).map(|_| {
        let address = address.clone();
        thread::spawn(move || caller::post(&address, COMPLETIONS, &[], UNKNOWN_MODEL))
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let response = caller.join().expect("ended");
        assert_eq!(response.refusal().0, "model_not_found");
    }
    let exchanges = fleet.control.lock().syncs.len() - before;
    // At most one in 250 ms, and those that were under way at start and end.
    let most = 2 + start.elapsed().as_millis() / 250;
    println!("{exchanges} exchanges for {FLOOD} requests, at most {most}");
    assert!(exchanges as u128 <= most, "{exchanges} exchanges");
}
