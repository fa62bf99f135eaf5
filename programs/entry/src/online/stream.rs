//! Returns the answer to an online request as an HTTP response.

use std::io;

use bw_wire::refusal;
use bytes::Bytes;
use futures_util::stream;
use gotham::http;
use http_body_util::{BodyExt, StreamBody};
use hyper::body;

use super::{Renderer, Run};
use crate::{
    api,
    upstream::{End, Event},
};

/// Content type of a streamed answer.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// Runs a request and returns its response.
///
/// The status and headers of a stream are sent with its first event, so that a
/// request that fails before then gets a refusal with the matching status.
///
/// # Errors
///
/// Returns the refusal of a request that failed before its first event.
pub async fn respond(mut run: Run) -> Result<api::Response, refusal::Refusal> {
    let request = run.request();
    let body = &request.body;
    let renderer = Renderer::new(request.api, &request.id, &body.model, body.include_usage);
    if !body.stream {
        let end = run_to_end(&mut run).await?;
        let answer = renderer.whole(run.text(), &end.finish_reason, run.usage(&end));
        return Ok(api::full(http::StatusCode::OK, "application/json", answer));
    }
    let first = run.next().await?;
    let state = State::Running(Box::new(Running {
        run,
        renderer,
        first: Some(first),
    }));
    let chunks = stream::unfold(state, |state| async {
        let (chunk, state) = state.next().await?;
        Some((Ok::<_, io::Error>(body::Frame::data(chunk)), state))
    });
    let mut response = api::full(http::StatusCode::OK, EVENT_STREAM, Bytes::new());
    *response.body_mut() = StreamBody::new(chunks).boxed_unsync();
    let no_cache = http::HeaderValue::from_static("no-cache");
    let headers = response.headers_mut();
    headers.insert(http::header::CACHE_CONTROL, no_cache);
    Ok(response)
}

/// Runs a request to its end.
///
/// # Errors
///
/// Returns the refusal with which the request ends.
pub(super) async fn run_to_end(run: &mut Run) -> Result<End, refusal::Refusal> {
    loop {
        if let Event::End(end) = run.next().await? {
            return Ok(end);
        }
    }
}

/// The state of a streamed answer.
enum State {
    Running(Box<Running>),
    Ended,
}

struct Running {
    run: Run,
    renderer: Renderer,
    /// The event that was received before the headers were sent.
    first: Option<Event>,
}

impl State {
    /// Returns the next chunk of the stream. The request runs in the task of
    /// the caller's connection and is cancelled when that closes.
    async fn next(self) -> Option<(Bytes, State)> {
        let State::Running(mut running) = self else {
            return None;
        };
        let event = match running.first.take() {
            Some(event) => Ok(event),
            None => running.run.next().await,
        };
        match event {
            Ok(Event::Delta(delta)) => {
                let chunk = running.renderer.delta(&delta.text);
                Some((chunk, State::Running(running)))
            }
            Ok(Event::End(end)) => {
                let usage = running.run.usage(&end);
                Some((
                    running.renderer.end(&end.finish_reason, usage),
                    State::Ended,
                ))
            }
            Err(refusal) => {
                let request = running.run.request();
                api::log_refusal(&request.id, request.api.path(), &refusal);
                Some((running.renderer.error(&refusal), State::Ended))
            }
        }
    }
}

/// Runs a request to its end and returns the content type and body of its whole
/// answer. If the caller asked for a stream, the body holds all its chunks.
///
/// # Errors
///
/// Returns the refusal with which the request ends.
pub async fn collect_answer(run: &mut Run) -> Result<(&'static str, Bytes), refusal::Refusal> {
    let end = run_to_end(run).await?;
    let request = run.request();
    let body = &request.body;
    let mut renderer = Renderer::new(request.api, &request.id, &body.model, body.include_usage);
    let usage = run.usage(&end);
    if !body.stream {
        return Ok((
            "application/json",
            renderer.whole(run.text(), &end.finish_reason, usage),
        ));
    }
    let mut chunks = renderer.delta(run.text()).to_vec();
    chunks.extend_from_slice(&renderer.end(&end.finish_reason, usage));
    Ok((EVENT_STREAM, chunks.into()))
}
