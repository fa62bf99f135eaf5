//! Answers of the relay itself.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators};
use hyper::{Response, StatusCode, body, header};

/// The body of an answer: in one piece or forwarded as it arrives.
pub(crate) type Body = combinators::UnsyncBoxBody<Bytes, std::io::Error>;

/// Builds a body in one piece.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a body from pieces that arrive over time.
pub(crate) fn pieces<S>(stream: S) -> LocalBody
where
    S: stream::Stream<Item = Result<body::Frame<Bytes>, std::io::Error>> + 'static,
{
    LocalBody(Box::pin(StreamBody::new(stream)))
}

/// A body on the thread that made it.
pub(crate) struct LocalBody(
    std::pin::Pin<Box<dyn body::Body<Data = Bytes, Error = std::io::Error>>>,
);

impl body::Body for LocalBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<body::Frame<Bytes>, std::io::Error>>> {
        self.0.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.0.size_hint()
    }
}

impl From<Body> for LocalBody {
    fn from(body: Body) -> LocalBody {
        LocalBody(Box::pin(body))
    }
}

/// An answer to a caller.
pub(crate) type Answer = Response<LocalBody>;

/// Builds an answer of the relay's own with a reason for people.
pub(crate) fn own(status: StatusCode, reason: &str) -> Answer {
    let text = format!("{reason}\n");
    let mut response = Response::new(whole(text).into());
    *response.status_mut() = status;
    let plain = header::HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Builds a refusal that promises that the request has not run, with the time
/// after which the caller should come back.
pub(crate) fn not_run(reason: &str, retry_after_ms: u64) -> Answer {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = header::HeaderValue::try_from(seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Builds an answer with a JSON body.
pub(crate) fn json(status: StatusCode, bytes: Vec<u8>) -> Answer {
    let mut response = Response::new(whole(bytes).into());
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
