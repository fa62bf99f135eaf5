//! Graceful shutdown.

mod support;

use std::{sync::atomic::Ordering, thread, time};

use rstest::rstest;
use support::{
    backend::{Answer, Backend, whole_text},
    caller, chat_body, fleet, fleet_with, slow, wait_for,
};

/// Guards against requests that a shutdown interrupts, against new work during
/// the shutdown, and against a shutdown that is not reported to control.
#[rstest]
#[case::stream(true)]
#[case::whole(false)]
fn running_requests_finish(#[case] stream: bool) {
    let pause = time::Duration::from_millis(100);
    let fleet = fleet_with(
        vec![Backend::engine("e1", &[Answer::Slow(pause)])],
        |settings| {
            settings.timeouts.linger_ms = 300;
        },
    );
    let address = fleet.address();
    let request = thread::spawn(move || {
        let body = chat_body(stream).to_string();
        caller::post(&address, "/v1/chat/completions", &[], &body)
    });
    wait_for("the request to run", || fleet.backends[0].count() == 1);
    fleet.entry.drain();
    let admin = fleet.entry.admin_address().to_string();
    assert_eq!(caller::get(&admin, "/readyz").status, 503);
    let refused = fleet.chat(&chat_body(true));
    assert_eq!(
        refused.refusal(),
        ("shutting_down".to_owned(), "not_run".to_owned())
    );
    fleet.entry.join();
    let response = request.join().expect("ended");
    assert_eq!(response.status, 200);
    assert!(response.complete);
    let text = match stream {
        true => response.streamed_text(),
        false => response.json()["choices"][0]["message"]["content"]
            .as_str()
            .expect("text")
            .to_owned(),
    };
    assert_eq!(text, whole_text());
    let is_reported = fleet.control.lock().syncs.iter().any(|sync| sync.draining);
    assert!(is_reported, "control learns of the shutdown");
}

/// Guards against an outcome that is not recorded when the caller disconnects and
/// the process shuts down at the same time, and against release hooks that do not
/// run.
#[rstest]
fn outcomes_are_recorded_and_hooks_run_before_the_process_ends() {
    let pause = time::Duration::from_millis(60);
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Slow(pause)])]);
    let released = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let flag = std::sync::Arc::clone(&released);
    fleet.entry.shared().drain.add_hook(move || async move {
        flag.store(true, Ordering::SeqCst);
    });
    let headers = [("idempotency-key", "k1"), ("bw-repeatable", "no")];
    let body = chat_body(false).to_string();
    let mut stream = caller::connect(&fleet.address());
    let head = caller::head("POST", "/v1/chat/completions", &headers, body.len());
    std::io::Write::write_all(&mut stream, &[head.as_slice(), body.as_bytes()].concat())
        .expect("sent");
    wait_for("the request to run", || fleet.backends[0].count() == 1);
    drop(stream);
    fleet.entry.drain();
    fleet.entry.join();
    assert!(released.load(Ordering::SeqCst));
    let control = fleet.control.lock();
    let outcome = &control.attempts["k1"].outcome;
    let done = matches!(
        outcome,
        Some(bw_wire::command::work::AttemptOutcome::Done { .. })
    );
    assert!(done, "{outcome:?}");
}

/// Size of a large answer.
const ANSWER_BYTES: usize = 1_000_000;
/// Time within which a shutdown ends after the last byte of its last answer has arrived.
const EXIT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Guards against a shutdown that cuts off an answer while a caller receives it, that ends
/// before the caller has it, or that waits longer, for example for half a request.
#[rstest]
fn an_answer_is_written_to_its_end() {
    let fleet = fleet(vec![Backend::service("s1", "invoice", &[Answer::Whole])]);
    let address = fleet.entry.address();
    let request = |key: usize| {
        format!(
            "POST /services/invoice/new HTTP/1.1\r\nhost: x\r\nidempotency-key: k{key}\r\n\
             content-length: 12\r\n\r\nfor the roll"
        )
    };
    let mut connections: Vec<_> = (0..3).map(|_| slow::Connection::open(address)).collect();
    for (key, connection) in connections.iter_mut().enumerate() {
        connection.send(request(key).as_bytes());
        assert!(connection.read().is_whole());
    }
    *fleet.backends[0].script.lock().expect("lock") = [Answer::Large(ANSWER_BYTES)].into();
    let mut half = slow::Connection::open(address);
    half.send(b"POST /services/invoice/new HTTP/1.1\r\nhost: ");
    let readers: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(key, mut connection)| {
            connection.send(request(10 + key).as_bytes());
            thread::spawn(move || connection.read())
        })
        .collect();
    wait_for("the requests to run", || fleet.backends[0].count() == 6);
    thread::sleep(time::Duration::from_millis(300));
    fleet.entry.drain();
    fleet.entry.join();
    let finished = time::Instant::now();
    for reader in readers {
        let answer = reader.join().expect("joined");
        assert!(answer.is_whole(), "{answer:?}");
        assert!(finished >= answer.ended, "the shutdown ended first");
        let after = finished.duration_since(answer.ended);
        assert!(after < EXIT_TIMEOUT, "the shutdown ended {after:?} later");
    }
}
