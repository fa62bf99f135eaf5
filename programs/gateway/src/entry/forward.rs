//! Routing and admission of one request.

use std::{rc::Rc, sync::Arc};

use bw_base::responses;
use bw_relay::{route, suspect};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode, body, header};

use crate::{
    clock,
    entry::{
        NO_LEADER_RETRY_MS, attempt,
        confirm::{self, Freshness},
        front::Active,
        jobs,
        reason::Reason,
        response,
        state::{Routing, State},
        stream,
        suspects::{self, Admission, Permit, Subject},
    },
    metrics,
};

/// Retry-after time of a VM without a configuration, in milliseconds. The request
/// has already waited for one where that made sense; callers that retried after
/// 0.5 s still found none.
const UNCONFIGURED_RETRY_MS: u64 = 1_400;

/// Retry-after time of a request that was read when the VM was about to stop, in
/// milliseconds. The load balancer sends the next attempt to another VM.
const STOPPING_RETRY_MS: u64 = 50;

/// A request to forward, which several attempts may send.
pub(crate) struct Forward {
    /// What the request can be suspected for, with its id.
    pub(crate) subject: Rc<Subject>,
    pub(crate) method: Method,
    /// The path and query as received.
    pub(crate) target: hyper::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<route::Route>,
    /// The time of the monotonic clock at which the caller stops waiting, if it
    /// stated one.
    pub(crate) caller_deadline_ms: Option<u64>,
    /// The time of the monotonic clock by which the request must be answered: the
    /// earlier one of the caller's deadline and the route's timeout.
    pub(crate) deadline_ms: u64,
    /// Hash of the shared parts of the prompt, by which requests that share them are
    /// placed together.
    pub(crate) affinity: u64,
    /// The permission to run it although it is refused.
    pub(crate) permit: Option<Rc<Permit>>,
}

/// Handles one request of a caller.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Request<body::Incoming>,
    active: Active,
) -> response::Response {
    let now_ms = clock::monotonic_ms();
    let id = header_text(request.headers(), &state.dialect.headers().request_id).to_owned();
    let Some(routing) = state.await_routing().await else {
        note_refusal(&id, Reason::NoConfiguration, UNCONFIGURED_RETRY_MS);
        return response::not_run("no configuration is known yet", UNCONFIGURED_RETRY_MS);
    };
    let (path, query) = (request.uri().path(), request.uri().query().unwrap_or(""));
    if let Some(call) = state.dialect.decode_job_call(request.method(), path, query) {
        return jobs::call(state, call, request.headers()).await;
    }
    let (route, routing) = match find_route(state, routing, &id, &request).await {
        Ok(found) => found,
        Err(response) => return *response,
    };
    if route.kind == route::Kind::Batch {
        return jobs::submit(state, &routing, &route, id, request, now_ms).await;
    }
    let mut forward = match read_request(state, &routing, route, id, request, now_ms).await {
        Ok(forward) => forward,
        Err(response) => return *response,
    };
    // It might not end before the process does.
    if state.responses.stage() >= responses::Stage::Closing {
        note_refusal(&forward.subject.id, Reason::Stopping, STOPPING_RETRY_MS);
        return response::not_run("this VM is stopping", STOPPING_RETRY_MS);
    }
    match suspects::admit(state, &forward.subject.request).await {
        Admission::Admitted => {}
        Admission::Trial(permit) => {
            let fingerprint = permit.fingerprint;
            log::info!(
                request = forward.subject.id.as_str(), fingerprint = fingerprint.0,
                part = forward.subject.part_id(fingerprint);
                "suspected request is admitted as a trial"
            );
            metrics::SUSPECTS.with_label_values(&["trial"]).inc();
            forward.permit = Some(Rc::new(permit));
        }
        Admission::Refused {
            fingerprint,
            reason,
            retry_after_ms,
        } => {
            // The part or the fingerprint leads to the strikes that other requests got.
            log::info!(
                request = forward.subject.id.as_str(), fingerprint = fingerprint.0,
                part = forward.subject.part_id(fingerprint),
                strikes = state.suspects.strikes(fingerprint);
                "suspected request is not admitted"
            );
            note_refusal(&forward.subject.id, reason, retry_after_ms);
            let text = "backend servers crashed under this request";
            return response::not_run(text, retry_after_ms);
        }
    }
    match forward.route.kind.streams() {
        true => stream::forward(state, forward, active).await,
        false => attempt::forward(state, forward, active).await,
    }
}

/// Finds the route of a request. A missing route is reported as such only if the
/// configuration was confirmed to be the newest after the request arrived.
async fn find_route(
    state: &State,
    routing: Rc<Routing>,
    id: &str,
    request: &Request<body::Incoming>,
) -> Result<(Arc<route::Route>, Rc<Routing>), Box<response::Response>> {
    let host = header_text(request.headers(), &header::HOST);
    let path = request.uri().path();
    if let Some(route) = routing.table.find(host, path) {
        return Ok((Arc::clone(route), routing));
    }
    let freshness = confirm::confirm(state, routing.version).await;
    let (routing, newest) = match freshness {
        Freshness::Current => (routing, true),
        Freshness::Superseded(newer) => (newer, true),
        Freshness::Unknown => (routing, false),
    };
    // The leader confirmed this version after the request arrived, so there is no
    // need to ask again.
    if let Some(route) = routing.table.find(host, path) {
        return Ok((Arc::clone(route), routing));
    }
    log::info!(
        request = id, host = host, path = path, version = routing.version, newest = newest,
        connected = state.connected.get(), silence_ms = state.silence_ms();
        "no route"
    );
    Err(Box::new(match newest {
        true => {
            let reason = Reason::NoRoute.name();
            metrics::REFUSALS.with_label_values(&[reason]).inc();
            response::plain(StatusCode::NOT_FOUND, "no route")
        }
        false => refuse_unconfirmed(id),
    }))
}

/// Refuses a request that the known configuration denies but a newer one may allow.
pub(crate) fn refuse_unconfirmed(id: &str) -> response::Response {
    note_refusal(id, Reason::Unconfirmed, NO_LEADER_RETRY_MS);
    let text = "it is not known here now whether the request is allowed";
    response::not_run(text, NO_LEADER_RETRY_MS)
}

async fn read_request(
    state: &State,
    routing: &Routing,
    route: Arc<route::Route>,
    id: String,
    request: Request<body::Incoming>,
    now_ms: u64,
) -> Result<Forward, Box<response::Response>> {
    let (parts, body) = request.into_parts();
    let names = state.dialect.headers();
    let wait_ms: Option<u64> = header_text(&parts.headers, &names.deadline_ms).parse().ok();
    let caller_deadline_ms = wait_ms.map(|wait| now_ms.saturating_add(wait));
    let route_deadline_ms = now_ms.saturating_add(route.timeout_ms);
    let deadline_ms = route_deadline_ms
        .min(caller_deadline_ms.unwrap_or(u64::MAX))
        .min(state.answer_until_ms.get());
    let prefix = header_values(&parts.headers, &names.prompt_prefix);
    let affinity = affinity(&prefix);
    let body = read_body(state, routing, &id, body, deadline_ms).await?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let content = suspect::Fingerprint::new(&route.host, target, &body);
    let part_ids = state.dialect.decode_parts(&prefix);
    Ok(Forward {
        subject: Rc::new(Subject::new(id, content, &part_ids)),
        method: parts.method,
        target: parts.uri,
        headers: end_to_end_headers(parts.headers),
        body,
        route,
        caller_deadline_ms,
        deadline_ms,
        affinity,
        permit: None,
    })
}

/// Reads a request body within the configuration's size limit and a deadline.
pub(crate) async fn read_body(
    state: &State,
    routing: &Routing,
    id: &str,
    body: body::Incoming,
    deadline_ms: u64,
) -> Result<Bytes, Box<response::Response>> {
    let limit = routing.limits.body_bytes;
    let reading = Limited::new(body, limit).collect();
    let refused = |status, reason| Err(Box::new(response::plain(status, reason)));
    match tokio::time::timeout(super::remaining(deadline_ms), reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let denies = |newer: &Routing| newer.limits.body_bytes <= limit;
            match confirm::is_denied(state, routing.version, denies).await {
                true => refused(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
                // The body is consumed, so the caller has to send it again.
                false => Err(Box::new(refuse_unconfirmed(id))),
            }
        }
        Ok(Err(_)) => refused(StatusCode::BAD_REQUEST, "the body is incomplete"),
        Err(_) => refused(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        ),
    }
}

/// Returns the headers without those that must not be forwarded.
fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Removes the hop-by-hop headers, including those that the `Connection` header
/// names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    headers.remove(header::CONNECTION);
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::TRANSFER_ENCODING);
    headers.remove(header::TE);
    headers.remove(header::TRAILER);
    headers.remove(header::UPGRADE);
}

/// Hashes the shared parts of a prompt: all parts but the last, which belongs to
/// the request alone, or the only part.
fn affinity(prefix: &str) -> u64 {
    let shared = prefix.rsplit_once(',').map_or(prefix, |(shared, _)| shared);
    xxhash_rust::xxh3::xxh3_64(shared.as_bytes())
}

/// Returns the value of a header; empty if it is absent or not ASCII text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}

/// Returns the values of a header that may be repeated, joined by commas.
fn header_values(headers: &HeaderMap, name: &header::HeaderName) -> String {
    let values = headers.get_all(name).iter();
    let values: Vec<&str> = values.filter_map(|value| value.to_str().ok()).collect();
    values.join(",")
}

/// Logs and counts a refusal of a request that has not run.
pub(crate) fn note_refusal(id: &str, reason: Reason, retry_after_ms: u64) {
    let reason = reason.name();
    log::info!(request = id, reason = reason, retry_after_ms = retry_after_ms, verdict = "not_run"; "refused");
    metrics::REFUSALS.with_label_values(&[reason]).inc();
}
