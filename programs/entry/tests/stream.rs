//! Answers of engines, as they reach the caller.

mod support;

use rstest::rstest;
use support::{
    backend::{Answer, Backend, whole_text},
    caller, chat_body, fleet,
};

/// Guards against lost, duplicated or reordered text, and against a stream without
/// its finish reason and end mark.
#[rstest]
fn a_chat_stream_reaches_the_caller_whole() {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    let response = fleet.chat(&chat_body(true));
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.complete);
    assert_eq!(response.streamed_text(), whole_text());
    let events = response.events();
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert!(events[events.len() - 2].contains("\"finish_reason\":\"stop\""));
}

/// Guards against wrong text or token counts in answers that are not streamed.
#[rstest]
#[case::chat("/v1/chat/completions", "messages", "/choices/0/message/content")]
#[case::completion("/v1/completions", "prompt", "/choices/0/text")]
fn an_answer_that_is_not_streamed_is_whole(
    #[case] path: &str,
    #[case] field: &str,
    #[case] text: &str,
) {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    let mut body = serde_json::json!({ "model": "m" });
    body[field] = match field {
        "prompt" => "hello".into(),
        _ => chat_body(false)["messages"].clone(),
    };
    let response = caller::post(&fleet.address(), path, &[], &body.to_string());
    assert_eq!(response.status, 200, "{}", response.text());
    let answer = response.json();
    assert_eq!(answer.pointer(text), Some(&whole_text().into()), "{answer}");
    assert_eq!(answer["usage"]["completion_tokens"], 6);
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
}
