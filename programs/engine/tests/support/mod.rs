//! A small HTTP client and settings for tests against a running server.

#![allow(dead_code, reason = "each test file uses a part of the support module")]

use bw_engine::{Handle, Settings, settings, text};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Incoming, http::request};
use hyper_util::{client::legacy, rt};

pub const MODEL: &str = "batting-desk";

pub type Client = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

pub fn client() -> Client {
    legacy::Client::builder(rt::TokioExecutor::new()).build_http()
}

/// Settings of a fast engine on a free port.
pub fn engine() -> Settings {
    let mut settings = Settings {
        address: "127.0.0.1:0".to_owned(),
        models: vec![settings::Model {
            model: MODEL.into(),
            ..settings::Model::default()
        }],
        leave_linger_ms: 0,
        ..Settings::default()
    };
    settings.batch.step_base_us = 500;
    settings.batch.step_per_sequence_us = 10;
    settings.batch.step_per_prefill_token_us = 1;
    settings
}

/// Settings of a plain service on a free port.
pub fn service() -> Settings {
    Settings {
        kind: bw_wire::backend::Kind::Service,
        service: "invoices".into(),
        models: Vec::new(),
        ..engine()
    }
}

pub fn chat(prompt: &str, max_tokens: u32, stream: bool) -> serde_json::Value {
    serde_json::json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
        "stream_options": {"include_usage": true},
    })
}

/// The answer that an engine must give to a chat body.
pub fn expected(body: &serde_json::Value) -> text::Answer {
    let limit = body["max_tokens"].as_u64().map(|limit| limit as u32);
    let ignore_end = body["ignore_eos"] == true;
    text::Answer::new(MODEL, &bw_wire::prefix::prompt(body), limit, ignore_end)
}

pub fn post(handle: &Handle, path: &str) -> request::Builder {
    Request::post(format!("http://{}{path}", handle.address()))
        .header("content-type", "application/json")
}

pub async fn send(
    client: &Client,
    builder: request::Builder,
    body: impl Into<Bytes>,
) -> hyper::Response<Incoming> {
    let request = builder.body(Full::new(body.into())).expect("valid request");
    client.request(request).await.expect("an answer")
}

pub async fn send_json(
    client: &Client,
    builder: request::Builder,
    body: &serde_json::Value,
) -> hyper::Response<Incoming> {
    send(client, builder, body.to_string()).await
}

pub async fn get_json(client: &Client, handle: &Handle, path: &str) -> serde_json::Value {
    let uri = format!("http://{}{path}", handle.address());
    let request = Request::get(uri)
        .body(Full::default())
        .expect("valid request");
    let response = client.request(request).await.expect("an answer");
    json(response).await
}

pub async fn json(response: hyper::Response<Incoming>) -> serde_json::Value {
    let body = response.into_body().collect().await.expect("a whole body");
    serde_json::from_slice(&body.to_bytes()).expect("JSON")
}

/// What a stream held and how it ended.
#[derive(Debug, Default)]
pub struct Streamed {
    pub text: String,
    pub tokens: u32,
    pub finish: Vec<String>,
    pub usage: Option<serde_json::Value>,
    pub done: u32,
    pub broken: bool,
}

/// Reads a stream to its end, also when it breaks.
pub async fn streamed(response: hyper::Response<Incoming>) -> Streamed {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut streamed = Streamed::default();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => streamed.broken = true,
        }
    }
    let text = String::from_utf8(bytes).expect("UTF-8");
    for event in text.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ").expect("a data event");
        if data == "[DONE]" {
            streamed.done += 1;
            continue;
        }
        let chunk: serde_json::Value = serde_json::from_str(data).expect("JSON");
        if chunk["usage"].is_object() {
            streamed.usage = Some(chunk["usage"].clone());
        }
        let choice = &chunk["choices"][0];
        let content = choice["delta"]["content"].as_str();
        if let Some(content) = content {
            streamed.text.push_str(content);
            streamed.tokens += 1;
        }
        if let Some(finish) = choice["finish_reason"].as_str() {
            streamed.finish.push(finish.to_owned());
        }
    }
    streamed
}

pub async fn set_faults(client: &Client, handle: &Handle, faults: serde_json::Value) {
    let response = send_json(client, post(handle, "/debug/faults"), &faults).await;
    assert_eq!(response.status(), 200);
}
