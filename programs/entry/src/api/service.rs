//! `/services/{service}/...`: requests to plain services.

use std::{io, pin::Pin, sync, task};

use bw_base::outgoing;
use bw_policy::{retry, router};
use bw_wire::{intent, name, refusal};
use bytes::Bytes;
use gotham::http;
use http_body_util::{BodyExt, Limited};
use hyper::body;

use super::{Body, Head, Response};
use crate::{context, filter, metrics, online, routing, upstream};

/// Prefix of the paths of plain services.
pub(super) const PREFIX: &str = "/services/";
/// Value of the metric label `path` for all plain services.
const PATH_LABEL: &str = "/services";
/// Largest recorded response to a request that is not repeatable, in bytes.
const MAX_RECORDED_BYTES: usize = 1024 * 1024;
/// Headers that are not forwarded: they apply to one connection, or are set anew
/// for the next one. The caller's credentials are for the entry VM only.
const NOT_FORWARDED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Forwards a request to a plain service, with the part of the path after the
/// service's name.
pub(super) async fn answer(
    context: &sync::Arc<context::Context>,
    head: &Head,
    body: Body,
) -> Result<Response, refusal::Refusal> {
    let shared = &context.shared;
    filter::admission::check_accepting(shared)?;
    let open = context.open.acquire()?;
    let team = filter::access::team(&shared.credentials, &head.headers)?;
    let (service, path) = split_path(head)?;
    let declared = filter::lookup(shared, |snapshot| {
        let declared = find_service(&snapshot.intent, &service)?;
        if !declared.repeatable {
            online::Key::check(head)?;
        }
        Ok(declared)
    })
    .await?;
    let body = filter::body::read(&shared.settings.limits, &head.headers, body).await?;
    let deadline_ms = filter::deadline::of(shared, head)?;
    let deadline_ms = deadline_ms.min(shared.clock.now_ms() + declared.timeout_ms);
    let request = filter::admission::Request {
        team: team.clone(),
        service: service.clone(),
        deadline_ms: Some(deadline_ms),
    };
    let place = filter::Admission::admit(shared, request).await?;
    let repeatable = declared.repeatable && !head.is_non_repeatable();
    let call = Call {
        context: sync::Arc::clone(context),
        request_id: head.id.clone(),
        unique_id: head.unique_id.clone(),
        team,
        service,
        method: head.method.clone(),
        path,
        headers: forwarded_headers(&head.headers),
        body,
        deadline_ms,
        retry: retry::Call::new(repeatable, Some(deadline_ms)),
        attempts: 0,
        avoid: Vec::new(),
        _place: place,
        _open: open,
    };
    if repeatable {
        return call.respond().await;
    }
    let key = online::Key::of(head, &call.team, &call.body, deadline_ms)?;
    online::at_most_once(context, key, call.run_to_end()).await
}

/// Returns the declaration of a service, or a refusal.
fn find_service(
    intent: &intent::Intent,
    service: &name::Name,
) -> Result<intent::Service, refusal::Refusal> {
    let declared = intent.services.get(service).cloned();
    declared.ok_or_else(|| {
        let message = format!("the service {:?} does not exist", service.as_str());
        refusal::Refusal::not_run(refusal::Reason::ServiceNotFound, message)
    })
}

/// Splits a path into the service's name and the path to forward, which includes
/// the query.
fn split_path(head: &Head) -> Result<(name::Name, String), refusal::Refusal> {
    let path = head.uri.path();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = match rest.find('/') {
        Some(end) => rest.split_at(end),
        None => (rest, "/"),
    };
    if service.is_empty() {
        return Err(super::path_not_found(head.uri.path()));
    }
    let path = match head.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok((service.into(), path))
}

/// Returns the headers to forward: without [`NOT_FORWARDED`] and those that the
/// `Connection` header lists.
fn forwarded_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut forwarded = headers.clone();
    let listed: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        forwarded.remove(name.as_str());
    }
    for name in NOT_FORWARDED {
        forwarded.remove(*name);
    }
    forwarded
}

/// A request to a plain service over all its attempts.
struct Call {
    context: sync::Arc<context::Context>,
    request_id: name::Name,
    unique_id: name::Name,
    team: name::Name,
    service: name::Name,
    method: http::Method,
    path: String,
    headers: http::HeaderMap,
    body: Bytes,
    deadline_ms: u64,
    retry: retry::Call,
    attempts: u32,
    /// Backend servers that have received the request already.
    avoid: Vec<name::Name>,
    _place: filter::admission::Permit,
    _open: filter::open::Permit,
}

impl Call {
    /// Answers a repeatable request. The response body is forwarded as it arrives.
    async fn respond(mut self) -> Result<Response, refusal::Refusal> {
        let (slot, response) = self.send().await?;
        let (mut parts, body) = response.into_parts();
        parts.headers = forwarded_headers(&parts.headers);
        metrics::ANSWERS.with_label_values(&[PATH_LABEL]).inc();
        // The request counts as in flight until the whole body is forwarded. An
        // error in the body closes the caller's connection, so that the caller does
        // not take a truncated body for a complete one.
        let left = online::time_left(&self.context.shared, self.deadline_ms);
        let body = Forwarded {
            body,
            deadline: Box::pin(tokio::time::sleep(left)),
            _slot: slot,
            _call: self,
        };
        Ok(http::Response::from_parts(parts, body.boxed_unsync()))
    }

    /// Runs a request that is not repeatable to its end.
    async fn run_to_end(mut self) -> online::Outcome {
        let (_slot, response) = match self.send().await {
            Ok(sent) => sent,
            Err(refusal) => return online::Outcome::of_refusal(refusal),
        };
        let (parts, body) = response.into_parts();
        let limit = online::time_left(&self.context.shared, self.deadline_ms);
        let body = Limited::new(body, MAX_RECORDED_BYTES).collect();
        let body = match tokio::time::timeout(limit, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return unknown_outcome(format!("the answer broke off: {error}")),
            Err(_) => return unknown_outcome("the answer did not arrive in time".to_owned()),
        };
        metrics::ANSWERS.with_label_values(&[PATH_LABEL]).inc();
        let content_type = parts.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        online::Outcome::Done {
            status: parts.status,
            content_type: content_type
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body,
        }
    }

    /// Sends the request to backend servers until one answers it or the retry policy
    /// gives up.
    async fn send(
        &mut self,
    ) -> Result<(routing::Slot, http::Response<outgoing::Body>), refusal::Refusal> {
        loop {
            let slot = self.pick().await?;
            let forward = self.forward(&slot);
            let error = match self.context.upstream.forward(forward).await {
                Ok(response) => {
                    self.record_success();
                    return Ok((slot, response));
                }
                Err(error) => error,
            };
            self.failed(&slot, &error)?;
        }
    }

    /// Picks a backend server for the next attempt. If only ones are left that have
    /// failed this request, waits for the backoff and picks again.
    async fn pick(&mut self) -> Result<routing::Slot, refusal::Refusal> {
        let mut slot = self.pick_now()?;
        if self.avoid.contains(&slot.choice().id) {
            drop(slot);
            tokio::time::sleep(online::backoff(self.attempts)).await;
            slot = self.pick_now()?;
        }
        self.attempts += 1;
        self.avoid.push(slot.choice().id.clone());
        Ok(slot)
    }

    fn pick_now(&self) -> Result<routing::Slot, refusal::Refusal> {
        let request = router::Request {
            avoid: &self.avoid,
            ..router::Request::new(router::Target::Service(&self.service))
        };
        let slot = self.context.shared.table.pick(&request);
        slot.map_err(|why| why.refusal().join(self.retry.verdict()))
    }

    fn forward(&self, slot: &routing::Slot) -> upstream::Forward {
        upstream::Forward {
            address: slot.choice().address.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            request_id: format!("{}-{}", self.unique_id, self.attempts).into(),
            timeout: online::time_left(&self.context.shared, self.deadline_ms),
        }
    }

    fn record_success(&mut self) {
        let service = &self.service;
        self.context
            .shared
            .with_retry(|retry, now_ms| retry.succeeded(service, now_ms));
    }

    fn failed(
        &mut self,
        slot: &routing::Slot,
        error: &upstream::Error,
    ) -> Result<(), refusal::Refusal> {
        log::info!(
            request_id = self.request_id.as_str(),
            team = self.team.as_str(),
            backend = slot.choice().id.as_str(),
            verdict = <&str>::from(error.verdict);
            "attempt failed: {error}"
        );
        if error.cause == upstream::Cause::Unreachable {
            self.context
                .shared
                .table
                .connection_refused(&slot.choice().id);
        }
        let service = &self.service;
        let call = &mut self.retry;
        let failure = online::retry_failure(error.cause);
        let decision = self
            .context
            .shared
            .with_retry(|retry, now_ms| retry.failed(service, call, failure, now_ms));
        match decision {
            retry::Decision::Retry { reason, .. } => {
                metrics::RETRIES
                    .with_label_values(&[<&str>::from(reason)])
                    .inc();
                Ok(())
            }
            // Only one attempt runs at a time, so that there is no other to wait for.
            retry::Decision::Wait => Err(error.refusal().join(self.retry.verdict())),
            retry::Decision::GiveUp { refusal, .. } => {
                let message = format!("{}: {}", refusal.message, error.message);
                Err(refusal::Refusal { message, ..refusal })
            }
        }
    }
}

/// A response body that is forwarded until the deadline of its request. An endless one
/// would be forwarded until the caller closes.
struct Forwarded {
    body: outgoing::Body,
    deadline: Pin<Box<tokio::time::Sleep>>,
    _slot: routing::Slot,
    _call: Call,
}

impl body::Body for Forwarded {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return task::Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        let frame = task::ready!(Pin::new(&mut self.body).poll_frame(context));
        task::Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

fn unknown_outcome(message: String) -> online::Outcome {
    let reason = refusal::Reason::OutcomeUnknown;
    online::Outcome::Unknown(refusal::Refusal::may_have_run(reason, message))
}
