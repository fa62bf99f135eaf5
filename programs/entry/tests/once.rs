//! Requests that are not repeatable and run at most once.

mod support;

use std::{thread, time};

use bw_wire::command::work::AttemptOutcome;
use rstest::rstest;
use support::{
    Fleet,
    backend::{Answer, Backend, whole_text},
    caller, chat_body, fleet, fleet_with, wait_for,
};

const INVOICE: &str = "/services/invoice/new";

/// Returns a fleet with two backend servers of the service `invoice`.
fn invoices(script: &[Answer]) -> Fleet {
    fleet(vec![
        Backend::service("s1", "invoice", script),
        Backend::service("s2", "invoice", script),
    ])
}

/// Returns how many requests have reached backend servers.
fn runs(fleet: &Fleet) -> usize {
    fleet.backends.iter().map(Backend::count).sum()
}

fn send(fleet: &Fleet, key: &str) -> caller::Response {
    let headers = [("idempotency-key", key)];
    caller::post(&fleet.address(), INVOICE, &headers, "for the roll")
}

/// Guards against a request that runs twice: a resend must get the recorded
/// answer.
#[rstest]
fn a_resend_gets_the_recorded_answer() {
    let fleet = invoices(&[Answer::Whole]);
    for _ in 0..3 {
        let response = send(&fleet, "k1");
        assert_eq!((response.status, response.text().as_str()), (200, "done"));
    }
    assert_eq!(runs(&fleet), 1);
}

/// Guards against a second run after one with an unknown outcome. The caller must
/// get the refusal `outcome_unknown` at once, and again for a resend.
#[rstest]
#[case::closed(Answer::Close)]
#[case::crossed(Answer::CrossedId)]
fn an_unknown_outcome_stays_unknown(#[case] fault: Answer) {
    let fleet = invoices(&[fault, Answer::Whole]);
    let first = send(&fleet, "k1").refusal();
    let second = send(&fleet, "k1").refusal();
    assert_eq!(
        first,
        ("outcome_unknown".to_owned(), "may_have_run".to_owned())
    );
    assert_eq!(second, first);
    assert_eq!(runs(&fleet), 1);
}

/// Guards against a key that cannot be used again although its request provably
/// did not run.
#[rstest]
fn a_request_that_did_not_run_may_run_later() {
    let fleet = invoices(&[Answer::Refuse]);
    assert_eq!(send(&fleet, "k1").refusal().1, "not_run");
    for backend in &fleet.backends {
        *backend.script.lock().expect("lock") = [Answer::Whole].into();
    }
    assert_eq!(send(&fleet, "k1").status, 200);
}

/// Guards against a refusal before running that counts as a run: another backend
/// server may run the request.
#[rstest]
fn a_refusal_before_running_allows_another_backend_server() {
    let fleet = fleet(vec![
        Backend::service("s1", "invoice", &[Answer::Refuse]),
        Backend::service("s2", "invoice", &[Answer::Whole]),
    ]);
    for key in ["k1", "k2", "k3", "k4"] {
        assert_eq!(send(&fleet, key).status, 200);
    }
    assert_eq!(fleet.backends[1].count(), 4);
}

/// Guards against a refusal of an earlier request that is taken for one of this request,
/// which then runs at another backend server too.
#[rstest]
#[case::service(INVOICE, "x")]
#[case::engine("/v1/chat/completions", &chat_body(false).to_string())]
fn a_stale_refusal_does_not_say_that_a_request_has_not_run(#[case] path: &str, #[case] body: &str) {
    let backend = |id, answers: &[Answer]| match path {
        INVOICE => Backend::service(id, "invoice", answers),
        _ => Backend::engine(id, answers),
    };
    let fleet = fleet(vec![
        backend("s1", &[Answer::StaleRefusal]),
        backend("s2", &[Answer::Whole]),
    ]);
    for number in 1..=4 {
        let key = format!("k{number}");
        let headers = [("idempotency-key", key.as_str()), ("bw-repeatable", "no")];
        let response = caller::post(&fleet.address(), path, &headers, body);
        assert!(
            response.status == 200 || response.refusal().1 == "may_have_run",
            "{}",
            response.text()
        );
        assert_eq!(runs(&fleet), number, "{key} ran once");
    }
}

/// Guards against telling a caller that a request has not run because its backend server
/// answered with a status like that of a refusal, and against running it again. What is
/// promised here is the verdict: the status of a service is passed on without one.
#[rstest]
fn a_status_without_a_verdict_is_no_promise(
    #[values(INVOICE, "/v1/chat/completions")] path: &str,
    #[values(408, 421, 429, 503)] status: u16,
) {
    let body = chat_body(false).to_string();
    let backend = |id| match path {
        INVOICE => Backend::service(id, "invoice", &[Answer::Status(status)]),
        _ => Backend::engine(id, &[Answer::Status(status)]),
    };
    let fleet = fleet(vec![backend("s1"), backend("s2")]);
    let headers = [("idempotency-key", "k1"), ("bw-repeatable", "no")];
    for _ in 0..2 {
        let response = caller::post(&fleet.address(), path, &headers, &body);
        match path {
            INVOICE => {
                assert_eq!((response.status, response.text().as_str()), (status, "{}"));
                assert_eq!(response.header("bw-verdict"), None);
            }
            _ => assert_eq!(response.refusal().1, "may_have_run"),
        }
        assert_eq!(runs(&fleet), 1);
    }
}

/// Guards against an outcome that is not recorded because the caller disconnects:
/// the request must finish, and a resend must get its answer.
#[rstest]
fn the_outcome_is_recorded_when_the_caller_disconnects() {
    let body = chat_body(false).to_string();
    let headers = [("idempotency-key", "k1"), ("bw-repeatable", "no")];
    let path = "/v1/chat/completions";
    let pause = time::Duration::from_millis(30);
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Slow(pause)])]);
    let mut stream = caller::connect(&fleet.address());
    let head = caller::head("POST", path, &headers, body.len());
    std::io::Write::write_all(&mut stream, &[head.as_slice(), body.as_bytes()].concat())
        .expect("sent");
    wait_for("the request to run", || fleet.backends[0].count() == 1);
    drop(stream);
    wait_for("the outcome", || {
        let control = fleet.control.lock();
        let attempt = control.attempts.values().next();
        attempt.is_some_and(|attempt| attempt.outcome.is_some())
    });
    let response = caller::post(&fleet.address(), path, &headers, &body);
    let answer = response.json();
    assert_eq!(answer["choices"][0]["message"]["content"], whole_text());
    assert_eq!(fleet.backends[0].count(), 1);
}

/// Guards against a resend that runs while the first request still does, also
/// with the same request id.
#[rstest]
fn a_resend_of_a_running_request_is_refused() {
    let fleet = invoices(&[Answer::Freeze]);
    let address = fleet.address();
    let headers = [
        ("idempotency-key", "k1"),
        ("bw-request-id", "r1"),
        ("bw-deadline-ms", "1500"),
    ];
    let first = thread::spawn(move || caller::post(&address, INVOICE, &headers, "x"));
    wait_for("the first request to run", || runs(&fleet) == 1);
    let resend = caller::post(&fleet.address(), INVOICE, &headers, "x");
    assert_eq!(
        resend.refusal(),
        ("key_in_progress".to_owned(), "may_have_run".to_owned())
    );
    assert!(resend.header("retry-after").is_some());
    let first = first.join().expect("ended").refusal();
    assert_eq!(first.0, "outcome_unknown");
    assert_eq!(runs(&fleet), 1);
}

/// Guards against an attempt that stays in progress after the process that held
/// it was restarted.
#[rstest]
fn an_attempt_of_an_earlier_incarnation_is_unknown() {
    let fleet = invoices(&[Answer::Whole]);
    let earlier = support::control::Attempt {
        number: 1,
        holder: "entry-1/1/r".into(),
        outcome: None,
    };
    fleet.control.lock().attempts.insert("k1".into(), earlier);
    assert_eq!(send(&fleet, "k1").refusal().0, "outcome_unknown");
    assert_eq!(runs(&fleet), 0);
    let recorded = fleet.control.lock().attempts["k1"].outcome.clone();
    assert_eq!(recorded, Some(AttemptOutcome::Unknown));
}

/// Guards against requests without a key, whose resends cannot be distinguished
/// from new requests.
#[rstest]
fn a_key_is_required() {
    let fleet = invoices(&[Answer::Whole]);
    let response = caller::post(&fleet.address(), INVOICE, &[], "x");
    assert_eq!(
        response.refusal(),
        ("invalid_field".to_owned(), "not_run".to_owned())
    );
    assert_eq!(runs(&fleet), 0);
}

/// Guards against a request that runs although its attempt could not be recorded.
#[rstest]
fn nothing_runs_while_control_does_not_answer() {
    let backend = Backend::service("s1", "invoice", &[Answer::Whole]);
    let fleet = fleet_with(vec![backend], |_| {});
    fleet.control.lock().unresponsive = true;
    let response = send(&fleet, "k1");
    assert_eq!(response.refusal().1, "not_run");
    assert_eq!(runs(&fleet), 0);
}

/// Guards against a request to a repeatable service that loses its method, path,
/// headers or body, and against credentials that are passed on.
#[rstest]
fn a_repeatable_service_gets_the_request_unchanged() {
    let fleet = fleet(vec![Backend::service(
        "s1",
        "quote",
        &[Answer::Close, Answer::Whole],
    )]);
    let headers = [("x-shop", "7"), ("authorization", "Bearer team")];
    let path = "/services/quote/boards/3?size=9";
    let response = caller::request(&fleet.address(), "PUT", path, &headers, b"rails");
    assert_eq!((response.status, response.text().as_str()), (200, "done"));
    let seen = fleet.backends[0].requests.lock().expect("lock").clone();
    let last = seen.last().expect("a request");
    assert_eq!(last.path, "/boards/3?size=9");
    assert_eq!(last.body, b"rails");
    assert_eq!(last.headers["x-shop"], "7");
    assert!(!last.headers.contains_key("authorization"));
}

/// Guards against a running request whose outcome is recorded as unknown because
/// control lists two processes of its entry VM for some seconds after a restart.
#[rstest]
fn a_request_on_a_restarted_entry_vm_is_not_recorded_as_unknown() {
    let fleet = invoices(&[Answer::Whole]);
    let peer = |incarnation| bw_wire::sync::Peer {
        entry: "entry-2".into(),
        incarnation,
        failure_domain: "a".into(),
        address: "127.0.0.1:1".into(),
    };
    fleet.control.lock().peers = vec![peer(4), peer(5)];
    let shared = fleet.entry.shared();
    wait_for("the peers", || shared.snapshot.load().peers.len() == 2);
    let running = support::control::Attempt {
        number: 1,
        holder: "entry-2/5/r".into(),
        outcome: None,
    };
    fleet.control.lock().attempts.insert("k1".into(), running);
    assert_eq!(send(&fleet, "k1").refusal().0, "key_in_progress");
    assert_eq!(fleet.control.lock().attempts["k1"].outcome, None);
}

/// Guards against a key that cannot be used again after the refusal `not_run`:
/// control stored the attempt, but did not reply in time.
#[rstest]
fn a_request_whose_attempt_was_not_confirmed_may_run_later() {
    let fleet = invoices(&[Answer::Whole]);
    fleet.control.lock().withholds_replies = true;
    let refusal = send(&fleet, "k1").refusal();
    let unavailable = ("control_unavailable".to_owned(), "not_run".to_owned());
    assert_eq!(refusal, unavailable);
    assert_eq!(fleet.control.lock().attempts["k1"].outcome, None);
    fleet.control.lock().withholds_replies = false;
    wait_for("the request to run", || send(&fleet, "k1").status == 200);
    assert_eq!(runs(&fleet), 1);
}
