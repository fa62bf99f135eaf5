//! Answers of the relay itself.

use std::{io, pin::Pin, task};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{Response, StatusCode, body, header};

/// The body of an answer: in one piece or forwarded as it arrives. It stays on
/// the thread that made it.
pub(crate) struct Body(Pin<Box<dyn body::Body<Data = Bytes, Error = io::Error>>>);

/// Builds a body in one piece.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    let whole = Full::new(bytes.into());
    Body(Box::pin(whole.map_err(|never| match never {})))
}

/// Builds a body from pieces that arrive over time.
pub(crate) fn pieces<S>(stream: S) -> Body
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

/// An answer to a caller.
pub(crate) type Answer = Response<Body>;

/// Builds an answer of the relay's own with a reason for people.
pub(crate) fn own(status: StatusCode, reason: &str) -> Answer {
    let text = format!("{reason}\n");
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    let plain = header::HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Builds a refusal that promises that the request has not run, with the time
/// after which the caller should come back.
pub(crate) fn not_run(reason: &str, retry_after_ms: u64) -> Answer {
    refused(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
}

/// Builds such a refusal with another status that makes the same promise.
pub(crate) fn refused(status: StatusCode, reason: &str, retry_after_ms: u64) -> Answer {
    let mut response = own(status, reason);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = header::HeaderValue::try_from(seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Builds an answer with a JSON body.
pub(crate) fn json(status: StatusCode, bytes: Vec<u8>) -> Answer {
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
