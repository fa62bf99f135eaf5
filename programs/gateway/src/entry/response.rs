//! Responses to callers: forwarded bodies and responses of the relay's own.

use std::{io, pin::Pin, task};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{StatusCode, body, header};

/// The body of a response, either complete or streamed. Not `Send`, because all
/// tasks run on one thread.
pub(crate) struct Body(Pin<Box<dyn body::Body<Data = Bytes, Error = io::Error>>>);

/// Builds a body from all its bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    let full = Full::new(bytes.into());
    Body(Box::pin(full.map_err(|never| match never {})))
}

/// Builds a body from frames that arrive over time.
pub(crate) fn streamed<S>(stream: S) -> Body
where
    S: stream::Stream<Item = io::Result<body::Frame<Bytes>>> + 'static,
{
    Body(Box::pin(StreamBody::new(stream)))
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        self.0.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.0.size_hint()
    }
}

/// A response to a caller.
pub(crate) type Response = hyper::Response<Body>;

/// Builds a plain text response with a reason for people.
pub(crate) fn plain(status: StatusCode, reason: &str) -> Response {
    let text = format!("{reason}\n");
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let plain = header::HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Builds a refusal with status 503, which promises that the request has not run,
/// and with the time after which the caller should retry.
pub(crate) fn not_run(reason: &str, retry_after_ms: u64) -> Response {
    refusal(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
}

/// Builds a refusal like [`not_run`] with another status that makes the same
/// promise.
pub(crate) fn refusal(status: StatusCode, reason: &str, retry_after_ms: u64) -> Response {
    let mut response = plain(status, reason);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = header::HeaderValue::try_from(seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, bytes: Vec<u8>) -> Response {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
