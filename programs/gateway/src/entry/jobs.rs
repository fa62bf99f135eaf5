//! Calls on batch jobs, which are passed on to the leader.

use std::{rc::Rc, sync::Arc, time};

use bw_relay::{message, route};
use hyper::{HeaderMap, Request, StatusCode, body, header};

use crate::{
    clock,
    dialect::JobCall,
    entry::{
        NO_LEADER_RETRY_MS, confirm, forward,
        reason::Reason,
        response,
        state::{Routing, State},
    },
};

/// Longest long-poll wait for results, in milliseconds.
const WAIT_MAX_MS: u64 = 1_000;
/// Timeout of a call, in addition to the wait that the caller asked for. An
/// election takes up to a second; callers give up 1.5 s after the wait that they
/// asked for.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_400);
/// Timeout of a submission without a deadline, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 4_000;
/// Time before the caller's deadline that is kept for the response, in
/// milliseconds.
const SUBMIT_MARGIN_MS: u64 = 150;
/// Pause before a submission is sent again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Submits a job to the leader, which replies once the job is durable.
pub(crate) async fn submit(
    state: &Rc<State>,
    routing: &Routing,
    route: &Arc<route::Route>,
    id: String,
    request: Request<body::Incoming>,
    now_ms: u64,
) -> response::Response {
    let names = state.dialect.headers();
    let wait_ms = forward::header_text(request.headers(), &names.deadline_ms)
        .parse()
        .unwrap_or(SUBMIT_TIMEOUT_MS);
    let until_ms = now_ms
        .saturating_add(wait_ms)
        .saturating_sub(SUBMIT_MARGIN_MS);
    let (parts, body) = request.into_parts();
    let body = match forward::read_body(state, routing, &id, body, until_ms).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let job = match state
        .dialect
        .decode_job(&id, route, &body, clock::unix_ms())
    {
        Ok(job) => job,
        Err(refused) => {
            let host = forward::header_text(&parts.headers, &header::HOST);
            // The body is a malformed job only if the newest configuration still has
            // a batch route here.
            let denies = |newer: &Routing| {
                let route = newer.table.find(host, parts.uri.path());
                route.is_some_and(|route| route.kind == route::Kind::Batch)
            };
            if !confirm::is_denied(state, routing.version, denies).await {
                // The body is consumed, so the caller has to send it again.
                return forward::refuse_unconfirmed(&id);
            }
            log::warn!(job = id.as_str(), reason = refused.reason.as_str(); "job refused");
            return response::plain(refused.status, &refused.reason);
        }
    };
    let items = job.items.len();
    let reply = submit_until(state, job, until_ms).await;
    let took_ms = clock::monotonic_ms().saturating_sub(now_ms);
    log::info!(job = id.as_str(), items = items, took_ms = took_ms, reply = reply_name(&reply); "job submitted");
    match reply {
        message::Reply::Done => response::plain(StatusCode::ACCEPTED, "accepted"),
        message::Reply::NotLeader | message::Reply::Busy => {
            forward::note_refusal(&id, Reason::NoLeader, NO_LEADER_RETRY_MS);
            response::not_run("no leader", NO_LEADER_RETRY_MS)
        }
        message::Reply::Full { retry_after_ms } => {
            forward::note_refusal(&id, Reason::RouteFull, retry_after_ms);
            let status = StatusCode::TOO_MANY_REQUESTS;
            response::refusal(status, Reason::RouteFull.name(), retry_after_ms)
        }
        _ => response::plain(StatusCode::GATEWAY_TIMEOUT, "outcome unknown"),
    }
}

/// Sends a submission to the current leader until its outcome is known or the
/// deadline is near.
async fn submit_until(
    state: &State,
    job: bw_relay::ledger::NewJob,
    until_ms: u64,
) -> message::Reply {
    let mut maybe_accepted = false;
    loop {
        let request = message::Request::Submit(Box::new(job.clone()));
        let reply = state.link.call(request, super::remaining(until_ms)).await;
        let retry = match reply {
            message::Reply::Lost => {
                maybe_accepted = true;
                true
            }
            message::Reply::NotLeader | message::Reply::Busy => true,
            _ => false,
        };
        if !retry || clock::monotonic_ms() + NO_LEADER_RETRY_MS >= until_ms {
            // After a lost call the job may have been accepted, so a refusal by a later
            // leader does not prove that it has not run.
            return match reply {
                message::Reply::NotLeader | message::Reply::Busy | message::Reply::Full { .. }
                    if maybe_accepted =>
                {
                    message::Reply::Lost
                }
                reply => reply,
            };
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Handles any other call on a job.
pub(crate) async fn call(
    state: &Rc<State>,
    call: JobCall,
    headers: &HeaderMap,
) -> response::Response {
    let names = state.dialect.headers();
    let requested_ms: u64 = forward::header_text(headers, &names.wait_ms)
        .parse()
        .unwrap_or(0);
    let wait_ms = requested_ms.min(WAIT_MAX_MS);
    let (request, after) = match call {
        JobCall::Results { job, after } => (
            message::Request::Results {
                job,
                after,
                wait_ms,
            },
            after,
        ),
        JobCall::Body { job, item } => (message::Request::Body { job, item }, 0),
        JobCall::End { job } => (message::Request::End { job }, 0),
    };
    let timeout = CALL_TIMEOUT + time::Duration::from_millis(wait_ms);
    let reply = state.link.call(request, timeout).await;
    match reply {
        message::Reply::Page(Some(page)) => {
            response::json(StatusCode::OK, state.dialect.encode_page(&page, after))
        }
        message::Reply::Body(Some(bytes)) => {
            let mut response = response::plain(StatusCode::OK, "");
            *response.body_mut() = response::full(bytes);
            response
        }
        message::Reply::Page(None) | message::Reply::Body(None) | message::Reply::Unknown => {
            response::plain(StatusCode::NOT_FOUND, "not found")
        }
        message::Reply::Done => response::plain(StatusCode::OK, "ended"),
        reply => {
            log::info!(reply = reply_name(&reply); "call on a job failed");
            response::not_run(
                "the state of the job is not known here now",
                NO_LEADER_RETRY_MS,
            )
        }
    }
}

fn reply_name(reply: &message::Reply) -> &'static str {
    match reply {
        message::Reply::Done => "done",
        message::Reply::NotLeader => "no_leader",
        message::Reply::Busy => "busy",
        message::Reply::Full { .. } => "full",
        message::Reply::Lost => "unknown",
        _ => "other",
    }
}
