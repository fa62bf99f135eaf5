//! Forwarding of one request.

use std::{rc::Rc, sync::Arc};

use bw_relay::{route, suspect};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode, body, header};

use crate::{
    clock,
    entry::{
        NO_LEADER_RETRY_MS, answer, attempt,
        confirm::{self, Standing},
        front::Active,
        jobs,
        reason::Reason,
        state::{Routing, State},
        stream,
    },
    metrics,
};

/// When a caller should come back to a VM that knows no configuration, in
/// milliseconds. It waited for one already where that made sense; callers that
/// came back after 0.5 s found nothing.
const UNCONFIGURED_RETRY_MS: u64 = 1_400;

/// A request that is forwarded, as often as it takes.
pub(crate) struct Forward {
    pub(crate) id: String,
    pub(crate) method: Method,
    /// Path with query, unchanged.
    pub(crate) target: hyper::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<route::Route>,
    /// The steady time at which the caller stops waiting, if it said so.
    pub(crate) caller_until_ms: Option<u64>,
    /// The steady time by which the request is answered.
    pub(crate) until_ms: u64,
    /// Hash of the shared parts of the prompt.
    pub(crate) affinity: u64,
    /// Names the content, whatever its id.
    pub(crate) fingerprint: suspect::Fingerprint,
}

/// Handles one request of a caller.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Request<body::Incoming>,
    active: Active,
) -> answer::Answer {
    let now_ms = clock::monotonic_ms();
    let id = text(request.headers(), &state.dialect.headers().request_id).to_owned();
    let Some(routing) = state.await_routing().await else {
        refuse(&id, Reason::NoConfiguration, UNCONFIGURED_RETRY_MS);
        return answer::not_run("no configuration is known yet", UNCONFIGURED_RETRY_MS);
    };
    let (path, query) = (request.uri().path(), request.uri().query().unwrap_or(""));
    if let Some(call) = state.dialect.decode_job_call(request.method(), path, query) {
        return jobs::call(state, call, request.headers()).await;
    }
    let (route, routing) = match find(state, routing, &id, &request).await {
        Ok(found) => found,
        Err(answer) => return *answer,
    };
    if route.kind == route::Kind::Batch {
        return jobs::submit(state, &routing, &route, id, request, now_ms).await;
    }
    let forward = match read(state, &routing, route, id, request, now_ms).await {
        Ok(forward) => forward,
        Err(answer) => return *answer,
    };
    let admission = state
        .suspects
        .borrow_mut()
        .admit(forward.fingerprint, now_ms);
    match admission {
        suspect::Admission::Admitted => {}
        suspect::Admission::Trial => {
            log::info!(request = forward.id.as_str(), fingerprint = forward.fingerprint.0; "trial of a suspect");
        }
        suspect::Admission::Refused { retry_after_ms } => {
            refuse(&forward.id, Reason::PoisonousRequest, retry_after_ms);
            let text = "backend servers crashed under this request";
            return answer::not_run(text, retry_after_ms);
        }
    }
    match forward.route.kind.streams() {
        true => stream::forward(state, forward, active).await,
        false => attempt::forward(state, forward, active).await,
    }
}

/// Finds the route of a request in a configuration that was the newest when the
/// request was here, or in a newer one.
async fn find(
    state: &State,
    routing: Rc<Routing>,
    id: &str,
    request: &Request<body::Incoming>,
) -> Result<(Arc<route::Route>, Rc<Routing>), Box<answer::Answer>> {
    let host = text(request.headers(), &header::HOST);
    let path = request.uri().path();
    if let Some(route) = routing.table.find(host, path) {
        return Ok((Arc::clone(route), routing));
    }
    let standing = confirm::confirm(state, routing.version).await;
    let (routing, newest) = match standing {
        Standing::Newest => (routing, true),
        Standing::Replaced(newer) => (newer, true),
        Standing::Unknown => (routing, false),
    };
    // The leader named its version after the request came, so a newer one need not
    // be asked for again.
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
            answer::own(StatusCode::NOT_FOUND, "no route")
        }
        false => unconfirmed(id),
    }))
}

/// Refuses a request that a newer configuration may allow.
pub(crate) fn unconfirmed(id: &str) -> answer::Answer {
    refuse(id, Reason::Unconfirmed, NO_LEADER_RETRY_MS);
    let text = "it is not known here now whether the request is allowed";
    answer::not_run(text, NO_LEADER_RETRY_MS)
}

async fn read(
    state: &State,
    routing: &Routing,
    route: Arc<route::Route>,
    id: String,
    request: Request<body::Incoming>,
    now_ms: u64,
) -> Result<Forward, Box<answer::Answer>> {
    let (parts, body) = request.into_parts();
    let names = state.dialect.headers();
    let wait_ms: Option<u64> = text(&parts.headers, &names.deadline_ms).parse().ok();
    let caller_until_ms = wait_ms.map(|wait| now_ms.saturating_add(wait));
    let route_until_ms = now_ms.saturating_add(route.timeout_ms);
    let until_ms = route_until_ms.min(caller_until_ms.unwrap_or(u64::MAX));
    let affinity = affinity(text(&parts.headers, &names.prompt_prefix));
    let body = collect(state, routing, &id, body, until_ms).await?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let fingerprint = suspect::Fingerprint::new(&route.host, target, &body);
    Ok(Forward {
        id,
        method: parts.method,
        target: parts.uri,
        headers: forwarded(parts.headers),
        body,
        route,
        caller_until_ms,
        until_ms,
        affinity,
        fingerprint,
    })
}

/// Reads a body within the size that the configuration allows and a time.
pub(crate) async fn collect(
    state: &State,
    routing: &Routing,
    id: &str,
    body: body::Incoming,
    until_ms: u64,
) -> Result<Bytes, Box<answer::Answer>> {
    let limit = routing.limits.body_bytes;
    let reading = Limited::new(body, limit).collect();
    let refused = |status, reason| Err(Box::new(answer::own(status, reason)));
    match tokio::time::timeout(super::left(until_ms), reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let denies = |newer: &Routing| newer.limits.body_bytes <= limit;
            match confirm::is_denied(state, routing.version, denies).await {
                true => refused(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
                // The body is gone, so the caller has to send it again.
                false => Err(Box::new(unconfirmed(id))),
            }
        }
        Ok(Err(_)) => refused(StatusCode::BAD_REQUEST, "the body is incomplete"),
        Err(_) => refused(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        ),
    }
}

/// Removes headers that concern one connection only.
fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Removes the headers that concern one connection only, also those that the
/// `Connection` header names.
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

/// Hashes the shared parts of a prompt: all but the last, which is the
/// request's own, or the only one.
fn affinity(prefix: &str) -> u64 {
    let shared = prefix.rsplit_once(',').map_or(prefix, |(shared, _)| shared);
    xxhash_rust::xxh3::xxh3_64(shared.as_bytes())
}

/// Returns a header as text, empty if it is absent or no text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}

/// Logs and counts a refusal of a request that has not run.
pub(crate) fn refuse(id: &str, reason: Reason, retry_after_ms: u64) {
    let reason = reason.name();
    log::info!(request = id, reason = reason, retry_after_ms = retry_after_ms, verdict = "not_run"; "refused");
    metrics::REFUSALS.with_label_values(&[reason]).inc();
}
