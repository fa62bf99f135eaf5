//! Online requests under failure: whole answers, true verdicts, at most once.

mod fleet;

use std::time;

use nix::sys::signal;
use rstest::rstest;
use serde_json::{Value, json};

use fleet::http;

/// Tokens of a stream that is long enough to be interrupted.
const LONG: u32 = 200;

/// Guards against a stream that ends short, doubles text or mixes in another
/// answer when its engine is lost in the middle.
#[rstest]
#[case::killed(signal::Signal::SIGKILL)]
#[case::frozen(signal::Signal::SIGSTOP)]
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_their_engine_is_lost(#[case] fault: signal::Signal) {
    let fleet = fleet::Builder {
        engines: 3,
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let mut expected = Vec::new();
    for number in 0..12 {
        expected.push(fleet.expected(&prompt(number), LONG).await);
    }
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let address = fleet.entry_address(number % 2);
            tokio::spawn(fleet.stream(&address, &prompt(number), LONG).send())
        })
        .collect();
    fleet
        .until("the first engine runs a stream", || async {
            load(&fleet, 0).await > 0
        })
        .await;
    fleet.engines[0].as_ref().expect("engine").signal(fault);

    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.await.expect("task").expect("answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let stream = http::events(&answer.text());
        assert_eq!(stream.error, None, "{}", fleet.logs());
        assert_eq!(stream.text, expected[number], "stream {number}");
        assert!(stream.done, "stream {number} has no end mark");
    }
}

/// Guards against answers that are crossed, cut, doubled or lack their end.
#[rstest]
#[case::crossed(json!({ "crossed_answer": true, "requests": 2 }))]
#[case::cut(json!({ "cut_after_tokens": 3, "requests": 2 }))]
#[case::duplicate(json!({ "duplicate_answer": true, "requests": 2 }))]
#[case::duplicate_token(json!({ "duplicate_token": 3, "requests": 2 }))]
#[case::no_end(json!({ "omit_end": true, "requests": 2 }))]
#[tokio::test(flavor = "multi_thread")]
async fn caller_gets_its_own_whole_answer(#[case] faults: Value) {
    let fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let mut expected = Vec::new();
    for number in 0..8 {
        expected.push(fleet.expected(&prompt(number), 8).await);
    }
    for index in 0..fleet.engines.len() {
        let engine = fleet.engine_address(index);
        switch_faults(&fleet, &engine, &faults).await;
    }
    for (number, expected) in expected.iter().enumerate() {
        let answer = fleet.stream(&address, &prompt(number), 8).send().await;
        let answer = answer.expect("answer");
        if answer.status != 200 {
            assert_eq!(answer.verdict(), "may_have_run", "{}", answer.text());
            continue;
        }
        let stream = http::events(&answer.text());
        match stream.error {
            None => {
                assert!(stream.done, "short stream without an error: {stream:?}");
                assert_eq!(&stream.text, expected);
            }
            Some(error) => assert_eq!(error["verdict"], "may_have_run", "{error}"),
        }
    }
}

/// Guards against work that a backend server gets 3 s after it said that it
/// leaves, and against requests that its leaving cuts off.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_nothing_new_and_cuts_nothing_off() {
    let fleet = fleet::Builder::default().start().await;
    let engine = fleet.engine_address(0);
    let streams: Vec<_> = (0..8)
        .map(|number| {
            let address = fleet.entry_address(number % 2);
            tokio::spawn(fleet.stream(&address, &prompt(number), LONG).send())
        })
        .collect();
    fleet
        .until("the engine runs a stream", || async {
            load(&fleet, 0).await > 0
        })
        .await;
    let order = json!({ "fence": 1_000_000_000, "action": "leave" });
    let answer = fleet
        .http
        .post(&engine, "/backend/orders")
        .json(&order)
        .send()
        .await;
    assert_eq!(answer.expect("answer").status, 200);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    // A leaving engine refuses work, so executions would not show what arrives.
    let before = fleet.received(0).await;
    for number in 0..40 {
        let address = fleet.entry_address(number % 2);
        let answer = fleet.chat(&address, &prompt(100 + number), 2).send().await;
        assert_eq!(answer.expect("answer").status, 200);
    }

    assert_eq!(fleet.received(0).await, before, "{}", fleet.logs());
    for stream in streams {
        let answer = stream.await.expect("task").expect("answer");
        let stream = http::events(&answer.text());
        assert!(stream.done && stream.error.is_none(), "{stream:?}");
    }
}

/// Guards against a shutdown of an entry VM that cuts a running stream off.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_of_an_entry_vm_cuts_off_no_request() {
    let mut fleet = fleet::Builder::default().start().await;
    let address = fleet.entry_address(0);
    let expected = fleet.expected(&prompt(1), LONG).await;
    let streams: Vec<_> = (0..4)
        .map(|_| tokio::spawn(fleet.stream(&address, &prompt(1), LONG).send()))
        .collect();
    fleet
        .until("all streams run", || async {
            load(&fleet, 0).await + load(&fleet, 1).await >= 4
        })
        .await;
    let entry = fleet.entries[0].as_mut().expect("entry VM");
    entry.signal(signal::Signal::SIGTERM);
    for stream in streams {
        let answer = stream.await.expect("task").expect("answer");
        let stream = http::events(&answer.text());
        assert_eq!(stream.text, expected);
        assert!(stream.done, "{stream:?}");
    }
    let status = fleet.entries[0].as_mut().expect("entry VM").wait();
    assert!(status.success(), "{status}");
}

/// Guards against a second run of a request that is not repeatable, when it is
/// sent again through another entry VM, at the same time or later.
#[tokio::test(flavor = "multi_thread")]
async fn not_repeatable_request_runs_once_and_resends_get_its_answer() {
    let fleet = with_service().await;
    let first = invoice(&fleet, 0, "invoice-1")
        .send()
        .await
        .expect("answer");
    assert_eq!(first.status, 200, "{}", first.text());
    for index in [0, 1, 0] {
        let again = invoice(&fleet, index, "invoice-1")
            .send()
            .await
            .expect("answer");
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    let racing: Vec<_> = (0..8)
        .map(|number| tokio::spawn(invoice(&fleet, number % 2, "invoice-2").send()))
        .collect();
    for call in racing {
        let answer = call.await.expect("task").expect("answer");
        let code = (answer.status != 200).then(|| answer.code());
        assert!(
            code.is_none() || code.as_deref() == Some("key_in_progress"),
            "{}",
            answer.text()
        );
    }
    let other = fleet
        .http
        .post(&fleet.entry_address(1), "/services/invoices/new")
        .json(&json!({ "sum": 2 }))
        .header("bw-repeatable", "no")
        .header("idempotency-key", "invoice-1")
        .send()
        .await
        .expect("answer");
    assert_eq!((other.status, other.code().as_str()), (409, "key_conflict"));

    let keys = keys(&fleet).await;
    assert_eq!(keys["invoice-1"], 1);
    assert_eq!(keys["invoice-2"], 1);
}

/// Guards against an unknown outcome that is run again, told as `not run`, or
/// told differently on a later resend.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_of_a_lost_entry_vm_is_unknown_and_stays_so() {
    let mut fleet = with_service().await;
    let faults = json!({ "late_answer_ms": 5_000 });
    let service = fleet.service_address(0);
    switch_faults(&fleet, &service, &faults).await;
    let call = tokio::spawn(invoice(&fleet, 0, "invoice-3").send());
    fleet
        .until("the service runs the call", || async {
            keys(&fleet).await["invoice-3"] == 1
        })
        .await;
    fleet.entries[0].take().expect("entry VM").kill();
    assert!(call.await.expect("task").is_err());

    fleet
        .until("the outcome is final", || async {
            let answer = invoice(&fleet, 1, "invoice-3")
                .send()
                .await
                .expect("answer");
            answer.code() == "outcome_unknown"
        })
        .await;
    for _ in 0..3 {
        let answer = invoice(&fleet, 1, "invoice-3")
            .send()
            .await
            .expect("answer");
        assert_eq!(
            (answer.code(), answer.verdict()),
            ("outcome_unknown".into(), "may_have_run".into())
        );
    }
    assert_eq!(keys(&fleet).await["invoice-3"], 1);
}

/// Guards against a request that takes engine after engine down, and against
/// blaming the requests that ran beside it.
#[tokio::test(flavor = "multi_thread")]
async fn poisonous_request_is_refused_after_a_few_crashes() {
    let engines = 6;
    let mut fleet = fleet::Builder {
        engines,
        engine: json!({ "faults": { "crash_marker": "POISON" } }),
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let mut refused = None;
    for attempt in 0..12 {
        let address = fleet.entry_address(attempt % 2);
        let bystander = tokio::spawn(fleet.stream(&address, &prompt(attempt), 60).send());
        let answer = fleet.chat(&address, "a POISON question", 4).send().await;
        let answer = answer.expect("answer");
        assert_ne!(answer.status, 200);
        let bystander = bystander.await.expect("task").expect("answer");
        let stream = http::events(&bystander.text());
        assert!(stream.done, "{}\n{}", bystander.text(), fleet.logs());
        if answer.code() == "poisonous_request" {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.unwrap_or_else(|| panic!("never refused\n{}", fleet.logs()));
    assert_eq!(refused.verdict(), "may_have_run");
    let lost = (0..engines)
        .filter(|index| !fleet.engines[*index].as_mut().expect("engine").runs())
        .count();
    assert!(lost <= 3, "{lost} engines crashed");
    for index in 0..2 {
        let address = fleet.entry_address(index);
        let answer = fleet.chat(&address, "a POISON question", 4).send().await;
        assert_eq!(answer.expect("answer").code(), "poisonous_request");
        let answer = fleet.chat(&address, &prompt(0), 2).send().await;
        assert_eq!(answer.expect("answer").status, 200);
    }
}

/// Guards against `not_run` for a request that a backend server began to run.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_said_only_when_nothing_ran() {
    let fleet = fleet::Builder {
        engines: 1,
        ..fleet::Builder::default()
    }
    .start()
    .await;
    let address = fleet.entry_address(0);
    let engine = fleet.engine_address(0);
    let cases = [
        (json!({ "refuse": true }), "not_run"),
        // One token an attempt, so that no number of attempts gives all of them.
        (json!({ "cut_after_tokens": 1 }), "may_have_run"),
        (json!({ "crossed_answer": true }), "may_have_run"),
    ];
    for (faults, verdict) in cases {
        switch_faults(&fleet, &engine, &faults).await;
        let before = executions(&fleet, &engine).await;
        let text = format!("verdict for {faults}");
        let answer = fleet
            .chat(&address, &text, 40)
            .send()
            .await
            .expect("answer");
        let ran = executions(&fleet, &engine).await > before;
        assert_ne!(answer.status, 200, "{faults}");
        assert_eq!(answer.verdict(), verdict, "{faults}: {}", answer.text());
        assert_eq!(ran, verdict == "may_have_run", "{faults}");
    }
}

async fn switch_faults(fleet: &fleet::Fleet, address: &str, faults: &Value) {
    let call = fleet.http.post(address, "/debug/faults").json(faults);
    let answer = call.send().await.expect("answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

async fn with_service() -> fleet::Fleet {
    let fleet = fleet::Builder {
        services: 1,
        ..fleet::Builder::default()
    }
    .start()
    .await;
    for index in 0..2 {
        let address = fleet.entry_address(index);
        fleet
            .until("the service can be called", || async {
                let call = fleet.http.post(&address, "/services/invoices/ping");
                call.send().await.is_ok_and(|answer| answer.status == 200)
            })
            .await;
    }
    fleet
}

fn invoice(fleet: &fleet::Fleet, entry: usize, key: &str) -> http::Call {
    fleet
        .http
        .post(&fleet.entry_address(entry), "/services/invoices/new")
        .json(&json!({ "sum": 1 }))
        .header("bw-repeatable", "no")
        .header("idempotency-key", key)
}

fn prompt(number: usize) -> String {
    format!("question {number}")
}

async fn load(fleet: &fleet::Fleet, engine: usize) -> u64 {
    let address = fleet.engine_address(engine);
    let answer = fleet.http.get(&address, "/debug/load").send().await;
    answer.expect("engine answers").json()["running"]
        .as_u64()
        .expect("number")
}

async fn executions(fleet: &fleet::Fleet, address: &str) -> u64 {
    let answer = fleet.http.get(address, "/debug/executions").send().await;
    answer.expect("backend server answers").json()["total"]
        .as_u64()
        .expect("number")
}

async fn keys(fleet: &fleet::Fleet) -> Value {
    let address = fleet.service_address(0);
    let answer = fleet.http.get(&address, "/debug/executions").send().await;
    answer.expect("service answers").json()["keys"].clone()
}
