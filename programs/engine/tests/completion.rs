//! Completions: whole answers, streams, resuming, cancelling and refusals.

mod support;

use bw_engine::start;
use http_body_util::BodyExt;
use rstest::rstest;
use support::{chat, client, engine, expected, get_json, json, post, send_json, streamed};

const CHAT: &str = "/v1/chat/completions";

/// Guards against answers that differ from the deterministic text, wrong finish
/// reasons and wrong usage, in both forms.
#[rstest]
#[case::limited(8, "length")]
#[case::natural(1_000, "stop")]
#[tokio::test]
async fn whole_and_streamed_answers(#[case] max_tokens: u32, #[case] finish: &str) {
    let handle = start(engine()).expect("starts");
    let client = client();
    let body = chat("is this batting in stock?", max_tokens, false);
    let answer = expected(&body);
    let request = post(&handle, CHAT).header("bw-request-id", "r-1");
    let response = send_json(&client, request, &body).await;
    assert_eq!(response.headers()["bw-request-id"], "r-1");
    let whole = json(response).await;
    assert_eq!(
        whole["choices"][0]["message"]["content"],
        answer.text_from(0)
    );
    assert_eq!(whole["choices"][0]["finish_reason"], finish);
    assert_eq!(whole["usage"]["completion_tokens"], answer.tokens());

    let body = chat("is this batting in stock?", max_tokens, true);
    let request = post(&handle, CHAT).header("bw-request-id", "r-2");
    let response = send_json(&client, request, &body).await;
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert_eq!(response.headers()["bw-request-id"], "r-2");
    let stream = streamed(response).await;
    assert_eq!(stream.text, answer.text_from(0));
    assert_eq!(stream.tokens, answer.tokens());
    assert_eq!(stream.finish, [finish]);
    assert_eq!((stream.done, stream.broken), (1, false));
    let usage = stream.usage.expect("usage");
    assert_eq!(usage["completion_tokens"], answer.tokens());
}

/// Guards against a text completion that is not served like a chat.
#[tokio::test]
async fn text_completion() {
    let handle = start(engine()).expect("starts");
    let body = serde_json::json!({"model": support::MODEL, "prompt": "resin", "max_tokens": 5});
    let response = send_json(&client(), post(&handle, "/v1/completions"), &body).await;
    let whole = json(response).await;
    assert_eq!(whole["object"], "text_completion");
    assert_eq!(whole["choices"][0]["text"], expected(&body).text_from(0));
}

/// Guards against a resumed stream that repeats, skips or changes tokens, or
/// reports only the usage of its own part.
#[rstest]
#[case(0)]
#[case(1)]
#[case(7)]
#[case(19)]
#[case(20)]
#[tokio::test]
async fn resumed_stream_gives_the_same_whole_text(#[case] sent: u32) {
    let handle = start(engine()).expect("starts");
    let mut body = chat("a plan for the whole workshop", 20, true);
    body["ignore_eos"] = true.into();
    let answer = expected(&body);
    let before = answer.text_before(sent);
    body["bw_resume_text"] = before.clone().into();
    let request = post(&handle, CHAT).header("bw-resume-tokens", sent);
    let stream = streamed(send_json(&client(), request, &body).await).await;
    assert_eq!(before + &stream.text, answer.text_from(0));
    assert_eq!(stream.tokens, 20 - sent);
    assert_eq!(stream.usage.expect("usage")["completion_tokens"], 20);
    assert_eq!(stream.done, 1);
}

/// Guards against requests that run although they are wrong, and against
/// refusals without a verdict.
#[rstest]
#[case::unknown_model(r#"{"model":"other","messages":[{"role":"user","content":"x"}]}"#, 404)]
#[case::no_messages(r#"{"model":"batting-desk"}"#, 400)]
#[case::two_choices(
    r#"{"model":"batting-desk","messages":[{"role":"user","content":"x"}],"n":2}"#,
    400
)]
#[case::not_json("{", 400)]
#[case::wrong_resume(
    r#"{"model":"batting-desk","messages":[{"role":"user","content":"x"}],"bw_resume_text":"y"}"#,
    400
)]
#[case::too_long(
    r#"{"model":"batting-desk","messages":[{"role":"user","content":"x"}],"max_tokens":70000,"ignore_eos":true}"#,
    400
)]
#[tokio::test]
async fn refused_requests_do_not_run(#[case] body: &str, #[case] status: u16) {
    let handle = start(engine()).expect("starts");
    let client = client();
    let response = support::send(&client, post(&handle, CHAT), body.to_owned()).await;
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()["bw-verdict"], "not_run");
    let executions = get_json(&client, &handle, "/debug/executions").await;
    assert_eq!(executions["total"], 0);
}

/// Guards against a sequence that keeps running after its caller went away.
#[tokio::test]
async fn closed_stream_is_cancelled() {
    let mut settings = engine();
    settings.batch.step_base_us = 2_000;
    let handle = start(settings).expect("starts");
    let client = client();
    let mut body = chat("a long plan", 20_000, true);
    body["ignore_eos"] = true.into();
    let mut response = send_json(&client, post(&handle, CHAT), &body).await;
    response
        .body_mut()
        .frame()
        .await
        .expect("a frame")
        .expect("data");
    drop(response);
    let outcome = async {
        loop {
            let executions = get_json(&client, &handle, "/debug/executions").await;
            let outcome = executions["executions"][0]["outcome"].clone();
            if outcome != "running" {
                return outcome;
            }
        }
    };
    assert_eq!(outcome.await, "cancelled");
    let load = get_json(&client, &handle, "/debug/load").await;
    assert_eq!(load["running"], 0);
}
