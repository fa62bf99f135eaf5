//! One completion request over HTTP, with its answer checked and timed.

use std::{error, time};

use bw_engine::text;
use bw_wire::{fingerprint, header, openai, verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{client::legacy, rt};
use serde::{Deserialize, Serialize};

/// Longest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client(legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>);

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When the first token arrived.
    pub first_token: Option<time::Instant>,
    /// When the last part arrived.
    pub last: time::Instant,
    /// Number of parts with text.
    pub tokens: u32,
    /// The text.
    pub text: String,
    /// The finish reason.
    pub finish: Option<String>,
    /// How it ended.
    pub end: End,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With an answer that has its end mark.
    Answered,
    /// With a refusal.
    Refused {
        /// The HTTP status; 200 for an error event in a stream.
        status: u16,
        /// The stable code.
        code: Option<String>,
        /// Whether it may have run.
        verdict: Option<verdict::Verdict>,
    },
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection broke, or the answer ended without its end mark.
    Broken,
    /// The caller stopped waiting.
    TimedOut,
}

impl Seen {
    fn new(end: End) -> Seen {
        Seen {
            first_token: None,
            last: time::Instant::now(),
            tokens: 0,
            text: String::new(),
            finish: None,
            end,
        }
    }

    /// Returns whether the whole own answer came.
    pub fn is_whole(&self, answer: &text::Answer) -> bool {
        let finish: &'static str = answer.finish().into();
        self.end == End::Answered
            && self.finish.as_deref() == Some(finish)
            && self.text == answer.text_from(0)
    }

    /// Returns the fingerprint of the text.
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        fingerprint::Fingerprint::of_bytes(self.text.as_bytes())
    }
}

/// Where a request goes and on whose behalf.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// `IP:port`.
    pub address: &'a str,
    /// The path.
    pub path: &'a str,
    /// The request's id.
    pub request_id: &'a str,
    /// The team's bearer token.
    pub token: Option<&'a str>,
    /// How long the caller waits.
    pub limit: time::Duration,
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<openai::Error>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Message>,
    message: Option<Message>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

impl Default for Client {
    fn default() -> Self {
        Client::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        Client(legacy::Client::builder(rt::TokioExecutor::new()).build(connector))
    }

    /// Sends any request.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection or it breaks before the answer's head.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, legacy::Error> {
        self.0.request(request).await
    }

    /// Gets or posts JSON and returns the status and the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or the answer is not JSON.
    pub async fn json(
        &self,
        method: &str,
        uri: &str,
        token: Option<&str>,
        body: &serde_json::Value,
    ) -> anyhow::Result<(u16, serde_json::Value)> {
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json");
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let response = self.send(request.body(Full::from(body))?).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, serde_json::from_slice(&body)?))
    }

    /// Sends a completion request and reads its answer, streamed or not.
    pub async fn complete(&self, target: Target<'_>, body: &serde_json::Value) -> Seen {
        let mut seen = Seen::new(End::Broken);
        let read = self.read(target, body, &mut seen);
        if tokio::time::timeout(target.limit, read).await.is_err() {
            seen.end = End::TimedOut;
        }
        seen.last = time::Instant::now();
        seen
    }

    async fn read(&self, target: Target<'_>, body: &serde_json::Value, seen: &mut Seen) {
        let mut request = Request::post(format!("http://{}{}", target.address, target.path))
            .header("content-type", "application/json")
            .header(header::REQUEST_ID, target.request_id)
            .header(header::DEADLINE_MS, target.limit.as_millis().to_string());
        if let Some(token) = target.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let Ok(request) = request.body(Full::from(body.to_string())) else {
            return;
        };
        let response = match self.send(request).await {
            Ok(response) => response,
            Err(error) => {
                seen.end = if error.is_connect() {
                    End::NotConnected
                } else {
                    End::Broken
                };
                return;
            }
        };
        let status = response.status().as_u16();
        if status != 200 {
            seen.end = refusal(status, response).await;
            return;
        }
        let streamed = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        let read = if streamed {
            read_stream(response.into_body(), seen).await
        } else {
            read_whole(response.into_body(), seen).await
        };
        if let Err(error) = read {
            log::debug!("{}: {error}", target.request_id);
        }
    }
}

/// Reads a refusal.
pub(crate) async fn refusal(status: u16, response: Response<Incoming>) -> End {
    let header = response
        .headers()
        .get(header::VERDICT)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let Ok(body) = response.into_body().collect().await else {
        return End::Broken;
    };
    let error = serde_json::from_slice::<openai::ErrorBody>(&body.to_bytes()).ok();
    let error = error.map(|body| body.error);
    End::Refused {
        status,
        verdict: error.as_ref().and_then(|error| error.verdict).or(header),
        code: error.and_then(|error| error.code),
    }
}

async fn read_whole(body: Incoming, seen: &mut Seen) -> Result<(), Box<dyn error::Error>> {
    let body = body.collect().await?.to_bytes();
    seen.first_token = Some(time::Instant::now());
    take(serde_json::from_slice(&body)?, seen);
    if seen.finish.is_some() {
        seen.end = End::Answered;
    }
    Ok(())
}

async fn read_stream(mut body: Incoming, seen: &mut Seen) -> Result<(), Box<dyn error::Error>> {
    let mut buffer = Vec::new();
    let mut read = 0;
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        read += data.len();
        if read > ANSWER_LIMIT_BYTES {
            return Err("the answer is too long".into());
        }
        buffer.extend_from_slice(&data);
        let mut start = 0;
        while let Some(length) = event_length(&buffer[start..]) {
            let event = &buffer[start..start + length];
            start += length;
            let Some(data) = event.strip_prefix(b"data:") else {
                // Comments keep the connection open and carry nothing.
                continue;
            };
            if data.trim_ascii() == b"[DONE]" {
                if done {
                    return Err("the answer came twice".into());
                }
                done = true;
                continue;
            }
            if done {
                seen.end = End::Broken;
                return Err("the stream goes on after its end mark".into());
            }
            take(serde_json::from_slice(data)?, seen);
        }
        buffer.drain(..start);
    }
    if done && seen.finish.is_some() && seen.end == End::Broken {
        seen.end = End::Answered;
    }
    Ok(())
}

/// Returns the length of the first whole event with the empty line at its end.
fn event_length(buffer: &[u8]) -> Option<usize> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some(end + 2)
}

fn take(part: Part, seen: &mut Seen) {
    if let Some(error) = part.error {
        seen.end = End::Refused {
            status: 200,
            code: error.code,
            verdict: error.verdict,
        };
    }
    for choice in part.choices {
        let message = choice.delta.or(choice.message);
        let content = message.and_then(|message| message.content).or(choice.text);
        if let Some(content) = content.filter(|content| !content.is_empty()) {
            seen.first_token.get_or_insert_with(time::Instant::now);
            seen.tokens += 1;
            seen.text.push_str(&content);
        }
        if choice.finish_reason.is_some() {
            seen.finish = choice.finish_reason;
        }
    }
}
