//! The answer of an online request as an HTTP response.

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

/// Content type of a stream.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// Runs a request and returns its response.
///
/// The head of a stream is sent with the first event, so that a request that
/// fails before gets a refusal with its own status.
///
/// # Errors
///
/// Returns the refusal of a request that failed before its first event.
pub async fn respond(mut run: Run) -> Result<api::Response, refusal::Refusal> {
    let request = run.request();
    let body = &request.body;
    let render = Renderer::new(request.api, &request.id, &body.model, body.include_usage);
    if !body.stream {
        let end = collect(&mut run).await?;
        let answer = render.whole(run.text(), &end.finish_reason, run.usage(&end));
        return Ok(api::full(http::StatusCode::OK, "application/json", answer));
    }
    let first = run.next().await?;
    let state = State::Running(Box::new(Running {
        run,
        render,
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
pub(super) async fn collect(run: &mut Run) -> Result<End, refusal::Refusal> {
    loop {
        if let Event::End(end) = run.next().await? {
            return Ok(end);
        }
    }
}

enum State {
    Running(Box<Running>),
    Ended,
}

struct Running {
    run: Run,
    render: Renderer,
    first: Option<Event>,
}

impl State {
    /// Returns the next chunk of the stream. The request runs in the task of
    /// the caller's connection and ends with it.
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
                let chunk = running.render.delta(&delta.text);
                Some((chunk, State::Running(running)))
            }
            Ok(Event::End(end)) => {
                let usage = running.run.usage(&end);
                Some((running.render.end(&end.finish_reason, usage), State::Ended))
            }
            Err(refusal) => {
                let request = running.run.request();
                api::log_refusal(&request.id, request.api.path(), &refusal);
                Some((running.render.error(&refusal), State::Ended))
            }
        }
    }
}

/// Runs a request to its end and returns content type and body of its answer,
/// in the form that the caller asked for.
///
/// # Errors
///
/// Returns the refusal with which the request ends.
pub async fn collect_answer(run: &mut Run) -> Result<(&'static str, Bytes), refusal::Refusal> {
    let end = collect(run).await?;
    let request = run.request();
    let body = &request.body;
    let mut render = Renderer::new(request.api, &request.id, &body.model, body.include_usage);
    let usage = run.usage(&end);
    if !body.stream {
        return Ok((
            "application/json",
            render.whole(run.text(), &end.finish_reason, usage),
        ));
    }
    let mut chunks = render.delta(run.text()).to_vec();
    chunks.extend_from_slice(&render.end(&end.finish_reason, usage));
    Ok((EVENT_STREAM, chunks.into()))
}
