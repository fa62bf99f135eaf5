//! Each fault switch does what it says, and nothing else.

mod support;

use std::time::Duration;

use bw_engine::{Ended, start, text};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use serde_json::json;
use support::{
    Client, chat, client, engine, expected, get_json, post, send_json, service, set_faults,
    streamed,
};

const CHAT: &str = "/v1/chat/completions";
/// How long an answer that must not come is waited for.
const SILENCE: Duration = Duration::from_millis(100);

async fn stream(
    client: &Client,
    handle: &bw_engine::Handle,
    id: &str,
) -> (String, support::Streamed) {
    let request = post(handle, CHAT).header("bw-request-id", id);
    let response = send_json(client, request, &chat("which kernel?", 12, true)).await;
    let echoed = response.headers()["bw-request-id"].to_str().expect("text");
    (echoed.to_owned(), streamed(response).await)
}

/// Guards against a cut that happens elsewhere or looks like a clean end.
#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn cut(#[case] streams: bool) {
    let handle = start(engine()).expect("starts");
    let client = client();
    set_faults(
        &client,
        &handle,
        json!({"cut_after_tokens": 5, "requests": 1}),
    )
    .await;
    let body = chat("which kernel?", 12, streams);
    let response = send_json(&client, post(&handle, CHAT), &body).await;
    if streams {
        let cut = streamed(response).await;
        assert_eq!(cut.text, expected(&body).text_before(5));
        assert_eq!((cut.done, cut.broken), (0, true));
    } else {
        response
            .into_body()
            .collect()
            .await
            .expect_err("a broken body");
    }
    let (_, healed) = stream(&client, &handle, "r-2").await;
    assert_eq!((healed.tokens, healed.done, healed.broken), (12, 1, false));
    let executions = get_json(&client, &handle, "/debug/executions").await;
    assert_eq!(executions["executions"][0]["outcome"], "cut");
    assert_eq!(executions["executions"][1]["outcome"], "finished");
}

/// Guards against a crossed answer that a caller could not tell by its id.
#[tokio::test]
async fn crossed_answer() {
    let handle = start(engine()).expect("starts");
    let client = client();
    let other = chat("another caller's question", 12, false);
    let request = post(&handle, CHAT).header("bw-request-id", "r-1");
    send_json(&client, request, &other).await;
    set_faults(
        &client,
        &handle,
        json!({"crossed_answer": true, "requests": 1}),
    )
    .await;
    let (id, crossed) = stream(&client, &handle, "r-2").await;
    assert_eq!(id, "r-1");
    assert_eq!(crossed.text, expected(&other).text_from(0));
    let (id, own) = stream(&client, &handle, "r-3").await;
    assert_eq!(id, "r-3");
    assert_eq!(
        own.text,
        expected(&chat("which kernel?", 12, true)).text_from(0)
    );
}

/// Guards against a first answer that has no other request to be crossed with.
#[tokio::test]
async fn first_answer_crosses_with_an_unrelated_one() {
    let handle = start(engine()).expect("starts");
    let client = client();
    set_faults(&client, &handle, json!({"crossed_answer": true})).await;
    let (id, crossed) = stream(&client, &handle, "r-1").await;
    assert_ne!(id, "r-1");
    let unrelated = text::Answer::new(support::MODEL, &id, None, false);
    assert_eq!(crossed.text, unrelated.text_before(12));
}

/// Guards against duplicates that are cut short and end marks that stay.
#[rstest]
#[case::duplicate(json!({"duplicate_answer": true}), 24, 2, 2)]
#[case::duplicate_token(json!({"duplicate_token": 3}), 13, 1, 1)]
#[case::omitted_end(json!({"omit_end": true}), 12, 0, 0)]
#[tokio::test]
async fn spoiled_streams(
    #[case] faults: serde_json::Value,
    #[case] tokens: u32,
    #[case] finishes: usize,
    #[case] done: u32,
) {
    let handle = start(engine()).expect("starts");
    let client = client();
    set_faults(&client, &handle, faults).await;
    let (_, spoiled) = stream(&client, &handle, "r-1").await;
    assert_eq!(spoiled.tokens, tokens);
    assert_eq!((spoiled.finish.len(), spoiled.done), (finishes, done));
    assert!(!spoiled.broken);
}

/// Guards against a frozen engine that answers anything, and one that does not
/// go on afterwards.
#[tokio::test]
async fn freeze() {
    let handle = start(engine()).expect("starts");
    let client = client();
    set_faults(&client, &handle, json!({"freeze": true})).await;
    let uri = format!("http://{}/healthz", handle.address());
    let probe = hyper::Request::get(uri)
        .body(Full::default())
        .expect("valid request");
    let probe = tokio::time::timeout(SILENCE, client.request(probe)).await;
    assert!(probe.is_err(), "a frozen engine answered a probe");
    let answer = stream(&client, &handle, "r-1");
    tokio::pin!(answer);
    let early = tokio::time::timeout(SILENCE, &mut answer).await;
    assert!(early.is_err(), "a frozen engine answered a request");
    set_faults(&client, &handle, json!({})).await;
    let (_, thawed) = answer.await;
    assert_eq!((thawed.tokens, thawed.done), (12, 1));
}

/// Guards against a late answer that is early or never comes.
#[tokio::test]
async fn late_answer() {
    let handle = start(engine()).expect("starts");
    let client = client();
    set_faults(&client, &handle, json!({"late_answer_ms": 300})).await;
    let answer = stream(&client, &handle, "r-1");
    tokio::pin!(answer);
    let early = tokio::time::timeout(SILENCE, &mut answer).await;
    assert!(early.is_err(), "the answer was not late");
    assert_eq!(answer.await.1.done, 1);
}

/// Guards against a refusal whose verdict is missing or wrong.
#[rstest]
#[case::engine(engine(), CHAT)]
#[case::service(service(), "/any")]
#[tokio::test]
async fn refuse(#[case] settings: bw_engine::Settings, #[case] path: &str) {
    let handle = start(settings).expect("starts");
    let client = client();
    set_faults(&client, &handle, json!({"refuse": true})).await;
    let response = send_json(&client, post(&handle, path), &chat("x", 1, false)).await;
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["bw-verdict"], "not_run");
    let executions = get_json(&client, &handle, "/debug/executions").await;
    assert_eq!(executions["total"], 0);
}

/// Guards against a crash that harms only the request with the marker, or that
/// other requests cause.
#[rstest]
#[case::engine(engine())]
#[case::service(service())]
#[tokio::test]
async fn crash_marker(#[case] mut settings: bw_engine::Settings) {
    settings.faults.crash_marker = Some("poison".to_owned());
    settings.work_ms = 60_000;
    settings.batch.step_base_us = 100_000;
    let handle = start(settings).expect("starts");
    let client = client();
    let bystander = hyper::Request::post(format!("http://{}{CHAT}", handle.address()))
        .body(Full::from(chat("healthy", 2_000, false).to_string()))
        .expect("valid request");
    let bystander = tokio::spawn(client.request(bystander));
    loop {
        let executions = get_json(&client, &handle, "/debug/executions").await;
        if executions["total"] == 1 {
            break;
        }
    }
    assert!(!handle.is_finished());
    let poison = tokio::time::timeout(Duration::from_secs(10), async {
        let uri = format!("http://{}{CHAT}", handle.address());
        let body = chat("this is poison", 5, true).to_string();
        let request = hyper::Request::post(uri)
            .body(Full::from(body))
            .expect("valid request");
        client.request(request).await
    });
    assert!(poison.await.expect("in time").is_err());
    assert!(bystander.await.expect("no panic").is_err());
    assert_eq!(handle.wait(), Ended::Crashed);
}

/// Guards against switches with wrong values or names that take effect.
#[rstest]
#[case(json!({"slow_factor": 0.0}))]
#[case(json!({"crash_marker": ""}))]
#[case(json!({"no_such_fault": true}))]
#[tokio::test]
async fn wrong_switches_are_refused(#[case] faults: serde_json::Value) {
    let handle = start(engine()).expect("starts");
    let client = client();
    let response = send_json(&client, post(&handle, "/debug/faults"), &faults).await;
    assert_eq!(response.status(), 400);
    let faults = get_json(&client, &handle, "/debug/faults").await;
    let none = serde_json::to_value(bw_engine::fault::Faults::default());
    assert_eq!(faults, none.expect("JSON"));
}
