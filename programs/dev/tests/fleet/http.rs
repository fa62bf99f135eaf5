//! A small HTTP client for tests.

use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body, header};
use hyper_util::{client::legacy, rt};
use serde_json::Value;

type Inner = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// A client; clones share connections.
#[derive(Clone)]
pub struct Client {
    inner: Inner,
}

/// An answer with its body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: header::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", self.text()))
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the stable code of a refusal.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    /// Returns the verdict of a refusal.
    pub fn verdict(&self) -> String {
        self.json()["error"]["verdict"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }
}

/// A request under construction.
pub struct Call {
    client: Inner,
    method: Method,
    url: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    limit: time::Duration,
}

impl Client {
    pub fn new() -> Client {
        Client {
            inner: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
        }
    }

    pub fn get(&self, address: &str, path: &str) -> Call {
        self.call(Method::GET, address, path)
    }

    pub fn post(&self, address: &str, path: &str) -> Call {
        self.call(Method::POST, address, path)
    }

    fn call(&self, method: Method, address: &str, path: &str) -> Call {
        Call {
            client: self.inner.clone(),
            method,
            url: format!("http://{address}{path}"),
            headers: Vec::new(),
            body: Bytes::new(),
            limit: time::Duration::from_secs(30),
        }
    }
}

impl Call {
    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn json(mut self, body: &Value) -> Call {
        self.body = body.to_string().into();
        self.header("content-type", "application/json")
    }

    pub fn bytes(mut self, content_type: &str, body: impl Into<Bytes>) -> Call {
        self.body = body.into();
        self.header("content-type", content_type)
    }

    pub fn limit(mut self, limit: time::Duration) -> Call {
        self.limit = limit;
        self
    }

    /// Sends the request and reads the whole answer.
    pub async fn send(self) -> Result<Answer, String> {
        let limit = self.limit;
        match tokio::time::timeout(limit, self.exchange()).await {
            Ok(answer) => answer,
            Err(_) => Err(format!("no whole answer within {limit:?}")),
        }
    }

    async fn exchange(self) -> Result<Answer, String> {
        let (parts, body) = self.open().await?.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        Ok(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends the request and returns the answer with its body unread.
    pub async fn open(self) -> Result<hyper::Response<body::Incoming>, String> {
        let mut request = Request::builder().method(self.method).uri(&self.url);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body)).expect("valid request");
        self.client
            .request(request)
            .await
            .map_err(|error| format!("{}: {error:?}", self.url))
    }
}

/// What a caller read from a stream of server-sent events.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    pub text: String,
    pub chunks: usize,
    pub finished: bool,
    pub done: bool,
    pub error: Option<Value>,
}

/// Reads the events of a streamed chat answer.
pub fn events(body: &str) -> Stream {
    let mut stream = Stream::default();
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        if data == "[DONE]" {
            stream.done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).expect("event is JSON");
        if value.get("error").is_some() {
            stream.error = Some(value["error"].clone());
            continue;
        }
        let choice = &value["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            stream.text.push_str(text);
            stream.chunks += 1;
        }
        stream.finished |= choice["finish_reason"].is_string();
    }
    stream
}
