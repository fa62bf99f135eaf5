//! `/services/NAME/...`

use std::{io, sync};

use bw_policy::{retry, router};
use bw_wire::{intent, name, refusal};
use bytes::Bytes;
use gotham::http;
use http_body_util::{BodyExt, Limited};
use hyper::body;

use super::{Body, Head, Response};
use crate::{context, filter, metrics, online, routing, upstream};

/// The start of the paths of plain services.
pub(super) const PREFIX: &str = "/services/";
/// Metric label of all plain services.
const LABEL: &str = "/services";
/// The largest answer of a request that is not repeatable, in bytes.
const MAX_ONCE_BYTES: usize = 1024 * 1024;
/// Headers that concern one connection, or that the next one sets itself. The
/// caller's credentials are for the entry VM only.
const NOT_PASSED_ON: &[&str] = &[
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

/// Passes a request on to a plain service. The service sees the path after
/// its name.
pub(super) async fn answer(
    context: &sync::Arc<context::Context>,
    head: &Head,
    body: Body,
) -> Result<Response, refusal::Refusal> {
    let shared = &context.shared;
    filter::admission::check_open(shared)?;
    let open = context.open.enter()?;
    let team = filter::access::team(&shared.credentials, &head.headers)?;
    let (service, path) = split(head)?;
    let declared = filter::declared(shared, |snapshot| {
        let declared = find(&snapshot.intent, &service)?;
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
        headers: passed_on(&head.headers),
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
    online::once(context, key, call.run_once()).await
}

/// Finds a declared service.
fn find(
    intent: &intent::Intent,
    service: &name::Name,
) -> Result<intent::Service, refusal::Refusal> {
    let declared = intent.services.get(service).cloned();
    declared.ok_or_else(|| {
        let message = format!("the service {:?} does not exist", service.as_str());
        refusal::Refusal::not_run(refusal::Reason::ServiceNotFound, message)
    })
}

/// Splits a path into the service's name and the path that the service sees.
fn split(head: &Head) -> Result<(name::Name, String), refusal::Refusal> {
    let path = head.uri.path();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = match rest.find('/') {
        Some(end) => rest.split_at(end),
        None => (rest, "/"),
    };
    if service.is_empty() {
        return Err(super::no_path(head.uri.path()));
    }
    let path = match head.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok((service.into(), path))
}

fn passed_on(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut passed = headers.clone();
    let listed: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        passed.remove(name.as_str());
    }
    for name in NOT_PASSED_ON {
        passed.remove(*name);
    }
    passed
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
    avoid: Vec<name::Name>,
    _place: filter::admission::Place,
    _open: filter::open::Guard,
}

impl Call {
    /// Answers a repeatable request; its body is passed on as it arrives.
    async fn respond(mut self) -> Result<Response, refusal::Refusal> {
        let (slot, response) = self.send().await?;
        let (mut parts, body) = response.into_parts();
        parts.headers = passed_on(&parts.headers);
        metrics::ANSWERS.with_label_values(&[LABEL]).inc();
        // The request stays counted until its body is through. A body that
        // breaks breaks the caller's connection, so that it is not cut short
        // without notice.
        let body = body.map_frame(move |frame| {
            let _held = (&slot, &self);
            frame
        });
        let body = body.map_err(io::Error::other).boxed_unsync();
        Ok(http::Response::from_parts(parts, body))
    }

    /// Runs a request that is not repeatable to its end.
    async fn run_once(mut self) -> online::Outcome {
        let (_slot, response) = match self.send().await {
            Ok(sent) => sent,
            Err(refusal) => return online::Outcome::of_refusal(refusal),
        };
        let (parts, body) = response.into_parts();
        let limit = online::time_left(&self.context.shared, self.deadline_ms);
        let body = Limited::new(body, MAX_ONCE_BYTES).collect();
        let body = match tokio::time::timeout(limit, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return unknown(format!("the answer broke off: {error}")),
            Err(_) => return unknown("the answer did not arrive in time".to_owned()),
        };
        metrics::ANSWERS.with_label_values(&[LABEL]).inc();
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

    /// Sends the request until a backend server answers it.
    async fn send(
        &mut self,
    ) -> Result<(routing::Slot, http::Response<body::Incoming>), refusal::Refusal> {
        loop {
            let slot = self.pick().await?;
            let forward = self.forward(&slot);
            let error = match self.context.upstream.forward(forward).await {
                Ok(response) => {
                    self.answered();
                    return Ok((slot, response));
                }
                Err(error) => error,
            };
            self.failed(&slot, &error)?;
        }
    }

    /// Picks a backend server that has not failed this request, or after a
    /// pause one that has.
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
        slot.map_err(|why| why.refusal().verdict(self.retry.verdict()))
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

    fn answered(&mut self) {
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
        let failure = online::failure(error.cause);
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
            // One attempt runs at a time, so that there is none to wait for.
            retry::Decision::Wait => Err(error.refusal()),
            retry::Decision::GiveUp { refusal, .. } => {
                let message = format!("{}: {}", refusal.message, error.message);
                Err(refusal::Refusal { message, ..refusal })
            }
        }
    }
}

fn unknown(message: String) -> online::Outcome {
    let reason = refusal::Reason::OutcomeUnknown;
    online::Outcome::Unknown(refusal::Refusal::may_have_run(reason, message))
}
